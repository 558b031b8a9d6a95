package simulation

import (
	"net"
	"time"

	"saltmast/internal/simulation/checker"
)

// reload gives a machine's programs other seeds, as a change of the settings file and a SIGHUP do. Their next lives begin with them.
func (m *tugMachine) reload(seeds []string) {
	m.seed = seeds
	if m.tug != nil {
		s := *m.set
		s.Seeds, m.set = seeds, &s
		m.tug.Reload(&s)
	}
}

func (c *coreMachine) reload(seeds []string) {
	c.seed = seeds
	s := *c.set
	s.Seeds, c.set = seeds, &s
	if c.runs {
		c.pr.Reload(&s)
	}
	if c.h != nil {
		c.hr.Reload(&s)
	}
}

// seedsTurn has all settings files name other seeds, of which one at most is there, and programs hear of it: nothing changes for
// clients. Then a core machine is killed, a proxy is stopped, and both begin anew by what their files say.
func seedsTurn(w *World, op *operator) {
	w.middle(op.r)
	r := op.r
	nobody := []string{net.JoinHostPort("10.8.0.1", portControl), net.JoinHostPort("10.8.0.2", portControl)}
	one := func() []string {
		return []string{nobody[0], net.JoinHostPort(w.core[r.IntN(3)].m.IP, portControl), nobody[1]}
	}
	draw := func() []string { return [][]string{{}, nobody, one()}[r.IntN(3)] }
	for range 2 {
		for _, c := range w.core {
			c.reload(draw())
		}
		for _, m := range w.tugs {
			m.reload(draw())
		}
		w.pause(time.Duration(300+r.IntN(1200)) * time.Millisecond)
		op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(x *route) { x.services = []string{[]string{"ledger", "pump"}[r.IntN(2)]} }).item(int(w.now() / time.Millisecond))}}, r.IntN(3), 6*time.Second)
	}
	c, m := w.core[r.IntN(3)], w.tugs[r.IntN(4)]
	c.seed, m.seed = one(), one() // who begins anew has to find one that is there
	if !w.leaves("seeds: stop", m.name) {
		m.restart()
	}
	if !w.leaves("seeds: kill", c.name) {
		over := w.trouble("kill", c.name, true)
		c.kill()
		w.pause(time.Duration(100+r.IntN(1000)) * time.Millisecond)
		w.must(c.start())
		over()
	}
	w.pause(200 * time.Millisecond)
	op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(x *route) { x.services = []string{"ledger"} }).item(int(w.now() / time.Millisecond))}}, r.IntN(3), 6*time.Second)
}
