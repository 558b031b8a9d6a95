package saltmast

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Open requests keep the settings of their arrival over any reloads: the number of attempts, and whether and where they are
// repeated. The test counts attempts independently of the module.
func TestOpenRequestsKeepTheirSettings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := func(generation uint64) Settings {
			s := Settings{Generation: generation, Balancers: 1, MaxAttempts: rapid.IntRange(1, 4).Draw(t, "attempts"), ConnectTimeout: time.Second}
			for range rapid.IntRange(1, 3).Draw(t, "classes") {
				s.Classes = append(s.Classes, Class{Aim: 2 * time.Second, Deadline: 6 * time.Second, Worth: 1,
					Effect: Effect(rapid.IntRange(0, 2).Draw(t, "effect")), Group: GroupCell, Window: 3 * time.Second})
			}
			return s
		}
		all := []Settings{settings(0)}
		b, err := New(all[0], 1)
		if err != nil {
			t.Fatal(err)
		}
		type observedRequest struct {
			class        Class
			max          int
			sent         []string
			mayHaveRun   int
			firstBackend string
			firstSentAt  time.Duration
			ended        bool
		}
		cell := map[string]int{"s0": 0, "s1": 0, "s2": 1, "s3": 1}
		now := time.Hour
		requests := map[string]*observedRequest{}
		type openAttempt struct {
			id, to string
			no     int
		}
		var open []openAttempt
		timers := map[int64]time.Duration{}
		step := func(events ...Event) {
			for _, a := range b.Step(now, events) {
				switch a := a.(type) {
				case Send:
					r := requests[a.Request]
					if r.ended || len(r.sent) >= r.max {
						t.Fatalf("attempt %d of %s, which arrived when %d were allowed (ended: %v)", len(r.sent)+1, a.Request, r.max, r.ended)
					}
					if r.mayHaveRun > 0 && (r.class.Effect == Unsafe || r.class.Effect == Keyed && (cell[r.firstBackend] != cell[a.Backend] || now-r.firstSentAt >= r.class.Window)) {
						t.Fatalf("repeat of %s at %s that its class does not allow: %+v", a.Request, a.Backend, r)
					}
					if r.mayHaveRun == 0 {
						r.firstBackend, r.firstSentAt = a.Backend, now
					}
					r.mayHaveRun++
					open = append(open, openAttempt{a.Request, a.Backend, len(r.sent)})
					r.sent = append(r.sent, a.Backend)
				case Refuse:
					r := requests[a.Request]
					if r.mayHaveRun > 0 {
						t.Fatalf("%s was refused but may have run", a.Request)
					}
					r.ended = true
				case Fail:
					requests[a.Request].ended = true
				case SetTimer:
					timers[a.Token] = now + a.After
				}
			}
		}
		var list []Backend
		for _, id := range []string{"s0", "s1", "s2", "s3"} {
			list = append(list, Backend{ID: id, Cell: cell[id]})
		}
		step(List{Kind: ListFull, Backends: list})
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				n := settings(uint64(len(all)))
				var from []int
				for range n.Classes {
					from = append(from, rapid.IntRange(-1, len(all[len(all)-1].Classes)-1).Draw(t, "from"))
				}
				all = append(all, n)
				step(SettingsUpdate{Settings: n, PreviousClass: from})
			case 1, 2: // some arrive late, under earlier settings
				g := len(all) - 1 - rapid.IntRange(0, min(len(all)-1, keptVersions-1)).Draw(t, "back")
				class := rapid.IntRange(0, len(all[g].Classes)-1).Draw(t, "class")
				id := fmt.Sprint("r", i)
				requests[id] = &observedRequest{class: all[g].Classes[class], max: all[g].MaxAttempts}
				step(Request{ID: id, Class: class, Generation: uint64(g), TimeLeft: 6 * time.Second})
			case 3:
				if len(open) == 0 {
					continue
				}
				o := open[0]
				open = open[1:]
				res := Result(rapid.IntRange(0, int(NotSent)).Draw(t, "result"))
				r := requests[o.id]
				if res.NeverRan() {
					r.mayHaveRun--
				}
				r.ended = r.ended || res == OK
				step(Outcome{Request: o.id, Attempt: o.no, Backend: o.to, Latency: 50 * time.Millisecond, Result: res, Done: r.ended})
			case 4:
				for token, at := range timers {
					if at <= now {
						delete(timers, token)
						step(TimerFired{Token: token})
					}
				}
			}
		}
		if len(b.versions) > keptVersions+len(requests) {
			t.Fatalf("%d settings versions kept", len(b.versions))
		}
	})
}

