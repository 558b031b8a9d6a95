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

// handleReport answers with a report of the state. The owner hands over copies; sorting, truncating and encoding run outside it.
func (reg *Registry) handleReport(c rpc.Call) {
	var call messages.ReportCall
	if len(c.Body) > 0 {
		if err := rpc.Decode(c.Body, &call); err != nil {
			c.Reply(nil, err)
			return
		}
	}
	reg.owner.Send(func(st *state) {
		voterSet := reg.quorum.VoterSet()
		r := messages.ReportReply{Program: messages.ProgramRegistry, Version: process.Version, Node: reg.options.Self.Name, Zone: reg.options.Self.Zone, Addr: reg.options.Self.Addr,
			Incarnation: reg.options.Incarnation, UpMs: uint64(time.Since(st.started).Milliseconds()), Chosen: st.chosenBallot, Epoch: voterSet.Epoch, Voters: voterSet.Voters}
		own := &messages.RegistryReport{Registries: slices.Collect(maps.Values(st.registries)), FreshMs: st.majorityContactMs(),
			HoldsTeachLease: st.holdsLease(lease.CatchUp)}
		own.ServingMs, own.AnsweredMs = sinceMs(st.servingAt), sinceMs(st.answeredAt)
		var pullers []string
		for p := range st.pullers {
			switch {
			case p.request.Self != nil:
				pullers = append(pullers, p.request.Self.Node)
			case p.request.Registry != nil:
				pullers = append(pullers, p.request.Registry.Name)
			}
		}
		items, backends := messages.NewItemReports(st.chosenSet), st.backends.All()
		go func() {
			slices.SortFunc(own.Registries, func(x, y messages.Registry) int { return cmp.Compare(x.Name, y.Name) })
			own.SetPullers(pullers)
			r.Registry = own
			r.SetItems(items)
			r.SetBackends(backendReports(backends), call.Brief)
			r.Counts, r.Traffic = Running{Registry: reg}.Counts(), rpc.Totals()
			c.Reply(r, nil)
		}()
	})
}

// sinceMs returns the milliseconds since each of the times; messages.Never for a zero time.
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

func (st *state) holdsLease(d lease.Name) bool {
	l := st.leases[d]
	return l != nil && l.Held(time.Since(st.started))
}

func backendReports(all []backends.Backend) []messages.BackendReport {
	out := make([]messages.BackendReport, len(all))
	for i, b := range all {
		out[i] = messages.NewBackendReport(b)
	}
	return out
}
