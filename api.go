// Package saltmast implements client-side load balancing for one sidecar
// proxy: it decides which backend gets each request, when a request is retried
// and when it is refused. It performs no I/O: the embedding agent owns the
// clock, the timers and the connections, reports what happened as events, and
// carries out the returned actions in order.
//
// A Balancer must be used by one goroutine at a time. All times are durations
// on the agent's monotonic clock, with an arbitrary zero, and must not run
// backwards. Memory is bounded by the open requests and attempts, the pending
// timers, and the backends that are listed or still have attempts in flight.
package saltmast

import "time"

// Effect says whether repeating a request is safe.
type Effect uint8

const (
	Safe   Effect = iota // may be repeated or refused at any time
	Keyed                // the backends of one group discard a repeat within a time window
	Unsafe               // may be repeated only if no attempt can have run
)

// Group says which backends deduplicate a keyed request.
type Group uint8

const (
	GroupAll  Group = iota // every backend
	GroupZone              // the backends of one zone
	GroupCell              // the backends of one cell
)

// Class describes a class of requests and the service level that it needs.
type Class struct {
	Aim       time.Duration // latency target: an answer within it earns the full worth
	Deadline  time.Duration // how long a client waits, over all its tries
	Worth     float64       // value of a request (or of a unit of work, see Settings.WorthPerWork)
	LateWorth float64       // share of the worth that an answer between aim and deadline earns
	Effect    Effect
	Group     Group         // for Keyed
	Window    time.Duration // for Keyed: how long after the first send a repeat is discarded
	// KeepOrder makes requests with the same key run one at a time, in order of arrival. All such
	// classes share one key space.
	KeepOrder  bool
	AimStretch float64 // the aim grows by this multiple of the request's work; 0: fixed aim
	Stream     bool    // the answer is streamed and announced by StreamStarted
}

// Tenant describes one of the tenants that share the service.
type Tenant struct {
	Share float64 // fraction of the service allotted to the tenant
	Quota float64 // requests per second, over all agents, within that share
}

// Weights says what Backend.Weight means.
type Weights uint8

const (
	WeightsNone    Weights = iota // always 1
	WeightsNominal                // the registered capacity
	WeightsRough                  // an approximate capacity
	WeightsLive                   // capacity divided by 1 + requests held per core, measured some time ago
)

// Reports says which messages carry load reports.
type Reports uint8

const (
	ReportsNone    Reports = iota
	ReportsAnswers         // with outcomes and probe results
	ReportsProbes          // only with probe results
)

// Fields is the set of values that load reports contain.
type Fields uint8

const (
	FieldInFlight Fields = 1 << iota
	FieldQueue
	FieldUtilization
	FieldService
	FieldThroughput
	FieldErrors
)

// Settings configure a Balancer. The zero value of an optional field means what
// its comment says; the zero value of a price, a goal or a duration disables the
// feature that depends on it. Some settings are accepted but not used by this
// module.
type Settings struct {
	Generation   uint64 // identifies these settings; see SettingsUpdate
	Balancers    int    // number of agents that share the backends, including this one; at least 1
	Self         int    // index of this agent, from 0
	Zone         int    // this agent's zone
	Zones        int    // number of zones; 0: unknown
	Kinds        int    // number of machine kinds; 0: unknown
	Tier         int    // index of the tier of backends that this agent sends to, from 0
	Tiers        int    // number of tiers; 0: unknown
	Classes      []Class
	Tenants      []Tenant      // empty: requests belong to no tenant
	WorthPerWork bool          // Class.Worth is per unit of work instead of per request
	Subscribe    bool          // the backend list must be subscribed to; otherwise it is pushed
	Tick         time.Duration // shortest interval between two steps; 0: none
	WarmKeys     bool          // a backend that recently served a key serves it again with less work
	Weights      Weights
	Reports      Reports
	Fields       Fields // values that load reports contain
	// MarksRetry: clients mark their retries (Request.Repeat). PassesDeadline: a backend that calls
	// another tier passes on the remaining time of its own request.
	MarksRetry, PassesDeadline bool

	MaxAttempts    int           // most attempts per request; 0: 1
	SecondCopies   bool          // two attempts of one request may be in flight together (hedging)
	MayProbe       bool          // Probe actions are allowed
	MayCancel      bool          // Cancel actions are allowed
	Peers          bool          // SendToPeers actions are allowed
	RetryAfter     bool          // clients receive Refuse.RetryAfter
	MaxRetryAfter  time.Duration // longest wait that clients honor
	ConnectTimeout time.Duration // a connection not established within this time fails
	IdleClose      time.Duration // a connection unused for this long closes; 0: never
	StreamsPerConn int           // concurrent attempts per connection; 0: unknown
	MaxOpen        int           // open requests per agent; 0: no limit
	CPUPerSecond   time.Duration // CPU time per second that an agent has; 0: no limit
	CPUPerRequest  time.Duration // mean CPU time per request including its outcomes; 0: no limit

	DrainGrace     time.Duration // how long sends to a draining backend are tolerated
	AnswerGrace    time.Duration // how long after its deadline a final answer still counts
	AskWithin      time.Duration // with Subscribe: longest interval between subscription attempts
	ColdShare      float64       // a backend starts with at least this share of its capacity; 0: 1
	RampTime       time.Duration // a backend has its full capacity this long after its start
	FallMultiple   float64       // a cold backend that is sent more than this multiple of its capacity ...
	FallWindow     time.Duration // ... over this time fails
	FullMayHaveRun bool          // an attempt that ended with Full may have run
	KeyRest        time.Duration // with KeepOrder: pause of a key after a timeout, reset or cancellation

	// Weights of the operator's goals: all requests, the worst period, the worst class, and the worst
	// tenant within its share.
	GoalWhole, GoalWindow, GoalClass, GoalTenant float64
	OverShareWorth                               float64 // worth of a request beyond its tenant's share, against one within

	// Costs, as a share of the result. Each comment names the amount that costs the full price.
	CrossZonePrice  float64 // every request crossing zones once
	WastePrice      float64 // as much wasted backend work as was requested
	LateFailPrice   float64 // the whole worth failed only after the aim
	ProbePrice      float64 // one probe per request
	PeerPrice       float64 // one full message (256 bytes) per request, for each receiver
	HandshakePrice  float64 // one new connection per request
	ConnectionPrice float64 // 100 open connections per backend
	ListPrice       float64 // 100 list entries per request
	MovePrice       float64 // one move per request
	OriginPrice     float64 // one fetch from the origin per request
	FleetPrice      float64 // as many running backends as at the start
}

