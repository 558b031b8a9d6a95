package dataplane

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/disconnect"
	"saltmast/internal/errcode"
	"saltmast/internal/http1"
	"saltmast/internal/idempotency"
	"saltmast/internal/sock"
)

// reusableConn is a connection that carries several requests in turn. Only its own goroutine reads, writes and closes
// it, since nobody else knows whether a byte of a request was already read; others close an idle connection by
// interrupting its wait.
type reusableConn struct {
	net.Conn
	mu   sync.Mutex
	idle bool // waiting for the next request
}

// interruptIdle ends the wait for the next request, if the connection is idle.
func (r *reusableConn) interruptIdle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idle {
		r.SetReadDeadline(time.Now())
	}
}

// waitForData waits for the first byte of the next message until the given time, or until it is interrupted. It leaves
// the read deadline at some arbitrary value.
func (r *reusableConn) waitForData(in *bufio.Reader, until time.Time) error {
	r.mu.Lock()
	r.idle = true
	r.SetReadDeadline(until)
	r.mu.Unlock()
	_, err := in.Peek(1)
	r.mu.Lock()
	r.idle = false
	r.mu.Unlock()
	return err
}

// clientConn is one connection of a client.
type clientConn struct {
	reusableConn
	dataPlane *DataPlane
	in        *bufio.Reader
}

const (
	lingerTimeout       = 300 * time.Millisecond
	firstRequestTimeout = 10 * time.Second // how long a new connection may take at least to send its first byte
)

func (d *DataPlane) serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c := &clientConn{reusableConn: reusableConn{Conn: nc}, dataPlane: d}
		d.mu.Lock()
		if d.options.MaxConns > 0 && len(d.conns) >= d.options.MaxConns {
			d.mu.Unlock()
			nc.Close()
			continue
		}
		d.conns[c] = true
		d.mu.Unlock()
		go func() {
			c.serve()
			nc.Close()
			d.mu.Lock()
			delete(d.conns, c)
			d.mu.Unlock()
		}()
	}
}

// closeIdle interrupts idle connections, so that those without pending data close, and returns the number of open ones.
func (d *DataPlane) closeIdle() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.interruptIdle()
	}
	return len(d.conns)
}

// idleLimits returns the current limits, and how long the connection may stay idle under them.
func (c *clientConn) idleLimits(first bool) (configuration.ClientLimits, time.Duration) {
	limits := configuration.DefaultLimits()
	if chart := c.dataPlane.configuration.Load(); chart != nil {
		limits = chart.Limits()
	}
	if first {
		return limits, max(limits.IdleTimeout, firstRequestTimeout)
	}
	return limits, limits.IdleTimeout
}

// awaitRequest waits for the first byte of the next request until the idle timeout, or while the proxy stops until it
// is interrupted. It reports whether there is a request, and the limits for it.
func (c *clientConn) awaitRequest(first bool) (limits configuration.ClientLimits, ok bool) {
	_, idleTimeout := c.idleLimits(first)
	for since := time.Now(); ; {
		err := c.waitForData(c.in, since.Add(idleTimeout))
		limits, idleTimeout = c.idleLimits(first) // a limit raised meanwhile applies to this wait
		switch {
		case err == nil:
			c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
			return limits, true
		case !isTimeout(err):
			return limits, false
		case sock.Pending(c.Conn): // it arrived at this very moment: read and answer it
			since = time.Now()
			idleTimeout = max(idleTimeout, firstRequestTimeout)
		case c.dataPlane.stopping.Load() || time.Since(since) >= idleTimeout:
			return limits, false
		}
	}
}

func (c *clientConn) serve() {
	c.in = getReader(c.Conn)
	defer func() { putReader(c.in) }()
	for first := true; ; first = false {
		limits, ok := c.awaitRequest(first)
		if !ok {
			return
		}
		r, badRequest := http1.ReadRequest(c.in, http1.Limits{Head: limits.MaxHeaderBytes, Body: limits.MaxBodyBytes})
		if badRequest != nil {
			if !badRequest.Gone {
				c.dataPlane.Counts.Malformed.Add(1)
				c.reject(c.dataPlane.limitError(badRequest.Status, badRequest.Why))
			}
			return
		}
		if !c.handleRequest(r, limits) {
			return
		}
	}
}

