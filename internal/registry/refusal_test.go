package registry

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/errcode"
	"saltmast/internal/messages"
	"saltmast/internal/quorum"
	"saltmast/internal/rpc"
	"saltmast/internal/simulation/network"
)

// runWithTestVoters runs a test with a registry without proxies and three voters. Each voter has accepted its sets in
// order.
func runWithTestVoters(t *testing.T, accepted [3][]configuration.Set, do func(t *testing.T, reg *Registry, voters []*testVoter)) {
	synctest.Test(t, func(t *testing.T) {
		p := network.New(1).Machine("10.0.0.1", "north").Start()
		reg, st := newTestRegistry(t)
		reg.quorum = quorum.New(p)
		reg.owner = rpc.StartOwner(st, 16)
		voterSet := messages.VoterSet{Epoch: 1}
		var voters []*testVoter
		var servers []*rpc.Server
		for n, sets := range accepted {
			addr := fmt.Sprintf("10.0.0.1:%d", n+1)
			l, err := p.Listen(addr, 0)
			if err != nil {
				t.Fatal(err)
			}
			v := &testVoter{acceptor: consensus.NewAcceptor(), index: n}
			for _, s := range sets {
				var newest configuration.Ballot
				for i := range s.All() {
					if newest.Less(i.Ballot) {
						newest = i.Ballot
					}
				}
				v.acceptor.Accept(newest, slices.Collect(s.All()))
				st.observeBallot(newest)
			}
			voters, servers = append(voters, v), append(servers, rpc.Serve(l, v.handle))
			voterSet.Voters = append(voterSet.Voters, messages.Voter{Addr: addr})
		}
		reg.quorum.Update(voterSet)
		st.completeUpTo, st.sendingPages = make([]configuration.Ballot, 3), make([]bool, 3)
		do(t, reg, voters)
		reg.quorum.Close()
		for _, s := range servers {
			s.Close()
		}
		reg.owner.Stop()
		p.End()
	})
}

// applyCall returns a set with the items of a call applied under ballot n, and the items.
func applyCall(t *testing.T, s configuration.Set, n uint64, text string) (configuration.Set, []configuration.Item) {
	c, err := configuration.DecodeCall([]byte(`{"upsert":{"resources":[` + text + `]}}`))
	if err != nil {
		t.Fatal(err)
	}
	return consensus.ApplyItems(s, c.Items, configuration.Ballot{N: n, Proposer: 9}).Next, c.Items
}

func serviceText(name string) string {
	return `{"resource-kind":"services","metadata":{"name":"` + name + `","version":"r1"},"specification":{}}`
}

func routeText(version, service string) string {
	return `{"resource-kind":"routes","metadata":{"name":"x","version":"` + version + `"},"specification":` +
		`{"host":"h","path-prefix":"/a/","route-kind":"idempotent","deadline-s":1,"service":"` + service + `"}}`
}

// TestRefusalHoldsAgainstOneVoter checks that a call refused because of the value of a majority stays refused when a voter returns
// that alone holds a later value with the call and the service it needs, left there by a copy of the call at another registry.
func TestRefusalHoldsAgainstOneVoter(t *testing.T) {
	base, _ := applyCall(t, configuration.Set{}, 5, serviceText("s"))
	more, _ := applyCall(t, base, 6, serviceText("late"))
	all, order := applyCall(t, more, 7, routeText("r1", "late"))
	runWithTestVoters(t, [3][]configuration.Set{{base, all}, {base}, {base}}, func(t *testing.T, reg *Registry, voters []*testVoter) {
		voters[0].silent = true
		if k := errcode.Of(reg.propose(t.Context(), consensus.NewRequest(order, configuration.Set{}))); k != errcode.InvalidConfiguration {
			t.Errorf("while no voter reports its service: %v", k)
		}
		voters[0].silent, voters[1].silent = false, true
		if err := reg.propose(t.Context(), consensus.Request{}); err != nil {
			t.Error(err)
		}
		reg.owner.Do(func(st *state) {
			if _, ok := st.chosenSet.Get(order[0].Key); ok {
				t.Error("the refused call took effect")
			}
		})
	})
}

// TestWaitingCopyOfRefusedCall checks that a copy of a call that waits while another copy is refused is never applied, whatever
// changes meanwhile, but that the call succeeds when sent again.
func TestWaitingCopyOfRefusedCall(t *testing.T) {
	base, _ := applyCall(t, configuration.Set{}, 5, serviceText("s"))
	_, order := applyCall(t, base, 6, routeText("r1", "late"))
	_, late := applyCall(t, base, 6, serviceText("late"))
	runWithTestVoters(t, [3][]configuration.Set{{base}, {base}, {base}}, func(t *testing.T, reg *Registry, _ []*testVoter) {
		waiting := consensus.NewRequest(order, base)
		for _, step := range []struct {
			what  string
			order consensus.Request
			want  errcode.Kind
		}{{"a copy", consensus.NewRequest(order, base), errcode.InvalidConfiguration}, {"its service", consensus.NewRequest(late, base), errcode.OK},
			{"the copy that waited", waiting, errcode.OutcomeUnknown}} {
			if k := errcode.Of(reg.propose(t.Context(), step.order)); k != step.want {
				t.Errorf("%s: %v, want %v", step.what, k, step.want)
			}
		}
		var resent consensus.Request
		reg.owner.Do(func(st *state) { resent = consensus.NewRequest(order, st.chosenSet) })
		if err := reg.propose(t.Context(), resent); err != nil {
			t.Errorf("sent again: %v", err)
		}
	})
}

