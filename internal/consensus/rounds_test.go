package consensus

import (
	"flag"
	"testing"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/modelcheck"
)

// These tests explore all states of three voters and two or three rounds, of ballots 1 to 3, that run at any time. Messages are
// lost, delayed and repeated; voters lose their memory, the first of them also its disk, which it then repairs; proposers stop
// anywhere. A value is identified by its ballot and by the value that it was built on. A voter behaves as in package store: it
// answers once its state is on disk; a promise binds the voter at once, an accepted value counts once it is on disk.

const (
	members = 3
	rounds  = 3
)

const (
	noWrite uint8 = iota
	putPromise
	putAccept
	putIncarnation
	putRepaired
)

type write struct {
	kind, b, accepted uint8
	incarnation       uint8
}

type member struct {
	diskLost                       bool  // and not repaired yet
	promised, accepted             uint8 // in memory
	incarnation                    uint8 // of the first voter, as this one knows it
	diskPromised, diskAccepted     uint8 // on disk
	diskIncarnation                uint8
	queue                          [2]write
	answered                       bool // it sent the following to the first voter for its repair
	repairPromised, repairAccepted uint8
}

type round struct {
	based    bool
	base     uint8           // the ballot that its value was built on, if based
	acked    bool            // somebody considered its value chosen
	promises [members]uint16 // bit set of answers sent, by accepted ballot and incarnation: 4 x 3
	accepts  [members]uint8  // bit set of answers sent, by incarnation
}

type world struct {
	m                        [members]member
	r                        [rounds + 1]round // by ballot
	repair                   uint8             // the incarnation under which the first voter repairs its disk; 0: no repair
	memoryLosses, diskLosses uint8             // so far
}

type rules struct {
	// Mutants, each a wrong implementation.
	answersBeforeWrite, losesPromises, countsAll, repairsFromOne, repairsWithoutPromises, missesDiskLoss, anyBase, writesIncarnationFirst bool
	memoryLosses, diskLosses                                                                                                              uint8
	extraRounds                                                                                                                           uint8 // beyond two
	largeSpace                                                                                                                            bool  // explored only with -ballot.all
	cache                                                                                                                                 map[[members]uint16]outcomes
}

// outcomes are the possible results of a round over all subsets of its promises: whether each ballot can be the base, and
// whether it can be considered chosen.
type outcomes struct{ base, chosen [rounds + 1]bool }

func ballot(b uint8) (x configuration.Ballot) {
	if b > 0 {
		x = configuration.Ballot{N: uint64(b), Proposer: 1}
	}
	return x
}

func origin(by int, incarnation uint8) Origin {
	return Origin{Voter: by, Incarnations: []uint64{uint64(incarnation), 1, 1}}
}

func (m *member) push(w write) bool {
	for i := range m.queue {
		if m.queue[i] == w {
			return false
		}
		if m.queue[i].kind == noWrite {
			m.queue[i] = w
			return true
		}
	}
	return false
}

func (m *member) acceptQueued() bool {
	return m.queue[0].kind == putAccept || m.queue[1].kind == putAccept
}

func (k rules) next(s world, to func(world, string, ...any)) {
	canon := func(s world, event string, args ...any) { to(s.canonical(), event, args...) }
	for b := uint8(1); b <= 2+k.extraRounds; b++ {
		k.round(s, b, canon)
	}
	for i := range members {
		k.member(s, i, canon)
	}
	if s.m[0].diskLost {
		k.stepRepair(s, canon)
	}
}

// canonical returns s or s with its last two voters swapped, which are interchangeable.
func (s world) canonical() world {
	x := s
	x.m[1], x.m[2] = s.m[2], s.m[1]
	for b := range x.r {
		r := &x.r[b]
		r.promises[1], r.promises[2] = r.promises[2], r.promises[1]
		r.accepts[1], r.accepts[2] = r.accepts[2], r.accepts[1]
	}
	if x.rank() < s.rank() {
		return x
	}
	return s
}

