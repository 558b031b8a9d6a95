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

// newRegistryWithPullers is a harbour with so many proxies that wait for news, and a table of as many backends. answered counts answers.
func newRegistryWithPullers(t testing.TB, n int, answered *atomic.Int64) (*Registry, *state) {
	reg, st := newTestRegistry(t)
	for i := range n {
		st.backends.Join(backends.Berth{Node: fmt.Sprint("n", i), Addr: "10.0.0.1:7", Version: 1})
	}
	for range n {
		c := rpc.Local(messages.Pull, nil, func([]byte, error) { answered.Add(1) })
		st.handlePull(c, messages.PullCall{Incarnation: 1, Revision: st.backends.At(), RegistriesDigest: st.registriesDigest, Have: configuration.Ballot{N: 1}, HoldMs: 5000})
	}
	return reg, st
}

// While all who wait are told, a call gets its turn after a few of them; and all of them are told of all that came meanwhile.
func TestCallAmidAFanOut(t *testing.T) {
	const proxies = 1000
	var answered atomic.Int64
	reg, st := newRegistryWithPullers(t, proxies, &answered)
	reg.owner = rpc.Own(st, 16)
	turn := make(chan int64, 1)
	queued := make(chan struct{})
	reg.owner.Send(func(st *state) {
		<-queued
		st.backends.Join(backends.Berth{Node: "n1", Addr: "10.0.0.1:7", Version: 2})
		st.notifyPullers()
		st.notifyPullers()
	})
	reg.owner.Send(func(*state) { turn <- answered.Load() }) // it is queued while that command runs
	close(queued)
	if n := <-turn; n > notifyBatch {
		t.Errorf("a call has its turn behind %d answers", n)
	}
	for left, telling := -1, true; left != 0 || telling; {
		reg.owner.Ask(func(st *state) { left, telling = len(st.pullers), st.notifying })
	}
	reg.tasks.Wait()
	if n := answered.Load(); n != proxies {
		t.Errorf("%d answers", n)
	}
	reg.owner.End()
}

// One change is told to all who wait. turn-µs: for how long the owner had no time for another call.
func BenchmarkFanOut(b *testing.B) {
	for _, n := range []int{437, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var longest, sum time.Duration
			rounds := 0
			for b.Loop() {
				b.StopTimer()
				var answered atomic.Int64
				reg, x := newRegistryWithPullers(b, n, &answered)
				reg.owner = rpc.Own(x, 1024)
				b.StartTimer()
				reg.owner.Send(func(st *state) {
					st.backends.Join(backends.Berth{Node: "n1", Addr: "10.0.0.1:7", Version: 2})
					st.notifyPullers()
				})
				for answered.Load() < int64(n) {
					began := time.Now()
					reg.owner.Ask(func(*state) {})
					took := time.Since(began)
					longest = max(longest, took)
					sum += took
					rounds++
				}
				b.StopTimer()
				reg.owner.End()
				b.StartTimer()
			}
			b.ReportMetric(float64(longest.Microseconds()), "longest-turn-µs")
			b.ReportMetric(float64(sum.Microseconds())/float64(rounds), "turn-µs")
		})
	}
}

// A harbourmaster that has begun says that it may lack entries until all others that it found have told theirs, or can't be reached,
// and for 2 s at most; who waits hears of the end of that.
func TestBegunWithAnEmptyTable(t *testing.T) {
	for name, end := range map[string]func(st *state){
		"both have told":       func(st *state) { st.markEntriesReceived("b:1"); st.markEntriesReceived("c:1") },
		"the time for it ends": func(st *state) { st.started = st.started.Add(-maxFillTime); st.updateComplete(true) },
	} {
		var answered atomic.Int64
		_, st := newRegistryWithPullers(t, 1, &answered)
		st.started = time.Now()
		partial := func() bool { return st.buildReply(messages.PullCall{}).Partial }
		if st.updateComplete(false); !partial() {
			t.Errorf("%s: it vouches for its table before it looked for others", name)
		}
		st.pulls["b:1"], st.pulls["c:1"] = nil, nil
		st.updateComplete(true)
		st.markEntriesReceived("b:1")
		if !partial() || answered.Load() > 0 {
			t.Errorf("%s: it vouches for its table while one of two others has told nothing", name)
		}
		if end(st); partial() || answered.Load() != 1 {
			t.Errorf("%s: partial: %v, %d answered", name, partial(), answered.Load())
		}
	}
}
