package retry

import (
	"cmp"
	"math"
)

// Candidate is a backend that Pick may choose.
type Candidate struct {
	InFlight float64 // attempts of this agent that are out there
	Used     bool    // this agent has sent to it; else it counts at the mean of those used, against a rush
	Skip     bool    // it has just failed the request
	Bias     float64 // among equals the lower one is chosen; 0: none
}

// Pick returns the number of one candidate: one that counts less than one attempt in flight, at random; else
// one with the fewest, ties at random; one to skip only where there is no other. draw gives numbers in [0,
// 1); it is called for each candidate that is as good as the best before it. -1: there are no candidates.
func Pick(c []Candidate, draw func() float64) int {
	sum, used, others := 0.0, 0.0, false
	for _, x := range c {
		if x.Used {
			sum, used = sum+x.InFlight, used+1
		}
		others = others || !x.Skip
	}
	best, fewest, bias := Least[int]{It: -1}, math.Inf(1), math.Inf(1)
	for i, x := range c {
		if x.Skip && others {
			continue
		}
		n := x.InFlight
		if !x.Used {
			n = max(n, sum/max(used, 1))
		}
		if n < 1 {
			n = 0
		}
		order := cmp.Or(cmp.Compare(n, fewest), cmp.Compare(x.Bias, bias))
		if order < 0 {
			best, fewest, bias = Least[int]{}, n, x.Bias
		}
		if order <= 0 {
			best.Offer(i, draw())
		}
	}
	return best.It
}

// Least keeps the one of the least score among those offered, the first of equals. Its zero value has none.
type Least[T any] struct {
	It    T
	Score float64
	Found bool
}

// Offer takes one more into account.
func (l *Least[T]) Offer(it T, score float64) {
	if score < l.Score || !l.Found && score < math.Inf(1) {
		l.It, l.Score, l.Found = it, score, true
	}
}

// Race is a score by which the least of several is a random choice by weight.
func Race(draw, weight float64) float64 { return -math.Log(max(draw, 1e-12)) / weight }
