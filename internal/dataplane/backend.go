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
	backendIdle = 9 * time.Second
	backendDial = 500 * time.Millisecond
	lateBy      = 40 * time.Millisecond
	maxStrange  = 4  // answers to others that may come before the one that is wanted
	maxEarly    = 32 // heads of status 1xx that may come ahead of it
	maxAnswer   = 1 << 40
	// maxAnswerHead bounds the head of an answer, which has to have room in a hop's.
	maxAnswerHead = maxHopHead / 2
	keepAliveOff  = 300 * time.Millisecond // a connection is let go so long before its backend would
)

// exchange sends a request to the backend and reads its answer. The end of ctx closes the connection to the backend.
func (g *Gate) exchange(ctx context.Context, a *ask, body []byte, rest io.Reader, cut time.Time) outcome {
	end := cut.Add(lateBy)
	var c *links.Conn
	var err error
	for {
		var o *outcome
		if c, o = g.connect(ctx, a, cut); o != nil {
			return *o
		}
		c.CloseOn(ctx)
		c.SetDeadline(end)
		buf := getBuf()
		msg := appendRequest((*buf)[:0], a, g.o.Service, time.Until(cut))
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
		g.pool.Close(c) // not even its head can be there: nothing ran
		if c.Since().IsZero() || !time.Now().Before(cut) || ctx.Err() != nil {
			g.Counts.Away.Add(1)
			return outcome{told: told{Code: errcode.Unreachable}, err: err}
		}
	}
	g.Counts.Sent.Add(1)
	if err == nil && rest != nil {
		err = passBody(c, a.Length, body, rest)
		c.SetDeadline(end)
	}
	if errors.Is(err, errClient) {
		g.pool.Close(c)
		return outcome{told: told{Code: errcode.ConnectionLost, Sent: true}, err: err}
	}
	most := &headBound{r: c}
	in := getReader(most)
	o, again, rested := g.answer(c, in, most, a, end)
	if err != nil {
		again = false
	}
	c.Last = a.ID
	if o.answer != nil && o.answer.Rest != nil {
		o.answer.end = func(whole bool) { g.giveBack(c, in, whole && again, rested) }
		return o
	}
	g.giveBack(c, in, again, rested)
	return o
}

// connect gives a connection to the backend that an ask is meant for; else the outcome.
func (g *Gate) connect(ctx context.Context, a *ask, cut time.Time) (*links.Conn, *outcome) {
	for {
		c := g.pool.Take(a.Instance)
		if c == nil {
			break
		}
		if c.Last != a.ID || a.ID == "" {
			return c, nil
		}
		g.pool.Close(c) // a second copy of that answer may come, and could be taken for the answer to this
	}
	g.mu.Lock()
	addr := g.addr
	g.mu.Unlock()
	if addr == "" {
		addr = g.o.App
	}
	c, err := g.pool.Dial(ctx, a.Instance, addr, cut)
	if err != nil {
		g.Counts.Away.Add(1)
		if !isTimeout(err) && ctx.Err() == nil {
			g.refused(a.Instance)
		}
		return nil, &outcome{told: told{Code: errcode.Unreachable}, err: err}
	}
	return c, nil
}

func (g *Gate) giveBack(c *links.Conn, in *bufio.Reader, again bool, rest time.Duration) {
	again = again && in.Buffered() == 0
	putReader(in)
	if !again {
		g.pool.Close(c)
		return
	}
	g.pool.ReleaseFor(c, rest)
}

