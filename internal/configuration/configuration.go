// Package configuration implements the operator's configuration as a set of named items, each with its own version. Replicas
// are merged item by item, in any order (a join), and a RoutingTable can be built from any of them. The package does no I/O,
// starts no goroutines and never blocks.
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

// Kind is the type of resource that an item configures.
type Kind uint8

// The kinds, in the order in which they are encoded.
const (
	Routes Kind = iota
	Services
	Limits // there is a single item of this kind

	// Refusals is internal and never sent by an operator. Its single item, always a tombstone, records the most recently
	// rejected calls, each as a number and a digest.
	Refusals Kind = 255
)

var kindNames = [...]string{Routes: "routes", Services: "services", Limits: "limits"}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	if k == Refusals {
		return "refusals"
	}
	return "kind " + strconv.Itoa(int(k))
}

// Version is the version number of an item. It increases with each change; there may be gaps.
type Version uint64

// ParseVersion parses a version in its wire format, for example r12.
func ParseVersion(s string) (Version, error) {
	if len(s) > 1 && s[0] == 'r' && s[1] != '+' {
		if n, err := strconv.ParseUint(s[1:], 10, 64); err == nil {
			return Version(n), nil
		}
	}
	return 0, fmt.Errorf("%s is no version such as r12", quoted(s))
}

func (v Version) String() string { return "r" + strconv.FormatUint(uint64(v), 10) }

// Ballot is the consensus ballot under which an item was written. It orders contents with equal versions, by N and then by
// Proposer.
type Ballot struct {
	_        struct{} `cbor:",toarray"`
	N        uint64
	Proposer uint32
}

// Less reports whether b comes before o.
func (b Ballot) Less(o Ballot) bool { return b.compare(o) < 0 }

// IsZero reports whether b is the zero ballot, which stands for no ballot.
func (b Ballot) IsZero() bool { return b == Ballot{} }

func (b Ballot) compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.N, o.N), cmp.Compare(b.Proposer, o.Proposer))
}

// Key identifies an item. The name is empty for Limits.
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

// Item is one version of a resource. Its Spec must not be modified.
type Item struct {
	Key          Key             `cbor:"1,keyasint"`
	Version      Version         `cbor:"2,keyasint"`
	Ballot       Ballot          `cbor:"3,keyasint"`
	Deleted      bool            `cbor:"4,keyasint,omitempty"` // a tombstone: the item was removed at this version
	Spec         []byte          `cbor:"5,keyasint,omitempty"` // the JSON object as sent, without insignificant whitespace; nil for a tombstone
	PastVersions []VersionDigest `cbor:"6,keyasint,omitempty"` // acknowledged versions below Version, highest first
}

// compare orders the items that may exist under one key. A live item comes after a tombstone.
func (i Item) compare(o Item) int {
	c := cmp.Or(cmp.Compare(i.Version, o.Version), i.Ballot.compare(o.Ballot))
	if c == 0 && i.Deleted != o.Deleted {
		c = 1
		if i.Deleted {
			c = -1
		}
	}
	return cmp.Or(c, bytes.Compare(i.Spec, o.Spec))
}

// Encode returns all live items as a JSON object with one list, ordered by kind and name.
func (s Set) Encode() []byte {
	size := 64
	for i := range s.All() {
		size += 128 + len(i.Key.Name) + len(i.Spec)
	}
	out := append(make([]byte, 0, size), `{"resources":[`...)
	for i := range s.All() {
		if i.Deleted {
			continue
		}
		if out[len(out)-1] != '[' {
			out = append(out, ',')
		}
		out = append(append(append(out, `{"resource-kind":"`...), i.Key.Kind.String()...), `","metadata":{`...)
		if i.Key.Kind != Limits {
			out = append(append(append(out, `"name":`...), quoteJSON(i.Key.Name)...), ',')
		}
		out = append(append(append(out, `"version":"`...), i.Version.String()...), `"},"specification":`...)
		out = append(append(out, i.Spec...), '}')
	}
	return append(out, "]}"...)
}

