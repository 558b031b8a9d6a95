package dataplane

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/controlapi"
	"saltmast/internal/errcode"
	"saltmast/internal/modelcheck"
	"saltmast/internal/simulation/network"
	"saltmast/internal/sock"
)

// The walk of a connection between a proxy and its backend: three requests, and for each of them every action of the
// backend or the network, in all combinations. Whatever happened to earlier requests, a request gets the response of
// its own run, runs at most once, and does not run if it is reported as not executed.

// backendRequest is one request as read by the backend of the walk.
type backendRequest struct {
	c      net.Conn
	id     string
	number string // sequence number within the walk
	late   *[]byte
}

const sequenceHeader = "X-Ask"

// response returns a response; head has further header lines.
func (a *backendRequest) response(status int, id, head string) []byte {
	body := fmt.Sprintf("of %s by %s", a.id, a.number)
	if id != "" {
		head += HeaderAttemptID + ": " + id + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d x\r\n%s%s: s\r\nContent-Length: %d\r\n\r\n%s", status, head, HeaderServerSeal, len(body), body)
}

func (a *backendRequest) okResponse() []byte { return a.response(200, a.id, "") }

const (
	declines       = HeaderNotExecuted + ": 1\r\n"
	requestTimeout = 200 * time.Millisecond
)

// backendActions are what may happen to a request at the backend. Each writes its response, and reports whether the
// connection stays open; runs says whether the request ran.
var backendActions = []struct {
	name string
	runs bool
	do   func(a *backendRequest) bool
}{
	{"answered", true, func(a *backendRequest) bool { return a.write(a.okResponse()) }},
	{"answered twice", true, func(a *backendRequest) bool { return a.write(a.okResponse(), a.okResponse()) }},
	{"answered, and a duplicate while idle", true, func(a *backendRequest) bool {
		a.write(a.okResponse())
		time.Sleep(time.Millisecond)
		return a.write(a.okResponse())
	}},
	{"answered, and a duplicate before the next response", true, func(a *backendRequest) bool { return a.write(a.okResponse()) && a.sendBeforeNext(a.okResponse()) }},
	{"answered byte by byte", true, func(a *backendRequest) bool {
		for _, b := range a.okResponse() {
			a.write([]byte{b})
			time.Sleep(10 * time.Microsecond)
		}
		return true
	}},
	{"answered after an interim response", true, func(a *backendRequest) bool { return a.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), a.okResponse()) }},
	{"answered, and closed", true, func(a *backendRequest) bool { a.write(a.okResponse()); return false }},
	{"answered, and closed while idle", true, func(a *backendRequest) bool { a.write(a.okResponse()); time.Sleep(time.Millisecond); return false }},
	{"answered with Connection: close, and a duplicate", true, func(a *backendRequest) bool {
		return a.write(a.response(200, a.id, "Connection: x, close\r\n")) && a.sendBeforeNext(a.okResponse())
	}},
	{"cut in the head", true, func(a *backendRequest) bool { a.write(a.okResponse()[:30]); return false }},
	{"cut in the body", true, func(a *backendRequest) bool { b := a.okResponse(); a.write(b[:len(b)-3]); return false }},
	{"invalid response", true, func(a *backendRequest) bool { return a.write([]byte("\x00\xffnoise\r\n\r\n")) }},
	{"closed without a response", true, func(a *backendRequest) bool { return false }},
	{"silent, and answered late", true, func(a *backendRequest) bool {
		time.Sleep(requestTimeout + 2*backendResponseGrace)
		return a.write(a.okResponse())
	}},
	{"silent forever", true, func(a *backendRequest) bool { time.Sleep(time.Second); return false }},
	{"failed", true, func(a *backendRequest) bool { return a.write(a.response(500, a.id, "")) }},
	{"failed, and a duplicate before the next response", true, func(a *backendRequest) bool {
		return a.write(a.response(500, a.id, "")) && a.sendBeforeNext(a.response(500, a.id, ""))
	}},
	{"declined", false, func(a *backendRequest) bool { return a.write(a.response(503, a.id, declines)) }},
	{"declined, and a duplicate before the next response", false, func(a *backendRequest) bool {
		return a.write(a.response(503, a.id, declines)) && a.sendBeforeNext(a.response(503, a.id, declines))
	}},
	{"declined without an id", false, func(a *backendRequest) bool { return a.write(a.response(421, "", declines)) }},
	{"declined, and a duplicate without an id before the next response", false, func(a *backendRequest) bool {
		return a.write(a.response(503, a.id, declines)) && a.sendBeforeNext(a.response(503, "", declines))
	}},
	{"answered without an id", true, func(a *backendRequest) bool { return a.write(a.response(200, "", "")) }},
	{"answered with two ids", true, func(a *backendRequest) bool { return a.write(a.response(200, a.id, HeaderAttemptID+": Z\r\n")) }},
	{"answered with a bare CR in a header", true, func(a *backendRequest) bool { return a.write(a.response(200, a.id, "A: b\rContent-Length: 0\r\n")) }},
	{"answered with two lengths, one with a space in its name", true, func(a *backendRequest) bool { return a.write(a.response(200, a.id, "Content-Length : 3\r\n")) }},
	{"answered with the id of another request", true, func(a *backendRequest) bool { return a.write(a.response(200, "Z", "")) }},
	{"answered with a Connection header that names mesh headers", true, func(a *backendRequest) bool {
		return a.write(a.response(200, a.id, "Connection: "+HeaderServerSeal+", "+strings.ToLower(HeaderAttemptID)+"\r\n"))
	}},
	{"answered without a seal", true, func(a *backendRequest) bool {
		return a.write(bytes.Replace(a.okResponse(), []byte(HeaderServerSeal), []byte("X-None"), 1))
	}},
}

