package configuration

import (
	"cmp"
	"iter"

	"github.com/benbjohnson/immutable"
)

// Set is a configuration, including tombstones, in a persistent map. A Set is immutable and safe for concurrent use. Sets that
// differ in an item share everything else, so that the cost of a change does not depend on the size of the set. The zero Set is
// empty.
type Set struct {
	items        *immutable.SortedMap[Key, Item]
	byChange     *immutable.SortedMap[Cursor, struct{}] // keys ordered by the ballot of their last change
	routingTable *RoutingTable                          // of the items; nil unless it is kept
}

// Cursor is a position in the order of changes: just after the change of Key under Ballot.
type Cursor struct {
	_      struct{} `cbor:",toarray"`
	Ballot Ballot
	Key    Key
}

// CursorAfter returns the position after all changes under a ballot.
func CursorAfter(b Ballot) Cursor { return Cursor{Ballot: b, Key: Key{Kind: 255}} }

type keyOrder struct{}

func (keyOrder) Compare(a, b Key) int { return a.compare(b) }

type changeOrder struct{}

func (changeOrder) Compare(a, b Cursor) int {
	return cmp.Or(a.Ballot.compare(b.Ballot), a.Key.compare(b.Key))
}

// SetOf returns the set of items. Of several items with the same key the last one is used.
func SetOf(items ...Item) Set { return Set{}.With(items...) }

// With returns s with items added, each replacing the item with the same key.
func (s Set) With(items ...Item) Set {
	if len(items) > s.Len() {
		return s.rebuild(items)
	}
	s.routingTable = s.routingTable.clone()
	for _, i := range items {
		old, ok := s.items.Get(i.Key)
		if ok && old.Ballot != i.Ballot {
			s.byChange = s.byChange.Delete(Cursor{Ballot: old.Ballot, Key: i.Key})
		}
		s.routingTable.apply(ok && !old.Deleted, i)
		s.items = s.items.Set(i.Key, i)
		s.byChange = s.byChange.Set(Cursor{Ballot: i.Ballot, Key: i.Key}, struct{}{})
	}
	return s
}

// rebuild is With for more items than s holds: building all maps anew is much cheaper then.
func (s Set) rebuild(items []Item) Set {
	all := newSortedMap[Key, Item](keyOrder{})
	changed := newSortedMap[Cursor, struct{}](changeOrder{})
	for i := range s.All() {
		all.set(i.Key, i)
	}
	for _, i := range items {
		all.set(i.Key, i)
	}
	all.freeze()
	next := Set{items: all.frozen}
	for i := range next.All() {
		changed.set(Cursor{Ballot: i.Ballot, Key: i.Key}, struct{}{})
	}
	changed.freeze()
	next.byChange = changed.frozen
	if s.routingTable != nil {
		next.routingTable = newRoutingTable(next.All())
	}
	return next
}

// Without returns s without the items of the given keys.
func (s Set) Without(keys ...Key) Set {
	s.routingTable = s.routingTable.clone()
	for _, k := range keys {
		if old, ok := s.Get(k); ok {
			s.routingTable.apply(!old.Deleted, Item{Key: k, Deleted: true})
			s.items = s.items.Delete(k)
			s.byChange = s.byChange.Delete(Cursor{Ballot: old.Ballot, Key: k})
		}
	}
	return s
}

// WithRoutingTable returns s with its routing table kept, also in sets derived from it: the cost of Check and RoutingTable then
// depends on what changed, as for With.
func (s Set) WithRoutingTable() Set {
	s.routingTable = s.RoutingTable()
	return s
}

// RoutingTable returns the routing table of s. It never fails, and equal sets give equal tables. Items that cannot be decoded
// are left out. Of routes with the same host and prefix the one with the highest version is used, then the one with the lowest
// name. Routes to unknown services are kept. All items are decoded unless s came from WithRoutingTable.
func (s Set) RoutingTable() *RoutingTable {
	if s.routingTable != nil {
		return s.routingTable
	}
	return newRoutingTable(s.All())
}

// UpdatedTo returns s changed to equal o, another value of the same register: items with equal ballots are taken as equal. It
// visits all items but changes only those that differ, so that the routing table of s is updated instead of rebuilt.
func (s Set) UpdatedTo(o Set) Set {
	var changes []Item
	for i := range o.All() {
		if have, ok := s.Get(i.Key); !ok || have.Ballot != i.Ballot {
			changes = append(changes, i)
		}
	}
	s = s.With(changes...)
	var removed []Key
	if s.Len() > o.Len() {
		for i := range s.All() {
			if _, ok := o.Get(i.Key); !ok {
				removed = append(removed, i.Key)
			}
		}
	}
	return s.Without(removed...)
}

// Get returns the item of a key, which may be a tombstone.
func (s Set) Get(k Key) (Item, bool) {
	if s.items == nil {
		return Item{}, false
	}
	return s.items.Get(k)
}

// Len returns the number of items, including tombstones.
func (s Set) Len() int {
	if s.items == nil {
		return 0
	}
	return s.items.Len()
}

// All iterates over the items by kind and name, including tombstones.
func (s Set) All() iter.Seq[Item] {
	return func(yield func(Item) bool) {
		if s.items == nil {
			return
		}
		for it := s.items.Iterator(); !it.Done(); {
			if _, i, _ := it.Next(); !yield(i) {
				return
			}
		}
	}
}

// Since iterates over the items whose last change has a ballot after b, in the order of ballots. Its cost depends only on the
// number of items returned.
func (s Set) Since(b Ballot) iter.Seq[Item] { return s.changedAfter(CursorAfter(b)) }

// changedAfter iterates over the items whose last change is after c.
func (s Set) changedAfter(c Cursor) iter.Seq[Item] {
	return func(yield func(Item) bool) {
		if s.byChange == nil {
			return
		}
		it := s.byChange.Iterator()
		it.Seek(c)
		for !it.Done() {
			at, _, _ := it.Next()
			if at == c {
				continue
			}
			if i, _ := s.items.Get(at.Key); !yield(i) {
				return
			}
		}
	}
}

// Page returns the items changed after from, up to the given number of bytes but at least one item, and the cursor of the next
// page, which is nil at the end. Tombstones with ballots up to since are left out. Pages may be read from successive sets, each
// derived from the previous one by changes with higher ballots: together they make up the set of the last page.
func (s Set) Page(from Cursor, since Ballot, bytes int) (items []Item, next *Cursor) {
	for i := range s.changedAfter(from) {
		if i.Deleted && !since.Less(i.Ballot) {
			continue
		}
		if bytes -= i.size(); bytes < 0 && len(items) > 0 {
			last := items[len(items)-1]
			return items, &Cursor{Ballot: last.Ballot, Key: last.Key}
		}
		items = append(items, i)
	}
	return items, nil
}

// size returns the approximate size of an item in a message, in bytes.
func (i Item) size() int { return 32 + len(i.Key.Name) + len(i.Spec) }

// Join returns s with i added if i is higher than the item under its key, and reports whether it is. Items are ordered by
// version, then ballot, then content, so that sets that were joined with the same items are equal.
func (s Set) Join(i Item) (Set, bool) {
	if have, ok := s.Get(i.Key); ok && i.compare(have) <= 0 {
		return s, false
	}
	return s.With(i), true
}
