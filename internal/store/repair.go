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

// A member that lost its disk may have promised, accepted and granted what it no longer knows. It says nothing as a member
// until it has heard so many of the others that every majority it was ever part of has one among them; each of these has put
// the new incarnation on disk before it tells what it holds, so that answers given before and after are never counted
// together (ballot.Sound). With three members that means both others.

// recoveredState is what one other told.
type recoveredState struct {
	last   messages.Mustered // the last part
	claims []messages.ClaimCall
	base   configuration.Set // the value of m.Base
}

const (
	recoveryTimeout  = 700 * time.Millisecond
	claimsPerMessage = 2000 // claims a message
)

// serveRecovery tells a member that lost its disk what is held here.
func (b *voterState) serveRecovery(c rpc.Call, m messages.MusterCall) error {
	b.srv.Counts.Recoveries.Add(1)
	if b.voterSet.Epoch == 0 {
		return errcode.New(errcode.CoreOut, "%s", b.state)
	}
	at := b.voterSet.Place(m.Addr)
	if m.Inc == 0 || at < 0 || b.index < 0 {
		c.Reply(messages.Mustered{Vouch: b.vouch(), Roll: b.voterSet}, nil)
		return nil
	}
	if b.state != Serving {
		return errcode.New(errcode.Repairing, "")
	}
	if b.registerBusy {
		b.queuedCalls = append(b.queuedCalls, func(b *voterState) { b.replyError(c, b.serveRecovery(c, m)) })
		return nil
	}
	if b.incarnations[at] > m.Inc {
		return errcode.New(errcode.Preempted, "incarnation %d, here %d", m.Inc, b.incarnations[at])
	}
	b.incarnations[at] = m.Inc
	b.write([]storage.Put{b.putIncarnations()}, func(err error) {
		if err != nil {
			reply(c, nil, err)
			return
		}
		b.srv.enqueue(func(b *voterState) {
			if b.state != Serving { // its own disk was given up meanwhile
				c.Reply(nil, errcode.New(errcode.Repairing, ""))
				return
			}
			c.Reply(b.recoveryReply(m), nil)
		})
	})
	return nil
}

// recoveryReply is all that is held, the claims in parts by the order of their keys.
func (b *voterState) recoveryReply(m messages.MusterCall) messages.Mustered {
	r := b.registerPart(m.Have)
	t := messages.Mustered{Vouch: b.vouch(), Roll: b.voterSet, Promised: b.acceptor.Promised, Accepted: b.acceptor.Accepted, Chosen: r.chosen,
		Items: r.items, Upto: r.upto, Base: r.base, Delta: r.delta, Former: b.valueInherited()}
	if b.seal.Shut() || !b.seal.Promised.IsZero() {
		s := b.seal
		t.Seal = &s
	}
	if t.Upto == t.Base {
		t.Claims, t.More = b.claimsAfter(m.From)
	}
	return t
}

// registerPart is a part of the register, as it is told to a member that takes it over.
type registerPart struct {
	chosen configuration.Ballot // of the base; zero: it was accepted alone
	base   configuration.Ballot
	upto   configuration.Ballot
	items  []configuration.Item // of the base, of ballots up to that
	delta  []configuration.Item // of the accepted value, after the base, with the last part
}

// registerPart is the part with the items of ballots after have. A member that catches up holds no chosen value.
func (b *voterState) registerPart(have configuration.Ballot) (r registerPart) {
	from := b.acceptor.Stands
	if r.chosen, r.base = b.acceptor.Chosen, b.acceptor.Chosen; b.acceptor.CatchesUp() {
		r.chosen, r.base, from = configuration.Ballot{}, b.acceptor.Accepted, b.acceptor.Value
	}
	p := consensus.PageOf(from, r.base, have)
	if r.items, r.upto = p.Items, p.Upto; r.upto == r.base {
		r.delta = consensus.Since(b.acceptor.Value, r.base)
	}
	return r
}

// continues reports whether a part of a register goes on where the one before it has ended: of what was accepted alone, the parts
// have to be of one value.
func continues(chosen, accepted, wasChosen, wasAccepted configuration.Ballot) bool {
	return !wasChosen.IsZero() && !chosen.IsZero() || chosen == wasChosen && accepted == wasAccepted
}

