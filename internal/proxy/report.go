package proxy

import (
	"time"

	"saltmast/internal/messages"
	"saltmast/internal/process"
	"saltmast/internal/rpc"
)

// lastPull describes the latest news pulled from a registry.
type lastPull struct {
	addr    string
	at      time.Time
	freshMs uint32
}

// report answers a report call at the gate with the state of this proxy.
func (p *Proxy) report(body []byte) ([]byte, error) {
	var call messages.ReportCall
	if len(body) > 0 {
		if err := rpc.Decode(body, &call); err != nil {
			return nil, err
		}
	}
	s, roll := p.settings.Load(), p.quorum.VoterSet()
	r := messages.Reported{Program: messages.TheTug, Version: process.Version, Node: s.NodeName, Zone: s.Zone, Addr: s.Port(messages.GatePort),
		Life: p.incarnation, UpMs: uint64(p.dataPlane.Uptime().Milliseconds()), Epoch: roll.Epoch, Voters: roll.Voters, Counts: p.Counts()}
	own := &messages.TugReport{Ready: p.ready() == nil, Stopping: p.stopping.Load(), FromMs: messages.Never, FreshMs: messages.Never}
	if pull := p.lastPull.Load(); pull != nil {
		own.From, own.FreshMs = pull.addr, pull.freshMs
		own.FromMs = uint32(min(time.Since(pull.at).Milliseconds(), messages.Never))
	}
	p.mu.Lock()
	r.Chosen = p.chosen
	items := messages.ItemReports(p.items)
	p.mu.Unlock()
	r.SetItems(items)
	r.Tug = own
	r.Traffic = rpc.Totals()
	p.dataPlane.FillReport(&r, own, call.Brief)
	return rpc.Encode(r), nil
}
