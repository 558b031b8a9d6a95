package console

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/messages"
)

// Picture is one look as tables.
type Picture struct {
	Look        *Look
	Differences []Difference
	Tables      [tabs]Table
}

// Places of the tables.
const (
	tabNodes = iota
	tabBackends
	tabItems
	tabKeys
	tabDuties
	tabDisagreement
	tabs
)

// Table is one of them.
type Table struct {
	Name string
	Cols []Col
	Rows []Row
	None string // what stands there where there are no rows
}

// Col is a column.
type Col struct {
	Name  string
	Right bool
	Keep  bool // not cut to make room
	Most  int  // characters at the most; 0: as many as there are
	Spare bool // left out where there is no room
}

// Row is one line; Mark: somebody should look at it.
type Row struct {
	Mark  bool
	Cells []string
}

// Summary is the state of it all in one line.
func (p *Picture) Summary() string {
	silent := len(p.Look.Agents) - p.Look.Answered()
	serving := 0
	for _, r := range p.Tables[tabBackends].Rows {
		if r.Cells[4] == backends.Serving.String() {
			serving++
		}
	}
	s := fmt.Sprintf("%s: %s answer", p.Look.At.Format("15:04:05"), count(p.Look.Answered(), "agent"))
	if silent > 0 {
		s += fmt.Sprintf(", %d not", silent)
	}
	s += fmt.Sprintf("; %s serving; ", count(serving, "backend"))
	if n := len(p.Differences); n > 0 {
		return s + count(n, "disagreement")
	}
	return s + "all agree"
}

// Good reports whether all answered and agree.
func (p *Picture) Good() bool {
	return len(p.Differences) == 0 && p.Look.Answered() == len(p.Look.Agents)
}

func count(n int, what string) string {
	if n != 1 {
		what += "s"
	}
	return strconv.Itoa(n) + " " + what
}

// Draw makes the tables of a look.
func Draw(l *Look, ds []Difference) *Picture {
	p := &Picture{Look: l, Differences: ds}
	p.Tables = [tabs]Table{l.nodes(), l.backends(ds), l.itemTable(ds), l.keys(), l.duties(), l.disagreement(ds)}
	for _, t := range p.Tables {
		for _, r := range t.Rows {
			for i := range r.Cells {
				r.Cells[i] = plain(r.Cells[i])
			}
		}
	}
	return p
}

// plain has no characters that a terminal would take for commands.
func plain(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r >= 0x7f && r < 0xa0 {
			return '?'
		}
		return r
	}, s)
}

func span(d time.Duration) string {
	switch {
	case d < 0:
		return "0.0s"
	case d < 100*time.Second:
		return strconv.FormatFloat(d.Seconds(), 'f', 1, 64) + "s"
	case d < 100*time.Minute:
		return fmt.Sprintf("%dm%02ds", d/time.Minute, d%time.Minute/time.Second)
	}
	return fmt.Sprintf("%dh%02dm", d/time.Hour, d%time.Hour/time.Minute)
}

func millis(ms uint32) string {
	if ms >= messages.Never {
		return "never"
	}
	return span(time.Duration(ms) * time.Millisecond)
}

func num(n int) string { return strconv.Itoa(n) }

// state of an agent in a word or two, and whether that is trouble.
func (l *Look) state(a *Agent) (string, bool) {
	r := a.Told
	switch {
	case r == nil && a.Since.Before(l.At):
		return "no answer " + span(l.At.Sub(a.Since)), true
	case r == nil:
		return "no answer", true
	case r.Proxy != nil && r.Proxy.Stopping:
		return "stopping", false
	case r.Proxy != nil && r.Proxy.Ready:
		return "ready", false
	case r.Proxy != nil:
		return "not ready", true
	case r.Registry != nil && r.Registry.FreshMs > staleMs:
		return "no majority", true
	case r.Registry != nil:
		return "in touch", false
	case r.Store != nil && r.Store.StallMs > staleMs:
		return "disk hangs", true
	case r.Store != nil:
		return r.Store.State, r.Store.State != "serving" && r.Store.State != "apart"
	}
	return "", true
}

// staleMs is from when on what should take a moment is trouble.
const staleMs = 1500

