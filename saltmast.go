package saltmast

// The decision module: its constants, and what follows from each event. Further choices are in limit.go (how
// much at once), pick.go (which backend), again.go, order.go (of a key), health.go, cold.go, list.go, and
// finish.go, which alone starts attempts and ends requests, and checks the rules; what other programs share
// is in internal/retry. Settings, events and actions are in api.go, the types of the state in state.go.

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"saltmast/internal/retry"
)

// Constants are dimensionless; every scale comes from the settings or from what is observed.
const (
	bucketCap     = 100.0 // retry tokens at the most: a quiet balancer funds 20 retries at once, not 100
	retryCost     = 5.0   // tokens for a retry ...
	timeoutCost   = 10.0  // ... and for one after a time-out, which may mean a deeper trouble
	successRefill = 1.0   // tokens that a served attempt brings back

	backoffUnits   = 32 // in the class's aim: units of a second would outlast most aims
	backoffCeiling = 8  // the longest backoff, in units

	silentAfter  = 0.35  // of the aim: no answer from a backend for so long, and it is taken for silent
	silentDevs   = 5.0   // mean deviations over the mean latency, after which an attempt is tried again
	silentMeans  = 6.0   // and at least so many mean latencies, which are long when all is crowded
	smooth       = 0.1   // weight of a new sample in a running mean, about the last 20 samples
	priorSamples = 2.0   // answers that the mean of all counts for in a backend's slowness at the start
	slowBound    = 8.0   // one sample says at most that a backend is so many times slower than the mean
	byChance     = 1e-3  // a run of failures less likely than this is no chance
	sparePart    = 0.2   // of the backends may be left out for errors at a time
	mostInARow   = 6     // and the longest that is waited for
	strikeHeal   = 0.25  // strikes that a served attempt takes back: one error in five keeps them growing
	shunFor      = 8.0   // aims for which a silent backend is first left out for a class
	strikeCap    = 5.0   // longest ejection is 2^(cap-1) times the first
	heavy        = 2.0   // a cold backend gets no request of more than so many times the mean work
	crossWeight  = 200.0 // an idle backend in another zone counts less by so many times the price of crossing
	double       = 2     // attempts that one gets before a connection to a further one is opened
	workingSet   = 2     // backends an agent keeps connections to, if its traffic needs no more: a choice

	// Where keys draw the choice, backends outside the working set count alike while they answer in time
	// about as often; else some trouble is about, and those known to answer come first.
	trustGap = 0.1

	aimedDelay = 0.35 // mean latency, as a share of the aim, above which less is kept in flight: less
	// refuses uneven work without need, more lets crowded servers slow down
	aimedRise    = 3.0  // and above so many times its low: servers may slow down when crowded
	aimedFloor   = 0.15 // but never below this: so far within the aim a delay harms nobody, and idle cores do
	outlier      = 4.0  // one answer counts at most as so many times the usual latency, or two floors ...
	outlierAimed = 3.0  // ... or so many times the aimed mean: cut at little over that, nine in ten had to
	// be slow before the limit fell, where warm keys make the usual latency short; all servers choked
	sparseBelow  = 0.6  // part of the least limit, in attempts, below which an agent has no such limit
	throttleAt   = 1.3  // requests sent for each answered in time: more wastes work on late answers ...
	crowdAt      = 1.15 // ... and above so many, zones are crossed freely ...
	throttleFree = 4.0  // ... beyond the first few
	throttleSpan = 20.0 // aims over which both are counted
	limitCut     = 0.9  // one cut of the in-flight limit
	openCut      = 0.5  // the first cut: a limit that doubles in a round passes what it should be by as much
	limitGrow    = 0.7  // and its growth, in attempts per backend for each round of answers
	floorPerBack = 4.0  // where it starts, for all agents together per backend, and the least it
	// falls to: less would leave cores idle, and a start with more would crowd servers at once

	backCap     = 3.0       // no backend holds more than so many mean shares of the limit
	holdMargin  = 2.0       // a held request leaves when fewer than so many mean latencies remain to its aim
	sparePlaces = 0.125     // of the requests that may be open, kept free for those to come
	holdAtMost  = 0.75      // of the aim; a request may always be held for the rest of it
	askFleet    = 64.0      // agents that may call the list as if they were few
	askAtMost   = 2.0       // AskWithins over which a call comes again after a failed one: four are allowed
	comingFor   = time.Hour // a body may take no longer: the agent bounds it far below
	keptRules   = 8         // settings before the present ones that are kept for requests on their way
	repeatValue = 0.1       // value of a client's repeat against a first try: most of its aim has passed
)

