package retry

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestPick(t *testing.T) {
	n := func(inFlight float64) Candidate { return Candidate{InFlight: inFlight, Used: true} }
	with := func(c Candidate, skip bool, bias float64) Candidate { c.Skip, c.Bias = skip, bias; return c }
	fresh := Candidate{}
	for _, c := range []struct {
		name string
		of   []Candidate
		want []int // each of which must be chosen
	}{
		{"none", nil, []int{-1}},
		{"idle ones at random", []Candidate{n(0), n(1), n(0), n(0)}, []int{0, 2, 3}},
		{"fewest in flight, ties at random", []Candidate{n(3), n(2), n(2)}, []int{1, 2}},
		{"not the one that just failed", []Candidate{with(n(0), true, 0), n(4)}, []int{1}},
		{"the one that just failed if it is the only one", []Candidate{with(n(1), true, 0)}, []int{0}},
		{"all just failed", []Candidate{with(n(1), true, 0), with(n(2), true, 0)}, []int{0}},
		{"a new one is not rushed", []Candidate{n(1), fresh, n(3)}, []int{0}},
		{"a new one beside busy ones", []Candidate{n(2), fresh, n(2)}, []int{0, 1, 2}},
		{"a new one among idle ones", []Candidate{n(0), fresh, n(1)}, []int{0, 1}},
		{"all new", []Candidate{fresh, fresh}, []int{0, 1}},
		{"bias among idle ones", []Candidate{n(0), with(n(0), false, -1), n(0)}, []int{1}},
		{"bias does not outweigh idleness", []Candidate{with(n(0), false, 9), n(1)}, []int{0}},
	} {
		rng, got := rand.New(rand.NewPCG(1, 1)), map[int]bool{}
		for range 200 {
			got[Pick(c.of, rng.Float64)] = true
		}
		for i := range got {
			if !slices.Contains(c.want, i) {
				t.Errorf("%s: chose %d, want one of %v", c.name, i, c.want)
			}
		}
		if len(got) < len(c.want) {
			t.Errorf("%s: chose %v only, want each of %v", c.name, got, c.want)
		}
		if a := testing.AllocsPerRun(10, func() { Pick(c.of, rng.Float64) }); a > 0 {
			t.Errorf("%s: %v allocations", c.name, a)
		}
	}
}

// Pick chooses a skipped candidate only if all are, and no other allowed candidate has fewer attempts in flight or, with
// as many, a lower bias.
func TestPickPrefersFewerInFlight(t *testing.T) {
	candidate := rapid.Custom(func(t *rapid.T) Candidate {
		return Candidate{InFlight: float64(rapid.IntRange(0, 4).Draw(t, "in flight")), Used: true,
			Skip: rapid.Bool().Draw(t, "skip"), Bias: float64(rapid.IntRange(-1, 1).Draw(t, "bias"))}
	})
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.SliceOfN(candidate, 1, 8).Draw(t, "candidates")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		got := c[Pick(c, rng.Float64)]
		for i, o := range c {
			less := o.InFlight < got.InFlight || o.InFlight == got.InFlight && o.Bias < got.Bias
			if got.Skip && !o.Skip || got.Skip == o.Skip && less {
				t.Fatalf("chose %+v instead of candidate %d", got, i)
			}
		}
	})
}

// Race selects by weight: three times the weight, three times as often.
func TestRace(t *testing.T) {
	rng, heavy := rand.New(rand.NewPCG(1, 1)), 0
	for range 4000 {
		var l Least[bool]
		l.Offer(false, WeightedScore(rng.Float64(), 1))
		if l.Offer(true, WeightedScore(rng.Float64(), 3)); l.Item {
			heavy++
		}
	}
	if heavy < 2900 || heavy > 3100 {
		t.Errorf("the heavier item was chosen %d times of 4000, want about 3000", heavy)
	}
}
