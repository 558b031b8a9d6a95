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

// Tug is one proxy.
type Tug struct {
	s       atomic.Pointer[settings.Settings]
	log     func(event, text string)
	net     sock.Net
	way     *dataplane.DataPlane
	council *quorum.Council
	head    *transport.Masthead
	life    uint64

	mu      sync.Mutex
	masters []messages.Master
	table   *backends.Table
	stands  configuration.Set
	chosen  configuration.Ballot
	bare    configuration.Ballot // tombstones up to this one are no more in stands
	news    chan struct{}        // holds one when this proxy has something to tell
	heard   time.Time            // a harbourmaster that had heard a majority
	full    bool                 // such a one has told all that there is
	others  []backends.Berth     // of proxies that reach no harbourmaster, to be told on
	whole   bool                 // the next pull asks for all: something was dropped that is back
	sources sources              // of the goroutine that pulls
	left    map[string]time.Time // harbourmasters, and when they were left as they heard no majority
	asked   bool                 // all harbourmasters that are known were asked: what one that hears no majority has is the best there is

	fronts   []net.Listener
	servers  []*http.Server
	stopping atomic.Bool
	ended    chan struct{}
	pulls    atomic.Int64
	byOther  atomic.Int64
	from     atomic.Pointer[pulled]
}

const (
	pullHold = 1000 * time.Millisecond
	pullTime = 500 * time.Millisecond  // beyond what a harbourmaster may hold a pull
	staleMs  = 1500                    // a harbourmaster that has heard no majority for so long is left for another
	leftFor  = 5 * time.Second         // who was left for that comes after the others for so long, and one of another zone is left for one of this
	contact  = 3000 * time.Millisecond // after which a path with no route may be one of a route that is not known here yet
	// keyMargin is how much longer than the window keys are known here: what is at work when it ends is not over.
	keyMargin = 20 * time.Second
)

// Program is the proxy as a program.
var Program = process.Program{Name: "tug", Description: "The proxy of the mesh: carries the requests of one machine.", FinalCounters: true,
	Start: func(s *settings.Settings, log func(event, text string)) (process.Running, error) {
		return Start(s, log, nil)
	}}

// Start begins to serve by the settings. on: nil for the system's network.
func Start(s *settings.Settings, log func(event, text string), on sock.Net) (*Tug, error) {
	on = sock.On(on)
	t := &Tug{log: log, net: on, council: quorum.New(on), life: process.RandomLife(), table: backends.New(), sources: sources{}, left: map[string]time.Time{}, stands: configuration.Set{}.WithRoutingTable(),
		news: make(chan struct{}, 1), ended: make(chan struct{})}
	t.s.Store(s)
	listen := func(addr string) (net.Listener, error) {
		if addr == "" {
			return nil, nil
		}
		l, err := on.Listen(addr, 0)
		if err == nil {
			t.fronts = append(t.fronts, l)
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
	t.way = dataplane.New(dataplane.Options{Node: s.NodeName, Zone: s.Zone, Service: s.Service, App: s.AppAddr, GateAddr: gateAddr,
		Life: t.life, Begun: time.Now(), Heartbeat: s.Heartbeat, Ratio: s.Bounds.RetryRatio, Allowance: s.Bounds.RetryAllowance,
		Window: s.Bounds.RetryWindow, KeyWindow: s.Bounds.DedupWindow + keyMargin, AnswerBytes: answers, MaxConns: conns, LinkMbps: s.BandwidthMbps,
		Net: on, Council: t.council, News: t.newsFor, Report: t.report, Vouched: t.vouched, Log: log,
		Heard: func(addr string) { t.head.Heard(addr) }})
	t.way.Gate.OnChange(func(b backends.Berth) {
		t.way.Hear(b)
		t.tell()
	})
	gate, err := rpc.Listen(on, gateAddr)
	if err != nil {
		return nil, fmt.Errorf("gate: %w", err)
	}
	t.fronts = append(t.fronts, gate)
	out, err := listen(s.Listen["outbound"])
	if err != nil || out == nil {
		return nil, fmt.Errorf("outbound: %w", orMissing(err))
	}
	control, err := listen(s.Listen["control-plane"])
	if err != nil {
		return nil, fmt.Errorf("control-plane: %w", err)
	}
	ready, err := listen(s.Listen["readiness"])
	if err != nil {
		return nil, fmt.Errorf("readiness: %w", err)
	}
	t.head = transport.Start(s, messages.RoleTug, messages.RosterTugPort, messages.GatePort, t.life, on, log)
	t.http(control, &controlapi.Port{Beat: t.way.Gate.Beat, Leave: t.way.Gate.Leave, Refused: t.refused})
	t.http(ready, &controlapi.Port{Ready: t.ready})
	go t.way.ServeGate(gate)
	go t.way.Serve(out)
	go t.pull()
	go t.watch()
	return t, nil
}

func orMissing(err error) error {
	if err == nil {
		return fmt.Errorf("no address told")
	}
	return err
}

func (t *Tug) http(l net.Listener, p *controlapi.Port) {
	if l == nil {
		return
	}
	s := controlapi.Server(p)
	t.servers = append(t.servers, s)
	go s.Serve(l)
}

func (t *Tug) refused(k errcode.Kind, text string) { t.log("refused", text) }

// ready says whether clients may come: with a configuration, and with all that a harbourmaster had to tell.
func (t *Tug) ready() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.stopping.Load():
		return errcode.New(errcode.Draining, "")
	case !t.way.Configured() || !t.full:
		return errcode.New(errcode.NotReady, "")
	}
	return nil
}

