package idempotency

import (
	"flag"
	"testing"
	"time"

	"saltmast/internal/consensus"
	"saltmast/internal/modelcheck"
)

// This file checks every reachable state of one key, three voters and some claims: messages are lost, delayed and duplicated,
// voters lose their memory or their disk and repair it, claimants give up, win, release and die (take no further step). A voter
// behaves as in package store: it reports a grant, and its new incarnation, once that is on disk.

const members = 3

type write struct {
	kind uint8 // one of the put constants
	id   uint8 // of a claim
	from uint8 // of putIncarnation: the voter that repairs
	incs [members]uint8
}

const (
	none uint8 = iota
	putClaim
	putRelease
	putIncarnation
	putRepaired
)

type member struct {
	mode     uint8
	holder   uint8 // of the key, in memory
	incs     [members]uint8
	disk     uint8 // holder of the key, on disk
	diskIncs [members]uint8
	queue    [2]write // writes under way
	inc      uint8    // incarnation of the repair under way
}

const (
	serving uint8 = iota
	repairing
)

// report is what one voter reports to another that repairs.
type report struct {
	received bool
	holder   uint8
	incs     [members]uint8
}

const nobody = 9 // holder of a key for which two claims were reported

// The states of a claim.
const (
	asking uint8 = iota
	won
	released
)

type world struct {
	m       [members]member
	claims  [3]uint8
	grants  [3][members]uint32       // sent so far, as sets of the incarnations in their origins; each may arrive at any time
	reports [members][members]report // to the first by the second, since the first last began to repair
	lost    struct{ memory, disks uint8 }
}

// rules sets the bounds of a run and the rules that a mutant of the protocol breaks.
type rules struct {
	memory, disks uint8                    // how many losses of memory and of disks happen at most
	neverReleased bool                     // no claimant releases its claim
	long          bool                     // run only with -tally.all
	claims        uint8                    // number of claims; 0: two
	won           map[[members]uint32]bool // results of wins

	grantBeforeWrite       bool // a grant is sent before it is on disk
	countUnsound           bool // answers from before and after a loss are counted together
	repairFromFewer        bool // a repair takes one report less than it needs
	releaseAny             bool // a release removes the claim of any holder
	firstReportWins        bool // of two claims reported for a key, the first stays
	lossUnnoticed          bool // a voter that lost its disk keeps its incarnation
	incarnationBeforeWrite bool // a new incarnation is acknowledged before it is on disk
	splitRepairWrite       bool // a repaired voter's incarnation is on disk before its claims
	repairFromRepairing    bool // a repair takes reports of voters that are repairing
}

// packIncs encodes three incarnations of up to 3 each in six bits.
func packIncs(incs [members]uint8) uint8 { return incs[0]<<4 | incs[1]<<2 | incs[2] }

func origin(by int, packed uint8) consensus.Origin {
	return consensus.Origin{Voter: by, Incarnations: []uint64{uint64(packed >> 4), uint64(packed >> 2 & 3), uint64(packed & 3)}}
}

// incsBit returns the bit of packed incarnations, each from 1 to 3, in a set.
func incsBit(packed uint8) uint32 {
	return 1 << ((packed>>4-1)*9 + (packed>>2&3-1)*3 + (packed&3 - 1))
}

// packedOfBit returns the packed incarnations of bit number n of a set.
func packedOfBit(n int) uint8 { return uint8(n/9+1)<<4 | uint8(n/3%3+1)<<2 | uint8(n%3+1) }

func claimID(id uint8) ID { return ID{Incarnation: 1, N: uint64(id)} }

// newTable returns a ClaimTable in which the key has the given holder.
func newTable(holder uint8) *ClaimTable {
	table := NewClaimTable(time.Hour)
	switch holder {
	case none:
	case nobody:
		table.Restore(0, "k", ID{})
	default:
		table.Claim(0, "k", claimID(holder))
	}
	return table
}

// holderIn returns the holder of the key in a table.
func holderIn(table *ClaimTable) (holder uint8) {
	table.All(func(_ string, id ID) {
		if holder = uint8(id.N); id.IsZero() {
			holder = nobody
		}
	})
	return holder
}

// The results of Claim and Release of a ClaimTable, by holder and id.
var claimResults, releaseResults [nobody + 1][4]struct {
	holder uint8
	ok     bool
}

