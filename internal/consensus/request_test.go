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

// These tests explore all states of requests that are sent, some of them twice, to registries that run rounds at any time, with
// three voters. Any majority promises a round at once; its value reaches voters one by one or never; a registry may stop anywhere;
// a request whose round did not complete is tried again on a later state or stays unanswered; a second copy may be sent at any
// time. A registry could know of any refusal chosen before a request arrived; here it knows of the newest, in which case it takes
// the most requests. Voters keep what they answered: TestWholeSpaceOfRounds covers losses.

const (
	maxRounds = 5
	maxCopies = 4
)

// attempt is one round. Its ballot is its number, from 1.
type attempt struct {
	copy, base    uint8 // the copy of the request that it is for, and the ballot it builds on
	value         uint8 // index in requestRules.values
	verdict       Verdict
	applies       bool  // its value contains the request, and its base did not
	writes        bool  // its value must be accepted before the request is answered
	acceptedBy    uint8 // bit set of the voters that accepted it
	chosen, ended bool
}

type copyState struct {
	arrived      bool
	seenBallot   uint8 // the newest chosen ballot when it arrived
	done         bool  // it was answered
	acknowledged bool
	refused      uint8 // ballot of the round that refused it; 0: not refused
}

type requestWorld struct {
	promised, accepted [members]uint8
	attempts           [maxRounds]attempt
	copies             [maxCopies]copyState
	n                  uint8 // rounds started
}

type requestRules struct {
	copies     []uint8 // the request that each copy is of
	calls      [][]configuration.Item
	rounds     uint8
	allArrived bool // all copies arrive at the beginning: the case doesn't depend on when
	neverValid int  // the request that is valid at no time, plus one; 0: none

	refusesWithoutWrite bool // mutant: a refusal is answered without a write if its cause is in the chosen value already
	forgetsRefusals     bool // mutant: refusals are not recorded
	ignoresHistory      bool // mutant: versions below the current one are acknowledged whatever their content
	comparesBytes       bool // mutant: contents are compared byte by byte

	sums     []uint64
	values   []configuration.Set
	valueIDs map[string]uint8
	applied  map[[4]uint8]attempt
}

// value returns the index of a set in values, and adds it if it is new.
func (k *requestRules) value(s configuration.Set) uint8 {
	var items []configuration.Item
	for i := range s.All() {
		i.Ballot = configuration.Ballot{}
		items = append(items, i)
	}
	slices.SortFunc(items, func(a, b configuration.Item) int {
		return cmp.Or(cmp.Compare(a.Key.Kind, b.Key.Kind), cmp.Compare(a.Key.Name, b.Key.Name))
	})
	name := fmt.Sprint(items)
	n, ok := k.valueIDs[name]
	if !ok {
		n = uint8(len(k.values))
		k.valueIDs[name], k.values = n, append(k.values, s)
	}
	return n
}

// apply returns the attempt that results from applying a request to a value.
func (k *requestRules) apply(request, since, value uint8) (t attempt) {
	at := [4]uint8{request, since, value}
	if t, ok := k.applied[at]; ok {
		return t
	}
	o := Request{Items: k.calls[request], KnownRefusal: configuration.Version(since)}
	base := k.values[value]
	if k.ignoresHistory {
		for i := range base.All() {
			if i.Key.Kind != configuration.Refusals {
				i.PastVersions = nil
				base = base.With(i)
			}
		}
		o.Items = slices.DeleteFunc(slices.Clone(o.Items), func(i configuration.Item) bool { cur, _ := base.Get(i.Key); return i.Version < cur.Version })
	}
	if k.comparesBytes {
		for _, i := range o.Items {
			if cur, _ := base.Get(i.Key); cur.Version == i.Version && string(cur.Spec) != string(i.Spec) {
				return attempt{value: value, verdict: Conflicting}
			}
		}
	}
	out := o.Apply(base, configuration.Ballot{N: 1}, func(next configuration.Set) error { return next.Check() })
	if k.forgetsRefusals && out.Verdict == Invalid {
		out.Next = base
	}
	t = attempt{value: k.value(out.Next), verdict: out.Verdict, applies: out.Verdict == Acknowledged && len(out.Changes) > 0}
	t.writes = len(out.Changes) > 0 && !(k.refusesWithoutWrite && out.Verdict != Acknowledged)
	if k.refusesWithoutWrite && out.Verdict != Acknowledged {
		t.value = value
	}
	k.applied[at] = t
	return t
}

