package store

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/errcode"
	"saltmast/internal/lease"
	"saltmast/internal/messages"
	"saltmast/internal/reconfig"
	"saltmast/internal/rpc"
	"saltmast/internal/storage"
)

// One roll follows another as package relief decides. A voter of the new roll takes over the books of the old by itself, from
// the old voters, as soon as it hears from anybody that the roll is chosen. It needs to be on the disk that the roll names: one
// that lost it may have spoken in the new epoch already, and makes up for that as for any lost disk.

// formerEpoch is the epoch that the books are of, at a voter that was relieved. They are kept for those that take over.
type formerEpoch struct {
	Epoch        uint64   `cbor:"1,keyasint"`
	Index        int      `cbor:"2,keyasint"`
	Incarnations []uint64 `cbor:"3,keyasint"`
}

func (b *voterState) putSeal() storage.Put {
	return storage.Put{Table: tableMeta, Key: []byte("seal"), Value: rpc.Encode(b.seal)}
}

// putReconfig is all on disk that a change of the roll leaves there.
func (b *voterState) putReconfig() []storage.Put {
	puts := []storage.Put{b.putSeal(), putBallot("former", b.inheritedBallot), {Table: tableMeta, Key: []byte("past")}}
	if b.formerEpoch != nil {
		puts[2].Value = rpc.Encode(b.formerEpoch)
	}
	return puts
}

// valueInherited reports whether the accepted value was accepted in a former epoch.
func (b *voterState) valueInherited() bool {
	return !b.inheritedBallot.IsZero() && b.inheritedBallot == b.acceptor.Accepted
}

// reportReadiness tells how it stands, before a change of the roll.
func (b *voterState) reportReadiness(c rpc.Call, m messages.ReadyCall) error {
	r := messages.Readied{State: string(b.state), Epoch: b.voterSet.Epoch, Quorum: b.srv.opts.QuorumMember}
	if b.state != Serving && b.state != NonVoter || b.disk.Stalled() > stalledAfter {
		c.Reply(r, nil)
		return nil
	}
	if m.Dry {
		c.Reply(r, nil)
		return nil
	}
	if b.diskID == 0 {
		b.diskID = rand.Uint64() | 1
	}
	r.Disk = b.diskID
	b.write([]storage.Put{{Table: tableMeta, Key: []byte("number"), Value: rpc.Encode(b.diskID)}}, func(err error) { reply(c, r, err) })
	return nil
}

// voteSuccessor promises, or accepts a successor of the roll, by which this voter is sealed.
func (b *voterState) voteSuccessor(c rpc.Call, m messages.SucceedCall) error {
	if err := b.requireMember(m.Epoch); err != nil {
		return err
	}
	if b.takingOver {
		return errcode.New(errcode.Gone, "epoch %d has ended here", m.Epoch)
	}
	if b.registerBusy {
		b.queuedCalls = append(b.queuedCalls, func(b *voterState) { b.replyError(c, b.voteSuccessor(c, m)) })
		return nil
	}
	answer := reconfig.Answer{Vouch: b.vouch()}
	if m.Next == nil {
		answer.Given = b.seal.Prepare(m.B)
	} else {
		answer.Given = m.Next.Epoch == m.Epoch+1 && b.seal.Accept(m.B, *m.Next)
	}
	answer.Seal = b.seal
	if !answer.Given {
		c.Reply(answer, nil)
		return nil
	}
	epoch := m.Epoch
	b.write([]storage.Put{b.putSeal()}, func(err error) {
		b.srv.enqueue(func(b *voterState) {
			if err == nil && m.Next != nil && b.voterSet.Epoch == epoch && b.seal.Shut() && !b.sealDurable {
				b.sealDurable = true
				b.srv.opts.Log("roll", fmt.Sprintf("epoch %d has ended here", epoch))
				b.notifyWatchers()
			}
			reply(c, answer, err)
		})
	})
	return nil
}

// adoptVoterSet hears of a roll that is chosen.
func (b *voterState) adoptVoterSet(c rpc.Call, m messages.RelieveCall) error {
	if m.Roll.Epoch == 0 || len(m.Roll.Voters) == 0 {
		return errcode.New(errcode.Malformed, "")
	}
	b.learnVoterSet(m.Roll, func(err error) {
		reply(c, messages.Relieved{State: string(b.state), Epoch: b.voterSet.Epoch}, err)
	})
	return nil
}

