// Package links is a pool of TCP connections to backends: dialled within a limit, kept while they rest, looked at before they
// are used again. It reads and writes nothing. Start reading at Pool.
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

// Pool holds connections by key, which stands for a backend. It is no http.Transport since that sends a request again by
// itself when a reused connection turns out dead, which may run its effect twice.
//
// Nothing reads an idle connection: what comes on it answers no request, and must not pass for the answer
// to the next one. It is looked at when it is taken, and dropped if anything has come.
type Pool struct {
	// Control sets options on the socket of each connection that is dialled, before it connects; an error fails the dial. nil:
	// none are set. It is set before the first use.
	Control func(fd uintptr) error
	// Net, where it is not nil, has the connections dialled, with Quiet, and Control is not used. It is set before the first use.
	Net   sock.Net
	Quiet time.Duration
	// Now is the clock by which connections rest; nil: time.Now. It is set before the first use.
	Now func() time.Time

	mu      sync.Mutex
	maxIdle time.Duration // idle for longer, a connection is closed: before the backend does
	limit   int           // connections at the most; 0: no limit
	dialer  net.Dialer
	open    int
	lent    int               // connections whose long answers go on to their clients: they count among these, not in open
	groups  map[string]*group // by key, while it has connections
	timer   *time.Timer       // of the sweep; nil: there was none yet
	due     time.Time         // of the next sweep; zero: none is to come
}

// group is what is open to one backend. A retired one is no longer in the pool: the connections of it that
// are in use close when they are done.
type group struct {
	key     string
	idle    []*Conn // the last used comes last
	open    int     // idle, in use and being dialled
	retired bool
}

// Conn is one connection. Whoever takes or dials it has it alone, and gives it back by Release, ReleaseFor or Close of its pool;
// its own Close would leave it in the pool's count.
type Conn struct {
	net.Conn
	LastUser string // of its users, to know the last request on it by; the pool does not look at it
	group    *group
	since    time.Time     // idle from then on
	rest     time.Duration // that it may be idle for
	closed   bool          // guarded by Pool.mu
	keep     func() bool   // ends what CloseOn began, and reports whether it is still open; nil: nothing was begun
}

// CloseOnDone has the end of ctx close the connection until it is given back: whoever reads or writes there fails. One that was closed
// so is not taken up again. It is called once at the most each time that the connection is taken or dialled.
func (c *Conn) CloseOnDone(ctx context.Context) {
	c.keep = context.AfterFunc(ctx, func() { c.Conn.Close() })
}

// settle ends what CloseOn began, and reports whether the connection is still open.
func (c *Conn) settle() bool {
	open := c.keep == nil || c.keep()
	c.keep = nil
	return open
}

// Key is the key that it was dialled for.
func (c *Conn) Key() string { return c.group.key }

// IdleSince is when it was given back last; zero: it is freshly dialled.
func (c *Conn) IdleSince() time.Time { return c.since }

// New returns an empty pool. A connection that has been idle for maxIdle is closed; a dial takes connectTimeout at the most; and
// limit connections are open at the most, 0: no limit.
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

// Get gives the most recently used idle connection by a key that is good; nil: there is none.
func (p *Pool) Get(key string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for g := p.groups[key]; g != nil && len(g.idle) > 0; {
		c := g.idle[len(g.idle)-1]
		g.idle = g.idle[:len(g.idle)-1]
		// Guards against an end that nobody has seen, and against bytes behind the last answer.
		if quiet, _ := sock.Look(c.Conn); quiet && p.now().Sub(c.since) < min(p.maxIdle, c.rest) {
			return c
		}
		p.drop(c)
	}
	return nil
}

// Dial opens a connection to an address, within the pool's limit and time-out, by cut and while ctx lasts. At the limit the one
// that has been idle for longest closes for it; none being idle is an error too.
func (p *Pool) Dial(ctx context.Context, key, addr string, cut time.Time) (*Conn, error) {
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
	d.Deadline = cut
	if p.Control != nil {
		d.Control = p.control
	}
	nc, err := p.dial(ctx, d, addr)
	if err != nil {
		p.mu.Lock()
		p.forget(g)
		p.mu.Unlock()
		return nil, err
	}
	return &Conn{Conn: nc, group: g}, nil
}

