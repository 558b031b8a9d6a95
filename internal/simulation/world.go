// Package simulation plays days of the mesh in virtual time: its real rooms in one process on a network in memory, with seeded
// troubles, stand-ins for backends, clients and the operator, and a surveyor who judges what these saw. Start reading at Play.
package simulation

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"saltmast/internal/messages"
	"saltmast/internal/proxy"
	"saltmast/internal/registry"
	"saltmast/internal/settings"
	"saltmast/internal/simulation/checker"
	"saltmast/internal/simulation/network"
	"saltmast/internal/sock"
	"saltmast/internal/store"
)

// The places of every machine.
const (
	portReady   = "8141"
	portControl = "8144"
	portApp     = "8145"
	portOut     = "8147"
	firstFree   = 7380
	lastFree    = 7395
)

// World is one day's machines.
type World struct {
	seed   uint64
	dir    string
	sea    *network.Sea
	begun  time.Time
	log    *checker.Log
	again  time.Duration // within which keys come again
	keys   float64
	work   float64
	large  float64
	tail   float64 // part of the runs that take longRun more
	rude   float64
	inner  float64 // part of the runs that make a call
	flaw   Flaw
	fault  Faults
	lost   time.Duration // of Day
	length time.Duration // of Day

	manners manners // of clients, now

	size Size
	core []*coreMachine
	tugs []*tugMachine
	late []*tugMachine // that came in the day
	came int           // core machines that came in the day as successors

	sealMu sync.Mutex
	seals  int

	stepMu  sync.Mutex
	steps   []Step
	failed  []checker.Broken // what should never be, of the world itself
	without []string         // the keys of steps that are left out
	shut    []bool           // by route: no client asks for it

	seedMu sync.Mutex // of what settings files name
	noteMu sync.Mutex
	notes  []string

	taken atomic.Int64 // when a client's work with a key was acknowledged last

	ending chan struct{}
	people sync.WaitGroup // clients, operator, platform
}

// Faults are what backends do wrong, as parts of their requests.
type Faults struct {
	Lose, Cut, Late, Full, Fail float64

	Copies float64 // of those declined and failed: a copy of the answer comes in the next one's place, of some declined without its id
}

// Flaw makes a world break a rule, to see whether the surveyor notices.
type Flaw struct {
	Settings func(s *settings.Settings)                         // other than the rules say
	Between  func(m *tugMachine, r *request, a *answer) *answer // what a client gets instead
	Beat     func(m *tugMachine, state string) bool             // a beat is acknowledged and not passed on
	Twice    func(m *tugMachine, r *request) bool               // a backend runs it a second time
	Told     func(m *tugMachine) string                         // the service that its backend tells of itself
	Ordered  func(c *checker.Copy) int                          // what an operator hears instead
	Stay     bool                                               // proxies that lost power do not come back
	Abrupt   bool                                               // planned stops are none: the process is killed
	Wipes    int                                                // so many core machines lose their disks where one may
	Forgets  bool                                               // an order that was taken is refused when it comes again
	Hasty    bool                                               // a voter that is replaced goes with its disk before its successor has the books
	Early    time.Duration                                      // disks answer so long before they have kept what they were given
	Order    func(c *coreMachine, status int) int               // what an operator gets instead
	News     func(c *coreMachine, n *messages.PullReply)        // what a harbourmaster tells those who pull
	Blind    func(addr string) bool                             // proxies don't notice that who connected there has left
	Deaf     bool                                               // harbourmasters don't notice that their callers have gone
}

// coreMachine keeps what must last.
type coreMachine struct {
	w    *World
	n    int
	m    *network.Machine
	name string
	dir  string
	boot bool
	p, h *network.Process
	pr   store.Running
	hr   registry.Running
	runs bool         // the purser
	ill  atomic.Int32 // its disk: well, slow, hangs, refuses
	lag  *rand.Rand   // of its disk
	lagM sync.Mutex
	gone chan struct{} // closed once the last life's disk is let go
	kept []copied      // of its disk, for Flaw.Early
	seed []string      // in its settings file; nil: all of the core
	set  *settings.Settings
	amid atomic.Pointer[amid]
	away atomic.Bool // it reaches no majority of the core
}

// amid is what comes about at one of the next syncs of a disk.
type amid struct {
	left  atomic.Int32 // until then
	after bool         // once it is synced, with its answers on their way
	do    func()
}

