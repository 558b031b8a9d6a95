package peers

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"saltmast/internal/membership"
	"saltmast/internal/shared"
	"saltmast/internal/testsupport"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func options(name string, log *testsupport.Capture) Options {
	return Options{Name: name, Incarnation: uint64(len(name))<<32 + uint64(name[0]), Listen: "127.0.0.1:0", Join: func() []string { return nil }, Cluster: "test", Members: 8,
		BytesASec: 1 << 20, StateBytes: 1 << 16, Probe: 50 * time.Millisecond, Exchange: 100 * time.Millisecond, Rejoin: 50 * time.Millisecond,
		Terms: shared.Terms{Turn: time.Second, Window: 60, Windows: 3, Agents: 32}, Log: testsupport.LogTo(log)}
}

// start runs one until the test ends, or until what it returns is called.
func start(t testing.TB, o Options) (*Peers, func()) {
	t.Helper()
	p, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	p.Name(0, []string{"look", "hold"})
	ctx, cancel := context.WithCancel(context.Background())
	go p.Run(ctx)
	end := func() { cancel(); <-p.Done() }
	t.Cleanup(end)
	return p, end
}

func join(p *Peers) func() []string { return func() []string { return []string{p.Addr()} } }

func count(p *Peers, label string) (n uint64) {
	for _, w := range p.Shared().Windows {
		n += w.Counts[label].Requests
	}
	return n
}

func TestCountsReachAllAndARestartedOneIsAnother(t *testing.T) {
	log := &testsupport.Capture{}
	a, _ := start(t, options("a", log))
	ob := options("b", log)
	ob.Join, ob.Zone = join(a), "north"
	b, end := start(t, ob)
	for range 3 {
		a.Count(0, 0, shared.Requests)
	}
	b.Count(0, 0, shared.Requests)
	b.Count(0, 1, shared.Requests)
	b.Count(7, 0, shared.Requests) // of a generation that nobody named
	for _, p := range []*Peers{a, b} {
		testsupport.Until(t, "both to have both's counts", func() bool { return count(p, "look") == 4 && count(p, "hold") == 1 })
	}
	v := a.View()
	if v.Alive != 2 || len(v.Members) != 2 || v.Members[1].Zone != "north" || v.Members[1].Heard < 0 {
		t.Errorf("%+v", v)
	}
	end()
	testsupport.Until(t, "the farewell", func() bool { return a.View().Alive == 1 })
	ob.Incarnation++
	ob.Listen = b.Addr()
	b2, _ := start(t, ob)
	b2.Count(0, 0, shared.Requests)
	testsupport.Until(t, "the counts of both incarnations", func() bool { return count(a, "look") == 5 && count(b2, "look") == 5 })
	testsupport.Until(t, "the new incarnation", func() bool {
		return a.View().Alive == 2 && a.View().Members[1].Incarnation == fmt.Sprintf("%x", ob.Incarnation)
	})
}

func TestABusyOneGetsRightsOfAQuietOne(t *testing.T) {
	log := &testsupport.Capture{}
	budget := &shared.Budget{Name: "retries", Rate: 100_000, Agents: 2, Static: 0.2, Lease: 20 * time.Second, Burst: time.Second}
	oa, ob := options("a", log), options("b", log)
	oa.Retries, ob.Retries = budget, budget
	a, _ := start(t, oa)
	ob.Join = join(a)
	b, _ := start(t, ob)
	// As if both had run for long: nothing from before is out.
	for _, p := range []*Peers{a, b} {
		p.mu.Lock()
		p.rights = shared.NewHolder(p.self, *budget, p.now()-time.Hour)
		p.mu.Unlock()
	}
	testsupport.Until(t, "b to borrow", func() bool {
		b.Missed()
		b.Missed()
		return b.Shared().Retries.Held > 50_000
	})
	if held := a.Shared().Retries.Held + b.Shared().Retries.Held; held > 100_000 {
		t.Errorf("together they hold %d", held)
	}
	testsupport.Until(t, "something to spend", b.Spend)
	if b.Left() < 0 {
		t.Error("no budget is told")
	}
}

func TestWithoutABudgetNothingIsHeldBack(t *testing.T) {
	p, _ := start(t, options("a", &testsupport.Capture{}))
	p.Missed()
	if p.Left() != -1 || !p.Spend() || p.Shared().Retries != nil {
		t.Error("a budget")
	}
}

