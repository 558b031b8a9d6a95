package idempotency

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The bytes of answers stay within their bound, an answer that is told is the one that was kept, no operation that is not
// void begins twice within the window, and none outlasts two windows but those at work.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, bytes = 10 * time.Second, 100
		b := NewCache[int](window, bytes)
		type run struct {
			id    ID
			begun time.Duration
			state State
		}
		last := map[string]*run{}
		now, n := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.SampledFrom([]int{0, 10, 3000, 9000}).Draw(t, "ms")) * time.Millisecond
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			r := last[key]
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				n++
				known, begun := b.Begin(now, key, ID{Life: 1, N: n})
				if begun && r != nil && r.state != NotExecuted && now-r.begun <= window {
					t.Fatalf("%s began again after %v, %d", key, now-r.begun, r.state)
				}
				if begun && r != nil && r.state == InProgress {
					t.Fatalf("%s began again while it was at work", key)
				}
				if !begun && known.State == Done && known.Answer != int(known.ID.N) {
					t.Fatalf("the answer of %d is told for %d", known.Answer, known.ID.N)
				}
				if begun {
					last[key] = &run{ID{Life: 1, N: n}, now, InProgress}
				}
			case 2:
				if r != nil && r.state == InProgress {
					r.state = rapid.SampledFrom([]State{Done, Unknown, NotExecuted}).Draw(t, "state")
					b.Finish(key, r.id, r.state, int(r.id.N), rapid.IntRange(0, 70).Draw(t, "size"), "")
					b.Finish(key, ID{Life: 2, N: 1}, NotExecuted, 0, 0, "") // another's word counts for nothing
				}
			case 3:
				if r != nil && r.state == NotExecuted {
					b.Forget(key, r.id)
					delete(last, key)
				}
			}
			if ops, held := b.Len(); held < 0 || held > bytes || ops > 4 {
				t.Fatalf("%d operations, %d bytes", ops, held)
			}
		}
		for k, r := range last {
			if r.state == InProgress {
				b.Finish(k, r.id, Unknown, 0, 0, "")
			}
		}
		b.Begin(now+window+1, "e", ID{Life: 1, N: n + 1})
		b.Finish("e", ID{Life: 1, N: n + 1}, Done, 0, 1, "")
		b.Begin(now+3*window, "f", ID{Life: 1, N: n + 2})
		if ops, held := b.Len(); ops != 1 || held != 0 || len(b.order) != 1 || len(b.kept) != 0 {
			t.Fatalf("%d operations of %d, %d bytes, %d kept long after", ops, len(b.order), held, len(b.kept))
		}
	})
}

// A key that is begun and void again and again does not keep others beyond their window.
func TestBookOfKeyTriedAgain(t *testing.T) {
	const window = 10 * time.Second
	b := NewCache[int](window, 100)
	b.Begin(0, "again", ID{Life: 1, N: 1})
	for i := range 100 {
		now := time.Duration(i) * time.Second
		b.Finish("again", ID{Life: 1, N: uint64(2*i + 1)}, NotExecuted, 0, 0, "")
		b.Begin(now, "other"+string(rune('A'+i)), ID{Life: 1, N: uint64(2*i + 2)})
		b.Finish("other"+string(rune('A'+i)), ID{Life: 1, N: uint64(2*i + 2)}, Unknown, 0, 0, "")
		b.Begin(now, "again", ID{Life: 1, N: uint64(2*i + 3)})
	}
	if ops, _ := b.Len(); ops > 13 || len(b.order) > 30 {
		t.Errorf("%d operations and %d entries of 11 s", ops, len(b.order))
	}
}

// The counts by state follow the operations through every way on which they change or are forgotten.
func TestBookCounts(t *testing.T) {
	b := NewCache[string](time.Minute, 10)
	id := func(n uint64) ID { return ID{Life: 1, N: n} }
	check := func(at, done, unknown, void int) {
		t.Helper()
		ops, _ := b.Len()
		if got, want := b.in, [...]int{at, done, unknown, void}; got != want || ops != at+done+unknown+void {
			t.Errorf("%v of %d, want %v", got, ops, want)
		}
	}
	for i, key := range []string{"a", "b", "c", "d"} {
		b.Begin(0, key, id(uint64(i)))
	}
	check(4, 0, 0, 0)
	b.Finish("a", id(0), Done, "x", 8, "")
	b.Finish("a", id(0), Unknown, "", 0, "") // done stays done
	b.Finish("b", id(1), NotExecuted, "", 0, "")
	b.Finish("c", id(2), Unknown, "", 0, "")
	check(1, 1, 1, 1)
	b.Finish("d", id(3), Done, "y", 8, "") // the older answer makes room
	check(0, 1, 2, 1)
	b.Begin(time.Second, "b", id(9)) // void: it begins anew
	check(1, 1, 2, 0)
	b.Forget("c", id(2))
	check(1, 1, 1, 0)
	b.Begin(2*time.Minute, "e", id(10)) // what is over is forgotten, what is at work is not
	check(2, 0, 0, 0)
}
