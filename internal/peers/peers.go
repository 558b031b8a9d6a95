// Package peers is what agents of one fleet say to each other: membership (SWIM, by memberlist) and the messages that
// carry internal/shared. It judges nothing: what is merged, lent and spent is decided there. Nothing of it runs without
// [peers] in the operator's file. Its calls from the loop's path (Count, Left, Spend, Missed) take one short lock and
// never wait for the network. Start reading at Peers.
package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"

	"saltmast"
	"saltmast/internal/shared"
)

// Options are what an agent's part in a fleet is made of. All spans have to be above 0.
type Options struct {
	Name        string
	Incarnation uint64          // drawn at each start
	Listen      string          // address and port for TCP and UDP, IP literals
	Advertise   string          // where others reach it; "": where it listens
	Join        func() []string // addresses to begin with, read again while nobody is found
	Cluster     string
	Zone        string
	Key         []byte        // 16, 24 or 32 bytes; nil: nothing is encrypted
	Members     int           // that are known at the most, this one included
	BytesASec   int           // of counts that are told at the most; membership comes on top
	StateBytes  int           // of a whole state at the most, sent or taken
	Probe       time.Duration // between two looks whether a member lives
	Exchange    time.Duration // between two exchanges of whole states
	Rejoin      time.Duration // between two calls of those that were lost or never found
	Terms       shared.Terms
	Retries     *shared.Budget // the fleet's; nil: none
	Wrong       shared.Wrong   // a mistake on purpose, for the kit to prove that it shows
	Judge       *Judge         // nil: no agent goes by what others saw
	Log         *slog.Logger
}

// Judge is how far this agent goes by what others saw, and whom it tells. Its calls must not block for long.
type Judge struct {
	Witnesses int
	Part      float64
	Up        func() map[string]int64    // backends that may get new work, with their starts
	Started   func(backend string) int64 // of one, as the list has it
	Say       func(backend string, bad bool, age, lasts time.Duration)
}

const (
	// stepEvery is how often what was counted is taken over, and rights are looked after.
	stepEvery = 250 * time.Millisecond
	// rightsEvery is how often rights are asked for.
	rightsEvery = time.Second
	// sayEach is how often a verdict that lasts is said again, which it is for saidFor.
	sayEach, saidFor = time.Second, 2500 * time.Millisecond
	// patientFor is how long a backend may answer nothing before it is taken for silent, as a share of the aim: longer than
	// the module's own bound, which tries again and tells nobody.
	patientFor = 0.5
	// leaveFor is how long a farewell may take.
	leaveFor = 100 * time.Millisecond
	// handOnTo members get what an agent has counted when it goes.
	handOnTo = 3
	// forgetAfter is how long a lost member is called.
	forgetAfter = time.Hour
	// joinAtOnce bounds the addresses of one call to join.
	joinAtOnce = 3
)

// Peers is one agent's part in a fleet.
type Peers struct {
	o     Options
	self  shared.Agent
	list  atomic.Pointer[memberlist.Memberlist] // nil until it could listen
	done  chan struct{}                         // closed when Run returns
	began time.Time
	log   *slog.Logger
	rare  *rarely

	mu      sync.Mutex // what follows; nothing is waited for with it held
	value   *shared.Value
	rights  *shared.Holder // nil: no budget
	queue   *shared.Queue
	members map[string]*member
	rng     *rand.Rand

	witness  *shared.Witness
	verdicts []shared.Verdict         // as last judged
	said     map[string]time.Duration // of those that are bad: when it was last said

	counters counters
	sent     atomic.Int64 // bytes of counts and rights
	got      atomic.Int64
	refused  atomic.Int64 // messages that were none
	running  sync.WaitGroup
}

// member is one that is or was there.
type member struct {
	agent shared.Agent
	zone  string
	addr  string
	alive bool
	since time.Duration // that it is as it is
}

// New listens; what it hears is merged from then on, and Run says something.
func New(o Options) (*Peers, error) {
	p := &Peers{o: o, self: shared.Agent{Name: o.Name, Incarnation: o.Incarnation}, began: time.Now(), log: o.Log.With("part", "peers"),
		members: map[string]*member{}, done: make(chan struct{}), witness: shared.NewWitness(), said: map[string]time.Duration{}, rng: rand.New(rand.NewPCG(o.Incarnation, 1)), queue: shared.NewQueue(o.BytesASec)}
	p.rare = newRarely(p.log)
	p.value = shared.NewWrongValue(p.self, o.Terms, p.now(), o.Wrong)
	if o.Retries != nil {
		p.rights = shared.NewWrong(p.self, *o.Retries, p.now(), o.Wrong)
	}
	if err := p.listen(); err != nil && !inUse(err) {
		return nil, err
	}
	return p, nil
}