// What is not of this fleet is refused, and said once.
func TestStrangersAreRefused(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"another cluster": func(o *Options) { o.Cluster = "other" },
		"another key":     func(o *Options) { o.Key = []byte("0123456789abcdef") },
	} {
		t.Run(name, func(t *testing.T) {
			log := &testsupport.Capture{}
			oa := options("a", log)
			oa.Key = []byte("fedcba9876543210")
			a, _ := start(t, oa)
			ob := options("b", &testsupport.Capture{})
			ob.Key, ob.Join = oa.Key, join(a)
			change(&ob)
			b, _ := start(t, ob)
			b.Count(0, 0, shared.Requests)
			testsupport.Until(t, "a word of it", func() bool { return log.Has("level=WARN") })
			if a.View().Alive != 1 || b.View().Alive != 1 || count(a, "look") != 0 {
				t.Errorf("%+v", a.View())
			}
		})
	}
}

func TestANameTakenTwiceIsRefused(t *testing.T) {
	log := &testsupport.Capture{}
	a, _ := start(t, options("a", log))
	other := options("a", &testsupport.Capture{})
	other.Incarnation, other.Join = 99, join(a)
	start(t, other)
	testsupport.Until(t, "a word of it", func() bool { return log.Has("taken twice") })
	if v := a.View(); v.Alive != 1 || v.Members[0].Incarnation != v.Self.Incarnation || v.Refused == 0 {
		t.Errorf("%+v", v)
	}
}

func TestNonsenseIsRefusedAndSaidOnceAMinute(t *testing.T) {
	log := &testsupport.Capture{}
	p, _ := start(t, options("a", log))
	p.hear([]byte("garbage"))
	p.hear([]byte{shared.Version + 1, 'd', 0})
	p.hearState(make([]byte, 100*p.o.StateBytes))
	whole, _ := shared.AppendDelta(nil, shared.Delta{Records: []shared.Record{{Agent: shared.Agent{Name: "x"}, Counts: map[string]shared.Tally{"look": {1 << 63}}}}}, 1<<20)
	p.hear(whole)
	if v := p.View(); v.Refused != 4 || count(p, "look") != 0 {
		t.Errorf("%+v", v)
	}
	if n := strings.Count(log.String(), "refused"); n != 2 {
		t.Errorf("%d lines, want one of messages and one of states: %s", n, log.String())
	}
}

// A connection that brings more than any state is ended, and what it cost is the bound.
func TestAStreamIsBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			defer c.Close()
			_, err = (&bounded{Conn: c, left: 1000}).Read(make([]byte, 10))
			b := &bounded{Conn: c, left: 90}
			for n := 0; err == nil; {
				var k int
				k, err = b.Read(make([]byte, 64))
				if n += k; n > 90 {
					err = fmt.Errorf("%d bytes came", n)
				}
			}
		}
		ended <- err
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.Write(make([]byte, 200))
	if err := testsupport.Receive(t, ended); err != errTooMuch {
		t.Error(err)
	}
}

func TestAnAddressInUseIsWaitedFor(t *testing.T) {
	log := &testsupport.Capture{}
	before, end := start(t, options("a", log))
	o := options("a", log)
	o.Listen, o.Incarnation = before.Addr(), 5
	after, _ := start(t, o)
	after.Count(0, 0, shared.Requests)
	testsupport.Until(t, "a word of it", func() bool { return log.Has("can't listen yet") })
	if after.Addr() != "" {
		t.Error("both have one address")
	}
	end()
	testsupport.Until(t, "the address", func() bool { return after.Addr() == o.Listen && after.View().Alive == 1 })
}

// Others would refuse it: it goes on alone, and says why.
func TestANameThatIsTooLongTakesNoPart(t *testing.T) {
	log := &testsupport.Capture{}
	p, _ := start(t, options(strings.Repeat("n", membership.NameBytes+1), log))
	testsupport.Until(t, "a word of it", func() bool { return log.Has("a name of 65 bytes") })
	if p.Addr() != "" {
		t.Error("it listens")
	}
}

func TestABadAddressEndsTheStart(t *testing.T) {
	o := options("a", &testsupport.Capture{})
	for _, addr := range []string{"127.0.0.1", "here:1", "192.0.2.1:1"} {
		o.Listen = addr
		if _, err := New(o); err == nil || !strings.HasPrefix(err.Error(), "peers: ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", addr, err)
		}
	}
}

