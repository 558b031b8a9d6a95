// Package rehearsal plays a scenario: it starts stand-in servers and a stand-in list, real agents as processes of
// their own, and their clients, makes everything go wrong as planned, and has the record of it graded. It owns all
// processes, sockets, goroutines and files of a run and leaves none behind. What is planned is package scenario's
// to say, what is judged package grade's. Start reading at Run.
package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"saltmast/internal/grade"
	"saltmast/internal/scenario"
	"saltmast/internal/standin"
	"saltmast/internal/standin/between"
	"saltmast/internal/usage"
)

// Options say how a plan is played.
type Options struct {
	Plan    *scenario.Plan
	Command []string       // starts one agent; see Find
	Logs    string         // a folder for the agents' logs; "" for none
	Settles bool           // the agents keep journals of settles, which are held against what the servers saw
	Kills   int            // so many times an agent is killed at a random moment and started again
	Load    string         // the recording whose load the plan has, for the report; "" for a drawn one
	Tick    func(Progress) // called four times a second, and once at the end; may be nil

	// During is played beside the load, After once the last request is answered and before the agents are stopped. An error
	// of either ends the run. Both may be nil.
	During, After func(ctx context.Context, f *Fleet) error
}

// Progress tells how far a run is.
type Progress struct {
	Phase     string // starting, playing, stopping, grading
	At, Total time.Duration
	Sent      int // requests that have become due
}

// Result is a run with its grade.
type Result struct {
	*grade.Report
	Scenario scenario.Scenario `json:"scenario"`
	Agent    string            `json:"agent"`
	Load     string            `json:"load,omitempty"` // the recording that it played
	Wall     time.Duration     `json:"wall_ns"`        // of the whole run
	Usage    Usage             `json:"usage"`
	Servers  []ServerUse       `json:"servers"`
	ListLoad ListLoad          `json:"list_load"`
	Settles  *Settles          `json:"settles,omitempty"`
	Events   []grade.Event     `json:"-"`
}

// Usage is what the run took.
type Usage struct {
	KitCPU      time.Duration `json:"kit_cpu_ns"`
	AgentCPU    time.Duration `json:"agent_cpu_ns"` // of all agents
	KitPerTry   time.Duration `json:"kit_cpu_per_try_ns"`
	AgentPerTry time.Duration `json:"agent_cpu_per_try_ns"`
	AgentRSS    int64         `json:"agent_rss_bytes"` // the largest of all agents
	Cores       int           `json:"cores"`
}

// ServerUse is what one server saw.
type ServerUse struct {
	ID string `json:"id"`
	standin.Stats
}

// ListLoad is what the agents asked of the list.
type ListLoad struct {
	Calls   int `json:"calls"`
	Watches int `json:"watches"`
	Lines   int `json:"lines"`
}

const (
	stallTick = 5 * time.Millisecond
	// stallFrom is the least standstill of the kit that is noted: less than half of the sockets' allowance.
	stallFrom = 20 * time.Millisecond
)

// run is one being played.
type run struct {
	o       Options
	s       *scenario.Scenario
	plan    *scenario.Plan
	record  *standin.Record
	list    *standin.List
	net     *between.Net // nil: agents share nothing
	parted  map[int]bool // faults of it that last; the steps' own
	jobs    *standin.Jobs
	servers []*server
	agents  []*agent
	clients []map[string]*client // of each agent, by protocol
	zero    time.Duration        // of the record: when clients come
	dir     string
	steps   sync.WaitGroup // those that take their time
	failed  chan error     // holds the first failure of a step
	killed  int            // agents, by Options.Kills
	number  int            // of the run: its network, see host
}

// runs counts those of this process, which may play several at once.
var runs atomic.Int32

// server is a stand-in server with what the list says of it.
type server struct {
	*standin.Server
	mu      sync.Mutex
	unix    int64 // its start as the list tells it; 0 for long ago
	details standin.Details
}

