package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"saltmast"
	"saltmast/internal/bodybuffer"
	"saltmast/internal/core"
	"saltmast/internal/discovery"
	"saltmast/internal/links"
	"saltmast/internal/sock"
)

// newBackends knows the given addresses as s0, s1 ...
func newBackends(t *testing.T, addrs ...string) *Backends {
	t.Helper()
	l := discovery.Listing{Full: true}
	for i, addr := range addrs {
		l.Servers = append(l.Servers, discovery.Server{ID: fmt.Sprintf("s%d", i), Addr: addr, State: "SERVING"})
	}
	table := discovery.NewMembers()
	table.Apply(l)
	b := &Backends{pool: links.New(time.Minute, long, 0), table: table, log: logTo(&capture{})}
	b.terms.Store(&terms{probing: long, stall: time.Second})
	return b
}

func settle() *core.Call {
	return &core.Call{ID: "00000000000000a1", Payload: &HTTP{Method: "POST", Host: "api.internal", Target: "/settle",
		Body: []byte("x")}}
}

func (b *Backends) try(q *core.Call, wait time.Duration) (saltmast.Result, reply) {
	return b.attempt(context.Background(), q, "s0", time.Now().Add(wait))
}

// Guards the protocol's table of outcomes, on which the rule on repeats rests, and against a request
// that goes out more than once for one attempt.
func TestOutcomes(t *testing.T) {
	rejected := func(status int) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, _ *http.Request, _ []byte) bool {
			answerWith(c, status, "X-Rejected: 1\r\n", "")
			return true
		}
	}
	plain := func(status int, body string) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, _ *http.Request, _ []byte) bool { answerWith(c, status, "", body); return true }
	}
	raw := func(text string) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, _ *http.Request, _ []byte) bool { fmt.Fprint(c, text); return false }
	}
	open := func(text string) func(net.Conn, *http.Request, []byte) bool {
		return func(c net.Conn, r *http.Request, body []byte) bool { fmt.Fprint(c, text); return hang(c, r, body) }
	}
	tests := []struct {
		name string
		do   func(net.Conn, *http.Request, []byte) bool
		wait time.Duration
		want saltmast.Result
	}{
		{"served", echo, long, saltmast.OK},
		{"error", plain(500, "no"), long, saltmast.Errored},
		{"turned away", rejected(503), long, saltmast.Full},
		{"turned away as over", rejected(504), long, saltmast.Full},
		{"503 with no word of having run", plain(503, ""), long, saltmast.Errored},
		{"an unknown status", plain(302, ""), long, saltmast.Errored},
		{"an error marked as rejected", rejected(500), long, saltmast.Errored},
		{"closed with no answer", raw(""), long, saltmast.Reset},
		{"half a head", raw("HTTP/1.1 200 OK\r\nCont"), long, saltmast.Reset},
		{"half a body", raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), long, saltmast.Reset},
		{"half a chunked body", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), long, saltmast.Reset},
		{"no HTTP at all", raw("220 mail\r\n\r\n"), long, saltmast.Errored},
		{"an endless head", raw("HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 1<<16)), long, saltmast.Errored},
		{"an early answer ahead", raw("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), long, saltmast.OK},
		{"early answers without end", raw(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100)), long, saltmast.Errored},
		{"another protocol", raw("HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), long, saltmast.Errored},
		{"chunks", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"), long, saltmast.OK},
		{"noise on a connection that stays open", open("\x00\xff\x17"), long, saltmast.Errored},
		{"a length that is not kept", open("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), long, saltmast.Errored},
		{"an answer of 3 GB", open("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx"), long, saltmast.Errored},
		{"two lengths", open("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nfour"), long, saltmast.Errored},
		{"length and encoding", open("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), long, saltmast.Errored},
		{"a negative length", open("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n"), long, saltmast.Errored},
		{"no length", open("HTTP/1.1 200 OK\r\n\r\nbody"), long, saltmast.Errored},
		{"too large a body", open(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", bodybuffer.MaxBody+1)), long, saltmast.Errored},
		{"no length, closed", func(c net.Conn, r *http.Request, b []byte) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nbody")
			return false
		}, long, saltmast.OK},
		{"the largest body", plain(200, strings.Repeat("x", MaxBody)), long, saltmast.OK},
		{"silence", hang, time.Second, saltmast.TimedOut},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p := newPeer(t, tt.do)
			b := newBackends(t, p.Addr())
			res, _ := b.try(settle(), tt.wait)
			if res != tt.want {
				t.Errorf("result %d, want %d", res, tt.want)
			}
			if n := len(p.Got); n != 1 {
				t.Errorf("the backend got %d requests for one attempt", n)
			}
		})
	}
}

func TestRefusedConnection(t *testing.T) {
	p := newPeer(t, echo)
	p.Close()
	b := newBackends(t, p.Addr())
	if res, _ := b.try(settle(), long); res != saltmast.ConnectFailed {
		t.Errorf("result %d, want ConnectFailed", res)
	}
}

// Guards against a machine that vanished: its connections never come up, and the attempt must end
// within the connect time-out, with proof that it never ran.
func TestConnectionNeverComesUp(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	full := false
	for range 20 { // fill the queue of connections that nobody accepts
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if full = err != nil; full {
			break
		}
		defer c.Close()
	}
	if !full {
		t.Skip("this system takes connections without end")
	}
	b := newBackends(t, addr)
	b.pool.SetTimeouts(time.Minute, 250*time.Millisecond)
	begun := time.Now()
	res, _ := b.try(settle(), long)
	if took := time.Since(begun); res != saltmast.ConnectFailed || took > long/2 {
		t.Errorf("result %d after %v, want ConnectFailed within the connect time-out", res, took)
	}
}

// Guards against hidden retries: a reused connection that breaks after the write may have run its
// request, even if nothing came back, and nothing may send that again by itself.
func TestReusedConnectionBreaks(t *testing.T) {
	var n atomic.Int32
	p := newPeer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		if n.Add(1) == 2 {
			return false
		}
		return echo(c, r, body)
	})
	b := newBackends(t, p.Addr())
	if res, _ := b.try(settle(), long); res != saltmast.OK {
		t.Fatalf("first: result %d", res)
	}
	if res, _ := b.try(settle(), long); res != saltmast.Reset {
		t.Errorf("second: result %d, want Reset", res)
	}
	if len(p.Got) != 2 {
		t.Errorf("the backend got %d requests for two attempts", len(p.Got))
	}
}

func TestConnectionIsReused(t *testing.T) {
	addrs := map[string]bool{}
	p := newPeer(t, echo)
	b := newBackends(t, p.Addr())
	for range 5 {
		if res, r := b.try(settle(), long); res != saltmast.OK || string(r.body) != "did x" {
			t.Fatalf("result %d, body %q", res, r.body)
		}
		addrs[receive(t, p.Got).RemoteAddr] = true
	}
	if len(addrs) != 1 {
		t.Errorf("5 requests one after the other took %d connections", len(addrs))
	}
}

// Guards against writing to a connection that the backend has closed while it was idle: the request
// would end as a reset, which an unsafe one does not survive.
func TestIdleEndIsNoticed(t *testing.T) {
	var n atomic.Int32
	p := newPeer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		echo(c, r, body)
		return n.Add(1) > 1 // closes the first connection after its answer, unannounced
	})
	b := newBackends(t, p.Addr())
	b.try(settle(), long)
	if c := b.pool.Get("s0"); c != nil { // nil: it has been noticed already
		until(t, "the end to arrive", func() bool { quiet, _ := sock.Look(c.Conn); return !quiet })
		b.pool.Release(c)
	}
	if res, _ := b.try(settle(), long); res != saltmast.OK {
		t.Errorf("result %d, want OK on a new connection", res)
	}
}

// Guards against meeting the backend's own idle time-out: the agent closes first.
func TestIdleTimeout(t *testing.T) {
	p := newPeer(t, echo)
	b := newBackends(t, p.Addr())
	b.pool.SetTimeouts(10*time.Millisecond, long)
	if res, _ := b.try(settle(), long); res != saltmast.OK {
		t.Fatal("not served")
	}
	receive(t, p.Closed)
	until(t, "the pool to forget it", func() bool { return b.pool.OpenCount() == 0 })
}

// Guards against sends that are under way when the word of a drain, or the request's end, comes.
func TestNothingGoesOutAfterTheDial(t *testing.T) {
	tests := []struct {
		name  string
		event func(b *Backends, q *core.Call)
		want  saltmast.Result
	}{
		{"draining", func(b *Backends, _ *core.Call) {
			b.table.Apply(discovery.Listing{Servers: []discovery.Server{{ID: "s0", Addr: "127.0.0.1:1", State: "DRAINING"}}})
		}, saltmast.ConnectFailed},
		{"gone", func(b *Backends, _ *core.Call) { b.table.Apply(discovery.Listing{Full: true}) }, saltmast.ConnectFailed},
		{"ended", func(_ *Backends, q *core.Call) { q.End() }, saltmast.NotSent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPeer(t, echo)
			b, q := newBackends(t, p.Addr()), settle()
			b.pool.Control = func(uintptr) error { tt.event(b, q); return nil }
			if res, _ := b.try(q, long); res != tt.want {
				t.Errorf("result %d, want %d", res, tt.want)
			}
			b.pool.CloseIdle("s0")
			receive(t, p.Closed) // the connection ended, with no request on it
			if len(p.Got) != 0 {
				t.Error("the backend got a request")
			}
		})
	}
}

// Guards against a machine that vanished with idle connections open: what is written there is
// swallowed, and an unsafe request never gets another attempt.
func TestSilenceClosesIdleConnections(t *testing.T) {
	quiet, gate := make(chan bool, 1), make(chan struct{})
	p := newPeer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		select {
		case <-quiet:
			return hang(c, r, body)
		default:
			<-gate
			return echo(c, r, body)
		}
	})
	b := newBackends(t, p.Addr())
	done := make(chan saltmast.Result, 2)
	for range 2 { // two at a time need two connections
		go func() { res, _ := b.try(settle(), long); done <- res }()
	}
	receive(t, p.Got)
	receive(t, p.Got)
	close(gate)
	for range 2 {
		if receive(t, done) != saltmast.OK {
			t.Fatal("not served")
		}
	}
	quiet <- true
	if res, _ := b.try(settle(), time.Second); res != saltmast.TimedOut {
		t.Fatalf("result %d, want TimedOut", res)
	}
	if n := b.pool.OpenCount(); n != 0 {
		t.Errorf("%d connections are left to a silent backend", n)
	}
}

