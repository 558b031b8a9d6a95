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

// resting is a connection that others take up again. Its goroutine alone reads, writes and closes it, and nobody else knows
// whether something was read off it: whoever wants it closed at rest has its wait end.
type resting struct {
	net.Conn
	mu   sync.Mutex
	rest bool // it waits to be taken up
}

// hurry ends the wait to be taken up, if that is what the connection does.
func (r *resting) hurry() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rest {
		r.SetReadDeadline(time.Now())
	}
}

// wait waits for the first byte of what comes next until then, or until it is hurried. The deadline for reads is any after it.
func (r *resting) wait(in *bufio.Reader, until time.Time) error {
	r.mu.Lock()
	r.rest = true
	r.SetReadDeadline(until)
	r.mu.Unlock()
	_, err := in.Peek(1)
	r.mu.Lock()
	r.rest = false
	r.mu.Unlock()
	return err
}

// client is one connection of a client.
type client struct {
	resting
	g  *DataPlane
	in *bufio.Reader
}

const (
	lingerTime = 300 * time.Millisecond
	firstTime  = 10 * time.Second // a connection that says nothing at all ends
)

func (g *DataPlane) serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(5 * time.Millisecond)
			continue
		}
		c := &client{resting: resting{Conn: nc}, g: g}
		g.mu.Lock()
		if g.o.MaxConns > 0 && len(g.conns) >= g.o.MaxConns {
			g.mu.Unlock()
			nc.Close()
			continue
		}
		g.conns[c] = true
		g.mu.Unlock()
		go func() {
			c.serve()
			nc.Close()
			g.mu.Lock()
			delete(g.conns, c)
			g.mu.Unlock()
		}()
	}
}

// closeQuiet has the connections that rest end, unless something has come there, and counts those that are there.
func (g *DataPlane) closeQuiet() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		c.hurry()
	}
	return len(g.conns)
}

// patience is how long it may rest, by the limits of the time.
func (c *client) patience(first bool) (configuration.ClientLimits, time.Duration) {
	limits := configuration.DefaultLimits()
	if chart := c.g.chart.Load(); chart != nil {
		limits = chart.Limits()
	}
	if first {
		return limits, max(limits.IdleTimeout, firstTime)
	}
	return limits, limits.IdleTimeout
}

// await waits for the first byte of the next request, for so long as it may rest, or while the proxy stops until it is hurried. It
// reports whether there is one, and the limits for it.
func (c *client) await(first bool) (limits configuration.ClientLimits, ok bool) {
	_, most := c.patience(first)
	for since := time.Now(); ; {
		err := c.wait(c.in, since.Add(most))
		limits, most = c.patience(first) // raised meanwhile, it may rest for longer
		switch {
		case err == nil:
			c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
			return limits, true
		case !isTimeout(err):
			return limits, false
		case sock.Pending(c.Conn): // it came in that very moment: it is read, and answered
			since = time.Now()
			most = max(most, firstTime)
		case c.g.stopping.Load() || time.Since(since) >= most:
			return limits, false
		}
	}
}

func (c *client) serve() {
	c.in = getReader(c.Conn)
	defer func() { putReader(c.in) }()
	for first := true; ; first = false {
		limits, ok := c.await(first)
		if !ok {
			return
		}
		r, bad := http1.ReadRequest(c.in, http1.Limits{Head: limits.MaxHeaderBytes, Body: limits.MaxBodyBytes})
		if bad != nil {
			if !bad.Gone {
				c.g.Counts.Bad.Add(1)
				c.turnAway(c.g.byLimits(bad.Status, bad.Why))
			}
			return
		}
		if !c.request(r, limits) {
			return
		}
	}
}