// Run plays a plan to its end, or until ctx ends: then the result is partial and the error nil. An error means
// that the run could not be played; nothing is left running either way.
func Run(ctx context.Context, o Options) (*Result, error) {
	began := time.Now()
	cpu := usage.CPU()
	dir, err := os.MkdirTemp("", "latchkit-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if o.Logs != "" {
		if err := os.MkdirAll(o.Logs, 0o755); err != nil {
			return nil, err
		}
	}
	r := &run{number: os.Getpid() + int(runs.Add(1)), o: o, plan: o.Plan, s: &o.Plan.Scenario, record: standin.NewRecord(began), jobs: &standin.Jobs{}, dir: dir, failed: make(chan error, 1)}
	defer r.close()
	tickers := r.watch(ctx)
	err = r.play(ctx)
	partial := ctx.Err() != nil
	if partial {
		err = nil
	}
	r.stop()
	tickers()
	if err != nil {
		return nil, err
	}
	r.tick("grading", 0)
	res := r.grade(began, cpu, partial)
	if o.Settles {
		if res.Settles, err = r.settles(res.Events); err != nil {
			return nil, err
		}
	}
	return res, nil
}

func (r *run) tick(phase string, sent int) {
	if r.o.Tick != nil {
		at := time.Duration(0)
		if r.zero > 0 {
			at = r.record.Now() - r.zero
		}
		r.o.Tick(Progress{Phase: phase, At: at, Total: sec(r.s.ForS), Sent: sent})
	}
}

// watch notes when the kit itself stands still. The function that it returns ends that.
func (r *run) watch(ctx context.Context) (end func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		t := time.NewTicker(stallTick)
		defer t.Stop()
		last := time.Now()
		for {
			select {
			case <-done:
				return
			case <-t.C:
			}
			now := time.Now()
			if stood := now.Sub(last) - stallTick; stood >= stallFrom {
				r.record.Add(grade.Event{Kind: grade.Stall, Late: stood})
			}
			last = now
		}
	}()
	return func() { close(done); running.Wait() }
}

// set makes the stand-ins.
func (r *run) set() error {
	s := r.s
	list := standin.ListConfig{Period: ms(s.List.PeriodMs), LinesPerS: s.List.LinesPerS, CallLines: s.List.CallLines, Timeout: ms(s.List.TimeoutMs), Record: r.record}
	if s.List.Pushed {
		list.Pushed, list.LinesPerS, list.Timeout = true, 0, 0
	}
	r.list = standin.NewList(list)
	pods := map[int]*standin.Pod{}
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, ms(c.WindowMs))
	}
	for i, p := range r.plan.Servers {
		if pods[p.Pod] == nil {
			pods[p.Pod] = standin.NewPod(longest + grade.SocketSlack)
		}
		v := &server{details: standin.Details{Zone: zone, Kind: kind, Cell: p.Pod}}
		if protocolOf(s, p.Pod) != standin.HTTP {
			v.details.Kind = kindThrift
		}
		v.Server = standin.NewServer(standin.ServerConfig{ID: p.ID, Protocol: protocolOf(s, p.Pod), Addr: host(r.number, 1, i) + ":0", Pod: pods[p.Pod], PodNumber: p.Pod,
			Cores: s.Server.Cores, Speed: float64(p.SpeedPM) / 1000, Queue: int(s.Server.QueuePerCore * float64(s.Server.Cores)),
			ColdFrom: s.Server.ColdFrom, Ramp: ms(s.Server.ColdMs), Handshake: ms(s.Server.HandshakeMs), Connections: s.Server.Connections,
			Idle: ms(s.Server.IdleMs), Probe: ms(s.Server.ProbeMs), ErrorRate: s.Server.ErrorRate, DropsExpired: s.Server.DropsExpired,
			FallMultiple: s.Rules.FallMultiple, FallWindow: ms(s.Rules.FallMs), World: r.jobs, Record: r.record,
			Fell: func(id, addr string) { r.fell(v, id, addr) }})
		r.servers = append(r.servers, v)
		if err := v.Start(false); err != nil {
			return err
		}
		r.list.Set(grade.Entry{Server: v.ID(), Addr: v.Addr(), State: grade.Serving}, v.details)
	}
	for i := range s.Agents {
		name := fmt.Sprintf("n%d", i)
		at, err := r.list.Listen(name, host(r.number, 120, i)+":0")
		if err != nil {
			return err
		}
		addr, err := freeAddr(host(r.number, 100, i))
		if err != nil {
			return fmt.Errorf("agent %s: %w", name, err)
		}
		a := &agent{i: i, name: name, s: s, command: r.o.Command, dir: r.dir, logs: r.o.Logs,
			list: r.list, listAt: at, record: r.record, addr: addr}
		if r.s.Peers != nil {
			if err := r.connect(a); err != nil {
				return fmt.Errorf("agent %s: %w", name, err)
			}
		}
		if r.o.Settles {
			a.settles = settlesDir(r.dir, name)
		}
		r.agents = append(r.agents, a)
		clients := map[string]*client{}
		r.clients = append(r.clients, clients)
		add := func(protocol, addr string, part int) {
			clients[protocol] = &client{agent: name, addr: addr, protocol: protocol, s: s, record: r.record, jobs: r.jobs, most: max(1, s.Clients.Connections/part)}
		}
		add(standin.HTTP, addr, 1)
		if s.Protocol != "" && s.Protocol != standin.HTTP {
			if a.thrift, err = freeAddr(host(r.number, 110, i)); err != nil {
				return fmt.Errorf("agent %s: %w", name, err)
			}
			// The descriptors are shared out among the protocols, and Thrift's among two of them.
			add(standin.HTTP, addr, 2)
			add(standin.ThriftBinary, a.thrift, 4)
			add(standin.ThriftCompact, a.thrift, 4)
		}
	}
	return nil
}

