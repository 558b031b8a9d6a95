package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"saltmast/internal/grade"
	"saltmast/internal/scenario"
	"saltmast/internal/standin"
)

const (
	// readyWithin is how long agents have to become ready, as on the platform.
	readyWithin = 30 * time.Second
	// killAfter a stop comes the kill, beyond the longest deadline, which counts for stopMost at the most.
	killAfter = 700 * time.Millisecond
	stopMost  = 3 * time.Second
	// tailBytes of each agent's log are kept for the message about one that ends too soon.
	tailBytes = 4 << 10
)

// agent is one agent: its address, and the process that has it now.
type agent struct {
	i       int
	name    string
	s       *scenario.Scenario
	command []string
	dir     string
	logs    string // a folder for its log; "" for none
	list    *standin.List
	listAt  string
	record  *standin.Record

	mu        sync.Mutex
	addr      string
	thrift    string // where it listens for Thrift callers; "" for not at all
	settles   string // the folder of its journal; "" for none
	peers     string // its section of the operator's file; "" for none
	calls     string // where operators call; "" for nowhere
	advertise string // where others reach it
	starts    int
	proc      *process
	cpu       time.Duration
	rss       int64 // largest, bytes
}

// process is one run of the program.
type process struct {
	cmd    *exec.Cmd
	ended  chan struct{} // closed once it has been waited for
	status int           // to be read then; -1 for a signal
	log    *tail
}

// tail keeps the end of what is written to it, and passes all on.
type tail struct {
	mu  sync.Mutex
	buf []byte
	to  io.Writer
}

func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf = append(t.buf, p...)
	if n := len(t.buf) - tailBytes; n > 0 {
		t.buf = append(t.buf[:0], t.buf[n:]...)
	}
	if t.to != nil {
		t.to.Write(p)
	}
	return len(p), nil
}

func (t *tail) last() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(string(t.buf)), "\n")
	return lines[len(lines)-1]
}

// freeAddr returns an address of a host on which a port is free now.
func freeAddr(host string) (string, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// start starts the program under the agent's name and address. It is no error if it runs already.
func (a *agent) start() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.proc != nil {
		select {
		case <-a.proc.ended:
		default:
			return nil
		}
	}
	known, entries := a.list.Known(a.name)
	path := filepath.Join(a.dir, a.name+".json")
	if err := writeConfig(path, a.s, a.i, a.name, a.addr, a.listAt, known, a.starts, a.calls); err != nil {
		return err
	}
	a.starts++
	command := a.command
	if a.thrift != "" || a.settles != "" || a.peers != "" {
		operator := filepath.Join(a.dir, a.name+".toml")
		if err := writeOperator(operator, a.s, a.thrift, a.settles, a.peers); err != nil {
			return err
		}
		command = append(slices.Clone(command), "-operator", operator)
	}
	p := &process{cmd: exec.Command(command[0], command[1:]...), ended: make(chan struct{}), log: &tail{}}
	var file *os.File
	if a.logs != "" {
		var err error
		if file, err = os.OpenFile(filepath.Join(a.logs, a.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
			return err
		}
		p.log.to = file
	}
	p.cmd.Env = append(withoutGW(os.Environ()), "GW_CONFIG="+path, "GW_NAME="+a.name, "GW_LISTEN="+a.addr, "GW_DISCOVERY="+a.listAt)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = ownGroup()
	if err := p.cmd.Start(); err != nil {
		if file != nil {
			file.Close()
		}
		return fmt.Errorf("agent %s: %w", a.name, err)
	}
	a.proc = p
	a.record.Add(grade.Event{Kind: grade.AgentUp, Agent: a.name, Addr: a.addr, Full: true, Entries: entries})
	go func() {
		p.cmd.Wait()
		p.status = p.cmd.ProcessState.ExitCode()
		a.record.Add(grade.Event{Kind: grade.AgentExit, Agent: a.name, Status: p.status})
		a.mu.Lock()
		a.cpu += p.cmd.ProcessState.UserTime() + p.cmd.ProcessState.SystemTime()
		if u, ok := p.cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
			a.rss = max(a.rss, maxRSS(u))
		}
		a.mu.Unlock()
		if file != nil {
			file.Close()
		}
		close(p.ended)
	}()
	return nil
}

// withoutGW drops what tells an agent about itself.
func withoutGW(env []string) (out []string) {
	for _, e := range env {
		if !strings.HasPrefix(e, "GW_") {
			out = append(out, e)
		}
	}
	return out
}

func (a *agent) current() *process {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.proc
}

// running returns the process if it runs.
func (a *agent) running() *process {
	p := a.current()
	if p == nil {
		return nil
	}
	select {
	case <-p.ended:
		return nil
	default:
		return p
	}
}

// ready waits until the agent says that it serves.
func (a *agent) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	p := a.current()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		if resp, err := client.Get("http://" + a.addr + "/healthz"); err == nil {
			io.Copy(io.Discard, io.LimitReader(resp.Body, 1<<16))
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-p.ended:
			return fmt.Errorf("agent %s ended with status %d before it was ready: %s", a.name, p.status, p.log.last())
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return nil // clients come all the same, as on the platform
			}
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// kill ends the process at once.
func (a *agent) kill() {
	if p := a.running(); p != nil {
		a.record.Add(grade.Event{Kind: grade.AgentKill, Agent: a.name})
		p.cmd.Process.Kill()
		<-p.ended
	}
}

// stop tells the process to stop and waits; if it has not ended in time it is killed.
func (a *agent) stop() {
	p := a.running()
	if p == nil {
		return
	}
	longest := time.Duration(0)
	for _, c := range a.s.Classes {
		longest = max(longest, ms(c.DeadlineMs))
	}
	a.record.Add(grade.Event{Kind: grade.AgentStop, Agent: a.name})
	p.cmd.Process.Signal(syscall.SIGTERM)
	t := time.NewTimer(min(longest, stopMost) + killAfter)
	defer t.Stop()
	select {
	case <-p.ended:
	case <-t.C:
		a.kill()
	}
}

// usage is the processor time and the most memory of all its ended processes.
func (a *agent) usage() (cpu time.Duration, rss int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cpu, a.rss
}

// Find returns the command of an agent: the one named, a violetlatch beside the kit, or the kit itself.
func Find(named, self string) ([]string, error) {
	switch {
	case strings.HasPrefix(named, "naive:"):
		return []string{self, "naive", strings.TrimPrefix(named, "naive:")}, nil
	case named != "":
		path, err := exec.LookPath(named)
		if err != nil {
			return nil, fmt.Errorf("agent: %w", err)
		}
		path, err = filepath.Abs(path)
		return []string{path}, err
	}
	beside := filepath.Join(filepath.Dir(self), "violetlatch")
	if info, err := os.Stat(beside); err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0 {
		return []string{beside}, nil
	}
	return []string{self, "agent"}, nil
}
