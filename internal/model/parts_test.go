package model

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"saltmast"
	"saltmast/internal/scenario"
)

const ms = time.Millisecond

// One seed: the same verdict every time. -rapid.seed tries another.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// silentOne is a module that does nothing: its world holds still but for what a test does in it.
type silentOne struct{ heard []saltmast.Event }

func (s *silentOne) Step(_ time.Duration, events []saltmast.Event) []saltmast.Action {
	s.heard = append(s.heard, events...)
	return nil
}

// still is a world without arrivals in which nothing decides, and its agents' modules. change may alter the scenario.
func still(t *testing.T, change func(*scenario.Scenario)) (*world, []*silentOne) {
	t.Helper()
	s := base()
	s.Servers, s.PodSize, s.Agents = 2, 2, 2
	s.Server = scenario.ServerKind{Cores: 2, QueuePerCore: 1, Speed: 1, ColdFrom: 0.5, ColdMs: 1000, Connections: 3, IdleMs: 8000}
	s.List = scenario.List{PeriodMs: 100, LinesPerS: 1000, CallLines: 98, TimeoutMs: 300, NoticeMs: 10, AddMs: 10}
	if change != nil {
		change(&s)
	}
	plan := scenario.MakePlan(s)
	plan.Arrivals = nil
	for i := range plan.Servers {
		plan.Servers[i].SpeedPM = 1000
	}
	var modules []*silentOne
	w, err := newWorld(Options{Plan: plan, HopUs: 1, HopCV: 0, Decide: func(saltmast.Settings, uint64) (Decider, error) {
		modules = append(modules, &silentOne{})
		return modules[len(modules)-1], nil
	}})
	if err != nil {
		t.Fatal(err)
	}
	return w, modules
}

// until plays a world up to a time after its start, and leaves its clock there.
func (w *world) until(d time.Duration) {
	at := clockStart + d
	for len(w.heap) > 0 && w.heap[0].at <= at {
		e := w.pop()
		w.now = e.at
		e.do()
	}
	w.now = at
}

// send brings a request of so much work to an agent, and sends it to a server.
func (w *world) send(agent, server int, id string, work time.Duration, key string) *attempt {
	p := &scenario.Arrival{AtUs: int64((w.now - clockStart) / time.Microsecond), Agent: agent, ID: id, WorkUs: work.Microseconds(), Budget: 5000, Key: key, Class: 1}
	if key != "" {
		p.Class = 0
	}
	newJob(w, p)
	a := w.agents[agent]
	r := a.open[id]
	r.cut = r.deadline - 2*netMargin
	a.perform(saltmast.Send{Request: id, Backend: w.servers[server].ident.id})
	return r.attempts[len(r.attempts)-1]
}

// results are the outcomes that a module heard, by request.
func (s *silentOne) results() map[string]saltmast.Result {
	m := map[string]saltmast.Result{}
	for _, e := range s.heard {
		if o, ok := e.(saltmast.Outcome); ok {
			m[o.Request] = o.Result
		}
	}
	return m
}

// lists are the lists that it heard.
func (s *silentOne) lists() (all []saltmast.List) {
	for _, e := range s.heard {
		if l, ok := e.(saltmast.List); ok {
			all = append(all, l)
		}
	}
	return all
}

// Two cores, room for two more: five at once are two that run, two that wait, and one turned away unseen.
func TestServerCoresAndQueue(t *testing.T) {
	w, m := still(t, func(s *scenario.Scenario) { s.Server.Connections = 100 })
	var all []*attempt
	for i := range 5 {
		all = append(all, w.send(0, 0, fmt.Sprintf("%016x", i+1), 100*ms, ""))
	}
	done := make([]time.Duration, 5)
	for d := time.Duration(0); d < 400*ms; d += ms {
		w.until(d)
		for i, a := range all {
			if a.over && done[i] == 0 {
				done[i] = d
			}
		}
	}
	for i, want := range []time.Duration{100 * ms, 100 * ms, 200 * ms, 200 * ms, 0} {
		if done[i] < want || done[i] > want+2*ms {
			t.Errorf("request %d ends at %v, want %v", i, done[i], want)
		}
	}
	if got := m[0].results()["0000000000000005"]; got != saltmast.Full {
		t.Errorf("the fifth: %v, want it turned away", got)
	}
}