// listen opens the addresses; with that it is a member, of itself alone.
func (p *Peers) listen() error {
	c, err := p.config()
	if err != nil {
		return err
	}
	list, err := memberlist.Create(c)
	if err != nil {
		c.Transport.Shutdown()
		return fmt.Errorf("peers: %w", err)
	}
	p.list.Store(list)
	return nil
}

// inUse reports whether another process has the address: the one before, in an upgrade with both side by side, until it
// has gone.
func inUse(err error) bool { return strings.Contains(err.Error(), syscall.EADDRINUSE.Error()) }

// Close ends one that does not run.
func (p *Peers) Close() {
	if l := p.list.Load(); l != nil {
		l.Shutdown()
	}
}

// Done is closed once Run has returned.
func (p *Peers) Done() <-chan struct{} { return p.done }

// config is memberlist's, for these options.
func (p *Peers) config() (*memberlist.Config, error) {
	host, port, err := split(p.o.Listen)
	if err != nil {
		return nil, fmt.Errorf("peers: listen: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label = p.o.Name, p.o.Cluster
	c.BindAddr, c.BindPort = host, port
	c.Logger = p.rare.logger()
	if p.o.Advertise != "" {
		if c.AdvertiseAddr, c.AdvertisePort, err = split(p.o.Advertise); err != nil {
			return nil, fmt.Errorf("peers: advertise: %w", err)
		}
	}
	c.SecretKey = p.o.Key
	c.ProbeInterval, c.ProbeTimeout = p.o.Probe, p.o.Probe/2
	c.PushPullInterval = p.o.Exchange
	c.GossipInterval = min(c.GossipInterval, p.o.Probe/2)
	c.DeadNodeReclaimTime = p.o.Probe
	c.TCPTimeout = min(c.TCPTimeout, max(time.Second, 4*p.o.Probe))
	c.HandoffQueueDepth = 256
	// Counts are small numbers, which do not get smaller.
	c.EnableCompression = false
	d := delegate{p}
	c.Delegate, c.Events, c.Conflict, c.Alive = d, d, d, d
	if c.Transport, err = newTransport(c, host, p.o.StateBytes+p.o.Members*memberBytes); err != nil {
		return nil, fmt.Errorf("peers: listen: %w", err)
	}
	return c, nil
}

func split(addr string) (host string, port int, err error) {
	host, text, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, err
	}
	if net.ParseIP(host) == nil {
		return "", 0, fmt.Errorf("%q is no IP address", host)
	}
	port, err = strconv.Atoi(text)
	return host, port, err
}

// now is the agent's own clock; it goes on while the process is stopped.
func (p *Peers) now() time.Duration { return time.Since(p.began) }

// Addr is where others reach it; "" while it can't listen.
func (p *Peers) Addr() string {
	if l := p.list.Load(); l != nil {
		return l.LocalNode().Address()
	}
	return ""
}

// Run takes part until ctx ends, and then says farewell.
func (p *Peers) Run(ctx context.Context) {
	defer close(p.done)
	p.running.Add(1)
	go p.keepJoining(ctx)
	defer func() {
		if l := p.list.Load(); l != nil {
			p.handOn(l)
			l.Leave(leaveFor) // nobody has to hear it: what was held runs out by itself
			l.Shutdown()
		}
		p.running.Wait()
	}()
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	asked := p.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.takeOver()
		if p.o.Judge != nil {
			p.judge()
		}
		if now := p.now(); p.rights != nil && now-asked >= rightsEvery {
			asked = now
			p.mu.Lock()
			out := p.rights.Step(now, p.alive())
			p.mu.Unlock()
			for _, m := range out {
				p.say(m)
			}
		}
	}
}