// request sees one request to its answer, and reports whether the connection goes on.
func (c *client) request(r *http1.Request, limits configuration.ClientLimits) bool {
	g := c.g
	came := time.Now()
	g.Counts.Requests.Add(1)
	body, rest, k := c.body(r, limits)
	if k != errcode.OK {
		g.ended(&passage{kind: k, gone: k == errcode.ConnectionLost}, nil)
		if k != errcode.ConnectionLost {
			g.Counts.Bad.Add(1)
			c.turnAway(g.byLimits(k.Answer().Status, k.String()))
		}
		return false
	}
	ctx, stop := g.left.Context(c.Conn)
	defer stop()
	v := &voyage{g: g, ctx: ctx, r: r, body: body, came: came}
	if rest != nil {
		v.rest = &stalling{c: c.Conn, r: rest}
	}
	var a *Answer
	k = errcode.ClientDisconnected
	if !sock.Closed(c.Conn) { // it may have waited in the socket for longer than its client did
		a, k = v.sail()
	}
	now := time.Now()
	v.log.kind, v.log.took = k, now.Sub(came)
	c.SetReadDeadline(time.Time{})
	whole := rest == nil || rest.Whole()
	last := r.Last || !whole || g.stopping.Load()
	if a != nil {
		v.log.status = a.Status
		ok := c.pass(a, r, last, now, &v.log)
		if a.Rest != nil {
			v.log.took = time.Since(came)
		}
		c.ended(v)
		return c.after(ok, last, whole)
	}
	if rest != nil && !whole && errors.Is(v.err, errClient) {
		switch {
		case errors.Is(v.err, http1.ErrTooLarge):
			g.Counts.Bad.Add(1)
			v.log.kind = errcode.BodyTooLarge
			c.turnAway(errcode.BodyTooLarge.Answer().Status, errcode.BodyTooLarge.String())
		case errors.Is(v.err, http1.ErrBody):
			g.Counts.Bad.Add(1)
			v.log.kind = errcode.InvalidRequest
			c.turnAway(errcode.InvalidRequest.Answer().Status, errcode.InvalidRequest.String())
		default:
			v.log.gone = true
		}
		g.ended(&v.log, v.route)
		return false
	}
	ok := c.own(k, v, last) // also where the client has left: one that has only closed its sending half still reads
	v.log.gone = !ok
	c.ended(v)
	return c.after(ok, last, whole)
}

func (c *client) after(ok, last, whole bool) bool {
	if ok && last {
		if !whole || c.in.Buffered() > 0 || sock.Pending(c.Conn) {
			linger(c.Conn)
		}
		return false
	}
	return ok
}

// body reads a body, whole where it is small; rest is what goes on as it comes.
func (c *client) body(r *http1.Request, limits configuration.ClientLimits) (body []byte, rest *http1.Body, k errcode.Kind) {
	if r.Length == 0 {
		return nil, nil, errcode.OK
	}
	if r.Expect && c.in.Buffered() == 0 {
		c.SetWriteDeadline(time.Now().Add(stallTime))
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, nil, errcode.ConnectionLost
		}
	}
	b := http1.NewBody(c.in, r.Length, http1.Limits{Head: limits.MaxHeaderBytes, Body: limits.MaxBodyBytes})
	c.SetReadDeadline(time.Now().Add(stallTime))
	length := r.Length
	if length < 0 {
		length = pieces
	}
	if length > keepBytes {
		return nil, b, errcode.OK
	}
	body, whole, err := readSome(b, length)
	switch {
	case errors.Is(err, http1.ErrTooLarge):
		return nil, nil, errcode.BodyTooLarge
	case errors.Is(err, http1.ErrBody):
		return nil, nil, errcode.InvalidRequest
	case isTimeout(err):
		return nil, nil, errcode.RequestTimeout
	case err != nil:
		return nil, nil, errcode.ConnectionLost
	case !whole:
		return body, b, errcode.OK
	}
	return body, nil, errcode.OK
}

// byLimits is the answer to a request of which nothing was passed on, and which may be beyond limits: where newer ones may allow it,
// it is no refusal for good.
func (g *DataPlane) byLimits(status int, why string) (int, string) {
	if (status == http.StatusRequestEntityTooLarge || status == http.StatusRequestHeaderFieldsTooLarge) && g.o.Vouched != nil && !g.o.Vouched() {
		return errcode.NotReady.Answer().Status, errcode.NotReady.String()
	}
	return status, why
}

// own answers by the table of error codes.
func (c *client) own(k errcode.Kind, v *voyage, last bool) bool {
	a := k.Answer()
	c.g.Counts.ByKind[k].Add(1)
	switch {
	case k == errcode.NoRoute:
		c.g.Counts.NoRoute.Add(1)
	case a.NotRun:
		c.g.Counts.Refused.Add(1)
	default:
		c.g.Counts.Errors.Add(1)
	}
	head := "Content-Type: text/plain; charset=utf-8\r\n"
	if id := v.r.Header.Get(HeaderID); id != "" && plain(id) {
		head += HeaderID + ": " + id + "\r\n"
	}
	if a.RetryAfter {
		head += "Retry-After: " + strconv.FormatFloat(v.comeBack(k).Seconds(), 'f', 3, 64) + "\r\n"
	}
	return c.put(a.Status, head, []byte(a.Text+"\n"), last, v.r.Method)
}

