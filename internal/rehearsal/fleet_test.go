package rehearsal

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"saltmast/internal/scenario"
	"saltmast/internal/standin/between"
)

// quick is what the agents of these tests share: the times are short, so that what must come about does so soon.
func quick() *Peers {
	return &Peers{ProbeMs: 100, ExchangeMs: 300, RejoinMs: 200, WindowS: 120, Windows: 4, Bytes: 16384}
}

const longWait = 30 * time.Second

// playFleet plays a scenario with agents that share state.
func playFleet(t *testing.T, s scenario.Scenario, p *Peers, o Options) *Result {
	t.Helper()
	s.Peers = p
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	o.Plan = scenario.MakePlan(s)
	if o.Command == nil {
		o.Command = self("agent")
	}
	res, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range res.Breaches {
		t.Errorf("seed %d: %s: %s at %v, agent %s", s.Seed, b.Rule, b.What, b.At, b.Agent)
	}
	return res
}

// know waits until each of some agents counts so many members as living.
func know(ctx context.Context, f *Fleet, want int, of ...int) error {
	return f.Until(ctx, fmt.Sprintf("agents %v to know %d", of, want), longWait, func() bool {
		for _, i := range of {
			if v, err := f.View(ctx, i); err != nil || v.Alive != want {
				return false
			}
		}
		return true
	})
}

// agree waits until all agents say that as many attempts were made as the servers saw.
func agree(ctx context.Context, f *Fleet) error {
	last := ""
	err := f.Until(ctx, "all to agree with what the servers saw", longWait, func() bool {
		seen := f.Seen().Attempts
		last = fmt.Sprint("servers ", seen)
		same := true
		for i := range f.Agents() {
			s, err := f.Shared(ctx, i)
			if err != nil {
				return false
			}
			n := Answered(s)
			last += fmt.Sprint(", ", f.Name(i), " ", n)
			same = same && n == seen
		}
		return same
	})
	if err != nil {
		return fmt.Errorf("%w: %s", err, last)
	}
	return nil
}

// Two processes share one count. A cut parts them under load: each goes on with what it has, which grows by its own alone
// and is never more than what the servers saw. Once it has healed, both say what the servers saw.
func TestTwoProcessesShareOneCountOverACut(t *testing.T) {
	s := calm()
	s.Agents, s.ForS, s.Rate = 2, 4, 150
	cut := false
	playFleet(t, s, quick(), Options{
		During: func(ctx context.Context, f *Fleet) error {
			if err := know(ctx, f, 2, 0, 1); err != nil {
				return err
			}
			heard := func(i, n int) func() bool {
				return func() bool {
					s, err := f.Shared(ctx, i)
					return err == nil && len(s.Windows) > 0 && s.Windows[len(s.Windows)-1].Agents == n
				}
			}
			for i := range 2 {
				if err := f.Until(ctx, f.Name(i)+" to hear the other's counts", longWait, heard(i, 2)); err != nil {
					return err
				}
			}
			f.Net().Between([]int{0}, []int{1}, true, between.Link{Cut: true})
			f.Note("cut")
			if err := know(ctx, f, 1, 0, 1); err != nil {
				return err
			}
			before := [2]int{}
			for i := range 2 {
				s, err := f.Shared(ctx, i)
				if err != nil {
					return err
				}
				before[i] = Answered(s)
			}
			if err := f.Until(ctx, "each to count on by itself", longWait, func() bool {
				for i := range 2 {
					s, err := f.Shared(ctx, i)
					n := Answered(s)
					if err != nil || n < before[i]+20 {
						return false
					}
					if seen := f.Seen().Attempts; n > seen {
						t.Errorf("%s says %d, servers saw %d", f.Name(i), n, seen)
					}
				}
				return true
			}); err != nil {
				return err
			}
			cut = true
			f.Net().Heal()
			f.Note("heal")
			return nil
		},
		After: func(ctx context.Context, f *Fleet) error {
			if err := know(ctx, f, 2, 0, 1); err != nil {
				return err
			}
			return agree(ctx, f)
		}})
	if !cut {
		t.Error("the cut was not played")
	}
}

