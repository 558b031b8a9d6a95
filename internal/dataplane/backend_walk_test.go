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

// The walk of a connection between a gate and its backend: three requests, and at each of them each thing that a backend or the
// network may do to it, all after all. Whatever was done to those before, a request gets the answer of its own run, at most one
// run, and none where it is told that it did not run.

// backendRequest is one request as the backend of the walk has read it.
type backendRequest struct {
	c      net.Conn
	id     string
	number string // which of the walk's asks
	late   *[]byte
}

const sequenceHeader = "X-Ask"

// response is an answer to it; head has further header lines.
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

// backendActions are what may happen to a request at the backend. Each writes what it answers, and reports whether the connection
// goes on; runs says whether the request ran.
var backendActions = []struct {
	name string
	runs bool
	do   func(a *backendRequest) bool
}{
	{"answered", true, func(a *backendRequest) bool { return a.write(a.okResponse()) }},
	{"answered twice", true, func(a *backendRequest) bool { return a.write(a.okResponse(), a.okResponse()) }},
	{"answered, and again at rest", true, func(a *backendRequest) bool {
		a.write(a.okResponse())
		time.Sleep(time.Millisecond)
		return a.write(a.okResponse())
	}},
	{"answered, and again in the next one's place", true, func(a *backendRequest) bool { return a.write(a.okResponse()) && a.sendBeforeNext(a.okResponse()) }},
	{"answered in small pieces", true, func(a *backendRequest) bool {
		for _, b := range a.okResponse() {
			a.write([]byte{b})
			time.Sleep(10 * time.Microsecond)
		}
		return true
	}},
	{"answered behind an early one", true, func(a *backendRequest) bool { return a.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), a.okResponse()) }},
	{"answered, and closed", true, func(a *backendRequest) bool { a.write(a.okResponse()); return false }},
	{"answered, and closed at rest", true, func(a *backendRequest) bool { a.write(a.okResponse()); time.Sleep(time.Millisecond); return false }},
	{"answered with the end told, and again", true, func(a *backendRequest) bool {
		return a.write(a.response(200, a.id, "Connection: x, close\r\n")) && a.sendBeforeNext(a.okResponse())
	}},
	{"cut in the head", true, func(a *backendRequest) bool { a.write(a.okResponse()[:30]); return false }},
	{"cut in the body", true, func(a *backendRequest) bool { b := a.okResponse(); a.write(b[:len(b)-3]); return false }},
	{"spoilt", true, func(a *backendRequest) bool { return a.write([]byte("\x00\xffnoise\r\n\r\n")) }},
	{"closed without an answer", true, func(a *backendRequest) bool { return false }},
	{"silent, and answered late", true, func(a *backendRequest) bool {
		time.Sleep(requestTimeout + 2*backendResponseGrace)
		return a.write(a.okResponse())
	}},
	{"silent for good", true, func(a *backendRequest) bool { time.Sleep(time.Second); return false }},
	{"failed", true, func(a *backendRequest) bool { return a.write(a.response(500, a.id, "")) }},
	{"failed, and again in the next one's place", true, func(a *backendRequest) bool {
		return a.write(a.response(500, a.id, "")) && a.sendBeforeNext(a.response(500, a.id, ""))
	}},
	{"declined", false, func(a *backendRequest) bool { return a.write(a.response(503, a.id, declines)) }},
	{"declined, and again in the next one's place", false, func(a *backendRequest) bool {
		return a.write(a.response(503, a.id, declines)) && a.sendBeforeNext(a.response(503, a.id, declines))
	}},
	{"declined without an id", false, func(a *backendRequest) bool { return a.write(a.response(421, "", declines)) }},
	{"declined without an id in the next one's place", false, func(a *backendRequest) bool {
		return a.write(a.response(503, a.id, declines)) && a.sendBeforeNext(a.response(503, "", declines))
	}},
	{"answered without an id", true, func(a *backendRequest) bool { return a.write(a.response(200, "", "")) }},
	{"answered with two ids", true, func(a *backendRequest) bool { return a.write(a.response(200, a.id, HeaderAttemptID+": Z\r\n")) }},
	{"answered with a line hidden in a header", true, func(a *backendRequest) bool { return a.write(a.response(200, a.id, "A: b\rContent-Length: 0\r\n")) }},
	{"answered with two lengths, one in a name of its own", true, func(a *backendRequest) bool { return a.write(a.response(200, a.id, "Content-Length : 3\r\n")) }},
	{"answered as another", true, func(a *backendRequest) bool { return a.write(a.response(200, "Z", "")) }},
	{"answered with a Connection that names what is the mesh's", true, func(a *backendRequest) bool {
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

// sendBeforeNext has bytes come ahead of the next answer on the connection.
func (a *backendRequest) sendBeforeNext(msg []byte) bool { *a.late = msg; return true }

// backendWalk is what one walk has seen.
type backendWalk struct {
	network      *network.Sea
	process      *network.Process
	net          sock.Net // of the gate
	beforeWorld  func()   // of each world
	forgetLastID bool     // the gate does not know what was asked last on a connection
	port         int
	mu           sync.Mutex
	reads        map[string]int // whole requests, by ask
	runs         map[string]int
}

// serve plays the backend: script tells the deed for each request, in their order.
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
				a := &backendRequest{c: c, id: r.Header.Get(HeaderAttemptID), number: r.Header.Get(sequenceHeader), late: &late}
				if late != nil {
					a.write(late)
					late = nil
				}
				w.mu.Lock()
				w.reads[a.number]++
				d := backendActions[0]
				if n < len(script) {
					d = backendActions[script[n]]
				}
				n++
				if d.runs {
					w.runs[a.number]++
				}
				w.mu.Unlock()
				if !d.do(a) {
					return
				}
			}
		}()
	}
}