func TestColdRamp(t *testing.T) {
	w, _ := still(t, nil)
	s := w.servers[0]
	if got := s.life.warmth(w.now); got != 1 {
		t.Errorf("one that runs from the start does %v of its work", got)
	}
	s.restart(s.ident.id)
	for after, want := range map[time.Duration]float64{0: 0.5, 500 * ms: 0.75, 999 * ms: 0.9995, time.Second: 1, time.Hour: 1} {
		if got := s.life.warmth(w.now + after); math.Abs(got-want) > 1e-9 {
			t.Errorf("%v after its start it does %v of its work, want %v", after, got, want)
		}
	}
	// 100 ms of work take 200 at half the capacity: what a core has begun keeps its pace.
	if begin, end := s.life.schedule(w.now, 100*ms); begin != w.now || end != w.now+200*ms {
		t.Errorf("from %v to %v", begin-w.now, end-w.now)
	}
}

func TestHandshakeIsWorkAndWait(t *testing.T) {
	w, _ := still(t, func(s *scenario.Scenario) { s.Server.HandshakeMs = 20 })
	first := w.send(0, 0, "0000000000000001", 10*ms, "")
	w.until(29 * ms)
	if first.over {
		t.Error("the first request on a connection is done before the handshake and its work")
	}
	w.until(32 * ms)
	if !first.over {
		t.Error("the first request is not done after the handshake and its work")
	}
	second := w.send(0, 0, "0000000000000002", 10*ms, "")
	w.until(44 * ms)
	if !second.over || w.servers[0].handshake != 1 {
		t.Errorf("the second is done: %v, after %d handshakes, want one", second.over, w.servers[0].handshake)
	}
}

// A pod runs a key once: its repeat is answered when the first is done, by the other server, for no work. A first that dies
// undone leaves nothing to drop.
func TestPodDropsRepeats(t *testing.T) {
	w, m := still(t, nil)
	w.send(0, 0, "0000000000000001", 100*ms, "k")
	w.until(10 * ms)
	repeat := w.send(1, 1, "0000000000000002", 100*ms, "k")
	w.until(99 * ms)
	if repeat.over {
		t.Error("a repeat is answered before the first is done")
	}
	w.until(102 * ms)
	if m[1].results()["0000000000000002"] != saltmast.OK || w.servers[1].life.earliest() > w.now {
		t.Error("a repeat is not answered with the first, or was run")
	}
	w.send(0, 0, "0000000000000003", 100*ms, "lost")
	w.until(110 * ms)
	w.servers[0].kill()
	again := w.send(1, 1, "0000000000000004", 100*ms, "lost")
	w.until(205 * ms)
	if again.over {
		t.Error("what died undone passes for done")
	}
	w.until(213 * ms)
	if m[1].results()["0000000000000004"] != saltmast.OK {
		t.Error("what died undone is not run again")
	}
}

func TestConnectionsAreKeptAndEnd(t *testing.T) {
	w, m := still(t, nil)
	s, a := w.servers[0], w.agents[0]
	w.send(0, 0, "0000000000000001", ms, "")
	w.until(5 * ms)
	w.send(0, 0, "0000000000000002", ms, "")
	w.until(10 * ms)
	if s.handshake != 1 || s.open != 1 || len(a.conns) != 1 {
		t.Errorf("%d handshakes, %d open, %d kept: a kept connection is not used again", s.handshake, s.open, len(a.conns))
	}
	// It goes after three quarters of the time for which the server keeps it.
	w.until(5990 * ms)
	if s.open != 1 {
		t.Error("gone early")
	}
	w.until(6010 * ms)
	if s.open != 0 || len(a.conns) != 0 {
		t.Errorf("%d open, %d kept after its time", s.open, len(a.conns))
	}
	// Over the server's bound of three a connection comes up, turns its request away and closes.
	for i := range 4 {
		w.send(0, 0, fmt.Sprintf("%016x", 16+i), 50*ms, "")
	}
	w.until(6030 * ms)
	if got := m[0].results()["0000000000000013"]; got != saltmast.Full || s.open != 3 || s.most != 4 {
		t.Errorf("over the bound: %v, %d open, %d at the most", got, s.open, s.most)
	}
	// The death of the process resets those in use, and nobody keeps one to it.
	s.kill()
	w.until(6040 * ms)
	for i := range 3 {
		if got := m[0].results()[fmt.Sprintf("%016x", 16+i)]; got != saltmast.Reset {
			t.Errorf("request %d: %v, want a reset", i, got)
		}
	}
	if c := a.take(s.ident.no); c != nil || s.open != 0 {
		t.Error("a connection to a dead process is kept")
	}
	w.send(0, 0, "0000000000000099", ms, "")
	w.until(6050 * ms)
	if got := m[0].results()["0000000000000099"]; got != saltmast.ConnectFailed {
		t.Errorf("a dead process: %v, want no connection", got)
	}
}

