package saltmast_test

import (
	"fmt"
	"testing"
	"time"

	"saltmast"
)

// What others saw is a prior: a backend that they know to be bad is left out before this balancer loses a request to it, gets
// one attempt at a time after, and is whole again once they say that it is back. Its own answer counts for more.
func TestHearsay(t *testing.T) {
	s := settings()
	to := func(r *rig, n int) (a int) {
		for i := range n {
			id := fmt.Sprint("h", len(r.sent), "-", i)
			r.request(id, safe)
			r.now += ms
			if r.sent[id][0] == "a" {
				a++
			}
			r.outcome(id, saltmast.OK, 20*ms)
		}
		return a
	}
	told := func(bad bool) saltmast.PeerHealthReport {
		return saltmast.PeerHealthReport{Backend: "a", Unhealthy: bad, Age: time.Second, TTL: 3 * time.Second}
	}
	r := newRig(t, s, 5, backends(2))
	r.step(told(true))
	if n := to(r, 40); n != 0 {
		t.Errorf("%d of 40 went to one that is left out", n)
	}
	r.step(told(false))
	if n := to(r, 40); n == 0 {
		t.Error("none went to one that is back")
	}
	r.step(told(true)) // but it has just answered
	if n := to(r, 40); n == 0 {
		t.Error("others' older word counts for more than its own answer")
	}
	r.now += 2 * time.Second
	r.step(told(true))
	if n := to(r, 40); n != 0 {
		t.Errorf("%d of 40 went to one that is bad since", n)
	}
	r.now += 4 * time.Second // the word has faded
	if n := to(r, 40); n == 0 {
		t.Error("it is left out for good")
	}
	r.step(saltmast.PeerHealthReport{Backend: "none", Unhealthy: true, TTL: time.Second})
}

// The word of others ends no ejection of this balancer's own.
func TestHearsayEndsNoOwnEjection(t *testing.T) {
	r := newRig(t, settings(), 5, backends(3))
	bad := ""
	for i := range 60 { // the one that is tried first fails, as this balancer sees
		id := fmt.Sprint("f", i)
		r.request(id, safe)
		r.now += ms
		if bad == "" {
			bad = r.sent[id][0]
		}
		res := saltmast.OK
		if r.sent[id][0] == bad {
			res = saltmast.ConnectFailed
		}
		r.outcome(id, res, ms)
	}
	before := 0
	count := func() (n int) {
		for _, to := range r.sent {
			if to[0] == bad {
				n++
			}
		}
		return n
	}
	if before = count(); before == 0 || before > 10 {
		t.Fatalf("%d of 60 went to one that fails", before)
	}
	r.step(saltmast.PeerHealthReport{Backend: bad})
	for i := range 20 {
		id := fmt.Sprint("g", i)
		r.request(id, safe)
		r.outcome(id, saltmast.OK, ms)
	}
	if count() != before {
		t.Error("it got more on others' word")
	}
}
