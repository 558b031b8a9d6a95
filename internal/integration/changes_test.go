package integration

import (
	"fmt"
	"testing"
	"time"
)

// catchUp is how long a member that is back may take until another may be lost.
const catchUp = 4 * time.Second

// TestThousandsOfChanges has a core machine miss 8,000 routes of 10,000. Four seconds after it runs again, another one is lost:
// changes are taken all the same, and all that was acknowledged is there. A busy machine may make a change overdue, and is no
// fault: so some of them may have to be sent again, but few.
func TestThousandsOfChanges(t *testing.T) {
	m := Start(t, bin, "alpha")
	if status, text := m.Operate(Change([]Item{Service("alpha", 1)}, nil), 0); status != 200 {
		t.Fatalf("%d %s", status, text)
	}
	routes := 0
	route := func() Item {
		routes++
		return Route(fmt.Sprintf("r-%05d", routes), 1, "idempotent", fmt.Sprintf("/r/%05d/", routes), "alpha")
	}
	grow := func(t *testing.T, to int) {
		for routes < to {
			var items []Item
			for len(items) < 500 && routes < to {
				items = append(items, route())
			}
			if status, text := m.Operate(Change(items, nil), 1); status != 200 {
				t.Fatalf("with %d routes: %d %s", routes, status, text)
			}
		}
	}
	tries, again := 0, 0
	one := func(t *testing.T, first int) {
		change := Change([]Item{route()}, nil)
		tries++
		if status, text, err := m.Cores[first].Send(change); status != 200 {
			again++
			t.Logf("change %d at %s: %d %s %v", tries, m.Cores[first].Name, status, text, err)
			if status, text := m.Operate(change, first+1); status != 200 {
				t.Errorf("%d %s", status, text)
			}
		}
	}
	step(t, "taken", func(t *testing.T) { grow(t, 2000) })
	m.Cores[0].Kill()
	step(t, "taken with a core machine down", func(t *testing.T) { grow(t, 10000) })
	back := time.Now()
	mark := m.Cores[0].Purser.Mark()
	m.Cores[0].Start(false)
	m.Cores[0].Purser.AwaitSaid(t, mark, "state", "-> serving")
	t.Run("changes while it catches up", func(t *testing.T) {
		whole := time.Duration(0)
		for time.Since(back) < catchUp {
			one(t, 1)
			if whole == 0 && m.Cores[0].Purser.Said(mark, "register", "catching up false") {
				whole = time.Since(back)
			}
		}
		m.Cores[0].Purser.AwaitSaid(t, mark, "register", "catching up false")
		t.Logf("whole after %v", whole.Round(10*time.Millisecond))
		if again > tries/5 {
			t.Errorf("%d of %d changes had to be sent again", again, tries)
		}
	})
	m.Cores[2].Kill()
	t.Run("changes with another down", func(t *testing.T) {
		tries, again = 0, 0
		for i := range 10 {
			one(t, i%2)
		}
		if again > tries/5 {
			t.Errorf("%d of %d changes had to be sent again", again, tries)
		}
	})
	t.Run("all of it is there", func(t *testing.T) {
		for _, x := range m.Cores[:2] {
			Await(t, x.Name+" tells what stands", func() bool {
				c, err := x.Standing()
				return err == nil && len(c) == routes+1
			})
		}
	})
	t.Run("changes with one back without its disk, and another down", func(t *testing.T) {
		x, y := m.Cores[2], m.Cores[1]
		mark := x.Purser.Mark()
		x.Start(false)
		x.Purser.AwaitSaid(t, mark, "state", "-> serving")
		y.Kill()
		y.LoseDisk()
		back := time.Now()
		mark = y.Purser.Mark()
		y.Start(false)
		y.Purser.AwaitSaid(t, mark, "repair", "made up for by 2 others")
		t.Logf("made up for after %v", time.Since(back).Round(10*time.Millisecond))
		for time.Since(back) < catchUp {
			one(t, 2)
		}
		m.Cores[0].Kill()
		tries, again = 0, 0
		for i := range 10 {
			one(t, 1+i%2)
		}
		if again > tries/5 {
			t.Errorf("%d of %d changes had to be sent again", again, tries)
		}
	})
}
