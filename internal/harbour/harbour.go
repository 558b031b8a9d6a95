// Package harbour is the registry of the mesh: it knows which proxies and backends there are, takes the operator's calls and
// carries them to those that count, and brings all news to proxies, which pull what they lack. Nothing of it is on disk: what
// it lost is told again by those who told it first. Start reading at Start.
package harbour

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

	"saltmast/internal/ballot"
	"saltmast/internal/berths"
	"saltmast/internal/codebook"
	"saltmast/internal/council"
	"saltmast/internal/duty"
	"saltmast/internal/manifest"
	"saltmast/internal/masthead"
	"saltmast/internal/pilot"
	"saltmast/internal/plight"
	"saltmast/internal/roster"
	"saltmast/internal/signal"
	"saltmast/internal/sock"
)

// Options are what a harbourmaster is started with.
type Options struct {
	Self    codebook.Master // its own name, address of calls by signal, zone
	Purser  string          // host:port of the purser beside it
	Seeds   func() []string // hosts that serve control, as host:port; only the host counts
	First   int             // the first of the free ports
	Life    uint64          // random, other than 0
	Control net.Listener    // outside calls
	Calls   net.Listener    // calls by signal
	Net     sock.Net        // nil: the system's
	Head    *masthead.Masthead
	Log     func(event, text string)
	Lost    time.Duration // a voter that nobody heard for so long is replaced; 0: VoterLost
}

// VoterLost is far longer than a restart or an outage that is borne.
const VoterLost = 5 * time.Minute

// Counts of what a harbourmaster did.
type Counts struct {
	Pulls, News, Changes, Refused, Rounds, Preempted, Taught, Relieved atomic.Int64
}

// Harbour is one harbourmaster.
type Harbour struct {
	o       Options
	own     *signal.Owner[books]
	council *council.Council
	server  *signal.Server
	http    *http.Server
	port    *pilot.Port
	Counts  Counts
	ended   chan struct{}
	running sync.WaitGroup
	turning chan struct{} // holds one while a change of the roll runs
	round   chan struct{} // holds one while a round runs: two from here would only stand in each other's way
	mending atomic.Bool   // a round that settles what is pending runs, or waits to
}

// books are the tables.
type books struct {
	h       *Harbour
	berths  *berths.Table
	chosen  manifest.Ballot
	stands  manifest.Set
	highest manifest.Ballot // of any ballot heard of
	heard   []time.Time     // by place: when the member last spoke as one
	pending []time.Time     // by place: since when it holds a value of which nobody knows whether it was chosen; zero: none
	behind  []int           // by place: answers in a row that it was behind
	marks   []codebook.Mark // by place: the last that it told
	masters map[string]codebook.Master
	sum     uint64                   // of masters
	lost    map[string]time.Time     // of masters: since when nothing tells that they live
	pulling map[string]chan struct{} // closed to end it
	anew    int                      // raised to have all others asked for all they have
	pullers []*puller
	begun   time.Time
	leases  map[duty.Name]*duty.Lease
	shut    []time.Time     // by place: since when the member is sealed; zero: it is not
	decree  manifest.Ballot // the highest heard of, of the next roll
	since   time.Time       // that this roll is watched
	sought  time.Time       // when another voter was looked for last
}

type puller struct {
	c     signal.Call
	m     codebook.PullCall
	timer *time.Timer // of its end; nil: it was answered at once
	done  bool
}

// Start begins to serve.
func Start(o Options) *Harbour {
	h := &Harbour{o: o, council: council.New(o.Net), ended: make(chan struct{}), round: make(chan struct{}, 1), turning: make(chan struct{}, 1)}
	b := &books{h: h, berths: berths.New(), stands: manifest.Set{}, masters: map[string]codebook.Master{}, lost: map[string]time.Time{},
		pulling: map[string]chan struct{}{}, begun: time.Now(), leases: map[duty.Name]*duty.Lease{}}
	b.enter(o.Self)
	h.own = signal.Own(b, 1024)
	h.port = &pilot.Port{Change: h.change, Configure: h.configure,
		Refused: func(k plight.Kind, text string) { h.Counts.Refused.Add(1); o.Log("refused", text) }}
	h.http = pilot.Server(h.port)
	go h.http.Serve(o.Control)
	h.server = signal.Serve(o.Calls, h.handle)
	h.running.Go(h.enrol)
	h.running.Go(h.meet)
	return h
}

