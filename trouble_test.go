package saltmast_test

import (
	"fmt"
	"testing"
	"time"

	"saltmast"
)

// Guards against spoilt answers that come from all backends alike: with a strike for each, most of the
// fleet was left out, and the limit fell with it until hardly anything went out.
func TestErrorsFromAllBackendsAlike(t *testing.T) {
	r := newRig(t, settings(), 1, backends(4))
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
	for i := range 16 { // as many as the limit lets out when all four count
		id := fmt.Sprint("all", i)
		if r.request(id, unsafe); len(r.sent[id]) != 1 {
			t.Errorf("%d at once, want 16: backends are left out", i)
			break
		}
	}
}

// Guards against one broken connection that passes for a restart: the backend was taken for cold, and got
// next to nothing until it was warm again.
func TestOneResetIsNoRestart(t *testing.T) {
	got := func(fails int) int {
		r := newRig(t, settings(), 1, backends(2))
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
		t.Errorf("a got %d of 400 after one reset, %d after three in a row; want about half, and far less", one, more)
	}
}

// Guards against a fleet that is all cold: with no warm backend to go by there was no rate for the others,
// and nothing went out until the ramp was over.
func TestAllColdStillServes(t *testing.T) {
	r := newRig(t, settings(), 1, backends(4))
	r.serve(100, unsafe, 10*ms)
	list := backends(4)
	for i := range list {
		list[i].Started = r.now
	}
	r.step(saltmast.List{Kind: saltmast.ListFull, Backends: list})
	r.advance(3 * time.Second) // what was served before counts no longer
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
		t.Errorf("%d of 50 sent to a fleet that is all cold", sent)
	}
}

// Guards against what only grows: backends that are gone are forgotten, when their last attempt is in.
func TestGoneBackendsAreForgotten(t *testing.T) {
	r := newRig(t, settings(), 1, backends(1))
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
		t.Errorf("%d backends are kept, want 1", n)
	}
}

// Guards against leaving out half of a fleet that errs: of eight backends, four of which answer every
// request with an error, one is left out at a time, and the others go on being used.
func TestFewAreLeftOutForErrors(t *testing.T) {
	r := newRig(t, settings(), 1, backends(8))
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
