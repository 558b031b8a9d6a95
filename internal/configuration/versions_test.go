package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"unicode/utf16"

	"pgregory.net/rapid"
)

// SameContent ignores the spelling of a specification, but not differences that a reader sees.
func TestSameContent(t *testing.T) {
	base := Item{Version: 3, Spec: []byte(`{"host":"a/b","n":1,"in":{"x":[1.5,-20],"y":null}}`)}
	for spec, want := range map[string]bool{
		`{"host":"a/b","n":1,"in":{"x":[1.5,-20],"y":null}}`:                         true,
		`{"in":{"y":null,"x":[1.5,-20]},"n":1,"host":"a/b"}`:                         true,
		`{"host":"\u0061\/b","n":1.0,"in":{"x":[15e-1,-2E+1],"y":null}}`:             true,
		`{"host":"a/b","n":10e-1,"in":{"x":[0.15e1,-20.00],"y":null}}`:               true,
		`{"host":"?","host":"a/b","n":1,"in":{"x":[1.5,-20],"y":null}}`:              true, // the last of several fields with one name is used, as when decoding
		`{"host":"a/b","n":1,"in":{"x":[-20,1.5],"y":null}}`:                         false,
		`{"host":"a/b","n":1,"in":{"x":[1.5,20],"y":null}}`:                          false,
		`{"host":"a/b","n":"1","in":{"x":[1.5,-20],"y":null}}`:                       false,
		`{"host":"a/b","n":1,"in":{"x":[1.5,-20]}}`:                                  false, // an absent field differs from one set to its default
		`{"host":"A/b","n":1,"in":{"x":[1.5,-20],"y":null}}`:                         false,
		`{"host":"a/b","n":1.00000000000000000000001,"in":{"x":[1.5,-20],"y":null}}`: false,
	} {
		o := Item{Version: 3, Spec: []byte(spec)}
		if base.SameContent(o) != want || (base.VersionDigest() == o.VersionDigest()) != want {
			t.Errorf("%s: same %v, digest %v", spec, base.SameContent(o), base.VersionDigest() == o.VersionDigest())
		}
	}
	if gone := (Item{Version: 3, Deleted: true}); gone.SameContent(base) || base.SameContent(gone) || !gone.SameContent(gone) || gone.VersionDigest() == base.VersionDigest() {
		t.Error("a tombstone compares equal to a live item, or not to itself")
	}
	for number, want := range map[string]string{"0": "0", "-0.0e7": "0", "100": "1e2", "-0.010": "-1e-2", "12.5E3": "125e2", "1e99999999999": "1e99999999999"} {
		if got := normalNumber(number); string(got) != want {
			t.Errorf("%s: %s, want %s", number, got, want)
		}
	}
}

