package messages

import (
	"cmp"
	"hash/fnv"
	"slices"

	"saltmast/internal/backends"
	"saltmast/internal/configuration"
	"saltmast/internal/rpc"
)

// Names of the programs.
const (
	ProgramProxy    = "tug"
	ProgramRegistry = "harbourmaster"
	ProgramStore    = "purser"
)

// ReportCall asks a program for a report of its state. An empty body is the same as an empty call.
type ReportCall struct {
	Brief bool `cbor:"1,keyasint"` // omit the list of backends; their number and digest remain
}

// ReportReply is a report of a program's state, of at most about a quarter of a MiB. Lists that exceed their share of that are
// truncated, and the number of omitted entries is given.
type ReportReply struct {
	Program     string `cbor:"1,keyasint"`
	Version     string `cbor:"2,keyasint"` // of the program
	Node        string `cbor:"3,keyasint"` // empty for a store, which does not know its node
	Zone        string `cbor:"4,keyasint"`
	Addr        string `cbor:"5,keyasint"` // host:port at which the report was requested
	Incarnation uint64 `cbor:"6,keyasint"`
	UpMs        uint64 `cbor:"7,keyasint"`

	Chosen          configuration.Ballot `cbor:"8,keyasint"`
	Epoch           uint64               `cbor:"9,keyasint"`
	Voters          []Voter              `cbor:"10,keyasint,omitempty"`
	Items           []ItemReport         `cbor:"11,keyasint,omitempty"` // sorted by key
	ItemsOmitted    int                  `cbor:"12,keyasint,omitempty"`
	Backends        []BackendReport      `cbor:"13,keyasint,omitempty"` // sorted by node
	BackendsOmitted int                  `cbor:"14,keyasint,omitempty"`
	BackendsTotal   int                  `cbor:"15,keyasint,omitempty"`
	BackendsDigest  uint64               `cbor:"16,keyasint,omitempty"` // digest of all backends; equal digests mean equal tables
	Counts          map[string]int64     `cbor:"17,keyasint,omitempty"`

	Proxy    *ProxyReport    `cbor:"18,keyasint,omitempty"`
	Registry *RegistryReport `cbor:"19,keyasint,omitempty"`
	Store    *StoreReport    `cbor:"20,keyasint,omitempty"`

	Traffic []rpc.Traffic `cbor:"21,keyasint,omitempty"` // of the whole process, by kind of call
}

// ItemReport is an item of the configuration without its content.
type ItemReport struct {
	Key     configuration.Key     `cbor:"1,keyasint"`
	Version configuration.Version `cbor:"2,keyasint"`
	Dropped bool                  `cbor:"3,keyasint,omitempty"`
}

// BackendReport is an entry of the backend table, as a program knows it.
type BackendReport struct {
	Node        string         `cbor:"1,keyasint"`
	Addr        string         `cbor:"2,keyasint"`
	Zone        string         `cbor:"3,keyasint,omitempty"`
	Version     uint64         `cbor:"4,keyasint"`
	Incarnation uint64         `cbor:"5,keyasint"`
	Instance    string         `cbor:"6,keyasint,omitempty"`
	Service     string         `cbor:"7,keyasint,omitempty"`
	Capacity    int            `cbor:"8,keyasint,omitempty"`
	State       backends.State `cbor:"9,keyasint,omitempty"`

	InFlight int     `cbor:"10,keyasint,omitempty"` // the proxy's own attempts at this backend
	AvoidMs  uint32  `cbor:"11,keyasint,omitempty"` // remaining time for which it is tried last, after it could not be reached
	Load     float32 `cbor:"12,keyasint,omitempty"` // last load reported by its proxy, as a fraction of its capacity
}

// KeyCounts holds the number of idempotency keys in each state in one table, and the size of the stored responses.
type KeyCounts struct {
	InProgress int `cbor:"1,keyasint"`
	Done       int `cbor:"2,keyasint"`
	Unknown    int `cbor:"3,keyasint"`
	Void       int `cbor:"4,keyasint"`
	Bytes      int `cbor:"5,keyasint"`
}

// ProxyReport is the part of a report that only proxies have.
type ProxyReport struct {
	Ready        bool               `cbor:"1,keyasint"`
	RegistryAddr string             `cbor:"2,keyasint,omitempty"` // address of the registry that it pulls from
	RegistryMs   uint32             `cbor:"3,keyasint"`           // since that registry last answered; Never: none did
	FreshMs      uint32             `cbor:"4,keyasint"`           // how long before that answer the registry had heard a majority
	RetryTokens  float64            `cbor:"5,keyasint"`           // in the token bucket for retries
	RetryBudgets map[string]float64 `cbor:"6,keyasint,omitempty"` // attempts beyond the first that are currently allowed, by service
	Omitted      int                `cbor:"7,keyasint,omitempty"` // services omitted from RetryBudgets
	OwnKeys      KeyCounts          `cbor:"8,keyasint"`           // keys of requests received from clients here
	ExecutedKeys KeyCounts          `cbor:"9,keyasint"`           // keys of requests sent to the backend here
	Running      int                `cbor:"10,keyasint"`          // requests at the local backend
	Waiting      int                `cbor:"11,keyasint"`          // requests queued for it
	Stopping     bool               `cbor:"12,keyasint,omitempty"`
}

