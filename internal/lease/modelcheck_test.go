package lease

import (
	"flag"
	"math/bits"
	"testing"
	"time"

	"saltmast/internal/modelcheck"
)

// The complete state space of two holders and three granters over one and a half spans, in steps of an eighth of a span. The
// first holder sends its request at once, the other at any time; a request reaches a granter at any later time, repeatedly, or
// never. Three spaces are explored: each holder asks once and answers arrive at any later time; each asks once and a granter
// restarts; the first holder renews when due or later. In the last two, answers arrive at once or never, which is the worst case
// for a lease counted from the request. A paused holder does nothing and keeps its lease by its own clock. Clock rates differ by
// slightly less than the margin allows, and clocks show different times.

const (
	step    = Span / 8
	steps   = 12
	maxAsks = 2 // requests of the first holder
	holders = 2
	members = 3
)

type granter struct {
	startedAt, until time.Duration
	holder           uint8
}

type holder struct {
	asked, until time.Duration
	grants       uint8
	asks         [maxAsks]uint8 // step of the request plus one; 0: none
	answers      [maxAsks]uint8 // bit set of the granters whose answer to it is under way
}

type world struct {
	at       uint8
	g        [members]granter
	h        [holders]holder
	restarts uint8
}

type rules struct {
	restarts                                            uint8
	fast, slow                                          float64 // clock rates of granters and holders
	countFromAnswer, useGranterClock, grantAfterRestart bool    // mutants
	noMargin                                            bool    // a mutant, too
	delay                                               bool    // answers are delayed
	once                                                bool    // each holder asks once
	long                                                bool    // only explored with -duty.all
}

func (k rules) granterNow(at uint8) time.Duration {
	return time.Duration(float64(time.Duration(at)*step)*k.fast) + 10*time.Second
}

func (k rules) holderNow(at uint8) time.Duration {
	return time.Duration(float64(time.Duration(at)*step)*k.slow) + 9*time.Second
}

func (h *holder) lease() Lease {
	l := Lease{Voters: members, requestedAt: h.asked, expiresAt: h.until}
	if h.asks[0] > 0 {
		l.grants = map[int]bool{}
		for i := range members {
			if h.grants&(1<<i) != 0 {
				l.grants[i] = true
			}
		}
	}
	return l
}

func (h *holder) take(l *Lease) {
	h.asked, h.until, h.grants = l.requestedAt, l.expiresAt, 0
	for i := range l.grants {
		h.grants |= 1 << i
	}
}

func (k rules) next(s world, to func(world, string, ...any)) {
	emit := func(s world, event string, args ...any) { to(s.canonical(), event, args...) }
	granterNow, holderNow := k.granterNow(s.at), k.holderNow(s.at)
	if s.at < steps && s.h[0].asks[0] > 0 {
		n := s
		n.at++
		for i := range n.g { // expired grants are all alike
			if g := &n.g[i]; k.granterNow(n.at) >= g.until {
				g.holder, g.until = 0, 0
			}
		}
		emit(n, "an eighth of a span")
	}
	for i := range members {
		g := s.g[i]
		if s.restarts < k.restarts {
			n := s
			n.restarts++
			l := NewGranter(granterNow)
			if k.grantAfterRestart {
				l.startedAt -= Span
			}
			n.g[i] = granter{startedAt: l.startedAt}
			emit(n, "granter %d restarts", i)
		}
		for j := range holders {
			for a, asked := range s.h[j].asks {
				if asked == 0 || s.h[j].answers[a]&(1<<i) != 0 && g.holder == uint8(j+1) && g.until == granterNow+Span {
					continue
				}
				l := &Granter{startedAt: g.startedAt, grants: map[Name]grant{}}
				if g.holder > 0 {
					l.grants[CatchUp] = grant{uint64(g.holder), g.until}
				}
				if l.Grant(granterNow, CatchUp, uint64(j+1)) {
					n := s
					n.g[i].holder, n.g[i].until = uint8(j+1), l.grants[CatchUp].expiresAt
					if k.delay {
						n.h[j].answers[a] |= 1 << i
					} else if n := n; k.receive(&n, j, a, i) {
						emit(n, "granter %d grants to %d, asked at %d, which receives the answer", i, j, asked-1)
					}
					emit(n, "granter %d grants to %d, asked at %d", i, j, asked-1)
				}
			}
		}
	}
	for j := range holders {
		h := s.h[j]
		l := h.lease()
		if s.at == 0 && j == 1 && s.h[0].asks[0] == 0 {
			continue
		}
		if free := bits.TrailingZeros8(^(uint8(min(h.asks[0], 1)) | uint8(min(h.asks[1], 1))<<1)); (free == 0 || free < maxAsks-j && !k.once && !k.delay) && l.BeginRenewal(holderNow) {
			n := s
			n.h[j].take(&l)
			n.h[j].asks[free] = s.at + 1
			emit(n, "holder %d asks", j)
		}
		for a, answers := range h.answers {
			for i := range members {
				if answers&(1<<i) == 0 || h.asks[a] == 0 {
					continue
				}
				n := s
				if k.receive(&n, j, a, i) {
					emit(n, "holder %d receives the answer of granter %d", j, i)
				}
			}
		}
	}
}

