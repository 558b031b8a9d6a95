// Package registry implements the service registry of the mesh: it keeps the table of proxies and backends, proposes the
// operator's configuration changes to the voters, and serves both to proxies, which pull what they lack. It keeps nothing on
// disk: after a restart the original sources report their entries again. Start reading at Start.
package registry

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/controlapi"
	"saltmast/internal/errcode"
	"saltmast/internal/lease"
	"saltmast/internal/membership"
	"saltmast/internal/membership/transport"
	"saltmast/internal/messages"
	"saltmast/internal/quorum"
	"saltmast/internal/reconfig"
	"saltmast/internal/rpc"
	"saltmast/internal/sock"
)

// Options configures a Registry.
type Options struct {
	Self            messages.Registry // its own name, RPC address and zone
	StoreAddr       string            // host:port of the store on the same machine
	Seeds           func() []string   // control API addresses of the seed machines, as host:port; only the host is used
	FirstPort       int               // the first of the ephemeral ports
	Incarnation     uint64            // random, nonzero
	ControlListener net.Listener      // control API
	CallListener    net.Listener      // RPCs
	Net             sock.Net          // nil: the system's network
	Membership      *transport.Membership
	Log             func(event, text string)
	ToleratedLosses int                // concurrent voter losses to survive; 0: as many as the initial voter set survives
	LostAfter       time.Duration      // a voter that answers nobody for this long is replaced; 0: DefaultLostAfter
	Tolerance       reconfig.Tolerance // zone and region losses to survive
}

// DefaultLostAfter is the time after which a voter that answers but doesn't serve is replaced: its disk fails, or it finds no
// peer to recover from. It is far longer than a recovery takes.
const DefaultLostAfter = 5 * time.Minute

// Counts holds the counters of a Registry.
type Counts struct {
	Pulls, Updates, Changes, Rejected, Rounds, Preempted, PageSends, VoterChanges atomic.Int64
}

// Registry is one instance of the service registry.
type Registry struct {
	options         Options
	owner           *rpc.Owner[state]
	quorum          *quorum.Client
	server          *rpc.Server
	http            *http.Server
	api             *controlapi.Handler
	Counts          Counts
	closed          chan struct{}
	tasks           sync.WaitGroup
	mu              sync.Mutex    // orders closing and the start of tasks
	voterChangeSlot chan struct{} // holds a token while a voter set change runs
	roundSlot       chan struct{} // holds a token while a consensus round runs: two rounds of one registry would only preempt each other
	settling        atomic.Bool   // a round that settles a pending value runs or waits for its slot
}

// state holds the tables. Only the owner goroutine uses it. Slices are indexed by voter, as in the voter set.
type state struct {
	registry           *Registry
	backends           *backends.Table
	chosenBallot       configuration.Ballot
	chosenSet          configuration.Set
	pages              consensus.PageAssembler      // pages received of a newer chosen set
	highestBallot      configuration.Ballot         // of all ballots seen
	servingAt          []time.Time                  // latest known time at which the voter answered as serving
	answeredAt         []time.Time                  // when it last answered, in any state
	currentAt          []time.Time                  // like servingAt, and it knew of no value that is unknown here
	pendingSince       []time.Time                  // since when it holds an accepted value not known to be chosen; zero: none
	behindCount        []int                        // consecutive answers in which it was behind
	completeUpTo       []configuration.Ballot       // ballot up to which it holds all items, as last reported
	sendingPages       []bool                       // pages are being sent to it from here
	marks              []messages.Mark              // the last mark that it reported
	registries         map[string]messages.Registry // by name
	registriesDigest   uint64                       // digest of registries
	registryLostSince  map[string]time.Time         // by name: since when it has not been seen alive
	pulls              map[string]chan struct{}     // by address; closing the channel ends the pull loop
	refetches          int                          // incremented to pull all entries again from every other registry
	entriesReceived    map[string]bool              // by address: the registry has sent all its entries, or can't be reached
	searched           bool                         // other registries were looked for since the start
	complete           bool                         // all of them have sent their entries, or maxFillTime has passed
	pullers            map[*pullWaiter]struct{}
	notifying          bool // waiting pullers are being answered in batches
	notifyAgain        bool // further changes arrived meanwhile
	replies            replyCache
	started            time.Time
	leases             map[lease.Name]*lease.Lease
	sealedSince        []time.Time          // since when the voter is sealed; zero: it is not
	takeoverDelay      time.Duration        // a voter may be sealed for this long before this registry finishes the change without the lease
	highestVoterBallot configuration.Ballot // the highest ballot seen in the choice of the next voter set
	observedSince      time.Time            // start of the time without a gap in which this voter set has been watched
	voterEpoch         uint64               // epoch of the voter set that the slices belong to
	lastReplacement    time.Time            // when a replacement for a lost voter was last looked for
	lastGrowth         time.Time            // when missing voters were last looked for
}

// pullWaiter is a pull call that may be held until there are updates for it.
type pullWaiter struct {
	call          rpc.Call
	request       messages.PullCall
	arrived       time.Time
	timer         *time.Timer // ends the hold time; nil: the call was answered at once
	untilComplete bool        // also waits until the table is complete
	answered      bool
}

// Start starts a registry and begins to serve.
func Start(o Options) *Registry {
	reg := &Registry{options: o, quorum: quorum.New(o.Net), closed: make(chan struct{}), roundSlot: make(chan struct{}, 1), voterChangeSlot: make(chan struct{}, 1)}
	st := &state{registry: reg, backends: backends.New(), registries: map[string]messages.Registry{}, registryLostSince: map[string]time.Time{},
		pulls: map[string]chan struct{}{}, entriesReceived: map[string]bool{}, pullers: map[*pullWaiter]struct{}{}, started: time.Now(), leases: map[lease.Name]*lease.Lease{}, chosenSet: configuration.Set{}.WithRoutingTable()}
	st.putRegistry(o.Self)
	reg.owner = rpc.StartOwner(st, 1024)
	reg.api = &controlapi.Handler{ChangeConfiguration: reg.handleChange, ReadConfiguration: reg.readConfiguration,
		OnRejected: func(k errcode.Kind, text string) { reg.Counts.Rejected.Add(1); o.Log("refused", text) }}
	reg.http = controlapi.NewServer(reg.api)
	go reg.http.Serve(o.ControlListener)
	reg.server = rpc.Serve(o.CallListener, reg.handle)
	reg.spawn(reg.findVoterSet)
	reg.spawn(reg.discoverPeers)
	return reg
}

