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
	claimTimeout     = 400 * time.Millisecond // for a majority to grant a key
	lookupTimeout    = 250 * time.Millisecond
	maxClaimAttempts = 3
)

// processDeduplicated processes a request that may run only once for its key. The key is claimed with a majority before
// the request is sent, and a repeat gets the response to the first request.
func (cr *clientRequest) processDeduplicated() (*Response, errcode.Kind) {
	d := cr.dataPlane
	if cr.key = cr.request.Header.Get(HeaderOperationKey); cr.key == "" || len(cr.key) > 512 {
		return nil, errcode.InvalidRequest
	}
	id := idempotency.ID{Incarnation: d.options.Incarnation, N: d.lastClaim.Add(1), Addr: d.options.InboundAddr}
	var known idempotency.Operation[*Response]
	isNew := false
	d.operations.Do(func(b *idempotency.Cache[*Response]) { known, isNew = b.Begin(d.now(), cr.key, id) })
	if !isNew {
		if known.State == idempotency.Unknown && known.AskAddr != "" { // the proxy beside the backend may have got the response since
			return cr.replay(cr.lookupAt(known.AskAddr, known.ID))
		}
		return cr.replay(operationOutcome(known, true, known.ID))
	}
	cr.claim = id
	k, holder := cr.claimKey()
	if k == errcode.OK && disconnect.PeerClosed(cr.ctx) {
		k = errcode.ClientDisconnected
	}
	switch k {
	case errcode.OK:
	case errcode.KeyInProgress: // another claim holds it
		d.Counts.ClaimsLost.Add(1)
		lost := cr.claim // differs from id after a split vote
		d.operations.Send(func(b *idempotency.Cache[*Response]) { b.Forget(cr.key, lost) })
		return cr.replayFromHolder(holder)
	case errcode.KeyContended: // the holder of a part of the votes may know more
		cr.voidClaim()
		if holder.Addr != "" {
			if o := cr.lookupAt(holder.Addr, holder); o.Code == errcode.OK && o.response != nil || o.Code == errcode.KeyInProgress {
				return cr.replay(o)
			} else if o.State == idempotency.NotExecuted {
				cr.releaseAtVoters(holder)
			}
		}
		return nil, k
	default:
		cr.voidClaim()
		return nil, k
	}
	resp, k, lastAddr := cr.runAttempts()
	switch {
	case resp != nil && resp.Stream == nil:
		cr.recordOperation(idempotency.Done, resp, lastAddr)
	case resp == nil && k.NotRun():
		cr.voidClaim()
	default:
		cr.recordOperation(idempotency.Unknown, nil, lastAddr)
	}
	return resp, k
}

func (cr *clientRequest) recordOperation(state idempotency.State, resp *Response, addr string) {
	size := 0
	if resp != nil {
		size = resp.size()
	}
	cr.dataPlane.operations.Do(func(b *idempotency.Cache[*Response]) { b.Finish(cr.key, cr.claim, state, resp, size, addr) })
}

// voidClaim gives the claim back: nothing ran under it, and nothing will.
func (cr *clientRequest) voidClaim() {
	cr.dataPlane.Counts.ClaimsVoid.Add(1)
	cr.recordOperation(idempotency.NotExecuted, nil, "")
	cr.releaseAtVoters(cr.claim)
}

// releaseAtVoters tells all voters that a claim is void.
func (cr *clientRequest) releaseAtVoters(id idempotency.ID) {
	msg := rpc.Encode(messages.ReleaseCall{Key: cr.key, ID: id})
	voterSet := cr.dataPlane.options.Quorum.VoterSet()
	for i := range voterSet.Voters {
		if c := cr.dataPlane.options.Quorum.VoterClient(i); c != nil {
			c.Go(messages.Release, msg, func([]byte, error) {})
		}
	}
}

