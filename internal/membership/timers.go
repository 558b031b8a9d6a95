package membership

import (
	"net/netip"
	"slices"
	"time"
)

// probe is the probe in progress.
type probe struct {
	target     *entry
	seq        uint32
	indirectAt time.Duration // when indirect probes are requested
	deadline   time.Duration
	requests   int
	nacks      int // helpers that got no answer either
}

// relay is an indirect probe on behalf of another member.
type relay struct {
	seq        uint32
	target     string
	requester  netip.AddrPort
	requestSeq uint32
	deadline   time.Duration
}

// maxRelays bounds the number of concurrent relays.
const maxRelays = 64

// syncSession is an anti-entropy session with another member.
type syncSession struct {
	to        netip.AddrPort
	seq       uint32
	afterName string
	tries     int
	retryAt   time.Duration
	sentNewer bool // a received record was older than the one here
}

// gossipPerPeriod and gossipFanout say how updates are sent in addition to probes: every quarter of a period to two members.
const (
	gossipPerPeriod = 4
	gossipFanout    = 2
)

// deadProbePeriods and seedPeriods are the intervals, in periods, at which a dead member and seeds without a live member are
// pinged.
const (
	deadProbePeriods = 5
	seedPeriods      = 10
)

// maxDigestMismatches is the number of consecutive answers with a different digest after which a member starts a sync.
const maxDigestMismatches = 3

// minDigestMatches is the number of consecutive pings and answers with this member's digest that show that its updates have
// spread widely.
const minDigestMatches = 3

// resetPeriods is the length of a pause, in periods, after which all suspicions restart.
const resetPeriods = 3

// advance sets the clock, which never goes back, and returns it.
func (node *Node) advance(now time.Duration) time.Duration {
	node.clock = max(node.clock, now)
	return node.clock
}

// enter advances the clock. If the caller is late, the time in which this node did not run is not counted against other members,
// because their answers may still be unread. After a pause of more than resetPeriods all suspicions restart.
func (node *Node) enter(now time.Duration) {
	late := now - node.NextAt()
	node.advance(now)
	if late <= node.options.Period/4 || node.left {
		return
	}
	node.counts.Late++
	node.increaseSlowness(1)
	node.probe, node.relays, node.sync = nil, nil, nil
	grace := node.options.AckTimeout
	if late <= resetPeriods*node.options.Period {
		for _, e := range node.suspects {
			e.suspicionEnd += late + grace
		}
		return
	}
	node.increaseSlowness(1)
	for _, e := range node.suspects {
		e.suspectedAt, e.reportedDead, e.suspectedBy = node.clock, false, e.suspectedBy[:min(1, len(e.suspectedBy))]
		e.suspicionEnd = node.clock + node.suspicionTime(e)
	}
	node.nextProbe = node.clock + grace
	node.inSync = false
}

func (node *Node) increaseSlowness(by int) {
	node.slowness = min(node.slowness+by, node.options.MaxSlowness)
}

// scaled returns a duration extended by the slowness of this node.
func (node *Node) scaled(d time.Duration) time.Duration { return d * time.Duration(1+node.slowness) }

// NextAt returns the time at which Step must be called next. Calls of other methods may change it.
func (node *Node) NextAt() time.Duration {
	at := beforeAllTime
	soonest := func(t time.Duration) {
		if at == beforeAllTime || t < at {
			at = t
		}
	}
	if len(node.broadcasts) > 0 && node.live > 1 || node.left {
		soonest(node.nextGossip)
	}
	if node.left {
		if len(node.broadcasts) == 0 {
			return 1<<63 - 1
		}
		return at
	}
	soonest(node.nextProbe)
	if p := node.probe; p != nil {
		soonest(p.deadline)
		if p.requests == 0 {
			soonest(p.indirectAt)
		}
	}
	if len(node.seeds) > 0 {
		soonest(node.nextSeed)
	}
	for i := range node.relays {
		soonest(node.relays[i].deadline)
	}
	for _, e := range node.suspects {
		soonest(e.suspicionEnd)
	}
	if node.sync != nil {
		soonest(node.sync.retryAt)
	}
	if node.wantedGeneration != 0 {
		soonest(node.nextGeneration)
	}
	return at
}

