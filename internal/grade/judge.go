package grade

import (
	"fmt"
	"slices"
	"time"
)

// The figures that the protocol page fixes; all others are settings and stand in Rules.
const (
	// SocketSlack is added to each time limit on sockets.
	SocketSlack = 50 * time.Millisecond
	// ToldAnyway after the list has something to tell it counts as told, whether or not it arrived.
	ToldAnyway = 6 * time.Second
	// KillSlack: a kill that follows a stop within this time leaves what it finds to the client.
	KillSlack = 700 * time.Millisecond
	// AfterFailedCall multiplies the time within which an agent must ask, after a call that failed.
	AfterFailedCall = 4
	// ColdSlack is the share by which a cold server's budget may be passed by chance; the heaviest request of the
	// window comes on top, since no agent is told a request's work.
	ColdSlack = 0.1
	// ColdAware is the share of the work that must come from agents who were told of the start.
	ColdAware = 2.0 / 3
	// LateLimit on the kit's own lateness at the 99th percentile: beyond half of the sockets' allowance its clocks
	// prove nothing, and the run is void.
	LateLimit = SocketSlack / 2
)

// Class is what the rules need to know of a class of requests.
type Class struct {
	Effect string // safe, keyed or unsafe
	Group  string // of keyed: all, or cell for one pod
	Window time.Duration
	Aim    time.Duration
	Worth  float64
}

// Rules are the figures of the rules on this installation.
type Rules struct {
	AnswerGrace  time.Duration
	DrainGrace   time.Duration
	AskWithin    time.Duration // 0: nothing counts as told for want of asking
	FallMultiple float64
	FallWindow   time.Duration
	Classes      map[string]Class
	Worst        time.Duration // length of the worst window; 10 s in service
	Length       time.Duration // of the load; 0: until the last request
}

// The four rules.
const (
	RuleLost  = "lost"  // exactly one final answer, in time, and nothing after it
	RuleTwice = "twice" // no effect twice, no refusal of what may have run
	RuleDrain = "drain" // nothing new to a server after it was told to drain or gone
	RuleCold  = "cold"  // no cold server pushed over
)

// Breach is one rule broken once.
type Breach struct {
	Rule    string        `json:"rule"`
	What    string        `json:"what"`
	At      time.Duration `json:"at_ns"` // from the start of the run
	Request string        `json:"request,omitempty"`
	Agent   string        `json:"agent,omitempty"`
	Server  string        `json:"server,omitempty"`
	Over    time.Duration `json:"over_ns,omitempty"` // by how much a time limit was passed
	Proof   []Event       `json:"proof"`

	from  time.Duration // when what is judged began, for the kit's own stalls
	timed bool          // a time limit decides; the kit's own lateness could stand behind it
}

// try is one request as the agent got it.
type try struct {
	sent     Event
	attempts []attempt
	answers  []Event
	extra    []Event
	broken   *Event   // the last
	breaks   []*Event // all: a kept connection may break, and the one after it
	left     *Event
	overdue  *Event
}

type attempt struct {
	Event
	reject *Event
	reply  *Event
}

// life is one process of an agent.
type life struct {
	up, stop, kill, exit *Event
}

// judge holds the state of one reading of the record.
type judge struct {
	rules  Rules
	end    time.Duration
	tries  map[string]*try
	order  []*try
	lives  map[string][]*life
	stalls []Event
	halts  map[string][]Event // of agents, each followed by its wake
	list   knowledge
	views  map[string]*view
	cold   map[string]*incarnation
	found  []Breach
	doubts []doubt
	tally  tally
}

// Judge reads a record, in order, and judges it. A record that ends early is judged as far as it goes: what is
// still open at its end is not held against anyone.
func Judge(rules Rules, record []Event) *Report {
	j := &judge{rules: rules, tries: map[string]*try{}, lives: map[string][]*life{}, halts: map[string][]Event{}, views: map[string]*view{},
		cold: map[string]*incarnation{}, list: knowledge{by: map[string]known{}, in: true}, tally: newTally(rules)}
	// A client notes a try once its last byte is written; a quick agent may have sent it on by then.
	for i := range record {
		if e := &record[i]; e.Kind == Sent && j.tries[e.Request] == nil {
			t := &try{sent: *e}
			j.tries[e.Request] = t
			j.order = append(j.order, t)
		}
	}
	for i := range record {
		j.take(&record[i])
	}
	j.settleDoubts()
	for _, t := range j.order {
		j.one(t)
	}
	for agent, lives := range j.lives {
		j.crashed(agent, lives)
	}
	return j.report()
}

