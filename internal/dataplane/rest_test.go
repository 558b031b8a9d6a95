package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/configuration"
)

// hooked is a connection that tells of each read which brought something, before whoever reads it hears of it.
type hooked struct {
	net.Conn
	read func()
}

func (h *hooked) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	if n > 0 {
		h.read()
	}
	return n, err
}

// Quiet has it looked at as what is under it.
func (h *hooked) Quiet() (quiet, bytes bool) {
	return h.Conn.(interface{ Quiet() (bool, bool) }).Quiet()
}

// hookedListener accepts them.
type hookedListener struct {
	net.Listener
	read func()
}

func (l *hookedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hooked{c, l.read}, nil
}

// limit has a route of one service, and limits, hold from now on.
func (w *way) limit(t *testing.T, route, limits string) {
	t.Helper()
	call, err := configuration.DecodeCall([]byte(`{"upsert":{"resources":[{"resource-kind":"services","metadata":{"name":"ledger","version":"r1"},"specification":{}},` +
		`{"resource-kind":"limits","metadata":{"version":"r1"},"specification":` + limits + `},` +
		`{"resource-kind":"routes","metadata":{"name":"a","version":"r1"},"specification":` + route + `}]}}`))
	if err != nil {
		t.Fatal(err)
	}
	set := configuration.Set{}
	for _, i := range call.Items {
		set, _ = set.Join(i)
	}
	w.Configure(set.RoutingTable())
}

// patron is a client's connection for several requests.
type patron struct {
	net.Conn
	in *bufio.Reader
}

func (w *way) keep(t *testing.T, addr string) *patron {
	t.Helper()
	c, err := w.p.Dial(t.Context(), addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &patron{c, bufio.NewReader(c)}
}

// ask sends a request and reads its answer, which has to be its own. Of a request without one, err says how its connection ended.
func (k *patron) ask(id string) (r *http.Response, err error) {
	if _, err := fmt.Fprintf(k, "GET /a/%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", id, HeaderID, id); err != nil {
		return nil, err
	}
	return k.answer(id)
}

func (k *patron) answer(id string) (*http.Response, error) {
	r, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(r.Body)
	if got := r.Header.Get(HeaderID); err == nil && (got != id || r.StatusCode == 200 && string(b) != "of "+id) {
		return r, fmt.Errorf("%s got the answer of %q: %q", id, got, b)
	}
	return r, err
}

// says answers a request with a body that is its own.
func says(w io.Writer, r *http.Request) {
	id := r.Header.Get(HeaderID)
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\nof %s", HeaderID, id, HeaderSeal, len("of ")+len(id), id)
}

// A request that was read off its connection in the moment in which the proxy closes what rests is answered: nobody could tell
// from the close whether it ran.
func TestRequestInTheMomentOfTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ran := 0
		w := newWay(t, lookup, func(o io.Writer, r *http.Request) { ran++; says(o, r) })
		l, err := w.p.Listen("10.0.0.1:83", 0)
		if err != nil {
			t.Fatal(err)
		}
		reads := 0
		go w.Serve(&hookedListener{l, func() {
			if reads++; reads == 2 {
				w.Drain()
				w.closeQuiet()
			}
		}})
		c := w.keep(t, "10.0.0.1:83")
		if r, err := c.ask("one"); err != nil || r.StatusCode != 200 || r.Close {
			t.Fatal(r, err)
		}
		if r, err := c.ask("two"); err != nil || r.StatusCode != 200 || !r.Close {
			t.Errorf("%v, %v; it ran %d times", r, err, ran-1)
		}
		other := w.keep(t, "10.0.0.1:83")
		synctest.Wait()
		w.closeQuiet()
		if _, err := other.in.ReadByte(); err != io.EOF {
			t.Errorf("one that rests: %v", err)
		}
	})
}

// A connection that rests is taken up again until its time is over, which grows with the limits; what comes in the very moment of
// its end is answered, or did not run.
func TestRestingConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ran := map[string]int{}
		w := newWay(t, lookup, func(o io.Writer, r *http.Request) { ran[r.Header.Get(HeaderID)]++; says(o, r) })
		const idle = 12 * time.Second
		w.limit(t, lookup, `{"idle-timeout-s":12}`)
		c := w.keep(t, w.front)
		for n, rest := range []time.Duration{0, idle * 4 / 5, idle - time.Millisecond, idle * 4 / 5} {
			time.Sleep(rest)
			if _, err := c.ask(fmt.Sprint("r", n)); err != nil {
				t.Fatalf("after %v: %v", rest, err)
			}
		}
		time.Sleep(idle - time.Second)
		w.limit(t, lookup, `{"idle-timeout-s":60}`)
		time.Sleep(60*time.Second*4/5 - idle + time.Second)
		if _, err := c.ask("raised"); err != nil {
			t.Errorf("after 48 s, with limits that were raised from 12 s to 60 s after 11: %v", err)
		}
		time.Sleep(61 * time.Second)
		if _, err := c.in.ReadByte(); err != io.EOF {
			t.Errorf("after its time: %v", err)
		}
		w.limit(t, lookup, `{"idle-timeout-s":12}`)
		closed := 0
		for d := -200 * time.Microsecond; d <= 200*time.Microsecond; d += 5 * time.Microsecond {
			c := w.keep(t, w.front)
			if _, err := c.ask("first"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(idle + d)
			id := strings.ReplaceAll(fmt.Sprint("at", d), "µ", "u")
			r, err := c.ask(id)
			switch {
			case err == nil && r.StatusCode == 200 && ran[id] == 1:
			case err != nil && r == nil && ran[id] == 0:
				closed++
			default:
				t.Errorf("%v from the end of its time: %v, %v; it ran %d times", d, r, err, ran[id])
			}
		}
		if closed == 0 || closed == 81 {
			t.Errorf("%d of 81 closed", closed)
		}
		w.limit(t, lookup, `{"idle-timeout-s":0}`) // what came with the request before does not rest
		c = w.keep(t, w.front)
		fmt.Fprintf(c, "GET /a/ HTTP/1.1\r\nHost: h\r\n%[1]s: x\r\n\r\nGET /a/ HTTP/1.1\r\nHost: h\r\n%[1]s: y\r\n\r\n", HeaderID)
		for _, id := range []string{"x", "y"} {
			if _, err := c.answer(id); err != nil {
				t.Errorf("%s of two at once: %v", id, err)
			}
		}
	})
}

