// Package integration takes the mesh out for a trial: it builds the three real programs, starts them as processes on loopback
// addresses, and stands around them as their backends, clients, operator and platform. What it finds out it counts itself, or
// hears from what the programs say; it looks into none of them. It is for tests. Start reading at Start.
package integration

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Programs are the mesh's own, as they are named under cmd.
var Programs = []string{"tug", "harbourmaster", "purser"}

// Build builds the programs into a folder. They look for races of their own where the test that builds them does.
func Build(dir string) error {
	args := []string{"build", "-buildvcs=false", "-o", dir + string(filepath.Separator)}
	if race {
		args = append(args, "-race")
	}
	for _, p := range Programs {
		args = append(args, "saltmast/cmd/"+p)
	}
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		return fmt.Errorf("go build: %w\n%s", err, out)
	}
	return nil
}

// Patience is how long anything is waited for that should come soon: a busy machine is no fault.
const Patience = 20 * time.Second

// Await waits until something shows, and fails the test when it doesn't within Patience. ok is asked again and again: it is
// the one place where the tests wait for time to pass.
func Await(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", Patience, what)
		}
	}
}

// places of the ports, on every machine, behind the first of the range.
const (
	outbound = iota
	inbound
	readiness
	control
	app
	free     // the first of the ports that are the mesh's own
	portsAll = free + 16
)

// Mesh is one mesh: the machines and what runs there.
type Mesh struct {
	t     testing.TB
	bin   string
	dir   string
	ports int // the first of the range
	spare []string
	bears int // losses at once, as settings files say; 0: they don't
	Cores []*Machine
	Sides []*Machine

	others []*Machine
}

// Machine is one address with its programs.
type Machine struct {
	m        *Mesh
	Name     string
	IP       string
	Zone     string
	Service  string // of its backend; empty on a core machine
	Backend  *Backend
	Tug      *Process // on a sidecar machine
	Harbour  *Process // on a core machine
	Purser   *Process
	programs []*Process
}

// Start starts three core machines and one sidecar machine for each service, with its backend, which beats from now on. bin
// is where the programs were built. All ends with the test.
func Start(t testing.TB, bin string, services ...string) *Mesh {
	return StartFor(t, bin, 0, services...)
}

// StartFor is Start with settings files that say how many losses at once are to be borne.
func StartFor(t testing.TB, bin string, losses int, services ...string) *Mesh {
	t.Helper()
	m := &Mesh{t: t, bin: bin, dir: t.TempDir(), bears: losses}
	ips := m.probe(5 + len(services))
	m.spare = ips[3+len(services):]
	for i, ip := range ips[:3+len(services)] {
		zone := "north"
		if i%2 == 1 {
			zone = "south"
		}
		x := &Machine{m: m, Name: fmt.Sprintf("core-%d", i), IP: ip, Zone: zone}
		if i < 3 {
			x.Harbour, x.Purser = x.process("harbourmaster"), x.process("purser")
			m.Cores = append(m.Cores, x)
			continue
		}
		x.Name, x.Service = fmt.Sprintf("side-%d", i-3), services[i-3]
		x.Tug = x.process("tug")
		m.Sides = append(m.Sides, x)
	}
	t.Cleanup(m.end)
	for _, x := range m.Cores {
		x.Start(true)
	}
	for _, x := range m.Sides {
		x.Start(true)
		b, err := NewBackend(x.Service, x.Addr(app), x.Zone, x.Addr(control))
		if err != nil {
			t.Fatal(err)
		}
		x.Backend = b
	}
	return m
}

// Another starts a further core machine, which is no seed: two at most.
func (m *Mesh) Another() *Machine {
	x := &Machine{m: m, Name: fmt.Sprintf("core-%d", 3+len(m.others)), IP: m.spare[len(m.others)], Zone: "south"}
	x.Harbour, x.Purser = x.process("harbourmaster"), x.process("purser")
	m.others = append(m.others, x)
	x.Start(false)
	return x
}

// probe finds n loopback addresses and a range of ports that is free on all of them.
func (m *Mesh) probe(n int) []string {
	var last error
search:
	for range 200 {
		net3, first := 1+rand.IntN(250), 12000+rand.IntN(18000) // below what systems give to clients
		var ips []string
		var held []net.Listener
		for i := range n {
			ips = append(ips, fmt.Sprintf("127.0.%d.%d", net3, 10+i))
			for p := range portsAll {
				l, err := net.Listen("tcp4", net.JoinHostPort(ips[i], strconv.Itoa(first+p)))
				if err == nil {
					held = append(held, l)
					continue
				}
				last = err
				for _, l := range held {
					l.Close()
				}
				continue search
			}
		}
		for _, l := range held {
			l.Close()
		}
		m.ports = first
		return ips
	}
	m.t.Fatalf("no range of free ports on loopback: %v", last)
	return nil
}