// Close shuts the registry down. Control API calls and a voter set change in progress may finish within wait, and leases are
// released: voters sealed by an unfinished change don't serve until it is finished, and another registry may finish it only
// once the lease has ended.
func (reg *Registry) Close(wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	if reg.http.Shutdown(ctx) != nil {
		reg.http.Close()
	}
	select {
	case reg.voterChangeSlot <- struct{}{}: // no further change can start
	case <-ctx.Done():
	}
	reg.mu.Lock()
	close(reg.closed)
	reg.mu.Unlock()
	if wait > 0 {
		reg.releaseLeases()
	}
	reg.server.Close()
	reg.quorum.Close()
	reg.tasks.Wait()
	reg.options.Membership.Leave()
	reg.options.Membership.Close()
	reg.owner.Stop()
}

// spawn runs f in a goroutine that Close waits for, and reports whether it did: once the registry is closed, it does not.
func (reg *Registry) spawn(f func()) bool {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.isClosed() {
		return false
	}
	reg.tasks.Go(f)
	return true
}

func (reg *Registry) isClosed() bool {
	select {
	case <-reg.closed:
		return true
	default:
		return false
	}
}

// sleep waits for d and reports whether the registry is still open.
func (reg *Registry) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-reg.closed:
		return false
	}
}

// Status is a snapshot for the log and the console.
type Status struct {
	Chosen     configuration.Ballot
	Items      int
	Backends   []backends.Backend
	Registries []messages.Registry
	VoterSet   messages.VoterSet
	FreshMs    uint32
}

// Status returns a snapshot of the state.
func (reg *Registry) Status() (s Status) {
	reg.owner.Do(func(st *state) {
		s = Status{Chosen: st.chosenBallot, Items: st.chosenSet.Len(), Backends: st.backends.All(), VoterSet: reg.quorum.VoterSet(), FreshMs: st.majorityContactMs()}
		for _, m := range st.registries {
			s.Registries = append(s.Registries, m)
		}
	})
	return s
}

// ---- Following the voters ----

const (
	watchHold     = 500 * time.Millisecond
	coldWatchHold = 40 * time.Millisecond // while no chosen value is known: all voters may have lost power right after choosing it
	pullHold      = 1000 * time.Millisecond
	callTimeout   = 600 * time.Millisecond // on top of the time for which the peer may hold a call
)

// findVoterSet asks the known stores until one of them reports a voter set, which adoptVoterSet then watches.
func (reg *Registry) findVoterSet() {
	for reg.quorum.VoterSet().Epoch == 0 {
		addrs := []string{reg.options.StoreAddr}
		for _, seed := range reg.options.Seeds() {
			if addr := messages.AddrOnHost(seed, reg.options.FirstPort, messages.StorePort); addr != reg.options.StoreAddr {
				addrs = append(addrs, addr)
			}
		}
		for _, addr := range addrs {
			client := rpc.NewClient(reg.options.Net, addr)
			var reply messages.WatchReply
			if err := client.Call(messages.Watch, messages.WatchCall{}, &reply, callTimeout); err == nil && reply.VoterSet.Epoch > 0 {
				reg.adoptVoterSet(reply.VoterSet)
			}
			client.Close()
		}
		if reg.quorum.VoterSet().Epoch == 0 && !reg.sleep(100*time.Millisecond) {
			return
		}
	}
}

// adoptVoterSet adopts a voter set that is newer than the known one and watches its voters. It must not be called by the owner.
func (reg *Registry) adoptVoterSet(voterSet messages.VoterSet) {
	if voterSet.Epoch == 0 || !reg.quorum.Update(voterSet) {
		return
	}
	reg.options.Log("roll", fmt.Sprintf("epoch %d, %d voters", voterSet.Epoch, len(voterSet.Voters)))
	reg.owner.Do(func(st *state) {
		if reg.quorum.VoterSet().Epoch != voterSet.Epoch {
			return
		}
		st.resetVoterTables(voterSet)
		st.notifyPullers()
	})
	for i := range voterSet.Voters {
		reg.spawn(func() { reg.watchVoter(i, voterSet) })
	}
	if voterSet.Epoch > 1 && voterSet.IndexOf(reg.options.StoreAddr) < 0 {
		reg.spawn(func() { reg.notifyLocalStore(voterSet) })
	}
}

// noVoterSet is the state of a store that knows no voter set and may not create one: it has lost its disk, and its seeds may be
// unreachable.
const noVoterSet = "no roll"

// resetVoterTables clears all slices that are indexed by voter, for another voter set.
func (st *state) resetVoterTables(voterSet messages.VoterSet) {
	n := len(voterSet.Voters)
	st.servingAt, st.pendingSince, st.behindCount, st.sealedSince = make([]time.Time, n), make([]time.Time, n), make([]int, n), make([]time.Time, n)
	st.completeUpTo, st.sendingPages, st.currentAt = make([]configuration.Ballot, n), make([]bool, n), make([]time.Time, n)
	st.marks, st.answeredAt = make([]messages.Mark, n), make([]time.Time, n)
	st.observedSince, st.voterEpoch = time.Now(), voterSet.Epoch
	clear(st.leases)
}

// watchVoter follows the state of one voter by long polling, until the voter set changes.
func (reg *Registry) watchVoter(voter int, voterSet messages.VoterSet) {
	immediate := true // the first call asks for an answer at once
	for !reg.isClosed() {
		client := reg.quorum.VoterClient(voter)
		if client == nil || reg.quorum.VoterSet().Epoch != voterSet.Epoch {
			return
		}
		var call messages.WatchCall
		reg.owner.Do(func(st *state) {
			call = messages.WatchCall{Have: st.pages.CompleteUpTo(st.chosenBallot), HoldMs: uint32(watchHold.Milliseconds()), Epoch: voterSet.Epoch, NotifySealed: true}
			if voter < len(st.sealedSince) && !st.sealedSince[voter].IsZero() { // poll often whether it still is sealed
				call.NotifySealed, call.HoldMs = false, uint32(sealedLimit.Milliseconds())/3
			}
			switch {
			case immediate:
				call.HoldMs = 0
			case st.chosenBallot.IsZero(), voter < len(st.behindCount) && st.behindCount[voter] > 0: // no proxy can be served yet, or the voter needs pages
				call.HoldMs = uint32(coldWatchHold.Milliseconds())
			}
		})
		var reply messages.WatchReply
		asked := time.Now()
		if err := client.Call(messages.Watch, call, &reply, watchHold+callTimeout); err != nil {
			immediate = true
			if !reg.sleep(100 * time.Millisecond) {
				return
			}
			continue
		}
		immediate = false
		if reply.VoterSet.Epoch > voterSet.Epoch {
			reg.adoptVoterSet(reply.VoterSet)
			return
		}
		reg.owner.Do(func(st *state) {
			if reg.quorum.VoterSet().Epoch == voterSet.Epoch {
				st.handleWatchReply(voter, reply, asked.Add(time.Duration(reply.HeldMs)*time.Millisecond))
			}
		})
		if reply.VoterSet.Epoch < voterSet.Epoch && (voterSet.Epoch > 1 || reply.State == noVoterSet) { // it missed the change, or all its seeds are down
			client.Call(messages.AdoptVoters, messages.AdoptVotersCall{VoterSet: voterSet}, nil, adoptTimeout)
		}
		if reply.State != "serving" && !reg.sleep(100*time.Millisecond) {
			return
		}
	}
}

