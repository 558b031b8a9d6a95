package rehearsal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"saltmast/internal/grade"
	"saltmast/internal/peers"
	"saltmast/internal/scenario"
	"saltmast/internal/standin/between"
)

// Peers say what the agents of a run share.
type Peers = scenario.Peers

// Fleet is the agents of a run while it is played, for what happens between them. Agents count from 0.
type Fleet struct{ r *run }

// connect gives an agent its place in the network between agents.
func (r *run) connect(a *agent) error {
	if r.net == nil {
		r.net = between.New(r.s.Seed)
	}
	listen, err := freeAddr(host(r.number, 130, a.i))
	if err != nil {
		return err
	}
	if a.calls, err = freeAddr(host(r.number, 140, a.i)); err != nil {
		return err
	}
	advertise, err := r.net.Add(host(r.number, 150, a.i), listen)
	if err != nil {
		return err
	}
	o := r.s.Peers
	var b strings.Builder
	text := func(key, v string) {
		if v != "" {
			fmt.Fprintf(&b, "%s = %q\n", key, v)
		}
	}
	number := func(key string, v float64) {
		if v != 0 {
			fmt.Fprintf(&b, "%s = %s\n", key, strconv.FormatFloat(v, 'f', -1, 64)) // the file has no 3.6e+06 for a whole number
		}
	}
	b.WriteString("[peers]\n")
	text("listen", listen)
	text("advertise", advertise)
	text("cluster", o.Cluster)
	text("key_file", o.Key)
	if o.Zones > 0 {
		text("zone", fmt.Sprint("z", a.i%o.Zones))
	}
	// The first two are known to all: one of them may be down.
	var join []string
	for _, other := range r.agents[:min(2, len(r.agents))] {
		join = append(join, fmt.Sprintf("%q", other.advertise))
	}
	fmt.Fprintf(&b, "join = [%s]\n", strings.Join(join, ", "))
	number("members", float64(max(2, 2*r.s.Agents)))
	number("probe_ms", float64(o.ProbeMs))
	number("exchange_ms", float64(o.ExchangeMs))
	number("rejoin_ms", float64(o.RejoinMs))
	number("window_s", float64(o.WindowS))
	number("windows", float64(o.Windows))
	number("bytes_per_second", float64(o.Bytes))
	if o.Retries > 0 {
		b.WriteString("[peers.retries]\n")
		number("per_second", o.Retries)
		number("agents", float64(r.s.Agents))
		number("static", o.Static)
		number("lease_ms", float64(o.LeaseMs))
		number("burst_ms", float64(o.BurstMs))
	}
	if o.Witnesses > 0 {
		b.WriteString("[peers.judge]\n")
		number("witnesses", float64(o.Witnesses))
		number("fade_s", float64(o.FadeS))
	}
	a.peers, a.advertise = b.String(), advertise
	return nil
}

// Agents is how many there are.
func (f *Fleet) Agents() int { return len(f.r.agents) }

// Name is an agent's.
func (f *Fleet) Name(i int) string { return f.r.agents[i].name }

// Net is the network between agents.
func (f *Fleet) Net() *between.Net { return f.r.net }

// Now is the time of the record.
func (f *Fleet) Now() time.Duration { return f.r.record.Now() }

// Note puts a line for the reader into the record.
func (f *Fleet) Note(what string) { f.r.record.Add(grade.Event{Kind: grade.Fault, Note: what}) }

// Running reports whether an agent's process is there.
func (f *Fleet) Running(i int) bool { return f.r.agents[i].running() != nil }

// Kill ends an agent's process at once.
func (f *Fleet) Kill(i int) { f.r.agents[i].kill() }

// Start starts it again, under the old name and the old addresses.
func (f *Fleet) Start(i int) error { return f.r.agents[i].start() }

// Stop tells it to stop, and waits until it has.
func (f *Fleet) Stop(i int) { f.r.agents[i].stop() }

// Halt stops its process where it stands, until Wake.
func (f *Fleet) Halt(i int) error { return f.r.agents[i].signal(grade.AgentHalt, syscall.SIGSTOP) }

// Wake lets a halted process go on.
func (f *Fleet) Wake(i int) error { return f.r.agents[i].signal(grade.AgentWake, syscall.SIGCONT) }

