// Package messages holds the messages that the mesh's programs send each other, and the places of their ports. A message may
// gain fields; a reader ignores those that it does not know.
package messages

import (
	"cmp"
	"hash/fnv"
	"net"
	"strconv"

	"saltmast/internal/backends"
	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/idempotency"
	"saltmast/internal/lease"
	"saltmast/internal/reconfig"
)

// Places of the programs' own ports within the free range, on every machine.
const (
	HarbourPort = 0 // harbourmaster, calls by signal
	PurserPort  = 1 // purser, calls by signal
	GatePort    = 2 // tug, requests from other tugs

	RosterPort    = 3 // harbourmaster, datagrams of the roster
	RosterTugPort = 4 // tug, the same
)

// Roles of members of the roster. What they tell of themselves is the port, in 2 bytes, of the gate or of the calls by signal.
const (
	RoleHarbour uint8 = 1
	RoleTug     uint8 = 2
)

// Beside is the address of a program's port on the machine of another address. first is the first of the free ports.
func Beside(addr string, first, place int) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		host = addr
	}
	return net.JoinHostPort(host, strconv.Itoa(first+place))
}

// Kinds of calls.
const (
	Prepare  uint8 = 1 + iota // to pursers: PrepareCall, ballot.Promise
	Accept                    // AcceptCall, Accepted
	Learn                     // LearnCall, Accepted
	Watch                     // WatchCall, Watched
	Claim                     // ClaimCall, tally.Grant
	Release                   // ReleaseCall, nothing
	Muster                    // MusterCall, Mustered: from a member that lost its disk
	Pull                      // to harbourmasters: PullCall, News
	Report                    // to any program: nothing, what it knows
	Lease                     // to pursers: LeaseCall, Leased
	Ready                     // ReadyCall, Readied: before a change of the roll
	Succeed                   // SucceedCall, relief.Answer: who counts next
	Relieve                   // RelieveCall, Relieved: a roll that is chosen
	Handover                  // HandoverCall, Handed: from a voter that takes over
	Rolls                     // to harbourmasters: RollsCall, RollsTold: the operator's word
	Known                     // to harbourmasters: KnownCall, Mark: from a purser that begins
	Turn                      // to pursers: TurnCall, Accepted: a page of what was chosen
)

// Voter is a member of those that count, and Roll the list of them.
type (
	Voter = reconfig.Voter
	Roll  = reconfig.Roll
)

// PrepareCall asks for the promise to take no ballot below B.
type PrepareCall struct {
	B     configuration.Ballot `cbor:"1,keyasint"`
	Epoch uint64               `cbor:"2,keyasint"`
	Have  configuration.Ballot `cbor:"3,keyasint"` // chosen, and held whole: the member tells what changed after it
}

// AcceptCall tells the value of ballot B by its items that changed after ballot Base, up to which the member holds all items of
// what was chosen.
type AcceptCall struct {
	B       configuration.Ballot `cbor:"1,keyasint"`
	Base    configuration.Ballot `cbor:"2,keyasint"`
	Changes []configuration.Item `cbor:"3,keyasint"`
	Epoch   uint64               `cbor:"4,keyasint"`
}

// Accepted answers an AcceptCall, a LearnCall or a TurnCall.
type Accepted struct {
	Vouch    consensus.Vouch      `cbor:"1,keyasint"`
	Taken    bool                 `cbor:"2,keyasint"`
	Promised configuration.Ballot `cbor:"3,keyasint"`
	Accepted configuration.Ballot `cbor:"4,keyasint"` // where it was not taken: what stands there
	Chosen   configuration.Ballot `cbor:"5,keyasint"` // it holds all items up to this
}

// TurnCall brings a page of a chosen value to a member that missed it.
type TurnCall struct {
	Page  consensus.Page `cbor:"1,keyasint"`
	Epoch uint64         `cbor:"2,keyasint"`
}

// LearnCall tells that the value of ballot B was chosen.
type LearnCall struct {
	B configuration.Ballot `cbor:"1,keyasint"`
}

// WatchCall asks a purser for what was chosen after Have; the answer waits up to HoldMs for news.
type WatchCall struct {
	Have   configuration.Ballot `cbor:"1,keyasint"`
	HoldMs uint32               `cbor:"2,keyasint"`
	Epoch  uint64               `cbor:"3,keyasint"`           // of the roll that the caller has
	Open   bool                 `cbor:"4,keyasint,omitempty"` // that the member is sealed is news
}

