package registry

import (
	"context"
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

// TestMajorityContact checks that majority contact counts only voters that answered recently, in this epoch and unsealed, and that
// know of no value unknown here, whenever their answers are read.
func TestMajorityContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Minute)
		for name, c := range map[string]struct {
			ago    time.Duration
			change func(*messages.WatchReply)
			most   uint32
		}{
			"a majority answered":           {0, func(*messages.WatchReply) {}, 0},
			"an answer is read late":        {20 * time.Second, func(*messages.WatchReply) {}, 20_000},
			"one is sealed":                 {0, func(w *messages.WatchReply) { w.Sealed = true }, messages.Never},
			"one is of another epoch":       {0, func(w *messages.WatchReply) { w.VoterSet.Epoch = 1 }, messages.Never},
			"one may know of a newer value": {0, func(w *messages.WatchReply) { w.Accepted.N = 9 }, messages.Never},
			"one recovers its disk":         {0, func(w *messages.WatchReply) { w.State = "repairing" }, messages.Never},
			"one has another index":         {0, func(w *messages.WatchReply) { w.Origin.Voter = 0 }, messages.Never},
			"one has not learned the chosen value": {0, func(w *messages.WatchReply) {
				w.Chosen, w.Accepted, w.KnownChosen, w.UpTo = configuration.Ballot{}, configuration.Ballot{}, configuration.Ballot{}, configuration.Ballot{}
			}, 0},
			"one catches up with a newer value": {0, func(w *messages.WatchReply) { w.KnownChosen.N = 9 }, messages.Never},
		} {
			reg, st := newTestRegistry(t)
			voterSet := messages.VoterSet{Epoch: 2, Voters: make([]messages.Voter, 3)}
			reg.quorum.Update(voterSet)
			st.leases = map[lease.Name]*lease.Lease{}
			st.servingAt, st.currentAt, st.pendingSince, st.behindCount, st.sealedSince = make([]time.Time, 3), make([]time.Time, 3), make([]time.Time, 3), make([]int, 3), make([]time.Time, 3)
			st.marks, st.completeUpTo, st.sendingPages, st.answeredAt = make([]messages.Mark, 3), make([]configuration.Ballot, 3), make([]bool, 3), make([]time.Time, 3)
			for i := range 2 {
				w := messages.WatchReply{State: "serving", Origin: consensus.Origin{Voter: i}, VoterSet: voterSet, Chosen: configuration.Ballot{N: 3}, Accepted: configuration.Ballot{N: 3},
					KnownChosen: configuration.Ballot{N: 3}, UpTo: configuration.Ballot{N: 3}}
				ago := c.ago
				if i == 1 {
					c.change(&w)
				} else {
					ago = 0
				}
				st.handleWatchReply(i, w, time.Now().Add(-ago))
			}
			if got := st.majorityContactMs(); got != c.most {
				t.Errorf("%s: %d ms, want %d", name, got, c.most)
			}
			reg.quorum.Close()
		}
	})
}

// TestSuspensionMakesNoVoterLost checks that a registry that was suspended, or heard no majority, doesn't treat a voter as lost
// for its silence in that time.
func TestSuspensionMakesNoVoterLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reg, st := newTestRegistry(t)
		reg.options.LostAfter = 10 * time.Second
		st.started, st.observedSince = time.Now(), time.Now()
		held := &lease.Lease{Voters: 1}
		st.leases = map[lease.Name]*lease.Lease{lease.VoterChange: held}
		n := func() []time.Time { return []time.Time{time.Now(), time.Now(), time.Now()} }
		st.servingAt, st.currentAt, st.answeredAt = n(), n(), n()
		lost := func() bool {
			held.BeginRenewal(time.Since(st.started))
			held.RecordGrant(held.RequestedAt(), 0)
			st.maintainVoters(time.Now())
			return !st.lastReplacement.IsZero()
		}
		time.Sleep(time.Minute) // suspended; then two of three answer first
		st.maintainVoters(time.Now())
		for i := range 2 {
			st.servingAt[i], st.currentAt[i], st.answeredAt[i] = time.Now(), time.Now(), time.Now()
		}
		if lost() {
			t.Error("a voter is lost after a suspension")
		}
		close(reg.closed) // no change is started
		for range 11 {
			time.Sleep(time.Second)
			for i := range 2 {
				st.servingAt[i], st.currentAt[i], st.answeredAt[i] = time.Now(), time.Now(), time.Now()
			}
			lost()
		}
		if !lost() {
			t.Error("a silent voter is not lost while a majority answers")
		}
	})
}

// TestAnswersAfterSuspensionMakeNoVoterLost does the same with two answers processed before the check, while the third is on its
// way.
func TestAnswersAfterSuspensionMakeNoVoterLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reg, st := newTestRegistry(t)
		defer reg.quorum.Close()
		reg.options.LostAfter = 2 * time.Second
		voterSet := messages.VoterSet{Epoch: 2, Voters: make([]messages.Voter, 3)}
		reg.quorum.Update(voterSet)
		st.resetVoterTables(voterSet)
		for _, sleep := range []time.Duration{0, 500 * time.Millisecond, 500 * time.Millisecond, time.Minute} {
			time.Sleep(sleep)
			for i := range 3 {
				if i < 2 || sleep < time.Minute {
					st.handleWatchReply(i, messages.WatchReply{State: "serving", Origin: consensus.Origin{Voter: i}, VoterSet: voterSet}, time.Now())
				}
			}
		}
		if st.maintainVoters(time.Now()) || !st.observedSince.Equal(time.Now()) {
			t.Error("a voter counts as silent for the time of a suspension")
		}
	})
}

