// Package peers is what agents of one fleet say to each other: membership (SWIM, by package roster) and the messages that
// carry internal/shared. It judges nothing: what is merged, lent and spent is decided there. Nothing of it runs without
// [peers] in the operator's file. Its calls from the loop's path (Count, Left, Spend, Missed) take one short lock and
// never wait for the network. Start reading at Peers.
package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/bits"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"saltmast"
	"saltmast/internal/membership"
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
	// forgetAfter is how long a lost member is remembered, and called.
	forgetAfter = time.Hour
	// joinAtOnce bounds the addresses that are called at once, and the states that are exchanged with those who come, in each
	// span of Rejoin.
	joinAtOnce = 3
	// gossipEvery is how often what is in line is told to gossipTo members; twice a probe where that is more often.
	gossipEvery = 200 * time.Millisecond
	gossipTo    = 3
)

// Peers is one agent's part in a fleet.
type Peers struct {
	o     Options
	self  shared.Agent
	quay  atomic.Pointer[quay] // nil until it could listen
	done  chan struct{}        // closed when Run returns
	began time.Time
	log   *slog.Logger
	rare  *rarely

	mu      sync.Mutex // what follows; nothing is waited for with it held
	value   *shared.Value
	rights  *shared.Holder // nil: no budget
	queue   *shared.Queue
	members map[string]*member // this one included
	others  []*member          // that live, in no order
	rng     *rand.Rand

	witness  *shared.Witness
	verdicts []shared.Verdict         // as last judged
	said     map[string]time.Duration // of those that are bad: when it was last said

	counters counters
	came     chan netip.AddrPort // members that came or came back
	sent     atomic.Int64        // bytes of counts and rights
	got      atomic.Int64
	refused  atomic.Int64 // messages that were none
	running  sync.WaitGroup
}

// member is one that is or was there.
type member struct {
	agent shared.Agent
	zone  string
	addr  netip.AddrPort
	alive bool
	since time.Duration // that it is as it is
}

// New listens; what it hears is merged from then on, and Run says something. Where another has the address, or the name is one
// that others refuse, it goes on alone and Run tries again.
func New(o Options) (*Peers, error) {
	p := &Peers{o: o, self: shared.Agent{Name: o.Name, Incarnation: o.Incarnation}, began: time.Now(), log: o.Log.With("part", "peers"),
		members: map[string]*member{}, came: make(chan netip.AddrPort, joinAtOnce), done: make(chan struct{}), witness: shared.NewWitness(), said: map[string]time.Duration{}, rng: rand.New(rand.NewPCG(o.Incarnation, 1)), queue: shared.NewQueue(o.BytesASec)}
	p.rare = newRarely(p.log)
	p.value = shared.NewWrongValue(p.self, o.Terms, p.now(), o.Wrong)
	if o.Retries != nil {
		p.rights = shared.NewWrong(p.self, *o.Retries, p.now(), o.Wrong)
	}
	if err := p.listen(); err != nil && !inUse(err) && !errors.Is(err, membership.ErrMember) {
		return nil, err
	}
	return p, nil
}

// listen opens the addresses; with that it is a member, of itself alone.
func (p *Peers) listen() error {
	q, err := openQuay(p)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.members[p.self.Name] = &member{agent: p.self, zone: p.o.Zone, addr: q.addr, alive: true, since: p.now()}
	p.mu.Unlock()
	p.quay.Store(q)
	return nil
}

// Close ends one that does not run.
func (p *Peers) Close() {
	if q := p.quay.Load(); q != nil {
		q.shut()
	}
}

// Done is closed once Run has returned.
func (p *Peers) Done() <-chan struct{} { return p.done }

// now is the agent's own clock; it goes on while the process is stopped.
func (p *Peers) now() time.Duration { return time.Since(p.began) }

// Addr is where others reach it; "" while it can't listen.
func (p *Peers) Addr() string {
	if q := p.quay.Load(); q != nil {
		return q.addr.String()
	}
	return ""
}

