package drive

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"saltmast/internal/recording"
	"saltmast/internal/recording/audit"
	"saltmast/internal/recording/mapping"
	"saltmast/internal/replay"
	"saltmast/internal/standin"
)

// Session is a recording that is to be replayed. Zero values stand for the defaults.
type Session struct {
	Files  []string // - stands for standard input, which is kept in a file meanwhile
	Read   recording.Options
	Rules  *mapping.Rules // nil: the first part of a path is the class
	Accept []string       // codes of findings that are taken into account
	Merge  replay.MergeOptions
	Plan   replay.Options
	Rate   float64 // requests a second, in place of Plan.Scale; 0: none
	Loops  int     // how many times it is played, one after the other; 1

	To          []string // host:port; none: a stand-in of its own
	Refuse      float64  // share of the operations whose first try the stand-in turns away
	Connections int
	Budget      time.Duration
	LateBound   time.Duration // lateness at the 99th percentile beyond which the rate was not reached; 50 ms
	Tick        func(Progress)
}

// Report is a replay with what it rests on.
type Report struct {
	Audit    *audit.Report            `json:"audit"`
	Accepted []string                 `json:"accepted,omitempty"` // findings that are there and were accepted
	Left     replay.Left              `json:"left"`               // what was left out or changed
	Taken    int                      `json:"taken"`              // entries of a class
	Dropped  int                      `json:"dropped"`
	Retries  int                      `json:"recorded_retries"` // of Taken
	Effects  map[string]replay.Effect `json:"effects"`
	Speed    float64                  `json:"speed"`
	Scale    float64                  `json:"scale"`
	Loops    int                      `json:"loops"`
	Run      string                   `json:"run"`
	Seed     uint64                   `json:"seed"`
	Targets  []string                 `json:"targets"`
	Measured string                   `json:"measured"` // at the stand-in, or as it left
	Fidelity replay.Fidelity          `json:"fidelity"`
	Result   *Result                  `json:"result"`
	Sink     *standin.SinkStats       `json:"stand_in,omitempty"`
	Behind   string                   `json:"behind,omitempty"` // why the rate was not reached
	Shares   map[string][2]float64    `json:"class_shares"`     // recorded and replayed, in points of a hundred
	Source   *replay.Shape            `json:"-"`
	Replay   *replay.Shape            `json:"-"`
}

// OpenError is the error of a recording that has findings which are not accepted.
type OpenError struct{ Codes []audit.Code }

func (e *OpenError) Error() string {
	var names []string
	for _, c := range e.Codes {
		names = append(names, string(c))
	}
	return "the recording can't be trusted for: " + strings.Join(names, ", ") + "; latchkit recording check says why, --accept CODE takes one into account"
}

// ErrUnsafeTarget is the error of a target that is no loopback address, for a recording with requests that must not run twice.
var ErrUnsafeTarget = errors.New("is no loopback address, and the recording has requests that must not run twice")

const (
	defaultLateBound = 50 * time.Millisecond
	// maxSpool bounds what is kept of standard input.
	maxSpool = 16 << 30
	// leastRate is the share of the planned rate below which it was not reached.
	leastRate = 0.97
	// mostUnsent is the share of tries that may stay unsent.
	mostUnsent = 0.001
)

// Play reads a recording twice: once to say what it can't be trusted for, of which classes it is and what shape it has, then to
// send it. Nothing is sent before all of that is known. A replay that fell behind is no error: Report.Behind says so.
func (s Session) Play(ctx context.Context) (*Report, error) {
	if s.LateBound == 0 {
		s.LateBound = defaultLateBound
	}
	files, remove, err := spool(s.Files)
	if err != nil {
		return nil, err
	}
	defer remove()
	r, err := s.prepare(ctx, files)
	if err != nil {
		return nil, err
	}
	if class, unsafe := replay.Effects(r.Effects).Unsafe(); unsafe {
		for _, t := range s.To {
			if !loopback(t) {
				return nil, fmt.Errorf("%s %w: %s", t, ErrUnsafeTarget, class)
			}
		}
	}
	return r, s.send(ctx, files, r)
}

// Planned is the plan of a recording up to a moment, for whoever sends it by himself: most requests of it at the most. Its
// findings must be accepted as for Play.
func (s Session) Planned(ctx context.Context, until time.Duration, most int) ([]replay.Planned, *Report, error) {
	files, remove, err := spool(s.Files)
	if err != nil {
		return nil, nil, err
	}
	defer remove()
	r, err := s.prepare(ctx, files)
	if err != nil {
		return nil, nil, err
	}
	plan, err := replay.New(s.Plan)
	if err != nil {
		return nil, nil, err
	}
	next, shut := s.planned(ctx, files, plan, r)
	defer shut()
	var all []replay.Planned
	for {
		p, err := next()
		if err == io.EOF || err == nil && p.At >= until {
			return all, r, nil
		}
		if err != nil {
			return nil, nil, err
		}
		if len(all) == most {
			return nil, nil, fmt.Errorf("over %d requests within %v", most, until)
		}
		all = append(all, p)
	}
}

