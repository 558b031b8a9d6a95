package configuration

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkTombstone measures the size of a tombstone in memory and in a message.
func BenchmarkTombstone(b *testing.B) {
	const n = 100000
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := routeSet(100)
		for i := range n {
			s = s.With(Item{Key: Key{Kind: Routes, Name: fmt.Sprintf("gone-%07d", i)}, Version: 9, Ballot: Ballot{N: uint64(i + 2), Proposer: 77}, Deleted: true})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		i, _ := s.Get(Key{Kind: Routes, Name: "gone-0000007"})
		raw, err := cbor.Marshal(i)
		if err != nil || s.Len() < n {
			b.Fatal(err)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "heap-B/tombstone")
		b.ReportMetric(float64(len(raw)), "wire-B/tombstone")
	}
}
