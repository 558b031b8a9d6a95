package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"saltmast/internal/measure"
	"saltmast/internal/rehearsal"
)

func measureCommand() *cobra.Command {
	var agent, settles string
	o := measure.Options{}
	asJSON := false
	c := &cobra.Command{
		Use:   "measure",
		Short: "Hold the agent's fronts against other proxies, in one run",
		Long: `measure sends the same requests, by HTTP and by Thrift, to a server directly, through
the agent, through net/http/httputil.ReverseProxy and through a proxy built on
Apache's Thrift library, each a process of its own on one core. Ratios of one run
mean something here; single figures don't.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, n := range o.Connections {
				if n < 1 || n > 256 {
					return usage(fmt.Errorf("--connections: %d is not from 1 to 256", n))
				}
			}
			if o.Requests < 100 || o.Requests > 10_000_000 || o.Rounds < 1 || o.Rounds > 100 {
				return usage(fmt.Errorf("--requests %d --rounds %d: 100 to 10000000 and 1 to 100 wanted", o.Requests, o.Rounds))
			}
			self, err := os.Executable()
			if err != nil {
				return other(err)
			}
			if o.Agent, err = rehearsal.Find(agent, self); err != nil {
				return other(err)
			}
			o.Peer = []string{self, "peer"}
			var rows []measure.Row
			if settles != "" {
				rows, err = measure.Settles(cmd.Context(), o, settles)
			} else {
				rows, err = measure.Run(cmd.Context(), o)
			}
			if err != nil {
				return other(err)
			}
			out := cmd.OutOrStdout()
			if asJSON {
				e := json.NewEncoder(out)
				e.SetIndent("", " ")
				return other(e.Encode(rows))
			}
			fmt.Fprintf(out, "%-32s %11s  %9s  %9s  %15s\n", "", "connections", "p50", "p99", "CPU a request")
			for _, r := range rows {
				fmt.Fprintf(out, "%-32s %11d  %9s  %9s  %15s\n", r.Subject, r.Connections, r.P50.Round(1000), r.P99.Round(1000), r.CPU.Round(100))
			}
			return nil
		},
	}
	fl := c.Flags()
	fl.StringVar(&agent, "agent", "", "`path` of the daemon (default: violetlatch beside latchkit, else latchkit itself)")
	fl.IntSliceVar(&o.Connections, "connections", []int{1, 8, 64}, "numbers of connections")
	fl.IntVar(&o.Requests, "requests", 20000, "requests of each subject at each number of connections")
	fl.IntVar(&o.Rounds, "rounds", 3, "turns of each subject; the one with the best median counts")
	fl.BoolVar(&asJSON, "json", false, "print the rows as JSON")
	fl.StringVar(&settles, "settles", "", "measure instead what the journal of settles costs, kept in this `folder`")
	return c
}
