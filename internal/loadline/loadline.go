// Package loadline is a load and scale test harness for the mesh's control side: it starts real core machines and a few real
// proxies as processes on loopback, and beside them hollow agents, many to a process, which are proxies without traffic. It
// measures by role what a size costs at rest, in storms and around losses. Start reading at Run.
package loadline

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"saltmast/internal/backends"
	"saltmast/internal/configuration"
	"saltmast/internal/dataplane"
	"saltmast/internal/messages"
	"saltmast/internal/rpc"
)

// Options of a run. Self is the command line of the kit itself.
type Options struct {
	Self     []string
	Dir      string // for settings and disks, empty
	Agents   int    // hollow
	Thin     bool   // hollow agents keep no table and have no part in the roster
	Mute     bool   // thin ones that tell nothing of themselves: the table of backends stays empty
	Tugs     int    // real
	Core     int    // core machines
	Voters   int    // of the core, an odd number
	Zones    int
	Regions  int
	Services int           // with a route each
	Routes   int           // further routes
	Entries  int           // of backends that are told once, and have no agent that pulls
	Quiet    time.Duration // of each measured stretch
	Pace     int           // hollow agents started a second; 0: all at once
	Rate     int           // changes a second in a storm, calls a second in hops
	Phases   []string      // of Phases
	Most     time.Duration // the whole run
	Log      func(format string, args ...any)
}

// Phases are what may be measured, in their order.
var Phases = []string{"quiet", "beats", "hops", "storm", "claims", "zone", "rolling", "core"}

// Bounds of a run.
const (
	MostAgents    = 14000
	mostProcesses = 200
	perProcess    = 500 // hollow agents
	cores         = 4   // that hollow agents may keep busy
	parted        = 2   // this part of the machine's memory ends a run
)

// Rate is of one kind of calls or of datagrams, a second.
type Rate struct {
	Out      float64 `json:"out"`
	OutBytes float64 `json:"out_bytes"`
	In       float64 `json:"in"`
	InBytes  float64 `json:"in_bytes"`
}

// Load is what one role carried in a phase: for each process of it, or for each agent.
type Load struct {
	Of       int             `json:"of"`        // processes, or hollow agents
	Cores    float64         `json:"cores"`     // of a processor, the mean
	Busiest  float64         `json:"busiest"`   // of one process
	MB       float64         `json:"mb"`        // in memory at the end, the mean
	Bytes    float64         `json:"bytes"`     // out and in a second, datagrams too, the mean
	Kinds    map[string]Rate `json:"kinds"`     // the mean
	Commits  float64         `json:"commits"`   // to disk a second, each with its sync
	DiskRate float64         `json:"disk_rate"` // bytes written a second
}

// Times are a distribution in milliseconds.
type Times struct {
	N       int64   `json:"n"`
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	Most    float64 `json:"most"`
	Missing int     `json:"missing,omitempty"` // that did not come
}

// Phase is one measured stretch.
type Phase struct {
	Name    string             `json:"name"`
	Seconds float64            `json:"seconds"`
	Roles   map[string]Load    `json:"roles"`
	Times   map[string]Times   `json:"times,omitempty"`
	Figures map[string]float64 `json:"figures,omitempty"`
	Note    string             `json:"note,omitempty"`
}

// Result is what a run told.
type Result struct {
	Agents   int      `json:"agents"`
	Thin     bool     `json:"thin,omitempty"`
	Mute     bool     `json:"mute,omitempty"`
	Tugs     int      `json:"tugs"`
	Core     int      `json:"core"`
	Voters   int      `json:"voters,omitempty"` // files of before the flag lack it: three
	Services int      `json:"services"`
	Items    int      `json:"items"`
	Entries  int      `json:"entries,omitempty"`
	Phases   []Phase  `json:"phases"`
	LeftOut  []string `json:"left_out,omitempty"`
	PeakMB   float64  `json:"peak_mb"` // of all processes
	CPUs     int      `json:"cpus"`
	Load     string   `json:"load"` // of the machine as it began: others may be at work
}

type run struct {
	o        Options
	l        Layout
	ctx      context.Context
	end      context.CancelCauseFunc
	harbours []*runningProgram
	pursers  []*runningProgram
	tugs     []*runningProgram
	hollows  []*runningProgram
	from     []int // first agent of each
	asker    *dataplane.ReportClient
	r        *Result
	client   *http.Client
	beatRate chan time.Duration
	version  int
	wg       sync.WaitGroup
	mu       sync.Mutex // of hollows, while they are started
}