// handleRequest processes one request, and reports whether the connection stays open.
func (c *clientConn) handleRequest(r *http1.Request, limits configuration.ClientLimits) bool {
	d := c.dataPlane
	start := time.Now()
	d.Counts.Requests.Add(1)
	body, rest, k := c.readRequestBody(r, limits)
	if k != errcode.OK {
		d.recordRequest(&requestStats{kind: k, clientGone: k == errcode.ConnectionLost}, nil)
		if k != errcode.ConnectionLost {
			d.Counts.Malformed.Add(1)
			c.reject(d.limitError(k.Answer().Status, k.String()))
		}
		return false
	}
	ctx, stop := d.disconnects.Context(c.Conn)
	defer stop()
	cr := &clientRequest{dataPlane: d, ctx: ctx, request: r, body: body, arrived: start}
	if rest != nil {
		cr.bodyRest = &stallReader{c: c.Conn, r: rest}
	}
	var resp *Response
	k = errcode.ClientDisconnected
	if !sock.Closed(c.Conn) { // it may have waited in the socket for longer than its client did
		resp, k = cr.process()
	}
	now := time.Now()
	cr.stats.kind, cr.stats.took = k, now.Sub(start)
	c.SetReadDeadline(time.Time{})
	complete := rest == nil || rest.Whole()
	closeAfter := r.Last || !complete || d.stopping.Load()
	if resp != nil {
		cr.stats.status = resp.Status
		ok := c.forwardResponse(resp, r, closeAfter, now, &cr.stats)
		if resp.Stream != nil {
			cr.stats.took = time.Since(start)
		}
		c.recordRequest(cr)
		return c.finishResponse(ok, closeAfter, complete)
	}
	if rest != nil && !complete && errors.Is(cr.err, errClientBody) {
		switch {
		case errors.Is(cr.err, http1.ErrTooLarge):
			d.Counts.Malformed.Add(1)
			cr.stats.kind = errcode.BodyTooLarge
			c.reject(errcode.BodyTooLarge.Answer().Status, errcode.BodyTooLarge.String())
		case errors.Is(cr.err, http1.ErrBody):
			d.Counts.Malformed.Add(1)
			cr.stats.kind = errcode.InvalidRequest
			c.reject(errcode.InvalidRequest.Answer().Status, errcode.InvalidRequest.String())
		default:
			cr.stats.clientGone = true
		}
		d.recordRequest(&cr.stats, cr.route)
		return false
	}
	ok := c.writeError(k, cr, closeAfter) // also if the client seems to have left: one that closed only its sending half still reads
	cr.stats.clientGone = !ok
	c.recordRequest(cr)
	return c.finishResponse(ok, closeAfter, complete)
}

func (c *clientConn) finishResponse(ok, closeAfter, complete bool) bool {
	if ok && closeAfter {
		if !complete || c.in.Buffered() > 0 || sock.Pending(c.Conn) {
			linger(c.Conn)
		}
		return false
	}
	return ok
}

// readRequestBody reads a body, all of it if it is small; rest is the remainder of a long one, to be streamed.
func (c *clientConn) readRequestBody(r *http1.Request, limits configuration.ClientLimits) (body []byte, rest *http1.Body, k errcode.Kind) {
	if r.Length == 0 {
		return nil, nil, errcode.OK
	}
	if r.Expect && c.in.Buffered() == 0 {
		c.SetWriteDeadline(time.Now().Add(stallTimeout))
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, errcode.ConnectionLost
		}
	}
	b := http1.NewBody(c.in, r.Length, http1.Limits{Head: limits.MaxHeaderBytes, Body: limits.MaxBodyBytes})
	c.SetReadDeadline(time.Now().Add(stallTimeout))
	length := r.Length
	if length < 0 {
		length = unknownLength
	}
	if length > bufferedBodyBytes {
		return nil, b, errcode.OK
	}
	body, complete, err := readBuffered(b, length)
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		return nil, nil, errcode.BodyTooLarge
	case errors.Is(err, http1.ErrBody):
		return nil, nil, errcode.InvalidRequest
	case isTimeout(err):
		return nil, nil, errcode.RequestTimeout
	case err != nil:
		return nil, nil, errcode.ConnectionLost
	case !complete:
		return body, b, errcode.OK
	}
	return body, nil, errcode.OK
}

