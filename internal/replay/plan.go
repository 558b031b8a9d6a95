// Package replay turns a recording into a plan of load: which request is sent when, under fresh ids, keys and accounts, at the
// recording's own pace or thinned or thickened in its shape. It does no I/O and holds a window of the recording, not all of it.
// Start reading at Planner.
package replay

import (
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"saltmast/internal/recording"
	"saltmast/internal/recording/mapping"
)

// Options say how a recording is replayed. Zero values stand for 1 and for no bound.
type Options struct {
	Run   uint64        // marks all that is sent: two runs share no id, key or account
	Seed  uint64        // draws what is thinned out, and moments within a coarse clock's unit
	Speed float64       // divides the time between requests
	Scale float64       // times as many requests in the same time; below 1 thins, above 1 thickens
	Retry time.Duration // a request of the same operation that comes so much later is a retry of it; 10 s
	// Waterfall keeps the order of dependence within a page of a browser's recording: what began after something else of its
	// page had ended waits for that, and as long again as it did then.
	Waterfall bool
}

const (
	defaultRetry = 10 * time.Second
	// maxScale bounds the copies of one request.
	maxScale = 10_000
	// maxFamilies bounds the operations that are known at once.
	maxFamilies = 1 << 17
	// maxPages and maxOnPage bound what is known of browsers' pages.
	maxPages  = 1024
	maxOnPage = 512
)

// Planned is one request to send.
type Planned struct {
	At      time.Duration // from the start of the replay
	Class   string
	Tenant  string // as recorded: it names no one
	ID      string // 16 hex digits, of this request alone
	Key     string // "" where the recorded one had none
	Account string // made up; "" where the recorded one had none
	Route   string // made up
	Op      uint64 // of the operation: a retry has that of what it repeats
	Copy    int    // which copy of the recorded operation, 0 for itself
	Try     int    // 0 for the first; a retry is only sent where the tries before it were refused
	Body    int    // bytes
	Entry   *recording.Entry

	After Operation     // what it waits for; zero: nothing
	Gap   time.Duration // and how long after the answer of that
}

// Operation names one of a plan. Op is 0 for none.
type Operation struct {
	Op   uint64
	Copy int
}

// Planner takes mapped entries in the order of their starts and gives what to send, in the order of its moments.
type Planner struct {
	o        Options
	first    time.Time
	last     time.Time
	started  bool
	most     int     // families that are known at once
	sum      float64 // of the fractions so far
	stretch  float64
	next     float64 // sum at which one more is due
	families map[string]*family
	rng      *rand.Rand
	n        uint64
	pending  []Planned // the copies that lie before the next entry
	base     time.Duration
	pages    map[string]*page
	browsers []string // the keys of pages, oldest first
}

// page is what is known of a browser's page: the requests that have ended so far, the latest end last.
type page struct{ ended []ended }

type ended struct {
	at   time.Time
	op   uint64
	kept []int
}

// family is a recorded operation: its first request and the retries of it.
type family struct {
	op    uint64
	last  time.Time
	tries int
	kept  []int // copies that are sent
}

// Errors of New.
var (
	ErrSpeed = errors.New("the speed is not above 0, or beyond 1000")
	ErrScale = fmt.Errorf("the scale is not above 0, or beyond %d", maxScale)
)

// New returns a planner that has taken nothing.
func New(o Options) (*Planner, error) {
	if o.Speed == 0 {
		o.Speed = 1
	}
	if o.Scale == 0 {
		o.Scale = 1
	}
	if o.Retry == 0 {
		o.Retry = defaultRetry
	}
	if !(o.Speed > 0) || o.Speed > 1000 {
		return nil, ErrSpeed
	}
	if !(o.Scale > 0) || o.Scale > maxScale {
		return nil, ErrScale
	}
	p := &Planner{o: o, most: maxFamilies, families: map[string]*family{}, pages: map[string]*page{}, rng: rand.New(rand.NewPCG(o.Seed, 0x7265706c6179))}
	p.next = p.rng.Float64()
	return p, nil
}

// ErrOrder is the error of an entry that starts before the one that was taken last.
var ErrOrder = errors.New("entries are not in the order of their starts")

// Add takes an entry that started at a moment and gives what is to be sent up to that moment. The result holds until the next
// call. A retry of an operation goes with it: it is sent for each copy that was.
//
// Thickening divides each gap: where one request followed another after g, Scale times as many follow each other after g/Scale,
// so bursts stay bursts and lulls lulls. Thinning keeps each operation with the probability Scale, drawn by the seed.
func (p *Planner) Add(e *recording.Entry, start time.Time, m mapping.Mapped) ([]Planned, error) {
	if !p.started {
		p.started, p.first, p.last = true, start, start
	}
	if start.Before(p.last) {
		return nil, ErrOrder
	}
	defer p.depend(e, start)
	gap := start.Sub(p.last)
	p.last = start
	p.pending = p.pending[:0]
	if f, try := p.retry(start, m); f != nil {
		for _, c := range f.kept {
			p.pending = append(p.pending, p.planned(e, start, m, f, c, try))
		}
		return p.pending, nil
	}
	f := p.family(start, m)
	switch {
	case p.o.Scale < 1:
		if p.rng.Float64() < p.o.Scale {
			f.kept = append(f.kept, 0)
			p.pending = append(p.pending, p.planned(e, start, m, f, 0, 0))
		}
	default:
		// The recorded request stands for Scale of them: they divide the gap before it evenly, the last at its own moment. Carrying
		// fractions on to the next gap would even the gaps out, and the bursts with them. So of a fraction some requests stand for one
		// more: one in each stretch of 1/fraction, drawn by the seed, so that no second gets too many and no class is preferred.
		whole, part := math.Modf(p.o.Scale)
		n := int(whole)
		for p.sum += part; p.sum > p.next; n++ {
			p.stretch++
			p.next = p.stretch + p.rng.Float64()
		}
		for c := range n {
			at := start.Add(-time.Duration(float64(gap) * float64(n-1-c) / float64(n)))
			f.kept = append(f.kept, c)
			p.pending = append(p.pending, p.planned(e, at, m, f, c, 0))
		}
	}
	return p.pending, nil
}

