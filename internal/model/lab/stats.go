package lab

import (
	"fmt"
	"io"
	"math"
	"strconv"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"saltmast/internal/model"
)

// Metric is one figure of a run.
type Metric struct {
	Name string
	Unit string
	Of   func(*model.Result) float64
}

// Metrics are those that tables, pages and statistics show, the chief ones first.
var Metrics = []Metric{
	{"share", "of the worth in time", func(r *model.Result) float64 { return r.Share }},
	{"worst", "of the worth in time, worst 10 s", func(r *model.Result) float64 { return r.Worst }},
	{"refused", "of the requests", func(r *model.Result) float64 { return per(r.Refused, r.Requests) }},
	{"p99_ms", "ms", func(r *model.Result) float64 { return r.P99Ms }},
	{"attempts", "a request", func(r *model.Result) float64 { return per(r.Attempts, r.Requests) }},
	{"connects", "a request", func(r *model.Result) float64 { return per(r.Connects, r.Requests) }},
	{"connected", "at a server, in the mean", func(r *model.Result) float64 { return r.Connected }},
	{"most_conns", "at one server, at once", func(r *model.Result) float64 { return float64(r.MostConns) }},
	{"list_calls", "in all", func(r *model.Result) float64 { return float64(r.ListCalls) }},
	{"most_calls", "in a second", func(r *model.Result) float64 { return float64(r.MostCalls) }},
	{"list_fails", "of the calls", func(r *model.Result) float64 { return per(r.ListFails, r.ListCalls) }},
	{"uneven", "busiest server over the mean", func(r *model.Result) float64 { return r.Uneven }},
	{"coldest", "times what a cold server can do", func(r *model.Result) float64 { return r.Coldest }},
	{"fell", "cold servers pushed over", func(r *model.Result) float64 { return float64(r.Fell) }},
}

func per(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Estimate is a mean with its 95% confidence interval by Student's t over the seeds.
type Estimate struct {
	Mean, SD float64
	Half     float64 // half the width of the interval; NaN: one seed tells none
	N        int
}

// estimate is the mean of some figures.
func estimate(x []float64) Estimate {
	e := Estimate{N: len(x), Half: math.NaN()}
	e.Mean, e.SD = stat.MeanStdDev(x, nil)
	if len(x) < 2 {
		e.SD = math.NaN()
		return e
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}
	e.Half = t.Quantile(0.975) * e.SD / math.Sqrt(float64(len(x)))
	return e
}

func (e Estimate) String() string {
	if math.IsNaN(e.Half) {
		return figure(e.Mean, 4)
	}
	return figure(e.Mean, 4) + " ±" + figure(e.Half, 2)
}

// figure writes a number with so many digits that count, and whole ones without an exponent.
func figure(v float64, digits int) string {
	if math.Abs(v) >= math.Pow10(digits) && math.Abs(v) < 1e9 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', digits, 64)
}

// Clear reports whether the interval leaves nought out.
func (e Estimate) Clear() bool { return !math.IsNaN(e.Half) && math.Abs(e.Mean) > e.Half }

// Summary is one arm: each metric, and its difference from the baseline's, seed by seed.
type Summary struct {
	Arm     Arm
	Label   string
	Metrics []Estimate // by Metrics
	Against []Estimate // empty for the baseline
	Runs    []One
}

// Summarise puts the runs of Run together by arm. The same seed in two arms has the same arrivals, work and failures as
// far as their scenarios agree, so differences are taken seed by seed: what the seeds vary in drops out.
func (e *Experiment) Summarise(all []One) []Summary {
	var out []Summary
	for _, a := range e.Arms() {
		s := Summary{Arm: a, Label: e.Label(a)}
		for _, o := range all {
			if o.Arm.No == a.No {
				s.Runs = append(s.Runs, o)
			}
		}
		out = append(out, s)
	}
	for i := range out {
		s := &out[i]
		for _, m := range Metrics {
			var x, d []float64
			for k, o := range s.Runs {
				x = append(x, m.Of(o.Result))
				d = append(d, m.Of(o.Result)-m.Of(out[0].Runs[k].Result))
			}
			s.Metrics = append(s.Metrics, estimate(x))
			if i > 0 {
				s.Against = append(s.Against, estimate(d))
			}
		}
	}
	return out
}

// Table prints the arms.
func Table(w io.Writer, e *Experiment, all []Summary) error {
	n := e.Seeds[1] - e.Seeds[0] + 1
	if _, err := fmt.Fprintf(w, "%s: %d seeds an arm; means with 95%% intervals over seeds, and differences from the first arm, seed by seed\n", e.Name, n); err != nil {
		return err
	}
	for _, s := range all {
		fmt.Fprintf(w, "\n%s\n", s.Label)
		for i, m := range Metrics {
			line := fmt.Sprintf("  %-11s %-18s", m.Name, s.Metrics[i])
			if len(s.Against) > 0 {
				mark := " "
				if s.Against[i].Clear() {
					mark = "*"
				}
				line += fmt.Sprintf(" %s %-20s", mark, "by "+s.Against[i].String())
			}
			if _, err := fmt.Fprintf(w, "%s %s\n", line, m.Unit); err != nil {
				return err
			}
		}
	}
	if len(all) > 1 {
		fmt.Fprintln(w, "\n* the interval of the difference leaves nought out")
	}
	return nil
}