// Watched is a purser's state as far as the caller lacks it.
type Watched struct {
	Vouch    consensus.Vouch      `cbor:"1,keyasint"` // By is -1 where it does not count
	Promised configuration.Ballot `cbor:"2,keyasint"`
	Accepted configuration.Ballot `cbor:"3,keyasint"`
	Chosen   configuration.Ballot `cbor:"4,keyasint"` // it holds all items up to this
	Items    []configuration.Item `cbor:"5,keyasint"` // of the chosen value, that changed after From, up to Upto
	Roll     Roll                 `cbor:"6,keyasint"`
	State    string               `cbor:"7,keyasint"` // serving, repairing, without disk, apart
	Keys     int                  `cbor:"8,keyasint"`
	Shut     bool                 `cbor:"9,keyasint,omitempty"` // sealed: a change of the roll is under way
	Mark     uint64               `cbor:"10,keyasint,omitempty"`
	HeldMs   uint32               `cbor:"14,keyasint,omitempty"` // for so long the call waited here: the rest of its time is the way's, or somebody slept
	From     configuration.Ballot `cbor:"13,keyasint"`           // Have, as it was asked
	Upto     configuration.Ballot `cbor:"11,keyasint"`           // with all up to Chosen, the page is the last
	Known    configuration.Ballot `cbor:"12,keyasint"`           // the highest that it knows to be chosen: higher than Chosen while it catches up
}

// Page is what is told of the chosen value.
func (w *Watched) Page() consensus.Page {
	return consensus.Page{From: w.From, Upto: w.Upto, Target: w.Chosen, Items: w.Items}
}

// Mark is how far a member's disk had come when it spoke as a member. A disk that is behind a mark that it told is an older copy.
type Mark struct {
	Epoch uint64 `cbor:"1,keyasint"`
	Inc   uint64 `cbor:"2,keyasint"`
	N     uint64 `cbor:"3,keyasint"` // counted up on disk, by writes that are some time apart
}

// Behind reports whether m is of an earlier time than n.
func (m Mark) Behind(n Mark) bool {
	return cmp.Or(cmp.Compare(m.Epoch, n.Epoch), cmp.Compare(m.Inc, n.Inc), cmp.Compare(m.N, n.N)) < 0
}

// KnownCall asks for the last mark that a member told.
type KnownCall struct {
	Addr string `cbor:"1,keyasint"`
}

// ClaimCall claims a key.
type ClaimCall struct {
	Key   string         `cbor:"1,keyasint"`
	ID    idempotency.ID `cbor:"2,keyasint"`
	Epoch uint64         `cbor:"3,keyasint"`
}

// ReleaseCall gives a claim back that surely did not run and never will.
type ReleaseCall struct {
	Key string         `cbor:"1,keyasint"`
	ID  idempotency.ID `cbor:"2,keyasint"`
}

// MusterCall comes from a member that lost its disk. Step 1 asks under which incarnation it is known; step 2 tells its new
// one, which is on disk before the answer, and asks for all that is held, from a key on.
type MusterCall struct {
	Addr string `cbor:"1,keyasint"` // its own, as in the roll
	Inc  uint64 `cbor:"2,keyasint"` // 0: step 1
	From string `cbor:"3,keyasint"` // claims of keys after this one

	Have configuration.Ballot `cbor:"4,keyasint"` // items after this ballot
}

// Mustered answers a MusterCall. Its books come in parts: first the items of the base, then the rest of the claims. What is
// told beside is of the moment of the part.
type Mustered struct {
	Vouch    consensus.Vouch      `cbor:"1,keyasint"`
	Promised configuration.Ballot `cbor:"2,keyasint"`
	Accepted configuration.Ballot `cbor:"3,keyasint"`
	Chosen   configuration.Ballot `cbor:"4,keyasint"`
	Items    []configuration.Item `cbor:"5,keyasint"` // of the base, up to Upto
	Claims   []ClaimCall          `cbor:"6,keyasint"`
	More     bool                 `cbor:"7,keyasint"` // claims
	Roll     Roll                 `cbor:"8,keyasint"`
	Former   bool                 `cbor:"9,keyasint,omitempty"` // the value was accepted in a former epoch
	Seal     *reconfig.Seal       `cbor:"10,keyasint,omitempty"`
	Upto     configuration.Ballot `cbor:"11,keyasint"` // less than Base: there are more items
	Base     configuration.Ballot `cbor:"12,keyasint"` // of the chosen value, or of the accepted one where it holds no chosen one whole
	Delta    []configuration.Item `cbor:"13,keyasint"` // of the accepted value, that changed after Base
}

