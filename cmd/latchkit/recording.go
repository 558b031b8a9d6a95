package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"saltmast/internal/recording"
	"saltmast/internal/recording/audit"
	"saltmast/internal/recording/mapping"
	"saltmast/internal/replay"
)

// statusFindings is the status of a recording that has open findings.
const statusFindings = 4

// recordingFlags say how recordings are read.
type recordingFlags struct {
	format, zone string
	fields       map[string]string
	accept       []string
	rules        string
	asJSON       bool
}

func recordingCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "recording",
		Short: "Read what gateways recorded: HAR files and access logs",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	var f recordingFlags
	check := &cobra.Command{
		Use:   "check FILE...",
		Short: "Say what a recording can't be trusted for",
		Long: `check reads recordings, - for standard input, plain or compressed by gzip or zstd, and
prints what they can't be trusted for: a code, how often, where first, and why.
Nothing is guessed and nothing is changed. Exit status: 0 nothing is open, 4 findings
are, 2 bad usage, 1 anything else.`,
		Example: `  latchkit recording check access.log.1.gz access.log
  latchkit recording check --format '$remote_addr [$time_iso8601] "$request" $status $request_time' gateway.log
  latchkit recording check morning.har --accept no-duration --json`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return f.check(cmd, args) },
	}
	f.reading(check)
	f.trusting(check)
	check.Flags().BoolVar(&f.asJSON, "json", false, "print JSON")
	c.AddCommand(check, convertCommand())
	return c
}

// convertCommand writes recordings in another format.
func convertCommand() *cobra.Command {
	var f recordingFlags
	var to, out, from, until string
	c := &cobra.Command{
		Use:   "convert FILE...",
		Short: "Write recordings in another format, as one, in the order of their starts",
		Long: `convert reads recordings and writes them as one, in the order in which requests
came, as far as each tells. Entries without a start are left out, and so is what the
format has no place for; how many, it says on standard error. Nothing is made up and
nothing is made harmless: card numbers and credentials stay as they are.`,
		Example: `  latchkit recording convert gate-1.log gate-2.log.gz --to envoy --out both.log
  latchkit recording convert morning.har --to json --from 2026-12-01T06:00:00Z --until 2026-12-01T06:30:00Z`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return f.convert(cmd, args, to, out, from, until) },
	}
	fl := c.Flags()
	fl.StringVar(&to, "to", "json", "the format to write: one of "+strings.Join(recording.Names(), ", ")+", or a log_format")
	fl.StringVar(&out, "out", "-", "the `file` to write, - for standard output")
	fl.StringVar(&from, "from", "", "leave out what came before this `time`")
	fl.StringVar(&until, "until", "", "leave out what came from this `time` on")
	f.reading(c)
	return c
}

func (f *recordingFlags) convert(cmd *cobra.Command, names []string, to, out, from, until string) error {
	o, err := f.options()
	if err != nil {
		return usage(err)
	}
	m := replay.MergeOptions{Exact: true}
	if err := window(from, until, &m); err != nil {
		return usage(err)
	}
	var sources []recording.Reader
	for _, name := range names {
		s, err := recording.Open(name, o)
		if err != nil {
			return usage(err)
		}
		defer s.Close()
		sources = append(sources, s)
	}
	merger := replay.NewMerger(m, sources...)
	written, refused, first := 0, 0, error(nil)
	err = writeFile(cmd.OutOrStdout(), out, func(w io.Writer) error {
		x, err := recording.NewWriter(w, to)
		if err != nil {
			return fmt.Errorf("--to: %w", err)
		}
		for n := 0; ; n++ {
			if n%4096 == 0 && cmd.Context().Err() != nil {
				return cmd.Context().Err()
			}
			e, err := merger.Next()
			if err == io.EOF {
				return x.Close()
			}
			if err != nil {
				return err
			}
			switch err := x.Write(e.Entry); {
			case errors.Is(err, recording.ErrUnwritable):
				if refused++; first == nil {
					first = err
				}
			case err != nil:
				return err
			default:
				written++
			}
		}
	})
	if err != nil {
		return other(err)
	}
	l := merger.Left()
	errs := cmd.ErrOrStderr()
	fmt.Fprintf(errs, "%d written; left out: %d unreadable, %d without a start, %d from a cache, %d outside the time asked for, %d that the format can't hold\n",
		written, l.Unreadable, l.NoStart, l.Cached, l.Outside, refused)
	if first != nil {
		fmt.Fprintln(errs, "the first of these:", first)
	}
	if l.Truncated > 0 {
		fmt.Fprintf(errs, "%d sources are cut off\n", l.Truncated)
	}
	return nil
}

// window reads the bounds of a time.
func window(from, until string, m *replay.MergeOptions) (err error) {
	for _, x := range []struct {
		flag, text string
		to         *time.Time
	}{{"from", from, &m.From}, {"until", until, &m.Until}} {
		if x.text == "" {
			continue
		}
		if *x.to, err = time.Parse(time.RFC3339, x.text); err != nil {
			return fmt.Errorf("--%s: %q is no time such as 2026-12-01T06:00:00Z", x.flag, x.text)
		}
	}
	return nil
}

