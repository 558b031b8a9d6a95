package dataplane

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"saltmast/internal/errcode"
	"saltmast/internal/http1"
	"saltmast/internal/links"
)

const (
	backendIdleTimeout   = 9 * time.Second
	backendDialTimeout   = 500 * time.Millisecond
	backendResponseGrace = 40 * time.Millisecond
	maxUnmatched         = 4  // limit of responses to other requests that precede the expected one
	maxInterimResponses  = 32 // limit of 1xx responses that precede the final one
	maxResponseBytes     = 1 << 40
	// maxResponseHead bounds the head of a response, which has to fit into the head of a peer response.
	maxResponseHead = maxPeerHead / 2
	keepAliveMargin = 300 * time.Millisecond // how much earlier than the backend a connection is closed
)

// exchange sends a request to the backend and reads its response. Canceling ctx closes the connection to the backend.
func (ib *Inbound) exchange(ctx context.Context, a *peerRequest, body []byte, rest io.Reader, deadline time.Time) outcome {
	ioDeadline := deadline.Add(backendResponseGrace)
	var c *links.Conn
	var err error
	for {
		var o *outcome
		if c, o = ib.connect(ctx, a, deadline); o != nil {
			return *o
		}
		c.CloseOnDone(ctx)
		c.SetDeadline(ioDeadline)
		buf := getBuf()
		msg := appendRequest((*buf)[:0], a, ib.options.Service, time.Until(deadline))
		head := len(msg)
		if rest == nil {
			msg = append(msg, body...)
		}
		var n int
		n, err = c.Write(msg)
		*buf = msg[:0]
		putBuf(buf)
		if n >= head {
			break
		}
		ib.pool.Close(c) // the head was not sent completely, so nothing ran
		if c.IdleSince().IsZero() || !time.Now().Before(deadline) || ctx.Err() != nil {
			ib.Counts.Unreachable.Add(1)
			return outcome{peerResponse: peerResponse{Code: errcode.Unreachable}, err: err}
		}
	}
	ib.Counts.Sent.Add(1)
	if err == nil && rest != nil {
		err = forwardBody(c, a.Length, body, rest)
		c.SetDeadline(ioDeadline)
	}
	if errors.Is(err, errClientBody) {
		ib.pool.Close(c)
		return outcome{peerResponse: peerResponse{Code: errcode.ConnectionLost, Sent: true}, err: err}
	}
	limited := &headLimitReader{r: c}
	in := getReader(limited)
	o, reusable, idleFor := ib.readResponse(c, in, limited, a, ioDeadline)
	if err != nil {
		reusable = false
	}
	c.LastRequestID = a.ID
	if o.response != nil && o.response.Stream != nil {
		o.response.onClose = func(complete bool) { ib.returnConn(c, in, complete && reusable, idleFor) }
		return o
	}
	ib.returnConn(c, in, reusable, idleFor)
	return o
}

// connect returns a connection to the requested backend instance, or the outcome of the failure.
func (ib *Inbound) connect(ctx context.Context, a *peerRequest, deadline time.Time) (*links.Conn, *outcome) {
	for {
		c := ib.pool.Get(a.Instance)
		if c == nil {
			break
		}
		if c.LastRequestID != a.ID || a.ID == "" {
			return c, nil
		}
		ib.pool.Close(c) // a duplicate of that response may arrive, and could be mistaken for the response to this request
	}
	ib.mu.Lock()
	addr := ib.backendAddr
	ib.mu.Unlock()
	if addr == "" {
		addr = ib.options.App
	}
	c, err := ib.pool.Dial(ctx, a.Instance, addr, deadline)
	if err != nil {
		ib.Counts.Unreachable.Add(1)
		if !isTimeout(err) && ctx.Err() == nil {
			ib.connectionRefused(a.Instance)
		}
		return nil, &outcome{peerResponse: peerResponse{Code: errcode.Unreachable}, err: err}
	}
	return c, nil
}

func (ib *Inbound) returnConn(c *links.Conn, in *bufio.Reader, reusable bool, idleFor time.Duration) {
	reusable = reusable && in.Buffered() == 0
	putReader(in)
	if !reusable {
		ib.pool.Close(c)
		return
	}
	ib.pool.ReleaseFor(c, idleFor)
}

