// Package links implements a pool of TCP connections to backends: dialed within a limit, kept while idle, and checked before they are
// reused. The pool itself neither reads nor writes. Start reading at Pool.
package links

import (
	"context"
	"errors"
	"math"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"saltmast/internal/sock"
)

// Pool holds connections by key; a key stands for a backend. It replaces http.Transport, which resends a request by itself when a
// reused connection turns out to be dead, and may so execute it twice. A Pool is safe for concurrent use.
//
// Nothing reads an idle connection. Bytes that arrive on one answer no request and must not be taken for the answer to the next one:
// Get checks a connection and drops it if anything has arrived.
type Pool struct {
	// Control sets options on the socket of each dialed connection before it connects; an error fails the dial. It may be nil, and
	// must be set before the first use.
	Control func(fd uintptr) error
	// Net, if not nil, dials the connections, with Quiet as its argument, and Control is not used. Both must be set before the first
	// use.
	Net   sock.Net
	Quiet time.Duration
	// Now is the clock for idle times; nil means time.Now. It must be set before the first use.
	Now func() time.Time

	mu        sync.Mutex
	maxIdle   time.Duration // after which an idle connection is closed: before the backend closes it
	limit     int           // of open connections; 0: no limit
	dialer    net.Dialer
	open      int               // connections open or being dialed, without those streaming
	streaming int               // connections whose long answers are being passed on to clients
	groups    map[string]*group // by key, while it has connections
	timer     *time.Timer       // of the sweep; nil before the first
	due       time.Time         // of the next sweep; zero if none is scheduled
}

// group is the connections to one backend. A retired group is no longer in the pool: its connections in use are closed when they are
// given back.
type group struct {
	key     string
	idle    []*Conn // most recently used last
	open    int     // idle, in use and being dialed
	retired bool
}

// Conn is one connection. The caller of Get or Dial has exclusive use of it and gives it back with Release, ReleaseFor or Close of the
// pool; the Conn's own Close would leave it in the pool's count.
type Conn struct {
	net.Conn
	LastRequestID string // ID of the last request on the connection, set by users; not used by the pool
	group         *group
	since         time.Time     // when it was last given back
	maxIdle       time.Duration // how long it may be idle
	closed        bool          // guarded by Pool.mu
	cancel        func() bool   // undoes CloseOnDone, and reports whether the connection is still open; nil if CloseOnDone was not called
}

// CloseOnDone closes the connection when ctx ends before the connection is given back, so that its reads and writes fail. The pool
// does not reuse a connection closed in this way. It may be called once after each Get or Dial.
func (c *Conn) CloseOnDone(ctx context.Context) {
	c.cancel = context.AfterFunc(ctx, func() { c.Conn.Close() })
}

// cancelClose undoes CloseOnDone, and reports whether the connection is still open.
func (c *Conn) cancelClose() bool {
	open := c.cancel == nil || c.cancel()
	c.cancel = nil
	return open
}

// Key returns the key for which the connection was dialed.
func (c *Conn) Key() string { return c.group.key }

// IdleSince returns when the connection was last given back, or the zero time if it is freshly dialed.
func (c *Conn) IdleSince() time.Time { return c.since }

// New returns an empty pool. Connections idle for maxIdle are closed, a dial takes at most connectTimeout, and at most limit
// connections are open at once; 0 means no limit.
func New(maxIdle, connectTimeout time.Duration, limit int) *Pool {
	return &Pool{maxIdle: maxIdle, limit: limit, groups: map[string]*group{},
		dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}}
}

func (p *Pool) now() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

// Get returns the most recently used idle connection of a key that is still usable, or nil if there is none.
func (p *Pool) Get(key string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for g := p.groups[key]; g != nil && len(g.idle) > 0; {
		c := g.idle[len(g.idle)-1]
		g.idle = g.idle[:len(g.idle)-1]
		// Guards against a close that went unnoticed, and against bytes after the last answer.
		if quiet, _ := sock.Look(c.Conn); quiet && p.now().Sub(c.since) < min(p.maxIdle, c.maxIdle) {
			return c
		}
		p.drop(c)
	}
	return nil
}

// Dial opens a connection to an address, within the pool's limit and timeout, before the deadline and while ctx lasts. At the limit it
// closes the longest idle connection first, and fails if none is idle.
func (p *Pool) Dial(ctx context.Context, key, addr string, deadline time.Time) (*Conn, error) {
	p.mu.Lock()
	if p.limit > 0 && p.open >= p.limit && !p.evict() {
		p.mu.Unlock()
		return nil, errors.New("out of connections")
	}
	g := p.groups[key]
	if g == nil {
		g = &group{key: key}
		p.groups[key] = g
	}
	g.open++
	p.open++
	d := p.dialer
	p.mu.Unlock()
	d.Deadline = deadline
	if p.Control != nil {
		d.Control = p.control
	}
	conn, err := p.dial(ctx, d, addr)
	if err != nil {
		p.mu.Lock()
		p.forget(g)
		p.mu.Unlock()
		return nil, err
	}
	return &Conn{Conn: conn, group: g}, nil
}

