// Package checker judges a day in the dry dock: it knows what clients, backends and the operator saw, and what troubles there
// were, and tells which rule of the mesh was broken. It shares no code with what it judges. Start reading at Log and Judge.
package checker

import (
	"sync"
	"time"
)

// Bounds are the figures of the rules.
type Bounds struct {
	Contact, Apply, Rollback, Drain, Grace, LossSlack, Window, Dedup, Recovery time.Duration
	Ratio, Allowance                                                           float64
}

// Times are since the day's begin.

// Try is one request of a client.
type Try struct {
	ID, Key          string
	Machine, Caller  string // where it began, and the service that runs there
	Host, Path       string
	Method           string
	Body             string // its sum
	Kind             string // of its route, as the client knows it: idempotent, mutating, deduplicated, egress
	Sent, Whole, End time.Duration
	Deadline         time.Duration // when the client gives up, or the route does
	Status           int           // 0: no head of an answer came
	Complete         bool          // the answer came whole
	Seal, Got        string        // of the answer; Got: the sum of its body
	AnswerTo         string        // the id that the answer names
	Extra            string        // what came on the connection and answers nothing
	Left             time.Duration // when the client closed its connection ahead of the answer; 0: it did not
	GaveUp           bool          // the client did not wait any longer
	Rude             bool          // the client broke off in the middle of its body
	Direct           bool          // it only looks which configuration is in force
	Of               *Run          // the run that made it as a call; nil: a client's
}

// Run is one request that arrived at a backend.
type Run struct {
	ID, Key      string
	Machine      string // of the backend
	Service      string
	Instance     string
	Host, Path   string
	Method, Body string
	Caller       string
	At, End      time.Duration
	Would        time.Duration // when its work would end if nobody ended it
	Dropped      bool          // it was ended since its connection closed
	Declined     bool          // it was turned away and has not run
	Status       int
	Seal, Sent   string // of the answer; Sent: the sum of its body
	Broke        bool   // the backend itself broke its answer off, or sent none
	Done         bool
}

// Item is one version of what the operator configures.
type Item struct {
	Kind, Name string
	Version    int
	Dropped    bool
	Spec       string // as it was sent
	Host       string // of a route
	Prefix     string
	RouteKind  string
	Services   []string
}

// Call is one call of the operator that changes the configuration, however often it was sent.
type Call struct {
	Items   []Item
	Invalid bool
	Contest bool // other orders may have it refused: of one number and another content, or that take away what it hangs on
	Sent    time.Duration
	Acked   time.Duration // 0: never
	Status  int           // the last that came
	Taken   time.Duration // the first acknowledgement that was given, also one that was lost on its way; 0: none
	Refused time.Duration // the first refusal that was given; 0: none
}

// Trouble is what was done to a machine. A backend's own trouble leaves its machine in touch.
type Trouble struct {
	Kind     string
	Machine  string
	Core     bool
	Backend  bool
	Planned  bool
	From, To time.Duration
}

// Leave is the acknowledgement that a backend drains, or is gone.
type Leave struct {
	Instance, Machine string
	At                time.Duration
}

// Log is what was seen of a day. Its methods may be called by many.
type Log struct {
	Bounds  Bounds
	Backed  map[string]string // the service by machine
	Closing time.Duration     // the closing fault; 0: none
	Back    time.Duration     // the machines are back from it
	Core    int               // machines that count; 0: 3
	Floor   float64           // part of the requests that is to be served at least
	End     time.Duration

	mu       sync.Mutex
	Tries    []*Try
	Runs     []*Run
	Calls    []*Call
	Copies   []*Copy // of the orders of days that look at each sending
	Troubles []*Trouble
	Leaves   []Leave
	Read     []Item // what was read back
	ReadOK   bool
	Contact  Contact
}

// AddBacked notes a machine that came.
func (l *Log) AddBacked(machine, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Backed[machine] = service
}

// AddTry notes a try when it begins; it is filled in until it ends.
func (l *Log) AddTry(t *Try) { l.mu.Lock(); defer l.mu.Unlock(); l.Tries = append(l.Tries, t) }

// AddRun notes a request when it arrives at a backend.
func (l *Log) AddRun(r *Run) { l.mu.Lock(); defer l.mu.Unlock(); l.Runs = append(l.Runs, r) }

// AddCall notes a call when it is first sent.
func (l *Log) AddCall(c *Call) { l.mu.Lock(); defer l.mu.Unlock(); l.Calls = append(l.Calls, c) }

// AddTrouble notes a trouble when it begins.
func (l *Log) AddTrouble(t *Trouble) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Troubles = append(l.Troubles, t)
}

// AddLeave notes an acknowledgement.
func (l *Log) AddLeave(x Leave) { l.mu.Lock(); defer l.mu.Unlock(); l.Leaves = append(l.Leaves, x) }
