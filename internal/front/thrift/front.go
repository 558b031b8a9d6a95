// Package thrift is the front for callers that speak framed Thrift, in binary or compact: frames from callers to a
// request, and its one final answer back to a frame in the caller's own protocol, under its own sequence id. Which calls
// are taken is said here; what becomes of them is the core's. Start reading at New and serve.
package thrift

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"saltmast"
	"saltmast/internal/conns"
	"saltmast/internal/core"
	"saltmast/internal/thrift"
	"saltmast/internal/upstream"
	"saltmast/internal/work"
)

const (
	// headTime is how long the first frame on a connection may take to begin, as on the HTTP front.
	headTime = 2500 * time.Millisecond
	// frameTime is how long a frame may take to come once its first byte has.
	frameTime = 2 * time.Second
	// idleTime ends a connection that has had no open call for so long.
	idleTime = conns.RestTime + 100*time.Millisecond
	// writeTime is how long a caller may take to read an answer.
	writeTime = 2 * time.Second
	// maxPipelined is how many calls of one connection run at once; what comes beyond waits unread.
	maxPipelined = 64
	// maxBudget is the longest that a caller may be willing to wait.
	maxBudget = time.Hour
	// maxKey bounds ids and keys, in bytes.
	maxKey = 255
)

// The types of the exceptions by which a final answer that was not served comes, beyond those that the Thrift project
// numbers, so that stock clients can tell them apart. Their texts begin with "refused" and "failed".
const (
	Refused thrift.ApplicationException = 1503 // nothing has run: trying again does no harm
	Failed  thrift.ApplicationException = 1502 // no promise about its effect
)

// Method is how the calls of one method are taken. Paths are field ids, from the arguments' struct inwards; an empty one
// is a field that the method does not have.
type Method struct {
	Class   int
	ID      []int16 // text or number; else the agent makes one
	Key     []int16 // text; a call of a keyed class must have it
	Budget  []int16 // whole milliseconds; else the class's deadline
	Tenant  []int16 // text
	Route   []int16 // text or number
	Record  string  // the class under which each attempt is recorded before it goes out; "" for not at all
	Account []int16 // text or number: what it is recorded by
	Oneway  bool    // no answer is ever written, also where the call is not marked so: some stock clients never do
}

// Terms are what calls are taken by. A call keeps those that it came under.
type Terms struct {
	Settings *saltmast.Settings
	Tenants  []string
	Methods  map[string]*Method // by name, as it stands on the wire
}

// Options are what a front is made of.
type Options struct {
	Terms
	Loop     *core.Loop
	Conns    *conns.Listener
	To       thrift.Protocol // what servers are spoken to in
	Rejected string          // see upstream.Thrift
	Limits   thrift.Limits
	Log      *slog.Logger
}

// Front serves Thrift callers.
type Front struct {
	o        Options
	draining atomic.Bool // it stops
	terms    atomic.Pointer[Terms]
	drained  atomic.Bool // operators have drained it
	running  sync.WaitGroup
	foreign  sync.Once // bytes of another protocol are logged once
	refused  atomic.Int64
	work     *work.Pool // of calls

	mu    sync.Mutex
	open  map[*conn]bool
	ended bool
}

// New returns a front that serves once Serve is called.
func New(o Options) *Front {
	f := &Front{o: o, work: work.New(), open: map[*conn]bool{}}
	f.Retune(o.Terms)
	return f
}

// Retune has the calls to come taken by other terms, which the loop must know already.
func (f *Front) Retune(t Terms) { f.terms.Store(&t) }

// Serve takes connections until Stop, and returns why it ended.
func (f *Front) Serve() error {
	for {
		nc, err := f.o.Conns.Accept()
		if err != nil {
			f.mu.Lock()
			defer f.mu.Unlock()
			if f.ended {
				return net.ErrClosed
			}
			return err
		}
		c := &conn{f: f, Conn: nc, seqs: map[int32]bool{}, places: make(chan struct{}, maxPipelined)}
		c.quiet = sync.NewCond(&c.mu)
		f.mu.Lock()
		if f.ended {
			f.mu.Unlock()
			nc.Close()
			return net.ErrClosed
		}
		f.open[c] = true
		f.running.Add(1)
		f.mu.Unlock()
		f.o.Conns.Rest(nc)
		go func() {
			defer f.running.Done()
			c.serve()
			f.mu.Lock()
			delete(f.open, c)
			f.mu.Unlock()
		}()
	}
}

// Drain has each connection closed once it has no open call.
func (f *Front) Drain() { f.draining.Store(true) }

// SetDrained has each connection close with its answers, or ends that.
func (f *Front) SetDrained(drained bool) { f.drained.Store(drained) }

// Refused is how many oneway calls were refused or failed: their callers hear nothing of it.
func (f *Front) Refused() int64 { return f.refused.Load() }