// learnVoterSet takes a roll that is chosen, if it is newer: it takes an office over there, or makes up for a lost disk, or goes.
// done is called on the owner's goroutine.
func (b *voterState) learnVoterSet(r messages.Roll, done func(error)) {
	switch {
	case r.Epoch <= b.voterSet.Epoch:
		done(nil)
		return
	case b.disk == nil:
		done(storage.ErrDisk)
		return
	case b.takingOver:
		b.takeoverWaiters = append(b.takeoverWaiters, done)
		return
	case b.registerBusy:
		b.queuedCalls = append(b.queuedCalls, func(b *voterState) { b.learnVoterSet(r, done) })
		return
	}
	at := r.Place(b.srv.opts.Addr)
	if b.state == Repairing && b.recovering { // its repair ends first
		done(errcode.New(errcode.Repairing, ""))
		return
	}
	next := b.state == Serving && b.voterSet.Epoch+1 == r.Epoch
	if at >= 0 && b.diskID != 0 && r.Voters[at].Disk == b.diskID && (next || b.state == NonVoter) {
		b.takingOver = true
		b.takeoverWaiters = append(b.takeoverWaiters, done)
		b.takeOver(r)
		return
	}
	b.enterEpoch(r, done)
}

// enterEpoch goes to a newer epoch without books for it.
func (b *voterState) enterEpoch(r messages.Roll, done func(error)) {
	if b.state == Serving {
		b.formerEpoch = &formerEpoch{b.voterSet.Epoch, b.index, slices.Clone(b.incarnations)}
	}
	b.voterSet, b.incarnations, b.seal, b.sealDurable = r, nil, reconfig.Seal{}, false
	b.locate()
	if b.index >= 0 {
		b.setState(Repairing)
	} else {
		b.setState(NonVoter)
	}
	b.srv.opts.Log("roll", fmt.Sprintf("epoch %d, here %s", r.Epoch, b.state))
	b.write(append(b.putReconfig(), b.putVoterSet(), b.putIncarnations()), func(err error) {
		b.srv.enqueue(func(b *voterState) {
			b.sealDurable = b.sealDurable || err == nil && b.voterSet.Epoch == r.Epoch && b.formerEpoch != nil
			done(err)
		})
	})
	b.notifyWatchers()
	if b.state == Repairing {
		b.repair()
	}
}

// handover tells the books of the epoch before the one named to a voter that takes over.
func (b *voterState) handover(c rpc.Call, m messages.HandoverCall) error {
	r := b.registerPart(m.Have)
	e := reconfig.Estate{Vouch: b.vouch(), Promised: b.acceptor.Promised, Accepted: b.acceptor.Accepted, Chosen: r.chosen}
	switch {
	case b.state == Serving && b.voterSet.Epoch == m.Epoch && b.acceptor.CatchesUp(): // its books alone would not do
		return errcode.New(errcode.Repairing, "")
	case b.state == Serving && b.voterSet.Epoch == m.Epoch:
		e.Holds = true
	case b.state == Serving && b.voterSet.Epoch+1 == m.Epoch && b.sealDurable:
	case b.formerEpoch != nil && b.formerEpoch.Epoch+1 == m.Epoch && b.sealDurable:
		e.Vouch = consensus.Vouch{By: b.formerEpoch.Index, Incs: b.formerEpoch.Incarnations}
	default:
		return errcode.New(errcode.Gone, "epoch %d, here %d", m.Epoch, b.voterSet.Epoch)
	}
	h := messages.Handed{Estate: e, Former: b.valueInherited(), Items: r.items, Upto: r.upto, Base: r.base, Delta: r.delta}
	if h.Upto == h.Base {
		h.Claims, h.More = b.claimsAfter(m.From)
	}
	c.Reply(h, nil)
	return nil
}

const (
	handoverTimeout = 500 * time.Millisecond
	handoverRetry   = 10 * time.Millisecond // an old voter that is about to hand over is asked again
)

// takeOver takes the books over that the old voters of a chosen roll hand out, puts them on disk, and speaks in the new epoch.
func (b *voterState) takeOver(r messages.Roll) {
	kept := b.state == Serving
	if kept && !b.sealDurable { // it slept through the vote: others may need its books
		b.seal.Closed = true
		b.write([]storage.Put{b.putSeal()}, func(err error) {
			b.srv.enqueue(func(b *voterState) {
				if b.sealDurable = err == nil; err != nil {
					b.finishTakeover(r, err)
					return
				}
				b.takeOver(r)
			})
		})
		return
	}
	d := b.disk
	b.srv.runAsync(func() func(*voterState) {
		got, err := b.srv.collectHandover(r)
		var left []storage.Put
		if err == nil && !kept {
			left, err = staleRows(d)
		}
		return func(b *voterState) {
			if err == nil && b.disk == nil {
				err = storage.ErrDisk
			}
			if err != nil {
				b.finishTakeover(r, err)
				return
			}
			b.installHandover(r, got, kept, left)
		}
	})
}

