package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"saltmast/internal/simulation/checker"
)

// Days are the kinds of days that are played.
var Days = []Day{
	{Name: "quiet", Floor: 0.995, Length: 9 * time.Second, Events: quiet},
	{Name: "changes", Floor: 0.99, Length: 13 * time.Second, Events: changes},
	{Name: "two-at-once", Floor: 0.99, Length: 11 * time.Second, Events: twoAtOnce},
	{Name: "core-kill", Floor: 0.97, Length: 11 * time.Second, Events: coreKill},
	{Name: "core-all-kill", Floor: 0.65, Length: 12 * time.Second, Rate: 40, Keys: 0.7, Again: 2 * time.Second, Events: coreAllKill},
	{Name: "core-wipe", Floor: 0.97, Length: 13 * time.Second, Events: coreWipe},
	{Name: "core-cut", Floor: 0.97, Length: 13 * time.Second, Events: coreCut},
	{Name: "cut-wipe", Floor: 0.97, Length: 13 * time.Second, Events: cutWipe},
	{Name: "core-freeze", Floor: 0.97, Length: 11 * time.Second, Events: coreFreeze},
	{Name: "power", Floor: 0.65, Length: 15 * time.Second, Events: power},
	{Name: "power-wipe", Floor: 0.65, Length: 15 * time.Second, Events: powerWipe},
	{Name: "side-kill", Floor: 0.75, Length: 11 * time.Second, Events: sideKill},
	{Name: "side-stop", Floor: 0.98, Length: 13 * time.Second, Events: sideStop},
	{Name: "side-cut", Floor: 0.75, Length: 13 * time.Second, Events: sideCut},
	{Name: "side-off-core", Floor: 0.96, Length: 13 * time.Second, Keys: 0.4, Events: sideOffCore},
	{Name: "release", Floor: 0.98, Length: 13 * time.Second, Events: release},
	{Name: "core-stop", Floor: 0.97, Length: 15 * time.Second, Events: coreStop},
	{Name: "reuse", Floor: 0.97, Length: 15 * time.Second, Events: reuse},
	{Name: "join", Floor: 0.98, Length: 13 * time.Second, Events: join},
	{Name: "slow", Floor: 0.8, Length: 12 * time.Second, Events: slow},
	{Name: "crash", Floor: 0.95, Length: 11 * time.Second, Events: crash},
	{Name: "lost-answers", Floor: 0.65, Length: 11 * time.Second, Faults: Faults{Lose: 0.05, Cut: 0.05, Late: 0.05, Full: 0.05, Fail: 0.03}},
	{Name: "failing", Floor: 0.2, Length: 13 * time.Second, Faults: Faults{Fail: 0.5, Lose: 0.1, Full: 0.1}},
	{Name: "calls", Floor: 0.8, Length: 13 * time.Second, Calls: 0.5, Faults: Faults{Lose: 0.02, Fail: 0.02, Full: 0.02}, Events: crash},
	{Name: "keys", Floor: 0.7, Length: 11 * time.Second, Keys: 0.6, Faults: Faults{Lose: 0.01}, Events: sideKill},
	{Name: "large", Floor: 0.6, Length: 8 * time.Second, Large: 0.3, Rude: 0.1, Faults: Faults{Lose: 0.02, Cut: 0.05, Late: 0.05, Full: 0.1}, Events: sideKill},
	{Name: "wipe-kill", Floor: 0.8, Length: 13 * time.Second, Keys: 0.4, Events: wipeKill},
	{Name: "thin", Floor: 0.8, Length: 17 * time.Second, Keys: 0.5, Again: 9 * time.Second, Events: thin},
	{Name: "lossy", Floor: 0.9, Length: 13 * time.Second, Keys: 0.3, Events: lossy},
	{Name: "narrow", Floor: 0.5, Length: 13 * time.Second, Rate: 20, Keys: 0.2, Large: 0.2, Events: narrow},
	{Name: "disk", Floor: 0.6, Length: 12 * time.Second, Keys: 0.3, Events: disk},
	{Name: "crowded", Floor: 0.12, Length: 8 * time.Second, Rate: 80, Work: 8},
	{Name: "storm", Floor: 0.35, Length: 18 * time.Second, Keys: 0.3, Faults: Faults{Lose: 0.01, Cut: 0.01, Late: 0.01, Full: 0.02, Fail: 0.01}, Events: storm},
	{Name: "links", Floor: 0.9, Length: 14 * time.Second, Keys: 0.3, Events: links},
	{Name: "seeds", Floor: 0.95, Length: 16 * time.Second, Keys: 0.3, Events: seedsTurn},
	{Name: "old-copy", Floor: 0.8, Length: 15 * time.Second, Rate: 30, Keys: 0.7, Again: 9 * time.Second, Events: oldCopy},
	{Name: "voter-lost", Floor: 0.85, Length: 20 * time.Second, Keys: 0.5, Again: 6 * time.Second, Lost: 2 * time.Second, Events: voterLost},
	{Name: "voter-asked", Floor: 0.85, Length: 17 * time.Second, Keys: 0.5, Again: 6 * time.Second, Lost: 5 * time.Minute, Events: voterAsked},
	{Name: "five", Size: Size{Core: 5}, Floor: 0.85, Length: 20 * time.Second, Keys: 0.5, Again: 6 * time.Second, Events: five},
	{Name: "five-amid", Size: Size{Core: 5}, Floor: 0.85, Length: 14 * time.Second, Keys: 0.5, Again: 6 * time.Second, Events: fiveAmid},
	{Name: "in-turn", Floor: 0.6, Length: 36 * time.Second, Rate: 8, Keys: 0.4, Again: 6 * time.Second, Events: inTurn},
	{Name: "apart-back", Floor: 0.6, Length: 42 * time.Second, Rate: 8, Keys: 0.4, Again: 6 * time.Second, Events: apartBack},
	{Name: "zone-lost", Size: Size{Core: 5, Voters: 3, Together: true}, Floor: 0.6, Length: 42 * time.Second, Rate: 8, Keys: 0.4, Again: 6 * time.Second, Events: zoneLost},
	{Name: "second-loss", Floor: 0.85, Length: 15 * time.Second, Keys: 0.5, Again: 6 * time.Second, Events: secondLoss},
	{Name: "leaver", Floor: 0.85, Length: 16 * time.Second, Keys: 0.5, Again: 6 * time.Second, Lost: 5 * time.Minute, Events: leaver},
	{Name: "stop-amid", Floor: 0.85, Length: 12 * time.Second, Keys: 0.5, Again: 6 * time.Second, Lost: 5 * time.Minute, Events: stopAmid},
	{Name: "core-roll", Floor: 0.9, Length: 14 * time.Second, Keys: 0.4, Again: 6 * time.Second, Events: coreRoll},
	{Name: "voter-amid", Floor: 0.85, Length: 15 * time.Second, Keys: 0.5, Again: 6 * time.Second, Lost: 5 * time.Minute, Events: voterAmid},
	{Name: "long-cut", Floor: 0.6, Length: 32 * time.Second, Rate: 8, Keys: 0.2, Events: longCut},
	{Name: "long-one-way", Floor: 0.6, Length: 32 * time.Second, Rate: 8, Keys: 0.2, Events: longOneWay},
	{Name: "long-freeze", Floor: 0.6, Length: 32 * time.Second, Rate: 8, Keys: 0.2, Events: longFreeze},
	{Name: "long-slow", Floor: 0.6, Length: 32 * time.Second, Rate: 8, Keys: 0.2, Events: longSlow},
	{Name: "long-side", Floor: 0.5, Length: 34 * time.Second, Rate: 8, Keys: 0.2, Events: longSide},
	{Name: "long-triangle", Floor: 0.6, Length: 32 * time.Second, Rate: 8, Keys: 0.2, Events: longTriangle},
	{Name: "long-lure", Floor: 0.6, Length: 32 * time.Second, Rate: 8, Keys: 0.2, Events: longLure},
	{Name: "long-ring", Floor: 0.4, Length: 36 * time.Second, Rate: 8, Events: longRing},
	{Name: "long-turns", Floor: 0.6, Length: 36 * time.Second, Rate: 8, Keys: 0.2, Events: longTurns},
	{Name: "lost-seeds", Floor: 0.85, Length: 22 * time.Second, Rate: 8, Keys: 0.2, Events: lostSeeds},
	{Name: "copies", Floor: 0.6, Length: 11 * time.Second, Rate: 30, Faults: Faults{Late: 0.1, Full: 0.15, Fail: 0.05, Copies: 0.5}},
	{Name: "numbers", Floor: 0.6, Length: 16 * time.Second, Rate: 3, Events: numbers},
	{Name: "numbers-roll", Floor: 0.6, Length: 18 * time.Second, Rate: 3, Events: numbersRoll},
	{Name: "numbers-moved", Floor: 0.6, Length: 18 * time.Second, Rate: 3, Events: numbersMoved},
	{Name: "leavers", Floor: 0.25, Length: 12 * time.Second, Tail: 0.15, Leave: Leave{0.3, 500 * time.Millisecond}, Events: changes},
	{Name: "leavers-amid", Floor: 0.2, Length: 14 * time.Second, Tail: 0.1, Keys: 0.2, Calls: 0.2, Leave: Leave{0.3, 500 * time.Millisecond},
		Faults: Faults{Lose: 0.01, Full: 0.05, Fail: 0.02}, Events: sideKill},
	{Name: "missed", Floor: 0.85, Length: 17 * time.Second, Rate: 4, Events: missed},
	{Name: "behind", Floor: 0.85, Length: 20 * time.Second, Rate: 4, Events: behind},
}

