package dataplane

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/quorum"
)

const (
	runTime     = 3 * time.Second        // of a run that nobody cancels
	leaveDelay  = 430 * time.Millisecond // after the request, its client closes the connection
	cancelLimit = 400 * time.Millisecond // until the backend must notice
)

// slowBackend aborts a run when its connection closes, as most backends do.
type slowBackend struct {
	started, ended chan time.Time // of each run; aborted or completed
	head           string         // sent at once, ahead of the work
}

func newSlowBackend() *slowBackend {
	return &slowBackend{started: make(chan time.Time, 8), ended: make(chan time.Time, 8)}
}

func (b *slowBackend) answer(o io.Writer, r *http.Request) {
	c := o.(net.Conn)
	b.started <- time.Now()
	io.WriteString(c, b.head)
	c.SetReadDeadline(time.Now().Add(runTime))
	c.Read(make([]byte, 1))
	b.ended <- time.Now()
	c.SetReadDeadline(time.Time{})
	if b.head == "" {
		respondWithID(o, r)
	}
}

// secondProxy starts a second proxy, on a machine of its own, that knows the first one's backend, and returns it.
func (w *testProxy) secondProxy(t *testing.T, route string) *testProxy {
	t.Helper()
	const ip = "10.0.0.2"
	p := w.network.Machine(ip, "north").Start()
	listen := func(on interface {
		Listen(string, time.Duration) (net.Listener, error)
	}, addr string) net.Listener {
		l, err := on.Listen(addr, 0)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	second := &testProxy{network: w.network, process: p, clientAddr: ip + ":81"}
	second.DataPlane = New(Options{Node: "m", Zone: "north", Service: "caller", App: ip + ":80", InboundAddr: ip + ":82", Incarnation: 8, Started: time.Now(),
		Heartbeat: time.Hour, RetryRatio: 1, RetryAllowance: 100, RetryWindow: 10 * time.Second, OperationWindow: time.Minute, ResponseBytes: 1 << 20,
		LinkMbps: linkMbps, Net: p, Quorum: quorum.New(p), Log: func(event, text string) { t.Log(event, text) }})
	second.applyConfiguration(t, route, "{}")
	second.UpdateBackends([]backends.Backend{w.Inbound.Backend()})
	go w.ServePeers(listen(w.process, "10.0.0.1:82"))
	go second.Serve(listen(p, second.clientAddr))
	t.Cleanup(func() {
		p.End()
		second.Stop(0)
		second.Close()
	})
	return second
}

// sendAndLeave sends a request, closes its connection after leaveDelay, and returns the time of the close.
func (w *testProxy) sendAndLeave(t *testing.T, method, id string) time.Time {
	t.Helper()
	c := w.dial(t, w.clientAddr)
	fmt.Fprintf(c, "%s /a/%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 5000\r\nContent-Length: 0\r\n\r\n", method, id, HeaderAttemptID, id, HeaderDeadlineRemaining)
	time.Sleep(leaveDelay)
	c.Close()
	return time.Now()
}

const (
	slowIdempotentRoute = `{"host":"h","path-prefix":"/a/","route-kind":"idempotent","deadline-s":5,"target-s":0.3,"service":"ledger","max-attempts":2}`
	slowMutatingRoute   = `{"host":"h","path-prefix":"/a/","route-kind":"mutating","deadline-s":5,"target-s":0.3,"service":"ledger","max-attempts":2}`
	slowEgressRoute     = `{"host":"h","path-prefix":"/a/","route-kind":"egress","deadline-s":5,"target-s":0.3,"service":"ledger","max-attempts":2}`
)

// A repeatable run is canceled soon after its client has left, beside the proxy that took the request or behind a
// second one, before its response begins or in the middle of it; its place is free again. A run that is not repeatable
// continues, since its effect may have begun.
func TestRunOfAClientThatLeft(t *testing.T) {
	half := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: q\r\n%s: s\r\nContent-Length: 1000000\r\n\r\n%070000d", HeaderAttemptID, HeaderServerSeal, 0)
	for _, tc := range []struct {
		name, route, method, head     string
		remote, entryStops, continues bool
	}{
		{name: "local", route: slowIdempotentRoute, method: "GET"},
		{name: "by a second proxy", route: slowIdempotentRoute, method: "GET", remote: true},
		{name: "by a second proxy that ends", route: slowIdempotentRoute, method: "GET", remote: true, entryStops: true},
		{name: "in the middle of its response", route: slowEgressRoute, method: "GET", head: half},
		{name: "in the middle of its response, by a second proxy", route: slowEgressRoute, method: "GET", head: half, remote: true},
		{name: "not repeatable", route: slowMutatingRoute, method: "POST", continues: true},
		{name: "not repeatable, by a second proxy", route: slowMutatingRoute, method: "POST", remote: true, continues: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newSlowBackend()
				b.head = tc.head
				w := newTestProxy(t, tc.route, b.answer)
				entry := w
				if tc.remote {
					entry = w.secondProxy(t, tc.route)
				}
				if tc.entryStops {
					time.AfterFunc(leaveDelay, entry.process.End)
				}
				left := entry.sendAndLeave(t, tc.method, "q")
				began, ended := <-b.started, <-b.ended
				delay := ended.Sub(left)
				switch {
				case tc.continues && ended.Sub(began) < runTime:
					t.Errorf("the run was canceled %v after its client had left", delay)
				case !tc.continues && delay > cancelLimit:
					t.Errorf("the run continued for %v after its client had left", delay)
				}
				time.Sleep(time.Second)
				t.Logf("client_left %d, gate_canceled %d", entry.Counts.ClientLeft.Load(), w.Inbound.Counts.Canceled.Load())
				if running, waiting := w.Inbound.load(); running+waiting != 0 {
					t.Errorf("%d running and %d waiting", running, waiting)
				}
			})
		})
	}
}

