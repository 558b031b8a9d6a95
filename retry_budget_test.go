package saltmast_test

import (
	"fmt"
	"testing"
	"time"

	"saltmast"
)

// The shared retry budget restricts the private bucket: only as many retries start as it allows, with those in backoff
// counted as started. A request whose retry is denied is answered at once. First attempts are not limited.
func TestRetryBudgetRestrictsRetries(t *testing.T) {
	s := settings()
	s.MaxAttempts = 2
	r := newHarness(t, s, 5, backends(20))
	failRequests := func(n int) (denied, refused int) {
		for i := range n {
			id := fmt.Sprint("r", len(r.sent), "-", i)
			r.request(id, safe)
			if len(r.sent[id]) != 1 {
				t.Fatalf("the first attempt of %s was not sent", id)
			}
			for _, a := range r.outcome(id, saltmast.Full, ms) {
				switch a := a.(type) {
				case saltmast.RetryBudgetExhausted:
					denied++
				case saltmast.Refuse:
					if a.Request == id {
						refused++
					}
				}
			}
		}
		return denied, refused
	}
	if denied, refused := failRequests(3); denied != 0 || refused != 0 {
		t.Fatalf("without a budget: %d retries denied, %d refused", denied, refused)
	}
	r.step(saltmast.RetryBudget{Retries: 5}) // three of them are in backoff
	if denied, refused := failRequests(4); denied != 2 || refused != 2 {
		t.Errorf("with two left: %d of 4 retries denied, %d refused at once", denied, refused)
	}
	r.step(saltmast.RetryBudget{Retries: 0})
	if denied, refused := failRequests(2); denied != 2 || refused != 2 {
		t.Errorf("with none left: %d of 2 retries denied, %d refused at once", denied, refused)
	}
}

// The shared retry budget does not add to the private bucket: an empty one stays empty.
func TestRetryBudgetAddsNothing(t *testing.T) {
	s := settings()
	s.MaxAttempts = 2
	r := newHarness(t, s, 5, backends(6))
	r.step(saltmast.RetryBudget{Retries: 1000})
	retried := 0
	for i := range 30 {
		id := fmt.Sprint("r", i)
		r.request(id, safe)
		r.now += ms
		for _, a := range r.outcome(id, saltmast.Errored, ms) {
			if _, ok := a.(saltmast.RetryBudgetExhausted); ok {
				t.Error("retry denied with a budget of 1000")
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
		t.Errorf("%d retries, want 20 from the private bucket", retried)
	}
}
