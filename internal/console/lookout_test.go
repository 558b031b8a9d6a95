package console

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/configuration"
	"saltmast/internal/messages"
)

var noon = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func fleetBerths(n int) (out []messages.BackendReport) {
	for i := range n {
		out = append(out, messages.BackendReport{Node: fmt.Sprintf("side-%04d", i+1), Addr: fmt.Sprintf("10.1.%d.%d:7382", i/200, i%200+1), Zone: "east",
			Version: 2, Incarnation: uint64(i + 100), Instance: fmt.Sprintf("berth-%d", i), Service: "pump", Capacity: 4, State: backends.Serving})
	}
	return out
}

func versions(route, service configuration.Version) []messages.ItemReport {
	return []messages.ItemReport{{Key: configuration.Key{Kind: configuration.Routes, Name: "flow"}, Version: route},
		{Key: configuration.Key{Kind: configuration.Services, Name: "pump"}, Version: service}}
}

// fixed is a look at a mesh of one harbourmaster, two pursers and n backends with the tugs of the first two, of which the second
// does not answer. The first tug missed the last change of a route.
func fixed(n int) *Look {
	voters := []messages.Voter{{Name: "a", Addr: "10.0.0.1:7381"}, {Name: "b", Addr: "10.0.0.2:7381"}}
	told := func(r messages.ReportReply) *messages.ReportReply {
		r.Version, r.Epoch, r.Voters, r.UpMs = "0.1.0", 1, voters, 95_000
		return &r
	}
	now, old := configuration.Ballot{N: 7, Proposer: 0xabc}, configuration.Ballot{N: 6, Proposer: 0xabc}
	h := messages.ReportReply{Program: messages.ProgramRegistry, Node: "core-1", Zone: "east", Addr: "10.0.0.1:7380", Incarnation: 42, Chosen: now, Items: versions(3, 1),
		Registry: &messages.RegistryReport{Registries: []messages.Registry{{Name: "core-1", Addr: "10.0.0.1:7380", Zone: "east"}}, FreshMs: 40,
			ServingMs: []uint32{40, 12_000}, Pullers: []string{"side-0001"}, HoldsTeachLease: true}}
	h.SetBackends(fleetBerths(n), false)
	p := messages.ReportReply{Program: messages.ProgramStore, Addr: "10.0.0.1:7381", Chosen: old, Items: versions(2, 1),
		Store: &messages.StoreReport{State: "serving", Incarnations: []uint64{1, 1}, Promised: now, Accepted: now, Keys: 12,
			Leases: []messages.LeaseReport{{Name: "teach", Holder: 42, LeftMs: 1500}}}, Counts: map[string]int64{"claims": 14, "denied": 2}}
	g := messages.ReportReply{Program: messages.ProgramProxy, Node: "side-0001", Zone: "east", Addr: "10.1.0.1:7382", Incarnation: 100, Chosen: old, Items: versions(2, 1),
		Proxy: &messages.ProxyReport{Ready: true, RegistryAddr: "10.0.0.1:7380", RegistryMs: 300, FreshMs: 40, RetryTokens: 495, RetryBudgets: map[string]float64{"pump": 9.5},
			OwnKeys: messages.KeyCounts{InProgress: 1, Done: 5, Unknown: 1, Bytes: 2048}, ExecutedKeys: messages.KeyCounts{Done: 3}, Running: 2, Waiting: 1},
		Counts: map[string]int64{"claims": 9, "claims_lost": 1}}
	mine := fleetBerths(n)
	mine[1].InFlight, mine[1].AvoidMs = 3, 800
	g.SetBackends(mine, false)
	l := &Look{At: noon}
	for _, r := range []messages.ReportReply{h, p, g} {
		l.Agents = append(l.Agents, &Agent{Program: r.Program, Node: r.Node, Zone: r.Zone, Addr: r.Addr, Told: told(r)})
	}
	l.Agents = append(l.Agents, &Agent{Program: messages.ProgramStore, Addr: "10.0.0.2:7381", Trouble: "no answer in time"},
		&Agent{Program: messages.ProgramProxy, Addr: "10.1.0.2:7382", Trouble: "can't be reached"})
	l.settle()
	return l
}

func picture(n int) *Picture {
	l := fixed(n)
	var m Memory
	first := *l
	first.At = noon.Add(-4200 * time.Millisecond)
	m.Note(&first)
	return Draw(l, m.Note(l))
}

func same(t *testing.T, got, want string) {
	t.Helper()
	if got = strings.TrimRight(got, "\n"); got != strings.Trim(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", got, strings.Trim(want, "\n"))
	}
}

