package dataplane

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"saltmast/internal/consensus"
	"saltmast/internal/disconnect"
	"saltmast/internal/errcode"
	"saltmast/internal/idempotency"
	"saltmast/internal/messages"
	"saltmast/internal/quorum"
	"saltmast/internal/rpc"
)

const (
	claimTime  = 400 * time.Millisecond // for a majority to grant a key
	recallTime = 250 * time.Millisecond
	claimTries = 3
)

// once sees a request to its answer that may run once for its key: claimed with a majority before it is sent, and given the
// answer of the first where it is a repeat.
func (v *voyage) once() (*Answer, errcode.Kind) {
	g := v.g
	if v.key = v.r.Header.Get(HeaderKey); v.key == "" || len(v.key) > 512 {
		return nil, errcode.Unreadable
	}
	id := idempotency.ID{Incarnation: g.o.Life, N: g.claim.Add(1), Addr: g.o.GateAddr}
	var known idempotency.Operation[*Answer]
	begun := false
	g.book.Do(func(b *idempotency.Cache[*Answer]) { known, begun = b.Begin(g.now(), v.key, id) })
	if !begun {
		if known.State == idempotency.Unknown && known.AskAddr != "" { // the proxy beside the backend may have got the answer since
			return v.told(v.recall(known.AskAddr, known.ID))
		}
		return v.told(recalled(known, true, known.ID))
	}
	v.claim = id
	k, holder := v.claimKey()
	if k == errcode.OK && disconnect.PeerClosed(v.ctx) {
		k = errcode.ClientLeft
	}
	switch k {
	case errcode.OK:
	case errcode.KeyAtWork: // another has it
		g.Counts.Lost.Add(1)
		mine := v.claim // not the first one where votes were split
		g.book.Send(func(b *idempotency.Cache[*Answer]) { b.Forget(v.key, mine) })
		return v.ofAnother(holder)
	case errcode.KeySplit: // those who hold a part of the votes may know more
		v.release()
		if holder.Addr != "" {
			if o := v.recall(holder.Addr, holder); o.Code == errcode.OK && o.answer != nil || o.Code == errcode.KeyAtWork {
				return v.told(o)
			} else if o.State == idempotency.NotExecuted {
				v.free(holder)
			}
		}
		return nil, k
	default:
		v.release()
		return nil, k
	}
	a, k, where := v.attempts()
	switch {
	case a != nil && a.Rest == nil:
		v.end(idempotency.Done, a, where)
	case a == nil && k.NotRun():
		v.release()
	default:
		v.end(idempotency.Unknown, nil, where)
	}
	return a, k
}

func (v *voyage) end(s idempotency.State, a *Answer, where string) {
	size := 0
	if a != nil {
		size = a.size()
	}
	v.g.book.Do(func(b *idempotency.Cache[*Answer]) { b.Finish(v.key, v.claim, s, a, size, where) })
}

// release gives the claim back: nothing ran under it, and nothing will.
func (v *voyage) release() {
	v.g.Counts.Void.Add(1)
	v.end(idempotency.NotExecuted, nil, "")
	v.free(v.claim)
}

// free tells all members that a claim is void.
func (v *voyage) free(id idempotency.ID) {
	msg := rpc.Encode(messages.ReleaseCall{Key: v.key, ID: id})
	roll := v.g.o.Council.VoterSet()
	for i := range roll.Voters {
		if c := v.g.o.Council.VoterClient(i); c != nil {
			c.Go(messages.Release, msg, func([]byte, error) {})
		}
	}
}

