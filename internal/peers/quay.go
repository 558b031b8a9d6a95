package peers

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"saltmast/internal/membership"
	"saltmast/internal/membership/udp"
)

const (
	// datagramBytes is the most of a datagram, in all.
	datagramBytes = 1400
	// mostStreams bounds the connections that are served at one time; more are closed at once.
	mostStreams = 16
	// streamFor bounds one connection, from its dialling on; less where members are looked at more often.
	streamFor = 10 * time.Second
)

// quay is the two places where an agent is reached, and the roster that is carried there: by datagrams go the roster and what is
// in line, by connections whole states and what an agent leaves behind.
type quay struct {
	p        *Peers
	envelope *envelope
	addr     netip.AddrPort // where others reach it
	udp      *net.UDPConn
	tcp      *net.TCPListener
	dialer   net.Dialer
	streams  time.Duration
	roster   *udp.Runner

	ctx     context.Context // ends connections
	cancel  context.CancelFunc
	slots   chan struct{}
	running sync.WaitGroup
}

// openQuay listens, and takes part in the roster from then on.
func openQuay(p *Peers) (*quay, error) {
	o := &p.o
	listen, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers: listen: %w", err)
	}
	var advertise netip.AddrPort
	if o.Advertise != "" {
		if advertise, err = netip.ParseAddrPort(o.Advertise); err != nil {
			return nil, fmt.Errorf("peers: advertise: %w", err)
		}
	}
	q := &quay{p: p, streams: min(streamFor, max(time.Second, 4*o.Probe)), slots: make(chan struct{}, mostStreams)}
	if q.envelope, err = newEnvelope(o.Cluster, o.Key); err != nil {
		return nil, err
	}
	if q.tcp, q.udp, err = both(listen); err != nil {
		return nil, fmt.Errorf("peers: listen: %w", err)
	}
	defer func() {
		if q.roster == nil {
			q.tcp.Close()
			q.udp.Close()
		}
	}()
	bound := q.tcp.Addr().(*net.TCPAddr).AddrPort()
	if !listen.Addr().IsUnspecified() {
		q.dialer.LocalAddr = &net.TCPAddr{IP: listen.Addr().AsSlice()}
	}
	if q.addr = advertise; !advertise.IsValid() {
		q.addr = netip.AddrPortFrom(bound.Addr().Unmap(), bound.Port())
	}
	if q.addr.Addr().IsUnspecified() {
		own, err := ownAddr()
		if err != nil {
			return nil, err
		}
		q.addr = netip.AddrPortFrom(own, q.addr.Port())
	}
	self := membership.Member{Name: o.Name, Life: max(1, o.Incarnation), Addr: q.addr, Zone: o.Zone}
	if err := self.Check(); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	q.ctx, q.cancel = context.WithCancel(context.Background())
	q.roster = udp.Start(udp.Options{Conn: &datagrams{UDPConn: q.udp, q: q}, OnChange: p.changed, Membership: membership.Options{Self: self,
		Rand: rand.New(rand.NewSource(int64(o.Incarnation))), Period: o.Probe, AckTimeout: o.Probe / 2, RetainDead: forgetAfter,
		MaxMembers: o.Members, KeepLiveNames: true}})
	q.running.Add(1)
	go q.accept()
	return q, nil
}

// both opens one port for connections and datagrams.
func both(listen netip.AddrPort) (t *net.TCPListener, u *net.UDPConn, err error) {
	for try := 0; ; try++ {
		if t, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(listen)); err != nil {
			return nil, nil, err
		}
		at := netip.AddrPortFrom(listen.Addr(), t.Addr().(*net.TCPAddr).AddrPort().Port())
		if u, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)); err == nil {
			return t, u, nil
		}
		t.Close()
		if listen.Port() != 0 || try == 16 {
			return nil, nil, err
		}
	}
}

// ownAddr is a private address of this machine, for one that listens at all of them and was not told which others can reach.
func ownAddr() (netip.Addr, error) {
	addrs, err := net.InterfaceAddrs()
	if err != nil {
		return netip.Addr{}, fmt.Errorf("peers: advertise: %w", err)
	}
	for _, a := range addrs {
		if n, ok := a.(*net.IPNet); ok {
			if ip, ok := netip.AddrFromSlice(n.IP); ok && ip.Unmap().IsPrivate() {
				return ip.Unmap(), nil
			}
		}
	}
	return netip.Addr{}, errors.New("peers: advertise: this machine has no private address, one has to be given")
}

// inUse reports whether another process has the address: the one before, in an upgrade with both side by side, until it
// has gone.
func inUse(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }

// shut ends it; others are told nothing.
func (q *quay) shut() {
	q.cancel()
	q.tcp.Close()
	q.roster.Close()
	q.running.Wait()
}

// datagrams is the socket as the roster's carriage sees it: what it sends goes in envelopes that others' messages share.
type datagrams struct {
	*net.UDPConn
	q   *quay
	buf [datagramBytes + 1]byte // of the one that reads
}

