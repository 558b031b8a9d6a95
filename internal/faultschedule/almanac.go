// Package faultschedule is a seeded generator of fault-injection schedules: days for the operators' bench, with every kind of trouble that it
// knows, in every variant, at any moment, several at once, and within the losses that a deployment is to bear. Start reading at Draw.
package faultschedule

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"saltmast/internal/tomlfile"
)

// Site is what a draw needs to know of a deployment.
type Site struct {
	Name   string  `toml:"name"`
	Length float64 `toml:"length_s"` // of a day's traffic, in s
	// Contracts are the parts of the rules that are in force; some kinds need one.
	Contracts []string   `toml:"contracts"`
	Zones     []Named    `toml:"zones"`
	Services  []Named    `toml:"services"`
	Machines  []Machines `toml:"machines"`
	Timing    struct {
		CatchUp float64 `toml:"catch_up_s"` // for which a machine that is back counts as lost, in s
	} `toml:"timing"`
	Tolerate struct {
		Machines int `toml:"machines"` // that count and may be lost at one time
	} `toml:"tolerate"`
	Bounds struct {
		Grace float64 `toml:"grace_s"` // from SIGTERM to SIGKILL, in s; 0: 6
	} `toml:"bounds"`
	Troubles []struct {
		Kind string `toml:"kind"`
	} `toml:"troubles"`
}

// Named is a zone or a service.
type Named struct {
	Name string `toml:"name"`
}

// Machines are some of one class in a zone.
type Machines struct {
	Class string `toml:"class"`
	Zone  string `toml:"zone"`
	Count int    `toml:"count"`
}

// The bounds of what a site file may say.
const (
	shortest = 10.0   // s of traffic
	longest  = 3600.0 // s
	mostCore = 100
)

// ReadSite reads what a draw needs of a site file. Its other keys are passed over.
func ReadSite(name string, text []byte) (*Site, error) {
	f, err := tomlfile.Read(name, text)
	if err != nil {
		return nil, err
	}
	s := &Site{}
	if err := f.Decode(s, false); err != nil {
		return nil, err
	}
	switch {
	case s.Name == "":
		return nil, f.Error("name", "missing")
	case !(s.Length >= shortest && s.Length <= longest):
		return nil, f.Error("length_s", fmt.Sprintf("%g: %g to %g wanted", s.Length, shortest, longest))
	case len(s.Zones) == 0:
		return nil, f.Error("zones", "none")
	case len(s.Services) == 0:
		return nil, f.Error("services", "none")
	case s.core() == 0 || s.core() > mostCore:
		return nil, f.Error("machines", fmt.Sprintf("%d of class core: 1 to %d wanted", s.core(), mostCore))
	case s.Tolerate.Machines < 0 || s.Tolerate.Machines >= s.core():
		return nil, f.Error("tolerate.machines", fmt.Sprintf("%d of %d machines of class core", s.Tolerate.Machines, s.core()))
	case !(s.Timing.CatchUp >= 0 && s.Timing.CatchUp < s.Length):
		return nil, f.Error("timing.catch_up_s", fmt.Sprintf("%g: less than a day's length wanted", s.Timing.CatchUp))
	}
	return s, nil
}

// core is how many machines count.
func (s *Site) core() (n int) {
	for _, m := range s.Machines {
		if m.Class == "core" {
			n += max(0, m.Count)
		}
	}
	return n
}

// Plays are all kinds of the table that the site plays.
func (s *Site) Plays() (names []string) {
	for i := range kinds {
		if k := &kinds[i]; k.openAt(s) {
			names = append(names, k.name)
		}
	}
	return names
}

// Kinds are the kinds that the site's own troubles name, in the order of the table. A kind that the table lacks is an error.
func (s *Site) Kinds() (names []string, err error) {
	for _, t := range s.Troubles {
		if known(t.Kind) == nil {
			return nil, fmt.Errorf("%s: troubles: unknown kind %q", s.Name, t.Kind)
		}
	}
	for _, k := range kinds {
		for _, t := range s.Troubles {
			if t.Kind == k.name {
				names = append(names, k.name)
				break
			}
		}
	}
	return names, nil
}

