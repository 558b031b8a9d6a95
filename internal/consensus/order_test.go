package consensus

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/modelcheck"
)

// The whole space of orders that are sent, some of them twice, to agents that each run rounds as they like, with three members:
// a round is promised by any majority at once, its value comes to members one by one or never, agents stop anywhere, an order
// whose round did not come through is tried again on a later state, or was answered with nothing. A second copy is sent at any
// time. An agent may know of any refusal that was chosen when an order comes to it, and of the newest of them here: that is
// where it takes most. Members keep what they told: what they lose is walked in TestWholeSpaceOfRounds.

const (
	mostRounds = 5
	mostCopies = 4
)

// try is one round, by its ballot: its number, from 1.
type try struct {
	copy, base    uint8 // by which copy, and the ballot it builds on
	value         uint8 // of values
	verdict       Verdict
	lays          bool  // its value has the order, which its base had not
	writes        bool  // its value is to be accepted before it answers
	had           uint8 // members that accepted it
	chosen, ended bool
}

type sent struct {
	came         bool
	seen         uint8 // the newest ballot that was chosen when it came
	done         bool  // it was answered
	acknowledged bool
	refused      uint8 // by the round of that ballot; 0: it was not
}

type orders struct {
	promised, accepted [members]uint8
	tries              [mostRounds]try
	copies             [mostCopies]sent
	n                  uint8 // rounds begun
}

type harbourRules struct {
	copies []uint8 // which order each copy is of
	calls  [][]configuration.Item
	rounds uint8
	early  bool // all come at the beginning: nothing hangs on when
	never  int  // the order that is valid at no time, plus one

	lazy       bool // a refusal is told without a write where what it is refused for stands already
	forgetful  bool // refusals are not remembered
	recordless bool // numbers below the one that stands are acknowledged whatever they hold
	byteWise   bool // contents are compared by their bytes

	sums   []uint64
	values []configuration.Set
	names  map[string]uint8
	laid   map[[4]uint8]try
}

// value is the number of a set.
func (k *harbourRules) value(s configuration.Set) uint8 {
	var items []configuration.Item
	for i := range s.All() {
		i.Ballot = configuration.Ballot{}
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b configuration.Item) int {
		return cmp.Or(cmp.Compare(a.Key.Kind, b.Key.Kind), cmp.Compare(a.Key.Name, b.Key.Name))
	})
	name := fmt.Sprint(items)
	n, ok := k.names[name]
	if !ok {
		n = uint8(len(k.values))
		k.names[name], k.values = n, append(k.values, s)
	}
	return n
}

// lay is what a round of an order makes of a value.
func (k *harbourRules) lay(order, since, value uint8) (t try) {
	at := [4]uint8{order, since, value}
	if t, ok := k.laid[at]; ok {
		return t
	}
	o := Order{Items: k.calls[order], Since: configuration.Version(since)}
	base := k.values[value]
	if k.recordless {
		for i := range base.All() {
			if i.Key.Kind != configuration.Refusals {
				i.PastVersions = nil
				base = base.With(i)
			}
		}
		o.Items = slices.DeleteFunc(slices.Clone(o.Items), func(i configuration.Item) bool { cur, _ := base.Get(i.Key); return i.Version < cur.Version })
	}
	if k.byteWise {
		for _, i := range o.Items {
			if cur, _ := base.Get(i.Key); cur.Version == i.Version && string(cur.Spec) != string(i.Spec) {
				return try{value: value, verdict: Conflicts}
			}
		}
	}
	out := o.Lay(base, configuration.Ballot{N: 1}, func(next configuration.Set) error { return next.Check() })
	if k.forgetful && out.Verdict == Invalid {
		out.Next = base
	}
	t = try{value: k.value(out.Next), verdict: out.Verdict, lays: out.Verdict == Acknowledged && len(out.Changes) > 0}
	t.writes = len(out.Changes) > 0 && !(k.lazy && out.Verdict != Acknowledged)
	if k.lazy && out.Verdict != Acknowledged {
		t.value = value
	}
	k.laid[at] = t
	return t
}

