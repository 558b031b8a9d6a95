package reconfig

import (
	"errors"
	"flag"
	"slices"
	"testing"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/idempotency"
	"saltmast/internal/modelcheck"
)

// These tests explore all states of one change of the voter set: voters 0, 1 and 2, a joining machine 3, two proposers of different
// voter sets, and either two claimants of one key or rounds of the register in both epochs. Messages are lost, delayed and repeated,
// proposers stop anywhere, and one machine loses its disk and repairs it, also after it learned of the new set or while it takes part.
//
// As in package store, a voter's answers are on disk, so that a crash loses nothing that counts; only the mutant whose seal is not
// synced may crash. A new voter takes over state in one step, from any machines that would hand it over then, as sealed state does
// not change. Proxies and proposers receive any subset of the answers. Claims are never released here (package idempotency explores
// that), and one machine loses its disk once. Within these limits the following are complete: the decree with one key and one or two
// proposers; the decree by two proposers with a lost disk; one proposer past its first phase, with a key and a lost disk, with one
// round in each epoch and a lost disk, and with two rounds in each epoch, of which the first has its promises.

const members = 4

const (
	unknown uint8 = iota // knows no voter set
	apart
	repairing
	serving
)

const disputed = 3 // holder of a key that two claimants were reported to hold: neither gets it

type member struct {
	mode, epoch, voterSet              uint8
	holder                             uint8
	promised, accepted                 uint8 // ballots of the decree
	unsynced                           bool  // mutant: the seal is not on disk
	hasOldState                        bool  // apart, with the state of the first epoch
	knowsIncarnation                   bool  // knows the new incarnation of the machine that lost its disk in this epoch
	registerPromised, registerAccepted uint8 // ballots of the register
	inherited                          bool  // registerAccepted was accepted in the first epoch
}

type repairAnswer struct {
	received bool
	m        member
}

type proposer struct {
	based, chosen bool
	voterSet      uint8
	namesNewDisk  bool     // its voter set names the disk that replaced the lost one
	promises      [3]uint8 // bit set of answers sent, by accepted ballot and knowsIncarnation
	accepts       [3]uint8 // bit set of answers sent, by knowsIncarnation
}

type round struct {
	based, acked bool
	base         uint8
	promises     [members]uint32 // bit set of answers sent, by registerAccepted, inherited and knowsIncarnation
	accepts      [members]uint8  // bit set of answers sent, by knowsIncarnation
}

const rounds = 4

type world struct {
	m             [members]member
	p             [2]proposer
	wiped         uint8 // index of the machine that lost its disk, plus one; 0: none yet
	crash         bool
	grants        [2][2][members]uint8 // by epoch and claimant: bit set of answers sent, by knowsIncarnation
	won           [2]bool
	r             [rounds]round
	repairAnswers [2]repairAnswer // answers for the repair of the wiped machine
}

type rules struct {
	claims         bool
	rounds         [rounds]uint8 // epoch of each; 0: not run
	proposers      int
	losesDisk      bool
	firstPhaseDone bool // the first phases of the decree and of the first round are over
	firstAccepted  bool // voter 1 has accepted the first round, and the others promised the next of its epoch
	largeSpace     bool // explored only with -relief.all

	skipsMajority, inheritsFromOne, unsynced, grantsAfterSeal, ignoresAccepted, countsInherited, dropsPromises bool // mutants
}

var voters = [3][3]int{{0, 1, 2}, {0, 1, 3}, {0, 3, 2}} // of epoch 1, and of the voter sets 1 and 2 proposed for epoch 2

func place(voterSet uint8, i int) int { return slices.Index(voters[voterSet][:], i) }

func ballot(n uint8) (b configuration.Ballot) {
	if n > 0 {
		b = configuration.Ballot{N: uint64(n), Proposer: 1}
	}
	return b
}

func (s *world) origin(voterSet uint8, i int, knowsIncarnation bool) consensus.Origin {
	v := consensus.Origin{Voter: place(voterSet, i), Incarnations: []uint64{1, 1, 1}}
	if knowsIncarnation {
		v.Incarnations[place(voterSet, int(s.wiped)-1)] = 2
	}
	return v
}

// anyChoice reports whether do returns true for some choice of at most one element of each list.
func anyChoice[T any](of [][]T, have []T, do func([]T) bool) bool {
	if len(of) == 0 {
		return do(have)
	}
	for _, x := range of[0] {
		if anyChoice(of[1:], append(have[:len(have):len(have)], x), do) {
			return true
		}
	}
	return anyChoice(of[1:], have, do)
}

