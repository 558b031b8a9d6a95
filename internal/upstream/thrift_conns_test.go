package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"saltmast"
	"saltmast/internal/core"
	"saltmast/internal/discovery"
	"saltmast/internal/sock"
	"saltmast/internal/testsupport"
	"saltmast/internal/thrift"
)

// Twins in Thrift of the rules on connections, for callers of both protocols.

func eachProtocol(t *testing.T, f func(t *testing.T, call func() *core.Call)) {
	for _, p := range []thrift.Protocol{thrift.Binary, thrift.Compact} {
		t.Run(p.String(), func(t *testing.T) { f(t, func() *core.Call { return sale(p) }) })
	}
}

func reply200(c net.Conn, m *thrift.Message) bool {
	c.Write(testsupport.Answered(m, "done", nil))
	return true
}

// A call that is cut off on its way out has never run: no server has seen its end. One that has gone out whole may have.
func TestThriftWriteCutOff(t *testing.T) {
	big := func(p thrift.Protocol) *core.Call {
		w := thrift.NewWriter(p)
		w.Text(1, bytes.Repeat([]byte("x"), 48<<20)) // more than the system's buffers take unread
		return &core.Call{ID: "a1", Payload: &Thrift{Call: thrift.Message{Protocol: p, Type: thrift.Call, Name: []byte("saleSettle"), Body: w.Done()}, To: p}}
	}
	for name, end := range map[string]func(*net.TCPConn){
		"a reset":         func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"a close":         func(c *net.TCPConn) { c.Close() },
		"one that stands": func(c *net.TCPConn) {},
	} {
		for _, p := range []thrift.Protocol{thrift.Binary, thrift.Compact} {
			t.Run(name+"/"+p.String(), func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer l.Close()
				held := make(chan net.Conn, 1)
				go func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					io.ReadFull(c, make([]byte, 1000))
					end(c.(*net.TCPConn))
					held <- c
				}()
				b := newBackends(t, l.Addr().String())
				wait := long
				if name == "one that stands" {
					wait = 200 * time.Millisecond
				}
				if res, r := b.try(big(p), wait); res != saltmast.ConnectFailed {
					t.Errorf("result %d (%v), want ConnectFailed", res, r.err)
				}
				receive(t, held).Close()
				if n := b.pool.OpenCount(); n != 0 {
					t.Errorf("%d connections are kept with half a call on them", n)
				}
			})
		}
	}
}

// Nothing is sent again by itself on a kept connection that breaks after the write.
func TestThriftReusedConnectionBreaks(t *testing.T) {
	eachProtocol(t, func(t *testing.T, call func() *core.Call) {
		var n atomic.Int32
		p := testsupport.NewThriftPeer(t, func(c net.Conn, m *thrift.Message) bool { return n.Add(1) != 2 && reply200(c, m) })
		b := newBackends(t, p.Addr())
		if res, _ := b.try(call(), long); res != saltmast.OK {
			t.Fatalf("first: result %d", res)
		}
		if res, _ := b.try(call(), long); res != saltmast.Reset {
			t.Errorf("second: result %d, want Reset", res)
		}
		if len(p.Got) != 2 {
			t.Errorf("the server got %d calls for two attempts", len(p.Got))
		}
	})
}

// A kept connection on which a reply came late, or that ended, is not used: its bytes must not pass for the next answer.
func TestThriftKeptConnectionIsLookedAt(t *testing.T) {
	for name, after := range map[string]func(net.Conn, *thrift.Message) bool{
		"ended": func(net.Conn, *thrift.Message) bool { return false },
		"spoke": func(c net.Conn, m *thrift.Message) bool { return reply200(c, m) },
	} {
		t.Run(name, func(t *testing.T) {
			eachProtocol(t, func(t *testing.T, call func() *core.Call) {
				more := make(chan struct{})
				p := testsupport.NewThriftPeer(t, func(c net.Conn, m *thrift.Message) bool {
					reply200(c, m)
					<-more
					return after(c, m)
				})
				b := newBackends(t, p.Addr())
				for range 3 {
					if res, r := b.try(call(), long); res != saltmast.OK {
						t.Fatalf("result %d (%v)", res, r.err)
					}
					c := b.pool.Get("s0")
					more <- struct{}{}
					until(t, "the end or the bytes", func() bool { quiet, _ := sock.Look(c.Conn); return !quiet })
					b.pool.Release(c)
				}
			})
		})
	}
}

