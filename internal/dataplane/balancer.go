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

// Balancer picks a backend for each attempt of one proxy, and decides whether to retry and after what backoff. It does
// no I/O. Retries draw on one private token bucket that first attempts ignore; backoff has full jitter under a ceiling;
// idle backends are preferred. Time and randomness are passed in. It is owned by one goroutine.
type Balancer struct {
	Node, Zone     string
	Rand           *rand.Rand
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration

	bucket       retry.Bucket
	byNode       map[string]*backendState
	byService    map[string][]*backendState
	retryBudgets map[string]*retrybudget.Budget
	maxNodes     int             // largest number of nodes ever known
	unresponsive map[string]bool // addresses of proxies that the membership layer reports as unresponsive
	candidates   []retry.Candidate
	eligible     []*backendState
}

const (
	bucketTokens          = 500.0
	retryCost             = 5.0
	timeoutCost           = 10.0
	maxRetries            = 5
	idleThreshold         = 3.0                    // a backend with fewer attempts of this proxy in flight counts as idle
	backoffBase           = time.Second            // doubled with each retry ...
	backoffCeilingDivisor = 16                     // ... up to this fraction of the route's target
	minBackoffCeiling     = 5 * time.Millisecond   // lower bound of the ceiling
	minAvoidPause         = 100 * time.Millisecond // how long an unreachable proxy is avoided, doubled with each failure ...
	maxAvoidPause         = 1600 * time.Millisecond
	otherZoneBias         = 0.35 // penalty of a backend in another zone, in units of load
	warmupBias            = 0.5  // penalty of a backend that is still warming up
	loadLifetime          = time.Second
)

// backendState is what is known of one backend.
type backendState struct {
	backends.Backend
	inFlight     int
	used         bool
	warmUntil    time.Duration
	avoidUntil   time.Duration
	avoidPause   time.Duration // length of the last pause
	unresponsive bool          // reported by the membership layer, with no response since
	load         float64       // requests running and queued relative to capacity, as last reported by its proxy
	loadTime     time.Duration
}

// NewBalancer returns a Balancer that knows no backends.
func NewBalancer() *Balancer {
	return &Balancer{bucket: retry.NewBucket(bucketTokens), byNode: map[string]*backendState{}, byService: map[string][]*backendState{}, retryBudgets: map[string]*retrybudget.Budget{}, maxNodes: 1}
}

// UpdateBackends applies changed entries of the backend table.
func (b *Balancer) UpdateBackends(now time.Duration, changed []backends.Backend) {
	for _, entry := range changed {
		if entry.Addr == "" { // the node is gone; only its version is left
			delete(b.byNode, entry.Node)
			continue
		}
		r := b.byNode[entry.Node]
		if r == nil {
			r = &backendState{}
			b.byNode[entry.Node] = r
		}
		if r.Instance != entry.Instance {
			*r = backendState{inFlight: r.inFlight}
		}
		r.Backend = entry
		r.warmUntil = now + time.Duration(entry.WarmMs)*time.Millisecond
		r.avoidUntil, r.avoidPause = 0, 0
		r.unresponsive = b.unresponsive[entry.Addr]
	}
	b.maxNodes = max(b.maxNodes, len(b.byNode))
	b.indexByService()
	for _, r := range b.retryBudgets {
		r.Machines = b.maxNodes
	}
}

// indexByService rebuilds the index of serving backends by service.
func (b *Balancer) indexByService() {
	clear(b.byService)
	for _, r := range b.byNode {
		if r.State == backends.Serving && r.Instance != "" {
			b.byService[r.Service] = append(b.byService[r.Service], r)
		}
	}
}

// SetUnresponsive replaces the set of proxy addresses that the membership layer reports as unresponsive. Their backends
// are avoided, unless all backends of a service are. A proxy that is no longer reported is used again at once.
func (b *Balancer) SetUnresponsive(addrs map[string]bool) {
	for _, r := range b.byNode {
		switch reported, reportedBefore := addrs[r.Addr], b.unresponsive[r.Addr]; {
		case reported && !reportedBefore:
			r.unresponsive = true
		case reportedBefore && !reported:
			r.unresponsive, r.avoidUntil, r.avoidPause = false, 0, 0
		}
	}
	b.unresponsive = addrs
}

// RemoveNodes forgets nodes that have left for good.
func (b *Balancer) RemoveNodes(nodes []string) {
	for _, n := range nodes {
		delete(b.byNode, n)
	}
	b.indexByService()
}

// avoided reports whether the backend is used only if there is no other.
func (r *backendState) avoided(now time.Duration) bool { return r.unresponsive || now < r.avoidUntil }

// choice is the backend that was picked for an attempt.
type choice struct {
	node, addr, instance, service string
	ok                            bool
	warmingUp                     bool // still warming up, as reported by the backend
}

func (b *Balancer) retryBudget(service string) *retrybudget.Budget {
	r := b.retryBudgets[service]
	if r == nil {
		r = &retrybudget.Budget{Window: b.RetryWindow, Ratio: b.RetryRatio, Allowance: b.RetryAllowance, Machines: b.maxNodes}
		b.retryBudgets[service] = r
	}
	return r
}

