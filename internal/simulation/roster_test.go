package simulation

import (
	"slices"
	"strings"
	"testing"
	"time"

	"saltmast/internal/simulation/checker"
)

// TestGoneMachinesAreForgotten: what is known of a machine that is long gone is dropped everywhere, and it is taken up again when
// it comes back, though its versions begin anew.
func TestGoneMachinesAreForgotten(t *testing.T) {
	dir := scratch(t)
	bubble(t, func(t testing.TB) {
		w := newWorld(7, dir, Size{})
		w.begin(t)
		op := w.operator("10.9.0.2")
		if !op.send(&checker.Call{Items: first()}, 0, 10*time.Second) {
			t.Fatal("the first configuration was not taken")
		}
		w.until(5 * time.Second)
		core, side := w.core[2], w.tugs[3]
		core.m.PowerOff()
		core.kill()
		side.m.PowerOff()
		side.endBackend()
		side.kill()
		side.proc = nil
		known := func(node string) (masters, berths int) {
			for _, c := range w.core[:2] {
				s := c.hr.Registry.Status()
				masters += len(s.Registries)
				for _, b := range s.Backends {
					if b.Node == node {
						berths++
					}
				}
			}
			return masters, berths
		}
		w.until(60 * time.Second)
		if m, b := known(side.name); m != 6 || b != 2 {
			t.Errorf("a minute later: %d masters, %d berths", m, b)
		}
		w.until(6*time.Minute + 10*time.Second)
		if m, b := known(side.name); m != 4 || b != 0 {
			t.Errorf("long after: %d masters, %d berths", m, b)
		}
		for _, m := range w.tugs[:3] {
			if n := m.tug.Counts()["berths"]; n != 3 {
				t.Errorf("%s knows %d backends", m.name, n)
			}
		}
		side.m.PowerOn()
		core.m.PowerOn()
		if err := side.start(); err != nil {
			t.Fatal(err)
		}
		side.startBackend()
		if err := core.start(); err != nil {
			t.Fatal(err)
		}
		w.until(6*time.Minute + 20*time.Second)
		if m, b := known(side.name); m != 6 || b != 2 {
			t.Errorf("back again: %d masters, %d berths", m, b)
		}
		for _, m := range w.tugs {
			if n := m.tug.Counts()["berths"]; n != 4 {
				t.Errorf("%s knows %d backends again", m.name, n)
			}
		}
		if gone := slices.DeleteFunc(w.notes, func(s string) bool { return !strings.Contains(s, "gone:") }); len(gone) == 0 {
			t.Error("nothing is said of it")
		}
		w.end()
		op.p.End()
		time.Sleep(10 * time.Second)
	})
}
