package dataplane

import (
	"bufio"
	"errors"
	"io"
	"net"
	"time"

	"saltmast/internal/sock"
)

// Serve accepts requests from other proxies until the listener closes. handleCall handles calls other than requests to run.
func (ib *Inbound) Serve(l net.Listener, handleCall func(a *peerRequest, body []byte) outcome) {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(5 * time.Millisecond) // out of file descriptors: some are released soon
			continue
		}
		sock.SetQuiet(c, peerAckTimeout)
		if ip, _, err := net.SplitHostPort(c.RemoteAddr().String()); err == nil {
			ib.lastPeerIP.Store(&ip)
		}
		r := &reusableConn{Conn: c}
		ib.mu.Lock()
		ib.peerConns[r] = true
		ib.mu.Unlock()
		go func() {
			ib.serve(r, handleCall)
			c.Close()
			ib.mu.Lock()
			delete(ib.peerConns, r)
			ib.mu.Unlock()
		}()
	}
}

// LastPeerIP returns the IP address of the machine that connected last; empty: none has.
func (ib *Inbound) LastPeerIP() string {
	if ip := ib.lastPeerIP.Load(); ip != nil {
		return *ip
	}
	return ""
}

// closeIdle interrupts idle connections of other proxies, so that those without pending data close, and returns the
// number of open ones.
func (ib *Inbound) closeIdle() int {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	for c := range ib.peerConns {
		c.interruptIdle()
	}
	return len(ib.peerConns)
}

// ClosePeers closes the connections of other proxies.
func (ib *Inbound) ClosePeers() {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	for c := range ib.peerConns {
		c.Close()
	}
}

func (ib *Inbound) serve(c *reusableConn, handleCall func(a *peerRequest, body []byte) outcome) {
	in := bufio.NewReaderSize(c, 4<<10)
	for streamed := false; ; {
		if err := c.waitForData(in, time.Now().Add(peerIdleTimeout+5*time.Second)); err != nil {
			if isTimeout(err) && sock.Pending(c.Conn) { // it arrived at this very moment
				continue
			}
			return
		}
		c.SetReadDeadline(time.Now().Add(stallTimeout))
		var a peerRequest
		if err := readMessage(in, &a); err != nil {
			return
		}
		if streamed {
			sock.SetQuiet(c.Conn, peerAckTimeout)
		}
		var open bool
		if open, streamed = ib.serveRequest(c.Conn, in, &a, handleCall); !open {
			return
		}
	}
}

// serveRequest handles one request of another proxy and responds. open: the connection stays open; streamed:
// the response was streamed.
func (ib *Inbound) serveRequest(c net.Conn, in *bufio.Reader, a *peerRequest, handleCall func(a *peerRequest, body []byte) outcome) (open, streamed bool) {
	ctx, stop := ib.disconnects.Context(c)
	defer stop()
	out := ib.pacer.Writer(c)
	// After this proxy was frozen, requests may have waited in its sockets for any time. A peer that has given up on one
	// has closed the connection.
	a.abandoned = func() bool { return sock.Closed(c) }
	if a.Length < 0 || a.Length > bufferedBodyBytes {
		if a.Kind != runRequest {
			return false, false
		}
		c.SetReadDeadline(time.Time{})
		o := ib.execute(ctx, a, nil, &stallReader{c: c, r: &chunkReader{in: in}})
		o.Number = a.Number
		if writePeerResponse(c, out, o) { // the rest of the body stays unread, and closing would reset the connection before the response is read
			linger(c)
		}
		return false, false
	}
	body := make([]byte, a.Length)
	if _, err := io.ReadFull(in, body); err != nil {
		return false, false
	}
	c.SetReadDeadline(time.Time{})
	var o outcome
	if a.Kind == runRequest {
		o = ib.execute(ctx, a, body, nil)
	} else {
		o = handleCall(a, body)
	}
	o.Number, streamed = a.Number, o.response != nil && o.response.Stream != nil
	return writePeerResponse(c, out, o), streamed
}

// stallReader bounds how long each read of a body may stall, but never before end, the deadline of the request.
type stallReader struct {
	c   net.Conn
	r   io.Reader
	end time.Time // zero: every read is bounded by stallTimeout alone
}

func (s *stallReader) Read(b []byte) (int, error) {
	until := time.Now().Add(stallTimeout)
	if s.end.After(until) {
		until = s.end
	}
	s.c.SetReadDeadline(until)
	return s.r.Read(b)
}

// writePeerResponse writes a response to another proxy through out, a writer to the connection c, and reports whether
// the connection stays open.
func writePeerResponse(c net.Conn, out io.Writer, o outcome) bool {
	head := o.peerResponse
	c.SetWriteDeadline(time.Now().Add(stallTimeout))
	if o.response == nil {
		_, err := out.Write(appendMessage(nil, head, nil))
		return err == nil
	}
	a := o.response
	head.Status, head.Header, head.Length = a.Status, a.Header, a.Length
	if a.Stream == nil {
		buf := getBuf()
		msg := appendMessage((*buf)[:0], head, a.Body)
		_, err := out.Write(msg)
		*buf = msg[:0]
		putBuf(buf)
		return err == nil
	}
	sock.SetQuiet(c, streamAckTimeout) // until the next request: the rest of this response may wait in the socket for longer than here
	complete := false
	defer func() { a.Close(complete) }()
	first := a.Body
	w := &chunkWriter{w: out}
	if head.Length >= 0 {
		if _, err := out.Write(appendMessage(nil, head, first)); err != nil {
			return false
		}
	} else if _, err := out.Write(appendMessage(nil, head, nil)); err != nil || w.write(first) != nil {
		return false
	}
	b := make([]byte, chunkBytes)
	for {
		n, err := a.Stream.Read(b)
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(stallTimeout))
			var werr error
			if head.Length >= 0 {
				_, werr = out.Write(b[:n])
			} else {
				werr = w.write(b[:n])
			}
			if werr != nil {
				return false
			}
		}
		if err == io.EOF {
			complete = true
			return head.Length >= 0 || w.end(true) == nil
		}
		if err != nil {
			return false // closing the connection before the body ends tells the peer that it is incomplete
		}
	}
}
