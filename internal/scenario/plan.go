package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"slices"
	"time"
)

// PlanVersion is the version of a plan's text form; it changes with any change of what a seed gives.
const PlanVersion = 1

// Plan is a scenario with everything drawn. Times are counted from the start of the rehearsal, when clients come.
type Plan struct {
	Scenario Scenario
	Servers  []Server
	Arrivals []Arrival // in the order of their times
	Steps    []Step    // in the order of their times
}

// Server is one auth server as it is at the start.
type Server struct {
	ID      string `json:"id"`
	Pod     int    `json:"pod"`
	SpeedPM int64  `json:"speed_pm"` // thousandths of a standard core
}

// Arrival is a client's first try of one request.
type Arrival struct {
	AtUs    int64  `json:"at_us"`
	Agent   int    `json:"agent"`
	Class   int    `json:"class"`
	ID      string `json:"id"`
	Key     string `json:"key,omitempty"` // of a keyed class
	Route   string `json:"route"`
	WorkUs  int64  `json:"work_us"`            // on a standard core
	Budget  int64  `json:"budget_ms"`          // how long the client waits for a try
	LeaveUs int64  `json:"leave_us,omitempty"` // an impatient client leaves after so long
	Honours bool   `json:"honours,omitempty"`  // it heeds Retry-After
	Hasty   bool   `json:"hasty,omitempty"`    // having left, it comes again at once
}

// At is the planned moment.
func (a Arrival) At() time.Duration { return time.Duration(a.AtUs) * time.Microsecond }

// What a step does.
const (
	DoSilence   = "silence"    // the machine says nothing any more
	DoKill      = "kill"       // the process dies
	DoStart     = "start"      // the process starts, cold, as ID at the same address
	DoMove      = "move"       // the process starts, cold, as ID at another address
	DoDrain     = "drain"      // the process takes nothing new
	DoSpoil     = "spoil"      // a fault of the answers begins; Fault tells which
	DoMend      = "mend"       // and ends
	DoTell      = "tell"       // the list learns of State
	DoListOut   = "list-out"   // the list is out of reach
	DoListIn    = "list-in"    // and back; AgeUs stale
	DoAgentKill = "agent-kill" // SIGKILL
	DoAgentStop = "agent-stop" // SIGTERM
	DoAgentGo   = "agent-start"
	DoHalt      = "halt"      // SIGSTOP
	DoWake      = "wake"      // SIGCONT
	DoPart      = "part"      // the fault begins in the network between agents
	DoHeal      = "heal"      // and ends
	DoCut       = "cut"       // zone Target is cut off
	DoJoin      = "join"      // and back
	DoListLate  = "list-late" // the list passes changes on AgeUs later; 0: as it should
)

// Step is one thing that happens to a server, the list or an agent.
type Step struct {
	AtUs   int64  `json:"at_us"`
	Do     string `json:"do"`
	Fault  int    `json:"fault"` // the one that it belongs to
	Target int    `json:"target"`
	ID     string `json:"id,omitempty"`    // of the server
	State  string `json:"state,omitempty"` // of tell: SERVING, DRAINING or DELETED
	AgeUs  int64  `json:"age_us,omitempty"`
}

// At is the planned moment.
func (s Step) At() time.Duration { return time.Duration(s.AtUs) * time.Microsecond }

// thousandths turns a figure of a scenario into a whole number: seconds into ms, ms into us.
func thousandths(v float64) int64 { return int64(math.Round(v * 1000)) }

// secondsUs turns seconds into microseconds.
func secondsUs(v float64) int64 { return int64(math.Round(v * 1e6)) }

// MakePlan draws all that a scenario leaves open. The scenario must have passed Check.
func MakePlan(s Scenario) *Plan {
	p := &Plan{Scenario: s}
	d := newDice(s.Seed, 2)
	for i := range s.Servers {
		speed := milli(thousandths(s.Server.Speed)) + d.normal().mul(milli(thousandths(s.Server.SpeedSpread))).mul(milli(thousandths(s.Server.Speed)))
		p.Servers = append(p.Servers, Server{ID: fmt.Sprintf("s-%08x", d.Uint32()), Pod: i / s.PodSize,
			SpeedPM: max(thousandths(s.Server.Speed)/4, speed.times(1000))})
	}
	p.arrive()
	p.fail(d)
	return p
}

