package daemon

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"saltmast/internal/testsupport"
)

// upgrades is how many are played: few in CI, 50 by go test ./internal/daemon -run Upgrades -upgrades 50.
var upgrades = flag.Int("upgrades", 3, "upgrades of real processes under load")

// TestMain runs an agent in place of the tests where it is started as one.
func TestMain(m *testing.M) {
	if os.Getenv("VIOLETLATCH_TEST_AGENT") != "" {
		os.Exit(Main(os.Args[1:]))
	}
	os.Exit(m.Run())
}

// site is what the processes of one agent share.
type site struct {
	t             *testing.T
	dir, discover string
	backend       string
	listen        string
	sockets       int
	operator      string // the operator's file; "": none
}

// process is one agent as a program.
type process struct {
	*exec.Cmd
	calls string
	log   *bytes.Buffer
	ended chan error
}

// freeAddr is an address that nobody listens at: the next process of the same agent must be able to share it.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func (s *site) start() *process {
	s.t.Helper()
	p := &process{calls: freeAddr(s.t), log: &bytes.Buffer{}, ended: make(chan error, 1)}
	text := strings.NewReplacer(`"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q,"operator":%q`, s.listen, p.calls),
		`"sockets":1024`, fmt.Sprintf(`"sockets":%d`, s.sockets)).Replace(string(testsupport.Config(s.discover, testsupport.Entry("s0", s.backend, "SERVING"))))
	path := filepath.Join(s.t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	self, err := os.Executable()
	if err != nil {
		s.t.Fatal(err)
	}
	p.Cmd = exec.Command(self)
	if s.operator != "" {
		p.Cmd.Args = append(p.Cmd.Args, "-operator", s.operator)
	}
	p.Env = append(os.Environ(), "VIOLETLATCH_TEST_AGENT=1", "GW_CONFIG="+path, "TMPDIR="+s.dir)
	p.Stderr = p.log
	if err := p.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() { p.ended <- p.Wait() }()
	s.t.Cleanup(func() { p.Process.Kill() })
	return p
}

// ready waits for its yes.
func (s *site) ready(p *process) {
	s.t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: testsupport.Long}
	testsupport.Until(s.t, "its yes", func() bool {
		resp, err := client.Get("http://" + p.calls + "/-/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == 200
	})
}

func descriptors(p *process) int {
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	return len(all)
}

// clients are those of the agent, half of whom connect anew for each request.
type clients struct {
	served, lost atomic.Int64
	mayLose      atomic.Bool // a process was killed: what it held is theirs
	done         chan struct{}
	all          sync.WaitGroup
}

func (s *site) load(n int) *clients {
	l := &clients{done: make(chan struct{})}
	var ids atomic.Int64
	for i := range n {
		l.all.Go(func() {
			var c net.Conn
			var in *bufio.Reader
			for {
				select {
				case <-l.done:
					return
				default:
				}
				err := func() (err error) {
					if c == nil {
						if c, err = net.Dial("tcp", s.listen); err != nil {
							c = nil
							return err
						}
						c.SetDeadline(time.Now().Add(testsupport.Long))
						in = bufio.NewReader(c)
					}
					if _, err := fmt.Fprintf(c, "POST /settle HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget-Ms: 7000\r\nContent-Length: 1\r\n\r\nx", ids.Add(1)); err != nil {
						return err
					}
					resp, err := http.ReadResponse(in, nil)
					if err != nil {
						return err
					}
					if _, err := io.Copy(io.Discard, resp.Body); err != nil {
						return err
					}
					if resp.Close || i%2 == 0 {
						c.Close()
						c = nil
					}
					if resp.StatusCode != 200 {
						return fmt.Errorf("status %d", resp.StatusCode)
					}
					return nil
				}()
				switch {
				case err == nil:
					l.served.Add(1)
				case l.mayLose.Load():
					c = nil
				default:
					l.lost.Add(1)
					s.t.Log(err)
					c = nil
				}
			}
		})
	}
	return l
}

// more waits until further requests have been served.
func (s *site) more(l *clients) {
	s.t.Helper()
	then := l.served.Load()
	testsupport.Until(s.t, "requests", func() bool { return l.served.Load() > then+100 })
}