// handOn gives what this agent has counted to a few members before it goes: in a rolling restart of 150 agents a seventh of
// all counts was still in line and went with them.
func (p *Peers) handOn(l *memberlist.Memberlist) {
	p.takeOver()
	p.mu.Lock()
	d := shared.Delta{Turn: p.value.Turn()}
	for _, w := range p.value.Windows() {
		if r, ok := p.value.Own(w); ok {
			d.Records = append(d.Records, r)
		}
	}
	to := map[string]bool{}
	for _, a := range p.alive() {
		if len(to) < handOnTo {
			to[a.Name] = true
		}
	}
	p.mu.Unlock()
	raw, n := shared.AppendDelta(nil, d, p.o.StateBytes)
	if n == 0 {
		return
	}
	done := make(chan struct{}, handOnTo)
	sent := 0
	for _, m := range l.Members() {
		if to[m.Name] {
			sent++
			p.running.Add(1)
			go func() { defer p.running.Done(); l.SendReliable(m, raw); done <- struct{}{} }()
		}
	}
	end := time.NewTimer(leaveFor)
	defer end.Stop()
	for ; sent > 0; sent-- {
		select {
		case <-done:
		case <-end.C:
			return
		}
	}
}

// takeOver brings what was counted since into the value, and puts this agent's records that changed in line.
func (p *Peers) takeOver() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.value.Advance(now)
	p.counters.drain(func(label string, t shared.Tally) {
		for k, n := range t {
			p.value.Add(now, label, shared.Kind(k), n)
		}
	})
	for _, w := range p.value.Windows() {
		if w+1 < p.value.Window() {
			continue // it can't have changed
		}
		if r, ok := p.value.Own(w); ok {
			p.queue.Own(r, shared.RecordCopies)
		}
	}
}

// judge looks at the evidence, tells what this agent sees itself, and says what has become of others' word.
func (p *Peers) judge() {
	up := p.o.Judge.Up()
	p.mu.Lock()
	now := p.now()
	p.value.Forget()
	copies := p.copies()
	for _, e := range p.witness.Tell(now, p.value.Turn(), p.o.Terms.Fade, p.value.Doubted()) {
		p.value.Testify(e)
		e.Agent = p.self
		p.queue.Word(e, copies)
	}
	bench := shared.Bench{Witnesses: p.o.Judge.Witnesses, Part: p.o.Judge.Part, Backends: up, Zones: map[shared.Agent]string{}}
	for _, m := range p.members {
		if m.alive {
			bench.Zones[m.agent] = m.zone
		} else {
			bench.Lost++
		}
	}
	p.verdicts = p.value.Judge(bench)
	turn := p.o.Terms.Turn
	type word struct {
		shared.Verdict
		age time.Duration
	}
	var say []word
	bad := map[string]bool{}
	for _, v := range p.verdicts {
		age := time.Duration(v.Age+1) * turn
		at, was := p.said[v.Backend]
		switch {
		case v.Bad:
			bad[v.Backend] = true
			if !was || now-at >= sayEach {
				p.said[v.Backend] = now
				say = append(say, word{v, age})
			}
			if !was {
				p.log.Info("a backend is left out on others' word", "backend", v.Backend, "agents", v.For)
			}
		case was:
			say = append(say, word{v, age})
		}
	}
	for id := range p.said {
		if !bad[id] {
			delete(p.said, id)
			p.log.Info("others' word on a backend has ended", "backend", id)
		}
	}
	p.mu.Unlock()
	for _, w := range say {
		p.o.Judge.Say(w.Backend, w.Bad, w.age, saidFor)
	}
}

// Sent notes an attempt that goes out, and returns what to end it with.
func (p *Peers) Sent(backend string, aim time.Duration) time.Duration {
	if p.o.Judge == nil {
		return 0
	}
	started := p.o.Judge.Started(backend)
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.witness.Sent(now, p.value.Turn(), backend, started, time.Duration(patientFor*float64(aim)))
	return now
}

// Ended notes how an attempt ended. What was withdrawn, was not sent or was turned away says nothing of its backend.
func (p *Peers) Ended(backend string, at time.Duration, r saltmast.Result, late bool) {
	if p.o.Judge == nil {
		return
	}
	var seen *shared.Seen
	switch {
	case r == saltmast.OK && late:
		seen = &shared.Seen{Slow: 1}
	case r == saltmast.OK:
		seen = &shared.Seen{Good: 1}
	case r == saltmast.Errored || r == saltmast.TimedOut || r == saltmast.ConnectFailed || r == saltmast.Reset:
		seen = &shared.Seen{Bad: 1}
	}
	started := p.o.Judge.Started(backend)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.witness.Ended(p.now(), p.value.Turn(), backend, started, at, seen)
}

