// Package membership knows which other members there are and which of them answer. It is a state machine: the caller hands in the
// time, datagrams and what else it has heard, and gets back what is to be sent. It starts no goroutine, opens no socket and
// reads no clock, so that a whole fleet can be played in virtual time. Package udp below it carries one on a real socket.
//
// It is of the SWIM family. Each period one other member is probed, in a shuffled turn, so that each is probed within as many
// periods as there are members. Who does not answer is asked for through a few others; then it is suspected, which it can refute
// by a higher incarnation; then, after a time that grows with the logarithm of the fleet and shrinks with each independent
// confirmation, it is held to be dead. News rides on the datagrams, each told a bounded number of times.
//
// What differs from the papers, and why:
//
//   - Dead is what each member concludes for itself. Told that somebody is dead whom it holds alive, a member suspects it for the
//     shortest time only, so that one with a bad link removes nobody for the others, and two sides of a cut that meet again find
//     out who lives instead of killing each other.
//   - Every datagram tells a digest of the sender's view. Where digests stay different, the one that asked pulls what it lacks,
//     by 64 parts, page by page. A newcomer learns the whole fleet in the same way.
//   - No clock of day is used. Which of two lives of a name is the newer is told by a generation: a newcomer that hears of
//     another life of its name takes the next generation.
//   - Time in which the process did not run counts against nobody.
//
// At rest each member sends one probe and one answer a period, about 46 bytes each with names of 17 bytes, whatever the size of
// the fleet. While there is news, eight further datagrams a period at the most go out, and each of them is at most
// DatagramBytes long.
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

// Bounds on what a member tells of itself and on a datagram, in bytes.
const (
	NameBytes     = 64
	ZoneBytes     = 64
	MetaBytes     = 64
	DatagramBytes = 1200
)

// highest bounds generations and incarnations: what claims more is refused, so that there is always a higher one to take.
const highest = 1 << 48

// never is before all time.
const never = time.Duration(-1 << 62)

// State is how a member is held.
type State uint8

// The states of a member. Unknown stands in a Change for what was not there before, or has been forgotten.
const (
	Unknown State = iota
	Alive
	Suspect // did not answer; still counts as a member, and may refute it
	Dead    // did not answer for the time of suspicion
	Left    // said itself that it goes
)

var stateNames = [...]string{"unknown", "alive", "suspect", "dead", "left"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state %d", uint8(s))
}

// Live says whether a member in this state counts as one: alive or suspected.
func (s State) Live() bool { return s == Alive || s == Suspect }

// Member is what a member tells of itself.
type Member struct {
	Name string // 1 to NameBytes bytes; stays over restarts
	// Life is drawn at random when the process starts; never 0.
	Life uint64
	// Generation orders the lives of a name: the higher one is the newer; between equal ones the higher Life wins. The roster
	// raises its own as it hears of other lives. A start above 0 spares a member with a disk the one round trip.
	Generation uint64
	// Incarnation orders what one life tells of itself: raised by SetMeta, and to refute a suspicion.
	Incarnation uint64
	Addr        netip.AddrPort // where its datagrams are received
	Zone        string         // at most ZoneBytes bytes
	Role        uint8          // the caller's
	Meta        []byte         // the caller's, at most MetaBytes bytes; not to be changed in place
}

// Status is a member and how it is held.
type Status struct {
	Member
	State State
	Since time.Duration // when State began, on the caller's clock; for Dead and Left, before now by what the teller said
	Heard time.Duration // when it last proved to be alive to this member itself, negative if never
	By    []string      // who suspects it, at most Confirmations+1 names
}

// Change is what became of one member: from Was to Is. Was.State is Unknown for one that was not known, Is.State for one that
// is forgotten. A new life of a name shows in the two Life fields, new Meta in Incarnation.
type Change struct {
	At  time.Duration
	Was Status
	Is  Status
	// Refused is another process under the same name, at another address, that is not taken up; Is equals Was then. Told with
	// Options.FirstKeeps alone, once a period for each name at the most.
	Refused *Member
}

// Send is a datagram to be sent, at most DatagramBytes long. Its loss is borne.
type Send struct {
	To   netip.AddrPort
	Data []byte
}