// Close ends it: calls from outside that are under way are answered, within wait.
func (h *Harbour) Close(wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	if h.http.Shutdown(ctx) != nil {
		h.http.Close()
	}
	close(h.ended)
	h.server.Close()
	h.council.Close()
	h.running.Wait()
	h.o.Head.Leave()
	h.o.Head.Close()
	h.own.End()
}

func (h *Harbour) over() bool {
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// pause waits, and reports whether to go on.
func (h *Harbour) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-h.ended:
		return false
	}
}

// Status is for the log and the console.
type Status struct {
	Chosen  manifest.Ballot
	Items   int
	Berths  []berths.Berth
	Masters []codebook.Master
	Roll    codebook.Roll
	FreshMs uint32
}

// Status tells how it stands.
func (h *Harbour) Status() (s Status) {
	h.own.Ask(func(b *books) {
		s = Status{Chosen: b.chosen, Items: len(b.stands), Berths: b.berths.All(), Roll: h.council.Roll(), FreshMs: b.fresh()}
		for _, m := range b.masters {
			s.Masters = append(s.Masters, m)
		}
	})
	return s
}

// ---- From those that count ----

const (
	watchHold = 500 * time.Millisecond
	coldHold  = 40 * time.Millisecond // while nothing that was chosen is known: all members may have lost power right behind it
	pullHold  = 1000 * time.Millisecond
	callTime  = 600 * time.Millisecond // beyond what the peer may hold a call
)

// enrol asks about until it knows who counts, then watches each of them, whatever roll there is.
func (h *Harbour) enrol() {
	for h.council.Roll().Epoch == 0 {
		addrs := []string{h.o.Purser}
		for _, s := range h.o.Seeds() {
			if a := codebook.Beside(s, h.o.First, codebook.PurserPort); a != h.o.Purser {
				addrs = append(addrs, a)
			}
		}
		for _, a := range addrs {
			c := signal.NewClient(h.o.Net, a)
			var w codebook.Watched
			if err := c.Call(codebook.Watch, codebook.WatchCall{}, &w, callTime); err == nil && w.Roll.Epoch > 0 {
				h.adopt(w.Roll)
			}
			c.Close()
		}
		if h.council.Roll().Epoch == 0 && !h.pause(100*time.Millisecond) {
			return
		}
	}
}

// adopt takes a roll if it is newer than what is known, and watches those who count there. It is called by what runs.
func (h *Harbour) adopt(roll codebook.Roll) {
	if roll.Epoch == 0 || !h.council.Take(roll) {
		return
	}
	h.o.Log("roll", fmt.Sprintf("epoch %d, %d count", roll.Epoch, len(roll.Voters)))
	h.own.Ask(func(b *books) {
		if h.council.Roll().Epoch != roll.Epoch {
			return
		}
		n := len(roll.Voters)
		b.heard, b.pending, b.behind, b.shut = make([]time.Time, n), make([]time.Time, n), make([]int, n), make([]time.Time, n)
		b.marks = make([]codebook.Mark, n)
		b.since = time.Now()
		clear(b.leases)
		b.wake()
	})
	for i := range roll.Voters {
		h.running.Go(func() { h.watch(i, roll) })
	}
	if roll.Epoch > 1 && roll.Place(h.o.Purser) < 0 {
		h.running.Go(func() { h.dismiss(roll) })
	}
}

// watch follows one member.
func (h *Harbour) watch(place int, roll codebook.Roll) {
	for !h.over() {
		c := h.council.Client(place)
		if c == nil || h.council.Roll().Epoch != roll.Epoch {
			return
		}
		var call codebook.WatchCall
		h.own.Ask(func(b *books) {
			call = codebook.WatchCall{Have: b.chosen, HoldMs: uint32(watchHold.Milliseconds()), Epoch: roll.Epoch}
			if b.chosen.IsZero() { // nothing can be told to anybody yet
				call.HoldMs = uint32(coldHold.Milliseconds())
			}
		})
		var w codebook.Watched
		if err := c.Call(codebook.Watch, call, &w, watchHold+callTime); err != nil {
			if !h.pause(100 * time.Millisecond) {
				return
			}
			continue
		}
		if w.Roll.Epoch > roll.Epoch {
			h.adopt(w.Roll)
			return
		}
		h.own.Ask(func(b *books) {
			if h.council.Roll().Epoch == roll.Epoch {
				b.watched(place, w)
			}
		})
		if w.Roll.Epoch < roll.Epoch && roll.Epoch > 1 { // it slept through the change
			c.Call(codebook.Relieve, codebook.RelieveCall{Roll: roll}, nil, relieveTime)
		}
		if w.State != "serving" && !h.pause(100*time.Millisecond) {
			return
		}
	}
}