func (s *orders) valueOf(b uint8) uint8 {
	if b == 0 {
		return 0
	}
	return s.tries[b-1].value
}

// newest is the highest ballot that was chosen.
func (s *orders) newest() (b uint8) {
	for n := range s.n {
		if s.tries[n].chosen {
			b = n + 1
		}
	}
	return b
}

// least is s with what can't matter any more left out, and its members, which are alike, in one order.
func (s orders) least() orders {
	for n := range s.n {
		t, can := &s.tries[n], 0
		for i := range members {
			if t.had&(1<<i) != 0 || s.promised[i] <= n+1 {
				can++
			}
		}
		if can < Majority(members) && !t.chosen { // it is never chosen: its agent may give it up as well
			t.ended = true
		}
	}
	if b := s.newest(); b > 0 { // whatever comes is built on it
		in, open := [mostRounds + 1]bool{}, false
		for at := b; at > 0; at = s.tries[at-1].base {
			in[at] = true
		}
		for n := range b - 1 {
			if t := &s.tries[n]; !in[n+1] && !t.chosen {
				*t = try{copy: t.copy, ended: true}
			} else if t.ended {
				t.had = 0
			} else {
				open = true
			}
		}
		for i := range members {
			if s.accepted[i] < b {
				s.accepted[i] = 0
			}
			if !open {
				s.promised[i] = max(s.promised[i], b)
			}
		}
	}
	low := s
	for _, p := range [][members]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		x := s
		for i, from := range p {
			x.promised[i], x.accepted[i] = s.promised[from], s.accepted[from]
		}
		for n := range s.n {
			x.tries[n].had = 0
			for i, from := range p {
				x.tries[n].had |= s.tries[n].had >> from & 1 << i
			}
		}
		if x.order() < low.order() {
			low = x
		}
	}
	return low
}

func (s *orders) order() (n uint64) {
	for i := range members {
		n = n<<6 | uint64(s.promised[i])<<3 | uint64(s.accepted[i])
	}
	for _, t := range s.tries {
		n = n<<members | uint64(t.had)
	}
	return n
}

func (k *harbourRules) next(s orders, tell func(orders, string, ...any)) {
	to := func(s orders, event string, args ...any) { tell(s.least(), event, args...) }
	for c, order := range k.copies {
		is := s.copies[c]
		if !is.came {
			n := s
			n.copies[c].came = true
			n.copies[c].seen = s.newest()
			to(n, "copy %d, of order %d, comes", c, order)
			continue
		}
		under := slices.ContainsFunc(s.tries[:s.n], func(t try) bool { return int(t.copy) == c && !t.ended })
		if is.done || under || s.n >= k.rounds {
			continue
		}
		for without := range members { // what all three promise, two of them do as well
			k.prepare(s, uint8(c), without, to)
		}
	}
	for n := range s.n {
		k.go1(s, n, to)
	}
}

// prepare has a new round promised by all members without one.
func (k *harbourRules) prepare(s orders, c uint8, without int, to func(orders, string, ...any)) {
	b := s.n + 1
	base, votes := uint8(0), 0
	for i := range members {
		if i == without {
			continue
		}
		s.promised[i] = b
		base = max(base, s.accepted[i])
	}
	for i := range members {
		if i != without && s.accepted[i] == base {
			votes++
		}
	}
	last, _ := k.values[s.valueOf(s.copies[c].seen)].Get(refusals)
	t := k.lay(k.copies[c], uint8(last.Version), s.valueOf(base))
	t.copy, t.base = c, base
	s.n = b
	if votes >= Majority(members) {
		if base > 0 {
			s.tries[base-1].chosen = true // it was already: now it is known
		}
		if !t.writes {
			t.ended = true
			s.tries[b-1] = t
			s.answer(b, t)
			to(s, "ballot %d of copy %d finds %d chosen: %d", b, c, base, t.verdict)
			return
		}
	}
	s.tries[b-1] = t
	to(s, "ballot %d of copy %d is based on %d: %d", b, c, base, t.verdict)
}

