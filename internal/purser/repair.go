package purser

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"saltmast/internal/ballot"
	"saltmast/internal/codebook"
	"saltmast/internal/hold"
	"saltmast/internal/manifest"
	"saltmast/internal/plight"
	"saltmast/internal/relief"
	"saltmast/internal/signal"
	"saltmast/internal/tally"
)

// A member that lost its disk may have promised, accepted and granted what it no longer knows. It says nothing as a member
// until it has heard so many of the others that every majority it was ever part of has one among them; each of these has put
// the new incarnation on disk before it tells what it holds, so that answers given before and after are never counted
// together (ballot.Sound). With three members that means both others.

// mustered is what one other told.
type mustered struct {
	m      codebook.Mustered
	claims []codebook.ClaimCall
}

const (
	musterTime = 700 * time.Millisecond
	claimsAt   = 2000 // claims a message
)

// muster tells a member that lost its disk what is held here.
func (b *books) muster(c signal.Call, m codebook.MusterCall) error {
	b.p.Counts.Muster.Add(1)
	if b.roll.Epoch == 0 {
		return plight.New(plight.CoreOut, "%s", b.state)
	}
	at := b.roll.Place(m.Addr)
	if m.Inc == 0 || at < 0 || b.me < 0 {
		c.Reply(codebook.Mustered{Vouch: b.vouch(), Roll: b.roll}, nil)
		return nil
	}
	if b.state != Serving {
		return plight.New(plight.Repairing, "")
	}
	if b.accepting {
		b.queued = append(b.queued, func(b *books) { b.again(c, b.muster(c, m)) })
		return nil
	}
	if b.incs[at] > m.Inc {
		return plight.New(plight.Preempted, "incarnation %d, here %d", m.Inc, b.incs[at])
	}
	b.incs[at] = m.Inc
	b.write([]hold.Put{b.putIncs()}, func(err error) {
		if err != nil {
			reply(c, nil, err)
			return
		}
		b.p.later(func(b *books) {
			if b.state != Serving { // its own disk was given up meanwhile
				c.Reply(nil, plight.New(plight.Repairing, ""))
				return
			}
			c.Reply(b.tell(m), nil)
		})
	})
	return nil
}

// tell is all that is held, the claims in parts by the order of their keys.
func (b *books) tell(m codebook.MusterCall) codebook.Mustered {
	t := codebook.Mustered{Vouch: b.vouch(), Roll: b.roll, Promised: b.acc.Promised, Accepted: b.acc.Accepted, Chosen: b.acc.Chosen,
		Former: b.inherited()}
	if b.seal.Shut() || !b.seal.Promised.IsZero() {
		s := b.seal
		t.Seal = &s
	}
	if m.From == "" {
		t.Items = all(b.acc.Value)
	}
	t.Claims, t.More = b.page(m.From)
	return t
}

// page is a part of the claims, of keys after from.
func (b *books) page(from string) (claims []codebook.ClaimCall, more bool) {
	b.ledger.All(func(key string, id tally.ID) {
		if key > from {
			claims = append(claims, codebook.ClaimCall{Key: key, ID: id})
		}
	})
	slices.SortFunc(claims, func(x, y codebook.ClaimCall) int {
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
			c := signal.NewClient(p.o.Net, a)
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
	told, _ := ask[codebook.Mustered](p, addrs, codebook.Muster, codebook.MusterCall{Addr: p.o.Addr}, musterTime)
	var roll codebook.Roll
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
		b.write([]hold.Put{b.putRoll(), b.putIncs()}, func(error) {}) // asked for again where it is lost
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
func (p *Purser) recover(addrs []string, roll codebook.Roll, me int, d disk) func(*books) {
	n := len(roll.Voters)
	need := n - ballot.Majority(n) + 1 // with fewer others heard, a majority that held this member may have none among them
	known, _ := ask[codebook.Mustered](p, addrs, codebook.Muster, codebook.MusterCall{Addr: p.o.Addr}, musterTime)
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
	first, from := ask[codebook.Mustered](p, addrs, codebook.Muster, codebook.MusterCall{Addr: p.o.Addr, Inc: inc}, musterTime)
	for i, m := range first {
		one := mustered{m: m, claims: m.Claims}
		for m.More {
			c := signal.NewClient(p.o.Net, from[i])
			call := codebook.MusterCall{Addr: p.o.Addr, Inc: inc, From: m.Claims[len(m.Claims)-1].Key}
			m = codebook.Mustered{}
			err := c.Call(codebook.Muster, call, &m, musterTime)
			c.Close()
			if err != nil {
				return nil
			}
			one.claims = append(one.claims, m.Claims...)
		}
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
func (b *books) restore(inc uint64, got []mustered, left []hold.Put) {
	if b.state != Repairing || b.disk == nil {
		b.mustering = false
		return
	}
	b.clear()
	b.seal, b.sealed, b.past, b.former = relief.Seal{}, false, nil, manifest.Ballot{}
	incs := make([]uint64, len(b.roll.Voters))
	incs[b.me] = inc
	voted := false // somebody accepted the value in this epoch
	for _, g := range got {
		for i, k := range g.m.Vouch.Incs {
			if i < len(incs) && i != b.me {
				incs[i] = max(incs[i], k)
			}
		}
		if b.acc.Promised.Less(g.m.Promised) {
			b.acc.Promised = g.m.Promised
		}
		if b.acc.Accepted.Less(g.m.Accepted) {
			b.acc.Accepted, voted = g.m.Accepted, false
			b.acc.Value = manifest.Set{}
			for _, i := range g.m.Items {
				b.acc.Value[i.Key] = i
			}
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
	for _, g := range got {
		if g.m.Chosen == b.acc.Accepted {
			b.acc.Learn(g.m.Chosen)
		}
	}
	puts := []hold.Put{putBallot("promised", b.acc.Promised), putBallot("accepted", b.acc.Accepted), putBallot("chosen", b.acc.Chosen)}
	for _, i := range b.acc.Value {
		puts = append(puts, putItem(i))
	}
	b.ledger.All(func(key string, id tally.ID) { puts = append(puts, putClaim(key, id)) })
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
		b.p.o.Log("repair", fmt.Sprintf("made up for by %d others: incarnation %d, %d items, %d keys", len(got), inc, len(b.acc.Value), b.ledger.Len()))
		b.wake()
	})
}

// leftovers are the deletions of all items and claims on disk: of a repair that died. It waits for the disk, and is not for the
// owner's goroutine.
func leftovers(d disk) (out []hold.Put, err error) {
	for _, t := range []hold.Table{tableItems, tableClaims} {
		err = errors.Join(err, d.Load(t, func(k, _ []byte) error {
			out = append(out, hold.Put{Table: t, Key: k})
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
func (b *books) save(puts []hold.Put, done func(*books, error)) {
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
