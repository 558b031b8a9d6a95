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
	b := NewBalancer()
	b.Node, b.Zone, b.RetryRatio, b.RetryAllowance, b.RetryWindow = "n0", "z", 10, 1e6, time.Minute
	b.Rand = rand.New(rand.NewPCG(1, 1))
	var entries []backends.Backend
	for i := range count {
		entries = append(entries, backends.Backend{Node: fmt.Sprint("n", i), Addr: fmt.Sprint("a", i), Zone: "z", Version: 1, Instance: fmt.Sprint("i", i),
			Service: "s", Capacity: 4, State: backends.Serving})
	}
	b.UpdateBackends(0, entries)
	return b
}

var (
	longTargetRoute = &configuration.Route{Target: 32 * time.Second, MaxAttempts: 9}
	servedOutcome   = outcome{peerResponse: peerResponse{Status: 200}}
)

// The retry token bucket: 500 tokens; a retry costs 5, or 10 after a timeout; a success returns 1, a failure none.
// There are at most 5 retries, and none that would exceed the deadline.
func TestRetries(t *testing.T) {
	retryAllowed := func(b *Balancer, retries int, last errcode.Kind) bool {
		_, reason := b.AllowRetry(time.Second, longTargetRoute, "s", retries, last, false, time.Hour)
		return reason == granted
	}
	for _, c := range []struct {
		last errcode.Kind
		want int
	}{{errcode.Overloaded, 100}, {errcode.ConnectionLost, 100}, {errcode.ResponseTimeout, 50}} {
		b, n := newTestBalancer(1), 0
		for retryAllowed(b, 0, c.last) {
			n++
		}
		if n != c.want {
			t.Errorf("%d retries after %q, want %d", n, c.last, c.want)
		}
		failed := outcome{peerResponse: peerResponse{Status: 500}}
		for i := range 5 {
			if retryAllowed(b, 0, errcode.Overloaded) {
				t.Errorf("a retry for %d tokens", i)
			}
			if !b.Pick(0, "s", "").ok {
				t.Error("a first attempt was denied")
			}
			picked := b.Pick(0, "s", "")
			b.RecordOutcome(0, picked, &failed)
			b.RecordOutcome(0, picked, &servedOutcome)
		}
		if !retryAllowed(b, 0, errcode.Overloaded) || retryAllowed(b, 0, errcode.Overloaded) {
			t.Error("5 successes don't pay for exactly one retry")
		}
		for range 1000 {
			b.RecordOutcome(0, choice{node: "n0"}, &servedOutcome)
		}
		if b.bucket.Tokens() != bucketTokens {
			t.Errorf("%v tokens", b.bucket.Tokens())
		}
	}
	b := newTestBalancer(1)
	for retries, want := range []bool{true, true, true, true, true, false, false} {
		if retryAllowed(b, retries, errcode.Overloaded) != want {
			t.Errorf("retry %d: %v", retries+1, !want)
		}
	}
	before := b.bucket.Tokens()
	if _, reason := b.AllowRetry(0, longTargetRoute, "s", 0, errcode.Overloaded, false, 0); reason == granted || b.bucket.Tokens() != before {
		t.Errorf("a retry with no time left: %v, %v tokens of %v", reason, b.bucket.Tokens(), before)
	}
	b.RetryAllowance, b.RetryRatio = 0, 0
	b.retryBudgets = map[string]*retrybudget.Budget{}
	if _, reason := b.AllowRetry(0, longTargetRoute, "s", 0, errcode.Declined, true, time.Hour); reason == granted || b.bucket.Tokens() != before {
		t.Error("a retry beyond the retry budget")
	}
	if _, reason := b.AllowRetry(0, longTargetRoute, "s", 0, errcode.Overloaded, false, time.Hour); reason != granted {
		t.Error("the retry budget applies to a request that never reached a backend")
	}
}

// Backoff has full jitter: from zero to one second, doubled with each retry, under a fraction of the route's target.
func TestRetryWaits(t *testing.T) {
	for _, c := range []struct {
		target   time.Duration
		maxWaits [3]time.Duration
	}{
		{32 * time.Second, [3]time.Duration{time.Second, 2 * time.Second, 2 * time.Second}},
		{time.Hour, [3]time.Duration{time.Second, 2 * time.Second, 4 * time.Second}},
		{160 * time.Millisecond, [3]time.Duration{10 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond}},
		{time.Millisecond, [3]time.Duration{minBackoffCeiling, minBackoffCeiling, minBackoffCeiling}},
	} {
		for retries, maxWaits := range c.maxWaits {
			b := newTestBalancer(1)
			shortest, longest := time.Hour, time.Duration(0)
			for range 90 {
				w, reason := b.AllowRetry(0, &configuration.Route{Target: c.target}, "s", retries, errcode.Overloaded, false, time.Hour)
				if reason != granted {
					t.Fatal("no retry")
				}
				shortest, longest = min(shortest, w), max(longest, w)
			}
			if shortest < 0 || shortest > maxWaits/5 || longest >= maxWaits || longest < maxWaits*4/5 {
				t.Errorf("target %v, retry %d: from %v to %v, want 0 to %v", c.target, retries, shortest, longest, maxWaits)
			}
		}
	}
}

// Idle backends are picked at random; one that just failed or is unreachable comes last; draining ones and those of
// other services are never picked.
func TestPick(t *testing.T) {
	b := newTestBalancer(3)
	picks := map[string]int{}
	for range 90 {
		c := b.Pick(0, "s", "n1")
		picks[c.node]++
		b.RecordOutcome(0, c, &servedOutcome)
	}
	if picks["n1"] > 0 || picks["n0"] < 20 || picks["n2"] < 20 {
		t.Errorf("picked: %v, after n1 failed", picks)
	}
	for range 12 { // requests in flight are spread
		b.Pick(0, "s", "")
	}
	for n, r := range b.byNode {
		if r.inFlight < 3 || r.inFlight > 6 {
			t.Errorf("%s has %d in flight", n, r.inFlight)
		}
	}
	b = newTestBalancer(2)
	unreachable := outcome{peerResponse: peerResponse{Code: errcode.Unreachable}, err: errcode.New(errcode.Unreachable, "")}
	b.RecordOutcome(0, choice{node: "n0", instance: "i0"}, &unreachable)
	for range 20 {
		if c := b.Pick(minAvoidPause/2, "s", ""); c.node != "n1" {
			t.Fatalf("%s was picked, but is unreachable", c.node)
		}
	}
	b.UpdateBackends(0, []backends.Backend{{Node: "n1", Version: 2, Instance: "i1", Service: "s", State: backends.Draining}})
	if c := b.Pick(minAvoidPause/2, "s", "n0"); c.node != "n0" {
		t.Errorf("%q was picked, but only n0 is serving", c.node)
	}
	b.UpdateBackends(0, []backends.Backend{{Node: "n0", Version: 2, Instance: "j", Service: "other", State: backends.Serving}})
	if b.Pick(0, "s", "").ok {
		t.Error("a draining backend, or one of another service, was picked")
	}
	b.RecordOutcome(0, choice{node: "gone"}, &servedOutcome)
}