func plain(s string) bool {
	return len(s) < 256 && !strings.ContainsAny(s, "\r\n\x00")
}

// put writes an answer of this proxy to a request of a method. HEAD gets the head alone: what came behind it would be read as the
// next answer.
func (c *client) put(status int, head string, body []byte, last bool, method string) bool {
	buf := getBuf()
	msg := http1.AppendHead((*buf)[:0], status, head, int64(len(body)), last)
	if method != http.MethodHead {
		msg = append(msg, body...)
	}
	c.SetWriteDeadline(time.Now().Add(stallTime))
	_, err := c.Conn.Write(msg)
	*buf = msg[:0]
	putBuf(buf)
	return err == nil
}

// pass writes a backend's answer, and notes in log what kept it from its end. One that breaks off ends its connection before its
// end, so that the client sees it.
func (c *client) pass(a *Answer, r *http1.Request, last bool, now time.Time, log *passage) bool {
	length := a.Length
	if length < 0 {
		length = http1.Chunked
	}
	bare := a.Status == 204 || a.Status == 304 || r.Method == http.MethodHead
	if bare {
		length = http1.UntilClose
	}
	buf := getBuf()
	msg := appendAnswer((*buf)[:0], a, length, last)
	switch {
	case bare: // also where it is the kept answer to the first request of a key, which was no HEAD
	case a.Rest == nil:
		msg = append(msg, a.Body...)
	default:
		msg = appendChunk(msg, a.Body, length)
	}
	c.SetWriteDeadline(now.Add(stallTime))
	_, err := c.Conn.Write(msg)
	*buf = msg[:0]
	putBuf(buf)
	log.gone = err != nil
	if a.Rest == nil {
		return err == nil
	}
	whole := false
	defer func() { a.Close(whole) }()
	if err != nil {
		return false
	}
	b := make([]byte, pieceBytes)
	for {
		n, err := a.Rest.Read(b)
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(stallTime))
			p := b[:n]
			if length < 0 {
				p = appendChunk(make([]byte, 0, n+16), p, length)
			}
			if _, werr := c.Conn.Write(p); werr != nil {
				log.gone = true
				return false
			}
		}
		if err == io.EOF {
			whole = true
			if length < 0 {
				_, err := io.WriteString(c.Conn, "0\r\n\r\n")
				log.gone = err != nil
				return err == nil
			}
			return true
		}
		if err != nil {
			log.cut = true
			return false
		}
	}
}

func appendAnswer(buf []byte, a *Answer, length int64, last bool) []byte {
	head := make([]byte, 0, 512)
	for _, f := range a.Header {
		head = append(head, f.Name...)
		head = append(head, ": "...)
		head = append(head, f.Value...)
		head = append(head, "\r\n"...)
	}
	return http1.AppendHead(buf, a.Status, head, length, last)
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

// turnAway answers what can't be taken and ends its connection: what follows can't be trusted.
func (c *client) turnAway(status int, why string) {
	c.put(status, "Content-Type: text/plain; charset=utf-8\r\n", []byte(why+"\n"), true, "")
	linger(c.Conn)
}

// linger ends the sending and reads on for a while: a connection that closes with bytes unread is reset.
func linger(c net.Conn) {
	if t, ok := c.(interface{ CloseWrite() error }); ok {
		t.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTime))
	io.Copy(io.Discard, struct{ io.Reader }{c})
}

// ended counts a request that has ended.
func (c *client) ended(v *voyage) {
	if v.log.kind == errcode.ClientDisconnected || disconnect.Left(v.ctx) {
		v.log.gone = true
		c.g.Counts.ClientLeft.Add(1)
	}
	c.g.ended(&v.log, v.route)
}

// voyage is one request on its way.
type voyage struct {
	g     *DataPlane
	ctx   context.Context // ends when the client has left
	r     *http1.Request
	body  []byte
	rest  io.Reader // what follows body, once
	came  time.Time
	route *configuration.Route
	err   error
	cut   time.Time // nobody waits beyond
	spent bool      // some of rest was read

	key   string
	claim idempotency.ID
	log   passage
}

