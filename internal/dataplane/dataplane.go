// Package dataplane is the data plane of one sidecar proxy: it takes requests from the clients of its machine, sends each through the
// proxy beside the backend that was chosen, and brings the backend's answer back. Its front (front.go) takes requests and sees each to
// its one final answer, Balancer chooses and decides on retries, hops carry requests to other proxies, and Gate is the admission control
// beside a backend, which it alone speaks to. Start reading at New.
package dataplane

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/configuration"
	"saltmast/internal/disconnect"
	"saltmast/internal/errcode"
	"saltmast/internal/idempotency"
	"saltmast/internal/pacing"
	"saltmast/internal/quorum"
	"saltmast/internal/rpc"
	"saltmast/internal/sock"
)

// Headers of the mesh's clients and backends.
const (
	HeaderID     = "Violetlatch-Attempt-Id"
	HeaderLeft   = "Violetlatch-Deadline-Remaining"
	HeaderKey    = "Violetlatch-Operation-Key"
	HeaderSeal   = "Violetlatch-Server-Seal"
	HeaderTarget = "Violetlatch-Target-Instance"
	HeaderNotRun = "Violetlatch-Not-Executed"
	HeaderCaller = "Violetlatch-Caller-Service"

	headerPrefix = "Violetlatch-" // of all of them
)

// Options are what a dataplane is made of.
type Options struct {
	Node, Zone string
	Service    string // that the backend beside this proxy runs; the caller of requests that begin here
	App        string // host:port of that backend
	GateAddr   string // host:port where other proxies call
	Life       uint64 // of this process, random, other than 0
	Begun      time.Time
	Heartbeat  time.Duration

	Ratio       float64 // further arrivals for each request, over all machines
	Allowance   float64
	Window      time.Duration
	KeyWindow   time.Duration // operation keys are known for so long
	AnswerBytes int           // kept of answers to keyed requests
	MaxConns    int           // of clients
	LinkMbps    float64       // of this machine's link, in 10^6 bits a second; 0: not known

	Net     sock.Net // nil: the system's
	Council *quorum.Council
	Heard   func(addr string)                 // another proxy answered; nil: nobody asks
	News    func(call []byte) ([]byte, error) // answers a PullCall of another proxy; nil: none are
	Report  func(call []byte) ([]byte, error) // answers a ReportCall; nil: none are
	Vouched func() bool                       // the configuration is no old one, as far as is known; nil: it never is
	Log     func(event, text string)
}

// DataPlane is the traffic of one proxy.
type DataPlane struct {
	o        Options
	Gate     *Gate
	balancer *rpc.Owner[Balancer]
	book     *rpc.Owner[idempotency.Book[*Answer]]
	hops     *hops
	left     *disconnect.Watcher // looks at the connections of clients with a request under way
	claim    atomic.Uint64
	relay    atomic.Pointer[string] // a proxy that lately claimed for this one
	out      atomic.Int64           // since the start, until when no majority is expected to answer this proxy
	chart    atomic.Pointer[configuration.RoutingTable]

	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*client]bool

	Counts Counts
}

// Counts count what became of requests.
type Counts struct {
	Requests, Served, Errors, Refused, NoRoute, Bad                 atomic.Int64
	Attempts, Retries, Claims, Lost, Split, CoreOut, Replayed, Void atomic.Int64
	ClaimMicros, HopFull, Relays, Relayed                           atomic.Int64
	ClientLeft                                                      atomic.Int64     // requests whose client closed its connection before their answer was passed on
	ByKind                                                          [32]atomic.Int64 // own answers, by error code

	InTarget, Missed [configuration.RouteKinds]atomic.Int64 // requests that have ended, by kind of route
	Ended            [endings][causes]atomic.Int64          // those that were not answered within their target
}

