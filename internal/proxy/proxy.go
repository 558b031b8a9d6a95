// Package proxy is the proxy of the mesh as a program: it takes its backend's beats, pulls news from a harbourmaster, carries
// the traffic by package dataplane and says whether it is ready. Start reading at Start.
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

// Proxy is one proxy.
type Proxy struct {
	settings   atomic.Pointer[settings.Settings]
	log        func(event, text string)
	network    sock.Net
	dataPlane  *dataplane.DataPlane
	council    *quorum.Council
	membership *transport.Masthead
	life       uint64

	mu           sync.Mutex
	registries   []messages.Master
	table        *backends.Table
	items        configuration.Set
	chosen       configuration.Ballot
	prunedBallot configuration.Ballot // tombstones up to this one are no more in stands
	changed      chan struct{}        // holds one when this proxy has something to tell
	lastMajority time.Time            // a harbourmaster that had heard a majority
	complete     bool                 // such a one has told all that there is
	relayed      []backends.Backend   // of proxies that reach no harbourmaster, to be told on
	pullAll      bool                 // the next pull asks for all: something was dropped that is back
	sources      sources              // of the goroutine that pulls
	avoidedSince map[string]time.Time // harbourmasters, and when they were left as they heard no majority
	allAsked     bool                 // all harbourmasters that are known were asked: what one that hears no majority has is the best there is

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
	pullTimeout    = 500 * time.Millisecond  // beyond what a harbourmaster may hold a pull
	staleAfterMs   = 1500                    // a harbourmaster that has heard no majority for so long is left for another
	avoidFor       = 5 * time.Second         // who was left for that comes after the others for so long, and one of another zone is left for one of this
	contactTimeout = 3000 * time.Millisecond // after which a path with no route may be one of a route that is not known here yet
	// keyMargin is how much longer than the window keys are known here: what is at work when it ends is not over.
	keyMargin = 20 * time.Second
)

// Program is the proxy as a program.
var Program = process.Program{Name: "tug", About: "The proxy of the mesh: carries the requests of one machine.", Last: true,
	Start: func(s *settings.Settings, log func(event, text string)) (process.Running, error) {
		return Start(s, log, nil)
	}}

// Start begins to serve by the settings. on: nil for the system's network.
func Start(s *settings.Settings, log func(event, text string), on sock.Net) (*Proxy, error) {
	on = sock.On(on)
	t := &Proxy{log: log, network: on, council: quorum.New(on), life: process.Life(), table: backends.New(), sources: sources{}, avoidedSince: map[string]time.Time{}, items: configuration.Set{}.Charted(),
		changed: make(chan struct{}, 1), done: make(chan struct{})}
	t.settings.Store(s)
	listen := func(addr string) (net.Listener, error) {
		if addr == "" {
			return nil, nil
		}
		l, err := on.Listen(addr, 0)
		if err == nil {
			t.listeners = append(t.listeners, l)
		}
		return l, err
	}
	gateAddr := s.Port(messages.GatePort)
	if gateAddr == "" {
		return nil, fmt.Errorf("%s: %d ephemeral-ports wanted", s.Path, messages.GatePort+1)
	}
	answers := 24 << 20
	if s.MemoryMB > 0 {
		answers = int(s.MemoryMB * (1 << 20) / 8)
	}
	conns := 0
	if s.Descriptors > 0 {
		conns = s.Descriptors / 2
	}
	t.dataPlane = dataplane.New(dataplane.Options{Node: s.NodeName, Zone: s.Zone, Service: s.Service, App: s.AppAddr, GateAddr: gateAddr,
		Life: t.life, Begun: time.Now(), Heartbeat: s.Heartbeat, Ratio: s.Bounds.RetryRatio, Allowance: s.Bounds.RetryAllowance,
		Window: s.Bounds.RetryWindow, KeyWindow: s.Bounds.DedupWindow + keyMargin, AnswerBytes: answers, MaxConns: conns, LinkMbps: s.BandwidthMbps,
		Net: on, Council: t.council, News: t.newsFor, Report: t.report, Vouched: t.hasMajorityContact, Log: log,
		Heard: func(addr string) { t.membership.Heard(addr) }})
	t.dataPlane.Gate.OnChange(func(b backends.Backend) {
		t.dataPlane.Hear(b)
		t.notify()
	})
	gate, err := rpc.Listen(on, gateAddr)
	if err != nil {
		return nil, fmt.Errorf("gate: %w", err)
	}
	t.listeners = append(t.listeners, gate)
	out, err := listen(s.Listen["outbound"])
	if err != nil || out == nil {
		return nil, fmt.Errorf("outbound: %w", missingAddress(err))
	}
	control, err := listen(s.Listen["control-plane"])
	if err != nil {
		return nil, fmt.Errorf("control-plane: %w", err)
	}
	ready, err := listen(s.Listen["readiness"])
	if err != nil {
		return nil, fmt.Errorf("readiness: %w", err)
	}
	t.membership = transport.Start(s, messages.RoleTug, messages.RosterTugPort, messages.GatePort, t.life, on, log)
	t.serveHTTP(control, &controlapi.Port{Beat: t.dataPlane.Gate.Beat, Leave: t.dataPlane.Gate.Leave, Refused: t.refused})
	t.serveHTTP(ready, &controlapi.Port{Ready: t.ready})
	go t.dataPlane.ServeGate(gate)
	go t.dataPlane.Serve(out)
	go t.pull()
	go t.watch()
	return t, nil
}

