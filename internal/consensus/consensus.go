// Package consensus implements a replicated register after CASPaxos (Rystsov, "CASPaxos: Replicated State Machines without
// logs"). It has no log and no leader: the register's value is the whole set of configuration items, changed by rounds that any
// registry may run. The package is pure and does no I/O: an Acceptor is one voter's state, a Round is what a proposer gathers from
// the voters' answers.
//
// A value is chosen once a majority has accepted it under one ballot; only chosen values are acknowledged. A voter that lost its
// disk comes back under a higher incarnation. Answers are counted together only if none of them knows another's voter under a
// later incarnation (see Countable), so that an answer given before a loss is never combined with one given after the repair.
package consensus

import (
	"slices"

	"saltmast/internal/configuration"
)

// Origin identifies the voter that gave an answer and the incarnations that it knew at the time.
type Origin struct {
	Voter        int      `cbor:"1,keyasint"` // index among the voters
	Incarnations []uint64 `cbor:"2,keyasint"` // by voter index; Incarnations[Voter] is its own. 0: unknown
}

// Majority returns the size of a majority of n voters.
func Majority(n int) int { return n/2 + 1 }

// Countable returns the answers that may be counted together. It drops those of voters that another answer knows under a later
// incarnation, and all but the first answer of a voter.
func Countable(answers []Origin) []Origin {
	var out []Origin
	for i, v := range answers {
		if v.Voter < 0 || v.Voter >= len(v.Incarnations) {
			continue
		}
		stale := slices.ContainsFunc(answers[:i], func(o Origin) bool { return o.Voter == v.Voter })
		for _, o := range answers {
			stale = stale || v.Voter < len(o.Incarnations) && o.Incarnations[v.Voter] > v.Incarnations[v.Voter]
		}
		if !stale {
			out = append(out, v)
		}
	}
	return out
}

// Acceptor is one voter's state of the register: a base, which is a chosen value, and the last accepted value, which is stored as
// the few items that changed after the base (the delta).
//
// Values descend from each other: a round builds on the highest accepted value, so a value proposed under a higher ballot than a
// chosen one is that chosen value with some items replaced or added under higher ballots. Hence the items of ballots after F, from
// any source, applied to all items up to F, give the whole value, and a voter that holds all items up to F needs only those after F.
//
// A voter that is far behind receives a chosen value in pages (see Page). Meanwhile its base is mixed: it has all items up to
// Chosen, and some of a later chosen value, Target. It drops what it had accepted below Target, which is safe because a majority
// without it has accepted Target or a later value.
type Acceptor struct {
	Promised configuration.Ballot // lower ballots are rejected
	Accepted configuration.Ballot // ballot of Value; zero: nothing accepted, or dropped while pages arrive
	Value    configuration.Set    // the last accepted value: Base with the items that changed after Chosen
	Chosen   configuration.Ballot // ballot of Base: the highest known to be chosen whose value is held whole
	Base     configuration.Set    // the chosen value; mixed while Target is higher than Chosen
	Target   configuration.Ballot // the highest chosen ballot of which a page arrived
}

// NewAcceptor returns an Acceptor that has accepted nothing.
func NewAcceptor() *Acceptor {
	return &Acceptor{}
}

// CatchingUp reports whether the base is mixed, that is, pages of a later chosen value are still missing.
func (a *Acceptor) CatchingUp() bool { return a.Chosen.Less(a.Target) }

// KnownChosen returns the highest ballot known to be chosen, whether or not its value is held whole.
func (a *Acceptor) KnownChosen() configuration.Ballot {
	if a.CatchingUp() {
		return a.Target
	}
	return a.Chosen
}

// Prepare promises to reject ballots lower than b, and reports whether the promise was given. The promise may be sent only once
// it is on disk.
func (a *Acceptor) Prepare(b configuration.Ballot) bool {
	if b.Less(a.Promised) {
		return false
	}
	a.Promised = b
	return true
}

// Promise returns the answer to a proposer that holds the whole chosen value of ballot held.
func (a *Acceptor) Promise(v Origin, held configuration.Ballot) Promise {
	p := Promise{Origin: v, Granted: true, Promised: a.Promised, Accepted: a.Accepted, Chosen: a.Chosen, KnownChosen: a.KnownChosen()}
	if a.Accepted.Less(held) {
		return p // can't be the highest of a majority: some voter of each majority has accepted held or later
	}
	size := 0
	for i := range a.Value.Since(held) {
		if size += ItemSize(i); size > maxPromiseSize {
			p.Items, p.Truncated = nil, true
			break
		}
		p.Items = append(p.Items, i)
	}
	return p
}

// CanAccept reports whether a value of ballot b may be accepted when it is given by its items after ballot base.
func (a *Acceptor) CanAccept(b, base configuration.Ballot) bool {
	return !b.Less(a.Promised) && !a.Chosen.Less(base)
}

