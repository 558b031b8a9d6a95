package simulation

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"
	"time"

	"saltmast/internal/simulation/checker"
	"saltmast/internal/store"
)

// Days on which voters are lost one after the other and the roll has to move by itself in between.

// newcomer starts a core machine that is new, with an empty disk, at another address. Its settings name the core as it is now.
func (w *World) newcomer(zone string) *coreMachine {
	w.came++
	name := fmt.Sprintf("core-new-%d", w.came)
	c := &coreMachine{w: w, n: len(w.core), name: name, dir: filepath.Join(w.dir, name), gone: make(chan struct{}), lag: w.rand("disk " + name)}
	close(c.gone)
	for _, x := range w.core {
		c.seed = append(c.seed, net.JoinHostPort(x.m.IP, portControl))
	}
	c.seed = c.seed[:3]
	c.m = w.sea.Machine(fmt.Sprintf("10.7.0.%d", 1+w.came), zone)
	w.must(c.start())
	return c
}

// inTurn removes core machines for good, the oldest first, each catchup-s after the start of the last one's successor; with a machine
// that stands apart besides or without. Some are replaced as planned work: the new one first, then a SIGTERM. Then one that counts
// is lost for a while.
func inTurn(w *World, op *operator) {
	r := op.r
	w.until(4 * time.Second)
	if r.IntN(2) == 0 {
		w.core = append(slices.Clone(w.core), w.newcomer("south"))
		w.pause(catchUp)
	}
	for n := range 4 {
		at := n % len(w.core)
		old := w.core[at]
		var next *coreMachine
		var begun time.Duration
		var over func()
		if r.IntN(3) == 0 {
			next, begun = w.newcomer(old.m.Zone), w.now()
			w.pause(time.Second)
			t := &checker.Trouble{Kind: "stop", Machine: old.name, Core: true, Planned: true, From: w.now(), To: 1 << 60}
			w.log.AddTrouble(t)
			over = func() { t.To = w.now() }
			go old.stop()
		} else {
			over = w.trouble("removed", old.name, true)
			old.powerOff()
			w.must(old.wipe())
			w.pause(time.Second)
			next, begun = w.newcomer(old.m.Zone), w.now()
		}
		w.core = slices.Clone(w.core)
		w.core[at] = next
		op.soon(7+n, r.IntN(len(w.core)), []string{"ledger", "pump"}[n%2], 4*time.Second, "a removal")
		w.until(begun + catchUp)
		over()
	}
	back := w.loses(op, w.core[r.IntN(len(w.core))])
	op.soon(12, r.IntN(len(w.core)), "ledger", 4*time.Second, "a loss after removals")
	w.pause(time.Duration(r.IntN(1500)) * time.Millisecond)
	back()
}

// rolls is the highest epoch that the core machines speak in, and how many speak in it.
func (w *World) rolls() (epoch uint64, speak int) {
	for _, c := range w.core {
		switch is := c.pr.Server.Status(); {
		case is.State != store.Serving || is.VoterSet.Epoch < epoch:
		case is.VoterSet.Epoch > epoch:
			epoch, speak = is.VoterSet.Epoch, 1
		default:
			speak++
		}
	}
	return epoch, speak
}

// apartBack has a machine stand apart beside three that count, of which one is lost for up to 5 s and comes back, again and again: the
// roll moves once for each loss at the most, and not for one that is short, nor when all go at once and come back.
func apartBack(w *World, op *operator) {
	r := op.r
	w.until(4 * time.Second)
	w.core = append(slices.Clone(w.core), w.newcomer("south"))
	w.pause(catchUp)
	settles := func(most uint64, why string) {
		for end := w.now() + catchUp; w.now() < end; w.pause(50 * time.Millisecond) {
			if _, n := w.rolls(); n == 3 {
				break
			}
		}
		if epoch, n := w.rolls(); n != 3 || epoch > most {
			w.must(fmt.Errorf("%8.3f %s: %d speak in epoch %d, which is to be %d at the most", w.now().Seconds(), why, n, epoch, most))
		}
	}
	for n := range 3 {
		epoch, _ := w.rolls()
		c := w.core[r.IntN(4)]
		for c.pr.Server.Status().State != store.Serving {
			c = w.core[r.IntN(4)]
		}
		most, took := epoch+1, time.Duration(r.IntN(5000))*time.Millisecond
		if took < time.Second {
			most = epoch
		}
		began := w.now()
		back := w.loses(op, c)
		op.soon(7+n, r.IntN(4), []string{"ledger", "pump"}[n%2], 4*time.Second, "a loss with a machine apart")
		if w.until(began + took); w.now()-began > 1200*time.Millisecond {
			most = epoch + 1
		}
		back()
		at := w.now()
		settles(most, "a loss with a machine apart")
		w.until(at + catchUp)
	}
	epoch, _ := w.rolls()
	var over []func()
	for _, c := range w.core {
		over = append(over, w.trouble("kill", c.name, true))
		c.kill()
	}
	w.pause(time.Duration(200+r.IntN(800)) * time.Millisecond)
	for _, c := range w.core {
		w.must(c.start())
	}
	w.pause(catchUp)
	for _, f := range over {
		f()
	}
	settles(epoch, "all at once")
}

// zoneLost has five core machines, of which the three that found the roll share a zone, and each zone is to be borne: the roll
// spreads by itself; then one zone after the other is lost.
func zoneLost(w *World, op *operator) {
	r := op.r
	for end := w.now() + 8*time.Second; w.now() < end; w.pause(50 * time.Millisecond) {
		if epoch, n := w.rolls(); epoch > 1 && n == 3 {
			break
		}
	}
	w.pause(catchUp)
	zones := []string{"east", "west", "south"}
	r.Shuffle(len(zones), func(i, j int) { zones[i], zones[j] = zones[j], zones[i] })
	for n, zone := range zones {
		var lost []*coreMachine
		for _, c := range w.core {
			if c.m.Zone == zone {
				lost = append(lost, c)
			}
		}
		back := w.loses(op, lost...)
		op.soon(7+n, r.IntN(5), []string{"ledger", "pump"}[n%2], 4*time.Second, "the loss of the zone "+zone)
		w.pause(time.Duration(r.IntN(3500)) * time.Millisecond)
		back()
		w.pause(catchUp)
	}
}
