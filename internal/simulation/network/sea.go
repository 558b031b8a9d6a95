// Package network is a network in memory between machines, for days in virtual time: connections behave like those of TCP, with
// latency, small windows, deadlines, half closes and resets, and machines can be cut off, frozen, lose power or have a process
// end. It starts no goroutine: whoever reads waits for the time at which bytes arrive. Start reading at Sea.
//
// All of it is made and used in one synctest bubble. A lock is held for moments only, never while anything waits.
package network

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Sea is the network.
type Sea struct {
	mu       sync.Mutex
	rand     *rand.Rand
	machines map[string]*Machine // by IP
	lat      map[[2]string]time.Duration
	cuts     map[[2]string]int
	ways     map[[2]string]int        // cuts of one way, by IPs from and to
	slow     map[string]time.Duration // by IP, one way
	loss     map[string]float64       // by IP, part of the packets
	width    map[string]float64       // by IP, bytes a second each way; 0: any number
	up, down map[string]time.Time     // by IP: until when its link is busy
	luck     *rand.Rand               // which packets are lost
	conns    map[*Conn]bool
	change   chan struct{} // closed with each change of paths
	nextPort int
}

// New returns an empty network whose latencies are drawn by a seed.
func New(seed uint64) *Sea {
	return &Sea{rand: rand.New(rand.NewPCG(seed, 77)), machines: map[string]*Machine{}, lat: map[[2]string]time.Duration{},
		cuts: map[[2]string]int{}, ways: map[[2]string]int{}, slow: map[string]time.Duration{}, loss: map[string]float64{}, width: map[string]float64{},
		up: map[string]time.Time{}, down: map[string]time.Time{}, luck: rand.New(rand.NewPCG(seed, 78)), conns: map[*Conn]bool{}, change: make(chan struct{}), nextPort: 32768}
}

// Machine is one address on the network.
type Machine struct {
	s         *Sea
	IP, Zone  string
	off       bool
	frozen    bool
	listeners map[string]*listener // by host:port
	packets   map[int]*packets     // by port
}

// Process is what runs on a machine: it implements sock.Net, and all its sockets end with it.
type Process struct {
	m     *Machine
	ended bool
	conns map[*Conn]bool
	ls    map[*listener]bool
	ps    map[*packets]bool
}

const (
	window    = 64 << 10
	inMachine = 30 * time.Microsecond
	inZone    = 200 * time.Microsecond
	crossLow  = 500 * time.Microsecond
	crossHigh = 900 * time.Microsecond
	resend    = 200 * time.Millisecond // after which what was lost on a cut path is sent again, once it is whole
	synResend = time.Second
	backlog   = 128
	segment   = 1400 // bytes in a packet
	overhead  = 60   // of a packet
)

