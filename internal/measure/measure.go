// Package measure holds the agent's fronts against other proxies in one run on one machine: the same servers, the same
// clients, each proxy a process of its own on one core. What it gives are ratios: these machines are noisy, and a figure
// alone says little. Start reading at Run.
package measure

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"saltmast/internal/standin"
	"saltmast/internal/thrift"
)

// Options say what is measured.
type Options struct {
	Agent       []string // starts the agent; "-operator FILE" is added
	Peer        []string // starts a peer; its kind, its address and the server's are added
	Connections []int    // numbers of connections, each with one request at a time
	Requests    int      // measured of each subject at each number of connections
	Rounds      int      // the subjects take turns so often; the best round of each counts
	Progress    func(string)
}

// Row is one subject at one number of connections.
type Row struct {
	Subject     string        `json:"subject"`
	Connections int           `json:"connections"`
	P50         time.Duration `json:"p50_ns"`
	P99         time.Duration `json:"p99_ns"`
	CPU         time.Duration `json:"cpu_per_request_ns"` // of the proxy's process; 0 for none
}

// Subjects, in the order of the table.
const (
	DirectHTTP   = "direct, HTTP"
	ReverseProxy = "httputil.ReverseProxy"
	AgentHTTP    = "agent, HTTP"
	DirectThrift = "direct, Thrift"
	Relay        = "bare relay of frames"
	ApacheProxy  = "proxy on Apache's library"
	AgentThrift  = "agent, Thrift"
)

// subject is one thing that is measured.
type subject struct {
	name   string
	addr   string
	thrift bool
	pid    int
	ask    func(c net.Conn, in *bufio.Reader, conn, k int) error // nil: the usual request of its protocol
	name0  int                                                   // added to the numbers of connections, which make ids
}

// Run measures. Load is bounded by Requests; all processes and servers have ended when it returns.
func Run(ctx context.Context, o Options) ([]Row, error) {
	dir, err := os.MkdirTemp("", "latchkit-measure-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	web, err := serve(serveHTTP)
	if err != nil {
		return nil, err
	}
	defer web.Close()
	rpc, err := serve(serveThrift)
	if err != nil {
		return nil, err
	}
	defer rpc.Close()
	list, err := serve(serveList(web.Addr().String(), rpc.Addr().String()))
	if err != nil {
		return nil, err
	}
	defer list.Close()

	var procs processes
	defer procs.end()
	launch := func(addr string, env []string, argv ...string) (int, error) {
		return procs.start(ctx, addr, env, argv...)
	}
	subjects := []*subject{{name: DirectHTTP, addr: web.Addr().String()}, {name: ReverseProxy, addr: free()}, {name: AgentHTTP, addr: free()},
		{name: DirectThrift, addr: rpc.Addr().String(), thrift: true}, {name: Relay, addr: free(), thrift: true},
		{name: ApacheProxy, addr: free(), thrift: true}, {name: AgentThrift, addr: free(), thrift: true}}
	if subjects[1].pid, err = launch(subjects[1].addr, nil, append(slices.Clone(o.Peer), "http", subjects[1].addr, web.Addr().String())...); err != nil {
		return nil, err
	}
	for i, kind := range map[int]string{4: "relay", 5: "thrift"} {
		if subjects[i].pid, err = launch(subjects[i].addr, nil, append(slices.Clone(o.Peer), kind, subjects[i].addr, rpc.Addr().String())...); err != nil {
			return nil, err
		}
	}
	agent := subjects[6]
	config, operator, err := files(dir, subjects[2].addr, agent.addr, list.Addr().String(), web.Addr().String(), rpc.Addr().String())
	if err != nil {
		return nil, err
	}
	pid, err := launch(agent.addr, []string{"GW_CONFIG=" + config}, append(slices.Clone(o.Agent), "-operator", operator)...)
	if err != nil {
		return nil, err
	}
	subjects[2].pid, agent.pid = pid, pid

	return turns(ctx, o, subjects, func(s *subject, n, _ int) (Row, error) { return s.run(n, o.Requests) })
}

// turns measures the subjects in turn, round by round, at each number of connections, and keeps the best round of each.
func turns(ctx context.Context, o Options, subjects []*subject, run func(s *subject, n, round int) (Row, error)) (rows []Row, err error) {
	for _, n := range o.Connections {
		best := make([]Row, len(subjects))
		for round := range o.Rounds {
			for i, s := range subjects {
				if ctx.Err() != nil {
					return nil, ctx.Err()
				}
				if o.Progress != nil {
					o.Progress(fmt.Sprintf("%d connections, round %d: %s", n, round+1, s.name))
				}
				r, err := run(s, n, round)
				if err != nil {
					return nil, fmt.Errorf("%s: %w", s.name, err)
				}
				if round == 0 || r.P50 < best[i].P50 {
					best[i] = r
				}
			}
		}
		rows = append(rows, best...)
	}
	return rows, nil
}

// processes are those that a measurement started.
type processes []*exec.Cmd

// start starts one and waits until it listens.
func (p *processes) start(ctx context.Context, addr string, env []string, argv ...string) (pid int, err error) {
	cmd := exec.CommandContext(ctx, argv[0], argv[1:]...)
	cmd.Env = append(os.Environ(), env...)
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	*p = append(*p, cmd)
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			return cmd.Process.Pid, nil
		} else if time.Now().After(end) {
			return 0, fmt.Errorf("%s does not listen: %w", argv[0], err)
		}
	}
}