// limitError returns the response to a request that exceeds a limit, and of which nothing was forwarded. If the
// configuration may be out of date, a newer one may allow the request, so the error is a temporary one.
func (d *DataPlane) limitError(status int, why string) (int, string) {
	if (status == http.StatusRequestEntityTooLarge || status == http.StatusRequestHeaderFieldsTooLarge) && d.options.ConfigurationCurrent != nil && !d.options.ConfigurationCurrent() {
		return errcode.NotReady.Answer().Status, errcode.NotReady.String()
	}
	return status, why
}

// writeError responds with an error from the table of error codes.
func (c *clientConn) writeError(k errcode.Kind, cr *clientRequest, closeAfter bool) bool {
	answer := k.Answer()
	c.dataPlane.Counts.ByErrorCode[k].Add(1)
	switch {
	case k == errcode.NoRoute:
		c.dataPlane.Counts.NoRoute.Add(1)
	case answer.NotRun:
		c.dataPlane.Counts.Refused.Add(1)
	default:
		c.dataPlane.Counts.Errors.Add(1)
	}
	head := "Content-Type: text/plain; charset=utf-8\r\n"
	if id := cr.request.Header.Get(HeaderAttemptID); id != "" && validHeaderValue(id) {
		head += HeaderAttemptID + ": " + id + "\r\n"
	}
	if answer.RetryAfter {
		head += "Retry-After: " + strconv.FormatFloat(cr.retryAfter(k).Seconds(), 'f', 3, 64) + "\r\n"
	}
	return c.writeResponse(answer.Status, head, []byte(answer.Text+"\n"), closeAfter, cr.request.Method)
}

func validHeaderValue(s string) bool {
	return len(s) < 256 && !strings.ContainsAny(s, "\r\n\x00")
}

// writeResponse writes a response generated by this proxy. HEAD gets the head alone, as a body would be read as the
// next response.
func (c *clientConn) writeResponse(status int, head string, body []byte, closeAfter bool, method string) bool {
	buf := getBuf()
	msg := http1.AppendHead((*buf)[:0], status, head, int64(len(body)), closeAfter)
	if method != http.MethodHead {
		msg = append(msg, body...)
	}
	c.SetWriteDeadline(time.Now().Add(stallTimeout))
	_, err := c.Conn.Write(msg)
	*buf = msg[:0]
	putBuf(buf)
	return err == nil
}

// forwardResponse writes a backend's response, and records in stats why it is incomplete. If the response is cut short,
// so is the connection, so that the client notices.
func (c *clientConn) forwardResponse(a *Response, r *http1.Request, closeAfter bool, now time.Time, stats *requestStats) bool {
	length := a.Length
	if length < 0 {
		length = http1.Chunked
	}
	noBody := a.Status == 204 || a.Status == 304 || r.Method == http.MethodHead
	if noBody {
		length = http1.UntilClose
	}
	buf := getBuf()
	msg := appendResponseHead((*buf)[:0], a, length, closeAfter)
	switch {
	case noBody: // also if it is the stored response to the first request with a key, which was no HEAD
	case a.Stream == nil:
		msg = append(msg, a.Body...)
	default:
		msg = appendChunk(msg, a.Body, length)
	}
	c.SetWriteDeadline(now.Add(stallTimeout))
	_, err := c.Conn.Write(msg)
	*buf = msg[:0]
	putBuf(buf)
	stats.clientGone = err != nil
	if a.Stream == nil {
		return err == nil
	}
	complete := false
	defer func() { a.Close(complete) }()
	if err != nil {
		return false
	}
	b := make([]byte, chunkBytes)
	for {
		n, err := a.Stream.Read(b)
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(stallTimeout))
			p := b[:n]
			if length < 0 {
				p = appendChunk(make([]byte, 0, n+16), p, length)
			}
			if _, werr := c.Conn.Write(p); werr != nil {
				stats.clientGone = true
				return false
			}
		}
		if err == io.EOF {
			complete = true
			if length < 0 {
				_, err := io.WriteString(c.Conn, "0\r\n\r\n")
				stats.clientGone = err != nil
				return err == nil
			}
			return true
		}
		if err != nil {
			stats.truncated = true
			return false
		}
	}
}