func init() {
	for _, holder := range []uint8{none, 1, 2, 3, nobody} {
		for id := uint8(1); id <= 3; id++ {
			table := newTable(holder)
			_, ok := table.Claim(0, "k", claimID(id))
			claimResults[holder][id].holder, claimResults[holder][id].ok = holderIn(table), ok
			table = newTable(holder)
			ok = table.Release("k", claimID(id))
			releaseResults[holder][id].holder, releaseResults[holder][id].ok = holderIn(table), ok
		}
	}
}

func claimKey(holder, id uint8) (uint8, bool) {
	return claimResults[holder][id].holder, claimResults[holder][id].ok
}

func releaseKey(holder, id uint8) (uint8, bool) {
	return releaseResults[holder][id].holder, releaseResults[holder][id].ok
}

func (m *member) push(w write) bool {
	for i := range m.queue {
		if m.queue[i] == w {
			return false // the same write is under way
		}
		if m.queue[i].kind == none {
			m.queue[i] = w
			return true
		}
	}
	return false
}

func (r rules) next(s world, to func(world, string, ...any)) {
	toCanonical := func(s world, event string, args ...any) { to(s.canonical(), event, args...) }
	for id := range max(2, r.claims) {
		r.stepClaim(s, id, toCanonical)
	}
	for i := range members {
		r.stepMember(s, i, toCanonical)
	}
}

// canonical returns s or s with its last two members swapped, so that states which differ only in these count as one.
func (s world) canonical() world {
	x := s
	swap := func(v *[members]uint8) { v[1], v[2] = v[2], v[1] }
	x.m[1], x.m[2] = s.m[2], s.m[1]
	x.reports[1], x.reports[2] = s.reports[2], s.reports[1]
	for i := range members {
		m := &x.m[i]
		swap(&m.incs)
		swap(&m.diskIncs)
		for j := range m.queue {
			w := &m.queue[j]
			swap(&w.incs)
			if w.from > 0 {
				w.from = 3 - w.from
			}
		}
		t := &x.reports[i]
		t[1], t[2] = t[2], t[1]
		for j := range t {
			swap(&t[j].incs)
		}
	}
	for id := range x.grants {
		g := &x.grants[id]
		for i := range g {
			var out uint32
			for b := range 27 {
				if g[i]&(1<<b) != 0 {
					out |= 1 << (b/9*9 + b%3*3 + b/3%3)
				}
			}
			g[i] = out
		}
		g[1], g[2] = g[2], g[1]
	}
	if x.sortKey() < s.sortKey() {
		return x
	}
	return s
}

// sortKey orders a state and its swapped form. Where both have the same key, neither is merged into the other.
func (s *world) sortKey() (n uint64) {
	for i := 1; i < members; i++ {
		m := s.m[i]
		n = n<<32 + uint64(m.holder)<<28 + uint64(m.disk)<<24 + uint64(m.incs[0])<<20 + uint64(m.queue[0].kind)<<16 + uint64(m.queue[1].kind)<<12 + uint64(m.mode)<<8
		n += uint64(s.grants[0][i])*2654435761 + uint64(s.grants[1][i])*40503
	}
	return n
}

func (r rules) stepClaim(s world, id uint8, to func(world, string, ...any)) {
	switch s.claims[id] {
	case asking:
		if w, ok := r.won[s.grants[id]]; w || !ok && r.wins(s.grants[id], nil) {
			r.won[s.grants[id]] = true
			n := s
			n.claims[id] = won
			to(n, "%d wins", id)
		} else {
			r.won[s.grants[id]] = false
		}
		fallthrough
	case won:
		if id > 0 && !r.neverReleased { // by symmetry, one claim is never released
			n := s
			n.claims[id] = released
			to(n, "%d releases", id)
		}
	}
	for i := range members { // its messages reach voters at any time, any number of times
		if m := s.m[i]; m.mode == serving {
			n := s
			if holder, granted := claimKey(m.holder, id+1); granted {
				m.holder = holder
				packed := packIncs(m.incs)
				if r.grantBeforeWrite {
					n.grants[id][i] |= incsBit(packed)
				}
				if s.grants[id][i]&incsBit(packed) == 0 || m.disk != id+1 {
					if m.push(write{kind: putClaim, id: id + 1, incs: m.incs}) {
						n.m[i] = m
						to(n, "member %d grants to %d under %02o", i, id, packed)
					}
				}
			}
		}
		if m := s.m[i]; s.claims[id] == released {
			holder, freed := releaseKey(m.holder, id+1)
			if r.releaseAny && m.holder != none {
				holder, freed = none, true
			}
			if freed && m.push(write{kind: putRelease}) {
				m.holder = holder
				n := s
				n.m[i] = m
				to(n, "member %d learns that %d is released", i, id)
			}
		}
	}
}