// maxLagBytes is how many bytes a voter may lack before it is sent pages at once. With fewer, it may merely not have
// accepted them yet.
const maxLagBytes = 64 << 10

// pendingLimit is how long an accepted value may remain undecided before a round is run to settle it.
const pendingLimit = 400 * time.Millisecond

// handleWatchReply processes a voter's answer, which it sent no earlier than sentAt. The answer may be read much later: this
// process may have been suspended meanwhile.
func (st *state) handleWatchReply(voter int, w messages.WatchReply, sentAt time.Time) {
	if w.KnownChosen.Less(w.Chosen) { // a store from before paging sends everything at once
		w.KnownChosen, w.UpTo = w.Chosen, w.Chosen
	}
	st.observeBallot(w.Promised)
	st.observeBallot(w.Accepted)
	st.observeBallot(w.KnownChosen)
	now := time.Now()
	later := func(at *time.Time) {
		if sentAt.After(*at) {
			*at = sentAt
		}
	}
	st.trackContact(now) // before this answer ends a gap
	later(&st.answeredAt[voter])
	if w.State != "serving" || w.Origin.Voter != voter {
		return
	}
	later(&st.servingAt[voter])
	if voter < len(w.Origin.Incarnations) {
		st.marks[voter] = messages.Mark{Epoch: w.VoterSet.Epoch, Incarnation: w.Origin.Incarnations[voter], Counter: w.Mark}
	}
	st.trackSealed(voter, w.Sealed, now)
	st.completeUpTo[voter] = w.Chosen
	catchingUp := w.KnownChosen != w.Chosen
	if !catchingUp {
		st.addPage(w.Page())
	}
	// If this holds for a majority, then none of them is sealed or of another epoch, so no later epoch had begun; and none has
	// accepted or knows of a value not known here to be chosen. So everything chosen when the first of them answered is known here.
	if !w.Sealed && w.VoterSet.Epoch == st.registry.quorum.VoterSet().Epoch && !st.chosenBallot.Less(w.Accepted) && !st.chosenBallot.Less(w.KnownChosen) {
		later(&st.currentAt[voter])
	}
	switch {
	case catchingUp, w.Accepted.Less(st.chosenBallot):
		st.behindCount[voter]++
		if (catchingUp || st.behindCount[voter] >= 2 || consensus.ExceedsSize(st.chosenSet, w.Chosen, maxLagBytes)) && st.acquireLease(lease.CatchUp) {
			st.behindCount[voter] = 0
			st.sendMissedPages(voter)
		}
	case w.Accepted == st.chosenBallot && w.Chosen.Less(st.chosenBallot): // it missed that the value it accepted was chosen
		if st.behindCount[voter]++; st.behindCount[voter] >= 2 {
			st.behindCount[voter] = 0
			st.registry.sendChosen(voter, st.chosenBallot)
		}
	default:
		st.behindCount[voter] = 0
	}
	switch {
	case !st.chosenBallot.Less(w.Accepted):
		st.pendingSince[voter] = time.Time{}
	case st.pendingSince[voter].IsZero():
		st.pendingSince[voter] = now
	case now.Sub(st.pendingSince[voter]) > pendingLimit, st.chosenBallot.IsZero() && now.Sub(st.pendingSince[voter]) > rand.N(2*coldWatchHold):
		st.pendingSince[voter] = time.Time{}
		st.registry.startSettling()
	}
}

// startSettling starts a round without changes, which settles a pending value, and reports whether it did: while one runs or
// waits for its slot, no other is needed.
func (reg *Registry) startSettling() bool {
	if !reg.settling.CompareAndSwap(false, true) {
		return false
	}
	go func() {
		defer reg.settling.Store(false)
		reg.propose(context.Background(), consensus.Request{})
	}()
	return true
}

func (st *state) observeBallot(x configuration.Ballot) {
	if st.highestBallot.Less(x) {
		st.highestBallot = x
	}
}

// addPage adds a page of a chosen value to what is known, and applies the value once it is complete.
func (st *state) addPage(page consensus.Page) {
	ballot, set := st.pages.Add(page, st.chosenBallot, st.chosenSet)
	st.setChosen(ballot, set)
}

// acquireLease reports whether this registry holds a lease, and otherwise asks the voters for it in the background. All
// registries see the same work, and the lease lets one of them do it.
func (st *state) acquireLease(name lease.Name) bool {
	now := time.Since(st.started)
	held := st.leases[name]
	if held == nil {
		held = &lease.Lease{}
		st.leases[name] = held
	}
	if held.Held(now) {
		return true
	}
	voterSet := st.registry.quorum.VoterSet()
	if held.Voters = len(voterSet.Voters); rand.IntN(2) > 0 || !held.BeginRenewal(now) {
		return false
	}
	askedAt := held.RequestedAt()
	call := messages.LeaseCall{Name: name, Holder: st.registry.options.Incarnation, Epoch: voterSet.Epoch}
	go func() {
		grants := 0
		request := rpc.Encode(call)
		st.registry.quorum.Broadcast(messages.Lease, func(int) []byte { return request }, phaseTimeout, func(resp quorum.Response) bool {
			var reply messages.LeaseReply
			if resp.Err == nil && rpc.Decode(resp.Body, &reply) == nil && reply.Granted {
				grants++
				st.registry.owner.Send(func(*state) { held.RecordGrant(askedAt, resp.Voter) })
			}
			return false
		})
		if grants < consensus.Majority(len(voterSet.Voters)) { // a minority of grants would only block others
			call.Release = true
			release := rpc.Encode(call)
			st.registry.quorum.Broadcast(messages.Lease, func(int) []byte { return release }, phaseTimeout, func(quorum.Response) bool { return false })
		}
	}()
	return false
}

