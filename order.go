package saltmast

// Ordering by key: requests of a key run one at a time in order of arrival, with a pause after failures.

import (
	"slices"
	"time"
)

// isNextForKey reports whether r's key is not paused and all its earlier requests and attempts have ended.
func (b *Balancer) isNextForKey(r *request) bool {
	return r.keyQueue == nil || r.keyQueue.requests[0] == r && b.now >= r.keyQueue.pausedUntil
}

// enqueueByKey appends a new request to the queue of its key.
func (b *Balancer) enqueueByKey(r *request, key string) {
	if key == "" || !r.class.KeepOrder {
		return
	}
	if r.keyQueue = b.keyQueues[key]; r.keyQueue == nil {
		r.keyQueue = &keyQueue{key: key}
		b.keyQueues[key] = r.keyQueue
	}
	r.keyQueue.requests = append(r.keyQueue.requests, r)
}

// leaveKeyQueue removes an ended request. The next one is sent in this step, or after the pause.
func (b *Balancer) leaveKeyQueue(r *request) {
	q := r.keyQueue
	if q == nil {
		return
	}
	r.keyQueue = nil
	q.requests = slices.Delete(q.requests, slices.Index(q.requests, r), slices.Index(q.requests, r)+1)
	switch {
	case r.pausedUntil > b.now: // r was the head, as no other was sent; pauses end in order
		q.pausedUntil = r.pausedUntil
		b.paused = append(b.paused, q)
		b.setTimer(q.pausedUntil - b.now + time.Microsecond) // the agent's timers may have this resolution
	case len(q.requests) == 0 && q.pausedUntil <= b.now:
		delete(b.keyQueues, q.key)
	}
}

// endPauses removes the queues of keys whose pause has ended and that have no requests.
func (b *Balancer) endPauses() {
	for len(b.paused) > 0 && b.paused[0].pausedUntil <= b.now {
		q := b.paused[0]
		b.paused = b.paused[1:]
		if len(q.requests) == 0 && q.pausedUntil <= b.now && b.keyQueues[q.key] == q {
			delete(b.keyQueues, q.key)
		}
	}
}
