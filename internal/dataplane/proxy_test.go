package dataplane

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/controlapi"
	"saltmast/internal/idempotency"
	"saltmast/internal/messages"
	"saltmast/internal/quorum"
	"saltmast/internal/simulation/network"
	"saltmast/internal/sock"
)

// testProxy is one proxy with a local backend, on an in-memory network in virtual time.
type testProxy struct {
	*DataPlane
	network    *network.Sea
	machine    *network.Machine
	process    *network.Process
	clientAddr string
}

// newTestProxy starts a testProxy. answer writes the backend's response to each request, whose body it may read.
func newTestProxy(t *testing.T, route string, answer func(w io.Writer, r *http.Request)) *testProxy {
	const ip = "10.0.0.1"
	s := network.New(1)
	m := s.Machine(ip, "north")
	p := m.Start()
	on := &testProxy{network: s, machine: m, process: p, clientAddr: ip + ":81"}
	listen := func(addr string) net.Listener {
		l, err := p.Listen(addr, 0)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	back := listen(ip + ":80")
	go func() {
		for {
			c, err := back.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					answer(c, r)
					io.Copy(io.Discard, r.Body)
				}
			}()
		}
	}()
	on.DataPlane = New(Options{Node: "n", Zone: "north", Service: "ledger", App: ip + ":80", InboundAddr: ip + ":82", Incarnation: 7, Started: time.Now(),
		Heartbeat: time.Hour, RetryRatio: 1, RetryAllowance: 100, RetryWindow: 10 * time.Second, OperationWindow: time.Minute, ResponseBytes: 1 << 20,
		LinkMbps: linkMbps, Net: p, Quorum: quorum.New(p), Log: func(event, text string) { t.Log(event, text) }})
	on.Inbound.OnChange(func(b backends.Backend) { on.UpdateLocalBackend(b) })
	on.applyConfiguration(t, route, "{}")
	on.Inbound.Heartbeat(controlapi.Heartbeat{ID: "i-1", Service: "ledger", Capacity: 2, Sequence: 1, State: backends.Serving})
	go on.Serve(listen(on.clientAddr))
	t.Cleanup(func() {
		p.End()
		on.Stop(0)
		on.Close()
	})
	return on
}

// request sends one request on a new connection and reads its response.
func (w *testProxy) request(t *testing.T, head string, body func(net.Conn)) (*http.Response, string, error) {
	c, err := w.process.Dial(t.Context(), w.clientAddr, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "%s\r\nHost: h\r\n%s: r-1\r\n", strings.ReplaceAll(head, "\n", "\r\n"), HeaderAttemptID)
	io.WriteString(c, "\r\n")
	if body != nil {
		body(c)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	b, err := io.ReadAll(r.Body)
	return r, string(b), err
}

const idempotentRoute = `{"host":"h","path-prefix":"/a/","route-kind":"idempotent","deadline-s":60,"target-s":30,"service":"ledger","max-attempts":2}`

// respondWithSize writes a response as backends do.
func respondWithSize(w io.Writer, r *http.Request, status, size int) {
	fmt.Fprintf(w, "HTTP/1.1 %d x\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", status, HeaderAttemptID, r.Header.Get(HeaderAttemptID), HeaderServerSeal, size,
		strings.Repeat("x", size))
}

// A long 5xx response of the backend holds its place only while it may still be returned to the client.
func TestLongFailureReleasesItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		w := newTestProxy(t, idempotentRoute, func(w io.Writer, r *http.Request) {
			if n++; n == 1 {
				respondWithSize(w, r, 500, 100<<10)
			} else {
				respondWithSize(w, r, 200, 3)
			}
		})
		r, body, err := w.request(t, "GET /a/1 HTTP/1.1", nil)
		if err != nil || r.StatusCode != 200 || body != "xxx" {
			t.Fatalf("%v, %v", r, err)
		}
		synctest.Wait()
		if running, waiting := w.Inbound.load(); running+waiting != 0 {
			t.Errorf("%d running and %d waiting while idle", running, waiting)
		}
	})
}

// failingNet is a network on which no dial succeeds.
type failingNet struct {
	sock.Net
	dial func()
}

func (d failingNet) Dial(context.Context, string, time.Duration) (net.Conn, error) {
	d.dial()
	return nil, net.ErrClosed
}

