// Package saltmast decides, for one sidecar balancer, where each
// service-to-service request goes, when it is tried again, and when it is
// refused. It performs no I/O: the embedding agent owns the clock, the timers
// and the connections, passes on what happened as events, and carries out the
// actions it gets back, in order.
//
// A Balancer belongs to one goroutine. All times are durations on the agent's
// own monotonic clock, whose zero is of no matter; they must not run backwards.
// Its memory is bounded by the requests and attempts that are open, the timers
// that are pending and the backends that are listed or still have attempts out.
package saltmast

import "time"

// Effect says what repeating a request does.
type Effect uint8

const (
	Safe   Effect = iota // may be repeated and refused at will
	Keyed                // backends of one group drop a repeat within a window
	Unsafe               // may be repeated only when no attempt can have run
)

// Group says which backends drop repeats of a keyed request.
type Group uint8

const (
	GroupAll  Group = iota // every backend
	GroupZone              // the backends of one zone
	GroupCell              // the backends of one cell
)

// Class describes one class of requests.
type Class struct {
	Aim       time.Duration // an answer within this time earns the full worth
	Deadline  time.Duration // the time a client waits, over all its tries
	Worth     float64       // worth of a request (or of a unit of work, see Settings.ByWork)
	LateWorth float64       // share of the worth earned between aim and deadline
	Effect    Effect
	Group     Group         // for Keyed
	Window    time.Duration // for Keyed: how long a repeat is dropped after the first send
	// KeepOrder: requests with the same key run one at a time, in the order taken. All such
	// classes share one key space.
	KeepOrder  bool
	AimStretch float64 // the aim grows by this multiple of the request's own work; 0: it does not
	Stream     bool    // the answer is streamed: StreamStarted comes
}

// Tenant is one of those who share the service.
type Tenant struct {
	Share float64 // the fraction of the service allotted to it
	Quota float64 // requests a second, over all agents, that are within its share
}

// Weights says what Backend.Weight means.
type Weights uint8

const (
	WeightsNone    Weights = iota // always 1
	WeightsNominal                // the registered size
	WeightsRough                  // about the size
	WeightsLive                   // size over 1 + requests held per core, some time ago
)

// Reports says where load reports come with.
type Reports uint8

const (
	ReportsNone    Reports = iota
	ReportsAnswers         // with outcomes and probe results
	ReportsProbes          // with probe results alone
)

// Fields is the set of values that load reports hold.
type Fields uint8

const (
	FieldInFlight Fields = 1 << iota
	FieldQueue
	FieldUtilization
	FieldService
	FieldThroughput
	FieldErrors
)