// runWorld makes three requests by ids under one script. again: whether a request that ended so is made once more, under its id, in
// place of the next.
func (w *backendWalk) runWorld(t *testing.T, ids [3]string, script []int, again func(o *outcome) bool) string {
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
	g := newInbound(Options{Node: "n", Service: "ledger", App: addr, InboundAddr: "a:1", Incarnation: 7, Started: time.Now(), Heartbeat: time.Hour,
		OperationWindow: time.Minute, ResponseBytes: 1 << 20, Net: w.net, Log: func(string, string) {}}, nil)
	defer g.operations.End()
	defer l.Close()
	g.Heartbeat(controlapi.Beat{ID: "i-1", Service: "ledger", Capacity: 4, Count: 1, State: backends.Serving})
	go w.serve(l, script)
	before := ""
	var last outcome
	for i, id := range ids {
		if id == before && !again(&last) {
			continue
		}
		before = id
		n := fmt.Sprint(i)
		if w.forgetLastID {
			if c := g.pool.Take("i-1"); c != nil {
				c.Last = ""
				g.pool.Release(c)
			}
		}
		o := g.execute(context.Background(), &peerRequest{Kind: runRequest, Instance: "i-1", Service: "ledger", Method: "GET", Target: "/", ID: id, RemainingMs: uint32(requestTimeout.Milliseconds()),
			Header: []Field{{Name: HeaderAttemptID, Value: id}, {Name: sequenceHeader, Value: n}, {Name: "Host", Value: "h"}}}, nil, nil)
		last = o
		if o.response != nil {
			got, id2, seals := string(o.response.Body), "", 0
			for _, f := range o.response.Header {
				if f.Name == HeaderServerSeal {
					seals++
				}
				if f.Name == HeaderAttemptID {
					id2 = f.Value
				}
				if strings.ContainsAny(f.Value, "\r\n") || strings.Contains(f.Name, " ") {
					return fmt.Sprintf("ask %d got a header that may be read in two ways", i)
				}
			}
			if got != fmt.Sprintf("of %s by %s", id, n) || id2 != id {
				return fmt.Sprintf("ask %d, of %s, got %q under %q", i, id, got, id2)
			}
			if o.response.Status/100 == 2 && seals != 1 {
				return fmt.Sprintf("ask %d got a success with %d seals", i, seals)
			}
		}
		time.Sleep(time.Duration(i+1) * 5 * time.Millisecond) // what comes at rest, comes
		w.mu.Lock()
		reads, runs := w.reads[n], w.runs[n]
		w.mu.Unlock()
		switch {
		case reads > 1:
			return fmt.Sprintf("ask %d was sent %d times", i, reads)
		case o.Code.NotRun() && runs > 0:
			return fmt.Sprintf("ask %d ran, and is told not to have: %v", i, o.Code)
		case o.response != nil && runs != 1:
			return fmt.Sprintf("ask %d is answered by none of its runs", i)
		}
	}
	g.pool.CloseIdle("i-1")
	return ""
}

func newBackendWalk(*testing.T) *backendWalk {
	s := network.New(1)
	w := &backendWalk{network: s, process: s.Machine("10.0.0.1", "north").Start(), port: 1000}
	w.net = w.process
	return w
}

