package drive

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"saltmast/internal/sock"
)

// errFull is the error of a request for which no connection was free.
var errFull = errors.New("no connection is free")

// conns are the connections to one target. Each carries one request at a time; a kept one is looked at before it is used
// again. No library's pool: those send a request again by themselves when a kept connection turns out dead, and what is
// sent twice is not the load that was recorded.
type conns struct {
	addr string
	most int

	mu   sync.Mutex
	idle []*conn
	open int
	made int
}

type conn struct {
	net.Conn
	in *bufio.Reader
}

// take gives a kept connection or a new one. kept: it has been used before.
func (p *conns) take(ctx context.Context, within time.Duration, fresh bool) (c *conn, kept bool, err error) {
	p.mu.Lock()
	for !fresh && len(p.idle) > 0 {
		c = p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if quiet, _ := sock.Look(c.Conn); quiet && c.in.Buffered() == 0 {
			p.mu.Unlock()
			return c, true, nil
		}
		c.Close()
		p.open--
	}
	if p.open >= p.most {
		p.mu.Unlock()
		return nil, false, errFull
	}
	p.open++
	p.made++
	p.mu.Unlock()
	d := net.Dialer{Timeout: within}
	nc, err := d.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, false, err
	}
	return &conn{Conn: nc, in: bufio.NewReaderSize(nc, 2048)}, false, nil
}

// keep puts a connection back.
func (p *conns) keep(c *conn) {
	c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// drop ends a connection.
func (p *conns) drop(c *conn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// close ends all that rest.
func (p *conns) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		c.Close()
		p.open--
	}
	p.idle = nil
}