func (s *requestWorld) valueOf(b uint8) uint8 {
	if b == 0 {
		return 0
	}
	return s.attempts[b-1].value
}

// newest returns the highest chosen ballot.
func (s *requestWorld) newest() (b uint8) {
	for n := range s.n {
		if s.attempts[n].chosen {
			b = n + 1
		}
	}
	return b
}

// canonical returns s without what can't matter any more, and with its interchangeable voters in a fixed order.
func (s requestWorld) canonical() requestWorld {
	for n := range s.n {
		t, possible := &s.attempts[n], 0
		for i := range members {
			if t.acceptedBy&(1<<i) != 0 || s.promised[i] <= n+1 {
				possible++
			}
		}
		if possible < Majority(members) && !t.chosen { // it can't be chosen any more: the same as if its registry gave it up
			t.ended = true
		}
	}
	if b := s.newest(); b > 0 { // all later rounds build on it
		ancestors, unfinished := [maxRounds + 1]bool{}, false
		for at := b; at > 0; at = s.attempts[at-1].base {
			ancestors[at] = true
		}
		for n := range b - 1 {
			if t := &s.attempts[n]; !ancestors[n+1] && !t.chosen {
				*t = attempt{copy: t.copy, ended: true}
			} else if t.ended {
				t.acceptedBy = 0
			} else {
				unfinished = true
			}
		}
		for i := range members {
			if s.accepted[i] < b {
				s.accepted[i] = 0
			}
			if !unfinished {
				s.promised[i] = max(s.promised[i], b)
			}
		}
	}
	lowest := s
	for _, p := range [][members]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		x := s
		for i, from := range p {
			x.promised[i], x.accepted[i] = s.promised[from], s.accepted[from]
		}
		for n := range s.n {
			x.attempts[n].acceptedBy = 0
			for i, from := range p {
				x.attempts[n].acceptedBy |= s.attempts[n].acceptedBy >> from & 1 << i
			}
		}
		if x.rank() < lowest.rank() {
			lowest = x
		}
	}
	return lowest
}

func (s *requestWorld) rank() (n uint64) {
	for i := range members {
		n = n<<6 | uint64(s.promised[i])<<3 | uint64(s.accepted[i])
	}
	for _, t := range s.attempts {
		n = n<<members | uint64(t.acceptedBy)
	}
	return n
}

func (k *requestRules) next(s requestWorld, emit func(requestWorld, string, ...any)) {
	to := func(s requestWorld, event string, args ...any) { emit(s.canonical(), event, args...) }
	for c, request := range k.copies {
		state := s.copies[c]
		if !state.arrived {
			n := s
			n.copies[c].arrived = true
			n.copies[c].seenBallot = s.newest()
			to(n, "copy %d of request %d arrives", c, request)
			continue
		}
		running := slices.ContainsFunc(s.attempts[:s.n], func(t attempt) bool { return int(t.copy) == c && !t.ended })
		if state.done || running || s.n >= k.rounds {
			continue
		}
		for excluded := range members { // a promise by all three has the same result as one by two of them
			k.prepare(s, uint8(c), excluded, to)
		}
	}
	for n := range s.n {
		k.stepRound(s, n, to)
	}
}

