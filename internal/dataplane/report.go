package dataplane

import (
	"context"
	"io"
	"time"

	"saltmast/internal/errcode"
	"saltmast/internal/idempotency"
	"saltmast/internal/messages"
	"saltmast/internal/rpc"
	"saltmast/internal/sock"
)

// reportOf asks for what is known here: the body is a ReportCall, the answer's Reported. Its number stands apart from those of
// the kinds that carry traffic.
const reportOf uint8 = 32

// elseFor does for others what has nothing to do with requests.
func (g *DataPlane) elseFor(a *ask, body []byte) outcome {
	if a.Kind != reportOf || g.o.Report == nil {
		return outcome{told: told{Code: errcode.UnknownCall}}
	}
	answer, err := g.o.Report(body)
	if err != nil {
		return outcome{told: told{Code: errcode.Of(err)}}
	}
	return outcome{answer: &Answer{Body: answer, Length: int64(len(answer))}}
}

// Tell adds to a report what is known here. The owners hand over copies.
func (g *DataPlane) Tell(r *messages.Reported, own *messages.TugReport, brief bool) {
	var all []messages.BerthReport
	left := map[string]float64{}
	g.balancer.Ask(func(h *Balancer) {
		now := g.now()
		own.Tokens = h.bucket.Tokens()
		for s, x := range h.rations {
			left[s] = x.Left(now)
		}
		all = make([]messages.BerthReport, 0, len(h.rows))
		for _, row := range h.rows {
			b := messages.Reports(row.Berth)
			b.InFlight = row.inFlight
			if now < row.awayTill {
				b.AwayMs = uint32((row.awayTill - now).Milliseconds())
			}
			if now-row.loadAt < loadFor {
				b.Load = float32(row.load)
			}
			all = append(all, b)
		}
	})
	own.SetRations(left)
	r.SetBerths(all, brief)
	own.Begun, own.Ran = bookOf(g.book), bookOf(g.Gate.book)
	own.Running, own.Waiting = g.Gate.load()
}

func bookOf(o *rpc.Owner[idempotency.Book[*Answer]]) (k messages.Book) {
	o.Ask(func(b *idempotency.Book[*Answer]) {
		_, bytes := b.Len()
		k = messages.Book{AtWork: b.In(idempotency.AtWork), Done: b.In(idempotency.Done), Unknown: b.In(idempotency.Unknown), Void: b.In(idempotency.Void), Bytes: bytes}
	})
	return k
}

// Asker asks proxies for what they know, by their gates. It keeps its connections for a while.
type Asker struct{ hops *hops }

// NewAsker returns one. n: nil for the system's network.
func NewAsker(n sock.Net) *Asker { return &Asker{newHops(n, nil)} }

// maxReport bounds an answer; a proxy cuts its own to a quarter of it.
const maxReport = 1 << 20

// Report asks the proxy whose gate is at addr.
func (k *Asker) Report(addr string, call messages.ReportCall, wait time.Duration) (r messages.Reported, err error) {
	cut := time.Now().Add(wait)
	for range 2 { // the first connection may be one that was kept and is no more
		var raw []byte
		if raw, err = k.ask(addr, rpc.Encode(call), cut); err == nil {
			return r, rpc.Decode(raw, &r)
		}
		if errcode.Of(err) != errcode.ConnectionLost {
			break
		}
	}
	return r, err
}

func (k *Asker) ask(addr string, body []byte, cut time.Time) (raw []byte, err error) {
	c, err := k.hops.dial(context.Background(), addr, cut)
	if err != nil {
		return nil, errcode.New(errcode.Unreachable, "%w", err)
	}
	c.SetDeadline(cut)
	in := getReader(c)
	var t told
	if _, err = c.Write(appendMessage(nil, &ask{Kind: reportOf, Length: int64(len(body))}, body)); err == nil {
		err = readMessage(in, &t)
	}
	switch {
	case err != nil:
	case t.Code != errcode.OK:
		k.hops.release(c, in, false)
		return nil, errcode.New(t.Code, "%s", addr)
	case t.Length < 0 || t.Length > maxReport:
		err = errcode.New(errcode.Malformed, "an answer of %d bytes", t.Length)
	default:
		raw = make([]byte, t.Length)
		_, err = io.ReadFull(in, raw)
	}
	if err != nil {
		putReader(in)
		k.hops.pool.Close(c)
		k.hops.pool.CloseIdle(addr)
		switch {
		case isTimeout(err):
			return nil, errcode.New(errcode.ResponseTimeout, "%s", addr)
		case errcode.Of(err) == errcode.Malformed:
			return nil, err
		}
		return nil, errcode.New(errcode.ConnectionLost, "%w", err)
	}
	k.hops.release(c, in, false)
	return raw, nil
}

// Up is how long this proxy runs.
func (g *DataPlane) Up() time.Duration { return g.now() }
