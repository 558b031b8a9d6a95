package dataplane

import (
	"math/rand/v2"
	"testing"
	"time"

	"saltmast/internal/backends"
)

// TestUnresponsivePeersAreAvoided: who is said not to answer gets nothing while there is another, is tried where there is none, and is
// taken back when it answers or the roster says so.
func TestUnresponsivePeersAreAvoided(t *testing.T) {
	h := NewBalancer()
	h.Node, h.Rand = "self", rand.New(rand.NewPCG(1, 2))
	for _, n := range []string{"a", "b"} {
		h.UpdateBackends(0, []backends.Berth{{Node: n, Addr: n + ":1", Version: 1, Instance: n, Service: "s", Capacity: 4, State: backends.Serving}})
	}
	picks := func() map[string]int {
		n := map[string]int{}
		for range 100 {
			c := h.Pick(time.Second, "s", "")
			h.RecordOutcome(time.Second, c, &outcome{transportFailed: true, peerResponse: peerResponse{}})
			h.byNode[c.node].avoidUntil = 0
			n[c.node]++
		}
		return n
	}
	h.SetUnresponsive(map[string]bool{"a:1": true})
	if n := picks(); n["a"] != 0 {
		t.Errorf("one that is silent gets %d", n["a"])
	}
	if at := h.RandomPeers(0, 2); len(at) != 1 || at[0] != "b:1" {
		t.Errorf("relays by %v", at)
	}
	h.SetUnresponsive(map[string]bool{"a:1": true, "b:1": true})
	if n := picks(); n["a"] == 0 || n["b"] == 0 {
		t.Errorf("all are silent: %v", n)
	}
	h.RecordOutcome(time.Second, choice{node: "a"}, &outcome{})
	if n := picks(); n["b"] != 0 {
		t.Errorf("one has answered: %v", n)
	}
	h.SetUnresponsive(map[string]bool{"a:1": true})
	if n := picks(); n["a"] == 0 || n["b"] == 0 {
		t.Errorf("both are back: %v", n)
	}
	h.SetUnresponsive(map[string]bool{"b:1": true})
	h.UpdateBackends(0, []backends.Berth{{Node: "b", Addr: "b:1", Version: 2, Instance: "b2", Service: "s", State: backends.Serving}})
	if n := picks(); n["b"] != 0 {
		t.Errorf("another life of one that is silent: %v", n)
	}
	h.RemoveNodes([]string{"a"})
	if n := picks(); n["a"] != 0 || n["b"] == 0 {
		t.Errorf("one is gone: %v", n)
	}
}