// pendingTime is how long a value may be pending before a round is run to settle it.
const pendingTime = 400 * time.Millisecond

// watched takes what a member told.
func (b *books) watched(place int, w codebook.Watched) {
	b.raise(w.Promised)
	b.raise(w.Accepted)
	b.raise(w.Chosen)
	if w.State != "serving" || w.Vouch.By != place {
		return
	}
	now := time.Now()
	b.heard[place] = now
	if place < len(w.Vouch.Incs) {
		b.marks[place] = codebook.Mark{Epoch: w.Roll.Epoch, Inc: w.Vouch.Incs[place], N: w.Mark}
	}
	b.halted(place, w.Shut, now)
	b.take(w.Chosen, w.Items)
	switch {
	case w.Accepted.Less(b.chosen):
		if b.behind[place]++; b.behind[place] >= 2 && b.may(duty.Teach) {
			b.behind[place] = 0
			b.teach(place)
		}
	default:
		b.behind[place] = 0
	}
	switch {
	case !b.chosen.Less(w.Accepted):
		b.pending[place] = time.Time{}
	case b.pending[place].IsZero():
		b.pending[place] = now
	case now.Sub(b.pending[place]) > pendingTime, b.chosen.IsZero() && now.Sub(b.pending[place]) > rand.N(2*coldHold):
		b.pending[place] = time.Time{}
		b.h.mend()
	}
}

// mend runs a round that changes nothing, which settles what is pending, and reports whether it began one: while one waits for
// its turn there is no need of another.
func (h *Harbour) mend() bool {
	if !h.mending.CompareAndSwap(false, true) {
		return false
	}
	go func() {
		defer h.mending.Store(false)
		h.propose(nil)
	}()
	return true
}

func (b *books) raise(x manifest.Ballot) {
	if b.highest.Less(x) {
		b.highest = x
	}
}

// take takes what was chosen after what is held.
func (b *books) take(chosen manifest.Ballot, items []manifest.Item) {
	if !b.chosen.Less(chosen) {
		return
	}
	b.stands = b.stands.Clone()
	for _, i := range items {
		if cur, ok := b.stands[i.Key]; !ok || cur.Ballot.Less(i.Ballot) {
			b.stands[i.Key] = i
		}
	}
	b.chosen = chosen
	b.wake()
}

// may reports whether a duty is this harbourmaster's, and else asks for it: all of them see what is to be done, and one is
// enough to do it.
func (b *books) may(d duty.Name) bool {
	now := time.Since(b.begun)
	lease := b.leases[d]
	if lease == nil {
		lease = &duty.Lease{}
		b.leases[d] = lease
	}
	if lease.Holds(now) {
		return true
	}
	roll := b.h.council.Roll()
	if lease.Members = len(roll.Voters); rand.IntN(2) > 0 || !lease.Due(now) {
		return false
	}
	asked := lease.Asked()
	call := codebook.LeaseCall{Duty: d, By: b.h.o.Life, Epoch: roll.Epoch}
	go func() {
		given := 0
		ask := signal.Encode(call)
		b.h.council.Gather(codebook.Lease, func(int) []byte { return ask }, phaseTime, func(t council.Told) bool {
			var l codebook.Leased
			if t.Err == nil && signal.Decode(t.Body, &l) == nil && l.Given {
				given++
				b.h.own.Send(func(*books) { lease.Granted(asked, t.Place) })
			}
			return false
		})
		if given < ballot.Majority(len(roll.Voters)) { // parts of it would keep others from it
			call.Give = true
			give := signal.Encode(call)
			b.h.council.Gather(codebook.Lease, func(int) []byte { return give }, phaseTime, func(council.Told) bool { return false })
		}
	}()
	return false
}

