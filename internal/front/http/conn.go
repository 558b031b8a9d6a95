package http

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"saltmast/internal/bodybuffer"
	"saltmast/internal/conns"
	"saltmast/internal/http1"
	"saltmast/internal/sock"
)

const (
	// headTime is how long a request's head may take to come from its first byte on, and that on a new connection.
	headTime = 4 * time.Second
	// firstTime is how long a new connection may say nothing.
	firstTime = 2500 * time.Millisecond
	// idleTime ends a connection that has had no request for so long. Clients hold a part of the descriptors
	// at most: those that ask once and stay would leave the others none.
	idleTime = conns.RestTime + 100*time.Millisecond
	// Transfers are bounded by their progress: a gap of stallTime ends one, and so does a mean of under leastRate bytes a
	// second once it has taken slowStart.
	stallTime = 5 * time.Second
	slowStart = 10 * time.Second
	leastRate = 16 << 10
	// lingerTime is how long the rest of a request is read that was answered before its end, for the answer to arrive.
	lingerTime = 500 * time.Millisecond
	// copyBytes is the buffer of a body that passes.
	copyBytes = 16 << 10
)

// limits bound what is read of a request.
var limits = http1.Limits{Head: 12 << 10, Body: bodybuffer.MaxBody}

// conn is one connection of a client. One goroutine serves it; while a body passes, that of the attempt reads it.
type conn struct {
	net.Conn
	f      *Front
	in     *bufio.Reader
	timing bool // a body is being read: reads are bounded by progress
	begun  time.Time
	got    int64
}

// Read implements io.Reader for in.
func (c *conn) Read(p []byte) (int, error) {
	if c.timing {
		c.SetReadDeadline(progress(c.begun, c.got))
	}
	n, err := c.Conn.Read(p)
	c.got += int64(n)
	return n, err
}

// progress is the time by which the next bytes of a transfer must come, that began then and has brought so many.
func progress(begun time.Time, bytes int64) time.Time {
	stall := time.Now().Add(stallTime)
	if slow := begun.Add(slowStart + time.Duration(bytes)*time.Second/leastRate); slow.Before(stall) {
		return slow
	}
	return stall
}

func (c *conn) serve() {
	defer c.Close()
	for first := true; ; first = false {
		if !c.await(first) {
			return
		}
		c.SetReadDeadline(time.Now().Add(headTime))
		r, bad := http1.ReadRequest(c.in, limits)
		if bad != nil {
			if !bad.Gone {
				c.turnAway(bad.Status, bad.Why)
			}
			return
		}
		if !c.f.answer(c, r) {
			return
		}
		if c.in.Buffered() == 0 {
			c.f.conns.Rest(c.Conn)
		}
	}
}

// await waits for the first byte of a request. Whatever has come is read, though the time is up.
func (c *conn) await(first bool) bool {
	wait := c.f.Idle
	if first {
		wait = firstTime
	}
	c.SetReadDeadline(time.Now().Add(wait))
	for {
		_, err := c.in.Peek(1)
		var ne net.Error
		switch {
		case err == nil:
			c.f.conns.Work(c.Conn)
			return true
		case errors.As(err, &ne) && ne.Timeout() && sock.Pending(c.raw()):
			c.SetReadDeadline(time.Now().Add(headTime))
		default:
			return false
		}
	}
}

// raw is the socket's own connection.
func (c *conn) raw() net.Conn {
	if k, ok := c.Conn.(*conns.Conn); ok {
		return k.Conn
	}
	return c.Conn
}

// watch tells by gone when the client leaves, until stop is called. What comes meanwhile stays in c.in.
func (c *conn) watch() (gone <-chan struct{}, stop func()) {
	left, ended := make(chan struct{}), make(chan struct{})
	var stopped atomic.Bool
	c.timing = false
	c.SetReadDeadline(time.Time{})
	c.f.work.Go(func() {
		defer close(ended)
		if _, err := c.in.Peek(1); err != nil && !stopped.Load() {
			close(left)
		}
	})
	return left, func() {
		stopped.Store(true)
		c.SetReadDeadline(time.Unix(1, 0))
		<-ended
		c.SetReadDeadline(time.Time{})
	}
}

// put writes one whole message in one go.
func (c *conn) put(status int, head string, body []byte, last bool) bool {
	buf := make([]byte, 0, 160+len(head)+len(body))
	buf = http1.AppendHead(buf, status, head, int64(len(body)), last)
	buf = append(buf, body...)
	c.SetWriteDeadline(time.Now().Add(slowStart))
	_, err := c.Conn.Write(buf)
	return err == nil
}

// turnAway answers what is no request and ends its connection: what follows on it can't be trusted, and the rest of its
// body is not worth reading.
func (c *conn) turnAway(status int, why string) {
	c.put(status, "Content-Type: text/plain; charset=utf-8\r\n", []byte(why+"\n"), true)
	c.linger()
}

// linger ends the sending and reads on for a while: a connection that closes with bytes unread is reset, and the answer
// with it.
func (c *conn) linger() {
	if t, ok := c.raw().(*net.TCPConn); ok {
		t.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTime))
	io.Copy(io.Discard, onlyReader{c.Conn})
}

// onlyReader hides the ways round Read, which hand over descriptors to the system.
type onlyReader struct{ io.Reader }

// leave ends a connection whose answer said so.
func (c *conn) leave() {
	if c.in.Buffered() > 0 || sock.Pending(c.raw()) {
		c.linger()
	}
}