// DayNamed is the kind of day of that name.
func DayNamed(name string) (Day, error) {
	for _, d := range Days {
		if d.Name == name {
			return d, nil
		}
	}
	return Day{}, fmt.Errorf("no day is named %q", name)
}

// middle is when the trouble of a day comes.
func (w *World) middle(r *rand.Rand) {
	w.until(4*time.Second + time.Duration(r.IntN(1500))*time.Millisecond)
}

func with(r route, f func(*route)) route {
	f(&r)
	return r
}

func quiet(w *World, op *operator) {
	w.until(4 * time.Second)
	op.send(&checker.Call{Items: []checker.Item{with(routes[3], func(r *route) { r.deadline = 3 }).item(4)}}, 0, 8*time.Second)
}

// changes moves, adds, splits and removes routes, sends invalid calls, and some again.
func changes(w *World, op *operator) {
	r := op.r
	version := 1
	next := func() int { version += 1 + r.IntN(5); return version }
	one := func(items ...checker.Item) *checker.Call {
		c := &checker.Call{Items: items}
		op.send(c, r.IntN(3), 8*time.Second)
		return c
	}
	look := func(path, kind string) {
		r := rand.New(rand.NewPCG(r.Uint64(), 3))
		w.people.Go(func() {
			for range 4 {
				w.direct(path, kind)
				if !w.pause(time.Duration(300+r.IntN(900)) * time.Millisecond) {
					return
				}
			}
		})
	}
	w.until(3500 * time.Millisecond)
	moved := one(with(routes[0], func(x *route) { x.services = []string{"ledger"} }).item(next()))
	look("/never/was", "idempotent")
	var fresh []route
	for i := range 3 {
		x := route{name: fmt.Sprintf("r-new%d", i), prefix: fmt.Sprintf("/new%d/", i), kind: "idempotent", services: []string{[]string{"pump", "ledger"}[r.IntN(2)]}, deadline: 1, target: 0.3, attempts: 2}
		fresh = append(fresh, x)
		one(x.item(next()))
		look(x.prefix+"look", "idempotent")
		w.pause(time.Duration(r.IntN(400)) * time.Millisecond)
		ghost := x
		ghost.name, ghost.prefix = fmt.Sprintf("r-ghost%d", i), fmt.Sprintf("/ghost%d/", i)
		wrong := x
		wrong.name, wrong.prefix = "r-wrong", "/wrong/"
		switch r.IntN(5) {
		case 0:
			wrong.services = []string{"nobody"}
		case 1:
			wrong.deadline = 0
		case 2:
			wrong.prefix = "wrong/"
		case 3:
			wrong.prefix = routes[1].prefix
		case 4:
			wrong.services = nil
		}
		bad := &checker.Call{Items: []checker.Item{ghost.item(next()), wrong.item(version)}, Invalid: true}
		op.send(bad, r.IntN(3), 3*time.Second)
		look(ghost.prefix+"look", "idempotent")
	}
	one(with(routes[2], func(x *route) { x.services = []string{"pump"} }).item(next())) // operations move with their keys
	one(drop(fresh[0].name, next()))
	look(fresh[0].prefix+"gone", "idempotent")
	one(moved.Items...) // an older change again, at the version that stands
	one(with(routes[0], func(x *route) { x.services = []string{"pump", "ledger"} }).item(next()), with(routes[4], func(x *route) { x.services = []string{"ledger"} }).item(version))
	one(moved.Items...) // and one that was overtaken
	one(fresh[0].item(2))
}