// end kills them all: nothing of theirs is worth an orderly end, and not all would make one.
func (p *processes) end() {
	for _, cmd := range *p {
		cmd.Process.Kill()
	}
	for _, cmd := range *p {
		cmd.Wait()
	}
}

// free is an address on which nothing listens.
func free() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "127.0.0.1:0"
	}
	defer l.Close()
	return l.Addr().String()
}

// run sends requests on n connections, one at a time on each.
func (s *subject) run(n, requests int) (Row, error) {
	each := max(1, requests/n)
	warm := each/10 + 20
	lat := make([][]time.Duration, n)
	errs := make(chan error, n)
	var ready, done sync.WaitGroup
	gate := make(chan struct{})
	ready.Add(n)
	for i := range n {
		done.Add(1)
		go func() {
			defer done.Done()
			c, err := net.Dial("tcp", s.addr)
			if err != nil {
				ready.Done()
				errs <- err
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(2 * time.Minute))
			in := bufio.NewReader(c)
			ask := s.ask
			switch {
			case ask != nil:
			case s.thrift:
				ask = askThrift
			default:
				ask = askHTTP
			}
			i := s.name0 + i
			for k := range warm {
				if err := ask(c, in, i, k); err != nil {
					ready.Done()
					errs <- err
					return
				}
			}
			ready.Done()
			<-gate
			for k := range each {
				began := time.Now()
				if err := ask(c, in, i, warm+k); err != nil {
					errs <- err
					return
				}
				lat[i-s.name0] = append(lat[i-s.name0], time.Since(began))
			}
		}()
	}
	ready.Wait()
	before := cpuOf(s.pid)
	close(gate)
	done.Wait()
	used := cpuOf(s.pid) - before
	select {
	case err := <-errs:
		return Row{}, err
	default:
	}
	all := slices.Concat(lat...)
	slices.Sort(all)
	row := Row{Subject: s.name, Connections: n, P50: all[len(all)/2], P99: all[len(all)*99/100]}
	if s.pid != 0 {
		row.CPU = used / time.Duration(len(all))
	}
	return row, nil
}

// cpuOf is the processor time that a process has used, by the system's accounts (hundredths of a second); 0 where there
// are none.
func cpuOf(pid int) time.Duration {
	if pid == 0 {
		return 0
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

const body = `{"account":"fleet-77","litres":81.5,"price":92.4,"pump":"KOL-0031-4","card":"tok_5c0f6e1a2b3d4c59","odometer":120345}`

func askHTTP(c net.Conn, in *bufio.Reader, conn, k int) error {
	if _, err := fmt.Fprintf(c, "POST /sale-settle HTTP/1.1\r\nHost: a\r\nX-Call-Id: %08x%08x\r\nX-Budget-Ms: 5000\r\nContent-Length: %d\r\n\r\n%s", conn, k, len(body), body); err != nil {
		return err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %s", resp.Status)
	}
	return nil
}

func askThrift(c net.Conn, in *bufio.Reader, conn, k int) error {
	m := thrift.Message{Protocol: thrift.Binary, Type: thrift.Call, Seq: int32(k), Name: []byte("saleSettle"),
		Body: standin.CallBody(thrift.Binary, fmt.Sprintf("%08x%08x", conn, k), "", 5*time.Second, "", []byte(body))}
	if _, err := c.Write(thrift.AppendFrame(nil, &m)); err != nil {
		return err
	}
	got, err := readFrame(in)
	if err != nil {
		return err
	}
	if got.Type != thrift.Reply || got.Seq != int32(k) {
		_, text := thrift.ReadException(&got)
		return fmt.Errorf("answered message type %d, sequence id %d: %s", got.Type, got.Seq, text)
	}
	return nil
}

func readFrame(in io.Reader) (thrift.Message, error) {
	var head [4]byte
	if _, err := io.ReadFull(in, head[:]); err != nil {
		return thrift.Message{}, err
	}
	n, err := thrift.FrameLength(head, thrift.Limits{})
	if err != nil {
		return thrift.Message{}, err
	}
	frame := make([]byte, n)
	if _, err := io.ReadFull(in, frame); err != nil {
		return thrift.Message{}, err
	}
	return thrift.Scan(frame, thrift.Limits{})
}

// serve runs a server of one connection handler.
func serve(handle func(net.Conn)) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); handle(c) }()
		}
	}()
	return l, nil
}

