package registry

import (
	"cmp"
	"fmt"
	"sync/atomic"
	"time"

	"saltmast/internal/membership/transport"
	"saltmast/internal/messages"
	"saltmast/internal/process"
	"saltmast/internal/reconfig"
	"saltmast/internal/rpc"
	"saltmast/internal/settings"
	"saltmast/internal/sock"
)

// Program is the registry as a program.
var Program = process.Program{Name: "harbourmaster", Description: "The registry of the mesh: knows nodes and backends, takes the operator's calls.",
	Start: func(s *settings.Settings, log func(event, text string)) (process.Running, error) {
		return Launch(s, log, nil)
	}}

// leastLost bounds from below how long a voter is silent before it is replaced, whatever catchup-s says: its answers are half a
// second apart, and a try that hangs takes 1.1 s.
const leastLost = 1500 * time.Millisecond

// Running is a harbourmaster that was started by settings.
type Running struct {
	H    *Harbour
	head *transport.Masthead
	s    *atomic.Pointer[settings.Settings]
}

// Launch starts by settings. on: nil for the system's network.
func Launch(s *settings.Settings, log func(event, text string), on sock.Net) (Running, error) {
	r := Running{s: &atomic.Pointer[settings.Settings]{}}
	r.s.Store(s)
	if s.Listen["control-plane"] == "" || s.Port(messages.GatePort) == "" {
		return r, fmt.Errorf("%s: listen-addrs.control-plane and %d ephemeral-ports wanted", s.Path, messages.GatePort+1)
	}
	control, err := sock.On(on).Listen(s.Listen["control-plane"], 0)
	if err != nil {
		return r, fmt.Errorf("control-plane: %w", err)
	}
	calls, err := rpc.Listen(on, s.Port(messages.HarbourPort))
	if err != nil {
		return r, err
	}
	life := process.RandomLife()
	r.head = transport.Start(s, messages.RoleHarbour, messages.RosterPort, messages.HarbourPort, life, on, log)
	r.H = Start(Options{Head: r.head, Self: messages.Master{Name: s.NodeName, Addr: s.Port(messages.HarbourPort), Zone: s.Zone},
		Purser: s.Port(messages.PurserPort), First: s.Ports[0], Life: life, Control: control, Calls: calls, Net: on, Log: log,
		Lost: cmp.Or(s.VoterReplaceAfter, max(s.Bounds.Catchup/2, leastLost)), Losses: max(s.Tolerance.Machines, s.Tolerance.Zones, s.Tolerance.Regions),
		Bears: reconfig.Tolerance{Zones: s.Tolerance.Zones, Regions: s.Tolerance.Regions, RegionOf: s.Zones},
		Seeds: func() []string { return r.s.Load().Seeds }})
	return r, nil
}

// Reload takes other settings: seeds alone may change while it runs.
func (r Running) Reload(s *settings.Settings) {
	r.s.Store(s)
	r.head.Reload(s)
}

// Stop ends it.
func (r Running) Stop(grace time.Duration) { r.H.Close(min(grace, 2*time.Second)) }

// Counts are for the log.
func (r Running) Counts() map[string]int64 {
	c, s := &r.H.Counts, r.H.Status()
	out := map[string]int64{"pulls": c.Pulls.Load(), "news": c.News.Load(), "changes": c.Changes.Load(), "refused": c.Refused.Load(),
		"rounds": c.Rounds.Load(), "preempted": c.Preempted.Load(), "taught": c.Taught.Load(), "relieved": c.Relieved.Load(), "items": int64(s.Items),
		"berths": int64(len(s.Berths)), "masters": int64(len(s.Masters)), "fresh_ms": int64(s.FreshMs), "chosen": int64(s.Chosen.N)}
	r.head.Count(out)
	return out
}
