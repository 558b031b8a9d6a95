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

// Package reconfig decides how one voter set succeeds another. A voter of the new set takes over the state of the old one from
// the old voters, as soon as anybody tells it that the new set is chosen. It must run on the disk that the voter set names: a
// voter that lost that disk may have voted in the new epoch already, and repairs it like any lost disk.

// formerEpoch describes the epoch that the tables of a replaced voter belong to. They are kept for the voters that take over.
type formerEpoch struct {
	Epoch        uint64   `cbor:"1,keyasint"`
	Index        int      `cbor:"2,keyasint"`
	Incarnations []uint64 `cbor:"3,keyasint"`
}

func (s *voterState) putSeal() storage.Put {
	return storage.Put{Table: tableMeta, Key: []byte("seal"), Value: rpc.Encode(s.seal)}
}

// putReconfig returns the puts of everything that a change of the voter set leaves on disk.
func (s *voterState) putReconfig() []storage.Put {
	puts := []storage.Put{s.putSeal(), putBallot("former", s.inheritedBallot), {Table: tableMeta, Key: []byte("past")}}
	if s.formerEpoch != nil {
		puts[2].Value = rpc.Encode(s.formerEpoch)
	}
	return puts
}

// valueInherited reports whether the accepted value was accepted in a former epoch.
func (s *voterState) valueInherited() bool {
	return !s.inheritedBallot.IsZero() && s.inheritedBallot == s.acceptor.Accepted
}

// reportReadiness reports the state and the disk's ID, ahead of a change of the voter set.
func (s *voterState) reportReadiness(c rpc.Call, m messages.ReadyCall) error {
	r := messages.ReadyReply{State: string(s.state), Epoch: s.voterSet.Epoch, Quorum: s.srv.opts.QuorumMember}
	if s.state != Serving && s.state != NonVoter || s.disk.Stalled() > stalledAfter {
		c.Reply(r, nil)
		return nil
	}
	if m.DryRun {
		c.Reply(r, nil)
		return nil
	}
	if s.diskID == 0 {
		s.diskID = rand.Uint64() | 1
	}
	r.Disk = s.diskID
	s.write([]storage.Put{{Table: tableMeta, Key: []byte("number"), Value: rpc.Encode(s.diskID)}}, func(err error) { reply(c, r, err) })
	return nil
}

// voteSuccessor promises or accepts a successor of the voter set. Accepting one ends the epoch for this voter.
func (s *voterState) voteSuccessor(c rpc.Call, m messages.ProposeVotersCall) error {
	if err := s.requireMember(m.Epoch); err != nil {
		return err
	}
	if s.takingOver {
		return errcode.New(errcode.NotFound, "epoch %d has ended here", m.Epoch)
	}
	if s.registerBusy {
		s.queuedCalls = append(s.queuedCalls, func(s *voterState) { s.replyError(c, s.voteSuccessor(c, m)) })
		return nil
	}
	answer := reconfig.Answer{Origin: s.vouch()}
	if m.Next == nil {
		answer.Granted = s.seal.Prepare(m.B)
	} else {
		answer.Granted = m.Next.Epoch == m.Epoch+1 && s.seal.Accept(m.B, *m.Next)
	}
	answer.Seal = s.seal
	if !answer.Granted {
		c.Reply(answer, nil)
		return nil
	}
	epoch := m.Epoch
	s.write([]storage.Put{s.putSeal()}, func(err error) {
		s.srv.enqueue(func(s *voterState) {
			if err == nil && m.Next != nil && s.voterSet.Epoch == epoch && s.seal.Sealed() && !s.sealDurable {
				s.sealDurable = true
				s.srv.opts.Log("roll", fmt.Sprintf("epoch %d has ended here", epoch))
				s.notifyWatchers()
			}
			reply(c, answer, err)
		})
	})
	return nil
}

// adoptVoterSet handles the call that announces a chosen voter set.
func (s *voterState) adoptVoterSet(c rpc.Call, m messages.AdoptVotersCall) error {
	if m.VoterSet.Epoch == 0 || len(m.VoterSet.Voters) == 0 {
		return errcode.New(errcode.Malformed, "")
	}
	s.learnVoterSet(m.VoterSet, func(err error) {
		reply(c, messages.AdoptVotersReply{State: string(s.state), Epoch: s.voterSet.Epoch}, err)
	})
	return nil
}

