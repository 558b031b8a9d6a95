package configuration

import "github.com/benbjohnson/immutable"

// sortedMap is a persistent map ordered by key. Until freeze is called it is built in place, starting empty, and must not be
// shared.
type sortedMap[K, V any] struct {
	frozen  *immutable.SortedMap[K, V]
	builder *immutable.SortedMapBuilder[K, V] // nil once frozen
}

func newSortedMap[K, V any](order immutable.Comparer[K]) sortedMap[K, V] {
	return sortedMap[K, V]{builder: immutable.NewSortedMapBuilder[K, V](order)}
}

func (t *sortedMap[K, V]) freeze() { t.frozen, t.builder = t.builder.Map(), nil }

func (t *sortedMap[K, V]) get(k K) (V, bool) {
	if t.builder != nil {
		return t.builder.Get(k)
	}
	return t.frozen.Get(k)
}

func (t *sortedMap[K, V]) len() int {
	if t.builder != nil {
		return t.builder.Len()
	}
	return t.frozen.Len()
}

func (t *sortedMap[K, V]) set(k K, v V) {
	if t.builder != nil {
		t.builder.Set(k, v)
	} else {
		t.frozen = t.frozen.Set(k, v)
	}
}

func (t *sortedMap[K, V]) delete(k K) {
	if t.builder != nil {
		t.builder.Delete(k)
	} else {
		t.frozen = t.frozen.Delete(k)
	}
}

// hashMap is a persistent hash map, built in the same way as a sortedMap.
type hashMap[K, V any] struct {
	frozen  *immutable.Map[K, V]
	builder *immutable.MapBuilder[K, V]
}

func newHashMap[K, V any](hasher immutable.Hasher[K]) hashMap[K, V] {
	return hashMap[K, V]{builder: immutable.NewMapBuilder[K, V](hasher)}
}

func (t *hashMap[K, V]) freeze() { t.frozen, t.builder = t.builder.Map(), nil }

func (t *hashMap[K, V]) get(k K) (V, bool) {
	if t.builder != nil {
		return t.builder.Get(k)
	}
	return t.frozen.Get(k)
}

func (t *hashMap[K, V]) set(k K, v V) {
	if t.builder != nil {
		t.builder.Set(k, v)
	} else {
		t.frozen = t.frozen.Set(k, v)
	}
}

func (t *hashMap[K, V]) delete(k K) {
	if t.builder != nil {
		t.builder.Delete(k)
	} else {
		t.frozen = t.frozen.Delete(k)
	}
}
