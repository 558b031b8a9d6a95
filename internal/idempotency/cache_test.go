package idempotency

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Checks random histories: the bytes of answers stay within their bound, the answer returned for a key is the one that was
// stored, an operation that may have been executed does not begin twice within the window, and only operations in progress
// outlast two windows.
func TestCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, bytes = 10 * time.Second, 100
		c := NewCache[int](window, bytes)
		type operation struct {
			id    ID
			begun time.Duration
			state State
		}
		last := map[string]*operation{}
		now, n := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 10, 3000, 9000}).Draw(t, "ms")) * time.Millisecond
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			op := last[key]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				n++
				known, begun := c.Begin(now, key, ID{Incarnation: 1, N: n})
				if begun && op != nil && op.state != NotExecuted && now-op.begun <= window {
					t.Fatalf("%s began again after %v, %d", key, now-op.begun, op.state)
				}
				if begun && op != nil && op.state == InProgress {
					t.Fatalf("%s began again while in progress", key)
				}
				if !begun && known.State == Done && known.Answer != int(known.ID.N) {
					t.Fatalf("answer %d returned for operation %d", known.Answer, known.ID.N)
				}
				if begun {
					last[key] = &operation{ID{Incarnation: 1, N: n}, now, InProgress}
				}
			case 2:
				if op != nil && op.state == InProgress {
					op.state = rapid.SampledFrom([]State{Done, Unknown, NotExecuted}).Draw(t, "state")
					c.Finish(key, op.id, op.state, int(op.id.N), rapid.IntRange(0, 70).Draw(t, "size"), "")
					c.Finish(key, ID{Incarnation: 2, N: 1}, NotExecuted, 0, 0, "") // ignored: the id of another claim
				}
			case 3:
				if op != nil && op.state == NotExecuted {
					c.Forget(key, op.id)
					delete(last, key)
				}
			}
			if ops, size := c.Len(); size < 0 || size > bytes || ops > 4 {
				t.Fatalf("%d operations, %d bytes", ops, size)
			}
		}
		for k, op := range last {
			if op.state == InProgress {
				c.Finish(k, op.id, Unknown, 0, 0, "")
			}
		}
		c.Begin(now+window+1, "e", ID{Incarnation: 1, N: n + 1})
		c.Finish("e", ID{Incarnation: 1, N: n + 1}, Done, 0, 1, "")
		c.Begin(now+3*window, "f", ID{Incarnation: 1, N: n + 2})
		if ops, size := c.Len(); ops != 1 || size != 0 || len(c.started) != 1 || len(c.answered) != 0 {
			t.Fatalf("%d operations, %d entries, %d bytes, %d answered entries after three windows", ops, len(c.started), size, len(c.answered))
		}
	})
}

// Guards against a key that begins and is not executed again and again: it must not keep other operations beyond their window.
func TestCacheKeyRetried(t *testing.T) {
	const window = 10 * time.Second
	c := NewCache[int](window, 100)
	c.Begin(0, "again", ID{Incarnation: 1, N: 1})
	for i := range 100 {
		now := time.Duration(i) * time.Second
		c.Finish("again", ID{Incarnation: 1, N: uint64(2*i + 1)}, NotExecuted, 0, 0, "")
		c.Begin(now, "other"+string(rune('A'+i)), ID{Incarnation: 1, N: uint64(2*i + 2)})
		c.Finish("other"+string(rune('A'+i)), ID{Incarnation: 1, N: uint64(2*i + 2)}, Unknown, 0, 0, "")
		c.Begin(now, "again", ID{Incarnation: 1, N: uint64(2*i + 3)})
	}
	if ops, _ := c.Len(); ops > 13 || len(c.started) > 30 {
		t.Errorf("%d operations and %d entries after a window of 10 s", ops, len(c.started))
	}
}

// The counts by state follow every way in which operations change or are removed.
func TestCacheCounts(t *testing.T) {
	c := NewCache[string](time.Minute, 10)
	id := func(n uint64) ID { return ID{Incarnation: 1, N: n} }
	check := func(inProgress, done, unknown, notExecuted int) {
		t.Helper()
		ops, _ := c.Len()
		if got, want := c.counts, [...]int{inProgress, done, unknown, notExecuted}; got != want || ops != inProgress+done+unknown+notExecuted {
			t.Errorf("counts %v of %d operations, want %v", got, ops, want)
		}
	}
	for i, key := range []string{"a", "b", "c", "d"} {
		c.Begin(0, key, id(uint64(i)))
	}
	check(4, 0, 0, 0)
	c.Finish("a", id(0), Done, "x", 8, "")
	c.Finish("a", id(0), Unknown, "", 0, "") // Done stays Done
	c.Finish("b", id(1), NotExecuted, "", 0, "")
	c.Finish("c", id(2), Unknown, "", 0, "")
	check(1, 1, 1, 1)
	c.Finish("d", id(3), Done, "y", 8, "") // evicts the older answer
	check(0, 1, 2, 1)
	c.Begin(time.Second, "b", id(9)) // not executed: begins anew
	check(1, 1, 2, 0)
	c.Forget("c", id(2))
	check(1, 1, 1, 0)
	c.Begin(2*time.Minute, "e", id(10)) // finished operations expire, those in progress do not
	check(2, 0, 0, 0)
}
