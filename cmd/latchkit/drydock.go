package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"

	"saltmast/internal/simulation"
)

const (
	maxDays = 100_000
	// dayMost is far longer than a day of any kind takes on a crowded machine: a few seconds.
	dayMost = 2 * time.Minute
)

// errBroke is the end of a hunt that found something, which has told so.
var errBroke = &ending{status: statusOther}

// drydockFlags are the flags of drydock.
type drydockFlags struct {
	seed                uint64
	days, jobs          int
	plays, trials       int
	kind, variant, flaw string
	json, floor, quiet  bool
	known               []string
}

func drydockCommand() *cobra.Command {
	f := drydockFlags{}
	c := &cobra.Command{
		Use:   "drydock",
		Short: "Play days of the mesh in virtual time, and find the smallest that breaks a rule",
		Long: `drydock plays days of the mesh in this process, in virtual time: real proxies,
registries and stores on a network in memory, with seeded troubles. The days are
of one kind, or of all in turn. At the first breach it stops and looks for the
smallest variant of that day that still breaks the same rule. Exit status: 0 no
rule broke, 1 a rule broke, 2 bad usage.`,
		Example: `  latchkit drydock --days 60
  latchkit drydock --seed 1000 --days 500 --jobs 3
  latchkit drydock --kind storm --seed 7 --days 20
  latchkit drydock --variant small.json --days 20`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	var kinds []string
	for _, d := range simulation.Days {
		kinds = append(kinds, d.Name)
	}
	fl := c.Flags()
	fl.Uint64Var(&f.seed, "seed", 1, "the first seed")
	fl.IntVar(&f.days, "days", len(simulation.Days), "how many days; of all kinds in turn, each kind by its seed, the next and so on")
	fl.StringVar(&f.kind, "kind", "", "one kind of day: "+strings.Join(kinds, ", "))
	fl.StringVar(&f.variant, "variant", "", "play the variant in this JSON `file`, as --json prints the smallest, again and again; from --seed on if given")
	fl.IntVar(&f.jobs, "jobs", runtime.GOMAXPROCS(0), "days at once")
	fl.BoolVar(&f.json, "json", false, "print a JSON line for each day, and for the smallest")
	fl.BoolVar(&f.floor, "floor", false, "hold each kind to the part of requests that it is to serve, too")
	fl.BoolVar(&f.quiet, "quiet", false, "print what broke and the verdict alone")
	fl.StringSliceVar(&f.known, "pass-over", nil, "known breaches, as KIND:RULE, that are told and passed over")
	fl.IntVar(&f.plays, "plays", 4, "plays of each smaller day: two plays of a seed are not equal")
	fl.IntVar(&f.trials, "trials", 250, "plays of smaller days at the most; 0: look for none")
	fl.StringVar(&f.flaw, "flaw", "", "spoil the world: "+strings.Join(slices.Sorted(maps.Keys(simulation.Spoilt)), ", "))
	if err := fl.MarkHidden("flaw"); err != nil {
		panic(err)
	}
	c.MarkFlagsMutuallyExclusive("variant", "kind")
	return c
}

func (f *drydockFlags) run(cmd *cobra.Command) error {
	for name, n := range map[string]int{"days": f.days, "jobs": f.jobs, "plays": f.plays} {
		if n < 1 || n > maxDays {
			return usage(fmt.Errorf("--%s: %d: 1 to %d wanted", name, n, maxDays))
		}
	}
	flaw, known := simulation.Spoilt[f.flaw]
	if f.flaw != "" && !known {
		return usage(fmt.Errorf("--flaw: no flaw is named %q", f.flaw))
	}
	passed := map[string]bool{}
	for _, k := range f.known {
		kind, rule, _ := strings.Cut(k, ":")
		if _, err := simulation.DayNamed(kind); err != nil || rule == "" {
			return usage(fmt.Errorf("--pass-over: %q: KIND:RULE wanted, of a kind that there is", k))
		}
		passed[k] = true
	}
	days, err := f.drawn(cmd.Flags().Changed("seed"))
	if err != nil {
		return usage(err)
	}
	var ended error
	err = simulation.Within(func(t *testing.T) {
		ended = f.hunt(cmd, simulation.Hunter{T: t, Jobs: f.jobs, Flaw: flaw, Most: dayMost, Known: passed}, days)
	})
	return other(cmp.Or(err, ended))
}

// drawn are the days to play. on: a variant is played by its seed and those behind it.
func (f *drydockFlags) drawn(on bool) ([]simulation.Variant, error) {
	if f.variant == "" {
		days, err := simulation.Drawn(f.seed, f.days, f.kind, f.floor)
		if err != nil {
			err = fmt.Errorf("--kind: %w", err)
		}
		return days, err
	}
	text, err := os.ReadFile(f.variant)
	if err != nil {
		return nil, err
	}
	v, err := simulation.ReadVariant(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", f.variant, err)
	}
	days := slices.Repeat([]simulation.Variant{v}, f.days)
	for i := range days {
		if on {
			days[i].Seed = f.seed + uint64(i)
		}
	}
	return days, nil
}

// hunt plays the days. errBroke: a rule broke. Days that were not played are no days that kept the rules.
func (f *drydockFlags) hunt(cmd *cobra.Command, h simulation.Hunter, days []simulation.Variant) error {
	ctx, out, notes := cmd.Context(), cmd.OutOrStdout(), cmd.ErrOrStderr()
	begun, n, passedOver := time.Now(), 0, 0
	bad := h.All(ctx, days, func(o simulation.Outcome) {
		n++
		if f.json {
			drydockLine(out, o)
			return
		}
		if f.quiet && len(o.Broken) == 0 {
			return
		}
		verdict := "kept"
		if len(o.Broken) > 0 {
			verdict = "BROKEN " + o.Broken[0].Rule
		}
		if h.PassedOver(o) {
			passedOver++
			verdict = "KNOWN RED, passed over: " + o.Broken[0].Rule
		}
		fmt.Fprintf(out, "%d/%d %s/%d %.1f s %s: %s\n", n, len(days), o.Name, o.Seed, o.Took.Seconds(), verdict, o.Tell)
	})
	if bad == nil && n < len(days) {
		return fmt.Errorf("stopped: %d of %d days were played, in which no rule broke", n, len(days))
	}
	if bad == nil {
		if !f.json {
			but := ""
			if passedOver > 0 {
				but = fmt.Sprintf(" but what is known, on %d", passedOver)
			}
			fmt.Fprintf(out, "%d days, no rule broken%s, in %.0f s\n", n, but, time.Since(begun).Seconds())
		}
		return nil
	}
	if !f.json {
		fmt.Fprintf(out, "\n%s/%d broke %s\n", bad.Name, bad.Seed, bad.Broken[0])
	}
	if f.trials <= 0 || bad.Hung {
		return errBroke
	}
	s := simulation.Shrink{Hunter: h, Rule: bad.Broken[0].Rule, Plays: f.plays, Most: f.trials, Say: func(line string) { fmt.Fprintln(notes, line) }}
	small, broke, of := s.Find(ctx, *bad)
	if f.json {
		drydockLine(out, struct {
			Smallest simulation.Variant `json:"smallest"`
			Rule     string             `json:"rule"`
			Broke    int                `json:"broke"`
			Of       int                `json:"of"`
			Steps    []simulation.Step  `json:"steps"`
		}{small.Variant, s.Rule, broke, of, small.Steps})
		return errBroke
	}
	fmt.Fprintf(out, "\nthe smallest, which broke %s in %d of %d plays:\n%s", s.Rule, broke, of, small.Smallest(s.Rule))
	return errBroke
}

func drydockLine(out io.Writer, v any) {
	if err := json.NewEncoder(out).Encode(v); err != nil && !errors.Is(err, os.ErrClosed) {
		fmt.Fprintln(os.Stderr, "latchkit:", err)
	}
}
