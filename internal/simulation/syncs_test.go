package simulation

import (
	"fmt"
	"testing"
	"time"

	"saltmast/internal/consensus"
	"saltmast/internal/idempotency"
	"saltmast/internal/messages"
	"saltmast/internal/rpc"
	"saltmast/internal/simulation/checker"
	"saltmast/internal/store"
)

// quay is a world of core machines alone, with a change and a key that two of three voters know.
type quay struct {
	*World
	op      *operator
	version int
}

var keyed = idempotency.ID{Incarnation: 7, N: 1, Addr: "10.9.0.2:1"}

// grants asks the voters of a roll for the key on behalf of a claimant, and gives how many grant it, of how many.
func (q *quay) grants(id idempotency.ID) (given, of int) {
	var roll messages.VoterSet
	for _, c := range q.core {
		if r := c.pr.Server.Status().VoterSet; r.Epoch > roll.Epoch {
			roll = r
		}
	}
	for _, v := range roll.Voters {
		c := rpc.NewClient(q.op.p, v.Addr)
		var g idempotency.Grant
		if c.Call(messages.Claim, messages.ClaimCall{Key: "k", ID: id, Epoch: roll.Epoch}, &g, 300*time.Millisecond) == nil && g.Granted {
			given++
		}
		c.Close()
	}
	return given, len(roll.Voters)
}

// known waits until the first harbourmaster knows so many.
func (q *quay) known(n int) {
	for end := q.now() + 4*time.Second; len(q.core[0].hr.Registry.Status().Registries) < n; q.pause(10 * time.Millisecond) {
		if q.now() > end {
			q.must(fmt.Errorf("fewer than %d harbourmasters are known", n))
			return
		}
	}
}

// change sends a change, which has to be acknowledged within four seconds.
func (q *quay) change(why string) {
	q.version++
	q.op.soon(q.version, q.version%3, []string{"ledger", "pump"}[q.version%2], 4*time.Second, why)
}

// stands looks whether all that was acknowledged is there, and nobody else gets the key.
func (q *quay) stands(why string) {
	if given, of := q.grants(idempotency.ID{Incarnation: 8, N: 1, Addr: "10.9.0.2:2"}); given >= consensus.Majority(of) {
		q.must(fmt.Errorf("%s: %d of %d grant the key to another", why, given, of))
	}
	q.op.readBack()
	for _, i := range q.log.Read {
		if i.Name == routes[0].name && i.Version == q.version {
			return
		}
	}
	q.must(fmt.Errorf("%s: version %d is not read back: %+v", why, q.version, q.log.Read))
}

// thinned has voter down miss a change and a key, and starts it again.
func (q *quay) thinned(t testing.TB, down *coreMachine) {
	down.kill()
	q.change("a killed voter")
	if given, _ := q.grants(keyed); given != 2 {
		t.Fatalf("%d grant", given)
	}
	q.must(down.start())
	q.instant(down, store.Serving, 1, 2*time.Second)
}

// sync is one play: of whose syncs, which, before or after it, and what comes about then.
type syncAt struct {
	of, nth int
	after   bool
	what    string
}

func (s syncAt) String() string {
	return fmt.Sprintf("%s at sync %d of machine %d, after: %v", s.what, s.nth, s.of, s.after)
}

// arm has something come about at a sync; the channel that it gives hears of that.
func (q *quay) arm(s syncAt) (hit chan struct{}, back func()) {
	hit = make(chan struct{})
	c := q.core[s.of]
	which := map[string][]*coreMachine{"killed": {c}, "all killed": q.core, "wiped": {c}, "next without power": {q.core[(s.of+1)%3]}}[s.what]
	a := &amid{after: s.after, do: func() {
		for _, x := range which {
			if s.what == "next without power" {
				x.powerOff()
			} else {
				x.kill()
			}
		}
		close(hit)
	}}
	a.left.Store(int32(s.nth))
	c.amid.Store(a)
	return hit, func() {
		q.pause(300 * time.Millisecond)
		for _, x := range which {
			if s.what == "wiped" {
				q.must(x.wipe())
			}
			if s.what == "next without power" {
				q.must(x.powerOn())
			} else {
				q.must(x.start())
			}
		}
	}
}

// repaired has voter 0 lose its disk with voter 2 behind. It reports whether the trouble came about.
func (q *quay) repaired(t testing.TB, s syncAt) bool {
	q.thinned(t, q.core[2])
	hit, back := q.arm(s)
	c := q.core[0]
	c.kill()
	q.must(c.wipe())
	q.must(c.start())
	return q.struck(hit, back, func() { q.becomes(c, store.Serving, 1, 5*time.Second) }, s)
}

// two has voter 0 lose its disk, and another one at a sync of its repair: where that is not made up for, nobody speaks.
func (q *quay) two(t testing.TB, s syncAt) bool {
	q.thinned(t, q.core[2])
	hit, back := q.arm(s)
	c := q.core[0]
	c.kill()
	q.must(c.wipe())
	q.must(c.start())
	return q.struck(hit, back, func() { q.pause(4 * time.Second) }, s)
}

// silent reports whether no majority speaks, and sees to it that nothing is granted or read then.
func (q *quay) silent(why string) bool {
	serving := 0
	for _, c := range q.core {
		if c.pr.Server.Status().State == store.Serving {
			serving++
		}
	}
	if serving >= 2 {
		return false
	}
	if given, _ := q.grants(idempotency.ID{Incarnation: 8, N: 1, Addr: "10.9.0.2:2"}); given > serving {
		q.must(fmt.Errorf("%s: %d grant the key to another, %d serve", why, given, serving))
	}
	if q.op.readBack(); q.log.ReadOK {
		q.must(fmt.Errorf("%s: a configuration is read, with %d serving", why, serving))
	}
	return true
}

