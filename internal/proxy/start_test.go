package proxy

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/configuration"
	"saltmast/internal/dataplane"
	"saltmast/internal/messages"
	"saltmast/internal/rpc"
	"saltmast/internal/settings"
	"saltmast/internal/simulation/network"
)

// routeSet returns a configuration of n routes, all of one change.
func routeSet(n int) configuration.Set {
	b := configuration.Ballot{N: 1, Proposer: 1}
	items := []configuration.Item{{Key: configuration.Key{Kind: configuration.Services, Name: "cranes"}, Version: 1, Ballot: b, Spec: []byte(`{}`)}}
	for i := range n {
		items = append(items, configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: fmt.Sprintf("berth-%05d", i)}, Version: 1, Ballot: b,
			Spec: fmt.Appendf(nil, `{"host":"quay-%d.example","path-prefix":"/b%d/","route-kind":"idempotent","deadline-s":0.8,"target-s":0.3,"priority":2,"split":[{"service":"cranes","weight":90},{"service":"cranes","weight":10}],"max-attempts":2}`, i/100, i)})
	}
	return configuration.SetOf(items...)
}

// stubRegistry is a registry that only answers pulls.
type stubRegistry struct {
	incarnation uint64
	freshMs     uint32
	items       configuration.Set
	mu          sync.Mutex // guards chosen, table and the state of onPart once it serves
	chosen      configuration.Ballot
	table       *backends.Table
	onPart      func(part int64, n *messages.PullReply) // called before an answer is sent
	partCount   atomic.Int64                            // answers with items or entries
	largest     atomic.Int64
	breakAt     int64 // onBreak is called in place of sending this part; 0: never
	onBreak     func()
}

func (s *stubRegistry) serve(t *testing.T, p *network.Process, addr string) {
	l, err := rpc.Listen(p, addr)
	if err != nil {
		t.Fatal(err)
	}
	rpc.Serve(l, func(c rpc.Call) {
		var call messages.PullCall
		if c.Kind != messages.Pull || rpc.Decode(c.Body, &call) != nil {
			return
		}
		n := messages.PullReply{Incarnation: s.incarnation, FreshMs: s.freshMs}
		s.mu.Lock()
		if s.table == nil {
			s.table = backends.New()
		}
		n.Fill(call, s.table, s.chosen, s.items, configuration.Ballot{})
		s.mu.Unlock()
		if len(n.Items)+len(n.Backends) == 0 {
			time.Sleep(time.Duration(call.HoldMs) * time.Millisecond)
		} else if s.partCount.Add(1) == s.breakAt {
			go s.onBreak()
			return
		}
		if s.onPart != nil {
			s.mu.Lock()
			s.onPart(s.partCount.Load(), &n)
			s.mu.Unlock()
		}
		s.largest.Store(max(s.largest.Load(), int64(len(rpc.Encode(n)))))
		c.Reply(n, nil)
	})
}

func (s *stubRegistry) choose(b configuration.Ballot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chosen = b
}

// startProxy starts a proxy with the given seeds on a new machine.
func startProxy(t *testing.T, s *network.Sea, ip, zone string, seeds ...string) (*Proxy, *network.Machine, *network.Process) {
	m := s.Machine(ip, zone)
	p := m.Start()
	proxy, err := Start(&settings.Settings{NodeName: ip, IP: ip, Zone: zone, Ports: [2]int{7380, 7395}, Heartbeat: time.Second, Bounds: settings.DefaultBounds(),
		MemoryMB: 100, Seeds: seeds, Listen: map[string]string{"control-plane": ip + ":9100", "outbound": ip + ":9101", "readiness": ip + ":9102"}}, func(string, string) {}, p)
	if err != nil {
		t.Fatal(err)
	}
	return proxy, m, p
}

