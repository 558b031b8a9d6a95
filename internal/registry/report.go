package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/lease"
	"saltmast/internal/messages"
	"saltmast/internal/process"
	"saltmast/internal/rpc"
)

// report tells what is known here. The owner hands over copies; ordering, cutting and encoding are done beside it.
func (h *Harbour) report(c rpc.Call) {
	var call messages.ReportCall
	if len(c.Body) > 0 {
		if err := rpc.Decode(c.Body, &call); err != nil {
			c.Reply(nil, err)
			return
		}
	}
	h.own.Send(func(b *books) {
		roll := h.council.VoterSet()
		r := messages.Reported{Program: messages.TheHarbour, Version: process.Version, Node: h.o.Self.Name, Zone: h.o.Self.Zone, Addr: h.o.Self.Addr,
			Life: h.o.Life, UpMs: uint64(time.Since(b.begun).Milliseconds()), Chosen: b.chosen, Epoch: roll.Epoch, Voters: roll.Voters}
		own := &messages.HarbourReport{Masters: slices.Collect(maps.Values(b.masters)), FreshMs: b.fresh(),
			Teaches: b.holds(lease.CatchUp)}
		own.HeardMs, own.AnsweredMs = sinceMs(b.heard), sinceMs(b.answered)
		var pullers []string
		for p := range b.pullers {
			switch {
			case p.m.Self != nil:
				pullers = append(pullers, p.m.Self.Node)
			case p.m.Master != nil:
				pullers = append(pullers, p.m.Master.Name)
			}
		}
		items, all := messages.ItemReports(b.stands), b.berths.All()
		go func() {
			slices.SortFunc(own.Masters, func(x, y messages.Master) int { return cmp.Compare(x.Name, y.Name) })
			own.SetPullers(pullers)
			r.Harbour = own
			r.SetItems(items)
			r.SetBerths(reports(all), call.Brief)
			r.Counts, r.Traffic = Running{H: h}.Counts(), rpc.Totals()
			c.Reply(r, nil)
		}()
	})
}

// sinceMs are the milliseconds since each of the times; Never for a zero one.
func sinceMs(times []time.Time) (out []uint32) {
	for _, t := range times {
		ms := uint32(messages.Never)
		if !t.IsZero() {
			ms = uint32(min(time.Since(t).Milliseconds(), messages.Never))
		}
		out = append(out, ms)
	}
	return out
}

func (b *books) holds(d lease.Name) bool {
	l := b.leases[d]
	return l != nil && l.Held(time.Since(b.begun))
}

func reports(all []backends.Backend) []messages.BerthReport {
	out := make([]messages.BerthReport, len(all))
	for i, b := range all {
		out[i] = messages.Reports(b)
	}
	return out
}