// A request whose client left while it waited for a place is not sent, whatever its kind.
func TestWaitOfAClientThatLeft(t *testing.T) {
	for _, kind := range []string{"idempotent", "mutating"} {
		for _, remote := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, second proxy %v", kind, remote), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					route := `{"host":"h","path-prefix":"/a/","route-kind":"` + kind + `","deadline-s":20,"target-s":10,"service":"ledger","max-attempts":2}`
					b := newSlowBackend()
					w := newTestProxy(t, route, b.answer)
					entry := w
					if remote {
						entry = w.secondProxy(t, route)
					}
					for i := range 2 { // all places
						fmt.Fprintf(w.dial(t, w.clientAddr), "GET /a/%d HTTP/1.1\r\nHost: h\r\n%s: %d\r\n\r\n", i, HeaderAttemptID, i)
						<-b.started
					}
					entry.sendAndLeave(t, "POST", "q")
					time.Sleep(3 * runTime)
					if len(b.started) > 0 {
						t.Error("the request was sent to the backend")
					}
				})
			})
		}
	}
}

// A request that is read only after its client has left, since the proxy was busy or frozen, is not sent.
func TestRequestReadAfterItsClientLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newSlowBackend()
		w := newTestProxy(t, slowMutatingRoute, b.answer)
		l, err := w.process.Listen("10.0.0.1:83", 0)
		if err != nil {
			t.Fatal(err)
		}
		c := w.dial(t, "10.0.0.1:83")
		fmt.Fprintf(c, "POST /a/q HTTP/1.1\r\nHost: h\r\n%s: q\r\nContent-Length: 0\r\n\r\n", HeaderAttemptID)
		c.Close()
		time.Sleep(time.Second)
		go w.Serve(l)
		time.Sleep(runTime)
		if len(b.started) > 0 || w.Counts.ClientLeft.Load() != 1 {
			t.Errorf("%d runs; %d clients left", len(b.started), w.Counts.ClientLeft.Load())
		}
	})
}

// A failed request is not retried after its client has left, also if the backoff has already begun.
func TestRetryOfAClientThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var last time.Time
		runs := 0
		w := newTestProxy(t, `{"host":"h","path-prefix":"/a/","route-kind":"idempotent","deadline-s":120,"target-s":100,"service":"ledger","max-attempts":6}`,
			func(o io.Writer, r *http.Request) {
				last = time.Now()
				runs++
				respondWithSize(o, r, 500, 3)
			})
		left := w.sendAndLeave(t, "GET", "q")
		time.Sleep(time.Minute)
		if runs == 0 || last.After(left.Add(cancelLimit)) {
			t.Errorf("%d runs, the last %v after the client had left", runs, last.Sub(left))
		}
	})
}

// Canceling one client's run takes no connection from another client, and the backend is not avoided: the next request
// succeeds.
func TestNextRequestAfterAClientLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := newSlowBackend()
		w := newTestProxy(t, slowIdempotentRoute, func(o io.Writer, r *http.Request) {
			if r.Header.Get(HeaderAttemptID) == "q" {
				slow.answer(o, r)
			} else {
				respondWithID(o, r)
			}
		})
		entry := w.secondProxy(t, slowIdempotentRoute)
		conn := entry.dial(t, entry.clientAddr)
		for i := range 5 {
			entry.sendAndLeave(t, "GET", "q")
			if r, err := conn.request(fmt.Sprint("n", i)); err != nil || r.StatusCode != http.StatusOK {
				t.Errorf("request %d: %v, %v", i, r, err)
			}
		}
		time.Sleep(cancelLimit)
		if n := w.Inbound.Counts.Canceled.Load(); n != 5 {
			t.Errorf("%d runs were canceled, want 5", n)
		}
	})
}
