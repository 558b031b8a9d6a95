package store

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/consensus"
	"saltmast/internal/errcode"
	"saltmast/internal/idempotency"
	"saltmast/internal/messages"
	"saltmast/internal/rpc"
	"saltmast/internal/storage"
)

// fakeDisk is a disk whose syncs the test controls: writes are pending until sync applies or fails them.
type fakeDisk struct {
	rows    map[storage.Table]map[string][]byte
	pending []pendingWrite
	loadErr error // returned by Load after all rows
	stall   time.Duration
}

type pendingWrite struct {
	puts []storage.Put
	done func(error)
}

func newFakeDisk() *fakeDisk { return &fakeDisk{rows: map[storage.Table]map[string][]byte{}} }

func (f *fakeDisk) Load(t storage.Table, each func(k, v []byte) error) error {
	for _, k := range slices.Sorted(maps.Keys(f.rows[t])) {
		if err := each([]byte(k), f.rows[t][k]); err != nil {
			return err
		}
	}
	return f.loadErr
}

func (f *fakeDisk) Write(puts []storage.Put, done func(error)) {
	size, waiting := 0, 0
	for _, x := range puts {
		size += len(x.Key) + len(x.Value)
	}
	for _, w := range f.pending {
		for _, x := range w.puts {
			waiting += len(x.Key) + len(x.Value)
		}
	}
	switch {
	case size > storage.MaxWrite:
		done(storage.ErrFull)
	case waiting+size > storage.MaxQueueBytes:
		done(storage.ErrBusy)
	default:
		f.pending = append(f.pending, pendingWrite{puts, done})
	}
}

func (f *fakeDisk) Stalled() time.Duration { return f.stall }
func (f *fakeDisk) Close() error           { return nil }

func (f *fakeDisk) sync(err error) {
	w := f.pending[0]
	f.pending = f.pending[1:]
	for _, x := range w.puts {
		switch {
		case err != nil:
		case x.Value == nil:
			delete(f.rows[x.Table], string(x.Key))
		default:
			if f.rows[x.Table] == nil {
				f.rows[x.Table] = map[string][]byte{}
			}
			f.rows[x.Table][string(x.Key)] = x.Value
		}
	}
	w.done(err)
}

// testVoter is the state of one Server without goroutines: commands that are to run later are kept in queue.
type testVoter struct {
	*voterState
	fake      *fakeDisk
	condition storage.Condition // reported when the disk is opened
	queue     []func(*voterState)
	marks     []messages.Mark // known to the registries
}

var voters = []messages.Voter{{Addr: "a:1"}, {Addr: "b:1"}, {Addr: "c:1"}}

func newTestVoter(t *testing.T, o Options) *testVoter {
	o.Addr, o.Window, o.Log = "a:1", time.Minute, func(event, text string) { t.Log(event, text) }
	o.Seeds = func() []string { return nil }
	voter := &testVoter{fake: newFakeDisk()}
	srv := &Server{opts: o, enqueue: func(f func(*voterState)) { voter.queue = append(voter.queue, f) }}
	srv.openStorage = func(storage.Options) (disk, storage.Condition, error) { return voter.fake, voter.condition, nil }
	srv.runAsync = func(f func() func(*voterState)) { f()(voter.voterState) }
	srv.fetchMarks = func(messages.VoterSet) []messages.Mark { return voter.marks }
	srv.owner = rpc.StartOwner(&voterState{}, 64) // receives the results of repairs, which no test here uses
	t.Cleanup(srv.owner.Stop)
	voter.voterState = &voterState{srv: srv, startedAt: time.Now(), state: NoDisk, index: -1}
	voter.resetContent()
	return voter
}

// staleRows returns deletions of what an interrupted repair has left on disk.
func (voter *testVoter) staleRows(t *testing.T) []storage.Put {
	left, err := staleRows(voter.fake)
	if err != nil {
		t.Fatal(err)
	}
	return left
}

// settle completes all pending writes and queued commands.
func (voter *testVoter) settle() {
	for len(voter.fake.pending)+len(voter.queue) > 0 {
		voter.runQueue()
		if len(voter.fake.pending) > 0 {
			voter.fake.sync(nil)
		}
	}
}

// runQueue runs the queued commands.
func (voter *testVoter) runQueue() {
	l := voter.queue
	voter.queue = nil
	for _, f := range l {
		f(voter.voterState)
	}
}

