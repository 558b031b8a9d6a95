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
	workTime   = 3 * time.Second        // of a run that nobody ends
	leaveAfter = 430 * time.Millisecond // of the request, its client closes the connection
	noticeTime = 400 * time.Millisecond // for the backend to hear of it
)

// worker is a backend that drops a run when its connection closes, as most do.
type worker struct {
	began, ended chan time.Time // of each run; ended early or by itself
	head         string         // sent at once, ahead of the work
}

func newWorker() *worker {
	return &worker{began: make(chan time.Time, 8), ended: make(chan time.Time, 8)}
}

func (b *worker) answer(o io.Writer, r *http.Request) {
	c := o.(net.Conn)
	b.began <- time.Now()
	io.WriteString(c, b.head)
	c.SetReadDeadline(time.Now().Add(workTime))
	c.Read(make([]byte, 1))
	b.ended <- time.Now()
	c.SetReadDeadline(time.Time{})
	if b.head == "" {
		says(o, r)
	}
}

// other starts a second proxy, on a machine of its own, that knows the first one's backend, and gives its address for clients.
func (w *way) other(t *testing.T, route string) *way {
	t.Helper()
	const ip = "10.0.0.2"
	p := w.sea.Machine(ip, "north").Start()
	listen := func(on interface {
		Listen(string, time.Duration) (net.Listener, error)
	}, addr string) net.Listener {
		l, err := on.Listen(addr, 0)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	second := &way{sea: w.sea, p: p, front: ip + ":81"}
	second.DataPlane = New(Options{Node: "m", Zone: "north", Service: "caller", App: ip + ":80", GateAddr: ip + ":82", Life: 8, Begun: time.Now(),
		Heartbeat: time.Hour, Ratio: 1, Allowance: 100, Window: 10 * time.Second, KeyWindow: time.Minute, AnswerBytes: 1 << 20,
		LinkMbps: narrowMbps, Net: p, Council: quorum.New(p), Log: func(event, text string) { t.Log(event, text) }})
	second.limit(t, route, "{}")
	second.Learn([]backends.Backend{w.Gate.Berth()})
	go w.ServeGate(listen(w.p, "10.0.0.1:82"))
	go second.Serve(listen(p, second.front))
	t.Cleanup(func() {
		p.End()
		second.Stop(0)
		second.End()
	})
	return second
}

// leave sends a request and closes its connection after a while; the answer is when.
func (w *way) leave(t *testing.T, method, id string) time.Time {
	t.Helper()
	c := w.keep(t, w.front)
	fmt.Fprintf(c, "%s /a/%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: 5000\r\nContent-Length: 0\r\n\r\n", method, id, HeaderID, id, HeaderLeft)
	time.Sleep(leaveAfter)
	c.Close()
	return time.Now()
}

const (
	slowLookup = `{"host":"h","path-prefix":"/a/","route-kind":"idempotent","deadline-s":5,"target-s":0.3,"service":"ledger","max-attempts":2}`
	slowChange = `{"host":"h","path-prefix":"/a/","route-kind":"mutating","deadline-s":5,"target-s":0.3,"service":"ledger","max-attempts":2}`
	slowStream = `{"host":"h","path-prefix":"/a/","route-kind":"egress","deadline-s":5,"target-s":0.3,"service":"ledger","max-attempts":2}`
)

// A run that may be repeated ends soon after its client has left, beside the proxy that took the request or behind a hop, before its
// answer begins or amid it; its place is free again. One that may not be repeated goes on: its effect may have begun.
func TestRunOfAClientThatLeft(t *testing.T) {
	half := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: q\r\n%s: s\r\nContent-Length: 1000000\r\n\r\n%070000d", HeaderID, HeaderSeal, 0)
	for _, x := range []struct {
		name, route, method, head string
		hop, dies, goesOn         bool
	}{
		{name: "beside", route: slowLookup, method: "GET"},
		{name: "behind a hop", route: slowLookup, method: "GET", hop: true},
		{name: "behind a hop whose proxy ends", route: slowLookup, method: "GET", hop: true, dies: true},
		{name: "amid its answer", route: slowStream, method: "GET", head: half},
		{name: "amid its answer, behind a hop", route: slowStream, method: "GET", head: half, hop: true},
		{name: "not repeatable", route: slowChange, method: "POST", goesOn: true},
		{name: "not repeatable, behind a hop", route: slowChange, method: "POST", hop: true, goesOn: true},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newWorker()
				b.head = x.head
				w := newWay(t, x.route, b.answer)
				by := w
				if x.hop {
					by = w.other(t, x.route)
				}
				if x.dies {
					time.AfterFunc(leaveAfter, by.p.End)
				}
				left := by.leave(t, x.method, "q")
				began, ended := <-b.began, <-b.ended
				took := ended.Sub(left)
				switch {
				case x.goesOn && ended.Sub(began) < workTime:
					t.Errorf("it was broken off %v after its client had left", took)
				case !x.goesOn && took > noticeTime:
					t.Errorf("it went on for %v after its client had left", took)
				}
				time.Sleep(time.Second)
				t.Logf("client_left %d, gate_canceled %d", by.Counts.ClientLeft.Load(), w.Gate.Counts.Canceled.Load())
				if running, waiting := w.Gate.load(); running+waiting != 0 {
					t.Errorf("%d run and %d wait", running, waiting)
				}
			})
		})
	}
}