// A silent machine: what it has times out, idle connections to it go, and a new one fails by the connect time-out.
func TestSilentMachine(t *testing.T) {
	w, m := still(t, nil)
	s := w.servers[0]
	w.send(0, 0, "0000000000000001", ms, "")
	w.until(5 * ms)
	s.silence()
	w.send(0, 0, "0000000000000002", ms, "")
	dial := w.send(0, 0, "0000000000000003", ms, "") // the one kept connection is in use
	w.until(w.settings.ConnectTimeout + 4*ms)
	if dial.over {
		t.Error("a dial to a silent machine ends before its time-out")
	}
	w.until(w.settings.ConnectTimeout + 7*ms + tick)
	if m[0].results()["0000000000000003"] != saltmast.ConnectFailed {
		t.Error("a dial to a silent machine does not fail")
	}
	w.until(5005*ms + tick)
	if m[0].results()["0000000000000002"] != saltmast.TimedOut {
		t.Errorf("what a silent machine has: %v", m[0].results()["0000000000000002"])
	}
}

// The list works through calls in turn, a tenth of a second each here, and turns away what would wait too long.
func TestListTurns(t *testing.T) {
	w, m := still(t, nil)
	l, at := &w.list, map[int]time.Duration{}
	for range 5 {
		l.subscribe(w.agents[0], 1, -1)
	}
	for d := ms; d < 700*ms; d += ms {
		w.until(d)
		if n := len(m[0].lists()); at[n] == 0 {
			at[n] = d
		}
	}
	var kinds []saltmast.ListKind
	for _, e := range m[0].lists()[1:] { // after the cached one
		kinds = append(kinds, e.Kind)
	}
	full := 0
	for _, k := range kinds {
		if k == saltmast.ListFull {
			full++
		}
	}
	// The calls of 100 lines wait 0, 100, 200, 300 and 400 ms; 300 is the most.
	if len(kinds) != 5 || full != 4 || kinds[0] != saltmast.ListFailed {
		t.Errorf("of five calls %v, want the fifth turned away at once and four whole lists", kinds)
	}
	if l.calls != 5 || l.failed != 1 || l.lines != 4*2 {
		t.Errorf("%d calls, %d failed, %d lines", l.calls, l.failed, l.lines)
	}
}

// A change is passed on at the next period, to watches alone; a call that continues a version gets what came since; one that is
// out of reach ends all watches.
func TestListChanges(t *testing.T) {
	w, m := still(t, nil)
	l, id := &w.list, w.servers[0].ident.id
	l.subscribe(w.agents[0], 1, -1)
	w.until(250 * ms)
	l.learn(&scenario.Step{ID: id, State: "DRAINING"})
	w.until(299 * ms)
	if n := len(m[0].lists()); n != 2 {
		t.Errorf("%d lists before the period has passed, want the cached one and the watch's first", n)
	}
	w.until(320 * ms)
	all := m[0].lists()
	last := all[len(all)-1]
	if last.Kind != saltmast.ListDelta || len(last.Backends) != 1 || last.Backends[0].State != saltmast.Draining {
		t.Errorf("told %+v", last)
	}
	if w.agents[0].serving(w.servers[0].ident) || !w.agents[1].serving(w.servers[0].ident) {
		t.Error("who watches may still send to what drains, or who does not has heard of it")
	}
	l.subscribe(w.agents[1], 1, 2) // knew both servers
	w.until(500 * ms)
	all = m[1].lists()
	if last = all[len(all)-1]; last.Kind != saltmast.ListDelta || len(last.Backends) != 1 {
		t.Errorf("a call that continues gets %+v", last)
	}
	l.goOut()
	w.until(510 * ms)
	for i := range m {
		if all = m[i].lists(); all[len(all)-1].Kind != saltmast.ListFailed {
			t.Errorf("agent %d does not hear that its watch ended", i)
		}
	}
	l.learn(&scenario.Step{ID: id, State: "DELETED"})
	if len(l.shown) != 1 {
		t.Errorf("%d shown of one server that is left", len(l.shown))
	}
}

