package lab

import (
	"bytes"
	"context"
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/parquet-go/parquet-go"

	"saltmast/internal/model"
)

const small = `
name = "how many agents"
seeds = [1, 3]
[draw]
servers = 6
for_s = 2
faults = false
[scenario.clients]
skew = 0.5
[[sweep]]
key = "agents"
values = [4, 12]
[[sweep]]
key = "told"
values = [1, 3.0]
`

func read(t *testing.T, text string) *Experiment {
	t.Helper()
	e, err := Read("x.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func run(t *testing.T, e *Experiment, beside int) []One {
	t.Helper()
	all, err := e.Run(context.Background(), beside, func(One) {})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

func TestArms(t *testing.T) {
	e := read(t, small)
	var labels []string
	for _, a := range e.Arms() {
		labels = append(labels, e.Label(a))
	}
	if got, want := strings.Join(labels, ", "), "agents=4 told=1, agents=4 told=3, agents=12 told=1, agents=12 told=3"; got != want {
		t.Errorf("arms %s, want %s", got, want)
	}
	o, err := e.options(e.Arms()[3], 2)
	if err != nil {
		t.Fatal(err)
	}
	if s := o.Plan.Scenario; s.Agents != 12 || s.Servers != 6 || s.Clients.Skew != 0.5 || s.Seed != 2 || len(s.Faults) != 0 || o.Told != 3 {
		t.Errorf("scenario %+v, told %v", s, o.Told)
	}
}

func TestBadExperiments(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"name = ", "nam = ", "x.toml:2: nam: unknown key"},
		{`"how many agents"`, `""`, "x.toml:2: name: missing"},
		{"[1, 3]", "[3, 1]", "x.toml:3: seeds: "},
		{"[1, 3]", "[1, 5000]", "x.toml:3: seeds: 200 at the most"},
		{"skew = 0.5", "skew = 7", "scenario.clients.skew: 7 is not from 0 to 1"},
		{"skew = 0.5", "skewed = 7", "scenario.clients.skewed: unknown key"},
		{`"told"`, `"tolled"`, `sweep[1].key: "tolled" is no key of a scenario`},
		{`"told"`, `"agents"`, `sweep[1].key: "agents" stands twice`},
		{"[4, 12]", "[]", "x.toml:12: sweep[0].values: none"},
		{"[4, 12]", "[4, 1000000]", "scenario.agents: 1e+06 is not from 1 to 20000"},
		{"[1, 3.0]", `["many"]`, "told: many is no number"},
		{"[scenario.clients]", "[[scenario.fault]]\nkind = \"drip\"\nat_s = 1\nfor_s = 1\nservers = [0]\n[scenario.clients]", "not modelled"},
	} {
		_, err := Read("x.toml", []byte(strings.Replace(small, c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want %q in one line", c.new, err, c.want)
		}
	}
}

// Results come by arm and seed, whatever ran beside what, and files of them are the same to the byte.
func TestSameFilesWhateverRunsBeside(t *testing.T) {
	e := read(t, small)
	files := func(beside int) (runs, windows, html, table []byte) {
		all := run(t, e, beside)
		rows, err := e.RunRows(all)
		if err != nil {
			t.Fatal(err)
		}
		sums := e.Summarise(all)
		var a, b, c, d bytes.Buffer
		for _, err := range []error{WriteParquet(&a, rows), WriteParquet(&b, WindowRows(all)), Page(&c, e, sums), Table(&d, e, sums)} {
			if err != nil {
				t.Fatal(err)
			}
		}
		return a.Bytes(), b.Bytes(), c.Bytes(), d.Bytes()
	}
	a1, b1, c1, d1 := files(1)
	a4, b4, c4, d4 := files(4)
	for name, same := range map[string]bool{"runs": bytes.Equal(a1, a4), "windows": bytes.Equal(b1, b4), "page": bytes.Equal(c1, c4), "table": bytes.Equal(d1, d4)} {
		if !same {
			t.Errorf("%s differ", name)
		}
	}
	back, err := parquet.Read[RunRow](bytes.NewReader(a1), int64(len(a1)))
	if err != nil {
		t.Fatal(err)
	}
	rows, _ := e.RunRows(run(t, e, 2))
	if len(back) != 12 || back[5] != rows[5] || back[5].Seed != 3 || back[5].Label != "agents=4 told=3" {
		t.Errorf("%d rows read back, the sixth %+v, want %+v", len(back), back[5], rows[5])
	}
	if n := bytes.Count(c1, []byte("<svg")); n < 4 {
		t.Errorf("%d charts", n)
	}
}

// Student's t by hand: of 1, 2, 3, 4 the mean is 2.5, the deviation 1.291, and with three degrees of freedom the
// interval's half is 3.1824 * 1.291 / 2.
func TestEstimate(t *testing.T) {
	e := estimate([]float64{1, 2, 3, 4})
	if e.Mean != 2.5 || math.Abs(e.Half-2.0543) > 1e-4 || !e.Clear() {
		t.Errorf("%+v", e)
	}
	for want, e := range map[string]Estimate{"972.2 ±413": {Mean: 972.21, Half: 412.7}, "26091 ±2000": {Mean: 26091.2, Half: 2000.4}, "0.8748 ±0.069": {Mean: 0.87484, Half: 0.0691}} {
		if e.String() != want {
			t.Errorf("%s, want %s", e, want)
		}
	}
	if e := estimate([]float64{7}); !math.IsNaN(e.Half) || e.Clear() {
		t.Errorf("one seed: %+v", e)
	}
}

// What seeds vary in drops out of differences, which are taken seed by seed.
func TestPairedDifference(t *testing.T) {
	e := read(t, strings.Replace(small, "[[sweep]]\nkey = \"told\"\nvalues = [1, 3.0]\n", "", 1))
	var all []One
	for no, a := range e.Arms() {
		for seed, share := range []float64{0.2, 0.5, 0.8} {
			all = append(all, One{Arm: a, Seed: uint64(seed + 1), Result: &model.Result{Share: share + 0.01*float64(no) + 0.001*float64(no*seed)}})
		}
	}
	s := e.Summarise(all)[1]
	if d := s.Against[0]; math.Abs(d.Mean-0.011) > 1e-9 || !d.Clear() {
		t.Errorf("difference %+v, want 0.011 and clear", d)
	}
	if s.Metrics[0].Half < 0.1 {
		t.Errorf("the arm itself varies by %v over its seeds", s.Metrics[0].Half)
	}
}

func TestRunStops(t *testing.T) {
	ctx, cancel := context.WithCancelCause(context.Background())
	why := errors.New("enough")
	_, err := read(t, small).Run(ctx, 1, func(One) { cancel(why) })
	if !errors.Is(err, why) {
		t.Errorf("ended with %v", err)
	}
}
