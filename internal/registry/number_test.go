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

// chamber is a harbour without proxies, and three members that have accepted what a test says, the last of its sets at each.
func chamber(t *testing.T, left [3][]configuration.Set, do func(t *testing.T, h *Harbour, voters []*voter)) {
	synctest.Test(t, func(t *testing.T) {
		p := network.New(1).Machine("10.0.0.1", "north").Start()
		h, b := ashore(t)
		h.council = quorum.New(p)
		h.own = rpc.Own(b, 16)
		roll := messages.Roll{Epoch: 1}
		var voters []*voter
		var servers []*rpc.Server
		for n, sets := range left {
			addr := fmt.Sprintf("10.0.0.1:%d", n+1)
			l, err := p.Listen(addr, 0)
			if err != nil {
				t.Fatal(err)
			}
			v := &voter{acc: consensus.NewAcceptor(), by: n}
			for _, s := range sets {
				var newest configuration.Ballot
				for i := range s.All() {
					if newest.Less(i.Ballot) {
						newest = i.Ballot
					}
				}
				v.acc.Accept(newest, slices.Collect(s.All()))
				b.raise(newest)
			}
			voters, servers = append(voters, v), append(servers, rpc.Serve(l, v.handle))
			roll.Voters = append(roll.Voters, messages.Voter{Addr: addr})
		}
		h.council.Take(roll)
		b.upto, b.taught = make([]configuration.Ballot, 3), make([]bool, 3)
		do(t, h, voters)
		h.council.Close()
		for _, s := range servers {
			s.Close()
		}
		h.own.End()
		p.End()
	})
}

// laid is a set with the items of a call laid over it, under ballot n.
func laid(t *testing.T, s configuration.Set, n uint64, text string) (configuration.Set, []configuration.Item) {
	c, err := configuration.DecodeCall([]byte(`{"upsert":{"resources":[` + text + `]}}`))
	if err != nil {
		t.Fatal(err)
	}
	return consensus.Apply(s, c.Items, configuration.Ballot{N: n, Proposer: 9}).Next, c.Items
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
	base, _ := laid(t, configuration.Set{}, 5, serviceText("s"))
	more, _ := laid(t, base, 6, serviceText("late"))
	all, order := laid(t, more, 7, routeText("r1", "late"))
	chamber(t, [3][]configuration.Set{{base, all}, {base}, {base}}, func(t *testing.T, h *Harbour, voters []*voter) {
		voters[0].mute = true
		if k := errcode.Of(h.propose(t.Context(), consensus.NewOrder(order, configuration.Set{}))); k != errcode.InvalidConfiguration {
			t.Errorf("while nobody tells of its service: %v", k)
		}
		voters[0].mute, voters[1].mute = false, true
		if err := h.propose(t.Context(), consensus.Order{}); err != nil {
			t.Error(err)
		}
		h.own.Ask(func(b *books) {
			if _, ok := b.stands.Get(order[0].Key); ok {
				t.Error("what was refused is in force")
			}
		})
	})
}

// A copy that waits at an agent while the other is refused is never taken, whatever comes meanwhile; one that is sent anew is.
func TestCopyBesideARefusal(t *testing.T) {
	base, _ := laid(t, configuration.Set{}, 5, serviceText("s"))
	_, order := laid(t, base, 6, routeText("r1", "late"))
	_, late := laid(t, base, 6, serviceText("late"))
	chamber(t, [3][]configuration.Set{{base}, {base}, {base}}, func(t *testing.T, h *Harbour, _ []*voter) {
		waits := consensus.NewOrder(order, base)
		for _, step := range []struct {
			what  string
			order consensus.Order
			want  errcode.Kind
		}{{"a copy", consensus.NewOrder(order, base), errcode.InvalidConfiguration}, {"its service", consensus.NewOrder(late, base), errcode.OK},
			{"the copy that waited", waits, errcode.OutcomeUnknown}} {
			if k := errcode.Of(h.propose(t.Context(), step.order)); k != step.want {
				t.Errorf("%s: %v, want %v", step.what, k, step.want)
			}
		}
		var anew consensus.Order
		h.own.Ask(func(b *books) { anew = consensus.NewOrder(order, b.stands) })
		if err := h.propose(t.Context(), anew); err != nil {
			t.Errorf("sent anew: %v", err)
		}
	})
}

