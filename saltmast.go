package saltmast

// The policy: its constants and event handlers. Further policy is in limit.go (concurrency), pick.go (choice
// of a backend), again.go (retries), order.go (ordering by key), health.go (ejection), cold.go (slow start of
// backends), list.go (backend list) and finish.go (start of attempts and end of requests, where the rules are
// checked); internal/retry is shared with other programs. api.go has the API, state.go the state.

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"saltmast/internal/retry"
)

// Constants are dimensionless; every scale comes from the settings or from observation.
const (
	retryBucketCapacity = 100.0 // retry tokens; a full bucket pays for 20 retries
	retryCost           = 5.0   // tokens for a retry
	timeoutRetryCost    = 10.0  // tokens for a retry after a timeout, a likelier sign of overload
	successRefill       = 1.0   // tokens returned by a successful attempt

	backoffUnits = 32 // backoff units per aim: fixed units of a second would outlast most aims
	maxBackoff   = 8  // longest backoff, in units

	silenceAims           = 0.35  // of the aim; a backend is silent if it has not answered for this long
	hedgeDeviations       = 5.0   // mean deviations above the mean latency after which an attempt is hedged
	silenceMeans          = 6.0   // and for this many mean latencies, which rise under load
	smoothing             = 0.1   // weight of a new sample in a running mean of about the last 20 samples
	priorSamples          = 2.0   // weight of the initial slowness of 1, in samples
	maxSlowness           = 8.0   // bound of a single slowness sample, in expected latencies
	chanceThreshold       = 1e-3  // a run of failures less likely than this is not by chance
	maxEjectedShare       = 0.2   // largest share of backends ejected for errors at a time
	maxFailureThreshold   = 6     // longest run of failures required before a strike
	strikeRecovery        = 0.25  // strikes removed by a success; one error in five keeps them growing
	classEjectionAims     = 8.0   // first ejection of a silent backend for one class, in aims
	maxStrikes            = 5.0   // the longest ejection is 2^(maxStrikes-1) times the first
	coldMaxWork           = 2.0   // largest request for a cold backend, in mean requests
	crossZoneWeight       = 200.0 // penalty of an idle backend in another zone, times CrossZonePrice
	attemptsPerConnection = 2     // attempts on a connected backend before connecting to another one
	minWorkingSet         = 2     // backends that an agent stays connected to if its traffic needs no more

	// Largest shortfall in the share of answers in time at which backends outside the working set are still
	// chosen by key like those in it. A larger one is a sign of trouble: backends that answer come first.
	// Also the shortfall of a class against another at which a backend is ejected for that class.
	successGap = 0.1

	targetDelay = 0.35 // highest target of the mean latency, as a share of the aim: a lower one would
	// refuse uneven work needlessly, a higher one would let crowded servers slow down
	targetRise            = 3.0  // target in multiples of the low: servers may slow down when crowded
	minTargetDelay        = 0.15 // lowest target, of the aim: such delays are harmless, idle cores are not
	outlierMultiple       = 4.0  // bound of a sample, in usual latencies; at least two lowest targets
	outlierTargetMultiple = 3.0  // bound of a sample, in targets: where warm keys make the usual latency
	// short, a bound just over it cut the limit only at nine slow answers in ten, and servers choked
	unlimitedBelow     = 0.6  // share of the lowest limit, in attempts, below which an agent has no limit
	throttleRatio      = 1.3  // requests sent per answer in time: more wastes work on late answers
	crowdedRatio       = 1.15 // the same ratio, above which zones are crossed freely
	throttleAllowance  = 4.0  // requests exempt from both ratios
	throttleWindow     = 20.0 // decay time of both counts, in aims
	limitDecrease      = 0.9  // factor of a cut of the in-flight limit
	firstLimitDecrease = 0.5  // factor of the first cut: doubling each round overshoots by as much
	limitIncrease      = 0.7  // growth of the limit, in attempts per backend for each round of answers
	minPerBackend      = 4.0  // initial and lowest limit per backend, for all agents together: a lower one
	// would leave cores idle, a higher start would crowd servers at once

	maxBackendShare    = 3.0       // most attempts on a backend, in mean shares of the limit
	holdMargin         = 2.0       // a held request is given up with fewer mean latencies left to its aim
	reservedOpenShare  = 0.125     // share of MaxOpen that is kept free for new requests
	maxHoldMargin      = 0.75      // bound of that margin, as a share of the aim
	subscribeFleetSize = 64.0      // agents up to which subscription attempts need no extra spread
	maxSubscribeWait   = 2.0       // longest wait after a failed subscription, in AskWithin; 4 are allowed
	maxBodyTime        = time.Hour // longest reception of a body; the agent's own bound is far lower
	keptVersions       = 8         // settings versions kept for requests still to come, current one included
	repeatValue        = 0.1       // value of a client's retry against a first try: most of its aim is over
)

