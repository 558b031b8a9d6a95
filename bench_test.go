package saltmast_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"saltmast"
)

// BenchmarkStep runs one request to its end, with an error and a retry in one
// of 50. The heap-growth-B metric shows whether the state grows.
func BenchmarkStep(b *testing.B) {
	lb, err := saltmast.New(settings(), 1)
	if err != nil {
		b.Fatal(err)
	}
	now := time.Hour
	lb.Step(now, []saltmast.Event{saltmast.List{Kind: saltmast.ListFull, Backends: backends(14)}})
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		playOne(lb, &now, i)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-growth-B")
	runtime.KeepAlive(lb)
}

// playOne runs request i to its end.
func playOne(lb *saltmast.Balancer, now *time.Duration, i int) {
	id := fmt.Sprint("q", i)
	events := []saltmast.Event{saltmast.Request{ID: id, Class: safe, TimeLeft: time.Second, Key: id}}
	for n := 0; len(events) > 0; {
		acts := lb.Step(*now, events)
		events = nil
		for _, a := range acts {
			switch a := a.(type) {
			case saltmast.Send:
				*now += 2 * ms
				o := saltmast.Outcome{Request: id, Attempt: n, Backend: a.Backend, Latency: 2 * ms, Done: true}
				if n == 0 && i%50 == 0 {
					o.Result, o.Done = saltmast.Errored, false
				}
				n++
				events = append(events, o)
			case saltmast.SetTimer:
				*now += a.After
				events = append(events, saltmast.TimerFired{Token: a.Token})
			}
		}
	}
}

// The state must not grow with the number of requests. It is counted, since the heap size differs
// from run to run.
func TestStateIsBounded(t *testing.T) {
	s := settings()
	s.Classes[safe].KeepOrder, s.KeyRest = true, time.Nanosecond
	lb, err := saltmast.New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Hour
	lb.Step(now, []saltmast.Event{saltmast.List{Kind: saltmast.ListFull, Backends: backends(14)}})
	for i := range 20000 {
		playOne(lb, &now, i)
		if n := lb.StateSize(); n > 4 {
			t.Fatalf("after %d requests, all ended, %d things are kept", i+1, n)
		}
	}
}
