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
	queueFraction       = 1.0         // maximum queue length relative to capacity
	maxReservedFraction = 0.34        // of capacity: limit of the places reserved for higher priorities
	reservationHalfLife = time.Second // time after which half of a reservation has expired
	lowPriorityDivisor  = 6           // one in this many places is for lower priorities while they wait, so that they don't starve
)

// waiter is a request that waits for a place. Lower numbers are higher priorities.
type waiter struct {
	priority, order int
	ready           chan errcode.Kind // OK: it has a place; otherwise the reason why not
	index           int
}

type waitQueue []*waiter

func (w waitQueue) Len() int { return len(w) }
func (w waitQueue) Less(i, j int) bool {
	if w[i].priority != w[j].priority {
		return w[i].priority < w[j].priority
	}
	return w[i].order < w[j].order
}
func (w waitQueue) Swap(i, j int) { w[i], w[j] = w[j], w[i]; w[i].index, w[j].index = i, j }
func (w *waitQueue) Push(x any)   { e := x.(*waiter); e.index = len(*w); *w = append(*w, e) }
func (w *waitQueue) Pop() any {
	old := *w
	e := old[len(old)-1]
	*w = old[:len(old)-1]
	e.index = -1
	return e
}

// rejectQueued rejects all waiting requests. The caller holds ib.mu.
func (ib *Inbound) rejectQueued() {
	for len(ib.queue) > 0 {
		heap.Pop(&ib.queue).(*waiter).ready <- errcode.Draining
	}
}

// admit gives free places to waiting requests. The caller holds ib.mu.
func (ib *Inbound) admit() {
	for len(ib.queue) > 0 && ib.running < ib.backend.Capacity {
		w := ib.queue[0]
		if first, n := ib.lowerPriorityWaiting(); n > 0 && ib.runningBelow(w.priority) < ib.backend.Capacity/lowPriorityDivisor {
			w = first
		} else if ib.running >= ib.runningLimit(w.priority) {
			return
		}
		heap.Remove(&ib.queue, w.index)
		ib.startRunning(w.priority)
		w.ready <- errcode.OK
	}
}

// startRunning counts a request as running. The caller holds ib.mu.
func (ib *Inbound) startRunning(priority int) {
	ib.running++
	ib.runningByPriority[min(max(priority, 0), len(ib.runningByPriority)-1)]++
}

// lowerPriorityWaiting returns the first waiting request with a lower priority than the head of the queue, and how many
// there are. The caller holds ib.mu.
func (ib *Inbound) lowerPriorityWaiting() (first *waiter, n int) {
	for _, w := range ib.queue {
		if w.priority <= ib.queue[0].priority {
			continue
		}
		if n++; first == nil || w.order < first.order {
			first = w
		}
	}
	return first, n
}

// runningBelow returns how many requests of a lower priority are running. The caller holds ib.mu.
func (ib *Inbound) runningBelow(priority int) (n int) {
	for p := max(priority, 0) + 1; p < len(ib.runningByPriority); p++ {
		n += ib.runningByPriority[p]
	}
	return n
}

// queueFull reports whether no more requests of a priority may wait. One request with a lower priority than the rest
// may wait beyond the queue length, for the places that are left to low priorities. In a full queue it may evict a
// waiting request of a lower priority. The caller holds ib.mu.
func (ib *Inbound) queueFull(priority int) bool {
	_, lower := ib.lowerPriorityWaiting()
	queued, extraPlace := len(ib.queue), ib.backend.Capacity >= lowPriorityDivisor
	if extraPlace && lower == 1 {
		queued--
	}
	switch {
	case float64(queued) < queueFraction*float64(ib.backend.Capacity):
		return false
	case extraPlace && lower == 0 && len(ib.queue) > 0 && priority > ib.queue[0].priority:
		return false
	case extraPlace && lower == 1 && priority == ib.queue[0].priority:
		return true
	}
	return !ib.evictLowerPriority(priority)
}

