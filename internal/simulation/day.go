package simulation

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/simulation/checker"
)

// Day is a kind of day: what happens in it besides clients.
type Day struct {
	Name   string                       `json:"kind"`
	Floor  float64                      `json:"floor,omitempty"` // part of requests to be served at least
	Length time.Duration                `json:"length_ns"`
	Faults Faults                       `json:"faults"`
	Rate   float64                      `json:"rate,omitempty"`     // requests a second at each machine; 0: rate
	Work   float64                      `json:"work,omitempty"`     // how many times as long backends take; 0: once
	Keys   float64                      `json:"keys,omitempty"`     // part of the requests that carry a key, beside those that draw their route
	Again  time.Duration                `json:"again_ns,omitempty"` // within which keys come again; 0: 1.5 s
	Large  float64                      `json:"large,omitempty"`    // part of the bodies that go on as they come
	Lost   time.Duration                `json:"lost_ns,omitempty"`  // after which a silent voter is replaced; 0: in no day
	Rude   float64                      `json:"rude,omitempty"`     // part of the tries that end in the middle of their body
	Calls  float64                      `json:"calls,omitempty"`    // part of the runs that make a call of their own
	Tail   float64                      `json:"tail,omitempty"`     // part of the runs that take longRun more
	Leave  Leave                        `json:"leave,omitzero"`     // clients that close their connection before an answer
	Size   Size                         `json:"size,omitzero"`
	Events func(w *World, op *operator) `json:"-"`

	Without []string `json:"without,omitempty"` // what is left out, by the keys of what a play did (Step)
}

// Leave is how clients leave before they have an answer, from the first to the last.
type Leave struct {
	Share  float64       `json:"share"`
	Within time.Duration `json:"within_ns"` // of their request, at any moment
}

// longRun is how much longer than others a run of a day's Tail takes.
const longRun = 1600 * time.Millisecond

// Step is one thing that a play of a day did, or left out. Its key is the same in all plays of a seed.
type Step struct {
	Key  string        `json:"key"`
	What string        `json:"what"`
	At   time.Duration `json:"at_ns"`
	Left bool          `json:"left,omitempty"` // out
}

// leaves reports whether a step is to be left out, and notes it.
func (w *World) leaves(key, what string) bool {
	w.stepMu.Lock()
	defer w.stepMu.Unlock()
	left := slices.Contains(w.without, key)
	w.steps = append(w.steps, Step{key, what, w.now(), left})
	return left
}

const (
	clientsFrom = 2500 * time.Millisecond
	rate        = 15
)

// Play plays a day and gives what was broken, with its log.
func Play(t testing.TB, d Day, seed uint64, flaw Flaw) (l *checker.Log, broken []checker.Broken, notes []string) {
	t.Helper()
	p := play(t, d, seed, flaw)
	return p.log, p.broken, p.notes
}

// played is one play of a day. Without a log it came to no end.
type played struct {
	log    *checker.Log
	broken []checker.Broken
	notes  []string
	steps  []Step
}

func play(t testing.TB, d Day, seed uint64, flaw Flaw) (p played) {
	t.Helper()
	dir := scratch(t)
	var failed []checker.Broken
	bubble(t, func(t testing.TB) {
		w := newWorld(seed, dir, d.Size)
		w.flaw, w.fault, w.without, w.lost = flaw, d.Faults, d.Without, d.Lost
		w.log.Floor, w.length = d.Floor, d.Length
		w.begin(t)
		op := w.operator("10.9.0.2")
		w.until(200 * time.Millisecond)
		if !op.send(&checker.Call{Items: first()}, int(seed%3), 10*time.Second) {
			w.must(errors.New("the first configuration was not taken"))
		}
		w.until(clientsFrom)
		w.again, w.keys, w.work, w.large, w.rude = cmp.Or(d.Again, 1500*time.Millisecond), d.Keys, max(d.Work, 1), d.Large, d.Rude
		w.tail = d.Tail
		w.manners.leaving.Store(int64(d.Leave.Share * 1000))
		w.manners.leave.Store(int64(d.Leave.Within))
		w.inner = d.Calls
		for _, r := range routes {
			w.shut = append(w.shut, w.leaves("requests to "+r.name, r.kind))
		}
		much := d.Rate
		if much == 0 {
			much = rate
		}
		for _, m := range w.tugs {
			if !w.leaves("clients of "+m.name, m.service) {
				w.people.Go(func() { m.clients(much, d.Length) })
			}
		}
		if d.Events != nil && !w.leaves("events", d.Name) {
			d.Events(w, op)
		}
		w.until(d.Length + 2500*time.Millisecond)
		op.readBack()
		w.log.End = w.now()
		w.end()
		op.p.End()
		p.log = w.log
		time.Sleep(10 * time.Second) // what was killed comes to its end
		w.noteMu.Lock()
		p.notes = w.notes
		w.noteMu.Unlock()
		p.steps, failed = w.steps, w.failed
	})
	if p.log != nil {
		p.broken = append(failed, checker.Judge(p.log)...)
	}
	return p
}

// bubble runs f in a bubble of virtual time.
func bubble(t testing.TB, f func(t testing.TB)) {
	synctest.Test(t.(*testing.T), func(t *testing.T) { f(t) })
}

// Report is the seed of a day that broke a rule, with the lines of the first.
func Report(d Day, seed uint64, broken []checker.Broken) string {
	var b strings.Builder
	fmt.Fprintf(&b, "day %s, seed %d: %d breaches; play it by DRYDOCK_DAY=%s DRYDOCK_SEED=%d\n%s\n", d.Name, seed, len(broken), d.Name, seed, broken[0])
	count := map[string]int{}
	for _, x := range broken {
		count[x.Rule]++
	}
	fmt.Fprintln(&b, "all:", count)
	return b.String()
}
