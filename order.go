package saltmast

// Ordering by key: requests of a key run one at a time in order of arrival, with a pause after failures.

import (
	"slices"
	"time"
)

// isNextForKey reports whether all earlier requests of r's key and their attempts ended, and no pause is on.
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
	l := r.keyQueue
	if l == nil {
		return
	}
	r.keyQueue = nil
	l.requests = slices.Delete(l.requests, slices.Index(l.requests, r), slices.Index(l.requests, r)+1)
	switch {
	case r.pausedUntil > b.now: // r was the head, as no other was sent; pauses end in order
		l.pausedUntil = r.pausedUntil
		b.paused = append(b.paused, l)
		b.setTimer(l.pausedUntil - b.now + time.Microsecond) // the agent's timers may have this resolution
	case len(l.requests) == 0 && l.pausedUntil <= b.now:
		delete(b.keyQueues, l.key)
	}
}

// endPauses removes the queues of keys whose pause has ended and that have no requests.
func (b *Balancer) endPauses() {
	for len(b.paused) > 0 && b.paused[0].pausedUntil <= b.now {
		l := b.paused[0]
		b.paused = b.paused[1:]
		if len(l.requests) == 0 && l.pausedUntil <= b.now && b.keyQueues[l.key] == l {
			delete(b.keyQueues, l.key)
		}
	}
}
