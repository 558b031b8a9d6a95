package consensus

import (
	"fmt"
	"testing"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/modelcheck"
)

// The whole space of three members, each a base and a delta on disk, with rounds that run whenever they like, proposers that hold
// any chosen value or none, and teachers of any chosen value whose pages come in any order, again and again, and stop anywhere.
// Each step begins with what is on disk, so that a member may have started again before it. Each ballot changes an item of its
// own, and those with odd numbers one beside: what one of them changed is changed again behind one that left it.

// content is a set of items: the ballots' own, and which ballot changed the common one last.
type content struct{ own, common uint8 }

type pageMember struct {
	promised, accepted, chosen, target uint8
	base, delta                        content
}

type pagePromise struct {
	given, accepted, chosen, known uint8
	items                          content
}

type pageRound struct {
	begun, based, acked bool
	have                uint8
	value               content
	promises            [members]pagePromise
	accepts             uint8
}

type pageWorld struct {
	m   [members]pageMember
	r   [5]pageRound // by ballot
	why uint8        // a rule that was broken in a step
}

type pageRules struct {
	early, beside, lower, anyBase, folds, counts, unpromised, forgets, apart bool

	promised map[promising]pagePromise
	based    map[basing]basis
	accepted map[accepting]change
	learned  map[learning]change
	turned   map[turning]change
}

// What members and rounds make of what they are told is worked out once.
type (
	promising struct {
		m       pageMember
		b, have uint8
	}
	basing struct {
		have     uint8
		held     content
		promises [members]pagePromise
	}
	basis struct {
		short, ok, chosen bool
		of                uint8
		value             content
	}
	accepting struct {
		m       pageMember
		b, base uint8
		value   content
	}
	learning struct {
		m pageMember
		b uint8
	}
	turning struct {
		m                  pageMember
		from, upto, target uint8
		value              content
	}
	change struct {
		ok bool
		m  pageMember
	}
)

func once[K comparable, V any](known map[K]V, k K, f func() V) V {
	v, ok := known[k]
	if !ok {
		v = f()
		known[k] = v
	}
	return v
}

// lastRound: two run behind the first, which two of the members have accepted and the third has missed.
const lastRound = 3

const forgotten uint8 = 1

func (c content) set() configuration.Set {
	var items []configuration.Item
	for b := uint8(1); b <= 4; b++ {
		if c.own&(1<<b) != 0 {
			items = append(items, configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: fmt.Sprint("own", b)}, Version: configuration.Version(b), Ballot: ball(b)})
		}
	}
	if c.common > 0 {
		items = append(items, configuration.Item{Key: configuration.Key{Kind: configuration.Limits}, Version: configuration.Version(c.common), Ballot: ball(c.common)})
	}
	return configuration.SetOf(items...)
}

func contentOf(items []configuration.Item) (c content) {
	for _, i := range items {
		if i.Key.Kind == configuration.Limits {
			c.common = uint8(i.Ballot.N)
		} else {
			c.own |= 1 << i.Ballot.N
		}
	}
	return c
}

// sets are made once.
var sets = map[content]configuration.Set{}

func (c content) kept() configuration.Set {
	s, ok := sets[c]
	if !ok {
		s = c.set()
		sets[c] = s
	}
	return s
}

func itemsOf(s configuration.Set) []configuration.Item {
	return ChangedSince(s, configuration.Ballot{})
}

// load is what a member reads off its disk.
func (m pageMember) load() *Acceptor {
	a := &Acceptor{Promised: ball(m.promised), Accepted: ball(m.accepted), Chosen: ball(m.chosen), Target: ball(m.target), Base: m.base.kept()}
	if m.accepted > 0 {
		a.Value = a.Base.With(itemsOf(m.delta.kept())...)
	}
	return a
}

// saved is what it puts there.
func saved(a *Acceptor, delta content) pageMember {
	m := pageMember{uint8(a.Promised.N), uint8(a.Accepted.N), uint8(a.Chosen.N), 0, contentOf(itemsOf(a.Base)), delta}
	if a.CatchingUp() {
		m.target = uint8(a.Target.N)
	}
	return m
}

// least is the same with the members in one order: they are alike.
func (s pageWorld) least() pageWorld {
	swap := func(i, j int) {
		s.m[i], s.m[j] = s.m[j], s.m[i]
		for b := range s.r {
			r := &s.r[b]
			r.promises[i], r.promises[j] = r.promises[j], r.promises[i]
			if x := r.accepts>>i&1 ^ r.accepts>>j&1; x > 0 {
				r.accepts ^= x<<i | x<<j
			}
		}
	}
	for _, p := range [][2]int{{0, 1}, {1, 2}, {0, 1}} {
		if s.order(p[0]) > s.order(p[1]) {
			swap(p[0], p[1])
		}
	}
	return s
}

