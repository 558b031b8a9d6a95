package store

import (
	"fmt"
	"slices"
	"testing"

	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/errcode"
	"saltmast/internal/messages"
	"saltmast/internal/reconfig"
	"saltmast/internal/rpc"
	"saltmast/internal/storage"
)

func at(n uint64) configuration.Ballot { return configuration.Ballot{N: n} }

// sized are items of one ballot, of some bytes each.
func sized(name string, b configuration.Ballot, n, bytes int) (items []configuration.Item) {
	for i := range n {
		items = append(items, configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: fmt.Sprintf("%s%05d", name, i)}, Version: configuration.Version(b.N), Ballot: b, Spec: make([]byte, bytes)})
	}
	return items
}

func same(x, y configuration.Set) bool {
	return slices.EqualFunc(slices.Collect(x.All()), slices.Collect(y.All()), func(a, b configuration.Item) bool {
		return a.Key == b.Key && a.Ballot == b.Ballot && a.Version == b.Version
	})
}

// told is a call that is answered once the disk has all that waits.
func told[T any](t *testing.T, d *desk, kind uint8, v any) (answer T) {
	t.Helper()
	r := d.call(kind, v)
	d.settle()
	if r.n != 1 || r.err != nil || rpc.Decode(r.body, &answer) != nil {
		t.Fatalf("kind %d: %d answers, %v", kind, r.n, r.err)
	}
	return answer
}

// restarted is a desk on the disk of another.
func restarted(t *testing.T, d *desk) *desk {
	again := newDesk(t, Options{})
	again.paper, again.as = d.paper, storage.Whole
	again.open()
	again.settle()
	return again
}

// A member that missed much is told it in pages by two teachers, with a write that fails and a restart behind each: it holds and
// tells no chosen value until the last, and votes for none that it has forgotten.
func TestPages(t *testing.T) {
	d := founded(t)
	old, fork := sized("r", at(1), 3, 10), sized("fork", at(2), 2, 10)
	told[messages.Accepted](t, d, messages.Accept, messages.AcceptCall{B: at(1), Changes: old, Epoch: 1})
	told[messages.Accepted](t, d, messages.Learn, messages.LearnCall{B: at(1)})
	told[messages.Accepted](t, d, messages.Accept, messages.AcceptCall{B: at(2), Base: at(1), Changes: fork, Epoch: 1})
	seven := configuration.SetOf(old...).With(sized("r", at(5), 2, 10)...).With(sized("s", at(7), 700, 1000)...)
	nine := seven.With(sized("s", at(9), 1, 20)...).With(sized("t", at(9), 1, 20)...)
	turn := func(p consensus.Page) bool {
		t.Helper()
		return told[messages.Accepted](t, d, messages.Turn, messages.TurnCall{Page: p, Epoch: 1}).Taken
	}
	first := consensus.PageOf(nine, at(9), at(1))
	if first.Upto != at(5) || turn(consensus.PageOf(nine, at(9), at(5))) {
		t.Fatalf("the first page is up to %v, or one that does not follow was taken", first.Upto)
	}
	r := d.call(messages.Turn, messages.TurnCall{Page: first, Epoch: 1})
	d.paper.sync(storage.ErrDisk)
	if d.settle(); errcode.Of(r.err) != errcode.DiskUnavailable || d.acc.Accepted != at(2) || d.acc.CatchesUp() {
		t.Fatalf("a page that did not come to disk: %v, accepted %v", r.err, d.acc.Accepted)
	}
	for i, p := range []consensus.Page{first, consensus.PageOf(seven, at(7), at(5)), consensus.PageOf(nine, at(9), at(7))} {
		if !turn(p) || turn(p) {
			t.Fatalf("page %d: not taken, or twice", i)
		}
		d = restarted(t, d)
		w := told[messages.Watched](t, d, messages.Watch, messages.WatchCall{})
		m := d.tell(messages.MusterCall{})
		state := d.standing()
		if i == 2 {
			if w.Chosen != at(9) || w.Known != at(9) || d.acc.Accepted != at(9) || !same(d.acc.Stands, nine) || !same(d.acc.Value, nine) || state != "serving" {
				t.Errorf("behind the last: %s, chosen %v of %v, %d items", state, w.Chosen, w.Known, d.acc.Stands.Len())
			}
			break
		}
		p := told[consensus.Promise](t, d, messages.Prepare, messages.PrepareCall{B: at(20 + uint64(i)), Epoch: 1})
		if w.Known != at(9) || w.Chosen != p.Chosen || len(w.Items) > 0 || !p.Given || !p.Accepted.IsZero() || len(p.Items) > 0 || p.Known != at(9) || state != "catching up" {
			t.Errorf("behind page %d: %s, chosen %v of %v, %d items, promise %+v", i, state, w.Chosen, w.Known, len(w.Items), p)
		}
		if !m.Accepted.IsZero() || !m.Chosen.IsZero() || len(m.Items)+len(m.Delta) > 0 {
			t.Errorf("behind page %d, to a member that lost its disk: %+v", i, m)
		}
	}
}