// quoteJSON returns s as a JSON string, without escaping HTML characters such as <.
func quoteJSON(s string) []byte {
	if !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r > '~' || r == '"' || r == '\\' }) {
		return append(append(append(make([]byte, 0, 2+len(s)), '"'), s...), '"')
	}
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.Encode(s) // encoding a string cannot fail
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}

// ValidationError says in one line why a configuration is rejected.
type ValidationError struct{ Subject, Reason string }

func (e *ValidationError) Error() string { return e.Subject + ": " + e.Reason }

func invalid(subject, format string, args ...any) error {
	return &ValidationError{Subject: subject, Reason: fmt.Sprintf(format, args...)}
}

// quoted returns s quoted for an error message, truncated to about 40 bytes.
func quoted(s string) string {
	if len(s) > 40 {
		s = s[:37] + "..."
	}
	return strconv.Quote(s)
}

// Call is one update request from the operator: items to set and tombstones, one per key, with zero ballots.
type Call struct {
	Items      []Item
	superseded []Item // lower versions of keys that occur several times; not applied, but acknowledged
}

// DecodeCall decodes the body of a call. Items are in the order in which their keys first occur. Of several versions of a key
// the highest is used and the others become its past versions. Errors are of type *ValidationError. Specifications are not
// validated; see Call.Check.
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
		return Call{}, invalid("call", "%s", jsonErrorText(err))
	}
	if body[bytes.IndexFunc(body, func(r rune) bool { return r > ' ' })] != '{' {
		return Call{}, invalid("call", "no JSON object")
	}
	var c Call
	index := map[Key]int{}
	add := func(kind string, m metadata, i Item) error {
		n := slices.Index(kindNames[:], kind)
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
		if !i.Deleted && i.Spec == nil {
			return invalid(i.Key.String(), "its specification is no JSON object")
		}
		n, seen := index[i.Key]
		switch {
		case !seen:
			index[i.Key] = len(c.Items)
			c.Items = append(c.Items, i)
		default:
			high, low := c.Items[n], i
			if i.Version > high.Version {
				high, low = i, high
				high.PastVersions = low.PastVersions
			}
			low.PastVersions = nil
			status := high.StatusOf(low.VersionDigest())
			if status == VersionUnknown {
				high, _ = high.AddPastVersion(low.VersionDigest())
				c.superseded = append(c.superseded, low)
			}
			c.Items[n] = high
			switch status {
			case VersionConflicts:
				return invalid(i.Key.String(), "two contents at %s", i.Version)
			case VersionForgotten:
				return invalid(i.Key.String(), "over %d versions in one call", MaxPastVersions)
			}
		}
		return nil
	}
	for _, r := range b.Upsert.Resources {
		if err := add(r.Kind, r.Metadata, Item{Spec: compactObject(r.Spec)}); err != nil {
			return Call{}, err
		}
	}
	for _, kind := range slices.Sorted(maps.Keys(b.Remove)) {
		for _, m := range b.Remove[kind] {
			if err := add(kind, m, Item{Deleted: true}); err != nil {
				return Call{}, err
			}
		}
	}
	return c, nil
}

// jsonErrorText describes a JSON decoding error in terms of the data instead of Go types.
func jsonErrorText(err error) string {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return strings.TrimPrefix(fmt.Sprintf("%s: can't read the %.40s there", strings.ToLower(t.Field), t.Value), ": ")
	}
	return err.Error()
}

// compactObject returns a JSON object without insignificant whitespace, or nil if raw is not an object.
func compactObject(raw []byte) []byte {
	var b bytes.Buffer
	if len(raw) == 0 || raw[0] != '{' || json.Compact(&b, raw) != nil {
		return nil
	}
	return b.Bytes()
}