func TestScreen(t *testing.T) {
	v := NewView(80, 24)
	v.Take(picture(1000))
	within := func() {
		t.Helper()
		lines := strings.Split(v.Text(), "\n")
		if len(lines) != 24 {
			t.Errorf("%d lines", len(lines))
		}
		for _, l := range lines {
			if len([]rune(l)) > 80 {
				t.Errorf("too long: %s", l)
			}
		}
	}
	part := func(from, to int) string { return strings.Join(strings.Split(v.Text(), "\n")[from:to], "\n") }
	within()
	same(t, part(0, 9), `
lookout  [nodes]  backends  items  keys  duties  disagreement 2
12:00:00: 3 agents answer, 2 not; 1000 backends serving; 2 disagreements
  program       node          zone state           chosen     epoch from   fresh
  harbourmaster core-1        east in touch        7/00000abc     1         0.0s
! purser        10.0.0.2:7381      no answer 16.2s
  purser        core-1        east serving         6/00000abc     1
  tug           side-0001     east ready           6/00000abc     1 core-1  0.3s
! tug           side-0002     east no answer 4.2s
`)
	v.Key("tab", "")
	v.Key("pgdown", "")
	v.Key("down", "")
	within()
	same(t, part(2, 5)+"\n"+part(22, 24), `
  node      zone service instance  state   cap run wait sent away version
  side-0022 east pump    berth-21  serving   4   ?    ?    0    0       2
  side-0023 east pump    berth-22  serving   4   ?    ?    0    0       2
  side-0041 east pump    berth-40  serving   4   ?    ?    0    0       2
search: _  22-41 of 1000  Tab table  ^S sort  ^R reverse  Esc back, quit
`)
	v.Key("end", "")
	if !strings.Contains(v.Text(), "981-1000 of 1000") {
		t.Error("the end:\n" + v.Text())
	}
	for _, c := range "000" {
		v.Key(string(c), string(c))
	}
	for range 9 {
		v.Key("ctrl+s", "") // by what was sent
	}
	v.Key("ctrl+r", "")
	within()
	same(t, part(3, 6)+"\n"+part(23, 24), `
  side-0002 east pump    berth-1   serving   4   ?    ?    3    1       2
  side-1000 east pump    berth-999 serving   4   ?    ?    0    0       2
  side-0009 east pump    berth-8   serving   4   ?    ?    0    0       2
search: 000_  1-10 of 10  Tab table  ^S sort  ^R reverse  Esc back, quit
`)
	if v.Key("esc", "") || !v.Key("esc", "") {
		t.Error("the first Esc ends the search, the second the view")
	}
	v.Key("f3", "")
	same(t, part(2, 5), `
  item             version  agents  since  told otherwise
! routes "flow"    r2            1   4.2s  r3: harbourmaster core-1
  services "pump"  r1            2
`)
	v.Key("tab", "")
	same(t, part(2, 6), `
  program  node       held  work  done  unknown  void  bytes  claims  denied
  purser   core-1       12                                        14       2
  tug      side-0001           1     5        1     0   2048       9       1
`)
	v.Key("tab", "")
	same(t, part(2, 4), `
  duty   holder                holds  left  granted by
  teach  harbourmaster core-1  yes    1.5s  core-1
`)
	v.Key("tab", "")
	same(t, part(2, 5), `
  what          of            since told
! chosen ballot                4.2s 7/00000abc: harbourmaster core-1, purser co~
! item          routes "flow"  4.2s r2: tug side-0001; r3: harbourmaster core-1
`)
	v.Resize(30, 6)
	if n := strings.Count(v.Text(), "\n"); n != 5 {
		t.Errorf("%d lines of a small terminal", n+1)
	}
}

func TestDifferences(t *testing.T) {
	l := fixed(3)
	var m Memory
	if ds := m.Note(l); len(ds) != 2 {
		t.Errorf("%v", ds)
	}
	// Core-1 last heard the second purser 12 s ago; of a tug nobody knows.
	if got := l.Agents[1].Since; got != noon.Add(-12*time.Second) {
		t.Errorf("silent since %v", got)
	}
	if got := l.Agents[4].Since; got != noon {
		t.Errorf("silent since %v", got)
	}
	// An entry in another version, one that is missing, another epoch; then all is well again.
	l.At = noon.Add(time.Minute)
	tug := l.Agents[3].Told
	tug.Epoch = 2
	tug.Backends = slices.Clone(tug.Backends[:2])
	tug.Backends[0].Version++
	ds := m.Note(l)
	var got []string
	for _, d := range ds {
		got = append(got, fmt.Sprintf("%s %s: %s", d.What, d.Name, tellingsText(d.Told)))
	}
	same(t, strings.Join(got, "\n"), `
chosen ballot : 7/00000abc: harbourmaster core-1, purser core-1; 6/00000abc: tug side-0001
roll epoch : 1: harbourmaster core-1, purser core-1; 2: tug side-0001
item routes "flow": r2: tug side-0001; r3: harbourmaster core-1
berth side-0001: v2 serving of life 00000064: harbourmaster core-1; v3 serving of life 00000064: tug side-0001
berth side-0003: none: tug side-0001; v2 serving of life 00000066: harbourmaster core-1
`)
	if ds[0].Since != noon || ds[1].Since != l.At {
		t.Errorf("since %v, %v", ds[0].Since, ds[1].Since)
	}
	// What was cut is not missing, and in a large fleet digests speak for lists.
	tug.BackendsOmitted, tug.Backends[0].Version = 1, 2
	for _, d := range m.Note(l) {
		if d.What == whatBerth {
			t.Errorf("%+v", d)
		}
	}
	tug.Backends, tug.BackendsOmitted, tug.BackendsDigest = nil, 0, 1
	if ds := m.Note(l); ds[len(ds)-1].What != whatBerths {
		t.Errorf("%+v", ds)
	}
	// A proxy keeps no tombstones, and still lacks what stands.
	core := l.Agents[0].Told
	for _, dropped := range []bool{true, false} {
		core.Items = append(slices.Clone(core.Items[:2]), messages.ItemReport{Key: configuration.Key{Kind: configuration.Routes, Name: "gone"}, Version: 9, Dropped: dropped})
		told := slices.ContainsFunc(m.Note(l), func(d Difference) bool { return strings.Contains(d.Name, "gone") })
		if told == dropped {
			t.Errorf("dropped %v, told %v", dropped, told)
		}
	}
}

