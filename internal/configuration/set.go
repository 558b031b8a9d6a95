package configuration

import (
	"cmp"
	"iter"

	"github.com/benbjohnson/immutable"
)

// Set is a configuration, tombstones included: a persistent map. A Set is a value that never changes, so that any number of
// goroutines may use it; one that differs in an item shares all else with it, and costs what differs, whatever it holds.
// The zero Set is empty.
type Set struct {
	items   *immutable.SortedMap[Key, Item]
	changed *immutable.SortedMap[Cursor, struct{}] // the same by the ballot of their last change
	chart   *Chart                                 // of the items, where it is kept
}

// Cursor is a place in the order of changes: behind the change of a key under a ballot.
type Cursor struct {
	_  struct{} `cbor:",toarray"`
	At Ballot
	Of Key
}

// After is the place behind all that changed under a ballot.
func After(b Ballot) Cursor { return Cursor{At: b, Of: Key{Kind: 255}} }

type keyOrder struct{}

func (keyOrder) Compare(a, b Key) int { return a.compare(b) }

type changeOrder struct{}

func (changeOrder) Compare(a, b Cursor) int { return cmp.Or(a.At.compare(b.At), a.Of.compare(b.Of)) }

// SetOf is the set of items. Of those with one key the last counts.
func SetOf(items ...Item) Set { return Set{}.With(items...) }

// With is s with items in the place of those that have their keys.
func (s Set) With(items ...Item) Set {
	if len(items) > s.Len() {
		return s.anew(items)
	}
	s.chart = s.chart.copied()
	for _, i := range items {
		old, ok := s.items.Get(i.Key)
		if ok && old.Ballot != i.Ballot {
			s.changed = s.changed.Delete(Cursor{At: old.Ballot, Of: i.Key})
		}
		s.chart.follow(ok && !old.Dropped, i)
		s.items = s.items.Set(i.Key, i)
		s.changed = s.changed.Set(Cursor{At: i.Ballot, Of: i.Key}, struct{}{})
	}
	return s
}

// anew is With for more items than there are: all are laid out once more, which is cheaper by far.
func (s Set) anew(items []Item) Set {
	all := sortedOf[Key, Item](keyOrder{})
	changed := sortedOf[Cursor, struct{}](changeOrder{})
	for i := range s.All() {
		all.set(i.Key, i)
	}
	for _, i := range items {
		all.set(i.Key, i)
	}
	all.end()
	next := Set{items: all.m}
	for i := range next.All() {
		changed.set(Cursor{At: i.Ballot, Of: i.Key}, struct{}{})
	}
	changed.end()
	next.changed = changed.m
	if s.chart != nil {
		next.chart = chartOf(next.All())
	}
	return next
}

// Without is s without the items of keys.
func (s Set) Without(keys ...Key) Set {
	s.chart = s.chart.copied()
	for _, k := range keys {
		if old, ok := s.Get(k); ok {
			s.chart.follow(!old.Dropped, Item{Key: k, Dropped: true})
			s.items = s.items.Delete(k)
			s.changed = s.changed.Delete(Cursor{At: old.Ballot, Of: k})
		}
	}
	return s
}

// Charted is s with its chart kept beside it, and so is each set made of it: Check and Chart then cost what differs, as With
// does.
func (s Set) Charted() Set {
	s.chart = s.Chart()
	return s
}

// Chart reads a set. It never fails, and equal sets give equal charts: an item that can't be read is left out; of routes that
// share host and prefix the one with the highest version stays, then the one with the lowest name; a route to an unknown
// service stays as it is. Of a set that isn't Charted all items are read.
func (s Set) Chart() *Chart {
	if s.chart != nil {
		return s.chart
	}
	return chartOf(s.All())
}

// Moved is s made equal to o, which is another value of the same register: an item that has one ballot in both is the same.
// It looks at all items and costs no more than that for those which are alike, so that what s keeps beside them stays.
func (s Set) Moved(o Set) Set {
	var changes []Item
	for i := range o.All() {
		if have, ok := s.Get(i.Key); !ok || have.Ballot != i.Ballot {
			changes = append(changes, i)
		}
	}
	s = s.With(changes...)
	var gone []Key
	if s.Len() > o.Len() {
		for i := range s.All() {
			if _, ok := o.Get(i.Key); !ok {
				gone = append(gone, i.Key)
			}
		}
	}
	return s.Without(gone...)
}

// Get is the item of a key, tombstones included.
func (s Set) Get(k Key) (Item, bool) {
	if s.items == nil {
		return Item{}, false
	}
	return s.items.Get(k)
}

// Len is how many items there are, tombstones included.
func (s Set) Len() int {
	if s.items == nil {
		return 0
	}
	return s.items.Len()
}

// All are the items by kind and name, tombstones included.
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

// Since are the items whose last change has a ballot after b, in the order of ballots. It costs what it tells.
func (s Set) Since(b Ballot) iter.Seq[Item] { return s.behind(After(b)) }

// behind are the items whose last change is behind a place in their order.
func (s Set) behind(c Cursor) iter.Seq[Item] {
	return func(yield func(Item) bool) {
		if s.changed == nil {
			return
		}
		it := s.changed.Iterator()
		it.Seek(c)
		for !it.Done() {
			at, _, _ := it.Next()
			if at == c {
				continue
			}
			if i, _ := s.items.Get(at.Of); !yield(i) {
				return
			}
		}
	}
}

// Part is what follows a place in the order of changes, up to so many bytes, one item at the least, and where the next part
// goes on; nil: there is no more. Tombstones of ballots up to since are left out. While the set goes on to others that were
// made of it by changes of higher ballots, the parts of each later one go on from there: together they make the set that the
// last part was of.
func (s Set) Part(from Cursor, since Ballot, bytes int) (items []Item, next *Cursor) {
	for i := range s.behind(from) {
		if i.Dropped && !since.Less(i.Ballot) {
			continue
		}
		if bytes -= i.size(); bytes < 0 && len(items) > 0 {
			last := items[len(items)-1]
			return items, &Cursor{At: last.Ballot, Of: last.Key}
		}
		items = append(items, i)
	}
	return items, nil
}

// size is about what an item takes in a message.
func (i Item) size() int { return 32 + len(i.Key.Name) + len(i.Spec) }

// Join is With for an item that is higher than the one that the set holds under its key, and reports whether it is. Items are
// ordered by version, then ballot, then content, so that sets which were joined with the same items are equal.
func (s Set) Join(i Item) (Set, bool) {
	if have, ok := s.Get(i.Key); ok && i.compare(have) <= 0 {
		return s, false
	}
	return s.With(i), true
}