// tugMachine has a backend, a proxy and clients.
type tugMachine struct {
	w       *World
	n       int
	m       *network.Machine
	name    string
	service string
	ill     atomic.Pointer[ailment]
	gone    bool // its backend did, for good: of storms
	proc    *network.Process
	tug     *proxy.Proxy

	mu      sync.Mutex
	people  *network.Process // clients and platform: they end with the machine's power alone
	backend *backend
	lives   int
	seed    []string // in its settings file; nil: all of the core
	set     *settings.Settings
	in      bool // the platform lets clients come
	closed  bool // it leaves
	reaches bool // its next life, whatever its seeds: machines that hear a majority of the core
}

// crowd is the process of the clients.
func (m *tugMachine) crowd() *network.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.people
}

// newWorld lays out its core machines and those with backends, in 3 zones.
func newWorld(seed uint64, dir string, size Size) *World {
	size = size.full()
	w := &World{seed: seed, dir: dir, size: size, sea: network.New(seed), begun: time.Now(), ending: make(chan struct{})}
	w.log = &checker.Log{Backed: map[string]string{}, Bounds: checker.Bounds{Contact: 3 * time.Second, Apply: 2500 * time.Millisecond,
		Rollback: 250 * time.Millisecond, Drain: 2500 * time.Millisecond, Grace: 6 * time.Second, LossSlack: 200 * time.Millisecond,
		Window: 10 * time.Second, Dedup: time.Minute, Recovery: 4 * time.Second, Ratio: 0.2, Allowance: 60}}
	zones := []string{"east", "west", "south"}
	w.log.Core = size.Voters
	for i := range size.Core {
		c := &coreMachine{w: w, n: i, name: fmt.Sprintf("core-%d", i+1), boot: true, dir: filepath.Join(dir, fmt.Sprintf("core-%d", i+1))}
		at := i % 3
		if size.Together {
			at = max(0, i-2) % 3
		}
		c.m = w.sea.Machine(fmt.Sprintf("10.%d.0.%d", i%3+1, 2+i/3), zones[at])
		c.gone = make(chan struct{})
		close(c.gone)
		c.lag = w.rand("disk " + c.name)
		w.core = append(w.core, c)
	}
	services := []string{"pump", "ledger"}
	for i := range size.Sides {
		m := &tugMachine{w: w, n: i, name: fmt.Sprintf("side-%d", i+1), service: services[i%2]}
		at := i / 2 // two in each of two zones
		if size.Sides > 4 {
			at = i % 3
		}
		m.m = w.sea.Machine(fmt.Sprintf("10.%d.0.%d", at+1, 10+i), zones[at])
		w.log.Backed[m.name] = m.service
		w.tugs = append(w.tugs, m)
	}
	return w
}

func (w *World) now() time.Duration { return time.Since(w.begun) }

// rand draws for one part of the day, so that no part's draws depend on another's course.
func (w *World) rand(part string) *rand.Rand {
	return rand.New(rand.NewPCG(w.seed, sum64([]byte(part))))
}