// comeBack is when a client should come back with what was answered by k, not all at once: soon where a place or a vote was
// lost to others, later where something is out that takes its time to come back.
func (v *voyage) comeBack(k errcode.Kind) time.Duration {
	aim := 400 * time.Millisecond
	if v.route != nil {
		aim = v.route.Target
	}
	wait, spread := aim/10, aim/16
	switch k {
	case errcode.NotReady, errcode.NoBackend, errcode.NoQuorum, errcode.Unreachable, errcode.Recovering, errcode.DiskUnavailable:
		wait, spread = aim/outPart, aim/8
		if left := time.Until(v.cut); v.route != nil {
			wait = min(max(wait, left/outLeft), aim)
		}
	}
	return max(10*time.Millisecond, wait+rand.N(spread+1))
}

const (
	outPart = 4 // of the target: a client of what is out comes back after that
	outLeft = 5 // or after that part of the time left, if that is longer, up to the target
)

// Own headers are set by the mesh, whatever was sent.
func ownHeader(name string) bool {
	return name == HeaderTarget || name == HeaderLeft || name == HeaderCaller || name == "Expect"
}

// sail sees a request to an answer of a backend, or to the kind of what went wrong.
func (v *voyage) sail() (*Answer, errcode.Kind) {
	chart := v.g.chart.Load()
	if chart == nil {
		return nil, errcode.NotReady
	}
	path, _, _ := strings.Cut(v.r.Target, "?")
	if v.route = chart.Route(v.r.Host, path); v.route == nil {
		if v.g.o.Vouched != nil && !v.g.o.Vouched() { // a newer configuration may have it
			return nil, errcode.NotReady
		}
		return nil, errcode.NoRoute
	}
	left := v.route.Deadline
	if s := v.r.Header.Get(HeaderLeft); s != "" {
		ms, err := strconv.ParseFloat(s, 64)
		if err != nil || !(ms >= 0 && ms < 1e9) {
			return nil, errcode.InvalidRequest
		}
		left = min(left, time.Duration(ms*float64(time.Millisecond)))
	}
	v.cut = v.came.Add(left)
	v.log.target = v.route.Target
	for _, name := range [...]string{HeaderID, HeaderLeft, HeaderKey} {
		if len(v.r.Header[name]) > 1 { // which of them counts, its backend may read in another way
			return nil, errcode.InvalidRequest
		}
	}
	rest := time.Until(v.cut)
	if v.log.body = left - rest; rest <= 0 {
		return nil, errcode.DeadlinePassed
	}
	if v.route.Kind == configuration.Deduplicated {
		return v.once()
	}
	a, k, _ := v.attempts()
	return a, k
}

// ask is the head of the request as it goes on.
func (v *voyage) ask() *ask {
	a := &ask{Kind: run, Method: v.r.Method, Target: v.r.Target, Length: int64(len(v.body)), Rank: v.route.Priority, Cancelable: v.route.Kind.Repeatable(),
		ID: v.r.Header.Get(HeaderID), Key: v.key, Claim: v.claim}
	if v.rest != nil {
		a.Length = v.r.Length
		if a.Length < 0 {
			a.Length = pieces
		}
	}
	a.Header = make([]Field, 0, len(v.r.Header)+1)
	for name, values := range v.r.Header {
		if ownHeader(name) || dropped(name, v.r.Header) {
			continue
		}
		if name == "Host" {
			values = []string{v.r.Host}
		}
		for _, x := range values {
			a.Header = append(a.Header, Field{Name: name, Value: x})
		}
	}
	a.Header = append(a.Header, Field{Name: HeaderCaller, Value: v.g.o.Service})
	return a
}

