package network

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// never is the arrival of what a cut path holds.
var never = time.Unix(1<<40, 0)

type seg struct {
	at   time.Time
	data []byte
}

// half is what comes in at one end.
type half struct {
	segs  []seg
	size  int // bytes in segs
	last  time.Time
	fin   bool
	finAt time.Time
	rst   bool
	rstAt time.Time
}

// Conn is one end of a connection. Sea.mu guards all of it.
type Conn struct {
	p             *Process
	peer          *Conn
	peerM         *Machine
	local, remote *net.TCPAddr
	quiet         time.Duration
	in            half
	note          chan struct{} // closed with each change
	rd, wd        time.Time
	closed        bool  // by its own side
	gone          bool  // its machine lost power
	wrote         bool  // it closed its half
	broken        error // by the quiet
	heard         time.Time
	counting      bool // the silence of what was sent
	probing       bool // the silence of a connection that rests
	deaf          bool // it sent what nobody can acknowledge
}

func (c *Conn) trip() time.Duration { return c.sea().latency(c.p.m, c.peerM) }

func (c *Conn) sea() *Sea { return c.p.m.s }

// wake wakes all who wait at this end.
func (c *Conn) wake() {
	close(c.note)
	c.note = make(chan struct{})
}

// arrival is when n bytes sent now to this end arrive: in order, and not while its path is cut.
func (c *Conn) arrival(n int) time.Time {
	if !c.sea().passes(c.peerM, c.p.m) {
		return never
	}
	s := c.sea()
	at := time.Now().Add(s.passage(c.peerM, c.p.m, n) + s.repair(c.peerM, c.p.m, n))
	if at.Before(c.in.last) {
		at = c.in.last
	}
	c.in.last = at
	return at
}

func (c *Conn) err(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp4", Source: c.local, Addr: c.remote, Err: err}
}

// state is an error that holds for reads and writes alike.
func (c *Conn) state() error {
	switch {
	case c.closed:
		return net.ErrClosed
	case c.gone:
		return syscall.ENETDOWN
	case c.broken != nil:
		return c.broken
	}
	return nil
}

// ready is how many bytes have arrived.
func (c *Conn) ready(now time.Time) (n int) {
	for _, s := range c.in.segs {
		if s.at.After(now) {
			break
		}
		n += len(s.data)
	}
	return n
}

