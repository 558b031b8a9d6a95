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
	r := messages.ReportReply{Program: messages.ProgramProxy, Version: process.Version, Node: s.NodeName, Zone: s.Zone, Addr: s.Port(messages.InboundPort),
		Incarnation: p.incarnation, UpMs: uint64(p.dataPlane.Uptime().Milliseconds()), Epoch: roll.Epoch, Voters: roll.Voters, Counts: p.Counts()}
	own := &messages.ProxyReport{Ready: p.ready() == nil, Stopping: p.stopping.Load(), RegistryMs: messages.Never, FreshMs: messages.Never}
	if pull := p.lastPull.Load(); pull != nil {
		own.RegistryAddr, own.FreshMs = pull.addr, pull.freshMs
		own.RegistryMs = uint32(min(time.Since(pull.at).Milliseconds(), messages.Never))
	}
	p.mu.Lock()
	r.Chosen = p.chosen
	items := messages.NewItemReports(p.items)
	p.mu.Unlock()
	r.SetItems(items)
	r.Proxy = own
	r.Traffic = rpc.Totals()
	p.dataPlane.FillReport(&r, own, call.Brief)
	return rpc.Encode(r), nil
}
