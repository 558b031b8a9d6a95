// Package audit says what a recording can't be trusted for, with codes and evidence, before anything is made of it. It does no
// I/O and guesses nothing: entries come in the order of their sources, findings come out. Start reading at Auditor.
package audit

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"saltmast/internal/recording"
)

// Code names a kind of finding. Codes are part of the command line: they never change their meaning.
type Code string

// Codes.
const (
	NoStart     Code = "no-start"     // entries whose start is not told
	EndStamp    Code = "end-stamp"    // times are of the end and durations are missing, or the format does not tell which they are
	NoDuration  Code = "no-duration"  // entries whose duration is not told
	CoarseClock Code = "coarse-clock" // times of one second or more: the shape of arrivals within it is unknown
	OutOfOrder  Code = "out-of-order" // starts that come later in their source than they should, beyond the bound
	ClockStep   Code = "clock-step"   // a source's clock was set back or forth
	NoZone      Code = "no-zone"      // times that name no zone
	MixedZones  Code = "mixed-zones"  // zones change, within a source or between them
	TwoClocks   Code = "two-clocks"   // sources that saw the same requests tell other times
	Truncated   Code = "truncated"    // a source is cut off
	Unreadable  Code = "unreadable"   // entries that can't be read
	Duplicate   Code = "duplicate"    // entries that are there twice
	Unmatched   Code = "unmatched"    // requests that no rule maps
	CardNumber  Code = "card-number"  // card numbers in clear
	Secret      Code = "secret"       // credentials in clear
	Backwards   Code = "ends-before-start"
	Cached      Code = "cached"  // entries that no server saw
	Aborted     Code = "aborted" // entries without an answer
	Short       Code = "short"   // less than a second in all
	Empty       Code = "empty"   // no entries
)

// Codes are all of them.
var Codes = []Code{NoStart, EndStamp, NoDuration, CoarseClock, OutOfOrder, ClockStep, NoZone, MixedZones, TwoClocks, Truncated, Unreadable, Duplicate,
	Unmatched, CardNumber, Secret, Backwards, Cached, Aborted, Short, Empty}

// Finding is what a recording can't be trusted for.
type Finding struct {
	Code  Code   `json:"code"`
	Count int    `json:"count"`
	First string `json:"first,omitempty"` // source:line
	What  string `json:"what"`
}

// Source is what was read of one.
type Source struct {
	Name       string        `json:"name"`
	Entries    int           `json:"entries"`
	From       time.Time     `json:"from"`
	To         time.Time     `json:"to"`
	Resolution time.Duration `json:"resolution_ns"` // of its clock, as its times show it as a whole
	Zones      []string      `json:"zones,omitempty"`

	last   time.Time // the latest start so far
	clock  recording.Clock
	coarse string // its first entry of whole seconds
}

// Report is what an audit found.
type Report struct {
	Entries  int           `json:"entries"`
	Findings []Finding     `json:"findings"`
	Sources  []*Source     `json:"sources"`
	From     time.Time     `json:"from"`
	Width    time.Duration `json:"bin_ns"` // of one bin of Counts
	Counts   []int         `json:"counts"` // starts in each
}

// Clean reports whether nothing was found but what is accepted. open are the codes that are not.
func (r *Report) Clean(accepted []string) (open []Code) {
	for _, f := range r.Findings {
		if !slices.Contains(accepted, string(f.Code)) {
			open = append(open, f.Code)
		}
	}
	return open
}

// Options are the bounds of an audit. Zero values stand for the defaults.
type Options struct {
	Late time.Duration // a start may come so much later in its source than one that follows; 5 s
	Step time.Duration // beyond that it is a clock that was set; 60 s
	IDs  []string      // fields by which the same request is known in two sources; x-request-id, x-call-id, traceparent
}

const (
	defaultLate = 5 * time.Second
	defaultStep = time.Minute
	// recent bounds the entries among which duplicates are looked for, and known the ids that are matched between sources.
	recent = 1 << 17
	known  = 1 << 18
	// maxBins bounds the picture: its bins grow as the recording does.
	maxBins = 512
	// offsets bounds the pairs from which the difference of two clocks is found.
	offsets = 4096
	// tellApart is the difference of two clocks from which it is told.
	tellApart = 250 * time.Millisecond
)

// Auditor takes entries and finds what can't be trusted. It is not safe for use by many.
type Auditor struct {
	o        Options
	findings map[Code]*Finding
	sources  map[string]*Source
	order    []*Source
	entries  int

	seen   map[uint64]struct{} // digests of the entries before
	ring   []uint64
	at     int
	ids    map[uint64]sighting
	pairs  map[[2]string][]pair
	counts map[int64]int // by bin
	width  time.Duration
}

