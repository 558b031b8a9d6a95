// Package ballot agrees on the operator's configuration without a log and without a leader: one register whose value is the
// whole set of items, changed by rounds that any agent may run (CASPaxos: Rystsov, "CASPaxos: Replicated State Machines
// without logs"). It is pure: an Acceptor is one member's part, a Round what an agent gathers of the members' answers.
//
// A value is chosen once a majority has accepted it under one ballot; what was acknowledged is chosen. Members that lost
// their disk come back under a higher incarnation; answers are counted together only where none of them knows another as
// reborn (see Sound), so that an answer given before a loss never meets one given after its repair.
package ballot

import (
	"slices"

	"saltmast/internal/manifest"
)

// Vouch says under which incarnations an answer was given.
type Vouch struct {
	By   int      `cbor:"1,keyasint"` // the member's place among the voters
	Incs []uint64 `cbor:"2,keyasint"` // as it knows them, by place; Incs[By] is its own. 0: unknown
}

// Majority is how many of n voters make one.
func Majority(n int) int { return n/2 + 1 }

// Sound drops the answers of members that another answer knows as reborn since, and those of a place told twice.
// What is left may be counted together.
func Sound(vs []Vouch) []Vouch {
	var out []Vouch
	for i, v := range vs {
		if v.By < 0 || v.By >= len(v.Incs) {
			continue
		}
		stale := slices.ContainsFunc(vs[:i], func(o Vouch) bool { return o.By == v.By })
		for _, o := range vs {
			stale = stale || v.By < len(o.Incs) && o.Incs[v.By] > v.Incs[v.By]
		}
		if !stale {
			out = append(out, v)
		}
	}
	return out
}

// Acceptor is one member's part of the register.
type Acceptor struct {
	Promised manifest.Ballot // no lower ballot is taken
	Accepted manifest.Ballot // of Value
	Value    manifest.Set    // the last accepted
	Chosen   manifest.Ballot // of Stands; the highest that is known to be chosen
	Stands   manifest.Set    // the chosen value; shared with Value where they are the same
}

// NewAcceptor returns one that has accepted nothing.
func NewAcceptor() *Acceptor {
	return &Acceptor{Value: manifest.Set{}, Stands: manifest.Set{}}
}

// Prepare takes the promise to take nothing lower than b, and reports whether it was given. The promise counts once it is
// on disk.
func (a *Acceptor) Prepare(b manifest.Ballot) bool {
	if b.Less(a.Promised) {
		return false
	}
	a.Promised = b
	return true
}

// May reports whether a value of ballot b may be accepted, that is told as changes to the value of ballot base; a zero base
// tells the value whole.
func (a *Acceptor) May(b, base manifest.Ballot) bool {
	return !b.Less(a.Promised) && (base.IsZero() || base == a.Accepted)
}

// Next is the value that Accept would make of changes; whole: they are all of it.
func (a *Acceptor) Next(changes []manifest.Item, whole bool) manifest.Set {
	next := manifest.Set{}
	if !whole {
		next = a.Value.Clone()
	}
	for _, i := range changes {
		next[i.Key] = i
	}
	return next
}

// Accept takes a value that is on disk already. May was asked before.
func (a *Acceptor) Accept(b manifest.Ballot, value manifest.Set) {
	if a.Promised.Less(b) {
		a.Promised = b
	}
	a.Accepted, a.Value = b, value
}

// Learn hears that the value of ballot b was chosen, and reports whether that is news.
func (a *Acceptor) Learn(b manifest.Ballot) bool {
	if b != a.Accepted || !a.Chosen.Less(b) {
		return false
	}
	a.Chosen, a.Stands = b, a.Value
	return true
}

// Since are the items of the chosen value that changed after ballot b.
func Since(stands manifest.Set, b manifest.Ballot) []manifest.Item {
	var out []manifest.Item
	for _, i := range stands {
		if b.Less(i.Ballot) {
			out = append(out, i)
		}
	}
	return out
}

// Promise is one member's answer to a Prepare.
type Promise struct {
	Vouch    Vouch           `cbor:"1,keyasint"`
	Given    bool            `cbor:"2,keyasint"`
	Promised manifest.Ballot `cbor:"3,keyasint"` // that stands in the way where it was not given
	Accepted manifest.Ballot `cbor:"4,keyasint"`
	Items    []manifest.Item `cbor:"5,keyasint"`           // the accepted value, whole
	Former   bool            `cbor:"6,keyasint,omitempty"` // accepted in a former epoch: a base, and no vote in this one
}

// Round gathers the promises to one ballot.
type Round struct {
	Voters   int
	promises []Promise
	Higher   manifest.Ballot // the highest that stood in the way
}

// Add takes one promise. Of one member only the first counts.
func (r *Round) Add(p Promise) {
	if r.Higher.Less(p.Promised) {
		r.Higher = p.Promised
	}
	again := slices.ContainsFunc(r.promises, func(o Promise) bool { return o.Vouch.By == p.Vouch.By })
	if p.Given && !again {
		r.promises = append(r.promises, p)
	}
}

// Base is the value to go on from, once enough was promised: the highest accepted. chosen: a majority has accepted it, so
// that it stands already.
func (r *Round) Base() (base manifest.Set, of manifest.Ballot, chosen, ok bool) {
	var vs []Vouch
	for _, p := range r.promises {
		vs = append(vs, p.Vouch)
	}
	sound := Sound(vs)
	if len(sound) < Majority(r.Voters) {
		return nil, of, false, false
	}
	base = manifest.Set{}
	same := 0
	for _, p := range r.promises {
		if !slices.ContainsFunc(sound, func(v Vouch) bool { return v.By == p.Vouch.By }) {
			continue
		}
		vote := 1
		if p.Former {
			vote = 0
		}
		switch {
		case of == p.Accepted:
			same += vote
		case of.Less(p.Accepted):
			of, same = p.Accepted, vote
			base = manifest.Set{}
			for _, i := range p.Items {
				base[i.Key] = i
			}
		}
	}
	return base, of, same >= Majority(r.Voters), true
}

// Outcome of a call's items against a base.
type Outcome struct {
	Next    manifest.Set
	Changes []manifest.Item // with ballot b
	Against *manifest.Key   // another content of the same version stands there: nothing of the call may come into force
}

// Apply lays a call's items over a base, under ballot b. A lower version changes nothing, nor does an equal one of the same
// content.
func Apply(base manifest.Set, items []manifest.Item, b manifest.Ballot) Outcome {
	o := Outcome{Next: base.Clone()}
	for _, i := range items {
		cur, ok := base[i.Key]
		if ok && i.Version < cur.Version {
			continue
		}
		if ok && i.Version == cur.Version {
			if i.Dropped != cur.Dropped || string(i.Spec) != string(cur.Spec) {
				k := i.Key
				o.Against = &k
			}
			continue
		}
		i.Ballot = b
		o.Next[i.Key] = i
		o.Changes = append(o.Changes, i)
	}
	return o
}