// What a backend is at work on when its proxy is stopped gets the backend's answer, however long that is silent: none of the
// proxy's own, and no end midway, within the time that the stop has.
func TestStopWaitsForWhatIsAtWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silent = 6 * time.Second
		w := newWay(t, lookup, func(o io.Writer, r *http.Request) {
			id := r.Header.Get(HeaderID)
			switch id {
			case "late":
				time.Sleep(silent)
				says(o, r)
			case "stream":
				fmt.Fprintf(o, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", HeaderID, id, HeaderSeal, 300<<10, strings.Repeat("x", 150<<10))
				time.Sleep(silent)
				io.WriteString(o, strings.Repeat("y", 150<<10))
			case "upload":
				b, err := io.ReadAll(r.Body)
				if err == nil && len(b) == 200<<10 {
					says(o, r)
				}
			}
		})
		type result struct {
			id, why string
		}
		ch := make(chan result, 3)
		for _, id := range []string{"late", "stream", "upload"} {
			c := w.keep(t, w.front)
			go func() {
				var err error
				if id == "upload" {
					fmt.Fprintf(c, "PUT /a/1 HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", HeaderID, id, 200<<10)
					for range 4 {
						io.WriteString(c, strings.Repeat("z", 50<<10))
						time.Sleep(silent / 4)
					}
				} else {
					_, err = fmt.Fprintf(c, "GET /a/1 HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", HeaderID, id)
				}
				r, rerr := http.ReadResponse(c.in, nil)
				if rerr != nil {
					ch <- result{id, rerr.Error()}
					return
				}
				b, rerr := io.ReadAll(r.Body)
				if err != nil || rerr != nil || r.StatusCode != 200 || id == "stream" && len(b) != 300<<10 {
					ch <- result{id, fmt.Sprint(r.StatusCode, len(b), err, rerr)}
					return
				}
				ch <- result{id: id}
			}()
			if id == "stream" { // capacity is 2
				w.Gate.mu.Lock()
				w.Gate.berth.Capacity = 3
				w.Gate.mu.Unlock()
			}
		}
		time.Sleep(100 * time.Millisecond)
		w.Gate.Withdraw()
		w.Drain()
		begun := time.Now()
		w.Stop(9500 * time.Millisecond)
		if took := time.Since(begun); took > silent+time.Second {
			t.Errorf("it took %v to stop", took)
		}
		for range 3 {
			if r := <-ch; r.why != "" {
				t.Errorf("%s: %s", r.id, r.why)
			}
		}
	})
}

// What a client within the limits sends is taken: a head of as many bytes as it may have, brought in nearly as long as it may take,
// and a body of as many. One byte more is not; where newer limits may allow it, that is not said for good.
func TestClientsAtTheLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWay(t, lookup, func(o io.Writer, r *http.Request) { io.Copy(io.Discard, r.Body); says(o, r) })
		const most = 2000
		w.limit(t, lookup, `{"max-header-bytes":2000,"max-body-bytes":3000,"header-timeout-s":3,"idle-timeout-s":15}`)
		vouched := true
		w.o.Vouched = func() bool { return vouched }
		for _, step := range []struct {
			name       string
			head, body int
			slow       time.Duration
			want       int
		}{
			{"as much as may be", most, 3000, 0, 200},
			{"slowly", most, 3000, 2900 * time.Millisecond, 200},
			{"a longer head", most + 1, 0, 0, 431},
			{"a longer body", most, 3001, 0, 413},
			{"a slower head", most, 0, 3100 * time.Millisecond, 0},
			{"a longer head, out of contact", most + 1, 0, 0, 503},
			{"a longer body, out of contact", most, 3001, 0, 503},
			{"as much as may be, out of contact", most, 3000, 0, 200},
		} {
			vouched = !strings.HasSuffix(step.name, "out of contact")
			c := w.keep(t, w.front)
			head := fmt.Sprintf("PUT /a/1 HTTP/1.1\r\nHost: h\r\n%s: q\r\nContent-Length: %d\r\nA: ", HeaderID, step.body)
			head += strings.Repeat("x", step.head-len(head)-4) + "\r\n\r\n"
			io.WriteString(c, head[:1000])
			time.Sleep(step.slow)
			io.WriteString(c, head[1000:]+strings.Repeat("y", step.body))
			r, err := http.ReadResponse(c.in, nil)
			if step.want == 0 && err == nil || step.want != 0 && (err != nil || r.StatusCode != step.want) {
				t.Errorf("%s: %v, %v; want %d", step.name, r, err, step.want)
			}
			c.Close()
		}
	})
}
