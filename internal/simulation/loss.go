package simulation

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"saltmast/internal/simulation/checker"
	"saltmast/internal/store"
)

// Days of loss after loss: the next comes in the instant in which a repair, a taking over or a replacement ends.

// instant waits, by tenths of a millisecond, until a core machine's purser is in a state, in an epoch.
func (w *World) instant(c *coreMachine, s store.State, epoch uint64, most time.Duration) {
	for end := w.now() + most; w.now() < end; time.Sleep(100 * time.Microsecond) {
		if is := c.pr.Server.Status(); is.State == s && is.VoterSet.Epoch == epoch {
			return
		}
	}
	w.becomes(c, s, epoch, 0)
}

// stop ends a core machine's processes in order, both at once, as a SIGTERM does.
func (c *coreMachine) stop() {
	var both sync.WaitGroup
	if c.h != nil {
		h, hr := c.h, c.hr
		c.h = nil
		both.Go(func() {
			hr.Stop(2 * time.Second)
			h.End()
		})
	}
	if c.runs {
		c.runs = false
		p, pr := c.p, c.pr
		both.Go(func() {
			pr.Stop(0)
			p.End()
		})
	}
	both.Wait()
}

// soon sends a change that has to be acknowledged within most.
func (o *operator) soon(version, at int, service string, most time.Duration, why string) {
	begun := o.w.now()
	o.changed(version, at, service)
	took := o.w.now() - begun
	o.w.note("operator")("soon", fmt.Sprintf("%s: change %d after %v", why, version, took))
	if took > most {
		o.w.must(fmt.Errorf("%8.3f %s held up a change for %v", o.w.now().Seconds(), why, took))
	}
}

// ways are the losses of a voter that days of this file draw from: what is done, and what ends it.
var ways = []struct {
	name   string
	do     func(c *coreMachine) error
	mended func(c *coreMachine) error
}{
	{"kill", func(c *coreMachine) error { c.kill(); return nil }, (*coreMachine).start},
	{"wipe, kill", func(c *coreMachine) error { c.kill(); return c.wipe() }, (*coreMachine).start},
	{"power", func(c *coreMachine) error { c.powerOff(); return nil }, (*coreMachine).powerOn},
	{"wipe, power", func(c *coreMachine) error { c.powerOff(); return c.wipe() }, (*coreMachine).powerOn},
	{"cut", func(c *coreMachine) error { c.w.sea.CutOff(c.m); return nil }, func(c *coreMachine) error { c.w.sea.JoinAgain(c.m); return nil }},
	{"freeze", func(c *coreMachine) error { c.m.Freeze(true); return nil }, func(c *coreMachine) error { c.m.Freeze(false); return nil }},
}

// loses has some core machines be lost at one moment, each in its way, and gives what has them back.
func (w *World) loses(op *operator, which ...*coreMachine) (back func()) {
	var all []func()
	for _, c := range which {
		way := ways[op.r.IntN(len(ways))]
		over := w.trouble(way.name, c.name, true)
		w.must(way.do(c))
		all = append(all, func() {
			w.must(way.mended(c))
			over()
		})
	}
	return func() {
		for _, f := range all {
			f()
		}
	}
}

// pair are two of the core machines.
func (w *World) pair(op *operator) (x, y *coreMachine) {
	at := op.r.IntN(len(w.core))
	return w.core[at], w.core[(at+1+op.r.IntN(len(w.core)-1))%len(w.core)]
}

// five has five core machines, of which two may be lost at once: the roll is founded with three and grows by itself. Then two are
// lost at one moment, and two again once those count as back.
func five(w *World, op *operator) {
	for _, c := range w.core {
		w.becomes(c, store.Serving, 2, 7*time.Second)
	}
	w.pause(4 * time.Second)
	for n := range 2 {
		x, y := w.pair(op)
		back := w.loses(op, x, y)
		op.soon(7+2*n, op.r.IntN(5), "ledger", 4*time.Second, "the loss of two of five")
		w.pause(time.Duration(op.r.IntN(1200)) * time.Millisecond)
		back()
		op.changed(8+2*n, op.r.IntN(5), "pump")
		for _, c := range w.core {
			w.becomes(c, store.Serving, 2, 4*time.Second)
		}
		w.pause(4 * time.Second)
	}
}

// fiveAmid has machines be lost while the roll grows: two of those that come, or one that counts already.
func fiveAmid(w *World, op *operator) {
	for end := w.now() + 7*time.Second; w.now() < end && !w.sealed(); time.Sleep(100 * time.Microsecond) {
	}
	time.Sleep(time.Duration(op.r.IntN(15_000)) * time.Microsecond)
	which := []*coreMachine{w.core[3], w.core[4]}
	if op.r.IntN(2) == 0 {
		which = []*coreMachine{w.core[op.r.IntN(3)]}
	}
	back := w.loses(op, which...)
	op.soon(7, op.r.IntN(5), "ledger", 4*time.Second, "a loss while the roll grows")
	w.pause(time.Duration(op.r.IntN(1200)) * time.Millisecond)
	back()
	for _, c := range w.core {
		w.becomes(c, store.Serving, 2, 6*time.Second)
	}
	w.pause(time.Second)
	x, y := w.pair(op)
	back = w.loses(op, x, y)
	op.changed(8, op.r.IntN(5), "pump")
	back()
}

// sealed reports whether a change of the roll has begun.
func (w *World) sealed() bool {
	for _, c := range w.core {
		if is := c.pr.Server.Status(); is.EpochEnded || is.VoterSet.Epoch > 1 {
			return true
		}
	}
	return false
}

