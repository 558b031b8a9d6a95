package integration

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"saltmast/internal/dataplane"
)

// keyed are the operations that were acknowledged, with their answers: none may run again or change.
type keyed struct {
	m    *Mesh
	n    int
	done map[string]Answer
	path map[string]string
}

// run runs one new operation from each machine at each service.
func (k *keyed) run(t *testing.T) {
	t.Helper()
	for _, x := range k.m.Sides {
		for _, y := range k.m.Sides {
			k.n++
			key, path := fmt.Sprintf("op-%d", k.n), fmt.Sprintf("/keyed/%s/%d", y.Service, k.n)
			k.done[key] = k.m.served(t, x, Request{Method: "POST", Path: path, Key: key, Body: []byte(key)})
			k.path[key] = path
		}
	}
}

// check asks for every operation again, on every machine: seal and body are those of the first time, and it ran once.
func (k *keyed) check(t *testing.T) {
	t.Helper()
	for key, was := range k.done {
		for _, x := range k.m.Sides {
			a := k.m.served(t, x, Request{Method: "POST", Path: k.path[key], Key: key, Body: []byte(key)})
			if a.Header.Get(dataplane.HeaderServerSeal) != was.Header.Get(dataplane.HeaderServerSeal) || a.Body != was.Body {
				t.Errorf("%s at %s: %v, the first time %v", key, x.Name, a, was)
			}
		}
		k.once(t, key)
	}
}

func (k *keyed) once(t *testing.T, key string) {
	t.Helper()
	n := 0
	for _, x := range k.m.Sides {
		n += x.Backend.RunsOfKey(key)
	}
	if n != 1 {
		t.Errorf("%s ran %d times", key, n)
	}
}

// step runs one part of a trial; what follows makes no sense where it fails.
func step(t *testing.T, name string, f func(t *testing.T)) {
	t.Helper()
	begun := time.Now()
	if !t.Run(name, f) {
		t.FailNow()
	}
	t.Logf("%s: %v", name, time.Since(begun).Round(10*time.Millisecond))
}

