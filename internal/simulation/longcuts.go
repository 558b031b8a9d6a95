package simulation

import (
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"saltmast/internal/simulation/checker"
	"saltmast/internal/simulation/network"
)

// Days of cuts that leave parts of the core in contact, or that change without a calm between, with backends that leave amid them.

// cutWays are two machines' cuts: of both ways, or of one.
func (w *World) cutWays(r *rand.Rand, a, b *network.Machine) (join func()) {
	switch r.IntN(3) {
	case 0:
		w.sea.Cut(a, b)
		return func() { w.sea.Join(a, b) }
	case 1:
		a, b = b, a
	}
	w.sea.CutWay(a, b)
	return func() { w.sea.JoinWay(a, b) }
}

// leavers has backends leave in order, one after the other, until a time of the day: what they tell their proxies goes on by way of
// whichever harbourmaster these pull from just then.
func (w *World) leavers(r *rand.Rand, till time.Duration) {
	r = rand.New(rand.NewPCG(r.Uint64(), 12))
	w.people.Go(func() {
		for n := 0; w.pause(time.Duration(300+r.IntN(900))*time.Millisecond) && w.now() < till; n++ {
			if m := w.tugs[r.IntN(len(w.tugs))]; !w.leaves(fmt.Sprint("leaver ", n), m.name) {
				m.release()
			}
		}
	})
}

// many adds two dozen routes, at the machines that go on, and has the first and the last be asked for until a time of the day.
func (w *World) many(c *coreMachine, till time.Duration) {
	op := w.operator("10.9.0.5")
	w.people.Go(func() {
		defer op.p.End()
		for n := range 4 {
			var call checker.Call
			for i := range 6 {
				call.Items = append(call.Items, with(routes[0], func(r *route) { r.name, r.prefix = fmt.Sprintf("r-many%d", 6*n+i), fmt.Sprintf("/many%d/", 6*n+i) }).item(1))
			}
			op.send(&call, (c.n+1)%3, 6*time.Second)
			w.pause(time.Duration(op.r.IntN(1500)) * time.Millisecond)
		}
		for w.now() < till && w.pause(900*time.Millisecond) {
			for _, n := range []int{0, 23} {
				w.direct(fmt.Sprintf("/many%d/look", n), routes[0].kind)
			}
		}
	})
}

// longTriangle has two core machines that don't hear each other, or one not the other, and are both heard by the third: all three have
// a majority, and no rule has a pause.
func longTriangle(w *World, op *operator) {
	w.middle(op.r)
	c := w.core[op.r.IntN(3)]
	x := w.core[(c.n+1+op.r.IntN(2))%3]
	till := w.now() + outFor
	w.leavers(op.r, till)
	w.many(c, till)
	var join func()
	w.out(op, "cut", c, false, nil, func() {
		join = w.cutWays(op.r, c.m, x.m)
		c.away.Store(true)
		x.away.Store(true)
	}, func() {
		join()
		c.away.Store(false)
		x.away.Store(false)
	})
}

// longLure cuts a core machine off from the core alone. All proxies reach it, and tell it what their backends say; they are in touch.
func longLure(w *World, op *operator) {
	w.middle(op.r)
	c := w.core[op.r.IntN(3)]
	till := w.now() + outFor
	w.leavers(op.r, till)
	w.many(c, till)
	var joins []func()
	w.out(op, "cut", c, true, nil, func() {
		for _, x := range w.core {
			if x != c {
				joins = append(joins, w.cutWays(op.r, c.m, x.m))
			}
		}
	}, func() {
		for _, f := range joins {
			f()
		}
	})
}

// longRing has each core machine be unheard by the next: nobody has a majority, though each hears one and is heard by one.
func longRing(w *World, op *operator) {
	w.middle(op.r)
	r := op.r
	o := &orders{w: w, op: op, r: rand.New(rand.NewPCG(r.Uint64(), 11)), version: 10}
	o.change(0)
	at := 1 + r.IntN(2)
	var overs []func()
	for i, c := range w.core {
		w.sea.CutWay(c.m, w.core[(i+at)%3].m)
		over, apart := w.trouble("cut", c.name, true), w.log.Contact.AddApart(c.name, w.now())
		c.away.Store(true)
		overs = append(overs, func() {
			w.sea.JoinWay(c.m, w.core[(i+at)%3].m)
			over()
			apart(w.now())
			c.away.Store(false)
		})
	}
	o.fresh = true // no route can come now
	for till := w.now() + outFor; w.now() < till; {
		c := w.core[r.IntN(3)]
		if o.at = c; r.IntN(6) == 0 && !w.leaves(fmt.Sprint("core anew ", w.now()/time.Second), c.name) {
			c.kill()
			w.must(c.start())
		}
		o.until(min(till, w.now()+2*time.Second))
	}
	for _, f := range overs {
		f()
	}
	w.pause(time.Duration(r.IntN(4000)) * time.Millisecond)
	o.change(r.IntN(3))
}