// ReadFrom implements net.PacketConn: the next datagram for the roster, from the address that its sender goes by.
func (d *datagrams) ReadFrom(b []byte) (int, net.Addr, error) {
	q := d.q
	for {
		n, at, err := d.UDPConn.ReadFromUDPAddrPort(d.buf[:])
		if err != nil {
			return 0, nil, err
		}
		purpose, plain, err := q.envelope.open(d.buf[:n])
		if err == nil && purpose != forDatagram {
			err = errShape
		}
		var in datagram
		if err == nil {
			in, err = readDatagram(plain)
		}
		if err != nil {
			q.p.refuse("a datagram is refused", n, at.String(), err)
			continue
		}
		if len(in.message) > 0 {
			q.p.hear(in.message)
		}
		if len(in.roster) > 0 {
			return copy(b, in.roster), net.UDPAddrFromAddrPort(in.from), nil
		}
	}
}

// WriteTo implements net.PacketConn: a datagram of the roster, and of what is in line as much as finds place.
func (d *datagrams) WriteTo(b []byte, to net.Addr) (int, error) {
	addr := to.(*net.UDPAddr).AddrPort()
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	return len(b), d.q.send(addr, b, d.q.p.ride(addr, d.q.room()-len(b)))
}

// room is how much the parts of a datagram may have.
func (q *quay) room() int { return datagramBytes - q.envelope.overhead() - aroundBytes }

// send sends a datagram; it may get lost.
func (q *quay) send(to netip.AddrPort, news, message []byte) error {
	plain := datagram{from: q.addr, roster: news, message: message}.append(nil)
	_, err := q.udp.WriteToUDPAddrPort(q.envelope.seal(forDatagram, plain), to)
	return err
}

// accept takes connections until it is shut.
func (q *quay) accept() {
	defer q.running.Done()
	for {
		c, err := q.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-q.ctx.Done():
				return
			case <-time.After(10 * time.Millisecond): // the process is short of something: others may end meanwhile
			}
			continue
		}
		select {
		case q.slots <- struct{}{}:
		default:
			c.Close()
			continue
		}
		q.running.Add(1)
		go func() {
			defer q.running.Done()
			defer func() { <-q.slots }()
			s, end := q.stream(c)
			defer end()
			var r refusal
			if errors.As(q.serve(s), &r) {
				q.p.refuse("a connection is refused", 0, c.RemoteAddr().String(), r)
			}
		}()
	}
}

// stream is a connection with its bounds, which ends when all ends.
func (q *quay) stream(c net.Conn) (*bounded, func()) {
	c.SetDeadline(time.Now().Add(q.streams))
	stop := context.AfterFunc(q.ctx, func() { c.Close() })
	most := 4 + q.envelope.overhead() + q.p.o.StateBytes
	return &bounded{Conn: c, left: int64(most)}, func() { stop(); c.Close() }
}

// serve takes what comes by a connection, and answers a state with one.
func (q *quay) serve(c *bounded) error {
	purpose, plain, err := q.read(c)
	if err != nil {
		return err
	}
	switch purpose {
	case forAsk:
		err = q.write(c, forAnswer, q.p.state()) // before it has the other's: that is not told back
		q.p.hearState(plain)
	case forKeeps:
		q.p.hear(plain)
	default:
		err = errShape
	}
	return err
}

// dial calls a member.
func (q *quay) dial(to netip.AddrPort) (*bounded, func(), error) {
	ctx, cancel := context.WithTimeout(q.ctx, q.streams)
	defer cancel()
	c, err := q.dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, nil, err
	}
	s, end := q.stream(c)
	return s, end, nil
}

// exchange gives a member all that is known here, for all that is known there.
func (q *quay) exchange(to netip.AddrPort) error {
	c, end, err := q.dial(to)
	if err != nil {
		return err
	}
	defer end()
	if err := q.write(c, forAsk, q.p.state()); err != nil {
		return err
	}
	purpose, plain, err := q.read(c)
	if err == nil && purpose != forAnswer {
		err = errShape
	}
	if err == nil {
		q.p.hearState(plain)
	}
	return err
}

// leave gives a member what this agent leaves behind.
func (q *quay) leave(to netip.AddrPort, raw []byte) error {
	c, end, err := q.dial(to)
	if err != nil {
		return err
	}
	defer end()
	return q.write(c, forKeeps, raw)
}

// write sends a message with its length before it.
func (q *quay) write(c net.Conn, purpose byte, plain []byte) error {
	sealed := q.envelope.seal(purpose, plain)
	_, err := c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(sealed))), sealed...))
	return err
}

// read takes a message. What it costs grows with what has come, not with what is said to come.
func (q *quay) read(c *bounded) (purpose byte, plain []byte, err error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return 0, nil, err
	}
	size := int64(binary.BigEndian.Uint32(head[:]))
	if size > c.left {
		return 0, nil, errTooMuch
	}
	var raw bytes.Buffer
	if _, err := io.CopyN(&raw, c, size); err != nil {
		return 0, nil, err
	}
	return q.envelope.open(raw.Bytes())
}

// bounded is a connection that brings so many bytes at the most.
type bounded struct {
	net.Conn
	left int64
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, errTooMuch
	}
	n, err := b.Conn.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}
