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
	Serving    State = "serving"
	NonVoter   State = "apart"     // it does not count
	Repairing  State = "repairing" // it counts, and its disk was lost
	NoDisk     State = "no disk"   // the disk can't be opened
	NoVoterSet State = "no roll"   // it does not know yet who counts
)

// Options are what a purser is started with.
type Options struct {
	Addr          string // host:port it is called at
	Dir           string // of its disk
	Zone          string
	Bootstrap     bool             // the very first start: Found counts from now on
	InitialVoters []messages.Voter // who counts at the very first start
	Seeds         func() []string  // where other pursers may be
	QuorumMember  bool             // its machine is one whose loss is bounded
	Window        time.Duration    // keys are kept for so long at least
	MaxBytes      int64            // on disk
	FirstPort     int              // the first of the free ports, on every machine; 0: no harbourmaster is asked
	Net           sock.Net         // nil: the system's
	SimulatedDisk func() error     // of hold.Options
	Log           func(event, text string)
}

// Counts of what a purser did.
type Counts struct {
	Claims, Denied, Released, Refused, Accepts, Prepares, Watches, Recoveries atomic.Int64
}

// Server is one member's store.
type Server struct {
	opts              Options
	owner             *rpc.Owner[voterState]
	rpcServer         *rpc.Server
	Counts            Counts
	stopped           chan struct{}
	diskWork          sync.WaitGroup // openings of the disk, and closings ahead of one
	openStorage       func(storage.Options) (disk, storage.Condition, error)
	runAsync          func(func() func(*voterState))      // does what waits beside the owner's goroutine, and queues the command that it gives
	enqueue           func(func(*voterState))             // queues a command from where nobody may wait
	fetchMarks        func(messages.Roll) []messages.Mark // asks harbourmasters what this member told last
	savedMark         atomic.Uint64                       // the last mark that is on disk
	failedClaimWrites atomic.Int64                        // writes of claims that failed: these may be held in memory alone
	failingSince      atomic.Int64                        // since when, by books.now and plus one, each write failed that ended; 0: the last did not
}

// disk is what a purser asks of its hold.
type disk interface {
	Load(t storage.Table, each func(key, value []byte) error) error
	Write(puts []storage.Put, done func(error))
	Stalled() time.Duration
	Close() error
}

// voterState are the tables.
type voterState struct {
	srv                 *Server
	startedAt           time.Time
	state               State
	disk                disk // nil: there is none
	acceptor            *consensus.Acceptor
	claims              *idempotency.Ledger
	leases              *lease.Granter
	voterSet            messages.Roll
	index               int      // place in the roll; -1: none
	incarnations        []uint64 // by place
	seal                reconfig.Seal
	sealDurable         bool                 // the seal is shut, or the books are past, and that is on disk
	inheritedBallot     configuration.Ballot // the value accepted in a former epoch; zero: none
	diskID              uint64               // of the disk, by which a roll names it; 0: it was never asked for
	formerEpoch         *formerEpoch         // the books are of a former epoch
	restoredClaimWrites int64                // of adrift, that a taking over has made up for
	takingOver          bool                 // books are being taken over
	takeoverWaiters     []func(error)        // who hear of that
	registerBusy        bool                 // the register is on its way to disk
	deltaRows           int                  // of the delta, on disk
	queuedCalls         []func(*voterState)
	watchers            []*watcher
	recovering          bool
	openingDisk         bool          // the disk is being opened
	bootstrapping       bool          // the founding is on its way to disk
	mark                uint64        // the last that was given to the disk
	markedAt            time.Duration // and when
	newerMark           messages.Mark // that was told from a later disk than the one that was read; zero: none
	diskUsed            bool          // a disk was in use before, or found damaged: an empty one is no beginning any more
	closed              bool          // the purser ends
	diskError           string        // why the disk could not be opened or took no founding, as the log has it
}

type watcher struct {
	call       rpc.Call
	request    messages.WatchCall
	receivedAt time.Duration
	timer      *time.Timer // of its end
	done       bool
}

// Start begins to serve at o.Addr.
func Start(o Options) (*Server, error) {
	l, err := rpc.Listen(o.Net, o.Addr)
	if err != nil {
		return nil, err
	}
	return StartOn(o, l), nil
}

