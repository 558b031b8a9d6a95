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

func alone(seed int64, o Options) *Node {
	o.Rand = rand.New(rand.NewSource(seed))
	o.Self = Member{Name: "self", Life: 1, Addr: addrOf(1)}
	return New(o, 0)
}

// TestRecordOrder checks that the same records in any order, some of them repeated, give the same table. Whether a member is
// first suspected or dead depends on the order. Which members are alive or left, and in which life, does not, and once all
// suspicions have expired nothing does.
func TestRecordOrder(t *testing.T) {
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
			n.Zone = fmt.Sprint(n.Name, n.Life, n.Generation, n.Incarnation) // equal incarnations have equal content
			n.Addr = encodeAddr(addrOf(int(n.Life)))
			if n.State == Suspect {
				n.By = rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "by")
			}
			if n.State == Dead || n.State == Left {
				n.Age = uint32(rapid.IntRange(0, 3).Draw(t, "age"))
			}
			return n
		})
		records := rapid.SliceOfN(one, 1, 12).Draw(t, "news")
		repeated := append(records[:len(records):len(records)], rapid.SliceOfN(rapid.SampledFrom(records), 0, 4).Draw(t, "twice")...)
		table := func(records []record) (initial, final string) {
			r := alone(1, Options{})
			for i := range records {
				r.merge(0, &records[i], "teller")
			}
			for _, s := range r.Members() {
				initial += fmt.Sprintln(s.Member, s.State == Alive, s.State == Left)
			}
			digest := r.Digest()
			r.clock = time.Minute
			r.expireSuspects()
			for _, s := range r.Members() {
				final += fmt.Sprintln(s.Member, s.State)
			}
			return initial, fmt.Sprint(final, digest != 0, r.Digest())
		}
		initial, final := table(records)
		otherInitial, otherFinal := table(rapid.Permutation(repeated).Draw(t, "order"))
		if initial != otherInitial || final != otherFinal {
			t.Fatalf("one order:\n%s%s\nanother:\n%s%s", initial, final, otherInitial, otherFinal)
		}
	})
}

// TestTrafficReplacesProbes checks that members shown to be alive by other traffic are not probed, except for one probe every few
// periods.
func TestTrafficReplacesProbes(t *testing.T) {
	t.Parallel()
	cl := newCluster(3, 15, 0)
	cl.mustAgree(t, 15*time.Second, "start")
	cl.run(cl.now+5*time.Second, nil)
	r := cl.nodes[0].node
	for i := range 60 {
		at := cl.now + time.Duration(i)*500*time.Millisecond
		cl.at(at, func() {
			for j := 1; j < 15; j++ {
				r.ConfirmAlive(cl.now, nameOf(j))
			}
		})
	}
	before := r.Counts().Probes
	cl.run(cl.now+30*time.Second, nil)
	if n := r.Counts().Probes - before; n < 3 || n > 6 {
		t.Errorf("%d probes in 30 periods in which traffic showed all members to be alive", n)
	}
}

// TestLeaving checks that a member that leaves is known to have left, not to be dead, and can return with a new life.
func TestLeaving(t *testing.T) {
	t.Parallel()
	cl := newCluster(4, 15, 0.05)
	cl.mustAgree(t, 15*time.Second, "start")
	n := cl.nodes[9]
	cl.after(n, n.node.Leave(cl.now))
	cl.run(cl.now+3*time.Second, nil)
	n.up = false
	cl.mustAgree(t, 10*time.Second, "leave")
	for _, s := range cl.nodes[0].node.Members() {
		if want := s.Name == nameOf(9); (s.State == Left) != want || len(cl.dead) > 0 {
			t.Errorf("%s is %v, declared dead: %v", s.Name, s.State, cl.dead)
		}
	}
	cl.start(9)
	cl.mustAgree(t, 15*time.Second, "come back")

	// New Meta reaches all members.
	if err := cl.nodes[4].node.SetMeta(cl.now, bytes.Repeat([]byte{7}, MetaBytes)); err != nil {
		t.Fatal(err)
	}
	if err := cl.nodes[4].node.SetMeta(cl.now, make([]byte, MetaBytes+1)); err == nil {
		t.Error("SetMeta accepts too much data")
	}
	cl.mustAgree(t, 10*time.Second, "meta")
	for _, s := range cl.nodes[0].node.Members() {
		if s.Name == nameOf(4) && len(s.Meta) != MetaBytes {
			t.Errorf("meta is %v", s.Meta)
		}
	}
}

