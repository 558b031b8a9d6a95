// Package backends is the table of backends: which one lies beside which proxy, in which life and state. It is pure. Each entry
// has one source, the proxy beside the backend, which alone raises its version; copies are joined entry by entry.
package backends

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
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

// Backend is what one proxy tells of itself and of the backend beside it.
type Backend struct {
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
// the living one hears of it and tells a higher version. What was dropped is told again by a whole entry of that version.
func (b Backend) newer(o Backend) bool {
	if b.Version != o.Version {
		return b.Version > o.Version
	}
	if b.Life != o.Life {
		return b.Life > o.Life
	}
	return o.dropped() && !b.dropped()
}

// dropped says whether all of it but the version is forgotten: a proxy always tells the address of its gate.
func (b Backend) dropped() bool { return b.Addr == "" }

// Table holds the newest entry of each node, and since which change of its own.
type Table struct {
	rows    map[string]*row
	at      uint64 // changes so far
	changes []*row // in their order; those of which a row was taken out of the table, or has changed since, are stale
}

type row struct {
	Backend
	at   uint64
	lost time.Duration // since when nothing tells that the proxy lives; 0: it does
}

// keepDropped is of how many nodes that were dropped the versions are kept.
const keepDropped = 256

// New returns an empty table.
func New() *Table { return &Table{rows: map[string]*row{}} }

// Merge takes an entry if it is news, and reports whether it was.
func (t *Table) Merge(b Backend) bool {
	r := t.rows[b.Node]
	if r != nil && !b.newer(r.Backend) {
		return false
	}
	t.at++
	r = &row{Backend: b, at: t.at}
	t.rows[b.Node] = r
	if t.changes = append(t.changes, r); len(t.changes) > 2*len(t.rows)+staleChanges {
		t.changes = slices.DeleteFunc(t.changes, t.stale)
	}
	return true
}

// staleChanges is how many stale ones are kept beside those of the rows, so that few changes are a reason to look at all.
const staleChanges = 64

func (t *Table) stale(r *row) bool { return t.rows[r.Node] != r }

// Sweep drops the entries of nodes that were not alive at any sweep for as long as keep, and returns those nodes. now is
// above 0. Of a dropped one the version and the life stay, which a proxy that starts anew there is told and raises its own over:
// tables that dropped it and tables that did not yet would else order its news in different ways. Those are bounded as well.
func (t *Table) Sweep(now, keep time.Duration, alive func(b Backend) bool) (gone []string) {
	var dropped []*row
	for _, r := range t.rows {
		switch {
		case r.dropped():
			dropped = append(dropped, r)
		case alive(r.Backend):
			r.lost = 0
		case r.lost == 0:
			r.lost = now
		case now-r.lost >= keep:
			gone = append(gone, r.Node)
			r.Backend = Backend{Node: r.Node, Version: r.Version, Life: r.Life}
			dropped = append(dropped, r)
		}
	}
	if n := len(dropped) - keepDropped; n > 0 {
		slices.SortFunc(dropped, func(a, b *row) int { return cmp.Compare(a.at, b.at) })
		for _, r := range dropped[:n] {
			delete(t.rows, r.Node)
		}
	}
	slices.Sort(gone)
	return gone
}

// HasDropped says whether the entry of one of these nodes was dropped: one that lives is to be asked for again.
func (t *Table) HasDropped(nodes map[string]bool) bool {
	for node := range nodes {
		if r := t.rows[node]; r != nil && r.dropped() {
			return true
		}
	}
	return false
}

// Get is the entry of a node.
func (t *Table) Get(node string) (Backend, bool) {
	r := t.rows[node]
	if r == nil {
		return Backend{}, false
	}
	return r.Backend, true
}

// Revision is the number of the latest change.
func (t *Table) Revision() uint64 { return t.at }

// ChangedSince are the entries that changed after change number at, in the order of nodes.
func (t *Table) ChangedSince(at uint64) []Backend {
	out, _, _ := t.Page(at, math.MaxInt)
	slices.SortFunc(out, func(a, b Backend) int { return strings.Compare(a.Node, b.Node) })
	return out
}

// Page are the entries that changed after change number at, in the order of their changes, up to so many bytes of a message, one
// at the least; with the number up to which all is told then, from which the next part goes on, and whether there is more. An entry
// that changes amid parts goes behind all of them, so that whoever took them all has what the table held at the last, whatever
// was told before. It costs what it tells and what is stale among that.
func (t *Table) Page(at uint64, bytes int) (entries []Backend, upto uint64, more bool) {
	from, _ := slices.BinarySearchFunc(t.changes, at, func(r *row, at uint64) int { return cmp.Or(cmp.Compare(r.at, at), -1) })
	for _, r := range t.changes[from:] {
		if t.stale(r) {
			continue
		}
		if bytes -= r.MaxEncodedSize(); bytes < 0 && len(entries) > 0 {
			return entries, upto, true
		}
		entries, upto = append(entries, r.Backend), r.at
	}
	return entries, t.at, false
}

// MaxEncodedSize is how many bytes an entry takes in a message, at the most.
func (b Backend) MaxEncodedSize() int {
	return 64 + len(b.Node) + len(b.Addr) + len(b.Zone) + len(b.Instance) + len(b.Service) + len(b.Release)
}

// All are the entries that were not dropped, in the order of nodes.
func (t *Table) All() []Backend { return slices.DeleteFunc(t.ChangedSince(0), Backend.dropped) }

// Len is how many nodes have an entry that was not dropped.
func (t *Table) Len() (n int) {
	for _, r := range t.rows {
		if !r.dropped() {
			n++
		}
	}
	return n
}
