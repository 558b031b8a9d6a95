package proxy

import (
	"time"

	"saltmast/internal/codebook"
	"saltmast/internal/launch"
	"saltmast/internal/signal"
)

// pulled is the last news taken of a harbourmaster.
type pulled struct {
	addr    string
	at      time.Time
	freshMs uint32
}

// report tells what is known here to whoever asks at the gate.
func (t *Tug) report(raw []byte) ([]byte, error) {
	var call codebook.ReportCall
	if len(raw) > 0 {
		if err := signal.Decode(raw, &call); err != nil {
			return nil, err
		}
	}
	s, roll := t.s.Load(), t.council.Roll()
	r := codebook.Reported{Program: codebook.TheTug, Version: launch.Version, Node: s.NodeName, Zone: s.Zone, Addr: s.Port(codebook.GatePort),
		Life: t.life, UpMs: uint64(t.way.Up().Milliseconds()), Epoch: roll.Epoch, Voters: roll.Voters, Counts: t.Counts()}
	own := &codebook.TugReport{Ready: t.ready() == nil, Stopping: t.stopping.Load(), FromMs: codebook.Never, FreshMs: codebook.Never}
	if p := t.from.Load(); p != nil {
		own.From, own.FreshMs = p.addr, p.freshMs
		own.FromMs = uint32(min(time.Since(p.at).Milliseconds(), codebook.Never))
	}
	t.mu.Lock()
	r.Chosen = t.chosen
	items := codebook.ItemReports(t.stands)
	t.mu.Unlock()
	r.SetItems(items)
	r.Tug = own
	r.Traffic = signal.Totals()
	t.way.Tell(&r, own, call.Brief)
	return signal.Encode(r), nil
}
