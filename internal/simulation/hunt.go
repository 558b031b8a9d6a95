package simulation

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"saltmast/internal/simulation/checker"
)

// Variant is a day with its seed, and what was changed of its kind.
type Variant struct {
	Seed uint64 `json:"seed"`
	Day
}

// Outcome is what one play of a variant came to.
type Outcome struct {
	Variant
	Tell   string // in a line
	Took   time.Duration
	Broken []checker.Broken // the first first
	Steps  []Step           // what the day did
	empty  bool             // no client came
	Hung   bool             // it came to no end, and still runs
	rest   <-chan played    // of one that hung: its end
}

// Drawn are n days from a seed on: of one kind, or of all kinds in turn, each kind by seed, seed+1, ...
func Drawn(seed uint64, n int, kind string, floor bool) ([]Variant, error) {
	kinds := Days
	if kind != "" {
		d, err := DayNamed(kind)
		if err != nil {
			return nil, err
		}
		kinds = []Day{d}
	}
	var out []Variant
	for i := range n {
		v := Variant{seed + uint64(i/len(kinds)), kinds[i%len(kinds)]}
		if !floor {
			v.Floor = 0
		}
		out = append(out, v)
	}
	return out, nil
}

// Spoilt are flaws by name, to see a hunt find something.
var Spoilt = map[string]Flaw{
	"runs-twice": {Twice: func(m *tugMachine, r *request) bool {
		return strings.HasPrefix(r.path, "/debit/") && m.w.now() > 6*time.Second
	}},
}

// Hunter plays days, so many at once.
type Hunter struct {
	T     *testing.T
	Jobs  int
	Flaw  Flaw
	Most  time.Duration   // of real time for one day; 0: any. In a day that spins, virtual time stands still, and it never ends
	Known map[string]bool // by KIND:RULE: what is known to break, is told and passed over
}

// Play plays one variant once.
func (h *Hunter) Play(v Variant) (o Outcome) {
	o.Variant = v
	begun := time.Now()
	ended := make(chan played, 1)
	go func() {
		var p played
		defer func() { ended <- p }()
		h.T.Run(fmt.Sprint(v.Name, "-", v.Seed), func(t *testing.T) { p = play(t, v.Day, v.Seed, h.Flaw) })
	}()
	var late <-chan time.Time
	if h.Most > 0 {
		t := time.NewTimer(h.Most)
		defer t.Stop()
		late = t.C
	}
	var p played
	select {
	case p = <-ended:
	case <-late:
		o.Hung, o.rest = true, ended
	}
	o.Took = time.Since(begun)
	if p.log == nil {
		o.Tell, o.Broken, o.empty = "came to no end", []checker.Broken{{Rule: "WORLD", Lines: []string{"the day came to no end"}}}, true
		return o
	}
	o.Tell, o.Broken, o.Steps, o.empty = p.log.Tell(), p.broken, p.steps, len(p.log.Tries) == 0
	return o
}

// PassedOver reports whether all that a day broke is known.
func (h *Hunter) PassedOver(o Outcome) bool {
	return len(o.Broken) > 0 && !slices.ContainsFunc(o.Broken, func(b checker.Broken) bool { return !h.Known[o.Name+":"+b.Rule] })
}

// All plays variants until one breaks a rule that isn't known for its kind, tells each outcome in order, and gives the first that broke one, or nil.
func (h *Hunter) All(ctx context.Context, vs []Variant, tell func(Outcome)) *Outcome {
	var (
		mu     sync.Mutex
		wg     sync.WaitGroup
		next   int
		told   int
		done   = make([]*Outcome, len(vs))
		broken *Outcome
	)
	for range max(1, h.Jobs) {
		wg.Go(func() {
			for {
				mu.Lock()
				i := next
				if i >= len(vs) || broken != nil || ctx.Err() != nil {
					mu.Unlock()
					return
				}
				next++
				mu.Unlock()
				o := h.Play(vs[i])
				mu.Lock()
				done[i] = &o
				for ; told < len(vs) && done[told] != nil; told++ {
					tell(*done[told])
					if len(done[told].Broken) > 0 && !h.PassedOver(*done[told]) && broken == nil {
						broken = done[told]
					}
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return broken
}

// ReadVariant reads a variant as JSON: itself, or what latchkit prints of the smallest. Its kind is one of Days.
func ReadVariant(text []byte) (v Variant, err error) {
	var file struct {
		Smallest *Variant `json:"smallest"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return v, err
	}
	if file.Smallest != nil {
		v = *file.Smallest
	} else if err := json.Unmarshal(text, &v); err != nil {
		return v, err
	}
	d, err := DayNamed(v.Name)
	if err != nil {
		return v, err
	}
	if v.Length <= 0 || v.Length > time.Hour {
		return v, fmt.Errorf("length_ns: %d: up to an hour wanted", v.Length)
	}
	v.Events = d.Events
	return v, nil
}

// MarshalJSON gives the day's figures; what broke by rule, time and lines.
func (o Outcome) MarshalJSON() ([]byte, error) {
	type broken struct {
		Rule  string   `json:"rule"`
		At    float64  `json:"at_s"`
		Lines []string `json:"lines"`
	}
	out := struct {
		Kind   string   `json:"kind"`
		Seed   uint64   `json:"seed"`
		Took   float64  `json:"took_s"`
		Tell   string   `json:"tell"`
		Broken []broken `json:"broken"`
	}{o.Name, o.Seed, o.Took.Seconds(), o.Tell, []broken{}}
	for _, b := range o.Broken {
		out.Broken = append(out.Broken, broken{b.Rule, b.At.Seconds(), b.Lines})
	}
	return json.Marshal(out)
}

// Smallest tells a small day: its settings, what is left of its steps, and the breach.
func (o Outcome) Smallest(rule string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %s/%d, %.1f s of clients, %g requests a second at each machine, work %g, keys %g, large %g, rude %g, calls %g\n", o.Name, o.Seed,
		o.Length.Seconds(), cmp.Or(o.Rate, rate), max(o.Work, 1), o.Keys, o.Large, o.Rude, o.Calls)
	fmt.Fprintf(&b, "  faults of backends: %+v\n", o.Faults)
	for _, s := range o.Steps {
		if !s.Left {
			fmt.Fprintf(&b, "  %8.3f %s: %s\n", s.At.Seconds(), s.Key, s.What)
		}
	}
	if i := slices.IndexFunc(o.Broken, func(x checker.Broken) bool { return x.Rule == rule }); i >= 0 {
		fmt.Fprintf(&b, "  %s\n", o.Broken[i])
	}
	return b.String()
}
