package upstream

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"saltmast"
	"saltmast/internal/thrift"
)

// Thrift is a caller's call as it goes on to servers: the payload of its core.Call. What comes back as served is a
// *thrift.Message whose body is in the caller's protocol.
type Thrift struct {
	Call     thrift.Message  // as the caller sent it
	To       thrift.Protocol // what servers are spoken to in
	Rejected []byte          // an exception whose text begins so has not run; empty: none does
	Limits   thrift.Limits   // of a reply

	once sync.Once
	body []byte // in To
	err  error
}

// thriftAttempt is one attempt of a call: it has a sequence id of its own, so that no other answer passes for its.
type thriftAttempt struct {
	*Thrift
	seq int32
}

func (t *Thrift) attempt() codec { return &thriftAttempt{Thrift: t, seq: int32(rand.Uint32())} }

// encode implements codec.
func (t *thriftAttempt) encode(string, time.Duration) ([]byte, error) {
	t.once.Do(func() {
		if t.Call.Protocol == t.To {
			t.body = t.Call.Body
			return
		}
		t.body, t.err = thrift.Transcode(nil, &t.Call, t.To, 8*len(t.Call.Body)+64)
	})
	if t.err != nil {
		return nil, t.err
	}
	m := thrift.Message{Protocol: t.To, Type: t.Call.Type, Seq: t.seq, Name: t.Call.Name, Body: t.body}
	return thrift.AppendFrame(make([]byte, 0, 4+32+len(m.Name)+len(m.Body)), &m), nil
}

// read implements codec. A reply counts only if it came whole, answers this very call, and nothing stands behind it;
// the table of outcomes is in docs/thrift.md.
func (t *thriftAttempt) read(a *answerReader) (reply, bool) {
	if t.Call.Type == thrift.Oneway { // nothing comes back: what was written whole is taken for done
		return reply{verdict: saltmast.OK}, true
	}
	a.left, a.begun = 4+t.Limits.Most()+1, a.in.Buffered() > 0 // a byte behind a frame of the longest still shows
	var head [4]byte
	if _, err := io.ReadFull(a.in, head[:]); err != nil {
		return a.failed(err), false
	}
	n, err := thrift.FrameLength(head, t.Limits)
	if err != nil {
		return a.failed(err), false
	}
	frame := make([]byte, n)
	if _, err := io.ReadFull(a.in, frame); err != nil {
		return a.failed(err), false
	}
	m, err := thrift.Scan(frame, t.Limits)
	if err != nil {
		return a.failed(err), false
	}
	switch {
	case m.Seq != t.seq:
		return a.failed(fmt.Errorf("sequence id %d, want %d", m.Seq, t.seq)), false
	case !bytes.Equal(m.Name, t.Call.Name) && !bytes.Equal(m.Name, method(t.Call.Name)):
		return a.failed(fmt.Errorf("answer to %.40q", m.Name)), false
	case m.Type != thrift.Reply && m.Type != thrift.Exception:
		return a.failed(fmt.Errorf("message type %d", m.Type)), false
	}
	r := reply{verdict: saltmast.OK}
	if m.Type == thrift.Exception {
		kind, text := thrift.ReadException(&m)
		switch {
		case len(t.Rejected) > 0 && bytes.HasPrefix(text, t.Rejected),
			kind == thrift.UnknownMethod, kind == thrift.InvalidMessageType, kind == thrift.InvalidProtocol, kind == thrift.UnsupportedClientType:
			r.verdict = saltmast.Full // its processor turned it away before any handler
		default:
			r.verdict = saltmast.Errored
		}
		if r.verdict == saltmast.Full && kind != thrift.InternalError {
			r.odd = fmt.Sprintf("exception %d", kind)
		}
		return r, true
	}
	if m.Protocol != t.Call.Protocol {
		if m.Body, err = thrift.Transcode(nil, &m, t.Call.Protocol, 8*len(m.Body)+64); err != nil {
			return a.failed(err), false
		}
		m.Protocol = t.Call.Protocol
	}
	r.message = &m
	return r, true
}

// method is the name without a multiplexer's service: servers behind one answer without it.
func method(name []byte) []byte {
	if i := bytes.IndexByte(name, ':'); i >= 0 {
		return name[i+1:]
	}
	return name
}

// newProbeThrift calls a method that takes nothing and has no effect.
func newProbeThrift(name string, to thrift.Protocol) codec {
	t := &Thrift{Call: thrift.Message{Protocol: to, Type: thrift.Call, Name: []byte(name), Body: []byte{0}}, To: to}
	return t.attempt()
}
