// Package store is the store of the mesh: it keeps what must not be lost, the operator's configuration, the claims of
// operation keys and the roll of those that count, each on disk before it is told. One goroutine owns it all and works
// through a queue of commands; the disk has one of its own. Start reading at Start.
package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/errcode"
	"saltmast/internal/idempotency"
	"saltmast/internal/lease"
	"saltmast/internal/messages"
	"saltmast/internal/reconfig"
	"saltmast/internal/rpc"
	"saltmast/internal/sock"
	"saltmast/internal/storage"
)

// Tables on disk.
const (
	tableMeta   storage.Table = 1
	tableItems  storage.Table = 2
	tableClaims storage.Table = 3
	tableDelta  storage.Table = 4 // what was accepted beside the items, in bundles
)

// State of a purser.
type State string

// The states.
const (
	Serving   State = "serving"
	Apart     State = "apart"     // it does not count
	Repairing State = "repairing" // it counts, and its disk was lost
	NoDisk    State = "no disk"   // the disk can't be opened
	NoRoll    State = "no roll"   // it does not know yet who counts
)

// Options are what a purser is started with.
type Options struct {
	Addr      string // host:port it is called at
	Dir       string // of its disk
	Zone      string
	Bootstrap bool             // the very first start: Found counts from now on
	Found     []messages.Voter // who counts at the very first start
	Seeds     func() []string  // where other pursers may be
	Quorum    bool             // its machine is one whose loss is bounded
	Window    time.Duration    // keys are kept for so long at least
	MaxBytes  int64            // on disk
	First     int              // the first of the free ports, on every machine; 0: no harbourmaster is asked
	Net       sock.Net         // nil: the system's
	Disk      func() error     // of hold.Options
	Log       func(event, text string)
}

// Counts of what a purser did.
type Counts struct {
	Claims, Denied, Released, Refused, Accepts, Prepares, Watches, Muster atomic.Int64
}

// Purser is one member's store.
type Purser struct {
	o      Options
	own    *rpc.Owner[books]
	server *rpc.Server
	Counts Counts
	ended  chan struct{}
	disks  sync.WaitGroup // openings of the disk, and closings ahead of one
	begin  func(storage.Options) (disk, storage.Start, error)
	aside  func(func() func(*books))           // does what waits beside the owner's goroutine, and queues the command that it gives
	later  func(func(*books))                  // queues a command from where nobody may wait
	known  func(messages.Roll) []messages.Mark // asks harbourmasters what this member told last
	marked atomic.Uint64                       // the last mark that is on disk
	adrift atomic.Int64                        // writes of claims that failed: these may be held in memory alone
	ailing atomic.Int64                        // since when, by books.now and plus one, each write failed that ended; 0: the last did not
}

// disk is what a purser asks of its hold.
type disk interface {
	Load(t storage.Table, each func(key, value []byte) error) error
	Write(puts []storage.Put, done func(error))
	Stalled() time.Duration
	Close() error
}

// books are the tables.
type books struct {
	p         *Purser
	begun     time.Time
	state     State
	disk      disk // nil: there is none
	acc       *consensus.Acceptor
	ledger    *idempotency.Ledger
	duties    *lease.Ledger
	roll      messages.Roll
	me        int      // place in the roll; -1: none
	incs      []uint64 // by place
	seal      reconfig.Seal
	sealed    bool                 // the seal is shut, or the books are past, and that is on disk
	former    configuration.Ballot // the value accepted in a former epoch; zero: none
	number    uint64               // of the disk, by which a roll names it; 0: it was never asked for
	past      *past                // the books are of a former epoch
	moored    int64                // of adrift, that a taking over has made up for
	taking    bool                 // books are being taken over
	takers    []func(error)        // who hear of that
	accepting bool                 // the register is on its way to disk
	bundles   int                  // of the delta, on disk
	queued    []func(*books)
	watchers  []*watcher
	mustering bool
	opening   bool          // the disk is being opened
	founding  bool          // the founding is on its way to disk
	mark      uint64        // the last that was given to the disk
	markAt    time.Duration // and when
	old       messages.Mark // that was told from a later disk than the one that was read; zero: none
	used      bool          // a disk was in use before, or found damaged: an empty one is no beginning any more
	closed    bool          // the purser ends
	trouble   string        // why the disk could not be opened or took no founding, as the log has it
}

