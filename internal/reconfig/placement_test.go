package reconfig

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A voter set grows to the wanted size or not at all, from zones with the fewest voters first.
func TestGrow(t *testing.T) {
	voterSet := VoterSet{Voters: []Voter{{Addr: "a", Zone: "1"}, {Addr: "b", Zone: "2"}, {Addr: "c", Zone: "3"}}}
	for _, c := range []struct {
		losses     int
		candidates []Voter
		want       string
	}{
		{1, []Voter{{Addr: "d", Zone: "4"}, {Addr: "e", Zone: "5"}}, ""},
		{2, []Voter{{Addr: "d", Zone: "4"}}, ""},
		{2, []Voter{{Addr: "d", Zone: "4"}, {Addr: "a", Zone: "1"}}, ""},
		{2, []Voter{{Addr: "d", Zone: "1"}, {Addr: "e", Zone: "4"}, {Addr: "f", Zone: "4"}, {Addr: "g", Zone: "5"}}, "abceg"},
		{3, []Voter{{Addr: "d", Zone: "1"}, {Addr: "e", Zone: "4"}, {Addr: "f", Zone: "4"}, {Addr: "g", Zone: "5"}}, "abcegdf"},
	} {
		voters, ok := Grow(voterSet, VotersFor(c.losses), c.candidates)
		got := ""
		for _, v := range voters {
			got += v.Addr
		}
		if ok != (c.want != "") || ok && got != c.want {
			t.Errorf("%d losses: %q, %v, want %q", c.losses, got, ok, c.want)
		}
	}
}

// Only lost voters are replaced, unless a zone or region whose loss must be tolerated holds a majority.
func TestNext(t *testing.T) {
	parseVoters := func(s string) (voters []Voter) { // a1: machine a in zone 1
		for i := 0; i+1 < len(s); i += 2 {
			voters = append(voters, Voter{Addr: s[i : i+1], Zone: s[i+1 : i+2]})
		}
		return voters
	}
	regions := map[string]string{"1": "x", "2": "x", "3": "y", "4": "z"}
	for _, c := range []struct {
		voterSet, candidates string
		lost                 []int
		wanted               int
		tolerance            Tolerance
		want                 string
	}{
		{"a1b2c3", "d1e3", nil, 3, Tolerance{Zones: 1}, ""},
		{"a1b2c3", "d1e3", []int{2}, 3, Tolerance{}, "abe"},
		{"a1b2c3", "d1", []int{2}, 3, Tolerance{}, "abd"},
		{"a1b2c3", "", []int{2}, 3, Tolerance{}, ""},
		{"a1b2c3", "d1e3", []int{0, 2}, 3, Tolerance{}, "dbe"},
		{"a1b2c3d4e5", "f1g2", []int{1, 0}, 5, Tolerance{}, "fgcde"},
		{"a1b2c3", "d1e2f4", []int{2}, 3, Tolerance{Zones: 1}, "abf"},
		{"a1b1c1", "d1", nil, 3, Tolerance{Zones: 1}, ""},
		{"a1b1c1", "d2", nil, 3, Tolerance{Zones: 1}, "dbc"}, // as far as the candidates allow
		{"a1b1c1", "d2e3", nil, 3, Tolerance{Zones: 1}, "dec"},
		{"a1b1c1", "d2e3", nil, 3, Tolerance{}, ""},
		{"a1b1c1", "d2e3f4", nil, 3, Tolerance{Regions: 1, RegionOf: regions}, "efc"},
		{"a1b2c3", "d4", nil, 3, Tolerance{Regions: 1, RegionOf: regions}, "dbc"},
		{"a b c ", "d2e3", nil, 3, Tolerance{Zones: 1}, ""},
	} {
		voters := parseVoters(c.voterSet)
		for i := range voters {
			if voters[i].Zone == " " { // unknown zone
				voters[i].Zone = ""
			}
		}
		got := ""
		for _, v := range NextVoters(VoterSet{Voters: voters}, c.lost, c.wanted, c.tolerance, parseVoters(c.candidates)) {
			got += v.Addr
		}
		if got != c.want {
			t.Errorf("%s, lost %v, of %s, %+v: %q, want %q", c.voterSet, c.lost, c.candidates, c.tolerance, got, c.want)
		}
	}
}

// For any zones, the worst tolerated loss takes as few voters of the result as of any other choice of that size, no voter appears
// twice, and nothing changes if the loss leaves a majority already.
func TestSpreadIsTheBest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 6).Draw(t, "zones")
		newVoter := func(i int) Voter {
			return Voter{Addr: fmt.Sprint(i), Zone: fmt.Sprint(rapid.IntRange(1, zones).Draw(t, "zone"))}
		}
		n := []int{3, 5, 7}[rapid.IntRange(0, 2).Draw(t, "size")]
		var voters, candidates []Voter
		for i := range n {
			voters = append(voters, newVoter(i))
		}
		for i := range rapid.IntRange(0, 5).Draw(t, "candidates") {
			candidates = append(candidates, newVoter(n+i))
		}
		tolerance := Tolerance{Zones: rapid.IntRange(1, (n-1)/2).Draw(t, "borne")}
		worstLoss := func(voters []Voter) int { // number of voters in the worst loss, computed independently of Excess
			byZone := map[string]int{}
			for _, v := range voters {
				byZone[v.Zone]++
			}
			var sizes []int
			for _, k := range byZone {
				sizes = append(sizes, k)
			}
			slices.Sort(sizes)
			sum := 0
			for _, k := range sizes[max(0, len(sizes)-tolerance.Zones):] {
				sum += k
			}
			return sum
		}
		got := Spread(voters, tolerance, candidates)
		pool, lowest := append(slices.Clone(voters), candidates...), n
		for mask := range 1 << len(pool) {
			var subset []Voter
			for i, v := range pool {
				if mask>>i&1 == 1 {
					subset = append(subset, v)
				}
			}
			if len(subset) == n {
				lowest = min(lowest, worstLoss(subset))
			}
		}
		tolerated := (n - 1) / 2
		if max(worstLoss(got), tolerated) != max(lowest, tolerated) {
			t.Fatalf("%v of %v: %d are lost at worst, %d could be", got, pool, worstLoss(got), lowest)
		}
		seen := map[string]bool{}
		for _, v := range got {
			seen[v.Addr] = true
		}
		if len(seen) != n || worstLoss(voters) <= tolerated && !slices.Equal(got, voters) {
			t.Fatalf("%v became %v", voters, got)
		}
	})
}
