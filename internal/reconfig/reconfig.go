// Package reconfig hands the work of those that count over to others: the end of one epoch and the beginning of the next. It is
// pure: a Seal is an old voter's part, a Round what a proposer gathers, Enough and Inherit what a new voter makes of the books
// that old ones handed over.
//
// Who comes next is one decree an epoch, agreed by ballots among the old voters (Paxos). To accept one is to be sealed: an old
// voter that did, on disk, promises, accepts and grants nothing more in its epoch, so that with the successor chosen a majority
// has fallen silent for good. A new voter speaks in the new epoch once it has on disk what a majority of sealed old ones held.
// Hence nothing can be won in the new epoch before a majority of the new holds it, and no further round begins the epoch.
package reconfig

import (
	"maps"
	"slices"

	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
)

// Voter is a member of those that count: where its purser is.
type Voter struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"` // host:port of its purser
	Zone string `cbor:"3,keyasint"`
	Disk uint64 `cbor:"4,keyasint,omitempty"` // of the disk that may take the office over; 0: it makes up for a lost one instead
}

// VoterSet is the list of those that count, of one epoch.
type VoterSet struct {
	Epoch    uint64  `cbor:"1,keyasint"`
	Voters   []Voter `cbor:"2,keyasint"`
	Previous []Voter `cbor:"3,keyasint,omitempty"` // of the epoch before, who hand over
}

// IndexOf is the place of the voter at addr; -1: it does not count.
func (r VoterSet) IndexOf(addr string) int {
	return slices.IndexFunc(r.Voters, func(v Voter) bool { return v.Addr == addr })
}

// SameVoters reports whether both have the same voters of the same epoch, whatever their disks.
func (r VoterSet) SameVoters(o VoterSet) bool {
	return r.Epoch == o.Epoch && slices.EqualFunc(r.Voters, o.Voters, func(x, y Voter) bool { return x.Addr == y.Addr })
}

// Seal is an old voter's part in the end of its epoch. The zero value has promised nothing.
type Seal struct {
	Promised configuration.Ballot `cbor:"1,keyasint"` // no lower ballot is taken
	Accepted configuration.Ballot `cbor:"2,keyasint"` // of Next
	Next     VoterSet             `cbor:"3,keyasint"`
	Closed   bool                 `cbor:"4,keyasint,omitempty"` // it slept through the vote, and heard that a successor is chosen
}

// Sealed reports whether the epoch has ended for this voter.
func (s *Seal) Sealed() bool { return s.Closed || !s.Accepted.IsZero() }

// Prepare takes the promise to take nothing lower than b, and reports whether it was given. It counts once it is on disk.
func (s *Seal) Prepare(b configuration.Ballot) bool {
	if b.Less(s.Promised) {
		return false
	}
	s.Promised = b
	return true
}

// Accept accepts a successor, and reports whether it did. From then on nothing is granted; it counts once it is on disk.
func (s *Seal) Accept(b configuration.Ballot, next VoterSet) bool {
	if b.Less(s.Promised) {
		return false
	}
	s.Promised, s.Accepted, s.Next = b, b, next
	return true
}

// Learn takes what another voter had promised and accepted, for a voter that lost its disk.
func (s *Seal) Learn(o Seal) {
	if s.Promised.Less(o.Promised) {
		s.Promised = o.Promised
	}
	if s.Accepted.Less(o.Accepted) {
		s.Accepted, s.Next = o.Accepted, o.Next
	}
}

// Answer is one old voter's answer to a proposer.
type Answer struct {
	Origin  consensus.Origin `cbor:"1,keyasint"`
	Granted bool             `cbor:"2,keyasint"` // promised, or accepted
	Seal    Seal             `cbor:"3,keyasint"`
}

// Round gathers the answers to one ballot.
type Round struct {
	Voters      int                  // of the old epoch
	HighestSeen configuration.Ballot // the highest that stood in the way
	promises    []Answer
	accepts     []consensus.Origin
}

// Promise takes an answer to a Prepare. Of one voter only the first counts.
func (r *Round) Promise(a Answer) {
	r.raise(a.Seal.Promised)
	if a.Granted && !slices.ContainsFunc(r.promises, func(o Answer) bool { return o.Origin.Voter == a.Origin.Voter }) {
		r.promises = append(r.promises, a)
	}
}