// handedState is what one voter handed over.
type handedState struct {
	last   messages.Handed   // the last part
	base   configuration.Set // the value of h.Base
	claims []messages.ClaimCall
}

// collectHandover asks for books, until there are enough of them.
func (p *Server) collectHandover(r messages.Roll) (got []handedState, err error) {
	var addrs []string
	for _, v := range append(slices.Clone(r.Was), r.Voters...) {
		if !slices.Contains(addrs, v.Addr) {
			addrs = append(addrs, v.Addr)
		}
	}
	type told struct {
		h    messages.Handed
		addr string
		err  error
	}
	ch := make(chan told, len(addrs))
	ask := func(addr, from string, have configuration.Ballot) (t told) {
		c := rpc.NewClient(p.opts.Net, addr)
		defer c.Close()
		t.addr = addr
		t.err = c.Call(messages.Handover, messages.HandoverCall{Epoch: r.Epoch, From: from, Have: have}, &t.h, handoverTimeout)
		return t
	}
	stop := make(chan struct{})
	defer close(stop)
	end := time.Now().Add(handoverTimeout)
	for _, a := range addrs {
		go func() {
			for {
				t := ask(a, "", configuration.Ballot{})
				if t.err == nil || errcode.Of(t.err) != errcode.Gone || time.Now().After(end) {
					ch <- t
					return
				}
				select {
				case <-time.After(handoverRetry):
				case <-stop:
					return
				}
			}
		}()
	}
	var all []told
	var estates []reconfig.Estate
	var take []int
	for range addrs {
		t := <-ch
		if t.err != nil {
			continue
		}
		all, estates = append(all, t), append(estates, t.h.Estate)
		if take = reconfig.Enough(len(r.Was), estates); take != nil {
			break
		}
	}
	if take == nil {
		return nil, errcode.New(errcode.CoreOut, "%d hand over epoch %d", len(all), r.Epoch-1)
	}
	for _, i := range take {
		h := all[i].h
		o := handedState{h, configuration.SetOf(h.Items...), h.Claims}
		for h.More || h.Upto != h.Base {
			from := ""
			if h.More {
				from = h.Claims[len(h.Claims)-1].Key
			}
			t := ask(all[i].addr, from, h.Upto)
			if t.err != nil {
				return nil, t.err
			}
			was := h.Estate
			if h = t.h; h.Estate.Holds != was.Holds || !slices.Equal(h.Estate.Vouch.Incs, was.Vouch.Incs) ||
				!continues(h.Estate.Chosen, h.Estate.Accepted, was.Chosen, was.Accepted) {
				return nil, errors.New("it took over, or lost its disk, while it handed over")
			}
			o = handedState{h, o.base.With(h.Items...), append(o.claims, h.Claims...)}
		}
		got = append(got, o)
	}
	return got, nil
}