// waitUntil waits until cond returns true, for at most limit, and returns how long that took.
func waitUntil(limit time.Duration, cond func() bool) time.Duration {
	start := time.Now()
	for !cond() && time.Since(start) < limit {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(start)
}

// A proxy receives 10,000 routes in parts, also if the first source ends in the middle, and if it reaches nothing but another proxy.
func TestStartByParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routes = 10000
		s := network.New(1)
		set := routeSet(routes)
		var ends []func()
		registries := []*stubRegistry{{incarnation: 11, breakAt: 3}, {incarnation: 12}}
		var machines []*network.Machine
		for i, r := range registries {
			m := s.Machine(fmt.Sprintf("10.1.0.%d", 2+i), "zone-1")
			p := m.Start()
			r.items, r.chosen = set, configuration.Ballot{N: 1, Proposer: 1}
			r.onBreak = p.End
			r.serve(t, p, net.JoinHostPort(m.IP, fmt.Sprint(7380+messages.RegistryPort)))
			machines = append(machines, m)
			ends = append(ends, p.End)
		}
		first, _, p1 := startProxy(t, s, "10.1.0.10", "zone-1", "10.1.0.2:80", "10.1.0.3:80")
		waitUntil(20*time.Second, func() bool { return first.ready() == nil })
		if err := first.ready(); err != nil || first.items.Len() != routes+1 || len(first.items.RoutingTable().Routes()) != routes {
			t.Fatalf("%v: %d items", err, first.items.Len())
		}
		for i, r := range registries {
			if r.largest.Load() > messages.MaxPartBytes*5/4 {
				t.Errorf("registry %d: a message of %d bytes", i, r.largest.Load())
			}
		}
		if registries[1].partCount.Load() < 8 {
			t.Errorf("the other source sent %d parts", registries[1].partCount.Load())
		}
		// The second proxy reaches only the first one.
		second, m2, p2 := startProxy(t, s, "10.1.0.11", "zone-1", "10.1.0.2:80", "10.1.0.3:80")
		for _, m := range machines {
			s.Cut(m2, m)
		}
		second.dataPlane.UpdateBackends([]backends.Backend{first.dataPlane.Inbound.Backend()})
		waitUntil(20*time.Second, func() bool { return second.proxyPulls.Load() >= 12 })
		time.Sleep(time.Second)
		if second.items.Len() != routes+1 || !second.dataPlane.Configured() {
			t.Errorf("from another proxy: %d items in %d answers", second.items.Len(), second.proxyPulls.Load())
		}
		if r := second.items.RoutingTable().Route("quay-77.example", "/b7777/x"); r == nil || r.Name != "berth-07777" {
			t.Errorf("a route of a late part leads to %v", r)
		}
		p1.End()
		p2.End()
		first.Kill()
		second.Kill()
		for _, end := range ends {
			end()
		}
		time.Sleep(10 * time.Second)
	})
}

