// Package work runs tasks on goroutines that are used again. A new goroutine begins with a small stack, which its first
// call into the network grows and copies; at one call and one attempt for each request that copying was a tenth of the
// agent's processor time.
package work

import "sync"

// maxIdle is how many goroutines wait for a task at the most; each holds its stack, 8 KB as a rule.
const maxIdle = 64

// Pool runs tasks, each at once: it bounds what waits for tasks, not what runs.
type Pool struct {
	mu     sync.Mutex
	idle   []chan func() // of the goroutines that wait; the last to rest is the first to work, while its stack is in the cache
	closed bool
}

// New returns a pool without goroutines.
func New() *Pool { return &Pool{} }

// Go runs f on a goroutine that waits, or else on a new one. It never blocks, and works after Close too.
func (p *Pool) Go(f func()) {
	p.mu.Lock()
	n := len(p.idle)
	if n == 0 {
		p.mu.Unlock()
		go p.run(f)
		return
	}
	w := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	p.mu.Unlock()
	w <- f // holds one, and nobody else has it
}

// Close ends the goroutines that wait, and has the others end with their tasks.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, w := range p.idle {
		close(w)
	}
	p.idle = nil
}

func (p *Pool) run(f func()) {
	w := make(chan func(), 1)
	for {
		f()
		f = nil // a goroutine that waits holds nothing of what it did
		if !p.rest(w) {
			return
		}
		var ok bool
		if f, ok = <-w; !ok {
			return
		}
	}
}

// rest reports whether one more may wait.
func (p *Pool) rest(w chan func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle {
		return false
	}
	p.idle = append(p.idle, w)
	return true
}
