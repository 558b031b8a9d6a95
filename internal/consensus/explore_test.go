package consensus

import (
	"flag"
	"testing"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/modelcheck"
)

// The whole space of three members and two rounds or three, of ballots 1 to 3, that run whenever they like: messages are lost, come
// late and come again, members lose their memory, the first of them its disk, and make up for it, proposers stop anywhere. A
// value is known by its ballot, and what it was built on. A member is as package purser is: what it tells is on disk, a
// promise counts for itself at once, a value when it is there.

const (
	members = 3
	rounds  = 3
)

const (
	none uint8 = iota
	putPromise
	putAccept
	putMuster
	putRepaired
)

type write struct {
	kind, b, accepted uint8
	inc               uint8
}

type member struct {
	lost                  bool  // and not made up for
	promised, accepted    uint8 // in memory
	inc                   uint8 // of the first member, as it knows it
	onPromised, onAccept  uint8 // on disk
	onInc                 uint8
	queue                 [2]write
	heard                 bool // what follows was told to the first member for its repair
	toldPromise, toldBase uint8
}

type round struct {
	based    bool
	base     uint8           // what its value was built on, where it is based
	acked    bool            // somebody took its value for chosen
	promises [members]uint16 // told, by what was accepted and the incarnation: 4 x 3
	accepts  [members]uint8  // told, by the incarnation
}

type world struct {
	m             [members]member
	r             [rounds + 1]round // by ballot
	repair        uint8             // the incarnation under which the first member repairs; 0: it does not
	memory, disks uint8             // lost so far
}

type rules struct {
	early, forgets, unsound, deaf, promiseless, amnesiac, anyBase, halves bool
	memory, disks                                                         uint8
	more                                                                  uint8 // rounds beyond two
	long                                                                  bool  // walked with -ballot.all
	bases                                                                 map[[members]uint16]outcomes
}

// outcomes of a round's promises, whichever were heard: by base, that it may be that, and that it may be taken for chosen.
type outcomes struct{ base, chosen [rounds + 1]bool }

func ball(b uint8) (x configuration.Ballot) {
	if b > 0 {
		x = configuration.Ballot{N: uint64(b), Proposer: 1}
	}
	return x
}

func vouch(by int, inc uint8) Vouch { return Vouch{By: by, Incs: []uint64{uint64(inc), 1, 1}} }

func (m *member) push(w write) bool {
	for i := range m.queue {
		if m.queue[i] == w {
			return false
		}
		if m.queue[i].kind == none {
			m.queue[i] = w
			return true
		}
	}
	return false
}

func (m *member) accepting() bool {
	return m.queue[0].kind == putAccept || m.queue[1].kind == putAccept
}

func (k rules) next(s world, to func(world, string, ...any)) {
	canon := func(s world, event string, args ...any) { to(s.least(), event, args...) }
	for b := uint8(1); b <= 2+k.more; b++ {
		k.round(s, b, canon)
	}
	for i := range members {
		k.member(s, i, canon)
	}
	if s.m[0].lost {
		k.mend(s, canon)
	}
}

