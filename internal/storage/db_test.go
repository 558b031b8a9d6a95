package storage

import (
	"bytes"
	"encoding/binary"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	sqlite3 "github.com/mattn/go-sqlite3"
	"go.uber.org/goleak"
)

// TestMain keeps the tests' files in memory where it can: they are opened a thousand times, with a few syncs each, and what
// power's loss leaves is made by hand. Benchmarks stay on the disk.
func TestMain(m *testing.M) {
	flag.Parse()
	if info, err := os.Stat("/dev/shm"); err == nil && info.IsDir() && flag.Lookup("test.bench").Value.String() == "" {
		os.Setenv("TMPDIR", "/dev/shm")
	}
	goleak.VerifyTestMain(m)
}

func openDB(t testing.TB, dir string, want Condition) *DB {
	t.Helper()
	h, start, err := Open(Options{Dir: dir})
	if err != nil || start != want {
		t.Fatal(start, err)
	}
	return h
}

// writePuts writes and waits.
func writePuts(h *DB, puts ...Put) error {
	answer := make(chan error, 1)
	h.Write(puts, func(err error) { answer <- err })
	return <-answer
}

// contents is what a hold has: values by table and key.
type contents map[string]string

func (s contents) with(puts []Put) contents {
	s = maps.Clone(s)
	for _, p := range puts {
		if k := string(append([]byte{byte(p.Table)}, p.Key...)); p.Value == nil {
			delete(s, k)
		} else {
			s[k] = string(p.Value)
		}
	}
	return s
}

