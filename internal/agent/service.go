package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"saltmast"
	"saltmast/internal/admin"
	"saltmast/internal/config"
	"saltmast/internal/core"
	"saltmast/internal/handover"
	"saltmast/internal/maintenance"
)

const (
	// followEvery is how often the folder is looked at: what the other process was told binds this one within the grace of
	// drains, 250 ms at the least known.
	followEvery = 50 * time.Millisecond
	// tellFor is how long a call waits for the module's step: its gate is shut before, and the answer is owed in a second.
	tellFor = 400 * time.Millisecond
	// freshFor after its start a process says that it is ready with the list that it knows, if no other has come.
	freshFor = 2 * time.Second
	// comeFor after a drain new clients still come: the front asks every 0.1 s, and sends for 0.2 s more.
	comeFor = 600 * time.Millisecond
	// spareBackends are the connections to backends that a process which leaves may keep beside one for each client.
	spareBackends = 8
	// quietFor is how long a connection has rested before a drain closes it, and quietStep how often that is looked at.
	quietFor  = 100 * time.Millisecond
	quietStep = 50 * time.Millisecond
)

// service is what operators act on: it implements admin.Agent, and keeps what they said in the scratch folder.
type service struct {
	a        *Agent
	server   *admin.Server
	folder   *handover.Folder // nil: none
	clock    core.Clock
	ramp     time.Duration
	began    time.Time
	news     uint64 // listings applied before it began
	newcomer bool   // another process was there at its start, and still is
	log      *slog.Logger

	stopping atomic.Bool
	drained  atomic.Int64 // Unix time in ns since when; 0: not

	mu    sync.Mutex // orders calls, and what the other process stored
	state maintenance.State
}

// newService opens the second address. The state of the process before, if there is one, is in force before anything is sent.
func newService(a *Agent, c *config.Config, clock core.Clock, log *slog.Logger) (*service, error) {
	s := &service{a: a, clock: clock, ramp: c.Settings.RampTime, began: time.Now(), news: a.table.News(), log: log}
	if c.Scratch != "" {
		f, err := handover.Open(c.Scratch)
		if err != nil {
			log.Warn("what operators say is not kept", "err", err)
		} else {
			s.folder = f
			n, _ := f.Others()
			s.newcomer = n > 0
		}
	}
	if s.folder != nil {
		state, err := s.folder.Load()
		if err != nil {
			log.Warn("the state of the process before is not taken over", "err", err)
		}
		s.state = state
	}
	for id := range s.state.Out {
		a.table.Withdraw(id)
	}
	server, err := admin.Listen(c.Calls, s, log)
	if err != nil {
		s.close()
		return nil, err
	}
	s.server = server
	if a.peers != nil {
		server.Show("/-/peers", func() any { return a.peers.View() })
		server.Show("/-/shared", func() any { return a.peers.Shared() })
	}
	return s, nil
}

// first are the events that tell a new module what is in force already.
func (s *service) first() []saltmast.Event {
	var out []saltmast.Event
	for _, c := range (maintenance.State{}).Changes(s.state) {
		out = append(out, s.event(c))
	}
	return out
}

func (s *service) event(c maintenance.Change) saltmast.Event {
	return saltmast.Maintenance{Backend: c.ID, OutOfService: c.Out, Since: s.clock.FromUnixMs(float64(c.At))}
}

// run serves the operators until ctx ends.
func (s *service) run(ctx context.Context) {
	s.mu.Lock()
	if s.state.Drained {
		s.setDrained(true)
	}
	s.mu.Unlock()
	go func() {
		if err := s.server.Serve(); err != nil {
			s.log.Error("the operators' address serves no more", "err", err)
		}
	}()
	go s.follow(ctx)
	go s.quiet(ctx)
}

func (s *service) close() {
	if s.server != nil {
		s.server.Close()
	}
	if s.folder != nil {
		s.folder.Close()
	}
}

