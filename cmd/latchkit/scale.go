package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"saltmast/internal/loadline"
	"saltmast/internal/process"
	"saltmast/internal/proxy"
	"saltmast/internal/registry"
	"saltmast/internal/store"
)

// partMain is one program of a scale run.
func partMain(name string, argv []string) int {
	programs := map[string]process.Program{"tug": proxy.Program, "harbourmaster": registry.Program, "purser": store.Program}
	if p, ok := programs[name]; ok {
		return process.Main(p, argv)
	}
	if name != "hollow" {
		fmt.Fprintf(os.Stderr, "latchkit: part: %q is no program\n", name)
		return statusUsage
	}
	if err := loadline.Hollow(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "latchkit: hollow:", err)
		return statusOther
	}
	return statusOK
}

func scaleCommand() *cobra.Command {
	var o loadline.Options
	var sizes []int
	var read []string
	asJSON, quiet, html, dir := false, false, "", ""
	c := &cobra.Command{
		Use:   "scale",
		Short: "Measure what the mesh's control side costs by the number of agents",
		Long: `scale starts real core machines and a few real proxies as processes on this
machine's loopback addresses, and beside them hollow agents, many to a process:
proxies without traffic. For each size it measures by role bytes and messages a
second, processor time, memory and commits, at rest and through storms and
losses, and how long changes take to be everywhere. It ends a size at half of
the machine's memory or at --most, and says what it left out. Exit status:
0 measured (see what was left out), 1 could not run, 2 bad usage.`,
		Example: "  latchkit scale --agents 100,300,1000 --html scale.html --json >scale.json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, n := range sizes {
				if n < 1 || n > loadline.MostAgents {
					return usage(fmt.Errorf("--agents: %d: 1 to %d wanted", n, loadline.MostAgents))
				}
			}
			for _, v := range []struct {
				flag         string
				n, low, high int
			}{{"core", o.Core, 3, 32}, {"voters", o.Voters, 3, min(7, o.Core)}, {"tugs", o.Tugs, 0, 16}, {"zones", o.Zones, 1, 64}, {"regions", o.Regions, 1, 64}, {"services", o.Services, 0, 2000},
				{"routes", o.Routes, 0, 20000}, {"entries", o.Entries, 0, loadline.MostAgents}, {"rate", o.Rate, 1, 1000}, {"pace", o.Pace, 0, 10000}} {
				if v.n < v.low || v.n > v.high {
					return usage(fmt.Errorf("--%s: %d: %d to %d wanted", v.flag, v.n, v.low, v.high))
				}
			}
			if o.Voters%2 == 0 {
				return usage(fmt.Errorf("--voters: %d: an odd number wanted", o.Voters))
			}
			if o.Quiet < time.Second || o.Quiet > time.Minute || o.Most < 3*time.Second || o.Most > 30*time.Minute {
				return usage(fmt.Errorf("--stretch: 1s to 1m, --most: 3s to 30m wanted"))
			}
			for _, p := range o.Phases {
				if !slices.Contains(loadline.Phases, p) {
					return usage(fmt.Errorf("--phases: %q is none of %s", p, strings.Join(loadline.Phases, ", ")))
				}
			}
			if o.Mute && !o.Thin {
				return usage(fmt.Errorf("--mute: with --thin only"))
			}
			self, err := os.Executable()
			if err != nil {
				return other(err)
			}
			o.Self = []string{self}
			o.Log = func(format string, args ...any) {
				if !quiet {
					fmt.Fprintf(cmd.ErrOrStderr(), "  "+format+"\n", args...)
				}
			}
			var all []*loadline.Result
			for _, name := range read {
				raw, err := os.ReadFile(name)
				if err != nil {
					return other(err)
				}
				var r []*loadline.Result
				if err := json.Unmarshal(raw, &r); err != nil {
					return other(fmt.Errorf("%s: %w", name, err))
				}
				all = append(all, r...)
			}
			services := o.Services
			if len(read) > 0 {
				sizes = nil
			}
			for _, n := range sizes {
				o := o
				o.Agents = n
				if services == 0 {
					o.Services = max(2, n/14)
				}
				if o.Dir, err = os.MkdirTemp(dir, "scale"); err != nil {
					return other(err)
				}
				o.Log("%d agents", n)
				r, err := loadline.Run(cmd.Context(), o)
				os.RemoveAll(o.Dir)
				if err != nil {
					return other(err)
				}
				all = append(all, r)
				if cmd.Context().Err() != nil {
					break
				}
			}
			if html != "" {
				f, err := os.Create(html)
				if err == nil {
					if err = loadline.WritePage(f, all); err == nil {
						err = f.Close()
					}
				}
				if err != nil {
					return other(err)
				}
			}
			if asJSON {
				return other(json.NewEncoder(cmd.OutOrStdout()).Encode(all))
			}
			tellScale(cmd.OutOrStdout(), all)
			return nil
		},
	}
	f := c.Flags()
	f.IntSliceVar(&sizes, "agents", []int{100, 300, 1000}, "hollow agents, a run for each size")
	f.BoolVar(&o.Thin, "thin", false, "hollow agents keep no table and have no part in the roster")
	f.BoolVar(&o.Mute, "mute", false, "with --thin: they tell nothing of themselves either, so that the table of backends stays empty")
	f.IntVar(&o.Tugs, "tugs", 2, "real proxies")
	f.IntVar(&o.Core, "core", 3, "core machines")
	f.IntVar(&o.Voters, "voters", 3, "core machines that count, an odd number; one less than half of them may be lost")
	f.IntVar(&o.Zones, "zones", 32, "zones")
	f.IntVar(&o.Regions, "regions", 12, "regions")
	f.IntVar(&o.Services, "services", 0, "services, with a route each; 0: one for 14 agents")
	f.IntVar(&o.Routes, "routes", 0, "further routes")
	f.IntVar(&o.Entries, "entries", 0, "further backends that are told once and have no agent")
	f.IntVar(&o.Pace, "pace", 0, "hollow agents started a second; 0: all at once")
	f.StringVar(&dir, "dir", "", "`folder` for settings and disks, emptied again")
	f.IntVar(&o.Rate, "rate", 100, "changes a second in a storm, calls a second in hops")
	f.DurationVar(&o.Quiet, "stretch", 5*time.Second, "length of a measured stretch")
	f.DurationVar(&o.Most, "most", 170*time.Second, "length of a run of one size")
	f.StringSliceVar(&o.Phases, "phases", slices.DeleteFunc(slices.Clone(loadline.Phases), func(p string) bool { return p == "hops" }),
		"what is measured; also hops, which wants at least two services more than agents, and two real proxies")
	f.BoolVar(&asJSON, "json", false, "print all as JSON")
	f.BoolVar(&quiet, "quiet", false, "no progress")
	f.StringSliceVar(&read, "read", nil, "`files` that --json wrote are shown in place of a run")
	f.StringVar(&html, "html", "", "write one HTML page to this `file` as well")
	return c
}

