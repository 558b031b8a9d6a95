package drive

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"saltmast/internal/chart"
	"saltmast/internal/replay"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Funcs(template.FuncMap{"short": short}).Parse(pageText))

// short is a duration with three digits or so.
func short(d time.Duration) string {
	switch {
	case d >= 10*time.Second:
		return d.Round(100 * time.Millisecond).String()
	case d >= 10*time.Millisecond:
		return d.Round(100 * time.Microsecond).String()
	}
	return d.Round(time.Microsecond).String()
}

// Line is the result in one line.
func (r *Report) Line() string {
	x := r.Result
	line := fmt.Sprintf("%d requests at %.0f a second (%.0f planned), one in a hundred %s late; ", x.Sent, x.Rate, x.PlanRate, short(x.LateP99))
	switch {
	case x.Partial:
		return line + "stopped before its end"
	case r.Behind != "":
		return line + "the rate was not reached: " + r.Behind
	case !r.Fidelity.Kept:
		return line + "its shape is not the recording's: " + why(r.Fidelity)
	}
	return line + "the shape is the recording's"
}

func why(f replay.Fidelity) string {
	var parts []string
	if f.Classes > replay.ClassBound {
		parts = append(parts, fmt.Sprintf("a class is %.2f points off", f.Classes))
	}
	if f.Outside > 0 {
		parts = append(parts, fmt.Sprintf("%d of %d seconds are over %.0f%% off", f.Outside, f.Seconds, 100*replay.SecondBound))
	}
	if f.Distance > replay.DistanceBound {
		parts = append(parts, fmt.Sprintf("times between arrivals have a distance of %.3f", f.Distance))
	}
	return strings.Join(parts, ", ")
}

// Table writes a report as a person reads it.
func (r *Report) Table(w io.Writer) {
	x := r.Result
	fmt.Fprintf(w, "%d entries, %d taken (%d of them clients' retries), %d dropped by rule, %d left out\n", r.Audit.Entries, r.Taken, r.Retries, r.Dropped,
		r.Left.Unreadable+r.Left.NoStart+r.Left.Cached+r.Left.Outside)
	if len(r.Accepted) > 0 {
		fmt.Fprintf(w, "accepted, and not made better by it: %s\n", strings.Join(r.Accepted, ", "))
	}
	if r.Left.Spread > 0 {
		fmt.Fprintf(w, "%d moments were drawn within the unit of their clock, %d stood too late in their source\n", r.Left.Spread, r.Left.Reordered)
	}
	fmt.Fprintf(w, "speed %.4g, scale %.4g, %d times over; run %s, to %s\n\n", r.Speed, r.Scale, r.Loops, r.Run, strings.Join(r.Targets, ", "))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\trepeats\trecorded\treplayed")
	for _, class := range slices.Sorted(maps.Keys(r.Shares)) {
		fmt.Fprintf(t, "%s\t%s\t%.2f%%\t%.2f%%\n", class, r.Effects[class], r.Shares[class][0], r.Shares[class][1])
	}
	t.Flush()
	f := r.Fidelity
	fmt.Fprintf(w, "\nheld against the recording, %s: class mix off by %.2f points at the most (%.1f allowed), %d of %d seconds off by over %.0f%%,\ntimes between arrivals at a distance of %.3f (%.2f allowed)\n",
		r.Measured, f.Classes, replay.ClassBound, f.Outside, f.Seconds, 100*replay.SecondBound, f.Distance, replay.DistanceBound)
	fmt.Fprintf(w, "lateness: %s at the median, %s at the 99th percentile, %s at the most\n", short(x.LateP50), short(x.LateP99), short(x.LateMax))
	fmt.Fprintf(w, "answers: %d served, %d refused, %d failed, %d broken, %d overdue; %s at the median, %s at the 99th percentile\n",
		x.Served, x.Refused, x.Failed, x.Broken, x.Overdue, short(x.AnswerP50), short(x.AnswerP99))
	for _, reason := range slices.Sorted(maps.Keys(x.Unsent)) {
		fmt.Fprintf(w, "unsent: %d, %s\n", x.Unsent[reason], reason)
	}
	if x.Retries+x.Needless > 0 {
		fmt.Fprintf(w, "clients' retries: %d sent after a refusal, %d not sent since nothing had been refused\n", x.Retries, x.Needless)
	}
	if x.Dependent > 0 {
		fmt.Fprintf(w, "%d held back until what they follow was answered\n", x.Dependent)
	}
	if k := r.Sink; k != nil {
		fmt.Fprintf(w, "stand-in: %d requests, %d ran, %d refused, %d repeats, %d of what must not run twice ran twice\n", k.Requests, k.Ran, k.Refused, k.Repeats, k.Twice)
		if k.Unknown > 0 {
			fmt.Fprintf(w, "its ledger was full: %d operations were not looked at for repeats\n", k.Unknown)
		}
		for _, one := range k.First {
			fmt.Fprintln(w, "  twice:", one)
		}
	}
	fmt.Fprintf(w, "%s of processor time a request, the kit and its stand-in together; %d connections made\n\n", short(x.CPUPerSent), x.Made)
	fmt.Fprintln(w, r.Line())
}

