package lab

import (
	"errors"
	"fmt"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"

	"saltmast/internal/model"
	"saltmast/internal/scenario"
)

// Figures are what a rehearsal and the model both have.
type Figures struct {
	Share     float64 `json:"share"`
	Worst     float64 `json:"worst"`
	Requests  float64 `json:"requests"`
	Served    float64 `json:"served"`
	Late      float64 `json:"late"`
	Refused   float64 `json:"refused"`
	Tries     float64 `json:"tries"`
	Attempts  float64 `json:"attempts"`
	Connects  float64 `json:"connects"`
	ListCalls float64 `json:"list_calls"`
}

// FiguresOf are a model's run.
func FiguresOf(r *model.Result) Figures {
	return Figures{Share: r.Share, Worst: r.Worst, Requests: float64(r.Requests), Served: float64(r.Served), Late: float64(r.Late),
		Refused: float64(r.Refused), Tries: float64(r.Tries), Attempts: float64(r.Attempts), Connects: float64(r.Taken), ListCalls: float64(r.ListCalls)}
}

// Pair is one scenario played both ways.
type Pair struct {
	Seed      uint64  `json:"seed"`
	Void      bool    `json:"void,omitempty"` // the rehearsal's kit was late itself
	Rehearsal Figures `json:"rehearsal"`
	Model     Figures `json:"model"`
}

// Modelled is a scenario without the faults that the model has not.
func Modelled(s scenario.Scenario) scenario.Scenario {
	var keep []scenario.Fault
	for _, f := range s.Faults {
		one := s
		one.Faults = []scenario.Fault{f}
		if model.Supported(&one) == nil {
			keep = append(keep, f)
		}
	}
	s.Faults = keep
	return s
}

// Distances prints pairs and, for each figure, how far the model lies from rehearsals: the mean of the differences (its bias)
// and the root of the mean of their squares. Shares as they are, counts as parts of the rehearsal's.
func Distances(w io.Writer, pairs []Pair) error {
	type column struct {
		name  string
		of    func(Figures) float64
		share bool
	}
	columns := []column{
		{"share", func(f Figures) float64 { return f.Share }, true},
		{"worst", func(f Figures) float64 { return f.Worst }, true},
		{"served", func(f Figures) float64 { return f.Served / f.Requests }, true},
		{"late", func(f Figures) float64 { return f.Late / f.Requests }, true},
		{"refused", func(f Figures) float64 { return f.Refused / f.Requests }, true},
		{"tries", func(f Figures) float64 { return f.Tries }, false},
		{"attempts", func(f Figures) float64 { return f.Attempts }, false},
		{"connects", func(f Figures) float64 { return f.Connects }, false},
		{"list_calls", func(f Figures) float64 { return f.ListCalls }, false},
	}
	fmt.Fprintf(w, "%6s", "seed")
	for _, c := range columns {
		fmt.Fprintf(w, "  %15s", c.name)
	}
	fmt.Fprintln(w, "   (rehearsal, model)")
	apart := make([][]float64, len(columns))
	for _, p := range pairs {
		fmt.Fprintf(w, "%6d", p.Seed)
		for i, c := range columns {
			a, b := c.of(p.Rehearsal), c.of(p.Model)
			d := b - a
			if c.share {
				fmt.Fprintf(w, "  %7.3f %7.3f", a, b)
			} else {
				fmt.Fprintf(w, "  %7.0f %7.0f", a, b)
				d /= max(a, 1)
			}
			if !p.Void {
				apart[i] = append(apart[i], d)
			}
		}
		if p.Void {
			fmt.Fprint(w, "   void, not counted")
		}
		fmt.Fprintln(w)
	}
	if len(apart[0]) == 0 {
		return errors.New("every rehearsal is void: the machine was too busy to tell anything")
	}
	for _, l := range []struct {
		name string
		of   func([]float64) float64
	}{
		{"bias", func(d []float64) float64 { return stat.Mean(d, nil) }},
		{"rms", func(d []float64) float64 {
			sum := 0.0
			for _, x := range d {
				sum += x * x
			}
			return math.Sqrt(sum / float64(len(d)))
		}},
	} {
		fmt.Fprintf(w, "%6s", l.name)
		for i := range columns {
			fmt.Fprintf(w, "  %+15.3f", l.of(apart[i]))
		}
		fmt.Fprintln(w)
	}
	return nil
}
