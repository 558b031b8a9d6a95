// Package registry is the registry of the mesh: it knows which proxies and backends there are, takes the operator's calls and
// carries them to those that count, and brings all news to proxies, which pull what they lack. Nothing of it is on disk: what
// it lost is told again by those who told it first. Start reading at Start.
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

// Options are what a harbourmaster is started with.
type Options struct {
	Self    messages.Master // its own name, address of calls by signal, zone
	Purser  string          // host:port of the purser beside it
	Seeds   func() []string // hosts that serve control, as host:port; only the host counts
	First   int             // the first of the free ports
	Life    uint64          // random, other than 0
	Control net.Listener    // outside calls
	Calls   net.Listener    // calls by signal
	Net     sock.Net        // nil: the system's
	Head    *transport.Masthead
	Log     func(event, text string)
	Losses  int                // of voters at once that are to be borne; 0: as many as the roll that was founded bears
	Lost    time.Duration      // a voter that answers nobody for so long is replaced; 0: VoterLost
	Bears   reconfig.Tolerance // zones and regions that are to be borne
}

// VoterLost is after how long a voter is replaced that answers and doesn't speak as a member: its disk fails, or it finds nobody
// to make up from. It is far longer than a repair.
const VoterLost = 5 * time.Minute

// Counts of what a harbourmaster did.
type Counts struct {
	Pulls, News, Changes, Refused, Rounds, Preempted, Taught, Relieved atomic.Int64
}

// Harbour is one harbourmaster.
type Harbour struct {
	o       Options
	own     *rpc.Owner[books]
	council *quorum.Council
	server  *rpc.Server
	http    *http.Server
	port    *controlapi.Port
	Counts  Counts
	ended   chan struct{}
	running sync.WaitGroup
	mu      sync.Mutex    // of the end and of what begins to run
	turning chan struct{} // holds one while a change of the roll runs
	round   chan struct{} // holds one while a round runs: two from here would only stand in each other's way
	mending atomic.Bool   // a round that settles what is pending runs, or waits to
}

// books are the tables.
type books struct {
	h        *Harbour
	berths   *backends.Table
	chosen   configuration.Ballot
	stands   configuration.Set
	pages    consensus.Pages        // of a later one
	highest  configuration.Ballot   // of any ballot heard of
	heard    []time.Time            // by place: when the member last spoke as one, at the latest
	answered []time.Time            // by place: when it last answered, however it stood
	vouched  []time.Time            // by place: the same, with nothing that is not known here
	pending  []time.Time            // by place: since when it holds a value of which nobody knows whether it was chosen; zero: none
	behind   []int                  // by place: answers in a row that it was behind
	upto     []configuration.Ballot // by place: up to which it holds all items, as it told last
	taught   []bool                 // by place: pages are on their way to it from here
	marks    []messages.Mark        // by place: the last that it told
	masters  map[string]messages.Master
	sum      uint64                   // of masters
	lost     map[string]time.Time     // of masters: since when nothing tells that they live
	pulling  map[string]chan struct{} // closed to end it
	anew     int                      // raised to have all others asked for all they have
	asked    map[string]bool          // of pulling: it has told all entries that it had, or can't be reached
	looked   bool                     // others were looked for since this one began
	full     bool                     // all of them were asked, or the time for it is over
	pullers  map[*puller]struct{}
	telling  bool // those who wait are told, in turns
	again    bool // and there is news that came meanwhile
	edition  edition
	begun    time.Time
	leases   map[lease.Name]*lease.Lease
	shut     []time.Time          // by place: since when the member is sealed; zero: it is not
	alone    time.Duration        // a member may be sealed for so long before this one finishes the change without the duty
	decree   configuration.Ballot // the highest heard of, of the next roll
	since    time.Time            // that this roll is watched
	epoch    uint64               // of this roll
	sought   time.Time            // when another voter was looked for last
	grown    time.Time            // when voters that are wanting were looked for last
}

type puller struct {
	c     rpc.Call
	m     messages.PullCall
	came  time.Time
	timer *time.Timer // of its end; nil: it was answered at once
	waits bool        // for the end of what is Partial
	done  bool
}

// Start begins to serve.
func Start(o Options) *Harbour {
	h := &Harbour{o: o, council: quorum.New(o.Net), ended: make(chan struct{}), round: make(chan struct{}, 1), turning: make(chan struct{}, 1)}
	b := &books{h: h, berths: backends.New(), masters: map[string]messages.Master{}, lost: map[string]time.Time{},
		pulling: map[string]chan struct{}{}, asked: map[string]bool{}, pullers: map[*puller]struct{}{}, begun: time.Now(), leases: map[lease.Name]*lease.Lease{}, stands: configuration.Set{}.WithRoutingTable()}
	b.enter(o.Self)
	h.own = rpc.Own(b, 1024)
	h.port = &controlapi.Port{Change: h.change, Configure: h.configure,
		Refused: func(k errcode.Kind, text string) { h.Counts.Refused.Add(1); o.Log("refused", text) }}
	h.http = controlapi.Server(h.port)
	go h.http.Serve(o.Control)
	h.server = rpc.Serve(o.Calls, h.handle)
	h.begin(h.enrol)
	h.begin(h.meet)
	return h
}