func TestOldGenerationsAreCountedUntilTheyAreForgotten(t *testing.T) {
	p := &Peers{}
	for g := range uint64(20) {
		p.Name(g, []string{fmt.Sprint("c", g%2)})
	}
	p.Count(19, 0, shared.Requests)
	p.Count(18, 0, shared.Requests)
	p.Count(11, 0, shared.Refusals)
	p.Count(2, 0, shared.Requests)  // long forgotten
	p.Count(19, 1, shared.Requests) // a class that it has not
	got := map[string]shared.Tally{}
	p.counters.drain(func(label string, t shared.Tally) { got[label] = t })
	if got["c0"] != (shared.Tally{1}) || got["c1"] != (shared.Tally{1, 0, 0, 1}) || len(got) != 2 {
		t.Errorf("%v", got)
	}
	p.counters.drain(func(label string, _ shared.Tally) { t.Errorf("%s is counted twice", label) })
}

// Addresses that nobody has are called again, and those that come to the list meanwhile too.
func TestDeadAddressesAreCalledUntilSomebodyIsThere(t *testing.T) {
	log := &testsupport.Capture{}
	a, _ := start(t, options("a", log))
	var there atomic.Bool
	o := options("b", log)
	o.Join = func() []string {
		if there.Load() {
			return []string{"127.0.0.1:1", a.Addr()}
		}
		return []string{"127.0.0.1:1", "127.0.0.1:2"}
	}
	b, _ := start(t, o)
	testsupport.Until(t, "a word of it", func() bool { return log.Has("nobody answers") })
	there.Store(true)
	testsupport.Until(t, "both to know each other", func() bool { return a.View().Alive == 2 && b.View().Alive == 2 })
}

// caller is somebody who sends what the test has it send.
type caller struct {
	net.Conn
	addr netip.AddrPort
}

