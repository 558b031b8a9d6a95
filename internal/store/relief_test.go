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

// A voter that accepted who comes next grants nothing from then on, answers once that is on disk, hands its books over only
// then, and is as silent after a restart. The duty of changing the roll alone can still be had of it.
func TestSealed(t *testing.T) {
	d := newDesk(t, Options{Bootstrap: true, Found: voters})
	d.as = storage.Empty
	d.duties = lease.NewLedger(-lease.Span)
	d.open()
	d.settle()
	claim := func(d *desk, key string) errcode.Kind {
		r := d.call(messages.Claim, messages.ClaimCall{Key: key, ID: idempotency.ID{Life: 1, N: 1}, Epoch: 1})
		d.settle()
		return errcode.Of(r.err)
	}
	if k := claim(d, "before"); k != errcode.OK {
		t.Fatal(k)
	}
	next := messages.Roll{Epoch: 2, Voters: voters, Was: voters}
	accept := d.call(messages.Succeed, messages.SucceedCall{Epoch: 1, B: configuration.Ballot{N: 1, Proposer: 1}, Next: &next})
	hand := func(d *desk) (h messages.Handed, k errcode.Kind) {
		r := d.call(messages.Handover, messages.HandoverCall{Epoch: 2})
		if r.err == nil {
			if err := rpc.Decode(r.body, &h); err != nil {
				t.Fatal(err)
			}
		}
		return h, errcode.Of(r.err)
	}
	if _, k := hand(d); accept.n != 0 || k != errcode.NotFound {
		t.Errorf("%d answers, handed over %v, before the seal is on disk", accept.n, k)
	}
	if r := d.call(messages.Claim, messages.ClaimCall{Key: "amid", ID: idempotency.ID{Life: 1, N: 1}, Epoch: 1}); errcode.Of(r.err) != errcode.NotFound {
		t.Errorf("a claim while the seal is on its way: %v", r.err)
	}
	d.settle()
	var a reconfig.Answer
	if accept.n != 1 || rpc.Decode(accept.body, &a) != nil || !a.Given {
		t.Fatalf("%d answers, %+v", accept.n, a)
	}
	again := newDesk(t, Options{})
	again.as, again.paper = storage.Whole, d.paper
	again.duties = lease.NewLedger(-lease.Span)
	again.open()
	again.settle()
	for name, d := range map[string]*desk{"sealed": d, "sealed and started again": again} {
		if k := claim(d, "after"); k != errcode.NotFound {
			t.Errorf("%s: a claim: %v", name, k)
		}
		if r := d.call(messages.Prepare, messages.PrepareCall{B: configuration.Ballot{N: 9}, Epoch: 1}); errcode.Of(r.err) != errcode.NotFound {
			t.Errorf("%s: a promise: %v", name, r.err)
		}
		for of, want := range map[lease.Name]errcode.Kind{lease.Teach: errcode.NotFound, lease.Roll: errcode.OK} {
			if r := d.call(messages.Lease, messages.LeaseCall{Duty: of, By: 7, Epoch: 1}); errcode.Of(r.err) != want {
				t.Errorf("%s: the duty %s: %v", name, of, r.err)
			}
		}
		if h, k := hand(d); k != errcode.OK || h.Estate.Holds || len(h.Claims) != 1 {
			t.Errorf("%s: handed over %v, %+v", name, k, h)
		}
	}
}

// A voter that slept through the change and does not count any more keeps its books for those that take over, from when that is
// on disk. One that counts and is not on the disk that the roll names makes up for it as a lost one.
func TestRelieved(t *testing.T) {
	for _, c := range []struct {
		name string
		next []messages.Voter
		want State
	}{
		{"replaced", []messages.Voter{{Addr: "d:1"}, {Addr: "b:1"}, {Addr: "c:1"}}, Apart},
		{"on another disk", []messages.Voter{{Addr: "a:1", Disk: 5}, {Addr: "b:1"}, {Addr: "d:1"}}, Repairing},
	} {
		d := newDesk(t, Options{Bootstrap: true, Found: voters})
		d.as, d.duties = storage.Empty, lease.NewLedger(0)
		d.open()
		d.settle()
		d.mustering = true // no test here waits for a repair
		d.call(messages.Relieve, messages.RelieveCall{Roll: messages.Roll{Epoch: 2, Voters: c.next, Was: voters}})
		if r := d.call(messages.Handover, messages.HandoverCall{Epoch: 2}); errcode.Of(r.err) != errcode.NotFound {
			t.Errorf("%s: handed over before it is on disk: %v", c.name, r.err)
		}
		d.settle()
		if r := d.call(messages.Handover, messages.HandoverCall{Epoch: 2}); d.state != c.want || r.err != nil {
			t.Errorf("%s: %s, handed over: %v", c.name, d.state, r.err)
		}
		if r := d.call(messages.Claim, messages.ClaimCall{Key: "k", ID: idempotency.ID{Life: 1, N: 1}, Epoch: 1}); errcode.Of(r.err) != errcode.NotFound {
			t.Errorf("%s: a claim of the old epoch: %v", c.name, r.err)
		}
	}
}