// answer takes the answer of a round that came through.
func (s *orders) answer(b uint8, t try) {
	c := &s.copies[t.copy]
	c.done = true
	switch t.verdict {
	case Acknowledged:
		c.acknowledged = true
	case Conflicts, Invalid:
		c.refused = b
	}
}

// go1 goes on with one round: a member accepts its value, it was chosen, or its agent gives it up while its value may still come
// to members.
func (k *harbourRules) go1(s orders, at uint8, to func(orders, string, ...any)) {
	b, t := at+1, s.tries[at]
	if t.ended && !t.writes && t.had == 0 && t.value == s.valueOf(t.base) && t.chosen {
		return
	}
	for i := range members {
		if t.had&(1<<i) == 0 && s.promised[i] <= b && !(t.ended && !t.writes) {
			n := s
			n.promised[i], n.accepted[i] = b, b
			n.tries[at].had |= 1 << i
			if count(n.tries[at].had) >= Majority(members) {
				n.tries[at].chosen = true
				if !t.ended {
					n.tries[at].ended = true
					m := n
					m.answer(b, t) // or its answer is lost, or never given
					to(m, "member %d accepts %d, which is chosen", i, b)
				}
			}
			if !n.tries[at].ended || t.ended {
				to(n, "member %d accepts %d", i, b)
			}
		}
	}
	if !t.ended {
		n := s
		n.tries[at].ended = true
		to(n, "copy %d gives ballot %d up", t.copy, b)
	}
}

func count(set uint8) (n int) {
	for ; set > 0; set &= set - 1 {
		n++
	}
	return n
}

// broken: no number is confirmed with two contents, nothing that was taken is refused, nothing that was refused comes into force by a
// copy that was there already.
func (k *harbourRules) broken(s orders) string {
	content := map[string]uint8{}
	for c, is := range s.copies[:len(k.copies)] {
		if !is.acknowledged {
			continue
		}
		if int(k.copies[c])+1 == k.never {
			return "what is never valid is confirmed"
		}
		for _, i := range k.calls[k.copies[c]] {
			number := fmt.Sprint(i.Key, i.Version)
			if o, ok := content[number]; ok && !k.sameContent(o, k.copies[c], i.Key) {
				return number + " is confirmed with two contents"
			}
			content[number] = k.copies[c]
		}
	}
	taken := [mostCopies]bool{}
	for b := s.newest(); b > 0; b = s.tries[b-1].base {
		if t := s.tries[b-1]; t.lays {
			taken[t.copy] = true
		}
	}
	for c, is := range s.copies[:len(k.copies)] {
		for d := range k.copies {
			if k.sums[k.copies[c]] == k.sums[k.copies[d]] && s.copies[d].seen < is.refused && (taken[d] || s.copies[d].acknowledged) {
				return fmt.Sprintf("order %d is refused and taken", k.copies[c])
			}
		}
	}
	return ""
}

func (k *harbourRules) sameContent(a, b uint8, key configuration.Key) bool {
	at := func(n uint8) configuration.Item {
		return k.calls[n][slices.IndexFunc(k.calls[n], func(i configuration.Item) bool { return i.Key == key })]
	}
	return at(a).SameContent(at(b))
}