func appendResponseHead(buf []byte, a *Response, length int64, closeAfter bool) []byte {
	head := make([]byte, 0, 512)
	for _, f := range a.Header {
		head = append(head, f.Name...)
		head = append(head, ": "...)
		head = append(head, f.Value...)
		head = append(head, "\r\n"...)
	}
	return http1.AppendHead(buf, a.Status, head, length, closeAfter)
}

func appendChunk(buf, p []byte, length int64) []byte {
	if length >= 0 {
		return append(buf, p...)
	}
	buf = strconv.AppendInt(buf, int64(len(p)), 16)
	buf = append(buf, "\r\n"...)
	buf = append(buf, p...)
	return append(buf, "\r\n"...)
}

// reject answers a request that can't be parsed or accepted and ends its connection, as the bytes that follow can't be
// trusted.
func (c *clientConn) reject(status int, why string) {
	c.writeResponse(status, "Content-Type: text/plain; charset=utf-8\r\n", []byte(why+"\n"), true, "")
	linger(c.Conn)
}

// linger closes the sending half and discards input for a while: closing with unread bytes would reset the connection.
func linger(c net.Conn) {
	if t, ok := c.(interface{ CloseWrite() error }); ok {
		t.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	io.Copy(io.Discard, struct{ io.Reader }{c})
}

// recordRequest counts a finished request.
func (c *clientConn) recordRequest(cr *clientRequest) {
	if cr.stats.kind == errcode.ClientDisconnected || disconnect.PeerClosed(cr.ctx) {
		cr.stats.clientGone = true
		c.dataPlane.Counts.ClientLeft.Add(1)
	}
	c.dataPlane.recordRequest(&cr.stats, cr.route)
}

// clientRequest is a request in progress.
type clientRequest struct {
	dataPlane    *DataPlane
	ctx          context.Context // canceled when the client has left
	request      *http1.Request
	body         []byte
	bodyRest     io.Reader // follows body, can be read once
	arrived      time.Time
	route        *configuration.Route
	err          error
	deadline     time.Time // the client waits no longer
	bodyConsumed bool      // some of bodyRest was read

	key   string
	claim idempotency.ID
	stats requestStats
}

// retryAfter returns when a client should retry after an error, with jitter: soon if it lost a place or a vote to
// others, later if something is out that takes time to recover.
func (cr *clientRequest) retryAfter(k errcode.Kind) time.Duration {
	target := 400 * time.Millisecond
	if cr.route != nil {
		target = cr.route.Target
	}
	wait, spread := target/10, target/16
	switch k {
	case errcode.NotReady, errcode.NoBackend, errcode.NoQuorum, errcode.Unreachable, errcode.Recovering, errcode.DiskUnavailable:
		wait, spread = target/outageTargetDivisor, target/8
		if remaining := time.Until(cr.deadline); cr.route != nil {
			wait = min(max(wait, remaining/outageRemainingDivisor), target)
		}
	}
	return max(10*time.Millisecond, wait+rand.N(spread+1))
}

const (
	outageTargetDivisor    = 4 // of the target: the delay after an outage
	outageRemainingDivisor = 5 // or this fraction of the time left if that is longer, up to the target
)

// setByMesh reports whether a header is set by the mesh, whatever the client sent.
func setByMesh(name string) bool {
	return name == HeaderTargetInstance || name == HeaderDeadlineRemaining || name == HeaderCallerService || name == "Expect"
}

// process returns a backend's response or the code of the error.
func (cr *clientRequest) process() (*Response, errcode.Kind) {
	chart := cr.dataPlane.configuration.Load()
	if chart == nil {
		return nil, errcode.NotReady
	}
	path, _, _ := strings.Cut(cr.request.Target, "?")
	if cr.route = chart.Route(cr.request.Host, path); cr.route == nil {
		if cr.dataPlane.options.ConfigurationCurrent != nil && !cr.dataPlane.options.ConfigurationCurrent() { // a newer configuration may have the route
			return nil, errcode.NotReady
		}
		return nil, errcode.NoRoute
	}
	remaining := cr.route.Deadline
	if s := cr.request.Header.Get(HeaderDeadlineRemaining); s != "" {
		ms, err := strconv.ParseFloat(s, 64)
		if err != nil || !(ms >= 0 && ms < 1e9) {
			return nil, errcode.InvalidRequest
		}
		remaining = min(remaining, time.Duration(ms*float64(time.Millisecond)))
	}
	cr.deadline = cr.arrived.Add(remaining)
	cr.stats.target = cr.route.Target
	for _, name := range [...]string{HeaderAttemptID, HeaderDeadlineRemaining, HeaderOperationKey} {
		if len(cr.request.Header[name]) > 1 { // the backend might use another one of them
			return nil, errcode.InvalidRequest
		}
	}
	untilDeadline := time.Until(cr.deadline)
	if cr.stats.bodyRead = remaining - untilDeadline; untilDeadline <= 0 {
		return nil, errcode.DeadlinePassed
	}
	if cr.route.Kind == configuration.Deduplicated {
		return cr.processDeduplicated()
	}
	a, k, _ := cr.runAttempts()
	return a, k
}

// peerRequest builds the head of the request as it is forwarded.
func (cr *clientRequest) peerRequest() *peerRequest {
	a := &peerRequest{Kind: runRequest, Method: cr.request.Method, Target: cr.request.Target, Length: int64(len(cr.body)), Priority: cr.route.Priority, Cancelable: cr.route.Kind.Repeatable(),
		ID: cr.request.Header.Get(HeaderAttemptID), Key: cr.key, Claim: cr.claim}
	if cr.bodyRest != nil {
		a.Length = cr.request.Length
		if a.Length < 0 {
			a.Length = unknownLength
		}
	}
	a.Header = make([]Field, 0, len(cr.request.Header)+1)
	for name, values := range cr.request.Header {
		if setByMesh(name) || hopByHop(name, cr.request.Header) {
			continue
		}
		if name == "Host" {
			values = []string{cr.request.Host}
		}
		for _, x := range values {
			a.Header = append(a.Header, Field{Name: name, Value: x})
		}
	}
	a.Header = append(a.Header, Field{Name: HeaderCallerService, Value: cr.dataPlane.options.Service})
	return a
}

// runAttempts runs the attempts of a request. lastAddr is the address of the proxy that got the last attempt which may
// have run.
func (cr *clientRequest) runAttempts() (resp *Response, k errcode.Kind, lastAddr string) {
	d := cr.dataPlane
	a := cr.peerRequest()
	var service, failedNode string
	var c choice
	sent := 0                  // attempts that may have reached a backend
	k = errcode.Overloaded     // of the last attempt
	lastRunError := errcode.OK // of the last attempt that may have run; OK: none
	var lastResponse *Response // a 5xx response of a backend, returned if no later attempt succeeds
	started := time.Now()
	for retries := 0; ; retries++ {
		if disconnect.PeerClosed(cr.ctx) {
			k = errcode.ClientDisconnected
			break
		}
		d.balancer.Do(func(b *Balancer) {
			now := d.now()
			if retries == 0 {
				service = b.PickService(cr.route)
				b.CountRequest(now, service)
			}
			c = b.Pick(now, service, failedNode)
		})
		if !c.ok {
			k = errcode.NoBackend
			break
		}
		remaining := time.Until(cr.deadline)
		if remaining <= time.Millisecond {
			k = errcode.DeadlinePassed
			break
		}
		a.Instance, a.Service = c.instance, c.service
		a.RemainingMs = uint32(remaining.Milliseconds())
		a.MaxQueueMs = uint32(cr.maxQueueTime(started).Milliseconds())
		d.Counts.Attempts.Add(1)
		cr.stats.attempts++
		cr.stats.beforeAttempt = cr.deadline.Sub(cr.arrived) - remaining
		o := cr.runAttempt(c, a)
		picked := c
		if !o.transportFailed && !o.canceled && c.addr != d.options.InboundAddr {
			d.options.PeerAnswered(c.addr)
		}
		d.balancer.Send(func(b *Balancer) { b.RecordOutcome(d.now(), picked, &o) })
		cr.err = o.err
		if o.Sent {
			sent++
		}
		k = o.Code
		cr.stats.warmingUp, cr.stats.queued = c.warmingUp && !o.transportFailed, time.Duration(o.QueuedMs)*time.Millisecond
		if k == errcode.OK {
			if o.response.Status < 500 || !cr.route.Kind.Repeatable() {
				d.Counts.Served.Add(1)
				return o.response, k, c.addr
			}
			lastResponse, lastRunError = o.response, errcode.InvalidResponse
			k = errcode.InvalidResponse
			cr.stats.lastFailure = causeBackend
		} else if !k.NotRun() {
			lastRunError, lastAddr = k, c.addr
			if !cr.route.Kind.Repeatable() {
				break
			}
		} else if k == errcode.Overloaded {
			d.Counts.AttemptsFull.Add(1)
		}
		if o.Code != errcode.OK {
			cr.stats.lastFailure = causeByErrorCode[k]
		}
		if cr.bodyConsumed || sent >= max(1, cr.route.MaxAttempts) || disconnect.PeerClosed(cr.ctx) {
			break
		}
		failedNode = c.node
		var backoff time.Duration
		var reason denial
		d.balancer.Do(func(b *Balancer) {
			backoff, reason = b.AllowRetry(d.now(), cr.route, service, retries, k, sent > 0, time.Until(cr.deadline))
		})
		if cr.stats.denied = reason; reason != granted {
			break
		}
		if lastResponse != nil && lastResponse.Stream != nil { // a long one occupies a place at the backend, which the next attempt may need
			lastResponse.Close(false)
			lastResponse = nil
		}
		d.Counts.Retries.Add(1)
		cr.stats.backoff += backoff
		cr.sleep(backoff)
	}
	if lastResponse != nil {
		return lastResponse, errcode.OK, lastAddr
	}
	if lastRunError != errcode.OK {
		return nil, lastRunError, lastAddr
	}
	return nil, k, lastAddr
}

// sleep waits for a duration, or until the client has left.
func (cr *clientRequest) sleep(wait time.Duration) {
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-cr.ctx.Done():
	}
}