// prepare starts a new round that all voters but the excluded one promise.
func (k *requestRules) prepare(s requestWorld, c uint8, excluded int, to func(requestWorld, string, ...any)) {
	b := s.n + 1
	base, votes := uint8(0), 0
	for i := range members {
		if i == excluded {
			continue
		}
		s.promised[i] = b
		base = max(base, s.accepted[i])
	}
	for i := range members {
		if i != excluded && s.accepted[i] == base {
			votes++
		}
	}
	last, _ := k.values[s.valueOf(s.copies[c].seenBallot)].Get(refusals)
	t := k.apply(k.copies[c], uint8(last.Version), s.valueOf(base))
	t.copy, t.base = c, base
	s.n = b
	if votes >= Majority(members) {
		if base > 0 {
			s.attempts[base-1].chosen = true // it was chosen before; now this is known
		}
		if !t.writes {
			t.ended = true
			s.attempts[b-1] = t
			s.answer(b, t)
			to(s, "ballot %d of copy %d finds %d chosen: %d", b, c, base, t.verdict)
			return
		}
	}
	s.attempts[b-1] = t
	to(s, "ballot %d of copy %d is based on %d: %d", b, c, base, t.verdict)
}

// answer records the answer of a round that completed.
func (s *requestWorld) answer(b uint8, t attempt) {
	c := &s.copies[t.copy]
	c.done = true
	switch t.verdict {
	case Acknowledged:
		c.acknowledged = true
	case Conflicting, Invalid:
		c.refused = b
	}
}

// stepRound continues one round: a voter accepts its value, the value is chosen, or its registry gives it up while the value may
// still reach voters.
func (k *requestRules) stepRound(s requestWorld, at uint8, to func(requestWorld, string, ...any)) {
	b, t := at+1, s.attempts[at]
	if t.ended && !t.writes && t.acceptedBy == 0 && t.value == s.valueOf(t.base) && t.chosen {
		return
	}
	for i := range members {
		if t.acceptedBy&(1<<i) == 0 && s.promised[i] <= b && !(t.ended && !t.writes) {
			n := s
			n.promised[i], n.accepted[i] = b, b
			n.attempts[at].acceptedBy |= 1 << i
			if count(n.attempts[at].acceptedBy) >= Majority(members) {
				n.attempts[at].chosen = true
				if !t.ended {
					n.attempts[at].ended = true
					m := n
					m.answer(b, t) // the state without the answer follows from giving the round up
					to(m, "member %d accepts %d, which is chosen", i, b)
				}
			}
			if !n.attempts[at].ended || t.ended {
				to(n, "member %d accepts %d", i, b)
			}
		}
	}
	if !t.ended {
		n := s
		n.attempts[at].ended = true
		to(n, "copy %d gives ballot %d up", t.copy, b)
	}
}

func count(set uint8) (n int) {
	for ; set > 0; set &= set - 1 {
		n++
	}
	return n
}

// violation reports a version that is acknowledged with two contents, a request that was taken and refused, or a refused request
// that came into force through a copy that had arrived before the refusal.
func (k *requestRules) violation(s requestWorld) string {
	content := map[string]uint8{}
	for c, state := range s.copies[:len(k.copies)] {
		if !state.acknowledged {
			continue
		}
		if int(k.copies[c])+1 == k.neverValid {
			return "a request that is never valid is acknowledged"
		}
		for _, i := range k.calls[k.copies[c]] {
			number := fmt.Sprint(i.Key, i.Version)
			if o, ok := content[number]; ok && !k.sameContent(o, k.copies[c], i.Key) {
				return number + " is acknowledged with two contents"
			}
			content[number] = k.copies[c]
		}
	}
	taken := [maxCopies]bool{}
	for b := s.newest(); b > 0; b = s.attempts[b-1].base {
		if t := s.attempts[b-1]; t.applies {
			taken[t.copy] = true
		}
	}
	for c, state := range s.copies[:len(k.copies)] {
		for d := range k.copies {
			if k.sums[k.copies[c]] == k.sums[k.copies[d]] && s.copies[d].seenBallot < state.refused && (taken[d] || s.copies[d].acknowledged) {
				return fmt.Sprintf("request %d is refused and taken", k.copies[c])
			}
		}
	}
	return ""
}

func (k *requestRules) sameContent(a, b uint8, key configuration.Key) bool {
	at := func(n uint8) configuration.Item {
		return k.calls[n][slices.IndexFunc(k.calls[n], func(i configuration.Item) bool { return i.Key == key })]
	}
	return at(a).SameContent(at(b))
}

