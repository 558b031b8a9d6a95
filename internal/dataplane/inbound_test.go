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

func newTestInbound(t *testing.T) *Inbound {
	return newInbound(Options{Node: "n", Service: "ledger", InboundAddr: "a:1", Incarnation: 7, Started: time.Now(), Heartbeat: time.Second,
		OperationWindow: time.Minute, ResponseBytes: 1 << 20, Log: func(event, text string) { t.Log(event, text) }}, nil)
}

// The announced entry follows the newest heartbeat of the newest instance. A late heartbeat, of the same instance or of
// one that ended, has no effect, and one without a change is not announced.
func TestHeartbeats(t *testing.T) {
	ib := newTestInbound(t)
	beat := func(id string, count uint64, s backends.State) {
		if err := ib.Heartbeat(controlapi.Heartbeat{ID: id, Service: "ledger", Capacity: 2, Sequence: count, State: s}); err != nil {
			t.Fatal(err)
		}
	}
	leave := func(id string) { ib.Deregister(id) }
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
		{"a late heartbeat", func() { beat("i-1", 3, backends.Serving) }, "i-1", backends.Draining, false},
		{"a new instance", func() { beat("i-2", 1, backends.Serving) }, "i-2", backends.Serving, true},
		{"a late heartbeat of the old instance", func() { beat("i-1", 5, backends.Serving) }, "i-2", backends.Serving, false},
		{"the end of the old instance", func() { leave("i-1") }, "i-2", backends.Serving, false},
		{"the end of the instance", func() { leave("i-2") }, "i-2", backends.None, true},
		{"a late heartbeat after the end", func() { beat("i-2", 9, backends.Serving) }, "i-2", backends.None, false},
	} {
		before := ib.Backend().Version
		step.do()
		b := ib.Backend()
		if b.Instance != step.id || b.State != step.state || (b.Version != before) != step.news {
			t.Errorf("%s: %s is %s, version %d to %d; want %s, %s, news %v", step.name, b.Instance, b.State, before, b.Version, step.id, step.state, step.news)
		}
	}
}

// A request gets a place only at the instance that it names, while that is serving. Waiting requests are admitted by
// priority, or rejected when the backend leaves, in whatever way, also if a place is free at that moment.
func TestAdmission(t *testing.T) {
	ib := newTestInbound(t)
	ib.Heartbeat(controlapi.Heartbeat{ID: "i-1", Service: "ledger", Capacity: 1, Sequence: 1, State: backends.Serving})
	request := func(id string, priority int, maxQueueMs uint32) *peerRequest {
		return &peerRequest{Instance: id, Service: "ledger", Priority: priority, MaxQueueMs: maxQueueMs}
	}
	if k := ib.acquire(context.Background(), request("i-0", 0, 0)); k != errcode.BackendReplaced {
		t.Errorf("another instance: %v", k)
	}
	if k := ib.acquire(context.Background(), request("i-1", 0, 0)); k != errcode.OK {
		t.Fatalf("the first request: %v", k)
	}
	if k := ib.acquire(context.Background(), request("i-1", 0, 0)); k != errcode.Overloaded {
		t.Errorf("a request that may not wait: %v", k)
	}
	got := make(chan errcode.Kind, 1)
	go func() { got <- ib.acquire(context.Background(), request("i-1", 1, 60_000)) }()
	for _, waiting := ib.load(); waiting == 0; _, waiting = ib.load() {
		runtime.Gosched()
	}
	ib.release(0)
	if k := <-got; k != errcode.OK {
		t.Errorf("a waiting request: %v", k)
	}
	for n, end := range []func(id string){
		func(id string) { ib.Deregister(id) },
		func(id string) {
			ib.Heartbeat(controlapi.Heartbeat{ID: id, Service: "ledger", Capacity: 1, Sequence: 2, State: backends.Draining})
		},
		func(string) {
			ib.Heartbeat(controlapi.Heartbeat{ID: "i-9", Service: "ledger", Capacity: 1, Sequence: 1, State: backends.Serving})
		},
	} {
		id := fmt.Sprint("i-", n+1)
		ib.Heartbeat(controlapi.Heartbeat{ID: id, Service: "ledger", Capacity: 1, Sequence: 1, State: backends.Serving})
		go func() { got <- ib.acquire(context.Background(), request(id, 1, 60_000)) }()
		for _, waiting := ib.load(); waiting == 0; _, waiting = ib.load() {
			runtime.Gosched()
		}
		end(id)
		ib.release(1)
		if k := <-got; k != errcode.Draining {
			t.Errorf("a request waiting when the backend left, way %d: %v", n, k)
		}
		if k := ib.acquire(context.Background(), request(id, 0, 0)); k == errcode.OK {
			t.Errorf("after the instance's end, way %d: %v", n, k)
		}
		ib.mu.Lock()
		ib.running = 1 // as before
		ib.mu.Unlock()
	}
}

