package saltmast

// Whether a request is tried again, and when: the repeat rule, the bucket, the backoff, and what is silent.

import (
	"slices"
	"time"

	"saltmast/internal/retry"
)

// awaitSilence sets the time at which an attempt without answer is followed by another: when so few answers
// take longer that it is likelier lost than slow, and another can still come within the aim. A heavy request
// is heavy again elsewhere: where work varies much, that leaves no time, and rightly. Only where no limit
// binds: under a limit a second attempt takes the room of another request.
func (b *Balancer) awaitSilence(r *request) {
	r.timer = 0 // voids the one it was held with
	s, l := r.rules.s, b.expected(r)
	wait := l * (1 + silentDevs*b.vary)
	if !r.coming && b.sparse(sparseBelow) && r.open == 1 && len(r.attempts) < s.MaxAttempts &&
		s.SecondCopies && r.c.Effect != Unsafe && b.now+time.Duration(wait+l) <= r.aim {
		b.timer(r, b.now+time.Duration(wait))
	}
}

// onSilence tries a request again whose last attempt has had no answer within its patience. Guards against
// lost answers, hanging backends and those that leave one class unanswered. The bucket is charged as after a
// time-out, so that it runs dry under overload; the first attempt may still answer.
func (b *Balancer) onSilence(r *request) {
	t := r.attempts[len(r.attempts)-1].b
	r.failed, t.linked = t, false
	b.shun(t, r.c)
	b.retry(r, TimedOut)
}

// retry ends a failed attempt's request or schedules the next attempt.
func (b *Balancer) retry(r *request, res Result) {
	cost := retryCost
	if res == TimedOut {
		cost = timeoutCost
	}
	// The unit is divided last, so that no part of it is lost.
	at := b.now + retry.Wait(b.rng.Float64(), r.retries, r.c.Aim, backoffCeiling*r.c.Aim)/backoffUnits
	possible := func(t *backend) bool { return t.isUp() && b.mayRepeat(r, t) }
	may := at < r.deadline && res != NotSent && b.bucket.Tokens() >= cost &&
		slices.ContainsFunc(b.backends, possible)
	if may && b.allow < 1 {
		b.actions = append(b.actions, Short{Request: r.id})
	}
	if !may || b.allow < 1 || !b.bucket.Spend(cost) {
		b.giveUp(r)
		return
	}
	b.allow--
	r.retries++
	r.waiting = true
	b.timer(r, at)
}

// giveUp ends a request for which nothing more can be done, unless an attempt may still answer it.
func (b *Balancer) giveUp(r *request) {
	if r.open == 0 {
		b.finish(r)
	}
}

// mayRepeat is the repeat rule: whether a (further) attempt of r may go to t.
func (b *Balancer) mayRepeat(r *request, t *backend) bool {
	if r.ended || r.stream || r.spent || r.coming && r.open > 0 || len(r.attempts) >= r.rules.s.MaxAttempts ||
		r.open > 0 && !(r.rules.s.SecondCopies && b.s.SecondCopies) {
		return false
	}
	if r.c.Effect == Safe || r.risky == 0 {
		return true
	}
	if r.c.Effect == Unsafe || b.now-r.anchor.sent >= r.c.Window {
		return false
	}
	first, g := r.anchor.b, r.c.Group
	return (g != GroupZone || t.Zone == first.Zone) && (g != GroupCell || t.Cell == first.Cell)
}

// neverRan reports whether a result proves that the attempt had no effect.
func (r *request) neverRan(res Result) bool {
	return res.NeverRan() && !(res == Full && r.rules.s.FullNoProof)
}
