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

// asked is one request as the backend of the walk has read it.
type asked struct {
	c    net.Conn
	id   string
	n    string // which of the walk's asks
	late *[]byte
}

const askHeader = "X-Ask"

// msg is an answer to it; head has further header lines.
func (a *asked) msg(status int, id, head string) []byte {
	body := fmt.Sprintf("of %s by %s", a.id, a.n)
	if id != "" {
		head += HeaderID + ": " + id + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d x\r\n%s%s: s\r\nContent-Length: %d\r\n\r\n%s", status, head, HeaderSeal, len(body), body)
}

func (a *asked) good() []byte { return a.msg(200, a.id, "") }

const (
	declines = HeaderNotRun + ": 1\r\n"
	askLeft  = 200 * time.Millisecond
)

// backendDeeds are what may happen to a request at the backend. Each writes what it answers, and reports whether the connection
// goes on; runs says whether the request ran.
var backendDeeds = []struct {
	name string
	runs bool
	do   func(a *asked) bool
}{
	{"answered", true, func(a *asked) bool { return a.put(a.good()) }},
	{"answered twice", true, func(a *asked) bool { return a.put(a.good(), a.good()) }},
	{"answered, and again at rest", true, func(a *asked) bool {
		a.put(a.good())
		time.Sleep(time.Millisecond)
		return a.put(a.good())
	}},
	{"answered, and again in the next one's place", true, func(a *asked) bool { return a.put(a.good()) && a.again(a.good()) }},
	{"answered in small pieces", true, func(a *asked) bool {
		for _, b := range a.good() {
			a.put([]byte{b})
			time.Sleep(10 * time.Microsecond)
		}
		return true
	}},
	{"answered behind an early one", true, func(a *asked) bool { return a.put([]byte("HTTP/1.1 100 Continue\r\n\r\n"), a.good()) }},
	{"answered, and closed", true, func(a *asked) bool { a.put(a.good()); return false }},
	{"answered, and closed at rest", true, func(a *asked) bool { a.put(a.good()); time.Sleep(time.Millisecond); return false }},
	{"answered with the end told, and again", true, func(a *asked) bool {
		return a.put(a.msg(200, a.id, "Connection: x, close\r\n")) && a.again(a.good())
	}},
	{"cut in the head", true, func(a *asked) bool { a.put(a.good()[:30]); return false }},
	{"cut in the body", true, func(a *asked) bool { b := a.good(); a.put(b[:len(b)-3]); return false }},
	{"spoilt", true, func(a *asked) bool { return a.put([]byte("\x00\xffnoise\r\n\r\n")) }},
	{"closed without an answer", true, func(a *asked) bool { return false }},
	{"silent, and answered late", true, func(a *asked) bool { time.Sleep(askLeft + 2*lateBy); return a.put(a.good()) }},
	{"silent for good", true, func(a *asked) bool { time.Sleep(time.Second); return false }},
	{"failed", true, func(a *asked) bool { return a.put(a.msg(500, a.id, "")) }},
	{"failed, and again in the next one's place", true, func(a *asked) bool {
		return a.put(a.msg(500, a.id, "")) && a.again(a.msg(500, a.id, ""))
	}},
	{"declined", false, func(a *asked) bool { return a.put(a.msg(503, a.id, declines)) }},
	{"declined, and again in the next one's place", false, func(a *asked) bool {
		return a.put(a.msg(503, a.id, declines)) && a.again(a.msg(503, a.id, declines))
	}},
	{"declined without an id", false, func(a *asked) bool { return a.put(a.msg(421, "", declines)) }},
	{"declined without an id in the next one's place", false, func(a *asked) bool {
		return a.put(a.msg(503, a.id, declines)) && a.again(a.msg(503, "", declines))
	}},
	{"answered without an id", true, func(a *asked) bool { return a.put(a.msg(200, "", "")) }},
	{"answered with two ids", true, func(a *asked) bool { return a.put(a.msg(200, a.id, HeaderID+": Z\r\n")) }},
	{"answered with a line hidden in a header", true, func(a *asked) bool { return a.put(a.msg(200, a.id, "A: b\rContent-Length: 0\r\n")) }},
	{"answered with two lengths, one in a name of its own", true, func(a *asked) bool { return a.put(a.msg(200, a.id, "Content-Length : 3\r\n")) }},
	{"answered as another", true, func(a *asked) bool { return a.put(a.msg(200, "Z", "")) }},
	{"answered with a Connection that names what is the mesh's", true, func(a *asked) bool {
		return a.put(a.msg(200, a.id, "Connection: "+HeaderSeal+", "+strings.ToLower(HeaderID)+"\r\n"))
	}},
	{"answered without a seal", true, func(a *asked) bool { return a.put(bytes.Replace(a.good(), []byte(HeaderSeal), []byte("X-None"), 1)) }},
}

func (a *asked) put(msg ...[]byte) bool {
	_, err := a.c.Write(bytes.Join(msg, nil))
	return err == nil
}

// again has bytes come ahead of the next answer on the connection.
func (a *asked) again(msg []byte) bool { *a.late = msg; return true }

// gateWalk is what one walk has seen.
type gateWalk struct {
	sea    *network.Sea
	p      *network.Process
	net    sock.Net // of the gate
	begin  func()   // of each world
	forget bool     // the gate does not know what was asked last on a connection
	port   int
	mu     sync.Mutex
	reads  map[string]int // whole requests, by ask
	runs   map[string]int
}

// serve plays the backend: script tells the deed for each request, in their order.
func (w *gateWalk) serve(l net.Listener, script []int) {
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
				a := &asked{c: c, id: r.Header.Get(HeaderID), n: r.Header.Get(askHeader), late: &late}
				if late != nil {
					a.put(late)
					late = nil
				}
				w.mu.Lock()
				w.reads[a.n]++
				d := backendDeeds[0]
				if n < len(script) {
					d = backendDeeds[script[n]]
				}
				n++
				if d.runs {
					w.runs[a.n]++
				}
				w.mu.Unlock()
				if !d.do(a) {
					return
				}
			}
		}()
	}
}

