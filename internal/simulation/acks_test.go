package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"saltmast/internal/simulation/checker"
)

// An order that any agent is asked for first, the lost one too, is acknowledged soon while a core machine is lost in some way: at once
// by the others, once the caller has left the silent one. What is counted is as the rule Acks counts, in settled stretches alone.
func TestAcks(t *testing.T) {
	const lost, back = 4 * time.Second, 12 * time.Second
	const answers, silent = time.Second, 2 * time.Second // where all agents answer, or one costs its caller a second, and a round of the next one
	type way struct {
		name       string
		most       time.Duration // in a settled stretch
		begin, end func(w *World, c *coreMachine)
	}
	nothing := func(*World, *coreMachine) {}
	ill := func(how int32) func(*World, *coreMachine) { return func(_ *World, c *coreMachine) { c.ill.Store(how) } }
	wiped := func(w *World, c *coreMachine) {
		c.kill()
		w.must(c.wipe())
		w.pause(100 * time.Millisecond)
		w.must(c.start())
	}
	for _, x := range []way{
		{"killed", answers, func(_ *World, c *coreMachine) { c.kill() }, func(w *World, c *coreMachine) { w.must(c.start()) }},
		{"frozen", silent, func(_ *World, c *coreMachine) { c.m.Freeze(true) }, func(_ *World, c *coreMachine) { c.m.Freeze(false) }},
		{"cut off", silent, func(w *World, c *coreMachine) { w.sea.CutOff(c.m) }, func(w *World, c *coreMachine) { w.sea.JoinAgain(c.m) }},
		{"cut off from the core", answers, func(w *World, c *coreMachine) {
			w.sea.Cut(c.m, w.core[(c.n+1)%3].m)
			w.sea.Cut(c.m, w.core[(c.n+2)%3].m)
		}, func(w *World, c *coreMachine) {
			w.sea.Join(c.m, w.core[(c.n+1)%3].m)
			w.sea.Join(c.m, w.core[(c.n+2)%3].m)
		}},
		{"wiped", answers, wiped, nothing},
		{"disk slow", answers, ill(diskSlow), ill(diskWell)},
		{"disk hangs", answers, ill(diskHangs), ill(diskWell)},
		{"disk refuses", answers, ill(diskRefuses), ill(diskWell)},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			var first, settled []time.Duration // sent in the 3 s after it began; later
			for seed := *from; seed < *from+uint64(*seeds); seed++ {
				d := Day{Name: "acks", Length: 15 * time.Second, Rate: 1, Events: func(w *World, op *operator) {
					c := w.core[op.r.IntN(3)]
					for i, o := range w.office(3).all { // each asks another one first
						w.people.Go(func() {
							for v := 1; w.now() < back+2*time.Second; v++ {
								call := &checker.Call{Items: []checker.Item{with(routes[4], func(r *route) { r.name, r.prefix = fmt.Sprint("r-own", i), fmt.Sprintf("/own%d/", i) }).item(v)}}
								o.send(call, i, 6*time.Second)
								w.pause(time.Duration(o.r.IntN(300)) * time.Millisecond)
							}
							o.p.End()
						})
					}
					w.until(lost)
					over := w.trouble(x.name, c.name, true)
					x.begin(w, c)
					w.until(back)
					x.end(w, c)
					over()
				}}
				l, broken, _ := Play(t, d, seed, Flaw{})
				if l == nil {
					return
				}
				if len(broken) > 0 {
					t.Error(Report(d, seed, broken))
				}
				for _, c := range l.Calls {
					switch took := c.Acked - c.Sent; {
					case len(c.Items) != 1 || c.Sent < lost || c.Sent >= back-2*time.Second:
					case c.Acked == 0:
						t.Errorf("seed %d: not acknowledged: sent at %v", seed, c.Sent)
					case c.Sent < lost+l.Bounds.Contact:
						first = append(first, took)
					default:
						settled = append(settled, took)
					}
				}
			}
			slices.Sort(first)
			slices.Sort(settled)
			at := func(of []time.Duration) time.Duration { return of[len(of)/2].Round(time.Millisecond) }
			t.Logf("%s: first 3 s: %d orders, p50 %v, max %v; then: %d, p50 %v, max %v", x.name, len(first), at(first), first[len(first)-1].Round(time.Millisecond),
				len(settled), at(settled), settled[len(settled)-1].Round(time.Millisecond))
			if m := settled[len(settled)-1]; m > x.most {
				t.Errorf("an order waited %v in a settled stretch, %v at the most", m, x.most)
			}
		})
	}
}
