package backends

import (
	"fmt"
	"testing"
	"time"
)

// TestSweep: what is dropped is told again by a whole entry of the same version, but not by one of a former life, and no more
// than so many versions of the dropped are kept.
func TestSweep(t *testing.T) {
	table := New()
	nobody := func(Berth) bool { return false }
	b := Berth{Node: "a", Addr: "10.0.0.1:7", Version: 7, Life: 5, State: Serving, Instance: "i"}
	table.Join(b)
	if gone := table.Sweep(1, time.Minute, nobody); gone != nil {
		t.Fatalf("%v is gone at once", gone)
	}
	table.Sweep(time.Minute, time.Minute, func(Berth) bool { return true })
	if gone := table.Sweep(2*time.Minute, time.Minute, nobody); gone != nil {
		t.Fatalf("%v is gone, and was alive a minute ago", gone)
	}
	at := table.At()
	if gone := table.Sweep(3*time.Minute, time.Minute, nobody); len(gone) != 1 || table.Len() != 0 {
		t.Fatalf("%v is gone", gone)
	}
	bare, _ := table.Get("a")
	if bare != (Berth{Node: "a", Version: 7, Life: 5}) || len(table.Since(at)) != 0 || !table.Lacks(map[string]bool{"a": true}) {
		t.Errorf("what is left is %+v", bare)
	}
	if anew := (Berth{Node: "a", Addr: b.Addr, Version: 2, Life: 9}); table.Join(anew) {
		t.Error("a life that has not heard of the former one is taken")
	}
	if !table.Join(b) || table.Join(bare) || table.Len() != 1 {
		t.Error("a whole entry of that version does not stay")
	}
	for i := range 2 * keepDropped {
		table.Join(Berth{Node: fmt.Sprint(i), Addr: "x", Version: 1})
	}
	table.Sweep(4*time.Minute, 0, nobody)
	table.Sweep(5*time.Minute, 0, nobody)
	if len(table.rows) != keepDropped {
		t.Errorf("%d are kept", len(table.rows))
	}
}
