package registry

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/backends"
	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/errcode"
	"saltmast/internal/messages"
	"saltmast/internal/quorum"
	"saltmast/internal/rpc"
	"saltmast/internal/simulation/network"
)

// newTestRegistry returns a registry without goroutines, sockets or voters.
func newTestRegistry(t testing.TB) (*Registry, *state) {
	reg := &Registry{options: Options{Incarnation: 1, Log: func(event, text string) { t.Log(event, text) }}, quorum: quorum.New(nil),
		closed: make(chan struct{}), roundSlot: make(chan struct{}, 1)}
	return reg, &state{registry: reg, backends: backends.New(), registries: map[string]messages.Registry{}, registryLostSince: map[string]time.Time{},
		pulls: map[string]chan struct{}{}, entriesReceived: map[string]bool{}, pullers: map[*pullWaiter]struct{}{}}
}

// TestHasUpdate checks that a pull waits unless the caller lacks something: a caller that knows more than this registry must not
// be answered at once, over and over.
func TestHasUpdate(t *testing.T) {
	reg, st := newTestRegistry(t)
	hasUpdate := func(m messages.PullCall) bool { m.Incarnation = 1; return st.hasUpdate(&pullWaiter{request: m}) }
	if hasUpdate(messages.PullCall{Epoch: 1, RegistriesDigest: st.registriesDigest, Have: configuration.Ballot{N: 1}}) {
		t.Error("an update for a caller that knows more")
	}
	reg.quorum.Update(messages.VoterSet{Epoch: 2})
	st.backends.Merge(backends.Backend{Node: "n", Version: 1})
	st.setChosen(configuration.Ballot{N: 1}, configuration.Set{})
	st.putRegistry(messages.Registry{Name: "m"})
	all := messages.PullCall{Revision: 1, Epoch: 2, RegistriesDigest: st.buildReply(messages.PullCall{}).RegistriesDigest, Have: configuration.Ballot{N: 1}}
	for name, change := range map[string]func(*messages.PullCall){
		"":              func(*messages.PullCall) {},
		"a backend":     func(m *messages.PullCall) { m.Revision = 0 },
		"the voter set": func(m *messages.PullCall) { m.Epoch = 1 },
		"a registry":    func(m *messages.PullCall) { m.RegistriesDigest = 0 },
		"configuration": func(m *messages.PullCall) { m.Have = configuration.Ballot{} },
	} {
		m := all
		if change(&m); hasUpdate(m) != (name != "") {
			t.Errorf("lacking %q: update %v", name, hasUpdate(m))
		}
	}
}

// TestRoundSlot checks that while rounds fail, settling rounds don't queue up ahead of the operator's calls, and that these wait no
// longer than their callers.
func TestRoundSlot(t *testing.T) {
	reg, st := newTestRegistry(t)
	st.servingAt, st.pendingSince, st.behindCount, st.sealedSince = make([]time.Time, 3), make([]time.Time, 3), make([]int, 3), make([]time.Time, 3)
	st.marks, st.currentAt, st.completeUpTo, st.sendingPages, st.answeredAt = make([]messages.Mark, 3), make([]time.Time, 3), make([]configuration.Ballot, 3), make([]bool, 3), make([]time.Time, 3)
	reg.roundSlot <- struct{}{} // a long round
	long := time.Now().Add(-time.Minute)
	for i := range 30 {
		st.pendingSince[i%3] = long
		st.handleWatchReply(i%3, messages.WatchReply{State: "serving", Origin: consensus.Origin{Voter: i % 3}, Accepted: configuration.Ballot{N: 1}}, time.Now())
	}
	if reg.startSettling() {
		t.Error("another settling round was started")
	}
	if reg.acquireRound(time.Now()) {
		t.Error("two rounds hold the slot")
	}
	close(reg.closed)
	if reg.acquireRound(time.Now().Add(time.Hour)) {
		t.Error("a round got the slot after the end")
	}
	<-reg.roundSlot
}

// testVoter is a voter that keeps its state in memory.
type testVoter struct {
	mu          sync.Mutex
	acceptor    *consensus.Acceptor
	index       int
	silent      bool
	largestCall int // bytes of the largest call with items

	overtakes int // how many accept calls are preceded by a higher ballot of another proposer
}