// Delta returns those of the received items that have to be stored beside the base.
func (a *Acceptor) Delta(received []configuration.Item) (delta []configuration.Item) {
	for _, i := range received {
		if a.Chosen.Less(i.Ballot) {
			delta = append(delta, i)
		}
	}
	return delta
}

// Accept accepts a value, given by its delta. The caller has checked CanAccept and written the delta to disk.
func (a *Acceptor) Accept(b configuration.Ballot, delta []configuration.Item) {
	if a.Promised.Less(b) {
		a.Promised = b
	}
	a.Accepted, a.Value = b, a.Base.With(delta...)
}

// CanLearn reports whether Learn(b) would change anything: b is the accepted ballot and was not known to be chosen.
func (a *Acceptor) CanLearn(b configuration.Ballot) bool {
	return b == a.Accepted && a.Chosen.Less(b)
}

// Learn records that the value of ballot b was chosen, and reports whether that changed anything.
func (a *Acceptor) Learn(b configuration.Ballot) bool {
	if !a.CanLearn(b) {
		return false
	}
	a.Chosen, a.Base, a.Target = b, a.Value, b
	return true
}

// CanApplyPage reports whether a page follows the items that are held and adds to them.
func (a *Acceptor) CanApplyPage(p Page) bool {
	return a.Accepted.Less(p.Target) && !a.Chosen.Less(p.From) && a.Chosen.Less(p.UpTo)
}

// ApplyPage adds a page to the base. The caller has checked CanApplyPage and written the page to disk. Pages from several senders
// may interleave.
func (a *Acceptor) ApplyPage(p Page) {
	if a.Promised.Less(p.Target) {
		a.Promised = p.Target
	}
	if a.Target.Less(p.Target) {
		a.Target = p.Target
	}
	a.Chosen, a.Base = p.UpTo, a.Base.With(p.NewerThan(a.Base)...)
	a.Accepted, a.Value = configuration.Ballot{}, configuration.Set{}
	if !a.CatchingUp() {
		a.Accepted, a.Value = a.Chosen, a.Base
	}
}

// Page is a part of a chosen value: its items of ballots after From, up to and including UpTo. The value is complete once all
// items up to Target are there.
type Page struct {
	From   configuration.Ballot `cbor:"1,keyasint"`
	UpTo   configuration.Ballot `cbor:"2,keyasint"`
	Target configuration.Ballot `cbor:"3,keyasint"` // ballot of the value
	Items  []configuration.Item `cbor:"4,keyasint"`
}

// Limits in bytes, as counted by ItemSize. A page has at most PageMax, unless the items of one ballot are more: those come from one
// request, which has at most DeltaMax, as has what a voter stores beside its base.
const (
	PageMax        = 256 << 10
	DeltaMax       = 1000 << 10
	maxPromiseSize = 2 * DeltaMax
)

// ItemSize returns the approximate size of an item on disk and on the wire, in bytes.
func ItemSize(i configuration.Item) int {
	return 2*len(i.Key.Name) + len(i.Spec) + pastEntrySize*len(i.PastVersions) + 48
}

const pastEntrySize = 19 // maximum bytes of one entry of Item.Past

// NewPage returns the next page of the chosen value of ballot of, for a receiver that holds all items up to from.
func NewPage(value configuration.Set, of, from configuration.Ballot) Page {
	p := Page{From: from, UpTo: of, Target: of}
	size, complete := 0, 0 // complete: number of items in p whose ballots are complete
	for i := range value.Since(from) {
		n := len(p.Items)
		if n > 0 && p.Items[n-1].Ballot != i.Ballot {
			complete = n
		}
		if size += ItemSize(i); size > PageMax && complete > 0 {
			p.Items = p.Items[:complete]
			p.UpTo = p.Items[complete-1].Ballot
			return p
		}
		p.Items = append(p.Items, i)
	}
	return p
}

// NewerThan returns the items of the page that s lacks or holds under a lower ballot.
func (p Page) NewerThan(s configuration.Set) (newer []configuration.Item) {
	for _, i := range p.Items {
		if have, ok := s.Get(i.Key); !ok || have.Ballot.Less(i.Ballot) {
			newer = append(newer, i)
		}
	}
	return newer
}

// PageAssembler collects the pages of a later chosen value beside a value that is in force. The new value comes into force
// with the last page.
type PageAssembler struct {
	upTo, target configuration.Ballot // of mixed, as in Acceptor; zero: no page arrived
	mixed        configuration.Set
}

// CompleteUpTo returns the ballot up to which all items are held. of is the ballot of the value in force.
func (g *PageAssembler) CompleteUpTo(of configuration.Ballot) configuration.Ballot {
	if of.Less(g.upTo) {
		return g.upTo
	}
	return of
}

