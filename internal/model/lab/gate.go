package lab

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"time"

	"saltmast"
	"saltmast/internal/model"
	"saltmast/internal/scenario"
)

// The gate: the days of a large fleet on the model, each held against the four rules and against policies that no agent
// can be. It passes or fails; there is no score.

// RuleService and RuleReturn are the gate's own, beside the model's: too little was served; servers that came back are left alone.
const (
	RuleService = "service"
	RuleReturn  = "return"
)

const (
	// Of what the late-seeing policy serves, on any day. The operators' own trial wants half; here the module lies at 0.96 at
	// the least over 24 days of 40 and 300 agents, so less than 0.8 is no chance.
	lateShare  = 0.8
	plainLess  = 0.05 // on calm: what the plainest policy serves, less so much ...
	lateLess   = 0.1  // ... or what the late-seeing one does, less this, if that is lower
	leastBack  = 0.25 // of a server's mean part, for those that are back
	gateTrials = 40   // runs of one shrinking
)

// GateOptions say what is played.
type GateOptions struct {
	Days    []string // none: all
	Seeds   []uint64
	Size    scenario.Size
	Module  string // "": the real one; else one of Wrong
	Beside  int    // days side by side; 0: one a processor
	Shrink  bool   // look for the smallest day that fails in the same way
	Decided func(Verdict)
}

// Verdict is one day.
type Verdict struct {
	Day    string  `json:"day"`
	Seed   uint64  `json:"seed"`
	Agents int     `json:"agents"`
	Servs  int     `json:"servers"`
	Zones  int     `json:"zones"`
	Passed bool    `json:"passed"`
	Rule   string  `json:"rule,omitempty"` // the first that failed
	AtS    float64 `json:"at_s,omitempty"`
	What   string  `json:"what,omitempty"`

	Share    float64 `json:"share"` // of the worth, in time
	Worst    float64 `json:"worst"`
	Late     float64 `json:"late_share"`            // by the policy that sees late
	Plain    float64 `json:"plain_share,omitempty"` // by the plainest, on calm
	Wanted   float64 `json:"wanted"`
	Refused  float64 `json:"refused"`
	Attempts float64 `json:"attempts"` // for each request
	Coldest  float64 `json:"coldest"`
	Returned float64 `json:"returned"` // see model.Result

	Windows     []model.Window     `json:"-"`
	LateWindows []model.Window     `json:"-"`
	Smallest    *scenario.Scenario `json:"-"`
	Trials      int                `json:"trials,omitempty"`
}

// Gate plays days and returns their verdicts in the order of days, then seeds, whatever order they ended in.
func Gate(ctx context.Context, o GateOptions) ([]Verdict, error) {
	if len(o.Days) == 0 {
		o.Days = scenario.Days
	}
	if o.Module != "" && Wrong[o.Module] == nil {
		return nil, fmt.Errorf("module %q is none of %v", o.Module, WrongKinds())
	}
	type job struct {
		day  string
		seed uint64
	}
	var jobs []job
	for _, d := range o.Days {
		for _, s := range o.Seeds {
			jobs = append(jobs, job{d, s})
		}
	}
	all := make([]Verdict, len(jobs))
	err := sideBySide(ctx, cmp.Or(o.Beside, runtime.NumCPU()), len(jobs), func(i int) error {
		s, err := scenario.DrawDay(jobs[i].day, jobs[i].seed, o.Size)
		if err == nil {
			all[i], err = judge(ctx, jobs[i].day, s, o)
		}
		if err != nil {
			return fmt.Errorf("%s, seed %d: %w", jobs[i].day, jobs[i].seed, err)
		}
		return nil
	}, func(i int) {
		if o.Decided != nil {
			o.Decided(all[i])
		}
	})
	if err != nil {
		return nil, err
	}
	return all, nil
}

// judge plays one day and, if it fails and that is wanted, ever smaller ones.
func judge(ctx context.Context, day string, s scenario.Scenario, o GateOptions) (Verdict, error) {
	v, err := playDay(day, s, o)
	if err != nil || v.Passed || !o.Shrink {
		return v, err
	}
	found := scenario.Finding{Fails: true, At: time.Duration(v.AtS * 1e9)}
	lawful := func(c *scenario.Scenario) error { return c.CheckWithin(Sizes) }
	least, trials := scenario.ShrinkBy(lawful, s, found, gateTrials, func(c scenario.Scenario) scenario.Finding {
		if ctx.Err() != nil {
			return scenario.Finding{}
		}
		got, err := playDay(day, c, o)
		return scenario.Finding{Fails: err == nil && !got.Passed && got.Rule == v.Rule, At: time.Duration(got.AtS * 1e9)}
	})
	v.Smallest, v.Trials = &least, trials
	return v, nil
}