// follow watches the folder: who lives, what they hold, and what they were told.
func (s *service) follow(ctx context.Context) {
	if s.folder == nil {
		return
	}
	tick := time.NewTicker(followEvery)
	defer tick.Stop()
	s.catchUp(ctx) // since it was read for the first time the other process may have been told more, and have gone
	before := 0
	for {
		others, held := s.folder.Others()
		if others > 0 { // alone, nobody reads it
			s.folder.Publish(s.usage())
		}
		if others > 0 || before > 0 {
			s.a.divide(others, held, s.newcomer)
			s.catchUp(ctx)
		}
		if others != before {
			s.log.Info("processes of this agent", "others", others)
		}
		if others == 0 && before > 0 {
			s.newcomer = false
			for _, l := range s.a.listeners {
				if err := handover.Unsteer(l); err != nil {
					s.log.Warn("new connections may go astray at the next upgrade", "err", err)
				}
			}
		}
		before = others
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// usage is what this process holds.
func (s *service) usage() handover.Usage {
	u := handover.Usage{Leaving: s.stopping.Load()}
	for _, l := range s.a.clients() {
		u.Clients += l.Open()
	}
	for _, up := range s.a.ups {
		u.Backends += up.Open() + up.Lent()
	}
	for _, l := range s.a.loops {
		u.Requests += l.Taken()
	}
	return u
}

// catchUp takes over what the other process was told.
func (s *service) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tellFor)
	defer cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	state, err := s.folder.Load()
	if err != nil || state.Generation <= s.state.Generation {
		return
	}
	s.apply(ctx, state)
}

// change makes, stores and applies a new state. nil is returned once it is in force.
func (s *service) change(make func(maintenance.State) (maintenance.State, error)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n maintenance.State
	var err error
	if s.folder != nil {
		if n, err = s.folder.Update(s.state, make); err != nil && !errors.Is(err, admin.ErrUnknown) {
			err = fmt.Errorf("not kept, so not done: %w", err)
		}
	} else {
		n, err = make(s.state)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), tellFor)
	defer cancel()
	s.apply(ctx, n)
	return nil
}

// apply has a state in force. The gate right before the first byte shuts first; that the module hears of it may take longer
// than an answer may, and is then only late. The caller holds s.mu.
func (s *service) apply(ctx context.Context, n maintenance.State) {
	changes := s.state.Changes(n)
	was := s.state.Drained
	s.state = n
	for _, c := range changes {
		if c.Out {
			s.a.table.Withdraw(c.ID)
		} else {
			s.a.table.Restore(c.ID)
		}
		for _, up := range s.a.ups {
			up.Retire(c.ID)
		}
		for _, l := range s.a.loops {
			l.Tell(ctx, s.event(c))
		}
	}
	if was != n.Drained {
		s.setDrained(n.Drained)
	}
}

func (s *service) setDrained(drained bool) {
	if drained {
		s.drained.Store(time.Now().UnixNano())
	} else {
		s.drained.Store(0)
	}
	for _, f := range s.a.fronts {
		f.SetDrained(drained)
	}
	s.log.Info("drain", "drained", drained)
}

// quiet closes, while the agent is drained, the connections that rest, once no new clients come. Where a request has come
// that is not read yet the connection stays, and closes with its answer.
func (s *service) quiet(ctx context.Context) {
	tick := time.NewTicker(quietStep)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if at := s.drained.Load(); at > 0 && time.Since(time.Unix(0, at)) > comeFor {
			for _, l := range s.a.clients() {
				l.CloseQuiet(quietFor)
			}
		}
	}
}

// Ready implements admin.Agent: nil once clients would be served. A drained process is ready; one that stops is not.
func (s *service) Ready() error {
	if s.stopping.Load() {
		return errors.New("stopping")
	}
	for _, l := range s.a.loops {
		select {
		case <-l.Ready():
		default:
			return errors.New("starting")
		}
	}
	if s.a.table.Empty() {
		return errors.New("no backend is known")
	}
	if s.a.table.News() == s.news && time.Since(s.began) < freshFor {
		return errors.New("the list is awaited")
	}
	return nil
}

