// Package discovery follows the server list: it asks, watches, checks what comes, and keeps the list as last told, for
// attempts to look at right before their first byte. It decides nothing about servers; what it hears reaches the
// module as events. Start reading at Client.
package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"saltmast"
)

// watchSilence ends a watch that brings nothing for so long: an empty line is due every 2 s, and a
// machine that was cut off says nothing at all. It is also the longest that a call may take.
const watchSilence = 5 * time.Second

const maxListing = 8 << 20 // bytes of one list or line

// Server is one entry of discovery's list.
type Server struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs float64 `json:"started_ms"`
}

// Listing is discovery's list, or the entries of it that changed.
type Listing struct {
	Version int64
	Full    bool
	Servers []Server
}

var states = map[string]saltmast.BackendState{
	"SERVING": saltmast.Up, "DRAINING": saltmast.Draining, "DELETED": saltmast.Gone,
}

// ParseListing reads one list and checks it: half a list could silence good backends.
func ParseListing(raw []byte) (Listing, error) {
	var f struct {
		Version *int64
		Full    bool
		Servers *[]Server
	}
	if err := json.Unmarshal(raw, &f); err != nil {
		return Listing{}, err
	}
	if f.Version == nil || f.Servers == nil {
		return Listing{}, errors.New("missing version or servers")
	}
	for _, s := range *f.Servers {
		state, ok := states[s.State]
		switch {
		case s.ID == "":
			return Listing{}, errors.New("server without id")
		case !ok:
			return Listing{}, fmt.Errorf("server %s: unknown state %q", s.ID, s.State)
		case state != saltmast.Gone && CheckAddr(s.Addr) != nil:
			return Listing{}, fmt.Errorf("server %s: %w", s.ID, CheckAddr(s.Addr))
		}
	}
	return Listing{Version: *f.Version, Full: f.Full, Servers: *f.Servers}, nil
}

// Members is the list as last told, shared with the attempts: these look at it right before their
// first byte, so that a change counts from the moment it is read, not from the module's next step.
type Members struct {
	mu   sync.RWMutex
	m    map[string]Server
	news uint64          // listings applied
	out  map[string]bool // taken out of service by operators, listed or not
}

// NewMembers returns an empty list.
func NewMembers() *Members { return &Members{m: map[string]Server{}, out: map[string]bool{}} }

// Apply takes a listing and returns the backends whose idle connections are of no more use: they
// drain, are gone, moved or were started again.
func (t *Members) Apply(l Listing) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.news++
	var stale []string
	listed := map[string]bool{}
	for _, s := range l.Servers {
		listed[s.ID] = true
		old, known := t.m[s.ID]
		if known && (s.State != "SERVING" || s.Addr != old.Addr || s.StartedMs != old.StartedMs) {
			stale = append(stale, s.ID)
		}
		if states[s.State] == saltmast.Gone {
			delete(t.m, s.ID)
		} else {
			t.m[s.ID] = s
		}
	}
	if l.Full {
		for id := range t.m {
			if !listed[id] {
				delete(t.m, id)
				stale = append(stale, id)
			}
		}
	}
	return stale
}

// Serving returns the address of a backend that may get new work.
func (t *Members) Serving(id string) (string, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.m[id]
	return s.Addr, ok && s.State == "SERVING" && !t.out[id]
}

// Withdraw takes a backend out of service, whatever the list says of it until it is put back.
func (t *Members) Withdraw(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.out[id] = true
}

// Restore puts a backend back.
func (t *Members) Restore(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.out, id)
}

// Known reports whether a backend is listed, in whatever state.
func (t *Members) Known(id string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	_, ok := t.m[id]
	return ok
}

// Empty reports whether no backend is listed.
func (t *Members) Empty() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.m) == 0
}

// News is how many listings have been applied.
func (t *Members) News() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.news
}

// All is the list as it stands, in the order of ids.
func (t *Members) All() Listing {
	t.mu.RLock()
	defer t.mu.RUnlock()
	l := Listing{Full: true}
	for _, id := range slices.Sorted(maps.Keys(t.m)) {
		l.Servers = append(l.Servers, t.m[id])
	}
	return l
}

// Started is when a backend's process started, as the list has it, Unix ms; 0 for one that is not listed.
func (t *Members) Started(id string) int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return int64(t.m[id].StartedMs)
}

// Up are the backends that may get new work, with their starts, Unix ms.
func (t *Members) Up() map[string]int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[string]int64{}
	for id, s := range t.m {
		if s.State == "SERVING" && !t.out[id] {
			out[id] = int64(s.StartedMs)
		}
	}
	return out
}

// Any tells whether some backend may get new work.
func (t *Members) Any() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for id, s := range t.m {
		if s.State == "SERVING" && !t.out[id] {
			return true
		}
	}
	return false
}

