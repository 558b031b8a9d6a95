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

// way is one proxy with a backend beside it, on a network in memory and in virtual time.
type way struct {
	*DataPlane
	sea   *network.Sea
	m     *network.Machine
	p     *network.Process
	front string
}

// newWay has answer write the backend's answer to each request, whose body it may read.
func newWay(t *testing.T, route string, answer func(w io.Writer, r *http.Request)) *way {
	const ip = "10.0.0.1"
	s := network.New(1)
	m := s.Machine(ip, "north")
	p := m.Start()
	on := &way{sea: s, m: m, p: p, front: ip + ":81"}
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
	on.DataPlane = New(Options{Node: "n", Zone: "north", Service: "ledger", App: ip + ":80", GateAddr: ip + ":82", Life: 7, Begun: time.Now(),
		Heartbeat: time.Hour, Ratio: 1, Allowance: 100, Window: 10 * time.Second, KeyWindow: time.Minute, AnswerBytes: 1 << 20,
		LinkMbps: narrowMbps, Net: p, Council: quorum.New(p), Log: func(event, text string) { t.Log(event, text) }})
	on.Gate.OnChange(func(b backends.Berth) { on.Hear(b) })
	on.limit(t, route, "{}")
	on.Gate.Beat(controlapi.Heartbeat{ID: "i-1", Service: "ledger", Capacity: 2, Sequence: 1, State: backends.Serving})
	go on.Serve(listen(on.front))
	t.Cleanup(func() {
		p.End()
		on.Stop(0)
		on.End()
	})
	return on
}

// ask sends one request on a connection of its own and reads its answer.
func (w *way) ask(t *testing.T, head string, body func(net.Conn)) (*http.Response, string, error) {
	c, err := w.p.Dial(t.Context(), w.front, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "%s\r\nHost: h\r\n%s: r-1\r\n", strings.ReplaceAll(head, "\n", "\r\n"), HeaderID)
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

const lookup = `{"host":"h","path-prefix":"/a/","route-kind":"idempotent","deadline-s":60,"target-s":30,"service":"ledger","max-attempts":2}`

// serves writes an answer as backends do.
func serves(w io.Writer, r *http.Request, status, size int) {
	fmt.Fprintf(w, "HTTP/1.1 %d x\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", status, HeaderID, r.Header.Get(HeaderID), HeaderSeal, size,
		strings.Repeat("x", size))
}

// A long failure of the backend holds its place while it may be all there is to answer with, and no longer.
func TestLongFailureGivesItsPlaceBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		w := newWay(t, lookup, func(w io.Writer, r *http.Request) {
			if n++; n == 1 {
				serves(w, r, 500, 100<<10)
			} else {
				serves(w, r, 200, 3)
			}
		})
		r, body, err := w.ask(t, "GET /a/1 HTTP/1.1", nil)
		if err != nil || r.StatusCode != 200 || body != "xxx" {
			t.Fatalf("%v, %v", r, err)
		}
		synctest.Wait()
		if running, waiting := w.Gate.load(); running+waiting != 0 {
			t.Errorf("%d run and %d wait at rest", running, waiting)
		}
	})
}

// dials is a network on which no connection comes up.
type dials struct {
	sock.Net
	dial func()
}

func (d dials) Dial(context.Context, string, time.Duration) (net.Conn, error) {
	d.dial()
	return nil, net.ErrClosed
}

// A request under way when its proxy ends is given up: nobody is left to allow another attempt.
func TestHelmThatEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWay(t, lookup, func(io.Writer, *http.Request) { t.Error("it ran") })
		w.Gate.Leave("i-1")
		w.Learn([]backends.Berth{{Node: "m", Addr: "10.0.0.2:82", Zone: "south", Version: 1, Instance: "i-2", Service: "ledger", Capacity: 1, State: backends.Serving}})
		n := 0
		w.hops.pool.Net = dials{w.p, func() {
			if n++; n == 1 {
				w.balancer.End()
			} else if n > 20 {
				time.Sleep(time.Minute) // else its time never ends
			}
		}}
		if r, _, err := w.ask(t, "GET /a/1 HTTP/1.1", nil); err != nil || r.StatusCode != 503 || n != 1 {
			t.Errorf("%v, %v after %d attempts, want 503 after one", r, err, n)
		}
	})
}

