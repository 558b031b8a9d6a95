package shared

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// court is a value with members a to f, in zones north and south in turn, and ten backends that are up.
func court() (*Value, Bench) {
	v := NewValue(Agent{"a", 1}, terms, 0)
	v.Advance(20 * time.Second)
	b := Bench{Witnesses: 3, Part: 0.2, Backends: map[string]int64{}, Zones: map[Agent]string{}}
	for i := range 6 {
		b.Zones[Agent{string(rune('a' + i)), 1}] = []string{"north", "south"}[i%2]
	}
	for i := range 10 {
		b.Backends[fmt.Sprint("s", i)] = 100
	}
	return v, b
}

// says has agents tell of a backend.
func says(v *Value, who, backend string, seen Seen) {
	var d Delta
	for _, w := range who {
		d.Evidence = append(d.Evidence, Evidence{Agent{string(w), 1}, backend, 100, v.Turn(), seen})
	}
	d.Turn = v.Turn()
	if _, err := v.Merge(v.since, d); err != nil {
		panic(err)
	}
	for _, w := range who {
		if string(w) == v.self.Name {
			v.Testify(Evidence{Backend: backend, Started: 100, Turn: v.Turn(), Seen: seen})
		}
	}
}

var (
	bad  = Seen{Bad: 3}
	slow = Seen{Slow: 5, Good: 1}
	good = Seen{Good: 4}
)

func TestVerdicts(t *testing.T) {
	all := func(v *Value, who string, n int, seen Seen) {
		for i := range n {
			says(v, who, fmt.Sprint("s", i), seen)
		}
	}
	for name, c := range map[string]struct {
		do   func(v *Value, b *Bench)
		want []string // bad with !, back with +
	}{
		"nobody says anything":         {func(*Value, *Bench) {}, nil},
		"three of two zones":           {func(v *Value, _ *Bench) { says(v, "bcd", "s1", bad) }, []string{"!s1"}},
		"slow is bad too":              {func(v *Value, _ *Bench) { says(v, "bcd", "s1", slow) }, []string{"!s1"}},
		"this agent is one of them":    {func(v *Value, _ *Bench) { says(v, "abc", "s1", bad) }, []string{"!s1"}},
		"one agent alone":              {func(v *Value, _ *Bench) { says(v, "b", "s1", Seen{Bad: 1000}) }, nil},
		"two of three that are wanted": {func(v *Value, _ *Bench) { says(v, "bc", "s1", bad) }, nil},
		"one zone alone":               {func(v *Value, _ *Bench) { says(v, "bdf", "s1", bad) }, nil},
		"one zone, and there is no other": {func(v *Value, b *Bench) {
			for a := range b.Zones {
				b.Zones[a] = ""
			}
			says(v, "bdf", "s1", bad)
		}, []string{"!s1"}},
		"as many say that it is well": {func(v *Value, _ *Bench) {
			says(v, "bcd", "s1", bad)
			says(v, "f", "s1", good)
			says(v, "ae", "s1", good)
		}, []string{}},
		"a neighbour gets answers":     {func(v *Value, _ *Bench) { says(v, "bcdf", "s1", bad); says(v, "e", "s1", good) }, nil},
		"another zone gets answers":    {func(v *Value, _ *Bench) { says(v, "bce", "s1", bad); says(v, "f", "s1", good) }, []string{"!s1"}},
		"too little was seen":          {func(v *Value, _ *Bench) { says(v, "bcde", "s1", Seen{Bad: 1}) }, nil},
		"back":                         {func(v *Value, _ *Bench) { says(v, "bcd", "s1", good); says(v, "e", "s1", bad) }, []string{"+s1"}},
		"the word of one that is sick": {func(v *Value, _ *Bench) { all(v, "b", 4, bad); says(v, "cd", "s1", bad) }, nil},
		"all see most fail":            {func(v *Value, _ *Bench) { all(v, "abcdef", 8, bad) }, nil},
		"no more than a part, the worst": {func(v *Value, _ *Bench) {
			all(v, "bcd", 3, bad)
			says(v, "ef", "s1", bad)
			all(v, "bcdef", 9, Seen{})
			says(v, "e", "s2", bad)
			says(v, "bcdef", "s8", good)
		}, []string{"!s1", "!s2", "+s8"}},
		"one that the list has not":    {func(v *Value, b *Bench) { says(v, "bcd", "s1", bad); delete(b.Backends, "s1") }, nil},
		"one that started anew":        {func(v *Value, b *Bench) { says(v, "bcd", "s1", bad); b.Backends["s1"] = 101 }, nil},
		"agents that are not heard":    {func(v *Value, b *Bench) { says(v, "bcd", "s1", bad); delete(b.Zones, Agent{"d", 1}); b.Lost = 1 }, nil},
		"half of the members are lost": {func(v *Value, b *Bench) { says(v, "bcd", "s1", bad); b.Lost = 7 }, nil},
		"a word fades": {func(v *Value, _ *Bench) {
			says(v, "bcd", "s1", bad)
			v.Advance(v.since + time.Duration(terms.Fade)*time.Second)
		}, nil},
		"a word that comes late has faded": {func(v *Value, _ *Bench) {
			v.Merge(v.since, Delta{Turn: v.turn, Evidence: []Evidence{{Agent{"b", 1}, "s1", 100, v.turn - terms.Fade, bad}}})
			says(v, "cd", "s1", bad)
		}, nil},
	} {
		v, b := court()
		c.do(v, &b)
		var got []string
		for _, d := range v.Judge(b) {
			got = append(got, map[bool]string{true: "!", false: "+"}[d.Bad]+d.Backend)
		}
		if !slices.Equal(got, c.want) && len(got)+len(c.want) > 0 {
			t.Errorf("%s: %q, want %q", name, got, c.want)
		}
	}
}