func (f *recordingFlags) options() (recording.Options, error) {
	o := recording.Options{Format: f.format, Fields: f.fields}
	if f.zone != "" {
		zone, err := time.LoadLocation(f.zone)
		if err != nil {
			return o, fmt.Errorf("--zone: %w", err)
		}
		o.Zone = zone
	}
	for _, c := range f.accept {
		known := false
		for _, code := range audit.Codes {
			known = known || string(code) == c
		}
		if !known {
			return o, fmt.Errorf("--accept: %q is none of %s", c, strings.Trim(fmt.Sprint(audit.Codes), "[]"))
		}
	}
	return o, nil
}

func (f *recordingFlags) check(cmd *cobra.Command, names []string) error {
	o, err := f.options()
	if err != nil {
		return usage(err)
	}
	rules, err := f.mapping()
	if err != nil {
		return usage(err)
	}
	classes := map[string]int{}
	a := audit.New(audit.Options{})
	var sources []*recording.Source // all are opened before the first is read
	defer func() {
		for _, s := range sources {
			s.Close()
		}
	}()
	for _, name := range names {
		s, err := recording.Open(name, o)
		if err != nil {
			return usage(err)
		}
		sources = append(sources, s)
	}
	for _, s := range sources {
		if err := read(cmd, a, s, rules, classes); err != nil {
			return other(err)
		}
	}
	r := a.Report()
	open := r.Clean(f.accept)
	out := cmd.OutOrStdout()
	if f.asJSON {
		if err := printJSON(out, struct {
			*audit.Report
			Open    []audit.Code   `json:"open"`
			Classes map[string]int `json:"classes,omitempty"`
		}{r, append([]audit.Code{}, open...), classes}); err != nil {
			return err
		}
	} else {
		printAudit(out, r, sources, f.accept)
		if len(classes) > 0 {
			fmt.Fprintln(out)
			for _, name := range slices.Sorted(maps.Keys(classes)) {
				fmt.Fprintf(out, "%6.2f%%  %s (%d)\n", 100*float64(classes[name])/float64(r.Entries), name, classes[name])
			}
		}
	}
	if len(open) > 0 {
		return &ending{status: statusFindings}
	}
	return nil
}

// read has a source audited to its end.
func read(cmd *cobra.Command, a *audit.Auditor, s *recording.Source, rules *mapping.Rules, classes map[string]int) error {
	last := int64(0)
	for n := 0; ; n++ {
		if n%4096 == 0 && cmd.Context().Err() != nil {
			return cmd.Context().Err()
		}
		e, err := s.Next()
		var bad *recording.LineError
		switch {
		case err == io.EOF:
			return nil
		case errors.As(err, &bad):
			a.Unreadable(bad)
			last = bad.Line
		case errors.Is(err, recording.ErrTruncated):
			a.Truncated(s.Name, last+1)
			return nil
		case err != nil:
			return err
		default:
			a.Add(e)
			last = e.Line
			if rules == nil {
				continue
			}
			switch m, result := rules.Map(e, nil); result {
			case mapping.Taken:
				classes[m.Class]++
			case mapping.Unmatched:
				a.Unmatched(e)
			}
		}
	}
}

func printAudit(out io.Writer, r *audit.Report, sources []*recording.Source, accepted []string) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "source\tformat\tentries\tfrom\tto\tclock")
	for _, s := range r.Sources {
		format := ""
		for _, x := range sources {
			if x.Name == s.Name {
				format = x.Format
			}
		}
		from, to, clock := "-", "-", "-"
		if !s.From.IsZero() {
			from, to, clock = s.From.UTC().Format(stamp), s.To.UTC().Format(stamp), s.Resolution.String()
		}
		if len(format) > 20 {
			format = "log_format"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", s.Name, format, s.Entries, from, to, clock)
	}
	w.Flush()
	if len(r.Counts) > 1 {
		fmt.Fprintf(out, "\n%s  requests in %s each, from %s\n", spark(r.Counts, 72), (r.Width * time.Duration((len(r.Counts)+71)/72)), r.From.Format(stamp))
	}
	if len(r.Findings) == 0 {
		fmt.Fprintln(out, "\nclean: nothing was found that it can't be trusted for")
		return
	}
	fmt.Fprintln(out)
	w = tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "finding\tcount\tfirst\t")
	for _, f := range r.Findings {
		what := f.What
		for _, c := range accepted {
			if c == string(f.Code) {
				what = "(accepted) " + what
			}
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", f.Code, f.Count, f.First, what)
	}
	w.Flush()
}

// spark draws counts as a line of so many characters at the most.
func spark(counts []int, width int) string {
	per := (len(counts) + width - 1) / width
	var sums []int
	most := 1
	for i := 0; i < len(counts); i += per {
		sum := 0
		for _, n := range counts[i:min(len(counts), i+per)] {
			sum += n
		}
		sums = append(sums, sum)
		most = max(most, sum)
	}
	var b strings.Builder
	for _, n := range sums {
		b.WriteRune([]rune(" ▁▂▃▄▅▆▇█")[(n*8+most-1)/most])
	}
	return b.String()
}
