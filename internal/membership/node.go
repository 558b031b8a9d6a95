// Package membership implements SWIM-style group membership and failure detection. It is a state machine: the caller passes in
// the time, received datagrams and other evidence of liveness, and gets back the datagrams to send. It starts no goroutine, opens
// no socket and reads no clock, so that a whole cluster can be simulated in virtual time. Package udp runs a Node on a real
// socket.
//
// Each period one other member is probed, in shuffled round-robin order, so that each is probed within as many periods as there
// are members. If it does not answer, it is probed indirectly through a few others. Then it is suspected, which it can refute
// with a higher incarnation. After a time that grows with the logarithm of the cluster size and shrinks with each independent
// confirmation it is declared dead. Updates are piggybacked on datagrams, each a bounded number of times.
//
// Differences from the SWIM and Lifeguard papers:
//
//   - Each member declares others dead on its own. If it is told that a member is dead which it considers alive, it suspects that
//     member for the shortest time. So a member with a bad link removes nobody for the others, and the two sides of a healed
//     partition find out who is alive instead of declaring each other dead.
//   - Every datagram contains a digest of the sender's view. If digests keep differing, the member that sent the ping pulls what
//     it lacks, by 64 buckets, page by page (anti-entropy). A new member learns the whole cluster in the same way.
//   - Wall clocks are not used. A generation number decides which of two lives of a name is the newer: a member that receives a
//     record of another life of its name takes the next generation.
//   - Time in which the process did not run is not counted against other members.
//
// When nothing changes each member sends one probe and one answer per period, about 46 bytes each with names of 17 bytes,
// whatever the cluster size. While there are updates to spread, it sends at most eight further datagrams per period, each of
// at most DatagramBytes.
package membership

