package dataplane

import (
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/errcode"
)

// ending is what a request was worth.
type ending uint8

const (
	inTarget ending = iota // its backend's answer came within the route's target
	endRefused
	endFailed
	endLate
	endings
)

var endingNames = [endings]string{"in_target", "refused", "failed", "late"}

// cause is what a request is put down to that was not answered within its target: one of a closed list, by its name in the log.
type cause uint8

const (
	causeOther cause = iota
	causeColdProxy
	causeNoBackend
	causeClaim
	causeCoreOut
	causeFull
	causePlace
	causeTokens
	causeRation
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
	causeOther: "other", causeColdProxy: "cold_proxy", causeNoBackend: "no_backend", causeClaim: "claim", causeCoreOut: "core_out",
	causeFull: "full", causePlace: "place", causeTokens: "tokens", causeRation: "ration", causeBackoff: "backoff",
	causeColdBackend: "cold_backend", causeSlowBackend: "slow_backend", causeBackend: "backend", causeUnusable: "unusable",
	causeBroken: "broken", causeTimeout: "timeout", causeLeaving: "leaving", causeAway: "away", causeDeclined: "declined",
	causeKeyAtWork: "key_at_work", causeKeyUnknown: "key_unknown", causeKeySplit: "key_split", causeOverdue: "overdue",
	causeClientGone: "client_gone", causeClientSlow: "client_slow", causeClient: "client",
}

// causeOf is the cause of what ended with a kind; causeOther for those that end no request.
var causeOf = [32]cause{
	errcode.InvalidRequest: causeClient, errcode.NoRoute: causeClient, errcode.HeaderTooLarge: causeClient, errcode.BodyTooLarge: causeClient,
	errcode.RequestTimeout: causeClientSlow, errcode.NotReady: causeColdProxy, errcode.NoBackend: causeNoBackend, errcode.Overloaded: causeFull,
	errcode.DeadlinePassed: causeOverdue, errcode.Draining: causeLeaving, errcode.BackendReplaced: causeLeaving, errcode.Unreachable: causeAway,
	errcode.Declined: causeDeclined, errcode.InvalidResponse: causeUnusable, errcode.ConnectionLost: causeBroken, errcode.ResponseTimeout: causeTimeout,
	errcode.KeyInProgress: causeKeyAtWork, errcode.KeyOutcomeUnknown: causeKeyUnknown, errcode.KeyContended: causeKeySplit, errcode.NoQuorum: causeCoreOut,
}

// passage is what is known of a request once it has ended. Times are of one clock, and parts of took.
type passage struct {
	kind   errcode.Kind // OK: its backend's answer was passed on
	status int          // of that answer
	cut    bool         // which broke off
	gone   bool         // the client did not wait, or did not send all
	denied denial       // why there was no further attempt
	tried  cause        // of the last attempt that failed; causeOther: none did
	runs   int          // attempts
	cold   bool         // the last attempt's backend was still warming up, by its own word

	target, took time.Duration
	before       time.Duration // the last attempt; body, claim and backoff are parts of it
	body         time.Duration // until the client had sent it, or as much as is read first
	claim        time.Duration // until a majority had granted the key
	backoff      time.Duration // between attempts
	place        time.Duration // of the last attempt, before its backend had room
}

// judge puts a request down to what it was worth, and to one cause where that is less than all.
func (p *passage) judge() (ending, cause) {
	switch {
	case p.gone:
		return endFailed, causeClientGone
	case p.kind == errcode.OK && p.cut:
		return endFailed, causeBroken
	case p.kind == errcode.OK && p.status >= 500:
		return endFailed, p.unless(causeBackend)
	case p.kind == errcode.OK && p.took <= p.target:
		return inTarget, causeOther
	case p.kind == errcode.OK:
		return endLate, p.delay()
	}
	c := causeOther
	if int(p.kind) < len(causeOf) {
		c = p.unless(causeOf[p.kind])
	}
	if p.kind.NotRun() {
		return endRefused, c
	}
	return endFailed, c
}

// unless is c, but where a further attempt was not allowed.
func (p *passage) unless(c cause) cause {
	switch p.denied {
	case noTokens:
		return causeTokens
	case noRation:
		return causeRation
	}
	return c
}

// delay is what made an answer late: the backend where its run alone took longer than the target, else what took the most of
// all that came before the run.
func (p *passage) delay() cause {
	if p.runs == 0 {
		return causeClaim // a repeat, whose answer had to be asked for
	}
	run := p.took - p.before - p.place
	slow := causeSlowBackend
	if p.cold {
		slow = causeColdBackend
	}
	if run > p.target || p.cold && run > p.before+p.place {
		return slow
	}
	most, c := p.before-p.body-p.claim-p.backoff, p.tried // and what the proxy itself was slow to do
	for _, x := range [...]struct {
		took time.Duration
		c    cause
	}{{p.body, causeClientSlow}, {p.claim, causeClaim}, {p.backoff, causeBackoff}, {p.place, causePlace}} {
		if x.took > most {
			most, c = x.took, x.c
		}
	}
	return c
}

// ended counts a request that has ended. r: nil where no route took it.
func (g *DataPlane) ended(p *passage, r *configuration.Route) {
	e, c := p.judge()
	if e == inTarget {
		g.Counts.InTarget[r.Kind].Add(1)
		return
	}
	g.Counts.Ended[e][c].Add(1)
	if r != nil {
		g.Counts.Missed[r.Kind].Add(1)
	}
}

// losses adds what is not 0 of what requests were worth: at most 4 counts for kinds of routes, 4 more, and one for each cause
// in each ending.
func (c *Counts) losses(out map[string]int64) {
	add := func(name string, n int64) {
		if n > 0 {
			out[name] = n
		}
	}
	for k := range c.InTarget {
		kind := configuration.RouteKind(k).String()
		add("in_target_"+kind, c.InTarget[k].Load())
		add("missed_"+kind, c.Missed[k].Load())
	}
	for e := endRefused; e < endings; e++ {
		for x := range causes {
			add(endingNames[e]+"_"+causeNames[x], c.Ended[e][x].Load())
		}
	}
}
