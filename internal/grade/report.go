package grade

import (
	"cmp"
	"slices"
	"time"
)

// Verdict is what a run came to.
type Verdict string

const (
	Kept  Verdict = "kept"
	Broke Verdict = "broke"
	Void  Verdict = "void" // the kit was late itself: nothing is proved either way
)

// Report is the grade of one run.
type Report struct {
	Verdict  Verdict  `json:"verdict"`
	Why      []string `json:"why,omitempty"` // of a void run
	Partial  bool     `json:"partial"`       // the run was stopped before its end
	Breaches []Breach `json:"breaches"`
	Excused  []Breach `json:"excused"` // those that the kit's own standstill may have made
	Score
	Seconds  []Second         `json:"seconds"`
	Classes  map[string]Score `json:"classes"`
	Worst    Window           `json:"worst"`
	Lateness Lateness         `json:"lateness"`
	Counts   Counts           `json:"counts"`
}

// Score counts requests (not tries) and their worth by how they ended.
type Score struct {
	Requests int     `json:"requests"`
	Asked    float64 `json:"asked"`   // worth
	InTime   float64 `json:"in_time"` // worth answered within the aim, counted from the planned moment of the first try
	Share    float64 `json:"share"`   // of the two
	Served   int     `json:"served"`  // requests, in time or late
	Late     int     `json:"late"`    // of them
	Refused  int     `json:"refused"` // by their last answer
	Failed   int     `json:"failed"`
	Unsent   int     `json:"unsent"` // no connection to the agent
	Left     int     `json:"left"`   // their client left early
	Open     int     `json:"open"`   // without an end when the record ended
}

// Second is the score of what was asked within one second, by when it was asked.
type Second struct {
	At time.Duration `json:"at_ns"`
	Score
}

// Window is the worst stretch of a run.
type Window struct {
	From  time.Duration `json:"from_ns"`
	For   time.Duration `json:"for_ns"`
	Share float64       `json:"share"`
}

// Lateness is by how much the kit's own clients sent later than planned, and how long it stood still.
type Lateness struct {
	P50    time.Duration `json:"p50_ns"`
	P99    time.Duration `json:"p99_ns"`
	Max    time.Duration `json:"max_ns"`
	Stalls int           `json:"stalls"`
	Stood  time.Duration `json:"stood_ns"`
}

// Counts are figures that break no rule by themselves.
type Counts struct {
	Tries       int `json:"tries"`        // first ones and clients' further ones
	Attempts    int `json:"attempts"`     // that reached servers whole
	Rejected    int `json:"rejected"`     // of them, turned away unseen
	Repeats     int `json:"repeats"`      // dropped by key
	Effects     int `json:"effects"`      // that ran
	ClientTwice int `json:"client_twice"` // requests that must not run twice and did, by a client's own further try
	Stray       int `json:"stray"`
	Fell        int `json:"fell"`
	Kills       int `json:"kills"`
	Stops       int `json:"stops"`
}

// tally counts while the record is read.
type tally struct {
	rules   Rules
	jobs    map[string]*job
	order   []*job
	late    []time.Duration
	effects map[string]int // by job, of classes that must not run twice
	tryJob  map[string]string
	counts  Counts
	stalls  Lateness
}

type job struct {
	class  string
	asked  time.Duration
	inTime bool
	served bool
	left   bool
	last   int // status of the last answer; 0 failed, -1 unsent, -2 open
}

func newTally(r Rules) tally {
	return tally{rules: r, jobs: map[string]*job{}, effects: map[string]int{}, tryJob: map[string]string{}}
}

func (t *tally) take(e *Event) {
	switch e.Kind {
	case Asked:
		j := &job{class: e.Class, asked: e.At, last: -2}
		t.jobs[e.Job] = j
		t.order = append(t.order, j)
	case Sent:
		t.counts.Tries++
		t.late = append(t.late, e.Late)
		t.tryJob[e.Request] = e.Job
	case Attempt:
		t.counts.Attempts++
	case Reject:
		t.counts.Rejected++
	case Repeat:
		t.counts.Repeats++
	case Effect:
		t.counts.Effects++
		if t.rules.Classes[e.Class].Effect == "unsafe" {
			t.effects[e.Request]++
		}
	case Stray:
		t.counts.Stray++
	case Fell:
		t.counts.Fell++
	case AgentKill:
		t.counts.Kills++
	case AgentStop:
		t.counts.Stops++
	case Stall:
		t.stalls.Stalls++
		t.stalls.Stood += e.Late
		t.stalls.Max = max(t.stalls.Max, e.Late)
	}
	j := t.jobs[e.Job]
	if j == nil {
		return
	}
	switch e.Kind {
	case Unsent:
		j.last = -1
	case Broken, Overdue:
		j.last = 0
	case Left:
		j.left = true
	case Answer:
		j.last = e.Status
		if e.Status == 200 {
			j.served = true
			j.inTime = j.inTime || e.At-j.asked <= t.rules.Classes[j.class].Aim
		}
	}
}

