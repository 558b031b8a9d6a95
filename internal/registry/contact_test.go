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

// Contact is with a majority that spoke lately, in this epoch, unsealed, and knows of nothing that is not known here; whatever
// else comes, and whenever it is read.
func TestContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Minute)
		for name, c := range map[string]struct {
			ago    time.Duration
			change func(*messages.Watched)
			most   uint32
		}{
			"a majority spoke":              {0, func(*messages.Watched) {}, 0},
			"it was read late":              {20 * time.Second, func(*messages.Watched) {}, 20_000},
			"one is sealed":                 {0, func(w *messages.Watched) { w.Shut = true }, messages.Never},
			"one is of another epoch":       {0, func(w *messages.Watched) { w.Roll.Epoch = 1 }, messages.Never},
			"one may know of a newer value": {0, func(w *messages.Watched) { w.Accepted.N = 9 }, messages.Never},
			"one makes up for its disk":     {0, func(w *messages.Watched) { w.State = "repairing" }, messages.Never},
			"one speaks for another":        {0, func(w *messages.Watched) { w.Vouch.By = 0 }, messages.Never},
			"one has yet to hear what is chosen": {0, func(w *messages.Watched) {
				w.Chosen, w.Accepted, w.Known, w.Upto = configuration.Ballot{}, configuration.Ballot{}, configuration.Ballot{}, configuration.Ballot{}
			}, 0},
			"one catches up with a newer value": {0, func(w *messages.Watched) { w.Known.N = 9 }, messages.Never},
		} {
			h, b := ashore(t)
			roll := messages.Roll{Epoch: 2, Voters: make([]messages.Voter, 3)}
			h.council.Take(roll)
			b.leases = map[lease.Name]*lease.Lease{}
			b.heard, b.vouched, b.pending, b.behind, b.shut = make([]time.Time, 3), make([]time.Time, 3), make([]time.Time, 3), make([]int, 3), make([]time.Time, 3)
			b.marks, b.upto, b.taught, b.answered = make([]messages.Mark, 3), make([]configuration.Ballot, 3), make([]bool, 3), make([]time.Time, 3)
			for i := range 2 {
				w := messages.Watched{State: "serving", Vouch: consensus.Vouch{By: i}, Roll: roll, Chosen: configuration.Ballot{N: 3}, Accepted: configuration.Ballot{N: 3},
					Known: configuration.Ballot{N: 3}, Upto: configuration.Ballot{N: 3}}
				ago := c.ago
				if i == 1 {
					c.change(&w)
				} else {
					ago = 0
				}
				b.watched(i, w, time.Now().Add(-ago))
			}
			if got := b.fresh(); got != c.most {
				t.Errorf("%s: %d ms, wanted %d", name, got, c.most)
			}
			h.council.Close()
		}
	})
}

// Who slept, or heard no majority, holds no voter for lost that was silent meanwhile.
func TestNobodyIsLostByASleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, b := ashore(t)
		h.o.Lost = 10 * time.Second
		b.begun, b.since = time.Now(), time.Now()
		held := &lease.Lease{Members: 1}
		b.leases = map[lease.Name]*lease.Lease{lease.Roll: held}
		n := func() []time.Time { return []time.Time{time.Now(), time.Now(), time.Now()} }
		b.heard, b.vouched, b.answered = n(), n(), n()
		lost := func() bool {
			held.Due(time.Since(b.begun))
			held.Granted(held.Asked(), 0)
			b.tend(time.Now())
			return !b.sought.IsZero()
		}
		time.Sleep(time.Minute) // it sleeps; then two of three are heard first
		b.tend(time.Now())
		for i := range 2 {
			b.heard[i], b.vouched[i], b.answered[i] = time.Now(), time.Now(), time.Now()
		}
		if lost() {
			t.Error("lost by a sleep")
		}
		close(h.ended) // no change is begun
		for range 11 {
			time.Sleep(time.Second)
			for i := range 2 {
				b.heard[i], b.vouched[i], b.answered[i] = time.Now(), time.Now(), time.Now()
			}
			lost()
		}
		if !lost() {
			t.Error("one that is silent to a majority that is heard is not lost")
		}
	})
}

// The same where two answer, and are read, before it looks: the third's answer is on its way.
func TestNobodyIsLostByAnswersAfterASleep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, b := ashore(t)
		defer h.council.Close()
		h.o.Lost = 2 * time.Second
		roll := messages.Roll{Epoch: 2, Voters: make([]messages.Voter, 3)}
		h.council.Take(roll)
		b.adopted(roll)
		for _, sleep := range []time.Duration{0, 500 * time.Millisecond, 500 * time.Millisecond, time.Minute} {
			time.Sleep(sleep)
			for i := range 3 {
				if i < 2 || sleep < time.Minute {
					b.watched(i, messages.Watched{State: "serving", Vouch: consensus.Vouch{By: i}, Roll: roll}, time.Now())
				}
			}
		}
		if b.tend(time.Now()) || !b.since.Equal(time.Now()) {
			t.Error("a voter counts as silent for the time of a sleep")
		}
	})
}

