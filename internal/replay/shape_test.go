package replay

import (
	"testing"
	"time"

	"saltmast/internal/recording"
	"saltmast/internal/recording/mapping"
)

// shapeOf is the shape of a plan, as it would be measured.
func shapeOf(all []Planned, width time.Duration, factor float64) *Shape {
	s := NewShape(width, factor)
	for _, p := range all {
		s.Add(p.At, p.Class)
	}
	return s
}

func TestComparePlans(t *testing.T) {
	starts := arrivals("step", 12_000)
	source := shapeOf(plan(t, Options{}, starts, sale), time.Second, 1)
	if f := Compare(source, source, 1); !f.Kept || f.Distance != 0 || f.Classes != 0 || f.Outside != 0 || f.Seconds == 0 {
		t.Errorf("a plan and itself: %+v", f)
	}
	for _, o := range []Options{{Speed: 2.5}, {Scale: 5}, {Scale: 3, Speed: 2}} {
		speed, scale := max(o.Speed, 1), max(o.Scale, 1)
		s := shapeOf(plan(t, o, starts, sale), time.Duration(float64(time.Second)/speed), speed*scale)
		if f := Compare(source, s, scale); !f.Kept {
			t.Errorf("%+v: %+v", o, f)
		}
	}
}

// Each figure tells of what it is for: another mix, a second that lacks some, times between arrivals that are evened out.
func TestCompareTells(t *testing.T) {
	starts := arrivals("bursty", 12_000)
	all := plan(t, Options{}, starts, sale)
	source := shapeOf(all, time.Second, 1)
	mixed := append([]Planned(nil), all...)
	for i := range mixed {
		if i%50 == 0 {
			mixed[i].Class = "look"
		}
	}
	if f := Compare(source, shapeOf(mixed, time.Second, 1), 1); f.Kept || f.Classes < 1 || f.Distance > 0 || f.Outside > 0 {
		t.Errorf("another mix: %+v", f)
	}
	var lacking []Planned
	for i, p := range all {
		if p.At < 3*time.Second || p.At > 4*time.Second || i%5 > 0 {
			lacking = append(lacking, p)
		}
	}
	if f := Compare(source, shapeOf(lacking, time.Second, 1), 1); f.Kept || f.Outside != 1 {
		t.Errorf("a second without a fifth of its requests: %+v", f)
	}
	even := append([]Planned(nil), all...)
	for i := range even {
		even[i].At = all[len(all)-1].At * time.Duration(i) / time.Duration(len(all))
	}
	if f := Compare(source, shapeOf(even, time.Second, 1), 1); f.Kept || f.Distance < 0.3 {
		t.Errorf("evened out: %+v", f)
	}
	if f := Compare(source, NewShape(time.Second, 1), 1); f.Kept {
		t.Errorf("nothing at all: %+v", f)
	}
}

// A shape takes the same memory for a day as for a minute: its bins grow.
func TestShapeIsBounded(t *testing.T) {
	s := NewShape(time.Second, 1)
	for i := range 200_000 {
		s.Add(time.Duration(i)*500*time.Millisecond, "look")
	}
	sum := 0
	for _, n := range s.Bins {
		sum += n
	}
	if len(s.Bins) > maxBins || s.Width < 2*time.Second || sum != s.N || s.N != 200_000 {
		t.Errorf("%d bins of %v, %d of %d in them", len(s.Bins), s.Width, sum, s.N)
	}
	if r := s.Rate(); r < 1.99 || r > 2.01 {
		t.Errorf("%.3f a second, want 2", r)
	}
}

// A rule can make a class stricter than its requests show, and never milder.
func TestEffects(t *testing.T) {
	e := Effects{}
	get, post := &recording.Entry{Method: "GET"}, &recording.Entry{Method: "POST"}
	e.Add("look", get, false, "")
	e.Add("hold", post, true, "")
	e.Add("settle", post, false, Safe)
	e.Add("mixed", post, true, "")
	e.Add("mixed", post, false, "")
	e.Add("stated", get, false, Unsafe)
	for class, want := range map[string]Effect{"look": Safe, "hold": Keyed, "settle": Unsafe, "mixed": Unsafe, "stated": Unsafe} {
		if e[class] != want {
			t.Errorf("%s is %s, want %s", class, e[class], want)
		}
	}
	if class, ok := e.Unsafe(); !ok || class != "mixed" {
		t.Errorf("%s, %v", class, ok)
	}
}

// Played again, a recording is other operations, at later moments.
func TestAgain(t *testing.T) {
	p, err := New(Options{Run: 1, Speed: 2})
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	last := time.Duration(-1)
	for loop := range 3 {
		for i := range 10 {
			due, err := p.Add(&recording.Entry{}, noon.Add(time.Duration(i)*time.Second), sale(i))
			if err != nil {
				t.Fatal(err)
			}
			q := due[0]
			if want := time.Duration(loop*10+i) * time.Second / 2; q.At != want || q.At <= last || q.Try != 0 {
				t.Errorf("loop %d, %d: at %v, want %v; try %d", loop, i, q.At, want, q.Try)
			}
			if seen[q.ID] || seen[q.Key] {
				t.Errorf("loop %d: %s or %s was there before", loop, q.ID, q.Key)
			}
			seen[q.ID], seen[q.Key], last = true, true, q.At
		}
		p.Again(time.Second)
	}
}

// Of a browser's page, what began after something had ended waits for that; what ran beside it does not, nor other pages.
func TestWaterfall(t *testing.T) {
	entry := func(page string, from, to time.Duration) (*recording.Entry, time.Time) {
		return &recording.Entry{Source: "x.har", Duration: to - from, Field: map[string]string{"har-page": page}}, noon.Add(from)
	}
	for _, on := range []bool{false, true} {
		p, err := New(Options{Waterfall: on, Speed: 2})
		if err != nil {
			t.Fatal(err)
		}
		var got []Planned
		for _, x := range []struct {
			page     string
			from, to time.Duration
		}{{"1", 0, 100}, {"1", 50, 300}, {"1", 120, 200}, {"2", 130, 140}, {"1", 400, 410}} {
			e, start := entry(x.page, x.from*time.Millisecond, x.to*time.Millisecond)
			due, err := p.Add(e, start, mapping.Mapped{Class: "look"})
			if err != nil {
				t.Fatal(err)
			}
			got = append(got, due...)
		}
		want := []Planned{{}, {}, {After: Operation{1, 0}, Gap: 10 * time.Millisecond}, {}, {After: Operation{2, 0}, Gap: 50 * time.Millisecond}}
		for i, w := range want {
			if !on {
				w = Planned{}
			}
			if got[i].After != w.After || got[i].Gap != w.Gap {
				t.Errorf("waterfall %v, request %d: after %v and %v, want %v and %v", on, i+1, got[i].After, got[i].Gap, w.After, w.Gap)
			}
		}
	}
}
