package registry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/errcode"
	"saltmast/internal/lease"
	"saltmast/internal/messages"
	"saltmast/internal/quorum"
	"saltmast/internal/rpc"
	"saltmast/internal/simulation/network"
)

// TestFarBehindVoterIsSentPages checks that a voter that lacks more than one message may hold takes no part until it has been
// sent pages, which a round that needs it, with another voter lost, starts at once. No message is larger than a page or a
// delta, and a proposer without a complete value says so rather than continue from a part.
func TestFarBehindVoterIsSentPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := network.New(1)
		p := s.Machine("10.0.0.1", "north").Start()
		service := configuration.Item{Key: configuration.Key{Kind: configuration.Services, Name: "s"}, Version: 1, Ballot: configuration.Ballot{N: 1, Proposer: 9}, Spec: []byte("{}")}
		value := configuration.SetOf(service)
		last := configuration.Ballot{N: 3001, Proposer: 9}
		for n := range uint64(3000) {
			spec := fmt.Sprintf(`{"host":"h","path-prefix":"/%d/%s/","route-kind":"idempotent","deadline-s":1,"target-s":1,"service":"s","max-attempts":1}`, n, strings.Repeat("x", 900))
			value = value.With(configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: fmt.Sprint("r", n)}, Version: 1,
				Ballot: configuration.Ballot{N: n + 2, Proposer: 9}, Spec: []byte(spec)})
		}
		reg, voters, end := newRegistryWithVoters(t, p, func(v *testVoter) {
			if v.index < 2 {
				v.acceptor.Accept(last, slices.Collect(value.All()))
				v.acceptor.Learn(last)
			}
		})
		reg.owner.Do(func(st *state) { st.observeBallot(last) })
		change := func(version configuration.Version) error {
			i := service
			i.Version, i.Ballot = version, configuration.Ballot{}
			return reg.propose(t.Context(), consensus.Request{Items: []configuration.Item{i}})
		}
		if err := change(2); errcode.Of(err) != errcode.NoQuorum || !strings.Contains(err.Error(), "not read yet") {
			t.Errorf("without a value: %v", err)
		}
		reg.owner.Do(func(st *state) {
			st.setChosen(last, value)
			st.completeUpTo[0], st.completeUpTo[1] = last, last // as watchVoter records it
		})
		if err := change(3); err != nil {
			t.Error(err)
		}
		if voters[2].acceptor.Accepted.N > 0 || voters[2].acceptor.Base.Len() > 0 {
			t.Errorf("a voter that is far behind accepted %v", voters[2].acceptor.Accepted)
		}
		voters[1].silent = true // a round waits for it in vain, and sends the other pages
		if err := change(4); err != nil || voters[2].acceptor.Base.Len() != value.Len() {
			t.Errorf("with one lagging voter: %v, it holds %d items of %d", err, voters[2].acceptor.Base.Len(), value.Len())
		}
		for _, v := range voters {
			if v.largestCall > consensus.PageMax*5/4 {
				t.Errorf("voter %d was sent %d bytes at once", v.index, v.largestCall)
			}
		}
		end()
	})
}

// newRegistryWithVoters returns a registry without goroutines of its own, and three voters in memory that setUp has prepared.
func newRegistryWithVoters(t *testing.T, p *network.Process, setUp func(*testVoter)) (reg *Registry, voters []*testVoter, end func()) {
	reg, st := newTestRegistry(t)
	reg.quorum = quorum.New(p)
	st.completeUpTo, st.sendingPages = make([]configuration.Ballot, 3), make([]bool, 3)
	reg.owner = rpc.StartOwner(st, 16)
	voterSet := messages.VoterSet{Epoch: 1}
	var servers []*rpc.Server
	for i := range 3 {
		addr := fmt.Sprintf("10.0.0.1:%d", i+1)
		l, err := p.Listen(addr, 0)
		if err != nil {
			t.Fatal(err)
		}
		v := &testVoter{acceptor: consensus.NewAcceptor(), index: i}
		setUp(v)
		voters, servers = append(voters, v), append(servers, rpc.Serve(l, v.handle))
		voterSet.Voters = append(voterSet.Voters, messages.Voter{Addr: addr})
	}
	reg.quorum.Update(voterSet)
	return reg, voters, func() {
		reg.quorum.Close()
		for _, s := range servers {
			s.Close()
		}
		reg.tasks.Wait()
		reg.owner.Stop()
		p.End()
	}
}

