package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"saltmast/internal/simulation/checker"
	"saltmast/internal/simulation/network"
)

// lossy has a part of the packets of one machine, or of two of the proxies', be lost for a while, twice.
func lossy(w *World, op *operator) {
	w.harm(op, "lossy", func(m *network.Machine, r *rand.Rand) { w.sea.Lossy(m, 0.01+0.09*r.Float64()) }, func(m *network.Machine) { w.sea.Lossy(m, 0) })
}

// narrow has the link of one machine, or of two of the proxies', pass few bytes a second for a while, twice.
func narrow(w *World, op *operator) {
	w.harm(op, "narrow", func(m *network.Machine, r *rand.Rand) { w.sea.Narrow(m, 50_000+500_000*r.Float64()) }, func(m *network.Machine) { w.sea.Narrow(m, 0) })
}

// harm harms links twice, with a change of the configuration meanwhile.
func (w *World) harm(op *operator, kind string, begin func(m *network.Machine, r *rand.Rand), end func(m *network.Machine)) {
	w.middle(op.r)
	for n := range 2 {
		r := rand.New(rand.NewPCG(op.r.Uint64(), 5))
		var over []func()
		one := func(m *network.Machine, name string, core bool) {
			if w.leaves(fmt.Sprintf("%s %d %s", kind, n, name), m.IP) {
				return
			}
			over = append(over, w.trouble(kind, name, core), func() { end(m) })
			begin(m, r)
		}
		if at := r.IntN(7); at < 3 {
			one(w.core[at].m, w.core[at].name, true)
		} else {
			one(w.tugs[at-3].m, w.tugs[at-3].name, false)
			if r.IntN(2) == 0 {
				x := w.tugs[(at-3+1+r.IntN(3))%4]
				one(x.m, x.name, false)
			}
		}
		w.pause(time.Duration(r.IntN(500)) * time.Millisecond)
		op.send(&checker.Call{Items: []checker.Item{with(routes[0], func(x *route) { x.services = []string{[]string{"ledger", "pump"}[n]} }).item(7 + n)}}, r.IntN(3), 4*time.Second)
		w.pause(time.Duration(500+r.IntN(2500)) * time.Millisecond)
		for i := len(over) - 1; i >= 0; i-- {
			over[i]()
		}
		w.pause(time.Duration(r.IntN(1500)) * time.Millisecond)
	}
}
