// Package core is the loop round the decision module: it steps the module, keeps its timers and the table of requests,
// and sees to it that each request gets one final answer. It never blocks and names no protocol: fronts hand it requests
// and get an answer each, an Upstream makes attempts of them. It decides nothing by itself. Start reading at Loop.
package core

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"saltmast"
	"saltmast/internal/shared"
	"saltmast/internal/work"
)

const (
	// cutMargin before a request's deadline its attempts end and its time is up for the module too;
	// netMargin before it the safety net answers. So the last byte is written in time.
	cutMargin = 20 * time.Millisecond
	netMargin = 5 * time.Millisecond
	// comingFor bounds how long a body may be coming: its front ends one that makes no progress long before.
	comingFor = time.Hour
	// DrainFor after a stop was asked for, all that is still open is answered: the process may be
	// killed 3.7 s after.
	DrainFor = 3200 * time.Millisecond
)

// Decider is the decision module; in service a *saltmast.Balancer.
type Decider interface {
	Step(now time.Duration, events []saltmast.Event) []saltmast.Action
}

// Loop is the one goroutine that owns the Balancer. What happens comes to it through post; it never
// waits for I/O.
type Loop struct {
	clock  Clock
	s      *saltmast.Settings // in force; requests keep those that they arrived under
	bal    Decider
	up     Upstream
	lists  Lists
	log    *slog.Logger
	admit  func() (time.Duration, bool)
	fleet  Fleet // nil: agents share nothing
	in     chan any
	urgent chan struct{} // holds one while queue may hold some
	done   chan struct{} // closed when Run returns
	ready  chan struct{} // closed after the first step

	work    *work.Pool // of attempts
	ctx     context.Context
	last    time.Duration // time of the last step
	pending []saltmast.Event
	heard   []chan struct{} // closed after the next step

	mu    sync.Mutex
	queue []told // operators' events, in their order: they pass what waits in in

	timers timers
	seq    int // of timers
	open   map[string]*Request
	taken  int           // requests without a final answer
	count  atomic.Int64  // the same, for others
	until  time.Duration // when draining: no answer comes later; 0: not draining
}

// Call is what an Upstream needs to know of a request. Payload is the front's and the upstream's affair.
type Call struct {
	ID      string
	Payload any
	Record  *Record                            // not nil: no attempt may go out that is not recorded first
	whole   func(at time.Time) (cut time.Time) // see Arrived
	wholeAt atomic.Int64                       // when its last byte went out, on the loop's clock; 0: that was before its arrival
	over    atomic.Bool                        // ended: nothing more may go out for it
}

// Record is what a request is recorded by, that must not run twice.
type Record struct {
	Class, Account, Key string
	Digest              [32]byte     // SHA-256 of the body
	Attempts            atomic.Int32 // that were recorded so far
}

// Arrived tells, of a request whose body was still coming, when its last byte went out, and returns by when it must be
// answered: its times count from there. An Upstream calls it once, before the answer is read.
func (c *Call) Arrived(at time.Time) (cut time.Time) { return c.whole(at) }

// Over reports whether the request has ended: nothing more may go out for it.
func (c *Call) Over() bool { return c.over.Load() }

// End marks the request as ended.
func (c *Call) End() { c.over.Store(true) }

// Request is one in the table: from its arrival until it is answered and its attempts are in.
type Request struct {
	Call
	event    saltmast.Request
	rules    *saltmast.Settings // that it arrived under
	class    int
	arrived  time.Duration
	deadline time.Duration
	cut      time.Duration // as told to the module: attempts end then
	answer   chan Answer   // holds one
	ended    bool
	attempts []*attempt // by number; nil once its outcome is in
	out      int
	risky    bool   // some attempt may have run
	net      *timer // the safety net, until it has ended
}

// Taken is how many requests have no final answer yet.
func (l *Loop) Taken() int { return int(l.count.Load()) }