import (
	"errors"
	"fmt"
	"math/rand"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Maximum sizes of the fields of a Member and of a datagram, in bytes.
const (
	NameBytes     = 64
	ZoneBytes     = 64
	MetaBytes     = 64
	DatagramBytes = 1200
)

// maxCounter bounds generations and incarnations. Higher values are rejected, so that a member can always take a higher one.
const maxCounter = 1 << 48

// beforeAllTime is earlier than any time that a caller passes.
const beforeAllTime = time.Duration(-1 << 62)

// State is the state of a member as seen by a Node.
type State uint8

// The states of a member. Unknown occurs only in a Change, for a member that was not known before or has been forgotten.
const (
	Unknown State = iota
	Alive
	Suspect // did not answer; still counts as a member and may refute the suspicion
	Dead    // did not answer before the suspicion timed out
	Left    // announced that it leaves
)

var stateNames = [...]string{"unknown", "alive", "suspect", "dead", "left"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Live reports whether a member in this state counts as live: alive or suspected.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Member is what a member announces about itself.
type Member struct {
	Name string // 1 to NameBytes bytes; stays the same over restarts
	// Life is a random number other than 0, drawn when the process starts.
	Life uint64
	// Generation orders the lives of a name: the higher one is the newer, and between equal ones the higher Life wins. A Node
	// raises its own when it learns of other lives of its name. A member with a disk can start above 0 to save that round trip.
	Generation uint64
	// Incarnation orders the announcements of one life. SetMeta and refuting a suspicion raise it.
	Incarnation uint64
	Addr        netip.AddrPort // receives its datagrams
	Zone        string         // at most ZoneBytes bytes
	Role        uint8          // defined by the caller
	Meta        []byte         // defined by the caller, at most MetaBytes bytes; must not be modified
}

// Status is a member with its state.
type Status struct {
	Member
	State       State
	Since       time.Duration // when State began, on the caller's clock; for Dead and Left computed from the age in the received record
	LastHeard   time.Duration // when this member last had direct evidence that it is alive; negative if never
	SuspectedBy []string      // names of the members that suspect it, at most Confirmations+1
}

// Change is a state change of one member. Before.State is Unknown for a new member, After.State for one that is forgotten. A new
// life of a name is visible in the two Life fields, new Meta in Incarnation.
type Change struct {
	At     time.Duration
	Before Status
	After  Status
	// Conflict is another process with the same name at another address, which was rejected; After then equals Before. It is
	// set only with Options.KeepLiveNames, at most once per period for each name.
	Conflict *Member
}

// Send is a datagram to be sent, at most DatagramBytes long. The protocol tolerates its loss.
type Send struct {
	To   netip.AddrPort
	Data []byte
}

// Counts are totals since New.
type Counts struct {
	Sent, SentBytes         uint64 // datagrams to send, and their bytes without network headers
	Received, ReceivedBytes uint64 // datagrams received, including malformed ones
	Malformed               uint64 // datagrams rejected for their length, format or version
	Probes, Unanswered      uint64 // probes started, and those that ended with a suspicion
	Refuted                 uint64 // suspicions of this member that it refuted
	Claims                  uint64 // generations that this member took because of another life of its name
	Pulls                   uint64 // sync requests sent
	Late                    uint64 // times the caller was late by more than a quarter of a period
	Full                    uint64 // members rejected because of MaxMembers
	LostChanges             uint64 // changes dropped because Changes was not called in time
	Conflicts               uint64 // changes that reported two processes with one name
}

// Options configure a Node. A number that is zero stands for the default given in its comment.
type Options struct {
	Self  Member           // Name, Life and Addr are required
	Seeds []netip.AddrPort // addresses of members to join through, see SetSeeds
	Rand  *rand.Rand       // required; must not be shared

	Period         time.Duration // time between probes; default 1 s
	AckTimeout     time.Duration // for the answer to a probe, before it is tried indirectly; default 0.3 periods, at most half a period
	IndirectProbes int           // number of members asked to probe indirectly; default 3
	Confirmations  int           // number of confirmations that reduce a suspicion to its shortest time; default 3
	// SuspicionPeriods is the shortest suspicion time in periods, multiplied by log10 of the number of members if that is above
	// 1; default 3. The longest is SuspicionMaxFactor times as long; default 3.
	SuspicionPeriods   int
	SuspicionMaxFactor int
	RetransmitFactor   int           // an update is sent RetransmitFactor*ceil(log10(members+1)) times; default 4
	MaxSlowness        int           // a slow node extends its periods and timeouts up to 1+MaxSlowness times; default 4
	RetainDead         time.Duration // how long dead members and those that left are remembered; default 10 minutes
	MaxMembers         int           // maximum number of names remembered, including this one; default 4096
	// KeepLiveNames leaves a name with the member that holds it while that member is live: a newer life at another address is
	// rejected until then. Otherwise a newer life replaces the older one at once.
	KeepLiveNames bool
}

// Node is one member's view of the membership and its protocol state. It is not safe for concurrent use.
type Node struct {
	options Options
	rand    *rand.Rand
	clock   time.Duration // the latest time passed in
	self    *entry
	left    bool
	outbox  []Send
	seq     uint32

	table

	// probing
	probeOrder  []*entry
	probeIndex  int
	probe       *probe
	nextProbe   time.Duration
	idlePeriods int // consecutive periods without a probe, because other traffic proved all members alive
	rounds      int
	slowness    int
	relays      []relay

	seeds     []netip.AddrPort
	nextSeed  time.Duration
	seedTries int

	nextGossip time.Duration

	// other lives of the own name
	wantedGeneration uint64 // the generation to take next; 0 for none
	generationsTaken int
	nextGeneration   time.Duration

	// anti-entropy
	digestMismatches int // consecutive answers with a different digest
	digestMatches    int // consecutive pings and answers with the digest of this member
	inSync           bool
	sync             *syncSession
	lastSync         time.Duration

	counts Counts
}

// New returns a Node that knows only itself. Its first timer is due at once. It panics if Rand is nil or if Self does not pass
// Check.
func New(o Options, now time.Duration) *Node {
	if o.Rand == nil {
		panic("membership: Options.Rand is nil")
	}
	if err := o.Self.Check(); err != nil {
		panic("membership: " + err.Error())
	}
	setDefault(&o.Period, time.Second)
	setDefault(&o.AckTimeout, o.Period*3/10)
	o.AckTimeout = min(o.AckTimeout, o.Period/2)
	setDefault(&o.IndirectProbes, 3)
	setDefault(&o.Confirmations, 3)
	setDefault(&o.SuspicionPeriods, 3)
	setDefault(&o.SuspicionMaxFactor, 3)
	setDefault(&o.RetransmitFactor, 4)
	setDefault(&o.MaxSlowness, 4)
	setDefault(&o.RetainDead, 10*time.Minute)
	setDefault(&o.MaxMembers, 4096)
	o.Self.Meta = slices.Clone(o.Self.Meta)
	node := &Node{options: o, rand: o.Rand, clock: now, seq: o.Rand.Uint32(), lastSync: beforeAllTime, nextSeed: now}
	node.table.node = node
	node.entries = map[string]*entry{}
	node.self = node.add(now, o.Self, Alive, now)
	node.changes = nil
	node.nextProbe = now + time.Duration(node.rand.Int63n(int64(o.Period)))
	node.nextGossip = now
	node.SetSeeds(now, o.Seeds)
	return node
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// ErrMember is wrapped by the errors of Check.
var ErrMember = errors.New("invalid member")

// Check returns an error if other members would reject m as malformed.
func (m *Member) Check() error {
	switch {
	case m.Name == "" || len(m.Name) > NameBytes:
		return fmt.Errorf("%w: a name of %d bytes, 1 to %d are allowed", ErrMember, len(m.Name), NameBytes)
	case m.Life == 0:
		return fmt.Errorf("%w: %q has life 0", ErrMember, m.Name)
	case m.Generation > maxCounter || m.Incarnation > maxCounter:
		return fmt.Errorf("%w: %q has a generation or incarnation above %d", ErrMember, m.Name, uint64(maxCounter))
	case !m.Addr.IsValid() || m.Addr.Port() == 0:
		return fmt.Errorf("%w: %q has no address", ErrMember, m.Name)
	case len(m.Zone) > ZoneBytes:
		return fmt.Errorf("%w: %q has a zone of %d bytes, %d are allowed", ErrMember, m.Name, len(m.Zone), ZoneBytes)
	case len(m.Meta) > MetaBytes:
		return fmt.Errorf("%w: %q has %d bytes of meta, %d are allowed", ErrMember, m.Name, len(m.Meta), MetaBytes)
	}
	return nil
}

// SetSeeds replaces the seed addresses. A seed is pinged while no live member is known at its address: until a first other
// member is known, four times per period for two periods and then once per period; after that every ten periods. The own address
// is ignored, and at most eight seeds are kept.
func (node *Node) SetSeeds(now time.Duration, seeds []netip.AddrPort) {
	node.seeds = node.seeds[:0]
	for _, s := range seeds {
		s = netip.AddrPortFrom(s.Addr().Unmap(), s.Port())
		if s.IsValid() && s.Port() != 0 && s != node.self.member.Addr && !slices.Contains(node.seeds, s) && len(node.seeds) < 8 {
			node.seeds = append(node.seeds, s)
		}
	}
	node.nextSeed = node.advance(now)
}

// SetMeta replaces the Meta of this member and announces it with a new incarnation. If it is unchanged, nothing is sent. Callers
// should limit how often they change it, since each change is sent to the whole cluster. It returns an ErrMember if meta is
// longer than MetaBytes.
func (node *Node) SetMeta(now time.Duration, meta []byte) error {
	m := node.self.member
	if string(m.Meta) == string(meta) || node.left {
		return nil
	}
	m.Meta = slices.Clone(meta)
	m.Incarnation++
	if err := m.Check(); err != nil {
		return err
	}
	node.update(node.self, node.advance(now), m, Alive, node.self.since)
	node.broadcast(node.self, "")
	return nil
}

// ConfirmAlive records that other traffic has just shown a member to be alive. That counts as the answer to a probe, and the
// member is not probed for one period. It does not end a suspicion, which only the suspect can refute, but defers its end.
func (node *Node) ConfirmAlive(now time.Duration, name string) {
	if e := node.entries[name]; e != nil && e != node.self {
		node.enter(now)
		node.markHeard(e, false)
	}
}

// Leave announces that this member leaves for good, at once to as many members as an update has transmissions. After that it
// neither probes nor answers; Step may still be called to send the remaining updates.
func (node *Node) Leave(now time.Duration) []Send {
	node.enter(now)
	if node.left {
		return nil
	}
	node.left = true
	node.probe, node.sync, node.relays = nil, nil, nil
	node.update(node.self, node.clock, node.self.member, Left, node.clock)
	node.broadcast(node.self, "")
	for _, e := range node.randomMembers(node.transmitLimit(), nil) {
		node.enqueue(e.member.Addr, header{Kind: gossip}, e, node.self)
	}
	return node.drain()
}

// Self returns this member as currently announced. Its generation and incarnation increase over time.
func (node *Node) Self() Member { return node.self.member }

// Members returns all known members by name, including this one, the dead and those that left.
func (node *Node) Members() []Status {
	s := make([]Status, 0, len(node.entries))
	for _, e := range node.entries {
		s = append(s, e.status())
	}
	slices.SortFunc(s, func(a, b Status) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// Live returns the number of members that are alive or suspected, including this one.
func (node *Node) Live() int { return node.live }

// Full reports whether MaxMembers names are known. A name that is missing may then still be a member.
func (node *Node) Full() bool { return len(node.entries) >= node.options.MaxMembers }

// Digest returns a hash of the live members. Members with equal views have equal digests; different views collide with a
// probability of 1 in 2^32.
func (node *Node) Digest() uint32 { return node.digest }

// Changes returns the changes since the last call, oldest first. Up to 16,384 are kept; then the oldest are dropped and counted
// in LostChanges.
func (node *Node) Changes() []Change {
	c := node.changes
	node.changes = nil
	return c
}

// Counts returns the totals so far.
func (node *Node) Counts() Counts { return node.counts }
