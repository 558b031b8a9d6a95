// Package retrybudget bounds what one machine sends beyond the first of each request, so that over all machines it stays within
// a ratio of the requests and an allowance, in every sliding window. It is pure, and needs no word from others: each machine
// keeps to its own part. First attempts never wait for it.
package retrybudget

import "time"

// Budget counts for one service. The zero value of Machines counts as one.
type Budget struct {
	Window    time.Duration
	Ratio     float64 // further arrivals for each request, over all machines
	Allowance float64 // further arrivals free of the ratio in each window, over all machines
	Machines  int     // that share the allowance, as far as is known; never lowered by what is not heard

	firsts, further slots
}

const (
	// part of the ratio and of the allowance that is used: windows slide, a machine may have been started again amid one, and calls
	// of repeated runs count as repeats at the service that they go to. 0.6 bears that up to two thirds of a service's requests are such
	// calls, one level deep, with both services at their bound; 0.7 bore less than half.
	part = 0.6
	n    = 16 // slots of a window
)

// slots are counts in the last window, by slices of it.
type slots struct {
	at    int64 // the slice of the last count
	count [n + 1]float64
}

func (s *slots) move(slice int64) {
	for ; s.at < slice; s.at++ {
		if slice-s.at > n+1 {
			*s = slots{at: slice}
			return
		}
		s.count[(s.at+1)%(n+1)] = 0
	}
}

func (s *slots) add(slice int64, x float64) {
	s.move(slice)
	s.count[s.at%(n+1)] += x
}

func (s *slots) sum(slice int64) (t float64) {
	s.move(slice)
	for _, c := range s.count {
		t += c
	}
	return t
}

func (r *Budget) slice(now time.Duration) int64 { return int64(now / (r.Window / n)) }

// AddRequest counts a request.
func (r *Budget) AddRequest(now time.Duration) { r.firsts.add(r.slice(now), 1) }

// TryRetry asks for one arrival beyond the first, and takes it if it may be.
func (r *Budget) TryRetry(now time.Duration) bool {
	if r.Remaining(now) < 1 {
		return false
	}
	r.further.add(r.slice(now), 1)
	return true
}

// Remaining is how many more there may be now.
func (r *Budget) Remaining(now time.Duration) float64 {
	slice := r.slice(now)
	return part*(r.Ratio*r.firsts.sum(slice)+r.Allowance/float64(max(1, r.Machines))) - r.further.sum(slice)
}
