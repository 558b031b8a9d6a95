package dataplane

import (
	"testing"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/controlapi"
)

// A proxy that slept does not hold its backend, whose beats it has yet to read, for gone; one that is silent it does.
func TestBeatsAfterASleep(t *testing.T) {
	g := newGate(Options{Heartbeat: time.Second, Log: func(string, string) {}, AnswerBytes: 1 << 20}, nil)
	beat := controlapi.Heartbeat{ID: "a", Service: "pump", State: backends.Serving, Capacity: 2, Sequence: 7}
	g.Beat(beat)
	begun := time.Now()
	look := func(at time.Duration) backends.State { g.Watch(begun.Add(at)); return g.Berth().State }
	look(0)
	if s := look(20 * time.Second); s != backends.Serving {
		t.Error("gone after a sleep:", s)
	}
	at := 20 * time.Second
	for s := backends.Serving; s == backends.Serving; s = look(at) {
		if at += LookEvery; at > 25*time.Second {
			t.Fatal("a silent backend is not gone")
		}
	}
	beat.Sequence = 6
	if g.Beat(beat); g.Berth().State != backends.None {
		t.Error("a beat from before its last one counts")
	}
	beat.Sequence = 8
	if g.Beat(beat); g.Berth().State != backends.Serving {
		t.Error("it is not back")
	}
}
