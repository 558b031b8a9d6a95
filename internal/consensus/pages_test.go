package consensus

import (
	"fmt"
	"testing"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/modelcheck"
)

// These tests explore all states of three voters, each with a base and a delta on disk. Rounds run at any time, proposers hold any
// chosen value or none, and pages of any chosen value arrive in any order, any number of times, and may stop anywhere. Each
// step begins with the state on disk, so that a restart before any step is covered. Each ballot changes an item of its own, and
// odd ballots also a common one, so that an item is changed, left alone by the next ballot and changed again.

// content is a set of items: a bit set of the ballots' own items, and the ballot that changed the common item last.
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
	started, based, acked bool
	have                  uint8
	value                 content
	promises              [members]pagePromise
	accepts               uint8
}

type pageWorld struct {
	m        [members]pageMember
	r        [5]pageRound // by ballot
	violated uint8        // a rule that a step violated
}

type pageRules struct {
	// Mutants, each a wrong implementation.
	inForceEarly, keepsAccepted, overridesAccepted, anyBase, foldsEarly, countsLagging, skipsPromise, forgetsTarget, acceptsGaps bool

	promised     map[promiseKey]pagePromise
	based        map[baseKey]baseResult
	accepted     map[acceptKey]memberResult
	learned      map[learnKey]memberResult
	pagesApplied map[pageKey]memberResult
}

// Keys and values of the caches for the results of the code under test.
type (
	promiseKey struct {
		m       pageMember
		b, have uint8
	}
	baseKey struct {
		have     uint8
		held     content
		promises [members]pagePromise
	}
	baseResult struct {
		short, ok, chosen bool
		of                uint8
		value             content
	}
	acceptKey struct {
		m       pageMember
		b, base uint8
		value   content
	}
	learnKey struct {
		m pageMember
		b uint8
	}
	pageKey struct {
		m                  pageMember
		from, upto, target uint8
		value              content
	}
	memberResult struct {
		ok bool
		m  pageMember
	}
)

func memoize[K comparable, V any](known map[K]V, k K, f func() V) V {
	v, ok := known[k]
	if !ok {
		v = f()
		known[k] = v
	}
	return v
}

// lastRound is the last ballot: two rounds follow the first, which two voters have accepted and the third has missed.
const lastRound = 3

const forgotten uint8 = 1

