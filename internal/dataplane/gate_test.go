package dataplane

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/configuration"
	"saltmast/internal/controlapi"
	"saltmast/internal/errcode"
	"saltmast/internal/idempotency"
)

func gateOf(t *testing.T) *Gate {
	return newGate(Options{Node: "n", Service: "ledger", GateAddr: "a:1", Life: 7, Begun: time.Now(), Heartbeat: time.Second,
		KeyWindow: time.Minute, AnswerBytes: 1 << 20, Log: func(event, text string) { t.Log(event, text) }}, nil)
}

// What a gate tells follows the newest beat of the newest life: a beat that comes late, of the same life or of one that ended,
// changes nothing, and one that says again what stands makes no news.
func TestBeats(t *testing.T) {
	g := gateOf(t)
	beat := func(id string, count uint64, s backends.State) {
		if err := g.Beat(controlapi.Beat{ID: id, Service: "ledger", Capacity: 2, Count: count, State: s}); err != nil {
			t.Fatal(err)
		}
	}
	leave := func(id string) { g.Leave(id) }
	for _, step := range []struct {
		name  string
		do    func()
		id    string
		state backends.State
		news  bool
	}{
		{"first", func() { beat("i-1", 1, backends.Serving) }, "i-1", backends.Serving, true},
		{"again", func() { beat("i-1", 2, backends.Serving) }, "i-1", backends.Serving, false},
		{"drains", func() { beat("i-1", 4, backends.Draining) }, "i-1", backends.Draining, true},
		{"a late beat", func() { beat("i-1", 3, backends.Serving) }, "i-1", backends.Draining, false},
		{"a new life", func() { beat("i-2", 1, backends.Serving) }, "i-2", backends.Serving, true},
		{"a late beat of the old one", func() { beat("i-1", 5, backends.Serving) }, "i-2", backends.Serving, false},
		{"the old one's end", func() { leave("i-1") }, "i-2", backends.Serving, false},
		{"its end", func() { leave("i-2") }, "i-2", backends.None, true},
		{"a late beat behind its end", func() { beat("i-2", 9, backends.Serving) }, "i-2", backends.None, false},
	} {
		was := g.Berth().Version
		step.do()
		b := g.Berth()
		if b.Instance != step.id || b.State != step.state || (b.Version != was) != step.news {
			t.Errorf("%s: %s is %s, version %d to %d; want %s, %s, news %v", step.name, b.Instance, b.State, was, b.Version, step.id, step.state, step.news)
		}
	}
}

// A request gets a place only at the life that was meant, and while that serves; what waits is let in by rank, or turned away
// when the backend leaves, by whatever way, also if a place is free in that moment.
func TestPlaces(t *testing.T) {
	g := gateOf(t)
	g.Beat(controlapi.Beat{ID: "i-1", Service: "ledger", Capacity: 1, Count: 1, State: backends.Serving})
	a := func(id string, rank int, hold uint32) *ask {
		return &ask{Instance: id, Service: "ledger", Rank: rank, Hold: hold}
	}
	if k := g.enter(context.Background(), a("i-0", 0, 0)); k != errcode.BackendReplaced {
		t.Errorf("another life: %v", k)
	}
	if k := g.enter(context.Background(), a("i-1", 0, 0)); k != errcode.OK {
		t.Fatalf("the first: %v", k)
	}
	if k := g.enter(context.Background(), a("i-1", 0, 0)); k != errcode.Overloaded {
		t.Errorf("one that may not wait: %v", k)
	}
	got := make(chan errcode.Kind, 1)
	go func() { got <- g.enter(context.Background(), a("i-1", 1, 60_000)) }()
	for _, waiting := g.load(); waiting == 0; _, waiting = g.load() {
		runtime.Gosched()
	}
	g.exit(0)
	if k := <-got; k != errcode.OK {
		t.Errorf("one that waited: %v", k)
	}
	for n, end := range []func(id string){
		func(id string) { g.Leave(id) },
		func(id string) {
			g.Beat(controlapi.Beat{ID: id, Service: "ledger", Capacity: 1, Count: 2, State: backends.Draining})
		},
		func(string) {
			g.Beat(controlapi.Beat{ID: "i-9", Service: "ledger", Capacity: 1, Count: 1, State: backends.Serving})
		},
	} {
		id := fmt.Sprint("i-", n+1)
		g.Beat(controlapi.Beat{ID: id, Service: "ledger", Capacity: 1, Count: 1, State: backends.Serving})
		go func() { got <- g.enter(context.Background(), a(id, 1, 60_000)) }()
		for _, waiting := g.load(); waiting == 0; _, waiting = g.load() {
			runtime.Gosched()
		}
		end(id)
		g.exit(1)
		if k := <-got; k != errcode.Draining {
			t.Errorf("one that waited when the backend left, way %d: %v", n, k)
		}
		if k := g.enter(context.Background(), a(id, 0, 0)); k == errcode.OK {
			t.Errorf("behind its end, way %d: %v", n, k)
		}
		g.mu.Lock()
		g.running = 1 // as before
		g.mu.Unlock()
	}
}

