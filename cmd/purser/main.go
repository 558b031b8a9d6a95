// Command purser is the store of the mesh: see docs/mesh.md.
package main

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"saltmast/internal/articles"
	"saltmast/internal/codebook"
	"saltmast/internal/launch"
	"saltmast/internal/purser"
)

type running struct {
	p *purser.Purser
	s *atomic.Pointer[articles.Settings]
}

// keyMargin is how much longer than the window claims are kept: the request may be sent some time after its claim.
const keyMargin = 30 * time.Second

func start(s *articles.Settings, log func(event, text string)) (launch.Running, error) {
	if s.DataDir == "" || s.Port(codebook.GatePort) == "" {
		return nil, fmt.Errorf("%s: data-directory and %d ephemeral-ports wanted", s.Path, codebook.GatePort+1)
	}
	r := running{s: &atomic.Pointer[articles.Settings]{}}
	r.s.Store(s)
	o := purser.Options{Addr: s.Port(codebook.PurserPort), Dir: s.DataDir, Zone: s.Zone, Bootstrap: s.Bootstrap,
		Window: s.Bounds.DedupWindow + keyMargin, MaxBytes: int64(s.DiskMB * (1 << 20) / 2), Log: log,
		Seeds: func() (out []string) {
			s := r.s.Load()
			for _, x := range s.Seeds {
				out = append(out, codebook.Beside(x, s.Ports[0], codebook.PurserPort))
			}
			return out
		}}
	for _, a := range o.Seeds() {
		o.Found = append(o.Found, codebook.Voter{Name: a, Addr: a})
	}
	var err error
	r.p, err = purser.Start(o)
	return r, err
}

func (r running) Reload(s *articles.Settings) { r.s.Store(s) }

func (r running) Stop(time.Duration) { r.p.Close() }

func (r running) Counts() map[string]int64 {
	c, s := &r.p.Counts, r.p.Status()
	return map[string]int64{"claims": c.Claims.Load(), "denied": c.Denied.Load(), "released": c.Released.Load(), "refused": c.Refused.Load(),
		"accepts": c.Accepts.Load(), "prepares": c.Prepares.Load(), "watches": c.Watches.Load(), "keys": int64(s.Keys), "chosen": int64(s.Chosen.N)}
}

func main() {
	os.Exit(launch.Main(launch.Program{Name: "purser", About: "The store of the mesh: keeps what must not be lost.", Start: start}, os.Args[1:]))
}
