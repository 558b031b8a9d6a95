package loadline

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"saltmast/internal/configuration"
	"saltmast/internal/messages"
	"saltmast/internal/process"
	"saltmast/internal/proxy"
	"saltmast/internal/rpc"
	"saltmast/internal/settings"
	"saltmast/internal/sock"
)

// plan is what a process of hollow agents is told first.
type plan struct {
	Layout
	Seeds []string
	Thin  bool          // they keep no table and have no part in the roster
	Mute  bool          // thin ones that tell nothing of themselves
	Core  []string      // the harbourmasters that thin ones pull from, each from its own first
	Beat  time.Duration // between two beats of a backend
}

// order is one command to such a process. Each gets one told, in turn.
type order struct {
	Do    string // start, kill, sample, delays
	From  int    // agents, by number
	To    int
	Zone  int     // kill, start: of this zone alone; -1: of all
	Pace  float64 // start: so many a second; 0: all at once
	Marks []mark
}

// mark is a change: from ballot N on an agent has it.
type mark struct {
	N  uint64
	At int64 // monotonic ns, when it was sent
}

type told struct {
	Err        string
	Agents     int // that run
	Ready      int // of them, with a configuration and all that there is to tell
	Traffic    []rpc.Traffic
	Datagrams  [2]int64 // out, in
	DataBytes  [2]int64
	Spread     *hdrhistogram.Snapshot // microseconds, over agents and changes
	Last       []int64                // by change: ns until the last agent here had it; 0: none did
	Missing    int                    // pairs of agent and change that had not come
	Descriptor int
}

// monotonic is the machine's clock that nobody sets, in ns: one for all processes.
func monotonic() int64 {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) != nil {
		return 0
	}
	return t.Nano()
}

// Hollow runs hollow agents as a process of its own: orders come in as lines of JSON, and end with in.
func Hollow(in io.Reader, out io.Writer) error {
	r := bufio.NewReader(in)
	dec, enc := json.NewDecoder(r), json.NewEncoder(out)
	h := &hollows{agents: map[int]*hollow{}}
	if err := dec.Decode(&h.plan); err != nil {
		return err
	}
	go h.beats()
	for {
		var o order
		if err := dec.Decode(&o); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		if err := enc.Encode(h.do(o)); err != nil {
			return err
		}
	}
}

type hollows struct {
	plan   plan
	mu     sync.Mutex
	agents map[int]*hollow
	counts struct{ datagrams, bytes [2]atomic.Int64 }
}

// hollow is one agent.
type hollow struct {
	i     int
	life  int
	born  int64
	stop  func()
	calls map[string]*pipes // by what is served there: in memory
	ready atomic.Bool
	beat  uint64

	mu   sync.Mutex
	have []mark // when it had the configuration of a ballot
}

func (a *hollow) has(n uint64) {
	a.mu.Lock()
	a.have = append(a.have, mark{n, monotonic()})
	a.mu.Unlock()
}

func (h *hollows) of(o order) (out []*hollow) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i, a := range h.agents {
		if i >= o.From && i < o.To && (o.Zone < 0 || i%h.plan.Zones == o.Zone) {
			out = append(out, a)
		}
	}
	return out
}

func (h *hollows) do(o order) (t told) {
	switch o.Do {
	case "start":
		begun := time.Now()
		for i := o.From; i < o.To; i++ {
			if o.Pace > 0 {
				time.Sleep(time.Duration(float64(i-o.From)/o.Pace*float64(time.Second)) - time.Since(begun))
			}
			if o.Zone >= 0 && i%h.plan.Zones != o.Zone {
				continue
			}
			if err := h.start(i); err != nil {
				t.Err = err.Error()
				return t
			}
		}
	case "kill":
		for _, a := range h.of(o) {
			a.stop()
			h.mu.Lock()
			delete(h.agents, a.i)
			h.mu.Unlock()
		}
	case "sample":
		h.sample(&t)
	case "delays":
		h.delays(o, &t)
	}
	return t
}

