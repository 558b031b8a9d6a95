package saltmast_test

import (
	"fmt"
	"testing"
	"time"

	"saltmast"
)

// What agents share takes away from what the bucket allows: so many retries begin as are told, those that wait for their
// backoff count as begun, and what is not begun is answered at once. A first attempt never waits for it.
func TestAllowanceTakesAway(t *testing.T) {
	s := settings()
	s.MaxAttempts = 2
	r := newRig(t, s, 5, backends(20))
	fails := func(n int) (short, refused int) {
		for i := range n {
			id := fmt.Sprint("r", len(r.sent), "-", i)
			r.request(id, safe)
			if len(r.sent[id]) != 1 {
				t.Fatalf("the first attempt of %s did not go out", id)
			}
			for _, a := range r.outcome(id, saltmast.Full, ms) {
				switch a := a.(type) {
				case saltmast.RetryBudgetExhausted:
					short++
				case saltmast.Refuse:
					if a.Request == id {
						refused++
					}
				}
			}
		}
		return short, refused
	}
	if short, refused := fails(3); short != 0 || refused != 0 {
		t.Fatalf("untold: %d short, %d refused", short, refused)
	}
	r.step(saltmast.RetryBudget{Retries: 5}) // three of them wait already
	if short, refused := fails(4); short != 2 || refused != 2 {
		t.Errorf("with two left: %d of 4 short, %d refused at once", short, refused)
	}
	r.step(saltmast.RetryBudget{Retries: 0})
	if short, refused := fails(2); short != 2 || refused != 2 {
		t.Errorf("with none left: %d of 2 short, %d refused at once", short, refused)
	}
}

// It adds nothing: an empty bucket stays empty, whatever others leave over.
func TestAllowanceAddsNothing(t *testing.T) {
	s := settings()
	s.MaxAttempts = 2
	r := newRig(t, s, 5, backends(6))
	r.step(saltmast.RetryBudget{Retries: 1000})
	retried := 0
	for i := range 30 {
		id := fmt.Sprint("r", i)
		r.request(id, safe)
		r.now += ms
		for _, a := range r.outcome(id, saltmast.Errored, ms) {
			if _, ok := a.(saltmast.RetryBudgetExhausted); ok {
				t.Error("short of an allowance of 1000")
			}
		}
		r.advance(100 * ms)
		if len(r.sent[id]) == 2 {
			retried++
			r.now += ms
			r.outcome(id, saltmast.Errored, ms)
		}
		r.advance(30 * time.Second)
	}
	if retried != 20 {
		t.Errorf("%d retries, want the 20 that the bucket has", retried)
	}
}
