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

// The whole space of one change of the roll: voters 0, 1 and 2, a joiner 3, two proposers of different rolls, and either two
// claimants of one key or rounds of the register in both epochs. Messages are lost, come late and come again, proposers stop
// anywhere, one machine loses its disk and makes up for it, also after it heard of the new roll or amid its part in it.
//
// What a voter answers is on disk, as purser does it, so that a crash loses nothing that counts; the mutant whose seal is
// not synced may crash. A new voter takes books over in one step, from any that would hand them over then: sealed books don't
// change. Tugs and proposers hear any of what was told. Claims are never given back here (tally explores that), and one
// machine loses its disk once. Complete within that are: the decree with one key, one or two proposers; the decree by two
// proposers with a lost disk; one proposer whose first phase is over, with a key and a lost disk, with one round in each epoch
// and a lost disk, and with two rounds in each epoch, whose first has its promises.

const members = 4

const (
	blank uint8 = iota // knows no roll
	apart
	repairing
	serving
)

const nobody = 3 // holds what was told to be two's

type member struct {
	mode, epoch, roll  uint8
	held               uint8
	promised, accepted uint8 // of the decree, by ballot
	loose              bool  // the seal is not on disk (mutant)
	past               bool  // apart, with the books of the first epoch
	knows              bool  // that the one who lost its disk came back in this epoch
	vowed, value       uint8 // of the register, by ballot
	former             bool  // value was accepted in the first epoch
}

type tell struct {
	heard bool
	m     member
}

type proposer struct {
	based, chosen bool
	roll          uint8
	late          bool     // its roll names the disk that replaced the lost one
	promises      [3]uint8 // told: by accepted ballot and knows
	accepts       [3]uint8 // told: by knows
}

type round struct {
	based, acked bool
	base         uint8
	promises     [members]uint32 // told: by value, former and knows
	accepts      [members]uint8  // told: by knows
}

const rounds = 4

type world struct {
	m      [members]member
	p      [2]proposer
	wiped  uint8 // its number and one; 0: nobody yet
	crash  bool
	grants [2][2][members]uint8 // by epoch and claimant: told, by knows
	won    [2]bool
	r      [rounds]round
	tells  [2]tell // for the repair
}

type rules struct {
	claims    bool
	rounds    [rounds]uint8 // epoch of each; 0: it is not run
	proposers int
	wipe      bool
	ready     bool // the first phase of the decree is over, and of the first round
	half      bool // and voter 1 has accepted that one, and the others promised the next of the epoch
	long      bool // walked with -relief.all

	few, single, loose, wakes, free, votes, blind bool // mutants
}

var voters = [3][3]int{{0, 1, 2}, {0, 1, 3}, {0, 3, 2}} // of epoch 1, and of the rolls 1 and 2 of epoch 2

func place(roll uint8, i int) int { return slices.Index(voters[roll][:], i) }

func ball(n uint8) (b configuration.Ballot) {
	if n > 0 {
		b = configuration.Ballot{N: uint64(n), Proposer: 1}
	}
	return b
}

func (s *world) vouch(roll uint8, i int, knows bool) consensus.Vouch {
	v := consensus.Vouch{By: place(roll, i), Incs: []uint64{1, 1, 1}}
	if knows {
		v.Incs[place(roll, int(s.wiped)-1)] = 2
	}
	return v
}

// choices calls do with every choice of one or none of each list, until one will do.
func choices[T any](of [][]T, have []T, do func([]T) bool) bool {
	if len(of) == 0 {
		return do(have)
	}
	for _, x := range of[0] {
		if choices(of[1:], append(have[:len(have):len(have)], x), do) {
			return true
		}
	}
	return choices(of[1:], have, do)
}

type telling struct {
	roll, wiped uint8
	told        [3]uint8
}

// enough remembers what majority said.
var enough = map[telling]bool{}

// majority reports whether some of what was told, by who knows, makes a sound majority.
func (s *world) majority(roll uint8, told func(i int) uint8) (ok bool) {
	t := telling{roll: roll, wiped: s.wiped}
	n := 0
	for at, i := range voters[roll] {
		if t.told[at] = told(i); t.told[at] > 0 {
			n++
		}
	}
	if n < 2 {
		return false
	}
	ok, known := enough[t]
	if known {
		return ok
	}
	defer func() { enough[t] = ok }()
	var of [3][]consensus.Vouch
	for n, i := range voters[roll] {
		for k := range uint8(2) {
			if told(i)&(1<<k) != 0 {
				of[n] = append(of[n], s.vouch(roll, i, k == 1))
			}
		}
	}
	return choices(of[:], nil, func(vs []consensus.Vouch) bool { return len(consensus.Sound(vs)) >= 2 })
}

