package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"saltmast/internal/grade"
	"saltmast/internal/scenario"
	"saltmast/internal/shared"
)

// The rules of what agents share, beside the four.
const (
	RuleBudget    = "budget"    // servers see no more retries in any span than the budget and its overshoot
	RuleCounts    = "counts"    // no agent ever says more than the servers answered, and in the end all say the same
	RuleJudgement = "judgement" // no backend that serves is left out by most agents for long
	RuleAgreement = "agreement" // after the last fault all that live know each other
)

const (
	// agreeLeast is how long after the load's end agents have to agree: the longest suspicion, and a few exchanges.
	agreeLeast = 30 * time.Second
	// recordBytes is more than what one agent's window of two classes takes.
	recordBytes = 64
	// sampleEach is how often agents are asked what they hold.
	sampleEach = 500 * time.Millisecond
	// leftOutPart of the agents may leave out a backend that serves, for leftOutFor beyond what a word counts for.
	leftOutPart = 0.5
	leftOutFor  = 3 * time.Second
	// askAtOnce bounds the agents that are asked at a time.
	askAtOnce = 16
)

// FleetResult is a run of agents that share state, with its grade.
type FleetResult struct {
	*Result
	Broken    []FleetBreach `json:"broken"`
	Budget    BudgetGrade   `json:"budget"`
	Counts    CountsGrade   `json:"counts"`
	Agreement time.Duration `json:"agreement_ns"` // from the end of the last fault until all knew each other, as sampled; negative: never
	Traffic   float64       `json:"traffic"`      // bytes a second that an agent was sent by others, in the mean, membership included
	Memory    int64         `json:"memory"`       // bytes, the largest that an agent had resident; 0: not known here
	Lanes     []FleetLane   `json:"lanes"`
}

// FleetBreach is one rule about what is shared, broken once.
type FleetBreach struct {
	Rule   string        `json:"rule"`
	What   string        `json:"what"`
	At     time.Duration `json:"at_ns"`
	Agents []string      `json:"agents,omitempty"`
}

// BudgetGrade is what servers counted of retries.
type BudgetGrade struct {
	Rate    float64       `json:"rate"`    // a second
	Allowed float64       `json:"allowed"` // beyond it, by the stated bound
	Worst   float64       `json:"worst"`   // that was seen
	From    time.Duration `json:"from_ns"`
	To      time.Duration `json:"to_ns"`
	Retries int           `json:"retries"`
}

// CountsGrade is what agents said at the end, beside what servers answered.
type CountsGrade struct {
	Servers int            `json:"servers"`
	Said    map[string]int `json:"said"`
}

// FleetLane is one agent over time.
type FleetLane struct {
	Agent   string   `json:"agent"`
	Samples []Sample `json:"samples"`
}

// Sample is what an agent said of itself at a time.
type Sample struct {
	At     time.Duration `json:"at_ns"`
	Down   bool          `json:"down,omitempty"` // it gave no answer
	Alive  int           `json:"alive"`          // members that it knows to live
	Held   int64         `json:"held"`           // of the budget, thousandths a second
	Home   int64         `json:"home"`
	Judged []string      `json:"judged,omitempty"` // backends that it leaves out on others' word
}

// PlayFleet plays a scenario in which agents share state, and grades it by the four rules and those about what they share.
func PlayFleet(ctx context.Context, o Options) (*FleetResult, error) {
	s := &o.Plan.Scenario
	if s.Peers == nil {
		return nil, errors.New("the scenario's agents share nothing: [peers] is missing")
	}
	f := &FleetResult{Agreement: -1, Counts: CountsGrade{Said: map[string]int{}}}
	o.During = func(ctx context.Context, fl *Fleet) error { f.sample(ctx, fl, sec(s.ForS)); return nil }
	o.After = f.settle
	res, err := Run(ctx, o)
	if err != nil {
		return nil, err
	}
	f.Result = res
	if !res.Partial {
		f.gradeBudget(s)
		f.gradeJudgement(s)
		f.gradeAgreement(s)
	}
	slices.SortFunc(f.Broken, func(a, b FleetBreach) int { return int(a.At - b.At) })
	return f, nil
}

