package model

import (
	"math/rand/v2"
	"time"

	"saltmast"
)

// What the module is held against: a policy that sees the true state of all servers, but late, and one that sees
// nothing. Both keep the rules. No real agent can be the first one; what it serves tells how much a day has to give.

const (
	lookEvery = 250 * time.Millisecond
	lookLate  = 500 * time.Millisecond // what is seen is so old, and up to lookEvery more
	lookAhead = time.Second            // work that fits in this span is room
	linked    = 40.0                   // times the room of others, for a server to which a connection stands: a new one is work
)

// coldPart of its room is given to a cold server: a heavy request or two push it over, and nobody sees how heavy they are.
const coldPart = 0.5

// view is a server as it was.
type view struct {
	up   bool
	cold bool
	can  float64       // seconds of work it does in a second
	wait time.Duration // of a request that comes now
}

// look takes the state of all servers, now and then.
func (w *world) look() {
	now := make([]view, len(w.servers))
	for i, s := range w.servers {
		if n := s.life; n != nil && !n.silent && !n.draining && s.swallow == nil {
			v := view{up: true, cold: n.warmth(w.now) < 1, can: s.speed * n.warmth(w.now) * float64(len(n.free)), wait: max(0, n.earliest()-w.now)}
			if s.slow != nil {
				v.can /= max(1, s.slow.Times)
			}
			now[i] = v
		}
	}
	w.views = append(w.views, now)
	if len(w.views) > int(lookLate/lookEvery)+1 {
		w.views = w.views[1:]
	}
	if w.now < clockStart+time.Duration(w.s.ForS*1e9) || w.ended < len(w.o.Plan.Arrivals) {
		w.after(lookEvery, w.look)
	}
}

// late decides for one agent.
type late struct {
	a     *agent
	rng   *rand.Rand
	asks  int64
	tries map[string]*lateTry
}

type lateTry struct {
	class, sent int
	ran         bool
	until       time.Duration
	anchor      int // the pod of the first attempt that may have run
}

func newLate(a *agent, seed uint64) *late {
	return &late{a: a, rng: rand.New(rand.NewPCG(seed, 1)), tries: map[string]*lateTry{}}
}

// Step implements Decider.
func (l *late) Step(now time.Duration, events []saltmast.Event) (out []saltmast.Action) {
	w := l.a.w
	for _, e := range events {
		switch e := e.(type) {
		case saltmast.List:
			switch e.Kind {
			case saltmast.ListCached:
				out = append(out, saltmast.Subscribe{})
			case saltmast.ListFailed:
				l.asks++
				out = append(out, saltmast.SetTimer{After: time.Duration(l.rng.Float64() * float64(2*time.Second)), Token: l.asks})
			}
		case saltmast.TimerFired:
			out = append(out, saltmast.Subscribe{})
		case saltmast.Request:
			r := &lateTry{class: e.Class, until: now + min(e.TimeLeft, w.settings.Classes[e.Class].Aim)}
			l.tries[e.ID] = r
			out = l.send(out, e.ID, r, now)
		case saltmast.Outcome:
			r := l.tries[e.Request]
			if r == nil {
				continue
			}
			if e.Done {
				delete(l.tries, e.Request)
				continue
			}
			if !e.Result.NeverRan() && !r.ran {
				r.ran, r.anchor = true, w.byID[e.Backend].pod
			}
			if r.ran && w.settings.Classes[r.class].Effect == saltmast.Unsafe || e.Result == saltmast.TimedOut || r.sent >= w.s.Rules.MaxAttempts || now >= r.until {
				out = l.end(out, e.Request, r)
				continue
			}
			out = l.send(out, e.Request, r, now)
		case saltmast.Abandoned:
			delete(l.tries, e.Request)
		}
	}
	return out
}

func (l *late) end(out []saltmast.Action, id string, r *lateTry) []saltmast.Action {
	delete(l.tries, id)
	if r.ran {
		return append(out, saltmast.Fail{Request: id})
	}
	return append(out, saltmast.Refuse{Request: id})
}

// send chooses by chance, each server by its room as it was seen; one that nothing is seen of has none. Where the wait is
// longer than the aim leaves, the request is refused.
func (l *late) send(out []saltmast.Action, id string, r *lateTry, now time.Duration) []saltmast.Action {
	w := l.a.w
	var best *server
	most := 0.0
	for i, s := range w.servers {
		if !l.a.serving(s.ident) || r.ran && s.ident.pod != r.anchor || w.o.Late && w.apart(l.a.zone(), s.ident.zone) {
			continue
		}
		room := 1.0
		if w.o.Late {
			v := w.views[0][i]
			if !v.up || now+v.wait >= r.until || v.cold && v.wait > 0 { // one that is cold gets nothing while it is busy
				continue
			}
			room = v.can * max(0.02, (lookAhead-v.wait).Seconds())
			if v.cold {
				room *= coldPart
			}
			if idle := l.a.links[s.ident.no]; len(idle) > 0 && !idle[len(idle)-1].dead && !v.cold {
				room *= linked
			}
		}
		// The least of exponential times is a choice by room.
		if x := l.rng.ExpFloat64() / room; best == nil || x < most {
			best, most = s, x
		}
	}
	if best == nil {
		return l.end(out, id, r)
	}
	r.sent++
	return append(out, saltmast.Send{Request: id, Backend: best.ident.id})
}