// arrive draws every agent's stream and merges them.
func (p *Plan) arrive() {
	s := &p.Scenario
	skew, n := thousandths(s.Clients.Skew), int64(s.Agents)
	harmonic := int64(0)
	for i := range n {
		harmonic += 1_000_000 / (i + 1)
	}
	weights, sum := make([]int64, n), int64(0)
	for i := range n {
		weights[i] = (1000-skew)*1000 + skew*n*1_000_000/(i+1)*1000/harmonic
	}
	if busy := thousandths(s.Clients.BusyPart) * n / 1000; busy > 0 && s.Clients.BusyTimes > 0 {
		for _, i := range newDice(s.Seed, 8).Perm(int(n))[:busy] {
			weights[i] = max(1, weights[i]*thousandths(s.Clients.BusyTimes)/1000)
		}
	}
	for _, w := range weights {
		sum += w
	}
	total := int64(0)
	for _, c := range s.Classes {
		total += thousandths(c.Share)
	}
	for agent := range s.Agents {
		d := newDice(s.Seed, 100+uint64(agent))
		weight := weights[agent]
		end := secondsUs(s.ForS) * 1000 // ns
		for at := int64(0); ; {
			rate := max(1, s.rateAt(at/1000)*weight/sum) // in thousandths a second
			at += d.gap().times(1_000_000_000_000 / rate)
			if at >= end {
				break
			}
			a := Arrival{AtUs: at / 1000, Agent: agent, ID: fmt.Sprintf("%016x", d.Uint64()), Route: fmt.Sprintf("%016x", d.Uint64())}
			for pick := d.Int64N(total); ; a.Class++ {
				if pick -= thousandths(s.Classes[a.Class].Share); pick < 0 {
					break
				}
			}
			c := &s.Classes[a.Class]
			if c.Effect == Keyed {
				a.Key = fmt.Sprintf("%016x%016x", d.Uint64(), d.Uint64())
			}
			p.habits(&a, d)
			p.Arrivals = append(p.Arrivals, a)
		}
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int {
		if a.AtUs != b.AtUs {
			return int(a.AtUs - b.AtUs)
		}
		return a.Agent - b.Agent
	})
}

// rateAt is the rate of first tries at a time, in thousandths a second.
func (s *Scenario) rateAt(us int64) int64 {
	rate := thousandths(s.Rate)
	for _, u := range s.Surges {
		if from := secondsUs(u.AtS); us >= from && us < from+secondsUs(u.ForS) {
			rate = rate * thousandths(u.Times) / 1000
		}
	}
	return rate
}

