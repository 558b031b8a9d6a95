package integration

import "testing"

// TestTwoOfFive has five core machines of which two may be lost at once: the roll of the three seeds grows by itself. Then two voters
// are killed at once, one of them with its disk; keys and changes go on, and all that was acknowledged stands.
func TestTwoOfFive(t *testing.T) {
	t.Parallel()
	m := StartFor(t, bin, 2, "alpha", "beta")
	four, five := m.Another(), m.Another()
	if status, text := m.Operate(Change(first(), nil), 0); status != 200 {
		t.Fatalf("first configuration: %d %s", status, text)
	}
	for _, x := range m.Sides {
		Await(t, x.Name+" is ready", x.Ready)
	}
	ops := &keyed{m: m, done: map[string]Answer{}, path: map[string]string{}}
	ops.run(t)
	for _, x := range []*Machine{four, five} {
		x.Purser.AwaitSaid(t, 0, "state", "serving")
	}
	ops.run(t)
	m.Cores[1].Kill()
	m.Cores[2].Kill()
	m.Cores[2].LoseDisk()
	ops.run(t)
	ops.check(t)
	if status, text := m.Operate(Change([]Item{Route("free-alpha", 2, "idempotent", "/free/alpha/", "beta")}, nil), 0); status != 200 {
		t.Errorf("a change: %d %s", status, text)
	}
	m.Cores[1].Start(false)
	m.Cores[2].Start(false)
	m.Cores[2].Purser.AwaitSaid(t, 0, "repair", "made up for")
	ops.run(t)
	ops.check(t)
}