// Counts are totals since New.
type Counts struct {
	Sent, SentBytes         uint64 // datagrams given out, and their bytes without headers of the network
	Received, ReceivedBytes uint64 // datagrams taken, those refused included
	Refused                 uint64 // datagrams that are none of ours, by length, form or version
	Probes, Unanswered      uint64 // probes that began, and those that ended with a suspicion
	Refuted                 uint64 // suspicions of this member that it refuted
	Claims                  uint64 // generations this member took over another life of its name
	Pulls                   uint64 // views compared part by part
	Late                    uint64 // times the caller came late by over a quarter of a period
	Full                    uint64 // members not taken up because of MaxMembers
	LostChanges             uint64 // changes dropped because nobody drained them
	Conflicts               uint64 // changes that told of a name taken twice
}

// Options are what New needs. Zero values of the figures stand for the defaults named.
type Options struct {
	Self  Member           // Name, Life and Addr are required
	Seeds []netip.AddrPort // asked for others, see SetSeeds
	Rand  *rand.Rand       // required; used by nothing else

	Period        time.Duration // between probes; 1 s
	AckTimeout    time.Duration // for the answer to a probe, before others are asked; 0.3 periods, and at most half a one
	Helpers       int           // how many are asked for a second opinion; 3
	Confirmations int           // how many further accusers bring a suspicion to its shortest time; 3
	// SuspicionPeriods is the shortest time of suspicion in periods, times log10 of the members where that is above 1; 3. The
	// longest is LongestFactor times as much; 3.
	SuspicionPeriods int
	LongestFactor    int
	TellFactor       int           // news is told TellFactor*ceil(log10(members+1)) times; 4
	MaxSlowness      int           // own slowness stretches own periods and time-outs up to 1+MaxSlowness times; 4
	DeadFor          time.Duration // for how long the dead and those who left are remembered; 10 minutes
	MaxMembers       int           // the most names remembered, this one included; 4096
	// FirstKeeps has a name stay with the member that has it, as long as that counts as live: a newer life of it at another
	// address is not taken up until then. Otherwise the newer life has it at once.
	FirstKeeps bool
}

// Roster is the membership as one member sees it. One goroutine may use it at a time.
type Roster struct {
	o    Options
	rand *rand.Rand
	now  time.Duration // the latest time handed in
	self *entry
	left bool
	out  []Send
	seq  uint32

	table

	// the probe in turn
	turn      []*entry
	at        int
	probe     *probe
	nextProbe time.Duration
	idle      int // periods in which traffic had answered for all
	rounds    int
	slowness  int
	relays    []relay

	seeds     []netip.AddrPort
	nextSeed  time.Duration
	seedTries int

	nextTidings time.Duration

	// own names taken
	claim     uint64 // the generation to take, 0 for none
	claims    int
	nextClaim time.Duration

	// comparing views
	apart    int // answers in a row whose digest was another
	alike    int // pings and answers in a row whose digest was this member's
	settled  bool
	pulling  *pulling
	lastPull time.Duration

	counts Counts
}

// New is a roster of which only the member itself is known. Its first timer is due at once. It panics on Options that are
// wrong in themselves: no Rand, or a Self that Check refuses.
func New(o Options, now time.Duration) *Roster {
	if o.Rand == nil {
		panic("roster: no Rand")
	}
	if err := o.Self.Check(); err != nil {
		panic("roster: " + err.Error())
	}
	def(&o.Period, time.Second)
	def(&o.AckTimeout, o.Period*3/10)
	o.AckTimeout = min(o.AckTimeout, o.Period/2)
	def(&o.Helpers, 3)
	def(&o.Confirmations, 3)
	def(&o.SuspicionPeriods, 3)
	def(&o.LongestFactor, 3)
	def(&o.TellFactor, 4)
	def(&o.MaxSlowness, 4)
	def(&o.DeadFor, 10*time.Minute)
	def(&o.MaxMembers, 4096)
	o.Self.Meta = slices.Clone(o.Self.Meta)
	r := &Roster{o: o, rand: o.Rand, now: now, seq: o.Rand.Uint32(), lastPull: never, nextSeed: now}
	r.table.r = r
	r.entries = map[string]*entry{}
	r.self = r.put(now, o.Self, Alive, now)
	r.changes = nil
	r.nextProbe = now + time.Duration(r.rand.Int63n(int64(o.Period)))
	r.nextTidings = now
	r.SetSeeds(now, o.Seeds)
	return r
}

