package agent

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"saltmast/internal/config"
	"saltmast/internal/testsupport"
)

// operated is a configuration with a second address and a scratch folder.
func operated(t *testing.T, discovery string, servers ...string) *config.Config {
	t.Helper()
	c := configOf(t, discovery, servers...)
	c.Calls, c.Scratch = "127.0.0.1:0", t.TempDir()
	return c
}

// say calls an agent's second address and returns the status.
func say(t *testing.T, a *Agent, method, path string) int {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+a.CallsAddr().String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: long}).Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// idOf is the id of the nth request.
func idOf(n int) string { return fmt.Sprintf("%016x", n) }

// look sends one request that may be repeated.
func look(t *testing.T, a *Agent, n int) {
	t.Helper()
	if resp, _ := ask(t, a, "GET", "/look", "", "X-Call-Id", idOf(n), "X-Budget-Ms", "7000"); resp.StatusCode != 200 {
		t.Errorf("request %d: status %d", n, resp.StatusCode)
	}
}

// From the yes nothing goes to a backend that is out, though the list says again and again that it serves, has started anew,
// or is gone and back; one call back undoes two out, and it is used again.
func TestBackendOutAndBack(t *testing.T) {
	t.Parallel()
	p, q, lists := newPeer(t, echo), newPeer(t, echo), newLists(t)
	a, _ := start(t, operated(t, lists.Addr, entry("s0", p.Addr(), "SERVING"), entry("s1", q.Addr(), "SERVING")), nil)
	receive(t, lists.Watch)
	n := 0
	for ; len(p.Got) == 0; n++ {
		look(t, a, n)
	}
	for range 2 {
		if got := say(t, a, "POST", "/-/backends/s0/disable"); got != 200 {
			t.Fatalf("status %d", got)
		}
	}
	before := len(p.Got)
	version := 1
	list := func(state string, started int) {
		version++
		lists.Say <- fmt.Sprintf(`{"version":%d,"full":false,"servers":[{"id":"s0","addr":%q,"zone":"dc","kind":"std","cell":1,"state":%q,"weight":1,"started_ms":%d}]}`,
			version, p.Addr(), state, started)
		news := a.table.News()
		until(t, "the list", func() bool { return a.table.News() > news || a.table.News() >= uint64(version) })
	}
	for i, state := range []string{"SERVING", "DRAINING", "DELETED", "SERVING"} {
		list(state, i)
		for range 10 {
			look(t, a, n)
			n++
		}
		if got := say(t, a, "POST", "/-/backends/s0/disable"); got != 200 {
			t.Errorf("what is out is unknown once the list says %s: status %d", state, got)
		}
	}
	if len(p.Got) != before {
		t.Errorf("%d requests went to a backend that is out", len(p.Got)-before)
	}
	if got := say(t, a, "POST", "/-/backends/s0/enable"); got != 200 {
		t.Fatalf("status %d", got)
	}
	for until := n + 500; len(p.Got) == before && n < until; n++ {
		look(t, a, n)
	}
	if len(p.Got) == before {
		t.Error("a backend that was put back gets nothing")
	}
	for _, path := range []string{"/-/backends/s9/disable", "/-/backends/s9/enable"} {
		if got := say(t, a, "POST", path); got != 404 {
			t.Errorf("%s: status %d", path, got)
		}
	}
}

// All out: refused at once, and nothing has run.
func TestAllBackendsOut(t *testing.T) {
	t.Parallel()
	p := newPeer(t, echo)
	a, _ := start(t, operated(t, newLists(t).Addr, entry("s0", p.Addr(), "SERVING")), nil)
	say(t, a, "POST", "/-/backends/s0/disable")
	if resp, _ := ask(t, a, "POST", "/settle", "x", "X-Call-Id", id, "X-Budget-Ms", "600000"); resp.StatusCode != 503 || len(p.Got) > 0 {
		t.Errorf("status %d, %d attempts", resp.StatusCode, len(p.Got))
	}
}