// receive delivers to a holder the grant of one of its requests, and reports whether that changes anything.
func (k rules) receive(s *world, j, a, i int) bool {
	h := s.h[j]
	l := h.lease()
	l.RecordGrant(k.holderNow(h.asks[a]-1), i)
	if l.expiresAt > h.until {
		switch {
		case k.countFromAnswer:
			l.expiresAt = k.holderNow(s.at) + Span - Margin
		case k.useGranterClock:
			l.expiresAt = k.granterNow(h.asks[a]-1) + Span - Margin
		case k.noMargin:
			l.expiresAt += Margin
		}
	}
	s.h[j].take(&l)
	return s.h[j] != h
}

// canonical returns s with its granters, which are interchangeable, in a fixed order.
func (s world) canonical() world {
	for range members {
		for i := range members - 1 {
			if s.weight(i) > s.weight(i+1) {
				s.g[i], s.g[i+1] = s.g[i+1], s.g[i]
				for j := range s.h {
					s.h[j].grants = swapped(s.h[j].grants, i)
					for a := range s.h[j].answers {
						s.h[j].answers[a] = swapped(s.h[j].answers[a], i)
					}
				}
			}
		}
	}
	return s
}

func (s *world) weight(i int) (w uint64) {
	g := s.g[i]
	w = uint64(g.until/time.Millisecond)<<24 + uint64((g.startedAt+Span)/time.Millisecond)<<9 + uint64(g.holder)
	for j := range s.h {
		w = w<<1 + uint64(s.h[j].grants>>i&1)
		for a := range s.h[j].answers {
			w = w<<1 + uint64(s.h[j].answers[a]>>i&1)
		}
	}
	return w
}

func swapped(m uint8, i int) uint8 {
	a, b := m>>i&1, m>>(i+1)&1
	return m&^(3<<i) | b<<i | a<<(i+1)
}

func (k rules) violation(s world) string {
	n := 0
	for j := range s.h {
		if l := s.h[j].lease(); l.Held(k.holderNow(s.at)) {
			n++
		}
	}
	if n > 1 {
		return "two hold the lease"
	}
	return ""
}

var all = flag.Bool("duty.all", false, "walk the large spaces too")

func TestWholeSpaceOfLeases(t *testing.T) {
	for _, c := range []struct {
		name string
		k    rules
		ok   bool
	}{
		{"a restart", rules{long: true, restarts: 1, once: true, fast: 1.06, slow: 0.94}, true},
		{"a renewal", rules{long: true, fast: 1.06, slow: 0.94}, true},
		{"delayed answers", rules{delay: true, fast: 1.06, slow: 0.94}, true},
		{"counted from the answer", rules{delay: true, fast: 1, slow: 1, countFromAnswer: true}, false},
		{"counted by the granter's clock", rules{fast: 1, slow: 1, useGranterClock: true}, false},
		{"a granter that grants right after a restart", rules{restarts: 1, fast: 1, slow: 1, grantAfterRestart: true}, false},
		{"no margin", rules{fast: 1.06, slow: 0.94, noMargin: true}, false},
	} {
		if modelcheck.RaceEnabled || c.k.long && !*all {
			continue
		}
		var first world
		for i := range first.g {
			first.g[i].startedAt = -Span
		}
		startedAt := time.Now()
		n, err := modelcheck.Explore(first, c.k.next, c.k.violation, 5e6)
		if mismatch := modelcheck.CheckResult(c.ok, n, err); mismatch != nil {
			t.Errorf("%s: %v", c.name, mismatch)
		}
		t.Logf("%s: %d states in %v", c.name, n, time.Since(startedAt).Round(time.Millisecond))
		if err != nil && !c.ok {
			t.Logf("\t%v", err)
		}
	}
}
