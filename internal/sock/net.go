package sock

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Net is where a program listens and dials. Addresses are host:port of IPv4. quiet is how long sent bytes may stay
// unacknowledged before a connection ends, and bounds the silence of a peer that answers no probe; 0: as the system has it.
type Net interface {
	Listen(addr string, quiet time.Duration) (net.Listener, error)
	Dial(ctx context.Context, addr string, quiet time.Duration) (net.Conn, error)
	ListenPacket(addr string) (net.PacketConn, error) // for datagrams
}

// System is the system's own network.
var System Net = system{}

// On is n, or the system's network where there is none.
func On(n Net) Net {
	if n == nil {
		return System
	}
	return n
}

type system struct{}

func (system) Listen(addr string, quiet time.Duration) (net.Listener, error) {
	if quiet == 0 {
		return net.Listen("tcp4", addr)
	}
	lc := net.ListenConfig{Control: control(quiet), KeepAlive: -1}
	return lc.Listen(context.Background(), "tcp4", addr)
}

func (system) Dial(ctx context.Context, addr string, quiet time.Duration) (net.Conn, error) {
	d := net.Dialer{KeepAlive: -1}
	if quiet > 0 {
		d.Control = control(quiet)
	}
	return d.DialContext(ctx, "tcp4", addr)
}

func (system) ListenPacket(addr string) (net.PacketConn, error) {
	return net.ListenPacket("udp4", addr)
}

func control(quiet time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { setOptions(fd, quiet) }) // a system without them does without
	}
}

func setOptions(fd uintptr, quiet time.Duration) error {
	f := int(fd)
	return errors.Join(
		unix.SetsockoptInt(f, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(quiet.Milliseconds())),
		unix.SetsockoptInt(f, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
		unix.SetsockoptInt(f, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, 1),
		unix.SetsockoptInt(f, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, 1),
		unix.SetsockoptInt(f, unix.IPPROTO_TCP, unix.TCP_KEEPCNT, 2))
}

// SetQuiet sets the quiet of a connection that was accepted. One that knows of none does without.
func SetQuiet(c net.Conn, quiet time.Duration) {
	switch c := c.(type) {
	case *net.TCPConn:
		if raw, err := c.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { setOptions(fd, quiet) })
		}
	case interface{ SetQuiet(time.Duration) }:
		c.SetQuiet(quiet)
	}
}
