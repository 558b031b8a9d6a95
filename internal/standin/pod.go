package standin

import (
	"sync"
	"time"
)

// Pod is the memory of keys that its servers share: a repeat within the window is dropped, and answered as its
// first was. A repeat that comes while the first is still at work waits for it.
type Pod struct {
	window time.Duration

	mu   sync.Mutex
	keys map[string]*effect
	old  []*effect // in the order of their times
}

// effect is the one run of a key.
type effect struct {
	key  string
	at   time.Duration
	done chan struct{} // closed when it has run, or never will
	ran  bool          // to be read once done is closed
}

// NewPod returns a pod that remembers a key for the window, counted from when its first request came whole.
func NewPod(window time.Duration) *Pod {
	return &Pod{window: window, keys: map[string]*effect{}}
}

// take returns the run of a key and whether it is this one's to run.
func (p *Pod) take(key string, now time.Duration) (e *effect, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.old) > 0 && p.old[0].at < now-p.window {
		if p.keys[p.old[0].key] == p.old[0] {
			delete(p.keys, p.old[0].key)
		}
		p.old = p.old[1:]
	}
	if e := p.keys[key]; e != nil {
		return e, false
	}
	e = &effect{key: key, at: now, done: make(chan struct{})}
	p.keys[key] = e
	p.old = append(p.old, e)
	return e, true
}

// undo forgets a key whose request did not run after all.
func (p *Pod) undo(key string, e *effect) {
	p.mu.Lock()
	if p.keys[key] == e {
		delete(p.keys, key)
	}
	p.mu.Unlock()
	e.finish(false)
}

func (e *effect) finish(ran bool) {
	e.ran = ran
	close(e.done)
}
