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

// Inbound is the inbound side of a proxy: the only one that talks to the local backend. It knows the backend's current
// instance, whether that is draining, and all its requests in flight. It rejects requests that the backend should not
// get, which proves to the caller that they did not run.
type Inbound struct {
	options     Options
	pool        *links.Pool
	operations  *rpc.Owner[idempotency.Cache[*Response]]
	pacer       *pacing.Pacer       // paces what is sent to other proxies
	disconnects *disconnect.Watcher // watches the connections of other proxies with a request in progress

	lastPeerIP atomic.Pointer[string]

	mu                sync.Mutex
	backend           backends.Backend // the entry announced to other proxies
	backendAddr       string           // of the backend
	heartbeatCount    uint64           // of the newest heartbeat
	lastHeartbeat     time.Time
	lastCheck         time.Time // when CheckHeartbeat last ran
	warmUntil         time.Time
	running           int
	runningByPriority [5]int // of running: by priority, the last for all higher numbers
	queue             waitQueue
	lastOrder         int
	reservations      [4]reservation         // places reserved for each priority, not available to lower ones
	endedInstances    []string               // instances that have ended
	onChange          func(backends.Backend) // called on each change of backend
	peerConns         map[*reusableConn]bool // connections of other proxies
	withdrawn         bool

	Counts InboundCounts
}

// InboundCounts are the counters of the inbound side.
type InboundCounts struct {
	Requests, Sent, Full, Leaving, WrongInstance, Unreachable, Declined, Failed, Broken, TimedOut, Unmatched, Abandoned, Lookups atomic.Int64

	QueueMicros, RunMicros atomic.Int64 // time that requests waited for a place, rejected ones included; time of runs up to the first 64 KiB of their responses

	Canceled atomic.Int64 // runs that were canceled because nobody waited for their responses
}

func newInbound(o Options, pacer *pacing.Pacer) *Inbound {
	ib := &Inbound{options: o, pacer: pacer, pool: links.New(backendIdleTimeout, backendDialTimeout, 0), disconnects: disconnect.New(disconnect.Interval), peerConns: map[*reusableConn]bool{},
		backend: backends.Backend{Node: o.Node, Addr: o.InboundAddr, Zone: o.Zone, Incarnation: o.Incarnation, Version: 1, Service: o.Service}}
	ib.pool.Net = sock.On(o.Net)
	ib.operations = rpc.StartOwner(idempotency.NewCache[*Response](o.OperationWindow, o.ResponseBytes/2), 256)
	return ib
}

// Backend returns the entry announced for the local backend.
func (ib *Inbound) Backend() backends.Backend {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	return ib.currentBackend()
}

func (ib *Inbound) currentBackend() backends.Backend {
	b := ib.backend
	b.WarmMs = uint32(max(0, time.Until(ib.warmUntil).Milliseconds()))
	return b
}

// updateBackend changes the announced entry and raises its version. The caller holds ib.mu.
func (ib *Inbound) updateBackend(f func(b *backends.Backend)) {
	f(&ib.backend)
	ib.backend.Version++
	if ib.onChange != nil {
		ib.onChange(ib.currentBackend())
	}
}

// Refute raises the version above that of a conflicting entry that was announced for this node by a former process.
func (ib *Inbound) Refute(other backends.Backend) {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	if other.Incarnation != ib.backend.Incarnation && other.Version >= ib.backend.Version {
		ib.updateBackend(func(b *backends.Backend) { b.Version = other.Version })
	}
}