// Stop takes no more connections and waits for what is under way, until ctx ends. Then all connections are closed.
func (f *Front) Stop(ctx context.Context) error {
	f.draining.Store(true)
	f.mu.Lock()
	f.ended = true
	err := f.o.Conns.Close()
	for c := range f.open {
		c.wake()
	}
	f.mu.Unlock()
	done := make(chan struct{})
	go func() { f.running.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
		f.mu.Lock()
		for c := range f.open {
			c.Conn.Close()
		}
		f.mu.Unlock()
		<-done
	}
	f.work.Close()
	return err
}

// conn is one connection of a caller.
type conn struct {
	net.Conn
	f      *Front
	places chan struct{} // of calls that run at once

	mu     sync.Mutex
	quiet  *sync.Cond     // told when a call has ended
	seqs   map[int32]bool // of the calls that are open
	oneway int            // open ones
	ends   bool           // closed by the agent: nothing more is read
	calls  sync.WaitGroup

	write sync.Mutex
}

// wake ends a wait for the next frame, if no call is open.
func (c *conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ends = true
	if len(c.seqs)+c.oneway == 0 {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// serve reads frames until the connection ends, and sees to it that each call gets its answer first.
func (c *conn) serve() {
	ctx, gone := context.WithCancel(context.Background())
	err := c.read(ctx)
	// The caller has left, or has sent what can't be read. What it may still read is answered; where it has closed the
	// connection the requests are over.
	if err == nil || errors.Is(err, errBad) {
		c.calls.Wait()
	}
	gone()
	c.calls.Wait()
	c.Conn.Close()
}

// errBad ends a connection whose bytes can't be trusted any more.
var errBad = errors.New("malformed")

// read takes calls off the connection. nil: the agent ends it; errBad: what came can't be read; else the caller has gone.
func (c *conn) read(ctx context.Context) error {
	in := bufio.NewReaderSize(c.Conn, 512)
	for first := true; ; first = false {
		wait := idleTime
		if first {
			wait = headTime
		}
		var head [4]byte
		for { // idleness counts while no call is open
			c.Conn.SetReadDeadline(time.Now().Add(wait))
			if c.over() {
				return nil
			}
			_, err := in.Peek(1)
			if err == nil {
				break
			}
			var ne net.Error
			if !errors.As(err, &ne) || !ne.Timeout() {
				return err
			}
			if c.idle() {
				return nil
			}
		}
		c.Conn.SetReadDeadline(time.Now().Add(frameTime))
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return slow(err)
		}
		n, err := thrift.FrameLength(head, c.f.o.Limits)
		if err != nil {
			c.f.foreign.Do(func() {
				c.f.o.Log.Warn("no framed Thrift on its port", "from", c.RemoteAddr().String(), "begins", fmt.Sprintf("%q", head[:]))
			})
			return errBad
		}
		frame := make([]byte, n)
		if _, err := io.ReadFull(in, frame); err != nil {
			return slow(err) // cut off halfway: nothing of it goes out
		}
		arrived := time.Now()
		m, err := thrift.Scan(frame, c.f.o.Limits)
		if err != nil || m.Type != thrift.Call && m.Type != thrift.Oneway {
			return errBad
		}
		terms := c.f.terms.Load()
		method := terms.Methods[string(m.Name)] // nil: unknown
		if method != nil && method.Oneway {
			m.Type = thrift.Oneway
		}
		c.begin(&m)
		c.places <- struct{}{}
		c.calls.Add(1)
		c.f.work.Go(func() {
			defer c.calls.Done()
			c.call(ctx, terms, &m, method, arrived)
			c.end(&m)
			<-c.places
		})
	}
}

// slow tells a caller that is too slow with a frame, and may still wait for other answers, from one that has gone.
func slow(err error) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		return errBad
	}
	return err
}

// begin notes a call as open. Calls under one sequence id can't be told apart by their answers, so one that is open
// already is waited for.
func (c *conn) begin(m *thrift.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Type == thrift.Oneway {
		c.oneway++
	} else {
		for c.seqs[m.Seq] {
			c.quiet.Wait()
		}
		c.seqs[m.Seq] = true
	}
	c.f.o.Conns.Work(c.Conn) // here, and not when its bytes come: the call before may end in between
}

func (c *conn) end(m *thrift.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Type == thrift.Oneway {
		c.oneway--
	} else {
		delete(c.seqs, m.Seq)
	}
	c.quiet.Broadcast()
	if len(c.seqs)+c.oneway > 0 {
		return
	}
	c.f.o.Conns.Rest(c.Conn)
	if c.f.draining.Load() || c.f.drained.Load() || c.f.o.Conns.Crowded() {
		c.ends = true
	}
	if c.ends {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// over reports whether the agent ends the connection now; idle, whether no call is open.
func (c *conn) over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ends && len(c.seqs)+c.oneway == 0
}

func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.seqs)+c.oneway == 0
}

