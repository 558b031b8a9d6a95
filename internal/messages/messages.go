// Package messages defines the CBOR messages that the mesh's programs exchange, and the ports of these programs. A message may
// gain fields; a reader ignores fields that it does not know.
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

// Offsets of the programs' ports within the range of ephemeral ports, on every machine.
const (
	RegistryPort = 0 // registry, RPCs
	StorePort    = 1 // store, RPCs
	InboundPort  = 2 // proxy, requests from other proxies

	RegistryGossipPort = 3 // registry, membership datagrams
	ProxyGossipPort    = 4 // proxy, membership datagrams
)

// Roles of cluster members. Their metadata is a port in 2 bytes: InboundPort of a proxy, RegistryPort of a registry.
const (
	RoleRegistry uint8 = 1
	RoleProxy    uint8 = 2
)

// AddrOnHost returns the address of a program's port on the host of addr, which may lack a port. first is the first of the
// ephemeral ports and place the offset of the port.
func AddrOnHost(addr string, first, place int) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		host = addr
	}
	return net.JoinHostPort(host, strconv.Itoa(first+place))
}

// Kinds of calls, with the types of request and response.
const (
	Prepare       uint8 = 1 + iota // to stores: PrepareCall, consensus.Promise
	Accept                         // AcceptCall, AcceptReply
	Learn                          // LearnCall, AcceptReply
	Watch                          // WatchCall, WatchReply
	Claim                          // ClaimCall, idempotency.Grant
	Release                        // ReleaseCall, nothing
	Recover                        // RecoverCall, RecoverReply: from a voter that lost its disk
	Pull                           // to registries and proxies: PullCall, PullReply
	Report                         // to any program: ReportCall or nothing, ReportReply
	Lease                          // to stores: LeaseCall, LeaseReply
	Ready                          // ReadyCall, ReadyReply: before a voter set change
	ProposeVoters                  // ProposeVotersCall, reconfig.Answer: chooses the next voter set
	AdoptVoters                    // AdoptVotersCall, AdoptVotersReply: announces a chosen voter set
	Handover                       // HandoverCall, HandoverReply: from a new voter
	ChangeVoters                   // to registries: ChangeVotersCall, ChangeVotersReply: from the operator
	LastMark                       // to registries: LastMarkCall, Mark: from a starting store
	SendPage                       // to stores: SendPageCall, AcceptReply: a page of a chosen value
)

type (
	// Voter is a member of the voter set.
	Voter = reconfig.Voter
	// VoterSet lists the voters of an epoch.
	VoterSet = reconfig.VoterSet
)

// PrepareCall asks for the promise to accept no ballot below B.
type PrepareCall struct {
	B     configuration.Ballot `cbor:"1,keyasint"`
	Epoch uint64               `cbor:"2,keyasint"`
	Have  configuration.Ballot `cbor:"3,keyasint"` // ballot up to which the caller holds the chosen value; the voter sends what changed after it
}

// AcceptCall proposes the value of ballot B by its items that changed after ballot Base, up to which the voter holds all items of
// the chosen value.
type AcceptCall struct {
	B       configuration.Ballot `cbor:"1,keyasint"`
	Base    configuration.Ballot `cbor:"2,keyasint"`
	Changes []configuration.Item `cbor:"3,keyasint"`
	Epoch   uint64               `cbor:"4,keyasint"`
}

// AcceptReply answers an AcceptCall, a LearnCall or a SendPageCall.
type AcceptReply struct {
	Origin   consensus.Origin     `cbor:"1,keyasint"`
	OK       bool                 `cbor:"2,keyasint"`
	Promised configuration.Ballot `cbor:"3,keyasint"`
	Accepted configuration.Ballot `cbor:"4,keyasint"` // ballot of the value that the voter has accepted
	Chosen   configuration.Ballot `cbor:"5,keyasint"` // the voter holds all items up to this
}

// SendPageCall sends a page of a chosen value to a voter that missed it.
type SendPageCall struct {
	Page  consensus.Page `cbor:"1,keyasint"`
	Epoch uint64         `cbor:"2,keyasint"`
}

// LearnCall announces that the value of ballot B was chosen.
type LearnCall struct {
	B configuration.Ballot `cbor:"1,keyasint"`
}

// WatchCall asks a store for what was chosen after Have; the answer waits up to HoldMs for a change.
type WatchCall struct {
	Have         configuration.Ballot `cbor:"1,keyasint"`
	HoldMs       uint32               `cbor:"2,keyasint"`
	Epoch        uint64               `cbor:"3,keyasint"`           // of the voter set that the caller knows
	NotifySealed bool                 `cbor:"4,keyasint,omitempty"` // answer at once if the voter is sealed
}