func (a *backendRequest) write(msg ...[]byte) bool {
	_, err := a.c.Write(bytes.Join(msg, nil))
	return err == nil
}

// sendBeforeNext has msg sent ahead of the next response on the connection.
func (a *backendRequest) sendBeforeNext(msg []byte) bool { *a.late = msg; return true }

// backendWalk is the state of one walk.
type backendWalk struct {
	network      *network.Sea
	process      *network.Process
	net          sock.Net // used by the proxy
	beforeWorld  func()   // called before each world
	forgetLastID bool     // the proxy forgets the last id sent on a connection
	port         int
	mu           sync.Mutex
	reads        map[string]int // complete requests by sequence number
	runs         map[string]int
}

// serve simulates the backend: script has the action for each request in order.
func (w *backendWalk) serve(l net.Listener, script []int) {
	n := 0
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := bufio.NewReader(c)
			var late []byte
			for {
				r, err := http.ReadRequest(in)
				if err != nil {
					return
				}
				req := &backendRequest{c: c, id: r.Header.Get(HeaderAttemptID), number: r.Header.Get(sequenceHeader), late: &late}
				if late != nil {
					req.write(late)
					late = nil
				}
				w.mu.Lock()
				w.reads[req.number]++
				action := backendActions[0]
				if n < len(script) {
					action = backendActions[script[n]]
				}
				n++
				if action.runs {
					w.runs[req.number]++
				}
				w.mu.Unlock()
				if !action.do(req) {
					return
				}
			}
		}()
	}
}