// learnVoterSet moves to a chosen voter set if it is newer. In it, this store takes over as a voter, repairs a lost disk, or is
// no voter. done is called on the owner's goroutine.
func (s *voterState) learnVoterSet(r messages.VoterSet, done func(error)) {
	switch {
	case r.Epoch <= s.voterSet.Epoch:
		done(nil)
		return
	case s.disk == nil:
		done(storage.ErrDisk)
		return
	case s.takingOver:
		s.takeoverWaiters = append(s.takeoverWaiters, done)
		return
	case s.registerBusy:
		s.queuedCalls = append(s.queuedCalls, func(s *voterState) { s.learnVoterSet(r, done) })
		return
	}
	index := r.IndexOf(s.srv.opts.Addr)
	if s.state == Repairing && s.recovering { // the repair has to end first
		done(errcode.New(errcode.Recovering, ""))
		return
	}
	successor := s.state == Serving && s.voterSet.Epoch+1 == r.Epoch
	if index >= 0 && s.diskID != 0 && r.Voters[index].Disk == s.diskID && (successor || s.state == NonVoter) {
		s.takingOver = true
		s.takeoverWaiters = append(s.takeoverWaiters, done)
		s.takeOver(r)
		return
	}
	s.enterEpoch(r, done)
}

// enterEpoch moves to a newer epoch without its state.
func (s *voterState) enterEpoch(r messages.VoterSet, done func(error)) {
	if s.state == Serving {
		s.formerEpoch = &formerEpoch{s.voterSet.Epoch, s.index, slices.Clone(s.incarnations)}
	}
	s.voterSet, s.incarnations, s.seal, s.sealDurable = r, nil, reconfig.Seal{}, false
	s.locate()
	if s.index >= 0 {
		s.setState(Repairing)
	} else {
		s.setState(NonVoter)
	}
	s.srv.opts.Log("roll", fmt.Sprintf("epoch %d, here %s", r.Epoch, s.state))
	s.write(append(s.putReconfig(), s.putVoterSet(), s.putIncarnations()), func(err error) {
		s.srv.enqueue(func(s *voterState) {
			s.sealDurable = s.sealDurable || err == nil && s.voterSet.Epoch == r.Epoch && s.formerEpoch != nil
			done(err)
		})
	})
	s.notifyWatchers()
	if s.state == Repairing {
		s.repair()
	}
}

// handover sends the state of the epoch before m.Epoch to a voter that takes over.
func (s *voterState) handover(c rpc.Call, m messages.HandoverCall) error {
	r := s.registerPart(m.Have)
	e := reconfig.Handover{Origin: s.vouch(), Promised: s.acceptor.Promised, Accepted: s.acceptor.Accepted, Chosen: r.chosen}
	switch {
	case s.state == Serving && s.voterSet.Epoch == m.Epoch && s.acceptor.CatchingUp(): // its state alone is incomplete
		return errcode.New(errcode.Recovering, "")
	case s.state == Serving && s.voterSet.Epoch == m.Epoch:
		e.Active = true
	case s.state == Serving && s.voterSet.Epoch+1 == m.Epoch && s.sealDurable:
	case s.formerEpoch != nil && s.formerEpoch.Epoch+1 == m.Epoch && s.sealDurable:
		e.Origin = consensus.Origin{Voter: s.formerEpoch.Index, Incarnations: s.formerEpoch.Incarnations}
	default:
		return errcode.New(errcode.NotFound, "epoch %d, here %d", m.Epoch, s.voterSet.Epoch)
	}
	h := messages.HandoverReply{Handover: e, Inherited: s.valueInherited(), Items: r.items, UpTo: r.upto, Base: r.base, Delta: r.delta}
	if h.UpTo == h.Base {
		h.Claims, h.MoreClaims = s.claimsAfter(m.AfterKey)
	}
	c.Reply(h, nil)
	return nil
}

const (
	handoverTimeout = 500 * time.Millisecond
	handoverRetry   = 10 * time.Millisecond // pause before asking a voter again whose epoch has not ended yet
)

// takeOver collects the state of the old voters, writes it to disk, and then votes in the new epoch.
func (s *voterState) takeOver(r messages.VoterSet) {
	kept := s.state == Serving
	if kept && !s.sealDurable { // it missed the vote: others may need its state
		s.seal.Closed = true
		s.write([]storage.Put{s.putSeal()}, func(err error) {
			s.srv.enqueue(func(s *voterState) {
				if s.sealDurable = err == nil; err != nil {
					s.finishTakeover(r, err)
					return
				}
				s.takeOver(r)
			})
		})
		return
	}
	d := s.disk
	s.srv.runAsync(func() func(*voterState) {
		got, err := s.srv.collectHandover(r)
		var left []storage.Put
		if err == nil && !kept {
			left, err = staleRows(d)
		}
		return func(s *voterState) {
			if err == nil && s.disk == nil {
				err = storage.ErrDisk
			}
			if err != nil {
				s.finishTakeover(r, err)
				return
			}
			s.installHandover(r, got, kept, left)
		}
	})
}