// Step runs the timers that are due at now, a monotonic time, and returns the datagrams to send.
func (node *Node) Step(now time.Duration) []Send {
	node.enter(now)
	now = node.clock
	if !node.left {
		if node.wantedGeneration != 0 && now >= node.nextGeneration {
			node.takeGeneration()
		}
		node.expireRelays()
		node.stepProbe()
		node.expireSuspects()
		if len(node.seeds) > 0 && now >= node.nextSeed {
			node.pingSeeds()
		}
		if p := node.sync; p != nil && now >= p.retryAt {
			if p.tries++; p.tries > 5 {
				node.sync = nil
			} else {
				node.requestPage()
			}
		}
	}
	if len(node.broadcasts) > 0 && now >= node.nextGossip {
		node.nextGossip = now + node.options.Period/gossipPerPeriod
		to := node.randomMembers(gossipFanout, nil)
		if len(to) == 0 && node.left {
			node.broadcasts = nil
		}
		for _, e := range to {
			node.enqueue(e.member.Addr, header{Kind: gossip}, e)
		}
	}
	return node.drain()
}

func (node *Node) expireRelays() {
	node.relays = slices.DeleteFunc(node.relays, func(l relay) bool {
		if node.clock < l.deadline {
			return false
		}
		node.enqueue(l.requester, header{Kind: nack, Seq: l.requestSeq, Target: l.target}, nil)
		return true
	})
}

func (node *Node) stepProbe() {
	if p := node.probe; p != nil {
		if p.requests == 0 && node.clock >= p.indirectAt && node.clock < p.deadline {
			p.requests = 1 // the target is also pinged directly once more
			node.enqueue(p.target.member.Addr, header{Kind: ping, Seq: p.seq}, p.target)
			for _, h := range node.randomMembers(node.options.IndirectProbes, p.target) {
				p.requests++
				node.enqueue(h.member.Addr, header{Kind: pingRequest, Seq: p.seq, Target: p.target.member.Name, TargetAddr: encodeAddr(p.target.member.Addr)}, h)
			}
		}
		if node.clock >= p.deadline {
			node.probe = nil
			node.probeFailed(p)
		}
	}
	if node.clock < node.nextProbe || node.probe != nil {
		return
	}
	node.rounds++
	node.nextProbe = node.clock + node.scaled(node.options.Period)
	for i := 0; i < len(node.ended); i++ {
		if e := node.ended[i]; node.clock-e.since >= node.options.RetainDead {
			node.forget(e, node.clock)
			i--
		}
	}
	if node.rounds%deadProbePeriods == 0 {
		var dead []*entry
		for _, e := range node.ended {
			if e.state == Dead {
				dead = append(dead, e)
			}
		}
		if len(dead) > 0 {
			e := dead[node.rand.Intn(len(dead))]
			node.enqueue(e.member.Addr, header{Kind: ping, Seq: node.nextSeq()}, e)
		}
	}
	e := node.nextProbeTarget()
	if e == nil {
		return
	}
	node.counts.Probes++
	node.probe = &probe{target: e, seq: node.nextSeq(), indirectAt: node.clock + node.scaled(node.options.AckTimeout), deadline: node.nextProbe}
	node.enqueue(e.member.Addr, header{Kind: ping, Seq: node.probe.seq}, e)
}

func (node *Node) nextSeq() uint32 {
	if node.seq++; node.seq == 0 {
		node.seq++
	}
	return node.seq
}