// NewRequest returns a request whose last byte came at arrived. It keeps rules, those that its front took it by, whatever
// comes later. event.Left says how long its client waits from then.
func (l *Loop) NewRequest(rules *saltmast.Settings, event saltmast.Request, arrived time.Time, payload any) *Request {
	at := l.clock.At(arrived)
	event.Generation = rules.Generation
	r := &Request{Call: Call{ID: event.ID, Payload: payload}, event: event, rules: rules, class: event.Class, arrived: at,
		deadline: at + event.TimeLeft, answer: make(chan Answer, 1)}
	if event.BodyPending {
		r.deadline = at + comingFor
		r.whole = func(t time.Time) time.Time {
			r.wholeAt.Store(int64(l.clock.At(t)))
			l.post(whole{r})
			return t.Add(event.TimeLeft - 2*netMargin)
		}
	}
	return r
}

// cancel ends its attempts.
func (r *Request) cancel() {
	for _, a := range r.attempts {
		if a != nil {
			a.cancel()
		}
	}
}

// Answer brings the final answer, one and only.
func (r *Request) Answer() <-chan Answer { return r.answer }

// Kind is what a final answer says.
type Kind int

const (
	Failed    Kind = iota // no promise about its effect
	Served                // Payload is what the upstream brought
	Refused               // nothing has run: trying again does no harm
	Duplicate             // its id is open already; it was not taken
)

// Answer is the final answer to a request.
type Answer struct {
	Kind       Kind
	Payload    any           // of Served
	RetryAfter time.Duration // of Refused: when to come back; 0: no advice
}

// Reply is how an attempt or a probe ended.
type Reply struct {
	Result  saltmast.Result
	At      time.Time
	Load    saltmast.Load
	Payload any // of an attempt that was served: what its front passes on

	Spent      bool // the body can't be sent once more
	Unrecorded bool // it was not sent since it could not be recorded: the request is turned away
}

// Upstream carries out attempts and probes. Each call returns once, by the cut or when ctx ends, and runs on a
// goroutine of its own, but for CloseIdle, which must not block.
type Upstream interface {
	Attempt(ctx context.Context, c *Call, backend string, cut time.Time) Reply
	Probe(ctx context.Context, backend string) Reply
	CloseIdle(backend string)
}

// Lists asks for the server list. Its calls must not block; what they bring comes by Post.
type Lists interface {
	Subscribe(ctx context.Context)
	Unsubscribe()
	Fetch(ctx context.Context)
	Move(ctx context.Context, addr string)
}

// What reaches the loop besides the module's own events:
type (
	arrival   struct{ r *Request }
	departure struct{ r *Request } // its client has left
	outcome   struct {
		r          *Request
		event      saltmast.Outcome
		payload    any
		unrecorded bool
		told, aim  time.Duration // of its attempt, see Fleet.Sent; told is negative where that was not called
	}
	drain struct{}
	move  struct{ addr string }
	whole struct{ r *Request } // its last byte has gone out
	told  struct {
		event saltmast.Event
		rules *saltmast.Settings // with a Retune: the loop's own
		done  chan struct{}
	}
)

// Fleet is what agents share, as far as a loop has to do with it. Its calls must not block.
type Fleet interface {
	// Count counts one of a kind for a class of a generation of settings.
	Count(generation uint64, class int, k shared.Kind)
	// Left is how many retries may be sent now; negative: no budget is shared.
	Left() int
	// Spend takes one; false: there is none.
	Spend() bool
	// Missed says that one was wanted and not tried.
	Missed()
	// Sent says that an attempt goes out to a backend that is to answer within an aim, and returns what to end it with.
	Sent(backend string, aim time.Duration) (at time.Duration)
	// Ended says how it ended; late: after the aim.
	Ended(backend string, at time.Duration, r saltmast.Result, late bool)
}

// alone is the Fleet of an agent that shares nothing.
type alone struct{}

func (alone) Count(uint64, int, shared.Kind) {}
func (alone) Left() int                      { return -1 }
func (alone) Spend() bool                    { return true }
func (alone) Missed()                        {}

func (alone) Sent(string, time.Duration) time.Duration           { return 0 }
func (alone) Ended(string, time.Duration, saltmast.Result, bool) {}

// Options are what a loop is made of.
type Options struct {
	Settings     saltmast.Settings
	OpenRequests int // that the module is told may be open, for it to keep some of that free; 0: no bound
	Seed         uint64
	Clock        Clock
	Log          *slog.Logger
	Known        saltmast.List    // the list as last known
	First        []saltmast.Event // what else the module hears in its first step
	Decider      Decider          // nil: the decision module

	Fleet Fleet // nil: agents share nothing

	// Admit tells, for a request that must be recorded, whether that can be done now, and else when to come back; it must not
	// block. nil: it can.
	Admit func() (after time.Duration, ok bool)
}