func loadAll(t testing.TB, h *DB) contents {
	t.Helper()
	s := contents{}
	for table := range Table(3) {
		var last []byte
		if err := h.Load(table, func(k, v []byte) error {
			if last != nil && bytes.Compare(last, k) >= 0 {
				t.Errorf("%q behind %q", k, last)
			}
			last = k
			s[string(append([]byte{byte(table)}, k...))] = string(v)
			return nil
		}); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// randomPuts are a few, of which some delete, some are empty and some take several pages.
func randomPuts(rng *rand.Rand) []Put {
	puts := make([]Put, 1+rng.IntN(6))
	for i := range puts {
		puts[i] = Put{Table: Table(rng.IntN(3)), Key: fmt.Append(nil, rng.IntN(40))}
		switch rng.IntN(8) {
		case 0:
		case 1:
			puts[i].Value = []byte{}
		case 2:
			puts[i].Value = bytes.Repeat([]byte{byte(rng.Uint32())}, 9000)
		default:
			puts[i].Value = fmt.Appendf(nil, "%x", rng.Uint64())
		}
	}
	return puts
}

// fileSet are those of a folder, by name.
type fileSet map[string][]byte

func readFiles(t testing.TB, dir string) fileSet {
	t.Helper()
	f := fileSet{}
	for _, s := range suffixes {
		if b, err := os.ReadFile(filepath.Join(dir, fileName+s)); err == nil {
			f[fileName+s] = b
		}
	}
	return f
}

func (f fileSet) write(t testing.TB) (dir string) {
	t.Helper()
	dir = t.TempDir()
	for name, b := range f {
		if err := os.WriteFile(filepath.Join(dir, name), b, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// reopen is what a hold finds in files that power's loss, or worse, has left.
func (f fileSet) reopen(t testing.TB) (contents, Condition) {
	t.Helper()
	h, start, err := Open(Options{Dir: f.write(t)})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	s := loadAll(t, h)
	if err := writePuts(h, Put{Key: []byte("after")}); err != nil {
		t.Error("not written again:", err)
	}
	return s, start
}

// filledDB is a folder with some transactions in the log of an open hold, and the states behind each.
func filledDB(t testing.TB, n int) (h *DB, dir string, states []contents) {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	dir = filepath.Join(t.TempDir(), "a?b%20", "c") // made when missing, and no name is too strange
	h = openDB(t, dir, Empty)
	t.Cleanup(func() { h.Close() })
	states = []contents{{}}
	for range n {
		puts := randomPuts(rng)
		if err := writePuts(h, puts...); err != nil {
			t.Fatal(err)
		}
		states = append(states, states[len(states)-1].with(puts))
	}
	return h, dir, states
}

// Power is lost with the log's end missing or torn anywhere: what is found is a whole number of transactions, all of those
// that the log has in full.
func TestLogCutAnywhere(t *testing.T) {
	t.Parallel()
	_, dir, states := filledDB(t, 25)
	whole := readFiles(t, dir)
	log := whole[fileName+"-wal"]
	if len(whole) != 2 || len(whole[fileName]) != chunkPages*pageSize {
		t.Fatal("files", len(whole), len(whole[fileName]))
	}
	var ends []int // of transactions
	for at := walHeader; at+walFrame <= len(log); at += walFrame {
		if binary.BigEndian.Uint32(log[at+4:]) != 0 {
			ends = append(ends, at+walFrame)
		}
	}
	if len(ends) != 25 {
		t.Fatal(len(ends), "transactions in the log")
	}
	check := func(name string, cut []byte, want int) {
		s, start := fileSet{fileName: whole[fileName], fileName + "-wal": cut}.reopen(t)
		if start != Intact || !maps.Equal(s, states[want]) {
			t.Errorf("%s: %v, not the first %d transactions", name, start, want)
		}
	}
	for at := 0; at <= len(log); at += walFrame / 2 { // the header's half, mid-frame, and frame boundaries within 16 bytes
		for _, n := range []int{at, at + walHeader} {
			n = min(n, len(log))
			have, _ := slices.BinarySearch(ends, n+1)
			check(fmt.Sprint("cut at ", n), log[:n], have)
		}
	}
	// The last transaction's writes came to the disk in another order: its last frame is there, another is not.
	last := bytes.Clone(log)
	clear(last[ends[23]+100 : ends[23]+1000])
	check("a hole", last, 24)
	// An older copy of all is whole.
	check("old", log[:ends[7]], 8)
}

// Power is lost while the log is moved: any pages of the database are old, new or torn.
func TestMoveTornAnywhere(t *testing.T) {
	t.Parallel()
	h, dir, states := filledDB(t, 25)
	before := readFiles(t, dir)
	if err := writePuts(h); err != nil { // the goroutine has come to rest
		t.Fatal(err)
	}
	if err := h.Close(); err != nil {
		t.Fatal(err)
	}
	after := readFiles(t, dir)
	if len(after) != 1 {
		t.Fatal("a log after Close")
	}
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 3))
		mix := bytes.Clone(before[fileName])
		for at := 0; at < len(after[fileName]); at += 512 {
			if rng.IntN(2) == 0 {
				if grow := at + 512 - len(mix); grow > 0 {
					mix = append(mix, make([]byte, grow)...)
				}
				copy(mix[at:at+512], after[fileName][at:])
			}
		}
		if s, start := (fileSet{fileName: mix, fileName + "-wal": before[fileName+"-wal"]}).reopen(t); start != Intact || !maps.Equal(s, states[25]) {
			t.Errorf("seed %d: %v, %d of %d", seed, start, len(s), len(states[25]))
		}
	}
}

// The file is cut at a page, or one is overwritten: it is known as damage, or nothing is missing.
func TestDamage(t *testing.T) {
	t.Parallel()
	h, dir, states := filledDB(t, 60)
	h.Close()
	db := readFiles(t, dir)[fileName]
	db = db[:int(binary.BigEndian.Uint32(db[28:]))*pageSize] // without the room to grow
	if s, start := (fileSet{fileName: db}).reopen(t); start != Intact || !maps.Equal(s, states[60]) {
		t.Fatal(start)
	}
	damaged, tried := 0, 0
	check := func(name string, f fileSet) {
		tried++
		switch s, start := f.reopen(t); {
		case start == Damaged && len(s) == 0:
			damaged++
		case start == Intact && maps.Equal(s, states[60]):
		case start == Empty && len(f[fileName]) == 0:
		default:
			t.Errorf("%s: %v with %d rows", name, start, len(s))
		}
	}
	rng := rand.New(rand.NewPCG(5, 5))
	for at := 0; at < len(db); at += pageSize {
		check(fmt.Sprint("cut at ", at), fileSet{fileName: db[:at]})
		for name, spoil := range map[string]func([]byte){
			"noise": func(page []byte) {
				for i := range page {
					page[i] = byte(rng.Uint32())
				}
			},
			"zeros":     func(page []byte) { clear(page) },
			"one byte":  func(page []byte) { page[100+rng.IntN(pageSize-100)] ^= 4 },
			"another's": func(page []byte) { copy(page, db[(at+pageSize)%len(db):]) },
		} {
			bad := bytes.Clone(db)
			spoil(bad[at : at+pageSize])
			check(fmt.Sprint(name, " at ", at), fileSet{fileName: bad})
		}
	}
	check("text", fileSet{fileName: []byte(strings.Repeat("no database ", 999))})
	check("a log alone", fileSet{fileName + "-wal": make([]byte, 9999)})
	if damaged < tried/2 {
		t.Errorf("%d of %d were known as damage", damaged, tried)
	}
	// The files stand aside, one of each, and the new one lives.
	dir = fileSet{fileName: db[:pageSize], fileName + "-wal": []byte("x")}.write(t)
	for range 2 {
		h := openDB(t, dir, Damaged)
		if err := writePuts(h, Put{Value: []byte("new")}); err != nil {
			t.Fatal(err)
		}
		h.Close()
		if b, err := os.ReadFile(filepath.Join(dir, fileName+damagedSuffix)); err != nil || len(b) == 0 {
			t.Error(err)
		}
		h = openDB(t, dir, Intact)
		if s := loadAll(t, h); len(s) != 1 {
			t.Error(s)
		}
		h.Close()
		os.Truncate(filepath.Join(dir, fileName), pageSize)
	}
}

// The file's bound is reached: what has no room is refused alone, and what is deleted makes room.
func TestFull(t *testing.T) {
	t.Parallel()
	h, _, err := Open(Options{Dir: t.TempDir(), MaxBytes: 128 * pageSize})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Close()
	want := contents{}
	value := bytes.Repeat([]byte("x"), 700)
	rng := rand.New(rand.NewPCG(8, 8))
	key := func() []byte { return binary.BigEndian.AppendUint64(nil, rng.Uint64()) }
	var keys [][]byte
	for round := range 3 {
		for {
			p := Put{1, key(), value}
			if err := writePuts(h, p); err != nil {
				if !errors.Is(err, ErrFull) {
					t.Fatal(err)
				}
				break
			}
			keys = append(keys, p.Key)
			want = want.with([]Put{p})
		}
		if len(want) < 100 {
			t.Fatal("full with ", len(want))
		}
		// A group whose members have room, none, none, and room.
		group := [][]Put{{{Table: 1, Key: keys[0]}}, {{1, key(), bytes.Repeat(value, 99)}}, {{2, key(), value}, {2, key(), bytes.Repeat(value, 99)}},
			{{Table: 1, Key: keys[1]}, {1, keys[2], []byte("short")}}}
		answers := make([]error, len(group))
		var commands []command
		for i, puts := range group {
			commands = append(commands, command{puts: puts, done: func(err error) { answers[i] = err }})
		}
		h.onGoroutine(func() { h.writeGroup(commands) })
		if answers[0] != nil || !errors.Is(answers[1], ErrFull) || !errors.Is(answers[2], ErrFull) || answers[3] != nil {
			t.Fatal(answers)
		}
		want = want.with(group[0]).with(group[3])
		if s := loadAll(t, h); !maps.Equal(s, want) {
			t.Fatalf("%d rows, not %d", len(s), len(want))
		}
		rng.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
		for _, k := range keys[round:] {
			if err := writePuts(h, Put{Table: 1, Key: k}); err != nil {
				t.Fatal(err)
			}
			want = want.with([]Put{{Table: 1, Key: k}})
		}
		keys = keys[:round]
	}
	if err := writePuts(h, Put{Value: make([]byte, MaxWrite+1)}); !errors.Is(err, ErrFull) {
		t.Error(err)
	}
}

// onGoroutine has f called on the hold's goroutine.
func (h *DB) onGoroutine(f func()) {
	h.Load(0, func(k, v []byte) error { return nil }) // what was queued is done
	ended := make(chan struct{})
	h.send(command{each: nil, puts: nil, done: func(error) { f(); close(ended) }})
	<-ended
}

// A real disk is full: on a file system of 3 MB that others have filled.
func TestDiskFull(t *testing.T) {
	dir := t.TempDir()
	if err := syscall.Mount("none", dir, "tmpfs", 0, "size=3m"); err != nil {
		t.Skip("no right to mount: ", err)
	}
	defer syscall.Unmount(dir, 0)
	other := filepath.Join(dir, "other")
	fill := func() {
		f, _ := os.Create(other)
		for size := 1 << 16; size >= 512; size /= 2 {
			for {
				if _, err := f.Write(make([]byte, size)); err != nil {
					break
				}
			}
		}
		f.Close()
	}
	fill()
	if _, _, err := Open(Options{Dir: filepath.Join(dir, "a")}); !errors.Is(err, ErrFull) {
		t.Fatal(err)
	}
	os.Remove(other)
	h := openDB(t, filepath.Join(dir, "a"), Empty)
	defer func() { h.Close() }()
	rng := rand.New(rand.NewPCG(9, 9))
	want, refused := contents{}, 0
	step := func() error {
		puts := randomPuts(rng)
		err := writePuts(h, puts...)
		switch {
		case err == nil:
			want = want.with(puts)
		case errors.Is(err, ErrFull):
			refused++
		default:
			t.Fatal(err)
		}
		return err
	}
	same := func(when string) {
		t.Helper()
		if s := loadAll(t, h); !maps.Equal(s, want) {
			t.Fatalf("%s: %d rows, not %d", when, len(s), len(want))
		}
	}
	for range 30 {
		step()
	}
	fill()
	for range 600 { // the room that was reserved is used up, or reused
		step()
	}
	if refused > 0 {
		t.Errorf("%d refused of those that have room", refused)
	}
	for i := 0; refused == 0 && i < 1000; i++ { // until there is none
		p := Put{2, fmt.Append(nil, "more", i), make([]byte, 9000)}
		if err := writePuts(h, p); err == nil {
			want = want.with([]Put{p})
		} else if refused++; !errors.Is(err, ErrFull) {
			t.Fatal(err)
		}
	}
	if refused == 0 {
		t.Error("never full")
	}
	for i := range 1000 { // the log is moved meanwhile
		p := Put{Table: 2, Key: fmt.Append(nil, "more", i)}
		if err := writePuts(h, p); err != nil {
			t.Fatal("not deleted while full:", err)
		}
		want = want.with([]Put{p})
	}
	same("while full")
	if s, start := readFiles(t, filepath.Join(dir, "a")).reopen(t); start != Intact || !maps.Equal(s, want) {
		t.Errorf("power is lost while full: %v, %d rows, not %d", start, len(s), len(want))
	}
	h.Close()
	h = openDB(t, filepath.Join(dir, "a"), Intact)
	same("opened while full")
	step()
	os.Remove(other)
	h.Close()
	h = openDB(t, filepath.Join(dir, "a"), Intact)
	refused = 0
	for range 50 {
		step()
	}
	same("well again")
	if refused > 0 {
		t.Errorf("%d refused behind it", refused)
	}
}

var errSync = sqlite3.Error{Code: sqlite3.ErrIoErr, ExtendedCode: sqlite3.ErrIoErrFsync, SystemErrno: syscall.EIO}

// faultyEngine is a store on a disk that fails.
type faultyEngine struct {
	engine
	t     testing.TB
	dir   string
	fails func(oneIn int) error // the next call; nil: it does not
	puts  []Put
}

func (f *faultyEngine) begin() error {
	f.puts = nil
	if err := f.fails(3); err != nil {
		return err
	}
	return f.engine.begin()
}

func (f *faultyEngine) put(p *Put) error {
	if err := f.fails(20); err != nil {
		return err
	}
	f.puts = append(f.puts, *p)
	return f.engine.put(p)
}

// commit fails as one does whose sync failed: all of the transaction, or a part, stands in the log.
func (f *faultyEngine) commit() error {
	failed := f.fails(3)
	if failed == nil {
		return f.engine.commit()
	}
	if err := f.engine.rollback(); err != nil {
		f.t.Fatal(err)
	}
	dir := readFiles(f.t, f.dir).write(f.t)
	shadow, err := connect(filepath.Join(dir, fileName), 9999, "FULL")
	if err != nil {
		f.t.Fatal(err)
	}
	defer shadow.close()
	if err := shadow.prepare(); err != nil {
		f.t.Fatal(err)
	}
	shadow.begin()
	for i := range f.puts {
		shadow.put(&f.puts[i])
	}
	if err := shadow.commit(); err != nil {
		f.t.Fatal(err)
	}
	log := readFiles(f.t, dir)[fileName+"-wal"]
	if err := os.WriteFile(filepath.Join(f.dir, fileName+"-wal"), log, 0o600); err != nil {
		f.t.Fatal(err)
	}
	return failed
}

func (f *faultyEngine) rollback() error {
	if err := f.fails(3); err != nil {
		return err // and the transaction stays open
	}
	return f.engine.rollback()
}

func (f *faultyEngine) checkpoint(move bool) (int, int, error) {
	if move { // counting doesn't touch the disk
		if err := f.fails(3); err != nil {
			return 0, 0, err
		}
	}
	return f.engine.checkpoint(move)
}

func (f *faultyEngine) each(t Table, each func(key, value []byte) error) error {
	if err := f.fails(3); err != nil {
		return err
	}
	return f.engine.each(t, each)
}

// openDB is a hold on such a disk, without its goroutine: the test takes its steps.
func (f *faultyEngine) openDB(t *testing.T) (h *DB, opened *int) {
	f.t, f.dir = t, t.TempDir()
	o := Options{Dir: f.dir, MaxBytes: defaultMaxBytes, Log: func(string) {}}
	db, _, err := openFolder(&o)
	if err != nil {
		t.Fatal(err)
	}
	h, opened = newDB(o, f), new(int)
	f.engine = db
	reopen := h.reopen
	h.reopen = func() (engine, error) {
		if err := f.fails(2); err != nil {
			return nil, err
		}
		s, err := reopen()
		if err != nil {
			return nil, err
		}
		*opened++
		f.engine = s
		return f, nil
	}
	return h, opened
}

// The disk fails in all ways at random. Whenever the process stops, what is found is exactly what was told to be written.
func TestFailingDisk(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 11))
		ill := false
		f := &faultyEngine{fails: func(oneIn int) error {
			if ill && rng.IntN(oneIn) == 0 {
				return errSync
			}
			return nil
		}}
		h, reopens := f.openDB(t)
		want := contents{}
		failed := 0
		// The steps of the goroutine, one at a time.
		for i := range 60 {
			ill = i%20 < 15
			puts := randomPuts(rng)
			var answer error
			h.writeGroup([]command{{puts: puts, done: func(err error) { answer = err }}})
			h.checkpointIfDue()
			switch {
			case answer == nil:
				want = want.with(puts)
			case !ill && i%20 > 15:
				t.Errorf("seed %d, %d: fails on a disk that is well: %v", seed, i, answer)
			case !errors.Is(answer, ErrDisk):
				t.Error(answer)
			default:
				failed++
			}
			if i%4 == 0 || answer != nil {
				if s, start := readFiles(t, f.dir).reopen(t); start != Intact || !maps.Equal(s, want) {
					t.Fatalf("seed %d, %d: %v, %d rows, not %d", seed, i, start, len(s), len(want))
				}
			}
		}
		if failed == 0 || *reopens == 0 {
			t.Errorf("seed %d: %d failed, %d times opened again", seed, failed, *reopens)
		}
		h.shutDown()
	}
}

