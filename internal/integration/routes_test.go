package integration

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestManyRoutes brings 10,000 routes into force, in calls of 500, and has a proxy begin anew with them, which must serve the
// late ones as it does the first.
func TestManyRoutes(t *testing.T) {
	m := up(t)
	a := m.side("alpha")
	const each, routes = 500, 10000
	times := 0
	route := func(n, version int) Item {
		return Route(fmt.Sprintf("berth-%05d", n), version, "idempotent", fmt.Sprintf("/berth/%d/", n), []string{"alpha", "beta"}[n%2])
	}
	timed := func(n int) []time.Duration { // changes of one route
		var took []time.Duration
		for i := range n {
			begun := time.Now()
			if status, text := m.Operate(Change([]Item{route(i, 2+times)}, nil), i); status != 200 {
				t.Fatalf("%d %s", status, text)
			}
			took = append(took, time.Since(begun).Round(100*time.Microsecond))
		}
		times++
		slices.Sort(took)
		return took
	}
	var few []time.Duration
	for n := 0; n < routes; n += each {
		var items []Item
		for i := range each {
			items = append(items, route(n+i, 1))
		}
		if status, text := m.Operate(Change(items, nil), n/each); status != 200 {
			t.Fatalf("routes from %d: %d %s", n, status, text)
		}
		if n == 0 {
			few = timed(12)
		}
	}
	most := timed(12)
	t.Logf("a change of one route at 500: median %v, longest %v; at %d: %v, %v", few[6], few[11], routes, most[6], most[11])
	for _, n := range []int{0, routes / 2, routes - 1} {
		m.served(t, a, Request{Path: fmt.Sprintf("/berth/%d/x", n)})
	}
	had := a.Tug.Peak()
	a.Kill()
	begun := time.Now()
	a.Start(false)
	Await(t, "ready anew", a.Ready)
	ready := time.Since(begun)
	got := Ask(a.Outbound(), Request{Path: fmt.Sprintf("/berth/%d/x", routes-2)})
	if got.Status == 404 {
		t.Error("ready, and a route is unknown")
	}
	m.served(t, a, Request{Path: fmt.Sprintf("/berth/%d/x", routes-1)})
	if most := int64(170 << 20); !race && a.Tug.Peak() > most { // 0.6 of what it is told that it may have
		t.Errorf("%d bytes, and may have %d", a.Tug.Peak(), most)
	}
	t.Logf("a proxy begun anew: ready after %v, served after %v; at its peak %d KiB, before %d KiB", ready, time.Since(begun), a.Tug.Peak()>>10, had>>10)
}