// The charts' geometry, in user units of the SVG.
const (
	chartX, chartW = 90.0, 960.0
	chartH         = 200.0
	mostPoints     = 480
)

type mark struct {
	At    float64
	Label string
}

type graph struct {
	Source, Replay string // paths
	X, Y           []mark
	Hover          []hover
}

type hover struct {
	X, W  float64
	Title string
}

// Left and Right, Top and Bottom, and the place of labels.
func (graph) Left() float64  { return chartX }
func (graph) Right() float64 { return chartX + chartW }
func (graph) Width() float64 { return chartX + chartW + 20 }
func (graph) H() float64     { return chartH }
func (graph) Label() float64 { return chartX - 8 }
func (graph) Foot() float64  { return chartH + 18 }
func (graph) Total() float64 { return chartH + 34 }

// path draws points as a line.
func path(xs, ys []float64) string {
	var b strings.Builder
	for i := range xs {
		verb := "L"
		if i == 0 {
			verb = "M"
		}
		fmt.Fprintf(&b, "%s%.1f %.1f ", verb, xs[i], ys[i])
	}
	return b.String()
}

// rates draws requests a second over time, the recording's as they were to be replayed.
func (r *Report) rates() graph {
	var c graph
	n := max(len(r.Source.Bins), len(r.Replay.Bins))
	per := (n + mostPoints - 1) / mostPoints
	width := r.Replay.Width.Seconds() * float64(per)
	sum := func(bins []int, i int, times float64) float64 {
		s := 0
		for k := i * per; k < min((i+1)*per, len(bins)); k++ {
			s += bins[k]
		}
		return float64(s) * times / width
	}
	points := (n + per - 1) / per
	var want, got []float64
	most := 1.0
	for i := range points {
		want = append(want, sum(r.Source.Bins, i, r.Scale))
		got = append(got, sum(r.Replay.Bins, i, 1))
		most = max(most, want[i], got[i])
	}
	step := chart.NiceStep(most / 4)
	most = step * math.Ceil(most/step)
	length := width * float64(points)
	x := func(s float64) float64 { return chartX + chartW*s/length }
	y := func(v float64) float64 { return chartH * (1 - v/most) }
	draw := func(v []float64) string {
		var xs, ys []float64
		for i, one := range v {
			xs = append(xs, x(float64(i)*width), x(float64(i+1)*width))
			ys = append(ys, y(one), y(one))
		}
		return path(xs, ys)
	}
	c.Source, c.Replay = draw(want), draw(got)
	for i := range points {
		c.Hover = append(c.Hover, hover{x(float64(i) * width), chartW * width / length,
			fmt.Sprintf("%.3g to %.3g s: %.0f a second in the recording, %.0f replayed", float64(i)*width, float64(i+1)*width, want[i], got[i])})
	}
	for v := 0.0; v <= most*(1+1e-9); v += step {
		c.Y = append(c.Y, mark{y(v), fmt.Sprintf("%.0f", v)})
	}
	every := chart.NiceStep(length / 10)
	for v := 0.0; v <= length+1e-9; v += every {
		c.X = append(c.X, mark{x(v), fmt.Sprintf("%.4g s", v)})
	}
	return c
}