// teach tells a member that missed it what was chosen.
func (b *books) teach(place int) {
	c := b.h.council.Client(place)
	if c == nil {
		return
	}
	b.h.Counts.Taught.Add(1)
	m := codebook.AcceptCall{B: b.chosen, Epoch: b.h.council.Roll().Epoch, Chosen: true}
	for _, i := range b.stands {
		m.Changes = append(m.Changes, i)
	}
	c.Go(codebook.Accept, signal.Encode(m), func([]byte, error) {})
}

// fresh is how many milliseconds ago a majority was heard last.
func (b *books) fresh() uint32 {
	if len(b.heard) == 0 {
		return codebook.Never
	}
	at := slices.Clone(b.heard)
	slices.SortFunc(at, func(x, y time.Time) int { return y.Compare(x) })
	t := at[ballot.Majority(len(at))-1]
	if t.IsZero() {
		return codebook.Never
	}
	return uint32(min(time.Since(t).Milliseconds(), codebook.Never))
}

// ---- To those who pull ----

func (h *Harbour) handle(c signal.Call) {
	switch c.Kind {
	case codebook.Pull:
		var m codebook.PullCall
		if err := signal.Decode(c.Body, &m); err != nil {
			c.Reply(nil, err)
			return
		}
		h.Counts.Pulls.Add(1)
		h.own.Send(func(b *books) { b.pull(c, m) })
	case codebook.Report:
		h.report(c)
	case codebook.Rolls:
		h.rolls(c)
	case codebook.Known:
		var m codebook.KnownCall
		if err := signal.Decode(c.Body, &m); err != nil {
			c.Reply(nil, err)
			return
		}
		h.own.Send(func(b *books) {
			var known codebook.Mark
			if at := h.council.Roll().Place(m.Addr); at >= 0 && at < len(b.marks) {
				known = b.marks[at]
			}
			c.Reply(known, nil)
		})
	default:
		c.Reply(nil, plight.New(plight.NoCall, "kind %d", c.Kind))
	}
}

func (b *books) pull(c signal.Call, m codebook.PullCall) {
	if m.Self != nil {
		b.h.o.Head.Heard(m.Self.Addr)
	}
	news := m.Self != nil && b.berths.Join(*m.Self)
	for _, x := range m.Others {
		news = b.berths.Join(x) || news
	}
	if news {
		b.wake()
	}
	if m.Master != nil {
		b.h.o.Head.Heard(m.Master.Addr)
		b.meet(*m.Master)
	}
	p := &puller{c: c, m: m}
	if m.HoldMs == 0 || b.hasNews(p) {
		b.answer(p)
		return
	}
	b.pullers = append(b.pullers, p)
	p.timer = time.AfterFunc(time.Duration(min(m.HoldMs, 5000))*time.Millisecond, func() {
		b.h.own.Send(func(b *books) { b.answer(p) })
	})
}

func (b *books) hasNews(p *puller) bool {
	return p.m.Life != b.h.o.Life || p.m.At != b.berths.At() || p.m.Have.Less(b.chosen) ||
		p.m.Epoch < b.h.council.Roll().Epoch || p.m.Sum != b.sum
}

func (b *books) news(m codebook.PullCall) codebook.News {
	n := codebook.News{Life: b.h.o.Life, At: b.berths.At(), Chosen: b.chosen, FreshMs: b.fresh(), Sum: b.sum}
	at := m.At
	if m.Life != n.Life {
		at = 0
	}
	n.Berths = b.berths.Since(at)
	if m.Have.Less(b.chosen) {
		n.Items = ballot.Since(b.stands, m.Have)
	}
	if r := b.h.council.Roll(); r.Epoch > m.Epoch {
		n.Roll = &r
	}
	if m.Sum != b.sum {
		for _, x := range b.masters {
			n.Masters = append(n.Masters, x)
		}
	}
	return n
}

func (b *books) answer(p *puller) {
	if p.done {
		return
	}
	p.done = true
	if p.timer != nil {
		p.timer.Stop()
	}
	b.pullers = slices.DeleteFunc(b.pullers, func(o *puller) bool { return o == p })
	n := b.news(p.m)
	if len(n.Berths)+len(n.Items) > 0 {
		b.h.Counts.News.Add(1)
	}
	p.c.Reply(n, nil)
}

