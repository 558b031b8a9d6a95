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

func ballotOf(n uint64) configuration.Ballot { return configuration.Ballot{N: n} }

// itemsOf returns n items of one ballot, with specs of the given size in bytes.
func itemsOf(name string, b configuration.Ballot, n, bytes int) (items []configuration.Item) {
	for i := range n {
		items = append(items, configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: fmt.Sprintf("%s%05d", name, i)}, Version: configuration.Version(b.N), Ballot: b, Spec: make([]byte, bytes)})
	}
	return items
}

func sameItems(x, y configuration.Set) bool {
	return slices.EqualFunc(slices.Collect(x.All()), slices.Collect(y.All()), func(a, b configuration.Item) bool {
		return a.Key == b.Key && a.Ballot == b.Ballot && a.Version == b.Version
	})
}

// callAndSettle makes a call, completes all pending writes and returns the answer.
func callAndSettle[T any](t *testing.T, voter *testVoter, kind uint8, v any) (answer T) {
	t.Helper()
	r := voter.call(kind, v)
	voter.settle()
	if r.count != 1 || r.err != nil || rpc.Decode(r.body, &answer) != nil {
		t.Fatalf("kind %d: %d answers, %v", kind, r.count, r.err)
	}
	return answer
}

// restarted returns a voter that was started on the disk of another.
func restarted(t *testing.T, voter *testVoter) *testVoter {
	again := newTestVoter(t, Options{})
	again.fake, again.condition = voter.fake, storage.Intact
	again.openDisk()
	again.settle()
	return again
}

// A member that missed many changes receives them in pages from two senders, with a failed write and a restart after each page.
// It holds and reports no chosen value before the last page, and does not report the accepted value that it has discarded.
func TestPages(t *testing.T) {
	voter := newServingVoter(t)
	old, fork := itemsOf("r", ballotOf(1), 3, 10), itemsOf("fork", ballotOf(2), 2, 10)
	callAndSettle[messages.AcceptReply](t, voter, messages.Accept, messages.AcceptCall{B: ballotOf(1), Changes: old, Epoch: 1})
	callAndSettle[messages.AcceptReply](t, voter, messages.Learn, messages.LearnCall{B: ballotOf(1)})
	callAndSettle[messages.AcceptReply](t, voter, messages.Accept, messages.AcceptCall{B: ballotOf(2), Base: ballotOf(1), Changes: fork, Epoch: 1})
	seven := configuration.SetOf(old...).With(itemsOf("r", ballotOf(5), 2, 10)...).With(itemsOf("s", ballotOf(7), 700, 1000)...)
	nine := seven.With(itemsOf("s", ballotOf(9), 1, 20)...).With(itemsOf("t", ballotOf(9), 1, 20)...)
	turn := func(p consensus.Page) bool {
		t.Helper()
		return callAndSettle[messages.AcceptReply](t, voter, messages.SendPage, messages.SendPageCall{Page: p, Epoch: 1}).OK
	}
	first := consensus.NewPage(nine, ballotOf(9), ballotOf(1))
	if first.UpTo != ballotOf(5) || turn(consensus.NewPage(nine, ballotOf(9), ballotOf(5))) {
		t.Fatalf("the first page ends at %v, or a page that does not continue it was taken", first.UpTo)
	}
	r := voter.call(messages.SendPage, messages.SendPageCall{Page: first, Epoch: 1})
	voter.fake.sync(storage.ErrDisk)
	if voter.settle(); errcode.Of(r.err) != errcode.DiskUnavailable || voter.acceptor.Accepted != ballotOf(2) || voter.acceptor.CatchingUp() {
		t.Fatalf("a page that was not written: %v, accepted %v", r.err, voter.acceptor.Accepted)
	}
	for i, p := range []consensus.Page{first, consensus.NewPage(seven, ballotOf(7), ballotOf(5)), consensus.NewPage(nine, ballotOf(9), ballotOf(7))} {
		if !turn(p) || turn(p) {
			t.Fatalf("page %d: not taken, or twice", i)
		}
		voter = restarted(t, voter)
		w := callAndSettle[messages.WatchReply](t, voter, messages.Watch, messages.WatchCall{})
		m := voter.recoveryReply(messages.RecoverCall{})
		state := voter.reportedState()
		if i == 2 {
			if w.Chosen != ballotOf(9) || w.KnownChosen != ballotOf(9) || voter.acceptor.Accepted != ballotOf(9) || !sameItems(voter.acceptor.Base, nine) || !sameItems(voter.acceptor.Value, nine) || state != "serving" {
				t.Errorf("after the last page: %s, chosen %v of %v, %d items", state, w.Chosen, w.KnownChosen, voter.acceptor.Base.Len())
			}
			break
		}
		p := callAndSettle[consensus.Promise](t, voter, messages.Prepare, messages.PrepareCall{B: ballotOf(20 + uint64(i)), Epoch: 1})
		if w.KnownChosen != ballotOf(9) || w.Chosen != p.Chosen || len(w.Items) > 0 || !p.Granted || !p.Accepted.IsZero() || len(p.Items) > 0 || p.KnownChosen != ballotOf(9) || state != "catching up" {
			t.Errorf("after page %d: %s, chosen %v of %v, %d items, promise %+v", i, state, w.Chosen, w.KnownChosen, len(w.Items), p)
		}
		if !m.Accepted.IsZero() || !m.Chosen.IsZero() || len(m.Items)+len(m.Delta) > 0 {
			t.Errorf("after page %d, to a member that lost its disk: %+v", i, m)
		}
	}
}