// New returns a balancer without backends or requests. All its random choices derive from seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{rng: rand.New(rand.NewPCG(seed, 0)), bucket: retry.NewBucket(retryBucketCapacity),
		retryBudget: math.Inf(1), latencyDeviation: 1, baseDelay: targetDelay / targetRise,
		limitPerBackend: minPerBackend, byID: map[string]*backend{}, outOfService: map[string]bool{},
		requests: map[string]*request{}, timers: map[int64]*request{}, keyQueues: map[string]*keyQueue{}}
	b.applySettings(s, nil)
	return b, nil
}

// applySettings puts settings into effect for new requests; open requests keep theirs. The state of backends
// is kept, and so is that of each class that a class of the new settings continues.
func (b *Balancer) applySettings(s Settings, previous []int) {
	s.MaxAttempts = max(1, s.MaxAttempts)
	if s.ColdShare == 0 {
		s.ColdShare = 1
	}
	version := &settingsVersion{settings: &s}
	for i, c := range s.Classes {
		state := &classState{latency: float64(c.Aim) / 4, outsideSetSuccess: 1, inSetSuccess: 1}
		if i < len(previous) && previous[i] >= 0 && previous[i] < len(b.classes) {
			// Its clients and its work are the same, but its times and its meaning may differ.
			if state = b.classes[previous[i]]; state.Class != c {
				copied := *state
				state, copied.clientTimeout = &copied, 0
			}
		}
		state.Class = c
		version.classes = append(version.classes, state)
	}
	if b.versions = append(b.versions, version); len(b.versions) > keptVersions {
		old, recent := b.versions[:len(b.versions)-keptVersions], b.versions[len(b.versions)-keptVersions:]
		idle := func(r *settingsVersion) bool { return r.openRequests == 0 }
		b.versions = append(slices.DeleteFunc(slices.Clone(old), idle), recent...)
	}
	b.cfg, b.classes, b.maxOpen = version.settings, version.classes, s.MaxOpen
	for _, t := range b.backends {
		maps.DeleteFunc(t.classEjections, func(c *classState, _ classEjection) bool {
			return !slices.Contains(b.classes, c)
		})
	}
}

// Step handles the events up to now, in order, and returns the actions to carry out.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now, b.actions = max(now, b.now), nil
	b.endPauses()
	decay := math.Exp(-float64(b.now-b.decayedAt) / (throttleWindow * float64(b.classes[0].Aim)))
	b.recentSent, b.recentInTime, b.decayedAt = b.recentSent*decay, b.recentInTime*decay, b.now
	b.updateCapacity()
	for _, e := range events {
		switch e := e.(type) {
		case Request:
			b.onRequest(e)
		case Outcome:
			b.onOutcome(e)
		case BodySent:
			b.onBodySent(e)
		case TimerFired:
			b.onTimer(e.Token)
		case List:
			b.onList(e)
			b.updateCapacity()
		case SettingsUpdate:
			if e.Settings.Validate() == nil {
				b.applySettings(e.Settings, e.PreviousClass)
				b.updateCapacity()
			}
		case OpenLimit:
			b.maxOpen = e.MaxOpen
		case Maintenance:
			b.onMaintenance(e)
			b.updateCapacity()
		case RetryBudget:
			b.retryBudget = float64(e.Retries)
			for _, r := range b.requests { // pending retries count against the budget
				if r.backingOff || r.held && r.retries > 0 {
					b.retryBudget--
				}
			}
		case PeerHealthReport:
			b.onPeerHealthReport(e)
		case StreamStarted:
			if r := b.requests[e.Request]; r != nil && !r.ended {
				r.streaming = true
			}
		case Abandoned:
			if r := b.requests[e.Request]; r != nil {
				b.close(r)
			}
		}
	}
	b.sendHeld()
	return b.actions
}

