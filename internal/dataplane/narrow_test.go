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
	narrowMbps  = 12.0
	narrowBytes = narrowMbps * 1e6 / 8
	largeAnswer = 400 << 10
	promptTime  = 40 * time.Millisecond // for a small answer over the link
)

// Small answers come promptly while large ones go over the same narrow link: those of one machine's backend to other machines.
func TestSmallAnswersBesideLargeOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWay(t, slowLookup, func(o io.Writer, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, "/a/large") {
				serves(o, r, 200, largeAnswer)
			} else {
				says(o, r)
			}
		})
		w.Gate.Beat(controlapi.Heartbeat{ID: "i-1", Service: "ledger", Capacity: 8, Sequence: 2, State: backends.Serving})
		w.sea.Narrow(w.m, narrowBytes)
		by := w.other(t, slowLookup)
		large := make(chan int64)
		for i := range 3 {
			c := by.keep(t, by.front)
			fmt.Fprintf(c, "GET /a/large HTTP/1.1\r\nHost: h\r\n%s: l%d\r\n\r\n", HeaderID, i)
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
		small := by.keep(t, by.front)
		slowest := time.Duration(0)
		for i := range 15 {
			time.Sleep(30 * time.Millisecond)
			at := time.Now()
			if r, err := small.ask(fmt.Sprint("s", i)); err != nil || r.StatusCode != http.StatusOK {
				t.Fatal(r, err)
			}
			slowest = max(slowest, time.Since(at))
		}
		if slowest > promptTime {
			t.Errorf("a small answer took %v beside large ones", slowest)
		}
		for range 3 {
			if n := <-large; n != largeAnswer {
				t.Errorf("%d of %d bytes came of a large one", n, largeAnswer)
			}
		}
	})
}
