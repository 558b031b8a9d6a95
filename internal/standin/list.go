package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"saltmast/internal/grade"
)

// ListConfig is what the server list is like.
type ListConfig struct {
	Period    time.Duration // it passes changes on so often
	LinesPerS float64       // it can send; 0: no bound
	CallLines int           // what a call costs beyond its lines
	Timeout   time.Duration // a call that would wait longer fails with 503
	Beat      time.Duration // an empty line comes so often while nothing changes; 0 is 2 s
	Pushed    bool          // it stands on the agent's own machine: out of reach, it says nothing and ends nothing
	Record    *Record
}

// Details are what the list says of a server beyond what the rules need.
type Details struct {
	Zone string
	Kind string
	Cell int
}

// List is the stand-in server list: one service for all agents, with an address for each, by which it tells them
// apart. Its methods may be called at any time while it serves.
type List struct {
	c       ListConfig
	server  *http.Server
	running sync.WaitGroup

	mu      sync.Mutex
	details map[string]Details
	log     []change // all that it has learned
	shown   int      // while stale: how much of the log it shows; -1: all
	out     bool
	cut     chan struct{} // closed when watches are to end, or to fall silent
	back    chan struct{} // closed when it is in reach again; nil while it is
	news    chan struct{} // closed with the next change
	busy    time.Time     // until then it is at work on calls
	told    map[string]map[string]grade.Entry
	addrs   map[string]string
	calls   int
	watches int
	lines   int
}

type change struct {
	at    time.Duration
	entry grade.Entry
}

// first is the version of an empty list.
const first = 1

// NewList returns a list that knows no server and serves no agent yet.
func NewList(c ListConfig) *List {
	if c.Beat <= 0 {
		c.Beat = 2 * time.Second
	}
	l := &List{c: c, details: map[string]Details{}, shown: -1, cut: make(chan struct{}), news: make(chan struct{}),
		told: map[string]map[string]grade.Entry{}, addrs: map[string]string{}}
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve), ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(n net.Listener) context.Context {
			return context.WithValue(context.Background(), agentKey{}, n.(namedListener).agent)
		}}
	return l
}

type agentKey struct{}

type namedListener struct {
	net.Listener
	agent string
}

// Listen opens an address for an agent, and returns it. Port 0 picks one.
func (l *List) Listen(agent, addr string) (string, error) {
	n, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("server list: %w", err)
	}
	l.mu.Lock()
	l.addrs[agent] = n.Addr().String()
	if l.told[agent] == nil {
		l.told[agent] = map[string]grade.Entry{}
	}
	l.mu.Unlock()
	l.running.Add(1)
	go func() {
		defer l.running.Done()
		l.server.Serve(namedListener{n, agent})
	}()
	return n.Addr().String(), nil
}

// Set tells the list of a server. d is what it says of it beyond the entry.
func (l *List) Set(e grade.Entry, d Details) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.details[e.Server] = d
	l.log = append(l.log, change{l.c.Record.Now(), e})
	if l.shown < 0 {
		l.c.Record.Add(grade.Event{Kind: grade.Knows, Entries: []grade.Entry{e}})
	}
	l.wake()
}

// wake has watches look again. The caller holds l.mu.
func (l *List) wake() {
	close(l.news)
	l.news = make(chan struct{})
}

// Out takes the list out of reach: watches end, calls fail.
func (l *List) Out() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out {
		return
	}
	l.out = true
	l.c.Record.Add(grade.Event{Kind: grade.ListOut})
	close(l.cut)
	l.cut = make(chan struct{})
	l.back = make(chan struct{})
}

// silent waits until a pushed list is in reach, and returns what is closed when it is no longer; false: the agent left.
func (l *List) silent(ctx context.Context) (chan struct{}, bool) {
	for {
		l.mu.Lock()
		cut, back := l.cut, l.back
		l.mu.Unlock()
		if back == nil {
			return cut, true
		}
		select {
		case <-back:
		case <-ctx.Done():
			return nil, false
		}
	}
}

// In brings it back. With a time of the record above 0 it shows what it knew then, until Catch.
func (l *List) In(asOf time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.out {
		return
	}
	l.out = false
	close(l.back)
	l.back = nil
	if asOf > 0 {
		before := l.state(len(l.log))
		l.shown = 0
		for l.shown < len(l.log) && l.log[l.shown].at <= asOf {
			l.shown++
		}
		l.knows(before, l.state(l.shown))
	}
	l.c.Record.Add(grade.Event{Kind: grade.ListIn})
}