// probeFailed suspects the target of a probe that was not answered, directly or indirectly.
func (node *Node) probeFailed(p *probe) {
	if p.requests > 1 && p.nacks == 0 {
		node.increaseSlowness(1) // no helper answered either: the fault may be on this side
	}
	if !p.target.state.Live() || node.entries[p.target.member.Name] != p.target {
		return
	}
	node.counts.Unanswered++
	if node.suspect(p.target, node.clock, &record{State: Suspect}, node.self.member.Name) {
		node.broadcast(p.target, node.self.member.Name)
	}
}

// addToProbeOrder inserts a member at a random position in the rest of the current probe order.
func (node *Node) addToProbeOrder(e *entry) {
	if node.self == nil || e == node.self {
		return
	}
	node.probeOrder = append(node.probeOrder, e)
	i := node.probeIndex + node.rand.Intn(len(node.probeOrder)-node.probeIndex)
	node.probeOrder[i], node.probeOrder[len(node.probeOrder)-1] = node.probeOrder[len(node.probeOrder)-1], node.probeOrder[i]
}

// nextProbeTarget returns the next member to probe, or nil if other traffic has shown all members to be alive within a period.
// Every fifth period a member is probed even then, because probes carry updates and digests.
func (node *Node) nextProbeTarget() *entry {
	for range 2 {
		for node.probeIndex < len(node.probeOrder) {
			e := node.probeOrder[node.probeIndex]
			node.probeIndex++
			if e.state.Live() && node.entries[e.member.Name] == e && (node.clock-e.lastHeard >= node.options.Period || node.idlePeriods >= deadProbePeriods) {
				node.idlePeriods = 0
				return e
			}
		}
		node.probeIndex, node.probeOrder = 0, node.probeOrder[:0]
		for _, e := range node.sorted {
			if e != node.self && e.state.Live() {
				node.probeOrder = append(node.probeOrder, e)
			}
		}
		node.rand.Shuffle(len(node.probeOrder), func(i, j int) { node.probeOrder[i], node.probeOrder[j] = node.probeOrder[j], node.probeOrder[i] })
	}
	node.idlePeriods++
	return nil
}

// randomMembers returns up to n random alive members other than this one and except; if there are too few, also suspects.
func (node *Node) randomMembers(n int, except *entry) []*entry {
	all := node.sorted
	var chosen []*entry
	add := func(e *entry, s State) {
		if e != node.self && e != except && e.state == s && !contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	for try := 0; try < 4*n && len(chosen) < n; try++ {
		add(all[node.rand.Intn(len(all))], Alive)
	}
	for _, s := range []State{Alive, Suspect} {
		if len(chosen) >= n {
			break
		}
		from := node.rand.Intn(len(all))
		for i := 0; i < len(all) && len(chosen) < n; i++ {
			add(all[(from+i)%len(all)], s)
		}
	}
	return chosen
}

// expireSuspects declares suspects dead whose suspicion time is over, except those heard from within the last period.
func (node *Node) expireSuspects() {
	for _, e := range slices.Clone(node.suspects) {
		if node.clock < e.suspicionEnd {
			continue
		}
		if node.clock-e.lastHeard < node.options.Period {
			e.suspicionEnd = node.clock + node.options.Period
			node.enqueue(e.member.Addr, header{Kind: ping, Seq: node.nextSeq()}, e)
			continue
		}
		node.update(e, node.clock, e.member, Dead, node.clock)
		node.broadcast(e, "")
	}
}

// pingSeeds pings the seeds at whose address no live member is known.
func (node *Node) pingSeeds() {
	every := node.options.Period
	switch {
	case node.live > 1:
		every *= seedPeriods
	case node.seedTries < 8:
		every /= 4
		node.seedTries++
	}
	node.nextSeed = node.clock + every
	for _, s := range node.seeds {
		if !node.hasLiveMemberAt(s) {
			node.enqueue(s, header{Kind: ping, Seq: node.nextSeq()}, nil, node.self)
		}
	}
}

func (node *Node) hasLiveMemberAt(a netip.AddrPort) bool {
	for _, e := range node.entries {
		if e.member.Addr == a && e.state.Live() {
			return true
		}
	}
	return false
}
