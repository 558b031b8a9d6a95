// Package reconfig implements reconfiguration: it replaces the voters of one epoch by those of the next. It is pure: a Seal is an
// old voter's state, a Round is what a proposer gathers, and SelectHandovers and Inherit compute a new voter's state from what old
// voters handed over.
//
// The next voter set is a single decree per epoch, agreed on by the old voters with Paxos. A voter that accepts a successor, on
// disk, is sealed: it promises, accepts and grants nothing more in its epoch. So once the successor is chosen, a majority of the
// old voters has stopped for good. A new voter becomes active in the new epoch once it has on disk what a majority of sealed
// old voters held. Hence nothing can be won in the new epoch before a majority of the new voters holds that state, and the epoch
// needs no further round to start.
package reconfig

import (
	"maps"
	"slices"

	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
)

// Voter is a member of a voter set, with the address of its store.
type Voter struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"` // host:port of its store
	Zone string `cbor:"3,keyasint"`
	Disk uint64 `cbor:"4,keyasint,omitempty"` // number of the disk that may take over the old epoch's state; 0: the voter repairs its state instead
}

// VoterSet holds the voters of one epoch.
type VoterSet struct {
	Epoch    uint64  `cbor:"1,keyasint"`
	Voters   []Voter `cbor:"2,keyasint"`
	Previous []Voter `cbor:"3,keyasint,omitempty"` // the voters of the epoch before, which hand over their state
}

// IndexOf returns the index of the voter at addr, or -1 if there is none.
func (r VoterSet) IndexOf(addr string) int {
	return slices.IndexFunc(r.Voters, func(v Voter) bool { return v.Addr == addr })
}

// SameVoters reports whether both sets have the same epoch and the same voter addresses in the same order.
func (r VoterSet) SameVoters(o VoterSet) bool {
	return r.Epoch == o.Epoch && slices.EqualFunc(r.Voters, o.Voters, func(x, y Voter) bool { return x.Addr == y.Addr })
}

// Seal is an old voter's state in the vote on the next voter set. The zero value has promised nothing.
type Seal struct {
	Promised configuration.Ballot `cbor:"1,keyasint"` // lower ballots are rejected
	Accepted configuration.Ballot `cbor:"2,keyasint"` // ballot of Next
	Next     VoterSet             `cbor:"3,keyasint"`
	Closed   bool                 `cbor:"4,keyasint,omitempty"` // it missed the vote and learned that a successor is chosen
}

// Sealed reports whether the epoch has ended for this voter.
func (s *Seal) Sealed() bool { return s.Closed || !s.Accepted.IsZero() }

// Prepare promises to reject ballots lower than b, and reports whether the promise was given. The promise may be sent only once
// it is on disk.
func (s *Seal) Prepare(b configuration.Ballot) bool {
	if b.Less(s.Promised) {
		return false
	}
	s.Promised = b
	return true
}

// Accept accepts a successor, and reports whether it did. From then on the voter grants nothing in its epoch. The acceptance may be
// sent only once it is on disk.
func (s *Seal) Accept(b configuration.Ballot, next VoterSet) bool {
	if b.Less(s.Promised) {
		return false
	}
	s.Promised, s.Accepted, s.Next = b, b, next
	return true
}

// Learn merges what another voter had promised and accepted into the state of a voter that lost its disk.
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
	HighestSeen configuration.Ballot // the highest ballot that a voter had promised
	promises    []Answer
	accepts     []consensus.Origin
}

// Promise records an answer to a Prepare. Only the first of each voter counts.
func (r *Round) Promise(a Answer) {
	r.raise(a.Seal.Promised)
	if a.Granted && !slices.ContainsFunc(r.promises, func(o Answer) bool { return o.Origin.Voter == a.Origin.Voter }) {
		r.promises = append(r.promises, a)
	}
}

// Base returns the successor that must be proposed, once a majority has promised; ok is false before. bound is false if the proposer
// may propose any successor.
func (r *Round) Base() (next VoterSet, bound, ok bool) {
	var origins []consensus.Origin
	for _, a := range r.promises {
		origins = append(origins, a.Origin)
	}
	countable := consensus.Countable(origins)
	if len(countable) < consensus.Majority(r.Voters) {
		return next, false, false
	}
	var of configuration.Ballot
	for _, a := range r.promises {
		counts := slices.ContainsFunc(countable, func(v consensus.Origin) bool { return v.Voter == a.Origin.Voter })
		if counts && of.Less(a.Seal.Accepted) {
			of, next = a.Seal.Accepted, a.Seal.Next
		}
	}
	return next, !of.IsZero(), true
}

// Accept records an answer to the proposal itself, and reports whether the successor is chosen.
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

// Handover is the state that one voter hands over, except its claims of idempotency keys.
type Handover struct {
	Origin   consensus.Origin     `cbor:"1,keyasint"`
	Active   bool                 `cbor:"2,keyasint"` // it is active in the new epoch already; else it is sealed in the old one
	Promised configuration.Ballot `cbor:"3,keyasint"`
	Accepted configuration.Ballot `cbor:"4,keyasint"`
	Chosen   configuration.Ballot `cbor:"5,keyasint"`
}

