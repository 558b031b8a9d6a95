package simulation

import (
	"fmt"
	"strings"
	"time"

	"saltmast/internal/simulation/checker"
	"saltmast/internal/store"
)

// Days on which a core machine misses so much that it can't be told at once.

// wholeIn is how long a voter that is back may take until another may be lost.
const wholeIn = 4 * time.Second

// grow has the operator add routes in some calls, of about 1.2 KB each, and then change one of them again and again.
func (o *operator) grow(calls, each, singles, at int) {
	much := func(i, version int) checker.Item {
		return route{name: fmt.Sprintf("r-much%04d", i), prefix: fmt.Sprintf("/much%04d/%s/", i, strings.Repeat("x", 900)), kind: "idempotent",
			services: []string{"pump"}, deadline: 1, target: 0.3, attempts: 2}.item(version)
	}
	change := func(items ...checker.Item) {
		if !o.send(&checker.Call{Items: items}, at, 6*time.Second) {
			o.w.must(fmt.Errorf("%8.3f %s: was not taken", o.w.now().Seconds(), items[0].Name))
		}
	}
	for n := range calls {
		var items []checker.Item
		for i := range each {
			items = append(items, much(n*each+i, 1))
		}
		change(items...)
	}
	for i := range singles {
		change(much(o.r.IntN(calls*each), 2+i))
	}
}

// missed kills a core machine, takes its disk as well, or has another take its place, while over a MiB of routes comes in many
// changes. It is back, or the other is there, for as long as it may take to catch up; then another one is killed.
func missed(w *World, op *operator) {
	r := op.r
	w.until(2800 * time.Millisecond)
	at, how := r.IntN(3), r.IntN(3)
	down, next := w.core[at], w.core[(at+1+r.IntN(2))%3]
	other := w.core[3-at-next.n]
	over := w.trouble("kill", down.name, true)
	down.kill()
	if how == 2 { // the roll is of the other three from here on, and the one that comes last has all to learn
		d := w.another()
		op.grow(40, 30, 30, next.n)
		if t, err := op.replace(next, down, d); err != nil || t.Error != "" {
			w.must(fmt.Errorf("the roll was not changed: %v, %s", err, t.Error))
		}
		w.becomes(d, store.Serving, 2, wholeIn)
		over()
		w.bears(other, op, 1000)
		return
	}
	if how == 1 {
		w.must(down.wipe())
	}
	op.grow(40, 30, 30, next.n)
	w.must(down.start())
	w.pause(time.Duration(r.IntN(200)) * time.Millisecond)
	if r.IntN(2) == 0 { // while it is taught
		down.kill()
		w.must(down.start())
	}
	over()
	w.pause(wholeIn)
	w.bears(other, op, 1000)
}

// behind has a core machine miss over a MiB of routes, with its disk lost or not, and catch up while eight operators go on with about thirty
// changes a second, which it leads as well as the others. At one of its next syncs, which are those of the pages, its disk refuses, hangs
// or is slow for a while, or its programs are killed; half of the time they begin anew behind that. Another one is killed once it counts as
// back; where its disk is not lost, perhaps at once.
func behind(w *World, op *operator) {
	r := op.r
	w.until(2800 * time.Millisecond)
	at, lost, ails := r.IntN(3), r.IntN(2) == 0, r.IntN(4)
	down, next := w.core[at], w.core[(at+1+r.IntN(2))%3]
	other := w.core[3-at-next.n]
	over := w.trouble("kill", down.name, true)
	down.kill()
	op.grow(40, 30, 0, next.n)
	if lost {
		w.must(down.wipe())
	}
	f := w.office(8)
	defer f.close()
	wait := f.work(w.now()+11*time.Second, 250*time.Millisecond, 0.1)
	w.pause(500 * time.Millisecond)
	for range 2 {
		began := make(chan struct{})
		a := &amid{do: func() { down.ill.Store(int32(ails)); close(began) }}
		a.left.Store(int32(1 + r.IntN(10)))
		down.amid.Store(a)
		w.must(down.start())
		select {
		case <-began:
			w.note("day")("behind", fmt.Sprintf("ill: %d", ails))
		case <-time.After(time.Second):
		}
		if ails > 0 {
			w.pause(time.Duration(20+r.IntN(800)) * time.Millisecond)
		}
		if ails == 0 || r.IntN(2) == 0 {
			down.kill()
		}
		down.amid.Store(nil)
		down.ill.Store(diskWell)
		if down.runs {
			break
		}
	}
	if !down.runs {
		w.must(down.start())
	}
	over()
	if lost || r.IntN(2) == 0 {
		w.pause(wholeIn)
	}
	over = w.trouble("kill", other.name, true)
	other.kill()
	op.soon(1000, down.n, "ledger", 4*time.Second, "the loss of another one beside one that caught up amid changes")
	w.pause(1500 * time.Millisecond)
	w.must(other.start())
	over()
	wait()
}
