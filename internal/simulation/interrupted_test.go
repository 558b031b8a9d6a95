package simulation

import (
	"slices"
	"testing"
	"time"

	"saltmast/internal/store"
)

// A change of the roll whose machine is lost in the moment of the seal is finished by another one soon, and not only once the lease of
// the lost one is over: until then no key is granted and no order taken.
func TestInterruptedChange(t *testing.T) {
	const most = 1300 * time.Millisecond // a look that begins, the time that a change may take, the longest draw, and the change
	n := 4 * uint64(*seeds)
	if raceOn {
		n = 1 // which takes six times as long
	}
	var took []time.Duration
	for seed := *from; seed < *from+n; seed++ {
		d := Day{Name: "interrupted", Length: 14 * time.Second, Lost: 2 * time.Second, Events: func(w *World, op *operator) {
			w.until(2800 * time.Millisecond)
			w.another()
			w.middle(op.r)
			lost := w.core[op.r.IntN(3)]
			over := w.trouble("power", lost.name, true)
			lost.powerOff()
			rest := slices.DeleteFunc(slices.Clone(w.core), func(c *coreMachine) bool { return c == lost })
			for end := w.now() + 9*time.Second; w.now() < end && !w.sealed(); time.Sleep(100 * time.Microsecond) {
			}
			begun := w.now()
			for _, c := range rest { // whoever has the duty, among them: its lease goes on
				c.killHarbour()
			}
			w.pause(20 * time.Millisecond)
			for _, c := range rest {
				if is := c.pr.Server.Status(); is.VoterSet.Epoch != 1 {
					t.Errorf("seed %d: %s is in epoch %d: the change was not interrupted", seed, c.name, is.VoterSet.Epoch)
				}
				w.must(c.start())
			}
			speaks := func(c *coreMachine) bool {
				is := c.pr.Server.Status()
				return is.State == store.Serving && !is.EpochEnded && is.VoterSet.Epoch == 2
			}
			for w.now() < begun+6*time.Second && !slices.ContainsFunc(rest, speaks) {
				w.pause(10 * time.Millisecond)
			}
			took = append(took, w.now()-begun)
			over()
			op.changed(7, rest[0].n, "ledger")
		}}
		l, broken, _ := Play(t, d, seed, Flaw{})
		if l == nil {
			return
		}
		if len(broken) > 0 {
			t.Error(Report(d, seed, broken))
		}
	}
	slices.Sort(took)
	t.Logf("finished after %v", took)
	if last := took[len(took)-1]; last > most {
		t.Errorf("finished after %v, %v at the most", last, most)
	}
}