// runWorld sends three requests with the given ids under one script. retry reports whether a request with that outcome
// is sent once more under its id, in place of the next.
func (w *backendWalk) runWorld(t *testing.T, ids [3]string, script []int, retry func(o *outcome) bool) string {
	w.port++
	if w.beforeWorld != nil {
		w.beforeWorld()
	}
	w.reads, w.runs = map[string]int{}, map[string]int{}
	addr := fmt.Sprintf("10.0.0.1:%d", w.port)
	l, err := w.process.Listen(addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	ib := newInbound(Options{Node: "n", Service: "ledger", App: addr, InboundAddr: "a:1", Incarnation: 7, Started: time.Now(), Heartbeat: time.Hour,
		OperationWindow: time.Minute, ResponseBytes: 1 << 20, Net: w.net, Log: func(string, string) {}}, nil)
	defer ib.operations.Stop()
	defer l.Close()
	ib.Heartbeat(controlapi.Heartbeat{ID: "i-1", Service: "ledger", Capacity: 4, Sequence: 1, State: backends.Serving})
	go w.serve(l, script)
	lastID := ""
	var lastOutcome outcome
	for i, id := range ids {
		if id == lastID && !retry(&lastOutcome) {
			continue
		}
		lastID = id
		number := fmt.Sprint(i)
		if w.forgetLastID {
			if c := ib.pool.Get("i-1"); c != nil {
				c.LastRequestID = ""
				ib.pool.Release(c)
			}
		}
		o := ib.execute(context.Background(), &peerRequest{Kind: runRequest, Instance: "i-1", Service: "ledger", Method: "GET", Target: "/", ID: id, RemainingMs: uint32(requestTimeout.Milliseconds()),
			Header: []Field{{Name: HeaderAttemptID, Value: id}, {Name: sequenceHeader, Value: number}, {Name: "Host", Value: "h"}}}, nil, nil)
		lastOutcome = o
		if o.response != nil {
			got, gotID, seals := string(o.response.Body), "", 0
			for _, f := range o.response.Header {
				if f.Name == HeaderServerSeal {
					seals++
				}
				if f.Name == HeaderAttemptID {
					gotID = f.Value
				}
				if strings.ContainsAny(f.Value, "\r\n") || strings.Contains(f.Name, " ") {
					return fmt.Sprintf("request %d got an ambiguous header", i)
				}
			}
			if got != fmt.Sprintf("of %s by %s", id, number) || gotID != id {
				return fmt.Sprintf("request %d with id %s got %q with id %q", i, id, got, gotID)
			}
			if o.response.Status/100 == 2 && seals != 1 {
				return fmt.Sprintf("request %d got a success with %d seals", i, seals)
			}
		}
		time.Sleep(time.Duration(i+1) * 5 * time.Millisecond) // a duplicate sent later arrives
		w.mu.Lock()
		reads, runs := w.reads[number], w.runs[number]
		w.mu.Unlock()
		switch {
		case reads > 1:
			return fmt.Sprintf("request %d was sent %d times", i, reads)
		case o.Code.NotRun() && runs > 0:
			return fmt.Sprintf("request %d ran, but is reported as not executed: %v", i, o.Code)
		case o.response != nil && runs != 1:
			return fmt.Sprintf("request %d got a response without a run", i)
		}
	}
	ib.pool.CloseIdle("i-1")
	return ""
}

func newBackendWalk(*testing.T) *backendWalk {
	s := network.New(1)
	w := &backendWalk{network: s, process: s.Machine("10.0.0.1", "north").Start(), port: 1000}
	w.net = w.process
	return w
}

// backendWays: different requests, one that is retried after a proof that it did not run, one that is retried after any
// failure, and one whose id returns after another request.
var backendWays = []struct {
	ids   [3]string
	again func(*outcome) bool
}{
	{[3]string{"A", "B", "C"}, nil},
	{[3]string{"A", "A", "B"}, func(o *outcome) bool { return o.Code.NotRun() }},
	{[3]string{"A", "A", "A"}, func(o *outcome) bool { return o.Code != errcode.OK || o.Status >= 500 }},
	{[3]string{"A", "B", "A"}, nil},
}

var backendWalks = modelcheck.ScriptTest[*backendWalk]{Actions: len(backendActions), ActionName: func(i int) string { return backendActions[i].name }, ScriptLength: 2,
	Modes: []string{"different requests", "retry after a proof", "retry after a failure", "same id after another request"}, Setup: newBackendWalk,
	Run: func(t *testing.T, w *backendWalk, script []int, way int) string {
		return w.runWorld(t, backendWays[way].ids, append(script, 0), backendWays[way].again)
	},
	Teardown: func(w *backendWalk) { w.process.End() }}

// Whatever happens to a request at the backend, and to the one before it, none gets another's response and none runs
// twice.
func TestBackendWalk(t *testing.T) { backendWalks.Check(t) }

// wrappingNet is a network that wraps its connections.
type wrappingNet struct {
	sock.Net
	wrap func(dial func() (net.Conn, error)) (net.Conn, error)
}

func (w wrappingNet) Dial(ctx context.Context, addr string, quiet time.Duration) (net.Conn, error) {
	return w.wrap(func() (net.Conn, error) { return w.Net.Dial(context.WithoutCancel(ctx), addr, quiet) })
}

// resendingNet is a network whose connections resend a request after a reset.
func resendingNet(on sock.Net) sock.Net {
	return wrappingNet{on, func(dial func() (net.Conn, error)) (net.Conn, error) {
		c, err := dial()
		if err != nil {
			return nil, err
		}
		return &resendingConn{Conn: c, dial: dial}, nil
	}}
}

// recyclingNet is a network that returns a closed connection on the next dial; forget is called before each world.
func recyclingNet(on sock.Net) (_ sock.Net, forget func()) {
	var left net.Conn
	return wrappingNet{on, func(dial func() (net.Conn, error)) (net.Conn, error) {
		c := left
		if left = nil; c == nil {
			var err error
			if c, err = dial(); err != nil {
				return nil, err
			}
		}
		return &recycledConn{c, &left}, nil
	}}, func() { left = nil }
}

// idRewritingConn makes every response bear the expected id, as if ids were not compared.
type idRewritingConn struct {
	net.Conn
	id []byte
}

var idLine = regexp.MustCompile(`(?m)` + HeaderAttemptID + `: .`)

func (b *idRewritingConn) Write(p []byte) (int, error) {
	b.id = bytes.Clone(idLine.Find(p))
	return b.Conn.Write(p)
}

func (b *idRewritingConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	if b.id != nil {
		copy(p, idLine.ReplaceAllLiteral(bytes.Clone(p[:n]), b.id))
	}
	return n, err
}

func (b *idRewritingConn) Quiet() (quiet, bytes bool) { return sock.Look(b.Conn) }

// resendingConn resends a request if its connection ends without a response, as a client might that doesn't know
// whether it had an effect.
type resendingConn struct {
	net.Conn
	dial func() (net.Conn, error)
	sent []byte
	read bool
}

func (r *resendingConn) Write(p []byte) (int, error) {
	r.sent, r.read = bytes.Clone(p), false
	return r.Conn.Write(p)
}

func (r *resendingConn) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if n == 0 && err != nil && !isTimeout(err) && !r.read && r.sent != nil {
		r.read = true
		if c, derr := r.dial(); derr == nil {
			r.Conn = c
			c.Write(r.sent)
			c.SetDeadline(time.Now().Add(requestTimeout))
			return c.Read(p)
		}
	}
	r.read = r.read || n > 0
	return n, err
}

