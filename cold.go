package saltmast

// How much a backend gets that has lately started, and what all backends can do together.

import (
	"math"
	"time"
)

// start notes that a backend's process started at a time learned now.
func (b *Balancer) start(t *backend, at time.Duration) {
	t.warmFrom, t.cold, t.seen, t.slow, t.samples, t.linked = at, true, false, 0, 0, false
	// The first request of each agent comes when a random part of its cost has been earned: with none to
	// earn, a thousand quiet agents would each send one to a newcomer at once.
	t.budget, t.budgetAt = -b.rng.Float64()*b.classes[0].latency, b.now
}

// warmth is the share of its full capacity that a backend surely has by now.
func (b *Balancer) warmth(t *backend) float64 {
	age := b.now - t.warmFrom
	if t.cold = t.cold && age < b.s.RampTime; !t.cold {
		return 1
	}
	return b.s.ColdShare + (1-b.s.ColdShare)*max(0, float64(age)/float64(b.s.RampTime))
}

// measure sums up what the backends that are up, and not ejected or down, can do.
func (b *Balancer) measure() {
	b.up, b.warm, b.capacity, b.stuck = 0, 0, 0, 0
	for _, t := range b.backends {
		if t.isUp() {
			b.up++
			if !t.cold {
				b.warm++
			}
		}
		usable := t.isUp() && !t.down && b.now >= t.ejected && !b.silent(t)
		if usable {
			b.capacity += b.warmth(t)
		}
		for _, a := range t.out {
			if !usable || a.coming || b.now-a.sent > a.patience {
				b.stuck++
			}
		}
	}
}

// coldRoom reports whether a cold backend may get this request: each agent sends it no more work than what a
// warm one serves for it, times warmth, times the root of the stated multiple. All together then stay as far
// below the multiple as they may be above the sure capacity: most have more, and overload needs it.
func (b *Balancer) coldRoom(t *backend, r *request) bool {
	w := b.warmth(t)
	if !t.cold {
		return true
	}
	rate := b.decayed() / float64(b.s.FallWindow+1) / float64(max(b.warm, 1))
	// No warm one to go by, or put back by operators, who look for its use: its part of the least limit. Else
	// nothing would ever go out, or a quiet agent's first request there would come long after.
	if b.warm == 0 || t.back {
		rate = max(rate, floorPerBack/float64(b.s.Balancers))
	}
	share := w * math.Sqrt(max(1, b.s.FallMultiple)) * b.stands(t)
	t.budget = min(t.budget+share*rate*float64(b.now-t.budgetAt), r.c.latency)
	t.budgetAt = b.now
	return t.budget > 0 && b.expected(r) <= heavy*r.c.latency
}

// stands is for how many agents this one stands at a cold backend that it drew into its working set: the
// others have no use for their parts. Less a deviation of the number of those that drew it. Guards against
// two bounds that multiply: on the join day each agent drew 3 of 95 new backends and gave these its part as
// if all agents did; 137 requests a second went where 1,500 could be served, the old ones choked on 1,250.
func (b *Balancer) stands(t *backend) float64 {
	if t.drawn == 0 {
		return 1
	}
	return max(1, 1/(t.drawn+math.Sqrt(t.drawn/float64(b.s.Balancers))))
}

// decayed is the work lately served by warm backends, over about one fall window.
func (b *Balancer) decayed() float64 {
	b.doneWork *= math.Exp(-float64(b.now-b.doneAt) / float64(b.s.FallWindow+1))
	b.doneAt = b.now
	return b.doneWork
}