// replaced has voter 1 replaced with voter 2 behind; it is gone with its disk afterwards.
func (q *quay) replaced(t testing.TB, s syncAt) bool {
	d := q.another()
	q.known(4)
	q.thinned(t, q.core[2])
	hit, back := q.arm(s)
	done := make(chan string, 1)
	go func() {
		told, err := q.op.replace(q.core[0], q.core[1], d)
		done <- fmt.Sprint(told.Error, err)
	}()
	came := q.struck(hit, back, func() { <-done }, s)
	for range 10 { // its proposer may have ended before anybody was sealed
		if d.pr.Server.Status().VoterSet.Epoch == 2 {
			break
		}
		q.pause(500 * time.Millisecond)
		q.op.replace(q.core[0], q.core[1], d)
	}
	q.becomes(d, store.Serving, 2, 5*time.Second)
	q.core[1].powerOff()
	q.must(q.core[1].wipe())
	return came
}

// struck waits for what was armed, or for the end, and has what was lost be back.
func (q *quay) struck(hit chan struct{}, back func(), end func(), s syncAt) bool {
	ended := make(chan struct{})
	go func() { end(); close(ended) }()
	came := false
	select {
	case <-hit:
		came = true
	case <-ended:
		select {
		case <-hit: // in the last instant
			came = true
		case <-time.After(5 * time.Millisecond):
		}
	}
	if came {
		back()
	}
	q.core[s.of].amid.Store(nil)
	<-ended
	return came
}

// Another loss comes about before or after each of the syncs of a repair and of a change of the roll, at each of the voters. All
// that was acknowledged stands then; changes go on within four seconds, and with one voter more lost.
func TestLossAtEachSync(t *testing.T) {
	if raceOn {
		t.Skip("played without the race detector")
	}
	for name, play := range map[string]func(*quay, testing.TB, syncAt) bool{"repaired": (*quay).repaired, "replaced": (*quay).replaced, "two": (*quay).two} {
		for _, what := range []string{"killed", "all killed", "wiped", "next without power"} {
			for of := range 4 {
				switch two := what == "wiped" && (of == 1 || of == 2); {
				case of == 3 && (name != "replaced" || what == "next without power"), of == 1 && name == "replaced" && what == "wiped":
					continue // nobody is there, or it is gone already
				case two && name == "repaired", !two && name == "two":
					continue // two disks of three lost at once may not be made up for
				}
				t.Run(fmt.Sprintf("%s/%s/%d", name, what, of), func(t *testing.T) {
					t.Parallel()
					came := true
					n := 0
					for nth := 1; came && nth < 12; nth++ {
						for _, after := range []bool{false, true} {
							s := syncAt{of, nth, after, what}
							came = playSync(t, s, play) && came
							n++
						}
					}
					t.Logf("%d plays", n)
				})
			}
		}
	}
}

// A change of the roll whose voters can't take over yet says so: who leaves may not go before a majority holds the books.
func TestReplacementTellsWhoHolds(t *testing.T) {
	for held, down := range map[int]bool{1: true, 2: false} {
		dir := t.TempDir()
		bubble(t, func(t testing.TB) {
			w := newWorld(9, dir, Size{})
			for _, c := range w.core {
				w.must(c.start())
			}
			q := &quay{World: w, op: w.operator("10.9.0.2"), version: 1}
			if !q.op.send(&checker.Call{Items: first()}, 0, 5*time.Second) {
				t.Fatal("the first configuration was not taken")
			}
			d := q.another()
			q.known(4)
			q.grants(keyed)
			if down {
				q.core[2].kill()
			}
			a := &amid{do: d.kill}
			a.left.Store(2) // the first puts its number there
			d.amid.Store(a)
			told, err := q.op.replace(q.core[0], q.core[1], d)
			if err != nil || told.Error != "" || told.VoterSet.Epoch != 2 || told.Active != held {
				t.Errorf("%d hold it: %+v, %v", held, told, err)
			}
			w.must(d.start())
			w.must(q.core[2].start())
			q.becomes(d, store.Serving, 2, 4*time.Second)
			q.change("what follows")
			q.stands("what follows")
			q.end(t, syncAt{})
		})
	}
}

func playSync(t *testing.T, s syncAt, play func(*quay, testing.TB, syncAt) bool) (came bool) {
	dir := t.TempDir()
	bubble(t, func(t testing.TB) {
		w := newWorld(uint64(100*s.of+s.nth), dir, Size{})
		for _, c := range w.core {
			w.must(c.start())
		}
		q := &quay{World: w, op: w.operator("10.9.0.2"), version: 1}
		if !q.op.send(&checker.Call{Items: first()}, 0, 5*time.Second) {
			t.Fatal("the first configuration was not taken")
		}
		w.until(2800 * time.Millisecond)
		came = play(q, t, s)
		if s.what == "wiped" && w.core[0].pr.Server.Status().VoterSet.Epoch == 1 && q.silent("two disks lost") {
			q.end(t, s)
			return
		}
		q.change("what follows")
		q.stands("at once")
		x := q.core[1] // who had the only other copy
		if len(q.core) == 4 {
			x = q.core[0]
		}
		x.powerOff()
		q.change("one voter more lost")
		q.stands("with one voter more lost")
		w.must(x.powerOn())
		q.end(t, s)
	})
	return came
}

// end ends the world and tells what failed.
func (q *quay) end(t testing.TB, s syncAt) {
	close(q.ending)
	for _, c := range q.core {
		c.kill()
		<-c.gone
	}
	q.op.p.End()
	time.Sleep(10 * time.Second)
	for _, b := range q.failed {
		t.Errorf("%s: %s", s, b)
	}
	if t.Failed() {
		for _, l := range q.notes {
			t.Log(l)
		}
	}
}