// A call whose caller goes while its round runs comes to nothing, as does one of which the answers were read long after.
func TestGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := network.New(1)
		p := s.Machine("10.0.0.1", "north").Start()
		var voters []messages.Voter
		var all []*voter
		var h *Harbour
		sleeps := false
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i, ip := range []string{"10.0.0.2", "10.0.0.3", "10.0.0.4"} {
			v := &voter{acc: consensus.NewAcceptor(), by: i}
			l, err := s.Machine(ip, "north").Start().Listen(ip+":80", 0)
			if err != nil {
				t.Fatal(err)
			}
			server := rpc.Serve(l, func(c rpc.Call) {
				if c.Kind == messages.Prepare {
					cancel()
					if sleeps {
						h.own.Send(func(*books) { time.Sleep(20 * time.Second) })
					}
				}
				v.handle(c)
			})
			defer server.Close()
			voters, all = append(voters, messages.Voter{Addr: ip + ":80"}), append(all, v)
		}
		var b *books
		h, b = ashore(t)
		h.council = quorum.New(p)
		defer h.council.Close()
		h.council.Take(messages.Roll{Epoch: 1, Voters: voters})
		h.own = rpc.Own(b, 16)
		defer h.own.End()
		items := []configuration.Item{{Key: configuration.Key{Kind: configuration.Services, Name: "s"}, Version: 1, Spec: []byte("{}")}}
		begun := time.Now()
		if k := errcode.Of(h.propose(ctx, consensus.Order{Items: items})); k != errcode.NoQuorum {
			t.Error("a call whose caller has gone:", k)
		}
		if took := time.Since(begun); took > 10*time.Millisecond {
			t.Error("it kept the turn from others for", took)
		}
		if err := h.tryRound(t.Context(), consensus.Order{Items: items}, time.Now().Add(-20*time.Second)); errcode.Of(err) != errcode.NoQuorum {
			t.Error("a call from before a sleep:", err)
		}
		sleeps = true
		if k := errcode.Of(h.propose(t.Context(), consensus.Order{})); k != errcode.NoQuorum {
			t.Error("a read whose answers are of before a sleep:", k)
		}
		for _, v := range all {
			if v.acc.Value.Len() > 0 {
				t.Error("it is in force")
			}
		}
	})
}

// A call at a machine that has heard no majority for long is sent elsewhere at once: a round would hold it for most of a second.
// One that has heard none yet, or one lately, runs its round.
func TestCutOffAnswersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		time.Sleep(time.Minute)
		p := network.New(1).Machine("10.0.0.1", "north").Start()
		h, b := ashore(t)
		h.council = quorum.New(p)
		h.council.Take(messages.Roll{Epoch: 1, Voters: []messages.Voter{{Addr: "10.0.0.2:80"}, {Addr: "10.0.0.3:80"}, {Addr: "10.0.0.4:80"}}})
		h.own = rpc.Own(b, 16)
		for _, c := range []struct {
			name   string
			silent time.Duration // of two; the third was heard just now
			held   bool
		}{{"never heard", -1, true}, {"heard lately", contactMs * time.Millisecond, true}, {"cut off", (contactMs + 1) * time.Millisecond, false}} {
			h.own.Ask(func(b *books) {
				b.heard = make([]time.Time, 3)
				if c.silent >= 0 {
					now := time.Now()
					b.heard = []time.Time{now, now.Add(-c.silent), now.Add(-c.silent)}
				}
			})
			begun := time.Now()
			if k := errcode.Of(h.propose(t.Context(), consensus.Order{})); k != errcode.NoQuorum {
				t.Errorf("%s: %v", c.name, k)
			}
			if took := time.Since(begun); (took > 0) != c.held {
				t.Errorf("%s: after %v", c.name, took)
			}
		}
		h.council.Close()
		h.own.End()
		p.End()
	})
}

// Who sees that voters share what is to be borne, and has no lease for the duty yet, looks again soon: by then it has it, or another one.
func TestDutyForASpreadIsAskedForSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, b := ashore(t)
		defer h.council.Close()
		h.o.Lost, h.o.Bears.Zones = 2*time.Second, 1
		roll := messages.Roll{Epoch: 2}
		for i, zone := range []string{"east", "east", "west"} {
			name := string(rune('a' + i))
			roll.Voters = append(roll.Voters, messages.Voter{Name: name, Addr: name + ":1", Zone: zone})
		}
		h.council.Take(roll)
		close(h.ended) // no change is begun
		time.Sleep(time.Minute)
		now := time.Now()
		b.begun, b.since, b.epoch = now.Add(-time.Minute), now.Add(-time.Minute), 2
		b.heard, b.answered = []time.Time{now, now, now}, []time.Time{now, now, now}
		held := &lease.Lease{Members: 3}
		b.leases = map[lease.Name]*lease.Lease{lease.Roll: held}
		held.Due(time.Since(b.begun)) // asked just now, and nobody has answered
		if b.tend(now) {
			t.Error("soon, with nobody who could take a place")
		}
		b.masters["d"] = messages.Master{Name: "d", Addr: "d:1", Zone: "south"}
		if !b.tend(now) {
			t.Error("a look later at the earliest")
		}
	})
}
