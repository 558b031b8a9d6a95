package http

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"time"

	"saltmast/internal/keep"
	"saltmast/internal/upstream"
)

// errBody marks a body that is malformed.
var errBody = errors.New("malformed body")

// source reads a body off its connection, to its end and no further.
type source struct {
	c     *conn
	in    io.Reader // nil: at its end
	left  int64     // of a told length; chunked
	total int64     // of one in chunks
}

func (c *conn) source(length int64) *source {
	c.timing, c.begun, c.got = true, time.Now(), 0
	s := &source{c: c, left: length, in: c.in}
	if length == chunked {
		s.in = httputil.NewChunkedReader(c.in)
	}
	return s
}

// Read implements io.Reader: io.EOF comes at the end of a whole body alone.
func (s *source) Read(p []byte) (int, error) {
	if s.in == nil || s.left == 0 {
		return 0, io.EOF
	}
	if s.left > 0 {
		n, err := s.in.Read(p[:min(int64(len(p)), s.left)])
		if s.left -= int64(n); err == io.EOF && s.left > 0 {
			err = io.ErrUnexpectedEOF
		} else if s.left == 0 {
			s.in, err = nil, nil
		}
		return n, err
	}
	n, err := s.in.Read(p)
	if s.total += int64(n); s.total > keep.Most {
		return 0, errTooLarge
	}
	if err == io.EOF {
		if err = skipTrailer(s.c.in); err == nil {
			s.in = nil
			if n == 0 {
				err = io.EOF
			}
		}
	}
	return n, err
}

// whole reports whether the body has been read to its end.
func (s *source) whole() bool { return s == nil || s.in == nil || s.left == 0 }

var errTooLarge = errors.New("too large a body")

// readBody reads a body as far as it is kept. coming: the rest is to pass on as it comes. A status says what is wrong.
func (c *conn) readBody(r *request, s *source, hold *keep.Hold, way keep.Way) (body []byte, coming *upstream.Coming, status int, why string) {
	if r.expect && c.in.Buffered() == 0 {
		c.SetWriteDeadline(time.Now().Add(slowStart))
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, 0, "gone"
		}
	}
	if way == keep.Kept {
		if r.length >= 0 {
			body = make([]byte, r.length)
			if _, err := io.ReadFull(s, body); err != nil {
				return nil, nil, statusOf(err), err.Error()
			}
			return body, nil, 0, ""
		}
		for {
			if len(body) == cap(body) {
				if len(body) >= keep.Small {
					if way = hold.Grow(int64(len(body)) + keep.Growth); way == keep.TooLarge {
						way = hold.Grow(keep.Most)
					}
					if way != keep.Kept {
						break
					}
				}
				grown := make([]byte, len(body), min(max(4<<10, 2*len(body)), max(keep.Small, len(body)+keep.Growth)))
				copy(grown, body)
				body = grown
			}
			n, err := s.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if err == io.EOF {
				return body, nil, 0, ""
			}
			if err != nil {
				return nil, nil, statusOf(err), err.Error()
			}
		}
	}
	if !hold.Pass() {
		return nil, nil, http.StatusServiceUnavailable, "too many large bodies at once: nothing has run"
	}
	return nil, &upstream.Coming{Prefix: body, Rest: s, Length: r.length}, 0, ""
}

// statusOf is how a client hears that its body can't be read.
func statusOf(err error) int {
	if errors.Is(err, errTooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// pass writes an answer as its backend gives it. A break there ends the connection before the end of the answer, so that the
// client sees that it is not whole.
func (c *conn) pass(s *upstream.Stream, head string, last bool) bool {
	defer s.Close()
	buf := make([]byte, 0, copyBytes+64)
	buf = appendHead(buf, http.StatusOK, head, s.Length, last)
	begun, sent := time.Now(), int64(0)
	write := func(p []byte) bool {
		for len(p) > 0 {
			c.SetWriteDeadline(progress(begun, sent))
			n, err := c.Conn.Write(p[:min(len(p), copyBytes)])
			if sent += int64(n); err != nil {
				return false
			}
			p = p[n:]
		}
		return true
	}
	piece := make([]byte, copyBytes)
	for {
		n, err := s.Read(piece)
		if n > 0 {
			if s.Length < 0 {
				buf = fmt.Appendf(buf, "%x\r\n", n)
			}
			buf = append(buf, piece[:n]...)
			if s.Length < 0 {
				buf = append(buf, "\r\n"...)
			}
		}
		if err == io.EOF && s.Length < 0 {
			buf = append(buf, "0\r\n\r\n"...)
		}
		if err != nil && err != io.EOF {
			return false
		}
		if !write(buf) {
			return false
		}
		if err == io.EOF {
			return true
		}
		buf = buf[:0]
	}
}
