// Package backends implements the backend table: which backend runs beside which proxy, and in which state. The package does no
// I/O. Each entry has one source, the proxy beside the backend, and only that one raises the entry's version; tables are merged
// entry by entry.
package backends

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"
)

// State is the state of a backend.
type State uint8

// The states of a backend.
const (
	None     State = iota // there is no backend, or it has ended
	Serving               // it accepts requests
	Draining              // it is shutting down and accepts no new requests
)

func (s State) String() string { return [...]string{"none", "serving", "draining"}[min(s, Draining)] }

// Backend is the entry of one proxy and of the backend beside it.
type Backend struct {
	Node        string `cbor:"1,keyasint"` // the proxy's machine
	Addr        string `cbor:"2,keyasint"` // host:port of the proxy's gate
	Zone        string `cbor:"3,keyasint"`
	Version     uint64 `cbor:"4,keyasint"` // rises with each change
	Incarnation uint64 `cbor:"5,keyasint"` // identifies the run of the proxy's process
	Instance    string `cbor:"6,keyasint"` // identifies the run of the backend; "" if there is none
	Service     string `cbor:"7,keyasint"`
	Release     string `cbor:"8,keyasint,omitempty"` // version of the backend's software
	Capacity    int    `cbor:"9,keyasint"`           // concurrent requests
	State       State  `cbor:"10,keyasint"`
	WarmMs      uint32 `cbor:"11,keyasint,omitempty"` // how long the backend stays slow after this entry was sent
}

// newer reports whether b supersedes old, an entry of the same node. Two incarnations of a proxy may send the same version: the higher
// one wins until the running one learns of it and sends a higher version. A whole entry supersedes a dropped one of the same version.
func (b Backend) newer(old Backend) bool {
	if b.Version != old.Version {
		return b.Version > old.Version
	}
	if b.Incarnation != old.Incarnation {
		return b.Incarnation > old.Incarnation
	}
	return old.dropped() && !b.dropped()
}

// dropped reports whether only the node, version and incarnation of the entry are left: a proxy always sends the address of its gate.
func (b Backend) dropped() bool { return b.Addr == "" }

// Table holds the newest entry of each node and the order in which entries changed. It is not safe for concurrent use.
type Table struct {
	rows     map[string]*row
	revision uint64 // number of changes so far
	changes  []*row // in order; stale if the row was removed from the table or has changed since
}

type row struct {
	Backend
	revision  uint64        // of its latest change
	deadSince time.Duration // when a sweep first found the proxy not alive; 0: it is alive
}

// maxDropped bounds the number of dropped nodes whose versions are kept.
const maxDropped = 256

// New returns an empty table.
func New() *Table { return &Table{rows: map[string]*row{}} }

// Merge adds an entry if it is newer than the one in the table, and reports whether it was.
func (t *Table) Merge(b Backend) bool {
	r := t.rows[b.Node]
	if r != nil && !b.newer(r.Backend) {
		return false
	}
	t.revision++
	r = &row{Backend: b, revision: t.revision}
	t.rows[b.Node] = r
	if t.changes = append(t.changes, r); len(t.changes) > 2*len(t.rows)+maxStaleChanges {
		t.changes = slices.DeleteFunc(t.changes, t.stale)
	}
	return true
}

// maxStaleChanges is how many stale changes are kept beyond one per row, so that changes are rarely compacted.
const maxStaleChanges = 64

func (t *Table) stale(r *row) bool { return t.rows[r.Node] != r }

// Sweep drops the entries of nodes that were not alive at any sweep for as long as keep, and returns those nodes. now must be
// above 0. Of a dropped entry the version and the incarnation stay: a proxy that restarts on that node learns of them and raises its own
// above. Without them, tables that had dropped the entry and tables that had not would order its updates differently. The number of
// dropped entries is bounded by maxDropped; the least recently changed are removed first.
func (t *Table) Sweep(now, keep time.Duration, alive func(b Backend) bool) (gone []string) {
	var dropped []*row
	for _, r := range t.rows {
		switch {
		case r.dropped():
			dropped = append(dropped, r)
		case alive(r.Backend):
			r.deadSince = 0
		case r.deadSince == 0:
			r.deadSince = now
		case now-r.deadSince >= keep:
			gone = append(gone, r.Node)
			r.Backend = Backend{Node: r.Node, Version: r.Version, Incarnation: r.Incarnation}
			dropped = append(dropped, r)
		}
	}
	if n := len(dropped) - maxDropped; n > 0 {
		slices.SortFunc(dropped, func(a, b *row) int { return cmp.Compare(a.revision, b.revision) })
		for _, r := range dropped[:n] {
			delete(t.rows, r.Node)
		}
	}
	slices.Sort(gone)
	return gone
}

// HasDropped reports whether the entry of one of these nodes was dropped: if the node is alive, the entry must be requested again.
func (t *Table) HasDropped(nodes map[string]bool) bool {
	for node := range nodes {
		if r := t.rows[node]; r != nil && r.dropped() {
			return true
		}
	}
	return false
}

// Get returns the entry of a node.
func (t *Table) Get(node string) (Backend, bool) {
	r := t.rows[node]
	if r == nil {
		return Backend{}, false
	}
	return r.Backend, true
}

// Revision returns the number of the latest change.
func (t *Table) Revision() uint64 { return t.revision }

// ChangedSince returns the entries that changed after a revision, sorted by node.
func (t *Table) ChangedSince(revision uint64) []Backend {
	out, _, _ := t.Page(revision, math.MaxInt)
	slices.SortFunc(out, func(a, b Backend) int { return strings.Compare(a.Node, b.Node) })
	return out
}

// Page returns the entries that changed after a revision, in the order of their changes, up to a number of message bytes but at
// least one; the revision from which the next page continues; and whether there are more. An entry that changes between pages moves
// behind all others, so a reader of all pages has what the table holds at the last one, whatever it had read before. The cost is
// proportional to the entries returned and the stale changes among them.
func (t *Table) Page(revision uint64, bytes int) (entries []Backend, upto uint64, more bool) {
	from, _ := slices.BinarySearchFunc(t.changes, revision, func(r *row, revision uint64) int {
		return cmp.Or(cmp.Compare(r.revision, revision), -1)
	})
	for _, r := range t.changes[from:] {
		if t.stale(r) {
			continue
		}
		if bytes -= r.MaxEncodedSize(); bytes < 0 && len(entries) > 0 {
			return entries, upto, true
		}
		entries, upto = append(entries, r.Backend), r.revision
	}
	return entries, t.revision, false
}

// MaxEncodedSize returns an upper bound of the bytes that the entry takes in a message.
func (b Backend) MaxEncodedSize() int {
	return 64 + len(b.Node) + len(b.Addr) + len(b.Zone) + len(b.Instance) + len(b.Service) + len(b.Release)
}

// All returns the entries that were not dropped, sorted by node.
func (t *Table) All() []Backend { return slices.DeleteFunc(t.ChangedSince(0), Backend.dropped) }

// Len returns the number of entries that were not dropped.
func (t *Table) Len() (n int) {
	for _, r := range t.rows {
		if !r.dropped() {
			n++
		}
	}
	return n
}
