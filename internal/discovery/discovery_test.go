package discovery

import (
	"context"
	"strings"
	"testing"
	"time"

	"saltmast"
)

// follow runs a discovery whose events come out of the channel.
func follow(t *testing.T, d *lists, silence time.Duration) (*Client, chan saltmast.List) {
	t.Helper()
	known, err := ParseListing([]byte(`{"version":1,"servers":[` + entry("s0", "127.0.0.1:1", "SERVING") + "," + entry("s1", "127.0.0.1:2", "SERVING") + "]}"))
	if err != nil {
		t.Fatal(err)
	}
	events := make(chan saltmast.List, 10)
	table := &Members{m: map[string]Server{}}
	known.Full = true
	table.Apply(known)
	disc := &Client{addr: d.Addr, client: newListClient(), table: table,
		stale: func(string) {}, post: func(m saltmast.Event) { events <- m.(saltmast.List) }, silence: silence,
		event: Lister([]string{"dc"}, []string{"std"}, func(ms float64) time.Duration { return time.Duration(ms * 1e6) }), log: logTo(&capture{}), version: 1}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	disc.Subscribe(ctx)
	return disc, events
}

func TestWatch(t *testing.T) {
	d := newLists(t)
	disc, events := follow(t, d, long)
	if q := receive(t, d.Watch); q != "follow=1&since=1" {
		t.Errorf("watched with %q", q)
	}
	d.Say <- ""
	d.Say <- `{"version":2,"full":false,"servers":[` + entry("s0", "127.0.0.1:1", "DRAINING") + `]}`
	e := receive(t, events)
	if e.Kind != saltmast.ListDelta || len(e.Backends) != 1 || e.Backends[0].State != saltmast.Draining || e.Backends[0].Zone != 0 {
		t.Errorf("event %+v", e)
	}
	if _, ok := disc.table.Serving("s0"); ok {
		t.Error("a draining backend may still get work")
	}
	d.Say <- `{"version":3,"full":true,"servers":[` + entry("s0", "127.0.0.1:1", "SERVING") + `]}`
	if e := receive(t, events); e.Kind != saltmast.ListFull {
		t.Errorf("event %+v", e)
	}
	if _, ok := disc.table.Serving("s1"); ok {
		t.Error("a backend that left the list may still get work")
	}
	d.Cut <- struct{}{}
	if e := receive(t, events); e.Kind != saltmast.ListFailed {
		t.Errorf("event %+v", e)
	}
	disc.Subscribe(context.Background())
	if q := receive(t, d.Watch); q != "follow=1&since=3" {
		t.Errorf("watched again with %q", q)
	}
	disc.Unsubscribe()
}

// Guards against a watch that a cut-off network holds open for ever.
func TestSilentWatch(t *testing.T) {
	d := newLists(t)
	_, events := follow(t, d, 100*time.Millisecond)
	if e := receive(t, events); e.Kind != saltmast.ListFailed {
		t.Errorf("event %+v", e)
	}
}

// Guards against half a list, which would look like backends that are gone.
func TestMalformedLists(t *testing.T) {
	good := entry("s0", "127.0.0.1:1", "SERVING")
	for name, line := range map[string]string{
		"no JSON":          `{"version":2,"servers":[`,
		"no version":       `{"full":true,"servers":[` + good + `]}`,
		"no servers":       `{"version":2,"full":true}`,
		"no id":            `{"version":2,"full":true,"servers":[` + entry("", "127.0.0.1:1", "SERVING") + `]}`,
		"an unknown state": `{"version":2,"full":true,"servers":[` + strings.Replace(good, "SERVING", "ASLEEP", 1) + `]}`,
		"a bad address":    `{"version":2,"full":true,"servers":[` + entry("s0", "here", "SERVING") + `]}`,
		"a bad type":       `{"version":2,"full":true,"servers":{}}`,
	} {
		t.Run(name, func(t *testing.T) {
			d := newLists(t)
			d.Whole = func() string { return line }
			disc, events := follow(t, d, long)
			receive(t, d.Watch)
			d.Say <- line
			if e := receive(t, events); e.Kind != saltmast.ListFailed {
				t.Errorf("watch: event %+v", e)
			}
			disc.Fetch(context.Background())
			if e := receive(t, events); e.Kind != saltmast.ListFailed {
				t.Errorf("list: event %+v", e)
			}
			if _, ok := disc.table.Serving("s1"); !ok {
				t.Error("the old list no longer stands")
			}
		})
	}
}

