package ration

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Over all machines, each keeping to its part, further arrivals in any window stay within the ratio of the requests and the
// allowance. Requests count in that window, the one before it or the one half a window before, whichever holds most.
func TestAllMachinesStayWithin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 16 * time.Second
		machines := rapid.IntRange(1, 6).Draw(t, "machines")
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		allowance := float64(rapid.IntRange(0, 60).Draw(t, "allowance"))
		rs := make([]*Ration, machines)
		for i := range rs {
			rs[i] = &Ration{Window: window, Ratio: ratio, Allowance: allowance, Machines: machines}
		}
		type event struct {
			at      time.Duration
			further bool
		}
		var all []event
		now := time.Duration(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 100, 900, 5000, 40000}).Draw(t, "ms")) * time.Millisecond
			r := rs[rapid.IntRange(0, machines-1).Draw(t, "machine")]
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				r.First(now)
				all = append(all, event{now, false})
			}
			for range rapid.IntRange(0, 12).Draw(t, "tries") {
				left := r.Left(now)
				ok := r.Further(now)
				if ok != (left >= 1) {
					t.Fatalf("%v left, and one more: %v", left, ok)
				}
				if ok {
					all = append(all, event{now, true})
				}
			}
		}
		count := func(from, to time.Duration, further bool) (n float64) {
			for _, e := range all {
				if e.further == further && e.at >= from && e.at < to {
					n++
				}
			}
			return n
		}
		for _, e := range all {
			if e.further {
				from, to := e.at, e.at+window
				firsts := max(count(from, to, false), count(from-window, from, false), count(from-window/2, from+window/2, false))
				if n := count(from, to, true); n > ratio*firsts+allowance {
					t.Fatalf("%v further in the window from %v, of %v requests", n, from, firsts)
				}
			}
		}
	})
}