// claimKey claims the key. KeyAtWork: holder has it.
func (v *voyage) claimKey() (k errcode.Kind, holder idempotency.ID) {
	g := v.g
	g.Counts.Claims.Add(1)
	begun := time.Now()
	end := begun.Add(min(claimTime, time.Until(v.cut)))
	for try := 0; ; try++ {
		var verdict idempotency.Result
		verdict, holder = g.claimAnyhow(v.key, v.claim, time.Until(end))
		v.log.claim = time.Since(begun)
		g.Counts.ClaimMicros.Add(v.log.claim.Microseconds())
		switch verdict {
		case idempotency.Won:
			return errcode.OK, holder
		case idempotency.Lost:
			v.free(v.claim)
			return errcode.KeyAtWork, holder
		case idempotency.Split:
			g.Counts.Split.Add(1)
			v.free(v.claim)
			// Whoever is told may have had a majority with a member that is silent now: it knows.
			switch o := v.recall(holder.Addr, holder); {
			case o.Code == errcode.KeyAtWork:
			case o.State == idempotency.NotExecuted && o.Code != errcode.OK:
				v.free(holder)
			default:
				return errcode.KeyAtWork, holder
			}
			if try+1 >= claimTries || time.Now().After(end) || disconnect.PeerClosed(v.ctx) {
				return errcode.KeySplit, holder
			}
			time.Sleep(5*time.Millisecond + rand.N(20*time.Millisecond))
			old := v.claim // void for good
			v.claim = idempotency.ID{Incarnation: g.o.Life, N: g.claim.Add(1), Addr: g.o.GateAddr}
			g.book.Do(func(b *idempotency.Cache[*Answer]) {
				b.Forget(v.key, old)
				b.Begin(g.now(), v.key, v.claim)
			})
			continue
		}
		g.Counts.CoreOut.Add(1)
		return errcode.CoreOut, holder
	}
}

const (
	relayAfter = 60 * time.Millisecond // without a verdict, another proxy is asked to claim as well
	relayTime  = 250 * time.Millisecond
	outFor     = time.Second // after a claim that no majority answered, others are asked at once
)

// claimAnyhow claims a key with the members, and by another proxy beside where they are slow to answer this one: a machine
// that is cut off from the core often still reaches its neighbours. One id may be claimed along several ways: members grant
// it again.
func (g *DataPlane) claimAnyhow(key string, id idempotency.ID, wait time.Duration) (idempotency.Result, idempotency.ID) {
	type result struct {
		verdict idempotency.Result
		holder  idempotency.ID
		direct  bool
	}
	ch := make(chan result, 3)
	go func() {
		v, h := g.vote(key, id, wait)
		ch <- result{v, h, true}
	}()
	after := relayAfter
	if g.now() < time.Duration(g.out.Load()) {
		after = 0
	}
	t := time.NewTimer(after)
	defer t.Stop()
	under, relayed := 1, false
	for under > 0 || !relayed {
		select {
		case r := <-ch:
			under--
			if r.direct {
				if r.verdict != idempotency.Pending {
					g.out.Store(0)
				} else { // at once, where connections are refused or were given up a moment ago
					g.out.Store(int64(g.now() + outFor))
					if !relayed {
						t.Reset(0)
					}
				}
			}
			if r.verdict != idempotency.Pending {
				return r.verdict, r.holder
			}
		case <-t.C:
			relayed = true
			at := g.relays(2) // one of them may be cut off as well
			if good := g.relay.Load(); good != nil {
				at = []string{*good}
			}
			for _, addr := range at {
				g.Counts.Relays.Add(1)
				under++
				go func() {
					a := &ask{Kind: claimFor, Key: key, Claim: id, Left: uint32(wait.Milliseconds())}
					o := g.hops.do(context.Background(), addr, a, nil, nil, time.Now().Add(wait))
					r := result{verdict: o.Verdict}
					if o.err != nil || o.Code != errcode.OK {
						r.verdict = idempotency.Pending
					}
					if o.Holder != nil {
						r.holder = *o.Holder
					}
					if r.verdict == idempotency.Pending {
						g.relay.Store(nil)
					} else {
						g.relay.Store(&addr)
					}
					ch <- r
				}()
			}
		}
	}
	return idempotency.Pending, idempotency.ID{}
}