// Old settings are removed once no request uses them, except for the last few, which requests may still arrive under. A
// request under removed settings is refused at once.
func TestOldSettingsAreRemoved(t *testing.T) {
	s := Settings{Balancers: 1, Classes: []Class{{Aim: time.Second, Deadline: time.Second}}}
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(time.Hour, []Event{List{Kind: ListFull, Backends: []Backend{{ID: "s0"}}}, Request{ID: "q", TimeLeft: time.Second}})
	for i := range 100 {
		s.Generation = uint64(i + 1)
		b.Step(time.Hour, []Event{SettingsUpdate{Settings: s, PreviousClass: []int{0}}})
	}
	if len(b.versions) != keptVersions+1 || b.versionOf(0) == nil {
		t.Errorf("%d settings versions kept, including that of the open request", len(b.versions))
	}
	b.Step(time.Hour, []Event{Outcome{Request: "q", Backend: "s0", Latency: time.Millisecond}})
	s.Generation++
	b.Step(time.Hour, []Event{SettingsUpdate{Settings: s, PreviousClass: []int{0}}})
	if len(b.versions) != keptVersions {
		t.Errorf("%d settings versions kept", len(b.versions))
	}
	actions := b.Step(time.Hour, []Event{Request{ID: "late", Generation: 1, TimeLeft: time.Second}})
	if len(actions) != 1 || actions[0] != (Refuse{Request: "late"}) {
		t.Errorf("request under removed settings: %v", actions)
	}
}

// A settings update keeps the state of backends and of the classes that continue. Invalid settings are ignored.
func TestSettingsUpdateKeepsState(t *testing.T) {
	c := Class{Aim: time.Second, Deadline: time.Second, Worth: 1}
	s := Settings{Balancers: 1, Classes: []Class{c, c}}
	b, err := New(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(time.Hour, []Event{List{Kind: ListFull, Backends: []Backend{{ID: "s0"}}}})
	b.byID["s0"].latencyRatio = 3
	b.classes[1].latency = 77
	n := s
	n.Generation = 1
	n.Classes = []Class{{Aim: 2 * time.Second, Deadline: 2 * time.Second, Effect: Unsafe}, c, c}
	b.Step(time.Hour, []Event{SettingsUpdate{Settings: n, PreviousClass: []int{1, 0, -1}}})
	if b.byID["s0"].latencyRatio != 3 || b.classes[0].latency != 77 || b.classes[0].Effect != Unsafe || b.classes[2].latency != float64(c.Aim)/4 {
		t.Errorf("state after the update: class 0 %+v, class 2 %+v", b.classes[0], b.classes[2])
	}
	bad := n
	bad.Generation, bad.Classes = 2, nil
	b.Step(time.Hour, []Event{SettingsUpdate{Settings: bad}})
	if b.cfg.Generation != 1 {
		t.Error("settings without classes were accepted")
	}
}

// A backend that is still receiving a body has no work yet: however long it takes, it counts as neither silent, slow nor
// busy. The times of the request start with the last byte, and it is sent once.
func TestPendingBody(t *testing.T) {
	newBalancer := func() *Balancer {
		b, err := New(Settings{Balancers: 1, MaxAttempts: 3, SecondCopies: true, ConnectTimeout: 250 * time.Millisecond,
			Classes: []Class{{Aim: time.Second, Deadline: 3 * time.Second, Worth: 1}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Step(time.Hour, []Event{List{Kind: ListFull, Backends: []Backend{{ID: "s0"}}}})
		return b
	}
	now := time.Hour
	b := newBalancer()
	if to := sentBackends(b.Step(now, []Event{Request{ID: "big", TimeLeft: 2 * time.Second, BodyPending: true}})); len(to) != 1 {
		t.Fatalf("sent to %v", to)
	}
	now += time.Minute
	b.Step(now, nil)
	s0 := b.byID["s0"]
	if b.isSilent(s0) || b.slowness(s0) != 1 || b.load(s0) != 0 || b.inFlight-b.stuck != 0 {
		t.Errorf("silent %v, slowness %v, load %v, %d count as in flight", b.isSilent(s0), b.slowness(s0), b.load(s0), b.inFlight-b.stuck)
	}
	if to := sentBackends(b.Step(now, []Event{Request{ID: "small", TimeLeft: time.Second}})); len(to) != 1 {
		t.Errorf("second request sent to %v", to)
	}
	b.Step(now, []Event{BodySent{Request: "big"}})
	if r := b.requests["big"]; r.deadline != now+2*time.Second || r.aim != now+time.Second || b.load(s0) != 2 {
		t.Errorf("deadline %v, aim %v after the last byte; load %v", r.deadline-now, r.aim-now, b.load(s0))
	}

	for _, tt := range []struct {
		result Result
		spent  bool
		want   string // "": tried again
	}{
		{ConnectFailed, true, "refused"}, {Reset, true, "failed"}, {Full, true, "refused"}, {NotSent, true, "refused"},
		{ConnectFailed, false, ""}, {Reset, false, ""},
	} {
		b := newBalancer()
		b.Step(now, []Event{Request{ID: "big", TimeLeft: 2 * time.Second, BodyPending: true}})
		got := ""
		for _, a := range b.Step(now+time.Second/2, []Event{Outcome{Request: "big", Backend: "s0", Result: tt.result, BodyConsumed: tt.spent}}) {
			switch a.(type) {
			case Refuse:
				got = "refused"
			case Fail:
				got = "failed"
			}
		}
		if got != tt.want {
			t.Errorf("result %d, body consumed %v: %q, want %q", tt.result, tt.spent, got, tt.want)
		}
		if tokens := b.bucket.Tokens(); tt.spent && tokens != retryBucketCapacity {
			t.Errorf("result %d: a token was spent for a retry that can't be sent", tt.result)
		}
	}
}