// Run takes part until ctx ends, and then says farewell.
func (p *Peers) Run(ctx context.Context) {
	defer close(p.done)
	p.running.Add(2)
	go p.keepJoining(ctx)
	go p.keepExchanging(ctx)
	defer func() {
		if q := p.quay.Load(); q != nil {
			p.handOn(q)
			q.roster.Leave() // nobody has to hear it: what was held runs out by itself
			q.shut()
		}
		p.running.Wait()
		p.Close() // one that could listen at last meanwhile
	}()
	tick, tell := time.NewTicker(stepEvery), time.NewTicker(min(gossipEvery, p.o.Probe/2))
	defer tick.Stop()
	defer tell.Stop()
	asked := p.now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tell.C:
			p.gossip()
			continue
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
func (p *Peers) handOn(q *quay) {
	p.takeOver()
	p.mu.Lock()
	d := shared.Delta{Turn: p.value.Turn()}
	for _, w := range p.value.Windows() {
		if r, ok := p.value.Own(w); ok {
			d.Records = append(d.Records, r)
		}
	}
	var to []netip.AddrPort
	for _, a := range p.alive() {
		if len(to) < handOnTo {
			to = append(to, p.members[a.Name].addr)
		}
	}
	p.mu.Unlock()
	raw, n := shared.AppendDelta(nil, d, p.o.StateBytes)
	if n == 0 {
		return
	}
	done := make(chan struct{}, handOnTo)
	for _, addr := range to {
		p.running.Add(1)
		go func() { defer p.running.Done(); q.leave(addr, raw); done <- struct{}{} }()
	}
	end := time.NewTimer(leaveFor)
	defer end.Stop()
	for range to {
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
	var to netip.AddrPort
	p.mu.Lock()
	if m := p.members[m.To.Name]; m != nil {
		to = m.addr
	}
	p.mu.Unlock()
	if q := p.quay.Load(); q != nil && to.IsValid() {
		raw := shared.AppendMessage(nil, m)
		p.sent.Add(int64(len(raw)))
		q.send(to, nil, raw)
	}
}

// ride takes from the line what goes to a member beside something else; nil: nothing, or nobody lives there.
func (p *Peers) ride(to netip.AddrPort, room int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.ContainsFunc(p.others, func(m *member) bool { return m.addr == to }) {
		return nil
	}
	return p.take(room)
}

// take takes from the line. The lock is held.
func (p *Peers) take(room int) []byte {
	raw := p.queue.Take(p.now(), p.value.Turn(), room)
	p.sent.Add(int64(len(raw)))
	return raw
}

// gossip tells a few members what is in line, each something else.
func (p *Peers) gossip() {
	q := p.quay.Load()
	for i := 0; q != nil && i < gossipTo; i++ {
		p.mu.Lock()
		var raw []byte
		var to netip.AddrPort
		if n := len(p.others); i < n {
			j := i + p.rng.IntN(n-i)
			p.others[i], p.others[j] = p.others[j], p.others[i]
			to, raw = p.others[i].addr, p.take(q.room())
		}
		p.mu.Unlock()
		if raw == nil {
			return
		}
		q.send(to, nil, raw)
	}
}

// keepExchanging exchanges whole states: with one member now and then, and with a few of those that come or come back.
func (p *Peers) keepExchanging(ctx context.Context) {
	defer p.running.Done()
	timer := time.NewTimer(p.drawn(p.o.Exchange))
	defer timer.Stop()
	left, refill := joinAtOnce, p.now()
	for {
		var to netip.AddrPort
		select {
		case <-ctx.Done():
			return
		case to = <-p.came:
			if now := p.now(); now-refill >= p.o.Rejoin {
				left, refill = joinAtOnce, now
			}
			if left--; left < 0 {
				continue // it, or this one, has its turn
			}
		case <-timer.C:
			p.mu.Lock()
			n := len(p.others)
			if n > 0 {
				to = p.others[p.rng.IntN(n)].addr
			}
			p.mu.Unlock()
			timer.Reset(p.o.Exchange * time.Duration(scale(n+1)))
		}
		if q := p.quay.Load(); q != nil && to.IsValid() {
			if err := q.exchange(to); err != nil && ctx.Err() == nil {
				p.rare.say("no state was exchanged", "addr", to, "err", err)
			}
		}
	}
}

// scale stretches the time between two exchanges in a large fleet, where each brings more: twice it from 33 members on, and
// once more with each doubling.
func scale(members int) int { return 1 + bits.Len(uint(max(0, members-1)/32)) }

// drawn is a random part of a span.
func (p *Peers) drawn(d time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.rng.Int64N(int64(d)))
}

// keepJoining calls those that were given while nobody is there, and those that were lost now and then: after a cut
// nobody else does.
func (p *Peers) keepJoining(ctx context.Context) {
	defer p.running.Done()
	tick := time.NewTicker(p.o.Rejoin)
	defer tick.Stop()
	var called []netip.AddrPort
	var full uint64
	for {
		if q := p.quay.Load(); q == nil {
			if err := p.listen(); err != nil {
				p.rare.say("it can't listen yet", "err", err)
			}
		} else {
			if len(called) > 0 && !p.lives(called) {
				p.rare.say("nobody answers", "addresses", called)
			}
			called = p.missing()
			q.roster.SetSeeds(called)
			if n := q.roster.Counts().Membership.Full; n > full {
				full = n
				p.rare.say("no more members are taken", "members", p.o.Members)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// lives reports whether a member lives at one of the addresses.
func (p *Peers) lives(at []netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.others, func(m *member) bool { return slices.Contains(at, m.addr) })
}

// missing draws a few addresses to call: of those that were given and are no member, and of the lost.
func (p *Peers) missing() []netip.AddrPort {
	given := p.o.Join()
	p.mu.Lock()
	defer p.mu.Unlock()
	here := map[netip.AddrPort]bool{}
	var lost []netip.AddrPort
	for _, m := range p.members {
		if m.alive {
			here[m.addr] = true
		} else {
			lost = append(lost, m.addr)
		}
	}
	slices.SortFunc(lost, netip.AddrPort.Compare)
	for _, text := range given {
		if a, err := netip.ParseAddrPort(text); err == nil && !slices.Contains(lost, a) {
			lost = append(lost, a)
		}
	}
	lost = slices.DeleteFunc(lost, func(a netip.AddrPort) bool { return here[a] })
	p.rng.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
	return lost[:min(joinAtOnce, len(lost))]
}

// changed takes what became of members. The roster's owner calls it.
func (p *Peers) changed(changes []membership.Change) {
	for _, c := range changes {
		if o := c.Conflict; o != nil {
			p.refused.Add(1)
			p.rare.say("a name is taken twice: the second is refused", "name", c.After.Name, "have", c.After.Addr, "other", o.Addr)
		} else if c.After.Name != p.self.Name {
			p.note(c.After)
		}
	}
}

// note takes what a member is now.
func (p *Peers) note(is membership.Status) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[is.Name]
	if is.State == membership.Unknown {
		delete(p.members, is.Name) // lost for so long that nobody calls it any more
		return
	}
	alive := is.State.Live()
	if m == nil {
		if !alive {
			return
		}
		m = &member{}
		p.members[is.Name] = m
	}
	agent := shared.Agent{Name: is.Name, Incarnation: is.Life}
	if alive && (!m.alive || m.agent != agent) {
		select {
		case p.came <- is.Addr:
		default:
		}
	}
	if m.agent != agent || m.alive != alive {
		p.log.Info("member", "name", is.Name, "incarnation", fmt.Sprintf("%x", agent.Incarnation), "alive", alive, "addr", is.Addr)
		if alive && !m.alive {
			p.others = append(p.others, m)
		} else if !alive {
			p.others = slices.DeleteFunc(p.others, func(o *member) bool { return o == m })
		}
		m.agent, m.alive, m.since = agent, alive, p.now()
	}
	m.zone, m.addr = is.Zone, is.Addr
}

// state is all that is known, as far as the bound on its size allows.
func (p *Peers) state() []byte {
	p.takeOver()
	p.mu.Lock()
	defer p.mu.Unlock()
	whole := p.value.Whole()
	raw, n := shared.AppendDelta(nil, whole, p.o.StateBytes)
	if n < len(whole.Records) {
		p.rare.say("the state is larger than state_kb: a part of it is exchanged", "records", len(whole.Records), "sent", n)
	}
	p.sent.Add(int64(len(raw)))
	return raw
}

// hearState takes another agent's whole state.
func (p *Peers) hearState(raw []byte) {
	if len(raw) > p.o.StateBytes {
		p.refuse("a state is refused", len(raw), "", errTooMuch)
		return
	}
	p.hear(raw)
}

// refuse counts what was none of ours, and says so now and then.
func (p *Peers) refuse(what string, size int, from string, err error) {
	p.refused.Add(1)
	p.rare.say(what, "bytes", size, "from", from, "err", err)
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
				p.say(answer)
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