// A body may take as long as it brings something: it is its silence that is bounded.
func TestSlowBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got := 0
		w := newWay(t, lookup, func(w io.Writer, r *http.Request) {
			b, err := io.ReadAll(r.Body)
			if got = len(b); err == nil {
				serves(w, r, 200, 1)
			}
		})
		const pieces, piece = 20, 10 << 10
		r, _, err := w.ask(t, fmt.Sprintf("PUT /a/1 HTTP/1.1\nContent-Length: %d", pieces*piece), func(c net.Conn) {
			for range pieces {
				time.Sleep(stallTime / 5) // of the bubble's time
				io.WriteString(c, strings.Repeat("x", piece))
			}
		})
		if err != nil || r.StatusCode != 200 || got != pieces*piece {
			t.Errorf("%v, %v; the backend got %d bytes of %d", r, err, got, pieces*piece)
		}
	})
}

// A body that goes on as it comes, to a backend without room, over a hop: the proxy there answers before it has read all, and
// the client hears that nothing ran.
func TestLongBodyTurnedAwayOverAHop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWay(t, strings.Replace(lookup, `"target-s":30`, `"target-s":0.4`, 1), func(w io.Writer, r *http.Request) { t.Error("it ran") })
		m := w.sea.Machine("10.0.0.2", "south").Start()
		l, err := m.Listen("10.0.0.2:82", 0)
		if err != nil {
			t.Fatal(err)
		}
		there := newGate(Options{Node: "m", Service: "ledger", GateAddr: "10.0.0.2:82", Life: 8, Begun: time.Now(), Heartbeat: time.Hour,
			KeyWindow: time.Minute, Net: m, Log: func(string, string) {}}, nil)
		go there.Serve(l, nil)
		defer func() { m.End(); there.CloseAll(); there.book.End() }()
		there.Beat(controlapi.Heartbeat{ID: "i-2", Service: "ledger", Capacity: 1, Sequence: 1, State: backends.Serving})
		there.enter(context.Background(), &ask{Instance: "i-2", Service: "ledger"}) // takes its only place
		w.Gate.Leave("i-1")
		w.Learn([]backends.Berth{there.Berth()})
		r, _, err := w.ask(t, "PUT /a/1 HTTP/1.1\nContent-Length: 3000000", func(c net.Conn) { io.WriteString(c, strings.Repeat("x", 3000000)) })
		if err != nil || r.StatusCode != 503 || r.Header.Get("Retry-After") == "" {
			t.Errorf("%v, %v", r, err)
		}
	})
}

// A claim that no majority can be asked for is made by another proxy, however soon that shows.
func TestClaimByAnotherProxy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWay(t, lookup, func(io.Writer, *http.Request) {})
		w.sea.Machine("10.0.0.9", "north") // nobody listens there
		w.o.Council.Take(messages.VoterSet{Epoch: 1, Voters: []messages.Voter{{Addr: "10.0.0.9:1"}, {Addr: "10.0.0.9:2"}, {Addr: "10.0.0.9:3"}}})
		m := w.sea.Machine("10.0.0.2", "north").Start()
		l, err := m.Listen("10.0.0.2:82", 0)
		if err != nil {
			t.Fatal(err)
		}
		other := gateOf(t)
		go other.Serve(l, func(a *ask, _ []byte) outcome { return outcome{told: told{Verdict: idempotency.Won}} })
		w.Learn([]backends.Berth{{Node: "other", Addr: "10.0.0.2:82", Version: 1}})
		for n := range uint64(20) {
			if v, _ := w.claimAnyhow("k", idempotency.ID{Life: 7, N: n + 1}, claimTime); v != idempotency.Won {
				t.Errorf("claim %d: verdict %d", n, v)
			}
			time.Sleep(time.Duration(n) * 10 * time.Millisecond)
		}
		w.o.Council.Close()
		m.End()
		other.CloseAll()
		other.book.End()
	})
}