// Each call to the store fails once in its turn, amid groups of writes. Each of a group hears of it, or that it stands; what is
// found on the disk at that moment, and behind the end, is what was told; and nothing else fails for it.
func TestEachCallFailsOnce(t *testing.T) {
	t.Parallel()
	errNoRoom := sqlite3.Error{Code: sqlite3.ErrFull, SystemErrno: syscall.ENOSPC}
	for _, failure := range []error{errSync, errNoRoom} {
		told := 0
		for turn := 1; ; turn++ {
			rng := rand.New(rand.NewPCG(7, 7)) // the same steps in each turn
			calls := 0
			f := &faultyEngine{fails: func(int) error {
				if calls++; calls == turn {
					return failure
				}
				return nil
			}}
			h, _ := f.openDB(t)
			want, troubled := contents{}, 0
			for step := range 6 {
				before := calls
				var group []command
				var answers [4]error
				for i := range answers {
					group = append(group, command{puts: randomPuts(rng), done: func(err error) { answers[i] = err }})
				}
				h.checkpointAt = 20 // the log is moved now and then
				h.writeGroup(slices.Clone(group))
				h.checkpointIfDue()
				for i, err := range answers {
					if err == nil {
						want = want.with(group[i].puts)
					} else if told++; !errors.Is(err, wrap(failure)) && !errors.Is(err, ErrDisk) && !errors.Is(err, ErrFull) {
						t.Error(err)
					}
				}
				if hit := before < turn && turn <= calls; answers != [4]error{} && !hit {
					t.Errorf("call %d: step %d fails on a disk that is well: %v", turn, step, answers)
				} else if hit {
					troubled++
					if s, start := readFiles(t, f.dir).reopen(t); start != Intact || !maps.Equal(s, want) {
						t.Errorf("call %d, step %d, %v: %v, %d rows, not %d", turn, step, answers, start, len(s), len(want))
					}
				}
				got := contents{}
				for table := range Table(3) {
					before = calls
					err := h.load(command{table: table, each: func(k, v []byte) error {
						got[string(append([]byte{byte(table)}, k...))] = string(v)
						return nil
					}})
					if hit := before < turn && turn <= calls; (err != nil) != hit {
						t.Errorf("call %d: a load: %v", turn, err)
					} else if hit {
						got, troubled = want, troubled+1
						break
					}
				}
				if !maps.Equal(got, want) {
					t.Errorf("call %d, step %d: %d rows loaded, not %d", turn, step, len(got), len(want))
				}
			}
			h.shutDown()
			if s, start := readFiles(t, f.dir).reopen(t); start != Intact || !maps.Equal(s, want) {
				t.Errorf("call %d, behind the end: %v, %d rows, not %d", turn, start, len(s), len(want))
			}
			if calls < turn {
				if troubled > 0 || told == 0 {
					t.Errorf("%v: %d calls, of which %d were told as failed", failure, turn, told)
				}
				break
			}
		}
	}
}

