package main

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/renameio/v2"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"saltmast/internal/recording"
	"saltmast/internal/recording/mapping"
	"saltmast/internal/replay"
	"saltmast/internal/replay/drive"
)

// statusBehind is the status of a replay whose rate the machine did not reach.
const statusBehind = 5

// replayFlags are the flags of replay.
type replayFlags struct {
	recordingFlags
	to                       []string
	from, until              string
	speed, scale, rate       float64
	loops, connections       int
	seed                     uint64
	run                      string
	refuse                   float64
	budget, lateBound, retry time.Duration
	waterfall, quiet         bool
	json, html               string
}

func replayCommand() *cobra.Command {
	var f replayFlags
	c := &cobra.Command{
		Use:   "replay FILE...",
		Short: "Send a recording's load once more, as other operations",
		Long: `replay reads recordings, - for standard input, and sends the same load: the same
classes at the same moments, faster, thicker or thinner if asked, in open loop.
Nothing of it is done again: all ids, keys and accounts are made up anew, and a
recorded retry goes out only where the try before it was refused. Without --to it
goes to a stand-in of the kit's own, which measures what arrives.

A recording with findings is not sent until each code is accepted. Exit status:
0 sent as planned, 3 something that must not run twice did, 4 findings are open,
5 the machine fell behind the plan, 2 bad usage, 1 anything else.`,
		Example: `  latchkit replay access.log.1.gz access.log
  latchkit replay morning.har --speed 2.5 --html replay.html
  latchkit replay access.log --rate 4000 --accept coarse-clock --accept no-duration
  latchkit replay gateway.json --to 127.0.0.1:9000 --from 2026-12-01T06:00:00Z --until 2026-12-01T06:30:00Z`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return f.play(cmd, args) },
	}
	fl := c.Flags()
	fl.StringSliceVar(&f.to, "to", nil, "`addresses` host:port to send to, operations in turn (default: a stand-in of the kit's own)")
	fl.StringVar(&f.from, "from", "", "leave out what came before this `time`, such as 2026-12-01T06:00:00+05:30")
	fl.StringVar(&f.until, "until", "", "leave out what came from this `time` on")
	fl.Float64Var(&f.speed, "speed", 1, "divides the times between requests")
	fl.Float64Var(&f.scale, "scale", 1, "times as many requests in the same time; below 1 thins")
	fl.Float64Var(&f.rate, "rate", 0, "requests a second on average, in place of --scale")
	fl.IntVar(&f.loops, "loop", 1, "play it so many times, one after the other, each as other operations")
	fl.Uint64Var(&f.seed, "seed", 1, "draws what is thinned out, and moments within a clock's unit")
	fl.StringVar(&f.run, "run", "", "8 hex digits that mark all that is sent (default: drawn anew for each run)")
	fl.DurationVar(&f.retry, "retry", 10*time.Second, "a request with the same key or id is a retry for so long")
	fl.BoolVar(&f.waterfall, "waterfall", false, "keep the order of dependence in browsers' recordings: what followed an answer waits for it")
	fl.Float64Var(&f.refuse, "refuse", 0, "share of the operations whose first try the kit's stand-in turns away")
	fl.IntVar(&f.connections, "connections", 1000, "connections at the most")
	fl.DurationVar(&f.budget, "budget", 5*time.Second, "how long an answer is waited for")
	fl.DurationVar(&f.lateBound, "late", 50*time.Millisecond, "lateness of one request in a hundred beyond which the machine fell behind")
	fl.StringVar(&f.json, "json", "", "write the report as JSON to this `file`, - for standard output")
	fl.StringVar(&f.html, "html", "", "write the report as one HTML page to this `file`")
	fl.BoolVar(&f.quiet, "quiet", false, "print the last line alone")
	f.reading(c)
	f.trusting(c)
	c.MarkFlagsMutuallyExclusive("scale", "rate")
	c.MarkFlagsMutuallyExclusive("to", "refuse")
	return c
}

