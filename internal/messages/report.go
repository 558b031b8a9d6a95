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
	TheTug     = "tug"
	TheHarbour = "harbourmaster"
	ThePurser  = "purser"
)

// ReportCall asks a program what it knows. Nothing at all asks the same as an empty one.
type ReportCall struct {
	Brief bool `cbor:"1,keyasint"` // without the list of berths: their number and digest do
}

// Reported is what a program knows: an answer of at most about a quarter of a MiB. Lists that are longer than their part of
// that are cut, and the number of what was left out stands beside them.
type Reported struct {
	Program string `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"` // of the program
	Node    string `cbor:"3,keyasint"` // a purser does not know its own
	Zone    string `cbor:"4,keyasint"`
	Addr    string `cbor:"5,keyasint"` // host:port where it was asked
	Life    uint64 `cbor:"6,keyasint"`
	UpMs    uint64 `cbor:"7,keyasint"`

	Chosen     configuration.Ballot `cbor:"8,keyasint"`
	Epoch      uint64               `cbor:"9,keyasint"`
	Voters     []Voter              `cbor:"10,keyasint,omitempty"`
	Items      []ItemReport         `cbor:"11,keyasint,omitempty"` // in the order of their keys
	ItemsLeft  int                  `cbor:"12,keyasint,omitempty"`
	Berths     []BerthReport        `cbor:"13,keyasint,omitempty"` // in the order of nodes
	BerthsLeft int                  `cbor:"14,keyasint,omitempty"`
	BerthsAll  int                  `cbor:"15,keyasint,omitempty"`
	BerthsSum  uint64               `cbor:"16,keyasint,omitempty"` // digest of all of them: who tells the same knows the same
	Counts     map[string]int64     `cbor:"17,keyasint,omitempty"`

	Tug     *TugReport     `cbor:"18,keyasint,omitempty"`
	Harbour *HarbourReport `cbor:"19,keyasint,omitempty"`
	Purser  *PurserReport  `cbor:"20,keyasint,omitempty"`

	Traffic []rpc.Traffic `cbor:"21,keyasint,omitempty"` // of the whole process, by kind of call
}

// ItemReport is an item of the configuration without its content.
type ItemReport struct {
	Key     configuration.Key     `cbor:"1,keyasint"`
	Version configuration.Version `cbor:"2,keyasint"`
	Dropped bool                  `cbor:"3,keyasint,omitempty"`
}

// BerthReport is an entry of the table of berths, as a program knows it.
type BerthReport struct {
	Node     string         `cbor:"1,keyasint"`
	Addr     string         `cbor:"2,keyasint"`
	Zone     string         `cbor:"3,keyasint,omitempty"`
	Version  uint64         `cbor:"4,keyasint"`
	Life     uint64         `cbor:"5,keyasint"`
	Instance string         `cbor:"6,keyasint,omitempty"`
	Service  string         `cbor:"7,keyasint,omitempty"`
	Capacity int            `cbor:"8,keyasint,omitempty"`
	State    backends.State `cbor:"9,keyasint,omitempty"`

	InFlight int     `cbor:"10,keyasint,omitempty"` // a tug's own attempts there
	AwayMs   uint32  `cbor:"11,keyasint,omitempty"` // for so long it is tried last: it could not be reached
	Load     float32 `cbor:"12,keyasint,omitempty"` // as its gate told last, of its capacity
}

// Book is how many keys stand in which state in one book, and what the answers that are kept take.
type Book struct {
	AtWork  int `cbor:"1,keyasint"`
	Done    int `cbor:"2,keyasint"`
	Unknown int `cbor:"3,keyasint"`
	Void    int `cbor:"4,keyasint"`
	Bytes   int `cbor:"5,keyasint"`
}

// TugReport is a tug's own part.
type TugReport struct {
	Ready    bool               `cbor:"1,keyasint"`
	From     string             `cbor:"2,keyasint,omitempty"` // address of the harbourmaster that it pulls from
	FromMs   uint32             `cbor:"3,keyasint"`           // since that answered last; Never: none did
	FreshMs  uint32             `cbor:"4,keyasint"`           // how long before its answer that had heard a majority
	Tokens   float64            `cbor:"5,keyasint"`           // in the bucket of retries
	Rations  map[string]float64 `cbor:"6,keyasint,omitempty"` // arrivals beyond the first that are left now, by service
	Left     int                `cbor:"7,keyasint,omitempty"` // services that were left out
	Begun    Book               `cbor:"8,keyasint"`           // keys of requests that began here
	Ran      Book               `cbor:"9,keyasint"`           // keys of requests that came to the backend here
	Running  int                `cbor:"10,keyasint"`          // requests at the backend here
	Waiting  int                `cbor:"11,keyasint"`          // and before it
	Stopping bool               `cbor:"12,keyasint,omitempty"`
}