// If the queue is full, a request with a higher priority than the last one takes its turn, and the last one is rejected
// at once.
func TestAdmissionByPriority(t *testing.T) {
	ib := newTestInbound(t)
	ib.Heartbeat(controlapi.Heartbeat{ID: "i-1", Service: "ledger", Capacity: 1, Sequence: 1, State: backends.Serving})
	request := func(priority int) *peerRequest {
		return &peerRequest{Instance: "i-1", Service: "ledger", Priority: priority, MaxQueueMs: 60_000}
	}
	wait := func(priority int) chan errcode.Kind {
		got := make(chan errcode.Kind, 1)
		before := ib.lastOrder
		go func() { got <- ib.acquire(context.Background(), request(priority)) }()
		for now := before; now == before; {
			runtime.Gosched()
			ib.mu.Lock()
			now = ib.lastOrder
			ib.mu.Unlock()
		}
		return got
	}
	if k := ib.acquire(context.Background(), request(2)); k != errcode.OK {
		t.Fatalf("the first request: %v", k)
	}
	low := wait(2)
	if k := ib.acquire(context.Background(), request(2)); k != errcode.Overloaded {
		t.Errorf("a request of the same priority as the last one: %v", k)
	}
	high := wait(1)
	if k := <-low; k != errcode.Overloaded {
		t.Errorf("the last request when one of a higher priority arrived: %v", k)
	}
	if k := ib.acquire(context.Background(), request(2)); k != errcode.Overloaded {
		t.Errorf("a request of a lower priority: %v", k)
	}
	ib.release(2)
	if k := <-high; k != errcode.OK {
		t.Errorf("the request of the highest priority: %v", k)
	}
	if running, waiting := ib.load(); running != 1 || waiting != 0 {
		t.Errorf("%d running and %d waiting, want 1 and 0", running, waiting)
	}
}

// Places that a priority did not find are reserved from lower priorities, up to a fraction of all, and the reservation
// expires over time.
func TestReservedPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ib := newInbound(Options{Node: "n", Service: "ledger", InboundAddr: "a:1", Incarnation: 7, Started: time.Now(), Heartbeat: time.Minute,
			OperationWindow: time.Minute, ResponseBytes: 1 << 20, Log: func(string, string) {}}, nil)
		defer ib.operations.Stop()
		ib.Heartbeat(controlapi.Heartbeat{ID: "i-1", Service: "ledger", Capacity: 10, Sequence: 1, State: backends.Serving})
		acquire := func(priority int) errcode.Kind {
			return ib.acquire(context.Background(), &peerRequest{Instance: "i-1", Service: "ledger", Priority: priority})
		}
		for range 10 {
			if k := acquire(2); k != errcode.OK {
				t.Fatalf("one of ten places without reservations: %v", k)
			}
		}
		for range 9 {
			if k := acquire(1); k != errcode.Overloaded {
				t.Fatalf("an eleventh request: %v", k)
			}
		}
		if got := [3]int{ib.runningLimit(0), ib.runningLimit(1), ib.runningLimit(2)}; got != [3]int{10, 10, 7} {
			t.Errorf("places for the priorities 0, 1, 2: %v, want 10, 10 and, with a third reserved, 7", got)
		}
		for range 3 {
			ib.release(2)
		}
		if a, b, c := acquire(2), acquire(1), acquire(0); a != errcode.Overloaded || b != errcode.OK || c != errcode.OK {
			t.Errorf("with 7 of 10 taken, priorities 2, 1, 0 get: %v, %v, %v", a, b, c)
		}
		time.Sleep(reservationHalfLife)
		if got := ib.runningLimit(2); got != 9 {
			t.Errorf("after one half-life: %d places for the last priority, want 9", got)
		}
		time.Sleep(3 * reservationHalfLife)
		if got := ib.runningLimit(2); got != 10 {
			t.Errorf("after 4 half-lives: %d places for the last priority, want 10", got)
		}
	})
}

