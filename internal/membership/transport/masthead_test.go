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

// TestWatch: three core machines and four others. One of these freezes, one is heard, one leaves.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := network.New(1)
		var mu sync.Mutex
		var said []string
		log := func(event, text string) {
			mu.Lock()
			defer mu.Unlock()
			said = append(said, event+" "+text)
		}
		var machines []*network.Machine
		var heads []*Membership
		for i := range 7 {
			m := s.Machine("10.0.0."+strconv.Itoa(i+1), "east")
			p := m.Start()
			set := &settings.Settings{NodeName: "n" + strconv.Itoa(i), IP: m.IP, Zone: "east", Ports: [2]int{7000, 7010},
				Seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}}
			role, place, port := messages.RoleProxy, messages.ProxyGossipPort, messages.InboundPort
			if i < 3 {
				role, place, port = messages.RoleRegistry, messages.RegistryGossipPort, messages.RegistryPort
			}
			machines = append(machines, m)
			heads = append(heads, Start(set, role, place, port, uint64(i+1), p, log))
		}
		time.Sleep(5 * time.Second)
		tug := func(i int) string { return net.JoinHostPort(machines[i].IP, "7002") }
		first := heads[3]
		if n, m := len(first.Peers(messages.RoleProxy)), len(first.Peers(messages.RoleRegistry)); n != 3 || m != 3 || !first.IsLive(tug(4)) {
			t.Fatalf("%d and %d others are known", n, m)
		}
		if len(said) > 0 {
			t.Errorf("nothing happened, and it is said: %q", said)
		}

		machines[5].Freeze(true)
		// Each probes the six others in turn, so the first knows it within a turn and the time of a probe; the others soon after.
		hold := func() (n int) {
			for i, h := range heads {
				if silent := h.Unresponsive(messages.RoleProxy); i != 5 && len(silent) == 1 && silent[tug(5)] {
					n++
				} else if len(silent) > 0 {
					t.Errorf("%d: silent are %v", i, silent)
				}
			}
			return n
		}
		within := func(most time.Duration, n int) {
			began := time.Now()
			for hold() < n {
				if time.Since(began) > most {
					t.Fatalf("after %v %d hold the frozen one silent, %d wanted", most, hold(), n)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
		within(7*ProbePeriod, 1)
		within(ProbePeriod, 6)
		first.RecordContact(tug(5))
		if len(first.Unresponsive(messages.RoleProxy)) > 0 {
			t.Error("one that was heard just now is silent")
		}
		machines[5].Freeze(false)
		time.Sleep(3 * time.Second)
		for i, h := range heads {
			if silent := h.Unresponsive(messages.RoleProxy); i != 5 && len(silent) > 0 {
				t.Errorf("%d: silent are still %v", i, silent)
			}
		}

		before, after := map[string]int64{}, map[string]int64{}
		first.AddCounters(before)
		for range 200 {
			for i := range 7 {
				first.RecordContact(tug(i))
				first.RecordContact(net.JoinHostPort(machines[i].IP, "7000"))
			}
			time.Sleep(100 * time.Millisecond)
		}
		first.AddCounters(after)
		if n := after["roster_probes"] - before["roster_probes"]; n > 5 {
			t.Errorf("%d probes in 20 s in which traffic told all", n)
		}
		if n := after["roster_sent_bytes"] - before["roster_sent_bytes"]; n > 20*150 {
			t.Errorf("%d bytes in 20 s", n)
		}

		heads[6].Leave()
		heads[6].Close()
		time.Sleep(time.Second)
		if st := first.State(tug(6)); st != membership.Left {
			t.Errorf("one that left is held %v", st)
		}
		for _, h := range heads {
			h.Close()
		}
		for _, want := range []string{"suspect", "back", "left"} {
			if !slices.ContainsFunc(said, func(s string) bool { return strings.HasPrefix(s, "member n") && strings.HasSuffix(s, want) }) {
				t.Errorf("nobody says %s: %q", want, said)
			}
		}
		var none *Membership
		none.RecordContact("x")
		none.Close()
		if !none.IsAlone() || !none.IsLive("x") || none.State("x") != membership.Unknown || len(none.Unresponsive(messages.RoleProxy)) > 0 {
			t.Error("without a roster somebody is told apart")
		}
	})
}

// TestFullRosterTakesNobodyForGone: nine members, each with room for the names of five. Whom a member has no place for is not gone to it;
// one that it has and that freezes is.
func TestFullRosterTakesNobodyForGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members, names = 9, 5
		s := network.New(1)
		var machines []*network.Machine
		var heads []*Membership
		for i := range members {
			m := s.Machine("10.0.0."+strconv.Itoa(i+1), "east")
			set := &settings.Settings{NodeName: "n" + strconv.Itoa(i), IP: m.IP, Zone: "east", Ports: [2]int{7000, 7010}, Seeds: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"}}
			role, place, port := messages.RoleProxy, messages.ProxyGossipPort, messages.InboundPort
			if i < 3 {
				role, place, port = messages.RoleRegistry, messages.RegistryGossipPort, messages.RegistryPort
			}
			machines = append(machines, m)
			heads = append(heads, start(set, role, place, port, uint64(i+1), m.Start(), func(string, string) {}, names))
		}
		tug := func(i int) string { return net.JoinHostPort(machines[i].IP, "7002") }
		time.Sleep(10 * time.Second)
		unknown, known, frozen := 0, 0, 0
		for i, h := range heads {
			for j := 3; j < members; j++ {
				if i == j {
					continue
				}
				if !h.IsLive(tug(j)) {
					t.Errorf("%d takes %d for gone", i, j)
				}
				if h.State(tug(j)) == membership.Unknown {
					unknown++
				} else {
					known, frozen = known+1, j
				}
			}
		}
		if unknown == 0 || known == 0 {
			t.Fatalf("%d are unknown somewhere, %d known: the day shows nothing", unknown, known)
		}
		machines[frozen].Freeze(true)
		time.Sleep(20 * time.Second)
		gone := 0
		for i, h := range heads {
			switch st := h.State(tug(frozen)); {
			case i == frozen:
			case st == membership.Unknown && !h.IsLive(tug(frozen)):
				t.Errorf("%d has no place for it and takes it for gone", i)
			case st != membership.Unknown && h.IsLive(tug(frozen)):
				t.Errorf("%d holds the frozen one %v", i, st)
			case st != membership.Unknown:
				gone++
			}
		}
		if gone == 0 {
			t.Error("nobody knew the frozen one: the day shows nothing")
		}
		machines[frozen].Freeze(false)
		time.Sleep(time.Second)
		for _, h := range heads {
			h.Close()
		}
	})
}