// BackendState is the state of a backend in the list.
type BackendState uint8

const (
	Up       BackendState = iota
	Draining              // finishing its requests; gets no new ones
	Gone                  // removed
)

// Backend is an entry of the backend list.
type Backend struct {
	ID      string
	State   BackendState
	Zone    int
	Cell    int
	Kind    int
	Weight  float64
	Started time.Duration // when its process last started; 0: unknown, long ago
}

// Event is an input of Balancer.Step.
type Event interface{ event() }

// ListKind says how to interpret a List.
type ListKind uint8

const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all entries; a missing backend is gone
	ListCached                 // all entries as last stored, possibly stale
	ListFailed                 // the fetch or subscription failed; the previous list stays valid
)

type (
	// List delivers the backend list, or the failure to get it.
	List struct {
		Kind     ListKind
		Backends []Backend
	}
	// Request is a new client request. The balancer gives it exactly one final answer.
	Request struct {
		ID         string
		Class      int // index into the classes of the settings of Generation, which apply to it to the end
		Generation uint64
		TimeLeft   time.Duration // how long the client still waits
		Work       time.Duration // expected work; 0: unknown
		Repeat     bool          // the client marked it as a retry
		Key        string        // key for affinity and ordering; "": none
		Tenant     int           // index into Settings.Tenants
		Write      bool          // the request is a write
		// BodyPending: the body is still being received and is streamed to a single attempt. Times,
		// including TimeLeft, start with the BodySent event.
		BodyPending bool
	}
	// BodySent reports that the last byte of a request with BodyPending was sent to its attempt.
	BodySent struct{ Request string }
	// Outcome ends one attempt. The agent reports exactly one for each Send.
	Outcome struct {
		Request      string
		Attempt      int // index of the attempt, from 0 in the order of the Sends
		Backend      string
		Result       Result
		Latency      time.Duration // since the send
		Done         bool          // the request has its final answer, from this outcome or earlier
		BodyConsumed bool          // the body can't be replayed: no further attempt is possible
		Load         Load
	}
	// Maintenance reports that operators took a backend out of service or put it back. While it is out of
	// service it gets no new requests, whatever the list says. Once put back it counts as started at Since.
	Maintenance struct {
		Backend      string
		OutOfService bool
		Since        time.Duration
	}
	// SettingsUpdate replaces the settings for requests of the new Generation. Invalid settings are ignored.
	// PreviousClass maps each class to the index of the class of the current settings that it continues, or
	// -1.
	SettingsUpdate struct {
		Settings      Settings
		PreviousClass []int
	}
	// OpenLimit overrides the MaxOpen of the settings from now on; 0: no limit.
	OpenLimit struct{ MaxOpen int }
	// RetryBudget is the number of retries, pending ones included, that the budget shared by all agents
	// allows from now on. It only restricts the balancer's own token bucket further. There is no such limit
	// before the first event.
	RetryBudget struct{ Retries int }
	// PeerHealthReport is what other agents observed Age ago: that a backend is unhealthy, to be avoided for
	// TTL, or that it has recovered. A newer answer to this balancer takes precedence.
	PeerHealthReport struct {
		Backend   string
		Unhealthy bool
		Age, TTL  time.Duration
	}
	// StreamStarted reports that the client began to receive the answer of an attempt.
	StreamStarted struct {
		Request string
		Attempt int
	}
	// Abandoned reports that the client left; the request needs no answer.
	Abandoned struct{ Request string }
	// ProbeResult is the result of a Probe.
	ProbeResult struct {
		Backend string
		Result  Result
		Latency time.Duration
		Load    Load
	}
	// TimerFired reports that the timer of a SetTimer expired.
	TimerFired struct{ Token int64 }
	// PeerMessage delivers a message from another agent.
	PeerMessage struct {
		From int
		Data []byte
	}
)