// answer reads the answer to an ask. again: another request may follow on the connection, which may rest for so long.
func (g *Gate) answer(c *links.Conn, in *bufio.Reader, most *headBound, a *ask, end time.Time) (o outcome, again bool, rest time.Duration) {
	fail := func(err error) (outcome, bool, time.Duration) {
		k := errcode.ConnectionLost
		var ne net.Error
		switch {
		case isTimeout(err):
			k = errcode.ResponseTimeout
			g.Counts.TimedOut.Add(1)
		case errors.As(err, &ne), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			g.Counts.Broken.Add(1)
		default:
			k = errcode.InvalidResponse
			g.Counts.Failed.Add(1)
		}
		return outcome{told: told{Code: k, Sent: true}, err: err}, false, 0
	}
	first := c.Since().IsZero() // nothing was asked on it before
	for strange, early := 0, 0; strange < maxStrange && early < maxEarly; {
		most.left = maxAnswerHead
		status, h, last, err := http1.ReadAnswer(in)
		if err != nil {
			return fail(err)
		}
		most.left = -1
		if status >= 100 && status < 200 {
			if status == 101 {
				return fail(errors.New("a change of protocol that nobody asked for"))
			}
			early++
			continue
		}
		length := int64(0)
		if a.Method != "HEAD" {
			if length, err = http1.AnswerLength(status, h, maxAnswer); err != nil {
				return fail(err)
			}
		}
		body := http1.AnswerBody(in, length)
		id := h.Get(HeaderID)
		declined := h.Get(HeaderNotRun) != "" || status == 421
		if len(h[HeaderID]) > 1 {
			return fail(errors.New("an answer with two ids"))
		}
		if id != a.ID && !(id == "" && declined && first) { // an answer to another, which came late
			first = false
			strange++
			g.Counts.Strange.Add(1)
			if id == "" || last || length == http1.UntilClose {
				return fail(errors.New("an answer to no request of ours"))
			}
			if _, err := io.Copy(io.Discard, body); err != nil {
				return fail(err)
			}
			continue
		}
		rest = backendIdle
		if s := keepAlive(h.Get("Keep-Alive")); s > 0 {
			rest = min(rest, s-keepAliveOff)
		}
		again = !last && length != http1.UntilClose
		whole, all, err := readSome(body, length)
		if err != nil {
			return fail(err)
		}
		if declined {
			if !all {
				again = false
			}
			g.Counts.TurnedAway.Add(1)
			return outcome{told: told{Code: errcode.Declined, Sent: true, Status: status}}, again, rest
		}
		if status/100 == 2 && (h.Get(HeaderSeal) == "" || h.Get("Content-Encoding") != "") {
			return fail(fmt.Errorf("a %d that is not the backend's", status))
		}
		ans := &Answer{Status: status, Header: fields(h), Body: whole, Length: int64(len(whole))}
		if !all {
			ans.Length = length
			if length < 0 {
				ans.Length = pieces
			}
			c.SetDeadline(time.Time{})
			ans.Rest = &stalling{c, body, end}
		}
		return outcome{told: told{Sent: true, Status: status}, answer: ans}, again, rest
	}
	return fail(errors.New("no end of answers to others"))
}

// headBound bounds what is read of a head, beyond what a buffer has of it; left below 0: nothing is.
type headBound struct {
	r    io.Reader
	left int
}

var errLongHead = errors.New("too long a head")

func (h *headBound) Read(b []byte) (int, error) {
	if h.left < 0 {
		return h.r.Read(b)
	}
	if h.left == 0 {
		return 0, errLongHead
	}
	n, err := h.r.Read(b[:min(len(b), h.left)])
	h.left -= n
	return n, err
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// keepAlive reads how long a server keeps a connection that rests; 0: it does not say.
func keepAlive(v string) time.Duration {
	for part := range strings.SplitSeq(v, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if s, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") && s > 0 && s < 1<<20 {
			return time.Duration(s) * time.Second
		}
	}
	return 0
}

// fields are the headers that go on, without those that concern one connection.
func fields(h textproto.MIMEHeader) []Field {
	out := make([]Field, 0, len(h))
	for name, values := range h {
		if dropped(name, h) {
			continue
		}
		for _, v := range values {
			out = append(out, Field{Name: name, Value: v})
		}
	}
	return out
}

// dropped reports whether a header concerns one connection. What the mesh's protocol and the content hang on is for all on its way,
// so a Connection that names it takes nothing out (RFC 9110, 7.6.1: a sender must not name such a field).
func dropped(name string, h map[string][]string) bool {
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

// appendRequest appends a request's head as the backend gets it.
func appendRequest(buf []byte, a *ask, service string, left time.Duration) []byte {
	add := func(parts ...string) {
		for _, p := range parts {
			buf = append(buf, p...)
		}
	}
	add(a.Method, " ", a.Target, " HTTP/1.1\r\n")
	for _, f := range a.Header {
		add(f.Name, ": ", f.Value, "\r\n")
	}
	add(HeaderTarget, ": ", a.Instance, "\r\n", HeaderLeft, ": ")
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

// passBody writes a body that comes as it goes.
func passBody(c net.Conn, length int64, first []byte, rest io.Reader) error {
	b := make([]byte, pieceBytes)
	put := func(p []byte) error {
		if len(p) == 0 {
			return nil
		}
		c.SetWriteDeadline(time.Now().Add(stallTime))
		if length < 0 {
			p = fmt.Appendf(nil, "%x\r\n%s\r\n", len(p), p)
		}
		_, err := c.Write(p)
		return err
	}
	if err := put(first); err != nil {
		return err
	}
	for {
		n, err := rest.Read(b)
		if werr := put(b[:n]); werr != nil {
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
			return fmt.Errorf("%w: %w", errClient, err)
		}
	}
}
