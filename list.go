package saltmast

// Which backends there are, by the list and by the operators, and when the list is asked for.

import (
	"math"
	"time"
)

func (b *Balancer) onList(e List) {
	switch {
	case e.Kind == ListFailed && !b.s.Subscribe:
		return
	case e.Kind == ListFailed: // asked again after an exponential, fully jittered wait
		b.askFails++
		b.askToken = b.alarm(time.Duration(b.rng.Float64() *
			min(b.askUnit()*math.Exp2(float64(min(b.askFails, 4))), askAtMost*float64(b.s.AskWithin))))
		return
	case e.Kind == ListCached && b.s.Subscribe: // spread in time, since all agents may start at once
		b.askToken = b.alarm(time.Duration(b.rng.Float64() * min(b.askUnit(), float64(b.s.AskWithin)/2)))
	default:
		b.askFails = 0
	}
	part := b.setPart()
	listed := map[string]bool{}
	for _, n := range e.Backends {
		listed[n.ID] = true
		switch t := b.byID[n.ID]; {
		case t == nil && n.State == Gone:
		case t == nil:
			t = &backend{Backend: n, hash: hash(n.ID), shuns: map[*classState]shun{}}
			t.withdrawn, b.byID[n.ID] = b.withdrawn[n.ID], t
			b.backends = append(b.backends, t)
			if n.Started > 0 {
				b.start(t, n.Started)
			}
			b.join(t, part)
		default:
			if n.Started > t.Started {
				b.start(t, max(n.Started, t.warmFrom))
				t.strikes, t.ejected, t.down, t.hearsay = 0, 0, false, false
				b.join(t, part)
			}
			t.Backend = n
		}
	}
	for _, t := range b.backends {
		if e.Kind != ListDelta && !listed[t.ID] {
			t.State = Gone
		}
	}
	b.forgetGone()
}

// onMaintenance takes a backend out of service, whatever the list says until it is put back. Then it counts
// as started at that time: it was restarted while it was out, which the list tells late. What it was blamed
// for is over.
func (b *Balancer) onMaintenance(e Maintenance) {
	t := b.byID[e.Backend]
	if e.Out {
		b.withdrawn[e.Backend] = true
	} else {
		delete(b.withdrawn, e.Backend)
	}
	if t == nil {
		return
	}
	t.withdrawn, t.back = e.Out, false
	if !e.Out {
		b.start(t, max(e.Since, t.warmFrom))
		t.strikes, t.ejected, t.down, t.fails, t.fullTill, t.joined, t.back = 0, 0, false, 0, 0, true, true
		clear(t.shuns)
	}
}

// askUnit is the span over which calls of the list are spread at the least. The list is one service for all
// and does not grow with the fleet: beyond askFleet agents the span grows with their number, so that all
// together call no more often. Guards against a storm of calls that all fail because all call: in the model
// with 1,280 agents 97% failed, 4,700 in a second.
func (b *Balancer) askUnit() float64 {
	return float64(b.s.AskWithin) / 64 * max(1, float64(b.s.Balancers)/askFleet)
}