// Nothing goes out when the word of a drain, or the call's end, comes while its connection is dialled.
func TestThriftNothingGoesOutAfterTheDial(t *testing.T) {
	for _, tt := range []struct {
		name  string
		event func(*Backends, *core.Call)
		want  saltmast.Result
	}{
		{"draining", func(b *Backends, _ *core.Call) {
			b.table.Apply(discovery.Listing{Servers: []discovery.Server{{ID: "s0", Addr: "127.0.0.1:1", State: "DRAINING"}}})
		}, saltmast.ConnectFailed},
		{"gone", func(b *Backends, _ *core.Call) { b.table.Apply(discovery.Listing{Full: true}) }, saltmast.ConnectFailed},
		{"ended", func(_ *Backends, q *core.Call) { q.End() }, saltmast.NotSent},
	} {
		t.Run(tt.name, func(t *testing.T) {
			eachProtocol(t, func(t *testing.T, call func() *core.Call) {
				p := testsupport.NewThriftPeer(t, reply200)
				b, q := newBackends(t, p.Addr()), call()
				b.pool.Control = func(uintptr) error { tt.event(b, q); return nil }
				if res, _ := b.try(q, long); res != tt.want {
					t.Errorf("result %d, want %d", res, tt.want)
				}
				b.pool.CloseIdle("s0")
				receive(t, p.Closed)
				if len(p.Got) != 0 {
					t.Error("the server got a call")
				}
			})
		})
	}
}

// twoKept has b keep two connections to p, which answers when gate is closed.
func twoKept(t *testing.T, b *Backends, p *testsupport.ThriftPeer, gate chan struct{}, call func() *core.Call) {
	t.Helper()
	done := make(chan saltmast.Result, 2)
	for range 2 {
		go func() { res, _ := b.try(call(), long); done <- res }()
	}
	receive(t, p.Got)
	receive(t, p.Got)
	close(gate)
	for range 2 {
		if receive(t, done) != saltmast.OK {
			t.Fatal("not served")
		}
	}
}

// Silence closes the kept connections to a machine that may have vanished; a break closes those that have rested as long,
// and none that is in full use.
func TestThriftKeptConnectionsAfterTrouble(t *testing.T) {
	for _, tt := range []struct {
		name   string
		silent bool
		rest   time.Duration
		want   saltmast.Result
		remain int
	}{
		{"silence", true, 0, saltmast.TimedOut, 0},
		{"a break in full use", false, -time.Second, saltmast.Reset, 1},
		{"a break after a rest", false, time.Minute, saltmast.Reset, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			eachProtocol(t, func(t *testing.T, call func() *core.Call) {
				gate, trouble := make(chan struct{}), make(chan bool, 1)
				p := testsupport.NewThriftPeer(t, func(c net.Conn, m *thrift.Message) bool {
					select {
					case silent := <-trouble:
						if silent {
							io.Copy(io.Discard, c)
						}
						return false
					default:
						<-gate
						return reply200(c, m)
					}
				})
				b := newBackends(t, p.Addr())
				b.pool.SetTimeouts(time.Hour, long)
				now := clock(b, -tt.rest)
				twoKept(t, b, p, gate, call)
				now()
				trouble <- tt.silent
				wait := long
				if tt.silent {
					wait = 200 * time.Millisecond
				}
				if res, _ := b.try(call(), wait); res != tt.want {
					t.Fatalf("result %d, want %d", res, tt.want)
				}
				if n := b.pool.OpenCount(); n != tt.remain {
					t.Errorf("%d connections are left, want %d", n, tt.remain)
				}
			})
		})
	}
}

// A given up attempt takes its connection along; what ends first is kept.
func TestThriftCancelClosesTheConnection(t *testing.T) {
	eachProtocol(t, func(t *testing.T, call func() *core.Call) {
		p := testsupport.NewThriftPeer(t, func(net.Conn, *thrift.Message) bool { return true }) // reads on
		b := newBackends(t, p.Addr())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan saltmast.Result, 1)
		go func() {
			res, _ := b.attempt(ctx, call(), "s0", time.Now().Add(long))
			done <- res
		}()
		receive(t, p.Got)
		cancel()
		if res := receive(t, done); res != saltmast.Cancelled {
			t.Errorf("result %d, want Cancelled", res)
		}
		receive(t, p.Closed)
	})
}

// At the limit an idle connection elsewhere makes room; where none is idle, nothing has run.
func TestThriftConnectionLimit(t *testing.T) {
	eachProtocol(t, func(t *testing.T, call func() *core.Call) {
		p, q := testsupport.NewThriftPeer(t, reply200), testsupport.NewThriftPeer(t, reply200)
		b := newBackends(t, p.Addr(), q.Addr())
		b.pool.SetLimit(1)
		if res, _ := b.try(call(), long); res != saltmast.OK {
			t.Fatal("not served")
		}
		if res, _ := b.attempt(context.Background(), call(), "s1", time.Now().Add(long)); res != saltmast.OK {
			t.Errorf("result %d, want OK in place of the idle connection", res)
		}
		receive(t, p.Closed)
		c := b.pool.Get("s1")
		if res, _ := b.try(call(), long); res != saltmast.ConnectFailed {
			t.Errorf("result %d, want ConnectFailed at the limit", res)
		}
		b.pool.Close(c)
	})
}