// rank is a hash by which canonical picks one of the two.
func (s *world) rank() (n uint64) {
	for i := 1; i < members; i++ {
		m := s.m[i]
		n *= 2654435761
		for _, x := range []uint8{m.promised, m.accepted, m.diskPromised, m.diskAccepted, m.incarnation, m.queue[0].kind, m.queue[0].b, m.queue[1].kind, m.queue[1].b} {
			n = n<<3 + uint64(x)
		}
		for b := 1; b <= rounds; b++ {
			n += uint64(s.r[b].promises[i])*40503<<(b*4) + uint64(s.r[b].accepts[i])<<(b*3)
		}
	}
	return n
}

func (k rules) round(s world, b uint8, to func(world, string, ...any)) {
	r := s.r[b]
	if !r.based {
		o := k.outcomes(r.promises)
		for base := range uint8(rounds + 1) {
			if o.base[base] {
				n := s
				n.r[b].based, n.r[b].base, n.r[b].promises = true, base, [members]uint16{}
				to(n, "ballot %d is based on %d", b, base)
			}
			if o.chosen[base] && base > 0 && !s.r[base].acked {
				n := s
				n.r[b].based, n.r[b].base, n.r[b].promises = true, base, [members]uint16{}
				n.r[base].acked, n.r[base].accepts = true, [members]uint8{}
				to(n, "ballot %d finds %d chosen", b, base)
			}
		}
	} else if !r.acked && k.hasMajority(r.accepts) {
		n := s
		n.r[b].acked, n.r[b].accepts = true, [members]uint8{}
		to(n, "ballot %d is chosen", b)
	}
	for i := range members { // its messages reach voters at any time and any number of times
		m := s.m[i]
		if m.diskLost || m.acceptQueued() {
			continue
		}
		a := Acceptor{Promised: ballot(m.promised), Accepted: ballot(m.accepted)}
		if !r.based {
			n, bit := s, uint16(1)<<(m.accepted*3+m.incarnation-1)
			if r.promises[i]&bit == 0 && a.Prepare(ballot(b)) && m.push(write{putPromise, b, m.accepted, m.incarnation}) {
				m.promised = uint8(a.Promised.N)
				if k.answersBeforeWrite {
					n.r[b].promises[i] |= bit
				}
				n.m[i] = m
				to(n, "member %d promises %d, has %d, under %d", i, b, m.accepted, m.incarnation)
			}
		} else if r.accepts[i]&(1<<m.incarnation) == 0 && a.CanAccept(ballot(b), configuration.Ballot{}) && m.push(write{putAccept, b, 0, m.incarnation}) {
			n := s
			if k.answersBeforeWrite {
				n.r[b].accepts[i] |= 1 << m.incarnation
			}
			n.m[i] = m
			to(n, "member %d accepts %d under %d", i, b, m.incarnation)
		}
	}
}

func (k rules) countable(vs []Origin) int {
	if k.countsAll {
		return len(vs)
	}
	return len(Countable(vs))
}