// Machine adds a machine.
func (s *Sea) Machine(ip, zone string) *Machine {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := &Machine{s: s, IP: ip, Zone: zone, listeners: map[string]*listener{}, packets: map[int]*packets{}}
	s.machines[ip] = m
	return m
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// latency is one way. The caller holds s.mu.
func (s *Sea) latency(a, b *Machine) time.Duration {
	if a == b {
		return inMachine
	}
	slow := s.slow[a.IP] + s.slow[b.IP]
	if a.Zone == b.Zone {
		return inZone + slow
	}
	p := pair(a.IP, b.IP)
	if s.lat[p] == 0 {
		s.lat[p] = crossLow + time.Duration(s.rand.Int64N(int64(crossHigh-crossLow)))
	}
	return s.lat[p] + slow
}

// Slow has everything from and to a machine take so much longer each way; 0: no longer.
func (s *Sea) Slow(m *Machine, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow[m.IP] = d
}

// Reset resets those connections from and to a machine that `which` picks, at both ends.
func (s *Sea) Reset(m *Machine, which func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.conns {
		if c.p.m != m || !which() {
			continue
		}
		for _, x := range []*Conn{c, c.peer} {
			if !x.closed && !x.gone && !x.in.rst {
				x.lose()
				x.in.rst, x.in.rstAt = true, now
				x.wake()
			}
		}
	}
}

// Lossy has a part of the packets from and to a machine be lost; 0: none.
func (s *Sea) Lossy(m *Machine, part float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss[m.IP] = part
}

// Narrow bounds the bytes a second that pass from a machine, and to it; 0: no bound. What is beyond waits its turn.
func (s *Sea) Narrow(m *Machine, width float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.width[m.IP] = width
	if width == 0 {
		delete(s.up, m.IP)
		delete(s.down, m.IP)
	}
}

// queues is how long a link holds what it has no room for; datagrams beyond that are lost.
const queues = 500 * time.Millisecond

// passage is how long n bytes take from a to b, links' queues included. The caller holds s.mu.
func (s *Sea) passage(a, b *Machine, n int) time.Duration {
	now := time.Now()
	at := now
	if a != b {
		turn := func(busy map[string]time.Time, ip string) {
			if w := s.width[ip]; w > 0 {
				if busy[ip].After(at) {
					at = busy[ip]
				}
				at = at.Add(time.Duration(float64(n+overhead) / w * float64(time.Second)))
				busy[ip] = at
			}
		}
		turn(s.up, a.IP)
		turn(s.down, b.IP)
	}
	return at.Sub(now) + s.latency(a, b)
}

// lost draws whether a packet from a to b is. The caller holds s.mu.
func (s *Sea) lost(a, b *Machine) bool {
	x, y := s.loss[a.IP], s.loss[b.IP]
	return a != b && x+y > 0 && s.luck.Float64() < 1-(1-x)*(1-y)
}

// repair is how long the lost ones of n bytes' packets hold them up: the last few until a time-out, which doubles, and others until
// those behind them tell. The caller holds s.mu.
func (s *Sea) repair(a, b *Machine, n int) (d time.Duration) {
	if a == b || s.loss[a.IP]+s.loss[b.IP] == 0 {
		return 0
	}
	packets := n/segment + 1
	for i := range packets {
		for wait := resend; s.lost(a, b); wait *= 2 {
			if i < packets-3 {
				d = max(d, 2*s.latency(a, b))
				break
			}
			d += wait
		}
	}
	return d
}

// open reports whether bytes pass between two machines, both ways. The caller holds s.mu.
func (s *Sea) open(a, b *Machine) bool { return s.passes(a, b) && s.passes(b, a) }

// passes reports whether bytes pass from one machine to another. The caller holds s.mu.
func (s *Sea) passes(from, to *Machine) bool {
	return !from.off && !to.off && (from == to || s.cuts[pair(from.IP, to.IP)] == 0 && s.ways[[2]string{from.IP, to.IP}] == 0)
}

// changed wakes those who wait for a path. The caller holds s.mu.
func (s *Sea) changed() {
	close(s.change)
	s.change = make(chan struct{})
}

// Cut cuts the path between two machines: nothing passes, and nobody is told. Cuts add up.
func (s *Sea) Cut(a, b *Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[pair(a.IP, b.IP)]++
	s.hold()
}

// Join takes one cut away.
func (s *Sea) Join(a, b *Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cuts[pair(a.IP, b.IP)]--
	s.release()
}

// CutWay cuts the path from one machine to another, one way: what comes back passes, acknowledgements too.
func (s *Sea) CutWay(from, to *Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ways[[2]string{from.IP, to.IP}]++
	s.hold()
}

// JoinWay takes one CutWay away.
func (s *Sea) JoinWay(from, to *Machine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ways[[2]string{from.IP, to.IP}]--
	s.release()
}

// CutOff cuts a machine off from all others.
func (s *Sea) CutOff(m *Machine) { s.each(m, s.Cut) }

// JoinAgain takes a CutOff away.
func (s *Sea) JoinAgain(m *Machine) { s.each(m, s.Join) }

func (s *Sea) each(m *Machine, f func(a, b *Machine)) {
	s.mu.Lock()
	var others []*Machine
	for _, o := range s.machines {
		if o != m {
			others = append(others, o)
		}
	}
	s.mu.Unlock()
	for _, o := range others {
		f(m, o)
	}
}

// hold keeps back what is on its way over paths that do not pass now. The caller holds s.mu.
func (s *Sea) hold() {
	now := time.Now()
	for c := range s.conns {
		if s.passes(c.peerM, c.p.m) {
			continue
		}
		in := &c.in
		for i := range in.segs {
			if in.segs[i].at.After(now) {
				in.segs[i].at = never
			}
		}
		if in.fin && in.finAt.After(now) {
			in.finAt = never
		}
		if in.rst && in.rstAt.After(now) {
			in.rstAt = never
		}
		c.suspect()
	}
	s.changed()
}

// release sends again what was kept back, where a path passes now. The caller holds s.mu.
func (s *Sea) release() {
	now := time.Now()
	for c := range s.conns {
		if !s.passes(c.peerM, c.p.m) {
			continue
		}
		c.deaf = false
		at := now.Add(resend)
		in := &c.in
		if c.peer.gone {
			c.lose()
		}
		for i := range in.segs {
			if in.segs[i].at.Equal(never) {
				in.segs[i].at = at
				in.last = at
			}
		}
		if in.fin && in.finAt.Equal(never) {
			in.finAt = at
		}
		if in.rst && in.rstAt.Equal(never) {
			in.rstAt = at
		}
		if c.peer.gone && !in.rst { // the other side knows nothing of this connection any more
			in.rst, in.rstAt = true, at
		}
		c.wake()
	}
	s.changed()
}

// Frozen reports whether it is.
func (m *Machine) Frozen() bool {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	return m.frozen
}

// Freeze holds what the machine's processes read and write, while its network goes on to take bytes for them. Their timers fire
// all the same: a bubble has one clock. Those of a frozen process would fire all at once when it goes on.
func (m *Machine) Freeze(yes bool) {
	s := m.s
	s.mu.Lock()
	defer s.mu.Unlock()
	m.frozen = yes
	for c := range s.conns {
		if c.p.m == m {
			c.wake()
		}
	}
	for _, l := range m.listeners {
		l.poke()
	}
	for _, p := range m.packets {
		p.poke()
	}
	s.changed()
}

// PowerOff takes the machine away: its processes' sockets are dead, and peers hear nothing.
func (m *Machine) PowerOff() {
	s := m.s
	s.mu.Lock()
	defer s.mu.Unlock()
	m.off = true
	for _, l := range m.listeners {
		l.end()
	}
	for _, p := range m.packets {
		p.end()
	}
	s.hold()
	for c := range s.conns {
		if c.p.m == m {
			c.gone = true
			c.forget()
		}
	}
}

// PowerOn brings it back, empty: whoever still has a connection to what ran there is told by a reset.
func (m *Machine) PowerOn() {
	s := m.s
	s.mu.Lock()
	defer s.mu.Unlock()
	m.off = false
	s.release()
}

// Start begins a process.
func (m *Machine) Start() *Process {
	return &Process{m: m, conns: map[*Conn]bool{}, ls: map[*listener]bool{}, ps: map[*packets]bool{}}
}

// Ended reports whether it has ended.
func (p *Process) Ended() bool {
	p.m.s.mu.Lock()
	defer p.m.s.mu.Unlock()
	return p.ended
}

// End ends the process at once: its sockets close as the system closes them, and it can't open others.
func (p *Process) End() {
	s := p.m.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	for l := range p.ls {
		l.end()
	}
	for x := range p.ps {
		x.end()
	}
	for c := range p.conns {
		c.close()
	}
	s.changed()
}

// ---- Listening ----

type listener struct {
	p     *Process
	addr  *net.TCPAddr
	quiet time.Duration
	queue []*Conn
	note  chan struct{}
	done  bool
}

// Listen implements sock.Net.
func (p *Process) Listen(addr string, quiet time.Duration) (net.Listener, error) {
	host, port, err := split(addr)
	if err != nil {
		return nil, err
	}
	s := p.m.s
	s.mu.Lock()
	defer s.mu.Unlock()
	name := net.JoinHostPort(host, strconv.Itoa(port))
	switch {
	case p.ended || p.m.off:
		return nil, &net.OpError{Op: "listen", Net: "tcp4", Err: syscall.ENETDOWN}
	case host != p.m.IP:
		return nil, &net.OpError{Op: "listen", Net: "tcp4", Err: syscall.EADDRNOTAVAIL}
	case p.m.listeners[name] != nil:
		return nil, &net.OpError{Op: "listen", Net: "tcp4", Err: syscall.EADDRINUSE}
	}
	l := &listener{p: p, addr: &net.TCPAddr{IP: net.ParseIP(host), Port: port}, quiet: quiet, note: make(chan struct{})}
	p.m.listeners[name] = l
	p.ls[l] = true
	return l, nil
}

func split(addr string) (string, int, error) {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, err
	}
	n, err := strconv.Atoi(port)
	if err != nil || net.ParseIP(host) == nil {
		return "", 0, fmt.Errorf("sea: %s: an IP and a port wanted", addr)
	}
	return host, n, nil
}