// acquire gets a place at the backend, and waits for it for at most MaxQueueMs or until ctx is canceled.
func (ib *Inbound) acquire(ctx context.Context, a *peerRequest) errcode.Kind {
	ib.mu.Lock()
	switch {
	case ib.withdrawn:
		ib.mu.Unlock()
		return errcode.Draining
	case ib.backend.Instance != a.Instance || ib.backend.Service != a.Service:
		ib.mu.Unlock()
		return errcode.BackendReplaced
	case ib.backend.State != backends.Serving:
		ib.mu.Unlock()
		return errcode.Draining
	case ib.running < ib.runningLimit(a.Priority):
		ib.startRunning(a.Priority)
		ib.mu.Unlock()
		return errcode.OK
	case a.MaxQueueMs == 0 || ib.queueFull(a.Priority):
		ib.reserve(a.Priority)
		ib.mu.Unlock()
		return errcode.Overloaded
	}
	ib.lastOrder++
	w := &waiter{priority: a.Priority, order: ib.lastOrder, ready: make(chan errcode.Kind, 1)}
	heap.Push(&ib.queue, w)
	ib.mu.Unlock()
	t := time.NewTimer(time.Duration(a.MaxQueueMs) * time.Millisecond)
	defer t.Stop()
	select {
	case k := <-w.ready:
		return k
	case <-t.C:
	case <-ctx.Done():
	}
	ib.mu.Lock()
	defer ib.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&ib.queue, w.index)
		if ctx.Err() != nil {
			return errcode.ClientDisconnected
		}
		ib.reserve(a.Priority)
		return errcode.Overloaded
	}
	return <-w.ready // it was decided at the same moment
}

// evictLowerPriority rejects the last waiting request if it has a lower priority, and reports whether it did. The
// rejection is immediate, while there is time to try another backend. The caller holds ib.mu.
func (ib *Inbound) evictLowerPriority(priority int) bool {
	if len(ib.queue) == 0 {
		return false
	}
	last := slices.MaxFunc(ib.queue, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.order, b.order))
	})
	if last.priority <= priority {
		return false
	}
	heap.Remove(&ib.queue, last.index)
	last.ready <- errcode.Overloaded
	return true
}

// reserve records that a request found no place: one more place is reserved from lower priorities from now on. The
// caller holds ib.mu.
func (ib *Inbound) reserve(priority int) {
	if priority < 0 || priority >= len(ib.reservations) {
		return
	}
	now := time.Since(ib.options.Started)
	ib.reservations[priority] = reservation{min(ib.reservations[priority].remaining(now)+1, maxReservedFraction*float64(ib.backend.Capacity)), now}
}

// runningLimit returns how many requests may run before one of a priority has to wait. The caller holds ib.mu.
func (ib *Inbound) runningLimit(priority int) int {
	reserved := 0.0
	now := time.Since(ib.options.Started)
	for p := 0; p < min(priority, len(ib.reservations)); p++ {
		reserved += ib.reservations[p].remaining(now)
	}
	return ib.backend.Capacity - int(min(reserved, maxReservedFraction*float64(ib.backend.Capacity)))
}

// reservation is the number of places reserved for a priority, which decays exponentially.
type reservation struct {
	slots   float64
	updated time.Duration
}

// remaining returns the reserved places at a time: halved every reservationHalfLife, none below one half.
func (k reservation) remaining(now time.Duration) float64 {
	if k.slots == 0 {
		return 0
	}
	if p := k.slots * math.Exp2(-float64(now-k.updated)/float64(reservationHalfLife)); p >= 0.5 {
		return p
	}
	return 0
}

// release gives a place back, and returns the load after that.
func (ib *Inbound) release(priority int) (running, waiting int) {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	ib.running--
	ib.runningByPriority[min(max(priority, 0), len(ib.runningByPriority)-1)]--
	ib.admit()
	return ib.running, len(ib.queue)
}

func (ib *Inbound) load() (running, waiting int) {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	return ib.running, len(ib.queue)
}
