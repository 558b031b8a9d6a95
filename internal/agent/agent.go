// Package agent puts one agent together: the core, the fronts, the upstream and discovery, from a configuration. It
// starts, reloads and stops them; what each does is its own.
package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"saltmast"
	"saltmast/internal/bodybuffer"
	"saltmast/internal/config"
	"saltmast/internal/conns"
	"saltmast/internal/core"
	"saltmast/internal/discovery"
	"saltmast/internal/front/http"
	thriftfront "saltmast/internal/front/thrift"
	"saltmast/internal/handover"
	"saltmast/internal/peers"
	settleslog "saltmast/internal/requestlog/log"
	"saltmast/internal/shared"
	"saltmast/internal/thrift"
	"saltmast/internal/upstream"
)

// acceptFor after a stop was asked for, new connections are still taken: clients hear of it late, and
// what waits in a closed listener's queue is lost.
const acceptFor = 500 * time.Millisecond

// emptyFor bounds the wait until all that waits in the listener's queue has been accepted.
const emptyFor = 300 * time.Millisecond

// answerFor is how long after the core's bound on a stop connections are left open for its last answers: the process may be
// killed half a second after that.
const answerFor = 350 * time.Millisecond

// Agent is one agent: its listeners for the application, a loop for each protocol, and their connections.
type Agent struct {
	loop   *core.Loop // of the HTTP front; it moves the list
	table  *discovery.Members
	conns  *conns.Listener
	front  *http.Front
	loops  []*core.Loop
	fronts []front
	thrift *conns.Listener // nil: off
	log    *slog.Logger

	journal *settleslog.Writer // nil: off
	peers   *peers.Peers       // nil: off
	ups     []*upstream.Backends
	follow  func(context.Context) // keeps a list that is pushed; nil: the module asks for it

	tuning      sync.Mutex     // orders reloads, and what shares out the limits
	config      *config.Config // as last read
	generation  uint64         // of its settings
	others      int            // processes of this agent that live beside this one
	held        handover.Usage // by these
	newcomer    bool           // they were there before
	room        int            // requests that the modules may hold open, as last told
	zones       atomic.Pointer[func(discovery.Listing, saltmast.ListKind) saltmast.List]
	kinds       atomic.Pointer[[]string]
	renumber    func(saltmast.Event) // tells the modules a list
	clock       core.Clock
	thriftFront *thriftfront.Front // nil: off

	bodies    *bodybuffer.Budget
	service   *service       // nil: no second address
	listeners []net.Listener // the clients' own, of all fronts

	acceptFor time.Duration // see the constant
}

// front is what serves callers of one protocol.
type front interface {
	Serve() error
	Drain()
	SetDrained(bool)
	Stop(ctx context.Context) error
}

// New makes an agent and listens; it serves once Run is called.
func New(c *config.Config, log *slog.Logger) (*Agent, error) { return newAgent(c, log, hooks{}) }

// NewWrong makes an agent that makes a mistake in what it shares, for the kit to prove that it shows.
func NewWrong(c *config.Config, log *slog.Logger, w shared.Wrong) (*Agent, error) {
	return newAgent(c, log, hooks{wrong: w})
}

// hooks are what tests put in place of the usual.
type hooks struct {
	decide core.Decider               // of the modules; with two protocols both have it step
	folder func(string) settleslog.FS // of the folder of the journal
	wrong  shared.Wrong               // a mistake in what agents share
}

