package membership

import (
	"errors"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// version is the message format version. Messages of other versions are rejected. Fields may be added without a new version:
// unknown keys are ignored.
const version = 1

type messageKind uint8

const (
	ping        messageKind = 1 + iota
	ack                     // answers a ping; with Target set, one relayed for that member
	pingRequest             // asks the receiver to ping Target
	nack                    // answers a pingRequest whose target did not answer
	gossip                  // carries only updates
	syncRequest             // asks for the entries of buckets that differ from BucketDigests, after name After
	syncPage                // answers a syncRequest; the next page starts after name After, empty at the end
)

// header is a message without its updates.
type header struct {
	Version       uint8       `cbor:"1,keyasint"`
	Kind          messageKind `cbor:"2,keyasint"`
	Seq           uint32      `cbor:"3,keyasint,omitempty"`
	Name          string      `cbor:"4,keyasint"`
	Life          uint64      `cbor:"5,keyasint"`
	Generation    uint64      `cbor:"6,keyasint,omitempty"`
	Incarnation   uint64      `cbor:"7,keyasint,omitempty"`
	Digest        uint32      `cbor:"8,keyasint,omitempty"`
	WantRecord    bool        `cbor:"9,keyasint,omitempty"` // asks the receiver for its own record
	Target        string      `cbor:"10,keyasint,omitempty"`
	TargetAddr    []byte      `cbor:"11,keyasint,omitempty"`
	BucketDigests []byte      `cbor:"12,keyasint,omitempty"`
	After         string      `cbor:"13,keyasint,omitempty"`
}

type outgoing struct {
	header
	Updates []cbor.RawMessage `cbor:"14,keyasint,omitempty"`
}

type incoming struct {
	header
	Updates []record `cbor:"14,keyasint,omitempty"`
}

// record is one update about a member.
type record struct {
	Name        string `cbor:"1,keyasint"`
	Life        uint64 `cbor:"2,keyasint"`
	Generation  uint64 `cbor:"3,keyasint,omitempty"`
	Incarnation uint64 `cbor:"4,keyasint,omitempty"`
	State       State  `cbor:"5,keyasint"`
	Addr        []byte `cbor:"6,keyasint"`
	Zone        string `cbor:"7,keyasint,omitempty"`
	Role        uint8  `cbor:"8,keyasint,omitempty"`
	Meta        []byte `cbor:"9,keyasint,omitempty"`
	By          string `cbor:"10,keyasint,omitempty"` // the suspecting member, for a suspect
	Age         uint32 `cbor:"11,keyasint,omitempty"` // seconds in this state, for Dead and Left
}

var (
	encMode = func() cbor.EncMode {
		m, err := cbor.CoreDetEncOptions().EncMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
	decMode = func() cbor.DecMode {
		m, err := cbor.DecOptions{
			DupMapKey:        cbor.DupMapKeyEnforcedAPF,
			IndefLength:      cbor.IndefLengthForbidden,
			TagsMd:           cbor.TagsForbidden,
			MaxNestedLevels:  8,
			MaxArrayElements: 64,
			MaxMapPairs:      32,
		}.DecMode()
		if err != nil {
			panic(err)
		}
		return m
	}()
)

var errDatagram = errors.New("malformed membership datagram")

// decode decodes and validates a datagram.
func decode(raw []byte) (*incoming, error) {
	if len(raw) > DatagramBytes {
		return nil, errDatagram
	}
	m := &incoming{}
	if err := decMode.Unmarshal(raw, m); err != nil {
		return nil, err
	}
	if m.Version != version || m.Kind < ping || m.Kind > syncPage || m.Name == "" || len(m.Name) > NameBytes || m.Life == 0 ||
		m.Generation > maxCounter || m.Incarnation > maxCounter || len(m.Target) > NameBytes || len(m.After) > NameBytes ||
		len(m.BucketDigests) != 0 && len(m.BucketDigests) != buckets*4 {
		return nil, errDatagram
	}
	for i := range m.Updates {
		rec := &m.Updates[i]
		if member, ok := rec.member(); !ok || member.Check() != nil || rec.State < Alive || rec.State > Left || len(rec.By) > NameBytes {
			return nil, errDatagram
		}
	}
	return m, nil
}

func (rec *record) member() (m Member, ok bool) {
	addr, ok := decodeAddr(rec.Addr)
	return Member{Name: rec.Name, Life: rec.Life, Generation: rec.Generation, Incarnation: rec.Incarnation, Addr: addr, Zone: rec.Zone,
		Role: rec.Role, Meta: rec.Meta}, ok
}

func decodeAddr(raw []byte) (a netip.AddrPort, ok bool) {
	if a.UnmarshalBinary(raw) != nil || !a.IsValid() || a.Addr().Zone() != "" {
		return a, false
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
}

func encodeAddr(a netip.AddrPort) []byte {
	raw, err := a.MarshalBinary()
	if err != nil {
		panic(err)
	}
	return raw
}

// encode encodes an entry as a record, which names by, if set, as the suspecting member.
func (e *entry) encode(now time.Duration, by string) []byte {
	if e.encoded != nil {
		return e.encoded
	}
	rec := record{Name: e.member.Name, Life: e.member.Life, Generation: e.member.Generation, Incarnation: e.member.Incarnation, State: e.state,
		Addr: encodeAddr(e.member.Addr), Zone: e.member.Zone, Role: e.member.Role, Meta: e.member.Meta}
	switch e.state {
	case Suspect:
		rec.By = by
		if by == "" && len(e.suspectedBy) > 0 {
			rec.By = e.suspectedBy[0]
		}
	case Dead, Left:
		rec.Age = uint32(min((now-e.since)/time.Second, 1<<31))
	}
	raw := marshal(rec)
	if e.queued && e.state == Alive {
		e.encoded = raw
	}
	return raw
}

func marshal(v any) []byte {
	raw, err := encMode.Marshal(v)
	if err != nil {
		panic(err) // cannot fail for structs of plain fields
	}
	return raw
}

// enqueue adds a datagram to the outbox: the header, the entries in first, and queued updates as far as there is room. If the
// receiver peer is not held alive, its own record comes first, so that it can refute it.
func (node *Node) enqueue(to netip.AddrPort, h header, peer *entry, first ...*entry) {
	m := outgoing{header: h}
	m.Version = version
	m.Name, m.Life = node.self.member.Name, node.self.member.Life
	m.Generation, m.Incarnation, m.Digest = node.self.member.Generation, node.self.member.Incarnation, node.digest
	size := 72 + len(m.Name) + len(h.Target) + len(h.TargetAddr) + len(h.BucketDigests) + len(h.After) // with all numbers at their maximum length
	add := func(e *entry, by string) bool {
		raw := e.encode(node.clock, by)
		if size+len(raw) > DatagramBytes || len(m.Updates) == 64 {
			return false
		}
		size += len(raw)
		m.Updates = append(m.Updates, raw)
		return true
	}
	done := make([]*entry, 0, 8)
	if peer != nil && peer.state != Alive {
		add(peer, "")
		done = append(done, peer)
	}
	for _, e := range first {
		if !contains(done, e) {
			add(e, "")
			done = append(done, e)
		}
	}
	if h.Kind != syncRequest && h.Kind != syncPage {
		node.piggyback(peer, done, add)
	}
	raw := marshal(m)
	node.counts.Sent++
	node.counts.SentBytes += uint64(len(raw))
	node.outbox = append(node.outbox, Send{To: to, Data: raw})
}

func contains(es []*entry, e *entry) bool {
	for _, o := range es {
		if o == e {
			return true
		}
	}
	return false
}

// drain returns and clears the outbox.
func (node *Node) drain() []Send {
	out := node.outbox
	node.outbox = nil
	return out
}
