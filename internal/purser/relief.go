package purser

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"saltmast/internal/ballot"
	"saltmast/internal/codebook"
	"saltmast/internal/duty"
	"saltmast/internal/hold"
	"saltmast/internal/manifest"
	"saltmast/internal/plight"
	"saltmast/internal/relief"
	"saltmast/internal/signal"
)

// One roll follows another as package relief decides. A voter of the new roll takes over the books of the old by itself, from
// the old voters, as soon as it hears from anybody that the roll is chosen. It needs to be on the disk that the roll names: one
// that lost it may have spoken in the new epoch already, and makes up for that as for any lost disk.

// past is the epoch that the books are of, at a voter that was relieved. They are kept for those that take over.
type past struct {
	Epoch uint64   `cbor:"1,keyasint"`
	Me    int      `cbor:"2,keyasint"`
	Incs  []uint64 `cbor:"3,keyasint"`
}

func (b *books) putSeal() hold.Put {
	return hold.Put{Table: tableMeta, Key: []byte("seal"), Value: signal.Encode(b.seal)}
}

// putChange is all on disk that a change of the roll leaves there.
func (b *books) putChange() []hold.Put {
	puts := []hold.Put{b.putSeal(), putBallot("former", b.former), {Table: tableMeta, Key: []byte("past")}}
	if b.past != nil {
		puts[2].Value = signal.Encode(b.past)
	}
	return puts
}

// inherited reports whether the accepted value was accepted in a former epoch.
func (b *books) inherited() bool { return !b.former.IsZero() && b.former == b.acc.Accepted }

// ready tells how it stands, before a change of the roll.
func (b *books) ready(c signal.Call, m codebook.ReadyCall) error {
	r := codebook.Readied{State: string(b.state), Epoch: b.roll.Epoch}
	if b.state != Serving && b.state != Apart || b.disk.Stalled() > stalledAfter {
		c.Reply(r, nil)
		return nil
	}
	if m.Dry {
		c.Reply(r, nil)
		return nil
	}
	if b.number == 0 {
		b.number = rand.Uint64() | 1
	}
	r.Disk = b.number
	b.write([]hold.Put{{Table: tableMeta, Key: []byte("number"), Value: signal.Encode(b.number)}}, func(err error) { reply(c, r, err) })
	return nil
}

// succeed promises, or accepts a successor of the roll, by which this voter is sealed.
func (b *books) succeed(c signal.Call, m codebook.SucceedCall) error {
	if err := b.member(m.Epoch); err != nil {
		return err
	}
	if b.taking {
		return plight.New(plight.Gone, "epoch %d has ended here", m.Epoch)
	}
	if b.accepting {
		b.queued = append(b.queued, func(b *books) { b.again(c, b.succeed(c, m)) })
		return nil
	}
	answer := relief.Answer{Vouch: b.vouch()}
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
	b.write([]hold.Put{b.putSeal()}, func(err error) {
		b.p.later(func(b *books) {
			if err == nil && m.Next != nil && b.roll.Epoch == epoch && b.seal.Shut() && !b.sealed {
				b.sealed = true
				b.p.o.Log("roll", fmt.Sprintf("epoch %d has ended here", epoch))
			}
			reply(c, answer, err)
		})
	})
	return nil
}

// relieve hears of a roll that is chosen.
func (b *books) relieve(c signal.Call, m codebook.RelieveCall) error {
	if m.Roll.Epoch == 0 || len(m.Roll.Voters) == 0 {
		return plight.New(plight.Malformed, "")
	}
	b.hear(m.Roll, func(err error) {
		reply(c, codebook.Relieved{State: string(b.state), Epoch: b.roll.Epoch}, err)
	})
	return nil
}

// hear takes a roll that is chosen, if it is newer: it takes an office over there, or makes up for a lost disk, or goes.
// done is called on the owner's goroutine.
func (b *books) hear(r codebook.Roll, done func(error)) {
	switch {
	case r.Epoch <= b.roll.Epoch:
		done(nil)
		return
	case b.disk == nil:
		done(hold.ErrDisk)
		return
	case b.taking:
		b.takers = append(b.takers, done)
		return
	case b.accepting:
		b.queued = append(b.queued, func(b *books) { b.hear(r, done) })
		return
	}
	at := r.Place(b.p.o.Addr)
	if b.state == Repairing && b.mustering { // its repair ends first
		done(plight.New(plight.Repairing, ""))
		return
	}
	next := b.state == Serving && b.roll.Epoch+1 == r.Epoch
	if at >= 0 && b.number != 0 && r.Voters[at].Disk == b.number && (next || b.state == Apart) {
		b.taking = true
		b.takers = append(b.takers, done)
		b.takeOver(r)
		return
	}
	b.move(r, done)
}