// Entry is one trouble or one piece of planned work of a day. What is zero or empty isn't written.
type Entry struct {
	At, For, Gap, Share, X float64
	Count                  int
	Kind, How, On          string
	Zone, ToZone, Service  string
	planned                bool
	from, to               float64 // in which machines that count are lost by it
	lost                   int     // so many
	permanent              bool    // to the end of the day
}

// Closing is the fault at the end of a day.
type Closing struct {
	Kind, How string
	Down      float64 // s
}

// Day is one day of the almanac.
type Day struct {
	Name    string
	Seed    uint32
	Length  float64  // s; of the site, or longer
	Entries []Entry  // by time
	Closing *Closing // nil: the day has none
}

// card is one variant of one kind: what a deck deals.
type card struct {
	k       *kind
	variant int
	core    bool   // on = "core"
	how     string // the variant with the words around it
}

// deck deals every card before it deals one again. A card that found no place waits, and goes first on the next day.
type deck struct {
	r       *rand.Rand
	all     []card
	left    []card
	waiting []card
	words   map[string][]string // by place in the words of a kind: those that are still to be dealt
}

// word deals the words that may stand in one place, each before one comes again.
func (d *deck) word(place string, of ...string) string {
	left := d.words[place]
	if len(left) == 0 {
		left = of
		d.r.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	}
	d.words[place] = left[1:]
	return left[0]
}

// how puts words around a card's variant.
func (d *deck) how(c card) string {
	k, how := c.k, []string{}
	if k.whom {
		how = append(how, d.word(k.name+" whom", slices.Concat([]string{""}, whoms)...))
	}
	how = append(how, k.how[c.variant])
	for _, word := range k.also {
		how = append(how, d.word(k.name+" "+word, "", "", word))
	}
	if k.after {
		how = append(how, d.word(k.name+" meets", "", "", "meet", "race"))
		for _, word := range afters {
			how = append(how, d.word(k.name+" "+word, "", "", word))
		}
	}
	return words(how...)
}

func (d *deck) next() card {
	if len(d.left) == 0 {
		d.left = slices.Clone(d.all)
		d.r.Shuffle(len(d.left), func(i, j int) { d.left[i], d.left[j] = d.left[j], d.left[i] })
	}
	c := d.left[len(d.left)-1]
	d.left = d.left[:len(d.left)-1]
	c.how = d.how(c)
	return c
}

// The make of a day.
const (
	fewest, most = 7, 15 // entries, without those that come twice
	twice        = 0.15  // part of the entries that come a second time
	gathered     = 0.55  // part of the entries that fall on one of the day's bad moments
	begins       = 0.5   // s: nothing earlier
	tries        = 16    // moments tried for an entry that loses machines that count
	settles      = 2.0   // s that an acknowledgement or a restart may take
	long         = 0.2   // part of the days that are longer than the site's own
	misses       = 40    // cards that found no place, after which a day is full
)

// Draw draws days from a seed; the first n days of a longer draw are the same. names are the kinds to deal, out of s.Plays.
func Draw(s *Site, seed uint64, n int, names []string) ([]Day, error) {
	r := rand.New(rand.NewPCG(seed, 0xa1a))
	d := &deck{r: r, words: map[string][]string{}}
	for _, name := range names {
		k := known(name)
		if k == nil {
			return nil, fmt.Errorf("no kind is named %q", name)
		}
		if !k.openAt(s) {
			return nil, fmt.Errorf("%s: %s has no contract %q", name, s.Name, k.needs)
		}
		for v := range k.how {
			all := k.name == "herd_kill" && (strings.Contains(k.how[v], "taken") || k.how[v] == "off") // of all that count, by itself
			if k.reach != member && k.reach != ackers && !all {
				d.all = append(d.all, card{k: k, variant: v})
			}
			if k.on || k.reach == member || k.reach == ackers {
				if s.Tolerate.Machines > 0 || k.name == "herd_kill" {
					d.all = append(d.all, card{k: k, variant: v, core: true})
				}
			}
		}
	}
	if len(d.all) == 0 {
		return nil, fmt.Errorf("%s bears none of these kinds", s.Name)
	}
	var ends []Closing
	var days []Day
	for i := range n {
		day := Day{Name: fmt.Sprintf("%d-%03d", seed, i+1), Seed: r.Uint32(), Length: s.Length}
		if r.Float64() < long {
			day.Length = math.Round(s.Length * (1.4 + 0.5*r.Float64()))
		}
		if len(ends) == 0 {
			ends = append(ends, Closing{})
			for _, c := range closings {
				for _, how := range c.how {
					ends = append(ends, Closing{Kind: c.kind, How: how})
				}
			}
			r.Shuffle(len(ends), func(i, j int) { ends[i], ends[j] = ends[j], ends[i] })
		}
		if c := ends[0]; c.Kind != "" && (s.Tolerate.Machines > 0 || c.Kind != "wipe_after_ack") {
			c.Down = between(r, interval{0.4, 1.6})
			day.Closing = &c
		}
		ends = ends[1:]
		day.fill(s, d)
		days = append(days, day)
	}
	return days, nil
}

