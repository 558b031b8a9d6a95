// Package store implements one voter of the mesh's replicated store. It keeps the operator's configuration, the claims of
// idempotency keys and the voter set, each on disk before it is acknowledged. One goroutine owns the state and works through a
// queue of commands; the storage has a goroutine of its own. Start reading at Start.
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
	tableDelta  storage.Table = 4 // what was accepted beyond the items, several items a row
)

// State is the state of a voter's store.
type State string

// The states.
const (
	Serving    State = "serving"
	NonVoter   State = "apart"     // not in the voter set
	Repairing  State = "repairing" // in the voter set, restoring what its lost disk held
	NoDisk     State = "no disk"   // the disk can't be opened
	NoVoterSet State = "no roll"   // the voter set is not known yet
)

// Options configure a Server.
type Options struct {
	Addr          string // host:port it listens on
	Dir           string // folder of its storage
	Zone          string
	Bootstrap     bool             // very first start of the mesh: InitialVoters become the first voter set
	InitialVoters []messages.Voter // used with Bootstrap
	Seeds         func() []string  // addresses at which other stores may be found
	QuorumMember  bool             // runs on a machine for which the number of simultaneous losses is bounded
	Window        time.Duration    // claims are kept at least this long
	MaxBytes      int64            // bound of the database file
	FirstPort     int              // first of the free ports, the same on every machine; 0: registries are not asked for marks
	Net           sock.Net         // nil: the system's
	SimulatedDisk func() error     // passed on to storage.Options
	Log           func(event, text string)
}

// Counts counts what a Server did since its start.
type Counts struct {
	Claims, Denied, Released, Refused, Accepts, Prepares, Watches, Recoveries atomic.Int64
}

// Server is one voter of the replicated store, or a store that may become one.
type Server struct {
	opts              Options
	owner             *rpc.Owner[voterState]
	rpcServer         *rpc.Server
	Counts            Counts
	stopped           chan struct{}
	diskWork          sync.WaitGroup // running opens of the disk, and closes that precede one
	openStorage       func(storage.Options) (disk, storage.Condition, error)
	runAsync          func(func() func(*voterState))          // runs blocking work off the owner's goroutine and queues the command that it returns
	enqueue           func(func(*voterState))                 // queues a command without blocking the caller
	fetchMarks        func(messages.VoterSet) []messages.Mark // asks the registries for the last mark that this member reported
	savedMark         atomic.Uint64                           // last mark that is on disk
	failedClaimWrites atomic.Int64                            // failed writes of claims, which may be held in memory only
	failingSince      atomic.Int64                            // start of an unbroken run of failed writes, by voterState.now plus one; 0: the last write succeeded
}

// disk is the part of storage.DB that a Server uses.
type disk interface {
	Load(t storage.Table, each func(key, value []byte) error) error
	Write(puts []storage.Put, done func(error))
	Stalled() time.Duration
	Close() error
}

// voterState is the state of a Server. It belongs to the goroutine of Server.owner.
type voterState struct {
	srv                 *Server
	startedAt           time.Time
	state               State
	disk                disk // nil: not open
	acceptor            *consensus.Acceptor
	claims              *idempotency.ClaimTable
	leases              *lease.Granter
	voterSet            messages.VoterSet
	index               int      // in the voter set; -1: not a voter
	incarnations        []uint64 // by index in the voter set
	seal                reconfig.Seal
	sealDurable         bool                 // the disk records that the epoch has ended here: a shut seal, or formerEpoch
	inheritedBallot     configuration.Ballot // ballot of the value that was accepted in a former epoch; zero: none
	diskID              uint64               // by which a voter set names this disk; 0: never requested
	formerEpoch         *formerEpoch         // set if the tables belong to a former epoch
	restoredClaimWrites int64                // value of Server.failedClaimWrites that a takeover has written again
	takingOver          bool                 // the state of a former epoch is being taken over
	takeoverWaiters     []func(error)        // called when the takeover ends
	registerBusy        bool                 // a change of the register is being written
	deltaRows           int                  // rows of tableDelta on disk
	queuedCalls         []func(*voterState)
	watchers            []*watcher
	recovering          bool
	openingDisk         bool          // the disk is being opened
	bootstrapping       bool          // the first voter set is being written
	mark                uint64        // last mark passed to the disk
	markedAt            time.Duration // when that was
	newerMark           messages.Mark // reported mark that the disk is behind; zero: none
	diskUsed            bool          // a disk was used before or found damaged, so an empty one must not bootstrap
	closed              bool          // the Server is closing
	diskError           string        // last logged reason why the disk could not be opened or bootstrapped
}

