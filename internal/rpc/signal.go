// Package rpc carries calls between the mesh's own programs: CBOR messages in frames over TCP, many under way on one
// connection, each answered once or not at all. It decides nothing and repeats nothing. Start reading at Client and Serve.
//
// A frame: 4 bytes length of what follows, 4 bytes number of the call, 1 byte kind, 1 byte error code (0 in a call), then the
// message. Frames of over MaxFrame end the connection, as does a peer that reads nothing while over maxQueued wait for it.
package rpc

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"saltmast/internal/errcode"
	"saltmast/internal/sock"
)

const (
	// MaxFrame is how many bytes one message may have.
	MaxFrame  = 16 << 20
	maxQueued = 32 << 20 // bytes that may wait to be written to one peer, those that its writer holds among them
	maxCalls  = 4096     // calls that may wait for one peer
	headBytes = 10
	// DialTime bounds how long a connection may take to come up.
	DialTime = 400 * time.Millisecond
	// silence is how long sent bytes may stay unacknowledged before a connection counts as dead.
	silence   = 1200 * time.Millisecond
	pauseLow  = 30 * time.Millisecond // between dials that failed, doubled ...
	pauseHigh = 400 * time.Millisecond
)

var (
	bufMode, _ = cbor.CoreDetEncOptions().UserBufferEncMode()
	decMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 16}.DecMode()
)

// Encode gives a message's bytes.
func Encode(v any) []byte { return Append(nil, v) }

// Append appends a message's bytes.
func Append(buf []byte, v any) []byte {
	b := bytes.NewBuffer(buf)
	if err := bufMode.MarshalToBuffer(v, b); err != nil {
		panic(fmt.Sprintf("signal: a message that can't be encoded: %v", err)) // a type of ours that CBOR does not know
	}
	return b.Bytes()
}

// Decode reads a message; bytes that are none give errcode.Malformed.
func Decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return errcode.New(errcode.Malformed, "%w", err)
	}
	return nil
}

// link is one connection with its queue of bytes to be written.
type link struct {
	net.Conn
	mu      sync.Mutex
	out     []byte
	writing int // bytes that the writer has taken and that are not written whole
	wake    chan struct{}
	ended   bool
}

func newLink(c net.Conn) *link {
	l := &link{Conn: c, wake: make(chan struct{}, 1)}
	go l.write()
	return l
}

// send queues a frame. It never waits.
func (l *link) send(id uint32, kind uint8, p errcode.Kind, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	if l.writing+len(l.out)+len(body) > maxQueued {
		go l.end()
		return
	}
	l.out = binary.BigEndian.AppendUint32(l.out, uint32(6+len(body)))
	l.out = binary.BigEndian.AppendUint32(l.out, id)
	l.out = append(l.out, kind, byte(p))
	l.out = append(l.out, body...)
	sent(kind, headBytes+len(body))
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

func (l *link) write() {
	var spare []byte
	for range l.wake {
		l.mu.Lock()
		out := l.out
		l.out, l.writing = spare[:0], len(out)
		ended := l.ended
		l.mu.Unlock()
		if ended {
			return
		}
		if len(out) > 0 {
			if _, err := l.Conn.Write(out); err != nil {
				l.end()
				return
			}
		}
		l.mu.Lock()
		l.writing = 0
		l.mu.Unlock()
		if spare = out; cap(spare) > 64<<10 {
			spare = nil
		}
	}
}

func (l *link) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		l.ended = true
		close(l.wake)
	}
	l.Conn.Close()
}

// frame is one read frame; its body is the reader's own.
type frame struct {
	id   uint32
	kind uint8
	err  errcode.Kind
	body []byte
}

func readFrame(in *bufio.Reader) (frame, error) {
	var head [headBytes]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return frame{}, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 6 || n > MaxFrame {
		return frame{}, fmt.Errorf("a frame of %d bytes", n)
	}
	f := frame{id: binary.BigEndian.Uint32(head[4:]), kind: head[8], err: errcode.Kind(head[9]), body: []byte{}}
	for left := int(n) - 6; left > 0; { // room is made for what comes, not for what was promised
		was := len(f.body)
		f.body = append(f.body, make([]byte, min(left, max(firstBytes, was)))...)
		if _, err := io.ReadFull(in, f.body[was:]); err != nil {
			return frame{}, unexpected(err)
		}
		left -= len(f.body) - was
	}
	taken(f.kind, headBytes+len(f.body))
	return f, nil
}

