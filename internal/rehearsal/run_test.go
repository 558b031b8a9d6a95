package rehearsal

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"saltmast/internal/daemon"
	"saltmast/internal/grade"
	"saltmast/internal/naive"
	"saltmast/internal/scenario"
	"saltmast/internal/shared"
)

// The test's own program serves as every agent: agents are processes of their own.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 {
		switch os.Args[1] {
		case "agent":
			os.Exit(daemon.Main(os.Args[2:]))
		case "naive":
			if w, ok := shared.Flaws[os.Args[2]]; ok {
				os.Exit(daemon.MainWrong(os.Args[3:], w))
			}
			if err := naive.Run(os.Args[2]); err != nil {
				fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
			os.Exit(0)
		case "dies":
			fmt.Fprintln(os.Stderr, "no such luck")
			os.Exit(7)
		}
	}
	// A program built with the race detector sleeps for a second before it exits, which looks like an agent that
	// does not stop in time.
	os.Setenv("GORACE", strings.TrimSpace(os.Getenv("GORACE")+" atexit_sleep_ms=0"))
	goleak.VerifyTestMain(m)
}

func self(args ...string) []string { return append([]string{os.Args[0]}, args...) }

// play plays a scenario; one that the kit was late for is played again.
func play(t *testing.T, s scenario.Scenario, command []string) *Result {
	t.Helper()
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	for n := 1; ; n++ {
		res, err := Run(context.Background(), Options{Plan: scenario.MakePlan(s), Command: command})
		if err != nil {
			t.Fatal(err)
		}
		if res.Verdict != grade.Void || n == tries {
			return res
		}
		t.Log("played again:", res.Line())
	}
}

func seeds(n uint64) (list []uint64) {
	for s := uint64(1); s <= n; s++ {
		list = append(list, s)
	}
	return list
}

