package backends

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Tables that took the same entries are equal, in whatever order and however often, and what is told since a change brings
// another table up to date.
func TestJoinLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry := rapid.Custom(func(t *rapid.T) Backend {
			b := Backend{Node: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"),
				Version: rapid.Uint64Range(1, 4).Draw(t, "version"), Life: rapid.Uint64Range(1, 3).Draw(t, "life")}
			b.Capacity = int(b.Version*10 + b.Life) // one source: one content for each version of a life
			return b
		})
		in := rapid.SliceOfN(entry, 0, 12).Draw(t, "entries")
		x, y, z, w := New(), New(), New(), New()
		at, upto := uint64(0), uint64(0)
		part := func() (more bool) { // of some entries
			var told []Backend
			told, upto, more = x.Page(upto, rapid.IntRange(1, 300).Draw(t, "bytes"))
			for _, n := range told {
				w.Merge(n)
			}
			return more
		}
		for _, b := range in {
			was, had := x.Get(b.Node)
			took := x.Merge(b)
			now, _ := x.Get(b.Node)
			if took != (now != was || !had) || had && was.newer(now) {
				t.Fatalf("%+v after %+v: %v, %+v", b, was, took, now)
			}
			if rapid.Bool().Draw(t, "tell a part") {
				part()
			}
			if rapid.Bool().Draw(t, "tell") {
				for _, n := range x.ChangedSince(at) {
					z.Merge(n)
				}
				at = x.Revision()
			}
		}
		for _, n := range x.ChangedSince(at) {
			z.Merge(n)
		}
		for _, b := range rapid.Permutation(append(in, in...)).Draw(t, "again") {
			y.Merge(b)
		}
		for range 4 { // as many parts as there are entries, at the most
			if !part() {
				break
			}
		}
		if !reflect.DeepEqual(x.ChangedSince(0), w.ChangedSince(0)) || upto != x.Revision() {
			t.Fatalf("by parts: %v up to %d\n%v up to %d", w.ChangedSince(0), upto, x.ChangedSince(0), x.Revision())
		}
		if !reflect.DeepEqual(x.ChangedSince(0), y.ChangedSince(0)) || !reflect.DeepEqual(x.ChangedSince(0), z.ChangedSince(0)) || len(x.ChangedSince(x.Revision())) > 0 {
			t.Fatalf("%v\n%v\n%v", x.ChangedSince(0), y.ChangedSince(0), z.ChangedSince(0))
		}
	})
}

// However often entries change, what is kept of their order is bounded, and all that changed since is told from it.
func TestChangesAreBounded(t *testing.T) {
	x := New()
	for i := range uint64(2000) {
		x.Merge(Backend{Node: string(rune('a' + i%3)), Version: i + 1})
		if len(x.changes) > 2*3+staleChanges || len(x.ChangedSince(max(i, 2)-2)) != int(min(i+1, 3)) {
			t.Fatalf("%d changes are kept, %v are told", len(x.changes), x.ChangedSince(max(i, 2)-2))
		}
	}
}