// move goes to a newer epoch without books for it.
func (b *books) move(r codebook.Roll, done func(error)) {
	if b.state == Serving {
		b.past = &past{b.roll.Epoch, b.me, slices.Clone(b.incs)}
	}
	b.roll, b.incs, b.seal, b.sealed = r, nil, relief.Seal{}, false
	b.place()
	if b.me >= 0 {
		b.set(Repairing)
	} else {
		b.set(Apart)
	}
	b.p.o.Log("roll", fmt.Sprintf("epoch %d, here %s", r.Epoch, b.state))
	b.write(append(b.putChange(), b.putRoll(), b.putIncs()), func(err error) {
		b.p.later(func(b *books) {
			b.sealed = b.sealed || err == nil && b.roll.Epoch == r.Epoch && b.past != nil
			done(err)
		})
	})
	b.wake()
	if b.state == Repairing {
		b.repair()
	}
}

// handover tells the books of the epoch before the one named to a voter that takes over.
func (b *books) handover(c signal.Call, m codebook.HandoverCall) error {
	e := relief.Estate{Vouch: b.vouch(), Promised: b.acc.Promised, Accepted: b.acc.Accepted, Chosen: b.acc.Chosen}
	switch {
	case b.state == Serving && b.roll.Epoch == m.Epoch:
		e.Holds = true
	case b.state == Serving && b.roll.Epoch+1 == m.Epoch && b.sealed:
	case b.past != nil && b.past.Epoch+1 == m.Epoch && b.sealed:
		e.Vouch = ballot.Vouch{By: b.past.Me, Incs: b.past.Incs}
	default:
		return plight.New(plight.Gone, "epoch %d, here %d", m.Epoch, b.roll.Epoch)
	}
	h := codebook.Handed{Estate: e, Former: b.inherited()}
	if m.From == "" {
		h.Items = all(b.acc.Value)
	}
	h.Claims, h.More = b.page(m.From)
	c.Reply(h, nil)
	return nil
}

const (
	handTime  = 500 * time.Millisecond
	handAgain = 10 * time.Millisecond // an old voter that is about to hand over is asked again
)

// takeOver takes the books over that the old voters of a chosen roll hand out, puts them on disk, and speaks in the new epoch.
func (b *books) takeOver(r codebook.Roll) {
	kept := b.state == Serving
	if kept && !b.sealed { // it slept through the vote: others may need its books
		b.seal.Closed = true
		b.write([]hold.Put{b.putSeal()}, func(err error) {
			b.p.later(func(b *books) {
				if b.sealed = err == nil; err != nil {
					b.taken(r, err)
					return
				}
				b.takeOver(r)
			})
		})
		return
	}
	d := b.disk
	b.p.aside(func() func(*books) {
		got, err := b.p.inherit(r)
		var left []hold.Put
		if err == nil && !kept {
			left, err = leftovers(d)
		}
		return func(b *books) {
			if err == nil && b.disk == nil {
				err = hold.ErrDisk
			}
			if err != nil {
				b.taken(r, err)
				return
			}
			b.inherit(r, got, kept, left)
		}
	})
}

// inherit asks for books, until there are enough of them.
func (p *Purser) inherit(r codebook.Roll) (got []codebook.Handed, err error) {
	var addrs []string
	for _, v := range append(slices.Clone(r.Was), r.Voters...) {
		if !slices.Contains(addrs, v.Addr) {
			addrs = append(addrs, v.Addr)
		}
	}
	type told struct {
		h    codebook.Handed
		addr string
		err  error
	}
	ch := make(chan told, len(addrs))
	ask := func(addr, from string) (t told) {
		c := signal.NewClient(p.o.Net, addr)
		defer c.Close()
		t.addr = addr
		t.err = c.Call(codebook.Handover, codebook.HandoverCall{Epoch: r.Epoch, From: from}, &t.h, handTime)
		return t
	}
	stop := make(chan struct{})
	defer close(stop)
	end := time.Now().Add(handTime)
	for _, a := range addrs {
		go func() {
			for {
				t := ask(a, "")
				if t.err == nil || plight.Of(t.err) != plight.Gone || time.Now().After(end) {
					ch <- t
					return
				}
				select {
				case <-time.After(handAgain):
				case <-stop:
					return
				}
			}
		}()
	}
	var all []told
	var estates []relief.Estate
	var take []int
	for range addrs {
		t := <-ch
		if t.err != nil {
			continue
		}
		all, estates = append(all, t), append(estates, t.h.Estate)
		if take = relief.Enough(len(r.Was), estates); take != nil {
			break
		}
	}
	if take == nil {
		return nil, plight.New(plight.CoreOut, "%d hand over epoch %d", len(all), r.Epoch-1)
	}
	for _, i := range take {
		h := all[i].h
		for more := h; more.More; {
			t := ask(all[i].addr, more.Claims[len(more.Claims)-1].Key)
			if t.err != nil {
				return nil, t.err
			}
			if more = t.h; more.Estate.Holds != h.Estate.Holds || !slices.Equal(more.Estate.Vouch.Incs, h.Estate.Vouch.Incs) {
				return nil, errors.New("it took over, or lost its disk, while it handed over")
			}
			h.Claims = append(h.Claims, more.Claims...)
		}
		got = append(got, h)
	}
	return got, nil
}