// wins reports whether some of the grants sent, at most one of each voter, make a majority together with those received.
func (r rules) wins(sent [members]uint32, received []consensus.Origin) bool {
	c := GrantCounter{Voters: members}
	for _, h := range received {
		c.Add(Grant{Origin: h, Granted: true})
	}
	if result, _ := c.Result(); result == Won || r.countUnsound && len(received) >= consensus.Majority(members) {
		return true
	}
	from := 0
	if len(received) > 0 {
		from = received[len(received)-1].Voter + 1
	}
	for i := from; i < members; i++ {
		for b := range 27 {
			if sent[i]&(1<<b) != 0 && r.wins(sent, append(received[:len(received):len(received)], origin(i, packedOfBit(b)))) {
				return true
			}
		}
	}
	return false
}

func (r rules) stepMember(s world, i int, to func(world, string, ...any)) {
	m := s.m[i]
	if m.queue[0].kind != none { // all pending writes reach the disk; the state before the later ones were queued covers a partial write
		n := s
		m.queue = [2]write{}
		for _, w := range s.m[i].queue {
			switch w.kind {
			case putClaim:
				m.disk = w.id
				n.grants[w.id-1][i] |= incsBit(packIncs(w.incs))
			case putRelease:
				m.disk = none
			case putIncarnation:
				m.diskIncs[w.from] = w.incs[w.from]
				if s.m[w.from].mode == repairing && s.m[w.from].inc == w.incs[w.from] {
					n.reports[w.from][i] = report{true, m.holder, m.incs}
				}
			case putRepaired:
				m.disk, m.diskIncs = m.holder, w.incs
				m.incs, m.mode, m.inc = w.incs, serving, 0
				n.reports[i] = [members]report{}
			}
		}
		n.m[i] = m
		to(n, "member %d: on disk %v", i, s.m[i].queue)
	}
	m = s.m[i]
	if s.lost.memory < r.memory {
		n := s
		n.lost.memory++
		n.restart(i, m.disk, m.diskIncs)
		to(n, "member %d loses its memory", i)
	}
	if s.lost.disks < r.disks && (i == 0 || s.lost.disks > 0) { // by symmetry, the first disk lost is that of member 0
		n := s
		n.lost.disks++
		incs := [members]uint8{}
		if r.lossUnnoticed {
			incs = m.diskIncs
		}
		n.restart(i, none, incs)
		to(n, "member %d loses its disk", i)
	}
	if m.mode == repairing {
		r.repair(s, i, to)
	}
}

func (s *world) restart(i int, holder uint8, incs [members]uint8) {
	s.m[i] = member{holder: holder, incs: incs, disk: holder, diskIncs: incs}
	if incs[i] == 0 {
		s.m[i].mode = repairing
	}
	s.reports[i] = [members]report{}
}