// SelectHandovers returns the indexes of the handovers that a new voter takes over: that of one voter that is active in the new
// epoch, whose state has all that was won in the old one, or else those of a majority of the old voters, all sealed. It returns
// nil if more handovers are needed.
func SelectHandovers(voters int, handovers []Handover) (take []int) {
	var origins []consensus.Origin
	for i, h := range handovers {
		if h.Active {
			return []int{i}
		}
		origins = append(origins, h.Origin)
	}
	countable := consensus.Countable(origins)
	if len(countable) < consensus.Majority(voters) {
		return nil
	}
	for _, v := range countable {
		take = append(take, slices.IndexFunc(handovers, func(h Handover) bool {
			return h.Origin.Voter == v.Voter && slices.Equal(h.Origin.Incarnations, v.Incarnations)
		}))
	}
	return take
}

// Inherit returns the register state that a new voter starts with: the highest promise, the ballot of the highest accepted value,
// which is that of handover at, and the ballot known to be chosen. The value was accepted in a former epoch and two new voters may
// have inherited different values. Therefore rounds may build on it, but acceptances of it count as votes only once it is
// accepted again in the new epoch.
func Inherit(handovers []Handover, take []int) (promised, accepted, chosen configuration.Ballot, at int) {
	at = take[0]
	for _, i := range take {
		h := handovers[i]
		if promised.Less(h.Promised) {
			promised = h.Promised
		}
		if accepted.Less(h.Accepted) {
			accepted, at = h.Accepted, i
		}
	}
	for _, i := range take {
		if handovers[i].Chosen == accepted {
			chosen = accepted
		}
	}
	return promised, accepted, chosen, at
}

// VotersFor returns the number of voters needed to tolerate the given number of simultaneous losses.
func VotersFor(losses int) int { return 2*losses + 1 }

// Grow returns the voters of r with candidates added until there are wanted voters, from zones with the fewest voters first. ok is
// false if that number can't be reached: a partial growth makes each vote larger without tolerating a further loss.
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

// Tolerance is the number of zones, or of regions, that may be lost at once with a majority left. For machines see VotersFor.
type Tolerance struct {
	Zones, Regions int
	RegionOf       map[string]string // region by zone; the region of other zones is unknown
}

// Excess returns by how many voters the worst tolerated loss of zones, plus that of regions, exceeds what leaves a majority; 0 if
// each leaves one. A voter whose zone or region is unknown is counted as alone in it.
func (t Tolerance) Excess(voters []Voter) (excess int) {
	excess, _ = t.weigh(voters)
	return excess
}

// weigh returns the excess and, to rank voter lists of equal excess, how unevenly the voters are spread: the sum of the squared
// numbers of voters per zone and region.
func (t Tolerance) weigh(voters []Voter) (excess, unevenness int) {
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
			unevenness += n * n
			if i < lost {
				taken += n
			}
		}
		excess += max(0, taken-(len(voters)-consensus.Majority(len(voters))))
	}
	count(t.Zones, func(v Voter) string { return v.Zone })
	count(t.Regions, func(v Voter) string { return t.RegionOf[v.Zone] })
	return excess, unevenness
}

// NextVoters returns the voters that should follow r: candidates replace the voters at the lost indexes and are added up to wanted
// voters, and if possible no zones or regions that t tolerates to be lost hold a majority. It returns nil if there is nothing to
// change or no suitable candidate. The set never shrinks because voters are unreachable, and healthy voters are replaced only
// if that lowers the excess.
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

// ReplaceLost returns the voters of r with each lost one replaced by the candidate that leaves the least excess, preferring its
// zone. A voter for which there is no candidate stays.
func ReplaceLost(r VoterSet, lost []int, t Tolerance, candidates []Voter) []Voter {
	voters := slices.Clone(r.Voters)
	for _, place := range lost {
		next, _, ok := best(voters, []int{place}, candidates, func(voters []Voter) [3]int {
			excess, unevenness := t.weigh(voters)
			zoneChanged := 0
			if voters[place].Zone != r.Voters[place].Zone {
				zoneChanged = 1
			}
			return [3]int{excess, zoneChanged, unevenness}
		})
		if ok {
			voters = next
		}
	}
	return voters
}

// Spread returns the voters with some of them replaced by candidates, until no tolerated loss takes a majority or no further
// replacement helps.
func Spread(voters []Voter, t Tolerance, candidates []Voter) []Voter {
	places := make([]int, len(voters))
	for i := range places {
		places[i] = i
	}
	cost := func(voters []Voter) [3]int {
		excess, unevenness := t.weigh(voters)
		return [3]int{excess, unevenness}
	}
	current := voters
	for t.Excess(current) > 0 {
		next, nextCost, ok := best(current, places, candidates, cost)
		if p := cost(current); !ok || slices.Compare(nextCost[:], p[:]) >= 0 {
			break
		}
		current = next
	}
	if t.Excess(current) < t.Excess(voters) {
		return current
	}
	return voters
}

// best returns the cheapest list of voters in which one of those at places is replaced by a candidate that is not a voter yet.
func best(voters []Voter, places []int, candidates []Voter, cost func([]Voter) [3]int) (next []Voter, lowest [3]int, ok bool) {
	for _, place := range places {
		for _, c := range candidates {
			if slices.ContainsFunc(voters, func(v Voter) bool { return v.Addr == c.Addr }) {
				continue
			}
			with := slices.Clone(voters)
			with[place] = c
			if p := cost(with); !ok || slices.Compare(p[:], lowest[:]) < 0 {
				next, lowest, ok = with, p, true
			}
		}
	}
	return next, lowest, ok
}