// storm is a load in which one agent carries most and a part of the requests fails wherever it goes: retries are wanted all
// the time, far more than the budget lets pass, and more by all once the surge comes.
func storm(seed uint64) scenario.Scenario {
	s := calm()
	s.Seed, s.Agents, s.Servers, s.PodSize, s.ForS, s.Rate = seed, 6, 4, 2, 6.5, 140
	s.Clients.Skew, s.Clients.BusyPart, s.Clients.BusyTimes, s.Clients.Retries = 0, 0.17, 14, 0
	s.Server.ErrorRate, s.Rules.MaxAttempts = 0.2, 4
	for i := range s.Classes {
		s.Classes[i].WorkMs, s.Classes[i].Effect = 1, scenario.Safe
		s.Classes[i].AimMs, s.Classes[i].DeadlineMs = 200, 400
	}
	s.Surges = []scenario.Surge{{AtS: 2.8, ForS: 3.7, Times: 4}}
	return s
}

const (
	stormBudget = 30.0 // retries a second of all six
	stormBurst  = 0.15 // s
)

func budgeted(leaseMs int) *Peers {
	p := quick()
	p.Retries, p.Static, p.LeaseMs, p.BurstMs = stormBudget, 0.25, leaseMs, stormBurst*1000
	return p
}

// borrowed waits until the busy agent holds more than its own part, of others.
func borrowed(ctx context.Context, f *Fleet) (busy int, err error) {
	busy = -1
	return busy, f.Until(ctx, "one to borrow", longWait, func() bool {
		for i := range f.Agents() {
			s, err := f.Shared(ctx, i)
			if err == nil && s.Retries != nil && 2*s.Retries.Held > 3*s.Retries.Home && len(s.Retries.Borrowed) >= min(3, f.Agents()-1) {
				busy = i
				return true
			}
		}
		return false
	})
}

// rest is all agents but one.
func rest(f *Fleet, but int) (out []int) {
	for i := range f.Agents() {
		if i != but {
			out = append(out, i)
		}
	}
	return out
}

// budgetFaults are what is done to a fleet that spends a budget, once its busiest agent has borrowed of the others.
var budgetFaults = map[string]func(ctx context.Context, f *Fleet, busy int) error{
	"cut off with what it borrowed": func(ctx context.Context, f *Fleet, busy int) error {
		f.Net().Between([]int{busy}, rest(f, busy), true, between.Link{Cut: true})
		return know(ctx, f, 1, busy)
	},
	"in halves": func(ctx context.Context, f *Fleet, busy int) error {
		others := rest(f, busy)
		f.Net().Between([]int{busy, others[0], others[1]}, others[2:], true, between.Link{Cut: true})
		return know(ctx, f, 3, busy, others[4])
	},
	"is heard and hears not": func(ctx context.Context, f *Fleet, busy int) error {
		f.Net().Between(rest(f, busy), []int{busy}, false, between.Link{Cut: true})
		return f.Until(ctx, "its own part to be all", longWait, func() bool {
			s, err := f.Shared(ctx, busy)
			return err == nil && s.Retries.Held <= s.Retries.Home
		})
	},
	"halted for longer than a lease": func(ctx context.Context, f *Fleet, busy int) error {
		if err := f.Halt(busy); err != nil {
			return err
		}
		others := rest(f, busy)
		if err := f.Until(ctx, "what was lent to run out", longWait, func() bool {
			s, err := f.Shared(ctx, others[0])
			return err == nil && s.Retries.Held >= s.Retries.Home
		}); err != nil {
			return err
		}
		return f.Wake(busy)
	},
	"killed and started again, and its lenders too": func(ctx context.Context, f *Fleet, busy int) error {
		for _, i := range append(rest(f, busy)[:3], busy) {
			f.Kill(i)
			if err := f.Start(i); err != nil {
				return err
			}
		}
		return nil
	},
	"a network that loses, repeats and reorders": func(ctx context.Context, f *Fleet, busy int) error {
		all := append(rest(f, busy), busy)
		f.Net().Between(all, all, true, between.Link{Loss: 0.3, Repeat: 0.3, Delay: 5 * time.Millisecond, Jitter: 300 * time.Millisecond})
		return nil
	},
}

