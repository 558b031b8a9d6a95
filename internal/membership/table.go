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

// parts is into how many a view is split to be compared.
const parts = 64

// mostChanges bounds what nobody drains.
const mostChanges = 1 << 14

// table is the members and what there is to tell of them.
type table struct {
	r        *Roster
	entries  map[string]*entry
	live     int
	digest   uint32
	byPart   [parts]uint32
	order    []*entry // all, by part and name
	suspects []*entry
	gone     []*entry // Dead and Left, as they came
	news     []*entry // in line, the newest last
	ridden   uint64   // datagrams that news has ridden on
	changes  []Change
}

// entry is one name.
type entry struct {
	m     Member
	state State
	since time.Duration
	heard time.Duration
	part  uint8
	twice time.Duration // when it was last told that another has the name
	hash  uint32        // as it stands in the digests; 0 for those who are not live

	// of a suspect
	by     []string
	start  time.Duration
	end    time.Duration
	sealed bool // somebody holds it dead: the shortest time

	// of news in line
	queued bool
	told   int
	rode   uint64 // the last datagram
	by1    string // the accuser to name
	raw    []byte // as it is told, of one that is alive and in line
}

func (e *entry) status() Status {
	return Status{Member: e.m, State: e.state, Since: e.since, Heard: e.heard, By: slices.Clone(e.by)}
}