// secondLoss takes a voter's disk; in the instant in which that one speaks again another voter is lost, and when that one is
// back, the third. What was acknowledged meanwhile is known to two of three alone.
func secondLoss(w *World, op *operator) {
	w.middle(op.r)
	at := op.r.IntN(3)
	var back func()
	for n := range 4 {
		c := w.core[(at+n)%3]
		over := w.trouble("wipe, kill", c.name, true)
		c.kill()
		w.must(c.wipe())
		op.soon(7+n, (at+n+1)%3, []string{"ledger", "pump"}[n%2], 4*time.Second, "a loss right after a repair")
		if back != nil {
			back()
		}
		w.must(c.start())
		w.instant(c, store.Serving, 1, 4*time.Second)
		over()
		time.Sleep(time.Duration(op.r.IntN(3)) * time.Millisecond)
		if n == 3 {
			next := w.core[(at+1)%3]
			over = w.trouble("power", next.name, true)
			next.powerOff()
			op.changed(20, at, "ledger")
			w.pause(time.Duration(op.r.IntN(1500)) * time.Millisecond)
			w.must(next.powerOn())
			over()
		}
	}
}

// leaver has a change and keys known to two voters alone, of which one is replaced once the third is up again, and is gone with its
// disk in the instant in which the roll is another. Then the other one is lost.
func leaver(w *World, op *operator) {
	r := op.r
	w.until(2800 * time.Millisecond)
	d := w.another()
	w.middle(r)
	at := r.IntN(3)
	down, old, rest := w.core[at], w.core[(at+1)%3], w.core[(at+2)%3]
	over := w.trouble("kill", down.name, true)
	down.kill()
	op.changed(7, old.n, "ledger")
	w.pause(time.Second)
	w.must(down.start())
	over()
	w.instant(down, store.Serving, 1, 2*time.Second)
	at = r.IntN(3)
	ask := func() {
		if t, err := op.replace([]*coreMachine{old, rest, d}[at], old, d); !w.flaw.Hasty && (err != nil || t.Error != "" || t.Active < 2) {
			w.must(fmt.Errorf("the roll was not changed: %v, %s, held by %d", err, t.Error, t.Active))
		}
	}
	if w.flaw.Hasty {
		go ask()
		for !w.sealed() {
			time.Sleep(50 * time.Microsecond)
		}
	} else {
		ask()
	}
	over = w.trouble("wipe, power", old.name, true)
	old.powerOff()
	w.must(old.wipe())
	over()
	if !w.flaw.Hasty {
		w.instant(d, store.Serving, 2, 300*time.Millisecond)
	}
	back := w.loses(op, rest)
	op.soon(8, r.IntN(4), "pump", 4*time.Second, "a loss right after a replacement")
	w.pause(time.Duration(r.IntN(1500)) * time.Millisecond)
	back()
	w.becomes(rest, store.Serving, 2, 4*time.Second)
}

// stopAmid stops the machine in order whose harbourmaster has the roll be changed, in the middle of that: changes and keys go on at
// once.
func stopAmid(w *World, op *operator) {
	r := op.r
	w.until(2800 * time.Millisecond)
	d := w.another()
	w.middle(r)
	at := r.IntN(3)
	stops, old := w.core[at], w.core[(at+1)%3]
	done := make(chan struct{})
	go func() { op.replace(stops, old, d); close(done) }()
	for end := w.now() + time.Second; w.now() < end && !w.sealed(); time.Sleep(50 * time.Microsecond) {
	}
	time.Sleep(time.Duration(r.IntN(3000)) * time.Microsecond)
	t := &checker.Trouble{Kind: "stop", Machine: stops.name, Core: true, Planned: true, From: w.now(), To: 1 << 60}
	w.log.AddTrouble(t)
	go stops.stop()
	op.soon(7, (at+2)%3, "ledger", time.Second, "a stop amid a change of the roll")
	<-done
	w.pause(time.Duration(300+r.IntN(1000)) * time.Millisecond)
	w.must(stops.start())
	t.To = w.now()
	w.becomes(d, store.Serving, 2, 2*time.Second)
	w.becomes(stops, store.Serving, 2, 2*time.Second)
}

// coreRoll stops all core machines in order, one after the other, and starts each again; the next is stopped once the one before
// answers. Orders go on all the time, at two agents at once.
func coreRoll(w *World, op *operator) {
	w.middle(op.r)
	other := w.operator("10.9.0.3")
	var version, rolled atomic.Int32
	var orders sync.WaitGroup
	version.Store(6)
	for i, o := range []*operator{op, other} {
		orders.Go(func() {
			for rolled.Load() < 6 {
				x := with(routes[4*i], func(r *route) { r.services = []string{[]string{"ledger", "pump"}[o.r.IntN(2)]} })
				c := &checker.Call{Items: []checker.Item{x.item(int(version.Add(1)))}}
				if begun := w.now(); !o.send(c, o.r.IntN(3), 6*time.Second) || w.now()-begun > 4*time.Second {
					w.must(fmt.Errorf("%8.3f change %d, sent at %.3f, took long or was not taken", w.now().Seconds(), c.Items[0].Version, begun.Seconds()))
				}
				w.pause(time.Duration(o.r.IntN(150)) * time.Millisecond)
			}
		})
	}
	r := w.rand("core-roll")
	at := r.IntN(3)
	for n := range 6 {
		c := w.core[(at+n)%3]
		t := &checker.Trouble{Kind: "stop", Machine: c.name, Core: true, Planned: true, From: w.now(), To: 1 << 60}
		w.log.AddTrouble(t)
		c.stop()
		w.pause(time.Duration(50+r.IntN(300)) * time.Millisecond)
		w.must(c.start())
		w.instant(c, store.Serving, 1, 2*time.Second)
		t.To = w.now()
		rolled.Add(1)
	}
	orders.Wait()
	other.p.End()
}