// A state that can't be kept is not in force, and the caller hears so.
func TestCallThatIsNotKept(t *testing.T) {
	t.Parallel()
	p := newPeer(t, echo)
	c := operated(t, newLists(t).Addr, entry("s0", p.Addr(), "SERVING"))
	a, _ := start(t, c, nil)
	if err := os.Remove(filepath.Join(c.Scratch, "violetlatch.calls")); err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(c.Scratch, "violetlatch.calls"), 0o700); err != nil { // can't be opened for writing, by nobody
		t.Fatal(err)
	}
	if got := say(t, a, "POST", "/-/backends/s0/disable"); got != 503 {
		t.Errorf("status %d", got)
	}
	look(t, a, 1)
}

// kept is a client that keeps its connection.
type kept struct {
	net.Conn
	in *bufio.Reader
}

func keepOpen(t *testing.T, addr string) *kept {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(long))
	return &kept{c, bufio.NewReader(c)}
}

// ask sends a request and reads its answer; closes: the agent ends the connection with it.
func (k *kept) ask(n int) (status int, closes bool, err error) {
	if _, err := fmt.Fprintf(k, "GET /look HTTP/1.1\r\nHost: x\r\nX-Call-Id: %s\r\nX-Budget-Ms: 7000\r\n\r\n", idOf(n)); err != nil {
		return 0, false, err
	}
	resp, err := http.ReadResponse(k.in, nil)
	if err != nil {
		return 0, false, err
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Close, nil
}

// A drained agent says no at once, serves what still comes, closes connections with their answers and, later, those that
// rest; then it takes clients again, as often as it is told to.
func TestDrainAndResume(t *testing.T) {
	t.Parallel()
	p := newPeer(t, echo)
	a, _ := start(t, operated(t, newLists(t).Addr, entry("s0", p.Addr(), "SERVING")), nil)
	health := func() int { resp, _ := ask(t, a, "GET", "/healthz", ""); return resp.StatusCode }
	for round := range 2 {
		resting, used := keepOpen(t, a.Addr().String()), keepOpen(t, a.Addr().String())
		for i, k := range []*kept{resting, used} {
			if status, closes, err := k.ask(10*round + i); status != 200 || closes || err != nil {
				t.Fatal(status, closes, err)
			}
		}
		if got := say(t, a, "POST", "/-/drain"); got != 200 {
			t.Fatalf("status %d", got)
		}
		if got := health(); got != 503 {
			t.Errorf("health of a drained agent: %d", got)
		}
		if status, closes, err := used.ask(10*round + 2); status != 200 || !closes || err != nil {
			t.Errorf("on a kept connection: %d, closes %v, %v", status, closes, err)
		}
		if status, closes, err := keepOpen(t, a.Addr().String()).ask(10*round + 3); status != 200 || !closes || err != nil {
			t.Errorf("on a new connection: %d, closes %v, %v", status, closes, err)
		}
		if _, err := resting.in.ReadByte(); err != io.EOF {
			t.Errorf("the one that rests ended with %v", err)
		}
		if got := say(t, a, "GET", "/-/ready"); got != 200 && a.table.News() > 1 {
			t.Errorf("the second address of a drained agent: %d", got)
		}
		say(t, a, "POST", "/-/resume")
		if got := health(); got != 200 {
			t.Errorf("health after the second call: %d", got)
		}
		if status, closes, err := keepOpen(t, a.Addr().String()).ask(10*round + 4); status != 200 || closes || err != nil {
			t.Errorf("after the second call: %d, closes %v, %v", status, closes, err)
		}
	}
}

// process is an agent that tests stop by themselves.
type process struct {
	*Agent
	stop  context.CancelFunc
	ended chan error
}

func launch(t *testing.T, c *config.Config) *process {
	t.Helper()
	a, err := New(c, logTo(&capture{}))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{Agent: a, stop: cancel, ended: make(chan error, 1)}
	go func() { p.ended <- a.Run(ctx) }()
	t.Cleanup(func() { cancel() })
	return p
}

func (p *process) leave(t *testing.T) {
	t.Helper()
	p.stop()
	if err := receive(t, p.ended); err != nil {
		t.Error(err)
	}
}

// beside is the configuration of a newcomer.
func beside(c *config.Config, a *process) *config.Config {
	n := *c
	n.Listen, n.Calls = a.Addr().String(), "127.0.0.1:0"
	return &n
}

// A call at either process binds both, outlives the upgrade, and is undone at the newcomer.
func TestCallsAndUpgrades(t *testing.T) {
	t.Parallel()
	s0, s1 := newPeer(t, echo), newPeer(t, echo)
	c := operated(t, newLists(t).Addr, entry("s0", s0.Addr(), "SERVING"), entry("s1", s1.Addr(), "SERVING"))
	old := launch(t, c)
	say(t, old.Agent, "POST", "/-/backends/s0/disable")
	newcomer := launch(t, beside(c, old))
	if _, ok := newcomer.table.Serving("s0"); ok {
		t.Error("out at the old process, in at the newcomer")
	}
	say(t, newcomer.Agent, "POST", "/-/backends/s1/disable")
	until(t, "the old process to follow", func() bool { _, ok := old.table.Serving("s1"); return !ok })
	say(t, old.Agent, "POST", "/-/backends/s1/enable")
	until(t, "the newcomer to follow", func() bool { _, ok := newcomer.table.Serving("s1"); return ok })
	health := func(p *process) int {
		resp, _ := ask(t, p.Agent, "GET", "/healthz", "")
		return resp.StatusCode
	}
	say(t, old.Agent, "POST", "/-/drain") // at a shared address either may answer
	until(t, "the newcomer to be drained too", func() bool { return newcomer.service.drained.Load() > 0 })
	if got := health(newcomer); got != 503 {
		t.Errorf("health in a drain during an upgrade: %d", got)
	}
	if got := say(t, newcomer.Agent, "POST", "/-/resume"); got != 200 {
		t.Error(got)
	}
	until(t, "the old one to take clients", func() bool { return old.service.drained.Load() == 0 })
	old.leave(t)
	if _, ok := newcomer.table.Serving("s0"); ok {
		t.Error("back without a call")
	}
	third := launch(t, beside(c, newcomer))
	newcomer.leave(t)
	say(t, third.Agent, "POST", "/-/backends/s0/enable")
	if _, ok := third.table.Serving("s0"); !ok {
		t.Error("still out after a call back")
	}
	third.leave(t)
}

// Upgrades under load, clients that keep their connections beside such that connect anew: none is refused, reset or unread,
// and each request is served. While both live, each has its part of the descriptors, and the last one all.
func TestUpgradesLoseNothing(t *testing.T) {
	t.Parallel()
	s0 := newPeer(t, echo)
	go func() {
		for range s0.Got {
		}
	}()
	c := operated(t, newLists(t).Addr, entry("s0", s0.Addr(), "SERVING"))
	p := launch(t, c)
	addr := p.Addr().String()
	var served, lost atomic.Int64
	var next atomic.Int64
	done := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 6 {
		clients.Go(func() {
			var k *kept
			for {
				select {
				case <-done:
					return
				default:
				}
				if k == nil {
					conn, err := net.Dial("tcp", addr)
					if err != nil {
						lost.Add(1)
						t.Log(err)
						continue
					}
					conn.SetDeadline(time.Now().Add(long))
					k = &kept{conn, bufio.NewReader(conn)}
				}
				status, closes, err := k.ask(int(next.Add(1)))
				if status != 200 {
					lost.Add(1)
					t.Log(status, err)
				} else {
					served.Add(1)
				}
				if closes || err != nil || i%2 == 0 {
					k.Close()
					k = nil
				}
			}
		})
	}
	more := func() {
		then := served.Load()
		until(t, "requests", func() bool { return served.Load() > then+50 })
	}
	for range 3 {
		more()
		n := launch(t, beside(c, p))
		until(t, "the newcomer to be ready", func() bool { return say(t, n.Agent, "GET", "/-/ready") == 200 })
		until(t, "the old one's part", func() bool { return p.conns.Limit() < c.ClientConns() })
		p.leave(t)
		until(t, "the whole", func() bool { return n.conns.Limit() == c.ClientConns() })
		more()
		p = n
	}
	close(done)
	clients.Wait()
	p.leave(t)
	if n := lost.Load(); n > 0 {
		t.Errorf("%d of %d requests failed", n, n+served.Load())
	}
}

// A newcomer that dies leaves the old process with its whole limits.
func TestNewcomerDies(t *testing.T) {
	t.Parallel()
	s0 := newPeer(t, echo)
	c := operated(t, newLists(t).Addr, entry("s0", s0.Addr(), "SERVING"))
	old := launch(t, c)
	n := launch(t, beside(c, old))
	until(t, "the old one's part", func() bool { return old.conns.Limit() < c.ClientConns() })
	n.leave(t)
	until(t, "the whole", func() bool { return old.conns.Limit() == c.ClientConns() })
	look(t, old.Agent, 1)
	old.leave(t)
}

// A damaged state file costs one line in the log and nothing else.
func TestDamagedStateFile(t *testing.T) {
	t.Parallel()
	s0 := newPeer(t, echo)
	c := operated(t, newLists(t).Addr, entry("s0", s0.Addr(), "SERVING"))
	first := launch(t, c)
	say(t, first.Agent, "POST", "/-/backends/s0/disable")
	first.leave(t)
	spoil(t, c.Scratch)
	a, logged := start(t, c, nil)
	look(t, a, 1)
	if n := strings.Count(logged.String(), "state of the process before"); n != 1 {
		t.Errorf("%d lines in the log", n)
	}
}

// spoil cuts the state file short.
func spoil(t *testing.T, dir string) {
	t.Helper()
	name := filepath.Join(dir, "violetlatch.state")
	raw, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, raw[:len(raw)-1], 0o600); err != nil {
		t.Fatal(err)
	}
}