// tell has the next pull go out at once.
func (t *Tug) tell() {
	select {
	case t.news <- struct{}{}:
	default:
	}
}

const sweepEvery = 10 * time.Second

// watch looks at what comes with time alone, and at what the roster says.
func (t *Tug) watch() {
	tick := time.NewTicker(dataplane.LookEvery)
	defer tick.Stop()
	var changed chan struct{}
	if t.head != nil {
		changed = t.head.Changed
	}
	begun := time.Now()
	swept := begun
	silent := map[string]bool{}
	for {
		select {
		case now := <-tick.C:
			t.way.Gate.Watch(now)
			if now.Sub(swept) >= sweepEvery {
				swept = now
				t.sweep(now.Sub(begun))
			}
		case <-changed:
		case <-t.ended:
			return
		}
		if now := t.head.Silent(messages.RoleTug); !maps.Equal(now, silent) {
			silent = now
			t.way.Silence(now)
		}
	}
}

// sweep drops the entries of machines that are long gone, while this one hears the core and others: one that is cut off knows
// nothing of who is gone.
func (t *Tug) sweep(now time.Duration) {
	alive := t.head.Alive(messages.RoleTug)
	node := t.s.Load().NodeName
	t.mu.Lock()
	var gone []string
	if !t.head.Alone() && time.Since(t.heard) < 2*staleMs*time.Millisecond {
		gone = t.table.Sweep(now, transport.GoneAfter, func(b backends.Berth) bool { return b.Node == node || t.head.Lives(b.Addr) })
	}
	t.whole = t.whole || t.table.Lacks(alive)
	t.mu.Unlock()
	if len(gone) > 0 {
		t.way.Drop(gone)
		t.log("gone", strings.Join(gone, " "))
	}
}

