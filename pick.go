package saltmast

// Which backend gets an attempt: idle ones first, within a working set of connections. internal/retry has the
// draw; its Pick alone would not do, since the choice goes by size, speed, warmth, zone, key and the set too.

import (
	"cmp"

	"saltmast/internal/retry"
)

// pick chooses a backend: one where this balancer has nothing in flight, at random; else the one with the
// fewest; never the one that just failed unless it is the only one. nil means that none may be used now.
func (b *Balancer) pick(r *request) *backend {
	mean, seen := 0.0, 0
	for _, t := range b.backends {
		if t.isUp() && t.seen {
			mean += b.load(t)
			seen++
		}
	}
	mean /= float64(max(seen, 1))
	most := max(double, backCap*b.perBack/float64(b.s.Balancers))
	crowded := b.now-b.cutAt <= b.s.RampTime // then crossing is worth its price
	if b.sparse(1) {
		crowded = b.sent > crowdAt*b.inTime+throttleFree
	}
	var idle, fresh, few, last retry.Least[*backend]
	links := 0
	for _, t := range b.backends {
		load := b.load(t)
		if !t.isUp() || !b.mayRepeat(r, t) || t == r.failed && b.up > 1 || b.now < t.fullTill ||
			load >= most || !b.coldRoom(t, r) {
			continue
		}
		if !b.healthy(t, r) {
			last.Offer(t, t.strikes+b.rng.Float64()+load)
			continue
		}
		if !t.seen {
			load = mean // a new one gets no rush
		}
		if t.back && load < 1 {
			return t
		}
		slow := b.slowness(t)
		linked, set := b.isLinked(t) || t.joined && load < 1, &fresh
		if linked {
			links, set = links+1, &idle
		}
		if load < 1 || !linked {
			// Departure: an even choice among idle backends would load slow ones as much as fast ones; each
			// counts by the inverse cube of its observed slowness. Acts when speeds differ.
			steep, u := slow*slow*slow, b.rng.Float64()
			// Departure: where backends serve a key that they lately met with less work, the draw comes from
			// the key: all agents choose alike, with no word between them, among those idle. By the square:
			// agents measure slowness each for themselves, and the steeper the weight, the more keys move
			// with each new answer, away from what is warm.
			if b.s.WarmKeys && r.key != 0 {
				steep, u = slow*slow, keyedDraw(t.hash, r.key)
			}
			w := t.size() * b.warmth(t) / steep
			if t.Zone != b.s.Zone && !crowded {
				w /= 1 + crossWeight*b.s.CrossZonePrice
			}
			set.Offer(t, retry.Race(u, w))
			continue
		}
		// Departure: in-flight counts are weighed by slowness for the same reason.
		few.Offer(t, (load+1)*slow/b.warmth(t)*(1+0.01*b.rng.Float64()))
	}
	// Departure: an even choice among all idle backends would open a connection from every agent to every
	// backend; a backend takes only so many, and each costs it work. An idle backend with an open connection
	// comes first, once there are enough of them to choose from; then one of these with little in flight;
	// only then a further connection.
	trusted := b.s.WarmKeys && r.c.freshOK >= r.c.knownOK-trustGap
	switch {
	case fresh.Found && (links < workingSet || trusted && (!idle.Found || fresh.Score < idle.Score)):
		return fresh.It
	case idle.Found:
		return idle.It
	case fresh.Found && (!few.Found || b.load(few.It) >= double):
		return fresh.It
	case few.Found:
		return few.It
	}
	return last.It // all are ejected: a first attempt still goes out
}

// isLinked reports whether t is in the working set: an attempt needs no new connection there.
func (b *Balancer) isLinked(t *backend) bool {
	return len(t.out) > 0 || t.linked && (b.s.IdleClose == 0 || b.now-t.usedAt < b.s.IdleClose)
}

// setPart is the working set's part of the backends that are up: with that chance a newcomer, new or started
// again, joins the set, as long as the others are idle too. Guards against a fleet that is replaced under
// agents that have their set: with 36 of 60 new, agents kept to the 24 old ones, took these for the fleet,
// cut their limits for the queues there and refused a quarter, while the new ones idled. Sets keep their size
// by it: an even draw among all for one attempt in twenty opened half as many connections again.
func (b *Balancer) setPart() float64 {
	links := b.count(func(t *backend) bool { return t.isUp() && b.isLinked(t) })
	return float64(links) / float64(max(b.up, 1))
}

// join draws a newcomer into the set or not; see setPart.
func (b *Balancer) join(t *backend, part float64) {
	if t.joined, t.drawn = t.back || b.rng.Float64() < part, 0; t.joined && !t.back {
		t.drawn = part
	}
}

// slowness is how much longer this backend takes than the mean, by its answers or by the wait of its oldest
// attempt if that is worse (a stall shows before any answer).
func (b *Balancer) slowness(t *backend) float64 {
	s := cmp.Or(t.slow, 1)
	for _, a := range t.out {
		if !a.coming && (a.sent > t.heard || t.cold) {
			return max(s, float64(b.now-a.sent)/a.cost/2)
		}
	}
	return s
}

// load is what t has to do for this balancer: its attempts out, less those whose answer seems lost, since it
// is overdue and what was sent after it has been answered. Guards against answers that never come (lost on
// the way, or swallowed by a backend that hung and is back): each held its place and its age passed for
// slowness, so that of eight equal backends some had 4 out and others 20. Harm: a backend that works on a few
// very heavy requests beside light ones counts as idler than it is. Not for cold ones: all is overdue there.
func (b *Balancer) load(t *backend) float64 {
	n := len(t.out)
	for _, a := range t.out { // one that is coming gives it nothing to do yet
		if a.coming || a.sent <= t.heard && !t.cold && b.now-a.sent > a.patience {
			n--
		}
	}
	return float64(n)
}

// expected is the mean latency for a request of this class and told work.
func (b *Balancer) expected(r *request) float64 {
	if c := r.c; r.work > 0 && c.work > 0 {
		return c.latency * r.work / c.work
	}
	return r.c.latency
}