// add counts one request.
func (s *Score) add(j *job, worth float64) {
	s.Requests++
	s.Asked += worth
	switch {
	case j.served:
		s.Served++
		if j.inTime {
			s.InTime += worth
		} else {
			s.Late++
		}
	case j.left:
		s.Left++
	case j.last == 429 || j.last == 503:
		s.Refused++
	case j.last == -1:
		s.Unsent++
	case j.last == -2:
		s.Open++
	default:
		s.Failed++
	}
	if s.Asked > 0 {
		s.Share = s.InTime / s.Asked
	}
}

// report sums up.
func (j *judge) report() *Report {
	t := &j.tally
	r := &Report{Classes: map[string]Score{}, Counts: t.counts, Breaches: []Breach{}, Excused: []Breach{}, Seconds: []Second{}}
	for _, x := range t.order {
		worth := t.rules.Classes[x.class].Worth
		r.add(x, worth)
		c := r.Classes[x.class]
		c.add(x, worth)
		r.Classes[x.class] = c
		s := int(max(0, x.asked) / time.Second)
		for len(r.Seconds) <= s {
			r.Seconds = append(r.Seconds, Second{At: time.Duration(len(r.Seconds)) * time.Second})
		}
		r.Seconds[s].add(x, worth)
	}
	r.Worst = j.worst()
	byJob := map[string]int{}
	for id := range t.effects {
		byJob[t.tryJob[id]]++
	}
	for _, n := range byJob {
		if n > 1 {
			r.Counts.ClientTwice++
		}
	}
	slices.Sort(t.late)
	r.Lateness = t.stalls
	if n := len(t.late); n > 0 {
		r.Lateness.P50, r.Lateness.P99 = t.late[(n-1)/2], t.late[(n-1)*99/100]
		r.Lateness.Max = max(r.Lateness.Max, t.late[n-1])
	}
	for _, b := range j.found {
		if j.excused(b) {
			r.Excused = append(r.Excused, b)
		} else {
			r.Breaches = append(r.Breaches, b)
		}
	}
	for _, list := range [][]Breach{r.Breaches, r.Excused} {
		slices.SortStableFunc(list, func(a, b Breach) int {
			return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Rule, b.Rule), cmp.Compare(a.Request, b.Request))
		})
	}
	if r.Lateness.P99 > LateLimit {
		r.Why = append(r.Why, "the kit sent late: p99 "+r.Lateness.P99.Round(time.Millisecond).String()+", "+LateLimit.String()+" allowed")
	}
	if len(r.Excused) > 0 {
		r.Why = append(r.Why, "the kit stood still where a rule seems to have broken")
	}
	if t.counts.Stray > 0 {
		r.Why = append(r.Why, "servers got requests that no client sent")
	}
	switch {
	case r.Lateness.P99 > LateLimit || t.counts.Stray > 0:
		// Nothing that the kit timed is proof then. What no clock decides still is.
		r.Verdict = Void
		if slices.ContainsFunc(r.Breaches, func(b Breach) bool { return !b.timed }) {
			r.Verdict = Broke
		}
	case len(r.Breaches) > 0:
		r.Verdict = Broke
	case len(r.Excused) > 0:
		r.Verdict = Void
	default:
		r.Verdict = Kept
	}
	return r
}

// excused reports whether the kit's own standstill while a time limit ran may have made the breach.
func (j *judge) excused(b Breach) bool {
	if !b.timed {
		return false
	}
	var stood time.Duration
	for _, s := range j.stalls {
		if s.At >= b.from && s.At-s.Late <= b.At+b.Over {
			stood += s.Late
		}
	}
	return stood > 0 && b.Over <= stood
}

// worst finds the window in which the least share was answered in time, by when it was asked.
func (j *judge) worst() Window {
	length := j.rules.Worst
	if length <= 0 {
		length = 10 * time.Second
	}
	jobs := j.tally.order
	best := Window{For: length, Share: 1}
	if len(jobs) == 0 {
		return best
	}
	slices.SortStableFunc(jobs, func(a, b *job) int { return cmp.Compare(a.asked, b.asked) })
	last := jobs[len(jobs)-1].asked
	if j.rules.Length > 0 {
		last = min(j.rules.Length, j.end)
	}
	var asked, inTime float64
	end := 0
	for first, x := range jobs {
		for ; end < len(jobs) && jobs[end].asked < x.asked+length; end++ {
			w := j.rules.Classes[jobs[end].class].Worth
			asked += w
			if jobs[end].inTime {
				inTime += w
			}
		}
		if asked > 0 && (first == 0 || x.asked+length <= last) && (first == 0 || inTime/asked < best.Share) {
			best = Window{From: x.asked, For: length, Share: inTime / asked}
		}
		w := j.rules.Classes[x.class].Worth
		asked -= w
		if x.inTime {
			inTime -= w
		}
	}
	return best
}
