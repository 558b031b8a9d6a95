package recording

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mathext"
)

// Clock tells how fine the times of one source are, from those that it wrote. Many writers drop trailing zeros: one
// entry in a thousand of a clock of milliseconds then looks as if it were of whole seconds, and one in ten as if it
// were of hundredths. What chance explains so is of the finer clock. The zero value has seen nothing.
type Clock struct {
	by [decimals + 1]int // entries, by the decimals of a second that they were written with
}

const (
	decimals = 9
	// byDropping is the least chance at which what looks coarse is still put down to dropped zeros.
	byDropping = 1e-6
)

// Add takes the resolution that an entry was written with.
func (c *Clock) Add(written time.Duration) { c.by[places(written)]++ }

// Of is the resolution of an entry that was written with one: its own, or that of the finest clock which would write as
// many entries so, by dropping zeros, as there are.
func (c *Clock) Of(written time.Duration) time.Duration {
	l := places(written)
	coarse := sum(c.by[:l+1])
	for fine := decimals; fine > l; fine-- {
		if c.by[fine] == 0 {
			continue
		}
		// Of a clock with so many decimals each entry ends in zeros with the same chance, whatever the others do.
		n, p := sum(c.by[:fine+1]), math.Pow10(l-fine)
		if coarse == 0 || mathext.RegIncBeta(float64(coarse), float64(n-coarse+1), p) >= byDropping {
			return time.Second / time.Duration(math.Pow10(fine))
		}
	}
	return written
}

// Resolution is the source's as a whole: the coarsest that chance does not explain; 0: nothing was seen.
func (c *Clock) Resolution() time.Duration {
	for l, n := range c.by {
		if n > 0 {
			return c.Of(time.Second / time.Duration(math.Pow10(l)))
		}
	}
	return 0
}

// Whole is how many entries were written with whole seconds and are of a clock of whole seconds.
func (c *Clock) Whole() int {
	if c.Of(time.Second) < time.Second {
		return 0
	}
	return c.by[0]
}

// places are the decimals of a second that a resolution needs.
func places(r time.Duration) int {
	n := 0
	for unit := time.Second; n < decimals && r < unit; n++ {
		unit /= 10
	}
	return n
}

func sum(all []int) (n int) {
	for _, x := range all {
		n += x
	}
	return n
}