type majorityKey struct {
	voterSet, wiped uint8
	answers         [3]uint8
}

// majorityCache caches the results of majority.
var majorityCache = map[majorityKey]bool{}

// majority reports whether some of the answers, given per machine as a bit set by knowsIncarnation, make a countable majority.
func (s *world) majority(voterSet uint8, answers func(i int) uint8) (ok bool) {
	t := majorityKey{voterSet: voterSet, wiped: s.wiped}
	n := 0
	for at, i := range voters[voterSet] {
		if t.answers[at] = answers(i); t.answers[at] > 0 {
			n++
		}
	}
	if n < 2 {
		return false
	}
	ok, known := majorityCache[t]
	if known {
		return ok
	}
	defer func() { majorityCache[t] = ok }()
	var of [3][]consensus.Origin
	for n, i := range voters[voterSet] {
		for k := range uint8(2) {
			if answers(i)&(1<<k) != 0 {
				of[n] = append(of[n], s.origin(voterSet, i, k == 1))
			}
		}
	}
	return anyChoice(of[:], nil, func(vs []consensus.Origin) bool { return len(consensus.Countable(vs)) >= 2 })
}

func bit(b bool) uint8 {
	if b {
		return 1
	}
	return 0
}

func (m *member) sealed() bool { return m.accepted > 0 }

func (k rules) next(s world, to func(world, string, ...any)) {
	for b := range uint8(k.proposers) {
		k.propose(s, b, to)
	}
	if k.claims {
		k.claim(s, to)
	}
	for r, e := range k.rounds {
		if e > 0 {
			k.round(s, uint8(r), e, to)
		}
	}
	k.lose(s, to)
}

func (k rules) propose(s world, b uint8, to func(world, string, ...any)) {
	p := s.p[b]
	for i := range 3 {
		m := s.m[i]
		if m.mode != serving || m.epoch != 1 || p.chosen {
			continue
		}
		seal := Seal{Promised: ballot(m.promised), Accepted: ballot(m.accepted)}
		if !p.based {
			answerBit := uint8(1) << (m.accepted*2 + bit(m.knowsIncarnation))
			if seal.Prepare(ballot(b+1)) && (p.promises[i]&answerBit == 0 || m.promised != b+1) {
				n := s
				n.m[i].promised = b + 1
				n.p[b].promises[i] |= answerBit
				to(n, "voter %d promises decree %d, has %d", i, b+1, m.accepted)
			}
		} else if answerBit := uint8(1) << bit(m.knowsIncarnation); seal.Accept(ballot(b+1), VoterSet{}) && (p.accepts[i]&answerBit == 0 || m.accepted != b+1) {
			n := s
			n.m[i].promised, n.m[i].accepted = b+1, b+1
			n.m[i].unsynced = k.unsynced && (m.accepted == 0 || m.unsynced)
			n.p[b].accepts[i] |= answerBit
			to(n, "voter %d accepts decree %d and is sealed", i, b+1)
		}
	}
	if !p.based {
		k.base(s, b, to)
		return
	}
	need := func() bool { return s.majority(0, func(i int) uint8 { return p.accepts[i] }) }
	if k.skipsMajority {
		need = func() bool { return p.accepts != [3]uint8{} }
	}
	if !p.chosen && need() {
		n := s
		n.p[b].chosen, n.p[b].accepts = true, [3]uint8{}
		to(n, "decree %d is chosen: voter set %d", b+1, p.voterSet)
	}
	if p.chosen {
		for i := range members {
			if s.m[i].epoch < 2 {
				k.takeOver(s, b, i, to)
			}
		}
	}
}