// Close ends it: calls from outside and a change of the roll that are under way come to their ends, within wait, and duties are
// given back: whom a change has sealed by then says nothing until it is finished, and another may do so only once the lease is over.
func (h *Harbour) Close(wait time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	if h.http.Shutdown(ctx) != nil {
		h.http.Close()
	}
	select {
	case h.turning <- struct{}{}: // no other begins
	case <-ctx.Done():
	}
	h.mu.Lock()
	close(h.ended)
	h.mu.Unlock()
	if wait > 0 {
		h.resign()
	}
	h.server.Close()
	h.council.Close()
	h.running.Wait()
	h.o.Head.Leave()
	h.o.Head.Close()
	h.own.End()
}

// begin has f run beside all else, unless this one ends. It reports whether it does.
func (h *Harbour) begin(f func()) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.over() {
		return false
	}
	h.running.Go(f)
	return true
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
	Chosen  configuration.Ballot
	Items   int
	Berths  []backends.Berth
	Masters []messages.Master
	Roll    messages.Roll
	FreshMs uint32
}

// Status tells how it stands.
func (h *Harbour) Status() (s Status) {
	h.own.Ask(func(b *books) {
		s = Status{Chosen: b.chosen, Items: b.stands.Len(), Berths: b.berths.All(), Roll: h.council.Roll(), FreshMs: b.fresh()}
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
			if a := messages.Beside(s, h.o.First, messages.PurserPort); a != h.o.Purser {
				addrs = append(addrs, a)
			}
		}
		for _, a := range addrs {
			c := rpc.NewClient(h.o.Net, a)
			var w messages.Watched
			if err := c.Call(messages.Watch, messages.WatchCall{}, &w, callTime); err == nil && w.Roll.Epoch > 0 {
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
func (h *Harbour) adopt(roll messages.Roll) {
	if roll.Epoch == 0 || !h.council.Take(roll) {
		return
	}
	h.o.Log("roll", fmt.Sprintf("epoch %d, %d count", roll.Epoch, len(roll.Voters)))
	h.own.Ask(func(b *books) {
		if h.council.Roll().Epoch != roll.Epoch {
			return
		}
		b.adopted(roll)
		b.wake()
	})
	for i := range roll.Voters {
		h.begin(func() { h.watch(i, roll) })
	}
	if roll.Epoch > 1 && roll.Place(h.o.Purser) < 0 {
		h.begin(func() { h.dismiss(roll) })
	}
}

// noRoll is how a purser stands that knows of no roll and founds none: it has lost its disk. Its seeds may tell it nothing.
const noRoll = "no roll"

// adopted begins to note anew what is noted by place.
func (b *books) adopted(roll messages.Roll) {
	n := len(roll.Voters)
	b.heard, b.pending, b.behind, b.shut = make([]time.Time, n), make([]time.Time, n), make([]int, n), make([]time.Time, n)
	b.upto, b.taught, b.vouched = make([]configuration.Ballot, n), make([]bool, n), make([]time.Time, n)
	b.marks, b.answered = make([]messages.Mark, n), make([]time.Time, n)
	b.since, b.epoch = time.Now(), roll.Epoch
	clear(b.leases)
}

// watch follows one member.
func (h *Harbour) watch(place int, roll messages.Roll) {
	anew := true // how it stands is to be known at once
	for !h.over() {
		c := h.council.Client(place)
		if c == nil || h.council.Roll().Epoch != roll.Epoch {
			return
		}
		var call messages.WatchCall
		h.own.Ask(func(b *books) {
			call = messages.WatchCall{Have: b.pages.Have(b.chosen), HoldMs: uint32(watchHold.Milliseconds()), Epoch: roll.Epoch, Open: true}
			if place < len(b.shut) && !b.shut[place].IsZero() { // it is asked again soon whether that goes on
				call.Open, call.HoldMs = false, uint32(haltTime.Milliseconds())/3
			}
			switch {
			case anew:
				call.HoldMs = 0
			case b.chosen.IsZero(), place < len(b.behind) && b.behind[place] > 0: // nothing can be told to anybody yet, or it is to be taught
				call.HoldMs = uint32(coldHold.Milliseconds())
			}
		})
		var w messages.Watched
		asked := time.Now()
		if err := c.Call(messages.Watch, call, &w, watchHold+callTime); err != nil {
			anew = true
			if !h.pause(100 * time.Millisecond) {
				return
			}
			continue
		}
		anew = false
		if w.Roll.Epoch > roll.Epoch {
			h.adopt(w.Roll)
			return
		}
		h.own.Ask(func(b *books) {
			if h.council.Roll().Epoch == roll.Epoch {
				b.watched(place, w, asked.Add(time.Duration(w.HeldMs)*time.Millisecond))
			}
		})
		if w.Roll.Epoch < roll.Epoch && (roll.Epoch > 1 || w.State == noRoll) { // it slept through the change, or its seeds are all away
			c.Call(messages.Relieve, messages.RelieveCall{Roll: roll}, nil, relieveTime)
		}
		if w.State != "serving" && !h.pause(100*time.Millisecond) {
			return
		}
	}
}

// farBehind is how many bytes a member may lack that is not taught at once: it may just not have accepted them yet.
const farBehind = 64 << 10

// pendingTime is how long a value may be pending before a round is run to settle it.
const pendingTime = 400 * time.Millisecond

// watched takes what a member told, not before spoke. It may have been read long after: this process may have slept meanwhile.
func (b *books) watched(place int, w messages.Watched, spoke time.Time) {
	if w.Known.Less(w.Chosen) { // a purser from before pages tells all at once
		w.Known, w.Upto = w.Chosen, w.Chosen
	}
	b.raise(w.Promised)
	b.raise(w.Accepted)
	b.raise(w.Known)
	now := time.Now()
	later := func(at *time.Time) {
		if spoke.After(*at) {
			*at = spoke
		}
	}
	b.gap(now) // before this answer ends it
	later(&b.answered[place])
	if w.State != "serving" || w.Vouch.By != place {
		return
	}
	later(&b.heard[place])
	if place < len(w.Vouch.Incs) {
		b.marks[place] = messages.Mark{Epoch: w.Roll.Epoch, Inc: w.Vouch.Incs[place], N: w.Mark}
	}
	b.halted(place, w.Shut, now)
	b.upto[place] = w.Chosen
	catches := w.Known != w.Chosen
	if !catches {
		b.take(w.Page())
	}
	// Of a majority that vouches, nobody is sealed, so that no other epoch had begun; nobody is of another epoch; and nobody has
	// accepted what is not known here to be chosen, or knows of more: all that was chosen when the first of them spoke is known here.
	if !w.Shut && w.Roll.Epoch == b.h.council.Roll().Epoch && !b.chosen.Less(w.Accepted) && !b.chosen.Less(w.Known) {
		later(&b.vouched[place])
	}
	switch {
	case catches, w.Accepted.Less(b.chosen):
		b.behind[place]++
		if (catches || b.behind[place] >= 2 || consensus.Beyond(b.stands, w.Chosen, farBehind)) && b.may(lease.Teach) {
			b.behind[place] = 0
			b.teach(place)
		}
	case w.Accepted == b.chosen && w.Chosen.Less(b.chosen): // it did not hear that what it accepted was chosen
		if b.behind[place]++; b.behind[place] >= 2 {
			b.behind[place] = 0
			b.h.learn(place, b.chosen)
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
		h.propose(context.Background(), consensus.Order{})
	}()
	return true
}

func (b *books) raise(x configuration.Ballot) {
	if b.highest.Less(x) {
		b.highest = x
	}
}

// take takes a page of what was chosen after what is held.
func (b *books) take(p consensus.Page) {
	of, stands := b.pages.Take(p, b.chosen, b.stands)
	b.whole(of, stands)
}

// may reports whether a duty is this harbourmaster's, and else asks for it: all of them see what is to be done, and one is
// enough to do it.
func (b *books) may(d lease.Name) bool {
	now := time.Since(b.begun)
	held := b.leases[d]
	if held == nil {
		held = &lease.Lease{}
		b.leases[d] = held
	}
	if held.Holds(now) {
		return true
	}
	roll := b.h.council.Roll()
	if held.Members = len(roll.Voters); rand.IntN(2) > 0 || !held.Due(now) {
		return false
	}
	asked := held.Asked()
	call := messages.LeaseCall{Duty: d, By: b.h.o.Life, Epoch: roll.Epoch}
	go func() {
		given := 0
		ask := rpc.Encode(call)
		b.h.council.Gather(messages.Lease, func(int) []byte { return ask }, phaseTime, func(t quorum.Told) bool {
			var l messages.Leased
			if t.Err == nil && rpc.Decode(t.Body, &l) == nil && l.Given {
				given++
				b.h.own.Send(func(*books) { held.Granted(asked, t.Place) })
			}
			return false
		})
		if given < consensus.Majority(len(roll.Voters)) { // parts of it would keep others from it
			call.Give = true
			give := rpc.Encode(call)
			b.h.council.Gather(messages.Lease, func(int) []byte { return give }, phaseTime, func(quorum.Told) bool { return false })
		}
	}()
	return false
}

// resign gives back the duties that this one has.
func (h *Harbour) resign() {
	var held []lease.Name
	h.own.Ask(func(b *books) {
		for d, l := range b.leases {
			if l.Holds(time.Since(b.begun)) {
				held = append(held, d)
			}
		}
		clear(b.leases)
	})
	for _, d := range held {
		give := rpc.Encode(messages.LeaseCall{Duty: d, By: h.o.Life, Give: true})
		h.council.Gather(messages.Lease, func(int) []byte { return give }, resignTime, func(quorum.Told) bool { return false })
	}
}

// teach tells a member that missed it what was chosen, in pages. While they come, others may teach it as well.
func (b *books) teach(place int) {
	h, c := b.h, b.h.council.Client(place)
	if c == nil || b.taught[place] || b.chosen.IsZero() || h.over() {
		return
	}
	h.Counts.Taught.Add(1)
	taught := b.taught
	taught[place] = true
	of, value, from, epoch := b.chosen, b.stands, b.upto[place], h.council.Roll().Epoch
	h.begin(func() {
		for turns := 0; from.Less(of) && turns < maxTurns && !h.over(); turns++ {
			p := consensus.PageOf(value, of, from)
			var a messages.Accepted
			if c.Call(messages.Turn, messages.TurnCall{Page: p, Epoch: epoch}, &a, phaseTime) != nil || !a.Accepted.Less(of) || a.Chosen == from {
				break
			}
			from = a.Chosen
		}
		h.own.Send(func(*books) { taught[place] = false })
	})
}

// maxTurns bounds the pages of one teaching.
const maxTurns = 10000

// learn tells a member that what it accepted was chosen.
func (h *Harbour) learn(place int, of configuration.Ballot) {
	if c := h.council.Client(place); c != nil {
		c.Go(messages.Learn, rpc.Encode(messages.LearnCall{B: of}), func([]byte, error) {})
	}
}

// fresh is how many milliseconds ago, at the most, all that was chosen was known here: a majority vouched for that.
func (b *books) fresh() uint32 { return majorityMs(b.vouched) }

// majorityMs is how many milliseconds ago a majority of the members did what is noted by place.
func majorityMs(of []time.Time) uint32 {
	if len(of) == 0 {
		return messages.Never
	}
	at := slices.Clone(of)
	slices.SortFunc(at, func(x, y time.Time) int { return y.Compare(x) })
	t := at[consensus.Majority(len(at))-1]
	if t.IsZero() {
		return messages.Never
	}
	return uint32(min(time.Since(t).Milliseconds(), messages.Never))
}

// ---- To those who pull ----

func (h *Harbour) handle(c rpc.Call) {
	switch c.Kind {
	case messages.Pull:
		var m messages.PullCall
		if err := rpc.Decode(c.Body, &m); err != nil {
			c.Reply(nil, err)
			return
		}
		h.Counts.Pulls.Add(1)
		h.own.Send(func(b *books) { b.pull(c, m) })
	case messages.Report:
		h.report(c)
	case messages.Rolls:
		h.rolls(c)
	case messages.Known:
		var m messages.KnownCall
		if err := rpc.Decode(c.Body, &m); err != nil {
			c.Reply(nil, err)
			return
		}
		h.own.Send(func(b *books) {
			var known messages.Mark
			if at := h.council.Roll().Place(m.Addr); at >= 0 && at < len(b.marks) {
				known = b.marks[at]
			}
			c.Reply(known, nil)
		})
	default:
		c.Reply(nil, errcode.New(errcode.UnknownCall, "kind %d", c.Kind))
	}
}

func (b *books) pull(c rpc.Call, m messages.PullCall) {
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
	p := &puller{c: c, m: m, came: time.Now(), waits: m.Master == nil && !b.full}
	if m.HoldMs == 0 || b.hasNews(p) {
		b.answer(p)
		return
	}
	b.pullers[p] = struct{}{}
	p.timer = time.AfterFunc(time.Duration(min(m.HoldMs, 5000))*time.Millisecond, func() {
		b.h.own.Send(func(b *books) { b.answer(p) })
	})
}

func (b *books) hasNews(p *puller) bool {
	return p.m.Life != b.h.o.Life || p.m.At != b.berths.At() || p.m.Have.Less(b.chosen) ||
		p.m.Epoch < b.h.council.Roll().Epoch || p.m.Sum != b.sum || p.waits && b.full
}

func (b *books) news(m messages.PullCall) messages.News {
	n := messages.News{Life: b.h.o.Life, FreshMs: b.fresh(), Sum: b.sum, Partial: !b.full}
	n.Tell(m, b.berths, b.chosen, b.stands, configuration.Ballot{})
	n.Items = configuration.PublicItems(n.Items)
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
	delete(b.pullers, p)
	a := b.print(p.m, time.Since(p.came))
	if a.some {
		b.h.Counts.News.Add(1)
	}
	p.c.Reply(a.body, nil)
}

// edition is the answers of one moment, each encoded once for all who lack the same.
type edition struct {
	at      time.Time
	of      lack // what nobody lacks who has all
	answers map[lack]printed
	bytes   int
}

// lack is what an answer hangs on, beside the moment.
type lack struct {
	at     uint64
	have   configuration.Ballot
	cursor messages.Cursor
	epoch  uint64
	sum    uint64
	held   time.Duration
	full   bool
}

type printed struct {
	body rpc.Encoded
	some bool // it has entries or items
}

const (
	editionTime  = 50 * time.Millisecond // for so long one serves, and so much older than what it says no news is
	editionBytes = 4 << 20               // that are kept
	answerBytes  = 256                   // of one, beside its body
)

// print is the answer to a call that was held. Its times are bounds: it may be older than it is by an editionTime, and held for less.
func (b *books) print(m messages.PullCall, held time.Duration) printed {
	now, of := time.Now(), lack{at: b.berths.At(), have: b.chosen, epoch: b.h.council.Roll().Epoch, sum: b.sum, full: b.full}
	if e := &b.edition; e.of != of || now.Sub(e.at) >= editionTime || e.bytes > editionBytes {
		*e = edition{at: now, of: of, answers: map[lack]printed{}}
	}
	l := lack{at: m.At, have: m.Have, epoch: m.Epoch, sum: m.Sum, held: held.Truncate(editionTime)}
	if m.Life != b.h.o.Life && m.At != messages.Tells {
		l.at = 0
	} else if m.Cursor != nil {
		l.cursor = *m.Cursor
	}
	a, ok := b.edition.answers[l]
	if !ok {
		n := b.news(m)
		n.FreshMs = min(n.FreshMs+uint32(editionTime.Milliseconds()), messages.Never)
		n.HeldMs = uint32(l.held.Milliseconds())
		a = printed{rpc.Encode(n), len(n.Berths)+len(n.Items) > 0}
		b.edition.answers[l] = a
		b.edition.bytes += len(a.body) + answerBytes
	}
	return a
}

// tellBatch is how many are answered in one command of the owner: calls, watches and rounds get their turns in between.
const tellBatch = 64

// wake answers those for whom there is news.
func (b *books) wake() {
	switch {
	case len(b.pullers) <= tellBatch:
		b.tell(slices.Collect(maps.Keys(b.pullers)))
	case b.telling:
		b.again = true
	default:
		b.telling = b.h.begin(b.h.tell)
	}
}

func (b *books) tell(some []*puller) {
	for _, p := range some {
		if !p.done && b.hasNews(p) {
			b.answer(p)
		}
	}
}

// tell answers all who wait and for whom there is news, in turns, until there is no more of it.
func (h *Harbour) tell() {
	var all []*puller
	for more := true; more; {
		more = false // also where the owner has ended
		h.own.Ask(func(b *books) {
			if len(all) == 0 {
				b.again, all = false, slices.Collect(maps.Keys(b.pullers))
			}
			n := min(tellBatch, len(all))
			b.tell(all[:n])
			all = all[n:]
			more = len(all) > 0 || b.again
			b.telling = more
		})
	}
}

// ---- Other harbourmasters ----

// maxMasters bounds those that are known.
const maxMasters = 64

// meet takes note of a harbourmaster and begins to pull from it.
func (b *books) meet(m messages.Master) {
	if m.Addr == "" || m.Name == "" {
		return
	}
	if old, ok := b.masters[m.Name]; !ok && len(b.masters) < maxMasters || ok && old != m && m.Name != b.h.o.Self.Name {
		b.enter(m)
	}
	b.follow(m.Addr)
}

// hearsay takes a harbourmaster that another one told of.
func (b *books) hearsay(m messages.Master) {
	if s := b.h.o.Head.State(m.Addr); s != membership.Dead && s != membership.Left {
		b.meet(m)
	}
}

func (b *books) enter(m messages.Master) {
	b.masters[m.Name] = m
	b.listed()
}

// listed has those who pull told of another list of harbourmasters.
func (b *books) listed() {
	b.sum = messages.Sum(slices.Collect(maps.Values(b.masters)))
	b.wake()
}

func (b *books) follow(addr string) {
	if addr == b.h.o.Self.Addr || b.pulling[addr] != nil || len(b.pulling) >= maxMasters {
		return
	}
	end := make(chan struct{})
	b.pulling[addr] = end
	delete(b.asked, addr)
	b.h.begin(func() { b.h.follow(addr, end) })
}

const (
	lookEvery = time.Second
	lookSoon  = 200 * time.Millisecond // while a voter is silent
)

// sweepEvery is after how many looks what is long gone is dropped.
const sweepEvery = 10

// meet looks at the seeds and the roster from time to time: they may have changed.
func (h *Harbour) meet() {
	begun := time.Now()
	for look := 1; ; look++ {
		var seeds []string
		for _, s := range h.o.Seeds() {
			seeds = append(seeds, messages.Beside(s, h.o.First, messages.HarbourPort))
		}
		soon := false
		h.own.Ask(func(b *books) {
			for _, a := range seeds {
				b.follow(a)
			}
			for _, p := range h.o.Head.Peers(messages.RoleHarbour) {
				if p.State == membership.Alive {
					b.meet(messages.Master{Name: p.Node, Addr: p.Addr, Zone: p.Zone})
				}
			}
			b.fill(true)
			soon = b.tend(time.Now())
			if look%sweepEvery == 0 {
				b.sweep(time.Now(), time.Since(begun), seeds)
			}
		})
		for end := time.Now().Add(lookEvery * 3 / 4); ; { // drawn: those that ask for a duty at one moment split it
			wait := time.Until(end) + rand.N(lookEvery/4)
			if soon {
				wait = lookSoon*3/4 + rand.N(lookSoon/2)
			}
			if !h.pause(wait) {
				return
			}
			if !soon || time.Now().After(end) {
				break
			}
			h.own.Ask(func(b *books) { soon = b.tend(time.Now()) })
		}
	}
}

// sweep drops what is known of machines that are long gone, while this one hears a majority and others: one that is cut off
// knows nothing of who is gone.
func (b *books) sweep(now time.Time, since time.Duration, seeds []string) {
	head := b.h.o.Head
	if b.berths.Lacks(head.Alive(messages.RoleTug)) {
		b.anew++
	}
	if head.Alone() || b.fresh() > contactMs {
		clear(b.lost)
		return
	}
	if gone := b.berths.Sweep(since, transport.GoneAfter, func(x backends.Berth) bool { return head.Lives(x.Addr) }); len(gone) > 0 {
		b.h.o.Log("gone", strings.Join(gone, " "))
	}
	listed := false
	for name, m := range b.masters {
		switch at, ok := b.lost[name]; {
		case name == b.h.o.Self.Name || head.Lives(m.Addr):
			delete(b.lost, name)
		case !ok:
			b.lost[name] = now
		case now.Sub(at) >= transport.GoneAfter:
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

// heardOut notes that another one has told all entries that it has.
func (b *books) heardOut(addr string) {
	b.asked[addr] = true
	b.fill(false)
}

// fillTime is how long a harbourmaster that begins may wait for what others know of backends.
const fillTime = 2 * time.Second

// fill looks whether all others that are known have told their entries since this one began: until then nobody becomes ready by it.
// One that can't be reached has nothing to tell; of those that all begin at once, each tells what it has. looked: others were looked for.
func (b *books) fill(looked bool) {
	if b.full {
		return
	}
	b.looked = b.looked || looked
	full := b.looked
	for addr := range b.pulling {
		full = full && b.asked[addr]
	}
	if b.full = full || time.Since(b.begun) >= fillTime; b.full {
		b.wake()
	}
}

// follow pulls the berths of another harbourmaster, until end is closed.
func (h *Harbour) follow(addr string, end chan struct{}) {
	c := rpc.NewClient(h.o.Net, addr)
	defer c.Close()
	call := messages.PullCall{Master: &h.o.Self, HoldMs: uint32(pullHold.Milliseconds()), Have: configuration.Ballot{N: 1 << 62}}
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
		var n messages.News
		if err := c.Call(messages.Pull, call, &n, pullHold+callTime); err != nil {
			if errcode.Of(err) == errcode.Unreachable {
				h.own.Ask(func(b *books) { b.heardOut(addr) })
			}
			wait := 250 * time.Millisecond
			if s := h.o.Head.State(addr); s == membership.Dead || s == membership.Left {
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
			if !n.More {
				b.heardOut(addr)
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
	resignTime = 100 * time.Millisecond
)

// change takes one call.
func (h *Harbour) change(ctx context.Context, body []byte) error {
	h.Counts.Changes.Add(1)
	call, err := configuration.DecodeCall(body)
	if err != nil {
		return errcode.New(errcode.InvalidConfiguration, "%w", err)
	}
	if err := call.Check(); err != nil {
		return errcode.New(errcode.InvalidConfiguration, "%w", err)
	}
	if !consensus.Fits(call.Items) {
		return errcode.New(errcode.BodyTooLarge, "%d items, which are over %d bytes", len(call.Items), consensus.DeltaMax)
	}
	var o consensus.Order
	h.own.Ask(func(b *books) { o = consensus.NewOrder(call.Items, b.stands) })
	err = h.propose(ctx, o)
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
func (h *Harbour) configure(ctx context.Context) ([]byte, error) {
	if err := h.propose(ctx, consensus.Order{}); err != nil {
		return nil, err
	}
	var s configuration.Set
	h.own.Ask(func(b *books) { s = b.stands })
	return s.Encode(), nil
}

// propose runs rounds until the order is chosen, or was already, or can't be. It ends when its sender has gone: who has no
// answer sends it again, and a copy that is left behind may only come where it is wanted no more.
func (h *Harbour) propose(ctx context.Context, order consensus.Order) error {
	end := time.Now().Add(changeTime)
	if !h.turn(end) {
		return errcode.New(errcode.HigherBallot, "by other calls here")
	}
	defer func() { <-h.round }()
	for {
		err := h.tryRound(ctx, order, end)
		if err == errLate || time.Since(end) > lateTime { // or this process slept: what it heard tells nothing of what stands now
			return errLate
		}
		if err == errCutOff {
			return err
		}
		if k := errcode.Of(err); k != errcode.HigherBallot && k != errcode.NoQuorum {
			return err
		}
		h.Counts.Preempted.Add(1)
		wait := 5*time.Millisecond + rand.N(50*time.Millisecond)
		if ctx.Err() != nil || time.Now().Add(wait+20*time.Millisecond).After(end) {
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
func (h *Harbour) tryRound(ctx context.Context, order consensus.Order, end time.Time) error {
	if given(ctx, end) {
		return errLate
	}
	h.Counts.Rounds.Add(1)
	roll := h.council.Roll()
	n := len(roll.Voters)
	if n == 0 {
		return errcode.New(errcode.NoQuorum, "nobody known that counts")
	}
	if time.Until(end) < leastTime {
		return errcode.New(errcode.NoQuorum, "no time is left")
	}
	var silent uint32
	var b configuration.Ballot
	r := consensus.Round{Voters: n}
	h.own.Ask(func(t *books) {
		b = configuration.Ballot{N: t.highest.N + 1, Proposer: uint32(h.o.Life)}
		t.raise(b)
		r.Have, r.Held = t.chosen, t.stands
		silent = majorityMs(t.heard)
	})
	if silent > contactMs && silent != messages.Never { // its caller is to go on at once: a round would hold it to the end
		return errCutOff
	}
	var base configuration.Set
	var of configuration.Ballot
	var stands, ok bool
	at := make(map[int]consensus.Promise, n) // of each that promised, without items
	prepare := rpc.Encode(messages.PrepareCall{B: b, Epoch: roll.Epoch, Have: r.Have})
	ph := phase{voters: n}
	err := h.council.Gather(messages.Prepare, func(int) []byte { return prepare }, min(phaseTime, time.Until(end)), func(t quorum.Told) bool {
		var p consensus.Promise
		if t.Err != nil || rpc.Decode(t.Body, &p) != nil {
			return ph.failed(t.Err)
		}
		r.Add(p)
		if !p.Given {
			return ph.refused()
		}
		p.Items = nil
		at[t.Place] = p
		base, of, stands, ok = r.Base()
		return ok
	})
	if b.Less(r.Higher) {
		h.own.Ask(func(t *books) { t.raise(r.Higher) })
	}
	switch {
	case ok:
	case r.Short != "":
		return errcode.New(errcode.NoQuorum, "%s", r.Short)
	case b.Less(r.Higher):
		return errcode.New(errcode.HigherBallot, "")
	default:
		return outOr(err)
	}
	// An order may come long after it was sent, when a cut or a sleep is over: its sender has given it up, and others may have
	// refused it since. What the caller's end of the connection tells has come by now.
	if given(ctx, end) {
		return errLate
	}
	if stands {
		h.own.Ask(func(t *books) { t.whole(of, base) })
	}
	o := order.Lay(base, b, func(next configuration.Set) error {
		// A base that is invalid already, of two calls at once that were valid each, holds up nobody else's call.
		if err := next.Check(); err != nil && base.Check() == nil {
			return err
		}
		return nil
	})
	if stands && len(o.Changes) == 0 {
		return told(o)
	}
	first := false // what a round before has left goes first: both at once are more than a member keeps beside its base
	if !stands && len(o.Changes) > 0 && consensus.Beyond(o.Next, r.Have, consensus.DeltaMax) {
		first, o.Next = true, base
	}
	if err := h.settle(b, of, stands && !first, o.Next, at, roll, end); err != nil {
		return err
	}
	if first {
		return errcode.New(errcode.HigherBallot, "by what was left")
	}
	return told(o)
}

// told is the answer to an order once what its outcome proposes was chosen: until then a refusal would be a guess.
func told(o consensus.Outcome) error {
	switch o.Verdict {
	case consensus.Conflicts:
		return errcode.New(errcode.VersionConflict, "%s", o.At)
	case consensus.Invalid:
		return errcode.New(errcode.InvalidConfiguration, "%w", o.Why)
	case consensus.Unclear:
		return errcode.New(errcode.OutcomeUnknown, "%s", o.At)
	}
	return nil
}

// given reports whether a call was given up by its caller, or by the time that it has.
func given(ctx context.Context, end time.Time) bool {
	return ctx.Err() != nil || !time.Now().Before(end)
}

// lateTime is how much later than its end a round may have been answered.
const lateTime = 100 * time.Millisecond

var errCutOff = errcode.New(errcode.NoQuorum, "no majority heard for 3 s")

var errLate = errcode.New(errcode.NoQuorum, "its time is over, or its caller has gone")

// leastTime is what a round is begun for at least.
const leastTime = 10 * time.Millisecond

// phase counts which members won't give what a phase of a round asks. It is over once no majority can give it any more, by members whose
// epoch has ended, or by some that have promised a higher ballot: to wait on for one that is silent would only hold up the next
// round. Members that can't be reached end it only beside such an answer, as nothing is learnt from them that a round begun anew could use.
type phase struct{ voters, out, gone, higher int }

func (p *phase) over() bool {
	most := p.voters - consensus.Majority(p.voters)
	return p.gone > most || p.higher > 0 && p.out > most
}

// failed counts a member that gave no answer but an error, and reports whether the phase is over.
func (p *phase) failed(err error) bool {
	p.out++
	if errcode.Of(err) == errcode.NotFound {
		p.gone++
	}
	return p.over()
}

// refused counts a member that has promised a higher ballot, or lacks what it is asked to go on from.
func (p *phase) refused() bool {
	p.out++
	p.higher++
	return p.over()
}

func outOr(err error) error {
	if err == nil {
		return errcode.New(errcode.NoQuorum, "the epoch has ended")
	}
	return err
}

// settle has a value accepted by a majority, and takes it. Each member is told what it lacks, as far as is known here; one that
// lacks more than it keeps beside its base is taught first, and counts for nothing. stands: the value of ballot of is chosen.
func (h *Harbour) settle(b, of configuration.Ballot, stands bool, next configuration.Set, at map[int]consensus.Promise, roll messages.Roll, end time.Time) error {
	n := len(roll.Voters)
	holds := make([]configuration.Ballot, n)
	h.own.Ask(func(t *books) { copy(holds, t.upto) })
	bodies := map[configuration.Ballot][]byte{}
	var lag []int
	for i := range holds {
		if p, ok := at[i]; ok {
			if holds[i] = p.Chosen; stands && p.Accepted == of && p.Chosen.Less(of) {
				h.learn(i, of) // it comes before what is to be accepted
				holds[i] = of
			}
		}
		if _, ok := bodies[holds[i]]; ok {
			continue
		}
		bodies[holds[i]] = nil
		if !consensus.Beyond(next, holds[i], consensus.DeltaMax) {
			bodies[holds[i]] = rpc.Encode(messages.AcceptCall{B: b, Base: holds[i], Changes: consensus.Since(next, holds[i]), Epoch: roll.Epoch})
		}
	}
	for i := range holds {
		if bodies[holds[i]] == nil {
			lag = append(lag, i)
		}
	}
	able := len(at)
	for _, i := range lag {
		if _, ok := at[i]; ok {
			able--
		}
	}
	if able < consensus.Majority(n) { // of those that answer; whoever else lags is found out by its watch
		h.own.Ask(func(t *books) {
			for _, i := range lag {
				if _, ok := at[i]; ok && h.council.Roll().Epoch == roll.Epoch {
					t.upto[i] = holds[i]
					t.teach(i)
				}
			}
		})
	}
	if n-len(lag) < consensus.Majority(n) {
		return errcode.New(errcode.NoQuorum, "%d of %d catch up", len(lag), n)
	}
	var vs []consensus.Vouch
	var higher configuration.Ballot
	taken, ph := false, phase{voters: n}
	err := h.council.Gather(messages.Accept, func(place int) []byte {
		return bodies[holds[place]]
	}, min(phaseTime, time.Until(end)), func(t quorum.Told) bool {
		var a messages.Accepted
		if t.Err != nil || rpc.Decode(t.Body, &a) != nil {
			return ph.failed(t.Err)
		}
		if !a.Taken {
			if higher.Less(a.Promised) {
				higher = a.Promised
			}
			return ph.refused()
		}
		vs = append(vs, a.Vouch)
		taken = len(consensus.Sound(vs)) >= consensus.Majority(n)
		return taken
	})
	if !taken {
		if b.Less(higher) {
			h.own.Ask(func(t *books) { t.raise(higher) })
			return errcode.New(errcode.HigherBallot, "")
		}
		if err == nil && ph.higher > 0 {
			return errcode.New(errcode.HigherBallot, "by what a member lacks")
		}
		return outOr(err)
	}
	h.own.Ask(func(t *books) { t.whole(b, next) })
	for i := range roll.Voters {
		h.learn(i, b)
	}
	return nil
}

// whole takes a chosen value that is known whole.
func (b *books) whole(chosen configuration.Ballot, s configuration.Set) {
	if b.chosen.Less(chosen) {
		b.chosen, b.stands = chosen, s
		b.wake()
	}
}