// hangingEngine is a store whose commits wait.
type hangingEngine struct {
	engine
	entered, released chan struct{}
	commits           int
}

func (s *hangingEngine) commit() error {
	s.commits++
	s.entered <- struct{}{}
	<-s.released
	return s.engine.commit()
}

// The disk hangs: nobody waits for it, what queued meanwhile goes with one sync, and Close leaves.
func TestHangingDisk(t *testing.T) {
	t.Parallel()
	o := Options{Dir: t.TempDir(), MaxBytes: defaultMaxBytes, Log: func(string) {}}
	db, _, err := openFolder(&o)
	if err != nil {
		t.Fatal(err)
	}
	s := &hangingEngine{engine: db, entered: make(chan struct{}), released: make(chan struct{})}
	h := newDB(o, s)
	h.stallLimit = time.Hour
	go h.run()
	answers := make(chan error, 2*MaxQueue)
	put := func(n int) {
		for i := range n {
			h.Write([]Put{{Key: fmt.Append(nil, i), Value: []byte("v")}}, func(err error) { answers <- err })
		}
	}
	all := func(n int, want error) {
		t.Helper()
		for range n {
			if err := <-answers; !errors.Is(err, want) {
				t.Fatal(err)
			}
		}
	}
	if h.Stalled() != 0 {
		t.Error("stalled with nothing to do")
	}
	put(1)
	<-s.entered
	put(200)
	if h.Stalled() <= 0 {
		t.Error("not stalled")
	}
	s.released <- struct{}{}
	<-s.entered
	s.released <- struct{}{}
	all(201, nil)
	if s.commits != 2 {
		t.Errorf("%d commits", s.commits)
	}
	put(1)
	<-s.entered
	put(MaxQueue + 7)
	all(7, ErrBusy)
	h.stallLimit = 1
	put(1)
	all(1, ErrStalled)
	late := make(chan time.Time, 1)
	late <- time.Time{}
	if err := h.close(late); !errors.Is(err, ErrStalled) {
		t.Error(err)
	}
	h.stallLimit = time.Hour
	put(1)
	all(1, ErrDisk)
	s.released <- struct{}{}
	all(1, nil) // it was under way
	all(MaxQueue, ErrStalled)
	if err := h.Close(); err != nil {
		t.Error(err)
	}
	h = openDB(t, o.Dir, Intact)
	defer h.Close()
	if s := loadAll(t, h); len(s) != 200 {
		t.Error(len(s))
	}
}

