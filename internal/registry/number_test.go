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

// withTestVoters is a harbour without proxies, and three members that have accepted what a test says, the last of its sets at each.
func withTestVoters(t *testing.T, left [3][]configuration.Set, do func(t *testing.T, reg *Registry, voters []*testVoter)) {
	synctest.Test(t, func(t *testing.T) {
		p := network.New(1).Machine("10.0.0.1", "north").Start()
		reg, st := newTestRegistry(t)
		reg.quorum = quorum.New(p)
		reg.owner = rpc.Own(st, 16)
		voterSet := messages.VoterSet{Epoch: 1}
		var voters []*testVoter
		var servers []*rpc.Server
		for n, sets := range left {
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
		reg.quorum.Take(voterSet)
		st.completeUpTo, st.teaching = make([]configuration.Ballot, 3), make([]bool, 3)
		do(t, reg, voters)
		reg.quorum.Close()
		for _, s := range servers {
			s.Close()
		}
		reg.owner.End()
		p.End()
	})
}

// applyCall is a set with the items of a call laid over it, under ballot n.
func applyCall(t *testing.T, s configuration.Set, n uint64, text string) (configuration.Set, []configuration.Item) {
	c, err := configuration.DecodeCall([]byte(`{"upsert":{"resources":[` + text + `]}}`))
	if err != nil {
		t.Fatal(err)
	}
	return consensus.Apply(s, c.Items, configuration.Ballot{N: n, By: 9}).Next, c.Items
}

func serviceText(name string) string {
	return `{"resource-kind":"services","metadata":{"name":"` + name + `","version":"r1"},"specification":{}}`
}

func routeText(version, service string) string {
	return `{"resource-kind":"routes","metadata":{"name":"x","version":"` + version + `"},"specification":` +
		`{"host":"h","path-prefix":"/a/","route-kind":"idempotent","deadline-s":1,"service":"` + service + `"}}`
}

// A call that is refused for what a majority has accepted does not come into force when a member is back that alone holds a later
// value, with the call and what it hangs on: by a copy of it that another agent had left there.
func TestRefusalHoldsAgainstWhatOneMemberHas(t *testing.T) {
	base, _ := applyCall(t, configuration.Set{}, 5, serviceText("s"))
	more, _ := applyCall(t, base, 6, serviceText("late"))
	all, order := applyCall(t, more, 7, routeText("r1", "late"))
	withTestVoters(t, [3][]configuration.Set{{base, all}, {base}, {base}}, func(t *testing.T, reg *Registry, voters []*testVoter) {
		voters[0].silent = true
		if k := errcode.Of(reg.propose(t.Context(), consensus.NewOrder(order, configuration.Set{}))); k != errcode.Invalid {
			t.Errorf("while nobody tells of its service: %v", k)
		}
		voters[0].silent, voters[1].silent = false, true
		if err := reg.propose(t.Context(), consensus.Order{}); err != nil {
			t.Error(err)
		}
		reg.owner.Ask(func(st *state) {
			if _, ok := st.chosenSet.Get(order[0].Key); ok {
				t.Error("what was refused is in force")
			}
		})
	})
}

// A copy that waits at an agent while the other is refused is never taken, whatever comes meanwhile; one that is sent anew is.
func TestCopyBesideARefusal(t *testing.T) {
	base, _ := applyCall(t, configuration.Set{}, 5, serviceText("s"))
	_, order := applyCall(t, base, 6, routeText("r1", "late"))
	_, late := applyCall(t, base, 6, serviceText("late"))
	withTestVoters(t, [3][]configuration.Set{{base}, {base}, {base}}, func(t *testing.T, reg *Registry, _ []*testVoter) {
		waits := consensus.NewOrder(order, base)
		for _, step := range []struct {
			what  string
			order consensus.Order
			want  errcode.Kind
		}{{"a copy", consensus.NewOrder(order, base), errcode.Invalid}, {"its service", consensus.NewOrder(late, base), errcode.OK},
			{"the copy that waited", waits, errcode.Unsure}} {
			if k := errcode.Of(reg.propose(t.Context(), step.order)); k != step.want {
				t.Errorf("%s: %v, want %v", step.what, k, step.want)
			}
		}
		var anew consensus.Order
		reg.owner.Ask(func(st *state) { anew = consensus.NewOrder(order, st.chosenSet) })
		if err := reg.propose(t.Context(), anew); err != nil {
			t.Errorf("sent anew: %v", err)
		}
	})
}

// A call whose sender has gone is proposed no more: it would come into force where nobody waits for it.
func TestSenderHasGone(t *testing.T) {
	base, _ := applyCall(t, configuration.Set{}, 5, serviceText("s"))
	_, order := applyCall(t, base, 6, routeText("r1", "s"))
	withTestVoters(t, [3][]configuration.Set{{base}, {base}, {base}}, func(t *testing.T, reg *Registry, voters []*testVoter) {
		ctx, gone := context.WithCancel(t.Context())
		gone()
		if k := errcode.Of(reg.propose(ctx, consensus.NewOrder(order, base))); k.Answer().Status != 503 {
			t.Errorf("answered %v", k)
		}
		for _, v := range voters {
			v.mu.Lock()
			if _, ok := v.acceptor.Value.Get(order[0].Key); ok {
				t.Error("a member has it")
			}
			v.mu.Unlock()
		}
	})
}

// A call of many items that each have a long past is taken: of the past goes what does not fit, and a number that is forgotten is
// neither confirmed nor refused.
func TestManyItemsWithAPast(t *testing.T) {
	const n = 2500
	call := func(version configuration.Version) (items []configuration.Item) {
		for i := range n {
			items = append(items, configuration.Item{Key: configuration.Key{Kind: configuration.Services, Name: fmt.Sprint(i)}, Version: version, Spec: []byte("{}")})
		}
		return items
	}
	past := call(1)[0]
	for v := configuration.Version(2); v <= configuration.MaxPast+1; v++ {
		past, _ = past.Remember(past.Taken())
		past.Version = v
	}
	all := call(past.Version)
	for i := range all {
		all[i].Past, all[i].Ballot = past.Past, configuration.Ballot{N: 1, By: 9}
	}
	base := configuration.SetOf(all...)
	withTestVoters(t, [3][]configuration.Set{{base}, {base}, {base}}, func(t *testing.T, reg *Registry, voters []*testVoter) {
		last := past.Version + 1
		for _, c := range []struct {
			version configuration.Version
			want    errcode.Kind
		}{{last, errcode.OK}, {last - 1, errcode.OK}, {1, errcode.Unsure}, {last - 17, errcode.OK}, {last - 18, errcode.Unsure}} {
			if k := errcode.Of(reg.propose(t.Context(), consensus.NewOrder(call(c.version), base))); k != c.want {
				t.Errorf("%s: %v, want %v", c.version, k, c.want)
			}
		}
		for _, v := range voters {
			if v.largestCall > consensus.DeltaMax {
				t.Errorf("a member keeps %d bytes beside its base", v.largestCall)
			}
		}
	})
}

// A call whose refusal a round left with one member, and did not come through, hears of it from the next round.
func TestRefusalThatWasLeft(t *testing.T) {
	base, _ := applyCall(t, configuration.Set{}, 5, serviceText("s"))
	_, items := applyCall(t, base, 6, routeText("r1", "late"))
	order := consensus.NewOrder(items, base)
	left := order.Lay(base, configuration.Ballot{N: 6, By: 9}, configuration.Set.Check).Next
	withTestVoters(t, [3][]configuration.Set{{base, left}, {base}, {base}}, func(t *testing.T, reg *Registry, voters []*testVoter) {
		voters[1].silent = true
		if k := errcode.Of(reg.propose(t.Context(), order)); k != errcode.Invalid {
			t.Errorf("%v", k)
		}
	})
}

// A round that a majority has turned down is over then, though one member says nothing: the next begins at once.
func TestSilentMemberHoldsUpNoNextRound(t *testing.T) {
	base, _ := applyCall(t, configuration.Set{}, 5, serviceText("s"))
	_, order := applyCall(t, base, 6, routeText("r1", "s"))
	for what, begin := range map[string]func(v *testVoter){
		"they have promised a higher ballot": func(v *testVoter) { v.acceptor.Prepare(configuration.Ballot{N: 50, By: 9}) },
		"they promise one before the accept": func(v *testVoter) { v.overtakes = 1 },
	} {
		t.Run(what, func(t *testing.T) {
			withTestVoters(t, [3][]configuration.Set{{base}, {base}, {base}}, func(t *testing.T, reg *Registry, voters []*testVoter) {
				voters[2].silent = true
				begin(voters[0])
				begin(voters[1])
				begun := time.Now()
				err := reg.propose(t.Context(), consensus.NewOrder(order, base))
				if took := time.Since(begun); err != nil || took > 100*time.Millisecond {
					t.Errorf("%v after %v", err, took)
				}
			})
		})
	}
}
