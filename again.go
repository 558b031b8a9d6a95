package saltmast

// Retries and hedged attempts: whether a request may be repeated, when, and at what cost.

import (
	"slices"
	"time"

	"saltmast/internal/retry"
)

// scheduleHedge schedules a second attempt for when so few answers take longer that the first is likelier
// lost than slow, if a second one can still be answered within the aim. Where work varies a lot that rarely
// leaves time, which is right: a heavy request is heavy elsewhere, too. It applies only to agents without an
// in-flight limit, since under a limit a second attempt would displace another request.
func (b *Balancer) scheduleHedge(r *request) {
	r.timer = 0 // cancels the timer of the held request
	s, latency := r.version.settings, b.expectedLatency(r)
	wait := latency * (1 + hedgeDeviations*b.latencyDeviation)
	if !r.bodyPending && b.minShareBelow(unlimitedBelow) && r.open == 1 && len(r.attempts) < s.MaxAttempts &&
		s.SecondCopies && r.class.Effect != Unsafe && b.now+time.Duration(wait+latency) <= r.aim {
		b.setRequestTimer(r, b.now+time.Duration(wait))
	}
}

// hedge retries a request whose last attempt is unanswered for too long, because of a lost answer, a hanging
// backend or one that does not answer this class. It costs as much as a retry after a timeout, so that the
// bucket runs dry under overload. The first attempt may still answer.
func (b *Balancer) hedge(r *request) {
	t := r.attempts[len(r.attempts)-1].backend
	r.lastFailed, t.connected = t, false
	b.ejectForClass(t, r.class)
	b.retry(r, TimedOut)
}

// retry schedules the next attempt of a request after a failed one, or gives the request up.
func (b *Balancer) retry(r *request, res Result) {
	cost := retryCost
	if res == TimedOut {
		cost = timeoutRetryCost
	}
	// The division comes last to avoid rounding the unit.
	at := b.now + retry.Backoff(b.rng.Float64(), r.retries, r.class.Aim, maxBackoff*r.class.Aim)/backoffUnits
	possible := func(t *backend) bool { return t.isAvailable() && b.mayAttempt(r, t) }
	may := at < r.deadline && res != NotSent && b.bucket.Tokens() >= cost &&
		slices.ContainsFunc(b.backends, possible)
	if may && b.retryBudget < 1 {
		b.actions = append(b.actions, RetryBudgetExhausted{Request: r.id})
	}
	if !may || b.retryBudget < 1 || !b.bucket.Spend(cost) {
		b.giveUp(r)
		return
	}
	b.retryBudget--
	r.retries++
	r.backingOff = true
	b.setRequestTimer(r, at)
}

// giveUp ends a request that can't be sent again, unless an attempt in flight may still answer it.
func (b *Balancer) giveUp(r *request) {
	if r.open == 0 {
		b.finish(r)
	}
}

// mayAttempt reports whether an attempt of r may be sent to t by the attempt limit and the repeat rules.
func (b *Balancer) mayAttempt(r *request, t *backend) bool {
	if r.ended || r.streaming || r.bodyConsumed || r.bodyPending && r.open > 0 ||
		len(r.attempts) >= r.version.settings.MaxAttempts ||
		r.open > 0 && !(r.version.settings.SecondCopies && b.cfg.SecondCopies) {
		return false
	}
	if r.class.Effect == Safe || r.mayHaveRun == 0 {
		return true
	}
	if r.class.Effect == Unsafe || b.now-r.firstMayHaveRun.sentAt >= r.class.Window {
		return false
	}
	first, g := r.firstMayHaveRun.backend, r.class.Group
	return (g != GroupZone || t.Zone == first.Zone) && (g != GroupCell || t.Cell == first.Cell)
}

// neverRan reports whether a result proves that the attempt had no effect, under the request's settings.
func (r *request) neverRan(res Result) bool {
	return res.NeverRan() && !(res == Full && r.version.settings.FullMayHaveRun)
}