func (b *Balancer) onRequest(e Request) {
	version := b.versionOf(e.Generation)
	if version == nil {
		b.actions = append(b.actions, Refuse{Request: e.ID})
		return
	}
	if e.Class < 0 || e.Class >= len(version.classes) || b.requests[e.ID] != nil {
		return
	}
	c := version.classes[e.Class]
	version.openRequests++
	r := &request{id: e.ID, version: version, class: c, aim: b.now + min(c.Aim, e.TimeLeft),
		deadline: b.now + e.TimeLeft, repeat: e.Repeat}
	// Clients use a usual timeout for their tries, and the rest of the deadline for the last one. Another
	// timeout therefore shows how long ago the client started.
	if c.clientTimeout == 0 {
		c.clientTimeout = e.TimeLeft
	}
	excess := e.TimeLeft - c.clientTimeout
	if excess > 2*b.cfg.Tick || excess < -2*b.cfg.Tick {
		r.repeat = true
		r.aim -= max(0, c.Deadline-e.TimeLeft)
	}
	if r.bodyPending, r.timeLeft = e.BodyPending, e.TimeLeft; r.bodyPending {
		r.deadline = b.now + maxBodyTime // the client decides how long its body takes
	}
	if !e.Repeat {
		c.clientTimeout += min(max(excess, -b.cfg.Tick/4), b.cfg.Tick/4) // tracks the median
	}
	if r.work = float64(e.Work); r.work > 0 {
		c.work = movingAverage(c.work, r.work)
	}
	for _, c := range b.classes { // decays with each arrival: the last few hundred requests count
		c.arrived *= 1 - smoothing/20
		c.answered *= 1 - smoothing/20
	}
	c.arrived++
	b.requests[e.ID] = r
	b.unanswered++
	if e.Key != "" {
		r.key = hash(e.Key)
	}
	b.enqueueByKey(r, e.Key)
	b.hold(r)
}

// onBodySent starts the times of a request whose body has been sent completely.
func (b *Balancer) onBodySent(e BodySent) {
	r := b.requests[e.Request]
	if r == nil || !r.bodyPending {
		return
	}
	r.bodyPending, r.aim, r.deadline = false, b.now+min(r.class.Aim, r.timeLeft), b.now+r.timeLeft
	for _, a := range r.attempts {
		if a.open && a.bodyPending { // its backend starts now: the attempt is its newest
			a.bodyPending, a.sentAt = false, b.now
			a.backend.removeAttempt(a)
			a.backend.attempts = append(a.backend.attempts, a)
		}
	}
}

func (b *Balancer) onOutcome(e Outcome) {
	r := b.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].open {
		return
	}
	a := r.attempts[e.Attempt]
	a.open = false
	r.open--
	b.inFlight--
	a.backend.removeAttempt(a)
	r.bodyConsumed = r.bodyConsumed || e.BodyConsumed
	if e.Result == TimedOut || e.Result == Reset || e.Result == Cancelled {
		r.pausedUntil = b.now + b.cfg.KeyRest
	}
	if r.neverRan(e.Result) {
		if r.mayHaveRun--; r.mayHaveRun == 0 {
			r.firstMayHaveRun = nil
		}
	}
	b.recordOutcome(r, a, e)
	if e.Result == OK && !r.ended {
		b.bucket.Refill(successRefill)
		if b.now <= r.aim {
			r.class.answered++
			b.recentInTime++
		}
		for i, o := range r.attempts {
			if o.open && b.cfg.MayCancel {
				b.actions = append(b.actions, Cancel{Request: r.id, Attempt: i})
			}
		}
	}
	if a.backend.State == Gone && len(a.backend.attempts) == 0 {
		b.removeGone()
	}
	if e.Done || e.Result == OK || r.ended {
		b.close(r)
		return
	}
	r.lastFailed = a.backend
	if r.open == 0 && !r.backingOff && !r.held {
		b.retry(r, e.Result)
	}
}

func (b *Balancer) onTimer(token int64) {
	if token == b.subscribeToken && token != 0 {
		b.subscribeToken = 0
		b.actions = append(b.actions, Subscribe{})
		return
	}
	r := b.timers[token]
	delete(b.timers, token)
	if r == nil || r.ended || token != r.timer {
		return
	}
	r.timer = 0 // lets a request that is held for longer than expected set another timer
	switch {
	case r.backingOff:
		r.backingOff = false
		b.hold(r)
	case r.open > 0 && !r.held && !r.streaming:
		b.hedge(r)
	}
}
