package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"saltmast"
)

// agent is one agent: the module, its timers, its connections and its table of requests, as package core and package
// upstream have them round sockets.
type agent struct {
	w       *world
	no      int
	life    int // counts its starts
	up      bool
	closing bool // was told to stop and takes no more
	bal     Decider
	pending []saltmast.Event
	last    time.Duration // of the last step
	due     bool          // a step is set
	open    map[string]*try
	taken   int
	clients int // connections of its clients that are busy
	states  []saltmast.BackendState
	known   []entry // what it was told, in order; kept through restarts, as the platform's configuration is
	version int     // entries of the list's log that it was told; -1: none in this life
	watch   *watch
	links   map[int][]*conn // idle ones by identity, the last used last
	conns   map[*conn]bool
	down    map[int]time.Duration // by identity: when it was first told that a server drains or is gone
}

// conn is one connection of an agent to a server.
type conn struct {
	a       *agent
	ident   *identity
	life    *life
	since   time.Duration // idle from then on
	ready   time.Duration // the handshake is done
	crowded bool          // over the server's bound: it turns the first request away and closes
	dead    bool
	busy    *attempt
}

// attempt is one that was sent.
type attempt struct {
	r     *try
	no    int
	a     *agent
	life  int
	ident *identity
	c     *conn
	sent  time.Duration
	over  bool
}

func (a *agent) zone() int { return a.w.zoneOf(a.no) }

// is reports whether the agent is still in that life.
func (a *agent) is(life int) bool { return a.up && a.life == life }

// start begins a life with the list as it was last told.
func (a *agent) start() error {
	if a.up {
		a.kill()
	}
	a.life++
	s := a.w.settings
	s.Self, s.MaxOpen = min(a.no, s.Balancers-1), openRequests
	s.Zone = a.zone()
	decide := a.w.o.Decide
	if a.w.o.Late || a.w.o.Blind {
		decide = func(_ saltmast.Settings, seed uint64) (Decider, error) { return newLate(a, seed), nil }
	}
	bal, err := decide(s, rand.New(rand.NewPCG(a.w.s.Seed, uint64(a.no)<<20|uint64(a.life))).Uint64())
	if err != nil {
		return fmt.Errorf("model: agent %d: %w", a.no, err)
	}
	a.up, a.closing, a.bal = true, false, bal
	a.pending, a.due, a.last = nil, false, a.w.now-tick
	a.open, a.taken, a.clients = map[string]*try{}, 0, 0
	a.links, a.conns = map[int][]*conn{}, map[*conn]bool{}
	a.states, a.version, a.watch = nil, -1, nil
	a.down = map[int]time.Duration{}
	if a.known == nil {
		a.known = append([]entry(nil), a.w.list.log...)
	}
	a.apply(a.known, true)
	a.event(saltmast.List{Kind: saltmast.ListCached, Backends: backends(a.known)})
	return nil
}

// backends are entries as the module hears of them.
func backends(news []entry) []saltmast.Backend {
	last := map[*identity]int{}
	for i, e := range news {
		last[e.ident] = i
	}
	var out []saltmast.Backend
	for i, e := range news {
		if last[e.ident] == i { // of several changes to one server the last counts
			out = append(out, saltmast.Backend{ID: e.ident.id, State: e.state, Zone: e.ident.zone, Cell: e.ident.pod, Weight: 1, Started: e.started})
		}
	}
	return out
}

// apply keeps what was told, for attempts to look at right before their first byte, and retires connections.
func (a *agent) apply(news []entry, full bool) {
	if full {
		a.states = a.states[:0]
	}
	for _, e := range news {
		for len(a.states) <= e.ident.no {
			a.states = append(a.states, saltmast.Gone)
		}
		if a.states[e.ident.no] == saltmast.Up && (e.state != saltmast.Up || e.started > 0) {
			a.closeIdle(e.ident.no)
		}
		a.states[e.ident.no] = e.state
	}
}

func (a *agent) serving(n *identity) bool {
	return n.no < len(a.states) && a.states[n.no] == saltmast.Up
}

func (a *agent) told(w *watch, news []entry, full bool) {
	a.watch, a.version = w, w.seen
	for _, e := range news {
		if _, known := a.down[e.ident.no]; e.state == saltmast.Up {
			delete(a.down, e.ident.no)
		} else if !known {
			a.down[e.ident.no] = a.w.now
		}
	}
	if deaf := a.w.o.Deaf; deaf > 0 {
		life := a.life
		a.w.after(deaf, func() {
			if a.is(life) {
				a.hear(news, full)
			}
		})
		return
	}
	a.hear(news, full)
}

// hear acts on what was told.
func (a *agent) hear(news []entry, full bool) {
	kind := saltmast.ListDelta
	if full {
		kind = saltmast.ListFull
		a.known = nil
	}
	a.known = append(a.known, news...)
	a.apply(news, full)
	a.event(saltmast.List{Kind: kind, Backends: backends(news)})
}

func (a *agent) listFailed() { a.event(saltmast.List{Kind: saltmast.ListFailed}) }

