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

// mustered is what one other told.
type mustered struct {
	m      messages.Mustered // the last part
	claims []messages.ClaimCall
	base   configuration.Set // the value of m.Base
}

const (
	musterTime = 700 * time.Millisecond
	claimsAt   = 2000 // claims a message
)

// muster tells a member that lost its disk what is held here.
func (b *books) muster(c rpc.Call, m messages.MusterCall) error {
	b.p.Counts.Muster.Add(1)
	if b.roll.Epoch == 0 {
		return errcode.New(errcode.NoQuorum, "%s", b.state)
	}
	at := b.roll.Place(m.Addr)
	if m.Inc == 0 || at < 0 || b.me < 0 {
		c.Reply(messages.Mustered{Vouch: b.vouch(), Roll: b.roll}, nil)
		return nil
	}
	if b.state != Serving {
		return errcode.New(errcode.Recovering, "")
	}
	if b.accepting {
		b.queued = append(b.queued, func(b *books) { b.again(c, b.muster(c, m)) })
		return nil
	}
	if b.incs[at] > m.Inc {
		return errcode.New(errcode.HigherBallot, "incarnation %d, here %d", m.Inc, b.incs[at])
	}
	b.incs[at] = m.Inc
	b.write([]storage.Put{b.putIncs()}, func(err error) {
		if err != nil {
			reply(c, nil, err)
			return
		}
		b.p.later(func(b *books) {
			if b.state != Serving { // its own disk was given up meanwhile
				c.Reply(nil, errcode.New(errcode.Recovering, ""))
				return
			}
			c.Reply(b.tell(m), nil)
		})
	})
	return nil
}

// tell is all that is held, the claims in parts by the order of their keys.
func (b *books) tell(m messages.MusterCall) messages.Mustered {
	r := b.register(m.Have)
	t := messages.Mustered{Vouch: b.vouch(), Roll: b.roll, Promised: b.acc.Promised, Accepted: b.acc.Accepted, Chosen: r.chosen,
		Items: r.items, Upto: r.upto, Base: r.base, Delta: r.delta, Former: b.inherited()}
	if b.seal.Shut() || !b.seal.Promised.IsZero() {
		s := b.seal
		t.Seal = &s
	}
	if t.Upto == t.Base {
		t.Claims, t.More = b.page(m.From)
	}
	return t
}

// register is a part of the register, as it is told to a member that takes it over.
type register struct {
	chosen configuration.Ballot // of the base; zero: it was accepted alone
	base   configuration.Ballot
	upto   configuration.Ballot
	items  []configuration.Item // of the base, of ballots up to that
	delta  []configuration.Item // of the accepted value, after the base, with the last part
}

// register is the part with the items of ballots after have. A member that catches up holds no chosen value.
func (b *books) register(have configuration.Ballot) (r register) {
	from := b.acc.Stands
	if r.chosen, r.base = b.acc.Chosen, b.acc.Chosen; b.acc.CatchesUp() {
		r.chosen, r.base, from = configuration.Ballot{}, b.acc.Accepted, b.acc.Value
	}
	p := consensus.PageOf(from, r.base, have)
	if r.items, r.upto = p.Items, p.Upto; r.upto == r.base {
		r.delta = consensus.Since(b.acc.Value, r.base)
	}
	return r
}

// pursues reports whether a part of a register goes on where the one before it has ended: of what was accepted alone, the parts
// have to be of one value.
func pursues(chosen, accepted, wasChosen, wasAccepted configuration.Ballot) bool {
	return !wasChosen.IsZero() && !chosen.IsZero() || chosen == wasChosen && accepted == wasAccepted
}