// Where no more may wait, one that ranks before the last of those that do takes its turn, and that one is turned away at once.
func TestPlacesByRank(t *testing.T) {
	g := gateOf(t)
	g.Beat(controlapi.Beat{ID: "i-1", Service: "ledger", Capacity: 1, Count: 1, State: backends.Serving})
	ask := func(rank int) *ask { return &ask{Instance: "i-1", Service: "ledger", Rank: rank, Hold: 60_000} }
	wait := func(rank int) chan errcode.Kind {
		got := make(chan errcode.Kind, 1)
		at := g.order
		go func() { got <- g.enter(context.Background(), ask(rank)) }()
		for now := at; now == at; {
			runtime.Gosched()
			g.mu.Lock()
			now = g.order
			g.mu.Unlock()
		}
		return got
	}
	if k := g.enter(context.Background(), ask(2)); k != errcode.OK {
		t.Fatalf("the first: %v", k)
	}
	low := wait(2)
	if k := g.enter(context.Background(), ask(2)); k != errcode.Overloaded {
		t.Errorf("one of the same rank as the last: %v", k)
	}
	high := wait(1)
	if k := <-low; k != errcode.Overloaded {
		t.Errorf("the last, when one came that ranks before it: %v", k)
	}
	if k := g.enter(context.Background(), ask(2)); k != errcode.Overloaded {
		t.Errorf("one that ranks behind: %v", k)
	}
	g.exit(2)
	if k := <-high; k != errcode.OK {
		t.Errorf("the one that ranked first: %v", k)
	}
	if running, waiting := g.load(); running != 1 || waiting != 0 {
		t.Errorf("%d run and %d wait, want 1 and none", running, waiting)
	}
}

// Places that one of a rank did not find are kept from those that rank behind, up to a part of all, and are given back as time
// goes on.
func TestPlacesKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(Options{Node: "n", Service: "ledger", GateAddr: "a:1", Life: 7, Begun: time.Now(), Heartbeat: time.Minute,
			KeyWindow: time.Minute, AnswerBytes: 1 << 20, Log: func(string, string) {}}, nil)
		defer g.book.End()
		g.Beat(controlapi.Beat{ID: "i-1", Service: "ledger", Capacity: 10, Count: 1, State: backends.Serving})
		enter := func(rank int) errcode.Kind {
			return g.enter(context.Background(), &ask{Instance: "i-1", Service: "ledger", Rank: rank})
		}
		for range 10 {
			if k := enter(2); k != errcode.OK {
				t.Fatalf("a place of ten that nothing is kept from: %v", k)
			}
		}
		for range 9 {
			if k := enter(1); k != errcode.Overloaded {
				t.Fatalf("an eleventh: %v", k)
			}
		}
		if got := [3]int{g.limit(0), g.limit(1), g.limit(2)}; got != [3]int{10, 10, 7} {
			t.Errorf("places for the ranks 0, 1, 2: %v, want 10, 10 and, with a third kept, 7", got)
		}
		for range 3 {
			g.exit(2)
		}
		if a, b, c := enter(2), enter(1), enter(0); a != errcode.Overloaded || b != errcode.OK || c != errcode.OK {
			t.Errorf("with 7 of 10 taken, ranks 2, 1, 0 get: %v, %v, %v", a, b, c)
		}
		time.Sleep(keepHalf)
		if got := g.limit(2); got != 9 {
			t.Errorf("after half of what was kept is given back: %d places for the last rank, want 9", got)
		}
		time.Sleep(3 * keepHalf)
		if got := g.limit(2); got != 10 {
			t.Errorf("after some time: %d places for the last rank, want all", got)
		}
	})
}

