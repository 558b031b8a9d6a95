package loganalysis

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Endings are how a request ends that is not answered in target, as the columns of a Row.
var Endings = [...]string{"refused", "failed", "late"}

// Row is what one cause took, by ending.
type Row struct {
	Cause   string `json:"cause"`
	Refused int64  `json:"refused"`
	Failed  int64  `json:"failed"`
	Late    int64  `json:"late"`
}

// All is the sum of a row.
func (r Row) All() int64 { return r.Refused + r.Failed + r.Late }

// Kind is what became of the requests of one kind of routes.
type Kind struct {
	Kind     string `json:"kind"`
	InTarget int64  `json:"in_target"`
	Missed   int64  `json:"missed"`
}

// Share is the part of them in target.
func (k Kind) Share() float64 { return share(k.InTarget, k.Missed) }

// Sum is what became of requests.
type Sum struct {
	InTarget int64 `json:"in_target"`
	Lost     int64 `json:"lost"` // the sum of Rows
	Rows     []Row `json:"causes"`
}

// Share is the part of the requests that ended in target; 1 where none did end.
func (s Sum) Share() float64 { return share(s.InTarget, s.Lost) }

func share(in, lost int64) float64 {
	if in+lost <= 0 {
		return 1
	}
	return float64(in) / float64(in+lost)
}

// Machine is what one tug counted.
type Machine struct {
	Name   string `json:"name"`
	Starts int    `json:"starts"` // seen in the log
	Headed bool   `json:"headed"` // false: what it counted before its first line of counters is not in the sum
	Sum
}

// Span is what all tugs counted in an interval. A line's counts belong to the middle of the time since the one before.
type Span struct {
	From time.Time `json:"from"`
	Sum
	Events map[string]int `json:"events,omitempty"` // changes by event, those not kept among them
}

// Change is a line that tells of a change.
type Change struct {
	At    time.Time `json:"at"`
	Name  string    `json:"name"`
	Event string    `json:"event"`
	Text  string    `json:"text"`
}

// Day is what a Book has in it.
type Day struct {
	From     time.Time      `json:"from"`
	To       time.Time      `json:"to"`
	Every    float64        `json:"every_s"`  // seconds of a span
	Requests int64          `json:"requests"` // heads read; those under way at the last line have not ended
	Lines    int64          `json:"lines"`    // of programs
	Sum                     // of all tugs
	Kinds    []Kind         `json:"kinds"`
	Machines []Machine      `json:"machines"`
	Spans    []Span         `json:"spans"`
	Changes  []Change       `json:"changes"` // by time
	Events   map[string]int `json:"events"`  // changes by event, those not kept among them
	Unkept   int            `json:"unkept"`  // changes that are counted and not kept
}

// Headless is how many tugs counted what is not in the sum.
func (d *Day) Headless() (n int) {
	for _, m := range d.Machines {
		if !m.Headed {
			n++
		}
	}
	return n
}

// Bounds of a book.
const (
	mostSpans    = 600  // more have their width doubled
	mostMachines = 4096 // more are an error
	mostCauses   = 64   // more are put down to "other"
	mostChanges  = 1000 // of one event; more are counted alone
	mostText     = 160  // bytes of a change
)

// Lanes are the events that tell of changes.
var Lanes = []string{"started", "stopping", "backend", "member", "gone", "state", "disk", "repair", "roll", "configuration", "change"}

// Book takes lines and sums them up. Counters are totals since their program's start: what is added is the difference to the
// line before, of the same program. A start, or a count that falls, begins anew.
type Book struct {
	every    int64 // ms
	machines map[string]*machine
	spans    map[int64]*sum
	total    *sum
	causes   map[string]bool
	changes  map[string][]Change
	events   map[string]int
	from, to int64
	lines    int64
}

type machine struct {
	last   map[string]int64
	at     int64 // of the last line of counters, or of the start
	begun  bool  // last is of this run
	starts int
	tug    bool
	headed bool
	sum    *sum
}

// sum adds up counters by name.
type sum struct {
	requests int64
	kinds    map[string]*[2]int64
	causes   map[string]*[len(Endings)]int64
	events   map[string]int
}

