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

// readHookConn is a connection that calls a hook after each read that returned data, before the reader gets it.
type readHookConn struct {
	net.Conn
	read func()
}

func (h *readHookConn) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	if n > 0 {
		h.read()
	}
	return n, err
}

// Quiet returns the state of the underlying connection.
func (h *readHookConn) Quiet() (quiet, bytes bool) {
	return h.Conn.(interface{ Quiet() (bool, bool) }).Quiet()
}

// readHookListener wraps accepted connections in readHookConn.
type readHookListener struct {
	net.Listener
	read func()
}

func (l *readHookListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &readHookConn{c, l.read}, nil
}

// applyConfiguration configures one service with one route and the given limits.
func (w *testProxy) applyConfiguration(t *testing.T, route, limits string) {
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

// testConn is a client connection for several requests.
type testConn struct {
	net.Conn
	in *bufio.Reader
}

func (w *testProxy) dial(t *testing.T, addr string) *testConn {
	t.Helper()
	c, err := w.process.Dial(t.Context(), addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	return &testConn{c, bufio.NewReader(c)}
}

// request sends a request and reads its response, which must have the request's id. Without a response, err says how
// the connection ended.
func (c *testConn) request(id string) (r *http.Response, err error) {
	if _, err := fmt.Fprintf(c, "GET /a/%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", id, HeaderAttemptID, id); err != nil {
		return nil, err
	}
	return c.readResponse(id)
}

func (c *testConn) readResponse(id string) (*http.Response, error) {
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(r.Body)
	if got := r.Header.Get(HeaderAttemptID); err == nil && (got != id || r.StatusCode == 200 && string(b) != "of "+id) {
		return r, fmt.Errorf("%s got the response to %q: %q", id, got, b)
	}
	return r, err
}

// respondWithID answers a request with a body that names its id.
func respondWithID(w io.Writer, r *http.Request) {
	id := r.Header.Get(HeaderAttemptID)
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\nof %s", HeaderAttemptID, id, HeaderServerSeal, len("of ")+len(id), id)
}

// A request that was read at the moment when the proxy closes idle connections is answered: the client could not tell
// from a closed connection whether it ran.
func TestRequestDuringStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ran := 0
		w := newTestProxy(t, idempotentRoute, func(o io.Writer, r *http.Request) { ran++; respondWithID(o, r) })
		l, err := w.process.Listen("10.0.0.1:83", 0)
		if err != nil {
			t.Fatal(err)
		}
		reads := 0
		go w.Serve(&readHookListener{l, func() {
			if reads++; reads == 2 {
				w.Drain()
				w.closeIdle()
			}
		}})
		c := w.dial(t, "10.0.0.1:83")
		if r, err := c.request("one"); err != nil || r.StatusCode != 200 || r.Close {
			t.Fatal(r, err)
		}
		if r, err := c.request("two"); err != nil || r.StatusCode != 200 || !r.Close {
			t.Errorf("%v, %v; it ran %d times", r, err, ran-1)
		}
		other := w.dial(t, "10.0.0.1:83")
		synctest.Wait()
		w.closeIdle()
		if _, err := other.in.ReadByte(); err != io.EOF {
			t.Errorf("idle connection: %v", err)
		}
	})
}

// An idle connection is reusable until the idle timeout, which follows the limits. A request that arrives at the moment
// of the timeout is answered, or has not run.
func TestIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ran := map[string]int{}
		w := newTestProxy(t, idempotentRoute, func(o io.Writer, r *http.Request) { ran[r.Header.Get(HeaderAttemptID)]++; respondWithID(o, r) })
		const idle = 12 * time.Second
		w.applyConfiguration(t, idempotentRoute, `{"idle-timeout-s":12}`)
		c := w.dial(t, w.clientAddr)
		for n, rest := range []time.Duration{0, idle * 4 / 5, idle - time.Millisecond, idle * 4 / 5} {
			time.Sleep(rest)
			if _, err := c.request(fmt.Sprint("r", n)); err != nil {
				t.Fatalf("after %v: %v", rest, err)
			}
		}
		time.Sleep(idle - time.Second)
		w.applyConfiguration(t, idempotentRoute, `{"idle-timeout-s":60}`)
		time.Sleep(60*time.Second*4/5 - idle + time.Second)
		if _, err := c.request("raised"); err != nil {
			t.Errorf("after 48 s, with limits that were raised from 12 s to 60 s after 11: %v", err)
		}
		time.Sleep(61 * time.Second)
		if _, err := c.in.ReadByte(); err != io.EOF {
			t.Errorf("after the idle timeout: %v", err)
		}
		w.applyConfiguration(t, idempotentRoute, `{"idle-timeout-s":12}`)
		closed := 0
		for d := -200 * time.Microsecond; d <= 200*time.Microsecond; d += 5 * time.Microsecond {
			c := w.dial(t, w.clientAddr)
			if _, err := c.request("first"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(idle + d)
			id := strings.ReplaceAll(fmt.Sprint("at", d), "µ", "u")
			r, err := c.request(id)
			switch {
			case err == nil && r.StatusCode == 200 && ran[id] == 1:
			case err != nil && r == nil && ran[id] == 0:
				closed++
			default:
				t.Errorf("%v from the idle timeout: %v, %v; it ran %d times", d, r, err, ran[id])
			}
		}
		if closed == 0 || closed == 81 {
			t.Errorf("%d of 81 closed", closed)
		}
		w.applyConfiguration(t, idempotentRoute, `{"idle-timeout-s":0}`) // a pipelined request needs no idle time
		c = w.dial(t, w.clientAddr)
		fmt.Fprintf(c, "GET /a/ HTTP/1.1\r\nHost: h\r\n%[1]s: x\r\n\r\nGET /a/ HTTP/1.1\r\nHost: h\r\n%[1]s: y\r\n\r\n", HeaderAttemptID)
		for _, id := range []string{"x", "y"} {
			if _, err := c.readResponse(id); err != nil {
				t.Errorf("%s of two pipelined requests: %v", id, err)
			}
		}
	})
}