// PickService picks the service of a request at random by the weights of its route. Services without a backend are
// skipped if another one has a backend.
func (b *Balancer) PickService(r *configuration.Route) string {
	weight, totalWeight := 0, 0
	for _, s := range r.Split {
		totalWeight += s.Weight
		if len(b.byService[s.Service]) > 0 {
			weight += s.Weight
		}
	}
	anyServing := weight > 0
	if !anyServing {
		weight = totalWeight
	}
	draw := b.Rand.IntN(max(1, weight))
	for _, s := range r.Split {
		if anyServing && len(b.byService[s.Service]) == 0 {
			continue
		}
		if draw -= s.Weight; draw < 0 {
			return s.Service
		}
	}
	return r.Split[0].Service
}

// CountRequest counts a request to a service towards its retry budget.
func (b *Balancer) CountRequest(now time.Duration, service string) {
	b.retryBudget(service).AddRequest(now)
}

// Pick picks a backend at random among those with few attempts of this proxy in flight, preferring the same zone and
// the least load, or else the one with the fewest attempts. The backend that just failed is avoided.
func (b *Balancer) Pick(now time.Duration, service, failed string) choice {
	b.candidates, b.eligible = b.candidates[:0], b.eligible[:0]
	for pass := 0; pass < 2 && len(b.eligible) == 0; pass++ {
		for _, r := range b.byService[service] {
			if pass == 0 && r.avoided(now) { // unreachable backends only in the second pass
				continue
			}
			bias := 0.0
			if r.Zone != b.Zone {
				bias += otherZoneBias
			}
			if now < r.warmUntil {
				bias += warmupBias
			}
			if now-r.loadTime < loadLifetime {
				bias += r.load
			}
			b.eligible = append(b.eligible, r)
			b.candidates = append(b.candidates, retry.Candidate{InFlight: float64(r.inFlight) / idleThreshold, Used: r.used, Skip: r.Node == failed, Bias: bias})
		}
	}
	i := retry.Pick(b.candidates, b.Rand.Float64)
	if i < 0 {
		return choice{}
	}
	r := b.eligible[i]
	r.inFlight++
	r.used = true
	if now < r.avoidUntil {
		r.avoidUntil = now + maxAvoidPause // this attempt probes whether it is back
	}
	return choice{node: r.Node, addr: r.Addr, instance: r.Instance, service: service, ok: true, warmingUp: now < r.warmUntil}
}

// RecordOutcome records the outcome of an attempt.
func (b *Balancer) RecordOutcome(now time.Duration, c choice, o *outcome) {
	r := b.byNode[c.node]
	if r == nil {
		return
	}
	r.inFlight = max(0, r.inFlight-1)
	if o.canceled {
		return
	}
	if !o.transportFailed {
		r.avoidUntil, r.avoidPause, r.unresponsive = 0, 0, false
		if r.Capacity > 0 && (o.Running > 0 || o.Waiting > 0 || o.Code == errcode.OK) {
			r.load, r.loadTime = float64(o.Running+o.Waiting)/float64(r.Capacity), now
		}
	}
	switch {
	case o.transportFailed: // the backend's proxy is unreachable or frozen
		r.avoidPause = min(max(minAvoidPause, 2*r.avoidPause), maxAvoidPause)
		r.avoidUntil = now + r.avoidPause
	case o.Code == errcode.OK && o.Status/100 == 2:
		b.bucket.Refill(1)
	case o.Code == errcode.Draining, o.Code == errcode.BackendReplaced, o.Code == errcode.Unreachable:
		if r.Instance == c.instance { // its own update will follow soon
			r.avoidUntil = now + maxAvoidPause
		}
	}
}

// denial is the reason why there is no further attempt. The zero value is a denial, since it is what a stopped Balancer
// returns.
type denial uint8

const (
	undecided denial = iota // the balancer has stopped
	granted
	retryLimitReached // no attempts or no time left
	noTokens          // the token bucket is low
	noRetryBudget     // the retry budget of the service is used up
)

// AllowRetry decides whether a failed request is retried, and after what backoff. sent: an attempt may have reached a
// backend, so the next one counts against the retry budget.
func (b *Balancer) AllowRetry(now time.Duration, r *configuration.Route, service string, retries int, lastError errcode.Kind, sent bool, remaining time.Duration) (backoff time.Duration, reason denial) {
	if retries >= maxRetries {
		return 0, retryLimitReached
	}
	ceiling := max(minBackoffCeiling, r.Target/backoffCeilingDivisor)
	backoff = retry.Backoff(b.Rand.Float64(), retries, backoffBase, ceiling)
	if backoff >= remaining {
		return 0, retryLimitReached
	}
	cost := retryCost
	if lastError == errcode.ResponseTimeout {
		cost = timeoutCost
	}
	if b.bucket.Tokens() < cost {
		return 0, noTokens
	}
	if sent && !b.retryBudget(service).TryRetry(now) {
		return 0, noRetryBudget
	}
	b.bucket.Spend(cost)
	return backoff, granted
}

// RandomPeers returns up to n random proxies that are reachable, as far as is known.
func (b *Balancer) RandomPeers(now time.Duration, n int) (addrs []string) {
	seen := 0
	for _, r := range b.byNode {
		if r.Node == b.Node || r.avoided(now) {
			continue
		}
		seen++
		if len(addrs) < n {
			addrs = append(addrs, r.Addr)
		} else if i := b.Rand.IntN(seen); i < n {
			addrs[i] = r.Addr
		}
	}
	return addrs
}
