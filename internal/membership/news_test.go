package membership

import (
	"bytes"
	"fmt"
	"math/rand"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func alone(seed int64, o Options) *Roster {
	o.Rand = rand.New(rand.NewSource(seed))
	o.Self = Member{Name: "self", Life: 1, Addr: addrOf(1)}
	return New(o, 0)
}

// TestOrderOfNews: the same news in any order, some of it twice, ends in the same table. Whether a member is held suspect or
// dead at first hangs on the order; who lives and in which life does not, nor does anything once the suspicions are over.
func TestOrderOfNews(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		one := rapid.Custom(func(t *rapid.T) record {
			n := record{
				Name:        rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
				Life:        rapid.Uint64Range(1, 2).Draw(t, "life"),
				Generation:  rapid.Uint64Range(0, 1).Draw(t, "generation"),
				Incarnation: rapid.Uint64Range(0, 2).Draw(t, "incarnation"),
				State:       State(rapid.IntRange(int(Alive), int(Left)).Draw(t, "state")),
			}
			n.Zone = fmt.Sprint(n.Name, n.Life, n.Generation, n.Incarnation) // one telling has one content
			n.Addr = writeAddr(addrOf(int(n.Life)))
			if n.State == Suspect {
				n.By = rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "by")
			}
			if n.State == Dead || n.State == Left {
				n.Age = uint32(rapid.IntRange(0, 3).Draw(t, "age"))
			}
			return n
		})
		news := rapid.SliceOfN(one, 1, 12).Draw(t, "news")
		twice := append(news[:len(news):len(news)], rapid.SliceOfN(rapid.SampledFrom(news), 0, 4).Draw(t, "twice")...)
		table := func(news []record) (atOnce, atLast string) {
			r := alone(1, Options{})
			for i := range news {
				r.merge(0, &news[i], "teller")
			}
			for _, s := range r.Members() {
				atOnce += fmt.Sprintln(s.Member, s.State == Alive, s.State == Left)
			}
			digest := r.Digest()
			r.now = time.Minute
			r.stepSuspects()
			for _, s := range r.Members() {
				atLast += fmt.Sprintln(s.Member, s.State)
			}
			return atOnce, fmt.Sprint(atLast, digest != 0, r.Digest())
		}
		atOnce, atLast := table(news)
		otherOnce, otherLast := table(rapid.Permutation(twice).Draw(t, "order"))
		if atOnce != otherOnce || atLast != otherLast {
			t.Fatalf("one order:\n%s%s\nanother:\n%s%s", atOnce, atLast, otherOnce, otherLast)
		}
	})
}

// TestTrafficAnswers: whom other traffic proves alive is not probed but for one probe in some periods, and nobody is probed
// where all are.
func TestTrafficAnswers(t *testing.T) {
	t.Parallel()
	w := newWorld(3, 15, 0)
	w.mustAgree(t, 15*time.Second, "start")
	w.run(w.now+5*time.Second, nil)
	r := w.nodes[0].r
	for i := range 60 {
		at := w.now + time.Duration(i)*500*time.Millisecond
		w.at(at, func() {
			for j := 1; j < 15; j++ {
				r.Heard(w.now, nameOf(j))
			}
		})
	}
	before := r.Counts().Probes
	w.run(w.now+30*time.Second, nil)
	if n := r.Counts().Probes - before; n < 3 || n > 6 {
		t.Errorf("%d probes in 30 periods in which traffic answered for all", n)
	}
}

// TestLeaving: who leaves is known to have left, not to be dead, and may come back with a new life.
func TestLeaving(t *testing.T) {
	t.Parallel()
	w := newWorld(4, 15, 0.05)
	w.mustAgree(t, 15*time.Second, "start")
	n := w.nodes[9]
	w.after(n, n.r.Leave(w.now))
	w.run(w.now+3*time.Second, nil)
	n.up = false
	w.mustAgree(t, 10*time.Second, "leave")
	for _, s := range w.nodes[0].r.Members() {
		if want := s.Name == nameOf(9); (s.State == Left) != want || len(w.dead) > 0 {
			t.Errorf("%s is held %v, verdicts %v", s.Name, s.State, w.dead)
		}
	}
	w.start(9)
	w.mustAgree(t, 15*time.Second, "come back")

	// New meta reaches all.
	if err := w.nodes[4].r.SetMeta(w.now, bytes.Repeat([]byte{7}, MetaBytes)); err != nil {
		t.Fatal(err)
	}
	if err := w.nodes[4].r.SetMeta(w.now, make([]byte, MetaBytes+1)); err == nil {
		t.Error("too much meta is taken")
	}
	w.mustAgree(t, 10*time.Second, "meta")
	for _, s := range w.nodes[0].r.Members() {
		if s.Name == nameOf(4) && len(s.Meta) != MetaBytes {
			t.Errorf("meta is %v", s.Meta)
		}
	}
}