// twoAtOnce has two operators send at one moment to two agents.
func twoAtOnce(w *World, op *operator) {
	other := w.operator("10.9.0.3")
	r := op.r
	for i := range 6 {
		w.until(3500*time.Millisecond + time.Duration(i)*900*time.Millisecond)
		if w.leaves(fmt.Sprint("pair ", i), "two changes at once") {
			continue
		}
		done := make(chan struct{})
		a := with(routes[0], func(x *route) { x.services = []string{[]string{"pump", "ledger"}[i%2]} }).item(10*i + 10)
		b := with(routes[4], func(x *route) { x.services = []string{[]string{"ledger", "pump"}[i%2]} }).item(10*i + 10 + r.IntN(5))
		c := with(routes[0], func(x *route) { x.services = []string{"pump", "ledger"} }).item(10*i + 11 + r.IntN(5))
		go func() {
			defer close(done)
			other.send(&checker.Call{Items: []checker.Item{b, c}}, 1, 8*time.Second)
		}()
		op.send(&checker.Call{Items: []checker.Item{a}}, r.IntN(2)*2, 8*time.Second)
		<-done
	}
	other.p.End()
}

// coreKill kills what runs on a core machine, or a part of it.
func coreKill(w *World, op *operator) {
	w.middle(op.r)
	c := w.core[op.r.IntN(3)]
	over := w.trouble("kill", c.name, true)
	switch op.r.IntN(3) {
	case 0:
		c.killPurser()
	case 1:
		c.killHarbour()
	default:
		c.kill()
	}
	go op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"ledger"} }).item(7)}}, c.n, 6*time.Second)
	w.pause(time.Duration(100+op.r.IntN(1500)) * time.Millisecond)
	w.must(c.start())
	over()
	w.pause(800 * time.Millisecond)
}