// StartOn is Start on a listener that is open.
func StartOn(o Options, l net.Listener) *Server {
	p := &Server{opts: o, stopped: make(chan struct{}), openStorage: openStorage}
	p.fetchMarks = p.askRegistries
	p.enqueue = func(f func(*voterState)) { go p.owner.Send(f) }
	p.runAsync = func(f func() func(*voterState)) {
		go func() {
			if g := f(); !p.owner.Ask(g) { // it has ended meanwhile
				g(&voterState{srv: p, closed: true})
			}
		}()
	}
	b := &voterState{srv: p, startedAt: time.Now(), state: NoDisk, index: -1, leases: lease.NewGranter(0)}
	b.resetContent()
	p.owner = rpc.Own(b, 1024)
	p.rpcServer = rpc.Serve(l, p.handle)
	p.owner.Send((*voterState).openDisk)
	go p.tick()
	return p
}

func openStorage(o storage.Options) (disk, storage.Condition, error) {
	h, start, err := storage.Open(o)
	if err != nil {
		return nil, start, err
	}
	return h, start, nil
}

// closeTimeout bounds how long Close waits for a disk that is being opened.
const closeTimeout = 5 * time.Second

// Close ends it; what is queued for the disk is waited for, and so is a disk that is being opened: behind Close nothing of it
// touches the folder any more, but for an ErrStalled.
func (p *Server) Close() error {
	close(p.stopped)
	p.rpcServer.Close()
	var disk disk
	p.owner.Ask(func(b *voterState) { disk, b.closed = b.disk, true })
	p.owner.End()
	if disk != nil {
		return disk.Close()
	}
	opened := make(chan struct{})
	go func() { p.diskWork.Wait(); close(opened) }()
	select {
	case <-opened:
		return nil
	case <-time.After(closeTimeout):
		return fmt.Errorf("%w: it is being opened", storage.ErrStalled)
	}
}

// Status is for the log and the console.
type Status struct {
	State      State
	Keys       int
	Chosen     configuration.Ballot
	VoterSet   messages.Roll
	EpochEnded bool // its epoch has ended here
	DiskStall  time.Duration
}

// Status tells how it stands.
func (p *Server) Status() (s Status) {
	p.owner.Ask(func(b *voterState) {
		s = Status{State: b.state, Keys: b.claims.Len(), Chosen: b.acceptor.Chosen, VoterSet: b.voterSet, EpochEnded: b.seal.Shut()}
		if b.disk != nil {
			s.DiskStall = b.disk.Stalled()
		}
	})
	return s
}

const tickInterval = 250 * time.Millisecond

func (p *Server) tick() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.owner.Send((*voterState).tick)
		case <-p.stopped:
			return
		}
	}
}

func (b *voterState) now() time.Duration { return time.Since(b.startedAt) }

// resetContent forgets what is kept on disk, other than the roll.
func (b *voterState) resetContent() {
	b.acceptor, b.claims, b.deltaRows = consensus.NewAcceptor(), idempotency.NewLedger(b.srv.opts.Window), 0
}

// reset forgets all that a disk told.
func (b *voterState) reset() {
	b.resetContent()
	b.voterSet, b.incarnations, b.index = messages.Roll{}, nil, -1
	b.seal, b.sealDurable, b.inheritedBallot, b.diskID, b.formerEpoch = reconfig.Seal{}, false, configuration.Ballot{}, 0, nil
}

func (b *voterState) setState(s State) {
	if s != b.state {
		b.srv.opts.Log("state", fmt.Sprintf("%s -> %s", b.state, s))
		b.state = s
	}
}

// openDisk opens the disk and reads all that is there.
//
// The disk is waited for beside the owner's goroutine: one that hangs must not silence watches and reports.
func (b *voterState) openDisk() {
	if b.openingDisk || b.closed {
		return
	}
	b.openingDisk = true
	b.srv.diskWork.Add(1)
	p, begun := b.srv, b.startedAt
	p.runAsync(func() func(*voterState) {
		disk, found, err := p.openStorage(storage.Options{Dir: p.opts.Dir, MaxBytes: p.opts.MaxBytes, SimulatedDisk: p.opts.SimulatedDisk,
			Log: func(s string) { p.opts.Log("disk", s) }})
		read := &voterState{srv: p, startedAt: begun, disk: disk}
		if read.reset(); err == nil {
			p.opts.Log("disk", "found "+found.String())
			if err = read.loadDisk(); err != nil { // nothing of it counts, above all not its incarnation: the next disk may be an empty one
				disk.Close()
				err = fmt.Errorf("reading: %w", err)
			} else {
				read.detectOldCopy()
			}
		}
		return func(b *voterState) {
			defer p.diskWork.Done()
			b.diskOpened(read, found, err)
		}
	})
}

