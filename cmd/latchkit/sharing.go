package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"saltmast/internal/model/explore"
	"saltmast/internal/model/gossip"
	"saltmast/internal/shared"
)

// exploreCommand visits every state of a few holders of a budget.
func exploreCommand() *cobra.Command {
	var o explore.Options
	wrong, asJSON := "", false
	names := slices.Sorted(maps.Keys(shared.Mistakes))
	c := &cobra.Command{
		Use:   "explore",
		Short: "Visit every state that holders of a shared budget can get into",
		Long: `explore steps the agents' own code for a shared budget through every order of
asks, grants, returns, losses, repeats, restarts and passing seconds, by breadth,
and looks in each state whether all together hold more than there is. Exit
status: 0 never, 3 the shortest way to more is printed, 2 bad usage.`,
		Example: "  latchkit lab explore --steps 8\n  latchkit lab explore --wrong takes-silent",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for name, v := range map[string][3]int{"agents": {o.Agents, 2, 5}, "steps": {o.Steps, 1, 12}, "messages": {o.Messages, 1, 8}, "repeats": {o.Repeats, 0, 4}, "restarts": {o.Restarts, 0, 4}} {
				if v[0] < v[1] || v[0] > v[2] {
					return usage(fmt.Errorf("--%s: %d is not from %d to %d", name, v[0], v[1], v[2]))
				}
			}
			if wrong != "" {
				w, ok := shared.Mistakes[wrong]
				if !ok {
					return usage(fmt.Errorf("--wrong: %q is none of %s", wrong, strings.Join(names, ", ")))
				}
				o.Wrong = w
			}
			o.Budget = shared.Budget{Name: "retries", Rate: 1000 * int64(o.Agents), Agents: o.Agents, Static: 0.5, Lease: 2 * time.Second, Burst: time.Second}
			r := explore.Run(o)
			out := cmd.OutOrStdout()
			if asJSON {
				if err := json.NewEncoder(out).Encode(r); err != nil {
					return other(err)
				}
			} else {
				fmt.Fprintf(out, "%d states by %d moves, %d steps whole; at most %.1f held of %.1f a second\n", r.States, r.Moves, r.Deepest, float64(r.Worst)/1000, float64(o.Budget.Rate)/1000)
				for _, line := range r.Breach {
					fmt.Fprintln(out, "  "+line)
				}
			}
			if r.Breach != nil {
				return &ending{status: statusBroke}
			}
			return nil
		},
	}
	fl := c.Flags()
	fl.IntVar(&o.Agents, "agents", 3, "holders")
	fl.IntVar(&o.Steps, "steps", 7, "from the start; 8 take half a minute and 2 GB")
	fl.IntVar(&o.Messages, "messages", 3, "on their way at once")
	fl.IntVar(&o.Repeats, "repeats", 1, "messages that arrive twice, in all")
	fl.IntVar(&o.Restarts, "restarts", 1, "agents that are killed and start anew, in all")
	fl.StringVar(&wrong, "wrong", "", "with a mistake: "+strings.Join(names, ", "))
	fl.BoolVar(&asJSON, "json", false, "print the result as JSON")
	return c
}

// gossipCommand plays how counts travel, at sizes that no machine has processes for.
func gossipCommand() *cobra.Command {
	o := gossip.Options{}
	var sizes []int
	asJSON := false
	c := &cobra.Command{
		Use:   "gossip",
		Short: "Play how shared counts travel among many agents, in simulated time",
		Long: `gossip has two halves of a fleet count while they are cut off from each other,
heals the cut, and tells how long it takes until all say what was counted.
Exit status: 0, 3 some did not within ten minutes or said more, 2 bad usage.`,
		Example: "  latchkit lab gossip --agents 12,100,300",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, n := range sizes {
				if n < 2 || n > 10000 {
					return usage(fmt.Errorf("--agents: %d is not from 2 to 10000", n))
				}
			}
			if o.Tell < 1 || o.Loss < 0 || o.Loss > 0.9 || o.Bytes < 64 {
				return usage(fmt.Errorf("--tell from 1, --loss from 0 to 0.9, --bytes from 64"))
			}
			o.Exchange, o.Cut, o.Most = 30*time.Second, 5*time.Second, 10*time.Minute
			out := cmd.OutOrStdout()
			bad := false
			tell := o.Tell
			for _, n := range sizes {
				o.Agents, o.Tell = n, min(n, tell)
				r := gossip.Run(o)
				bad = bad || r.Agreed < 0 || r.Over > 0
				if asJSON {
					if err := json.NewEncoder(out).Encode(map[string]any{"agents": n, "counting": o.Tell, "result": r}); err != nil {
						return other(err)
					}
					continue
				}
				fmt.Fprintf(out, "%6d agents, %d counting: half agree after %.1f s, all after %.1f s; %.0f bytes a second to each; %d said more\n",
					n, o.Tell, r.Half.Seconds(), r.Agreed.Seconds(), r.BytesASec, r.Over)
			}
			if bad {
				return &ending{status: statusBroke}
			}
			return nil
		},
	}
	fl := c.Flags()
	fl.IntSliceVar(&sizes, "agents", []int{12, 100, 300}, "sizes to play")
	fl.IntVar(&o.Tell, "tell", 100, "of them that count; the others pass it on")
	fl.Float64Var(&o.Loss, "loss", 0.05, "part of the messages that is lost")
	fl.IntVar(&o.Bytes, "bytes", 1024, "a second that each may tell")
	fl.Uint64Var(&o.Seed, "seed", 1, "draws everything")
	fl.BoolVar(&asJSON, "json", false, "print the results as JSON lines")
	return c
}
