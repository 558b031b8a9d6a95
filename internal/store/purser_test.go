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

// A paper is a disk whose syncs the test times: what was written waits for sync, which brings it into force or fails it.
type paper struct {
	rows   map[storage.Table]map[string][]byte
	waits  []writing
	broken error // of Load
	stall  time.Duration
}

type writing struct {
	puts []storage.Put
	done func(error)
}

func newPaper() *paper { return &paper{rows: map[storage.Table]map[string][]byte{}} }

func (p *paper) Load(t storage.Table, each func(k, v []byte) error) error {
	for _, k := range slices.Sorted(maps.Keys(p.rows[t])) {
		if err := each([]byte(k), p.rows[t][k]); err != nil {
			return err
		}
	}
	return p.broken
}

func (p *paper) Write(puts []storage.Put, done func(error)) {
	size, waiting := 0, 0
	for _, x := range puts {
		size += len(x.Key) + len(x.Value)
	}
	for _, w := range p.waits {
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
		p.waits = append(p.waits, writing{puts, done})
	}
}

func (p *paper) Stalled() time.Duration { return p.stall }
func (p *paper) Close() error           { return nil }

func (p *paper) sync(err error) {
	w := p.waits[0]
	p.waits = p.waits[1:]
	for _, x := range w.puts {
		switch {
		case err != nil:
		case x.Value == nil:
			delete(p.rows[x.Table], string(x.Key))
		default:
			if p.rows[x.Table] == nil {
				p.rows[x.Table] = map[string][]byte{}
			}
			p.rows[x.Table][string(x.Key)] = x.Value
		}
	}
	w.done(err)
}

// A desk is the books of one purser without goroutines: what is done later waits in a queue.
type desk struct {
	*books
	paper *paper
	as    storage.Start // it is found
	later []func(*books)
	told  []messages.Mark // what harbourmasters know
}

var voters = []messages.Voter{{Addr: "a:1"}, {Addr: "b:1"}, {Addr: "c:1"}}

func newDesk(t *testing.T, o Options) *desk {
	o.Addr, o.Window, o.Log = "a:1", time.Minute, func(event, text string) { t.Log(event, text) }
	o.Seeds = func() []string { return nil }
	d := &desk{paper: newPaper()}
	p := &Purser{o: o, later: func(f func(*books)) { d.later = append(d.later, f) }}
	p.begin = func(storage.Options) (disk, storage.Start, error) { return d.paper, d.as, nil }
	p.aside = func(f func() func(*books)) { f()(d.books) }
	p.known = func(messages.Roll) []messages.Mark { return d.told }
	p.own = rpc.Own(&books{}, 64) // hears of what a repair found, which no test here waits for
	t.Cleanup(p.own.End)
	d.books = &books{p: p, begun: time.Now(), state: NoDisk, me: -1}
	d.clear()
	return d
}

// left is what a repair that died has left on disk.
func (d *desk) left(t *testing.T) []storage.Put {
	left, err := leftovers(d.paper)
	if err != nil {
		t.Fatal(err)
	}
	return left
}

// settle syncs all that waits, and does all that is to be done later.
func (d *desk) settle() {
	for len(d.paper.waits)+len(d.later) > 0 {
		d.catchUp()
		if len(d.paper.waits) > 0 {
			d.paper.sync(nil)
		}
	}
}

// catchUp does what is to be done later.
func (d *desk) catchUp() {
	l := d.later
	d.later = nil
	for _, f := range l {
		f(d.books)
	}
}

// answered is what came of a call so far.
type answered struct {
	body []byte
	err  error
	n    int
}

func (d *desk) call(kind uint8, v any) *answered {
	r := &answered{}
	c := rpc.Local(kind, v, func(body []byte, err error) { r.body, r.err = body, err; r.n++ })
	if err := d.take(c); err != nil {
		c.Reply(nil, err)
	}
	return r
}