// start starts one, and has its backend beat once.
func (h *hollows) start(i int) error {
	p := &h.plan
	a := &hollow{i: i, born: monotonic(), life: int(monotonic() & 0xffffff), calls: map[string]*pipes{}}
	if p.Thin {
		end := make(chan struct{})
		a.stop = func() { close(end) }
		go p.puller(a, end)
	} else {
		s := p.settings(i)
		net := &loopback{h: h, calls: map[string]*pipes{}}
		for what, addr := range s.Listen {
			a.calls[what] = newPipes(addr)
			net.calls[addr] = a.calls[what]
		}
		t, err := proxy.Start(s, func(event, text string) {
			var n uint64
			if event == "configuration" {
				if _, err := fmt.Sscanf(text, "ballot %d:", &n); err == nil {
					a.has(n)
				}
			}
		}, net)
		if err != nil {
			return err
		}
		a.stop = t.Kill
		h.tell(a)
	}
	h.mu.Lock()
	h.agents[i] = a
	h.mu.Unlock()
	return nil
}

// settings are those of agent i.
func (p *plan) settings(i int) *settings.Settings {
	at := func(place int) string { return p.Addr(i, place) }
	return &settings.Settings{NodeName: p.Node(i), Role: "tug", MachineClass: "sidecar", IP: p.IP(i), Zone: p.Zone(i), Region: p.Region(i),
		Serves: []string{"sidecar"}, Listen: map[string]string{"outbound": at(outbound), "readiness": at(readiness), "control-plane": at(control)},
		Ports: [2]int{p.First + free, p.First + portsAll - 1}, Seeds: p.Seeds, MemoryMB: 256, Descriptors: 4100, Heartbeat: p.Beat,
		Bounds: settings.DefaultBounds(), AppAddr: at(app), Service: p.Service(i)}
}

// beats has the backends beat in turn.
func (h *hollows) beats() {
	if h.plan.Thin {
		return
	}
	for {
		begun := time.Now()
		all := h.of(order{To: 1 << 30, Zone: -1})
		for n, a := range all {
			h.tell(a)
			if ahead := h.plan.Beat*time.Duration(n)/time.Duration(len(all)) - time.Since(begun); ahead > 0 {
				time.Sleep(ahead)
			}
		}
		time.Sleep(max(10*time.Millisecond, h.plan.Beat-time.Since(begun)))
	}
}

func (h *hollows) tell(a *hollow) {
	p := &h.plan
	a.beat++
	a.calls["control-plane"].call(http.MethodPut, "/v1/instances/"+fmt.Sprintf("i-%d-%06x", a.i, a.life), beatBody(p.Layout, a.i, a.beat))
}

func beatBody(l Layout, i int, count uint64) []byte {
	raw, _ := json.Marshal(map[string]any{"address": l.Addr(i, app),
		"node-info": map[string]any{"service": l.Service(i), "version": "v1", "zone": l.Zone(i), "capacity": 8},
		"status":    map[string]any{"state": "serving", "call-count": count, "warmup-left-s": 0}})
	return raw
}

func (h *hollows) sample(t *told) {
	all := h.of(order{To: 1 << 30, Zone: -1})
	t.Agents = len(all)
	for _, a := range all {
		if !a.ready.Load() && a.calls["readiness"] != nil && a.calls["readiness"].call(http.MethodGet, "/v1/readiness", nil) == 200 {
			a.ready.Store(true)
		}
		if a.ready.Load() {
			t.Ready++
		}
	}
	t.Traffic = rpc.Totals()
	for i := range 2 {
		t.Datagrams[i], t.DataBytes[i] = h.counts.datagrams[i].Load(), h.counts.bytes[i].Load()
	}
}

func (h *hollows) delays(o order, t *told) {
	hist := newTimes()
	t.Last = make([]int64, len(o.Marks))
	for _, a := range h.of(order{To: 1 << 30, Zone: -1}) {
		a.mu.Lock()
		have := a.have
		a.mu.Unlock()
		for k, m := range o.Marks {
			if a.born > m.At {
				continue
			}
			found := false
			for _, x := range have {
				if x.N >= m.N {
					took := max(0, x.At-m.At)
					hist.RecordValue(min(took/1000, mostTime))
					t.Last[k] = max(t.Last[k], took)
					found = true
					break
				}
			}
			if !found {
				t.Missing++
			}
		}
	}
	t.Spread = hist.Export()
}

const mostTime = 120_000_000 // µs

func newTimes() *hdrhistogram.Histogram { return hdrhistogram.New(1, mostTime, 3) }