// wake answers those for whom there is news.
func (b *books) wake() {
	for _, p := range slices.Clone(b.pullers) {
		if b.hasNews(p) {
			b.answer(p)
		}
	}
}

// ---- Other harbourmasters ----

// maxMasters bounds those that are known.
const maxMasters = 64

// meet takes note of a harbourmaster and begins to pull from it.
func (b *books) meet(m codebook.Master) {
	if m.Addr == "" || m.Name == "" {
		return
	}
	if old, ok := b.masters[m.Name]; !ok && len(b.masters) < maxMasters || ok && old != m && m.Name != b.h.o.Self.Name {
		b.enter(m)
	}
	b.follow(m.Addr)
}

// hearsay takes a harbourmaster that another one told of.
func (b *books) hearsay(m codebook.Master) {
	if s := b.h.o.Head.State(m.Addr); s != roster.Dead && s != roster.Left {
		b.meet(m)
	}
}

func (b *books) enter(m codebook.Master) {
	b.masters[m.Name] = m
	b.listed()
}

// listed has those who pull told of another list of harbourmasters.
func (b *books) listed() {
	b.sum = codebook.Sum(slices.Collect(maps.Values(b.masters)))
	b.wake()
}

func (b *books) follow(addr string) {
	if addr == b.h.o.Self.Addr || b.pulling[addr] != nil || len(b.pulling) >= maxMasters {
		return
	}
	end := make(chan struct{})
	b.pulling[addr] = end
	b.h.running.Go(func() { b.h.follow(addr, end) })
}

// sweepEvery is after how many looks what is long gone is dropped.
const sweepEvery = 10

// meet looks at the seeds and the roster from time to time: they may have changed.
func (h *Harbour) meet() {
	begun := time.Now()
	for look := 1; ; look++ {
		var seeds []string
		for _, s := range h.o.Seeds() {
			seeds = append(seeds, codebook.Beside(s, h.o.First, codebook.HarbourPort))
		}
		h.own.Send(func(b *books) {
			for _, a := range seeds {
				b.follow(a)
			}
			for _, p := range h.o.Head.Peers(codebook.RoleHarbour) {
				if p.State == roster.Alive {
					b.meet(codebook.Master{Name: p.Node, Addr: p.Addr, Zone: p.Zone})
				}
			}
			b.tend(time.Now())
			if look%sweepEvery == 0 {
				b.sweep(time.Now(), time.Since(begun), seeds)
			}
		})
		if !h.pause(time.Second) {
			return
		}
	}
}

// sweep drops what is known of machines that are long gone, while this one hears a majority and others: one that is cut off
// knows nothing of who is gone.
func (b *books) sweep(now time.Time, since time.Duration, seeds []string) {
	head := b.h.o.Head
	if b.berths.Lacks(head.Alive(codebook.RoleTug)) {
		b.anew++
	}
	if head.Alone() || b.fresh() > 3000 {
		clear(b.lost)
		return
	}
	if gone := b.berths.Sweep(since, masthead.GoneAfter, func(x berths.Berth) bool { return head.Lives(x.Addr) }); len(gone) > 0 {
		b.h.o.Log("gone", strings.Join(gone, " "))
	}
	listed := false
	for name, m := range b.masters {
		switch at, ok := b.lost[name]; {
		case name == b.h.o.Self.Name || head.Lives(m.Addr):
			delete(b.lost, name)
		case !ok:
			b.lost[name] = now
		case now.Sub(at) >= masthead.GoneAfter:
			delete(b.lost, name)
			delete(b.masters, name)
			listed = true
			b.h.o.Log("gone", name)
		}
	}
	if listed {
		b.listed()
	}
	wanted := map[string]bool{}
	for _, m := range b.masters {
		wanted[m.Addr] = true
	}
	for addr, end := range b.pulling {
		if !wanted[addr] && !slices.Contains(seeds, addr) {
			close(end)
			delete(b.pulling, addr)
		}
	}
}