// Whatever happens between the agents, servers see no more retries in any span than the budget and the stated overshoot.
func TestABudgetHoldsAcrossProcesses(t *testing.T) {
	for name, fault := range budgetFaults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := storm(7)
			s.Peers = budgeted(1500)
			var seen Seen
			played := false
			playFleet(t, s, s.Peers, Options{
				During: func(ctx context.Context, f *Fleet) error {
					busy, err := borrowed(ctx, f)
					if err != nil {
						return err
					}
					f.Note(name)
					played = true
					return fault(ctx, f, busy)
				},
				After: func(ctx context.Context, f *Fleet) error { seen = f.Seen(); return nil }})
			over, from, to := seen.Over(stormBudget)
			if most := Overshoot(&s); over > most {
				t.Errorf("%.1f retries beyond the budget from %v to %v, %.1f are allowed", over, from, to, most)
			}
			if !played || len(seen.Retries) < 30 {
				t.Errorf("%d retries: nothing was at stake", len(seen.Retries))
			}
			t.Logf("%d retries of %d attempts, at most %.1f beyond the budget", len(seen.Retries), seen.Attempts, over)
		})
	}
}

// Two mistakes are caught by the budget's rule, twice the same: to take back what was lent from one that is not heard, and
// to go on with what was borrowed for good. One that makes none is not.
func TestFlawedRightsAreCaught(t *testing.T) {
	for _, c := range []struct {
		flaw    string // "": none
		leaseMs int
	}{{"takes-silent", 6000}, {"takes-silent", 6000}, {"keeps-rights", 1500}, {"keeps-rights", 1500}, {"", 6000}} {
		t.Run(c.flaw, func(t *testing.T) {
			t.Parallel()
			s := storm(7)
			// Of two, one has borrowed most of the other's part when it is cut off, and then both want all they can get.
			from := 2.5 + float64(c.leaseMs)/1000
			s.Agents, s.Clients.BusyPart = 2, 0.5
			s.ForS, s.Surges = from+4, []scenario.Surge{{AtS: from, ForS: 4, Times: 6}}
			for i := range s.Classes {
				s.Classes[i].AimMs, s.Classes[i].DeadlineMs = 100, 200
			}
			command := self("agent")
			if c.flaw != "" {
				command = self("naive", c.flaw)
			}
			s.Peers = budgeted(c.leaseMs)
			var seen Seen
			playFleet(t, s, s.Peers, Options{Command: command,
				During: func(ctx context.Context, f *Fleet) error {
					busy, err := borrowed(ctx, f)
					if err != nil {
						return err
					}
					return budgetFaults["cut off with what it borrowed"](ctx, f, busy)
				},
				After: func(ctx context.Context, f *Fleet) error { seen = f.Seen(); return nil }})
			over, _, _ := seen.Over(stormBudget)
			t.Logf("%q: %d retries of %d attempts, %.1f beyond the budget, %.1f allowed", c.flaw, len(seen.Retries), seen.Attempts, over, Overshoot(&s))
			if caught := over > Overshoot(&s); caught != (c.flaw != "") {
				t.Errorf("%q: %.1f beyond the budget, %.1f are allowed: caught %v", c.flaw, over, Overshoot(&s), caught)
			}
		})
	}
}

