package membership

import (
	"strings"
	"testing"
	"time"
)

func TestCalmDays(t *testing.T) {
	t.Parallel()
	for seed := range int64(50) {
		n := 15
		if seed == 49 {
			n = 60
		}
		w := newWorld(seed, n, 0.05)
		took := w.mustAgree(t, 15*time.Second, "start")
		w.run(w.now+30*time.Second, nil)
		if len(w.dead) > 0 {
			t.Errorf("seed %d: held dead on a calm day: %+v", seed, w.dead)
		}
		w.mustBeOnTime(t)
		if seed < 3 || n == 60 {
			t.Logf("seed %d: %d agree after %v", seed, n, took)
		}
	}
}

// TestCostAndCrashes: what a member sends at rest is flat with the size of the fleet; then a fifth of it is killed at once.
func TestCostAndCrashes(t *testing.T) {
	t.Parallel()
	// With three that confirm it, a suspicion takes 3.5 s of 15 and 6.2 s of 120 in place of 10.6 and 18.7; before that come the
	// probe that finds it and the way of the news.
	within := []time.Duration{9 * time.Second, 14 * time.Second}
	var small float64
	for seed, n := range []int{15, 120} {
		w := newWorld(int64(seed), n, 0)
		bytes, datagrams := perMember(t, w)
		t.Logf("%.0f bytes in %.2f datagrams a second for each of %d", bytes, datagrams, n)
		if seed == 0 {
			small = bytes
		}
		if bytes > 1.1*small || bytes > 150 || datagrams > 2.1 {
			t.Errorf("%.0f bytes in %.2f datagrams a second for each of %d, %.0f bytes of 15", bytes, datagrams, n, small)
		}
		w.loss = 0.05
		for i := range n / 5 {
			w.kill(i * 5)
		}
		t.Logf("%d of %d killed: known to all after %v", n/5, n, w.mustAgree(t, within[seed], "crash"))
		for _, v := range w.dead {
			if w.nodes[v.of].up {
				t.Errorf("a live one held dead: %+v", v)
			}
		}
		w.mustBeOnTime(t)
	}
}

func TestFrozenAccusesNobody(t *testing.T) {
	t.Parallel()
	for seed := range int64(20) {
		w := newWorld(seed, 15, 0.05)
		w.mustAgree(t, 15*time.Second, "start")
		w.run(w.now+time.Duration(seed)*77*time.Millisecond, nil)
		for w.nodes[7].r.probe == nil { // it freezes before the answer comes
			w.run(w.now+200*time.Microsecond, nil)
		}
		accused := w.nodes[7].r.Counts().Unanswered
		w.freeze(7, w.now+4*time.Second)
		w.run(w.now+4*time.Second, nil)
		w.mustAgree(t, 30*time.Second, "freeze")
		if c := w.nodes[7].r.Counts(); c.Unanswered != accused {
			t.Errorf("seed %d: the frozen one accuses %d others as it wakes", seed, c.Unanswered-accused)
		}
		for _, v := range w.dead {
			if v.of != 7 {
				t.Errorf("seed %d: %+v", seed, v)
			}
		}
	}
}

func TestCutsHeal(t *testing.T) {
	t.Parallel()
	const n = 24
	for _, c := range []struct {
		name string
		cut  func(from, to int) bool
	}{
		{"in two halves", func(a, b int) bool { return a < n/2 != (b < n/2) }},
		{"one off", func(a, b int) bool { return (a == 5) != (b == 5) }},
		{"one deaf", func(a, b int) bool { return b == 5 }},
		{"one dumb", func(a, b int) bool { return a == 5 }},
		{"one half deaf to the other", func(a, b int) bool { return a < n/2 && b >= n/2 }},
		{"in two halves that forget each other", func(a, b int) bool { return a < n/2 != (b < n/2) }},
	} {
		w := newWorld(1, n, 0.05)
		forget := strings.Contains(c.name, "forget")
		if forget {
			w.o.DeadFor = 30 * time.Second
		}
		calm := w.cut
		w.mustAgree(t, 15*time.Second, "start")
		w.cut = c.cut
		if !forget { // they find each other by whom they remember, without seeds
			for _, n := range w.nodes {
				n.r.SetSeeds(w.now, nil)
			}
		}
		w.run(w.now+30*time.Second, nil)
		live := w.nodes[0].r.Live()
		w.cut = calm
		at := len(w.dead)
		took := w.mustAgree(t, 60*time.Second, c.name)
		for _, v := range w.dead[at:] {
			if v.by != 5 || strings.Contains(c.name, "halves") {
				t.Errorf("%s: held dead after the cut: %+v", c.name, v)
			}
		}
		t.Logf("%s: the first held %d live in the cut; healed after %v, %d verdicts after it", c.name, live, took, len(w.dead)-at)
	}
	// A cut between a single pair removes nobody: others give their opinion.
	w := newWorld(2, 15, 0.05)
	w.mustAgree(t, 15*time.Second, "start")
	w.cut = func(a, b int) bool { return a == 3 && b == 4 }
	w.run(w.now+120*time.Second, nil)
	if len(w.dead) > 0 {
		t.Errorf("a cut from 3 to 4 alone: %+v", w.dead)
	}
}

func TestNewLifeReplacesOld(t *testing.T) {
	t.Parallel()
	const n = 40
	for seed := range int64(3) {
		w := newWorld(seed, n, 0.05)
		w.mustAgree(t, 15*time.Second, "start")
		for round := range 3 {
			// Killed and back within a second, some thrice; the seeds too.
			for _, i := range []int{0, 1, 20, 21, 22 + round} {
				w.kill(i)
				w.at(w.now+time.Duration(w.rng.Int63n(int64(time.Second))), func() { w.start(i) })
			}
			w.run(w.now+time.Second, nil)
			took := w.mustAgree(t, 20*time.Second, "new lives")
			if seed == 0 {
				t.Logf("round %d: new lives known to all after %v", round, took)
			}
		}
		for _, v := range w.dead {
			if w.nodes[v.of].r.Self().Life == v.life {
				t.Errorf("seed %d: a new life held dead: %+v", seed, v)
			}
		}
		// All at once, as after a loss of power: nobody is left who remembers.
		for i := range n {
			w.kill(i)
			w.at(w.now+time.Duration(w.rng.Int63n(int64(time.Second))), func() { w.start(i) })
		}
		w.run(w.now+time.Second, nil)
		w.mustAgree(t, 20*time.Second, "all new")
	}
}

// perMember is what one member sends at rest, in bytes and datagrams a second, headers of the network aside.
func perMember(t testing.TB, w *world) (bytes, datagrams float64) {
	n := len(w.nodes)
	t.Logf("%d agree after %v", n, w.mustAgree(t, 60*time.Second, "start"))
	w.run(w.now+10*time.Second, nil)
	w.bytes, w.sent = 0, 0
	from := w.now
	w.run(w.now+10*time.Second, nil)
	s := (w.now - from).Seconds() * float64(n)
	return float64(w.bytes) / s, float64(w.sent) / s
}

// BenchmarkAtRest measures fleets that are too large for the tests.
func BenchmarkAtRest(b *testing.B) {
	for range b.N {
		for _, n := range []int{15, 150, 1500} {
			bytes, d := perMember(b, newWorld(1, n, 0))
			b.Logf("%d members: %.0f B/s, %.2f datagrams/s for each", n, bytes, d)
		}
	}
}
