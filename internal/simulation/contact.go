package simulation

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"saltmast/internal/simulation/checker"
	"saltmast/internal/simulation/network"
)

// Days on which a machine has no contact with a majority of the core for twenty seconds, while orders come to it and proxies
// begin anew beside it.

const outFor = 20 * time.Second

// ask has an operator make one call at one core machine, and notes its answer.
func (o *operator) ask(c *coreMachine, method, what string, body []byte) (status int) {
	sent := o.w.now()
	status, _, _ = call(o.p, net.JoinHostPort(c.m.IP, portControl), method, "/v1/configuration", body, time.Second)
	if f := o.w.flaw.Order; f != nil && status != 0 {
		status = f(c, status)
	}
	o.w.log.Contact.AddAnswer(checker.Answer{Machine: c.name, What: method + " " + what, Sent: sent, At: o.w.now(), Status: status})
	return status
}

// orders sends orders until a time of the day, at a machine that is out of contact or at others: new ones, one that was taken
// already, what is not valid by what stands, another content of a version that stands; and reads.
type orders struct {
	w       *World
	op      *operator
	r       *rand.Rand
	at      *coreMachine // that is out of contact
	version int
	last    []checker.Item // that were taken
	fresh   bool           // a route has come since the trouble began
	till    time.Duration  // the trouble ends
}

func (o *orders) next() int { o.version += 1 + o.r.IntN(3); return o.version }

// change sends a change of the first route.
func (o *orders) change(at int) {
	to := []string{"ledger", "pump"}[o.version%2]
	if len(o.last) > 0 { // each moves it
		to = map[string]string{"ledger": "pump", "pump": "ledger"}[o.last[0].Services[0]]
	}
	items := []checker.Item{with(routes[0], func(r *route) { r.services = []string{to} }).item(o.next())}
	if o.op.send(&checker.Call{Items: items}, at, 6*time.Second) {
		o.last = items
	}
}

func (o *orders) until(end time.Duration) {
	n := len(o.w.core)
	if !o.fresh {
		o.fresh = true
		x := with(routes[0], func(r *route) { r.name, r.prefix = "r-fresh", "/fresh/" })
		o.op.send(&checker.Call{Items: []checker.Item{x.item(o.next())}}, (o.at.n+1)%n, 6*time.Second)
		o.w.people.Go(func() {
			for o.w.pause(700*time.Millisecond) && o.w.now() < end+4*time.Second {
				o.w.direct(x.prefix+"look", x.kind)
			}
		})
	}
	for k := 0; o.w.now() < end; k++ {
		switch what := k % 6; {
		case what == 0 || len(o.last) == 0:
			o.change((o.at.n + 1 + o.r.IntN(2)) % n)
		case what == 1:
			o.op.send(&checker.Call{Items: o.last}, o.at.n, 6*time.Second)
		case what == 2:
			odd := with(routes[4], func(r *route) { r.name, r.prefix, r.services = "r-odd", "/odd/", []string{"nobody"} }).item(o.next())
			o.op.send(&checker.Call{Items: []checker.Item{odd}, Invalid: true}, o.at.n, 3*time.Second)
		case what == 3:
			odd := with(routes[0], func(r *route) { r.deadline = 1.25 }).item(o.version)
			odd.Version = o.last[0].Version
			o.op.send(&checker.Call{Items: []checker.Item{odd}, Invalid: true}, o.at.n, 3*time.Second)
		case what == 4:
			o.op.ask(o.at, "GET", "all", nil)
		default:
			o.change(o.at.n)
		}
		o.w.pause(time.Duration(o.r.IntN(900)) * time.Millisecond)
	}
}

// anew has a proxy begin anew with seeds that name one core machine alone. reaches: it can reach a majority all the same.
func (m *tugMachine) anew(c *coreMachine, reaches bool) {
	w := m.w
	if w.leaves(fmt.Sprintf("anew %s at %d", m.name, w.now()/time.Second), "begins anew") {
		return
	}
	over := w.trouble("kill", m.name, false)
	m.kill()
	w.pause(100 * time.Millisecond)
	m.seed, m.reaches = []string{net.JoinHostPort(c.m.IP, portControl)}, reaches
	w.must(m.start())
	m.seed, m.reaches = nil, false
	over()
	if !reaches {
		return
	}
	begun := w.now()
	for end := w.now() + 6*time.Second; w.now() < end; w.pause(50 * time.Millisecond) {
		if status, _, _ := call(m.crowd(), net.JoinHostPort(m.m.IP, portReady), "GET", "/v1/readiness", nil, time.Second); status == 200 {
			w.note(m.name)("anew", fmt.Sprintf("ready after %v", w.now()-begun))
			return
		}
	}
	w.must(fmt.Errorf("%8.3f %s, which began anew, is not ready", w.now().Seconds(), m.name))
}