// HarbourReport is a harbourmaster's own part.
type HarbourReport struct {
	Masters []Master `cbor:"1,keyasint"`           // that it knows, itself among them
	FreshMs uint32   `cbor:"2,keyasint"`           // since it heard a majority
	HeardMs []uint32 `cbor:"3,keyasint"`           // since it heard each voter, by place
	Pullers []string `cbor:"4,keyasint,omitempty"` // who waits for news now, by node
	Left    int      `cbor:"5,keyasint,omitempty"` // pullers that were left out
	Teaches bool     `cbor:"6,keyasint,omitempty"` // it holds that duty
	// AnsweredMs is the time since each voter answered at all, by place, however it stood.
	AnsweredMs []uint32 `cbor:"7,keyasint,omitempty"`
}

// PurserReport is a purser's own part.
type PurserReport struct {
	State    string               `cbor:"1,keyasint"`
	StallMs  uint32               `cbor:"2,keyasint"` // for so long its disk has not finished a write
	Place    int                  `cbor:"3,keyasint"` // in the roll; -1: none
	Incs     []uint64             `cbor:"4,keyasint"` // incarnations of the voters, by place
	Promised configuration.Ballot `cbor:"5,keyasint"`
	Accepted configuration.Ballot `cbor:"6,keyasint"`
	Keys     int                  `cbor:"7,keyasint"`
	Duties   []DutyReport         `cbor:"8,keyasint,omitempty"`
}

// DutyReport is a duty that a member has granted.
type DutyReport struct {
	Duty   string `cbor:"1,keyasint"`
	By     uint64 `cbor:"2,keyasint"` // its holder's life
	LeftMs uint32 `cbor:"3,keyasint"`
}

// Parts of an answer, in bytes.
const (
	itemBytes   = 64 << 10
	berthBytes  = 144 << 10
	pullerBytes = 16 << 10
	rationBytes = 8 << 10
)

// SetItems takes the items of a configuration.
func (r *Reported) SetItems(all []ItemReport) {
	slices.SortFunc(all, func(a, b ItemReport) int {
		return cmp.Or(cmp.Compare(a.Key.Kind, b.Key.Kind), cmp.Compare(a.Key.Name, b.Key.Name))
	})
	r.Items, r.ItemsLeft = fit(all, itemBytes, func(i ItemReport) int { return 24 + len(i.Key.Name) })
}

// SetBerths takes the entries of a table, all of it; where they are to be brief, it keeps none of them.
func (r *Reported) SetBerths(all []BerthReport, brief bool) {
	slices.SortFunc(all, func(a, b BerthReport) int { return cmp.Compare(a.Node, b.Node) })
	r.BerthsAll, r.BerthsSum = len(all), digest(all)
	if !brief {
		r.Berths, r.BerthsLeft = fit(all, berthBytes, func(b BerthReport) int {
			return 56 + len(b.Node) + len(b.Addr) + len(b.Zone) + len(b.Instance) + len(b.Service)
		})
	}
}

// SetPullers takes who pulls.
func (r *HarbourReport) SetPullers(all []string) {
	slices.Sort(all)
	r.Pullers, r.Left = fit(slices.Compact(all), pullerBytes, func(s string) int { return 3 + len(s) })
}

// SetRations takes what is left of each service's ration.
func (r *TugReport) SetRations(all map[string]float64) {
	names := make([]string, 0, len(all))
	for s := range all {
		names = append(names, s)
	}
	slices.Sort(names)
	names, r.Left = fit(names, rationBytes, func(s string) int { return 12 + len(s) })
	r.Rations = make(map[string]float64, len(names))
	for _, s := range names {
		r.Rations[s] = all[s]
	}
}

// Reports makes the report of an entry.
func Reports(b backends.Berth) BerthReport {
	return BerthReport{Node: b.Node, Addr: b.Addr, Zone: b.Zone, Version: b.Version, Life: b.Life, Instance: b.Instance, Service: b.Service,
		Capacity: b.Capacity, State: b.State}
}

// ItemReports are those of a set, without what the register keeps for itself.
func ItemReports(s configuration.Set) []ItemReport {
	out := make([]ItemReport, 0, s.Len())
	for i := range s.All() {
		if i.Key.Kind == configuration.Refusals {
			continue
		}
		out = append(out, ItemReport{Key: i.Key, Version: i.Version, Dropped: i.Deleted})
	}
	return out
}

// fit keeps the first of a list that take no more than so many bytes, and tells how many it left out.
func fit[T any](all []T, bytes int, size func(T) int) (kept []T, left int) {
	for i, x := range all {
		if bytes -= size(x); bytes < 0 {
			return all[:i], len(all) - i
		}
	}
	return all, 0
}

// digest is over what the source of each entry told.
func digest(all []BerthReport) uint64 {
	h := fnv.New64a()
	var b []byte
	for _, x := range all {
		b = append(b[:0], x.Node...)
		for _, n := range [...]uint64{x.Version, x.Life} {
			for s := 0; s < 64; s += 8 {
				b = append(b, byte(n>>s))
			}
		}
		h.Write(b)
	}
	return h.Sum64()
}