// releaseLeases releases all leases that this registry holds.
func (reg *Registry) releaseLeases() {
	var held []lease.Name
	reg.owner.Do(func(st *state) {
		for name, l := range st.leases {
			if l.Held(time.Since(st.started)) {
				held = append(held, name)
			}
		}
		clear(st.leases)
	})
	for _, name := range held {
		release := rpc.Encode(messages.LeaseCall{Name: name, Holder: reg.options.Incarnation, Release: true})
		reg.quorum.Broadcast(messages.Lease, func(int) []byte { return release }, releaseTimeout, func(quorum.Response) bool { return false })
	}
}

// sendMissedPages starts to send a voter the pages of the chosen value that it missed. Other registries may do the same
// meanwhile.
func (st *state) sendMissedPages(voter int) {
	reg, client := st.registry, st.registry.quorum.VoterClient(voter)
	if client == nil || st.sendingPages[voter] || st.chosenBallot.IsZero() || reg.isClosed() {
		return
	}
	reg.Counts.PageSends.Add(1)
	sending := st.sendingPages
	sending[voter] = true
	target, value, from, epoch := st.chosenBallot, st.chosenSet, st.completeUpTo[voter], reg.quorum.VoterSet().Epoch
	reg.spawn(func() {
		for sent := 0; from.Less(target) && sent < maxPagesPerSend && !reg.isClosed(); sent++ {
			page := consensus.NewPage(value, target, from)
			var reply messages.AcceptReply
			if client.Call(messages.SendPage, messages.SendPageCall{Page: page, Epoch: epoch}, &reply, phaseTimeout) != nil || !reply.Accepted.Less(target) || reply.Chosen == from {
				break
			}
			from = reply.Chosen
		}
		reg.owner.Send(func(*state) { sending[voter] = false })
	})
}

// maxPagesPerSend bounds the pages sent by one sendMissedPages.
const maxPagesPerSend = 10000

// sendChosen tells a voter that the value it accepted under a ballot was chosen.
func (reg *Registry) sendChosen(voter int, ballot configuration.Ballot) {
	if client := reg.quorum.VoterClient(voter); client != nil {
		client.Go(messages.Learn, rpc.Encode(messages.LearnCall{B: ballot}), func([]byte, error) {})
	}
}

// majorityContactMs is an upper bound, in milliseconds, of the time since everything chosen was known here, as confirmed by
// a majority of the voters.
func (st *state) majorityContactMs() uint32 { return majorityAgeMs(st.currentAt) }

// majorityAgeMs returns the age in milliseconds of the oldest among the latest times that form a majority; messages.Never if
// one of these is zero.
func majorityAgeMs(times []time.Time) uint32 {
	if len(times) == 0 {
		return messages.Never
	}
	sorted := slices.Clone(times)
	slices.SortFunc(sorted, func(x, y time.Time) int { return y.Compare(x) })
	t := sorted[consensus.Majority(len(sorted))-1]
	if t.IsZero() {
		return messages.Never
	}
	return uint32(min(time.Since(t).Milliseconds(), messages.Never))
}

// ---- Serving pulls ----

func (reg *Registry) handle(c rpc.Call) {
	switch c.Kind {
	case messages.Pull:
		var m messages.PullCall
		if err := rpc.Decode(c.Body, &m); err != nil {
			c.Reply(nil, err)
			return
		}
		reg.Counts.Pulls.Add(1)
		reg.owner.Send(func(st *state) { st.handlePull(c, m) })
	case messages.Report:
		reg.handleReport(c)
	case messages.ChangeVoters:
		reg.handleChangeVoters(c)
	case messages.LastMark:
		var m messages.LastMarkCall
		if err := rpc.Decode(c.Body, &m); err != nil {
			c.Reply(nil, err)
			return
		}
		reg.owner.Send(func(st *state) {
			var known messages.Mark
			if at := reg.quorum.VoterSet().IndexOf(m.Addr); at >= 0 && at < len(st.marks) {
				known = st.marks[at]
			}
			c.Reply(known, nil)
		})
	default:
		c.Reply(nil, errcode.New(errcode.UnknownCall, "kind %d", c.Kind))
	}
}

func (st *state) handlePull(call rpc.Call, request messages.PullCall) {
	if request.Self != nil {
		st.registry.options.Membership.RecordContact(request.Self.Addr)
	}
	changed := request.Self != nil && st.backends.Merge(*request.Self)
	for _, backend := range request.Relayed {
		changed = st.backends.Merge(backend) || changed
	}
	if changed {
		st.notifyPullers()
	}
	if request.Registry != nil {
		st.registry.options.Membership.RecordContact(request.Registry.Addr)
		st.addRegistry(*request.Registry)
	}
	waiter := &pullWaiter{call: call, request: request, arrived: time.Now(), untilComplete: request.Registry == nil && !st.complete}
	if request.HoldMs == 0 || st.hasUpdate(waiter) {
		st.answerPull(waiter)
		return
	}
	st.pullers[waiter] = struct{}{}
	waiter.timer = time.AfterFunc(time.Duration(min(request.HoldMs, 5000))*time.Millisecond, func() {
		st.registry.owner.Send(func(st *state) { st.answerPull(waiter) })
	})
}

func (st *state) hasUpdate(waiter *pullWaiter) bool {
	return waiter.request.Incarnation != st.registry.options.Incarnation || waiter.request.Revision != st.backends.Revision() || waiter.request.Have.Less(st.chosenBallot) ||
		waiter.request.Epoch < st.registry.quorum.VoterSet().Epoch || waiter.request.RegistriesDigest != st.registriesDigest || waiter.untilComplete && st.complete
}

