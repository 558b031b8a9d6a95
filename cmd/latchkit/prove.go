package main

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"saltmast/internal/grade"
	"saltmast/internal/rehearsal"
)

func proveCommand() *cobra.Command {
	var seeds, agent string
	var beside int
	c := &cobra.Command{
		Use:   "prove",
		Short: "Show on this machine that rehearsals find what they are there to find",
		Long: `prove plays a short scenario in which all four rules are at stake: against agents
that are wrong on purpose, each of which must break just its own rule on every
seed, against one without a flaw, and against the real agent, which must break
none. Exit status: 0 all as expected, 3 the real agent broke a rule, 1 a flaw
went unseen or was taken for another.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			list, err := parseSeeds(seeds)
			if err != nil {
				return usage(err)
			}
			if beside < 1 || beside > 64 {
				return usage(fmt.Errorf("--beside: %d is not from 1 to 64", beside))
			}
			self, err := os.Executable()
			if err != nil {
				return other(err)
			}
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "%-16s  %-8s  %-9s  %-20s  %s\n", "agent", "expected", "seeds", "as expected", "void, played again")
			status := statusOK
			try := func(name, flag, rule string) error {
				command, err := rehearsal.Find(flag, self)
				if err != nil {
					return other(err)
				}
				right, void := 0, 0
				var odd []string
				err = rehearsal.Prove(cmd.Context(), command, list, beside, func(p rehearsal.Proof) {
					void += p.Void
					if p.AsExpected(rule) {
						right++
						return
					}
					odd = append(odd, fmt.Sprintf("  seed %d: %s", p.Seed, p.Result.Line()))
					if rule == "" && name == "real" && p.Result.Verdict == grade.Broke {
						status = statusBroke
					} else if status == statusOK {
						status = statusOther
					}
				})
				if err != nil {
					return other(err)
				}
				want := rule
				if want == "" {
					want = "none"
				}
				fmt.Fprintf(out, "%-16s  %-8s  %-9d  %-20s  %d\n", name, want, len(list), fmt.Sprintf("%d of %d", right, len(list)), void)
				slices.Sort(odd)
				if len(odd) > 0 {
					fmt.Fprintln(out, strings.Join(odd, "\n"))
				}
				return nil
			}
			for _, f := range rehearsal.Flaws {
				if err := try(f.Kind, "naive:"+f.Kind, f.Rule); err != nil {
					return err
				}
			}
			if err := try("real", agent, ""); err != nil {
				return err
			}
			if status != statusOK {
				return &ending{status: status}
			}
			return nil
		},
	}
	c.Flags().StringVar(&seeds, "seeds", "1-10", "such as 1-20 or 3,7,9")
	c.Flags().StringVar(&agent, "agent", "", "`path` of the daemon (default: violetlatch beside latchkit, else latchkit itself)")
	c.Flags().IntVar(&beside, "beside", 2, "runs side by side")
	return c
}