// candidates are the harbourmasters to pull from: of this zone first, then the others and the seeds; behind them those that were left a
// while ago, as they heard no majority, and last those that the roster says don't answer. The roster's are among them: the seeds may
// all be down, while others still probe this proxy. good is how many come before those that were left.
func (t *Tug) candidates() (all []string, good int) {
	s := t.s.Load()
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
	for _, m := range t.masters {
		add(m.Addr, m.Zone)
	}
	for _, p := range t.head.Peers(messages.RoleHarbour) {
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
	silent := t.head.Silent(messages.RoleHarbour)
	rank := func(a string) int {
		switch {
		case silent[a]:
			return 2
		case time.Since(t.left[a]) < leftFor:
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

// another reports whether there is a harbourmaster to go to that may hear a majority, while this one doesn't.
func (t *Tug) another(addr string) bool {
	all, good := t.candidates()
	return slices.ContainsFunc(all[:good], func(a string) bool { return a != addr })
}

// pull keeps pulling, from one harbourmaster as long as it answers and has heard a majority, else from the next.
func (t *Tug) pull() {
	asked := map[string]bool{}
	for !t.over() {
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
			if t.over() {
				return
			}
			t.pullBy()
		}
		if all, _ := t.candidates(); !slices.ContainsFunc(all, func(a string) bool { return !asked[a] }) {
			t.mu.Lock()
			t.asked = true
			t.mu.Unlock()
		}
		if !some {
			select {
			case <-time.After(50*time.Millisecond + rand.N(100*time.Millisecond)):
			case <-t.ended:
				return
			}
		}
	}
}

func (t *Tug) over() bool {
	select {
	case <-t.ended:
		return true
	default:
		return false
	}
}

// pullFrom pulls from one harbourmaster until that is of no more use. good: it was of some.
func (t *Tug) pullFrom(addr string) (good bool) {
	c := rpc.NewClient(t.net, addr)
	defer c.Close()
	type result struct {
		body []byte
		err  error
	}
	s := t.s.Load()
	var call messages.PullCall // the first is answered at once: how long ago it heard a majority is to be known
	began := time.Now()
	got := t.sources[addr]
	for !t.over() {
		b := t.way.Gate.Berth()
		t.mu.Lock()
		call.Self, call.Have, call.Epoch = &b, t.chosen, t.council.Roll().Epoch
		t.anew(&got)
		got.goOn(&call)
		call.Others = slices.Clone(t.others)
		t.mu.Unlock()
		done := make(chan result, 1)
		sent := time.Now()
		id := c.Go(messages.Pull, rpc.Encode(call), func(body []byte, err error) { done <- result{body, err} })
		timer := time.NewTimer(pullHold + pullTime)
		var r result
		var n messages.News
	wait:
		for {
			select {
			case r = <-done:
				break wait
			case <-t.news: // told beside the pull that waits
				b := t.way.Gate.Berth()
				t.mu.Lock()
				others := slices.Clone(t.others)
				t.mu.Unlock()
				c.Go(messages.Pull, rpc.Encode(messages.PullCall{Self: &b, Others: others, Life: call.Life, At: messages.Tells, Have: configuration.Ballot{N: 1 << 62}, Sum: call.Sum, Epoch: call.Epoch}), func([]byte, error) {})
			case <-timer.C:
				c.Forget(id)
				r.err = errcode.New(errcode.ResponseTimeout, "")
				break wait
			case <-t.ended:
				timer.Stop()
				return true
			}
		}
		timer.Stop()
		if r.err != nil || rpc.Decode(r.body, &n) != nil {
			return false
		}
		t.pulls.Add(1)
		age(&n, sent)
		t.from.Store(&pulled{addr, time.Now(), n.FreshMs})
		good = true
		t.head.Heard(addr)
		call.Sum = n.Sum
		t.mu.Lock()
		t.others = t.others[min(len(call.Others), len(t.others)):]
		t.mu.Unlock()
		got.add(&n)
		better := t.take(n)
		t.sources.keep(addr, &got)
		if n.FreshMs > staleMs && (better || t.another(addr) || time.Since(began) > time.Second || n.FreshMs >= messages.Never && time.Since(began) > 300*time.Millisecond) {
			t.mu.Lock()
			t.left[addr] = time.Now()
			t.mu.Unlock()
			return false // it hears no majority: another may
		}
		hold := pullHold
		if n.FreshMs <= staleMs { // it is left once it is that long ago, and not a whole hold later
			hold = min(hold, time.Duration(staleMs+20-n.FreshMs)*time.Millisecond)
		}
		call.HoldMs = uint32(hold.Milliseconds())
		if len(t.masters) > 0 && time.Since(began) > leftFor && !t.near(addr, s.Zone) {
			return true // perhaps one of this zone is back
		}
	}
	return true
}

// anew has all sources tell all again, where something was dropped that is back. The caller holds t.mu.
func (t *Tug) anew(got *parts) {
	if t.whole {
		t.whole, *got = false, parts{}
		clear(t.sources)
	}
}

// pullBy asks another proxy for what this one lacks, while no harbourmaster is of use. One that knows of none asks the proxy that
// called its gate last: others may still know this machine, whose seeds can't be reached.
func (t *Tug) pullBy() {
	from, ok := t.way.Another()
	if !ok {
		ip, s := t.way.Gate.Caller(), t.s.Load()
		if ip == "" || ip == s.IP {
			return
		}
		from = messages.Beside(net.JoinHostPort(ip, "0"), s.Ports[0], messages.GatePort)
	}
	got := t.sources[from]
	for !t.over() {
		b := t.way.Gate.Berth()
		t.mu.Lock()
		call := messages.PullCall{Self: &b, Have: t.chosen, Epoch: t.council.Roll().Epoch}
		t.anew(&got)
		got.goOn(&call)
		t.mu.Unlock()
		sent := time.Now()
		raw, err := t.way.AskNews(from, rpc.Encode(call), pullTime)
		var n messages.News
		if err != nil || rpc.Decode(raw, &n) != nil {
			return
		}
		t.byOther.Add(1)
		got.add(&n)
		age(&n, sent)
		t.take(n)
		t.sources.keep(from, &got)
		if got.cursor == nil && !got.more {
			return
		}
	}
}

// newsFor answers another proxy that reaches no harbourmaster, and tells on what it is the source of.
func (t *Tug) newsFor(raw []byte) ([]byte, error) {
	var call messages.PullCall
	if err := rpc.Decode(raw, &call); err != nil {
		return nil, err
	}
	t.mu.Lock()
	told := call.Self != nil && len(t.others) < maxOthers && t.table.Join(*call.Self)
	if told {
		t.others = append(t.others, *call.Self)
	}
	n := messages.News{Life: t.life, FreshMs: messages.Never, Partial: !t.full}
	n.Tell(call, t.table, t.chosen, t.stands, t.bare)
	if r := t.council.Roll(); r.Epoch != call.Epoch && r.Epoch > 0 {
		n.Roll = &r
	}
	if !t.heard.IsZero() {
		n.FreshMs = uint32(min(time.Since(t.heard).Milliseconds(), messages.Never))
	}
	t.mu.Unlock()
	if told {
		t.way.Learn([]backends.Berth{*call.Self})
		t.tell()
	}
	return rpc.Encode(n), nil
}

// maxOthers bounds what is told on for others at a time.
const maxOthers = 64

// near reports whether a harbourmaster is of this zone, or none is.
func (t *Tug) near(addr, zone string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	some := false
	for _, m := range t.masters {
		if m.Zone == zone {
			some = true
			if m.Addr == addr {
				return true
			}
		}
	}
	return !some
}

// age adds the time that news took on its way, of a call sent then: either end may have slept meanwhile.
func age(n *messages.News, sent time.Time) {
	way := max(0, time.Since(sent).Milliseconds()-int64(n.HeldMs))
	n.FreshMs = uint32(min(int64(n.FreshMs)+way, messages.Never))
}

// take takes news. A configuration of one who hears no majority is left there while another may have a newer one: seek.
func (t *Tug) take(n messages.News) (seek bool) {
	if n.Roll != nil && t.council.Take(*n.Roll) {
		t.log("roll", fmt.Sprintf("epoch %d, %d count", n.Roll.Epoch, len(n.Roll.Voters)))
	}
	var news []backends.Berth
	var chart *configuration.RoutingTable
	t.mu.Lock()
	if len(n.Masters) > 0 {
		t.masters = listed(t.masters, n.Masters, n.FreshMs > staleMs)
	}
	node := t.s.Load().NodeName
	for _, b := range n.Berths {
		if t.table.Join(b) {
			news = append(news, b)
		}
	}
	seek = n.FreshMs > staleMs && !t.full && !t.asked
	if t.chosen.Less(n.Chosen) && !seek { // what is in force never goes back
		t.chosen = n.Chosen
		t.stands, t.bare = inForce(t.stands, t.bare, n)
		chart = t.stands.RoutingTable()
	}
	if n.FreshMs <= staleMs && !n.Chosen.IsZero() {
		t.full = t.full || !n.More && !n.Partial
		if at := time.Now().Add(-time.Duration(n.FreshMs) * time.Millisecond); at.After(t.heard) { // hearsay does not grow younger by being told
			t.heard = at
		}
	}
	t.mu.Unlock()
	if chart != nil {
		t.way.Configure(chart)
		t.log("configuration", fmt.Sprintf("ballot %d: %d items changed", n.Chosen.N, len(n.Items)))
	}
	if len(news) > 0 {
		t.way.Learn(news)
	}
	for _, b := range news {
		if b.Node == node {
			t.way.Gate.Refute(b)
		}
	}
	return seek
}

// listed is the list of harbourmasters after another was told. One who hears no majority may know few: it takes nobody off.
func listed(known, told []messages.Master, stale bool) []messages.Master {
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

// vouched reports whether the configuration is that of a majority which was heard lately.
func (t *Tug) vouched() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.heard) < contact
}

// Reload takes other settings: seeds alone may change while it runs.
func (t *Tug) Reload(s *settings.Settings) {
	t.s.Store(s)
	t.head.Reload(s)
}

// Counts are for the log.
func (t *Tug) Counts() map[string]int64 {
	out := t.way.Report()
	out["pulls"], out["pulls_by_other"] = t.pulls.Load(), t.byOther.Load()
	t.mu.Lock()
	out["berths"], out["masters"] = int64(t.table.Len()), int64(len(t.masters))
	t.mu.Unlock()
	t.head.Count(out)
	return out
}

// Stop ends in order: not ready, told to others, clients served until they have heard, what is under way finished.
func (t *Tug) Stop(grace time.Duration) {
	begun := time.Now()
	t.stopping.Store(true)
	t.way.Gate.Withdraw()
	t.way.Drain()
	const hear = 2500 * time.Millisecond // the platform asks each second, and twice
	time.Sleep(min(hear, grace/2))
	for _, l := range t.fronts {
		l.Close()
	}
	t.way.Stop(grace - time.Since(begun))
	t.head.Leave()
	t.end()
}

func (t *Tug) end() {
	close(t.ended)
	for _, s := range t.servers {
		s.Close()
	}
	t.council.Close()
	t.head.Close()
	t.way.End()
}

// Kill ends at once, as the end of the process would: nothing is finished, and nobody is told.
func (t *Tug) Kill() {
	t.stopping.Store(true)
	for _, l := range t.fronts {
		l.Close()
	}
	t.end()
}