// session checks the flags.
func (f *replayFlags) session(cmd *cobra.Command, names []string) (*drive.Session, error) {
	o, err := f.options()
	if err != nil {
		return nil, err
	}
	s := &drive.Session{Files: names, Read: o, Accept: f.accept, To: f.to, Rate: f.rate, Loops: f.loops, Refuse: f.refuse, Connections: f.connections,
		Budget: f.budget, LateBound: f.lateBound, Plan: replay.Options{Seed: f.seed, Speed: f.speed, Scale: f.scale, Retry: f.retry, Waterfall: f.waterfall}}
	if s.Rules, err = f.mapping(); err != nil {
		return nil, err
	}
	if err := window(f.from, f.until, &s.Merge); err != nil {
		return nil, err
	}
	for _, t := range f.to {
		if _, _, err := net.SplitHostPort(t); err != nil {
			return nil, fmt.Errorf("--to: %q is not host:port", t)
		}
	}
	for name, v := range map[string]float64{"speed": f.speed, "scale": f.scale, "loop": float64(f.loops), "connections": float64(f.connections),
		"budget": f.budget.Seconds(), "late": f.lateBound.Seconds(), "retry": f.retry.Seconds()} {
		if !(v > 0) {
			return nil, fmt.Errorf("--%s: %v is not above 0", name, cmd.Flag(name).Value)
		}
	}
	switch {
	case cmd.Flags().Changed("rate") && !(f.rate > 0):
		return nil, fmt.Errorf("--rate: %v is not above 0", f.rate)
	case !(f.refuse >= 0 && f.refuse <= 1):
		return nil, fmt.Errorf("--refuse: %v is not from 0 to 1", f.refuse)
	case f.loops > maxLoops:
		return nil, fmt.Errorf("--loop: %d at the most", maxLoops)
	case f.connections > maxConnections:
		return nil, fmt.Errorf("--connections: %d at the most", maxConnections)
	}
	if _, err := replay.New(s.Plan); err != nil {
		return nil, err
	}
	if f.run == "" {
		var b [4]byte
		if _, err := rand.Read(b[:]); err != nil {
			return nil, err
		}
		s.Plan.Run = uint64(binary.BigEndian.Uint32(b[:]))
	} else if n, err := fmt.Sscanf(f.run, "%08x", &s.Plan.Run); n != 1 || err != nil || len(f.run) != 8 {
		return nil, fmt.Errorf("--run: %q is not 8 hex digits", f.run)
	}
	return s, nil
}

const (
	maxLoops       = 10_000
	maxConnections = 20_000
)

func (f *replayFlags) play(cmd *cobra.Command, names []string) error {
	s, err := f.session(cmd, names)
	if err != nil {
		return usage(err)
	}
	for _, name := range []string{f.json, f.html} { // a folder that is not there is no surprise after half an hour
		if name == "" || name == "-" {
			continue
		}
		if info, err := os.Stat(filepath.Dir(name)); err != nil || !info.IsDir() {
			return usage(fmt.Errorf("%s: there is no folder %s", name, filepath.Dir(name)))
		}
	}
	if !f.quiet && term.IsTerminal(int(os.Stderr.Fd())) {
		b := progressbar.NewOptions64(-1, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish(), progressbar.OptionSetWidth(30))
		s.Tick = func(p drive.Progress) {
			b.Describe(fmt.Sprintf("%d requests, %.1f s of the plan after %.1f s", p.Sent, p.Plan.Seconds(), p.At.Seconds()))
			b.Add(0)
		}
		defer b.Finish()
	}
	r, err := s.Play(cmd.Context())
	var open *drive.OpenError
	switch {
	case errors.As(err, &open):
		return &ending{statusFindings, err}
	case errors.Is(err, drive.ErrUnsafeTarget):
		return usage(err)
	case err != nil:
		return other(err)
	}
	out := cmd.OutOrStdout()
	for _, x := range []struct {
		name  string
		write func(io.Writer) error
	}{{f.json, func(w io.Writer) error { return printJSON(w, r) }}, {f.html, r.Page}} {
		if x.name == "" {
			continue
		}
		if err := writeFile(out, x.name, x.write); err != nil {
			return other(err)
		}
	}
	text := out
	if f.json == "-" || f.html == "-" {
		text = cmd.ErrOrStderr()
	}
	if f.quiet {
		fmt.Fprintln(text, r.Line())
	} else {
		r.Table(text)
	}
	switch {
	case r.Sink != nil && r.Sink.Twice > 0:
		return &ending{status: statusBroke}
	case r.Result.Partial:
		return &ending{status: statusOther}
	case r.Behind != "":
		return &ending{status: statusBehind}
	}
	return nil
}

// writeFile writes a file whole or not at all; - is standard output.
func writeFile(stdout io.Writer, name string, write func(io.Writer) error) error {
	if name == "-" {
		return write(stdout)
	}
	f, err := renameio.NewPendingFile(name, renameio.WithPermissions(0o644))
	if err != nil {
		return err
	}
	defer f.Cleanup()
	if err := write(f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return f.CloseAtomicallyReplace()
}

// reading adds the flags that say how recordings are read.
func (f *recordingFlags) reading(c *cobra.Command) {
	fl := c.Flags()
	fl.StringVar(&f.format, "format", "", "one of "+strings.Join(recording.Names(), ", ")+", or a log_format as nginx, Apache or Envoy has it (default: found out)")
	fl.StringToStringVar(&f.fields, "fields", nil, "of JSON lines: which field is what, such as time=ts,path=req.uri")
	fl.StringVar(&f.zone, "zone", "", "of times that name none, such as Asia/Kolkata (default: UTC, which is a finding)")
}

// trusting adds the flags that say what of a recording is taken, and as what.
func (f *recordingFlags) trusting(c *cobra.Command) {
	fl := c.Flags()
	fl.StringSliceVar(&f.accept, "accept", nil, "`codes` of findings that are known and taken into account")
	fl.StringVar(&f.rules, "map", "", "a TOML `file` of rules that map requests to classes; what none maps is a finding")
}

// mapping reads the file of rules; nil where there is none.
func (f *recordingFlags) mapping() (*mapping.Rules, error) {
	if f.rules == "" {
		return nil, nil
	}
	text, err := os.ReadFile(f.rules)
	if err != nil {
		return nil, err
	}
	return mapping.Parse(f.rules, text, nil)
}
