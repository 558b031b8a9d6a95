package saltmast

// The start of attempts and the end of requests, where the rules are checked last.

import "time"

// send starts an attempt. Nothing else does; the rules are checked here last.
func (b *Balancer) send(r *request, t *backend) {
	if !t.isUp() || !b.mayRepeat(r, t) || !b.inTurn(r) || b.now >= r.deadline {
		b.finish(r)
		return
	}
	a := &attempt{b: t, sent: b.now, coming: r.coming, open: true, fresh: !b.isLinked(t),
		cost:     max(b.expected(r), 1),
		patience: time.Duration(max(silentAfter*float64(r.c.Aim), silentMeans*b.expected(r)))}
	r.attempts = append(r.attempts, a)
	r.open++
	if r.risky++; r.anchor == nil {
		r.anchor = a
	}
	t.out = append(t.out, a)
	b.inFlight++
	if len(r.attempts) == 1 {
		b.sent++
	}
	if t.cold {
		t.budget -= a.cost
	}
	b.actions = append(b.actions, Send{Request: r.id, Backend: t.ID})
	b.awaitSilence(r)
}

// finish gives a request its final answer. Nothing else does. It is a refusal where no attempt may have run,
// which lets any client try again; else a failure.
func (b *Balancer) finish(r *request) {
	if r.ended {
		return
	}
	if r.risky == 0 {
		b.actions = append(b.actions, Refuse{Request: r.id, RetryAfter: b.comeBack(r)})
	} else {
		b.actions = append(b.actions, Fail{Request: r.id})
	}
	b.close(r)
}

// comeBack is when a refused client should try again, where clients are told: after a fully jittered wait
// like those of our own retries, at their ceiling since what refuses is a crowd and not one backend. Guards
// against clients that were refused together and come back together.
func (b *Balancer) comeBack(r *request) time.Duration {
	if !b.s.RetryAfter {
		return 0
	}
	longest := float64(r.c.Aim) * backoffCeiling / backoffUnits
	return time.Duration(b.rng.Float64() * min(longest, float64(b.s.MaxRetryAfter)))
}

// close forgets a request once it has ended and its attempts are in.
func (b *Balancer) close(r *request) {
	if !r.ended {
		b.taken--
	}
	r.ended = true
	if r.holding {
		b.unhold(r)
	}
	if r.open == 0 && b.requests[r.id] == r {
		delete(b.requests, r.id)
		r.rules.open--
		b.leaveLine(r)
	}
}
