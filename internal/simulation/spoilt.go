package simulation

import (
	"encoding/binary"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"saltmast/internal/errcode"
	"saltmast/internal/messages"
	"saltmast/internal/rpc"
	"saltmast/internal/sock"
)

// spoilt is a harbourmaster's network, in a flawed world one that changes what it tells or hears.
func (c *coreMachine) spoilt(n sock.Net) sock.Net {
	if c.w.flaw.News == nil && !c.w.flaw.Deaf {
		return n
	}
	return &spoiltNet{n, c}
}

type spoiltNet struct {
	sock.Net
	c *coreMachine
}

func (n *spoiltNet) Listen(addr string, quiet time.Duration) (net.Listener, error) {
	l, err := n.Net.Listen(addr, quiet)
	flaw := n.c.w.flaw
	switch {
	case err != nil:
	case flaw.News != nil && strings.HasSuffix(addr, ":"+strconv.Itoa(firstFree+messages.RegistryPort)):
		return &spoiltListener{l, func(x net.Conn) net.Conn { return &toldConn{x, n.c} }}, nil
	case flaw.Deaf && strings.HasSuffix(addr, ":"+portControl):
		return &spoiltListener{l, func(x net.Conn) net.Conn { return &deafConn{x, make(chan struct{})} }}, nil
	}
	return l, err
}

type spoiltListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (l *spoiltListener) Accept() (net.Conn, error) {
	x, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.wrap(x), nil
}

// spoilt is a proxy's network, in a flawed world one that does not tell who has left.
func (m *tugMachine) spoilt(n sock.Net) sock.Net {
	if m.w.flaw.Blind == nil {
		return n
	}
	return &blindNet{n, m.w.flaw.Blind}
}

type blindNet struct {
	sock.Net
	at func(addr string) bool
}

func (n *blindNet) Listen(addr string, quiet time.Duration) (net.Listener, error) {
	l, err := n.Net.Listen(addr, quiet)
	if err != nil || !n.at(addr) {
		return l, err
	}
	return &spoiltListener{l, func(x net.Conn) net.Conn { return blindConn{x} }}, nil
}

// blindConn can't be looked at without reading.
type blindConn struct{ net.Conn }

// toldConn changes the news that pass. Frames are written whole (package signal).
type toldConn struct {
	net.Conn
	c *coreMachine
}

func (t *toldConn) Write(b []byte) (int, error) {
	var out []byte
	for rest := b; len(rest) >= 10; {
		n := 4 + int(binary.BigEndian.Uint32(rest))
		head, body := rest[:10], rest[10:n]
		rest = rest[n:]
		var news messages.PullReply
		if head[8] == messages.Pull && errcode.Kind(head[9]) == errcode.OK && rpc.Decode(body, &news) == nil {
			t.c.w.flaw.News(t.c, &news)
			body = rpc.Encode(news)
		}
		out = binary.BigEndian.AppendUint32(out, uint32(6+len(body)))
		out = append(append(out, head[4:]...), body...)
	}
	if _, err := t.Conn.Write(out); err != nil {
		return 0, err
	}
	return len(b), nil
}

// deafConn never ends by the other side's word.
type deafConn struct {
	net.Conn
	over chan struct{}
}

func (d *deafConn) Read(b []byte) (int, error) {
	n, err := d.Conn.Read(b)
	if err == io.EOF {
		select {
		case <-d.over:
		case <-time.After(5 * time.Second):
		}
	}
	return n, err
}

func (d *deafConn) Close() error {
	select {
	case <-d.over:
	default:
		close(d.over)
	}
	return d.Conn.Close()
}