// Guards against changes that come out of their order: the list in force stays, and the next watch asks for all of it.
func TestVersionThatStepsBack(t *testing.T) {
	d := newLists(t)
	disc, events := follow(t, d, long)
	receive(t, d.Watch)
	d.Say <- `{"version":5,"full":false,"servers":[` + entry("s0", "127.0.0.1:1", "DELETED") + `]}`
	if e := receive(t, events); e.Kind != saltmast.ListDelta {
		t.Fatalf("event %+v", e)
	}
	d.Say <- `{"version":4,"full":false,"servers":[` + entry("s0", "127.0.0.1:1", "SERVING") + `]}`
	if e := receive(t, events); e.Kind != saltmast.ListFailed {
		t.Errorf("event %+v, want the watch to end", e)
	}
	if _, ok := disc.table.Serving("s0"); ok {
		t.Error("what was gone may get work again by an older change")
	}
	if _, ok := disc.table.Serving("s1"); !ok {
		t.Error("the list in force is lost")
	}
	disc.Subscribe(context.Background())
	if q := receive(t, d.Watch); q != "follow=1" {
		t.Errorf("watched again with %q, want the whole list", q)
	}
	d.Say <- `{"version":2,"full":true,"servers":[` + entry("s1", "127.0.0.1:2", "SERVING") + `]}`
	if e := receive(t, events); e.Kind != saltmast.ListFull {
		t.Errorf("event %+v: a list that was set up anew must count", e)
	}
	d.Say <- `{"version":1,"full":true,"servers":[` + entry("s0", "127.0.0.1:1", "SERVING") + `]}`
	if e := receive(t, events); e.Kind != saltmast.ListFailed {
		t.Errorf("event %+v: a whole list may step back as the first of a watch alone", e)
	}
	disc.Unsubscribe()
}

func TestFetch(t *testing.T) {
	d := newLists(t)
	d.Whole = func() string {
		return `{"version":9,"full":true,"servers":[` + entry("s7", "127.0.0.1:7", "SERVING") + `]}`
	}
	disc, events := follow(t, d, long)
	disc.Fetch(context.Background())
	if e := receive(t, events); e.Kind != saltmast.ListFull || len(e.Backends) != 1 || e.Backends[0].ID != "s7" {
		t.Errorf("event %+v", e)
	}
}

// Guards against idle connections to a process that is no more: all that drains, left, moved or was
// started again is named as stale.
func TestStaleBackends(t *testing.T) {
	table := &Members{m: map[string]Server{}}
	s := func(id, addr, state string, started float64) Server {
		return Server{ID: id, Addr: addr, State: state, StartedMs: started}
	}
	table.Apply(Listing{Full: true, Servers: []Server{s("a", "x:1", "SERVING", 0), s("b", "x:2", "SERVING", 0),
		s("c", "x:3", "SERVING", 0), s("d", "x:4", "SERVING", 0), s("e", "x:5", "SERVING", 0)}})
	stale := table.Apply(Listing{Full: true, Servers: []Server{s("a", "x:1", "DRAINING", 0), s("b", "x:9", "SERVING", 0),
		s("c", "x:3", "SERVING", 77), s("d", "x:4", "SERVING", 0)}})
	if got := strings.Join(stale, ""); got != "abce" {
		t.Errorf("stale %q, want abce", got)
	}
}

// Guards against a new address of discovery that brings nothing, or numbers its versions otherwise: the
// old watch goes on until the new one has brought the whole list, and has no say after.
func TestDiscoveryMoves(t *testing.T) {
	old, new := newLists(t), newLists(t)
	disc, events := follow(t, old, long)
	receive(t, old.Watch)
	old.Say <- `{"version":2,"full":false,"servers":[]}`
	receive(t, events)
	disc.Move(context.Background(), "127.0.0.1:1") // refused: the module is told, and asks again
	if e := receive(t, events); e.Kind != saltmast.ListFailed {
		t.Errorf("event %+v", e)
	}
	old.Say <- `{"version":3,"full":false,"servers":[` + entry("s0", "127.0.0.1:1", "DRAINING") + `]}`
	if e := receive(t, events); e.Kind != saltmast.ListDelta {
		t.Errorf("event %+v from the old address, which is still watched", e)
	}
	disc.Move(context.Background(), new.Addr)
	disc.Move(context.Background(), new.Addr) // once more changes nothing
	if q := receive(t, new.Watch); q != "follow=1" {
		t.Errorf("the new address is watched with %q, want the whole list", q)
	}
	old.Cut <- struct{}{} // ends while the new one is awaited: no failure, since that is under way
	new.Say <- ""
	new.Say <- `{"version":1,"full":true,"servers":[` + entry("s1", "127.0.0.1:2", "SERVING") + `]}`
	if e := receive(t, events); e.Kind != saltmast.ListFull {
		t.Errorf("event %+v", e)
	}
	if _, ok := disc.table.Serving("s0"); ok {
		t.Error("a backend that only the old address knew may still get work")
	}
	new.Cut <- struct{}{}
	if e := receive(t, events); e.Kind != saltmast.ListFailed {
		t.Errorf("event %+v", e)
	}
	disc.Subscribe(context.Background())
	if q := receive(t, new.Watch); q != "follow=1&since=1" {
		t.Errorf("watched again with %q", q)
	}
	if len(new.Watch) != 0 {
		t.Error("watched twice")
	}
	disc.Unsubscribe()
}
