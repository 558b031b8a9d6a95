package membership

import (
	"errors"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// version is that of the messages; another one is refused whole. Fields may be added within one: unknown keys are passed over.
const version = 1

type kind uint8

const (
	ping    kind = 1 + iota
	ack          // to a ping, or for somebody else's: About
	ask          // ping About for me
	nack         // About did not answer me either, but I answer you
	tidings      // news alone
	pull         // here are the digests of my parts: tell me what differs, after After
	page         // the answer; After says where the next page begins, empty at the end
)

// head is a message without its news: who sends it, and what it holds beside.
type head struct {
	Version     uint8  `cbor:"1,keyasint"`
	Kind        kind   `cbor:"2,keyasint"`
	Seq         uint32 `cbor:"3,keyasint,omitempty"`
	Name        string `cbor:"4,keyasint"`
	Life        uint64 `cbor:"5,keyasint"`
	Generation  uint64 `cbor:"6,keyasint,omitempty"`
	Incarnation uint64 `cbor:"7,keyasint,omitempty"`
	Digest      uint32 `cbor:"8,keyasint,omitempty"`
	Want        bool   `cbor:"9,keyasint,omitempty"` // tell me of yourself
	About       string `cbor:"10,keyasint,omitempty"`
	AboutAddr   []byte `cbor:"11,keyasint,omitempty"`
	Parts       []byte `cbor:"12,keyasint,omitempty"`
	After       string `cbor:"13,keyasint,omitempty"`
}

type outgoing struct {
	head
	News []cbor.RawMessage `cbor:"14,keyasint,omitempty"`
}

type incoming struct {
	head
	News []record `cbor:"14,keyasint,omitempty"`
}

// record is one piece of news.
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
	By          string `cbor:"10,keyasint,omitempty"` // the accuser, of a suspect
	Age         uint32 `cbor:"11,keyasint,omitempty"` // seconds since, of the dead and of those who left
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

var errDatagram = errors.New("no datagram of a roster")

// decode reads a datagram and checks all that is in it.
func decode(raw []byte) (*incoming, error) {
	if len(raw) > DatagramBytes {
		return nil, errDatagram
	}
	m := &incoming{}
	if err := decMode.Unmarshal(raw, m); err != nil {
		return nil, err
	}
	if m.Version != version || m.Kind < ping || m.Kind > page || m.Name == "" || len(m.Name) > NameBytes || m.Life == 0 ||
		m.Generation > highest || m.Incarnation > highest || len(m.About) > NameBytes || len(m.After) > NameBytes ||
		len(m.Parts) != 0 && len(m.Parts) != parts*4 {
		return nil, errDatagram
	}
	for i := range m.News {
		n := &m.News[i]
		if member, ok := n.member(); !ok || member.Check() != nil || n.State < Alive || n.State > Left || len(n.By) > NameBytes {
			return nil, errDatagram
		}
	}
	return m, nil
}

func (n *record) member() (m Member, ok bool) {
	addr, ok := readAddr(n.Addr)
	return Member{Name: n.Name, Life: n.Life, Generation: n.Generation, Incarnation: n.Incarnation, Addr: addr, Zone: n.Zone,
		Role: n.Role, Meta: n.Meta}, ok
}

func readAddr(raw []byte) (a netip.AddrPort, ok bool) {
	if a.UnmarshalBinary(raw) != nil || !a.IsValid() || a.Addr().Zone() != "" {
		return a, false
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()), true
}

func writeAddr(a netip.AddrPort) []byte {
	raw, err := a.MarshalBinary()
	if err != nil {
		panic(err)
	}
	return raw
}

// encode writes an entry as news.
func (e *entry) encode(now time.Duration, by string) []byte {
	if e.raw != nil {
		return e.raw
	}
	n := record{Name: e.m.Name, Life: e.m.Life, Generation: e.m.Generation, Incarnation: e.m.Incarnation, State: e.state,
		Addr: writeAddr(e.m.Addr), Zone: e.m.Zone, Role: e.m.Role, Meta: e.m.Meta}
	switch e.state {
	case Suspect:
		n.By = by
		if by == "" && len(e.by) > 0 {
			n.By = e.by[0]
		}
	case Dead, Left:
		n.Age = uint32(min((now-e.since)/time.Second, 1<<31))
	}
	raw := marshal(n)
	if e.queued && e.state == Alive {
		e.raw = raw
	}
	return raw
}

func marshal(v any) []byte {
	raw, err := encMode.Marshal(v)
	if err != nil {
		panic(err) // plain structs of plain fields
	}
	return raw
}

// write gives out a datagram: the head, then these entries, then news in line as far as there is room. To a member that is held
// for anything but alive it is told first, so that it can refute it.
func (r *Roster) write(to netip.AddrPort, h head, peer *entry, first ...*entry) {
	m := outgoing{head: h}
	m.Version = version
	m.Name, m.Life = r.self.m.Name, r.self.m.Life
	m.Generation, m.Incarnation, m.Digest = r.self.m.Generation, r.self.m.Incarnation, r.digest
	size := 72 + len(m.Name) + len(h.About) + len(h.AboutAddr) + len(h.Parts) + len(h.After) // with all figures at their longest
	add := func(e *entry, by string) bool {
		raw := e.encode(r.now, by)
		if size+len(raw) > DatagramBytes || len(m.News) == 64 {
			return false
		}
		size += len(raw)
		m.News = append(m.News, raw)
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
	if h.Kind != pull && h.Kind != page {
		r.ride(peer, done, add)
	}
	raw := marshal(m)
	r.counts.Sent++
	r.counts.SentBytes += uint64(len(raw))
	r.out = append(r.out, Send{To: to, Data: raw})
}

func contains(es []*entry, e *entry) bool {
	for _, o := range es {
		if o == e {
			return true
		}
	}
	return false
}

// take hands over what was written.
func (r *Roster) take() []Send {
	out := r.out
	r.out = nil
	return out
}
