// Package rpc implements calls between the mesh's own programs: CBOR messages in frames over TCP. Many calls may be under way on
// one connection; each is answered at most once and never retried. Start reading at Client and Serve.
//
// A frame has 4 bytes length of the rest, 4 bytes call ID, 1 byte kind, 1 byte error code (0 in a call), then the message. The
// connection is closed if a frame exceeds MaxFrame, or if more than maxQueuedBytes wait for a peer that does not read.
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
	// MaxFrame is the maximum length in bytes that the length field of a frame may give.
	MaxFrame        = 16 << 20
	maxQueuedBytes  = 32 << 20 // bytes that may wait to be written to one peer, including those that its writer holds
	maxPendingCalls = 4096     // calls that may wait for answers of one peer
	headerBytes     = 10
	// DialTime is the timeout for establishing a connection.
	DialTime = 400 * time.Millisecond
	// ackTimeout is how long sent bytes may stay unacknowledged before a connection is considered dead.
	ackTimeout = 1200 * time.Millisecond
	minBackoff = 30 * time.Millisecond // after a failed dial; doubled up to maxBackoff
	maxBackoff = 400 * time.Millisecond
)

var (
	encMode, _ = cbor.CoreDetEncOptions().UserBufferEncMode()
	decMode, _ = cbor.DecOptions{MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20, MaxNestedLevels: 16}.DecMode()
)

// Encode returns the encoding of a message.
func Encode(v any) []byte { return Append(nil, v) }

// Append appends the encoding of a message to buf.
func Append(buf []byte, v any) []byte {
	b := bytes.NewBuffer(buf)
	if err := encMode.MarshalToBuffer(v, b); err != nil {
		panic(fmt.Sprintf("rpc: cannot encode message: %v", err)) // a programming error: a type that CBOR can't encode
	}
	return b.Bytes()
}

// Decode decodes a message. Bytes that can't be decoded into v give errcode.Malformed.
func Decode(b []byte, v any) error {
	if err := decMode.Unmarshal(b, v); err != nil {
		return errcode.New(errcode.Malformed, "%w", err)
	}
	return nil
}

// link is one connection with its write queue.
type link struct {
	net.Conn
	mu      sync.Mutex
	out     []byte
	writing int // bytes that the writer has taken and is still writing
	wake    chan struct{}
	ended   bool
}

func newLink(c net.Conn) *link {
	l := &link{Conn: c, wake: make(chan struct{}, 1)}
	go l.write()
	return l
}

// send queues a frame. It never blocks. If the queue exceeds maxQueuedBytes the connection is closed.
func (l *link) send(id uint32, kind uint8, code errcode.Kind, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return
	}
	if l.writing+len(l.out)+len(body) > maxQueuedBytes {
		go l.end()
		return
	}
	l.out = binary.BigEndian.AppendUint32(l.out, uint32(6+len(body)))
	l.out = binary.BigEndian.AppendUint32(l.out, id)
	l.out = append(l.out, kind, byte(code))
	l.out = append(l.out, body...)
	countSent(kind, headerBytes+len(body))
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// write is the writer goroutine: it writes the queued bytes until the connection ends.
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

// frame is a frame that was read. Its body is not shared.
type frame struct {
	id   uint32
	kind uint8
	err  errcode.Kind
	body []byte
}

func readFrame(in *bufio.Reader) (frame, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return frame{}, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n < 6 || n > MaxFrame {
		return frame{}, fmt.Errorf("invalid frame length %d", n)
	}
	f := frame{id: binary.BigEndian.Uint32(head[4:]), kind: head[8], err: errcode.Kind(head[9]), body: []byte{}}
	for remaining := int(n) - 6; remaining > 0; { // memory grows with the bytes received, not with the announced length
		read := len(f.body)
		f.body = append(f.body, make([]byte, min(remaining, max(initialBodyBytes, read)))...)
		if _, err := io.ReadFull(in, f.body[read:]); err != nil {
			return frame{}, unexpectedEOF(err)
		}
		remaining -= len(f.body) - read
	}
	countReceived(f.kind, headerBytes+len(f.body))
	return f, nil
}

// initialBodyBytes is the size of the buffer allocated for a frame's message before any of it has arrived.
const initialBodyBytes = 64 << 10

func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Call is a call at the answering side.
type Call struct {
	Kind  uint8
	Body  []byte
	From  string // the caller's address
	id    uint32
	l     *link
	local func(body []byte, err error)
}

// LocalCall returns a call from within the process. local receives its answer.
func LocalCall(kind uint8, v any, local func(body []byte, err error)) Call {
	return Call{Kind: kind, Body: Encode(v), local: local}
}

// Encoded is a message that is encoded already, for example to answer several callers with it. It must not be modified.
type Encoded []byte

// Reply answers a call. It must be called at most once, from any goroutine. If the connection is closed it does nothing.
func (c Call) Reply(v any, err error) {
	var body []byte
	if raw, ok := v.(Encoded); err == nil && ok {
		body = raw
	} else if err == nil && v != nil {
		body = Encode(v)
	}
	if c.local != nil {
		c.local(body, err)
		return
	}
	c.l.send(c.id, c.Kind, errcode.Of(err), body)
}

// Server accepts connections and passes the calls on them to a handler.
type Server struct {
	l      net.Listener
	handle func(Call)
	mu     sync.Mutex
	links  map[*link]bool
	ended  bool
}

