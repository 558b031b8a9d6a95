package store

import (
	"slices"
	"time"

	"saltmast/internal/lease"
	"saltmast/internal/messages"
	"saltmast/internal/process"
	"saltmast/internal/rpc"
)

// report replies the state of this store. The owner's goroutine only makes copies; they are sorted, cut and encoded off it.
func (s *voterState) report(c rpc.Call) {
	srv, voterSet, index := s.srv, s.voterSet, s.index
	r := messages.ReportReply{Program: messages.ProgramStore, Version: process.Version, Zone: srv.opts.Zone, Addr: srv.opts.Addr, UpMs: uint64(s.now().Milliseconds()),
		Chosen: s.acceptor.Chosen, Epoch: voterSet.Epoch, Voters: voterSet.Voters}
	own := &messages.StoreReport{State: s.reportedState(), VoterIndex: index, Incarnations: slices.Clone(s.incarnations), Promised: s.acceptor.Promised,
		Accepted: s.acceptor.Accepted, Keys: s.claims.Len()}
	if s.disk != nil {
		own.StallMs = uint32(min(s.disk.Stalled(), time.Hour).Milliseconds())
	}
	s.leases.Each(s.now(), func(name lease.Name, holder uint64, left time.Duration) {
		own.Leases = append(own.Leases, messages.LeaseReport{Name: string(name), Holder: holder, LeftMs: uint32(left.Milliseconds())})
	})
	r.Store = own
	items := messages.NewItemReports(s.acceptor.Base)
	go func() {
		r.SetItems(items)
		r.Counts, r.Traffic = Running{Server: srv}.Counts(), rpc.Totals()
		c.Reply(r, nil)
	}()
}

// reportedState returns the state as shown to operators. A member that catches up serves keys, but its register does not count
// yet.
func (s *voterState) reportedState() string {
	if s.state == Serving && s.acceptor.CatchingUp() {
		return "catching up"
	}
	return string(s.state)
}