// New returns a balancer with no state. All its random choices come from seed.
func New(s Settings, seed uint64) (*Balancer, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	b := &Balancer{rng: rand.New(rand.NewPCG(seed, 0)), bucket: retry.NewBucket(bucketCap),
		allow: math.Inf(1), vary: 1, base: aimedDelay / aimedRise, perBack: floorPerBack,
		byID: map[string]*backend{}, withdrawn: map[string]bool{},
		requests: map[string]*request{}, timers: map[int64]*request{}, lines: map[string]*line{}}
	b.adopt(s, nil)
	return b, nil
}

// adopt has settings in force for the requests to come; those that are open keep theirs. What was learned of
// backends stays, and what was learned of a class where a class of the new settings continues it.
func (b *Balancer) adopt(s Settings, from []int) {
	s.MaxAttempts = max(1, s.MaxAttempts)
	if s.ColdShare == 0 {
		s.ColdShare = 1
	}
	n := &rules{s: &s}
	for i, c := range s.Classes {
		state := &classState{latency: float64(c.Aim) / 4, freshOK: 1, knownOK: 1}
		if i < len(from) && from[i] >= 0 && from[i] < len(b.classes) {
			// Its clients and its work are the same, its times and its meaning may not be.
			if state = b.classes[from[i]]; state.Class != c {
				other := *state
				state, other.patience = &other, 0
			}
		}
		state.Class = c
		n.classes = append(n.classes, state)
	}
	if b.rules = append(b.rules, n); len(b.rules) > keptRules {
		old, recent := b.rules[:len(b.rules)-keptRules], b.rules[len(b.rules)-keptRules:]
		idle := func(r *rules) bool { return r.open == 0 }
		b.rules = append(slices.DeleteFunc(slices.Clone(old), idle), recent...)
	}
	b.s, b.classes, b.maxOpen = n.s, n.classes, s.MaxOpen
	for _, t := range b.backends {
		maps.DeleteFunc(t.shuns, func(c *classState, _ shun) bool { return !slices.Contains(b.classes, c) })
	}
}

// Step takes what has happened by now, in order, and returns what to do.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now, b.actions = max(now, b.now), nil
	b.endRests()
	f := math.Exp(-float64(b.now-b.decayAt) / (throttleSpan * float64(b.classes[0].Aim)))
	b.sent, b.inTime, b.decayAt = b.sent*f, b.inTime*f, b.now
	b.measure()
	for _, e := range events {
		switch e := e.(type) {
		case Request:
			b.onRequest(e)
		case Outcome:
			b.onOutcome(e)
		case Arrived:
			b.onArrived(e)
		case TimerFired:
			b.onTimer(e.Token)
		case List:
			b.onList(e)
			b.measure()
		case Retune:
			if e.Settings.Check() == nil {
				b.adopt(e.Settings, e.From)
				b.measure()
			}
		case Room:
			b.maxOpen = e.MaxOpen
		case Maintenance:
			b.onMaintenance(e)
			b.measure()
		case Allowance:
			b.allow = float64(e.Retries)
			for _, r := range b.requests { // what is on its way there has yet to be spent
				if r.waiting || r.holding && r.retries > 0 {
					b.allow--
				}
			}
		case Hearsay:
			b.onHearsay(e)
		case StreamStarted:
			if r := b.requests[e.Request]; r != nil && !r.ended {
				r.stream = true
			}
		case Abandoned:
			if r := b.requests[e.Request]; r != nil {
				b.close(r)
			}
		}
	}
	b.releaseHeld()
	return b.actions
}