// Add takes a page and the value in force with its ballot, and returns the ballot and value that are in force afterwards.
func (g *PageAssembler) Add(p Page, of configuration.Ballot, current configuration.Set) (configuration.Ballot, configuration.Set) {
	have := g.CompleteUpTo(of)
	if !of.Less(p.Target) || have.Less(p.From) || !have.Less(p.UpTo) {
		return of, current
	}
	if !of.Less(g.upTo) {
		*g = PageAssembler{mixed: current}
	}
	g.upTo, g.mixed = p.UpTo, g.mixed.With(p.NewerThan(g.mixed)...)
	if g.target.Less(p.Target) {
		g.target = p.Target
	}
	if g.upTo == g.target {
		of, current = g.target, g.mixed
	}
	if g.upTo == p.Target { // the sender of pages of a later target may be gone: start anew
		*g = PageAssembler{}
	}
	return of, current
}

// ExceedsSize reports whether the items of a value that changed after ballot b take more than most bytes.
func ExceedsSize(value configuration.Set, b configuration.Ballot, most int) bool {
	for i := range value.Since(b) {
		if most -= ItemSize(i); most < 0 {
			return true
		}
	}
	return false
}

// ChangedSince returns the items of a chosen value that changed after ballot b.
func ChangedSince(value configuration.Set, b configuration.Ballot) []configuration.Item {
	return slices.Collect(value.Since(b))
}

// Promise is one voter's answer to a Prepare.
type Promise struct {
	Origin      Origin               `cbor:"1,keyasint"`
	Granted     bool                 `cbor:"2,keyasint"`
	Promised    configuration.Ballot `cbor:"3,keyasint"` // where not granted: the higher ballot promised before
	Accepted    configuration.Ballot `cbor:"4,keyasint"`
	Items       []configuration.Item `cbor:"5,keyasint"`           // items of the accepted value that changed after the proposer's held ballot
	Inherited   bool                 `cbor:"6,keyasint,omitempty"` // accepted in a former epoch: usable as a base, but no vote in this epoch
	Chosen      configuration.Ballot `cbor:"7,keyasint"`           // the voter holds all items up to this ballot
	KnownChosen configuration.Ballot `cbor:"8,keyasint"`           // the highest ballot the voter knows to be chosen
	Truncated   bool                 `cbor:"9,keyasint,omitempty"` // Items is empty because they exceed the size limit
}

// Round gathers the promises to one ballot.
type Round struct {
	Voters       int
	HeldBallot   configuration.Ballot // chosen ballot whose value the proposer holds whole; zero: none
	HeldValue    configuration.Set
	promises     []Promise
	HighestSeen  configuration.Ballot // the highest ballot that a voter had promised
	NoBaseReason string               // why Base gave no base although a majority promised
}

// Add records a promise. Only the first of each voter counts.
func (r *Round) Add(p Promise) {
	if r.HighestSeen.Less(p.Promised) {
		r.HighestSeen = p.Promised
	}
	again := slices.ContainsFunc(r.promises, func(o Promise) bool { return o.Origin.Voter == p.Origin.Voter })
	if p.Granted && !again {
		r.promises = append(r.promises, p)
	}
}

// Base returns the value to build on, with its ballot, once a majority has promised: the highest accepted. chosen reports that the
// value is chosen already, because a majority has accepted it or a voter knows that it is chosen. ok is false as long as there
// is no base; NoBaseReason says why if a majority has promised.
func (r *Round) Base() (base configuration.Set, of configuration.Ballot, chosen, ok bool) {
	var origins []Origin
	for _, p := range r.promises {
		origins = append(origins, p.Origin)
	}
	r.NoBaseReason = ""
	countable := Countable(origins)
	if len(countable) < Majority(r.Voters) {
		return base, of, false, false
	}
	votes, known, from := 0, r.HeldBallot, -1
	for n, p := range r.promises {
		if known.Less(p.KnownChosen) {
			known = p.KnownChosen
		}
		if !slices.ContainsFunc(countable, func(v Origin) bool { return v.Voter == p.Origin.Voter }) {
			continue
		}
		vote := 1
		if p.Inherited {
			vote = 0
		}
		switch {
		case of == p.Accepted:
			votes += vote
			if from >= 0 && r.promises[from].Truncated {
				from = n
			}
		case of.Less(p.Accepted):
			of, votes, from = p.Accepted, vote, n
		}
	}
	switch {
	case of.Less(known):
		r.NoBaseReason = "a majority has forgotten what was chosen"
	case from >= 0 && r.promises[from].Truncated:
		r.NoBaseReason = "the configuration is not read yet"
	}
	if r.NoBaseReason != "" {
		return base, of, false, false
	}
	if base = r.HeldValue; from >= 0 {
		base = base.With(r.promises[from].Items...)
	}
	return base, of, votes >= Majority(r.Voters) || of == known && !of.IsZero(), true
}
