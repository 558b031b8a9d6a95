package drydock

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/drydock/surveyor"
)

// Day is a kind of day: what happens in it besides clients.
type Day struct {
	Name   string
	Floor  float64 // part of requests to be served at least
	Length time.Duration
	Faults Faults
	Rate   float64       // requests a second at each of the 4 machines; 0: rate
	Work   float64       // how many times as long backends take; 0: once
	Keys   float64       // part of the requests that carry a key, beside those that draw their route
	Again  time.Duration // within which keys come again; 0: 1.5 s
	Large  float64       // part of the bodies that go on as they come
	Rude   float64       // part of the tries that end in the middle of their body
	Events func(w *World, op *operator)
}

const (
	clientsFrom = 2500 * time.Millisecond
	rate        = 15
)

// Play plays a day and gives what was broken, with its log.
func Play(t testing.TB, d Day, seed uint64, flaw Flaw) (l *surveyor.Log, broken []surveyor.Broken, notes []string) {
	t.Helper()
	dir := scratch(t)
	bubble(t, func(t testing.TB) {
		w := newWorld(seed, dir)
		w.t = t
		w.flaw, w.fault = flaw, d.Faults
		w.log.Floor = d.Floor
		w.begin(t)
		op := w.operator("10.9.0.2")
		w.until(200 * time.Millisecond)
		if !op.send(&surveyor.Call{Items: first()}, int(seed%3), 10*time.Second) {
			t.Errorf("the first configuration was not taken")
		}
		w.until(clientsFrom)
		w.again, w.keys, w.work, w.large, w.rude = cmp.Or(d.Again, 1500*time.Millisecond), d.Keys, max(d.Work, 1), d.Large, d.Rude
		much := d.Rate
		if much == 0 {
			much = rate
		}
		for _, m := range w.tugs {
			w.people.Go(func() { m.clients(much, d.Length) })
		}
		if d.Events != nil {
			d.Events(w, op)
		}
		w.until(d.Length + 2500*time.Millisecond)
		op.readBack()
		w.log.End = w.now()
		w.end()
		op.p.End()
		l = w.log
		time.Sleep(10 * time.Second) // what was killed comes to its end
		w.noteMu.Lock()
		notes = w.notes
		w.noteMu.Unlock()
	})
	if l == nil {
		return nil, nil, nil
	}
	return l, surveyor.Judge(l), notes
}

// bubble runs f in a bubble of virtual time.
func bubble(t testing.TB, f func(t testing.TB)) {
	synctest.Test(t.(*testing.T), func(t *testing.T) { f(t) })
}

// Report is the seed of a day that broke a rule, with the lines of the first.
func Report(d Day, seed uint64, broken []surveyor.Broken) string {
	var b strings.Builder
	fmt.Fprintf(&b, "day %s, seed %d: %d breaches; play it by DRYDOCK_DAY=%s DRYDOCK_SEED=%d\n%s\n", d.Name, seed, len(broken), d.Name, seed, broken[0])
	count := map[string]int{}
	for _, x := range broken {
		count[x.Rule]++
	}
	fmt.Fprintln(&b, "all:", count)
	return b.String()
}
