package upstream

import (
	"io"
	"net"
	"testing"
	"time"

	"saltmast"
	"saltmast/internal/core"
	"saltmast/internal/testsupport"
	"saltmast/internal/thrift"
)

// sale is a call as a caller sent it.
func sale(p thrift.Protocol) *core.Call {
	w := thrift.NewWriter(p)
	w.Text(1, []byte("fleet-77"))
	return &core.Call{ID: "a1", Payload: &Thrift{Call: thrift.Message{Protocol: p, Type: thrift.Call, Seq: 77, Name: []byte("saleSettle"), Body: w.Done()},
		To: thrift.Binary, Rejected: []byte("rejected")}}
}

// The table of outcomes, on which the rule on repeats rests, for callers of both protocols.
func TestThriftOutcomes(t *testing.T) {
	type do = func(net.Conn, *thrift.Message) bool
	say := func(change func(*thrift.Message)) do {
		return func(c net.Conn, m *thrift.Message) bool {
			c.Write(testsupport.Answered(m, "done", change))
			return true
		}
	}
	except := func(kind thrift.ApplicationException, text string) do {
		return func(c net.Conn, m *thrift.Message) bool {
			c.Write(thrift.AppendException(nil, m, kind, text))
			return true
		}
	}
	raw := func(b ...byte) do {
		return func(c net.Conn, m *thrift.Message) bool { c.Write(b); io.Copy(io.Discard, c); return false }
	}
	part := func(n int) do {
		return func(c net.Conn, m *thrift.Message) bool {
			whole := testsupport.Answered(m, "done", nil)
			c.Write(whole[:len(whole)-n])
			return false
		}
	}
	for _, tt := range []struct {
		name  string
		do    do
		wait  time.Duration
		want  saltmast.Result
		again bool // the connection is good for another call
	}{
		{"a reply", say(nil), long, saltmast.OK, true},
		{"a declared exception", say(func(m *thrift.Message) {
			w := thrift.NewWriter(m.Protocol)
			w.Begin(thrift.Struct, 1)
			w.End()
			m.Body = w.Done()
		}), long, saltmast.OK, true},
		{"a reply in the other protocol", say(func(m *thrift.Message) {
			m.Body, _ = thrift.Transcode(nil, m, thrift.Compact, 1000)
			m.Protocol = thrift.Compact
		}), long, saltmast.OK, true},
		{"an error", except(thrift.InternalError, "no luck"), long, saltmast.Errored, true},
		{"no result", except(thrift.MissingResult, ""), long, saltmast.Errored, true},
		{"a protocol error", except(thrift.ProtocolError, ""), long, saltmast.Errored, true},
		{"turned away", except(thrift.InternalError, "rejected: full"), long, saltmast.Full, true},
		{"an unknown method", except(thrift.UnknownMethod, ""), long, saltmast.Full, true},
		{"an unsupported client", except(thrift.UnsupportedClientType, ""), long, saltmast.Full, true},
		{"another sequence id", say(func(m *thrift.Message) { m.Seq++ }), long, saltmast.Errored, false},
		{"the caller's sequence id", say(func(m *thrift.Message) { m.Seq = 77 }), long, saltmast.Errored, false},
		{"another method", say(func(m *thrift.Message) { m.Name = []byte("limitHold") }), long, saltmast.Errored, false},
		{"an exception that names another method", func(c net.Conn, m *thrift.Message) bool {
			other := *m
			other.Name = []byte("limitHold")
			return except(thrift.UnknownMethod, "")(c, &other)
		}, long, saltmast.Errored, false},
		{"a call in place of a reply", say(func(m *thrift.Message) { m.Type = thrift.Call }), long, saltmast.Errored, false},
		{"two replies", func(c net.Conn, m *thrift.Message) bool {
			b := testsupport.Answered(m, "done", nil)
			c.Write(append(b, b...))
			return true
		}, long, saltmast.OK, false},
		{"bytes behind the message in its frame", say(func(m *thrift.Message) { m.Body = append(m.Body, 1, 2, 3) }), long, saltmast.Errored, false},
		{"a frame of no bytes", raw(0, 0, 0, 0), long, saltmast.Errored, false},
		{"a frame of negative length", raw(255, 255, 255, 255), long, saltmast.Errored, false},
		{"a frame of 2 GiB", raw(127, 255, 255, 255), long, saltmast.Errored, false},
		{"HTTP", raw([]byte("HTTP/1.1 400 Bad Request\r\n\r\n")...), long, saltmast.Errored, false},
		{"a reply cut amid its frame", part(3), long, saltmast.Reset, false},
		{"a reply cut amid its length", func(c net.Conn, _ *thrift.Message) bool { c.Write([]byte{0, 0}); return false }, long, saltmast.Reset, false},
		{"a close", func(net.Conn, *thrift.Message) bool { return false }, long, saltmast.Reset, false},
		{"nothing", func(c net.Conn, _ *thrift.Message) bool { io.Copy(io.Discard, c); return false }, 50 * time.Millisecond, saltmast.TimedOut, false},
	} {
		for _, p := range []thrift.Protocol{thrift.Binary, thrift.Compact} {
			t.Run(tt.name+"/"+p.String(), func(t *testing.T) {
				peer := testsupport.NewThriftPeer(t, tt.do)
				b := newBackends(t, peer.Addr())
				res, r := b.try(sale(p), tt.wait)
				if res != tt.want {
					t.Fatalf("result %d, want %d (%v)", res, tt.want, r.err)
				}
				if got := receive(t, peer.Got); got.Protocol != thrift.Binary || got.Seq == 77 || string(got.Name) != "saleSettle" {
					t.Errorf("the server got %+v", got)
				} else if v, ok := thrift.Find(got, 1); !ok || string(v.Bytes()) != "fleet-77" {
					t.Error("the arguments did not come through")
				}
				if res == saltmast.OK {
					if r.message == nil || r.message.Protocol != p {
						t.Errorf("answer %+v, want one in the caller's protocol", r.message)
					} else if v, ok := thrift.Find(r.message, 0); tt.name != "a declared exception" && (!ok || string(v.Bytes()) != "done") {
						t.Error("the answer did not come through")
					}
				}
				if c := b.pool.Get("s0"); (c != nil) != tt.again {
					t.Errorf("a connection is kept: %v, want %v", c != nil, tt.again)
				}
			})
		}
	}
}

