// Package chart has what the kit's pictures share. It draws nothing by itself.
package chart

import "math"

// NiceStep is the 1, 2 or 5 times a power of ten that is v or the next above it; 1 for what is not above 0.
func NiceStep(v float64) float64 {
	if !(v > 0) {
		return 1
	}
	p := math.Pow(10, math.Floor(math.Log10(v)))
	for _, m := range []float64{1, 2, 5} {
		if v <= m*p*(1+1e-9) {
			return m * p
		}
	}
	return 10 * p
}