// TestFirstKeeps: where the first one keeps its name, a second one at another address is told of and not taken up; it has the
// name once the first one is held dead. A new life at the old address has it at once.
func TestFirstKeeps(t *testing.T) {
	t.Parallel()
	const n = 15
	for seed := range int64(4) {
		w := newWorld(seed, n, 0.05)
		w.o.FirstKeeps = true
		w.mustAgree(t, 15*time.Second, "start")
		w.alias = map[int]int{n: 9}
		w.nodes = append(w.nodes, &node{i: n})
		w.start(n)
		held := func(at int) func() bool {
			return func() bool {
				for _, x := range w.nodes[:n] {
					e := x.r.entries[nameOf(9)]
					if x.up && (e.m.Addr != addrOf(at) || e.state != Alive) {
						return false
					}
				}
				return true
			}
		}
		for range 20 {
			if w.run(w.now+time.Second, nil); !held(9)() || len(w.dead) > 0 {
				t.Fatalf("seed %d: the second one has the name, or somebody is held dead: %+v", seed, w.dead)
			}
		}
		var told uint64
		for _, x := range w.nodes {
			c := x.r.Counts()
			if told += c.Conflicts; c.Conflicts > 21 || c.Claims > 0 { // twenty periods
				t.Errorf("seed %d: %s tells of it %d times, and claims %d generations", seed, nameOf(x.i), c.Conflicts, c.Claims)
			}
		}
		if told == 0 {
			t.Errorf("seed %d: nobody tells of it", seed)
		}
		w.kill(9)
		from := w.now
		if !w.run(w.now+60*time.Second, held(n)) {
			t.Errorf("seed %d: the second one never gets the name", seed)
		}
		took := w.now - from
		w.kill(8)
		w.start(8)
		w.run(w.now+3*time.Second, nil)
		for _, x := range w.nodes[:n] {
			if e := x.r.entries[nameOf(8)]; x.up && e.m.Life != w.nodes[8].r.Self().Life {
				t.Errorf("seed %d: %s holds an old life", seed, nameOf(x.i))
			}
		}
		t.Logf("seed %d: the second one has the name %v after the end of the first", seed, took)
	}
}

// TestTheDeadAreForgotten: a dead member is remembered for DeadFor and not longer, though others tell of it.
func TestTheDeadAreForgotten(t *testing.T) {
	t.Parallel()
	w := newWorld(5, 15, 0.05)
	w.o.DeadFor = 30 * time.Second
	w.mustAgree(t, 15*time.Second, "start")
	w.kill(9)
	w.mustAgree(t, 20*time.Second, "crash")
	w.run(w.now+45*time.Second, nil)
	for _, n := range w.nodes {
		if n.up && len(n.r.Members()) != 14 {
			t.Errorf("%s remembers %d", nameOf(n.i), len(n.r.Members()))
		}
		if n.up { // nor does news that is older than that bring it back
			n.r.merge(w.now, &record{Name: nameOf(9), Life: 1, State: Dead, Addr: writeAddr(addrOf(9)), Age: 45}, nameOf(1))
			if n.r.entries[nameOf(9)] != nil {
				t.Errorf("%s takes up one that is long dead", nameOf(n.i))
			}
		}
	}
}

func FuzzReceive(f *testing.F) {
	var seen [page + 1]int
	w := newWorld(6, 5, 0.2)
	w.at(10*time.Second, func() { w.kill(4) })
	for w.now < 30*time.Second && len(w.due) > 0 {
		if e := w.due[0]; e.data != nil {
			if m, err := decode(e.data); err == nil && seen[m.Kind] < 3 {
				seen[m.Kind]++
				f.Add(e.data)
			}
		}
		w.run(w.due[0].at, nil)
	}
	f.Add([]byte{0xa1, 1, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := alone(2, Options{MaxMembers: 20})
		for i := range 3 {
			r.put(0, Member{Name: nameOf(i), Life: uint64(i + 1), Addr: addrOf(i + 1)}, State(i+1), 0)
		}
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 9}), 9)
		out := r.Receive(time.Millisecond, from, raw)
		for now := time.Millisecond; now < 20*time.Second; now = max(now+1, r.NextAt()) {
			out = append(out, r.Step(now)...)
		}
		if len(out) > 1000 || len(r.entries) > 20 {
			t.Fatalf("%d datagrams, %d members", len(out), len(r.entries))
		}
		for _, s := range out {
			if _, err := decode(s.Data); err != nil {
				t.Fatalf("sends what none would take: %v", err)
			}
		}
	})
}
