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

// Each request that was not answered within its target is put down to one cause. The target is 100.
func TestClassify(t *testing.T) {
	for name, c := range map[string]struct {
		p requestStats
		e resultClass
		c cause
	}{
		"in time":                        {requestStats{attempts: 1, took: 100, beforeAttempt: 60, queued: 39, warmingUp: true}, resultInTarget, causeOther},
		"a 404 in time":                  {requestStats{status: 404, attempts: 1, took: 100}, resultInTarget, causeOther},
		"the run alone":                  {requestStats{attempts: 2, took: 901, beforeAttempt: 600, backoff: 600, queued: 200}, resultLate, causeSlowBackend},
		"the run alone, cold":            {requestStats{attempts: 2, took: 901, beforeAttempt: 800, backoff: 800, warmingUp: true}, resultLate, causeColdBackend},
		"cold, and the longest part":     {requestStats{attempts: 1, took: 140, beforeAttempt: 40, claim: 40, warmingUp: true}, resultLate, causeColdBackend},
		"cold, but waited longer":        {requestStats{attempts: 1, took: 140, beforeAttempt: 80, claim: 80, warmingUp: true}, resultLate, causeClaim},
		"a short wait before a long run": {requestStats{attempts: 1, took: 101, beforeAttempt: 5, claim: 5}, resultLate, causeClaim},
		"a place":                        {requestStats{attempts: 1, took: 150, beforeAttempt: 20, claim: 20, queued: 50}, resultLate, causeQueueWait},
		"waits between":                  {requestStats{attempts: 3, took: 150, beforeAttempt: 99, backoff: 60, lastFailure: causeFull}, resultLate, causeBackoff},
		"what failed before":             {requestStats{attempts: 2, took: 150, beforeAttempt: 99, backoff: 9, lastFailure: causeBroken}, resultLate, causeBroken},
		"the client":                     {requestStats{attempts: 1, took: 150, beforeAttempt: 99, bodyRead: 99}, resultLate, causeClientSlow},
		"the proxy itself":               {requestStats{attempts: 1, took: 150, beforeAttempt: 99}, resultLate, causeOther},
		"a repeat":                       {requestStats{took: 150}, resultLate, causeClaim},
		"a 500":                          {requestStats{status: 500, attempts: 2, took: 10}, resultFailed, causeBackend},
		"a 500, and no ration":           {requestStats{status: 500, attempts: 1, took: 10, denied: noRetryBudget}, resultFailed, causeRetryBudget},
		"a part of an answer":            {requestStats{status: 200, attempts: 1, took: 10, truncated: true}, resultFailed, causeBroken},
		"full, and no tokens":            {requestStats{kind: errcode.Full, denied: noTokens}, resultRefused, causeTokens},
		"full, and no time":              {requestStats{kind: errcode.Full, denied: retryLimitReached}, resultRefused, causeFull},
		"none waits":                     {requestStats{kind: errcode.Broken, clientGone: true}, resultFailed, causeClientGone},
		"no number of ours":              {requestStats{kind: 255}, resultFailed, causeOther},
	} {
		c.p.target = 100
		if e, x := c.p.classify(); e != c.e || x != c.c {
			t.Errorf("%s: %s %s, want %s %s", name, resultNames[e], causeNames[x], resultNames[c.e], causeNames[c.c])
		}
	}
	for k := errcode.Unreadable; k <= errcode.CoreOut; k++ { // those that end requests
		e, c := (&requestStats{kind: k}).classify()
		if c == causeOther || (e == resultRefused) != k.NotRun() {
			t.Errorf("%s: %s %s", k, resultNames[e], causeNames[c])
		}
	}
	seen := map[string]bool{}
	for x, name := range causeNames {
		if name == "" || seen[name] {
			t.Errorf("cause %d is called %q", x, name)
		}
		seen[name] = true
	}
}

// What a proxy counts of requests that it saw to their ends.
func TestUnsuccessfulRequestsAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took, status, first := time.Duration(0), 200, time.Duration(-1)
		w := newTestProxy(t, strings.Replace(idempotentRoute, `"target-s":30`, `"target-s":1`, 1), func(w io.Writer, r *http.Request) {
			if first >= 0 { // fails, after that time
				time.Sleep(first)
				first = -1
				respondWithSize(w, r, 500, 3)
				return
			}
			time.Sleep(took) // of the bubble's time
			respondWithSize(w, r, status, 3)
		})
		want := map[string]int64{}
		ask := func(head string, body func(net.Conn), names ...string) {
			t.Helper()
			w.request(t, head, body)
			time.Sleep(time.Second) // of the bubble's time: what is on its way arrives
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
		ask(get, nil, "in_target_idempotent")
		took = 1001 * time.Millisecond
		ask(get, nil, "late_slow_backend", missed)
		took = 900 * time.Millisecond
		w.Inbound.mu.Lock()
		w.Inbound.running = 2 // all its places, for a while
		w.Inbound.mu.Unlock()
		time.AfterFunc(200*time.Millisecond, func() { w.Inbound.release(0); w.Inbound.release(0) })
		ask(get, nil, "late_place", missed)
		took, status = 0, 500
		ask(get, nil, "failed_backend", missed)
		status = 200
		ask("GET /b/1 HTTP/1.1", nil, "refused_client")
		ask("PUT /a/1 HTTP/1.1\nContent-Length: 9", func(c net.Conn) { c.Write([]byte("x")); c.Close() }, "failed_client_gone")
		ask("PUT /a/1 HTTP/1.1\nContent-Length: 900000", func(c net.Conn) { c.Write(make([]byte, 80000)); c.Close() }, "failed_client_gone", missed)
		took, first = 999*time.Millisecond, 0
		ask(get, nil, "late_backoff", missed)
		took, first = 500*time.Millisecond, 800*time.Millisecond
		ask(get, nil, "late_backend", missed)
		w.balancer.Ask(func(b *Balancer) {
			b.RetryAllowance, b.RetryRatio, b.retryBudgets = 0, 0, map[string]*retrybudget.Ration{}
		})
		first = 0
		ask(get, nil, "failed_ration", missed)
		took = 1001 * time.Millisecond
		w.Inbound.Heartbeat(controlapi.Beat{ID: "i-2", Service: "ledger", Capacity: 2, Count: 1, State: backends.Serving, Warm: time.Minute})
		ask(get, nil, "late_cold_backend", missed)
		w.Inbound.Deregister("i-2")
		ask(get, nil, "refused_no_backend", missed)
		w.Configure(nil)
		ask(get, nil, "refused_cold_proxy")
	})
}
