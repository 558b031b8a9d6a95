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
	CatchUp     Name = "teach" // tells members what they missed
	VoterChange Name = "roll"  // replaces voters that are gone, and finishes a change of the roll. It spares two from standing in each other's way; ballots decide
)

const (
	// Span is how long a lease lasts.
	Span = 2 * time.Second
	// Margin is how much earlier its holder ends it: clocks run at rates that differ by far less than that in a span.
	Margin = Span / 8
	// renewInterval is when its holder asks again, after it last began to ask.
	renewInterval = Span / 2
)

// Granter is one member's part. It is kept in memory alone: a member that began again grants nothing for a span, in which all
// that it may have granted before comes to its end.
type Granter struct {
	startedAt time.Duration
	grants    map[Name]grant
}

type grant struct {
	holder    uint64
	expiresAt time.Duration
}

// NewGranter returns the ledger of a member that begins at now.
func NewGranter(now time.Duration) *Granter {
	return &Granter{startedAt: now, grants: map[Name]grant{}}
}

// Grant asks for a duty on behalf of a holder, which is a number that no other process has, and reports whether it has it for
// a span from now.
func (l *Granter) Grant(now time.Duration, d Name, by uint64) bool {
	if now-l.startedAt < Span {
		return false
	}
	if h := l.grants[d]; h.holder != by && now < h.expiresAt {
		return false
	}
	l.grants[d] = grant{by, now + Span}
	return true
}

// Release gives a duty back early.
func (l *Granter) Release(d Name, by uint64) {
	if l.grants[d].holder == by {
		delete(l.grants, d)
	}
}

// Each tells the duties that are granted at now, in the order of their names: to whom, and for how long yet.
func (l *Granter) Each(now time.Duration, each func(d Name, by uint64, left time.Duration)) {
	for _, d := range slices.Sorted(maps.Keys(l.grants)) {
		if h := l.grants[d]; now < h.expiresAt {
			each(d, h.holder, h.expiresAt-now)
		}
	}
}

// Lease is the holder's part, of one duty.
type Lease struct {
	Voters      int // that may grant it
	requestedAt time.Duration
	grants      map[int]bool
	expiresAt   time.Duration
}

// BeginRenewal reports whether it is time to ask the members, and takes note that they are asked now.
func (l *Lease) BeginRenewal(now time.Duration) bool {
	if l.grants != nil && now-l.requestedAt < renewInterval {
		return false
	}
	l.requestedAt, l.grants = now, map[int]bool{}
	return true
}

// RecordGrant takes the answer of one member to what was asked at the time asked, as Asked told it then: an answer to an earlier
// question would lengthen the lease beyond what it was granted for.
func (l *Lease) RecordGrant(asked time.Duration, member int) {
	if asked != l.requestedAt || member < 0 || member >= l.Voters {
		return
	}
	l.grants[member] = true
	if len(l.grants) > l.Voters/2 {
		l.expiresAt = max(l.expiresAt, l.requestedAt+Span-Margin)
	}
}

// RequestedAt is when the members were asked last.
func (l *Lease) RequestedAt() time.Duration { return l.requestedAt }

// Held reports whether the duty may be done at now. Whoever does something that takes a while asks again before each step:
// a process that was stopped meanwhile finds its lease over.
func (l *Lease) Held(now time.Duration) bool { return now < l.expiresAt }