// Heartbeat handles a heartbeat of the backend. A late one, or one of an instance that has ended, has no effect.
func (ib *Inbound) Heartbeat(beat controlapi.Heartbeat) error {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	same := beat.ID == ib.backend.Instance
	if ib.withdrawn || slices.Contains(ib.endedInstances, beat.ID) || same && beat.Sequence < ib.heartbeatCount {
		return nil
	}
	ib.lastHeartbeat = time.Now()
	if beat.Addr != "" && ib.options.App == "" {
		ib.backendAddr = beat.Addr
	}
	beat.Capacity = max(1, beat.Capacity)
	if same && beat.Sequence == ib.heartbeatCount && ib.backend.State != backends.None { // duplicate
		return nil
	}
	ib.heartbeatCount = beat.Sequence
	ib.warmUntil = ib.lastHeartbeat.Add(beat.WarmupLeft)
	if same && ib.backend.State == beat.State && ib.backend.Capacity == beat.Capacity {
		return nil
	}
	if !same && ib.backend.Instance != "" {
		ib.pool.Retire(ib.backend.Instance)
		ib.rememberEnded(ib.backend.Instance)
		ib.rejectQueued() // queued requests are meant for the old instance
	}
	ib.updateBackend(func(b *backends.Backend) {
		b.Instance, b.Service, b.Release, b.Capacity, b.State = beat.ID, beat.Service, beat.Version, beat.Capacity, beat.State
	})
	ib.options.Log("backend", fmt.Sprintf("%s of %s: %s, capacity %d", beat.ID, beat.Service, beat.State, beat.Capacity))
	if beat.State != backends.Serving { // a draining backend gets no more requests, not even those queued before
		ib.rejectQueued()
	}
	ib.admit()
	return nil
}

// maxEndedInstances bounds the ended instances that are remembered.
const maxEndedInstances = 16

// rememberEnded records that an instance has ended. The caller holds ib.mu.
func (ib *Inbound) rememberEnded(id string) {
	if ib.endedInstances = append(ib.endedInstances, id); len(ib.endedInstances) > maxEndedInstances {
		ib.endedInstances = slices.Delete(ib.endedInstances, 0, 1)
	}
}

// Deregister records that the backend has ended.
func (ib *Inbound) Deregister(id string) error {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	if !slices.Contains(ib.endedInstances, id) {
		ib.rememberEnded(id)
	}
	if id == ib.backend.Instance && ib.backend.State != backends.None {
		ib.updateBackend(func(b *backends.Backend) { b.State = backends.None })
		ib.options.Log("backend", id+": ended")
		ib.rejectQueued()
	}
	return nil
}

// HeartbeatCheckInterval is how often a proxy checks for missed heartbeats.
const HeartbeatCheckInterval = 500 * time.Millisecond

// CheckHeartbeat marks the backend as gone if heartbeats are missing. Time during which this process was suspended
// doesn't count, as heartbeats that arrived meanwhile may still be unread.
func (ib *Inbound) CheckHeartbeat(now time.Time) {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	if suspended := now.Sub(ib.lastCheck) - HeartbeatCheckInterval; !ib.lastCheck.IsZero() && suspended > HeartbeatCheckInterval {
		if ib.lastHeartbeat = ib.lastHeartbeat.Add(suspended); ib.lastHeartbeat.After(now) {
			ib.lastHeartbeat = now
		}
	}
	ib.lastCheck = now
	if ib.backend.State != backends.None && now.Sub(ib.lastHeartbeat) > 4*ib.options.Heartbeat {
		ib.updateBackend(func(b *backends.Backend) { b.State = backends.None })
		ib.options.Log("backend", ib.backend.Instance+": says nothing more")
		ib.rejectQueued()
	}
}

// Withdraw announces that this proxy accepts no more requests for its backend.
func (ib *Inbound) Withdraw() {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	ib.withdrawn = true
	ib.updateBackend(func(b *backends.Backend) { b.State = backends.None })
	ib.rejectQueued()
}

// connectionRefused records that the backend refuses connections. Its next heartbeat shows that it is back.
func (ib *Inbound) connectionRefused(id string) {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	if ib.backend.Instance == id && ib.backend.State == backends.Serving {
		ib.updateBackend(func(b *backends.Backend) { b.State = backends.None })
		ib.options.Log("backend", id+": refuses connections")
		ib.rejectQueued()
	}
}

// OnChange registers a function that is called on each change of the announced entry. f must not call the Inbound.
func (ib *Inbound) OnChange(f func(backends.Backend)) {
	ib.mu.Lock()
	defer ib.mu.Unlock()
	ib.onChange = f
}

