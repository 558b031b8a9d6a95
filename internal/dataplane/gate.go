package dataplane

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/controlapi"
	"saltmast/internal/disconnect"
	"saltmast/internal/errcode"
	"saltmast/internal/idempotency"
	"saltmast/internal/links"
	"saltmast/internal/pacing"
	"saltmast/internal/rpc"
	"saltmast/internal/sock"
)

// Gate is the only one that speaks to the backend beside this proxy. It knows the backend's life and whether it leaves, and
// what is in flight there from everybody: it turns away, with proof that nothing ran, what the backend should not get.
type Gate struct {
	o     Options
	pool  *links.Pool
	book  *rpc.Owner[idempotency.Book[*Answer]]
	pacer *pacing.Pacer       // of what is sent to other proxies
	left  *disconnect.Watcher // looks at the connections of other proxies with an ask under way

	caller atomic.Pointer[string]

	mu      sync.Mutex
	berth   backends.Berth // what this proxy tells of itself
	addr    string         // of the backend
	count   uint64         // of its newest beat
	beat    time.Time
	looked  time.Time // whether beats come
	warmAt  time.Time
	running int
	ranks   [5]int // of running: by rank, the last for all beyond
	queue   waits
	order   int
	kept    [4]kept              // places for those of each rank, from which those that rank behind are kept
	past    []string             // lives that have ended
	news    func(backends.Berth) // hears of each change
	open    map[*resting]bool    // of other proxies
	ended   bool

	Counts GateCounts
}

// GateCounts count what a gate did with asks.
type GateCounts struct {
	Asks, Sent, Full, Leaving, Elsewhere, Away, TurnedAway, Failed, Broken, TimedOut, Strange, GivenUp, Recalls atomic.Int64

	WaitMicros, RunMicros atomic.Int64 // that asks waited for a place, turned away or not; that runs took, up to the first 64 KiB of their answers

	Canceled atomic.Int64 // runs that were broken off since nobody waited for their answers
}

func newGate(o Options, pacer *pacing.Pacer) *Gate {
	g := &Gate{o: o, pacer: pacer, pool: links.New(backendIdle, backendDial, 0), left: disconnect.New(disconnect.Interval), open: map[*resting]bool{},
		berth: backends.Berth{Node: o.Node, Addr: o.GateAddr, Zone: o.Zone, Life: o.Life, Version: 1, Service: o.Service}}
	g.pool.Net = sock.On(o.Net)
	g.book = rpc.Own(idempotency.NewBook[*Answer](o.KeyWindow, o.AnswerBytes/2), 256)
	return g
}

// Berth is what this proxy tells of itself now.
func (g *Gate) Berth() backends.Berth {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.told()
}

func (g *Gate) told() backends.Berth {
	b := g.berth
	b.WarmMs = uint32(max(0, time.Until(g.warmAt).Milliseconds()))
	return b
}

// change changes what is told. The caller holds g.mu.
func (g *Gate) change(f func(b *backends.Berth)) {
	f(&g.berth)
	g.berth.Version++
	if g.news != nil {
		g.news(g.told())
	}
}

// Refute raises the version over another that is told of this node: of a former life.
func (g *Gate) Refute(other backends.Berth) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if other.Life != g.berth.Life && other.Version >= g.berth.Version {
		g.change(func(b *backends.Berth) { b.Version = other.Version })
	}
}

// Beat takes a beat of the backend. One that comes late, or of a life that has ended, changes nothing.
func (g *Gate) Beat(p controlapi.Beat) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	same := p.ID == g.berth.Instance
	if g.ended || slices.Contains(g.past, p.ID) || same && p.Count < g.count {
		return nil
	}
	g.beat = time.Now()
	if p.Addr != "" && g.o.App == "" {
		g.addr = p.Addr
	}
	p.Capacity = max(1, p.Capacity)
	if same && p.Count == g.count && g.berth.State != backends.None { // told again
		return nil
	}
	g.count = p.Count
	g.warmAt = g.beat.Add(p.Warm)
	if same && g.berth.State == p.State && g.berth.Capacity == p.Capacity {
		return nil
	}
	if !same && g.berth.Instance != "" {
		g.pool.Retire(g.berth.Instance)
		g.bury(g.berth.Instance)
		g.turnOut() // what waits is meant for that life
	}
	g.change(func(b *backends.Berth) {
		b.Instance, b.Service, b.Release, b.Capacity, b.State = p.ID, p.Service, p.Release, p.Capacity, p.State
	})
	g.o.Log("backend", fmt.Sprintf("%s of %s: %s, capacity %d", p.ID, p.Service, p.State, p.Capacity))
	if p.State != backends.Serving { // nothing more is sent to one that leaves, what came before included
		g.turnOut()
	}
	g.admit()
	return nil
}

// pastLives bounds the lives that are remembered as ended.
const pastLives = 16

// bury takes note that a life has ended. The caller holds g.mu.
func (g *Gate) bury(id string) {
	if g.past = append(g.past, id); len(g.past) > pastLives {
		g.past = slices.Delete(g.past, 0, 1)
	}
}

// Leave takes note that the backend has ended.
func (g *Gate) Leave(id string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !slices.Contains(g.past, id) {
		g.bury(id)
	}
	if id == g.berth.Instance && g.berth.State != backends.None {
		g.change(func(b *backends.Berth) { b.State = backends.None })
		g.o.Log("backend", id+": ended")
		g.turnOut()
	}
	return nil
}

// LookEvery is how often a proxy looks whether beats still come.
const LookEvery = 500 * time.Millisecond