func (v *testVoter) handle(c rpc.Call) {
	v.mu.Lock()
	defer v.mu.Unlock()
	origin := consensus.Origin{Voter: v.index, Incarnations: []uint64{1, 1, 1}}
	var p messages.PrepareCall
	var a messages.AcceptCall
	var l messages.LearnCall
	var page messages.SendPageCall
	switch {
	case v.silent:
	case c.Kind == messages.Prepare && rpc.Decode(c.Body, &p) == nil:
		if v.acceptor.Prepare(p.B) {
			c.Reply(v.acceptor.Promise(origin, p.Have), nil)
		} else {
			c.Reply(consensus.Promise{Origin: origin, Promised: v.acceptor.Promised, Accepted: v.acceptor.Accepted}, nil)
		}
	case c.Kind == messages.Accept && rpc.Decode(c.Body, &a) == nil:
		if v.overtakes > 0 {
			v.overtakes--
			v.acceptor.Prepare(configuration.Ballot{N: a.B.N + 10, Proposer: 9})
		}
		accepted := v.acceptor.CanAccept(a.B, a.Base)
		if accepted {
			v.acceptor.Accept(a.B, v.acceptor.Delta(a.Changes))
		}
		v.largestCall = max(v.largestCall, len(c.Body))
		c.Reply(messages.AcceptReply{Origin: origin, OK: accepted, Promised: v.acceptor.Promised, Accepted: v.acceptor.Accepted}, nil)
	case c.Kind == messages.Learn && rpc.Decode(c.Body, &l) == nil:
		v.acceptor.Learn(l.B)
	case c.Kind == messages.SendPage && rpc.Decode(c.Body, &page) == nil:
		v.largestCall = max(v.largestCall, len(c.Body))
		accepted := v.acceptor.CanApplyPage(page.Page)
		if accepted {
			v.acceptor.ApplyPage(page.Page)
		}
		c.Reply(messages.AcceptReply{Origin: origin, OK: accepted, Promised: v.acceptor.Promised, Accepted: v.acceptor.Accepted, Chosen: v.acceptor.Chosen}, nil)
	}
}

// TestRefusedCallStaysRefused checks that a call refused because of another call that a single voter has accepted stays refused when
// that voter has gone, although an earlier round had left the refused call with another voter.
func TestRefusedCallStaysRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := network.New(1)
		p := s.Machine("10.0.0.1", "north").Start()
		ballotOf := func(n uint64) configuration.Ballot { return configuration.Ballot{N: n, Proposer: 9} }
		call := func(n uint64, text string) (items []configuration.Item) {
			c, err := configuration.DecodeCall([]byte(`{"upsert":{"resources":[` + text + `]}}`))
			if err != nil {
				t.Fatal(err)
			}
			for _, i := range c.Items {
				i.Ballot = ballotOf(n)
				items = append(items, i)
			}
			return items
		}
		route := func(name string) string {
			return `{"resource-kind":"routes","metadata":{"name":"` + name + `","version":"r1"},"specification":` +
				`{"host":"h","path-prefix":"/a/","route-kind":"idempotent","deadline-s":1,"target-s":1,"service":"s","max-attempts":1}}`
		}
		base := configuration.Set{}
		for _, i := range call(5, `{"resource-kind":"services","metadata":{"name":"s","version":"r1"},"specification":{}}`) {
			base, _ = base.Join(i)
		}
		ours, theirs := call(6, route("ours")), call(7, route("theirs"))
		reg, st := newTestRegistry(t)
		reg.quorum = quorum.New(p)
		st.observeBallot(ballotOf(7))
		reg.owner = rpc.StartOwner(st, 16)
		voterSet := messages.VoterSet{Epoch: 1}
		var voters []*testVoter
		var servers []*rpc.Server
		for n, left := range [][]configuration.Item{ours, theirs, nil} {
			addr := fmt.Sprintf("10.0.0.1:%d", n+1)
			l, err := p.Listen(addr, 0)
			if err != nil {
				t.Fatal(err)
			}
			v := &testVoter{acceptor: consensus.NewAcceptor(), index: n}
			v.acceptor.Accept(ballotOf(5), slices.Collect(base.All()))
			if left != nil {
				v.acceptor.Accept(left[0].Ballot, slices.Collect(v.acceptor.Value.With(left...).All()))
			}
			voters, servers = append(voters, v), append(servers, rpc.Serve(l, v.handle))
			voterSet.Voters = append(voterSet.Voters, messages.Voter{Addr: addr})
		}
		reg.quorum.Update(voterSet)
		voters[0].silent = true
		if k := errcode.Of(reg.propose(t.Context(), consensus.NewRequest(ours, configuration.Set{}))); k != errcode.InvalidConfiguration {
			t.Errorf("with the other call: %v", k)
		}
		voters[0].silent, voters[1].silent = false, true
		if err := reg.propose(t.Context(), consensus.Request{}); err != nil {
			t.Error(err)
		}
		reg.owner.Do(func(st *state) {
			if _, ok := st.chosenSet.Get(ours[0].Key); ok {
				t.Error("the refused call took effect")
			}
		})
		reg.quorum.Close()
		for _, s := range servers {
			s.Close()
		}
		reg.owner.Stop()
		p.End()
	})
}