// While high-priority requests take every place and fill the queue, low-priority ones get one place of six, and no
// more.
func TestLowPriorityIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ib := newInbound(Options{Node: "n", Service: "ledger", InboundAddr: "a:1", Incarnation: 7, Started: time.Now(), Heartbeat: time.Minute,
			OperationWindow: time.Minute, ResponseBytes: 1 << 20, Log: func(string, string) {}}, nil)
		defer ib.operations.Stop()
		ib.Heartbeat(controlapi.Heartbeat{ID: "i-1", Service: "ledger", Capacity: 6, Sequence: 1, State: backends.Serving})
		var completed [3]atomic.Int64
		var clients sync.WaitGroup
		const duration = 10 * time.Second
		started := time.Now()
		for n := range 24 {
			priority, runTime := 0, 22*time.Millisecond
			if n%4 == 3 {
				priority, runTime = 2, 72*time.Millisecond
			}
			clients.Go(func() {
				for time.Sleep(time.Duration(n) * time.Millisecond); time.Since(started) < duration; time.Sleep(10 * time.Millisecond) {
					if ib.acquire(context.Background(), &peerRequest{Instance: "i-1", Service: "ledger", Priority: priority, MaxQueueMs: 60}) == errcode.OK {
						time.Sleep(runTime)
						ib.release(priority)
						completed[priority].Add(1)
					}
				}
			})
		}
		clients.Wait()
		if running, waiting := ib.load(); running != 0 || waiting != 0 || ib.runningByPriority != [5]int{} {
			t.Errorf("at the end %d running, %v by priority, and %d waiting", running, ib.runningByPriority, waiting)
		}
		// One place is 10 s / 72 ms = 139 low-priority runs, and five are 2,270 high-priority ones.
		if n := completed[2].Load(); n < 100 || n > 150 {
			t.Errorf("%d low-priority requests were served", n)
		}
		if n := completed[0].Load(); n < 2000 {
			t.Errorf("%d high-priority requests were served", n)
		}
	})
}

// A client retries soon if it lost a place to others, and later after an outage, at most by the route's target.
func TestRetryAfter(t *testing.T) {
	r := &clientRequest{arrived: time.Now(), deadline: time.Now().Add(10 * time.Second), route: &configuration.Route{Target: 400 * time.Millisecond}}
	soon, later := r.retryAfter(errcode.Overloaded), r.retryAfter(errcode.NoQuorum)
	if soon < 40*time.Millisecond || soon > 65*time.Millisecond || later < 400*time.Millisecond || later > 450*time.Millisecond {
		t.Errorf("full: %v, outage with 10 s left: %v; want 40 to 65 ms, and the target and up to an eighth more", soon, later)
	}
	r.deadline = time.Now().Add(300 * time.Millisecond)
	if d := r.retryAfter(errcode.NoBackend); d < 100*time.Millisecond || d > 150*time.Millisecond {
		t.Errorf("outage with little time left: %v, want a quarter of the target and up to an eighth more", d)
	}
}

// The outcome for a key depends on whose claim is asked for. A replayed response bears the attempt id of the repeat,
// and the stored one is not modified.
func TestOperationOutcome(t *testing.T) {
	id, other := idempotency.ID{Incarnation: 1, N: 1}, idempotency.ID{Incarnation: 1, N: 2}
	stored := &Response{Status: 200, Header: []Field{{Name: HeaderAttemptID, Value: "first"}, {Name: HeaderServerSeal, Value: "s"}}}
	for _, c := range []struct {
		name  string
		op    idempotency.Operation[*Response]
		known bool
		claim idempotency.ID
		want  errcode.Kind
	}{
		{"done", idempotency.Operation[*Response]{ID: id, State: idempotency.Done, Answer: stored}, true, id, errcode.OK},
		{"another claim", idempotency.Operation[*Response]{ID: id, State: idempotency.Done, Answer: stored}, true, other, errcode.NotFound},
		{"not known", idempotency.Operation[*Response]{}, false, id, errcode.NotFound},
		{"running", idempotency.Operation[*Response]{ID: id, State: idempotency.InProgress}, true, id, errcode.KeyInProgress},
		{"unknown", idempotency.Operation[*Response]{ID: id, State: idempotency.Unknown}, true, id, errcode.KeyOutcomeUnknown},
		{"void", idempotency.Operation[*Response]{ID: id, State: idempotency.NotExecuted}, true, id, errcode.KeyContended},
	} {
		if o := operationOutcome(c.op, c.known, c.claim); o.Code != c.want || (o.response != nil) != (c.want == errcode.OK) {
			t.Errorf("%s: %v, response %v", c.name, o.Code, o.response)
		}
	}
	// The inbound side records single attempts: none of them proves that a claim is void.
	ib := newTestInbound(t)
	ib.operations.Do(func(b *idempotency.Cache[*Response]) {
		b.Begin(0, "k", id)
		b.Finish("k", id, idempotency.NotExecuted, nil, 0, "")
	})
	if o := ib.lookupResponse(&peerRequest{Key: "k", Claim: id}); o.Code != errcode.NotFound {
		t.Errorf("a declined attempt: %v", o.Code)
	}
	replayed := stored.withAttemptID("second")
	if replayed.Header[0].Value != "second" || replayed.Header[1].Value != "s" || stored.Header[0].Value != "first" {
		t.Errorf("replayed: %v, stored: %v", replayed.Header, stored.Header)
	}
}