// Settings are what an agent is told. The zero value of a field that
// may be absent means what its comment says; the zero value of a price, a goal or
// a span switches off what rests on it. The interface
// carries all that agents are told, whether or not the present module acts on it.
type Settings struct {
	Generation uint64 // tells these settings from others; see Retune
	Balancers  int    // agents that share these backends, this one included; at least 1
	Self       int    // this agent's number, from 0
	Zone       int    // this agent's zone
	Zones      int    // number of zones; 0: not told
	Kinds      int    // number of machine kinds; 0: not told
	Tier       int    // the tier of backends that this agent sends to, from 0 ...
	Tiers      int    // ... of so many; 0: not told
	Classes    []Class
	Tenants    []Tenant      // none: requests belong to no tenant
	ByWork     bool          // worth counts per unit of work, not per request
	Subscribe  bool          // the list must be asked for; else it is told unasked
	Tick       time.Duration // shortest gap between two steps; 0: none
	WarmKeys   bool          // a backend that lately served a key serves it again with less work
	Weights    Weights
	Reports    Reports
	Fields     Fields // what the reports hold
	// MarksRetry: clients mark their repeats (Request.Repeat). PassesDeadline: a backend that calls
	// a further tier passes on the time its own request has left.
	MarksRetry, PassesDeadline bool

	MaxAttempts    int           // attempts one request may get; 0: 1
	SecondCopies   bool          // two attempts of one request may be out together
	MayProbe       bool          // Probe actions are allowed
	MayCancel      bool          // Cancel actions are allowed
	Peers          bool          // TellPeers actions are allowed
	RetryAfter     bool          // clients are shown Refuse.RetryAfter
	MaxRetryAfter  time.Duration // the longest wait that a client heeds
	ConnectTimeout time.Duration // a connection not made in this time fails
	IdleClose      time.Duration // a connection unused for this long closes; 0: never
	StreamsPerConn int           // attempts that one connection carries at once; 0: not told
	MaxOpen        int           // requests that an agent may hold open; 0: no limit
	CPUPerSecond   time.Duration // CPU that an agent has in each second; 0: no limit
	CPUPerRequest  time.Duration // mean CPU for a request with its outcomes; 0: no limit

	DrainGrace   time.Duration // how long sends to a draining backend are still tolerated
	AnswerGrace  time.Duration // how long after its deadline a final answer still counts
	AskWithin    time.Duration // Subscribe: ask at least this often while not subscribed
	ColdShare    float64       // a backend starts at this share of its capacity or more; 0: 1
	RampTime     time.Duration // and is warm no later than this after its start
	FallMultiple float64       // a cold backend sent more than this multiple of its capacity ...
	FallWindow   time.Duration // ... over this span falls over
	FullNoProof  bool          // an attempt that ended as Full may have run
	KeyRest      time.Duration // KeepOrder: a key rests so long after a time-out, reset or cancel

	// What the operator weighs: all, the worst span, the worst class, the worst tenant in its share.
	GoalWhole, GoalWindow, GoalClass, GoalTenant float64
	OverShareWorth                               float64 // worth of a request beyond its tenant's share, against one within

	// What things cost, as a share of the result.
	CrossZonePrice  float64 // each request crossing zones once
	WastePrice      float64 // backend work that served no answer, as much as was asked for
	LateFailPrice   float64 // all worth left unserved only after its aim
	ProbePrice      float64 // a probe a request
	PeerPrice       float64 // a full message (256 bytes) a request, for each receiver
	HandshakePrice  float64 // a new connection a request
	ConnectionPrice float64 // 100 open connections for each backend
	ListPrice       float64 // 100 list lines a request
	MovePrice       float64 // a move a request
	OriginPrice     float64 // a fetch from the origin a request
	FleetPrice      float64 // as many backends running as at the start
}

// BackendState is what the list says of a backend.
type BackendState uint8

const (
	Up       BackendState = iota
	Draining              // finishing its work
	Gone                  // removed
)

// Backend is one entry of the list.
type Backend struct {
	ID      string
	State   BackendState
	Zone    int
	Cell    int
	Kind    int
	Weight  float64
	Started time.Duration // when its process last started; 0: long ago
}

// Event is something that happened at the time of a Step.
type Event interface{ event() }

// ListKind says how a List is to be read.
type ListKind uint8

const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all entries; a backend that is missing is gone
	ListCached                 // all entries as last stored; may be stale
	ListFailed                 // asking failed or the subscription broke; the old list holds
)

type (
	// List carries the backends or the failure to get them.
	List struct {
		Kind     ListKind
		Backends []Backend
	}
	// Request is a client's request. The balancer owes it one final answer.
	Request struct {
		ID         string
		Class      int // by number in the settings of Generation, whose rules it keeps
		Generation uint64
		Left       time.Duration // until this client stops waiting
		Work       time.Duration // expected work; 0: unknown
		Repeat     bool          // the client says that it tries again
		Key        string        // what the request is about; "": nothing told
		Tenant     int           // whose it is, by Settings.Tenants
		Write      bool          // it writes
		// Coming: its body is still coming and is passed on as it comes, to one attempt. Arrived tells of its last byte;
		// its times count from there, Left included.
		Coming bool
	}
	// Arrived says that the last byte of a request that was Coming has gone out to its attempt.
	Arrived struct{ Request string }
	// Outcome ends one attempt. The agent passes on exactly one for each Send.
	Outcome struct {
		Request string
		Attempt int // attempts of a request count from 0 in the order of their Send
		Backend string
		Result  Result
		Latency time.Duration // since it was sent
		Done    bool          // the request has its final answer, by this outcome or before
		Spent   bool          // the body can't be sent once more: no further attempt is possible
		Load    Load
	}
	// Maintenance says that operators have taken a backend out of service, or put it back. It gets nothing new
	// meanwhile, whatever the list says. Put back, it counts as started at Since.
	Maintenance struct {
		Backend string
		Out     bool
		Since   time.Duration
	}
	// Retune brings other settings, of another Generation, for the requests of that one. What makes no sense is not
	// taken. From tells, by class, the number of the class of the settings in force that it continues; -1: none.
	Retune struct {
		Settings Settings
		From     []int
	}
	// Room says how many requests may be held open from now on, in place of what the settings say; 0: no limit.
	Room struct{ MaxOpen int }
	// Allowance says how many retries may begin or be on their way from now on, by what agents share; it takes away from
	// what the private bucket allows, and adds nothing. Until it is told there is no such bound.
	Allowance struct{ Retries int }
	// Hearsay says what others saw of a backend, a prior until this balancer has an answer of its own: Bad, since Age and
	// to be taken so For a while; else that it is back.
	Hearsay struct {
		Backend  string
		Bad      bool
		Age, For time.Duration
	}
	// StreamStarted says that the answer of an attempt has begun to reach the client.
	StreamStarted struct {
		Request string
		Attempt int
	}
	// Abandoned says that the client left; nothing is owed any longer.
	Abandoned struct{ Request string }
	// ProbeResult answers a Probe.
	ProbeResult struct {
		Backend string
		Result  Result
		Latency time.Duration
		Load    Load
	}
	// TimerFired says that a SetTimer has come due.
	TimerFired struct{ Token int64 }
	// PeerMessage carries bytes from another agent.
	PeerMessage struct {
		From int
		Data []byte
	}
)

