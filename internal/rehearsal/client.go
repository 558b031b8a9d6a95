package rehearsal

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	thriftfront "saltmast/internal/front/thrift"
	"saltmast/internal/grade"
	"saltmast/internal/scenario"
	"saltmast/internal/standin"
	"saltmast/internal/thrift"
)

// client is the application beside one agent. It sends one request at a time on a connection, keeps connections,
// and opens more when all are busy.
type client struct {
	agent    string
	addr     string
	protocol string // of package standin
	s        *scenario.Scenario
	record   *standin.Record
	jobs     *standin.Jobs
	most     int // connections

	mu   sync.Mutex
	idle []*clientConn
	open int
}

type clientConn struct {
	*net.TCPConn
	in   *bufio.Reader
	used string // the last request on it
	seq  int32  // of Thrift: of the last call on it
}

// How a try ended.
type ending int

const (
	endAnswer ending = iota
	endUnsent
	endBroken
	endLeft
	endOverdue
)

// job is one request through all of its tries.
func (c *client) job(ctx context.Context, a *scenario.Arrival, started, planned time.Duration) {
	class := &c.s.Classes[a.Class]
	c.record.Add(grade.Event{Kind: grade.Asked, At: planned, Job: a.ID, Class: class.Name, Agent: c.agent})
	due, late := planned, started-planned
	id := a.ID
	for n := 0; ; n++ {
		elapsed := c.record.Now() - planned
		budget := min(time.Duration(a.Budget)*time.Millisecond, ms(class.DeadlineMs)-elapsed).Truncate(time.Millisecond)
		if n == 0 {
			budget = time.Duration(a.Budget) * time.Millisecond
		}
		if budget < time.Millisecond {
			return
		}
		c.jobs.Add(id, class.Name, time.Duration(a.WorkUs)*time.Microsecond)
		end, status, after := c.try(ctx, a, id, class, n, budget, late)
		again := end == endUnsent || end == endBroken || end == endAnswer && (status == 429 || status == 503)
		if !again || n >= c.s.Clients.Retries || ctx.Err() != nil {
			return
		}
		id = scenario.RetryID(a.ID, n+1)
		wait := c.backoff(id, n)
		if a.Honours && after > wait {
			wait = after
		}
		due = c.record.Now() + wait
		if due-planned >= ms(class.DeadlineMs) {
			return
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return
		}
		late = c.record.Now() - due
	}
}

// backoff is the wait before the further try of an id, drawn from the id.
func (c *client) backoff(id string, n int) time.Duration {
	full := ms(c.s.Clients.BackoffMs)
	switch c.s.Clients.Backoff {
	case "none":
		return 0
	case "fixed":
		return full
	}
	x, _ := strconv.ParseUint(id[:8], 16, 64)
	return time.Duration(float64(full<<n) * (0.5 + float64(x)/(1<<32)/2))
}

// request is the bytes of a try on a connection.
func (c *client) request(conn *clientConn, a *scenario.Arrival, id string, class *scenario.Class, n int, budget time.Duration) []byte {
	var b bytes.Buffer
	if c.protocol != standin.HTTP {
		for i := range class.BodyBytes {
			b.WriteByte(a.ID[i%len(a.ID)])
		}
		conn.seq++
		m := thrift.Message{Protocol: c.speaks(), Type: thrift.Call, Seq: conn.seq, Name: []byte(standin.Method(class.Name)),
			Body: standin.CallBody(c.speaks(), id, a.Key, budget, a.Route, b.Bytes())}
		return thrift.AppendFrame(nil, &m)
	}
	method := "POST"
	if class.Effect == scenario.Safe {
		method = "GET"
	}
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: %s\r\nX-Call-Id: %s\r\nX-Route-Hash: %s\r\nX-Budget-Ms: %d\r\n",
		method, class.Name, c.addr, id, a.Route, budget.Milliseconds())
	if n > 0 {
		b.WriteString("X-Again: 1\r\n")
	}
	if a.Key != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", a.Key)
	}
	if method == "GET" {
		b.WriteString("\r\n")
		return b.Bytes()
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", class.BodyBytes)
	for i := range class.BodyBytes {
		b.WriteByte(a.ID[i%len(a.ID)])
	}
	return b.Bytes()
}

