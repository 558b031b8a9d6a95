package saltmast

// This is the decision module: every choice a balancer makes is in this file.
// Its interface (settings, events, actions) is in api.go, the types of its state
// are in state.go. Reading order: constants, event dispatch (Step), picking, retry
// and the repeat rule, the order of a key, health, cold start, list following, and
// last send and finish, which alone start attempts and end requests, and check the
// rules.

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Constants are dimensionless; every scale comes from the settings or from what
// is observed.
const (
	bucketCap     = 100.0 // retry tokens at the most: a quiet balancer funds 20 retries at once, not 100
	retryCost     = 5.0   // tokens for a retry ...
	timeoutCost   = 10.0  // ... and for one after a time-out, which may mean a deeper trouble
	successRefill = 1.0   // tokens that a served attempt brings back

	backoffUnit    = 1.0 / 32 // of the class's aim: a one-second unit would outlast most aims
	backoffCeiling = 8.0      // the longest backoff, in units

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

	// Where keys draw the choice, backends outside the working set count alike while they answer in
	// time about as often; else some trouble is about, and those known to answer come first.
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
	b := &Balancer{rng: rand.New(rand.NewPCG(seed, 0)), tokens: bucketCap, allow: math.Inf(1), vary: 1,
		base: aimedDelay / aimedRise, perBack: floorPerBack,
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
		state := classState{latency: float64(c.Aim) / 4, freshOK: 1, knownOK: 1}
		if i < len(from) && from[i] >= 0 && from[i] < len(b.classes) {
			if old := b.classes[from[i]]; old.Class == c {
				n.classes = append(n.classes, old)
				continue
			} else { // its clients and its work are the same, its times and its meaning may not be
				state = *old
				state.patience = 0
			}
		}
		state.Class = c
		n.classes = append(n.classes, &state)
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

// rulesOf are the settings that a request arrived under; nil: they are forgotten.
func (b *Balancer) rulesOf(generation uint64) *rules {
	for _, r := range slices.Backward(b.rules) {
		if r.s.Generation == generation {
			return r
		}
	}
	return nil
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
	// A client gives its tries a usual patience, its last one all that is left of its deadline.
	// A try with any other patience therefore tells how long ago the client began.
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
	r.coming = false
	r.aim, r.deadline = b.now+min(r.c.Aim, r.left), b.now+r.left
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
	c := r.c
	b.observe(r, a, e)
	if e.Result == OK && !r.ended {
		b.tokens = min(bucketCap, b.tokens+successRefill)
		if b.now <= r.aim {
			c.answered++
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

// onSilence tries a request again whose last attempt has had no answer within its patience. Guards
// against lost answers, hanging backends and those that leave one class unanswered. The bucket is
// charged as after a time-out, so that it runs dry under overload; the first attempt may still answer.
func (b *Balancer) onSilence(r *request) {
	a := r.attempts[len(r.attempts)-1]
	r.failed = a.b
	a.b.linked = false
	b.shun(a.b, r.c)
	b.retry(r, TimedOut)
}

func (b *Balancer) timer(r *request, at time.Duration) {
	r.timer = b.alarm(at - b.now)
	b.timers[r.timer] = r
}

func (b *Balancer) alarm(wait time.Duration) int64 {
	b.token++
	b.actions = append(b.actions, SetTimer{After: wait, Token: b.token})
	return b.token
}

// ---- Picking ----

// hold lets a request wait for room; one that finds some leaves in the same step.
func (b *Balancer) hold(r *request) {
	r.holding = true
	b.held = append(b.held, r)
}

func (b *Balancer) unhold(r *request) {
	r.holding = false
	b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
}

// releaseHeld sends what is held while there is room: first tries before clients'
// repeats, the most valuable class first, within it the newest, which has the most
// time left. Waiting here costs the backends nothing; it ends when an answer within
// the aim is out of reach.
func (b *Balancer) releaseHeld() {
	if len(b.held) == 0 {
		return
	}
	for _, c := range b.classes {
		c.value = b.value(c)
	}
	for float64(b.inFlight-b.stuck) < b.limit() && !b.throttled() {
		best, value := -1, 0.0
		for i, r := range b.held {
			if r.passed || !b.inTurn(r) {
				continue
			}
			if v := b.heldValue(r); best < 0 || v >= value {
				best, value = i, v
			}
		}
		if best < 0 {
			break
		}
		r := b.held[best]
		if t := b.pick(r); t != nil {
			b.unhold(r)
			b.send(r, t)
		} else {
			r.passed = true
		}
	}
	for i := len(b.held) - 1; i >= 0; i-- {
		r := b.held[i]
		need := min(holdMargin*b.expected(r), holdAtMost*float64(r.c.Aim))
		give := min(r.aim, r.deadline) - time.Duration(need)
		r.passed = false
		hopeless := b.up == 0 && len(b.withdrawn) > 0 // staff put none back within an aim
		if r.repeat || give <= b.now || hopeless {
			b.unhold(r)
			b.giveUp(r)
		} else if r.timer == 0 {
			b.timer(r, give)
		}
	}
	b.keepSpare()
}

// keepSpare gives up what is held and worth least, of that the oldest, while few more requests may be held
// open. Guards against whatever makes requests wait: they fill the places, the agent's or its clients', and
// what comes next is turned away unseen, whatever it is worth: 700 of 7,700 on the day of the report. Harm:
// of a burst that would be over at once some are given up that could have been served.
func (b *Balancer) keepSpare() {
	for b.maxOpen > 0 && float64(b.taken) > (1-sparePlaces)*float64(b.maxOpen) && len(b.held) > 0 {
		worst := slices.MinFunc(b.held, func(x, y *request) int {
			return cmp.Compare(b.heldValue(x), b.heldValue(y))
		})
		b.unhold(worst)
		b.giveUp(worst)
	}
}

// heldValue is what sending a held request now adds, against others.
func (b *Balancer) heldValue(r *request) float64 {
	v := r.c.value
	if r.repeat {
		v *= repeatValue
	}
	if r.aim-b.now < time.Duration(b.expected(r)/2) {
		v *= r.c.LateWorth
	}
	return v
}

// value is what a unit of work spent on a class now adds to the operator's goal.
func (b *Balancer) value(c *classState) float64 {
	total, low := 0.0, math.Inf(1)
	var worst *classState
	for _, o := range b.classes {
		total += o.arrived * o.Worth * b.unit(o)
		if share := o.share(); share < low {
			worst, low = o, share
		}
	}
	v := (b.s.GoalWhole + b.s.GoalWindow) * c.Worth * b.unit(c) / c.latency / max(total, 1e-9)
	if c == worst {
		v += b.s.GoalClass / (max(c.arrived, 1) * c.latency)
	}
	return v
}

// share is the share of a class that was lately answered within its aim.
func (c *classState) share() float64 { return (c.answered + 1) / (c.arrived + 1) }

func (b *Balancer) unit(c *classState) float64 {
	if b.s.ByWork {
		return c.latency
	}
	return 1
}

// pick chooses a backend: one where this balancer has nothing in flight, at
// random; else the one with the fewest in flight; never the one that just failed
// unless it is the only one. nil means that none may be used now.
func (b *Balancer) pick(r *request) *backend {
	mean, seen := 0.0, 0
	for _, t := range b.backends {
		if t.isUp() && t.seen {
			mean += b.load(t)
			seen++
		}
	}
	mean /= float64(max(seen, 1))
	most := max(double, backCap*b.perBack/float64(b.s.Balancers))
	crowded := b.now-b.cutAt <= b.s.RampTime // then crossing is worth its price
	if b.sparse(1) {
		crowded = b.sent > crowdAt*b.inTime+throttleFree
	}
	var idle, fresh, few, last *backend
	far := math.Inf(1)
	firstIdle, firstFresh, least, mild, links := far, far, far, far, 0
	for _, t := range b.backends {
		load := b.load(t)
		if !t.isUp() || !b.mayRepeat(r, t) || t == r.failed && b.up > 1 || b.now < t.fullTill ||
			load >= most || !b.coldRoom(t, r) {
			continue
		}
		if !b.healthy(t, r) {
			if m := t.strikes + b.rng.Float64() + load; m < mild {
				last, mild = t, m
			}
			continue
		}
		if !t.seen {
			load = mean // a new one gets no rush
		}
		if t.back && load < 1 {
			return t
		}
		slow := b.slowness(t)
		linked := b.isLinked(t) || t.joined && load < 1
		if linked {
			links++
		}
		if load < 1 || !linked {
			// Departure: an even choice among idle backends would load slow ones as much as fast
			// ones; each counts by the inverse cube of its observed slowness. Acts when speeds differ.
			// Where keys draw the choice, by the square: agents measure slowness each for themselves, and
			// the steeper the weight, the more keys move with each new answer, away from what is warm.
			keyed := b.s.WarmKeys && r.key != 0
			steep := slow * slow
			if !keyed {
				steep *= slow
			}
			w := t.size() * b.warmth(t) / steep
			if t.Zone != b.s.Zone && !crowded {
				w /= 1 + crossWeight*b.s.CrossZonePrice
			}
			// Departure: where backends serve a key that they lately met with less work, the draw comes
			// from the key: all agents choose alike, with no word between them, among those idle.
			u := b.rng.Float64()
			if keyed {
				u = keyedDraw(t.hash, r.key)
			}
			wait := -math.Log(max(u, 1e-12)) / w // the least is a choice by weight
			if linked && wait < firstIdle {
				idle, firstIdle = t, wait
			} else if !linked && wait < firstFresh {
				fresh, firstFresh = t, wait
			}
			continue
		}
		// Departure: in-flight counts are weighed by slowness for the same reason.
		if score := (load + 1) * slow / b.warmth(t) * (1 + 0.01*b.rng.Float64()); score < least {
			few, least = t, score
		}
	}
	// Departure: an even choice among all idle backends would open a connection from every agent
	// to every backend; a backend takes only so many, and each costs it work. An idle backend with
	// an open connection comes first, once there are enough of them to choose from; then one of
	// these with little in flight; only then a further connection.
	trusted := b.s.WarmKeys && r.c.freshOK >= r.c.knownOK-trustGap
	switch {
	case fresh != nil && (links < workingSet || trusted && firstFresh < firstIdle):
		return fresh
	case idle != nil:
		return idle
	case fresh != nil && (few == nil || b.load(few) >= double):
		return fresh
	case few != nil:
		return few
	}
	return last // all are ejected: a first attempt still goes out
}

// isLinked reports whether t is in the working set: an attempt needs no new connection there.
func (b *Balancer) isLinked(t *backend) bool {
	return len(t.out) > 0 || t.linked && (b.s.IdleClose == 0 || b.now-t.usedAt < b.s.IdleClose)
}

// setPart is the working set's part of the backends that are up: with that chance a newcomer, new or
// started again, joins the set, as long as the others are idle too. Guards against a fleet that is replaced
// under agents that have their set: with 36 of 60 new, agents kept to the 24 old ones, took these for the
// fleet, cut their limits for the queues there and refused a quarter, while the new ones idled. Sets keep
// their size by it: an even draw among all for one attempt in twenty opened half as many connections again.
func (b *Balancer) setPart() float64 {
	links := 0.0
	for _, t := range b.backends {
		if t.isUp() && b.isLinked(t) {
			links++
		}
	}
	return links / float64(max(b.up, 1))
}

// join draws a newcomer into the set or not; see setPart.
func (b *Balancer) join(t *backend, part float64) {
	if t.joined, t.drawn = t.back || b.rng.Float64() < part, 0; t.joined && !t.back {
		t.drawn = part
	}
}

// size is what the list says of a backend's size, against others; 1 where it says nothing.
func (t *backend) size() float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}

// slowness is how much longer this backend takes than the mean, by its answers or
// by the wait of its oldest attempt if that is worse (a stall shows before any answer).
func (b *Balancer) slowness(t *backend) float64 {
	s := t.slow
	if s == 0 {
		s = 1
	}
	for _, a := range t.out {
		if !a.coming && (a.sent > t.heard || t.cold) {
			return max(s, float64(b.now-a.sent)/a.cost/2)
		}
	}
	return s
}

// load is what t has to do for this balancer: its attempts out, less those whose answer seems lost, since
// it is overdue and what was sent after it has been answered. Guards against answers that never come (lost on
// the way, or swallowed by a backend that hung and is back): each held its place and its age passed for
// slowness, so that of eight equal backends some had 4 out and others 20. Harm: a backend that works on a few
// very heavy requests beside light ones counts as idler than it is. Not for cold ones: all is overdue there.
func (b *Balancer) load(t *backend) float64 {
	n := len(t.out)
	for _, a := range t.out {
		if a.coming { // it has nothing to do for this one yet
			n--
			continue
		}
		if a.sent > t.heard || t.cold {
			continue
		}
		if b.now-a.sent > a.patience {
			n--
		}
	}
	return float64(n)
}

// expected is the mean latency for a request of this class and told work.
func (b *Balancer) expected(r *request) float64 {
	c := r.c
	if r.work > 0 && c.work > 0 {
		return c.latency * r.work / c.work
	}
	return c.latency
}

// ---- Retry ----

// awaitSilence sets the time at which an attempt without answer is followed by another: when so few
// answers take longer that it is likelier lost than slow, and another can still come within the aim.
// A heavy request is heavy again elsewhere: where work varies much, that leaves no time, and rightly.
// Only where no limit binds: under a limit a second attempt takes the room of another request.
func (b *Balancer) awaitSilence(r *request) {
	r.timer = 0 // voids the one it was held with
	c := r.c
	l := b.expected(r)
	wait := l * (1 + silentDevs*b.vary)
	s := r.rules.s
	if !r.coming && b.sparse(sparseBelow) && r.open == 1 && len(r.attempts) < s.MaxAttempts &&
		s.SecondCopies && c.Effect != Unsafe && b.now+time.Duration(wait+l) <= r.aim {
		b.timer(r, b.now+time.Duration(wait))
	}
}

// retry ends a failed attempt's request or schedules the next attempt.
func (b *Balancer) retry(r *request, res Result) {
	cost := retryCost
	if res == TimedOut {
		cost = timeoutCost
	}
	c := r.c
	wait := time.Duration(b.rng.Float64() * min(math.Exp2(float64(r.retries)), backoffCeiling) *
		backoffUnit * float64(c.Aim))
	at := b.now + wait
	possible := false
	for _, t := range b.backends {
		possible = possible || t.isUp() && b.mayRepeat(r, t)
	}
	may := possible && b.tokens >= cost && at < r.deadline && res != NotSent
	if may && b.allow < 1 {
		b.actions = append(b.actions, Short{Request: r.id})
	}
	if !may || b.allow < 1 {
		b.giveUp(r)
		return
	}
	b.tokens -= cost
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
	c := r.c
	if c.Effect == Safe || r.risky == 0 {
		return true
	}
	if c.Effect == Unsafe || b.now-r.anchor.sent >= c.Window {
		return false
	}
	switch c.Group {
	case GroupZone:
		return t.Zone == r.anchor.b.Zone
	case GroupCell:
		return t.Cell == r.anchor.b.Cell
	}
	return true
}

// neverRan reports whether a result proves that the attempt had no effect.
func (r *request) neverRan(res Result) bool {
	return res.NeverRan() && !(res == Full && r.rules.s.FullNoProof)
}

// ---- Order of a key ----

// inTurn is the order rule: whether all that was taken for the key of r before it is over, each
// attempt of it has its outcome, and the key has rested.
func (b *Balancer) inTurn(r *request) bool {
	return r.line == nil || r.line.queue[0] == r && b.now >= r.line.rest
}

// lineUp puts a new request behind all others of its key.
func (b *Balancer) lineUp(r *request, key string) {
	if key == "" || !r.c.KeepOrder {
		return
	}
	if r.line = b.lines[key]; r.line == nil {
		r.line = &line{key: key}
		b.lines[key] = r.line
	}
	r.line.queue = append(r.line.queue, r)
}

// leaveLine takes out a request that is over. The next one goes in this step, or after the rest.
func (b *Balancer) leaveLine(r *request) {
	l := r.line
	if l == nil {
		return
	}
	r.line = nil
	l.queue = slices.Delete(l.queue, slices.Index(l.queue, r), slices.Index(l.queue, r)+1)
	switch {
	case r.rest > b.now: // the head, since no other was sent; rests end in the order in which they begin
		l.rest = r.rest
		b.resting = append(b.resting, l)
		b.alarm(l.rest - b.now + time.Microsecond) // the agent's timers may be that coarse
	case len(l.queue) == 0 && l.rest <= b.now:
		delete(b.lines, l.key)
	}
}

// endRests forgets keys that have rested and are not asked for.
func (b *Balancer) endRests() {
	for len(b.resting) > 0 && b.resting[0].rest <= b.now {
		l := b.resting[0]
		b.resting = b.resting[1:]
		if len(l.queue) == 0 && l.rest <= b.now && b.lines[l.key] == l {
			delete(b.lines, l.key)
		}
	}
}

// ---- Health ----

// observe learns from the outcome of an attempt.
func (b *Balancer) observe(r *request, a *attempt, e Outcome) {
	t, c, lat := a.b, r.c, float64(e.Latency)
	// Incident iec25a3: agents stayed with the backends of a small fleet while it grew fivefold. One
	// that turns work away or answers nothing leaves the working set, though still connected.
	good := 0.0
	if e.Result == OK && b.now <= r.aim {
		good = 1
	}
	if a.fresh {
		c.freshOK += smooth * (good - c.freshOK)
	} else {
		c.knownOK += smooth * (good - c.knownOK)
		c.freshOK += smooth / 10 * (good - c.freshOK) // forgets, since few fresh ones are tried meanwhile
	}
	if e.Result == OK || e.Result == Errored {
		t.heard = max(t.heard, a.sent)
	}
	t.linked, t.usedAt, t.joined, t.back = e.Result == OK || e.Result == Errored, b.now, false, false
	switch e.Result {
	case OK:
		// It came back before the list told: treat it as just started. One failure is no proof that it was
		// away: a process that dies resets all its connections and refuses new ones for a while.
		if t.down && t.warmFrom < a.sent && t.failedAt < a.sent {
			b.start(t, b.now)
		}
		t.down, t.fails = false, 0
		b.failing -= smooth / 10 * b.failing
		if !t.cold {
			b.doneWork = b.decayed() + a.cost
		}
		t.strikes = max(0, t.strikes-strikeHeal)
		delete(t.shuns, r.c)
		t.lastOK = b.now
		t.seen = true
		b.learnSpeed(t, lat/a.cost)
		if r.work > 0 && c.work > 0 {
			lat *= c.work / r.work
		}
		b.vary = blend(b.vary, math.Abs(lat/c.latency-1))
		c.latency = blend(c.latency, max(lat, 1))
		b.pace(float64(e.Latency) / float64(c.Aim))
	case Full:
		t.fullTill = b.now + time.Duration(b.rng.Float64()*c.latency)
		// One full backend tells less than a queue that was waited in: at the higher clip a quarter of all
		// attempts turned away by one of eight cut the limit while the other seven answered at once.
		b.pace(min(1, max(outlier*b.base, 2*aimedFloor)))
	case TimedOut:
		b.shun(t, r.c)
		if t.lastOK < a.sent { // nothing came back since: more than a slow request, and no queue
			b.strike(t, a, c)
		} else {
			b.pace(max(1, lat/float64(c.Aim)))
			b.learnSpeed(t, lat/a.cost) // at least so slow
		}
	case Errored, Reset, ConnectFailed:
		if t.fails == 0 {
			t.failedAt = b.now
		}
		t.fails++
		n := b.inARow(e.Result)
		if b.survived(t, e) {
			n = mostInARow
			if e.Result == ConnectFailed { // it takes no new connection now, which is what Full says
				t.fullTill = b.now + time.Duration(b.rng.Float64()*c.latency)
			}
		}
		if t.fails >= n && (e.Result == ConnectFailed || b.maySpare()) {
			t.down = t.down || e.Result != Errored
			b.strike(t, a, c)
		}
		if t.fails == 1 { // only the first of a run: a backend that is dead says nothing of the others
			b.failing += smooth / 10 * (1 - b.failing)
		}
	}
}

// survived reports whether t lives although a connection to it broke or failed: a process that dies takes
// all its connections along, and attempts sent before the first failure are still open. Guards against any
// trouble of single connections (resets on the way, stale ones, a full table) that passes for a dead backend:
// on the day of the report some backend was always left out for two of them in a row, with a dozen attempts
// open there that were then answered. A machine that vanishes leaves its connections open, so a dial without
// any answer is no sign of life. Harm: one that dies with the resets lost on the way is found out later.
func (b *Balancer) survived(t *backend, e Outcome) bool {
	if e.Result == Errored || e.Result == ConnectFailed && e.Latency > b.s.ConnectTimeout/2 {
		return false
	}
	return len(t.out) > 0 && t.out[0].sent < t.failedAt
}

// maySpare reports whether one more backend may be left out for errors. Seen on the long day: where half of
// them erred now and then, leaving them all out cost several times what their errors did.
func (b *Balancer) maySpare() bool {
	out := 0.0
	for _, t := range b.backends {
		if t.isUp() && b.now < t.ejected {
			out++
		}
	}
	return out+1 <= max(1, sparePart*float64(b.up))
}

// inARow is how many failures of a backend, with no answer between, tell of it and not of the fleet: so
// many that chance alone hardly makes them where failures are as common as they are. Guards against days on
// which answers come spoilt or connections break at all backends alike: with a strike for each, most were
// ejected or taken for restarted, and what was left was crowded.
func (b *Balancer) inARow(res Result) int {
	least, chance := 2.0, byChance
	if res == ConnectFailed { // such a one has not run, and says more
		least, chance = 1, byChance*50
	}
	n := math.Ceil(math.Log(chance) / math.Log(min(max(b.failing, 1e-6), 0.3)))
	return int(min(max(least, n), mostInARow))
}

// learnSpeed takes one latency, as a multiple of the expected, into a backend's slowness.
// The first few weigh more, since a quiet agent sees an answer of each only now and then.
func (b *Balancer) learnSpeed(t *backend, sample float64) {
	if t.slow == 0 {
		t.slow = 1
	}
	t.samples++
	t.slow += max(smooth, 1/(t.samples+priorSamples)) * (min(sample, slowBound) - t.slow)
}

// strike ejects a backend for a while that doubles with each further strike.
// Departure: a backend that fails fast is always idle and would draw all traffic.
// What was sent before the last strike adds nothing.
func (b *Balancer) strike(t *backend, a *attempt, c *classState) {
	if a.sent < t.struckAt {
		return
	}
	t.strikes = min(t.strikes+1, strikeCap)
	t.struckAt = b.now
	t.ejected = b.now + time.Duration(math.Exp2(t.strikes-1)*(0.75+0.5*b.rng.Float64())*float64(c.Aim))
}

// onHearsay takes others' word on a backend for a first strike, or takes that back; its own answer since
// counts for more. Guards against quiet agents that each lose requests to one known to be silent.
func (b *Balancer) onHearsay(e Hearsay) {
	switch t := b.byID[e.Backend]; {
	case t == nil || t.heard > b.now-e.Age:
	case e.Bad:
		t.ejected, t.struckAt = max(t.ejected, b.now+e.For), b.now
		t.strikes, t.hearsay = max(t.strikes, 1), true
	case t.hearsay:
		t.ejected, t.strikes, t.hearsay = b.now, 0, false
	}
}

// shun leaves a backend out for one class for a while that doubles with each further silence of it.
// Guards against backends that leave one class unanswered and serve the others, on which they are kept.
// Acts only for a class that fares clearly worse than another: where answers of all classes get lost,
// leaving backends out would crowd the rest for nothing.
func (b *Balancer) shun(t *backend, c *classState) {
	best := 0.0
	for _, o := range b.classes {
		best = max(best, o.share())
	}
	if c.share() > best-trustGap {
		return
	}
	s := t.shuns[c]
	s.fails = min(s.fails+1, strikeCap)
	s.till = b.now + time.Duration(shunFor*math.Exp2(s.fails-1)*float64(c.Aim))
	t.shuns[c] = s
}

// silent reports whether t has answered nothing since it was sent its oldest open attempt, for
// longer than a queue within the aims would explain. What hangs there must not use up the room of
// a quiet agent, which would refuse all else until its client leaves.
func (b *Balancer) silent(t *backend) bool {
	for _, a := range t.out {
		if !a.coming {
			return t.lastOK < a.sent && b.now-a.sent > a.patience
		}
	}
	return false
}

// healthy reports whether t may get r as ordinary traffic. After an ejection it
// gets one attempt at a time until it has healed: of requests that may be repeated,
// and of others only where none of these came for as long again.
func (b *Balancer) healthy(t *backend, r *request) bool {
	if b.now < t.ejected || b.silent(t) || b.now < t.shuns[r.c].till {
		return false
	}
	if t.strikes == 0 {
		return true
	}
	safe := r.c.Effect != Unsafe || b.now >= 2*t.ejected-t.struckAt
	return safe && len(t.out) == 0
}

// pace moves the limit on attempts in flight by the latency seen, as a share of
// the aim: down when the running mean passes the aimed share, up while it binds.
// Departure: beyond it requests are held, then refused, since a queue that
// outlasts the aims serves nobody. The floor is this agent's share of a few
// attempts per backend, so that a fleet that is slow without a queue stays in use.
func (b *Balancer) pace(share float64) {
	// The first few answers set the usual latency: an agent that held a crowded fleet's for usual
	// would see no crowd until servers that slow down when crowded had done so (icaaa88, ic83025).
	if b.answers++; b.answers <= 1/smooth {
		b.delay += (min(share, 2) - b.delay) / b.answers
		b.base = b.delay
		return
	}
	// The mean spans what is in flight at once: over fewer samples, chance alone would cut a
	// busy agent's limit. One heavy request says no more than that it was heavy.
	weight := min(smooth, 1/b.limit())
	aimed := min(aimedDelay, max(aimedRise*b.base, aimedFloor))
	most := max(outlier*b.base, 2*aimedFloor)
	if !b.sparse(1) { // a quiet agent's mean is of too few answers
		most = max(most, outlierAimed*aimed)
	}
	b.delay += weight * (min(share, most, 2) - b.delay)
	low := b.delay - b.base
	if low > 0 {
		low /= 100 // the low rises a hundred times slower than it falls
	}
	b.base += weight * smooth * low
	switch {
	// Not twice by the same answers: of 300 agents most see ten in as many latencies, and one heavy request
	// among these cut their limits five times over.
	case b.delay > aimed && b.now-b.cutAt > time.Duration(b.classes[0].latency) && b.answers >= b.cutNext:
		cut := limitCut
		if b.cutAt == 0 {
			cut = openCut
		}
		b.perBack = max(floorPerBack, b.perBack*cut)
		b.cutAt, b.cutNext = b.now, b.answers+1/smooth
	case b.delay < aimed && float64(b.inFlight-b.stuck)+1 >= b.limit()*0.9:
		grow := limitGrow / b.limit()
		// Up to the first cut a slow start: an attempt for each answer, less near the aimed delay, doubles
		// the limit in a round. Guards against parts by head count where traffic is uneven: of 80 agents one
		// had 22% of the requests and a part of 3, gained 4 a second and refused half, while servers idled.
		// Up to the floor of all together: two busy agents that passed it crowded eight servers by chance.
		if b.cutAt == 0 && b.capacity > 0 && b.perBack < floorPerBack*float64(b.s.Balancers) {
			grow = max(grow, (1-b.delay/aimed)*float64(b.s.Balancers)/b.capacity)
		}
		b.perBack += grow
	}
}

// limit is what may be in flight now; it follows the list as the fleet grows and shrinks,
// and a cold backend counts by its warmth.
// Without peers each agent's part goes by head count, at least one attempt.
// Departure: where each agent's part of even the least limit is well under one attempt, a limit of
// one would hold up a quiet agent's request behind any slow one, and still let all together crowd
// the backends; there the throttle acts alone.
func (b *Balancer) limit() float64 {
	if b.sparse(sparseBelow) {
		return math.Inf(1)
	}
	return max(1, b.part())
}

// throttled reports whether too few of the requests sent lately were answered within their aim.
// Incidents i783cc5 and i84e735: a lost zone or a shrunken fleet leaves many agents to few backends,
// and one attempt each is too much. Departure: acts where an agent's part is under one attempt, and
// leaves it the share of its traffic that the backends answer in time, whatever keeps them from it.
func (b *Balancer) throttled() bool {
	return b.sparse(1) && b.sent >= throttleAt*b.inTime+throttleFree
}

// sparse reports whether an agent's part of the least limit is under so many attempts.
func (b *Balancer) sparse(part float64) bool {
	return floorPerBack*float64(b.up) < part*float64(b.s.Balancers)
}

func (b *Balancer) part() float64 { return b.perBack * b.capacity / float64(b.s.Balancers) }

// ---- Cold start ----

// start notes that a backend's process started at a time learned now.
func (b *Balancer) start(t *backend, at time.Duration) {
	t.warmFrom, t.cold, t.seen, t.slow, t.samples, t.linked = at, true, false, 0, 0, false
	// The first request of each agent comes when a random part of its cost has been earned: with none
	// to earn, a thousand quiet agents would each send one to a newcomer at once.
	t.budget, t.budgetAt = -b.rng.Float64()*b.classes[0].latency, b.now
}

// warmth is the share of its full capacity that a backend surely has by now.
func (b *Balancer) warmth(t *backend) float64 {
	if !t.cold {
		return 1
	}
	age := b.now - t.warmFrom
	if age >= b.s.RampTime {
		t.cold = false
		return 1
	}
	return b.s.ColdShare + (1-b.s.ColdShare)*max(0, float64(age)/float64(b.s.RampTime))
}

// measure sums up what the backends that are up, and not ejected or down, can do.
func (b *Balancer) measure() {
	b.up, b.warm, b.capacity, b.stuck = 0, 0, 0, 0
	for _, t := range b.backends {
		if t.isUp() {
			b.up++
			if !t.cold {
				b.warm++
			}
		}
		usable := t.isUp() && !t.down && b.now >= t.ejected && !b.silent(t)
		if usable {
			b.capacity += b.warmth(t)
		}
		for _, a := range t.out {
			if !usable || a.coming || b.now-a.sent > a.patience {
				b.stuck++
			}
		}
	}
}

// coldRoom reports whether a cold backend may get this request: each agent sends it
// no more work than what a warm one serves for it, times warmth, times the root of the
// stated multiple. All together then stay as far below the multiple as they may be above
// the sure capacity: most backends have more than that, and under overload it is needed.
func (b *Balancer) coldRoom(t *backend, r *request) bool {
	w := b.warmth(t)
	if !t.cold {
		return true
	}
	cost := b.expected(r)
	mean := r.c.latency
	rate := b.decayed() / float64(b.s.FallWindow+1) / float64(max(b.warm, 1))
	// No warm one to go by, or put back by operators, who look for its use: its part of the least limit. Else
	// nothing would ever go out, or a quiet agent's first request there would come long after.
	if b.warm == 0 || t.back {
		rate = max(rate, floorPerBack/float64(b.s.Balancers))
	}
	share := w * math.Sqrt(max(1, b.s.FallMultiple)) * b.stands(t)
	t.budget = min(t.budget+share*rate*float64(b.now-t.budgetAt), mean)
	t.budgetAt = b.now
	return t.budget > 0 && cost <= heavy*mean
}

// stands is for how many agents this one stands at a cold backend that it drew into its working set: the
// others have no use for their parts. Less a deviation of the number of those that drew it. Guards against
// two bounds that multiply: on the join day each agent drew 3 of 95 new backends and gave these its part as
// if all agents did; 137 requests a second went where 1,500 could be served, the old ones choked on 1,250.
func (b *Balancer) stands(t *backend) float64 {
	if t.drawn == 0 {
		return 1
	}
	return max(1, 1/(t.drawn+math.Sqrt(t.drawn/float64(b.s.Balancers))))
}

// decayed is the work lately served by warm backends, over about one fall window.
func (b *Balancer) decayed() float64 {
	b.doneWork *= math.Exp(-float64(b.now-b.doneAt) / float64(b.s.FallWindow+1))
	b.doneAt = b.now
	return b.doneWork
}

// ---- List following ----

func (b *Balancer) onList(e List) {
	if e.Kind == ListFailed && !b.s.Subscribe {
		return
	}
	if e.Kind == ListFailed {
		// Asked again after an exponential, fully jittered wait.
		b.askFails++
		b.askToken = b.alarm(time.Duration(b.rng.Float64() *
			min(b.askUnit()*math.Exp2(float64(min(b.askFails, 4))), askAtMost*float64(b.s.AskWithin))))
		return
	}
	if e.Kind == ListCached && b.s.Subscribe {
		// Spread in time, since all agents may start at once.
		b.askToken = b.alarm(time.Duration(b.rng.Float64() * min(b.askUnit(), float64(b.s.AskWithin)/2)))
	} else {
		b.askFails = 0
	}
	full := e.Kind != ListDelta
	part := b.setPart()
	listed := map[string]bool{}
	for _, n := range e.Backends {
		listed[n.ID] = true
		t := b.byID[n.ID]
		if t == nil && n.State == Gone {
			continue
		}
		if t == nil {
			t = &backend{Backend: n, hash: hash(n.ID), shuns: map[*classState]shun{}}
			t.withdrawn = b.withdrawn[n.ID]
			b.byID[n.ID] = t
			b.backends = append(b.backends, t)
			if n.Started > 0 {
				b.start(t, n.Started)
			}
			b.join(t, part)
			continue
		}
		if n.Started > t.Started {
			b.start(t, max(n.Started, t.warmFrom))
			t.strikes, t.ejected, t.down, t.hearsay = 0, 0, false, false
			b.join(t, part)
		}
		t.Backend = n
	}
	for _, t := range b.backends {
		if full && !listed[t.ID] {
			t.State = Gone
		}
	}
	b.forgetGone()
}

// onMaintenance takes a backend out of service, whatever the list says until it is put back. Then it counts
// as started at that time: it was restarted while it was out, which the list tells late. What it was blamed
// for is over.
func (b *Balancer) onMaintenance(e Maintenance) {
	t := b.byID[e.Backend]
	if e.Out {
		b.withdrawn[e.Backend] = true
	} else {
		delete(b.withdrawn, e.Backend)
	}
	if t == nil {
		return
	}
	t.withdrawn, t.back = e.Out, false
	if !e.Out {
		b.start(t, max(e.Since, t.warmFrom))
		t.strikes, t.ejected, t.down, t.fails, t.fullTill, t.joined, t.back = 0, 0, false, 0, 0, true, true
		clear(t.shuns)
	}
}

// askUnit is the span over which calls of the list are spread at the least. The list is one service for all
// and does not grow with the fleet: beyond askFleet agents the span grows with their number, so that all
// together call no more often. Guards against a storm of calls that all fail because all call: in the model
// with 1,280 agents 97% failed, 4,700 in a second.
func (b *Balancer) askUnit() float64 {
	return float64(b.s.AskWithin) / 64 * max(1, float64(b.s.Balancers)/askFleet)
}

// ---- Attempts and final answers ----

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

// finish gives a request its final answer. Nothing else does. It is a refusal
// where no attempt may have run, which lets any client try again; else a failure.
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

// comeBack is when a refused client should try again, where clients are told: after a fully jittered
// wait like those of our own retries, at their ceiling since what refuses is a crowd and not one backend.
// Guards against clients that were refused together and come back together.
func (b *Balancer) comeBack(r *request) time.Duration {
	if !b.s.RetryAfter {
		return 0
	}
	unit := backoffCeiling * backoffUnit * float64(r.c.Aim)
	return time.Duration(b.rng.Float64() * min(unit, float64(b.s.MaxRetryAfter)))
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

func (t *backend) drop(a *attempt) {
	t.out = slices.DeleteFunc(t.out, func(o *attempt) bool { return o == a })
}

func blend(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + smooth*(sample-mean)
}