func (p *Pool) dial(ctx context.Context, d net.Dialer, addr string) (net.Conn, error) {
	if p.Net == nil {
		return d.DialContext(ctx, "tcp", addr)
	}
	deadline := time.Now().Add(d.Timeout)
	if !d.Deadline.IsZero() && d.Deadline.Before(deadline) {
		deadline = d.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	return p.Net.Dial(ctx, addr, p.Quiet)
}

// control calls Control on the socket of a dial.
func (p *Pool) control(_, _ string, c syscall.RawConn) error {
	var controlErr error
	if err := c.Control(func(fd uintptr) { controlErr = p.Control(fd) }); err != nil {
		return err
	}
	return controlErr
}

// SetTimeouts sets how long connections may be idle and dials may take from now on.
func (p *Pool) SetTimeouts(maxIdle, connectTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle, p.dialer.Timeout = maxIdle, connectTimeout
}

// SetLimit sets the limit; 0 means none. Idle connections beyond it are closed now, those in use when they are given back.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for limit > 0 && p.open > limit && p.evict() {
	}
}

// evict closes the longest idle connection, and reports whether there was one. The caller holds p.mu.
func (p *Pool) evict() bool {
	var oldest *Conn
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

// Release returns a connection to the pool. No request may be in progress on it.
func (p *Pool) Release(c *Conn) { p.ReleaseFor(c, math.MaxInt64) }

// ReleaseFor is like Release for a connection that its server keeps open for at most maxIdle; the pool's own bound applies too. If
// maxIdle is not above 0, the connection is closed.
func (p *Pool) ReleaseFor(c *Conn, maxIdle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed {
		return
	}
	if !c.cancelClose() || maxIdle <= 0 || c.group.retired || p.limit > 0 && p.open > p.limit {
		p.drop(c)
		return
	}
	c.SetDeadline(time.Time{})
	c.since, c.maxIdle = p.now(), maxIdle
	c.group.idle = append(c.group.idle, c)
	p.sweepIn(c.since, min(p.maxIdle, maxIdle))
}

// sweepIn schedules a sweep in d from now unless an earlier one is due. The caller holds p.mu.
func (p *Pool) sweepIn(now time.Time, d time.Duration) {
	due := now.Add(d)
	switch {
	case p.timer == nil:
		p.timer = time.AfterFunc(d, p.sweep)
	case p.due.IsZero() || due.Before(p.due):
		p.timer.Reset(d)
	default:
		return
	}
	p.due = due
}

// sweep closes connections that have been idle for too long, and schedules the next sweep if any are left idle.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.due = time.Time{}
	now := p.now()
	next := time.Duration(-1)
	for _, g := range p.groups {
		g.idle = slices.DeleteFunc(g.idle, func(c *Conn) bool {
			left := min(p.maxIdle, c.maxIdle) - now.Sub(c.since)
			if left <= 0 {
				p.drop(c)
				return true
			}
			if next < 0 || left < next {
				next = left
			}
			return false
		})
	}
	if next >= 0 {
		p.sweepIn(now, next)
	}
}

// Close closes a connection obtained from Get or Dial.
func (p *Pool) Close(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(c)
}

// BeginStreaming takes a connection off the count while its answer is passed on to a client that may read slowly, until EndStreaming.
// Guards against slow readers that occupy all connections to backends: short requests found none.
func (p *Pool) BeginStreaming() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.streaming++
}

// EndStreaming puts a connection back on the count after BeginStreaming.
func (p *Pool) EndStreaming() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	p.streaming--
}

// OpenCount returns the number of connections open or being dialed, without those streaming.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Streaming returns the number of connections between BeginStreaming and EndStreaming.
func (p *Pool) Streaming() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streaming
}

// IdleCount returns the number of idle connections of a key.
func (p *Pool) IdleCount(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.groups[key]; g != nil {
		return len(g.idle)
	}
	return 0
}

// drop closes a connection that is in no idle list and takes it off the count. The caller holds p.mu.
func (p *Pool) drop(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	c.cancelClose()
	c.Close()
	p.forget(c.group)
}

// forget takes one connection off the count, and removes its group if that was the last. The caller holds p.mu.
func (p *Pool) forget(g *group) {
	p.open--
	if g.open--; g.open == 0 && p.groups[g.key] == g {
		delete(p.groups, g.key)
	}
}

// Retire stops the use of all connections of the key of a backend that drains, is gone or has restarted: idle ones are closed now,
// those in use when they are given back.
func (p *Pool) Retire(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.groups[key]; g != nil {
		p.dropIdle(g, p.now())
		g.retired = true
		delete(p.groups, key)
	}
}

// CloseIdle closes the idle connections of a key. Those in use may still deliver an answer and stay open.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(p.groups[key], p.now())
}

// CloseIdleBefore closes the connections of a key that have been idle since then or longer.
func (p *Pool) CloseIdleBefore(key string, then time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(p.groups[key], then)
}

// dropIdle closes the connections of a group that have been idle since then or longer. The group may be nil. The caller holds p.mu.
func (p *Pool) dropIdle(g *group, then time.Time) {
	for g != nil && len(g.idle) > 0 && !g.idle[0].since.After(then) {
		c := g.idle[0]
		g.idle = g.idle[1:]
		p.drop(c)
	}
}
