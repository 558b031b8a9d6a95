package loadline

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"math"
	"slices"
	"strings"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("scale").Funcs(template.FuncMap{
	"f":  figure,
	"kb": func(v float64) string { return figure(v / 1000) },
}).Parse(pageText))

// figure writes three digits that count.
func figure(v float64) string {
	if v == 0 {
		return "0"
	}
	if math.Abs(v) >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// The geometry of a drawing, in user units of the SVG.
const (
	drawLeft, drawTop, drawWidth, drawHigh = 62.0, 12.0, 330.0, 190.0
)

// drawing is one figure by the number of agents, both axes by their logarithms.
type drawing struct {
	Title, Unit string
	Lines       []drawnLine
	X, Y        []tick
}

type drawnLine struct {
	Name, Points, Class string
	Dots                []dot
	Slope               string // the exponent between the last two sizes
	LabelY              float64
}

type dot struct {
	X, Y  float64
	Title string
}

type tick struct {
	At    float64
	Label string
}

// point is one measured value.
type point struct{ n, v float64 }

// draw makes a drawing of lines by name. Values of 0 have no place on a logarithm and are left out.
func draw(title, unit string, lines map[string][]point) *drawing {
	d := &drawing{Title: title, Unit: unit}
	lowN, highN, lowV, highV := math.Inf(1), 0.0, math.Inf(1), 0.0
	for _, of := range lines {
		for _, p := range of {
			if p.v > 0 {
				lowN, highN, lowV, highV = min(lowN, p.n), max(highN, p.n), min(lowV, p.v), max(highV, p.v)
			}
		}
	}
	if highN == 0 {
		return nil
	}
	lowN, highN = lowN/1.2, highN*1.2
	bottom, top := math.Floor(math.Log10(lowV)), math.Ceil(math.Log10(highV)+1e-9)
	x := func(n float64) float64 { return drawLeft + drawWidth*math.Log(n/lowN)/math.Log(highN/lowN) }
	y := func(v float64) float64 { return drawTop + drawHigh*(top-math.Log10(v))/(top-bottom) }
	for e := bottom; e <= top; e++ {
		d.Y = append(d.Y, tick{y(math.Pow(10, e)), figure(math.Pow(10, e))})
	}
	sizes := map[float64]bool{}
	for i, name := range slices.Sorted(maps.Keys(lines)) {
		l := drawnLine{Name: name, Class: fmt.Sprintf("l%d", i%6), LabelY: drawTop + 14 + 13*float64(i)}
		var at []string
		var kept []point
		for _, p := range lines[name] {
			if p.v <= 0 {
				continue
			}
			sizes[p.n] = true
			kept = append(kept, p)
			at = append(at, fmt.Sprintf("%.1f,%.1f", x(p.n), y(p.v)))
			l.Dots = append(l.Dots, dot{x(p.n), y(p.v), fmt.Sprintf("%s, %.0f agents: %s %s", name, p.n, figure(p.v), unit)})
		}
		if k := len(kept); k > 1 && kept[k-1].n != kept[k-2].n {
			l.Slope = fmt.Sprintf("%.2f", math.Log(kept[k-1].v/kept[k-2].v)/math.Log(kept[k-1].n/kept[k-2].n))
		}
		l.Points = strings.Join(at, " ")
		d.Lines = append(d.Lines, l)
	}
	for _, n := range slices.Sorted(maps.Keys(sizes)) {
		d.X = append(d.X, tick{x(n), figure(n)})
	}
	return d
}

// WritePage writes results as one page, with each figure drawn by the number of agents.
func WritePage(w io.Writer, all []*Result) error {
	all = slices.Clone(all)
	slices.SortStableFunc(all, func(a, b *Result) int { return a.Agents - b.Agents })
	var names []string
	for _, r := range all {
		for _, p := range r.Phases {
			if !slices.Contains(names, p.Name) {
				names = append(names, p.Name)
			}
		}
	}
	type section struct {
		Name     string
		Drawings []*drawing
	}
	var sections []section
	for _, name := range names {
		s := section{Name: name}
		by := func(of func(Load) float64) map[string][]point {
			out := map[string][]point{}
			for _, r := range all {
				for _, p := range r.Phases {
					if p.Name != name {
						continue
					}
					for role, l := range p.Roles {
						out[role] = append(out[role], point{float64(r.Agents), of(l)})
					}
				}
			}
			return out
		}
		waits := map[string][]point{}
		for _, r := range all {
			for _, p := range r.Phases {
				for what, t := range p.Times {
					if p.Name == name && t.N > 0 {
						waits[what+", p50"] = append(waits[what+", p50"], point{float64(r.Agents), t.P50})
						waits[what+", p99"] = append(waits[what+", p99"], point{float64(r.Agents), t.P99})
					}
				}
				for what, v := range p.Figures {
					if p.Name == name && strings.HasSuffix(what, "_s") && (what == "ready_s" || what == "agreed_s" || what == "back_s") {
						waits[what] = append(waits[what], point{float64(r.Agents), v * 1000})
					}
				}
			}
		}
		for _, d := range []*drawing{
			draw("Bytes", "bytes/s", by(func(l Load) float64 { return l.Bytes })),
			draw("Processor", "cores", by(func(l Load) float64 { return l.Cores })),
			draw("Memory", "MB", by(func(l Load) float64 { return l.MB })),
			draw("Waits", "ms", waits)} {
			if d != nil {
				s.Drawings = append(s.Drawings, d)
			}
		}
		sections = append(sections, s)
	}
	return page.Execute(w, map[string]any{"Results": all, "Sections": sections,
		"Left": drawLeft, "Right": drawLeft + drawWidth, "Top": drawTop, "Bottom": drawTop + drawHigh, "Width": drawLeft + drawWidth + 190, "Height": drawTop + drawHigh + 24})
}