// New returns a dataplane that serves once Serve is called.
func New(o Options) *DataPlane {
	pacer := pacing.New(o.LinkMbps)
	h := NewBalancer()
	h.Node, h.Zone, h.Ratio, h.Allowance, h.Window = o.Node, o.Zone, o.Ratio, o.Allowance, o.Window
	h.Rand = rand.New(rand.NewPCG(o.Life, 1))
	if o.Heard == nil {
		o.Heard = func(string) {}
	}
	g := &DataPlane{o: o, Gate: newGate(o, pacer), balancer: rpc.Own(h, 256), hops: newHops(o.Net, pacer),
		left: disconnect.New(disconnect.Interval), conns: map[*client]bool{}}
	g.book = rpc.Own(idempotency.NewBook[*Answer](o.KeyWindow, o.AnswerBytes/2), 256)
	return g
}

func (g *DataPlane) now() time.Duration { return time.Since(g.o.Begun) }

// Learn takes news of backends.
func (g *DataPlane) Learn(news []backends.Berth) {
	g.balancer.Ask(func(h *Balancer) { h.Learn(g.now(), news) })
}

// Hear takes news of the backend beside this proxy, without waiting for them to be taken.
func (g *DataPlane) Hear(b backends.Berth) {
	g.balancer.Send(func(h *Balancer) { h.Learn(g.now(), []backends.Berth{b}) })
}

// Silence takes the addresses of proxies that don't answer, as the roster says, without waiting. addrs is not changed after.
func (g *DataPlane) Silence(addrs map[string]bool) {
	g.balancer.Send(func(h *Balancer) { h.Silence(addrs) })
}

// Drop forgets nodes that are gone for good.
func (g *DataPlane) Drop(nodes []string) {
	g.balancer.Ask(func(h *Balancer) { h.Drop(nodes) })
}

// Configure has the requests to come taken by another chart.
func (g *DataPlane) Configure(c *configuration.RoutingTable) { g.chart.Store(c) }

// Configured reports whether there is a configuration.
func (g *DataPlane) Configured() bool { return g.chart.Load() != nil }

// Serve takes clients until the listener closes.
func (g *DataPlane) Serve(l net.Listener) { g.serve(l) }

// ServeGate takes other proxies until the listener closes.
func (g *DataPlane) ServeGate(l net.Listener) { g.Gate.Serve(l, g.forOther) }

// forOther does for another proxy what is no request.
func (g *DataPlane) forOther(a *ask, body []byte) outcome {
	switch a.Kind {
	case recall:
		return g.Gate.recallHere(a, g.recallOwn)
	case claimFor:
		g.Counts.Relayed.Add(1)
		verdict, holder := g.vote(a.Key, a.Claim, min(relayTime, time.Duration(a.Left)*time.Millisecond))
		return outcome{told: told{Verdict: verdict, Holder: &holder}}
	case newsFor:
		if g.o.News == nil {
			return outcome{told: told{Code: errcode.NotReady}}
		}
		answer, err := g.o.News(body)
		if err != nil {
			return outcome{told: told{Code: errcode.Of(err)}}
		}
		return outcome{answer: &Answer{Body: answer, Length: int64(len(answer))}}
	}
	return g.elseFor(a, body)
}

// Another draws another proxy among those that can be reached. ok: there is one.
func (g *DataPlane) Another() (at string, ok bool) {
	drawn := g.relays(1)
	if len(drawn) == 0 {
		return "", false
	}
	return drawn[0], true
}

// AskNews asks another proxy, at an address, for news.
func (g *DataPlane) AskNews(at string, call []byte, wait time.Duration) (news []byte, err error) {
	o := g.hops.do(context.Background(), at, &ask{Kind: newsFor, Length: int64(len(call))}, call, nil, time.Now().Add(wait))
	if o.answer == nil {
		return nil, errcode.New(errcode.Unreachable, "%s", at)
	}
	if o.answer.Rest == nil {
		return o.answer.Body, nil
	}
	rest, err := io.ReadAll(io.LimitReader(o.answer.Rest, rpc.MaxFrame))
	o.answer.Close(err == nil && len(rest) < rpc.MaxFrame)
	return append(o.answer.Body, rest...), err
}