// callResult holds the replies to a call so far.
type callResult struct {
	body  []byte
	err   error
	count int
}

func (voter *testVoter) call(kind uint8, v any) *callResult {
	r := &callResult{}
	c := rpc.LocalCall(kind, v, func(body []byte, err error) { r.body, r.err = body, err; r.count++ })
	if err := voter.dispatch(c); err != nil {
		c.Reply(nil, err)
	}
	return r
}

func (r *callResult) grant(t *testing.T) (g idempotency.Grant) {
	t.Helper()
	if r.count != 1 || r.err != nil {
		t.Fatalf("%d answers, %v", r.count, r.err)
	}
	if err := rpc.Decode(r.body, &g); err != nil {
		t.Fatal(err)
	}
	return g
}

// newServingVoter returns a voter that has bootstrapped and serves.
func newServingVoter(t *testing.T) *testVoter {
	voter := newTestVoter(t, Options{Bootstrap: true, InitialVoters: voters})
	voter.openDisk()
	voter.settle()
	if voter.state != Serving {
		t.Fatalf("%s after the bootstrap", voter.state)
	}
	return voter
}

func id(n uint64) idempotency.ID { return idempotency.ID{Incarnation: 7, N: n, Addr: "x:1"} }

// What was loaded from a disk before reading failed is discarded: the next disk may be empty.
func TestDiskThatFailsWhileLoading(t *testing.T) {
	voter := newServingVoter(t)
	again := newTestVoter(t, Options{})
	again.fake, again.condition = voter.fake, storage.Intact
	again.fake.loadErr = errors.New("no more")
	again.openDisk()
	if again.state != NoDisk || again.disk != nil {
		t.Fatalf("%s with a disk that can't be read", again.state)
	}
	again.fake, again.condition = newFakeDisk(), storage.Damaged
	again.openDisk()
	if again.state != NoVoterSet {
		t.Errorf("%s on an empty disk, epoch %d, incarnations %v", again.state, again.voterSet.Epoch, again.incarnations)
	}
	if r := again.call(messages.Claim, messages.ClaimCall{Key: "k", ID: id(1), Epoch: 1}); errcode.Of(r.err) != errcode.NoQuorum {
		t.Errorf("a claim on it: %v", r.err)
	}
}

// While the first voter set is being written, a tick neither bootstraps again nor opens the disk a second time.
func TestSlowBootstrap(t *testing.T) {
	opened := 0
	voter := newTestVoter(t, Options{Bootstrap: true, InitialVoters: voters})
	begin := voter.srv.openStorage
	voter.srv.openStorage = func(o storage.Options) (disk, storage.Condition, error) { opened++; return begin(o) }
	voter.openDisk()
	voter.tick()
	voter.tick()
	if voter.settle(); opened != 1 || voter.state != Serving {
		t.Errorf("opened %d times, %s", opened, voter.state)
	}
}

// No other repair begins while one is being written: the first would leave the member with a stale incarnation for good.
func TestSlowRepair(t *testing.T) {
	voter := newTestVoter(t, Options{})
	voter.openDisk()
	voter.voterSet = messages.VoterSet{Epoch: 1, Voters: voters}
	voter.locate()
	voter.setState(Repairing)
	recovered := func(by int, inc uint64, claims ...messages.ClaimCall) recoveredState {
		return recoveredState{last: messages.RecoverReply{Origin: consensus.Origin{Voter: by, Incarnations: []uint64{inc, 1, 1}}}, claims: claims}
	}
	voter.recovering = true // as set when the repair began
	voter.restore(2, []recoveredState{recovered(1, 2), recovered(2, 2)}, voter.staleRows(t))
	if !voter.recovering {
		t.Fatal("the next tick would begin another repair")
	}
	voter.settle()
	if voter.state != Serving || voter.incarnations[0] != 2 || voter.recovering {
		t.Errorf("%s, incarnations %v, mustering %v", voter.state, voter.incarnations, voter.recovering)
	}
}

