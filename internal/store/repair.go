package store

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/errcode"
	"saltmast/internal/idempotency"
	"saltmast/internal/messages"
	"saltmast/internal/reconfig"
	"saltmast/internal/rpc"
	"saltmast/internal/storage"
)

// A member that lost its disk may have promised, accepted and granted things that it no longer knows. It does not vote until it
// has read the state of enough others that every majority it was ever part of includes one of them. Each of these writes the
// member's new incarnation to disk before it answers, so that votes from before and after the loss are never counted together
// (consensus.Sound). With three members, both others are needed.

// recoveredState is the state that one other member sent.
type recoveredState struct {
	last   messages.RecoverReply // the last part
	claims []messages.ClaimCall
	base   configuration.Set // the value of last.Base
}

const (
	recoveryTimeout  = 700 * time.Millisecond
	claimsPerMessage = 2000
)

// serveRecovery sends the state of this member to one that lost its disk.
func (s *voterState) serveRecovery(c rpc.Call, m messages.RecoverCall) error {
	s.srv.Counts.Recoveries.Add(1)
	if s.voterSet.Epoch == 0 {
		return errcode.New(errcode.NoQuorum, "%s", s.state)
	}
	member := s.voterSet.IndexOf(m.Addr)
	if m.Incarnation == 0 || member < 0 || s.index < 0 {
		c.Reply(messages.RecoverReply{Origin: s.vouch(), VoterSet: s.voterSet}, nil)
		return nil
	}
	if s.state != Serving {
		return errcode.New(errcode.Recovering, "")
	}
	if s.registerBusy {
		s.queuedCalls = append(s.queuedCalls, func(s *voterState) { s.replyError(c, s.serveRecovery(c, m)) })
		return nil
	}
	if s.incarnations[member] > m.Incarnation {
		return errcode.New(errcode.HigherBallot, "incarnation %d, here %d", m.Incarnation, s.incarnations[member])
	}
	s.incarnations[member] = m.Incarnation
	s.write([]storage.Put{s.putIncarnations()}, func(err error) {
		if err != nil {
			reply(c, nil, err)
			return
		}
		s.srv.enqueue(func(s *voterState) {
			if s.state != Serving { // this member's own disk was given up meanwhile
				c.Reply(nil, errcode.New(errcode.Recovering, ""))
				return
			}
			c.Reply(s.recoveryReply(m), nil)
		})
	})
	return nil
}

// recoveryReply returns the requested part of this member's state: first the items, then the claims in the order of their keys.
func (s *voterState) recoveryReply(m messages.RecoverCall) messages.RecoverReply {
	r := s.registerPart(m.Have)
	t := messages.RecoverReply{Origin: s.vouch(), VoterSet: s.voterSet, Promised: s.acceptor.Promised, Accepted: s.acceptor.Accepted, Chosen: r.chosen,
		Items: r.items, UpTo: r.upto, Base: r.base, Delta: r.delta, Inherited: s.valueInherited()}
	if s.seal.Sealed() || !s.seal.Promised.IsZero() {
		seal := s.seal
		t.Seal = &seal
	}
	if t.UpTo == t.Base {
		t.Claims, t.MoreClaims = s.claimsAfter(m.AfterKey)
	}
	return t
}

// registerPart is a part of the register, as sent to a member that takes it over.
type registerPart struct {
	chosen configuration.Ballot // of the base; zero: the base is only accepted
	base   configuration.Ballot
	upto   configuration.Ballot
	items  []configuration.Item // of the base, of ballots up to upto
	delta  []configuration.Item // what the accepted value changed after the base; sent with the last part
}

// registerPart returns the part that follows ballot have. A member that catches up holds no chosen value.
func (s *voterState) registerPart(have configuration.Ballot) (r registerPart) {
	from := s.acceptor.Base
	if r.chosen, r.base = s.acceptor.Chosen, s.acceptor.Chosen; s.acceptor.CatchingUp() {
		r.chosen, r.base, from = configuration.Ballot{}, s.acceptor.Accepted, s.acceptor.Value
	}
	p := consensus.NewPage(from, r.base, have)
	if r.items, r.upto = p.Items, p.UpTo; r.upto == r.base {
		r.delta = consensus.ChangedSince(s.acceptor.Value, r.base)
	}
	return r
}

// continues reports whether a part of a register continues the previous one. Parts of a value that is only accepted must all be
// of the same value.
func continues(chosen, accepted, wasChosen, wasAccepted configuration.Ballot) bool {
	return !wasChosen.IsZero() && !chosen.IsZero() || chosen == wasChosen && accepted == wasAccepted
}

// claimsAfter returns the next part of the claims, with keys after from, and whether there are more.
func (s *voterState) claimsAfter(from string) (claims []messages.ClaimCall, more bool) {
	s.claims.All(func(key string, id idempotency.ID) {
		if key > from {
			claims = append(claims, messages.ClaimCall{Key: key, ID: id})
		}
	})
	slices.SortFunc(claims, func(x, y messages.ClaimCall) int {
		if x.Key < y.Key {
			return -1
		}
		return 1
	})
	if len(claims) > claimsPerMessage {
		claims, more = claims[:claimsPerMessage], true
	}
	return claims, more
}

