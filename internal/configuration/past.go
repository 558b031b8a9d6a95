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

// Taken is a number (version) that was acknowledged for an item, with the digest of its content.
type Taken struct {
	_       struct{} `cbor:",toarray"`
	Version Version
	Sum     uint64
}

// MaxPast is how many numbers below the one that stands an item remembers.
const MaxPast = 32

// Same reports whether two contents of a number are one: both drop the item, or their specifications are the same JSON value.
// The order of fields, spaces, escapes and the spelling of numbers (1, 1.0, 1e0) make no difference; a field that is absent
// and one that is told with its default do, as they are read back differently.
func (i Item) Same(o Item) bool {
	return i.Dropped == o.Dropped && (bytes.Equal(i.Spec, o.Spec) || bytes.Equal(canonical(i.Spec), canonical(o.Spec)))
}

// Taken is the number of i with the digest of its content.
func (i Item) Taken() Taken {
	sum := sha256.Sum256(canonical(i.Spec)) // of nothing where it is dropped: no specification is empty
	return Taken{Version: i.Version, Sum: binary.BigEndian.Uint64(sum[:])}
}

// Sum is the digest of a call's items, whatever their order.
func Sum(items []Item) (sum uint64) {
	for _, i := range items {
		t := i.Taken()
		h := sha256.New()
		h.Write([]byte{byte(i.Key.Kind)})
		h.Write([]byte(i.Key.Name))
		for _, x := range append([]Taken{t}, i.Past...) {
			binary.Write(h, binary.BigEndian, [2]uint64{uint64(x.Version), x.Sum})
		}
		sum += binary.BigEndian.Uint64(h.Sum(nil))
	}
	return sum
}

// Past is what is known of a number.
type Past uint8

// What may be known of a number.
const (
	Unheard  Past = iota // it was not acknowledged
	Agreed               // it was, with this content
	Against              // it was, with another
	Overtime             // it is too old to tell
)

// Knows tells what is known of a number and its content.
func (i Item) Knows(t Taken) Past {
	switch {
	case t.Version > i.Version:
		return Unheard
	case t.Version == i.Version:
		return agreed(t == i.Taken())
	}
	n, found := i.find(t.Version)
	last := len(i.Past) - 1
	switch {
	case n == MaxPast, last >= 0 && i.Past[last].Sum == forgotten && t.Version <= i.Past[last].Version:
		return Overtime
	case found:
		return agreed(i.Past[n] == t)
	}
	return Unheard
}

// forgotten stands in the place of a digest: that number and all below it are too old to tell. It is no digest but by chance,
// which makes a number too old and nothing else.
const forgotten = 0

// Forget is i with so many numbers in its past at the most, and one more that tells where it ends.
func (i Item) Forget(most int) Item {
	if len(i.Past) > most+1 {
		i.Past = slices.Clone(i.Past[:most+1])
		i.Past[most].Sum = forgotten
	}
	return i
}

func agreed(yes bool) Past {
	if yes {
		return Agreed
	}
	return Against
}

// find is where a number stands among those of the past, or would.
func (i Item) find(v Version) (int, bool) {
	return slices.BinarySearchFunc(i.Past, v, func(t Taken, v Version) int { return cmp.Compare(v, t.Version) })
}

// Remember is i with one more number in its past, of which those beyond MaxPast are forgotten. false: that one itself would be.
func (i Item) Remember(t Taken) (Item, bool) {
	if t.Version < i.Version {
		if known := i.Knows(t); known != Unheard {
			return i, known == Agreed
		}
	}
	n, _ := i.find(t.Version)
	i.Past = slices.Insert(slices.Clone(i.Past), n, t)
	i.Past = i.Past[:min(len(i.Past), MaxPast)]
	return i, true
}

// Plain is items for those who only read them: without their past, and without what the register keeps for itself. It
// changes the slice.
func Plain(items []Item) []Item {
	items = slices.DeleteFunc(items, func(i Item) bool { return i.Key.Kind == Refusals })
	for n := range items {
		items[n].Past = nil
	}
	return items
}

// canonical is one spelling for all those of a JSON value; nil: spec is none. Of fields with one name the last counts, as
// wherever it is read.
func canonical(spec []byte) []byte {
	d := json.NewDecoder(bytes.NewReader(spec))
	d.UseNumber()
	var v any
	if d.Decode(&v) != nil {
		return nil
	}
	out, err := json.Marshal(normal(v)) // objects by the names of their fields
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

// normalNumber is a number as an integer that does not end in 0, and a power of ten.
func normalNumber(s string) json.Number {
	rest, minus := strings.CutPrefix(s, "-")
	digits, power, _ := strings.Cut(strings.ToLower(rest), "e")
	digits, fraction, _ := strings.Cut(digits, ".")
	e := int64(0)
	if power != "" {
		var err error
		if e, err = strconv.ParseInt(power, 10, 32); err != nil { // beyond all that is used
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

// Never tells why a call of which some items come too late to count could not have been valid at any time so far: it leads to
// a service that never stood, or to one that it drops itself, or two of its routes share host and prefix. What a change that
// came in between may have made invalid is let pass: the call was valid before it, and changes nothing there. An error is an
// *Invalid.
func (s Set) Never(items []Item) error {
	type place struct{ host, prefix string }
	own, at := SetOf(items...), map[place]string{}
	for i := range own.All() {
		if i.Dropped || i.Key.Kind != Routes {
			continue
		}
		r, err := readRoute(i)
		if err != nil {
			return err
		}
		for _, share := range r.Split {
			k := Key{Kind: Services, Name: share.Service}
			o, told := own.Get(k)
			if _, stood := s.Get(k); told && o.Dropped || !told && !stood {
				return invalid(i.Key.String(), "unknown service %s", quoted(share.Service))
			}
		}
		p := place{r.Host, r.Prefix}
		if o, ok := at[p]; ok {
			return invalid(i.Key.String(), "host %s and prefix %s are those of route %s", quoted(r.Host), quoted(r.Prefix), quoted(o))
		}
		at[p] = r.Name
	}
	return nil
}