type watcher struct {
	c     rpc.Call
	w     messages.WatchCall
	came  time.Duration
	timer *time.Timer // of its end
	done  bool
}

// Start begins to serve at o.Addr.
func Start(o Options) (*Purser, error) {
	l, err := rpc.Listen(o.Net, o.Addr)
	if err != nil {
		return nil, err
	}
	return StartOn(o, l), nil
}

// StartOn is Start on a listener that is open.
func StartOn(o Options, l net.Listener) *Purser {
	p := &Purser{o: o, ended: make(chan struct{}), begin: openHold}
	p.known = p.askKnown
	p.later = func(f func(*books)) { go p.own.Send(f) }
	p.aside = func(f func() func(*books)) {
		go func() {
			if g := f(); !p.own.Ask(g) { // it has ended meanwhile
				g(&books{p: p, closed: true})
			}
		}()
	}
	b := &books{p: p, begun: time.Now(), state: NoDisk, me: -1, duties: lease.NewLedger(0)}
	b.clear()
	p.own = rpc.Own(b, 1024)
	p.server = rpc.Serve(l, p.handle)
	p.own.Send((*books).open)
	go p.tick()
	return p
}

func openHold(o storage.Options) (disk, storage.Start, error) {
	h, start, err := storage.Open(o)
	if err != nil {
		return nil, start, err
	}
	return h, start, nil
}

// closeAfter bounds how long Close waits for a disk that is being opened.
const closeAfter = 5 * time.Second

// Close ends it; what is queued for the disk is waited for, and so is a disk that is being opened: behind Close nothing of it
// touches the folder any more, but for an ErrStalled.
func (p *Purser) Close() error {
	close(p.ended)
	p.server.Close()
	var disk disk
	p.own.Ask(func(b *books) { disk, b.closed = b.disk, true })
	p.own.End()
	if disk != nil {
		return disk.Close()
	}
	opened := make(chan struct{})
	go func() { p.disks.Wait(); close(opened) }()
	select {
	case <-opened:
		return nil
	case <-time.After(closeAfter):
		return fmt.Errorf("%w: it is being opened", storage.ErrStalled)
	}
}

// Status is for the log and the console.
type Status struct {
	State  State
	Keys   int
	Chosen configuration.Ballot
	Roll   messages.Roll
	Shut   bool // its epoch has ended here
	Stall  time.Duration
}

// Status tells how it stands.
func (p *Purser) Status() (s Status) {
	p.own.Ask(func(b *books) {
		s = Status{State: b.state, Keys: b.ledger.Len(), Chosen: b.acc.Chosen, Roll: b.roll, Shut: b.seal.Shut()}
		if b.disk != nil {
			s.Stall = b.disk.Stalled()
		}
	})
	return s
}

const tickTime = 250 * time.Millisecond

func (p *Purser) tick() {
	t := time.NewTicker(tickTime)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.own.Send((*books).tick)
		case <-p.ended:
			return
		}
	}
}

func (b *books) now() time.Duration { return time.Since(b.begun) }

// clear forgets what is kept on disk, other than the roll.
func (b *books) clear() {
	b.acc, b.ledger, b.bundles = consensus.NewAcceptor(), idempotency.NewLedger(b.p.o.Window), 0
}

// forget forgets all that a disk told.
func (b *books) forget() {
	b.clear()
	b.roll, b.incs, b.me = messages.Roll{}, nil, -1
	b.seal, b.sealed, b.former, b.number, b.past = reconfig.Seal{}, false, configuration.Ballot{}, 0, nil
}

func (b *books) set(s State) {
	if s != b.state {
		b.p.o.Log("state", fmt.Sprintf("%s -> %s", b.state, s))
		b.state = s
	}
}