// Requests that a backend is running when its proxy stops get the backend's response, however long that takes, within
// the time limit of the stop. They get no error from the proxy, and their responses are not cut short.
func TestStopWaitsForRunningRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const runDuration = 6 * time.Second
		w := newTestProxy(t, idempotentRoute, func(o io.Writer, r *http.Request) {
			id := r.Header.Get(HeaderAttemptID)
			switch id {
			case "late":
				time.Sleep(runDuration)
				respondWithID(o, r)
			case "stream":
				fmt.Fprintf(o, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", HeaderAttemptID, id, HeaderServerSeal, 300<<10, strings.Repeat("x", 150<<10))
				time.Sleep(runDuration)
				io.WriteString(o, strings.Repeat("y", 150<<10))
			case "upload":
				b, err := io.ReadAll(r.Body)
				if err == nil && len(b) == 200<<10 {
					respondWithID(o, r)
				}
			}
		})
		type result struct {
			id, why string
		}
		results := make(chan result, 3)
		for _, id := range []string{"late", "stream", "upload"} {
			c := w.dial(t, w.clientAddr)
			go func() {
				var err error
				if id == "upload" {
					fmt.Fprintf(c, "PUT /a/1 HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", HeaderAttemptID, id, 200<<10)
					for range 4 {
						io.WriteString(c, strings.Repeat("z", 50<<10))
						time.Sleep(runDuration / 4)
					}
				} else {
					_, err = fmt.Fprintf(c, "GET /a/1 HTTP/1.1\r\nHost: h\r\n%s: %s\r\n\r\n", HeaderAttemptID, id)
				}
				r, rerr := http.ReadResponse(c.in, nil)
				if rerr != nil {
					results <- result{id, rerr.Error()}
					return
				}
				b, rerr := io.ReadAll(r.Body)
				if err != nil || rerr != nil || r.StatusCode != 200 || id == "stream" && len(b) != 300<<10 {
					results <- result{id, fmt.Sprint(r.StatusCode, len(b), err, rerr)}
					return
				}
				results <- result{id: id}
			}()
			if id == "stream" { // capacity is 2
				w.Inbound.mu.Lock()
				w.Inbound.backend.Capacity = 3
				w.Inbound.mu.Unlock()
			}
		}
		time.Sleep(100 * time.Millisecond)
		w.Inbound.Withdraw()
		w.Drain()
		started := time.Now()
		w.Stop(9500 * time.Millisecond)
		if elapsed := time.Since(started); elapsed > runDuration+time.Second {
			t.Errorf("the stop took %v", elapsed)
		}
		for range 3 {
			if r := <-results; r.why != "" {
				t.Errorf("%s: %s", r.id, r.why)
			}
		}
	})
}

// A request within the limits is accepted: a head of the maximum size, sent in nearly the maximum time, and a body of
// the maximum size. One byte more is rejected, with a temporary error if a newer configuration may allow it.
func TestClientsAtTheLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestProxy(t, idempotentRoute, func(o io.Writer, r *http.Request) { io.Copy(io.Discard, r.Body); respondWithID(o, r) })
		const maxHead = 2000
		w.applyConfiguration(t, idempotentRoute, `{"max-header-bytes":2000,"max-body-bytes":3000,"header-timeout-s":3,"idle-timeout-s":15}`)
		current := true
		w.options.ConfigurationCurrent = func() bool { return current }
		for _, step := range []struct {
			name       string
			head, body int
			slow       time.Duration
			want       int
		}{
			{"at the limits", maxHead, 3000, 0, 200},
			{"at the limits, slowly", maxHead, 3000, 2900 * time.Millisecond, 200},
			{"a longer head", maxHead + 1, 0, 0, 431},
			{"a longer body", maxHead, 3001, 0, 413},
			{"a slower head", maxHead, 0, 3100 * time.Millisecond, 0},
			{"a longer head, outdated configuration", maxHead + 1, 0, 0, 503},
			{"a longer body, outdated configuration", maxHead, 3001, 0, 503},
			{"at the limits, outdated configuration", maxHead, 3000, 0, 200},
		} {
			current = !strings.HasSuffix(step.name, "outdated configuration")
			c := w.dial(t, w.clientAddr)
			head := fmt.Sprintf("PUT /a/1 HTTP/1.1\r\nHost: h\r\n%s: q\r\nContent-Length: %d\r\nA: ", HeaderAttemptID, step.body)
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