// A proxy isn't ready before it has received the last part of the table, at whichever part its source ends and while entries change. It
// uses the entries received so far, and can itself serve all of them.
func TestTableByParts(t *testing.T) {
	const backendCount = 40
	release := strings.Repeat("x", messages.MaxPartBytes/5)
	for breakAt := int64(1); breakAt <= backendCount/4+1; breakAt++ {
		synctest.Test(t, func(t *testing.T) {
			s := network.New(1)
			var machines []*network.Machine
			var ends []func()
			var first atomic.Pointer[Proxy]
			var answers sync.Mutex     // guards the answers of both registries, whole and partial
			whole, partial := false, 3 // whether the whole table was sent; how many last parts are still marked partial
			for i := range 2 {
				m := s.Machine(fmt.Sprintf("10.1.0.%d", 2+i), "zone-1")
				p := m.Start()
				r := &stubRegistry{incarnation: uint64(11 + i), items: routeSet(1), chosen: configuration.Ballot{N: 1, Proposer: 1}, table: backends.New(), onBreak: p.End}
				for n := range backendCount {
					r.table.Merge(backends.Backend{Node: fmt.Sprintf("n-%02d", n), Addr: "10.2.0.1:7", Zone: "zone-1", Version: 1, Release: release})
				}
				if i == 0 {
					r.breakAt = breakAt
				}
				r.onPart = func(part int64, n *messages.PullReply) {
					answers.Lock()
					defer answers.Unlock()
					if part <= breakAt { // another entry changes meanwhile
						r.table.Merge(backends.Backend{Node: fmt.Sprintf("n-%02d", part), Addr: "10.2.0.1:7", Zone: "zone-1", Version: 2, State: backends.Draining})
					}
					if proxy := first.Load(); proxy != nil && proxy.ready() == nil && !whole {
						t.Errorf("ready with part %d", part)
					}
					if !n.MoreBackends && partial > 0 { // as a registry that has just started itself
						partial--
						n.Partial = true
					}
					whole = whole || !n.MoreBackends && !n.Partial
				}
				r.serve(t, p, net.JoinHostPort(m.IP, fmt.Sprint(7380+messages.RegistryPort)))
				machines, ends = append(machines, m), append(ends, p.End)
			}
			countBackends := func(proxy *Proxy) (n int) {
				proxy.mu.Lock()
				defer proxy.mu.Unlock()
				for _, b := range proxy.table.All() {
					if strings.HasPrefix(b.Node, "n-") {
						n++
					}
				}
				return n
			}
			proxy1, _, p1 := startProxy(t, s, "10.1.0.10", "zone-1", "10.1.0.2:80", "10.1.0.3:80")
			first.Store(proxy1)
			waitUntil(20*time.Second, func() bool { return proxy1.ready() == nil })
			if n := countBackends(proxy1); proxy1.ready() != nil || n != backendCount {
				t.Errorf("the source ends at part %d: %v, %d backends", breakAt, proxy1.ready(), n)
			}
			proxy2, m2, p2 := startProxy(t, s, "10.1.0.11", "zone-1", "10.1.0.2:80", "10.1.0.3:80") // reaches only the first one
			for _, c := range machines {
				s.Cut(m2, c)
			}
			proxy2.dataPlane.UpdateBackends([]backends.Backend{proxy1.dataPlane.Inbound.Backend()})
			for start := time.Now(); countBackends(proxy2) < backendCount && time.Since(start) < 20*time.Second; {
				time.Sleep(50 * time.Millisecond)
			}
			answered := proxy2.proxyPulls.Load()
			if n := countBackends(proxy2); n != backendCount || answered < 8 {
				t.Errorf("from another proxy: %d backends in %d answers", n, answered)
			}
			proxy2.mu.Lock()
			progress := proxy2.sources[proxy1.dataPlane.Inbound.Backend().Addr]
			proxy2.mu.Unlock()
			if progress.incarnation != proxy1.incarnation || progress.revision < backendCount {
				t.Errorf("progress of the other proxy: %+v", progress)
			}
			p1.End()
			p2.End()
			proxy1.Kill()
			proxy2.Kill()
			for _, end := range ends {
				end()
			}
			time.Sleep(10 * time.Second)
		})
	}
}