// New returns a loop. Connect it before it runs.
func New(o Options) (*Loop, error) {
	settings := o.Settings
	settings.MaxOpen = o.OpenRequests
	if o.Decider == nil {
		bal, err := saltmast.New(settings, o.Seed)
		if err != nil {
			return nil, err
		}
		o.Decider = bal
	}
	if o.Fleet == nil {
		o.Fleet = alone{}
	}
	return &Loop{admit: o.Admit, fleet: o.Fleet, clock: o.Clock, s: &o.Settings, bal: o.Decider, log: o.Log, in: make(chan any, 1024), urgent: make(chan struct{}, 1), work: work.New(), done: make(chan struct{}),
		ready: make(chan struct{}), open: map[string]*Request{}, last: o.Clock.Now() - o.Settings.Tick,
		pending: append([]saltmast.Event{o.Known}, o.First...)}, nil
}

// Connect gives a loop what carries out its actions.
func (l *Loop) Connect(up Upstream, lists Lists) { l.up, l.lists = up, lists }

// Submit hands a request over. Its one answer comes through its channel, unless the loop ends first.
func (l *Loop) Submit(r *Request) { l.post(arrival{r}) }

// Leave says that a request's client has gone.
func (l *Loop) Leave(r *Request) { l.post(departure{r}) }

// Post hands the module an event.
func (l *Loop) Post(e saltmast.Event) { l.post(e) }

// Drain has all that is open answered in time for a stop.
func (l *Loop) Drain() { l.post(drain{}) }

// Move turns to another address of the list.
func (l *Loop) Move(addr string) { l.post(move{addr}) }

// Ready is closed once the module has been stepped for the first time, Done when the loop has ended.
func (l *Loop) Ready() <-chan struct{} { return l.ready }

// Done is closed when the loop has ended.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Tell hands the module an event ahead of all that waits, and returns once the module has taken it; false: ctx ended before,
// and it takes it later, in the order of the calls.
func (l *Loop) Tell(ctx context.Context, e saltmast.Event) bool {
	return l.tell(ctx, told{event: e, done: make(chan struct{})})
}

// Retune has other settings in force for the requests that are taken by them, and returns once the module has them; those
// before go on. from tells for each class which one of the settings in force it continues; -1: none.
func (l *Loop) Retune(ctx context.Context, rules *saltmast.Settings, from []int, openRequests int) bool {
	settings := *rules
	settings.MaxOpen = openRequests
	return l.tell(ctx, told{event: saltmast.SettingsUpdate{Settings: settings, PreviousClass: from}, rules: rules, done: make(chan struct{})})
}

func (l *Loop) tell(ctx context.Context, m told) bool {
	l.mu.Lock()
	l.queue = append(l.queue, m)
	l.mu.Unlock()
	select {
	case l.urgent <- struct{}{}:
	default:
	}
	select {
	case <-m.done:
	case <-l.done:
	case <-ctx.Done():
		return false
	}
	return true
}

// post hands something to the loop; once that has ended it comes to nothing.
func (l *Loop) post(m any) {
	select {
	case l.in <- m:
	case <-l.done:
	}
}

// Run steps the module until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer l.stop()
	l.ctx = ctx
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		now := l.clock.Now()
		l.fire(now)
		next := l.last + l.s.Tick // steps come a tick apart; what happens meanwhile makes one batch
		if len(l.pending) > 0 && now >= next {
			l.step(now)
			continue
		}
		if len(l.pending) == 0 {
			next = now + time.Minute
		}
		if len(l.timers) > 0 {
			next = min(next, l.timers[0].at)
		}
		wake.Reset(max(0, next-now))
		select {
		case <-ctx.Done():
			return
		case <-wake.C:
		case <-l.urgent:
			l.hear()
		case m := <-l.in:
			l.take(m)
		}
		for more := true; more; {
			select {
			case <-l.urgent:
				l.hear()
			default:
			}
			select {
			case m := <-l.in:
				l.take(m)
			default:
				more = false
			}
		}
	}
}

