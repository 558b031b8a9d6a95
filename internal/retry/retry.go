// Package retry implements the retry token bucket, the backoff and the selection of a backend that are shared
// by programs that send requests to backends. It performs no I/O; time and random numbers are passed in.
package retry

import (
	"math"
	"time"
)

// Bucket is a token bucket that limits retries but not first attempts. It is not safe for concurrent use.
type Bucket struct{ tokens, capacity float64 }

// NewBucket returns a full bucket.
func NewBucket(capacity float64) Bucket { return Bucket{tokens: capacity, capacity: capacity} }

// Spend takes cost tokens and reports true, or takes none and reports false if there are too few.
func (b *Bucket) Spend(cost float64) bool {
	if b.tokens < cost {
		return false
	}
	b.tokens -= cost
	return true
}

// Refill adds n tokens, up to the capacity.
func (b *Bucket) Refill(n float64) { b.tokens = min(b.capacity, b.tokens+n) }

// Tokens returns the number of tokens left.
func (b *Bucket) Tokens() float64 { return b.tokens }

// Backoff returns the wait before a retry, exponential with full jitter: draw, in [0, 1), times a bound that
// starts at unit, doubles with each earlier retry and ends at ceiling.
func Backoff(draw float64, retries int, unit, ceiling time.Duration) time.Duration {
	return time.Duration(draw * min(math.Ldexp(float64(unit), min(retries, 63)), float64(ceiling)))
}
