package dataplane

import (
	"cmp"
	"container/heap"
	"context"
	"math"
	"slices"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/errcode"
)

const (
	queuePart  = 1.0         // asks that may wait, of the capacity
	keepMost   = 0.34        // of the capacity, that is kept free for those that rank before at the most
	keepHalf   = time.Second // after which half of that is given back
	behindPart = 6           // one place in so many is for those that rank behind, while they wait: nobody starves
)

// wait is one ask that waits for a place.
type wait struct {
	rank, order int
	ready       chan errcode.Kind // OK: it has a place; else why not
	at          int
}

type waits []*wait

func (w waits) Len() int { return len(w) }
func (w waits) Less(i, j int) bool {
	if w[i].rank != w[j].rank {
		return w[i].rank < w[j].rank
	}
	return w[i].order < w[j].order
}
func (w waits) Swap(i, j int) { w[i], w[j] = w[j], w[i]; w[i].at, w[j].at = i, j }
func (w *waits) Push(x any)   { e := x.(*wait); e.at = len(*w); *w = append(*w, e) }
func (w *waits) Pop() any {
	old := *w
	e := old[len(old)-1]
	*w = old[:len(old)-1]
	e.at = -1
	return e
}

// turnOut turns away all that wait. The caller holds g.mu.
func (g *Gate) turnOut() {
	for len(g.queue) > 0 {
		heap.Pop(&g.queue).(*wait).ready <- errcode.Draining
	}
}

// admit gives places to those that wait. The caller holds g.mu.
func (g *Gate) admit() {
	for len(g.queue) > 0 && g.running < g.berth.Capacity {
		w := g.queue[0]
		if first, n := g.behind(); n > 0 && g.runBehind(w.rank) < g.berth.Capacity/behindPart {
			w = first
		} else if g.running >= g.limit(w.rank) {
			return
		}
		heap.Remove(&g.queue, w.at)
		g.begin(w.rank)
		w.ready <- errcode.OK
	}
}

// begin counts one of a rank as running. The caller holds g.mu.
func (g *Gate) begin(rank int) {
	g.running++
	g.ranks[min(max(rank, 0), len(g.ranks)-1)]++
}

// behind is the first that waits and ranks behind the one whose turn it is, and how many do. The caller holds g.mu.
func (g *Gate) behind() (first *wait, n int) {
	for _, w := range g.queue {
		if w.rank <= g.queue[0].rank {
			continue
		}
		if n++; first == nil || w.order < first.order {
			first = w
		}
	}
	return first, n
}

// runBehind is how many run that rank behind. The caller holds g.mu.
func (g *Gate) runBehind(rank int) (n int) {
	for r := max(rank, 0) + 1; r < len(g.ranks); r++ {
		n += g.ranks[r]
	}
	return n
}

// crowded says whether no more of a rank may wait. One that ranks behind all others waits beside the line, where a place may come to it.
// The caller holds g.mu.
func (g *Gate) crowded(rank int) bool {
	_, behind := g.behind()
	line, beside := len(g.queue), g.berth.Capacity >= behindPart
	if beside && behind == 1 {
		line--
	}
	switch {
	case float64(line) < queuePart*float64(g.berth.Capacity):
		return false
	case beside && behind == 0 && len(g.queue) > 0 && rank > g.queue[0].rank:
		return false
	case beside && behind == 1 && rank == g.queue[0].rank:
		return true
	}
	return !g.makeRoom(rank)
}

// enter asks for a place at the backend, and waits for it for at most hold, or until ctx ends.
func (g *Gate) enter(ctx context.Context, a *ask) errcode.Kind {
	g.mu.Lock()
	switch {
	case g.ended:
		g.mu.Unlock()
		return errcode.Draining
	case g.berth.Instance != a.Instance || g.berth.Service != a.Service:
		g.mu.Unlock()
		return errcode.BackendReplaced
	case g.berth.State != backends.Serving:
		g.mu.Unlock()
		return errcode.Draining
	case g.running < g.limit(a.Rank):
		g.begin(a.Rank)
		g.mu.Unlock()
		return errcode.OK
	case a.Hold == 0 || g.crowded(a.Rank):
		g.keep(a.Rank)
		g.mu.Unlock()
		return errcode.Overloaded
	}
	g.order++
	w := &wait{rank: a.Rank, order: g.order, ready: make(chan errcode.Kind, 1)}
	heap.Push(&g.queue, w)
	g.mu.Unlock()
	t := time.NewTimer(time.Duration(a.Hold) * time.Millisecond)
	defer t.Stop()
	select {
	case k := <-w.ready:
		return k
	case <-t.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.at >= 0 {
		heap.Remove(&g.queue, w.at)
		if ctx.Err() != nil {
			return errcode.ClientDisconnected
		}
		g.keep(a.Rank)
		return errcode.Overloaded
	}
	return <-w.ready // it was decided in the same moment
}

// makeRoom turns away the last of those that wait, if it ranks behind, and reports whether it did: it is told at once, while
// there is time to go elsewhere. The caller holds g.mu.
func (g *Gate) makeRoom(rank int) bool {
	if len(g.queue) == 0 {
		return false
	}
	last := slices.MaxFunc(g.queue, func(a, b *wait) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.order, b.order))
	})
	if last.rank <= rank {
		return false
	}
	heap.Remove(&g.queue, last.at)
	last.ready <- errcode.Overloaded
	return true
}

// keep takes note that one of a rank found no place: from now on one more is kept free from those that rank behind. The caller
// holds g.mu.
func (g *Gate) keep(rank int) {
	if rank < 0 || rank >= len(g.kept) {
		return
	}
	now := time.Since(g.o.Begun)
	g.kept[rank] = kept{min(g.kept[rank].at(now)+1, keepMost*float64(g.berth.Capacity)), now}
}

// limit is how many may run before one of a rank has to wait. The caller holds g.mu.
func (g *Gate) limit(rank int) int {
	sum := 0.0
	now := time.Since(g.o.Begun)
	for r := 0; r < min(rank, len(g.kept)); r++ {
		sum += g.kept[r].at(now)
	}
	return g.berth.Capacity - int(min(sum, keepMost*float64(g.berth.Capacity)))
}

// kept are places that are kept free for those of one rank: so many at a time.
type kept struct {
	places float64
	since  time.Duration
}

// at is what is left of them: half after keepHalf, none below one.
func (k kept) at(now time.Duration) float64 {
	if k.places == 0 {
		return 0
	}
	if p := k.places * math.Exp2(-float64(now-k.since)/float64(keepHalf)); p >= 0.5 {
		return p
	}
	return 0
}

// exit gives back a place of one of a rank, and tells what is there then.
func (g *Gate) exit(rank int) (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.ranks[min(max(rank, 0), len(g.ranks)-1)]--
	g.admit()
	return g.running, len(g.queue)
}

func (g *Gate) load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, len(g.queue)
}
