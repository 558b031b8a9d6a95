package store

import (
	"slices"
	"time"

	"saltmast/internal/lease"
	"saltmast/internal/messages"
	"saltmast/internal/process"
	"saltmast/internal/rpc"
)

// report tells what is known here. The owner hands over copies; ordering, cutting and encoding are done beside it.
func (b *voterState) report(c rpc.Call) {
	p, roll, me := b.srv, b.voterSet, b.index
	r := messages.Reported{Program: messages.ThePurser, Version: process.Version, Zone: p.opts.Zone, Addr: p.opts.Addr, UpMs: uint64(b.now().Milliseconds()),
		Chosen: b.acceptor.Chosen, Epoch: roll.Epoch, Voters: roll.Voters}
	own := &messages.PurserReport{State: b.reportedState(), Place: me, Incs: slices.Clone(b.incarnations), Promised: b.acceptor.Promised,
		Accepted: b.acceptor.Accepted, Keys: b.claims.Len()}
	if b.disk != nil {
		own.StallMs = uint32(min(b.disk.Stalled(), time.Hour).Milliseconds())
	}
	b.leases.Each(b.now(), func(d lease.Name, by uint64, left time.Duration) {
		own.Duties = append(own.Duties, messages.DutyReport{Duty: string(d), By: by, LeftMs: uint32(left.Milliseconds())})
	})
	r.Purser = own
	items := messages.ItemReports(b.acceptor.Stands)
	go func() {
		r.SetItems(items)
		r.Counts, r.Traffic = Running{Server: p}.Counts(), rpc.Totals()
		c.Reply(r, nil)
	}()
}

// reportedState is the state as it is told: a member that catches up serves keys, and its register counts for nothing yet.
func (b *voterState) reportedState() string {
	if b.state == Serving && b.acceptor.CatchesUp() {
		return "catching up"
	}
	return string(b.state)
}
