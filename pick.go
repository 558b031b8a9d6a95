package saltmast

// Choice of the backend for an attempt: idle backends first, within a working set of connections. retry.Pick
// is not enough, since the choice depends on size, speed, warmth, zone, key and the working set, too.

import (
	"cmp"

	"saltmast/internal/retry"
)

// pick returns the backend for an attempt: a random one without attempts in flight, or else the one with the
// fewest; the one that just failed only if it is the only one; nil if none may be used now.
func (b *Balancer) pick(r *request) *backend {
	mean, answered := 0.0, 0
	for _, t := range b.backends {
		if t.isAvailable() && t.hasAnswered {
			mean += b.load(t)
			answered++
		}
	}
	mean /= float64(max(answered, 1))
	maxLoad := max(attemptsPerConnection, maxBackendShare*b.limitPerBackend/float64(b.cfg.Balancers))
	crowded := b.now-b.lastCut <= b.cfg.RampTime // then crossing zones is worth its price
	if b.minShareBelow(1) {
		crowded = b.recentSent > crowdedRatio*b.recentInTime+throttleAllowance
	}
	var idle, outside, busy, ejected retry.Least[*backend]
	setSize := 0
	for _, t := range b.backends {
		load := b.load(t)
		if !t.isAvailable() || !b.mayAttempt(r, t) || t == r.lastFailed && b.upCount > 1 ||
			b.now < t.fullUntil || load >= maxLoad || !b.hasColdBudget(t, r) {
			continue
		}
		if !b.isHealthy(t, r) {
			ejected.Offer(t, t.strikes+b.rng.Float64()+load)
			continue
		}
		if !t.hasAnswered {
			load = mean // an untried backend must not get a rush of requests
		}
		if t.reinstated && load < 1 {
			return t
		}
		slowness := b.slowness(t)
		inSet, group := b.inWorkingSet(t) || t.joined && load < 1, &outside
		if inSet {
			setSize, group = setSize+1, &idle
		}
		if load < 1 || !inSet {
			// Idle ones are weighted by the inverse cube of their slowness, or slow ones would get as much.
			penalty, draw := slowness*slowness*slowness, b.rng.Float64()
			// Where a backend serves a recent key with less work, rendezvous hashing makes all agents choose
			// alike. The weight is the inverse square: agents measure slowness separately, and the steeper
			// the weight, the more keys leave their warm backends with each answer.
			if b.cfg.WarmKeys && r.key != 0 {
				penalty, draw = slowness*slowness, rendezvousDraw(t.hash, r.key)
			}
			weight := t.size() * b.warmth(t) / penalty
			if t.Zone != b.cfg.Zone && !crowded {
				weight /= 1 + crossZoneWeight*b.cfg.CrossZonePrice
			}
			group.Offer(t, retry.WeightedScore(draw, weight))
			continue
		}
		// In-flight counts are weighted by slowness for the same reason.
		busy.Offer(t, (load+1)*slowness/b.warmth(t)*(1+0.01*b.rng.Float64()))
	}
	// Idle backends of the working set come first, once there are enough of them; then backends of it with
	// few attempts in flight; only then a new connection. An even choice would connect every agent to every
	// backend, but a backend accepts a limited number of connections, and each costs it work.
	trusted := b.cfg.WarmKeys && r.class.outsideSetSuccess >= r.class.inSetSuccess-successGap
	switch {
	case outside.Found && (setSize < minWorkingSet || trusted && (!idle.Found || outside.Score < idle.Score)):
		return outside.Item
	case idle.Found:
		return idle.Item
	case outside.Found && (!busy.Found || b.load(busy.Item) >= attemptsPerConnection):
		return outside.Item
	case busy.Found:
		return busy.Item
	}
	return ejected.Item // if all are ejected, a first attempt is still sent
}

// inWorkingSet reports whether t is in the working set, so that an attempt needs no new connection.
func (b *Balancer) inWorkingSet(t *backend) bool {
	return len(t.attempts) > 0 || t.connected && (b.cfg.IdleClose == 0 || b.now-t.usedAt < b.cfg.IdleClose)
}

// workingSetShare returns the share of the available backends in the working set: the probability with which
// a new or restarted backend joins the set, while the others are idle, too. Otherwise agents stay with the
// old backends: with 36 of 60 new, they cut their limits for the queues at the 24 old ones and refused a
// quarter of the requests while the new ones idled. It keeps the size of the sets: an even draw for one
// attempt in twenty opened half as many connections again.
func (b *Balancer) workingSetShare() float64 {
	inSet := b.count(func(t *backend) bool { return t.isAvailable() && b.inWorkingSet(t) })
	return float64(inSet) / float64(max(b.upCount, 1))
}

// joinWorkingSet decides at random whether a new backend joins the working set; see workingSetShare.
func (b *Balancer) joinWorkingSet(t *backend, chance float64) {
	if t.joined, t.joinChance = t.reinstated || b.rng.Float64() < chance, 0; t.joined && !t.reinstated {
		t.joinChance = chance
	}
}

// slowness returns the latency of a backend relative to the expected, from its answers or from the age of its
// oldest attempt if that is worse, since a stall shows before any answer.
func (b *Balancer) slowness(t *backend) float64 {
	s := cmp.Or(t.latencyRatio, 1)
	for _, a := range t.attempts {
		if !a.bodyPending && (a.sentAt > t.lastAnsweredSend || t.cold) {
			return max(s, float64(b.now-a.sentAt)/a.cost/2)
		}
	}
	return s
}

// load returns the number of attempts that t works on for this balancer. It excludes those whose answer seems
// lost: they are overdue and a later attempt was answered. Lost answers (dropped by the network or by a
// backend that hung) would otherwise keep counting, and their age as slowness: of eight equal backends some
// had 4 attempts and others 20. Cost: a backend with a few very heavy requests counts as less loaded than it
// is. Cold backends are not corrected: all their attempts are overdue.
func (b *Balancer) load(t *backend) float64 {
	n := len(t.attempts)
	for _, a := range t.attempts { // an attempt with a pending body is no work yet
		if a.bodyPending || a.sentAt <= t.lastAnsweredSend && !t.cold && b.now-a.sentAt > a.silentAfter {
			n--
		}
	}
	return float64(n)
}

// expectedLatency returns the mean latency of the request's class, scaled by its stated work.
func (b *Balancer) expectedLatency(r *request) float64 {
	if c := r.class; r.work > 0 && c.work > 0 {
		return c.latency * r.work / c.work
	}
	return r.class.latency
}