// coreAllKill kills all of the core at one moment.
func coreAllKill(w *World, op *operator) {
	w.middle(op.r)
	op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"ledger"} }).item(7)}}, op.r.IntN(3), 6*time.Second)
	w.log.Closing = w.now()
	var overs []func()
	for _, c := range w.core {
		overs = append(overs, w.trouble("kill", c.name, true))
		c.kill()
	}
	for i, c := range w.core {
		w.pause(time.Duration(op.r.IntN(300)) * time.Millisecond)
		w.must(c.start())
		overs[i]()
	}
	w.log.Back = w.now()
}

// coreWipe takes a core machine's disk right after an acknowledgement.
func coreWipe(w *World, op *operator) {
	w.middle(op.r)
	op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"ledger"} }).item(7)}}, op.r.IntN(3), 6*time.Second)
	w.log.Closing = w.now()
	at := op.r.IntN(3)
	for i := range max(1, w.flaw.Wipes) {
		c := w.core[(at+i)%3]
		over := w.trouble("wipe, kill", c.name, true)
		c.kill()
		w.must(c.wipe())
		if i == w.flaw.Wipes-1 || w.flaw.Wipes == 0 {
			w.pause(time.Duration(op.r.IntN(800)) * time.Millisecond)
		}
		defer over()
	}
	for _, c := range w.core {
		w.must(c.start())
	}
	w.log.Back = w.now()
}

// coreCut cuts a core machine off, and has an operator try both sides.
func coreCut(w *World, op *operator) {
	w.middle(op.r)
	c := w.core[op.r.IntN(3)]
	over := w.trouble("cut", c.name, true)
	w.sea.CutOff(c.m)
	w.sea.Join(c.m, op.m) // the operator reaches either side
	w.pause(time.Duration(op.r.IntN(400)) * time.Millisecond)
	op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"ledger"} }).item(7)}}, c.n, 6*time.Second)
	w.pause(time.Duration(500+op.r.IntN(3000)) * time.Millisecond)
	w.sea.Cut(c.m, op.m)
	w.sea.JoinAgain(c.m)
	over()
	w.pause(200 * time.Millisecond)
	op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"pump"} }).item(9)}}, c.n, 6*time.Second)
}

