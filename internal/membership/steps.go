package membership

import (
	"net/netip"
	"slices"
	"time"
)

// probe is the one on its way.
type probe struct {
	e       *entry
	seq     uint32
	askAt   time.Duration // when others are asked
	end     time.Duration
	asked   int
	replies int // of those asked, that it did not answer them either
}

// relay is a probe for somebody else.
type relay struct {
	seq   uint32
	about string
	to    netip.AddrPort
	their uint32
	end   time.Duration
}

// mostRelays bounds what others may have asked for at one time.
const mostRelays = 64

// pulling is a view being compared.
type pulling struct {
	to    netip.AddrPort
	seq   uint32
	after string
	tries int
	again time.Duration
	newer bool // something of what came was known here better
}

// tidingsPart and tidingsTo say how news goes out beside the probes: each quarter of a period to two others.
const (
	tidingsPart = 4
	tidingsTo   = 2
)

// deadEvery and seedEvery are how often one of the dead and the seeds where nobody lives are tried, in periods.
const (
	deadEvery = 5
	seedEvery = 10
)

// apartMost is how many answers in a row with another digest make a member compare views.
const apartMost = 3

// alikeMost is how many pings and answers in a row with this member's own digest say that its news has gone far.
const alikeMost = 3

// gapPeriods is how many periods without a step make a new start.
const gapPeriods = 3

// later keeps time from going back.
func (r *Roster) later(now time.Duration) time.Duration {
	r.now = max(r.now, now)
	return r.now
}

// enter notes the time. Where the caller comes late, the time in which nothing ran here counts against nobody: answers may lie
// unread. After a gap of some periods everybody has a fresh start.
func (r *Roster) enter(now time.Duration) {
	late := now - r.NextAt()
	r.later(now)
	if late <= r.o.Period/4 || r.left {
		return
	}
	r.counts.Late++
	r.slower(1)
	r.probe, r.relays, r.pulling = nil, nil, nil
	grace := r.o.AckTimeout
	if late <= gapPeriods*r.o.Period {
		for _, e := range r.suspects {
			e.end += late + grace
		}
		return
	}
	r.slower(1)
	for _, e := range r.suspects {
		e.start, e.sealed, e.by = r.now, false, e.by[:min(1, len(e.by))]
		e.end = r.now + r.suspicion(e)
	}
	r.nextProbe = r.now + grace
	r.settled = false
}

func (r *Roster) slower(by int) { r.slowness = min(r.slowness+by, r.o.MaxSlowness) }

// stretched is a time of one's own, by one's own slowness.
func (r *Roster) stretched(d time.Duration) time.Duration { return d * time.Duration(1+r.slowness) }

// NextAt is when Step is to be called next, unless a call of another method changes it.
func (r *Roster) NextAt() time.Duration {
	at := never
	soonest := func(t time.Duration) {
		if at == never || t < at {
			at = t
		}
	}
	if len(r.news) > 0 && r.live > 1 || r.left {
		soonest(r.nextTidings)
	}
	if r.left {
		if len(r.news) == 0 {
			return 1<<63 - 1
		}
		return at
	}
	soonest(r.nextProbe)
	if p := r.probe; p != nil {
		soonest(p.end)
		if p.asked == 0 {
			soonest(p.askAt)
		}
	}
	if len(r.seeds) > 0 {
		soonest(r.nextSeed)
	}
	for i := range r.relays {
		soonest(r.relays[i].end)
	}
	for _, e := range r.suspects {
		soonest(e.end)
	}
	if r.pulling != nil {
		soonest(r.pulling.again)
	}
	if r.claim != 0 {
		soonest(r.nextClaim)
	}
	return at
}

// Step does what is due at now, a steady clock that never goes back, and returns what is to be sent.
func (r *Roster) Step(now time.Duration) []Send {
	r.enter(now)
	now = r.now
	if !r.left {
		if r.claim != 0 && now >= r.nextClaim {
			r.takeClaim()
		}
		r.stepRelays()
		r.stepProbe()
		r.stepSuspects()
		if len(r.seeds) > 0 && now >= r.nextSeed {
			r.stepSeeds()
		}
		if p := r.pulling; p != nil && now >= p.again {
			if p.tries++; p.tries > 5 {
				r.pulling = nil
			} else {
				r.pullOn()
			}
		}
	}
	if len(r.news) > 0 && now >= r.nextTidings {
		r.nextTidings = now + r.o.Period/tidingsPart
		to := r.some(tidingsTo, nil)
		if len(to) == 0 && r.left {
			r.news = nil
		}
		for _, e := range to {
			r.write(e.m.Addr, head{Kind: tidings}, e)
		}
	}
	return r.take()
}

func (r *Roster) stepRelays() {
	r.relays = slices.DeleteFunc(r.relays, func(l relay) bool {
		if r.now < l.end {
			return false
		}
		r.write(l.to, head{Kind: nack, Seq: l.their, About: l.about}, nil)
		return true
	})
}