// event hands the module something; steps come a tick apart, and what happens meanwhile makes one batch.
func (a *agent) event(e saltmast.Event) {
	a.pending = append(a.pending, e)
	if a.due {
		return
	}
	a.due = true
	life := a.life
	a.w.at(a.last+tick, func() {
		if a.is(life) {
			a.step()
		}
	})
}

// step runs the module once and carries out what it says.
func (a *agent) step() {
	events := a.pending
	a.pending, a.due, a.last = nil, false, a.w.now
	for i, e := range events {
		if q, ok := e.(saltmast.Request); ok {
			if r := a.open[q.ID]; r != nil {
				q.TimeLeft = r.deadline - cutMargin - r.came - min(a.w.now-r.came, tick)
				r.cut = min(a.w.now+q.TimeLeft, r.deadline-2*netMargin)
				events[i] = q
			}
		}
	}
	for _, act := range a.bal.Step(a.w.now, events) {
		a.perform(act)
	}
}

func (a *agent) perform(act saltmast.Action) {
	w, life := a.w, a.life
	switch act := act.(type) {
	case saltmast.Send:
		a.send(act)
	case saltmast.Cancel:
		if r := a.open[act.Request]; r != nil && act.Attempt >= 0 && act.Attempt < len(r.attempts) {
			if t := r.attempts[act.Attempt]; !t.over {
				t.giveUp(saltmast.Cancelled)
			}
		}
	case saltmast.Refuse:
		a.answer(a.open[act.Request], refused, act.RetryAfter)
	case saltmast.Fail:
		a.answer(a.open[act.Request], failed, 0)
	case saltmast.SetTimer:
		w.after(act.After, func() {
			if a.is(life) {
				a.event(saltmast.TimerFired{Token: act.Token})
			}
		})
	case saltmast.Subscribe:
		w.list.subscribe(a, life, a.version)
	case saltmast.Unsubscribe, saltmast.FetchList, saltmast.SendToPeers, saltmast.Note:
		// The module asks for none of it where lists are watched and agents share nothing.
	case saltmast.Probe:
		w.probes++
	case saltmast.CloseIdle:
		if n := w.byID[act.Backend]; n != nil {
			a.closeIdle(n.no)
		}
	}
}

// answer gives a request its final answer, one and only.
func (a *agent) answer(r *try, how outcome, after time.Duration) {
	if r == nil || r.ended {
		return
	}
	if how == refused && (r.risky || r.out > 0) && a.w.s.Classes[r.job.plan.Class].Effect == "unsafe" {
		a.w.doubtful++
		a.w.broke(RuleRefusal, fmt.Sprintf("agent %d refused %s, which may have run", a.no, r.id))
	}
	r.ended = true
	a.taken--
	a.forget(r)
	a.clients--
	r.job.answered(r, how, after)
}

func (a *agent) forget(r *try) {
	if r.ended && r.out == 0 {
		delete(a.open, r.id)
	}
}

// send starts an attempt.
func (a *agent) send(act saltmast.Send) {
	w := a.w
	r, n := a.open[act.Request], w.byID[act.Backend]
	if r == nil || n == nil {
		return
	}
	t := &attempt{r: r, no: len(r.attempts), a: a, life: a.life, ident: n, sent: w.now}
	r.attempts = append(r.attempts, t)
	r.out++
	w.attempts++
	switch {
	case r.ended || t.no >= w.s.Rules.MaxAttempts || w.now >= r.cut:
		t.end(saltmast.NotSent)
		return
	case !a.serving(n):
		t.end(saltmast.ConnectFailed)
		return
	}
	w.at(r.cut, func() {
		if !t.over {
			t.giveUp(saltmast.TimedOut)
		}
	})
	if t.c = a.take(n.no); t.c != nil {
		t.write()
		return
	}
	w.connects++
	w.window(w.now).Connects++
	s := n.server
	trip := w.hop() + w.hop()
	switch {
	case s.life == nil || s.ident != n: // refused: nobody is there, or another one
		w.after(trip, func() { t.end(saltmast.ConnectFailed) })
	case s.life.silent || w.apart(a.zone(), n.zone):
		w.after(w.settings.ConnectTimeout, func() {
			if !t.over {
				a.closeIdle(n.no)
			}
			t.end(saltmast.ConnectFailed)
		})
	default:
		w.after(trip, func() {
			if t.over || !a.is(t.life) {
				return
			}
			if s.life == nil || s.life.silent || s.ident != n || w.apart(a.zone(), n.zone) {
				t.end(saltmast.ConnectFailed)
				return
			}
			t.c = &conn{a: a, ident: n}
			a.conns[t.c] = true
			s.life.accept(t.c)
			switch {
			case !a.serving(n): // it began to drain meanwhile
				a.release(t.c)
				t.c = nil
				t.end(saltmast.ConnectFailed)
			case r.ended:
				a.release(t.c)
				t.c = nil
				t.end(saltmast.NotSent)
			default:
				t.write()
			}
		})
	}
}

