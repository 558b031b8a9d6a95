package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"saltmast/internal/grade"
	"saltmast/internal/naive"
	"saltmast/internal/rehearsal"
	"saltmast/internal/replay"
	"saltmast/internal/replay/drive"
	"saltmast/internal/scenario"
)

// rehearseFlags are the flags of rehearse.
type rehearseFlags struct {
	seed                       uint64
	seeds, file                string
	size                       scenario.Size
	agent, logs                string
	protocol                   string
	pushed                     bool
	load                       string
	recorded                   recordingFlags
	json, html, record         string
	plan, write, shrink, quiet bool
	trials                     int
	kills                      int
	out                        string
}

func rehearseCommand() *cobra.Command {
	var f rehearseFlags
	c := &cobra.Command{
		Use:   "rehearse",
		Short: "Play a bad half minute and grade it by the four rules",
		Long: `rehearse draws a scenario from a seed, or reads one from a file, and plays it:
stand-in servers and a stand-in list, real agents as processes of their own,
clients with their habits, and everything that goes wrong. One seed gives the
same plan on every machine.`,
		Example: `  latchkit rehearse
  latchkit rehearse --seed 7 --html morning.html
  latchkit rehearse --seeds 1-20
  latchkit rehearse --seed 7 --write-scenario > mine.toml
  latchkit rehearse --scenario mine.toml --json -
  latchkit rehearse --agent naive:ignores-drains --seed 7 --shrink --out small.toml`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	fl := c.Flags()
	fl.Uint64Var(&f.seed, "seed", 1, "draws everything: faults, arrivals, work, ids")
	fl.StringVar(&f.seeds, "seeds", "", "play several seeds, such as 1-20 or 3,7,9, a line each")
	fl.StringVar(&f.file, "scenario", "", "read the scenario from a TOML `file`")
	fl.IntVar(&f.size.Servers, "servers", 0, "auth servers (default 8)")
	fl.IntVar(&f.size.Agents, "agents", 0, "agents, each a process (default 4)")
	fl.Float64Var(&f.size.Rate, "rate", 0, "first tries a second, all agents together (default: two thirds to four fifths of what the servers can do)")
	fl.Float64Var(&f.size.ForS, "for", 0, "seconds of load (default 20)")
	fl.Float64Var(&f.size.Speedup, "speedup", 0, "divides the times of service: work, aims, deadlines, faults (default 4)")
	fl.StringVar(&f.agent, "agent", "", "`path` of the daemon, or naive:KIND for one with a flaw: "+strings.Join(naive.Kinds, ", ")+" (default: violetlatch beside latchkit, else latchkit itself)")
	fl.StringVar(&f.protocol, "protocol", "", "what callers and servers speak: http, thrift-binary, thrift-compact or mixed (default http)")
	fl.BoolVar(&f.pushed, "pushed", false, "the list is pushed to each agent's own machine and asked by none; out of reach, it is silent")
	fl.StringVar(&f.load, "load", "", "play the load of a recorded `file` in place of a drawn one, at the scenario's pace and rate; its findings must be accepted")
	f.recorded.reading(c)
	f.recorded.trusting(c)
	fl.StringVar(&f.logs, "logs", "", "keep the agents' logs in this `folder`")
	fl.StringVar(&f.json, "json", "", "write the grade as JSON to this `file`, - for standard output")
	fl.StringVar(&f.html, "html", "", "write the grade as one HTML page to this `file`")
	fl.StringVar(&f.record, "record", "", "write all events as JSON lines to this `file`; latchkit grade reads it")
	fl.BoolVar(&f.plan, "plan", false, "print the plan as JSON lines and play nothing")
	fl.BoolVar(&f.write, "write-scenario", false, "print the scenario as a TOML file and play nothing")
	fl.BoolVar(&f.quiet, "quiet", false, "print the verdict alone")
	fl.BoolVar(&f.shrink, "shrink", false, "look for the smallest scenario that still breaks the same rule")
	fl.IntVar(&f.kills, "kill-settles", 0, "kill agents at random so many times, over as many rehearsals as it takes, and hold their journals of settles against what the servers saw")
	fl.IntVar(&f.trials, "trials", 40, "with --shrink: how many runs at the most")
	fl.StringVar(&f.out, "out", "", "with --shrink: write the smallest scenario to this `file` (default: standard output)")
	c.MarkFlagsMutuallyExclusive("seeds", "seed", "scenario")
	c.MarkFlagsMutuallyExclusive("plan", "write-scenario", "shrink", "seeds", "kill-settles")
	c.MarkFlagsMutuallyExclusive("load", "seeds", "shrink", "write-scenario", "kill-settles")
	c.MarkFlagsMutuallyExclusive("kill-settles", "json")
	c.MarkFlagsMutuallyExclusive("kill-settles", "html")
	c.MarkFlagsMutuallyExclusive("kill-settles", "record")
	c.MarkFlagsMutuallyExclusive("kill-settles", "scenario")
	for _, flag := range []string{"servers", "agents", "rate", "for", "speedup", "protocol", "pushed"} {
		c.MarkFlagsMutuallyExclusive("scenario", flag)
	}
	return c
}

// positive wants the flags that were set to be above 0.
func positive(cmd *cobra.Command, flags map[string]float64) error {
	for _, name := range slices.Sorted(maps.Keys(flags)) {
		if v := flags[name]; cmd.Flags().Changed(name) && !(v > 0) {
			return fmt.Errorf("--%s: %v is not above 0", name, v)
		}
	}
	return nil
}

// check refuses flags that make no sense.
func (f *rehearseFlags) check(cmd *cobra.Command) error {
	if err := positive(cmd, map[string]float64{"servers": float64(f.size.Servers), "agents": float64(f.size.Agents),
		"rate": f.size.Rate, "for": f.size.ForS, "speedup": f.size.Speedup, "trials": float64(f.trials), "kill-settles": float64(f.kills)}); err != nil {
		return err
	}
	if f.size.Servers > scenario.MaxServers || f.size.Agents > scenario.MaxAgents {
		return fmt.Errorf("--servers, --agents: %d and %d allowed", scenario.MaxServers, scenario.MaxAgents)
	}
	if kind, ok := strings.CutPrefix(f.agent, "naive:"); ok && !slices.Contains(naive.Kinds, kind) {
		return fmt.Errorf("--agent: naive:%s: the kind is one of %s", kind, strings.Join(naive.Kinds, ", "))
	}
	if f.seeds != "" && (f.json != "" || f.html != "" || f.record != "") {
		return errors.New("--seeds: --json, --html and --record take one run")
	}
	if strings.HasPrefix(f.agent, "naive:") && f.protocol != "" && f.protocol != "http" {
		return errors.New("--protocol: agents with a flaw speak http alone")
	}
	for _, name := range []string{"format", "fields", "zone", "accept", "map"} {
		if f.load == "" && cmd.Flags().Changed(name) {
			return fmt.Errorf("--%s goes with --load", name)
		}
	}
	if f.out != "" && !f.shrink {
		return errors.New("--out goes with --shrink")
	}
	return nil
}

func (f *rehearseFlags) run(cmd *cobra.Command) error {
	if err := f.check(cmd); err != nil {
		return usage(err)
	}
	if f.seeds != "" {
		return f.many(cmd)
	}
	if f.kills > 0 {
		return f.killSettles(cmd)
	}
	s, err := f.scenario(f.seed)
	if err != nil {
		return usage(err)
	}
	out := cmd.OutOrStdout()
	if f.write {
		text, err := s.File()
		if err == nil {
			_, err = out.Write(text)
		}
		return other(err)
	}
	plan := scenario.MakePlan(s)
	if f.load != "" {
		if err := f.takeLoad(cmd.Context(), plan, cmd.ErrOrStderr()); err != nil {
			return err
		}
	}
	if f.plan {
		_, err := plan.WriteTo(out)
		return other(err)
	}
	command, err := f.command()
	if err != nil {
		return other(err)
	}
	files, err := f.open(out)
	if err != nil {
		return other(err)
	}
	res, err := f.playWith(cmd.Context(), rehearsal.Options{Plan: plan, Command: command, Logs: f.logs, Load: f.load}, !f.quiet)
	if err != nil {
		files.drop()
		return other(err)
	}
	if err := files.write(res); err != nil {
		return other(err)
	}
	text := out
	if f.json == "-" || f.record == "-" || f.html == "-" {
		text = cmd.ErrOrStderr()
	}
	if f.quiet {
		fmt.Fprintln(text, res.Line())
	} else {
		res.Table(text)
	}
	if f.shrink {
		return f.smaller(cmd, s, res, command)
	}
	return verdict(res)
}

// takeLoad puts a recording's load into a plan, and says what became of it.
func (f *rehearseFlags) takeLoad(ctx context.Context, plan *scenario.Plan, errs io.Writer) error {
	o, err := f.recorded.options()
	if err != nil {
		return usage(err)
	}
	session := &drive.Session{Files: []string{f.load}, Read: o, Accept: f.recorded.accept, Plan: replay.Options{Seed: f.seed}}
	if session.Rules, err = f.recorded.mapping(); err != nil {
		return usage(err)
	}
	rate, err := rehearsal.Load(ctx, plan, session)
	var open *drive.OpenError
	switch {
	case errors.As(err, &open):
		return &ending{statusFindings, err}
	case err != nil:
		return usage(err)
	}
	fmt.Fprintf(errs, "load of %s: %d requests at %.0f a second on average, recorded at %.0f and played %.3g times as fast\n",
		f.load, len(plan.Arrivals), plan.Scenario.Rate, rate, plan.Scenario.Speedup)
	return nil
}

// verdict is the status of a run.
func verdict(res *rehearsal.Result) error {
	switch {
	case res.Verdict == grade.Broke:
		return &ending{status: statusBroke}
	case res.Verdict == grade.Void:
		return &ending{status: statusVoid}
	case res.Partial:
		return &ending{status: statusOther}
	}
	return nil
}

func other(err error) error {
	if err == nil {
		return nil
	}
	return &ending{statusOther, err}
}

// scenario is the one to play.
func (f *rehearseFlags) scenario(seed uint64) (scenario.Scenario, error) {
	if f.file != "" {
		text, err := os.ReadFile(f.file)
		if err != nil {
			return scenario.Scenario{}, err
		}
		return scenario.Parse(f.file, text)
	}
	if seed > scenario.MaxSeed {
		return scenario.Scenario{}, fmt.Errorf("--seed: %d is above %d", seed, uint64(scenario.MaxSeed))
	}
	s := scenario.Draw(seed, f.size)
	if f.protocol != "http" {
		s.Protocol = f.protocol
	}
	s.List.Pushed = f.pushed
	return s, s.Check()
}

func (f *rehearseFlags) command() ([]string, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return rehearsal.Find(f.agent, self)
}

// play plays one scenario, with a bar on a terminal.
func (f *rehearseFlags) play(ctx context.Context, s scenario.Scenario, command []string, bar bool) (*rehearsal.Result, error) {
	return f.playWith(ctx, rehearsal.Options{Plan: scenario.MakePlan(s), Command: command, Logs: f.logs}, bar)
}

func (f *rehearseFlags) playWith(ctx context.Context, o rehearsal.Options, bar bool) (*rehearsal.Result, error) {
	defer showProgress(&o, bar)()
	return rehearsal.Run(ctx, o)
}

// showProgress has a run show a bar, on a terminal; the function that it returns ends that.
func showProgress(o *rehearsal.Options, bar bool) (done func()) {
	if s := o.Plan.Scenario; bar && term.IsTerminal(int(os.Stderr.Fd())) {
		b := progressbar.NewOptions64(int64(s.ForS*1000), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionClearOnFinish(),
			progressbar.OptionSetWidth(30), progressbar.OptionSetElapsedTime(false), progressbar.OptionSetPredictTime(false))
		o.Tick = func(p rehearsal.Progress) {
			b.Describe(fmt.Sprintf("%-8s %5.1f of %.0f s, %d requests", p.Phase, min(p.At, p.Total).Seconds(), p.Total.Seconds(), p.Sent))
			b.Set64(min(int64(p.At/time.Millisecond), int64(s.ForS*1000)-1))
		}
		return func() { b.Finish() }
	}
	return func() {}
}

// killSettles kills agents at random and holds their journals against what the servers saw.
func (f *rehearseFlags) killSettles(cmd *cobra.Command) error {
	if strings.HasPrefix(f.agent, "naive:") {
		return usage(errors.New("--kill-settles: agents with a flaw keep no journal"))
	}
	command, err := f.command()
	if err != nil {
		return other(err)
	}
	out := cmd.OutOrStdout()
	broke := false
	play := func(seed uint64, kills int) (*rehearsal.Result, error) {
		s, err := f.scenario(seed)
		if err != nil {
			return nil, usage(err)
		}
		return f.playWith(cmd.Context(), rehearsal.Options{Plan: scenario.MakePlan(s), Command: command, Logs: f.logs, Settles: true, Kills: kills}, !f.quiet)
	}
	total, err := rehearsal.KillSettles(cmd.Context(), f.kills, f.seed, play, func(r *rehearsal.Result) {
		fmt.Fprintf(out, "seed %d: rules %s; %s\n", r.Scenario.Seed, r.Verdict, r.Settles)
		if r.Verdict == grade.Broke {
			broke = true
			r.Table(out)
		}
		for _, w := range r.Settles.Wrong {
			fmt.Fprintln(out, "  wrong: "+w)
		}
	})
	if err != nil {
		return other(err)
	}
	fmt.Fprintln(out, "in all:", total)
	switch {
	case len(total.Wrong) > 0 || broke:
		return &ending{status: statusBroke}
	case total.Kills < f.kills:
		return &ending{status: statusOther}
	}
	return nil
}

// many plays several seeds and prints a line for each.
func (f *rehearseFlags) many(cmd *cobra.Command) error {
	seeds, err := parseSeeds(f.seeds)
	if err != nil {
		return usage(err)
	}
	command, err := f.command()
	if err != nil {
		return other(err)
	}
	var all []scenario.Scenario
	for _, seed := range seeds {
		s, err := f.scenario(seed)
		if err != nil {
			return usage(err)
		}
		all = append(all, s)
	}
	out := cmd.OutOrStdout()
	fmt.Fprintf(out, "%6s  %-5s  %8s  %8s  %9s  %9s  %7s  %s\n", "seed", "rules", "in time", "worst", "kit p99", "requests", "wall", "")
	worst := statusOK
	var shares []float64
	for _, s := range all {
		res, err := f.play(cmd.Context(), s, command, true)
		if err != nil {
			return other(err)
		}
		note := ""
		if res.Verdict != grade.Kept || res.Partial {
			note = res.Line()
		}
		fmt.Fprintf(out, "%6d  %-5s  %7.1f%%  %7.1f%%  %9s  %9d  %6.1fs  %s\n", s.Seed, res.Verdict, 100*res.Share, 100*res.Worst.Share,
			res.Lateness.P99.Round(10*time.Microsecond), res.Requests, res.Wall.Seconds(), note)
		if res.Partial {
			return &ending{status: statusOther}
		}
		shares = append(shares, res.Share)
		switch {
		case res.Verdict == grade.Broke:
			worst = statusBroke
		case res.Verdict == grade.Void && worst == statusOK:
			worst = statusVoid
		}
	}
	slices.Sort(shares)
	fmt.Fprintf(out, "\n%d seeds: worth in time %.1f%% at the median, %.1f%% at the least\n", len(shares), 100*shares[len(shares)/2], 100*shares[0])
	if worst != statusOK {
		return &ending{status: worst}
	}
	return nil
}

// maxSeeds bounds one call.
const maxSeeds = 1000

// parseSeeds reads 1-20 or 3,7,9.
func parseSeeds(text string) (seeds []uint64, err error) {
	for _, part := range strings.Split(text, ",") {
		from, to, isRange := strings.Cut(part, "-")
		lo, err := strconv.ParseUint(from, 10, 63)
		if err != nil {
			return nil, fmt.Errorf("--seeds: %q is no seed", part)
		}
		hi := lo
		if isRange {
			if hi, err = strconv.ParseUint(to, 10, 63); err != nil || hi < lo {
				return nil, fmt.Errorf("--seeds: %q is no range", part)
			}
		}
		if hi-lo >= maxSeeds || len(seeds)+int(hi-lo) >= maxSeeds {
			return nil, fmt.Errorf("--seeds: %d at the most", maxSeeds)
		}
		for s := lo; s <= hi; s++ {
			seeds = append(seeds, s)
		}
	}
	return seeds, nil
}

// smaller looks for the smallest scenario that breaks the same rule.
func (f *rehearseFlags) smaller(cmd *cobra.Command, s scenario.Scenario, res *rehearsal.Result, command []string) error {
	if res.Verdict != grade.Broke {
		return other(errors.New("--shrink: no rule broke"))
	}
	rule := res.Breaches[0].Rule
	found := scenario.Finding{Fails: true, At: res.Breaches[0].At}
	return shrinkTo(cmd, s, rule, found, f.trials, f.out, func(c scenario.Scenario) scenario.Finding {
		r, err := f.play(cmd.Context(), c, command, false)
		if err != nil || r.Partial {
			return scenario.Finding{}
		}
		for _, b := range r.Breaches {
			if b.Rule == rule {
				return scenario.Finding{Fails: true, At: b.At}
			}
		}
		return scenario.Finding{}
	})
}

// shrinkTo looks for the smallest scenario that still breaks a rule, says what it tries, and writes what it found to a file, or
// to standard output.
func shrinkTo(cmd *cobra.Command, s scenario.Scenario, rule string, found scenario.Finding, most int, out string, try func(scenario.Scenario) scenario.Finding) error {
	errs := cmd.ErrOrStderr()
	n := 0
	best, trials := scenario.Shrink(s, found, most, func(c scenario.Scenario) scenario.Finding {
		n++
		if cmd.Context().Err() != nil {
			return scenario.Finding{}
		}
		got := try(c)
		word := "keeps it"
		if got.Fails {
			word = "breaks it"
		}
		fmt.Fprintf(errs, "trial %d: %d faults, %d agents, %.0f a second, %.3g s: %s\n", n, len(c.Faults), c.Agents, c.Rate, c.ForS, word)
		return got
	})
	text, err := best.File()
	if err != nil {
		return other(err)
	}
	head := fmt.Sprintf("# Breaks the rule %q. Found from seed %d in %d trials: from %d faults to %d, from %d agents to %d.\n",
		rule, s.Seed, trials, len(s.Faults), len(best.Faults), s.Agents, best.Agents)
	if out == "" {
		fmt.Fprintf(cmd.OutOrStdout(), "\n%s%s", head, text)
	} else if err := os.WriteFile(out, append([]byte(head), text...), 0o644); err != nil {
		return other(err)
	}
	return &ending{status: statusBroke}
}

// outputs are the files that a run leaves. They are opened before it begins, so that a folder that is not there is
// no surprise after half a minute, and take their names when they are whole.
type outputs[R any] struct {
	stdout io.Writer
	list   []output[R]
}

// output is one of them: "": none, "-": standard output.
type output[R any] struct {
	name  string
	write func(R, io.Writer) error
	file  *os.File
}

// asJSON writes a result as JSON.
func asJSON[R any](r R, w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}

func (f *rehearseFlags) open(stdout io.Writer) (*outputs[*rehearsal.Result], error) {
	type out = output[*rehearsal.Result]
	return openOutputs(stdout, out{name: f.json, write: asJSON[*rehearsal.Result]}, out{name: f.html, write: (*rehearsal.Result).Page},
		out{name: f.record, write: (*rehearsal.Result).WriteRecord})
}

func openOutputs[R any](stdout io.Writer, wanted ...output[R]) (*outputs[R], error) {
	o := &outputs[R]{stdout: stdout}
	for _, out := range wanted {
		if out.name == "" {
			continue
		}
		if out.name != "-" {
			file, err := os.CreateTemp(filepath.Dir(out.name), ".latchkit-*")
			if err != nil {
				o.drop()
				return nil, fmt.Errorf("%s: %w", out.name, err)
			}
			out.file = file
		}
		o.list = append(o.list, out)
	}
	return o, nil
}

func (o *outputs[R]) drop() {
	for _, x := range o.list {
		if x.file != nil {
			x.file.Close()
			os.Remove(x.file.Name())
		}
	}
}

func (o *outputs[R]) write(r R) error {
	for i, x := range o.list {
		if x.file == nil {
			if err := x.write(r, o.stdout); err != nil {
				return err
			}
			continue
		}
		err := x.write(r, x.file)
		if err == nil {
			err = x.file.Chmod(0o644)
		}
		if e := x.file.Close(); err == nil {
			err = e
		}
		if err == nil {
			err = os.Rename(x.file.Name(), x.name)
		}
		if err != nil {
			(&outputs[R]{list: o.list[i:]}).drop()
			return fmt.Errorf("%s: %w", x.name, err)
		}
	}
	return nil
}