// A request whose client has left while it waited for a place is not sent, whatever its kind.
func TestWaitOfAClientThatLeft(t *testing.T) {
	for _, kind := range []string{"idempotent", "mutating"} {
		for _, hop := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, hop %v", kind, hop), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					route := `{"host":"h","path-prefix":"/a/","route-kind":"` + kind + `","deadline-s":20,"target-s":10,"service":"ledger","max-attempts":2}`
					b := newWorker()
					w := newWay(t, route, b.answer)
					by := w
					if hop {
						by = w.other(t, route)
					}
					for i := range 2 { // both places
						fmt.Fprintf(w.keep(t, w.front), "GET /a/%d HTTP/1.1\r\nHost: h\r\n%s: %d\r\n\r\n", i, HeaderID, i)
						<-b.began
					}
					by.leave(t, "POST", "q")
					time.Sleep(3 * workTime)
					if len(b.began) > 0 {
						t.Error("it was sent to the backend")
					}
				})
			})
		}
	}
}

// A request that is read only after its client has left is not sent: the proxy was busy, or stood still.
func TestRequestReadAfterItsClientLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newWorker()
		w := newWay(t, slowChange, b.answer)
		l, err := w.p.Listen("10.0.0.1:83", 0)
		if err != nil {
			t.Fatal(err)
		}
		c := w.keep(t, "10.0.0.1:83")
		fmt.Fprintf(c, "POST /a/q HTTP/1.1\r\nHost: h\r\n%s: q\r\nContent-Length: 0\r\n\r\n", HeaderID)
		c.Close()
		time.Sleep(time.Second)
		go w.Serve(l)
		time.Sleep(workTime)
		if len(b.began) > 0 || w.Counts.ClientLeft.Load() != 1 {
			t.Errorf("%d runs began; %d clients left", len(b.began), w.Counts.ClientLeft.Load())
		}
	})
}

// A request that fails is not sent again once its client has left, also if the wait before that has begun.
func TestRetryOfAClientThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var last time.Time
		runs := 0
		w := newWay(t, `{"host":"h","path-prefix":"/a/","route-kind":"idempotent","deadline-s":120,"target-s":100,"service":"ledger","max-attempts":6}`,
			func(o io.Writer, r *http.Request) {
				last = time.Now()
				runs++
				serves(o, r, 500, 3)
			})
		left := w.leave(t, "GET", "q")
		time.Sleep(time.Minute)
		if runs == 0 || last.After(left.Add(noticeTime)) {
			t.Errorf("%d runs, the last %v after the client had left", runs, last.Sub(left))
		}
	})
}

// The end of one client's work takes no connection from another, and its backend is not set aside: the next request is served.
func TestNextRequestAfterAClientLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := newWorker()
		w := newWay(t, slowLookup, func(o io.Writer, r *http.Request) {
			if r.Header.Get(HeaderID) == "q" {
				slow.answer(o, r)
			} else {
				says(o, r)
			}
		})
		by := w.other(t, slowLookup)
		kept := by.keep(t, by.front)
		for i := range 5 {
			by.leave(t, "GET", "q")
			if r, err := kept.ask(fmt.Sprint("n", i)); err != nil || r.StatusCode != http.StatusOK {
				t.Errorf("request %d: %v, %v", i, r, err)
			}
		}
		time.Sleep(noticeTime)
		if n := w.Gate.Counts.Canceled.Load(); n != 5 {
			t.Errorf("%d runs were broken off", n)
		}
	})
}