// Each flawed agent breaks its own rule and no other on every seed; one without a flaw and the real agent break none.
func TestFlawsAreCaught(t *testing.T) {
	check := func(name string, command []string, rule string, list []uint64) {
		err := Prove(context.Background(), command, list, min(4, runtime.NumCPU()), func(p Proof) {
			if !p.AsExpected(rule) {
				t.Errorf("%s, seed %d, want %q broken: %s", name, p.Seed, rule, p.Result.Line())
			}
			for _, b := range p.Result.Breaches {
				if len(b.Proof) == 0 {
					t.Errorf("%s, seed %d: no proof of %s", name, p.Seed, b.What)
				}
			}
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, f := range Flaws {
		list := append(seeds(10), 1) // the first once more: the same rule is named again
		if f.Rule == "" {
			list = seeds(3)
		}
		check(f.Kind, self("naive", f.Kind), f.Rule, list)
	}
	check("real", self("agent"), "", seeds(4))
}

// The same rules in Thrift, and in both protocols side by side, with kills and with faults of Thrift's own.
func TestThriftRehearsals(t *testing.T) {
	for i, protocol := range []string{"thrift-binary", "thrift-compact", "mixed", "mixed", "mixed", "mixed", "mixed", "mixed", "mixed", "mixed", "mixed", "mixed"} {
		t.Run(fmt.Sprint(protocol, i+1), func(t *testing.T) {
			t.Parallel()
			s := scenario.Proof(uint64(i + 1))
			s.Protocol, s.PodSize = protocol, 2 // three pods, of which one speaks Thrift in a mixed one
			s.Faults = append(s.Faults, scenario.Fault{Kind: scenario.Kill, AtS: 0.9, ForS: 0.2, Agents: []int{i % 2}},
				scenario.Fault{Kind: []string{scenario.OtherProto, scenario.WrongSeq, scenario.WrongMethod}[i%3], AtS: 0.2, ForS: 1.5, Servers: []int{0, 1, 2, 3, 4, 5}, Part: 0.1})
			res := play(t, s, self("agent"))
			if res.Verdict != grade.Kept {
				t.Errorf("%s, seed %d: %s\n%+v", protocol, s.Seed, res.Line(), res.Breaches)
			}
			if res.Share < 0.3 {
				t.Errorf("%s, seed %d: %.0f%% of the worth in time", protocol, s.Seed, 100*res.Share)
			}
		})
	}
}

// calm is a short day on which nothing goes wrong.
func calm() scenario.Scenario {
	s := scenario.Proof(1)
	s.Faults, s.ForS = nil, 1
	return s
}

// An agent is killed with work at servers: its clients' further tries are theirs, and no rule is broken. It comes
// back under its name and address.
func TestAgentKilledAmidWork(t *testing.T) {
	s := calm()
	s.ForS, s.Agents = 2, 2
	s.Classes[1].WorkMs = 60 // some settles are surely out
	s.Faults = []scenario.Fault{{Kind: scenario.Kill, AtS: 0.7, ForS: 0.3, Agents: []int{0}}}
	res := play(t, s, self("agent"))
	if res.Verdict != grade.Kept {
		t.Fatal(res.Line(), res.Breaches)
	}
	var ups, kills, after int
	for _, e := range res.Events {
		switch {
		case e.Kind == grade.AgentUp && e.Agent == "n0":
			ups++
		case e.Kind == grade.AgentKill && e.Agent == "n0":
			kills++
		case e.Kind == grade.Answer && e.Agent == "n0" && ups == 2:
			after++
		}
	}
	if ups != 2 || kills != 1 || after == 0 {
		t.Errorf("started %d times, killed %d times, %d answers after its return", ups, kills, after)
	}
}

func TestAgentRestartedInOrder(t *testing.T) {
	s := calm()
	s.ForS = 2
	s.Faults = []scenario.Fault{{Kind: scenario.Restart, AtS: 0.3, ForS: 0.1, Agents: []int{1}}}
	res := play(t, s, self("agent"))
	if res.Verdict != grade.Kept || res.Counts.Stops != s.Agents+1 {
		t.Fatal(res.Line(), res.Counts, res.Breaches)
	}
}

// A fault at 0 begins before an agent is ready, which starts with a list that does not know of it.
func TestFaultBeforeAnAgentIsReady(t *testing.T) {
	s := calm()
	s.Faults = []scenario.Fault{{Kind: scenario.Silent, ForS: 5, Servers: []int{0, 1}}, {Kind: scenario.ListOut, ForS: 0.5}}
	res := play(t, s, self("agent"))
	if res.Verdict != grade.Kept || res.Served == 0 {
		t.Fatal(res.Line(), res.Breaches)
	}
	silent := 0
	for _, e := range res.Events {
		if e.Kind == grade.AgentUp {
			break
		}
		if e.Kind == grade.Fault {
			silent++
		}
	}
	if silent != 3 {
		t.Errorf("%d faults noted before the first agent was started, want 3", silent)
	}
}

// The list is gone during a surge, while a server comes back under a new id at its old address and one moves.
func TestListGoneDuringASurge(t *testing.T) {
	s := calm()
	s.ForS = 3
	s.Surges = []scenario.Surge{{AtS: 0.5, ForS: 1.5, Times: 1.6}}
	s.Faults = []scenario.Fault{{Kind: scenario.ListOut, AtS: 0.6, ForS: 1.2}, {Kind: scenario.Replaced, AtS: 0.8, ForS: 0.2, Servers: []int{2}},
		{Kind: scenario.Moved, AtS: 0.3, ForS: 0.2, Servers: []int{3}}, {Kind: scenario.ListStale, AtS: 2.2, ForS: 0.2, AgeS: 0.5}}
	res := play(t, s, self("agent"))
	if res.Verdict != grade.Kept {
		t.Fatal(res.Line(), res.Breaches)
	}
	if res.ListLoad.Watches <= s.Agents {
		t.Errorf("%d watches by %d agents: none was taken up again", res.ListLoad.Watches, s.Agents)
	}
}

// At a site whose list is pushed nobody asks for it: agents must follow it all the same, also when it falls silent for a
// while. Servers drain, are replaced and move meanwhile; an agent without a watch sends to them.
func TestPushedList(t *testing.T) {
	s := scenario.Draw(3, scenario.Size{Servers: 6, Agents: 2, Rate: 150, ForS: 6, Speedup: 8})
	s.List.Pushed = true
	s.Surges = nil
	s.Faults = []scenario.Fault{
		{Kind: scenario.Drain, AtS: 0.5, ForS: 1.5, Servers: []int{0}},
		{Kind: scenario.Replaced, AtS: 1, ForS: 1, Servers: []int{1}},
		{Kind: scenario.ListOut, AtS: 2.5, ForS: 1},
		{Kind: scenario.Drain, AtS: 3.7, ForS: 1, Servers: []int{2}},
	}
	res := play(t, s, self("agent"))
	if res.Verdict == grade.Broke {
		t.Error(res.Line(), res.Breaches[0])
	}
	told := map[string]int{}
	for _, e := range res.Events {
		if e.Kind == grade.Told && len(e.Entries) > 0 && !e.Full {
			told[e.Agent]++
		}
	}
	if len(told) != 2 || told["n0"] < 4 || told["n1"] < 4 {
		t.Errorf("changes that were told: %v, want all at both agents", told)
	}
}

// A run that is stopped leaves no process, and a grade that says so.
func TestStoppedRunIsPartial(t *testing.T) {
	s := calm()
	s.ForS = 60
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var pids []int
	res, err := Run(ctx, Options{Plan: scenario.MakePlan(s), Command: self("agent"), Tick: func(p Progress) {
		if p.Phase == "playing" && p.Sent > 20 && pids == nil {
			pids = children(t)
			cancel()
		}
	}})
	if err != nil {
		t.Fatal(err)
	}
	if !res.Partial || res.Verdict == grade.Broke || !strings.Contains(res.Line(), "PARTIAL") || res.Requests == 0 {
		t.Errorf("%s, %d requests, %v", res.Line(), res.Requests, res.Breaches)
	}
	if len(pids) != s.Agents {
		t.Errorf("%d agents ran, want %d", len(pids), s.Agents)
	}
	for _, pid := range pids {
		if err := syscall.Kill(pid, 0); !errors.Is(err, syscall.ESRCH) {
			t.Errorf("process %d is still there: %v", pid, err)
		}
	}
}

// children are the processes that this one has started.
func children(t *testing.T) (pids []int) {
	t.Helper()
	stats, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, name := range stats {
		raw, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		var pid, parent int
		var state string
		rest := string(raw[bytes.LastIndexByte(raw, ')')+1:])
		if _, err := fmt.Sscanf(rest, "%s %d", &state, &parent); err != nil || parent != os.Getpid() || state == "Z" {
			continue
		}
		fmt.Sscanf(string(raw), "%d", &pid)
		pids = append(pids, pid)
	}
	return pids
}

// What keeps a run from being played is one line, and nothing is left running (goleak sees to the rest).
func TestRunsThatCannotBePlayed(t *testing.T) {
	for _, c := range []struct {
		name    string
		command []string
		want    string
	}{
		{"no such program", []string{"/nowhere/violetlatch"}, "agent n0: "},
		{"a program that ends at once", self("dies"), "agent n0 ended with status 7 before it was ready: no such luck"},
		{"an unknown flaw", self("naive", "sulks"), `agent n0 ended with status 1 before it was ready: unknown flaw "sulks"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Run(context.Background(), Options{Plan: scenario.MakePlan(calm()), Command: c.command})
			if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("%v, want %s", err, c.want)
			}
			if left := children(t); len(left) > 0 {
				t.Errorf("processes %v are left", left)
			}
		})
	}
}

func TestFind(t *testing.T) {
	dir := t.TempDir()
	kit := filepath.Join(dir, "latchkit")
	got, err := Find("", kit)
	if err != nil || !slices.Equal(got, []string{kit, "agent"}) {
		t.Errorf("alone: %v, %v", got, err)
	}
	beside := filepath.Join(dir, "violetlatch")
	if err := os.WriteFile(beside, nil, 0o755); err != nil {
		t.Fatal(err)
	}
	if got, err := Find("", kit); err != nil || !slices.Equal(got, []string{beside}) {
		t.Errorf("with one beside it: %v, %v", got, err)
	}
	if got, err := Find("naive:none", kit); err != nil || !slices.Equal(got, []string{kit, "naive", "none"}) {
		t.Errorf("naive: %v, %v", got, err)
	}
	if _, err := Find(filepath.Join(dir, "none"), kit); err == nil || strings.Contains(err.Error(), "\n") {
		t.Errorf("missing: %v", err)
	}
}

// A record that was kept is graded as the run was; one that is cut or newer is turned away with its line.
func TestRecordIsGradedAgain(t *testing.T) {
	s := scenario.Proof(2)
	res := play(t, s, self("naive", naive.IgnoresDrains))
	var kept bytes.Buffer
	if err := res.WriteRecord(&kept); err != nil {
		t.Fatal(err)
	}
	text := kept.String()
	again, err := ReadRecord(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	if again.Line() != res.Line() || len(again.Breaches) != len(res.Breaches) || again.Share != res.Share {
		t.Errorf("%s, was %s", again.Line(), res.Line())
	}
	lines := strings.SplitAfter(text, "\n")
	for name, c := range map[string]struct{ text, want string }{
		"empty":        {"", "line 1: no record"},
		"not a record": {"{}\n", "line 1: record of version 0"},
		"newer":        {strings.Replace(text, `"record":1`, `"record":2`, 1), "line 1: record of version 2, this build reads version 1"},
		"cut amid":     {text[:len(text)-20], fmt.Sprintf("line %d: ", len(lines)-1)},
		"cut between":  {strings.Join(lines[:len(lines)-2], ""), fmt.Sprintf("%d events, the head says %d", len(lines)-3, len(lines)-2)},
		"one missing":  {strings.Join(slices.Delete(slices.Clone(lines), 4, 5), ""), "line 5: event 5, want 4"},
	} {
		if _, err := ReadRecord(strings.NewReader(c.text)); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
}

// The table and the page say what broke and when; the page asks nothing of the network.
func TestTableAndPage(t *testing.T) {
	s := scenario.Proof(3)
	at := 300 * time.Millisecond
	events := []grade.Event{
		{Seq: 1, Kind: grade.AgentUp, Agent: "n0"},
		{Seq: 2, At: at, Kind: grade.Asked, Job: "q", Class: "sale-settle", Agent: "n0"},
		{Seq: 3, At: at, Kind: grade.Sent, Request: "q", Job: "q", Class: "sale-settle", Agent: "n0", Budget: time.Second},
		{Seq: 4, At: 2 * at, Kind: grade.Answer, Request: "q", Job: "q", Class: "sale-settle", Status: 200},
	}
	res := &Result{Report: grade.Judge(rules(&s), events), Scenario: s, Agent: "<agent>"}
	var table, page bytes.Buffer
	res.Table(&table)
	if err := res.Page(&page); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"BROKEN lost at 0.600 s: served with what no server made for it, request q, agent n0", "broke: lost once, first lost at 0.600 s"} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("the table lacks %q:\n%s", want, table.String())
		}
	}
	html := page.String()
	for _, want := range []string{"<b>lost</b> at 0.600 s", `class="breach"`, "&lt;agent&gt;", "swallow"} {
		if !strings.Contains(html, want) {
			t.Errorf("the page lacks %q", want)
		}
	}
	for _, not := range []string{"http://", "https://", "<script", "NaN", "ZgotmplZ"} {
		if strings.Contains(html, not) {
			t.Errorf("the page has %q", not)
		}
	}
}