// Upgrades of real processes under load. Each second one kills the old process at a drawn step: then what it held is its
// clients', and nothing else. Otherwise no request meets a refused, reset or unread connection, each old process ends by
// itself with 0 in time, and the descriptors of both together keep the bound of one agent. No settle runs twice.
func TestUpgradesOfProcesses(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	peer := testsupport.NewPeer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		mu.Lock()
		ran[r.Header.Get("X-Call-Id")]++
		mu.Unlock()
		return testsupport.Echo(c, r, body)
	})
	go func() {
		for range peer.Got {
		}
	}()
	go func() {
		for range peer.Closed {
		}
	}()
	s := &site{t: t, dir: t.TempDir(), discover: testsupport.NewLists(t).Addr, backend: peer.Addr(), listen: freeAddr(t), sockets: 384}
	old := s.start()
	s.ready(old)
	l := s.load(16)
	draw := rand.New(rand.NewPCG(26, 1))
	most := 0
	for i := range *upgrades {
		s.more(l)
		kill := -1 // the step at which the old process is killed
		if i%2 == 1 {
			kill = draw.IntN(4)
			l.mayLose.Store(true)
		}
		step := func(n int) {
			if n == kill {
				old.Process.Kill()
			}
		}
		step(0)
		n := s.start()
		step(1)
		s.ready(n)
		most = max(most, descriptors(old)+descriptors(n))
		step(2)
		old.Process.Signal(syscall.SIGTERM)
		step(3)
		select {
		case err := <-old.ended:
			if err != nil && kill < 0 {
				t.Errorf("the old process: %v\n%s", err, old.log)
			}
		case <-time.After(testsupport.Long):
			t.Fatalf("the old process stays\n%s", old.log)
		}
		s.more(l) // whoever was cut off has come again by then
		l.mayLose.Store(false)
		old = n
	}
	s.more(l)
	close(l.done)
	l.all.Wait()
	old.Process.Signal(syscall.SIGTERM)
	if err := <-old.ended; err != nil {
		t.Errorf("the last process: %v\n%s", err, old.log)
	}
	if lost := l.lost.Load(); lost > 0 {
		t.Errorf("%d of %d requests failed", lost, lost+l.served.Load())
	}
	if most > s.sockets {
		t.Errorf("both processes held %d descriptors, %d are allowed", most, s.sockets)
	}
	mu.Lock()
	defer mu.Unlock()
	for id, n := range ran {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	t.Logf("%d upgrades, %d requests served, %d descriptors at the most", *upgrades, l.served.Load(), most)
}

var transfers = flag.Int("transfers", 0, "slow transfers of 32 MB each way, at once, whose memory is told; 0: none are played")

// TestSlowTransfers tells what many slow transfers take in memory: half of them uploads, half answers of 32 MB, at 64 kB a
// second for five seconds. It is a measurement, played on demand; what it asserts is that the process keeps its limit and
// serves short requests beside them.
func TestSlowTransfers(t *testing.T) {
	if *transfers == 0 {
		t.Skip("played with -transfers N")
	}
	const size, limit = 32 << 20, 64 << 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					n := 1
					if r.URL.Path == "/look/long" {
						n = size
					}
					fmt.Fprintf(c, "HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n", n)
					if _, err := c.Write(make([]byte, n)); err != nil {
						return
					}
				}
			}()
		}
	}()
	s := &site{t: t, dir: t.TempDir(), discover: testsupport.NewLists(t).Addr, backend: l.Addr().String(), listen: freeAddr(t), sockets: 1024}
	p := s.start()
	s.ready(p)
	stop := time.Now().Add(5 * time.Second)
	var all sync.WaitGroup
	for i := range *transfers {
		all.Go(func() {
			c, err := net.Dial("tcp", s.listen)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			c.(*net.TCPConn).SetReadBuffer(16 << 10)
			if i%2 == 0 {
				fmt.Fprintf(c, "POST /settle HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget-Ms: 7000\r\nContent-Length: %d\r\n\r\n", 1<<32+i, size)
			} else {
				fmt.Fprintf(c, "GET /look/long HTTP/1.1\r\nHost: x\r\nX-Call-Id: %016x\r\nX-Budget-Ms: 7000\r\n\r\n", 1<<32+i)
			}
			piece := make([]byte, 6400)
			for time.Now().Before(stop) {
				if i%2 == 0 {
					_, err = c.Write(piece)
				} else {
					_, err = io.ReadFull(c, piece)
				}
				if err != nil {
					t.Errorf("transfer %d: %v", i, err)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	rss := func(key string) (kb int) {
		raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
		if _, rest, ok := strings.Cut(string(raw), key+":"); ok {
			fmt.Sscan(rest, &kb)
		}
		return kb
	}
	served := 0
	for i := 0; time.Now().Before(stop); i++ {
		resp, err := http.Get("http://" + s.listen + "/healthz")
		if err != nil || resp.StatusCode != 200 {
			t.Fatal("beside them:", err)
		}
		resp.Body.Close()
		served++
		time.Sleep(20 * time.Millisecond)
	}
	t.Logf("%d transfers: %d MB resident, %d at the most, %d descriptors; %d short calls beside them", *transfers, rss("VmRSS")>>10, rss("VmHWM")>>10, descriptors(p), served)
	if rss("VmHWM")<<10 > limit {
		t.Errorf("over %d MB", limit>>20)
	}
	all.Wait()
}