// prepare reads the recording for what it is, and works out how it is to be sent.
func (s *Session) prepare(ctx context.Context, files []string) (*Report, error) {
	s.Loops = max(s.Loops, 1)
	r := &Report{Loops: s.Loops, Seed: s.Plan.Seed, Run: fmt.Sprintf("%08x", uint32(s.Plan.Run))}
	if err := s.survey(ctx, files, r); err != nil {
		return nil, err
	}
	if open := r.Audit.Clean(s.Accept); len(open) > 0 {
		return nil, &OpenError{open}
	}
	for _, f := range r.Audit.Findings {
		r.Accepted = append(r.Accepted, string(f.Code))
	}
	if r.Source.N == 0 {
		return nil, errors.New("the recording has no request that could be sent")
	}
	if r.Speed = s.Plan.Speed; r.Speed == 0 {
		r.Speed = 1
	}
	if s.Rate > 0 {
		if r.Source.Rate() == 0 {
			return nil, errors.New("the recording is too short to have a rate")
		}
		s.Plan.Scale = s.Rate / (r.Source.Rate() * r.Speed)
	}
	if r.Scale = s.Plan.Scale; r.Scale == 0 {
		r.Scale = 1
	}
	return r, nil
}

// loopback reports whether a target is an address of this machine alone. Names are none: who can tell what they stand for?
func loopback(target string) bool {
	host, _, err := net.SplitHostPort(target)
	if err != nil {
		return false
	}
	if host == "localhost" {
		return true
	}
	a, err := netip.ParseAddr(host)
	return err == nil && a.IsLoopback()
}

// spool keeps standard input in a file, since it is read twice.
func spool(names []string) (files []string, remove func(), err error) {
	files, remove = slices.Clone(names), func() {}
	for i, name := range files {
		if name != "-" {
			continue
		}
		f, err := os.CreateTemp("", "latchkit-*")
		if err != nil {
			return nil, remove, err
		}
		remove = func() { os.Remove(f.Name()) }
		n, err := io.Copy(f, io.LimitReader(os.Stdin, maxSpool+1))
		if e := f.Close(); err == nil {
			err = e
		}
		if err == nil && n > maxSpool {
			err = errors.New("standard input is too long")
		}
		if err != nil {
			remove()
			return nil, func() {}, fmt.Errorf("-: %w", err)
		}
		files[i] = f.Name()
	}
	return files, remove, nil
}

// tap is a source that has an auditor see what is read of it.
type tap struct {
	in   *recording.Source
	a    *audit.Auditor
	ctx  context.Context
	last int64
	n    int
}

// Next implements recording.Reader.
func (t *tap) Next() (*recording.Entry, error) {
	if t.n++; t.n%4096 == 0 && t.ctx.Err() != nil {
		return nil, t.ctx.Err()
	}
	e, err := t.in.Next()
	if t.a == nil {
		return e, err
	}
	var bad *recording.LineError
	switch {
	case errors.As(err, &bad):
		t.a.Unreadable(bad)
		t.last = bad.Line
	case errors.Is(err, recording.ErrTruncated):
		t.a.Truncated(t.in.Name, t.last+1)
	case err == nil:
		t.a.Add(e)
		t.last = e.Line
	}
	return e, err
}

// open opens all sources as one stream.
func (s *Session) open(ctx context.Context, files []string, a *audit.Auditor) (*replay.Merger, func(), error) {
	var sources []*recording.Source
	shut := func() {
		for _, x := range sources {
			x.Close()
		}
	}
	var readers []recording.Reader
	for i, name := range files {
		x, err := recording.Open(name, s.Read)
		if err != nil {
			shut()
			return nil, nil, err
		}
		if s.Files[i] == "-" {
			x.Name = "-"
		}
		sources = append(sources, x)
		readers = append(readers, &tap{in: x, a: a, ctx: ctx})
	}
	o := s.Merge
	o.Seed = s.Plan.Seed
	return replay.NewMerger(o, readers...), shut, nil
}

// survey reads the recording for what it is.
func (s *Session) survey(ctx context.Context, files []string, r *Report) error {
	a := audit.New(audit.Options{})
	m, shut, err := s.open(ctx, files, a)
	if err != nil {
		return err
	}
	defer shut()
	plan, err := replay.New(replay.Options{Run: s.Plan.Run, Seed: s.Plan.Seed, Retry: s.Plan.Retry})
	if err != nil {
		return err
	}
	r.Effects = map[string]replay.Effect{}
	effects := replay.Effects(r.Effects)
	r.Source = replay.NewShape(time.Second, 1)
	for {
		e, err := m.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return err
		}
		got, result := s.Rules.Map(e.Entry, nil)
		switch result {
		case mapping.Unmatched:
			a.Unmatched(e.Entry)
			continue
		case mapping.Dropped:
			r.Dropped++
			continue
		}
		r.Taken++
		effects.Add(got.Class, e.Entry, got.Key != "", replay.Effect(got.Effect))
		due, err := plan.Add(e.Entry, e.Start, got)
		if err != nil {
			return err
		}
		if len(due) == 0 || due[0].Try > 0 {
			r.Retries++
			continue
		}
		r.Source.Add(due[0].At, got.Class)
	}
	r.Audit, r.Left = a.Report(), m.Left()
	return nil
}

