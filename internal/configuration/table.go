package configuration

import "github.com/benbjohnson/immutable"

// sorted is a persistent map in the order of its keys. While it is built it is changed in place, from empty, and nobody else
// has it.
type sorted[K, V any] struct {
	m *immutable.SortedMap[K, V]
	b *immutable.SortedMapBuilder[K, V] // while it is built
}

func sortedOf[K, V any](order immutable.Comparer[K]) sorted[K, V] {
	return sorted[K, V]{b: immutable.NewSortedMapBuilder[K, V](order)}
}

func (t *sorted[K, V]) end() { t.m, t.b = t.b.Map(), nil }

func (t *sorted[K, V]) get(k K) (V, bool) {
	if t.b != nil {
		return t.b.Get(k)
	}
	return t.m.Get(k)
}

func (t *sorted[K, V]) len() int {
	if t.b != nil {
		return t.b.Len()
	}
	return t.m.Len()
}

func (t *sorted[K, V]) set(k K, v V) {
	if t.b != nil {
		t.b.Set(k, v)
	} else {
		t.m = t.m.Set(k, v)
	}
}

func (t *sorted[K, V]) delete(k K) {
	if t.b != nil {
		t.b.Delete(k)
	} else {
		t.m = t.m.Delete(k)
	}
}

// table is the same by hashes.
type table[K, V any] struct {
	m *immutable.Map[K, V]
	b *immutable.MapBuilder[K, V]
}

func tableOf[K, V any](of immutable.Hasher[K]) table[K, V] {
	return table[K, V]{b: immutable.NewMapBuilder[K, V](of)}
}

func (t *table[K, V]) end() { t.m, t.b = t.b.Map(), nil }

func (t *table[K, V]) get(k K) (V, bool) {
	if t.b != nil {
		return t.b.Get(k)
	}
	return t.m.Get(k)
}

func (t *table[K, V]) set(k K, v V) {
	if t.b != nil {
		t.b.Set(k, v)
	} else {
		t.m = t.m.Set(k, v)
	}
}

func (t *table[K, V]) delete(k K) {
	if t.b != nil {
		t.b.Delete(k)
	} else {
		t.m = t.m.Delete(k)
	}
}