// RegistryReport is the part of a report that only registries have.
type RegistryReport struct {
	Registries      []Registry `cbor:"1,keyasint"`           // known registries, including itself
	FreshMs         uint32     `cbor:"2,keyasint"`           // since a majority of the voters was heard
	ServingMs       []uint32   `cbor:"3,keyasint"`           // since each voter answered as serving, by voter
	Pullers         []string   `cbor:"4,keyasint,omitempty"` // nodes with a waiting pull
	Omitted         int        `cbor:"5,keyasint,omitempty"` // nodes omitted from Pullers
	HoldsTeachLease bool       `cbor:"6,keyasint,omitempty"` // it holds the teach lease
	// AnsweredMs is the time since each voter answered in any state, by voter.
	AnsweredMs []uint32 `cbor:"7,keyasint,omitempty"`
}

// StoreReport is the part of a report that only stores have.
type StoreReport struct {
	State        string               `cbor:"1,keyasint"`
	StallMs      uint32               `cbor:"2,keyasint"` // how long its disk has not finished a write
	VoterIndex   int                  `cbor:"3,keyasint"` // index in the voter set; -1: not a voter
	Incarnations []uint64             `cbor:"4,keyasint"` // incarnations of the voters, by voter
	Promised     configuration.Ballot `cbor:"5,keyasint"`
	Accepted     configuration.Ballot `cbor:"6,keyasint"`
	Keys         int                  `cbor:"7,keyasint"`
	Leases       []LeaseReport        `cbor:"8,keyasint,omitempty"`
}

// LeaseReport is a lease that a voter has granted.
type LeaseReport struct {
	Name   string `cbor:"1,keyasint"`
	Holder uint64 `cbor:"2,keyasint"` // incarnation of the holder
	LeftMs uint32 `cbor:"3,keyasint"`
}

// Shares of a report, in bytes.
const (
	maxItemBytes    = 64 << 10
	maxBackendBytes = 144 << 10
	maxPullerBytes  = 16 << 10
	maxBudgetBytes  = 8 << 10
)

// SetItems sets the items of the configuration, sorted and truncated. It sorts all.
func (r *ReportReply) SetItems(all []ItemReport) {
	slices.SortFunc(all, func(a, b ItemReport) int {
		return cmp.Or(cmp.Compare(a.Key.Kind, b.Key.Kind), cmp.Compare(a.Key.Name, b.Key.Name))
	})
	r.Items, r.ItemsOmitted = truncate(all, maxItemBytes, func(i ItemReport) int { return 24 + len(i.Key.Name) })
}

// SetBackends sets the number and digest of all entries of the backend table, and unless brief, the entries, sorted and
// truncated. It sorts all.
func (r *ReportReply) SetBackends(all []BackendReport, brief bool) {
	slices.SortFunc(all, func(a, b BackendReport) int { return cmp.Compare(a.Node, b.Node) })
	r.BackendsTotal, r.BackendsDigest = len(all), backendsDigest(all)
	if !brief {
		r.Backends, r.BackendsOmitted = truncate(all, maxBackendBytes, func(b BackendReport) int {
			return 56 + len(b.Node) + len(b.Addr) + len(b.Zone) + len(b.Instance) + len(b.Service)
		})
	}
}

// SetPullers sets the nodes with a waiting pull, sorted and truncated. It sorts all.
func (r *RegistryReport) SetPullers(all []string) {
	slices.Sort(all)
	r.Pullers, r.Omitted = truncate(slices.Compact(all), maxPullerBytes, func(s string) int { return 3 + len(s) })
}

// SetRetryBudgets sets the remaining retry budget of each service, truncated in the order of names.
func (r *ProxyReport) SetRetryBudgets(all map[string]float64) {
	names := make([]string, 0, len(all))
	for s := range all {
		names = append(names, s)
	}
	slices.Sort(names)
	names, r.Omitted = truncate(names, maxBudgetBytes, func(s string) int { return 12 + len(s) })
	r.RetryBudgets = make(map[string]float64, len(names))
	for _, s := range names {
		r.RetryBudgets[s] = all[s]
	}
}

// NewBackendReport returns the report of a backend table entry.
func NewBackendReport(b backends.Backend) BackendReport {
	return BackendReport{Node: b.Node, Addr: b.Addr, Zone: b.Zone, Version: b.Version, Incarnation: b.Incarnation, Instance: b.Instance, Service: b.Service,
		Capacity: b.Capacity, State: b.State}
}

// NewItemReports returns the reports of the items of a set, without the internal records of refusals.
func NewItemReports(s configuration.Set) []ItemReport {
	out := make([]ItemReport, 0, s.Len())
	for i := range s.All() {
		if i.Key.Kind == configuration.Refusals {
			continue
		}
		out = append(out, ItemReport{Key: i.Key, Version: i.Version, Dropped: i.Deleted})
	}
	return out
}

// truncate returns the longest prefix of a list that fits into maxBytes, and the number of omitted entries.
func truncate[T any](all []T, maxBytes int, size func(T) int) (kept []T, omitted int) {
	for i, x := range all {
		if maxBytes -= size(x); maxBytes < 0 {
			return all[:i], len(all) - i
		}
	}
	return all, 0
}

// backendsDigest returns a digest of the node, version and incarnation of each entry.
func backendsDigest(all []BackendReport) uint64 {
	h := fnv.New64a()
	var b []byte
	for _, x := range all {
		b = append(b[:0], x.Node...)
		for _, n := range [...]uint64{x.Version, x.Incarnation} {
			for s := 0; s < 64; s += 8 {
				b = append(b, byte(n>>s))
			}
		}
		h.Write(b)
	}
	return h.Sum64()
}
