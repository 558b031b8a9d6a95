package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/bits"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// buckets is the number of buckets into which the members are split for anti-entropy.
const buckets = 64

// maxChanges bounds the changes that are kept until Changes is called.
const maxChanges = 1 << 14

// table holds the members and the updates to broadcast.
type table struct {
	node          *Node
	entries       map[string]*entry
	live          int
	digest        uint32
	bucketDigests [buckets]uint32
	sorted        []*entry // all, by bucket and name
	suspects      []*entry
	ended         []*entry // Dead and Left, oldest first
	broadcasts    []*entry // queued updates, newest last
	datagram      uint64   // number of datagrams that carried piggybacked updates
	changes       []Change
}

// entry is one known member.
type entry struct {
	member       Member
	state        State
	since        time.Duration
	lastHeard    time.Duration
	bucket       uint8
	lastConflict time.Duration // when a conflict about its name was last reported
	hash         uint32        // its contribution to the digests; 0 unless live

	// of a suspect
	suspectedBy  []string
	suspectedAt  time.Duration
	suspicionEnd time.Duration
	reportedDead bool // another member reported it dead: shortest suspicion time

	// of a queued update
	queued       bool
	transmits    int
	lastDatagram uint64 // the last datagram that carried it
	accuser      string // the suspecting member to name in the update
	encoded      []byte // cached encoding while it is alive and queued
}

func (e *entry) status() Status {
	return Status{Member: e.member, State: e.state, Since: e.since, LastHeard: e.lastHeard, SuspectedBy: slices.Clone(e.suspectedBy)}
}

// compareLives orders two lives of a name, the newer one last.
func compareLives(aGeneration, aLife, bGeneration, bLife uint64) int {
	return cmp.Or(cmp.Compare(aGeneration, bGeneration), cmp.Compare(aLife, bLife))
}

