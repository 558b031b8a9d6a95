package saltmast

// The in-flight limit, and which held requests are sent or given up.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// sendHeld sends held requests while the limit allows: first tries before clients' retries, the most valuable
// class first, and within it the newest, which has the most time left. Waiting here costs the backends
// nothing; a request is given up when it can't be answered within its aim any more.
func (b *Balancer) sendHeld() {
	if len(b.held) == 0 {
		return
	}
	for _, c := range b.classes {
		c.value = b.value(c)
	}
	for float64(b.inFlight-b.stuck) < b.limit() && !b.throttled() {
		best, value := -1, 0.0
		for i, r := range b.held {
			if v := b.heldValue(r); !r.skipped && b.isNextForKey(r) && (best < 0 || v >= value) {
				best, value = i, v
			}
		}
		if best < 0 {
			break
		}
		r := b.held[best]
		if t := b.pick(r); t != nil {
			b.unhold(r)
			b.send(r, t)
		} else {
			r.skipped = true
		}
	}
	for _, r := range slices.Backward(b.held) {
		margin := min(holdMargin*b.expectedLatency(r), maxHoldMargin*float64(r.class.Aim))
		giveUpAt := min(r.aim, r.deadline) - time.Duration(margin)
		r.skipped = false
		hopeless := b.upCount == 0 && len(b.outOfService) > 0 // operators reinstate none within an aim
		if r.repeat || giveUpAt <= b.now || hopeless {
			b.unhold(r)
			b.giveUp(r)
		} else if r.timer == 0 {
			b.setRequestTimer(r, giveUpAt)
		}
	}
	b.reserveOpenSlots()
}

// reserveOpenSlots gives up the least valuable held requests, oldest first, while few open requests are left.
// Otherwise waiting requests use up the limit and new ones are rejected whatever their value (700 of 7,700 in
// a simulated day). Cost: a short burst loses requests that could be served.
func (b *Balancer) reserveOpenSlots() {
	for b.maxOpen > 0 && float64(b.unanswered) > (1-reservedOpenShare)*float64(b.maxOpen) && len(b.held) > 0 {
		byValue := func(x, y *request) int { return cmp.Compare(b.heldValue(x), b.heldValue(y)) }
		worst := slices.MinFunc(b.held, byValue)
		b.unhold(worst)
		b.giveUp(worst)
	}
}

// heldValue returns the relative value of sending a held request now.
func (b *Balancer) heldValue(r *request) float64 {
	v := r.class.value
	if r.repeat {
		v *= repeatValue
	}
	if r.aim-b.now < time.Duration(b.expectedLatency(r)/2) {
		v *= r.class.LateWorth
	}
	return v
}

// value returns what a unit of work spent on a class now adds to the operator's goals.
func (b *Balancer) value(c *classState) float64 {
	total, lowest := 0.0, math.Inf(1)
	var worst *classState
	for _, o := range b.classes {
		total += o.arrived * o.Worth * b.workUnit(o)
		if share := o.inTimeShare(); share < lowest {
			worst, lowest = o, share
		}
	}
	v := (b.cfg.GoalWhole + b.cfg.GoalWindow) * c.Worth * b.workUnit(c) / c.latency / max(total, 1e-9)
	if c == worst {
		v += b.cfg.GoalClass / (max(c.arrived, 1) * c.latency)
	}
	return v
}

// inTimeShare returns the share of recent requests of a class that were answered within the aim.
func (c *classState) inTimeShare() float64 { return (c.answered + 1) / (c.arrived + 1) }

func (b *Balancer) workUnit(c *classState) float64 {
	if b.cfg.WorthPerWork {
		return c.latency
	}
	return 1
}