// Whatever is said by whomever, no more than the part is bad, none on the word of too few, and none that the list has not.
func TestBoundsOfVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, b := court()
		b.Witnesses = rapid.IntRange(2, 4).Draw(t, "witnesses")
		b.Lost = rapid.IntRange(0, 8).Draw(t, "lost")
		for range rapid.IntRange(0, 80).Draw(t, "words") {
			seen := rapid.SampledFrom([]Seen{bad, bad, slow, good}).Draw(t, "seen")
			says(v, string(rune('a'+rapid.IntRange(0, 7).Draw(t, "who"))), fmt.Sprint("s", rapid.IntRange(0, 11).Draw(t, "backend")), seen)
		}
		n := 0
		for _, d := range v.Judge(b) {
			if !d.Bad {
				continue
			}
			n++
			zones := map[string]bool{}
			for _, a := range d.For {
				zones[b.Zones[Agent{a[:1], 1}]] = true
			}
			if _, up := b.Backends[d.Backend]; !up || len(d.For) < b.Witnesses || len(zones) < 2 || len(d.Against) >= len(d.For) {
				t.Fatalf("%+v", d)
			}
		}
		if n > 2 || b.Lost > 6 && n > 0 {
			t.Fatalf("%d of 10 are bad, %d lost", n, b.Lost)
		}
	})
}

// What one agent sees: silence before anything times out, an end to it, and nothing to tell in quiet times.
func TestWitness(t *testing.T) {
	const aim = 100 * time.Millisecond
	w := NewWitness()
	tell := func(now time.Duration, turn uint64) Seen {
		for _, e := range w.Tell(now, turn, 8, nil) {
			if e.Backend == "s1" && e.Started == 5 {
				return e.Seen
			}
		}
		return Seen{}
	}
	w.Sent(0, 1, "s1", 5, aim)
	w.Ended(aim/2, 1, "s1", 5, 0, &Seen{Good: 1})
	if s := tell(aim, 1); s != (Seen{}) {
		t.Errorf("in quiet times it tells %+v", s)
	}
	if out := w.Tell(aim, 1, 8, map[string]bool{"s1": true}); len(out) != 1 || out[0].Seen.Good != 1 {
		t.Errorf("of one that others doubt it tells %v", out)
	}
	w.Sent(time.Second, 2, "s1", 5, aim)
	if s := tell(time.Second+aim, 2); s.Bad != 0 {
		t.Errorf("before its patience has ended: %+v", s)
	}
	if s := tell(time.Second+aim+1, 2); !s.bad() {
		t.Errorf("one attempt that nothing answers: %+v", s)
	}
	if s := tell(time.Second+aim+2, 2); s.Bad != leastSeen {
		t.Errorf("counted again: %+v", s)
	}
	for i := range time.Duration(5) {
		w.Sent(2*time.Second+i, 3, "s1", 5, aim)
		w.Ended(2*time.Second+aim/2, 3, "s1", 5, 2*time.Second+i, &Seen{Good: 1})
	}
	if s := tell(2*time.Second+aim, 3); !s.good() {
		t.Errorf("once it answers: %+v", s)
	}
	w.Ended(2*time.Second+aim, 3, "s1", 5, time.Second, nil)
	if tell(2*time.Second, 3+span); len(w.of) != 0 {
		t.Errorf("%d backends are kept of which nothing was seen lately", len(w.of))
	}
	w.Sent(9*time.Second, 9, "s1", 5, aim)
	w.Ended(9*time.Second, 9, "s1", 5, 9*time.Second, &Seen{Bad: 9})
	w.Ended(9*time.Second, 9, "s1", 6, 9*time.Second, &Seen{Good: 1})
	if s := tell(9*time.Second, 9); s != (Seen{}) {
		t.Errorf("a process that started anew begins with %+v", s)
	}
}