// BenchmarkTable measures the start of a proxy at 14,000 backends: their entries are encoded in parts, decoded, merged and passed to the
// balancer.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{1000, 14000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := backends.New()
			for i := range n {
				table.Merge(backends.Backend{Node: fmt.Sprintf("side-%05d", i), Addr: fmt.Sprintf("10.%d.%d.%d:7382", i>>12, i>>6&63, i&63), Zone: fmt.Sprintf("zone-%d", i%32), Version: 7,
					Incarnation: 1<<60 + uint64(i), Instance: fmt.Sprintf("i-%d-0a1b2c", i), Service: fmt.Sprintf("service-%d", i/14), Release: "v1", Capacity: 8, State: backends.Serving})
			}
			b.ReportAllocs()
			var bytes, largest, parts int
			var kept []any // state of the last iteration
			var before, after runtime.MemStats
			for b.Loop() {
				kept = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				to, balancer := newProxyState(), dataplane.NewBalancer()
				bytes, largest, parts = 0, 0, 0
				for to.news.moreEntries = true; to.news.moreEntries; parts++ {
					call := messages.PullCall{}
					to.news.continueCall(&call)
					sent := messages.PullReply{Incarnation: 1}
					sent.Fill(call, table, configuration.Ballot{}, configuration.Set{}, configuration.Ballot{})
					raw := rpc.Encode(sent)
					bytes, largest = bytes+len(raw), max(largest, len(raw))
					var news messages.PullReply
					if err := rpc.Decode(raw, &news); err != nil {
						b.Fatal(err)
					}
					to.news.add(&news)
					for _, backend := range news.Backends {
						to.table.Merge(backend)
					}
					balancer.UpdateBackends(0, news.Backends)
				}
				if to.table.Len() != n || largest > messages.MaxPartBytes {
					b.Fatal(to.table.Len(), largest)
				}
				kept = append(kept, to, balancer)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(kept)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "kept-MB")
			b.ReportMetric(float64(parts), "parts")
			b.ReportMetric(float64(bytes), "wire-B")
		})
	}
}

// BenchmarkNews measures a change of one route among many, from a registry's configuration to a proxy's routing table, and the transfer
// of all routes to a proxy that starts.
func BenchmarkNews(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		set := routeSet(n).WithRoutingTable()
		first, _ := set.Get(configuration.Key{Name: "berth-00000"})
		transfer := func(b *testing.B, to *proxyState, ballot configuration.Ballot) (bytes int) {
			for to.chosen.Less(ballot) {
				var call messages.PullCall
				if err := rpc.Decode(rpc.Encode(messages.PullCall{Incarnation: to.news.incarnation, Have: to.chosen, Cursor: to.news.cursor}), &call); err != nil {
					b.Fatal(err)
				}
				sent := messages.PullReply{Incarnation: 1}
				sent.Fill(call, backends.New(), ballot, set, configuration.Ballot{})
				raw := rpc.Encode(sent)
				bytes += len(raw)
				var news messages.PullReply
				if err := rpc.Decode(raw, &news); err != nil {
					b.Fatal(err)
				}
				if to.news.add(&news); to.chosen.Less(news.Chosen) {
					to.chosen = news.Chosen
					to.items, to.prunedBallot = applyItems(to.items, to.prunedBallot, news)
				}
			}
			return bytes
		}
		newState := func() *proxyState { return &proxyState{items: configuration.Set{}.WithRoutingTable()} }
		b.Run(fmt.Sprint("change-", n), func(b *testing.B) {
			to, bytes, ballot := newState(), 0, configuration.Ballot{N: 1, Proposer: 1}
			transfer(b, to, ballot)
			b.ReportAllocs()
			for b.Loop() {
				ballot.N++
				item := first
				item.Version, item.Ballot = configuration.Version(ballot.N), ballot
				set = set.With(item)
				if bytes += transfer(b, to, ballot); set.Check() != nil || to.items.RoutingTable().Route("quay-0.example", "/b0/") == nil {
					b.Fatal("the change is not in force")
				}
			}
			b.ReportMetric(float64(bytes)/float64(ballot.N-1), "wire-B/op")
		})
		b.Run(fmt.Sprint("start-", n), func(b *testing.B) {
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				to := newState()
				if bytes = transfer(b, to, configuration.Ballot{N: 1 << 40, Proposer: 1}); to.items.Len() != n+1 {
					b.Fatal("items are missing")
				}
			}
			b.ReportMetric(float64(bytes), "wire-B/op")
		})
	}
}

