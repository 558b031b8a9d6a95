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
		return nil, errcode.InvalidRequest
	}
	id := idempotency.ID{Life: g.o.Life, N: g.claim.Add(1), At: g.o.GateAddr}
	var known idempotency.Op[*Answer]
	begun := false
	g.book.Ask(func(b *idempotency.Book[*Answer]) { known, begun = b.Begin(g.now(), v.key, id) })
	if !begun {
		if known.State == idempotency.Unknown && known.Where != "" { // the proxy beside the backend may have got the answer since
			return v.told(v.recall(known.Where, known.ID))
		}
		return v.told(recalled(known, true, known.ID))
	}
	v.claim = id
	k, holder := v.claimKey()
	if k == errcode.OK && disconnect.Left(v.ctx) {
		k = errcode.ClientDisconnected
	}
	switch k {
	case errcode.OK:
	case errcode.KeyInProgress: // another has it
		g.Counts.Lost.Add(1)
		mine := v.claim // not the first one where votes were split
		g.book.Send(func(b *idempotency.Book[*Answer]) { b.Forget(v.key, mine) })
		return v.ofAnother(holder)
	case errcode.KeyContended: // those who hold a part of the votes may know more
		v.release()
		if holder.At != "" {
			if o := v.recall(holder.At, holder); o.Code == errcode.OK && o.answer != nil || o.Code == errcode.KeyInProgress {
				return v.told(o)
			} else if o.State == idempotency.Void {
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
	v.g.book.Ask(func(b *idempotency.Book[*Answer]) { b.End(v.key, v.claim, s, a, size, where) })
}

// release gives the claim back: nothing ran under it, and nothing will.
func (v *voyage) release() {
	v.g.Counts.Void.Add(1)
	v.end(idempotency.Void, nil, "")
	v.free(v.claim)
}

// free tells all members that a claim is void.
func (v *voyage) free(id idempotency.ID) {
	msg := rpc.Encode(messages.ReleaseCall{Key: v.key, ID: id})
	roll := v.g.o.Council.Roll()
	for i := range roll.Voters {
		if c := v.g.o.Council.Client(i); c != nil {
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
		var verdict idempotency.Verdict
		verdict, holder = g.claimAnyhow(v.key, v.claim, time.Until(end))
		v.log.claim = time.Since(begun)
		g.Counts.ClaimMicros.Add(v.log.claim.Microseconds())
		switch verdict {
		case idempotency.Won:
			return errcode.OK, holder
		case idempotency.Lost:
			v.free(v.claim)
			return errcode.KeyInProgress, holder
		case idempotency.Split:
			g.Counts.Split.Add(1)
			v.free(v.claim)
			// Whoever is told may have had a majority with a member that is silent now: it knows.
			switch o := v.recall(holder.At, holder); {
			case o.Code == errcode.KeyInProgress:
			case o.State == idempotency.Void && o.Code != errcode.OK:
				v.free(holder)
			default:
				return errcode.KeyInProgress, holder
			}
			if try+1 >= claimTries || time.Now().After(end) || disconnect.Left(v.ctx) {
				return errcode.KeyContended, holder
			}
			time.Sleep(5*time.Millisecond + rand.N(20*time.Millisecond))
			old := v.claim // void for good
			v.claim = idempotency.ID{Life: g.o.Life, N: g.claim.Add(1), At: g.o.GateAddr}
			g.book.Ask(func(b *idempotency.Book[*Answer]) {
				b.Forget(v.key, old)
				b.Begin(g.now(), v.key, v.claim)
			})
			continue
		}
		g.Counts.CoreOut.Add(1)
		return errcode.NoQuorum, holder
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
func (g *DataPlane) claimAnyhow(key string, id idempotency.ID, wait time.Duration) (idempotency.Verdict, idempotency.ID) {
	type result struct {
		verdict idempotency.Verdict
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
				if r.verdict != idempotency.Open {
					g.out.Store(0)
				} else { // at once, where connections are refused or were given up a moment ago
					g.out.Store(int64(g.now() + outFor))
					if !relayed {
						t.Reset(0)
					}
				}
			}
			if r.verdict != idempotency.Open {
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
						r.verdict = idempotency.Open
					}
					if o.Holder != nil {
						r.holder = *o.Holder
					}
					if r.verdict == idempotency.Open {
						g.relay.Store(nil)
					} else {
						g.relay.Store(&addr)
					}
					ch <- r
				}()
			}
		}
	}
	return idempotency.Open, idempotency.ID{}
}

// vote claims a key with the members. Where their epoch has ended without a majority, it is claimed in the next under the same
// id.
func (g *DataPlane) vote(key string, id idempotency.ID, wait time.Duration) (verdict idempotency.Verdict, holder idempotency.ID) {
	for end := time.Now().Add(wait); ; {
		roll := g.o.Council.Roll()
		n := len(roll.Voters)
		vote := idempotency.Vote{Voters: n}
		msg := rpc.Encode(messages.ClaimCall{Key: key, ID: id, Epoch: roll.Epoch})
		gone := 0
		g.o.Council.Gather(messages.Claim, func(int) []byte { return msg }, time.Until(end), func(t quorum.Told) bool {
			var gr idempotency.Grant
			if t.Err != nil || rpc.Decode(t.Body, &gr) != nil {
				if vote.Missed(); errcode.Of(t.Err) == errcode.NotFound {
					if gone++; gone == 1 {
						g.o.Council.Learn(t.Place, roll.Epoch)
					}
				}
			} else {
				vote.Add(gr)
			}
			verdict, holder = vote.Verdict()
			return verdict != idempotency.Open || gone > n-consensus.Majority(n)
		})
		if verdict != idempotency.Open || gone == 0 || !g.o.Council.Await(roll.Epoch, end) {
			return verdict, holder
		}
	}
}

// ofAnother answers a repeat by what the holder of the key knows, or else whoever may have run it.
func (v *voyage) ofAnother(holder idempotency.ID) (*Answer, errcode.Kind) {
	o := v.recall(holder.At, holder)
	if o.State == idempotency.Void && o.Code != errcode.OK { // it never ran and never will: whoever asks may try anew
		v.free(holder)
		return nil, errcode.KeyContended
	}
	if o.Code == errcode.NotFound || o.Code == errcode.Unreachable || o.Code == errcode.ConnectionLost || o.Code == errcode.ResponseTimeout {
		var at []string
		v.g.balancer.Ask(func(h *Balancer) {
			for _, r := range h.rows {
				for _, s := range v.route.Split {
					if r.Service == s.Service && r.Addr != holder.At {
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
			if x := <-ch; x.Code == errcode.OK && x.answer != nil || x.Code == errcode.KeyInProgress {
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
	case o.Code == errcode.KeyInProgress:
		return nil, errcode.KeyInProgress
	case o.State == idempotency.Void && o.Code == errcode.KeyContended:
		return nil, errcode.KeyContended
	}
	return nil, errcode.KeyOutcomeUnknown
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
