package integration

import (
	"fmt"
	"os"
	"testing"
	"time"
)

var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "shakedown")
	if err == nil {
		bin = dir
		err = Build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	status := m.Run()
	os.RemoveAll(dir)
	os.Exit(status)
}

// first is the configuration that the trials begin with: for each service one route of each kind that may be repeated.
func first() []Item {
	return []Item{Bounds(1, 8<<10, 32<<20), Service("alpha", 1), Service("beta", 1),
		Route("free-alpha", 1, "idempotent", "/free/alpha/", "alpha"), Route("free-beta", 1, "idempotent", "/free/beta/", "beta"),
		Route("keyed-alpha", 1, "deduplicated", "/keyed/alpha/", "alpha"), Route("keyed-beta", 1, "deduplicated", "/keyed/beta/", "beta"),
		Route("once-alpha", 1, "mutating", "/once/alpha/", "alpha"), Route("once-beta", 1, "mutating", "/once/beta/", "beta")}
}

// up starts a mesh, configures it and waits until it serves everywhere.
func up(t *testing.T) *Mesh {
	t.Helper()
	m := Start(t, bin, "alpha", "beta")
	if status, text := m.Operate(Change(first(), nil), 0); status != 200 {
		t.Fatalf("first configuration: %d %s", status, text)
	}
	for _, x := range m.Sides {
		Await(t, x.Name+" is ready", x.Ready)
		m.served(t, x, Request{Path: "/free/alpha/up"})
		m.served(t, x, Request{Path: "/free/beta/up"})
	}
	return m
}

// served sends a request that may be repeated, each time with a new id, until a backend has answered it.
func (m *Mesh) served(t *testing.T, at *Machine, r Request) (a Answer) {
	t.Helper()
	begun, tries, why := time.Now(), 0, map[string]int{}
	tell := func() {
		t.Logf("%s at %s: %d tries, %v, others: %v", r.Path, at.Name, tries, time.Since(begun).Round(time.Millisecond), why)
	}
	defer func() {
		if t.Failed() {
			tell()
		}
	}()
	Await(t, "served at "+at.Name+": "+r.Path, func() bool {
		r.ID = ""
		a = Ask(at.Outbound(), r)
		if tries++; !a.Good() {
			why[a.String()]++
		}
		return a.Good()
	})
	if time.Since(begun) > time.Second {
		tell()
	}
	return a
}

// asked sends a request until it may have run: what is turned away with the promise that it did not is sent again, as a new
// attempt. None of those may have run.
func (m *Mesh) asked(t *testing.T, at *Machine, r *Request) (a Answer) {
	t.Helper()
	Await(t, "not turned away at "+at.Name+": "+r.Path, func() bool {
		r.ID = NewID()
		a = Ask(at.Outbound(), *r)
		if a.Err != nil || a.Status != 503 && a.Status != 429 {
			return true
		}
		for _, x := range m.Sides {
			if n := x.Backend.RunsOf(r.ID); n > 0 {
				t.Errorf("%s: %v, and it ran %d times", r.Path, a, n)
			}
		}
		return false
	})
	return a
}

func (m *Mesh) side(service string) *Machine {
	for _, x := range m.Sides {
		if x.Service == service {
			return x
		}
	}
	return nil
}
