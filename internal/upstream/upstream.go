// Package upstream makes attempts at backends: the pool of connections, dialling, and a codec per protocol that turns an
// attempt into bytes and bytes into one result. An attempt goes out once at the most, and where there is doubt it may
// have run. It decides nothing: which backend, whether again and for how long is told. Start reading at Backends.
package upstream

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"saltmast"
	"saltmast/internal/core"
	"saltmast/internal/discovery"
	"saltmast/internal/links"
	"saltmast/internal/requestlog"
	settleslog "saltmast/internal/requestlog/log"
	"saltmast/internal/thrift"
)

// Backends carries out attempts and probes. Each ends with exactly one outcome.
type Backends struct {
	pool  *links.Pool
	table *discovery.Members
	terms atomic.Pointer[terms]
	log   *slog.Logger

	// Ping is the method by which Thrift servers are probed, in Protocol; empty: servers speak HTTP.
	Ping     string
	Protocol thrift.Protocol

	// Journal takes note of each attempt of a request that must be recorded, before its first byte leaves; nil: none is.
	Journal   Journal
	recording sync.WaitGroup
}

// terms are what the settings say of attempts.
type terms struct {
	reports saltmast.Reports
	probing time.Duration // how long a probe waits
	stall   time.Duration // an answer that has begun and brings nothing for so long is spoilt
}

// Retune has the attempts and probes to come made by other settings.
func (b *Backends) Retune(s *saltmast.Settings) {
	b.terms.Store(&terms{reports: s.Reports, probing: 2 * s.ConnectTimeout, stall: max(2*s.ConnectTimeout, 100*time.Millisecond)})
	b.pool.SetTimeouts(s.IdleClose*3/4, s.ConnectTimeout)
}

// Journal is where attempts are recorded.
type Journal interface {
	// Intent returns once an intent is on disk; an error means that nothing may go out. A nil ticket without an error
	// stands for an attempt that goes out unrecorded.
	Intent(ctx context.Context, i requestlog.Intent) (*settleslog.Ticket, error)
	// Outcome takes note of how the attempt ended. It never blocks.
	Outcome(t *settleslog.Ticket, r requestlog.Result, status int)
}

// Settle waits until the outcome of each recorded attempt is told.
func (b *Backends) Settle() { b.recording.Wait() }

// codec is a request in one protocol: what fronts put into a core.Call.
type codec interface {
	// encode returns the bytes of an attempt that will be waited for so long.
	encode(id string, left time.Duration) ([]byte, error)
	// read reads one answer to its end and tells whether another may follow on the same connection.
	read(a *answerReader) (reply, bool)
}

// codecOf is the codec of one attempt.
func codecOf(payload any) codec {
	if t, ok := payload.(*Thrift); ok {
		return t.attempt()
	}
	return payload.(codec)
}

// New returns the backends of a list. connections bounds those that are open; 0: no bound.
func New(s saltmast.Settings, table *discovery.Members, connections int, log *slog.Logger) *Backends {
	b := &Backends{pool: links.New(s.IdleClose*3/4, s.ConnectTimeout, connections), table: table, log: log}
	b.Retune(&s)
	return b
}

// Retire ends the use of all connections to a backend that drains, is gone or was started again.
func (b *Backends) Retire(backend string) { b.pool.Retire(backend) }

// SetLimit bounds the connections that are open from now on; 0: no bound. Beyond it idle ones close.
func (b *Backends) SetLimit(connections int) { b.pool.SetLimit(connections) }

// Lent is how many connections bring long answers that go on to clients: they count among the clients' own.
func (b *Backends) Lent() int { return b.pool.Streaming() }

// Open is how many other connections are open.
func (b *Backends) Open() int { return b.pool.OpenCount() }

// CloseIdle closes the idle connections to a backend.
func (b *Backends) CloseIdle(backend string) { b.pool.CloseIdle(backend) }

// Attempt implements core.Upstream.
func (b *Backends) Attempt(ctx context.Context, q *core.Call, backend string, cut time.Time) core.Reply {
	res, r := b.attempt(ctx, q, backend, cut)
	reply := core.Reply{Result: res, At: r.at, Load: loadReport(r), Payload: r.body, Unrecorded: r.unrecorded}
	switch {
	case r.message != nil:
		reply.Payload = r.message
	case r.stream != nil:
		reply.Payload = r.stream
	}
	if h, ok := q.Payload.(*HTTP); ok && h.Coming != nil {
		reply.Spent = h.Coming.Spent()
	}
	return reply
}

// Probe implements core.Upstream.
func (b *Backends) Probe(ctx context.Context, backend string) core.Reply {
	res, r := b.probe(ctx, backend)
	return core.Reply{Result: res, At: r.at, Load: loadReport(r)}
}

