package saltmast

// The set of backends, from the list and from maintenance, and the subscription to the list.

import (
	"math"
	"time"
)

func (b *Balancer) onList(e List) {
	switch {
	case e.Kind == ListFailed && !b.cfg.Subscribe:
		return
	case e.Kind == ListFailed: // retried with exponential backoff and full jitter
		b.subscribeFailures++
		b.subscribeToken = b.setTimer(time.Duration(b.rng.Float64() *
			min(b.subscribeSpread()*math.Exp2(float64(min(b.subscribeFailures, 4))),
				maxSubscribeWait*float64(b.cfg.AskWithin))))
		return
	case e.Kind == ListCached && b.cfg.Subscribe: // jittered, since all agents may start at once
		b.subscribeToken = b.setTimer(time.Duration(b.rng.Float64() *
			min(b.subscribeSpread(), float64(b.cfg.AskWithin)/2)))
	default:
		b.subscribeFailures = 0
	}
	share := b.workingSetShare()
	listed := map[string]bool{}
	for _, n := range e.Backends {
		listed[n.ID] = true
		switch t := b.byID[n.ID]; {
		case t == nil && n.State == Gone:
		case t == nil:
			t = &backend{Backend: n, hash: hash(n.ID), classEjections: map[*classState]classEjection{}}
			t.outOfService, b.byID[n.ID] = b.outOfService[n.ID], t
			b.backends = append(b.backends, t)
			if n.Started > 0 {
				b.markStarted(t, n.Started)
			}
			b.joinWorkingSet(t, share)
		default:
			if n.Started > t.Started {
				b.markStarted(t, max(n.Started, t.rampStart))
				t.strikes, t.ejectedUntil, t.down, t.ejectedByPeers = 0, 0, false, false
				b.joinWorkingSet(t, share)
			}
			t.Backend = n
		}
	}
	for _, t := range b.backends {
		if e.Kind != ListDelta && !listed[t.ID] {
			t.State = Gone
		}
	}
	b.removeGone()
}

// onMaintenance takes a backend out of service, whatever the list says, or puts it back. It then counts as
// started at that time, as it was restarted meanwhile, which the list shows late; its failures are cleared.
func (b *Balancer) onMaintenance(e Maintenance) {
	t := b.byID[e.Backend]
	if e.OutOfService {
		b.outOfService[e.Backend] = true
	} else {
		delete(b.outOfService, e.Backend)
	}
	if t == nil {
		return
	}
	t.outOfService, t.reinstated = e.OutOfService, false
	if !e.OutOfService {
		b.markStarted(t, max(e.Since, t.rampStart))
		t.strikes, t.ejectedUntil, t.down, t.failures, t.fullUntil, t.joined, t.reinstated =
			0, 0, false, 0, 0, true, true
		clear(t.classEjections)
	}
}

// subscribeSpread returns the shortest time over which subscription attempts are spread. It grows with the
// agents beyond subscribeFleetSize to keep their total rate, since the list is one service: otherwise calls
// fail because of their number (97% with 1,280 agents in a simulation, 4,700 in one second).
func (b *Balancer) subscribeSpread() float64 {
	return float64(b.cfg.AskWithin) / 64 * max(1, float64(b.cfg.Balancers)/subscribeFleetSize)
}
