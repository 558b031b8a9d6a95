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

// One content however it is spelled, and another where it is read back as another.
func TestSame(t *testing.T) {
	of := Item{Version: 3, Spec: []byte(`{"host":"a/b","n":1,"in":{"x":[1.5,-20],"y":null}}`)}
	for spec, want := range map[string]bool{
		`{"host":"a/b","n":1,"in":{"x":[1.5,-20],"y":null}}`:                         true,
		`{"in":{"y":null,"x":[1.5,-20]},"n":1,"host":"a/b"}`:                         true,
		`{"host":"\u0061\/b","n":1.0,"in":{"x":[15e-1,-2E+1],"y":null}}`:             true,
		`{"host":"a/b","n":10e-1,"in":{"x":[0.15e1,-20.00],"y":null}}`:               true,
		`{"host":"?","host":"a/b","n":1,"in":{"x":[1.5,-20],"y":null}}`:              true, // the last of one name counts, as when it is read
		`{"host":"a/b","n":1,"in":{"x":[-20,1.5],"y":null}}`:                         false,
		`{"host":"a/b","n":1,"in":{"x":[1.5,20],"y":null}}`:                          false,
		`{"host":"a/b","n":"1","in":{"x":[1.5,-20],"y":null}}`:                       false,
		`{"host":"a/b","n":1,"in":{"x":[1.5,-20]}}`:                                  false, // an absent field is not one with its default
		`{"host":"A/b","n":1,"in":{"x":[1.5,-20],"y":null}}`:                         false,
		`{"host":"a/b","n":1.00000000000000000000001,"in":{"x":[1.5,-20],"y":null}}`: false,
	} {
		o := Item{Version: 3, Spec: []byte(spec)}
		if of.Same(o) != want || (of.Taken() == o.Taken()) != want {
			t.Errorf("%s: same %v, digest %v", spec, of.Same(o), of.Taken() == o.Taken())
		}
	}
	if gone := (Item{Version: 3, Dropped: true}); gone.Same(of) || of.Same(gone) || !gone.Same(gone) || gone.Taken() == of.Taken() {
		t.Error("a tombstone is a content")
	}
	for number, want := range map[string]string{"0": "0", "-0.0e7": "0", "100": "1e2", "-0.010": "-1e-2", "12.5E3": "125e2", "1e99999999999": "1e99999999999"} {
		if got := normalNumber(number); string(got) != want {
			t.Errorf("%s: %s, want %s", number, got, want)
		}
	}
}

// An item remembers its highest numbers, whatever their order, and says so where it is asked for one that it may have forgotten.
func TestKnows(t *testing.T) {
	content := func(v Version, n int) Taken {
		return Item{Version: v, Spec: fmt.Appendf(nil, `{"n":%d}`, n)}.Taken()
	}
	i := Item{Version: 100, Spec: []byte(`{"n":1}`)}
	for _, v := range []Version{50, 80, 60} {
		var ok bool
		if i, ok = i.Remember(content(v, 1)); !ok {
			t.Errorf("r%d is not remembered", v)
		}
	}
	was := i.Past
	j, _ := i.Remember(content(70, 1))
	if len(was) != 3 || len(i.Past) != 3 || i.Knows(content(70, 1)) != Unheard || j.Knows(content(70, 1)) != Agreed {
		t.Error("one that remembers more changes the one before it")
	}
	for n, c := range []struct {
		of   Taken
		want Past
	}{
		{content(101, 1), Unheard}, {content(100, 1), Agreed}, {content(100, 2), Against}, {content(80, 1), Agreed}, {content(80, 2), Against},
		{content(70, 2), Unheard}, {content(50, 1), Agreed}, {content(60, 3), Against}, {content(49, 1), Unheard},
	} {
		if got := i.Knows(c.of); got != c.want {
			t.Errorf("%d: %s is %d, want %d", n, c.of.Version, got, c.want)
		}
	}
	for v := Version(99); v > 51; v-- {
		i, _ = i.Remember(content(v, 1))
	}
	_, low := i.Remember(content(49, 1))
	if len(i.Past) != MaxPast || i.Knows(content(99, 1)) != Agreed || i.Knows(content(68, 1)) != Agreed || i.Knows(content(67, 1)) != Overtime || low {
		t.Errorf("%d remembered: %v", len(i.Past), i.Past)
	}
	few := i.Forget(2)
	more, ok := few.Remember(content(98, 1))
	for n, c := range []struct {
		of   Item
		v    Version
		want Past
	}{{few, 99, Agreed}, {few, 98, Agreed}, {few, 97, Overtime}, {few, 96, Overtime}, {few, 5, Overtime}, {i.Forget(0), 99, Overtime},
		{more, 98, Agreed}, {i.Forget(MaxPast), 68, Agreed}, {i, 97, Agreed}} {
		if got := c.of.Knows(content(c.v, 1)); got != c.want {
			t.Errorf("forgotten, %d: r%d is %d, want %d", n, c.v, got, c.want)
		}
	}
	gap := Item{Version: 10, Past: []Taken{content(8, 1), content(5, 1), content(3, 1)}}.Forget(1)
	if gap.Knows(content(6, 1)) != Unheard || gap.Knows(content(5, 1)) != Overtime || gap.Knows(content(4, 1)) != Overtime {
		t.Errorf("of %v", gap.Past)
	}
	if _, low := few.Remember(content(97, 1)); low || !ok {
		t.Error("a number that was forgotten is remembered")
	}
}

// What could never have been valid is told from what a change in between has made invalid.
func TestNever(t *testing.T) {
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
		{route("a", "there", "/x/"), ``, false}, // that may have come later
		{route("a", "nobody", "/a/"), ``, true},
		{route("a", "new", "/a/") + "," + service, ``, false},
		{route("a", "there", "/a/"), `{"name":"there","version":"r3"}`, true},
		{route("a", "there", "/a/") + "," + route("b", "there", "/a/"), ``, true},
	} {
		call, err := DecodeCall([]byte(`{"upsert":{"resources":[` + c.items + `]},"remove":{"services":[` + c.remove + `]}}`))
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Never(call.Items); (err != nil) != c.never {
			t.Errorf("%s, without %s: %v", c.items, c.remove, err)
		}
	}
}

// A name that comes with several versions in one call: those that don't count are looked at as well.
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

// However a value is spelled, its digest is one; values that are read as two have two.
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
			return string(text(x))
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
		if !a.Same(b) || a.Taken() != b.Taken() {
			t.Fatalf("%s and %s differ", a.Spec, b.Spec)
		}
		var r, s any
		if json.Unmarshal(a.Spec, &r) != nil || json.Unmarshal(c.Spec, &s) != nil {
			t.Fatalf("%s, %s", a.Spec, c.Spec)
		}
		if same := reflect.DeepEqual(r, s); same != a.Same(c) {
			t.Fatalf("%s and %s: read as one %v", a.Spec, c.Spec, same)
		}
	})
}
