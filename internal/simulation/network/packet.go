package network

import (
	"net"
	"os"
	"syscall"
	"time"
)

// packets is a socket for datagrams. Sea.mu guards all of it.
type packets struct {
	p    *Process
	addr *net.UDPAddr
	in   []packet // in the order of arrival
	note chan struct{}
	rd   time.Time
	done bool
}

type packet struct {
	at   time.Time
	from *net.UDPAddr
	data []byte
}

// mostPackets is how many datagrams wait at a socket; what comes beyond is lost.
const mostPackets = 256

// ListenPacket implements sock.Net.
func (p *Process) ListenPacket(addr string) (net.PacketConn, error) {
	host, port, err := split(addr)
	if err != nil {
		return nil, err
	}
	s := p.m.s
	s.mu.Lock()
	defer s.mu.Unlock()
	fail := func(err error) (net.PacketConn, error) { return nil, &net.OpError{Op: "listen", Net: "udp4", Err: err} }
	switch {
	case p.ended || p.m.off:
		return fail(syscall.ENETDOWN)
	case host != p.m.IP:
		return fail(syscall.EADDRNOTAVAIL)
	case p.m.packets[port] != nil:
		return fail(syscall.EADDRINUSE)
	}
	x := &packets{p: p, addr: &net.UDPAddr{IP: net.ParseIP(host), Port: port}, note: make(chan struct{})}
	p.m.packets[port] = x
	p.ps[x] = true
	return x, nil
}

func (x *packets) poke() {
	close(x.note)
	x.note = make(chan struct{})
}

// end ends it. The caller holds s.mu.
func (x *packets) end() {
	if x.done {
		return
	}
	x.done = true
	delete(x.p.m.packets, x.addr.Port)
	delete(x.p.ps, x)
	x.poke()
}

func (x *packets) err(op string, err error) error {
	return &net.OpError{Op: op, Net: "udp4", Source: x.addr, Err: err}
}

// ReadFrom implements net.PacketConn.
func (x *packets) ReadFrom(b []byte) (int, net.Addr, error) {
	s := x.p.m.s
	for {
		s.mu.Lock()
		now := time.Now()
		switch {
		case x.done:
			s.mu.Unlock()
			return 0, nil, x.err("read", net.ErrClosed)
		case !x.rd.IsZero() && !x.rd.After(now):
			s.mu.Unlock()
			return 0, nil, x.err("read", os.ErrDeadlineExceeded)
		}
		var next time.Time
		if len(x.in) > 0 && !x.p.m.frozen {
			if next = x.in[0].at; !next.After(now) {
				one := x.in[0]
				x.in = x.in[1:]
				s.mu.Unlock()
				return copy(b, one.data), one.from, nil
			}
		}
		note, rd := x.note, x.rd
		s.mu.Unlock()
		wait(note, next, rd)
	}
}

// WriteTo implements net.PacketConn. What finds its path cut or too long a queue, its reader away or its place full is lost.
func (x *packets) WriteTo(b []byte, to net.Addr) (int, error) {
	s := x.p.m.s
	for {
		s.mu.Lock()
		if x.done {
			s.mu.Unlock()
			return 0, x.err("write", net.ErrClosed)
		}
		if !x.p.m.frozen {
			break
		}
		change := s.change
		s.mu.Unlock()
		<-change
	}
	defer s.mu.Unlock()
	u, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, x.err("write", syscall.EINVAL)
	}
	m := s.machines[u.IP.String()]
	if m == nil || !s.passes(x.p.m, m) {
		return len(b), nil
	}
	y := m.packets[u.Port]
	if y == nil || len(y.in) >= mostPackets {
		return len(b), nil
	}
	takes := s.passage(x.p.m, m, len(b))
	if s.lost(x.p.m, m) || takes > queues+s.latency(x.p.m, m) {
		return len(b), nil
	}
	at := time.Now().Add(takes)
	i := len(y.in)
	for i > 0 && y.in[i-1].at.After(at) {
		i--
	}
	y.in = append(y.in, packet{})
	copy(y.in[i+1:], y.in[i:])
	y.in[i] = packet{at, x.addr, append([]byte(nil), b...)}
	y.poke()
	return len(b), nil
}

// Close implements net.PacketConn.
func (x *packets) Close() error {
	s := x.p.m.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if x.done {
		return x.err("close", net.ErrClosed)
	}
	x.end()
	return nil
}

// LocalAddr implements net.PacketConn.
func (x *packets) LocalAddr() net.Addr { return x.addr }

// SetDeadline implements net.PacketConn. Writes never wait for others.
func (x *packets) SetDeadline(t time.Time) error { return x.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (x *packets) SetReadDeadline(t time.Time) error {
	s := x.p.m.s
	s.mu.Lock()
	defer s.mu.Unlock()
	x.rd = t
	x.poke()
	return nil
}

// SetWriteDeadline implements net.PacketConn.
func (x *packets) SetWriteDeadline(time.Time) error { return nil }