func serveHTTP(c net.Conn) {
	in := bufio.NewReader(c)
	answer := []byte("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"ok\":true}\n")
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

func serveThrift(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		m, err := readFrame(in)
		if err != nil {
			return
		}
		m.Type = thrift.Reply
		m.Body = standin.AnswerBody(m.Protocol, "{\"ok\":true}\n")
		if _, err := c.Write(thrift.AppendFrame(nil, &m)); err != nil {
			return
		}
	}
}

// servers is the list of both.
func servers(web, rpc string) string {
	line := func(id, addr, kind string) string {
		return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"here","kind":%q,"cell":0,"state":"SERVING","weight":1,"started_ms":0}`, id, addr, kind)
	}
	return fmt.Sprintf(`{"version":1,"full":true,"servers":[%s,%s]}`, line("s0", web, "http"), line("t0", rpc, "thrift"))
}

func serveList(web, rpc string) func(net.Conn) {
	return func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n%s\n", servers(web, rpc))
		if r.URL.Query().Get("follow") == "" {
			return
		}
		gone := make(chan struct{})
		go func() { io.Copy(io.Discard, c); close(gone) }()
		beat := time.NewTicker(2 * time.Second)
		defer beat.Stop()
		for {
			select {
			case <-gone:
				return
			case <-beat.C:
				io.WriteString(c, "\n")
			}
		}
	}
}

// files writes the agent's configuration and its operator's file.
func files(dir, listen, listenThrift, list, web, rpc string) (config, operator string, err error) {
	config, operator = filepath.Join(dir, "config.json"), filepath.Join(dir, "operator.toml")
	raw, err := json.Marshal(map[string]any{"name": "n0", "listen": listen, "discovery": list, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": json.RawMessage(servers(web, rpc)),
		"settings": map[string]any{"Balancers": 1, "Me": 0, "Dcs": []string{"here"}, "Kinds": []string{"http", "thrift"}, "MembershipMode": "subscribe",
			"Profiles": []any{map[string]any{"Name": "sale-settle", "AimMs": 2000, "DeadlineMs": 6000, "Worth": 1, "Semantics": "once"},
				map[string]any{"Name": "limit-hold", "AimMs": 2000, "DeadlineMs": 6000, "Worth": 1, "Semantics": "by_key", "Group": "cell", "WindowMs": 6000}},
			"PolicyLimits": map[string]any{"TryLimit": 3, "Cancel": true, "ConnectTimeoutMs": 250, "IdleCloseMs": 60000},
			"Contract":     map[string]any{"ColdFrom": 1, "AskWithinMs": 10000, "DrainGraceMs": 250}}})
	if err == nil {
		err = os.WriteFile(config, raw, 0o600)
	}
	if err == nil {
		err = os.WriteFile(operator, fmt.Appendf(nil, "[thrift]\nlisten = %q\nkind = \"thrift\"\n[[thrift.method]]\nname = \"saleSettle\"\nclass = \"sale-settle\"\nid = \"1.1\"\nbudget_ms = \"1.3\"\n", listenThrift), 0o600)
	}
	return config, operator, err
}

// ErrPeer is the error of a peer that is not known.
var ErrPeer = errors.New("a peer is http, thrift or relay")
