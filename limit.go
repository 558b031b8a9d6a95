package saltmast

// How much may be in flight, and which requests wait for room, leave, or are given up.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// releaseHeld sends what is held while there is room: first tries before clients' repeats, the most valuable
// class first, within it the newest, which has the most time left. Waiting here costs the backends nothing;
// it ends when an answer within the aim is out of reach.
func (b *Balancer) releaseHeld() {
	if len(b.held) == 0 {
		return
	}
	for _, c := range b.classes {
		c.value = b.value(c)
	}
	for float64(b.inFlight-b.stuck) < b.limit() && !b.throttled() {
		best, value := -1, 0.0
		for i, r := range b.held {
			if v := b.heldValue(r); !r.passed && b.inTurn(r) && (best < 0 || v >= value) {
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
			r.passed = true
		}
	}
	for _, r := range slices.Backward(b.held) {
		need := min(holdMargin*b.expected(r), holdAtMost*float64(r.c.Aim))
		give := min(r.aim, r.deadline) - time.Duration(need)
		r.passed = false
		hopeless := b.up == 0 && len(b.withdrawn) > 0 // staff put none back within an aim
		if r.repeat || give <= b.now || hopeless {
			b.unhold(r)
			b.giveUp(r)
		} else if r.timer == 0 {
			b.timer(r, give)
		}
	}
	b.keepSpare()
}

// keepSpare gives up what is held and worth least, of that the oldest, while few more requests may be held
// open. Guards against whatever makes requests wait: they fill the places, the agent's or its clients', and
// what comes next is turned away unseen, whatever it is worth: 700 of 7,700 on the day of the report. Harm:
// of a burst that would be over at once some are given up that could have been served.
func (b *Balancer) keepSpare() {
	for b.maxOpen > 0 && float64(b.taken) > (1-sparePlaces)*float64(b.maxOpen) && len(b.held) > 0 {
		byValue := func(x, y *request) int { return cmp.Compare(b.heldValue(x), b.heldValue(y)) }
		worst := slices.MinFunc(b.held, byValue)
		b.unhold(worst)
		b.giveUp(worst)
	}
}

// heldValue is what sending a held request now adds, against others.
func (b *Balancer) heldValue(r *request) float64 {
	v := r.c.value
	if r.repeat {
		v *= repeatValue
	}
	if r.aim-b.now < time.Duration(b.expected(r)/2) {
		v *= r.c.LateWorth
	}
	return v
}

// value is what a unit of work spent on a class now adds to the operator's goal.
func (b *Balancer) value(c *classState) float64 {
	total, low := 0.0, math.Inf(1)
	var worst *classState
	for _, o := range b.classes {
		total += o.arrived * o.Worth * b.unit(o)
		if share := o.share(); share < low {
			worst, low = o, share
		}
	}
	v := (b.s.GoalWhole + b.s.GoalWindow) * c.Worth * b.unit(c) / c.latency / max(total, 1e-9)
	if c == worst {
		v += b.s.GoalClass / (max(c.arrived, 1) * c.latency)
	}
	return v
}

// share is the share of a class that was lately answered within its aim.
func (c *classState) share() float64 { return (c.answered + 1) / (c.arrived + 1) }

func (b *Balancer) unit(c *classState) float64 {
	if b.s.ByWork {
		return c.latency
	}
	return 1
}

// pace moves the limit on attempts in flight by the latency seen, as a share of the aim: down when the
// running mean passes the aimed share, up while it binds. Departure: beyond it requests are held, then
// refused, since a queue that outlasts the aims serves nobody. The floor is this agent's share of a few
// attempts per backend, so that a fleet that is slow without a queue stays in use.
func (b *Balancer) pace(share float64) {
	// The first few answers set the usual latency: an agent that held a crowded fleet's for usual would see
	// no crowd until servers that slow down when crowded had done so (icaaa88, ic83025).
	if b.answers++; b.answers <= 1/smooth {
		b.delay += (min(share, 2) - b.delay) / b.answers
		b.base = b.delay
		return
	}
	// The mean spans what is in flight at once: over fewer samples, chance alone would cut a busy agent's
	// limit. One heavy request says no more than that it was heavy.
	weight := min(smooth, 1/b.limit())
	aimed := min(aimedDelay, max(aimedRise*b.base, aimedFloor))
	most := max(outlier*b.base, 2*aimedFloor)
	if !b.sparse(1) { // a quiet agent's mean is of too few answers
		most = max(most, outlierAimed*aimed)
	}
	b.delay += weight * (min(share, most, 2) - b.delay)
	low := b.delay - b.base
	if low > 0 {
		low /= 100 // the low rises a hundred times slower than it falls
	}
	b.base += weight * smooth * low
	switch {
	// Not twice by the same answers: of 300 agents most see ten in as many latencies, and one heavy request
	// among these cut their limits five times over.
	case b.delay > aimed && b.now-b.cutAt > time.Duration(b.classes[0].latency) && b.answers >= b.cutNext:
		cut := limitCut
		if b.cutAt == 0 {
			cut = openCut
		}
		b.perBack = max(floorPerBack, b.perBack*cut)
		b.cutAt, b.cutNext = b.now, b.answers+1/smooth
	case b.delay < aimed && float64(b.inFlight-b.stuck)+1 >= b.limit()*0.9:
		grow := limitGrow / b.limit()
		// Up to the first cut a slow start: an attempt for each answer, less near the aimed delay, doubles
		// the limit in a round. Guards against parts by head count where traffic is uneven: of 80 agents one
		// had 22% of the requests and a part of 3, gained 4 a second and refused half, while servers idled.
		// Up to the floor of all together: two busy agents that passed it crowded eight servers by chance.
		if b.cutAt == 0 && b.capacity > 0 && b.perBack < floorPerBack*float64(b.s.Balancers) {
			grow = max(grow, (1-b.delay/aimed)*float64(b.s.Balancers)/b.capacity)
		}
		b.perBack += grow
	}
}

// limit is what may be in flight now; it follows the list as the fleet grows and shrinks, and a cold backend
// counts by its warmth. Without peers each agent's part goes by head count, at least one attempt. Departure:
// where each agent's part of even the least limit is well under one attempt, a limit of one would hold up a
// quiet agent's request behind any slow one, and still let all together crowd the backends; there the
// throttle acts alone.
func (b *Balancer) limit() float64 {
	if b.sparse(sparseBelow) {
		return math.Inf(1)
	}
	return max(1, b.part())
}

// throttled reports whether too few of the requests sent lately were answered within their aim. Incidents
// i783cc5 and i84e735: a lost zone or a shrunken fleet leaves many agents to few backends, and one attempt
// each is too much. Departure: acts where an agent's part is under one attempt, and leaves it the share of
// its traffic that the backends answer in time, whatever keeps them from it.
func (b *Balancer) throttled() bool { return b.sparse(1) && b.sent >= throttleAt*b.inTime+throttleFree }

// sparse reports whether an agent's part of the least limit is under so many attempts.
func (b *Balancer) sparse(part float64) bool {
	return floorPerBack*float64(b.up) < part*float64(b.s.Balancers)
}

func (b *Balancer) part() float64 { return b.perBack * b.capacity / float64(b.s.Balancers) }