// readResponse reads the response to a request. reusable: the connection can be reused, and may stay idle for idleFor.
func (ib *Inbound) readResponse(c *links.Conn, in *bufio.Reader, limited *headLimitReader, a *peerRequest, ioDeadline time.Time) (o outcome, reusable bool, idleFor time.Duration) {
	fail := func(err error) (outcome, bool, time.Duration) {
		k := errcode.ConnectionLost
		var ne net.Error
		switch {
		case isTimeout(err):
			k = errcode.ResponseTimeout
			ib.Counts.TimedOut.Add(1)
		case errors.As(err, &ne), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			ib.Counts.Broken.Add(1)
		default:
			k = errcode.InvalidResponse
			ib.Counts.Failed.Add(1)
		}
		return outcome{peerResponse: peerResponse{Code: k, Sent: true}, err: err}, false, 0
	}
	first := c.IdleSince().IsZero() // nothing was sent on it before
	for unmatched, interim := 0, 0; unmatched < maxUnmatched && interim < maxInterimResponses; {
		limited.remaining = maxResponseHead
		status, h, closing, err := http1.ReadAnswer(in)
		if err != nil {
			return fail(err)
		}
		limited.remaining = -1
		if status >= 100 && status < 200 {
			if status == 101 {
				return fail(errors.New("unexpected status 101: no upgrade was requested"))
			}
			interim++
			continue
		}
		length := int64(0)
		if a.Method != "HEAD" {
			if length, err = http1.AnswerLength(status, h, maxResponseBytes); err != nil {
				return fail(err)
			}
		}
		body := http1.AnswerBody(in, length)
		id := h.Get(HeaderAttemptID)
		declined := h.Get(HeaderNotExecuted) != "" || status == 421
		if len(h[HeaderAttemptID]) > 1 {
			return fail(errors.New("response with more than one attempt id"))
		}
		if id != a.ID && !(id == "" && declined && first) { // a late response to another request
			first = false
			unmatched++
			ib.Counts.Unmatched.Add(1)
			if id == "" || closing || length == http1.UntilClose {
				return fail(errors.New("response with an unexpected attempt id"))
			}
			if _, err := io.Copy(io.Discard, body); err != nil {
				return fail(err)
			}
			continue
		}
		idleFor = backendIdleTimeout
		if s := keepAliveTimeout(h.Get("Keep-Alive")); s > 0 {
			idleFor = min(idleFor, s-keepAliveMargin)
		}
		reusable = !closing && length != http1.UntilClose
		buffered, complete, err := readBuffered(body, length)
		if err != nil {
			return fail(err)
		}
		if declined {
			if !complete {
				reusable = false
			}
			ib.Counts.Declined.Add(1)
			return outcome{peerResponse: peerResponse{Code: errcode.Declined, Sent: true, Status: status}}, reusable, idleFor
		}
		if status/100 == 2 && (h.Get(HeaderServerSeal) == "" || h.Get("Content-Encoding") != "") {
			return fail(fmt.Errorf("response with status %d lacks the backend's seal or is encoded", status))
		}
		resp := &Response{Status: status, Header: forwardedFields(h), Body: buffered, Length: int64(len(buffered))}
		if !complete {
			resp.Length = length
			if length < 0 {
				resp.Length = unknownLength
			}
			c.SetDeadline(time.Time{})
			resp.Stream = &stallReader{c, body, ioDeadline}
		}
		return outcome{peerResponse: peerResponse{Sent: true, Status: status}, response: resp}, reusable, idleFor
	}
	return fail(errors.New("too many responses without the attempt id of the request"))
}

// headLimitReader limits how much is read of a head, beyond what its buffer already holds. remaining < 0: no limit.
type headLimitReader struct {
	r         io.Reader
	remaining int
}

var errHeadTooLong = errors.New("response head too long")

func (h *headLimitReader) Read(b []byte) (int, error) {
	if h.remaining < 0 {
		return h.r.Read(b)
	}
	if h.remaining == 0 {
		return 0, errHeadTooLong
	}
	n, err := h.r.Read(b[:min(len(b), h.remaining)])
	h.remaining -= n
	return n, err
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// keepAliveTimeout returns how long a server keeps an idle connection; 0: not stated.
func keepAliveTimeout(v string) time.Duration {
	for part := range strings.SplitSeq(v, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && s > 0 && s < 1<<20 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// forwardedFields returns the headers to forward, without hop-by-hop ones.
func forwardedFields(h textproto.MIMEHeader) []Field {
	out := make([]Field, 0, len(h))
	for name, values := range h {
		if hopByHop(name, h) {
			continue
		}
		for _, v := range values {
			out = append(out, Field{Name: name, Value: v})
		}
	}
	return out
}

// hopByHop reports whether a header concerns one connection only. Headers that the mesh's protocol or the content
// depend on are always end-to-end, so a Connection header that names one of them doesn't remove it (RFC 9110, 7.6.1: a
// sender must not name such a field).
func hopByHop(name string, h map[string][]string) bool {
	if name == "Content-Length" || http1.SingleHop(name) {
		return true
	}
	if name == "Host" || strings.HasPrefix(name, headerPrefix) || strings.HasPrefix(name, "Content-") {
		return false
	}
	for _, v := range h["Connection"] {
		for option := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
	}
	return false
}

// appendRequest appends the head of a request to the backend.
func appendRequest(buf []byte, a *peerRequest, service string, left time.Duration) []byte {
	add := func(parts ...string) {
		for _, p := range parts {
			buf = append(buf, p...)
		}
	}
	add(a.Method, " ", a.Target, " HTTP/1.1\r\n")
	for _, f := range a.Header {
		add(f.Name, ": ", f.Value, "\r\n")
	}
	add(HeaderTargetInstance, ": ", a.Instance, "\r\n", HeaderDeadlineRemaining, ": ")
	buf = strconv.AppendInt(buf, max(1, left.Milliseconds()), 10)
	add("\r\n")
	switch {
	case a.Length < 0:
		add("Transfer-Encoding: chunked\r\n")
	case a.Length > 0 || a.Method != "GET" && a.Method != "HEAD" && a.Method != "DELETE":
		add("Content-Length: ")
		buf = strconv.AppendInt(buf, a.Length, 10)
		add("\r\n")
	}
	add("\r\n")
	return buf
}

// forwardBody streams a body to the backend.
func forwardBody(c net.Conn, length int64, first []byte, rest io.Reader) error {
	b := make([]byte, chunkBytes)
	writeChunk := func(p []byte) error {
		if len(p) == 0 {
			return nil
		}
		c.SetWriteDeadline(time.Now().Add(stallTimeout))
		if length < 0 {
			p = fmt.Appendf(nil, "%x\r\n%s\r\n", len(p), p)
		}
		_, err := c.Write(p)
		return err
	}
	if err := writeChunk(first); err != nil {
		return err
	}
	for {
		n, err := rest.Read(b)
		if werr := writeChunk(b[:n]); werr != nil {
			return werr
		}
		if err == io.EOF {
			if length < 0 {
				_, err := io.WriteString(c, "0\r\n\r\n")
				return err
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errClientBody, err)
		}
	}
}
