package configuration

import (
	"fmt"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// routeItem returns the n-th of many routes: each host has 100 routes, and 50 routes refer to each service.
func routeItem(n int, v Version, b Ballot) Item {
	return Item{Key: Key{Kind: Routes, Name: fmt.Sprintf("berth-%05d", n)}, Version: v, Ballot: b,
		Spec: fmt.Appendf(nil, `{"host":"quay-%d.example","path-prefix":"/b%d/","route-kind":"idempotent","deadline-s":0.8,"target-s":0.3,"priority":2,"split":[{"service":"cranes-%d","weight":%d},{"service":"tugs","weight":10}],"max-attempts":2}`, n/100, n, n/50, 50+v%40)}
}

// routeSet returns a valid set of n routes and their services.
func routeSet(n int) Set {
	b := Ballot{N: 1, Proposer: 1}
	items := []Item{{Key: Key{Kind: Services, Name: "tugs"}, Version: 1, Ballot: b, Spec: []byte(`{}`)}}
	for i := range n {
		if i%50 == 0 {
			items = append(items, Item{Key: Key{Kind: Services, Name: fmt.Sprint("cranes-", i/50)}, Version: 1, Ballot: b, Spec: []byte(`{"connection-limit":130}`)})
		}
		items = append(items, routeItem(i, 1, b))
	}
	return SetOf(items...)
}

// BenchmarkChange changes one route of many: the set and its routing table are updated and checked, and the change is encoded.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := routeSet(n).WithRoutingTable()
			b.ReportAllocs()
			bytes, k := 0, 1
			for b.Loop() {
				k++
				at := Ballot{N: uint64(k), Proposer: 1}
				next := s.With(routeItem(k*7919%n, Version(k), at))
				if next.Check() != nil || s.Check() != nil || next.RoutingTable() == nil {
					b.Fatal("invalid")
				}
				raw, err := cbor.Marshal(slices.Collect(next.Since(Ballot{N: at.N - 1, Proposer: 1})))
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(raw)
				s = next
			}
			b.ReportMetric(float64(bytes)/float64(k-1), "wire-B/op")
		})
	}
}

func BenchmarkRead(b *testing.B) {
	s := routeSet(10000)
	b.Run("set", func(b *testing.B) {
		b.ReportAllocs()
		items := slices.Collect(s.All())
		for b.Loop() {
			SetOf(items...)
		}
	})
	b.Run("chart", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.RoutingTable()
		}
	})
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			s.Encode()
		}
	})
	b.Run("route", func(b *testing.B) {
		c := s.RoutingTable()
		b.ReportAllocs()
		for b.Loop() {
			if c.Route("Quay-7.example:80", "/b777/x") == nil {
				b.Fatal("no route")
			}
		}
	})
	b.Run("route-plain", func(b *testing.B) {
		c := s.RoutingTable()
		b.ReportAllocs()
		for b.Loop() {
			if c.Route("quay-7.example", "/b777/x") == nil {
				b.Fatal("no route")
			}
		}
	})
}
