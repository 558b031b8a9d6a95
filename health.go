package saltmast

// What answers and failures tell of a backend, and for how long it is left out.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// observe learns from the outcome of an attempt.
func (b *Balancer) observe(r *request, a *attempt, e Outcome) {
	t, c, lat := a.b, r.c, float64(e.Latency)
	// Incident iec25a3: agents stayed with the backends of a small fleet while it grew fivefold. One that
	// turns work away or answers nothing leaves the working set, though still connected.
	good := 0.0
	if e.Result == OK && b.now <= r.aim {
		good = 1
	}
	if a.fresh {
		c.freshOK += smooth * (good - c.freshOK)
	} else {
		c.knownOK += smooth * (good - c.knownOK)
		c.freshOK += smooth / 10 * (good - c.freshOK) // forgets, since few fresh ones are tried meanwhile
	}
	if e.Result == OK || e.Result == Errored {
		t.heard = max(t.heard, a.sent)
	}
	t.linked, t.usedAt, t.joined, t.back = e.Result == OK || e.Result == Errored, b.now, false, false
	switch e.Result {
	case OK:
		// It came back before the list told: treat it as just started. One failure is no proof that it was
		// away: a process that dies resets all its connections and refuses new ones for a while.
		if t.down && t.warmFrom < a.sent && t.failedAt < a.sent {
			b.start(t, b.now)
		}
		t.down, t.fails = false, 0
		b.failing -= smooth / 10 * b.failing
		if !t.cold {
			b.doneWork = b.decayed() + a.cost
		}
		t.strikes = max(0, t.strikes-strikeHeal)
		delete(t.shuns, r.c)
		t.lastOK, t.seen = b.now, true
		b.learnSpeed(t, lat/a.cost)
		if r.work > 0 && c.work > 0 {
			lat *= c.work / r.work
		}
		b.vary = blend(b.vary, math.Abs(lat/c.latency-1))
		c.latency = blend(c.latency, max(lat, 1))
		b.pace(float64(e.Latency) / float64(c.Aim))
	case Full:
		t.fullTill = b.now + time.Duration(b.rng.Float64()*c.latency)
		// One full backend tells less than a queue that was waited in: at the higher clip a quarter of all
		// attempts turned away by one of eight cut the limit while the other seven answered at once.
		b.pace(min(1, max(outlier*b.base, 2*aimedFloor)))
	case TimedOut:
		b.shun(t, r.c)
		if t.lastOK < a.sent { // nothing came back since: more than a slow request, and no queue
			b.strike(t, a, c)
		} else {
			b.pace(max(1, lat/float64(c.Aim)))
			b.learnSpeed(t, lat/a.cost) // at least so slow
		}
	case Errored, Reset, ConnectFailed:
		if t.fails++; t.fails == 1 {
			t.failedAt = b.now
		}
		n := b.inARow(e.Result)
		if b.survived(t, e) {
			n = mostInARow
			if e.Result == ConnectFailed { // it takes no new connection now, which is what Full says
				t.fullTill = b.now + time.Duration(b.rng.Float64()*c.latency)
			}
		}
		if t.fails >= n && (e.Result == ConnectFailed || b.maySpare()) {
			t.down = t.down || e.Result != Errored
			b.strike(t, a, c)
		}
		if t.fails == 1 { // only the first of a run: a backend that is dead says nothing of the others
			b.failing += smooth / 10 * (1 - b.failing)
		}
	}
}

// survived reports whether t lives although a connection to it broke or failed: a process that dies takes all
// its connections along, and attempts sent before the first failure are still open. Guards against any
// trouble of single connections (resets on the way, stale ones, a full table) that passes for a dead backend:
// on the day of the report some backend was always left out for two of them in a row, with a dozen attempts
// open there that were then answered. A machine that vanishes leaves its connections open, so a dial without
// any answer is no sign of life. Harm: one that dies with the resets lost on the way is found out later.
func (b *Balancer) survived(t *backend, e Outcome) bool {
	if e.Result == Errored || e.Result == ConnectFailed && e.Latency > b.s.ConnectTimeout/2 {
		return false
	}
	return len(t.out) > 0 && t.out[0].sent < t.failedAt
}