// claimKey claims the key. KeyAtWork: holder has it.
func (cr *clientRequest) claimKey() (k errcode.Kind, holder idempotency.ID) {
	d := cr.dataPlane
	d.Counts.Claims.Add(1)
	started := time.Now()
	end := started.Add(min(claimTimeout, time.Until(cr.deadline)))
	for try := 0; ; try++ {
		var verdict idempotency.Result
		verdict, holder = d.claimWithRelays(cr.key, cr.claim, time.Until(end))
		cr.stats.claim = time.Since(started)
		d.Counts.ClaimMicros.Add(cr.stats.claim.Microseconds())
		switch verdict {
		case idempotency.Won:
			return errcode.OK, holder
		case idempotency.Lost:
			cr.releaseAtVoters(cr.claim)
			return errcode.KeyInProgress, holder
		case idempotency.Split:
			d.Counts.ClaimsSplit.Add(1)
			cr.releaseAtVoters(cr.claim)
			// The reported holder may have won with the vote of a voter that is silent now; if so, it knows.
			switch o := cr.lookupAt(holder.Addr, holder); {
			case o.Code == errcode.KeyInProgress:
			case o.State == idempotency.NotExecuted && o.Code != errcode.OK:
				cr.releaseAtVoters(holder)
			default:
				return errcode.KeyInProgress, holder
			}
			if try+1 >= maxClaimAttempts || time.Now().After(end) || disconnect.PeerClosed(cr.ctx) {
				return errcode.KeyContended, holder
			}
			time.Sleep(5*time.Millisecond + rand.N(20*time.Millisecond))
			voided := cr.claim // void for good
			cr.claim = idempotency.ID{Incarnation: d.options.Incarnation, N: d.lastClaim.Add(1), Addr: d.options.InboundAddr}
			d.operations.Do(func(b *idempotency.Cache[*Response]) {
				b.Forget(cr.key, voided)
				b.Begin(d.now(), cr.key, cr.claim)
			})
			continue
		}
		d.Counts.QuorumOut.Add(1)
		return errcode.NoQuorum, holder
	}
}

const (
	relayDelay      = 60 * time.Millisecond // without a verdict for this long, other proxies are asked to claim as well
	relayTimeout    = 250 * time.Millisecond
	quorumOutPeriod = time.Second // for this long after a claim that no majority answered, relays are asked at once
)

