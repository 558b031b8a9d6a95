package loadline

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/configuration"
	"saltmast/internal/messages"
)

// What a phase tells is for one process or agent, and leaves out whoever ended meanwhile or began with other totals.
func TestPhaseIsTheMeanOfThoseThatWereThere(t *testing.T) {
	at := time.Unix(100, 0)
	one := func(cpu time.Duration, out float64, of int) sums {
		return sums{usage: usage{cpu: cpu, rss: 2 << 20}, kinds: map[string]Rate{"pull": {Out: out, OutBytes: 10 * out}}, of: of}
	}
	a := snapshot{at, map[string][]sums{"harbourmaster": {one(time.Second, 100, 1), one(5*time.Second, 900, 1)}, "agent": {one(0, 0, 50)}}}
	b := snapshot{at.Add(2 * time.Second), map[string][]sums{"harbourmaster": {one(2*time.Second, 300, 1), one(0, 3, 1)}, "agent": {one(time.Second, 400, 50)}}}
	p := (&run{}).phase("quiet", a, b)
	h, g := p.Roles["harbourmaster"], p.Roles["agent"]
	for what, v := range map[string][2]float64{
		"cores of two, of which one began anew": {h.Cores, 0.25}, "the busiest": {h.Busiest, 0.5}, "messages": {h.Kinds["pull"].Out, 50}, "bytes": {h.Bytes, 500},
		"cores of an agent": {g.Cores, 0.01}, "messages of an agent": {g.Kinds["pull"].Out, 4}, "memory of an agent": {g.MB, 0.04}} {
		if math.Abs(v[0]-v[1]) > 1e-9 {
			t.Errorf("%s: %v, want %v", what, v[0], v[1])
		}
	}
}

// The exponent of a drawing tells what grows with the square of the agents from what does not grow.
func TestDrawnExponents(t *testing.T) {
	d := draw("Bytes", "bytes/s", map[string][]point{"flat": {{100, 7}, {1000, 7}}, "square": {{100, 1}, {300, 9}, {1000, 100}}, "none": {{100, 0}}})
	got := map[string]string{}
	for _, l := range d.Lines {
		got[l.Name] = l.Slope
	}
	if got["flat"] != "0.00" || got["square"] != "2.00" || got["none"] != "" {
		t.Errorf("exponents %v", got)
	}
	var page bytes.Buffer
	r := func(n int, bytes float64) *Result {
		return &Result{Agents: n, Phases: []Phase{{Name: "quiet", Roles: map[string]Load{"agent": {Of: n, Bytes: bytes}}}}, LeftOut: []string{"core: <why>"}}
	}
	if err := WritePage(&page, []*Result{r(1000, 300), r(100, 30)}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"agent (1.00)", "core: &lt;why&gt;", "agent, 1000 agents: 300 bytes/s"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page lacks %q", want)
		}
	}
}

// A change is at an agent with the first ballot that is not below it, and agents that began after it was sent are not asked for it.
func TestDelaysOfChanges(t *testing.T) {
	h := &hollows{agents: map[int]*hollow{
		1: {i: 1, born: 5, have: []mark{{3, 1_000_000}, {9, 8_000_000}}},
		2: {i: 2, born: 5, have: []mark{{3, 2_000_000}}},
		3: {i: 3, born: 5_000_000}}}
	h.plan.Zones = 1
	var got told
	h.delays(order{Marks: []mark{{3, 500_000}, {7, 1_500_000}}}, &got)
	if got.Missing != 1 || got.Last[0] != 1_500_000 || got.Last[1] != 6_500_000 {
		t.Errorf("%d missing, last %v", got.Missing, got.Last)
	}
}

// What a program says of a fault of its own is not lost with what it says after it.
func TestFaultsOfProgramsAreKept(t *testing.T) {
	l := &tail{}
	for _, line := range []string{"started\n", "panic: runtime error\n", strings.Repeat("x", 20<<10)} {
		l.Write([]byte(line))
	}
	if l.fault() != "panic: " || len(l.String()) > 8<<10 {
		t.Errorf("fault %q, %d bytes kept", l.fault(), len(l.String()))
	}
}

// A thin agent is told items in parts, goes on where the last part ended, and has a ballot with the last one alone.
func TestPullGoesOnInParts(t *testing.T) {
	var items []configuration.Item
	for i := range 3000 {
		items = append(items, configuration.Item{Key: configuration.Key{Name: fmt.Sprintf("route-%04d", i)}, Version: 1, Ballot: configuration.Ballot{N: uint64(i + 1)}, Spec: bytes.Repeat([]byte("x"), 400)})
	}
	stands, chosen := configuration.Set{}.With(items...), configuration.Ballot{N: 3000}
	call, got, parts := messages.PullCall{}, 0, 0
	for ; call.Have.IsZero() && parts < 20; parts++ {
		news := messages.PullReply{Incarnation: 1}
		news.Fill(call, backends.New(), chosen, stands, configuration.Ballot{})
		got += len(news.Items)
		call = next(call, news)
	}
	if got != len(items) || call.Have != chosen || parts < 3 || parts >= 20 {
		t.Errorf("%d items in %d parts, then %v", got, parts, call.Have)
	}
}