// What can't be opened is left as it is.
func TestRefused(t *testing.T) {
	if dir := os.Getenv("HOLD_OF_ANOTHER"); dir != "" {
		if _, _, err := Open(Options{Dir: dir}); !errors.Is(err, ErrDisk) || !strings.Contains(err.Error(), "locked") {
			t.Error("another process's:", err)
		}
		return
	}
	t.Parallel()
	dir := t.TempDir()
	h := openDB(t, dir, Empty)
	defer h.Close()
	other := exec.Command(os.Args[0], "-test.run=TestRefused")
	other.Env = append(os.Environ(), "HOLD_OF_ANOTHER="+dir)
	if out, err := other.CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
	if err := writePuts(h, Put{Value: []byte("undisturbed")}); err != nil {
		t.Error(err)
	}
	dir = t.TempDir()
	file := filepath.Join(dir, "file")
	os.WriteFile(file, nil, 0o600)
	os.MkdirAll(filepath.Join(dir, "x", fileName), 0o700)
	for _, d := range []string{file, filepath.Join(file, "below"), filepath.Join(dir, "x"), "/proc/none"} {
		if _, _, err := Open(Options{Dir: d}); !errors.Is(err, ErrDisk) {
			t.Errorf("%s: %v", d, err)
		}
	}
	// Of a later version, whole.
	dir = t.TempDir()
	l, err := connect(filepath.Join(dir, fileName), 99, "FULL")
	if err != nil {
		t.Fatal(err)
	}
	for _, q := range []string{"CREATE TABLE later(x)", "PRAGMA user_version=7"} {
		if _, err := l.conn.Exec(q, nil); err != nil {
			t.Fatal(err)
		}
	}
	l.close()
	before := readFiles(t, dir)
	if _, start, err := Open(Options{Dir: dir}); !errors.Is(err, ErrDisk) || start == Damaged || !strings.Contains(err.Error(), "version 7") {
		t.Error(start, err)
	}
	if !maps.EqualFunc(before, readFiles(t, dir), bytes.Equal) {
		t.Error("it was changed")
	}
	// Its making was cut short at any page.
	for n := range 2 {
		h := openDB(t, fileSet{fileName: nil}.write(t), Empty)
		if err := writePuts(h, Put{Value: []byte{byte(n)}}); err != nil {
			t.Error(err)
		}
		h.Close()
	}
}
