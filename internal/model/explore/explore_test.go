package explore

import (
	"strings"
	"testing"
	"time"

	"saltmast/internal/shared"
)

func options() Options {
	return Options{Agents: 3, Steps: 6, Messages: 3, Repeats: 1, Restarts: 1,
		Budget: shared.Budget{Name: "r", Rate: 3000, Agents: 3, Static: 0.5, Lease: 2 * time.Second, Burst: time.Second}}
}

func TestNoStateHoldsMoreThanTheBudget(t *testing.T) {
	r := Run(options())
	t.Logf("%d states, %d moves, %d steps, at most %d held", r.States, r.Moves, r.Deepest, r.Worst)
	if r.Breach != nil {
		t.Fatal(strings.Join(r.Breach, "\n"))
	}
}

func TestMistakesAreFound(t *testing.T) {
	for name, wrong := range shared.Mistakes {
		o := options()
		o.Wrong = wrong
		r := Run(o)
		if r.Breach == nil {
			t.Errorf("%s: not found in %d states", name, r.States)
		}
		t.Logf("%s, %d states:\n  %s", name, r.States, strings.Join(r.Breach, "\n  "))
	}
}