// execute runs a request at the backend at most once. rest follows body. After ctx is canceled nothing is sent to the
// backend, and a cancelable run is aborted; any other continues to its end.
func (ib *Inbound) execute(ctx context.Context, a *peerRequest, body []byte, rest io.Reader) outcome {
	ib.Counts.Requests.Add(1)
	arrived := time.Now()
	k := ib.acquire(ctx, a)
	queued := time.Since(arrived)
	ib.Counts.QueueMicros.Add(queued.Microseconds())
	if k != errcode.OK {
		switch k {
		case errcode.ClientDisconnected:
			ib.Counts.Abandoned.Add(1)
		case errcode.Overloaded:
			ib.Counts.Full.Add(1)
		case errcode.BackendReplaced:
			ib.Counts.WrongInstance.Add(1)
		default:
			ib.Counts.Leaving.Add(1)
		}
		return ib.withLoad(outcome{peerResponse: peerResponse{Code: k}})
	}
	remaining := time.Duration(a.RemainingMs)*time.Millisecond - queued
	if remaining <= 0 {
		ib.release(a.Priority)
		return ib.withLoad(outcome{peerResponse: peerResponse{Code: errcode.DeadlinePassed}})
	}
	if ctx.Err() != nil || a.abandoned != nil && a.abandoned() {
		ib.release(a.Priority)
		ib.Counts.Abandoned.Add(1)
		return ib.withLoad(abandonedOutcome(false))
	}
	if a.Key != "" {
		ib.operations.Do(func(b *idempotency.Cache[*Response]) {
			b.Forget(a.Key, a.Claim)
			b.Begin(time.Since(ib.options.Started), a.Key, a.Claim)
		})
	}
	if !a.Cancelable {
		ctx = context.WithoutCancel(ctx)
	}
	started := time.Now()
	o := ib.exchange(ctx, a, body, rest, started.Add(remaining))
	ib.Counts.RunMicros.Add(time.Since(started).Microseconds())
	if o.response == nil && ctx.Err() != nil {
		ib.Counts.Canceled.Add(1)
		o = abandonedOutcome(o.Sent)
	}
	o.QueuedMs = uint32(queued.Milliseconds())
	if o.response != nil && o.response.Stream != nil { // the place is released when the streamed response ends
		onClose := o.response.onClose
		o.response.onClose = func(complete bool) {
			if !complete && ctx.Err() != nil {
				ib.Counts.Canceled.Add(1)
			}
			onClose(complete)
			ib.release(a.Priority)
		}
	} else {
		ib.release(a.Priority)
	}
	if a.Key != "" {
		state, size := idempotency.Unknown, 0
		switch {
		case o.Code == errcode.OK && o.response.Stream == nil:
			state, size = idempotency.Done, o.response.size()
		case o.Code.NotRun():
			state = idempotency.NotExecuted
		}
		ib.operations.Do(func(b *idempotency.Cache[*Response]) { b.Finish(a.Key, a.Claim, state, o.response, size, "") })
	}
	return ib.withLoad(o)
}

func (ib *Inbound) withLoad(o outcome) outcome {
	o.Running, o.Waiting = ib.load()
	return o
}

// lookupResponse returns the response to a key that ran here.
func (ib *Inbound) lookupResponse(a *peerRequest) outcome {
	ib.Counts.Lookups.Add(1)
	var op idempotency.Operation[*Response]
	known := false
	ib.operations.Do(func(b *idempotency.Cache[*Response]) { op, known = b.Lookup(a.Key) })
	if op.State == idempotency.NotExecuted { // void for one attempt only: another under the same claim may be on its way
		known = false
	}
	return operationOutcome(op, known, a.Claim)
}

// lookupOperation returns what is known of a key on this machine: through own if it was claimed here, otherwise from
// the inbound side.
func (ib *Inbound) lookupOperation(a *peerRequest, own func(*peerRequest) outcome) outcome {
	o := own(a)
	if o.Code == errcode.NotFound {
		if stored := ib.lookupResponse(a); stored.Code != errcode.NotFound {
			return stored
		}
	}
	return o
}

// operationOutcome returns the outcome that reports an operation to another proxy.
func operationOutcome(op idempotency.Operation[*Response], known bool, claim idempotency.ID) outcome {
	switch {
	case !known || op.ID != claim:
		return outcome{peerResponse: peerResponse{Code: errcode.NotFound}}
	case op.State == idempotency.Done:
		return outcome{peerResponse: peerResponse{State: idempotency.Done}, response: op.Answer}
	case op.State == idempotency.InProgress:
		return outcome{peerResponse: peerResponse{Code: errcode.KeyInProgress, State: op.State}}
	case op.State == idempotency.NotExecuted:
		return outcome{peerResponse: peerResponse{Code: errcode.KeyContended, State: op.State}}
	}
	return outcome{peerResponse: peerResponse{Code: errcode.KeyOutcomeUnknown, State: op.State}}
}