// TestLosses takes one mesh through the losses that it must bear, one machine at a time.
func TestLosses(t *testing.T) {
	t.Parallel()
	m := Start(t, bin, "alpha", "beta")
	ops := &keyed{m: m, done: map[string]Answer{}, path: map[string]string{}}
	a, b := m.side("alpha"), m.side("beta")

	step(t, "configured", func(t *testing.T) {
		if a.Ready() || b.Ready() {
			t.Error("ready without a configuration")
		}
		Await(t, "without a configuration there is no service", func() bool { return Ask(a.Outbound(), Request{Path: "/free/alpha/x"}).Status == 503 })
		if status, text := m.Operate(Change(first(), nil), 1); status != 200 {
			t.Fatalf("%d %s", status, text)
		}
		for i, x := range m.Cores { // the same again, wherever
			if status, text := m.Operate(Change(first(), nil), i); status != 200 {
				t.Errorf("again, at %s: %d %s", x.Name, status, text)
			}
		}
		bad := []Item{Route("new", 2, "idempotent", "/new/", "alpha"), Route("lost", 2, "idempotent", "/lost/", "nobody")}
		for i, x := range m.Cores {
			if status, _ := m.Operate(Change(bad, nil), i); status != 400 {
				t.Errorf("a route to no service, at %s: %d", x.Name, status)
			}
			if status, _ := m.Operate(`{"upsert": [`, i); status != 400 {
				t.Errorf("half a call, at %s: %d", x.Name, status)
			}
		}
	})
	step(t, "ready", func(t *testing.T) {
		for _, x := range m.Sides {
			Await(t, x.Name+" is ready", x.Ready)
		}
	})
	step(t, "served", func(t *testing.T) {
		for _, x := range m.Sides {
			for _, y := range m.Sides {
				was := y.Backend.Callers(x.Service)
				for i := range 5 {
					r := Request{Method: "POST", Path: fmt.Sprintf("/free/%s/%s/%d", y.Service, x.Name, i), Body: []byte("hello"), Header: []string{dataplane.HeaderCallerService + ": somebody"}}
					got := m.served(t, x, r)
					if !strings.HasPrefix(got.Body, y.Service+" POST "+r.Path+" 5 ") {
						t.Errorf("%s at %s: %v", r.Path, x.Name, got)
					}
				}
				if n := y.Backend.Callers(x.Service) - was; n < 5 {
					t.Errorf("%s counts %d calls of %s", y.Service, n, x.Service)
				}
			}
			for _, path := range []string{"/none/", "/free", "/new/x", "/lost/x"} {
				if got := Ask(x.Outbound(), Request{Path: path}); got.Status != 404 {
					t.Errorf("%s at %s: %v", path, x.Name, got)
				}
			}
			if got := Ask(x.Outbound(), Request{Path: "/free/alpha/x", Host: "other.example"}); got.Status != 404 {
				t.Errorf("another host: %v", got)
			}
		}
		ops.run(t)
		ops.check(t)
	})
	version := 1
	// change has a change take hold, wherever the operator comes first: the path of a new route is served on all machines.
	change := func(t *testing.T) {
		t.Helper()
		version++
		path := fmt.Sprintf("/v%d/", version)
		status, text := m.Operate(Change([]Item{Route("turn", version, "idempotent", path, "beta")}, nil), version)
		if status != 200 {
			t.Fatalf("%d %s", status, text)
		}
		for _, x := range m.Sides {
			m.served(t, x, Request{Path: path + "x"})
			if got := Ask(x.Outbound(), Request{Path: fmt.Sprintf("/v%d/x", version-1)}); got.Status != 404 {
				t.Errorf("the old path at %s: %v", x.Name, got)
			}
		}
	}
	step(t, "one core machine down", func(t *testing.T) {
		m.Cores[0].Kill()
		ops.run(t)
		change(t)
		ops.check(t)
	})
	step(t, "back with its disk", func(t *testing.T) {
		x := m.Cores[0]
		mark := x.Purser.Mark()
		x.Start(false)
		x.Purser.AwaitSaid(t, mark, "state", "-> serving")
		Await(t, x.Name+" tells what stands", func() bool {
			c, err := x.Standing()
			return err == nil && c["routes turn"] == fmt.Sprintf("r%d", version)
		})
	})
	step(t, "another back without its disk", func(t *testing.T) {
		x := m.Cores[1]
		x.Kill()
		x.LoseDisk()
		change(t)
		mark := x.Purser.Mark()
		x.Purser.Start(false, m.NoSeeds()) // it finds nobody until it is told better
		x.Harbour.Start(false, m.Seeds())
		x.Purser.AwaitSaid(t, mark, "state", "-> no roll")
		x.Purser.AwaitSaid(t, mark, "started", "")
		x.Purser.Settings(false, m.Seeds())
		x.Purser.Signal(syscall.SIGHUP)
		x.Purser.AwaitSaid(t, mark, "settings", "changed")
		x.Purser.AwaitSaid(t, mark, "repair", "made up for by 2 others")
		if !x.Purser.Said(mark, "state", "repairing -> serving") {
			t.Error("it serves without having said so")
		}
	})
	step(t, "a third down", func(t *testing.T) {
		m.Cores[2].Kill()
		ops.check(t)
		ops.run(t)
		change(t)
		ops.check(t)
		want := map[string]string{"limits": "r1", "routes turn": fmt.Sprintf("r%d", version)}
		for _, i := range first() {
			if name, ok := i.Meta["name"].(string); ok {
				want[i.Kind+" "+name] = "r1"
			}
		}
		for _, x := range m.Cores[:2] {
			var got map[string]string
			Await(t, x.Name+" tells what stands", func() (ok bool) {
				var err error
				got, err = x.Standing()
				return err == nil
			})
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("%s: %v, want %v", x.Name, got, want)
			}
		}
		x := m.Cores[2]
		mark := x.Purser.Mark()
		x.Start(false)
		x.Purser.AwaitSaid(t, mark, "state", "-> serving")
	})
	step(t, "one sidecar down and back", func(t *testing.T) {
		a.Tug.Signal(syscall.SIGKILL)
		a.Tug.Wait()
		if got := Ask(b.Outbound(), Request{Path: "/free/alpha/x", Left: time.Second}); got.Good() {
			t.Errorf("served past its proxy: %v", got)
		}
		m.served(t, b, Request{Path: "/free/beta/x"})
		a.Tug.Start(false, m.NoSeeds())
		Await(t, "it answers the platform", func() bool {
			status, _, err := call("GET", "http://"+a.Readiness()+"/v1/readiness", "")
			return err == nil && status == 503
		})
		a.Tug.AwaitSaid(t, 0, "backend", "i-alpha-1 of alpha: serving")
		a.Tug.Settings(false, m.Seeds()) // with no signal
		Await(t, "it is ready by the new seeds", a.Ready)
		m.served(t, b, Request{Path: "/free/alpha/again"})
		m.served(t, a, Request{Path: "/free/beta/again"})
		ops.run(t)
	})
	step(t, "settings that are no good", func(t *testing.T) {
		mark := a.Tug.Mark()
		a.Tug.Spoil("ip: 300\n")
		a.Tug.Signal(syscall.SIGHUP)
		a.Tug.AwaitSaid(t, mark, "settings", ": wanted ")
		m.served(t, a, Request{Path: "/free/alpha/x"})
		for _, x := range m.Cores {
			mark := x.Harbour.Mark()
			x.Harbour.Signal(syscall.SIGHUP)
			x.Harbour.AwaitSaid(t, mark, "settings", "changed")
		}
	})
	for _, x := range m.Sides {
		if n := x.Backend.Strange(); n > 0 {
			t.Errorf("%s got %d requests that it should not get", x.Service, n)
		}
	}
	for key := range ops.done {
		ops.once(t, key)
	}
	for _, x := range m.Cores {
		for _, p := range x.programs {
			p.Signal(syscall.SIGTERM)
			if s := p.Wait(); s.ExitCode() != 0 {
				t.Errorf("%s on %s ended with %v", p.Program, x.Name, s)
			}
		}
	}
}
