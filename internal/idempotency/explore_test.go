package idempotency

import (
	"flag"
	"testing"
	"time"

	"saltmast/internal/consensus"
	"saltmast/internal/modelcheck"
)

// The whole space of one key, three members and some claims: messages are lost, come late and come again, members lose their
// memory or their disk and make up for it, claimants give up, win, give back and die (which is to do nothing more). A member
// is as package purser is: it tells a grant when it is on disk, and its new incarnation likewise.

const members = 3

type write struct {
	kind uint8 // what comes to disk
	id   uint8 // a claim
	from uint8 // muster: the member that asked
	incs [members]uint8
}

const (
	none uint8 = iota
	putClaim
	putFree
	putMuster
	putRepaired
)

type member struct {
	mode     uint8
	held     uint8 // in memory
	incs     [members]uint8
	disk     uint8 // who holds the key there
	diskIncs [members]uint8
	queue    [2]write
	inc      uint8 // of the repair under way
}

const (
	serving uint8 = iota
	repairing
)

type tellOf struct {
	heard bool
	held  uint8
	incs  [members]uint8
}

const nobody = 9 // holds what was told to be two's

// claim of one id.
const (
	asking uint8 = iota
	won
	void
)

type world struct {
	m      [members]member
	ids    [3]uint8
	grants [3][members]uint32       // told so far, by the incarnations of their vouches; each may be heard at any time
	tells  [members][members]tellOf // to the first by the second, since it last began to repair
	lost   struct{ memory, disks uint8 }
}

// rules are what a mutant breaks.
type rules struct {
	early, unsound, deaf, freeAny, first, amnesiac, earlyInc, halves, lame bool
	memory, disks                                                          uint8
	keeps                                                                  bool                     // nobody gives back
	long                                                                   bool                     // walked with -tally.all
	ids                                                                    uint8                    // 0: two
	won                                                                    map[[members]uint32]bool // what wins said
}

func pack(incs [members]uint8) uint8 { return incs[0]<<4 | incs[1]<<2 | incs[2] } // below 64: incarnations up to 3

func vouch(by int, p uint8) consensus.Origin {
	return consensus.Origin{Voter: by, Incarnations: []uint64{uint64(p >> 4), uint64(p >> 2 & 3), uint64(p & 3)}}
}

// bit of a vouch in a set: incarnations are from 1 to 3.
func bit(p uint8) uint32 {
	return 1 << ((p>>4-1)*9 + (p>>2&3-1)*3 + (p&3 - 1))
}

func unbit(n int) uint8 { return uint8(n/9+1)<<4 | uint8(n/3%3+1)<<2 | uint8(n%3+1) }

func name(id uint8) ID { return ID{Life: 1, N: uint64(id)} }

// ledger is the real one, of a holder.
func ledger(held uint8) *Ledger {
	l := NewLedger(time.Hour)
	switch held {
	case none:
	case nobody:
		l.Restore(0, "k", ID{})
	default:
		l.Claim(0, "k", name(held))
	}
	return l
}

func holder(l *Ledger) (held uint8) {
	l.All(func(_ string, id ID) {
		if held = uint8(id.N); id.IsZero() {
			held = nobody
		}
	})
	return held
}

// What the ledger makes of a claim and of a release, of each holder and id.
var claimed, freed [nobody + 1][4]struct {
	held uint8
	ok   bool
}

func init() {
	for _, held := range []uint8{none, 1, 2, 3, nobody} {
		for id := uint8(1); id <= 3; id++ {
			l := ledger(held)
			_, ok := l.Claim(0, "k", name(id))
			claimed[held][id].held, claimed[held][id].ok = holder(l), ok
			l = ledger(held)
			ok = l.Release("k", name(id))
			freed[held][id].held, freed[held][id].ok = holder(l), ok
		}
	}
}

func claimOf(held, id uint8) (uint8, bool) { return claimed[held][id].held, claimed[held][id].ok }
func freeOf(held, id uint8) (uint8, bool)  { return freed[held][id].held, freed[held][id].ok }

func (m *member) push(w write) bool {
	for i := range m.queue {
		if m.queue[i] == w {
			return false // the same is on its way
		}
		if m.queue[i].kind == none {
			m.queue[i] = w
			return true
		}
	}
	return false
}

func (r rules) next(s world, to func(world, string, ...any)) {
	canon := func(s world, event string, args ...any) { to(s.least(), event, args...) }
	for id := range max(2, r.ids) {
		r.claims(s, id, canon)
	}
	for i := range members {
		r.member(s, i, canon)
	}
}