// Counts that are added up as they are heard say more than the servers saw; those that are joined never do, however often
// they are heard.
func TestCountsThatAreAddedUpAreCaught(t *testing.T) {
	for _, flaw := range []string{"counts-twice", ""} {
		s := calm()
		s.Agents, s.ForS = 3, 2
		command := self("agent")
		if flaw != "" {
			command = self("naive", flaw)
		}
		more := false
		playFleet(t, s, quick(), Options{Command: command,
			After: func(ctx context.Context, f *Fleet) error {
				if flaw == "" {
					return agree(ctx, f)
				}
				return f.Until(ctx, "one to say more than the servers saw", longWait, func() bool {
					s, err := f.Shared(ctx, 0)
					more = err == nil && Answered(s) > f.Seen().Attempts
					return more
				})
			}})
		if more != (flaw != "") {
			t.Errorf("%q: caught %v", flaw, more)
		}
	}
}

// Agents that are killed and started again, with a cut and a heal between: all that live agree, and say no more than the
// servers saw; what the killed had not told anybody is gone, and that is all.
func TestCountsSurviveKillsOfOthers(t *testing.T) {
	s := calm()
	s.Agents, s.ForS, s.Rate = 5, 4, 150
	s.Clients.Retries = 0
	playFleet(t, s, quick(), Options{
		During: func(ctx context.Context, f *Fleet) error {
			if err := know(ctx, f, 5, 0, 1, 2, 3, 4); err != nil {
				return err
			}
			f.Net().Between([]int{0, 1}, []int{2, 3, 4}, false, between.Link{Cut: true}) // one way
			for _, i := range []int{1, 4} {
				f.Kill(i)
				if err := f.Start(i); err != nil {
					return err
				}
			}
			f.Net().Heal()
			return nil
		},
		After: func(ctx context.Context, f *Fleet) error {
			if err := know(ctx, f, 5, 0, 1, 2, 3, 4); err != nil {
				return err
			}
			return f.Until(ctx, "all to say the same", longWait, func() bool {
				first := -1
				for i := range f.Agents() {
					s, err := f.Shared(ctx, i)
					if err != nil {
						return false
					}
					n := Answered(s)
					if seen := f.Seen().Attempts; n > seen {
						t.Errorf("%s says %d, the servers saw %d", f.Name(i), n, seen)
						return true
					}
					if first < 0 {
						first = n
					}
					if n != first {
						return false
					}
				}
				return true
			})
		}})
}

// A backend takes requests and answers none. All agents learn of it, those that have hardly any traffic too, by the word of
// three of two zones; and of no other. Once it is back and answers, nobody leaves it out.
func TestAllLearnOfASilentBackendAndOfItsReturn(t *testing.T) {
	s := calm()
	s.Agents, s.Servers, s.PodSize, s.ForS, s.Rate = 8, 8, 4, 8, 250
	s.Clients.Skew, s.Clients.BusyPart, s.Clients.BusyTimes = 0, 0.5, 30
	for i := range s.Classes {
		s.Classes[i].WorkMs = 2
	}
	s.Faults = []scenario.Fault{{Kind: scenario.Swallow, AtS: 1, ForS: 3, Servers: []int{2}}}
	p := quick()
	p.Zones, p.Witnesses, p.FadeS = 2, 3, 3
	learned := false
	playFleet(t, s, p, Options{
		During: func(ctx context.Context, f *Fleet) error {
			server := ""
			err := f.Until(ctx, "all to leave out one backend", longWait, func() bool {
				for i := range f.Agents() {
					s, err := f.Shared(ctx, i)
					if err != nil || len(s.LeftOut()) != 1 {
						return false
					}
					if server == "" {
						server = s.LeftOut()[0]
					}
					if s.LeftOut()[0] != server {
						t.Errorf("%s leaves out %v, another %s", f.Name(i), s.LeftOut(), server)
					}
				}
				return true
			})
			learned = err == nil
			return err
		},
		After: func(ctx context.Context, f *Fleet) error {
			return f.Until(ctx, "nobody to leave out any", longWait, func() bool {
				for i := range f.Agents() {
					if s, err := f.Shared(ctx, i); err != nil || len(s.LeftOut()) > 0 {
						return false
					}
				}
				return true
			})
		}})
	if !learned {
		t.Error("not learned")
	}
}

