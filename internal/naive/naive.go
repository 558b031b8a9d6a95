// Package naive holds agents that are wrong on purpose, each in one way: they prove that a rehearsal finds what it
// is there to find. A naive agent is a small proxy that takes a platform's configuration, watches the list and sends
// each request to the next server; but for its flaw it keeps the four rules, at the price of serving badly. It is
// no model for a real one and shares no code with it.
package naive

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
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The flaws, and the rule that each breaks.
const (
	RepeatsUnsafe = "repeats-unsafe" // twice: tries again whatever may have run
	IgnoresDrains = "ignores-drains" // drain: never takes a server off
	LosesAnswers  = "loses-answers"  // lost: now and then forgets to answer
	FloodsCold    = "floods-cold"    // cold: sends all it has to the server that started last
	None          = "none"           // no flaw: for comparison
)

// Kinds are all flaws, in the order of the rules that they break.
var Kinds = []string{LosesAnswers, RepeatsUnsafe, IgnoresDrains, FloodsCold, None}

type config struct {
	Listen, Discovery string
	Known             listing
	Settings          struct {
		Profiles []struct {
			Name      string
			Semantics string
		}
		Contract     struct{ RampTimeMs float64 }
		PolicyLimits struct{ ConnectTimeoutMs float64 }
	}
}

type listing struct {
	Version int64
	Full    bool
	Servers []server
}

type server struct {
	ID, Addr, State string
	StartedMs       int64 `json:"started_ms"`
}

// maxBody bounds what it takes from anyone.
const maxBody = 1 << 20

// proxy is one naive agent.
type proxy struct {
	kind   string
	c      config
	client *http.Client
	next   atomic.Int64
	n      atomic.Int64 // requests taken

	mu      sync.Mutex
	servers []server // in the order in which they were told
	version int64
}

// Run serves as the file that GW_CONFIG names says, with a flaw, until SIGTERM.
func Run(kind string) error {
	if !slices.Contains(Kinds, kind) {
		return fmt.Errorf("unknown flaw %q: one of %s", kind, strings.Join(Kinds, ", "))
	}
	raw, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	p := &proxy{kind: kind}
	if err := json.Unmarshal(raw, &p.c); err != nil {
		return err
	}
	dial := &net.Dialer{Timeout: time.Duration(p.c.Settings.PolicyLimits.ConnectTimeoutMs * 1e6)}
	// A connection for each attempt: net/http sends again by itself on kept ones, and no rule allows that.
	p.client = &http.Client{Transport: &http.Transport{DialContext: dial.DialContext, DisableKeepAlives: true, DisableCompression: true}}
	p.take(p.c.Known)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := net.Listen("tcp", p.c.Listen)
	if err != nil {
		return err
	}
	go p.watch(ctx)
	srv := &http.Server{Handler: p}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	bound, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	srv.Shutdown(bound)
	return nil
}

// watch follows the list, and starts over when that ends.
func (p *proxy) watch(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		p.mu.Lock()
		url := fmt.Sprintf("http://%s/v1/servers?follow=1&since=%d", p.c.Discovery, p.version)
		p.mu.Unlock()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return
		}
		if resp, err := client.Do(req); err == nil {
			lines := bufio.NewScanner(resp.Body)
			lines.Buffer(nil, 8<<20)
			for resp.StatusCode == http.StatusOK && lines.Scan() {
				var l listing
				if len(bytes.TrimSpace(lines.Bytes())) > 0 && json.Unmarshal(lines.Bytes(), &l) == nil {
					p.take(l)
				}
			}
			resp.Body.Close()
		}
		t := time.NewTimer(100 * time.Millisecond)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
		}
	}
}

func (p *proxy) take(l listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = l.Version
	if l.Full && p.kind != IgnoresDrains {
		p.servers = nil
	}
	for _, s := range l.Servers {
		if p.kind == IgnoresDrains && s.State != "SERVING" {
			continue // it will be back
		}
		p.servers = slices.DeleteFunc(p.servers, func(o server) bool { return o.ID == s.ID })
		if s.State == "SERVING" {
			p.servers = append(p.servers, s)
		}
	}
}

// pick returns the servers to try, in order.
func (p *proxy) pick() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var warm []string
	var newest *server
	ramp := int64(p.c.Settings.Contract.RampTimeMs)
	for i := range p.servers {
		s := &p.servers[i]
		if s.StartedMs > 0 && time.Now().UnixMilli()-s.StartedMs <= ramp {
			if newest == nil || s.StartedMs > newest.StartedMs {
				newest = s
			}
			continue // the rest of them wait until it is warm
		}
		warm = append(warm, s.Addr)
	}
	if p.kind == FloodsCold && newest != nil {
		return []string{newest.Addr}
	}
	if len(warm) == 0 {
		return nil
	}
	at := int(p.next.Add(1)) % len(warm)
	return append(slices.Clone(warm[at:]), warm[:at]...)
}

func (p *proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	semantics := ""
	for _, c := range p.c.Settings.Profiles {
		if c.Name == name {
			semantics = c.Semantics
		}
	}
	ms, _ := strconv.Atoi(r.Header.Get("X-Budget-Ms"))
	budget := time.Duration(ms)*time.Millisecond - 15*time.Millisecond
	if semantics == "" || budget <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if p.kind == LosesAnswers && p.n.Add(1)%40 == 0 {
		<-r.Context().Done() // until its client has had enough
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), budget)
	defer cancel()
	tries, each := 1, budget
	if p.kind == RepeatsUnsafe {
		tries, each = 3, budget/4
	}
	status, answer := http.StatusServiceUnavailable, []byte(nil) // nothing was sent: a refusal does no harm
	tried := map[string]bool{}
	for range tries {
		to := slices.DeleteFunc(p.pick(), func(a string) bool { return tried[a] }) // the list may have changed since
		if len(to) == 0 || ctx.Err() != nil {
			break
		}
		addr := to[0]
		tried[addr] = true
		status, answer = p.send(ctx, each, addr, r, body)
		if status == http.StatusOK || status == http.StatusServiceUnavailable && p.kind != RepeatsUnsafe {
			break
		}
	}
	if status == http.StatusServiceUnavailable && p.kind == RepeatsUnsafe {
		status = http.StatusBadGateway // it has lost track of what ran, and does not refuse
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	w.Write(answer)
}

// send makes one attempt. 503 means that it has not run.
func (p *proxy) send(ctx context.Context, within time.Duration, addr string, r *http.Request, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return http.StatusBadGateway, nil
	}
	for _, h := range []string{"X-Call-Id", "Idempotency-Key", "X-Budget-Ms", "X-Route-Hash"} {
		if v := r.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	resp, err := p.client.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return http.StatusServiceUnavailable, nil
		}
		return http.StatusBadGateway, nil
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	switch {
	case err != nil:
		return http.StatusBadGateway, nil
	case resp.StatusCode == http.StatusOK:
		return http.StatusOK, answer
	case resp.Header.Get("X-Rejected") == "1":
		return http.StatusServiceUnavailable, nil
	}
	return http.StatusBadGateway, nil
}
