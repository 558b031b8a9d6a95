package store

import (
	"testing"

	"saltmast/internal/configuration"
	"saltmast/internal/errcode"
	"saltmast/internal/idempotency"
	"saltmast/internal/lease"
	"saltmast/internal/messages"
	"saltmast/internal/reconfig"
	"saltmast/internal/rpc"
	"saltmast/internal/storage"
)

// A voter that accepted a successor of its voter set grants nothing from then on. It answers and hands over its state only once
// that is on disk, and keeps refusing after a restart. Only the lease for changing the voter set can still be had from it.
func TestVoterAfterItsEpoch(t *testing.T) {
	voter := newTestVoter(t, Options{Bootstrap: true, InitialVoters: voters})
	voter.condition = storage.Empty
	voter.leases = lease.NewGranter(-lease.Span)
	voter.openDisk()
	voter.settle()
	claim := func(voter *testVoter, key string) errcode.Kind {
		r := voter.call(messages.Claim, messages.ClaimCall{Key: key, ID: idempotency.ID{Incarnation: 1, N: 1}, Epoch: 1})
		voter.settle()
		return errcode.Of(r.err)
	}
	if k := claim(voter, "before"); k != errcode.OK {
		t.Fatal(k)
	}
	next := messages.VoterSet{Epoch: 2, Voters: voters, Previous: voters}
	accept := voter.call(messages.ProposeVoters, messages.ProposeVotersCall{Epoch: 1, B: configuration.Ballot{N: 1, Proposer: 1}, Next: &next})
	hand := func(voter *testVoter) (h messages.HandoverReply, k errcode.Kind) {
		r := voter.call(messages.Handover, messages.HandoverCall{Epoch: 2})
		if r.err == nil {
			if err := rpc.Decode(r.body, &h); err != nil {
				t.Fatal(err)
			}
		}
		return h, errcode.Of(r.err)
	}
	if _, k := hand(voter); accept.count != 0 || k != errcode.NotFound {
		t.Errorf("%d answers, handed over %v, before the seal is on disk", accept.count, k)
	}
	if r := voter.call(messages.Claim, messages.ClaimCall{Key: "amid", ID: idempotency.ID{Incarnation: 1, N: 1}, Epoch: 1}); errcode.Of(r.err) != errcode.NotFound {
		t.Errorf("a claim while the seal is being written: %v", r.err)
	}
	voter.settle()
	var a reconfig.Answer
	if accept.count != 1 || rpc.Decode(accept.body, &a) != nil || !a.Granted {
		t.Fatalf("%d answers, %+v", accept.count, a)
	}
	again := newTestVoter(t, Options{})
	again.condition, again.fake = storage.Intact, voter.fake
	again.leases = lease.NewGranter(-lease.Span)
	again.openDisk()
	again.settle()
	for name, voter := range map[string]*testVoter{"sealed": voter, "sealed and restarted": again} {
		if k := claim(voter, "after"); k != errcode.NotFound {
			t.Errorf("%s: a claim: %v", name, k)
		}
		if r := voter.call(messages.Prepare, messages.PrepareCall{B: configuration.Ballot{N: 9}, Epoch: 1}); errcode.Of(r.err) != errcode.NotFound {
			t.Errorf("%s: a promise: %v", name, r.err)
		}
		for of, want := range map[lease.Name]errcode.Kind{lease.CatchUp: errcode.NotFound, lease.VoterChange: errcode.OK} {
			if r := voter.call(messages.Lease, messages.LeaseCall{Name: of, Holder: 7, Epoch: 1}); errcode.Of(r.err) != want {
				t.Errorf("%s: the lease %s: %v", name, of, r.err)
			}
		}
		if h, k := hand(voter); k != errcode.OK || h.Handover.Active || len(h.Claims) != 1 {
			t.Errorf("%s: handed over %v, %+v", name, k, h)
		}
	}
}

// A voter that missed the change and was replaced keeps its state for the voters that take over, once that is on disk. A voter
// of the new set that is not on the disk that the set names repairs it like a lost one.
func TestVoterThatMissedTheChange(t *testing.T) {
	for _, c := range []struct {
		name string
		next []messages.Voter
		want State
	}{
		{"replaced", []messages.Voter{{Addr: "d:1"}, {Addr: "b:1"}, {Addr: "c:1"}}, NonVoter},
		{"on another disk", []messages.Voter{{Addr: "a:1", Disk: 5}, {Addr: "b:1"}, {Addr: "d:1"}}, Repairing},
	} {
		voter := newTestVoter(t, Options{Bootstrap: true, InitialVoters: voters})
		voter.condition, voter.leases = storage.Empty, lease.NewGranter(0)
		voter.openDisk()
		voter.settle()
		voter.recovering = true // no test here needs a repair to run
		voter.call(messages.AdoptVoters, messages.AdoptVotersCall{VoterSet: messages.VoterSet{Epoch: 2, Voters: c.next, Previous: voters}})
		if r := voter.call(messages.Handover, messages.HandoverCall{Epoch: 2}); errcode.Of(r.err) != errcode.NotFound {
			t.Errorf("%s: handed over before it is on disk: %v", c.name, r.err)
		}
		voter.settle()
		if r := voter.call(messages.Handover, messages.HandoverCall{Epoch: 2}); voter.state != c.want || r.err != nil {
			t.Errorf("%s: %s, handed over: %v", c.name, voter.state, r.err)
		}
		if r := voter.call(messages.Claim, messages.ClaimCall{Key: "k", ID: idempotency.ID{Incarnation: 1, N: 1}, Epoch: 1}); errcode.Of(r.err) != errcode.NotFound {
			t.Errorf("%s: a claim of the old epoch: %v", c.name, r.err)
		}
	}
}
