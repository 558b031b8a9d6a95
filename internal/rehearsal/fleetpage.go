package rehearsal

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"saltmast/internal/grade"
	"saltmast/internal/scenario"
)

//go:embed fleetpage.html
var fleetPageText string

var fleetPage = template.Must(template.New("fleet").Funcs(template.FuncMap{
	"secs": func(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) },
}).Parse(fleetPageText))

// The geometry of the lanes, in user units of the SVG.
const (
	laneLeft, laneWidth = 70.0, 1000.0
	laneTop, laneRow    = 40.0, 26.0
)

// cell is one sample of one agent: how many it knows to live, and what it holds of the budget beside its own part.
type cell struct {
	X, Y, W, H float64
	Class      string // of the background
	Held       float64
	HeldY      float64
	Bad        float64 // the height of a mark for each backend that it leaves out
	Title      string
}

type laneRowView struct {
	Name  string
	Y     float64
	Cells []cell
	Marks []laneMark
}

type laneMark struct {
	X, Y  float64
	Class string
	Title string
}

type faultBand struct {
	X, W  float64
	Title string
	Class string
}

// WritePage writes the grade as one page, with a lane for each agent.
func (f *FleetResult) WritePage(w io.Writer) error {
	total := f.Scenario.ForS
	x := func(at time.Duration) float64 { return laneLeft + laneWidth*min(1, max(0, at.Seconds()/total)) }
	rows := make([]laneRowView, len(f.Lanes))
	byName := map[string]int{}
	for i, l := range f.Lanes {
		y := laneTop + laneRow*float64(i)
		rows[i] = laneRowView{Name: l.Agent, Y: y}
		byName[l.Agent] = i
		for k, s := range l.Samples {
			end := sec(total)
			if k+1 < len(l.Samples) {
				end = l.Samples[k+1].At
			}
			c := cell{X: x(s.At), Y: y, W: x(end) - x(s.At) + 0.3, H: laneRow - 3, Class: "down", Title: fmt.Sprintf("%s, %.1f s: no answer", l.Agent, s.At.Seconds())}
			if !s.Down {
				c.Class = fmt.Sprintf("h%d", min(4, 4*s.Alive/max(1, len(f.Lanes))))
				c.Title = fmt.Sprintf("%s, %.1f s: knows %d of %d", l.Agent, s.At.Seconds(), s.Alive, len(f.Lanes))
				if s.Home > 0 {
					c.Held = min(c.H, c.H/2*float64(s.Held)/float64(s.Home))
					c.HeldY = y + c.H - c.Held
					c.Title += fmt.Sprintf("; holds %.2f retries a second, %.2f are its own", float64(s.Held)/1000, float64(s.Home)/1000)
				}
				if len(s.Judged) > 0 {
					c.Bad = 4 * float64(min(3, len(s.Judged)))
					c.Title += "; leaves out " + strings.Join(s.Judged, ", ")
				}
			}
			rows[i].Cells = append(rows[i].Cells, c)
		}
	}
	for _, e := range f.Events {
		class := map[grade.Kind]string{grade.AgentKill: "kill", grade.AgentStop: "stop", grade.AgentUp: "up", grade.AgentHalt: "halt", grade.AgentWake: "up"}[e.Kind]
		if i, ok := byName[e.Agent]; ok && class != "" && e.At > 0 && e.At < sec(total) {
			rows[i].Marks = append(rows[i].Marks, laneMark{X: x(e.At), Y: rows[i].Y, Class: class, Title: fmt.Sprintf("%s, %.2f s: %s", e.Agent, e.At.Seconds(), e.Kind)})
		}
	}
	var bands []faultBand
	for _, ft := range f.Scenario.Faults {
		if scenario.Between(ft.Kind) || scenario.On(ft.Kind) == "server" {
			b := faultBand{X: x(sec(ft.AtS)), Title: fmt.Sprintf("%s, %.1f to %.1f s: agents %v, servers %v", ft.Kind, ft.AtS, ft.AtS+ft.ForS, ft.Agents, ft.Servers), Class: "net"}
			if scenario.On(ft.Kind) == "server" {
				b.Class = "server"
			}
			b.W = max(1, x(sec(ft.AtS+ft.ForS))-b.X)
			bands = append(bands, b)
		}
	}
	var ticks []laneMark
	for at := 0.0; at <= total; at += max(1, float64(int(total/10))) {
		ticks = append(ticks, laneMark{X: x(sec(at)), Title: fmt.Sprintf("%.0f s", at)})
	}
	return fleetPage.Execute(w, map[string]any{"F": f, "Line": f.Line(), "Rows": rows, "Bands": bands, "Ticks": ticks, "Seed": f.Scenario.Seed,
		"Height": laneTop + laneRow*float64(len(rows)) + 20, "Bottom": laneTop + laneRow*float64(len(rows)), "Width": laneLeft + laneWidth + 20})
}