func (s *pageWorld) order(i int) (n uint64) {
	m := s.m[i]
	for _, x := range []uint8{m.promised, m.accepted, m.chosen, m.target, m.base.own, m.base.common, m.delta.own, m.delta.common} {
		n = n*31 + uint64(x)
	}
	for b := range s.r {
		p := s.r[b].promises[i]
		n = n*31 + uint64(p.given) + uint64(p.accepted)*2 + uint64(p.chosen)*8 + uint64(s.r[b].accepts>>i&1)*64
	}
	return n
}

func (k pageRules) next(s pageWorld, to func(pageWorld, string, ...any)) {
	if s.why > 0 {
		return
	}
	canon := func(s pageWorld, event string, args ...any) { to(s.least(), event, args...) }
	for b := uint8(1); b <= lastRound; b++ {
		if b > 1 {
			k.round(s, b, canon)
		}
		if s.r[b].acked {
			for i := range members {
				k.learn(s, i, b, canon)
				k.teach(s, i, b, canon)
			}
		}
	}
}

func (k pageRules) round(s pageWorld, b uint8, to func(pageWorld, string, ...any)) {
	r := s.r[b]
	switch {
	case !r.begun: // by a proposer that holds a chosen value, or none
		for have := range b {
			if have == 0 || s.r[have].acked {
				n := s
				n.r[b].begun, n.r[b].have = true, have
				to(n, "ballot %d begins, with %d held", b, have)
			}
		}
	case !r.based:
		for i, m := range s.m {
			if r.promises[i].given > 0 {
				continue
			}
			p := once(k.promised, promising{m, b, r.have}, func() (told pagePromise) {
				if a := m.load(); a.Prepare(ball(b)) {
					p := a.Promise(vouch(i, 1), ball(r.have))
					told = pagePromise{1, m.accepted, m.chosen, uint8(p.KnownChosen.N), contentOf(p.Items)}
				}
				return told
			})
			if p.given > 0 {
				n := s
				n.m[i].promised = b
				n.r[b].promises[i] = p
				to(n, "member %d promises %d, has %d over %d", i, b, m.accepted, m.chosen)
			}
		}
		k.base(s, b, to)
	default:
		for i := range members {
			k.accept(s, b, i, to)
		}
		if n := s; !r.acked && r.accepts != 0 && r.accepts&(r.accepts-1) != 0 {
			n.r[b].acked = true
			to(n, "ballot %d is chosen", b)
		}
	}
}

// base has a round go on with the promises of any majority.
func (k pageRules) base(s pageWorld, b uint8, to func(pageWorld, string, ...any)) {
	r := s.r[b]
	for of := range 1 << members {
		heard := basing{have: r.have, held: s.r[r.have].value}
		n := 0
		for i, p := range r.promises {
			if of&(1<<i) != 0 && p.given > 0 {
				heard.promises[i] = p
				n++
			}
		}
		if n < Majority(members) {
			continue
		}
		x := once(k.based, heard, func() (x basis) {
			g := Round{Voters: members, HeldBallot: ball(r.have), HeldValue: heard.held.kept()}
			for i, p := range heard.promises {
				if p.given > 0 {
					g.Add(Promise{Origin: vouch(i, 1), Granted: true, Accepted: ball(p.accepted), Chosen: ball(p.chosen), KnownChosen: ball(p.known), Items: itemsOf(p.items.kept())})
				}
			}
			value, at, chosen, ok := g.Base()
			return basis{g.NoBaseReason != "", ok, chosen, uint8(at.N), contentOf(itemsOf(value))}
		})
		to2 := s
		switch {
		case x.short:
			to2.why = forgotten
			to(to2, "ballot %d: a majority has forgotten", b)
		case x.ok:
			if x.chosen && x.of > 0 {
				to2.r[x.of].acked, to2.r[x.of].accepts = true, 0
			}
			t := &to2.r[b]
			t.based, t.value = true, x.value
			t.value.own |= 1 << b
			if b%2 == 1 {
				t.value.common = b
			}
			for i := range t.promises { // only what is told of the value by is needed from here on
				t.promises[i] = pagePromise{given: t.promises[i].given, chosen: t.promises[i].chosen}
			}
			to(to2, "ballot %d is based on %d, chosen %v", b, x.of, x.chosen)
		}
	}
}

func (k pageRules) accept(s pageWorld, b uint8, i int, to func(pageWorld, string, ...any)) {
	r, m := s.r[b], s.m[i]
	bases := []uint8{0} // to one that did not promise
	if p := r.promises[i]; p.given > 0 {
		bases[0] = p.chosen
	}
	if k.anyBase {
		bases = append(bases, b-1)
	}
	for _, base := range bases {
		x := once(k.accepted, accepting{m, b, base, r.value}, func() (x change) {
			a := m.load()
			if x.ok = a.CanAccept(ball(b), ball(base)) || k.anyBase && a.CanAccept(ball(b), configuration.Ballot{}); x.ok {
				delta := a.Delta(ChangedSince(r.value.kept(), ball(base)))
				a.Accept(ball(b), delta)
				if x.m = saved(a, contentOf(delta)); k.folds {
					x.m.base, x.m.chosen, x.m.delta = contentOf(itemsOf(a.Value)), b, content{}
				}
			}
			return x
		})
		n := s
		switch {
		case x.ok:
			n.m[i] = x.m
		case !k.counts:
			continue
		}
		if !r.acked {
			n.r[b].accepts |= 1 << i
		}
		to(n, "member %d accepts %d by what is after %d: %v", i, b, base, x.ok)
	}
}