// An item remembers its highest past versions, whatever the order in which they were added, and reports versions that it may have
// forgotten.
func TestStatusOf(t *testing.T) {
	content := func(v Version, n int) VersionDigest {
		return Item{Version: v, Spec: fmt.Appendf(nil, `{"n":%d}`, n)}.VersionDigest()
	}
	i := Item{Version: 100, Spec: []byte(`{"n":1}`)}
	for _, v := range []Version{50, 80, 60} {
		var ok bool
		if i, ok = i.AddPastVersion(content(v, 1)); !ok {
			t.Errorf("r%d is not remembered", v)
		}
	}
	was := i.PastVersions
	j, _ := i.AddPastVersion(content(70, 1))
	if len(was) != 3 || len(i.PastVersions) != 3 || i.StatusOf(content(70, 1)) != VersionUnknown || j.StatusOf(content(70, 1)) != VersionMatches {
		t.Error("AddPastVersion modifies its receiver")
	}
	for n, c := range []struct {
		of   VersionDigest
		want VersionStatus
	}{
		{content(101, 1), VersionUnknown}, {content(100, 1), VersionMatches}, {content(100, 2), VersionConflicts}, {content(80, 1), VersionMatches}, {content(80, 2), VersionConflicts},
		{content(70, 2), VersionUnknown}, {content(50, 1), VersionMatches}, {content(60, 3), VersionConflicts}, {content(49, 1), VersionUnknown},
	} {
		if got := i.StatusOf(c.of); got != c.want {
			t.Errorf("%d: %s is %d, want %d", n, c.of.Version, got, c.want)
		}
	}
	for v := Version(99); v > 51; v-- {
		i, _ = i.AddPastVersion(content(v, 1))
	}
	_, low := i.AddPastVersion(content(49, 1))
	if len(i.PastVersions) != MaxPastVersions || i.StatusOf(content(99, 1)) != VersionMatches || i.StatusOf(content(68, 1)) != VersionMatches || i.StatusOf(content(67, 1)) != VersionForgotten || low {
		t.Errorf("%d remembered: %v", len(i.PastVersions), i.PastVersions)
	}
	few := i.TruncatePast(2)
	more, ok := few.AddPastVersion(content(98, 1))
	for n, c := range []struct {
		of   Item
		v    Version
		want VersionStatus
	}{{few, 99, VersionMatches}, {few, 98, VersionMatches}, {few, 97, VersionForgotten}, {few, 96, VersionForgotten}, {few, 5, VersionForgotten}, {i.TruncatePast(0), 99, VersionForgotten},
		{more, 98, VersionMatches}, {i.TruncatePast(MaxPastVersions), 68, VersionMatches}, {i, 97, VersionMatches}} {
		if got := c.of.StatusOf(content(c.v, 1)); got != c.want {
			t.Errorf("after truncation, %d: r%d is %d, want %d", n, c.v, got, c.want)
		}
	}
	gap := Item{Version: 10, PastVersions: []VersionDigest{content(8, 1), content(5, 1), content(3, 1)}}.TruncatePast(1)
	if gap.StatusOf(content(6, 1)) != VersionUnknown || gap.StatusOf(content(5, 1)) != VersionForgotten || gap.StatusOf(content(4, 1)) != VersionForgotten {
		t.Errorf("truncated history: %v", gap.PastVersions)
	}
	if _, low := few.AddPastVersion(content(97, 1)); low || !ok {
		t.Error("a forgotten version is remembered")
	}
}

// CheckEverValid distinguishes a call that could never have been valid from one that a later change made invalid.
func TestCheckEverValid(t *testing.T) {
	route := func(name, service, prefix string) string {
		return `{"resource-kind":"routes","metadata":{"name":"` + name + `","version":"r1"},"specification":` +
			`{"host":"h","path-prefix":"` + prefix + `","route-kind":"idempotent","deadline-s":1,"service":"` + service + `"}}`
	}
	s := setOf(t, `{"upsert":{"resources":[`+route("x", "there", "/x/")+`,{"resource-kind":"services","metadata":{"name":"there","version":"r1"},"specification":{}}]},`+
		`"remove":{"services":[{"name":"dropped","version":"r2"}]}}`)
	service := `{"resource-kind":"services","metadata":{"name":"new","version":"r1"},"specification":{}}`
	for _, c := range []struct {
		items, remove string
		never         bool
	}{
		{route("a", "there", "/a/"), ``, false},
		{route("a", "dropped", "/a/"), ``, false},
		{route("a", "there", "/x/"), ``, false}, // the conflicting route may have been added later
		{route("a", "nobody", "/a/"), ``, true},
		{route("a", "new", "/a/") + "," + service, ``, false},
		{route("a", "there", "/a/"), `{"name":"there","version":"r3"}`, true},
		{route("a", "there", "/a/") + "," + route("b", "there", "/a/"), ``, true},
	} {
		call, err := DecodeCall([]byte(`{"upsert":{"resources":[` + c.items + `]},"remove":{"services":[` + c.remove + `]}}`))
		if err != nil {
			t.Fatal(err)
		}
		if err := s.CheckEverValid(call.Items); (err != nil) != c.never {
			t.Errorf("%s, without %s: %v", c.items, c.remove, err)
		}
	}
}