// watcher is a Watch call that is held until there is news.
type watcher struct {
	call       rpc.Call
	request    messages.WatchCall
	receivedAt time.Duration
	timer      *time.Timer // ends the hold
	done       bool
}

// Start starts a Server that listens on o.Addr.
func Start(o Options) (*Server, error) {
	l, err := rpc.Listen(o.Net, o.Addr)
	if err != nil {
		return nil, err
	}
	return StartOn(o, l), nil
}

// StartOn is like Start, on an open listener.
func StartOn(o Options, l net.Listener) *Server {
	srv := &Server{opts: o, stopped: make(chan struct{}), openStorage: openStorage}
	srv.fetchMarks = srv.askRegistries
	srv.enqueue = func(f func(*voterState)) { go srv.owner.Send(f) }
	srv.runAsync = func(f func() func(*voterState)) {
		go func() {
			if g := f(); !srv.owner.Do(g) { // the owner has ended
				g(&voterState{srv: srv, closed: true})
			}
		}()
	}
	s := &voterState{srv: srv, startedAt: time.Now(), state: NoDisk, index: -1, leases: lease.NewGranter(0)}
	s.resetContent()
	srv.owner = rpc.StartOwner(s, 1024)
	srv.rpcServer = rpc.Serve(l, srv.handle)
	srv.owner.Send((*voterState).openDisk)
	go srv.tick()
	return srv
}

func openStorage(o storage.Options) (disk, storage.Condition, error) {
	db, condition, err := storage.Open(o)
	if err != nil {
		return nil, condition, err
	}
	return db, condition, nil
}

// closeTimeout bounds how long Close waits for a disk that is being opened.
const closeTimeout = 5 * time.Second

// Close stops the Server. It waits for queued writes and for a disk that is being opened: unless it returns ErrStalled, nothing
// touches the folder afterwards.
func (srv *Server) Close() error {
	close(srv.stopped)
	srv.rpcServer.Close()
	var disk disk
	srv.owner.Do(func(s *voterState) { disk, s.closed = s.disk, true })
	srv.owner.Stop()
	if disk != nil {
		return disk.Close()
	}
	opened := make(chan struct{})
	go func() { srv.diskWork.Wait(); close(opened) }()
	select {
	case <-opened:
		return nil
	case <-time.After(closeTimeout):
		return fmt.Errorf("%w: it is being opened", storage.ErrStalled)
	}
}

// Status is a summary for the log and the console.
type Status struct {
	State      State
	Keys       int
	Chosen     configuration.Ballot
	VoterSet   messages.VoterSet
	EpochEnded bool // the epoch of VoterSet has ended for this voter
	DiskStall  time.Duration
}

// Status returns the current status.
func (srv *Server) Status() (status Status) {
	srv.owner.Do(func(s *voterState) {
		status = Status{State: s.state, Keys: s.claims.Len(), Chosen: s.acceptor.Chosen, VoterSet: s.voterSet, EpochEnded: s.seal.Sealed()}
		if s.disk != nil {
			status.DiskStall = s.disk.Stalled()
		}
	})
	return status
}

const tickInterval = 250 * time.Millisecond

func (srv *Server) tick() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			srv.owner.Send((*voterState).tick)
		case <-srv.stopped:
			return
		}
	}
}

// now returns the time since the start.
func (s *voterState) now() time.Duration { return time.Since(s.startedAt) }

// resetContent clears the register and the claims.
func (s *voterState) resetContent() {
	s.acceptor, s.claims, s.deltaRows = consensus.NewAcceptor(), idempotency.NewClaimTable(s.srv.opts.Window), 0
}

// reset clears everything that is loaded from disk.
func (s *voterState) reset() {
	s.resetContent()
	s.voterSet, s.incarnations, s.index = messages.VoterSet{}, nil, -1
	s.seal, s.sealDurable, s.inheritedBallot, s.diskID, s.formerEpoch = reconfig.Seal{}, false, configuration.Ballot{}, 0, nil
}

func (s *voterState) setState(state State) {
	if state != s.state {
		s.srv.opts.Log("state", fmt.Sprintf("%s -> %s", s.state, state))
		s.state = state
	}
}

// openDisk opens the disk and loads its content. This runs off the owner's goroutine: a disk that hangs must not delay watches
// and reports.
func (s *voterState) openDisk() {
	if s.openingDisk || s.closed {
		return
	}
	s.openingDisk = true
	s.srv.diskWork.Add(1)
	srv, startedAt := s.srv, s.startedAt
	srv.runAsync(func() func(*voterState) {
		disk, found, err := srv.openStorage(storage.Options{Dir: srv.opts.Dir, MaxBytes: srv.opts.MaxBytes, SimulatedDisk: srv.opts.SimulatedDisk,
			Log: func(text string) { srv.opts.Log("disk", text) }})
		read := &voterState{srv: srv, startedAt: startedAt, disk: disk}
		if read.reset(); err == nil {
			srv.opts.Log("disk", "found "+found.String())
			if err = read.loadDisk(); err != nil { // discard all of it, above all the incarnation: the next disk may be empty
				disk.Close()
				err = fmt.Errorf("reading: %w", err)
			} else {
				read.detectOldCopy()
			}
		}
		return func(s *voterState) {
			defer srv.diskWork.Done()
			s.diskOpened(read, found, err)
		}
	})
}