// world makes three requests by ids under one script. again: whether a request that ended so is made once more, under its id, in
// place of the next.
func (w *gateWalk) world(t *testing.T, ids [3]string, script []int, again func(o *outcome) bool) string {
	w.port++
	if w.begin != nil {
		w.begin()
	}
	w.reads, w.runs = map[string]int{}, map[string]int{}
	addr := fmt.Sprintf("10.0.0.1:%d", w.port)
	l, err := w.p.Listen(addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	g := newGate(Options{Node: "n", Service: "ledger", App: addr, GateAddr: "a:1", Life: 7, Begun: time.Now(), Heartbeat: time.Hour,
		KeyWindow: time.Minute, AnswerBytes: 1 << 20, Net: w.net, Log: func(string, string) {}}, nil)
	defer g.book.End()
	defer l.Close()
	g.Beat(controlapi.Beat{ID: "i-1", Service: "ledger", Capacity: 4, Count: 1, State: backends.Serving})
	go w.serve(l, script)
	before := ""
	var last outcome
	for i, id := range ids {
		if id == before && !again(&last) {
			continue
		}
		before = id
		n := fmt.Sprint(i)
		if w.forget {
			if c := g.pool.Take("i-1"); c != nil {
				c.Last = ""
				g.pool.Release(c)
			}
		}
		o := g.run(context.Background(), &ask{Kind: run, Instance: "i-1", Service: "ledger", Method: "GET", Target: "/", ID: id, Left: uint32(askLeft.Milliseconds()),
			Header: []Field{{Name: HeaderID, Value: id}, {Name: askHeader, Value: n}, {Name: "Host", Value: "h"}}}, nil, nil)
		last = o
		if o.answer != nil {
			got, id2, seals := string(o.answer.Body), "", 0
			for _, f := range o.answer.Header {
				if f.Name == HeaderSeal {
					seals++
				}
				if f.Name == HeaderID {
					id2 = f.Value
				}
				if strings.ContainsAny(f.Value, "\r\n") || strings.Contains(f.Name, " ") {
					return fmt.Sprintf("ask %d got a header that may be read in two ways", i)
				}
			}
			if got != fmt.Sprintf("of %s by %s", id, n) || id2 != id {
				return fmt.Sprintf("ask %d, of %s, got %q under %q", i, id, got, id2)
			}
			if o.answer.Status/100 == 2 && seals != 1 {
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
		case o.answer != nil && runs != 1:
			return fmt.Sprintf("ask %d is answered by none of its runs", i)
		}
	}
	g.pool.CloseIdle("i-1")
	return ""
}

func newGateWalk(*testing.T) *gateWalk {
	s := network.New(1)
	w := &gateWalk{sea: s, p: s.Machine("10.0.0.1", "north").Start(), port: 1000}
	w.net = w.p
	return w
}

// gateWays are for requests that differ, for one that is made again after a proof, as one that may run once, for one that is made
// again after any failure, and for one whose id comes again behind another's.
var gateWays = []struct {
	ids   [3]string
	again func(*outcome) bool
}{
	{[3]string{"A", "B", "C"}, nil},
	{[3]string{"A", "A", "B"}, func(o *outcome) bool { return o.Code.NotRun() }},
	{[3]string{"A", "A", "A"}, func(o *outcome) bool { return o.Code != errcode.OK || o.Status >= 500 }},
	{[3]string{"A", "B", "A"}, nil},
}

var walkOfGates = modelcheck.Walk[*gateWalk]{Deeds: len(backendDeeds), Deed: func(i int) string { return backendDeeds[i].name }, Length: 2,
	Ways: []string{"others", "again after a proof", "again after a failure", "again behind another"}, Begin: newGateWalk,
	World: func(t *testing.T, w *gateWalk, script []int, way int) string {
		return w.world(t, gateWays[way].ids, append(script, 0), gateWays[way].again)
	},
	End: func(w *gateWalk) { w.p.End() }}

// Whatever happens to a request at the backend, and to the one before it, none gets another's answer and none runs twice.
func TestWalkOfGateAndBackend(t *testing.T) { walkOfGates.Holds(t) }

// wrapping is a network whose connections are wrapped.
type wrapping struct {
	sock.Net
	wrap func(dial func() (net.Conn, error)) (net.Conn, error)
}

func (w wrapping) Dial(ctx context.Context, addr string, quiet time.Duration) (net.Conn, error) {
	return w.wrap(func() (net.Conn, error) { return w.Net.Dial(context.WithoutCancel(ctx), addr, quiet) })
}

// sendsAgain is a network whose connections send again after a reset what was sent on them.
func sendsAgain(on sock.Net) sock.Net {
	return wrapping{on, func(dial func() (net.Conn, error)) (net.Conn, error) {
		c, err := dial()
		if err != nil {
			return nil, err
		}
		return &resending{Conn: c, dial: dial}, nil
	}}
}

// usesAgain is a network that gives a connection that was thrown away for the next one; forget is for the begin of a world.
func usesAgain(on sock.Net) (_ sock.Net, forget func()) {
	var left net.Conn
	return wrapping{on, func(dial func() (net.Conn, error)) (net.Conn, error) {
		c := left
		if left = nil; c == nil {
			var err error
			if c, err = dial(); err != nil {
				return nil, err
			}
		}
		return &reused{c, &left}, nil
	}}, func() { left = nil }
}

// blind has every answer pass for the one that is waited for: as if ids were not compared.
type blind struct {
	net.Conn
	id []byte
}

var idLine = regexp.MustCompile(`(?m)` + HeaderID + `: .`)

func (b *blind) Write(p []byte) (int, error) {
	b.id = bytes.Clone(idLine.Find(p))
	return b.Conn.Write(p)
}

func (b *blind) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	if b.id != nil {
		copy(p, idLine.ReplaceAllLiteral(bytes.Clone(p[:n]), b.id))
	}
	return n, err
}

func (b *blind) Quiet() (quiet, bytes bool) { return sock.Look(b.Conn) }

// resending sends a request again where its connection ends without an answer, as a client may that knows nothing of its effect.
type resending struct {
	net.Conn
	dial func() (net.Conn, error)
	sent []byte
	read bool
}

func (r *resending) Write(p []byte) (int, error) {
	r.sent, r.read = bytes.Clone(p), false
	return r.Conn.Write(p)
}

func (r *resending) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if n == 0 && err != nil && !isTimeout(err) && !r.read && r.sent != nil {
		r.read = true
		if c, derr := r.dial(); derr == nil {
			r.Conn = c
			c.Write(r.sent)
			c.SetDeadline(time.Now().Add(askLeft))
			return c.Read(p)
		}
	}
	r.read = r.read || n > 0
	return n, err
}

