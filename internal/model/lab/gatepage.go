package lab

import (
	_ "embed"
	"html/template"
	"image/color"
	"io"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"saltmast/internal/model"
)

//go:embed gate.html
var gateText string

var gatePage = template.Must(template.New("gate").Parse(gateText))

// maxPictures bounds a page of many seeds: failed days come first.
const maxPictures = 24

// GatePage writes verdicts as one HTML page that needs nothing else.
func GatePage(w io.Writer, all []Verdict) error {
	data := struct {
		Verdicts []Verdict
		Failed   int
		Plots    []template.HTML
	}{Verdicts: all, Failed: len(Failed(all))}
	order := Failed(all)
	for _, v := range all {
		if v.Passed {
			order = append(order, v)
		}
	}
	for _, v := range order[:min(len(order), maxPictures)] {
		picture, err := dayPicture(v)
		if err != nil {
			return err
		}
		data.Plots = append(data.Plots, picture)
	}
	return gatePage.Execute(w, data)
}

// dayPicture is the share in time by second, of the module and of the policy that sees late.
func dayPicture(v Verdict) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = v.Day + ", seed " + strconv.FormatUint(v.Seed, 10)
	p.X.Label.Text, p.Y.Label.Text = "s", "served in time"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.YPosition = -1
	for _, l := range []struct {
		name string
		all  []model.Window
		c    color.Color
	}{{"agents", v.Windows, color.RGBA{0x1f, 0x5f, 0xa8, 0xff}}, {"sees late", v.LateWindows, color.RGBA{0xb0, 0xb0, 0xb0, 0xff}}} {
		var pts plotter.XYs
		for _, x := range l.all {
			if x.Asked > 0 {
				pts = append(pts, plotter.XY{X: float64(x.AtS), Y: x.InTime / x.Asked})
			}
		}
		line, err := plotter.NewLine(pts)
		if err != nil {
			return "", err
		}
		line.Color = l.c
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	p.Add(plotter.NewGrid())
	return svg(p, vg.Points(340), vg.Points(180))
}
