// Package retrybudget implements a retry budget: it bounds the attempts that one machine sends beyond the first of each request, so
// that those of all machines together stay within a ratio of the requests plus an allowance in every sliding window. Each machine
// keeps to its own share and needs no communication. First attempts are never held back. The package does no I/O.
package retrybudget

import "time"

// Budget is the retry budget of one service. A Machines of zero counts as one.
type Budget struct {
	Window    time.Duration
	Ratio     float64 // retries for each request, over all machines
	Allowance float64 // retries in each window beyond the ratio, over all machines
	Machines  int     // sharing the allowance, as far as known; not lowered when some stop answering

	requests, retries slidingCount
}

const (
	// usedPart is the part of the ratio and of the allowance that is used: windows slide, a machine may have restarted within one,
	// and calls made by repeated executions count as repeats at the service that they go to. 0.6 tolerates that up to two thirds of
	// a service's requests are such calls, one level deep, with both services at their bound; 0.7 tolerated less than half.
	usedPart       = 0.6
	slotsPerWindow = 16
)

// slidingCount counts events of the last window, by slots of a slotsPerWindow-th of it.
type slidingCount struct {
	slot  int64 // of the last count
	count [slotsPerWindow + 1]float64
}

func (c *slidingCount) advance(slot int64) {
	for ; c.slot < slot; c.slot++ {
		if slot-c.slot > slotsPerWindow+1 {
			*c = slidingCount{slot: slot}
			return
		}
		c.count[(c.slot+1)%(slotsPerWindow+1)] = 0
	}
}

func (c *slidingCount) add(slot int64, n float64) {
	c.advance(slot)
	c.count[c.slot%(slotsPerWindow+1)] += n
}

func (c *slidingCount) sum(slot int64) (total float64) {
	c.advance(slot)
	for _, n := range c.count {
		total += n
	}
	return total
}

func (b *Budget) slot(now time.Duration) int64 { return int64(now / (b.Window / slotsPerWindow)) }

// AddRequest counts a request.
func (b *Budget) AddRequest(now time.Duration) { b.requests.add(b.slot(now), 1) }

// TryRetry takes one retry from the budget, and reports whether there was one.
func (b *Budget) TryRetry(now time.Duration) bool {
	if b.Remaining(now) < 1 {
		return false
	}
	b.retries.add(b.slot(now), 1)
	return true
}

// Remaining returns how many retries may be sent now.
func (b *Budget) Remaining(now time.Duration) float64 {
	slot := b.slot(now)
	return usedPart*(b.Ratio*b.requests.sum(slot)+b.Allowance/float64(max(1, b.Machines))) - b.retries.sum(slot)
}