// play starts all and plays the plan.
func (r *run) play(ctx context.Context) error {
	r.tick("starting", 0)
	if err := r.set(); err != nil {
		return err
	}
	steps := r.plan.Steps
	for len(steps) > 0 && steps[0].AtUs == 0 { // before the first agent is there
		r.step(ctx, steps[0])
		steps = steps[1:]
	}
	for _, a := range r.agents {
		if err := a.start(); err != nil {
			return err
		}
	}
	for _, a := range r.agents {
		if err := a.ready(ctx); err != nil {
			return err
		}
	}
	if err := r.failure(); err != nil {
		return err
	}
	runtime.GC() // what the plan left behind is not to be collected amid the load
	r.zero = r.record.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var walking sync.WaitGroup
	walking.Add(1)
	go func() { // steps go on until the last request is answered
		defer walking.Done()
		for _, s := range steps {
			if !r.until(ctx, s.At()) {
				return
			}
			r.step(ctx, s)
		}
	}()
	fleet := &Fleet{r}
	if r.o.During != nil {
		walking.Add(1)
		go func() {
			defer walking.Done()
			if err := r.o.During(ctx, fleet); err != nil && ctx.Err() == nil {
				r.fail(err)
			}
		}()
	}
	if r.o.Kills > 0 {
		walking.Add(1)
		go func() { defer walking.Done(); r.killAgents(ctx) }()
	}
	var jobs sync.WaitGroup
	last := time.Now()
	for i := range r.plan.Arrivals {
		a := &r.plan.Arrivals[i]
		if !r.until(ctx, a.At()) {
			break
		}
		if time.Since(last) > 250*time.Millisecond {
			last = time.Now()
			r.tick("playing", i)
		}
		jobs.Add(1)
		started := r.record.Now()
		go func() {
			defer jobs.Done()
			r.clients[a.Agent][callerOf(r.s, a.ID)].job(ctx, a, started, r.zero+a.At())
		}()
	}
	if r.until(ctx, sec(r.s.ForS)) {
		jobs.Wait()
	}
	if r.o.During != nil {
		walking.Wait() // it ends by itself
	}
	if r.o.After != nil && ctx.Err() == nil {
		if err := r.o.After(ctx, fleet); err != nil && ctx.Err() == nil {
			r.fail(err)
		}
	}
	r.tick("stopping", len(r.plan.Arrivals))
	cancel()
	jobs.Wait()
	walking.Wait()
	return r.failure()
}

