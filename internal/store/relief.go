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

// past is the epoch that the books are of, at a voter that was relieved. They are kept for those that take over.
type past struct {
	Epoch uint64   `cbor:"1,keyasint"`
	Me    int      `cbor:"2,keyasint"`
	Incs  []uint64 `cbor:"3,keyasint"`
}

func (b *books) putSeal() storage.Put {
	return storage.Put{Table: tableMeta, Key: []byte("seal"), Value: rpc.Encode(b.seal)}
}

// putChange is all on disk that a change of the roll leaves there.
func (b *books) putChange() []storage.Put {
	puts := []storage.Put{b.putSeal(), putBallot("former", b.former), {Table: tableMeta, Key: []byte("past")}}
	if b.past != nil {
		puts[2].Value = rpc.Encode(b.past)
	}
	return puts
}

// inherited reports whether the accepted value was accepted in a former epoch.
func (b *books) inherited() bool { return !b.former.IsZero() && b.former == b.acc.Accepted }

// ready tells how it stands, before a change of the roll.
func (b *books) ready(c rpc.Call, m messages.ReadyCall) error {
	r := messages.Readied{State: string(b.state), Epoch: b.roll.Epoch, Quorum: b.p.o.Quorum}
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
	b.write([]storage.Put{{Table: tableMeta, Key: []byte("number"), Value: rpc.Encode(b.number)}}, func(err error) { reply(c, r, err) })
	return nil
}

// succeed promises, or accepts a successor of the roll, by which this voter is sealed.
func (b *books) succeed(c rpc.Call, m messages.SucceedCall) error {
	if err := b.member(m.Epoch); err != nil {
		return err
	}
	if b.taking {
		return errcode.New(errcode.NotFound, "epoch %d has ended here", m.Epoch)
	}
	if b.accepting {
		b.queued = append(b.queued, func(b *books) { b.again(c, b.succeed(c, m)) })
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
		b.p.later(func(b *books) {
			if err == nil && m.Next != nil && b.roll.Epoch == epoch && b.seal.Shut() && !b.sealed {
				b.sealed = true
				b.p.o.Log("roll", fmt.Sprintf("epoch %d has ended here", epoch))
				b.wake()
			}
			reply(c, answer, err)
		})
	})
	return nil
}

// relieve hears of a roll that is chosen.
func (b *books) relieve(c rpc.Call, m messages.RelieveCall) error {
	if m.Roll.Epoch == 0 || len(m.Roll.Voters) == 0 {
		return errcode.New(errcode.Malformed, "")
	}
	b.hear(m.Roll, func(err error) {
		reply(c, messages.Relieved{State: string(b.state), Epoch: b.roll.Epoch}, err)
	})
	return nil
}