// Client asks for the list and watches it, when told to or, once told to keep it, always. Its events reach the core by post.
type Client struct {
	client  *http.Client
	table   *Members
	stale   func(backend string) // retires its connections
	post    func(saltmast.Event)
	silence time.Duration // see watchSilence
	event   func(Listing, saltmast.ListKind) saltmast.List
	log     *slog.Logger

	order sync.Mutex // orders listings, from reading to posting; held while posting

	mu      sync.Mutex // guards what follows; held for moments, since the loop waits for it
	addr    string     // host:port
	version int64      // of the list that was last taken from addr; unknown: the whole list is wanted
	current *watch     // the one that lists are taken from
	next    *watch     // the one that is to replace it, until it has begun to bring lists
	kept    bool       // lists are pushed: there is always a watch, or one is soon begun
	fails   int        // of the watches lately begun, in a row
}

// A kept watch that ended is begun again after a wait that doubles from the first to the last of these, with up to half
// of it taken off at random. A pushed list answers at once and at no cost, so the first wait only keeps an address that
// closes each watch from being asked without pause.
const (
	firstWait = 20 * time.Millisecond
	lastWait  = time.Second
)

// Options say what a client follows.
type Options struct {
	Addr  string  // host:port
	Known Listing // the list as last known, already in Table
	Table *Members
	Stale func(backend string) // retires a backend's connections
	Post  func(saltmast.Event) // gets lists and failures, in order; may block
	Event func(Listing, saltmast.ListKind) saltmast.List
	Log   *slog.Logger
}

// New returns a client that asks nothing until it is told to.
func New(o Options) *Client {
	return &Client{addr: o.Addr, version: o.Known.Version, client: newListClient(), table: o.Table, stale: o.Stale,
		post: o.Post, silence: watchSilence, event: o.Event, log: o.Log}
}

// unknown is the version of an address that has told no list yet. Another discovery may number its
// versions otherwise, so none is carried over.
const unknown = -1

// watch is one watch of an address.
type watch struct {
	addr  string
	since int64 // the version that it continues
	stop  context.CancelFunc
}

// newListClient returns a client that uses each connection once, so that it never sends a call twice.
func newListClient() *http.Client {
	dialer := &net.Dialer{Timeout: watchSilence}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true,
		DisableCompression: true, ResponseHeaderTimeout: watchSilence}}
}

// take applies a listing from an address at once and passes it on, unless a later watch or another
// address took over meanwhile. w is nil for a call for the whole list.
func (d *Client) take(w *watch, addr string, l Listing) bool {
	d.order.Lock()
	defer d.order.Unlock()
	if w != nil && !d.establish(w, l.Full) {
		return false
	}
	d.mu.Lock()
	if addr == d.addr {
		d.version = l.Version
	} else if w == nil {
		d.mu.Unlock()
		return false
	}
	d.mu.Unlock()
	for _, id := range d.table.Apply(l) {
		d.stale(id)
	}
	kind := saltmast.ListDelta
	if l.Full {
		kind = saltmast.ListFull
	}
	d.post(d.event(l, kind))
	return true
}

// establish reports whether lists are to be taken from w. Once it has begun it ends the watch before it;
// where it is to bring the whole list, once that has come.
func (d *Client) establish(w *watch, full bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if w == d.next && (full || w.since != unknown) {
		if d.current != nil {
			d.current.stop()
		}
		d.current, d.next, d.fails = w, nil, 0
	}
	return w == d.current
}

// Subscribe starts a watch. The one before it goes on until the new one brings its list: a new address
// may be slow to answer, or never do.
func (d *Client) Subscribe(parent context.Context) {
	ctx, stop := context.WithCancel(parent)
	d.mu.Lock()
	if d.next != nil {
		d.next.stop()
	}
	w := &watch{addr: d.addr, since: d.version, stop: stop}
	d.next = w
	d.mu.Unlock()
	go func() {
		defer stop()
		err := d.follow(ctx, w)
		if ctx.Err() == nil && d.ended(w) {
			d.log.Warn("watch ended", "discovery", w.addr, "err", err)
			d.post(saltmast.List{Kind: saltmast.ListFailed})
		}
		d.again(parent)
	}()
}

// Keep follows the list for as long as ctx lives: whenever no watch of the present address is left, another begins. It
// is for installations where lists are pushed: there the module asks for nothing, and hears of no failure.
func (d *Client) Keep(ctx context.Context) {
	d.mu.Lock()
	d.kept = true
	d.mu.Unlock()
	d.Subscribe(ctx)
}

// again begins the next watch of a kept list, after a wait, if none of the present address is left by then.
func (d *Client) again(ctx context.Context) {
	d.mu.Lock()
	if !d.missing() {
		d.mu.Unlock()
		return
	}
	wait := min(firstWait<<min(d.fails, 10), lastWait)
	d.fails++
	d.mu.Unlock()
	select {
	case <-time.After(wait/2 + rand.N(wait/2)):
	case <-ctx.Done():
		return
	}
	d.mu.Lock()
	missing := d.missing()
	d.mu.Unlock()
	if missing {
		d.Subscribe(ctx)
	}
}

