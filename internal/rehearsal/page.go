package rehearsal

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"

	"saltmast/internal/chart"
	"saltmast/internal/grade"
	"saltmast/internal/scenario"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"pct":   func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
	"secs":  func(d time.Duration) string { return fmt.Sprintf("%.3f s", d.Seconds()) },
	"short": short, "describe": describe,
	"head": func(p []grade.Event) []grade.Event { return p[:min(len(p), 30)] },
}).Parse(pageText))

// The chart's geometry, in user units of the SVG.
const (
	chartLeft, chartWidth = 150.0, 900.0
	laneHeight            = 20.0
	loadTop, loadHeight   = 14.0, 190.0
	shareHeight           = 120.0
)

type band struct {
	Lane
	X, W, Y float64
	Class   string
}

// Inside reports whether the band is wide enough to hold its text; Before, whether that goes ahead of it.
func (b band) Inside() bool     { return b.W > 7*float64(len(b.Whom))+12 }
func (b band) Before() bool     { return b.X+b.W+7*float64(len(b.Whom)) > chartLeft+chartWidth }
func (b band) TextX() float64   { return b.X + 6 }
func (b band) TextY() float64   { return b.Y + 12 }
func (b band) AfterX() float64  { return b.X + b.W + 6 }
func (b band) BeforeX() float64 { return b.X - 6 }

type bar struct {
	X, W                     float64
	Parts                    []part
	Title                    string
	ShareX, ShareY, ShareVal float64
}

type part struct {
	Y, H  float64
	Class string
}

type mark struct {
	X     float64
	Rule  string
	Title string
}

type tick struct {
	At    float64
	Label string
}

type pageData struct {
	*Result
	Line                 string
	Bands                []band
	Bars                 []bar
	Marks                []mark
	XTicks, Load, Shares []tick
	ShareLine            string
	Height, LanesH       float64
	LoadTop, LoadH       float64
	ShareTop, ShareH     float64
	ChartX, ChartEnd     float64
	Listed               []grade.Breach
	More                 int
}

// LabelX is where the labels on the left end, ShareBottom where those of the time stand.
func (d pageData) LabelX() float64      { return chartLeft - 8 }
func (d pageData) ShareBottom() float64 { return d.ShareTop + d.ShareH + 20 }

// Again is the command that plays the same once more.
func (r *Result) Again() string {
	s := &r.Scenario
	if r.Load != "" {
		return fmt.Sprintf("latchkit rehearse --seed %d --servers %d --agents %d --for %g --speedup %g --load %s, with the same --rate, --map and --accept",
			s.Seed, s.Servers, s.Agents, s.ForS, s.Speedup, r.Load)
	}
	size := scenario.Size{Servers: s.Servers, Agents: s.Agents, Rate: s.Rate, ForS: s.ForS, Speedup: s.Speedup}
	again := scenario.Draw(s.Seed, size)
	again.Protocol, again.List.Pushed = s.Protocol, s.List.Pushed
	drawn, err := again.File()
	if mine, err2 := s.File(); err != nil || err2 != nil || !bytes.Equal(drawn, mine) {
		return "latchkit rehearse --scenario FILE, with the file that was played"
	}
	protocol := ""
	if s.Protocol != "" {
		protocol = " --protocol " + s.Protocol
	}
	if s.List.Pushed {
		protocol += " --pushed"
	}
	def := scenario.Draw(s.Seed, scenario.Size{})
	def.Protocol, def.List.Pushed = s.Protocol, s.List.Pushed
	if text, err := def.File(); err == nil && bytes.Equal(drawn, text) {
		return fmt.Sprintf("latchkit rehearse --seed %d%s", s.Seed, protocol)
	}
	return fmt.Sprintf("latchkit rehearse --seed %d --servers %d --agents %d --rate %g --for %g --speedup %g%s",
		s.Seed, s.Servers, s.Agents, s.Rate, s.ForS, s.Speedup, protocol)
}

// mostMarks bounds the breaches that are drawn and listed on a page.
const mostMarks = 200