// backendWays are for requests that differ, for one that is made again after a proof, as one that may run once, for one that is made
// again after any failure, and for one whose id comes again behind another's.
var backendWays = []struct {
	ids   [3]string
	again func(*outcome) bool
}{
	{[3]string{"A", "B", "C"}, nil},
	{[3]string{"A", "A", "B"}, func(o *outcome) bool { return o.Code.NotRun() }},
	{[3]string{"A", "A", "A"}, func(o *outcome) bool { return o.Code != errcode.OK || o.Status >= 500 }},
	{[3]string{"A", "B", "A"}, nil},
}

var backendWalks = modelcheck.Walk[*backendWalk]{Deeds: len(backendActions), Deed: func(i int) string { return backendActions[i].name }, Length: 2,
	Ways: []string{"others", "again after a proof", "again after a failure", "again behind another"}, Begin: newBackendWalk,
	World: func(t *testing.T, w *backendWalk, script []int, way int) string {
		return w.runWorld(t, backendWays[way].ids, append(script, 0), backendWays[way].again)
	},
	End: func(w *backendWalk) { w.process.End() }}

// Whatever happens to a request at the backend, and to the one before it, none gets another's answer and none runs twice.
func TestBackendWalk(t *testing.T) { backendWalks.Holds(t) }

// wrappingNet is a network whose connections are wrapped.
type wrappingNet struct {
	sock.Net
	wrap func(dial func() (net.Conn, error)) (net.Conn, error)
}

func (w wrappingNet) Dial(ctx context.Context, addr string, quiet time.Duration) (net.Conn, error) {
	return w.wrap(func() (net.Conn, error) { return w.Net.Dial(context.WithoutCancel(ctx), addr, quiet) })
}

// resendingNet is a network whose connections send again after a reset what was sent on them.
func resendingNet(on sock.Net) sock.Net {
	return wrappingNet{on, func(dial func() (net.Conn, error)) (net.Conn, error) {
		c, err := dial()
		if err != nil {
			return nil, err
		}
		return &resendingConn{Conn: c, dial: dial}, nil
	}}
}

// recyclingNet is a network that gives a connection that was thrown away for the next one; forget is for the begin of a world.
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

// idRewritingConn has every answer pass for the one that is waited for: as if ids were not compared.
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

// resendingConn sends a request again where its connection ends without an answer, as a client may that knows nothing of its effect.
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

// recycledConn gives a connection that was closed to whoever dials next.
type recycledConn struct {
	net.Conn
	left *net.Conn
}

func (r *recycledConn) Close() error               { *r.left = r.Conn; return nil }
func (r *recycledConn) Quiet() (quiet, bytes bool) { return sock.Look(r.Conn) }

// Wrong gates are found: one that does not compare ids, one that sends again after a reset, one that uses a connection again that
// was thrown away with a request on it, and one that makes a request again where a copy of its first answer may come.
func TestBackendWalkFindsFaults(t *testing.T) {
	backendWalks.Finds(t, map[string]func(w *backendWalk){
		"ids are not compared": func(w *backendWalk) {
			w.net = wrappingNet{w.process, func(dial func() (net.Conn, error)) (net.Conn, error) {
				c, err := dial()
				if err != nil {
					return nil, err
				}
				return &idRewritingConn{Conn: c}, nil
			}}
		},
		"sends again after a reset":       func(w *backendWalk) { w.net = resendingNet(w.process) },
		"uses again what was thrown away": func(w *backendWalk) { w.net, w.beforeWorld = recyclingNet(w.process) },
		"knows not what was asked last":   func(w *backendWalk) { w.forgetLastID = true },
	})
}

// truncatingConn takes so many bytes of the next write, and resets.
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

// A request whose head did not leave whole on a connection that rested goes out on the next one; on a fresh one it is told not to
// have run. One whose head left may have run.
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
			{"a fresh one", -1, errcode.OK, 1},
			{"nothing left", 0, errcode.OK, 1},
			{"a part of the head left", 40, errcode.OK, 1},
			{"the head left", 200, errcode.Broken, 0},
			{"a part of the head left on a fresh one", 40, errcode.Away, 0},
			{"a fresh one again", -1, errcode.OK, 1},
		} {
			was := ran
			take = step.take
			if o := do(strings.Repeat("x", 500)); o.Code != step.want || ran-was != step.runs || o.Code == errcode.Away && o.Sent {
				t.Errorf("%s: %+v, %v; it ran %d times", step.name, o.peerResponse, o.err, ran-was)
			}
			if c := w.Inbound.pool.Take("i-1"); c != nil { // asked again under its id, it would go out on a fresh one
				c.Last = ""
				w.Inbound.pool.Release(c)
			}
		}
	})
}