// stop ends what still runs for the loop.
func (l *Loop) stop() {
	close(l.done)
	for _, r := range l.open {
		r.cancel()
	}
	l.work.Close()
}

// hear notes operators' events.
func (l *Loop) hear() {
	l.mu.Lock()
	queue := l.queue
	l.queue = nil
	l.mu.Unlock()
	for _, m := range queue {
		if m.rules != nil {
			l.s = m.rules
		}
		l.pending = append(l.pending, m.event)
		l.heard = append(l.heard, m.done)
	}
}

// take notes what happened; the module hears of it in the next step.
func (l *Loop) take(m any) {
	switch m := m.(type) {
	case arrival:
		l.arrive(m)
	case departure:
		select {
		case a := <-m.r.answer: // nobody takes it any more
			discard(a.Payload)
		default:
		}
		if !m.r.ended {
			l.end(m.r)
			l.pending = append(l.pending, saltmast.Abandoned{Request: m.r.ID})
		}
	case outcome:
		l.finish(m)
	case drain:
		l.until = l.clock.Now() + DrainFor
		for _, r := range l.open {
			l.guard(r)
		}
	case whole:
		if !m.r.ended {
			m.r.deadline = time.Duration(m.r.wholeAt.Load()) + m.r.event.TimeLeft
			l.guard(m.r)
			l.pending = append(l.pending, saltmast.BodySent{Request: m.r.ID})
		}
	case move:
		l.lists.Move(l.ctx, m.addr)
	case saltmast.Event:
		l.pending = append(l.pending, m)
	}
}

func (l *Loop) arrive(m arrival) {
	r := m.r
	if l.open[r.ID] != nil {
		r.answer <- Answer{Kind: Duplicate}
		return
	}
	l.fleet.Count(r.event.Generation, r.class, shared.Requests)
	if l.s.MaxOpen > 0 && l.taken >= l.s.MaxOpen {
		l.fleet.Count(r.event.Generation, r.class, shared.Refusals)
		r.answer <- Answer{Kind: Refused}
		return
	}
	if r.Record != nil && l.admit != nil {
		if after, ok := l.admit(); !ok {
			l.fleet.Count(r.event.Generation, r.class, shared.Refusals)
			r.answer <- Answer{Kind: Refused, RetryAfter: l.advice(after)}
			return
		}
	}
	l.open[r.ID] = r
	l.taken++
	l.count.Store(int64(l.taken))
	l.guard(r)
	l.pending = append(l.pending, r.event)
}

// advice is when a client is told to come back, where settings allow.
func (l *Loop) advice(after time.Duration) time.Duration {
	if !l.s.RetryAfter {
		return 0
	}
	return min(after, l.s.MaxRetryAfter)
}

// guard sets the safety net of a request, or sets it anew.
func (l *Loop) guard(r *Request) {
	if r.ended {
		return
	}
	at := r.deadline - netMargin
	if l.until > 0 {
		at = min(at, l.until)
	}
	l.unguard(r)
	r.net = &timer{at: at, net: r}
	l.push(r.net)
}

// unguard takes the safety net out, which would hold the request and its body until its deadline.
func (l *Loop) unguard(r *Request) {
	if r.net != nil && r.net.place >= 0 {
		heap.Remove(&l.timers, r.net.place)
	}
	r.net = nil
}

// end marks a request as answered. From here on nothing goes out for it.
func (l *Loop) end(r *Request) {
	r.ended = true
	r.End()
	l.unguard(r)
	l.taken--
	l.count.Store(int64(l.taken))
	l.forget(r)
}

func (l *Loop) forget(r *Request) {
	if r.ended && r.out == 0 && l.open[r.ID] == r {
		delete(l.open, r.ID)
	}
}

func (l *Loop) reply(r *Request, a Answer) {
	if a.Kind == Refused {
		l.fleet.Count(r.event.Generation, r.class, shared.Refusals)
	}
	r.answer <- a
	l.end(r)
}