func TestWholeSpaceOfOrders(t *testing.T) {
	call := func(upsert, remove string) []configuration.Item {
		c, err := configuration.DecodeCall([]byte(`{"upsert":{"resources":[` + upsert + `]},"remove":{` + remove + `}}`))
		if err != nil || c.Check() != nil {
			t.Fatal(err, c.Check())
		}
		return c.Items
	}
	route := func(version int, service, more string) string {
		return fmt.Sprintf(`{"resource-kind":"routes","metadata":{"name":"x","version":"r%d"},"specification":{%s"host":"h","path-prefix":"/x/","route-kind":"idempotent","deadline-s":1,"service":"%s"}}`, version, more, service)
	}
	service := func(name string, version int) string {
		return fmt.Sprintf(`{"resource-kind":"services","metadata":{"name":"%s","version":"r%d"},"specification":{}}`, name, version)
	}
	base := call(service("a", 1)+","+service("b", 1), "")
	toC := call(route(1, "c", ""), "")
	addC := call(service("c", 1), "")
	dropB := call("", `"services":[{"name":"b","version":"r2"}]`)
	againB := call(service("b", 3), "")
	toA, toB := call(route(1, "a", ""), ""), call(route(1, "b", ""), "")
	spelled := call(`{"resource-kind":"routes","metadata":{"name":"x","version":"r1"},"specification":{"deadline-s":1.0,"service":"\u0061","route-kind":"idempotent","path-prefix":"\/x/","host":"h"}}`, "")
	higher := call(route(2, "b", ""), "")
	gone := call("", `"routes":[{"name":"x","version":"r3"}]`)
	for _, c := range []struct {
		name   string
		calls  [][]configuration.Item
		copies []uint8
		rounds uint8
		early  bool
		wrong  func(*harbourRules)
	}{
		{"two contents and a higher number", [][]configuration.Item{toA, toB, higher}, []uint8{0, 1, 2}, 4, true, nil},
		{"removed and made anew", [][]configuration.Item{toA, gone, toB}, []uint8{0, 1, 2}, 4, true, nil},
		{"an order that hangs on another", [][]configuration.Item{addC, toC}, []uint8{0, 1, 1}, 4, false, nil},
		{"what it hangs on goes and comes", [][]configuration.Item{dropB, toB, againB}, []uint8{0, 1, 1, 2}, 4, true, nil},
		{"one content, spelled in two ways", [][]configuration.Item{toA, spelled, higher}, []uint8{0, 1, 2}, 4, true, nil},
		{"an invalid one that comes too late", [][]configuration.Item{toC, higher}, []uint8{0, 1, 0}, 4, true, nil},
		{"a lower number is acknowledged whatever it holds", [][]configuration.Item{toA, toB, higher}, []uint8{0, 1, 2}, 4, true,
			func(k *harbourRules) { k.recordless = true }},
		{"a content that is compared by its bytes", [][]configuration.Item{toA, spelled, higher}, []uint8{0, 1, 2}, 4, true,
			func(k *harbourRules) { k.byteWise = true }},
		{"what comes too late is not looked at", [][]configuration.Item{toC, higher}, []uint8{0, 1, 0}, 4, true,
			func(k *harbourRules) { k.recordless, k.never = true, 1 }},
		{"a refusal that is not written", [][]configuration.Item{addC, toC}, []uint8{0, 1, 1}, 5, false, func(k *harbourRules) { k.lazy = true }},
		{"a refusal that is not remembered", [][]configuration.Item{addC, toC}, []uint8{1, 0, 1}, 4, true, func(k *harbourRules) { k.forgetful = true }},
	} {
		if modelcheck.Slow && c.wrong == nil {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			k := &harbourRules{copies: c.copies, calls: c.calls, rounds: c.rounds, early: c.early, names: map[string]uint8{}, laid: map[[4]uint8]try{}}
			for _, items := range c.calls {
				k.sums = append(k.sums, configuration.DigestItems(items))
			}
			k.value(configuration.SetOf(base...))
			if strings.HasPrefix(c.name, "an invalid one") {
				k.never = 1
			}
			if c.wrong != nil {
				c.wrong(k)
			}
			begun := time.Now()
			var begin orders
			for n := range c.copies {
				begin.copies[n].came = k.early
			}
			n, err := modelcheck.Whole(begin, k.next, k.broken, 4e6)
			if wrong := modelcheck.Verdict(c.wrong == nil, n, err); wrong != nil {
				t.Error(wrong)
			}
			var b *modelcheck.Broken
			if errors.As(err, &b) {
				t.Log(b)
			}
			t.Logf("%d states, %d values in %v", n, len(k.values), time.Since(begun).Round(time.Millisecond))
		})
	}
}
