// Package http is the front for applications that speak HTTP/1.1: bytes from callers to a request, and its one final
// answer back to bytes. Which requests are taken is said here; what becomes of them is the core's. Start reading at New.
package http

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"saltmast"
	"saltmast/internal/bodybuffer"
	"saltmast/internal/conns"
	"saltmast/internal/core"
	"saltmast/internal/http1"
	"saltmast/internal/sock"
	"saltmast/internal/upstream"
	"saltmast/internal/work"
)

// maxBudget is the longest that a client may be willing to wait.
const maxBudget = time.Hour

// Front answers the application.
type Front struct {
	Idle     time.Duration // a connection that has had no request for so long ends
	loop     *core.Loop
	conns    *conns.Listener
	serving  func() bool // whether some backend may get work
	bodies   *bodybuffer.Budget
	log      *slog.Logger
	terms    atomic.Pointer[terms]
	draining atomic.Bool // it stops
	drained  atomic.Bool // operators have drained it

	mu      sync.Mutex
	work    *work.Pool // of watches of clients
	open    map[*conn]bool
	ended   bool
	running sync.WaitGroup
}

// Terms are what requests are taken by. A request keeps those that it came under.
type Terms struct {
	Settings *saltmast.Settings
	Classes  []string // their names, by number
	Tenants  []string
	Record   Record
}

type terms struct {
	Terms
	classes map[string]int
}

// Options are what a front is made of.
type Options struct {
	Terms
	Loop    *core.Loop
	Conns   *conns.Listener
	Serving func() bool        // whether some backend may get work: then it is ready
	Bodies  *bodybuffer.Budget // of bodies that are kept
	Log     *slog.Logger
}

// Record says which requests are recorded, and what by.
type Record struct {
	Classes []bool   // by number; nil: none
	Header  string   // that holds the account; "" for none
	Field   []string // of a JSON body that does, from outside inwards; nil for none
}

// New returns a front that serves once Serve is called.
func New(o Options) *Front {
	f := &Front{loop: o.Loop, conns: o.Conns, serving: o.Serving, bodies: o.Bodies, log: o.Log, Idle: idleTime, work: work.New(), open: map[*conn]bool{}}
	f.Retune(o.Terms)
	return f
}

// Retune has the requests to come taken by other terms, which the loop must know already.
func (f *Front) Retune(t Terms) {
	n := &terms{Terms: t, classes: map[string]int{}}
	for i, name := range t.Classes {
		n.classes[name] = i
	}
	f.terms.Store(n)
}

// Serve serves until Stop, and returns why it ended.
func (f *Front) Serve() error {
	for {
		nc, err := f.conns.Accept()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) {
				f.log.Warn("no connection was accepted", "err", err)
				time.Sleep(acceptPause) // of descriptors: some are given back soon
				continue
			}
			return err
		}
		c := &conn{Conn: nc, f: f}
		c.in = bufio.NewReaderSize(c, 4<<10)
		f.mu.Lock()
		if f.ended {
			f.mu.Unlock()
			nc.Close()
			return net.ErrClosed
		}
		f.open[c] = true
		f.running.Add(1)
		f.mu.Unlock()
		f.conns.Rest(nc)
		go func() {
			defer f.running.Done()
			defer func() {
				if p := recover(); p != nil { // costs a connection and no more
					f.log.Error("bug: the front panicked", "panic", fmt.Sprint(p), "stack", strings.ReplaceAll(string(debug.Stack()), "\n", " | "))
				}
			}()
			c.serve()
			f.mu.Lock()
			delete(f.open, c)
			f.mu.Unlock()
		}()
	}
}

// acceptPause is how long nothing is accepted once the descriptors have run out.
const acceptPause = 5 * time.Millisecond

// Drain tells clients, by closing each connection with its answer, that the agent stops soon.
func (f *Front) Drain() { f.draining.Store(true) }

// SetDrained has the agent say no to whoever asks for its health, and close each connection with its answer; or end that.
func (f *Front) SetDrained(drained bool) { f.drained.Store(drained) }

// leaving reports whether clients are to go.
func (f *Front) leaving() bool { return f.draining.Load() || f.drained.Load() }

// stopStep is how often a stop looks for connections that rest.
const stopStep = 20 * time.Millisecond

