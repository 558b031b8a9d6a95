// Package retry holds what programs share that send attempts to backends: a bucket that pays for retries, the
// wait before one, and the choice of a backend. It performs no I/O; time and chance are passed in.
package retry

import (
	"math"
	"time"
)

// Bucket holds the tokens that retries cost; first attempts go out regardless of it. Not for several
// goroutines.
type Bucket struct{ tokens, capacity float64 }

// NewBucket returns a bucket that is full.
func NewBucket(capacity float64) Bucket { return Bucket{tokens: capacity, capacity: capacity} }

// Spend takes the cost if there is enough; else it takes nothing and reports false.
func (b *Bucket) Spend(cost float64) bool {
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// Refill brings n tokens back, up to the capacity.
func (b *Bucket) Refill(n float64) { b.tokens = min(b.capacity, b.tokens+n) }

// Tokens is what is left.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Wait is the wait before a retry, fully jittered: the draw, in [0, 1), times a span that begins at the unit,
// doubles with each retry already made and ends at the ceiling.
func Wait(draw float64, retries int, unit, ceiling time.Duration) time.Duration {
	return time.Duration(draw * min(math.Ldexp(float64(unit), min(retries, 63)), float64(ceiling)))
}