type sighting struct {
	source string
	start  time.Time
}

type pair struct {
	at   time.Time
	diff time.Duration
}

// New returns an auditor that has seen nothing.
func New(o Options) *Auditor {
	if o.Late == 0 {
		o.Late = defaultLate
	}
	if o.Step == 0 {
		o.Step = defaultStep
	}
	if o.IDs == nil {
		o.IDs = []string{"x-request-id", "x-call-id", "traceparent"}
	}
	return &Auditor{o: o, findings: map[Code]*Finding{}, sources: map[string]*Source{}, seen: map[uint64]struct{}{}, ids: map[uint64]sighting{},
		pairs: map[[2]string][]pair{}, counts: map[int64]int{}, width: time.Second}
}

func (a *Auditor) find(c Code, where, what string) {
	f := a.findings[c]
	if f == nil {
		f = &Finding{Code: c, First: where, What: what}
		a.findings[c] = f
	}
	f.Count++
}

func (a *Auditor) source(name string) *Source {
	s := a.sources[name]
	if s == nil {
		s = &Source{Name: name}
		a.sources[name] = s
		a.order = append(a.order, s)
	}
	return s
}

// Unreadable takes an entry that can't be read.
func (a *Auditor) Unreadable(e *recording.LineError) {
	a.source(e.Source)
	a.find(Unreadable, fmt.Sprintf("%s:%d", e.Source, e.Line), "entries that can't be read are left out: "+e.Why)
}

// Truncated takes the word that a source is cut off behind a line.
func (a *Auditor) Truncated(source string, line int64) {
	a.source(source)
	a.find(Truncated, fmt.Sprintf("%s:%d", source, line), "the source ends amid an entry: what followed is not known")
}

// Unmatched takes an entry that no rule maps to a class.
func (a *Auditor) Unmatched(e *recording.Entry) {
	a.find(Unmatched, where(e), "requests that no rule maps are left out, such as "+clip(e.Method+" "+e.Path))
}

func where(e *recording.Entry) string { return fmt.Sprintf("%s:%d", e.Source, e.Line) }

func clip(s string) string {
	if len(s) > 60 {
		return s[:57] + "..."
	}
	return s
}

// Add takes an entry.
func (a *Auditor) Add(e *recording.Entry) {
	a.entries++
	s := a.source(e.Source)
	s.Entries++
	at := where(e)
	if e.Cached {
		a.find(Cached, at, "answered by the browser's own cache: no server saw them")
	}
	if e.Failed {
		a.find(Aborted, at, "there was no answer: what the server did is not known")
	}
	if e.Duration == recording.Unknown {
		a.find(NoDuration, at, "how long they took is not told")
	} else if e.Duration < 0 {
		a.find(Backwards, at, "they end before they start")
	}
	a.times(e, s, at)
	a.clear(e, at)
	a.duplicate(e, s, at)
}

func (a *Auditor) times(e *recording.Entry, s *Source, at string) {
	start, ok := e.Start()
	if e.Time.IsZero() {
		a.find(NoStart, at, "when they came is not told: they can't be replayed at their pace")
		return
	}
	switch {
	case e.Stamp == recording.AtEither:
		a.find(EndStamp, at, "the format does not tell whether times are of the start or the end of a request")
		start = e.Time
	case !ok:
		a.find(EndStamp, at, "times are of the end of a request, and how long it took is not told")
		start = e.Time
	}
	if !e.Zoned {
		a.find(NoZone, at, "times name no zone: they were taken for UTC")
	} else if _, off := e.Time.Zone(); true {
		zone := fmt.Sprintf("%+03d:%02d", off/3600, abs(off/60%60))
		if !slices.Contains(s.Zones, zone) && len(s.Zones) < 8 {
			s.Zones = append(s.Zones, zone)
			if len(s.Zones) > 1 {
				a.find(MixedZones, at, fmt.Sprintf("the zone changes from %s to %s within a source", s.Zones[len(s.Zones)-2], zone))
			}
		}
	}
	s.clock.Add(e.Resolution)
	if e.Resolution >= time.Second && s.coarse == "" {
		s.coarse = at
	}
	if s.From.IsZero() || start.Before(s.From) {
		s.From = start
	}
	if start.After(s.To) {
		s.To = start
	}
	// An entry is written when it ends, so starts come out of order by as much as requests take.
	slack := a.o.Late + e.Resolution
	if e.Duration > 0 {
		slack += e.Duration
	}
	switch back := s.last.Sub(start); {
	case s.last.IsZero():
	case back > a.o.Step+slack:
		a.find(ClockStep, at, fmt.Sprintf("the clock steps back by %s, from %s to %s", back.Round(time.Second), stamp(s.last), stamp(start)))
		s.last = start // from here on it is another clock
	case back > slack:
		a.find(OutOfOrder, at, fmt.Sprintf("%s later in its source than it should be (%s is allowed)", back.Round(time.Millisecond), slack.Round(time.Millisecond)))
	}
	if start.After(s.last) {
		s.last = start
	}
	a.count(start)
	a.match(e, start)
}

