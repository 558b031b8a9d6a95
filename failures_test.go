package saltmast_test

import (
	"fmt"
	"testing"
	"time"

	"saltmast"
)

// Errors from all backends alike must eject none: with a strike for each error, most of the fleet was ejected
// and the limit fell until hardly any request was sent.
func TestErrorsFromAllBackendsAlike(t *testing.T) {
	r := newHarness(t, settings(), 1, backends(4))
	r.serve(200, unsafe, 10*ms)
	for i := range 200 {
		id := fmt.Sprint("q", i)
		r.request(id, unsafe)
		if len(r.sent[id]) != 1 {
			t.Fatalf("request %d was not sent at once", i)
		}
		r.now += 10 * ms
		if i%20 == 0 {
			r.outcome(id, saltmast.Errored, 10*ms)
		} else {
			r.outcome(id, saltmast.OK, 10*ms)
		}
	}
	for i := range 16 { // the limit with all four backends
		id := fmt.Sprint("all", i)
		if r.request(id, unsafe); len(r.sent[id]) != 1 {
			t.Errorf("%d sent at once, want 16: some backends are ejected", i)
			break
		}
	}
}

// A single broken connection is no restart: the backend was taken for cold and got hardly any requests until it
// was warm again.
func TestOneResetIsNoRestart(t *testing.T) {
	got := func(fails int) int {
		r := newHarness(t, settings(), 1, backends(2))
		r.waves(400, 2, unsafe, 10*ms)
		for hit := 0; hit < fails; {
			id := fmt.Sprint("q", len(r.sent))
			r.request(id, unsafe)
			r.now += 10 * ms
			if r.sent[id][0] == "a" {
				hit++
				r.outcome(id, saltmast.Reset, 10*ms)
			} else {
				r.outcome(id, saltmast.OK, 10*ms)
			}
		}
		r.advance(2 * time.Second)
		return r.waves(400, 4, unsafe, 10*ms)["a"]
	}
	if one, more := got(1), got(3); one < 150 || more > one/2 {
		t.Errorf("backend a got %d of 400 after one reset, %d after three in a row; want about half, and far less", one, more)
	}
}

// A fleet without warm backends still gets requests: the rate for cold backends was derived from warm ones
// only, so nothing was sent until the ramp was over.
func TestAllColdStillServes(t *testing.T) {
	r := newHarness(t, settings(), 1, backends(4))
	r.serve(100, unsafe, 10*ms)
	list := backends(4)
	for i := range list {
		list[i].Started = r.now
	}
	r.step(saltmast.List{Kind: saltmast.ListFull, Backends: list})
	r.advance(3 * time.Second) // earlier work no longer counts
	sent := 0
	for i := range 50 {
		id := fmt.Sprint("q", i)
		r.request(id, unsafe)
		r.advance(20 * ms)
		if len(r.sent[id]) > 0 {
			sent++
			r.outcome(id, saltmast.OK, 10*ms)
		}
	}
	if sent < 25 {
		t.Errorf("%d of 50 sent to a cold fleet", sent)
	}
}

// Backends that are gone are removed after their last outcome: the state must not grow with each replacement.
func TestGoneBackendsAreRemoved(t *testing.T) {
	r := newHarness(t, settings(), 1, backends(1))
	for i := range 100 {
		id := fmt.Sprint("q", i)
		r.request(id, unsafe)
		next := saltmast.Backend{ID: fmt.Sprint("s", i)}
		r.step(saltmast.List{Kind: saltmast.ListFull, Backends: []saltmast.Backend{next}})
		if len(r.sent[id]) > 0 {
			r.outcome(id, saltmast.OK, 10*ms)
		}
		r.step(saltmast.List{Kind: saltmast.ListDelta, Backends: []saltmast.Backend{{ID: "never seen", State: saltmast.Gone}}})
	}
	if n := r.b.KnownBackends(); n != 1 {
		t.Errorf("%d backends kept, want 1", n)
	}
}

// Few backends are ejected for errors at a time: of eight backends, four of which always answer with an error,
// one is ejected at a time and the others stay in use.
func TestFewAreEjectedForErrors(t *testing.T) {
	r := newHarness(t, settings(), 1, backends(8))
	r.waves(400, 8, unsafe, 10*ms)
	for i := range 300 {
		id := fmt.Sprint("q", i)
		r.request(id, unsafe)
		r.now += ms
		if r.sent[id][0] < "e" {
			r.outcome(id, saltmast.Errored, ms)
		} else {
			r.outcome(id, saltmast.OK, ms)
		}
	}
	used := map[string]bool{}
	for i := range 30 {
		id := fmt.Sprint("all", i)
		r.request(id, unsafe)
		for _, b := range r.sent[id] {
			used[b] = true
		}
	}
	if len(used) < 7 {
		t.Errorf("%d of 8 backends in use, want all but one", len(used))
	}
}