// TestLargeCallAfterLargeLeftover proposes a large call while one voter alone has accepted another large one: the latter is settled
// first, as both together exceed what a voter keeps besides its base.
func TestLargeCallAfterLargeLeftover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := network.New(1)
		p := s.Machine("10.0.0.1", "north").Start()
		service := configuration.Item{Key: configuration.Key{Kind: configuration.Services, Name: "s"}, Version: 1, Ballot: configuration.Ballot{N: 1, Proposer: 9}, Spec: []byte("{}")}
		large := func(name string, b configuration.Ballot) (items []configuration.Item) {
			for n := range 700 {
				spec := fmt.Sprintf(`{"host":"h","path-prefix":"/%s/%d/%s/","route-kind":"idempotent","deadline-s":1,"target-s":1,"service":"s","max-attempts":1}`, name, n, strings.Repeat("x", 900))
				items = append(items, configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: fmt.Sprint(name, n)}, Version: 1, Ballot: b, Spec: []byte(spec)})
			}
			return items
		}
		one, two := service.Ballot, configuration.Ballot{N: 2, Proposer: 9}
		reg, voters, end := newRegistryWithVoters(t, p, func(v *testVoter) {
			v.acceptor.Accept(one, []configuration.Item{service})
			v.acceptor.Learn(one)
			if v.index == 0 {
				v.acceptor.Accept(two, large("left", two))
			}
		})
		reg.owner.Do(func(st *state) {
			st.observeBallot(two)
			st.setChosen(one, configuration.SetOf(service))
			st.completeUpTo[0], st.completeUpTo[1], st.completeUpTo[2] = one, one, one
		})
		voters[2].silent = true
		if err := reg.propose(t.Context(), consensus.Request{Items: large("call", configuration.Ballot{})}); err != nil {
			t.Error(err)
		}
		for _, v := range voters[:2] {
			if v.acceptor.Value.Len() != 1401 || v.largestCall > consensus.DeltaMax {
				t.Errorf("voter %d: %d items, sent %d bytes at once", v.index, v.acceptor.Value.Len(), v.largestCall)
			}
		}
		end()
	})
}

// TestWatchPages checks that a value that a watched voter sends in pages is applied with its last page, and that a page of a newer
// value from a voter that has gone blocks nothing.
func TestWatchPages(t *testing.T) {
	_, st := newTestRegistry(t)
	st.leases = map[lease.Name]*lease.Lease{}
	st.servingAt, st.pendingSince, st.behindCount, st.sealedSince = make([]time.Time, 1), make([]time.Time, 1), make([]int, 1), make([]time.Time, 1)
	st.marks, st.currentAt, st.completeUpTo, st.sendingPages, st.answeredAt = make([]messages.Mark, 1), make([]time.Time, 1), make([]configuration.Ballot, 1), make([]bool, 1), make([]time.Time, 1)
	item := func(name string, n uint64) configuration.Item {
		return configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: name}, Version: 1, Ballot: configuration.Ballot{N: n}, Spec: make([]byte, consensus.PageMax/2)}
	}
	five := configuration.SetOf(item("a", 1), item("b", 2), item("c", 3), item("d", 5))
	six := five.With(item("a", 6))
	receive := func(s configuration.Set, ballot uint64, catchingUp bool) {
		p := consensus.NewPage(s, configuration.Ballot{N: ballot}, st.pages.CompleteUpTo(st.chosenBallot))
		w := messages.WatchReply{State: "serving", Accepted: p.Target, Chosen: p.Target, KnownChosen: p.Target, From: p.From, UpTo: p.UpTo, Items: p.Items}
		if catchingUp {
			w.KnownChosen.N++
		}
		st.handleWatchReply(0, w, time.Now())
	}
	if receive(five, 5, true); !st.pages.CompleteUpTo(st.chosenBallot).IsZero() {
		t.Error("a page of a voter that is catching up was taken")
	}
	receive(six, 6, false)
	if !st.chosenBallot.IsZero() || st.pages.CompleteUpTo(st.chosenBallot).N != 2 {
		t.Fatalf("after the first page: chosen %v, complete up to %v", st.chosenBallot, st.pages.CompleteUpTo(st.chosenBallot))
	}
	for range 8 {
		if receive(five, 5, false); st.chosenBallot.N > 0 {
			break
		}
	}
	if st.chosenBallot.N != 5 || st.chosenSet.Len() != 4 {
		t.Errorf("chosen %v, %d items", st.chosenBallot, st.chosenSet.Len())
	}
	if receive(six, 6, false); st.chosenBallot.N != 6 || st.pages.CompleteUpTo(st.chosenBallot).N != 6 {
		t.Errorf("chosen %v", st.chosenBallot)
	}
	seven := configuration.Ballot{N: 7} // from a store that doesn't use pages
	st.handleWatchReply(0, messages.WatchReply{State: "serving", Accepted: seven, Chosen: seven, Items: []configuration.Item{item("b", 7)}}, time.Now())
	if x, _ := st.chosenSet.Get(item("b", 7).Key); st.chosenBallot != seven || x.Ballot != seven || st.chosenSet.Len() != 4 {
		t.Errorf("all items at once: chosen %v, %d items", st.chosenBallot, st.chosenSet.Len())
	}
}