// Every key of --json, as scripts know them.
func TestJSONKeys(t *testing.T) {
	var b bytes.Buffer
	if err := picture(2).WriteJSON(&b); err != nil {
		t.Fatal(err)
	}
	var v any
	if err := json.Unmarshal(b.Bytes(), &v); err != nil {
		t.Fatal(err)
	}
	keys := map[string]bool{}
	var walk func(at string, v any)
	walk = func(at string, v any) {
		switch v := v.(type) {
		case map[string]any:
			if at == "agents.counts" || at == "items.versions" || at == "agents.tug.ration_left" { // their keys are names
				keys[at] = true
				return
			}
			for k, x := range v {
				walk(strings.TrimPrefix(at+"."+k, "."), x)
			}
		case []any:
			for _, x := range v {
				walk(at, x)
			}
		default:
			keys[at] = true
		}
	}
	walk("", v)
	got := slices.Sorted(maps.Keys(keys))
	same(t, strings.Join(got, "\n"), jsonKeys)
}

// A report of the largest kind stays within its bound, and says what it left out.
func TestReportBound(t *testing.T) {
	r := messages.ReportReply{Registry: &messages.RegistryReport{}}
	var items []messages.ItemReport
	var pullers []string
	for i := range 5000 {
		items = append(items, messages.ItemReport{Key: configuration.Key{Name: strings.Repeat("x", 60) + fmt.Sprint(i)}, Version: 1 << 40})
		pullers = append(pullers, fmt.Sprintf("side-%04d", i))
	}
	r.SetItems(items)
	r.SetBackends(fleetBerths(5000), false)
	r.Registry.SetPullers(pullers)
	if n := len(encode(r)); n > 256<<10 || n < 150<<10 {
		t.Errorf("%d bytes", n)
	}
	if len(r.Items)+r.ItemsOmitted != 5000 || r.ItemsOmitted == 0 || len(r.Backends)+r.BackendsOmitted != 5000 || len(r.Backends) < 1000 || r.Registry.Omitted == 0 {
		t.Errorf("%d+%d items, %d+%d berths, %d pullers left", len(r.Items), r.ItemsOmitted, len(r.Backends), r.BackendsOmitted, r.Registry.Omitted)
	}
}

const jsonKeys = `
agents.address
agents.answered
agents.berths
agents.chosen.by
agents.chosen.n
agents.counts
agents.epoch
agents.harbourmaster.fresh_ms
agents.harbourmaster.heard_ms
agents.harbourmaster.masters
agents.harbourmaster.pullers
agents.harbourmaster.pullers_left
agents.harbourmaster.teaches
agents.items
agents.life
agents.node
agents.program
agents.purser.accepted.by
agents.purser.accepted.n
agents.purser.incarnations
agents.purser.keys
agents.purser.place
agents.purser.promised.by
agents.purser.promised.n
agents.purser.stall_ms
agents.purser.state
agents.silent_since
agents.state
agents.trouble
agents.tug.fresh_ms
agents.tug.keys_begun.at_work
agents.tug.keys_begun.bytes
agents.tug.keys_begun.done
agents.tug.keys_begun.unknown
agents.tug.keys_begun.void
agents.tug.keys_ran.at_work
agents.tug.keys_ran.bytes
agents.tug.keys_ran.done
agents.tug.keys_ran.unknown
agents.tug.keys_ran.void
agents.tug.pulled_ms
agents.tug.pulls_from
agents.tug.ration_left
agents.tug.ready
agents.tug.running
agents.tug.stopping
agents.tug.tokens
agents.tug.waiting
agents.up_ms
agents.version
agents.voters
agents.zone
answered
at
backends.address
backends.away
backends.capacity
backends.instance
backends.node
backends.running
backends.sent
backends.service
backends.state
backends.version
backends.waiting
backends.zone
differences.of
differences.since
differences.told.by
differences.told.value
differences.what
duties.duty
duties.granted_by
duties.holder
duties.holds
duties.left_ms
items.differs
items.item
items.since
items.versions
silent
`
