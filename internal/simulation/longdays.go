package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Days of a minute, of larger meshes, and with many orders at once.

// longDays are the kinds of this file and of stormdays.go.
var longDays = []Day{
	{Name: "eight-orders", Floor: 0.95, Length: 20 * time.Second, Rate: 6, Keys: 0.3, Size: Size{Core: 5, Voters: 3, Sides: 12}, Events: eightOrders},
	{Name: "minute-cut", Floor: 0.9, Length: 60 * time.Second, Rate: 3, Keys: 0.3, Again: 9 * time.Second, Events: minuteCut},
	{Name: "five-voters", Floor: 0.9, Length: 26 * time.Second, Rate: 4, Keys: 0.4, Again: 6 * time.Second, Size: Size{Core: 5, Voters: 5, Sides: 12}, Events: fiveVoters},
	{Name: "blackout-amid", Floor: 0.5, Length: 32 * time.Second, Rate: 8, Keys: 0.6, Again: 6 * time.Second, Size: Size{Sides: 6}, Events: blackoutAmid},
}

func init() { Days = append(Days, longDays...) }

// eightOrders has eight operators send orders all the time in a mesh of 5 core machines, of which 3 count, and 12 proxies; answers are lost.
func eightOrders(w *World, op *operator) {
	w.until(3 * time.Second)
	f := w.office(8)
	defer f.close()
	wait := f.work(15*time.Second, 300*time.Millisecond, 0.25)
	w.until(8 * time.Second)
	c := w.voters()[op.r.IntN(w.size.Voters)]
	if !w.leaves("kill", c.name) {
		w.awayFor(c, "kill", time.Duration(200+op.r.IntN(2000))*time.Millisecond)
	}
	wait()
}

// minuteCut cuts one that counts off for 20 s of a minute, from all or from the others that count alone, while hundreds of changes are made;
// two proxies are cut off with it and a third begins anew beside it.
func minuteCut(w *World, op *operator) {
	r := op.r
	w.until(3 * time.Second)
	f := w.office(8)
	defer f.close()
	wait := f.work(52*time.Second, 1000*time.Millisecond, 0.1)
	w.until(8*time.Second + time.Duration(r.IntN(3000))*time.Millisecond)
	c := w.voters()[r.IntN(w.size.Voters)]
	beside := w.tugs[r.IntN(4)]
	alone := r.IntN(2) == 0 // from the others that count, and reached by all the rest
	over := w.trouble("cut", c.name, true)
	out := w.trouble("cut", beside.name, false)
	for _, x := range w.core {
		if x != c {
			w.sea.Cut(c.m, x.m)
			w.sea.Cut(beside.m, x.m)
		}
	}
	if !alone {
		for _, m := range w.tugs {
			if m != beside {
				w.sea.Cut(c.m, m.m)
			}
		}
		for _, o := range f.all[:4] {
			w.sea.Cut(c.m, o.m)
		}
	}
	w.pause(8 * time.Second)
	if !w.leaves("begins anew", beside.name) { // with none but the one that is cut off to tell it anything
		beside.kill()
		w.pause(300 * time.Millisecond)
		w.must(beside.start())
	}
	w.pause(12 * time.Second)
	for _, x := range w.core {
		if x != c {
			w.sea.Join(c.m, x.m)
			w.sea.Join(beside.m, x.m)
		}
	}
	if !alone {
		for _, m := range w.tugs {
			if m != beside {
				w.sea.Join(c.m, m.m)
			}
		}
		for _, o := range f.all[:4] {
			w.sea.Join(c.m, o.m)
		}
	}
	over()
	out()
	w.pause(4100 * time.Millisecond) // it has caught up: another may go
	x := w.voters()[(c.n+1+r.IntN(2))%3]
	if !w.leaves("wipe", x.name) {
		w.awayFor(x, "wipe, kill", time.Duration(r.IntN(1500))*time.Millisecond)
	}
	wait()
}

// fiveVoters loses two of five that count at once, twice, in every way, with orders all the time.
func fiveVoters(w *World, op *operator) {
	r := op.r
	w.until(3 * time.Second)
	f := w.office(4)
	defer f.close()
	wait := f.work(21*time.Second, 400*time.Millisecond, 0.15)
	at := r.IntN(5)
	for n := range 2 {
		w.until(5*time.Second + time.Duration(n)*8*time.Second + time.Duration(r.IntN(1000))*time.Millisecond)
		for i := range 2 {
			c := w.core[(at+2*n+i)%5]
			kind, took := r.IntN(4), time.Duration(300+r.IntN(2500))*time.Millisecond
			what := []string{"kill", "wipe, kill", "cut", "freeze"}[kind]
			if w.leaves(fmt.Sprintf("loss %d.%d", n, i), what+" "+c.name) {
				continue
			}
			w.people.Go(func() { w.awayFor(c, what, took) })
		}
	}
	wait()
}

