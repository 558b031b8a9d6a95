package loadline

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runningProgram is one program that this run started.
type runningProgram struct {
	name     string
	addr     string // of its calls by signal, or its gate; empty: hollow agents
	settings string
	args     []string
	last     *tail

	now   sync.Mutex // of the present start
	cmd   *exec.Cmd
	ended chan struct{}

	mu  sync.Mutex // of orders to hollow agents
	in  io.WriteCloser
	out *json.Decoder
}

// tail keeps the last that a program said.
type tail struct {
	mu    sync.Mutex
	b     []byte
	wrong string // the first line that tells of a fault of the program itself
}

var faults = [][]byte{[]byte("WARNING: DATA RACE"), []byte("panic: "), []byte("fatal error: ")}

// fault is the first line that told of one; "": none did.
func (t *tail) fault() string { t.mu.Lock(); defer t.mu.Unlock(); return t.wrong }

func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.b = append(t.b, b...)
	for _, f := range faults {
		if t.wrong == "" && bytes.Contains(b, f) {
			t.wrong = string(f)
		}
	}
	if len(t.b) > 8<<10 {
		t.b = bytes.Clone(t.b[len(t.b)-4<<10:])
	}
	return len(b), nil
}

func (t *tail) String() string { t.mu.Lock(); defer t.mu.Unlock(); return string(t.b) }

// start starts it, with so many threads of Go at once; 0: as the machine has it.
func (p *runningProgram) start(threads int) error {
	p.last = &tail{}
	p.now.Lock()
	defer p.now.Unlock()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = os.Environ()
	if p.settings != "" {
		p.cmd.Env = append(p.cmd.Env, "VIOLETLATCH_SETTINGS="+p.settings)
	}
	if threads > 0 {
		p.cmd.Env = append(p.cmd.Env, "GOMAXPROCS="+strconv.Itoa(threads))
	}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p.cmd.Stderr = p.last
	if p.settings == "" {
		in, err := p.cmd.StdinPipe()
		if err != nil {
			return err
		}
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			return err
		}
		p.in, p.out = in, json.NewDecoder(out)
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		defer close(ended)
		cmd.Process.Wait()
	}(p.cmd, p.ended)
	return nil
}

// kill ends it at once and waits for that.
func (p *runningProgram) kill() {
	pid, ended := p.present()
	if pid == 0 {
		return
	}
	p.cmd.Process.Kill()
	<-ended
}

// present is the number of the process, 0 where there is none, and what is closed when it has ended.
func (p *runningProgram) present() (pid int, ended chan struct{}) {
	p.now.Lock()
	defer p.now.Unlock()
	if p.cmd == nil || p.cmd.Process == nil || p.ended == nil {
		return 0, nil
	}
	return p.cmd.Process.Pid, p.ended
}

func (p *runningProgram) gone() bool {
	pid, ended := p.present()
	if pid == 0 {
		return true
	}
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// do gives an order to hollow agents.
func (p *runningProgram) do(v any) (t told, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	raw, err := json.Marshal(v)
	if err == nil {
		_, err = p.in.Write(append(raw, '\n'))
	}
	if err == nil {
		if _, first := v.(plan); !first {
			err = p.out.Decode(&t)
		}
	}
	if err == nil && t.Err != "" {
		err = errors.New(t.Err)
	}
	if err != nil {
		err = fmt.Errorf("%s: %w: %.300s", p.name, err, p.last.String())
	}
	return t, err
}

// usage is what a process has used so far.
type usage struct {
	cpu     time.Duration
	rss     int64 // bytes now, without pages of files
	written int64 // bytes to disk
}

// ticks a second of /proc, on all Linux machines.
const ticks = 100

func (p *runningProgram) usage() (u usage) {
	if p.gone() {
		return u
	}
	pid, _ := p.present()
	dir := filepath.Join("/proc", strconv.Itoa(pid))
	if raw, err := os.ReadFile(filepath.Join(dir, "stat")); err == nil {
		if _, after, ok := strings.Cut(string(raw), ") "); ok {
			if f := strings.Fields(after); len(f) > 12 {
				user, _ := strconv.ParseInt(f[11], 10, 64)
				system, _ := strconv.ParseInt(f[12], 10, 64)
				u.cpu = time.Duration(user+system) * time.Second / ticks
			}
		}
	}
	if raw, err := os.ReadFile(filepath.Join(dir, "status")); err == nil {
		if _, after, ok := strings.Cut(string(raw), "RssAnon:"); ok {
			fmt.Sscan(after, &u.rss)
			u.rss <<= 10
		}
	}
	if raw, err := os.ReadFile(filepath.Join(dir, "io")); err == nil {
		if _, after, ok := strings.Cut(string(raw), "\nwrite_bytes: "); ok {
			fmt.Sscan(after, &u.written)
		}
	}
	return u
}

// machineMemory is how many bytes this machine has.
func machineMemory() int64 {
	raw, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	var kb int64
	if _, after, ok := strings.Cut(string(raw), "MemTotal:"); ok {
		fmt.Sscan(after, &kb)
	}
	return kb << 10
}

// descriptors is how many files this process may open.
func descriptors() int {
	var l syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l) != nil {
		return 0
	}
	return int(min(l.Cur, 1<<30))
}