// base continues a proposer with any subset of the promises sent.
func (k rules) base(s world, b uint8, to func(world, string, ...any)) {
	var of [3][]Answer
	for i := range 3 {
		for n := range uint8(6) {
			if s.p[b].promises[i]&(1<<n) != 0 {
				of[i] = append(of[i], Answer{Origin: s.origin(0, i, n%2 == 1), Granted: true,
					Seal: Seal{Accepted: ballot(n / 2), Next: VoterSet{Epoch: uint64(n / 2)}}})
			}
		}
	}
	var done [3]bool
	if (len(of[0])+len(of[1]) == 0) || len(of[0])+len(of[2]) == 0 || len(of[1])+len(of[2]) == 0 {
		return
	}
	anyChoice(of[:], nil, func(answers []Answer) bool {
		r := Round{Voters: 3}
		for _, a := range answers {
			r.Promise(a)
		}
		next, bound, ok := r.Base()
		if !ok || done[next.Epoch] {
			return false
		}
		done[next.Epoch] = true
		n := s
		n.p[b].based, n.p[b].promises = true, [3]uint8{}
		if bound && !k.ignoresAccepted {
			n.p[b].voterSet, n.p[b].namesNewDisk = s.p[next.Epoch-1].voterSet, s.p[next.Epoch-1].namesNewDisk
			to(n, "proposer %d continues decree %d", b+1, next.Epoch)
			return false
		}
		n.p[b].voterSet = b + 1
		to(n, "proposer %d is free", b+1)
		if s.wiped > 0 {
			n.p[b].namesNewDisk = true
			to(n, "proposer %d is free, and names the new disk", b+1)
		}
		return false
	})
}

func newLedger(holder uint8) *idempotency.ClaimTable {
	l := idempotency.NewClaimTable(time.Hour)
	if holder > 0 {
		l.Restore(0, "k", claimID(holder))
	}
	return l
}

func claimID(holder uint8) idempotency.ID {
	if holder == disputed {
		return idempotency.ID{}
	}
	return idempotency.ID{Incarnation: 1, N: uint64(holder)}
}

func holderOf(l *idempotency.ClaimTable) (holder uint8) {
	l.All(func(_ string, id idempotency.ID) {
		if holder = uint8(id.N); id.IsZero() {
			holder = disputed
		}
	})
	return holder
}

// The results of a claim, and of restoring a claim reported by another machine, in the real ledger, by the holder before.
var claimed, restored [disputed + 1][disputed + 1]uint8

func init() {
	for h := range uint8(disputed + 1) {
		for id := range uint8(disputed + 1) {
			if restored[h][id] = h; id > 0 {
				l := newLedger(h)
				l.Restore(0, "k", claimID(id))
				restored[h][id] = holderOf(l)
			}
			if id == 1 || id == 2 {
				l := newLedger(h)
				if _, ok := l.Claim(0, "k", claimID(id)); ok {
					claimed[h][id] = holderOf(l)
				}
			}
		}
	}
}

// takeOver informs a machine that a voter set is chosen: it takes over, starts a repair, or is no voter any more.
func (k rules) takeOver(s world, b uint8, i int, to func(world, string, ...any)) {
	m, voterSet := s.m[i], s.p[b].voterSet
	if place(voterSet, i) < 0 {
		n := s
		n.m[i].mode, n.m[i].epoch, n.m[i].voterSet, n.m[i].hasOldState = apart, 2, voterSet, m.mode == serving
		n.clearRepair(i)
		to(n, "machine %d goes apart", i)
		return
	}
	if s.wiped == uint8(i+1) && !s.p[b].namesNewDisk || m.mode == repairing {
		n := s
		n.m[i] = member{mode: repairing, epoch: 2, voterSet: voterSet}
		n.clearRepair(i)
		to(n, "machine %d repairs its disk in the new epoch", i)
		return
	}
	var handovers []Handover
	var from []member
	var of [members][]int
	for j, x := range s.m {
		e := Handover{Promised: ballot(x.registerPromised), Accepted: ballot(x.registerAccepted)}
		switch {
		case x.mode == serving && x.epoch == 2:
			e.Active = true
		case x.mode == serving && x.epoch == 1 && x.sealed() || x.hasOldState:
			e.Origin = s.origin(0, j, x.knowsIncarnation)
		default:
			continue
		}
		of[j] = append(of[j], len(handovers))
		handovers, from = append(handovers, e), append(from, x)
	}
	anyChoice(of[:], nil, func(picked []int) bool {
		var subset []Handover
		for _, x := range picked {
			subset = append(subset, handovers[x])
		}
		take := SelectHandovers(3, subset)
		if (k.inheritsFromOne || k.skipsMajority) && len(picked) == 1 {
			take = []int{0}
		}
		if take == nil {
			return false
		}
		promised, accepted, _, at := Inherit(subset, take)
		n := s
		x := member{mode: serving, epoch: 2, voterSet: voterSet, registerPromised: uint8(promised.N), registerAccepted: uint8(accepted.N)}
		if src := from[picked[at]]; src.epoch == 2 && !src.hasOldState {
			x.inherited = src.inherited
		} else {
			x.inherited = accepted.N > 0 && !k.countsInherited
		}
		if k.dropsPromises {
			x.registerPromised = x.registerAccepted
		}
		if m.mode == serving && !k.inheritsFromOne {
			x.holder = m.holder
		}
		for _, t := range take {
			x.holder = restored[x.holder][from[picked[t]].holder]
		}
		n.m[i] = x
		n.clearRepair(i)
		to(n, "machine %d takes over from %d others, holds %d", i, len(take), x.holder)
		return false
	})
}