// wait waits until the note, or one of the times. The caller does not hold the lock.
func wait(note chan struct{}, times ...time.Time) {
	var first time.Time
	for _, t := range times {
		if !t.IsZero() && !t.Equal(never) && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	if first.IsZero() {
		<-note
		return
	}
	t := time.NewTimer(time.Until(first))
	defer t.Stop()
	select {
	case <-note:
	case <-t.C:
	}
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	s := c.sea()
	for {
		s.mu.Lock()
		now := time.Now()
		if err := c.state(); err != nil {
			s.mu.Unlock()
			return 0, c.err("read", err)
		}
		if !c.rd.IsZero() && !c.rd.After(now) {
			s.mu.Unlock()
			return 0, c.err("read", os.ErrDeadlineExceeded)
		}
		if len(b) == 0 {
			s.mu.Unlock()
			return 0, nil
		}
		var next time.Time
		if !c.p.m.frozen {
			n := 0
			for n < len(b) && len(c.in.segs) > 0 && !c.in.segs[0].at.After(now) {
				k := copy(b[n:], c.in.segs[0].data)
				n += k
				if k == len(c.in.segs[0].data) {
					c.in.segs = c.in.segs[1:]
				} else {
					c.in.segs[0].data = c.in.segs[0].data[k:]
				}
			}
			if n > 0 {
				full := c.in.size >= window
				c.in.size -= n
				if full {
					c.peer.wake()
				}
				s.mu.Unlock()
				return n, nil
			}
			if c.in.rst && !c.in.rstAt.After(now) {
				s.mu.Unlock()
				return 0, c.err("read", syscall.ECONNRESET)
			}
			if len(c.in.segs) == 0 && c.in.fin && !c.in.finAt.After(now) {
				s.mu.Unlock()
				return 0, io.EOF
			}
			switch {
			case len(c.in.segs) > 0:
				next = c.in.segs[0].at
			case c.in.fin:
				next = c.in.finAt
			}
			if c.in.rst && (next.IsZero() || c.in.rstAt.Before(next)) {
				next = c.in.rstAt
			}
		}
		note, rd := c.note, c.rd
		s.mu.Unlock()
		wait(note, next, rd)
	}
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	s := c.sea()
	done := 0
	var full time.Time // since when the other side has taken nothing
	for {
		s.mu.Lock()
		now := time.Now()
		if err := c.state(); err != nil {
			s.mu.Unlock()
			return done, c.err("write", err)
		}
		if c.in.rst && !c.in.rstAt.After(now) {
			s.mu.Unlock()
			return done, c.err("write", syscall.ECONNRESET)
		}
		if c.wrote {
			s.mu.Unlock()
			return done, c.err("write", syscall.EPIPE)
		}
		if !c.wd.IsZero() && !c.wd.After(now) {
			s.mu.Unlock()
			return done, c.err("write", os.ErrDeadlineExceeded)
		}
		p := c.peer
		if !c.p.m.frozen {
			if p.closed || p.gone { // it arrives at nobody's, and a reset comes back
				if !c.in.rst {
					c.in.rst, c.in.rstAt = true, never
					if s.open(c.p.m, c.peerM) {
						c.in.rstAt = now.Add(2 * c.trip())
					}
					c.wake()
					c.suspect()
				}
				if p.in.size < window { // else it waits for room, and hears of the reset
					s.mu.Unlock()
					return len(b), nil
				}
			} else if room := window - p.in.size; room > 0 {
				k := min(room, len(b)-done)
				at := p.arrival(k)
				p.in.segs = append(p.in.segs, seg{at, append([]byte(nil), b[done:done+k]...)})
				p.in.size += k
				done += k
				full = now
				if !s.passes(c.peerM, c.p.m) { // nobody acknowledges what it sends
					c.deaf = true
				}
				if at.Equal(never) || c.deaf {
					c.suspect()
				}
				p.wake()
				if done == len(b) {
					s.mu.Unlock()
					return done, nil
				}
			}
		}
		var given time.Time // up, where its quiet bounds that: a window that stays shut counts as silence
		if c.quiet > 0 {
			if full.IsZero() {
				full = now
			}
			if p.in.last.After(full) { // until then bytes arrive, and are acknowledged
				full = p.in.last
			}
			if given = full.Add(c.quiet); !given.After(now) {
				c.broken = syscall.ETIMEDOUT
				if !p.in.rst && !p.gone {
					p.lose()
					p.in.rst, p.in.rstAt = true, p.arrival(0)
					p.wake()
				}
				s.mu.Unlock()
				return done, c.err("write", c.broken)
			}
		}
		var rst time.Time
		if c.in.rst {
			rst = c.in.rstAt
		}
		note, wd := c.note, c.wd
		s.mu.Unlock()
		wait(note, wd, rst, given)
	}
}

// suspect begins to count the silence of a path that is cut, at an end that bounds it.
func (c *Conn) suspect() {
	for _, x := range []*Conn{c, c.peer} {
		if x.quiet == 0 || x.closed || x.gone {
			continue
		}
		if !x.counting && x.held() {
			x.counting = true
			time.AfterFunc(x.quiet, func() { x.silent(true) })
		}
		if !x.probing {
			x.probing = true
			time.AfterFunc(max(x.quiet, probes), func() { x.silent(false) })
		}
	}
}

// probes is how long a connection that rests is silent before it ends.
const probes = 3 * time.Second

// held reports whether what this end sent is held by a cut, or its acknowledgement is.
func (c *Conn) held() bool {
	if c.deaf {
		return true
	}
	for _, x := range c.peer.in.segs {
		if x.at.Equal(never) {
			return true
		}
	}
	return false
}

// silent ends a connection whose path is still cut with bytes on it, or with none after probes.
func (c *Conn) silent(bytes bool) {
	s := c.sea()
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes {
		c.counting = false
	} else {
		c.probing = false
	}
	if c.closed || c.gone || c.broken != nil || s.open(c.p.m, c.peerM) {
		return
	}
	if bytes && !c.held() {
		return
	}
	c.broken = syscall.ETIMEDOUT
	c.wake()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	s := c.sea()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed {
		return c.err("close", net.ErrClosed)
	}
	c.close()
	return nil
}

// close closes it as the system would: by a reset where bytes are unread.
func (c *Conn) close() {
	if c.closed {
		return
	}
	if c.in.size > 0 {
		c.reset()
		return
	}
	c.closed = true
	c.finish()
	c.forget()
}

func (c *Conn) reset() {
	if c.closed {
		return
	}
	c.closed = true
	if p := c.peer; !p.in.rst && !p.gone {
		p.lose()
		p.in.rst, p.in.rstAt = true, p.arrival(0)
		p.wake()
	}
	c.forget()
}

// lose drops what a cut holds on its way to this end.
func (c *Conn) lose() {
	kept := c.in.segs[:0]
	for _, x := range c.in.segs {
		if x.at.Equal(never) {
			c.in.size -= len(x.data)
			continue
		}
		kept = append(kept, x)
	}
	c.in.segs = kept
}

// finish ends its own half.
func (c *Conn) finish() {
	if c.wrote || c.gone {
		return
	}
	c.wrote = true
	p := c.peer
	if !p.in.fin {
		p.in.fin, p.in.finAt = true, p.arrival(0)
		p.wake()
	}
}

// forget takes it off the lists, once both sides are done with it.
func (c *Conn) forget() {
	delete(c.p.conns, c)
	if c.peer.closed || c.peer.gone {
		delete(c.sea().conns, c)
		delete(c.sea().conns, c.peer)
	}
	c.wake()
}

// CloseWrite ends its own half.
func (c *Conn) CloseWrite() error {
	s := c.sea()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := c.state(); err != nil {
		return c.err("close", err)
	}
	c.finish()
	return nil
}

// Quiet tells whether nothing has come and the other side has not ended, and whether bytes wait.
func (c *Conn) Quiet() (quiet, bytes bool) {
	s := c.sea()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if c.state() != nil {
		return false, false
	}
	n := c.ready(now)
	ended := c.in.rst && !c.in.rstAt.After(now) || len(c.in.segs) == 0 && c.in.fin && !c.in.finAt.After(now)
	return n == 0 && !ended, n > 0
}

// SetQuiet bounds how long what was sent may stay unacknowledged.
func (c *Conn) SetQuiet(d time.Duration) {
	s := c.sea()
	s.mu.Lock()
	defer s.mu.Unlock()
	c.quiet = d
}

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }

func (c *Conn) set(f func()) error {
	s := c.sea()
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.closed {
		return c.err("set", net.ErrClosed)
	}
	f()
	c.wake()
	return nil
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error { return c.set(func() { c.rd, c.wd = t, t }) }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.set(func() { c.rd = t }) }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error { return c.set(func() { c.wd = t }) }
