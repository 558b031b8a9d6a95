package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"saltmast/internal/model/lab"
	"saltmast/internal/scenario"
)

// labGateCommand plays the fleet days on the model and passes or fails them.
func labGateCommand() *cobra.Command {
	var seeds, html, out string
	var asJSON, quiet bool
	var o lab.GateOptions
	c := &cobra.Command{
		Use:   "gate",
		Short: "Pass or fail the days of a large fleet, in simulated time",
		Long: `gate draws the days of a large fleet by seed (` + strings.Join(scenario.Days, ", ") + `), plays
each on the model with the real decision module in every agent, and holds it
against the four rules and against a policy that sees the true state late.
One line a day; docs/lab.md says what is wanted. Exit status: 0 passed, 3 failed,
2 a flag that makes no sense, 1 anything else.`,
		Example: `  latchkit lab gate --seeds 1-5
  latchkit lab gate --day join --seeds 7 --agents 40 --html page.html
  latchkit lab gate --module rushes-cold --day join --shrink --out small.toml`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			if o.Seeds, err = parseSeeds(seeds); err != nil {
				return usage(err)
			}
			for _, d := range o.Days {
				if !slices.Contains(scenario.Days, d) {
					return usage(fmt.Errorf("--day: %q is none of %s", d, strings.Join(scenario.Days, ", ")))
				}
			}
			if o.Module != "" && lab.Wrong[o.Module] == nil {
				return usage(fmt.Errorf("--module: %q is none of %s", o.Module, strings.Join(lab.WrongKinds(), ", ")))
			}
			for _, f := range []struct {
				flag   string
				v      float64
				lo, hi float64
			}{{"agents", float64(o.Size.Agents), 0, float64(lab.Sizes.Agents)}, {"servers", float64(o.Size.Servers), 0, float64(lab.Sizes.Servers)},
				{"for", o.Size.ForS, 0, 600}, {"beside", float64(o.Beside), 1, 256}} {
				if !(f.v >= f.lo && f.v <= f.hi) || f.v > 0 && f.v < 4 && f.flag != "beside" {
					return usage(fmt.Errorf("--%s: %v is not from 4 to %v", f.flag, f.v, f.hi))
				}
			}
			if out != "" && !o.Shrink {
				return usage(fmt.Errorf("--out goes with --shrink"))
			}
			if !quiet && term.IsTerminal(int(os.Stderr.Fd())) {
				n := len(o.Seeds) * len(o.Days)
				if n == 0 {
					n = len(o.Seeds) * len(scenario.Days)
				}
				b := progressbar.NewOptions(n, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish(),
					progressbar.OptionSetWidth(30), progressbar.OptionShowCount())
				defer b.Finish()
				o.Decided = func(lab.Verdict) { b.Add(1) }
			}
			all, err := lab.Gate(cmd.Context(), o)
			if err != nil {
				return other(err)
			}
			return printGate(cmd, all, asJSON, html, out)
		},
	}
	f := c.Flags()
	f.StringVar(&seeds, "seeds", "1-3", "such as 1-20 or 3,7,9")
	f.StringSliceVar(&o.Days, "day", nil, "days to play (default: all)")
	f.IntVar(&o.Size.Agents, "agents", 0, "agents (default 300)")
	f.IntVar(&o.Size.Servers, "servers", 0, "servers (default: a third to two thirds of the agents, drawn)")
	f.Float64Var(&o.Size.ForS, "for", 0, "seconds of arrivals (default 25)")
	f.StringVar(&o.Module, "module", "", "`kind` of a module that is wrong on purpose: "+strings.Join(lab.WrongKinds(), ", "))
	f.BoolVar(&o.Shrink, "shrink", false, "look for the smallest day that fails by the same rule")
	f.StringVar(&out, "out", "", "with --shrink: write the first smallest day to this `file` (default: standard output)")
	f.StringVar(&html, "html", "", "write one HTML page to `file`")
	f.IntVar(&o.Beside, "beside", runtime.NumCPU(), "days side by side; each takes memory for its agents")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	f.BoolVarP(&quiet, "quiet", "q", false, "no progress")
	return c
}

func printGate(cmd *cobra.Command, all []lab.Verdict, asJSON bool, html, out string) error {
	w := cmd.OutOrStdout()
	failed := lab.Failed(all)
	if html != "" {
		if err := writeFile(w, html, func(w io.Writer) error { return lab.GatePage(w, all) }); err != nil {
			return other(err)
		}
	}
	if asJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", " ")
		if err := enc.Encode(all); err != nil {
			return other(err)
		}
	} else if html != "-" {
		for _, v := range all {
			if err := lab.GateLine(w, v); err != nil {
				return other(err)
			}
		}
		if len(failed) == 0 {
			fmt.Fprintf(w, "passed: %d days\n", len(all))
		} else {
			v := failed[0]
			fmt.Fprintf(w, "failed: %d of %d days; first %s, seed %d: %s at %.1f s\n", len(failed), len(all), v.Day, v.Seed, v.Rule, v.AtS)
		}
	}
	if len(failed) == 0 {
		return nil
	}
	for _, v := range failed {
		if v.Smallest == nil {
			continue
		}
		text, err := v.Smallest.File()
		if err != nil {
			return other(err)
		}
		if out == "" {
			out = "-"
		}
		if err := writeFile(w, out, func(w io.Writer) error { _, err := w.Write(text); return err }); err != nil {
			return other(err)
		}
		break
	}
	return &ending{statusBroke, nil}
}
