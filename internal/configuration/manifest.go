// Package configuration holds the operator's configuration: named items, each with a version of its own. Copies of it are joined
// item by item, in any order, and any of them can be read as a Chart. The package is pure: it opens, starts and waits for
// nothing.
package configuration

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Kind tells what an item configures.
type Kind uint8

// The kinds, in the order in which they are laid out.
const (
	Routes Kind = iota
	Services
	Limits // a single item

	// Refusals is no kind that an operator sends: its one item, which never stands, remembers the calls refused last, each
	// by a number and its digest.
	Refusals Kind = 255
)

var kinds = [...]string{Routes: "routes", Services: "services", Limits: "limits"}

func (k Kind) String() string {
	if int(k) < len(kinds) {
		return kinds[k]
	}
	if k == Refusals {
		return "refusals"
	}
	return "kind " + strconv.Itoa(int(k))
}

// Version of an item. It goes up with each change; there may be gaps.
type Version uint64

// ParseVersion reads a version as it is written on the wire: r12.
func ParseVersion(s string) (Version, error) {
	if len(s) > 1 && s[0] == 'r' && s[1] != '+' {
		if n, err := strconv.ParseUint(s[1:], 10, 64); err == nil {
			return Version(n), nil
		}
	}
	return 0, fmt.Errorf("%s is no version such as r12", quoted(s))
}

func (v Version) String() string { return "r" + strconv.FormatUint(uint64(v), 10) }

// Ballot orders two contents that were sent with one version: by N, then by who gave it.
type Ballot struct {
	_  struct{} `cbor:",toarray"`
	N  uint64
	By uint32
}

// Less reports whether b comes before o.
func (b Ballot) Less(o Ballot) bool { return b.compare(o) < 0 }

// IsZero reports whether no ballot was held.
func (b Ballot) IsZero() bool { return b == Ballot{} }

func (b Ballot) compare(o Ballot) int { return cmp.Or(cmp.Compare(b.N, o.N), cmp.Compare(b.By, o.By)) }

// Key names an item. The name of Limits is empty.
type Key struct {
	Kind Kind   `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint,omitempty"`
}

func (k Key) String() string {
	if k.Kind == Limits || k.Kind == Refusals {
		return k.Kind.String()
	}
	return k.Kind.String() + " " + quoted(k.Name)
}

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), cmp.Compare(k.Name, o.Name))
}

// Item is one version of what a key stands for. Its Spec is not to be changed.
type Item struct {
	Key     Key     `cbor:"1,keyasint"`
	Version Version `cbor:"2,keyasint"`
	Ballot  Ballot  `cbor:"3,keyasint"`
	Dropped bool    `cbor:"4,keyasint,omitempty"` // a tombstone: the item is removed since that version
	Spec    []byte  `cbor:"5,keyasint,omitempty"` // the JSON object as it was sent, without spaces; nil when dropped
	Past    []Taken `cbor:"6,keyasint,omitempty"` // numbers below Version that were acknowledged, the highest first
}

// compare orders the contents that one key may have. What stands comes after what is dropped.
func (i Item) compare(o Item) int {
	c := cmp.Or(cmp.Compare(i.Version, o.Version), i.Ballot.compare(o.Ballot))
	if c == 0 && i.Dropped != o.Dropped {
		c = 1
		if i.Dropped {
			c = -1
		}
	}
	return cmp.Or(c, bytes.Compare(i.Spec, o.Spec))
}

// Encode lays out all items that stand as a JSON object with one list, in the order of kinds and names.
func (s Set) Encode() []byte {
	size := 64
	for i := range s.All() {
		size += 128 + len(i.Key.Name) + len(i.Spec)
	}
	out := append(make([]byte, 0, size), `{"resources":[`...)
	for i := range s.All() {
		if i.Dropped {
			continue
		}
		if out[len(out)-1] != '[' {
			out = append(out, ',')
		}
		out = append(append(append(out, `{"resource-kind":"`...), i.Key.Kind.String()...), `","metadata":{`...)
		if i.Key.Kind != Limits {
			out = append(append(append(out, `"name":`...), text(i.Key.Name)...), ',')
		}
		out = append(append(append(out, `"version":"`...), i.Version.String()...), `"},"specification":`...)
		out = append(append(out, i.Spec...), '}')
	}
	return append(out, "]}"...)
}