// Serve serves the calls that arrive at l, until Close. handle is called in order for the calls of one connection and must not
// block; it may reply later.
func Serve(l net.Listener, handle func(Call)) *Server {
	s := &Server{l: l, handle: handle, links: map[*link]bool{}}
	go s.accept()
	return s
}

// Listen listens at an address of this machine for connections between the mesh's programs. A nil n means the system's network.
func Listen(n sock.Net, addr string) (net.Listener, error) {
	return sock.On(n).Listen(addr, ackTimeout)
}

func (s *Server) accept() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of file descriptors: some will be released soon
			continue
		}
		sock.SetQuiet(c, ackTimeout)
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

// Close closes the listener and all connections.
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

// Client calls one peer. It connects when needed and reconnects after the connection ended. Calls under way at that time fail
// with errcode.Broken, calls that were never sent with errcode.Away.
type Client struct {
	net  sock.Net
	addr string

	mu           sync.Mutex
	l            *link
	dialing      bool
	waiting      map[uint32]*pending // under way, queued for the dial, or cancelled while the answer may still arrive
	cancelled    int                 // how many of waiting are cancelled
	queued       []queued
	nextID       uint32
	backoff      time.Duration
	noDialBefore time.Time
	lastFrame    time.Time // when the last frame arrived
	closed       bool
}

type pending struct {
	kind uint8
	done func(body []byte, err error) // nil: the call was cancelled
	sent time.Time
}

type queued struct {
	id   uint32
	kind uint8
	body []byte
}

// NewClient returns a client of the peer at addr. It does not dial yet. A nil n means the system's network.
func NewClient(n sock.Net, addr string) *Client {
	return &Client{net: sock.On(n), addr: addr, waiting: map[uint32]*pending{}}
}

// Addr returns the peer's address.
func (c *Client) Addr() string { return c.addr }

// Go starts a call with an encoded message and returns its ID, or 0 if the call fails at once. done is called once, from another
// goroutine, unless the call is cancelled before; it must not block.
func (c *Client) Go(kind uint8, body []byte, done func(body []byte, err error)) uint32 {
	c.mu.Lock()
	now := time.Now()
	switch {
	case c.closed, len(c.waiting)-c.cancelled >= maxPendingCalls, c.l == nil && !c.dialing && now.Before(c.noDialBefore):
		c.mu.Unlock()
		go done(nil, errcode.New(errcode.Unreachable, "%s", c.addr))
		return 0
	}
	for c.nextID++; c.nextID == 0 || c.waiting[c.nextID] != nil; c.nextID++ { // IDs wrap around: skip those whose answer may still arrive
	}
	id := c.nextID
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

// Cancel stops waiting for a call. Its ID is not reused while its answer may still arrive. The connection is closed if more than
// maxPendingCalls cancelled calls are unanswered, or if the peer has sent nothing since the call and that was over ackTimeout/2
// ago: after a network partition an old connection recovers late or never, while a new one shows at once whether the peer is
// reachable.
func (c *Client) Cancel(id uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.waiting[id]
	if p == nil || p.done == nil {
		return
	}
	if c.l == nil { // never sent
		delete(c.waiting, id)
		c.queued = slices.DeleteFunc(c.queued, func(q queued) bool { return q.id == id })
		return
	}
	p.done = nil
	if c.cancelled++; c.cancelled > maxPendingCalls || c.lastFrame.Before(p.sent) && time.Since(p.sent) > ackTimeout/2 {
		go c.l.end()
	}
}

// Call makes a call and decodes its answer into answer, unless that is nil. After wait it gives up with errcode.TimedOut.
func (c *Client) Call(kind uint8, v, answer any, wait time.Duration) error {
	type result struct {
		body []byte
		err  error
	}
	ch := make(chan result, 1)
	id := c.Go(kind, Encode(v), func(body []byte, err error) { ch <- result{body, err} })
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case r := <-ch:
		if r.err != nil || answer == nil {
			return r.err
		}
		return Decode(r.body, answer)
	case <-timer.C:
		c.Cancel(id)
		return errcode.New(errcode.ResponseTimeout, "%s", c.addr)
	}
}

// Close closes the connection. Waiting calls fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	l := c.l
	c.mu.Unlock()
	if l != nil {
		l.end()
	}
}

// dial connects, then reads answers until the connection ends.
func (c *Client) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), DialTime)
	nc, err := c.net.Dial(ctx, c.addr, ackTimeout)
	cancel()
	c.mu.Lock()
	c.dialing = false
	if err != nil || c.closed {
		if nc != nil {
			nc.Close()
		}
		c.backoff = min(max(minBackoff, 2*c.backoff), maxBackoff)
		c.noDialBefore = time.Now().Add(c.backoff)
		c.failAll(errcode.New(errcode.Unreachable, "%s", c.addr))
		return
	}
	c.backoff = 0
	l := newLink(nc)
	c.l, c.lastFrame = l, time.Now()
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
		c.lastFrame = time.Now()
		p := c.waiting[f.id]
		if p == nil || p.kind != f.kind { // answers no known call: the rest of the stream can't be trusted either
			c.mu.Unlock()
			break
		}
		delete(c.waiting, f.id)
		done := p.done
		if done == nil {
			c.cancelled--
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

// failAll fails all waiting calls. The caller holds c.mu; failAll unlocks it.
func (c *Client) failAll(err error) {
	all := c.waiting
	c.waiting, c.cancelled, c.queued = map[uint32]*pending{}, 0, nil
	c.mu.Unlock()
	for _, p := range all {
		if p.done != nil {
			p.done(nil, err)
		}
	}
}