// Addr is the address of a place on the machine.
func (x *Machine) Addr(place int) string {
	return net.JoinHostPort(x.IP, strconv.Itoa(x.m.ports+place))
}

// Outbound is where clients on the machine send their requests.
func (x *Machine) Outbound() string { return x.Addr(outbound) }

// Control is where the machine takes calls: of its backend, or of the operator.
func (x *Machine) Control() string { return x.Addr(control) }

// Readiness is where the platform asks.
func (x *Machine) Readiness() string { return x.Addr(readiness) }

// Start starts all programs of the machine. bootstrap: it is the very first start of the mesh.
func (x *Machine) Start(bootstrap bool) {
	for _, p := range x.programs {
		p.Start(bootstrap, x.m.Seeds())
	}
}

// Kill kills all programs of the machine at once.
func (x *Machine) Kill() {
	for _, p := range x.programs {
		p.cmd.Process.Kill()
	}
	for _, p := range x.programs {
		p.Wait()
	}
}

// LoseDisk empties the disk of a machine whose programs have ended.
func (x *Machine) LoseDisk() {
	if err := os.RemoveAll(x.disk()); err != nil {
		x.m.t.Fatal(err)
	}
}

func (x *Machine) disk() string { return filepath.Join(x.m.dir, x.Name) }

func (x *Machine) process(program string) *Process {
	p := &Process{Program: program, on: x, settings: filepath.Join(x.m.dir, x.Name+"-"+program+".yaml")}
	x.programs = append(x.programs, p)
	return p
}

// Seeds are the addresses that programs are told.
func (m *Mesh) Seeds() (out []string) {
	for _, x := range m.Cores {
		out = append(out, x.Control())
	}
	return out
}

// NoSeeds are addresses where nothing is.
func (m *Mesh) NoSeeds() []string {
	return []string{net.JoinHostPort("127.255.255.254", strconv.Itoa(m.ports+control))}
}

// end ends everything, and tells what the programs said where the test has failed.
func (m *Mesh) end() {
	for _, x := range slices.Concat(m.Sides, m.Cores, m.others) {
		if x.Backend != nil {
			x.Backend.Close()
		}
		for _, p := range x.programs {
			if p.cmd != nil && p.cmd.Process != nil {
				p.cmd.Process.Kill()
				p.Wait()
			}
			for _, l := range p.lines {
				if strings.Contains(l.Text, "DATA RACE") || strings.HasPrefix(l.Text, "panic:") || strings.HasPrefix(l.Text, "fatal error:") {
					m.t.Errorf("%s on %s: %s", p.Program, x.Name, l.Text)
				}
			}
		}
	}
	if !m.t.Failed() {
		return
	}
	for _, x := range slices.Concat(m.Sides, m.Cores, m.others) {
		for _, p := range x.programs {
			for _, l := range p.lines[max(0, len(p.lines)-80):] {
				m.t.Logf("%s %s: %s %s", x.Name, p.Program, l.Event, l.Text)
			}
		}
	}
}

// Line is one line of what a program said. Event is empty where it is no line of the log.
type Line struct{ Event, Text string }

// Process is one program of a machine, over all its starts.
type Process struct {
	Program  string
	on       *Machine
	settings string

	cmd   *exec.Cmd
	ended chan struct{} // of the present start
	state *os.ProcessState

	mu    sync.Mutex
	lines []Line
}

// Start starts it.
func (p *Process) Start(bootstrap bool, seeds []string) {
	t := p.on.m.t
	t.Helper()
	p.Settings(bootstrap, seeds)
	p.cmd = exec.Command(filepath.Join(p.on.m.bin, p.Program), "--counters", "0")
	p.cmd.Env = append(os.Environ(), "VIOLETLATCH_SETTINGS="+p.settings, "GORACE=atexit_sleep_ms=0")
	p.cmd.SysProcAttr = procAttr()
	out, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	p.ended = ended
	cmd := p.cmd
	go func() {
		defer close(ended)
		p.hear(out)
		cmd.Wait()
		p.state = cmd.ProcessState
	}()
}