// WatchReply is the part of a store's state that the caller lacks.
type WatchReply struct {
	Origin      consensus.Origin     `cbor:"1,keyasint"` // By is -1 if the store is not a voter
	Promised    configuration.Ballot `cbor:"2,keyasint"`
	Accepted    configuration.Ballot `cbor:"3,keyasint"`
	Chosen      configuration.Ballot `cbor:"4,keyasint"` // the voter holds all items up to this
	Items       []configuration.Item `cbor:"5,keyasint"` // items of the chosen value that changed after From, up to UpTo
	VoterSet    VoterSet             `cbor:"6,keyasint"`
	State       string               `cbor:"7,keyasint"` // serving, repairing, without disk, apart
	Keys        int                  `cbor:"8,keyasint"`
	Sealed      bool                 `cbor:"9,keyasint,omitempty"` // a voter set change is in progress
	Mark        uint64               `cbor:"10,keyasint,omitempty"`
	HeldMs      uint32               `cbor:"14,keyasint,omitempty"` // how long the call was held; the rest of its time is network delay or a suspended process
	From        configuration.Ballot `cbor:"13,keyasint"`           // Have of the call
	UpTo        configuration.Ballot `cbor:"11,keyasint"`           // if this is Chosen, the page is the last
	KnownChosen configuration.Ballot `cbor:"12,keyasint"`           // highest ballot known to be chosen; higher than Chosen while the voter catches up
}

// Page returns the page of the chosen value in the reply.
func (w *WatchReply) Page() consensus.Page {
	return consensus.Page{From: w.From, UpTo: w.UpTo, Target: w.Chosen, Items: w.Items}
}

