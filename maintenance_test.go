package saltmast

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A backend under maintenance gets no attempts and probes, in any order of maintenance events, list changes, requests and
// outcomes.
func TestNoAttemptsUnderMaintenance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{Balancers: 4, MaxAttempts: 3, SecondCopies: true, MayCancel: true, ColdShare: 0.3, RampTime: 8 * time.Second,
			FallMultiple: 2.5, FallWindow: time.Second, ConnectTimeout: 250 * time.Millisecond,
			Classes: []Class{{Aim: time.Second, Deadline: 3 * time.Second, Worth: 1, Effect: Keyed, Group: GroupAll, Window: time.Second}}}
		b, err := New(s, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		outOfService := map[string]bool{}
		type openAttempt struct {
			id, backend string
			no          int
		}
		var open []openAttempt
		sends := map[string]int{}
		timers := map[int64]time.Duration{}
		entry := func(i int) Backend {
			return Backend{ID: fmt.Sprint("s", i), State: BackendState(rapid.IntRange(0, 2).Draw(t, "state")),
				Started: now - time.Duration(rapid.IntRange(0, 20).Draw(t, "age"))*time.Second}
		}
		step := func(events ...Event) {
			for _, a := range b.Step(now, events) {
				switch a := a.(type) {
				case Send:
					if outOfService[a.Backend] {
						t.Fatalf("send to %s, which is out of service", a.Backend)
					}
					open = append(open, openAttempt{a.Request, a.Backend, sends[a.Request]})
					sends[a.Request]++
				case SetTimer:
					timers[a.Token] = now + a.After
				case Probe:
					if outOfService[a.Backend] {
						t.Fatalf("probe of %s, which is out of service", a.Backend)
					}
				}
			}
		}
		step(List{Kind: ListFull, Backends: []Backend{{ID: "s0"}, {ID: "s1"}, {ID: "s2"}}})
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				id := fmt.Sprint("s", rapid.IntRange(0, 3).Draw(t, "id"))
				outOfService[id] = rapid.Bool().Draw(t, "out")
				step(Maintenance{Backend: id, OutOfService: outOfService[id], Since: now})
			case 1:
				kind := ListDelta
				if rapid.Bool().Draw(t, "full") {
					kind = ListFull
				}
				step(List{Kind: kind, Backends: []Backend{entry(rapid.IntRange(0, 3).Draw(t, "id"))}})
			case 2, 3:
				step(Request{ID: fmt.Sprint("r", i), TimeLeft: 3 * time.Second})
			case 4:
				if len(open) > 0 {
					o := open[0]
					open = open[1:]
					step(Outcome{Request: o.id, Attempt: o.no, Backend: o.backend, Latency: 50 * time.Millisecond,
						Result: Result(rapid.IntRange(0, int(NotSent)).Draw(t, "result"))})
				}
			case 5:
				for token, at := range timers {
					if at <= now {
						delete(timers, token)
						step(TimerFired{Token: token})
					}
				}
			}
		}
	})
}

func newTestBalancer(t *testing.T, balancers int) *Balancer {
	t.Helper()
	b, err := New(Settings{Balancers: balancers, MaxAttempts: 3, ColdShare: 0.31, RampTime: 8800 * time.Millisecond, FallMultiple: 2.5,
		FallWindow: time.Second, Classes: []Class{{Aim: time.Second, Deadline: 3 * time.Second, Worth: 1, Effect: Unsafe}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func sentBackends(actions []Action) (to []string) {
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			to = append(to, s.Backend)
		}
	}
	return to
}

// A backend that operators put back must be used within 5 s by an agent with one request per second, and must count as cold.
func TestReinstatedBackendIsUsedSoonAndCold(t *testing.T) {
	b := newTestBalancer(t, 4)
	now := time.Hour
	b.Step(now, []Event{List{Kind: ListFull, Backends: []Backend{{ID: "s0"}, {ID: "s1"}, {ID: "s2"}, {ID: "s3"}}}})
	n := 0
	sendRequest := func() []string {
		n++
		id := fmt.Sprint("r", n)
		to := sentBackends(b.Step(now, []Event{Request{ID: id, TimeLeft: 3 * time.Second}}))
		for _, s := range to {
			b.Step(now+40*time.Millisecond, []Event{Outcome{Request: id, Backend: s, Latency: 40 * time.Millisecond, Done: true}})
		}
		return to
	}
	for range 20 {
		now += time.Second
		sendRequest()
	}
	b.Step(now, []Event{Maintenance{Backend: "s1", OutOfService: true}})
	b.Step(now, []Event{List{Kind: ListFull, Backends: []Backend{{ID: "s0"}, {ID: "s1", Started: now}, {ID: "s2"}, {ID: "s3"}}}})
	for range 20 {
		now += time.Second
		if to := sendRequest(); len(to) != 1 || to[0] == "s1" {
			t.Fatalf("sent to %v", to)
		}
	}
	now += time.Second
	b.Step(now, []Event{Maintenance{Backend: "s1", Since: now}})
	if w := b.warmth(b.byID["s1"]); w != 0.31 {
		t.Errorf("warmth of %v after it was put back, want 0.31", w)
	}
	for i := range 5 {
		now += time.Second
		if to := sendRequest(); len(to) == 1 && to[0] == "s1" {
			return
		}
		if i == 4 {
			t.Error("backend is unused for 5 s")
		}
	}
}

// Without any backend in service a request is refused at once.
func TestAllBackendsUnderMaintenance(t *testing.T) {
	b := newTestBalancer(t, 1)
	b.Step(time.Hour, []Event{List{Kind: ListFull, Backends: []Backend{{ID: "s0"}}}, Maintenance{Backend: "s0", OutOfService: true}})
	actions := b.Step(time.Hour, []Event{Request{ID: "r", TimeLeft: 3 * time.Second}})
	if len(actions) == 0 {
		t.Fatal("no action")
	}
	if _, ok := actions[0].(Refuse); !ok {
		t.Errorf("action %T, want Refuse", actions[0])
	}
}