// least is s or s with its last two members in each other's place, which are alike.
func (s world) least() world {
	x := s
	x.m[1], x.m[2] = s.m[2], s.m[1]
	for b := range x.r {
		r := &x.r[b]
		r.promises[1], r.promises[2] = r.promises[2], r.promises[1]
		r.accepts[1], r.accepts[2] = r.accepts[2], r.accepts[1]
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
		n *= 2654435761
		for _, x := range []uint8{m.promised, m.accepted, m.onPromised, m.onAccept, m.inc, m.queue[0].kind, m.queue[0].b, m.queue[1].kind, m.queue[1].b} {
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
	} else if !r.acked && k.chosen(r.accepts) {
		n := s
		n.r[b].acked, n.r[b].accepts = true, [members]uint8{}
		to(n, "ballot %d is chosen", b)
	}
	for i := range members { // its messages come to members, whenever and however often
		m := s.m[i]
		if m.lost || m.accepting() {
			continue
		}
		a := Acceptor{Promised: ball(m.promised), Accepted: ball(m.accepted)}
		if !r.based {
			n, bit := s, uint16(1)<<(m.accepted*3+m.inc-1)
			if r.promises[i]&bit == 0 && a.Prepare(ball(b)) && m.push(write{putPromise, b, m.accepted, m.inc}) {
				m.promised = uint8(a.Promised.N)
				if k.early {
					n.r[b].promises[i] |= bit
				}
				n.m[i] = m
				to(n, "member %d promises %d, has %d, under %d", i, b, m.accepted, m.inc)
			}
		} else if r.accepts[i]&(1<<m.inc) == 0 && a.May(ball(b), configuration.Ballot{}) && m.push(write{putAccept, b, 0, m.inc}) {
			n := s
			if k.early {
				n.r[b].accepts[i] |= 1 << m.inc
			}
			n.m[i] = m
			to(n, "member %d accepts %d under %d", i, b, m.inc)
		}
	}
}

func (k rules) sound(vs []Vouch) int {
	if k.unsound {
		return len(vs)
	}
	return len(Sound(vs))
}

// chosen reports whether some of the answers make a majority, with one of each member at the most.
func (k rules) chosen(told [members]uint8) bool {
	var vs [members][]Vouch
	for i := range members {
		for inc := uint8(1); inc <= 3; inc++ {
			if told[i]&(1<<inc) != 0 {
				vs[i] = append(vs[i], vouch(i, inc))
			}
		}
	}
	return each(vs[:], nil, func(vs []Vouch) bool { return k.sound(vs) >= Majority(members) })
}

// each tries all choices of one or none of each list, until one will do.
func each[T any](of [][]T, have []T, do func([]T) bool) bool {
	if len(of) == 0 {
		return do(have)
	}
	for _, x := range of[0] {
		if each(of[1:], append(have[:len(have):len(have)], x), do) {
			return true
		}
	}
	return each(of[1:], have, do)
}

func (k rules) outcomes(told [members]uint16) (o outcomes) {
	if o, ok := k.bases[told]; ok {
		return o
	}
	var ps [members][]Promise
	for i := range members {
		for n := range uint8(12) {
			if told[i]&(1<<n) != 0 {
				p := Promise{Vouch: vouch(i, n%3+1), Given: true, Accepted: ball(n / 3)}
				if k.unsound {
					p.Vouch.Incs[0] = 1
				}
				ps[i] = append(ps[i], p)
			}
		}
	}
	each(ps[:], nil, func(ps []Promise) bool {
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
	k.bases[told] = o
	return o
}

func (k rules) member(s world, i int, to func(world, string, ...any)) {
	m := s.m[i]
	if m.queue[0].kind != none { // all that waits comes to disk: a part of it is what had come before the rest waited
		n := s
		m.queue = [2]write{}
		for _, w := range s.m[i].queue {
			switch w.kind {
			case putPromise:
				if !k.forgets {
					m.onPromised = w.b
				}
				if !s.r[w.b].based {
					n.r[w.b].promises[i] |= 1 << (w.accepted*3 + w.inc - 1)
				}
			case putAccept:
				a := Acceptor{Promised: ball(m.promised), Accepted: ball(m.accepted)}
				a.Accept(ball(w.b), nil)
				m.promised, m.accepted = uint8(a.Promised.N), uint8(a.Accepted.N)
				m.onPromised, m.onAccept = max(m.onPromised, w.b), w.b
				if !s.r[w.b].acked {
					n.r[w.b].accepts[i] |= 1 << w.inc
				}
			case putMuster:
				m.onInc = w.inc
				if w.inc == s.repair {
					m.heard, m.toldPromise, m.toldBase = true, m.promised, m.accepted
				}
			case putRepaired:
				m.onPromised, m.onAccept, m.onInc, m.inc, m.lost = m.promised, m.accepted, w.inc, w.inc, false
				n.repair = 0
				for j := 1; j < members; j++ {
					n.m[j].forget()
				}
			}
		}
		n.m[i] = m
		to(n, "member %d: on disk %v", i, s.m[i].queue)
	}
	restart := func(n world, promised, accepted, inc uint8) world {
		x := member{promised: promised, accepted: accepted, inc: inc, onPromised: promised, onAccept: accepted, onInc: inc,
			heard: m.heard, toldPromise: m.toldPromise, toldBase: m.toldBase}
		if i == 0 {
			if x.lost = inc == 0; x.lost {
				n.repair = 0
				for j := 1; j < members; j++ {
					n.m[j].forget()
				}
			}
		}
		n.m[i] = x
		return n
	}
	m = s.m[i]
	if s.memory < k.memory {
		n := s
		n.memory++
		to(restart(n, m.onPromised, m.onAccept, m.onInc), "member %d loses its memory", i)
	}
	if i == 0 && s.disks < k.disks {
		n := s
		n.disks++
		inc := uint8(0)
		if k.amnesiac {
			inc = m.onInc
		}
		to(restart(n, 0, 0, inc), "member 0 loses its disk")
	}
}

func (m *member) forget() { m.heard, m.toldPromise, m.toldBase = false, 0, 0 }

// mend goes on with the repair of the first member.
func (k rules) mend(s world, to func(world, string, ...any)) {
	if s.repair == 0 {
		if inc := max(s.m[1].inc, s.m[2].inc) + 1; inc <= 3 {
			n := s
			n.repair = inc
			to(n, "member 0 repairs under %d", inc)
		}
		return
	}
	heard := 0
	x := s.m[0]
	x.promised, x.accepted = 0, 0
	for j := 1; j < members; j++ {
		m := s.m[j]
		if m.heard {
			heard++
			x.accepted = max(x.accepted, m.toldBase)
			if !k.promiseless {
				x.promised = max(x.promised, m.toldPromise)
			}
		} else if m.inc <= s.repair && !m.accepting() && m.push(write{putMuster, 0, 0, s.repair}) {
			m.inc = s.repair
			n := s
			n.m[j] = m
			to(n, "member %d hears of incarnation %d", j, s.repair)
		}
	}
	if (heard == members-1 || heard == 1 && k.deaf) && x.queue[0].kind == none {
		x.push(write{putRepaired, 0, 0, s.repair})
		if k.halves { // the incarnation comes to disk before what was taken
			x.onInc = s.repair
		}
		n := s
		n.m[0] = x
		to(n, "member 0 takes what it heard: promised %d, accepted %d", x.promised, x.accepted)
	}
}

// broken: of two values that were taken for chosen, one is built on the other.
func broken(s world) string {
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

var all = flag.Bool("ballot.all", false, "walk the large space too")

func TestWholeSpaceOfRounds(t *testing.T) {
	var first world
	for i := range members {
		first.m[i].inc, first.m[i].onInc = 1, 1
	}
	for _, c := range []struct {
		name string
		k    rules
		ok   bool
	}{
		{"three rounds", rules{more: 1}, true},
		{"memory lost twice", rules{memory: 2}, true},
		{"three rounds and memory lost", rules{memory: 1, more: 1}, true},
		{"a disk lost", rules{disks: 1}, true},
		{"memory and a disk lost", rules{memory: 1, disks: 1}, true},
		{"a disk lost twice", rules{disks: 2, long: true}, true},
		{"told before it is on disk", rules{memory: 1, early: true}, false},
		{"a promise forgotten at a restart", rules{memory: 1, forgets: true}, false},
		{"answers from before and after a loss counted together", rules{disks: 1, unsound: true}, false},
		{"a repair that heard one other", rules{disks: 1, deaf: true}, false},
		{"a repair without promises", rules{disks: 1, promiseless: true}, false},
		{"a lost disk that is not noticed", rules{disks: 1, amnesiac: true}, false},
		{"an incarnation on disk before what was taken", rules{memory: 1, disks: 1, halves: true}, false},
		{"a base that is not the highest", rules{anyBase: true, more: 1}, false},
	} {
		if c.k.long && !*all || modelcheck.Slow && (c.k.disks > 0 || c.k.more > 0) {
			continue
		}
		begun := time.Now()
		c.k.bases = map[[members]uint16]outcomes{}
		n, err := modelcheck.Whole(first, c.k.next, broken, 4e6)
		if wrong := modelcheck.Verdict(c.ok, n, err); wrong != nil {
			t.Errorf("%s: %v", c.name, wrong)
		}
		t.Logf("%s: %d states in %v", c.name, n, time.Since(begun).Round(time.Millisecond))
	}
}