// Of two registries, the one of this zone loses contact with the majority, still answers, and has nothing new. A change that the other one
// sends is in force long before its deadline, and the proxy does not return to the registry it left while another has contact.
func TestRegistryWithoutContactIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := network.New(1)
		var cut atomic.Pointer[time.Time]
		var late atomic.Int64 // pulls from the near registry more than 3 s after the cut
		near, far := &stubRegistry{incarnation: 11, items: routeSet(1), chosen: configuration.Ballot{N: 1, Proposer: 1}}, &stubRegistry{incarnation: 12, items: routeSet(1), chosen: configuration.Ballot{N: 1, Proposer: 1}}
		near.onPart = func(_ int64, n *messages.PullReply) {
			if n.FreshMs = 400; cut.Load() != nil {
				sinceCut := time.Since(*cut.Load())
				n.FreshMs += uint32(sinceCut.Milliseconds())
				if sinceCut > 3*time.Second {
					late.Add(1)
				}
			}
		}
		var ends []func()
		for i, r := range []*stubRegistry{near, far} {
			ip := fmt.Sprintf("10.1.0.%d", 2+i)
			p := s.Machine(ip, fmt.Sprint("zone-", 1+i)).Start()
			r.serve(t, p, net.JoinHostPort(ip, fmt.Sprint(7380+messages.RegistryPort)))
			ends = append(ends, p.End)
		}
		proxy, _, p := startProxy(t, s, "10.1.0.10", "zone-1", "10.1.0.2:80", "10.1.0.3:80")
		proxy.mu.Lock()
		proxy.registries = []messages.Registry{{Name: "near", Addr: "10.1.0.2:7380", Zone: "zone-1"}, {Name: "far", Addr: "10.1.0.3:7380", Zone: "zone-2"}}
		proxy.mu.Unlock()
		time.Sleep(12 * time.Second)
		if from := proxy.lastPull.Load(); from == nil || from.addr != "10.1.0.2:7380" {
			t.Fatalf("the proxy pulls from %+v", from)
		}
		now := time.Now()
		cut.Store(&now)
		far.choose(configuration.Ballot{N: 2, Proposer: 1})
		took := waitUntil(20*time.Second, func() bool { proxy.mu.Lock(); defer proxy.mu.Unlock(); return proxy.chosen.N == 2 })
		if took > 1500*time.Millisecond {
			t.Errorf("a change was in force after %v", took)
		}
		time.Sleep(20 * time.Second)
		if n := late.Load(); n > 5 { // one attempt every 5 s
			t.Errorf("the registry that is cut off was asked %d times in 20 s", n)
		}
		p.End()
		proxy.Kill()
		for _, end := range ends {
			end()
		}
		time.Sleep(10 * time.Second)
	})
}

// A restarted proxy that reaches none of its seeds and knows no other proxy gets everything from a proxy that calls its gate.
func TestPullFromCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := network.New(1)
		r := &stubRegistry{incarnation: 11, items: routeSet(1), chosen: configuration.Ballot{N: 1, Proposer: 1}}
		machine := s.Machine("10.1.0.2", "zone-1")
		registry := machine.Start()
		r.serve(t, registry, net.JoinHostPort(machine.IP, fmt.Sprint(7380+messages.RegistryPort)))
		first, _, p1 := startProxy(t, s, "10.1.0.10", "zone-1", "10.1.0.2:80")
		waitUntil(5*time.Second, func() bool { return first.ready() == nil })
		second, m2, p2 := startProxy(t, s, "10.1.0.11", "zone-1", "10.1.0.2:80")
		s.Cut(m2, machine)
		if took := waitUntil(3*time.Second, func() bool { return second.ready() == nil }); second.ready() == nil {
			t.Fatalf("ready after %v without any source", took)
		}
		c, err := p1.Dial(t.Context(), "10.1.0.11:7382", time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if took := waitUntil(10*time.Second, func() bool { return second.ready() == nil }); took > time.Second {
			t.Errorf("ready after %v: %v", took, second.ready())
		}
		c.Close()
		p1.End()
		p2.End()
		first.Kill()
		second.Kill()
		registry.End()
		time.Sleep(10 * time.Second)
	})
}