// Requests fail now and then wherever they go, so that a quiet agent sees two of a backend fail and none served, by chance.
// Those who believe one agent leave out backends that serve; the rule about judgements catches it, twice the same. Those who
// judge by the bounds do not.
func TestBelievingOneAgentIsCaught(t *testing.T) {
	for _, flaw := range []string{"believes-one", "believes-one", ""} {
		t.Run(flaw, func(t *testing.T) {
			t.Parallel()
			s := calm()
			s.Agents, s.Servers, s.PodSize, s.ForS, s.Rate = 6, 6, 3, 10, 24
			s.Clients.Skew, s.Clients.Retries, s.Server.ErrorRate = 0, 0, 0.35
			for i := range s.Classes {
				s.Classes[i].WorkMs, s.Classes[i].Effect = 2, scenario.Safe
			}
			s.Peers = quick()
			s.Peers.Witnesses, s.Peers.FadeS = 3, 6
			if err := s.Check(); err != nil {
				t.Fatal(err)
			}
			command := self("agent")
			if flaw != "" {
				command = self("naive", flaw)
			}
			res, err := PlayFleet(context.Background(), Options{Plan: scenario.MakePlan(s), Command: command})
			if err != nil {
				t.Fatal(err)
			}
			var rules []string
			for _, b := range res.Broken {
				if !slices.Contains(rules, b.Rule) {
					rules = append(rules, b.Rule)
				}
			}
			if want := flaw != ""; slices.Equal(rules, []string{RuleJudgement}) != want || !want && len(rules) > 0 {
				t.Errorf("%q: broke %v", flaw, res.Broken)
			}
			t.Logf("%q: %s", flaw, res.Line())
		})
	}
}

// Guards against processes that were stopped for longer than their clients wait: what these had sent meanwhile is read when
// the process wakes, and went out to servers though they had long left. Eight of ten are halted, twice.
func TestHaltedAgentsSendNothingForThoseWhoHaveLeft(t *testing.T) {
	s := calm()
	s.Agents, s.Servers, s.PodSize, s.ForS, s.Rate = 10, 6, 3, 9, 300
	s.Clients.Skew, s.Clients.Retries = 0, 0
	for i := range s.Classes {
		s.Classes[i].WorkMs = 3
	}
	most := []int{1, 2, 3, 4, 5, 6, 7, 8}
	s.Faults = []scenario.Fault{{Kind: scenario.Halt, AtS: 0.8, ForS: 1.5, Agents: most}, {Kind: scenario.Halt, AtS: 3, ForS: 4, Agents: most}}
	playFleet(t, s, quick(), Options{})
}

// Guards against counts that go with agents that are restarted: seen with 150 in a rolling wave, a seventh of all answers.
// Here nothing is told in time: the bound on bytes is the least there is, and whole states are exchanged once an hour. All
// but one are told to stop; what they had counted is with the one that stays, and with those that come back.
func TestAgentsThatAreRestartedHandOnTheirCounts(t *testing.T) {
	s := calm()
	s.Agents, s.ForS, s.Rate = 4, 2, 150
	p := quick()
	p.Bytes, p.ExchangeMs = 64, 3_600_000
	playFleet(t, s, p, Options{After: func(ctx context.Context, f *Fleet) error {
		if err := know(ctx, f, 4, 0, 1, 2, 3); err != nil {
			return err
		}
		for i := 1; i < 4; i++ {
			f.Stop(i)
		}
		seen := f.Answers()
		return f.Until(ctx, fmt.Sprintf("the one that stays to know of all %d answers", seen), longWait, func() bool {
			s, err := f.Shared(ctx, 0)
			return err == nil && Answered(s) == seen
		})
	}})
}