func bit(b bool) uint8 {
	if b {
		return 1
	}
	return 0
}

func (m *member) shut() bool { return m.accepted > 0 }

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
		seal := Seal{Promised: ball(m.promised), Accepted: ball(m.accepted)}
		if !p.based {
			told := uint8(1) << (m.accepted*2 + bit(m.knows))
			if seal.Prepare(ball(b+1)) && (p.promises[i]&told == 0 || m.promised != b+1) {
				n := s
				n.m[i].promised = b + 1
				n.p[b].promises[i] |= told
				to(n, "voter %d promises decree %d, has %d", i, b+1, m.accepted)
			}
		} else if told := uint8(1) << bit(m.knows); seal.Accept(ball(b+1), Roll{}) && (p.accepts[i]&told == 0 || m.accepted != b+1) {
			n := s
			n.m[i].promised, n.m[i].accepted = b+1, b+1
			n.m[i].loose = k.loose && (m.accepted == 0 || m.loose)
			n.p[b].accepts[i] |= told
			to(n, "voter %d accepts decree %d and is sealed", i, b+1)
		}
	}
	if !p.based {
		k.base(s, b, to)
		return
	}
	need := func() bool { return s.majority(0, func(i int) uint8 { return p.accepts[i] }) }
	if k.few {
		need = func() bool { return p.accepts != [3]uint8{} }
	}
	if !p.chosen && need() {
		n := s
		n.p[b].chosen, n.p[b].accepts = true, [3]uint8{}
		to(n, "decree %d is chosen: roll %d", b+1, p.roll)
	}
	if p.chosen {
		for i := range members {
			if s.m[i].epoch < 2 {
				k.relieve(s, b, i, to)
			}
		}
	}
}

// base has a proposer go on from any of the promises that were told.
func (k rules) base(s world, b uint8, to func(world, string, ...any)) {
	var of [3][]Answer
	for i := range 3 {
		for n := range uint8(6) {
			if s.p[b].promises[i]&(1<<n) != 0 {
				of[i] = append(of[i], Answer{Vouch: s.vouch(0, i, n%2 == 1), Given: true,
					Seal: Seal{Accepted: ball(n / 2), Next: Roll{Epoch: uint64(n / 2)}}})
			}
		}
	}
	var done [3]bool
	if (len(of[0])+len(of[1]) == 0) || len(of[0])+len(of[2]) == 0 || len(of[1])+len(of[2]) == 0 {
		return
	}
	choices(of[:], nil, func(as []Answer) bool {
		r := Round{Voters: 3}
		for _, a := range as {
			r.Promise(a)
		}
		next, bound, ok := r.Base()
		if !ok || done[next.Epoch] {
			return false
		}
		done[next.Epoch] = true
		n := s
		n.p[b].based, n.p[b].promises = true, [3]uint8{}
		if bound && !k.free {
			n.p[b].roll, n.p[b].late = s.p[next.Epoch-1].roll, s.p[next.Epoch-1].late
			to(n, "proposer %d goes on with decree %d", b+1, next.Epoch)
			return false
		}
		n.p[b].roll = b + 1
		to(n, "proposer %d is free", b+1)
		if s.wiped > 0 {
			n.p[b].late = true
			to(n, "proposer %d is free, and names the new disk", b+1)
		}
		return false
	})
}

func ledger(held uint8) *idempotency.Ledger {
	l := idempotency.NewLedger(time.Hour)
	if held > 0 {
		l.Restore(0, "k", name(held))
	}
	return l
}

func name(held uint8) idempotency.ID {
	if held == nobody {
		return idempotency.ID{}
	}
	return idempotency.ID{Life: 1, N: uint64(held)}
}

func holder(l *idempotency.Ledger) (held uint8) {
	l.All(func(_ string, id idempotency.ID) {
		if held = uint8(id.N); id.IsZero() {
			held = nobody
		}
	})
	return held
}