func (k pageRules) learn(s pageWorld, i int, b uint8, to func(pageWorld, string, ...any)) {
	x := once(k.learned, learning{s.m[i], b}, func() (x change) {
		a := s.m[i].load()
		x.ok = a.Learn(ball(b))
		x.m = saved(a, content{})
		return x
	})
	if x.ok {
		n := s
		n.m[i] = x.m
		to(n, "member %d learns that %d is chosen", i, b)
	}
}

func (k pageRules) teach(s pageWorld, i int, target uint8, to func(pageWorld, string, ...any)) {
	for from := range target {
		for upto := from + 1; upto <= target; upto++ {
			x := once(k.turned, turning{s.m[i], from, upto, target, s.r[target].value}, func() change {
				return k.turn(s.m[i], from, upto, target, s.r[target].value)
			})
			if x.ok {
				n := s
				n.m[i] = x.m
				to(n, "member %d takes the page from %d up to %d of %d", i, from, upto, target)
			}
		}
	}
}

func (k pageRules) turn(m pageMember, from, upto, target uint8, value content) (x change) {
	p := Page{From: ball(from), UpTo: ball(upto), Target: ball(target)}
	for _, i := range ChangedSince(value.kept(), p.From) {
		if !p.UpTo.Less(i.Ballot) {
			p.Items = append(p.Items, i)
		}
	}
	a := m.load()
	if k.lower { // whatever it accepted
		a.Accepted = configuration.Ballot{}
	}
	if k.apart { // whatever it holds
		a.Chosen = p.From
	}
	if !a.CanApplyPage(p) {
		return x
	}
	promised := a.Promised
	a.ApplyPage(p)
	switch {
	case k.unpromised:
		a.Promised = promised
	case k.early:
		a.Chosen, a.Accepted, a.Target = ball(target), ball(target), configuration.Ballot{}
	case k.forgets && upto == target:
		a.Accepted, a.Target = a.Chosen, configuration.Ballot{}
	}
	x = change{true, saved(a, content{})}
	if k.beside && a.CatchingUp() {
		x.m.accepted, x.m.delta = m.accepted, m.delta
	}
	return x
}

func (k pageRules) broken(s pageWorld) string {
	if s.why > 0 {
		return "a majority has forgotten what was chosen"
	}
	for b := uint8(1); b <= lastRound; b++ {
		for c := b + 1; c <= lastRound; c++ {
			if s.r[b].acked && s.r[c].acked && s.r[c].value.own&(1<<b) == 0 {
				return "a chosen value is lost"
			}
		}
	}
	for _, m := range s.m {
		if m.target <= m.chosen && m.base != s.r[m.chosen].value {
			return "a base is not the value of its ballot"
		}
		value := m.base
		value.own |= m.delta.own
		value.common = max(value.common, m.delta.common)
		if m.accepted > 0 && value != s.r[m.accepted].value {
			return "what was accepted is not the value of its ballot"
		}
	}
	return ""
}

func TestWholeSpaceOfPages(t *testing.T) {
	for _, c := range []struct {
		name string
		k    pageRules
		ok   bool
	}{
		{"three rounds", pageRules{}, true},
		{"pages in force before the last", pageRules{early: true}, false},
		{"an accepted value beside pages", pageRules{beside: true}, false},
		{"pages in place of a later accepted value", pageRules{lower: true}, false},
		{"a delta over another base", pageRules{anyBase: true}, false},
		{"a delta folded before it is chosen", pageRules{folds: true}, false},
		{"a vote of a member that lags", pageRules{counts: true}, false},
		{"pages without a promise", pageRules{unpromised: true}, false},
		{"in force at a lower target than an earlier page had", pageRules{forgets: true}, false},
		{"a page that does not follow", pageRules{apart: true}, false},
	} {
		if modelcheck.RaceEnabled && c.ok {
			continue
		}
		begun := time.Now()
		k := c.k
		k.promised, k.based = map[promising]pagePromise{}, map[basing]basis{}
		k.accepted, k.learned, k.turned = map[accepting]change{}, map[learning]change{}, map[turning]change{}
		var first pageWorld
		v := content{own: 1 << 1, common: 1}
		first.r[1] = pageRound{begun: true, based: true, acked: true, value: v}
		for i := range 2 {
			first.m[i] = pageMember{promised: 1, accepted: 1, delta: v}
		}
		n, err := modelcheck.Explore(first, k.next, k.broken, 4e6)
		if wrong := modelcheck.CheckResult(c.ok, n, err); wrong != nil {
			t.Errorf("%s: %v", c.name, wrong)
		}
		t.Logf("%s: %d states in %v, %v", c.name, n, time.Since(begun).Round(time.Millisecond), err)
	}
}
