package agent

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxBody bounds bodies either way.
const maxBody = 64 << 10

// errMalformed marks an answer that came but says nothing usable; the request may have run.
var errMalformed = errors.New("malformed answer")

// pool holds the connections to backends. It is no http.Transport since that sends a request again by
// itself when a reused connection turns out dead, which may run its effect twice.
type pool struct {
	maxIdle time.Duration // idle for longer, a connection is closed: before the backend does
	limit   int           // connections at the most; 0: no limit
	dialer  net.Dialer

	mu    sync.Mutex
	open  int
	idle  map[string][]*conn // by backend; the last used comes last
	epoch map[string]int     // connections of an earlier epoch do not return to the pool
}

// conn is one connection. A goroutine of its own reads it all its life, so that its end is noticed
// while it is idle too.
type conn struct {
	net.Conn
	backend string
	epoch   int
	in      *bufio.Reader
	room    io.LimitedReader // bounds what one answer may take, its head too; reads through end
	end     error            // how the connection ended, once its reader has seen that
	wait    *exchange        // guarded by pool.mu; nil while idle
	closed  bool             // guarded by pool.mu
}

// Read notes how the connection ended, since half a head looks like a malformed one to the codec.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if err != nil {
		c.end = err
	}
	return n, err
}

// exchange is one request on a connection.
type exchange struct {
	req   *http.Request
	cut   time.Time  // when the agent stops waiting
	reply chan reply // holds one
}

// reply is what came back: an answer, whole, or an error.
type reply struct {
	status int
	header http.Header
	body   []byte
	at     time.Time
	err    error
}

func newPool(maxIdle, connectTimeout time.Duration, limit int) *pool {
	return &pool{maxIdle: maxIdle, limit: limit, idle: map[string][]*conn{}, epoch: map[string]int{},
		dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}}
}

// take gives the most recently used idle connection to a backend; nil: there is none.
func (p *pool) take(backend string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[backend]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[backend] = list[:len(list)-1]
	c.wait = &exchange{reply: make(chan reply, 1)}
	return c
}

// dial opens a connection, within the pool's limit and time-out. It comes as take gives one.
func (p *pool) dial(ctx context.Context, backend, addr string, cut time.Time) (*conn, error) {
	p.mu.Lock()
	if p.limit > 0 && p.open >= p.limit && !p.evict() {
		p.mu.Unlock()
		return nil, errors.New("out of connections")
	}
	p.open++
	epoch := p.epoch[backend]
	p.mu.Unlock()
	d := p.dialer
	d.Deadline = cut
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	c := &conn{Conn: nc, backend: backend, epoch: epoch, wait: &exchange{reply: make(chan reply, 1)}}
	c.room.R = c
	c.in = bufio.NewReaderSize(&c.room, 4096)
	go p.read(c)
	return c, nil
}

// evict closes the idle connection that any backend has kept longest. The caller holds p.mu.
func (p *pool) evict() bool {
	for _, list := range p.idle {
		if len(list) > 0 {
			p.drop(list[0])
			return true
		}
	}
	return false
}

// send writes a request in one go and waits for its reply. written tells whether its last byte went out.
func (p *pool) send(ctx context.Context, c *conn, req *http.Request, raw []byte, cut time.Time) (r reply, written bool) {
	w := c.wait
	p.mu.Lock()
	w.req, w.cut = req, cut
	p.mu.Unlock()
	// The write's own deadline is the cut; so is the reader's, which then ends the exchange.
	c.SetDeadline(cut)
	if n, err := c.Write(raw); n < len(raw) {
		p.close(c)
		return reply{err: err, at: time.Now()}, false
	}
	select {
	case r = <-w.reply:
	case <-ctx.Done():
		p.close(c)
		r = reply{err: ctx.Err(), at: time.Now()}
	}
	return r, true
}

// read delivers the reply of each exchange on c and ends it with c.
func (p *pool) read(c *conn) {
	for {
		c.room.N, c.end = 2*maxBody, nil
		_, err := c.in.Peek(1)
		p.mu.Lock()
		w := c.wait
		if w == nil { // idle: its end, its idle time-out, or bytes that nobody asked for
			p.drop(c)
			p.mu.Unlock()
			return
		}
		// The idle time-out may fire just as the connection is taken; the exchange has its own.
		early := isTimeout(err) && (w.cut.IsZero() || time.Now().Before(w.cut)) && !c.closed
		req := w.req
		p.mu.Unlock()
		if early {
			continue
		}
		r := reply{err: err}
		again := false
		if err == nil && req == nil {
			r.err = errMalformed // an answer before the request
		} else if err == nil {
			r, again = readReply(c.in, req)
			if r.err != nil && c.end != nil {
				r.err = c.end
			}
		}
		r.at = time.Now()
		p.mu.Lock()
		c.wait = nil
		if !again || c.closed || c.epoch != p.epoch[c.backend] {
			p.drop(c)
			again = false
		} else {
			c.SetDeadline(r.at.Add(p.maxIdle))
			p.idle[c.backend] = append(p.idle[c.backend], c)
		}
		p.mu.Unlock()
		w.reply <- r
		if !again {
			return
		}
	}
}

// release puts back a connection that was taken and not used.
func (p *pool) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.wait = nil
	if c.closed {
		return
	}
	if c.epoch != p.epoch[c.backend] {
		p.drop(c)
		return
	}
	c.SetDeadline(time.Now().Add(p.maxIdle))
	p.idle[c.backend] = append(p.idle[c.backend], c)
}

// close ends a connection.
func (p *pool) close(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(c)
}

// drop closes a connection and forgets it. The caller holds p.mu.
func (p *pool) drop(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	p.open--
	c.Close()
	list := p.idle[c.backend]
	for i, o := range list {
		if o == c {
			p.idle[c.backend] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// retire ends the use of all connections to a backend that drains, is gone or was started again:
// those in use close when they are done.
func (p *pool) retire(backend string) {
	p.mu.Lock()
	p.epoch[backend]++
	p.mu.Unlock()
	p.closeIdle(backend)
}

// closeIdle closes the idle connections to a backend. One in use that still brings an answer is good.
func (p *pool) closeIdle(backend string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[backend] {
		c.closed = true
		p.open--
		c.Close()
	}
	delete(p.idle, backend)
}

// readReply reads one answer to its end, so that a half one is never passed on, and tells whether
// another may follow on the same connection.
func readReply(in *bufio.Reader, req *http.Request) (reply, bool) {
	resp, err := http.ReadResponse(in, req)
	if err != nil && !broken(err) {
		err = fmt.Errorf("%w: %w", errMalformed, err)
	}
	if err != nil {
		return reply{err: err}, false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	switch {
	case err != nil:
		return reply{err: err}, false
	case len(body) > maxBody || resp.StatusCode < 200:
		return reply{err: errMalformed}, false
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: body},
		!resp.Close && in.Buffered() == 0
}

// broken tells an error of the connection from one in what came over it.
func broken(err error) bool {
	var ne net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne)
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
