package membership

import (
	"container/heap"
	"fmt"
	"math/rand"
	"net/netip"
	"testing"
	"time"
)

// cluster simulates a set of members in virtual time.
type cluster struct {
	rng   *rand.Rand
	now   time.Duration
	nodes []*testNode
	due   events
	seq   int
	loss  float64
	cut   func(from, to int) bool // reports whether datagrams between two members are dropped
	o     Options                 // options shared by all members
	seeds []netip.AddrPort
	alias map[int]int // member index to the index whose name it uses instead of its own

	dead  []deathReport // declarations of death, oldest first
	bytes int
	sent  int
}

type deathReport struct {
	at     time.Duration
	by, of int
	life   uint64
}

type testNode struct {
	i      int
	node   *Node
	up     bool
	frozen time.Duration // the time until which it is frozen
	wake   time.Duration
}

type event struct {
	at   time.Duration
	seq  int
	to   *testNode
	node *Node // the life that the event is for, nil for any
	from netip.AddrPort
	data []byte // nil for a timer
	do   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return x
}

func addrOf(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7380)
}

func nodeOf(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[1])<<16 | int(b[2])<<8 | int(b[3])
}

func nameOf(i int) string { return fmt.Sprintf("sidecar-hall-%04d", i) }

// newCluster returns a cluster of n members that start within a second, with the first three as seeds.
func newCluster(seed int64, n int, loss float64) *cluster {
	cl := &cluster{rng: rand.New(rand.NewSource(seed)), loss: loss, cut: func(int, int) bool { return false }}
	for i := range min(3, n) {
		cl.seeds = append(cl.seeds, addrOf(i))
	}
	for i := range n {
		cl.nodes = append(cl.nodes, &testNode{i: i})
		cl.at(time.Duration(cl.rng.Int63n(int64(time.Second))), func() { cl.start(i) })
	}
	return cl
}

func (cl *cluster) push(e event) {
	cl.seq++
	e.seq = cl.seq
	heap.Push(&cl.due, e)
}

func (cl *cluster) at(at time.Duration, do func()) { cl.push(event{at: at, do: do}) }

// start starts a new life of a member, without any state from before.
func (cl *cluster) start(i int) {
	n := cl.nodes[i]
	o := cl.o
	o.Seeds = cl.seeds
	o.Rand = rand.New(rand.NewSource(cl.rng.Int63()))
	nameIndex := i
	if of, ok := cl.alias[i]; ok {
		nameIndex = of
	}
	o.Self = Member{Name: nameOf(nameIndex), Life: cl.rng.Uint64() | 1, Addr: addrOf(i), Zone: fmt.Sprintf("hall-%d", i%4), Role: 1,
		Meta: []byte("0123456789")}
	n.node, n.up, n.wake = New(o, cl.now), true, beforeAllTime
	cl.after(n, nil)
}

func (cl *cluster) kill(i int)                        { cl.nodes[i].up = false }
func (cl *cluster) freeze(i int, until time.Duration) { cl.nodes[i].frozen = until }

// after sends the datagrams that a call returned, collects changes and sets the timer of the member.
func (cl *cluster) after(n *testNode, out []Send) {
	for _, s := range out {
		if len(s.Data) > DatagramBytes {
			panic("datagram too long")
		}
		cl.bytes += len(s.Data)
		cl.sent++
		to := nodeOf(s.To)
		if cl.rng.Float64() < cl.loss || cl.cut(n.i, to) {
			continue
		}
		delay := time.Millisecond/2 + time.Duration(cl.rng.Int63n(int64(3*time.Millisecond)))
		cl.push(event{at: cl.now + delay, to: cl.nodes[to], from: addrOf(n.i), data: s.Data})
	}
	for _, c := range n.node.Changes() {
		if c.After.State == Dead && c.Before.State.Live() {
			cl.dead = append(cl.dead, deathReport{at: cl.now, by: n.i, of: nodeOf(c.After.Addr), life: c.After.Life})
		}
	}
	if at := n.node.NextAt(); at != n.wake {
		n.wake = at
		cl.push(event{at: max(at, cl.now) + time.Duration(cl.rng.Int63n(int64(time.Millisecond))), to: n, node: n.node})
	}
}

// run processes events until a time, or until done returns true; done is called ten times per second.
func (cl *cluster) run(until time.Duration, done func() bool) bool {
	ask := cl.now
	for len(cl.due) > 0 && cl.due[0].at <= until {
		e := heap.Pop(&cl.due).(event)
		cl.now = e.at
		if done != nil && cl.now >= ask {
			ask = cl.now + 100*time.Millisecond
			if done() {
				heap.Push(&cl.due, e)
				return true
			}
		}
		switch {
		case e.do != nil:
			e.do()
		case !e.to.up || e.node != nil && e.node != e.to.node:
		case e.to.frozen > cl.now && e.data != nil && cl.rng.Intn(2) == 0: // the socket buffer overflows
		case e.to.frozen > cl.now:
			e.at = e.to.frozen
			heap.Push(&cl.due, e)
		case e.data != nil:
			cl.after(e.to, e.to.node.Receive(cl.now, e.from, e.data))
		default:
			if e.to.node.NextAt() <= cl.now {
				e.to.wake = beforeAllTime
				cl.after(e.to, e.to.node.Step(cl.now))
			}
		}
	}
	cl.now = until
	return done != nil && done()
}

// agree reports whether the live members known to each running member are exactly the running ones, in their current lives.
func (cl *cluster) agree() bool {
	up, digest := 0, uint32(0)
	for _, n := range cl.nodes {
		if n.up {
			up++
			digest = n.node.Digest()
		} else if n.node == nil {
			return false
		}
	}
	for _, n := range cl.nodes {
		if n.up && (n.node.Live() != up || n.node.Digest() != digest || len(n.node.suspects) > 0) {
			return false
		}
	}
	return true
}

// mustBeOnTime checks that no Node counted its caller as late. Without freezes this could only happen if a timer was set in the
// past.
func (cl *cluster) mustBeOnTime(t *testing.T) {
	t.Helper()
	for _, n := range cl.nodes {
		if n.node.Counts().Late > 0 {
			t.Errorf("%s was called late %d times", nameOf(n.i), n.node.Counts().Late)
		}
	}
}

// mustAgree runs the cluster until all members agree, and returns how long that took.
func (cl *cluster) mustAgree(t testing.TB, within time.Duration, what string) time.Duration {
	t.Helper()
	from := cl.now
	if !cl.run(from+within, cl.agree) {
		for _, n := range cl.nodes {
			if n.up {
				t.Logf("%s: live %d, digest %08x, suspects %d, digest mismatches %d", nameOf(n.i), n.node.Live(), n.node.Digest(), len(n.node.suspects), n.node.digestMismatches)
			}
		}
		t.Fatalf("%s: no agreement within %v", what, within)
	}
	return cl.now - from
}