func (l *Look) nodes() Table {
	t := Table{Name: "nodes", None: "no agent known", Cols: []Col{{Name: "program"}, {Name: "node", Keep: true, Most: 24}, {Name: "zone", Most: 12},
		{Name: "state", Keep: true, Most: 24}, {Name: "chosen"}, {Name: "epoch", Right: true}, {Name: "from", Most: 24}, {Name: "fresh", Right: true},
		{Name: "up", Right: true, Spare: true}, {Name: "version", Spare: true}, {Name: "tokens", Right: true, Spare: true},
		{Name: "ration left", Most: 60, Spare: true}, {Name: "address", Spare: true}}}
	masters := map[string]string{}
	for _, a := range l.Agents {
		if a.Program == messages.ProgramRegistry {
			masters[a.Addr] = a.Node
		}
	}
	for _, a := range l.Agents {
		state, bad := l.state(a)
		cells := []string{a.Program, cmp.Or(a.Node, a.Addr), a.Zone, state, "", "", "", "", "", "", "", "", a.Addr}
		if r := a.Told; r != nil {
			cells[4], cells[5] = ballotText(r.Chosen), strconv.FormatUint(r.Epoch, 10)
			cells[8], cells[9] = span(time.Duration(r.UpMs)*time.Millisecond), r.Version
			if r.Proxy != nil {
				cells[6] = cmp.Or(masters[r.Proxy.RegistryAddr], r.Proxy.RegistryAddr, "none")
				cells[7] = millis(min(messages.Never, r.Proxy.RegistryMs+r.Proxy.FreshMs))
				cells[10] = strconv.FormatFloat(r.Proxy.RetryTokens, 'f', 0, 64)
				cells[11] = rationText(r.Proxy)
			}
			if r.Registry != nil {
				cells[7] = millis(r.Registry.FreshMs)
			}
		}
		t.Rows = append(t.Rows, Row{bad, cells})
	}
	return t
}

func rationText(r *messages.ProxyReport) string {
	var parts []string
	for s, x := range r.RetryBudgets {
		parts = append(parts, fmt.Sprintf("%s %.1f", s, x))
	}
	slices.Sort(parts)
	if r.Omitted > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", r.Omitted))
	}
	return strings.Join(parts, ", ")
}

// Backend is what all agents together know of one.
type Backend struct {
	messages.BackendReport
	Running, Waiting int // as its own tug tells
	Known            bool
	Sent, Away       int  // attempts there of all tugs that told; how many of those try it last
	Seen             bool // some tug told
}

