package reconfig

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A roll grows to as many voters as are wanted or not at all, of zones that have the fewest first.
func TestGrow(t *testing.T) {
	roll := VoterSet{Voters: []Voter{{Addr: "a", Zone: "1"}, {Addr: "b", Zone: "2"}, {Addr: "c", Zone: "3"}}}
	for _, c := range []struct {
		losses int
		of     []Voter
		want   string
	}{
		{1, []Voter{{Addr: "d", Zone: "4"}, {Addr: "e", Zone: "5"}}, ""},
		{2, []Voter{{Addr: "d", Zone: "4"}}, ""},
		{2, []Voter{{Addr: "d", Zone: "4"}, {Addr: "a", Zone: "1"}}, ""},
		{2, []Voter{{Addr: "d", Zone: "1"}, {Addr: "e", Zone: "4"}, {Addr: "f", Zone: "4"}, {Addr: "g", Zone: "5"}}, "abceg"},
		{3, []Voter{{Addr: "d", Zone: "1"}, {Addr: "e", Zone: "4"}, {Addr: "f", Zone: "4"}, {Addr: "g", Zone: "5"}}, "abcegdf"},
	} {
		voters, ok := Grow(roll, VotersFor(c.losses), c.of)
		got := ""
		for _, v := range voters {
			got += v.Addr
		}
		if ok != (c.want != "") || ok && got != c.want {
			t.Errorf("%d losses: %q, %v, want %q", c.losses, got, ok, c.want)
		}
	}
}

// Nobody leaves but those that are lost, unless a zone or region that is to be borne holds a majority.
func TestNext(t *testing.T) {
	all := func(s string) (out []Voter) { // a1: machine a in zone 1
		for i := 0; i+1 < len(s); i += 2 {
			out = append(out, Voter{Addr: s[i : i+1], Zone: s[i+1 : i+2]})
		}
		return out
	}
	regions := map[string]string{"1": "x", "2": "x", "3": "y", "4": "z"}
	for _, c := range []struct {
		roll, candidates string
		lost             []int
		wanted           int
		bears            Tolerance
		want             string
	}{
		{"a1b2c3", "d1e3", nil, 3, Tolerance{Zones: 1}, ""},
		{"a1b2c3", "d1e3", []int{2}, 3, Tolerance{}, "abe"},
		{"a1b2c3", "d1", []int{2}, 3, Tolerance{}, "abd"},
		{"a1b2c3", "", []int{2}, 3, Tolerance{}, ""},
		{"a1b2c3", "d1e3", []int{0, 2}, 3, Tolerance{}, "dbe"},
		{"a1b2c3d4e5", "f1g2", []int{1, 0}, 5, Tolerance{}, "fgcde"},
		{"a1b2c3", "d1e2f4", []int{2}, 3, Tolerance{Zones: 1}, "abf"},
		{"a1b1c1", "d1", nil, 3, Tolerance{Zones: 1}, ""},
		{"a1b1c1", "d2", nil, 3, Tolerance{Zones: 1}, "dbc"}, // as far as it goes
		{"a1b1c1", "d2e3", nil, 3, Tolerance{Zones: 1}, "dec"},
		{"a1b1c1", "d2e3", nil, 3, Tolerance{}, ""},
		{"a1b1c1", "d2e3f4", nil, 3, Tolerance{Regions: 1, RegionOf: regions}, "efc"},
		{"a1b2c3", "d4", nil, 3, Tolerance{Regions: 1, RegionOf: regions}, "dbc"},
		{"a b c ", "d2e3", nil, 3, Tolerance{Zones: 1}, ""},
	} {
		voters := all(c.roll)
		for i := range voters {
			if voters[i].Zone == " " { // not known
				voters[i].Zone = ""
			}
		}
		got := ""
		for _, v := range NextVoters(VoterSet{Voters: voters}, c.lost, c.wanted, c.bears, all(c.candidates)) {
			got += v.Addr
		}
		if got != c.want {
			t.Errorf("%s, lost %v, of %s, %+v: %q, want %q", c.roll, c.lost, c.candidates, c.bears, got, c.want)
		}
	}
}

// Whatever the zones: the worst loss that is to be borne takes as few voters as any choice of as many would have it, none is twice on
// the roll, and where all is borne nobody moves.
func TestSpreadIsTheBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 6).Draw(t, "zones")
		one := func(i int) Voter {
			return Voter{Addr: fmt.Sprint(i), Zone: fmt.Sprint(rapid.IntRange(1, zones).Draw(t, "zone"))}
		}
		n := []int{3, 5, 7}[rapid.IntRange(0, 2).Draw(t, "size")]
		var voters, candidates []Voter
		for i := range n {
			voters = append(voters, one(i))
		}
		for i := range rapid.IntRange(0, 5).Draw(t, "candidates") {
			candidates = append(candidates, one(n+i))
		}
		bears := Tolerance{Zones: rapid.IntRange(1, (n-1)/2).Draw(t, "borne")}
		taken := func(of []Voter) int { // by the worst loss, counted apart from Excess
			in := map[string]int{}
			for _, v := range of {
				in[v.Zone]++
			}
			var sizes []int
			for _, k := range in {
				sizes = append(sizes, k)
			}
			slices.Sort(sizes)
			sum := 0
			for _, k := range sizes[max(0, len(sizes)-bears.Zones):] {
				sum += k
			}
			return sum
		}
		got := Spread(voters, bears, candidates)
		pool, least := append(slices.Clone(voters), candidates...), n
		for set := range 1 << len(pool) {
			var some []Voter
			for i, v := range pool {
				if set>>i&1 == 1 {
					some = append(some, v)
				}
			}
			if len(some) == n {
				least = min(least, taken(some))
			}
		}
		borne := (n - 1) / 2
		if max(taken(got), borne) != max(least, borne) {
			t.Fatalf("%v of %v: %d are lost at worst, %d could be", got, pool, taken(got), least)
		}
		seen := map[string]bool{}
		for _, v := range got {
			seen[v.Addr] = true
		}
		if len(seen) != n || taken(voters) <= borne && !slices.Equal(got, voters) {
			t.Fatalf("%v became %v", voters, got)
		}
	})
}
