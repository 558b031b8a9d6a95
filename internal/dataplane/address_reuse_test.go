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

// A backend's address is taken over by a new instance. The new instance declines requests meant for the old one until
// the proxy learns of the change, and from then on the proxy rejects them. Connections to one instance are not used for
// the other, also those that were in use during the change.
func TestBackendAddressReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		current, slow := "i-1", 0*time.Second
		var readBy []string // instances whose connections a request was read on
		w := newTestProxy(t, idempotentRoute, func(o io.Writer, r *http.Request) {
			id, to := r.Header.Get(HeaderAttemptID), r.Header.Get(HeaderTargetInstance)
			mu.Lock()
			readBy = append(readBy, to)
			mine, delay := to == current, slow
			mu.Unlock()
			if !mine {
				fmt.Fprintf(o, "HTTP/1.1 421 x\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", HeaderAttemptID, id, declines)
				return
			}
			time.Sleep(delay)
			respondWithID(o, r)
		})
		n := 0
		send := func(to string) outcome {
			n++
			id := fmt.Sprint("q", n)
			return w.Inbound.execute(context.Background(), &peerRequest{Instance: to, Service: "ledger", Method: "GET", Target: "/", ID: id, RemainingMs: 5000,
				Header: []Field{{Name: HeaderAttemptID, Value: id}, {Name: "Host", Value: "h"}}}, nil, nil)
		}
		want := func(what string, o outcome, k errcode.Kind) {
			t.Helper()
			if o.Code != k {
				t.Errorf("%s: %v, %v; want %v", what, o.Code, o.err, k)
			}
		}
		want("the first instance", send("i-1"), errcode.OK)
		setOwner := func(as string, delay time.Duration) {
			mu.Lock()
			defer mu.Unlock()
			current, slow = as, delay
		}
		setOwner("i-1", time.Second)
		result := make(chan outcome)
		go func() { result <- send("i-1") }()
		time.Sleep(time.Second / 2)
		setOwner("i-2", 0)
		want("a new instance that the proxy does not know yet", send("i-1"), errcode.Declined)
		w.Inbound.Heartbeat(controlapi.Heartbeat{ID: "i-2", Service: "ledger", Capacity: 2, Sequence: 1, State: backends.Serving})
		want("the request that was running", <-result, errcode.OK)
		synctest.Wait()
		if idle := w.Inbound.pool.IdleCount("i-1") + w.Inbound.pool.IdleCount("i-2"); idle != 0 {
			t.Errorf("%d connections of the first instance are kept", idle)
		}
		want("a request for the first instance", send("i-1"), errcode.BackendReplaced)
		want("the second instance", send("i-2"), errcode.OK)
		mu.Lock()
		defer mu.Unlock()
		if w.Inbound.pool.IdleCount("i-2") != 1 || len(readBy) != 4 {
			t.Errorf("%d connections kept; requests came for %v", w.Inbound.pool.IdleCount("i-2"), readBy)
		}
	})
}