func (st *state) buildReply(request messages.PullCall) messages.PullReply {
	reply := messages.PullReply{Incarnation: st.registry.options.Incarnation, FreshMs: st.majorityContactMs(), RegistriesDigest: st.registriesDigest, Partial: !st.complete}
	reply.Fill(request, st.backends, st.chosenBallot, st.chosenSet, configuration.Ballot{})
	reply.Items = configuration.PublicItems(reply.Items)
	if r := st.registry.quorum.VoterSet(); r.Epoch > request.Epoch {
		reply.VoterSet = &r
	}
	if request.RegistriesDigest != st.registriesDigest {
		for _, x := range st.registries {
			reply.Registries = append(reply.Registries, x)
		}
	}
	return reply
}

func (st *state) answerPull(waiter *pullWaiter) {
	if waiter.answered {
		return
	}
	waiter.answered = true
	if waiter.timer != nil {
		waiter.timer.Stop()
	}
	delete(st.pullers, waiter)
	reply := st.encodeReply(waiter.request, time.Since(waiter.arrived))
	if reply.hasContent {
		st.registry.Counts.Updates.Add(1)
	}
	waiter.call.Reply(reply.body, nil)
}

// replyCache holds the pull replies for one version of the state, each encoded once for all callers that lack the same.
type replyCache struct {
	created time.Time
	current replyKey // the key of a caller that lacks nothing
	replies map[replyKey]encodedReply
	bytes   int
}

// replyKey is what a reply depends on besides the state.
type replyKey struct {
	revision         uint64
	have             configuration.Ballot
	cursor           messages.Cursor
	epoch            uint64
	registriesDigest uint64
	held             time.Duration
	complete         bool
}

type encodedReply struct {
	body       rpc.Encoded
	hasContent bool // it has backends or items
}

const (
	cacheLifetime      = 50 * time.Millisecond // lifetime of a cache, and the most by which a reply is older than it says
	maxCacheBytes      = 4 << 20               // size at which a cache is dropped
	cacheEntryOverhead = 256                   // added to the size of each body
)

// encodeReply returns the encoded reply to a call that was held for some time. Its times are bounds: FreshMs is up to a
// cacheLifetime too high, HeldMs too low.
func (st *state) encodeReply(request messages.PullCall, held time.Duration) encodedReply {
	now, current := time.Now(), replyKey{revision: st.backends.Revision(), have: st.chosenBallot, epoch: st.registry.quorum.VoterSet().Epoch, registriesDigest: st.registriesDigest, complete: st.complete}
	if cache := &st.replies; cache.current != current || now.Sub(cache.created) >= cacheLifetime || cache.bytes > maxCacheBytes {
		*cache = replyCache{created: now, current: current, replies: map[replyKey]encodedReply{}}
	}
	key := replyKey{revision: request.Revision, have: request.Have, epoch: request.Epoch, registriesDigest: request.RegistriesDigest, held: held.Truncate(cacheLifetime)}
	if request.Incarnation != st.registry.options.Incarnation && request.Revision != messages.SkipBackends {
		key.revision = 0
	} else if request.Cursor != nil {
		key.cursor = *request.Cursor
	}
	encoded, ok := st.replies.replies[key]
	if !ok {
		reply := st.buildReply(request)
		reply.FreshMs = min(reply.FreshMs+uint32(cacheLifetime.Milliseconds()), messages.Never)
		reply.HeldMs = uint32(key.held.Milliseconds())
		encoded = encodedReply{rpc.Encode(reply), len(reply.Backends)+len(reply.Items) > 0}
		st.replies.replies[key] = encoded
		st.replies.bytes += len(encoded.body) + cacheEntryOverhead
	}
	return encoded
}

// notifyBatch is how many pullers are answered in one command of the owner, so that calls, watches and rounds run in between.
const notifyBatch = 64

// notifyPullers answers the waiting pullers for which there are updates, many of them in batches.
func (st *state) notifyPullers() {
	switch {
	case len(st.pullers) <= notifyBatch:
		st.answerWaiting(slices.Collect(maps.Keys(st.pullers)))
	case st.notifying:
		st.notifyAgain = true
	default:
		st.notifying = st.registry.spawn(st.registry.notifyInBatches)
	}
}

func (st *state) answerWaiting(waiters []*pullWaiter) {
	for _, waiter := range waiters {
		if !waiter.answered && st.hasUpdate(waiter) {
			st.answerPull(waiter)
		}
	}
}

// notifyInBatches answers all waiting pullers for which there are updates, one batch at a time, until no more changes arrive.
func (reg *Registry) notifyInBatches() {
	var all []*pullWaiter
	for more := true; more; {
		more = false // also ends the loop if the owner has stopped
		reg.owner.Do(func(st *state) {
			if len(all) == 0 {
				st.notifyAgain, all = false, slices.Collect(maps.Keys(st.pullers))
			}
			n := min(notifyBatch, len(all))
			st.answerWaiting(all[:n])
			all = all[n:]
			more = len(all) > 0 || st.notifyAgain
			st.notifying = more
		})
	}
}

// ---- Other registries ----

// maxRegistries bounds the known registries.
const maxRegistries = 64

// addRegistry records a registry and starts to pull from it.
func (st *state) addRegistry(m messages.Registry) {
	if m.Addr == "" || m.Name == "" {
		return
	}
	if old, ok := st.registries[m.Name]; !ok && len(st.registries) < maxRegistries || ok && old != m && m.Name != st.registry.options.Self.Name {
		st.putRegistry(m)
	}
	st.startPulling(m.Addr)
}

// addReportedRegistry adds a registry that another one reported, unless it is known to be dead or to have left.
func (st *state) addReportedRegistry(m messages.Registry) {
	if s := st.registry.options.Membership.State(m.Addr); s != membership.Dead && s != membership.Left {
		st.addRegistry(m)
	}
}

func (st *state) putRegistry(m messages.Registry) {
	st.registries[m.Name] = m
	st.registriesChanged()
}

// registriesChanged updates the digest of the list of registries and notifies pullers.
func (st *state) registriesChanged() {
	st.registriesDigest = messages.RegistriesDigest(slices.Collect(maps.Values(st.registries)))
	st.notifyPullers()
}

func (st *state) startPulling(addr string) {
	if addr == st.registry.options.Self.Addr || st.pulls[addr] != nil || len(st.pulls) >= maxRegistries {
		return
	}
	end := make(chan struct{})
	st.pulls[addr] = end
	delete(st.entriesReceived, addr)
	st.registry.spawn(func() { st.registry.pullFrom(addr, end) })
}

const (
	discoveryInterval   = time.Second
	silentVoterInterval = 200 * time.Millisecond // while a voter does not answer
)