const (
	totalQueueFraction   = 0.5 // of the target: limit of the time in queues, over all attempts
	attemptQueueFraction = 0.3 // of the target: limit at one backend
	minQueueTime         = 2 * time.Millisecond
)

// maxQueueTime returns how long the next attempt may wait for a place at its backend.
func (cr *clientRequest) maxQueueTime(started time.Time) time.Duration {
	remaining := time.Duration(totalQueueFraction*float64(cr.route.Target)) - time.Since(started)
	return max(minQueueTime, min(remaining, time.Duration(attemptQueueFraction*float64(cr.route.Target))))
}

// runAttempt runs one attempt.
func (cr *clientRequest) runAttempt(c choice, a *peerRequest) outcome {
	ctx := cr.ctx
	if cr.key != "" { // the response is stored for a retry with the key, which arrives on another connection
		ctx = context.WithoutCancel(ctx)
	}
	var stream io.Reader
	body := cr.body
	if cr.bodyRest != nil {
		stream = &onceReader{r: cr.bodyRest, first: cr.body, consumed: &cr.bodyConsumed}
		body = nil
	}
	if c.addr == cr.dataPlane.options.InboundAddr {
		req := *a
		return cr.dataPlane.Inbound.execute(ctx, &req, body, stream)
	}
	deadline := cr.deadline.Add(peerResponseGrace)
	if stream != nil { // a long body may take longer, as the client sends it at its own pace
		deadline = deadline.Add(time.Minute)
	}
	return cr.dataPlane.peers.do(ctx, c.addr, a, body, stream, deadline)
}

// peerResponseGrace is added to the deadline of a peer request, so that a response at the backend's deadline still
// arrives.
const peerResponseGrace = 60 * time.Millisecond

// onceReader reads a body that can be read only once, and records that reading from r has begun.
type onceReader struct {
	r        io.Reader
	first    []byte
	consumed *bool
}

func (o *onceReader) Read(b []byte) (int, error) {
	if len(o.first) > 0 {
		n := copy(b, o.first)
		o.first = o.first[n:]
		return n, nil
	}
	*o.consumed = true
	return o.r.Read(b)
}
