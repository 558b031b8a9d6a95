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

// ProbePeriod is between two probes of one member. Where traffic tells, there are few.
const ProbePeriod = time.Second

// heardFor is how long what traffic told stands against the word of others, and heardEvery how often it is told to the roster.
const (
	contactValidFor       = ProbePeriod
	contactReportInterval = ProbePeriod / 2
)

// Peer is another member.
type Peer struct {
	Node, Zone string
	Addr       string // host:port of its gate, or of its calls by signal
	Role       uint8
	State      membership.State
}

// Membership is one program's part. Its methods may be called by any goroutine.
type Membership struct {
	gossip     *udp.Carriage
	firstPort  int
	gossipPort int
	log        func(event, text string)
	started    time.Time
	// Changed holds one when the state of a member has changed. For one reader.
	Changed chan struct{}
	peers   atomic.Pointer[map[string]*peer] // by Addr
}

type peer struct {
	Peer
	memberName   string       // in the roster
	lastContact  atomic.Int64 // since begun, at any traffic; 0: never
	lastReported atomic.Int64 // of that, as the roster was told last
}

// namePrefixes begin the names of members: a machine may have one of each role.
var namePrefixes = map[uint8]string{messages.RoleRegistry: "h", messages.RoleProxy: "t"}

// Start takes part by the settings, in a role, at the place of its port; port is the place where the mesh calls it. It
// returns nil, with a line in the log, where there can be no part.
func Start(s *settings.Settings, role uint8, place, port int, life uint64, on sock.Net, log func(event, text string)) *Membership {
	return start(s, role, place, port, life, on, log, 0)
}