// A repair of any size fits through the storage queue, and removes everything that an interrupted repair left on disk.
func TestRepairOfLargeState(t *testing.T) {
	voter := newTestVoter(t, Options{})
	voter.fake.rows[tableClaims] = map[string][]byte{"stale": putClaim("stale", id(1)).Value}
	left := configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: "stale"}, Version: 3, Spec: []byte("{}")}
	voter.fake.rows[tableItems] = map[string][]byte{string(itemKey(left.Key)): putItem(left).Value}
	voter.openDisk()
	voter.voterSet = messages.VoterSet{Epoch: 1, Voters: voters}
	voter.locate()
	voter.setState(Repairing)
	one := configuration.Ballot{N: 1}
	m := recoveredState{last: messages.RecoverReply{Origin: consensus.Origin{Voter: 1, Incarnations: []uint64{2, 1, 1}}, Accepted: one, Chosen: one, Base: one, UpTo: one}}
	const keys, items = 60000, 1500
	for i := range keys {
		m.claims = append(m.claims, messages.ClaimCall{Key: fmt.Sprintf("key-of-some-length-%040d", i), ID: id(uint64(i + 1))})
	}
	for i := range items {
		m.base = m.base.With(configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: fmt.Sprint(i)}, Version: 1, Ballot: one, Spec: make([]byte, 1000)})
	}
	voter.restore(2, []recoveredState{m}, voter.staleRows(t))
	voter.settle()
	if voter.state != Serving || len(voter.fake.rows[tableClaims]) != keys || len(voter.fake.rows[tableItems]) != items {
		t.Errorf("%s, %d claims and %d items on disk", voter.state, len(voter.fake.rows[tableClaims]), len(voter.fake.rows[tableItems]))
	}
}

// A claim that is repeated while its first write is pending stays held if only the first write fails.
func TestClaimAgainAfterFailedWrite(t *testing.T) {
	voter := newServingVoter(t)
	claim := func(n uint64) *callResult {
		return voter.call(messages.Claim, messages.ClaimCall{Key: "k", ID: id(n), Epoch: 1})
	}
	first, again := claim(1), claim(1)
	voter.fake.sync(storage.ErrDisk)
	voter.fake.sync(nil)
	voter.runQueue()
	if errcode.Of(first.err) != errcode.DiskUnavailable || !again.grant(t).Granted {
		t.Fatalf("the first: %v, again: %v", first.err, again.err)
	}
	other := claim(2)
	voter.settle()
	if g := other.grant(t); g.Granted || g.Holder != id(1) {
		t.Errorf("a key that is held was granted to another: %+v", g)
	}
}

// A claim whose write failed stays held, and others are denied, until its claimant releases it. The writes reach the disk in
// order.
func TestClaimAfterFailedWrite(t *testing.T) {
	voter := newServingVoter(t)
	claim := func(n uint64) *callResult {
		return voter.call(messages.Claim, messages.ClaimCall{Key: "k", ID: id(n), Epoch: 1})
	}
	first, denied := claim(1), claim(2)
	if denied.grant(t).Granted {
		t.Fatal("granted twice")
	}
	voter.fake.sync(storage.ErrFull)
	voter.runQueue()
	if claim(4).grant(t).Granted {
		t.Error("granted although the first claim may be repeated")
	}
	voter.call(messages.Release, messages.ReleaseCall{Key: "k", ID: id(2)}) // does not hold the key
	voter.call(messages.Release, messages.ReleaseCall{Key: "k", ID: id(1)})
	third := claim(3)
	if third.count != 0 {
		t.Error("granted before it is on disk")
	}
	voter.settle()
	if got, _ := readClaim(voter.fake.rows[tableClaims]["k"]); got != id(3) {
		t.Errorf("%v on disk", got)
	}
	if errcode.Of(first.err) != errcode.DiskUnavailable || !third.grant(t).Granted {
		t.Errorf("the first: %v, the third: %v", first.err, third.err)
	}
}

// Calls that arrive while an accepted value is being written are handled after the write, whether it succeeds or fails.
func TestCallsDuringAccept(t *testing.T) {
	b1, b2 := configuration.Ballot{N: 1}, configuration.Ballot{N: 2}
	item := configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: "r"}, Version: 1, Ballot: b1, Spec: []byte("{}")}
	for _, fails := range []bool{false, true} {
		voter := newServingVoter(t)
		acc := voter.call(messages.Accept, messages.AcceptCall{B: b1, Changes: []configuration.Item{item}, Epoch: 1})
		learn := voter.call(messages.Learn, messages.LearnCall{B: b1})
		prep := voter.call(messages.Prepare, messages.PrepareCall{B: b2, Epoch: 1})
		must := voter.call(messages.Recover, messages.RecoverCall{Addr: "b:1", Incarnation: 2})
		if acc.count+learn.count+prep.count+must.count != 0 {
			t.Fatal("answered before the disk")
		}
		want := b1
		if fails {
			want = configuration.Ballot{}
			voter.fake.sync(storage.ErrDisk)
		}
		voter.settle()
		var p consensus.Promise
		var m messages.RecoverReply
		if err := errors.Join(prep.err, learn.err, must.err, rpc.Decode(prep.body, &p), rpc.Decode(must.body, &m)); err != nil {
			t.Fatal(err)
		}
		if (acc.err != nil) != fails || !p.Granted || p.Accepted != want || m.Accepted != want || m.Promised != b2 || m.Origin.Incarnations[1] != 2 || voter.acceptor.Chosen != want {
			t.Errorf("fails %v: %v, promise %+v, muster %+v", fails, acc.err, p, m)
		}
		if voter.registerBusy || len(voter.queuedCalls) > 0 {
			t.Error("calls are still queued")
		}
	}
}

