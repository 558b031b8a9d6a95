// Package berths is the table of backends: which one lies beside which proxy, in which life and state. It is pure. Each entry
// has one source, the proxy beside the backend, which alone raises its version; copies are joined entry by entry.
package berths

import (
	"maps"
	"slices"
)

// State of a backend.
type State uint8

// The states.
const (
	None     State = iota // there is no backend, or it has ended
	Serving               // it takes requests
	Draining              // it leaves, and takes no new ones
)

func (s State) String() string { return [...]string{"none", "serving", "draining"}[min(s, Draining)] }

// Berth is what one proxy tells of itself and of the backend beside it.
type Berth struct {
	Node     string `cbor:"1,keyasint"` // the proxy's machine
	Addr     string `cbor:"2,keyasint"` // host:port of its gate
	Zone     string `cbor:"3,keyasint"`
	Version  uint64 `cbor:"4,keyasint"` // goes up with each change
	Life     uint64 `cbor:"5,keyasint"` // of the proxy's process
	Instance string `cbor:"6,keyasint"` // the backend's life; "" for none
	Service  string `cbor:"7,keyasint"`
	Release  string `cbor:"8,keyasint,omitempty"` // the backend's software
	Capacity int    `cbor:"9,keyasint"`           // requests at once
	State    State  `cbor:"10,keyasint"`
	WarmMs   uint32 `cbor:"11,keyasint,omitempty"` // it stays slow for so long after this was told
}

// newer reports whether b comes after o, of the same node. Two lives may tell the same version: the higher life wins until
// the living one hears of it and tells a higher version.
func (b Berth) newer(o Berth) bool {
	if b.Version != o.Version {
		return b.Version > o.Version
	}
	return b.Life > o.Life
}

// Table holds the newest entry of each node, and since which change of its own.
type Table struct {
	rows map[string]*row
	at   uint64 // changes so far
}

type row struct {
	Berth
	at uint64
}

// New returns an empty table.
func New() *Table { return &Table{rows: map[string]*row{}} }

// Join takes an entry if it is news, and reports whether it was.
func (t *Table) Join(b Berth) bool {
	r := t.rows[b.Node]
	if r != nil && !b.newer(r.Berth) {
		return false
	}
	t.at++
	t.rows[b.Node] = &row{b, t.at}
	return true
}

// Get is the entry of a node.
func (t *Table) Get(node string) (Berth, bool) {
	r := t.rows[node]
	if r == nil {
		return Berth{}, false
	}
	return r.Berth, true
}

// At is the number of the latest change.
func (t *Table) At() uint64 { return t.at }

// Since are the entries that changed after change number at, in the order of nodes.
func (t *Table) Since(at uint64) []Berth {
	var out []Berth
	for _, node := range slices.Sorted(maps.Keys(t.rows)) {
		if r := t.rows[node]; r.at > at {
			out = append(out, r.Berth)
		}
	}
	return out
}

// Len is how many nodes have an entry.
func (t *Table) Len() int { return len(t.rows) }
