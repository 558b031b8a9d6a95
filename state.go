package saltmast

// The types of a balancer's state; what they are used for is decided in the policy files (see saltmast.go).

import (
	"math/rand/v2"
	"slices"
	"time"

	"saltmast/internal/retry"
)

// Balancer decides for one agent. See the package comment for its use.
type Balancer struct {
	s       *Settings // those in force
	rules   []*rules  // with those before, while some request has them; the last is in force
	rng     *rand.Rand
	now     time.Duration
	actions []Action

	backends  []*backend // in the order in which they were first listed
	byID      map[string]*backend
	withdrawn map[string]bool // backends that operators have taken out, listed or not
	requests  map[string]*request
	maxOpen   int              // requests that may be open; 0: no limit
	taken     int              // requests that have no final answer yet
	held      []*request       // waiting for room, oldest first
	lines     map[string]*line // of ordered requests, by key
	resting   []*line          // lines whose key rests or has rested, in the order of its end
	timers    map[int64]*request
	token     int64 // last timer token given out

	bucket   retry.Bucket  // pays for retries
	allow    float64       // retries that may begin by what agents share
	classes  []*classState // of the settings in force
	inFlight int
	stuck    int           // of these, on backends that are not counted in capacity
	perBack  float64       // attempts that all agents may have in flight together, per backend that is up
	up       int           // backends that the list says are up
	warm     int           // of these, not cold
	capacity float64       // their number, each counted by its warmth
	delay    float64       // running mean of latency over aim
	vary     float64       // running mean deviation of latency from the mean of its class, over that mean
	answers  float64       // that delay rests on
	failing  float64       // share of attempts that lately ended by an error or a broken connection
	base     float64       // its low: what it is without queues
	cutAt    time.Duration // of the limit, the last time; 0: never, and its slow start goes on
	cutNext  float64       // not cut again before so many answers
	sent     float64       // requests sent lately ...
	inTime   float64       // ... and those answered within their aim
	decayAt  time.Duration

	doneWork float64 // decayed work that warm backends served
	doneAt   time.Duration
	askFails int
	askToken int64
}

// rules are settings, and their classes, while they are in force or some request has them.
type rules struct {
	s       *Settings
	classes []*classState
	open    int // requests
}

type classState struct {
	Class
	latency  float64       // running mean of served latency, ns
	freshOK  float64       // share answered in time by backends outside the working set ...
	knownOK  float64       // ... and by those within
	value    float64       // what a unit of work adds to the goal, in this step
	patience time.Duration // the usual patience of a client's try
	work     float64       // running mean of the expected work told with requests, ns
	arrived  float64       // decayed count of requests
	answered float64       // decayed count of requests answered within the aim
}

type backend struct {
	Backend
	hash     uint64
	out      []*attempt // oldest first
	seen     bool       // has answered this balancer since it started
	slow     float64    // running mean of its latency over the mean of all
	samples  float64    // answers that slow rests on
	strikes  float64
	ejected  time.Duration // no traffic before this time
	struckAt time.Duration
	fullTill time.Duration
	shuns    map[*classState]shun
	lastOK   time.Duration
	heard    time.Duration // when the latest of its attempts that were answered was sent
	down     bool          // connections failed or broke since the last answer
	fails    int           // failures of any kind since the last answer ...
	failedAt time.Duration // ... and when the first of them was
	linked   bool          // in the working set: connected as far as can be told, and not turning work away
	usedAt   time.Duration // when that was last used
	joined   bool          // drawn into the working set when it joined, and not tried yet
	drawn    float64       // the chance of that draw; 0: it was not drawn
	hearsay  bool          // left out on the word of others
	// withdrawn: operators have taken it out of service. back: they have put it back, and it was not tried since.
	withdrawn, back bool
	warmFrom        time.Duration // when its latest start became known or seen
	cold            bool
	budget          float64 // work that may be sent while it is cold
	budgetAt        time.Duration
}

// line is the order of a key: the requests taken for it that are not over, oldest first.
type line struct {
	key   string
	queue []*request
	rest  time.Duration // nothing new of this key before
}

type attempt struct {
	b        *backend
	sent     time.Duration
	cost     float64
	patience time.Duration // without any answer of its backend for so long, that is silent
	open     bool
	fresh    bool // its backend was not in the working set
	coming   bool // its request's body is still on its way: its backend has not begun
}

type request struct {
	id       string
	rules    *rules // that it arrived under, and keeps
	c        *classState
	aim      time.Duration // answers after this time earn less
	deadline time.Duration
	key      uint64        // hash of what it is about; 0: nothing told
	line     *line         // of its key, where order is kept
	rest     time.Duration // its key rests until then, once it is over
	work     float64       // expected work as told, ns; 0: unknown
	attempts []*attempt
	open     int      // attempts out
	risky    int      // attempts that may have run, those out included
	anchor   *attempt // the first of these: sets the group and the window
	retries  int
	failed   *backend // the backend that failed it last
	timer    int64    // the token of its latest timer; earlier ones are void
	repeat   bool     // a later try of the client: part of its aim has passed
	waiting  bool     // for its backoff
	passed   bool     // found no backend in this step
	holding  bool
	stream   bool
	coming   bool          // its body is still coming ...
	left     time.Duration // ... and its client waits so long from its last byte
	spent    bool          // its body can't be sent once more
	ended    bool
}

// shun is how long a backend gets nothing of one class.
type shun struct {
	till  time.Duration
	fails float64 // in a row
}

// isUp reports whether t may get work: by the list, and by the operators.
func (t *backend) isUp() bool { return t.State == Up && !t.withdrawn }

// size is what the list says of a backend's size, against others; 1 where it says nothing.
func (t *backend) size() float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}

// forgetGone forgets the backends that are gone, once none of their attempts is out. Guards against a
// fleet that is replaced all day under new ids: each one would be kept, and walked in every step.
func (b *Balancer) forgetGone() {
	b.backends = slices.DeleteFunc(b.backends, func(t *backend) bool {
		over := t.State == Gone && len(t.out) == 0
		if over {
			delete(b.byID, t.ID)
		}
		return over
	})
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

func (b *Balancer) timer(r *request, at time.Duration) {
	r.timer = b.alarm(at - b.now)
	b.timers[r.timer] = r
}

func (b *Balancer) alarm(wait time.Duration) int64 {
	b.token++
	b.actions = append(b.actions, SetTimer{After: wait, Token: b.token})
	return b.token
}

// hold lets a request wait for room; one that finds some leaves in the same step.
func (b *Balancer) hold(r *request) {
	r.holding = true
	b.held = append(b.held, r)
}

func (b *Balancer) unhold(r *request) {
	r.holding = false
	b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
}

func (t *backend) drop(a *attempt) {
	t.out = slices.DeleteFunc(t.out, func(o *attempt) bool { return o == a })
}

// count counts the backends of which something is true.
func (b *Balancer) count(is func(*backend) bool) int {
	n := 0
	for _, t := range b.backends {
		if is(t) {
			n++
		}
	}
	return n
}