// hear takes a roll that is chosen, if it is newer: it takes an office over there, or makes up for a lost disk, or goes.
// done is called on the owner's goroutine.
func (b *books) hear(r messages.Roll, done func(error)) {
	switch {
	case r.Epoch <= b.roll.Epoch:
		done(nil)
		return
	case b.disk == nil:
		done(storage.ErrDisk)
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
		done(errcode.New(errcode.Recovering, ""))
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
func (b *books) move(r messages.Roll, done func(error)) {
	if b.state == Serving {
		b.past = &past{b.roll.Epoch, b.me, slices.Clone(b.incs)}
	}
	b.roll, b.incs, b.seal, b.sealed = r, nil, reconfig.Seal{}, false
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
func (b *books) handover(c rpc.Call, m messages.HandoverCall) error {
	r := b.register(m.Have)
	e := reconfig.Estate{Vouch: b.vouch(), Promised: b.acc.Promised, Accepted: b.acc.Accepted, Chosen: r.chosen}
	switch {
	case b.state == Serving && b.roll.Epoch == m.Epoch && b.acc.CatchesUp(): // its books alone would not do
		return errcode.New(errcode.Recovering, "")
	case b.state == Serving && b.roll.Epoch == m.Epoch:
		e.Holds = true
	case b.state == Serving && b.roll.Epoch+1 == m.Epoch && b.sealed:
	case b.past != nil && b.past.Epoch+1 == m.Epoch && b.sealed:
		e.Vouch = consensus.Vouch{By: b.past.Me, Incs: b.past.Incs}
	default:
		return errcode.New(errcode.NotFound, "epoch %d, here %d", m.Epoch, b.roll.Epoch)
	}
	h := messages.Handed{Estate: e, Former: b.inherited(), Items: r.items, Upto: r.upto, Base: r.base, Delta: r.delta}
	if h.Upto == h.Base {
		h.Claims, h.More = b.page(m.From)
	}
	c.Reply(h, nil)
	return nil
}

const (
	handTime  = 500 * time.Millisecond
	handAgain = 10 * time.Millisecond // an old voter that is about to hand over is asked again
)

// takeOver takes the books over that the old voters of a chosen roll hand out, puts them on disk, and speaks in the new epoch.
func (b *books) takeOver(r messages.Roll) {
	kept := b.state == Serving
	if kept && !b.sealed { // it slept through the vote: others may need its books
		b.seal.Closed = true
		b.write([]storage.Put{b.putSeal()}, func(err error) {
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
		var left []storage.Put
		if err == nil && !kept {
			left, err = leftovers(d)
		}
		return func(b *books) {
			if err == nil && b.disk == nil {
				err = storage.ErrDisk
			}
			if err != nil {
				b.taken(r, err)
				return
			}
			b.inherit(r, got, kept, left)
		}
	})
}

// handed is what one voter handed over.
type handed struct {
	h      messages.Handed   // the last part
	base   configuration.Set // the value of h.Base
	claims []messages.ClaimCall
}

// inherit asks for books, until there are enough of them.
func (p *Purser) inherit(r messages.Roll) (got []handed, err error) {
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
		c := rpc.NewClient(p.o.Net, addr)
		defer c.Close()
		t.addr = addr
		t.err = c.Call(messages.Handover, messages.HandoverCall{Epoch: r.Epoch, From: from, Have: have}, &t.h, handTime)
		return t
	}
	stop := make(chan struct{})
	defer close(stop)
	end := time.Now().Add(handTime)
	for _, a := range addrs {
		go func() {
			for {
				t := ask(a, "", configuration.Ballot{})
				if t.err == nil || errcode.Of(t.err) != errcode.NotFound || time.Now().After(end) {
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
		return nil, errcode.New(errcode.NoQuorum, "%d hand over epoch %d", len(all), r.Epoch-1)
	}
	for _, i := range take {
		h := all[i].h
		o := handed{h, configuration.SetOf(h.Items...), h.Claims}
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
				!pursues(h.Estate.Chosen, h.Estate.Accepted, was.Chosen, was.Accepted) {
				return nil, errors.New("it took over, or lost its disk, while it handed over")
			}
			o = handed{h, o.base.With(h.Items...), append(o.claims, h.Claims...)}
		}
		got = append(got, o)
	}
	return got, nil
}

// inherit puts what was handed over on disk. A voter of both rolls keeps what others may need of its own books until the last
// write: claims are only added, and the register changes in one write with the roll, unless it lacks much. Then it is one that
// catches up until then, which is no loss to others: what it lacks is chosen, and lives with a majority without it.
func (b *books) inherit(r messages.Roll, got []handed, kept bool, left []storage.Put) {
	estates, take := make([]reconfig.Estate, len(got)), make([]int, len(got))
	acc := consensus.NewAcceptor()
	for i, o := range got {
		estates[i], take[i] = o.h.Estate, i
		if c := o.h.Estate.Chosen; acc.Chosen.Less(c) {
			acc.Chosen, acc.Stands = c, o.base
		}
	}
	var at int
	acc.Promised, acc.Accepted, _, at = reconfig.Inherit(estates, take)
	delta := consensus.Since(got[at].base.With(got[at].h.Delta...), acc.Chosen)
	acc.Value = acc.Stands.With(delta...)
	if !kept {
		b.past, b.seal, b.sealed = nil, reconfig.Seal{}, false
		b.clear()
		left = append(b.putChange(), left...)
	}
	adrift := b.p.adrift.Load() // whatever is told is written again then
	var claims []storage.Put
	for _, o := range got {
		for _, c := range o.claims {
			if id, news := b.ledger.Restore(b.now(), c.Key, c.ID); news || adrift != b.moored {
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
		if old, ok := b.acc.Stands.Get(i.Key); !ok || old.Version != i.Version || old.Ballot != i.Ballot {
			put(putItem(i))
		}
	}
	for i := range b.acc.Stands.All() {
		if _, ok := acc.Stands.Get(i.Key); !ok {
			put(storage.Put{Table: tableItems, Key: itemKey(i.Key)})
		}
	}
	bundles, n := b.putDelta(delta)
	for _, p := range bundles {
		put(p)
	}
	former := acc.Accepted
	if e := estates[at]; e.Holds && !got[at].h.Former {
		former = configuration.Ballot{}
	}
	last := func(b *books, puts []storage.Put) {
		next := &books{p: b.p, roll: r, former: former}
		next.place()
		for i := range next.incs {
			next.incs[i] = 1
		}
		end := append(puts, putBallots(acc)...)
		end = append(append(end, next.putChange()...), next.putRoll(), next.putIncs())
		b.write(end, func(err error) {
			b.p.later(func(b *books) {
				if err == nil {
					b.acc, b.bundles, b.former, b.past, b.seal, b.sealed = acc, n, former, nil, reconfig.Seal{}, false
					b.roll, b.incs, b.me = r, next.incs, next.me
					b.duties = lease.NewLedger(b.now()) // what the old epoch granted comes to its end first
					b.p.o.Log("roll", fmt.Sprintf("epoch %d: took over from %d, %d items, %d keys", r.Epoch, len(got), acc.Value.Len(), b.ledger.Len()))
				}
				b.taken(r, err)
			})
		})
	}
	parts := func(puts []storage.Put, then func(*books)) {
		if len(puts) == 0 {
			b.moored = adrift
			then(b)
			return
		}
		b.save(puts, func(b *books, err error) {
			if err != nil {
				b.p.adrift.Add(1)
				b.taken(r, err)
				return
			}
			b.moored = adrift
			then(b)
		})
	}
	target := acc.Chosen
	if target.Less(b.acc.Target) {
		target = b.acc.Target
	}
	switch {
	case !kept: // nobody needs what is there
		parts(append(append(left, claims...), items...), func(b *books) { last(b, nil) })
	case size <= atOnce || !b.acc.Accepted.Less(target):
		parts(claims, func(b *books) { last(b, items) })
	default:
		parts(claims, func(b *books) {
			b.empty(target, n, func(b *books, err error) {
				if err != nil {
					b.taken(r, err)
					return
				}
				d := b.disk
				b.p.aside(func() func(*books) {
					stale, err := load(d, tableItems, tableDelta)
					return func(b *books) {
						if err != nil || b.disk == nil {
							b.taken(r, cmp.Or(err, storage.ErrDisk))
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
						b.save(stale, func(b *books, err error) {
							if err != nil {
								b.taken(r, err)
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

// atOnce bounds what a voter of both rolls changes of its register in one write.
const atOnce = storage.MaxWrite - 64<<10

// empty makes this member one that holds nothing yet of a chosen value, higher than what it accepted. n: bundles of the delta
// that will come to disk.
func (b *books) empty(target configuration.Ballot, n int, done func(*books, error)) {
	acc := consensus.NewAcceptor()
	acc.Promised, acc.Target = b.acc.Promised, target
	if acc.Promised.Less(target) {
		acc.Promised = target
	}
	b.alter(putBallots(acc), func(b *books, err error) {
		if err == nil {
			b.acc, b.bundles = acc, max(n, b.bundles)
		}
		done(b, err)
	})
}

// taken ends a taking over, and tells those that wait for it.
func (b *books) taken(r messages.Roll, err error) {
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