// diskOpened takes what was read off a disk.
func (b *voterState) diskOpened(read *voterState, found storage.Condition, err error) {
	b.openingDisk = false
	b.diskUsed = b.diskUsed || found == storage.Damaged
	switch {
	case err != nil:
		if text := err.Error(); text != b.diskError {
			b.diskError = text
			b.srv.opts.Log("disk", text)
		}
		return
	case b.closed:
		read.disk.Close()
		return
	}
	b.diskError = ""
	b.disk, b.acceptor, b.claims, b.voterSet, b.incarnations, b.index = read.disk, read.acceptor, read.claims, read.voterSet, read.incarnations, read.index
	b.deltaRows = read.deltaRows
	b.seal, b.sealDurable, b.inheritedBallot, b.diskID, b.formerEpoch = read.seal, read.seal.Shut() || read.formerEpoch != nil, read.inheritedBallot, read.diskID, read.formerEpoch
	b.mark, b.markedAt = read.mark, b.now()
	b.srv.savedMark.Store(b.mark)
	switch {
	case b.voterSet.Epoch > 0:
		b.locate()
		if read.newerMark != (messages.Mark{}) {
			b.srv.opts.Log("disk", fmt.Sprintf("older than what was told from it: %+v", read.newerMark))
			b.incarnations[b.index] = 0
			b.write([]storage.Put{b.putIncarnations()}, func(error) {}) // else it is found out again
		}
		if b.index >= 0 && b.incarnations[b.index] == 0 { // it died amid a repair
			b.setState(Repairing)
		} else if b.index >= 0 {
			b.setState(Serving)
		} else {
			b.setState(NonVoter)
		}
	case b.srv.opts.Bootstrap && !b.diskUsed && found == storage.Empty && len(b.srv.opts.InitialVoters) > 0:
		b.bootstrap()
	default:
		b.setState(NoVoterSet)
	}
	if b.state == NoVoterSet || b.state == Repairing {
		b.repair()
	}
}

// bootstrap begins the very first epoch.
func (b *voterState) bootstrap() {
	b.voterSet = messages.Roll{Epoch: 1, Voters: b.srv.opts.InitialVoters}
	b.incarnations = make([]uint64, len(b.voterSet.Voters))
	b.locate()
	if b.index >= 0 {
		for i := range b.incarnations {
			b.incarnations[i] = 1
		}
	}
	b.bootstrapping = true
	b.disk.Write([]storage.Put{b.putVoterSet(), b.putIncarnations()}, func(err error) {
		b.srv.enqueue(func(b *voterState) {
			b.bootstrapping = false
			switch {
			case err != nil: // it was part of nothing yet: the next tick begins again
				b.reset()
				if text := err.Error(); text != b.diskError {
					b.diskError = text
					b.srv.opts.Log("disk", text)
				}
			case b.index >= 0:
				b.setState(Serving)
			default:
				b.setState(NonVoter)
			}
			b.notifyWatchers()
		})
	})
}

func (b *voterState) locate() {
	b.index = b.voterSet.Place(b.srv.opts.Addr)
	if len(b.incarnations) != len(b.voterSet.Voters) {
		b.incarnations = make([]uint64, len(b.voterSet.Voters))
	}
}