// text is s as JSON, with < and the like as they are.
func text(s string) []byte {
	if !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r > '~' || r == '"' || r == '\\' }) {
		return append(append(append(make([]byte, 0, 2+len(s)), '"'), s...), '"')
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.Encode(s) // a string never fails
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}

// Invalid is why a configuration can't be taken, in one line.
type Invalid struct{ Where, Why string }

func (e *Invalid) Error() string { return e.Where + ": " + e.Why }

func invalid(where, format string, args ...any) error {
	return &Invalid{Where: where, Why: fmt.Sprintf(format, args...)}
}

// quoted is s for a line of an error, cut to about 40 bytes.
func quoted(s string) string {
	if len(s) > 40 {
		s = s[:37] + "..."
	}
	return strconv.Quote(s)
}

// Call is what one call of the operator asks for: items to set and tombstones, one for each key, with ballots of zero.
type Call struct {
	Items []Item
	lower []Item // of names that came with several versions: those that don't count, and are acknowledged all the same
}

// DecodeCall reads the body of a call. Items keep the order in which their names first came; of a name that comes with several
// versions the highest counts, and remembers the others. An error is an *Invalid. What the specifications say is not looked at, see Check.
func DecodeCall(body []byte) (Call, error) {
	type metadata struct{ Name, Version string }
	var b struct {
		Upsert struct {
			Resources []struct {
				Kind     string `json:"resource-kind"`
				Metadata metadata
				Spec     json.RawMessage `json:"specification"`
			}
		}
		Remove map[string][]metadata
	}
	if !utf8.Valid(body) {
		return Call{}, invalid("call", "no UTF-8 text")
	}
	if err := json.Unmarshal(body, &b); err != nil {
		return Call{}, invalid("call", "%s", plain(err))
	}
	if body[bytes.IndexFunc(body, func(r rune) bool { return r > ' ' })] != '{' {
		return Call{}, invalid("call", "no JSON object")
	}
	var c Call
	at := map[Key]int{}
	add := func(kind string, m metadata, i Item) error {
		n := slices.Index(kinds[:], kind)
		if n < 0 {
			return invalid("call", "%s is none of routes, services, limits", quoted(kind))
		}
		i.Key = Key{Kind: Kind(n), Name: m.Name}
		if i.Key.Kind == Limits {
			i.Key.Name = ""
		} else if m.Name == "" {
			return invalid(kind, "an item without a name")
		}
		var err error
		if i.Version, err = ParseVersion(m.Version); err != nil {
			return invalid(i.Key.String(), "%s", err)
		}
		if !i.Dropped && i.Spec == nil {
			return invalid(i.Key.String(), "its specification is no JSON object")
		}
		n, again := at[i.Key]
		switch {
		case !again:
			at[i.Key] = len(c.Items)
			c.Items = append(c.Items, i)
		default:
			high, low := c.Items[n], i
			if i.Version > high.Version {
				high, low = i, high
				high.Past = low.Past
			}
			low.Past = nil
			known := high.Knows(low.Taken())
			if known == Unheard {
				high, _ = high.Remember(low.Taken())
				c.lower = append(c.lower, low)
			}
			c.Items[n] = high
			switch known {
			case Against:
				return invalid(i.Key.String(), "two contents at %s", i.Version)
			case Overtime:
				return invalid(i.Key.String(), "over %d versions in one call", MaxPast)
			}
		}
		return nil
	}
	for _, r := range b.Upsert.Resources {
		if err := add(r.Kind, r.Metadata, Item{Spec: compact(r.Spec)}); err != nil {
			return Call{}, err
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(b.Remove)) {
		for _, m := range b.Remove[kind] {
			if err := add(kind, m, Item{Dropped: true}); err != nil {
				return Call{}, err
			}
		}
	}
	return c, nil
}

// plain tells of a reading that failed in words of the data.
func plain(err error) string {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return strings.TrimPrefix(fmt.Sprintf("%s: can't read the %.40s there", strings.ToLower(t.Field), t.Value), ": ")
	}
	return err.Error()
}

// compact is an object without its spaces; nil: it is no object.
func compact(raw []byte) []byte {
	var b bytes.Buffer
	if len(raw) == 0 || raw[0] != '{' || json.Compact(&b, raw) != nil {
		return nil
	}
	return b.Bytes()
}