// attempt sends one attempt and returns its result, and the body where it was served.
func (b *Backends) attempt(ctx context.Context, q *core.Call, backend string, cut time.Time) (saltmast.Result, reply) {
	c, res, err := b.connect(ctx, backend, cut)
	if c == nil {
		return res, reply{at: time.Now(), err: err}
	}
	// The dial took time: the request may have ended, or the backend begun to drain, meanwhile.
	// From here to the first byte nothing waits.
	if res, ok := b.mayGo(ctx, q, backend, cut); !ok {
		b.pool.Release(c)
		return res, reply{at: time.Now()}
	}
	if q.Record != nil && b.Journal != nil {
		return b.recorded(ctx, c, q, backend, cut)
	}
	return b.exchange(ctx, c, q, codecOf(q.Payload), cut)
}

// mayGo looks whether an attempt may still go out, right before its first byte, and gives its result if it may not.
func (b *Backends) mayGo(ctx context.Context, q *core.Call, backend string, cut time.Time) (saltmast.Result, bool) {
	if _, ok := b.table.Serving(backend); !ok {
		return saltmast.ConnectFailed, false // another backend can take it
	}
	return saltmast.NotSent, !q.Over() && ctx.Err() == nil && time.Now().Before(cut)
}

// connect gives a connection to a backend, or the result if there is none to be had.
func (b *Backends) connect(ctx context.Context, backend string, cut time.Time) (*links.Conn, saltmast.Result, error) {
	addr, ok := b.table.Serving(backend)
	if !ok { // it began to drain since it was chosen: there is no connection for this, and another may serve it
		return nil, saltmast.ConnectFailed, nil
	}
	if c := b.pool.Get(backend); c != nil {
		return c, 0, nil
	}
	c, err := b.pool.Dial(ctx, backend, addr, cut)
	switch {
	case err == nil:
		return c, 0, nil
	case ctx.Err() != nil:
		return nil, saltmast.Cancelled, err
	}
	if isTimeout(err) {
		b.pool.CloseIdle(backend) // the machine says nothing: those that it has are no better
	}
	return nil, saltmast.ConnectFailed, err
}

// staleAfter is the rest of a connection after which a break at the next request is put down to the rest.
const staleAfter = 100 * time.Millisecond

// exchange sends a request on c and reads the outcome off what comes back, by the protocol's table.
func (b *Backends) exchange(ctx context.Context, c *links.Conn, q *core.Call, m codec, cut time.Time) (saltmast.Result, reply) {
	var raw []byte
	h, passes := m.(*HTTP)
	if passes = passes && h.Coming != nil; !passes {
		var err error
		if raw, err = m.encode(q.ID, time.Until(cut)); err != nil { // before any byte: what can't be written can't have run
			b.pool.Release(c)
			return saltmast.NotSent, reply{at: time.Now(), err: err}
		}
	}
	var idle time.Duration
	if !c.IdleSince().IsZero() {
		idle = time.Since(c.IdleSince())
	}
	var r reply
	var written, again bool
	stall := b.terms.Load().stall
	if passes {
		r, written, again = sendComing(ctx, c.Conn, q, h, cut, stall)
	} else {
		r, written, again = send(ctx, c.Conn, raw, cut, stall, m.read)
	}
	release := func(again bool) {
		if again {
			b.pool.Release(c)
		} else {
			b.pool.Close(c)
		}
	}
	if s := r.stream; s != nil { // its connection is its own until it has gone on
		b.pool.BeginStreaming()
		s.free = func(whole bool) {
			good := s.a.release() && whole && again
			b.pool.EndStreaming()
			release(good)
		}
	} else {
		release(again)
	}
	res := outcomeOf(r, written, ctx.Err() != nil)
	if r.stream != nil && res != saltmast.OK {
		r.stream.Close()
		r.stream = nil
	}
	switch {
	case res == saltmast.TimedOut:
		// Idle connections to a machine that vanished would swallow requests that may not be sent
		// again; a new one fails fast, with proof.
		b.pool.CloseIdle(c.Key())
	case (res == saltmast.Reset || res == saltmast.ConnectFailed) && idle > staleAfter:
		// It broke at the first request after a rest. Whatever ended it meanwhile, be it a middlebox or a
		// machine that was away, has ended those that have rested for longer too. One that broke in full
		// use says nothing of the others: closing them costs a handshake each, which the backend pays.
		b.pool.CloseIdleBefore(c.Key(), c.IdleSince())
	}
	if errors.Is(r.err, errMalformed) {
		b.log.Warn("malformed answer", "backend", c.Key(), "why", r.err)
	} else if r.err == nil && r.odd != "" {
		b.log.Warn("unexpected answer", "backend", c.Key(), "answer", r.odd)
	}
	return res, r
}

// result is the protocol's table of outcomes. Where there is doubt the request may have run.
func result(r reply, written, cancelled bool) saltmast.Result {
	switch {
	case r.err == nil:
		return r.verdict
	case errors.Is(r.err, errMalformed):
		return saltmast.Errored
	case !written:
		return saltmast.ConnectFailed // its last byte never left
	case cancelled:
		return saltmast.Cancelled
	case isTimeout(r.err):
		return saltmast.TimedOut
	}
	return saltmast.Reset
}
