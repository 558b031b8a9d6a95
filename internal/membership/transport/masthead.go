// Package transport is a program's part in the roster of the mesh: which proxies and harbourmasters answer, by the address where
// the rest of the mesh calls them. It carries and says; who is left alone for it is decided by those who ask. A nil *Masthead
// knows of nobody, and is what a program without a place for datagrams goes on with. Start reading at Start.
package transport

import (
	"encoding/binary"
	"math/rand"
	"net"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"saltmast/internal/membership"
	"saltmast/internal/membership/udp"
	"saltmast/internal/messages"
	"saltmast/internal/settings"
	"saltmast/internal/sock"
)

// Period is between two probes of one member. Where traffic tells, there are few.
const Period = time.Second

// heardFor is how long what traffic told stands against the word of others, and heardEvery how often it is told to the roster.
const (
	heardFor   = Period
	heardEvery = Period / 2
)

// Peer is another member.
type Peer struct {
	Node, Zone string
	Addr       string // host:port of its gate, or of its calls by signal
	Role       uint8
	State      membership.State
}

// Masthead is one program's part. Its methods may be called by any goroutine.
type Masthead struct {
	carriage *udp.Runner
	first    int
	place    int
	log      func(event, text string)
	begun    time.Time
	// Changed holds one when the state of a member has changed. For one reader.
	Changed chan struct{}
	peers   atomic.Pointer[map[string]*peer] // by Addr
}

type peer struct {
	Peer
	name  string       // in the roster
	heard atomic.Int64 // since begun, at any traffic; 0: never
	told  atomic.Int64 // of that, as the roster was told last
}

// letters begin the names of members: a machine may have one of each role.
var letters = map[uint8]string{messages.RoleHarbour: "h", messages.RoleTug: "t"}

// Start takes part by the settings, in a role, at the place of its port; port is the place where the mesh calls it. It
// returns nil, with a line in the log, where there can be no part.
func Start(s *settings.Settings, role uint8, place, port int, life uint64, on sock.Net, log func(event, text string)) *Masthead {
	return start(s, role, place, port, life, on, log, 0)
}

// start is Start with room for so many names; 0: as many as a roster has by itself.
func start(s *settings.Settings, role uint8, place, port int, life uint64, on sock.Net, log func(event, text string), names int) *Masthead {
	m := &Masthead{first: s.Ports[0], log: log, begun: time.Now(), Changed: make(chan struct{}, 1), place: messages.RosterPort}
	m.peers.Store(&map[string]*peer{})
	addr := s.Port(place)
	own, err := netip.ParseAddrPort(addr)
	if err != nil {
		log("roster", "none: no port for it in ephemeral-ports")
		return nil
	}
	self := membership.Member{Name: letters[role] + s.NodeName, Life: life, Addr: own, Zone: s.Zone, Role: role,
		Meta: binary.BigEndian.AppendUint16(nil, uint16(s.Ports[0]+port))}
	if err := self.Check(); err != nil {
		log("roster", "none: "+err.Error())
		return nil
	}
	conn, err := sock.On(on).ListenPacket(addr)
	if err != nil {
		log("roster", "none: "+err.Error())
		return nil
	}
	m.carriage = udp.Start(udp.Options{Conn: conn, OnChange: m.changed, Membership: membership.Options{Self: self, Seeds: m.seeds(s),
		Rand: rand.New(rand.NewSource(int64(life))), Period: Period, MaxMembers: names}})
	return m
}

// seeds are the harbourmasters beside the seeds.
func (m *Masthead) seeds(s *settings.Settings) (out []netip.AddrPort) {
	for _, x := range s.Seeds {
		if a, err := netip.ParseAddrPort(messages.Beside(x, m.first, m.place)); err == nil {
			out = append(out, a)
		}
	}
	return out
}

// changed takes what changed in the roster. It is called by the roster's owner.
func (m *Masthead) changed(changes []membership.Change) {
	old := *m.peers.Load()
	peers := make(map[string]*peer, len(old))
	for addr, p := range old {
		peers[addr] = p
	}
	for _, c := range changes {
		is := c.After
		if len(is.Meta) < 2 || len(is.Name) < 2 || is.Role != messages.RoleHarbour && is.Role != messages.RoleTug {
			continue // of another version, which tells more
		}
		addr := net.JoinHostPort(is.Addr.Addr().String(), strconv.Itoa(int(binary.BigEndian.Uint16(is.Meta))))
		p := &peer{Peer: Peer{Node: is.Name[1:], Zone: is.Zone, Addr: addr, Role: is.Role, State: is.State}, name: is.Name}
		if o := peers[addr]; o != nil {
			p.heard.Store(o.heard.Load())
			p.told.Store(o.told.Load())
		}
		peers[addr] = p
		if is.State == membership.Unknown {
			delete(peers, addr)
		}
		m.say(c, p)
	}
	m.peers.Store(&peers)
	select {
	case m.Changed <- struct{}{}:
	default:
	}
}

