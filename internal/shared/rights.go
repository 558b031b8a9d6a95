package shared

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"
)

// Budget is what a fleet may spend, from the operator's file; all agents have to have the same.
type Budget struct {
	Name   string
	Rate   int64         // what all agents may spend together, in thousandths a second
	Agents int           // that it is divided among; more of them spend more, by a static part each
	Static float64       // share of its part that an agent never lends, from 0 to 1
	Lease  time.Duration // how long a right is lent for
	Burst  time.Duration // what is not spent is kept for so long, and one whole at the least
}

// Drift is how much faster one agent's clock may run than another's, as a share: 1 in 50. Crystals are off by 1 in 10,000;
// the rest is for clocks that are pulled into line.
const Drift = 0.02

// held is how long a lender takes a right for lent: surely over on the borrower's clock, which began before.
func (b Budget) held() time.Duration { return b.Lease + time.Duration(Drift*2*float64(b.Lease)) + 1 }

// one is a whole in the units that are counted: thousandths a second times nanoseconds.
const one = int64(time.Second) * 1000

const (
	// mostLenders and mostBorrowers bound what one agent holds open.
	mostLenders, mostBorrowers = 64, 64
	// grantsKept of one borrower; more become one, of the greatest amount and the latest end.
	grantsKept = 4
	// spareNeed is what is asked for, and kept, above the mean of what was wanted.
	spareNeed = 1.25
	// smoothDemand is the weight of a new second in it.
	smoothDemand = 0.3
	// asksAStep bounds the peers that are asked in one step.
	asksAStep = 4
)

// Word is what a message between holders says.
type Word uint8

// The words. A right is asked for by its borrower, granted by its lender, and given back or left to run out.
const (
	Ask Word = iota + 1
	Grant
	Return
)

// Message goes from one holder to another. What is sent of it holds no time.
type Message struct {
	Word     Word
	Budget   string
	From, To Agent
	Seq      uint64 // of the borrower's asks
	Amount   int64  // thousandths a second

	At time.Duration // on the sender's clock; not sent: only a wrong holder looks at it
}

// Holder holds one agent's rights to a budget. It belongs to one goroutine.
//
// Each agent has its part by right, Rate/Agents, and lends what it has no use for, but for the static share. A right
// is a rate; what it yields gathers in a bucket of Burst. Safety: at any moment the rights held by all agents are at most
// Rate, whatever is cut, lost, repeated, paused or restarted, and on both sides of a cut together. For a lender takes a
// right for lent until it is given back, or Lease and twice Drift are over since its grant, and a borrower has it for
// Lease since its ask, which came before; each on a clock of its own. A lender that starts anew knows of nothing that
// it lent before, and has its static share until all of that has run out.
//
// So over any span w all agents together spend at most Rate*w, plus the overshoot: what buckets may hold, Rate*Burst + 1
// for each agent. Buckets start empty. What a backend sees comes later than it is spent, by a request's deadline at the most;
// that is its own span's overshoot. Agents beyond Budget.Agents, or two processes under one name, add a part each.
//
// Who hears nothing has at least Static of its part, and its whole part once what it lent has run out.
type Holder struct {
	b         Budget
	self      Agent
	clean     time.Duration // what a process before may have lent has run out then
	home      int64
	borrowed  map[Agent]*loan
	lent      map[Agent]*debt
	tokens    int64
	at        time.Duration // up to when they are gathered
	demand    float64       // a running mean of what was wanted, thousandths a second
	wanted    int64         // since the last step
	stepped   time.Duration
	seq       uint64 // of its asks
	spent     uint64
	turnedOff uint64
	wrong     Wrong
}

// loan is what was borrowed of one lender, or asked for.
type loan struct {
	seq    uint64 // of the last ask
	asked  time.Duration
	open   bool // it may still be granted
	amount int64
	until  time.Duration
}

// debt is what was lent to one borrower.
type debt struct {
	seq    uint64 // of the last ask that was answered
	grants []grant
}

type grant struct {
	seq    uint64
	amount int64
	until  time.Duration
}

// NewHolder returns the rights of an agent that begins.
func NewHolder(self Agent, b Budget, now time.Duration) *Holder {
	return &Holder{b: b, self: self, clean: now + b.held(), home: b.Rate / int64(b.Agents), at: now, stepped: now,
		borrowed: map[Agent]*loan{}, lent: map[Agent]*debt{}}
}

// lendable is what may ever be lent.
func (h *Holder) lendable() int64 { return h.home - int64(float64(h.home)*h.b.Static) }

// out is what is lent to others than one.
func (h *Holder) out(now time.Duration, but Agent) (sum int64) {
	if now < h.clean {
		return h.lendable()
	}
	for a, d := range h.lent {
		if a != but {
			sum += d.most(now)
		}
	}
	return sum
}

// most is the greatest right that a borrower may still have.
func (d *debt) most(now time.Duration) (m int64) {
	for _, g := range d.grants {
		if now < g.until {
			m = max(m, g.amount)
		}
	}
	return m
}