func (r *answered) grant(t *testing.T) (g idempotency.Grant) {
	t.Helper()
	if r.n != 1 || r.err != nil {
		t.Fatalf("%d answers, %v", r.n, r.err)
	}
	if err := rpc.Decode(r.body, &g); err != nil {
		t.Fatal(err)
	}
	return g
}

// founded is a desk that counts.
func founded(t *testing.T) *desk {
	d := newDesk(t, Options{Bootstrap: true, Found: voters})
	d.open()
	d.settle()
	if d.state != Serving {
		t.Fatalf("%s after the founding", d.state)
	}
	return d
}

func id(n uint64) idempotency.ID { return idempotency.ID{Life: 7, N: n, At: "x:1"} }

// What a disk told before its reading failed counts for nothing: the next one may be empty.
func TestDiskThatFailsAmidReading(t *testing.T) {
	d := founded(t)
	again := newDesk(t, Options{})
	again.paper, again.as = d.paper, storage.Whole
	again.paper.broken = errors.New("no more")
	again.open()
	if again.state != NoDisk || again.disk != nil {
		t.Fatalf("%s with a disk that can't be read", again.state)
	}
	again.paper, again.as = newPaper(), storage.Damaged
	again.open()
	if again.state != NoRoll {
		t.Errorf("%s on an empty disk, epoch %d, incarnations %v", again.state, again.roll.Epoch, again.incs)
	}
	if r := again.call(messages.Claim, messages.ClaimCall{Key: "k", ID: id(1), Epoch: 1}); errcode.Of(r.err) != errcode.NoQuorum {
		t.Errorf("a claim there: %v", r.err)
	}
}

// A founding that is not on disk yet is not begun again by a tick, nor is the disk opened a second time.
func TestFoundingThatTakesLong(t *testing.T) {
	opened := 0
	d := newDesk(t, Options{Bootstrap: true, Found: voters})
	begin := d.p.begin
	d.p.begin = func(o storage.Options) (disk, storage.Start, error) { opened++; return begin(o) }
	d.open()
	d.tick()
	d.tick()
	if d.settle(); opened != 1 || d.state != Serving {
		t.Errorf("opened %d times, %s", opened, d.state)
	}
}

// A repair that is on its way to disk is not overtaken by the next: its incarnation would be stale for good.
func TestRepairThatTakesLong(t *testing.T) {
	d := newDesk(t, Options{})
	d.open()
	d.roll = messages.Roll{Epoch: 1, Voters: voters}
	d.place()
	d.set(Repairing)
	told := func(by int, inc uint64, claims ...messages.ClaimCall) mustered {
		return mustered{m: messages.Mustered{Vouch: consensus.Vouch{By: by, Incs: []uint64{inc, 1, 1}}}, claims: claims}
	}
	d.mustering = true // as since it began
	d.restore(2, []mustered{told(1, 2), told(2, 2)}, d.left(t))
	if !d.mustering {
		t.Fatal("the next tick would begin another repair")
	}
	d.settle()
	if d.state != Serving || d.incs[0] != 2 || d.mustering {
		t.Errorf("%s, incarnations %v, mustering %v", d.state, d.incs, d.mustering)
	}
}

// A repair passes through the disk's queue however much it is, and leaves nothing on disk of one before that died.
func TestRepairOfMuch(t *testing.T) {
	d := newDesk(t, Options{})
	d.paper.rows[tableClaims] = map[string][]byte{"stale": putClaim("stale", id(1)).Value}
	left := configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: "stale"}, Version: 3, Spec: []byte("{}")}
	d.paper.rows[tableItems] = map[string][]byte{string(itemKey(left.Key)): putItem(left).Value}
	d.open()
	d.roll = messages.Roll{Epoch: 1, Voters: voters}
	d.place()
	d.set(Repairing)
	one := configuration.Ballot{N: 1}
	m := mustered{m: messages.Mustered{Vouch: consensus.Vouch{By: 1, Incs: []uint64{2, 1, 1}}, Accepted: one, Chosen: one, Base: one, Upto: one}}
	const keys, items = 60000, 1500
	for i := range keys {
		m.claims = append(m.claims, messages.ClaimCall{Key: fmt.Sprintf("key-of-some-length-%040d", i), ID: id(uint64(i + 1))})
	}
	for i := range items {
		m.base = m.base.With(configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: fmt.Sprint(i)}, Version: 1, Ballot: one, Spec: make([]byte, 1000)})
	}
	d.restore(2, []mustered{m}, d.left(t))
	d.settle()
	if d.state != Serving || len(d.paper.rows[tableClaims]) != keys || len(d.paper.rows[tableItems]) != items {
		t.Errorf("%s, %d claims and %d items on disk", d.state, len(d.paper.rows[tableClaims]), len(d.paper.rows[tableItems]))
	}
}