// follow pulls the berths of another harbourmaster, until end is closed.
func (h *Harbour) follow(addr string, end chan struct{}) {
	c := signal.NewClient(h.o.Net, addr)
	defer c.Close()
	call := codebook.PullCall{Master: &h.o.Self, HoldMs: uint32(pullHold.Milliseconds()), Have: manifest.Ballot{N: 1 << 62}}
	anew := 0
	for !h.over() {
		select {
		case <-end:
			return
		default:
		}
		h.own.Ask(func(b *books) {
			if anew != b.anew {
				anew, call.Life = b.anew, 0
			}
		})
		call.Epoch = h.council.Roll().Epoch
		var n codebook.News
		if err := c.Call(codebook.Pull, call, &n, pullHold+callTime); err != nil {
			wait := 250 * time.Millisecond
			if s := h.o.Head.State(addr); s == roster.Dead || s == roster.Left {
				wait = time.Second
			}
			if !h.pause(wait) {
				return
			}
			continue
		}
		h.o.Head.Heard(addr)
		call.Life, call.At, call.Sum = n.Life, n.At, n.Sum
		if n.Roll != nil {
			h.adopt(*n.Roll)
		}
		h.own.Ask(func(b *books) {
			changed := false
			for _, x := range n.Berths {
				changed = b.berths.Join(x) || changed
			}
			for _, m := range n.Masters {
				b.hearsay(m)
			}
			if changed {
				b.wake()
			}
		})
	}
}

// ---- The operator ----

const (
	changeTime = 850 * time.Millisecond // callers take a second of silence for a failure
	phaseTime  = 350 * time.Millisecond
)

// change takes one call.
func (h *Harbour) change(body []byte) error {
	h.Counts.Changes.Add(1)
	call, err := manifest.DecodeCall(body)
	if err != nil {
		return plight.New(plight.Invalid, "%w", err)
	}
	if err := call.Check(); err != nil {
		return plight.New(plight.Invalid, "%w", err)
	}
	err = h.propose(call.Items)
	h.o.Log("change", fmt.Sprintf("%d items: %v", len(call.Items), outcome(err)))
	return err
}

func outcome(err error) string {
	if err == nil {
		return "taken"
	}
	return err.Error()
}

// configure reads what stands: what a majority says, and a round where that is in doubt.
func (h *Harbour) configure() ([]byte, error) {
	if err := h.propose(nil); err != nil {
		return nil, err
	}
	var s manifest.Set
	h.own.Ask(func(b *books) { s = b.stands })
	return s.Encode(), nil
}

// propose runs rounds until the items are chosen, or stand already, or can't be.
func (h *Harbour) propose(items []manifest.Item) error {
	end := time.Now().Add(changeTime)
	if !h.turn(end) {
		return plight.New(plight.Preempted, "by other calls here")
	}
	defer func() { <-h.round }()
	for {
		err := h.tryRound(items, end)
		if k := plight.Of(err); k != plight.Preempted && k != plight.CoreOut {
			return err
		}
		h.Counts.Preempted.Add(1)
		wait := 5*time.Millisecond + rand.N(50*time.Millisecond)
		if time.Now().Add(wait + 20*time.Millisecond).After(end) {
			return err
		}
		if !h.pause(wait) {
			return err
		}
	}
}

// turn waits for the turn to run rounds, until end, and reports whether it came. A caller that waits longer has gone.
func (h *Harbour) turn(end time.Time) bool {
	t := time.NewTimer(time.Until(end))
	defer t.Stop()
	select {
	case h.round <- struct{}{}:
		return true
	case <-t.C:
	case <-h.ended:
	}
	return false
}

