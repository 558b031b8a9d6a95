package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"saltmast"
	"saltmast/internal/scenario"
)

// Decider is the decision module; in service a *saltmast.Balancer.
type Decider interface {
	Step(now time.Duration, events []saltmast.Event) []saltmast.Action
}

// Options are one run.
type Options struct {
	Plan *scenario.Plan

	// Told is what the agents are told of their number, as a multiple of it; 0 stands for 1. An installation may be wrong.
	Told float64
	// HopUs is the mean time of one way between two machines, in microseconds, and HopCV its coefficient of variation.
	// Zero values stand for 30 and 0.3: loopback, as rehearsals have it.
	HopUs, HopCV float64
	// Decide makes the module of an agent's life; nil: the real one.
	Decide func(s saltmast.Settings, seed uint64) (Decider, error)
	// Late has a policy decide that sees the true state of all servers half a second late, and Blind one that sees
	// nothing, in place of Decide: what the module is held against. See late.go.
	Late, Blind bool
	// Deaf is how much later agents act on what the list told them; above 0 they are wrong on purpose.
	Deaf time.Duration
	// MaxEvents ends a run that does not end by itself; 0 stands for 500 million.
	MaxEvents int
}

// Figures of the agent round the module that bear on what it does, as package core and package upstream have them.
const (
	tick         = 5 * time.Millisecond
	cutMargin    = 20 * time.Millisecond
	netMargin    = 5 * time.Millisecond
	openRequests = 1024 / 3 // a third of the descriptors that a rehearsal allows
	acceptFor    = 500 * time.Millisecond
	drainFor     = 3200 * time.Millisecond
	clockStart   = time.Hour // what starts at 0 must not pass for "long ago"
	clientGrace  = 50 * time.Millisecond
)

// world is all of one run.
type world struct {
	o        Options
	s        *scenario.Scenario
	settings saltmast.Settings
	now      time.Duration
	queue
	net     distuv.LogNormal
	servers []*server
	byID    map[string]*identity
	list    list
	agents  []*agent
	effects map[podKey]*effect // of keyed requests
	cut     []bool             // zones that are cut off
	views   [][]view           // of the servers, the latest last; for Late
	score
}

// identity is a server as the list names it: one that is replaced has a new one.
type identity struct {
	id     string
	no     int // in order of appearance
	server *server
	pod    int
	zone   int
}

// Run plays a plan to its end.
func Run(o Options) (*Result, error) {
	w, err := newWorld(o)
	if err != nil {
		return nil, err
	}
	if err := w.play(); err != nil {
		return nil, err
	}
	return w.result(), nil
}

// newWorld is the fleet as it is when clients come, with all set that the plan holds.
func newWorld(o Options) (*world, error) {
	s := &o.Plan.Scenario
	if err := Supported(s); err != nil {
		return nil, err
	}
	if o.Told == 0 {
		o.Told = 1
	}
	if o.HopUs == 0 {
		o.HopUs, o.HopCV = 30, 0.3
	}
	if o.MaxEvents == 0 {
		o.MaxEvents = 500_000_000
	}
	if !(o.Told > 0 && o.Told <= 1000) || !(o.HopUs > 0 && o.HopUs <= 1e6) || !(o.HopCV >= 0 && o.HopCV <= 3) {
		return nil, fmt.Errorf("model: told %v, hop_us %v or hop_cv %v is out of its range", o.Told, o.HopUs, o.HopCV)
	}
	if o.Decide == nil {
		o.Decide = func(s saltmast.Settings, seed uint64) (Decider, error) { return saltmast.New(s, seed) }
	}
	w := &world{o: o, s: s, settings: Settings(s, 0, o.Told), now: clockStart, byID: map[string]*identity{}, effects: map[podKey]*effect{}}
	w.cut = make([]bool, max(1, s.Zones))
	// A lognormal with the mean and the coefficient of variation that are wanted.
	v := math.Log(1 + o.HopCV*o.HopCV)
	w.net = distuv.LogNormal{Mu: math.Log(o.HopUs) - v/2, Sigma: math.Sqrt(v), Src: rand.NewPCG(s.Seed, 7)}
	w.score.begin(w)
	for _, p := range o.Plan.Servers {
		w.servers = append(w.servers, newServer(w, p))
	}
	w.list.w = w
	w.list.begin()
	if o.Late {
		w.look()
	}
	for no := range s.Agents {
		w.agents = append(w.agents, &agent{w: w, no: no})
		if err := w.agents[no].start(); err != nil {
			return nil, err
		}
	}
	for i := range o.Plan.Steps {
		st := &o.Plan.Steps[i]
		w.at(clockStart+st.At(), func() { w.step(st) })
	}
	w.arrivals(0)
	return w, nil
}

// play brings one event after the other until all that was asked has ended.
func (w *world) play() error {
	for n := 0; len(w.heap) > 0; n++ {
		if n == w.o.MaxEvents {
			return fmt.Errorf("model: %d events and no end", n)
		}
		e := w.pop()
		w.now = e.at
		e.do()
		if w.over() {
			break
		}
	}
	return nil
}

// arrivals brings the planned first tries, one event for all that come at a time.
func (w *world) arrivals(next int) {
	all := w.o.Plan.Arrivals
	if next >= len(all) {
		return
	}
	at := clockStart + all[next].At()
	w.at(at, func() {
		for ; next < len(all) && clockStart+all[next].At() == at; next++ {
			newJob(w, &all[next])
		}
		w.arrivals(next)
	})
}

