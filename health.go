package saltmast

// Outlier detection: what outcomes say about a backend, and how long it is ejected.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// recordOutcome updates the statistics and the health of a backend from the outcome of an attempt.
func (b *Balancer) recordOutcome(r *request, a *attempt, e Outcome) {
	t, c, lat := a.backend, r.class, float64(e.Latency)
	// A backend that rejects work or does not answer leaves the working set, even if still connected.
	// Otherwise agents stay with the backends of a small fleet while it grows fivefold (incident iec25a3).
	good := 0.0
	if e.Result == OK && b.now <= r.aim {
		good = 1
	}
	if a.outsideSet {
		c.outsideSetSuccess += smoothing * (good - c.outsideSetSuccess)
	} else {
		c.inSetSuccess += smoothing * (good - c.inSetSuccess)
		// Without this it would not recover, since few backends outside the set are tried meanwhile.
		c.outsideSetSuccess += smoothing / 10 * (good - c.outsideSetSuccess)
	}
	if e.Result == OK || e.Result == Errored {
		t.lastAnsweredSend = max(t.lastAnsweredSend, a.sentAt)
	}
	t.connected, t.usedAt, t.joined, t.reinstated = e.Result == OK || e.Result == Errored, b.now, false, false
	switch e.Result {
	case OK:
		// It came back before the list showed it: treat it as just started. One failure does not prove a
		// restart: a process that dies resets all its connections and refuses new ones for a while.
		if t.down && t.rampStart < a.sentAt && t.firstFailure < a.sentAt {
			b.markStarted(t, b.now)
		}
		t.down, t.failures = false, 0
		b.failureRate -= smoothing / 10 * b.failureRate
		if !t.cold {
			b.servedWork = b.recentServedWork() + a.cost
		}
		t.strikes = max(0, t.strikes-strikeRecovery)
		delete(t.classEjections, r.class)
		t.lastSuccess, t.hasAnswered = b.now, true
		b.recordLatency(t, lat/a.cost)
		if r.work > 0 && c.work > 0 {
			lat *= c.work / r.work
		}
		b.latencyDeviation = movingAverage(b.latencyDeviation, math.Abs(lat/c.latency-1))
		c.latency = movingAverage(c.latency, max(lat, 1))
		b.adjustLimit(float64(e.Latency) / float64(c.Aim))
	case Full:
		t.fullUntil = b.now + time.Duration(b.rng.Float64()*c.latency)
		// A full backend says less than a wait in a queue: with the higher bound of adjustLimit, one of eight
		// that rejected a quarter of all attempts cut the limit while the others answered at once.
		b.adjustLimit(min(1, max(outlierMultiple*b.baseDelay, 2*minTargetDelay)))
	case TimedOut:
		b.ejectForClass(t, r.class)
		if t.lastSuccess < a.sentAt { // no answer since the send: neither a slow request nor a queue
			b.strike(t, a, c)
		} else {
			b.adjustLimit(max(1, lat/float64(c.Aim)))
			b.recordLatency(t, lat/a.cost) // a lower bound of its latency
		}
	case Errored, Reset, ConnectFailed:
		if t.failures++; t.failures == 1 {
			t.firstFailure = b.now
		}
		n := b.failureThreshold(e.Result)
		if b.isAlive(t, e) {
			n = maxFailureThreshold
			if e.Result == ConnectFailed { // it accepts no connection now: like Full
				t.fullUntil = b.now + time.Duration(b.rng.Float64()*c.latency)
			}
		}
		if t.failures >= n && (e.Result == ConnectFailed || b.mayEjectAnother()) {
			t.down = t.down || e.Result != Errored
			b.strike(t, a, c)
		}
		if t.failures == 1 { // only the first of a run: a dead backend says nothing about the others
			b.failureRate += smoothing / 10 * (1 - b.failureRate)
		}
	}
}

// isAlive reports whether t must be alive although a connection to it broke or failed: a process that dies
// loses all connections, but attempts sent before the first failure are still open. Otherwise problems of
// single connections (resets by the network, stale connections, a full table) look like a death: two in a row
// ejected backends with a dozen attempts open that were answered later. A vanished machine leaves connections
// open, so a connect without any answer does not count. Cost: a death with lost resets is detected later.
func (b *Balancer) isAlive(t *backend, e Outcome) bool {
	if e.Result == Errored || e.Result == ConnectFailed && e.Latency > b.cfg.ConnectTimeout/2 {
		return false
	}
	return len(t.attempts) > 0 && t.attempts[0].sentAt < t.firstFailure
}