// hasMajority reports whether some of the answers, at most one of each voter, make a majority.
func (k rules) hasMajority(answers [members]uint8) bool {
	var vs [members][]Origin
	for i := range members {
		for incarnation := uint8(1); incarnation <= 3; incarnation++ {
			if answers[i]&(1<<incarnation) != 0 {
				vs[i] = append(vs[i], origin(i, incarnation))
			}
		}
	}
	return anyChoice(vs[:], nil, func(vs []Origin) bool { return k.countable(vs) >= Majority(members) })
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

func (k rules) outcomes(answers [members]uint16) (o outcomes) {
	if o, ok := k.cache[answers]; ok {
		return o
	}
	var ps [members][]Promise
	for i := range members {
		for n := range uint8(12) {
			if answers[i]&(1<<n) != 0 {
				p := Promise{Origin: origin(i, n%3+1), Granted: true, Accepted: ballot(n / 3)}
				if k.countsAll {
					p.Origin.Incarnations[0] = 1
				}
				ps[i] = append(ps[i], p)
			}
		}
	}
	anyChoice(ps[:], nil, func(ps []Promise) bool {
		r := Round{Voters: members}
		for _, p := range ps {
			r.Add(p)
		}
		if _, of, chosen, ok := r.Base(); ok {
			o.base[of.N] = true
			o.chosen[of.N] = o.chosen[of.N] || chosen
			for _, p := range ps {
				o.base[p.Accepted.N] = o.base[p.Accepted.N] || k.anyBase
			}
		}
		return false
	})
	k.cache[answers] = o
	return o
}

func (k rules) member(s world, i int, to func(world, string, ...any)) {
	m := s.m[i]
	if m.queue[0].kind != noWrite { // all queued writes reach the disk; a partial write equals a write before the rest was queued
		n := s
		m.queue = [2]write{}
		for _, w := range s.m[i].queue {
			switch w.kind {
			case putPromise:
				if !k.losesPromises {
					m.diskPromised = w.b
				}
				if !s.r[w.b].based {
					n.r[w.b].promises[i] |= 1 << (w.accepted*3 + w.incarnation - 1)
				}
			case putAccept:
				a := Acceptor{Promised: ballot(m.promised), Accepted: ballot(m.accepted)}
				a.Accept(ballot(w.b), nil)
				m.promised, m.accepted = uint8(a.Promised.N), uint8(a.Accepted.N)
				m.diskPromised, m.diskAccepted = max(m.diskPromised, w.b), w.b
				if !s.r[w.b].acked {
					n.r[w.b].accepts[i] |= 1 << w.incarnation
				}
			case putIncarnation:
				m.diskIncarnation = w.incarnation
				if w.incarnation == s.repair {
					m.answered, m.repairPromised, m.repairAccepted = true, m.promised, m.accepted
				}
			case putRepaired:
				m.diskPromised, m.diskAccepted, m.diskIncarnation, m.incarnation, m.diskLost = m.promised, m.accepted, w.incarnation, w.incarnation, false
				n.repair = 0
				for j := 1; j < members; j++ {
					n.m[j].clearRepairAnswer()
				}
			}
		}
		n.m[i] = m
		to(n, "member %d: on disk %v", i, s.m[i].queue)
	}
	restart := func(n world, promised, accepted, incarnation uint8) world {
		x := member{promised: promised, accepted: accepted, incarnation: incarnation, diskPromised: promised, diskAccepted: accepted, diskIncarnation: incarnation,
			answered: m.answered, repairPromised: m.repairPromised, repairAccepted: m.repairAccepted}
		if i == 0 {
			if x.diskLost = incarnation == 0; x.diskLost {
				n.repair = 0
				for j := 1; j < members; j++ {
					n.m[j].clearRepairAnswer()
				}
			}
		}
		n.m[i] = x
		return n
	}
	m = s.m[i]
	if s.memoryLosses < k.memoryLosses {
		n := s
		n.memoryLosses++
		to(restart(n, m.diskPromised, m.diskAccepted, m.diskIncarnation), "member %d loses its memory", i)
	}
	if i == 0 && s.diskLosses < k.diskLosses {
		n := s
		n.diskLosses++
		incarnation := uint8(0)
		if k.missesDiskLoss {
			incarnation = m.diskIncarnation
		}
		to(restart(n, 0, 0, incarnation), "member 0 loses its disk")
	}
}

func (m *member) clearRepairAnswer() { m.answered, m.repairPromised, m.repairAccepted = false, 0, 0 }

// stepRepair continues the repair of the first voter.
func (k rules) stepRepair(s world, to func(world, string, ...any)) {
	if s.repair == 0 {
		if incarnation := max(s.m[1].incarnation, s.m[2].incarnation) + 1; incarnation <= 3 {
			n := s
			n.repair = incarnation
			to(n, "member 0 repairs under %d", incarnation)
		}
		return
	}
	answered := 0
	x := s.m[0]
	x.promised, x.accepted = 0, 0
	for j := 1; j < members; j++ {
		m := s.m[j]
		if m.answered {
			answered++
			x.accepted = max(x.accepted, m.repairAccepted)
			if !k.repairsWithoutPromises {
				x.promised = max(x.promised, m.repairPromised)
			}
		} else if m.incarnation <= s.repair && !m.acceptQueued() && m.push(write{putIncarnation, 0, 0, s.repair}) {
			m.incarnation = s.repair
			n := s
			n.m[j] = m
			to(n, "member %d learns of incarnation %d", j, s.repair)
		}
	}
	if (answered == members-1 || answered == 1 && k.repairsFromOne) && x.queue[0].kind == noWrite {
		x.push(write{putRepaired, 0, 0, s.repair})
		if k.writesIncarnationFirst { // mutant: the incarnation reaches the disk before the repaired state
			x.diskIncarnation = s.repair
		}
		n := s
		n.m[0] = x
		to(n, "member 0 takes over the answers: promised %d, accepted %d", x.promised, x.accepted)
	}
}

// violation reports two values that were considered chosen of which neither is built on the other.
func violation(s world) string {
	for b := uint8(1); b <= rounds; b++ {
		for c := b + 1; c <= rounds; c++ {
			on := c
			for on > b && s.r[on].based {
				on = s.r[on].base
			}
			if s.r[b].acked && s.r[c].acked && on != b {
				return "a chosen value is lost"
			}
		}
	}
	return ""
}

var exploreLarge = flag.Bool("ballot.all", false, "walk the large space too")

func TestWholeSpaceOfRounds(t *testing.T) {
	var first world
	for i := range members {
		first.m[i].incarnation, first.m[i].diskIncarnation = 1, 1
	}
	for _, c := range []struct {
		name string
		k    rules
		ok   bool
	}{
		{"three rounds", rules{extraRounds: 1}, true},
		{"memory lost twice", rules{memoryLosses: 2}, true},
		{"three rounds and memory lost", rules{memoryLosses: 1, extraRounds: 1}, true},
		{"a disk lost", rules{diskLosses: 1}, true},
		{"memory and a disk lost", rules{memoryLosses: 1, diskLosses: 1}, true},
		{"a disk lost twice", rules{diskLosses: 2, largeSpace: true}, true},
		{"answered before it is on disk", rules{memoryLosses: 1, answersBeforeWrite: true}, false},
		{"a promise forgotten at a restart", rules{memoryLosses: 1, losesPromises: true}, false},
		{"answers from before and after a loss counted together", rules{diskLosses: 1, countsAll: true}, false},
		{"a repair from one other voter", rules{diskLosses: 1, repairsFromOne: true}, false},
		{"a repair without promises", rules{diskLosses: 1, repairsWithoutPromises: true}, false},
		{"a lost disk that is not noticed", rules{diskLosses: 1, missesDiskLoss: true}, false},
		{"an incarnation on disk before the repaired state", rules{memoryLosses: 1, diskLosses: 1, writesIncarnationFirst: true}, false},
		{"a base that is not the highest", rules{anyBase: true, extraRounds: 1}, false},
	} {
		if c.k.largeSpace && !*exploreLarge || modelcheck.RaceEnabled && (c.k.diskLosses > 0 || c.k.extraRounds > 0) {
			continue
		}
		start := time.Now()
		c.k.cache = map[[members]uint16]outcomes{}
		n, err := modelcheck.Explore(first, c.k.next, violation, 4e6)
		if problem := modelcheck.CheckResult(c.ok, n, err); problem != nil {
			t.Errorf("%s: %v", c.name, problem)
		}
		t.Logf("%s: %d states in %v", c.name, n, time.Since(start).Round(time.Millisecond))
	}
}