// If the others report two different claims of one key, this member may have granted either before it lost its disk. It grants
// neither, also after a restart, and reports the key as such.
func TestRepairBetweenTwoClaims(t *testing.T) {
	voter := newTestVoter(t, Options{})
	voter.openDisk()
	voter.voterSet = messages.VoterSet{Epoch: 1, Voters: voters}
	voter.locate()
	voter.setState(Repairing)
	recovered := func(by int, n uint64) recoveredState {
		return recoveredState{last: messages.RecoverReply{Origin: consensus.Origin{Voter: by, Incarnations: []uint64{2, 1, 1}}}, claims: []messages.ClaimCall{{Key: "k", ID: id(n)}}}
	}
	voter.restore(2, []recoveredState{recovered(1, 1), recovered(2, 2)}, voter.staleRows(t))
	voter.writeInParts([]storage.Put{voter.putVoterSet()}, func(*voterState, error) {})
	voter.settle()
	again := newTestVoter(t, Options{})
	again.fake, again.condition = voter.fake, storage.Intact
	again.openDisk()
	for _, x := range []*testVoter{voter, again} {
		x.call(messages.Release, messages.ReleaseCall{Key: "k"})
		for n := uint64(1); n <= 3; n++ {
			r := x.call(messages.Claim, messages.ClaimCall{Key: "k", ID: id(n), Epoch: 1})
			x.settle()
			if g := r.grant(t); g.Granted || !g.Holder.IsZero() {
				t.Errorf("%d: %+v", n, g)
			}
		}
		if m := x.recoveryReply(messages.RecoverCall{}); len(m.Claims) != 1 || !m.Claims[0].ID.IsZero() {
			t.Errorf("reports %+v", m.Claims)
		}
	}
}

// A chosen value is taken even below a promise, and the promise stays. Otherwise a member that missed a change would be sent it
// again after each read.
func TestChosenBelowPromise(t *testing.T) {
	voter := newServingVoter(t)
	item := func(v configuration.Version, b uint64) configuration.Item {
		return configuration.Item{Key: configuration.Key{Kind: configuration.Limits}, Version: v, Ballot: configuration.Ballot{N: b}, Spec: []byte("{}")}
	}
	accept := func(b uint64, chosen bool) (a messages.AcceptReply) {
		x := configuration.Ballot{N: b}
		changes := []configuration.Item{item(configuration.Version(b), b)}
		kind, v := messages.Accept, any(messages.AcceptCall{B: x, Changes: changes, Epoch: 1})
		if chosen {
			kind, v = messages.SendPage, messages.SendPageCall{Page: consensus.Page{UpTo: x, Target: x, Items: changes}, Epoch: 1}
		}
		r := voter.call(kind, v)
		voter.settle()
		if r.count != 1 || r.err != nil || rpc.Decode(r.body, &a) != nil {
			t.Fatalf("%d answers, %v", r.count, r.err)
		}
		return a
	}
	voter.call(messages.Prepare, messages.PrepareCall{B: configuration.Ballot{N: 9}, Epoch: 1})
	voter.settle()
	if accept(7, false).OK {
		t.Fatal("a value below the promise was taken")
	}
	if !accept(7, true).OK || voter.acceptor.Chosen.N != 7 || voter.acceptor.Promised.N != 9 {
		t.Errorf("chosen %v, promised %v", voter.acceptor.Chosen, voter.acceptor.Promised)
	}
	if accept(6, true).OK || accept(8, false).OK || voter.acceptor.Accepted.N != 7 {
		t.Errorf("accepted %v, below what was chosen or promised", voter.acceptor.Accepted)
	}
	if !accept(9, false).OK {
		t.Error("the value that was promised for was not taken")
	}
}