func (b *Balancer) onRequest(e Request) {
	in := b.rulesOf(e.Generation)
	if in == nil {
		b.actions = append(b.actions, Refuse{Request: e.ID})
		return
	}
	if e.Class < 0 || e.Class >= len(in.classes) || b.requests[e.ID] != nil {
		return
	}
	c := in.classes[e.Class]
	in.open++
	r := &request{id: e.ID, rules: in, c: c, aim: b.now + min(c.Aim, e.Left),
		deadline: b.now + e.Left, repeat: e.Repeat}
	// A client gives its tries a usual patience, its last one all that is left of its deadline. A try with
	// any other patience therefore tells how long ago the client began.
	if c.patience == 0 {
		c.patience = e.Left
	}
	off := e.Left - c.patience
	if off > 2*b.s.Tick || off < -2*b.s.Tick {
		r.repeat = true
		r.aim -= max(0, c.Deadline-e.Left)
	}
	if r.coming, r.left = e.Coming, e.Left; r.coming { // how long its body takes is its client's affair
		r.deadline = b.now + comingFor
	}
	if !e.Repeat {
		c.patience += min(max(off, -b.s.Tick/4), b.s.Tick/4) // towards the median
	}
	if r.work = float64(e.Work); r.work > 0 {
		c.work = blend(c.work, r.work)
	}
	for _, c := range b.classes { // decay by arrivals: the last few hundred requests count
		c.arrived *= 1 - smooth/20
		c.answered *= 1 - smooth/20
	}
	c.arrived++
	b.requests[e.ID] = r
	b.taken++
	if e.Key != "" {
		r.key = hash(e.Key)
	}
	b.lineUp(r, e.Key)
	b.hold(r)
}

// onArrived begins the times of a request whose body has now gone out whole.
func (b *Balancer) onArrived(e Arrived) {
	r := b.requests[e.Request]
	if r == nil || !r.coming {
		return
	}
	r.coming, r.aim, r.deadline = false, b.now+min(r.c.Aim, r.left), b.now+r.left
	for _, a := range r.attempts {
		if a.open && a.coming { // its backend begins now: it is the latest there
			a.coming, a.sent = false, b.now
			a.b.drop(a)
			a.b.out = append(a.b.out, a)
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
	a.b.drop(a)
	r.spent = r.spent || e.Spent
	if e.Result == TimedOut || e.Result == Reset || e.Result == Cancelled {
		r.rest = b.now + b.s.KeyRest
	}
	if r.neverRan(e.Result) {
		if r.risky--; r.risky == 0 {
			r.anchor = nil
		}
	}
	b.observe(r, a, e)
	if e.Result == OK && !r.ended {
		b.bucket.Refill(successRefill)
		if b.now <= r.aim {
			r.c.answered++
			b.inTime++
		}
		for i, o := range r.attempts {
			if o.open && b.s.MayCancel {
				b.actions = append(b.actions, Cancel{Request: r.id, Attempt: i})
			}
		}
	}
	if a.b.State == Gone && len(a.b.out) == 0 {
		b.forgetGone()
	}
	if e.Done || e.Result == OK || r.ended {
		b.close(r)
		return
	}
	r.failed = a.b
	if r.open == 0 && !r.waiting && !r.holding {
		b.retry(r, e.Result)
	}
}

func (b *Balancer) onTimer(token int64) {
	if token == b.askToken && token != 0 {
		b.askToken = 0
		b.actions = append(b.actions, Subscribe{})
		return
	}
	r := b.timers[token]
	delete(b.timers, token)
	if r == nil || r.ended || token != r.timer {
		return
	}
	r.timer = 0 // a held request that may stay longer than it seemed sets another one: lost otherwise
	switch {
	case r.waiting:
		r.waiting = false
		b.hold(r)
	case r.open > 0 && !r.holding && !r.stream:
		b.onSilence(r)
	}
}
