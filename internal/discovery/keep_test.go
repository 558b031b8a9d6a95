package discovery

import (
	"context"
	"testing"
	"time"

	"saltmast"
)

// keep follows a pushed list whose events come out of the channel.
func keep(t *testing.T, addr string, silence time.Duration) (*Client, chan saltmast.List) {
	t.Helper()
	events := make(chan saltmast.List, 100)
	d := New(Options{Addr: addr, Known: Listing{Version: 1}, Table: NewMembers(), Stale: func(string) {},
		Post:  func(m saltmast.Event) { events <- m.(saltmast.List) },
		Event: Lister([]string{"dc"}, []string{"std"}, func(ms float64) time.Duration { return time.Duration(ms * 1e6) }),
		Log:   logTo(&capture{})})
	d.silence = silence
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d.Keep(ctx)
	return d, events
}

// delta waits for changes, past failures.
func delta(t *testing.T, events chan saltmast.List) saltmast.List {
	t.Helper()
	for {
		if e := receive(t, events); e.Kind != saltmast.ListFailed {
			return e
		}
	}
}

// Guards against an agent whose list is pushed and that stays without a watch once the first one has ended: nobody
// asks again there.
func TestKeptWatchBeginsAgain(t *testing.T) {
	l := newLists(t)
	d, events := keep(t, l.Addr, long)
	if q := receive(t, l.Watch); q != "follow=1&since=1" {
		t.Errorf("watched with %q", q)
	}
	l.Say <- `{"version":4,"full":false,"servers":[` + entry("s0", "127.0.0.1:1", "SERVING") + `]}`
	delta(t, events)
	for range 3 {
		l.Cut <- struct{}{}
		if q := receive(t, l.Watch); q != "follow=1&since=4" {
			t.Errorf("watched again with %q, want what was last told", q)
		}
	}
	l.Say <- `{"version":5,"full":false,"servers":[` + entry("s0", "127.0.0.1:1", "DRAINING") + `]}`
	if e := delta(t, events); len(e.Backends) != 1 || e.Backends[0].State != saltmast.Draining {
		t.Errorf("event %+v", e)
	}
	if _, ok := d.table.Serving("s0"); ok {
		t.Error("a draining backend may still get work")
	}
}

// Guards against a pushed list that falls silent while its connection stays open.
func TestKeptWatchThatFallsSilent(t *testing.T) {
	l := newLists(t)
	keep(t, l.Addr, 50*time.Millisecond)
	for range 3 {
		receive(t, l.Watch)
	}
}

// Guards against a move that finds no watch under way, and one to an address that takes nothing yet: the old watch
// goes on and the new address is tried until it answers.
func TestKeptListMoves(t *testing.T) {
	old, new := newLists(t), newLists(t)
	d, events := keep(t, old.Addr, long)
	receive(t, old.Watch)
	old.Say <- `{"version":2,"full":false,"servers":[]}`
	delta(t, events)
	d.Move(context.Background(), "127.0.0.1:1") // refused
	for range 3 {
		if e := receive(t, events); e.Kind != saltmast.ListFailed {
			t.Fatalf("event %+v, want a failure for each try", e)
		}
	}
	old.Say <- `{"version":3,"full":false,"servers":[` + entry("s0", "127.0.0.1:1", "SERVING") + `]}`
	if e := delta(t, events); e.Kind != saltmast.ListDelta {
		t.Errorf("event %+v from the old address", e)
	}
	d.Move(context.Background(), new.Addr)
	if q := receive(t, new.Watch); q != "follow=1" {
		t.Errorf("the new address is watched with %q, want the whole list", q)
	}
	new.Say <- `{"version":1,"full":true,"servers":[` + entry("s1", "127.0.0.1:2", "SERVING") + `]}`
	if e := delta(t, events); e.Kind != saltmast.ListFull {
		t.Errorf("event %+v", e)
	}
	if _, ok := d.table.Serving("s0"); ok {
		t.Error("a backend that only the old address knew may still get work")
	}
}

// Once it is told to follow no longer, nothing begins again.
func TestKeptListLetGo(t *testing.T) {
	l := newLists(t)
	d, _ := keep(t, l.Addr, long)
	receive(t, l.Watch)
	d.Unsubscribe()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.missing() || d.current != nil || d.next != nil {
		t.Error("another watch would begin")
	}
}