func (j *judge) breach(b Breach) { j.found = append(j.found, b) }

// take reads one event.
func (j *judge) take(e *Event) {
	j.end = max(j.end, e.At)
	j.tally.take(e)
	t := j.tries[e.Request]
	switch e.Kind {
	case Attempt:
		if t == nil {
			return // the record was cut
		}
		t.attempts = append(t.attempts, attempt{Event: *e})
		j.drains(t.sent.Agent, e)
		j.pushes(t.sent.Agent, e)
	case Reject, Reply:
		if t == nil {
			return
		}
		for i := range t.attempts {
			if a := &t.attempts[i]; a.N == e.N {
				if e.Kind == Reject {
					a.reject = e
				} else {
					a.reply = e
				}
			}
		}
	case Answer:
		if t != nil {
			t.answers = append(t.answers, *e)
		}
	case Extra:
		if t != nil {
			t.extra = append(t.extra, *e)
		}
	case Broken:
		if t != nil {
			t.broken = e
			t.breaks = append(t.breaks, e)
		}
	case Left:
		if t != nil {
			t.left = e
		}
	case Overdue:
		if t != nil {
			t.overdue = e
		}
	case Started:
		j.cold[e.Server] = &incarnation{start: e}
	case Knows, ListOut, ListIn:
		j.list.take(e)
	case Told, Watching, Unwatched, Call:
		j.viewOf(e.Agent).take(e)
	case AgentUp:
		j.viewOf(e.Agent).take(e)
		j.lives[e.Agent] = append(j.lives[e.Agent], &life{up: e})
	case AgentHalt, AgentWake:
		j.halts[e.Agent] = append(j.halts[e.Agent], *e)
	case AgentStop, AgentKill, AgentExit:
		if l := j.lives[e.Agent]; len(l) > 0 {
			switch last := l[len(l)-1]; e.Kind {
			case AgentStop:
				last.stop = e
			case AgentKill:
				last.kill = e
			default:
				last.exit = e
			}
		}
	case Stall:
		j.stalls = append(j.stalls, *e)
	}
}

func (j *judge) viewOf(agent string) *view {
	v := j.views[agent]
	if v == nil {
		v = &view{by: map[string]Entry{}, ok: map[string]time.Duration{}, revoked: map[string]*Event{},
			oks: map[string][]time.Duration{}}
		j.views[agent] = v
	}
	return v
}

// one judges a request by the first two rules.
func (j *judge) one(t *try) {
	s := t.sent
	limit := s.At + s.Budget + j.rules.AnswerGrace + SocketSlack
	of := func(rule, what string, at time.Duration, proof ...Event) Breach {
		return Breach{Rule: rule, What: what, At: at, Request: s.Request, Agent: s.Agent, from: s.At,
			Proof: append([]Event{s}, proof...)}
	}
	final := time.Duration(-1) // when it was over for the agent
	switch {
	case len(t.answers) > 0:
		a := t.answers[0]
		final = a.At
		if a.At > limit && !j.halted(s.Agent, s.At, a.At) {
			b := of(RuleLost, "the final answer came late", a.At, a)
			b.Over, b.timed = a.At-limit, true
			j.breach(b)
		}
		for _, second := range t.answers[1:] {
			j.breach(of(RuleLost, "a second final answer", second.At, a, second))
		}
		for _, x := range t.extra {
			j.breach(of(RuleLost, "something followed the final answer", x.At, a, x))
		}
		if a.Status == 200 && !slices.ContainsFunc(t.attempts, func(at attempt) bool {
			return at.reply != nil && at.reply.Status == 200 && at.reply.Digest == a.Digest && at.reply.Seq < a.Seq
		}) {
			j.breach(of(RuleLost, "served with what no server made for it", a.At, a))
		}
	case t.left != nil:
		final = t.left.At
	case t.broken != nil:
		final = t.broken.At
		// A connection that the agent closes with nothing sent on for the request fails it; clients send such a
		// one again. What was sent on is owed an answer, unless the process was killed.
		if n := len(t.attempts); n > 0 && !j.killed(s.Agent, s.At, t.broken.At+SocketSlack) {
			j.breach(of(RuleLost, "the connection ended with no whole answer", t.broken.At, t.attempts[n-1].Event, *t.broken))
		}
	case t.overdue != nil:
		final = limit
		if !j.killed(s.Agent, s.At, limit) && !j.halted(s.Agent, s.At, limit) {
			b := of(RuleLost, "no final answer in time", limit, *t.overdue)
			b.Over, b.timed = t.overdue.At-limit+SocketSlack, true
			j.breach(b)
		}
	}
	j.after(t, final, of)
	j.twice(t, of)
}

