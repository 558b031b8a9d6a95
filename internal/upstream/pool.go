package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"saltmast/internal/sock"
)

// pool holds the connections to backends. It is no http.Transport since that sends a request again by
// itself when a reused connection turns out dead, which may run its effect twice.
//
// Nothing reads an idle connection: what comes on it answers no request, and must not pass for the answer
// to the next one. It is looked at when it is taken, and dropped if anything has come.
type pool struct {
	mu       sync.Mutex
	maxIdle  time.Duration // idle for longer, a connection is closed: before the backend does
	limit    int           // connections at the most; 0: no limit
	dialer   net.Dialer
	open     int
	lent     int               // connections whose long answers go on to their clients: they count among these, not in open
	groups   map[string]*group // by backend, while it has connections
	sweeping bool
}

// group is what is open to one backend. A retired one is no longer in the pool: the connections of it that
// are in use close when they are done.
type group struct {
	backend string
	idle    []*conn // the last used comes last
	open    int     // idle, in use and being dialled
	retired bool
}

// conn is one connection.
type conn struct {
	net.Conn
	group  *group
	since  time.Time // idle from then on
	closed bool      // guarded by pool.mu
}

func newPool(maxIdle, connectTimeout time.Duration, limit int) *pool {
	return &pool{maxIdle: maxIdle, limit: limit, groups: map[string]*group{},
		dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}}
}

// take gives the most recently used idle connection to a backend that is good; nil: there is none.
func (p *pool) take(backend string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for g := p.groups[backend]; g != nil && len(g.idle) > 0; {
		c := g.idle[len(g.idle)-1]
		g.idle = g.idle[:len(g.idle)-1]
		// Guards against an end that nobody has seen, and against bytes behind the last answer.
		if quiet, _ := sock.Look(c.Conn); quiet && time.Since(c.since) < p.maxIdle {
			return c
		}
		p.drop(c)
	}
	return nil
}

// dial opens a connection, within the pool's limit and time-out.
func (p *pool) dial(ctx context.Context, backend, addr string, cut time.Time) (*conn, error) {
	p.mu.Lock()
	if p.limit > 0 && p.open >= p.limit && !p.evict() {
		p.mu.Unlock()
		return nil, errors.New("out of connections")
	}
	g := p.groups[backend]
	if g == nil {
		g = &group{backend: backend}
		p.groups[backend] = g
	}
	g.open++
	p.open++
	d := p.dialer
	p.mu.Unlock()
	d.Deadline = cut
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.forget(g)
		p.mu.Unlock()
		return nil, err
	}
	return &conn{Conn: nc, group: g}, nil
}

// retune sets how long connections may rest, and dials may take, from now on.
func (p *pool) retune(maxIdle, connectTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle, p.dialer.Timeout = maxIdle, connectTimeout
}

// setLimit sets the limit. Idle connections beyond it close; those in use close when more are wanted.
func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for limit > 0 && p.open > limit && p.evict() {
	}
}

// evict closes the connection that has been idle for longest. The caller holds p.mu.
func (p *pool) evict() bool {
	var oldest *conn
	for _, g := range p.groups {
		if len(g.idle) > 0 && (oldest == nil || g.idle[0].since.Before(oldest.since)) {
			oldest = g.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.group.idle = oldest.group.idle[1:]
	p.drop(oldest)
	return true
}

// release puts back a connection on which nothing is under way.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed {
		return
	}
	if c.group.retired || p.limit > 0 && p.open > p.limit {
		p.drop(c)
		return
	}
	c.SetDeadline(time.Time{})
	c.since = time.Now()
	c.group.idle = append(c.group.idle, c)
	p.sweepIn(p.maxIdle)
}

// sweepIn sees to it that connections which are idle for too long are closed. The caller holds p.mu.
func (p *pool) sweepIn(d time.Duration) {
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(d, p.sweep)
	}
}

func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweeping = false
	now := time.Now()
	next := time.Duration(-1)
	for _, g := range p.groups {
		for len(g.idle) > 0 && now.Sub(g.idle[0].since) >= p.maxIdle {
			c := g.idle[0]
			g.idle = g.idle[1:]
			p.drop(c)
		}
		if len(g.idle) > 0 {
			if left := p.maxIdle - now.Sub(g.idle[0].since); next < 0 || left < next {
				next = left
			}
		}
	}
	if next >= 0 {
		p.sweepIn(next)
	}
}

// close ends a connection that was taken or dialled.
func (p *pool) close(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(c)
}

// lend takes a connection off the count while its answer goes on to a client who may take his time; settle ends that. Guards
// against slow readers that hold all connections to backends: short requests found none.
func (p *pool) lend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.lent++
}

func (p *pool) settle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	p.lent--
}

// drop closes a connection that is in no list and forgets it. The caller holds p.mu.
func (p *pool) drop(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	c.Close()
	p.forget(c.group)
}

// forget takes one connection off the count; a backend's last takes its group along. The caller holds p.mu.
func (p *pool) forget(g *group) {
	p.open--
	if g.open--; g.open == 0 && p.groups[g.backend] == g {
		delete(p.groups, g.backend)
	}
}

// retire ends the use of all connections to a backend that drains, is gone or was started again:
// those in use close when they are done.
func (p *pool) retire(backend string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.groups[backend]; g != nil {
		p.dropIdle(g, time.Now())
		g.retired = true
		delete(p.groups, backend)
	}
}

// closeIdle closes the idle connections to a backend. One in use that still brings an answer is good.
func (p *pool) closeIdle(backend string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(p.groups[backend], time.Now())
}

// closeIdleSince closes those that have been idle since then or longer.
func (p *pool) closeIdleSince(backend string, then time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(p.groups[backend], then)
}

// dropIdle closes what has been idle since then or longer. The caller holds p.mu.
func (p *pool) dropIdle(g *group, then time.Time) {
	for g != nil && len(g.idle) > 0 && !g.idle[0].since.After(then) {
		c := g.idle[0]
		g.idle = g.idle[1:]
		p.drop(c)
	}
}