func (r *resendingConn) Quiet() (quiet, bytes bool) { return sock.Look(r.Conn) }

// recycledConn keeps a closed connection open for the next dial.
type recycledConn struct {
	net.Conn
	left *net.Conn
}

func (r *recycledConn) Close() error               { *r.left = r.Conn; return nil }
func (r *recycledConn) Quiet() (quiet, bytes bool) { return sock.Look(r.Conn) }

// The walk finds a proxy that does not compare ids, one that resends after a reset, one that reuses a closed connection
// with a pending request, and one that retries a request where a duplicate of its first response may arrive.
func TestBackendWalkFindsFaults(t *testing.T) {
	backendWalks.CheckMutants(t, map[string]func(w *backendWalk){
		"ids are not compared": func(w *backendWalk) {
			w.net = wrappingNet{w.process, func(dial func() (net.Conn, error)) (net.Conn, error) {
				c, err := dial()
				if err != nil {
					return nil, err
				}
				return &idRewritingConn{Conn: c}, nil
			}}
		},
		"resends after a reset":      func(w *backendWalk) { w.net = resendingNet(w.process) },
		"reuses a closed connection": func(w *backendWalk) { w.net, w.beforeWorld = recyclingNet(w.process) },
		"forgets the last id":        func(w *backendWalk) { w.forgetLastID = true },
	})
}

// truncatingConn accepts a limited number of bytes of the next write, and resets.
type truncatingConn struct {
	net.Conn
	take *int
}

func (c *truncatingConn) Write(p []byte) (int, error) {
	if *c.take < 0 {
		return c.Conn.Write(p)
	}
	n := min(*c.take, len(p))
	*c.take = -1
	c.Conn.Write(p[:n])
	c.Conn.Close()
	return n, syscall.ECONNRESET
}

func (c *truncatingConn) Quiet() (quiet, bytes bool) { return sock.Look(c.Conn) }

// A request whose head was not sent completely on a reused connection is sent on the next one; on a fresh connection it
// is reported as not executed. One whose head was sent may have run.
func TestPartialWriteToBackend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ran, take := 0, -1
		w := newTestProxy(t, idempotentRoute, func(o io.Writer, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err == nil {
				ran++
				respondWithID(o, r)
			}
		})
		w.Inbound.pool.Net = wrappingNet{w.process, func(dial func() (net.Conn, error)) (net.Conn, error) {
			c, err := dial()
			return &truncatingConn{c, &take}, err
		}}
		do := func(body string) outcome {
			time.Sleep(time.Millisecond)
			return w.Inbound.execute(context.Background(), &peerRequest{Instance: "i-1", Service: "ledger", Method: "PUT", Target: "/", ID: "A", Length: int64(len(body)), RemainingMs: 1000,
				Header: []Field{{Name: HeaderAttemptID, Value: "A"}, {Name: "Host", Value: "h"}}}, []byte(body), nil)
		}
		for _, step := range []struct {
			name string
			take int
			want errcode.Kind
			runs int
		}{
			{"a fresh connection", -1, errcode.OK, 1},
			{"nothing sent", 0, errcode.OK, 1},
			{"a part of the head sent", 40, errcode.OK, 1},
			{"the head sent", 200, errcode.ConnectionLost, 0},
			{"a part of the head sent on a fresh connection", 40, errcode.Unreachable, 0},
			{"a fresh connection again", -1, errcode.OK, 1},
		} {
			was := ran
			take = step.take
			if o := do(strings.Repeat("x", 500)); o.Code != step.want || ran-was != step.runs || o.Code == errcode.Unreachable && o.Sent {
				t.Errorf("%s: %+v, %v; it ran %d times", step.name, o.peerResponse, o.err, ran-was)
			}
			if c := w.Inbound.pool.Get("i-1"); c != nil { // a retry under its id would use a fresh connection
				c.LastRequestID = ""
				w.Inbound.pool.Release(c)
			}
		}
	})
}