func hash64(name string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(name); i++ {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return mix(h)
}

func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

func bucketOf(name string) uint8 { return uint8(hash64(name) % buckets) }

func hashOf(m *Member) uint32 {
	h := hash64(m.Name)
	h = mix(h ^ m.Life)
	h = mix(h ^ m.Generation)
	h = mix(h ^ bits.RotateLeft64(m.Incarnation, 32))
	return uint32(h) | 1
}

func compareNames(a, b string) int {
	return cmp.Or(cmp.Compare(bucketOf(a), bucketOf(b)), strings.Compare(a, b))
}

// search returns the index of a name in sorted, or where it would be inserted, and whether it is there.
func (t *table) search(name string) (int, bool) {
	part := bucketOf(name)
	return slices.BinarySearchFunc(t.sorted, name, func(e *entry, name string) int {
		return cmp.Or(cmp.Compare(e.bucket, part), strings.Compare(e.member.Name, name))
	})
}

func (t *table) digests() []byte {
	raw := make([]byte, 0, buckets*4)
	for _, d := range t.bucketDigests {
		raw = binary.BigEndian.AppendUint32(raw, d)
	}
	return raw
}

// add inserts a new name. It returns nil if MaxMembers is reached.
func (t *table) add(now time.Duration, m Member, s State, since time.Duration) *entry {
	if len(t.entries) >= t.node.options.MaxMembers {
		t.node.counts.Full++
		return nil
	}
	e := &entry{member: Member{Name: m.Name}, lastHeard: beforeAllTime, lastConflict: beforeAllTime, bucket: bucketOf(m.Name)}
	t.entries[m.Name] = e
	at, _ := t.search(m.Name)
	t.sorted = slices.Insert(t.sorted, at, e)
	t.update(e, now, m, s, since)
	return e
}

// update sets the member and state of an entry and records the change. The caller decides whether to broadcast it.
func (t *table) update(e *entry, now time.Duration, m Member, s State, since time.Duration) {
	was := e.status()
	if was.Life != m.Life {
		e.lastHeard = beforeAllTime
	}
	if e.hash != 0 {
		t.live--
	}
	t.digest ^= e.hash
	t.bucketDigests[e.bucket] ^= e.hash
	e.hash = 0
	if s.Live() {
		e.hash = hashOf(&m)
		t.live++
	}
	t.digest ^= e.hash
	t.bucketDigests[e.bucket] ^= e.hash
	e.member, e.state, e.since, e.encoded = m, s, since, nil
	if was.State != s {
		switch was.State {
		case Suspect:
			t.suspects = without(t.suspects, e)
		case Dead, Left:
			t.ended = without(t.ended, e)
		}
		switch s {
		case Suspect:
			t.suspects = append(t.suspects, e)
		case Dead, Left:
			t.ended = append(t.ended, e)
		}
	}
	if s != Suspect {
		e.suspectedBy, e.reportedDead = nil, false
	}
	if s.Live() && !was.State.Live() {
		t.node.addToProbeOrder(e)
	}
	t.recordChange(Change{At: now, Before: was, After: e.status()})
}

func (t *table) recordChange(c Change) {
	if len(t.changes) >= maxChanges {
		t.changes = slices.Delete(t.changes, 0, maxChanges/4)
		t.node.counts.LostChanges += maxChanges / 4
	}
	t.changes = append(t.changes, c)
}

// forget removes a member.
func (t *table) forget(e *entry, now time.Duration) {
	was := e.status()
	t.ended = without(t.ended, e)
	t.broadcasts = without(t.broadcasts, e)
	delete(t.entries, e.member.Name)
	t.sorted = without(t.sorted, e)
	t.recordChange(Change{At: now, Before: was, After: Status{Member: e.member, Since: now, LastHeard: e.lastHeard}})
}

func without(es []*entry, e *entry) []*entry {
	if i := slices.Index(es, e); i >= 0 {
		return slices.Delete(es, i, i+1)
	}
	return es
}

// merge applies a record of another member, received from sender. The order of records affects only the start of a suspicion and
// whether a member is first suspected or dead; see TestRecordOrder. It reports whether the record is older than what is known.
func (t *table) merge(now time.Duration, rec *record, sender string) (older bool) {
	m, _ := rec.member()
	age := time.Duration(rec.Age) * time.Second
	ended := rec.State == Dead || rec.State == Left
	e := t.entries[m.Name]
	if e == nil {
		if ended && age >= t.node.options.RetainDead {
			return false
		}
		if e = t.add(now, m, Alive, now); e == nil {
			return false
		}
		if rec.State != Suspect {
			t.update(e, now, m, rec.State, now-age)
		}
		t.suspect(e, now, rec, rec.By)
		t.broadcast(e, rec.By)
		return false
	}
	life := compareLives(m.Generation, m.Life, e.member.Generation, e.member.Life)
	switch {
	case life < 0:
		return true
	case life > 0 && t.keepsName(e, m.Addr):
		if !ended {
			t.reportConflict(e, now, m)
		}
		return false
	case life > 0:
		t.update(e, now, m, Alive, now)
		if ended {
			t.update(e, now, m, rec.State, now-age)
		}
		t.suspect(e, now, rec, rec.By)
		t.broadcast(e, rec.By)
		return false
	case e.state == Left:
		if rec.State != Left {
			return true
		}
		if e.since = min(e.since, now-age); m.Incarnation > e.member.Incarnation {
			t.update(e, now, m, Left, e.since)
		}
		return m.Incarnation < e.member.Incarnation
	case rec.State == Left:
		t.update(e, now, m, Left, now-age)
		t.broadcast(e, "")
		return false
	case m.Incarnation < e.member.Incarnation:
		return true
	case m.Incarnation > e.member.Incarnation:
		dead := e.state == Dead
		switch {
		case rec.State != Dead:
			if dead {
				t.node.inSync = false // a partition may have healed: others may have more records
			}
			t.update(e, now, m, Alive, now)
			t.suspect(e, now, rec, rec.By)
			t.broadcast(e, rec.By)
		case dead:
			t.update(e, now, m, Dead, min(e.since, now-age))
			t.broadcast(e, "")
		default:
			t.update(e, now, m, Alive, now)
			t.suspectReportedDead(e, now, sender)
		}
		return false
	}
	switch rec.State {
	case Suspect:
		if e.state == Dead {
			return true
		}
		if t.suspect(e, now, rec, rec.By) {
			t.broadcast(e, rec.By)
		}
	case Dead:
		if e.state == Dead {
			e.since = min(e.since, now-age)
			return false
		}
		t.suspectReportedDead(e, now, sender)
	}
	return rec.State == Alive && e.state != Alive
}

// keepsName reports whether a live member keeps its name against another life at address from; see Options.KeepLiveNames.
func (t *table) keepsName(e *entry, from netip.AddrPort) bool {
	return t.node.options.KeepLiveNames && e.state.Live() && e.member.Addr != from
}

// reportConflict records a Change about another process with the name of a live member, at most once per period.
func (t *table) reportConflict(e *entry, now time.Duration, other Member) {
	if e.lastConflict != beforeAllTime && now-e.lastConflict < t.node.options.Period {
		return
	}
	e.lastConflict = now
	t.node.counts.Conflicts++
	t.recordChange(Change{At: now, Before: e.status(), After: e.status(), Conflict: &other})
}

// suspect adds the member by to those that suspect a live member, if rec is a suspicion. It reports whether that is new.
func (t *table) suspect(e *entry, now time.Duration, rec *record, by string) bool {
	if rec.State != Suspect || !e.state.Live() || slices.Contains(e.suspectedBy, by) || len(e.suspectedBy) > t.node.options.Confirmations {
		return false
	}
	if e.state == Alive {
		e.suspectedAt = now
		e.suspectedBy, e.reportedDead = []string{by}, false
		e.suspicionEnd = e.suspectedAt + t.suspicionTime(e)
		t.update(e, now, e.member, Suspect, now)
	} else {
		e.suspectedBy = append(e.suspectedBy, by)
		slices.Sort(e.suspectedBy)
		e.suspicionEnd = min(e.suspicionEnd, max(now, e.suspectedAt+t.suspicionTime(e))) // a timer in the past would look as if this node had not run
	}
	return true
}

// suspectReportedDead suspects, for the shortest time, a live member that sender declared dead. It is broadcast as an ordinary
// suspicion.
func (t *table) suspectReportedDead(e *entry, now time.Duration, sender string) {
	if e.reportedDead {
		return
	}
	before := e.state
	if t.suspect(e, now, &record{State: Suspect}, sender) {
		t.broadcast(e, sender)
	}
	e.reportedDead = true
	end := e.suspectedAt + t.minSuspicion()
	if before == Suspect {
		end = max(end, now+2*t.node.options.Period)
	}
	e.suspicionEnd = min(e.suspicionEnd, end)
}

// minSuspicion returns the shortest suspicion time.
func (t *table) minSuspicion() time.Duration {
	return time.Duration(float64(t.node.options.SuspicionPeriods) * max(1, math.Log10(float64(max(1, t.live)))) * float64(t.node.options.Period))
}

// suspicionTime returns the total suspicion time of a suspect, given the number of members that suspect it.
func (t *table) suspicionTime(e *entry) time.Duration {
	shortest := t.minSuspicion()
	k := min(t.node.options.Confirmations, t.live-3) // excluding the suspecting member, the suspect and this one
	if k < 1 || e.reportedDead {
		return shortest
	}
	longest := shortest * time.Duration(t.node.options.SuspicionMaxFactor)
	share := min(1, math.Log(float64(len(e.suspectedBy)))/math.Log(float64(k+1)))
	return longest - time.Duration(share*float64(longest-shortest))
}

// transmitLimit returns how many times an update is sent.
func (t *table) transmitLimit() int {
	return t.node.options.RetransmitFactor * int(math.Ceil(math.Log10(float64(t.live+1))))
}

// broadcast queues an entry as a new update; by is the suspecting member, if any.
func (t *table) broadcast(e *entry, by string) {
	if t.entries[e.member.Name] != e {
		return
	}
	t.node.nextGossip = max(t.node.nextGossip, t.node.clock)
	if e.queued {
		t.broadcasts = without(t.broadcasts, e)
	}
	e.queued, e.transmits, e.accuser = true, 0, by
	t.broadcasts = append(t.broadcasts, e)
}

// countDigestMatch handles repeated contacts with members that have the same live members and incarnations. Contacts are random,
// so updates about live members have spread widely: a match counts as a quarter of their transmissions. Suspicions, deaths and
// departures still have to be sent, because digests do not tell whether others know of them.
func (t *table) countDigestMatch() {
	if len(t.broadcasts) == 0 {
		return
	}
	share := max(1, t.transmitLimit()/4)
	for _, e := range t.broadcasts {
		if e.state == Alive {
			e.transmits += share
		}
	}
	t.dropTransmitted()
}

// dropTransmitted removes updates that have been sent often enough from the queue.
func (t *table) dropTransmitted() {
	limit := t.transmitLimit()
	t.broadcasts = slices.DeleteFunc(t.broadcasts, func(e *entry) bool {
		if e.transmits < limit {
			return false
		}
		e.queued, e.encoded = false, nil
		return true
	})
}

// piggyback adds queued updates to a datagram until it is full: the least often sent first, and the newest among these. It leaves
// out peer, the receiver, and the entries in done, which the datagram already carries.
func (t *table) piggyback(peer *entry, done []*entry, add func(*entry, string) bool) {
	if len(t.broadcasts) == 0 {
		return
	}
	t.datagram++
	for _, e := range done {
		e.lastDatagram = t.datagram
	}
	if peer != nil {
		peer.lastDatagram = t.datagram
	}
	limit := t.transmitLimit()
	full := false
	for transmits := 0; transmits < limit && !full; transmits++ {
		for i := len(t.broadcasts) - 1; i >= 0 && !full; i-- {
			if e := t.broadcasts[i]; e.transmits == transmits && e.lastDatagram != t.datagram {
				if full = !add(e, e.accuser); !full {
					e.transmits++
					e.lastDatagram = t.datagram
				}
			}
		}
	}
	t.dropTransmitted()
}