// Mark is the progress of a voter's disk when the voter last answered as one. A disk that is behind a mark reported from it is
// an older copy.
type Mark struct {
	Epoch       uint64 `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Counter     uint64 `cbor:"3,keyasint"` // incremented on disk, by writes at least a set interval apart
}

// Behind reports whether m is earlier than n.
func (m Mark) Behind(n Mark) bool {
	return cmp.Or(cmp.Compare(m.Epoch, n.Epoch), cmp.Compare(m.Incarnation, n.Incarnation), cmp.Compare(m.Counter, n.Counter)) < 0
}

// LastMarkCall asks for the last mark that a voter reported.
type LastMarkCall struct {
	Addr string `cbor:"1,keyasint"`
}

// ClaimCall claims an idempotency key.
type ClaimCall struct {
	Key   string         `cbor:"1,keyasint"`
	ID    idempotency.ID `cbor:"2,keyasint"`
	Epoch uint64         `cbor:"3,keyasint"`
}

// ReleaseCall releases a claim whose request certainly did not run and never will.
type ReleaseCall struct {
	Key string         `cbor:"1,keyasint"`
	ID  idempotency.ID `cbor:"2,keyasint"`
}

// RecoverCall comes from a voter that lost its disk. Step 1 asks under which incarnation it is known. Step 2 sends its new
// incarnation, which the receiver writes to disk before it answers, and asks for the state, from a key on.
type RecoverCall struct {
	Addr        string `cbor:"1,keyasint"` // its own, as in the voter set
	Incarnation uint64 `cbor:"2,keyasint"` // 0: step 1
	AfterKey    string `cbor:"3,keyasint"` // return claims of keys after this one

	Have configuration.Ballot `cbor:"4,keyasint"` // return items changed after this ballot
}

// RecoverReply answers a RecoverCall. The state comes in parts: first the items of the base, then the rest of the claims. The
// other fields are as of the time of the part.
type RecoverReply struct {
	Origin     consensus.Origin     `cbor:"1,keyasint"`
	Promised   configuration.Ballot `cbor:"2,keyasint"`
	Accepted   configuration.Ballot `cbor:"3,keyasint"`
	Chosen     configuration.Ballot `cbor:"4,keyasint"`
	Items      []configuration.Item `cbor:"5,keyasint"` // items of the base, up to UpTo
	Claims     []ClaimCall          `cbor:"6,keyasint"`
	MoreClaims bool                 `cbor:"7,keyasint"` // more claims follow
	VoterSet   VoterSet             `cbor:"8,keyasint"`
	Inherited  bool                 `cbor:"9,keyasint,omitempty"` // the value was accepted in an earlier epoch
	Seal       *reconfig.Seal       `cbor:"10,keyasint,omitempty"`
	UpTo       configuration.Ballot `cbor:"11,keyasint"` // less than Base: more items follow
	Base       configuration.Ballot `cbor:"12,keyasint"` // ballot of the chosen value, or of the accepted one if the voter holds no complete chosen value
	Delta      []configuration.Item `cbor:"13,keyasint"` // items of the accepted value that changed after Base
}

// ReadyCall asks a store for its state and for the number of its disk, which it writes there if the disk has none yet.
type ReadyCall struct {
	DryRun bool `cbor:"1,keyasint"` // no disk number is needed
}

// ReadyReply answers a ReadyCall.
type ReadyReply struct {
	State  string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
	Disk   uint64 `cbor:"3,keyasint"`           // 0: the store may not become a voter
	Quorum bool   `cbor:"4,keyasint,omitempty"` // the loss of its machine is bounded: it may become a voter without the operator
}

// ProposeVotersCall asks an old voter for a promise, or to accept a successor of its voter set.
type ProposeVotersCall struct {
	Epoch uint64               `cbor:"1,keyasint"` // the epoch that ends
	B     configuration.Ballot `cbor:"2,keyasint"`
	Next  *VoterSet            `cbor:"3,keyasint,omitempty"` // nil: asks for a promise
}

// AdoptVotersCall announces a chosen voter set. A voter in it answers once it is active in the new epoch.
type AdoptVotersCall struct {
	VoterSet VoterSet `cbor:"1,keyasint"`
}

// AdoptVotersReply answers an AdoptVotersCall.
type AdoptVotersReply struct {
	State string `cbor:"1,keyasint"`
	Epoch uint64 `cbor:"2,keyasint"`
}

// HandoverCall is sent by a new voter and asks for the state of the previous epoch.
type HandoverCall struct {
	Epoch    uint64 `cbor:"1,keyasint"` // the epoch that begins
	AfterKey string `cbor:"2,keyasint"` // return claims of keys after this one

	Have configuration.Ballot `cbor:"3,keyasint"` // return items changed after this ballot
}

// HandoverReply answers a HandoverCall, in parts like a RecoverReply.
type HandoverReply struct {
	Handover   reconfig.Handover    `cbor:"1,keyasint"`
	Inherited  bool                 `cbor:"2,keyasint,omitempty"`
	Items      []configuration.Item `cbor:"3,keyasint"` // items of the base, up to UpTo
	Claims     []ClaimCall          `cbor:"4,keyasint"`
	MoreClaims bool                 `cbor:"5,keyasint"` // more claims follow
	UpTo       configuration.Ballot `cbor:"6,keyasint"` // less than Base: more items follow
	Base       configuration.Ballot `cbor:"7,keyasint"`
	Delta      []configuration.Item `cbor:"8,keyasint"` // items of the accepted value that changed after Base
}

// ChangeVotersCall asks a registry for another voter set: a list of all voters, or replacements of some, each by the name of its
// node or an address of its machine.
type ChangeVotersCall struct {
	Voters  []string    `cbor:"1,keyasint,omitempty"`
	Replace [][2]string `cbor:"2,keyasint,omitempty"` // old, new
	DryRun  bool        `cbor:"3,keyasint"`           // only reports what would be done
}

// ChangeVotersReply answers a ChangeVotersCall.
type ChangeVotersReply struct {
	Previous VoterSet `cbor:"1,keyasint"`
	VoterSet VoterSet `cbor:"2,keyasint"` // in force now, or after a dry run, what would be
	Error    string   `cbor:"3,keyasint"` // why the request failed; "": it succeeded, or would
	TookMs   uint32   `cbor:"4,keyasint"`
	Active   int      `cbor:"5,keyasint,omitempty"` // voters known to be active in the new epoch; with fewer than a majority, no removed voter may shut down yet
}

// Registry identifies a registry.
type Registry struct {
	Name string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"` // host:port of its RPCs
	Zone string `cbor:"3,keyasint"`
}

// PullCall asks a registry for changes, and reports the entries of the caller.
type PullCall struct {
	Self             *backends.Backend    `cbor:"1,keyasint,omitempty"` // the calling proxy
	Registry         *Registry            `cbor:"2,keyasint,omitempty"` // the calling registry
	Incarnation      uint64               `cbor:"3,keyasint"`           // the registry's incarnation that Revision belongs to; 0: none
	Revision         uint64               `cbor:"4,keyasint"`           // last table change that the caller has
	Have             configuration.Ballot `cbor:"5,keyasint"`           // ballot of the configuration that the caller has
	Epoch            uint64               `cbor:"6,keyasint"`           // of the voter set that the caller knows
	HoldMs           uint32               `cbor:"8,keyasint"`
	Relayed          []backends.Backend   `cbor:"9,keyasint,omitempty"` // entries of proxies that reach no registry and reported to this caller
	RegistriesDigest uint64               `cbor:"10,keyasint"`          // of the list of registries that the receiver sent last

	Cursor *Cursor `cbor:"11,keyasint,omitempty"` // continues a list of items that this incarnation sent in part
}

// MaxPartBytes bounds the size of the items and backends in one message.
const MaxPartBytes = 256 << 10