// clearRepair drops the answers for the repair of machine i when its voter set changes.
func (s *world) clearRepair(i int) {
	if s.wiped == uint8(i+1) {
		s.repairAnswers = [2]repairAnswer{}
	}
}

func (k rules) claim(s world, to func(world, string, ...any)) {
	for id := range uint8(2) {
		if s.won[id] {
			continue
		}
		for e := range uint8(2) {
			for i := range members {
				m := s.m[i]
				grants := m.mode == serving && m.epoch == e+1 && (e == 1 || !m.sealed())
				if k.grantsAfterSeal && e == 0 && i < 3 && (m.mode == serving || m.hasOldState) {
					grants = true
				}
				holder := claimed[m.holder][id+1]
				if answerBit := uint8(1) << bit(m.knowsIncarnation && m.epoch == e+1); grants && holder > 0 && (s.grants[e][id][i]&answerBit == 0 || m.holder != holder) {
					n := s
					n.m[i].holder = holder
					n.grants[e][id][i] |= answerBit
					to(n, "machine %d grants to %d in epoch %d", i, id+1, e+1)
				}
			}
			for voterSet := range uint8(3) {
				if (voterSet > 0) == (e == 1) && (e == 0 || s.setChosen(voterSet)) && s.majority(voterSet, func(i int) uint8 { return s.grants[e][id][i] }) {
					n := s
					n.won[id] = true
					n.grants[0][id], n.grants[1][id] = [members]uint8{}, [members]uint8{}
					to(n, "%d wins in epoch %d", id+1, e+1)
				}
			}
		}
	}
}

func (s *world) setChosen(voterSet uint8) bool {
	for _, p := range s.p {
		if p.chosen && p.voterSet == voterSet {
			return true
		}
	}
	return false
}

// round continues one round of the register, in its epoch.
func (k rules) round(s world, b, e uint8, to func(world, string, ...any)) {
	r := s.r[b]
	for i := range members {
		m := s.m[i]
		if m.mode != serving || m.epoch != e || e == 1 && m.sealed() || r.acked {
			continue
		}
		a := consensus.Acceptor{Promised: ballot(m.registerPromised), Accepted: ballot(m.registerAccepted)}
		if !r.based {
			answerBit := uint32(1) << (m.registerAccepted*4 + bit(m.inherited)*2 + bit(m.knowsIncarnation))
			if a.Prepare(ballot(b+1)) && (r.promises[i]&answerBit == 0 || m.registerPromised != b+1) {
				n := s
				n.m[i].registerPromised = b + 1
				n.r[b].promises[i] |= answerBit
				to(n, "machine %d promises round %d in epoch %d, has %d", i, b+1, e, m.registerAccepted)
			}
		} else if answerBit := uint8(1) << bit(m.knowsIncarnation); a.CanAccept(ballot(b+1), configuration.Ballot{}) && (r.accepts[i]&answerBit == 0 || m.registerAccepted != b+1) {
			a.Accept(ballot(b+1), nil)
			n := s
			n.m[i].registerPromised, n.m[i].registerAccepted, n.m[i].inherited = uint8(a.Promised.N), b+1, false
			n.r[b].accepts[i] |= answerBit
			to(n, "machine %d accepts round %d in epoch %d", i, b+1, e)
		}
	}
	for voterSet := range uint8(3) {
		if (voterSet > 0) != (e == 2) || voterSet > 0 && !s.setChosen(voterSet) {
			continue
		}
		if r.based {
			if !r.acked && s.majority(voterSet, func(i int) uint8 { return r.accepts[i] }) {
				n := s
				n.r[b].acked, n.r[b].accepts = true, [members]uint8{}
				to(n, "round %d is chosen", b+1)
			}
			continue
		}
		var of [3][]consensus.Promise
		for n, i := range voters[voterSet] {
			for t := range uint8(20) {
				if r.promises[i]&(1<<t) != 0 {
					of[n] = append(of[n], consensus.Promise{Origin: s.origin(voterSet, i, t%2 == 1), Granted: true, Accepted: ballot(t / 4), Inherited: t/2%2 == 1})
				}
			}
		}
		if (len(of[0])+len(of[1]) == 0) || len(of[0])+len(of[2]) == 0 || len(of[1])+len(of[2]) == 0 {
			continue
		}
		var done [2][rounds + 1]bool
		anyChoice(of[:], nil, func(ps []consensus.Promise) bool {
			r := consensus.Round{Voters: 3}
			for _, p := range ps {
				r.Add(p)
			}
			_, on, chosen, ok := r.Base()
			if !ok || done[bit(chosen)][on.N] {
				return false
			}
			done[bit(chosen)][on.N] = true
			n := s
			n.r[b].based, n.r[b].base, n.r[b].promises = true, uint8(on.N), [members]uint32{}
			if chosen && on.N > 0 {
				n.r[on.N-1].acked, n.r[on.N-1].accepts = true, [members]uint8{}
			}
			to(n, "round %d is based on %d, chosen %v", b+1, on.N, chosen && on.N > 0)
			return false
		})
	}
}