// firstBytes is how much room a frame gets before any of its message has come.
const firstBytes = 64 << 10

func unexpected(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Call is one call at the side that answers.
type Call struct {
	Kind uint8
	Body []byte
	From string // the caller's address
	id   uint32
	l    *link
	to   func(body []byte, err error)
}

// Local is a call from within the process: to gets its answer.
func Local(kind uint8, v any, to func(body []byte, err error)) Call {
	return Call{Kind: kind, Body: Encode(v), to: to}
}

// Encoded is a message that is encoded already, as for more callers than one. It is not changed any more.
type Encoded []byte

// Reply answers a call, from any goroutine, once. A caller that has gone is told nothing.
func (c Call) Reply(v any, err error) {
	var body []byte
	if raw, ok := v.(Encoded); err == nil && ok {
		body = raw
	} else if err == nil && v != nil {
		body = Encode(v)
	}
	if c.to != nil {
		c.to(body, err)
		return
	}
	c.l.send(c.id, c.Kind, errcode.Of(err), body)
}

// Server answers calls.
type Server struct {
	l      net.Listener
	handle func(Call)
	mu     sync.Mutex
	links  map[*link]bool
	ended  bool
}

// Serve answers the calls that come to l, until Close. handle is called in turn for the calls of one connection and must
// not wait; it replies when it can.
func Serve(l net.Listener, handle func(Call)) *Server {
	s := &Server{l: l, handle: handle, links: map[*link]bool{}}
	go s.accept()
	return s
}

// Listen listens at an address of this machine for links between the mesh's programs. n: nil for the system's network.
func Listen(n sock.Net, addr string) (net.Listener, error) { return sock.On(n).Listen(addr, silence) }

func (s *Server) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors: some are given back soon
			continue
		}
		sock.SetQuiet(c, silence)
		l := newLink(c)
		s.mu.Lock()
		if s.ended {
			s.mu.Unlock()
			l.end()
			return
		}
		s.links[l] = true
		s.mu.Unlock()
		go func() {
			in, from := bufio.NewReaderSize(c, 4<<10), c.RemoteAddr().String()
			for {
				f, err := readFrame(in)
				if err != nil {
					break
				}
				s.handle(Call{Kind: f.kind, Body: f.body, From: from, id: f.id, l: l})
			}
			l.end()
			s.mu.Lock()
			delete(s.links, l)
			s.mu.Unlock()
		}()
	}
}

// Close ends the listener and all connections.
func (s *Server) Close() {
	s.l.Close()
	s.mu.Lock()
	s.ended = true
	links := s.links
	s.links = map[*link]bool{}
	s.mu.Unlock()
	for l := range links {
		l.end()
	}
}

// Client calls one peer. The connection is made when it is needed and made again after it ended; calls that were under
// way then fail with errcode.Broken, those that never left with errcode.Away.
type Client struct {
	net  sock.Net
	addr string

	mu      sync.Mutex
	l       *link
	dialing bool
	waiting map[uint32]*pending // under way, or queued for the dial; and forgotten, whose answers may come yet
	left    int                 // of these forgotten
	queued  []queued
	next    uint32
	pause   time.Duration
	till    time.Time // no dial before
	heard   time.Time // the last frame
	closed  bool
}

type pending struct {
	kind uint8
	done func(body []byte, err error) // nil: it is forgotten
	sent time.Time
}

type queued struct {
	id   uint32
	kind uint8
	body []byte
}

// NewClient returns a client of the peer at addr. Nothing is dialled yet. n: nil for the system's network.
func NewClient(n sock.Net, addr string) *Client {
	return &Client{net: sock.On(n), addr: addr, waiting: map[uint32]*pending{}}
}

// Addr is the peer's address.
func (c *Client) Addr() string { return c.addr }

