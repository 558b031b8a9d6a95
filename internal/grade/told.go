package grade

import (
	"fmt"
	"slices"
	"time"
)

// knowledge is what the list itself has to tell, and since when.
type knowledge struct {
	by   map[string]known
	in   bool
	back time.Duration // when it came back last
}

type known struct {
	Entry
	since time.Duration
	event *Event
}

func (k *knowledge) take(e *Event) {
	switch e.Kind {
	case ListOut:
		k.in = false
	case ListIn:
		k.in, k.back = true, e.At
	case Knows:
		for _, n := range e.Entries {
			k.by[n.Server] = known{n, e.At, e}
		}
	}
}

// serves reports whether the list has a serving server at an address.
func (k *knowledge) serves(addr string) bool {
	for _, n := range k.by {
		if n.Addr == addr && n.State == Serving {
			return true
		}
	}
	return false
}

// view is the list as one agent was told it.
type view struct {
	by       map[string]Entry
	ok       map[string]time.Duration // addresses at which some server serves, as told; since when
	revoked  map[string]*Event        // addresses at which none does any more: the event that told so
	watching int
	asked    time.Duration              // when it last asked, or last had a watch
	failed   bool                       // its last call failed
	up       time.Duration              // of the process
	oks      map[string][]time.Duration // all that ok ever held
}

// doubt is an attempt to an address that was not allowed by the record so far. What an agent is told is noted
// once it is written, and the agent may have read it by then: a word that follows at once clears the attempt.
type doubt struct {
	b     Breach
	agent string
	addr  string
	first time.Duration
}

// settleDoubts decides on the doubts when all is read.
func (j *judge) settleDoubts() {
	for _, d := range j.doubts {
		cleared := slices.ContainsFunc(j.viewOf(d.agent).oks[d.addr], func(t time.Duration) bool {
			return t > d.b.from && t <= d.first+SocketSlack
		})
		if !cleared {
			j.breach(d.b)
		}
	}
}

func (v *view) take(e *Event) {
	switch e.Kind {
	case Watching:
		v.watching++
		v.asked, v.failed = e.At, false
		return
	case Unwatched:
		v.watching = max(0, v.watching-1)
		v.asked = e.At
		return
	case Call:
		v.asked, v.failed = e.At, e.Status != 200
		return
	case AgentUp:
		v.watching, v.asked, v.up, v.failed = 0, e.At, e.At, false
	}
	before := map[string]bool{}
	for _, n := range v.by {
		if n.State == Serving {
			before[n.Addr] = true
		}
	}
	if e.Full {
		clear(v.by)
	}
	for _, n := range e.Entries {
		if n.State == Deleted {
			delete(v.by, n.Server)
			continue
		}
		v.by[n.Server] = n
	}
	now := map[string]bool{}
	for _, n := range v.by {
		if n.State == Serving {
			now[n.Addr] = true
			if !before[n.Addr] {
				v.ok[n.Addr] = e.At
				v.oks[n.Addr] = append(v.oks[n.Addr], e.At)
				delete(v.revoked, n.Addr)
			}
		}
	}
	for addr := range before {
		if !now[addr] {
			delete(v.ok, addr)
			v.revoked[addr] = e
		}
	}
}

// drains judges an attempt by the third rule. What counts is the address: an agent may send to one at which some
// server serves as it was told, whatever became of the id that stood there before.
func (j *judge) drains(agent string, a *Event) {
	v := j.viewOf(agent)
	of := func(what string, over time.Duration, from time.Duration, proof ...Event) {
		j.doubts = append(j.doubts, doubt{Breach{Rule: RuleDrain, What: what, At: a.First, Request: a.Request, Agent: agent,
			Server: a.Server, Over: over, Proof: append(proof, *a), from: from, timed: true}, agent, a.Addr, a.First})
	}
	if told := v.revoked[a.Addr]; told != nil {
		limit := max(told.At, v.up) + j.rules.DrainGrace + SocketSlack
		if a.First > limit {
			of("new work for a server that the agent was told drains or is gone", a.First-limit, told.At, *told)
		}
		return
	}
	if _, ok := v.ok[a.Addr]; !ok {
		of("new work for an address that the agent was never told of", 0, a.First)
		return
	}
	j.countsAsTold(v, a, of)
}

