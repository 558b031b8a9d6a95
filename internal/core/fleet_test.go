package core

import (
	"context"
	"maps"
	"slices"
	"testing"
	"time"

	"saltmast"
	"saltmast/internal/shared"
	"saltmast/internal/testsupport"
	"saltmast/internal/wire"
)

// ledger is a Fleet that says what the test wants and notes what it is told. The loop alone uses it.
type ledger struct {
	left   int
	counts map[shared.Kind]int
	spent  int
	missed int
	sent   int
	ended  []saltmast.Result
}

func (f *ledger) Count(_ uint64, _ int, k shared.Kind) { f.counts[k]++ }
func (f *ledger) Left() int                            { return f.left }
func (f *ledger) Missed()                              { f.missed++ }
func (f *ledger) Sent(backend string, _ time.Duration) time.Duration {
	f.sent++
	return time.Duration(f.sent)
}
func (f *ledger) Ended(backend string, at time.Duration, r saltmast.Result, _ bool) {
	if backend != "b" || at != time.Duration(len(f.ended)+1) {
		panic("an attempt was ended that was not sent")
	}
	f.ended = append(f.ended, r)
}
func (f *ledger) Spend() bool {
	if f.left <= 0 {
		return false
	}
	f.left--
	f.spent++
	return true
}

// fails is an upstream whose attempts all fail at once.
type fails struct{ result saltmast.Result }

func (f fails) Attempt(context.Context, *Call, string, time.Time) Reply {
	return Reply{Result: f.result, At: time.Now()}
}
func (f fails) Probe(context.Context, string) Reply { return Reply{} }
func (f fails) CloseIdle(string)                    {}

// play runs a loop with a module that tries each request three times, and says Short where it was told that none is left.
// It returns the answer to one request, and what the module was told.
func play(t *testing.T, f *ledger, result saltmast.Result) (Answer, []saltmast.RetryBudget) {
	t.Helper()
	settings, _, err := wire.ParseSettings([]byte(testsupport.Settings))
	if err != nil {
		t.Fatal(err)
	}
	var told []saltmast.RetryBudget
	sends := 0
	script := testsupport.Script(func(_ time.Duration, e saltmast.Event) []saltmast.Action {
		switch e := e.(type) {
		case saltmast.RetryBudget:
			told = append(told, e)
		case saltmast.Request:
			sends++
			return []saltmast.Action{saltmast.Send{Request: e.ID, Backend: "b"}}
		case saltmast.Outcome:
			if sends++; sends > 3 || e.Result == saltmast.NotSent {
				return []saltmast.Action{saltmast.RetryBudgetExhausted{Request: e.Request}, saltmast.Fail{Request: e.Request}}
			}
			return []saltmast.Action{saltmast.Send{Request: e.Request, Backend: "b"}}
		}
		return nil
	})
	l, err := New(Options{Settings: settings, Clock: NewClock(), Log: testsupport.LogTo(&testsupport.Capture{}), Decider: script, Fleet: f})
	if err != nil {
		t.Fatal(err)
	}
	l.Connect(fails{result}, nil)
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	r := l.NewRequest(&settings, saltmast.Request{ID: id, TimeLeft: 6 * time.Second}, time.Now(), nil)
	l.Submit(r)
	a := testsupport.Receive(t, r.Answer())
	cancel()
	testsupport.Receive(t, l.Done())
	return a, told
}

func TestRetriesAreSpentWhereTheyAreSentAndCounted(t *testing.T) {
	f := &ledger{left: 1, counts: map[shared.Kind]int{}}
	a, told := play(t, f, saltmast.Errored)
	if a.Kind != Failed {
		t.Errorf("%+v", a)
	}
	// The module was told of one before it asked for two: the second is not sent.
	if want := (map[shared.Kind]int{shared.Requests: 1, shared.Answered: 2, shared.Retries: 1}); !maps.Equal(f.counts, want) {
		t.Errorf("counted %v, want %v", f.counts, want)
	}
	if f.sent != 2 || !slices.Equal(f.ended, []saltmast.Result{saltmast.Errored, saltmast.Errored}) {
		t.Errorf("%d sent, ended %v", f.sent, f.ended)
	}
	if f.spent != 1 || f.missed != 1 || len(told) == 0 || told[0].Retries != 1 || told[len(told)-1].Retries != 0 {
		t.Errorf("%d spent, %d missed, told %v", f.spent, f.missed, told)
	}
}

func TestAttemptsThatReachNobodyAreNoAttempts(t *testing.T) {
	f := &ledger{left: 9, counts: map[shared.Kind]int{}}
	play(t, f, saltmast.ConnectFailed)
	if f.counts[shared.Answered] != 0 || f.counts[shared.Retries] != 2 {
		t.Errorf("%v", f.counts)
	}
}

func TestWithoutABudgetTheModuleIsToldOfNone(t *testing.T) {
	f := &ledger{left: -1, counts: map[shared.Kind]int{}}
	if _, told := play(t, f, saltmast.Errored); len(told) != 0 {
		t.Errorf("told %v", told)
	}
}
