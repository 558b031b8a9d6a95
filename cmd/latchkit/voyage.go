package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"saltmast/internal/loganalysis"
)

// voyageLine bounds one line of a log.
const voyageLine = 1 << 20

type voyageFlags struct {
	asJSON, machines, changes bool
	html                      string
	every                     float64
}

func voyageCommand() *cobra.Command {
	var f voyageFlags
	c := &cobra.Command{
		Use:   "voyage LOG...",
		Short: "Say from the mesh's logs where requests were lost, and what changed then",
		Long: `voyage reads logs of tugs, harbourmasters and pursers and sums up what became of
the requests by the tugs' own counters: how many were answered within their
route's target, and one cause for each other one. A log is lines of JSON as a
program writes them, one file for each program, or any mixture with the
program's name before each line; other lines are passed over, and - is standard
input. Logs of one program are given in the order in which they were written.
Exit status: 0 read, 1 a log can't be read, 2 bad usage.`,
		Example: "  latchkit voyage --html day.html quay-*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !(f.every >= 0.001 && f.every <= 86400) {
				return usage(fmt.Errorf("--every: seconds from 0.001 to 86400 wanted, got %v", f.every))
			}
			b := loganalysis.New(time.Duration(math.Round(f.every * float64(time.Second))))
			for _, name := range args {
				if err := readLog(b, name, cmd.InOrStdin()); err != nil {
					return other(err)
				}
			}
			return other(f.tell(cmd.OutOrStdout(), b.Day()))
		},
	}
	c.Flags().BoolVar(&f.asJSON, "json", false, "print all as JSON")
	c.Flags().StringVar(&f.html, "html", "", "write one HTML page to this `file` as well")
	c.Flags().Float64Var(&f.every, "every", 10, "`seconds` of an interval of the page and the JSON")
	c.Flags().BoolVar(&f.machines, "machines", false, "a row for each proxy as well")
	c.Flags().BoolVar(&f.changes, "changes", false, "a line for each change as well")
	return c
}

// readLog reads one log, a line at a time. A last line without an end may be one that was being written.
func readLog(b *loganalysis.Book, name string, in io.Reader) error {
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	file := b.File(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)))
	lines := bufio.NewReaderSize(in, voyageLine)
	for n := 1; ; n++ {
		raw, err := lines.ReadSlice('\n')
		whole := err == nil
		if err != nil && err != io.EOF {
			if errors.Is(err, bufio.ErrBufferFull) {
				err = fmt.Errorf("longer than %d bytes", voyageLine)
			}
			return fmt.Errorf("%s:%d: %w", name, n, err)
		}
		if err := file.Take(bytes.TrimRight(raw, "\r\n")); err != nil && whole {
			return fmt.Errorf("%s:%d: %w", name, n, err)
		}
		if !whole {
			return nil
		}
	}
}

func (f *voyageFlags) tell(out io.Writer, d *loganalysis.Day) error {
	if d.Lines == 0 {
		return errors.New("no line of a program in what was given")
	}
	if f.html != "" {
		var page bytes.Buffer
		if err := loganalysis.Page(&page, d); err != nil {
			return err
		}
		if err := os.WriteFile(f.html, page.Bytes(), 0o644); err != nil {
			return err
		}
	}
	if f.asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", " ")
		return e.Encode(d)
	}
	w := bufio.NewWriter(out)
	f.table(w, d)
	return w.Flush()
}

func (f *voyageFlags) table(w io.Writer, d *loganalysis.Day) {
	fmt.Fprintf(w, "%s to %s UTC, %d proxies: %d heads read", d.From.Format("2006-01-02 15:04:05"),
		d.To.Format("2006-01-02 15:04:05"), len(d.Machines), d.Requests)
	if d.InTarget+d.Lost > 0 {
		fmt.Fprintf(w, ", %d in target, %d not; share in target %.4f", d.InTarget, d.Lost, d.Share())
	}
	fmt.Fprintln(w)
	if n := d.Headless(); n > 0 {
		fmt.Fprintf(w, "the log begins amid the runs of %d proxies: what they counted before is not in it\n", n)
	}
	if len(d.Kinds) == 0 {
		fmt.Fprintln(w, "no line tells what requests were worth: no counters of proxies, or of an earlier version")
	}
	if len(d.Rows) > 0 {
		fmt.Fprintf(w, "\n%-14s %9s %9s %9s %9s %9s\n", "cause", "refused", "failed", "late", "all", "of all")
		for _, r := range d.Rows {
			fmt.Fprintf(w, "%-14s %9d %9d %9d %9d %9s\n", r.Cause, r.Refused, r.Failed, r.Late, r.All(), d.Part(r.All()))
		}
	}
	if len(d.Kinds) > 0 {
		fmt.Fprintf(w, "\n%-14s %9s %9s %9s\n", "kind", "in target", "missed", "share")
		for _, k := range d.Kinds {
			fmt.Fprintf(w, "%-14s %9d %9d %9.4f\n", k.Kind, k.InTarget, k.Missed, k.Share())
		}
	}
	if f.machines {
		fmt.Fprintf(w, "\n%-24s %6s %9s %9s %9s  %s\n", "proxy", "starts", "in target", "lost", "share", "most")
		for _, m := range d.Machines {
			fmt.Fprintf(w, "%-24s %6d %9d %9d %9.4f  %s\n", m.Name, m.Starts, m.InTarget, m.Lost, m.Share(), m.Most())
		}
	}
	sep := "\nchanges: "
	for _, e := range loganalysis.Lanes {
		if n := d.Events[e]; n > 0 {
			fmt.Fprintf(w, "%s%s %d", sep, e, n)
			sep = ", "
		}
	}
	if sep == ", " {
		fmt.Fprintln(w)
	}
	if !f.changes {
		return
	}
	for _, c := range d.Changes {
		fmt.Fprintf(w, "%s  %-28s %-14s %s\n", c.At.Format("15:04:05.000"), c.Name, c.Event, c.Text)
	}
	if d.Unkept > 0 {
		fmt.Fprintf(w, "%d more changes are counted and not kept\n", d.Unkept)
	}
}
