package model

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"saltmast"
	"saltmast/internal/scenario"
)

// outcome is how a try ended for its client.
type outcome int

const (
	served outcome = iota
	refused
	failed
	broken // the agent died with it
	unsent // no connection to the agent
	left   // its client went away
)

// job is one request through all of its tries.
type job struct {
	w    *world
	plan *scenario.Arrival
	n    int // the try that runs, from 0
	over bool
	last outcome
	ran  int // times that it had its effect
}

// try is one of them, as its agent holds it.
type try struct {
	job      *job
	id       string
	came     time.Duration
	deadline time.Duration
	cut      time.Duration
	attempts []*attempt
	out      int
	risky    bool // some attempt may have run
	ended    bool
}

func sortTries(all []*try) {
	slices.SortFunc(all, func(a, b *try) int { return cmp.Compare(a.id, b.id) })
}

func newJob(w *world, p *scenario.Arrival) {
	j := &job{w: w, plan: p}
	w.ask(j)
	j.try(p.ID, time.Duration(p.Budget)*time.Millisecond)
}

func (j *job) asked() time.Duration { return clockStart + j.plan.At() }

// try sends it to its agent.
func (j *job) try(id string, budget time.Duration) {
	w, a := j.w, j.w.agents[j.plan.Agent]
	r := &try{job: j, id: id, came: w.now, deadline: w.now + budget}
	if !a.up || a.closing || a.clients >= w.s.Clients.Connections {
		j.answered(r, unsent, 0)
		return
	}
	w.tries++ // as rehearsals count them: those that could be sent
	a.clients++
	a.taken++
	a.open[id] = r
	a.event(saltmast.Request{ID: id, Class: j.plan.Class, TimeLeft: budget, Repeat: j.n > 0})
	life := a.life
	w.at(r.deadline-netMargin, func() { // the safety net
		if !r.ended && a.is(life) {
			w.nets++
			w.broke(RuleAnswer, fmt.Sprintf("agent %d had no answer to %s in time", a.no, id))
			a.event(saltmast.Abandoned{Request: id})
			a.answer(r, failed, 0)
		}
	})
	if j.plan.LeaveUs > 0 {
		w.after(time.Duration(j.plan.LeaveUs)*time.Microsecond, func() {
			if !r.ended && a.is(life) {
				a.event(saltmast.Abandoned{Request: id})
				a.answer(r, left, 0)
			}
		})
	}
}

// answered takes a try's end, and tries again as its client would.
func (j *job) answered(r *try, how outcome, after time.Duration) {
	w := j.w
	j.last = how
	c := &w.s.Classes[j.plan.Class]
	again := how == refused || how == unsent || how == broken || how == left && j.plan.Hasty
	if !again || j.n >= w.s.Clients.Retries {
		j.end()
		return
	}
	j.n++
	id := scenario.RetryID(j.plan.ID, j.n)
	wait := j.backoff(id)
	if how == left {
		wait = 0
	}
	if j.plan.Honours && after > wait {
		wait = after
	}
	deadline := j.asked() + time.Duration(c.DeadlineMs*float64(time.Millisecond))
	if w.now+wait >= deadline {
		j.end()
		return
	}
	w.after(wait, func() {
		budget := min(time.Duration(j.plan.Budget)*time.Millisecond, deadline-w.now).Truncate(time.Millisecond)
		if budget < time.Millisecond {
			j.end()
			return
		}
		j.try(id, budget)
	})
}

// backoff is the wait before the try that has this id.
func (j *job) backoff(id string) time.Duration {
	c := &j.w.s.Clients
	full := time.Duration(c.BackoffMs * float64(time.Millisecond))
	switch c.Backoff {
	case "none":
		return 0
	case "fixed":
		return full
	}
	x, _ := strconv.ParseUint(id[:8], 16, 64)
	return time.Duration(float64(full<<(j.n-1)) * (0.5 + float64(x)/(1<<32)/2))
}

func (j *job) end() {
	if !j.over {
		j.over = true
		j.w.finish(j)
	}
}

// hits reports whether a fault is on and hits a request: the same ones each time.
func hits(f *scenario.Fault, purpose, id string) bool {
	return f != nil && (f.Part <= 0 || scenario.Chance(id, purpose) < f.Part)
}