// open opens the disk and reads all that is there.
//
// The disk is waited for beside the owner's goroutine: one that hangs must not silence watches and reports.
func (b *books) open() {
	if b.opening || b.closed {
		return
	}
	b.opening = true
	b.p.disks.Add(1)
	p, begun := b.p, b.begun
	p.aside(func() func(*books) {
		disk, found, err := p.begin(storage.Options{Dir: p.o.Dir, MaxBytes: p.o.MaxBytes, Disk: p.o.Disk,
			Log: func(s string) { p.o.Log("disk", s) }})
		read := &books{p: p, begun: begun, disk: disk}
		if read.forget(); err == nil {
			p.o.Log("disk", "found "+found.String())
			if err = read.read(); err != nil { // nothing of it counts, above all not its incarnation: the next disk may be an empty one
				disk.Close()
				err = fmt.Errorf("reading: %w", err)
			} else {
				read.compare()
			}
		}
		return func(b *books) {
			defer p.disks.Done()
			b.opened(read, found, err)
		}
	})
}

// opened takes what was read off a disk.
func (b *books) opened(read *books, found storage.Start, err error) {
	b.opening = false
	b.used = b.used || found == storage.Damaged
	switch {
	case err != nil:
		if text := err.Error(); text != b.trouble {
			b.trouble = text
			b.p.o.Log("disk", text)
		}
		return
	case b.closed:
		read.disk.Close()
		return
	}
	b.trouble = ""
	b.disk, b.acc, b.ledger, b.roll, b.incs, b.me = read.disk, read.acc, read.ledger, read.roll, read.incs, read.me
	b.bundles = read.bundles
	b.seal, b.sealed, b.former, b.number, b.past = read.seal, read.seal.Shut() || read.past != nil, read.former, read.number, read.past
	b.mark, b.markAt = read.mark, b.now()
	b.p.marked.Store(b.mark)
	switch {
	case b.roll.Epoch > 0:
		b.place()
		if read.old != (messages.Mark{}) {
			b.p.o.Log("disk", fmt.Sprintf("older than what was told from it: %+v", read.old))
			b.incs[b.me] = 0
			b.write([]storage.Put{b.putIncs()}, func(error) {}) // else it is found out again
		}
		if b.me >= 0 && b.incs[b.me] == 0 { // it died amid a repair
			b.set(Repairing)
		} else if b.me >= 0 {
			b.set(Serving)
		} else {
			b.set(Apart)
		}
	case b.p.o.Bootstrap && !b.used && found == storage.Empty && len(b.p.o.Found) > 0:
		b.found()
	default:
		b.set(NoRoll)
	}
	if b.state == NoRoll || b.state == Repairing {
		b.repair()
	}
}

// found begins the very first epoch.
func (b *books) found() {
	b.roll = messages.Roll{Epoch: 1, Voters: b.p.o.Found}
	b.incs = make([]uint64, len(b.roll.Voters))
	b.place()
	if b.me >= 0 {
		for i := range b.incs {
			b.incs[i] = 1
		}
	}
	b.founding = true
	b.disk.Write([]storage.Put{b.putRoll(), b.putIncs()}, func(err error) {
		b.p.later(func(b *books) {
			b.founding = false
			switch {
			case err != nil: // it was part of nothing yet: the next tick begins again
				b.forget()
				if text := err.Error(); text != b.trouble {
					b.trouble = text
					b.p.o.Log("disk", text)
				}
			case b.me >= 0:
				b.set(Serving)
			default:
				b.set(Apart)
			}
			b.wake()
		})
	})
}

func (b *books) place() {
	b.me = b.roll.Place(b.p.o.Addr)
	if len(b.incs) != len(b.roll.Voters) {
		b.incs = make([]uint64, len(b.roll.Voters))
	}
}

func (b *books) vouch() consensus.Vouch {
	return consensus.Vouch{By: b.me, Incs: slices.Clone(b.incs)}
}

// ---- On disk ----

func putBallot(name string, v configuration.Ballot) storage.Put {
	return storage.Put{Table: tableMeta, Key: []byte(name), Value: rpc.Encode(v)}
}

// putLayout tells that the items are a base, with what was accepted beside them. Before, they were what was accepted.
var putLayout = storage.Put{Table: tableMeta, Key: []byte("layout"), Value: []byte{2}}

// putBallots are all ballots of the register.
func putBallots(a *consensus.Acceptor) []storage.Put {
	puts := []storage.Put{putBallot("promised", a.Promised), putBallot("accepted", a.Accepted), putBallot("chosen", a.Chosen),
		{Table: tableMeta, Key: []byte("target")}, putLayout}
	if a.CatchesUp() {
		puts[3] = putBallot("target", a.Target)
	}
	return puts
}

