// Package transport connects a program to the gossip membership protocol of the mesh and tracks which proxies and registries are
// alive, by the address at which the mesh calls them. It only reports states; its users decide which peers to avoid. A nil
// *Membership knows no members; a program without a datagram port uses that. Start reading at Start.
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

// ProbePeriod is the time between two probes of a member. Members that other traffic shows to be alive are rarely probed.
const ProbePeriod = time.Second

// contactValidFor is how long contact by other traffic overrides the state reported by members, and contactReportInterval how
// often contact is reported to the protocol.
const (
	contactValidFor       = ProbePeriod
	contactReportInterval = ProbePeriod / 2
)

// Peer is another member of the mesh.
type Peer struct {
	Node, Zone string
	Addr       string // host:port of a proxy's inbound port, or of a registry's RPCs
	Role       uint8
	State      membership.State
}

// Membership is one program's view of the members. Its methods are safe for concurrent use.
type Membership struct {
	gossip     *udp.Runner
	firstPort  int
	gossipPort int
	log        func(event, text string)
	started    time.Time
	// Changed holds a token after the state of a member has changed. It is for one reader.
	Changed chan struct{}
	peers   atomic.Pointer[map[string]*peer] // by Addr
}

type peer struct {
	Peer
	memberName   string       // in the membership protocol
	lastContact  atomic.Int64 // time since started of the last traffic; 0: never
	lastReported atomic.Int64 // value of lastContact last reported to the protocol
}

// namePrefixes are prefixes of member names: a machine may have one member of each role.
var namePrefixes = map[uint8]string{messages.RoleRegistry: "h", messages.RoleProxy: "t"}

// Start joins the membership protocol in a role. place is the offset of the port for datagrams, port that of the port at which
// the mesh calls the program. If it can't join, it logs the reason and returns nil.
func Start(s *settings.Settings, role uint8, place, port int, incarnation uint64, network sock.Net, log func(event, text string)) *Membership {
	return start(s, role, place, port, incarnation, network, log, 0)
}

// start is Start with a limit on the number of known members; 0 is the default of the protocol.
func start(s *settings.Settings, role uint8, place, port int, incarnation uint64, network sock.Net, log func(event, text string), maxMembers int) *Membership {
	m := &Membership{firstPort: s.Ports[0], log: log, started: time.Now(), Changed: make(chan struct{}, 1), gossipPort: messages.RegistryGossipPort}
	m.peers.Store(&map[string]*peer{})
	addr := s.Port(place)
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		log("roster", "none: no port for it in ephemeral-ports")
		return nil
	}
	self := membership.Member{Name: namePrefixes[role] + s.NodeName, Life: incarnation, Addr: addrPort, Zone: s.Zone, Role: role,
		Meta: binary.BigEndian.AppendUint16(nil, uint16(s.Ports[0]+port))}
	if err := self.Check(); err != nil {
		log("roster", "none: "+err.Error())
		return nil
	}
	conn, err := sock.On(network).ListenPacket(addr)
	if err != nil {
		log("roster", "none: "+err.Error())
		return nil
	}
	m.gossip = udp.Start(udp.Options{Conn: conn, OnChange: m.handleChanges, Membership: membership.Options{Self: self, Seeds: m.seeds(s),
		Rand: rand.New(rand.NewSource(int64(incarnation))), Period: ProbePeriod, MaxMembers: maxMembers}})
	return m
}

// seeds returns the datagram addresses of the registries on the seed machines.
func (m *Membership) seeds(s *settings.Settings) (out []netip.AddrPort) {
	for _, seed := range s.Seeds {
		if addr, err := netip.ParseAddrPort(messages.AddrOnHost(seed, m.firstPort, m.gossipPort)); err == nil {
			out = append(out, addr)
		}
	}
	return out
}

