package model

import (
	"slices"
	"time"

	"saltmast"
	"saltmast/internal/scenario"
)

// list is the server list: one service for all agents that works through calls in turn, learns late, passes changes on now
// and then, and is out of reach at times.
type list struct {
	w       *world
	log     []entry // all that it ever learned
	started map[string]time.Duration
	out     bool
	late    time.Duration      // changes are passed on so much later; a new call hears all
	busy    time.Duration      // when it is done with the calls it has
	shown   map[*identity]bool // the servers that it shows now
	watches []*watch           // in the order in which they began; those that are over are swept out at the next update
	passing bool               // an event is set that passes changes on

	calls, failed, lines int
}

// entry is what the list learned of one server.
type entry struct {
	ident   *identity
	state   saltmast.BackendState
	started time.Duration // on the agents' clock; 0: long ago
}

// watch is one agent's.
type watch struct {
	a    *agent
	life int // of the agent
	seen int // entries of the log that it was told
	over bool
}

func (l *list) begin() {
	l.started = map[string]time.Duration{}
	l.shown = map[*identity]bool{}
	for _, s := range l.w.servers {
		l.log = append(l.log, entry{ident: s.ident})
		l.shown[s.ident] = true
	}
}

var states = map[string]saltmast.BackendState{"SERVING": saltmast.Up, "DRAINING": saltmast.Draining, "DELETED": saltmast.Gone}

// learn takes a change and sees to it that it is passed on.
func (l *list) learn(st *scenario.Step) {
	n := l.w.byID[st.ID]
	if n == nil { // the list hears of one that never came up: it was down again before
		return
	}
	e := entry{ident: n, state: states[st.State], started: l.started[st.ID]}
	l.log = append(l.log, e)
	if l.shown[n] = true; e.state == saltmast.Gone {
		delete(l.shown, n)
	}
	if l.passing {
		return
	}
	l.passing = true
	period := time.Duration(l.w.s.List.PeriodMs * float64(time.Millisecond))
	l.w.at(l.w.now.Truncate(period)+period+l.late, func() {
		l.passing = false
		l.watches = slices.DeleteFunc(l.watches, func(w *watch) bool { return w.over })
		for _, w := range l.watches {
			l.update(w)
		}
	})
}

// update tells a watch what is new to it.
func (l *list) update(w *watch) {
	if w.over || l.out || w.seen == len(l.log) {
		return
	}
	news := l.log[w.seen:]
	w.seen = len(l.log)
	done, ok := l.turn(len(news))
	if !ok {
		l.end(w)
		return
	}
	l.lines += len(news)
	l.w.at(done+l.w.hop(), func() {
		if w.a.is(w.life) && !w.over {
			w.a.told(w, news, false)
		}
	})
}

// turn is when the list gets to a call or an update of so many lines; false: that would take longer than its time-out.
func (l *list) turn(lines int) (time.Duration, bool) {
	c := &l.w.s.List
	l.busy = max(l.busy, l.w.now)
	if l.busy-l.w.now > time.Duration(c.TimeoutMs*float64(time.Millisecond)) {
		return 0, false
	}
	l.busy += time.Duration(float64(lines) / c.LinesPerS * float64(time.Second))
	return l.busy, true
}

// subscribe is an agent's call for a watch that continues what it was told.
func (l *list) subscribe(a *agent, life, version int) {
	w := l.w
	l.calls++
	w.window(w.now).ListCalls++
	fail := func() {
		l.failed++
		w.after(w.hop(), func() {
			if a.is(life) {
				a.listFailed()
			}
		})
	}
	w.after(2*w.hop(), func() { // the connection, then the call
		if l.out {
			fail()
			return
		}
		done, ok := l.turn(l.w.s.List.CallLines + len(l.shown))
		if !ok {
			fail()
			return
		}
		w.at(done, func() {
			if l.out {
				fail()
				return
			}
			n := &watch{a: a, life: life, seen: len(l.log)}
			news, full := l.log[max(0, version):], version < 0
			l.watches = append(l.watches, n)
			l.lines += len(news)
			w.after(w.hop(), func() {
				if a.is(life) && !n.over {
					a.told(n, news, full)
				}
			})
		})
	})
}

// end ends a watch; its agent notices.
func (l *list) end(w *watch) {
	if w.over {
		return
	}
	w.over = true
	l.w.after(l.w.hop(), func() {
		if w.a.is(w.life) && w.a.watch == w {
			w.a.watch = nil
			w.a.listFailed()
		}
	})
}

func (l *list) goOut() {
	l.out = true
	for _, w := range l.watches {
		l.end(w)
	}
	l.watches = nil
}
