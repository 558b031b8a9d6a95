package shared

import (
	"errors"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var terms = Terms{Turn: time.Second, Window: 10, Windows: 3, Agents: 8, Fade: 8}

var agents = []Agent{{"a", 1}, {"b", 1}, {"b", 2}, {"c", 1}}

// drawDelta draws what honest agents may have said: counts of some windows up to the turn.
func drawDelta(t *rapid.T) Delta {
	d := Delta{Turn: rapid.Uint64Range(0, 60).Draw(t, "turn")}
	for range rapid.IntRange(0, 4).Draw(t, "records") {
		r := Record{rapid.SampledFrom(agents).Draw(t, "agent"), rapid.Uint64Range(0, d.Turn/10).Draw(t, "window"), map[string]Tally{}}
		for _, label := range []string{"look", "hold"} {
			if rapid.Bool().Draw(t, label) {
				r.Counts[label] = Tally{rapid.Uint64Range(0, 5).Draw(t, "n"), rapid.Uint64Range(0, 5).Draw(t, "m")}
			}
		}
		d.Records = append(d.Records, r)
	}
	for range rapid.IntRange(0, 3).Draw(t, "evidence") {
		seen := rapid.Uint64Range(0, 9)
		d.Evidence = append(d.Evidence, Evidence{rapid.SampledFrom(agents).Draw(t, "witness"), rapid.SampledFrom([]string{"s0", "s1"}).Draw(t, "backend"),
			rapid.Int64Range(0, 1).Draw(t, "started"), rapid.Uint64Range(0, d.Turn).Draw(t, "seen at"), Seen{seen.Draw(t, "good"), seen.Draw(t, "slow"), seen.Draw(t, "bad")}})
	}
	return d
}

func merged(ds ...Delta) *Value {
	v := NewValue(Agent{"self", 9}, terms, 0)
	for _, d := range ds {
		if _, err := v.Merge(0, d); err != nil {
			panic(err)
		}
	}
	return v
}

// What it says of a window does not hang on the order, on repeats, or on what was merged to a state on its way.
func TestMergeIsAJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawDelta(t), drawDelta(t), drawDelta(t)
		want := merged(a, b, c).Whole()
		for name, got := range map[string]Delta{
			"commutative": merged(c, b, a).Whole(),
			"idempotent":  merged(a, b, a, c, b, c).Whole(),
			"associative": merged(a, merged(b, c).Whole()).Whole(),
		} {
			if !same(got, want) {
				t.Fatalf("%s: %v, want %v", name, got, want)
			}
		}
	})
}

// same compares what is counted: an empty window says what none says.
func same(a, b Delta) bool {
	flat := func(d Delta) map[Agent]map[uint64]map[string]Tally {
		out := map[Agent]map[uint64]map[string]Tally{}
		for _, r := range d.Records {
			counts := maps.Clone(r.Counts)
			maps.DeleteFunc(counts, func(_ string, t Tally) bool { return t == Tally{} })
			if len(counts) == 0 {
				continue
			}
			if out[r.Agent] == nil {
				out[r.Agent] = map[uint64]map[string]Tally{}
			}
			out[r.Agent][r.Window] = counts
		}
		return out
	}
	return a.Turn == b.Turn && reflect.DeepEqual(flat(a), flat(b)) && slices.Equal(a.Evidence, b.Evidence)
}

// Agents count, talk by deltas and whole states that get lost, repeated and late, and start anew: no sum that one of them
// knows ever falls while its window is kept, and none is more than what was counted.
func TestSumsNeverFallNorCountTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := []*Value{NewValue(Agent{"a", 1}, terms, 0), NewValue(Agent{"b", 1}, terms, 0), NewValue(Agent{"c", 1}, terms, 0)}
		truth := map[uint64]uint64{}
		var way []Delta
		now, incarnation := time.Duration(0), uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, 2).Draw(t, "who")
			v := values[i]
			sums := map[uint64]uint64{}
			for _, w := range v.Windows() {
				sums[w] = v.Sum(w)["x"][Requests]
			}
			forget := false
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				v.Add(now, "x", Requests, 1)
				truth[v.Window()]++
			case 1:
				now += time.Duration(rapid.IntRange(1, 15).Draw(t, "s")) * time.Second
				v.Advance(now)
			case 2:
				way = append(way, v.Whole())
			case 3:
				if r, ok := v.Own(v.Window()); ok {
					way = append(way, Delta{Turn: v.Turn(), Records: []Record{r}})
				}
			case 4:
				if len(way) > 0 {
					if _, err := v.Merge(now, rapid.SampledFrom(way).Draw(t, "message")); err != nil {
						t.Fatal(err)
					}
				}
			case 5:
				incarnation++
				values[i] = NewValue(Agent{v.self.Name, incarnation}, terms, now)
				forget = true
			}
			for w, before := range sums {
				if !forget && w >= v.oldest() && v.Sum(w)["x"][Requests] < before {
					t.Fatalf("window %d fell from %d to %d", w, before, v.Sum(w)["x"][Requests])
				}
			}
			for _, v := range values {
				for _, w := range v.Windows() {
					if got := v.Sum(w)["x"][Requests]; got > truth[w] {
						t.Fatalf("window %d: %d of %d", w, got, truth[w])
					}
				}
			}
		}
	})
}

