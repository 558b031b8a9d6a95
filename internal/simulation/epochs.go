package simulation

import (
	"fmt"
	"path/filepath"
	"time"

	"saltmast/internal/messages"
	"saltmast/internal/rpc"
	"saltmast/internal/simulation/checker"
	"saltmast/internal/store"
)

// Days on which the roll of those that count changes.

// another starts a fourth core machine, which does not count, and waits until it knows so.
func (w *World) another() *coreMachine {
	n := len(w.core)
	name := fmt.Sprintf("core-%d", n+1)
	c := &coreMachine{w: w, n: n, name: name, dir: filepath.Join(w.dir, name), gone: make(chan struct{}), lag: w.rand("disk " + name)}
	close(c.gone)
	c.m = w.sea.Machine(fmt.Sprintf("10.3.0.%d", n), "south")
	w.must(c.start())
	w.core = append(w.core, c)
	w.becomes(c, store.NonVoter, 1, 5*time.Second)
	return c
}

// becomes waits until a core machine's purser is in a state, in an epoch.
func (w *World) becomes(c *coreMachine, s store.State, epoch uint64, most time.Duration) {
	var is store.Status
	for end := w.now() + most; w.now() < end; w.pause(20 * time.Millisecond) {
		if is = c.pr.Server.Status(); is.State == s && is.VoterSet.Epoch == epoch {
			return
		}
	}
	w.must(fmt.Errorf("%8.3f %s is %s in epoch %d, not %s in %d", w.now().Seconds(), c.name, is.State, is.VoterSet.Epoch, s, epoch))
}

// replace asks a harbourmaster to have one core machine take another's place among those that count.
func (o *operator) replace(at, old, by *coreMachine) (t messages.ChangeVotersReply, err error) {
	c := rpc.NewClient(o.p, messages.AddrOnHost(at.m.IP, firstFree, messages.RegistryPort))
	defer c.Close()
	err = c.Call(messages.ChangeVoters, messages.ChangeVotersCall{Replace: [][2]string{{old.name, by.name}}}, &t, 6*time.Second)
	o.w.note("operator")("roll", fmt.Sprintf("%s by %s at %s: epoch %d after %d ms, %q, %v", old.name, by.name, at.name, t.VoterSet.Epoch, t.TookMs, t.Error, err))
	return t, err
}

// changed sends a change that has to be acknowledged.
func (o *operator) changed(version, at int, service string) {
	c := &checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{service} }).item(version)}}
	if !o.send(c, at, 6*time.Second) {
		o.w.must(fmt.Errorf("%8.3f change %d was not taken", o.w.now().Seconds(), version))
	}
}

// bears kills a core machine for a while in which all has to go on.
func (w *World) bears(c *coreMachine, op *operator, version int) {
	over := w.trouble("kill", c.name, true)
	c.kill()
	op.changed(version, (c.n+1)%4, "ledger")
	w.pause(1500 * time.Millisecond)
	w.must(c.start())
	over()
}

// voterLost takes a voter for good, which a machine that stands apart replaces by itself; then another voter is killed, and the
// old one comes back, with its disk or without.
func voterLost(w *World, op *operator) {
	r := op.r
	w.until(2800 * time.Millisecond)
	d := w.another()
	w.middle(r)
	at := r.IntN(3)
	lost := w.core[at]
	over := w.trouble("power", lost.name, true)
	lost.powerOff()
	op.changed(7, (at+1)%3, "pump")
	w.becomes(d, store.Serving, 2, 9*time.Second)
	over()
	w.pause(3100 * time.Millisecond)
	w.bears(w.core[(at+1+r.IntN(2))%3], op, 8)
	if r.IntN(2) == 0 {
		w.must(lost.wipe())
	}
	w.must(lost.powerOn())
	w.becomes(lost, store.NonVoter, 2, 5*time.Second)
	op.changed(9, at, "pump")
}

// voterAsked has the operator replace one voter while another is down, which wakes in the new epoch; then the one that was
// replaced goes for good, and yet another voter for a while.
func voterAsked(w *World, op *operator) {
	r := op.r
	w.until(2800 * time.Millisecond)
	d := w.another()
	w.middle(r)
	at := r.IntN(3)
	down, old, rest := w.core[at], w.core[(at+1)%3], w.core[(at+2)%3]
	over := w.trouble("kill", down.name, true)
	down.kill()
	w.pause(time.Duration(r.IntN(800)) * time.Millisecond)
	if t, err := op.replace([]*coreMachine{old, rest, d}[r.IntN(3)], old, d); err != nil || t.Error != "" {
		w.must(fmt.Errorf("the roll was not changed: %v, %s", err, t.Error))
	}
	w.becomes(d, store.Serving, 2, time.Second)
	w.becomes(old, store.NonVoter, 2, time.Second)
	op.changed(7, r.IntN(4), "ledger")
	w.must(down.start())
	over()
	w.becomes(down, store.Serving, 2, 5*time.Second)
	w.pause(3100 * time.Millisecond)
	over = w.trouble("power", old.name, true)
	old.powerOff()
	over()
	w.bears(rest, op, 8)
}

// voterAmid has the operator ask for two rolls at once, and kills both harbourmasters, or one machine, amid that.
func voterAmid(w *World, op *operator) {
	r := op.r
	w.until(2800 * time.Millisecond)
	d := w.another()
	w.middle(r)
	at := r.IntN(3)
	first, second := w.core[at], w.core[(at+1)%3]
	done := make(chan struct{}, 2)
	go func() { op.replace(first, w.core[(at+2)%3], d); done <- struct{}{} }()
	go func() { op.replace(second, first, d); done <- struct{}{} }()
	w.pause(time.Duration(r.IntN(18_000)) * time.Microsecond)
	over, other := w.trouble("kill", first.name, true), func() {}
	if r.IntN(2) == 0 {
		other = w.trouble("kill", second.name, true)
		first.killHarbour()
		second.killHarbour()
	} else {
		first.kill()
	}
	w.pause(time.Duration(1000+r.IntN(2500)) * time.Millisecond)
	w.must(first.start())
	w.must(second.start())
	over()
	other()
	<-done
	<-done
	if d.pr.Server.Status().VoterSet.Epoch == 1 { // both were killed before anybody was sealed
		w.pause(1500 * time.Millisecond) // they have yet to hear of each other's names
		op.replace(second, first, d)
	}
	op.changed(7, r.IntN(4), "ledger")
	w.becomes(d, store.Serving, 2, 6*time.Second)
	w.pause(3100 * time.Millisecond)
	w.bears(d, op, 8)
}
