// Command harbourmaster is the registry of the mesh: see docs/mesh.md.
package main

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"time"

	"saltmast/internal/articles"
	"saltmast/internal/codebook"
	"saltmast/internal/harbour"
	"saltmast/internal/launch"
	"saltmast/internal/signal"
)

type running struct {
	h *harbour.Harbour
	s *atomic.Pointer[articles.Settings]
}

func start(s *articles.Settings, log func(event, text string)) (launch.Running, error) {
	r := running{s: &atomic.Pointer[articles.Settings]{}}
	r.s.Store(s)
	if s.Listen["control-plane"] == "" || s.Port(codebook.GatePort) == "" {
		return nil, fmt.Errorf("%s: listen-addrs.control-plane and %d ephemeral-ports wanted", s.Path, codebook.GatePort+1)
	}
	control, err := net.Listen("tcp4", s.Listen["control-plane"])
	if err != nil {
		return nil, fmt.Errorf("control-plane: %w", err)
	}
	calls, err := signal.Listen(s.Port(codebook.HarbourPort))
	if err != nil {
		return nil, err
	}
	r.h = harbour.Start(harbour.Options{Self: codebook.Master{Name: s.NodeName, Addr: s.Port(codebook.HarbourPort), Zone: s.Zone},
		Purser: s.Port(codebook.PurserPort), First: s.Ports[0], Life: launch.Life(), Control: control, Calls: calls, Log: log,
		Seeds: func() []string { return r.s.Load().Seeds }})
	return r, nil
}

func (r running) Reload(s *articles.Settings) { r.s.Store(s) }

func (r running) Stop(grace time.Duration) { r.h.Close(min(grace, 2*time.Second)) }

func (r running) Counts() map[string]int64 {
	c, s := &r.h.Counts, r.h.Status()
	return map[string]int64{"pulls": c.Pulls.Load(), "news": c.News.Load(), "changes": c.Changes.Load(), "refused": c.Refused.Load(),
		"rounds": c.Rounds.Load(), "preempted": c.Preempted.Load(), "taught": c.Taught.Load(), "items": int64(s.Items),
		"berths": int64(len(s.Berths)), "masters": int64(len(s.Masters)), "fresh_ms": int64(s.FreshMs), "chosen": int64(s.Chosen.N)}
}

func main() {
	os.Exit(launch.Main(launch.Program{Name: "harbourmaster", About: "The registry of the mesh: knows nodes and backends, takes the operator's calls.", Start: start}, os.Args[1:]))
}