// Base is the successor that has to be proposed, once enough was promised; bound is false where the proposer is free.
func (r *Round) Base() (next VoterSet, bound, ok bool) {
	var vs []consensus.Origin
	for _, a := range r.promises {
		vs = append(vs, a.Origin)
	}
	sound := consensus.Countable(vs)
	if len(sound) < consensus.Majority(r.Voters) {
		return next, false, false
	}
	var of configuration.Ballot
	for _, a := range r.promises {
		told := slices.ContainsFunc(sound, func(v consensus.Origin) bool { return v.Voter == a.Origin.Voter })
		if told && of.Less(a.Seal.Accepted) {
			of, next = a.Seal.Accepted, a.Seal.Next
		}
	}
	return next, !of.IsZero(), true
}

// Accept takes an answer to the proposal itself, and reports whether the successor is chosen.
func (r *Round) Accept(a Answer) bool {
	r.raise(a.Seal.Promised)
	if a.Granted {
		r.accepts = append(r.accepts, a.Origin)
	}
	return len(consensus.Countable(r.accepts)) >= consensus.Majority(r.Voters)
}

func (r *Round) raise(b configuration.Ballot) {
	if r.HighestSeen.Less(b) {
		r.HighestSeen = b
	}
}

// Handover is what one voter hands over, other than its claims of keys.
type Handover struct {
	Origin   consensus.Origin     `cbor:"1,keyasint"`
	Active   bool                 `cbor:"2,keyasint"` // it speaks in the new epoch already; else it is sealed in the old one
	Promised configuration.Ballot `cbor:"3,keyasint"`
	Accepted configuration.Ballot `cbor:"4,keyasint"`
	Chosen   configuration.Ballot `cbor:"5,keyasint"`
}

// SelectHandovers says which of the estates a new voter takes over: that of one who speaks in the new epoch already, whose books have
// all that was won in the old, or those of a majority of the old, all sealed. nil: more are wanted.
func SelectHandovers(voters int, told []Handover) (take []int) {
	var vs []consensus.Origin
	for i, e := range told {
		if e.Active {
			return []int{i}
		}
		vs = append(vs, e.Origin)
	}
	sound := consensus.Countable(vs)
	if len(sound) < consensus.Majority(voters) {
		return nil
	}
	for _, v := range sound {
		take = append(take, slices.IndexFunc(told, func(e Handover) bool {
			return e.Origin.Voter == v.Voter && slices.Equal(e.Origin.Incarnations, v.Incarnations)
		}))
	}
	return take
}

// Inherit is the register that a new voter begins with: the highest promise, the highest accepted value, which is that of the
// estate at, and what is known to be chosen. The value was accepted in a former epoch: two new voters may have inherited
// different ones, so that it is what rounds are built on, and is chosen by count only once it was accepted anew.
func Inherit(told []Handover, take []int) (promised, accepted, chosen configuration.Ballot, at int) {
	at = take[0]
	for _, i := range take {
		e := told[i]
		if promised.Less(e.Promised) {
			promised = e.Promised
		}
		if accepted.Less(e.Accepted) {
			accepted, at = e.Accepted, i
		}
	}
	for _, i := range take {
		if told[i].Chosen == accepted {
			chosen = accepted
		}
	}
	return promised, accepted, chosen, at
}

// VotersFor is how many voters bear the loss of so many at once.
func VotersFor(losses int) int { return 2*losses + 1 }

// Grow is the roll with candidates added until it has as many voters as are wanted, of zones that have the fewest first. ok is
// false where that can't be reached: half of the way costs each vote a member more and bears no further loss.
func Grow(r VoterSet, wanted int, candidates []Voter) (voters []Voter, ok bool) {
	voters = slices.Clone(r.Voters)
	for len(voters) < wanted {
		best, fewest := -1, 0
		for i, c := range candidates {
			if slices.ContainsFunc(voters, func(v Voter) bool { return v.Addr == c.Addr }) {
				continue
			}
			same := 0
			for _, v := range voters {
				if v.Zone == c.Zone {
					same++
				}
			}
			if best < 0 || same < fewest {
				best, fewest = i, same
			}
		}
		if best < 0 {
			return nil, false
		}
		voters = append(voters, candidates[best])
	}
	return voters, len(voters) > len(r.Voters)
}