// over reports whether all that was asked has ended: what the fleet does afterwards is of no interest.
func (w *world) over() bool {
	return w.ended == len(w.o.Plan.Arrivals) && w.now > clockStart+time.Duration(w.s.ForS*1e9)
}

func (w *world) at(at time.Duration, do func()) { w.push(max(at, w.now), do) }

func (w *world) after(d time.Duration, do func()) { w.push(w.now+max(0, d), do) }

// hop is one way through the network.
func (w *world) hop() time.Duration {
	return time.Duration(w.net.Rand() * float64(time.Microsecond))
}

// zoneOf is where the pod or agent of a number stands.
func (w *world) zoneOf(no int) int { return no % len(w.cut) }

// apart reports whether nothing passes between two zones now.
func (w *world) apart(a, b int) bool { return a != b && (w.cut[a] || w.cut[b]) }

// step does what the plan has next.
func (w *world) step(st *scenario.Step) {
	f := &w.s.Faults[st.Fault]
	switch st.Do {
	case scenario.DoSilence:
		w.servers[st.Target].silence()
	case scenario.DoKill:
		w.servers[st.Target].kill()
	case scenario.DoStart, scenario.DoMove:
		w.servers[st.Target].restart(st.ID)
	case scenario.DoDrain:
		w.servers[st.Target].drain()
	case scenario.DoSpoil:
		w.servers[st.Target].spoil(f, true)
	case scenario.DoMend:
		w.servers[st.Target].spoil(f, false)
	case scenario.DoTell:
		w.list.learn(st)
	case scenario.DoListOut:
		w.list.goOut()
	case scenario.DoListIn:
		w.list.out = false
	case scenario.DoListLate:
		w.list.late = time.Duration(st.AgeUs) * time.Microsecond
	case scenario.DoCut, scenario.DoJoin:
		w.cut[st.Target] = st.Do == scenario.DoCut
	case scenario.DoAgentKill:
		w.agents[st.Target].kill()
	case scenario.DoAgentStop:
		w.agents[st.Target].stop()
	case scenario.DoAgentGo:
		if err := w.agents[st.Target].start(); err != nil {
			panic(err) // the same settings have made one before
		}
	}
}

// modelled are the faults that the model has.
var modelled = map[string]bool{scenario.Silent: true, scenario.Swallow: true, scenario.Vanish: true, scenario.Cold: true,
	scenario.Slow: true, scenario.Errors: true, scenario.Drain: true, scenario.Replaced: true, scenario.Moved: true,
	scenario.ListOut: true, scenario.Kill: true, scenario.Restart: true, scenario.ResetBefore: true,
	scenario.Cut: true, scenario.Lost: true, scenario.ListLate: true}

// Supported says what of a scenario the model has not, as a *scenario.Problem, or nil.
func Supported(s *scenario.Scenario) error {
	for i, f := range s.Faults {
		if !modelled[f.Kind] {
			return &scenario.Problem{Key: fmt.Sprintf("fault[%d].kind", i), Why: fmt.Sprintf("%q is not modelled: it is about bytes on a socket", f.Kind)}
		}
	}
	if s.Protocol != "" && s.Protocol != "http" {
		return &scenario.Problem{Key: "protocol", Why: "the model has no bytes; leave it out"}
	}
	if s.List.Pushed {
		return &scenario.Problem{Key: "list.pushed", Why: "pushed lists are not modelled yet"}
	}
	return nil
}

// Settings are what an agent is told, as a rehearsal tells it; told is the factor by which its number of agents is wrong.
func Settings(s *scenario.Scenario, me int, told float64) saltmast.Settings {
	ms := func(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
	out := saltmast.Settings{Balancers: max(1, int(math.Round(float64(s.Agents)*told))), Zones: 1, Kinds: 2, Subscribe: true, Tick: tick,
		MarksRetry: true, MaxAttempts: s.Rules.MaxAttempts, SecondCopies: true, MayProbe: true, MayCancel: true,
		MaxRetryAfter: 2 * time.Second, ConnectTimeout: ms(s.Rules.ConnectMs), IdleClose: ms(s.Server.IdleMs),
		DrainGrace: ms(s.Rules.DrainGraceMs), AnswerGrace: ms(s.Rules.AnswerGraceMs), AskWithin: ms(s.Rules.AskWithinMs),
		ColdShare: s.Server.ColdFrom, RampTime: ms(s.Server.ColdMs), FallMultiple: s.Rules.FallMultiple, FallWindow: ms(s.Rules.FallMs),
		GoalWhole: 0.55, GoalWindow: 0.35, GoalClass: 0.1, WastePrice: 0.04, LateFailPrice: 0.08, ProbePrice: 0.05,
		HandshakePrice: 0.05, ConnectionPrice: 0.05}
	out.Self = min(me, out.Balancers-1)
	if s.Zones > 1 {
		out.Zones, out.Zone, out.CrossZonePrice = s.Zones, me%s.Zones, 0.02
	}
	for _, c := range s.Classes {
		n := saltmast.Class{Aim: ms(c.AimMs), Deadline: ms(c.DeadlineMs), Worth: c.Worth}
		switch c.Effect {
		case scenario.Keyed:
			n.Effect, n.Group, n.Window = saltmast.Keyed, saltmast.GroupCell, ms(c.WindowMs)
		case scenario.Unsafe:
			n.Effect = saltmast.Unsafe
		}
		out.Classes = append(out.Classes, n)
	}
	return out
}
