// Package proxy implements the sidecar proxy as a program: it receives its backend's heartbeats, pulls updates from a registry, carries
// traffic with package dataplane and answers readiness probes. Start reading at Start.
package proxy

import (
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
	"saltmast/internal/controlapi"
	"saltmast/internal/dataplane"
	"saltmast/internal/errcode"
	"saltmast/internal/membership/transport"
	"saltmast/internal/messages"
	"saltmast/internal/process"
	"saltmast/internal/quorum"
	"saltmast/internal/rpc"
	"saltmast/internal/settings"
	"saltmast/internal/sock"
)

// Proxy is one running proxy.
type Proxy struct {
	settings    atomic.Pointer[settings.Settings]
	log         func(event, text string)
	network     sock.Net
	dataPlane   *dataplane.DataPlane
	quorum      *quorum.Client
	membership  *transport.Membership
	incarnation uint64

	mu           sync.Mutex
	registries   []messages.Registry
	table        *backends.Table
	items        configuration.Set
	chosen       configuration.Ballot
	prunedBallot configuration.Ballot // tombstones up to this ballot are no longer in items
	changed      chan struct{}        // has an element when this proxy has something to report
	lastMajority time.Time            // when the registry behind the latest updates last had contact with a majority
	complete     bool                 // a registry in contact with a majority has sent all that there is
	relayed      []backends.Backend   // entries of proxies that reach no registry, to be passed on
	pullAll      bool                 // the next pull asks for everything: a node whose entry was dropped is back
	sources      sources              // used only by the goroutine of pull
	avoidedSince map[string]time.Time // by registry, when it was left for lack of contact with a majority
	allAsked     bool                 // every known registry was asked: the configuration of one without contact is the best available

	listeners  []net.Listener
	servers    []*http.Server
	stopping   atomic.Bool
	done       chan struct{}
	pulls      atomic.Int64
	proxyPulls atomic.Int64
	lastPull   atomic.Pointer[lastPull]
}

const (
	maxPullHold    = 1000 * time.Millisecond
	pullTimeout    = 500 * time.Millisecond  // beyond the time that a registry may hold a pull
	staleAfterMs   = 1500                    // a registry that has had no contact with a majority for this long is left for another
	avoidFor       = 5 * time.Second         // such a registry is tried after the others for this long; also how long a registry of another zone is used
	contactTimeout = 3000 * time.Millisecond // after which a path without a route may belong to a route that is not known here yet
	// keyMargin is how much longer than the window keys are kept here: operations in progress at its end are not finished.
	keyMargin = 20 * time.Second
)

// Program describes the proxy to package process.
var Program = process.Program{Name: "tug", Description: "The proxy of the mesh: carries the requests of one machine.", FinalCounters: true,
	Start: func(s *settings.Settings, log func(event, text string)) (process.Running, error) {
		return Start(s, log, nil)
	}}

