package proxy

import (
	"time"

	"saltmast/internal/messages"
	"saltmast/internal/process"
	"saltmast/internal/rpc"
)

// pulled is the last news taken of a harbourmaster.
type pulled struct {
	addr    string
	at      time.Time
	freshMs uint32
}

// report tells what is known here to whoever asks at the gate.
func (t *Tug) report(raw []byte) ([]byte, error) {
	var call messages.ReportCall
	if len(raw) > 0 {
		if err := rpc.Decode(raw, &call); err != nil {
			return nil, err
		}
	}
	s, roll := t.s.Load(), t.council.Roll()
	r := messages.ReportReply{Program: messages.ProgramProxy, Version: process.Version, Node: s.NodeName, Zone: s.Zone, Addr: s.Port(messages.InboundPort),
		Incarnation: t.life, UpMs: uint64(t.way.Up().Milliseconds()), Epoch: roll.Epoch, Voters: roll.Voters, Counts: t.Counts()}
	own := &messages.ProxyReport{Ready: t.ready() == nil, Stopping: t.stopping.Load(), RegistryMs: messages.Never, FreshMs: messages.Never}
	if p := t.from.Load(); p != nil {
		own.RegistryAddr, own.FreshMs = p.addr, p.freshMs
		own.RegistryMs = uint32(min(time.Since(p.at).Milliseconds(), messages.Never))
	}
	t.mu.Lock()
	r.Chosen = t.chosen
	items := messages.NewItemReports(t.stands)
	t.mu.Unlock()
	r.SetItems(items)
	r.Proxy = own
	r.Traffic = rpc.Totals()
	t.way.Tell(&r, own, call.Brief)
	return rpc.Encode(r), nil
}
