package dataplane

import (
	"testing"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/controlapi"
)

// A proxy that slept does not hold its backend, whose beats it has yet to read, for gone; one that is silent it does.
func TestHeartbeatCheckAfterSuspend(t *testing.T) {
	g := newInbound(Options{Heartbeat: time.Second, Log: func(string, string) {}, ResponseBytes: 1 << 20}, nil)
	beat := controlapi.Beat{ID: "a", Service: "pump", State: backends.Serving, Capacity: 2, Count: 7}
	g.Heartbeat(beat)
	begun := time.Now()
	look := func(at time.Duration) backends.State { g.CheckHeartbeat(begun.Add(at)); return g.Backend().State }
	look(0)
	if s := look(20 * time.Second); s != backends.Serving {
		t.Error("gone after a sleep:", s)
	}
	at := 20 * time.Second
	for s := backends.Serving; s == backends.Serving; s = look(at) {
		if at += HeartbeatCheckInterval; at > 25*time.Second {
			t.Fatal("a silent backend is not gone")
		}
	}
	beat.Count = 6
	if g.Heartbeat(beat); g.Backend().State != backends.None {
		t.Error("a beat from before its last one counts")
	}
	beat.Count = 8
	if g.Heartbeat(beat); g.Backend().State != backends.Serving {
		t.Error("it is not back")
	}
}
