package errcode

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

// Every kind has an answer. For kinds that answer requests, a status that promises that nothing was executed is used only where
// that is so. Kinds of configuration calls make no such promise.
func TestTable(t *testing.T) {
	texts := map[string]Kind{}
	configuration := []Kind{HigherBallot, DiskUnavailable, OutcomeUnknown}
	for k := OK; k < kindCount; k++ {
		a := answers[k]
		if a.Status < 200 || a.Status > 599 || a.Text == "" {
			t.Errorf("kind %d has no answer: %+v", k, a)
		}
		if other, ok := texts[a.Text]; ok {
			t.Errorf("kinds %d and %d have the same text", other, k)
		}
		texts[a.Text] = k
		promise := slices.Contains([]int{408, 421, 429, 503}, a.Status)
		if promise && !a.NotRun && !slices.Contains(configuration, k) {
			t.Errorf("%s: status %d wrongly promises that nothing was executed", k, a.Status)
		}
		if a.NotRun && !promise && a.Status/100 != 4 {
			t.Errorf("%s: status %d although nothing was executed", k, a.Status)
		}
		if a.RetryAfter && a.Status != 503 && a.Status != 409 {
			t.Errorf("%s: Retry-After with status %d", k, a.Status)
		}
	}
	for _, k := range []Kind{InvalidResponse, ConnectionLost, ResponseTimeout, KeyInProgress, KeyOutcomeUnknown, kindCount, 255} {
		if k.NotRun() {
			t.Errorf("%s claims to prove that nothing was executed", k)
		}
	}
}

func TestOf(t *testing.T) {
	cause := errors.New("cause")
	for _, c := range []struct {
		err  error
		want Kind
		text string
	}{
		{nil, OK, ""},
		{cause, InvalidResponse, "cause"},
		{New(NotFound, ""), NotFound, "nothing known of it"},
		{fmt.Errorf("around: %w", New(Overloaded, "%d wait: %w", 3, cause)), Overloaded, "around: backends are full: 3 wait: cause"},
	} {
		if got := Of(c.err); got != c.want || c.err != nil && c.err.Error() != c.text {
			t.Errorf("%v is of kind %s", c.err, got)
		}
	}
	if !errors.Is(New(Overloaded, "%w", cause), cause) {
		t.Error("errors.Is does not find the cause")
	}
}