// coreFreeze freezes a core machine.
func coreFreeze(w *World, op *operator) {
	w.middle(op.r)
	c := w.core[op.r.IntN(3)]
	over := w.trouble("freeze", c.name, true)
	c.m.Freeze(true)
	go op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"ledger"} }).item(7)}}, c.n, 6*time.Second)
	w.pause(time.Duration(300+op.r.IntN(2500)) * time.Millisecond)
	c.m.Freeze(false)
	over()
}

// power takes all machines' power right after an acknowledgement.
func power(w *World, op *operator) { blackout(w, op, -1) }

// powerWipe is power with one core machine's disk lost.
func powerWipe(w *World, op *operator) { blackout(w, op, op.r.IntN(3)) }

func blackout(w *World, op *operator, wipe int) {
	w.middle(op.r)
	op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"ledger"} }).item(7), drop(routes[4].name, 7)}}, op.r.IntN(3), 6*time.Second)
	w.log.Closing = w.now()
	over := map[string]func(){}
	for _, c := range w.core {
		over[c.name] = w.trouble("power", c.name, true)
		c.powerOff()
		if c.n == wipe {
			w.must(c.wipe())
		}
	}
	var dark []*tugMachine
	for _, m := range w.tugs {
		if w.leaves("power "+m.name, "power off") {
			continue
		}
		dark = append(dark, m)
		over[m.name] = w.trouble("power", m.name, false)
		m.powerOff()
	}
	w.pause(time.Duration(300+op.r.IntN(1200)) * time.Millisecond)
	for _, c := range w.core {
		w.must(c.powerOn())
		over[c.name]()
		w.pause(time.Duration(op.r.IntN(200)) * time.Millisecond)
	}
	for _, m := range dark {
		if w.flaw.Stay {
			continue
		}
		w.must(m.powerOn())
		over[m.name]()
		w.pause(time.Duration(op.r.IntN(200)) * time.Millisecond)
	}
	w.log.Back = w.now()
}

// sideKill kills a proxy.
func sideKill(w *World, op *operator) {
	w.middle(op.r)
	m := w.tugs[op.r.IntN(4)]
	over := w.trouble("kill", m.name, false)
	m.kill()
	w.pause(time.Duration(50+op.r.IntN(1500)) * time.Millisecond)
	w.must(m.start())
	over()
}

// sideStop stops a proxy in order, and starts it again.
func sideStop(w *World, op *operator) {
	w.middle(op.r)
	w.tugs[op.r.IntN(4)].restart()
}

// restart stops a proxy in order, and starts it again.
func (m *tugMachine) restart() {
	w := m.w
	t := &checker.Trouble{Kind: "stop", Machine: m.name, Planned: true, From: w.now(), To: 1 << 60}
	w.log.AddTrouble(t)
	m.stop()
	w.pause(300 * time.Millisecond)
	w.must(m.start())
	t.To = w.now()
}

// sideCut cuts a machine with a proxy off.
func sideCut(w *World, op *operator) {
	w.middle(op.r)
	m := w.tugs[op.r.IntN(4)]
	over := w.trouble("cut", m.name, false)
	w.sea.CutOff(m.m)
	w.pause(300 * time.Millisecond)
	op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"ledger"} }).item(7)}}, op.r.IntN(3), 6*time.Second)
	w.pause(time.Duration(200+op.r.IntN(3000)) * time.Millisecond)
	w.sea.JoinAgain(m.m)
	over()
}

// sideOffCore cuts two of four proxies off from all that count, while they still reach their neighbours.
func sideOffCore(w *World, op *operator) {
	w.middle(op.r)
	var over []func()
	for _, t := range w.tugs[:2] {
		over = append(over, w.trouble("cut", t.name, false))
		for _, c := range w.core {
			w.sea.Cut(t.m, c.m)
		}
	}
	w.pause(time.Duration(3000+op.r.IntN(1500)) * time.Millisecond)
	for i, t := range w.tugs[:2] {
		for _, c := range w.core {
			w.sea.Join(t.m, c.m)
		}
		over[i]()
	}
}

// release has two backends leave in order, one after the other, and begin new lives.
func release(w *World, op *operator) {
	w.middle(op.r)
	at := op.r.IntN(4)
	for i := range 2 {
		if m := w.tugs[(at+i)%4]; !w.leaves(fmt.Sprint("release ", i), m.name) {
			m.release()
		}
	}
}