// ReadyCall asks a purser how it stands, and for the number of its disk, which it puts there where it has none yet.
type ReadyCall struct {
	Dry bool `cbor:"1,keyasint"` // no number is wanted
}

// Readied answers a ReadyCall.
type Readied struct {
	State  string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Disk   uint64 `cbor:"3,keyasint"`           // 0: it may not take an office over
	Quorum bool   `cbor:"4,keyasint,omitempty"` // its machine is one whose loss is bounded: it may become a voter with no word of the operator's
}

// SucceedCall asks an old voter for a promise, or to accept a successor of its roll.
type SucceedCall struct {
	Epoch uint64               `cbor:"1,keyasint"` // that ends
	B     configuration.Ballot `cbor:"2,keyasint"`
	Next  *Roll                `cbor:"3,keyasint,omitempty"` // nil: a promise
}

// RelieveCall tells a roll that is chosen. A voter of it answers once it speaks in the new epoch.
type RelieveCall struct {
	Roll Roll `cbor:"1,keyasint"`
}

// Relieved answers a RelieveCall.
type Relieved struct {
	State string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// HandoverCall asks for the books of the epoch before, from a voter that takes over.
type HandoverCall struct {
	Epoch uint64 `cbor:"1,keyasint"` // that begins
	From  string `cbor:"2,keyasint"` // claims of keys after this one

	Have configuration.Ballot `cbor:"3,keyasint"` // items after this ballot
}

// Handed answers a HandoverCall, in parts as a Mustered.
type Handed struct {
	Estate reconfig.Estate      `cbor:"1,keyasint"`
	Former bool                 `cbor:"2,keyasint,omitempty"`
	Items  []configuration.Item `cbor:"3,keyasint"` // of the base, up to Upto
	Claims []ClaimCall          `cbor:"4,keyasint"`
	More   bool                 `cbor:"5,keyasint"` // claims
	Upto   configuration.Ballot `cbor:"6,keyasint"` // less than Base: there are more items
	Base   configuration.Ballot `cbor:"7,keyasint"`
	Delta  []configuration.Item `cbor:"8,keyasint"` // of the accepted value, that changed after Base
}

// RollsCall asks a harbourmaster for another roll: all voters, or some of them replaced, each by the name of its node or by an
// address of its machine.
type RollsCall struct {
	Voters  []string    `cbor:"1,keyasint,omitempty"`
	Replace [][2]string `cbor:"2,keyasint,omitempty"` // old, new
	Dry     bool        `cbor:"3,keyasint"`           // tells what would be done
}

// RollsTold answers a RollsCall.
type RollsTold struct {
	Was    Roll   `cbor:"1,keyasint"`
	Roll   Roll   `cbor:"2,keyasint"` // that is in force, or would be
	Why    string `cbor:"3,keyasint"` // it is not; "": it is, or would be
	TookMs uint32 `cbor:"4,keyasint"`
	Holds  int    `cbor:"5,keyasint,omitempty"` // voters known to hold the books in the new epoch; fewer than a majority: nobody that leaves may go yet
}

// Master is a harbourmaster.
type Master struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"` // host:port of its calls by signal
	Zone string `cbor:"3,keyasint"`
}

// PullCall asks a harbourmaster for news, and tells it what the caller is the source of.
type PullCall struct {
	Self   *backends.Berth      `cbor:"1,keyasint,omitempty"` // of a tug
	Master *Master              `cbor:"2,keyasint,omitempty"` // of a harbourmaster
	Life   uint64               `cbor:"3,keyasint"`           // the harbourmaster's life that At is of; 0: none
	At     uint64               `cbor:"4,keyasint"`           // its last change that the caller has
	Have   configuration.Ballot `cbor:"5,keyasint"`           // of the configuration
	Epoch  uint64               `cbor:"6,keyasint"`           // of the roll
	HoldMs uint32               `cbor:"8,keyasint"`
	Others []backends.Berth     `cbor:"9,keyasint,omitempty"` // of tugs that reach no harbourmaster and told this one
	Sum    uint64               `cbor:"10,keyasint"`          // of the list of harbourmasters that the answerer told last

	Cursor *Cursor `cbor:"11,keyasint,omitempty"` // goes on with items that this life told in part
}