// out has a core machine be out of contact while orders come and proxies begin anew beside it: beside those of alone, which
// reach it and nobody else of the core, and others. begin and end: the trouble. cut: it reaches no majority meanwhile.
func (w *World) out(op *operator, kind string, c *coreMachine, cut bool, alone []*tugMachine, begin, end func()) {
	r := op.r
	o := &orders{w: w, op: op, r: rand.New(rand.NewPCG(r.Uint64(), 11)), at: c, version: 10}
	o.change(r.IntN(3))
	var overs []func()
	for _, m := range alone {
		over, apart := w.trouble("cut", m.name, false), func(time.Duration) {}
		if cut {
			apart = w.log.Contact.AddApart(m.name, w.now())
		}
		overs = append(overs, func() { over(); apart(w.now()) })
		for _, x := range w.core {
			if x != c {
				w.sea.Cut(m.m, x.m)
			}
		}
	}
	overs = append(overs, w.trouble(kind, c.name, true))
	begin()
	apart := func(time.Duration) {}
	if cut {
		apart = w.log.Contact.AddApart(c.name, w.now())
		c.away.Store(true)
	}
	till := w.now() + outFor
	o.till = till
	w.people.Go(func() {
		for k := 0; ; k++ {
			if !w.pause(time.Duration(4000+200*k)*time.Millisecond) || w.now() > till-5*time.Second {
				return
			}
			if k%2 == 1 && len(alone) > 0 {
				for _, m := range alone {
					m.anew(c, false)
				}
				continue
			}
			for i, m := range w.tugs {
				if i >= len(alone) && (i+k)%2 == 0 {
					w.people.Go(func() { m.anew(c, true) })
				}
			}
		}
	})
	if kind != "freeze" && r.IntN(2) == 0 { // what begins anew there has old news at the best
		w.people.Go(func() {
			if w.pause(time.Duration(3000+r.IntN(4000))*time.Millisecond) && !w.leaves("core anew", c.name) {
				over := w.trouble("kill", c.name, true)
				c.kill()
				w.pause(300 * time.Millisecond)
				w.must(c.start())
				over()
			}
		})
	}
	o.until(till - 2500*time.Millisecond)
	w.abandon(op, o, c)
	w.until(till)
	apart(w.now())
	c.away.Store(false)
	end()
	for _, m := range alone {
		for _, x := range w.core {
			if x != c {
				w.sea.Join(m.m, x.m)
			}
		}
	}
	for _, f := range overs {
		f()
	}
	w.pause(time.Duration(700+r.IntN(3000)) * time.Millisecond)
	o.change(c.n)
}

// abandon has an order lie on its way to a machine, frozen or behind a cut, until after the trouble. Its sender gives it up for
// another, which refuses it. What it lacked comes after that.
func (w *World) abandon(op *operator, o *orders, c *coreMachine) {
	if w.leaves("abandoned order", c.name) {
		return
	}
	late := with(routes[4], func(r *route) { r.name, r.prefix, r.services = "r-late", "/late/", []string{"tide"} }).item(o.next())
	nc, err := dialFor(op.p, net.JoinHostPort(c.m.IP, portControl), 2*time.Second)
	if err != nil {
		w.must(err)
		return
	}
	w.sea.Cut(c.m, op.m)
	b := body([]checker.Item{late})
	r := request{method: "PATCH", host: c.m.IP, path: "/v1/configuration", body: b}
	nc.Write(r.bytes())
	w.pause(time.Second)
	nc.Close()
	op.send(&checker.Call{Items: []checker.Item{late}}, (c.n+1)%3, 600*time.Millisecond)
	tide := checker.Item{Kind: "services", Name: "tide", Version: o.next(), Spec: first()[len(routes)].Spec}
	op.send(&checker.Call{Items: []checker.Item{tide}}, (c.n+1)%3, 4*time.Second)
	w.people.Go(func() {
		w.until(o.till + 500*time.Millisecond)
		w.sea.Join(c.m, op.m)
	})
}