// Held is the right that is held now, thousandths a second.
func (h *Holder) Held(now time.Duration) int64 {
	sum := h.home - h.out(now, Agent{})
	for _, l := range h.borrowed {
		if now < l.until {
			sum += l.amount
		}
	}
	return sum
}

// gather lets the bucket fill by what was held; rights change at the ends of leases, and each span counts by its own.
func (h *Holder) gather(now time.Duration) {
	for h.at < now {
		next := now
		for _, l := range h.borrowed {
			if l.until > h.at {
				next = min(next, l.until)
			}
		}
		for _, d := range h.lent {
			for _, g := range d.grants {
				if g.until > h.at {
					next = min(next, g.until)
				}
			}
		}
		if h.clean > h.at {
			next = min(next, h.clean)
		}
		held := h.Held(h.at)
		room := max(one, held*int64(h.b.Burst)) - h.tokens
		if span := int64(next - h.at); held > 0 && span < room/held+1 {
			room = min(room, held*span)
		} else if held <= 0 {
			room = 0
		}
		h.tokens += max(0, room)
		h.at = next
	}
	h.tokens = min(h.tokens, max(one, h.Held(h.at)*int64(h.b.Burst))) // rights that went take what they yielded along
}

// Left is how many may be spent now.
func (h *Holder) Left(now time.Duration) int {
	h.gather(now)
	return int(h.tokens / one)
}

// Spend takes one, if there is one. What is wanted counts either way: it tells what to borrow.
func (h *Holder) Spend(now time.Duration) bool {
	h.gather(now)
	if h.tokens < one {
		h.Missed()
		return false
	}
	h.tokens -= one
	h.spent++
	h.wanted++
	return true
}

// Missed notes that one more was wanted and not even tried.
func (h *Holder) Missed() { h.wanted++; h.turnedOff++ }

// Step lets time pass: it asks for what is wanted, gives back what is not, and forgets what has run out. peers are those
// that are heard, in an order drawn for this agent. Once a second is often enough.
func (h *Holder) Step(now time.Duration, peers []Agent) (out []Message) {
	h.gather(now)
	if span := (now - h.stepped).Seconds(); span > 0 {
		h.demand += min(1, smoothDemand*span) * (float64(h.wanted)*1000/span - h.demand)
		h.wanted, h.stepped = 0, now
	}
	h.forget(now)
	if h.wrong == TakesSilent {
		maps.DeleteFunc(h.lent, func(a Agent, _ *debt) bool { return !slices.Contains(peers, a) })
	}
	need := int64(spareNeed*h.demand) - (h.home - h.out(now, Agent{}))
	for _, a := range slices.SortedFunc(maps.Keys(h.borrowed), Agent.Compare) { // renewed, or given back
		l := h.borrowed[a]
		if need <= 0 {
			delete(h.borrowed, a)
			h.gather(now)
			out = append(out, h.message(Return, a, l.seq, 0))
			continue
		}
		if now >= l.asked+h.b.Lease/3 {
			out = append(out, h.ask(now, a, l, need))
		}
		need -= min(need, l.amount)
	}
	for n := 0; n < asksAStep && need > 0 && len(peers) > 0 && len(h.borrowed) < mostLenders; n++ {
		i := slices.IndexFunc(peers, func(a Agent) bool { return a != h.self && h.borrowed[a] == nil })
		if i < 0 {
			break
		}
		l := &loan{}
		h.borrowed[peers[i]] = l
		out = append(out, h.ask(now, peers[i], l, need))
		peers = peers[i+1:]
	}
	return out
}

// ask asks one for up to so much.
func (h *Holder) ask(now time.Duration, a Agent, l *loan, amount int64) Message {
	// Never a number twice, also after the loan was given back: a return that comes late ends no later right.
	h.seq++
	l.seq, l.asked, l.open = h.seq, now, true
	return h.message(Ask, a, l.seq, min(amount, h.home)) // nobody has more to lend
}

func (h *Holder) message(w Word, to Agent, seq uint64, amount int64) Message {
	return Message{Word: w, Budget: h.b.Name, From: h.self, To: to, Seq: seq, Amount: amount}
}

// forget drops what has run out, on either side.
func (h *Holder) forget(now time.Duration) {
	maps.DeleteFunc(h.borrowed, func(_ Agent, l *loan) bool {
		return now >= l.until && (!l.open || now >= l.asked+h.b.Lease)
	})
	maps.DeleteFunc(h.lent, func(_ Agent, d *debt) bool {
		d.grants = slices.DeleteFunc(d.grants, func(g grant) bool { return now >= g.until })
		return len(d.grants) == 0
	})
}