func def[T int | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// ErrMember is wrapped by what Check returns.
var ErrMember = errors.New("no member")

// Check says why others would refuse what a member tells of itself, or nil.
func (m *Member) Check() error {
	switch {
	case m.Name == "" || len(m.Name) > NameBytes:
		return fmt.Errorf("%w: a name of %d bytes, 1 to %d are allowed", ErrMember, len(m.Name), NameBytes)
	case m.Life == 0:
		return fmt.Errorf("%w: %q has life 0", ErrMember, m.Name)
	case m.Generation > highest || m.Incarnation > highest:
		return fmt.Errorf("%w: %q has a generation or incarnation above %d", ErrMember, m.Name, uint64(highest))
	case !m.Addr.IsValid() || m.Addr.Port() == 0:
		return fmt.Errorf("%w: %q has no address", ErrMember, m.Name)
	case len(m.Zone) > ZoneBytes:
		return fmt.Errorf("%w: %q has a zone of %d bytes, %d are allowed", ErrMember, m.Name, len(m.Zone), ZoneBytes)
	case len(m.Meta) > MetaBytes:
		return fmt.Errorf("%w: %q has %d bytes of meta, %d are allowed", ErrMember, m.Name, len(m.Meta), MetaBytes)
	}
	return nil
}

// SetSeeds replaces the addresses that are pinged while no live member is known there: until the first other member is known,
// four times a period for two periods and once a period then; every ten periods after that. The own address among them is passed over; eight are kept.
func (r *Roster) SetSeeds(now time.Duration, seeds []netip.AddrPort) {
	r.seeds = r.seeds[:0]
	for _, s := range seeds {
		s = netip.AddrPortFrom(s.Addr().Unmap(), s.Port())
		if s.IsValid() && s.Port() != 0 && s != r.self.m.Addr && !slices.Contains(r.seeds, s) && len(r.seeds) < 8 {
			r.seeds = append(r.seeds, s)
		}
	}
	r.nextSeed = r.later(now)
}

// SetMeta replaces what this member tells of itself and tells it with a new incarnation; what is equal to the old is not told.
// The caller bounds how often: each call is news to the whole fleet. It returns ErrMember for more than MetaBytes bytes.
func (r *Roster) SetMeta(now time.Duration, meta []byte) error {
	m := r.self.m
	if string(m.Meta) == string(meta) || r.left {
		return nil
	}
	m.Meta = slices.Clone(meta)
	m.Incarnation++
	if err := m.Check(); err != nil {
		return err
	}
	r.change(r.self, r.later(now), m, Alive, r.self.since)
	r.tell(r.self, "")
	return nil
}

// Heard says that other traffic proved a member to be alive just now: that counts as the answer to a probe, and for one period
// no probe is sent to it. It does not end a suspicion, which the suspect alone can refute, but puts off its end.
func (r *Roster) Heard(now time.Duration, name string) {
	if e := r.entries[name]; e != nil && e != r.self {
		r.enter(now)
		r.heard(e, false)
	}
}

// Leave tells that this member goes for good, to as many at once as news is told times. It probes and answers no longer after
// that; Step may be called on for what is left to tell.
func (r *Roster) Leave(now time.Duration) []Send {
	r.enter(now)
	if r.left {
		return nil
	}
	r.left = true
	r.probe, r.pulling, r.relays = nil, nil, nil
	r.change(r.self, r.now, r.self.m, Left, r.now)
	r.tell(r.self, "")
	for _, e := range r.some(r.tells(), nil) {
		r.write(e.m.Addr, head{Kind: tidings}, e, r.self)
	}
	return r.take()
}

// Self is this member as it tells itself now; its generation and incarnation rise.
func (r *Roster) Self() Member { return r.self.m }

// Members are all that are remembered, this one, the dead and those who left included, by name.
func (r *Roster) Members() []Status {
	s := make([]Status, 0, len(r.entries))
	for _, e := range r.entries {
		s = append(s, e.status())
	}
	slices.SortFunc(s, func(a, b Status) int { return strings.Compare(a.Name, b.Name) })
	return s
}

// Live is how many members are alive or suspected, this one included.
func (r *Roster) Live() int { return r.live }

// Full says whether there is no place for another name: of one that is not here, nothing is known then.
func (r *Roster) Full() bool { return len(r.entries) >= r.o.MaxMembers }

// Digest is equal on two members whose views of the live ones are equal, and different but for one chance in 2^32 otherwise.
func (r *Roster) Digest() uint32 { return r.digest }

// Changes are what changed since the last call, oldest first. Up to 16,384 are kept, then the oldest are dropped and counted.
func (r *Roster) Changes() []Change {
	c := r.changes
	r.changes = nil
	return c
}

// Counts are the totals so far.
func (r *Roster) Counts() Counts { return r.counts }