// Start starts a proxy with the given settings. A nil network means the system's.
func Start(s *settings.Settings, log func(event, text string), network sock.Net) (*Proxy, error) {
	network = sock.On(network)
	p := &Proxy{log: log, network: network, quorum: quorum.New(network), incarnation: process.RandomLife(), table: backends.New(), sources: sources{}, avoidedSince: map[string]time.Time{}, items: configuration.Set{}.WithRoutingTable(),
		changed: make(chan struct{}, 1), done: make(chan struct{})}
	p.settings.Store(s)
	listen := func(addr string) (net.Listener, error) {
		if addr == "" {
			return nil, nil
		}
		l, err := network.Listen(addr, 0)
		if err == nil {
			p.listeners = append(p.listeners, l)
		}
		return l, err
	}
	gateAddr := s.Port(messages.InboundPort)
	if gateAddr == "" {
		return nil, fmt.Errorf("%s: %d ephemeral-ports wanted", s.Path, messages.InboundPort+1)
	}
	answerBytes := 24 << 20
	if s.MemoryMB > 0 {
		answerBytes = int(s.MemoryMB * (1 << 20) / 8)
	}
	maxConns := 0
	if s.Descriptors > 0 {
		maxConns = s.Descriptors / 2
	}
	p.dataPlane = dataplane.New(dataplane.Options{Node: s.NodeName, Zone: s.Zone, Service: s.Service, App: s.AppAddr, InboundAddr: gateAddr,
		Incarnation: p.incarnation, Started: time.Now(), Heartbeat: s.Heartbeat, RetryRatio: s.Bounds.RetryRatio, RetryAllowance: s.Bounds.RetryAllowance,
		RetryWindow: s.Bounds.RetryWindow, OperationWindow: s.Bounds.DedupWindow + keyMargin, ResponseBytes: answerBytes, MaxConns: maxConns, LinkMbps: s.BandwidthMbps,
		Net: network, Quorum: p.quorum, HandlePull: p.newsFor, HandleReport: p.report, ConfigurationCurrent: p.hasMajorityContact, Log: log,
		PeerAnswered: func(addr string) { p.membership.RecordContact(addr) }})
	p.dataPlane.Inbound.OnChange(func(b backends.Backend) {
		p.dataPlane.UpdateLocalBackend(b)
		p.notify()
	})
	gate, err := rpc.Listen(network, gateAddr)
	if err != nil {
		return nil, fmt.Errorf("gate: %w", err)
	}
	p.listeners = append(p.listeners, gate)
	outbound, err := listen(s.Listen["outbound"])
	if err != nil || outbound == nil {
		return nil, fmt.Errorf("outbound: %w", missingAddress(err))
	}
	control, err := listen(s.Listen["control-plane"])
	if err != nil {
		return nil, fmt.Errorf("control-plane: %w", err)
	}
	readiness, err := listen(s.Listen["readiness"])
	if err != nil {
		return nil, fmt.Errorf("readiness: %w", err)
	}
	p.membership = transport.Start(s, messages.RoleProxy, messages.ProxyGossipPort, messages.InboundPort, p.incarnation, network, log)
	p.serveHTTP(control, &controlapi.Handler{Heartbeat: p.dataPlane.Inbound.Heartbeat, Leave: p.dataPlane.Inbound.Deregister, OnRejected: p.refused})
	p.serveHTTP(readiness, &controlapi.Handler{Ready: p.ready})
	go p.dataPlane.ServePeers(gate)
	go p.dataPlane.Serve(outbound)
	go p.pull()
	go p.watch()
	return p, nil
}

// missingAddress returns err, or an error about a missing address if err is nil.
func missingAddress(err error) error {
	if err == nil {
		return fmt.Errorf("no address configured")
	}
	return err
}

func (p *Proxy) serveHTTP(l net.Listener, port *controlapi.Handler) {
	if l == nil {
		return
	}
	s := controlapi.NewServer(port)
	p.servers = append(p.servers, s)
	go s.Serve(l)
}

func (p *Proxy) refused(k errcode.Kind, text string) { p.log("refused", text) }

// ready returns nil if clients may connect: the proxy has a configuration and all that a registry had to send.
func (p *Proxy) ready() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.stopping.Load():
		return errcode.New(errcode.Draining, "")
	case !p.dataPlane.Configured() || !p.complete:
		return errcode.New(errcode.NotReady, "")
	}
	return nil
}

// notify makes the next pull go out at once.
func (p *Proxy) notify() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// sweepInterval is how often entries of dead machines are dropped from the table.
const sweepInterval = 10 * time.Second

// watch runs periodic checks and follows changes of the membership.
func (p *Proxy) watch() {
	tick := time.NewTicker(dataplane.HeartbeatCheckInterval)
	defer tick.Stop()
	var changed chan struct{}
	if p.membership != nil {
		changed = p.membership.Changed
	}
	start := time.Now()
	swept := start
	silent := map[string]bool{}
	for {
		select {
		case now := <-tick.C:
			p.dataPlane.Inbound.CheckHeartbeat(now)
			if now.Sub(swept) >= sweepInterval {
				swept = now
				p.sweep(now.Sub(start))
			}
		case <-changed:
		case <-p.done:
			return
		}
		if now := p.membership.Unresponsive(messages.RoleProxy); !maps.Equal(now, silent) {
			silent = now
			p.dataPlane.SetUnresponsive(now)
		}
	}
}