// A oneway call is done once its last byte is written: nothing comes back.
func TestThriftOneway(t *testing.T) {
	peer := testsupport.NewThriftPeer(t, func(net.Conn, *thrift.Message) bool { return true })
	b := newBackends(t, peer.Addr())
	q := sale(thrift.Binary)
	q.Payload.(*Thrift).Call.Type = thrift.Oneway
	if res, _ := b.try(q, long); res != saltmast.OK {
		t.Errorf("result %d", res)
	}
	if m := receive(t, peer.Got); m.Type != thrift.Oneway {
		t.Errorf("the server got %+v", m)
	}
}

// A server is probed by a method that has no effect, where one is named.
func TestThriftProbe(t *testing.T) {
	up := true
	peer := testsupport.NewThriftPeer(t, func(c net.Conn, m *thrift.Message) bool {
		if up {
			c.Write(testsupport.Answered(m, "", nil))
		} else {
			c.Write(thrift.AppendException(nil, m, thrift.InternalError, "no"))
		}
		return true
	})
	b := newBackends(t, peer.Addr())
	b.Ping, b.Protocol = "ping", thrift.Compact
	if r := b.Probe(t.Context(), "s0"); r.Result != saltmast.OK {
		t.Errorf("result %d", r.Result)
	}
	if m := receive(t, peer.Got); string(m.Name) != "ping" || m.Protocol != thrift.Compact {
		t.Errorf("the server got %+v", m)
	}
	up = false
	if r := b.Probe(t.Context(), "s0"); r.Result != saltmast.Errored {
		t.Errorf("result %d", r.Result)
	}
}
