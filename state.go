package saltmast

// Types of the balancer's state and helpers that maintain it. The policy is in the files that saltmast.go
// names.

import (
	"math/rand/v2"
	"slices"
	"time"

	"saltmast/internal/retry"
)

// Balancer makes the load balancing decisions of one agent. See the package comment for its use.
type Balancer struct {
	cfg      *Settings          // current settings
	versions []*settingsVersion // oldest first, the last is current; old ones are kept while in use
	rng      *rand.Rand
	now      time.Duration
	actions  []Action

	backends     []*backend // in the order of their first listing
	byID         map[string]*backend
	outOfService map[string]bool // backends under maintenance, listed or not
	requests     map[string]*request
	maxOpen      int                  // open requests allowed; 0: no limit
	unanswered   int                  // requests without a final answer
	held         []*request           // requests waiting for capacity, oldest first
	keyQueues    map[string]*keyQueue // queues of ordered requests, by key
	paused       []*keyQueue          // queues whose key is or was paused, by end of the pause
	timers       map[int64]*request
	token        int64 // last timer token issued

	bucket           retry.Bucket  // private token bucket of retries
	retryBudget      float64       // retries left in the budget shared by all agents
	classes          []*classState // of the current settings
	inFlight         int           // attempts in flight
	stuck            int           // of these, on unusable backends, overdue, or with a pending body
	limitPerBackend  float64       // in-flight limit of all agents together, per unit of capacity
	upCount          int           // available backends
	warmCount        int           // of these, not cold
	capacity         float64       // sum of the warmth of the usable backends
	meanDelay        float64       // running mean of latency divided by aim
	latencyDeviation float64       // running mean deviation of latency from its class mean, over that mean
	answerCount      float64       // number of samples in meanDelay
	failureRate      float64       // share of recent attempts that ended with an error or a broken connection
	baseDelay        float64       // low of meanDelay: its value without queues
	lastCut          time.Duration // time of the last cut of the limit; 0: none, still in slow start
	nextCutAnswer    float64       // answerCount before which the limit is not cut again
	recentSent       float64       // decayed count of requests sent
	recentInTime     float64       // decayed count of requests answered within their aim
	decayedAt        time.Duration

	servedWork        float64 // decayed work that warm backends served
	servedWorkAt      time.Duration
	subscribeFailures int
	subscribeToken    int64
}

// settingsVersion holds settings and their classes while they are current or some request uses them.
type settingsVersion struct {
	settings     *Settings
	classes      []*classState
	openRequests int
}

type classState struct {
	Class
	latency           float64       // running mean of the latency of successes, ns
	outsideSetSuccess float64       // share of attempts answered in time by backends outside the working set
	inSetSuccess      float64       // share of attempts answered in time by backends in the working set
	value             float64       // value of a unit of work for the operator's goals, computed in each step
	clientTimeout     time.Duration // usual timeout of a client's try
	work              float64       // running mean of the expected work stated by requests, ns
	arrived           float64       // decayed count of requests
	answered          float64       // decayed count of requests answered within the aim
}

type backend struct {
	Backend
	hash             uint64
	attempts         []*attempt // oldest first
	hasAnswered      bool       // answered this balancer since its last start
	latencyRatio     float64    // running mean of its latency divided by the expected; 0: unknown
	samples          float64    // number of samples in latencyRatio
	strikes          float64
	ejectedUntil     time.Duration // no ordinary traffic before this time
	lastStrike       time.Duration
	fullUntil        time.Duration
	classEjections   map[*classState]classEjection
	lastSuccess      time.Duration
	lastAnsweredSend time.Duration // send time of the latest attempt that was answered
	down             bool          // taken for dead: connections failed or broke since the last answer
	failures         int           // failures of any kind since the last success
	firstFailure     time.Duration // time of the first of these
	connected        bool          // in the working set: probably connected, and not rejecting requests
	usedAt           time.Duration // time of its last outcome
	joined           bool          // joined the working set when listed or reinstated; not tried yet
	joinChance       float64       // probability with which it was put there; 0: it was not drawn
	ejectedByPeers   bool          // ejected because of peer health reports
	// outOfService: under maintenance. reinstated: put back by operators and not tried since.
	outOfService, reinstated bool
	rampStart                time.Duration // start of its warm-up: its last start as listed or inferred
	cold                     bool
	coldBudget               float64 // work that it may still be sent while cold, ns
	coldBudgetAt             time.Duration
}

