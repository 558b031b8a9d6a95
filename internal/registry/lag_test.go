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

// A member that lacks more than it can be told at once counts for nothing, until it has been taught in pages, which a
// round that needs it begins at once, with another one lost. No message is larger than a page or a delta, and a proposer that holds nothing yet says so rather than go on from a part.
func TestMemberThatLacksMuch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := network.New(1)
		p := s.Machine("10.0.0.1", "north").Start()
		service := configuration.Item{Key: configuration.Key{Kind: configuration.Services, Name: "s"}, Version: 1, Ballot: configuration.Ballot{N: 1, Proposer: 9}, Spec: []byte("{}")}
		stands := configuration.SetOf(service)
		last := configuration.Ballot{N: 3001, Proposer: 9}
		for n := range uint64(3000) {
			spec := fmt.Sprintf(`{"host":"h","path-prefix":"/%d/%s/","route-kind":"idempotent","deadline-s":1,"target-s":1,"service":"s","max-attempts":1}`, n, strings.Repeat("x", 900))
			stands = stands.With(configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: fmt.Sprint("r", n)}, Version: 1,
				Ballot: configuration.Ballot{N: n + 2, Proposer: 9}, Spec: []byte(spec)})
		}
		h, voters, end := crewed(t, p, func(v *voter) {
			if v.by < 2 {
				v.acc.Accept(last, slices.Collect(stands.All()))
				v.acc.Learn(last)
			}
		})
		h.own.Ask(func(b *books) { b.raise(last) })
		change := func(version configuration.Version) error {
			i := service
			i.Version, i.Ballot = version, configuration.Ballot{}
			return h.propose(t.Context(), consensus.Order{Items: []configuration.Item{i}})
		}
		if err := change(2); errcode.Of(err) != errcode.NoQuorum || !strings.Contains(err.Error(), "not read yet") {
			t.Errorf("with nothing held: %v", err)
		}
		h.own.Ask(func(b *books) {
			b.whole(last, stands)
			b.upto[0], b.upto[1] = last, last // as they were watched
		})
		if err := change(3); err != nil {
			t.Error(err)
		}
		if voters[2].acc.Accepted.N > 0 || voters[2].acc.Stands.Len() > 0 {
			t.Errorf("told at once: %v", voters[2].acc.Accepted)
		}
		voters[1].mute = true // a round waits for it in vain, and has the other taught
		if err := change(4); err != nil || voters[2].acc.Stands.Len() != stands.Len() {
			t.Errorf("beside one that lagged: %v, it holds %d items of %d", err, voters[2].acc.Stands.Len(), stands.Len())
		}
		for _, v := range voters {
			if v.most > consensus.PageMax*5/4 {
				t.Errorf("member %d was told %d bytes at once", v.by, v.most)
			}
		}
		end()
	})
}

// crewed is a harbour without goroutines of its own, with three members in memory.
func crewed(t *testing.T, p *network.Process, begin func(*voter)) (h *Harbour, voters []*voter, end func()) {
	h, b := ashore(t)
	h.council = quorum.New(p)
	b.upto, b.taught = make([]configuration.Ballot, 3), make([]bool, 3)
	h.own = rpc.Own(b, 16)
	roll := messages.Roll{Epoch: 1}
	var servers []*rpc.Server
	for n := range 3 {
		addr := fmt.Sprintf("10.0.0.1:%d", n+1)
		l, err := p.Listen(addr, 0)
		if err != nil {
			t.Fatal(err)
		}
		v := &voter{acc: consensus.NewAcceptor(), by: n}
		begin(v)
		voters, servers = append(voters, v), append(servers, rpc.Serve(l, v.handle))
		roll.Voters = append(roll.Voters, messages.Voter{Addr: addr})
	}
	h.council.Take(roll)
	return h, voters, func() {
		h.council.Close()
		for _, s := range servers {
			s.Close()
		}
		h.running.Wait()
		h.own.End()
		p.End()
	}
}

