// Package lease implements leases that a majority of voters grants to one holder at a time. The holder stops using its lease
// before any voter can grant it to another. The package does no I/O and never compares the clocks of two machines: each side
// measures durations by its own, and the holder counts from before it asked.
package lease

import (
	"maps"
	"slices"
	"time"
)

// Name identifies a lease.
type Name string

// The leases of the mesh.
const (
	CatchUp     Name = "teach" // sends voters the changes that they missed
	VoterChange Name = "roll"  // replaces lost voters and finishes changes of the voter set. It only keeps two registries from competing: safety comes from the ballots
)

const (
	// Span is how long a lease lasts.
	Span = 2 * time.Second
	// Margin is how much earlier the holder stops using its lease. Within one span clock rates differ by far less than that.
	Margin = Span / 8
	// renewInterval is the time from one round of requests to the next.
	renewInterval = Span / 2
)

// Granter is one voter's record of the leases it granted. It is kept in memory only: after a restart a voter grants nothing
// for one span, in which everything that it may have granted before expires.
type Granter struct {
	startedAt time.Duration
	grants    map[Name]grant
}

type grant struct {
	holder    uint64
	expiresAt time.Duration
}

// NewGranter returns the record of a voter that starts at now.
func NewGranter(now time.Duration) *Granter {
	return &Granter{startedAt: now, grants: map[Name]grant{}}
}

// Grant requests a lease for a holder, identified by a number that no other process has. It reports whether the holder has
// the lease for one span from now.
func (g *Granter) Grant(now time.Duration, name Name, holder uint64) bool {
	if now-g.startedAt < Span {
		return false
	}
	if current := g.grants[name]; current.holder != holder && now < current.expiresAt {
		return false
	}
	g.grants[name] = grant{holder, now + Span}
	return true
}

// Release gives a lease back before it expires, if holder has it.
func (g *Granter) Release(name Name, holder uint64) {
	if g.grants[name].holder == holder {
		delete(g.grants, name)
	}
}

// Each calls each for every lease that is granted at now, in the order of their names, with its holder and remaining time.
func (g *Granter) Each(now time.Duration, each func(name Name, holder uint64, left time.Duration)) {
	for _, name := range slices.Sorted(maps.Keys(g.grants)) {
		if current := g.grants[name]; now < current.expiresAt {
			each(name, current.holder, current.expiresAt-now)
		}
	}
}

// Lease is the holder's side of one lease.
type Lease struct {
	Voters      int // number of voters that may grant it
	requestedAt time.Duration
	grants      map[int]bool
	expiresAt   time.Duration
}

// BeginRenewal reports whether it is time to ask the voters, and if so records that they are asked at now.
func (l *Lease) BeginRenewal(now time.Duration) bool {
	if l.grants != nil && now-l.requestedAt < renewInterval {
		return false
	}
	l.requestedAt, l.grants = now, map[int]bool{}
	return true
}

// RecordGrant records that a voter granted the request made at requestedAt, a value of RequestedAt. Answers to earlier
// requests are ignored: they would extend the lease beyond what was granted.
func (l *Lease) RecordGrant(requestedAt time.Duration, voter int) {
	if requestedAt != l.requestedAt || voter < 0 || voter >= l.Voters {
		return
	}
	l.grants[voter] = true
	if len(l.grants) > l.Voters/2 {
		l.expiresAt = max(l.expiresAt, l.requestedAt+Span-Margin)
	}
}

// RequestedAt returns when the voters were last asked.
func (l *Lease) RequestedAt() time.Duration { return l.requestedAt }

// Held reports whether the lease is held at now. During longer work the holder checks it again before each step: a process
// that was paused finds its lease expired.
func (l *Lease) Held(now time.Duration) bool { return now < l.expiresAt }