func abs(n int) int {
	if n < 0 {
		return -n
	}
	return n
}

func stamp(t time.Time) string { return t.UTC().Format("2006-01-02T15:04:05Z") }

// count puts a start into its bin; the bins grow so that there are no more than so many.
func (a *Auditor) count(t time.Time) {
	a.counts[t.UnixNano()/int64(a.width)]++
	for len(a.counts) > maxBins {
		wide := map[int64]int{}
		for k, n := range a.counts {
			wide[floor(k)] += n
		}
		a.counts, a.width = wide, 2*a.width
	}
}

func floor(k int64) int64 { return k >> 1 }

// match finds the same request in another source, by its id.
func (a *Auditor) match(e *recording.Entry, start time.Time) {
	for _, name := range a.o.IDs {
		id := e.Field[name]
		if id == "" {
			continue
		}
		h := digest(name, id)
		other, ok := a.ids[h]
		if !ok {
			if len(a.ids) < known {
				a.ids[h] = sighting{e.Source, start}
			}
			return
		}
		if other.source != e.Source {
			key := [2]string{other.source, e.Source}
			if len(a.pairs[key]) < offsets {
				a.pairs[key] = append(a.pairs[key], pair{other.start, start.Sub(other.start)})
			}
		}
		return
	}
}

func digest(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// duplicate finds an entry that was there already, among those before it. A request that came twice differs in its time, as a
// rule; where times are of whole seconds, only one with an id of its own counts.
func (a *Auditor) duplicate(e *recording.Entry, s *Source, at string) {
	id := ""
	for _, name := range a.o.IDs {
		if id = e.Field[name]; id != "" {
			break
		}
	}
	if e.Time.IsZero() || s.clock.Of(e.Resolution) > time.Millisecond && id == "" {
		return
	}
	d := digest(e.Time.UTC().Format(time.RFC3339Nano), e.Method, e.Host, e.Path, fmt.Sprint(e.Status, e.Duration), id, e.Field["remote_addr"], e.Field["client"])
	if _, ok := a.seen[d]; ok {
		a.find(Duplicate, at, "entries that are there twice, such as "+clip(e.Method+" "+e.Path))
		return
	}
	a.seen[d] = struct{}{}
	if len(a.ring) < recent {
		a.ring = append(a.ring, d)
		return
	}
	delete(a.seen, a.ring[a.at])
	a.ring[a.at] = d
	a.at = (a.at + 1) % recent
}

// secrets are fields that are credentials.
var secrets = []string{"authorization", "cookie", "proxy-authorization", "x-api-key"}

// clear looks for what should not stand in clear.
func (a *Auditor) clear(e *recording.Entry, at string) {
	for _, name := range secrets {
		if v := e.Field[name]; v != "" && v != "-" {
			a.find(Secret, at, "credentials in clear, such as "+name+": they are never sent on")
		}
	}
	if hasCard(e.Path) || hasCard(string(e.Body)) {
		a.find(CardNumber, at, "card numbers in clear, in a path or body")
		return
	}
	for name, v := range e.Field {
		if hasCard(v) {
			a.find(CardNumber, at, "card numbers in clear, in "+name)
			return
		}
	}
}

// hasCard reports whether a text holds a card number: 13 to 19 digits by themselves, maybe in groups of four, whose check digit
// is right and which begin as cards do.
func hasCard(s string) bool {
	for i := 0; i < len(s); {
		if s[i] < '0' || s[i] > '9' {
			i++
			continue
		}
		j := i
		digits := make([]byte, 0, 20)
		for j < len(s) && len(digits) <= 20 {
			switch {
			case s[j] >= '0' && s[j] <= '9':
				digits = append(digits, s[j]-'0')
			case (s[j] == ' ' || s[j] == '-') && len(digits)%4 == 0 && j+1 < len(s) && s[j+1] >= '0' && s[j+1] <= '9':
			default:
				goto end
			}
			j++
		}
	end:
		alone := (i == 0 || !letter(s[i-1]) && s[i-1] != '.') && (j == len(s) || !letter(s[j]) && s[j] != '.')
		if alone && len(digits) >= 13 && len(digits) <= 19 && digits[0] >= 2 && digits[0] <= 6 && luhn(digits) {
			return true
		}
		for j < len(s) && s[j] >= '0' && s[j] <= '9' {
			j++
		}
		i = max(j, i+1)
	}
	return false
}

func letter(c byte) bool { return c|0x20 >= 'a' && c|0x20 <= 'z' || c == '_' }

func luhn(digits []byte) bool {
	sum := 0
	for i := range digits {
		d := int(digits[len(digits)-1-i])
		if i%2 == 1 {
			if d *= 2; d > 9 {
				d -= 9
			}
		}
		sum += d
	}
	return sum%10 == 0
}

// clocks compares sources that saw the same requests.
func (a *Auditor) clocks() {
	keys := make([][2]string, 0, len(a.pairs))
	for k := range a.pairs {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i][0]+"\x00"+keys[i][1] < keys[j][0]+"\x00"+keys[j][1] })
	for _, k := range keys {
		pairs := a.pairs[k]
		if len(pairs) < 5 {
			continue // a handful says nothing of clocks
		}
		sort.Slice(pairs, func(i, j int) bool { return pairs[i].at.Before(pairs[j].at) })
		diffs := make([]time.Duration, len(pairs))
		for i, p := range pairs {
			diffs[i] = p.diff
		}
		slices.Sort(diffs)
		median := diffs[len(diffs)/2]
		// The drift: between the medians of the first and the last quarter.
		quarter := max(1, len(pairs)/4)
		first, last := middle(pairs[:quarter]), middle(pairs[len(pairs)-quarter:])
		span := last.at.Sub(first.at)
		drift := last.diff - first.diff
		if median.Abs() < tellApart && drift.Abs() < tellApart {
			continue
		}
		what := fmt.Sprintf("%s is %s against %s, by %d requests that both saw", k[1], signed(median), k[0], len(pairs))
		if drift.Abs() >= tellApart/5 && span > time.Second {
			what += fmt.Sprintf("; that changes by %s in %s", signed(drift), span.Round(time.Second))
		}
		f := a.findings[TwoClocks]
		if f == nil {
			a.find(TwoClocks, "", what)
		} else {
			f.Count++
			f.What += "; " + what
		}
	}
}

