// Package lease gives a duty of one to one agent at a time: a lease that a majority of members grants, for a span, and that its
// holder ends before it can end for anybody else. It is pure, and compares no clocks: each side measures durations by its
// own, and the holder counts from before it asked.
package lease

import (
	"maps"
	"slices"
	"time"
)

// Name of a duty.
type Name string

// The duties of the mesh.
const (
	Teach Name = "teach" // tells members what they missed
	Roll  Name = "roll"  // replaces voters that are gone, and finishes a change of the roll. It spares two from standing in each other's way; ballots decide
)

const (
	// Span is how long a lease lasts.
	Span = 2 * time.Second
	// Margin is how much earlier its holder ends it: clocks run at rates that differ by far less than that in a span.
	Margin = Span / 8
	// renewAt is when its holder asks again, after it last began to ask.
	renewAt = Span / 2
)

// Ledger is one member's part. It is kept in memory alone: a member that began again grants nothing for a span, in which all
// that it may have granted before comes to its end.
type Ledger struct {
	began time.Duration
	held  map[Name]held
}

type held struct {
	by    uint64
	until time.Duration
}

// NewLedger returns the ledger of a member that begins at now.
func NewLedger(now time.Duration) *Ledger { return &Ledger{began: now, held: map[Name]held{}} }

// Grant asks for a duty on behalf of a holder, which is a number that no other process has, and reports whether it has it for
// a span from now.
func (l *Ledger) Grant(now time.Duration, d Name, by uint64) bool {
	if now-l.began < Span {
		return false
	}
	if h := l.held[d]; h.by != by && now < h.until {
		return false
	}
	l.held[d] = held{by, now + Span}
	return true
}

// Give gives a duty back early.
func (l *Ledger) Give(d Name, by uint64) {
	if l.held[d].by == by {
		delete(l.held, d)
	}
}

// Each tells the duties that are granted at now, in the order of their names: to whom, and for how long yet.
func (l *Ledger) Each(now time.Duration, each func(d Name, by uint64, left time.Duration)) {
	for _, d := range slices.Sorted(maps.Keys(l.held)) {
		if h := l.held[d]; now < h.until {
			each(d, h.by, h.until-now)
		}
	}
}

// Lease is the holder's part, of one duty.
type Lease struct {
	Members int // that may grant it
	asked   time.Duration
	grants  map[int]bool
	until   time.Duration
}

// Due reports whether it is time to ask the members, and takes note that they are asked now.
func (l *Lease) Due(now time.Duration) bool {
	if l.grants != nil && now-l.asked < renewAt {
		return false
	}
	l.asked, l.grants = now, map[int]bool{}
	return true
}

// Granted takes the answer of one member to what was asked at the time asked, as Asked told it then: an answer to an earlier
// question would lengthen the lease beyond what it was granted for.
func (l *Lease) Granted(asked time.Duration, member int) {
	if asked != l.asked || member < 0 || member >= l.Members {
		return
	}
	l.grants[member] = true
	if len(l.grants) > l.Members/2 {
		l.until = max(l.until, l.asked+Span-Margin)
	}
}

// Asked is when the members were asked last.
func (l *Lease) Asked() time.Duration { return l.asked }

// Holds reports whether the duty may be done at now. Whoever does something that takes a while asks again before each step:
// a process that was stopped meanwhile finds its lease over.
func (l *Lease) Holds(now time.Duration) bool { return now < l.until }