// Disable implements admin.Agent.
func (s *service) Disable(id string) error {
	return s.change(func(n maintenance.State) (maintenance.State, error) {
		if !s.a.table.Known(id) && !n.Out[id] {
			return n, admin.ErrUnknown
		}
		return n.Disable(id)
	})
}

// Enable implements admin.Agent.
func (s *service) Enable(id string) error {
	return s.change(func(n maintenance.State) (maintenance.State, error) {
		if !s.a.table.Known(id) && !n.Out[id] {
			return n, admin.ErrUnknown
		}
		return n.Enable(id, time.Now().UnixMilli(), s.ramp.Milliseconds()), nil
	})
}

// Drain implements admin.Agent.
func (s *service) Drain() error { return s.drain(true) }

// Resume implements admin.Agent.
func (s *service) Resume() error { return s.drain(false) }

func (s *service) drain(drained bool) error {
	return s.change(func(n maintenance.State) (maintenance.State, error) { return n.Drain(drained), nil })
}

// divide gives this process its part of what the agent may use, while others live that hold so much.
func (a *Agent) divide(others int, held handover.Usage, newcomer bool) {
	a.tuning.Lock()
	defer a.tuning.Unlock()
	a.others, a.held, a.newcomer = others, held, newcomer
	a.share()
}

// split is how many descriptors this process may spend on connections: what those that leave still hold is theirs, and all else
// this one's. Until then a newcomer has a quarter, since clients keep their connections to the one before. 0: no bound.
func (a *Agent) split() int {
	whole := a.config.Connections(1 + a.others)
	switch {
	case a.others == 0 || whole == 0:
		return whole
	case a.held.Leaving:
		return max(2, whole-a.held.Clients-a.held.Backends)
	case a.newcomer:
		return max(2, whole/4)
	}
	return max(2, whole-whole/4)
}

// share sets the limits. The caller holds a.tuning.
//
// The modules count the requests of all processes: clients have places for so many in all. Seen at an upgrade in a crowd: each
// of two processes kept its own eighth of the places free, and both together held more than there were. Seen there too: a
// newcomer with half of the connections of each kind did not accept what clients opened anew, though the old process held few.
func (a *Agent) share() {
	c := a.config
	clients, backends := config.Divide(a.split())
	if a.service != nil && a.service.stopping.Load() && backends > 0 { // each client that it still has may ask once more
		backends = min(backends, max(spareBackends, a.conns.Open()))
	}
	for _, l := range a.clients() {
		l.SetLimit(clients / len(a.clients()))
	}
	for _, up := range a.ups {
		up.SetLimit(backends / len(a.ups))
	}
	a.bodies.Resize(c.BodyBytes(1+a.others), c.Passings(1+a.others))
	if a.service == nil {
		return
	}
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(config.HeapLimit(c.MemoryMB, 1+a.others))
	}
	open := c.OpenRequests()
	if a.others > 0 && open > 0 {
		open = max(open/8, open-a.held.Requests)
	}
	if open == a.room {
		return
	}
	a.room = open
	for _, l := range a.loops {
		l.Post(saltmast.OpenLimit{MaxOpen: open / len(a.loops)})
	}
}

var _ admin.Agent = (*service)(nil)

// steer has new connections go to the newcomer, if there is one.
func (s *service) steer() {
	s.stopping.Store(true)
	if s.folder == nil {
		return
	}
	s.folder.Publish(s.usage())
	if n, _ := s.folder.Others(); n == 0 {
		return
	}
	for _, l := range s.a.listeners {
		if err := handover.Steer(l); err != nil {
			s.log.Warn("new connections are not steered to the newcomer", "err", err)
		}
	}
}