// What a client does after each end of a try.
func TestClientsTryAgain(t *testing.T) {
	for _, c := range []struct {
		how     outcome
		retries int
		again   bool
	}{{served, 2, false}, {refused, 2, true}, {refused, 0, false}, {failed, 2, false}, {broken, 1, true}, {left, 2, false}} {
		w, _ := still(t, func(s *scenario.Scenario) {
			s.Clients.Retries, s.Clients.Backoff, s.Clients.BackoffMs = c.retries, "fixed", 30
		})
		p := &scenario.Arrival{ID: "00000000000000aa", Budget: 1000, Class: 1}
		newJob(w, p)
		a := w.agents[0]
		a.answer(a.open[p.ID], c.how, 0)
		w.until(29 * ms)
		if n := len(a.open); n != 0 {
			t.Errorf("%v: tried again before its backoff", c.how)
		}
		w.until(32 * ms)
		if r := a.open[scenario.RetryID(p.ID, 1)]; (r != nil) != c.again || (w.ended == 1) == c.again {
			t.Errorf("end %v with %d retries: tried again %v, over %v", c.how, c.retries, r != nil, w.ended == 1)
		}
	}
}

// A killed agent: its connections leave the servers' tables, its clients try again, and the next life starts from the list as
// it was last told.
func TestAgentLives(t *testing.T) {
	w, m := still(t, func(s *scenario.Scenario) { s.Clients.Retries = 1; s.Clients.Backoff = "none" })
	a, s := w.agents[0], w.servers[0]
	w.send(0, 0, "0000000000000001", 50*ms, "")
	w.until(5 * ms)
	a.kill()
	if s.open != 0 {
		t.Errorf("%d open at the server", s.open)
	}
	w.until(60 * ms)
	if w.ended != 1 || w.r.Unsent != 1 {
		t.Errorf("%d requests over, %d of them by a try that found no agent", w.ended, w.r.Unsent)
	}
	if len(m[0].results()) != 0 {
		t.Error("a dead agent hears of outcomes")
	}
	w.list.learn(&scenario.Step{ID: s.ident.id, State: "DELETED"})
	if err := a.start(); err != nil {
		t.Fatal(err)
	}
	w.until(70 * ms)
	if heard := m[len(m)-1].lists(); len(heard) != 1 || heard[0].Kind != saltmast.ListCached || len(heard[0].Backends) != 2 {
		t.Errorf("a new life hears %+v first", heard)
	}
	if !a.up || a.life != 2 || !a.serving(s.ident) {
		t.Error("a new life does not begin with the list as last told")
	}
	a.stop()
	w.until(70*ms + acceptFor + 20*ms)
	if a.up {
		t.Error("an agent that was told to stop and has nothing goes on")
	}
}

// Whatever is drawn: each request has one end, each attempt one outcome, tables of connections agree on both sides, what may not
// be is not, and the modules' own bounds hold.
func TestLawsOfAnyFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := scenario.Draw(rapid.Uint64Range(1, 1000).Draw(t, "seed"), scenario.Size{Servers: rapid.IntRange(2, 10).Draw(t, "servers"),
			Agents: rapid.IntRange(1, 25).Draw(t, "agents"), ForS: 1.5, Rate: rapid.Float64Range(20, 700).Draw(t, "rate")})
		var keep []scenario.Fault
		for _, f := range s.Faults {
			if modelled[f.Kind] {
				keep = append(keep, f)
			}
		}
		s.Faults = keep
		s.Server.Connections = rapid.IntRange(2, 80).Draw(t, "connections")
		o := Options{Plan: scenario.MakePlan(s), Told: rapid.SampledFrom([]float64{0.33, 1, 3}).Draw(t, "told")}
		w, err := newWorld(o)
		if err != nil {
			t.Fatal(err)
		}
		if err := w.play(); err != nil {
			t.Fatal(err)
		}
		r := w.result()
		if got := r.Served + r.Refused + r.Failed + r.Unsent + r.Left; got != len(o.Plan.Arrivals) || r.Requests != got {
			t.Fatalf("%d ends of %d requests", got, len(o.Plan.Arrivals))
		}
		if r.Twice+r.Doubtful+r.Nets > 0 {
			t.Fatalf("%d twice, %d refusals in doubt, %d answers by the net", r.Twice, r.Doubtful, r.Nets)
		}
		if r.Attempts > r.Tries*s.Rules.MaxAttempts || r.Late > r.Served {
			t.Fatalf("%d attempts of %d tries, %d late of %d", r.Attempts, r.Tries, r.Late, r.Served)
		}
		outcomes := 0
		for _, n := range w.results {
			outcomes += n
		}
		if outcomes > r.Attempts {
			t.Fatalf("%d outcomes of %d attempts", outcomes, r.Attempts)
		}
		held := map[*server]int{}
		for _, a := range w.agents {
			if !a.up {
				continue
			}
			for c := range a.conns {
				if !c.dead && c.life.server.life == c.life {
					held[c.life.server]++
				}
			}
		}
		for i, s := range w.servers {
			if s.open != held[s] {
				t.Fatalf("server %d counts %d connections, agents hold %d", i, s.open, held[s])
			}
		}
	})
}
