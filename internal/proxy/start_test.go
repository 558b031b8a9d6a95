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

// many is a configuration of n routes, all of one change.
func many(n int) configuration.Set {
	b := configuration.Ballot{N: 1, Proposer: 1}
	items := []configuration.Item{{Key: configuration.Key{Kind: configuration.Services, Name: "cranes"}, Version: 1, Ballot: b, Spec: []byte(`{}`)}}
	for i := range n {
		items = append(items, configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: fmt.Sprintf("berth-%05d", i)}, Version: 1, Ballot: b,
			Spec: fmt.Appendf(nil, `{"host":"quay-%d.example","path-prefix":"/b%d/","route-kind":"idempotent","deadline-s":0.8,"target-s":0.3,"priority":2,"split":[{"service":"cranes","weight":90},{"service":"cranes","weight":10}],"max-attempts":2}`, i/100, i)})
	}
	return configuration.SetOf(items...)
}

// teller is a harbourmaster that only tells: what is in force, and nothing else.
type teller struct {
	life    uint64
	freshMs uint32
	stands  configuration.Set
	mu      sync.Mutex // once it serves: of chosen, table and what it counts
	chosen  configuration.Ballot
	table   *backends.Table
	onPart  func(part int64, n *messages.News) // before it is told
	parts   atomic.Int64                       // messages with items or entries
	largest atomic.Int64
	breakAt int64 // it ends with this part untold; 0: never
	onBreak func()
}

func (s *teller) serve(t *testing.T, on *network.Process, addr string) {
	l, err := rpc.Listen(on, addr)
	if err != nil {
		t.Fatal(err)
	}
	rpc.Serve(l, func(c rpc.Call) {
		var m messages.PullCall
		if c.Kind != messages.Pull || rpc.Decode(c.Body, &m) != nil {
			return
		}
		n := messages.News{Life: s.life, FreshMs: s.freshMs}
		s.mu.Lock()
		if s.table == nil {
			s.table = backends.New()
		}
		n.Tell(m, s.table, s.chosen, s.stands, configuration.Ballot{})
		s.mu.Unlock()
		if len(n.Items)+len(n.Berths) == 0 {
			time.Sleep(time.Duration(m.HoldMs) * time.Millisecond)
		} else if s.parts.Add(1) == s.breakAt {
			go s.onBreak()
			return
		}
		if s.onPart != nil {
			s.mu.Lock()
			s.onPart(s.parts.Load(), &n)
			s.mu.Unlock()
		}
		s.largest.Store(max(s.largest.Load(), int64(len(rpc.Encode(n)))))
		c.Reply(n, nil)
	})
}

func (s *teller) choose(b configuration.Ballot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chosen = b
}

// side starts a proxy with seeds, in a zone.
func side(t *testing.T, s *network.Sea, ip, zone string, seeds ...string) (*Tug, *network.Machine, *network.Process) {
	m := s.Machine(ip, zone)
	p := m.Start()
	g, err := Start(&settings.Settings{NodeName: ip, IP: ip, Zone: zone, Ports: [2]int{7380, 7395}, Heartbeat: time.Second, Bounds: settings.DefaultBounds(),
		MemoryMB: 100, Seeds: seeds, Listen: map[string]string{"control-plane": ip + ":9100", "outbound": ip + ":9101", "readiness": ip + ":9102"}}, func(string, string) {}, p)
	if err != nil {
		t.Fatal(err)
	}
	return g, m, p
}