// What the real ledger makes of a claim, and of one told by another, by holder.
var claimed, restored [nobody + 1][nobody + 1]uint8

func init() {
	for h := range uint8(nobody + 1) {
		for id := range uint8(nobody + 1) {
			if restored[h][id] = h; id > 0 {
				l := ledger(h)
				l.Restore(0, "k", name(id))
				restored[h][id] = holder(l)
			}
			if id == 1 || id == 2 {
				l := ledger(h)
				if _, ok := l.Claim(0, "k", name(id)); ok {
					claimed[h][id] = holder(l)
				}
			}
		}
	}
}

// relieve tells a machine that a roll is chosen: it takes over, makes up for what it lacks, or goes.
func (k rules) relieve(s world, b uint8, i int, to func(world, string, ...any)) {
	m, roll := s.m[i], s.p[b].roll
	if place(roll, i) < 0 {
		n := s
		n.m[i].mode, n.m[i].epoch, n.m[i].roll, n.m[i].past = apart, 2, roll, m.mode == serving
		n.settle(i)
		to(n, "machine %d goes apart", i)
		return
	}
	if s.wiped == uint8(i+1) && !s.p[b].late || m.mode == repairing {
		n := s
		n.m[i] = member{mode: repairing, epoch: 2, roll: roll}
		n.settle(i)
		to(n, "machine %d makes up for its disk in the new epoch", i)
		return
	}
	var told []Estate
	var from []member
	var of [members][]int
	for j, x := range s.m {
		e := Estate{Promised: ball(x.vowed), Accepted: ball(x.value)}
		switch {
		case x.mode == serving && x.epoch == 2:
			e.Holds = true
		case x.mode == serving && x.epoch == 1 && x.shut() || x.past:
			e.Vouch = s.vouch(0, j, x.knows)
		default:
			continue
		}
		of[j] = append(of[j], len(told))
		told, from = append(told, e), append(from, x)
	}
	choices(of[:], nil, func(pick []int) bool {
		var some []Estate
		for _, x := range pick {
			some = append(some, told[x])
		}
		take := Enough(3, some)
		if (k.single || k.few) && len(pick) == 1 {
			take = []int{0}
		}
		if take == nil {
			return false
		}
		promised, accepted, _, at := Inherit(some, take)
		n := s
		x := member{mode: serving, epoch: 2, roll: roll, vowed: uint8(promised.N), value: uint8(accepted.N)}
		if src := from[pick[at]]; src.epoch == 2 && !src.past {
			x.former = src.former
		} else {
			x.former = accepted.N > 0 && !k.votes
		}
		if k.blind {
			x.vowed = x.value
		}
		if m.mode == serving && !k.single {
			x.held = m.held
		}
		for _, t := range take {
			x.held = restored[x.held][from[pick[t]].held]
		}
		n.m[i] = x
		n.settle(i)
		to(n, "machine %d takes over from %d others, holds %d", i, len(take), x.held)
		return false
	})
}

// settle forgets what was told to the one that lost its disk, once its own roll is another.
func (s *world) settle(i int) {
	if s.wiped == uint8(i+1) {
		s.tells = [2]tell{}
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
				speaks := m.mode == serving && m.epoch == e+1 && (e == 1 || !m.shut())
				if k.wakes && e == 0 && i < 3 && (m.mode == serving || m.past) {
					speaks = true
				}
				held := claimed[m.held][id+1]
				if told := uint8(1) << bit(m.knows && m.epoch == e+1); speaks && held > 0 && (s.grants[e][id][i]&told == 0 || m.held != held) {
					n := s
					n.m[i].held = held
					n.grants[e][id][i] |= told
					to(n, "machine %d grants to %d in epoch %d", i, id+1, e+1)
				}
			}
			for roll := range uint8(3) {
				if (roll > 0) == (e == 1) && (e == 0 || s.begun(roll)) && s.majority(roll, func(i int) uint8 { return s.grants[e][id][i] }) {
					n := s
					n.won[id] = true
					n.grants[0][id], n.grants[1][id] = [members]uint8{}, [members]uint8{}
					to(n, "%d wins in epoch %d", id+1, e+1)
				}
			}
		}
	}
}

