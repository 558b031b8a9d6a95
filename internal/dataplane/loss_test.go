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
func TestOneCause(t *testing.T) {
	for name, c := range map[string]struct {
		p passage
		e ending
		c cause
	}{
		"in time":                        {passage{runs: 1, took: 100, before: 60, place: 39, cold: true}, inTarget, causeOther},
		"a 404 in time":                  {passage{status: 404, runs: 1, took: 100}, inTarget, causeOther},
		"the run alone":                  {passage{runs: 2, took: 901, before: 600, backoff: 600, place: 200}, endLate, causeSlowBackend},
		"the run alone, cold":            {passage{runs: 2, took: 901, before: 800, backoff: 800, cold: true}, endLate, causeColdBackend},
		"cold, and the longest part":     {passage{runs: 1, took: 140, before: 40, claim: 40, cold: true}, endLate, causeColdBackend},
		"cold, but waited longer":        {passage{runs: 1, took: 140, before: 80, claim: 80, cold: true}, endLate, causeClaim},
		"a short wait before a long run": {passage{runs: 1, took: 101, before: 5, claim: 5}, endLate, causeClaim},
		"a place":                        {passage{runs: 1, took: 150, before: 20, claim: 20, place: 50}, endLate, causePlace},
		"waits between":                  {passage{runs: 3, took: 150, before: 99, backoff: 60, tried: causeFull}, endLate, causeBackoff},
		"what failed before":             {passage{runs: 2, took: 150, before: 99, backoff: 9, tried: causeBroken}, endLate, causeBroken},
		"the client":                     {passage{runs: 1, took: 150, before: 99, body: 99}, endLate, causeClientSlow},
		"the proxy itself":               {passage{runs: 1, took: 150, before: 99}, endLate, causeOther},
		"a repeat":                       {passage{took: 150}, endLate, causeClaim},
		"a 500":                          {passage{status: 500, runs: 2, took: 10}, endFailed, causeBackend},
		"a 500, and no ration":           {passage{status: 500, runs: 1, took: 10, denied: noRation}, endFailed, causeRation},
		"a part of an answer":            {passage{status: 200, runs: 1, took: 10, cut: true}, endFailed, causeBroken},
		"full, and no tokens":            {passage{kind: errcode.Overloaded, denied: noTokens}, endRefused, causeTokens},
		"full, and no time":              {passage{kind: errcode.Overloaded, denied: enough}, endRefused, causeFull},
		"none waits":                     {passage{kind: errcode.ConnectionLost, gone: true}, endFailed, causeClientGone},
		"no number of ours":              {passage{kind: 255}, endFailed, causeOther},
	} {
		c.p.target = 100
		if e, x := c.p.judge(); e != c.e || x != c.c {
			t.Errorf("%s: %s %s, want %s %s", name, endingNames[e], causeNames[x], endingNames[c.e], causeNames[c.c])
		}
	}
	for k := errcode.InvalidRequest; k <= errcode.NoQuorum; k++ { // those that end requests
		e, c := (&passage{kind: k}).judge()
		if c == causeOther || (e == endRefused) != k.NotRun() {
			t.Errorf("%s: %s %s", k, endingNames[e], causeNames[c])
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
func TestLossesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		took, status, first := time.Duration(0), 200, time.Duration(-1)
		w := newWay(t, strings.Replace(lookup, `"target-s":30`, `"target-s":1`, 1), func(w io.Writer, r *http.Request) {
			if first >= 0 { // fails, after that time
				time.Sleep(first)
				first = -1
				serves(w, r, 500, 3)
				return
			}
			time.Sleep(took) // of the bubble's time
			serves(w, r, status, 3)
		})
		want := map[string]int64{}
		ask := func(head string, body func(net.Conn), names ...string) {
			t.Helper()
			w.ask(t, head, body)
			time.Sleep(time.Second) // of the bubble's time: what is on its way arrives
			for _, n := range names {
				want[n]++
			}
			got := w.Report()
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
		w.Gate.mu.Lock()
		w.Gate.running = 2 // all its places, for a while
		w.Gate.mu.Unlock()
		time.AfterFunc(200*time.Millisecond, func() { w.Gate.exit(0); w.Gate.exit(0) })
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
		w.balancer.Ask(func(h *Balancer) { h.Allowance, h.Ratio, h.rations = 0, 0, map[string]*retrybudget.Ration{} })
		first = 0
		ask(get, nil, "failed_ration", missed)
		took = 1001 * time.Millisecond
		w.Gate.Beat(controlapi.Beat{ID: "i-2", Service: "ledger", Capacity: 2, Count: 1, State: backends.Serving, Warm: time.Minute})
		ask(get, nil, "late_cold_backend", missed)
		w.Gate.Leave("i-2")
		ask(get, nil, "refused_no_backend", missed)
		w.Configure(nil)
		ask(get, nil, "refused_cold_proxy")
	})
}