// Go begins a call, of a message that is encoded already, and returns its number. done is called once, from another
// goroutine, unless the call is forgotten before; it must not wait.
func (c *Client) Go(kind uint8, body []byte, done func(body []byte, err error)) uint32 {
	c.mu.Lock()
	now := time.Now()
	switch {
	case c.closed, len(c.waiting)-c.left >= maxCalls, c.l == nil && !c.dialing && now.Before(c.till):
		c.mu.Unlock()
		go done(nil, errcode.New(errcode.Unreachable, "%s", c.addr))
		return 0
	}
	for c.next++; c.next == 0 || c.waiting[c.next] != nil; c.next++ { // numbers come round: none whose answer may still come
	}
	id := c.next
	c.waiting[id] = &pending{kind, done, now}
	if c.l != nil {
		l := c.l
		c.mu.Unlock()
		l.send(id, kind, errcode.OK, body)
		return id
	}
	c.queued = append(c.queued, queued{id, kind, body})
	if !c.dialing {
		c.dialing = true
		go c.dial()
	}
	c.mu.Unlock()
	return id
}

// Forget ends the wait for a call; its number is not given again while its answer may come. If the peer has said nothing since long before, the connection is given up: one behind
// a cut comes back late or not at all, a new one tells at once.
func (c *Client) Forget(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.waiting[id]
	if p == nil || p.done == nil {
		return
	}
	if c.l == nil { // it never left
		delete(c.waiting, id)
		c.queued = slices.DeleteFunc(c.queued, func(q queued) bool { return q.id == id })
		return
	}
	p.done = nil
	if c.left++; c.left > maxCalls || c.heard.Before(p.sent) && time.Since(p.sent) > silence/2 {
		go c.l.end()
	}
}

// Call makes a call and waits for its answer, for at most wait.
func (c *Client) Call(kind uint8, v, answer any, wait time.Duration) error {
	type result struct {
		body []byte
		err  error
	}
	ch := make(chan result, 1)
	id := c.Go(kind, Encode(v), func(body []byte, err error) { ch <- result{body, err} })
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case r := <-ch:
		if r.err != nil || answer == nil {
			return r.err
		}
		return Decode(r.body, answer)
	case <-t.C:
		c.Forget(id)
		return errcode.New(errcode.ResponseTimeout, "%s", c.addr)
	}
}

// Close ends the connection; what waits fails.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	l := c.l
	c.mu.Unlock()
	if l != nil {
		l.end()
	}
}

func (c *Client) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), DialTime)
	nc, err := c.net.Dial(ctx, c.addr, silence)
	cancel()
	c.mu.Lock()
	c.dialing = false
	if err != nil || c.closed {
		if nc != nil {
			nc.Close()
		}
		c.pause = min(max(pauseLow, 2*c.pause), pauseHigh)
		c.till = time.Now().Add(c.pause)
		c.failAll(errcode.New(errcode.Unreachable, "%s", c.addr))
		return
	}
	c.pause = 0
	l := newLink(nc)
	c.l, c.heard = l, time.Now()
	for _, q := range c.queued {
		if c.waiting[q.id] != nil {
			l.send(q.id, q.kind, errcode.OK, q.body)
		}
	}
	c.queued = nil
	c.mu.Unlock()
	in := bufio.NewReaderSize(nc, 4<<10)
	for {
		f, err := readFrame(in)
		if err != nil {
			break
		}
		c.mu.Lock()
		c.heard = time.Now()
		p := c.waiting[f.id]
		if p == nil || p.kind != f.kind { // an answer to no call: what follows can't be trusted either
			c.mu.Unlock()
			break
		}
		delete(c.waiting, f.id)
		done := p.done
		if done == nil {
			c.left--
		}
		c.mu.Unlock()
		if done == nil {
			continue
		}
		if f.err != errcode.OK {
			done(nil, &errcode.Error{Kind: f.err})
		} else {
			done(f.body, nil)
		}
	}
	l.end()
	c.mu.Lock()
	c.l = nil
	c.failAll(errcode.New(errcode.ConnectionLost, "%s", c.addr))
}

// failAll fails all that waits. The caller holds c.mu, which it gives back.
func (c *Client) failAll(err error) {
	all := c.waiting
	c.waiting, c.left, c.queued = map[uint32]*pending{}, 0, nil
	c.mu.Unlock()
	for _, p := range all {
		if p.done != nil {
			p.done(nil, err)
		}
	}
}