func (c content) set() configuration.Set {
	var items []configuration.Item
	for b := uint8(1); b <= 4; b++ {
		if c.own&(1<<b) != 0 {
			items = append(items, configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: fmt.Sprint("own", b)}, Version: configuration.Version(b), Ballot: ballot(b)})
		}
	}
	if c.common > 0 {
		items = append(items, configuration.Item{Key: configuration.Key{Kind: configuration.Limits}, Version: configuration.Version(c.common), Ballot: ballot(c.common)})
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

// sets caches the result of content.set.
var sets = map[content]configuration.Set{}

func (c content) cachedSet() configuration.Set {
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

// load returns the acceptor that a voter reads from its disk.
func (m pageMember) load() *Acceptor {
	a := &Acceptor{Promised: ballot(m.promised), Accepted: ballot(m.accepted), Chosen: ballot(m.chosen), Target: ballot(m.target), Base: m.base.cachedSet()}
	if m.accepted > 0 {
		a.Value = a.Base.With(itemsOf(m.delta.cachedSet())...)
	}
	return a
}

// stored returns what a voter writes to its disk.
func stored(a *Acceptor, delta content) pageMember {
	m := pageMember{uint8(a.Promised.N), uint8(a.Accepted.N), uint8(a.Chosen.N), 0, contentOf(itemsOf(a.Base)), delta}
	if a.CatchingUp() {
		m.target = uint8(a.Target.N)
	}
	return m
}

// canonical returns s with its interchangeable voters sorted by rank.
func (s pageWorld) canonical() pageWorld {
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
		if s.rank(p[0]) > s.rank(p[1]) {
			swap(p[0], p[1])
		}
	}
	return s
}

func (s *pageWorld) rank(i int) (n uint64) {
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
	if s.violated > 0 {
		return
	}
	canon := func(s pageWorld, event string, args ...any) { to(s.canonical(), event, args...) }
	for b := uint8(1); b <= lastRound; b++ {
		if b > 1 {
			k.round(s, b, canon)
		}
		if s.r[b].acked {
			for i := range members {
				k.learn(s, i, b, canon)
				k.sendPages(s, i, b, canon)
			}
		}
	}
}

func (k pageRules) round(s pageWorld, b uint8, to func(pageWorld, string, ...any)) {
	r := s.r[b]
	switch {
	case !r.started: // by a proposer that holds a chosen value, or none
		for have := range b {
			if have == 0 || s.r[have].acked {
				n := s
				n.r[b].started, n.r[b].have = true, have
				to(n, "ballot %d begins, with %d held", b, have)
			}
		}
	case !r.based:
		for i, m := range s.m {
			if r.promises[i].given > 0 {
				continue
			}
			p := memoize(k.promised, promiseKey{m, b, r.have}, func() (answer pagePromise) {
				if a := m.load(); a.Prepare(ballot(b)) {
					p := a.Promise(origin(i, 1), ballot(r.have))
					answer = pagePromise{1, m.accepted, m.chosen, uint8(p.KnownChosen.N), contentOf(p.Items)}
				}
				return answer
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

// base continues a round with the promises of any majority.
func (k pageRules) base(s pageWorld, b uint8, to func(pageWorld, string, ...any)) {
	r := s.r[b]
	for of := range 1 << members {
		given := baseKey{have: r.have, held: s.r[r.have].value}
		n := 0
		for i, p := range r.promises {
			if of&(1<<i) != 0 && p.given > 0 {
				given.promises[i] = p
				n++
			}
		}
		if n < Majority(members) {
			continue
		}
		x := memoize(k.based, given, func() (x baseResult) {
			g := Round{Voters: members, HeldBallot: ballot(r.have), HeldValue: given.held.cachedSet()}
			for i, p := range given.promises {
				if p.given > 0 {
					g.Add(Promise{Origin: origin(i, 1), Granted: true, Accepted: ballot(p.accepted), Chosen: ballot(p.chosen), KnownChosen: ballot(p.known), Items: itemsOf(p.items.cachedSet())})
				}
			}
			value, at, chosen, ok := g.Base()
			return baseResult{g.NoBaseReason != "", ok, chosen, uint8(at.N), contentOf(itemsOf(value))}
		})
		after := s
		switch {
		case x.short:
			after.violated = forgotten
			to(after, "ballot %d: a majority has forgotten", b)
		case x.ok:
			if x.chosen && x.of > 0 {
				after.r[x.of].acked, after.r[x.of].accepts = true, 0
			}
			t := &after.r[b]
			t.based, t.value = true, x.value
			t.value.own |= 1 << b
			if b%2 == 1 {
				t.value.common = b
			}
			for i := range t.promises { // from here on only these two fields are used
				t.promises[i] = pagePromise{given: t.promises[i].given, chosen: t.promises[i].chosen}
			}
			to(after, "ballot %d is based on %d, chosen %v", b, x.of, x.chosen)
		}
	}
}

func (k pageRules) accept(s pageWorld, b uint8, i int, to func(pageWorld, string, ...any)) {
	r, m := s.r[b], s.m[i]
	bases := []uint8{0} // for a voter that did not promise
	if p := r.promises[i]; p.given > 0 {
		bases[0] = p.chosen
	}
	if k.anyBase {
		bases = append(bases, b-1)
	}
	for _, base := range bases {
		x := memoize(k.accepted, acceptKey{m, b, base, r.value}, func() (x memberResult) {
			a := m.load()
			if x.ok = a.CanAccept(ballot(b), ballot(base)) || k.anyBase && a.CanAccept(ballot(b), configuration.Ballot{}); x.ok {
				delta := a.Delta(ChangedSince(r.value.cachedSet(), ballot(base)))
				a.Accept(ballot(b), delta)
				if x.m = stored(a, contentOf(delta)); k.foldsEarly {
					x.m.base, x.m.chosen, x.m.delta = contentOf(itemsOf(a.Value)), b, content{}
				}
			}
			return x
		})
		n := s
		switch {
		case x.ok:
			n.m[i] = x.m
		case !k.countsLagging:
			continue
		}
		if !r.acked {
			n.r[b].accepts |= 1 << i
		}
		to(n, "member %d accepts %d, given the items after %d: %v", i, b, base, x.ok)
	}
}

func (k pageRules) learn(s pageWorld, i int, b uint8, to func(pageWorld, string, ...any)) {
	x := memoize(k.learned, learnKey{s.m[i], b}, func() (x memberResult) {
		a := s.m[i].load()
		x.ok = a.Learn(ballot(b))
		x.m = stored(a, content{})
		return x
	})
	if x.ok {
		n := s
		n.m[i] = x.m
		to(n, "member %d learns that %d is chosen", i, b)
	}
}

func (k pageRules) sendPages(s pageWorld, i int, target uint8, to func(pageWorld, string, ...any)) {
	for from := range target {
		for upto := from + 1; upto <= target; upto++ {
			x := memoize(k.pagesApplied, pageKey{s.m[i], from, upto, target, s.r[target].value}, func() memberResult {
				return k.applyPage(s.m[i], from, upto, target, s.r[target].value)
			})
			if x.ok {
				n := s
				n.m[i] = x.m
				to(n, "member %d takes the page from %d up to %d of %d", i, from, upto, target)
			}
		}
	}
}

func (k pageRules) applyPage(m pageMember, from, upto, target uint8, value content) (x memberResult) {
	p := Page{From: ballot(from), UpTo: ballot(upto), Target: ballot(target)}
	for _, i := range ChangedSince(value.cachedSet(), p.From) {
		if !p.UpTo.Less(i.Ballot) {
			p.Items = append(p.Items, i)
		}
	}
	a := m.load()
	if k.overridesAccepted { // mutant: regardless of what it accepted
		a.Accepted = configuration.Ballot{}
	}
	if k.acceptsGaps { // mutant: regardless of what it holds
		a.Chosen = p.From
	}
	if !a.CanApplyPage(p) {
		return x
	}
	promised := a.Promised
	a.ApplyPage(p)
	switch {
	case k.skipsPromise:
		a.Promised = promised
	case k.inForceEarly:
		a.Chosen, a.Accepted, a.Target = ballot(target), ballot(target), configuration.Ballot{}
	case k.forgetsTarget && upto == target:
		a.Accepted, a.Target = a.Chosen, configuration.Ballot{}
	}
	x = memberResult{true, stored(a, content{})}
	if k.keepsAccepted && a.CatchingUp() {
		x.m.accepted, x.m.delta = m.accepted, m.delta
	}
	return x
}

func (k pageRules) violation(s pageWorld) string {
	if s.violated > 0 {
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
			return "the accepted value is not the value of its ballot"
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
		{"pages in force before the last one", pageRules{inForceEarly: true}, false},
		{"an accepted value beside pages", pageRules{keepsAccepted: true}, false},
		{"pages in place of a later accepted value", pageRules{overridesAccepted: true}, false},
		{"a delta over another base", pageRules{anyBase: true}, false},
		{"a delta folded before it is chosen", pageRules{foldsEarly: true}, false},
		{"a vote of a lagging member is counted", pageRules{countsLagging: true}, false},
		{"pages without a promise", pageRules{skipsPromise: true}, false},
		{"in force at a lower target than that of an earlier page", pageRules{forgetsTarget: true}, false},
		{"a page that does not follow", pageRules{acceptsGaps: true}, false},
	} {
		if modelcheck.RaceEnabled && c.ok {
			continue
		}
		start := time.Now()
		k := c.k
		k.promised, k.based = map[promiseKey]pagePromise{}, map[baseKey]baseResult{}
		k.accepted, k.learned, k.pagesApplied = map[acceptKey]memberResult{}, map[learnKey]memberResult{}, map[pageKey]memberResult{}
		var first pageWorld
		v := content{own: 1 << 1, common: 1}
		first.r[1] = pageRound{started: true, based: true, acked: true, value: v}
		for i := range 2 {
			first.m[i] = pageMember{promised: 1, accepted: 1, delta: v}
		}
		n, err := modelcheck.Explore(first, k.next, k.violation, 4e6)
		if problem := modelcheck.CheckResult(c.ok, n, err); problem != nil {
			t.Errorf("%s: %v", c.name, problem)
		}
		t.Logf("%s: %d states in %v, %v", c.name, n, time.Since(start).Round(time.Millisecond), err)
	}
}