// signal sends a signal to the process, if it is there, and notes it: before a halt, and after a wake.
func (a *agent) signal(kind grade.Kind, s syscall.Signal) error {
	p := a.running()
	if p == nil {
		return nil
	}
	if kind == grade.AgentHalt {
		a.record.Add(grade.Event{Kind: kind, Agent: a.name})
	}
	err := p.cmd.Process.Signal(s)
	if kind == grade.AgentWake {
		a.record.Add(grade.Event{Kind: kind, Agent: a.name})
	}
	return err
}

// Log is the end of what an agent's process has said.
func (f *Fleet) Log(i int) string {
	p := f.r.agents[i].current()
	if p == nil {
		return ""
	}
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	return string(p.log.buf)
}

// callFor bounds one call of an operator's address.
const callFor = 2 * time.Second

// Shared is what an agent says that it holds of what is shared.
func (f *Fleet) Shared(ctx context.Context, i int) (s peers.Shared, err error) {
	return s, f.get(ctx, i, "/-/shared", &s)
}

// View is what an agent says of the others.
func (f *Fleet) View(ctx context.Context, i int) (v peers.View, err error) {
	return v, f.get(ctx, i, "/-/peers", &v)
}

func (f *Fleet) get(ctx context.Context, i int, path string, v any) error {
	ctx, cancel := context.WithTimeout(ctx, callFor)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.r.agents[i].calls+path, nil)
	if err != nil {
		return err
	}
	req.Close = true
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", path, resp.Status)
	}
	return json.NewDecoder(resp.Body).Decode(v)
}

// ErrWaited says that something did not come about in time.
var ErrWaited = errors.New("waited in vain")

// Until looks every few milliseconds whether something has come about. The error names what it was, and holds the agents'
// last lines.
func (f *Fleet) Until(ctx context.Context, what string, within time.Duration, ok func() bool) error {
	end := time.Now().Add(within)
	for !ok() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(end) {
			var logs strings.Builder
			for i := range f.Agents() {
				lines := strings.Split(strings.TrimSpace(f.Log(i)), "\n")
				fmt.Fprintf(&logs, "\n%s: %s", f.Name(i), strings.Join(lines[max(0, len(lines)-3):], "\n    "))
			}
			return fmt.Errorf("%w for %s (seed %d)%s", ErrWaited, what, f.r.s.Seed, logs.String())
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil
}

// Seen is what the servers saw, counted by them.
func (f *Fleet) Seen() Seen { return Count(f.r.record.Events()) }

// Seen is a count of attempts at the servers.
type Seen struct {
	Attempts int
	Retries  []time.Duration // of these: when each came, the earliest first
}

// Count counts what servers saw in a record. A retry is an attempt of a request beyond as many as its client has sent it:
// a client may send one once more when its connection ends with nothing on it, as it does when an agent is killed.
func Count(events []grade.Event) Seen {
	s := Seen{}
	sent := map[string]int{}
	for _, e := range events {
		if e.Kind == grade.Sent {
			sent[e.Request]++
		}
	}
	for _, e := range events {
		if e.Kind != grade.Attempt {
			continue
		}
		s.Attempts++
		if e.N > max(1, sent[e.Request]) {
			s.Retries = append(s.Retries, e.First)
		}
	}
	slices.Sort(s.Retries)
	return s
}

// Over is by how many retries the worst span of the run was above what a rate lets pass in it: the overshoot that was seen.
func (s Seen) Over(rate float64) (over float64, from, to time.Duration) {
	least, at := math.Inf(1), time.Duration(0)
	for i, t := range s.Retries {
		if g := float64(i) - rate*t.Seconds(); g < least {
			least, at = g, t
		}
		if o := float64(i+1) - rate*t.Seconds() - least; o > over {
			over, from, to = o, at, t
		}
	}
	return over, from, to
}

// Answered is what an agent says that backends have answered of all agents' attempts, as far as it has heard.
func Answered(s peers.Shared) (n int) {
	for _, w := range s.Windows {
		for _, c := range w.Counts {
			n += int(c.Answered)
		}
	}
	return n
}

// Memory is the most that an agent's process has had resident since its start, bytes; 0: not known here. What the system
// tells of an ended child counts what its parent held when it was started.
func (f *Fleet) Memory(i int) int64 {
	p := f.r.agents[i].running()
	if p == nil {
		return 0
	}
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, _ := strconv.ParseInt(strings.Fields(kb)[0], 10, 64)
			return n << 10
		}
	}
	return 0
}