func (b *books) putRoll() storage.Put {
	return storage.Put{Table: tableMeta, Key: []byte("roll"), Value: rpc.Encode(b.roll)}
}

func (b *books) putIncs() storage.Put {
	return storage.Put{Table: tableMeta, Key: []byte("incs"), Value: rpc.Encode(b.incs)}
}

func itemKey(k configuration.Key) []byte { return append([]byte{byte(k.Kind)}, k.Name...) }

func putItem(i configuration.Item) storage.Put {
	return storage.Put{Table: tableItems, Key: itemKey(i.Key), Value: rpc.Encode(i)}
}

// bundleBytes is about what one row of the delta has.
const bundleBytes = 64 << 10

// putDelta puts a delta in place of the one that is on disk, which may be none.
func (b *books) putDelta(delta []configuration.Item) (puts []storage.Put, bundles int) {
	for len(delta) > 0 {
		n := 0
		for size := 0; n < len(delta) && size < bundleBytes; n++ {
			size += consensus.Size(delta[n])
		}
		puts = append(puts, storage.Put{Table: tableDelta, Key: binary.BigEndian.AppendUint16(nil, uint16(bundles)), Value: rpc.Encode(delta[:n])})
		delta, bundles = delta[n:], bundles+1
	}
	for i := bundles; i < b.bundles; i++ {
		puts = append(puts, storage.Put{Table: tableDelta, Key: binary.BigEndian.AppendUint16(nil, uint16(i))})
	}
	return puts, bundles
}

func putClaim(key string, id idempotency.ID) storage.Put {
	v := binary.BigEndian.AppendUint64(nil, id.Life)
	v = binary.BigEndian.AppendUint64(v, id.N)
	return storage.Put{Table: tableClaims, Key: []byte(key), Value: append(v, id.At...)}
}

func readClaim(v []byte) (idempotency.ID, error) {
	if len(v) < 16 {
		return idempotency.ID{}, errors.New("a claim of " + strconv.Itoa(len(v)) + " bytes")
	}
	return idempotency.ID{Life: binary.BigEndian.Uint64(v), N: binary.BigEndian.Uint64(v[8:]), At: string(v[16:])}, nil
}