// A claim that comes again while its first write is on the way stays held when only the first fails.
func TestClaimAgainAfterFailedWrite(t *testing.T) {
	d := founded(t)
	claim := func(n uint64) *answered {
		return d.call(messages.Claim, messages.ClaimCall{Key: "k", ID: id(n), Epoch: 1})
	}
	first, again := claim(1), claim(1)
	d.paper.sync(storage.ErrDisk)
	d.paper.sync(nil)
	d.catchUp()
	if errcode.Of(first.err) != errcode.DiskUnavailable || !again.grant(t).Given {
		t.Fatalf("the first: %v, again: %v", first.err, again.err)
	}
	other := claim(2)
	d.settle()
	if g := other.grant(t); g.Given || g.Holder != id(1) {
		t.Errorf("another was granted the key that is granted already: %+v", g)
	}
}

// A claim whose write failed after another was denied for it is free once its claimant has given it back, in order on disk.
func TestClaimAfterFailedWrite(t *testing.T) {
	d := founded(t)
	claim := func(n uint64) *answered {
		return d.call(messages.Claim, messages.ClaimCall{Key: "k", ID: id(n), Epoch: 1})
	}
	first, denied := claim(1), claim(2)
	if denied.grant(t).Given {
		t.Fatal("granted twice")
	}
	d.paper.sync(storage.ErrFull)
	d.catchUp()
	if claim(4).grant(t).Given {
		t.Error("granted although the first may come again")
	}
	d.call(messages.Release, messages.ReleaseCall{Key: "k", ID: id(2)}) // holds nothing
	d.call(messages.Release, messages.ReleaseCall{Key: "k", ID: id(1)})
	third := claim(3)
	if third.n != 0 {
		t.Error("granted before it is on disk")
	}
	d.settle()
	if got, _ := readClaim(d.paper.rows[tableClaims]["k"]); got != id(3) {
		t.Errorf("%v on disk", got)
	}
	if errcode.Of(first.err) != errcode.DiskUnavailable || !third.grant(t).Given {
		t.Errorf("the first: %v, the third: %v", first.err, third.err)
	}
}

// Calls that come while a value is on its way to disk are worked on behind it, whether it got there or not.
func TestCallsBehindAnAccept(t *testing.T) {
	b1, b2 := configuration.Ballot{N: 1}, configuration.Ballot{N: 2}
	item := configuration.Item{Key: configuration.Key{Kind: configuration.Routes, Name: "r"}, Version: 1, Ballot: b1, Spec: []byte("{}")}
	for _, fails := range []bool{false, true} {
		d := founded(t)
		acc := d.call(messages.Accept, messages.AcceptCall{B: b1, Changes: []configuration.Item{item}, Epoch: 1})
		learn := d.call(messages.Learn, messages.LearnCall{B: b1})
		prep := d.call(messages.Prepare, messages.PrepareCall{B: b2, Epoch: 1})
		must := d.call(messages.Muster, messages.MusterCall{Addr: "b:1", Inc: 2})
		if acc.n+learn.n+prep.n+must.n != 0 {
			t.Fatal("answered before the disk")
		}
		want := b1
		if fails {
			want = configuration.Ballot{}
			d.paper.sync(storage.ErrDisk)
		}
		d.settle()
		var p consensus.Promise
		var m messages.Mustered
		if err := errors.Join(prep.err, learn.err, must.err, rpc.Decode(prep.body, &p), rpc.Decode(must.body, &m)); err != nil {
			t.Fatal(err)
		}
		if (acc.err != nil) != fails || !p.Given || p.Accepted != want || m.Accepted != want || m.Promised != b2 || m.Vouch.Incs[1] != 2 || d.acc.Chosen != want {
			t.Errorf("fails %v: %v, promise %+v, muster %+v", fails, acc.err, p, m)
		}
		if d.accepting || len(d.queued) > 0 {
			t.Error("something waits on")
		}
	}
}