// lose makes a machine lose its memory or its disk, and continues the repair.
func (k rules) lose(s world, to func(world, string, ...any)) {
	for i := range members {
		m := s.m[i]
		if k.unsynced && !s.crash && m.unsynced {
			n := s
			n.crash = true
			n.m[i].accepted, n.m[i].unsynced = 0, false
			to(n, "voter %d loses its memory", i)
		}
		if k.losesDisk && s.wiped == 0 {
			n := s
			n.wiped = uint8(i + 1)
			n.m[i] = member{}
			to(n, "machine %d loses its disk", i)
		}
	}
	if s.wiped == 0 {
		return
	}
	w := int(s.wiped) - 1
	switch m := s.m[w]; m.mode {
	case unknown:
		for j, x := range s.m {
			if j == w || x.epoch == 0 {
				continue
			}
			n := s
			n.m[w] = member{mode: apart, epoch: x.epoch, voterSet: x.voterSet}
			if place(x.voterSet, w) >= 0 {
				n.m[w].mode = repairing
			}
			to(n, "machine %d learns of epoch %d from %d", w, x.epoch, j)
		}
	case repairing:
		at := 0
		for _, j := range voters[m.voterSet] {
			if j == w {
				continue
			}
			if x := s.m[j]; x.mode == serving && x.epoch == m.epoch && !s.repairAnswers[at].received {
				n := s
				n.m[j].knowsIncarnation = true
				n.repairAnswers[at] = repairAnswer{true, x}
				to(n, "machine %d answers the repair, holds %d", j, x.holder)
			}
			at++
		}
		if s.repairAnswers[0].received && s.repairAnswers[1].received {
			n := s
			x := member{mode: serving, epoch: m.epoch, voterSet: m.voterSet, knowsIncarnation: true}
			var seal Seal
			inherited := [2]bool{}
			for t, o := range s.repairAnswers {
				seal.Learn(Seal{Promised: ballot(o.m.promised), Accepted: ballot(o.m.accepted)})
				x.holder = restored[x.holder][o.m.holder]
				x.registerPromised = max(x.registerPromised, o.m.registerPromised)
				x.registerAccepted = max(x.registerAccepted, o.m.registerAccepted)
				inherited[t] = o.m.inherited
			}
			x.promised, x.accepted = uint8(seal.Promised.N), uint8(seal.Accepted.N)
			x.inherited = true
			for t, o := range s.repairAnswers {
				if o.m.registerAccepted == x.registerAccepted && !inherited[t] {
					x.inherited = false
				}
			}
			n.m[w] = x
			n.repairAnswers = [2]repairAnswer{}
			to(n, "machine %d has completed its repair", w)
		}
	}
}