// newer orders two lives of a name.
func newer(aGeneration, aLife, bGeneration, bLife uint64) int {
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

func partOf(name string) uint8 { return uint8(hash64(name) % parts) }

func hashOf(m *Member) uint32 {
	h := hash64(m.Name)
	h = mix(h ^ m.Life)
	h = mix(h ^ m.Generation)
	h = mix(h ^ bits.RotateLeft64(m.Incarnation, 32))
	return uint32(h) | 1
}

func byPart(a, b string) int { return cmp.Or(cmp.Compare(partOf(a), partOf(b)), strings.Compare(a, b)) }

// place is where a name stands or would stand among all entries.
func (t *table) place(name string) (int, bool) {
	part := partOf(name)
	return slices.BinarySearchFunc(t.order, name, func(e *entry, name string) int {
		return cmp.Or(cmp.Compare(e.part, part), strings.Compare(e.m.Name, name))
	})
}

func (t *table) digests() []byte {
	raw := make([]byte, 0, parts*4)
	for _, d := range t.byPart {
		raw = binary.BigEndian.AppendUint32(raw, d)
	}
	return raw
}

// put takes up a name that was not there; nil if there is no place.
func (t *table) put(now time.Duration, m Member, s State, since time.Duration) *entry {
	if len(t.entries) >= t.r.o.MaxMembers {
		t.r.counts.Full++
		return nil
	}
	e := &entry{m: Member{Name: m.Name}, heard: never, twice: never, part: partOf(m.Name)}
	t.entries[m.Name] = e
	at, _ := t.place(m.Name)
	t.order = slices.Insert(t.order, at, e)
	t.change(e, now, m, s, since)
	return e
}

// change brings an entry to what a member tells and to a state, and writes it down. What is to be told is the caller's.
func (t *table) change(e *entry, now time.Duration, m Member, s State, since time.Duration) {
	was := e.status()
	if was.Life != m.Life {
		e.heard = never
	}
	if e.hash != 0 {
		t.live--
	}
	t.digest ^= e.hash
	t.byPart[e.part] ^= e.hash
	e.hash = 0
	if s.Live() {
		e.hash = hashOf(&m)
		t.live++
	}
	t.digest ^= e.hash
	t.byPart[e.part] ^= e.hash
	e.m, e.state, e.since, e.raw = m, s, since, nil
	if was.State != s {
		switch was.State {
		case Suspect:
			t.suspects = without(t.suspects, e)
		case Dead, Left:
			t.gone = without(t.gone, e)
		}
		switch s {
		case Suspect:
			t.suspects = append(t.suspects, e)
		case Dead, Left:
			t.gone = append(t.gone, e)
		}
	}
	if s != Suspect {
		e.by, e.sealed = nil, false
	}
	if s.Live() && !was.State.Live() {
		t.r.joinTurn(e)
	}
	t.write1(Change{At: now, Was: was, Is: e.status()})
}

func (t *table) write1(c Change) {
	if len(t.changes) >= mostChanges {
		t.changes = slices.Delete(t.changes, 0, mostChanges/4)
		t.r.counts.LostChanges += mostChanges / 4
	}
	t.changes = append(t.changes, c)
}

// forget drops a name for good.
func (t *table) forget(e *entry, now time.Duration) {
	was := e.status()
	t.gone = without(t.gone, e)
	t.news = without(t.news, e)
	delete(t.entries, e.m.Name)
	t.order = without(t.order, e)
	t.write1(Change{At: now, Was: was, Is: Status{Member: e.m, Since: now, Heard: e.heard}})
}

func without(es []*entry, e *entry) []*entry {
	if i := slices.Index(es, e); i >= 0 {
		return slices.Delete(es, i, i+1)
	}
	return es
}

// merge takes news of another member. The result does not hang on the order in which news comes, but for when a suspicion
// began. It reports whether what was known here is the newer.
func (t *table) merge(now time.Duration, n *record, teller string) (older bool) {
	m, _ := n.member()
	age := time.Duration(n.Age) * time.Second
	ended := n.State == Dead || n.State == Left
	e := t.entries[m.Name]
	if e == nil {
		if ended && age >= t.r.o.DeadFor {
			return false
		}
		if e = t.put(now, m, Alive, now); e == nil {
			return false
		}
		if n.State != Suspect {
			t.change(e, now, m, n.State, now-age)
		}
		t.accuse(e, now, n, n.By)
		t.tell(e, n.By)
		return false
	}
	life := newer(m.Generation, m.Life, e.m.Generation, e.m.Life)
	switch {
	case life < 0:
		return true
	case life > 0 && t.keeps(e, m.Addr):
		if !ended {
			t.refuse(e, now, m)
		}
		return false
	case life > 0:
		t.change(e, now, m, Alive, now)
		if ended {
			t.change(e, now, m, n.State, now-age)
		}
		t.accuse(e, now, n, n.By)
		t.tell(e, n.By)
		return false
	case e.state == Left:
		if n.State != Left {
			return true
		}
		if e.since = min(e.since, now-age); m.Incarnation > e.m.Incarnation {
			t.change(e, now, m, Left, e.since)
		}
		return m.Incarnation < e.m.Incarnation
	case n.State == Left:
		t.change(e, now, m, Left, now-age)
		t.tell(e, "")
		return false
	case m.Incarnation < e.m.Incarnation:
		return true
	case m.Incarnation > e.m.Incarnation:
		dead := e.state == Dead
		switch {
		case n.State != Dead:
			if dead {
				t.r.settled = false // a cut may have healed: others have more to tell
			}
			t.change(e, now, m, Alive, now)
			t.accuse(e, now, n, n.By)
			t.tell(e, n.By)
		case dead:
			t.change(e, now, m, Dead, min(e.since, now-age))
			t.tell(e, "")
		default:
			t.change(e, now, m, Alive, now)
			t.seal(e, now, teller)
		}
		return false
	}
	switch n.State {
	case Suspect:
		if e.state == Dead {
			return true
		}
		if t.accuse(e, now, n, n.By) {
			t.tell(e, n.By)
		}
	case Dead:
		if e.state == Dead {
			e.since = min(e.since, now-age)
			return false
		}
		t.seal(e, now, teller)
	}
	return n.State == Alive && e.state != Alive
}

// keeps says whether a name stays with who has it, whoever claims it from an address.
func (t *table) keeps(e *entry, from netip.AddrPort) bool {
	return t.r.o.FirstKeeps && e.state.Live() && e.m.Addr != from
}

// refuse tells that another process has the name of a live member.
func (t *table) refuse(e *entry, now time.Duration, other Member) {
	if e.twice != never && now-e.twice < t.r.o.Period {
		return
	}
	e.twice = now
	t.r.counts.Conflicts++
	t.write1(Change{At: now, Was: e.status(), Is: e.status(), Refused: &other})
}

// accuse notes an accuser of a live member, if the news is a suspicion. It reports whether that is new.
func (t *table) accuse(e *entry, now time.Duration, n *record, by string) bool {
	if n.State != Suspect || !e.state.Live() || slices.Contains(e.by, by) || len(e.by) > t.r.o.Confirmations {
		return false
	}
	if e.state == Alive {
		e.start = now
		e.by, e.sealed = []string{by}, false
		e.end = e.start + t.suspicion(e)
		t.change(e, now, e.m, Suspect, now)
	} else {
		e.by = append(e.by, by)
		slices.Sort(e.by)
		e.end = min(e.end, max(now, e.start+t.suspicion(e))) // a timer in the past would look like time that was slept through
	}
	return true
}

// seal is what becomes of a live member that somebody else holds dead: a suspicion of the shortest time. It is passed on as
// an ordinary one.
func (t *table) seal(e *entry, now time.Duration, teller string) {
	if e.sealed {
		return
	}
	was := e.state
	if t.accuse(e, now, &record{State: Suspect}, teller) {
		t.tell(e, teller)
	}
	e.sealed = true
	end := e.start + t.shortest()
	if was == Suspect {
		end = max(end, now+2*t.r.o.Period)
	}
	e.end = min(e.end, end)
}

// shortest is the shortest time of suspicion.
func (t *table) shortest() time.Duration {
	return time.Duration(float64(t.r.o.SuspicionPeriods) * max(1, math.Log10(float64(max(1, t.live)))) * float64(t.r.o.Period))
}

// suspicion is how long a suspect has in all, as many as accuse it.
func (t *table) suspicion(e *entry) time.Duration {
	least := t.shortest()
	k := min(t.r.o.Confirmations, t.live-3) // the accuser, the suspect and this one aside
	if k < 1 || e.sealed {
		return least
	}
	most := least * time.Duration(t.r.o.LongestFactor)
	share := min(1, math.Log(float64(len(e.by)))/math.Log(float64(k+1)))
	return most - time.Duration(share*float64(most-least))
}

// tells is how often news is told.
func (t *table) tells() int {
	return t.r.o.TellFactor * int(math.Ceil(math.Log10(float64(t.live+1))))
}

// tell puts an entry in the line of news, as new.
func (t *table) tell(e *entry, by string) {
	if t.entries[e.m.Name] != e {
		return
	}
	t.r.nextTidings = max(t.r.nextTidings, t.r.now)
	if e.queued {
		t.news = without(t.news, e)
	}
	e.queued, e.told, e.by1 = true, 0, by
	t.news = append(t.news, e)
}

// agreed notes that somebody else holds the same live members in the same incarnations: whom it met at random, so news of that
// kind has gone far. It counts as a quarter of the tellings. Suspicions and ends do not show in the digests.
func (t *table) agreed() {
	if len(t.news) == 0 {
		return
	}
	share := max(1, t.tells()/4)
	for _, e := range t.news {
		if e.state == Alive {
			e.told += share
		}
	}
	t.retire()
}

// retire drops from the line what has been told often enough.
func (t *table) retire() {
	most := t.tells()
	t.news = slices.DeleteFunc(t.news, func(e *entry) bool {
		if e.told < most {
			return false
		}
		e.queued, e.raw = false, nil
		return true
	})
}

// ride adds news in line, the least told and among them the newest first, as long as it finds place.
func (t *table) ride(peer *entry, done []*entry, add func(*entry, string) bool) {
	if len(t.news) == 0 {
		return
	}
	t.ridden++
	for _, e := range done {
		e.rode = t.ridden
	}
	if peer != nil {
		peer.rode = t.ridden
	}
	most := t.tells()
	full := false
	for told := 0; told < most && !full; told++ {
		for i := len(t.news) - 1; i >= 0 && !full; i-- {
			if e := t.news[i]; e.told == told && e.rode != t.ridden {
				if full = !add(e, e.by1); !full {
					e.told++
					e.rode = t.ridden
				}
			}
		}
	}
	t.retire()
}