func sum64(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

func sum(b []byte) string { return fmt.Sprintf("%d-%016x", len(b), sum64(b)) }

// note keeps a line of what the rooms log.
func (w *World) note(who string) func(event, text string) {
	return func(event, text string) {
		w.noteMu.Lock()
		defer w.noteMu.Unlock()
		w.notes = append(w.notes, fmt.Sprintf("%8.3f %s %s: %s", w.now().Seconds(), who, event, text))
	}
}

func (w *World) settings(name, ip, zone string, boot bool) *settings.Settings {
	s := &settings.Settings{NodeName: name, IP: ip, Zone: zone, Ports: [2]int{firstFree, lastFree}, Bootstrap: boot,
		Listen: map[string]string{}, Heartbeat: 1300 * time.Millisecond, Bounds: settings.DefaultBounds(), MemoryMB: 200, Descriptors: 4000}
	s.VoterReplaceAfter = w.lost
	for _, c := range w.core[:min(3, len(w.core))] { // as three are in a file; the roll grows by itself
		s.Seeds = append(s.Seeds, net.JoinHostPort(c.m.IP, portControl))
	}
	if s.Tolerance.Machines = w.size.bears(); w.size.Together {
		s.Tolerance = settings.Tolerance{Zones: 1}
	}
	return s
}

func (w *World) spoil(s *settings.Settings) {
	if w.flaw.Settings != nil {
		w.flaw.Settings(s)
	}
}

// ---- Core ----

// start starts what does not run.
func (c *coreMachine) start() error {
	<-c.gone
	s := c.w.settings(c.name, c.m.IP, c.m.Zone, c.boot)
	c.boot = false
	s.DataDir, s.DiskMB, s.QuorumMember = c.dir, 64, true
	s.Listen["control-plane"] = net.JoinHostPort(c.m.IP, portControl)
	c.w.seedMu.Lock()
	if c.seed != nil {
		s.Seeds = c.seed
	}
	c.w.seedMu.Unlock()
	c.w.spoil(s)
	c.set = s
	var err error
	if !c.runs {
		c.p, c.runs = c.m.Start(), true
		if c.pr, err = store.Launch(s, c.w.note(c.name+" purser"), c.p, c.disk(c.p)); err != nil {
			return err
		}
	}
	if c.h == nil {
		c.h = c.m.Start()
		c.hr, err = registry.Launch(s, c.w.note(c.name+" harbour"), c.spoilt(c.h))
	}
	return err
}

// What ails a disk.
const (
	diskWell = iota
	diskSlow
	diskHangs
	diskRefuses
)

// disk takes a disk's time for each commit of one process. What was not synced when that ended is lost.
func (c *coreMachine) disk(of *network.Process) func() error {
	return func() error {
		c.keep()
		if a := c.amid.Load(); a != nil && a.left.Add(-1) == 0 {
			if a.after {
				defer time.AfterFunc(time.Microsecond, a.do)
			} else {
				time.Sleep(100 * time.Microsecond) // whoever starts the machine has done so
				a.do()
			}
		}
		c.lagM.Lock()
		d := 300*time.Microsecond + time.Duration(c.lag.ExpFloat64()*float64(time.Millisecond))
		c.lagM.Unlock()
		time.Sleep(d)
		for (c.ill.Load() == diskHangs || c.m.Frozen()) && !of.Ended() {
			time.Sleep(5 * time.Millisecond)
		}
		switch {
		case of.Ended():
			return net.ErrClosed
		case c.ill.Load() == diskRefuses:
			return syscall.EIO
		case c.ill.Load() == diskSlow:
			time.Sleep(60 * time.Millisecond)
		}
		return nil
	}
}

// kill ends its processes at once; the disk stays.
func (c *coreMachine) kill() {
	c.killPurser()
	c.killHarbour()
}

func (c *coreMachine) killPurser() {
	if !c.runs {
		return
	}
	c.runs = false
	gone := make(chan struct{})
	c.gone = gone
	c.p.End()
	pr, at := c.pr, c.w.now()
	go func() {
		pr.Stop(0)
		c.lose(at)
		close(gone)
	}()
}

func (c *coreMachine) killHarbour() {
	if c.h != nil {
		c.h.End()
		go c.hr.Stop(0)
		c.h = nil
	}
}

func (c *coreMachine) wipe() error {
	<-c.gone
	return os.RemoveAll(c.dir)
}

// ---- Machines with backends ----

func (m *tugMachine) start() error {
	s := m.w.settings(m.name, m.m.IP, m.m.Zone, false)
	s.Bootstrap = m.w.now() < time.Second
	s.Service, s.AppAddr = m.service, net.JoinHostPort(m.m.IP, portApp)
	for name, port := range map[string]string{"outbound": portOut, "readiness": portReady, "control-plane": portControl} {
		s.Listen[name] = net.JoinHostPort(m.m.IP, port)
	}
	m.w.seedMu.Lock()
	if m.seed != nil {
		s.Seeds = m.seed
	}
	m.w.seedMu.Unlock()
	m.w.spoil(s)
	m.set = s
	m.proc = m.m.Start()
	m.w.log.Contact.AddAnew(checker.Anew{Machine: m.name, At: m.w.now(), Reaches: m.reaches})
	var err error
	m.tug, err = proxy.Start(s, m.w.note(m.name+" tug"), m.spoilt(m.proc))
	return err
}

func (m *tugMachine) kill() {
	m.proc.End()
	if m.tug != nil {
		m.tug.Kill()
		m.tug = nil
	}
}

// stop ends the proxy in order.
func (m *tugMachine) stop() {
	if m.w.flaw.Abrupt {
		m.kill()
		return
	}
	m.tug.Stop(m.w.log.Bounds.Grace - 500*time.Millisecond)
	m.tug = nil
	m.proc.End()
}

// powerOff takes a machine's power. Its backend, proxy and clients are gone at once, and nobody is told.
func (m *tugMachine) powerOff() {
	m.m.PowerOff()
	m.mu.Lock()
	m.in = false
	m.people.End()
	m.mu.Unlock()
	m.endBackend()
	m.kill()
}

func (m *tugMachine) powerOn() error {
	m.m.PowerOn()
	m.mu.Lock()
	m.people = m.m.Start()
	m.mu.Unlock()
	if err := m.start(); err != nil {
		return err
	}
	m.startBackend()
	return nil
}

func (c *coreMachine) powerOff() {
	c.m.PowerOff()
	c.kill()
}

func (c *coreMachine) powerOn() error {
	c.m.PowerOn()
	return c.start()
}

// ---- Troubles ----

// must has the day fail for what should never.
func (w *World) must(err error) {
	if err != nil {
		w.stepMu.Lock()
		defer w.stepMu.Unlock()
		w.failed = append(w.failed, checker.Broken{Rule: "WORLD", At: w.now(), Lines: []string{err.Error()}})
	}
}

// trouble notes a trouble from now until what it returns is called.
func (w *World) trouble(kind, machine string, core bool) (over func()) {
	t := &checker.Trouble{Kind: kind, Machine: machine, Core: core, From: w.now(), To: 1 << 60}
	w.log.AddTrouble(t)
	return func() { t.To = w.now() }
}

// sleep waits until a time of the day.
func (w *World) until(at time.Duration) { time.Sleep(at - w.now()) }

// pause waits, and reports whether the day goes on.
func (w *World) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-w.ending:
		return false
	}
}