// try sends a request once, and once more on a new connection if the agent closed a kept one as it came.
func (c *client) try(ctx context.Context, a *scenario.Arrival, id string, class *scenario.Class, n int, budget, late time.Duration) (end ending, status int, after time.Duration) {
	of := func(kind grade.Kind, note string) grade.Event {
		return grade.Event{Kind: kind, Request: id, Job: a.ID, Class: class.Name, Agent: c.agent, Note: note}
	}
	for fresh := false; ; fresh = true {
		conn, isNew, err := c.connect(ctx, budget, fresh)
		if err != nil {
			c.record.Add(of(grade.Unsent, err.Error()))
			return endUnsent, 0, 0
		}
		if _, err = conn.Write(c.request(conn, a, id, class, n, budget)); err != nil {
			c.drop(conn)
			if !isNew {
				continue // closed meanwhile: nothing of it can have been read
			}
			c.record.Add(of(grade.Unsent, err.Error()))
			return endUnsent, 0, 0
		}
		e := of(grade.Sent, "")
		e.Key, e.Budget, e.Late = a.Key, budget, late
		sent := c.record.Add(e)
		conn.used = id
		until := sent + budget + ms(c.s.Rules.AnswerGraceMs) + grade.SocketSlack
		if a.LeaveUs > 0 {
			until = sent + time.Duration(a.LeaveUs)*time.Microsecond
		}
		conn.SetReadDeadline(c.record.Time(until))
		got, err := c.read(conn, class)
		if err == nil {
			e := of(grade.Answer, "")
			e.Status, e.Digest = got.status, standin.Sum(got.body)
			c.record.Add(e)
			c.keep(conn, a.ID, got.closes)
			return endAnswer, got.status, got.after
		}
		c.drop(conn)
		if isTimeout(err) {
			if a.LeaveUs > 0 {
				c.record.Add(of(grade.Left, ""))
				return endLeft, 0, 0
			}
			c.record.Add(of(grade.Overdue, ""))
			return endOverdue, 0, 0
		}
		e = of(grade.Broken, err.Error())
		e.Fresh = isNew
		c.record.Add(e)
		if !isNew && errors.Is(err, errNothing) {
			continue
		}
		return endBroken, 0, 0
	}
}

// errNothing is the end of a connection before the first byte of an answer.
var errNothing = errors.New("closed with no answer")

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// got is one whole answer.
type got struct {
	status int
	body   []byte
	after  time.Duration // when to come back, if it says so
	closes bool          // the agent closes the connection
}