// Stop takes no more connections and waits for what is under way, until ctx ends. Then all connections are closed. One that
// rests closes only after a look whether a request has come there: http.Server.Shutdown does not look, and resets it.
func (f *Front) Stop(ctx context.Context) error {
	f.draining.Store(true)
	if err := f.conns.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("stopping: %w", err)
	}
	tick := time.NewTicker(stopStep)
	defer tick.Stop()
	for f.conns.CloseQuiet(0) > 0 {
		select {
		case <-tick.C:
			continue
		case <-ctx.Done():
		}
		break
	}
	f.mu.Lock()
	f.ended = true
	for c := range f.open {
		c.Close()
	}
	f.mu.Unlock()
	done := make(chan struct{})
	go func() { f.running.Wait(); close(done) }()
	select {
	case <-done:
		f.work.Close()
	case <-time.After(stopStep): // an answer that passes may wait for its backend
	}
	return nil
}

// answer answers one request, and reports whether its connection goes on.
func (f *Front) answer(c *conn, r *http1.Request) bool {
	if r.Path == "/healthz" {
		// Whoever asks for this asks once; seen in hundreds, each keeping its connection for good.
		status, text := f.health()
		c.put(status, "", []byte(text), true)
		c.leave()
		return false
	}
	terms := f.terms.Load()
	event, status, why := terms.parse(r)
	if status != 0 {
		c.turnAway(status, why)
		return false
	}
	hold, way := f.bodies.Reserve(r.Length)
	defer hold.Release()
	q := &upstream.HTTP{Key: r.Header.Get("Idempotency-Key"), Method: r.Method, Host: r.Host, Target: r.Target}
	record := event.Class < len(terms.Record.Classes) && terms.Record.Classes[event.Class]
	arrived := time.Now()
	var body *http1.Body
	if r.Length != 0 {
		body = c.source(r.Length)
		q.Body, q.Coming, status, why = c.readBody(r, body, hold, way)
		if status == 0 && q.Coming != nil && record {
			status, why = http.StatusRequestEntityTooLarge, "too large a body for a request that must be recorded before it goes out"
		}
		if status != 0 {
			c.turnAway(status, why)
			return false
		}
		if why != "" {
			return false
		}
		arrived = time.Now() // a request's time counts from its last byte
	}
	event.BodyPending = q.Coming != nil
	req := f.loop.NewRequest(terms.Settings, event, arrived, q)
	if record {
		req.Record = &core.Record{Class: terms.Classes[event.Class], Account: terms.Record.account(r.Header, q.Body), Key: q.Key, Digest: sha256.Sum256(q.Body)}
	}
	// Guards against a process that was stopped for longer than its clients wait: what they sent meanwhile is read when it
	// wakes, and would go out before the loop hears that they have left.
	if c.in.Buffered() == 0 && sock.Closed(c.raw()) {
		return false
	}
	f.loop.Submit(req)
	if q.Coming != nil {
		return f.finishComing(c, r, req, q.Coming, body)
	}
	gone, stop := c.watch()
	select {
	case a := <-req.Answer():
		stop()
		return f.write(c, r, a, true)
	case <-gone:
		stop()
		f.loop.Leave(req)
	case <-f.loop.Done():
		stop()
		c.put(http.StatusBadGateway, "", nil, true)
	}
	return false
}

// finishComing sees a request to its end whose body passes. The attempt reads it; only once that has let go of it may the
// connection be used for more.
func (f *Front) finishComing(c *conn, r *http1.Request, req *core.Request, coming *upstream.Coming, body *http1.Body) bool {
	select {
	case a := <-req.Answer():
		free := coming.Free()
		if err := coming.Err(); err != nil && a.Kind != core.Served { // the client's own doing
			if free {
				c.turnAway(statusOf(err), err.Error())
			}
			return false
		}
		whole := free && body.Whole()
		if ok := f.write(c, r, a, whole); ok && whole {
			return true
		}
		if free && !whole {
			c.linger()
		}
	case <-f.loop.Done():
		c.put(http.StatusBadGateway, "", nil, true)
	}
	return false
}

func (f *Front) health() (status int, text string) {
	select {
	case <-f.loop.Ready():
		if !f.leaving() && f.serving() {
			return http.StatusOK, "ok\n"
		}
	default:
	}
	return http.StatusServiceUnavailable, ""
}