func call(t *testing.T, p *Peers) caller {
	c, err := net.Dial("udp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return caller{c, c.LocalAddr().(*net.UDPAddr).AddrPort()}
}

// ping is a first datagram of a member, as it stands in an envelope.
func (c caller) ping(name, zone, to string) []byte {
	r := membership.New(membership.Options{Self: membership.Member{Name: name, Zone: zone, Life: 7, Addr: c.addr}, Rand: rand.New(rand.NewSource(1)),
		Seeds: []netip.AddrPort{netip.MustParseAddrPort(to)}}, 0)
	return datagram{from: c.addr, roster: r.Step(0)[0].Data}.append(nil)
}

// Members of another version, without a name, or beyond the bound are not taken.
func TestMembersThatAreNotTaken(t *testing.T) {
	log := &testsupport.Capture{}
	o := options("a", log)
	o.Members, o.Probe = 2, time.Hour // nobody is lost
	p, _ := start(t, o)
	c := call(t, p)
	e := p.quay.Load().envelope
	good := c.ping("bbbb", "north", p.Addr())
	change := func(old, new string) []byte { // texts have their length before them: 0x60 and so much, 0x78 and a byte
		raw := bytes.ReplaceAll(good, []byte(old), []byte(new))
		size := len(raw) - len(good)
		binary.BigEndian.PutUint16(raw[7:], binary.BigEndian.Uint16(raw[7:])+uint16(size)) // of the roster's part
		return e.seal(forDatagram, raw)
	}
	other := e.seal(forDatagram, good)
	other[1]++
	for name, raw := range map[string][]byte{
		"another version": other,
		"another purpose": e.seal(forAsk, good),
		"no address":      e.seal(forDatagram, append([]byte{0}, good[7:]...)),
		"a long zone":     change("\x65north", "\x78\x41"+strings.Repeat("z", 65)),
		"no name":         change("\x64bbbb", "\x60"),
		"a long name":     change("\x64bbbb", "\x78\x41"+strings.Repeat("n", 65)),
	} {
		was := p.View().Refused
		c.Write(raw)
		testsupport.Until(t, name+" to be refused", func() bool { return p.View().Refused == was+1 })
	}
	c.Write(change("\x64bbbb", "\x64cccc"))
	testsupport.Until(t, "one that is good", func() bool { return p.View().Alive == 2 })
	c.Write(e.seal(forDatagram, good))
	testsupport.Until(t, "one beyond the bound", func() bool { return p.quay.Load().roster.Counts().Membership.Full > 0 })
	testsupport.Until(t, "a word of it", func() bool { return log.Has("no more members") })
	if v := p.View(); len(v.Members) != 2 || v.Members[1].Name != "cccc" {
		t.Errorf("%+v", v)
	}
}

// What the line has no room for comes with whole states, from one to the next.
func TestWholeStatesAreExchanged(t *testing.T) {
	var all []*Peers
	for _, name := range []string{"a", "b", "c"} {
		o := options(name, &testsupport.Capture{})
		o.BytesASec, o.Key = 0, []byte("0123456789abcdef")
		if name != "b" {
			o.Exchange = time.Hour // it is asked, and answers
		}
		if len(all) > 0 {
			o.Join = join(all[0])
		}
		p, _ := start(t, o)
		all = append(all, p)
	}
	testsupport.Until(t, "all to know each other", func() bool { return all[0].View().Alive == 3 })
	for n := range uint64(3) { // the first may go with the states that are exchanged as they meet
		all[0].Count(0, 0, shared.Requests)
		testsupport.Until(t, "the counts", func() bool { return count(all[1], "look") == n+1 && count(all[2], "look") == n+1 })
	}
}

// Counts are told, and a farewell is, without a probe or an exchange.
func TestCountsAndFarewellsWaitForNoProbe(t *testing.T) {
	oa, ob := options("a", &testsupport.Capture{}), options("b", &testsupport.Capture{})
	oa.Probe, oa.Exchange = time.Hour, time.Hour
	ob.Probe, ob.Exchange = time.Hour, time.Hour
	a, _ := start(t, oa)
	ob.Join = join(a)
	b, end := start(t, ob)
	testsupport.Until(t, "both to know each other", func() bool { return a.View().Alive == 2 && b.View().Alive == 2 })
	for n := range uint64(3) { // the first may go with the state that is exchanged as they meet
		b.Count(0, 0, shared.Requests)
		testsupport.Until(t, "its counts", func() bool { return count(a, "look") == n+1 })
	}
	end()
	testsupport.Until(t, "its farewell", func() bool { return a.View().Alive == 1 })
}

// One that is told to stop leaves what it has counted with others, whatever its line allowed it to tell before.
func TestOneThatGoesHandsOnItsCounts(t *testing.T) {
	log := &testsupport.Capture{}
	a, _ := start(t, options("a", log))
	o := options("b", log)
	o.Join, o.Exchange, o.BytesASec = join(a), time.Hour, 0
	b, end := start(t, o)
	testsupport.Until(t, "both to know each other", func() bool { return a.View().Alive == 2 && b.View().Alive == 2 })
	for range 7 {
		b.Count(0, 0, shared.Requests)
	}
	end()
	testsupport.Until(t, "what it had counted", func() bool { return count(a, "look") == 7 })
}

// Connections that come while it shuts down hold nothing up, though nobody says anything by them.
func TestShutdownWaitsForNoConnection(t *testing.T) {
	o := options("a", &testsupport.Capture{})
	o.Probe = time.Hour // connections have their longest time
	p, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	for range mostStreams + 2 { // those that are served, one that is turned away, one in the listener's queue
		conn, err := net.Dial("tcp", p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	ended := make(chan time.Duration, 1)
	began := time.Now()
	go func() { p.Close(); ended <- time.Since(began) }()
	if took := testsupport.Receive(t, ended); took > streamFor/2 {
		t.Errorf("it took %v", took)
	}
}

// With a key nothing can be read, changed or made by others; without one, nothing that was sealed is taken.
func TestEnvelopes(t *testing.T) {
	for _, size := range []int{0, 16, 24, 32} {
		var key []byte
		if size > 0 {
			key = bytes.Repeat([]byte{7}, size)
		}
		e, err := newEnvelope("test", key)
		if err != nil {
			t.Fatal(err)
		}
		plain := []byte("counts of all")
		raw := e.seal(forAsk, plain)
		if size > 0 && (bytes.Contains(raw, plain) || bytes.Equal(raw[headBytes:], e.seal(forAsk, plain)[headBytes:])) {
			t.Errorf("key of %d bytes: it can be read, or told from another", size)
		}
		if purpose, got, err := e.open(raw); err != nil || purpose != forAsk || !bytes.Equal(got, plain) || len(raw) != len(plain)+e.overhead() {
			t.Errorf("key of %d bytes: %c %q %v", size, purpose, got, err)
		}
		for i := range raw {
			if i == 2 && size == 0 || i >= headBytes && size == 0 {
				continue // nothing says what it was
			}
			raw[i] ^= 1
			if _, _, err := e.open(raw); err == nil {
				t.Errorf("key of %d bytes: byte %d was changed", size, i)
			}
			raw[i] ^= 1
			if _, _, err := e.open(raw[:i]); err == nil {
				t.Errorf("key of %d bytes: %d bytes of it", size, i)
			}
		}
	}
	if _, err := newEnvelope("test", make([]byte, 15)); err == nil {
		t.Error("a key of 15 bytes")
	}
}
