package store

import (
	"fmt"
	"sync/atomic"
	"time"

	"saltmast/internal/messages"
	"saltmast/internal/process"
	"saltmast/internal/settings"
	"saltmast/internal/sock"
	"saltmast/internal/storage"
)

// keyMargin is how much longer than the window claims are kept, since a request may be sent some time after its claim.
const keyMargin = 30 * time.Second

// Program is the store as a process.
var Program = process.Program{Name: "purser", Description: "The store of the mesh: keeps what must not be lost.",
	Start: func(s *settings.Settings, log func(event, text string)) (process.Running, error) {
		return Launch(s, log, nil, nil)
	}}

// Running is a Server that was started from settings.
type Running struct {
	Server   *Server
	settings *atomic.Pointer[settings.Settings]
}

// Launch starts a Server from settings. A nil network means the system's; simulatedDisk is that of Options and may be nil.
func Launch(s *settings.Settings, log func(event, text string), network sock.Net, simulatedDisk func() error) (Running, error) {
	r := Running{settings: &atomic.Pointer[settings.Settings]{}}
	r.settings.Store(s)
	if s.DataDir == "" || s.Port(messages.InboundPort) == "" {
		return r, fmt.Errorf("%s: data-directory and %d ephemeral-ports wanted", s.Path, messages.InboundPort+1)
	}
	o := Options{Addr: s.Port(messages.StorePort), Dir: s.DataDir, Zone: s.Zone, Bootstrap: s.Bootstrap, QuorumMember: s.QuorumMember,
		Window: s.Bounds.DedupWindow + keyMargin, MaxBytes: int64(s.DiskMB * (1 << 20) / 2), FirstPort: s.Ports[0],
		Net: network, SimulatedDisk: simulatedDisk, Log: log,
		Seeds: func() (out []string) {
			s := r.settings.Load()
			for _, seed := range s.Seeds {
				out = append(out, messages.AddrOnHost(seed, s.Ports[0], messages.StorePort))
			}
			return out
		}}
	for _, addr := range o.Seeds() {
		o.InitialVoters = append(o.InitialVoters, messages.Voter{Name: addr, Addr: addr})
	}
	var err error
	r.Server, err = Start(o)
	return r, err
}

// Reload takes new settings. Only the seeds may change while the Server runs.
func (r Running) Reload(s *settings.Settings) { r.settings.Store(s) }

// Stop closes the Server.
func (r Running) Stop(time.Duration) { r.Server.Close() }

// Counts returns the counters for the log.
func (r Running) Counts() map[string]int64 {
	c, status := &r.Server.Counts, r.Server.Status()
	return map[string]int64{"claims": c.Claims.Load(), "denied": c.Denied.Load(), "released": c.Released.Load(), "refused": c.Refused.Load(),
		"accepts": c.Accepts.Load(), "prepares": c.Prepares.Load(), "commits": storage.Commits(), "watches": c.Watches.Load(), "keys": int64(status.Keys), "chosen": int64(status.Chosen.N)}
}