func TestDepartedAgentsAreForgottenByAllAndStayForgotten(t *testing.T) {
	old := Delta{Turn: 5, Records: []Record{{agents[0], 0, map[string]Tally{"x": {7}}}}}
	v := merged(old)
	if got := v.Sum(0)["x"][Requests]; got != 7 {
		t.Fatalf("%d of 7", got)
	}
	v.Advance(30 * time.Second)
	if _, ok := v.Heard(0)[agents[0]]; ok {
		t.Error("still known after its last window has gone")
	}
	if fresh, err := v.Merge(30*time.Second, old); err != nil || fresh.Records != nil || len(v.Sum(0)) != 0 {
		t.Errorf("an old message brought it back: %v, %v", fresh, err)
	}
}

func TestAPauseIsMadeUpForAndTheFastestClockLeads(t *testing.T) {
	v := merged()
	v.Advance(61 * time.Second)
	if v.Turn() != 61 {
		t.Errorf("after a pause of 61 turns: turn %d", v.Turn())
	}
	if _, err := v.Merge(61*time.Second, Delta{Turn: 70}); err != nil || v.Turn() != 70 {
		t.Errorf("turn %d, %v", v.Turn(), err)
	}
	if v.Advance(61*time.Second + 999*time.Millisecond); v.Turn() != 70 {
		t.Errorf("turn %d before a whole one has passed here", v.Turn())
	}
}

func TestNonsenseIsRefusedWhole(t *testing.T) {
	good := Record{agents[1], 0, map[string]Tally{"x": {1}}}
	for name, d := range map[string]Delta{
		"a count beyond all":   {Turn: 0, Records: []Record{good, {agents[0], 0, map[string]Tally{"x": {1 << 63}}}}},
		"a turn of next age":   {Turn: 1 << 40, Records: []Record{good}},
		"a turn beyond all":    {Turn: 1 << 63, Records: []Record{good}},
		"an agent without one": {Turn: 0, Records: []Record{good, {Agent{}, 0, nil}}},
	} {
		v := merged()
		if _, err := v.Merge(0, d); !errors.Is(err, ErrBad) || len(v.Windows()) != 0 || v.Turn() != 0 {
			t.Errorf("%s: %v, %v", name, err, v.Whole())
		}
	}
}

func TestBoundsOnAgentsAndLabels(t *testing.T) {
	v := merged()
	for i := range 20 {
		if _, err := v.Merge(0, Delta{Turn: 0, Records: []Record{{Agent{"n", uint64(i)}, 0, map[string]Tally{"x": {1}}}}}); err != nil {
			t.Fatal(err)
		}
	}
	if n := v.Sum(0)["x"][Requests]; n != uint64(terms.Agents) {
		t.Errorf("%d agents are held, want %d", n, terms.Agents)
	}
	v.Add(0, "x", Requests, 1) // its own always has a place
	for i := range 100 {
		v.Add(0, string(rune('A'+i)), Requests, 1)
	}
	own, _ := v.Own(0)
	if len(own.Counts) != maxLabels || own.Counts[Others][Requests] != 37 {
		t.Errorf("%d labels, %d under %s", len(own.Counts), own.Counts[Others][Requests], Others)
	}
}

func TestWhatIsWrittenIsRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawDelta(t)
		raw, n := AppendDelta(nil, d, 1<<20)
		got, err := Decode(raw)
		if err != nil || n != len(d.Records)+len(d.Evidence) || !reflect.DeepEqual(got, d) {
			t.Fatalf("%v, %v, want %v", got, err, d)
		}
		limit := rapid.IntRange(0, len(raw)).Draw(t, "limit")
		part, n := AppendDelta(nil, d, limit)
		if got, err = Decode(part); err != nil || len(got.(Delta).Records)+len(got.(Delta).Evidence) != n || n > 0 && len(part) > limit {
			t.Fatalf("%d bytes of %d, %d records: %v, %v", len(part), limit, n, got, err)
		}
	})
	m := Message{Word: Grant, Budget: "retries", From: agents[0], To: agents[1], Seq: 3, Amount: 250}
	if got, err := Decode(AppendMessage(nil, m)); err != nil || got != m {
		t.Errorf("%v, %v", got, err)
	}
	raw := AppendMessage(nil, m)
	for n := range raw {
		if _, err := Decode(raw[:n]); !errors.Is(err, ErrBad) {
			t.Errorf("%d of %d bytes: %v", n, len(raw), err)
		}
	}
	if _, err := Decode(append([]byte{Version + 1}, raw[1:]...)); !errors.Is(err, ErrBad) {
		t.Errorf("another version: %v", err)
	}
}

func FuzzDecode(f *testing.F) {
	d, _ := AppendDelta(nil, Delta{Turn: 3, Records: []Record{{agents[0], 0, map[string]Tally{"x": {1, 2, 3, 4}}}}}, 1<<10)
	f.Add(d)
	f.Add(AppendMessage(nil, Message{Word: Ask, Budget: "retries", From: agents[0], To: agents[1], Seq: 3, Amount: 250}))
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := Decode(raw)
		if err != nil {
			return
		}
		switch m := got.(type) {
		case Delta:
			v := merged()
			v.Merge(0, m)
			if len(v.agents) > terms.Agents || slices.ContainsFunc(v.Windows(), func(w uint64) bool { return w > v.Window() }) {
				t.Fatalf("%v", v.Whole())
			}
			again, n := AppendDelta(nil, m, 1<<30)
			if back, err := Decode(again); err != nil || n != len(m.Records)+len(m.Evidence) || !reflect.DeepEqual(back, m) {
				t.Fatalf("%v became %v, %v", m, back, err)
			}
		case Message:
			if back, err := Decode(AppendMessage(nil, m)); err != nil || back != m {
				t.Fatalf("%v became %v, %v", m, back, err)
			}
		}
	})
}
