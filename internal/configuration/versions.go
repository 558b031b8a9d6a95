package configuration

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
)

// VersionDigest is a version that was acknowledged for an item, with the digest of its content.
type VersionDigest struct {
	_       struct{} `cbor:",toarray"`
	Version Version
	Digest  uint64
}

// MaxPastVersions is the number of versions below the current one that an item remembers.
const MaxPastVersions = 32

// SameContent reports whether two items have the same content: both are tombstones, or their specifications are the same JSON
// value. Field order, whitespace, escapes and number formats (1, 1.0, 1e0) make no difference. An absent field differs from one
// that is set to its default, because the two are returned differently to a reader.
func (i Item) SameContent(o Item) bool {
	return i.Deleted == o.Deleted && (bytes.Equal(i.Spec, o.Spec) || bytes.Equal(canonical(i.Spec), canonical(o.Spec)))
}

// VersionDigest returns the version of i with the digest of its content.
func (i Item) VersionDigest() VersionDigest {
	sum := sha256.Sum256(canonical(i.Spec)) // a tombstone hashes the empty string, which is no valid specification
	return VersionDigest{Version: i.Version, Digest: binary.BigEndian.Uint64(sum[:])}
}

// DigestItems returns the digest of a call's items. It does not depend on their order.
func DigestItems(items []Item) (sum uint64) {
	for _, i := range items {
		t := i.VersionDigest()
		h := sha256.New()
		h.Write([]byte{byte(i.Key.Kind)})
		h.Write([]byte(i.Key.Name))
		for _, x := range append([]VersionDigest{t}, i.PastVersions...) {
			binary.Write(h, binary.BigEndian, [2]uint64{uint64(x.Version), x.Digest})
		}
		sum += binary.BigEndian.Uint64(h.Sum(nil))
	}
	return sum
}

// VersionStatus says what an item knows about a version and its content.
type VersionStatus uint8

// The statuses of a version.
const (
	VersionUnknown   VersionStatus = iota // not acknowledged
	VersionMatches                        // acknowledged with the same content
	VersionConflicts                      // acknowledged with different content
	VersionForgotten                      // too old to be remembered
)

// StatusOf returns what is known about a version and its content.
func (i Item) StatusOf(t VersionDigest) VersionStatus {
	switch {
	case t.Version > i.Version:
		return VersionUnknown
	case t.Version == i.Version:
		return matchStatus(t == i.VersionDigest())
	}
	n, found := i.findPast(t.Version)
	last := len(i.PastVersions) - 1
	switch {
	case n == MaxPastVersions, last >= 0 && i.PastVersions[last].Digest == truncatedDigest && t.Version <= i.PastVersions[last].Version:
		return VersionForgotten
	case found:
		return matchStatus(i.PastVersions[n] == t)
	}
	return VersionUnknown
}

// truncatedDigest replaces the digest of a past version to mark that this version and all below it are forgotten. A real digest
// equal to it is very unlikely and would only make that version count as forgotten.
const truncatedDigest = 0

// TruncatePast returns i with at most n past versions, and one more that marks where the history was truncated.
func (i Item) TruncatePast(n int) Item {
	if len(i.PastVersions) > n+1 {
		i.PastVersions = slices.Clone(i.PastVersions[:n+1])
		i.PastVersions[n].Digest = truncatedDigest
	}
	return i
}

func matchStatus(same bool) VersionStatus {
	if same {
		return VersionMatches
	}
	return VersionConflicts
}

// findPast returns the index of v in PastVersions, or where it would be inserted, and whether it is there.
func (i Item) findPast(v Version) (int, bool) {
	return slices.BinarySearchFunc(i.PastVersions, v, func(t VersionDigest, v Version) int { return cmp.Compare(v, t.Version) })
}

// AddPastVersion returns i with t added to its past versions, of which the highest MaxPastVersions are kept. For a version
// below the current one that is already known it returns i unchanged, and whether the content matches.
func (i Item) AddPastVersion(t VersionDigest) (Item, bool) {
	if t.Version < i.Version {
		if status := i.StatusOf(t); status != VersionUnknown {
			return i, status == VersionMatches
		}
	}
	n, _ := i.findPast(t.Version)
	i.PastVersions = slices.Insert(slices.Clone(i.PastVersions), n, t)
	i.PastVersions = i.PastVersions[:min(len(i.PastVersions), MaxPastVersions)]
	return i, true
}

// PublicItems returns items for readers: without past versions and without Refusals, which are internal to the replicated
// register. It modifies the slice.
func PublicItems(items []Item) []Item {
	items = slices.DeleteFunc(items, func(i Item) bool { return i.Key.Kind == Refusals })
	for n := range items {
		items[n].PastVersions = nil
	}
	return items
}

// canonical returns the canonical encoding of a JSON value, or nil if spec is not valid JSON. Of several fields with the same
// name the last one is used, as in all decoders here.
func canonical(spec []byte) []byte {
	d := json.NewDecoder(bytes.NewReader(spec))
	d.UseNumber()
	var v any
	if d.Decode(&v) != nil {
		return nil
	}
	out, err := json.Marshal(normal(v)) // Marshal sorts the fields of objects by name
	if err != nil {
		return nil
	}
	return out
}

func normal(v any) any {
	switch x := v.(type) {
	case json.Number:
		return normalNumber(string(x))
	case []any:
		for n := range x {
			x[n] = normal(x[n])
		}
	case map[string]any:
		for name := range x {
			x[name] = normal(x[name])
		}
	}
	return v
}

// normalNumber returns a number as an integer without trailing zeros and a power of ten.
func normalNumber(s string) json.Number {
	rest, minus := strings.CutPrefix(s, "-")
	digits, power, _ := strings.Cut(strings.ToLower(rest), "e")
	digits, fraction, _ := strings.Cut(digits, ".")
	e := int64(0)
	if power != "" {
		var err error
		if e, err = strconv.ParseInt(power, 10, 32); err != nil { // larger than any exponent in use
			return json.Number(s)
		}
	}
	digits = strings.TrimLeft(digits+fraction, "0")
	e -= int64(len(fraction))
	short := strings.TrimRight(digits, "0")
	e += int64(len(digits) - len(short))
	if short == "" {
		return "0"
	}
	if minus {
		short = "-" + short
	}
	return json.Number(short + "e" + strconv.FormatInt(e, 10))
}

// CheckEverValid checks a call in which some items are superseded by newer versions. It returns a *ValidationError if the call
// could not have been valid at any time so far: it refers to a service that never existed or that it removes itself, or two of
// its routes have the same host and prefix. Conflicts with changes made in between are accepted: the call was valid before them,
// and its superseded items change nothing.
func (s Set) CheckEverValid(items []Item) error {
	type hostPrefix struct{ host, prefix string }
	own, routeAt := SetOf(items...), map[hostPrefix]string{}
	for i := range own.All() {
		if i.Deleted || i.Key.Kind != Routes {
			continue
		}
		r, err := decodeRoute(i)
		if err != nil {
			return err
		}
		for _, share := range r.Split {
			k := Key{Kind: Services, Name: share.Service}
			o, inCall := own.Get(k)
			if _, known := s.Get(k); inCall && o.Deleted || !inCall && !known {
				return invalid(i.Key.String(), "unknown service %s", quoted(share.Service))
			}
		}
		p := hostPrefix{r.Host, r.Prefix}
		if o, ok := routeAt[p]; ok {
			return invalid(i.Key.String(), "host %s and prefix %s are those of route %s", quoted(r.Host), quoted(r.Prefix), quoted(o))
		}
		routeAt[p] = r.Name
	}
	return nil
}