func (r *resending) Quiet() (quiet, bytes bool) { return sock.Look(r.Conn) }

// reused gives a connection that was closed to whoever dials next.
type reused struct {
	net.Conn
	left *net.Conn
}

func (r *reused) Close() error               { *r.left = r.Conn; return nil }
func (r *reused) Quiet() (quiet, bytes bool) { return sock.Look(r.Conn) }

// Wrong gates are found: one that does not compare ids, one that sends again after a reset, one that uses a connection again that
// was thrown away with a request on it, and one that makes a request again where a copy of its first answer may come.
func TestWalkFindsWrongGates(t *testing.T) {
	walkOfGates.Finds(t, map[string]func(w *gateWalk){
		"ids are not compared": func(w *gateWalk) {
			w.net = wrapping{w.p, func(dial func() (net.Conn, error)) (net.Conn, error) {
				c, err := dial()
				if err != nil {
					return nil, err
				}
				return &blind{Conn: c}, nil
			}}
		},
		"sends again after a reset":       func(w *gateWalk) { w.net = sendsAgain(w.p) },
		"uses again what was thrown away": func(w *gateWalk) { w.net, w.begin = usesAgain(w.p) },
		"knows not what was asked last":   func(w *gateWalk) { w.forget = true },
	})
}

// cuts takes so many bytes of the next write, and resets.
type cuts struct {
	net.Conn
	take *int
}