// relays draws up to n other proxies that can be reached, as far as is known.
func (g *DataPlane) relays(n int) (at []string) {
	g.balancer.Ask(func(h *Balancer) { at = h.Relays(g.now(), n) })
	return at
}

// recallOwn tells what is known here of a key that was claimed here.
func (g *DataPlane) recallOwn(a *ask) outcome {
	var op idempotency.Op[*Answer]
	known := false
	g.book.Ask(func(b *idempotency.Book[*Answer]) { op, known = b.Look(a.Key) })
	o := recalled(op, known, a.Claim)
	if a.Claim.Life == g.o.Life && (!known || op.ID != a.Claim) { // of this life, and not the one that was sent: it is void
		o.State = idempotency.Void
	}
	return o
}

// Drain has each connection of clients end with its next answer.
func (g *DataPlane) Drain() { g.stopping.Store(true) }

// Stop waits until what is under way is done, for so long at the most, and ends.
func (g *DataPlane) Stop(wait time.Duration) {
	g.stopping.Store(true)
	end := time.Now().Add(wait)
	for time.Now().Before(end) && g.closeQuiet() > 0 {
		time.Sleep(20 * time.Millisecond)
	}
	for time.Now().Before(end) {
		if running, waiting := g.Gate.load(); running+waiting == 0 {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for time.Now().Before(end) && g.Gate.closeQuiet() > 0 { // the last answers leave
		time.Sleep(20 * time.Millisecond)
	}
	g.Gate.CloseAll()
}

// End ends what goes on beside requests: the tables take no more commands. Requests under way come to nothing.
func (g *DataPlane) End() {
	g.mu.Lock()
	for c := range g.conns {
		c.Close()
	}
	g.mu.Unlock()
	g.Gate.CloseAll()
	g.balancer.End()
	g.book.End()
	g.Gate.book.End()
}

// Report gives the counts by name.
func (g *DataPlane) Report() map[string]int64 {
	c, q := &g.Counts, &g.Gate.Counts
	out := map[string]int64{
		"requests": c.Requests.Load(), "served": c.Served.Load(), "errors": c.Errors.Load(), "refused": c.Refused.Load(),
		"no_route": c.NoRoute.Load(), "bad": c.Bad.Load(), "attempts": c.Attempts.Load(), "retries": c.Retries.Load(),
		"claims": c.Claims.Load(), "claims_lost": c.Lost.Load(), "claims_split": c.Split.Load(), "core_out": c.CoreOut.Load(),
		"replayed": c.Replayed.Load(), "claims_void": c.Void.Load(), "claim_us": c.ClaimMicros.Load(), "hop_full": c.HopFull.Load(),
		"relays": c.Relays.Load(), "relayed": c.Relayed.Load(), "client_left": c.ClientLeft.Load(),
		"gate_asks": q.Asks.Load(), "gate_sent": q.Sent.Load(), "gate_full": q.Full.Load(), "gate_leaving": q.Leaving.Load(),
		"gate_elsewhere": q.Elsewhere.Load(), "gate_away": q.Away.Load(), "gate_turned": q.TurnedAway.Load(),
		"gate_failed": q.Failed.Load(), "gate_broken": q.Broken.Load(), "gate_timeout": q.TimedOut.Load(), "gate_strange": q.Strange.Load(), "gate_given_up": q.GivenUp.Load(),
		"gate_wait_us": q.WaitMicros.Load(), "gate_run_us": q.RunMicros.Load(), "gate_canceled": q.Canceled.Load(),
	}
	for k := range c.ByKind {
		if n := c.ByKind[k].Load(); n > 0 {
			out["own_"+strconv.Itoa(k)] = n
		}
	}
	c.losses(out)
	return out
}
