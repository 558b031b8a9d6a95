package retry

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// With a bucket of 500, a retry costs 5, one after a timeout 10, and a success returns 1.
func TestBucket(t *testing.T) {
	b := NewBucket(500)
	for i, step := range []struct {
		spend, refill float64
		paid          bool
		left          float64
	}{
		{5, 0, true, 495}, {10, 0, true, 485}, {481, 0, true, 4}, {5, 0, false, 4}, {10, 1, false, 5},
		{5, 0, true, 0}, {0, 0, true, 0}, {1, 600, false, 500},
	} {
		paid := b.Spend(step.spend)
		if b.Refill(step.refill); paid != step.paid || b.Tokens() != step.left {
			t.Errorf("step %d: paid %v, %v left, want %v and %v", i, paid, b.Tokens(), step.paid, step.left)
		}
	}
}

// For any sequence, the tokens spent never exceed the initial and refilled ones, and the level stays within its bounds.
func TestBucketNeverOverspends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.IntRange(0, 1000)
		capacity := float64(whole.Draw(t, "capacity"))
		b, spent, refilled := NewBucket(capacity), 0.0, 0.0
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			n, before := float64(whole.Draw(t, "n")), b.Tokens()
			if rapid.Bool().Draw(t, "spend") {
				if ok := b.Spend(n); ok != (before >= n) || !ok && b.Tokens() != before {
					t.Fatalf("spend %v of %v: %v, %v left", n, before, ok, b.Tokens())
				} else if ok {
					spent += n
				}
			} else {
				b.Refill(n)
				refilled += n
			}
			if b.Tokens() < 0 || b.Tokens() > capacity || spent+b.Tokens() > capacity+refilled {
				t.Fatalf("spent %v, %v left, of %v at the start and %v refilled", spent, b.Tokens(), capacity, refilled)
			}
		}
	})
}

func TestBackoff(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		draw          float64
		retries       int
		unit, ceiling time.Duration
		want          time.Duration
	}{
		{0, 3, s, 20 * s, 0},
		{0.5, 0, s, 20 * s, s / 2},
		{0.5, 1, s, 20 * s, s},
		{0.5, 4, s, 20 * s, 8 * s},
		{0.5, 5, s, 20 * s, 10 * s}, // 32 s exceeds the ceiling
		{0.5, 0, s, s / 2, s / 4},
		{0.5, 64, s, 20 * s, 10 * s}, // no overflow
		{0.5, math.MaxInt, s, 20 * s, 10 * s},
		{0.5, math.MaxInt, 0, 20 * s, 0},
		{0.5, math.MaxInt, math.MaxInt64, math.MaxInt64, 1 << 62}, // no overflow
	} {
		if got := Backoff(c.draw, c.retries, c.unit, c.ceiling); got != c.want {
			t.Errorf("Backoff(%v, %d, %v, %v) = %v, want %v", c.draw, c.retries, c.unit, c.ceiling, got, c.want)
		}
	}
}

// A wait lies between 0 and the ceiling, and one more retry never shortens it.
func TestBackoffIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := rapid.Int64Range(0, math.MaxInt64)
		unit, ceiling := time.Duration(span.Draw(t, "unit")), time.Duration(span.Draw(t, "ceiling"))
		draw, n := rapid.Float64Range(0, 1-1e-15).Draw(t, "draw"), rapid.IntRange(0, 2000).Draw(t, "retries")
		got, next := Backoff(draw, n, unit, ceiling), Backoff(draw, n+1, unit, ceiling)
		if got < 0 || got > ceiling || next < got {
			t.Fatalf("backoff of %v, then %v", got, next)
		}
	})
}