// Catch ends staleness: the list shows all it has learned.
func (l *List) Catch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shown < 0 {
		return
	}
	before := l.state(l.shown)
	l.shown = -1
	l.knows(before, l.state(len(l.log)))
	l.wake()
}

// knows records what is shown otherwise from now on. The caller holds l.mu.
func (l *List) knows(before, after map[string]grade.Entry) {
	var e []grade.Entry
	for id, n := range after {
		if before[id] != n {
			e = append(e, n)
		}
	}
	for id, n := range before {
		if _, ok := after[id]; !ok {
			e = append(e, grade.Entry{Server: id, Addr: n.Addr, State: grade.Deleted})
		}
	}
	slices.SortFunc(e, byServer)
	if len(e) > 0 {
		l.c.Record.Add(grade.Event{Kind: grade.Knows, Entries: e})
	}
}

func byServer(a, b grade.Entry) int {
	if a.Server < b.Server {
		return -1
	}
	if a.Server > b.Server {
		return 1
	}
	return 0
}

// state is the list after the first n changes. The caller holds l.mu.
func (l *List) state(n int) map[string]grade.Entry {
	m := map[string]grade.Entry{}
	for _, c := range l.log[:n] {
		if c.entry.State == grade.Deleted {
			delete(m, c.entry.Server)
		} else {
			m[c.entry.Server] = c.entry
		}
	}
	return m
}

// see returns how much of the log is shown. The caller holds l.mu.
func (l *List) see() int {
	if l.shown >= 0 {
		return l.shown
	}
	return len(l.log)
}

// since returns what changed after a version, or the whole list for an agent that is too far behind or ahead, with
// the version that it leads to. The caller holds l.mu.
func (l *List) since(version int64) (entries []grade.Entry, full bool, now int64) {
	seen := l.see()
	now = first + int64(seen)
	from := int(version - first)
	if version < first || from > seen {
		for _, n := range l.state(seen) {
			entries = append(entries, n)
		}
		slices.SortFunc(entries, byServer)
		return entries, true, now
	}
	last := map[string]int{} // of several changes to one server the last counts
	for i := from; i < seen; i++ {
		last[l.log[i].entry.Server] = i
	}
	for i := from; i < seen; i++ {
		if e := l.log[i].entry; last[e.Server] == i {
			entries = append(entries, e)
		}
	}
	return entries, false, now
}

