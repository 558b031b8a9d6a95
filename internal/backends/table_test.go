package backends

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Tables that merged the same entries are equal, in any order and with any repetition, and the changes since a revision, whole or by
// pages, bring another table up to date.
func TestMergeLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry := rapid.Custom(func(t *rapid.T) Backend {
			b := Backend{Node: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node"),
				Version: rapid.Uint64Range(1, 4).Draw(t, "version"), Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation")}
			b.Capacity = int(b.Version*10 + b.Incarnation) // one source: one content for each version and incarnation
			return b
		})
		entries := rapid.SliceOfN(entry, 0, 12).Draw(t, "entries")
		source, permuted, byChanges, byPages := New(), New(), New(), New()
		revision, upto := uint64(0), uint64(0)
		copyPage := func() (more bool) {
			var page []Backend
			page, upto, more = source.Page(upto, rapid.IntRange(1, 300).Draw(t, "bytes"))
			for _, n := range page {
				byPages.Merge(n)
			}
			return more
		}
		for _, b := range entries {
			was, had := source.Get(b.Node)
			merged := source.Merge(b)
			now, _ := source.Get(b.Node)
			if merged != (now != was || !had) || had && was.newer(now) {
				t.Fatalf("%+v after %+v: %v, %+v", b, was, merged, now)
			}
			if rapid.Bool().Draw(t, "copy a page") {
				copyPage()
			}
			if rapid.Bool().Draw(t, "copy changes") {
				for _, n := range source.ChangedSince(revision) {
					byChanges.Merge(n)
				}
				revision = source.Revision()
			}
		}
		for _, n := range source.ChangedSince(revision) {
			byChanges.Merge(n)
		}
		for _, b := range rapid.Permutation(append(entries, entries...)).Draw(t, "again") {
			permuted.Merge(b)
		}
		for range 4 { // more pages than entries
			if !copyPage() {
				break
			}
		}
		if !reflect.DeepEqual(source.ChangedSince(0), byPages.ChangedSince(0)) || upto != source.Revision() {
			t.Fatalf("by pages: %v up to %d\n%v up to %d", byPages.ChangedSince(0), upto, source.ChangedSince(0), source.Revision())
		}
		if !reflect.DeepEqual(source.ChangedSince(0), permuted.ChangedSince(0)) || !reflect.DeepEqual(source.ChangedSince(0), byChanges.ChangedSince(0)) || len(source.ChangedSince(source.Revision())) > 0 {
			t.Fatalf("%v\n%v\n%v", source.ChangedSince(0), permuted.ChangedSince(0), byChanges.ChangedSince(0))
		}
	})
}

// However often entries change, the list of changes is bounded and still yields all that changed since a revision.
func TestChangesAreBounded(t *testing.T) {
	table := New()
	for i := range uint64(2000) {
		table.Merge(Backend{Node: string(rune('a' + i%3)), Version: i + 1})
		if len(table.changes) > 2*3+maxStaleChanges || len(table.ChangedSince(max(i, 2)-2)) != int(min(i+1, 3)) {
			t.Fatalf("%d changes kept, %v returned", len(table.changes), table.ChangedSince(max(i, 2)-2))
		}
	}
}