// maySpare reports whether one more backend may be left out for errors. Seen on the long day: where half of
// them erred now and then, leaving them all out cost several times what their errors did.
func (b *Balancer) maySpare() bool {
	out := b.count(func(t *backend) bool { return t.isUp() && b.now < t.ejected })
	return float64(out)+1 <= max(1, sparePart*float64(b.up))
}

// inARow is how many failures of a backend, with no answer between, tell of it and not of the fleet: so many
// that chance alone hardly makes them where failures are as common as they are. Guards against days on which
// answers come spoilt or connections break at all backends alike: with a strike for each, most were ejected
// or taken for restarted, and what was left was crowded.
func (b *Balancer) inARow(res Result) int {
	least, chance := 2.0, byChance
	if res == ConnectFailed { // such a one has not run, and says more
		least, chance = 1, byChance*50
	}
	n := math.Ceil(math.Log(chance) / math.Log(min(max(b.failing, 1e-6), 0.3)))
	return int(min(max(least, n), mostInARow))
}

// learnSpeed takes one latency, as a multiple of the expected, into a backend's slowness. The first few weigh
// more, since a quiet agent sees an answer of each only now and then.
func (b *Balancer) learnSpeed(t *backend, sample float64) {
	t.slow = cmp.Or(t.slow, 1)
	t.samples++
	t.slow += max(smooth, 1/(t.samples+priorSamples)) * (min(sample, slowBound) - t.slow)
}

// strike ejects a backend for a while that doubles with each further strike. Departure: a backend that fails
// fast is always idle and would draw all traffic. What was sent before the last strike adds nothing.
func (b *Balancer) strike(t *backend, a *attempt, c *classState) {
	if a.sent < t.struckAt {
		return
	}
	t.strikes, t.struckAt = min(t.strikes+1, strikeCap), b.now
	t.ejected = b.now + time.Duration(math.Exp2(t.strikes-1)*(0.75+0.5*b.rng.Float64())*float64(c.Aim))
}

// onHearsay takes others' word on a backend for a first strike, or takes that back; its own answer since
// counts for more. Guards against quiet agents that each lose requests to one known to be silent.
func (b *Balancer) onHearsay(e Hearsay) {
	switch t := b.byID[e.Backend]; {
	case t == nil || t.heard > b.now-e.Age:
	case e.Bad:
		t.ejected, t.struckAt = max(t.ejected, b.now+e.For), b.now
		t.strikes, t.hearsay = max(t.strikes, 1), true
	case t.hearsay:
		t.ejected, t.strikes, t.hearsay = b.now, 0, false
	}
}

// shun leaves a backend out for one class for a while that doubles with each further silence of it. Guards
// against backends that leave one class unanswered and serve the others, on which they are kept. Acts only
// for a class that fares clearly worse than another: where answers of all classes get lost, leaving backends
// out would crowd the rest for nothing.
func (b *Balancer) shun(t *backend, c *classState) {
	if !slices.ContainsFunc(b.classes, func(o *classState) bool { return c.share() <= o.share()-trustGap }) {
		return
	}
	s := t.shuns[c]
	s.fails = min(s.fails+1, strikeCap)
	s.till = b.now + time.Duration(shunFor*math.Exp2(s.fails-1)*float64(c.Aim))
	t.shuns[c] = s
}

// silent reports whether t has answered nothing since it was sent its oldest open attempt, for longer than a
// queue within the aims would explain. What hangs there must not use up the room of a quiet agent, which
// would refuse all else until its client leaves.
func (b *Balancer) silent(t *backend) bool {
	for _, a := range t.out {
		if !a.coming {
			return t.lastOK < a.sent && b.now-a.sent > a.patience
		}
	}
	return false
}

// healthy reports whether t may get r as ordinary traffic. After an ejection it gets one attempt at a time
// until it has healed: of those that may be repeated, and of others where none of these came as long again.
func (b *Balancer) healthy(t *backend, r *request) bool {
	if b.now < t.ejected || b.silent(t) || b.now < t.shuns[r.c].till {
		return false
	}
	safe := r.c.Effect != Unsafe || b.now >= 2*t.ejected-t.struckAt
	return t.strikes == 0 || safe && len(t.out) == 0
}

func blend(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + smooth*(sample-mean)
}