// crash ends a backend without a word, and begins a new life.
func crash(w *World, op *operator) {
	w.middle(op.r)
	m := w.tugs[op.r.IntN(4)]
	t := &checker.Trouble{Kind: "crash", Machine: m.name, Backend: true, From: w.now(), To: 1 << 60}
	w.log.AddTrouble(t)
	m.endBackend()
	w.pause(time.Duration(100+op.r.IntN(1500)) * time.Millisecond)
	m.startBackend()
	t.To = w.now()
}

// storm has trouble upon trouble, within what the mesh is to bear: one core machine at a time, any others.
func storm(w *World, op *operator) {
	coreBusy, version := false, 10
	busy := map[*tugMachine]bool{}
	ends := make(chan func(), 64)
	running := 0
	for n := 0; w.now() < 14*time.Second; n++ {
		r := rand.New(rand.NewPCG(op.r.Uint64(), 9)) // of its own: what one draws leaves the next alone
		wait := time.Duration(r.IntN(700)) * time.Millisecond
		took := time.Duration(50+r.IntN(2500)) * time.Millisecond
		begin := func(what string, rest time.Duration, do, after func()) {
			running++
			go func() {
				if w.leaves(fmt.Sprintf("storm %d", n), what) {
					time.Sleep(took)
				} else {
					do()
				}
				time.Sleep(rest)
				ends <- after
			}()
		}
		switch what := r.IntN(10); {
		case what < 3 && !coreBusy:
			coreBusy = true
			c, rest := w.core[r.IntN(3)], 5*time.Second // it counts as lost for a while after it is back
			kind, ill := r.IntN(9), int32(1+r.IntN(3))
			away := []string{"kill", "wipe, kill", "cut", "freeze", "power", "slow", "disk", "lossy", "narrow"}
			begin(away[kind]+" "+c.name, rest, func() {
				switch kind {
				case 8:
					over := w.trouble("narrow", c.name, true)
					w.sea.Narrow(c.m, 200_000)
					time.Sleep(took)
					w.sea.Narrow(c.m, 0)
					over()
				case 7:
					over := w.trouble("lossy", c.name, true)
					w.sea.Lossy(c.m, 0.08)
					time.Sleep(took)
					w.sea.Lossy(c.m, 0)
					over()
				case 6:
					over := w.trouble("disk", c.name, true)
					c.ill.Store(ill)
					time.Sleep(took)
					c.ill.Store(diskWell)
					over()
				case 5:
					over := w.trouble("slow", c.name, true)
					w.sea.Slow(c.m, 300*time.Millisecond)
					time.Sleep(took)
					w.sea.Slow(c.m, 0)
					over()
				default:
					w.awayFor(c, away[kind], took)
				}
			}, func() { coreBusy = false })
		case what < 6:
			m := w.tugs[r.IntN(4)]
			if busy[m] {
				break
			}
			busy[m] = true
			kind := r.IntN(8)
			what := []string{"kill", "cut", "power", "freeze", "crash", "slow", "lossy", "narrow"}[kind]
			begin(what+" "+m.name, 0, func() {
				over := w.trouble(what, m.name, false)
				switch kind {
				case 7:
					w.sea.Narrow(m.m, 200_000)
					time.Sleep(took)
					w.sea.Narrow(m.m, 0)
				case 6:
					w.sea.Lossy(m.m, 0.05)
					time.Sleep(took)
					w.sea.Lossy(m.m, 0)
				case 5:
					w.sea.Slow(m.m, 200*time.Millisecond)
					time.Sleep(took)
					w.sea.Slow(m.m, 0)
				case 0:
					m.kill()
					time.Sleep(took / 2)
					w.must(m.start())
				case 1:
					w.sea.CutOff(m.m)
					time.Sleep(took)
					w.sea.JoinAgain(m.m)
				case 2:
					m.powerOff()
					time.Sleep(took)
					w.must(m.powerOn())
				case 3:
					m.m.Freeze(true)
					time.Sleep(took / 2)
					m.m.Freeze(false)
				case 4:
					m.endBackend()
					time.Sleep(took / 2)
					m.startBackend()
				}
				over()
			}, func() { delete(busy, m) })
		case what == 6:
			m := w.tugs[r.IntN(4)]
			if busy[m] {
				break
			}
			busy[m] = true
			begin("release "+m.name, 0, m.release, func() { delete(busy, m) })
		case what == 7:
			if coreBusy {
				break
			}
			coreBusy = true
			begin("kill all of the core", 4*time.Second, func() {
				var overs []func()
				for _, c := range w.core {
					overs = append(overs, w.trouble("kill", c.name, true))
					c.kill()
				}
				for i, c := range w.core {
					w.must(c.start())
					overs[i]()
				}
			}, func() { coreBusy = false })
		default:
			version += 1 + r.IntN(3)
			c := &checker.Call{Items: []checker.Item{with(routes[4*r.IntN(2)], func(x *route) {
				x.services = [][]string{{"pump"}, {"ledger"}, {"pump", "ledger"}}[r.IntN(3)]
			}).item(version)}}
			at := r.IntN(3)
			begin("a change", 0, func() { op.send(c, at, 4*time.Second) }, func() {})
		}
		w.pause(wait)
		for more := true; more; {
			select {
			case f := <-ends:
				f()
				running--
			default:
				more = false
			}
		}
	}
	for ; running > 0; running-- {
		(<-ends)()
	}
}

