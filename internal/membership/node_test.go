package membership

import (
	"strings"
	"testing"
	"time"
)

func TestNoFalseDeaths(t *testing.T) {
	t.Parallel()
	for seed := range int64(50) {
		n := 15
		if seed == 49 {
			n = 60
		}
		cl := newCluster(seed, n, 0.05)
		took := cl.mustAgree(t, 15*time.Second, "start")
		cl.run(cl.now+30*time.Second, nil)
		if len(cl.dead) > 0 {
			t.Errorf("seed %d: declared dead without a fault: %+v", seed, cl.dead)
		}
		cl.mustBeOnTime(t)
		if seed < 3 || n == 60 {
			t.Logf("seed %d: %d agree after %v", seed, n, took)
		}
	}
}

// TestCostAndCrashes checks that the idle traffic of a member does not grow with the cluster, and that the crash of a fifth of
// the members at once is detected in time.
func TestCostAndCrashes(t *testing.T) {
	t.Parallel()
	// With three confirmations a suspicion takes 3.5 s among 15 members and 6.2 s among 120, instead of 10.6 s and 18.7 s. The
	// failed probe before it and the spread of the updates add to that.
	within := []time.Duration{9 * time.Second, 14 * time.Second}
	var small float64
	for seed, n := range []int{15, 120} {
		cl := newCluster(int64(seed), n, 0)
		bytes, datagrams := perMember(t, cl)
		t.Logf("%.0f bytes in %.2f datagrams a second for each of %d", bytes, datagrams, n)
		if seed == 0 {
			small = bytes
		}
		if bytes > 1.1*small || bytes > 150 || datagrams > 2.1 {
			t.Errorf("%.0f bytes in %.2f datagrams a second for each of %d, %.0f bytes of 15", bytes, datagrams, n, small)
		}
		cl.loss = 0.05
		for i := range n / 5 {
			cl.kill(i * 5)
		}
		t.Logf("%d of %d killed: known to all after %v", n/5, n, cl.mustAgree(t, within[seed], "crash"))
		for _, v := range cl.dead {
			if cl.nodes[v.of].up {
				t.Errorf("a live member declared dead: %+v", v)
			}
		}
		cl.mustBeOnTime(t)
	}
}

func TestFrozenAccusesNobody(t *testing.T) {
	t.Parallel()
	for seed := range int64(20) {
		cl := newCluster(seed, 15, 0.05)
		cl.mustAgree(t, 15*time.Second, "start")
		cl.run(cl.now+time.Duration(seed)*77*time.Millisecond, nil)
		for cl.nodes[7].node.probe == nil { // freeze it while an answer is outstanding
			cl.run(cl.now+200*time.Microsecond, nil)
		}
		unanswered := cl.nodes[7].node.Counts().Unanswered
		cl.freeze(7, cl.now+4*time.Second)
		cl.run(cl.now+4*time.Second, nil)
		cl.mustAgree(t, 30*time.Second, "freeze")
		if c := cl.nodes[7].node.Counts(); c.Unanswered != unanswered {
			t.Errorf("seed %d: the frozen member suspects %d others when it resumes", seed, c.Unanswered-unanswered)
		}
		for _, v := range cl.dead {
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
		cl := newCluster(1, n, 0.05)
		forget := strings.Contains(c.name, "forget")
		if forget {
			cl.o.RetainDead = 30 * time.Second
		}
		calm := cl.cut
		cl.mustAgree(t, 15*time.Second, "start")
		cl.cut = c.cut
		if !forget { // without seeds: they find each other through the dead members they remember
			for _, n := range cl.nodes {
				n.node.SetSeeds(cl.now, nil)
			}
		}
		cl.run(cl.now+30*time.Second, nil)
		live := cl.nodes[0].node.Live()
		cl.cut = calm
		at := len(cl.dead)
		took := cl.mustAgree(t, 60*time.Second, c.name)
		for _, v := range cl.dead[at:] {
			if v.by != 5 || strings.Contains(c.name, "halves") {
				t.Errorf("%s: declared dead after the cut: %+v", c.name, v)
			}
		}
		t.Logf("%s: the first member saw %d live during the cut; healed after %v, %d declared dead after it", c.name, live, took, len(cl.dead)-at)
	}
	// A cut between a single pair removes nobody, because indirect probes succeed.
	cl := newCluster(2, 15, 0.05)
	cl.mustAgree(t, 15*time.Second, "start")
	cl.cut = func(a, b int) bool { return a == 3 && b == 4 }
	cl.run(cl.now+120*time.Second, nil)
	if len(cl.dead) > 0 {
		t.Errorf("a cut from 3 to 4 alone: %+v", cl.dead)
	}
}

func TestNewLifeReplacesOld(t *testing.T) {
	t.Parallel()
	const n = 40
	for seed := range int64(3) {
		cl := newCluster(seed, n, 0.05)
		cl.mustAgree(t, 15*time.Second, "start")
		for round := range 3 {
			// Members, including seeds, are killed and restart within a second, some of them in all three rounds.
			for _, i := range []int{0, 1, 20, 21, 22 + round} {
				cl.kill(i)
				cl.at(cl.now+time.Duration(cl.rng.Int63n(int64(time.Second))), func() { cl.start(i) })
			}
			cl.run(cl.now+time.Second, nil)
			took := cl.mustAgree(t, 20*time.Second, "new lives")
			if seed == 0 {
				t.Logf("round %d: new lives known to all after %v", round, took)
			}
		}
		for _, v := range cl.dead {
			if cl.nodes[v.of].node.Self().Life == v.life {
				t.Errorf("seed %d: a new life declared dead: %+v", seed, v)
			}
		}
		// All restart at once, as after a power failure: no member remembers the others.
		for i := range n {
			cl.kill(i)
			cl.at(cl.now+time.Duration(cl.rng.Int63n(int64(time.Second))), func() { cl.start(i) })
		}
		cl.run(cl.now+time.Second, nil)
		cl.mustAgree(t, 20*time.Second, "all new")
	}
}

// perMember returns the idle traffic of one member in bytes and datagrams per second, without network headers.
func perMember(t testing.TB, cl *cluster) (bytes, datagrams float64) {
	n := len(cl.nodes)
	t.Logf("%d agree after %v", n, cl.mustAgree(t, 60*time.Second, "start"))
	cl.run(cl.now+10*time.Second, nil)
	cl.bytes, cl.sent = 0, 0
	from := cl.now
	cl.run(cl.now+10*time.Second, nil)
	s := (cl.now - from).Seconds() * float64(n)
	return float64(cl.bytes) / s, float64(cl.sent) / s
}

// BenchmarkAtRest measures idle traffic in clusters that are too large for the tests.
func BenchmarkAtRest(b *testing.B) {
	for range b.N {
		for _, n := range []int{15, 150, 1500} {
			bytes, d := perMember(b, newCluster(1, n, 0))
			b.Logf("%d members: %.0f B/s, %.2f datagrams/s for each", n, bytes, d)
		}
	}
}
