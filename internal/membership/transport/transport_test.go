package transport

import (
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/membership"
	"saltmast/internal/messages"
	"saltmast/internal/settings"
	"saltmast/internal/simulation/network"
)

// TestMembersTrackFreezeContactAndLeave runs three registries and four proxies. One proxy freezes, is then reported by direct
// contact and resumes; another one leaves.
func TestMembersTrackFreezeContactAndLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := network.New(1)
		var mu sync.Mutex
		var logged []string
		log := func(event, text string) {
			mu.Lock()
			defer mu.Unlock()
			logged = append(logged, event+" "+text)
		}
		var machines []*network.Machine
		var members []*Membership
		for i := range 7 {
			m := s.Machine("10.0.0."+strconv.Itoa(i+1), "east")
			p := m.Start()
			config := &settings.Settings{NodeName: "n" + strconv.Itoa(i), IP: m.IP, Zone: "east", Ports: [2]int{7000, 7010},
				Seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}}
			role, place, port := messages.RoleProxy, messages.ProxyGossipPort, messages.InboundPort
			if i < 3 {
				role, place, port = messages.RoleRegistry, messages.RegistryGossipPort, messages.RegistryPort
			}
			machines = append(machines, m)
			members = append(members, Start(config, role, place, port, uint64(i+1), p, log))
		}
		time.Sleep(5 * time.Second)
		proxyAddr := func(i int) string { return net.JoinHostPort(machines[i].IP, "7002") }
		first := members[3]
		if n, m := len(first.Peers(messages.RoleProxy)), len(first.Peers(messages.RoleRegistry)); n != 3 || m != 3 || !first.IsLive(proxyAddr(4)) {
			t.Fatalf("%d proxies and %d registries are known", n, m)
		}
		if len(logged) > 0 {
			t.Errorf("logged without an event: %q", logged)
		}

		machines[5].Freeze(true)
		// Each member probes the six others in turn, so the first one detects the freeze within a turn and the time of a probe, the others
		// soon after.
		countUnresponsive := func() (n int) {
			for i, h := range members {
				if unresponsive := h.Unresponsive(messages.RoleProxy); i != 5 && len(unresponsive) == 1 && unresponsive[proxyAddr(5)] {
					n++
				} else if len(unresponsive) > 0 {
					t.Errorf("%d: unresponsive: %v", i, unresponsive)
				}
			}
			return n
		}
		waitFor := func(maxWait time.Duration, n int) {
			started := time.Now()
			for countUnresponsive() < n {
				if time.Since(started) > maxWait {
					t.Fatalf("after %v %d members see the frozen one as unresponsive, want %d", maxWait, countUnresponsive(), n)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
		waitFor(7*ProbePeriod, 1)
		waitFor(ProbePeriod, 6)
		first.RecordContact(proxyAddr(5))
		if len(first.Unresponsive(messages.RoleProxy)) > 0 {
			t.Error("a peer in recent contact is unresponsive")
		}
		machines[5].Freeze(false)
		time.Sleep(3 * time.Second)
		for i, h := range members {
			if unresponsive := h.Unresponsive(messages.RoleProxy); i != 5 && len(unresponsive) > 0 {
				t.Errorf("%d: still unresponsive: %v", i, unresponsive)
			}
		}

		before, after := map[string]int64{}, map[string]int64{}
		first.AddCounters(before)
		for range 200 {
			for i := range 7 {
				first.RecordContact(proxyAddr(i))
				first.RecordContact(net.JoinHostPort(machines[i].IP, "7000"))
			}
			time.Sleep(100 * time.Millisecond)
		}
		first.AddCounters(after)
		if n := after["roster_probes"] - before["roster_probes"]; n > 5 {
			t.Errorf("%d probes in 20 s of traffic with all members", n)
		}
		if n := after["roster_sent_bytes"] - before["roster_sent_bytes"]; n > 20*150 {
			t.Errorf("%d bytes in 20 s", n)
		}

		members[6].Leave()
		members[6].Close()
		time.Sleep(time.Second)
		if state := first.State(proxyAddr(6)); state != membership.Left {
			t.Errorf("a member that left is %v", state)
		}
		for _, h := range members {
			h.Close()
		}
		for _, want := range []string{"suspect", "back", "left"} {
			if !slices.ContainsFunc(logged, func(s string) bool { return strings.HasPrefix(s, "member n") && strings.HasSuffix(s, want) }) {
				t.Errorf("no member logs %s: %q", want, logged)
			}
		}
		var none *Membership
		none.RecordContact("x")
		none.Close()
		if !none.IsAlone() || !none.IsLive("x") || none.State("x") != membership.Unknown || len(none.Unresponsive(messages.RoleProxy)) > 0 {
			t.Error("a nil Membership distinguishes peers")
		}
	})
}

// TestFullMemberListKeepsUnlistedLive runs nine members that list at most five each. A peer that a member doesn't list counts as live
// there; a listed one that freezes doesn't.
func TestFullMemberListKeepsUnlistedLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members, maxNames = 9, 5
		s := network.New(1)
		var machines []*network.Machine
		var views []*Membership
		for i := range members {
			m := s.Machine("10.0.0."+strconv.Itoa(i+1), "east")
			config := &settings.Settings{NodeName: "n" + strconv.Itoa(i), IP: m.IP, Zone: "east", Ports: [2]int{7000, 7010}, Seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}}
			role, place, port := messages.RoleProxy, messages.ProxyGossipPort, messages.InboundPort
			if i < 3 {
				role, place, port = messages.RoleRegistry, messages.RegistryGossipPort, messages.RegistryPort
			}
			machines = append(machines, m)
			views = append(views, start(config, role, place, port, uint64(i+1), m.Start(), func(string, string) {}, maxNames))
		}
		proxyAddr := func(i int) string { return net.JoinHostPort(machines[i].IP, "7002") }
		time.Sleep(10 * time.Second)
		unknown, known, frozen := 0, 0, 0
		for i, h := range views {
			for j := 3; j < members; j++ {
				if i == j {
					continue
				}
				if !h.IsLive(proxyAddr(j)) {
					t.Errorf("%d sees %d as gone", i, j)
				}
				if h.State(proxyAddr(j)) == membership.Unknown {
					unknown++
				} else {
					known, frozen = known+1, j
				}
			}
		}
		if unknown == 0 || known == 0 {
			t.Fatalf("%d are unknown somewhere, %d known: the test checks nothing", unknown, known)
		}
		machines[frozen].Freeze(true)
		time.Sleep(20 * time.Second)
		gone := 0
		for i, h := range views {
			switch state := h.State(proxyAddr(frozen)); {
			case i == frozen:
			case state == membership.Unknown && !h.IsLive(proxyAddr(frozen)):
				t.Errorf("%d does not list the frozen one and sees it as gone", i)
			case state != membership.Unknown && h.IsLive(proxyAddr(frozen)):
				t.Errorf("%d sees the frozen one as %v", i, state)
			case state != membership.Unknown:
				gone++
			}
		}
		if gone == 0 {
			t.Error("no member listed the frozen one: the test checks nothing")
		}
		machines[frozen].Freeze(false)
		time.Sleep(time.Second)
		for _, h := range views {
			h.Close()
		}
	})
}