// Backends are all that anybody knows, by node: of each the newest entry.
func (l *Look) Backends() []*Backend {
	at := map[string]*Backend{}
	var out []*Backend
	for _, a := range l.Agents {
		if a.Told == nil {
			continue
		}
		for _, b := range a.Told.Backends {
			k := at[b.Node]
			if k == nil {
				k = &Backend{BackendReport: b}
				at[b.Node] = k
				out = append(out, k)
			}
			if k.Version < b.Version || k.Version == b.Version && k.Incarnation < b.Incarnation {
				k.BackendReport = b
			}
			k.Seen = k.Seen || a.Told.Proxy != nil
			k.Sent += b.InFlight
			if b.AvoidMs > 0 {
				k.Away++
			}
		}
	}
	for _, a := range l.Agents {
		if a.Told != nil && a.Told.Proxy != nil && at[a.Node] != nil {
			k := at[a.Node]
			k.Running, k.Waiting, k.Known = a.Told.Proxy.Running, a.Told.Proxy.Waiting, true
		}
	}
	slices.SortFunc(out, func(a, b *Backend) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

func (l *Look) backends(ds []Difference) Table {
	t := Table{Name: "backends", None: "no backend known", Cols: []Col{{Name: "node", Keep: true, Most: 24}, {Name: "zone", Most: 12}, {Name: "service", Most: 24},
		{Name: "instance", Most: 32}, {Name: "state"}, {Name: "cap", Right: true}, {Name: "run", Right: true}, {Name: "wait", Right: true},
		{Name: "sent", Right: true}, {Name: "away", Right: true}, {Name: "version", Right: true}, {Name: "address", Spare: true}}}
	differ := namesOf(ds, whatBerth)
	for _, b := range l.Backends() {
		run, wait, sent, away := "?", "?", "?", "?"
		if b.Known {
			run, wait = num(b.Running), num(b.Waiting)
		}
		if b.Seen {
			sent, away = num(b.Sent), num(b.Away)
		}
		t.Rows = append(t.Rows, Row{differ[b.Node], []string{b.Node, b.Zone, b.Service, b.Instance, b.State.String(), num(b.Capacity), run, wait,
			sent, away, strconv.FormatUint(b.Version, 10), b.Addr}})
	}
	return t
}

// namesOf are the names under which something differs.
func namesOf(ds []Difference, what string) map[string]bool {
	out := map[string]bool{}
	for _, d := range ds {
		if d.What == what {
			out[d.Name] = true
		}
	}
	return out
}

func (l *Look) itemTable(ds []Difference) Table {
	t := Table{Name: "items", None: "no configuration", Cols: []Col{{Name: "item", Keep: true, Most: 40}, {Name: "version"}, {Name: "agents", Right: true},
		{Name: "since", Right: true}, {Name: "told otherwise"}}}
	since := map[string]time.Time{}
	for _, d := range ds {
		if d.What == whatItem {
			since[d.Name] = d.Since
		}
	}
	all := l.items()
	for _, n := range all.names {
		told := all.told(n)
		cells := []string{n, told[0].Value, num(len(told[0].By)), "", ""}
		at, differs := since[n]
		if differs && len(told) > 1 {
			cells[3], cells[4] = span(l.At.Sub(at)), tellingsText(told[1:])
		}
		t.Rows = append(t.Rows, Row{differs, cells})
	}
	return t
}

func (l *Look) keys() Table {
	t := Table{Name: "keys", None: "no agent answers", Cols: []Col{{Name: "program"}, {Name: "node", Keep: true, Most: 24}, {Name: "held", Right: true},
		{Name: "work", Right: true}, {Name: "done", Right: true}, {Name: "unknown", Right: true}, {Name: "void", Right: true},
		{Name: "bytes", Right: true}, {Name: "claims", Right: true}, {Name: "denied", Right: true}, {Name: "ran here", Right: true, Spare: true},
		{Name: "of these unknown", Right: true, Spare: true}}}
	for _, a := range l.Agents {
		if a.Told == nil || a.Told.Registry != nil {
			continue
		}
		cells := []string{a.Program, cmp.Or(a.Node, a.Addr), "", "", "", "", "", "", strconv.FormatInt(a.Told.Counts["claims"], 10), "", "", ""}
		if p := a.Told.Store; p != nil {
			cells[2], cells[9] = num(p.Keys), strconv.FormatInt(a.Told.Counts["denied"], 10)
		}
		if x := a.Told.Proxy; x != nil {
			b, r := x.OwnKeys, x.ExecutedKeys
			cells[3], cells[4], cells[5], cells[6], cells[7] = num(b.InProgress), num(b.Done), num(b.Unknown), num(b.Void), num(b.Bytes+r.Bytes)
			cells[9] = strconv.FormatInt(a.Told.Counts["claims_lost"], 10)
			cells[10], cells[11] = num(r.InProgress+r.Done+r.Unknown+r.Void), num(r.Unknown)
		}
		t.Rows = append(t.Rows, Row{false, cells})
	}
	return t
}

// Granted is a duty with its holder, and who granted it.
type Granted struct {
	Duty   string
	Holder string // a harbourmaster by name, or its life
	Left   time.Duration
	By     []string
	Holds  bool // its holder says so, or did not answer
}

// Duties are all that members have granted.
func (l *Look) Duties() (out []Granted) {
	lives := map[uint64]*Agent{}
	for _, a := range l.Agents {
		if a.Told != nil && a.Told.Registry != nil {
			lives[a.Told.Incarnation] = a
		}
	}
	for _, a := range l.Agents {
		if a.Told == nil || a.Told.Store == nil {
			continue
		}
		for _, d := range a.Told.Store.Leases {
			holder, holds := fmt.Sprintf("life %016x", d.Holder), true
			if h := lives[d.Holder]; h != nil {
				holder, holds = h.Name(), h.Told.Registry.HoldsTeachLease
			}
			i := slices.IndexFunc(out, func(g Granted) bool { return g.Duty == d.Name && g.Holder == holder })
			if i < 0 {
				i = len(out)
				out = append(out, Granted{Duty: d.Name, Holder: holder, Holds: holds})
			}
			out[i].Left = max(out[i].Left, time.Duration(d.LeftMs)*time.Millisecond)
			out[i].By = append(out[i].By, cmp.Or(a.Node, a.Addr))
		}
	}
	slices.SortFunc(out, func(a, b Granted) int { return cmp.Or(cmp.Compare(a.Duty, b.Duty), cmp.Compare(a.Holder, b.Holder)) })
	return out
}

func (l *Look) duties() Table {
	t := Table{Name: "duties", None: "no duty is held", Cols: []Col{{Name: "duty"}, {Name: "holder", Most: 40}, {Name: "holds"},
		{Name: "left", Right: true}, {Name: "granted by"}}}
	for _, d := range l.Duties() {
		holds := "yes"
		if !d.Holds {
			holds = "no"
		}
		t.Rows = append(t.Rows, Row{false, []string{d.Duty, d.Holder, holds, span(d.Left), strings.Join(d.By, ", ")}})
	}
	return t
}

func (l *Look) disagreement(ds []Difference) Table {
	t := Table{Name: "disagreement", None: "all agree", Cols: []Col{{Name: "what"}, {Name: "of", Most: 40}, {Name: "since", Right: true}, {Name: "told"}}}
	for _, d := range ds {
		t.Rows = append(t.Rows, Row{true, []string{d.What, d.Name, span(l.At.Sub(d.Since)), tellingsText(d.Told)}})
	}
	return t
}