// adjustLimit adapts the in-flight limit to a latency sample, given as a share of the aim: it cuts the limit
// when the running mean exceeds the target, and raises it while the limit binds. Requests beyond the limit
// are held, then refused, since a queue that outlasts the aims serves nobody. The lowest limit is this
// agent's share of a few attempts per backend, so that a fleet that is slow without a queue stays in use.
func (b *Balancer) adjustLimit(share float64) {
	// The first few answers set the usual latency: an agent that took a crowded fleet's latency as usual
	// would not notice the crowd until servers slowed down (incidents icaaa88, ic83025).
	if b.answerCount++; b.answerCount <= 1/smoothing {
		b.meanDelay += (min(share, 2) - b.meanDelay) / b.answerCount
		b.baseDelay = b.meanDelay
		return
	}
	// The mean spans the attempts in flight: with fewer samples, chance alone would cut a busy agent's limit.
	// A single heavy request says nothing about the load, so each sample is bounded.
	weight := min(smoothing, 1/b.limit())
	target := min(targetDelay, max(targetRise*b.baseDelay, minTargetDelay))
	bound := max(outlierMultiple*b.baseDelay, 2*minTargetDelay)
	if !b.minShareBelow(1) { // a quiet agent's mean has too few samples
		bound = max(bound, outlierTargetMultiple*target)
	}
	b.meanDelay += weight * (min(share, bound, 2) - b.meanDelay)
	rise := b.meanDelay - b.baseDelay
	if rise > 0 {
		rise /= 100 // the low rises 100 times slower than it falls
	}
	b.baseDelay += weight * smoothing * rise
	switch {
	// The same answers must not cut twice: most of 300 agents see ten answers in as many latencies, and one
	// heavy request among them caused five cuts.
	case b.meanDelay > target && b.now-b.lastCut > time.Duration(b.classes[0].latency) &&
		b.answerCount >= b.nextCutAnswer:
		cut := limitDecrease
		if b.lastCut == 0 {
			cut = firstLimitDecrease
		}
		b.limitPerBackend = max(minPerBackend, b.limitPerBackend*cut)
		b.lastCut, b.nextCutAnswer = b.now, b.answerCount+1/smoothing
	case b.meanDelay < target && float64(b.inFlight-b.stuck)+1 >= b.limit()*0.9:
		grow := limitIncrease / b.limit()
		// Slow start up to the first cut: one attempt per answer, fewer near the target, doubles the limit
		// each round. Otherwise equal shares fail uneven traffic: one of 80 agents, with 22% of the requests
		// and a share of 3, gained 4 per second and refused half while servers idled. The bound is the lowest
		// limit of all agents together: two busy agents that exceeded it crowded eight servers by chance.
		if b.lastCut == 0 && b.capacity > 0 && b.limitPerBackend < minPerBackend*float64(b.cfg.Balancers) {
			grow = max(grow, (1-b.meanDelay/target)*float64(b.cfg.Balancers)/b.capacity)
		}
		b.limitPerBackend += grow
	}
}

// limit returns how many attempts may be in flight now. It follows the size of the fleet, with cold backends
// counted by their warmth. Each agent gets an equal share, at least one attempt. An agent whose share of the
// lowest limit is well under one attempt has no limit: a limit of one would queue its requests behind any
// slow one, and all agents together could still overload the backends. There only the throttle acts.
func (b *Balancer) limit() float64 {
	if b.minShareBelow(unlimitedBelow) {
		return math.Inf(1)
	}
	return max(1, b.limitShare())
}

// throttled reports whether too few recent requests were answered within their aim. It acts where an agent's
// share of the lowest limit is under one attempt, and lets it send about what is answered in time: when a
// zone is lost or the fleet shrinks, one attempt per agent is too much (incidents i783cc5, i84e735).
func (b *Balancer) throttled() bool {
	return b.minShareBelow(1) && b.recentSent >= throttleRatio*b.recentInTime+throttleAllowance
}

// minShareBelow reports whether an agent's share of the lowest limit is below a number of attempts.
func (b *Balancer) minShareBelow(attempts float64) bool {
	return minPerBackend*float64(b.upCount) < attempts*float64(b.cfg.Balancers)
}

func (b *Balancer) limitShare() float64 {
	return b.limitPerBackend * b.capacity / float64(b.cfg.Balancers)
}