// page is a part of the claims, of keys after from.
func (b *books) page(from string) (claims []messages.ClaimCall, more bool) {
	b.ledger.All(func(key string, id idempotency.ID) {
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
	if len(claims) > claimsAt {
		claims, more = claims[:claimsAt], true
	}
	return claims, more
}

// repair asks others for the roll, or for all that this member has lost. One runs at a time, off the owner's goroutine, and is
// over when what it found is on disk: one that began before would leave this member under an incarnation that others know as
// over.
func (b *books) repair() {
	if b.mustering || b.disk == nil {
		return
	}
	b.mustering = true
	roll, me, state, d := b.roll, b.me, b.state, b.disk
	var addrs []string
	if state == Repairing {
		for i, v := range roll.Voters {
			if i != me {
				addrs = append(addrs, v.Addr)
			}
		}
	} else {
		for _, s := range b.p.o.Seeds() {
			if s != b.p.o.Addr {
				addrs = append(addrs, s)
			}
		}
	}
	go func() {
		var f func(*books)
		if state == Repairing {
			f = b.p.recover(addrs, roll, me, d)
		} else {
			f = b.p.enrol(addrs)
		}
		b.p.own.Send(func(b *books) {
			if f == nil {
				b.mustering = false
				return
			}
			f(b)
		})
	}()
}

// ask makes one call to each address, and gives the answers that came.
func ask[T any](p *Purser, addrs []string, kind uint8, call any, wait time.Duration) (out []T, from []string) {
	type told struct {
		v    T
		addr string
		err  error
	}
	ch := make(chan told, len(addrs))
	for _, a := range addrs {
		go func() {
			c := rpc.NewClient(p.o.Net, a)
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

// enrol learns from others who counts.
func (p *Purser) enrol(addrs []string) func(*books) {
	told, _ := ask[messages.Mustered](p, addrs, messages.Muster, messages.MusterCall{Addr: p.o.Addr}, musterTime)
	var roll messages.Roll
	for _, t := range told {
		if t.Roll.Epoch > roll.Epoch {
			roll = t.Roll
		}
	}
	if roll.Epoch == 0 {
		return nil
	}
	return func(b *books) {
		b.mustering = false
		if b.roll.Epoch >= roll.Epoch || b.disk == nil {
			return
		}
		if b.taking { // it takes an office over, and hears of the roll by that
			return
		}
		b.roll = roll
		b.place()
		b.write([]storage.Put{b.putRoll(), b.putIncs()}, func(error) {}) // asked for again where it is lost
		if b.me >= 0 {
			b.set(Repairing)
			b.repair()
		} else {
			b.set(Apart)
		}
		b.wake()
	}
}

// recover makes up for a lost disk.
func (p *Purser) recover(addrs []string, roll messages.Roll, me int, d disk) func(*books) {
	n := len(roll.Voters)
	need := n - consensus.Majority(n) + 1 // with fewer others heard, a majority that held this member may have none among them
	known, _ := ask[messages.Mustered](p, addrs, messages.Muster, messages.MusterCall{Addr: p.o.Addr}, musterTime)
	for _, k := range known {
		if k.Roll.Epoch > roll.Epoch {
			return func(b *books) {
				b.mustering = false
				b.hear(k.Roll, func(error) {})
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
	var got []mustered
	first, from := ask[messages.Mustered](p, addrs, messages.Muster, messages.MusterCall{Addr: p.o.Addr, Inc: inc}, musterTime)
	for i, m := range first {
		one := mustered{m: m, claims: m.Claims, base: configuration.SetOf(m.Items...)}
		c := rpc.NewClient(p.o.Net, from[i])
		for m.More || m.Upto != m.Base {
			call := messages.MusterCall{Addr: p.o.Addr, Inc: inc, Have: m.Upto}
			if m.More {
				call.From = m.Claims[len(m.Claims)-1].Key
			}
			m = messages.Mustered{}
			if err := c.Call(messages.Muster, call, &m, musterTime); err != nil {
				c.Close()
				return nil
			}
			if !pursues(m.Chosen, m.Accepted, one.m.Chosen, one.m.Accepted) {
				c.Close()
				return nil
			}
			one.m, one.claims, one.base = m, append(one.claims, m.Claims...), one.base.With(m.Items...)
		}
		c.Close()
		if m.Vouch.By >= 0 && m.Roll.Epoch == roll.Epoch {
			got = append(got, one)
		}
	}
	if len(got) < need {
		return nil
	}
	left, err := leftovers(d)
	if err != nil {
		p.o.Log("repair", err.Error())
		return nil
	}
	return func(b *books) { b.restore(inc, got, left) }
}

// restore takes what the others told, puts it on disk in place of what is left there, and counts again.
func (b *books) restore(inc uint64, got []mustered, left []storage.Put) {
	if b.state != Repairing || b.disk == nil {
		b.mustering = false
		return
	}
	b.clear()
	b.seal, b.sealed, b.past, b.former = reconfig.Seal{}, false, nil, configuration.Ballot{}
	incs := make([]uint64, len(b.roll.Voters))
	incs[b.me] = inc
	voted := false // somebody accepted the value in this epoch
	var value configuration.Set
	for _, g := range got {
		for i, k := range g.m.Vouch.Incs {
			if i < len(incs) && i != b.me {
				incs[i] = max(incs[i], k)
			}
		}
		if b.acc.Promised.Less(g.m.Promised) {
			b.acc.Promised = g.m.Promised
		}
		if b.acc.Chosen.Less(g.m.Chosen) {
			b.acc.Chosen, b.acc.Stands = g.m.Chosen, g.base
		}
		if b.acc.Accepted.Less(g.m.Accepted) {
			b.acc.Accepted, voted = g.m.Accepted, false
			value = g.base.With(g.m.Delta...)
		}
		voted = voted || g.m.Accepted == b.acc.Accepted && !g.m.Former
		if g.m.Seal != nil {
			b.seal.Learn(*g.m.Seal)
		}
		for _, c := range g.claims {
			b.ledger.Restore(b.now(), c.Key, c.ID)
		}
	}
	if !voted {
		b.former = b.acc.Accepted
	}
	delta := consensus.Since(value, b.acc.Chosen)
	b.acc.Value = b.acc.Stands.With(delta...)
	puts, bundles := b.putDelta(delta)
	b.bundles = bundles
	puts = append(puts, putBallots(b.acc)...)
	for i := range b.acc.Stands.All() {
		puts = append(puts, putItem(i))
	}
	b.ledger.All(func(key string, id idempotency.ID) { puts = append(puts, putClaim(key, id)) })
	if b.roll.Epoch > 1 || b.seal.Shut() || !b.seal.Promised.IsZero() {
		puts = append(puts, b.putChange()...)
	}
	puts = append(left, puts...) // in one order: what shall be there comes after
	saved := b.incs
	b.incs = incs
	puts = append(puts, b.putIncs()) // its incarnation comes last: before it, the repair is not done
	b.incs = saved
	b.save(puts, func(b *books, err error) {
		b.mustering = false
		if err != nil {
			b.p.o.Log("repair", err.Error())
			return
		}
		b.incs, b.sealed = incs, b.seal.Shut()
		b.set(Serving)
		b.p.o.Log("repair", fmt.Sprintf("made up for by %d others: incarnation %d, %d items, %d keys", len(got), inc, b.acc.Value.Len(), b.ledger.Len()))
		b.wake()
	})
}

// leftovers are the deletions of all items and claims on disk: of a repair that died. It waits for the disk, and is not for the
// owner's goroutine.
func leftovers(d disk) ([]storage.Put, error) { return load(d, tableItems, tableDelta, tableClaims) }

func load(d disk, tables ...storage.Table) (out []storage.Put, err error) {
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

// save writes puts in parts, each when the one before is on disk. done hears of the end in its turn.
func (b *books) save(puts []storage.Put, done func(*books, error)) {
	n := 0
	for size := 0; n < len(puts) && n < partPuts && size < partBytes; n++ {
		size += len(puts[n].Key) + len(puts[n].Value)
	}
	b.write(puts[:n], func(err error) {
		b.p.later(func(b *books) {
			if err != nil || n == len(puts) {
				done(b, err)
				return
			}
			b.save(puts[n:], done)
		})
	})
}