// installHandover puts what was handed over on disk. A voter of both rolls keeps what others may need of its own books until the last
// write: claims are only added, and the register changes in one write with the roll, unless it lacks much. Then it is one that
// catches up until then, which is no loss to others: what it lacks is chosen, and lives with a majority without it.
func (b *voterState) installHandover(r messages.Roll, got []handedState, kept bool, left []storage.Put) {
	estates, take := make([]reconfig.Estate, len(got)), make([]int, len(got))
	acc := consensus.NewAcceptor()
	for i, o := range got {
		estates[i], take[i] = o.last.Estate, i
		if c := o.last.Estate.Chosen; acc.Chosen.Less(c) {
			acc.Chosen, acc.Stands = c, o.base
		}
	}
	var at int
	acc.Promised, acc.Accepted, _, at = reconfig.Inherit(estates, take)
	delta := consensus.Since(got[at].base.With(got[at].last.Delta...), acc.Chosen)
	acc.Value = acc.Stands.With(delta...)
	if !kept {
		b.formerEpoch, b.seal, b.sealDurable = nil, reconfig.Seal{}, false
		b.resetContent()
		left = append(b.putReconfig(), left...)
	}
	adrift := b.srv.failedClaimWrites.Load() // whatever is told is written again then
	var claims []storage.Put
	for _, o := range got {
		for _, c := range o.claims {
			if id, news := b.claims.Restore(b.now(), c.Key, c.ID); news || adrift != b.restoredClaimWrites {
				claims = append(claims, putClaim(c.Key, id))
			}
		}
	}
	var items []storage.Put
	size := 0
	put := func(p storage.Put) {
		items = append(items, p)
		size += len(p.Key) + len(p.Value)
	}
	for i := range acc.Stands.All() {
		if old, ok := b.acceptor.Stands.Get(i.Key); !ok || old.Version != i.Version || old.Ballot != i.Ballot {
			put(putItem(i))
		}
	}
	for i := range b.acceptor.Stands.All() {
		if _, ok := acc.Stands.Get(i.Key); !ok {
			put(storage.Put{Table: tableItems, Key: itemKey(i.Key)})
		}
	}
	bundles, n := b.putDelta(delta)
	for _, p := range bundles {
		put(p)
	}
	former := acc.Accepted
	if e := estates[at]; e.Holds && !got[at].last.Former {
		former = configuration.Ballot{}
	}
	last := func(b *voterState, puts []storage.Put) {
		next := &voterState{srv: b.srv, voterSet: r, inheritedBallot: former}
		next.locate()
		for i := range next.incarnations {
			next.incarnations[i] = 1
		}
		end := append(puts, putBallots(acc)...)
		end = append(append(end, next.putReconfig()...), next.putVoterSet(), next.putIncarnations())
		b.write(end, func(err error) {
			b.srv.enqueue(func(b *voterState) {
				if err == nil {
					b.acceptor, b.deltaRows, b.inheritedBallot, b.formerEpoch, b.seal, b.sealDurable = acc, n, former, nil, reconfig.Seal{}, false
					b.voterSet, b.incarnations, b.index = r, next.incarnations, next.index
					b.leases = lease.NewGranter(b.now()) // what the old epoch granted comes to its end first
					b.srv.opts.Log("roll", fmt.Sprintf("epoch %d: took over from %d, %d items, %d keys", r.Epoch, len(got), acc.Value.Len(), b.claims.Len()))
				}
				b.finishTakeover(r, err)
			})
		})
	}
	parts := func(puts []storage.Put, then func(*voterState)) {
		if len(puts) == 0 {
			b.restoredClaimWrites = adrift
			then(b)
			return
		}
		b.writeInParts(puts, func(b *voterState, err error) {
			if err != nil {
				b.srv.failedClaimWrites.Add(1)
				b.finishTakeover(r, err)
				return
			}
			b.restoredClaimWrites = adrift
			then(b)
		})
	}
	target := acc.Chosen
	if target.Less(b.acceptor.Target) {
		target = b.acceptor.Target
	}
	switch {
	case !kept: // nobody needs what is there
		parts(append(append(left, claims...), items...), func(b *voterState) { last(b, nil) })
	case size <= maxRegisterWrite || !b.acceptor.Accepted.Less(target):
		parts(claims, func(b *voterState) { last(b, items) })
	default:
		parts(claims, func(b *voterState) {
			b.discardRegister(target, n, func(b *voterState, err error) {
				if err != nil {
					b.finishTakeover(r, err)
					return
				}
				d := b.disk
				b.srv.runAsync(func() func(*voterState) {
					stale, err := deletions(d, tableItems, tableDelta)
					return func(b *voterState) {
						if err != nil || b.disk == nil {
							b.finishTakeover(r, cmp.Or(err, storage.ErrDisk))
							return
						}
						for i := range acc.Stands.All() {
							stale = append(stale, putItem(i))
						}
						for _, p := range bundles {
							if p.Value != nil {
								stale = append(stale, p)
							}
						}
						b.writeInParts(stale, func(b *voterState, err error) {
							if err != nil {
								b.finishTakeover(r, err)
								return
							}
							last(b, nil)
						})
					}
				})
			})
		})
	}
}

// maxRegisterWrite bounds what a voter of both rolls changes of its register in one write.
const maxRegisterWrite = storage.MaxWrite - 64<<10

// discardRegister makes this member one that holds nothing yet of a chosen value, higher than what it accepted. n: bundles of the delta
// that will come to disk.
func (b *voterState) discardRegister(target configuration.Ballot, n int, done func(*voterState, error)) {
	acc := consensus.NewAcceptor()
	acc.Promised, acc.Target = b.acceptor.Promised, target
	if acc.Promised.Less(target) {
		acc.Promised = target
	}
	b.writeRegister(putBallots(acc), func(b *voterState, err error) {
		if err == nil {
			b.acceptor, b.deltaRows = acc, max(n, b.deltaRows)
		}
		done(b, err)
	})
}

// finishTakeover ends a taking over, and tells those that wait for it.
func (b *voterState) finishTakeover(r messages.Roll, err error) {
	b.takingOver = false
	if err == nil {
		b.setState(Serving)
		b.notifyWatchers()
	} else {
		b.srv.opts.Log("roll", fmt.Sprintf("epoch %d is not taken over: %v", r.Epoch, err))
	}
	takers := b.takeoverWaiters
	b.takeoverWaiters = nil
	for _, f := range takers {
		f(err)
	}
}