// read reads one whole answer.
func (c *client) read(conn *clientConn, class *scenario.Class) (got, error) {
	if _, err := conn.in.Peek(1); err != nil {
		if isTimeout(err) {
			return got{}, err
		}
		return got{}, fmt.Errorf("%w: %w", errNothing, err)
	}
	if c.protocol != standin.HTTP {
		return c.readThrift(conn, class)
	}
	resp, err := http.ReadResponse(conn.in, nil)
	if err != nil {
		return got{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return got{}, err
	}
	g := got{status: resp.StatusCode, body: body, closes: resp.Close}
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < 3600 {
		g.after = sec(s)
	}
	return g, nil
}

// speaks is the protocol of a Thrift client.
func (c *client) speaks() thrift.Protocol {
	if c.protocol == standin.ThriftCompact {
		return thrift.Compact
	}
	return thrift.Binary
}

// readThrift reads a frame and tells it by the same numbers as HTTP: 200, 503 for a refusal, 502 for a failure.
func (c *client) readThrift(conn *clientConn, class *scenario.Class) (got, error) {
	var head [4]byte
	if _, err := io.ReadFull(conn.in, head[:]); err != nil {
		return got{}, err
	}
	n, err := thrift.FrameLength(head, thrift.Limits{Frame: 1 << 20})
	if err != nil {
		return got{}, err
	}
	frame := make([]byte, n)
	if _, err := io.ReadFull(conn.in, frame); err != nil {
		return got{}, err
	}
	m, err := thrift.Scan(frame, thrift.Limits{Frame: 1 << 20})
	switch {
	case err != nil:
		return got{}, err
	case m.Protocol != c.speaks() || m.Seq != conn.seq || string(m.Name) != standin.Method(class.Name):
		return got{}, fmt.Errorf("foreign bytes: %v, sequence id %d of %q", m.Protocol, m.Seq, m.Name)
	case m.Type == thrift.Exception:
		kind, text := thrift.ReadException(&m)
		g := got{status: 500, body: text}
		switch kind {
		case thriftfront.Refused:
			g.status = 503
			if _, ms, ok := bytes.Cut(text, []byte("retry after ")); ok {
				var n int
				if _, err := fmt.Sscanf(string(ms), "%d ms", &n); err == nil {
					g.after = time.Duration(n) * time.Millisecond
				}
			}
		case thriftfront.Failed:
			g.status = 502
		}
		return g, nil
	}
	text, _ := standin.AnswerText(&m)
	return got{status: 200, body: text}, nil
}

// connect returns a kept connection, or a new one.
func (c *client) connect(ctx context.Context, within time.Duration, fresh bool) (conn *clientConn, isNew bool, err error) {
	c.mu.Lock()
	for !fresh && len(c.idle) > 0 {
		conn = c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		state := conn.look()
		if state == lookQuiet {
			c.mu.Unlock()
			return conn, false, nil
		}
		if state == lookBytes {
			c.record.Add(grade.Event{Kind: grade.Extra, Request: conn.used, Agent: c.agent})
		}
		conn.Close()
		c.open--
	}
	if c.open >= c.most {
		c.mu.Unlock()
		return nil, false, errors.New("no client connection is free")
	}
	c.open++
	c.mu.Unlock()
	d := net.Dialer{Timeout: within}
	nc, err := d.DialContext(ctx, "tcp", c.addr)
	if err != nil {
		c.mu.Lock()
		c.open--
		c.mu.Unlock()
		return nil, false, err
	}
	return &clientConn{TCPConn: nc.(*net.TCPConn), in: bufio.NewReaderSize(nc, 2048)}, true, nil
}

// What a look at a resting connection finds.
const (
	lookQuiet  = iota
	lookBytes  // something came that nobody asked for
	lookClosed // the agent has closed it
)

// look tells what a connection holds, without waiting.
func (c *clientConn) look() int {
	if c.in.Buffered() > 0 {
		return lookBytes
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return lookClosed
	}
	state := lookClosed
	raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = lookBytes
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = lookQuiet
		}
		return true
	})
	return state
}

// keep puts a connection back after a whole answer.
func (c *client) keep(conn *clientConn, job string, closes bool) {
	if conn.in.Buffered() > 0 {
		c.record.Add(grade.Event{Kind: grade.Extra, Request: conn.used, Job: job, Agent: c.agent})
		closes = true
	}
	if closes {
		c.drop(conn)
		return
	}
	conn.SetReadDeadline(time.Time{})
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
}

func (c *client) drop(conn *clientConn) {
	conn.Close()
	c.mu.Lock()
	c.open--
	c.mu.Unlock()
}

// close ends all connections that rest. What came on them unasked is noted first.
func (c *client) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		if conn.look() == lookBytes {
			c.record.Add(grade.Event{Kind: grade.Extra, Request: conn.used, Agent: c.agent})
		}
		conn.Close()
		c.open--
	}
	c.idle = nil
}