// gaps draws the share of times between arrivals that are at most so long, the replay's as if it ran as the recording did.
func (r *Report) gaps() graph {
	var c graph
	low, high := math.Inf(1), 0.0
	for _, s := range []*replay.Shape{r.Source, r.Replay} {
		low, high = min(low, float64(s.Gap(0.001))), max(high, float64(s.Gap(0.9999)))
	}
	low, high = math.Floor(math.Log10(max(low, 1))), math.Ceil(math.Log10(max(high, 10)))
	if high <= low {
		high = low + 1
	}
	x := func(ns float64) float64 { return chartX + chartW*(math.Log10(max(ns, 1))-low)/(high-low) }
	draw := func(s *replay.Shape) string {
		var xs, ys []float64
		for i := 0; i <= 200; i++ {
			q := float64(i) / 200
			xs = append(xs, min(max(x(float64(s.Gap(q))), chartX), chartX+chartW))
			ys = append(ys, chartH*(1-q))
		}
		return path(xs, ys)
	}
	c.Source, c.Replay = draw(r.Source), draw(r.Replay)
	for d := low; d <= high; d++ {
		c.X = append(c.X, mark{x(math.Pow(10, d)), time.Duration(math.Pow(10, d)).String()})
	}
	for _, q := range []float64{0, 0.25, 0.5, 0.75, 1} {
		c.Y = append(c.Y, mark{chartH * (1 - q), fmt.Sprintf("%.0f%%", 100*q)})
	}
	return c
}

// lateness draws how late the share of requests was.
func (r *Report) lateness() graph {
	var c graph
	if len(r.Result.Late) == 0 {
		return c
	}
	low, high := math.Inf(1), 0.0
	for _, q := range r.Result.Late {
		low, high = min(low, float64(q.At)), max(high, float64(q.At))
	}
	low, high = math.Floor(math.Log10(max(low, 1))), math.Ceil(math.Log10(max(high, 10)))
	if high <= low {
		high = low + 1
	}
	y := func(ns float64) float64 { return chartH * (1 - (math.Log10(max(ns, 1))-low)/(high-low)) }
	var xs, ys []float64
	for i, q := range r.Result.Late {
		at := chartX + chartW*float64(i)/float64(len(r.Result.Late)-1)
		xs, ys = append(xs, at), append(ys, y(float64(q.At)))
		c.X = append(c.X, mark{at, fmt.Sprintf("%.4g%%", 100*q.Q)})
		c.Hover = append(c.Hover, hover{at - 10, 20, fmt.Sprintf("%.4g%% were at most %s late", 100*q.Q, short(q.At))})
	}
	c.Replay = path(xs, ys)
	for d := low; d <= high; d++ {
		c.Y = append(c.Y, mark{y(math.Pow(10, d)), time.Duration(math.Pow(10, d)).String()})
	}
	return c
}

// Page writes a report as one self-contained HTML page.
func (r *Report) Page(w io.Writer) error {
	type row struct {
		Class, Effect    string
		Source, Replayed float64
	}
	var rows []row
	for _, class := range slices.Sorted(maps.Keys(r.Shares)) {
		rows = append(rows, row{class, string(r.Effects[class]), r.Shares[class][0], r.Shares[class][1]})
	}
	status := "kept"
	if r.Behind != "" || r.Result.Partial || r.Sink != nil && r.Sink.Twice > 0 {
		status = "broke"
	} else if !r.Fidelity.Kept {
		status = "off"
	}
	return page.Execute(w, struct {
		*Report
		Line                  string
		Status                string
		Rates, Gaps, Lateness graph
		Rows                  []row
		Second, Allowed       float64
	}{r, r.Line(), status, r.rates(), r.gaps(), r.lateness(), rows, 100 * r.Fidelity.Second, 100 * replay.SecondBound})
}
