package chart

import (
	"math"
	"testing"
)

func TestNiceStep(t *testing.T) {
	for v, want := range map[float64]float64{1: 1, 1.1: 2, 2: 2, 3: 5, 5: 5, 7: 10, 0.03: 0.05, 4000: 5000, 0: 1, -3: 1, math.NaN(): 1} {
		if got := NiceStep(v); math.Abs(got-want) > 1e-9*want {
			t.Errorf("%v: %v, want %v", v, got, want)
		}
	}
}