// Load is what a backend reported of itself, late and with noise.
type Load struct {
	Valid        bool
	InFlight     float64       // requests held; negative: not reported
	Queue        float64       // requests waiting; negative: not reported
	Utilization  float64       // share of CPU in use; negative: not reported
	Throughput   float64       // requests served a second; negative: not reported
	Service      time.Duration // recent service time without waiting; negative: not reported
	ErrorsPerSec float64       // negative: not reported
}

// Result says how an attempt or a probe ended.
type Result uint8

const (
	OK            Result = iota // served
	Errored                     // the backend returned an error; may have run
	Full                        // turned away unseen; never ran
	TimedOut                    // no answer in time; may have run or be running
	ConnectFailed               // no connection; never ran
	Reset                       // the connection broke; may have run
	Cancelled                   // withdrawn; may have run
	NotSent                     // never sent
)

// NeverRan reports whether the result proves that the attempt had no effect, where Full is
// proof; see Settings.FullNoProof.
func (r Result) NeverRan() bool { return r == Full || r == ConnectFailed || r == NotSent }

// Action is something the agent must do now, in the order given. Agents carry
// out every kind, whether or not the present module sends it.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request. Timeout 0 means until the client stops waiting.
	Send struct {
		Request, Backend string
		Timeout          time.Duration
	}
	// Cancel withdraws an attempt; its Outcome still comes.
	Cancel struct {
		Request string
		Attempt int
	}
	// Refuse is a final answer: not done, a new try does no harm.
	Refuse struct {
		Request    string
		RetryAfter time.Duration // 0: no advice
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ Request string }
	// SetTimer asks for a TimerFired after a while. Timers are never revoked.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// Probe examines a backend outside any request.
	Probe struct{ Backend string }
	// TellPeers sends at most 256 bytes to all other agents, or to one. They may come late or not at all.
	TellPeers struct {
		Data []byte
		One  bool // only to the agent numbered To
		To   int
	}
	// Subscribe asks that list changes be delivered from now on.
	Subscribe struct{}
	// Unsubscribe asks that list changes be delivered no longer.
	Unsubscribe struct{}
	// FetchList asks for the whole list once.
	FetchList struct{}
	// CloseIdle closes the idle connections to a backend.
	CloseIdle struct{ Backend string }
	// Short says that a retry was wanted and not begun since the Allowance is used up.
	Short struct{ Request string }
	// Note is a line for the operators' log.
	Note struct{ Text string }
)

func (List) event()          {}
func (Request) event()       {}
func (Arrived) event()       {}
func (Outcome) event()       {}
func (Maintenance) event()   {}
func (Retune) event()        {}
func (Room) event()          {}
func (Allowance) event()     {}
func (Hearsay) event()       {}
func (StreamStarted) event() {}
func (Abandoned) event()     {}
func (ProbeResult) event()   {}
func (TimerFired) event()    {}
func (PeerMessage) event()   {}

func (Send) action()        {}
func (Cancel) action()      {}
func (Refuse) action()      {}
func (Fail) action()        {}
func (SetTimer) action()    {}
func (Probe) action()       {}
func (TellPeers) action()   {}
func (Subscribe) action()   {}
func (Unsubscribe) action() {}
func (FetchList) action()   {}
func (CloseIdle) action()   {}
func (Short) action()       {}
func (Note) action()        {}