// handedState is the state that one voter handed over.
type handedState struct {
	last   messages.HandoverReply // the last part
	base   configuration.Set      // the value of last.Base
	claims []messages.ClaimCall
}

// collectHandover asks old and new voters for their state until there is enough of it to take over. It blocks.
func (srv *Server) collectHandover(r messages.VoterSet) (got []handedState, err error) {
	var addrs []string
	for _, v := range append(slices.Clone(r.Previous), r.Voters...) {
		if !slices.Contains(addrs, v.Addr) {
			addrs = append(addrs, v.Addr)
		}
	}
	type response struct {
		h    messages.HandoverReply
		addr string
		err  error
	}
	ch := make(chan response, len(addrs))
	ask := func(addr, from string, have configuration.Ballot) (t response) {
		c := rpc.NewClient(srv.opts.Net, addr)
		defer c.Close()
		t.addr = addr
		t.err = c.Call(messages.Handover, messages.HandoverCall{Epoch: r.Epoch, AfterKey: from, Have: have}, &t.h, handoverTimeout)
		return t
	}
	stop := make(chan struct{})
	defer close(stop)
	end := time.Now().Add(handoverTimeout)
	for _, a := range addrs {
		go func() {
			for {
				t := ask(a, "", configuration.Ballot{})
				if t.err == nil || errcode.Of(t.err) != errcode.NotFound || time.Now().After(end) {
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
	var all []response
	var estates []reconfig.Handover
	var take []int
	for range addrs {
		t := <-ch
		if t.err != nil {
			continue
		}
		all, estates = append(all, t), append(estates, t.h.Handover)
		if take = reconfig.SelectHandovers(len(r.Previous), estates); take != nil {
			break
		}
	}
	if take == nil {
		return nil, errcode.New(errcode.NoQuorum, "only %d voters handed over the state of epoch %d", len(all), r.Epoch-1)
	}
	for _, i := range take {
		h := all[i].h
		state := handedState{h, configuration.SetOf(h.Items...), h.Claims}
		for h.MoreClaims || h.UpTo != h.Base {
			from := ""
			if h.MoreClaims {
				from = h.Claims[len(h.Claims)-1].Key
			}
			t := ask(all[i].addr, from, h.UpTo)
			if t.err != nil {
				return nil, t.err
			}
			previous := h.Handover
			if h = t.h; h.Handover.Active != previous.Active || !slices.Equal(h.Handover.Origin.Incarnations, previous.Origin.Incarnations) ||
				!continues(h.Handover.Chosen, h.Handover.Accepted, previous.Chosen, previous.Accepted) {
				return nil, errors.New("the voter took over, or lost its disk, while it handed over its state")
			}
			state = handedState{h, state.base.With(h.Items...), append(state.claims, h.Claims...)}
		}
		got = append(got, state)
	}
	return got, nil
}

// installHandover writes the state that was handed over to disk. kept tells that this store is a voter of both sets: until the
// last write it keeps the state that others may need. Claims are only added, and the register changes in one write with the
// voter set, unless too much is missing for one write. In that case it is marked as catching up until then, which costs others
// nothing: the missing items are chosen, and a majority without this voter holds them. left are deletions to write first.
func (s *voterState) installHandover(r messages.VoterSet, got []handedState, kept bool, left []storage.Put) {
	estates, take := make([]reconfig.Handover, len(got)), make([]int, len(got))
	acc := consensus.NewAcceptor()
	for i, o := range got {
		estates[i], take[i] = o.last.Handover, i
		if c := o.last.Handover.Chosen; acc.Chosen.Less(c) {
			acc.Chosen, acc.Base = c, o.base
		}
	}
	var at int
	acc.Promised, acc.Accepted, _, at = reconfig.Inherit(estates, take)
	delta := consensus.ChangedSince(got[at].base.With(got[at].last.Delta...), acc.Chosen)
	acc.Value = acc.Base.With(delta...)
	if !kept {
		s.formerEpoch, s.seal, s.sealDurable = nil, reconfig.Seal{}, false
		s.resetContent()
		left = append(s.putReconfig(), left...)
	}
	failedWrites := s.srv.failedClaimWrites.Load() // if it has grown, all claims that were handed over are written again
	var claims []storage.Put
	for _, o := range got {
		for _, c := range o.claims {
			if id, news := s.claims.Restore(s.now(), c.Key, c.ID); news || failedWrites != s.restoredClaimWrites {
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
	for i := range acc.Base.All() {
		if old, ok := s.acceptor.Base.Get(i.Key); !ok || old.Version != i.Version || old.Ballot != i.Ballot {
			put(putItem(i))
		}
	}
	for i := range s.acceptor.Base.All() {
		if _, ok := acc.Base.Get(i.Key); !ok {
			put(storage.Put{Table: tableItems, Key: itemKey(i.Key)})
		}
	}
	deltaPuts, deltaRows := s.putDelta(delta)
	for _, p := range deltaPuts {
		put(p)
	}
	former := acc.Accepted
	if e := estates[at]; e.Active && !got[at].last.Inherited {
		former = configuration.Ballot{}
	}
	writeLast := func(s *voterState, puts []storage.Put) {
		next := &voterState{srv: s.srv, voterSet: r, inheritedBallot: former}
		next.locate()
		for i := range next.incarnations {
			next.incarnations[i] = 1
		}
		end := append(puts, putBallots(acc)...)
		end = append(append(end, next.putReconfig()...), next.putVoterSet(), next.putIncarnations())
		s.write(end, func(err error) {
			s.srv.enqueue(func(s *voterState) {
				if err == nil {
					s.acceptor, s.deltaRows, s.inheritedBallot, s.formerEpoch, s.seal, s.sealDurable = acc, deltaRows, former, nil, reconfig.Seal{}, false
					s.voterSet, s.incarnations, s.index = r, next.incarnations, next.index
					s.leases = lease.NewGranter(s.now()) // leases granted in the old epoch expire first
					s.srv.opts.Log("roll", fmt.Sprintf("epoch %d: took over from %d, %d items, %d keys", r.Epoch, len(got), acc.Value.Len(), s.claims.Len()))
				}
				s.finishTakeover(r, err)
			})
		})
	}
	writeAll := func(puts []storage.Put, then func(*voterState)) {
		if len(puts) == 0 {
			s.restoredClaimWrites = failedWrites
			then(s)
			return
		}
		s.writeInParts(puts, func(s *voterState, err error) {
			if err != nil {
				s.srv.failedClaimWrites.Add(1)
				s.finishTakeover(r, err)
				return
			}
			s.restoredClaimWrites = failedWrites
			then(s)
		})
	}
	target := acc.Chosen
	if target.Less(s.acceptor.Target) {
		target = s.acceptor.Target
	}
	switch {
	case !kept: // nobody needs what is on this disk
		writeAll(append(append(left, claims...), items...), func(s *voterState) { writeLast(s, nil) })
	case size <= maxRegisterWrite || !s.acceptor.Accepted.Less(target):
		writeAll(claims, func(s *voterState) { writeLast(s, items) })
	default:
		writeAll(claims, func(s *voterState) {
			s.discardRegister(target, deltaRows, func(s *voterState, err error) {
				if err != nil {
					s.finishTakeover(r, err)
					return
				}
				d := s.disk
				s.srv.runAsync(func() func(*voterState) {
					stale, err := deletions(d, tableItems, tableDelta)
					return func(s *voterState) {
						if err != nil || s.disk == nil {
							s.finishTakeover(r, cmp.Or(err, storage.ErrDisk))
							return
						}
						for i := range acc.Base.All() {
							stale = append(stale, putItem(i))
						}
						for _, p := range deltaPuts {
							if p.Value != nil {
								stale = append(stale, p)
							}
						}
						s.writeInParts(stale, func(s *voterState, err error) {
							if err != nil {
								s.finishTakeover(r, err)
								return
							}
							writeLast(s, nil)
						})
					}
				})
			})
		})
	}
}

// maxRegisterWrite bounds the register change that a voter of both sets makes in one write.
const maxRegisterWrite = storage.MaxWrite - 64<<10

// discardRegister replaces the register by an empty one that catches up with a chosen value, higher than the accepted one. rows
// is the number of rows that the new delta will have on disk.
func (s *voterState) discardRegister(target configuration.Ballot, rows int, done func(*voterState, error)) {
	acc := consensus.NewAcceptor()
	acc.Promised, acc.Target = s.acceptor.Promised, target
	if acc.Promised.Less(target) {
		acc.Promised = target
	}
	s.writeRegister(putBallots(acc), func(s *voterState, err error) {
		if err == nil {
			s.acceptor, s.deltaRows = acc, max(rows, s.deltaRows)
		}
		done(s, err)
	})
}

// finishTakeover ends a takeover, and calls those who wait for its result.
func (s *voterState) finishTakeover(r messages.VoterSet, err error) {
	s.takingOver = false
	if err == nil {
		s.setState(Serving)
		s.notifyWatchers()
	} else {
		s.srv.opts.Log("roll", fmt.Sprintf("taking over epoch %d failed: %v", r.Epoch, err))
	}
	waiters := s.takeoverWaiters
	s.takeoverWaiters = nil
	for _, done := range waiters {
		done(err)
	}
}
