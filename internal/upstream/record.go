package upstream

import (
	"context"
	"errors"
	"time"

	"saltmast"
	"saltmast/internal/core"
	"saltmast/internal/links"
	"saltmast/internal/requestlog"
	"saltmast/internal/sock"
)

// results are the outcomes as the journal has them.
var results = map[saltmast.Result]requestlog.Result{
	saltmast.OK: requestlog.Served, saltmast.Full: requestlog.TurnedAway, saltmast.Errored: requestlog.Errored, saltmast.Reset: requestlog.NoAnswer,
	saltmast.TimedOut: requestlog.TimedOut, saltmast.Cancelled: requestlog.GivenUp, saltmast.ConnectFailed: requestlog.ConnectFailed, saltmast.NotSent: requestlog.NotSent,
}

// recorded is exchange for a request that must not run twice: its intent is on disk before the first byte leaves. The wait
// for that is the request's own; while it lasts everything may have changed, so all is looked at once more.
func (b *Backends) recorded(ctx context.Context, c *links.Conn, q *core.Call, backend string, cut time.Time) (saltmast.Result, reply) {
	b.recording.Add(1)
	defer b.recording.Done()
	wait, cancel := context.WithDeadline(ctx, cut)
	defer cancel()
	rec := q.Record
	ticket, err := b.Journal.Intent(wait, requestlog.Intent{Request: q.ID, Attempt: int(rec.Attempts.Add(1)) - 1, Class: rec.Class, Account: rec.Account,
		Key: rec.Key, Server: backend, Addr: c.RemoteAddr().String(), At: time.Now(), Digest: rec.Digest})
	if err != nil {
		b.pool.Release(c)
		late := errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
		return saltmast.NotSent, reply{at: time.Now(), err: err, unrecorded: !late}
	}
	res, r := b.afterIntent(ctx, c, q, backend, cut)
	result, status := results[res], r.status
	switch {
	case r.message != nil:
		status = int(r.message.Type)
	case res == saltmast.OK && r.status == 0: // nothing came back, and nothing will
		result = requestlog.OneWay
	}
	b.Journal.Outcome(ticket, result, status)
	return res, r
}

func (b *Backends) afterIntent(ctx context.Context, c *links.Conn, q *core.Call, backend string, cut time.Time) (saltmast.Result, reply) {
	if res, ok := b.mayGo(ctx, q, backend, cut); !ok {
		b.pool.Release(c)
		return res, reply{at: time.Now()}
	}
	if quiet, _ := sock.Look(c.Conn); !quiet { // it ended meanwhile, or something came that answers nothing
		b.pool.Close(c)
		return saltmast.ConnectFailed, reply{at: time.Now()}
	}
	return b.exchange(ctx, c, q, codecOf(q.Payload), cut)
}