// TestCallOfGoneSender checks that a call whose sender has gone is not proposed: it would take effect with nobody waiting for it.
func TestCallOfGoneSender(t *testing.T) {
	base, _ := applyCall(t, configuration.Set{}, 5, serviceText("s"))
	_, order := applyCall(t, base, 6, routeText("r1", "s"))
	runWithTestVoters(t, [3][]configuration.Set{{base}, {base}, {base}}, func(t *testing.T, reg *Registry, voters []*testVoter) {
		ctx, gone := context.WithCancel(t.Context())
		gone()
		if k := errcode.Of(reg.propose(ctx, consensus.NewRequest(order, base))); k.Answer().Status != 503 {
			t.Errorf("answered %v", k)
		}
		for _, v := range voters {
			v.mu.Lock()
			if _, ok := v.acceptor.Value.Get(order[0].Key); ok {
				t.Error("a voter has accepted it")
			}
			v.mu.Unlock()
		}
	})
}

// TestManyItemsWithHistory checks that a call of many items with long version histories is applied: the part of the history that
// doesn't fit is dropped, and a dropped version is neither confirmed nor refused.
func TestManyItemsWithHistory(t *testing.T) {
	const n = 2500
	call := func(version configuration.Version) (items []configuration.Item) {
		for i := range n {
			items = append(items, configuration.Item{Key: configuration.Key{Kind: configuration.Services, Name: fmt.Sprint(i)}, Version: version, Spec: []byte("{}")})
		}
		return items
	}
	history := call(1)[0]
	for v := configuration.Version(2); v <= configuration.MaxPastVersions+1; v++ {
		history, _ = history.AddPastVersion(history.VersionDigest())
		history.Version = v
	}
	all := call(history.Version)
	for i := range all {
		all[i].PastVersions, all[i].Ballot = history.PastVersions, configuration.Ballot{N: 1, Proposer: 9}
	}
	base := configuration.SetOf(all...)
	runWithTestVoters(t, [3][]configuration.Set{{base}, {base}, {base}}, func(t *testing.T, reg *Registry, voters []*testVoter) {
		last := history.Version + 1
		for _, c := range []struct {
			version configuration.Version
			want    errcode.Kind
		}{{last, errcode.OK}, {last - 1, errcode.OK}, {1, errcode.OutcomeUnknown}, {last - 17, errcode.OK}, {last - 18, errcode.OutcomeUnknown}} {
			if k := errcode.Of(reg.propose(t.Context(), consensus.NewRequest(call(c.version), base))); k != c.want {
				t.Errorf("%s: %v, want %v", c.version, k, c.want)
			}
		}
		for _, v := range voters {
			if v.largestCall > consensus.DeltaMax {
				t.Errorf("a voter keeps %d bytes besides its base", v.largestCall)
			}
		}
	})
}

// TestRefusalLeftOnOneVoter checks that a call whose refusal an unfinished round left with one voter is refused by the next round.
func TestRefusalLeftOnOneVoter(t *testing.T) {
	base, _ := applyCall(t, configuration.Set{}, 5, serviceText("s"))
	_, items := applyCall(t, base, 6, routeText("r1", "late"))
	order := consensus.NewRequest(items, base)
	left := order.Apply(base, configuration.Ballot{N: 6, Proposer: 9}, configuration.Set.Check).Next
	runWithTestVoters(t, [3][]configuration.Set{{base, left}, {base}, {base}}, func(t *testing.T, reg *Registry, voters []*testVoter) {
		voters[1].silent = true
		if k := errcode.Of(reg.propose(t.Context(), order)); k != errcode.InvalidConfiguration {
			t.Errorf("%v", k)
		}
	})
}

// TestSilentVoterDelaysNoRound checks that a round rejected by a majority ends at once although one voter is silent, and that the
// next one starts.
func TestSilentVoterDelaysNoRound(t *testing.T) {
	base, _ := applyCall(t, configuration.Set{}, 5, serviceText("s"))
	_, order := applyCall(t, base, 6, routeText("r1", "s"))
	for what, begin := range map[string]func(v *testVoter){
		"they have promised a higher ballot": func(v *testVoter) { v.acceptor.Prepare(configuration.Ballot{N: 50, Proposer: 9}) },
		"they promise one before the accept": func(v *testVoter) { v.overtakes = 1 },
	} {
		t.Run(what, func(t *testing.T) {
			runWithTestVoters(t, [3][]configuration.Set{{base}, {base}, {base}}, func(t *testing.T, reg *Registry, voters []*testVoter) {
				voters[2].silent = true
				begin(voters[0])
				begin(voters[1])
				begun := time.Now()
				err := reg.propose(t.Context(), consensus.NewRequest(order, base))
				if took := time.Since(begun); err != nil || took > 100*time.Millisecond {
					t.Errorf("%v after %v", err, took)
				}
			})
		})
	}
}