// finish takes the outcome of an attempt. The first OK goes to the client by itself.
func (l *Loop) finish(m outcome) {
	r := m.r
	r.attempts[m.event.Attempt] = nil
	r.out--
	if m.aim > 0 && m.told >= 0 {
		l.fleet.Ended(m.event.Backend, m.told, m.event.Result, m.event.Latency > m.aim)
	}
	if res := m.event.Result; res == saltmast.OK || res == saltmast.Errored || res == saltmast.Full {
		l.fleet.Count(r.event.Generation, r.class, shared.Answered)
	}
	r.risky = r.risky || !m.event.Result.NeverRan() || r.rules.FullMayHaveRun && m.event.Result == saltmast.Full
	if m.event.Result == saltmast.OK && !r.ended {
		l.reply(r, Answer{Kind: Served, Payload: m.payload})
	} else {
		discard(m.payload)
	}
	if m.unrecorded && !r.ended && !r.risky && r.out == 0 { // nothing has run, and what can't be recorded may not go out
		after := time.Duration(0)
		if l.admit != nil {
			after, _ = l.admit()
		}
		l.reply(r, Answer{Kind: Refused, RetryAfter: l.advice(after)})
	}
	m.event.Done = r.ended
	l.forget(r)
	l.pending = append(l.pending, m.event)
}

// discard ends what an upstream brought and nobody takes: an answer that goes on as it comes holds a connection.
func discard(payload any) {
	if c, ok := payload.(io.Closer); ok {
		c.Close()
	}
}

// fire brings the timers that are due.
func (l *Loop) fire(now time.Duration) {
	for len(l.timers) > 0 && l.timers[0].at <= now {
		t := heap.Pop(&l.timers).(*timer)
		if t.net == nil {
			l.pending = append(l.pending, saltmast.TimerFired{Token: t.token})
			continue
		}
		r := t.net
		if r.ended {
			continue
		}
		if l.until == 0 {
			l.log.Error("bug: no final answer by the deadline", "id", r.ID, "attempts", len(r.attempts), "out", r.out)
		}
		l.reply(r, Answer{Kind: Failed})
		r.cancel()
		l.pending = append(l.pending, saltmast.Abandoned{Request: r.ID})
	}
}

// step runs the module once and carries out what it says.
func (l *Loop) step(now time.Duration) {
	events := l.pending
	l.pending = nil
	for i, e := range events {
		if q, ok := e.(saltmast.Request); ok && l.open[q.ID] != nil {
			r := l.open[q.ID]
			if q.BodyPending {
				q.TimeLeft -= cutMargin
				r.cut = r.deadline
				events[i] = q
				continue
			}
			// A step comes within a tick of an arrival. When the machine is late with it, the module must
			// not take the delay for a client with less patience, which it reads as one that tries again.
			q.TimeLeft = r.deadline - cutMargin - r.arrived - min(now-r.arrived, l.s.Tick)
			// An attempt that times out with the request must not do so before the module's deadline for
			// that: the module would wait for another try that can't come, until the safety net answers.
			r.cut = min(now+q.TimeLeft, r.deadline-2*netMargin)
			events[i] = q
		}
	}
	l.last = now
	if left := l.fleet.Left(); left >= 0 {
		events = append([]saltmast.Event{saltmast.RetryBudget{Retries: left}}, events...)
	}
	for _, a := range l.decide(now, events) {
		l.perform(now, a)
	}
	for _, c := range l.heard {
		close(c)
	}
	l.heard = nil
	select {
	case <-l.ready:
	default:
		close(l.ready)
	}
}

// decide steps the module. A panic there costs a step and no more: the safety net answers.
func (l *Loop) decide(now time.Duration, events []saltmast.Event) (actions []saltmast.Action) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("bug: the decision module panicked", "panic", fmt.Sprint(p),
				"stack", strings.ReplaceAll(string(debug.Stack()), "\n", " | "))
		}
	}()
	return l.bal.Step(now, events)
}

// perform carries out one action.
func (l *Loop) perform(now time.Duration, a saltmast.Action) {
	switch a := a.(type) {
	case saltmast.Send:
		l.send(now, a)
	case saltmast.Cancel:
		if r := l.open[a.Request]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) && r.attempts[a.Attempt] != nil {
			r.attempts[a.Attempt].cancel()
		}
	case saltmast.Refuse:
		l.refuse(a)
	case saltmast.Fail:
		if r := l.open[a.Request]; r != nil && !r.ended {
			l.reply(r, Answer{Kind: Failed})
		}
	case saltmast.SetTimer:
		l.push(&timer{at: now + max(0, a.After), token: a.Token})
	case saltmast.Probe:
		l.probe(a.Backend)
	case saltmast.Subscribe:
		l.lists.Subscribe(l.ctx)
	case saltmast.Unsubscribe:
		l.lists.Unsubscribe()
	case saltmast.FetchList:
		l.lists.Fetch(l.ctx)
	case saltmast.CloseIdle:
		l.up.CloseIdle(a.Backend)
	case saltmast.RetryBudgetExhausted:
		l.fleet.Missed()
	case saltmast.Note:
		l.log.Info(a.Text)
	default:
		l.log.Error("bug: an action that this agent does not carry out", "action", fmt.Sprintf("%T", a))
	}
}

