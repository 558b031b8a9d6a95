package retrybudget

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
		rs := make([]*Budget, machines)
		for i := range rs {
			rs[i] = &Budget{Window: window, Ratio: ratio, Allowance: allowance, Machines: machines}
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
				r.AddRequest(now)
				all = append(all, event{now, false})
			}
			for range rapid.IntRange(0, 12).Draw(t, "tries") {
				left := r.Remaining(now)
				ok := r.TryRetry(now)
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

// Calls that a repeated run makes count as repeats at the service that they go to, and no machine there knows them for what they are:
// with both services at their bound, and over half of the requests of the second made by the first's runs, the second stays within its own.
func TestCallsOfRepeatedRunsAreBorne(t *testing.T) {
	const ratio, allowance, requests, called, others = 0.2, 162, 780, 0.7, 443
	first := &Budget{Window: 10 * time.Second, Ratio: ratio, Allowance: allowance}
	second := &Budget{Window: 10 * time.Second, Ratio: ratio, Allowance: allowance}
	all, repeats := 0.0, 0.0
	for tick := range 4000 { // two windows of 200 ticks a second, the second of which is counted
		now := time.Duration(tick) * 5 * time.Millisecond
		count := func(r *Budget, perSecond float64, f func(again bool)) {
			for range int(perSecond*float64(tick+1)/200) - int(perSecond*float64(tick)/200) {
				r.AddRequest(now)
				f(false)
				for r.TryRetry(now) { // all that may be
					f(true)
				}
			}
		}
		calls, ofRepeats := 0.0, 0.0
		count(first, requests, func(again bool) {
			if again {
				ofRepeats += called
			} else {
				calls += called
			}
		})
		at := func(n float64, repeated bool) {
			for range int(n + float64(tick%10)/10) {
				second.AddRequest(now)
				if tick >= 2000 {
					all++
					if repeated {
						repeats++
					}
				}
				for second.TryRetry(now) {
					if tick >= 2000 {
						repeats++
					}
				}
			}
		}
		at(calls, false)
		at(ofRepeats, true)
		count(second, others, func(again bool) {
			if tick < 2000 {
				return
			}
			if again {
				repeats++
			} else {
				all++
			}
		})
	}
	if bound := ratio*all + allowance; repeats > bound {
		t.Errorf("%.0f repeats for %.0f requests, %.0f allowed", repeats, all, bound)
	} else if repeats < 0.8*bound {
		t.Errorf("%.0f repeats for %.0f requests: far below the %.0f that are allowed", repeats, all, bound)
	}
}
