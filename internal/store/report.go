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
func (b *books) report(c rpc.Call) {
	p, roll, me := b.p, b.roll, b.me
	r := messages.ReportReply{Program: messages.ProgramStore, Version: process.Version, Zone: p.o.Zone, Addr: p.o.Addr, UpMs: uint64(b.now().Milliseconds()),
		Chosen: b.acc.Chosen, Epoch: roll.Epoch, Voters: roll.Voters}
	own := &messages.StoreReport{State: b.standing(), VoterIndex: me, Incarnations: slices.Clone(b.incs), Promised: b.acc.Promised,
		Accepted: b.acc.Accepted, Keys: b.ledger.Len()}
	if b.disk != nil {
		own.StallMs = uint32(min(b.disk.Stalled(), time.Hour).Milliseconds())
	}
	b.duties.Each(b.now(), func(d lease.Name, by uint64, left time.Duration) {
		own.Leases = append(own.Leases, messages.LeaseReport{Name: string(d), Holder: by, LeftMs: uint32(left.Milliseconds())})
	})
	r.Store = own
	items := messages.NewItemReports(b.acc.Stands)
	go func() {
		r.SetItems(items)
		r.Counts, r.Traffic = Running{P: p}.Counts(), rpc.Totals()
		c.Reply(r, nil)
	}()
}

// standing is the state as it is told: a member that catches up serves keys, and its register counts for nothing yet.
func (b *books) standing() string {
	if b.state == Serving && b.acc.CatchesUp() {
		return "catching up"
	}
	return string(b.state)
}