// diskOpened takes over what was loaded from a disk.
func (s *voterState) diskOpened(read *voterState, found storage.Condition, err error) {
	s.openingDisk = false
	s.diskUsed = s.diskUsed || found == storage.Damaged
	switch {
	case err != nil:
		if text := err.Error(); text != s.diskError {
			s.diskError = text
			s.srv.opts.Log("disk", text)
		}
		return
	case s.closed:
		read.disk.Close()
		return
	}
	s.diskError = ""
	s.disk, s.acceptor, s.claims, s.voterSet, s.incarnations, s.index = read.disk, read.acceptor, read.claims, read.voterSet, read.incarnations, read.index
	s.deltaRows = read.deltaRows
	s.seal, s.sealDurable, s.inheritedBallot, s.diskID, s.formerEpoch = read.seal, read.seal.Sealed() || read.formerEpoch != nil, read.inheritedBallot, read.diskID, read.formerEpoch
	s.mark, s.markedAt = read.mark, s.now()
	s.srv.savedMark.Store(s.mark)
	switch {
	case s.voterSet.Epoch > 0:
		s.locate()
		if read.newerMark != (messages.Mark{}) {
			s.srv.opts.Log("disk", fmt.Sprintf("older than what was told from it: %+v", read.newerMark))
			s.incarnations[s.index] = 0
			s.write([]storage.Put{s.putIncarnations()}, func(error) {}) // if this fails, the old copy is detected again
		}
		if s.index >= 0 && s.incarnations[s.index] == 0 { // it stopped during a repair
			s.setState(Repairing)
		} else if s.index >= 0 {
			s.setState(Serving)
		} else {
			s.setState(NonVoter)
		}
	case s.srv.opts.Bootstrap && !s.diskUsed && found == storage.Empty && len(s.srv.opts.InitialVoters) > 0:
		s.bootstrap()
	default:
		s.setState(NoVoterSet)
	}
	if s.state == NoVoterSet || s.state == Repairing {
		s.repair()
	}
}

// bootstrap begins the first epoch, with the initial voters.
func (s *voterState) bootstrap() {
	s.voterSet = messages.VoterSet{Epoch: 1, Voters: s.srv.opts.InitialVoters}
	s.incarnations = make([]uint64, len(s.voterSet.Voters))
	s.locate()
	if s.index >= 0 {
		for i := range s.incarnations {
			s.incarnations[i] = 1
		}
	}
	s.bootstrapping = true
	s.disk.Write([]storage.Put{s.putVoterSet(), s.putIncarnations()}, func(err error) {
		s.srv.enqueue(func(s *voterState) {
			s.bootstrapping = false
			switch {
			case err != nil: // it has not voted yet: the next tick tries again
				s.reset()
				if text := err.Error(); text != s.diskError {
					s.diskError = text
					s.srv.opts.Log("disk", text)
				}
			case s.index >= 0:
				s.setState(Serving)
			default:
				s.setState(NonVoter)
			}
			s.notifyWatchers()
		})
	})
}

// locate finds this store in the voter set.
func (s *voterState) locate() {
	s.index = s.voterSet.IndexOf(s.srv.opts.Addr)
	if len(s.incarnations) != len(s.voterSet.Voters) {
		s.incarnations = make([]uint64, len(s.voterSet.Voters))
	}
}

func (s *voterState) vouch() consensus.Origin {
	return consensus.Origin{Voter: s.index, Incarnations: slices.Clone(s.incarnations)}
}

// ---- On disk ----

func putBallot(name string, v configuration.Ballot) storage.Put {
	return storage.Put{Table: tableMeta, Key: []byte(name), Value: rpc.Encode(v)}
}

// putLayout marks the layout in which the items are the chosen base and tableDelta holds what was accepted beyond it. In the
// layout before it, the items were the accepted value.
var putLayout = storage.Put{Table: tableMeta, Key: []byte("layout"), Value: []byte{2}}

// putBallots returns the puts of all ballots of the register.
func putBallots(a *consensus.Acceptor) []storage.Put {
	puts := []storage.Put{putBallot("promised", a.Promised), putBallot("accepted", a.Accepted), putBallot("chosen", a.Chosen),
		{Table: tableMeta, Key: []byte("target")}, putLayout}
	if a.CatchingUp() {
		puts[3] = putBallot("target", a.Target)
	}
	return puts
}