// call sees one call through to its answer.
func (c *conn) call(ctx context.Context, terms *Terms, m *thrift.Message, method *Method, arrived time.Time) {
	event, kind, text := terms.parse(m, method)
	if text != "" {
		c.except(m, kind, text)
		return
	}
	req := c.f.o.Loop.NewRequest(terms.Settings, event, arrived, &upstream.Thrift{Call: *m, To: c.f.o.To, Rejected: []byte(c.f.o.Rejected), Limits: c.f.o.Limits})
	if method.Record != "" {
		account, _ := field(m, method.Account)
		key, _ := field(m, method.Key)
		req.Record = &core.Record{Class: method.Record, Account: account, Key: key, Digest: sha256.Sum256(m.Body)}
	}
	c.f.o.Loop.Submit(req)
	select {
	case a := <-req.Answer():
		c.answer(m, a)
	case <-ctx.Done():
		c.f.o.Loop.Leave(req)
	case <-c.f.o.Loop.Done():
		c.except(m, Failed, "failed: the agent has stopped")
	}
}

// parse makes a request of a call. A text says what is wrong with it: then it is not taken.
func (t *Terms) parse(m *thrift.Message, method *Method) (e saltmast.Request, kind thrift.ApplicationException, text string) {
	if method == nil {
		return e, thrift.UnknownMethod, fmt.Sprintf("unknown method %.100q", m.Name)
	}
	class := &t.Settings.Classes[method.Class]
	e = saltmast.Request{Class: method.Class, TimeLeft: class.Deadline}
	id, ok := field(m, method.ID)
	switch {
	case !ok && len(method.ID) > 0 && present(m, method.ID), len(id) > maxKey:
		return e, thrift.ProtocolError, "the id is neither text nor a number, or too long"
	case id == "":
		var b [8]byte
		binary.BigEndian.PutUint64(b[:], rand.Uint64())
		id = hex.EncodeToString(b[:])
	}
	e.ID = id
	e.Key, _ = field(m, method.Route)
	if len(e.Key) > maxKey {
		e.Key = e.Key[:maxKey]
	}
	// Servers know a repeat by its key alone: without one, a second attempt might run again.
	if key, _ := field(m, method.Key); class.Effect == saltmast.Keyed && (key == "" || len(key) > maxKey) {
		return e, thrift.ProtocolError, "this method needs its idempotency key"
	}
	if v, ok := thrift.Find(m, method.Budget...); ok {
		ms, isInt := v.Int()
		if !isInt || ms <= 0 || ms > maxBudget.Milliseconds() {
			return e, thrift.ProtocolError, "the budget is no whole number of milliseconds above 0"
		}
		e.TimeLeft = min(e.TimeLeft, time.Duration(ms)*time.Millisecond)
	}
	if tenant, ok := field(m, method.Tenant); ok {
		for i, name := range t.Tenants {
			if name == tenant && i > 0 {
				e.Tenant = i
			}
		}
	}
	return e, 0, ""
}

// field reads a text, or a number as text.
func field(m *thrift.Message, path []int16) (string, bool) {
	v, ok := thrift.Find(m, path...)
	if !ok {
		return "", false
	}
	if v.Type == thrift.String {
		return string(v.Bytes()), true
	}
	n, ok := v.Int()
	if !ok {
		return "", false
	}
	return fmt.Sprint(n), true
}

func present(m *thrift.Message, path []int16) bool {
	_, ok := thrift.Find(m, path...)
	return ok
}

// answer writes the final answer.
func (c *conn) answer(m *thrift.Message, a core.Answer) {
	switch a.Kind {
	case core.Served:
		if r, ok := a.Payload.(*thrift.Message); ok {
			out := thrift.Message{Protocol: m.Protocol, Old: m.Old, Type: r.Type, Seq: m.Seq, Name: m.Name, Body: r.Body}
			c.send(m, thrift.AppendFrame(make([]byte, 0, 4+32+len(out.Name)+len(out.Body)), &out))
		}
		return // a oneway has nothing to be told
	case core.Refused:
		text := "refused: nothing has run"
		if a.RetryAfter > 0 {
			text += fmt.Sprintf("; retry after %d ms", a.RetryAfter.Milliseconds())
		}
		c.except(m, Refused, text)
	case core.Duplicate:
		c.except(m, thrift.ProtocolError, "this id is open already")
	default:
		c.except(m, Failed, "failed: it may have run")
	}
}

// except answers with an exception. A oneway hears nothing: what became of it is counted and logged.
func (c *conn) except(m *thrift.Message, kind thrift.ApplicationException, text string) {
	if m.Type == thrift.Oneway {
		c.f.refused.Add(1)
		c.f.o.Log.Warn("oneway call not done", "method", fmt.Sprintf("%.100s", m.Name), "why", text)
		return
	}
	c.send(m, thrift.AppendException(nil, m, kind, text))
}

// send writes one frame, whole or not at all as far as the caller can tell.
func (c *conn) send(m *thrift.Message, frame []byte) {
	if m.Type == thrift.Oneway {
		return
	}
	c.write.Lock()
	defer c.write.Unlock()
	c.Conn.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := c.Conn.Write(frame); err != nil {
		c.Conn.Close() // what follows half a frame could not be read
	}
}