// TestKeepLiveNames checks that with KeepLiveNames a second process with the same name at another address is reported and
// rejected, until the first is declared dead. A new life at the old address gets the name at once.
func TestKeepLiveNames(t *testing.T) {
	t.Parallel()
	const n = 15
	for seed := range int64(4) {
		cl := newCluster(seed, n, 0.05)
		cl.o.KeepLiveNames = true
		cl.mustAgree(t, 15*time.Second, "start")
		cl.alias = map[int]int{n: 9}
		cl.nodes = append(cl.nodes, &testNode{i: n})
		cl.start(n)
		allHave := func(at int) func() bool {
			return func() bool {
				for _, x := range cl.nodes[:n] {
					e := x.node.entries[nameOf(9)]
					if x.up && (e.member.Addr != addrOf(at) || e.state != Alive) {
						return false
					}
				}
				return true
			}
		}
		for range 20 {
			if cl.run(cl.now+time.Second, nil); !allHave(9)() || len(cl.dead) > 0 {
				t.Fatalf("seed %d: the second process has the name, or a member was declared dead: %+v", seed, cl.dead)
			}
		}
		var conflicts uint64
		for _, x := range cl.nodes {
			c := x.node.Counts()
			if conflicts += c.Conflicts; c.Conflicts > 21 || c.Claims > 0 { // twenty periods
				t.Errorf("seed %d: %s reports %d conflicts and takes %d generations", seed, nameOf(x.i), c.Conflicts, c.Claims)
			}
		}
		if conflicts == 0 {
			t.Errorf("seed %d: no member reports the conflict", seed)
		}
		cl.kill(9)
		from := cl.now
		if !cl.run(cl.now+60*time.Second, allHave(n)) {
			t.Errorf("seed %d: the second process never gets the name", seed)
		}
		took := cl.now - from
		cl.kill(8)
		cl.start(8)
		cl.run(cl.now+3*time.Second, nil)
		for _, x := range cl.nodes[:n] {
			if e := x.node.entries[nameOf(8)]; x.up && e.member.Life != cl.nodes[8].node.Self().Life {
				t.Errorf("seed %d: %s knows an old life", seed, nameOf(x.i))
			}
		}
		t.Logf("seed %d: the second process has the name %v after the first ended", seed, took)
	}
}

// TestRetainDead checks that a dead member is remembered for RetainDead and no longer, even if others send records of it.
func TestRetainDead(t *testing.T) {
	t.Parallel()
	cl := newCluster(5, 15, 0.05)
	cl.o.RetainDead = 30 * time.Second
	cl.mustAgree(t, 15*time.Second, "start")
	cl.kill(9)
	cl.mustAgree(t, 20*time.Second, "crash")
	cl.run(cl.now+45*time.Second, nil)
	for _, n := range cl.nodes {
		if n.up && len(n.node.Members()) != 14 {
			t.Errorf("%s remembers %d members", nameOf(n.i), len(n.node.Members()))
		}
		if n.up { // an older record does not bring it back
			n.node.merge(cl.now, &record{Name: nameOf(9), Life: 1, State: Dead, Addr: encodeAddr(addrOf(9)), Age: 45}, nameOf(1))
			if n.node.entries[nameOf(9)] != nil {
				t.Errorf("%s adds a member that has been dead too long", nameOf(n.i))
			}
		}
	}
}

func FuzzReceive(f *testing.F) {
	var seen [syncPage + 1]int
	cl := newCluster(6, 5, 0.2)
	cl.at(10*time.Second, func() { cl.kill(4) })
	for cl.now < 30*time.Second && len(cl.due) > 0 {
		if e := cl.due[0]; e.data != nil {
			if m, err := decode(e.data); err == nil && seen[m.Kind] < 3 {
				seen[m.Kind]++
				f.Add(e.data)
			}
		}
		cl.run(cl.due[0].at, nil)
	}
	f.Add([]byte{0xa1, 1, 1})
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := alone(2, Options{MaxMembers: 20})
		for i := range 3 {
			r.add(0, Member{Name: nameOf(i), Life: uint64(i + 1), Addr: addrOf(i + 1)}, State(i+1), 0)
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
				t.Fatalf("sends a malformed datagram: %v", err)
			}
		}
	})
}