// SkipBackends is the Revision of a call that reports entries and asks for none.
const SkipBackends = ^uint64(0)

// RegistriesDigest returns a digest of a list of registries that does not depend on their order. It is never 0.
func RegistriesDigest(registries []Registry) (sum uint64) {
	for _, registry := range registries {
		hash := fnv.New64a()
		for _, s := range []string{registry.Name, registry.Addr, registry.Zone} {
			hash.Write([]byte(s))
			hash.Write([]byte{0})
		}
		sum += hash.Sum64()
	}
	return sum | 1
}

// Never is the age, in milliseconds, of an event that has not happened, such as the FreshMs of a registry that has not heard a
// majority yet.
const Never = 1 << 30

// PullReply answers a PullCall.
type PullReply struct {
	Incarnation      uint64               `cbor:"1,keyasint"`
	Revision         uint64               `cbor:"2,keyasint"` // last table change of this incarnation that Backends includes; the next part continues there
	Backends         []backends.Backend   `cbor:"3,keyasint"` // in the order of changes; each is valid by itself
	Chosen           configuration.Ballot `cbor:"4,keyasint"` // ballot that the items complete; zero if more parts follow
	Items            []configuration.Item `cbor:"5,keyasint"`
	VoterSet         *VoterSet            `cbor:"6,keyasint,omitempty"`
	Registries       []Registry           `cbor:"7,keyasint,omitempty"`
	FreshMs          uint32               `cbor:"8,keyasint"`            // since the registry heard a majority of the voters
	RegistriesDigest uint64               `cbor:"9,keyasint"`            // of the known registries, which are sent if the caller has another list
	HeldMs           uint32               `cbor:"10,keyasint,omitempty"` // as in WatchReply

	Cursor   *Cursor `cbor:"11,keyasint,omitempty"` // more items follow; none may be applied before the last
	Snapshot bool    `cbor:"12,keyasint,omitempty"` // a complete list of items begins here; items not in it are removed

	MoreBackends bool `cbor:"13,keyasint,omitempty"` // more backends follow
	Partial      bool `cbor:"14,keyasint,omitempty"` // the sender may not have all entries yet: a proxy that is not ready must not become ready by this reply
}

// Cursor is the position at which a list of items sent in parts continues.
type Cursor struct {
	Position configuration.Cursor `cbor:"1,keyasint"`
	Since    configuration.Ballot `cbor:"2,keyasint"` // items removed after this ballot are sent as removed
}

// Fill adds the backends of the table and the items of the set that the caller lacks, as many as one message may hold. If both
// are needed, each gets a share. Tombstones of ballots up to purged are no longer in the set, so a caller with an older set, or
// none, is sent all items. Incarnation must be set.
func (r *PullReply) Fill(call PullCall, table *backends.Table, chosen configuration.Ballot, set configuration.Set, purged configuration.Ballot) {
	revision, remaining := call.Revision, MaxPartBytes
	if call.Incarnation != r.Incarnation && revision != SkipBackends { // the revision of another incarnation is meaningless here
		revision = 0
	}
	if call.Have.Less(chosen) {
		remaining /= 2
	}
	r.Backends, r.Revision, r.MoreBackends = table.Page(revision, remaining)
	remaining = MaxPartBytes
	for _, backend := range r.Backends {
		remaining -= backend.MaxEncodedSize()
	}
	r.fillItems(call, chosen, set, purged, remaining)
}

func (r *PullReply) fillItems(call PullCall, chosen configuration.Ballot, set configuration.Set, purged configuration.Ballot, remaining int) {
	if r.Chosen = chosen; !call.Have.Less(chosen) {
		return
	}
	from, since := configuration.CursorAfter(call.Have), call.Have
	if call.Cursor != nil && call.Incarnation == r.Incarnation { // another incarnation may have sent another set
		from, since = call.Cursor.Position, call.Cursor.Since
	}
	if since.IsZero() || since.Less(purged) {
		r.Snapshot, from, since = true, configuration.Cursor{}, chosen
	}
	items, next := set.Page(from, since, remaining)
	if r.Items = items; next != nil { // no ballot is complete before the last part
		r.Cursor, r.Chosen = &Cursor{Position: *next, Since: since}, configuration.Ballot{}
	}
}

// LeaseCall asks a voter for a lease, or releases it.
type LeaseCall struct {
	Name    lease.Name `cbor:"1,keyasint"`
	Holder  uint64     `cbor:"2,keyasint"`
	Release bool       `cbor:"3,keyasint"`
	Epoch   uint64     `cbor:"4,keyasint"`
}

// LeaseReply answers a LeaseCall.
type LeaseReply struct {
	Granted bool `cbor:"1,keyasint"`
}
