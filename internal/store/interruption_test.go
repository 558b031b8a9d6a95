package store

import (
	"fmt"
	"testing"

	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/messages"
	"saltmast/internal/reconfig"
	"saltmast/internal/storage"
)

// largeState returns items and claims that are written to disk in several parts.
func largeState() (items []configuration.Item, claims []messages.ClaimCall) {
	for i := range 2500 {
		claims = append(claims, messages.ClaimCall{Key: fmt.Sprint("key ", i), ID: id(uint64(i + 1))})
	}
	for i := range 300 {
		k := configuration.Key{Kind: configuration.Routes, Name: fmt.Sprint("r-", i)}
		items = append(items, configuration.Item{Key: k, Version: 2, Spec: []byte("{}"), Ballot: configuration.Ballot{N: 9}})
	}
	return items, claims
}

// failAfter lets n syncs succeed. Then the next sync fails, or the voter restarts on what is on disk. done reports that there
// were no more syncs to interrupt.
func (voter *testVoter) failAfter(t *testing.T, n int, fails bool) (again *testVoter, done bool) {
	for range n {
		voter.runQueue()
		if len(voter.fake.pending) == 0 {
			return nil, true
		}
		voter.fake.sync(nil)
	}
	voter.runQueue()
	if len(voter.fake.pending) == 0 {
		return nil, true
	}
	if fails {
		voter.fake.sync(storage.ErrDisk)
		for len(voter.queue) > 0 {
			voter.runQueue()
		}
		return voter, false
	}
	again = newTestVoter(t, Options{})
	again.condition, again.fake = storage.Intact, voter.fake
	again.fake.pending = nil
	again.openDisk()
	again.recovering = true // no test here needs a repair to run
	return again, false
}

// A repair is interrupted at any of its parts, by a restart or a failed sync. The member does not vote until everything it
// received is on disk, and the next repair restores it completely.
func TestRepairInterruptedAtEachSync(t *testing.T) {
	items, claims := largeState()
	m := recoveredState{last: messages.RecoverReply{Origin: consensus.Origin{Voter: 1, Incarnations: []uint64{2, 1, 1}}, Accepted: configuration.Ballot{N: 9},
		Chosen: configuration.Ballot{N: 9}}, claims: claims, base: configuration.SetOf(items...)}
	for _, fails := range []bool{false, true} {
		n, done := 0, false
		for ; !done; n++ {
			voter := newTestVoter(t, Options{})
			voter.openDisk()
			voter.voterSet = messages.VoterSet{Epoch: 1, Voters: voters}
			voter.locate()
			voter.fake.rows[tableMeta] = map[string][]byte{"roll": voter.putVoterSet().Value, "incs": voter.putIncarnations().Value}
			voter.setState(Repairing)
			voter.restore(2, []recoveredState{m}, nil)
			var again *testVoter
			if again, done = voter.failAfter(t, n, fails); done {
				if voter.state != Serving {
					t.Errorf("%s after %d syncs", voter.state, n)
				}
				break
			}
			if again.state != Repairing {
				t.Errorf("%s after %d syncs, %d claims and %d items", again.state, n, again.claims.Len(), again.acceptor.Value.Len())
			}
			again.recovering = false
			again.restore(3, []recoveredState{m}, again.staleRows(t))
			again.settle()
			if again.state != Serving || again.incarnations[0] != 3 || len(again.fake.rows[tableClaims]) != len(claims) || len(again.fake.rows[tableItems]) != len(items) {
				t.Errorf("%s after %d syncs and another repair, incarnations %v", again.state, n, again.incarnations)
			}
		}
		if n < 3 {
			t.Errorf("%d syncs only", n)
		}
	}
}

// A takeover is interrupted at any of its parts, by a restart or a failed sync. A new voter is no voter as before, and a voter of
// both sets still has its own state complete for others that need it.
func TestTakeoverInterruptedAtEachSync(t *testing.T) {
	items, claims := largeState()
	next := messages.VoterSet{Epoch: 2, Voters: voters, Previous: voters}
	h := handedState{base: configuration.SetOf(items...), claims: claims, last: messages.HandoverReply{Handover: reconfig.Handover{Origin: consensus.Origin{Voter: 1, Incarnations: []uint64{1, 1, 1}},
		Promised: configuration.Ballot{N: 9}, Accepted: configuration.Ballot{N: 9}, Chosen: configuration.Ballot{N: 9}}}}
	older := items[0]
	older.Version, older.Ballot.N = 1, 3
	for _, kept := range []bool{false, true} {
		for _, fails := range []bool{false, true} {
			n, done := 0, false
			for ; !done; n++ {
				voter := newTestVoter(t, Options{Bootstrap: kept, InitialVoters: voters})
				voter.condition = storage.Empty
				voter.openDisk()
				voter.settle()
				state, ownClaims := NonVoter, 0
				if kept {
					state, ownClaims = Serving, 1
					voter.write([]storage.Put{putClaim("own", id(99)), putItem(older), putBallot("accepted", older.Ballot), putBallot("chosen", older.Ballot)}, func(error) {})
					voter.seal.Closed, voter.sealDurable = true, true
					voter.write([]storage.Put{voter.putSeal()}, func(error) {})
					voter.settle()
					voter.claims.Claim(0, "own", id(99))
				} else {
					voter.voterSet = messages.VoterSet{Epoch: 1, Voters: []messages.Voter{{Addr: "x:1"}, {Addr: "b:1"}, {Addr: "c:1"}}}
					voter.locate()
					voter.fake.rows[tableMeta] = map[string][]byte{"roll": voter.putVoterSet().Value, "incs": voter.putIncarnations().Value}
					voter.setState(NonVoter)
				}
				voter.takingOver = true
				voter.installHandover(next, []handedState{h, h}, kept, nil)
				var again *testVoter
				if again, done = voter.failAfter(t, n, fails); done {
					if voter.state != Serving || voter.voterSet.Epoch != 2 || !voter.valueInherited() {
						t.Errorf("kept %v: %s in epoch %d after %d syncs", kept, voter.state, voter.voterSet.Epoch, n)
					}
					break
				}
				if again.state != state || again.voterSet.Epoch != 1 || again.takingOver {
					t.Errorf("kept %v: %s in epoch %d after %d syncs", kept, again.state, again.voterSet.Epoch, n)
				}
				if rows := again.fake.rows; kept && (!again.sealDurable || len(rows[tableItems]) != 1 || rows[tableClaims]["own"] == nil || again.requireVoting(1) == nil) {
					t.Errorf("%d items on disk, sealed %v, after %d syncs", len(rows[tableItems]), again.sealDurable, n)
				}
				again.takingOver = true
				left := again.staleRows(t)
				if kept {
					left = nil
				}
				again.installHandover(next, []handedState{h, h}, kept, left)
				again.settle()
				if rows := again.fake.rows; again.state != Serving || again.voterSet.Epoch != 2 || len(rows[tableItems]) != len(items) || len(rows[tableClaims]) != len(claims)+ownClaims {
					t.Errorf("kept %v: %s in epoch %d after %d syncs and another try, %d items, %d claims", kept, again.state, again.voterSet.Epoch, n, len(rows[tableItems]), len(rows[tableClaims]))
				}
			}
			if n < 3 {
				t.Errorf("kept %v: %d syncs only", kept, n)
			}
		}
	}
}