// after looks for what went out once a request was over.
func (j *judge) after(t *try, final time.Duration, of func(string, string, time.Duration, ...Event) Breach) {
	if final < 0 {
		return
	}
	for _, a := range t.attempts {
		if over := a.First - final - SocketSlack; over > 0 {
			b := of(RuleLost, "sent to a server after the request was over", a.First, append(t.answers, a.Event)...)
			b.Server, b.Over, b.timed, b.from = a.Server, over, true, final
			j.breach(b)
		}
	}
}

// twice judges a request by what may have run.
func (j *judge) twice(t *try, of func(string, string, time.Duration, ...Event) Breach) {
	class := j.rules.Classes[t.sent.Class]
	if class.Effect == "safe" {
		return
	}
	// mayHaveRun: no rejection of a came before the event numbered seq.
	mayHaveRun := func(a attempt, seq int) bool { return a.reject == nil || a.reject.Seq > seq }
	for i, a := range t.attempts {
		for _, earlier := range t.attempts[:i] {
			if !mayHaveRun(earlier, a.Seq) || j.clientsOwn(t, earlier, a) {
				continue
			}
			b := of(RuleTwice, "", a.First, earlier.Event, a.Event)
			b.Server, b.from = a.Server, earlier.First
			switch {
			case class.Effect == "unsafe":
				b.What = "sent again though it may have run, and must not run twice"
			case class.Group != "all" && a.Pod != earlier.Pod:
				b.What = "sent again to another pod though it may have run"
			case a.First-earlier.First > class.Window+SocketSlack:
				b.What = "sent again after the window in which its pod drops repeats"
				b.Over, b.timed = a.First-earlier.First-class.Window-SocketSlack, true
			default:
				continue
			}
			j.breach(b)
			break
		}
	}
	if len(t.answers) == 0 || class.Effect == "keyed" && class.Group == "all" {
		return
	}
	if a := t.answers[0]; a.Status == 429 || a.Status == 503 {
		for _, at := range t.attempts {
			if mayHaveRun(at, a.Seq) {
				b := of(RuleTwice, "refused though it may have run", max(a.At, at.First), at.Event, a)
				b.Server = at.Server
				j.breach(b)
				return
			}
		}
	}
}

// clientsOwn reports whether an attempt is the client's own repeat of an earlier one: the process that made that was killed, the
// client's kept connection ended with nothing on it, and the client sent the request once more, as clients do with those. What
// comes of it is between client and server: the process that sent it on knows nothing of the one before.
func (j *judge) clientsOwn(t *try, earlier, a attempt) bool {
	for _, b := range t.breaks {
		if earlier.First <= b.At && b.At <= a.First && j.killed(t.sent.Agent, t.sent.At, b.At+SocketSlack) {
			return true
		}
	}
	return false
}

// killed reports whether the process that took a request at a time was killed before another: what it held then
// is the client's to send again. A stop that was asked for is no excuse, unless the kill followed at once.
func (j *judge) killed(agent string, taken, by time.Duration) bool {
	var l *life
	for _, x := range j.lives[agent] {
		if x.up.At <= taken {
			l = x
		}
	}
	if l == nil || l.kill == nil || l.kill.At > by {
		return false
	}
	return l.stop == nil || l.kill.At-l.stop.At <= KillSlack
}

// halted reports whether a process was stopped for some of a span: what it should have said then it could not, and no
// agent can help that. What it does once it wakes is judged like all else.
func (j *judge) halted(agent string, from, to time.Duration) bool {
	for i, e := range j.halts[agent] {
		if e.Kind != AgentHalt || e.At > to {
			continue
		}
		if i+1 == len(j.halts[agent]) || j.halts[agent][i+1].At+SocketSlack >= from {
			return true
		}
	}
	return false
}

// crashed looks for processes that ended unasked, or with a status that says so.
func (j *judge) crashed(agent string, lives []*life) {
	for _, l := range lives {
		if l.exit == nil || l.kill != nil {
			continue
		}
		what := ""
		switch {
		case l.stop == nil:
			what = fmt.Sprintf("the agent ended by itself, with status %d", l.exit.Status)
		case l.exit.Status != 0:
			what = fmt.Sprintf("the agent was told to stop and ended with status %d", l.exit.Status)
		default:
			continue
		}
		j.breach(Breach{Rule: RuleLost, What: what, At: l.exit.At, Agent: agent, Proof: []Event{*l.up, *l.exit}})
	}
}
