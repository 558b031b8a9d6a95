package dataplane

import (
	"math/rand/v2"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/configuration"
	"saltmast/internal/errcode"
	"saltmast/internal/retry"
	"saltmast/internal/retrybudget"
)

// Balancer decides for one proxy, without I/O: which backend gets an attempt, whether there is another one and after what wait.
// It follows the design: one private bucket, first attempts regardless of it, full jitter under a ceiling, idle first. Time
// and randomness are passed in; one goroutine owns it.
type Balancer struct {
	Node, Zone string
	Rand       *rand.Rand
	Ratio      float64
	Allowance  float64
	Window     time.Duration

	bucket  retry.Bucket
	rows    map[string]*row   // by node
	of      map[string][]*row // by service
	rations map[string]*retrybudget.Ration
	nodes   int             // the most that were known
	silent  map[string]bool // addresses of proxies that the roster says don't answer
	scratch []retry.Candidate
	among   []*row
}

const (
	bucketTokens = 500.0
	retryCost    = 5.0
	timeoutCost  = 10.0
	maxRetries   = 5
	idleBelow    = 3.0                    // a backend with fewer attempts of this proxy counts as idle
	backoffUnit  = time.Second            // doubled with each retry ...
	ceilingPart  = 16                     // ... up to this part of the route's target
	ceilingLow   = 5 * time.Millisecond   // but no less
	awayLow      = 100 * time.Millisecond // a proxy that can't be reached is left alone for so long, doubled ...
	awayHigh     = 1600 * time.Millisecond
	crossBias    = 0.35 // what another zone counts among equals, in loads
	coldBias     = 0.5  // and a backend that is still slow
	loadFor      = time.Second
)

// row is what is known of one backend.
type row struct {
	backends.Berth
	inFlight int
	used     bool
	warmAt   time.Duration
	awayTill time.Duration
	away     time.Duration // its last pause
	silent   bool          // by the roster, and nothing came from there since
	load     float64       // requests at it and before it, of its capacity, as its gate told last
	loadAt   time.Duration
}

// NewBalancer returns one that knows of no backends.
func NewBalancer() *Balancer {
	return &Balancer{bucket: retry.NewBucket(bucketTokens), rows: map[string]*row{}, of: map[string][]*row{}, rations: map[string]*retrybudget.Ration{}, nodes: 1}
}

// Learn takes entries of the table of berths.
func (h *Balancer) Learn(now time.Duration, news []backends.Berth) {
	for _, b := range news {
		if b.Addr == "" { // of a node that is gone, the version is all that is left
			delete(h.rows, b.Node)
			continue
		}
		r := h.rows[b.Node]
		if r == nil {
			r = &row{}
			h.rows[b.Node] = r
		}
		if r.Instance != b.Instance {
			*r = row{inFlight: r.inFlight}
		}
		r.Berth = b
		r.warmAt = now + time.Duration(b.WarmMs)*time.Millisecond
		r.awayTill, r.away = 0, 0
		r.silent = h.silent[b.Addr]
	}
	h.nodes = max(h.nodes, len(h.rows))
	h.sort()
	for _, r := range h.rations {
		r.Machines = h.nodes
	}
}

// sort puts the backends that serve under their services.
func (h *Balancer) sort() {
	clear(h.of)
	for _, r := range h.rows {
		if r.State == backends.Serving && r.Instance != "" {
			h.of[r.Service] = append(h.of[r.Service], r)
		}
	}
}

// Silence takes the addresses of the proxies that the roster says don't answer: those are set aside, and tried where all are.
// One that answers again is taken back at once.
func (h *Balancer) Silence(addrs map[string]bool) {
	for _, r := range h.rows {
		switch is, was := addrs[r.Addr], h.silent[r.Addr]; {
		case is && !was:
			r.silent = true
		case was && !is:
			r.silent, r.awayTill, r.away = false, 0, 0
		}
	}
	h.silent = addrs
}

// Drop forgets nodes that are gone for good.
func (h *Balancer) Drop(nodes []string) {
	for _, n := range nodes {
		delete(h.rows, n)
	}
	h.sort()
}

// aside says whether a backend is left alone while there are others.
func (r *row) aside(now time.Duration) bool { return r.silent || now < r.awayTill }

// choice is where an attempt goes.
type choice struct {
	node, addr, instance, service string
	ok                            bool
	cold                          bool // still warming up, by its own word
}

func (h *Balancer) ration(service string) *retrybudget.Ration {
	r := h.rations[service]
	if r == nil {
		r = &retrybudget.Ration{Window: h.Window, Ratio: h.Ratio, Allowance: h.Allowance, Machines: h.nodes}
		h.rations[service] = r
	}
	return r
}