// blackoutAmid has all that count lose power, or be killed, in the middle of a day and again, while orders and keys are under way; the
// day goes on, and ends with a closing fault right after any acknowledgement.
func blackoutAmid(w *World, op *operator) {
	r := op.r
	w.until(3 * time.Second)
	f := w.office(8)
	defer f.close()
	wait := f.work(20*time.Second, 500*time.Millisecond, 0.15)
	for n := range 2 {
		w.until(6*time.Second + time.Duration(n)*8*time.Second + time.Duration(r.IntN(1500))*time.Millisecond)
		if w.leaves(fmt.Sprint("blackout ", n), "all that count") {
			continue
		}
		w.acknowledged(f, r)
		w.allGo(r, r.IntN(2) == 0, time.Duration(200+r.IntN(900))*time.Millisecond)
	}
	wait()
	w.until(22 * time.Second)
	w.closes(f, op, r)
}

// allGo has all that count be killed, or lose power, and come back one by one.
func (w *World) allGo(r *rand.Rand, power bool, down time.Duration) {
	var overs []func()
	for _, c := range w.core {
		overs = append(overs, w.trouble(map[bool]string{true: "power", false: "kill"}[power], c.name, true))
		if power {
			c.powerOff()
		} else {
			c.kill()
		}
	}
	w.pause(down)
	for i, c := range w.core {
		if power {
			w.must(c.powerOn())
		} else {
			w.must(c.start())
		}
		overs[i]()
		w.pause(time.Duration(r.IntN(200)) * time.Millisecond)
	}
}

// acknowledged waits for an acknowledgement of any sort, 3 s at the most: of a key's first answer, of a backend that leaves, of a change.
func (w *World) acknowledged(f *office, r *rand.Rand) string {
	at, sort := w.now(), r.IntN(3)
	acked := f.acked.Load()
	for w.now() < at+3*time.Second && w.pause(500*time.Microsecond) {
		switch {
		case sort == 0 && w.taken.Load() > int64(at), sort == 1 && f.acked.Load() > acked:
			return []string{"a key", "a change"}[sort]
		case sort == 2:
			m := w.tugs[r.IntN(len(w.tugs))]
			m.mu.Lock()
			b := m.backend
			m.mu.Unlock()
			if b != nil && b.beat() {
				return "a beat"
			}
		}
	}
	return ""
}

// closes is a closing fault after any acknowledgement: all lose power, all that count are killed, or as many as may lose their disks, with
// power for the others or without.
func (w *World) closes(f *office, op *operator, r *rand.Rand) {
	if w.leaves("closing", "fault") {
		return
	}
	if r.IntN(2) == 0 {
		op.send(f.draw(r, 0), r.IntN(w.size.Voters), 6*time.Second)
	} else {
		w.acknowledged(f, r)
	}
	w.log.Closing = w.now()
	over := map[string]func(){}
	sort, down := r.IntN(3), time.Duration(300+r.IntN(1200))*time.Millisecond
	at := r.IntN(w.size.Voters)
	for i := range w.size.bears() {
		c := w.voters()[(at+i)%w.size.Voters]
		if sort == 2 {
			over[c.name] = w.trouble("wipe, power", c.name, true)
			c.powerOff()
			w.must(c.wipe())
		}
	}
	others := sort < 2 || r.IntN(2) == 0
	for _, c := range w.core {
		if over[c.name] == nil && others {
			over[c.name] = w.trouble("power", c.name, true)
			if sort == 1 {
				c.kill()
			} else {
				c.powerOff()
			}
		}
	}
	var dark []*tugMachine
	for _, m := range w.tugs {
		if sort == 0 && m.open() {
			dark = append(dark, m)
			over[m.name] = w.trouble("power", m.name, false)
			m.powerOff()
		}
	}
	w.pause(down)
	for _, c := range w.core {
		if over[c.name] == nil {
			continue
		}
		if sort == 1 {
			w.must(c.start())
		} else {
			w.must(c.powerOn())
		}
		over[c.name]()
		w.pause(time.Duration(r.IntN(200)) * time.Millisecond)
	}
	for _, m := range dark {
		w.must(m.powerOn())
		over[m.name]()
	}
	w.log.Back = w.now()
}