func (r rules) repair(s world, i int, to func(world, string, ...any)) {
	m := s.m[i]
	need := members - consensus.Majority(members) + 1
	if r.repairFromFewer {
		need--
	}
	if m.inc == 0 { // asks the others for its incarnation
		answers := 0
		for j := range members {
			if j != i && (s.m[j].mode == serving || r.repairFromRepairing) {
				answers++
				m.inc = max(m.inc, s.m[j].incs[i])
			}
		}
		if answers >= need && m.inc < 3 {
			m.inc++
			n := s
			n.m[i] = m
			to(n, "member %d repairs under %d", i, m.inc)
		}
		return
	}
	received := 0
	for j := range members {
		if j == i {
			continue
		}
		if x := s.m[j]; (x.mode == serving || r.repairFromRepairing) && x.incs[i] <= m.inc && !s.reports[i][j].received {
			x.incs[i] = m.inc
			n := s
			if r.incarnationBeforeWrite {
				n.reports[i][j] = report{true, x.holder, x.incs}
			}
			if x.push(write{kind: putIncarnation, from: uint8(i), incs: x.incs}) {
				n.m[j] = x
				to(n, "member %d learns of incarnation %d of member %d", j, m.inc, i)
			}
		}
		if s.reports[i][j].received {
			received++
		}
	}
	if received < need || m.queue[0].kind == putRepaired {
		return
	}
	for _, first := range []int{0, members - 1} { // in either order of arrival
		table := NewClaimTable(time.Hour)
		incs := [members]uint8{}
		incs[i] = m.inc
		for k := range members {
			rep := s.reports[i][max(first-k, k-first)]
			if !rep.received {
				continue
			}
			for j, inc := range rep.incs {
				if j != i {
					incs[j] = max(incs[j], inc)
				}
			}
			switch {
			case rep.holder == none:
			case r.firstReportWins:
				table.Claim(0, "k", claimID(rep.holder))
			case rep.holder == nobody:
				table.Restore(0, "k", ID{})
			default:
				table.Restore(0, "k", claimID(rep.holder))
			}
		}
		x := m
		x.holder = holderIn(table)
		if x.push(write{kind: putRepaired, incs: incs}) {
			n := s
			if r.splitRepairWrite { // the incarnation reaches the disk before the claims
				x.diskIncs = incs
			}
			n.m[i] = x
			to(n, "member %d restores holder %d", i, x.holder)
		}
	}
}

// broken reports a state in which two claims of the key won.
func broken(s world) string {
	n := 0
	for _, x := range s.claims {
		if x == won {
			n++
		}
	}
	if n > 1 {
		return "two claims hold the key"
	}
	return ""
}

func initialWorld() (s world) {
	for i := range members {
		s.m[i].incs = [members]uint8{1, 1, 1}
		s.m[i].diskIncs = s.m[i].incs
	}
	return s
}

var runLong = flag.Bool("tally.all", false, "walk the large space too")

// No reachable state has two winners, and every mutant of the protocol reaches one that has.
func TestClaimsModel(t *testing.T) {
	for _, c := range []struct {
		name string
		r    rules
		ok   bool
	}{
		{"a disk lost", rules{disks: 1}, true},
		{"two disks lost, no claim released", rules{disks: 2, neverReleased: true}, true},
		{"two disks lost", rules{disks: 2, long: true}, true},
		{"memory and two disks lost, no claim released", rules{memory: 1, disks: 2, neverReleased: true}, true},
		{"memory and a disk lost", rules{memory: 1, disks: 1}, true},
		{"memory lost twice", rules{memory: 2}, true},
		{"a grant sent before it is on disk", rules{memory: 1, grantBeforeWrite: true}, false},
		{"answers from before and after a loss counted together", rules{disks: 1, countUnsound: true}, false},
		{"a repair from one report", rules{disks: 1, repairFromFewer: true}, false},
		{"a release by a claimant that is not the holder", rules{releaseAny: true, claims: 3}, false},
		{"the first of two claims reported for one key stays", rules{disks: 1, firstReportWins: true}, false},
		{"a disk loss that is not noticed", rules{disks: 1, lossUnnoticed: true}, false},
		{"an incarnation acknowledged before it is on disk", rules{memory: 1, disks: 1, incarnationBeforeWrite: true}, false},
		{"an incarnation on disk before the claims restored with it", rules{memory: 1, disks: 1, splitRepairWrite: true}, false},
		{"a repair from the report of a voter that is repairing", rules{disks: 2, repairFromRepairing: true}, false},
	} {
		if c.r.long && !*runLong || modelcheck.RaceEnabled && (c.r.disks > 0 || c.r.claims > 0) {
			continue
		}
		begun := time.Now()
		c.r.won = map[[members]uint32]bool{}
		n, err := modelcheck.Explore(initialWorld(), c.r.next, broken, 6e6)
		if wrong := modelcheck.CheckResult(c.ok, n, err); wrong != nil {
			t.Errorf("%s: %v", c.name, wrong)
		}
		t.Logf("%s: %d states in %v", c.name, n, time.Since(begun).Round(time.Millisecond))
	}
}
