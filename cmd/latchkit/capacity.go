package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"saltmast/internal/scenario"
)

func capacityCommand() *cobra.Command {
	var f rehearseFlags
	var from, to, step float64
	var bound time.Duration
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Find the request rate at which the kit itself becomes late on this machine",
		Long: `capacity plays calm days with ever more requests, and servers enough for them,
until the kit's own lateness at the 99th percentile passes a bound. Rehearsals
above that rate would be void here.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if !(from > 0 && to >= from && step > 1 && f.size.ForS > 0 && f.size.Agents > 0) {
				return usage(fmt.Errorf("--from %v --to %v --step %v --for %v --agents %d: positive wanted, a step above 1", from, to, step, f.size.ForS, f.size.Agents))
			}
			command, err := f.command()
			if err != nil {
				return other(err)
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%8s  %9s  %9s  %9s  %12s  %12s  %8s\n", "rate", "kit p50", "kit p99", "most", "kit a try", "agents a try", "in time")
			last := 0.0
			for rate := from; rate <= to; rate *= step {
				s := calm(f.size, rate)
				if err := s.Check(); err != nil {
					return usage(err)
				}
				res, err := f.play(cmd.Context(), s, command, true)
				if err != nil {
					return other(err)
				}
				if res.Partial {
					return &ending{status: statusOther}
				}
				us := 10 * time.Microsecond
				fmt.Fprintf(out, "%8.0f  %9s  %9s  %9s  %12s  %12s  %7.1f%%\n", rate, res.Lateness.P50.Round(us), res.Lateness.P99.Round(us),
					res.Lateness.Max.Round(us), res.Usage.KitPerTry.Round(us), res.Usage.AgentPerTry.Round(us), 100*res.Share)
				if res.Lateness.P99 > bound {
					break
				}
				last = rate
			}
			if last == 0 {
				fmt.Fprintf(out, "\nlate by more than %v at %.0f requests a second already\n", bound, from)
				return &ending{status: statusVoid}
			}
			fmt.Fprintf(out, "\nin time (p99 within %v) up to %.0f requests a second\n", bound, last)
			return nil
		},
	}
	fl := c.Flags()
	fl.Float64Var(&from, "from", 500, "first rate, requests a second")
	fl.Float64Var(&to, "to", 16000, "last rate")
	fl.Float64Var(&step, "step", 1.414, "factor between two rates")
	fl.Float64Var(&f.size.ForS, "for", 6, "seconds of load at each rate")
	fl.IntVar(&f.size.Agents, "agents", 4, "agents")
	fl.DurationVar(&bound, "bound", 5*time.Millisecond, "of the kit's lateness at the 99th percentile")
	fl.StringVar(&f.agent, "agent", "", "`path` of the daemon (default: violetlatch beside latchkit, else latchkit itself)")
	return c
}

// calm is a day on which nothing goes wrong, with light work and servers enough.
func calm(size scenario.Size, rate float64) scenario.Scenario {
	size.Rate = rate
	size.Servers = min(scenario.MaxServers, 8+int(rate/250))
	s := scenario.Draw(1, size)
	s.Faults, s.Surges = nil, nil
	s.Clients.Skew, s.Clients.Impatient, s.Clients.Retries = 0, 0, 0
	s.Server.ErrorRate = 0
	for i := range s.Classes {
		s.Classes[i].WorkMs = 4
	}
	return s
}