func (r *Roster) stepProbe() {
	if p := r.probe; p != nil {
		if p.asked == 0 && r.now >= p.askAt && r.now < p.end {
			p.asked = 1 // the one that is probed is pinged once more itself
			r.write(p.e.m.Addr, head{Kind: ping, Seq: p.seq}, p.e)
			for _, h := range r.some(r.o.Helpers, p.e) {
				p.asked++
				r.write(h.m.Addr, head{Kind: ask, Seq: p.seq, About: p.e.m.Name, AboutAddr: writeAddr(p.e.m.Addr)}, h)
			}
		}
		if r.now >= p.end {
			r.probe = nil
			r.failed(p)
		}
	}
	if r.now < r.nextProbe || r.probe != nil {
		return
	}
	r.rounds++
	r.nextProbe = r.now + r.stretched(r.o.Period)
	for i := 0; i < len(r.gone); i++ {
		if e := r.gone[i]; r.now-e.since >= r.o.DeadFor {
			r.forget(e, r.now)
			i--
		}
	}
	if r.rounds%deadEvery == 0 {
		var dead []*entry
		for _, e := range r.gone {
			if e.state == Dead {
				dead = append(dead, e)
			}
		}
		if len(dead) > 0 {
			e := dead[r.rand.Intn(len(dead))]
			r.write(e.m.Addr, head{Kind: ping, Seq: r.nextSeq()}, e)
		}
	}
	e := r.inTurn()
	if e == nil {
		return
	}
	r.counts.Probes++
	r.probe = &probe{e: e, seq: r.nextSeq(), askAt: r.now + r.stretched(r.o.AckTimeout), end: r.nextProbe}
	r.write(e.m.Addr, head{Kind: ping, Seq: r.probe.seq}, e)
}

func (r *Roster) nextSeq() uint32 {
	if r.seq++; r.seq == 0 {
		r.seq++
	}
	return r.seq
}

// failed is a probe that nobody answered for the one probed.
func (r *Roster) failed(p *probe) {
	if p.asked > 1 && p.replies == 0 {
		r.slower(1) // none of those asked answered: it may be this one
	}
	if !p.e.state.Live() || r.entries[p.e.m.Name] != p.e {
		return
	}
	r.counts.Unanswered++
	if r.accuse(p.e, r.now, &record{State: Suspect}, r.self.m.Name) {
		r.tell(p.e, r.self.m.Name)
	}
}

// joinTurn gives a member a random place in what is left of the turn.
func (r *Roster) joinTurn(e *entry) {
	if r.self == nil || e == r.self {
		return
	}
	r.turn = append(r.turn, e)
	i := r.at + r.rand.Intn(len(r.turn)-r.at)
	r.turn[i], r.turn[len(r.turn)-1] = r.turn[len(r.turn)-1], r.turn[i]
}

// inTurn is the next to be probed, or nil if traffic has answered for all within a period. Every fifth period somebody is
// probed even then: news and digests travel with the probes.
func (r *Roster) inTurn() *entry {
	for range 2 {
		for r.at < len(r.turn) {
			e := r.turn[r.at]
			r.at++
			if e.state.Live() && r.entries[e.m.Name] == e && (r.now-e.heard >= r.o.Period || r.idle >= deadEvery) {
				r.idle = 0
				return e
			}
		}
		r.at, r.turn = 0, r.turn[:0]
		for _, e := range r.order {
			if e != r.self && e.state.Live() {
				r.turn = append(r.turn, e)
			}
		}
		r.rand.Shuffle(len(r.turn), func(i, j int) { r.turn[i], r.turn[j] = r.turn[j], r.turn[i] })
	}
	r.idle++
	return nil
}

// some are up to n others that are alive, at random; where those are too few, suspects too.
func (r *Roster) some(n int, but *entry) []*entry {
	all := r.order
	var out []*entry
	take := func(e *entry, s State) {
		if e != r.self && e != but && e.state == s && !contains(out, e) {
			out = append(out, e)
		}
	}
	for try := 0; try < 4*n && len(out) < n; try++ {
		take(all[r.rand.Intn(len(all))], Alive)
	}
	for _, s := range []State{Alive, Suspect} {
		if len(out) >= n {
			break
		}
		from := r.rand.Intn(len(all))
		for i := 0; i < len(all) && len(out) < n; i++ {
			take(all[(from+i)%len(all)], s)
		}
	}
	return out
}

// stepSuspects concludes that those are dead whose time is over, but for those that were heard within the last period.
func (r *Roster) stepSuspects() {
	for _, e := range slices.Clone(r.suspects) {
		if r.now < e.end {
			continue
		}
		if r.now-e.heard < r.o.Period {
			e.end = r.now + r.o.Period
			r.write(e.m.Addr, head{Kind: ping, Seq: r.nextSeq()}, e)
			continue
		}
		r.change(e, r.now, e.m, Dead, r.now)
		r.tell(e, "")
	}
}

// stepSeeds pings the seeds at which no live member is known.
func (r *Roster) stepSeeds() {
	every := r.o.Period
	switch {
	case r.live > 1:
		every *= seedEvery
	case r.seedTries < 8:
		every /= 4
		r.seedTries++
	}
	r.nextSeed = r.now + every
	for _, s := range r.seeds {
		if !r.livesAt(s) {
			r.write(s, head{Kind: ping, Seq: r.nextSeq()}, nil, r.self)
		}
	}
}

func (r *Roster) livesAt(a netip.AddrPort) bool {
	for _, e := range r.entries {
		if e.m.Addr == a && e.state.Live() {
			return true
		}
	}
	return false
}
