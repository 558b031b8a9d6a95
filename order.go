package saltmast

// The order of a key: its requests run one at a time, as they were taken, and it rests after trouble.

import (
	"slices"
	"time"
)

// inTurn is the order rule: whether all that was taken for the key of r before it is over, each attempt of it
// has its outcome, and the key has rested.
func (b *Balancer) inTurn(r *request) bool {
	return r.line == nil || r.line.queue[0] == r && b.now >= r.line.rest
}

// lineUp puts a new request behind all others of its key.
func (b *Balancer) lineUp(r *request, key string) {
	if key == "" || !r.c.KeepOrder {
		return
	}
	if r.line = b.lines[key]; r.line == nil {
		r.line = &line{key: key}
		b.lines[key] = r.line
	}
	r.line.queue = append(r.line.queue, r)
}

// leaveLine takes out a request that is over. The next one goes in this step, or after the rest.
func (b *Balancer) leaveLine(r *request) {
	l := r.line
	if l == nil {
		return
	}
	r.line = nil
	l.queue = slices.Delete(l.queue, slices.Index(l.queue, r), slices.Index(l.queue, r)+1)
	switch {
	case r.rest > b.now: // the head, since no other was sent; rests end in the order in which they begin
		l.rest = r.rest
		b.resting = append(b.resting, l)
		b.alarm(l.rest - b.now + time.Microsecond) // the agent's timers may be that coarse
	case len(l.queue) == 0 && l.rest <= b.now:
		delete(b.lines, l.key)
	}
}

// endRests forgets keys that have rested and are not asked for.
func (b *Balancer) endRests() {
	for len(b.resting) > 0 && b.resting[0].rest <= b.now {
		l := b.resting[0]
		b.resting = b.resting[1:]
		if len(l.queue) == 0 && l.rest <= b.now && b.lines[l.key] == l {
			delete(b.lines, l.key)
		}
	}
}