// A call whose sender has gone is proposed no more: it would come into force where nobody waits for it.
func TestSenderHasGone(t *testing.T) {
	base, _ := laid(t, configuration.Set{}, 5, serviceText("s"))
	_, order := laid(t, base, 6, routeText("r1", "s"))
	chamber(t, [3][]configuration.Set{{base}, {base}, {base}}, func(t *testing.T, h *Harbour, voters []*voter) {
		ctx, gone := context.WithCancel(t.Context())
		gone()
		if k := errcode.Of(h.propose(ctx, consensus.NewOrder(order, base))); k.Answer().Status != 503 {
			t.Errorf("answered %v", k)
		}
		for _, v := range voters {
			v.mu.Lock()
			if _, ok := v.acc.Value.Get(order[0].Key); ok {
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
	for v := configuration.Version(2); v <= configuration.MaxPastVersions+1; v++ {
		past, _ = past.AddPastVersion(past.VersionDigest())
		past.Version = v
	}
	all := call(past.Version)
	for i := range all {
		all[i].PastVersions, all[i].Ballot = past.PastVersions, configuration.Ballot{N: 1, Proposer: 9}
	}
	base := configuration.SetOf(all...)
	chamber(t, [3][]configuration.Set{{base}, {base}, {base}}, func(t *testing.T, h *Harbour, voters []*voter) {
		last := past.Version + 1
		for _, c := range []struct {
			version configuration.Version
			want    errcode.Kind
		}{{last, errcode.OK}, {last - 1, errcode.OK}, {1, errcode.OutcomeUnknown}, {last - 17, errcode.OK}, {last - 18, errcode.OutcomeUnknown}} {
			if k := errcode.Of(h.propose(t.Context(), consensus.NewOrder(call(c.version), base))); k != c.want {
				t.Errorf("%s: %v, want %v", c.version, k, c.want)
			}
		}
		for _, v := range voters {
			if v.most > consensus.DeltaMax {
				t.Errorf("a member keeps %d bytes beside its base", v.most)
			}
		}
	})
}

// A call whose refusal a round left with one member, and did not come through, hears of it from the next round.
func TestRefusalThatWasLeft(t *testing.T) {
	base, _ := laid(t, configuration.Set{}, 5, serviceText("s"))
	_, items := laid(t, base, 6, routeText("r1", "late"))
	order := consensus.NewOrder(items, base)
	left := order.Lay(base, configuration.Ballot{N: 6, Proposer: 9}, configuration.Set.Check).Next
	chamber(t, [3][]configuration.Set{{base, left}, {base}, {base}}, func(t *testing.T, h *Harbour, voters []*voter) {
		voters[1].mute = true
		if k := errcode.Of(h.propose(t.Context(), order)); k != errcode.InvalidConfiguration {
			t.Errorf("%v", k)
		}
	})
}

// A round that a majority has turned down is over then, though one member says nothing: the next begins at once.
func TestSilentMemberHoldsUpNoNextRound(t *testing.T) {
	base, _ := laid(t, configuration.Set{}, 5, serviceText("s"))
	_, order := laid(t, base, 6, routeText("r1", "s"))
	for what, begin := range map[string]func(v *voter){
		"they have promised a higher ballot": func(v *voter) { v.acc.Prepare(configuration.Ballot{N: 50, Proposer: 9}) },
		"they promise one before the accept": func(v *voter) { v.overtaken = 1 },
	} {
		t.Run(what, func(t *testing.T) {
			chamber(t, [3][]configuration.Set{{base}, {base}, {base}}, func(t *testing.T, h *Harbour, voters []*voter) {
				voters[2].mute = true
				begin(voters[0])
				begin(voters[1])
				begun := time.Now()
				err := h.propose(t.Context(), consensus.NewOrder(order, base))
				if took := time.Since(begun); err != nil || took > 100*time.Millisecond {
					t.Errorf("%v after %v", err, took)
				}
			})
		})
	}
}