// Again has the recording begin anew behind what was planned: what Add takes from now on lies after a pause of gap, as
// recorded, and is other operations than before.
func (p *Planner) Again(gap time.Duration) {
	if !p.started {
		return
	}
	p.base += p.last.Sub(p.first) + gap
	p.started = false
	clear(p.families)
	clear(p.pages)
	p.browsers = nil
}

// depend notes on what the requests of a browser's page wait, and what later ones may wait for. It ends Add.
func (p *Planner) depend(e *recording.Entry, start time.Time) {
	name := e.Field["har-page"]
	if !p.o.Waterfall || name == "" || len(p.pending) == 0 {
		return
	}
	name = e.Source + "\x00" + name
	g := p.pages[name]
	if g == nil {
		if len(p.browsers) >= maxPages {
			delete(p.pages, p.browsers[0])
			p.browsers = p.browsers[1:]
		}
		g = &page{}
		p.pages[name] = g
		p.browsers = append(p.browsers, name)
	}
	// The latest end that lies before this start: what a browser was waiting for last.
	i, _ := slices.BinarySearchFunc(g.ended, start, func(x ended, t time.Time) int {
		if x.at.After(t) {
			return 1
		}
		return -1
	})
	if i > 0 {
		f := g.ended[i-1]
		for k := range p.pending {
			if slices.Contains(f.kept, p.pending[k].Copy) && f.op != p.pending[k].Op {
				p.pending[k].After = Operation{f.op, p.pending[k].Copy}
				p.pending[k].Gap = time.Duration(float64(start.Sub(f.at)) / p.o.Speed)
			}
		}
	}
	if e.Duration < 0 || p.pending[0].Try > 0 {
		return
	}
	x := ended{at: start.Add(e.Duration), op: p.pending[0].Op}
	for k := range p.pending {
		x.kept = append(x.kept, p.pending[k].Copy)
	}
	i, _ = slices.BinarySearchFunc(g.ended, x, func(a, b ended) int { return a.at.Compare(b.at) })
	if g.ended = slices.Insert(g.ended, i, x); len(g.ended) > maxOnPage {
		g.ended = g.ended[1:]
	}
}

// identity is what an operation is known by: its key, or else its id; "" for neither.
func identity(m mapping.Mapped) string {
	switch {
	case m.Key != "":
		return m.Class + "\x00k" + m.Key
	case m.ID != "":
		return m.Class + "\x00i" + m.ID
	}
	return ""
}

// retry finds the operation that a request repeats.
func (p *Planner) retry(start time.Time, m mapping.Mapped) (*family, int) {
	f := p.families[identity(m)]
	if identity(m) == "" || f == nil || start.Sub(f.last) > p.o.Retry {
		return nil, 0
	}
	f.tries++
	f.last = start
	return f, f.tries
}

// family notes a new operation, and forgets those that no retry can be of any more.
func (p *Planner) family(start time.Time, m mapping.Mapped) *family {
	p.n++
	f := &family{op: p.n, last: start}
	id := identity(m)
	if id == "" {
		return f
	}
	if len(p.families) >= p.most {
		for k, x := range p.families {
			if start.Sub(x.last) > p.o.Retry {
				delete(p.families, k)
			}
		}
	}
	if len(p.families) < p.most {
		p.families[id] = f
	}
	return f
}

func (p *Planner) planned(e *recording.Entry, at time.Time, m mapping.Mapped, f *family, c, try int) Planned {
	q := Planned{At: time.Duration(float64(p.base+at.Sub(p.first)) / p.o.Speed), Class: m.Class, Tenant: m.Tenant, Op: f.op, Copy: c, Try: try, Body: len(e.Body), Entry: e}
	if len(e.Body) == 0 && e.Sent > 0 {
		q.Body = int(min(e.Sent, recording.MaxBody))
	}
	q.ID = p.name("id", f.op, uint64(c), uint64(try))
	if m.Key != "" {
		q.Key = fmt.Sprintf("replay-%08x-%s", uint32(p.o.Run), p.name("key", f.op, uint64(c), 0))
	}
	// A copy is another operation of another account; the recorded account keeps one made-up name through the run.
	if m.Account != "" {
		q.Account = fmt.Sprintf("replay-%08x-%s", uint32(p.o.Run), p.name("account "+m.Account, 0, uint64(c), 0))
	}
	if m.Route != "" {
		q.Route = p.name("route "+m.Route, 0, uint64(c), 0)
	}
	return q
}

// name makes 16 hex digits that follow from the run and from what they name.
func (p *Planner) name(what string, parts ...uint64) string {
	h := fnv.New128a()
	b := binary.BigEndian.AppendUint64(nil, p.o.Run)
	b = binary.BigEndian.AppendUint64(b, p.o.Seed)
	for _, x := range parts {
		b = binary.BigEndian.AppendUint64(b, x)
	}
	h.Write(b)
	h.Write([]byte(what))
	sum := h.Sum(nil)
	var out [8]byte
	for i := range out {
		out[i] = sum[i] ^ sum[i+8]
	}
	return hex.EncodeToString(out[:])
}
