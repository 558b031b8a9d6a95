package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"
)

// acceptFor after a stop was asked for, new connections are still taken: clients hear of it late, and
// what waits in a closed listener's queue is lost.
const acceptFor = 500 * time.Millisecond

const (
	// headTime is how long a request's head may take to come, and the first one on a new connection.
	headTime = 2500 * time.Millisecond
	// idleTime ends a connection that has had no request for so long. Clients hold a third of the descriptors
	// at most: those that ask once and stay would leave the others none.
	idleTime = restTime + 100*time.Millisecond
)

// Agent is one agent: a listener for the application, the loop, and its connections.
type Agent struct {
	loop     *Loop
	front    *front
	server   *http.Server
	listener net.Listener
	log      *slog.Logger

	acceptFor time.Duration // see the constant
}

// New makes an agent and listens; it serves once Run is called.
func New(c *Config, log *slog.Logger) (*Agent, error) {
	loop, err := newLoop(c, NewClock(), log)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	conns := newClients(listener, c.clientConns())
	a := &Agent{loop: loop, front: newFront(c, loop), listener: conns, log: log, acceptFor: acceptFor}
	a.front.crowded = conns.crowded
	a.server = &http.Server{Handler: a.front, ReadHeaderTimeout: headTime, IdleTimeout: idleTime, ConnState: conns.note,
		MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
	return a, nil
}

// Addr is where the agent listens.
func (a *Agent) Addr() net.Addr { return a.listener.Addr() }

// Reload takes over from a new configuration what may change while the agent runs: the address of
// discovery. All else waits for the next start.
func (a *Agent) Reload(c *Config) {
	a.log.Info("configuration read again", "discovery", c.Discovery)
	a.loop.post(reload{discovery: c.Discovery})
}

// Run serves until stop ends, then finishes what was taken.
func (a *Agent) Run(stop context.Context) error {
	ctx, cancel := context.WithCancel(context.WithoutCancel(stop))
	defer cancel()
	go a.loop.Run(ctx)
	failed := make(chan error, 1)
	go func() { failed <- a.server.Serve(a.listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-stop.Done():
	}
	a.log.Info("draining")
	a.front.draining.Store(true)
	a.loop.post(drain{})
	select {
	case err := <-failed:
		return fmt.Errorf("serving: %w", err)
	case <-time.After(a.acceptFor):
	}
	bound, done := context.WithTimeout(ctx, drainFor-a.acceptFor+100*time.Millisecond)
	defer done()
	if err := a.server.Shutdown(bound); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("stopping: %w", err)
	}
	a.log.Info("stopped")
	return a.server.Close()
}
