package model

import (
	"fmt"
	"time"

	"saltmast"
	"saltmast/internal/grade"
	"saltmast/internal/scenario"
)

// server is one address: a machine with cores, a queue, a table of connections, and one process at a time.
type server struct {
	w         *world
	ident     *identity
	speed     float64 // of a standard core
	life      *life   // nil: no process
	fell      bool
	swallow   *scenario.Fault
	slow      *scenario.Fault
	errors    *scenario.Fault
	resets    *scenario.Fault
	lost      *scenario.Fault
	wasOut    bool          // it was away at some time ...
	back      time.Duration // ... and back from then on
	recent    int           // requests in the last quarter of the run
	open      int
	most      int
	handshake int
	requests  int
}

// life is one process.
type life struct {
	server   *server
	started  time.Duration
	cold     bool
	silent   bool
	draining bool
	free     []time.Duration // when each core is done with what it has
	waiting  []time.Duration // when those that wait begin, in order
	pushes   []pushed
	conns    []*conn // in the order in which they came up; dead ones are swept out now and then
}

type pushed struct{ at, work time.Duration }

func newServer(w *world, p scenario.Server) *server {
	s := &server{w: w, speed: float64(p.SpeedPM) / 1000}
	s.identify(p.ID, p.Pod)
	s.begin(false)
	return s
}

func (s *server) identify(id string, pod int) {
	if n := s.w.byID[id]; n != nil {
		s.ident = n
		return
	}
	s.ident = &identity{id: id, no: len(s.w.byID), server: s, pod: pod, zone: s.w.zoneOf(pod)}
	s.w.byID[id] = s.ident
}

func (s *server) begin(cold bool) {
	s.life = &life{server: s, started: s.w.now, cold: cold, free: make([]time.Duration, s.w.s.Server.Cores)}
}

func (s *server) restart(id string) {
	s.kill()
	if s.fell {
		return // it stays down
	}
	s.identify(id, s.ident.pod)
	s.wasOut, s.back = true, s.w.now
	s.begin(true)
	s.w.list.started[id] = s.w.now
}

// kill ends the process: its connections are reset, what it had not done is undone.
func (s *server) kill() {
	n := s.life
	if n == nil {
		return
	}
	s.life = nil
	for _, c := range n.conns {
		c.reset()
	}
	s.open = 0
}

func (s *server) silence() {
	if s.life != nil {
		s.life.silent = true
	}
}

func (s *server) drain() {
	if s.life != nil {
		s.life.draining = true
	}
}

func (s *server) spoil(f *scenario.Fault, on bool) {
	var of **scenario.Fault
	switch f.Kind {
	case scenario.Swallow:
		of = &s.swallow
	case scenario.Slow:
		of = &s.slow
	case scenario.Errors:
		of = &s.errors
	case scenario.Lost:
		of = &s.lost
	default:
		of = &s.resets
	}
	*of = nil
	if on {
		*of = f
	}
}

// warmth is the share of its capacity that the process has at a time.
func (n *life) warmth(at time.Duration) float64 {
	c := &n.server.w.s.Server
	ramp := time.Duration(c.ColdMs * float64(time.Millisecond))
	if age := at - n.started; n.cold && age < ramp {
		return c.ColdFrom + (1-c.ColdFrom)*max(0, age.Seconds())/ramp.Seconds()
	}
	return 1
}

// schedule gives work to the core that is free first.
func (n *life) schedule(from, work time.Duration) (begin, end time.Duration) {
	core := 0
	for i, f := range n.free {
		if f < n.free[core] {
			core = i
		}
	}
	begin = max(from, n.free[core])
	end = begin + time.Duration(float64(work)/(n.server.speed*n.warmth(begin)))
	n.free[core] = end
	return begin, end
}

func (n *life) earliest() time.Duration {
	e := n.free[0]
	for _, f := range n.free {
		e = min(e, f)
	}
	return e
}

// accept takes a connection that has come up.
func (n *life) accept(c *conn) {
	s := n.server
	c.life = n
	s.open++
	s.most = max(s.most, s.open)
	s.handshake++
	c.crowded = s.open > s.w.s.Server.Connections
	c.ready = s.w.now
	if hs := time.Duration(s.w.s.Server.HandshakeMs * float64(time.Millisecond)); hs > 0 && !c.crowded {
		_, c.ready = n.schedule(s.w.now, hs)
	}
	if len(n.conns) > 2*s.open+16 { // mostly dead ones
		live := n.conns[:0]
		for _, o := range n.conns {
			if !o.dead {
				live = append(live, o)
			}
		}
		n.conns = live
	}
	n.conns = append(n.conns, c)
}