// While urgent ones take every place and fill the line, those that rank behind get a place of six, and no more.
func TestNobodyStarvesAtAFullGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(Options{Node: "n", Service: "ledger", GateAddr: "a:1", Life: 7, Begun: time.Now(), Heartbeat: time.Minute,
			KeyWindow: time.Minute, AnswerBytes: 1 << 20, Log: func(string, string) {}}, nil)
		defer g.book.End()
		g.Beat(controlapi.Beat{ID: "i-1", Service: "ledger", Capacity: 6, Count: 1, State: backends.Serving})
		var served [3]atomic.Int64
		var all sync.WaitGroup
		const day = 10 * time.Second
		began := time.Now()
		for n := range 24 {
			rank, work := 0, 22*time.Millisecond
			if n%4 == 3 {
				rank, work = 2, 72*time.Millisecond
			}
			all.Go(func() {
				for time.Sleep(time.Duration(n) * time.Millisecond); time.Since(began) < day; time.Sleep(10 * time.Millisecond) {
					if g.enter(context.Background(), &ask{Instance: "i-1", Service: "ledger", Rank: rank, Hold: 60}) == errcode.OK {
						time.Sleep(work)
						g.exit(rank)
						served[rank].Add(1)
					}
				}
			})
		}
		all.Wait()
		if running, waiting := g.load(); running != 0 || waiting != 0 || g.ranks != [5]int{} {
			t.Errorf("at the end %d run, %v by rank, and %d wait", running, g.ranks, waiting)
		}
		// One place is 10 s / 72 ms = 139 runs of the last rank, and five are 2,270 of the first.
		if n := served[2].Load(); n < 100 || n > 150 {
			t.Errorf("of the last rank %d were served", n)
		}
		if n := served[0].Load(); n < 2000 {
			t.Errorf("of the first rank %d were served", n)
		}
	})
}

// A client comes back soon where a place was lost to others, and later where something is out; never beyond the route's target.
func TestComeBack(t *testing.T) {
	v := &voyage{came: time.Now(), cut: time.Now().Add(10 * time.Second), route: &configuration.Route{Target: 400 * time.Millisecond}}
	soon, later := v.comeBack(errcode.Overloaded), v.comeBack(errcode.NoQuorum)
	if soon < 40*time.Millisecond || soon > 65*time.Millisecond || later < 400*time.Millisecond || later > 450*time.Millisecond {
		t.Errorf("full: %v, out with 10 s left: %v; want 40 to 65 ms, and the target and up to an eighth more", soon, later)
	}
	v.cut = time.Now().Add(300 * time.Millisecond)
	if d := v.comeBack(errcode.NoBackend); d < 100*time.Millisecond || d > 150*time.Millisecond {
		t.Errorf("out with little left: %v, want a quarter of the target and up to an eighth more", d)
	}
}

// What is told of a key depends on whose claim is asked for; an answer that is told again bears the id of who asks, and the one
// that is kept stays as it is.
func TestRecalled(t *testing.T) {
	id, other := idempotency.ID{Life: 1, N: 1}, idempotency.ID{Life: 1, N: 2}
	kept := &Answer{Status: 200, Header: []Field{{Name: HeaderID, Value: "first"}, {Name: HeaderSeal, Value: "s"}}}
	for _, c := range []struct {
		name  string
		op    idempotency.Op[*Answer]
		known bool
		by    idempotency.ID
		want  errcode.Kind
	}{
		{"done", idempotency.Op[*Answer]{ID: id, State: idempotency.Done, Answer: kept}, true, id, errcode.OK},
		{"another claim", idempotency.Op[*Answer]{ID: id, State: idempotency.Done, Answer: kept}, true, other, errcode.NotFound},
		{"unheard of", idempotency.Op[*Answer]{}, false, id, errcode.NotFound},
		{"at work", idempotency.Op[*Answer]{ID: id, State: idempotency.AtWork}, true, id, errcode.KeyInProgress},
		{"unknown", idempotency.Op[*Answer]{ID: id, State: idempotency.Unknown}, true, id, errcode.KeyOutcomeUnknown},
		{"void", idempotency.Op[*Answer]{ID: id, State: idempotency.Void}, true, id, errcode.KeyContended},
	} {
		if o := recalled(c.op, c.known, c.by); o.Code != c.want || (o.answer != nil) != (c.want == errcode.OK) {
			t.Errorf("%s: %v, answer %v", c.name, o.Code, o.answer)
		}
	}
	// The gate's own book tells of single attempts: none of them proves that a claim is void.
	g := gateOf(t)
	g.book.Ask(func(b *idempotency.Book[*Answer]) {
		b.Begin(0, "k", id)
		b.End("k", id, idempotency.Void, nil, 0, "")
	})
	if o := g.recallAnswer(&ask{Key: "k", Claim: id}); o.Code != errcode.NotFound {
		t.Errorf("an attempt that was declined: %v", o.Code)
	}
	again := kept.under("second")
	if again.Header[0].Value != "second" || again.Header[1].Value != "s" || kept.Header[0].Value != "first" {
		t.Errorf("told again: %v, kept: %v", again.Header, kept.Header)
	}
}