// A promise whose write failed still holds after a restart if the write of its value succeeded: a lower ballot could overwrite a
// chosen value.
func TestPromiseImpliedByAcceptedValue(t *testing.T) {
	voter := newServingVoter(t)
	voter.call(messages.Prepare, messages.PrepareCall{B: configuration.Ballot{N: 2}, Epoch: 1})
	voter.fake.sync(storage.ErrFull)
	voter.call(messages.Accept, messages.AcceptCall{B: configuration.Ballot{N: 2}, Epoch: 1})
	voter.settle()
	voter.openDisk() // as after a restart
	r := voter.call(messages.Accept, messages.AcceptCall{B: configuration.Ballot{N: 1}, Epoch: 1})
	voter.settle()
	var a messages.AcceptReply
	if r.err != nil || rpc.Decode(r.body, &a) != nil || a.OK || a.Accepted.N != 2 {
		t.Errorf("a lower ballot: %+v, %v", a, r.err)
	}
}

// While a disk is being opened, which may hang, calls are answered and it is not opened a second time.
func TestDiskThatOpensSlowly(t *testing.T) {
	voter := newTestVoter(t, Options{Bootstrap: true, InitialVoters: voters})
	var work []func() func(*voterState)
	voter.srv.runAsync = func(f func() func(*voterState)) { work = append(work, f) }
	voter.openDisk()
	voter.tick()
	r := voter.call(messages.Watch, messages.WatchCall{})
	var w messages.WatchReply
	if r.count != 1 || r.err != nil || rpc.Decode(r.body, &w) != nil || w.State != string(NoDisk) {
		t.Errorf("%d answers, %v, %+v", r.count, r.err, w)
	}
	if c := voter.call(messages.Claim, messages.ClaimCall{Key: "k", ID: id(1), Epoch: 1}); errcode.Of(c.err) != errcode.NoQuorum {
		t.Errorf("a claim while the disk was being opened: %v", c.err)
	}
	if len(work) != 1 {
		t.Fatalf("opened %d times", len(work))
	}
	work[0]()(voter.voterState)
	voter.settle()
	if voter.state != Serving {
		t.Errorf("%s at the end", voter.state)
	}
}

