package lab

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/pelletier/go-toml/v2"

	"saltmast/internal/model"
	"saltmast/internal/scenario"
	"saltmast/internal/tomlfile"
)

// Bounds of an experiment. A run of the largest size takes some minutes and about 2 GB.
const (
	MaxSeeds = 200
	MaxArms  = 64
	MaxRuns  = 2000
)

// Sizes is how large a modelled fleet may be.
var Sizes = scenario.Bounds{Servers: 4096, Agents: 20_000, Arrivals: 4_000_000}

// Experiment is a file as it is written.
type Experiment struct {
	Name  string `toml:"name"`
	Seeds []int  `toml:"seeds"` // from and to, both played

	// What the model has besides the scenario; see model.Options.
	Told  float64 `toml:"told"`
	HopUs float64 `toml:"hop_us"`
	HopCV float64 `toml:"hop_cv"`

	Draw     *Draw          `toml:"draw"`     // the scenario is drawn, its seed the run's ...
	Scenario map[string]any `toml:"scenario"` // ... and these keys of it are set; without draw, all of it
	Sweep    []Sweep        `toml:"sweep"`    // every combination is an arm; the first is the baseline

	file *tomlfile.File
}

// Draw sizes a drawn scenario, as flags of rehearse do. Zero values stand for its defaults.
type Draw struct {
	Servers int     `toml:"servers"`
	Agents  int     `toml:"agents"`
	Rate    float64 `toml:"rate"`
	ForS    float64 `toml:"for_s"`
	Speedup float64 `toml:"speedup"`
	Faults  *bool   `toml:"faults"` // false: without what is drawn to go wrong, and without surges
}

// Sweep is one key and its values. Key is one of the scenario, with dots (server.connections), or told, hop_us, hop_cv.
type Sweep struct {
	Key    string `toml:"key"`
	Values []any  `toml:"values"`
}

// Read reads an experiment. Errors name the file, the line where there is one, and the key.
func Read(path string, raw []byte) (*Experiment, error) {
	f, err := tomlfile.Read(path, raw)
	if err != nil {
		return nil, err
	}
	e := &Experiment{file: f}
	if err := f.Decode(e, true); err != nil {
		return nil, err
	}
	return e, e.check()
}

func (e *Experiment) bad(key, why string, args ...any) error {
	return e.file.Error(key, fmt.Sprintf(why, args...))
}

func (e *Experiment) check() error {
	switch {
	case e.Name == "":
		return e.bad("name", "missing")
	case len(e.Seeds) != 2 || e.Seeds[0] < 1 || e.Seeds[1] < e.Seeds[0]:
		return e.bad("seeds", "%v: the first and the last wanted, from 1", e.Seeds)
	case e.Seeds[1]-e.Seeds[0] >= MaxSeeds:
		return e.bad("seeds", "%d at the most", MaxSeeds)
	case e.Draw == nil && len(e.Scenario) == 0:
		return e.bad("scenario", "missing, and no draw")
	}
	arms := 1
	seen := map[string]bool{}
	for i, s := range e.Sweep {
		at := fmt.Sprintf("sweep[%d]", i)
		switch {
		case s.Key == "" || s.Key == "seed":
			return e.bad(at+".key", "%q can't be gone through", s.Key)
		case seen[s.Key]:
			return e.bad(at+".key", "%q stands twice", s.Key)
		case len(s.Values) == 0:
			return e.bad(at+".values", "none")
		}
		seen[s.Key] = true
		arms *= len(s.Values)
	}
	if arms > MaxArms {
		return e.bad("sweep", "%d arms, %d allowed", arms, MaxArms)
	}
	if n := arms * (e.Seeds[1] - e.Seeds[0] + 1); n > MaxRuns {
		return e.bad("sweep", "%d runs, %d allowed", n, MaxRuns)
	}
	// Each arm is built once before any is played: what is wrong shows at once.
	for _, a := range e.Arms() {
		if _, err := e.options(a, uint64(e.Seeds[0])); err != nil {
			return err
		}
	}
	return nil
}

// Arm is one combination of the values gone through.
type Arm struct {
	No     int
	Values []any // by Sweep
}

// Label names an arm by its values.
func (e *Experiment) Label(a Arm) string {
	var parts []string
	for i, s := range e.Sweep {
		parts = append(parts, fmt.Sprintf("%s=%v", s.Key, a.Values[i]))
	}
	if len(parts) == 0 {
		return "all"
	}
	return strings.Join(parts, " ")
}

// Arms are all combinations, the last key changing first.
func (e *Experiment) Arms() []Arm {
	arms := []Arm{{}}
	for _, s := range e.Sweep {
		var next []Arm
		for _, a := range arms {
			for _, v := range s.Values {
				next = append(next, Arm{Values: append(slices.Clone(a.Values), v)})
			}
		}
		arms = next
	}
	for i := range arms {
		arms[i].No = i
	}
	return arms
}