// within waits until something is so, and gives how long that took; most at the longest.
func within(most time.Duration, so func() bool) time.Duration {
	began := time.Now()
	for !so() && time.Since(began) < most {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(began)
}

// A proxy at 10,000 routes begins by parts, also where the first source ends amid them, and where all that it reaches is
// another proxy.
func TestStartByParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const routes = 10000
		s := network.New(1)
		set := many(routes)
		var ends []func()
		tellers := []*teller{{life: 11, breakAt: 3}, {life: 12}}
		var cores []*network.Machine
		for i, h := range tellers {
			m := s.Machine(fmt.Sprintf("10.1.0.%d", 2+i), "zone-1")
			p := m.Start()
			h.stands, h.chosen = set, configuration.Ballot{N: 1, Proposer: 1}
			h.onBreak = p.End
			h.serve(t, p, net.JoinHostPort(m.IP, fmt.Sprint(7380+messages.HarbourPort)))
			cores = append(cores, m)
			ends = append(ends, p.End)
		}
		first, _, p1 := side(t, s, "10.1.0.10", "zone-1", "10.1.0.2:80", "10.1.0.3:80")
		within(20*time.Second, func() bool { return first.ready() == nil })
		if err := first.ready(); err != nil || first.stands.Len() != routes+1 || len(first.stands.RoutingTable().Routes()) != routes {
			t.Fatalf("%v: %d items", err, first.stands.Len())
		}
		for i, h := range tellers {
			if h.largest.Load() > messages.PartBytes*5/4 {
				t.Errorf("teller %d: a message of %d bytes", i, h.largest.Load())
			}
		}
		if tellers[1].parts.Load() < 8 {
			t.Errorf("begun with the other source in %d parts", tellers[1].parts.Load())
		}
		// The next one reaches the first alone.
		second, m2, p2 := side(t, s, "10.1.0.11", "zone-1", "10.1.0.2:80", "10.1.0.3:80")
		for _, c := range cores {
			s.Cut(m2, c)
		}
		second.way.Learn([]backends.Berth{first.way.Gate.Berth()})
		within(20*time.Second, func() bool { return second.byOther.Load() >= 12 })
		time.Sleep(time.Second)
		if second.stands.Len() != routes+1 || !second.way.Configured() {
			t.Errorf("by another proxy: %d items in %d answers", second.stands.Len(), second.byOther.Load())
		}
		if r := second.stands.RoutingTable().Route("quay-77.example", "/b7777/x"); r == nil || r.Name != "berth-07777" {
			t.Errorf("a route that was told late leads to %v", r)
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

// A proxy isn't ready before the last part of the table, wherever its source ends and while entries change; it uses what it was
// told, and is itself a source of all of it.
func TestTableByParts(t *testing.T) {
	const backendCount = 40
	release := strings.Repeat("x", messages.PartBytes/5)
	for breakAt := int64(1); breakAt <= backendCount/4+1; breakAt++ {
		synctest.Test(t, func(t *testing.T) {
			s := network.New(1)
			var cores []*network.Machine
			var ends []func()
			var first atomic.Pointer[Tug]
			var told sync.Mutex        // of both tellers' answers, and of
			whole, partial := false, 3 // answers
			for i := range 2 {
				m := s.Machine(fmt.Sprintf("10.1.0.%d", 2+i), "zone-1")
				p := m.Start()
				h := &teller{life: uint64(11 + i), stands: many(1), chosen: configuration.Ballot{N: 1, Proposer: 1}, table: backends.New(), onBreak: p.End}
				for n := range backendCount {
					h.table.Join(backends.Berth{Node: fmt.Sprintf("n-%02d", n), Addr: "10.2.0.1:7", Zone: "zone-1", Version: 1, Release: release})
				}
				if i == 0 {
					h.breakAt = breakAt
				}
				h.onPart = func(part int64, n *messages.News) {
					told.Lock()
					defer told.Unlock()
					if part <= breakAt { // and another one changes meanwhile
						h.table.Join(backends.Berth{Node: fmt.Sprintf("n-%02d", part), Addr: "10.2.0.1:7", Zone: "zone-1", Version: 2, State: backends.Draining})
					}
					if g := first.Load(); g != nil && g.ready() == nil && !whole {
						t.Errorf("ready with part %d", part)
					}
					if !n.More && partial > 0 { // it has begun a moment ago itself
						partial--
						n.Partial = true
					}
					whole = whole || !n.More && !n.Partial
				}
				h.serve(t, p, net.JoinHostPort(m.IP, fmt.Sprint(7380+messages.HarbourPort)))
				cores, ends = append(cores, m), append(ends, p.End)
			}
			knows := func(g *Tug) (n int) {
				g.mu.Lock()
				defer g.mu.Unlock()
				for _, b := range g.table.All() {
					if strings.HasPrefix(b.Node, "n-") {
						n++
					}
				}
				return n
			}
			g1, _, p1 := side(t, s, "10.1.0.10", "zone-1", "10.1.0.2:80", "10.1.0.3:80")
			first.Store(g1)
			within(20*time.Second, func() bool { return g1.ready() == nil })
			if n := knows(g1); g1.ready() != nil || n != backendCount {
				t.Errorf("the source ends with part %d: %v, %d backends", breakAt, g1.ready(), n)
			}
			g2, m2, p2 := side(t, s, "10.1.0.11", "zone-1", "10.1.0.2:80", "10.1.0.3:80") // reaches the first alone
			for _, c := range cores {
				s.Cut(m2, c)
			}
			g2.way.Learn([]backends.Berth{g1.way.Gate.Berth()})
			for began := time.Now(); knows(g2) < backendCount && time.Since(began) < 20*time.Second; {
				time.Sleep(50 * time.Millisecond)
			}
			asked := g2.byOther.Load()
			if n := knows(g2); n != backendCount || asked < 8 {
				t.Errorf("by another proxy: %d backends in %d answers", n, asked)
			}
			g2.mu.Lock()
			at := g2.sources[g1.way.Gate.Berth().Addr]
			g2.mu.Unlock()
			if at.life != g1.life || at.at < backendCount {
				t.Errorf("the other has told up to %+v", at)
			}
			p1.End()
			p2.End()
			g1.Kill()
			g2.Kill()
			for _, end := range ends {
				end()
			}
			time.Sleep(10 * time.Second)
		})
	}
}

// A proxy that begins at 14,000 backends: their entries in parts, encoded, read, joined and taken by what chooses backends.
func BenchmarkTable(b *testing.B) {
	for _, n := range []int{1000, 14000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			table := backends.New()
			for i := range n {
				table.Join(backends.Berth{Node: fmt.Sprintf("side-%05d", i), Addr: fmt.Sprintf("10.%d.%d.%d:7382", i>>12, i>>6&63, i&63), Zone: fmt.Sprintf("zone-%d", i%32), Version: 7,
					Life: 1<<60 + uint64(i), Instance: fmt.Sprintf("i-%d-0a1b2c", i), Service: fmt.Sprintf("service-%d", i/14), Release: "v1", Capacity: 8, State: backends.Serving})
			}
			b.ReportAllocs()
			var bytes, most, parts int
			var kept []any // of the last one
			var before, after runtime.MemStats
			for b.Loop() {
				kept = nil
				runtime.GC()
				runtime.ReadMemStats(&before)
				to, balancer := begun(), dataplane.NewBalancer()
				bytes, most, parts = 0, 0, 0
				for to.got.more = true; to.got.more; parts++ {
					m := messages.PullCall{}
					to.got.goOn(&m)
					told := messages.News{Life: 1}
					told.Tell(m, table, configuration.Ballot{}, configuration.Set{}, configuration.Ballot{})
					raw := rpc.Encode(told)
					bytes, most = bytes+len(raw), max(most, len(raw))
					var news messages.News
					if err := rpc.Decode(raw, &news); err != nil {
						b.Fatal(err)
					}
					to.got.add(&news)
					for _, x := range news.Berths {
						to.table.Join(x)
					}
					balancer.Learn(0, news.Berths)
				}
				if to.table.Len() != n || most > messages.PartBytes {
					b.Fatal(to.table.Len(), most)
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

// A change of one route among many, from a harbourmaster's set to a proxy's chart; and all of them, for a proxy that begins.
func BenchmarkNews(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		set := many(n).WithRoutingTable()
		first, _ := set.Get(configuration.Key{Name: "berth-00000"})
		tell := func(b *testing.B, to *proxied, at configuration.Ballot) (bytes int) {
			for to.have.Less(at) {
				var m messages.PullCall
				if err := rpc.Decode(rpc.Encode(messages.PullCall{Life: to.got.life, Have: to.have, Cursor: to.got.cursor}), &m); err != nil {
					b.Fatal(err)
				}
				told := messages.News{Life: 1}
				told.Tell(m, backends.New(), at, set, configuration.Ballot{})
				raw := rpc.Encode(told)
				bytes += len(raw)
				var news messages.News
				if err := rpc.Decode(raw, &news); err != nil {
					b.Fatal(err)
				}
				if to.got.add(&news); to.have.Less(news.Chosen) {
					to.have = news.Chosen
					to.stands, to.bare = inForce(to.stands, to.bare, news)
				}
			}
			return bytes
		}
		begin := func() *proxied { return &proxied{stands: configuration.Set{}.WithRoutingTable()} }
		b.Run(fmt.Sprint("change-", n), func(b *testing.B) {
			to, bytes, at := begin(), 0, configuration.Ballot{N: 1, Proposer: 1}
			tell(b, to, at)
			b.ReportAllocs()
			for b.Loop() {
				at.N++
				i := first
				i.Version, i.Ballot = configuration.Version(at.N), at
				set = set.With(i)
				if bytes += tell(b, to, at); set.Check() != nil || to.stands.RoutingTable().Route("quay-0.example", "/b0/") == nil {
					b.Fatal("wrong")
				}
			}
			b.ReportMetric(float64(bytes)/float64(at.N-1), "wire-B/op")
		})
		b.Run(fmt.Sprint("start-", n), func(b *testing.B) {
			bytes := 0
			b.ReportAllocs()
			for b.Loop() {
				to := begin()
				if bytes = tell(b, to, configuration.Ballot{N: 1 << 40, Proposer: 1}); to.stands.Len() != n+1 {
					b.Fatal("not all")
				}
			}
			b.ReportMetric(float64(bytes), "wire-B/op")
		})
	}
}

// Of two harbourmasters the one of this zone is cut off from the core, answers on, and tells nothing new. What the other one tells is
// in force here long before a change has to be, and nobody goes back to the one that was left while another hears a majority.
func TestHarbourmasterOutOfContactIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := network.New(1)
		var cut atomic.Pointer[time.Time]
		var late atomic.Int64 // pulls of the near one, begun 3 s after the cut and later
		near, far := &teller{life: 11, stands: many(1), chosen: configuration.Ballot{N: 1, Proposer: 1}}, &teller{life: 12, stands: many(1), chosen: configuration.Ballot{N: 1, Proposer: 1}}
		near.onPart = func(_ int64, n *messages.News) {
			if n.FreshMs = 400; cut.Load() != nil {
				out := time.Since(*cut.Load())
				n.FreshMs += uint32(out.Milliseconds())
				if out > 3*time.Second {
					late.Add(1)
				}
			}
		}
		var ends []func()
		for i, h := range []*teller{near, far} {
			ip := fmt.Sprintf("10.1.0.%d", 2+i)
			p := s.Machine(ip, fmt.Sprint("zone-", 1+i)).Start()
			h.serve(t, p, net.JoinHostPort(ip, fmt.Sprint(7380+messages.HarbourPort)))
			ends = append(ends, p.End)
		}
		g, _, p := side(t, s, "10.1.0.10", "zone-1", "10.1.0.2:80", "10.1.0.3:80")
		g.mu.Lock()
		g.masters = []messages.Master{{Name: "near", Addr: "10.1.0.2:7380", Zone: "zone-1"}, {Name: "far", Addr: "10.1.0.3:7380", Zone: "zone-2"}}
		g.mu.Unlock()
		time.Sleep(12 * time.Second)
		if from := g.from.Load(); from == nil || from.addr != "10.1.0.2:7380" {
			t.Fatalf("it pulls from %+v", from)
		}
		now := time.Now()
		cut.Store(&now)
		far.choose(configuration.Ballot{N: 2, Proposer: 1})
		took := within(20*time.Second, func() bool { g.mu.Lock(); defer g.mu.Unlock(); return g.chosen.N == 2 })
		if took > 1500*time.Millisecond {
			t.Errorf("a change was in force after %v", took)
		}
		time.Sleep(20 * time.Second)
		if n := late.Load(); n > 5 { // a look each 5 s
			t.Errorf("the one that is cut off was asked %d times in 20 s", n)
		}
		p.End()
		g.Kill()
		for _, end := range ends {
			end()
		}
		time.Sleep(10 * time.Second)
	})
}

// A proxy that begins anew, of whose seeds none can be reached and whom nobody told of another, learns all by whoever calls its gate.
func TestProxyIsToldByItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := network.New(1)
		h := &teller{life: 11, stands: many(1), chosen: configuration.Ballot{N: 1, Proposer: 1}}
		core := s.Machine("10.1.0.2", "zone-1")
		pc := core.Start()
		h.serve(t, pc, net.JoinHostPort(core.IP, fmt.Sprint(7380+messages.HarbourPort)))
		first, _, p1 := side(t, s, "10.1.0.10", "zone-1", "10.1.0.2:80")
		within(5*time.Second, func() bool { return first.ready() == nil })
		second, m2, p2 := side(t, s, "10.1.0.11", "zone-1", "10.1.0.2:80")
		s.Cut(m2, core)
		if took := within(3*time.Second, func() bool { return second.ready() == nil }); second.ready() == nil {
			t.Fatalf("ready after %v, by nobody", took)
		}
		c, err := p1.Dial(t.Context(), "10.1.0.11:7382", time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if took := within(10*time.Second, func() bool { return second.ready() == nil }); took > time.Second {
			t.Errorf("ready after %v: %v", took, second.ready())
		}
		c.Close()
		p1.End()
		p2.End()
		first.Kill()
		second.Kill()
		pc.End()
		time.Sleep(10 * time.Second)
	})
}