// Watch looks whether beats still come. Time in which this process did not run counts against nobody: its backend's
// beats may have yet to be read.
func (g *Gate) Watch(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slept := now.Sub(g.looked) - LookEvery; !g.looked.IsZero() && slept > LookEvery {
		if g.beat = g.beat.Add(slept); g.beat.After(now) {
			g.beat = now
		}
	}
	g.looked = now
	if g.berth.State != backends.None && now.Sub(g.beat) > 4*g.o.Heartbeat {
		g.change(func(b *backends.Berth) { b.State = backends.None })
		g.o.Log("backend", g.berth.Instance+": says nothing more")
		g.turnOut()
	}
}

// Withdraw tells that this proxy takes nothing more for its backend.
func (g *Gate) Withdraw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ended = true
	g.change(func(b *backends.Berth) { b.State = backends.None })
	g.turnOut()
}

// refused takes note that the backend accepts no connections: its next beat tells whether it is back.
func (g *Gate) refused(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.berth.Instance == id && g.berth.State == backends.Serving {
		g.change(func(b *backends.Berth) { b.State = backends.None })
		g.o.Log("backend", id+": refuses connections")
		g.turnOut()
	}
}

// OnChange has f hear of each change of what this proxy tells of itself. f must not call the gate.
func (g *Gate) OnChange(f func(backends.Berth)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.news = f
}

// run carries out one ask: it is at the backend once at the most. rest is what follows body. Once ctx has ended nothing is sent to
// the backend, and a run that may be broken off is; any other goes on to its end.
func (g *Gate) run(ctx context.Context, a *ask, body []byte, rest io.Reader) outcome {
	g.Counts.Asks.Add(1)
	came := time.Now()
	k := g.enter(ctx, a)
	held := time.Since(came)
	g.Counts.WaitMicros.Add(held.Microseconds())
	if k != errcode.OK {
		switch k {
		case errcode.ClientDisconnected:
			g.Counts.GivenUp.Add(1)
		case errcode.Overloaded:
			g.Counts.Full.Add(1)
		case errcode.BackendReplaced:
			g.Counts.Elsewhere.Add(1)
		default:
			g.Counts.Leaving.Add(1)
		}
		return g.tell(outcome{told: told{Code: k}})
	}
	left := time.Duration(a.Left)*time.Millisecond - held
	if left <= 0 {
		g.exit(a.Rank)
		return g.tell(outcome{told: told{Code: errcode.DeadlinePassed}})
	}
	if ctx.Err() != nil || a.gone != nil && a.gone() {
		g.exit(a.Rank)
		g.Counts.GivenUp.Add(1)
		return g.tell(givenUp(false))
	}
	if a.Key != "" {
		g.book.Ask(func(b *idempotency.Book[*Answer]) {
			b.Forget(a.Key, a.Claim)
			b.Begin(time.Since(g.o.Begun), a.Key, a.Claim)
		})
	}
	if !a.Cancelable {
		ctx = context.WithoutCancel(ctx)
	}
	begun := time.Now()
	o := g.exchange(ctx, a, body, rest, begun.Add(left))
	g.Counts.RunMicros.Add(time.Since(begun).Microseconds())
	if o.answer == nil && ctx.Err() != nil {
		g.Counts.Canceled.Add(1)
		o = givenUp(o.Sent)
	}
	o.Held = uint32(held.Milliseconds())
	if o.answer != nil && o.answer.Rest != nil { // its place is free when it has gone on
		end := o.answer.end
		o.answer.end = func(whole bool) {
			if !whole && ctx.Err() != nil {
				g.Counts.Canceled.Add(1)
			}
			end(whole)
			g.exit(a.Rank)
		}
	} else {
		g.exit(a.Rank)
	}
	if a.Key != "" {
		state, size := idempotency.Unknown, 0
		switch {
		case o.Code == errcode.OK && o.answer.Rest == nil:
			state, size = idempotency.Done, o.answer.size()
		case o.Code.NotRun():
			state = idempotency.Void
		}
		g.book.Ask(func(b *idempotency.Book[*Answer]) { b.End(a.Key, a.Claim, state, o.answer, size, "") })
	}
	return g.tell(o)
}

func (g *Gate) tell(o outcome) outcome {
	o.Running, o.Waiting = g.load()
	return o
}

// recallAnswer tells the answer of a key that ran here.
func (g *Gate) recallAnswer(a *ask) outcome {
	g.Counts.Recalls.Add(1)
	var op idempotency.Op[*Answer]
	known := false
	g.book.Ask(func(b *idempotency.Book[*Answer]) { op, known = b.Look(a.Key) })
	if op.State == idempotency.Void { // of one attempt; another under the same claim may be on its way here
		known = false
	}
	return recalled(op, known, a.Claim)
}

// recallHere tells what is known on this machine of a key: by own, where it was claimed here, or else by the backend's side.
func (g *Gate) recallHere(a *ask, own func(*ask) outcome) outcome {
	o := own(a)
	if o.Code == errcode.NotFound {
		if ran := g.recallAnswer(a); ran.Code != errcode.NotFound {
			return ran
		}
	}
	return o
}

// recalled is what is told of an operation.
func recalled(op idempotency.Op[*Answer], known bool, id idempotency.ID) outcome {
	switch {
	case !known || op.ID != id:
		return outcome{told: told{Code: errcode.NotFound}}
	case op.State == idempotency.Done:
		return outcome{told: told{State: idempotency.Done}, answer: op.Answer}
	case op.State == idempotency.AtWork:
		return outcome{told: told{Code: errcode.KeyInProgress, State: op.State}}
	case op.State == idempotency.Void:
		return outcome{told: told{Code: errcode.KeyContended, State: op.State}}
	}
	return outcome{told: told{Code: errcode.KeyOutcomeUnknown, State: op.State}}
}
