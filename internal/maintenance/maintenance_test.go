package maintenance

import (
	"bytes"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func out(t *testing.T, s State, id string) State {
	t.Helper()
	n, err := s.Disable(id)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func TestOutTwiceAndBackOnceIsBack(t *testing.T) {
	s := out(t, out(t, State{}, "a"), "a")
	if s.Generation != 1 || !s.Out["a"] {
		t.Errorf("%+v", s)
	}
	s = s.Enable("a", 5000, 1000)
	if s.Out["a"] || s.Back["a"] != 5000 {
		t.Errorf("%+v", s)
	}
	if again := s.Enable("a", 9000, 1000); again.Generation != s.Generation {
		t.Error("a call back of what is not out changed something")
	}
}

func TestBackIsForgottenOnceWarm(t *testing.T) {
	s := out(t, out(t, State{}, "a"), "b").Enable("a", 5000, 1000).Enable("b", 6001, 1000)
	if _, ok := s.Back["a"]; ok || s.Back["b"] != 6001 {
		t.Errorf("%+v", s.Back)
	}
}

func TestDisableBounds(t *testing.T) {
	for _, id := range []string{"", string(make([]byte, maxID+1))} {
		if _, err := (State{}).Disable(id); err == nil {
			t.Errorf("an id of %d bytes was taken", len(id))
		}
	}
	full := State{Out: map[string]bool{}}
	for i := range MaxBackends {
		full.Out[string(rune(i+0x1000))] = true
	}
	if n, err := full.Disable("one more"); err == nil || n.Generation != 0 {
		t.Error("more backends are out than may be")
	}
}

var ids = rapid.SampledFrom([]string{"a", "b", "c"})

func drawn(t *rapid.T) State {
	s, now := State{}, int64(0)
	for range rapid.IntRange(0, 30).Draw(t, "calls") {
		now += int64(rapid.IntRange(0, 900).Draw(t, "ms"))
		switch rapid.IntRange(0, 3).Draw(t, "call") {
		case 0, 1:
			s, _ = s.Disable(ids.Draw(t, "id"))
		case 2:
			s = s.Enable(ids.Draw(t, "id"), now, 1000)
		case 3:
			s = s.Drain(rapid.Bool().Draw(t, "drained"))
		}
	}
	return s
}

func equal(a, b State) bool {
	return a.Generation == b.Generation && a.Drained == b.Drained && maps.Equal(a.Out, b.Out) && maps.Equal(a.Back, b.Back)
}

// Whatever was called, an encoded state reads back as it was, changes lead from any state to any other, and a state that was
// given out never changes.
func TestStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawn(t)
		before := s.Encode()
		if back, err := Decode(before); err != nil || !equal(back, s) {
			t.Fatalf("%v: %+v read back as %+v", err, s, back)
		}
		n, _ := s.Disable("a")
		n.Enable("a", 1<<40, 1000).Drain(true)
		if !bytes.Equal(before, s.Encode()) {
			t.Fatal("a call changed a state that was given out")
		}
		other := drawn(t)
		got := maps.Clone(s.Out)
		for _, c := range s.Changes(other) {
			if c.Out {
				if got == nil {
					got = map[string]bool{}
				}
				got[c.ID] = true
			} else {
				delete(got, c.ID)
				if at, ok := other.Back[c.ID]; ok && at != c.At {
					t.Fatalf("%s is back at %d, not %d", c.ID, at, c.At)
				}
			}
		}
		if !maps.Equal(got, other.Out) {
			t.Fatalf("changes lead to %v, not %v", slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(other.Out)))
		}
	})
}

// A file that is cut short, has a bit flipped or holds anything more is believed in no part.
func TestDamage(t *testing.T) {
	s := out(t, out(t, State{}, "a"), "b").Enable("a", 7, 1).Drain(true)
	raw := s.Encode()
	for i := range raw {
		if _, err := Decode(raw[:i]); err == nil {
			t.Errorf("cut after %d bytes and believed", i)
		}
		for bit := range 8 {
			bad := bytes.Clone(raw)
			bad[i] ^= 1 << bit
			if _, err := Decode(bad); err == nil {
				t.Errorf("bit %d of byte %d flipped and believed", bit, i)
			}
		}
	}
	if _, err := Decode(append(bytes.Clone(raw), ' ')); err == nil {
		t.Error("something behind the state and believed")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(State{}.Encode())
	f.Add([]byte("violetlatch-state 00000000\n{}\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if s, err := Decode(raw); err == nil {
			if back, err := Decode(s.Encode()); err != nil || !equal(s, back) {
				t.Errorf("%+v read back as %+v: %v", s, back, err)
			}
		}
	})
}