// fill deals a day's entries.
func (d *Day) fill(s *Site, from *deck) {
	r := from.r
	moments := make([]float64, 1+r.IntN(3))
	for i := range moments {
		moments[i] = begins + r.Float64()*(d.Length-6)
	}
	moment := func() float64 {
		if r.Float64() < gathered {
			return moments[r.IntN(len(moments))] + 0.8*r.Float64()
		}
		return begins + r.Float64()*(d.Length-2-begins)
	}
	want := int(float64(fewest+r.IntN(most-fewest+1)) * d.Length / s.Length)
	var waiting []card
	for _, c := range from.waiting {
		if len(d.Entries) >= want || !d.place(s, r, c, moment) {
			waiting = append(waiting, c)
		}
	}
	from.waiting = waiting
	for missed := 0; len(d.Entries) < want && missed < misses; {
		c := from.next()
		if !d.place(s, r, c, moment) {
			from.waiting = append(from.waiting, c)
			missed++
		} else if r.Float64() < twice {
			d.place(s, r, c, moment)
		}
	}
	slices.SortStableFunc(d.Entries, func(a, b Entry) int { return cmp.Compare(a.At, b.At) })
}

// place draws an entry of a card and finds it a moment at which what is lost stays within what is borne.
func (d *Day) place(s *Site, r *rand.Rand, c card, moment func() float64) bool {
	for n := range tries {
		e := c.entry(s, r)
		e.At = hundredth(moment())
		e.loses(s, c)
		if e.lost > 0 && n >= tries/2 { // anywhere that it ends in time
			e.At = hundredth(begins + r.Float64()*max(0, d.Length-(e.to-e.At)-begins))
			e.loses(s, c)
		}
		if e.lost == 0 || d.bears(s, e) {
			d.Entries = append(d.Entries, e)
			if c.k.inTurn {
				d.goOn(s, r, c, e)
			}
			return true
		}
	}
	return false
}

// goOn has up to three more of a card follow an entry, each as soon as the one before is over.
func (d *Day) goOn(s *Site, r *rand.Rand, c card, last Entry) {
	for range r.IntN(4) {
		e := c.entry(s, r)
		e.At = hundredth(last.to + 0.02 + 0.5*r.Float64()*r.Float64())
		if e.loses(s, c); !d.bears(s, e) {
			return
		}
		d.Entries, last = append(d.Entries, e), e
	}
}

// bears reports whether a deployment bears an entry beside those that the day has.
func (d *Day) bears(s *Site, e Entry) bool {
	if e.to > d.Length && (!e.permanent || d.Closing != nil && d.Closing.Kind == "wipe_after_ack") {
		return false // a closing fault strikes a whole core
	}
	return worst(append(slices.Clone(d.Entries), e)) <= max(s.Tolerate.Machines, e.lost) && e.lost <= max(1, s.Tolerate.Machines)
}

// worst is the most machines that count and are lost at one time.
func worst(entries []Entry) (most int) {
	for _, at := range entries { // the most is reached where a loss begins
		n := 0
		for _, e := range entries {
			if e.lost > 0 && e.from <= at.from && at.from < e.to {
				n += e.lost
			}
		}
		if at.lost > 0 {
			most = max(most, n)
		}
	}
	return most
}