// Of two claims that the others told of one key, this member may have granted either before its loss: it grants neither, nor
// after a restart, and tells others so.
func TestRepairBetweenTwoClaims(t *testing.T) {
	d := newDesk(t, Options{})
	d.open()
	d.roll = messages.Roll{Epoch: 1, Voters: voters}
	d.place()
	d.set(Repairing)
	told := func(by int, n uint64) mustered {
		return mustered{m: messages.Mustered{Vouch: consensus.Vouch{By: by, Incs: []uint64{2, 1, 1}}}, claims: []messages.ClaimCall{{Key: "k", ID: id(n)}}}
	}
	d.restore(2, []mustered{told(1, 1), told(2, 2)}, d.left(t))
	d.save([]storage.Put{d.putRoll()}, func(*books, error) {})
	d.settle()
	again := newDesk(t, Options{})
	again.paper, again.as = d.paper, storage.Whole
	again.open()
	for _, x := range []*desk{d, again} {
		x.call(messages.Release, messages.ReleaseCall{Key: "k"})
		for n := uint64(1); n <= 3; n++ {
			r := x.call(messages.Claim, messages.ClaimCall{Key: "k", ID: id(n), Epoch: 1})
			x.settle()
			if g := r.grant(t); g.Given || !g.Holder.IsZero() {
				t.Errorf("%d: %+v", n, g)
			}
		}
		if m := x.tell(messages.MusterCall{}); len(m.Claims) != 1 || !m.Claims[0].ID.IsZero() {
			t.Errorf("tells %+v", m.Claims)
		}
	}
}

// What is known to be chosen is taken though more was promised, and the promise stays: a member that missed a change would
// else be told of it again and again behind each reading.
func TestChosenBehindAPromise(t *testing.T) {
	d := founded(t)
	item := func(v configuration.Version, b uint64) configuration.Item {
		return configuration.Item{Key: configuration.Key{Kind: configuration.Limits}, Version: v, Ballot: configuration.Ballot{N: b}, Spec: []byte("{}")}
	}
	accept := func(b uint64, chosen bool) (a messages.Accepted) {
		x := configuration.Ballot{N: b}
		changes := []configuration.Item{item(configuration.Version(b), b)}
		kind, v := messages.Accept, any(messages.AcceptCall{B: x, Changes: changes, Epoch: 1})
		if chosen {
			kind, v = messages.Turn, messages.TurnCall{Page: consensus.Page{Upto: x, Target: x, Items: changes}, Epoch: 1}
		}
		r := d.call(kind, v)
		d.settle()
		if r.n != 1 || r.err != nil || rpc.Decode(r.body, &a) != nil {
			t.Fatalf("%d answers, %v", r.n, r.err)
		}
		return a
	}
	d.call(messages.Prepare, messages.PrepareCall{B: configuration.Ballot{N: 9}, Epoch: 1})
	d.settle()
	if accept(7, false).Taken {
		t.Fatal("a value below the promise was taken")
	}
	if !accept(7, true).Taken || d.acc.Chosen.N != 7 || d.acc.Promised.N != 9 {
		t.Errorf("chosen %v, promised %v", d.acc.Chosen, d.acc.Promised)
	}
	if accept(6, true).Taken || accept(8, false).Taken || d.acc.Accepted.N != 7 {
		t.Errorf("accepted %v behind what was chosen and promised", d.acc.Accepted)
	}
	if !accept(9, false).Taken {
		t.Error("the value that was promised for was not taken")
	}
}

