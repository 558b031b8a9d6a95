package simulation

import (
	"strings"
	"testing"

	"saltmast/internal/messages"
)

// Machines that are out of contact and don't know it, or don't mind, are noticed.
func TestContactMutants(t *testing.T) {
	if raceOn {
		t.Skip("what the surveyor notices is looked at without the race detector")
	}
	day := func(name string) Day {
		d, err := DayNamed(name)
		if err != nil {
			t.Fatal(err)
		}
		d.Floor = 0
		return d
	}
	for _, m := range []struct {
		name string
		day  Day
		flaw Flaw
		rule string
		says string
	}{
		{"a harbourmaster that says that it hears a majority, and keeps proxies that are in touch", day("long-lure"),
			Flaw{News: func(c *coreMachine, n *messages.PullReply) {
				if c.away.Load() {
					n.FreshMs = 0
				}
			}}, "CONFIG", "late"},
		{"a harbourmaster that vouches for what it does not tell on, where one other hears it", day("long-triangle"),
			Flaw{News: func(c *coreMachine, n *messages.PullReply) {
				if c.away.Load() {
					n.Items = nil
				}
			}}, "CONFIG", "late"},
		{"a harbourmaster that refuses by its old copy where one other hears it", day("long-ring"),
			Flaw{Order: func(c *coreMachine, status int) int {
				if c.away.Load() && status == 503 {
					return 409
				}
				return status
			}}, "CONTACT", "cut off since"},
		{"a harbourmaster that confirms in its cut, of several that follow each other", day("long-turns"),
			Flaw{Order: func(c *coreMachine, status int) int {
				if c.away.Load() && status == 503 {
					return 200
				}
				return status
			}}, "CONTACT", "cut off since"},
		{"a harbourmaster that says that it hears a majority while it is cut off", day("long-cut"),
			Flaw{News: func(c *coreMachine, n *messages.PullReply) {
				if c.away.Load() {
					n.FreshMs = 0
				}
			}}, "CONTACT", "began anew"},
		{"a harbourmaster that refuses calls by its old copy", day("long-one-way"),
			Flaw{Order: func(c *coreMachine, status int) int {
				if c.away.Load() && status == 503 {
					return 409
				}
				return status
			}}, "CONTACT", "cut off since"},
		{"a harbourmaster that hands its old copy out as what stands", day("long-cut"),
			Flaw{Order: func(c *coreMachine, status int) int {
				if c.away.Load() && status == 503 {
					return 200
				}
				return status
			}}, "CONTACT", "cut off since"},
		{"a harbourmaster that runs orders which were given up", day("long-freeze"), Flaw{Deaf: true}, "CONTACT", "is in force"},
	} {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			for seed := uint64(1); seed <= 6; seed++ {
				l, broken, _ := Play(t, m.day, seed, m.flaw)
				if l == nil {
					return
				}
				others := map[string]int{}
				for _, b := range broken {
					if b.Rule == m.rule && strings.Contains(b.String(), m.says) {
						t.Logf("seed %d: %s", seed, b)
						return
					}
					others[b.Rule]++
				}
				t.Logf("seed %d: not noticed; %v", seed, others)
			}
			t.Error("it was not noticed")
		})
	}
}