// scattered is the span within which all machines of a larger mesh start, in any order.
const scattered = 300 * time.Millisecond

// begin starts all machines, and waits until clients may come.
func (w *World) begin(t testing.TB) {
	t.Helper()
	type start struct {
		at time.Duration
		do func() error
	}
	var all []start
	r := w.rand("starts")
	add := func(do func() error) {
		x := start{do: do}
		if w.size != (Size{}).full() {
			x.at = time.Duration(r.Int64N(int64(scattered)))
		}
		all = append(all, x)
	}
	for _, c := range w.core {
		add(c.start)
	}
	for _, m := range w.tugs {
		m.people = m.m.Start()
		w.people.Go(m.platform)
		add(func() error {
			if err := m.start(); err != nil {
				return err
			}
			m.startBackend()
			return nil
		})
	}
	slices.SortStableFunc(all, func(a, b start) int { return cmp.Compare(a.at, b.at) })
	for _, x := range all {
		w.until(x.at)
		if err := x.do(); err != nil {
			t.Fatal(err)
		}
	}
}

// end ends all that runs.
func (w *World) end() {
	close(w.ending)
	w.people.Wait()
	for _, m := range append(w.tugs, w.late...) {
		m.endBackend()
		m.kill()
		m.crowd().End()
	}
	for _, c := range w.core {
		c.kill()
		<-c.gone
	}
}

// ---- HTTP by hand ----

// request is one request as a stand-in sends it.
type request struct {
	method, host, path string
	header             [][2]string
	body               []byte
	chunked            bool
}

func (r *request) bytes() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.method, r.path, r.host)
	for _, h := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	switch {
	case r.chunked:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for p := r.body; len(p) > 0; {
			k := min(len(p), 700)
			fmt.Fprintf(&b, "%x\r\n%s\r\n", k, p[:k])
			p = p[k:]
		}
		b.WriteString("0\r\n\r\n")
	case len(r.body) > 0 || r.method != "GET":
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	default:
		b.WriteString("\r\n")
	}
	return []byte(b.String())
}

func (r *request) get(name string) string {
	for _, h := range r.header {
		if h[0] == name {
			return h[1]
		}
	}
	return ""
}

// dialFor dials within a time.
func dialFor(on sock.Net, addr string, d time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	return on.Dial(ctx, addr, 0)
}

// call makes one call of the system's own interfaces, on a connection of its own.
func call(on sock.Net, addr, method, path string, body []byte, wait time.Duration) (status int, got []byte, err error) {
	return exchange(on, addr, request{method: method, host: addr, path: path, body: body}, wait)
}

// exchange sends one JSON request on a connection of its own.
func exchange(on sock.Net, addr string, r request, wait time.Duration) (status int, got []byte, err error) {
	end := time.Now().Add(wait)
	c, err := dialFor(on, addr, wait)
	if err != nil {
		return 0, nil, err
	}
	defer c.Close()
	c.SetDeadline(end)
	r.header = [][2]string{{"Content-Type", "application/json"}, {"Connection", "close"}}
	if _, err := c.Write(r.bytes()); err != nil {
		return 0, nil, err
	}
	a, err := readAnswer(newReader(c))
	if err != nil {
		return 0, nil, err
	}
	return a.status, a.body, nil
}