// A large call behind a large one that one member alone has accepted: what was left is settled first, as both at once are more than
// a member keeps beside its base.
func TestLargeCallBehindALargeOne(t *testing.T) {
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
		h, voters, end := crewed(t, p, func(v *voter) {
			v.acc.Accept(one, []configuration.Item{service})
			v.acc.Learn(one)
			if v.by == 0 {
				v.acc.Accept(two, large("left", two))
			}
		})
		h.own.Ask(func(b *books) {
			b.raise(two)
			b.whole(one, configuration.SetOf(service))
			b.upto[0], b.upto[1], b.upto[2] = one, one, one
		})
		voters[2].mute = true
		if err := h.propose(t.Context(), consensus.Order{Items: large("call", configuration.Ballot{})}); err != nil {
			t.Error(err)
		}
		for _, v := range voters[:2] {
			if v.acc.Value.Len() != 1401 || v.most > consensus.DeltaMax {
				t.Errorf("member %d: %d items, told %d bytes at once", v.by, v.acc.Value.Len(), v.most)
			}
		}
		end()
	})
}

// What a watched member tells in pages is in force with the last. A page of a later value whose teller is gone holds up nobody.
func TestPagesOfAWatch(t *testing.T) {
	_, b := ashore(t)
	b.leases = map[lease.Name]*lease.Lease{}
	b.heard, b.pending, b.behind, b.shut = make([]time.Time, 1), make([]time.Time, 1), make([]int, 1), make([]time.Time, 1)
	b.marks, b.vouched, b.upto, b.taught, b.answered = make([]messages.Mark, 1), make([]time.Time, 1), make([]configuration.Ballot, 1), make([]bool, 1), make([]time.Time, 1)
	item := func(name string, n uint64) configuration.Item {
		return configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: name}, Version: 1, Ballot: configuration.Ballot{N: n}, Spec: make([]byte, consensus.PageMax/2)}
	}
	five := configuration.SetOf(item("a", 1), item("b", 2), item("c", 3), item("d", 5))
	six := five.With(item("a", 6))
	tell := func(s configuration.Set, of uint64, catches bool) {
		p := consensus.PageOf(s, configuration.Ballot{N: of}, b.pages.Have(b.chosen))
		w := messages.Watched{State: "serving", Accepted: p.Target, Chosen: p.Target, Known: p.Target, From: p.From, Upto: p.Upto, Items: p.Items}
		if catches {
			w.Known.N++
		}
		b.watched(0, w, time.Now())
	}
	if tell(five, 5, true); !b.pages.Have(b.chosen).IsZero() {
		t.Error("a page of a member that catches up")
	}
	tell(six, 6, false)
	if !b.chosen.IsZero() || b.pages.Have(b.chosen).N != 2 {
		t.Fatalf("behind the first page: %v, all up to %v", b.chosen, b.pages.Have(b.chosen))
	}
	for range 8 {
		if tell(five, 5, false); b.chosen.N > 0 {
			break
		}
	}
	if b.chosen.N != 5 || b.stands.Len() != 4 {
		t.Errorf("chosen %v, %d items", b.chosen, b.stands.Len())
	}
	if tell(six, 6, false); b.chosen.N != 6 || b.pages.Have(b.chosen).N != 6 {
		t.Errorf("chosen %v", b.chosen)
	}
	seven := configuration.Ballot{N: 7} // from a purser that knows of no pages
	b.watched(0, messages.Watched{State: "serving", Accepted: seven, Chosen: seven, Items: []configuration.Item{item("b", 7)}}, time.Now())
	if x, _ := b.stands.Get(item("b", 7).Key); b.chosen != seven || x.Ballot != seven || b.stands.Len() != 4 {
		t.Errorf("told all at once: chosen %v, %d items", b.chosen, b.stands.Len())
	}
}