// What is proposed comes to a member that catches up as well, if it lacks little: it is whole once that is chosen.
func TestAcceptAmidPages(t *testing.T) {
	d := founded(t)
	nine := configuration.SetOf(sized("r", at(5), 300, 1000)...).With(sized("s", at(9), 3, 10)...)
	next := nine.With(sized("r", at(11), 1, 10)...)
	if !told[messages.Accepted](t, d, messages.Turn, messages.TurnCall{Page: consensus.PageOf(nine, at(9), at(0)), Epoch: 1}).Taken || !d.acc.CatchesUp() {
		t.Fatalf("all up to %v of %v", d.acc.Chosen, d.acc.Target)
	}
	for base, want := range map[uint64]bool{9: false, 5: true} {
		a := told[messages.Accepted](t, d, messages.Accept, messages.AcceptCall{B: at(11), Base: at(base), Changes: consensus.Since(next, at(base)), Epoch: 1})
		if a.Taken != want {
			t.Errorf("told by what is after %d: %v", base, a.Taken)
		}
	}
	d = restarted(t, d)
	if d.acc.Accepted != at(11) || !same(d.acc.Value, next) {
		t.Errorf("accepted %v, %d items", d.acc.Accepted, d.acc.Value.Len())
	}
	told[messages.Accepted](t, d, messages.Learn, messages.LearnCall{B: at(11)})
	for _, d := range []*desk{d, restarted(t, d)} {
		if d.acc.CatchesUp() || d.acc.Chosen != at(11) || !same(d.acc.Stands, next) {
			t.Errorf("chosen %v, %d items", d.acc.Chosen, d.acc.Stands.Len())
		}
	}
}

// A voter of both rolls that lacks more than one write can have takes over all the same, again where it died amid that, and
// until then hands over a register that is worth nothing to others.
func TestTakeOverOfMuch(t *testing.T) {
	stands := configuration.SetOf(sized("r", at(5), 3000, 1000)...)
	value := stands.With(sized("s", at(6), 4, 10)...)
	next := messages.Roll{Epoch: 2, Voters: voters, Was: voters}
	got := func() []handed {
		e := reconfig.Estate{Promised: at(6), Accepted: at(6), Chosen: at(5)}
		return []handed{{h: messages.Handed{Estate: e, Delta: consensus.Since(value, at(5))}, base: stands}}
	}
	for dies := range 4 {
		d := founded(t)
		told[messages.Accepted](t, d, messages.Accept, messages.AcceptCall{B: at(1), Changes: sized("r", at(1), 3, 10), Epoch: 1})
		told[messages.Accepted](t, d, messages.Learn, messages.LearnCall{B: at(1)})
		d.seal.Closed, d.sealed, d.taking = true, true, true
		d.write([]storage.Put{d.putSeal()}, func(error) {})
		d.settle()
		d.inherit(next, got(), true, nil)
		for range 4 * dies {
			d.catchUp()
			if len(d.paper.waits) > 0 {
				d.paper.sync(nil)
			}
		}
		if dies > 0 {
			d.catchUp()
			h := told[messages.Handed](t, restarted(t, d), messages.Handover, messages.HandoverCall{Epoch: 2})
			if !h.Estate.Accepted.IsZero() || len(h.Items) > 0 || h.Estate.Promised.Less(at(5)) {
				t.Errorf("handed over amid it: %+v", h.Estate)
			}
			d.paper.waits = nil // what waits is lost
			d = restarted(t, d)
			d.taking = true
			d.inherit(next, got(), true, nil)
		}
		d.settle()
		for name, d := range map[string]*desk{"": d, ", started again": restarted(t, d)} {
			if d.state != Serving || d.roll.Epoch != 2 || d.acc.CatchesUp() || d.acc.Chosen != at(5) || !same(d.acc.Stands, stands) || !same(d.acc.Value, value) {
				t.Errorf("died after %d writes%s: %s in epoch %d, chosen %v, %d items of %d", 4*dies, name, d.state, d.roll.Epoch, d.acc.Chosen, d.acc.Stands.Len(), stands.Len())
			}
		}
	}
}

// A disk from before members kept a base: where what was accepted is not known to be chosen, it is made up for.
func TestDiskWithoutABase(t *testing.T) {
	for chosen, want := range map[uint64]State{3: Serving, 2: Repairing} {
		d := founded(t)
		puts := []storage.Put{putBallot("accepted", at(3)), putBallot("promised", at(3)), putBallot("chosen", at(chosen))}
		for _, i := range sized("r", at(3), 3, 10) {
			puts = append(puts, putItem(i))
		}
		d.write(puts, func(error) {})
		d.settle()
		if again := restarted(t, d); again.state != want || want == Serving && again.acc.Value.Len() != 3 {
			t.Errorf("chosen %d of 3: %s, %d items", chosen, again.state, again.acc.Value.Len())
		}
	}
}

// Amid a taking over or a repair the register changes by that alone: what a member hears to be chosen is not written between.
func TestLearnAmidTakingOver(t *testing.T) {
	for name, amid := range map[string]func(*desk){
		"a taking over": func(d *desk) { d.taking = true },
		"a repair":      func(d *desk) { d.state = Repairing },
		"nothing":       func(*desk) {},
	} {
		d := founded(t)
		told[messages.Accepted](t, d, messages.Accept, messages.AcceptCall{B: at(1), Changes: sized("r", at(1), 3, 10), Epoch: 1})
		amid(d)
		d.call(messages.Learn, messages.LearnCall{B: at(1)})
		if n := len(d.paper.waits); (n > 0) != (name == "nothing") {
			t.Errorf("amid %s: %d writes", name, n)
		}
	}
}