// In each run a different sync fails. The call that waited for it gets the error, no other call fails, and everything that was
// acknowledged is there after a loss of power at the end.
func TestEachSyncFailsOnce(t *testing.T) {
	ballots := []configuration.Ballot{{N: 1}, {N: 2}}
	for turn := 1; ; turn++ {
		voter := newTestVoter(t, Options{Bootstrap: true, InitialVoters: voters})
		syncs, failed := 0, 0
		settle := func() {
			for len(voter.fake.pending)+len(voter.queue) > 0 {
				voter.runQueue()
				if len(voter.fake.pending) > 0 {
					var err error
					if syncs++; syncs == turn {
						err = storage.ErrFull
					}
					voter.fake.sync(err)
				}
			}
		}
		call := func(kind uint8, v, answer any) bool {
			r := voter.call(kind, v)
			settle()
			if r.count != 1 {
				t.Fatalf("sync %d: %d answers", turn, r.count)
			}
			if r.err == nil {
				return answer == nil || rpc.Decode(r.body, answer) == nil
			}
			if failed++; errcode.Of(r.err) != errcode.DiskUnavailable {
				t.Errorf("sync %d: %v", turn, r.err)
			}
			return false
		}
		voter.openDisk()
		settle()
		if turn == 1 { // the bootstrap is repeated, as no other store may know the voter set
			if voter.state != NoDisk || len(voter.fake.rows) > 0 {
				t.Errorf("%s, %d tables on disk", voter.state, len(voter.fake.rows))
			}
			voter.tick()
			settle()
		}
		granted := map[string]idempotency.ID{}
		claim := func(key string, n uint64) {
			var g idempotency.Grant
			if call(messages.Claim, messages.ClaimCall{Key: key, ID: id(n), Epoch: 1}, &g) && g.Granted {
				granted[key] = id(n)
			}
		}
		var promised, accepted configuration.Ballot
		var inc uint64
		change := func(b configuration.Ballot) {
			var p consensus.Promise
			if call(messages.Prepare, messages.PrepareCall{B: b, Epoch: 1}, &p) && p.Granted {
				promised = b
			}
			var a messages.AcceptReply
			i := configuration.Item{Key: configuration.Key{Kind: configuration.Limits}, Version: configuration.Version(b.N), Ballot: b, Spec: []byte("{}")}
			if call(messages.Accept, messages.AcceptCall{B: b, Changes: []configuration.Item{i}, Epoch: 1}, &a) && a.OK {
				accepted = b
			}
			call(messages.Learn, messages.LearnCall{B: b}, nil)
		}
		claim("a", 1)
		change(ballots[0])
		claim("b", 2)
		if call(messages.Release, messages.ReleaseCall{Key: "a", ID: id(1)}, nil) {
			delete(granted, "a")
		}
		claim("a", 3)
		var m messages.RecoverReply
		if call(messages.Recover, messages.RecoverCall{Addr: "b:1", Incarnation: 2}, &m) {
			inc = 2
		}
		change(ballots[1])
		claim("b", 4)
		again := newTestVoter(t, Options{})
		again.fake, again.condition = voter.fake, storage.Intact
		again.openDisk()
		if failed > 1 || again.state != Serving || again.acceptor.Promised.Less(promised) || again.acceptor.Accepted.Less(accepted) || again.incarnations[1] < inc {
			t.Errorf("sync %d: %d calls failed; %s, promised %v, not %v, accepted %v, not %v, incarnations %v",
				turn, failed, again.state, again.acceptor.Promised, promised, again.acceptor.Accepted, accepted, again.incarnations)
		}
		for key, holder := range granted {
			r := again.call(messages.Claim, messages.ClaimCall{Key: key, ID: id(9), Epoch: 1})
			again.settle()
			if g := r.grant(t); g.Granted || g.Holder != holder {
				t.Errorf("sync %d: %q was granted to %v: %+v", turn, key, holder, g)
			}
		}
		if syncs < turn {
			if failed > 0 || len(granted) != 2 || inc != 2 || promised != ballots[1] || accepted != ballots[1] {
				t.Errorf("on a working disk %d calls failed: %v, %v, %v", failed, granted, promised, accepted)
			}
			break
		}
	}
}

// While a commit hangs, calls are refused immediately. They are served again afterwards.
func TestDiskThatHangs(t *testing.T) {
	voter := newServingVoter(t)
	for _, stall := range []time.Duration{stalledAfter + 1, 0} {
		voter.fake.stall = stall
		for kind, v := range map[uint8]any{
			messages.Claim:   messages.ClaimCall{Key: "k", ID: id(1), Epoch: 1},
			messages.Prepare: messages.PrepareCall{B: configuration.Ballot{N: 1}, Epoch: 1},
			messages.Accept:  messages.AcceptCall{B: configuration.Ballot{N: 1}, Epoch: 1},
		} {
			r := voter.call(kind, v)
			if stall > 0 && (r.count != 1 || errcode.Of(r.err) != errcode.DiskUnavailable || len(voter.fake.pending) > 0) {
				t.Errorf("kind %d: %d answers, %v", kind, r.count, r.err)
			}
			if voter.settle(); stall == 0 && (r.count != 1 || r.err != nil) {
				t.Errorf("kind %d afterwards: %d answers, %v", kind, r.count, r.err)
			}
		}
	}
}