func (s *voterState) putVoterSet() storage.Put {
	return storage.Put{Table: tableMeta, Key: []byte("roll"), Value: rpc.Encode(s.voterSet)}
}

func (s *voterState) putIncarnations() storage.Put {
	return storage.Put{Table: tableMeta, Key: []byte("incs"), Value: rpc.Encode(s.incarnations)}
}

func itemKey(k configuration.Key) []byte { return append([]byte{byte(k.Kind)}, k.Name...) }

func putItem(i configuration.Item) storage.Put {
	return storage.Put{Table: tableItems, Key: itemKey(i.Key), Value: rpc.Encode(i)}
}

// deltaRowBytes is the approximate size of one row of the delta.
const deltaRowBytes = 64 << 10

// putDelta returns the puts that replace the delta on disk, and the number of rows that it then has.
func (s *voterState) putDelta(delta []configuration.Item) (puts []storage.Put, rows int) {
	for len(delta) > 0 {
		n := 0
		for size := 0; n < len(delta) && size < deltaRowBytes; n++ {
			size += consensus.ItemSize(delta[n])
		}
		puts = append(puts, storage.Put{Table: tableDelta, Key: binary.BigEndian.AppendUint16(nil, uint16(rows)), Value: rpc.Encode(delta[:n])})
		delta, rows = delta[n:], rows+1
	}
	for i := rows; i < s.deltaRows; i++ {
		puts = append(puts, storage.Put{Table: tableDelta, Key: binary.BigEndian.AppendUint16(nil, uint16(i))})
	}
	return puts, rows
}

func putClaim(key string, id idempotency.ID) storage.Put {
	v := binary.BigEndian.AppendUint64(nil, id.Incarnation)
	v = binary.BigEndian.AppendUint64(v, id.N)
	return storage.Put{Table: tableClaims, Key: []byte(key), Value: append(v, id.Addr...)}
}

func readClaim(v []byte) (idempotency.ID, error) {
	if len(v) < 16 {
		return idempotency.ID{}, errors.New("a claim of " + strconv.Itoa(len(v)) + " bytes")
	}
	return idempotency.ID{Incarnation: binary.BigEndian.Uint64(v), N: binary.BigEndian.Uint64(v[8:]), Addr: string(v[16:])}, nil
}