// vote claims a key with the members. Where their epoch has ended without a majority, it is claimed in the next under the same
// id.
func (g *DataPlane) vote(key string, id idempotency.ID, wait time.Duration) (verdict idempotency.Result, holder idempotency.ID) {
	for end := time.Now().Add(wait); ; {
		roll := g.o.Council.VoterSet()
		n := len(roll.Voters)
		vote := idempotency.GrantCounter{Voters: n}
		msg := rpc.Encode(messages.ClaimCall{Key: key, ID: id, Epoch: roll.Epoch})
		gone := 0
		g.o.Council.Broadcast(messages.Claim, func(int) []byte { return msg }, time.Until(end), func(t quorum.Response) bool {
			var gr idempotency.Grant
			if t.Err != nil || rpc.Decode(t.Body, &gr) != nil {
				if vote.AddMissing(); errcode.Of(t.Err) == errcode.Gone {
					if gone++; gone == 1 {
						g.o.Council.FetchVoterSet(t.Voter, roll.Epoch)
					}
				}
			} else {
				vote.Add(gr)
			}
			verdict, holder = vote.Result()
			return verdict != idempotency.Pending || gone > n-consensus.Majority(n)
		})
		if verdict != idempotency.Pending || gone == 0 || !g.o.Council.AwaitNewer(roll.Epoch, end) {
			return verdict, holder
		}
	}
}

// ofAnother answers a repeat by what the holder of the key knows, or else whoever may have run it.
func (v *voyage) ofAnother(holder idempotency.ID) (*Answer, errcode.Kind) {
	o := v.recall(holder.Addr, holder)
	if o.State == idempotency.NotExecuted && o.Code != errcode.OK { // it never ran and never will: whoever asks may try anew
		v.free(holder)
		return nil, errcode.KeySplit
	}
	if o.Code == errcode.Gone || o.Code == errcode.Away || o.Code == errcode.Broken || o.Code == errcode.TimedOut {
		var at []string
		v.g.balancer.Do(func(h *Balancer) {
			for _, r := range h.rows {
				for _, s := range v.route.Split {
					if r.Service == s.Service && r.Addr != holder.Addr {
						at = append(at, r.Addr)
					}
				}
			}
		})
		ch := make(chan outcome, len(at))
		for _, addr := range at {
			go func() { ch <- v.recall(addr, holder) }()
		}
		for range at {
			if x := <-ch; x.Code == errcode.OK && x.answer != nil || x.Code == errcode.KeyAtWork {
				o = x
				break
			}
		}
	}
	return v.told(o)
}

// recall asks a proxy for the answer of the key.
func (v *voyage) recall(addr string, id idempotency.ID) outcome {
	a := &ask{Kind: recall, Key: v.key, Claim: id}
	if addr == v.g.o.GateAddr {
		return v.g.Gate.recallHere(a, v.g.recallOwn)
	}
	cut := time.Now().Add(recallTime)
	if v.cut.Before(cut) {
		cut = v.cut
	}
	return v.g.hops.do(v.ctx, addr, a, nil, nil, cut)
}

// told is what a repeat is answered by what was recalled.
func (v *voyage) told(o outcome) (*Answer, errcode.Kind) {
	switch {
	case o.Code == errcode.OK && o.answer != nil:
		v.g.Counts.Replayed.Add(1)
		return o.answer.under(v.r.Header.Get(HeaderID)), errcode.OK
	case o.Code == errcode.KeyAtWork:
		return nil, errcode.KeyAtWork
	case o.State == idempotency.NotExecuted && o.Code == errcode.KeySplit:
		return nil, errcode.KeySplit
	}
	return nil, errcode.KeyUnknown
}

// under is an answer as it goes to a repeat of its request, which has an id of its own.
func (a *Answer) under(id string) *Answer {
	b := *a
	b.Header = slices.Clone(a.Header)
	for i, f := range b.Header {
		if f.Name == HeaderID {
			b.Header[i].Value = id
		}
	}
	return &b
}