// A member that catches up also accepts proposals, if it lacks little. It is complete once such a proposal is chosen.
func TestAcceptWhileCatchingUp(t *testing.T) {
	voter := newServingVoter(t)
	nine := configuration.SetOf(itemsOf("r", ballotOf(5), 300, 1000)...).With(itemsOf("s", ballotOf(9), 3, 10)...)
	next := nine.With(itemsOf("r", ballotOf(11), 1, 10)...)
	if !callAndSettle[messages.AcceptReply](t, voter, messages.SendPage, messages.SendPageCall{Page: consensus.NewPage(nine, ballotOf(9), ballotOf(0)), Epoch: 1}).OK || !voter.acceptor.CatchingUp() {
		t.Fatalf("complete up to %v of %v", voter.acceptor.Chosen, voter.acceptor.Target)
	}
	for base, want := range map[uint64]bool{9: false, 5: true} {
		a := callAndSettle[messages.AcceptReply](t, voter, messages.Accept, messages.AcceptCall{B: ballotOf(11), Base: ballotOf(base), Changes: consensus.ChangedSince(next, ballotOf(base)), Epoch: 1})
		if a.OK != want {
			t.Errorf("changes after ballot %d taken: %v", base, a.OK)
		}
	}
	voter = restarted(t, voter)
	if voter.acceptor.Accepted != ballotOf(11) || !sameItems(voter.acceptor.Value, next) {
		t.Errorf("accepted %v, %d items", voter.acceptor.Accepted, voter.acceptor.Value.Len())
	}
	callAndSettle[messages.AcceptReply](t, voter, messages.Learn, messages.LearnCall{B: ballotOf(11)})
	for _, voter := range []*testVoter{voter, restarted(t, voter)} {
		if voter.acceptor.CatchingUp() || voter.acceptor.Chosen != ballotOf(11) || !sameItems(voter.acceptor.Base, next) {
			t.Errorf("chosen %v, %d items", voter.acceptor.Chosen, voter.acceptor.Base.Len())
		}
	}
}

