package dataplane

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/idempotency"
)

// Interim (1xx) responses ahead of the final one are skipped, up to a bound.
func TestInterimResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		w := newTestProxy(t, idempotentRoute, func(o io.Writer, r *http.Request) {
			io.WriteString(o, strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", n))
			respondWithID(o, r)
		})
		for n = range maxInterimResponses {
			if r, body, err := w.request(t, "GET /a/1 HTTP/1.1", nil); err != nil || r.StatusCode != 200 || body != "of r-1" {
				t.Fatalf("after %d interim responses: %v, %q, %v", n, r, body, err)
			}
		}
		n = 2 * maxInterimResponses
		if r, _, err := w.request(t, "GET /a/1 HTTP/1.1", nil); err != nil || r.StatusCode != 502 {
			t.Errorf("after %d interim responses: %v, %v", n, r, err)
		}
	})
}

// The stored response to the first request with a key goes to a repeat that is a HEAD without its body: the client
// would read the body as the next response.
func TestStoredResponseToHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, strings.Replace(idempotentRoute, "idempotent", "deduplicated", 1), func(io.Writer, *http.Request) { t.Error("the request ran again") })
		id := idempotency.ID{Incarnation: 7, N: 1}
		w.operations.Do(func(b *idempotency.Cache[*Response]) {
			b.Begin(w.now(), "k", id)
			b.Finish("k", id, idempotency.Done, &Response{Status: 200, Header: []Field{{Name: HeaderAttemptID, Value: "A"}}, Body: []byte("kept"), Length: 4}, 4, "")
		})
		c, err := w.process.Dial(t.Context(), w.clientAddr, 0)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		in := bufio.NewReader(c)
		for i, method := range []string{"HEAD", "POST", "HEAD", "POST"} {
			fmt.Fprintf(c, "%s /a/ HTTP/1.1\r\nHost: h\r\n%s: r-%d\r\n%s: k\r\nContent-Length: 0\r\n\r\n", method, HeaderAttemptID, i, HeaderOperationKey)
			r, err := http.ReadResponse(in, &http.Request{Method: method})
			if err != nil {
				t.Fatalf("%s: %v", method, err)
			}
			if b, err := io.ReadAll(r.Body); err != nil || r.Header.Get(HeaderAttemptID) != fmt.Sprint("r-", i) || method == "POST" && string(b) != "kept" {
				t.Errorf("%s: %v, %q, %v", method, r, b, err)
			}
		}
	})
}

// A long response that stalls holds its place at the backend until the deadline of its request, and for stallTimeout at
// least. Then it is cut, also behind another proxy.
func TestStalledLongResponse(t *testing.T) {
	for _, left := range []time.Duration{time.Second, 20 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			const size = 4 * bufferedBodyBytes
			w := newTestProxy(t, idempotentRoute, func(o io.Writer, r *http.Request) {
				fmt.Fprintf(o, "HTTP/1.1 200 x\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", HeaderAttemptID, r.Header.Get(HeaderAttemptID), HeaderServerSeal, size,
					strings.Repeat("x", size/2))
				time.Sleep(2 * time.Minute)
			})
			remote := newRemotePeer(t)
			defer remote.end()
			go func() {
				c, in := remote.accept(t)
				var a peerRequest
				readMessage(in, &a)
				c.Write(appendMessage(nil, peerResponse{Status: 200, Length: size, Number: a.Number}, make([]byte, size/2)))
				time.Sleep(2 * time.Minute)
				c.Close()
			}()
			for name, read := range map[string]func() (int, error){
				"local": func() (int, error) {
					_, b, err := w.request(t, fmt.Sprintf("GET /a/1 HTTP/1.1\n%s: %d", HeaderDeadlineRemaining, left.Milliseconds()), nil)
					return len(b), err
				},
				"by another proxy": func() (int, error) {
					o := remote.client.do(context.Background(), remote.addr, &peerRequest{Kind: runRequest}, nil, nil, time.Now().Add(left))
					b, err := io.ReadAll(o.response.Stream)
					o.response.Close(err == nil)
					return len(o.response.Body) + len(b), err
				},
			} {
				started := time.Now()
				n, err := read()
				if elapsed, minElapsed := time.Since(started), max(left, stallTimeout); err == nil || n != size/2 || elapsed < minElapsed || elapsed > minElapsed+time.Second {
					t.Errorf("%s, %v: %d bytes, %v after %v", name, left, n, err, elapsed)
				}
			}
			if running, waiting := w.Inbound.load(); running+waiting != 0 {
				t.Errorf("%d running and %d waiting while idle", running, waiting)
			}
			time.Sleep(3 * time.Minute)
		})
	}
}

// A request that waited at a frozen proxy until its sender gave up does not run.
func TestAbandonedPeerRequestDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ran := 0
		w := newTestProxy(t, idempotentRoute, func(o io.Writer, r *http.Request) { ran++; respondWithID(o, r) })
		l, err := w.process.Listen("10.0.0.1:82", peerAckTimeout)
		if err != nil {
			t.Fatal(err)
		}
		go w.ServePeers(l)
		for _, abandoned := range []bool{true, false} {
			for range 2 {
				w.Inbound.acquire(context.Background(), &peerRequest{Instance: "i-1", Service: "ledger"})
			}
			c, err := w.process.Dial(t.Context(), "10.0.0.1:82", 0)
			if err != nil {
				t.Fatal(err)
			}
			c.Write(appendMessage(nil, &peerRequest{Kind: runRequest, Instance: "i-1", Service: "ledger", Method: "GET", Target: "/a/", ID: "A", RemainingMs: 60000, MaxQueueMs: 30000,
				Header: []Field{{Name: HeaderAttemptID, Value: "A"}, {Name: "Host", Value: "h"}}}, nil))
			time.Sleep(time.Second)
			if abandoned {
				c.Close()
			}
			time.Sleep(20 * time.Second)
			w.Inbound.release(0)
			w.Inbound.release(0)
			time.Sleep(time.Second)
			if running, waiting := w.Inbound.load(); (ran == 0) != abandoned || running+waiting != 0 || w.Inbound.Counts.Abandoned.Load() != 1 {
				t.Errorf("abandoned: %v: it ran %d times; %d running and %d waiting", abandoned, ran, running, waiting)
			}
			c.Close()
		}
	})
}
