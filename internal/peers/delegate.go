package peers

import (
	"encoding/binary"
	"fmt"

	"github.com/hashicorp/memberlist"

	"saltmast/internal/shared"
)

// memberBytes is more than what a whole state takes for each member beside the counts.
const memberBytes = 512

// zoneBytes bounds the name of a zone.
const zoneBytes = 64

// delegate is what memberlist calls. It may call with locks of its own held: nothing here calls it back, or waits.
type delegate struct{ p *Peers }

// NodeMeta tells others the version of the messages, the incarnation and the zone.
func (d delegate) NodeMeta(int) []byte { return meta(d.p.self.Incarnation, d.p.o.Zone) }

func meta(incarnation uint64, zone string) []byte {
	b := binary.LittleEndian.AppendUint64([]byte{shared.Version}, incarnation)
	return append(b, zone...)
}

func readMeta(raw []byte) (incarnation uint64, zone string, err error) {
	if len(raw) < 9 || len(raw) > 9+zoneBytes || raw[0] != shared.Version {
		return 0, "", shared.ErrBad
	}
	return binary.LittleEndian.Uint64(raw[1:]), string(raw[9:]), nil
}

// NotifyMsg takes a message; its bytes are memberlist's own.
func (d delegate) NotifyMsg(raw []byte) { d.p.hear(raw) }

// GetBroadcasts gives out what is in line, as much as the bound on bytes allows.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	d.p.mu.Lock()
	defer d.p.mu.Unlock()
	raw := d.p.queue.Take(d.p.now(), d.p.value.Turn(), limit-overhead)
	if raw == nil {
		return nil
	}
	d.p.sent.Add(int64(len(raw)))
	return [][]byte{raw}
}

// LocalState is all that is known, as far as the bound on its size allows.
func (d delegate) LocalState(bool) []byte {
	d.p.takeOver()
	d.p.mu.Lock()
	defer d.p.mu.Unlock()
	whole := d.p.value.Whole()
	raw, n := shared.AppendDelta(nil, whole, d.p.o.StateBytes)
	if n < len(whole.Records) {
		d.p.rare.say("the state is larger than state_kb: a part of it is exchanged", "records", len(whole.Records), "sent", n)
	}
	d.p.sent.Add(int64(len(raw)))
	return raw
}

// MergeRemoteState takes another agent's whole state.
func (d delegate) MergeRemoteState(raw []byte, _ bool) {
	if len(raw) > d.p.o.StateBytes {
		d.p.refused.Add(1)
		d.p.rare.say("a state is refused", "bytes", len(raw), "err", "larger than state_kb")
		return
	}
	d.p.hear(raw)
}

// NotifyAlive refuses members of another version, with nonsense in place of a name, or beyond the bound.
func (d delegate) NotifyAlive(n *memberlist.Node) error {
	if n.Name == "" || len(n.Name) > shared.NameBytes {
		return fmt.Errorf("name of %d bytes: %w", len(n.Name), shared.ErrBad)
	}
	if _, _, err := readMeta(n.Meta); err != nil {
		return err
	}
	d.p.mu.Lock()
	defer d.p.mu.Unlock()
	if d.p.members[n.Name] == nil && len(d.p.members) >= d.p.o.Members {
		return errFull
	}
	return nil
}

// NotifyConflict says that a name is taken twice; the one that was there keeps it.
func (d delegate) NotifyConflict(have, other *memberlist.Node) {
	d.p.refused.Add(1)
	d.p.rare.say("a name is taken twice: the second is refused", "name", have.Name, "have", have.Address(), "other", other.Address())
}

func (d delegate) NotifyJoin(n *memberlist.Node)   { d.note(n, true) }
func (d delegate) NotifyUpdate(n *memberlist.Node) { d.note(n, true) }
func (d delegate) NotifyLeave(n *memberlist.Node)  { d.note(n, false) }

func (d delegate) note(n *memberlist.Node, alive bool) {
	incarnation, zone, err := readMeta(n.Meta)
	if err != nil {
		return
	}
	p := d.p
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[n.Name]
	if m == nil {
		if !alive {
			return
		}
		m = &member{}
		p.members[n.Name] = m
	}
	if agent := (shared.Agent{Name: n.Name, Incarnation: incarnation}); m.agent != agent || m.alive != alive {
		p.log.Info("member", "name", n.Name, "incarnation", fmt.Sprintf("%x", incarnation), "alive", alive, "addr", n.Address())
		m.agent, m.alive, m.since = agent, alive, p.now()
	}
	m.zone, m.addr = zone, n.Address()
}