// looksPerSweep is the number of discovery intervals between two removals of machines that are gone.
const looksPerSweep = 10

// discoverPeers periodically looks for other registries among the seeds and members, which may change, and maintains the
// voter set.
func (reg *Registry) discoverPeers() {
	started := time.Now()
	for n := 1; ; n++ {
		var seeds []string
		for _, s := range reg.options.Seeds() {
			seeds = append(seeds, messages.AddrOnHost(s, reg.options.FirstPort, messages.RegistryPort))
		}
		soon := false
		reg.owner.Do(func(st *state) {
			for _, addr := range seeds {
				st.startPulling(addr)
			}
			for _, p := range reg.options.Membership.Peers(messages.RoleRegistry) {
				if p.State == membership.Alive {
					st.addRegistry(messages.Registry{Name: p.Node, Addr: p.Addr, Zone: p.Zone})
				}
			}
			st.updateComplete(true)
			soon = st.maintainVoters(time.Now())
			if n%looksPerSweep == 0 {
				st.forgetGone(time.Now(), time.Since(started), seeds)
			}
		})
		for end := time.Now().Add(discoveryInterval * 3 / 4); ; { // randomized: registries that ask for a lease at the same moment split the votes
			wait := time.Until(end) + rand.N(discoveryInterval/4)
			if soon {
				wait = silentVoterInterval*3/4 + rand.N(silentVoterInterval/2)
			}
			if !reg.sleep(wait) {
				return
			}
			if !soon || time.Now().After(end) {
				break
			}
			reg.owner.Do(func(st *state) { soon = st.maintainVoters(time.Now()) })
		}
	}
}

// forgetGone removes entries of machines that have long been gone. It does so only while this registry hears a majority and
// other members: when partitioned, it cannot tell who is gone.
func (st *state) forgetGone(now time.Time, uptime time.Duration, seeds []string) {
	members := st.registry.options.Membership
	if st.backends.HasDropped(members.AliveNodes(messages.RoleProxy)) {
		st.refetches++
	}
	if members.IsAlone() || st.majorityContactMs() > maxContactAgeMs {
		clear(st.registryLostSince)
		return
	}
	if gone := st.backends.Sweep(uptime, transport.ForgetAfter, func(x backends.Backend) bool { return members.IsLive(x.Addr) }); len(gone) > 0 {
		st.registry.options.Log("gone", strings.Join(gone, " "))
	}
	removed := false
	for name, m := range st.registries {
		switch at, ok := st.registryLostSince[name]; {
		case name == st.registry.options.Self.Name || members.IsLive(m.Addr):
			delete(st.registryLostSince, name)
		case !ok:
			st.registryLostSince[name] = now
		case now.Sub(at) >= transport.ForgetAfter:
			delete(st.registryLostSince, name)
			delete(st.registries, name)
			removed = true
			st.registry.options.Log("gone", name)
		}
	}
	if removed {
		st.registriesChanged()
	}
	wanted := map[string]bool{}
	for _, m := range st.registries {
		wanted[m.Addr] = true
	}
	for addr, end := range st.pulls {
		if !wanted[addr] && !slices.Contains(seeds, addr) {
			close(end)
			delete(st.pulls, addr)
		}
	}
}

// markEntriesReceived records that another registry has sent all its entries, or can't be reached.
func (st *state) markEntriesReceived(addr string) {
	st.entriesReceived[addr] = true
	st.updateComplete(false)
}

// maxFillTime is how long a starting registry waits for the entries of others.
const maxFillTime = 2 * time.Second

// updateComplete checks whether all known registries have sent their entries since the start. Until then no proxy becomes ready
// by this registry. Unreachable ones don't count; registries that start at the same time each send what they have. searched
// says that other registries were looked for.
func (st *state) updateComplete(searched bool) {
	if st.complete {
		return
	}
	st.searched = st.searched || searched
	complete := st.searched
	for addr := range st.pulls {
		complete = complete && st.entriesReceived[addr]
	}
	if st.complete = complete || time.Since(st.started) >= maxFillTime; st.complete {
		st.notifyPullers()
	}
}

// pullFrom pulls the backends of another registry until end is closed.
func (reg *Registry) pullFrom(addr string, end chan struct{}) {
	client := rpc.NewClient(reg.options.Net, addr)
	defer client.Close()
	call := messages.PullCall{Registry: &reg.options.Self, HoldMs: uint32(pullHold.Milliseconds()), Have: configuration.Ballot{N: 1 << 62}}
	refetches := 0
	for !reg.isClosed() {
		select {
		case <-end:
			return
		default:
		}
		reg.owner.Do(func(st *state) {
			if refetches != st.refetches {
				refetches, call.Incarnation = st.refetches, 0
			}
		})
		call.Epoch = reg.quorum.VoterSet().Epoch
		var reply messages.PullReply
		if err := client.Call(messages.Pull, call, &reply, pullHold+callTimeout); err != nil {
			if errcode.Of(err) == errcode.Unreachable {
				reg.owner.Do(func(st *state) { st.markEntriesReceived(addr) })
			}
			wait := 250 * time.Millisecond
			if s := reg.options.Membership.State(addr); s == membership.Dead || s == membership.Left {
				wait = time.Second
			}
			if !reg.sleep(wait) {
				return
			}
			continue
		}
		reg.options.Membership.RecordContact(addr)
		call.Incarnation, call.Revision, call.RegistriesDigest = reply.Incarnation, reply.Revision, reply.RegistriesDigest
		if reply.VoterSet != nil {
			reg.adoptVoterSet(*reply.VoterSet)
		}
		reg.owner.Do(func(st *state) {
			changed := false
			for _, backend := range reply.Backends {
				changed = st.backends.Merge(backend) || changed
			}
			for _, m := range reply.Registries {
				st.addReportedRegistry(m)
			}
			if !reply.MoreBackends {
				st.markEntriesReceived(addr)
			}
			if changed {
				st.notifyPullers()
			}
		})
	}
}

// ---- Configuration changes ----

const (
	changeTimeout  = 850 * time.Millisecond // callers treat a second without an answer as a failure
	phaseTimeout   = 350 * time.Millisecond
	releaseTimeout = 100 * time.Millisecond
)

