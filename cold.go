package saltmast

// Slow start: how much work a recently started backend gets, and the capacity of all backends.

import (
	"math"
	"time"
)

// markStarted records that a backend's process started at a time, and resets what depends on it.
func (b *Balancer) markStarted(t *backend, at time.Duration) {
	t.rampStart, t.cold, t.hasAnswered, t.latencyRatio, t.samples, t.connected = at, true, false, 0, 0, false
	// The budget starts at minus a random part of a request: otherwise a thousand agents would send at once.
	t.coldBudget, t.coldBudgetAt = -b.rng.Float64()*b.classes[0].latency, b.now
}

// warmth returns the share of its full capacity that a backend has at least.
func (b *Balancer) warmth(t *backend) float64 {
	age := b.now - t.rampStart
	if t.cold = t.cold && age < b.cfg.RampTime; !t.cold {
		return 1
	}
	return b.cfg.ColdShare + (1-b.cfg.ColdShare)*max(0, float64(age)/float64(b.cfg.RampTime))
}

// updateCapacity recomputes the counts and the capacity of backends, without ejected, down or silent ones.
func (b *Balancer) updateCapacity() {
	b.upCount, b.warmCount, b.capacity, b.stuck = 0, 0, 0, 0
	for _, t := range b.backends {
		if t.isAvailable() {
			b.upCount++
			if !t.cold {
				b.warmCount++
			}
		}
		usable := t.isAvailable() && !t.down && b.now >= t.ejectedUntil && !b.isSilent(t)
		if usable {
			b.capacity += b.warmth(t)
		}
		for _, a := range t.attempts {
			if !usable || a.bodyPending || b.now-a.sentAt > a.silentAfter {
				b.stuck++
			}
		}
	}
}

// hasColdBudget reports whether a backend, if cold, may get this request. Each agent sends it at most the
// work that a warm one serves for it, times warmth, times the root of FallMultiple. All agents then stay as
// far below that multiple as above the guaranteed capacity: most have more, and overload needs it.
func (b *Balancer) hasColdBudget(t *backend, r *request) bool {
	w := b.warmth(t)
	if !t.cold {
		return true
	}
	rate := b.recentServedWork() / float64(b.cfg.FallWindow+1) / float64(max(b.warmCount, 1))
	// The share of the lowest limit applies without a warm backend, as nothing would be sent otherwise, or if
	// operators put the backend back and expect traffic: a quiet agent would send too late.
	if b.warmCount == 0 || t.reinstated {
		rate = max(rate, minPerBackend/float64(b.cfg.Balancers))
	}
	share := w * math.Sqrt(max(1, b.cfg.FallMultiple)) * b.agentsRepresented(t)
	t.coldBudget = min(t.coldBudget+share*rate*float64(b.now-t.coldBudgetAt), r.class.latency)
	t.coldBudgetAt = b.now
	return t.coldBudget > 0 && b.expectedLatency(r) <= coldMaxWork*r.class.latency
}

// agentsRepresented returns how many agents' shares of a cold backend this agent may use if it drew the
// backend into its working set: the others do not use theirs. It allows one standard deviation for the number
// of those that do. Without it each agent drew 3 of 95 new backends and sent them its single share: 137
// requests per second where 1,500 could be served, while the old ones choked on 1,250.
func (b *Balancer) agentsRepresented(t *backend) float64 {
	if t.joinChance == 0 {
		return 1
	}
	return max(1, 1/(t.joinChance+math.Sqrt(t.joinChance/float64(b.cfg.Balancers))))
}

// recentServedWork returns the work that warm backends served recently, decayed over FallWindow.
func (b *Balancer) recentServedWork() float64 {
	b.servedWork *= math.Exp(-float64(b.now-b.servedWorkAt) / float64(b.cfg.FallWindow+1))
	b.servedWorkAt = b.now
	return b.servedWork
}
