package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/textproto"
	"sync"
	"time"

	"saltmast"
	"saltmast/internal/bodybuffer"
	"saltmast/internal/http1"
	"saltmast/internal/thrift"
)

const (
	// MaxBody is how many bytes an answer may have that is read whole before it goes on.
	MaxBody  = bodybuffer.SmallBody
	maxHead  = 16 << 10 // bytes of an answer's head
	maxEarly = 8        // 1xx answers ahead of the real one
	maxWire  = 2 * MaxBody
)

// errMalformed marks an answer that came but says nothing usable; the request may have run.
var errMalformed = errors.New("malformed answer")

// reply is what came back: an answer, whole, or an error.
type reply struct {
	verdict saltmast.Result // of one that came whole
	status  int             // of HTTP
	header  textproto.MIMEHeader
	body    []byte
	stream  *Stream         // in place of body, of an answer that goes on as it comes
	message *thrift.Message // of Thrift
	odd     string          // what is unexpected about it, for the log
	at      time.Time
	err     error

	unrecorded bool // nothing went out since it could not be recorded
}

// readers are the buffers of exchanges; an idle connection has none.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4096) }}

// send writes a request in one go and reads its reply. written tells whether its last byte went out; again,
// whether the connection is good for another one. Once an answer has begun, a gap of stall ends it.
func send(ctx context.Context, c net.Conn, raw []byte, cut time.Time, stall time.Duration,
	read func(*answerReader) (reply, bool)) (r reply, written, again bool) {
	c.SetDeadline(cut)
	stop := after(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if n, err := c.Write(raw); n < len(raw) {
		return reply{err: err, at: time.Now()}, false, false
	}
	a := &answerReader{Conn: c, ctx: ctx, cut: cut, stall: stall}
	r, again = a.begin(read)
	r.at = time.Now()
	return r, true, stop() && again
}

// begin reads an answer. The buffer goes back with it, or with the end of one that goes on as it comes.
func (a *answerReader) begin(read func(*answerReader) (reply, bool)) (r reply, again bool) {
	a.in = readers.Get().(*bufio.Reader)
	a.in.Reset(a)
	r, again = read(a)
	if r.stream == nil {
		again = a.release() && again
	}
	return r, again
}

// release gives the buffer back and reports whether nothing was left in it.
func (a *answerReader) release() bool {
	extra := a.in.Buffered() > 0
	a.in.Reset(nil)
	readers.Put(a.in)
	return !extra
}

// after is context.AfterFunc, without a context between where ctx can do it by itself.
func after(ctx context.Context, f func()) (stop func() bool) {
	if c, ok := ctx.(interface {
		AfterFunc(func()) (stop func() bool)
	}); ok {
		return c.AfterFunc(f)
	}
	return context.AfterFunc(ctx, f)
}

// answerReader reads one answer off a connection and bounds what it may take.
type answerReader struct {
	net.Conn
	ctx   context.Context
	in    *bufio.Reader
	cut   time.Time
	stall time.Duration
	begun bool  // some of the answer has come
	left  int   // bytes that it may still take
	end   error // of the connection, as it was read
}

// Read notes how the connection ended, since the codecs tell that and a spoilt answer alike.
func (a *answerReader) Read(p []byte) (int, error) {
	if a.left <= 0 {
		return 0, errMalformed
	}
	if a.begun {
		a.deadline(time.Now().Add(a.stall))
	}
	n, err := a.Conn.Read(p[:min(len(p), a.left)])
	a.left -= n
	a.begun = a.begun || n > 0
	if err != nil {
		a.end = err
	}
	return n, err
}

// deadline moves the read deadline, but never past the cut, nor over that of a cancelled attempt.
func (a *answerReader) deadline(t time.Time) {
	if t.After(a.cut) {
		t = a.cut
	}
	a.Conn.SetReadDeadline(t)
	if a.ctx.Err() != nil {
		a.Conn.SetDeadline(time.Unix(1, 0))
	}
}

// readHTTP reads one answer to its end, so that a half one is never passed on, and tells whether another may
// follow on the same connection.
func (a *answerReader) readHTTP() (reply, bool) {
	for range maxEarly + 1 {
		a.left, a.begun = maxHead, a.in.Buffered() > 0
		status, header, last, err := http1.ReadAnswer(a.in)
		if err != nil {
			return a.failed(err), false
		}
		if status >= 100 && status < 200 && status != http.StatusSwitchingProtocols {
			a.deadline(a.cut) // the real one may take its time
			continue
		}
		length, err := http1.AnswerLength(status, header, bodybuffer.MaxBody)
		if err != nil {
			return a.failed(err), false
		}
		if tooLong(status, length) {
			return reply{status: status, header: header}, false
		}
		body, stream, err := a.readBody(length)
		if err != nil {
			return a.failed(err), false
		}
		return reply{status: status, header: header, body: body, stream: stream}, !last && length != http1.UntilClose
	}
	return a.failed(errors.New("no end of early answers")), false
}

// failed tells an end of the connection from an answer that can't be used. One that began and came to a
// standstill is of the latter kind: its connection stays open and brings no more.
func (a *answerReader) failed(err error) reply {
	if a.end != nil && !(a.begun && isTimeout(a.end) && time.Now().Before(a.cut) && a.ctx.Err() == nil) {
		return reply{err: a.end}
	}
	return reply{err: fmt.Errorf("%w: %w", errMalformed, err)}
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
