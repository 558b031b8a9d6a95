package dataplane

import (
	"io"
	"maps"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/controlapi"
	"saltmast/internal/errcode"
	"saltmast/internal/retrybudget"
)

// Each request that was not answered within its target has one cause. The target is 100.
func TestClassify(t *testing.T) {
	for name, c := range map[string]struct {
		p requestStats
		e resultClass
		c cause
	}{
		"in time":              {requestStats{attempts: 1, took: 100, beforeAttempt: 60, queued: 39, warmingUp: true}, resultInTarget, causeOther},
		"a 404 in time":        {requestStats{status: 404, attempts: 1, took: 100}, resultInTarget, causeOther},
		"slow run":             {requestStats{attempts: 2, took: 901, beforeAttempt: 600, backoff: 600, queued: 200}, resultLate, causeSlowBackend},
		"slow run, warming up": {requestStats{attempts: 2, took: 901, beforeAttempt: 800, backoff: 800, warmingUp: true}, resultLate, causeColdBackend},
		"warming up, and the run is the longest phase": {requestStats{attempts: 1, took: 140, beforeAttempt: 40, claim: 40, warmingUp: true}, resultLate, causeColdBackend},
		"warming up, but waited longer":                {requestStats{attempts: 1, took: 140, beforeAttempt: 80, claim: 80, warmingUp: true}, resultLate, causeClaim},
		"a short wait before a long run":               {requestStats{attempts: 1, took: 101, beforeAttempt: 5, claim: 5}, resultLate, causeClaim},
		"a queue wait":                                 {requestStats{attempts: 1, took: 150, beforeAttempt: 20, claim: 20, queued: 50}, resultLate, causeQueueWait},
		"backoff":                                      {requestStats{attempts: 3, took: 150, beforeAttempt: 99, backoff: 60, lastFailure: causeFull}, resultLate, causeBackoff},
		"a failed attempt":                             {requestStats{attempts: 2, took: 150, beforeAttempt: 99, backoff: 9, lastFailure: causeBroken}, resultLate, causeBroken},
		"a slow client":                                {requestStats{attempts: 1, took: 150, beforeAttempt: 99, bodyRead: 99}, resultLate, causeClientSlow},
		"the proxy itself":                             {requestStats{attempts: 1, took: 150, beforeAttempt: 99}, resultLate, causeOther},
		"a repeat":                                     {requestStats{took: 150}, resultLate, causeClaim},
		"a 500":                                        {requestStats{status: 500, attempts: 2, took: 10}, resultFailed, causeBackend},
		"a 500, and no retry budget":                   {requestStats{status: 500, attempts: 1, took: 10, denied: noRetryBudget}, resultFailed, causeRetryBudget},
		"a truncated response":                         {requestStats{status: 200, attempts: 1, took: 10, truncated: true}, resultFailed, causeBroken},
		"full, and no tokens":                          {requestStats{kind: errcode.Overloaded, denied: noTokens}, resultRefused, causeTokens},
		"full, and no time":                            {requestStats{kind: errcode.Overloaded, denied: retryLimitReached}, resultRefused, causeFull},
		"no client waits":                              {requestStats{kind: errcode.ConnectionLost, clientGone: true}, resultFailed, causeClientGone},
		"an unknown code":                              {requestStats{kind: 255}, resultFailed, causeOther},
	} {
		c.p.target = 100
		if e, x := c.p.classify(); e != c.e || x != c.c {
			t.Errorf("%s: %s %s, want %s %s", name, resultNames[e], causeNames[x], resultNames[c.e], causeNames[c.c])
		}
	}
	for k := errcode.InvalidRequest; k <= errcode.NoQuorum; k++ { // codes that end requests
		e, c := (&requestStats{kind: k}).classify()
		if c == causeOther || (e == resultRefused) != k.NotRun() {
			t.Errorf("%s: %s %s", k, resultNames[e], causeNames[c])
		}
	}
	seen := map[string]bool{}
	for x, name := range causeNames {
		if name == "" || seen[name] {
			t.Errorf("cause %d has the name %q", x, name)
		}
		seen[name] = true
	}
}

// Finished requests are counted by result and cause.
func TestUnsuccessfulRequestsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runTime, status, failAfter := time.Duration(0), 200, time.Duration(-1)
		w := newTestProxy(t, strings.Replace(idempotentRoute, `"target-s":30`, `"target-s":1`, 1), func(w io.Writer, r *http.Request) {
			if failAfter >= 0 { // fails after that time
				time.Sleep(failAfter)
				failAfter = -1
				respondWithSize(w, r, 500, 3)
				return
			}
			time.Sleep(runTime) // synctest time
			respondWithSize(w, r, status, 3)
		})
		want := map[string]int64{}
		request := func(head string, body func(net.Conn), names ...string) {
			t.Helper()
			w.request(t, head, body)
			time.Sleep(time.Second) // synctest time: responses in transit arrive
			for _, n := range names {
				want[n]++
			}
			got := w.Counters()
			maps.DeleteFunc(got, func(k string, _ int64) bool {
				return !strings.HasPrefix(k, "in_target_") && !strings.HasPrefix(k, "missed_") && !strings.HasPrefix(k, "late_") &&
					!strings.HasPrefix(k, "failed_") && !strings.HasPrefix(k, "refused_")
			})
			if !maps.Equal(got, want) {
				t.Errorf("%v, want %v", got, want)
			}
		}
		const get, missed = "GET /a/1 HTTP/1.1", "missed_idempotent"
		request(get, nil, "in_target_idempotent")
		runTime = 1001 * time.Millisecond
		request(get, nil, "late_slow_backend", missed)
		runTime = 900 * time.Millisecond
		w.Inbound.mu.Lock()
		w.Inbound.running = 2 // all its places for a while
		w.Inbound.mu.Unlock()
		time.AfterFunc(200*time.Millisecond, func() { w.Inbound.release(0); w.Inbound.release(0) })
		request(get, nil, "late_place", missed)
		runTime, status = 0, 500
		request(get, nil, "failed_backend", missed)
		status = 200
		request("GET /b/1 HTTP/1.1", nil, "refused_client")
		request("PUT /a/1 HTTP/1.1\nContent-Length: 9", func(c net.Conn) { c.Write([]byte("x")); c.Close() }, "failed_client_gone")
		request("PUT /a/1 HTTP/1.1\nContent-Length: 900000", func(c net.Conn) { c.Write(make([]byte, 80000)); c.Close() }, "failed_client_gone", missed)
		runTime, failAfter = 999*time.Millisecond, 0
		request(get, nil, "late_backoff", missed)
		runTime, failAfter = 500*time.Millisecond, 800*time.Millisecond
		request(get, nil, "late_backend", missed)
		w.balancer.Do(func(b *Balancer) {
			b.RetryAllowance, b.RetryRatio, b.retryBudgets = 0, 0, map[string]*retrybudget.Budget{}
		})
		failAfter = 0
		request(get, nil, "failed_ration", missed)
		runTime = 1001 * time.Millisecond
		w.Inbound.Heartbeat(controlapi.Heartbeat{ID: "i-2", Service: "ledger", Capacity: 2, Sequence: 1, State: backends.Serving, WarmupLeft: time.Minute})
		request(get, nil, "late_cold_backend", missed)
		w.Inbound.Deregister("i-2")
		request(get, nil, "refused_no_backend", missed)
		w.Configure(nil)
		request(get, nil, "refused_cold_proxy")
	})
}
