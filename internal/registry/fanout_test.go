package registry

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/configuration"
	"saltmast/internal/messages"
	"saltmast/internal/rpc"
)

// newRegistryWithPullers returns a registry with n backends and n waiting pull calls. answered counts the answers to these.
func newRegistryWithPullers(t testing.TB, n int, answered *atomic.Int64) (*Registry, *state) {
	reg, st := newTestRegistry(t)
	for i := range n {
		st.backends.Merge(backends.Backend{Node: fmt.Sprint("n", i), Addr: "10.0.0.1:7", Version: 1})
	}
	for range n {
		c := rpc.LocalCall(messages.Pull, nil, func([]byte, error) { answered.Add(1) })
		st.handlePull(c, messages.PullCall{Incarnation: 1, Revision: st.backends.Revision(), RegistriesDigest: st.registriesDigest, Have: configuration.Ballot{N: 1}, HoldMs: 5000})
	}
	return reg, st
}

// TestCallDuringFanOut checks that a call is served after at most one batch while all waiting pulls are answered, and that all of
// them are answered.
func TestCallDuringFanOut(t *testing.T) {
	const proxies = 1000
	var answered atomic.Int64
	reg, st := newRegistryWithPullers(t, proxies, &answered)
	reg.owner = rpc.StartOwner(st, 16)
	answeredBefore := make(chan int64, 1)
	queued := make(chan struct{})
	reg.owner.Send(func(st *state) {
		<-queued
		st.backends.Merge(backends.Backend{Node: "n1", Addr: "10.0.0.1:7", Version: 2})
		st.notifyPullers()
		st.notifyPullers()
	})
	reg.owner.Send(func(*state) { answeredBefore <- answered.Load() }) // queued while the command above runs
	close(queued)
	if n := <-answeredBefore; n > notifyBatch {
		t.Errorf("a call was served after %d answers", n)
	}
	for waiting, notifying := -1, true; waiting != 0 || notifying; {
		reg.owner.Do(func(st *state) { waiting, notifying = len(st.pullers), st.notifying })
	}
	reg.tasks.Wait()
	if n := answered.Load(); n != proxies {
		t.Errorf("%d answers", n)
	}
	reg.owner.Stop()
}

// BenchmarkFanOut sends one change to all waiting pulls. turn-µs is the time for which the owner was busy for another call.
func BenchmarkFanOut(b *testing.B) {
	for _, n := range []int{437, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var longest, sum time.Duration
			rounds := 0
			for b.Loop() {
				b.StopTimer()
				var answered atomic.Int64
				reg, x := newRegistryWithPullers(b, n, &answered)
				reg.owner = rpc.StartOwner(x, 1024)
				b.StartTimer()
				reg.owner.Send(func(st *state) {
					st.backends.Merge(backends.Backend{Node: "n1", Addr: "10.0.0.1:7", Version: 2})
					st.notifyPullers()
				})
				for answered.Load() < int64(n) {
					began := time.Now()
					reg.owner.Do(func(*state) {})
					took := time.Since(began)
					longest = max(longest, took)
					sum += took
					rounds++
				}
				b.StopTimer()
				reg.owner.Stop()
				b.StartTimer()
			}
			b.ReportMetric(float64(longest.Microseconds()), "longest-turn-µs")
			b.ReportMetric(float64(sum.Microseconds())/float64(rounds), "turn-µs")
		})
	}
}

// TestStartWithEmptyTable checks that a starting registry marks its replies as partial until all others that it found have sent
// their entries or can't be reached, for 2 s at most, and that waiting pulls are answered when that ends.
func TestStartWithEmptyTable(t *testing.T) {
	for name, end := range map[string]func(st *state){
		"both have sent theirs": func(st *state) { st.markEntriesReceived("b:1"); st.markEntriesReceived("c:1") },
		"the time is over":      func(st *state) { st.started = st.started.Add(-maxFillTime); st.updateComplete(true) },
	} {
		var answered atomic.Int64
		_, st := newRegistryWithPullers(t, 1, &answered)
		st.started = time.Now()
		partial := func() bool { return st.buildReply(messages.PullCall{}).Partial }
		if st.updateComplete(false); !partial() {
			t.Errorf("%s: the table counts as complete before other registries were looked for", name)
		}
		st.pulls["b:1"], st.pulls["c:1"] = nil, nil
		st.updateComplete(true)
		st.markEntriesReceived("b:1")
		if !partial() || answered.Load() > 0 {
			t.Errorf("%s: the table counts as complete while one of two others has sent nothing", name)
		}
		if end(st); partial() || answered.Load() != 1 {
			t.Errorf("%s: partial: %v, %d answered", name, partial(), answered.Load())
		}
	}
}
