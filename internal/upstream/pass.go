package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"time"

	"saltmast"
	"saltmast/internal/bodybuffer"
	"saltmast/internal/core"
	"saltmast/internal/http1"
	"saltmast/internal/sock"
)

const (
	// passStall is the gap that ends a body that passes, either way: limits of these go by progress.
	passStall = 10 * time.Second
	// passBytes is the buffer of a body that passes.
	passBytes = 16 << 10
	// early is how long an answer of untold length may have been coming, in bytes that fit memory, before it goes on.
	early = 250 * time.Millisecond
)

// errClient marks a body that its client did not bring to its end. Its backend is not to blame.
var errClient = errors.New("the client's body broke off")

// Coming is a body that passes on as it comes, once: to one attempt.
type Coming struct {
	Prefix []byte    // what was read of it already
	Rest   io.Reader // io.EOF comes at the end of a whole body alone
	Length int64     // -1: not told

	mu    sync.Mutex
	inUse bool
	spent bool // some of it has been read
	shut  bool // nothing may begin to read it
	err   error
}

// begin reports whether an attempt may read it.
func (b *Coming) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.inUse || b.spent || b.shut {
		return false
	}
	b.inUse, b.spent = true, true
	return true
}

func (b *Coming) end(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse, b.err = false, err
}

// Free reports whether no attempt reads it, and sees to it that none will.
func (b *Coming) Free() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.shut = true
	return !b.inUse
}

// Err is why it could not be read to its end; nil: it could, as far as it was.
func (b *Coming) Err() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// Spent reports whether it can't be sent whole any more.
func (b *Coming) Spent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent
}

// sendComing writes a request whose body comes from its client as it goes, and reads the reply. written and again are as in send.
func sendComing(ctx context.Context, c net.Conn, q *core.Call, h *HTTP, cut time.Time, stall time.Duration) (r reply, written, again bool) {
	body := h.Coming
	if !body.begin() {
		return reply{err: errors.New("the body is spent"), at: time.Now()}, false, false
	}
	stop := after(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	buf := h.appendHead(make([]byte, 0, passBytes+512), q.ID, time.Until(cut), body.Length)
	err := body.pass(ctx, c, buf)
	body.end(clientsOwn(err))
	a := &answerReader{Conn: c, ctx: ctx, cut: time.Now().Add(passStall), stall: stall}
	switch {
	case errors.Is(err, errClient):
		return reply{err: err, at: time.Now()}, false, false
	case err != nil: // the backend may have said why before it closed
		c.SetReadDeadline(time.Now().Add(stall))
		a.cut = time.Now().Add(stall)
	default:
		a.cut = q.Arrived(time.Now())
		c.SetDeadline(a.cut)
		if ctx.Err() != nil {
			c.SetDeadline(time.Unix(1, 0))
		}
	}
	r, again = a.begin(h.read)
	r.at = time.Now()
	return r, err == nil, again && err == nil && stop()
}

func clientsOwn(err error) error {
	if errors.Is(err, errClient) {
		return err
	}
	return nil
}

// errEarly marks a body that its backend did not want to the end: it has answered before.
var errEarly = errors.New("answered before the end of the body")

// pass writes a body, with what is in buf ahead of it. An error that is not the client's leaves it open what the backend said.
func (b *Coming) pass(ctx context.Context, c net.Conn, buf []byte) error {
	put := func(p []byte) error {
		c.SetWriteDeadline(time.Now().Add(passStall))
		if err := ctx.Err(); err != nil {
			return err
		}
		_, err := c.Write(p)
		return err
	}
	add := func(p []byte) {
		if b.Length < 0 {
			buf = strconv.AppendInt(buf, int64(len(p)), 16)
			buf = append(buf, "\r\n"...)
		}
		buf = append(buf, p...)
		if b.Length < 0 {
			buf = append(buf, "\r\n"...)
		}
	}
	if len(b.Prefix) > 0 {
		add(b.Prefix)
		b.Prefix = nil
	}
	if err := put(buf); err != nil {
		return err
	}
	piece := make([]byte, passBytes)
	for {
		n, err := b.Rest.Read(piece)
		buf = buf[:0]
		if n > 0 {
			add(piece[:n])
		}
		switch {
		case err == io.EOF && b.Length < 0:
			buf = append(buf, "0\r\n\r\n"...)
		case err != nil && err != io.EOF:
			return fmt.Errorf("%w: %w", errClient, err)
		}
		if quiet, _ := sock.Look(c); !quiet && len(buf) > 0 {
			return errEarly
		}
		if len(buf) > 0 {
			if err := put(buf); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
	}
}

// Stream is an answer that goes on as it comes. Whoever gets one closes it.
type Stream struct {
	Length int64 // -1: not told

	prefix []byte
	body   io.Reader
	a      *answerReader
	whole  bool
	once   sync.Once
	free   func(whole bool) // gives its connection back
}

// Read implements io.Reader: io.EOF comes at the end of a whole answer alone.
func (s *Stream) Read(p []byte) (int, error) {
	if len(s.prefix) > 0 {
		n := copy(p, s.prefix)
		s.prefix = s.prefix[n:]
		return n, nil
	}
	if s.whole {
		return 0, io.EOF
	}
	n, err := s.body.Read(p)
	if err == io.EOF {
		s.whole = true
		if n > 0 {
			err = nil
		}
	}
	return n, err
}

// Close ends it. Its connection is good for another request where it was read to its end.
func (s *Stream) Close() error {
	s.once.Do(func() { s.free(s.whole) })
	return nil
}

// readBody reads an answer whole, or begins to pass it on where it is long, or its length is not told and it turns out to be
// long or slow.
func (a *answerReader) readBody(length int64) ([]byte, *Stream, error) {
	a.left = maxWire
	body := http1.AnswerBody(a.in, length)
	if length >= 0 && length <= MaxBody {
		out := make([]byte, length)
		_, err := io.ReadFull(body, out)
		return out, nil, err
	}
	s := &Stream{Length: length, body: body, a: a}
	if length < 0 {
		s.Length = -1
		begun := time.Now()
		for len(s.prefix) <= MaxBody && time.Since(begun) < early {
			if cap(s.prefix)-len(s.prefix) < 512 {
				s.prefix = append(make([]byte, 0, max(4096, 2*cap(s.prefix))), s.prefix...)
			}
			n, err := body.Read(s.prefix[len(s.prefix):min(cap(s.prefix), MaxBody+1)])
			s.prefix = s.prefix[:len(s.prefix)+n]
			if err == io.EOF && len(s.prefix) <= MaxBody {
				return s.prefix, nil, nil
			}
			if err == io.EOF {
				s.whole = true
				break
			}
			if err != nil {
				return nil, nil, err
			}
		}
	}
	a.left = 2 * bodybuffer.MaxBody // with what frames it
	a.stall, a.cut = passStall, time.Now().Add(time.Hour)
	a.Conn.SetWriteDeadline(time.Time{})
	return nil, s, nil
}

// verdictless answers that are too long to be read are told by their status alone.
func tooLong(status int, length int64) bool {
	return status != 200 && (length > MaxBody || length == http1.UntilClose)
}

// outcomeOf is result for a request whose body passed.
func outcomeOf(r reply, written, cancelled bool) saltmast.Result {
	if errors.Is(r.err, errClient) {
		return saltmast.NotSent // nothing has run, and its backend is not to blame
	}
	return result(r, written, cancelled)
}
