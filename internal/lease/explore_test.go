package lease

import (
	"flag"
	"math/bits"
	"testing"
	"time"

	"saltmast/internal/modelcheck"
)

// The whole space of two holders and three granters through a span and a half, in steps of an eighth of one. The first holder
// asks at once, the other at any time; what they ask comes to granters at any later time, again and again, or never. Walked are:
// both ask once, and answers too come at any later time; both ask once, and a granter loses its memory; the first asks again when
// it is due or later. In the last two answers come at once or never, which for a lease counted from the ask is the worst. A holder
// that stands still does nothing, and holds what it holds by its clock. Clocks run at rates that differ by a little less than the
// margin bears, and tell different times.

const (
	step    = Span / 8
	steps   = 12
	most    = 2 // asks of the first holder
	holders = 2
	members = 3
)

type granter struct {
	began, until time.Duration
	by           uint8
}

type holder struct {
	asked, until time.Duration
	grants       uint8
	asks         [most]uint8 // step and one
	told         [most]uint8 // who granted that
}

type world struct {
	at       uint8
	g        [members]granter
	h        [holders]holder
	restarts uint8
}

type rules struct {
	restarts            uint8
	fast, slow          float64 // rates of granters and holders
	late, theirs, eager bool    // mutants
	noMargin            bool
	delay               bool // answers come late
	once                bool // each holder asks once
	long                bool // walked with -duty.all
}

func (k rules) theirNow(at uint8) time.Duration {
	return time.Duration(float64(time.Duration(at)*step)*k.fast) + 10*time.Second
}

func (k rules) ownNow(at uint8) time.Duration {
	return time.Duration(float64(time.Duration(at)*step)*k.slow) + 9*time.Second
}

func (h *holder) lease() Lease {
	l := Lease{Members: members, asked: h.asked, until: h.until}
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
	h.asked, h.until, h.grants = l.asked, l.until, 0
	for i := range l.grants {
		h.grants |= 1 << i
	}
}

func (k rules) next(s world, to func(world, string, ...any)) {
	emit := func(s world, event string, args ...any) { to(s.least(), event, args...) }
	theirs, own := k.theirNow(s.at), k.ownNow(s.at)
	if s.at < steps && s.h[0].asks[0] > 0 {
		n := s
		n.at++
		for i := range n.g { // what is over is over
			if g := &n.g[i]; k.theirNow(n.at) >= g.until {
				g.by, g.until = 0, 0
			}
		}
		emit(n, "an eighth of a span")
	}
	for i := range members {
		g := s.g[i]
		if s.restarts < k.restarts {
			n := s
			n.restarts++
			l := NewLedger(theirs)
			if k.eager {
				l.began -= Span
			}
			n.g[i] = granter{began: l.began}
			emit(n, "granter %d restarts", i)
		}
		for j := range holders {
			for a, asked := range s.h[j].asks {
				if asked == 0 || s.h[j].told[a]&(1<<i) != 0 && g.by == uint8(j+1) && g.until == theirs+Span {
					continue
				}
				l := &Ledger{began: g.began, held: map[Name]held{}}
				if g.by > 0 {
					l.held[Teach] = held{uint64(g.by), g.until}
				}
				if l.Grant(theirs, Teach, uint64(j+1)) {
					n := s
					n.g[i].by, n.g[i].until = uint8(j+1), l.held[Teach].until
					if k.delay {
						n.h[j].told[a] |= 1 << i
					} else if n := n; k.hear(&n, j, a, i) {
						emit(n, "granter %d grants to %d, asked at %d, which hears it", i, j, asked-1)
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
		if free := bits.TrailingZeros8(^(uint8(min(h.asks[0], 1)) | uint8(min(h.asks[1], 1))<<1)); (free == 0 || free < most-j && !k.once && !k.delay) && l.Due(own) {
			n := s
			n.h[j].take(&l)
			n.h[j].asks[free] = s.at + 1
			emit(n, "holder %d asks", j)
		}
		for a, told := range h.told {
			for i := range members {
				if told&(1<<i) == 0 || h.asks[a] == 0 {
					continue
				}
				n := s
				if k.hear(&n, j, a, i) {
					emit(n, "holder %d hears granter %d", j, i)
				}
			}
		}
	}
}

// hear has a holder hear the grant of one of its asks, and reports whether that changes anything.
func (k rules) hear(s *world, j, a, i int) bool {
	h := s.h[j]
	l := h.lease()
	l.Granted(k.ownNow(h.asks[a]-1), i)
	if l.until > h.until {
		switch {
		case k.late:
			l.until = k.ownNow(s.at) + Span - Margin
		case k.theirs:
			l.until = k.theirNow(h.asks[a]-1) + Span - Margin
		case k.noMargin:
			l.until += Margin
		}
	}
	s.h[j].take(&l)
	return s.h[j] != h
}

// least is s with its granters, which are alike, in one order.
func (s world) least() world {
	for range members {
		for i := range members - 1 {
			if s.weight(i) > s.weight(i+1) {
				s.g[i], s.g[i+1] = s.g[i+1], s.g[i]
				for j := range s.h {
					s.h[j].grants = swapped(s.h[j].grants, i)
					for a := range s.h[j].told {
						s.h[j].told[a] = swapped(s.h[j].told[a], i)
					}
				}
			}
		}
	}
	return s
}

func (s *world) weight(i int) (w uint64) {
	g := s.g[i]
	w = uint64(g.until/time.Millisecond)<<24 + uint64((g.began+Span)/time.Millisecond)<<9 + uint64(g.by)
	for j := range s.h {
		w = w<<1 + uint64(s.h[j].grants>>i&1)
		for a := range s.h[j].told {
			w = w<<1 + uint64(s.h[j].told[a]>>i&1)
		}
	}
	return w
}

func swapped(m uint8, i int) uint8 {
	a, b := m>>i&1, m>>(i+1)&1
	return m&^(3<<i) | b<<i | a<<(i+1)
}

func (k rules) broken(s world) string {
	n := 0
	for j := range s.h {
		if l := s.h[j].lease(); l.Holds(k.ownNow(s.at)) {
			n++
		}
	}
	if n > 1 {
		return "two hold the duty"
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
		{"asked again", rules{long: true, fast: 1.06, slow: 0.94}, true},
		{"answers that come late", rules{delay: true, fast: 1.06, slow: 0.94}, true},
		{"counted from the answer", rules{delay: true, fast: 1, slow: 1, late: true}, false},
		{"by the granter's clock", rules{fast: 1, slow: 1, theirs: true}, false},
		{"a granter that grants right after a restart", rules{restarts: 1, fast: 1, slow: 1, eager: true}, false},
		{"no margin", rules{fast: 1.06, slow: 0.94, noMargin: true}, false},
	} {
		if modelcheck.RaceEnabled || c.k.long && !*all {
			continue
		}
		var first world
		for i := range first.g {
			first.g[i].began = -Span
		}
		begun := time.Now()
		n, err := modelcheck.Explore(first, c.k.next, c.k.broken, 5e6)
		if wrong := modelcheck.CheckResult(c.ok, n, err); wrong != nil {
			t.Errorf("%s: %v", c.name, wrong)
		}
		t.Logf("%s: %d states in %v", c.name, n, time.Since(begun).Round(time.Millisecond))
		if err != nil && !c.ok {
			t.Logf("\t%v", err)
		}
	}
}