func newSum() *sum {
	return &sum{kinds: map[string]*[2]int64{}, causes: map[string]*[len(Endings)]int64{}, events: map[string]int{}}
}

// New returns an empty book whose spans are so long, 1 ms at the least.
func New(every time.Duration) *Book {
	return &Book{every: max(1, every.Milliseconds()), machines: map[string]*machine{}, spans: map[int64]*sum{}, total: newSum(), causes: map[string]bool{},
		changes: map[string][]Change{}, events: map[string]int{}}
}

// File is a log that is being read. Programs without a name before their lines are called by what their start says, and before
// that as the file is.
type File struct {
	b       *Book
	name    string
	started string
}

// File begins a log.
func (b *Book) File(name string) *File { return &File{b: b, name: name} }

// Take takes the next line.
func (f *File) Take(raw []byte) error {
	l, ours, err := Read(raw)
	if err != nil || !ours {
		return err
	}
	if l.Name == "" {
		if name := startOf(l); name != "" {
			if f.started != "" && f.started != name {
				return fmt.Errorf("%s beside %s, and no names before their lines: which counters are whose can't be told", name, f.started)
			}
			f.started, f.name = name, name
		}
		l.Name = f.name
	}
	return f.b.add(l)
}

// startOf reads who starts: "tug 0.1.0 on quay-4" is quay-4, another program quay-4/purser.
func startOf(l Line) string {
	w := strings.Fields(l.Text)
	switch {
	case l.Event != "started" || len(w) != 4 || w[2] != "on":
		return ""
	case w[0] == "tug":
		return w[3]
	}
	return w[3] + "/" + w[0]
}

func (b *Book) add(l Line) error {
	b.lines++
	if b.from == 0 || l.At < b.from {
		b.from = l.At
	}
	b.to = max(b.to, l.At)
	m := b.machines[l.Name]
	if m == nil {
		if len(b.machines) >= mostMachines {
			return fmt.Errorf("more than %d programs", mostMachines)
		}
		m = &machine{sum: newSum(), at: l.At}
		b.machines[l.Name] = m
	}
	switch {
	case l.Event == "counters":
		b.count(m, l)
		return nil
	case l.Event == "started":
		m.last, m.at, m.begun = nil, l.At, true
		m.starts++
	}
	if slices.Contains(Lanes, l.Event) {
		b.events[l.Event]++
		b.span(l.At).events[l.Event]++
		if of := b.changes[l.Event]; len(of) < mostChanges {
			text := l.Text[:min(len(l.Text), mostText)]
			b.changes[l.Event] = append(of, Change{At: time.UnixMilli(l.At).UTC(), Name: strings.Clone(l.Name), Event: l.Event, Text: strings.Clone(strings.ToValidUTF8(text, ""))})
		}
	}
	return nil
}

// count takes a line of counters.
func (b *Book) count(m *machine, l Line) {
	if _, ok := l.Counts["requests"]; !ok {
		return // not a tug's
	}
	now := map[string]int64{}
	for name, n := range l.Counts {
		if name, ok := b.known(name); ok {
			now[name] += n
		}
	}
	if !m.tug {
		m.tug, m.headed = true, m.begun
	}
	if !m.begun { // of a log that begins amid its run
		m.last, m.at, m.begun = now, l.At, true
		return
	}
	for name, was := range m.last {
		if now[name] < was {
			m.last = nil
			m.starts++
			break
		}
	}
	s := b.span((min(m.at, l.At) + l.At) / 2)
	for name, n := range now {
		if n -= m.last[name]; n != 0 {
			m.sum.add(name, n)
			b.total.add(name, n)
			s.add(name, n)
		}
	}
	m.last, m.at = now, l.At
}

const (
	inTarget = "in_target_"
	missed   = "missed_"
)

// known is the name of a counter that is summed up: the same, or "other" as the cause beyond those that are told apart.
func (b *Book) known(name string) (string, bool) {
	if name == "requests" {
		return name, true
	}
	prefix, rest, _ := strings.Cut(name, "_")
	for _, p := range []string{inTarget, missed} {
		if r, ok := strings.CutPrefix(name, p); ok {
			prefix, rest = p, r
		}
	}
	if rest == "" || prefix != inTarget && prefix != missed && !slices.Contains(Endings[:], prefix) {
		return "", false
	}
	if !b.causes[rest] {
		if len(b.causes) >= mostCauses {
			return strings.TrimSuffix(name, rest) + "other", true
		}
		b.causes[rest] = true
	}
	return name, true
}