// tryRound runs one round.
func (h *Harbour) tryRound(items []manifest.Item, end time.Time) error {
	h.Counts.Rounds.Add(1)
	roll := h.council.Roll()
	n := len(roll.Voters)
	if n == 0 {
		return plight.New(plight.CoreOut, "nobody known that counts")
	}
	var b manifest.Ballot
	h.own.Ask(func(t *books) {
		b = manifest.Ballot{N: t.highest.N + 1, By: uint32(h.o.Life)}
		t.raise(b)
	})
	r := ballot.Round{Voters: n}
	var base manifest.Set
	var of manifest.Ballot
	var stands, ok bool
	at := make(map[int]manifest.Ballot, n) // what each that promised has accepted
	prepare := signal.Encode(codebook.PrepareCall{B: b, Epoch: roll.Epoch})
	gone := 0
	err := h.council.Gather(codebook.Prepare, func(int) []byte { return prepare }, min(phaseTime, time.Until(end)), func(t council.Told) bool {
		var p ballot.Promise
		if t.Err != nil || signal.Decode(t.Body, &p) != nil {
			return gonePast(t.Err, &gone, n)
		}
		r.Add(p)
		at[t.Place] = p.Accepted
		base, of, stands, ok = r.Base()
		return ok
	})
	if b.Less(r.Higher) {
		h.own.Ask(func(t *books) { t.raise(r.Higher) })
	}
	if !ok {
		if b.Less(r.Higher) {
			return plight.New(plight.Preempted, "")
		}
		return outOr(err)
	}
	o := ballot.Apply(base, items, b)
	var refused error
	switch {
	case o.Against != nil:
		refused = plight.New(plight.Conflict, "%s", o.Against)
	case len(o.Changes) > 0:
		// A base that is invalid already, of two calls at once that were valid each, holds up nobody else's call.
		if err := o.Next.Check(); err != nil && base.Check() == nil {
			refused = plight.New(plight.Invalid, "%w", err)
		}
	}
	if refused != nil { // what it is refused for is to stand: else a value that a round before has left may come into force after all
		o.Next, o.Changes = base, nil
	}
	if !(stands && len(o.Changes) == 0) {
		if err := h.settle(b, of, o, at, roll, end); err != nil {
			return err
		}
	} else {
		h.own.Ask(func(t *books) { t.whole(of, base) })
	}
	return refused
}

// gonePast counts the members whose epoch has ended, and reports whether a majority of n is past hope.
func gonePast(err error, gone *int, n int) bool {
	if plight.Of(err) == plight.Gone {
		*gone++
	}
	return *gone > n-ballot.Majority(n)
}

func outOr(err error) error {
	if err == nil {
		return plight.New(plight.CoreOut, "the epoch has ended")
	}
	return err
}

// settle has a value accepted by a majority, and takes it.
func (h *Harbour) settle(b, of manifest.Ballot, o ballot.Outcome, at map[int]manifest.Ballot, roll codebook.Roll, end time.Time) error {
	whole := codebook.AcceptCall{B: b, Epoch: roll.Epoch}
	for _, i := range o.Next {
		whole.Changes = append(whole.Changes, i)
	}
	all := signal.Encode(whole)
	part := all
	if !of.IsZero() {
		part = signal.Encode(codebook.AcceptCall{B: b, Base: of, Changes: o.Changes, Epoch: roll.Epoch})
	}
	var vs []ballot.Vouch
	var higher manifest.Ballot
	taken, gone := false, 0
	err := h.council.Gather(codebook.Accept, func(place int) []byte {
		if acc, ok := at[place]; ok && acc == of {
			return part
		}
		return all
	}, min(phaseTime, time.Until(end)), func(t council.Told) bool {
		var a codebook.Accepted
		if t.Err != nil || signal.Decode(t.Body, &a) != nil {
			return gonePast(t.Err, &gone, len(roll.Voters))
		}
		if !a.Taken {
			if higher.Less(a.Promised) {
				higher = a.Promised
			}
			return false
		}
		vs = append(vs, a.Vouch)
		taken = len(ballot.Sound(vs)) >= ballot.Majority(len(roll.Voters))
		return taken
	})
	if !taken {
		if b.Less(higher) {
			h.own.Ask(func(t *books) { t.raise(higher) })
			return plight.New(plight.Preempted, "")
		}
		return outOr(err)
	}
	h.own.Ask(func(t *books) { t.whole(b, o.Next) })
	learn := signal.Encode(codebook.LearnCall{B: b})
	for i := range roll.Voters {
		if c := h.council.Client(i); c != nil {
			c.Go(codebook.Learn, learn, func([]byte, error) {})
		}
	}
	return nil
}

// whole takes a chosen value that is known whole.
func (b *books) whole(chosen manifest.Ballot, s manifest.Set) {
	if b.chosen.Less(chosen) {
		b.chosen, b.stands = chosen, s
		b.wake()
	}
}