// attempts makes the attempts of a request. where is the proxy that had the last one which may have run.
func (v *voyage) attempts() (answer *Answer, k errcode.Kind, where string) {
	g := v.g
	a := v.ask()
	var service, failed string
	var c choice
	sent := 0              // attempts that may have reached a backend
	k = errcode.Overloaded // of the last attempt
	ran := errcode.OK      // of the last attempt that may have run; OK: none
	var last *Answer       // a backend's own failure, if that is all there is
	first := time.Now()
	for retries := 0; ; retries++ {
		if disconnect.Left(v.ctx) {
			k = errcode.ClientDisconnected
			break
		}
		g.balancer.Ask(func(h *Balancer) {
			now := g.now()
			if retries == 0 {
				service = h.Service(v.route)
				h.First(now, service)
			}
			c = h.Pick(now, service, failed)
		})
		if !c.ok {
			k = errcode.NoBackend
			break
		}
		left := time.Until(v.cut)
		if left <= time.Millisecond {
			k = errcode.DeadlinePassed
			break
		}
		a.Instance, a.Service = c.instance, c.service
		a.Left = uint32(left.Milliseconds())
		a.Hold = uint32(v.hold(first).Milliseconds())
		g.Counts.Attempts.Add(1)
		v.log.runs++
		v.log.before = v.cut.Sub(v.came) - left
		o := v.attempt(c, a)
		at := c
		if !o.hop && !o.canceled && c.addr != g.o.GateAddr {
			g.o.Heard(c.addr)
		}
		g.balancer.Send(func(h *Balancer) { h.Over(g.now(), at, &o) })
		v.err = o.err
		if o.Sent {
			sent++
		}
		k = o.Code
		v.log.cold, v.log.place = c.cold && !o.hop, time.Duration(o.Held)*time.Millisecond
		if k == errcode.OK {
			if o.answer.Status < 500 || !v.route.Kind.Repeatable() {
				g.Counts.Served.Add(1)
				return o.answer, k, c.addr
			}
			last, ran = o.answer, errcode.InvalidResponse
			k = errcode.InvalidResponse
			v.log.tried = causeBackend
		} else if !k.NotRun() {
			ran, where = k, c.addr
			if !v.route.Kind.Repeatable() {
				break
			}
		} else if k == errcode.Overloaded {
			g.Counts.HopFull.Add(1)
		}
		if o.Code != errcode.OK {
			v.log.tried = causeOf[k]
		}
		if v.spent || sent >= max(1, v.route.MaxAttempts) || disconnect.Left(v.ctx) {
			break
		}
		failed = c.node
		var wait time.Duration
		var no denial
		g.balancer.Ask(func(h *Balancer) {
			wait, no = h.Again(g.now(), v.route, service, retries, k, sent > 0, time.Until(v.cut))
		})
		if v.log.denied = no; no != granted {
			break
		}
		if last != nil && last.Rest != nil { // a long one holds its place at the backend, which the next attempt may need
			last.Close(false)
			last = nil
		}
		g.Counts.Retries.Add(1)
		v.log.backoff += wait
		v.sleep(wait)
	}
	if last != nil {
		return last, errcode.OK, where
	}
	if ran != errcode.OK {
		return nil, ran, where
	}
	return nil, k, where
}

// sleep waits, or until the client has left.
func (v *voyage) sleep(wait time.Duration) {
	if wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
	case <-v.ctx.Done():
	}
}

const (
	holdPart  = 0.5 // of the target: so long a request may wait for places, over all attempts
	tryPart   = 0.3 // and at one backend
	holdLeast = 2 * time.Millisecond
)

// hold is how long the next attempt may wait for a place at its backend.
func (v *voyage) hold(first time.Time) time.Duration {
	all := time.Duration(holdPart*float64(v.route.Target)) - time.Since(first)
	return max(holdLeast, min(all, time.Duration(tryPart*float64(v.route.Target))))
}

// attempt makes one attempt.
func (v *voyage) attempt(c choice, a *ask) outcome {
	ctx := v.ctx
	if v.key != "" { // its answer is kept for the next try with the key, which its client makes by another connection
		ctx = context.WithoutCancel(ctx)
	}
	var stream io.Reader
	body := v.body
	if v.rest != nil {
		stream = &once{r: v.rest, first: v.body, spent: &v.spent}
		body = nil
	}
	if c.addr == v.g.o.GateAddr {
		b := *a
		return v.g.Gate.run(ctx, &b, body, stream)
	}
	cut := v.cut.Add(hopLate)
	if stream != nil { // its time begins anew where it is long: the client sends it as it can
		cut = cut.Add(time.Minute)
	}
	return v.g.hops.do(ctx, c.addr, a, body, stream, cut)
}

// hopLate is how much later than the backend a hop ends: a last answer comes through.
const hopLate = 60 * time.Millisecond

// once reads a body that can be read once, and takes note that it began.
type once struct {
	r     io.Reader
	first []byte
	spent *bool
}

func (o *once) Read(b []byte) (int, error) {
	if len(o.first) > 0 {
		n := copy(b, o.first)
		o.first = o.first[n:]
		return n, nil
	}
	*o.spent = true
	return o.r.Read(b)
}