// PartBytes bounds the items and entries of one message.
const PartBytes = 256 << 10

// Tells is the At of a call that tells something and asks for no entries.
const Tells = ^uint64(0)

// Sum tells one list of harbourmasters from another, whatever their order. It is never 0.
func Sum(of []Master) (sum uint64) {
	for _, m := range of {
		h := fnv.New64a()
		for _, s := range []string{m.Name, m.Addr, m.Zone} {
			h.Write([]byte(s))
			h.Write([]byte{0})
		}
		sum += h.Sum64()
	}
	return sum | 1
}

// Never is the FreshMs of a harbourmaster that has not heard a majority yet.
const Never = 1 << 30

// News is what a harbourmaster tells.
type News struct {
	Life    uint64               `cbor:"1,keyasint"`
	At      uint64               `cbor:"2,keyasint"` // the last change of this life that the entries bring; the next part goes on from there
	Berths  []backends.Berth     `cbor:"3,keyasint"` // in the order of changes; each may be used as it comes
	Chosen  configuration.Ballot `cbor:"4,keyasint"` // that the items make whole; zero amid parts
	Items   []configuration.Item `cbor:"5,keyasint"`
	Roll    *Roll                `cbor:"6,keyasint,omitempty"`
	Masters []Master             `cbor:"7,keyasint,omitempty"`
	FreshMs uint32               `cbor:"8,keyasint"`            // since it heard a majority of those that count
	Sum     uint64               `cbor:"9,keyasint"`            // of the list of harbourmasters that it knows, told where the caller has another
	HeldMs  uint32               `cbor:"10,keyasint,omitempty"` // of Watched

	Cursor *Cursor `cbor:"11,keyasint,omitempty"` // there are more items: nothing of them may come into force yet
	Whole  bool    `cbor:"12,keyasint,omitempty"` // items begin here that are all that stand: what isn't among them is gone

	More    bool `cbor:"13,keyasint,omitempty"` // there are more entries
	Partial bool `cbor:"14,keyasint,omitempty"` // the teller hasn't been told all entries itself yet: who is not ready does not become so by this
}

// Cursor is where items that are told in parts go on.
type Cursor struct {
	Place configuration.Cursor `cbor:"1,keyasint"`
	Since configuration.Ballot `cbor:"2,keyasint"` // what was removed after this ballot is told as removed
}

// Tell tells what the caller lacks of the table's entries and of the set's items, as much as one message may hold. While both
// are wanted, neither keeps the other waiting. bare: tombstones of ballots up to that are no more in the set, so that whoever
// has only what is older, or nothing, is told all that stands. n names the teller's life.
func (n *News) Tell(m PullCall, table *backends.Table, chosen configuration.Ballot, stands configuration.Set, bare configuration.Ballot) {
	at, room := m.At, PartBytes
	if m.Life != n.Life && at != Tells { // what another life counted tells nothing here
		at = 0
	}
	if m.Have.Less(chosen) {
		room /= 2
	}
	n.Berths, n.At, n.More = table.Part(at, room)
	room = PartBytes
	for _, b := range n.Berths {
		room -= b.Size()
	}
	n.tellItems(m, chosen, stands, bare, room)
}

func (n *News) tellItems(m PullCall, chosen configuration.Ballot, stands configuration.Set, bare configuration.Ballot, room int) {
	if n.Chosen = chosen; !m.Have.Less(chosen) {
		return
	}
	from, since := configuration.CursorAfter(m.Have), m.Have
	if m.Cursor != nil && m.Life == n.Life { // another life may have told of another set
		from, since = m.Cursor.Place, m.Cursor.Since
	}
	if since.IsZero() || since.Less(bare) {
		n.Whole, from, since = true, configuration.Cursor{}, chosen
	}
	items, next := stands.Page(from, since, room)
	if n.Items = items; next != nil { // parts make no ballot yet
		n.Cursor, n.Chosen = &Cursor{Place: *next, Since: since}, configuration.Ballot{}
	}
}

// LeaseCall asks a member for a duty, or gives it back.
type LeaseCall struct {
	Duty  lease.Name `cbor:"1,keyasint"`
	By    uint64     `cbor:"2,keyasint"`
	Give  bool       `cbor:"3,keyasint"`
	Epoch uint64     `cbor:"4,keyasint"`
}

// Leased answers a LeaseCall.
type Leased struct {
	Given bool `cbor:"1,keyasint"`
}