// Page writes a result as one self-contained HTML page.
func (r *Result) Page(w io.Writer) error {
	d := pageData{Result: r, Line: r.Line(), ChartX: chartLeft, ChartEnd: chartLeft + chartWidth}
	length := max(r.Scenario.ForS, 0.001)
	x := func(at float64) float64 { return chartLeft + chartWidth*min(max(at, 0), length)/length }
	for i, l := range Lanes(&r.Scenario) {
		class := "f-server"
		switch {
		case l.Whom == "clients":
			class = "f-surge"
		case l.Whom == "the list":
			class = "f-list"
		case strings.HasPrefix(l.Whom, "agent"):
			class = "f-agent"
		}
		d.Bands = append(d.Bands, band{l, x(l.From), max(3, x(l.To)-x(l.From)), float64(i) * laneHeight, class})
	}
	d.LanesH = float64(len(d.Bands))*laneHeight + 8
	d.LoadTop, d.LoadH = d.LanesH+loadTop, loadHeight
	d.ShareTop, d.ShareH = d.LoadTop+d.LoadH+34, shareHeight
	d.Height = d.ShareTop + d.ShareH + 30
	top := 1
	for _, s := range r.Seconds {
		top = max(top, s.Requests)
	}
	step := chart.NiceStep(float64(top) / 4)
	most := step * math.Ceil(float64(top)/step)
	for v := 0.0; v <= most; v += step {
		d.Load = append(d.Load, tick{d.LoadTop + d.LoadH*(1-v/most), fmt.Sprintf("%.0f", v)})
	}
	for _, v := range []float64{0, 0.5, 1} {
		d.Shares = append(d.Shares, tick{d.ShareTop + d.ShareH*(1-v), fmt.Sprintf("%.0f%%", 100*v)})
	}
	every := chart.NiceStep(length / 10)
	for v := 0.0; v <= length+1e-9; v += every {
		d.XTicks = append(d.XTicks, tick{x(v), fmt.Sprintf("%.4g s", v)})
	}
	var line strings.Builder
	for i, s := range r.Seconds {
		from := float64(i)
		if from >= length {
			break
		}
		to := min(from+1, length)
		b := bar{X: x(from) + 0.5, W: max(1, x(to)-x(from)-1), ShareVal: s.Share}
		inTime := s.Served - s.Late
		y := d.LoadTop + d.LoadH
		for _, p := range []struct {
			n     int
			class string
		}{{inTime, "p-time"}, {s.Late, "p-late"}, {s.Refused, "p-refused"}, {s.Failed + s.Unsent, "p-failed"}, {s.Left + s.Open, "p-left"}} {
			h := d.LoadH * float64(p.n) / most
			y -= h
			if p.n > 0 {
				b.Parts = append(b.Parts, part{y, h, p.class})
			}
		}
		b.Title = fmt.Sprintf("%.0f to %.3g s: %d asked, %d in time, %d late, %d refused, %d failed, %d unsent; %.1f%% of the worth in time",
			from, to, s.Requests, inTime, s.Late, s.Refused, s.Failed, s.Unsent, 100*s.Share)
		b.ShareX, b.ShareY = x((from+to)/2), d.ShareTop+d.ShareH*(1-s.Share)
		if s.Requests > 0 {
			verb := " L"
			if line.Len() == 0 {
				verb = "M"
			}
			fmt.Fprintf(&line, "%s%.1f %.1f", verb, b.ShareX, b.ShareY)
		}
		d.Bars = append(d.Bars, b)
	}
	d.ShareLine = line.String()
	d.Listed = r.Breaches[:min(len(r.Breaches), mostMarks)]
	d.More = len(r.Breaches) - len(d.Listed)
	for _, b := range d.Listed {
		d.Marks = append(d.Marks, mark{x(b.At.Seconds()), b.Rule, fmt.Sprintf("%s at %.3f s: %s", b.Rule, b.At.Seconds(), b.What)})
	}
	return page.Execute(w, d)
}
