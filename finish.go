package saltmast

// Starts attempts and ends requests, after a last check of the rules.

import "time"

// send starts an attempt after a last check of the rules. No other function sends.
func (b *Balancer) send(r *request, t *backend) {
	if !t.isAvailable() || !b.mayAttempt(r, t) || !b.isNextForKey(r) || b.now >= r.deadline {
		b.finish(r)
		return
	}
	a := &attempt{backend: t, sentAt: b.now, bodyPending: r.bodyPending, open: true,
		outsideSet: !b.inWorkingSet(t), cost: max(b.expectedLatency(r), 1),
		silentAfter: time.Duration(max(silenceAims*float64(r.class.Aim), silenceMeans*b.expectedLatency(r)))}
	r.attempts = append(r.attempts, a)
	r.open++
	if r.mayHaveRun++; r.firstMayHaveRun == nil {
		r.firstMayHaveRun = a
	}
	t.attempts = append(t.attempts, a)
	b.inFlight++
	if len(r.attempts) == 1 {
		b.recentSent++
	}
	if t.cold {
		t.coldBudget -= a.cost
	}
	b.actions = append(b.actions, Send{Request: r.id, Backend: t.ID})
	b.scheduleHedge(r)
}

// finish gives a request its final answer; no other function does. It refuses the request if no attempt can
// have run, so that any client may try again, and fails it otherwise.
func (b *Balancer) finish(r *request) {
	if r.ended {
		return
	}
	if r.mayHaveRun == 0 {
		b.actions = append(b.actions, Refuse{Request: r.id, RetryAfter: b.retryAfter(r)})
	} else {
		b.actions = append(b.actions, Fail{Request: r.id})
	}
	b.close(r)
}

// retryAfter returns the fully jittered wait that a refused client is advised, or 0 if clients get none.
// It draws from the ceiling of the retry backoff, since refusals come from overload of the fleet and not of
// one backend. The jitter keeps clients that were refused together from returning together.
func (b *Balancer) retryAfter(r *request) time.Duration {
	if !b.cfg.RetryAfter {
		return 0
	}
	longest := float64(r.class.Aim) * maxBackoff / backoffUnits
	return time.Duration(b.rng.Float64() * min(longest, float64(b.cfg.MaxRetryAfter)))
}

// close marks a request as ended and removes it once all its attempts have their outcome.
func (b *Balancer) close(r *request) {
	if !r.ended {
		b.unanswered--
	}
	r.ended = true
	if r.held {
		b.unhold(r)
	}
	if r.open == 0 && b.requests[r.id] == r {
		delete(b.requests, r.id)
		r.version.openRequests--
		b.leaveKeyQueue(r)
	}
}
