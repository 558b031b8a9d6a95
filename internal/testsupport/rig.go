// Package testsupport is what the tests of several packages share: backends and Lists scripted by the test on real sockets,
// and waiting. Nothing but tests may use it.
package testsupport

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

	"saltmast"
)

// Long bounds waits for what must happen; nothing waits so long unless it is broken.
const Long = 20 * time.Second

// Settings has one class of each kind and wide time bounds.
const Settings = `{"Balancers":1,"Me":0,"TickMs":1,"Dcs":["dc"],"Kinds":["std"],"MembershipMode":"subscribe",
 "Profiles":[
  {"Name":"look","AimMs":5000,"DeadlineMs":8000,"Worth":1,"Semantics":"repeatable"},
  {"Name":"hold","AimMs":5000,"DeadlineMs":8000,"Worth":1,"Semantics":"by_key","Group":"cell","WindowMs":6000},
  {"Name":"settle","AimMs":5000,"DeadlineMs":8000,"Worth":1,"Semantics":"once"}],
 "PolicyLimits":{"TryLimit":3,"Cancel":true,"MayProbe":true,"SecondCopies":true,"ConnectTimeoutMs":5000,"IdleCloseMs":60000},
 "Contract":{"ColdFrom":0.5,"AskWithinMs":640,"DrainGraceMs":250,"RampTimeMs":1000,"FallMs":1000,"FallMultiple":2}}`

// Config is the text of a configuration.
func Config(discovery string, servers ...string) []byte {
	return []byte(fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",
	 "limits":{"memory_mb":192,"sockets":1024},"known":{"version":1,"full":true,"servers":[%s]},"settings":%s}`,
		discovery, strings.Join(servers, ","), Settings))
}

// Entry is one server of a list.
func Entry(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"dc","kind":"std","cell":1,"state":%q,"weight":1,"started_ms":0}`,
		id, addr, state)
}

// Capture is a log that tests may read.
type Capture struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (c *Capture) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.buf.Write(p)
}

// Has reports whether the log holds a text.
func (c *Capture) Has(text string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Contains(c.buf.String(), text)
}

// LogTo is a logger into c.
func LogTo(c *Capture) *slog.Logger { return slog.New(slog.NewTextHandler(c, nil)) }

// Peer is a backend: it hands each request that has come whole to do, which answers on the
// connection and returns whether that stays open.
type Peer struct {
	net.Listener
	do     func(conn net.Conn, r *http.Request, body []byte) bool
	Got    chan *http.Request // what came
	Closed chan struct{}      // one for each connection whose other side has closed it
}

// NewPeer starts a backend until the test ends.
func NewPeer(t *testing.T, do func(net.Conn, *http.Request, []byte) bool) *Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Peer{Listener: l, do: do, Got: make(chan *http.Request, 100), Closed: make(chan struct{}, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *Peer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			p.Closed <- struct{}{}
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.RemoteAddr = conn.RemoteAddr().String()
		p.Got <- r
		if !p.do(conn, r, body) {
			return
		}
	}
}

// Addr is where it listens.
func (p *Peer) Addr() string { return p.Listener.Addr().String() }

// AnswerWith writes a whole answer.
func AnswerWith(conn net.Conn, status int, head, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
}

// Echo serves a request with its body.
func Echo(conn net.Conn, _ *http.Request, body []byte) bool {
	AnswerWith(conn, 200, "", "did "+string(body))
	return true
}

// Hang answers nothing Until the other side closes.
func Hang(conn net.Conn, _ *http.Request, _ []byte) bool {
	io.Copy(io.Discard, conn)
	return false
}

// Lists is a discovery that hands the test each watch and sends what it is told to.
type Lists struct {
	Addr  string
	Watch chan string   // the query of each watch, as it begins
	Say   chan string   // lines for the current watch; "" is an empty one
	Cut   chan struct{} // ends the current watch
	Whole func() string // answers a call for the whole list
}

// NewLists starts a discovery until the test ends.
func NewLists(t *testing.T) *Lists {
	t.Helper()
	d := &Lists{Watch: make(chan string, 100), Say: make(chan string, 100), Cut: make(chan struct{}, 1),
		Whole: func() string { return "" }}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d.Addr = l.Addr().String()
	// A watch begins once the one before has ended, which might else take a line that is said to this one.
	var mu sync.Mutex
	over, ended := make(chan struct{}), make(chan struct{})
	close(ended)
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("follow") == "" {
			io.WriteString(w, d.Whole())
			return
		}
		mu.Lock()
		close(over)
		<-ended
		mine, end := make(chan struct{}), make(chan struct{})
		over, ended = mine, end
		mu.Unlock()
		defer close(end)
		w.(http.Flusher).Flush()
		d.Watch <- r.URL.RawQuery
		for {
			select {
			case <-mine:
				return
			case line := <-d.Say:
				io.WriteString(w, line+"\n")
				w.(http.Flusher).Flush()
			case <-d.Cut:
				return
			case <-r.Context().Done():
				return
			}
		}
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return d
}

// Receive waits for a value.
func Receive[T any](t *testing.T, c <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(Long):
		t.Fatal("waited in vain")
	}
	return v
}

// Until waits for a condition that no event announces.
func Until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Long); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

// String is all that was logged.
func (c *Capture) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.buf.String()
}

// IsTimeout reports whether an error is that of a deadline.
func IsTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// Script is a module that does what the test says.
type Script func(now time.Duration, e saltmast.Event) []saltmast.Action

// Step implements the core's Decider.
func (s Script) Step(now time.Duration, events []saltmast.Event) (all []saltmast.Action) {
	for _, e := range events {
		all = append(all, s(now, e)...)
	}
	return all
}
