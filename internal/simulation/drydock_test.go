package simulation

import (
	"context"
	"flag"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

var (
	seeds = flag.Int("drydock.seeds", 1, "days of each kind")
	from  = flag.Uint64("drydock.from", 1, "the first seed")
)

// raced are the kinds that are played where the race detector looks on, which takes four times as long.
var raced = []string{"changes", "core-kill", "power-wipe", "side-stop", "release", "lost-answers", "storm"}

// Each kind of day keeps the rules. DRYDOCK_DAY and DRYDOCK_SEED play one, with what the rooms log; -drydock.seeds plays more.
func TestDays(t *testing.T) {
	days, n, first := Days, *seeds, *from
	one := os.Getenv("DRYDOCK_DAY")
	if one != "" {
		d, err := DayNamed(one)
		if err != nil {
			t.Fatal(err)
		}
		days = []Day{d}
	}
	if s := os.Getenv("DRYDOCK_SEED"); s != "" {
		x, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		first, n = x, 1
	}
	for _, d := range days {
		if raceOn && one == "" && !slices.Contains(raced, d.Name) {
			continue
		}
		for k := range n {
			seed := first + uint64(k)
			t.Run(d.Name+"/"+strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				l, broken, notes := Play(t, d, seed, Flaw{})
				if l == nil {
					return
				}
				if one != "" {
					for _, line := range notes {
						t.Log(line)
					}

				}
				t.Log(l.Tell())
				if len(broken) > 0 {
					t.Error(Report(d, seed, broken))
				}
			})
		}
	}
}

// A day in which time stands still is given up, as one that broke a rule; a hunt that is stopped plays no more.
func TestDayWithoutAnEnd(t *testing.T) {
	let := make(chan struct{}) // of no bubble: who waits there keeps its time from going on
	spins := Variant{1, Day{Name: "spins", Length: time.Second, Events: func(*World, *operator) { <-let }}}
	t.Run("days", func(t *testing.T) {
		h := Hunter{T: t, Jobs: 1, Most: time.Millisecond}
		bad := h.All(t.Context(), []Variant{spins}, func(Outcome) {})
		close(let)
		if bad == nil || !bad.Hung || bad.Broken[0].Rule != "WORLD" {
			t.Fatalf("a day that came to no end: %+v", bad)
		}
		if p := <-bad.rest; p.log == nil {
			t.Error("it came to none when it could go on")
		}
		ctx, stop := context.WithCancel(t.Context())
		stop()
		if bad := h.All(ctx, []Variant{spins}, func(Outcome) { t.Error("it was played") }); bad != nil {
			t.Errorf("a hunt that was stopped: %+v", bad)
		}
	})
}