// once are the headers that a request carries once at the most: which of two counts is anyone's guess.
var once = []string{"X-Call-Id", "X-Budget-Ms", "Idempotency-Key", "X-Caller", "X-Route-Hash"}

// maxKey bounds an Idempotency-Key.
const maxKey = 255

// parse reads a request's head. A status other than 0 says what is wrong with it.
func (t *terms) parse(r *http1.Request) (e saltmast.Request, status int, why string) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.Path, "/"), "/")
	class, ok := t.classes[name]
	if !ok {
		return e, http.StatusNotFound, "unknown class"
	}
	effect := t.Settings.Classes[class].Effect
	if want := method(effect); r.Method != want {
		return e, http.StatusMethodNotAllowed, want + " wanted"
	}
	for _, name := range once {
		if len(r.Header[name]) > 1 {
			return e, http.StatusBadRequest, name + " twice"
		}
	}
	if effect == saltmast.Safe && r.Length != 0 {
		return e, http.StatusBadRequest, "a body with GET"
	}
	e = saltmast.Request{ID: r.Header.Get("X-Call-Id"), Class: class, Key: r.Header.Get("X-Route-Hash"),
		Repeat: r.Header.Get("X-Again") == "1"}
	if !validID(e.ID) {
		return e, http.StatusBadRequest, "X-Call-Id: 16 hex digits wanted"
	}
	budget, err := strconv.ParseUint(r.Header.Get("X-Budget-Ms"), 10, 32)
	if e.TimeLeft = time.Duration(budget) * time.Millisecond; err != nil || e.TimeLeft <= 0 || e.TimeLeft > maxBudget {
		return e, http.StatusBadRequest, "X-Budget-Ms: whole milliseconds wanted"
	}
	e.TimeLeft = min(e.TimeLeft, t.Settings.Classes[class].Deadline) // no client of the class waits longer
	// Backends know a repeat by its key alone: without one, a second attempt might run again.
	if key := r.Header.Get("Idempotency-Key"); (effect == saltmast.Keyed) != (key != "") || len(key) > maxKey {
		return e, http.StatusBadRequest, "Idempotency-Key: wanted for a keyed class alone"
	}
	if text := r.Header.Get("X-Call-Cost"); text != "" {
		if us, err := strconv.ParseFloat(text, 64); err == nil && us > 0 && us < 1e12 {
			e.Work = time.Duration(us * 1e3)
		}
	}
	if i := slices.Index(t.Tenants, r.Header.Get("X-Caller")); i > 0 {
		e.Tenant = i
	}
	return e, 0, ""
}

// account is what a request is about, as the operator's file maps it; "" where it does not say.
func (rec Record) account(h http.Header, body []byte) string {
	if rec.Header != "" {
		return h.Get(rec.Header)
	}
	var value any
	if rec.Field == nil {
		return ""
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	if d.Decode(&value) != nil {
		return ""
	}
	for _, name := range rec.Field {
		object, _ := value.(map[string]any)
		value = object[name]
	}
	switch v := value.(type) {
	case string:
		return v
	case json.Number:
		return v.String()
	}
	return ""
}

// method is what requests of a kind come by.
func method(e saltmast.Effect) string {
	if e == saltmast.Safe {
		return http.MethodGet
	}
	return http.MethodPost
}

func validID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range []byte(id) {
		if !(c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F') {
			return false
		}
	}
	return true
}

// write answers a client, and reports whether its connection goes on. more: it may.
func (f *Front) write(c *conn, r *http1.Request, a core.Answer, more bool) bool {
	last := r.Last || !more || f.conns.Crowded() || f.leaving()
	status, body := http.StatusBadGateway, []byte(nil)
	switch a.Kind {
	case core.Served:
		status = http.StatusOK
		if s, ok := a.Payload.(*upstream.Stream); ok {
			if !c.pass(s, octets, last) || last {
				return false
			}
			return true
		}
		body, _ = a.Payload.([]byte)
	case core.Refused:
		status = http.StatusServiceUnavailable
	case core.Duplicate:
		status, body = http.StatusBadRequest, []byte("this id is open already\n")
	}
	head := octets
	if a.RetryAfter > 0 {
		head += "Retry-After: " + strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', -1, 64) + "\r\n"
	}
	ok := c.put(status, head, body, last) // a failure here means that the client has gone
	if ok && last && more {
		c.leave()
	}
	return ok && !last
}

const octets = "Content-Type: application/octet-stream\r\n"
