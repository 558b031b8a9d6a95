package admin

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fake notes the calls and says what it is told to.
type fake struct {
	mu    sync.Mutex
	calls []string
	err   error
}

func (f *fake) note(call string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
	return f.err
}

func (f *fake) Ready() error            { return f.note("ready") }
func (f *fake) Drain() error            { return f.note("drain") }
func (f *fake) Resume() error           { return f.note("resume") }
func (f *fake) Disable(id string) error { return f.note("out " + id) }
func (f *fake) Enable(id string) error  { return f.note("back " + id) }

func serve(t *testing.T, agent Agent) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", agent, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve() }()
	t.Cleanup(func() {
		s.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

func call(t *testing.T, s *Server, head string) *http.Response {
	t.Helper()
	c := dial(t, s)
	io.WriteString(c, head)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("after the answer came %d bytes, %v: one call to a connection", n, err)
	}
	return resp
}

func TestCalls(t *testing.T) {
	tests := []struct {
		name, method, path string
		err                error
		want               int
		called, allow      string
	}{
		{"ready", "GET", "/-/ready", nil, 200, "ready", ""},
		{"not ready", "GET", "/-/ready", errors.New("starting"), 503, "ready", ""},
		{"out", "POST", "/-/backends/s-1/disable", nil, 200, "out s-1", ""},
		{"back", "POST", "/-/backends/s-1/enable", nil, 200, "back s-1", ""},
		{"an id with signs", "POST", "/-/backends/a%2Fb%20c/disable", nil, 200, "out a/b c", ""},
		{"an unknown id", "POST", "/-/backends/x/disable", ErrUnknown, 404, "out x", ""},
		{"not kept", "POST", "/-/backends/x/disable", errors.New("disk full"), 503, "out x", ""},
		{"drain", "POST", "/-/drain", nil, 200, "drain", ""},
		{"resume", "POST", "/-/resume", nil, 200, "resume", ""},
		{"another path", "GET", "/-/other", nil, 404, "", ""},
		{"no id", "POST", "/-/backends//disable", nil, 404, "", ""},
		{"no verb", "POST", "/-/backends/x", nil, 404, "", ""},
		{"a wrong verb", "POST", "/-/backends/x/kill", nil, 404, "", ""},
		{"a wrong method", "GET", "/-/drain", nil, 405, "", "POST"},
		{"a wrong method of ready", "POST", "/-/ready", nil, 405, "", "GET"},
		{"a wrong method out", "DELETE", "/-/backends/x/disable", nil, 405, "", "POST"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fake{err: tt.err}
			resp := call(t, serve(t, f), tt.method+" "+tt.path+" HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
			if resp.StatusCode != tt.want || resp.Header.Get("Allow") != tt.allow || strings.Join(f.calls, ",") != tt.called {
				t.Errorf("%d, Allow %q, calls %q", resp.StatusCode, resp.Header.Get("Allow"), f.calls)
			}
		})
	}
}

func TestBodiesAreIgnored(t *testing.T) {
	s := serve(t, &fake{})
	for _, body := range []string{"x", strings.Repeat("x", 3*maxBody)} {
		if resp := call(t, s, fmt.Sprintf("POST /-/drain HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)); resp.StatusCode != 200 {
			t.Errorf("%d with a body of %d", resp.StatusCode, len(body))
		}
	}
}

// Callers that hold a connection and say nothing, or half a call, are many times as many as there is room for: each call
// beside them is answered all the same, and they lose theirs, the oldest first.
func TestHeldConnections(t *testing.T) {
	s := serve(t, &fake{})
	var held []net.Conn
	for i := range 200 {
		c := dial(t, s)
		if i%2 == 0 {
			io.WriteString(c, "POST /-/drain HTTP/1.1\r\nHo")
		}
		held = append(held, c)
	}
	for range 20 {
		if resp := call(t, s, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"); resp.StatusCode != 200 {
			t.Fatal(resp.Status)
		}
	}
	if _, err := held[0].Read(make([]byte, 1)); err == nil {
		t.Error("the oldest still has its connection")
	}
	s.listener.mu.Lock()
	n := s.listener.open.Len()
	s.listener.mu.Unlock()
	if n > Conns+1 {
		t.Errorf("%d connections are held", n)
	}
}

// A caller who takes his time is answered, while there is room.
func TestSlowCaller(t *testing.T) {
	s := serve(t, &fake{})
	c := dial(t, s)
	for _, b := range []byte("POST /-/resume HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n") {
		c.Write([]byte{b})
	}
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 200 {
		t.Error(resp, err)
	}
}

// What is shown is answered as JSON to a GET, and to nothing else.
func TestShownCalls(t *testing.T) {
	f := &fake{}
	s, err := Listen("127.0.0.1:0", f, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	s.Show("/-/peers", func() any { return map[string]int{"alive": 3} })
	go s.Serve()
	defer s.Close()
	resp := call(t, s, "GET /-/peers HTTP/1.1\r\nHost: x\r\n\r\n")
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != 200 || string(body) != "{\"alive\":3}\n" || resp.Header.Get("Content-Type") != "application/json" {
		t.Errorf("%s, %q, %v", resp.Status, body, err)
	}
	if resp := call(t, s, "POST /-/peers HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"); resp.StatusCode != 405 || resp.Header.Get("Allow") != "GET" {
		t.Error(resp.Status)
	}
	if resp := call(t, s, "GET /-/shared HTTP/1.1\r\nHost: x\r\n\r\n"); resp.StatusCode != 404 {
		t.Error("what is not shown:", resp.Status)
	}
	if len(f.calls) != 0 {
		t.Errorf("%v", f.calls)
	}
}