// Hear takes a message and returns the answer to it, if there is one. What is not for this start of this agent, or is
// nonsense, comes to nothing.
func (h *Holder) Hear(now time.Duration, m Message) (Message, bool) {
	if m.To != h.self || m.From == h.self || m.Budget != h.b.Name || m.Amount < 0 || m.Amount > h.b.Rate {
		return Message{}, false
	}
	h.gather(now)
	switch m.Word {
	case Ask:
		return h.grant(now, m)
	case Grant:
		// Only the last ask is answered, and once: an older grant was counted for by its lender as long as for this one.
		l := h.borrowed[m.From]
		if h.wrong == AppliesTwice && l != nil && m.Seq == l.seq && !l.open && now < l.until {
			l.amount += m.Amount
		}
		if l == nil || !l.open || m.Seq != l.seq || now >= l.asked+h.b.Lease {
			break
		}
		l.open = false
		l.amount, l.until = m.Amount, l.asked+h.b.Lease
		switch h.wrong {
		case LenderClock:
			l.until = m.At + h.b.Lease
		case KeepsRights:
			l.until = math.MaxInt64
		}
	case Return:
		if d := h.lent[m.From]; d != nil {
			d.grants = slices.DeleteFunc(d.grants, func(g grant) bool { return g.seq <= m.Seq })
		}
	}
	return Message{}, false
}

// grant lends what can be spared.
func (h *Holder) grant(now time.Duration, m Message) (Message, bool) {
	d := h.lent[m.From]
	if d != nil && m.Seq <= d.seq || now < h.clean || d == nil && len(h.lent) >= mostBorrowers {
		return Message{}, false // it came twice, or late; or nothing can be lent
	}
	own := max(h.home-h.lendable(), int64(spareNeed*h.demand))
	amount := min(m.Amount, h.home-own-h.out(now, m.From))
	if amount <= 0 {
		return Message{}, false
	}
	if d == nil {
		d = &debt{}
		h.lent[m.From] = d
	}
	d.seq = m.Seq
	d.grants = append(d.grants, grant{m.Seq, amount, now + h.b.held()})
	if len(d.grants) > grantsKept {
		a, b := d.grants[0], d.grants[1]
		d.grants[1] = grant{b.seq, max(a.amount, b.amount), max(a.until, b.until)}
		d.grants = d.grants[1:]
	}
	out := h.message(Grant, m.From, m.Seq, amount)
	out.At = now
	return out, true
}

// Standing is what a holder has, to be shown.
type Standing struct {
	Home     int64            `json:"home"` // thousandths a second, like all that follow
	Held     int64            `json:"held"`
	Lent     map[string]int64 `json:"lent,omitempty"`
	Borrowed map[string]int64 `json:"borrowed,omitempty"`
	Demand   int64            `json:"demand"`
	Left     int              `json:"left"` // that may be spent now
	Spent    uint64           `json:"spent"`
	Refused  uint64           `json:"refused"`
	Settling bool             `json:"settling"` // it has its static share alone: a process before may have lent the rest
}

// Standing is what is held now.
func (h *Holder) Standing(now time.Duration) Standing {
	s := Standing{Home: h.home, Left: h.Left(now), Held: h.Held(now), Demand: int64(h.demand), Spent: h.spent, Refused: h.turnedOff,
		Settling: now < h.clean, Lent: map[string]int64{}, Borrowed: map[string]int64{}}
	for a, d := range h.lent {
		if m := d.most(now); m > 0 {
			s.Lent[a.String()] = m
		}
	}
	for a, l := range h.borrowed {
		if now < l.until {
			s.Borrowed[a.String()] = l.amount
		}
	}
	return s
}

// Clone returns a holder that goes its own way from here.
func (h *Holder) Clone() *Holder {
	c := *h
	c.borrowed, c.lent = make(map[Agent]*loan, len(h.borrowed)), make(map[Agent]*debt, len(h.lent))
	for a, l := range h.borrowed {
		l := *l
		c.borrowed[a] = &l
	}
	for a, d := range h.lent {
		c.lent[a] = &debt{d.seq, slices.Clone(d.grants)}
	}
	return &c
}

// AppendState writes what decides what h does from now on, but for its bucket: what is the same now and in a later moment
// is written the same.
func (h *Holder) AppendState(b []byte, now time.Duration) []byte {
	left := func(t time.Duration) { b = binary.AppendVarint(b, int64(max(0, t-now))) }
	b = appendAgent(b, h.self)
	b = binary.AppendUvarint(b, h.seq)
	b = binary.AppendVarint(b, h.wanted)
	b = binary.AppendUvarint(b, math.Float64bits(h.demand))
	b = binary.AppendVarint(b, int64(now-h.stepped))
	left(h.clean)
	for _, a := range slices.SortedFunc(maps.Keys(h.borrowed), Agent.Compare) {
		l := h.borrowed[a]
		b = append(appendAgent(b, a), 'b')
		b = binary.AppendUvarint(b, l.seq)
		left(l.until)
		if now < l.until {
			b = binary.AppendVarint(b, l.amount)
		}
		left(l.asked + h.b.Lease)
		if l.open && now < l.asked+h.b.Lease {
			b = append(b, 'o')
		}
	}
	for _, a := range slices.SortedFunc(maps.Keys(h.lent), Agent.Compare) {
		b = append(appendAgent(b, a), 'l')
		b = binary.AppendUvarint(b, h.lent[a].seq)
		for _, g := range h.lent[a].grants {
			if now < g.until {
				b = binary.AppendUvarint(b, g.seq)
				b = binary.AppendVarint(b, g.amount)
				left(g.until)
			}
		}
	}
	return b
}

// Self is whose rights these are.
func (h *Holder) Self() Agent { return h.self }
