package agent

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
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
		case state != saltmast.Gone && checkAddr(s.Addr) != nil:
			return Listing{}, fmt.Errorf("server %s: %w", s.ID, checkAddr(s.Addr))
		}
	}
	return Listing{Version: *f.Version, Full: f.Full, Servers: *f.Servers}, nil
}

// members is the list as last told, shared with the attempts: these look at it right before their
// first byte, so that a change counts from the moment it is read, not from the module's next step.
type members struct {
	mu sync.RWMutex
	m  map[string]Server
}

// apply takes a listing and returns the backends whose idle connections are of no more use: they
// drain, are gone, moved or were started again.
func (t *members) apply(l Listing) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
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

// serving returns the address of a backend that may get new work.
func (t *members) serving(id string) (string, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.m[id]
	return s.Addr, ok && s.State == "SERVING"
}

// any tells whether some backend may get new work.
func (t *members) any() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, s := range t.m {
		if s.State == "SERVING" {
			return true
		}
	}
	return false
}

// discovery asks for the list and watches it, when told to. Its events reach the loop by post.
type discovery struct {
	base    string // URL of the list
	client  *http.Client
	table   *members
	stale   func(backend string) // retires its connections
	post    func(any)
	silence time.Duration // see watchSilence
	event   func(Listing, saltmast.ListKind) saltmast.List
	log     *slog.Logger

	mu      sync.Mutex // orders listings, from reading to posting
	version int64
	stop    context.CancelFunc // ends the watch; used by the loop alone
}

// newListClient returns a client that uses each connection once, so that it never sends a call twice.
func newListClient() *http.Client {
	dialer := &net.Dialer{Timeout: watchSilence}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true,
		DisableCompression: true, ResponseHeaderTimeout: watchSilence}}
}

// take applies a listing at once and passes it on.
func (d *discovery) take(l Listing, kind saltmast.ListKind) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version = l.Version
	for _, id := range d.table.apply(l) {
		d.stale(id)
	}
	d.post(d.event(l, kind))
}

func (d *discovery) known() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// subscribe starts a watch, in place of one that is on.
func (d *discovery) subscribe(ctx context.Context) {
	d.unsubscribe()
	ctx, d.stop = context.WithCancel(ctx)
	go func() {
		err := d.watch(ctx)
		if ctx.Err() != nil {
			return // ended by us: nobody waits for word of it
		}
		d.log.Warn("watch ended", "err", err)
		d.post(saltmast.List{Kind: saltmast.ListFailed})
	}()
}

func (d *discovery) unsubscribe() {
	if d.stop != nil {
		d.stop()
		d.stop = nil
	}
}

// fetch asks for the whole list once.
func (d *discovery) fetch(ctx context.Context) {
	go func() {
		if err := d.list(ctx); err != nil && ctx.Err() == nil {
			d.log.Warn("list call failed", "err", err)
			d.post(saltmast.List{Kind: saltmast.ListFailed})
		}
	}()
}

func (d *discovery) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.silence)
	defer cancel()
	resp, err := d.get(ctx, d.base)
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
	d.take(l, saltmast.ListFull)
	return nil
}

func (d *discovery) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
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

// watch reads changes until the watch ends, falls silent or brings what can't be read.
func (d *discovery) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(d.silence, cancel)
	defer silence.Stop()
	since := d.known()
	resp, err := d.get(ctx, fmt.Sprintf("%s?follow=1&since=%d", d.base, since))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	d.log.Info("watch begins", "since", since)
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
		kind := saltmast.ListDelta
		if l.Full {
			kind = saltmast.ListFull
		}
		d.take(l, kind)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.EOF
}

// lister returns the conversion of a listing to the module's event.
func lister(c *Config, clock Clock) func(Listing, saltmast.ListKind) saltmast.List {
	return func(l Listing, kind saltmast.ListKind) saltmast.List {
		e := saltmast.List{Kind: kind, Backends: make([]saltmast.Backend, 0, len(l.Servers))}
		for _, s := range l.Servers {
			e.Backends = append(e.Backends, saltmast.Backend{ID: s.ID, State: states[s.State],
				Zone: slices.Index(c.Names.Zones, s.Zone), Cell: s.Cell, Kind: slices.Index(c.Names.Kinds, s.Kind),
				Weight: s.Weight, Started: clock.FromUnixMs(s.StartedMs)})
		}
		return e
	}
}