// least is s or s with its last two members in each other's place, which are alike.
func (s world) least() world {
	x := s
	swap := func(v *[members]uint8) { v[1], v[2] = v[2], v[1] }
	x.m[1], x.m[2] = s.m[2], s.m[1]
	x.tells[1], x.tells[2] = s.tells[2], s.tells[1]
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
		t := &x.tells[i]
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
	if x.order() < s.order() {
		return x
	}
	return s
}

// order tells the two apart as far as it matters.
func (s *world) order() (n uint64) {
	for i := 1; i < members; i++ {
		m := s.m[i]
		n = n<<32 + uint64(m.held)<<28 + uint64(m.disk)<<24 + uint64(m.incs[0])<<20 + uint64(m.queue[0].kind)<<16 + uint64(m.queue[1].kind)<<12 + uint64(m.mode)<<8
		n += uint64(s.grants[0][i])*2654435761 + uint64(s.grants[1][i])*40503
	}
	return n
}

func (r rules) claims(s world, id uint8, to func(world, string, ...any)) {
	switch s.ids[id] {
	case asking:
		if w, ok := r.won[s.grants[id]]; w || !ok && r.wins(s.grants[id], nil) {
			r.won[s.grants[id]] = true
			n := s
			n.ids[id] = won
			to(n, "%d wins", id)
		} else {
			r.won[s.grants[id]] = false
		}
		fallthrough
	case won:
		if id > 0 && !r.keeps { // the two are alike: one never does
			n := s
			n.ids[id] = void
			to(n, "%d gives back", id)
		}
	}
	for i := range members { // its messages come to members, whenever and however often
		if m := s.m[i]; m.mode == serving {
			n := s
			if held, granted := claimOf(m.held, id+1); granted {
				m.held = held
				p := pack(m.incs)
				if r.early {
					n.grants[id][i] |= bit(p)
				}
				if s.grants[id][i]&bit(p) == 0 || m.disk != id+1 {
					if m.push(write{kind: putClaim, id: id + 1, incs: m.incs}) {
						n.m[i] = m
						to(n, "member %d grants to %d under %02o", i, id, p)
					}
				}
			}
		}
		if m := s.m[i]; s.ids[id] == void {
			held, freed := freeOf(m.held, id+1)
			if r.freeAny && m.held != none {
				held, freed = none, true
			}
			if freed && m.push(write{kind: putFree}) {
				m.held = held
				n := s
				n.m[i] = m
				to(n, "member %d hears that %d is void", i, id)
			}
		}
	}
}

// wins reports whether some of what was told makes a majority, with one answer of each member at the most.
func (r rules) wins(told [members]uint32, heard []consensus.Origin) bool {
	v := Vote{Voters: members}
	for _, h := range heard {
		v.Add(Grant{Vouch: h, Given: true})
	}
	if verdict, _ := v.Verdict(); verdict == Won || r.unsound && len(heard) >= consensus.Majority(members) {
		return true
	}
	from := 0
	if len(heard) > 0 {
		from = heard[len(heard)-1].Voter + 1
	}
	for i := from; i < members; i++ {
		for b := range 27 {
			if told[i]&(1<<b) != 0 && r.wins(told, append(heard[:len(heard):len(heard)], vouch(i, unbit(b)))) {
				return true
			}
		}
	}
	return false
}

