package saltmast_test

import (
	"fmt"
	"testing"
	"time"

	"saltmast"
)

// A backend that peers report as unhealthy is ejected before this balancer loses a request to it, gets one attempt at a time
// after the TTL, and is restored when they report its recovery. A newer answer to this balancer takes precedence.
func TestPeerHealthReport(t *testing.T) {
	s := settings()
	sendAll := func(r *harness, n int) (toA int) {
		for i := range n {
			id := fmt.Sprint("h", len(r.sent), "-", i)
			r.request(id, safe)
			r.now += ms
			if r.sent[id][0] == "a" {
				toA++
			}
			r.outcome(id, saltmast.OK, 20*ms)
		}
		return toA
	}
	report := func(bad bool) saltmast.PeerHealthReport {
		return saltmast.PeerHealthReport{Backend: "a", Unhealthy: bad, Age: time.Second, TTL: 3 * time.Second}
	}
	r := newHarness(t, s, 5, backends(2))
	r.step(report(true))
	if n := sendAll(r, 40); n != 0 {
		t.Errorf("%d of 40 went to an ejected backend", n)
	}
	r.step(report(false))
	if n := sendAll(r, 40); n == 0 {
		t.Error("none went to a recovered backend")
	}
	r.step(report(true)) // but it just answered
	if n := sendAll(r, 40); n == 0 {
		t.Error("an older peer report overrides the balancer's own answer")
	}
	r.now += 2 * time.Second
	r.step(report(true))
	if n := sendAll(r, 40); n != 0 {
		t.Errorf("%d of 40 went to a backend reported as unhealthy since", n)
	}
	r.now += 4 * time.Second // the report has expired
	if n := sendAll(r, 40); n == 0 {
		t.Error("the ejection does not end")
	}
	r.step(saltmast.PeerHealthReport{Backend: "none", Unhealthy: true, TTL: time.Second})
}

// A peer report of recovery does not end an ejection by this balancer itself.
func TestPeerReportKeepsOwnEjection(t *testing.T) {
	r := newHarness(t, settings(), 5, backends(3))
	bad := ""
	for i := range 60 { // the backend that is tried first always fails
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
		t.Fatalf("%d of 60 went to the failing backend", before)
	}
	r.step(saltmast.PeerHealthReport{Backend: bad})
	for i := range 20 {
		id := fmt.Sprint("g", i)
		r.request(id, safe)
		r.outcome(id, saltmast.OK, ms)
	}
	if count() != before {
		t.Error("it got more requests after the peer report")
	}
}