func violation(s world) string {
	if s.won[0] && s.won[1] {
		return "two have the key"
	}
	if s.p[0].chosen && s.p[1].chosen && s.p[0].voterSet != s.p[1].voterSet {
		return "two successors of one epoch"
	}
	active1, active2 := 0, 0
	for i, m := range s.m {
		if m.mode == serving && m.epoch == 1 && i < 3 && !m.sealed() {
			active1++
		}
		if m.mode == serving && m.epoch == 2 {
			active2++
		}
	}
	if active1 >= 2 && active2 >= 2 {
		return "two epochs grant"
	}
	for b := range rounds {
		for c := b + 1; c < rounds; c++ {
			on := c + 1
			for on > b+1 && s.r[on-1].based {
				on = int(s.r[on-1].base)
			}
			if s.r[b].acked && s.r[c].acked && on != b+1 {
				return "a chosen value is lost"
			}
		}
	}
	return ""
}

var exploreLarge = flag.Bool("relief.all", false, "walk the large spaces too")

func TestWholeSpaceOfEpochChanges(t *testing.T) {
	var first world
	for i := range 3 {
		first.m[i] = member{mode: serving, epoch: 1}
	}
	first.m[3] = member{mode: apart, epoch: 1}
	for _, c := range []struct {
		name   string
		k      rules
		reason string // of the violation to be found; "": none
	}{
		{"one proposer, a key", rules{proposers: 1, claims: true}, ""},
		{"two proposers, a key", rules{largeSpace: true, proposers: 2, claims: true}, ""},
		{"a key, a disk lost", rules{largeSpace: true, proposers: 1, firstPhaseDone: true, claims: true, losesDisk: true}, ""},
		{"two proposers, a disk lost", rules{proposers: 2, losesDisk: true}, ""},
		{"rounds in both epochs", rules{largeSpace: true, proposers: 1, firstPhaseDone: true, rounds: [rounds]uint8{1, 1, 2, 2}}, ""},
		{"rounds in both epochs, crossed", rules{proposers: 1, firstPhaseDone: true, rounds: [rounds]uint8{1, 2, 1, 2}}, ""},
		{"rounds in both epochs, a disk lost", rules{proposers: 1, firstPhaseDone: true, rounds: [rounds]uint8{1, 2}, losesDisk: true}, ""},
		{"active without a majority sealed", rules{proposers: 1, claims: true, skipsMajority: true}, "two epochs grant"},
		{"state of one old voter alone", rules{proposers: 1, claims: true, inheritsFromOne: true}, "two have the key"},
		{"a seal that is not synced", rules{proposers: 1, claims: true, unsynced: true}, "two epochs grant"},
		{"a sealed voter still grants", rules{proposers: 1, claims: true, grantsAfterSeal: true}, "two have the key"},
		{"a proposer that ignores accepted decrees", rules{proposers: 2, ignoresAccepted: true}, "two successors of one epoch"},
		{"an inherited value counts as chosen", rules{proposers: 1, firstPhaseDone: true, rounds: [rounds]uint8{1, 1, 2, 2}, firstAccepted: true, countsInherited: true}, "a chosen value is lost"},
		{"promises are not inherited", rules{proposers: 1, firstPhaseDone: true, rounds: [rounds]uint8{1, 2, 1, 2}, firstAccepted: true, dropsPromises: true}, "a chosen value is lost"},
	} {
		start := time.Now()
		first := first
		if c.k.firstPhaseDone {
			first.p[0].based, first.p[0].voterSet = true, 1
			first.r[0].based = true
			for i := range 3 {
				first.m[i].promised, first.m[i].registerPromised = 1, 1
			}
		}
		if c.k.firstAccepted {
			first.m[1].registerAccepted, first.r[0].accepts[1] = 1, 1
			for r := 1; r < rounds; r++ {
				if c.k.rounds[r] == 1 {
					first.r[r].based, first.m[0].registerPromised, first.m[2].registerPromised = true, uint8(r+1), uint8(r+1)
				}
			}
		}
		if c.k.largeSpace && !*exploreLarge || modelcheck.RaceEnabled && c.reason == "" {
			continue
		}
		n, err := modelcheck.Explore(first, c.k.next, violation, 6e6)
		var b *modelcheck.Violation
		switch {
		case err != nil && !errors.As(err, &b), c.reason == "" && err != nil:
			t.Errorf("%s: %v", c.name, err)
		case c.reason != "" && (err == nil || b.Reason != c.reason):
			t.Errorf("%s: found %v in %d states", c.name, err, n)
		}
		t.Logf("%s: %d states in %v", c.name, n, time.Since(start).Round(time.Millisecond))
		if b != nil && c.reason != "" {
			t.Logf("\t%v", b)
		}
	}
}
