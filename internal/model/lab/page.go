package lab

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// maxLines is how many arms one chart over time holds before it can't be read.
const maxLines = 8

// Page writes the experiment as one HTML page that needs nothing else.
func Page(w io.Writer, e *Experiment, all []Summary) error {
	type cell struct{ Text, Against, Class string }
	type row struct {
		Name, Unit string
		Cells      []cell
	}
	data := struct {
		Name  string
		Seeds int
		Arms  []string
		Rows  []row
		Plots []template.HTML
	}{Name: e.Name, Seeds: e.Seeds[1] - e.Seeds[0] + 1}
	for _, s := range all {
		data.Arms = append(data.Arms, s.Label)
	}
	for i, m := range Metrics {
		r := row{Name: m.Name, Unit: m.Unit}
		for _, s := range all {
			c := cell{Text: s.Metrics[i].String()}
			if len(s.Against) > 0 {
				c.Against = s.Against[i].String()
				if s.Against[i].Clear() {
					c.Class = "clear"
				}
			}
			r.Cells = append(r.Cells, c)
		}
		data.Rows = append(data.Rows, r)
	}
	for i, m := range Metrics {
		if len(all) < 2 || flat(all, i) {
			continue
		}
		svg, err := byArm(m, i, all)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, svg)
	}
	for _, t := range []struct {
		title string
		of    func(x second) float64
	}{
		{"share of the worth in time, by second", func(x second) float64 { return quotient(x.inTime, x.asked) }},
		{"connections at a server, by second", func(x second) float64 { return x.conns }},
		{"list calls of all agents, by second", func(x second) float64 { return x.calls }},
	} {
		svg, err := overTime(t.title, all, t.of)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, svg)
	}
	return page.Execute(w, data)
}

func quotient(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// flat reports whether a metric is the same in all arms: a chart of it says nothing.
func flat(all []Summary, metric int) bool {
	for _, s := range all {
		if s.Metrics[metric].Mean != all[0].Metrics[metric].Mean {
			return false
		}
	}
	return true
}

// svg draws a plot.
func svg(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	c := vgsvg.NewWith(vgsvg.UseWH(width, height), vgsvg.EmbedFonts(false))
	p.Draw(newCanvas(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", fmt.Errorf("drawing %s: %w", p.Title.Text, err)
	}
	text := b.Bytes()
	if i := bytes.Index(text, []byte("<svg")); i > 0 {
		text = text[i:] // without the head of a file of its own
	}
	return template.HTML(text), nil
}

// byArm is one metric over the arms, with its intervals.
func byArm(m Metric, no int, all []Summary) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = m.Name
	p.Y.Label.Text = m.Unit
	var names []string
	pts := make(errorPoints, len(all))
	for i, s := range all {
		names = append(names, s.Label)
		pts[i] = errorPoint{float64(i), s.Metrics[no].Mean, 0}
		if h := s.Metrics[no].Half; !math.IsNaN(h) {
			pts[i].half = h
		}
	}
	dots, err := plotter.NewScatter(pts)
	if err != nil {
		return "", err
	}
	bars, err := plotter.NewYErrorBars(pts)
	if err != nil {
		return "", err
	}
	p.Add(plotter.NewGrid(), dots, bars)
	p.NominalX(names...)
	if len(all) > 4 {
		p.X.Tick.Label.Rotation = math.Pi / 8
		p.X.Tick.Label.XAlign = -1
	}
	return svg(p, vg.Points(90+110*float64(len(all))), vg.Points(210))
}

type errorPoint struct{ x, y, half float64 }

type errorPoints []errorPoint

func (e errorPoints) Len() int                        { return len(e) }
func (e errorPoints) XY(i int) (float64, float64)     { return e[i].x, e[i].y }
func (e errorPoints) YError(i int) (float64, float64) { return e[i].half, e[i].half }

// second is one second of an arm, in the mean over its seeds.
type second struct{ asked, inTime, conns, calls float64 }

// overTime is a figure by second, a line an arm.
func overTime(title string, all []Summary, of func(second) float64) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Legend.Top = true
	shown := all[:min(len(all), maxLines)]
	colors := palette.Rainbow(max(2, len(shown)), palette.Blue, palette.Red, 0.9, 0.75, 1).Colors()
	for i, s := range shown {
		var line plotter.XYs
		n := float64(len(s.Runs))
		for k := range s.Runs[0].Result.Windows {
			var x second
			for _, o := range s.Runs {
				if k >= len(o.Result.Windows) {
					continue
				}
				v := o.Result.Windows[k]
				x.asked, x.inTime = x.asked+v.Asked/n, x.inTime+v.InTime/n
				x.conns, x.calls = x.conns+float64(v.Conns)/n, x.calls+float64(v.ListCalls)/n
			}
			line = append(line, plotter.XY{X: float64(k), Y: of(x)})
		}
		l, err := plotter.NewLine(line)
		if err != nil {
			return "", err
		}
		l.Color = colors[i]
		p.Add(l)
		p.Legend.Add(s.Label, l)
	}
	p.Add(plotter.NewGrid())
	return svg(p, vg.Points(760), vg.Points(260))
}
