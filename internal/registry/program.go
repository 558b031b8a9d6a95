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

// Program describes the registry to package process.
var Program = process.Program{Name: "harbourmaster", Description: "The registry of the mesh: knows nodes and backends, takes the operator's calls.",
	Start: func(s *settings.Settings, log func(event, text string)) (process.Running, error) {
		return Launch(s, log, nil)
	}}

// minLostAfter is the least time for which a voter must be silent before it is replaced, whatever catchup-s says: its answers are
// half a second apart, and a call that hangs takes 1.1 s.
const minLostAfter = 1500 * time.Millisecond

// Running is a registry that was started from settings.
type Running struct {
	Registry   *Registry
	membership *transport.Membership
	settings   *atomic.Pointer[settings.Settings]
}

// Launch starts a registry from settings, on a network; nil is the system's network.
func Launch(s *settings.Settings, log func(event, text string), network sock.Net) (Running, error) {
	r := Running{settings: &atomic.Pointer[settings.Settings]{}}
	r.settings.Store(s)
	if s.Listen["control-plane"] == "" || s.Port(messages.InboundPort) == "" {
		return r, fmt.Errorf("%s: listen-addrs.control-plane and %d ephemeral-ports wanted", s.Path, messages.InboundPort+1)
	}
	control, err := sock.On(network).Listen(s.Listen["control-plane"], 0)
	if err != nil {
		return r, fmt.Errorf("control-plane: %w", err)
	}
	calls, err := rpc.Listen(network, s.Port(messages.RegistryPort))
	if err != nil {
		return r, err
	}
	incarnation := process.RandomLife()
	r.membership = transport.Start(s, messages.RoleRegistry, messages.RegistryGossipPort, messages.RegistryPort, incarnation, network, log)
	r.Registry = Start(Options{Membership: r.membership, Self: messages.Registry{Name: s.NodeName, Addr: s.Port(messages.RegistryPort), Zone: s.Zone},
		StoreAddr: s.Port(messages.StorePort), FirstPort: s.Ports[0], Incarnation: incarnation, ControlListener: control, CallListener: calls, Net: network, Log: log,
		LostAfter: cmp.Or(s.VoterReplaceAfter, max(s.Bounds.Catchup/2, minLostAfter)), ToleratedLosses: max(s.Tolerance.Machines, s.Tolerance.Zones, s.Tolerance.Regions),
		Tolerance: reconfig.Tolerance{Zones: s.Tolerance.Zones, Regions: s.Tolerance.Regions, RegionOf: s.Zones},
		Seeds:     func() []string { return r.settings.Load().Seeds }})
	return r, nil
}

// Reload applies other settings. Only the seeds may change at run time.
func (r Running) Reload(s *settings.Settings) {
	r.settings.Store(s)
	r.membership.Reload(s)
}

// Stop closes the registry, within the grace time and 2 s.
func (r Running) Stop(grace time.Duration) { r.Registry.Close(min(grace, 2*time.Second)) }

// Counts returns the counters for the log.
func (r Running) Counts() map[string]int64 {
	c, s := &r.Registry.Counts, r.Registry.Status()
	out := map[string]int64{"pulls": c.Pulls.Load(), "news": c.Updates.Load(), "changes": c.Changes.Load(), "refused": c.Rejected.Load(),
		"rounds": c.Rounds.Load(), "preempted": c.Preempted.Load(), "taught": c.PageSends.Load(), "relieved": c.VoterChanges.Load(), "items": int64(s.Items),
		"berths": int64(len(s.Backends)), "masters": int64(len(s.Registries)), "fresh_ms": int64(s.FreshMs), "chosen": int64(s.Chosen.N)}
	r.membership.AddCounters(out)
	return out
}