// Both listeners are shared: a newcomer with a front for Thrift starts beside one that has it too, and serves once that is gone.
func TestThriftUpgrade(t *testing.T) {
	t.Parallel()
	c := thriftConfig(t, testsupport.NewThriftPeer(t, thriftEcho).Addr())
	c.Calls, c.Scratch = "127.0.0.1:0", t.TempDir()
	old := launch(t, c)
	servedThrift(t, rawThrift(t, old.Agent), "before")
	n := beside(c, old)
	operator, front := *c.Operator, *c.Operator.Thrift
	front.Listen = old.ThriftAddr().String()
	operator.Thrift = &front
	n.Operator = &operator
	newcomer := launch(t, n)
	until(t, "the newcomer to be ready", func() bool { return say(t, newcomer.Agent, "GET", "/-/ready") == 200 })
	old.leave(t)
	servedThrift(t, rawThrift(t, newcomer.Agent), "after")
	newcomer.leave(t)
}

// A backend is taken out while a request to it is half written: that one ends there, and nothing new goes to it.
func TestBackendOutWhileHalfWritten(t *testing.T) {
	t.Parallel()
	const size = 1 << 20
	came := make(chan struct{}, 20)
	addr := rawPeer(t, func(c net.Conn, in *bufio.Reader) {
		came <- struct{}{}
		io.CopyN(io.Discard, in, size)
		io.WriteString(c, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n")
	})
	c := operated(t, newLists(t).Addr, entry("s0", addr, "SERVING"))
	c.MemoryMB = 8 // it passes
	a, _ := start(t, c, nil)
	half := big(t, a, 1, size, "7000")
	half.Write(make([]byte, size/2))
	receive(t, came)
	if got := say(t, a, "POST", "/-/backends/s0/disable"); got != 200 {
		t.Fatalf("status %d", got)
	}
	for i := range 5 {
		if resp, _ := ask(t, a, "GET", "/look", "", "X-Call-Id", idOf(10+i), "X-Budget-Ms", "7000"); resp.StatusCode != 503 {
			t.Errorf("with the only backend out: status %d", resp.StatusCode)
		}
	}
	half.Write(make([]byte, size/2))
	if got := status(t, half); got != 200 {
		t.Errorf("the half written one got %d", got)
	}
	if len(came) != 0 {
		t.Errorf("%d went to a backend that is out", len(came))
	}
}
