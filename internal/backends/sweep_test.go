package backends

import (
	"fmt"
	"testing"
	"time"
)

// A dropped entry is restored by a whole entry of the same version, but not by one of an incarnation that has not learned of that version,
// and the number of dropped entries is bounded.
func TestSweep(t *testing.T) {
	table := New()
	noneAlive := func(Backend) bool { return false }
	b := Backend{Node: "a", Addr: "10.0.0.1:7", Version: 7, Incarnation: 5, State: Serving, Instance: "i"}
	table.Merge(b)
	if gone := table.Sweep(1, time.Minute, noneAlive); gone != nil {
		t.Fatalf("%v dropped at the first sweep", gone)
	}
	table.Sweep(time.Minute, time.Minute, func(Backend) bool { return true })
	if gone := table.Sweep(2*time.Minute, time.Minute, noneAlive); gone != nil {
		t.Fatalf("%v dropped, though alive a minute ago", gone)
	}
	revision := table.Revision()
	if gone := table.Sweep(3*time.Minute, time.Minute, noneAlive); len(gone) != 1 || table.Len() != 0 {
		t.Fatalf("dropped: %v", gone)
	}
	dropped, _ := table.Get("a")
	if dropped != (Backend{Node: "a", Version: 7, Incarnation: 5}) || len(table.ChangedSince(revision)) != 0 || !table.HasDropped(map[string]bool{"a": true}) {
		t.Errorf("after the drop: %+v", dropped)
	}
	if restarted := (Backend{Node: "a", Addr: b.Addr, Version: 2, Incarnation: 9}); table.Merge(restarted) {
		t.Error("merged an entry of an incarnation that has not learned of the former one")
	}
	if !table.Merge(b) || table.Merge(dropped) || table.Len() != 1 {
		t.Error("a whole entry of the dropped version does not replace the dropped one")
	}
	for i := range 2 * maxDropped {
		table.Merge(Backend{Node: fmt.Sprint(i), Addr: "x", Version: 1})
	}
	table.Sweep(4*time.Minute, 0, noneAlive)
	table.Sweep(5*time.Minute, 0, noneAlive)
	if len(table.rows) != maxDropped {
		t.Errorf("%d rows kept", len(table.rows))
	}
}