func (b *voterState) vouch() consensus.Vouch {
	return consensus.Vouch{By: b.index, Incs: slices.Clone(b.incarnations)}
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

func (b *voterState) putVoterSet() storage.Put {
	return storage.Put{Table: tableMeta, Key: []byte("roll"), Value: rpc.Encode(b.voterSet)}
}

func (b *voterState) putIncarnations() storage.Put {
	return storage.Put{Table: tableMeta, Key: []byte("incs"), Value: rpc.Encode(b.incarnations)}
}

func itemKey(k configuration.Key) []byte { return append([]byte{byte(k.Kind)}, k.Name...) }

func putItem(i configuration.Item) storage.Put {
	return storage.Put{Table: tableItems, Key: itemKey(i.Key), Value: rpc.Encode(i)}
}

// deltaRowBytes is about what one row of the delta has.
const deltaRowBytes = 64 << 10

// putDelta puts a delta in place of the one that is on disk, which may be none.
func (b *voterState) putDelta(delta []configuration.Item) (puts []storage.Put, bundles int) {
	for len(delta) > 0 {
		n := 0
		for size := 0; n < len(delta) && size < deltaRowBytes; n++ {
			size += consensus.Size(delta[n])
		}
		puts = append(puts, storage.Put{Table: tableDelta, Key: binary.BigEndian.AppendUint16(nil, uint16(bundles)), Value: rpc.Encode(delta[:n])})
		delta, bundles = delta[n:], bundles+1
	}
	for i := bundles; i < b.deltaRows; i++ {
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

func (b *voterState) loadDisk() error {
	layout := false
	err := b.disk.Load(tableMeta, func(k, v []byte) error {
		switch string(k) {
		case "roll":
			return rpc.Decode(v, &b.voterSet)
		case "incs":
			return rpc.Decode(v, &b.incarnations)
		case "promised":
			return rpc.Decode(v, &b.acceptor.Promised)
		case "accepted":
			return rpc.Decode(v, &b.acceptor.Accepted)
		case "chosen":
			return rpc.Decode(v, &b.acceptor.Chosen)
		case "layout":
			layout = true
		case "target":
			return rpc.Decode(v, &b.acceptor.Target)
		case "mark":
			return rpc.Decode(v, &b.mark)
		case "seal":
			return rpc.Decode(v, &b.seal)
		case "former":
			return rpc.Decode(v, &b.inheritedBallot)
		case "number":
			return rpc.Decode(v, &b.diskID)
		case "past":
			return rpc.Decode(v, &b.formerEpoch)
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, x := range []configuration.Ballot{b.acceptor.Accepted, b.acceptor.Target} {
		if b.acceptor.Promised.Less(x) { // the write of the promise had failed, that of its value had not
			b.acceptor.Promised = x
		}
	}
	if err := b.disk.Load(tableItems, func(k, v []byte) error {
		var i configuration.Item
		err := rpc.Decode(v, &i)
		if err == nil {
			b.acceptor.Stands = b.acceptor.Stands.With(i)
		}
		return err
	}); err != nil {
		return err
	}
	var delta []configuration.Item
	if err := b.disk.Load(tableDelta, func(k, v []byte) error {
		var bundle []configuration.Item
		err := rpc.Decode(v, &bundle)
		delta, b.deltaRows = append(delta, bundle...), b.deltaRows+1
		return err
	}); err != nil {
		return err
	}
	if !b.acceptor.Accepted.IsZero() {
		b.acceptor.Value = b.acceptor.Stands.With(delta...)
	}
	if !layout && b.acceptor.Accepted != b.acceptor.Chosen && len(b.incarnations) > 0 { // which items were chosen can't be told: it is made up for
		b.locate()
		if b.index >= 0 {
			b.incarnations[b.index] = 0
		}
	}
	now := b.now()
	return b.disk.Load(tableClaims, func(k, v []byte) error {
		id, err := readClaim(v)
		if err == nil { // its age is not known: it counts as new
			b.claims.Claim(now, string(k), id)
		}
		return err
	})
}

// write puts and tells; it fails at once without a disk.
func (b *voterState) write(puts []storage.Put, done func(error)) {
	if b.disk == nil {
		done(storage.ErrDisk)
		return
	}
	mark := uint64(0)
	if now := b.now(); b.index >= 0 && now-b.markedAt >= markInterval {
		b.mark, b.markedAt = b.mark+1, now
		mark = b.mark
		puts = append(slices.Clip(puts), storage.Put{Table: tableMeta, Key: []byte("mark"), Value: rpc.Encode(mark)})
	}
	b.disk.Write(puts, func(err error) {
		if err == nil && mark > 0 {
			b.srv.savedMark.Store(mark)
		}
		if err == nil {
			b.srv.failingSince.Store(0)
		} else if errors.Is(err, storage.ErrDisk) {
			b.srv.failingSince.CompareAndSwap(0, int64(b.now())+1)
		}
		done(err)
	})
}

// markInterval is how often the mark goes to disk, beside a write that goes there anyway.
const markInterval = 250 * time.Millisecond

// marksTimeout is how long a purser that begins waits for what others know of its disk: a machine that is dark does not answer.
const marksTimeout = 60 * time.Millisecond

// detectOldCopy asks whether this disk is an older copy of one that this member spoke from: it would know nothing of what it told
// since. It waits, and is not for the owner's goroutine.
func (b *voterState) detectOldCopy() {
	b.locate()
	if b.index < 0 || b.incarnations[b.index] == 0 {
		return
	}
	mine := messages.Mark{Epoch: b.voterSet.Epoch, Inc: b.incarnations[b.index], N: b.mark}
	for _, m := range b.srv.fetchMarks(b.voterSet) {
		if mine.Behind(m) && b.newerMark.Behind(m) {
			b.newerMark = m
		}
	}
}

// askRegistries asks the harbourmasters beside all members.
func (p *Server) askRegistries(roll messages.Roll) []messages.Mark {
	if p.opts.FirstPort == 0 {
		return nil
	}
	var addrs []string
	for _, v := range roll.Voters {
		addrs = append(addrs, messages.Beside(v.Addr, p.opts.FirstPort, messages.HarbourPort))
	}
	out, _ := askAll[messages.Mark](p, addrs, messages.Known, messages.KnownCall{Addr: p.opts.Addr}, marksTimeout)
	return out
}

// reopenAfter is how long each write may fail before the disk is closed and opened again: damage that is found while the disk is in
// use is known as such, and put aside, only then.
const reopenAfter = 10 * time.Second

// reopenDisk closes the disk, and opens what is there as after a start. Nothing that was told is only in memory.
func (b *voterState) reopenDisk() {
	old := b.disk
	b.srv.failingSince.Store(0)
	b.disk, b.diskUsed, b.openingDisk = nil, true, true
	b.setState(NoDisk)
	p := b.srv
	p.diskWork.Add(1)
	p.runAsync(func() func(*voterState) {
		if err := old.Close(); err != nil {
			p.opts.Log("disk", err.Error())
		}
		return func(b *voterState) {
			defer p.diskWork.Done()
			b.openingDisk = false
			b.openDisk()
		}
	})
}

// ---- Calls ----

// handle hands a call over to the owner.
func (p *Server) handle(c rpc.Call) {
	p.owner.Send(func(b *voterState) {
		if err := b.dispatch(c); err != nil {
			p.Counts.Refused.Add(1)
			c.Reply(nil, err)
		}
	})
}

// dispatch works on a call. It replies, or will, or says what is wrong.
func (b *voterState) dispatch(c rpc.Call) error {
	switch c.Kind {
	case messages.Prepare:
		return decodeCall(c, b.prepare)
	case messages.Accept:
		return decodeCall(c, b.accept)
	case messages.Learn:
		return decodeCall(c, b.learn)
	case messages.Turn:
		return decodeCall(c, b.applyPage)
	case messages.Watch:
		return decodeCall(c, b.watch)
	case messages.Claim:
		return decodeCall(c, b.claimKey)
	case messages.Release:
		return decodeCall(c, b.release)
	case messages.Muster:
		return decodeCall(c, b.serveRecovery)
	case messages.Lease:
		return decodeCall(c, b.grantLease)
	case messages.Ready:
		return decodeCall(c, b.reportReadiness)
	case messages.Succeed:
		return decodeCall(c, b.voteSuccessor)
	case messages.Relieve:
		return decodeCall(c, b.adoptVoterSet)
	case messages.Handover:
		return decodeCall(c, b.handover)
	case messages.Report:
		b.report(c)
		return nil
	}
	return errcode.New(errcode.NoCall, "kind %d", c.Kind)
}

func decodeCall[T any](c rpc.Call, f func(rpc.Call, T) error) error {
	var v T
	if err := rpc.Decode(c.Body, &v); err != nil {
		return err
	}
	return f(c, v)
}

// requireVoting reports whether it may speak as a member.
func (b *voterState) requireVoting(epoch uint64) error {
	if err := b.requireMember(epoch); err != nil {
		return err
	}
	if b.seal.Shut() || b.takingOver {
		return errcode.New(errcode.Gone, "epoch %d has ended here", epoch)
	}
	return nil
}

// requireMember reports whether it is a member of an epoch, even if it is sealed there.
func (b *voterState) requireMember(epoch uint64) error {
	switch {
	case epoch != b.voterSet.Epoch && b.voterSet.Epoch > 0: // whoever hears that learns who counts, or asks again soon
		return errcode.New(errcode.Gone, "epoch %d, here %d", epoch, b.voterSet.Epoch)
	case b.state == Repairing:
		return errcode.New(errcode.Repairing, "")
	case b.state != Serving:
		return errcode.New(errcode.CoreOut, "%s", b.state)
	case b.disk.Stalled() > stalledAfter:
		return errcode.New(errcode.DiskOut, "")
	}
	return nil
}

// stalledAfter is how long one commit may take before calls are refused at once.
const stalledAfter = 300 * time.Millisecond

func (b *voterState) prepare(c rpc.Call, m messages.PrepareCall) error {
	b.srv.Counts.Prepares.Add(1)
	if err := b.requireVoting(m.Epoch); err != nil {
		return err
	}
	if b.registerBusy {
		b.queuedCalls = append(b.queuedCalls, func(b *voterState) { b.replyError(c, b.prepare(c, m)) })
		return nil
	}
	if b.acceptor.Learns(m.Have) { // first, so that what is to be told and kept beside it stays small
		b.commitAccepted(m.Have, func(b *voterState, err error) {
			if err == nil {
				err = b.prepare(c, m)
			} else {
				err = errcode.New(errcode.DiskOut, "%w", err)
			}
			b.replyError(c, err)
		})
		return nil
	}
	if !b.acceptor.Prepare(m.B) {
		c.Reply(consensus.Promise{Vouch: b.vouch(), Promised: b.acceptor.Promised, Accepted: b.acceptor.Accepted}, nil)
		return nil
	}
	answer := b.acceptor.Promise(b.vouch(), m.Have)
	answer.Former = b.valueInherited()
	b.write([]storage.Put{putBallot("promised", m.B)}, func(err error) { reply(c, answer, err) })
	return nil
}

func (b *voterState) replyError(c rpc.Call, err error) {
	if err != nil {
		c.Reply(nil, err)
	}
}

// reply answers once the disk has, from whatever goroutine.
func reply(c rpc.Call, v any, err error) {
	if err != nil {
		c.Reply(nil, errcode.New(errcode.DiskOut, "%w", err))
		return
	}
	c.Reply(v, nil)
}

func (b *voterState) accept(c rpc.Call, m messages.AcceptCall) error {
	b.srv.Counts.Accepts.Add(1)
	if err := b.requireVoting(m.Epoch); err != nil {
		return err
	}
	if b.registerBusy {
		b.queuedCalls = append(b.queuedCalls, func(b *voterState) { b.replyError(c, b.accept(c, m)) })
		return nil
	}
	if !b.acceptor.May(m.B, m.Base) {
		c.Reply(b.accepted(false), nil)
		return nil
	}
	delta := b.acceptor.Delta(m.Changes)
	puts, bundles := b.putDelta(delta)
	puts = append(puts, putBallot("accepted", m.B), putLayout)
	if b.acceptor.Promised.Less(m.B) {
		puts = append(puts, putBallot("promised", m.B))
	}
	b.writeRegister(puts, func(b *voterState, err error) {
		if err == nil {
			b.acceptor.Accept(m.B, delta)
			b.deltaRows = bundles
		}
		reply(c, b.accepted(true), err)
	})
	return nil
}

// accepted answers who brought a part of the register.
func (b *voterState) accepted(taken bool) messages.Accepted {
	return messages.Accepted{Vouch: b.vouch(), Taken: taken, Promised: b.acceptor.Promised, Accepted: b.acceptor.Accepted, Chosen: b.acceptor.Chosen}
}

// writeRegister writes a change of the register, and takes it once it is on disk. What comes meanwhile waits.
func (b *voterState) writeRegister(puts []storage.Put, taken func(*voterState, error)) {
	b.registerBusy = true
	b.write(puts, func(err error) {
		b.srv.enqueue(func(b *voterState) {
			b.registerBusy = false
			taken(b, err)
			queued := b.queuedCalls
			b.queuedCalls = nil
			for _, f := range queued {
				f(b)
			}
		})
	})
}

// commitAccepted makes the value that was accepted the base, as it was chosen.
func (b *voterState) commitAccepted(of configuration.Ballot, done func(*voterState, error)) {
	puts, _ := b.putDelta(nil)
	for i := range b.acceptor.Value.Since(b.acceptor.Chosen) {
		puts = append(puts, putItem(i))
	}
	was := b.acceptor.CatchesUp() // what it lacked may have come with what was proposed
	puts = append(puts, putBallot("chosen", of), storage.Put{Table: tableMeta, Key: []byte("target")})
	b.writeRegister(puts, func(b *voterState, err error) {
		if err == nil && b.acceptor.Learn(of) { // else whoever asks next tells again
			b.deltaRows = 0
			b.logCatchUp(was)
			b.notifyWatchers()
		}
		done(b, err)
	})
}

func (b *voterState) learn(c rpc.Call, m messages.LearnCall) error {
	if b.registerBusy {
		b.queuedCalls = append(b.queuedCalls, func(b *voterState) { b.replyError(c, b.learn(c, m)) })
		return nil
	}
	c.Reply(b.accepted(b.acceptor.Accepted == m.B), nil)
	if b.acceptor.Learns(m.B) && b.state == Serving && !b.takingOver { // else the register is being replaced
		b.commitAccepted(m.B, func(*voterState, error) {})
	}
	return nil
}

// applyPage takes a page of a chosen value that this member missed.
func (b *voterState) applyPage(c rpc.Call, m messages.TurnCall) error {
	if err := b.requireVoting(m.Epoch); err != nil {
		return err
	}
	if b.registerBusy {
		b.queuedCalls = append(b.queuedCalls, func(b *voterState) { b.replyError(c, b.applyPage(c, m)) })
		return nil
	}
	if !b.acceptor.Turns(m.Page) {
		c.Reply(b.accepted(false), nil)
		return nil
	}
	was := b.acceptor.CatchesUp()
	next := *b.acceptor
	next.Turn(m.Page)
	puts, _ := b.putDelta(nil)
	for _, i := range m.Page.News(b.acceptor.Stands) {
		puts = append(puts, putItem(i))
	}
	puts = append(puts, putBallots(&next)...)
	b.writeRegister(puts, func(b *voterState, err error) {
		if err == nil {
			b.acceptor.Turn(m.Page)
			b.deltaRows = 0
			b.logCatchUp(was)
			b.notifyWatchers()
		}
		reply(c, b.accepted(true), err)
	})
	return nil
}

// logCatchUp logs the begin and the end of catching up. was: whether it did before.
func (b *voterState) logCatchUp(was bool) {
	if is := b.acceptor.CatchesUp(); is != was {
		b.srv.opts.Log("register", fmt.Sprintf("catching up %v: all up to ballot %d of %d", is, b.acceptor.Chosen.N, b.acceptor.Target.N))
	}
}

func (b *voterState) watchReply(have configuration.Ballot) messages.Watched {
	w := messages.Watched{Vouch: b.vouch(), Promised: b.acceptor.Promised, Accepted: b.acceptor.Accepted, Chosen: b.acceptor.Chosen,
		Known: b.acceptor.Known(), Roll: b.voterSet, State: string(b.state), Keys: b.claims.Len(), Shut: b.seal.Shut(), Mark: b.srv.savedMark.Load()}
	if have.Less(b.acceptor.Chosen) && !b.acceptor.CatchesUp() {
		p := consensus.PageOf(b.acceptor.Stands, b.acceptor.Chosen, have)
		w.Items, w.From, w.Upto = p.Items, p.From, p.Upto
	}
	return w
}

// watch answers at once where there is news, and else when there is some or the time is up. A member that may not speak as
// one says so by its state.
func (b *voterState) watch(c rpc.Call, m messages.WatchCall) error {
	b.srv.Counts.Watches.Add(1)
	w := &watcher{call: c, request: m, receivedAt: b.now()}
	if m.HoldMs == 0 || b.hasNews(w) {
		c.Reply(b.watchReply(m.Have), nil)
		return nil
	}
	b.watchers = append(b.watchers, w)
	w.timer = time.AfterFunc(time.Duration(min(m.HoldMs, 5000))*time.Millisecond, func() {
		b.srv.owner.Send(func(b *voterState) { b.answerWatcher(w) })
	})
	return nil
}

func (b *voterState) hasNews(w *watcher) bool {
	return w.request.Have.Less(b.acceptor.Chosen) && !b.acceptor.CatchesUp() || w.request.Epoch < b.voterSet.Epoch || w.request.Open && b.sealDurable
}

func (b *voterState) answerWatcher(w *watcher) {
	if !w.done {
		w.done = true
		w.timer.Stop()
		b.watchers = slices.DeleteFunc(b.watchers, func(o *watcher) bool { return o == w })
		told := b.watchReply(w.request.Have)
		told.HeldMs = uint32((b.now() - w.receivedAt).Milliseconds())
		w.call.Reply(told, nil)
	}
}

// notifyWatchers answers those for whom there is news.
func (b *voterState) notifyWatchers() {
	for _, w := range slices.Clone(b.watchers) {
		if b.hasNews(w) {
			b.answerWatcher(w)
		}
	}
}

func (b *voterState) claimKey(c rpc.Call, m messages.ClaimCall) error {
	b.srv.Counts.Claims.Add(1)
	if err := b.requireVoting(m.Epoch); err != nil {
		return err
	}
	if m.Key == "" || len(m.Key) > maxKeyBytes || m.ID.IsZero() {
		return errcode.New(errcode.Malformed, "")
	}
	holder, granted := b.claims.Claim(b.now(), m.Key, m.ID)
	answer := idempotency.Grant{Vouch: b.vouch(), Given: granted, Holder: holder}
	switch {
	case !granted:
		b.srv.Counts.Denied.Add(1)
		c.Reply(answer, nil)
	default:
		// One that comes again is written again: the first may still be on its way to disk. One whose write failed stays held:
		// it may come again meanwhile, and a claimant that does not get the key gives it back by itself.
		b.write([]storage.Put{putClaim(m.Key, m.ID)}, func(err error) {
			if err != nil {
				b.srv.failedClaimWrites.Add(1)
			}
			reply(c, answer, err)
		})
	}
	return nil
}

// maxKeyBytes bounds an operation key.
const maxKeyBytes = 512

func (b *voterState) release(c rpc.Call, m messages.ReleaseCall) error {
	if b.claims.Release(m.Key, m.ID) {
		b.srv.Counts.Released.Add(1)
		b.write([]storage.Put{{Table: tableClaims, Key: []byte(m.Key)}}, func(error) {}) // what stays blocks a key at the most
	}
	c.Reply(nil, nil)
	return nil
}

// grantLease grants a duty, or takes it back.
func (b *voterState) grantLease(c rpc.Call, m messages.LeaseCall) error {
	if m.Give {
		b.leases.Release(m.Duty, m.By)
		c.Reply(messages.Leased{}, nil)
		return nil
	}
	speaks := b.requireVoting
	if m.Duty == lease.VoterChange { // whoever finishes a change of the roll asks those that are sealed
		speaks = b.requireMember
	}
	if err := speaks(m.Epoch); err != nil {
		return err
	}
	c.Reply(messages.Leased{Given: b.leases.Grant(b.now(), m.Duty, m.By)}, nil)
	return nil
}

// expireBatch bounds the keys that one tick forgets.
const expireBatch = 512

// tick opens a disk that could not be, forgets old keys and goes on with a repair.
func (b *voterState) tick() {
	switch b.state {
	case NoDisk:
		switch {
		case b.disk == nil:
			b.openDisk()
		case !b.bootstrapping: // it failed
			b.bootstrap()
		}
	case NoVoterSet, Repairing:
		b.repair()
	}
	if b.disk == nil {
		return
	}
	since := b.srv.failingSince.Load()
	if since != 0 && b.now()-time.Duration(since-1) > reopenAfter && b.state != NoDisk && !b.registerBusy && !b.recovering && !b.takingOver {
		b.reopenDisk()
		return
	}
	if keys := b.claims.Expire(b.now(), expireBatch); len(keys) > 0 {
		puts := make([]storage.Put, len(keys))
		for i, k := range keys {
			puts[i] = storage.Put{Table: tableClaims, Key: []byte(k)}
		}
		b.disk.Write(puts, func(error) {})
	}
}
