package retry

import (
	"cmp"
	"math"
)

// Candidate describes a backend that Pick may choose.
type Candidate struct {
	InFlight float64 // attempts of this agent in flight to it
	Used     bool    // this agent has used it; unused ones count at the mean of the used, to avoid a rush
	Skip     bool    // it just failed the request
	Bias     float64 // breaks ties: the lowest is chosen
}

// Pick returns the index of a candidate: a random one with less than one attempt in flight, or else one with
// the fewest, ties broken by Bias and then at random; a skipped one only if there is no other, -1 if there is
// none. draw returns numbers in [0, 1); it is called for each candidate that ties or beats the best.
func Pick(c []Candidate, draw func() float64) int {
	sum, used, others := 0.0, 0.0, false
	for _, x := range c {
		if x.Used {
			sum, used = sum+x.InFlight, used+1
		}
		others = others || !x.Skip
	}
	best, fewest, bias := Least[int]{Item: -1}, math.Inf(1), math.Inf(1)
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
	return best.Item
}

// Least keeps the offered item with the lowest score, the first of equals. The zero value is empty.
type Least[T any] struct {
	Item  T
	Score float64
	Found bool
}

// Offer keeps the item if its score is lower than that of the current one.
func (l *Least[T]) Offer(it T, score float64) {
	if score < l.Score || !l.Found && score < math.Inf(1) {
		l.Item, l.Score, l.Found = it, score, true
	}
}

// WeightedScore returns a score for weighted random selection: the lowest score of several items, with
// independent draws in [0, 1), selects each with a probability proportional to its weight.
func WeightedScore(draw, weight float64) float64 { return -math.Log(max(draw, 1e-12)) / weight }