// say logs what became of a member that was known.
func (m *Masthead) say(c membership.Change, p *peer) {
	what := ""
	switch was, is := c.Before.State, c.After.State; {
	case was == membership.Unknown || is == membership.Unknown || was == is:
	case is == membership.Alive:
		what = "back"
	default:
		what = is.String()
	}
	if what != "" {
		m.log("member", p.Node+" ("+p.Addr+") "+what)
	}
}

// Heard takes note that the one who is called at addr has just answered or called. It never waits, and is cheap.
func (m *Masthead) Heard(addr string) {
	if m == nil {
		return
	}
	p := (*m.peers.Load())[addr]
	if p == nil {
		return
	}
	now := int64(time.Since(m.begun))
	p.heard.Store(now)
	if told := p.told.Load(); now-told >= int64(heardEvery) && p.told.CompareAndSwap(told, now) {
		m.carriage.ConfirmAlive(p.name)
	}
}

// State is how the one who is called at addr is held; Unknown: nothing is known of it.
func (m *Masthead) State(addr string) membership.State {
	if m == nil {
		return membership.Unknown
	}
	if p := (*m.peers.Load())[addr]; p != nil {
		return p.State
	}
	return membership.Unknown
}

// Lives says whether the one who is called at addr counts as a member, or was heard just now. A roster that is full says nothing of
// those for whom it has no place: they are not taken for gone.
func (m *Masthead) Lives(addr string) bool {
	if m == nil {
		return true
	}
	p := (*m.peers.Load())[addr]
	if p == nil {
		return m.carriage.Snapshot().Full
	}
	return p.State.Live() || m.justHeard(p)
}

func (m *Masthead) justHeard(p *peer) bool {
	at := p.heard.Load()
	return at != 0 && time.Since(m.begun)-time.Duration(at) < heardFor
}

// Silent are the addresses of those in a role who are suspected, dead or have left, but for those who were heard just now: what
// this program saw itself goes before the word of others.
func (m *Masthead) Silent(role uint8) map[string]bool {
	out := map[string]bool{}
	if m == nil {
		return out
	}
	for addr, p := range *m.peers.Load() {
		if p.Role == role && p.State != membership.Alive && !m.justHeard(p) {
			out[addr] = true
		}
	}
	return out
}

// Peers are the members in a role, the dead that are remembered included.
func (m *Masthead) Peers(role uint8) (out []Peer) {
	if m == nil {
		return nil
	}
	for _, p := range *m.peers.Load() {
		if p.Role == role {
			out = append(out, p.Peer)
		}
	}
	return out
}

// GoneAfter is how long a machine is not heard of before what is known of it is dropped. The roster remembers the dead for
// longer, and who it holds dead is not taken up again on the word of others meanwhile.
const GoneAfter = 5 * time.Minute

// Alive are the nodes of a role that the roster holds alive.
func (m *Masthead) Alive(role uint8) map[string]bool {
	out := map[string]bool{}
	for _, p := range m.Peers(role) {
		if p.State == membership.Alive {
			out[p.Node] = true
		}
	}
	return out
}

// Alone says whether nobody else is known to live.
func (m *Masthead) Alone() bool { return m == nil || m.carriage.Snapshot().Live < 2 }

// Reload takes the seeds of other settings.
func (m *Masthead) Reload(s *settings.Settings) {
	if m != nil {
		m.carriage.SetSeeds(m.seeds(s))
	}
}

// Leave tells the others that this one goes for good.
func (m *Masthead) Leave() {
	if m != nil {
		m.carriage.Leave()
	}
}

// Close ends it. Others are told nothing.
func (m *Masthead) Close() {
	if m != nil {
		m.carriage.Close()
	}
}

// Count adds its totals to those for the log.
func (m *Masthead) Count(out map[string]int64) {
	if m == nil {
		return
	}
	c := m.carriage.Counts()
	r := c.Membership
	for k, n := range map[string]uint64{"probes": r.Probes, "unanswered": r.Unanswered, "refuted": r.Refuted, "sent": r.Sent,
		"sent_bytes": r.SentBytes, "received": r.Received, "refused": r.Malformed, "pulls": r.Pulls, "late": r.Late, "dropped": c.Dropped} {
		out["roster_"+k] = int64(n)
	}
	out["roster_live"] = int64(m.carriage.Snapshot().Live)
}