// start is Start with room for so many names; 0: as many as a roster has by itself.
func start(s *settings.Settings, role uint8, place, port int, life uint64, on sock.Net, log func(event, text string), names int) *Membership {
	m := &Membership{firstPort: s.Ports[0], log: log, started: time.Now(), Changed: make(chan struct{}, 1), gossipPort: messages.RegistryGossipPort}
	m.peers.Store(&map[string]*peer{})
	addr := s.Port(place)
	own, err := netip.ParseAddrPort(addr)
	if err != nil {
		log("roster", "none: no port for it in ephemeral-ports")
		return nil
	}
	self := membership.Member{Name: namePrefixes[role] + s.NodeName, Life: life, Addr: own, Zone: s.Zone, Role: role,
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
	m.gossip = udp.Start(udp.Options{Conn: conn, OnChange: m.handleChanges, Roster: membership.Options{Self: self, Seeds: m.seeds(s),
		Rand: rand.New(rand.NewSource(int64(life))), Period: ProbePeriod, MaxMembers: names}})
	return m
}

// seeds are the harbourmasters beside the seeds.
func (m *Membership) seeds(s *settings.Settings) (out []netip.AddrPort) {
	for _, x := range s.Seeds {
		if a, err := netip.ParseAddrPort(messages.AddrOnHost(x, m.firstPort, m.gossipPort)); err == nil {
			out = append(out, a)
		}
	}
	return out
}

// handleChanges takes what changed in the roster. It is called by the roster's owner.
func (m *Membership) handleChanges(changes []membership.Change) {
	old := *m.peers.Load()
	peers := make(map[string]*peer, len(old))
	for addr, p := range old {
		peers[addr] = p
	}
	for _, c := range changes {
		is := c.Is
		if len(is.Meta) < 2 || len(is.Name) < 2 || is.Role != messages.RoleRegistry && is.Role != messages.RoleProxy {
			continue // of another version, which tells more
		}
		addr := net.JoinHostPort(is.Addr.Addr().String(), strconv.Itoa(int(binary.BigEndian.Uint16(is.Meta))))
		p := &peer{Peer: Peer{Node: is.Name[1:], Zone: is.Zone, Addr: addr, Role: is.Role, State: is.State}, memberName: is.Name}
		if o := peers[addr]; o != nil {
			p.lastContact.Store(o.lastContact.Load())
			p.lastReported.Store(o.lastReported.Load())
		}
		peers[addr] = p
		if is.State == membership.Unknown {
			delete(peers, addr)
		}
		m.logChange(c, p)
	}
	m.peers.Store(&peers)
	select {
	case m.Changed <- struct{}{}:
	default:
	}
}

// logChange logs what became of a member that was known.
func (m *Membership) logChange(c membership.Change, p *peer) {
	what := ""
	switch was, is := c.Was.State, c.Is.State; {
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

// RecordContact takes note that the one who is called at addr has just answered or called. It never waits, and is cheap.
func (m *Membership) RecordContact(addr string) {
	if m == nil {
		return
	}
	p := (*m.peers.Load())[addr]
	if p == nil {
		return
	}
	now := int64(time.Since(m.started))
	p.lastContact.Store(now)
	if told := p.lastReported.Load(); now-told >= int64(contactReportInterval) && p.lastReported.CompareAndSwap(told, now) {
		m.gossip.Heard(p.memberName)
	}
}

// State is how the one who is called at addr is held; Unknown: nothing is known of it.
func (m *Membership) State(addr string) membership.State {
	if m == nil {
		return membership.Unknown
	}
	if p := (*m.peers.Load())[addr]; p != nil {
		return p.State
	}
	return membership.Unknown
}

// IsLive says whether the one who is called at addr counts as a member, or was heard just now. A roster that is full says nothing of
// those for whom it has no place: they are not taken for gone.
func (m *Membership) IsLive(addr string) bool {
	if m == nil {
		return true
	}
	p := (*m.peers.Load())[addr]
	if p == nil {
		return m.gossip.Snapshot().Full
	}
	return p.State.Live() || m.justHeard(p)
}

func (m *Membership) justHeard(p *peer) bool {
	at := p.lastContact.Load()
	return at != 0 && time.Since(m.started)-time.Duration(at) < contactValidFor
}

// Unresponsive are the addresses of those in a role who are suspected, dead or have left, but for those who were heard just now: what
// this program saw itself goes before the word of others.
func (m *Membership) Unresponsive(role uint8) map[string]bool {
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
func (m *Membership) Peers(role uint8) (out []Peer) {
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

// ForgetAfter is how long a machine is not heard of before what is known of it is dropped. The roster remembers the dead for
// longer, and who it holds dead is not taken up again on the word of others meanwhile.
const ForgetAfter = 5 * time.Minute

// AliveNodes are the nodes of a role that the roster holds alive.
func (m *Membership) AliveNodes(role uint8) map[string]bool {
	out := map[string]bool{}
	for _, p := range m.Peers(role) {
		if p.State == membership.Alive {
			out[p.Node] = true
		}
	}
	return out
}

// IsAlone says whether nobody else is known to live.
func (m *Membership) IsAlone() bool { return m == nil || m.gossip.Snapshot().Live < 2 }

// Reload takes the seeds of other settings.
func (m *Membership) Reload(s *settings.Settings) {
	if m != nil {
		m.gossip.SetSeeds(m.seeds(s))
	}
}

// Leave tells the others that this one goes for good.
func (m *Membership) Leave() {
	if m != nil {
		m.gossip.Leave()
	}
}

// Close ends it. Others are told nothing.
func (m *Membership) Close() {
	if m != nil {
		m.gossip.Close()
	}
}

// AddCounters adds its totals to those for the log.
func (m *Membership) AddCounters(out map[string]int64) {
	if m == nil {
		return
	}
	c := m.gossip.Counts()
	r := c.Roster
	for k, n := range map[string]uint64{"probes": r.Probes, "unanswered": r.Unanswered, "refuted": r.Refuted, "sent": r.Sent,
		"sent_bytes": r.SentBytes, "received": r.Received, "refused": r.Refused, "pulls": r.Pulls, "late": r.Late, "dropped": c.Dropped} {
		out["roster_"+k] = int64(n)
	}
	out["roster_live"] = int64(m.gossip.Snapshot().Live)
}