// A request in progress when its proxy closes is given up, since no further attempt can be allowed.
func TestBalancerStoppedDuringRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, idempotentRoute, func(io.Writer, *http.Request) { t.Error("the request ran") })
		w.Inbound.Deregister("i-1")
		w.UpdateBackends([]backends.Backend{{Node: "m", Addr: "10.0.0.2:82", Zone: "south", Version: 1, Instance: "i-2", Service: "ledger", Capacity: 1, State: backends.Serving}})
		n := 0
		w.peers.pool.Net = failingNet{w.process, func() {
			if n++; n == 1 {
				w.balancer.Stop()
			} else if n > 20 {
				time.Sleep(time.Minute) // otherwise synctest time never advances
			}
		}}
		if r, _, err := w.request(t, "GET /a/1 HTTP/1.1", nil); err != nil || r.StatusCode != 503 || n != 1 {
			t.Errorf("%v, %v after %d attempts, want 503 after one", r, err, n)
		}
	})
}

// A body may take any time while it makes progress: only a stall is limited.
func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := 0
		w := newTestProxy(t, idempotentRoute, func(w io.Writer, r *http.Request) {
			b, err := io.ReadAll(r.Body)
			if got = len(b); err == nil {
				respondWithSize(w, r, 200, 1)
			}
		})
		const pieces, piece = 20, 10 << 10
		r, _, err := w.request(t, fmt.Sprintf("PUT /a/1 HTTP/1.1\nContent-Length: %d", pieces*piece), func(c net.Conn) {
			for range pieces {
				time.Sleep(stallTimeout / 5) // synctest time
				io.WriteString(c, strings.Repeat("x", piece))
			}
		})
		if err != nil || r.StatusCode != 200 || got != pieces*piece {
			t.Errorf("%v, %v; the backend got %d bytes of %d", r, err, got, pieces*piece)
		}
	})
}

// A long streamed body goes to a backend without a free place on another machine: the proxy there responds before it
// has read all, and the client gets the response that nothing ran.
func TestLongBodyRejectedByPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, strings.Replace(idempotentRoute, `"target-s":30`, `"target-s":0.4`, 1), func(w io.Writer, r *http.Request) { t.Error("the request ran") })
		m := w.network.Machine("10.0.0.2", "south").Start()
		l, err := m.Listen("10.0.0.2:82", 0)
		if err != nil {
			t.Fatal(err)
		}
		remote := newInbound(Options{Node: "m", Service: "ledger", InboundAddr: "10.0.0.2:82", Incarnation: 8, Started: time.Now(), Heartbeat: time.Hour,
			OperationWindow: time.Minute, Net: m, Log: func(string, string) {}}, nil)
		go remote.Serve(l, nil)
		defer func() { m.End(); remote.ClosePeers(); remote.operations.Stop() }()
		remote.Heartbeat(controlapi.Heartbeat{ID: "i-2", Service: "ledger", Capacity: 1, Sequence: 1, State: backends.Serving})
		remote.acquire(context.Background(), &peerRequest{Instance: "i-2", Service: "ledger"}) // takes its only place
		w.Inbound.Deregister("i-1")
		w.UpdateBackends([]backends.Backend{remote.Backend()})
		r, _, err := w.request(t, "PUT /a/1 HTTP/1.1\nContent-Length: 3000000", func(c net.Conn) { io.WriteString(c, strings.Repeat("x", 3000000)) })
		if err != nil || r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
			t.Errorf("%v, %v", r, err)
		}
	})
}

// A claim for which no majority can be reached is made through another proxy, however soon that shows.
func TestClaimRelayedByPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, idempotentRoute, func(io.Writer, *http.Request) {})
		w.network.Machine("10.0.0.9", "north") // nobody listens there
		w.options.Quorum.Update(messages.VoterSet{Epoch: 1, Voters: []messages.Voter{{Addr: "10.0.0.9:1"}, {Addr: "10.0.0.9:2"}, {Addr: "10.0.0.9:3"}}})
		m := w.network.Machine("10.0.0.2", "north").Start()
		l, err := m.Listen("10.0.0.2:82", 0)
		if err != nil {
			t.Fatal(err)
		}
		other := newTestInbound(t)
		go other.Serve(l, func(a *peerRequest, _ []byte) outcome {
			return outcome{peerResponse: peerResponse{Verdict: idempotency.Won}}
		})
		w.UpdateBackends([]backends.Backend{{Node: "other", Addr: "10.0.0.2:82", Version: 1}})
		for n := range uint64(20) {
			if v, _ := w.claimWithRelays("k", idempotency.ID{Incarnation: 7, N: n + 1}, claimTimeout); v != idempotency.Won {
				t.Errorf("claim %d: verdict %d", n, v)
			}
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
		}
		w.options.Quorum.Close()
		m.End()
		other.ClosePeers()
		other.operations.Stop()
	})
}