func newAgent(c *config.Config, log *slog.Logger, h hooks) (*Agent, error) {
	decide := h.decide
	if h.folder == nil {
		h.folder = settleslog.Dir
	}
	clock := core.NewClock()
	known := c.Known
	known.Full = true
	table := discovery.NewMembers()
	table.Apply(known)
	a := &Agent{table: table, log: log, acceptFor: acceptFor, config: c, clock: clock, room: c.OpenRequests(),
		bodies: bodybuffer.New(c.BodyBytes(1), c.Passings(1))}
	a.nameZones(c)
	event := func(l discovery.Listing, kind saltmast.ListKind) saltmast.List { return (*a.zones.Load())(l, kind) }
	first := event(known, saltmast.ListCached)
	share := 1 // of the descriptors and open requests, for each protocol
	var t *config.Thrift
	if c.Operator != nil && c.Operator.Thrift != nil {
		t, share = c.Operator.Thrift, 2
	}
	ofThrift := func(b saltmast.Backend) bool {
		kind, kinds := "", *a.kinds.Load()
		if b.Kind >= 0 && b.Kind < len(kinds) {
			kind = kinds[b.Kind]
		}
		return t != nil && t.Serves(b.ID, kind)
	}
	ofHTTP := func(b saltmast.Backend) bool { return !ofThrift(b) }

	if c.Operator != nil && c.Operator.Peers != nil {
		if err := a.openPeers(c, h.wrong); err != nil {
			return nil, err
		}
		defer func() {
			if a.front == nil { // what follows failed
				a.peers.Close()
			}
		}()
	}
	if c.Calls != "" {
		s, err := newService(a, c, clock, log)
		if err != nil {
			return nil, err
		}
		a.service = s
		defer func() {
			if a.front == nil { // what follows failed
				s.close()
			}
		}()
	}

	up := upstream.New(c.Settings, table, c.BackendConns()/share, log)
	a.ups = append(a.ups, up)
	var err error
	if c.Operator != nil && c.Operator.Settles != nil {
		if err := a.openJournal(c.Operator.Settles, h.folder(c.Operator.Settles.Dir)); err != nil {
			return nil, err
		}
		up.Journal = a.journal
		defer func() {
			if a.front == nil { // what follows failed
				a.journal.Close()
			}
		}()
	}
	a.loop, err = core.New(core.Options{Settings: c.Settings, OpenRequests: c.OpenRequests() / share, Seed: c.Seed, Clock: clock, Log: log,
		Known: discovery.Part(first, ofHTTP), First: a.told(), Decider: decide, Admit: a.admit(), Fleet: a.fleet()})
	if err != nil {
		return nil, err
	}
	a.loops = append(a.loops, a.loop)
	options := discovery.Options{Addr: c.Discovery, Known: known, Table: table, Stale: up.Retire, Post: a.loop.Post, Event: event, Log: log}
	a.renumber = a.loop.Post
	if t == nil {
		list := discovery.New(options)
		a.keep(c.Settings, list)
		a.loop.Connect(up, list)
	} else if err := a.addThrift(c, t, options, first, clock, up, decide, ofHTTP, ofThrift); err != nil {
		return nil, err
	}
	listener, err := a.listen(c.Listen)
	if err != nil {
		if a.thrift != nil {
			a.thrift.Close()
		}
		return nil, fmt.Errorf("listen: %w", err)
	}
	a.conns = conns.New(listener, c.ClientConns()/share)
	a.conns.Beside = up.Lent
	a.front = http.New(http.Options{Terms: httpTerms(c, c.Rules(0)), Loop: a.loop, Conns: a.conns, Serving: table.Any, Bodies: a.bodies, Log: log})
	a.fronts = append(a.fronts, a.front)
	return a, nil
}

// listen listens for clients. Where staff can call, the next version may start beside this one.
func (a *Agent) listen(addr string) (l net.Listener, err error) {
	if a.service != nil {
		l, err = handover.Listen(addr)
	} else {
		l, err = net.Listen("tcp", addr)
	}
	if err == nil {
		a.listeners = append(a.listeners, l)
	}
	return l, err
}

// empty reports whether no client waits in a listener's queue.
func (a *Agent) empty() bool {
	return !slices.ContainsFunc(a.listeners, func(l net.Listener) bool { return !handover.Empty(l) })
}