func TestWholeSpaceOfRequests(t *testing.T) {
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
	routeToC := call(route(1, "c", ""), "")
	addServiceC := call(service("c", 1), "")
	dropServiceB := call("", `"services":[{"name":"b","version":"r2"}]`)
	restoreServiceB := call(service("b", 3), "")
	routeToA, routeToB := call(route(1, "a", ""), ""), call(route(1, "b", ""), "")
	routeToARespelled := call(`{"resource-kind":"routes","metadata":{"name":"x","version":"r1"},"specification":{"deadline-s":1.0,"service":"\u0061","route-kind":"idempotent","path-prefix":"\/x/","host":"h"}}`, "")
	routeVersion2 := call(route(2, "b", ""), "")
	removeRoute := call("", `"routes":[{"name":"x","version":"r3"}]`)
	for _, c := range []struct {
		name       string
		calls      [][]configuration.Item
		copies     []uint8
		rounds     uint8
		allArrived bool
		mutate     func(*requestRules)
	}{
		{"two contents and a higher version", [][]configuration.Item{routeToA, routeToB, routeVersion2}, []uint8{0, 1, 2}, 4, true, nil},
		{"removed and created again", [][]configuration.Item{routeToA, removeRoute, routeToB}, []uint8{0, 1, 2}, 4, true, nil},
		{"a request that depends on another", [][]configuration.Item{addServiceC, routeToC}, []uint8{0, 1, 1}, 4, false, nil},
		{"its dependency is removed and restored", [][]configuration.Item{dropServiceB, routeToB, restoreServiceB}, []uint8{0, 1, 1, 2}, 4, true, nil},
		{"one content, spelled in two ways", [][]configuration.Item{routeToA, routeToARespelled, routeVersion2}, []uint8{0, 1, 2}, 4, true, nil},
		{"an invalid one that arrives too late", [][]configuration.Item{routeToC, routeVersion2}, []uint8{0, 1, 0}, 4, true, nil},
		{"a lower version is acknowledged whatever its content", [][]configuration.Item{routeToA, routeToB, routeVersion2}, []uint8{0, 1, 2}, 4, true,
			func(k *requestRules) { k.ignoresHistory = true }},
		{"contents are compared byte by byte", [][]configuration.Item{routeToA, routeToARespelled, routeVersion2}, []uint8{0, 1, 2}, 4, true,
			func(k *requestRules) { k.comparesBytes = true }},
		{"superseded items are not checked", [][]configuration.Item{routeToC, routeVersion2}, []uint8{0, 1, 0}, 4, true,
			func(k *requestRules) { k.ignoresHistory, k.neverValid = true, 1 }},
		{"a refusal that is not written", [][]configuration.Item{addServiceC, routeToC}, []uint8{0, 1, 1}, 5, false, func(k *requestRules) { k.refusesWithoutWrite = true }},
		{"a refusal that is not remembered", [][]configuration.Item{addServiceC, routeToC}, []uint8{1, 0, 1}, 4, true, func(k *requestRules) { k.forgetsRefusals = true }},
	} {
		if modelcheck.RaceEnabled && c.mutate == nil {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			k := &requestRules{copies: c.copies, calls: c.calls, rounds: c.rounds, allArrived: c.allArrived, valueIDs: map[string]uint8{}, applied: map[[4]uint8]attempt{}}
			for _, items := range c.calls {
				k.sums = append(k.sums, configuration.DigestItems(items))
			}
			k.value(configuration.SetOf(base...))
			if strings.HasPrefix(c.name, "an invalid one") {
				k.neverValid = 1
			}
			if c.mutate != nil {
				c.mutate(k)
			}
			start := time.Now()
			var first requestWorld
			for n := range c.copies {
				first.copies[n].arrived = k.allArrived
			}
			n, err := modelcheck.Explore(first, k.next, k.violation, 4e6)
			if problem := modelcheck.CheckResult(c.mutate == nil, n, err); problem != nil {
				t.Error(problem)
			}
			var b *modelcheck.Violation
			if errors.As(err, &b) {
				t.Log(b)
			}
			t.Logf("%d states, %d values in %v", n, len(k.values), time.Since(start).Round(time.Millisecond))
		})
	}
}
