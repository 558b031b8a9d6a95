package dataplane

import (
	"math/rand/v2"
	"testing"
	"time"

	"saltmast/internal/backends"
)

// TestUnresponsivePeersAreAvoided: a proxy reported as unresponsive gets no requests while there is another, is tried
// if there is none, and is used again when it answers or is no longer reported.
func TestUnresponsivePeersAreAvoided(t *testing.T) {
	b := NewBalancer()
	b.Node, b.Rand = "self", rand.New(rand.NewPCG(1, 2))
	for _, n := range []string{"a", "b"} {
		b.UpdateBackends(0, []backends.Backend{{Node: n, Addr: n + ":1", Version: 1, Instance: n, Service: "s", Capacity: 4, State: backends.Serving}})
	}
	picks := func() map[string]int {
		n := map[string]int{}
		for range 100 {
			c := b.Pick(time.Second, "s", "")
			b.RecordOutcome(time.Second, c, &outcome{transportFailed: true, peerResponse: peerResponse{}})
			b.byNode[c.node].avoidUntil = 0
			n[c.node]++
		}
		return n
	}
	b.SetUnresponsive(map[string]bool{"a:1": true})
	if n := picks(); n["a"] != 0 {
		t.Errorf("an unresponsive proxy was picked %d times", n["a"])
	}
	if addrs := b.RandomPeers(0, 2); len(addrs) != 1 || addrs[0] != "b:1" {
		t.Errorf("random peers: %v", addrs)
	}
	b.SetUnresponsive(map[string]bool{"a:1": true, "b:1": true})
	if n := picks(); n["a"] == 0 || n["b"] == 0 {
		t.Errorf("all unresponsive: %v", n)
	}
	b.RecordOutcome(time.Second, choice{node: "a"}, &outcome{})
	if n := picks(); n["b"] != 0 {
		t.Errorf("after one has answered: %v", n)
	}
	b.SetUnresponsive(map[string]bool{"a:1": true})
	if n := picks(); n["a"] == 0 || n["b"] == 0 {
		t.Errorf("after both are back: %v", n)
	}
	b.SetUnresponsive(map[string]bool{"b:1": true})
	b.UpdateBackends(0, []backends.Backend{{Node: "b", Addr: "b:1", Version: 2, Instance: "b2", Service: "s", State: backends.Serving}})
	if n := picks(); n["b"] != 0 {
		t.Errorf("after a new instance behind an unresponsive proxy: %v", n)
	}
	b.RemoveNodes([]string{"a"})
	if n := picks(); n["a"] != 0 || n["b"] == 0 {
		t.Errorf("after one was removed: %v", n)
	}
}
