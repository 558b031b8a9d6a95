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
	nobody := func(Backend) bool { return false }
	b := Backend{Node: "a", Addr: "10.0.0.1:7", Version: 7, Life: 5, State: Serving, Instance: "i"}
	table.Merge(b)
	if gone := table.Sweep(1, time.Minute, nobody); gone != nil {
		t.Fatalf("%v is gone at once", gone)
	}
	table.Sweep(time.Minute, time.Minute, func(Backend) bool { return true })
	if gone := table.Sweep(2*time.Minute, time.Minute, nobody); gone != nil {
		t.Fatalf("%v is gone, and was alive a minute ago", gone)
	}
	at := table.Revision()
	if gone := table.Sweep(3*time.Minute, time.Minute, nobody); len(gone) != 1 || table.Len() != 0 {
		t.Fatalf("%v is gone", gone)
	}
	bare, _ := table.Get("a")
	if bare != (Backend{Node: "a", Version: 7, Life: 5}) || len(table.ChangedSince(at)) != 0 || !table.HasDropped(map[string]bool{"a": true}) {
		t.Errorf("what is left is %+v", bare)
	}
	if anew := (Backend{Node: "a", Addr: b.Addr, Version: 2, Life: 9}); table.Merge(anew) {
		t.Error("a life that has not heard of the former one is taken")
	}
	if !table.Merge(b) || table.Merge(bare) || table.Len() != 1 {
		t.Error("a whole entry of that version does not stay")
	}
	for i := range 2 * keepDropped {
		table.Merge(Backend{Node: fmt.Sprint(i), Addr: "x", Version: 1})
	}
	table.Sweep(4*time.Minute, 0, nobody)
	table.Sweep(5*time.Minute, 0, nobody)
	if len(table.rows) != keepDropped {
		t.Errorf("%d are kept", len(table.rows))
	}
}