func (p *Pool) dial(ctx context.Context, d net.Dialer, addr string) (net.Conn, error) {
	if p.Net == nil {
		return d.DialContext(ctx, "tcp", addr)
	}
	end := time.Now().Add(d.Timeout)
	if !d.Deadline.IsZero() && d.Deadline.Before(end) {
		end = d.Deadline
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	return p.Net.Dial(ctx, addr, p.Quiet)
}

// control has Control see the socket of a dial.
func (p *Pool) control(_, _ string, c syscall.RawConn) error {
	var failed error
	if err := c.Control(func(fd uintptr) { failed = p.Control(fd) }); err != nil {
		return err
	}
	return failed
}

// SetTimeouts sets how long connections may rest, and dials may take, from now on.
func (p *Pool) SetTimeouts(maxIdle, connectTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle, p.dialer.Timeout = maxIdle, connectTimeout
}

// SetLimit sets the limit; 0: none. Idle connections beyond it close; those in use close when more are wanted.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for limit > 0 && p.open > limit && p.evict() {
	}
}

// evict closes the connection that has been idle for longest. The caller holds p.mu.
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

// Release puts back a connection on which nothing is under way.
func (p *Pool) Release(c *Conn) { p.ReleaseFor(c, math.MaxInt64) }

// ReleaseFor is Release for a connection that may be idle for so long at the most, as its server has announced it; the pool's
// own bound holds too. One that may not rest at all is closed.
func (p *Pool) ReleaseFor(c *Conn, rest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed {
		return
	}
	if !c.settle() || rest <= 0 || c.group.retired || p.limit > 0 && p.open > p.limit {
		p.drop(c)
		return
	}
	c.SetDeadline(time.Time{})
	c.since, c.rest = p.now(), rest
	c.group.idle = append(c.group.idle, c)
	p.sweepIn(c.since, min(p.maxIdle, rest))
}

// sweepIn sees to it that connections which are idle for too long are closed, in d from now or before. The caller holds p.mu.
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

func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.due = time.Time{}
	now := p.now()
	next := time.Duration(-1)
	for _, g := range p.groups {
		g.idle = slices.DeleteFunc(g.idle, func(c *Conn) bool {
			left := min(p.maxIdle, c.rest) - now.Sub(c.since)
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

// Close ends a connection that was taken or dialled.
func (p *Pool) Close(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(c)
}

// BeginStreaming takes a connection off the count while its answer goes on to a client who may take his time; Settle ends that. Guards
// against slow readers that hold all connections to backends: short requests found none.
func (p *Pool) BeginStreaming() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.lent++
}

// EndStreaming puts a connection that was lent back on the count.
func (p *Pool) EndStreaming() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	p.lent--
}

// OpenCount is how many connections are open or being dialled, without those that are lent.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Streaming is how many are lent.
func (p *Pool) Streaming() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lent
}

// IdleCount is how many connections by a key are idle.
func (p *Pool) IdleCount(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.groups[key]; g != nil {
		return len(g.idle)
	}
	return 0
}

// drop closes a connection that is in no list and forgets it. The caller holds p.mu.
func (p *Pool) drop(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	c.settle()
	c.Close()
	p.forget(c.group)
}

// forget takes one connection off the count; a backend's last takes its group along. The caller holds p.mu.
func (p *Pool) forget(g *group) {
	p.open--
	if g.open--; g.open == 0 && p.groups[g.key] == g {
		delete(p.groups, g.key)
	}
}

// Retire ends the use of all connections by the key of a backend that drains, is gone or was started again:
// those in use close when they are done.
func (p *Pool) Retire(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g := p.groups[key]; g != nil {
		p.dropIdle(g, p.now())
		g.retired = true
		delete(p.groups, key)
	}
}

// CloseIdle closes the idle connections by a key. One in use that still brings an answer is good.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(p.groups[key], p.now())
}

// CloseIdleBefore closes those that have been idle since then or longer.
func (p *Pool) CloseIdleBefore(key string, then time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(p.groups[key], then)
}

// dropIdle closes what has been idle since then or longer. The caller holds p.mu.
func (p *Pool) dropIdle(g *group, then time.Time) {
	for g != nil && len(g.idle) > 0 && !g.idle[0].since.After(then) {
		c := g.idle[0]
		g.idle = g.idle[1:]
		p.drop(c)
	}
}
