package replay

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Shape sums up arrivals: how many of each class, how many in each second, and the times between one and the next. It takes
// the same memory however many there are.
type Shape struct {
	N       int
	Classes map[string]int
	Width   time.Duration // of a bin
	Bins    []int         // arrivals in each, from the first on

	first, last time.Duration
	gaps        *hdrhistogram.Histogram // ns
	factor      float64
}

const (
	maxBins = 1 << 14
	maxGap  = int64(time.Hour)
)

// NewShape returns a shape of nothing. Times between arrivals are multiplied by factor, so that a replay that runs faster or
// thicker can be held against its source: for that, factor is speed times scale.
func NewShape(width time.Duration, factor float64) *Shape {
	return &Shape{Classes: map[string]int{}, Width: width, gaps: hdrhistogram.New(1, maxGap, 3), factor: factor}
}

// Add takes an arrival. Arrivals come in the order of their moments; one that does not counts as at the moment of the last.
func (s *Shape) Add(at time.Duration, class string) {
	if s.N == 0 {
		s.first = at
	} else {
		at = max(at, s.last)
		s.gaps.RecordValue(min(max(int64(float64(at-s.last)*s.factor), 1), maxGap))
	}
	s.last = at
	s.N++
	s.Classes[class]++
	bin := int((at - s.first) / s.Width)
	for bin >= maxBins {
		s.widen()
		bin = int((at - s.first) / s.Width)
	}
	for len(s.Bins) <= bin {
		s.Bins = append(s.Bins, 0)
	}
	s.Bins[bin]++
}

// widen makes one bin of two.
func (s *Shape) widen() {
	s.Width *= 2
	n := (len(s.Bins) + 1) / 2
	for i := range n {
		sum := s.Bins[2*i]
		if 2*i+1 < len(s.Bins) {
			sum += s.Bins[2*i+1]
		}
		s.Bins[i] = sum
	}
	s.Bins = s.Bins[:n]
}

// Span is from the first arrival to the last.
func (s *Shape) Span() time.Duration { return s.last - s.first }

// Rate is that of arrivals, a second; 0 for fewer than two.
func (s *Shape) Rate() float64 {
	if s.N < 2 || s.Span() <= 0 {
		return 0
	}
	return float64(s.N-1) / s.Span().Seconds()
}

// Gap is a quantile of the times between arrivals, q from 0 to 1.
func (s *Shape) Gap(q float64) time.Duration {
	return time.Duration(s.gaps.ValueAtQuantile(100 * q))
}

// Bounds within which a replay has its source's shape.
const (
	ClassBound    = 0.5  // points of a hundred, of each class's share
	SecondBound   = 0.03 // of a second's count ...
	SecondLeast   = 2.0  // ... or so many standard requests: what lies on the edge of a second may fall to either side
	DistanceBound = 0.05 // of Kolmogorov and Smirnov, of the times between arrivals
)

// Fidelity is how far a replay is from its source.
type Fidelity struct {
	Classes  float64 `json:"class_points"`  // the largest difference of a class's share, in points of a hundred
	Second   float64 `json:"second_worst"`  // the largest difference of a second's count, as a share of it
	Seconds  int     `json:"seconds"`       // that were compared ...
	Outside  int     `json:"seconds_off"`   // ... and those of them that are off by more than the bound
	Distance float64 `json:"gaps_distance"` // of Kolmogorov and Smirnov
	Kept     bool    `json:"kept"`          // all within their bounds
}

// Compare holds a replay against its source. scale is how many times as many requests it has, speed how much faster it runs:
// the replay's bins are as many seconds wide as the source's, divided by speed.
func Compare(source, replay *Shape, scale float64) Fidelity {
	var f Fidelity
	share := func(s *Shape, class string) float64 { return 100 * float64(s.Classes[class]) / float64(max(s.N, 1)) }
	for _, s := range []*Shape{source, replay} {
		for class := range s.Classes {
			f.Classes = max(f.Classes, math.Abs(share(source, class)-share(replay, class)))
		}
	}
	for i := range max(len(source.Bins), len(replay.Bins)) {
		want, got := 0.0, 0.0
		if i < len(source.Bins) {
			want = float64(source.Bins[i])
		}
		if i < len(replay.Bins) {
			got = float64(replay.Bins[i]) / scale
		}
		f.Seconds++
		off := math.Abs(got - want)
		if off > max(SecondBound*want, SecondLeast/min(scale, 1)) {
			f.Outside++
		}
		if want >= 100 {
			f.Second = max(f.Second, off/want)
		}
	}
	f.Distance = distanceOf(source.gaps, replay.gaps)
	f.Kept = source.N > 0 && replay.N > 0 && f.Classes <= ClassBound && f.Outside == 0 && f.Distance <= DistanceBound
	return f
}

// distanceOf is the largest difference of two distributions, by the bars that both histograms have.
func distanceOf(a, b *hdrhistogram.Histogram) (d float64) {
	if a.TotalCount() == 0 || b.TotalCount() == 0 {
		if a.TotalCount() == b.TotalCount() {
			return 0
		}
		return 1
	}
	x, y := a.Distribution(), b.Distribution()
	sumX, sumY := int64(0), int64(0)
	for i := range max(len(x), len(y)) {
		if i < len(x) {
			sumX += x[i].Count
		}
		if i < len(y) {
			sumY += y[i].Count
		}
		d = max(d, math.Abs(float64(sumX)/float64(a.TotalCount())-float64(sumY)/float64(b.TotalCount())))
	}
	return d
}