// handleChanges applies changes of members. It is called by the protocol's owner goroutine.
func (m *Membership) handleChanges(changes []membership.Change) {
	old := *m.peers.Load()
	peers := make(map[string]*peer, len(old))
	for addr, updated := range old {
		peers[addr] = updated
	}
	for _, c := range changes {
		member := c.After
		if len(member.Meta) < 2 || len(member.Name) < 2 || member.Role != messages.RoleRegistry && member.Role != messages.RoleProxy {
			continue // from another version with other metadata
		}
		addr := net.JoinHostPort(member.Addr.Addr().String(), strconv.Itoa(int(binary.BigEndian.Uint16(member.Meta))))
		updated := &peer{Peer: Peer{Node: member.Name[1:], Zone: member.Zone, Addr: addr, Role: member.Role, State: member.State}, memberName: member.Name}
		if previous := peers[addr]; previous != nil {
			updated.lastContact.Store(previous.lastContact.Load())
			updated.lastReported.Store(previous.lastReported.Load())
		}
		peers[addr] = updated
		if member.State == membership.Unknown {
			delete(peers, addr)
		}
		m.logChange(c, updated)
	}
	m.peers.Store(&peers)
	select {
	case m.Changed <- struct{}{}:
	default:
	}
}

// logChange logs the new state of a member that was already known.
func (m *Membership) logChange(c membership.Change, p *peer) {
	event := ""
	switch was, is := c.Before.State, c.After.State; {
	case was == membership.Unknown || is == membership.Unknown || was == is:
	case is == membership.Alive:
		event = "back"
	default:
		event = is.String()
	}
	if event != "" {
		m.log("member", p.Node+" ("+p.Addr+") "+event)
	}
}

// RecordContact records that the peer at addr has just answered or called. It is cheap and never blocks.
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
	if reported := p.lastReported.Load(); now-reported >= int64(contactReportInterval) && p.lastReported.CompareAndSwap(reported, now) {
		m.gossip.ConfirmAlive(p.memberName)
	}
}

// State returns the state of the peer at addr, or Unknown.
func (m *Membership) State(addr string) membership.State {
	if m == nil {
		return membership.Unknown
	}
	if p := (*m.peers.Load())[addr]; p != nil {
		return p.State
	}
	return membership.Unknown
}

// IsLive reports whether the peer at addr is a live member or was in contact recently. When the member list is full, peers that
// are not in it count as live.
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

// Unresponsive returns the addresses of the peers in a role that are suspected, dead or have left, except those in contact
// recently: direct contact overrides the reports of others.
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

// Peers returns the members in a role, including remembered dead ones.
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

// ForgetAfter is how long a machine must be silent before its entries are removed. The protocol remembers dead members for
// longer, and meanwhile they are not added again on the reports of others.
const ForgetAfter = 5 * time.Minute

// AliveNodes returns the nodes with an alive member in a role.
func (m *Membership) AliveNodes(role uint8) map[string]bool {
	out := map[string]bool{}
	for _, p := range m.Peers(role) {
		if p.State == membership.Alive {
			out[p.Node] = true
		}
	}
	return out
}

// IsAlone reports whether no other live member is known.
func (m *Membership) IsAlone() bool { return m == nil || m.gossip.Snapshot().Live < 2 }

// Reload applies the seeds of other settings.
func (m *Membership) Reload(s *settings.Settings) {
	if m != nil {
		m.gossip.SetSeeds(m.seeds(s))
	}
}

// Leave announces to the other members that this one leaves for good.
func (m *Membership) Leave() {
	if m != nil {
		m.gossip.Leave()
	}
}

// Close stops the protocol without an announcement.
func (m *Membership) Close() {
	if m != nil {
		m.gossip.Close()
	}
}

// AddCounters adds the counters of the protocol to the counters for the log.
func (m *Membership) AddCounters(out map[string]int64) {
	if m == nil {
		return
	}
	c := m.gossip.Counts()
	r := c.Membership
	for k, n := range map[string]uint64{"probes": r.Probes, "unanswered": r.Unanswered, "refuted": r.Refuted, "sent": r.Sent,
		"sent_bytes": r.SentBytes, "received": r.Received, "refused": r.Malformed, "pulls": r.Pulls, "late": r.Late, "dropped": c.Dropped} {
		out["roster_"+k] = int64(n)
	}
	out["roster_live"] = int64(m.gossip.Snapshot().Live)
}