// until waits for a time of the load; false: ctx has ended.
func (r *run) until(ctx context.Context, at time.Duration) bool {
	wait := r.zero + at - r.record.Now()
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) fail(err error) {
	select {
	case r.failed <- err:
	default:
	}
}

func (r *run) failure() error {
	select {
	case err := <-r.failed:
		return err
	default:
		return nil
	}
}

// fell has the list learn, in its own time, of a server that was pushed over.
func (r *run) fell(v *server, id, addr string) {
	r.steps.Add(1)
	go func() {
		defer r.steps.Done()
		t := time.NewTimer(ms(r.s.List.NoticeMs))
		defer t.Stop()
		<-t.C
		r.list.Set(grade.Entry{Server: id, Addr: addr, State: grade.Deleted}, v.details)
	}()
}

// relink has the network between agents be as the faults that last have it, together.
func (r *run) relink(fault int, begins bool) {
	if r.parted == nil {
		r.parted = map[int]bool{}
	}
	if r.parted[fault] = begins; !begins {
		delete(r.parted, fault)
	}
	links := map[[2]int]between.Link{}
	for i := range r.parted {
		f := &r.s.Faults[i]
		for a := range r.agents {
			for b := range r.agents {
				if from, to := slices.Contains(f.Agents, a), slices.Contains(f.Agents, b); a != b {
					l := links[[2]int{a, b}]
					switch f.Kind {
					case scenario.Apart:
						l.Cut = l.Cut || from != to
					case scenario.Mute:
						l.Cut = l.Cut || from && !to
					case scenario.Deaf:
						l.Cut = l.Cut || !from && to
					case scenario.Lossy:
						if from || to {
							l.Loss, l.Repeat, l.Jitter = max(l.Loss, f.Part), max(l.Repeat, f.Part/2), max(l.Jitter, sec(f.AgeS))
						}
					}
					links[[2]int{a, b}] = l
				}
			}
		}
	}
	r.net.Replace(links)
}

// step makes one thing happen.
func (r *run) step(ctx context.Context, s scenario.Step) {
	f := &r.s.Faults[s.Fault]
	note := func(what string) {
		e := grade.Event{Kind: grade.Fault, Note: what, N: s.Fault}
		if scenario.On(f.Kind) == "server" {
			e.Server = r.servers[s.Target].ID()
		}
		r.record.Add(e)
	}
	later := func(do func()) {
		r.steps.Add(1)
		go func() { defer r.steps.Done(); do() }()
	}
	switch s.Do {
	case scenario.DoPart, scenario.DoHeal:
		note(s.Do + " " + f.Kind)
		r.relink(s.Fault, s.Do == scenario.DoPart)
	case scenario.DoHalt:
		if err := (&Fleet{r}).Halt(s.Target); err != nil {
			r.fail(err)
		}
	case scenario.DoWake:
		if err := (&Fleet{r}).Wake(s.Target); err != nil {
			r.fail(err)
		}
	case scenario.DoListOut:
		note(s.Do)
		r.list.Out()
	case scenario.DoListIn:
		note(s.Do)
		age := time.Duration(s.AgeUs) * time.Microsecond
		if age == 0 {
			r.list.In(0)
		} else {
			r.list.In(max(1, r.record.Now()-age))
			later(func() {
				t := time.NewTimer(age)
				defer t.Stop()
				select {
				case <-t.C:
				case <-ctx.Done():
				}
				r.list.Catch()
			})
		}
	case scenario.DoAgentKill:
		r.agents[s.Target].kill()
	case scenario.DoAgentStop:
		later(r.agents[s.Target].stop)
	case scenario.DoAgentGo:
		later(func() {
			a := r.agents[s.Target]
			if p := a.running(); p != nil { // told to stop, and has not yet
				select {
				case <-p.ended:
				case <-ctx.Done():
					return
				}
			}
			if ctx.Err() == nil {
				if err := a.start(); err != nil {
					r.fail(err)
				}
			}
		})
	default:
		r.serverStep(s, f, note)
	}
}