// keyQueue holds the open requests of a key whose order is kept, oldest first.
type keyQueue struct {
	key         string
	requests    []*request
	pausedUntil time.Duration // no request of this key is sent before
}

type attempt struct {
	backend     *backend
	sentAt      time.Duration
	cost        float64
	silentAfter time.Duration // a backend without any answer for this long counts as silent
	open        bool
	outsideSet  bool // its backend was not in the working set at the send
	bodyPending bool // the body is still being sent: the backend has not started
}

type request struct {
	id              string
	version         *settingsVersion // settings at its arrival, which apply to its end
	class           *classState
	aim             time.Duration // time after which an answer earns less
	deadline        time.Duration
	key             uint64        // hash of its key; 0: none
	keyQueue        *keyQueue     // queue of its key if order is kept
	pausedUntil     time.Duration // end of the pause of its key after the request
	work            float64       // expected work as stated, ns; 0: unknown
	attempts        []*attempt
	open            int      // attempts in flight
	mayHaveRun      int      // attempts that may have run, including those in flight
	firstMayHaveRun *attempt // first of these since none was left; it determines group and window of repeats
	retries         int
	lastFailed      *backend // the last backend that failed it
	timer           int64    // token of its current timer; earlier ones are ignored
	repeat          bool     // a client's retry: part of its aim has passed
	backingOff      bool     // waiting for a retry
	skipped         bool     // no backend was found in this step
	held            bool
	streaming       bool
	bodyPending     bool          // its body is still being received
	timeLeft        time.Duration // how long the client waits after the last byte of the body
	bodyConsumed    bool          // its body can't be replayed
	ended           bool
}

// classEjection excludes a backend for one class.
type classEjection struct {
	until    time.Duration
	silences float64 // attempts without an answer since the last success, at most maxStrikes
}

// isAvailable reports whether t is listed as up and not under maintenance.
func (t *backend) isAvailable() bool { return t.State == Up && !t.outOfService }

// size returns the listed relative capacity of a backend, or 1 if none is listed.
func (t *backend) size() float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}

// removeGone removes the backends that are gone and have no attempts in flight. Without it, a fleet whose
// backends are constantly replaced under new IDs would grow the state and the cost of each step.
func (b *Balancer) removeGone() {
	b.backends = slices.DeleteFunc(b.backends, func(t *backend) bool {
		over := t.State == Gone && len(t.attempts) == 0
		if over {
			delete(b.byID, t.ID)
		}
		return over
	})
}

// versionOf returns the settings version of a generation, or nil if it is no longer kept.
func (b *Balancer) versionOf(generation uint64) *settingsVersion {
	for _, r := range slices.Backward(b.versions) {
		if r.settings.Generation == generation {
			return r
		}
	}
	return nil
}

func (b *Balancer) setRequestTimer(r *request, at time.Duration) {
	r.timer = b.setTimer(at - b.now)
	b.timers[r.timer] = r
}

func (b *Balancer) setTimer(wait time.Duration) int64 {
	b.token++
	b.actions = append(b.actions, SetTimer{After: wait, Token: b.token})
	return b.token
}

// hold queues a request until there is capacity, which may be in the same step.
func (b *Balancer) hold(r *request) {
	r.held = true
	b.held = append(b.held, r)
}

func (b *Balancer) unhold(r *request) {
	r.held = false
	b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
}

func (t *backend) removeAttempt(a *attempt) {
	t.attempts = slices.DeleteFunc(t.attempts, func(o *attempt) bool { return o == a })
}

// count returns the number of backends that satisfy a predicate.
func (b *Balancer) count(is func(*backend) bool) int {
	n := 0
	for _, t := range b.backends {
		if is(t) {
			n++
		}
	}
	return n
}