// A promise whose write failed, though that of its value did not, holds after a restart: a lower ballot would overwrite what may
// be chosen.
func TestPromiseThatOnlyItsValueTells(t *testing.T) {
	d := founded(t)
	d.call(messages.Prepare, messages.PrepareCall{B: configuration.Ballot{N: 2}, Epoch: 1})
	d.paper.sync(storage.ErrFull)
	d.call(messages.Accept, messages.AcceptCall{B: configuration.Ballot{N: 2}, Epoch: 1})
	d.settle()
	d.open() // as after a restart
	r := d.call(messages.Accept, messages.AcceptCall{B: configuration.Ballot{N: 1}, Epoch: 1})
	d.settle()
	var a messages.Accepted
	if r.err != nil || rpc.Decode(r.body, &a) != nil || a.Taken || a.Accepted.N != 2 {
		t.Errorf("a lower ballot: %+v, %v", a, r.err)
	}
}

// While a disk is being opened, which may hang, calls are answered, and nobody opens it again.
func TestDiskThatOpensSlowly(t *testing.T) {
	d := newDesk(t, Options{Bootstrap: true, Found: voters})
	var work []func() func(*books)
	d.p.aside = func(f func() func(*books)) { work = append(work, f) }
	d.open()
	d.tick()
	r := d.call(messages.Watch, messages.WatchCall{})
	var w messages.Watched
	if r.n != 1 || r.err != nil || rpc.Decode(r.body, &w) != nil || w.State != string(NoDisk) {
		t.Errorf("%d answers, %v, %+v", r.n, r.err, w)
	}
	if c := d.call(messages.Claim, messages.ClaimCall{Key: "k", ID: id(1), Epoch: 1}); errcode.Of(c.err) != errcode.NoQuorum {
		t.Errorf("a claim meanwhile: %v", c.err)
	}
	if len(work) != 1 {
		t.Fatalf("opened %d times", len(work))
	}
	work[0]()(d.books)
	d.settle()
	if d.state != Serving {
		t.Errorf("%s in the end", d.state)
	}
}

