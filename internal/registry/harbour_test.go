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

// ashore is a harbour without goroutines, sockets or members.
func ashore(t testing.TB) (*Harbour, *books) {
	h := &Harbour{o: Options{Life: 1, Log: func(event, text string) { t.Log(event, text) }}, council: quorum.New(nil),
		ended: make(chan struct{}), round: make(chan struct{}, 1)}
	return h, &books{h: h, berths: backends.New(), masters: map[string]messages.Master{}, lost: map[string]time.Time{},
		pulling: map[string]chan struct{}{}, asked: map[string]bool{}, pullers: map[*puller]struct{}{}}
}

// A puller waits unless there is something that it lacks: one that knows more than is known here is not answered at once,
// again and again.
func TestNews(t *testing.T) {
	h, b := ashore(t)
	wants := func(m messages.PullCall) bool { m.Life = 1; return b.hasNews(&puller{m: m}) }
	if wants(messages.PullCall{Epoch: 1, Sum: b.sum, Have: configuration.Ballot{N: 1}}) {
		t.Error("news for one who knows more")
	}
	h.council.Take(messages.Roll{Epoch: 2})
	b.berths.Join(backends.Berth{Node: "n", Version: 1})
	b.whole(configuration.Ballot{N: 1}, configuration.Set{})
	b.enter(messages.Master{Name: "m"})
	all := messages.PullCall{At: 1, Epoch: 2, Sum: b.news(messages.PullCall{}).Sum, Have: configuration.Ballot{N: 1}}
	for name, change := range map[string]func(*messages.PullCall){
		"":              func(*messages.PullCall) {},
		"a berth":       func(m *messages.PullCall) { m.At = 0 },
		"the roll":      func(m *messages.PullCall) { m.Epoch = 1 },
		"a master":      func(m *messages.PullCall) { m.Sum = 0 },
		"configuration": func(m *messages.PullCall) { m.Have = configuration.Ballot{} },
	} {
		m := all
		if change(&m); wants(m) != (name != "") {
			t.Errorf("lacking %q: news %v", name, wants(m))
		}
	}
}

// While rounds fail, those that settle what is pending do not pile up before the operator's, which wait no longer than their
// callers.
func TestRoundsInTurn(t *testing.T) {
	h, b := ashore(t)
	b.heard, b.pending, b.behind, b.shut = make([]time.Time, 3), make([]time.Time, 3), make([]int, 3), make([]time.Time, 3)
	b.marks, b.vouched, b.upto, b.taught, b.answered = make([]messages.Mark, 3), make([]time.Time, 3), make([]configuration.Ballot, 3), make([]bool, 3), make([]time.Time, 3)
	h.round <- struct{}{} // a round that takes long
	long := time.Now().Add(-time.Minute)
	for i := range 30 {
		b.pending[i%3] = long
		b.watched(i%3, messages.Watched{State: "serving", Vouch: consensus.Vouch{By: i % 3}, Accepted: configuration.Ballot{N: 1}}, time.Now())
	}
	if h.mend() {
		t.Error("another that settles was begun")
	}
	if h.turn(time.Now()) {
		t.Error("two have the turn")
	}
	close(h.ended)
	if h.turn(time.Now().Add(time.Hour)) {
		t.Error("a turn after the end")
	}
	<-h.round
}

// voter is a member of those that count, in memory alone.
type voter struct {
	mu   sync.Mutex
	acc  *consensus.Acceptor
	by   int
	mute bool
	most int // bytes of a call that told items

	overtaken int // by another's higher ballot, ahead of so many accepts
}

func (v *voter) handle(c rpc.Call) {
	v.mu.Lock()
	defer v.mu.Unlock()
	vouch := consensus.Vouch{By: v.by, Incs: []uint64{1, 1, 1}}
	var p messages.PrepareCall
	var a messages.AcceptCall
	var l messages.LearnCall
	var turn messages.TurnCall
	switch {
	case v.mute:
	case c.Kind == messages.Prepare && rpc.Decode(c.Body, &p) == nil:
		if v.acc.Prepare(p.B) {
			c.Reply(v.acc.Promise(vouch, p.Have), nil)
		} else {
			c.Reply(consensus.Promise{Vouch: vouch, Promised: v.acc.Promised, Accepted: v.acc.Accepted}, nil)
		}
	case c.Kind == messages.Accept && rpc.Decode(c.Body, &a) == nil:
		if v.overtaken > 0 {
			v.overtaken--
			v.acc.Prepare(configuration.Ballot{N: a.B.N + 10, Proposer: 9})
		}
		taken := v.acc.May(a.B, a.Base)
		if taken {
			v.acc.Accept(a.B, v.acc.Delta(a.Changes))
		}
		v.most = max(v.most, len(c.Body))
		c.Reply(messages.Accepted{Vouch: vouch, Taken: taken, Promised: v.acc.Promised, Accepted: v.acc.Accepted}, nil)
	case c.Kind == messages.Learn && rpc.Decode(c.Body, &l) == nil:
		v.acc.Learn(l.B)
	case c.Kind == messages.Turn && rpc.Decode(c.Body, &turn) == nil:
		v.most = max(v.most, len(c.Body))
		taken := v.acc.Turns(turn.Page)
		if taken {
			v.acc.Turn(turn.Page)
		}
		c.Reply(messages.Accepted{Vouch: vouch, Taken: taken, Promised: v.acc.Promised, Accepted: v.acc.Accepted, Chosen: v.acc.Chosen}, nil)
	}
}

// A call that is refused for what another one left with a single member does not come into force when that member is gone,
// though its own first round had left it with another.
func TestRefusedStaysRefused(t *testing.T) {
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
		h, b := ashore(t)
		h.council = quorum.New(p)
		b.raise(ballotOf(7))
		h.own = rpc.Own(b, 16)
		roll := messages.Roll{Epoch: 1}
		var voters []*voter
		var servers []*rpc.Server
		for n, left := range [][]configuration.Item{ours, theirs, nil} {
			addr := fmt.Sprintf("10.0.0.1:%d", n+1)
			l, err := p.Listen(addr, 0)
			if err != nil {
				t.Fatal(err)
			}
			v := &voter{acc: consensus.NewAcceptor(), by: n}
			v.acc.Accept(ballotOf(5), slices.Collect(base.All()))
			if left != nil {
				v.acc.Accept(left[0].Ballot, slices.Collect(v.acc.Value.With(left...).All()))
			}
			voters, servers = append(voters, v), append(servers, rpc.Serve(l, v.handle))
			roll.Voters = append(roll.Voters, messages.Voter{Addr: addr})
		}
		h.council.Take(roll)
		voters[0].mute = true
		if k := errcode.Of(h.propose(t.Context(), consensus.NewOrder(ours, configuration.Set{}))); k != errcode.InvalidConfiguration {
			t.Errorf("beside theirs: %v", k)
		}
		voters[0].mute, voters[1].mute = false, true
		if err := h.propose(t.Context(), consensus.Order{}); err != nil {
			t.Error(err)
		}
		h.own.Ask(func(b *books) {
			if _, ok := b.stands.Get(ours[0].Key); ok {
				t.Error("what was refused is in force")
			}
		})
		h.council.Close()
		for _, s := range servers {
			s.Close()
		}
		h.own.End()
		p.End()
	})
}
