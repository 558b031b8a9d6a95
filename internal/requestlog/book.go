package requestlog

import (
	"fmt"
	"sort"
	"time"
)

// Answer is what is known of a request. There are three, and CannotTell where the journal has lost what it would take.
type Answer int

// Answers.
const (
	CannotTell  Answer = iota // what would say it is lost; Doubts tell where
	NeverHanded               // no server was handed the whole request
	Handed                    // a server was, and no answer was seen: it may have run
	Answered
)

var answerNames = [...]string{"cannot tell", "never handed to a server", "handed to a server, no answer seen (may have run)", "answered"}

func (a Answer) String() string { return answerNames[a] }

// MarshalText implements encoding.TextMarshaler.
func (a Answer) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// Attempt is one attempt as the journal has it.
type Attempt struct {
	Seq     uint64   `json:"seq"`
	Intent  *Intent  `json:"-"`
	Outcome *Outcome `json:"-"` // nil: none was recorded
	Never   bool     `json:"-"` // its intent was never acted on: the journal could not vouch for it
}

// Answer is what is known of the attempt alone.
func (a *Attempt) Answer() Answer {
	switch {
	case a.Never:
		return NeverHanded
	case a.Outcome == nil:
		return Handed
	}
	switch a.Outcome.Result {
	case Served, TurnedAway, Errored:
		return Answered
	case ConnectFailed, NotSent:
		return NeverHanded
	}
	return Handed
}

// Finding is what is known of one request.
type Finding struct {
	Request  string
	Answer   Answer
	Attempt  *Attempt   // the one that the answer rests on; nil: none was made
	Attempts []*Attempt // in order
	Doubts   []string   // what may have been lost; with them an absence proves nothing
}

// judge gives the answer that a request's attempts add up to: one that was served tells of an effect for certain; then one
// without an answer leaves it open; then what servers answered; and only where no attempt reached one it was never handed.
func judge(f *Finding) {
	rank := func(a *Attempt) int {
		switch a.Answer() {
		case Answered:
			if a.Outcome.Result == Served {
				return 4
			}
			return 2
		case Handed:
			return 3
		}
		return 1
	}
	best := 0
	for _, a := range f.Attempts {
		if r := rank(a); r >= best {
			best, f.Attempt = r, a
		}
	}
	switch {
	case best > 1:
		f.Answer = f.Attempt.Answer()
	case len(f.Doubts) > 0: // an attempt that is lost may have been handed over
		f.Answer = CannotTell
	default:
		f.Answer = NeverHanded
	}
}

// Loss is a stretch of a journal that can't be read any more although it was on disk, or that a newer program wrote.
type Loss struct {
	Segment  uint64    `json:"segment"`
	Offset   int64     `json:"offset"`  // of the first byte that can't be read
	Records  uint32    `json:"records"` // that are lost; 0: not known
	After    time.Time `json:"after"`   // the records around it are of these times; zero: there is none
	Before   time.Time `json:"before"`
	Newer    bool      `json:"newer,omitempty"` // not damaged, but written by a newer program
	Describe string    `json:"describe"`
}

func (l Loss) String() string {
	s := fmt.Sprintf("segment %d from byte %d: %s", l.Segment, l.Offset, l.Describe)
	if l.Records > 0 {
		s += fmt.Sprintf(" (%d records)", l.Records)
	}
	return s + span(l.After, l.Before)
}

func span(from, to time.Time) string {
	text := func(t time.Time) string { return t.UTC().Format("2006-01-02T15:04:05.000Z") }
	switch {
	case !from.IsZero() && !to.IsZero():
		return ", between " + text(from) + " and " + text(to)
	case !from.IsZero():
		return ", after " + text(from)
	case !to.IsZero():
		return ", before " + text(to)
	}
	return ""
}

// Book holds what a journal says. Records are put into it in the journal's order. Keep, if it is not nil, tells which
// requests are kept; what Book holds of the others is bounded by those that are open.
type Book struct {
	Keep func(*Intent) bool

	open     map[uint64]*Attempt // by sequence number, while they may still get an outcome
	byID     map[string][]*Attempt
	order    []string // ids, as they first came
	losses   []Loss
	gaps     []Gap
	starts   int
	began    time.Time // of the first record
	last     time.Time
	back     int // times that the wall clock stepped back
	running  *Start
	crashed  []Gap // ends of runs that serve unrecorded and crashed
	intents  int
	outcomes int
	strays   int // outcomes of no attempt that is open: its intent is lost, or they were told again after a failed write
}

// NewBook returns an empty one.
func NewBook(keep func(*Intent) bool) *Book {
	return &Book{Keep: keep, byID: map[string][]*Attempt{}, open: map[uint64]*Attempt{}}
}