// inherit puts what was handed over on disk. A voter of both rolls keeps its own books whole until the last write, since
// others may need them: claims are only added, and the register changes in one write with the roll.
func (b *books) inherit(r codebook.Roll, got []codebook.Handed, kept bool, left []hold.Put) {
	estates, take := make([]relief.Estate, len(got)), make([]int, len(got))
	for i, h := range got {
		estates[i], take[i] = h.Estate, i
	}
	promised, accepted, chosen, at := relief.Inherit(estates, take)
	if !kept {
		b.past, b.seal, b.sealed = nil, relief.Seal{}, false
		b.clear()
		left = append(b.putChange(), left...)
	}
	puts := left
	for _, h := range got {
		for _, c := range h.Claims {
			if id, news := b.ledger.Restore(b.now(), c.Key, c.ID); news {
				puts = append(puts, putClaim(c.Key, id))
			}
		}
	}
	acc := ballot.NewAcceptor()
	for _, i := range got[at].Items {
		acc.Value[i.Key] = i
	}
	acc.Promised, acc.Accepted = promised, accepted
	acc.Learn(chosen)
	var items []hold.Put
	for k, i := range acc.Value {
		if old, ok := b.acc.Value[k]; !ok || old.Version != i.Version || old.Ballot != i.Ballot {
			items = append(items, putItem(i))
		}
	}
	for k := range b.acc.Value {
		if _, ok := acc.Value[k]; !ok {
			items = append(items, hold.Put{Table: tableItems, Key: itemKey(k)})
		}
	}
	if !kept { // nobody needs what is there: it comes to disk in parts
		puts, items = append(puts, items...), nil
	}
	former := accepted
	if e := estates[at]; e.Holds && !got[at].Former {
		former = manifest.Ballot{}
	}
	last := func(b *books) {
		next := &books{p: b.p, roll: r, former: former}
		next.place()
		for i := range next.incs {
			next.incs[i] = 1
		}
		end := append(items, putBallot("promised", promised), putBallot("accepted", accepted), putBallot("chosen", acc.Chosen))
		end = append(append(end, next.putChange()...), next.putRoll(), next.putIncs())
		b.write(end, func(err error) {
			b.p.later(func(b *books) {
				if err == nil {
					b.acc, b.former, b.past, b.seal, b.sealed = acc, former, nil, relief.Seal{}, false
					b.roll, b.incs, b.me = r, next.incs, next.me
					b.duties = duty.NewLedger(b.now()) // what the old epoch granted comes to its end first
					b.p.o.Log("roll", fmt.Sprintf("epoch %d: took over from %d, %d items, %d keys", r.Epoch, len(got), len(acc.Value), b.ledger.Len()))
				}
				b.taken(r, err)
			})
		})
	}
	if len(puts) == 0 {
		last(b)
		return
	}
	b.save(puts, func(b *books, err error) {
		if err != nil {
			b.taken(r, err)
			return
		}
		last(b)
	})
}

// taken ends a taking over, and tells those that wait for it.
func (b *books) taken(r codebook.Roll, err error) {
	b.taking = false
	if err == nil {
		b.set(Serving)
		b.wake()
	} else {
		b.p.o.Log("roll", fmt.Sprintf("epoch %d is not taken over: %v", r.Epoch, err))
	}
	takers := b.takers
	b.takers = nil
	for _, f := range takers {
		f(err)
	}
}