// ErrMemory ends a run that has taken its part of the machine's memory.
var ErrMemory = errors.New("half of the machine's memory is taken")

// Run plays one size. What it could not play stands in LeftOut; an error means that there is no result.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	ctx, stop := context.WithTimeout(ctx, o.Most)
	defer stop()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	x := &run{o: o, ctx: ctx, end: end, asker: dataplane.NewReportClient(nil), beatRate: make(chan time.Duration, 1),
		r:      &Result{Agents: o.Agents, Thin: o.Thin, Mute: o.Mute, Tugs: o.Tugs, Core: o.Core, Voters: o.Voters, Services: o.Services, Entries: o.Entries, CPUs: runtime.NumCPU()},
		client: &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	if raw, err := os.ReadFile("/proc/loadavg"); err == nil {
		x.r.Load = strings.TrimSpace(string(raw))
	}
	defer x.close()
	if err := x.place(); err != nil {
		return nil, err
	}
	if err := x.up(); err != nil {
		return nil, err
	}
	x.wg.Go(x.watch)
	x.wg.Go(x.beat)
	if err := x.entries(); err != nil {
		return nil, err
	}
	if err := x.begin(); err != nil {
		x.leave("start", err)
		return x.r, nil
	}
	for _, name := range Phases {
		if !slices.Contains(o.Phases, name) {
			continue
		}
		if err := x.play(name); err != nil {
			x.leave(name, err)
		}
	}
	return x.r, nil
}

func (x *run) leave(phase string, err error) {
	if cause := context.Cause(x.ctx); cause != nil {
		err = cause
		if errors.Is(cause, context.DeadlineExceeded) {
			err = fmt.Errorf("the run had %v", x.o.Most)
		}
	}
	x.r.LeftOut = append(x.r.LeftOut, phase+": "+err.Error())
	x.o.Log("%s left out: %v", phase, err)
}

