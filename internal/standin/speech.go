package standin

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"saltmast/internal/thrift"
)

// The protocols that a server may speak. The calls of Thrift are those of thriftIDL.
const (
	HTTP          = "http"
	ThriftBinary  = "thrift-binary"
	ThriftCompact = "thrift-compact"
)

// thriftIDL is what stand-ins speak Thrift by. A class is called by its name in camel case: limit-hold is limitHold.
//
//	struct Request { 1: string id, 2: string key, 3: i32 budgetMs, 4: string route, 5: binary payload }
//	struct Answer  { 1: string text }
//	service Auth   { Answer limitHold(1: Request r), Answer saleSettle(1: Request r), void ping() }
//
// A server that turns a call away before it runs throws a TApplicationException whose text begins with Rejected.
const (
	Rejected = "rejected"
	Ping     = "ping"
)

// speech is a protocol as a server speaks it.
type speech interface {
	// read reads one request whole.
	read(in *bufio.Reader) (*incoming, error)
	// answer is a whole one: 200 with a text, 500, or 503 for what was turned away unseen.
	answer(r *incoming, status int, text string) []byte
	// long is an answer that says more bytes than it has.
	long(r *incoming, text string) []byte
	// odd is a fault of the protocol's own; nil: it has none of that kind. whole says that it can be read and answers
	// the call.
	odd(r *incoming, kind, text string) (answer []byte, whole bool)
}

// incoming is a request that has come whole.
type incoming struct {
	probe   bool
	id, key string
	budget  time.Duration
	body    []byte
	call    thrift.Message // of Thrift
}

func speechOf(protocol string) speech {
	switch protocol {
	case ThriftBinary:
		return thriftSpeech{thrift.Binary}
	case ThriftCompact:
		return thriftSpeech{thrift.Compact}
	}
	return httpSpeech{}
}

type httpSpeech struct{}

func (httpSpeech) read(in *bufio.Reader) (*incoming, error) {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	ms, _ := strconv.Atoi(r.Header.Get("X-Budget-Ms"))
	return &incoming{probe: r.URL.Path == "/healthz" || r.URL.Path == "/load", id: r.Header.Get("X-Call-Id"),
		key: r.Header.Get("Idempotency-Key"), budget: time.Duration(ms) * time.Millisecond, body: body}, nil
}

func (httpSpeech) answer(_ *incoming, status int, text string) []byte {
	head := ""
	if status == http.StatusServiceUnavailable && text == "" {
		head = "X-Rejected: 1\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), head, len(text), text)
}

func (httpSpeech) long(_ *incoming, text string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text)+100, text)
}

func (httpSpeech) odd(*incoming, string, string) ([]byte, bool) { return nil, false }

// thriftSpeech answers in the caller's protocol, whichever that is.
type thriftSpeech struct{ protocol thrift.Protocol }

var errSpeech = errors.New("speaks another protocol")

func (s thriftSpeech) read(in *bufio.Reader) (*incoming, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return nil, err
	}
	n, err := thrift.FrameLength(head, thrift.Limits{})
	if err != nil {
		return nil, err
	}
	frame := make([]byte, n)
	if _, err := io.ReadFull(in, frame); err != nil {
		return nil, err
	}
	m, err := thrift.Scan(frame, thrift.Limits{})
	if err != nil {
		return nil, err
	}
	if m.Protocol != s.protocol {
		return nil, errSpeech
	}
	r := &incoming{probe: string(m.Name) == Ping, call: m, body: frame}
	text := func(id int16) string {
		v, _ := thrift.Find(&m, 1, id)
		return string(v.Bytes())
	}
	r.id, r.key = text(1), text(2)
	if v, ok := thrift.Find(&m, 1, 3); ok {
		ms, _ := v.Int()
		r.budget = time.Duration(ms) * time.Millisecond
	}
	if v, ok := thrift.Find(&m, 1, 5); ok {
		r.body = v.Bytes()
	}
	return r, nil
}

func (thriftSpeech) answer(r *incoming, status int, text string) []byte {
	switch {
	case r.call.Type == thrift.Oneway:
		return nil
	case status == http.StatusServiceUnavailable:
		return thrift.AppendException(nil, &r.call, thrift.InternalError, Rejected+": full or draining")
	case status != http.StatusOK:
		return thrift.AppendException(nil, &r.call, thrift.InternalError, "an error: "+text)
	}
	m := r.call
	m.Type = thrift.Reply
	m.Body = AnswerBody(m.Protocol, text)
	if r.probe {
		m.Body = []byte{0}
	}
	return thrift.AppendFrame(nil, &m)
}

func (s thriftSpeech) long(r *incoming, text string) []byte {
	frame := s.answer(r, http.StatusOK, text)
	if len(frame) >= 4 {
		binary.BigEndian.PutUint32(frame, binary.BigEndian.Uint32(frame)+100)
	}
	return frame
}

func (s thriftSpeech) odd(r *incoming, kind, text string) ([]byte, bool) {
	other := *r
	switch kind {
	case "wrong-seq":
		other.call.Seq++
	case "wrong-method":
		other.call.Name = append(bytes.Clone(r.call.Name), 'X')
	case "other-protocol":
		other.call.Protocol, other.call.Old = 1-r.call.Protocol, false
		return s.answer(&other, http.StatusOK, text), true
	default:
		return nil, false
	}
	return s.answer(&other, http.StatusOK, text), false
}

// Method is the name by which a class is called in Thrift.
func Method(class string) string {
	var b []byte
	up := false
	for _, c := range []byte(class) {
		if c == '-' {
			up = true
			continue
		}
		if up && c >= 'a' && c <= 'z' {
			c -= 'a' - 'A'
		}
		up = false
		b = append(b, c)
	}
	return string(b)
}

// CallBody is the arguments of a call by thriftIDL.
func CallBody(p thrift.Protocol, id, key string, budget time.Duration, route string, payload []byte) []byte {
	w := thrift.NewWriter(p)
	w.Begin(thrift.Struct, 1)
	w.Text(1, []byte(id))
	if key != "" {
		w.Text(2, []byte(key))
	}
	w.Int(thrift.I32, 3, budget.Milliseconds())
	w.Text(4, []byte(route))
	w.Text(5, payload)
	w.End()
	return w.Done()
}

// AnswerBody is a result by thriftIDL.
func AnswerBody(p thrift.Protocol, text string) []byte {
	w := thrift.NewWriter(p)
	w.Begin(thrift.Struct, 0)
	w.Text(1, []byte(text))
	w.End()
	return w.Done()
}

// AnswerText reads a result back.
func AnswerText(m *thrift.Message) ([]byte, bool) {
	v, ok := thrift.Find(m, 0, 1)
	return v.Bytes(), ok
}