// longTurns cuts core machines off one after the other, with no calm between: each begins anew amid its cut, with seeds that name it
// alone, and the others when it is over. Orders are half read in the moment in which a cut ends.
func longTurns(w *World, op *operator) {
	w.middle(op.r)
	r := op.r
	o := &orders{w: w, op: op, r: rand.New(rand.NewPCG(r.Uint64(), 11)), version: 10}
	o.change(r.IntN(3))
	at := r.IntN(3)
	w.leavers(r, w.now()+outFor)
	for n := range 3 {
		c := w.core[(at+n)%3]
		others := []*coreMachine{w.core[(c.n+1)%3], w.core[(c.n+2)%3]}
		over, apart := w.trouble("cut", c.name, true), w.log.Contact.AddApart(c.name, w.now())
		c.away.Store(true)
		var joins []func()
		if all := r.IntN(2) == 0; all {
			w.sea.CutOff(c.m)
			w.sea.Join(c.m, op.m)
			joins = append(joins, func() { w.sea.Cut(c.m, op.m); w.sea.JoinAgain(c.m) })
		} else {
			for _, x := range others {
				joins = append(joins, w.cutWays(r, c.m, x.m))
			}
		}
		till := w.now() + outFor/3
		if o.at = c; r.IntN(2) == 0 && !w.leaves(fmt.Sprint("anew ", n), c.name) {
			wait := time.Duration(1500+r.IntN(1500)) * time.Millisecond
			w.people.Go(func() {
				w.pause(wait)
				o.anew(c, []string{net.JoinHostPort(c.m.IP, portControl)})
			})
		}
		o.until(till - 1500*time.Millisecond)
		o.halves(c, till)
		w.until(till)
		apart(w.now())
		c.away.Store(false)
		for _, f := range joins {
			f()
		}
		over()
		for i, x := range others {
			if r.IntN(3) == 0 && !w.leaves(fmt.Sprint("both ", n, i), x.name) {
				o.anew(x, []string{net.JoinHostPort(c.m.IP, portControl)})
			}
		}
	}
	w.pause(time.Duration(r.IntN(4000)) * time.Millisecond)
	o.change(r.IntN(3))
}

// anew has a core machine begin anew by other seeds.
func (o *orders) anew(c *coreMachine, seeds []string) {
	over := o.w.trouble("kill", c.name, true)
	defer over()
	c.kill()
	o.w.pause(100 * time.Millisecond)
	o.w.seedMu.Lock()
	c.seed = seeds
	o.w.seedMu.Unlock()
	o.w.must(c.start())
}

// halves has orders of each sort be half read when the trouble of a machine ends: a new route, one that was taken, one that is not valid,
// another content of a number that stands.
func (o *orders) halves(c *coreMachine, till time.Duration) {
	w := o.w
	name := func(r *route) { r.name, r.prefix = fmt.Sprintf("r-half%d", c.n), fmt.Sprintf("/half%d/", c.n) }
	calls := []*checker.Call{{Items: []checker.Item{with(routes[4], name).item(o.next())}}}
	odd := with(routes[4], func(r *route) { r.name, r.prefix, r.services = "r-odd", "/odd/", []string{"nobody"} }).item(o.next())
	calls = append(calls, &checker.Call{Items: []checker.Item{odd}, Invalid: true})
	if len(o.last) > 0 {
		other := with(routes[0], func(r *route) { r.deadline = 1.5 }).item(o.last[0].Version)
		calls = append(calls, &checker.Call{Items: []checker.Item{other}, Invalid: true}, &checker.Call{Items: o.last, Taken: w.now()})
	}
	for n, call := range calls {
		late := time.Duration(o.r.IntN(700)) * time.Millisecond
		if w.leaves(fmt.Sprintf("half %d at %d", n, till/time.Second), names(call.Items)) {
			continue
		}
		w.people.Go(func() {
			nc, err := dialFor(o.op.p, net.JoinHostPort(c.m.IP, portControl), time.Second)
			if err != nil {
				return
			}
			defer nc.Close()
			r := request{method: "PATCH", host: c.m.IP, path: "/v1/configuration", body: body(call.Items)}
			b := r.bytes()
			call.Sent, call.Contest = w.now(), true
			w.log.AddCall(call)
			nc.Write(b[:len(b)-20])
			w.until(till + late - 200*time.Millisecond)
			nc.Write(b[len(b)-20:])
			nc.SetDeadline(time.Now().Add(time.Second))
			a, err := readAnswer(newReader(nc))
			if err != nil {
				return
			}
			switch call.Status = a.status; {
			case a.status/100 == 2:
				call.Acked = w.now()
			case a.status/100 == 4 && a.status != 408:
				call.Refused = w.now()
			}
		})
	}
}

// lostSeeds has a core machine begin anew with an empty disk and seeds that are all away: those that count go to it. Once it has had time
// for that, another one goes.
func lostSeeds(w *World, op *operator) {
	w.middle(op.r)
	o := &orders{w: w, op: op, r: rand.New(rand.NewPCG(op.r.Uint64(), 11)), version: 10}
	o.change(op.r.IntN(3))
	c := w.core[op.r.IntN(3)]
	over := w.trouble("wipe, kill", c.name, true)
	c.kill()
	w.must(c.wipe())
	w.pause(time.Duration(op.r.IntN(1500)) * time.Millisecond)
	w.seedMu.Lock()
	c.seed = []string{net.JoinHostPort("10.8.0.1", portControl), net.JoinHostPort("10.8.0.2", portControl)}
	w.seedMu.Unlock()
	w.must(c.start())
	over()
	w.pause(catchUp)
	x := w.core[(c.n+1+op.r.IntN(2))%3]
	over = w.trouble("kill", x.name, true)
	x.kill()
	w.pause(w.log.Bounds.Contact + 100*time.Millisecond)
	o.change(c.n)
	w.must(x.start())
	over()
}
