package idempotency

import "time"

// State of an operation, as a proxy knows it.
type State uint8

// The states.
const (
	InProgress  State = iota // claimed or being claimed, and not over
	Done                     // it ran, and its answer is kept
	Unknown                  // it may have run, and there is no answer
	NotExecuted              // it surely did not run, and the claim is given back
)

// Operation is one operation.
type Operation[A any] struct {
	ID      ID
	State   State
	Answer  A
	AskAddr string // who may know more of it: host:port
	size    int
	at      time.Duration
}

// Cache holds the operations of one proxy for a window, and the answers to those that are done within a bound of bytes: the
// oldest answers go first, and what they answered is then unknown.
type Cache[A any] struct {
	Window   time.Duration
	MaxBytes int // of answers at the most
	ops      map[string]*Operation[A]
	order    []opening // in which they began; may name some that are over
	kept     []opening // with answers, in the order in which they were done; may name some that are over
	held     int
	in       [NotExecuted + 1]int // how many stand in each state
}

type opening struct {
	key string
	id  ID
}

// NewCache returns an empty one.
func NewCache[A any](window time.Duration, bytes int) *Cache[A] {
	return &Cache[A]{Window: window, MaxBytes: bytes, ops: map[string]*Operation[A]{}}
}

// Begin begins an operation under id unless its key is known: then it gives what is known.
func (b *Cache[A]) Begin(now time.Duration, key string, id ID) (known Operation[A], begun bool) {
	b.expire(now)
	if o := b.ops[key]; o != nil {
		if o.State != NotExecuted {
			return *o, false
		}
		b.in[NotExecuted]--
	}
	b.in[InProgress]++
	b.ops[key] = &Operation[A]{ID: id, at: now}
	b.order = append(b.order, opening{key, id})
	return Operation[A]{}, true
}

// Finish tells how the operation of id ended. size is what its answer takes.
func (b *Cache[A]) Finish(key string, id ID, s State, answer A, size int, where string) {
	o := b.ops[key]
	if o == nil || o.ID != id || o.State == Done {
		return
	}
	b.set(o, s)
	o.AskAddr = where
	if s != Done {
		return
	}
	o.Answer, o.size = answer, size
	b.held += size
	b.kept = append(b.kept, opening{key, id})
	for b.held > b.MaxBytes && len(b.kept) > 0 {
		if old := b.first(); old != nil {
			var none A
			b.set(old, Unknown)
			old.Answer = none
			b.held -= old.size
			old.size = 0
		}
		b.kept = b.kept[1:]
	}
}

// first is the oldest of those kept; nil: it is over.
func (b *Cache[A]) first() *Operation[A] {
	if o := b.ops[b.kept[0].key]; o != nil && o.ID == b.kept[0].id && o.State == Done {
		return o
	}
	return nil
}

// Lookup is what is known of a key.
func (b *Cache[A]) Lookup(key string) (Operation[A], bool) {
	o := b.ops[key]
	if o == nil {
		return Operation[A]{}, false
	}
	return *o, true
}

// Forget forgets a key that id began.
func (b *Cache[A]) Forget(key string, id ID) {
	if o := b.ops[key]; o != nil && o.ID == id {
		b.held -= o.size
		b.in[o.State]--
		delete(b.ops, key)
	}
}

func (b *Cache[A]) set(o *Operation[A], s State) {
	b.in[o.State]--
	b.in[s]++
	o.State = s
}

// Count is how many are known that stand in a state.
func (b *Cache[A]) Count(s State) int { return b.in[s] }

// Len is how many are known, and the bytes of their answers.
func (b *Cache[A]) Len() (ops, bytes int) { return len(b.ops), b.held }

func (b *Cache[A]) expire(now time.Duration) {
	n := 0
	for ; n < len(b.order); n++ {
		e := b.order[n]
		o := b.ops[e.key]
		if o == nil || o.ID != e.id {
			continue
		}
		if now-o.at <= b.Window {
			break
		}
		if o.State == InProgress {
			b.order = append(b.order, e) // looked at again later
			o.at = now
			continue
		}
		b.held -= o.size
		b.in[o.State]--
		delete(b.ops, e.key)
	}
	b.order = b.order[n:]
	for len(b.kept) > 0 && b.first() == nil {
		b.kept = b.kept[1:]
	}
}