// Tolerance is what may be lost at once with a majority left: so many zones, or so many regions. Machines are what Wanted counts.
type Tolerance struct {
	Zones, Regions int
	RegionOf       map[string]string // by zone; a zone that it lacks lies in none that is known
}

// Excess is by how many voters too many the worst loss of zones, and that of regions, would take: with 0 each leaves a majority.
// A voter whose zone, or region, isn't known shares it with nobody.
func (t Tolerance) Excess(voters []Voter) (excess int) {
	excess, _ = t.weigh(voters)
	return excess
}

// weigh gives besides how far from even the voters lie, by which two rolls of one excess are told apart: the sum of the squares.
func (t Tolerance) weigh(voters []Voter) (excess, uneven int) {
	count := func(lost int, of func(Voter) string) {
		if lost <= 0 {
			return
		}
		shares := map[string]int{}
		for i, v := range voters {
			at := of(v)
			if at == "" {
				at = string(rune(i)) + "?"
			}
			shares[at]++
		}
		sizes := slices.Sorted(maps.Values(shares))
		slices.Reverse(sizes)
		taken := 0
		for i, n := range sizes {
			uneven += n * n
			if i < lost {
				taken += n
			}
		}
		excess += max(0, taken-(len(voters)-consensus.Majority(len(voters))))
	}
	count(t.Zones, func(v Voter) string { return v.Zone })
	count(t.Regions, func(v Voter) string { return t.RegionOf[v.Zone] })
	return excess, uneven
}

// NextVoters is the list of voters that should follow a roll: each of the lost places is taken by a candidate, as many are added as are
// wanted, and none that may be lost at once, by t, is to hold a majority. nil: there is nothing to change, or nobody to do it
// with. A roll never shrinks by silence alone, and voters that are well leave only if that lowers the excess.
func NextVoters(r VoterSet, lost []int, wanted int, t Tolerance, candidates []Voter) []Voter {
	voters := ReplaceLost(r, lost, t, candidates)
	if len(voters) < wanted {
		if more, ok := Grow(VoterSet{Voters: voters}, wanted, candidates); ok {
			voters = more
		}
	}
	if voters = Spread(voters, t, candidates); (VoterSet{Epoch: r.Epoch, Voters: voters}).SameVoters(r) {
		return nil
	}
	return voters
}

// ReplaceLost is the list of voters with each of the lost places taken by the candidate that leaves the least excess, of the same zone
// first. A place for which there is none stays.
func ReplaceLost(r VoterSet, lost []int, t Tolerance, candidates []Voter) []Voter {
	voters := slices.Clone(r.Voters)
	for _, place := range lost {
		next, _, ok := best(voters, []int{place}, candidates, func(voters []Voter) [3]int {
			excess, uneven := t.weigh(voters)
			moved := 0
			if voters[place].Zone != r.Voters[place].Zone {
				moved = 1
			}
			return [3]int{excess, moved, uneven}
		})
		if ok {
			voters = next
		}
	}
	return voters
}

// Spread is the list of voters with some of them replaced by candidates until no loss that is to be borne takes a majority, or
// none of the candidates helps any more.
func Spread(voters []Voter, t Tolerance, candidates []Voter) []Voter {
	places := make([]int, len(voters))
	for i := range places {
		places[i] = i
	}
	price := func(voters []Voter) [3]int {
		excess, uneven := t.weigh(voters)
		return [3]int{excess, uneven}
	}
	now := voters
	for t.Excess(now) > 0 {
		next, price2, ok := best(now, places, candidates, price)
		if p := price(now); !ok || slices.Compare(price2[:], p[:]) >= 0 {
			break
		}
		now = next
	}
	if t.Excess(now) < t.Excess(voters) {
		return now
	}
	return voters
}

// best is the cheapest list of voters with one of the places taken by one of the candidates that are not among them.
func best(voters []Voter, places []int, candidates []Voter, price func([]Voter) [3]int) (next []Voter, least [3]int, ok bool) {
	for _, place := range places {
		for _, c := range candidates {
			if slices.ContainsFunc(voters, func(v Voter) bool { return v.Addr == c.Addr }) {
				continue
			}
			with := slices.Clone(voters)
			with[place] = c
			if p := price(with); !ok || slices.Compare(p[:], least[:]) < 0 {
				next, least, ok = with, p, true
			}
		}
	}
	return next, least, ok
}
