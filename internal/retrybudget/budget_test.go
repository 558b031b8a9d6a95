package retrybudget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Over all machines, each keeping to its own share, the retries in any window stay within the ratio of the requests plus the
// allowance. The requests are those of that window, the one before it or the one half a window before, whichever has most.
func TestBudgetOverAllMachines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 16 * time.Second
		machines := rapid.IntRange(1, 6).Draw(t, "machines")
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		allowance := float64(rapid.IntRange(0, 60).Draw(t, "allowance"))
		budgets := make([]*Budget, machines)
		for i := range budgets {
			budgets[i] = &Budget{Window: window, Ratio: ratio, Allowance: allowance, Machines: machines}
		}
		type event struct {
			at    time.Duration
			retry bool
		}
		var all []event
		now := time.Duration(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 1, 100, 900, 5000, 40000}).Draw(t, "ms")) * time.Millisecond
			b := budgets[rapid.IntRange(0, machines-1).Draw(t, "machine")]
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b.AddRequest(now)
				all = append(all, event{now, false})
			}
			for range rapid.IntRange(0, 12).Draw(t, "tries") {
				remaining := b.Remaining(now)
				ok := b.TryRetry(now)
				if ok != (remaining >= 1) {
					t.Fatalf("%v remaining, TryRetry: %v", remaining, ok)
				}
				if ok {
					all = append(all, event{now, true})
				}
			}
		}
		count := func(from, to time.Duration, retry bool) (n float64) {
			for _, e := range all {
				if e.retry == retry && e.at >= from && e.at < to {
					n++
				}
			}
			return n
		}
		for _, e := range all {
			if e.retry {
				from, to := e.at, e.at+window
				requests := max(count(from, to, false), count(from-window, from, false), count(from-window/2, from+window/2, false))
				if n := count(from, to, true); n > ratio*requests+allowance {
					t.Fatalf("%v retries in the window from %v, for %v requests", n, from, requests)
				}
			}
		}
	})
}

// Calls that a repeated execution makes count as repeats at the service that they go to, where no machine can tell them from first
// requests. With both services at their bound, and over half of the requests of the second made by executions of the first, the
// second stays within its own bound.
func TestCallsOfRetriedRequests(t *testing.T) {
	const ratio, allowance, requests, called, others = 0.2, 162, 780, 0.7, 443
	first := &Budget{Window: 10 * time.Second, Ratio: ratio, Allowance: allowance}
	second := &Budget{Window: 10 * time.Second, Ratio: ratio, Allowance: allowance}
	all, repeats := 0.0, 0.0
	for tick := range 4000 { // two windows of 10 s at 200 ticks a second; only the second is counted
		now := time.Duration(tick) * 5 * time.Millisecond
		count := func(b *Budget, perSecond float64, send func(retry bool)) {
			for range int(perSecond*float64(tick+1)/200) - int(perSecond*float64(tick)/200) {
				b.AddRequest(now)
				send(false)
				for b.TryRetry(now) { // until the budget is used up
					send(true)
				}
			}
		}
		firstCalls, repeatedCalls := 0.0, 0.0
		count(first, requests, func(retry bool) {
			if retry {
				repeatedCalls += called
			} else {
				firstCalls += called
			}
		})
		sendToSecond := func(n float64, repeated bool) {
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
		sendToSecond(firstCalls, false)
		sendToSecond(repeatedCalls, true)
		count(second, others, func(retry bool) {
			if tick < 2000 {
				return
			}
			if retry {
				repeats++
			} else {
				all++
			}
		})
	}
	if bound := ratio*all + allowance; repeats > bound {
		t.Errorf("%.0f repeats for %.0f requests, %.0f allowed", repeats, all, bound)
	} else if repeats < 0.8*bound {
		t.Errorf("%.0f repeats for %.0f requests: far below the %.0f allowed", repeats, all, bound)
	}
}