// place finds addresses and ports that are free.
func (x *run) place() error {
	for range 100 {
		x.l = Layout{Net: 10 + rand.IntN(200), First: 12000 + rand.IntN(15000), Agents: x.o.Agents + x.o.Tugs, Zones: x.o.Zones, Regions: x.o.Regions,
			Services: x.o.Services}
		free := true
		for i := range x.o.Core {
			for p := range portsAll {
				l, err := net.Listen("tcp4", x.l.CoreAddr(i, p))
				if err != nil {
					free = false
					continue
				}
				l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("no free ports on loopback")
}

func (x *run) seeds() (out []string) {
	for i := range 3 {
		out = append(out, x.l.CoreAddr(i, control))
	}
	return out
}

func (x *run) part(args ...string) []string { return append(slices.Clone(x.o.Self), args...) }

// up starts the core machines, gives them a configuration and starts the real proxies.
func (x *run) up() error {
	for i := range x.o.Core {
		for _, program := range []string{"harbourmaster", "purser"} {
			p := &runningProgram{name: fmt.Sprintf("%s-%d", program, i), args: x.part("part", program, "--counters", "0"),
				settings: filepath.Join(x.o.Dir, fmt.Sprintf("core-%d-%s.yaml", i, program))}
			if err := x.settings(p.settings, i, true, true, program); err != nil {
				return err
			}
			if program == "purser" {
				p.addr = x.l.CoreAddr(i, free+messages.StorePort)
				x.pursers = append(x.pursers, p)
			} else {
				p.addr = x.l.CoreAddr(i, free+messages.RegistryPort)
				x.harbours = append(x.harbours, p)
			}
			if err := p.start(0); err != nil {
				return err
			}
		}
	}
	var items []item
	for s := range x.o.Services {
		name := x.l.Service(s)
		items = append(items, service(name, 1), route("route-"+name, 1, "/"+name+"/", name))
	}
	for n := range x.o.Routes {
		items = append(items, route(fmt.Sprintf("more-%05d", n), 1, fmt.Sprintf("/more/%05d/", n), x.l.Service(n)))
	}
	x.version = 1
	x.r.Items = len(items)
	for part := range slices.Chunk(items, 500) {
		if err := x.until("a first configuration", 20*time.Second, func() bool { return x.change(part, 0) == nil }); err != nil {
			return err
		}
	}
	c := rpc.NewClient(nil, x.pursers[0].addr)
	defer c.Close()
	if err := x.until(fmt.Sprintf("a roll of %d", x.o.Voters), 20*time.Second, func() bool { // three found it, and it grows by itself
		var w messages.WatchReply
		err := c.Call(messages.Watch, messages.WatchCall{Have: configuration.Ballot{N: 1 << 62}}, &w, time.Second)
		return err == nil && len(w.VoterSet.Voters) == x.o.Voters && !w.Sealed
	}); err != nil {
		return err
	}
	for i := range x.o.Tugs {
		n := x.o.Agents + i
		p := &runningProgram{name: fmt.Sprintf("tug-%d", i), args: x.part("part", "tug", "--counters", "0"), addr: x.l.Addr(n, free+messages.InboundPort),
			settings: filepath.Join(x.o.Dir, fmt.Sprintf("tug-%d.yaml", i))}
		if err := x.settings(p.settings, n, false, false, "tug"); err != nil {
			return err
		}
		if err := p.start(0); err != nil {
			return err
		}
		x.tugs = append(x.tugs, p)
	}
	return nil
}

// entries tells the first harbourmaster of backends, as a proxy tells on for others.
func (x *run) entries() error {
	c := rpc.NewClient(nil, x.harbours[0].addr)
	defer c.Close()
	var all []backends.Backend
	for i := range x.o.Entries {
		n := x.o.Agents + x.o.Tugs + i
		all = append(all, entry(x.l, n, 1, 1))
	}
	var news messages.PullReply
	for part := range slices.Chunk(all, 64) { // as many as a proxy tells at a time
		call := messages.PullCall{Relayed: part, Incarnation: news.Incarnation, Revision: ^uint64(0), Have: configuration.Ballot{N: 1 << 62}}
		if err := c.Call(messages.Pull, call, &news, 10*time.Second); err != nil {
			return fmt.Errorf("entries: %w", err)
		}
	}
	return nil
}

// entry is what agent i tells of itself and of its backend.
func entry(l Layout, i int, version, life uint64) backends.Backend {
	return backends.Backend{Node: l.Node(i), Addr: l.Addr(i, free+messages.InboundPort), Zone: l.Zone(i), Version: version, Incarnation: life,
		Instance: fmt.Sprintf("i-%d-%06x", i, life&0xffffff), Service: l.Service(i), Release: "v1", Capacity: 8, State: backends.Serving}
}

// settings writes a settings file.
func (x *run) settings(path string, i int, core, bootstrap bool, program string) error {
	var b strings.Builder
	say := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	at, ip, name := func(place int) string { return x.l.Addr(i, place) }, x.l.IP(i), x.l.Node(i)
	if core {
		at, ip, name = func(place int) string { return x.l.CoreAddr(i, place) }, x.l.CoreIP(i), fmt.Sprintf("core-%02d", i)
	}
	say("node-name: %q\nrole: %q\nip: %q\nzone: %q\nregion: %q", name, program, ip, x.l.Zone(i), x.l.Region(i))
	say("zones: {%s: %s}", x.l.Zone(i), x.l.Region(i))
	say("ephemeral-ports: [%d, %d]\nseed-nodes: [%q, %q, %q]", x.l.First+free, x.l.First+portsAll-1, x.l.CoreAddr(0, control), x.l.CoreAddr(1, control), x.l.CoreAddr(2, control))
	say("bootstrap: %t\nheartbeat-s: 1\ncontracts: [\"base\"]\nfault-tolerance: {machine-losses: %d}", bootstrap, (x.o.Voters-1)/2)
	if core {
		dir := filepath.Join(x.o.Dir, name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		say("machine-class: core\nserves: [controller]\ndata-directory: %q\nquorum-member: %t", dir, i < x.o.Voters)
		say("limits: {cpu-fraction: 1, cpu-cores: 1, memory-mb: 4096, file-descriptors: 20000, disk-mb: 2048}")
		say("listen-addrs: {control-plane: %q}", at(control))
	} else {
		say("machine-class: sidecar\nserves: [sidecar]\ndata-directory: null\nquorum-member: false")
		say("limits: {cpu-fraction: 0.5, cpu-cores: 1, memory-mb: 256, file-descriptors: 4100, disk-mb: 0}")
		say("listen-addrs: {outbound: %q, inbound: %q, readiness: %q, control-plane: %q}", at(outbound), at(inbound), at(readiness), at(control))
		say("app-addr: %q\nservice: %q", at(app), x.l.Service(i))
	}
	return os.WriteFile(path, []byte(b.String()), 0o600)
}

// begin starts all hollow agents at once, and waits until all agents know all.
func (x *run) begin() error {
	n := (x.o.Agents + perProcess - 1) / perProcess
	if n+2*x.o.Core+x.o.Tugs > mostProcesses {
		return fmt.Errorf("%d processes of hollow agents are too many", n)
	}
	if most := descriptors(); most > 0 && x.o.Agents+200 > most { // all of them may come to pull from one harbourmaster
		return fmt.Errorf("a process may open %d files, which is too few", most)
	}
	each := 0
	if n > 0 {
		each = (x.o.Agents + n - 1) / n
	}
	threads := max(1, cores/max(1, n))
	var core []string
	for _, p := range x.harbours {
		core = append(core, p.addr)
	}
	for i := range n {
		p := &runningProgram{name: fmt.Sprintf("hollow-%d", i), args: x.part("part", "hollow")}
		if err := p.start(threads); err != nil {
			return err
		}
		x.mu.Lock()
		x.hollows, x.from = append(x.hollows, p), append(x.from, i*each)
		x.mu.Unlock()
		if _, err := p.do(plan{Layout: x.l, Seeds: x.seeds(), Thin: x.o.Thin, Mute: x.o.Mute, Core: core, Beat: 5 * time.Second}); err != nil {
			return err
		}
	}
	before := x.gather()
	begun := time.Now()
	pace := 0.0
	if n > 0 {
		pace = float64(x.o.Pace) / float64(n)
	}
	if err := x.orders(func(i int) order {
		return order{Do: "start", From: x.from[i], To: min(x.from[i]+each, x.o.Agents), Zone: -1, Pace: pace}
	}); err != nil {
		return err
	}
	started := time.Since(begun)
	ready, err := x.settled(x.o.Agents, 120*time.Second)
	p := x.phase("start", before, x.gather())
	p.Figures = map[string]float64{"started_s": started.Seconds()}
	if err == nil {
		p.Figures["ready_s"], p.Figures["agreed_s"] = ready.Sub(begun).Seconds(), time.Since(begun).Seconds()
	}
	x.r.Phases = append(x.r.Phases, p)
	if err != nil {
		return err
	}
	x.o.Log("%d agents agree after %.1f s", x.o.Agents, time.Since(begun).Seconds())
	return nil
}

// orders gives each process of hollow agents an order, all at once.
func (x *run) orders(of func(i int) order) error {
	errs := make([]error, len(x.hollows))
	var wg sync.WaitGroup
	for i, p := range x.hollows {
		wg.Go(func() { _, errs[i] = p.do(of(i)) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// settled waits until agents are ready, and agree with the harbourmasters on the table, and says since when all were ready.
func (x *run) settled(agents int, within time.Duration) (ready time.Time, err error) {
	tugs, said := 0, time.Now()
	err = x.until(fmt.Sprintf("%d agents are ready", agents), within, func() bool {
		n := 0
		for _, p := range x.hollows {
			t, err := p.do(order{Do: "sample"})
			if err != nil {
				return false
			}
			n += t.Ready
		}
		if now := time.Now(); now.Sub(said) > 5*time.Second {
			said = now
			x.o.Log("%d of %d are ready", n, agents)
		}
		tugs = 0
		for _, p := range x.tugs {
			if r, err := x.report(p); err == nil && r.Proxy != nil && r.Proxy.Ready {
				tugs++
			}
		}
		return n >= agents && tugs == len(x.tugs)
	})
	ready = time.Now()
	if err != nil {
		return ready, err
	}
	if x.o.Mute {
		agents = 0
	}
	return ready, x.agreed(agents+tugs+x.o.Entries, within)
}

// agreed waits until the tables of all harbourmasters, and of a sample of proxies, are one.
func (x *run) agreed(nodes int, within time.Duration) error {
	return x.until("one table", within, func() bool {
		var sum uint64
		for i, p := range x.harbours {
			if p.gone() {
				continue
			}
			r, err := x.report(p)
			if err != nil || r.BackendsTotal < nodes || i > 0 && sum != 0 && r.BackendsDigest != sum {
				return false
			}
			sum = r.BackendsDigest
		}
		for _, addr := range x.sample() {
			r, err := x.asker.Report(addr, messages.ReportCall{Brief: true}, 5*time.Second)
			if err != nil || r.BackendsDigest != sum {
				return false
			}
		}
		return true
	})
}

// sampled is how many hollow agents are asked for their tables.
const sampled = 16

func (x *run) sample() (out []string) {
	for _, p := range x.tugs {
		out = append(out, p.addr)
	}
	if !x.o.Thin {
		for i := range min(sampled, x.o.Agents) {
			out = append(out, x.l.Addr(i*x.o.Agents/min(sampled, x.o.Agents), free+messages.InboundPort))
		}
	}
	return out
}

func (x *run) report(p *runningProgram) (r messages.ReportReply, err error) {
	if slices.Contains(x.tugs, p) {
		return x.asker.Report(p.addr, messages.ReportCall{Brief: true}, 5*time.Second)
	}
	c := rpc.NewClient(nil, p.addr)
	defer c.Close()
	err = c.Call(messages.Report, messages.ReportCall{Brief: true}, &r, 10*time.Second)
	return r, err
}

// until asks again and again, within a time.
func (x *run) until(what string, within time.Duration, ok func() bool) error {
	end := time.Now().Add(within)
	for !ok() {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-x.ctx.Done():
			return context.Cause(x.ctx)
		}
		if time.Now().After(end) {
			return fmt.Errorf("not within %v: %s", within, what)
		}
	}
	return nil
}

func (x *run) pause(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-x.ctx.Done():
		return context.Cause(x.ctx)
	}
}

// watch ends the run when it has taken its part of the memory.
func (x *run) watch() {
	most := machineMemory() / parted
	t := time.NewTicker(500 * time.Millisecond)
	defer t.Stop()
	for {
		sum := int64(0)
		for _, p := range x.all() {
			sum += p.usage().rss
		}
		x.r.PeakMB = max(x.r.PeakMB, float64(sum)/(1<<20))
		if most > 0 && sum > most {
			x.end(ErrMemory)
			return
		}
		select {
		case <-t.C:
		case <-x.ctx.Done():
			return
		}
	}
}

func (x *run) all() []*runningProgram {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Concat(x.harbours, x.pursers, x.tugs, x.hollows)
}

// beat beats for the backends of real proxies.
func (x *run) beat() {
	every, count := time.Second, uint64(0)
	t := time.NewTimer(0)
	for {
		select {
		case <-t.C:
		case every = <-x.beatRate:
			t.Stop()
		case <-x.ctx.Done():
			return
		}
		t.Reset(every)
		count++
		for i := range x.tugs {
			n := x.o.Agents + i
			x.call(http.MethodPut, x.l.Addr(n, control), fmt.Sprintf("/v1/instances/i-%d", n), beatBody(x.l, n, count))
		}
	}
}

func (x *run) close() {
	x.end(nil)
	x.wg.Wait()
	var wg sync.WaitGroup
	for _, p := range x.all() {
		wg.Go(p.kill)
	}
	wg.Wait()
	for _, p := range x.all() {
		if p.last != nil && p.last.fault() != "" {
			x.r.LeftOut = append(x.r.LeftOut, p.name+" failed by itself: "+p.last.fault()+": "+p.last.String())
		}
	}
}

// ---- Measuring ----

// sums are totals of one process.
type sums struct {
	usage
	kinds   map[string]Rate // totals
	commits float64
	of      int
}

type snapshot struct {
	at    time.Time
	roles map[string][]sums
}

var kindNames = map[uint8]string{messages.Prepare: "prepare", messages.Accept: "accept", messages.Learn: "learn", messages.Watch: "watch",
	messages.Claim: "claim", messages.Release: "release", messages.Recover: "muster", messages.Pull: "pull", messages.Report: "report", messages.Lease: "lease",
	messages.Ready: "ready", messages.LastMark: "known"}

func name(kind uint8) string {
	if s := kindNames[kind]; s != "" {
		return s
	}
	return "kind " + strconv.Itoa(int(kind))
}

// rosterKind is the name under which datagrams of the roster stand.
const rosterKind = "roster"

func (x *run) gather() snapshot {
	s := snapshot{time.Now(), map[string][]sums{}}
	for role, of := range map[string][]*runningProgram{"harbourmaster": x.harbours, "purser": x.pursers, "tug": x.tugs} {
		for _, p := range of {
			t := sums{usage: p.usage(), kinds: map[string]Rate{}, of: 1}
			if !p.gone() {
				if r, err := x.report(p); err == nil {
					t.take(r.Traffic)
					c := r.Counts
					if c["roster_sent"] > 0 {
						t.kinds[rosterKind] = Rate{Out: float64(c["roster_sent"]), OutBytes: float64(c["roster_sent_bytes"]), In: float64(c["roster_received"])}
					}
					t.commits = float64(c["commits"])
				}
			}
			s.roles[role] = append(s.roles[role], t)
		}
	}
	for _, p := range x.hollows {
		t := sums{usage: p.usage(), kinds: map[string]Rate{}}
		if h, err := p.do(order{Do: "sample"}); err == nil {
			t.take(h.Traffic)
			t.of = h.Agents
			t.kinds[rosterKind] = Rate{float64(h.Datagrams[0]), float64(h.DataBytes[0]), float64(h.Datagrams[1]), float64(h.DataBytes[1])}
		}
		s.roles["agent"] = append(s.roles["agent"], t)
	}
	return s
}

func (t *sums) take(all []rpc.Traffic) {
	for _, k := range all {
		t.kinds[name(k.Kind)] = Rate{float64(k.Out), float64(k.OutBytes), float64(k.In), float64(k.InBytes)}
	}
}

// phase is what lay between two snapshots.
func (x *run) phase(name string, a, b snapshot) Phase {
	took := b.at.Sub(a.at).Seconds()
	p := Phase{Name: name, Seconds: took, Roles: map[string]Load{}}
	for role, after := range b.roles {
		l := Load{Kinds: map[string]Rate{}}
		for i, t := range after {
			l.Of += t.of
			l.MB += float64(t.rss) / (1 << 20)
			if i >= len(a.roles[role]) {
				continue
			}
			was := a.roles[role][i]
			if t.cpu < was.cpu || t.of == 0 || was.of == 0 && role != "agent" {
				continue // it ended meanwhile
			}
			used := (t.cpu - was.cpu).Seconds() / took
			l.Cores += used
			l.Busiest = max(l.Busiest, used)
			l.Commits += max(0, t.commits-was.commits) / took
			l.DiskRate += max(0, float64(t.written-was.written)) / took
			for k, r := range t.kinds {
				w, m := was.kinds[k], l.Kinds[k]
				m.Out += max(0, r.Out-w.Out) / took
				m.OutBytes += max(0, r.OutBytes-w.OutBytes) / took
				m.In += max(0, r.In-w.In) / took
				m.InBytes += max(0, r.InBytes-w.InBytes) / took
				l.Kinds[k] = m
			}
		}
		n := float64(max(1, l.Of))
		for k, m := range l.Kinds {
			m.Out, m.OutBytes, m.In, m.InBytes = m.Out/n, m.OutBytes/n, m.In/n, m.InBytes/n
			l.Kinds[k] = m
			l.Bytes += m.OutBytes + m.InBytes
		}
		l.Cores, l.MB, l.Commits, l.DiskRate = l.Cores/n, l.MB/n, l.Commits/n, l.DiskRate/n
		if l.Of > 0 {
			p.Roles[role] = l
		}
	}
	return p
}

func times(h *hdrhistogram.Histogram, missing int) Times {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Times{h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max()), missing}
}

// ---- The operator ----

type item struct {
	Kind    string         `json:"resource-kind"`
	Meta    map[string]any `json:"metadata"`
	Content map[string]any `json:"specification"`
}

func route(name string, version int, prefix, service string) item {
	return item{"routes", map[string]any{"name": name, "version": "r" + strconv.Itoa(version)}, map[string]any{
		"host": "scale.example", "path-prefix": prefix, "route-kind": "idempotent", "deadline-s": 8, "target-s": 1, "priority": 1, "service": service, "max-attempts": 3}}
}

func service(name string, version int) item {
	return item{"services", map[string]any{"name": name, "version": "r" + strconv.Itoa(version)}, map[string]any{
		"health-path": "/health", "connection-limit": 200, "protocol": "h1", "tls": false, "self-dedup": false}}
}

func (x *run) call(method, addr, path string, body []byte) error {
	r, err := http.NewRequestWithContext(x.ctx, method, "http://"+addr+path, strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	a, err := x.client.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	raw, _ := io.ReadAll(io.LimitReader(a.Body, 4<<10))
	if a.StatusCode/100 != 2 {
		return fmt.Errorf("%d %s", a.StatusCode, raw)
	}
	return nil
}