// copies is how often a record is told to reach the members that live. The lock is held.
func (p *Peers) copies() int {
	n := 0
	for _, m := range p.members {
		if m.alive {
			n++
		}
	}
	return shared.Copies(n)
}

// alive are the members that live, as far as is heard, in a new order each time. The lock is held.
func (p *Peers) alive() []shared.Agent {
	var out []shared.Agent
	for _, m := range p.members {
		if m.alive && m.agent != p.self {
			out = append(out, m.agent)
		}
	}
	slices.SortFunc(out, shared.Agent.Compare)
	p.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// say sends a message between holders; it may get lost.
func (p *Peers) say(m shared.Message) {
	l := p.list.Load()
	if l == nil {
		return
	}
	for _, n := range l.Members() {
		if n.Name == m.To.Name {
			raw := shared.AppendMessage(nil, m)
			p.sent.Add(int64(len(raw)))
			l.SendBestEffort(n, raw)
			return
		}
	}
}

// keepJoining calls those that were given while nobody is there, and those that were lost now and then: after a cut
// nobody else does.
func (p *Peers) keepJoining(ctx context.Context) {
	defer p.running.Done()
	tick := time.NewTicker(p.o.Rejoin)
	defer tick.Stop()
	for {
		if l := p.list.Load(); l == nil {
			if err := p.listen(); err != nil {
				p.rare.say("it can't listen yet", "err", firstLine(err))
			}
		} else if to := p.missing(); len(to) > 0 {
			if n, err := l.Join(to); n == 0 && err != nil {
				p.rare.say("nobody answers", "addresses", to, "err", firstLine(err))
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// missing draws a few addresses to call: of those that were given and are no member, and of the lost.
func (p *Peers) missing() []string {
	given, self := p.o.Join(), p.Addr()
	p.mu.Lock()
	defer p.mu.Unlock()
	here := map[string]bool{self: true}
	var lost []string
	now := p.now()
	for name, m := range p.members {
		switch {
		case m.alive:
			here[m.addr] = true
		case now-m.since > forgetAfter:
			delete(p.members, name)
		default:
			lost = append(lost, m.addr)
		}
	}
	slices.Sort(lost)
	for _, a := range given {
		if !here[a] && !slices.Contains(lost, a) {
			lost = append(lost, a)
		}
	}
	lost = slices.DeleteFunc(lost, func(a string) bool { return here[a] })
	p.rng.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	return lost[:min(joinAtOnce, len(lost))]
}

// hear takes what came from another agent.
func (p *Peers) hear(raw []byte) {
	p.got.Add(int64(len(raw)))
	m, err := shared.Decode(raw)
	if err == nil {
		switch m := m.(type) {
		case shared.Delta:
			err = p.merge(m)
		case shared.Message:
			p.mu.Lock()
			var answer shared.Message
			ok := false
			if p.rights != nil {
				answer, ok = p.rights.Hear(p.now(), m)
			}
			p.mu.Unlock()
			if ok {
				go p.say(answer) // not from memberlist's own goroutine
			}
		}
	}
	if err != nil {
		p.refused.Add(1)
		p.rare.say("a message is refused", "bytes", len(raw), "err", err)
	}
}

// merge takes records over and passes on what is new.
func (p *Peers) merge(d shared.Delta) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	fresh, err := p.value.Merge(p.now(), d)
	copies := p.copies()
	for _, e := range fresh.Evidence {
		p.queue.Word(e, copies)
	}
	for _, r := range fresh.Records {
		p.queue.Put(r, shared.RecordCopies)
	}
	return err
}

// Left is how many retries may be sent now; -1: there is no budget.
func (p *Peers) Left() int {
	if p.rights == nil {
		return -1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rights.Left(p.now())
}

// Spend takes a retry from the budget; false: there is none left.
func (p *Peers) Spend() bool {
	if p.rights == nil {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rights.Spend(p.now())
}

// Missed notes a retry that was wanted, and not tried as there was none left.
func (p *Peers) Missed() {
	if p.rights == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rights.Missed()
}

// errFull is why a member beyond the bound is not taken.
var errFull = errors.New("no more members are taken")