// Guards against closing good connections over one that failed, as when a backend takes no more of
// them; and against keeping those to a process that was started again.
func TestConnectionsInUse(t *testing.T) {
	for _, tt := range []struct {
		name   string
		event  func(b *Backends)
		remain int
	}{
		{"another one failed", func(b *Backends) { b.pool.CloseIdle("s0") }, 1},
		{"retired", func(b *Backends) { b.pool.Retire("s0") }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			gate := make(chan struct{})
			p := newPeer(t, func(c net.Conn, r *http.Request, body []byte) bool { <-gate; return echo(c, r, body) })
			b := newBackends(t, p.Addr())
			done := make(chan saltmast.Result, 1)
			go func() { res, _ := b.try(settle(), long); done <- res }()
			receive(t, p.Got)
			tt.event(b)
			close(gate)
			if res := receive(t, done); res != saltmast.OK || b.pool.OpenCount() != tt.remain {
				t.Errorf("result %d, %d connections open, want %d", res, b.pool.OpenCount(), tt.remain)
			}
		})
	}
}

// Guards against giving up an attempt without closing its connection, on which it would still count.
func TestCancelClosesTheConnection(t *testing.T) {
	p := newPeer(t, func(c net.Conn, _ *http.Request, _ []byte) bool { return true }) // reads on
	b := newBackends(t, p.Addr())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan saltmast.Result, 1)
	go func() {
		res, _ := b.attempt(ctx, settle(), "s0", time.Now().Add(long))
		done <- res
	}()
	receive(t, p.Got)
	cancel()
	if res := receive(t, done); res != saltmast.Cancelled {
		t.Errorf("result %d, want Cancelled", res)
	}
	receive(t, p.Closed)
}

