package peers

import (
	"fmt"
	"testing"
	"time"

	"saltmast/internal/shared"
	"saltmast/internal/standin/between"
	"saltmast/internal/testsupport"
)

// BenchmarkFleet measures thirty agents at service's spans, each behind a forwarder: what one sends a second, at rest and
// while all count, and how long it takes until all others hold one for gone that is
// cut off.
func BenchmarkFleet(b *testing.B) {
	const n, gone = 30, 4
	until := func(ok func() bool) {
		for end := time.Now().Add(time.Minute); !ok(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				b.Fatal("waited in vain")
			}
		}
	}
	for range b.N {
		net := between.New(1)
		var all []*Peers
		for i := range n {
			o := options(fmt.Sprintf("agent-%02d", i), &testsupport.Capture{})
			o.Members, o.BytesASec, o.StateBytes = 512, 768, 1<<20
			o.Probe, o.Exchange, o.Rejoin = time.Second, 30*time.Second, 5*time.Second
			o.Listen = fmt.Sprintf("127.77.0.%d:%d", i+1, 20000+i)
			var err error
			if o.Advertise, err = net.Add(fmt.Sprintf("127.78.0.%d", i+1), o.Listen); err != nil {
				b.Fatal(err)
			}
			if i > 0 {
				o.Join = join(all[0])
			}
			p, _ := start(b, o)
			all = append(all, p)
		}
		began := time.Now()
		agree := func(alive int, of []*Peers) func() bool {
			return func() bool {
				for _, p := range of {
					if p.View().Alive != alive {
						return false
					}
				}
				return true
			}
		}
		until(agree(n, all))
		b.Logf("all know all after %v", time.Since(began))
		time.Sleep(15 * time.Second)
		rate := func(what string, span time.Duration, each func()) {
			was, at := net.Stats(), time.Now()
			for time.Since(at) < span {
				each()
				time.Sleep(time.Second)
			}
			s, d := net.Stats(), time.Since(at).Seconds()*n
			b.Logf("%s: %.0f bytes in %.2f datagrams a second for each", what, float64(s.Bytes-was.Bytes)/d, float64(s.Datagrams-was.Datagrams)/d)
		}
		rate("at rest", 20*time.Second, func() {})
		rate("all count", 20*time.Second, func() {
			for _, p := range all {
				p.Count(0, 0, shared.Requests)
			}
		})
		others := make([]int, n)
		for i := range others {
			others[i] = i
		}
		var took time.Duration
		for k := 1; k <= gone; k++ {
			began = time.Now()
			net.Between(others[n-k:], others[:n-k], true, between.Link{Cut: true})
			until(agree(n-k, all[:n-k]))
			took += time.Since(began)
		}
		b.Logf("gone to all after %v, as a mean of %d", took/gone, gone)
		net.Close()
	}
}
