package membership

import (
	"container/heap"
	"fmt"
	"math/rand"
	"net/netip"
	"testing"
	"time"
)

// world is a fleet in virtual time.
type world struct {
	rng   *rand.Rand
	now   time.Duration
	nodes []*node
	due   events
	seq   int
	loss  float64
	cut   func(from, to int) bool // datagrams that do not pass
	o     Options                 // what all members have in common
	seeds []netip.AddrPort
	alias map[int]int // whose name one has, of those that have not their own

	dead  []verdict // who held whom dead, as it came
	bytes int
	sent  int
}

type verdict struct {
	at     time.Duration
	by, of int
	life   uint64
}

type node struct {
	i      int
	r      *Roster
	up     bool
	frozen time.Duration // until when
	wake   time.Duration
}

type event struct {
	at   time.Duration
	seq  int
	to   *node
	r    *Roster // the life it is for, nil for any
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

// newWorld is a fleet of n that starts within a second, with the first three as seeds.
func newWorld(seed int64, n int, loss float64) *world {
	w := &world{rng: rand.New(rand.NewSource(seed)), loss: loss, cut: func(int, int) bool { return false }}
	for i := range min(3, n) {
		w.seeds = append(w.seeds, addrOf(i))
	}
	for i := range n {
		w.nodes = append(w.nodes, &node{i: i})
		w.at(time.Duration(w.rng.Int63n(int64(time.Second))), func() { w.start(i) })
	}
	return w
}

func (w *world) push(e event) {
	w.seq++
	e.seq = w.seq
	heap.Push(&w.due, e)
}

func (w *world) at(at time.Duration, do func()) { w.push(event{at: at, do: do}) }

// start begins a new life that remembers nothing.
func (w *world) start(i int) {
	n := w.nodes[i]
	o := w.o
	o.Seeds = w.seeds
	o.Rand = rand.New(rand.NewSource(w.rng.Int63()))
	named := i
	if of, ok := w.alias[i]; ok {
		named = of
	}
	o.Self = Member{Name: nameOf(named), Life: w.rng.Uint64() | 1, Addr: addrOf(i), Zone: fmt.Sprintf("hall-%d", i%4), Role: 1,
		Meta: []byte("0123456789")}
	n.r, n.up, n.wake = New(o, w.now), true, never
	w.after(n, nil)
}

func (w *world) kill(i int)                        { w.nodes[i].up = false }
func (w *world) freeze(i int, until time.Duration) { w.nodes[i].frozen = until }

// after sends what a step gave out and sets its timer.
func (w *world) after(n *node, out []Send) {
	for _, s := range out {
		if len(s.Data) > DatagramBytes {
			panic("a datagram that is too long")
		}
		w.bytes += len(s.Data)
		w.sent++
		to := nodeOf(s.To)
		if w.rng.Float64() < w.loss || w.cut(n.i, to) {
			continue
		}
		delay := time.Millisecond/2 + time.Duration(w.rng.Int63n(int64(3*time.Millisecond)))
		w.push(event{at: w.now + delay, to: w.nodes[to], from: addrOf(n.i), data: s.Data})
	}
	for _, c := range n.r.Changes() {
		if c.Is.State == Dead && c.Was.State.Live() {
			w.dead = append(w.dead, verdict{at: w.now, by: n.i, of: nodeOf(c.Is.Addr), life: c.Is.Life})
		}
	}
	if at := n.r.NextAt(); at != n.wake {
		n.wake = at
		w.push(event{at: max(at, w.now) + time.Duration(w.rng.Int63n(int64(time.Millisecond))), to: n, r: n.r})
	}
}

// run plays until a time, or until done says so; done is asked ten times a second.
func (w *world) run(until time.Duration, done func() bool) bool {
	ask := w.now
	for len(w.due) > 0 && w.due[0].at <= until {
		e := heap.Pop(&w.due).(event)
		w.now = e.at
		if done != nil && w.now >= ask {
			ask = w.now + 100*time.Millisecond
			if done() {
				heap.Push(&w.due, e)
				return true
			}
		}
		switch {
		case e.do != nil:
			e.do()
		case !e.to.up || e.r != nil && e.r != e.to.r:
		case e.to.frozen > w.now && e.data != nil && w.rng.Intn(2) == 0: // more than a socket keeps
		case e.to.frozen > w.now:
			e.at = e.to.frozen
			heap.Push(&w.due, e)
		case e.data != nil:
			w.after(e.to, e.to.r.Receive(w.now, e.from, e.data))
		default:
			if e.to.r.NextAt() <= w.now {
				e.to.wake = never
				w.after(e.to, e.to.r.Step(w.now))
			}
		}
	}
	w.now = until
	return done != nil && done()
}

// agree says whether all that are up hold exactly those for live that are up, in their present lives.
func (w *world) agree() bool {
	up, digest := 0, uint32(0)
	for _, n := range w.nodes {
		if n.up {
			up++
			digest = n.r.Digest()
		} else if n.r == nil {
			return false
		}
	}
	for _, n := range w.nodes {
		if n.up && (n.r.Live() != up || n.r.Digest() != digest || len(n.r.suspects) > 0) {
			return false
		}
	}
	return true
}

// mustBeOnTime: the caller is never late where nothing freezes, so that no timer may be set in the past.
func (w *world) mustBeOnTime(t *testing.T) {
	t.Helper()
	for _, n := range w.nodes {
		if n.r.Counts().Late > 0 {
			t.Errorf("%s holds itself late %d times", nameOf(n.i), n.r.Counts().Late)
		}
	}
}

// mustAgree plays on until all agree, and says how long that took.
func (w *world) mustAgree(t testing.TB, within time.Duration, what string) time.Duration {
	t.Helper()
	from := w.now
	if !w.run(from+within, w.agree) {
		for _, n := range w.nodes {
			if n.up {
				t.Logf("%s: live %d, digest %08x, suspects %d, apart %d", nameOf(n.i), n.r.Live(), n.r.Digest(), len(n.r.suspects), n.r.apart)
			}
		}
		t.Fatalf("%s: no agreement within %v", what, within)
	}
	return w.now - from
}