// claimsAfter is a part of the claims, of keys after from.
func (b *voterState) claimsAfter(from string) (claims []messages.ClaimCall, more bool) {
	b.claims.All(func(key string, id idempotency.ID) {
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

// repair asks others for the roll, or for all that this member has lost. One runs at a time, off the owner's goroutine, and is
// over when what it found is on disk: one that began before would leave this member under an incarnation that others know as
// over.
func (b *voterState) repair() {
	if b.recovering || b.disk == nil {
		return
	}
	b.recovering = true
	roll, me, state, d := b.voterSet, b.index, b.state, b.disk
	var addrs []string
	if state == Repairing {
		for i, v := range roll.Voters {
			if i != me {
				addrs = append(addrs, v.Addr)
			}
		}
	} else {
		for _, s := range b.srv.opts.Seeds() {
			if s != b.srv.opts.Addr {
				addrs = append(addrs, s)
			}
		}
	}
	go func() {
		var f func(*voterState)
		if state == Repairing {
			f = b.srv.collectRecovery(addrs, roll, me, d)
		} else {
			f = b.srv.findVoterSet(addrs)
		}
		b.srv.owner.Send(func(b *voterState) {
			if f == nil {
				b.recovering = false
				return
			}
			f(b)
		})
	}()
}

// askAll makes one call to each address, and gives the answers that came.
func askAll[T any](p *Server, addrs []string, kind uint8, call any, wait time.Duration) (out []T, from []string) {
	type told struct {
		v    T
		addr string
		err  error
	}
	ch := make(chan told, len(addrs))
	for _, a := range addrs {
		go func() {
			c := rpc.NewClient(p.opts.Net, a)
			defer c.Close()
			t := told{addr: a}
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

// findVoterSet learns from others who counts.
func (p *Server) findVoterSet(addrs []string) func(*voterState) {
	told, _ := askAll[messages.Mustered](p, addrs, messages.Muster, messages.MusterCall{Addr: p.opts.Addr}, recoveryTimeout)
	var roll messages.Roll
	for _, t := range told {
		if t.Roll.Epoch > roll.Epoch {
			roll = t.Roll
		}
	}
	if roll.Epoch == 0 {
		return nil
	}
	return func(b *voterState) {
		b.recovering = false
		if b.voterSet.Epoch >= roll.Epoch || b.disk == nil {
			return
		}
		if b.takingOver { // it takes an office over, and hears of the roll by that
			return
		}
		b.voterSet = roll
		b.locate()
		b.write([]storage.Put{b.putVoterSet(), b.putIncarnations()}, func(error) {}) // asked for again where it is lost
		if b.index >= 0 {
			b.setState(Repairing)
			b.repair()
		} else {
			b.setState(NonVoter)
		}
		b.notifyWatchers()
	}
}

// collectRecovery makes up for a lost disk.
func (p *Server) collectRecovery(addrs []string, roll messages.Roll, me int, d disk) func(*voterState) {
	n := len(roll.Voters)
	need := n - consensus.Majority(n) + 1 // with fewer others heard, a majority that held this member may have none among them
	known, _ := askAll[messages.Mustered](p, addrs, messages.Muster, messages.MusterCall{Addr: p.opts.Addr}, recoveryTimeout)
	for _, k := range known {
		if k.Roll.Epoch > roll.Epoch {
			return func(b *voterState) {
				b.recovering = false
				b.learnVoterSet(k.Roll, func(error) {})
			}
		}
	}
	if len(known) < need {
		return nil
	}
	var inc uint64
	for _, k := range known {
		if me < len(k.Vouch.Incs) {
			inc = max(inc, k.Vouch.Incs[me])
		}
	}
	inc++
	var got []recoveredState
	first, from := askAll[messages.Mustered](p, addrs, messages.Muster, messages.MusterCall{Addr: p.opts.Addr, Inc: inc}, recoveryTimeout)
	for i, m := range first {
		one := recoveredState{last: m, claims: m.Claims, base: configuration.SetOf(m.Items...)}
		c := rpc.NewClient(p.opts.Net, from[i])
		for m.More || m.Upto != m.Base {
			call := messages.MusterCall{Addr: p.opts.Addr, Inc: inc, Have: m.Upto}
			if m.More {
				call.From = m.Claims[len(m.Claims)-1].Key
			}
			m = messages.Mustered{}
			if err := c.Call(messages.Muster, call, &m, recoveryTimeout); err != nil {
				c.Close()
				return nil
			}
			if !continues(m.Chosen, m.Accepted, one.last.Chosen, one.last.Accepted) {
				c.Close()
				return nil
			}
			one.last, one.claims, one.base = m, append(one.claims, m.Claims...), one.base.With(m.Items...)
		}
		c.Close()
		if m.Vouch.By >= 0 && m.Roll.Epoch == roll.Epoch {
			got = append(got, one)
		}
	}
	if len(got) < need {
		return nil
	}
	left, err := staleRows(d)
	if err != nil {
		p.opts.Log("repair", err.Error())
		return nil
	}
	return func(b *voterState) { b.restore(inc, got, left) }
}

// restore takes what the others told, puts it on disk in place of what is left there, and counts again.
func (b *voterState) restore(inc uint64, got []recoveredState, left []storage.Put) {
	if b.state != Repairing || b.disk == nil {
		b.recovering = false
		return
	}
	b.resetContent()
	b.seal, b.sealDurable, b.formerEpoch, b.inheritedBallot = reconfig.Seal{}, false, nil, configuration.Ballot{}
	incs := make([]uint64, len(b.voterSet.Voters))
	incs[b.index] = inc
	voted := false // somebody accepted the value in this epoch
	var value configuration.Set
	for _, g := range got {
		for i, k := range g.last.Vouch.Incs {
			if i < len(incs) && i != b.index {
				incs[i] = max(incs[i], k)
			}
		}
		if b.acceptor.Promised.Less(g.last.Promised) {
			b.acceptor.Promised = g.last.Promised
		}
		if b.acceptor.Chosen.Less(g.last.Chosen) {
			b.acceptor.Chosen, b.acceptor.Stands = g.last.Chosen, g.base
		}
		if b.acceptor.Accepted.Less(g.last.Accepted) {
			b.acceptor.Accepted, voted = g.last.Accepted, false
			value = g.base.With(g.last.Delta...)
		}
		voted = voted || g.last.Accepted == b.acceptor.Accepted && !g.last.Former
		if g.last.Seal != nil {
			b.seal.Learn(*g.last.Seal)
		}
		for _, c := range g.claims {
			b.claims.Restore(b.now(), c.Key, c.ID)
		}
	}
	if !voted {
		b.inheritedBallot = b.acceptor.Accepted
	}
	delta := consensus.Since(value, b.acceptor.Chosen)
	b.acceptor.Value = b.acceptor.Stands.With(delta...)
	puts, bundles := b.putDelta(delta)
	b.deltaRows = bundles
	puts = append(puts, putBallots(b.acceptor)...)
	for i := range b.acceptor.Stands.All() {
		puts = append(puts, putItem(i))
	}
	b.claims.All(func(key string, id idempotency.ID) { puts = append(puts, putClaim(key, id)) })
	if b.voterSet.Epoch > 1 || b.seal.Shut() || !b.seal.Promised.IsZero() {
		puts = append(puts, b.putReconfig()...)
	}
	puts = append(left, puts...) // in one order: what shall be there comes after
	saved := b.incarnations
	b.incarnations = incs
	puts = append(puts, b.putIncarnations()) // its incarnation comes last: before it, the repair is not done
	b.incarnations = saved
	b.writeInParts(puts, func(b *voterState, err error) {
		b.recovering = false
		if err != nil {
			b.srv.opts.Log("repair", err.Error())
			return
		}
		b.incarnations, b.sealDurable = incs, b.seal.Shut()
		b.setState(Serving)
		b.srv.opts.Log("repair", fmt.Sprintf("made up for by %d others: incarnation %d, %d items, %d keys", len(got), inc, b.acceptor.Value.Len(), b.claims.Len()))
		b.notifyWatchers()
	})
}

// staleRows are the deletions of all items and claims on disk: of a repair that died. It waits for the disk, and is not for the
// owner's goroutine.
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

// Bounds of one part of what is saved: each passes through the disk's queue beside what else there is.
const (
	partPuts  = 1000
	partBytes = 256 << 10
)

// writeInParts writes puts in parts, each when the one before is on disk. done hears of the end in its turn.
func (b *voterState) writeInParts(puts []storage.Put, done func(*voterState, error)) {
	n := 0
	for size := 0; n < len(puts) && n < partPuts && size < partBytes; n++ {
		size += len(puts[n].Key) + len(puts[n].Value)
	}
	b.write(puts[:n], func(err error) {
		b.srv.enqueue(func(b *voterState) {
			if err != nil || n == len(puts) {
				done(b, err)
				return
			}
			b.writeInParts(puts[n:], done)
		})
	})
}
