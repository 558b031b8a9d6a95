package agent

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"saltmast"
	thriftfront "saltmast/internal/front/thrift"
	"saltmast/internal/testsupport"
	"saltmast/internal/thrift"
)

// Twins in Thrift of rule tests of the HTTP front, for callers of both protocols.

func eachThrift(t *testing.T, f func(t *testing.T, p thrift.Protocol)) {
	for _, p := range []thrift.Protocol{thrift.Binary, thrift.Compact} {
		t.Run(p.String(), func(t *testing.T) { t.Parallel(); f(t, p) })
	}
}

// askThrift sends one call and gives its answer.
func askThrift(t *testing.T, a *Agent, frame []byte) *thrift.Message {
	t.Helper()
	c := rawThrift(t, a)
	c.Write(frame)
	m, err := testsupport.ReadThrift(c)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func exceptionOf(m *thrift.Message) (thrift.ApplicationException, string) {
	if m.Type != thrift.Exception {
		return -1, ""
	}
	kind, text := thrift.ReadException(m)
	return kind, string(text)
}

// What a call lacks, or says wrongly, is an error to its caller and never sent.
func TestThriftBadCalls(t *testing.T) {
	eachThrift(t, func(t *testing.T, p thrift.Protocol) {
		peer := testsupport.NewThriftPeer(t, thriftEcho)
		a, _ := startWith(t, thriftConfig(t, peer.Addr()), func(*Agent) {})
		call := func(name string, fill func(*thrift.Writer)) []byte {
			w := thrift.NewWriter(p)
			fill(w)
			return thrift.AppendFrame(nil, &thrift.Message{Protocol: p, Type: thrift.Call, Seq: 9, Name: []byte(name), Body: w.Done()})
		}
		id := func(w *thrift.Writer) { w.Text(1, []byte("a1")) }
		for _, tt := range []struct {
			name, method string
			fill         func(*thrift.Writer)
			want         thrift.ApplicationException
		}{
			{"unknown method", "nothing", id, thrift.UnknownMethod},
			{"an id that is a struct", "saleSettle", func(w *thrift.Writer) { w.Begin(thrift.Struct, 1); w.End() }, thrift.ProtocolError},
			{"a long id", "saleSettle", func(w *thrift.Writer) { w.Text(1, []byte(strings.Repeat("x", 256))) }, thrift.ProtocolError},
			{"keyed without a key", "limitHold", id, thrift.ProtocolError},
			{"keyed with an empty key", "limitHold", func(w *thrift.Writer) { id(w); w.Text(2, nil) }, thrift.ProtocolError},
			{"keyed with a long key", "limitHold", func(w *thrift.Writer) { id(w); w.Text(2, []byte(strings.Repeat("x", 256))) }, thrift.ProtocolError},
			{"no time", "saleSettle", func(w *thrift.Writer) { id(w); w.Int(thrift.I32, 3, 0) }, thrift.ProtocolError},
			{"a negative budget", "saleSettle", func(w *thrift.Writer) { id(w); w.Int(thrift.I32, 3, -1) }, thrift.ProtocolError},
			{"a huge budget", "saleSettle", func(w *thrift.Writer) { id(w); w.Int(thrift.I32, 3, 1<<31-1) }, thrift.ProtocolError},
			{"a budget that is text", "saleSettle", func(w *thrift.Writer) { id(w); w.Text(3, []byte("700")) }, thrift.ProtocolError},
		} {
			m := askThrift(t, a, call(tt.method, tt.fill))
			if kind, text := exceptionOf(m); kind != tt.want || m.Seq != 9 || m.Protocol != p {
				t.Errorf("%s: exception %d %q under %d in %s", tt.name, kind, text, m.Seq, m.Protocol)
			}
		}
		if len(peer.Got) != 0 {
			t.Errorf("the server got %d calls", len(peer.Got))
		}
		m := askThrift(t, a, call("saleSettle", func(w *thrift.Writer) {})) // an id of its own, the class's deadline
		if kind, text := exceptionOf(m); kind != -1 {
			t.Errorf("without id and budget: %d %q", kind, text)
		}
	})
}

// A silent server: an unsafe call that may have run fails in its time, after one attempt, and is never refused.
func TestThriftSilentServerFails(t *testing.T) {
	eachThrift(t, func(t *testing.T, p thrift.Protocol) {
		peer := testsupport.NewThriftPeer(t, func(c net.Conn, _ *thrift.Message) bool { io.Copy(io.Discard, c); return false })
		a, _ := startWith(t, thriftConfig(t, peer.Addr()), func(*Agent) {})
		w := thrift.NewWriter(p)
		w.Text(1, []byte("a1"))
		w.Int(thrift.I32, 3, 1500)
		begun := time.Now()
		m := askThrift(t, a, thrift.AppendFrame(nil, &thrift.Message{Protocol: p, Type: thrift.Call, Seq: 9, Name: []byte("saleSettle"), Body: w.Done()}))
		if kind, text := exceptionOf(m); kind != thriftfront.Failed || time.Since(begun) < time.Second {
			t.Errorf("%d %q after %v", kind, text, time.Since(begun))
		}
		if len(peer.Got) != 1 {
			t.Errorf("%d attempts of an unsafe call that may have run", len(peer.Got))
		}
	})
}

// A module that forgets a call, or panics: its caller still gets one answer in time.
func TestThriftSafetyNet(t *testing.T) {
	eachThrift(t, func(t *testing.T, p thrift.Protocol) {
		c := thriftConfig(t, "127.0.0.1:1")
		a, logged := start(t, c, script(func(_ time.Duration, e saltmast.Event) []saltmast.Action {
			if _, ok := e.(saltmast.Request); ok {
				panic("out of ideas")
			}
			return nil
		}))
		w := thrift.NewWriter(p)
		w.Text(1, []byte("a1"))
		w.Int(thrift.I32, 3, 300)
		m := askThrift(t, a, thrift.AppendFrame(nil, &thrift.Message{Protocol: p, Type: thrift.Call, Seq: 9, Name: []byte("saleSettle"), Body: w.Done()}))
		if kind, _ := exceptionOf(m); kind != thriftfront.Failed || !logged.Has("no final answer by the deadline") {
			t.Errorf("%d", kind)
		}
	})
}

// The rule on refusals holds whatever the module says, and its advice reaches the caller.
func TestThriftRefusals(t *testing.T) {
	eachThrift(t, func(t *testing.T, p thrift.Protocol) {
		peer := testsupport.NewThriftPeer(t, func(c net.Conn, m *thrift.Message) bool { return false }) // may have run
		c := thriftConfig(t, peer.Addr())
		a, _ := start(t, c, script(func(_ time.Duration, e saltmast.Event) []saltmast.Action {
			switch e := e.(type) {
			case saltmast.Request:
				if e.ID == "risky" {
					return []saltmast.Action{saltmast.Send{Request: e.ID, Backend: "t0"}}
				}
				return []saltmast.Action{saltmast.Refuse{Request: e.ID, RetryAfter: 70 * time.Millisecond}}
			case saltmast.Outcome:
				return []saltmast.Action{saltmast.Refuse{Request: e.Request}}
			}
			return nil
		}))
		frame := func(id string) []byte {
			w := thrift.NewWriter(p)
			w.Text(1, []byte(id))
			return thrift.AppendFrame(nil, &thrift.Message{Protocol: p, Type: thrift.Call, Seq: 9, Name: []byte("saleSettle"), Body: w.Done()})
		}
		if kind, text := exceptionOf(askThrift(t, a, frame("safe"))); kind != thriftfront.Refused || text != "refused: nothing has run; retry after 70 ms" {
			t.Errorf("%d %q", kind, text)
		}
		if kind, text := exceptionOf(askThrift(t, a, frame("risky"))); kind != thriftfront.Failed {
			t.Errorf("a refusal of what may have run: %d %q", kind, text)
		}
	})
}
