package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"runtime"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"saltmast/internal/model"
	"saltmast/internal/model/lab"
	"saltmast/internal/rehearsal"
	"saltmast/internal/scenario"
)

func labCommand() *cobra.Command {
	var json, runs, windows, html string
	var beside int
	var quiet bool
	c := &cobra.Command{
		Use:   "lab EXPERIMENT.toml",
		Short: "Play experiments on a model of the fleet, in simulated time",
		Long: `lab plays an experiment: a scenario, values of its keys to go through, and seeds.
Backends, list, clients and network are modelled; each agent is the real decision
module, up to 20,000 of them. The same file gives the same results to the byte.
docs/lab.md has the form of the file and what each figure means. Exit status: 0
done, 2 a file or flag that can't be read, 1 anything else.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if beside < 1 || beside > 256 {
				return usage(fmt.Errorf("--beside: %d is not from 1 to 256", beside))
			}
			raw, err := os.ReadFile(args[0])
			if err != nil {
				return usage(err)
			}
			e, err := lab.Read(args[0], raw)
			if err != nil {
				return usage(err)
			}
			n := len(e.Arms()) * (e.Seeds[1] - e.Seeds[0] + 1)
			done := func(lab.One) {}
			if !quiet && term.IsTerminal(int(os.Stderr.Fd())) {
				b := progressbar.NewOptions(n, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish(),
					progressbar.OptionSetWidth(30), progressbar.OptionShowCount())
				defer b.Finish()
				done = func(lab.One) { b.Add(1) }
			}
			all, err := e.Run(cmd.Context(), beside, done)
			if err != nil {
				return other(err)
			}
			sums := e.Summarise(all)
			rows, err := e.RunRows(all)
			if err != nil {
				return other(err)
			}
			for _, f := range []struct {
				name  string
				write func(io.Writer) error
			}{
				{json, func(w io.Writer) error { return writeRuns(w, e, all) }},
				{runs, func(w io.Writer) error { return lab.WriteParquet(w, rows) }},
				{windows, func(w io.Writer) error { return lab.WriteParquet(w, lab.WindowRows(all)) }},
				{html, func(w io.Writer) error { return lab.Page(w, e, sums) }},
			} {
				if f.name == "" {
					continue
				}
				if err := writeFile(cmd.OutOrStdout(), f.name, f.write); err != nil {
					return other(err)
				}
			}
			if json == "-" || html == "-" || runs == "-" || windows == "-" {
				return nil
			}
			return other(lab.Table(cmd.OutOrStdout(), e, sums))
		},
	}
	f := c.Flags()
	f.StringVar(&json, "json", "", "write all runs as JSON to `file`; - for standard output, in place of the table")
	f.StringVar(&runs, "runs", "", "write a row a run as Parquet to `file`")
	f.StringVar(&windows, "windows", "", "write a row a second of each run as Parquet to `file`")
	f.StringVar(&html, "html", "", "write one HTML page to `file`")
	f.IntVar(&beside, "beside", runtime.NumCPU(), "runs side by side; each takes memory for its agents")
	f.BoolVarP(&quiet, "quiet", "q", false, "no progress")
	c.AddCommand(labCheckCommand(), labGateCommand(), exploreCommand(), gossipCommand())
	return c
}

func writeRuns(w io.Writer, e *lab.Experiment, all []lab.One) error {
	type run struct {
		Label  string        `json:"arm"`
		Seed   uint64        `json:"seed"`
		Result *model.Result `json:"result"`
	}
	var out []run
	for _, o := range all {
		out = append(out, run{e.Label(o.Arm), o.Seed, o.Result})
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(out)
}

// labCheckCommand holds the model against rehearsals of the same scenarios.
func labCheckCommand() *cobra.Command {
	var seeds, agent string
	var size scenario.Size
	var asJSON bool
	c := &cobra.Command{
		Use:   "check",
		Short: "Hold the model against rehearsals of the same scenarios, on sockets",
		Long: `check draws a scenario for each seed, plays it as a rehearsal (real agents, sockets,
real time) and in the model, and prints both and how far they lie apart. Faults
that are about bytes on a socket are left out of both. Exit status: 0 done, 1 a
rehearsal or the model could not be played.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := parseSeeds(seeds)
			if err != nil {
				return usage(err)
			}
			self, err := os.Executable()
			if err != nil {
				return other(err)
			}
			command, err := rehearsal.Find(agent, self)
			if err != nil {
				return other(err)
			}
			var pairs []lab.Pair
			for _, seed := range list {
				s := lab.Modelled(scenario.Draw(seed, size))
				if err := s.Check(); err != nil {
					return usage(err)
				}
				plan := scenario.MakePlan(s)
				real, err := rehearsal.Run(cmd.Context(), rehearsal.Options{Plan: plan, Command: command})
				if err != nil {
					return other(err)
				}
				got, err := model.Run(model.Options{Plan: plan})
				if err != nil {
					return other(err)
				}
				p := lab.Pair{Seed: seed, Rehearsal: fromRehearsal(real), Model: lab.FiguresOf(got)}
				p.Void = string(real.Verdict) == "void"
				pairs = append(pairs, p)
			}
			if asJSON {
				enc := json.NewEncoder(cmd.OutOrStdout())
				enc.SetIndent("", " ")
				return other(enc.Encode(pairs))
			}
			return other(lab.Distances(cmd.OutOrStdout(), pairs))
		},
	}
	f := c.Flags()
	f.StringVar(&seeds, "seeds", "1-5", "such as 1-20 or 3,7,9")
	f.StringVar(&agent, "agent", "", "`path` of the daemon (default: violetlatch beside latchkit, else latchkit itself)")
	f.IntVar(&size.Servers, "servers", 0, "servers (default 8)")
	f.IntVar(&size.Agents, "agents", 0, "agents (default 4)")
	f.Float64Var(&size.Rate, "rate", 0, "first tries a second (default: drawn)")
	f.Float64Var(&size.ForS, "for", 0, "seconds of arrivals (default 20)")
	f.BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

// fromRehearsal are the figures of a rehearsal that the model has, too.
func fromRehearsal(r *rehearsal.Result) lab.Figures {
	f := lab.Figures{Share: r.Share, Worst: r.Worst.Share, Requests: float64(r.Requests), Served: float64(r.Served), Late: float64(r.Late),
		Refused: float64(r.Refused), Attempts: float64(r.Counts.Attempts), Tries: float64(r.Counts.Tries), ListCalls: float64(r.ListLoad.Calls)}
	for _, s := range r.Servers {
		f.Connects += float64(s.Handshakes)
	}
	return f
}