// tellScale prints a table for each size.
func tellScale(out io.Writer, all []*loadline.Result) {
	for _, r := range all {
		fmt.Fprintf(out, "%d agents, %d real proxies, %d core machines, %d items, %d voters; at most %.0f MB in all; load of the machine before: %s\n", r.Agents, r.Tugs, r.Core, r.Items, cmp.Or(r.Voters, 3), r.PeakMB, r.Load)
		w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "phase\trole\tcores\tbusiest\tMB\tKB/s\tcommits/s\tKB/s to disk\tmessages/s (KB/s), out and in")
		for _, p := range r.Phases {
			for _, role := range slices.Sorted(maps.Keys(p.Roles)) {
				l := p.Roles[role]
				var kinds []string
				for _, k := range slices.Sorted(maps.Keys(l.Kinds)) {
					if v := l.Kinds[k]; v.Out+v.In >= 0.05 && k != "report" {
						kinds = append(kinds, fmt.Sprintf("%s %.1f (%.2f) %.1f (%.2f)", k, v.Out, v.OutBytes/1000, v.In, v.InBytes/1000))
					}
				}
				fmt.Fprintf(w, "%s\t%s\t%.4f\t%.3f\t%.2f\t%.2f\t%.1f\t%.1f\t%s\n", p.Name, role, l.Cores, l.Busiest, l.MB, l.Bytes/1000, l.Commits, l.DiskRate/1000, strings.Join(kinds, ", "))
			}
		}
		w.Flush()
		for _, p := range r.Phases {
			for _, k := range slices.Sorted(maps.Keys(p.Times)) {
				t := p.Times[k]
				fmt.Fprintf(out, "%s: %s: p50 %.1f ms, p99 %.1f, most %.1f, of %d; %d did not come\n", p.Name, k, t.P50, t.P99, t.Most, t.N, t.Missing)
			}
			for _, k := range slices.Sorted(maps.Keys(p.Figures)) {
				fmt.Fprintf(out, "%s: %s %.4g\n", p.Name, k, p.Figures[k])
			}
		}
		for _, l := range r.LeftOut {
			fmt.Fprintln(out, "left out:", l)
		}
	}
}