// If a call has several versions of a key, the superseded ones are validated as well.
func TestLowerVersionsAreChecked(t *testing.T) {
	item := func(version, deadline string) string {
		return `{"resource-kind":"routes","metadata":{"name":"a","version":"` + version + `"},"specification":` +
			`{"host":"h","path-prefix":"/a/","route-kind":"idempotent","deadline-s":` + deadline + `,"service":"s"}}`
	}
	for body, ok := range map[string]bool{item("r1", "1") + "," + item("r2", "2"): true, item("r1", "0") + "," + item("r2", "2"): false,
		item("r2", "2") + "," + item("r1", "0"): false} {
		c, err := DecodeCall([]byte(`{"upsert":{"resources":[` + body + `]}}`))
		if err != nil || (c.Check() == nil) != ok {
			t.Errorf("%s: %v, %v", body, err, c.Check())
		}
	}
}

// Values that decode equally have the same digest, however they are spelled; others differ.
func TestDigestOfSpellings(t *testing.T) {
	var value func(depth int) *rapid.Generator[any]
	value = func(depth int) *rapid.Generator[any] {
		of := []*rapid.Generator[any]{rapid.Float64Range(-1e9, 1e9).AsAny(), rapid.Int32().AsAny(), rapid.StringN(0, 4, -1).AsAny(), rapid.Bool().AsAny(), rapid.Just(any(nil))}
		if depth > 0 {
			of = append(of, rapid.SliceOfN(value(depth-1), 0, 3).AsAny(), rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c/d"}), value(depth-1), 0, 3).AsAny())
		}
		return rapid.OneOf(of...)
	}
	var spell func(t *rapid.T, v any) string
	spell = func(t *rapid.T, v any) string {
		space := rapid.SampledFrom([]string{"", " ", "\n\t"}).Draw(t, "space")
		switch x := v.(type) {
		case map[string]any:
			var fields []string
			for _, name := range rapid.Permutation(slices.Sorted(maps.Keys(x))).Draw(t, "fields") {
				fields = append(fields, spell(t, name)+":"+space+spell(t, x[name]))
			}
			return "{" + space + strings.Join(fields, ",") + "}"
		case []any:
			var all []string
			for _, y := range x {
				all = append(all, spell(t, y))
			}
			return "[" + strings.Join(all, space+",") + "]"
		case float64:
			return strconv.FormatFloat(x, rapid.SampledFrom([]byte("feg")).Draw(t, "format"), -1, 64)
		case int32:
			return fmt.Sprintf(rapid.SampledFrom([]string{"%d", "%d.0", "%d.00e0", "%de-0", "%d.0E+0"}).Draw(t, "format"), x)
		case string:
			if rapid.Bool().Draw(t, "escaped") {
				out := ""
				for _, u := range utf16.Encode([]rune(x)) {
					out += fmt.Sprintf(`\u%04x`, u)
				}
				return `"` + out + `"`
			}
			return string(quoteJSON(x))
		}
		if v == nil {
			return "null"
		}
		return fmt.Sprint(v)
	}
	rapid.Check(t, func(t *rapid.T) {
		x, y := value(2).Draw(t, "x"), value(2).Draw(t, "y")
		of := func(v any) Item { return Item{Spec: []byte(`{"v":` + spell(t, v) + `}`)} }
		a, b, c := of(x), of(x), of(y)
		if !a.SameContent(b) || a.VersionDigest() != b.VersionDigest() {
			t.Fatalf("%s and %s differ", a.Spec, b.Spec)
		}
		var r, s any
		if json.Unmarshal(a.Spec, &r) != nil || json.Unmarshal(c.Spec, &s) != nil {
			t.Fatalf("%s, %s", a.Spec, c.Spec)
		}
		if same := reflect.DeepEqual(r, s); same != a.SameContent(c) {
			t.Fatalf("%s and %s: read as one %v", a.Spec, c.Spec, same)
		}
	})
}
