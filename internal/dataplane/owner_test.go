package dataplane

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/controlapi"
	"saltmast/internal/errcode"
)

// An address with a new owner: what is meant for the former life is declined by the new one until the gate hears of it, and refused
// by the gate from then on; connections of the one are none of the other's, also those that were at work when it changed.
func TestAddressWithANewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		life, slow := "i-1", 0*time.Second
		var over []string // lives whose connections a request was read on
		w := newWay(t, lookup, func(o io.Writer, r *http.Request) {
			id, to := r.Header.Get(HeaderID), r.Header.Get(HeaderTarget)
			mu.Lock()
			over = append(over, to)
			ours, took := to == life, slow
			mu.Unlock()
			if !ours {
				fmt.Fprintf(o, "HTTP/1.1 421 x\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", HeaderID, id, declines)
				return
			}
			time.Sleep(took)
			says(o, r)
		})
		n := 0
		do := func(to string) outcome {
			n++
			id := fmt.Sprint("q", n)
			return w.Gate.run(context.Background(), &ask{Instance: to, Service: "ledger", Method: "GET", Target: "/", ID: id, Left: 5000,
				Header: []Field{{Name: HeaderID, Value: id}, {Name: "Host", Value: "h"}}}, nil, nil)
		}
		want := func(what string, o outcome, k errcode.Kind) {
			t.Helper()
			if o.Code != k {
				t.Errorf("%s: %v, %v; want %v", what, o.Code, o.err, k)
			}
		}
		want("the first life", do("i-1"), errcode.OK)
		own := func(as string, took time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			life, slow = as, took
		}
		own("i-1", time.Second)
		got := make(chan outcome)
		go func() { got <- do("i-1") }()
		time.Sleep(time.Second / 2)
		own("i-2", 0)
		want("its address has a new owner that the gate has not heard of", do("i-1"), errcode.Declined)
		w.Gate.Beat(controlapi.Beat{ID: "i-2", Service: "ledger", Capacity: 2, Count: 1, State: backends.Serving})
		want("what was at work", <-got, errcode.OK)
		synctest.Wait()
		if idle := w.Gate.pool.Idle("i-1") + w.Gate.pool.Idle("i-2"); idle != 0 {
			t.Errorf("%d connections of the first life are kept", idle)
		}
		want("what is meant for the first life", do("i-1"), errcode.BackendReplaced)
		want("the second life", do("i-2"), errcode.OK)
		mu.Lock()
		defer mu.Unlock()
		if w.Gate.pool.Idle("i-2") != 1 || len(over) != 4 {
			t.Errorf("%d connections kept; requests came for %v", w.Gate.pool.Idle("i-2"), over)
		}
	})
}