func (r rules) member(s world, i int, to func(world, string, ...any)) {
	m := s.m[i]
	if m.queue[0].kind != none { // all that waits comes to disk: a part of it is what had come before the rest waited
		n := s
		m.queue = [2]write{}
		for _, w := range s.m[i].queue {
			switch w.kind {
			case putClaim:
				m.disk = w.id
				n.grants[w.id-1][i] |= bit(pack(w.incs))
			case putFree:
				m.disk = none
			case putMuster:
				m.diskIncs[w.from] = w.incs[w.from]
				if s.m[w.from].mode == repairing && s.m[w.from].inc == w.incs[w.from] {
					n.tells[w.from][i] = tellOf{true, m.held, m.incs}
				}
			case putRepaired:
				m.disk, m.diskIncs = m.held, w.incs
				m.incs, m.mode, m.inc = w.incs, serving, 0
				n.tells[i] = [members]tellOf{}
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
	if s.lost.disks < r.disks && (i == 0 || s.lost.disks > 0) { // the members are alike: the first of them is the first
		n := s
		n.lost.disks++
		incs := [members]uint8{}
		if r.amnesiac {
			incs = m.diskIncs
		}
		n.restart(i, none, incs)
		to(n, "member %d loses its disk", i)
	}
	if m.mode == repairing {
		r.repair(s, i, to)
	}
}

func (s *world) restart(i int, held uint8, incs [members]uint8) {
	s.m[i] = member{held: held, incs: incs, disk: held, diskIncs: incs}
	if incs[i] == 0 {
		s.m[i].mode = repairing
	}
	s.tells[i] = [members]tellOf{}
}

func (r rules) repair(s world, i int, to func(world, string, ...any)) {
	m := s.m[i]
	need := members - consensus.Majority(members) + 1
	if r.deaf {
		need--
	}
	if m.inc == 0 { // asks under which incarnation it is known
		heard := 0
		for j := range members {
			if j != i && (s.m[j].mode == serving || r.lame) {
				heard++
				m.inc = max(m.inc, s.m[j].incs[i])
			}
		}
		if heard >= need && m.inc < 3 {
			m.inc++
			n := s
			n.m[i] = m
			to(n, "member %d repairs under %d", i, m.inc)
		}
		return
	}
	heard := 0
	for j := range members {
		if j == i {
			continue
		}
		if x := s.m[j]; (x.mode == serving || r.lame) && x.incs[i] <= m.inc && !s.tells[i][j].heard {
			x.incs[i] = m.inc
			n := s
			if r.earlyInc {
				n.tells[i][j] = tellOf{true, x.held, x.incs}
			}
			if x.push(write{kind: putMuster, from: uint8(i), incs: x.incs}) {
				n.m[j] = x
				to(n, "member %d hears of incarnation %d of member %d", j, m.inc, i)
			}
		}
		if s.tells[i][j].heard {
			heard++
		}
	}
	if heard < need || m.queue[0].kind == putRepaired {
		return
	}
	for _, first := range []int{0, members - 1} { // whoever is heard first
		l := NewLedger(time.Hour)
		incs := [members]uint8{}
		incs[i] = m.inc
		for k := range members {
			t := s.tells[i][max(first-k, k-first)]
			if !t.heard {
				continue
			}
			for j, inc := range t.incs {
				if j != i {
					incs[j] = max(incs[j], inc)
				}
			}
			switch {
			case t.held == none:
			case r.first:
				l.Claim(0, "k", name(t.held))
			case t.held == nobody:
				l.Restore(0, "k", ID{})
			default:
				l.Restore(0, "k", name(t.held))
			}
		}
		x := m
		x.held = holder(l)
		if x.push(write{kind: putRepaired, incs: incs}) {
			n := s
			if r.halves { // the incarnation comes to disk before what was taken
				x.diskIncs = incs
			}
			n.m[i] = x
			to(n, "member %d takes what it heard: %d", i, x.held)
		}
	}
}

func broken(s world) string {
	n := 0
	for _, x := range s.ids {
		if x == won {
			n++
		}
	}
	if n > 1 {
		return "two have the key"
	}
	return ""
}

func begin() (s world) {
	for i := range members {
		s.m[i].incs = [members]uint8{1, 1, 1}
		s.m[i].diskIncs = s.m[i].incs
	}
	return s
}

var all = flag.Bool("tally.all", false, "walk the large space too")

func TestWholeSpaceOfClaims(t *testing.T) {
	for _, c := range []struct {
		name string
		r    rules
		ok   bool
	}{
		{"a disk lost", rules{disks: 1}, true},
		{"two disks lost, nobody gives back", rules{disks: 2, keeps: true}, true},
		{"two disks lost", rules{disks: 2, long: true}, true},
		{"memory and two disks lost, nobody gives back", rules{memory: 1, disks: 2, keeps: true}, true},
		{"memory and a disk lost", rules{memory: 1, disks: 1}, true},
		{"memory lost twice", rules{memory: 2}, true},
		{"told before it is on disk", rules{memory: 1, early: true}, false},
		{"answers from before and after a loss counted together", rules{disks: 1, unsound: true}, false},
		{"a repair that heard one other", rules{disks: 1, deaf: true}, false},
		{"a release of whoever holds it", rules{freeAny: true, ids: 3}, false},
		{"of two told for one key the first stays", rules{disks: 1, first: true}, false},
		{"a lost disk that is not noticed", rules{disks: 1, amnesiac: true}, false},
		{"an incarnation told of before it is on disk", rules{memory: 1, disks: 1, earlyInc: true}, false},
		{"an incarnation on disk before what was taken", rules{memory: 1, disks: 1, halves: true}, false},
		{"a repair that heard one that repairs itself", rules{disks: 2, lame: true}, false},
	} {
		if c.r.long && !*all || modelcheck.RaceEnabled && (c.r.disks > 0 || c.r.ids > 0) {
			continue
		}
		begun := time.Now()
		c.r.won = map[[members]uint32]bool{}
		n, err := modelcheck.Explore(begin(), c.r.next, broken, 6e6)
		if wrong := modelcheck.CheckResult(c.ok, n, err); wrong != nil {
			t.Errorf("%s: %v", c.name, wrong)
		}
		t.Logf("%s: %d states in %v", c.name, n, time.Since(begun).Round(time.Millisecond))
	}
}
