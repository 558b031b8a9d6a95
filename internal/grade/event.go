// Package grade judges a run by the four rules. It reads one ordered record of what clients, servers, the list
// and the processes saw, and says which rule broke, when, by whom, and which events prove it; and what worth was
// answered in time. It has no sockets, clock or files and knows nothing of the agent: whatever stands behind the
// record is judged alike. Start reading at Judge.
package grade

import "time"

// Kind says what an event tells.
type Kind string

// What clients saw.
const (
	Asked   Kind = "asked"   // a request became due; Job is its first id, Worth and Aim count from here
	Sent    Kind = "sent"    // the last byte of a try was written to an agent; Late tells by how much after its moment
	Unsent  Kind = "unsent"  // no connection came up; the agent has not taken it
	Answer  Kind = "answer"  // the last byte of an answer was read
	Extra   Kind = "extra"   // something followed the final answer
	Broken  Kind = "broken"  // the connection ended with no whole answer
	Left    Kind = "left"    // an impatient client closed its connection
	Overdue Kind = "overdue" // the client listened until all time was up, and heard nothing whole
)

// What servers saw. Reject and Reply are recorded before the first byte of the answer is written, so what an
// agent does upon it always comes later in the record.
const (
	Started Kind = "started" // a process serves: Capacity, ColdFrom, Ramp
	Attempt Kind = "attempt" // the last byte of a request came; First is when its first byte did
	Reject  Kind = "reject"  // turned away, has not run and never will
	Effect  Kind = "effect"  // it ran: the ledger
	Repeat  Kind = "repeat"  // a repeat was known by its key and dropped
	Reply   Kind = "reply"   // a whole answer is about to be written: Status, Digest
	Fell    Kind = "fell"    // pushed over
	Stray   Kind = "stray"   // a request with an id that no client sent, or that can't be read
)

// What the list saw. Told is recorded once the bytes are written.
const (
	Knows     Kind = "knows"      // the list itself has learned of Entries
	Told      Kind = "told"       // Entries were written to an agent; Full: all others are gone
	ListOut   Kind = "list-out"   // it can't be reached
	ListIn    Kind = "list-in"    // it can
	Watching  Kind = "watching"   // an agent's watch began
	Unwatched Kind = "unwatched"  // and ended
	Call      Kind = "call"       // an agent asked for the whole list; Status is what it was answered
	AgentUp   Kind = "agent-up"   // the process was started; Entries: the list that it was started with
	AgentStop Kind = "agent-stop" // it is about to get SIGTERM
	AgentKill Kind = "agent-kill" // it is about to get SIGKILL
	AgentExit Kind = "agent-exit" // it has ended, with Status
	AgentHalt Kind = "agent-halt" // it is about to get SIGSTOP
	AgentWake Kind = "agent-wake" // it has got SIGCONT
	Fault     Kind = "fault"      // something begins or ends to go wrong; for the reader
	Stall     Kind = "stall"      // the kit itself stood still for Late, up to now
)

// States of a server on the list.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// Entry is one server as the list has it.
type Entry struct {
	Server  string `json:"server"`
	Addr    string `json:"addr,omitempty"`
	State   string `json:"state"`
	Started int64  `json:"started_ms,omitempty"` // Unix time, ms; 0 for long ago
}

// Event is one line of the record. Times are counted from the start of the run. Which fields are set follows
// from the kind.
type Event struct {
	Seq     int           `json:"seq"` // its place in the record
	At      time.Duration `json:"at_ns"`
	Kind    Kind          `json:"kind"`
	Request string        `json:"request,omitempty"`
	Job     string        `json:"job,omitempty"`
	Class   string        `json:"class,omitempty"`
	Key     string        `json:"key,omitempty"`
	Agent   string        `json:"agent,omitempty"`
	Server  string        `json:"server,omitempty"`
	Addr    string        `json:"addr,omitempty"`
	Pod     int           `json:"pod,omitempty"`
	N       int           `json:"n,omitempty"` // of attempt, reject, reply and effect: which attempt, counted by the stand-ins from 1
	Status  int           `json:"status,omitempty"`
	Digest  uint64        `json:"digest,omitempty"` // of an answer's body
	First   time.Duration `json:"first_ns,omitempty"`
	Budget  time.Duration `json:"budget_ns,omitempty"`
	Work    time.Duration `json:"work_ns,omitempty"` // on a standard core
	Late    time.Duration `json:"late_ns,omitempty"`
	Full    bool          `json:"full,omitempty"`
	Fresh   bool          `json:"fresh,omitempty"` // of broken: the connection had served nothing before
	Entries []Entry       `json:"entries,omitempty"`
	Note    string        `json:"note,omitempty"`

	Capacity float64       `json:"capacity,omitempty"`  // warm, in standard cores
	ColdFrom float64       `json:"cold_from,omitempty"` // share of it at the start; 0 or 1: warm
	Ramp     time.Duration `json:"ramp_ns,omitempty"`
	Unix     int64         `json:"started_ms,omitempty"`
}