// countsAsTold judges by what an agent was not told, and should have heard: the list has had it to tell for long
// enough, in reach throughout, and the agent did not ask or did not read.
func (j *judge) countsAsTold(v *view, a *Event, of func(string, time.Duration, time.Duration, ...Event)) {
	if !j.list.in || j.list.serves(a.Addr) {
		return
	}
	for id, n := range v.by {
		if n.Addr != a.Addr || n.State != Serving {
			continue
		}
		k, ok := j.list.by[id]
		if !ok || k.State == Serving && k.Addr == a.Addr {
			continue
		}
		since := max(k.since, j.list.back, v.up)
		told, how := since+ToldAnyway, "by 6 s"
		if v.watching == 0 && j.rules.AskWithin > 0 {
			within := j.rules.AskWithin
			if v.failed {
				within *= AfterFailedCall
			}
			if t := max(since, v.asked) + within; t < told {
				told, how = t, fmt.Sprintf("by not asking for %v", within)
			}
		}
		if limit := told + j.rules.DrainGrace + SocketSlack; a.First > limit {
			of("new work for a server that drains or is gone, which counts as told "+how, a.First-limit, since, *k.event)
		}
		return
	}
}

// incarnation is one process of a server, while it is cold.
type incarnation struct {
	start  *Event
	pushes []push // those within the window
	found  bool
}

type push struct {
	at    time.Duration
	work  time.Duration
	aware bool
	event *Event
}

// capacity is what it can do at a time, in standard cores, and whether it is still cold.
func (i *incarnation) capacity(at time.Duration) (float64, bool) {
	s := i.start
	age := at - s.At
	if s.ColdFrom <= 0 || s.ColdFrom >= 1 || age >= s.Ramp {
		return s.Capacity, false
	}
	return s.Capacity * (s.ColdFrom + (1-s.ColdFrom)*max(0, age.Seconds())/s.Ramp.Seconds()), true
}

// awareOf reports whether an agent was told of a start, or counts as told of it.
func (j *judge) awareOf(v *view, start *Event, at time.Duration) bool {
	if n, ok := v.by[start.Server]; ok && n.Started == start.Unix {
		return start.Unix != 0
	}
	k, ok := j.list.by[start.Server]
	return ok && k.Started == start.Unix && j.list.in && at >= max(k.since, j.list.back, v.up)+ToldAnyway
}

// pushes judges an attempt by the fourth rule: what all agents together have sent to a cold server within the
// window, against its budget.
func (j *judge) pushes(agent string, a *Event) {
	i := j.cold[a.Server]
	if i == nil || i.found || j.rules.FallMultiple <= 0 {
		return
	}
	capacity, cold := i.capacity(a.At)
	if !cold {
		i.pushes = nil
		return
	}
	v := j.viewOf(agent)
	i.pushes = append(i.pushes, push{a.At, a.Work, j.awareOf(v, i.start, a.At), a})
	i.pushes = slices.DeleteFunc(i.pushes, func(p push) bool { return p.at <= a.At-j.rules.FallWindow })
	var sum, aware, heaviest time.Duration
	for _, p := range i.pushes {
		sum += p.work
		heaviest = max(heaviest, p.work)
		if p.aware {
			aware += p.work
		}
	}
	budget := time.Duration(j.rules.FallMultiple * (1 + ColdSlack) * capacity * float64(j.rules.FallWindow))
	if sum <= budget+heaviest || float64(aware) < ColdAware*float64(sum) {
		return
	}
	i.found = true
	proof := []Event{*i.start}
	agents := map[string]bool{}
	for _, p := range i.pushes {
		proof = append(proof, *p.event)
		if t := j.tries[p.event.Request]; t != nil {
			agents[t.sent.Agent] = true
		}
	}
	j.breach(Breach{Rule: RuleCold, At: a.At, Server: a.Server, Proof: proof, from: i.start.At,
		What: fmt.Sprintf("a cold server got %v of work within %v from %d agents; %v is %.3g times what it can do then",
			sum.Round(time.Millisecond), j.rules.FallWindow, len(agents), budget.Round(time.Millisecond), j.rules.FallMultiple)})
}