func (s *world) begun(roll uint8) bool {
	for _, p := range s.p {
		if p.chosen && p.roll == roll {
			return true
		}
	}
	return false
}

// round runs one round of the register, in its epoch.
func (k rules) round(s world, b, e uint8, to func(world, string, ...any)) {
	r := s.r[b]
	for i := range members {
		m := s.m[i]
		if m.mode != serving || m.epoch != e || e == 1 && m.shut() || r.acked {
			continue
		}
		a := consensus.Acceptor{Promised: ball(m.vowed), Accepted: ball(m.value)}
		if !r.based {
			told := uint32(1) << (m.value*4 + bit(m.former)*2 + bit(m.knows))
			if a.Prepare(ball(b+1)) && (r.promises[i]&told == 0 || m.vowed != b+1) {
				n := s
				n.m[i].vowed = b + 1
				n.r[b].promises[i] |= told
				to(n, "machine %d promises round %d in epoch %d, has %d", i, b+1, e, m.value)
			}
		} else if told := uint8(1) << bit(m.knows); a.May(ball(b+1), configuration.Ballot{}) && (r.accepts[i]&told == 0 || m.value != b+1) {
			a.Accept(ball(b+1), nil)
			n := s
			n.m[i].vowed, n.m[i].value, n.m[i].former = uint8(a.Promised.N), b+1, false
			n.r[b].accepts[i] |= told
			to(n, "machine %d accepts round %d in epoch %d", i, b+1, e)
		}
	}
	for roll := range uint8(3) {
		if (roll > 0) != (e == 2) || roll > 0 && !s.begun(roll) {
			continue
		}
		if r.based {
			if !r.acked && s.majority(roll, func(i int) uint8 { return r.accepts[i] }) {
				n := s
				n.r[b].acked, n.r[b].accepts = true, [members]uint8{}
				to(n, "round %d is chosen", b+1)
			}
			continue
		}
		var of [3][]consensus.Promise
		for n, i := range voters[roll] {
			for t := range uint8(20) {
				if r.promises[i]&(1<<t) != 0 {
					of[n] = append(of[n], consensus.Promise{Vouch: s.vouch(roll, i, t%2 == 1), Given: true, Accepted: ball(t / 4), Former: t/2%2 == 1})
				}
			}
		}
		if (len(of[0])+len(of[1]) == 0) || len(of[0])+len(of[2]) == 0 || len(of[1])+len(of[2]) == 0 {
			continue
		}
		var done [2][rounds + 1]bool
		choices(of[:], nil, func(ps []consensus.Promise) bool {
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

// lose has a machine lose its memory or its disk, and make up for that.
func (k rules) lose(s world, to func(world, string, ...any)) {
	for i := range members {
		m := s.m[i]
		if k.loose && !s.crash && m.loose {
			n := s
			n.crash = true
			n.m[i].accepted, n.m[i].loose = 0, false
			to(n, "voter %d loses its memory", i)
		}
		if k.wipe && s.wiped == 0 {
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
	case blank:
		for j, x := range s.m {
			if j == w || x.epoch == 0 {
				continue
			}
			n := s
			n.m[w] = member{mode: apart, epoch: x.epoch, roll: x.roll}
			if place(x.roll, w) >= 0 {
				n.m[w].mode = repairing
			}
			to(n, "machine %d hears of epoch %d from %d", w, x.epoch, j)
		}
	case repairing:
		at := 0
		for _, j := range voters[m.roll] {
			if j == w {
				continue
			}
			if x := s.m[j]; x.mode == serving && x.epoch == m.epoch && !s.tells[at].heard {
				n := s
				n.m[j].knows = true
				n.tells[at] = tell{true, x}
				to(n, "machine %d tells what it holds: %d", j, x.held)
			}
			at++
		}
		if s.tells[0].heard && s.tells[1].heard {
			n := s
			x := member{mode: serving, epoch: m.epoch, roll: m.roll, knows: true}
			var seal Seal
			former := [2]bool{}
			for t, o := range s.tells {
				seal.Learn(Seal{Promised: ball(o.m.promised), Accepted: ball(o.m.accepted)})
				x.held = restored[x.held][o.m.held]
				x.vowed = max(x.vowed, o.m.vowed)
				x.value = max(x.value, o.m.value)
				former[t] = o.m.former
			}
			x.promised, x.accepted = uint8(seal.Promised.N), uint8(seal.Accepted.N)
			x.former = true
			for t, o := range s.tells {
				if o.m.value == x.value && !former[t] {
					x.former = false
				}
			}
			n.m[w] = x
			n.tells = [2]tell{}
			to(n, "machine %d has made up for it", w)
		}
	}
}

func broken(s world) string {
	if s.won[0] && s.won[1] {
		return "two have the key"
	}
	if s.p[0].chosen && s.p[1].chosen && s.p[0].roll != s.p[1].roll {
		return "two successors of one epoch"
	}
	old, young := 0, 0
	for i, m := range s.m {
		if m.mode == serving && m.epoch == 1 && i < 3 && !m.shut() {
			old++
		}
		if m.mode == serving && m.epoch == 2 {
			young++
		}
	}
	if old >= 2 && young >= 2 {
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

var all = flag.Bool("relief.all", false, "walk the large spaces too")

func TestWholeSpaceOfReliefs(t *testing.T) {
	var first world
	for i := range 3 {
		first.m[i] = member{mode: serving, epoch: 1}
	}
	first.m[3] = member{mode: apart, epoch: 1}
	for _, c := range []struct {
		name string
		k    rules
		why  string // "": nothing is broken
	}{
		{"one proposer, a key", rules{proposers: 1, claims: true}, ""},
		{"two proposers, a key", rules{long: true, proposers: 2, claims: true}, ""},
		{"a key, a disk lost", rules{long: true, proposers: 1, ready: true, claims: true, wipe: true}, ""},
		{"two proposers, a disk lost", rules{proposers: 2, wipe: true}, ""},
		{"rounds in both epochs", rules{long: true, proposers: 1, ready: true, rounds: [rounds]uint8{1, 1, 2, 2}}, ""},
		{"rounds in both epochs, crossed", rules{proposers: 1, ready: true, rounds: [rounds]uint8{1, 2, 1, 2}}, ""},
		{"rounds in both epochs, a disk lost", rules{proposers: 1, ready: true, rounds: [rounds]uint8{1, 2}, wipe: true}, ""},
		{"active without a majority sealed", rules{proposers: 1, claims: true, few: true}, "two epochs grant"},
		{"books of one old voter alone", rules{proposers: 1, claims: true, single: true}, "two have the key"},
		{"a seal that is not synced", rules{proposers: 1, claims: true, loose: true}, "two epochs grant"},
		{"an old voter that wakes still grants", rules{proposers: 1, claims: true, wakes: true}, "two have the key"},
		{"a proposer that overlooks what was accepted", rules{proposers: 2, free: true}, "two successors of one epoch"},
		{"an inherited value counts as chosen", rules{proposers: 1, ready: true, rounds: [rounds]uint8{1, 1, 2, 2}, half: true, votes: true}, "a chosen value is lost"},
		{"promises are not inherited", rules{proposers: 1, ready: true, rounds: [rounds]uint8{1, 2, 1, 2}, half: true, blind: true}, "a chosen value is lost"},
	} {
		begun := time.Now()
		first := first
		if c.k.ready {
			first.p[0].based, first.p[0].roll = true, 1
			first.r[0].based = true
			for i := range 3 {
				first.m[i].promised, first.m[i].vowed = 1, 1
			}
		}
		if c.k.half {
			first.m[1].value, first.r[0].accepts[1] = 1, 1
			for r := 1; r < rounds; r++ {
				if c.k.rounds[r] == 1 {
					first.r[r].based, first.m[0].vowed, first.m[2].vowed = true, uint8(r+1), uint8(r+1)
				}
			}
		}
		if c.k.long && !*all || modelcheck.Slow && c.why == "" {
			continue
		}
		n, err := modelcheck.Whole(first, c.k.next, broken, 6e6)
		var b *modelcheck.Broken
		switch {
		case err != nil && !errors.As(err, &b), c.why == "" && err != nil:
			t.Errorf("%s: %v", c.name, err)
		case c.why != "" && (err == nil || b.Why != c.why):
			t.Errorf("%s: found %v in %d states", c.name, err, n)
		}
		t.Logf("%s: %d states in %v", c.name, n, time.Since(begun).Round(time.Millisecond))
		if b != nil && c.why != "" {
			t.Logf("\t%v", b)
		}
	}
}