// Service draws the service of a request by the weights of its route, among those that have a backend where some have.
func (h *Balancer) Service(r *configuration.Route) string {
	sum, all := 0, 0
	for _, s := range r.Split {
		all += s.Weight
		if len(h.of[s.Service]) > 0 {
			sum += s.Weight
		}
	}
	known := sum > 0
	if !known {
		sum = all
	}
	at := h.Rand.IntN(max(1, sum))
	for _, s := range r.Split {
		if known && len(h.of[s.Service]) == 0 {
			continue
		}
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Split[0].Service
}

// First counts a request for a service.
func (h *Balancer) First(now time.Duration, service string) { h.ration(service).First(now) }

// Pick chooses a backend: a random one where this proxy has little in flight, of its own zone and the least loaded first,
// else the one with the fewest; not the one that just failed.
func (h *Balancer) Pick(now time.Duration, service, failed string) choice {
	h.scratch, h.among = h.scratch[:0], h.among[:0]
	for pass := 0; pass < 2 && len(h.among) == 0; pass++ {
		for _, r := range h.of[service] {
			if pass == 0 && r.aside(now) { // those that can't be reached come last
				continue
			}
			bias := 0.0
			if r.Zone != h.Zone {
				bias += crossBias
			}
			if now < r.warmAt {
				bias += coldBias
			}
			if now-r.loadAt < loadFor {
				bias += r.load
			}
			h.among = append(h.among, r)
			h.scratch = append(h.scratch, retry.Candidate{InFlight: float64(r.inFlight) / idleBelow, Used: r.used, Skip: r.Node == failed, Bias: bias})
		}
	}
	i := retry.Pick(h.scratch, h.Rand.Float64)
	if i < 0 {
		return choice{}
	}
	r := h.among[i]
	r.inFlight++
	r.used = true
	if now < r.awayTill {
		r.awayTill = now + awayHigh // one looks whether it is back
	}
	return choice{node: r.Node, addr: r.Addr, instance: r.Instance, service: service, ok: true, cold: now < r.warmAt}
}

// Over takes the outcome of an attempt.
func (h *Balancer) Over(now time.Duration, c choice, o *outcome) {
	r := h.rows[c.node]
	if r == nil {
		return
	}
	r.inFlight = max(0, r.inFlight-1)
	if o.canceled {
		return
	}
	if !o.hop {
		r.awayTill, r.away, r.silent = 0, 0, false
		if r.Capacity > 0 && (o.Running > 0 || o.Waiting > 0 || o.Code == errcode.OK) {
			r.load, r.loadAt = float64(o.Running+o.Waiting)/float64(r.Capacity), now
		}
	}
	switch {
	case o.hop: // its proxy can't be reached, or is frozen
		r.away = min(max(awayLow, 2*r.away), awayHigh)
		r.awayTill = now + r.away
	case o.Code == errcode.OK && o.Status/100 == 2:
		h.bucket.Refill(1)
	case o.Code == errcode.Draining, o.Code == errcode.BackendReplaced, o.Code == errcode.Unreachable:
		if r.Instance == c.instance { // its own word comes soon
			r.awayTill = now + awayHigh
		}
	}
}

// denial says why there is no further attempt. Zero is no yes: it is what a balancer that has ended leaves.
type denial uint8

const (
	undecided denial = iota // nobody was there to say
	granted
	enough   // its attempts or its time are used up
	noTokens // the bucket is low
	noRation // the service got as many further arrivals as it may
)

// Again decides whether a request that failed gets another attempt, and after what wait. sent: an attempt may have reached a
// backend; then the next is one more arrival, which the ration must allow.
func (h *Balancer) Again(now time.Duration, r *configuration.Route, service string, retries int, last errcode.Kind, sent bool, left time.Duration) (wait time.Duration, no denial) {
	if retries >= maxRetries {
		return 0, enough
	}
	ceiling := max(ceilingLow, r.Target/ceilingPart)
	wait = retry.Wait(h.Rand.Float64(), retries, backoffUnit, ceiling)
	if wait >= left {
		return 0, enough
	}
	cost := retryCost
	if last == errcode.ResponseTimeout {
		cost = timeoutCost
	}
	if h.bucket.Tokens() < cost {
		return 0, noTokens
	}
	if sent && !h.ration(service).Further(now) {
		return 0, noRation
	}
	h.bucket.Spend(cost)
	return wait, granted
}

// Relays draws up to n other proxies that can be reached, as far as is known.
func (h *Balancer) Relays(now time.Duration, n int) (at []string) {
	seen := 0
	for _, r := range h.rows {
		if r.Node == h.Node || r.aside(now) {
			continue
		}
		seen++
		if len(at) < n {
			at = append(at, r.Addr)
		} else if i := h.Rand.IntN(seen); i < n {
			at[i] = r.Addr
		}
	}
	return at
}