// TestAbandonedCallIsNotApplied checks that a call has no effect if its caller goes while its round runs, or if the answers are
// read long after.
func TestAbandonedCallIsNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := network.New(1)
		p := s.Machine("10.0.0.1", "north").Start()
		var voters []messages.Voter
		var all []*testVoter
		var reg *Registry
		sleeps := false
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i, ip := range []string{"10.0.0.2", "10.0.0.3", "10.0.0.4"} {
			v := &testVoter{acceptor: consensus.NewAcceptor(), index: i}
			l, err := s.Machine(ip, "north").Start().Listen(ip+":80", 0)
			if err != nil {
				t.Fatal(err)
			}
			server := rpc.Serve(l, func(c rpc.Call) {
				if c.Kind == messages.Prepare {
					cancel()
					if sleeps {
						reg.owner.Send(func(*state) { time.Sleep(20 * time.Second) })
					}
				}
				v.handle(c)
			})
			defer server.Close()
			voters, all = append(voters, messages.Voter{Addr: ip + ":80"}), append(all, v)
		}
		var st *state
		reg, st = newTestRegistry(t)
		reg.quorum = quorum.New(p)
		defer reg.quorum.Close()
		reg.quorum.Update(messages.VoterSet{Epoch: 1, Voters: voters})
		reg.owner = rpc.StartOwner(st, 16)
		defer reg.owner.Stop()
		items := []configuration.Item{{Key: configuration.Key{Kind: configuration.Services, Name: "s"}, Version: 1, Spec: []byte("{}")}}
		begun := time.Now()
		if k := errcode.Of(reg.propose(ctx, consensus.Request{Items: items})); k != errcode.NoQuorum {
			t.Error("call whose caller has gone:", k)
		}
		if took := time.Since(begun); took > 10*time.Millisecond {
			t.Error("it held the round slot for", took)
		}
		if err := reg.runRound(t.Context(), consensus.Request{Items: items}, time.Now().Add(-20*time.Second)); errcode.Of(err) != errcode.NoQuorum {
			t.Error("call from before a suspension:", err)
		}
		sleeps = true
		if k := errcode.Of(reg.propose(t.Context(), consensus.Request{})); k != errcode.NoQuorum {
			t.Error("read with answers from before a suspension:", k)
		}
		for _, v := range all {
			if v.acceptor.Value.Len() > 0 {
				t.Error("the call took effect")
			}
		}
	})
}

// TestPartitionedRegistryAnswersAtOnce checks that a registry that has not heard a majority for long fails a call at once, so that
// the caller tries another one: a round would hold it for most of a second. A registry that has never heard a majority, or has
// recently, runs its round.
func TestPartitionedRegistryAnswersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Minute)
		p := network.New(1).Machine("10.0.0.1", "north").Start()
		reg, st := newTestRegistry(t)
		reg.quorum = quorum.New(p)
		reg.quorum.Update(messages.VoterSet{Epoch: 1, Voters: []messages.Voter{{Addr: "10.0.0.2:80"}, {Addr: "10.0.0.3:80"}, {Addr: "10.0.0.4:80"}}})
		reg.owner = rpc.StartOwner(st, 16)
		for _, c := range []struct {
			name   string
			silent time.Duration // of two voters; the third was heard just now
			held   bool
		}{{"never heard", -1, true}, {"heard recently", maxContactAgeMs * time.Millisecond, true}, {"partitioned", (maxContactAgeMs + 1) * time.Millisecond, false}} {
			reg.owner.Do(func(st *state) {
				st.servingAt = make([]time.Time, 3)
				if c.silent >= 0 {
					now := time.Now()
					st.servingAt = []time.Time{now, now.Add(-c.silent), now.Add(-c.silent)}
				}
			})
			begun := time.Now()
			if k := errcode.Of(reg.propose(t.Context(), consensus.Request{})); k != errcode.NoQuorum {
				t.Errorf("%s: %v", c.name, k)
			}
			if took := time.Since(begun); (took > 0) != c.held {
				t.Errorf("%s: after %v", c.name, took)
			}
		}
		reg.quorum.Close()
		reg.owner.Stop()
		p.End()
	})
}

// TestLeaseForZoneSpreadIsAcquiredSoon checks that a registry without the lease that sees too many voters in one zone checks again
// soon: by then it, or another registry, holds the lease.
func TestLeaseForZoneSpreadIsAcquiredSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reg, st := newTestRegistry(t)
		defer reg.quorum.Close()
		reg.options.LostAfter, reg.options.Tolerance.Zones = 2*time.Second, 1
		voterSet := messages.VoterSet{Epoch: 2}
		for i, zone := range []string{"east", "east", "west"} {
			name := string(rune('a' + i))
			voterSet.Voters = append(voterSet.Voters, messages.Voter{Name: name, Addr: name + ":1", Zone: zone})
		}
		reg.quorum.Update(voterSet)
		close(reg.closed) // no change is started
		time.Sleep(time.Minute)
		now := time.Now()
		st.started, st.observedSince, st.voterEpoch = now.Add(-time.Minute), now.Add(-time.Minute), 2
		st.servingAt, st.answeredAt = []time.Time{now, now, now}, []time.Time{now, now, now}
		held := &lease.Lease{Voters: 3}
		st.leases = map[lease.Name]*lease.Lease{lease.VoterChange: held}
		held.BeginRenewal(time.Since(st.started)) // asked just now, and nobody has answered
		if st.maintainVoters(now) {
			t.Error("another check soon, though no store can become a voter")
		}
		st.registries["d"] = messages.Registry{Name: "d", Addr: "d:1", Zone: "south"}
		if !st.maintainVoters(now) {
			t.Error("no other check soon")
		}
	})
}