// A disk that fails all writes for long is opened again, as after a start. If it is damaged, the member has to repair it, and
// does not bootstrap even if it was started with that option. A disk that has recovered is used again.
func TestDiskThatGoesBad(t *testing.T) {
	for _, damaged := range []bool{true, false} {
		voter := newServingVoter(t)
		claim := func(n uint64, err error) (a *callResult) {
			a = voter.call(messages.Claim, messages.ClaimCall{Key: fmt.Sprint("k", n), ID: id(n), Epoch: 1})
			if len(voter.fake.pending) > 0 {
				voter.fake.sync(err)
			}
			return a
		}
		claim(1, nil)
		for n := range uint64(4) {
			claim(2+n, storage.ErrDisk)
			voter.startedAt = voter.startedAt.Add(-reopenAfter / 4)
			if n == 3 && damaged {
				voter.fake, voter.condition = newFakeDisk(), storage.Damaged
			}
			if voter.tick(); n < 3 && (voter.state != Serving || voter.claims.Len() != int(2+n)) {
				t.Fatalf("%s with %d keys after %d failures", voter.state, voter.claims.Len(), n+1)
			}
		}
		voter.settle()
		again := claim(1, nil)
		switch {
		case damaged && (voter.state != NoVoterSet || errcode.Of(again.err) != errcode.NoQuorum):
			t.Errorf("%s with a damaged disk, a claim: %v", voter.state, again.err)
		case !damaged && (voter.state != Serving || voter.claims.Len() != 1 || !again.grant(t).Granted):
			t.Errorf("%s with %d keys", voter.state, voter.claims.Len())
		}
	}
	// During a takeover the disk stays open: the rest of the state is still being written to it.
	duringTakeover := newServingVoter(t)
	duringTakeover.srv.failingSince.Store(1)
	duringTakeover.startedAt, duringTakeover.takingOver = duringTakeover.startedAt.Add(-2*reopenAfter), true
	if duringTakeover.tick(); duringTakeover.disk != disk(duringTakeover.fake) || duringTakeover.state != Serving {
		t.Error("the disk was opened again during a takeover")
	}
	duringTakeover.takingOver, duringTakeover.fake = false, newFakeDisk()
	duringTakeover.tick()
	if duringTakeover.settle(); duringTakeover.disk != disk(duringTakeover.fake) {
		t.Error("a failing disk was not opened again after a takeover")
	}
	// Files that were found damaged and could not be quarantined may be found empty the next time.
	voter := newTestVoter(t, Options{Bootstrap: true, InitialVoters: voters})
	begin := voter.srv.openStorage
	voter.srv.openStorage = func(storage.Options) (disk, storage.Condition, error) { return nil, storage.Damaged, storage.ErrFull }
	voter.openDisk()
	voter.srv.openStorage = begin
	if voter.tick(); voter.state != NoVoterSet {
		t.Errorf("%s after a damaged disk", voter.state)
	}
}

// A disk that is behind a mark reported from it is an older copy: the member does not vote until it is repaired.
func TestOlderCopyOfADisk(t *testing.T) {
	voter := newServingVoter(t)
	claim := func(n uint64) *callResult {
		voter.startedAt = voter.startedAt.Add(-markInterval)
		a := voter.call(messages.Claim, messages.ClaimCall{Key: fmt.Sprint("k", n), ID: id(n), Epoch: 1})
		voter.settle()
		return a
	}
	copied := newFakeDisk()
	for n := range uint64(3) {
		if claim(n + 1); n == 0 {
			for t, rows := range voter.fake.rows {
				copied.rows[t] = maps.Clone(rows)
			}
		}
	}
	reported := messages.Mark{Epoch: 1, Incarnation: 1, Counter: voter.watchReply(configuration.Ballot{}).Mark}
	if reported.Counter != 3 {
		t.Fatalf("mark %d after three writes at least markInterval apart", reported.Counter)
	}
	for _, c := range []struct {
		name  string
		disk  *fakeDisk
		known []messages.Mark
		want  State
	}{
		{"its own disk", voter.fake, []messages.Mark{{}, reported}, Serving},
		{"a copy, and no registry knows the mark", copied, []messages.Mark{{}}, Serving},
		{"a copy", copied, []messages.Mark{{}, reported}, Repairing},
		{"a disk from before a repair", voter.fake, []messages.Mark{{Epoch: 1, Incarnation: 2}}, Repairing},
		{"a disk from before a change of the voter set", voter.fake, []messages.Mark{{Epoch: 2, Incarnation: 1}}, Repairing},
	} {
		n := newTestVoter(t, Options{Bootstrap: true, InitialVoters: voters})
		n.fake, n.marks = newFakeDisk(), c.known
		for t, rows := range c.disk.rows {
			n.fake.rows[t] = maps.Clone(rows)
		}
		n.openDisk()
		n.settle()
		a := n.call(messages.Claim, messages.ClaimCall{Key: "k9", ID: id(9), Epoch: 1})
		n.settle()
		if n.state != c.want || (a.err == nil) != (c.want == Serving) {
			t.Errorf("%s: %s, a claim: %v", c.name, n.state, a.err)
		}
		if n.state == Repairing {
			again := newTestVoter(t, Options{}) // restarted during the repair, when no registry knows the mark any more
			again.fake = n.fake
			if again.openDisk(); again.state != Repairing {
				t.Errorf("%s, restarted during its repair: %s", c.name, again.state)
			}
		}
	}
}