func (c *cuts) Write(p []byte) (int, error) {
	if *c.take < 0 {
		return c.Conn.Write(p)
	}
	n := min(*c.take, len(p))
	*c.take = -1
	c.Conn.Write(p[:n])
	c.Conn.Close()
	return n, syscall.ECONNRESET
}

func (c *cuts) Quiet() (quiet, bytes bool) { return sock.Look(c.Conn) }

// A request whose head did not leave whole on a connection that rested goes out on the next one; on a fresh one it is told not to
// have run. One whose head left may have run.
func TestRequestThatDidNotLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ran, take := 0, -1
		w := newWay(t, lookup, func(o io.Writer, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err == nil {
				ran++
				says(o, r)
			}
		})
		w.Gate.pool.Net = wrapping{w.p, func(dial func() (net.Conn, error)) (net.Conn, error) {
			c, err := dial()
			return &cuts{c, &take}, err
		}}
		do := func(body string) outcome {
			time.Sleep(time.Millisecond)
			return w.Gate.run(context.Background(), &ask{Instance: "i-1", Service: "ledger", Method: "PUT", Target: "/", ID: "A", Length: int64(len(body)), Left: 1000,
				Header: []Field{{Name: HeaderID, Value: "A"}, {Name: "Host", Value: "h"}}}, []byte(body), nil)
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
			{"the head left", 200, errcode.ConnectionLost, 0},
			{"a part of the head left on a fresh one", 40, errcode.Unreachable, 0},
			{"a fresh one again", -1, errcode.OK, 1},
		} {
			was := ran
			take = step.take
			if o := do(strings.Repeat("x", 500)); o.Code != step.want || ran-was != step.runs || o.Code == errcode.Unreachable && o.Sent {
				t.Errorf("%s: %+v, %v; it ran %d times", step.name, o.told, o.err, ran-was)
			}
			if c := w.Gate.pool.Take("i-1"); c != nil { // asked again under its id, it would go out on a fresh one
				c.Last = ""
				w.Gate.pool.Release(c)
			}
		}
	})
}