// send replays the recording.
func (s *Session) send(ctx context.Context, files []string, r *Report) error {
	plan, err := replay.New(s.Plan)
	if err != nil {
		return err
	}
	r.Replay = replay.NewShape(time.Duration(float64(r.Source.Width)/r.Speed), r.Speed*r.Scale)
	// Of several loops the first is held against the source.
	span := time.Duration(float64(r.Source.Span())/r.Speed) + r.Replay.Width/100
	var mu sync.Mutex
	first := time.Duration(-1)
	arrived := func(at time.Duration, class string, repeat bool) {
		mu.Lock()
		defer mu.Unlock()
		if first < 0 {
			first = at
		}
		if !repeat && (s.Loops == 1 || at-first <= span) {
			r.Replay.Add(at, class)
		}
	}
	o := Options{Targets: s.To, Connections: s.Connections, Budget: s.Budget, Effects: r.Effects, Run: s.Plan.Run, Tick: s.Tick}
	if len(o.Targets) == 0 {
		k, err := standin.NewSink(standin.SinkConfig{Addr: "127.0.0.1:0", Operation: OperationHeader, Refuse: s.Refuse, Arrived: arrived,
			Unsafe: func(class string) bool { return r.Effects[class] == replay.Unsafe }})
		if err != nil {
			return err
		}
		defer func() {
			stats := k.Stats()
			r.Sink = &stats
			k.Close()
		}()
		o.Targets, r.Measured = []string{k.Addr()}, "at the stand-in"
	} else {
		o.Left, r.Measured = arrived, "as it left"
	}
	r.Targets = o.Targets
	next, shut := s.planned(ctx, files, plan, r)
	defer shut()
	if r.Result, err = Run(ctx, o, next); err != nil {
		return err
	}
	r.Fidelity = replay.Compare(r.Source, r.Replay, r.Scale)
	r.Shares = map[string][2]float64{}
	for i, x := range []*replay.Shape{r.Source, r.Replay} {
		for class, n := range x.Classes {
			both := r.Shares[class]
			both[i] = 100 * float64(n) / float64(x.N)
			r.Shares[class] = both
		}
	}
	r.judge(s.LateBound)
	return nil
}

// judge says whether the rate was reached.
func (r *Report) judge(bound time.Duration) {
	x := r.Result
	unsent := 0
	for _, n := range x.Unsent {
		unsent += n
	}
	switch {
	case x.Partial:
	case x.Planned > 0 && float64(unsent) > mostUnsent*float64(x.Planned):
		r.Behind = fmt.Sprintf("%d of %d requests were never sent", unsent, x.Planned)
	case x.LateP99 > bound:
		r.Behind = fmt.Sprintf("one in a hundred left %v after its moment, %v allowed", x.LateP99.Round(time.Microsecond), bound)
	case x.Rate < leastRate*x.PlanRate:
		r.Behind = fmt.Sprintf("%.0f requests a second of %.0f", x.Rate, x.PlanRate)
	}
}

// planned gives the plan of all loops, one request after the other.
func (s *Session) planned(ctx context.Context, files []string, plan *replay.Planner, r *Report) (next func() (replay.Planned, error), shut func()) {
	var m *replay.Merger
	var due []replay.Planned
	closing := func() {}
	loops := 0
	// Between two loops lies the mean time between arrivals: the last of one and the first of the next are no burst.
	gap := r.Source.Span() / time.Duration(max(r.Source.N-1, 1))
	next = func() (replay.Planned, error) {
		for len(due) == 0 {
			if m == nil {
				if loops == s.Loops {
					return replay.Planned{}, io.EOF
				}
				if loops++; loops > 1 {
					plan.Again(gap)
				}
				var err error
				if m, closing, err = s.open(ctx, files, nil); err != nil {
					closing = func() {}
					return replay.Planned{}, err
				}
			}
			e, err := m.Next()
			if err == io.EOF {
				closing()
				m, closing = nil, func() {}
				continue
			}
			if err != nil {
				return replay.Planned{}, err
			}
			got, result := s.Rules.Map(e.Entry, nil)
			if result != mapping.Taken {
				continue
			}
			if due, err = plan.Add(e.Entry, e.Start, got); err != nil {
				return replay.Planned{}, err
			}
		}
		p := due[0]
		due = due[1:]
		p.Entry = nil // its body is not held on to while it waits for its moment
		return p, nil
	}
	return next, func() { closing() }
}