func (s *sum) add(name string, n int64) {
	if name == "requests" {
		s.requests += n
		return
	}
	for i, p := range []string{inTarget, missed} {
		if kind, ok := strings.CutPrefix(name, p); ok {
			at(s.kinds, kind)[i] += n
			return
		}
	}
	prefix, cause, _ := strings.Cut(name, "_")
	at(s.causes, cause)[slices.Index(Endings[:], prefix)] += n
}

func at[T any](m map[string]*T, key string) *T {
	if m[key] == nil {
		m[key] = new(T)
	}
	return m[key]
}

// span is the sum of the span that a time is in. Where there are too many, two become one until there are not.
func (b *Book) span(ms int64) *sum {
	for {
		if s := b.spans[ms/b.every]; s != nil {
			return s
		}
		if len(b.spans) < mostSpans {
			s := newSum()
			b.spans[ms/b.every] = s
			return s
		}
		wide := map[int64]*sum{}
		for i, s := range b.spans {
			if w := wide[i/2]; w != nil {
				w.join(s)
			} else {
				wide[i/2] = s
			}
		}
		b.every, b.spans = 2*b.every, wide
	}
}

func (s *sum) join(o *sum) {
	s.requests += o.requests
	for k, n := range o.events {
		s.events[k] += n
	}
	for k, v := range o.kinds {
		for i, n := range v {
			at(s.kinds, k)[i] += n
		}
	}
	for k, v := range o.causes {
		for i, n := range v {
			at(s.causes, k)[i] += n
		}
	}
}

// told is a sum as it is told: the heaviest causes first.
func (s *sum) told() (t Sum) {
	for _, k := range s.kinds {
		t.InTarget += k[0]
	}
	for cause, n := range s.causes {
		r := Row{cause, n[0], n[1], n[2]}
		t.Rows = append(t.Rows, r)
		t.Lost += r.All()
	}
	slices.SortFunc(t.Rows, func(a, b Row) int { return cmp.Or(cmp.Compare(b.All(), a.All()), strings.Compare(a.Cause, b.Cause)) })
	return t
}

// Day sums up what was taken.
func (b *Book) Day() *Day {
	d := &Day{From: time.UnixMilli(b.from).UTC(), To: time.UnixMilli(b.to).UTC(), Every: float64(b.every) / 1000, Requests: b.total.requests, Lines: b.lines,
		Sum: b.total.told(), Events: maps.Clone(b.events)}
	for _, k := range slices.Sorted(maps.Keys(b.total.kinds)) {
		n := b.total.kinds[k]
		d.Kinds = append(d.Kinds, Kind{k, n[0], n[1]})
	}
	for _, name := range slices.Sorted(maps.Keys(b.machines)) {
		if m := b.machines[name]; m.tug {
			d.Machines = append(d.Machines, Machine{Name: name, Starts: m.starts, Headed: m.headed, Sum: m.sum.told()})
		}
	}
	for _, i := range slices.Sorted(maps.Keys(b.spans)) {
		d.Spans = append(d.Spans, Span{From: time.UnixMilli(i * b.every).UTC(), Sum: b.spans[i].told(), Events: b.spans[i].events})
	}
	for _, e := range Lanes {
		d.Changes = append(d.Changes, b.changes[e]...)
		d.Unkept += b.events[e] - len(b.changes[e])
	}
	slices.SortStableFunc(d.Changes, func(a, b Change) int { return a.At.Compare(b.At) })
	return d
}

// Part is what part of all requests that ended n are.
func (d *Day) Part(n int64) string {
	return fmt.Sprintf("%.2f%%", 100*float64(n)/float64(max(1, d.InTarget+d.Lost)))
}

// Most names the heaviest causes, with their numbers.
func (s Sum) Most() string {
	var parts []string
	for _, r := range s.Rows[:min(3, len(s.Rows))] {
		parts = append(parts, fmt.Sprintf("%s %d", r.Cause, r.All()))
	}
	return strings.Join(parts, ", ")
}