// fail turns faults into steps. Faults of one server may overlap: it is down until the last of those that hold it
// down has ended, and what comes too late for the list to notice is not noticed.
func (p *Plan) fail(d dice) {
	s := &p.Scenario
	notice, silentNotice, add := thousandths(s.List.NoticeMs), thousandths(s.List.SilentNoticeMs), thousandths(s.List.AddMs)
	step := func(at int64, do string, fault, target int) { // a plain one
		p.Steps = append(p.Steps, Step{AtUs: at, Do: do, Fault: fault, Target: target})
	}
	type edge struct {
		at    int64
		begin bool
		fault int
	}
	edges := make([][]edge, s.Servers)
	for i, f := range s.Faults {
		begin := secondsUs(f.AtS)
		end := begin + secondsUs(f.ForS)
		switch On(f.Kind) {
		case "zone":
			step(begin, DoCut, i, f.Zone)
			step(end, DoJoin, i, f.Zone)
		case "list":
			if f.Kind == ListLate {
				p.Steps = append(p.Steps, Step{AtUs: begin, Do: DoListLate, Fault: i, AgeUs: secondsUs(f.AgeS)}, Step{AtUs: end, Do: DoListLate, Fault: i})
				continue
			}
			step(begin, DoListOut, i, 0)
			p.Steps = append(p.Steps, Step{AtUs: end, Do: DoListIn, Fault: i, AgeUs: secondsUs(f.AgeS)})
		case "agent":
			if Between(f.Kind) {
				step(begin, DoPart, i, 0)
				step(end, DoHeal, i, 0)
				continue
			}
			for _, a := range f.Agents {
				if f.Kind == Halt {
					step(begin, DoHalt, i, a)
					step(end, DoWake, i, a)
					continue
				}
				if f.Kind == Kill {
					step(begin, DoAgentKill, i, a)
				} else {
					step(begin, DoAgentStop, i, a)
				}
				step(end, DoAgentGo, i, a)
			}
		case "server":
			for _, t := range f.Servers {
				switch f.Kind {
				case Silent, Vanish, Cold, Drain, Replaced, Moved:
					edges[t] = append(edges[t], edge{begin, true, i}, edge{max(end, begin+1), false, i})
				default:
					step(begin, DoSpoil, i, t)
					step(end, DoMend, i, t)
				}
			}
		}
	}
	for t := range edges {
		slices.SortStableFunc(edges[t], func(a, b edge) int { return int(a.at - b.at) })
		id := p.Servers[t].ID
		down, drained := 0, false // faults that hold it down; whether it only drains so far
		said := int64(0)          // the list learns of one server's changes in their order
		tell := func(at, bound int64, fault int, id, state string) {
			if at = max(at, said); bound == 0 || at < bound {
				said = at
				p.Steps = append(p.Steps, Step{AtUs: at, Do: DoTell, Fault: fault, Target: t, ID: id, State: state})
			}
		}
		// back is when it next starts again, counted from an edge.
		back := func(from int) int64 {
			n := 0
			for _, e := range edges[t][from:] {
				if e.begin {
					n++
				} else if n--; n <= 0 {
					return e.at
				}
			}
			return math.MaxInt64
		}
		first := 0 // the edge with which it went down
		newID, move := "", false
		for k, e := range edges[t] {
			kind := s.Faults[e.fault].Kind
			if !e.begin {
				if down--; down > 0 {
					continue
				}
				if drained {
					step(e.at, DoKill, e.fault, t)
				}
				if newID != "" {
					tell(e.at, 0, e.fault, id, "DELETED") // at the latest: one address, one server
					id = newID
				}
				do := DoStart
				if move {
					do = DoMove
				}
				p.Steps = append(p.Steps, Step{AtUs: e.at, Do: do, Fault: e.fault, Target: t, ID: id})
				next := int64(0) // it may be down again before the list has heard
				if k+1 < len(edges[t]) {
					next = edges[t][k+1].at
				}
				tell(e.at+add, next, e.fault, id, "SERVING")
				newID, move, drained = "", false, false
				continue
			}
			down++
			if down == 1 {
				first = k
			}
			switch kind {
			case Replaced:
				newID = fmt.Sprintf("s-%08x", d.Uint32())
			case Moved:
				move = true
			}
			switch {
			case kind == Drain && down == 1:
				drained = true
				step(e.at, DoDrain, e.fault, t)
				tell(e.at+notice, back(first), e.fault, id, "DRAINING")
			case kind == Drain:
			case kind == Silent && (down == 1 || drained):
				drained = false
				step(e.at, DoSilence, e.fault, t)
				tell(e.at+silentNotice, back(first), e.fault, id, "DELETED")
			case down == 1 || drained:
				drained = false
				step(e.at, DoKill, e.fault, t)
				tell(e.at+notice, back(first), e.fault, id, "DELETED")
			}
		}
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int {
		if a.AtUs != b.AtUs {
			return int(a.AtUs - b.AtUs)
		}
		if a.Target != b.Target {
			return a.Target - b.Target
		}
		return 0
	})
}

// RetryID is the id of the nth further try of a request. It is as new as any.
func RetryID(id string, n int) string {
	return fmt.Sprintf("%016x", hash(fmt.Sprintf("%s#%d", id, n)))
}

func hash(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return h.Sum64()
}

// Chance is a number in [0, 1) that follows from a request and a purpose: a fault hits the same requests each time.
func Chance(id, purpose string) float64 {
	x := hash(id + purpose)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// WriteTo writes the plan as JSON lines: a head with the scenario, then servers, steps and arrivals.
func (p *Plan) WriteTo(w io.Writer) (int64, error) {
	out := &counter{w: bufio.NewWriterSize(w, 1<<16)}
	enc := json.NewEncoder(out)
	line := func(kind string, v any) { enc.Encode(map[string]any{kind: v}) }
	line("plan", map[string]any{"version": PlanVersion, "scenario": p.Scenario, "arrivals": len(p.Arrivals), "steps": len(p.Steps)})
	for _, s := range p.Servers {
		line("server", s)
	}
	for _, s := range p.Steps {
		line("step", s)
	}
	for _, a := range p.Arrivals {
		line("arrival", a)
	}
	if out.err == nil {
		out.err = out.w.Flush()
	}
	return out.n, out.err
}

// counter counts what is written and keeps the first error.
type counter struct {
	w   *bufio.Writer
	n   int64
	err error
}

func (c *counter) Write(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.w.Write(b)
	c.n += int64(n)
	c.err = err
	return n, err
}
