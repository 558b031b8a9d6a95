package berths

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Tables that took the same entries are equal, in whatever order and however often, and what is told since a change brings
// another table up to date.
func TestJoinLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry := rapid.Custom(func(t *rapid.T) Berth {
			b := Berth{Node: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"),
				Version: rapid.Uint64Range(1, 4).Draw(t, "version"), Life: rapid.Uint64Range(1, 3).Draw(t, "life")}
			b.Capacity = int(b.Version*10 + b.Life) // one source: one content for each version of a life
			return b
		})
		in := rapid.SliceOfN(entry, 0, 12).Draw(t, "entries")
		x, y, z := New(), New(), New()
		at := uint64(0)
		for _, b := range in {
			was, had := x.Get(b.Node)
			took := x.Join(b)
			now, _ := x.Get(b.Node)
			if took != (now != was || !had) || had && was.newer(now) {
				t.Fatalf("%+v after %+v: %v, %+v", b, was, took, now)
			}
			if rapid.Bool().Draw(t, "tell") {
				for _, n := range x.Since(at) {
					z.Join(n)
				}
				at = x.At()
			}
		}
		for _, n := range x.Since(at) {
			z.Join(n)
		}
		for _, b := range rapid.Permutation(append(in, in...)).Draw(t, "again") {
			y.Join(b)
		}
		if !reflect.DeepEqual(x.Since(0), y.Since(0)) || !reflect.DeepEqual(x.Since(0), z.Since(0)) || len(x.Since(x.At())) > 0 {
			t.Fatalf("%v\n%v\n%v", x.Since(0), y.Since(0), z.Since(0))
		}
	})
}