// turn waits until the list gets to a call or an update of so many lines. It reports false when that would take
// longer than the time-out: then it costs nothing.
func (l *List) turn(ctx context.Context, lines int) bool {
	if l.c.LinesPerS <= 0 {
		return true
	}
	cost := time.Duration(float64(lines) / l.c.LinesPerS * float64(time.Second))
	l.mu.Lock()
	now := time.Now()
	if l.busy.Before(now) {
		l.busy = now
	}
	if l.c.Timeout > 0 && l.busy.Sub(now) > l.c.Timeout {
		l.mu.Unlock()
		return false
	}
	l.busy = l.busy.Add(cost)
	until := l.busy
	l.mu.Unlock()
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// listing is the protocol's form of a list.
type listing struct {
	Version int64        `json:"version"`
	Full    bool         `json:"full"`
	Servers []serverLine `json:"servers"`
}

type serverLine struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// lay writes entries out. The caller holds l.mu.
func (l *List) lay(entries []grade.Entry, full bool, version int64) listing {
	out := listing{Version: version, Full: full, Servers: []serverLine{}}
	for _, e := range entries {
		d := l.details[e.Server]
		out.Servers = append(out.Servers, serverLine{e.Server, e.Addr, d.Zone, d.Kind, d.Cell, e.State, 1, e.Started})
	}
	return out
}

// note keeps what an agent was told, and records it.
func (l *List) note(agent string, entries []grade.Entry, full bool) {
	l.c.Record.Add(grade.Event{Kind: grade.Told, Agent: agent, Entries: entries, Full: full})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines += len(entries)
	m := l.told[agent]
	if full || m == nil {
		m = map[string]grade.Entry{}
		l.told[agent] = m
	}
	for _, e := range entries {
		if e.State == grade.Deleted {
			delete(m, e.Server)
		} else {
			m[e.Server] = e
		}
	}
}

// Known is the list as an agent was last told it, as a configuration holds it, with its entries. An agent that was
// told nothing gets the list as it is now.
func (l *List) Known(agent string) (json.RawMessage, []grade.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.told[agent]
	if len(m) == 0 {
		m = l.state(l.see())
	}
	var entries []grade.Entry
	for _, e := range m {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, byServer)
	raw, err := json.Marshal(l.lay(entries, true, 0)) // version 0: it asks for all that it may have missed
	if err != nil {
		panic(err) // plain values
	}
	return raw, entries
}

// Load is what agents have asked of the list: calls, watches and lines sent.
func (l *List) Load() (calls, watches, lines int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls, l.watches, l.lines
}

func (l *List) serve(w http.ResponseWriter, r *http.Request) {
	l.running.Add(1)
	defer l.running.Done()
	agent := r.Context().Value(agentKey{}).(string)
	if r.URL.Path != "/v1/servers" || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	l.mu.Lock()
	l.calls++
	odd, out, cut, size := l.calls%2 == 1, l.out, l.cut, len(l.state(l.see()))
	l.mu.Unlock()
	call := func(status int) {
		l.c.Record.Add(grade.Event{Kind: grade.Call, Agent: agent, Status: status})
	}
	if out && l.c.Pushed {
		var ok bool
		if cut, ok = l.silent(r.Context()); !ok {
			return
		}
	} else if out {
		call(http.StatusServiceUnavailable)
		if odd {
			panic(http.ErrAbortHandler) // a reset, as good as an answer
		}
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	follow := r.URL.Query().Get("follow") == "1"
	version := int64(0)
	if v := r.URL.Query().Get("since"); v != "" {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			http.Error(w, "since: a whole number wanted", http.StatusBadRequest)
			return
		}
		version = n
	}
	if !l.turn(r.Context(), l.c.CallLines+size) {
		call(http.StatusServiceUnavailable)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if follow {
		l.watch(w, r, agent, version, cut)
		return
	}
	l.mu.Lock()
	entries, _, now := l.since(0)
	text := l.lay(entries, true, now)
	l.mu.Unlock()
	raw, _ := json.Marshal(text)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	if _, err := w.Write(raw); err != nil {
		return
	}
	http.NewResponseController(w).Flush()
	call(http.StatusOK)
	l.note(agent, entries, true)
}

// watch serves one until its connection ends or the list is out of reach.
func (l *List) watch(w http.ResponseWriter, r *http.Request, agent string, version int64, cut chan struct{}) {
	flush := http.NewResponseController(w).Flush
	l.mu.Lock()
	l.watches++
	l.mu.Unlock()
	l.c.Record.Add(grade.Event{Kind: grade.Watching, Agent: agent})
	defer l.c.Record.Add(grade.Event{Kind: grade.Unwatched, Agent: agent})
	w.Header().Set("Content-Type", "application/json")
	beat := time.NewTicker(l.c.Beat)
	defer beat.Stop()
	period := time.NewTimer(0)
	defer period.Stop()
	for begun := false; ; begun = true {
		l.mu.Lock()
		entries, full, now := l.since(version)
		text := l.lay(entries, full, now)
		news := l.news
		l.mu.Unlock()
		if !begun || len(entries) > 0 || full {
			if begun && !l.turn(r.Context(), len(entries)) {
				return
			}
			raw, _ := json.Marshal(text)
			if _, err := w.Write(append(raw, '\n')); err != nil || flush() != nil {
				return
			}
			l.note(agent, entries, full)
			version = now
		}
		period.Reset(l.c.Period)
		for waiting := true; waiting; {
			select {
			case <-period.C:
				select {
				case <-news:
					waiting = false
				case <-r.Context().Done():
					return
				case <-cut:
					if cut = l.ended(r.Context()); cut == nil {
						return
					}
					waiting = false
				case <-beat.C:
					if _, err := w.Write([]byte("\n")); err != nil || flush() != nil {
						return
					}
					period.Reset(0)
				}
			case <-r.Context().Done():
				return
			case <-cut:
				if cut = l.ended(r.Context()); cut == nil {
					return
				}
				waiting = false
			}
		}
	}
}

// ended is the end of a watch whose list is out of reach: a reset. A pushed one falls silent, and goes on when it is back; nil
// says that the agent has left meanwhile.
func (l *List) ended(ctx context.Context) chan struct{} {
	if !l.c.Pushed {
		panic(http.ErrAbortHandler)
	}
	cut, _ := l.silent(ctx)
	return cut
}

// Close ends all watches and calls and waits for them.
func (l *List) Close() {
	l.server.Close()
	l.running.Wait()
}