// options are one run of an arm.
func (e *Experiment) options(a Arm, seed uint64) (model.Options, error) {
	o := model.Options{Told: e.Told, HopUs: e.HopUs, HopCV: e.HopCV}
	s := scenario.Scenario{Speedup: 1}
	if d := e.Draw; d != nil {
		s = scenario.Draw(seed, scenario.Size{Servers: d.Servers, Agents: d.Agents, Rate: d.Rate, ForS: d.ForS, Speedup: d.Speedup})
		if d.Faults != nil && !*d.Faults {
			s.Faults, s.Surges = nil, nil
		}
	}
	raw, err := toml.Marshal(s)
	if err != nil {
		return o, err
	}
	keys := map[string]any{}
	if err := toml.Unmarshal(raw, &keys); err != nil {
		return o, err
	}
	merge(keys, e.Scenario)
	for i, sw := range e.Sweep {
		v := a.Values[i]
		at := fmt.Sprintf("sweep[%d].key", i)
		switch sw.Key {
		case "told", "hop_us", "hop_cv":
			f, ok := number(v)
			if !ok {
				return o, e.bad(at, "%s: %v is no number", sw.Key, v)
			}
			*map[string]*float64{"told": &o.Told, "hop_us": &o.HopUs, "hop_cv": &o.HopCV}[sw.Key] = f
		default:
			if !set(keys, strings.Split(sw.Key, "."), v) {
				return o, e.bad(at, "%q is no key of a scenario", sw.Key)
			}
		}
	}
	keys["seed"] = int64(seed)
	if raw, err = toml.Marshal(keys); err != nil {
		return o, err
	}
	s = scenario.Scenario{}
	d := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) && len(unknown.Errors) > 0 {
			return o, e.bad("scenario."+strings.Join(unknown.Errors[0].Key(), "."), "unknown key")
		}
		return o, e.bad("scenario", "%v", err)
	}
	for _, err := range []error{s.CheckWithin(Sizes), model.Supported(&s)} {
		var p *scenario.Problem
		if errors.As(err, &p) {
			return o, e.bad("scenario."+p.Key, "%s (%s)", p.Why, e.Label(a))
		}
	}
	o.Plan = &scenario.Plan{Scenario: s}
	return o, nil
}

// merge lays keys over others, table by table.
func merge(to, from map[string]any) {
	for k, v := range from {
		if sub, ok := v.(map[string]any); ok {
			if old, ok := to[k].(map[string]any); ok {
				merge(old, sub)
				continue
			}
		}
		to[k] = v
	}
}

// set sets a key that is there, or reports false.
func set(keys map[string]any, path []string, v any) bool {
	for _, p := range path[:len(path)-1] {
		sub, ok := keys[p].(map[string]any)
		if !ok {
			return false
		}
		keys = sub
	}
	last := path[len(path)-1]
	old, ok := keys[last]
	if !ok {
		return false
	}
	// TOML tells 1 from 1.0; who writes an experiment need not.
	if _, float := old.(float64); float {
		if f, ok := number(v); ok {
			v = f
		}
	}
	keys[last] = v
	return true
}

func number(v any) (float64, bool) {
	switch v := v.(type) {
	case int64:
		return float64(v), true
	case float64:
		return v, true
	}
	return 0, false
}

// One is one run and what it came to.
type One struct {
	Arm    Arm
	Seed   uint64
	Result *model.Result
}

// Run plays all arms with all seeds, so many side by side, and returns the runs by arm, then by seed, whatever order they
// ended in. done hears of each as it ends, one at a time.
func (e *Experiment) Run(ctx context.Context, beside int, done func(One)) ([]One, error) {
	arms := e.Arms()
	var all []One
	for _, a := range arms {
		for s := e.Seeds[0]; s <= e.Seeds[1]; s++ {
			all = append(all, One{Arm: a, Seed: uint64(s)})
		}
	}
	err := sideBySide(ctx, beside, len(all), func(i int) error {
		o, err := e.options(all[i].Arm, all[i].Seed)
		if err == nil {
			o.Plan = scenario.MakePlan(o.Plan.Scenario)
			all[i].Result, err = model.Run(o)
		}
		if err != nil {
			return fmt.Errorf("%s, seed %d: %w", e.Label(all[i].Arm), all[i].Seed, err)
		}
		return nil
	}, func(i int) { done(all[i]) })
	if err != nil {
		return nil, err
	}
	return all, nil
}

// sideBySide does n things, so many at a time, and ends with the first error or the context. done hears of each that went
// well, one at a time.
func sideBySide(ctx context.Context, beside, n int, do func(i int) error, done func(i int)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	next := make(chan int)
	var mu sync.Mutex
	var running sync.WaitGroup
	for range max(1, beside) {
		running.Go(func() {
			for i := range next {
				if err := do(i); err != nil {
					cancel(err)
					return
				}
				mu.Lock()
				done(i)
				mu.Unlock()
			}
		})
	}
	for i := range n {
		select {
		case next <- i:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(next)
	running.Wait()
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return nil
}
