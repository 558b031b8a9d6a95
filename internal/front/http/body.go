package http

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"saltmast/internal/bodybuffer"
	"saltmast/internal/http1"
	"saltmast/internal/upstream"
)

// source is the body of a request on c, whose reads are bounded by progress from now on.
func (c *conn) source(length int64) *http1.Body {
	c.timing, c.begun, c.got = true, time.Now(), 0
	return http1.NewBody(c.in, length, limits)
}

// readBody reads a body as far as it is kept. coming: the rest is to pass on as it comes. A status says what is wrong.
func (c *conn) readBody(r *http1.Request, s *http1.Body, hold *bodybuffer.Reservation, way bodybuffer.Mode) (body []byte, coming *upstream.Coming, status int, why string) {
	if r.Expect && c.in.Buffered() == 0 {
		c.SetWriteDeadline(time.Now().Add(slowStart))
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, 0, "gone"
		}
	}
	if way == bodybuffer.Buffered {
		if r.Length >= 0 {
			body = make([]byte, r.Length)
			if _, err := io.ReadFull(s, body); err != nil {
				return nil, nil, statusOf(err), err.Error()
			}
			return body, nil, 0, ""
		}
		for {
			if len(body) == cap(body) {
				if len(body) >= bodybuffer.SmallBody {
					if way = hold.Grow(int64(len(body)) + bodybuffer.GrowthStep); way == bodybuffer.TooLarge {
						way = hold.Grow(bodybuffer.MaxBody)
					}
					if way != bodybuffer.Buffered {
						break
					}
				}
				grown := make([]byte, len(body), min(max(4<<10, 2*len(body)), max(bodybuffer.SmallBody, len(body)+bodybuffer.GrowthStep)))
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
	if !hold.Stream() {
		return nil, nil, http.StatusServiceUnavailable, "too many large bodies at once: nothing has run"
	}
	return nil, &upstream.Coming{Prefix: body, Rest: s, Length: r.Length}, 0, ""
}

// statusOf is how a client hears that its body can't be read.
func statusOf(err error) int {
	if errors.Is(err, http1.ErrTooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// pass writes an answer as its backend gives it. A break there ends the connection before the end of the answer, so that the
// client sees that it is not whole.
func (c *conn) pass(s *upstream.Stream, head string, last bool) bool {
	defer s.Close()
	buf := make([]byte, 0, copyBytes+64)
	buf = http1.AppendHead(buf, http.StatusOK, head, s.Length, last)
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