// hear takes down what a start says, to its end.
func (p *Process) hear(out io.Reader) {
	var rest []byte
	b := make([]byte, 4096)
	for {
		n, err := out.Read(b)
		rest = append(rest, b[:n]...)
		for {
			line, after, found := strings.Cut(string(rest), "\n")
			if !found {
				break
			}
			rest = []byte(after)
			var l struct{ Event, Message string }
			if json.Unmarshal([]byte(line), &l) != nil {
				l.Event, l.Message = "", line
			}
			p.mu.Lock()
			p.lines = append(p.lines, Line{l.Event, l.Message})
			p.mu.Unlock()
		}
		if err != nil {
			return
		}
	}
}

// Mark is a point in what the program has said; see Said.
func (p *Process) Mark() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lines)
}

// Said reports whether the program has said something since a mark: an event with a text in it.
func (p *Process) Said(since int, event, text string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.lines[since:], func(l Line) bool { return l.Event == event && strings.Contains(l.Text, text) })
}

// AwaitSaid waits until it has.
func (p *Process) AwaitSaid(t testing.TB, since int, event, text string) {
	t.Helper()
	Await(t, fmt.Sprintf("%s on %s says %s: %q", p.Program, p.on.Name, event, text), func() bool { return p.Said(since, event, text) })
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.on.m.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.on.m.t.Fatal(err)
	}
}

// Wait waits for the end of a start.
func (p *Process) Wait() *os.ProcessState {
	<-p.ended
	return p.state
}

// Peak is the most memory that the process ever had, in bytes.
func (p *Process) Peak() int64 {
	p.on.m.t.Helper()
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.on.m.t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(raw), "VmHWM:")
	var kb int64
	if _, err := fmt.Sscan(after, &kb); err != nil {
		p.on.m.t.Fatal(err)
	}
	return kb << 10
}

// Settings writes the settings file anew, in one go.
func (p *Process) Settings(bootstrap bool, seeds []string) {
	x := p.on
	var b strings.Builder
	say := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	say("node-name: %q\nrole: %q\nip: %q\nzone: %q\nregion: \"here\"", x.Name, p.Program, x.IP, x.Zone)
	say("zones: {north: here, south: here}")
	say("ephemeral-ports: [%d, %d]", x.m.ports+free, x.m.ports+portsAll-1)
	say("seed-nodes: [%s]", quoted(seeds))
	say("bootstrap: %t\nheartbeat-s: 1\ncontracts: [\"base\"]", bootstrap)
	say("bounds: [\"grace-s=6\", \"dedup-window-s=600\", \"retry-allowance=1000\", \"retry-window-s=10\"]")
	if x.m.bears > 0 {
		say("fault-tolerance: {machine-losses: %d, zones: 0, region-losses: 0}", x.m.bears)
	}
	if x.Service != "" {
		say("machine-class: sidecar\nserves: [sidecar]\ndata-directory: null\nquorum-member: false")
		say("limits: {cpu-fraction: 0.5, cpu-cores: 1, memory-mb: 284, file-descriptors: 4100, disk-mb: 0}")
		say("listen-addrs: {outbound: %q, inbound: %q, readiness: %q, control-plane: %q}",
			x.Addr(outbound), x.Addr(inbound), x.Addr(readiness), x.Addr(control))
		say("app-addr: %q\nservice: %q", x.Addr(app), x.Service)
	} else {
		if err := os.MkdirAll(x.disk(), 0o700); err != nil {
			x.m.t.Fatal(err)
		}
		say("machine-class: core\nserves: [controller]\ndata-directory: %q\nquorum-member: true", x.disk())
		say("limits: {cpu-fraction: 0.5, cpu-cores: 1, memory-mb: 256, file-descriptors: 4100, disk-mb: 512}")
		say("listen-addrs: {control-plane: %q}", x.Addr(control))
	}
	if err := os.WriteFile(p.settings+".new", []byte(b.String()), 0o600); err != nil {
		x.m.t.Fatal(err)
	}
	if err := os.Rename(p.settings+".new", p.settings); err != nil {
		x.m.t.Fatal(err)
	}
}

// Spoil puts a text in place of the settings file.
func (p *Process) Spoil(text string) {
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		p.on.m.t.Fatal(err)
	}
}

func quoted(s []string) string {
	q := make([]string, len(s))
	for i, x := range s {
		q[i] = strconv.Quote(x)
	}
	return strings.Join(q, ", ")
}