// repair asks others for the voter set, or for everything that this member has lost. It runs off the owner's goroutine and ends
// when its result is on disk. Only one runs at a time: if the next began earlier, the first could still complete and leave this
// member with an incarnation that others know to be superseded.
func (s *voterState) repair() {
	if s.recovering || s.disk == nil {
		return
	}
	s.recovering = true
	voterSet, index, state, d := s.voterSet, s.index, s.state, s.disk
	var addrs []string
	if state == Repairing {
		for i, v := range voterSet.Voters {
			if i != index {
				addrs = append(addrs, v.Addr)
			}
		}
	} else {
		for _, seed := range s.srv.opts.Seeds() {
			if seed != s.srv.opts.Addr {
				addrs = append(addrs, seed)
			}
		}
	}
	go func() {
		var f func(*voterState)
		if state == Repairing {
			f = s.srv.collectRecovery(addrs, voterSet, index, d)
		} else {
			f = s.srv.findVoterSet(addrs)
		}
		s.srv.owner.Send(func(s *voterState) {
			if f == nil {
				s.recovering = false
				return
			}
			f(s)
		})
	}()
}

// askAll makes one call to each address and returns the successful answers with their addresses.
func askAll[T any](srv *Server, addrs []string, kind uint8, call any, wait time.Duration) (out []T, from []string) {
	type response struct {
		v    T
		addr string
		err  error
	}
	ch := make(chan response, len(addrs))
	for _, a := range addrs {
		go func() {
			c := rpc.NewClient(srv.opts.Net, a)
			defer c.Close()
			t := response{addr: a}
			t.err = c.Call(kind, call, &t.v, wait)
			ch <- t
		}()
	}
	for range addrs {
		if t := <-ch; t.err == nil {
			out, from = append(out, t.v), append(from, t.addr)
		}
	}
	return out, from
}

// findVoterSet asks others for the newest voter set. It returns nil if nobody knows one.
func (srv *Server) findVoterSet(addrs []string) func(*voterState) {
	answers, _ := askAll[messages.RecoverReply](srv, addrs, messages.Recover, messages.RecoverCall{Addr: srv.opts.Addr}, recoveryTimeout)
	var voterSet messages.VoterSet
	for _, t := range answers {
		if t.VoterSet.Epoch > voterSet.Epoch {
			voterSet = t.VoterSet
		}
	}
	if voterSet.Epoch == 0 {
		return nil
	}
	return func(s *voterState) {
		s.recovering = false
		if s.voterSet.Epoch >= voterSet.Epoch || s.disk == nil {
			return
		}
		if s.takingOver { // the takeover brings the voter set
			return
		}
		s.voterSet = voterSet
		s.locate()
		s.write([]storage.Put{s.putVoterSet(), s.putIncarnations()}, func(error) {}) // if this fails, it is asked for again
		if s.index >= 0 {
			s.setState(Repairing)
			s.repair()
		} else {
			s.setState(NonVoter)
		}
		s.notifyWatchers()
	}
}

// collectRecovery reads the state of the other members under a new incarnation. It returns the command that restores it, or
// nil if too few answered.
func (srv *Server) collectRecovery(addrs []string, voterSet messages.VoterSet, index int, d disk) func(*voterState) {
	n := len(voterSet.Voters)
	need := n - consensus.Majority(n) + 1 // fewer could miss a majority that this member was part of
	known, _ := askAll[messages.RecoverReply](srv, addrs, messages.Recover, messages.RecoverCall{Addr: srv.opts.Addr}, recoveryTimeout)
	for _, k := range known {
		if k.VoterSet.Epoch > voterSet.Epoch {
			return func(s *voterState) {
				s.recovering = false
				s.learnVoterSet(k.VoterSet, func(error) {})
			}
		}
	}
	if len(known) < need {
		return nil
	}
	var incarnation uint64
	for _, k := range known {
		if index < len(k.Origin.Incarnations) {
			incarnation = max(incarnation, k.Origin.Incarnations[index])
		}
	}
	incarnation++
	var got []recoveredState
	first, from := askAll[messages.RecoverReply](srv, addrs, messages.Recover, messages.RecoverCall{Addr: srv.opts.Addr, Incarnation: incarnation}, recoveryTimeout)
	for i, m := range first {
		state := recoveredState{last: m, claims: m.Claims, base: configuration.SetOf(m.Items...)}
		c := rpc.NewClient(srv.opts.Net, from[i])
		for m.MoreClaims || m.UpTo != m.Base {
			call := messages.RecoverCall{Addr: srv.opts.Addr, Incarnation: incarnation, Have: m.UpTo}
			if m.MoreClaims {
				call.AfterKey = m.Claims[len(m.Claims)-1].Key
			}
			m = messages.RecoverReply{}
			if err := c.Call(messages.Recover, call, &m, recoveryTimeout); err != nil {
				c.Close()
				return nil
			}
			if !continues(m.Chosen, m.Accepted, state.last.Chosen, state.last.Accepted) {
				c.Close()
				return nil
			}
			state.last, state.claims, state.base = m, append(state.claims, m.Claims...), state.base.With(m.Items...)
		}
		c.Close()
		if m.Origin.Voter >= 0 && m.VoterSet.Epoch == voterSet.Epoch {
			got = append(got, state)
		}
	}
	if len(got) < need {
		return nil
	}
	left, err := staleRows(d)
	if err != nil {
		srv.opts.Log("repair", err.Error())
		return nil
	}
	return func(s *voterState) { s.restore(incarnation, got, left) }
}