// Put takes one record with its sequence number: the segment's in the upper half, its place there in the lower.
func (b *Book) Put(seq uint64, record any) {
	before := b.last
	if at := At(record); !at.IsZero() {
		if b.began.IsZero() {
			b.began = at
		}
		if at.Before(b.last.Add(-time.Millisecond)) {
			if _, late := record.(*Outcome); !late { // those may stand in a segment before
				b.back++
			}
		}
		b.last = at
	}
	switch r := record.(type) {
	case *Intent:
		b.intents++
		a := &Attempt{Seq: seq, Intent: r}
		b.open[seq] = a
		if b.Keep == nil || b.Keep(r) {
			if b.byID[r.Request] == nil {
				b.order = append(b.order, r.Request)
			}
			b.byID[r.Request] = append(b.byID[r.Request], a)
		}
	case *Outcome:
		b.outcomes++
		a := b.open[r.Intent]
		if a == nil {
			b.strays++
			return
		}
		a.Outcome = r
		delete(b.open, r.Intent)
	case *Follows:
		if r.Poisoned {
			for s, a := range b.open {
				if s>>32 == r.Prev && uint32(s) >= r.Stable {
					a.Never = true
					delete(b.open, s)
				}
			}
		}
	case *Start:
		b.starts++
		b.end(before, r.At)
		b.running = r
	case *Stop:
		b.running = nil
	case *Gap:
		b.gaps = append(b.gaps, *r)
	}
}

// end notes a run that ended without a word, where that leaves something unsaid.
func (b *Book) end(last, before time.Time) {
	if b.running != nil && b.running.Unrecorded {
		b.crashed = append(b.crashed, Gap{From: last, To: before, Why: "the daemon ended without a word and serves unrecorded when it can't write"})
	}
}

// Lost takes a stretch that can't be read.
func (b *Book) Lost(l Loss) { b.losses = append(b.losses, l) }

// doubts are what may have been lost between two times; zero ones are no bound.
func (b *Book) doubts(from, to time.Time) (out []string) {
	apart := func(lo, hi time.Time) bool {
		return !from.IsZero() && !hi.IsZero() && hi.Before(from) || !to.IsZero() && !lo.IsZero() && lo.After(to)
	}
	for _, l := range b.losses {
		if !apart(l.After, l.Before) {
			out = append(out, l.String())
		}
	}
	for _, g := range append(append([]Gap(nil), b.gaps...), b.crashed...) {
		if !apart(g.From, g.To) {
			n := "requests"
			if g.Count > 0 {
				n = fmt.Sprintf("%d requests", g.Count)
			}
			out = append(out, fmt.Sprintf("%s may have gone out unrecorded%s: %s", n, span(g.From, g.To), g.Why))
		}
	}
	if !from.IsZero() && (b.began.IsZero() || from.Before(b.began)) {
		out = append(out, "the journal begins later"+span(time.Time{}, b.began))
	}
	return out
}

// Find gives what is known of a request that came between two times, if those are known.
func (b *Book) Find(id string, from, to time.Time) Finding {
	f := Finding{Request: id, Attempts: b.byID[id], Doubts: b.doubts(from, to)}
	judge(&f)
	return f
}

// Each gives a finding for every request that is kept, as they first came.
func (b *Book) Each(f func(Finding)) {
	for _, id := range b.order {
		f(b.Find(id, time.Time{}, time.Time{}))
	}
}

// Open are the attempts that stand without an outcome, in order.
func (b *Book) Open() []*Attempt {
	out := make([]*Attempt, 0, len(b.open))
	for _, a := range b.open {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Seq < out[j].Seq })
	return out
}

// Stat are the figures of a journal.
type Stat struct {
	Intents   int       `json:"intents"`
	Outcomes  int       `json:"outcomes"`
	Open      int       `json:"open"`
	Runs      int       `json:"runs"`
	Gaps      []Gap     `json:"gaps,omitempty"`
	Losses    []Loss    `json:"losses,omitempty"`
	From      time.Time `json:"from"`
	To        time.Time `json:"to"`
	ClockBack int       `json:"clock_stepped_back"` // times that the wall clock did
	Strays    int       `json:"outcomes_unmatched"` // their intent is lost, or they were told again after a failed write
}

// Stat gives them.
func (b *Book) Stat() Stat {
	return Stat{Intents: b.intents, Outcomes: b.outcomes, Open: len(b.open), Runs: b.starts, Gaps: append(append([]Gap(nil), b.gaps...), b.crashed...),
		Losses: b.losses, From: b.began, To: b.last, ClockBack: b.back, Strays: b.strays}
}