func (r *run) serverStep(s scenario.Step, f *scenario.Fault, note func(string)) {
	v := r.servers[s.Target]
	switch s.Do {
	case scenario.DoSilence:
		note(s.Do)
		if err := v.Silence(); err != nil {
			r.fail(err)
		}
	case scenario.DoKill:
		note(s.Do)
		v.Kill()
	case scenario.DoDrain:
		note(s.Do)
		v.Drain()
	case scenario.DoStart, scenario.DoMove:
		v.Kill() // a silent machine's connections break as it comes back
		unix, err := v.Restart(s.ID, s.Do == scenario.DoMove)
		if errors.Is(err, standin.ErrFell) {
			return
		}
		if err != nil {
			r.fail(err)
			return
		}
		v.mu.Lock()
		v.unix = unix
		v.mu.Unlock()
		note(s.Do)
	case scenario.DoSpoil:
		note(f.Kind)
		v.Spoil(f.Kind, standin.Spoil{Part: f.Part, Times: f.Times})
	case scenario.DoMend:
		note("end of " + f.Kind)
		v.Mend(f.Kind)
	case scenario.DoTell:
		if s.State != grade.Deleted && v.Fallen() {
			return
		}
		v.mu.Lock()
		unix := v.unix
		v.mu.Unlock()
		r.list.Set(grade.Entry{Server: s.ID, Addr: v.Addr(), State: s.State, Started: unix}, v.details)
	}
}

// stop ends the agents, in order, and all at once.
func (r *run) stop() {
	var stopping sync.WaitGroup
	for _, a := range r.agents {
		stopping.Add(1)
		go func() { defer stopping.Done(); a.stop() }()
	}
	stopping.Wait()
	for _, clients := range r.clients {
		for _, c := range clients {
			c.close()
		}
	}
}

// close ends whatever is still there.
func (r *run) close() {
	for _, a := range r.agents {
		a.kill()
	}
	if r.net != nil {
		r.net.Close()
	}
	r.steps.Wait()
	for _, a := range r.agents {
		a.kill() // one that a step had started since
	}
	for _, v := range r.servers {
		v.Close()
	}
	if r.list != nil {
		r.list.Close()
	}
}

// grade closes the record and judges it.
func (r *run) grade(began time.Time, cpu time.Duration, partial bool) *Result {
	events := slices.Clone(r.record.Close())
	for i := range events { // counted from when clients came
		events[i].At -= r.zero
		if events[i].First > 0 {
			events[i].First -= r.zero
		}
	}
	res := &Result{Report: grade.Judge(rules(r.s), events), Scenario: *r.s, Agent: r.o.Command[len(r.o.Command)-1],
		Wall: time.Since(began), Events: events}
	res.Partial = partial
	res.Usage = Usage{KitCPU: usage.CPU() - cpu, Cores: runtime.NumCPU()}
	for _, a := range r.agents {
		cpu, rss := a.usage()
		res.Usage.AgentCPU += cpu
		res.Usage.AgentRSS = max(res.Usage.AgentRSS, rss)
	}
	if n := time.Duration(res.Counts.Tries); n > 0 {
		res.Usage.KitPerTry, res.Usage.AgentPerTry = res.Usage.KitCPU/n, res.Usage.AgentCPU/n
	}
	for _, v := range r.servers {
		res.Servers = append(res.Servers, ServerUse{v.ID(), v.Stats()})
	}
	res.ListLoad.Calls, res.ListLoad.Watches, res.ListLoad.Lines = r.list.Load()
	res.Agent, res.Load = filepath.Base(res.Agent), r.o.Load
	return res
}
