package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"saltmast/internal/faultschedule"
)

const mostDays = 10_000

// daysFlags are the flags of days.
type daysFlags struct {
	seed  uint64
	count int
	out   string
	kinds []string
	own   bool
	json  bool
}

// dayLine is what is printed of a day.
type dayLine struct {
	File    string   `json:"file"`
	Seed    uint32   `json:"seed"`
	Entries int      `json:"entries"`
	Lost    int      `json:"lost_at_once"` // machines that count, within what is borne
	Kinds   []string `json:"kinds"`
	Closing string   `json:"closing,omitempty"`
}

func daysCommand() *cobra.Command {
	f := daysFlags{}
	c := &cobra.Command{
		Use:   "days SITE",
		Short: "Draw days of our own for the operators' bench from a seed",
		Long: `days reads a site file of the operators' bench and writes days for it, a TOML file
each: every kind of trouble and of planned work in every variant, dealt like cards,
at any moment, several at once, some twice, with a closing fault or without one.
Of the machines that count no more are lost at a time than the site bears, each for
as long as it is away and its catch-up time after that. The same seed gives the same
days, and the first days of a longer draw. Exit status: 0 written, 2 bad usage or a
site file that can't be read, 1 anything else.`,
		Example: `  latchkit days site.toml --seed 7 --count 40 --out days
  latchkit days site.toml --kinds core_cut,config_storm --out days`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return f.run(cmd, args[0]) },
	}
	fl := c.Flags()
	fl.Uint64Var(&f.seed, "seed", 1, "the seed of the draw")
	fl.IntVar(&f.count, "count", 10, "how many days")
	fl.StringVar(&f.out, "out", "", "the `folder` to write to; it is made if need be")
	fl.StringSliceVar(&f.kinds, "kinds", nil, "deal these kinds alone: "+strings.Join(faultschedule.Kinds(), ", "))
	fl.BoolVar(&f.own, "own", false, "deal the kinds that the site's own troubles name alone")
	fl.BoolVar(&f.json, "json", false, "print a JSON line for each day")
	c.MarkFlagsMutuallyExclusive("kinds", "own")
	return c
}

func (f *daysFlags) run(cmd *cobra.Command, path string) error {
	if f.count < 1 || f.count > mostDays {
		return usage(fmt.Errorf("--count: %d: 1 to %d wanted", f.count, mostDays))
	}
	if f.out == "" {
		return usage(fmt.Errorf("--out: a folder wanted"))
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return usage(err)
	}
	site, err := faultschedule.ReadSite(path, text)
	if err != nil {
		return usage(err)
	}
	own, err := site.Kinds() // also a look whether the table knows them all
	if err != nil {
		return usage(err)
	}
	kinds := site.Plays()
	switch {
	case f.own:
		kinds = own
	case len(f.kinds) > 0:
		kinds = f.kinds
	}
	days, err := faultschedule.Draw(site, f.seed, f.count, kinds)
	if err != nil {
		return usage(fmt.Errorf("--kinds: %w", err))
	}
	if err := os.MkdirAll(f.out, 0o755); err != nil {
		return other(err)
	}
	for _, d := range days {
		line := dayLine{File: filepath.Join(f.out, d.Name+".toml"), Seed: d.Seed, Entries: len(d.Entries), Lost: d.Lost()}
		seen := map[string]bool{}
		for _, e := range d.Entries {
			seen[e.Kind] = true
		}
		line.Kinds = slices.Sorted(maps.Keys(seen))
		if d.Closing != nil {
			line.Closing = d.Closing.Kind
		}
		if err := renameio.WriteFile(line.File, []byte(d.Text(site)), 0o644); err != nil {
			return other(err)
		}
		if f.json {
			drydockLine(cmd.OutOrStdout(), line)
			continue
		}
		fmt.Fprintf(cmd.OutOrStdout(), "%s: %d entries, %d lost at once at most: %s\n", line.File, line.Entries, line.Lost, strings.Join(line.Kinds, " "))
	}
	return nil
}
