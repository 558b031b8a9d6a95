package scenario

import (
	"math/big"
	"math/bits"
	"math/rand/v2"
)

// All draws are made in whole numbers: a plan must be the same bytes on every machine, and floating point is
// not (the compiler may fuse a product and a sum on some processors, and math has assembly on some).
// A q is a fixed-point number with 32 bits behind the point.
type q int64

const one q = 1 << 32

// milli returns n thousandths.
func milli(n int64) q { return q(n << 32 / 1000) }

// mul is a*b for numbers whose product stays under 2^31; anything larger is held there.
func (a q) mul(b q) q {
	neg := (a < 0) != (b < 0)
	hi, lo := bits.Mul64(uint64(max(a, -a)), uint64(max(b, -b)))
	r := q(1)<<62 - 1
	if hi < 1<<30 {
		r = q(hi<<32 | lo>>32)
	}
	if neg {
		return -r
	}
	return r
}

// times scales a whole number, rounding down.
func (a q) times(n int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(n))
	return int64(hi<<32 | lo>>32)
}

// log2 is the binary logarithm of x > 0, exact to 2^-31.
func log2(x q) q {
	n := bits.Len64(uint64(x)) - 1
	r := q(n-32) << 32
	m := uint64(x) << (63 - n) // in [1, 2) with 63 bits behind the point
	for bit := one / 2; bit > 0; bit /= 2 {
		hi, lo := bits.Mul64(m, m)
		if hi >= 1<<63 { // the square is 2 or more
			r += bit
			m = hi
		} else {
			m = hi<<1 | lo>>63
		}
	}
	return r
}

// ln2 is the natural logarithm of 2.
const ln2 q = 2977044472

// roots[i] is 2^(2^-(i+1)) with 62 bits behind the point.
var roots = func() (r [32]uint64) {
	v := new(big.Int).Lsh(big.NewInt(2), 62)
	for i := range r {
		v.Sqrt(v.Lsh(v, 62))
		r[i] = v.Uint64()
	}
	return r
}()

// exp2 is 2^x, for x from -32 to 30; what is outside is held there.
func exp2(x q) q {
	x = min(max(x, -32*one), 30*one)
	whole := int(x >> 32)
	frac := uint64(x) & (1<<32 - 1)
	v := uint64(1) << 62
	for i, root := range roots {
		if frac&(1<<(31-i)) != 0 {
			hi, lo := bits.Mul64(v, root)
			v = hi<<2 | lo>>62
		}
	}
	if shift := 30 - whole; shift >= 0 {
		return q(v >> shift)
	}
	return q(1)<<62 - 1
}

// ln is the natural logarithm.
func ln(x q) q { return log2(x).mul(ln2) }

// sqrt is the square root of x >= 0.
func sqrt(x q) q {
	v := new(big.Int).Lsh(big.NewInt(int64(x)), 32)
	return q(v.Sqrt(v).Int64())
}

// dice are the draws of one plan.
type dice struct{ *rand.Rand }

// newDice returns the stream of draws numbered stream of a seed: each concern has its own, so that more of
// one (arrivals, say) leaves the others as they were.
func newDice(seed, stream uint64) dice {
	return dice{rand.New(rand.NewPCG(seed, stream*0x9e3779b97f4a7c15+1))}
}

// between is uniform in [lo, hi].
func (d dice) between(lo, hi int64) int64 {
	if hi <= lo {
		return lo
	}
	return lo + d.Int64N(hi-lo+1)
}

// chance is true n times in a thousand.
func (d dice) chance(n int64) bool { return d.Int64N(1000) < n }

// unit is uniform in (0, 1].
func (d dice) unit() q { return q(d.Int64N(int64(one))) + 1 }

// exp is exponential with mean 1.
func (d dice) exp() q { return -ln(d.unit()) }

// normal is close to the standard normal: twelve uniform numbers, less their mean.
func (d dice) normal() q {
	sum := -6 * one
	for range 12 {
		sum += d.unit()
	}
	return sum
}

// gap is a gap between arrivals with mean 1 and coefficient of variation 1.97: bursts with pauses between them,
// as the site's streams have (1.6 to 2.0).
func (d dice) gap() q {
	if d.chance(800) {
		return d.exp().mul(milli(400))
	}
	return d.exp().mul(milli(3400))
}

// work is a factor with mean 1 and the given coefficient of variation, lognormal or Pareto. The heaviest are
// held to 40 times the mean.
func (d dice) work(cv q, pareto bool) q {
	var w q
	if pareto {
		// With shape a the variation squared is 1/(a(a-2)), so a = 1 + sqrt(1 + 1/cv^2); the scale is (a-1)/a.
		inv := q(new(big.Int).Div(new(big.Int).Lsh(big.NewInt(int64(one)), 32), big.NewInt(int64(cv.mul(cv)))).Int64())
		a := one + sqrt(one+inv)
		w = exp2(div(-log2(d.unit()), a)).mul(div(a-one, a))
	} else {
		s2 := ln(one + cv.mul(cv))
		w = exp2(div(sqrt(s2).mul(d.normal())-s2/2, ln2))
	}
	return min(w, 40*one)
}

// div is a/b for b > 0.
func div(a, b q) q {
	v := new(big.Int).Lsh(big.NewInt(int64(a)), 32)
	return q(v.Quo(v, big.NewInt(int64(b))).Int64())
}
