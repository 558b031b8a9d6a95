package backends

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkTable measures the time to build a table of the planned size, and its memory per entry.
func BenchmarkTable(b *testing.B) {
	const n = 14000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := New()
		for i := range n {
			t.Merge(Backend{Node: fmt.Sprintf("q-%05d", i), Addr: fmt.Sprintf("127.17.%d.%d:21005", 1+i/250, 1+i%250), Zone: fmt.Sprintf("zone-%02d", i%32), Version: 1,
				Incarnation: uint64(i) << 20, Instance: fmt.Sprintf("i-%d-%06x", i, i), Service: fmt.Sprintf("service-%04d", i%1000), Release: "v1", Capacity: 8, State: Serving})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/entry")
		runtime.KeepAlive(t)
	}
}