// longCut cuts a core machine off: from all but the operator and some proxies, or from the core alone, or from proxies alone.
func longCut(w *World, op *operator) {
	w.middle(op.r)
	c := w.core[op.r.IntN(3)]
	alone := w.tugs[:op.r.IntN(3)]
	others := func(f func(a *coreMachine)) {
		for _, x := range w.core {
			if x != c {
				f(x)
			}
		}
	}
	switch op.r.IntN(3) {
	case 0:
		w.out(op, "cut", c, true, alone, func() {
			w.sea.CutOff(c.m)
			w.sea.Join(c.m, op.m)
			for _, m := range alone {
				w.sea.Join(c.m, m.m)
			}
		}, func() {
			w.sea.Cut(c.m, op.m)
			for _, m := range alone {
				w.sea.Cut(c.m, m.m)
			}
			w.sea.JoinAgain(c.m)
		})
	case 1:
		w.out(op, "cut", c, true, alone, func() { others(func(x *coreMachine) { w.sea.Cut(c.m, x.m) }) },
			func() { others(func(x *coreMachine) { w.sea.Join(c.m, x.m) }) })
	default:
		w.out(op, "cut", c, false, nil, func() {
			for _, m := range w.tugs {
				w.sea.Cut(c.m, m.m)
			}
		}, func() {
			for _, m := range w.tugs {
				w.sea.Join(c.m, m.m)
			}
		})
	}
}

// longOneWay has nothing pass from a core machine to the rest of the core, or nothing from there to it.
func longOneWay(w *World, op *operator) {
	w.middle(op.r)
	c := w.core[op.r.IntN(3)]
	alone := w.tugs[:op.r.IntN(3)]
	ways := func(f func(from, to *network.Machine), out bool) {
		for _, x := range w.core {
			switch {
			case x == c:
			case out:
				f(c.m, x.m)
			default:
				f(x.m, c.m)
			}
		}
	}
	out := op.r.IntN(2) == 0
	w.out(op, "cut", c, true, alone, func() { ways(w.sea.CutWay, out) }, func() { ways(w.sea.JoinWay, out) })
}

// longFreeze freezes a core machine.
func longFreeze(w *World, op *operator) {
	w.middle(op.r)
	c := w.core[op.r.IntN(3)]
	w.out(op, "freeze", c, true, w.tugs[:op.r.IntN(2)], func() { c.m.Freeze(true) }, func() { c.m.Freeze(false) })
}

// longSlow has everything from and to a core machine take thirty times as long, or far longer.
func longSlow(w *World, op *operator) {
	w.middle(op.r)
	c := w.core[op.r.IntN(3)]
	d := []time.Duration{21 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond}[op.r.IntN(3)]
	w.out(op, "slow", c, false, w.tugs[:op.r.IntN(2)], func() { w.sea.Slow(c.m, d) }, func() { w.sea.Slow(c.m, 0) })
}

// longSide has two proxies be out of contact with the core: cut off from it, or from all, either way; frozen; slow. One of them
// begins anew meanwhile.
func longSide(w *World, op *operator) {
	w.middle(op.r)
	r := op.r
	o := &orders{w: w, op: op, r: rand.New(rand.NewPCG(r.Uint64(), 11)), at: w.core[r.IntN(3)], version: 10}
	var ends []func()
	for i, m := range w.tugs[:2] {
		kind := r.IntN(6)
		over := w.trouble([]string{"cut", "cut", "cut", "cut", "freeze", "slow"}[kind], m.name, false)
		each := func(f func(a, b *network.Machine), away bool) {
			for _, c := range w.core {
				if away {
					f(m.m, c.m)
				} else {
					f(c.m, m.m)
				}
			}
		}
		switch kind {
		case 0:
			each(w.sea.Cut, true)
			ends = append(ends, func() { each(w.sea.Join, true) })
		case 1:
			w.sea.CutOff(m.m)
			ends = append(ends, func() { w.sea.JoinAgain(m.m) })
		case 2, 3:
			each(w.sea.CutWay, kind == 2)
			ends = append(ends, func() { each(w.sea.JoinWay, kind == 2) })
		case 4:
			m.m.Freeze(true)
			ends = append(ends, func() { m.m.Freeze(false) })
		default:
			w.sea.Slow(m.m, 700*time.Millisecond)
			ends = append(ends, func() { w.sea.Slow(m.m, 0) })
		}
		apart := func(time.Duration) {}
		if kind < 4 {
			apart = w.log.Contact.AddApart(m.name, w.now())
		}
		ends = append(ends, func() { over(); apart(w.now()) })
		if i == 0 && kind != 4 {
			w.people.Go(func() {
				for range 2 {
					if w.pause(6 * time.Second) {
						m.anew(w.core[r.IntN(3)], false)
					}
				}
			})
		}
	}
	o.until(w.now() + outFor)
	for _, f := range ends {
		f()
	}
	o.change(0)
}
