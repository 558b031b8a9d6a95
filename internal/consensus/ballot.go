// Package consensus agrees on the operator's configuration without a log and without a leader: one register whose value is the
// whole set of items, changed by rounds that any agent may run (CASPaxos: Rystsov, "CASPaxos: Replicated State Machines
// without logs"). It is pure: an Acceptor is one member's part, a Round what an agent gathers of the members' answers.
//
// A value is chosen once a majority has accepted it under one ballot; what was acknowledged is chosen. Members that lost
// their disk come back under a higher incarnation; answers are counted together only where none of them knows another as
// reborn (see Sound), so that an answer given before a loss never meets one given after its repair.
package consensus

import (
	"slices"

	"saltmast/internal/configuration"
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

// Acceptor is one member's part of the register: a base, which is a chosen value, and over it the few items of what it accepted
// last that changed after the base.
//
// Values descend from each other: a round builds on the highest that was accepted, so whatever is proposed under a higher
// ballot than a chosen one is that chosen value with items of higher ballots in place of some of its own, or beside them.
// Hence the items of ballots after F, laid over all items up to F, are the value, whoever tells them; and of a member that
// holds all items up to F only those after F are to be told.
//
// A member that missed much is told a chosen value in pages (see Page). While these come, its base is mixed: all items up to
// Chosen are there, and some of a later chosen value, Target. It forgets what it had accepted below Target, which is safe: a
// majority without it has accepted Target, or more, for good.
type Acceptor struct {
	Promised configuration.Ballot // no lower ballot is taken
	Accepted configuration.Ballot // of Value; zero: nothing, or nothing any more
	Value    configuration.Set    // the last accepted: Stands with the items that changed after Chosen
	Chosen   configuration.Ballot // of Stands; the highest that is known to be chosen and held whole
	Stands   configuration.Set    // the chosen value; mixed while Target is higher than Chosen
	Target   configuration.Ballot // the highest chosen ballot that a page was of
}

// NewAcceptor returns one that has accepted nothing.
func NewAcceptor() *Acceptor {
	return &Acceptor{}
}

// CatchesUp reports whether its base is mixed.
func (a *Acceptor) CatchesUp() bool { return a.Chosen.Less(a.Target) }

// Known is the highest ballot that it knows to be chosen, whether it holds the value or not.
func (a *Acceptor) Known() configuration.Ballot {
	if a.CatchesUp() {
		return a.Target
	}
	return a.Chosen
}

// Prepare takes the promise to take nothing lower than b, and reports whether it was given. The promise counts once it is
// on disk.
func (a *Acceptor) Prepare(b configuration.Ballot) bool {
	if b.Less(a.Promised) {
		return false
	}
	a.Promised = b
	return true
}

// Promise is the answer to a proposer that holds the chosen value of ballot have whole.
func (a *Acceptor) Promise(v Vouch, have configuration.Ballot) Promise {
	p := Promise{Vouch: v, Given: true, Promised: a.Promised, Accepted: a.Accepted, Chosen: a.Chosen, Known: a.Known()}
	if a.Accepted.Less(have) {
		return p // it can't be the highest of a majority, which has one that accepted have or more
	}
	size := 0
	for i := range a.Value.Since(have) {
		if size += Size(i); size > promiseMax {
			p.Items, p.Cut = nil, true
			break
		}
		p.Items = append(p.Items, i)
	}
	return p
}

// May reports whether a value of ballot b may be accepted of which the items after ballot base are told.
func (a *Acceptor) May(b, base configuration.Ballot) bool {
	return !b.Less(a.Promised) && !a.Chosen.Less(base)
}

// Delta is what is to be kept beside the base of the items that were told.
func (a *Acceptor) Delta(told []configuration.Item) (delta []configuration.Item) {
	for _, i := range told {
		if a.Chosen.Less(i.Ballot) {
			delta = append(delta, i)
		}
	}
	return delta
}

// Accept takes a value that is on disk already, by its delta. May was asked before.
func (a *Acceptor) Accept(b configuration.Ballot, delta []configuration.Item) {
	if a.Promised.Less(b) {
		a.Promised = b
	}
	a.Accepted, a.Value = b, a.Stands.With(delta...)
}

// Learns reports whether it is news that the value of ballot b was chosen.
func (a *Acceptor) Learns(b configuration.Ballot) bool {
	return b == a.Accepted && a.Chosen.Less(b)
}

// Learn hears that the value of ballot b was chosen, and reports whether that is news.
func (a *Acceptor) Learn(b configuration.Ballot) bool {
	if !a.Learns(b) {
		return false
	}
	a.Chosen, a.Stands, a.Target = b, a.Value, b
	return true
}

// Turns reports whether a page is of use.
func (a *Acceptor) Turns(p Page) bool {
	return a.Accepted.Less(p.Target) && !a.Chosen.Less(p.From) && a.Chosen.Less(p.Upto)
}

// Turn takes a page that is on disk already. Turns was asked before. Pages of several teachers may come in between each other.
func (a *Acceptor) Turn(p Page) {
	if a.Promised.Less(p.Target) {
		a.Promised = p.Target
	}
	if a.Target.Less(p.Target) {
		a.Target = p.Target
	}
	a.Chosen, a.Stands = p.Upto, a.Stands.With(p.News(a.Stands)...)
	a.Accepted, a.Value = configuration.Ballot{}, configuration.Set{}
	if !a.CatchesUp() {
		a.Accepted, a.Value = a.Chosen, a.Stands
	}
}

// Page is a part of a chosen value: its items of ballots after From, up to Upto. With all up to Target it is whole.
type Page struct {
	From   configuration.Ballot `cbor:"1,keyasint"`
	Upto   configuration.Ballot `cbor:"2,keyasint"`
	Target configuration.Ballot `cbor:"3,keyasint"` // of the value
	Items  []configuration.Item `cbor:"4,keyasint"`
}

// Bounds, by Size. A page has PageMax at the most, unless the items of one ballot are more: a call's, which are DeltaMax at the
// most, as is what a member keeps beside its base.
const (
	PageMax    = 256 << 10
	DeltaMax   = 1000 << 10
	promiseMax = 2 * DeltaMax
)

// Size is about what an item takes on disk and on the wire.
func Size(i configuration.Item) int {
	return 2*len(i.Key.Name) + len(i.Spec) + pastSize*len(i.PastVersions) + 48
}

const pastSize = 19 // of a number of the past, at the most

// PageOf is the page of a chosen value behind a ballot.
func PageOf(value configuration.Set, of, from configuration.Ballot) Page {
	p := Page{From: from, Upto: of, Target: of}
	size, ended := 0, 0 // ended: items of ballots that are complete
	for i := range value.Since(from) {
		n := len(p.Items)
		if n > 0 && p.Items[n-1].Ballot != i.Ballot {
			ended = n
		}
		if size += Size(i); size > PageMax && ended > 0 {
			p.Items = p.Items[:ended]
			p.Upto = p.Items[ended-1].Ballot
			return p
		}
		p.Items = append(p.Items, i)
	}
	return p
}

// News are the items of a page that are higher than what a set holds.
func (p Page) News(s configuration.Set) (news []configuration.Item) {
	for _, i := range p.Items {
		if have, ok := s.Get(i.Key); !ok || have.Ballot.Less(i.Ballot) {
			news = append(news, i)
		}
	}
	return news
}

// Pages are those of a copy of the chosen value that came so far. They come into force with the last of them.
type Pages struct {
	upto, target configuration.Ballot // of mixed, as of an Acceptor's base; zero: none came
	mixed        configuration.Set
}

// Have is up to which ballot all items are there, beside the value in force.
func (g *Pages) Have(of configuration.Ballot) configuration.Ballot {
	if of.Less(g.upto) {
		return g.upto
	}
	return of
}

// Take takes a page beside the value in force, and gives that which is in force then.
func (g *Pages) Take(p Page, of configuration.Ballot, stands configuration.Set) (configuration.Ballot, configuration.Set) {
	have := g.Have(of)
	if !of.Less(p.Target) || have.Less(p.From) || !have.Less(p.Upto) {
		return of, stands
	}
	if !of.Less(g.upto) {
		*g = Pages{mixed: stands}
	}
	g.upto, g.mixed = p.Upto, g.mixed.With(p.News(g.mixed)...)
	if g.target.Less(p.Target) {
		g.target = p.Target
	}
	if g.upto == g.target {
		of, stands = g.target, g.mixed
	}
	if g.upto == p.Target { // of a later one whoever told of it may be gone
		*g = Pages{}
	}
	return of, stands
}

// Beyond reports whether a value has more than some bytes of items after a ballot.
func Beyond(value configuration.Set, b configuration.Ballot, most int) bool {
	for i := range value.Since(b) {
		if most -= Size(i); most < 0 {
			return true
		}
	}
	return false
}

// Since are the items of the chosen value that changed after ballot b.
func Since(stands configuration.Set, b configuration.Ballot) []configuration.Item {
	return slices.Collect(stands.Since(b))
}

// Promise is one member's answer to a Prepare.
type Promise struct {
	Vouch    Vouch                `cbor:"1,keyasint"`
	Given    bool                 `cbor:"2,keyasint"`
	Promised configuration.Ballot `cbor:"3,keyasint"` // that stands in the way where it was not given
	Accepted configuration.Ballot `cbor:"4,keyasint"`
	Items    []configuration.Item `cbor:"5,keyasint"`           // of the accepted value, that changed after what the proposer holds
	Former   bool                 `cbor:"6,keyasint,omitempty"` // accepted in a former epoch: a base, and no vote in this one
	Chosen   configuration.Ballot `cbor:"7,keyasint"`           // it holds all items up to this
	Known    configuration.Ballot `cbor:"8,keyasint"`           // the highest that it knows to be chosen
	Cut      bool                 `cbor:"9,keyasint,omitempty"` // there are more items than it tells at once
}

// Round gathers the promises to one ballot.
type Round struct {
	Voters   int
	Have     configuration.Ballot // chosen, that the proposer holds whole; zero: none
	Held     configuration.Set    // its value
	promises []Promise
	Higher   configuration.Ballot // the highest that stood in the way
	Short    string               // why what a majority promised is no base
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
// that it stands already, or somebody knows that it does.
func (r *Round) Base() (base configuration.Set, of configuration.Ballot, chosen, ok bool) {
	var vs []Vouch
	for _, p := range r.promises {
		vs = append(vs, p.Vouch)
	}
	r.Short = ""
	sound := Sound(vs)
	if len(sound) < Majority(r.Voters) {
		return base, of, false, false
	}
	same, known, from := 0, r.Have, -1
	for n, p := range r.promises {
		if known.Less(p.Known) {
			known = p.Known
		}
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
			if from >= 0 && r.promises[from].Cut {
				from = n
			}
		case of.Less(p.Accepted):
			of, same, from = p.Accepted, vote, n
		}
	}
	switch {
	case of.Less(known):
		r.Short = "a majority has forgotten what was chosen"
	case from >= 0 && r.promises[from].Cut:
		r.Short = "the configuration is not read yet"
	}
	if r.Short != "" {
		return base, of, false, false
	}
	if base = r.Held; from >= 0 {
		base = base.With(r.promises[from].Items...)
	}
	return base, of, same >= Majority(r.Voters) || of == known && !of.IsZero(), true
}
