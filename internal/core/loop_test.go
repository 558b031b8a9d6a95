package core

import (
	"testing"
	"time"

	"saltmast"
	"saltmast/internal/testsupport"
	"saltmast/internal/wire"
)

const id = "00000000000000a1"

// Guards against a late step, which would make every client look like one that tries again.
func TestLateStepKeepsThePatience(t *testing.T) {
	_, _, left := stepOnce(t, 80*time.Millisecond)
	if want := 6*time.Second - cutMargin - time.Millisecond; left != want {
		t.Errorf("the module was told that %v are left, want %v", left, want)
	}
}

// stepOnce gives a loop with a tick of 1 ms a request of 6 s, steps it so late, and returns what the
// module was told to be left.
func stepOnce(t *testing.T, late time.Duration) (r *Request, now, left time.Duration) {
	t.Helper()
	settings, _, err := wire.ParseSettings([]byte(testsupport.Settings))
	if err != nil {
		t.Fatal(err)
	}
	l, err := New(Options{Settings: settings, Clock: NewClock(), Log: testsupport.LogTo(&testsupport.Capture{})})
	if err != nil {
		t.Fatal(err)
	}
	l.bal = testsupport.Script(func(_ time.Duration, e saltmast.Event) []saltmast.Action {
		if q, ok := e.(saltmast.Request); ok {
			left = q.TimeLeft
		}
		return nil
	})
	now = l.clock.Now()
	r = &Request{Call: Call{ID: id}, event: saltmast.Request{ID: id}, arrived: now, deadline: now + 6*time.Second, answer: make(chan Answer, 1)}
	l.take(arrival{r})
	now += late
	l.step(now)
	return r, now, left
}

// Guards against an attempt that times out with its request, but before the module's deadline for it:
// seen on a fleet day, the module then waited for a try that had no time, and the safety net answered.
func TestTimeOutIsTheDeadline(t *testing.T) {
	for _, late := range []time.Duration{0, time.Millisecond, 80 * time.Millisecond} {
		r, now, left := stepOnce(t, late)
		if late <= time.Millisecond && r.cut != now+left {
			t.Errorf("a step %v late: attempts end %v before the deadline that the module knows", late, now+left-r.cut)
		}
		if r.cut >= r.deadline-netMargin {
			t.Errorf("a step %v late: attempts end after the safety net", late)
		}
	}
}

// Guards against a start time that reads as "long ago", and one that moves from list to list.
func TestStartTimes(t *testing.T) {
	clock := NewClock()
	if got := clock.FromUnixMs(0); got != 0 {
		t.Errorf("long ago became %v", got)
	}
	ms := float64(time.Now().UnixMilli() - 3000)
	first := clock.FromUnixMs(ms)
	if age := clock.Now() - first; age < 2900*time.Millisecond || age > 3*time.Second+testsupport.Long {
		t.Errorf("started 3 s ago became %v ago", age)
	}
	if clock.FromUnixMs(ms) != first {
		t.Error("one start time became two")
	}
}