// links cuts single paths.
func links(w *World, op *operator) {
	r := op.r
	w.middle(r)
	for n := range 4 {
		a := w.tugs[r.IntN(4)]
		b, name, core := w.core[r.IntN(3)].m, "", false
		if r.IntN(2) == 0 {
			x := w.tugs[r.IntN(4)]
			b, name = x.m, x.name
		}
		if b == a.m || w.leaves(fmt.Sprint("link ", n), a.name+" to "+b.IP) {
			continue
		}
		over := w.trouble("cut from one", a.name, core)
		other := func() {}
		if name != "" {
			other = w.trouble("cut from one", name, false)
		}
		w.sea.Cut(a.m, b)
		op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(x *route) { x.services = []string{[]string{"pump", "ledger"}[r.IntN(2)]} }).item(int(w.now() / time.Millisecond))}}, r.IntN(3), 4*time.Second)
		w.pause(time.Duration(200+r.IntN(2500)) * time.Millisecond)
		w.sea.Join(a.m, b)
		over()
		other()
	}
}

// coreStop stops the core's machines in order, one after the other, and starts them again.
func coreStop(w *World, op *operator) {
	w.middle(op.r)
	at := op.r.IntN(3)
	for i := range 3 {
		c := w.core[(at+i)%3]
		if w.leaves(fmt.Sprint("stop ", i), c.name) {
			continue
		}
		t := &checker.Trouble{Kind: "stop", Machine: c.name, Core: true, Planned: true, From: w.now(), To: 1 << 60}
		w.log.AddTrouble(t)
		c.kill() // a stop in order is no other: it has nothing to finish
		w.pause(time.Duration(100+op.r.IntN(400)) * time.Millisecond)
		w.must(c.start())
		t.To = w.now()
		op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{[]string{"ledger", "pump"}[i%2]} }).item(7 + i)}}, c.n, 6*time.Second)
		w.pause(time.Duration(200+op.r.IntN(1200)) * time.Millisecond)
	}
}

// leave takes a machine away in order: its backend first, then its proxy. Its clients come no more.
func (m *tugMachine) leave() {
	w := m.w
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.depart()
	t := &checker.Trouble{Kind: "stop", Machine: m.name, Planned: true, From: w.now(), To: 1 << 60}
	w.log.AddTrouble(t)
	m.stop()
	m.m.PowerOff()
	m.mu.Lock()
	m.people.End()
	m.mu.Unlock()
}

// arrive has another machine with a backend come.
func (w *World) arrive(t *tugMachine, much float64, until time.Duration) {
	w.log.AddBacked(t.name, t.service)
	t.w = w
	w.must(t.start())
	t.people = t.m.Start()
	t.startBackend()
	w.late = append(w.late, t)
	w.people.Go(t.platform)
	w.people.Go(func() { t.clients(much, until) })
}

// reuse gives the address of a machine that left to one with a backend of another service.
func reuse(w *World, op *operator) {
	w.middle(op.r)
	old := w.tugs[op.r.IntN(4)]
	old.leave()
	w.pause(time.Duration(op.r.IntN(1500)) * time.Millisecond)
	old.m.PowerOn()
	next := &tugMachine{n: 4, m: old.m, name: "side-5", service: map[string]string{"pump": "ledger", "ledger": "pump"}[old.service]}
	w.arrive(next, rate, 13*time.Second)
}