// Guards against running out of descriptors: an idle connection elsewhere makes room, and when none
// is idle the attempt fails unsent.
func TestConnectionLimit(t *testing.T) {
	p, q := newPeer(t, echo), newPeer(t, echo)
	b := newBackends(t, p.Addr(), q.Addr())
	b.pool.SetLimit(1)
	if res, _ := b.try(settle(), long); res != saltmast.OK {
		t.Fatal("not served")
	}
	if res, _ := b.attempt(context.Background(), settle(), "s1", time.Now().Add(long)); res != saltmast.OK {
		t.Errorf("result %d, want OK in place of the idle connection", res)
	}
	receive(t, p.Closed)
	c := b.pool.Get("s1")
	if res, _ := b.try(settle(), long); res != saltmast.ConnectFailed {
		t.Errorf("result %d, want ConnectFailed at the limit", res)
	}
	b.pool.Close(c)
}

// Guards against bytes behind an answer that pass for the answer to the next request: the good answer
// before them counts, and the connection is of no further use.
func TestMoreThanTheAnswer(t *testing.T) {
	for name, late := range map[string]bool{"in one piece": false, "later, while idle": true} {
		t.Run(name, func(t *testing.T) {
			more := make(chan struct{})
			p := newPeer(t, func(c net.Conn, r *http.Request, body []byte) bool {
				if late {
					echo(c, r, body)
					<-more
					answerWith(c, 200, "", "another's")
				} else {
					fmt.Fprint(c, strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ndid x", 2))
				}
				return true
			})
			b := newBackends(t, p.Addr())
			for i := range 3 {
				if res, r := b.try(settle(), long); res != saltmast.OK || string(r.body) != "did x" {
					t.Fatalf("request %d: result %d, body %q", i, res, r.body)
				}
				if late {
					c := b.pool.Get("s0")
					more <- struct{}{}
					until(t, "the extra answer", func() bool { return sock.Pending(c.Conn) })
					b.pool.Release(c)
				}
			}
		})
	}
}

// Guards against load reports that can't be read: each is no report.
func TestLoadReports(t *testing.T) {
	for _, text := range []string{"", "inflight=7", "TEXT inflight=NaN", "TEXT inflight=1, queue=+Inf", "TEXT util=-1",
		"TEXT inflight=1e999", "TEXT inflight", "TEXT \x01"} {
		if l := loadReport(reply{header: map[string][]string{loadHeader: {text}}}); l.Valid {
			t.Errorf("%q was read as %+v", text, l)
		}
	}
}

func TestProbe(t *testing.T) {
	var status atomic.Int32
	status.Store(200)
	p := newPeer(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		answerWith(c, int(status.Load()), "", "TEXT inflight=7, queue=2, util=0.61")
		return true
	})
	b := newBackends(t, p.Addr())
	if res, _ := b.probe(context.Background(), "s0"); res != saltmast.OK || receive(t, p.Got).URL.Path != "/healthz" {
		t.Errorf("result %d", res)
	}
	b.terms.Store(&terms{reports: saltmast.ReportsProbes, probing: long, stall: time.Second})
	_, r := b.probe(context.Background(), "s0")
	if l := loadReport(r); receive(t, p.Got).URL.Path != "/load" || l.InFlight != 7 || l.Queue != 2 || l.Utilization != 0.61 || l.Throughput != -1 {
		t.Errorf("load %+v", l)
	}
	status.Store(503)
	if res, _ := b.probe(context.Background(), "s0"); res != saltmast.Errored {
		t.Errorf("result %d, want Errored", res)
	}
}