// sweep drops the entries of machines that have been dead for long. It does so only while this proxy is in contact with the registries
// and other proxies: one that is cut off can't tell which machines are dead.
func (p *Proxy) sweep(now time.Duration) {
	alive := p.membership.AliveNodes(messages.RoleProxy)
	node := p.settings.Load().NodeName
	p.mu.Lock()
	var gone []string
	if !p.membership.IsAlone() && time.Since(p.lastMajority) < 2*staleAfterMs*time.Millisecond {
		gone = p.table.Sweep(now, transport.ForgetAfter, func(b backends.Backend) bool { return b.Node == node || p.membership.IsLive(b.Addr) })
	}
	p.pullAll = p.pullAll || p.table.HasDropped(alive)
	p.mu.Unlock()
	if len(gone) > 0 {
		p.dataPlane.RemoveNodes(gone)
		p.log("gone", strings.Join(gone, " "))
	}
}

// candidates returns the registries to pull from: those of this zone first, then the others and the seeds; then those that were left
// lately for lack of contact with a majority; last those that do not answer according to the membership. The membership's registries
// are included because the seeds may all be down while others still probe this proxy. good is the number of candidates before those
// that were left.
func (p *Proxy) candidates() (all []string, good int) {
	s := p.settings.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	var near, far []string
	add := func(addr, zone string) {
		switch {
		case slices.Contains(near, addr) || slices.Contains(far, addr):
		case zone == s.Zone:
			near = append(near, addr)
		default:
			far = append(far, addr)
		}
	}
	for _, m := range p.registries {
		add(m.Addr, m.Zone)
	}
	for _, peer := range p.membership.Peers(messages.RoleRegistry) {
		if peer.State.Live() {
			add(peer.Addr, peer.Zone)
		}
	}
	for _, seed := range s.Seeds {
		add(messages.AddrOnHost(seed, s.Ports[0], messages.RegistryPort), "")
	}
	for _, v := range p.quorum.VoterSet().Voters { // a registry that has just started knows no other one, but knows the voters
		add(messages.AddrOnHost(v.Addr, s.Ports[0], messages.RegistryPort), "")
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	all = append(near, far...)
	silent := p.membership.Unresponsive(messages.RoleRegistry)
	rank := func(addr string) int {
		switch {
		case silent[addr]:
			return 2
		case time.Since(p.avoidedSince[addr]) < avoidFor:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(all, func(a, b string) int { return rank(a) - rank(b) })
	for good < len(all) && rank(all[good]) == 0 {
		good++
	}
	return all, good
}

// hasAlternative reports whether another registry than addr may have contact with a majority.
func (p *Proxy) hasAlternative(addr string) bool {
	all, good := p.candidates()
	return slices.ContainsFunc(all[:good], func(a string) bool { return a != addr })
}

// pull pulls until the proxy ends: from one registry as long as it answers and has contact with a majority, else from the next.
func (p *Proxy) pull() {
	asked := map[string]bool{}
	for !p.isDone() {
		useful, tried := false, map[string]bool{}
		for {
			all, _ := p.candidates() // registries may have been added or left meanwhile
			next := slices.IndexFunc(all, func(a string) bool { return !tried[a] })
			if next < 0 {
				break
			}
			addr := all[next]
			tried[addr], asked[addr] = true, true
			if p.pullFrom(addr) {
				useful = true
				break
			}
			if p.isDone() {
				return
			}
			p.pullFromProxy()
		}
		if all, _ := p.candidates(); !slices.ContainsFunc(all, func(a string) bool { return !asked[a] }) {
			p.mu.Lock()
			p.allAsked = true
			p.mu.Unlock()
		}
		if !useful {
			select {
			case <-time.After(50*time.Millisecond + rand.N(100*time.Millisecond)):
			case <-p.done:
				return
			}
		}
	}
}

// isDone reports whether the proxy has ended.
func (p *Proxy) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// pullFrom pulls from one registry until it is of no more use. useful is false if the next candidate is to be tried.
func (p *Proxy) pullFrom(addr string) (useful bool) {
	client := rpc.NewClient(p.network, addr)
	defer client.Close()
	type result struct {
		body []byte
		err  error
	}
	s := p.settings.Load()
	var call messages.PullCall // the first call has no hold time: its answer tells how fresh the registry is
	start := time.Now()
	progress := p.sources[addr]
	for !p.isDone() {
		self := p.dataPlane.Inbound.Backend()
		p.mu.Lock()
		call.Self, call.Have, call.Epoch = &self, p.chosen, p.quorum.VoterSet().Epoch
		p.resetSources(&progress)
		progress.continueCall(&call)
		call.Relayed = slices.Clone(p.relayed)
		p.mu.Unlock()
		results := make(chan result, 1)
		sent := time.Now()
		id := client.Go(messages.Pull, rpc.Encode(call), func(body []byte, err error) { results <- result{body, err} })
		timer := time.NewTimer(maxPullHold + pullTimeout)
		var r result
		var n messages.PullReply
	wait:
		for {
			select {
			case r = <-results:
				break wait
			case <-p.changed: // reported in a call of its own while the pull waits
				self := p.dataPlane.Inbound.Backend()
				p.mu.Lock()
				relayed := slices.Clone(p.relayed)
				p.mu.Unlock()
				client.Go(messages.Pull, rpc.Encode(messages.PullCall{Self: &self, Relayed: relayed, Incarnation: call.Incarnation, Revision: messages.SkipBackends, Have: configuration.Ballot{N: 1 << 62}, RegistriesDigest: call.RegistriesDigest, Epoch: call.Epoch}), func([]byte, error) {})
			case <-timer.C:
				client.Cancel(id)
				r.err = errcode.New(errcode.ResponseTimeout, "")
				break wait
			case <-p.done:
				timer.Stop()
				return true
			}
		}
		timer.Stop()
		if r.err != nil || rpc.Decode(r.body, &n) != nil {
			return false
		}
		p.pulls.Add(1)
		addTransitTime(&n, sent)
		p.lastPull.Store(&lastPull{addr, time.Now(), n.FreshMs})
		useful = true
		p.membership.RecordContact(addr)
		call.RegistriesDigest = n.RegistriesDigest
		p.mu.Lock()
		p.relayed = p.relayed[min(len(call.Relayed), len(p.relayed)):]
		p.mu.Unlock()
		progress.add(&n)
		seekOther := p.apply(n)
		p.sources.store(addr, &progress)
		if n.FreshMs > staleAfterMs && (seekOther || p.hasAlternative(addr) || time.Since(start) > time.Second || n.FreshMs >= messages.Never && time.Since(start) > 300*time.Millisecond) {
			p.mu.Lock()
			p.avoidedSince[addr] = time.Now()
			p.mu.Unlock()
			return false // it has no contact with a majority: another may
		}
		hold := maxPullHold
		if n.FreshMs <= staleAfterMs { // the pull ends when the contact becomes stale, not a whole hold time later
			hold = min(hold, time.Duration(staleAfterMs+20-n.FreshMs)*time.Millisecond)
		}
		call.HoldMs = uint32(hold.Milliseconds())
		if len(p.registries) > 0 && time.Since(start) > avoidFor && !p.isLocal(addr, s.Zone) {
			return true // a registry of this zone may be back
		}
	}
	return true
}

// resetSources makes all sources send everything again if a node whose entry was dropped is back. The caller holds p.mu.
func (p *Proxy) resetSources(progress *partialNews) {
	if p.pullAll {
		p.pullAll, *progress = false, partialNews{}
		clear(p.sources)
	}
}

// pullFromProxy asks another proxy for updates while no registry is of use. If this proxy knows no other, it asks the one that called
// its gate last: others may still know this machine though its seeds are unreachable.
func (p *Proxy) pullFromProxy() {
	source, ok := p.dataPlane.RandomPeer()
	if !ok {
		ip, s := p.dataPlane.Inbound.LastPeerIP(), p.settings.Load()
		if ip == "" || ip == s.IP {
			return
		}
		source = messages.AddrOnHost(net.JoinHostPort(ip, "0"), s.Ports[0], messages.InboundPort)
	}
	progress := p.sources[source]
	for !p.isDone() {
		self := p.dataPlane.Inbound.Backend()
		p.mu.Lock()
		call := messages.PullCall{Self: &self, Have: p.chosen, Epoch: p.quorum.VoterSet().Epoch}
		p.resetSources(&progress)
		progress.continueCall(&call)
		p.mu.Unlock()
		sent := time.Now()
		reply, err := p.dataPlane.PullFromPeer(source, rpc.Encode(call), pullTimeout)
		var n messages.PullReply
		if err != nil || rpc.Decode(reply, &n) != nil {
			return
		}
		p.proxyPulls.Add(1)
		progress.add(&n)
		addTransitTime(&n, sent)
		p.apply(n)
		p.sources.store(source, &progress)
		if progress.cursor == nil && !progress.moreEntries {
			return
		}
	}
}

// newsFor answers a pull of another proxy that reaches no registry, and passes on that proxy's own entry.
func (p *Proxy) newsFor(body []byte) ([]byte, error) {
	var call messages.PullCall
	if err := rpc.Decode(body, &call); err != nil {
		return nil, err
	}
	p.mu.Lock()
	relay := call.Self != nil && len(p.relayed) < maxRelayed && p.table.Merge(*call.Self)
	if relay {
		p.relayed = append(p.relayed, *call.Self)
	}
	n := messages.PullReply{Incarnation: p.incarnation, FreshMs: messages.Never, Partial: !p.complete}
	n.Fill(call, p.table, p.chosen, p.items, p.prunedBallot)
	if r := p.quorum.VoterSet(); r.Epoch != call.Epoch && r.Epoch > 0 {
		n.VoterSet = &r
	}
	if !p.lastMajority.IsZero() {
		n.FreshMs = uint32(min(time.Since(p.lastMajority).Milliseconds(), messages.Never))
	}
	p.mu.Unlock()
	if relay {
		p.dataPlane.UpdateBackends([]backends.Backend{*call.Self})
		p.notify()
	}
	return rpc.Encode(n), nil
}

// maxRelayed bounds the entries waiting to be passed on for other proxies.
const maxRelayed = 64

// isLocal reports whether a registry is in the zone, or no known registry is.
func (p *Proxy) isLocal(addr, zone string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	anyLocal := false
	for _, m := range p.registries {
		if m.Zone == zone {
			anyLocal = true
			if m.Addr == addr {
				return true
			}
		}
	}
	return !anyLocal
}

// addTransitTime adds to the age of news the time between sending the call and now, without the time that the source held the call:
// either end may have been suspended meanwhile.
func addTransitTime(n *messages.PullReply, sent time.Time) {
	transit := max(0, time.Since(sent).Milliseconds()-int64(n.HeldMs))
	n.FreshMs = uint32(min(int64(n.FreshMs)+transit, messages.Never))
}

// apply applies news. It ignores the configuration of a source without contact with a majority while another source may have a newer
// one, and then returns true: the caller should seek another source.
func (p *Proxy) apply(n messages.PullReply) (seek bool) {
	if n.VoterSet != nil && p.quorum.Update(*n.VoterSet) {
		p.log("roll", fmt.Sprintf("epoch %d, %d voters", n.VoterSet.Epoch, len(n.VoterSet.Voters)))
	}
	var merged []backends.Backend
	var chart *configuration.RoutingTable
	p.mu.Lock()
	if len(n.Registries) > 0 {
		p.registries = mergeRegistries(p.registries, n.Registries, n.FreshMs > staleAfterMs)
	}
	node := p.settings.Load().NodeName
	for _, b := range n.Backends {
		if p.table.Merge(b) {
			merged = append(merged, b)
		}
	}
	seek = n.FreshMs > staleAfterMs && !p.complete && !p.allAsked
	if p.chosen.Less(n.Chosen) && !seek { // the configuration in force never goes back
		p.chosen = n.Chosen
		p.items, p.prunedBallot = applyItems(p.items, p.prunedBallot, n)
		chart = p.items.RoutingTable()
	}
	if n.FreshMs <= staleAfterMs && !n.Chosen.IsZero() {
		p.complete = p.complete || !n.MoreBackends && !n.Partial
		if at := time.Now().Add(-time.Duration(n.FreshMs) * time.Millisecond); at.After(p.lastMajority) { // second-hand news does not become fresher by being passed on
			p.lastMajority = at
		}
	}
	p.mu.Unlock()
	if chart != nil {
		p.dataPlane.Configure(chart)
		p.log("configuration", fmt.Sprintf("ballot %d: %d items changed", n.Chosen.N, len(n.Items)))
	}
	if len(merged) > 0 {
		p.dataPlane.UpdateBackends(merged)
	}
	for _, b := range merged {
		if b.Node == node {
			p.dataPlane.Inbound.Refute(b)
		}
	}
	return seek
}

// mergeRegistries returns the list of registries after a source has sent its own. A source without contact with a majority (stale) may
// know only a few: its list removes none.
func mergeRegistries(known, received []messages.Registry, stale bool) []messages.Registry {
	out := slices.Clone(received)
	if stale {
		for _, m := range known {
			if !slices.ContainsFunc(received, func(other messages.Registry) bool { return other.Name == m.Name }) {
				out = append(out, m)
			}
		}
	}
	return out
}

// hasMajorityContact reports whether the configuration comes from a registry that had contact with a majority within contactTimeout.
func (p *Proxy) hasMajorityContact() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.lastMajority) < contactTimeout
}

// Reload applies new settings. Only the seeds may change while the proxy runs.
func (p *Proxy) Reload(s *settings.Settings) {
	p.settings.Store(s)
	p.membership.Reload(s)
}

// Counts returns the counters for the log.
func (p *Proxy) Counts() map[string]int64 {
	out := p.dataPlane.Counters()
	out["pulls"], out["pulls_by_other"] = p.pulls.Load(), p.proxyPulls.Load()
	p.mu.Lock()
	out["berths"], out["masters"] = int64(p.table.Len()), int64(len(p.registries))
	p.mu.Unlock()
	p.membership.AddCounters(out)
	return out
}

// Stop shuts down gracefully: it fails readiness probes and withdraws from the mesh, serves clients until they have noticed, and then
// finishes the requests in progress, within the grace period.
func (p *Proxy) Stop(grace time.Duration) {
	start := time.Now()
	p.stopping.Store(true)
	p.dataPlane.Inbound.Withdraw()
	p.dataPlane.Drain()
	const noticeDelay = 2500 * time.Millisecond // the platform probes readiness once a second, and twice before it reacts
	time.Sleep(min(noticeDelay, grace/2))
	for _, l := range p.listeners {
		l.Close()
	}
	p.dataPlane.Stop(grace - time.Since(start))
	p.membership.Leave()
	p.closeAll()
}

// closeAll ends the goroutines and closes what Stop and Kill have in common.
func (p *Proxy) closeAll() {
	close(p.done)
	for _, s := range p.servers {
		s.Close()
	}
	p.quorum.Close()
	p.membership.Close()
	p.dataPlane.Close()
}

// Kill ends at once, as if the process ended: requests in progress are not finished and others are not notified.
func (p *Proxy) Kill() {
	p.stopping.Store(true)
	for _, l := range p.listeners {
		l.Close()
	}
	p.closeAll()
}
