package loganalysis

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strconv"
	"time"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("day").Funcs(template.FuncMap{
	"pct":  func(v float64) string { return fmt.Sprintf("%.2f%%", 100*v) },
	"n":    func(v float64) string { return strconv.FormatFloat(v, 'f', 1, 64) },
	"box":  func(v float64) string { return strconv.FormatFloat(v+axisHigh, 'f', 0, 64) },
	"when": func(t time.Time) string { return t.Format("15:04:05.000") },
}).Parse(pageText))

// The pictures' geometry, in units of their SVG.
const (
	left, wide    = 130.0, 840.0
	shareHigh     = 150.0
	lostHigh      = 170.0
	laneHigh      = 20.0
	axisHigh      = 30.0
	mostDrawn     = 9 // causes with a colour of their own
	mostListed    = 400
	leastDayShown = time.Second
)

type mark struct {
	X, Y, W, H float64
	Class      int
	Text       string
}

type label struct {
	At   float64
	Text string
}

type lane struct {
	Y     float64
	Name  string
	Marks []mark
}

type legend struct {
	X, Y  float64
	Class int
	Text  string
}

type picture struct {
	*Day
	W                     float64 // of the whole
	Left, Right           float64
	ShareH, LostH, LanesH float64
	Shares, Bars          []mark
	ShareY, LostY, X      []label
	Lanes                 []lane
	Legend                []legend
	LegendH               float64
	Listed                []Change
	Length                time.Duration
}

// Page writes a day as one HTML page that needs nothing else.
func Page(w io.Writer, d *Day) error {
	p := &picture{Day: d, W: left + wide + 20, Left: left, Right: left + wide, ShareH: shareHigh, LostH: lostHigh, Length: d.To.Sub(d.From),
		Listed: d.Changes[:min(len(d.Changes), mostListed)]}
	every := time.Duration(d.Every * float64(time.Second))
	from, to := d.From, d.To
	for _, s := range d.Spans { // the first that tells of requests may begin before it, and the last end behind
		if e := s.From.Add(every); s.InTarget+s.Lost > 0 {
			if s.From.Before(from) {
				from = s.From
			}
			if e.After(to) {
				to = e
			}
		}
	}
	long := max(to.Sub(from), leastDayShown)
	x := func(t time.Time) float64 { return left + wide*float64(t.Sub(from))/float64(long) }
	p.X = times(from, long, x)
	p.shares(x, every)
	p.lost(x, every)
	for _, e := range Lanes {
		if d.Events[e] == 0 {
			continue
		}
		l := lane{Y: float64(len(p.Lanes)) * laneHigh, Name: fmt.Sprintf("%s %d", e, d.Events[e])}
		whole := true
		for _, c := range d.Changes {
			if c.Event == e {
				l.Marks = append(l.Marks, mark{X: x(c.At), Y: l.Y + 3, W: 2, H: laneHigh - 6, Text: c.At.Format("15:04:05.000 ") + c.Name + ": " + c.Text})
			}
		}
		if len(l.Marks) < d.Events[e] { // not all were kept: how many there were, by span
			whole, l.Marks = false, nil
		}
		for _, s := range d.Spans {
			if n := s.Events[e]; n > 0 && !whole {
				a := x(s.From)
				l.Marks = append(l.Marks, mark{X: a, Y: l.Y + 3, W: max(1, x(s.From.Add(every))-a), H: laneHigh - 6,
					Text: fmt.Sprintf("%s: %d", s.From.Format(time.TimeOnly), n)})
			}
		}
		p.Lanes = append(p.Lanes, l)
	}
	p.LanesH = float64(len(p.Lanes)) * laneHigh
	return page.Execute(w, p)
}