// handleChange decodes, checks and proposes one configuration change.
func (reg *Registry) handleChange(ctx context.Context, body []byte) error {
	reg.Counts.Changes.Add(1)
	call, err := configuration.DecodeCall(body)
	if err != nil {
		return errcode.New(errcode.InvalidConfiguration, "%w", err)
	}
	if err := call.Check(); err != nil {
		return errcode.New(errcode.InvalidConfiguration, "%w", err)
	}
	if !consensus.FitsDelta(call.Items) {
		return errcode.New(errcode.BodyTooLarge, "%d items, which are over %d bytes", len(call.Items), consensus.DeltaMax)
	}
	var o consensus.Request
	reg.owner.Do(func(st *state) { o = consensus.NewRequest(call.Items, st.chosenSet) })
	err = reg.propose(ctx, o)
	reg.options.Log("change", fmt.Sprintf("%d items: %v", len(call.Items), resultText(err)))
	return err
}

func resultText(err error) string {
	if err == nil {
		return "taken"
	}
	return err.Error()
}

// readConfiguration returns the current configuration after a round without changes has confirmed it.
func (reg *Registry) readConfiguration(ctx context.Context) ([]byte, error) {
	if err := reg.propose(ctx, consensus.Request{}); err != nil {
		return nil, err
	}
	var s configuration.Set
	reg.owner.Do(func(st *state) { s = st.chosenSet })
	return s.Encode(), nil
}

// propose runs rounds until the order is chosen, was chosen already, or is refused. It stops when the caller has gone: a caller
// without an answer sends the order again, and a copy left behind could only take effect when it is no longer wanted.
func (reg *Registry) propose(ctx context.Context, order consensus.Request) error {
	end := time.Now().Add(changeTimeout)
	if !reg.acquireRound(end) {
		return errcode.New(errcode.HigherBallot, "by other calls here")
	}
	defer func() { <-reg.roundSlot }()
	for {
		err := reg.runRound(ctx, order, end)
		if err == errAbandoned || time.Since(end) > maxLateness { // in the latter case this process was suspended, and the answers may be outdated
			return errAbandoned
		}
		if err == errCutOff {
			return err
		}
		if k := errcode.Of(err); k != errcode.HigherBallot && k != errcode.NoQuorum {
			return err
		}
		reg.Counts.Preempted.Add(1)
		wait := 5*time.Millisecond + rand.N(50*time.Millisecond)
		if ctx.Err() != nil || time.Now().Add(wait+20*time.Millisecond).After(end) {
			return err
		}
		if !reg.sleep(wait) {
			return err
		}
	}
}

// acquireRound waits for the round slot until end and reports whether it got it. A caller that waits longer has gone.
func (reg *Registry) acquireRound(end time.Time) bool {
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	select {
	case reg.roundSlot <- struct{}{}:
		return true
	case <-t.C:
	case <-reg.closed:
	}
	return false
}

// runRound runs one consensus round that proposes the order.
func (reg *Registry) runRound(ctx context.Context, order consensus.Request, end time.Time) error {
	if abandoned(ctx, end) {
		return errAbandoned
	}
	reg.Counts.Rounds.Add(1)
	voterSet := reg.quorum.VoterSet()
	n := len(voterSet.Voters)
	if n == 0 {
		return errcode.New(errcode.NoQuorum, "nobody known that counts")
	}
	if time.Until(end) < minRoundTime {
		return errcode.New(errcode.NoQuorum, "no time is left")
	}
	var servingAgeMs uint32
	var ballot configuration.Ballot
	round := consensus.Round{Voters: n}
	reg.owner.Do(func(st *state) {
		ballot = configuration.Ballot{N: st.highestBallot.N + 1, Proposer: uint32(reg.options.Incarnation)}
		st.observeBallot(ballot)
		round.HeldBallot, round.HeldValue = st.chosenBallot, st.chosenSet
		servingAgeMs = majorityAgeMs(st.servingAt)
	})
	if servingAgeMs > maxContactAgeMs && servingAgeMs != messages.Never { // let the caller try another registry at once: a round would hold it to the end
		return errCutOff
	}
	var base configuration.Set
	var baseBallot configuration.Ballot
	var baseChosen, ok bool
	promises := make(map[int]consensus.Promise, n) // by voter, without items
	prepare := rpc.Encode(messages.PrepareCall{B: ballot, Epoch: voterSet.Epoch, Have: round.HeldBallot})
	ph := phase{voters: n}
	err := reg.quorum.Broadcast(messages.Prepare, func(int) []byte { return prepare }, min(phaseTimeout, time.Until(end)), func(resp quorum.Response) bool {
		var promise consensus.Promise
		if resp.Err != nil || rpc.Decode(resp.Body, &promise) != nil {
			return ph.addFailure(resp.Err)
		}
		round.Add(promise)
		if !promise.Granted {
			return ph.addRejection()
		}
		promise.Items = nil
		promises[resp.Voter] = promise
		base, baseBallot, baseChosen, ok = round.Base()
		return ok
	})
	if ballot.Less(round.HighestSeen) {
		reg.owner.Do(func(st *state) { st.observeBallot(round.HighestSeen) })
	}
	switch {
	case ok:
	case round.NoBaseReason != "":
		return errcode.New(errcode.NoQuorum, "%s", round.NoBaseReason)
	case ballot.Less(round.HighestSeen):
		return errcode.New(errcode.HigherBallot, "")
	default:
		return quorumError(err)
	}
	// An order may arrive long after it was sent, after a partition or suspension: its sender has given up, and other registries
	// may have refused it since. By now the closing of the caller's connection has been noticed.
	if abandoned(ctx, end) {
		return errAbandoned
	}
	if baseChosen {
		reg.owner.Do(func(st *state) { st.setChosen(baseBallot, base) })
	}
	outcome := order.Apply(base, ballot, func(next configuration.Set) error {
		// A base that is already invalid, from two concurrent calls that were each valid, must not block other calls.
		if err := next.Check(); err != nil && base.Check() == nil {
			return err
		}
		return nil
	})
	if baseChosen && len(outcome.Changes) == 0 {
		return verdictError(outcome)
	}
	leftoverFirst := false // the value left by an earlier round goes first: both together exceed what a voter keeps besides its base
	if !baseChosen && len(outcome.Changes) > 0 && consensus.ExceedsSize(outcome.Next, round.HeldBallot, consensus.DeltaMax) {
		leftoverFirst, outcome.Next = true, base
	}
	if err := reg.acceptValue(ballot, baseBallot, baseChosen && !leftoverFirst, outcome.Next, promises, voterSet, end); err != nil {
		return err
	}
	if leftoverFirst {
		return errcode.New(errcode.HigherBallot, "by what was left")
	}
	return verdictError(outcome)
}