// playDay plays a day by the module and by the policies that it is held against.
func playDay(day string, s scenario.Scenario, o GateOptions) (Verdict, error) {
	v := Verdict{Day: day, Seed: s.Seed, Agents: s.Agents, Servs: s.Servers, Zones: max(1, s.Zones)}
	if err := s.CheckWithin(Sizes); err != nil {
		return v, err
	}
	plan := scenario.MakePlan(s)
	run := model.Options{Plan: plan}
	if o.Module != "" {
		Wrong[o.Module](&run)
	}
	r, err := model.Run(run)
	if err != nil {
		return v, err
	}
	late, err := model.Run(model.Options{Plan: plan, Late: true})
	if err != nil {
		return v, err
	}
	v.Share, v.Worst, v.Late, v.Coldest, v.Returned = r.Share, r.Worst, late.Share, r.Coldest, r.Returned
	v.Refused, v.Attempts = float64(r.Refused)/float64(max(1, r.Requests)), float64(r.Attempts)/float64(max(1, r.Requests))
	v.Windows, v.LateWindows = r.Windows, late.Windows
	v.Wanted = lateShare * late.Share
	if day == scenario.Calm {
		plain, err := model.Run(model.Options{Plan: plan, Blind: true})
		if err != nil {
			return v, err
		}
		v.Plain = plain.Share
		v.Wanted = max(v.Wanted, min(plain.Share-plainLess, late.Share-lateLess))
	}
	fail := func(rule string, at float64, what string) { v.Rule, v.AtS, v.What = rule, at, what }
	switch {
	case len(r.Broken) > 0:
		fail(r.Broken[0].Rule, r.Broken[0].AtS, r.Broken[0].What)
	case v.Share < v.Wanted:
		fail(RuleService, worstAt(r.Windows), fmt.Sprintf("served %.3f of the worth in time, %.3f is wanted", v.Share, v.Wanted))
	case v.Returned >= 0 && v.Returned < leastBack:
		fail(RuleReturn, 0.75*s.ForS, fmt.Sprintf("servers that came back get %.2f of what the others get", v.Returned))
	}
	v.Passed = v.Rule == ""
	return v, nil
}

// worstAt is the second in which most worth was lost.
func worstAt(all []model.Window) (at float64) {
	most := math.Inf(-1)
	for _, w := range all {
		if lost := w.Asked - w.InTime; lost > most {
			most, at = lost, float64(w.AtS)
		}
	}
	return at
}

// GateLine prints a verdict as one line.
func GateLine(w io.Writer, v Verdict) error {
	word := "passed"
	if !v.Passed {
		word = fmt.Sprintf("failed  %s at %.1f s: %s", v.Rule, v.AtS, v.What)
	}
	_, err := fmt.Fprintf(w, "%-6s seed %-4d %4d x %-4d %d zones  served %.3f (late %.3f, wanted %.3f)  worst 10 s %.3f  refused %.3f  att/r %.2f  cold %.2f  back %s  %s\n",
		v.Day, v.Seed, v.Agents, v.Servs, v.Zones, v.Share, v.Late, v.Wanted, v.Worst, v.Refused, v.Attempts, v.Coldest, part(v.Returned), word)
	return err
}

func part(x float64) string {
	if x < 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", x)
}

// Failed are the verdicts that did not pass.
func Failed(all []Verdict) []Verdict {
	return slices.DeleteFunc(slices.Clone(all), func(v Verdict) bool { return v.Passed })
}

// Wrong are modules, or agents, that are wrong on purpose, each in one way that the gate has to catch.
var Wrong = map[string]func(*model.Options){
	// Everyone tries a server that has just started, at once.
	"rushes-cold": func(o *model.Options) {
		o.Decide = func(s saltmast.Settings, seed uint64) (model.Decider, error) {
			b, err := saltmast.New(s, seed)
			return &rushes{inner: b, known: map[string]time.Duration{}}, err
		}
	},
	// A server that failed once, be it by one broken connection, is never used again.
	"never-returns": func(o *model.Options) {
		o.Decide = func(s saltmast.Settings, seed uint64) (model.Decider, error) {
			b, err := saltmast.New(s, seed)
			return &grudge{inner: b, gone: map[string]bool{}}, err
		}
	},
	// A drain is heard late.
	"hears-late": func(o *model.Options) { o.Deaf = 2 * time.Second },
}

// WrongKinds are their names.
func WrongKinds() []string {
	var names []string
	for k := range Wrong {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// rushes sends its next requests to whichever server started last.
type rushes struct {
	inner model.Decider
	known map[string]time.Duration
	to    string
	left  int
}

func (m *rushes) Step(now time.Duration, events []saltmast.Event) []saltmast.Action {
	for _, e := range events {
		if l, ok := e.(saltmast.List); ok {
			for _, b := range l.Backends {
				if b.State == saltmast.Up && b.Started > m.known[b.ID] {
					m.known[b.ID] = b.Started
					m.to, m.left = b.ID, 4
				}
			}
		}
	}
	out := m.inner.Step(now, events)
	for i, a := range out {
		if s, ok := a.(saltmast.Send); ok && m.left > 0 {
			m.left--
			s.Backend = m.to
			out[i] = s
		}
	}
	return out
}

// grudge hides from its module, for good, each server at which an attempt failed.
type grudge struct {
	inner model.Decider
	gone  map[string]bool
}

func (m *grudge) Step(now time.Duration, events []saltmast.Event) []saltmast.Action {
	var all []saltmast.Event
	for _, e := range events {
		if l, ok := e.(saltmast.List); ok {
			l.Backends = slices.Clone(l.Backends)
			for i := range l.Backends {
				if m.gone[l.Backends[i].ID] {
					l.Backends[i].State = saltmast.Gone
				}
			}
			e = l
		}
		all = append(all, e)
		if o, ok := e.(saltmast.Outcome); ok && (o.Result == saltmast.ConnectFailed || o.Result == saltmast.TimedOut || o.Result == saltmast.Reset) {
			m.gone[o.Backend] = true
			all = append(all, saltmast.List{Kind: saltmast.ListDelta, Backends: []saltmast.Backend{{ID: o.Backend, State: saltmast.Gone}}})
		}
	}
	return m.inner.Step(now, all)
}
