package dataplane

import (
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/errcode"
)

// resultClass classifies the result of a request.
type resultClass uint8

const (
	resultInTarget resultClass = iota // the backend's response came within the route's target
	resultRefused
	resultFailed
	resultLate
	resultClasses
)

var resultNames = [resultClasses]string{"in_target", "refused", "failed", "late"}

// cause is the reason why a request was not answered within its target: one of a closed list, logged by name.
type cause uint8

const (
	causeOther cause = iota
	causeColdProxy
	causeNoBackend
	causeClaim
	causeQuorumOut
	causeFull
	causeQueueWait
	causeTokens
	causeRetryBudget
	causeBackoff
	causeColdBackend
	causeSlowBackend
	causeBackend
	causeUnusable
	causeBroken
	causeTimeout
	causeLeaving
	causeAway
	causeDeclined
	causeKeyAtWork
	causeKeyUnknown
	causeKeySplit
	causeOverdue
	causeClientGone
	causeClientSlow
	causeClient
	causes
)

var causeNames = [causes]string{
	causeOther: "other", causeColdProxy: "cold_proxy", causeNoBackend: "no_backend", causeClaim: "claim", causeQuorumOut: "core_out",
	causeFull: "full", causeQueueWait: "place", causeTokens: "tokens", causeRetryBudget: "ration", causeBackoff: "backoff",
	causeColdBackend: "cold_backend", causeSlowBackend: "slow_backend", causeBackend: "backend", causeUnusable: "unusable",
	causeBroken: "broken", causeTimeout: "timeout", causeLeaving: "leaving", causeAway: "away", causeDeclined: "declined",
	causeKeyAtWork: "key_at_work", causeKeyUnknown: "key_unknown", causeKeySplit: "key_split", causeOverdue: "overdue",
	causeClientGone: "client_gone", causeClientSlow: "client_slow", causeClient: "client",
}

// causeByErrorCode is the cause for an error code; causeOther for codes that end no request.
var causeByErrorCode = [32]cause{
	errcode.InvalidRequest: causeClient, errcode.NoRoute: causeClient, errcode.HeaderTooLarge: causeClient, errcode.BodyTooLarge: causeClient,
	errcode.RequestTimeout: causeClientSlow, errcode.NotReady: causeColdProxy, errcode.NoBackend: causeNoBackend, errcode.Overloaded: causeFull,
	errcode.DeadlinePassed: causeOverdue, errcode.Draining: causeLeaving, errcode.BackendReplaced: causeLeaving, errcode.Unreachable: causeAway,
	errcode.Declined: causeDeclined, errcode.InvalidResponse: causeUnusable, errcode.ConnectionLost: causeBroken, errcode.ResponseTimeout: causeTimeout,
	errcode.KeyInProgress: causeKeyAtWork, errcode.KeyOutcomeUnknown: causeKeyUnknown, errcode.KeyContended: causeKeySplit, errcode.NoQuorum: causeQuorumOut,
}

// requestStats is what is known of a finished request. Times are of one clock, and are parts of took.
type requestStats struct {
	kind        errcode.Kind // OK: a backend's response was forwarded
	status      int          // of that response
	truncated   bool         // that response was cut short
	clientGone  bool         // the client left, or did not send the whole request
	denied      denial       // why there was no further attempt
	lastFailure cause        // cause of the last failed attempt; causeOther: none failed
	attempts    int
	warmingUp   bool // the backend of the last attempt was still warming up, as it reported

	target, took  time.Duration
	beforeAttempt time.Duration // until the last attempt; includes bodyRead, claim and backoff
	bodyRead      time.Duration // until the client had sent the body, or as much as is buffered
	claim         time.Duration // until a majority had granted the key
	backoff       time.Duration // between attempts
	queued        time.Duration // time that the last attempt waited for a place at its backend
}

// classify returns the class of a request, and the cause if it missed its target.
func (p *requestStats) classify() (resultClass, cause) {
	switch {
	case p.clientGone:
		return resultFailed, causeClientGone
	case p.kind == errcode.OK && p.truncated:
		return resultFailed, causeBroken
	case p.kind == errcode.OK && p.status >= 500:
		return resultFailed, p.unlessDenied(causeBackend)
	case p.kind == errcode.OK && p.took <= p.target:
		return resultInTarget, causeOther
	case p.kind == errcode.OK:
		return resultLate, p.delayCause()
	}
	c := causeOther
	if int(p.kind) < len(causeByErrorCode) {
		c = p.unlessDenied(causeByErrorCode[p.kind])
	}
	if p.kind.NotRun() {
		return resultRefused, c
	}
	return resultFailed, c
}

// unlessDenied returns c, or the reason why a further attempt was denied by the token bucket or the retry budget.
func (p *requestStats) unlessDenied(c cause) cause {
	switch p.denied {
	case noTokens:
		return causeTokens
	case noRetryBudget:
		return causeRetryBudget
	}
	return c
}

// delayCause returns why a response was late: the backend if its run alone took longer than the target, otherwise the
// longest phase before the run.
func (p *requestStats) delayCause() cause {
	if p.attempts == 0 {
		return causeClaim // a repeat, whose response had to be looked up
	}
	run := p.took - p.beforeAttempt - p.queued
	slow := causeSlowBackend
	if p.warmingUp {
		slow = causeColdBackend
	}
	if run > p.target || p.warmingUp && run > p.beforeAttempt+p.queued {
		return slow
	}
	longest, c := p.beforeAttempt-p.bodyRead-p.claim-p.backoff, p.lastFailure // the rest: failed attempts, and delays of the proxy itself
	for _, x := range [...]struct {
		took time.Duration
		c    cause
	}{{p.bodyRead, causeClientSlow}, {p.claim, causeClaim}, {p.backoff, causeBackoff}, {p.queued, causeQueueWait}} {
		if x.took > longest {
			longest, c = x.took, x.c
		}
	}
	return c
}

// recordRequest counts a finished request. r is nil if no route matched.
func (d *DataPlane) recordRequest(p *requestStats, r *configuration.Route) {
	class, cause := p.classify()
	if class == resultInTarget {
		d.Counts.InTarget[r.Kind].Add(1)
		return
	}
	d.Counts.Unsuccessful[class][cause].Add(1)
	if r != nil {
		d.Counts.MissedTarget[r.Kind].Add(1)
	}
}

// addLosses adds the nonzero counters by result: up to 4 for kinds of routes, 4 more, and one for each cause in each
// class.
func (c *Counts) addLosses(out map[string]int64) {
	add := func(name string, n int64) {
		if n > 0 {
			out[name] = n
		}
	}
	for k := range c.InTarget {
		kind := configuration.RouteKind(k).String()
		add("in_target_"+kind, c.InTarget[k].Load())
		add("missed_"+kind, c.MissedTarget[k].Load())
	}
	for e := resultRefused; e < resultClasses; e++ {
		for x := range causes {
			add(resultNames[e]+"_"+causeNames[x], c.Unsuccessful[e][x].Load())
		}
	}
}
