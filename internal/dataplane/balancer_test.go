package dataplane

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/configuration"
	"saltmast/internal/errcode"
	"saltmast/internal/retrybudget"
)

func newTestBalancer(count int) *Balancer {
	h := NewBalancer()
	h.Node, h.Zone, h.RetryRatio, h.RetryAllowance, h.RetryWindow = "n0", "z", 10, 1e6, time.Minute
	h.Rand = rand.New(rand.NewPCG(1, 1))
	var bs []backends.Berth
	for i := range count {
		bs = append(bs, backends.Berth{Node: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i), Zone: "z", Version: 1, Instance: fmt.Sprint("i", i),
			Service: "s", Capacity: 4, State: backends.Serving})
	}
	h.UpdateBackends(0, bs)
	return h
}

var (
	longTargetRoute = &configuration.Route{Target: 32 * time.Second, MaxAttempts: 9}
	servedOutcome   = outcome{peerResponse: peerResponse{Status: 200}}
)

// The bucket of the design: 500 tokens; a retry costs 5, one after a time-out 10; a served request brings 1 back, a failure
// none; at most 5 retries, none that would come too late.
func TestRetries(t *testing.T) {
	again := func(h *Balancer, retries int, last errcode.Kind) bool {
		_, no := h.AllowRetry(time.Second, longTargetRoute, "s", retries, last, false, time.Hour)
		return no == granted
	}
	for _, c := range []struct {
		last errcode.Kind
		want int
	}{{errcode.Full, 100}, {errcode.Broken, 100}, {errcode.TimedOut, 50}} {
		h, n := newTestBalancer(1), 0
		for again(h, 0, c.last) {
			n++
		}
		if n != c.want {
			t.Errorf("%d retries after %q, want %d", n, c.last, c.want)
		}
		failed := outcome{peerResponse: peerResponse{Status: 500}}
		for i := range 5 {
			if again(h, 0, errcode.Full) {
				t.Errorf("a retry for %d tokens", i)
			}
			if !h.Pick(0, "s", "").ok {
				t.Error("a first attempt waits for the bucket")
			}
			ch := h.Pick(0, "s", "")
			h.RecordOutcome(0, ch, &failed)
			h.RecordOutcome(0, ch, &servedOutcome)
		}
		if !again(h, 0, errcode.Full) || again(h, 0, errcode.Full) {
			t.Error("5 served requests are not worth one retry")
		}
		for range 1000 {
			h.RecordOutcome(0, choice{node: "n0"}, &servedOutcome)
		}
		if h.bucket.Tokens() != bucketTokens {
			t.Errorf("%v tokens", h.bucket.Tokens())
		}
	}
	h := newTestBalancer(1)
	for retries, want := range []bool{true, true, true, true, true, false, false} {
		if again(h, retries, errcode.Full) != want {
			t.Errorf("retry %d: %v", retries+1, !want)
		}
	}
	before := h.bucket.Tokens()
	if _, no := h.AllowRetry(0, longTargetRoute, "s", 0, errcode.Full, false, 0); no == granted || h.bucket.Tokens() != before {
		t.Errorf("a retry with no time left: %v, %v tokens of %v", no, h.bucket.Tokens(), before)
	}
	h.RetryAllowance, h.RetryRatio = 0, 0
	h.retryBudgets = map[string]*retrybudget.Ration{}
	if _, no := h.AllowRetry(0, longTargetRoute, "s", 0, errcode.TurnedAway, true, time.Hour); no == granted || h.bucket.Tokens() != before {
		t.Error("one more arrival beyond the ration")
	}
	if _, no := h.AllowRetry(0, longTargetRoute, "s", 0, errcode.Full, false, time.Hour); no != granted {
		t.Error("what never arrived waits for the ration")
	}
}

// Waits are fully jittered: from none to a second, doubled with each retry, under a part of the route's target.
func TestRetryWaits(t *testing.T) {
	for _, c := range []struct {
		target time.Duration
		most   [3]time.Duration
	}{
		{32 * time.Second, [3]time.Duration{time.Second, 2 * time.Second, 2 * time.Second}},
		{time.Hour, [3]time.Duration{time.Second, 2 * time.Second, 4 * time.Second}},
		{160 * time.Millisecond, [3]time.Duration{10 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond}},
		{time.Millisecond, [3]time.Duration{minBackoffCeiling, minBackoffCeiling, minBackoffCeiling}},
	} {
		for retries, most := range c.most {
			h := newTestBalancer(1)
			low, high := time.Hour, time.Duration(0)
			for range 90 {
				w, no := h.AllowRetry(0, &configuration.Route{Target: c.target}, "s", retries, errcode.Full, false, time.Hour)
				if no != granted {
					t.Fatal("no retry")
				}
				low, high = min(low, w), max(high, w)
			}
			if low < 0 || low > most/5 || high >= most || high < most*4/5 {
				t.Errorf("target %v, retry %d: from %v to %v, want 0 to %v", c.target, retries, low, high, most)
			}
		}
	}
}

// Idle first and at random, the one that just failed or can't be reached last, those that leave never, and other services'
// never.
func TestPick(t *testing.T) {
	h := newTestBalancer(3)
	seen := map[string]int{}
	for range 90 {
		c := h.Pick(0, "s", "n1")
		seen[c.node]++
		h.RecordOutcome(0, c, &servedOutcome)
	}
	if seen["n1"] > 0 || seen["n0"] < 20 || seen["n2"] < 20 {
		t.Errorf("chosen: %v, with n1 just failed", seen)
	}
	for range 12 { // what is in flight is spread
		h.Pick(0, "s", "")
	}
	for n, r := range h.byNode {
		if r.inFlight < 3 || r.inFlight > 6 {
			t.Errorf("%s has %d in flight", n, r.inFlight)
		}
	}
	h = newTestBalancer(2)
	away := outcome{peerResponse: peerResponse{Code: errcode.Away}, err: errcode.New(errcode.Away, "")}
	h.RecordOutcome(0, choice{node: "n0", instance: "i0"}, &away)
	for range 20 {
		if c := h.Pick(minAvoidPause/2, "s", ""); c.node != "n1" {
			t.Fatalf("%s was chosen, which can't be reached", c.node)
		}
	}
	h.UpdateBackends(0, []backends.Berth{{Node: "n1", Version: 2, Instance: "i1", Service: "s", State: backends.Draining}})
	if c := h.Pick(minAvoidPause/2, "s", "n0"); c.node != "n0" {
		t.Errorf("%q was chosen where one is left", c.node)
	}
	h.UpdateBackends(0, []backends.Berth{{Node: "n0", Version: 2, Instance: "j", Service: "other", State: backends.Serving}})
	if h.Pick(0, "s", "").ok {
		t.Error("a backend that leaves, or of another service, was chosen")
	}
	h.RecordOutcome(0, choice{node: "gone"}, &servedOutcome)
}