func (b *books) read() error {
	layout := false
	err := b.disk.Load(tableMeta, func(k, v []byte) error {
		switch string(k) {
		case "roll":
			return rpc.Decode(v, &b.roll)
		case "incs":
			return rpc.Decode(v, &b.incs)
		case "promised":
			return rpc.Decode(v, &b.acc.Promised)
		case "accepted":
			return rpc.Decode(v, &b.acc.Accepted)
		case "chosen":
			return rpc.Decode(v, &b.acc.Chosen)
		case "layout":
			layout = true
		case "target":
			return rpc.Decode(v, &b.acc.Target)
		case "mark":
			return rpc.Decode(v, &b.mark)
		case "seal":
			return rpc.Decode(v, &b.seal)
		case "former":
			return rpc.Decode(v, &b.former)
		case "number":
			return rpc.Decode(v, &b.number)
		case "past":
			return rpc.Decode(v, &b.past)
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, x := range []configuration.Ballot{b.acc.Accepted, b.acc.Target} {
		if b.acc.Promised.Less(x) { // the write of the promise had failed, that of its value had not
			b.acc.Promised = x
		}
	}
	if err := b.disk.Load(tableItems, func(k, v []byte) error {
		var i configuration.Item
		err := rpc.Decode(v, &i)
		if err == nil {
			b.acc.Stands = b.acc.Stands.With(i)
		}
		return err
	}); err != nil {
		return err
	}
	var delta []configuration.Item
	if err := b.disk.Load(tableDelta, func(k, v []byte) error {
		var bundle []configuration.Item
		err := rpc.Decode(v, &bundle)
		delta, b.bundles = append(delta, bundle...), b.bundles+1
		return err
	}); err != nil {
		return err
	}
	if !b.acc.Accepted.IsZero() {
		b.acc.Value = b.acc.Stands.With(delta...)
	}
	if !layout && b.acc.Accepted != b.acc.Chosen && len(b.incs) > 0 { // which items were chosen can't be told: it is made up for
		b.place()
		if b.me >= 0 {
			b.incs[b.me] = 0
		}
	}
	now := b.now()
	return b.disk.Load(tableClaims, func(k, v []byte) error {
		id, err := readClaim(v)
		if err == nil { // its age is not known: it counts as new
			b.ledger.Claim(now, string(k), id)
		}
		return err
	})
}

// write puts and tells; it fails at once without a disk.
func (b *books) write(puts []storage.Put, done func(error)) {
	if b.disk == nil {
		done(storage.ErrDisk)
		return
	}
	mark := uint64(0)
	if now := b.now(); b.me >= 0 && now-b.markAt >= markEvery {
		b.mark, b.markAt = b.mark+1, now
		mark = b.mark
		puts = append(slices.Clip(puts), storage.Put{Table: tableMeta, Key: []byte("mark"), Value: rpc.Encode(mark)})
	}
	b.disk.Write(puts, func(err error) {
		if err == nil && mark > 0 {
			b.p.marked.Store(mark)
		}
		if err == nil {
			b.p.ailing.Store(0)
		} else if errors.Is(err, storage.ErrDisk) {
			b.p.ailing.CompareAndSwap(0, int64(b.now())+1)
		}
		done(err)
	})
}

// markEvery is how often the mark goes to disk, beside a write that goes there anyway.
const markEvery = 250 * time.Millisecond

// knownTime is how long a purser that begins waits for what others know of its disk: a machine that is dark does not answer.
const knownTime = 60 * time.Millisecond

// compare asks whether this disk is an older copy of one that this member spoke from: it would know nothing of what it told
// since. It waits, and is not for the owner's goroutine.
func (b *books) compare() {
	b.place()
	if b.me < 0 || b.incs[b.me] == 0 {
		return
	}
	mine := messages.Mark{Epoch: b.roll.Epoch, Inc: b.incs[b.me], N: b.mark}
	for _, m := range b.p.known(b.roll) {
		if mine.Behind(m) && b.old.Behind(m) {
			b.old = m
		}
	}
}

// askKnown asks the harbourmasters beside all members.
func (p *Purser) askKnown(roll messages.Roll) []messages.Mark {
	if p.o.First == 0 {
		return nil
	}
	var addrs []string
	for _, v := range roll.Voters {
		addrs = append(addrs, messages.Beside(v.Addr, p.o.First, messages.HarbourPort))
	}
	out, _ := ask[messages.Mark](p, addrs, messages.Known, messages.KnownCall{Addr: p.o.Addr}, knownTime)
	return out
}

// ailsFor is how long each write may fail before the disk is closed and opened again: damage that is found while the disk is in
// use is known as such, and put aside, only then.
const ailsFor = 10 * time.Second

// reopen closes the disk, and opens what is there as after a start. Nothing that was told is only in memory.
func (b *books) reopen() {
	old := b.disk
	b.p.ailing.Store(0)
	b.disk, b.used, b.opening = nil, true, true
	b.set(NoDisk)
	p := b.p
	p.disks.Add(1)
	p.aside(func() func(*books) {
		if err := old.Close(); err != nil {
			p.o.Log("disk", err.Error())
		}
		return func(b *books) {
			defer p.disks.Done()
			b.opening = false
			b.open()
		}
	})
}

// ---- Calls ----

// handle hands a call over to the owner.
func (p *Purser) handle(c rpc.Call) {
	p.own.Send(func(b *books) {
		if err := b.take(c); err != nil {
			p.Counts.Refused.Add(1)
			c.Reply(nil, err)
		}
	})
}

// take works on a call. It replies, or will, or says what is wrong.
func (b *books) take(c rpc.Call) error {
	switch c.Kind {
	case messages.Prepare:
		return with(c, b.prepare)
	case messages.Accept:
		return with(c, b.accept)
	case messages.Learn:
		return with(c, b.learn)
	case messages.Turn:
		return with(c, b.turn)
	case messages.Watch:
		return with(c, b.watch)
	case messages.Claim:
		return with(c, b.claim)
	case messages.Release:
		return with(c, b.release)
	case messages.Muster:
		return with(c, b.muster)
	case messages.Lease:
		return with(c, b.lease)
	case messages.Ready:
		return with(c, b.ready)
	case messages.Succeed:
		return with(c, b.succeed)
	case messages.Relieve:
		return with(c, b.relieve)
	case messages.Handover:
		return with(c, b.handover)
	case messages.Report:
		b.report(c)
		return nil
	}
	return errcode.New(errcode.UnknownCall, "kind %d", c.Kind)
}

func with[T any](c rpc.Call, f func(rpc.Call, T) error) error {
	var v T
	if err := rpc.Decode(c.Body, &v); err != nil {
		return err
	}
	return f(c, v)
}

// counts reports whether it may speak as a member.
func (b *books) counts(epoch uint64) error {
	if err := b.member(epoch); err != nil {
		return err
	}
	if b.seal.Shut() || b.taking {
		return errcode.New(errcode.NotFound, "epoch %d has ended here", epoch)
	}
	return nil
}

// member reports whether it is a member of an epoch, even if it is sealed there.
func (b *books) member(epoch uint64) error {
	switch {
	case epoch != b.roll.Epoch && b.roll.Epoch > 0: // whoever hears that learns who counts, or asks again soon
		return errcode.New(errcode.NotFound, "epoch %d, here %d", epoch, b.roll.Epoch)
	case b.state == Repairing:
		return errcode.New(errcode.Recovering, "")
	case b.state != Serving:
		return errcode.New(errcode.NoQuorum, "%s", b.state)
	case b.disk.Stalled() > stalledAfter:
		return errcode.New(errcode.DiskUnavailable, "")
	}
	return nil
}

// stalledAfter is how long one commit may take before calls are refused at once.
const stalledAfter = 300 * time.Millisecond

func (b *books) prepare(c rpc.Call, m messages.PrepareCall) error {
	b.p.Counts.Prepares.Add(1)
	if err := b.counts(m.Epoch); err != nil {
		return err
	}
	if b.accepting {
		b.queued = append(b.queued, func(b *books) { b.again(c, b.prepare(c, m)) })
		return nil
	}
	if b.acc.Learns(m.Have) { // first, so that what is to be told and kept beside it stays small
		b.fold(m.Have, func(b *books, err error) {
			if err == nil {
				err = b.prepare(c, m)
			} else {
				err = errcode.New(errcode.DiskUnavailable, "%w", err)
			}
			b.again(c, err)
		})
		return nil
	}
	if !b.acc.Prepare(m.B) {
		c.Reply(consensus.Promise{Vouch: b.vouch(), Promised: b.acc.Promised, Accepted: b.acc.Accepted}, nil)
		return nil
	}
	answer := b.acc.Promise(b.vouch(), m.Have)
	answer.Former = b.inherited()
	b.write([]storage.Put{putBallot("promised", m.B)}, func(err error) { reply(c, answer, err) })
	return nil
}

func (b *books) again(c rpc.Call, err error) {
	if err != nil {
		c.Reply(nil, err)
	}
}

// reply answers once the disk has, from whatever goroutine.
func reply(c rpc.Call, v any, err error) {
	if err != nil {
		c.Reply(nil, errcode.New(errcode.DiskUnavailable, "%w", err))
		return
	}
	c.Reply(v, nil)
}

func (b *books) accept(c rpc.Call, m messages.AcceptCall) error {
	b.p.Counts.Accepts.Add(1)
	if err := b.counts(m.Epoch); err != nil {
		return err
	}
	if b.accepting {
		b.queued = append(b.queued, func(b *books) { b.again(c, b.accept(c, m)) })
		return nil
	}
	if !b.acc.May(m.B, m.Base) {
		c.Reply(b.accepted(false), nil)
		return nil
	}
	delta := b.acc.Delta(m.Changes)
	puts, bundles := b.putDelta(delta)
	puts = append(puts, putBallot("accepted", m.B), putLayout)
	if b.acc.Promised.Less(m.B) {
		puts = append(puts, putBallot("promised", m.B))
	}
	b.alter(puts, func(b *books, err error) {
		if err == nil {
			b.acc.Accept(m.B, delta)
			b.bundles = bundles
		}
		reply(c, b.accepted(true), err)
	})
	return nil
}

// accepted answers who brought a part of the register.
func (b *books) accepted(taken bool) messages.Accepted {
	return messages.Accepted{Vouch: b.vouch(), Taken: taken, Promised: b.acc.Promised, Accepted: b.acc.Accepted, Chosen: b.acc.Chosen}
}

// alter writes a change of the register, and takes it once it is on disk. What comes meanwhile waits.
func (b *books) alter(puts []storage.Put, taken func(*books, error)) {
	b.accepting = true
	b.write(puts, func(err error) {
		b.p.later(func(b *books) {
			b.accepting = false
			taken(b, err)
			queued := b.queued
			b.queued = nil
			for _, f := range queued {
				f(b)
			}
		})
	})
}

// fold makes the value that was accepted the base, as it was chosen.
func (b *books) fold(of configuration.Ballot, done func(*books, error)) {
	puts, _ := b.putDelta(nil)
	for i := range b.acc.Value.Since(b.acc.Chosen) {
		puts = append(puts, putItem(i))
	}
	was := b.acc.CatchesUp() // what it lacked may have come with what was proposed
	puts = append(puts, putBallot("chosen", of), storage.Put{Table: tableMeta, Key: []byte("target")})
	b.alter(puts, func(b *books, err error) {
		if err == nil && b.acc.Learn(of) { // else whoever asks next tells again
			b.bundles = 0
			b.caught(was)
			b.wake()
		}
		done(b, err)
	})
}

func (b *books) learn(c rpc.Call, m messages.LearnCall) error {
	if b.accepting {
		b.queued = append(b.queued, func(b *books) { b.again(c, b.learn(c, m)) })
		return nil
	}
	c.Reply(b.accepted(b.acc.Accepted == m.B), nil)
	if b.acc.Learns(m.B) && b.state == Serving && !b.taking { // else the register is being replaced
		b.fold(m.B, func(*books, error) {})
	}
	return nil
}

// turn takes a page of a chosen value that this member missed.
func (b *books) turn(c rpc.Call, m messages.TurnCall) error {
	if err := b.counts(m.Epoch); err != nil {
		return err
	}
	if b.accepting {
		b.queued = append(b.queued, func(b *books) { b.again(c, b.turn(c, m)) })
		return nil
	}
	if !b.acc.Turns(m.Page) {
		c.Reply(b.accepted(false), nil)
		return nil
	}
	was := b.acc.CatchesUp()
	next := *b.acc
	next.Turn(m.Page)
	puts, _ := b.putDelta(nil)
	for _, i := range m.Page.News(b.acc.Stands) {
		puts = append(puts, putItem(i))
	}
	puts = append(puts, putBallots(&next)...)
	b.alter(puts, func(b *books, err error) {
		if err == nil {
			b.acc.Turn(m.Page)
			b.bundles = 0
			b.caught(was)
			b.wake()
		}
		reply(c, b.accepted(true), err)
	})
	return nil
}

// caught logs the begin and the end of catching up. was: whether it did before.
func (b *books) caught(was bool) {
	if is := b.acc.CatchesUp(); is != was {
		b.p.o.Log("register", fmt.Sprintf("catching up %v: all up to ballot %d of %d", is, b.acc.Chosen.N, b.acc.Target.N))
	}
}

func (b *books) watched(have configuration.Ballot) messages.Watched {
	w := messages.Watched{Vouch: b.vouch(), Promised: b.acc.Promised, Accepted: b.acc.Accepted, Chosen: b.acc.Chosen,
		Known: b.acc.Known(), Roll: b.roll, State: string(b.state), Keys: b.ledger.Len(), Shut: b.seal.Shut(), Mark: b.p.marked.Load()}
	if have.Less(b.acc.Chosen) && !b.acc.CatchesUp() {
		p := consensus.PageOf(b.acc.Stands, b.acc.Chosen, have)
		w.Items, w.From, w.Upto = p.Items, p.From, p.Upto
	}
	return w
}

// watch answers at once where there is news, and else when there is some or the time is up. A member that may not speak as
// one says so by its state.
func (b *books) watch(c rpc.Call, m messages.WatchCall) error {
	b.p.Counts.Watches.Add(1)
	w := &watcher{c: c, w: m, came: b.now()}
	if m.HoldMs == 0 || b.news(w) {
		c.Reply(b.watched(m.Have), nil)
		return nil
	}
	b.watchers = append(b.watchers, w)
	w.timer = time.AfterFunc(time.Duration(min(m.HoldMs, 5000))*time.Millisecond, func() {
		b.p.own.Send(func(b *books) { b.answer(w) })
	})
	return nil
}

func (b *books) news(w *watcher) bool {
	return w.w.Have.Less(b.acc.Chosen) && !b.acc.CatchesUp() || w.w.Epoch < b.roll.Epoch || w.w.Open && b.sealed
}

func (b *books) answer(w *watcher) {
	if !w.done {
		w.done = true
		w.timer.Stop()
		b.watchers = slices.DeleteFunc(b.watchers, func(o *watcher) bool { return o == w })
		told := b.watched(w.w.Have)
		told.HeldMs = uint32((b.now() - w.came).Milliseconds())
		w.c.Reply(told, nil)
	}
}

// wake answers those for whom there is news.
func (b *books) wake() {
	for _, w := range slices.Clone(b.watchers) {
		if b.news(w) {
			b.answer(w)
		}
	}
}

func (b *books) claim(c rpc.Call, m messages.ClaimCall) error {
	b.p.Counts.Claims.Add(1)
	if err := b.counts(m.Epoch); err != nil {
		return err
	}
	if m.Key == "" || len(m.Key) > maxKey || m.ID.IsZero() {
		return errcode.New(errcode.Malformed, "")
	}
	holder, granted := b.ledger.Claim(b.now(), m.Key, m.ID)
	answer := idempotency.Grant{Vouch: b.vouch(), Given: granted, Holder: holder}
	switch {
	case !granted:
		b.p.Counts.Denied.Add(1)
		c.Reply(answer, nil)
	default:
		// One that comes again is written again: the first may still be on its way to disk. One whose write failed stays held:
		// it may come again meanwhile, and a claimant that does not get the key gives it back by itself.
		b.write([]storage.Put{putClaim(m.Key, m.ID)}, func(err error) {
			if err != nil {
				b.p.adrift.Add(1)
			}
			reply(c, answer, err)
		})
	}
	return nil
}

// maxKey bounds an operation key.
const maxKey = 512

func (b *books) release(c rpc.Call, m messages.ReleaseCall) error {
	if b.ledger.Release(m.Key, m.ID) {
		b.p.Counts.Released.Add(1)
		b.write([]storage.Put{{Table: tableClaims, Key: []byte(m.Key)}}, func(error) {}) // what stays blocks a key at the most
	}
	c.Reply(nil, nil)
	return nil
}

// lease grants a duty, or takes it back.
func (b *books) lease(c rpc.Call, m messages.LeaseCall) error {
	if m.Give {
		b.duties.Give(m.Duty, m.By)
		c.Reply(messages.Leased{}, nil)
		return nil
	}
	speaks := b.counts
	if m.Duty == lease.Roll { // whoever finishes a change of the roll asks those that are sealed
		speaks = b.member
	}
	if err := speaks(m.Epoch); err != nil {
		return err
	}
	c.Reply(messages.Leased{Given: b.duties.Grant(b.now(), m.Duty, m.By)}, nil)
	return nil
}

// expireAtOnce bounds the keys that one tick forgets.
const expireAtOnce = 512

// tick opens a disk that could not be, forgets old keys and goes on with a repair.
func (b *books) tick() {
	switch b.state {
	case NoDisk:
		switch {
		case b.disk == nil:
			b.open()
		case !b.founding: // it failed
			b.found()
		}
	case NoRoll, Repairing:
		b.repair()
	}
	if b.disk == nil {
		return
	}
	since := b.p.ailing.Load()
	if since != 0 && b.now()-time.Duration(since-1) > ailsFor && b.state != NoDisk && !b.accepting && !b.mustering && !b.taking {
		b.reopen()
		return
	}
	if keys := b.ledger.Expire(b.now(), expireAtOnce); len(keys) > 0 {
		puts := make([]storage.Put, len(keys))
		for i, k := range keys {
			puts[i] = storage.Put{Table: tableClaims, Key: []byte(k)}
		}
		b.disk.Write(puts, func(error) {})
	}
}
