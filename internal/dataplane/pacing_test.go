package dataplane

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/controlapi"
)

const (
	linkMbps           = 12.0
	linkBytesPerSecond = linkMbps * 1e6 / 8
	largeResponse      = 400 << 10
	smallResponseLimit = 40 * time.Millisecond // for a small response over the link
)

// Small responses are fast while large ones use the same narrow link: from one machine's backend to other machines.
func TestSmallResponsesBesideLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, slowIdempotentRoute, func(o io.Writer, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/a/large") {
				respondWithSize(o, r, 200, largeResponse)
			} else {
				respondWithID(o, r)
			}
		})
		w.Inbound.Heartbeat(controlapi.Heartbeat{ID: "i-1", Service: "ledger", Capacity: 8, Sequence: 2, State: backends.Serving})
		w.network.Narrow(w.machine, linkBytesPerSecond)
		entry := w.secondProxy(t, slowIdempotentRoute)
		large := make(chan int64)
		for i := range 3 {
			c := entry.dial(t, entry.clientAddr)
			fmt.Fprintf(c, "GET /a/large HTTP/1.1\r\nHost: h\r\n%s: l%d\r\n\r\n", HeaderAttemptID, i)
			go func() {
				r, err := http.ReadResponse(c.in, nil)
				if err != nil {
					large <- 0
					return
				}
				n, _ := io.Copy(io.Discard, r.Body)
				large <- n
			}()
		}
		small := entry.dial(t, entry.clientAddr)
		slowest := time.Duration(0)
		for i := range 15 {
			time.Sleep(30 * time.Millisecond)
			sent := time.Now()
			if r, err := small.request(fmt.Sprint("s", i)); err != nil || r.StatusCode != http.StatusOK {
				t.Fatal(r, err)
			}
			slowest = max(slowest, time.Since(sent))
		}
		if slowest > smallResponseLimit {
			t.Errorf("a small response took %v beside large ones", slowest)
		}
		for range 3 {
			if n := <-large; n != largeResponse {
				t.Errorf("%d of %d bytes of a large response", n, largeResponse)
			}
		}
	})
}