// verdictError is the answer to an order after its outcome was chosen: before that, a refusal would be a guess.
func verdictError(o consensus.Outcome) error {
	switch o.Verdict {
	case consensus.Conflicting:
		return errcode.New(errcode.VersionConflict, "%s", o.Key)
	case consensus.Invalid:
		return errcode.New(errcode.InvalidConfiguration, "%w", o.Err)
	case consensus.Indeterminate:
		return errcode.New(errcode.OutcomeUnknown, "%s", o.Key)
	}
	return nil
}

// abandoned reports whether the caller of a call has gone or its time is over.
func abandoned(ctx context.Context, end time.Time) bool {
	return ctx.Err() != nil || !time.Now().Before(end)
}

// maxLateness is how long after its end the result of a round still counts.
const maxLateness = 100 * time.Millisecond

var errCutOff = errcode.New(errcode.NoQuorum, "no majority heard for 3 s")

var errAbandoned = errcode.New(errcode.NoQuorum, "its time is over, or its caller has gone")

// minRoundTime is the least remaining time for which a round is started.
const minRoundTime = 10 * time.Millisecond

// phase counts the voters that failed or rejected one phase of a round. The phase ends early once a majority can no longer
// succeed because of voters whose epoch has ended, or of voters of which some rejected it: waiting for a silent voter would only
// delay the next round. Unreachable voters alone don't end it, as a new round would learn nothing from them.
type phase struct{ voters, failures, epochsEnded, rejections int }

func (p *phase) cannotSucceed() bool {
	most := p.voters - consensus.Majority(p.voters)
	return p.epochsEnded > most || p.rejections > 0 && p.failures > most
}

// addFailure counts a voter that failed with an error, and reports whether the phase cannot succeed.
func (p *phase) addFailure(err error) bool {
	p.failures++
	if errcode.Of(err) == errcode.NotFound {
		p.epochsEnded++
	}
	return p.cannotSucceed()
}

// addRejection counts a voter that has promised a higher ballot, or lacks the base that it is sent changes to, and reports
// whether the phase cannot succeed.
func (p *phase) addRejection() bool {
	p.failures++
	p.rejections++
	return p.cannotSucceed()
}

func quorumError(err error) error {
	if err == nil {
		return errcode.New(errcode.NoQuorum, "the epoch has ended")
	}
	return err
}

// acceptValue has a majority accept a value, and then applies it here. Each voter is sent the changes that it lacks, as far as
// known; one that lacks more than it may keep besides its base is sent pages first and takes no part. baseChosen says that the
// value of baseBallot is chosen.
func (reg *Registry) acceptValue(ballot, baseBallot configuration.Ballot, baseChosen bool, next configuration.Set, promises map[int]consensus.Promise, voterSet messages.VoterSet, end time.Time) error {
	n := len(voterSet.Voters)
	completeUpTo := make([]configuration.Ballot, n)
	reg.owner.Do(func(st *state) { copy(completeUpTo, st.completeUpTo) })
	bodies := map[configuration.Ballot][]byte{}
	var lagging []int
	for i := range completeUpTo {
		if p, ok := promises[i]; ok {
			if completeUpTo[i] = p.Chosen; baseChosen && p.Accepted == baseBallot && p.Chosen.Less(baseBallot) {
				reg.sendChosen(i, baseBallot) // arrives before the accept call
				completeUpTo[i] = baseBallot
			}
		}
		if _, ok := bodies[completeUpTo[i]]; ok {
			continue
		}
		bodies[completeUpTo[i]] = nil
		if !consensus.ExceedsSize(next, completeUpTo[i], consensus.DeltaMax) {
			bodies[completeUpTo[i]] = rpc.Encode(messages.AcceptCall{B: ballot, Base: completeUpTo[i], Changes: consensus.ChangedSince(next, completeUpTo[i]), Epoch: voterSet.Epoch})
		}
	}
	for i := range completeUpTo {
		if bodies[completeUpTo[i]] == nil {
			lagging = append(lagging, i)
		}
	}
	ready := len(promises)
	for _, i := range lagging {
		if _, ok := promises[i]; ok {
			ready--
		}
	}
	if ready < consensus.Majority(n) { // counts those that answered; other lagging voters are found by watchVoter
		reg.owner.Do(func(st *state) {
			for _, i := range lagging {
				if _, ok := promises[i]; ok && reg.quorum.VoterSet().Epoch == voterSet.Epoch {
					st.completeUpTo[i] = completeUpTo[i]
					st.sendMissedPages(i)
				}
			}
		})
	}
	if n-len(lagging) < consensus.Majority(n) {
		return errcode.New(errcode.NoQuorum, "%d of %d catch up", len(lagging), n)
	}
	var origins []consensus.Origin
	var highest configuration.Ballot
	accepted, ph := false, phase{voters: n}
	err := reg.quorum.Broadcast(messages.Accept, func(voter int) []byte {
		return bodies[completeUpTo[voter]]
	}, min(phaseTimeout, time.Until(end)), func(resp quorum.Response) bool {
		var reply messages.AcceptReply
		if resp.Err != nil || rpc.Decode(resp.Body, &reply) != nil {
			return ph.addFailure(resp.Err)
		}
		if !reply.OK {
			if highest.Less(reply.Promised) {
				highest = reply.Promised
			}
			return ph.addRejection()
		}
		origins = append(origins, reply.Origin)
		accepted = len(consensus.Countable(origins)) >= consensus.Majority(n)
		return accepted
	})
	if !accepted {
		if ballot.Less(highest) {
			reg.owner.Do(func(st *state) { st.observeBallot(highest) })
			return errcode.New(errcode.HigherBallot, "")
		}
		if err == nil && ph.rejections > 0 {
			return errcode.New(errcode.HigherBallot, "by what a member lacks")
		}
		return quorumError(err)
	}
	reg.owner.Do(func(st *state) { st.setChosen(ballot, next) })
	for i := range voterSet.Voters {
		reg.sendChosen(i, ballot)
	}
	return nil
}

// setChosen applies a complete chosen value if it is newer than the current one.
func (st *state) setChosen(chosen configuration.Ballot, s configuration.Set) {
	if st.chosenBallot.Less(chosen) {
		st.chosenBallot, st.chosenSet = chosen, s
		st.notifyPullers()
	}
}