// each asks all agents, some at a time.
func each(fl *Fleet, ask func(i int)) {
	var asking sync.WaitGroup
	places := make(chan struct{}, askAtOnce)
	for i := range fl.Agents() {
		asking.Add(1)
		places <- struct{}{}
		go func() { defer asking.Done(); ask(i); <-places }()
	}
	asking.Wait()
}

// sample asks all agents again and again until the load has ended.
func (f *FleetResult) sample(ctx context.Context, fl *Fleet, load time.Duration) {
	f.Lanes = make([]FleetLane, fl.Agents())
	for i := range f.Lanes {
		f.Lanes[i].Agent = fl.Name(i)
	}
	wrong := map[string]bool{}
	said := make([]int, fl.Agents())
	t := time.NewTicker(sampleEach)
	defer t.Stop()
	for {
		at := fl.Now() - fl.r.zero
		if at >= load {
			return
		}
		each(fl, func(i int) {
			s := Sample{At: at, Down: true}
			if sh, err := fl.Shared(ctx, i); err == nil {
				if v, err := fl.View(ctx, i); err == nil {
					s.Down, s.Alive, s.Judged = false, v.Alive, sh.LeftOut()
					if sh.Retries != nil {
						s.Held, s.Home = sh.Retries.Held, sh.Retries.Home
					}
				}
				said[i] = Answered(sh)
			}
			f.Lanes[i].Samples = append(f.Lanes[i].Samples, s)
		})
		truth := fl.Answers() // looked up after all have said: it only grows
		for i, n := range said {
			if name := fl.Name(i); n > truth && !wrong[name] {
				wrong[name] = true
				f.Broken = append(f.Broken, FleetBreach{Rule: RuleCounts, At: at, Agents: []string{name},
					What: fmt.Sprintf("says that %d attempts were answered, servers answered %d", n, truth)})
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// agreeWithin is how long a fleet has to agree: what all have in line has to pass through the bound on bytes, twice over, as
// each may have been started anew; and what gossip did not bring to all comes with a few exchanges of whole states, which
// get rarer with the logarithm of the fleet.
func agreeWithin(s *scenario.Scenario) time.Duration {
	line := 2 * s.Agents * shared.RecordCopies * recordBytes
	exchanges := 4 * max(1, math.Ceil(math.Log2(float64(s.Agents)/32))+1) * float64(s.Peers.ExchangeMs) / 1000
	return agreeLeast + sec(exchanges) + time.Duration(float64(line)/float64(max(64, s.Peers.Bytes))*float64(time.Second))
}

// settle waits until all know each other, and say the same.
func (f *FleetResult) settle(ctx context.Context, fl *Fleet) error {
	within := agreeWithin(fl.r.s)
	fl.Net().Heal()
	for i := range fl.Agents() {
		if err := fl.Wake(i); err != nil {
			return err
		}
		if !fl.Running(i) {
			if err := fl.Start(i); err != nil {
				return err
			}
		}
	}
	from := fl.Now()
	at := from - fl.r.zero
	for i := range fl.Agents() {
		f.Memory = max(f.Memory, fl.Memory(i))
	}
	f.Traffic = float64(fl.Net().Stats().Bytes) / from.Seconds() / float64(fl.Agents())
	var apart []string
	err := fl.Until(ctx, "all to know each other", within, func() bool {
		apart = f.those(fl, func(i int) bool {
			v, err := fl.View(ctx, i)
			return err == nil && v.Alive == fl.Agents()
		})
		return len(apart) == 0
	})
	switch {
	case errors.Is(err, ErrWaited):
		f.Broken = append(f.Broken, FleetBreach{Rule: RuleAgreement, At: at, Agents: apart, What: fmt.Sprintf("they do not know all that live, %v after the last fault", within)})
		return nil
	case err != nil:
		return err
	}
	f.Agreement = fl.Now() - from
	var mu sync.Mutex
	err = fl.Until(ctx, "all to say the same", within, func() bool {
		f.Counts.Servers = -1
		each(fl, func(i int) {
			n := -1
			if s, err := fl.Shared(ctx, i); err == nil {
				n = Answered(s)
			}
			mu.Lock()
			f.Counts.Said[fl.Name(i)] = n
			mu.Unlock()
		})
		f.Counts.Servers = fl.Answers()
		first := f.Counts.Said[fl.Name(0)]
		for _, n := range f.Counts.Said {
			if n != first || n < 0 {
				return false
			}
		}
		return true
	})
	switch {
	case errors.Is(err, ErrWaited):
		f.Broken = append(f.Broken, FleetBreach{Rule: RuleCounts, At: at, What: fmt.Sprintf("agents do not say the same, %v after the last fault: %v", within, f.Counts.Said)})
	case err != nil:
		return err
	case f.Counts.Said[fl.Name(0)] > f.Counts.Servers:
		f.Broken = append(f.Broken, FleetBreach{Rule: RuleCounts, At: at, What: fmt.Sprintf("all say that %d attempts were answered, servers answered %d", f.Counts.Said[fl.Name(0)], f.Counts.Servers)})
	}
	return nil
}

// those are the agents of which something is not so.
func (f *FleetResult) those(fl *Fleet, ok func(i int) bool) (out []string) {
	var mu sync.Mutex
	each(fl, func(i int) {
		if !ok(i) {
			mu.Lock()
			out = append(out, fl.Name(i))
			mu.Unlock()
		}
	})
	slices.Sort(out)
	return out
}

// Overshoot is by how many retries servers may see more than the budget's rate lets pass in a span: one whole of each agent's
// bucket, the burst, and what was spent up to a deadline before it came. An agent that was halted may bring as many
// once more as it held in hand when it woke: its bucket.
func Overshoot(s *scenario.Scenario) float64 {
	longest := 0.0
	for _, c := range s.Classes {
		longest = max(longest, c.DeadlineMs/1000)
	}
	return float64(s.Agents) + s.Peers.Retries*(float64(s.Peers.BurstMs)/1000+longest)
}

func (f *FleetResult) gradeBudget(s *scenario.Scenario) {
	if s.Peers.Retries == 0 {
		return
	}
	seen := Count(f.Events)
	g := BudgetGrade{Rate: s.Peers.Retries, Allowed: Overshoot(s), Retries: len(seen.Retries)}
	g.Worst, g.From, g.To = seen.Over(g.Rate)
	f.Budget = g
	if g.Worst > g.Allowed {
		f.Broken = append(f.Broken, FleetBreach{Rule: RuleBudget, At: g.To, What: fmt.Sprintf("servers saw %.1f retries beyond %v a second from %.3f to %.3f s, %.1f are allowed", g.Worst, g.Rate, g.From.Seconds(), g.To.Seconds(), g.Allowed)})
	}
}

// gradeAgreement tells from the samples since when all knew each other, where that was before the load's end.
func (f *FleetResult) gradeAgreement(s *scenario.Scenario) {
	if f.Agreement < 0 || len(f.Lanes) == 0 {
		return
	}
	last := 0.0
	for _, ft := range s.Faults {
		if scenario.On(ft.Kind) == "agent" {
			last = max(last, ft.AtS+ft.ForS)
		}
	}
	f.Agreement += max(0, sec(s.ForS-last)) // all of them, if no sample says better
	for k := len(f.Lanes[0].Samples) - 1; k >= 0; k-- {
		at := f.Lanes[0].Samples[k].At
		all := !slices.ContainsFunc(f.Lanes, func(l FleetLane) bool {
			return k >= len(l.Samples) || l.Samples[k].Down || l.Samples[k].Alive < len(f.Lanes)
		})
		if !all || at < sec(last) {
			break
		}
		f.Agreement = at - sec(last)
	}
}

// gradeJudgement looks for backends that were left out by most while they served.
func (f *FleetResult) gradeJudgement(s *scenario.Scenario) {
	if s.Peers.Witnesses == 0 || len(f.Lanes) == 0 {
		return
	}
	fade := time.Duration(s.Peers.FadeS) * time.Second
	sick := func(server string, at time.Duration) bool { // or it was, until a word of it may still count
		for _, ft := range s.Faults {
			if scenario.On(ft.Kind) != "server" {
				continue
			}
			for _, t := range ft.Servers {
				if f.Servers[t].ID == server && at >= sec(ft.AtS) && at <= sec(ft.AtS+ft.ForS)+fade+leftOutFor {
					return true
				}
			}
		}
		return false
	}
	since := map[string]time.Duration{}
	told := map[string]bool{}
	for k := range f.Lanes[0].Samples {
		by := map[string][]string{}
		at, up := f.Lanes[0].Samples[k].At, 0
		for _, l := range f.Lanes {
			if k >= len(l.Samples) || l.Samples[k].Down {
				continue
			}
			up++
			for _, id := range l.Samples[k].Judged {
				by[id] = append(by[id], l.Agent)
			}
		}
		for id := range since {
			if float64(len(by[id])) <= leftOutPart*float64(up) {
				delete(since, id)
			}
		}
		for id, who := range by {
			if float64(len(who)) <= leftOutPart*float64(up) || sick(id, at) {
				delete(since, id)
				continue
			}
			if _, ok := since[id]; !ok {
				since[id] = at
			}
			if at-since[id] > leftOutFor && !told[id] {
				told[id] = true
				f.Broken = append(f.Broken, FleetBreach{Rule: RuleJudgement, At: at, Agents: who, What: fmt.Sprintf("%s serves and is left out since %.1f s", id, since[id].Seconds())})
			}
		}
	}
}

// Answers is how many attempts servers have answered so far.
func (f *Fleet) Answers() (n int) {
	for _, e := range f.r.record.Events() {
		if e.Kind == grade.Reply || e.Kind == grade.Reject {
			n++
		}
	}
	return n
}

// Line is the verdict in one line.
func (f *FleetResult) Line() string {
	verdict := f.Result.Line()
	if len(f.Broken) > 0 {
		var rules []string
		for _, b := range f.Broken {
			if !slices.Contains(rules, b.Rule) {
				rules = append(rules, b.Rule)
			}
		}
		verdict = "broke: " + strings.Join(rules, ", ") + "; " + verdict
	}
	return fmt.Sprintf("%s; %d agents, %.1f of %.1f beyond the budget, %d of %d answers counted, agreed in %.1f s",
		verdict, len(f.Lanes), f.Budget.Worst, f.Budget.Allowed, f.Counts.Said["n0"], f.Counts.Servers, f.Agreement.Seconds())
}

// Table prints the grade.
func (f *FleetResult) Table(w io.Writer) {
	f.Result.Table(w)
	fmt.Fprintf(w, "\nshared by %d agents, seed %d\n", len(f.Lanes), f.Scenario.Seed)
	if f.Budget.Rate > 0 {
		fmt.Fprintf(w, "  budget     %d retries at servers; at most %.1f beyond %v a second, %.1f allowed\n", f.Budget.Retries, f.Budget.Worst, f.Budget.Rate, f.Budget.Allowed)
	}
	fmt.Fprintf(w, "  counts     agents say %d answers, servers gave %d\n", f.Counts.Said["n0"], f.Counts.Servers)
	fmt.Fprintf(w, "  agreement  %.1f s after the last fault between agents or of one\n", f.Agreement.Seconds())
	fmt.Fprintf(w, "  traffic    %.0f bytes a second to each agent, membership included\n", f.Traffic)
	fmt.Fprintf(w, "  memory     %.0f MB resident at the most\n", float64(f.Memory)/(1<<20))
	for _, b := range f.Broken {
		fmt.Fprintf(w, "  broken     %s at %.2f s: %s %s\n", b.Rule, b.At.Seconds(), b.What, strings.Join(b.Agents, " "))
	}
}