// missing reports whether a kept list has no watch of the present address. The caller holds d.mu.
func (d *Client) missing() bool {
	return d.kept && d.next == nil && (d.current == nil || d.current.addr != d.addr)
}

// distrust has the next watch of an address ask for the whole list.
func (d *Client) distrust(w *watch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.addr == w.addr {
		d.version = unknown
	}
}

// ended forgets a watch that ended by itself and reports whether the module is to hear of it: while
// another one is to replace it, nothing is lost.
func (d *Client) ended(w *watch) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch w {
	case d.next:
		d.next = nil
		return true
	case d.current:
		d.current = nil
		return d.next == nil
	}
	return false
}

func (d *Client) Unsubscribe() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, w := range []*watch{d.current, d.next} {
		if w != nil {
			w.stop()
		}
	}
	d.current, d.next, d.kept = nil, nil, false
}

// Move turns to another address and watches it at once, if the old one was watched or the list is kept.
func (d *Client) Move(ctx context.Context, addr string) {
	d.mu.Lock()
	if addr == d.addr {
		d.mu.Unlock()
		return
	}
	d.addr, d.version = addr, unknown
	watched := d.kept || d.current != nil || d.next != nil
	d.mu.Unlock()
	d.log.Info("discovery moved", "discovery", addr)
	if watched {
		d.Subscribe(ctx)
	}
}

// Fetch asks for the whole list once.
func (d *Client) Fetch(ctx context.Context) {
	go func() {
		if err := d.list(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn("list call failed", "err", err)
			d.post(saltmast.List{Kind: saltmast.ListFailed})
		}
	}()
}

func (d *Client) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.silence)
	defer cancel()
	d.mu.Lock()
	addr := d.addr
	d.mu.Unlock()
	resp, err := d.get(ctx, addr, "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxListing))
	if err != nil {
		return fmt.Errorf("reading the list: %w", err)
	}
	l, err := ParseListing(raw)
	if err != nil {
		return fmt.Errorf("malformed list: %w", err)
	}
	l.Full = true
	d.take(nil, addr, l)
	return nil
}

func (d *Client) get(ctx context.Context, addr, query string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/servers"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		resp.Body.Close()
		return nil, fmt.Errorf("discovery answered %s", resp.Status)
	}
	return resp, nil
}

// follow reads changes until the watch ends, falls silent or brings what can't be read.
func (d *Client) follow(ctx context.Context, w *watch) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(d.silence, cancel)
	defer silence.Stop()
	query := "?follow=1"
	if w.since != unknown {
		query += fmt.Sprintf("&since=%d", w.since)
	}
	resp, err := d.get(ctx, w.addr, query)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	d.establish(w, false)
	d.log.Info("watch begins", "discovery", w.addr, "since", w.since)
	last, first := w.since, true
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 0, 4096), maxListing)
	for lines.Scan() {
		silence.Reset(d.silence)
		line := bytes.TrimSpace(lines.Bytes())
		if len(line) == 0 {
			continue
		}
		l, err := ParseListing(line)
		if err != nil {
			return fmt.Errorf("malformed line: %w", err)
		}
		if ctx.Err() != nil {
			return ctx.Err() // replaced or silent meanwhile: what follows is not ours to tell
		}
		// Guards against changes out of their order, which would bring back what is gone. A watch's first line may begin
		// anew with the whole list: then the list was set up again, and counts otherwise.
		if l.Version < last && !(l.Full && first) {
			d.distrust(w)
			return fmt.Errorf("version steps back from %d to %d", last, l.Version)
		}
		last, first = l.Version, false
		if !d.take(w, w.addr, l) {
			return errors.New("changes came before the whole list")
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}

// Lister returns the conversion of a listing to the module's event. started converts a start time in Unix
// milliseconds.
func Lister(zones, kinds []string, started func(ms float64) time.Duration) func(Listing, saltmast.ListKind) saltmast.List {
	return func(l Listing, kind saltmast.ListKind) saltmast.List {
		e := saltmast.List{Kind: kind, Backends: make([]saltmast.Backend, 0, len(l.Servers))}
		for _, s := range l.Servers {
			e.Backends = append(e.Backends, saltmast.Backend{ID: s.ID, State: states[s.State],
				Zone: slices.Index(zones, s.Zone), Cell: s.Cell, Kind: slices.Index(kinds, s.Kind),
				Weight: s.Weight, Started: started(s.StartedMs)})
		}
		return e
	}
}

// CheckAddr reports what is wrong with host:port.
func CheckAddr(addr string) error {
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not host:port", addr)
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%q has no valid port", addr)
	}
	return nil
}