// join has a machine come, and another leave.
func join(w *World, op *operator) {
	w.middle(op.r)
	w.arrive(&tugMachine{n: 5, m: w.sea.Machine("10.3.0.20", "south"), name: "side-6", service: "pump"}, rate, 12*time.Second)
	w.pause(time.Duration(500+op.r.IntN(1000)) * time.Millisecond)
	op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"ledger"} }).item(7)}}, 0, 6*time.Second)
	w.tugs[op.r.IntN(4)].leave()
}

// slow has all that passes from and to one machine take long.
func slow(w *World, op *operator) {
	w.middle(op.r)
	m, name, core := w.core[op.r.IntN(3)].m, "", true
	if at := op.r.IntN(7); at < 4 {
		m, name, core = w.tugs[at].m, w.tugs[at].name, false
	}
	over := w.trouble("slow", name, core)
	w.sea.Slow(m, time.Duration(50+op.r.IntN(700))*time.Millisecond)
	op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"ledger"} }).item(7)}}, op.r.IntN(3), 6*time.Second)
	w.pause(time.Duration(500+op.r.IntN(2500)) * time.Millisecond)
	w.sea.Slow(m, 0)
	over()
}

// wipeKill takes a core machine's disk while a change is under way, and kills all of the core while that is made up for.
func wipeKill(w *World, op *operator) {
	w.middle(op.r)
	r := op.r
	c := w.core[r.IntN(3)]
	over := w.trouble("wipe, kill", c.name, true)
	done := make(chan struct{})
	change := &checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"ledger"} }).item(7)}}
	at := r.IntN(3)
	go func() { op.send(change, at, 8*time.Second); close(done) }()
	w.pause(time.Duration(r.IntN(3000)) * time.Microsecond)
	c.kill()
	w.must(c.wipe())
	w.pause(time.Duration(r.IntN(600)) * time.Millisecond)
	w.must(c.start())
	w.pause(time.Duration(249_000+r.IntN(15_000)) * time.Microsecond) // it is about to make up for it
	var overs []func()
	for _, x := range w.core {
		overs = append(overs, w.trouble("kill", x.name, true))
		x.kill()
	}
	for i, x := range w.core {
		w.pause(time.Duration(r.IntN(200)) * time.Millisecond)
		w.must(x.start())
		overs[i]()
	}
	over()
	<-done
}

// disk has a core machine's disk be slow, hang or refuse, and kills what runs there at the end of it, or not.
func disk(w *World, op *operator) {
	w.middle(op.r)
	r := op.r
	c := w.core[r.IntN(3)]
	over := w.trouble("disk", c.name, true)
	c.ill.Store(int32(1 + r.IntN(3)))
	op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"ledger"} }).item(7)}}, c.n, 6*time.Second)
	w.pause(time.Duration(300+r.IntN(3000)) * time.Millisecond)
	if r.IntN(2) == 0 {
		c.kill()
		w.must(c.start())
	}
	c.ill.Store(diskWell)
	over()
	w.pause(300 * time.Millisecond)
	op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"pump"} }).item(9)}}, c.n, 6*time.Second)
}

// thin has keys and a change known to two core machines alone, and then takes the disk of one of these, once the third has been
// back for as long as it counts as lost.
func thin(w *World, op *operator) {
	w.until(3 * time.Second)
	r := op.r
	at := r.IntN(3)
	out, lost := w.core[at], w.core[(at+1+r.IntN(2))%3]
	over := w.trouble("cut", out.name, true)
	w.sea.CutOff(out.m)
	w.pause(500 * time.Millisecond)
	op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(r *route) { r.services = []string{"ledger"} }).item(7)}}, lost.n, 6*time.Second)
	w.until(5 * time.Second)
	w.sea.JoinAgain(out.m)
	over()
	w.pause(4100 * time.Millisecond)
	over = w.trouble("wipe, kill", lost.name, true)
	lost.kill()
	w.must(lost.wipe())
	w.pause(time.Duration(r.IntN(500)) * time.Millisecond)
	w.must(lost.start())
	over()
}