// A voter of both sets that lacks more than fits into one write still takes over, also when it restarts in between. Until it is
// done, the register that it hands over is empty.
func TestTakeoverOfLargeState(t *testing.T) {
	stands := configuration.SetOf(itemsOf("r", ballotOf(5), 3000, 1000)...)
	value := stands.With(itemsOf("s", ballotOf(6), 4, 10)...)
	next := messages.VoterSet{Epoch: 2, Voters: voters, Previous: voters}
	got := func() []handedState {
		e := reconfig.Handover{Promised: ballotOf(6), Accepted: ballotOf(6), Chosen: ballotOf(5)}
		return []handedState{{last: messages.HandoverReply{Handover: e, Delta: consensus.ChangedSince(value, ballotOf(5))}, base: stands}}
	}
	for restartAt := range 4 {
		voter := newServingVoter(t)
		callAndSettle[messages.AcceptReply](t, voter, messages.Accept, messages.AcceptCall{B: ballotOf(1), Changes: itemsOf("r", ballotOf(1), 3, 10), Epoch: 1})
		callAndSettle[messages.AcceptReply](t, voter, messages.Learn, messages.LearnCall{B: ballotOf(1)})
		voter.seal.Closed, voter.sealDurable, voter.takingOver = true, true, true
		voter.write([]storage.Put{voter.putSeal()}, func(error) {})
		voter.settle()
		voter.installHandover(next, got(), true, nil)
		for range 4 * restartAt {
			voter.runQueue()
			if len(voter.fake.pending) > 0 {
				voter.fake.sync(nil)
			}
		}
		if restartAt > 0 {
			voter.runQueue()
			h := callAndSettle[messages.HandoverReply](t, restarted(t, voter), messages.Handover, messages.HandoverCall{Epoch: 2})
			if !h.Handover.Accepted.IsZero() || len(h.Items) > 0 || h.Handover.Promised.Less(ballotOf(5)) {
				t.Errorf("handed over during the takeover: %+v", h.Handover)
			}
			voter.fake.pending = nil // pending writes are lost
			voter = restarted(t, voter)
			voter.takingOver = true
			voter.installHandover(next, got(), true, nil)
		}
		voter.settle()
		for name, voter := range map[string]*testVoter{"": voter, ", restarted": restarted(t, voter)} {
			if voter.state != Serving || voter.voterSet.Epoch != 2 || voter.acceptor.CatchingUp() || voter.acceptor.Chosen != ballotOf(5) || !sameItems(voter.acceptor.Base, stands) || !sameItems(voter.acceptor.Value, value) {
				t.Errorf("restarted after %d writes%s: %s in epoch %d, chosen %v, %d items of %d", 4*restartAt, name, voter.state, voter.voterSet.Epoch, voter.acceptor.Chosen, voter.acceptor.Base.Len(), stands.Len())
			}
		}
	}
}

// On a disk of the old layout, without a base, a member has to repair itself if its accepted value is not known to be chosen.
func TestDiskWithoutABase(t *testing.T) {
	for chosen, want := range map[uint64]State{3: Serving, 2: Repairing} {
		voter := newServingVoter(t)
		puts := []storage.Put{putBallot("accepted", ballotOf(3)), putBallot("promised", ballotOf(3)), putBallot("chosen", ballotOf(chosen))}
		for _, i := range itemsOf("r", ballotOf(3), 3, 10) {
			puts = append(puts, putItem(i))
		}
		voter.write(puts, func(error) {})
		voter.settle()
		if again := restarted(t, voter); again.state != want || want == Serving && again.acceptor.Value.Len() != 3 {
			t.Errorf("chosen %d of 3: %s, %d items", chosen, again.state, again.acceptor.Value.Len())
		}
	}
}

// During a takeover or a repair nothing else changes the register: a reported choice is not written.
func TestLearnDuringTakeover(t *testing.T) {
	for name, begin := range map[string]func(*testVoter){
		"a takeover": func(voter *testVoter) { voter.takingOver = true },
		"a repair":   func(voter *testVoter) { voter.state = Repairing },
		"nothing":    func(*testVoter) {},
	} {
		voter := newServingVoter(t)
		callAndSettle[messages.AcceptReply](t, voter, messages.Accept, messages.AcceptCall{B: ballotOf(1), Changes: itemsOf("r", ballotOf(1), 3, 10), Epoch: 1})
		begin(voter)
		voter.call(messages.Learn, messages.LearnCall{B: ballotOf(1)})
		if n := len(voter.fake.pending); (n > 0) != (name == "nothing") {
			t.Errorf("during %s: %d writes", name, n)
		}
	}
}