// entry draws the figures of a card.
func (c card) entry(s *Site, r *rand.Rand) Entry {
	k := c.k
	e := Entry{Kind: k.name, planned: k.planned, For: between(r, k.lasts), Gap: between(r, k.gap), Share: between(r, k.share), X: between(r, k.x)}
	if k.strong != nil && k.strong[c.variant] != none {
		e.X = between(r, k.strong[c.variant])
	}
	if k.whole {
		e.X = math.Floor(e.X + 0.5)
	}
	if k.most > 0 {
		e.Count = 1 + r.IntN(k.most)
	}
	if k.repeats && r.IntN(2) == 0 {
		e.For = 0
	} else if k.repeats {
		e.Count = 0
	}
	e.How = c.how
	if c.core && k.on {
		e.On = "core"
	}
	if k.on && k.most > 0 { // machines that count are numbered, others are a share
		if c.core {
			e.Share = 0
			e.Count = 1 + r.IntN(max(1, s.Tolerate.Machines))
		} else {
			e.Count = 0
		}
	} else if c.core && k.most > 0 {
		e.Count = 1 + r.IntN(max(1, s.Tolerate.Machines))
	}
	// A loss of one zone only; a place for some of the others.
	if k.zone && !c.core && r.IntN(3) == 0 || k.name == "lossy" {
		e.Zone = s.Zones[r.IntN(len(s.Zones))].Name
	}
	if k.to && strings.Contains(e.How, "one_zone") {
		e.ToZone = s.Zones[r.IntN(len(s.Zones))].Name
	}
	if k.service && r.IntN(2) == 0 {
		e.Service = s.Services[r.IntN(len(s.Services))].Name
	}
	return e
}

// loses says how many machines that count an entry loses, and when: from its begin until they have caught up.
func (e *Entry) loses(s *Site, c card) {
	has := func(word string) bool { return slices.Contains(strings.Fields(e.How), word) }
	if !c.core {
		if e.Kind == "roll_term" && (has("remove") || has("drain")) { // those who leave, or whose backends do, don't come back
			e.Share = hundredth(e.Share / 5)
		}
		return
	}
	e.from, e.to, e.lost = e.At, e.At+e.For+s.Timing.CatchUp, max(1, e.Count)
	switch {
	case e.Kind == "roll_term" && has("remove"): // one leaves, and is not back that day
		e.Share, e.X = math.Floor(100/float64(s.core()))/100, 1
		e.lost, e.permanent, e.to = 1, true, math.Inf(1)
	case e.Kind == "roll_term": // one after the other, each once the one before has caught up
		e.X = 1
		e.Gap = max(e.Gap, hundredth(s.Timing.CatchUp+settles))
		if at := e.At + e.Gap*float64(s.core()); at > s.Length {
			e.Share = math.Ceil(100/float64(s.core())) / 100
		}
		turns := math.Ceil(e.Share * float64(s.core()))
		e.lost, e.to = 1, e.At+turns*e.Gap
	case e.Kind == "replace_core" && has("planned"): // the new one has its time, then the old one to go, then the roll
		e.to = e.At + 2*s.Timing.CatchUp + cmp.Or(s.Bounds.Grace, 6)
	case e.Kind == "replace_core":
		e.to = e.At + e.X + s.Timing.CatchUp
	case e.Kind == "herd_kill": // all of them: borne by itself, beside no other loss
		e.Share, e.lost = 1, max(1, s.Tolerate.Machines)
	case e.Kind == "core_cut" && has("behind"): // then a disk is lost, and the others are dark as long again
		e.lost, e.to = s.Tolerate.Machines, e.At+2*e.For+settles+s.Timing.CatchUp
	case e.Kind == "core_cut" && (has("split") || has("relieve") || has("both")): // nobody has a majority, or all others start again
		e.lost = s.Tolerate.Machines
	case c.k.reach == ackers: // it strikes once the next change is acknowledged
		e.to += settles
	}
}

func between(r *rand.Rand, i interval) float64 {
	if i == none {
		return 0
	}
	return hundredth(i.from + r.Float64()*(i.to-i.from))
}

// hundredth rounds to hundredths, and to thousandths below a tenth.
func hundredth(x float64) float64 {
	if math.Abs(x) < 0.1 {
		return math.Round(x*1000) / 1000
	}
	return math.Round(x*100) / 100
}

// Lost is the most machines that count and are lost at one time.
func (d *Day) Lost() int { return worst(d.Entries) }