// Guards against a handshake for every connection of a backend over one that broke in full use; and against
// requests lost one by one on connections that have rested as long as one that turned out dead.
func TestBreakAndIdleConnections(t *testing.T) {
	for _, tt := range []struct {
		name   string
		rest   time.Duration
		remain int
	}{{"in full use", -time.Second, 1}, {"after a rest", time.Minute, 0}} {
		t.Run(tt.name, func(t *testing.T) {
			gate, drop := make(chan struct{}), make(chan bool, 1)
			p := newPeer(t, func(c net.Conn, r *http.Request, body []byte) bool {
				select {
				case <-drop:
					return false
				default:
					<-gate
					return echo(c, r, body)
				}
			})
			b := newBackends(t, p.Addr())
			b.pool.SetTimeouts(time.Hour, long)
			now := clock(b, -tt.rest)
			done := make(chan saltmast.Result, 2)
			for range 2 { // two at a time need two connections
				go func() { res, _ := b.try(settle(), long); done <- res }()
			}
			receive(t, p.Got)
			receive(t, p.Got)
			close(gate)
			for range 2 {
				if receive(t, done) != saltmast.OK {
					t.Fatal("not served")
				}
			}
			now()
			drop <- true
			if res, _ := b.try(settle(), long); res != saltmast.Reset {
				t.Fatalf("result %d, want Reset", res)
			}
			if n := b.pool.OpenCount(); n != tt.remain {
				t.Errorf("%d connections are left, want %d", n, tt.remain)
			}
		})
	}
}

// clock has connections that are given back rest since then, until now is called. A time ahead is full use, however slow the
// machine.
func clock(b *Backends, then time.Duration) (now func()) {
	var off atomic.Int64
	off.Store(int64(then))
	b.pool.Now = func() time.Time { return time.Now().Add(time.Duration(off.Load())) }
	return func() { off.Store(0) }
}
