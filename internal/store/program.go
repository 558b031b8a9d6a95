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

// keyMargin is how much longer than the window claims are kept: the request may be sent some time after its claim.
const keyMargin = 30 * time.Second

// Program is the store as a program.
var Program = process.Program{Name: "purser", Description: "The store of the mesh: keeps what must not be lost.",
	Start: func(s *settings.Settings, log func(event, text string)) (process.Running, error) {
		return Launch(s, log, nil, nil)
	}}

// Running is a purser that was started by settings.
type Running struct {
	P *Purser
	s *atomic.Pointer[settings.Settings]
}

// Launch starts by settings. on: nil for the system's network. disk: that of Options.
func Launch(s *settings.Settings, log func(event, text string), on sock.Net, disk func() error) (Running, error) {
	r := Running{s: &atomic.Pointer[settings.Settings]{}}
	r.s.Store(s)
	if s.DataDir == "" || s.Port(messages.GatePort) == "" {
		return r, fmt.Errorf("%s: data-directory and %d ephemeral-ports wanted", s.Path, messages.GatePort+1)
	}
	o := Options{Addr: s.Port(messages.PurserPort), Dir: s.DataDir, Zone: s.Zone, Bootstrap: s.Bootstrap, Quorum: s.QuorumMember,
		Window: s.Bounds.DedupWindow + keyMargin, MaxBytes: int64(s.DiskMB * (1 << 20) / 2), First: s.Ports[0],
		Net: on, Disk: disk, Log: log,
		Seeds: func() (out []string) {
			s := r.s.Load()
			for _, x := range s.Seeds {
				out = append(out, messages.Beside(x, s.Ports[0], messages.PurserPort))
			}
			return out
		}}
	for _, a := range o.Seeds() {
		o.Found = append(o.Found, messages.Voter{Name: a, Addr: a})
	}
	var err error
	r.P, err = Start(o)
	return r, err
}

// Reload takes other settings: seeds alone may change while it runs.
func (r Running) Reload(s *settings.Settings) { r.s.Store(s) }

// Stop ends it.
func (r Running) Stop(time.Duration) { r.P.Close() }

// Counts are for the log.
func (r Running) Counts() map[string]int64 {
	c, s := &r.P.Counts, r.P.Status()
	return map[string]int64{"claims": c.Claims.Load(), "denied": c.Denied.Load(), "released": c.Released.Load(), "refused": c.Refused.Load(),
		"accepts": c.Accepts.Load(), "prepares": c.Prepares.Load(), "commits": storage.Commits(), "watches": c.Watches.Load(), "keys": int64(s.Keys), "chosen": int64(s.Chosen.N)}
}