// Each sync fails once in its turn. Who waited for it hears so, no other call fails, and what was told stands after a loss of
// power at the end.
func TestEachSyncFailsOnce(t *testing.T) {
	ballots := []configuration.Ballot{{N: 1}, {N: 2}}
	for turn := 1; ; turn++ {
		d := newDesk(t, Options{Bootstrap: true, Found: voters})
		syncs, failed := 0, 0
		settle := func() {
			for len(d.paper.waits)+len(d.later) > 0 {
				d.catchUp()
				if len(d.paper.waits) > 0 {
					var err error
					if syncs++; syncs == turn {
						err = storage.ErrFull
					}
					d.paper.sync(err)
				}
			}
		}
		call := func(kind uint8, v, answer any) bool {
			r := d.call(kind, v)
			settle()
			if r.n != 1 {
				t.Fatalf("sync %d: %d answers", turn, r.n)
			}
			if r.err == nil {
				return answer == nil || rpc.Decode(r.body, answer) == nil
			}
			if failed++; errcode.Of(r.err) != errcode.DiskUnavailable {
				t.Errorf("sync %d: %v", turn, r.err)
			}
			return false
		}
		d.open()
		settle()
		if turn == 1 { // the founding: it is begun again, as there may be nobody who could tell who counts
			if d.state != NoDisk || len(d.paper.rows) > 0 {
				t.Errorf("%s, %d tables on disk", d.state, len(d.paper.rows))
			}
			d.tick()
			settle()
		}
		granted := map[string]idempotency.ID{}
		claim := func(key string, n uint64) {
			var g idempotency.Grant
			if call(messages.Claim, messages.ClaimCall{Key: key, ID: id(n), Epoch: 1}, &g) && g.Given {
				granted[key] = id(n)
			}
		}
		var promised, accepted configuration.Ballot
		var inc uint64
		change := func(b configuration.Ballot) {
			var p consensus.Promise
			if call(messages.Prepare, messages.PrepareCall{B: b, Epoch: 1}, &p) && p.Given {
				promised = b
			}
			var a messages.Accepted
			i := configuration.Item{Key: configuration.Key{Kind: configuration.Limits}, Version: configuration.Version(b.N), Ballot: b, Spec: []byte("{}")}
			if call(messages.Accept, messages.AcceptCall{B: b, Changes: []configuration.Item{i}, Epoch: 1}, &a) && a.Taken {
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
		var m messages.Mustered
		if call(messages.Muster, messages.MusterCall{Addr: "b:1", Inc: 2}, &m) {
			inc = 2
		}
		change(ballots[1])
		claim("b", 4)
		again := newDesk(t, Options{})
		again.paper, again.as = d.paper, storage.Whole
		again.open()
		if failed > 1 || again.state != Serving || again.acc.Promised.Less(promised) || again.acc.Accepted.Less(accepted) || again.incs[1] < inc {
			t.Errorf("sync %d: %d calls failed; %s, promised %v, not %v, accepted %v, not %v, incarnations %v",
				turn, failed, again.state, again.acc.Promised, promised, again.acc.Accepted, accepted, again.incs)
		}
		for key, holder := range granted {
			r := again.call(messages.Claim, messages.ClaimCall{Key: key, ID: id(9), Epoch: 1})
			again.settle()
			if g := r.grant(t); g.Given || g.Holder != holder {
				t.Errorf("sync %d: %q was granted to %v: %+v", turn, key, holder, g)
			}
		}
		if syncs < turn {
			if failed > 0 || len(granted) != 2 || inc != 2 || promised != ballots[1] || accepted != ballots[1] {
				t.Errorf("on a disk that is well %d calls failed: %v, %v, %v", failed, granted, promised, accepted)
			}
			break
		}
	}
}

// While a commit hangs, calls are refused at once, and served again behind it.
func TestDiskThatHangs(t *testing.T) {
	d := founded(t)
	for _, stall := range []time.Duration{stalledAfter + 1, 0} {
		d.paper.stall = stall
		for kind, v := range map[uint8]any{
			messages.Claim:   messages.ClaimCall{Key: "k", ID: id(1), Epoch: 1},
			messages.Prepare: messages.PrepareCall{B: configuration.Ballot{N: 1}, Epoch: 1},
			messages.Accept:  messages.AcceptCall{B: configuration.Ballot{N: 1}, Epoch: 1},
		} {
			r := d.call(kind, v)
			if stall > 0 && (r.n != 1 || errcode.Of(r.err) != errcode.DiskUnavailable || len(d.paper.waits) > 0) {
				t.Errorf("kind %d: %d answers, %v", kind, r.n, r.err)
			}
			if d.settle(); stall == 0 && (r.n != 1 || r.err != nil) {
				t.Errorf("kind %d behind it: %d answers, %v", kind, r.n, r.err)
			}
		}
	}
}

// A disk that fails each write for long is opened again, as after a start: where it turns out damaged, the member has to make up
// for it, and founds nothing though it began with the very first start. One that is well again is used on.
func TestDiskThatGoesBad(t *testing.T) {
	for _, damaged := range []bool{true, false} {
		d := founded(t)
		claim := func(n uint64, err error) (a *answered) {
			a = d.call(messages.Claim, messages.ClaimCall{Key: fmt.Sprint("k", n), ID: id(n), Epoch: 1})
			if len(d.paper.waits) > 0 {
				d.paper.sync(err)
			}
			return a
		}
		claim(1, nil)
		for n := range uint64(4) {
			claim(2+n, storage.ErrDisk)
			d.begun = d.begun.Add(-ailsFor / 4)
			if n == 3 && damaged {
				d.paper, d.as = newPaper(), storage.Damaged
			}
			if d.tick(); n < 3 && (d.state != Serving || d.ledger.Len() != int(2+n)) {
				t.Fatalf("%s with %d keys after %d failures", d.state, d.ledger.Len(), n+1)
			}
		}
		d.settle()
		again := claim(1, nil)
		switch {
		case damaged && (d.state != NoRoll || errcode.Of(again.err) != errcode.NoQuorum):
			t.Errorf("%s with a damaged disk, a claim: %v", d.state, again.err)
		case !damaged && (d.state != Serving || d.ledger.Len() != 1 || !again.grant(t).Given):
			t.Errorf("%s with %d keys", d.state, d.ledger.Len())
		}
	}
	// Amid a taking over the file stays: the rest of the books is on its way there.
	amid := founded(t)
	amid.p.ailing.Store(1)
	amid.begun, amid.taking = amid.begun.Add(-2*ailsFor), true
	if amid.tick(); amid.disk != disk(amid.paper) || amid.state != Serving {
		t.Error("a disk was opened anew amid a taking over")
	}
	amid.taking, amid.paper = false, newPaper()
	amid.tick()
	if amid.settle(); amid.disk != disk(amid.paper) {
		t.Error("a disk that fails was not opened anew behind a taking over")
	}
	// What was found damaged and could not be put aside is empty at the next look.
	d := newDesk(t, Options{Bootstrap: true, Found: voters})
	begin := d.p.begin
	d.p.begin = func(storage.Options) (disk, storage.Start, error) { return nil, storage.Damaged, storage.ErrFull }
	d.open()
	d.p.begin = begin
	if d.tick(); d.state != NoRoll {
		t.Errorf("%s behind a damaged disk", d.state)
	}
}

// A disk that is behind what was told from it is an older copy: whoever finds it says nothing as a member until it is made up for.
func TestOlderCopyOfADisk(t *testing.T) {
	d := founded(t)
	claim := func(n uint64) *answered {
		d.begun = d.begun.Add(-markEvery)
		a := d.call(messages.Claim, messages.ClaimCall{Key: fmt.Sprint("k", n), ID: id(n), Epoch: 1})
		d.settle()
		return a
	}
	copied := newPaper()
	for n := range uint64(3) {
		if claim(n + 1); n == 0 {
			for t, rows := range d.paper.rows {
				copied.rows[t] = maps.Clone(rows)
			}
		}
	}
	told := messages.Mark{Epoch: 1, Inc: 1, N: d.watched(configuration.Ballot{}).Mark}
	if told.N != 3 {
		t.Fatalf("mark %d after three writes that are some time apart", told.N)
	}
	for _, c := range []struct {
		name string
		disk *paper
		told []messages.Mark
		want State
	}{
		{"its own disk", d.paper, []messages.Mark{{}, told}, Serving},
		{"a copy, and nobody who knows better", copied, []messages.Mark{{}}, Serving},
		{"a copy", copied, []messages.Mark{{}, told}, Repairing},
		{"a disk of before a repair", d.paper, []messages.Mark{{Epoch: 1, Inc: 2}}, Repairing},
		{"a disk of before a change of the roll", d.paper, []messages.Mark{{Epoch: 2, Inc: 1}}, Repairing},
	} {
		n := newDesk(t, Options{Bootstrap: true, Found: voters})
		n.paper, n.told = newPaper(), c.told
		for t, rows := range c.disk.rows {
			n.paper.rows[t] = maps.Clone(rows)
		}
		n.open()
		n.settle()
		a := n.call(messages.Claim, messages.ClaimCall{Key: "k9", ID: id(9), Epoch: 1})
		n.settle()
		if n.state != c.want || (a.err == nil) != (c.want == Serving) {
			t.Errorf("%s: %s, a claim: %v", c.name, n.state, a.err)
		}
		if n.state == Repairing {
			again := newDesk(t, Options{}) // nobody who knows is left, amid the repair
			again.paper = n.paper
			if again.open(); again.state != Repairing {
				t.Errorf("%s, begun again amid its repair: %s", c.name, again.state)
			}
		}
	}
}