func (s *voterState) loadDisk() error {
	layout := false
	err := s.disk.Load(tableMeta, func(k, v []byte) error {
		switch string(k) {
		case "roll":
			return rpc.Decode(v, &s.voterSet)
		case "incs":
			return rpc.Decode(v, &s.incarnations)
		case "promised":
			return rpc.Decode(v, &s.acceptor.Promised)
		case "accepted":
			return rpc.Decode(v, &s.acceptor.Accepted)
		case "chosen":
			return rpc.Decode(v, &s.acceptor.Chosen)
		case "layout":
			layout = true
		case "target":
			return rpc.Decode(v, &s.acceptor.Target)
		case "mark":
			return rpc.Decode(v, &s.mark)
		case "seal":
			return rpc.Decode(v, &s.seal)
		case "former":
			return rpc.Decode(v, &s.inheritedBallot)
		case "number":
			return rpc.Decode(v, &s.diskID)
		case "past":
			return rpc.Decode(v, &s.formerEpoch)
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, x := range []configuration.Ballot{s.acceptor.Accepted, s.acceptor.Target} {
		if s.acceptor.Promised.Less(x) { // the write of the promise failed, that of its value succeeded
			s.acceptor.Promised = x
		}
	}
	if err := s.disk.Load(tableItems, func(k, v []byte) error {
		var i configuration.Item
		err := rpc.Decode(v, &i)
		if err == nil {
			s.acceptor.Base = s.acceptor.Base.With(i)
		}
		return err
	}); err != nil {
		return err
	}
	var delta []configuration.Item
	if err := s.disk.Load(tableDelta, func(k, v []byte) error {
		var row []configuration.Item
		err := rpc.Decode(v, &row)
		delta, s.deltaRows = append(delta, row...), s.deltaRows+1
		return err
	}); err != nil {
		return err
	}
	if !s.acceptor.Accepted.IsZero() {
		s.acceptor.Value = s.acceptor.Base.With(delta...)
	}
	if !layout && s.acceptor.Accepted != s.acceptor.Chosen && len(s.incarnations) > 0 { // old layout, and it is unknown which items were chosen: repair
		s.locate()
		if s.index >= 0 {
			s.incarnations[s.index] = 0
		}
	}
	now := s.now()
	return s.disk.Load(tableClaims, func(k, v []byte) error {
		id, err := readClaim(v)
		if err == nil { // its age is unknown: it is kept for a full window
			s.claims.Claim(now, string(k), id)
		}
		return err
	})
}

// write queues puts and calls done with the result, at once if there is no disk. From time to time it adds a new mark.
func (s *voterState) write(puts []storage.Put, done func(error)) {
	if s.disk == nil {
		done(storage.ErrDisk)
		return
	}
	mark := uint64(0)
	if now := s.now(); s.index >= 0 && now-s.markedAt >= markInterval {
		s.mark, s.markedAt = s.mark+1, now
		mark = s.mark
		puts = append(slices.Clip(puts), storage.Put{Table: tableMeta, Key: []byte("mark"), Value: rpc.Encode(mark)})
	}
	s.disk.Write(puts, func(err error) {
		if err == nil && mark > 0 {
			s.srv.savedMark.Store(mark)
		}
		if err == nil {
			s.srv.failingSince.Store(0)
		} else if errors.Is(err, storage.ErrDisk) {
			s.srv.failingSince.CompareAndSwap(0, int64(s.now())+1)
		}
		done(err)
	})
}

// markInterval is the least time between two marks. They are only added to writes that happen anyway.
const markInterval = 250 * time.Millisecond

// marksTimeout bounds how long a starting store waits for the marks that registries know: a machine that is down never answers.
const marksTimeout = 60 * time.Millisecond

// detectOldCopy checks whether this disk is an older copy of one from which this member has voted: it would lack the votes cast
// since. It blocks, so it must not run on the owner's goroutine.
func (s *voterState) detectOldCopy() {
	s.locate()
	if s.index < 0 || s.incarnations[s.index] == 0 {
		return
	}
	mine := messages.Mark{Epoch: s.voterSet.Epoch, Incarnation: s.incarnations[s.index], Counter: s.mark}
	for _, m := range s.srv.fetchMarks(s.voterSet) {
		if mine.Behind(m) && s.newerMark.Behind(m) {
			s.newerMark = m
		}
	}
}

// askRegistries asks the registries on the machines of all voters for the last mark of this member.
func (srv *Server) askRegistries(voterSet messages.VoterSet) []messages.Mark {
	if srv.opts.FirstPort == 0 {
		return nil
	}
	var addrs []string
	for _, v := range voterSet.Voters {
		addrs = append(addrs, messages.AddrOnHost(v.Addr, srv.opts.FirstPort, messages.RegistryPort))
	}
	out, _ := askAll[messages.Mark](srv, addrs, messages.LastMark, messages.LastMarkCall{Addr: srv.opts.Addr}, marksTimeout)
	return out
}

// reopenAfter is how long all writes may fail before the disk is closed and opened again. Damage found while the disk is in use
// is only recognized and quarantined by opening it.
const reopenAfter = 10 * time.Second

// reopenDisk closes the disk and opens it as after a start. Everything acknowledged so far is on disk.
func (s *voterState) reopenDisk() {
	old := s.disk
	s.srv.failingSince.Store(0)
	s.disk, s.diskUsed, s.openingDisk = nil, true, true
	s.setState(NoDisk)
	srv := s.srv
	srv.diskWork.Add(1)
	srv.runAsync(func() func(*voterState) {
		if err := old.Close(); err != nil {
			srv.opts.Log("disk", err.Error())
		}
		return func(s *voterState) {
			defer srv.diskWork.Done()
			s.openingDisk = false
			s.openDisk()
		}
	})
}

// ---- Calls ----

// handle passes a call to the owner's goroutine.
func (srv *Server) handle(c rpc.Call) {
	srv.owner.Send(func(s *voterState) {
		if err := s.dispatch(c); err != nil {
			srv.Counts.Refused.Add(1)
			c.Reply(nil, err)
		}
	})
}

// dispatch handles a call. It replies at once or later, or returns an error, which the caller replies.
func (s *voterState) dispatch(c rpc.Call) error {
	switch c.Kind {
	case messages.Prepare:
		return decodeCall(c, s.prepare)
	case messages.Accept:
		return decodeCall(c, s.accept)
	case messages.Learn:
		return decodeCall(c, s.learn)
	case messages.SendPage:
		return decodeCall(c, s.applyPage)
	case messages.Watch:
		return decodeCall(c, s.watch)
	case messages.Claim:
		return decodeCall(c, s.claimKey)
	case messages.Release:
		return decodeCall(c, s.release)
	case messages.Recover:
		return decodeCall(c, s.serveRecovery)
	case messages.Lease:
		return decodeCall(c, s.grantLease)
	case messages.Ready:
		return decodeCall(c, s.reportReadiness)
	case messages.ProposeVoters:
		return decodeCall(c, s.voteSuccessor)
	case messages.AdoptVoters:
		return decodeCall(c, s.adoptVoterSet)
	case messages.Handover:
		return decodeCall(c, s.handover)
	case messages.Report:
		s.report(c)
		return nil
	}
	return errcode.New(errcode.UnknownCall, "kind %d", c.Kind)
}

// decodeCall decodes the body of a call for its handler.
func decodeCall[T any](c rpc.Call, f func(rpc.Call, T) error) error {
	var v T
	if err := rpc.Decode(c.Body, &v); err != nil {
		return err
	}
	return f(c, v)
}

// requireVoting returns an error unless this store may vote in the epoch.
func (s *voterState) requireVoting(epoch uint64) error {
	if err := s.requireMember(epoch); err != nil {
		return err
	}
	if s.seal.Sealed() || s.takingOver {
		return errcode.New(errcode.NotFound, "epoch %d has ended here", epoch)
	}
	return nil
}

// requireMember returns an error unless this store is a working voter of the epoch, even if the epoch has ended here.
func (s *voterState) requireMember(epoch uint64) error {
	switch {
	case epoch != s.voterSet.Epoch && s.voterSet.Epoch > 0: // the caller then fetches the voter set, or retries soon
		return errcode.New(errcode.NotFound, "epoch %d, here %d", epoch, s.voterSet.Epoch)
	case s.state == Repairing:
		return errcode.New(errcode.Recovering, "")
	case s.state != Serving:
		return errcode.New(errcode.NoQuorum, "%s", s.state)
	case s.disk.Stalled() > stalledAfter:
		return errcode.New(errcode.DiskUnavailable, "")
	}
	return nil
}

// stalledAfter is how long one commit may take before calls are refused immediately.
const stalledAfter = 300 * time.Millisecond

func (s *voterState) prepare(c rpc.Call, m messages.PrepareCall) error {
	s.srv.Counts.Prepares.Add(1)
	if err := s.requireVoting(m.Epoch); err != nil {
		return err
	}
	if s.registerBusy {
		s.queuedCalls = append(s.queuedCalls, func(s *voterState) { s.replyError(c, s.prepare(c, m)) })
		return nil
	}
	if s.acceptor.CanLearn(m.Have) { // first, so that the promise's items and the delta stay small
		s.commitAccepted(m.Have, func(s *voterState, err error) {
			if err == nil {
				err = s.prepare(c, m)
			} else {
				err = errcode.New(errcode.DiskUnavailable, "%w", err)
			}
			s.replyError(c, err)
		})
		return nil
	}
	if !s.acceptor.Prepare(m.B) {
		c.Reply(consensus.Promise{Origin: s.vouch(), Promised: s.acceptor.Promised, Accepted: s.acceptor.Accepted}, nil)
		return nil
	}
	answer := s.acceptor.Promise(s.vouch(), m.Have)
	answer.Inherited = s.valueInherited()
	s.write([]storage.Put{putBallot("promised", m.B)}, func(err error) { reply(c, answer, err) })
	return nil
}

// replyError replies the error of a queued call, if it has one.
func (s *voterState) replyError(c rpc.Call, err error) {
	if err != nil {
		c.Reply(nil, err)
	}
}

// reply answers a call once its write has ended. It may be called from any goroutine.
func reply(c rpc.Call, v any, err error) {
	if err != nil {
		c.Reply(nil, errcode.New(errcode.DiskUnavailable, "%w", err))
		return
	}
	c.Reply(v, nil)
}

func (s *voterState) accept(c rpc.Call, m messages.AcceptCall) error {
	s.srv.Counts.Accepts.Add(1)
	if err := s.requireVoting(m.Epoch); err != nil {
		return err
	}
	if s.registerBusy {
		s.queuedCalls = append(s.queuedCalls, func(s *voterState) { s.replyError(c, s.accept(c, m)) })
		return nil
	}
	if !s.acceptor.CanAccept(m.B, m.Base) {
		c.Reply(s.accepted(false), nil)
		return nil
	}
	delta := s.acceptor.Delta(m.Changes)
	puts, rows := s.putDelta(delta)
	puts = append(puts, putBallot("accepted", m.B), putLayout)
	if s.acceptor.Promised.Less(m.B) {
		puts = append(puts, putBallot("promised", m.B))
	}
	s.writeRegister(puts, func(s *voterState, err error) {
		if err == nil {
			s.acceptor.Accept(m.B, delta)
			s.deltaRows = rows
		}
		reply(c, s.accepted(true), err)
	})
	return nil
}

// accepted is the answer to a call that changes the register.
func (s *voterState) accepted(taken bool) messages.AcceptReply {
	return messages.AcceptReply{Origin: s.vouch(), OK: taken, Promised: s.acceptor.Promised, Accepted: s.acceptor.Accepted, Chosen: s.acceptor.Chosen}
}

// writeRegister writes a change of the register and calls done on the owner's goroutine when the write has ended. Other calls
// that touch the register are queued until then.
func (s *voterState) writeRegister(puts []storage.Put, done func(*voterState, error)) {
	s.registerBusy = true
	s.write(puts, func(err error) {
		s.srv.enqueue(func(s *voterState) {
			s.registerBusy = false
			done(s, err)
			queued := s.queuedCalls
			s.queuedCalls = nil
			for _, f := range queued {
				f(s)
			}
		})
	})
}

// commitAccepted makes the accepted value the base, since it was chosen.
func (s *voterState) commitAccepted(of configuration.Ballot, done func(*voterState, error)) {
	puts, _ := s.putDelta(nil)
	for i := range s.acceptor.Value.Since(s.acceptor.Chosen) {
		puts = append(puts, putItem(i))
	}
	wasCatchingUp := s.acceptor.CatchingUp() // the proposal may have brought what was missing
	puts = append(puts, putBallot("chosen", of), storage.Put{Table: tableMeta, Key: []byte("target")})
	s.writeRegister(puts, func(s *voterState, err error) {
		if err == nil && s.acceptor.Learn(of) { // if the write fails, the next proposer reports the choice again
			s.deltaRows = 0
			s.logCatchUp(wasCatchingUp)
			s.notifyWatchers()
		}
		done(s, err)
	})
}

func (s *voterState) learn(c rpc.Call, m messages.LearnCall) error {
	if s.registerBusy {
		s.queuedCalls = append(s.queuedCalls, func(s *voterState) { s.replyError(c, s.learn(c, m)) })
		return nil
	}
	c.Reply(s.accepted(s.acceptor.Accepted == m.B), nil)
	if s.acceptor.CanLearn(m.B) && s.state == Serving && !s.takingOver { // otherwise the register is being replaced
		s.commitAccepted(m.B, func(*voterState, error) {})
	}
	return nil
}

// applyPage takes a page of a chosen value that this member lacks.
func (s *voterState) applyPage(c rpc.Call, m messages.SendPageCall) error {
	if err := s.requireVoting(m.Epoch); err != nil {
		return err
	}
	if s.registerBusy {
		s.queuedCalls = append(s.queuedCalls, func(s *voterState) { s.replyError(c, s.applyPage(c, m)) })
		return nil
	}
	if !s.acceptor.CanApplyPage(m.Page) {
		c.Reply(s.accepted(false), nil)
		return nil
	}
	wasCatchingUp := s.acceptor.CatchingUp()
	next := *s.acceptor
	next.ApplyPage(m.Page)
	puts, _ := s.putDelta(nil)
	for _, i := range m.Page.NewerThan(s.acceptor.Base) {
		puts = append(puts, putItem(i))
	}
	puts = append(puts, putBallots(&next)...)
	s.writeRegister(puts, func(s *voterState, err error) {
		if err == nil {
			s.acceptor.ApplyPage(m.Page)
			s.deltaRows = 0
			s.logCatchUp(wasCatchingUp)
			s.notifyWatchers()
		}
		reply(c, s.accepted(true), err)
	})
	return nil
}

// logCatchUp logs when catching up begins or ends. wasCatchingUp is the state before the change.
func (s *voterState) logCatchUp(wasCatchingUp bool) {
	if catchingUp := s.acceptor.CatchingUp(); catchingUp != wasCatchingUp {
		s.srv.opts.Log("register", fmt.Sprintf("catching up %v: complete up to ballot %d of %d", catchingUp, s.acceptor.Chosen.N, s.acceptor.Target.N))
	}
}

func (s *voterState) watchReply(have configuration.Ballot) messages.WatchReply {
	w := messages.WatchReply{Origin: s.vouch(), Promised: s.acceptor.Promised, Accepted: s.acceptor.Accepted, Chosen: s.acceptor.Chosen,
		KnownChosen: s.acceptor.KnownChosen(), VoterSet: s.voterSet, State: string(s.state), Keys: s.claims.Len(), Sealed: s.seal.Sealed(), Mark: s.srv.savedMark.Load()}
	if have.Less(s.acceptor.Chosen) && !s.acceptor.CatchingUp() {
		p := consensus.NewPage(s.acceptor.Base, s.acceptor.Chosen, have)
		w.Items, w.From, w.UpTo = p.Items, p.From, p.UpTo
	}
	return w
}

// watch answers at once if there is news, otherwise when there is some or the hold time is over. It also answers where this
// store may not vote, which its state tells.
func (s *voterState) watch(c rpc.Call, m messages.WatchCall) error {
	s.srv.Counts.Watches.Add(1)
	w := &watcher{call: c, request: m, receivedAt: s.now()}
	if m.HoldMs == 0 || s.hasNews(w) {
		c.Reply(s.watchReply(m.Have), nil)
		return nil
	}
	s.watchers = append(s.watchers, w)
	w.timer = time.AfterFunc(time.Duration(min(m.HoldMs, 5000))*time.Millisecond, func() {
		s.srv.owner.Send(func(s *voterState) { s.answerWatcher(w) })
	})
	return nil
}

func (s *voterState) hasNews(w *watcher) bool {
	return w.request.Have.Less(s.acceptor.Chosen) && !s.acceptor.CatchingUp() || w.request.Epoch < s.voterSet.Epoch || w.request.NotifySealed && s.sealDurable
}

func (s *voterState) answerWatcher(w *watcher) {
	if !w.done {
		w.done = true
		w.timer.Stop()
		s.watchers = slices.DeleteFunc(s.watchers, func(o *watcher) bool { return o == w })
		update := s.watchReply(w.request.Have)
		update.HeldMs = uint32((s.now() - w.receivedAt).Milliseconds())
		w.call.Reply(update, nil)
	}
}

// notifyWatchers answers the watchers for which there is news.
func (s *voterState) notifyWatchers() {
	for _, w := range slices.Clone(s.watchers) {
		if s.hasNews(w) {
			s.answerWatcher(w)
		}
	}
}

func (s *voterState) claimKey(c rpc.Call, m messages.ClaimCall) error {
	s.srv.Counts.Claims.Add(1)
	if err := s.requireVoting(m.Epoch); err != nil {
		return err
	}
	if m.Key == "" || len(m.Key) > maxKeyBytes || m.ID.IsZero() {
		return errcode.New(errcode.Malformed, "")
	}
	holder, granted := s.claims.Claim(s.now(), m.Key, m.ID)
	answer := idempotency.Grant{Origin: s.vouch(), Granted: granted, Holder: holder}
	switch {
	case !granted:
		s.srv.Counts.Denied.Add(1)
		c.Reply(answer, nil)
	default:
		// A repeated claim is written again, as the first write may be under way. If a write fails, the claim stays held: its
		// repetition may be under way, and a claimant that does not get the key releases it.
		s.write([]storage.Put{putClaim(m.Key, m.ID)}, func(err error) {
			if err != nil {
				s.srv.failedClaimWrites.Add(1)
			}
			reply(c, answer, err)
		})
	}
	return nil
}

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 512

func (s *voterState) release(c rpc.Call, m messages.ReleaseCall) error {
	if s.claims.Release(m.Key, m.ID) {
		s.srv.Counts.Released.Add(1)
		s.write([]storage.Put{{Table: tableClaims, Key: []byte(m.Key)}}, func(error) {}) // if this fails, the worst case is a key that stays blocked
	}
	c.Reply(nil, nil)
	return nil
}

// grantLease grants a lease, or takes one back.
func (s *voterState) grantLease(c rpc.Call, m messages.LeaseCall) error {
	if m.Release {
		s.leases.Release(m.Name, m.Holder)
		c.Reply(messages.LeaseReply{}, nil)
		return nil
	}
	check := s.requireVoting
	if m.Name == lease.VoterChange { // to finish a change of the voter set, it is requested from voters whose epoch has ended
		check = s.requireMember
	}
	if err := check(m.Epoch); err != nil {
		return err
	}
	c.Reply(messages.LeaseReply{Granted: s.leases.Grant(s.now(), m.Name, m.Holder)}, nil)
	return nil
}

// expireBatch bounds the keys that one tick expires.
const expireBatch = 512

// tick retries a failed open, bootstrap or repair, reopens a disk that keeps failing, and expires old keys.
func (s *voterState) tick() {
	switch s.state {
	case NoDisk:
		switch {
		case s.disk == nil:
			s.openDisk()
		case !s.bootstrapping: // the write failed
			s.bootstrap()
		}
	case NoVoterSet, Repairing:
		s.repair()
	}
	if s.disk == nil {
		return
	}
	since := s.srv.failingSince.Load()
	if since != 0 && s.now()-time.Duration(since-1) > reopenAfter && s.state != NoDisk && !s.registerBusy && !s.recovering && !s.takingOver {
		s.reopenDisk()
		return
	}
	if keys := s.claims.Expire(s.now(), expireBatch); len(keys) > 0 {
		puts := make([]storage.Put, len(keys))
		for i, k := range keys {
			puts[i] = storage.Put{Table: tableClaims, Key: []byte(k)}
		}
		s.disk.Write(puts, func(error) {})
	}
}