// Load is a backend's report of its own load; it is delayed and noisy.
type Load struct {
	Valid        bool
	InFlight     float64       // requests held; negative: not reported
	Queue        float64       // requests waiting; negative: not reported
	Utilization  float64       // share of CPU in use; negative: not reported
	Throughput   float64       // requests served per second; negative: not reported
	Service      time.Duration // recent service time without queueing; negative: not reported
	ErrorsPerSec float64       // negative: not reported
}

// Result is the result of an attempt or a probe.
type Result uint8

const (
	OK            Result = iota // served
	Errored                     // the backend returned an error; may have run
	Full                        // rejected by an overloaded backend before processing; never ran
	TimedOut                    // no answer in time; may have run or still be running
	ConnectFailed               // no connection; never ran
	Reset                       // the connection broke; may have run
	Cancelled                   // cancelled by the balancer; may have run
	NotSent                     // never sent
)

// NeverRan reports whether the result proves that the attempt had no effect. It takes Full
// as proof; see Settings.FullMayHaveRun.
func (r Result) NeverRan() bool { return r == Full || r == ConnectFailed || r == NotSent }

// Action is an instruction that the agent must carry out at once, in the given
// order. Agents support every kind, including those that this module never sends.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request. With Timeout 0 it lasts until the client stops waiting.
	Send struct {
		Request, Backend string
		Timeout          time.Duration
	}
	// Cancel cancels an attempt, whose Outcome is still reported.
	Cancel struct {
		Request string
		Attempt int
	}
	// Refuse is the final answer that the request had no effect and may be retried safely.
	Refuse struct {
		Request    string
		RetryAfter time.Duration // 0: no advice
	}
	// Fail is the final answer that the request failed and may have had an effect.
	Fail struct{ Request string }
	// SetTimer requests a TimerFired after a delay. Timers are never cancelled.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// Probe checks the health of a backend independently of any request.
	Probe struct{ Backend string }
	// SendToPeers sends at most 256 bytes to all other agents or to one. Messages may be delayed or lost.
	SendToPeers struct {
		Data []byte
		One  bool // only to the agent with index To
		To   int
	}
	// Subscribe starts the delivery of list changes.
	Subscribe struct{}
	// Unsubscribe stops the delivery of list changes.
	Unsubscribe struct{}
	// FetchList requests the whole list once.
	FetchList struct{}
	// CloseIdle closes all idle connections to a backend.
	CloseIdle struct{ Backend string }
	// RetryBudgetExhausted reports that a retry was not started because the RetryBudget is used up.
	RetryBudgetExhausted struct{ Request string }
	// Note writes a line to the operators' log.
	Note struct{ Text string }
)

func (List) event()             {}
func (Request) event()          {}
func (BodySent) event()         {}
func (Outcome) event()          {}
func (Maintenance) event()      {}
func (SettingsUpdate) event()   {}
func (OpenLimit) event()        {}
func (RetryBudget) event()      {}
func (PeerHealthReport) event() {}
func (StreamStarted) event()    {}
func (Abandoned) event()        {}
func (ProbeResult) event()      {}
func (TimerFired) event()       {}
func (PeerMessage) event()      {}

func (Send) action()                 {}
func (Cancel) action()               {}
func (Refuse) action()               {}
func (Fail) action()                 {}
func (SetTimer) action()             {}
func (Probe) action()                {}
func (SendToPeers) action()          {}
func (Subscribe) action()            {}
func (Unsubscribe) action()          {}
func (FetchList) action()            {}
func (CloseIdle) action()            {}
func (RetryBudgetExhausted) action() {}
func (Note) action()                 {}
