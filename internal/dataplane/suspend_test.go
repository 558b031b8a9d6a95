package dataplane

import (
	"testing"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/controlapi"
)

// After a suspend, a proxy does not regard its backend as gone, as its heartbeats may be unread; a silent backend it
// does.
func TestHeartbeatCheckAfterSuspend(t *testing.T) {
	ib := newInbound(Options{Heartbeat: time.Second, Log: func(string, string) {}, ResponseBytes: 1 << 20}, nil)
	beat := controlapi.Heartbeat{ID: "a", Service: "pump", State: backends.Serving, Capacity: 2, Sequence: 7}
	ib.Heartbeat(beat)
	start := time.Now()
	stateAfter := func(at time.Duration) backends.State { ib.CheckHeartbeat(start.Add(at)); return ib.Backend().State }
	stateAfter(0)
	if s := stateAfter(20 * time.Second); s != backends.Serving {
		t.Error("gone after a suspend:", s)
	}
	at := 20 * time.Second
	for s := backends.Serving; s == backends.Serving; s = stateAfter(at) {
		if at += HeartbeatCheckInterval; at > 25*time.Second {
			t.Fatal("a silent backend is not marked as gone")
		}
	}
	beat.Sequence = 6
	if ib.Heartbeat(beat); ib.Backend().State != backends.None {
		t.Error("a heartbeat older than the last one has an effect")
	}
	beat.Sequence = 8
	if ib.Heartbeat(beat); ib.Backend().State != backends.Serving {
		t.Error("the backend is not back")
	}
}