func missingAddress(err error) error {
	if err == nil {
		return fmt.Errorf("no address told")
	}
	return err
}

func (t *Proxy) serveHTTP(l net.Listener, p *controlapi.Port) {
	if l == nil {
		return
	}
	s := controlapi.Server(p)
	t.servers = append(t.servers, s)
	go s.Serve(l)
}

func (t *Proxy) refused(k errcode.Kind, text string) { t.log("refused", text) }

// ready says whether clients may come: with a configuration, and with all that a harbourmaster had to tell.
func (t *Proxy) ready() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.stopping.Load():
		return errcode.New(errcode.Leaving, "")
	case !t.dataPlane.Configured() || !t.complete:
		return errcode.New(errcode.NotReady, "")
	}
	return nil
}

// notify has the next pull go out at once.
func (t *Proxy) notify() {
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

const sweepInterval = 10 * time.Second

// watch looks at what comes with time alone, and at what the roster says.
func (t *Proxy) watch() {
	tick := time.NewTicker(dataplane.LookEvery)
	defer tick.Stop()
	var changed chan struct{}
	if t.membership != nil {
		changed = t.membership.Changed
	}
	begun := time.Now()
	swept := begun
	silent := map[string]bool{}
	for {
		select {
		case now := <-tick.C:
			t.dataPlane.Gate.Watch(now)
			if now.Sub(swept) >= sweepInterval {
				swept = now
				t.sweep(now.Sub(begun))
			}
		case <-changed:
		case <-t.done:
			return
		}
		if now := t.membership.Silent(messages.RoleTug); !maps.Equal(now, silent) {
			silent = now
			t.dataPlane.Silence(now)
		}
	}
}

// sweep drops the entries of machines that are long gone, while this one hears the core and others: one that is cut off knows
// nothing of who is gone.
func (t *Proxy) sweep(now time.Duration) {
	alive := t.membership.Alive(messages.RoleTug)
	node := t.settings.Load().NodeName
	t.mu.Lock()
	var gone []string
	if !t.membership.Alone() && time.Since(t.lastMajority) < 2*staleAfterMs*time.Millisecond {
		gone = t.table.Sweep(now, transport.GoneAfter, func(b backends.Backend) bool { return b.Node == node || t.membership.Lives(b.Addr) })
	}
	t.pullAll = t.pullAll || t.table.HasDropped(alive)
	t.mu.Unlock()
	if len(gone) > 0 {
		t.dataPlane.Drop(gone)
		t.log("gone", strings.Join(gone, " "))
	}
}

// candidates are the harbourmasters to pull from: of this zone first, then the others and the seeds; behind them those that were left a
// while ago, as they heard no majority, and last those that the roster says don't answer. The roster's are among them: the seeds may
// all be down, while others still probe this proxy. good is how many come before those that were left.
func (t *Proxy) candidates() (all []string, good int) {
	s := t.settings.Load()
	t.mu.Lock()
	defer t.mu.Unlock()
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
	for _, m := range t.registries {
		add(m.Addr, m.Zone)
	}
	for _, p := range t.membership.Peers(messages.RoleHarbour) {
		if p.State.Live() {
			add(p.Addr, p.Zone)
		}
	}
	for _, x := range s.Seeds {
		add(messages.Beside(x, s.Ports[0], messages.HarbourPort), "")
	}
	for _, v := range t.council.Roll().Voters { // a harbourmaster that has just begun knows of no other, but it knows who counts
		add(messages.Beside(v.Addr, s.Ports[0], messages.HarbourPort), "")
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	all = append(near, far...)
	silent := t.membership.Silent(messages.RoleHarbour)
	rank := func(a string) int {
		switch {
		case silent[a]:
			return 2
		case time.Since(t.avoidedSince[a]) < avoidFor:
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

// hasAlternative reports whether there is a harbourmaster to go to that may hear a majority, while this one doesn't.
func (t *Proxy) hasAlternative(addr string) bool {
	all, good := t.candidates()
	return slices.ContainsFunc(all[:good], func(a string) bool { return a != addr })
}

// pull keeps pulling, from one harbourmaster as long as it answers and has heard a majority, else from the next.
func (t *Proxy) pull() {
	asked := map[string]bool{}
	for !t.isDone() {
		some, tried := false, map[string]bool{}
		for {
			all, _ := t.candidates() // others may have become known, and may have been left
			at := slices.IndexFunc(all, func(a string) bool { return !tried[a] })
			if at < 0 {
				break
			}
			addr := all[at]
			tried[addr], asked[addr] = true, true
			if t.pullFrom(addr) {
				some = true
				break
			}
			if t.isDone() {
				return
			}
			t.pullFromProxy()
		}
		if all, _ := t.candidates(); !slices.ContainsFunc(all, func(a string) bool { return !asked[a] }) {
			t.mu.Lock()
			t.allAsked = true
			t.mu.Unlock()
		}
		if !some {
			select {
			case <-time.After(50*time.Millisecond + rand.N(100*time.Millisecond)):
			case <-t.done:
				return
			}
		}
	}
}

func (t *Proxy) isDone() bool {
	select {
	case <-t.done:
		return true
	default:
		return false
	}
}

// pullFrom pulls from one harbourmaster until that is of no more use. good: it was of some.
func (t *Proxy) pullFrom(addr string) (good bool) {
	c := rpc.NewClient(t.network, addr)
	defer c.Close()
	type result struct {
		body []byte
		err  error
	}
	s := t.settings.Load()
	var call messages.PullCall // the first is answered at once: how long ago it heard a majority is to be known
	began := time.Now()
	got := t.sources[addr]
	for !t.isDone() {
		b := t.dataPlane.Gate.Berth()
		t.mu.Lock()
		call.Self, call.Have, call.Epoch = &b, t.chosen, t.council.Roll().Epoch
		t.resetSources(&got)
		got.continueCall(&call)
		call.Others = slices.Clone(t.relayed)
		t.mu.Unlock()
		done := make(chan result, 1)
		sent := time.Now()
		id := c.Go(messages.Pull, rpc.Encode(call), func(body []byte, err error) { done <- result{body, err} })
		timer := time.NewTimer(maxPullHold + pullTimeout)
		var r result
		var n messages.News
	wait:
		for {
			select {
			case r = <-done:
				break wait
			case <-t.changed: // told beside the pull that waits
				b := t.dataPlane.Gate.Berth()
				t.mu.Lock()
				others := slices.Clone(t.relayed)
				t.mu.Unlock()
				c.Go(messages.Pull, rpc.Encode(messages.PullCall{Self: &b, Others: others, Life: call.Life, At: messages.Tells, Have: configuration.Ballot{N: 1 << 62}, Sum: call.Sum, Epoch: call.Epoch}), func([]byte, error) {})
			case <-timer.C:
				c.Forget(id)
				r.err = errcode.New(errcode.TimedOut, "")
				break wait
			case <-t.done:
				timer.Stop()
				return true
			}
		}
		timer.Stop()
		if r.err != nil || rpc.Decode(r.body, &n) != nil {
			return false
		}
		t.pulls.Add(1)
		addTransitTime(&n, sent)
		t.lastPull.Store(&lastPull{addr, time.Now(), n.FreshMs})
		good = true
		t.membership.Heard(addr)
		call.Sum = n.Sum
		t.mu.Lock()
		t.relayed = t.relayed[min(len(call.Others), len(t.relayed)):]
		t.mu.Unlock()
		got.add(&n)
		better := t.apply(n)
		t.sources.store(addr, &got)
		if n.FreshMs > staleAfterMs && (better || t.hasAlternative(addr) || time.Since(began) > time.Second || n.FreshMs >= messages.Never && time.Since(began) > 300*time.Millisecond) {
			t.mu.Lock()
			t.avoidedSince[addr] = time.Now()
			t.mu.Unlock()
			return false // it hears no majority: another may
		}
		hold := maxPullHold
		if n.FreshMs <= staleAfterMs { // it is left once it is that long ago, and not a whole hold later
			hold = min(hold, time.Duration(staleAfterMs+20-n.FreshMs)*time.Millisecond)
		}
		call.HoldMs = uint32(hold.Milliseconds())
		if len(t.registries) > 0 && time.Since(began) > avoidFor && !t.isLocal(addr, s.Zone) {
			return true // perhaps one of this zone is back
		}
	}
	return true
}

// resetSources has all sources tell all again, where something was dropped that is back. The caller holds t.mu.
func (t *Proxy) resetSources(got *partialNews) {
	if t.pullAll {
		t.pullAll, *got = false, partialNews{}
		clear(t.sources)
	}
}

// pullFromProxy asks another proxy for what this one lacks, while no harbourmaster is of use. One that knows of none asks the proxy that
// called its gate last: others may still know this machine, whose seeds can't be reached.
func (t *Proxy) pullFromProxy() {
	from, ok := t.dataPlane.Another()
	if !ok {
		ip, s := t.dataPlane.Gate.Caller(), t.settings.Load()
		if ip == "" || ip == s.IP {
			return
		}
		from = messages.Beside(net.JoinHostPort(ip, "0"), s.Ports[0], messages.GatePort)
	}
	got := t.sources[from]
	for !t.isDone() {
		b := t.dataPlane.Gate.Berth()
		t.mu.Lock()
		call := messages.PullCall{Self: &b, Have: t.chosen, Epoch: t.council.Roll().Epoch}
		t.resetSources(&got)
		got.continueCall(&call)
		t.mu.Unlock()
		sent := time.Now()
		raw, err := t.dataPlane.AskNews(from, rpc.Encode(call), pullTimeout)
		var n messages.News
		if err != nil || rpc.Decode(raw, &n) != nil {
			return
		}
		t.proxyPulls.Add(1)
		got.add(&n)
		addTransitTime(&n, sent)
		t.apply(n)
		t.sources.store(from, &got)
		if got.cursor == nil && !got.moreEntries {
			return
		}
	}
}

// newsFor answers another proxy that reaches no harbourmaster, and tells on what it is the source of.
func (t *Proxy) newsFor(raw []byte) ([]byte, error) {
	var call messages.PullCall
	if err := rpc.Decode(raw, &call); err != nil {
		return nil, err
	}
	t.mu.Lock()
	told := call.Self != nil && len(t.relayed) < maxRelayed && t.table.Merge(*call.Self)
	if told {
		t.relayed = append(t.relayed, *call.Self)
	}
	n := messages.News{Life: t.life, FreshMs: messages.Never, Partial: !t.complete}
	n.Tell(call, t.table, t.chosen, t.items, t.prunedBallot)
	if r := t.council.Roll(); r.Epoch != call.Epoch && r.Epoch > 0 {
		n.Roll = &r
	}
	if !t.lastMajority.IsZero() {
		n.FreshMs = uint32(min(time.Since(t.lastMajority).Milliseconds(), messages.Never))
	}
	t.mu.Unlock()
	if told {
		t.dataPlane.Learn([]backends.Backend{*call.Self})
		t.notify()
	}
	return rpc.Encode(n), nil
}

// maxRelayed bounds what is told on for others at a time.
const maxRelayed = 64

// isLocal reports whether a harbourmaster is of this zone, or none is.
func (t *Proxy) isLocal(addr, zone string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	some := false
	for _, m := range t.registries {
		if m.Zone == zone {
			some = true
			if m.Addr == addr {
				return true
			}
		}
	}
	return !some
}

// addTransitTime adds the time that news took on its way, of a call sent then: either end may have slept meanwhile.
func addTransitTime(n *messages.News, sent time.Time) {
	way := max(0, time.Since(sent).Milliseconds()-int64(n.HeldMs))
	n.FreshMs = uint32(min(int64(n.FreshMs)+way, messages.Never))
}

// apply takes news. A configuration of one who hears no majority is left there while another may have a newer one: seek.
func (t *Proxy) apply(n messages.News) (seek bool) {
	if n.Roll != nil && t.council.Take(*n.Roll) {
		t.log("roll", fmt.Sprintf("epoch %d, %d count", n.Roll.Epoch, len(n.Roll.Voters)))
	}
	var news []backends.Backend
	var chart *configuration.Chart
	t.mu.Lock()
	if len(n.Masters) > 0 {
		t.registries = mergeRegistries(t.registries, n.Masters, n.FreshMs > staleAfterMs)
	}
	node := t.settings.Load().NodeName
	for _, b := range n.Berths {
		if t.table.Merge(b) {
			news = append(news, b)
		}
	}
	seek = n.FreshMs > staleAfterMs && !t.complete && !t.allAsked
	if t.chosen.Less(n.Chosen) && !seek { // what is in force never goes back
		t.chosen = n.Chosen
		t.items, t.prunedBallot = applyItems(t.items, t.prunedBallot, n)
		chart = t.items.Chart()
	}
	if n.FreshMs <= staleAfterMs && !n.Chosen.IsZero() {
		t.complete = t.complete || !n.More && !n.Partial
		if at := time.Now().Add(-time.Duration(n.FreshMs) * time.Millisecond); at.After(t.lastMajority) { // hearsay does not grow younger by being told
			t.lastMajority = at
		}
	}
	t.mu.Unlock()
	if chart != nil {
		t.dataPlane.Configure(chart)
		t.log("configuration", fmt.Sprintf("ballot %d: %d items changed", n.Chosen.N, len(n.Items)))
	}
	if len(news) > 0 {
		t.dataPlane.Learn(news)
	}
	for _, b := range news {
		if b.Node == node {
			t.dataPlane.Gate.Refute(b)
		}
	}
	return seek
}

// mergeRegistries is the list of harbourmasters after another was told. One who hears no majority may know few: it takes nobody off.
func mergeRegistries(known, told []messages.Master, stale bool) []messages.Master {
	out := slices.Clone(told)
	if stale {
		for _, m := range known {
			if !slices.ContainsFunc(told, func(x messages.Master) bool { return x.Name == m.Name }) {
				out = append(out, m)
			}
		}
	}
	return out
}

// hasMajorityContact reports whether the configuration is that of a majority which was heard lately.
func (t *Proxy) hasMajorityContact() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.lastMajority) < contactTimeout
}

// Reload takes other settings: seeds alone may change while it runs.
func (t *Proxy) Reload(s *settings.Settings) {
	t.settings.Store(s)
	t.membership.Reload(s)
}

// Counts are for the log.
func (t *Proxy) Counts() map[string]int64 {
	out := t.dataPlane.Report()
	out["pulls"], out["pulls_by_other"] = t.pulls.Load(), t.proxyPulls.Load()
	t.mu.Lock()
	out["berths"], out["masters"] = int64(t.table.Len()), int64(len(t.registries))
	t.mu.Unlock()
	t.membership.Count(out)
	return out
}

// Stop ends in order: not ready, told to others, clients served until they have heard, what is under way finished.
func (t *Proxy) Stop(grace time.Duration) {
	begun := time.Now()
	t.stopping.Store(true)
	t.dataPlane.Gate.Withdraw()
	t.dataPlane.Drain()
	const hear = 2500 * time.Millisecond // the platform asks each second, and twice
	time.Sleep(min(hear, grace/2))
	for _, l := range t.listeners {
		l.Close()
	}
	t.dataPlane.Stop(grace - time.Since(begun))
	t.membership.Leave()
	t.closeAll()
}

func (t *Proxy) closeAll() {
	close(t.done)
	for _, s := range t.servers {
		s.Close()
	}
	t.council.Close()
	t.membership.Close()
	t.dataPlane.End()
}

// Kill ends at once, as the end of the process would: nothing is finished, and nobody is told.
func (t *Proxy) Kill() {
	t.stopping.Store(true)
	for _, l := range t.listeners {
		l.Close()
	}
	t.closeAll()
}
