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

// waiting is a harbour with so many proxies that wait for news, and a table of as many backends. answered counts answers.
func waiting(t testing.TB, n int, answered *atomic.Int64) (*Harbour, *books) {
	h, b := ashore(t)
	for i := range n {
		b.berths.Merge(backends.Backend{Node: fmt.Sprint("n", i), Addr: "10.0.0.1:7", Version: 1})
	}
	for range n {
		c := rpc.LocalCall(messages.Pull, nil, func([]byte, error) { answered.Add(1) })
		b.pull(c, messages.PullCall{Life: 1, At: b.berths.Revision(), Sum: b.sum, Have: configuration.Ballot{N: 1}, HoldMs: 5000})
	}
	return h, b
}

// While all who wait are told, a call gets its turn after a few of them; and all of them are told of all that came meanwhile.
func TestCallAmidAFanOut(t *testing.T) {
	const proxies = 1000
	var answered atomic.Int64
	h, b := waiting(t, proxies, &answered)
	h.own = rpc.StartOwner(b, 16)
	turn := make(chan int64, 1)
	queued := make(chan struct{})
	h.own.Send(func(b *books) {
		<-queued
		b.berths.Merge(backends.Backend{Node: "n1", Addr: "10.0.0.1:7", Version: 2})
		b.wake()
		b.wake()
	})
	h.own.Send(func(*books) { turn <- answered.Load() }) // it is queued while that command runs
	close(queued)
	if n := <-turn; n > tellBatch {
		t.Errorf("a call has its turn behind %d answers", n)
	}
	for left, telling := -1, true; left != 0 || telling; {
		h.own.Do(func(b *books) { left, telling = len(b.pullers), b.telling })
	}
	h.running.Wait()
	if n := answered.Load(); n != proxies {
		t.Errorf("%d answers", n)
	}
	h.own.Stop()
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
				h, x := waiting(b, n, &answered)
				h.own = rpc.StartOwner(x, 1024)
				b.StartTimer()
				h.own.Send(func(x *books) {
					x.berths.Merge(backends.Backend{Node: "n1", Addr: "10.0.0.1:7", Version: 2})
					x.wake()
				})
				for answered.Load() < int64(n) {
					began := time.Now()
					h.own.Do(func(*books) {})
					took := time.Since(began)
					longest = max(longest, took)
					sum += took
					rounds++
				}
				b.StopTimer()
				h.own.Stop()
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
	for name, end := range map[string]func(b *books){
		"both have told":       func(b *books) { b.heardOut("b:1"); b.heardOut("c:1") },
		"the time for it ends": func(b *books) { b.begun = b.begun.Add(-fillTime); b.fill(true) },
	} {
		var answered atomic.Int64
		_, b := waiting(t, 1, &answered)
		b.begun = time.Now()
		partial := func() bool { return b.news(messages.PullCall{}).Partial }
		if b.fill(false); !partial() {
			t.Errorf("%s: it vouches for its table before it looked for others", name)
		}
		b.pulling["b:1"], b.pulling["c:1"] = nil, nil
		b.fill(true)
		b.heardOut("b:1")
		if !partial() || answered.Load() > 0 {
			t.Errorf("%s: it vouches for its table while one of two others has told nothing", name)
		}
		if end(b); partial() || answered.Load() != 1 {
			t.Errorf("%s: partial: %v, %d answered", name, partial(), answered.Load())
		}
	}
}