// take is a request that has come whole on a connection.
func (n *life) take(c *conn, a *attempt, budget time.Duration) {
	s, w := n.server, n.server.w
	s.requests++
	if w.now >= w.lastQuarter() {
		s.recent++
	}
	work := time.Duration(a.r.job.plan.WorkUs) * time.Microsecond
	// Every purpose has a draw of its own from the request's id, as in rehearsals: the same ones are hit each time.
	id := a.r.id
	switch {
	case s.life != n || n.silent:
		return
	case n.push(work):
		return // it has just fallen over
	case hits(s.swallow, "swallow", id):
		return
	}
	for len(n.waiting) > 0 && n.waiting[0] <= w.now {
		n.waiting = n.waiting[1:]
	}
	if queue := int(w.s.Server.QueuePerCore * float64(w.s.Server.Cores)); n.draining || c.crowded ||
		len(n.waiting) >= queue && n.earliest() > w.now {
		n.answer(c, a, w.now, saltmast.Full)
		return
	}
	if hits(s.slow, "slow", id) {
		work = time.Duration(float64(work) * max(1, s.slow.Times))
	}
	from := max(w.now, c.ready)
	c.ready = 0
	if start := max(from, n.earliest()); w.s.Server.DropsExpired && budget > 0 && start > w.now+budget {
		n.answer(c, a, start, saltmast.Full)
		return
	}
	key := a.r.job.plan.Key
	if e := w.effects[podKey{s.ident.pod, key}]; key != "" && e != nil && e.holds(w) {
		n.answer(c, a, max(w.now, e.end), saltmast.OK) // its pod knows it, and drops the repeat
		return
	}
	begin, end := n.schedule(from, work)
	if key != "" {
		w.effects[podKey{s.ident.pod, key}] = &effect{n, w.now, end, a.r.job.plan.Class}
	}
	if begin > w.now {
		n.waiting = append(n.waiting, begin)
	}
	res := saltmast.OK
	if w.s.Server.ErrorRate > 0 && scenario.Chance(id, "error-rate") < w.s.Server.ErrorRate || hits(s.errors, "errors", id) {
		res = saltmast.Errored
	}
	if hits(s.resets, "reset-before", id) {
		res = saltmast.Reset
	}
	n.answer(c, a, end, res)
}

// podKey is a key in the memory of a pod, which its servers share.
type podKey struct {
	pod int
	key string
}

// effect is the first of a keyed request in its pod.
type effect struct {
	by         *life
	first, end time.Duration
	class      int
}

// holds reports whether the pod still drops repeats of it: within its window, unless its server died before it was done.
func (e *effect) holds(w *world) bool {
	lost := e.by.silent || e.by.server.life != e.by
	return w.now < e.first+w.settings.Classes[e.class].Window && !(lost && w.now < e.end)
}

// answer sends an answer at a time, if the process lives to do it.
func (n *life) answer(c *conn, a *attempt, at time.Duration, res saltmast.Result) {
	w := n.server.w
	w.at(at, func() {
		if n.server.life != n || n.silent {
			return
		}
		// The work is done before a connection is reset; an error has run every other time, as in rehearsals.
		if res == saltmast.OK || res == saltmast.Reset || res == saltmast.Errored && scenario.Chance(a.r.id, "ran") < 0.5 {
			w.ran(a.r.job)
		}
		if w.apart(c.a.zone(), n.server.ident.zone) || res == saltmast.OK && hits(n.server.lost, "lost", a.r.id) {
			return // the connection stays as it is: nothing tells the agent
		}
		if c.dead { // the agent has given it up; the work is done all the same
			return
		}
		w.after(w.hop(), func() { a.end(res) })
	})
}

// push counts what reaches a cold process, turned away or not, and reports whether it has just fallen over.
func (n *life) push(work time.Duration) bool {
	w := n.server.w
	ramp := time.Duration(w.s.Server.ColdMs * float64(time.Millisecond))
	if !n.cold || w.now-n.started >= ramp {
		n.pushes = nil
		return false
	}
	window := w.settings.FallWindow
	n.pushes = append(n.pushes, pushed{w.now, work})
	for n.pushes[0].at <= w.now-window {
		n.pushes = n.pushes[1:]
	}
	var sum, heaviest time.Duration
	for _, p := range n.pushes {
		sum, heaviest = sum+p.work, max(heaviest, p.work)
	}
	can := n.server.speed * n.warmth(w.now) * float64(w.s.Server.Cores) * window.Seconds()
	share := (sum - heaviest).Seconds() / can
	w.coldest = max(w.coldest, share)
	if share <= w.s.Rules.FallMultiple*(1+grade.ColdSlack) {
		return false
	}
	w.fell++
	w.broke(RuleCold, fmt.Sprintf("server %s was sent %.2f times what it could do in %v", n.server.ident.id, share, window))
	n.server.fell = true
	n.server.kill()
	return true
}