// mayEjectAnother reports whether one more backend may be ejected for errors. When half of the backends
// returned occasional errors, ejecting them all cost several times as much as the errors did.
func (b *Balancer) mayEjectAnother() bool {
	out := b.count(func(t *backend) bool { return t.isAvailable() && b.now < t.ejectedUntil })
	return float64(out)+1 <= max(1, maxEjectedShare*float64(b.upCount))
}

// failureThreshold returns how many consecutive failures indicate that the backend is bad and not the fleet:
// a run that is unlikely by chance at the current failure rate. Otherwise, when all backends return corrupt
// answers or break connections alike, most are ejected or taken for restarted and the rest is overloaded.
func (b *Balancer) failureThreshold(res Result) int {
	least, chance := 2.0, chanceThreshold
	if res == ConnectFailed { // stronger evidence: the attempt never ran
		least, chance = 1, chanceThreshold*50
	}
	n := math.Ceil(math.Log(chance) / math.Log(min(max(b.failureRate, 1e-6), 0.3)))
	return int(min(max(least, n), maxFailureThreshold))
}

// recordLatency adds a latency, as a multiple of the expected, to a backend's running mean. The first samples
// have a larger weight, since a quiet agent rarely sees an answer of each backend.
func (b *Balancer) recordLatency(t *backend, sample float64) {
	t.latencyRatio = cmp.Or(t.latencyRatio, 1)
	t.samples++
	t.latencyRatio += max(smoothing, 1/(t.samples+priorSamples)) * (min(sample, maxSlowness) - t.latencyRatio)
}

// strike ejects a backend, for twice as long with each further strike. Otherwise a backend that fails fast is
// always idle and attracts all traffic. Attempts sent before the last strike don't count.
func (b *Balancer) strike(t *backend, a *attempt, c *classState) {
	if a.sentAt < t.lastStrike {
		return
	}
	t.strikes, t.lastStrike = min(t.strikes+1, maxStrikes), b.now
	t.ejectedUntil = b.now + time.Duration(math.Exp2(t.strikes-1)*(0.75+0.5*b.rng.Float64())*float64(c.Aim))
}

// onPeerHealthReport ejects a backend that peers report as unhealthy, with one strike, or ends this, unless
// this balancer has a newer answer. It saves quiet agents from losing one request each to a silent backend.
func (b *Balancer) onPeerHealthReport(e PeerHealthReport) {
	switch t := b.byID[e.Backend]; {
	case t == nil || t.lastAnsweredSend > b.now-e.Age:
	case e.Unhealthy:
		t.ejectedUntil, t.lastStrike = max(t.ejectedUntil, b.now+e.TTL), b.now
		t.strikes, t.ejectedByPeers = max(t.strikes, 1), true
	case t.ejectedByPeers:
		t.ejectedUntil, t.strikes, t.ejectedByPeers = b.now, 0, false
	}
}

// ejectForClass ejects a backend for one class, for twice as long with each further unanswered attempt. It
// handles backends that answer other classes, which keeps them in use. It acts only for a class that does
// clearly worse than another: if all classes lose answers, ejections would only crowd the rest.
func (b *Balancer) ejectForClass(t *backend, c *classState) {
	if !slices.ContainsFunc(b.classes, func(o *classState) bool {
		return c.inTimeShare() <= o.inTimeShare()-successGap
	}) {
		return
	}
	s := t.classEjections[c]
	s.silences = min(s.silences+1, maxStrikes)
	s.until = b.now + time.Duration(classEjectionAims*math.Exp2(s.silences-1)*float64(c.Aim))
	t.classEjections[c] = s
}

// isSilent reports whether t has answered nothing since its oldest open attempt, for longer than a queue
// within the aims explains. Such attempts must not use up a quiet agent's limit, which would refuse all else.
func (b *Balancer) isSilent(t *backend) bool {
	for _, a := range t.attempts {
		if !a.bodyPending {
			return t.lastSuccess < a.sentAt && b.now-a.sentAt > a.silentAfter
		}
	}
	return false
}

// isHealthy reports whether t may get r as ordinary traffic. After an ejection it gets one attempt at a time
// until its strikes are gone: repeatable ones, and others once the ejection time has passed again.
func (b *Balancer) isHealthy(t *backend, r *request) bool {
	if b.now < t.ejectedUntil || b.isSilent(t) || b.now < t.classEjections[r.class].until {
		return false
	}
	safe := r.class.Effect != Unsafe || b.now >= 2*t.ejectedUntil-t.lastStrike
	return t.strikes == 0 || safe && len(t.attempts) == 0
}

func movingAverage(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + smoothing*(sample-mean)
}