func signed(d time.Duration) string {
	if d < 0 {
		return d.Round(time.Millisecond).String()
	}
	return "+" + d.Round(time.Millisecond).String()
}

func middle(pairs []pair) pair {
	d := make([]time.Duration, len(pairs))
	for i, p := range pairs {
		d[i] = p.diff
	}
	slices.Sort(d)
	return pair{pairs[len(pairs)/2].at, d[len(d)/2]}
}

// Report says what was found.
func (a *Auditor) Report() *Report {
	a.clocks()
	r := &Report{Entries: a.entries, Findings: []Finding{}, Sources: a.order, Width: a.width}
	zones := map[string]string{}
	var from, to time.Time
	for _, s := range a.order {
		s.Resolution = s.clock.Resolution()
		if n := s.clock.Whole(); n > 0 {
			a.find(CoarseClock, s.coarse, "times are of whole seconds: how requests come within one is not known")
			a.findings[CoarseClock].Count += n - 1
		}
		for _, z := range s.Zones {
			zones[z] = s.Name
		}
		if s.From.IsZero() {
			continue
		}
		if from.IsZero() || s.From.Before(from) {
			from = s.From
		}
		if s.To.After(to) {
			to = s.To
		}
	}
	if a.findings[MixedZones] == nil && len(zones) > 1 {
		names := make([]string, 0, len(zones))
		for z := range zones {
			names = append(names, z)
		}
		slices.Sort(names)
		a.find(MixedZones, "", "sources are of different zones: "+strings.Join(names, ", "))
	}
	switch {
	case a.entries == 0:
		a.find(Empty, "", "there is nothing in it")
	case !from.IsZero() && to.Sub(from) < time.Second:
		a.find(Short, "", fmt.Sprintf("%s in all: no rate can be told", to.Sub(from)))
	}
	for _, c := range Codes {
		if f := a.findings[c]; f != nil {
			r.Findings = append(r.Findings, *f)
		}
	}
	lo, hi := int64(math.MaxInt64), int64(math.MinInt64)
	for k := range a.counts {
		lo, hi = min(lo, k), max(hi, k)
	}
	if lo <= hi && hi-lo < 100*maxBins {
		r.From = time.Unix(0, lo*int64(a.width)).UTC()
		r.Counts = make([]int, hi-lo+1)
		for k, n := range a.counts {
			r.Counts[k-lo] = n
		}
	}
	return r
}
