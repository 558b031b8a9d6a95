package idempotency

import "time"

// State is the state of an operation as one proxy knows it.
type State uint8

// The states of an operation.
const (
	InProgress  State = iota // claimed or being claimed, and not finished
	Done                     // executed, and its answer is cached
	Unknown                  // possibly executed, and no answer is available
	NotExecuted              // certainly not executed, and the claim is released
)

// Operation is one operation and its outcome.
type Operation[A any] struct {
	ID      ID
	State   State
	Answer  A
	AskAddr string // host:port of a proxy that may know the outcome
	size    int
	at      time.Duration
}

// Cache holds the operations of one proxy for a window, and the answers of finished ones up to a total of bytes. When the answers
// exceed it, the oldest are evicted and their operations become Unknown.
type Cache[A any] struct {
	Window   time.Duration
	MaxBytes int // of all answers together
	ops      map[string]*Operation[A]
	started  []cacheEntry // in order of begin; may list operations that are gone
	answered []cacheEntry // those with answers, in order of finish; may list operations that are gone
	bytes    int
	counts   [NotExecuted + 1]int // operations by state
}

type cacheEntry struct {
	key string
	id  ID
}

// NewCache returns an empty cache.
func NewCache[A any](window time.Duration, bytes int) *Cache[A] {
	return &Cache[A]{Window: window, MaxBytes: bytes, ops: map[string]*Operation[A]{}}
}

// Begin starts an operation under id unless the key is known; otherwise it returns the known operation. A key whose operation
// was not executed starts anew.
func (c *Cache[A]) Begin(now time.Duration, key string, id ID) (known Operation[A], begun bool) {
	c.expire(now)
	if op := c.ops[key]; op != nil {
		if op.State != NotExecuted {
			return *op, false
		}
		c.counts[NotExecuted]--
	}
	c.counts[InProgress]++
	c.ops[key] = &Operation[A]{ID: id, at: now}
	c.started = append(c.started, cacheEntry{key, id})
	return Operation[A]{}, true
}

// Finish records how the operation of id ended; a Done operation stays Done. size is the number of bytes that answer takes.
func (c *Cache[A]) Finish(key string, id ID, s State, answer A, size int, askAddr string) {
	op := c.ops[key]
	if op == nil || op.ID != id || op.State == Done {
		return
	}
	c.setState(op, s)
	op.AskAddr = askAddr
	if s != Done {
		return
	}
	op.Answer, op.size = answer, size
	c.bytes += size
	c.answered = append(c.answered, cacheEntry{key, id})
	for c.bytes > c.MaxBytes && len(c.answered) > 0 {
		if oldest := c.oldestAnswered(); oldest != nil {
			var none A
			c.setState(oldest, Unknown)
			oldest.Answer = none
			c.bytes -= oldest.size
			oldest.size = 0
		}
		c.answered = c.answered[1:]
	}
}

// oldestAnswered returns the operation of the first entry of c.answered, or nil if that is no longer cached.
func (c *Cache[A]) oldestAnswered() *Operation[A] {
	if op := c.ops[c.answered[0].key]; op != nil && op.ID == c.answered[0].id && op.State == Done {
		return op
	}
	return nil
}

// Lookup returns the operation of a key.
func (c *Cache[A]) Lookup(key string) (Operation[A], bool) {
	op := c.ops[key]
	if op == nil {
		return Operation[A]{}, false
	}
	return *op, true
}

// Forget removes a key if id began it.
func (c *Cache[A]) Forget(key string, id ID) {
	if op := c.ops[key]; op != nil && op.ID == id {
		c.bytes -= op.size
		c.counts[op.State]--
		delete(c.ops, key)
	}
}

func (c *Cache[A]) setState(op *Operation[A], s State) {
	c.counts[op.State]--
	c.counts[s]++
	op.State = s
}

// Count returns the number of operations in a state.
func (c *Cache[A]) Count(s State) int { return c.counts[s] }

// Len returns the number of operations and the bytes of their answers.
func (c *Cache[A]) Len() (ops, bytes int) { return len(c.ops), c.bytes }

// expire removes operations older than the window. One that is still in progress stays for another window.
func (c *Cache[A]) expire(now time.Duration) {
	n := 0
	for ; n < len(c.started); n++ {
		e := c.started[n]
		op := c.ops[e.key]
		if op == nil || op.ID != e.id {
			continue
		}
		if now-op.at <= c.Window {
			break
		}
		if op.State == InProgress {
			c.started = append(c.started, e) // checked again later
			op.at = now
			continue
		}
		c.bytes -= op.size
		c.counts[op.State]--
		delete(c.ops, e.key)
	}
	c.started = c.started[n:]
	for len(c.answered) > 0 && c.oldestAnswered() == nil {
		c.answered = c.answered[1:]
	}
}