// restore merges the state of the other members and writes it to disk, after the deletions in left. Then this member votes again.
func (s *voterState) restore(incarnation uint64, got []recoveredState, left []storage.Put) {
	if s.state != Repairing || s.disk == nil {
		s.recovering = false
		return
	}
	s.resetContent()
	s.seal, s.sealDurable, s.formerEpoch, s.inheritedBallot = reconfig.Seal{}, false, nil, configuration.Ballot{}
	incarnations := make([]uint64, len(s.voterSet.Voters))
	incarnations[s.index] = incarnation
	voted := false // a member accepted the value in this epoch
	var value configuration.Set
	for _, g := range got {
		for i, k := range g.last.Origin.Incarnations {
			if i < len(incarnations) && i != s.index {
				incarnations[i] = max(incarnations[i], k)
			}
		}
		if s.acceptor.Promised.Less(g.last.Promised) {
			s.acceptor.Promised = g.last.Promised
		}
		if s.acceptor.Chosen.Less(g.last.Chosen) {
			s.acceptor.Chosen, s.acceptor.Base = g.last.Chosen, g.base
		}
		if s.acceptor.Accepted.Less(g.last.Accepted) {
			s.acceptor.Accepted, voted = g.last.Accepted, false
			value = g.base.With(g.last.Delta...)
		}
		voted = voted || g.last.Accepted == s.acceptor.Accepted && !g.last.Inherited
		if g.last.Seal != nil {
			s.seal.Learn(*g.last.Seal)
		}
		for _, c := range g.claims {
			s.claims.Restore(s.now(), c.Key, c.ID)
		}
	}
	if !voted {
		s.inheritedBallot = s.acceptor.Accepted
	}
	delta := consensus.ChangedSince(value, s.acceptor.Chosen)
	s.acceptor.Value = s.acceptor.Base.With(delta...)
	puts, rows := s.putDelta(delta)
	s.deltaRows = rows
	puts = append(puts, putBallots(s.acceptor)...)
	for i := range s.acceptor.Base.All() {
		puts = append(puts, putItem(i))
	}
	s.claims.All(func(key string, id idempotency.ID) { puts = append(puts, putClaim(key, id)) })
	if s.voterSet.Epoch > 1 || s.seal.Sealed() || !s.seal.Promised.IsZero() {
		puts = append(puts, s.putReconfig()...)
	}
	puts = append(left, puts...) // deletions first
	saved := s.incarnations
	s.incarnations = incarnations
	puts = append(puts, s.putIncarnations()) // last: without the incarnation on disk, the repair is not done
	s.incarnations = saved
	s.writeInParts(puts, func(s *voterState, err error) {
		s.recovering = false
		if err != nil {
			s.srv.opts.Log("repair", err.Error())
			return
		}
		s.incarnations, s.sealDurable = incarnations, s.seal.Sealed()
		s.setState(Serving)
		s.srv.opts.Log("repair", fmt.Sprintf("made up for by %d others: incarnation %d, %d items, %d keys", len(got), incarnation, s.acceptor.Value.Len(), s.claims.Len()))
		s.notifyWatchers()
	})
}

// staleRows returns deletions of all items and claims on disk, which an interrupted repair may have left. It blocks on the disk,
// so it must not run on the owner's goroutine.
func staleRows(d disk) ([]storage.Put, error) {
	return deletions(d, tableItems, tableDelta, tableClaims)
}

func deletions(d disk, tables ...storage.Table) (out []storage.Put, err error) {
	for _, t := range tables {
		err = errors.Join(err, d.Load(t, func(k, _ []byte) error {
			out = append(out, storage.Put{Table: t, Key: k})
			return nil
		}))
	}
	return out, err
}

// Bounds of one part of a long write, so that it fits into the storage queue beside other writes.
const (
	partPuts  = 1000
	partBytes = 256 << 10
)

// writeInParts writes puts in parts, each after the previous one is on disk. done is called on the owner's goroutine.
func (s *voterState) writeInParts(puts []storage.Put, done func(*voterState, error)) {
	n := 0
	for size := 0; n < len(puts) && n < partPuts && size < partBytes; n++ {
		size += len(puts[n].Key) + len(puts[n].Value)
	}
	s.write(puts[:n], func(err error) {
		s.srv.enqueue(func(s *voterState) {
			if err != nil || n == len(puts) {
				done(s, err)
				return
			}
			s.writeInParts(puts[n:], done)
		})
	})
}
