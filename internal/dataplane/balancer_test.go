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

func helmOf(count int) *Balancer {
	h := NewBalancer()
	h.Node, h.Zone, h.Ratio, h.Allowance, h.Window = "n0", "z", 10, 1e6, time.Minute
	h.Rand = rand.New(rand.NewPCG(1, 1))
	var bs []backends.Berth
	for i := range count {
		bs = append(bs, backends.Berth{Node: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i), Zone: "z", Version: 1, Instance: fmt.Sprint("i", i),
			Service: "s", Capacity: 4, State: backends.Serving})
	}
	h.Learn(0, bs)
	return h
}

var (
	slow   = &configuration.Route{Target: 32 * time.Second, MaxAttempts: 9}
	served = outcome{told: told{Status: 200}}
)

// The bucket of the design: 500 tokens; a retry costs 5, one after a time-out 10; a served request brings 1 back, a failure
// none; at most 5 retries, none that would come too late.
func TestRetries(t *testing.T) {
	again := func(h *Balancer, retries int, last errcode.Kind) bool {
		_, no := h.Again(time.Second, slow, "s", retries, last, false, time.Hour)
		return no == granted
	}
	for _, c := range []struct {
		last errcode.Kind
		want int
	}{{errcode.Overloaded, 100}, {errcode.ConnectionLost, 100}, {errcode.ResponseTimeout, 50}} {
		h, n := helmOf(1), 0
		for again(h, 0, c.last) {
			n++
		}
		if n != c.want {
			t.Errorf("%d retries after %q, want %d", n, c.last, c.want)
		}
		failed := outcome{told: told{Status: 500}}
		for i := range 5 {
			if again(h, 0, errcode.Overloaded) {
				t.Errorf("a retry for %d tokens", i)
			}
			if !h.Pick(0, "s", "").ok {
				t.Error("a first attempt waits for the bucket")
			}
			ch := h.Pick(0, "s", "")
			h.Over(0, ch, &failed)
			h.Over(0, ch, &served)
		}
		if !again(h, 0, errcode.Overloaded) || again(h, 0, errcode.Overloaded) {
			t.Error("5 served requests are not worth one retry")
		}
		for range 1000 {
			h.Over(0, choice{node: "n0"}, &served)
		}
		if h.bucket.Tokens() != bucketTokens {
			t.Errorf("%v tokens", h.bucket.Tokens())
		}
	}
	h := helmOf(1)
	for retries, want := range []bool{true, true, true, true, true, false, false} {
		if again(h, retries, errcode.Overloaded) != want {
			t.Errorf("retry %d: %v", retries+1, !want)
		}
	}
	before := h.bucket.Tokens()
	if _, no := h.Again(0, slow, "s", 0, errcode.Overloaded, false, 0); no == granted || h.bucket.Tokens() != before {
		t.Errorf("a retry with no time left: %v, %v tokens of %v", no, h.bucket.Tokens(), before)
	}
	h.Allowance, h.Ratio = 0, 0
	h.rations = map[string]*retrybudget.Ration{}
	if _, no := h.Again(0, slow, "s", 0, errcode.Declined, true, time.Hour); no == granted || h.bucket.Tokens() != before {
		t.Error("one more arrival beyond the ration")
	}
	if _, no := h.Again(0, slow, "s", 0, errcode.Overloaded, false, time.Hour); no != granted {
		t.Error("what never arrived waits for the ration")
	}
}

// Waits are fully jittered: from none to a second, doubled with each retry, under a part of the route's target.
func TestWaits(t *testing.T) {
	for _, c := range []struct {
		target time.Duration
		most   [3]time.Duration
	}{
		{32 * time.Second, [3]time.Duration{time.Second, 2 * time.Second, 2 * time.Second}},
		{time.Hour, [3]time.Duration{time.Second, 2 * time.Second, 4 * time.Second}},
		{160 * time.Millisecond, [3]time.Duration{10 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond}},
		{time.Millisecond, [3]time.Duration{ceilingLow, ceilingLow, ceilingLow}},
	} {
		for retries, most := range c.most {
			h := helmOf(1)
			low, high := time.Hour, time.Duration(0)
			for range 90 {
				w, no := h.Again(0, &configuration.Route{Target: c.target}, "s", retries, errcode.Overloaded, false, time.Hour)
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
func TestPicks(t *testing.T) {
	h := helmOf(3)
	seen := map[string]int{}
	for range 90 {
		c := h.Pick(0, "s", "n1")
		seen[c.node]++
		h.Over(0, c, &served)
	}
	if seen["n1"] > 0 || seen["n0"] < 20 || seen["n2"] < 20 {
		t.Errorf("chosen: %v, with n1 just failed", seen)
	}
	for range 12 { // what is in flight is spread
		h.Pick(0, "s", "")
	}
	for n, r := range h.rows {
		if r.inFlight < 3 || r.inFlight > 6 {
			t.Errorf("%s has %d in flight", n, r.inFlight)
		}
	}
	h = helmOf(2)
	away := outcome{told: told{Code: errcode.Unreachable}, err: errcode.New(errcode.Unreachable, "")}
	h.Over(0, choice{node: "n0", instance: "i0"}, &away)
	for range 20 {
		if c := h.Pick(awayLow/2, "s", ""); c.node != "n1" {
			t.Fatalf("%s was chosen, which can't be reached", c.node)
		}
	}
	h.Learn(0, []backends.Berth{{Node: "n1", Version: 2, Instance: "i1", Service: "s", State: backends.Draining}})
	if c := h.Pick(awayLow/2, "s", "n0"); c.node != "n0" {
		t.Errorf("%q was chosen where one is left", c.node)
	}
	h.Learn(0, []backends.Berth{{Node: "n0", Version: 2, Instance: "j", Service: "other", State: backends.Serving}})
	if h.Pick(0, "s", "").ok {
		t.Error("a backend that leaves, or of another service, was chosen")
	}
	h.Over(0, choice{node: "gone"}, &served)
}
