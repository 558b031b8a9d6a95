package console

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/messages"
)

// Difference is something that agents tell differently.
type Difference struct {
	What  string // chosen ballot, roll epoch, berth, berths, item
	Name  string // which berth or item; else ""
	Told  []Telling
	Since time.Time // seen since then
}

// Telling is one of the values, and who tells it. The one that most tell comes first.
type Telling struct {
	Value string
	By    []string
}

const (
	whatChosen = "chosen ballot"
	whatEpoch  = "roll epoch"
	whatBerth  = "berth"
	whatBerths = "berths"
	whatItem   = "item"
)

// tellings gathers what is told of many names.
type tellings struct {
	names []string
	of    map[string]map[string][]string
}

func (t *tellings) add(name, value, by string) {
	if t.of == nil {
		t.of = map[string]map[string][]string{}
	}
	if t.of[name] == nil {
		t.of[name] = map[string][]string{}
		t.names = append(t.names, name)
	}
	t.of[name][value] = append(t.of[name][value], by)
}

func (t *tellings) told(name string) (out []Telling) {
	for v, by := range t.of[name] {
		out = append(out, Telling{v, by})
	}
	slices.SortFunc(out, func(a, b Telling) int {
		return cmp.Or(cmp.Compare(len(b.By), len(a.By)), cmp.Compare(a.Value, b.Value))
	})
	return out
}

func (t *tellings) differing(what string) (out []Difference) {
	slices.Sort(t.names)
	for _, n := range t.names {
		if len(t.of[n]) > 1 {
			out = append(out, Difference{What: what, Name: n, Told: t.told(n)})
		}
	}
	return out
}

func ballotText(b configuration.Ballot) string {
	if b.IsZero() {
		return "none"
	}
	return fmt.Sprintf("%d/%08x", b.N, b.Proposer)
}

// speaks reports whether an agent is one of those that should know the configuration.
func speaks(r *messages.ReportReply) bool { return r.Store == nil || r.Store.State == "serving" }

// chosen is the ballot that an agent goes by. A purser that accepted what others know to be chosen, and did not hear that it
// was, lacks nothing; the items that it tells are then of an older value, so that they say nothing.
func chosen(r *messages.ReportReply, known map[configuration.Ballot]bool) (b configuration.Ballot, whole bool) {
	if p := r.Store; p != nil && r.Chosen.Less(p.Accepted) && known[p.Accepted] {
		return p.Accepted, false
	}
	return r.Chosen, true
}

// items are the versions of each item by agent.
func (l *Look) items() *tellings {
	t := &tellings{}
	known := l.chosen()
	var all []messages.ItemReport
	seen, dropped := map[configuration.Key]bool{}, map[configuration.Key]bool{}
	for _, a := range l.Agents {
		if a.Told == nil {
			continue
		}
		for _, i := range a.Told.Items {
			dropped[i.Key] = dropped[i.Key] || i.Dropped
			if !seen[i.Key] {
				seen[i.Key] = true
				all = append(all, i)
			}
		}
	}
	slices.SortFunc(all, func(a, b messages.ItemReport) int {
		return cmp.Or(cmp.Compare(a.Key.Kind, b.Key.Kind), cmp.Compare(a.Key.Name, b.Key.Name))
	})
	for _, a := range l.Agents {
		if a.Told == nil || !speaks(a.Told) {
			continue
		}
		if _, whole := chosen(a.Told, known); !whole {
			continue
		}
		have := make(map[configuration.Key]messages.ItemReport, len(a.Told.Items))
		for _, i := range a.Told.Items {
			have[i.Key] = i
		}
		for _, i := range all {
			mine, ok := have[i.Key]
			switch {
			case !ok && a.Told.ItemsOmitted > 0: // it may be among those that were left out
			case !ok && a.Told.Proxy != nil && dropped[i.Key]: // proxies keep no tombstones
			case !ok:
				t.add(i.Key.String(), "none", a.Name())
			case mine.Dropped:
				t.add(i.Key.String(), mine.Version.String()+" dropped", a.Name())
			default:
				t.add(i.Key.String(), mine.Version.String(), a.Name())
			}
		}
	}
	return t
}