// write sends the request on its connection.
func (t *attempt) write() {
	w := t.a.w
	t.c.busy = t
	if told, down := t.a.down[t.ident.no]; down && w.now-told > w.settings.DrainGrace {
		w.broke(RuleDrain, fmt.Sprintf("agent %d wrote to server %s %v after it was told", t.a.no, t.ident.id, w.now-told))
	}
	if w.apart(t.a.zone(), t.ident.zone) {
		return // it never arrives, and nothing tells
	}
	budget := t.r.cut - w.now
	w.after(w.hop(), func() {
		if t.c != nil && t.c.life != nil {
			t.c.life.take(t.c, t, budget)
		}
	})
}

// end is the outcome of an attempt, one and only.
func (t *attempt) end(res saltmast.Result) {
	if t.over {
		return
	}
	t.over = true
	a := t.a
	if !a.is(t.life) {
		return
	}
	a.w.outcome(res)
	if c := t.c; c != nil {
		c.busy = nil
		if res == saltmast.Reset || res == saltmast.TimedOut || res == saltmast.Cancelled || c.crowded || c.dead {
			c.drop()
		} else {
			a.release(c)
		}
	}
	r := t.r
	r.out--
	r.risky = r.risky || !res.NeverRan() // turned away, it proves that nothing ran
	if res == saltmast.OK {
		a.answer(r, served, 0)
	}
	a.forget(r)
	a.event(saltmast.Outcome{Request: r.id, Attempt: t.no, Backend: t.ident.id, Result: res, Latency: a.w.now - t.sent, Done: r.ended})
}

// giveUp ends an attempt from the agent's side, which closes its connection.
func (t *attempt) giveUp(res saltmast.Result) {
	if t.c == nil && res == saltmast.TimedOut {
		res = saltmast.ConnectFailed // its last byte never left
	}
	if res == saltmast.TimedOut {
		t.a.closeIdle(t.ident.no)
	}
	t.end(res)
}

// ---- Connections ----

// take gives the most recently used idle connection that is good.
func (a *agent) take(no int) *conn {
	for idle := a.links[no]; len(idle) > 0; idle = a.links[no] {
		c := idle[len(idle)-1]
		a.links[no] = idle[:len(idle)-1]
		if !c.dead && a.w.now-c.since < a.keep() {
			return c
		}
		c.drop()
	}
	return nil
}

// keep is how long an idle connection is kept: it goes before the server closes it.
func (a *agent) keep() time.Duration { return a.w.settings.IdleClose * 3 / 4 }

func (a *agent) release(c *conn) {
	if c.dead || !a.serving(c.ident) {
		c.drop()
		return
	}
	c.since = a.w.now
	a.links[c.ident.no] = append(a.links[c.ident.no], c)
	since, life := c.since, a.life
	a.w.after(a.keep(), func() {
		if a.is(life) && !c.dead && c.busy == nil && c.since == since {
			c.drop()
		}
	})
}

func (a *agent) closeIdle(no int) {
	for _, c := range a.links[no] {
		c.drop()
	}
	delete(a.links, no)
}

// drop closes a connection from the agent's side.
func (c *conn) drop() {
	delete(c.a.conns, c)
	if c.dead {
		return
	}
	c.dead = true
	if c.life != nil && c.life.server.life == c.life {
		c.life.server.open--
	}
}

// reset is its end by the death of the process at the other side.
func (c *conn) reset() {
	if c.dead {
		return
	}
	c.dead = true
	if t := c.busy; t != nil {
		c.a.w.after(c.a.w.hop(), func() { t.end(saltmast.Reset) })
	}
}

// ---- Its own end ----

// kill ends the process: its connections break, and what it held is its clients' to try again.
func (a *agent) kill() {
	if !a.up {
		return
	}
	a.up = false
	if a.watch != nil {
		a.watch.over = true
	}
	for c := range a.conns { // the order is of no effect: each only leaves its server's count
		if !c.dead {
			c.dead = true
			if c.life != nil && c.life.server.life == c.life {
				c.life.server.open--
			}
		}
	}
	var held []*try
	for _, r := range a.open {
		if !r.ended {
			held = append(held, r)
		}
	}
	sortTries(held)
	for _, r := range held {
		r.ended = true
		r.job.answered(r, broken, 0)
	}
}

// stop is a planned end: it takes what comes for a moment, and ends when all is answered or its time is up.
func (a *agent) stop() {
	life := a.life
	if !a.up {
		return
	}
	a.w.after(acceptFor, func() {
		if !a.is(life) {
			return
		}
		a.closing = true
		var wait func()
		until := a.w.now + drainFor - acceptFor
		wait = func() {
			if !a.is(life) {
				return
			}
			if a.taken == 0 || a.w.now >= until {
				if a.taken > 0 {
					a.w.broke(RuleAnswer, fmt.Sprintf("agent %d ended as told with %d requests unanswered", a.no, a.taken))
				}
				a.kill()
				return
			}
			a.w.after(10*time.Millisecond, wait)
		}
		wait()
	})
}