// addThrift adds the front for Thrift callers, with a loop, a module and connections of its own for the servers that
// speak it. Both loops follow one list.
func (a *Agent) addThrift(c *config.Config, t *config.Thrift, o discovery.Options, first saltmast.List, clock core.Clock,
	up *upstream.Backends, decide core.Decider, ofHTTP, ofThrift func(saltmast.Backend) bool) error {
	to := thrift.Binary
	if t.Protocol == "compact" {
		to = thrift.Compact
	}
	s := c.Settings
	s.MayProbe = s.MayProbe && t.Ping != ""
	log := a.log.With("protocol", "thrift")
	loop, err := core.New(core.Options{Settings: s, OpenRequests: c.OpenRequests() / 2, Seed: c.Seed + 1, Clock: clock, Log: log,
		Known: discovery.Part(first, ofThrift), First: a.told(), Decider: decide, Admit: a.admit(), Fleet: a.fleet()})
	if err != nil {
		return err
	}
	upThrift := upstream.New(s, a.table, c.BackendConns()/2, log)
	upThrift.Ping, upThrift.Protocol = t.Ping, to
	if a.journal != nil {
		upThrift.Journal = a.journal
	}
	a.ups = append(a.ups, upThrift)
	shared := discovery.NewShared(first)
	o.Post, a.renumber = shared.Post, shared.Post
	o.Stale = func(backend string) { up.Retire(backend); upThrift.Retire(backend) }
	list := discovery.New(o)
	a.keep(s, list)
	shared.Drive(list)
	a.loop.Connect(up, shared.Follow(ofHTTP, a.loop.Post))
	loop.Connect(upThrift, shared.Follow(ofThrift, loop.Post))
	listener, err := a.listen(t.Listen)
	if err != nil {
		return fmt.Errorf("thrift: listen: %w", err)
	}
	a.thrift = conns.New(listener, c.ClientConns()/2)
	a.loops = append(a.loops, loop)
	a.thriftFront = thriftfront.New(thriftfront.Options{Terms: thriftTerms(c, c.Rules(0)), Loop: loop,
		Conns: a.thrift, To: to, Rejected: t.Rejected, Limits: thrift.Limits{Frame: t.FrameBytes}, Log: log})
	a.fronts = append(a.fronts, a.thriftFront)
	return nil
}

// keep has a pushed list followed while the agent runs. There the module asks for nothing; seen at a site of this kind:
// without a watch an agent stays with the list of its configuration, and sends to whoever has an address by now.
func (a *Agent) keep(s saltmast.Settings, list *discovery.Client) {
	if !s.Subscribe {
		a.follow = list.Keep
	}
}

// ThriftAddr is where it listens for Thrift callers; nil: it does not.
func (a *Agent) ThriftAddr() net.Addr {
	if a.thrift == nil {
		return nil
	}
	return a.thrift.Addr()
}

// Addr is where the agent listens.
func (a *Agent) Addr() net.Addr { return a.conns.Addr() }

// told is what a new module hears of what operators said.
func (a *Agent) told() []saltmast.Event {
	if a.service == nil {
		return nil
	}
	return a.service.first()
}

// clients are the listeners of clients.
func (a *Agent) clients() []*conns.Listener {
	if a.thrift != nil {
		return []*conns.Listener{a.conns, a.thrift}
	}
	return []*conns.Listener{a.conns}
}

// CallsAddr is where operators call; nil: nowhere.
func (a *Agent) CallsAddr() net.Addr {
	if a.service == nil {
		return nil
	}
	return a.service.server.Addr()
}

// Run serves until stop ends, then finishes what was taken.
func (a *Agent) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer func() {
		cancel()
		a.closeJournal()
		a.closePeers()
	}()
	for _, l := range a.loops {
		go l.Run(ctx)
	}
	if a.follow != nil {
		a.follow(ctx)
	}
	if a.peers != nil {
		go a.peers.Run(ctx)
	}
	a.recall(ctx)
	if a.service != nil {
		a.service.run(ctx)
		defer a.service.close()
	}
	failed := make(chan error, len(a.fronts))
	for _, f := range a.fronts {
		go func() { failed <- f.Serve() }()
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-stop.Done():
	}
	a.log.Info("draining")
	if a.service != nil {
		a.service.steer()
	}
	for _, f := range a.fronts {
		f.Drain()
	}
	for _, l := range a.loops {
		l.Drain()
	}
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-time.After(a.acceptFor):
	}
	for end := time.Now().Add(emptyFor); !a.empty() && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	bound, done := context.WithTimeout(ctx, core.DrainFor-a.acceptFor+answerFor)
	defer done()
	stopped := make(chan error, len(a.fronts))
	for _, f := range a.fronts {
		go func() { stopped <- f.Stop(bound) }()
	}
	var errs []error
	for range a.fronts {
		errs = append(errs, <-stopped)
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	a.log.Info("stopped")
	return nil
}