func (l *listener) poke() {
	close(l.note)
	l.note = make(chan struct{})
}

func (l *listener) Accept() (net.Conn, error) {
	s := l.p.m.s
	for {
		s.mu.Lock()
		if l.done {
			s.mu.Unlock()
			return nil, &net.OpError{Op: "accept", Net: "tcp4", Addr: l.addr, Err: net.ErrClosed}
		}
		if len(l.queue) > 0 && !l.p.m.frozen {
			c := l.queue[0]
			l.queue = l.queue[1:]
			s.mu.Unlock()
			return c, nil
		}
		note := l.note
		s.mu.Unlock()
		<-note
	}
}

func (l *listener) Close() error {
	s := l.p.m.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.done {
		return &net.OpError{Op: "close", Net: "tcp4", Addr: l.addr, Err: net.ErrClosed}
	}
	l.end()
	return nil
}

// end ends it. The caller holds s.mu.
func (l *listener) end() {
	if l.done {
		return
	}
	l.done = true
	delete(l.p.m.listeners, l.addr.String())
	delete(l.p.ls, l)
	for _, c := range l.queue {
		c.reset()
	}
	l.queue = nil
	l.poke()
}

func (l *listener) Addr() net.Addr { return l.addr }

// Dial implements sock.Net.
func (p *Process) Dial(ctx context.Context, addr string, quiet time.Duration) (net.Conn, error) {
	host, port, err := split(addr)
	if err != nil {
		return nil, err
	}
	fail := func(err error) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Addr: &net.TCPAddr{IP: net.ParseIP(host), Port: port}, Err: err}
	}
	s := p.m.s
	wait := func(d time.Duration) error { // or for ever, where d is 0
		var c <-chan time.Time
		if d > 0 {
			t := time.NewTimer(d)
			defer t.Stop()
			c = t.C
		}
		for {
			s.mu.Lock()
			change, ended, off := s.change, p.ended, p.m.off
			s.mu.Unlock()
			if ended || off {
				return net.ErrClosed
			}
			select {
			case <-c:
				return nil
			case <-change:
			case <-ctx.Done():
				if errors.Is(ctx.Err(), context.DeadlineExceeded) {
					return os.ErrDeadlineExceeded
				}
				return ctx.Err()
			}
		}
	}
	for {
		s.mu.Lock()
		to := s.machines[host]
		passes := to != nil && s.open(p.m, to) && !p.m.frozen
		var trip time.Duration
		if passes {
			trip = s.latency(p.m, to)
		}
		s.mu.Unlock()
		if !passes {
			if err := wait(synResend); err != nil {
				return fail(err)
			}
			continue
		}
		if err := wait(trip); err != nil { // the opening packet is there
			return fail(err)
		}
		s.mu.Lock()
		if s.lost(p.m, to) || s.lost(to, p.m) { // it, or the answer to it
			s.mu.Unlock()
			if err := wait(synResend); err != nil {
				return fail(err)
			}
			continue
		}
		if !s.open(p.m, to) || p.ended {
			s.mu.Unlock()
			continue
		}
		l := to.listeners[net.JoinHostPort(host, strconv.Itoa(port))]
		if l == nil {
			s.mu.Unlock()
			if err := wait(trip); err != nil {
				return fail(err)
			}
			return fail(syscall.ECONNREFUSED)
		}
		if len(l.queue) >= backlog {
			s.mu.Unlock()
			if err := wait(synResend); err != nil {
				return fail(err)
			}
			continue
		}
		s.nextPort++
		here := &net.TCPAddr{IP: net.ParseIP(p.m.IP), Port: 32768 + s.nextPort%28000}
		a := &Conn{p: p, local: here, remote: l.addr, peerM: to}
		b := &Conn{p: l.p, local: l.addr, remote: here, peerM: p.m, quiet: l.quiet}
		a.peer, b.peer = b, a
		a.quiet = quiet
		for _, c := range []*Conn{a, b} {
			c.note = make(chan struct{})
			c.heard = time.Now()
			c.p.conns[c] = true
			s.conns[c] = true
		}
		l.queue = append(l.queue, b)
		l.poke()
		s.mu.Unlock()
		if err := wait(trip); err != nil {
			a.Close()
			return fail(err)
		}
		return a, nil
	}
}