// shares draws the share in target by span, over a floor that shows most of what there is to see.
func (p *picture) shares(x func(time.Time) float64, every time.Duration) {
	low := 1.0
	for _, s := range p.Spans {
		low = min(low, s.Share())
	}
	floor := 0.0
	for _, f := range []float64{0.5, 0.9, 0.99} {
		if low >= f {
			floor = f
		}
	}
	y := func(v float64) float64 { return shareHigh * (1 - (v-floor)/(1-floor)) }
	for i := range 5 {
		v := floor + (1-floor)*float64(i)/4
		p.ShareY = append(p.ShareY, label{y(v), fmt.Sprintf("%.4g%%", 100*v)})
	}
	for _, s := range p.Spans {
		if s.InTarget+s.Lost <= 0 {
			continue
		}
		a := x(s.From)
		p.Shares = append(p.Shares, mark{X: a, Y: y(s.Share()), W: x(s.From.Add(every)) - a, H: shareHigh - y(s.Share()),
			Text: fmt.Sprintf("%s: %.2f%% of %d", s.From.Format(time.TimeOnly), 100*s.Share(), s.InTarget+s.Lost)})
	}
}

// lost draws what was lost by span, by cause: the heaviest of the day lowest and by colour, the rest in one.
func (p *picture) lost(x func(time.Time) float64, every time.Duration) {
	class := map[string]int{}
	for i, r := range p.Rows {
		class[r.Cause] = min(i, mostDrawn)
		if i <= mostDrawn {
			text := r.Cause
			if i == mostDrawn && len(p.Rows) > mostDrawn+1 {
				text = fmt.Sprintf("%d more", len(p.Rows)-mostDrawn)
			}
			p.Legend = append(p.Legend, legend{X: left + float64(i%5)*wide/5, Y: float64(i/5) * 18, Class: i, Text: text})
		}
	}
	p.LegendH = 18 * math.Ceil(float64(len(p.Legend))/5)
	most := int64(1)
	for _, s := range p.Spans {
		most = max(most, s.Lost)
	}
	step := max(1, nice(float64(most)/4))
	top := step * math.Ceil(float64(most)/step)
	for v := 0.0; v <= top; v += step {
		p.LostY = append(p.LostY, label{lostHigh * (1 - v/top), fmt.Sprintf("%.0f", v)})
	}
	for _, s := range p.Spans {
		by := [mostDrawn + 1]int64{}
		for _, r := range s.Rows {
			by[class[r.Cause]] += r.All()
		}
		a := x(s.From)
		w := x(s.From.Add(every)) - a
		y, gap := lostHigh, 0.0
		if w > 5 {
			gap = 1
		}
		for c, n := range by {
			if n <= 0 {
				continue
			}
			h := lostHigh * float64(n) / top
			y -= h
			name := fmt.Sprintf("%d more causes", len(p.Rows)-mostDrawn)
			if c < mostDrawn || len(p.Rows) == mostDrawn+1 {
				name = p.Rows[c].Cause
			}
			p.Bars = append(p.Bars, mark{X: a, Y: y, W: max(1, w-gap), H: h, Class: c, Text: fmt.Sprintf("%s: %d %s", s.From.Format(time.TimeOnly), n, name)})
		}
	}
}

// nice rounds up to 1, 2 or 5 with zeros.
func nice(v float64) float64 {
	unit := math.Pow(10, math.Floor(math.Log10(v)))
	for _, f := range []float64{1, 2, 5} {
		if f*unit >= v {
			return f * unit
		}
	}
	return 10 * unit
}

// times are up to ten round times of a stretch.
func times(from time.Time, long time.Duration, x func(time.Time) float64) (all []label) {
	steps := []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 20 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute,
		5 * time.Minute, 10 * time.Minute, 20 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour, 3 * time.Hour, 6 * time.Hour, 12 * time.Hour, 24 * time.Hour}
	step := steps[len(steps)-1]
	for _, s := range steps {
		if long/s <= 9 {
			step = s
			break
		}
	}
	for long/step > 9 {
		step *= 2
	}
	form := time.TimeOnly
	if long > 24*time.Hour {
		form = "01-02 15:04"
	}
	if step >= 24*time.Hour {
		form = time.DateOnly
	}
	for t := from.Truncate(step).Add(step); !t.After(from.Add(long)); t = t.Add(step) {
		all = append(all, label{x(t), t.Format(form)})
	}
	return all
}