// chosen are the ballots that harbourmasters and tugs know to be chosen.
func (l *Look) chosen() map[configuration.Ballot]bool {
	known := map[configuration.Ballot]bool{}
	for _, a := range l.Agents {
		if a.Told != nil && a.Told.Store == nil {
			known[a.Told.Chosen] = true
		}
	}
	return known
}

// Differences are what agents tell differently.
func (l *Look) Differences() []Difference {
	var ballots, epochs, berth, sums tellings
	known := l.chosen()
	brief := false
	for _, a := range l.Agents {
		r := a.Told
		if r == nil {
			continue
		}
		if speaks(r) {
			b, _ := chosen(r, known)
			ballots.add("", ballotText(b), a.Name())
		}
		if r.Store == nil || r.Epoch > 0 {
			epochs.add("", fmt.Sprint(r.Epoch), a.Name())
		}
		if r.Store != nil {
			continue
		}
		brief = brief || r.BackendsTotal > 0 && len(r.Backends) == 0
		sums.add("", fmt.Sprintf("%d, digest %08x", r.BackendsTotal, uint32(r.BackendsDigest)), a.Name())
	}
	nodes := map[string]bool{}
	for _, a := range l.Agents {
		if a.Told != nil {
			for _, b := range a.Told.Backends {
				nodes[b.Node] = true
			}
		}
	}
	for _, a := range l.Agents {
		r := a.Told
		if r == nil || r.Store != nil || r.BackendsTotal > 0 && len(r.Backends) == 0 {
			continue
		}
		have := make(map[string]bool, len(r.Backends))
		for _, b := range r.Backends {
			have[b.Node] = true
			berth.add(b.Node, fmt.Sprintf("v%d %s of life %08x", b.Version, b.State, uint32(b.Incarnation)), a.Name())
		}
		if r.BackendsOmitted == 0 {
			for n := range nodes {
				if !have[n] {
					berth.add(n, "none", a.Name())
				}
			}
		}
	}
	out := append(ballots.differing(whatChosen), epochs.differing(whatEpoch)...)
	out = append(out, l.items().differing(whatItem)...)
	out = append(out, berth.differing(whatBerth)...)
	if brief {
		out = append(out, sums.differing(whatBerths)...)
	}
	return out
}

// Memory is since when agents give no answer and things differ, over several looks.
type Memory struct {
	silent map[string]time.Time
	differ map[string]time.Time
}

// Note takes note of a look, tells its agents since when they are silent, and returns what differs, with since when.
func (m *Memory) Note(l *Look) []Difference {
	silent, differ := map[string]time.Time{}, map[string]time.Time{}
	for _, a := range l.Agents {
		if a.Told != nil {
			continue
		}
		key := a.Program + " " + a.Addr
		since, ok := m.silent[key]
		if !ok {
			since = l.lastHeard(a)
		}
		silent[key], a.Since = since, since
	}
	ds := l.Differences()
	for i := range ds {
		key := ds[i].What + " " + ds[i].Name
		since, ok := m.differ[key]
		if !ok {
			since = l.At
		}
		differ[key], ds[i].Since = since, since
	}
	m.silent, m.differ = silent, differ
	return ds
}

// lastHeard is since when an agent that was not silent before is: harbourmasters know when they heard each voter.
func (l *Look) lastHeard(a *Agent) time.Time {
	best := uint32(messages.Never)
	for _, o := range l.Agents {
		if o.Told == nil || o.Told.Registry == nil || a.Program != messages.ProgramStore {
			continue
		}
		for i, v := range o.Told.Voters {
			if v.Addr == a.Addr && i < len(o.Told.Registry.ServingMs) {
				best = min(best, o.Told.Registry.ServingMs[i])
			}
		}
	}
	if best == messages.Never {
		return l.At
	}
	return l.At.Add(-time.Duration(best) * time.Millisecond)
}

// text of what is told, for one line.
func tellingsText(told []Telling) string {
	var parts []string
	for _, t := range told {
		by := t.By
		rest := ""
		if len(by) > 3 {
			rest = fmt.Sprintf(" and %d more", len(by)-2)
			by = by[:2]
		}
		parts = append(parts, t.Value+": "+strings.Join(by, ", ")+rest)
	}
	return strings.Join(parts, "; ")
}
