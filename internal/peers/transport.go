package peers

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is memberlist's own, but that connections come from the address that is bound, and that none brings more than
// a bound: memberlist reads a state whole before anybody looks at its size.
type transport struct {
	*memberlist.NetTransport
	dialer  net.Dialer
	most    int64
	streams chan net.Conn
	done    chan struct{} // closed when it is to end: what comes from then on is closed
	ended   chan struct{} // closed when nothing comes any more
	once    sync.Once
}

// errTooMuch ends a connection that brings more than any state may have.
var errTooMuch = errors.New("larger than a state may be")

func newTransport(c *memberlist.Config, host string, most int) (*transport, error) {
	n, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: c.BindPort, Logger: c.Logger})
	if err != nil {
		return nil, err
	}
	t := &transport{NetTransport: n, most: int64(most), streams: make(chan net.Conn), done: make(chan struct{}), ended: make(chan struct{})}
	if ip := net.ParseIP(host); !ip.IsUnspecified() {
		t.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	go t.bound()
	return t, nil
}

// bound passes on the connections that come, each with the bound. It takes what comes until the listener has ended, which
// waits for good to hand over a connection that it has accepted.
func (t *transport) bound() {
	for {
		select {
		case c := <-t.NetTransport.StreamCh():
			select {
			case t.streams <- &bounded{Conn: c, left: t.most}:
			case <-t.done:
				c.Close()
			}
		case <-t.ended:
			return
		}
	}
}

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	return t.DialAddressTimeout(memberlist.Address{Addr: addr}, timeout)
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	d := t.dialer
	d.Timeout = timeout
	c, err := d.Dial("tcp", a.Addr)
	if err != nil {
		return nil, err
	}
	return &bounded{Conn: c, left: t.most}, nil
}

// Shutdown implements memberlist.Transport.
func (t *transport) Shutdown() error {
	var err error
	t.once.Do(func() {
		close(t.done)
		err = t.NetTransport.Shutdown()
		close(t.ended)
	})
	return err
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