func (l *Loop) refuse(a saltmast.Refuse) {
	r := l.open[a.Request]
	if r == nil || r.ended {
		return
	}
	// Once an attempt may have run, a refusal would invite a repeat of its effect.
	if c := r.rules.Classes[r.class]; (r.risky || r.out > 0) && c.Effect != saltmast.Safe &&
		!(c.Effect == saltmast.Keyed && c.Group == saltmast.GroupAll) {
		l.log.Error("bug: refusal of a request that may have run", "id", a.Request)
		l.reply(r, Answer{Kind: Failed})
		return
	}
	l.reply(r, Answer{Kind: Refused, RetryAfter: a.RetryAfter})
}

// send starts an attempt. Every Send takes a number and gets exactly one outcome.
func (l *Loop) send(now time.Duration, a saltmast.Send) {
	r := l.open[a.Request]
	if r == nil {
		l.log.Error("bug: a send for a request that is not open", "id", a.Request)
		return
	}
	no := len(r.attempts)
	ctx := &attempt{}
	r.attempts = append(r.attempts, ctx)
	r.out++
	event := saltmast.Outcome{Request: a.Request, Attempt: no, Backend: a.Backend, Result: saltmast.NotSent}
	cut := r.cut
	if l.until > 0 {
		cut = min(cut, l.until-cutMargin)
	}
	if a.Timeout > 0 {
		cut = min(cut, now+a.Timeout)
	}
	if r.ended || no >= max(1, r.rules.MaxAttempts) || now >= cut {
		l.finish(outcome{r: r, event: event})
		return
	}
	if no > 0 {
		// Looked at once more by the clock as it is now: the process may have been stopped since the module decided.
		if !l.fleet.Spend() {
			l.finish(outcome{r: r, event: event})
			return
		}
		l.fleet.Count(r.event.Generation, r.class, shared.Retries)
	}
	until := l.clock.base.Add(cut - clockStart)
	aim := r.rules.Classes[r.class].Aim
	told := time.Duration(-1)
	if !r.event.BodyPending { // how long a body takes to come says nothing of the backend
		told = l.fleet.Sent(a.Backend, aim)
	}
	l.work.Go(func() {
		rep := l.up.Attempt(ctx, &r.Call, a.Backend, until)
		from := now
		if at := r.wholeAt.Load(); at > 0 { // how long a body took to come says nothing of the backend
			from = time.Duration(at)
		}
		event.Result, event.Latency, event.Load, event.BodyConsumed = rep.Result, max(0, l.clock.At(rep.At)-from), rep.Load, rep.Spent
		l.post(outcome{r: r, event: event, payload: rep.Payload, unrecorded: rep.Unrecorded, told: told, aim: aim})
	})
}

func (l *Loop) probe(backend string) {
	start := l.clock.Now()
	go func() {
		rep := l.up.Probe(l.ctx, backend)
		l.post(saltmast.ProbeResult{Backend: backend, Result: rep.Result, Latency: l.clock.At(rep.At) - start,
			Load: rep.Load})
	}()
}

// timer is one of the module's, or the safety net of a request.
type timer struct {
	at    time.Duration
	seq   int
	token int64
	net   *Request
	place int // in the heap; -1 once it has left that
}

func (l *Loop) push(t *timer) {
	l.seq++
	t.seq = l.seq
	heap.Push(&l.timers, t)
}

// timers is a heap: the earliest first, of two at one time the one set first.
type timers []*timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}
func (t *timers) Push(x any) {
	x.(*timer).place = len(*t)
	*t = append(*t, x.(*timer))
}
func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	x.place = -1
	return x
}