// claimWithRelays claims a key with the voters, and through other proxies as well if the voters are slow to answer this
// one: a machine that is partitioned from the voters often still reaches its neighbours. The same id may be claimed
// along several paths, since voters grant it again.
func (d *DataPlane) claimWithRelays(key string, id idempotency.ID, wait time.Duration) (idempotency.Result, idempotency.ID) {
	type result struct {
		verdict idempotency.Result
		holder  idempotency.ID
		direct  bool
	}
	ch := make(chan result, 3)
	go func() {
		v, h := d.claimAtVoters(key, id, wait)
		ch <- result{v, h, true}
	}()
	delay := relayDelay
	if d.now() < time.Duration(d.quorumOutUntil.Load()) {
		delay = 0
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	pending, relayed := 1, false
	for pending > 0 || !relayed {
		select {
		case r := <-ch:
			pending--
			if r.direct {
				if r.verdict != idempotency.Pending {
					d.quorumOutUntil.Store(0)
				} else { // at once if connections are refused or failed a moment ago
					d.quorumOutUntil.Store(int64(d.now() + quorumOutPeriod))
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
			addrs := d.randomPeers(2) // two, as one of them may be partitioned as well
			if relay := d.lastRelay.Load(); relay != nil {
				addrs = []string{*relay}
			}
			for _, addr := range addrs {
				d.Counts.RelaysSent.Add(1)
				pending++
				go func() {
					a := &peerRequest{Kind: claimForPeer, Key: key, Claim: id, RemainingMs: uint32(wait.Milliseconds())}
					o := d.peers.do(context.Background(), addr, a, nil, nil, time.Now().Add(wait))
					r := result{verdict: o.Verdict}
					if o.err != nil || o.Code != errcode.OK {
						r.verdict = idempotency.Pending
					}
					if o.Holder != nil {
						r.holder = *o.Holder
					}
					if r.verdict == idempotency.Pending {
						d.lastRelay.Store(nil)
					} else {
						d.lastRelay.Store(&addr)
					}
					ch <- r
				}()
			}
		}
	}
	return idempotency.Pending, idempotency.ID{}
}

// claimAtVoters claims a key with the voters. If their epoch has ended without a majority, it claims in the next epoch
// under the same id.
func (d *DataPlane) claimAtVoters(key string, id idempotency.ID, wait time.Duration) (verdict idempotency.Result, holder idempotency.ID) {
	for end := time.Now().Add(wait); ; {
		voterSet := d.options.Quorum.VoterSet()
		n := len(voterSet.Voters)
		vote := idempotency.GrantCounter{Voters: n}
		msg := rpc.Encode(messages.ClaimCall{Key: key, ID: id, Epoch: voterSet.Epoch})
		epochGone := 0
		d.options.Quorum.Broadcast(messages.Claim, func(int) []byte { return msg }, time.Until(end), func(reply quorum.Response) bool {
			var grant idempotency.Grant
			if reply.Err != nil || rpc.Decode(reply.Body, &grant) != nil {
				if vote.AddMissing(); errcode.Of(reply.Err) == errcode.NotFound {
					if epochGone++; epochGone == 1 {
						d.options.Quorum.FetchVoterSet(reply.Voter, voterSet.Epoch)
					}
				}
			} else {
				vote.Add(grant)
			}
			verdict, holder = vote.Result()
			return verdict != idempotency.Pending || epochGone > n-consensus.Majority(n)
		})
		if verdict != idempotency.Pending || epochGone == 0 || !d.options.Quorum.AwaitNewer(voterSet.Epoch, end) {
			return verdict, holder
		}
	}
}

// replayFromHolder answers a repeat with what the holder of the key knows, or otherwise the proxies that may have run
// it.
func (cr *clientRequest) replayFromHolder(holder idempotency.ID) (*Response, errcode.Kind) {
	o := cr.lookupAt(holder.Addr, holder)
	if o.State == idempotency.NotExecuted && o.Code != errcode.OK { // it never ran and never will: the client may retry
		cr.releaseAtVoters(holder)
		return nil, errcode.KeyContended
	}
	if o.Code == errcode.NotFound || o.Code == errcode.Unreachable || o.Code == errcode.ConnectionLost || o.Code == errcode.ResponseTimeout {
		var addrs []string
		cr.dataPlane.balancer.Do(func(b *Balancer) {
			for _, r := range b.byNode {
				for _, s := range cr.route.Split {
					if r.Service == s.Service && r.Addr != holder.Addr {
						addrs = append(addrs, r.Addr)
					}
				}
			}
		})
		ch := make(chan outcome, len(addrs))
		for _, addr := range addrs {
			go func() { ch <- cr.lookupAt(addr, holder) }()
		}
		for range addrs {
			if x := <-ch; x.Code == errcode.OK && x.response != nil || x.Code == errcode.KeyInProgress {
				o = x
				break
			}
		}
	}
	return cr.replay(o)
}

// lookupAt asks a proxy for the response to the key.
func (cr *clientRequest) lookupAt(addr string, id idempotency.ID) outcome {
	a := &peerRequest{Kind: lookupKey, Key: cr.key, Claim: id}
	if addr == cr.dataPlane.options.InboundAddr {
		return cr.dataPlane.Inbound.lookupOperation(a, cr.dataPlane.lookupOwnClaim)
	}
	deadline := time.Now().Add(lookupTimeout)
	if cr.deadline.Before(deadline) {
		deadline = cr.deadline
	}
	return cr.dataPlane.peers.do(cr.ctx, addr, a, nil, nil, deadline)
}

// replay returns the response to a repeat from the outcome of a lookup.
func (cr *clientRequest) replay(o outcome) (*Response, errcode.Kind) {
	switch {
	case o.Code == errcode.OK && o.response != nil:
		cr.dataPlane.Counts.Replayed.Add(1)
		return o.response.withAttemptID(cr.request.Header.Get(HeaderAttemptID)), errcode.OK
	case o.Code == errcode.KeyInProgress:
		return nil, errcode.KeyInProgress
	case o.State == idempotency.NotExecuted && o.Code == errcode.KeyContended:
		return nil, errcode.KeyContended
	}
	return nil, errcode.KeyOutcomeUnknown
}

// withAttemptID returns a copy of a response for a repeat of its request, which has an attempt id of its own.
func (a *Response) withAttemptID(id string) *Response {
	copied := *a
	copied.Header = slices.Clone(a.Header)
	for i, f := range copied.Header {
		if f.Name == HeaderAttemptID {
			copied.Header[i].Value = id
		}
	}
	return &copied
}