// puller pulls as a proxy does, and keeps nothing of the table.
func (p *plan) puller(a *hollow, end <-chan struct{}) {
	self := entry(p.Layout, a.i, uint64(a.born), process.RandomLife())
	self.Instance = fmt.Sprintf("i-%d-%06x", a.i, a.life)
	const hold = time.Second
	for n := a.i; ; n++ {
		c := rpc.NewClient(nil, p.Core[n%len(p.Core)])
		call := messages.PullCall{Self: &self, HoldMs: uint32(hold.Milliseconds())}
		if p.Mute {
			call.Self = nil
		}
		for {
			select {
			case <-end:
				c.Close()
				return
			default:
			}
			var news messages.PullReply
			if c.Call(messages.Pull, call, &news, hold+10*time.Second) != nil {
				break
			}
			had := call.Have
			if call = next(call, news); had.Less(call.Have) {
				a.has(call.Have.N)
			}
			a.ready.Store(call.Have != configuration.Ballot{})
		}
		c.Close()
		select {
		case <-time.After(50 * time.Millisecond):
		case <-end:
			return
		}
	}
}

// next is the pull after one that was answered so. Items come in parts, which are whole with the last alone.
func next(call messages.PullCall, news messages.PullReply) messages.PullCall {
	call.Incarnation, call.Revision, call.RegistriesDigest, call.Cursor = news.Incarnation, news.Revision, news.RegistriesDigest, news.Cursor
	if news.VoterSet != nil {
		call.Epoch = news.VoterSet.Epoch
	}
	if call.Have.Less(news.Chosen) {
		call.Have = news.Chosen
	}
	return call
}

// loopback is the network of a hollow agent: what clients, backend and platform call is in memory, all else is the system's.
type loopback struct {
	h     *hollows
	calls map[string]*pipes
}

func (l *loopback) Listen(addr string, quiet time.Duration) (net.Listener, error) {
	if p := l.calls[addr]; p != nil {
		return p, nil
	}
	return sock.System.Listen(addr, quiet)
}

func (l *loopback) Dial(ctx context.Context, addr string, quiet time.Duration) (net.Conn, error) {
	return sock.System.Dial(ctx, addr, quiet)
}

func (l *loopback) ListenPacket(addr string) (net.PacketConn, error) {
	c, err := sock.System.ListenPacket(addr)
	return &packets{c, l.h}, err
}

// packets counts datagrams.
type packets struct {
	net.PacketConn
	h *hollows
}

func (p *packets) count(way, n int) {
	p.h.counts.datagrams[way].Add(1)
	p.h.counts.bytes[way].Add(int64(n))
}

func (p *packets) WriteTo(b []byte, to net.Addr) (int, error) {
	p.count(0, len(b))
	return p.PacketConn.WriteTo(b, to)
}

func (p *packets) ReadFrom(b []byte) (int, net.Addr, error) {
	n, from, err := p.PacketConn.ReadFrom(b)
	if err == nil {
		p.count(1, n)
	}
	return n, from, err
}

// pipes is a listener in memory.
type pipes struct {
	addr string
	ch   chan net.Conn
	end  chan struct{}
	once sync.Once
}

func newPipes(addr string) *pipes {
	return &pipes{addr: addr, ch: make(chan net.Conn), end: make(chan struct{})}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.ch:
		return c, nil
	case <-p.end:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error { p.once.Do(func() { close(p.end) }); return nil }

func (p *pipes) Addr() net.Addr { a, _ := net.ResolveTCPAddr("tcp4", p.addr); return a }

// call makes one HTTP call and returns its status; 0: there was no answer.
func (p *pipes) call(method, path string, body []byte) int {
	here, there := net.Pipe()
	defer here.Close()
	select {
	case p.ch <- there:
	case <-p.end:
		return 0
	case <-time.After(5 * time.Second):
		return 0
	}
	here.SetDeadline(time.Now().Add(5 * time.Second))
	r, err := http.NewRequest(method, "http://"+p.addr+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Close = true
	go r.Write(here)
	a, err := http.ReadResponse(bufio.NewReader(here), r)
	if err != nil {
		return 0
	}
	io.Copy(io.Discard, a.Body)
	return a.StatusCode
}
