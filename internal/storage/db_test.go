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

// TestMain keeps the files in memory if possible: the tests open about a thousand databases, with a few syncs each, and construct
// the effects of a power loss themselves. Benchmarks use the disk.
func TestMain(m *testing.M) {
	flag.Parse()
	if info, err := os.Stat("/dev/shm"); err == nil && info.IsDir() && flag.Lookup("test.bench").Value.String() == "" {
		os.Setenv("TMPDIR", "/dev/shm")
	}
	goleak.VerifyTestMain(m)
}

func openDB(t testing.TB, dir string, want Condition) *DB {
	t.Helper()
	db, condition, err := Open(Options{Dir: dir})
	if err != nil || condition != want {
		t.Fatal(condition, err)
	}
	return db
}

// writePuts calls Write and waits for its result.
func writePuts(db *DB, puts ...Put) error {
	answer := make(chan error, 1)
	db.Write(puts, func(err error) { answer <- err })
	return <-answer
}

// contents is the content of a database: values by table and key.
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

func loadAll(t testing.TB, db *DB) contents {
	t.Helper()
	s := contents{}
	for table := range Table(3) {
		var last []byte
		if err := db.Load(table, func(k, v []byte) error {
			if last != nil && bytes.Compare(last, k) >= 0 {
				t.Errorf("%q after %q", k, last)
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

// randomPuts returns a few puts: some delete, some are empty and some take several pages.
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

// fileSet holds the files of a folder by name.
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

// reopen opens a copy of the files, as left by a power loss or other damage, and returns what is found.
func (f fileSet) reopen(t testing.TB) (contents, Condition) {
	t.Helper()
	db, condition, err := Open(Options{Dir: f.write(t)})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	s := loadAll(t, db)
	if err := writePuts(db, Put{Key: []byte("after")}); err != nil {
		t.Error("not writable:", err)
	}
	return s, condition
}

// filledDB returns an open database with n transactions in its log, its folder, and the contents after each transaction.
func filledDB(t testing.TB, n int) (db *DB, dir string, states []contents) {
	rng := rand.New(rand.NewPCG(1, uint64(n)))
	dir = filepath.Join(t.TempDir(), "a?b%20", "c") // created if missing, with characters that need escaping
	db = openDB(t, dir, Empty)
	t.Cleanup(func() { db.Close() })
	states = []contents{{}}
	for range n {
		puts := randomPuts(rng)
		if err := writePuts(db, puts...); err != nil {
			t.Fatal(err)
		}
		states = append(states, states[len(states)-1].with(puts))
	}
	return db, dir, states
}

// A power loss truncates or tears the log anywhere: exactly the transactions that are completely in the log are found.
func TestLogTruncatedAnywhere(t *testing.T) {
	t.Parallel()
	_, dir, states := filledDB(t, 25)
	whole := readFiles(t, dir)
	log := whole[fileName+"-wal"]
	if len(whole) != 2 || len(whole[fileName]) != chunkPages*pageSize {
		t.Fatal("files", len(whole), len(whole[fileName]))
	}
	var ends []int // offsets at which the transactions end
	for at := walHeader; at+walFrame <= len(log); at += walFrame {
		if binary.BigEndian.Uint32(log[at+4:]) != 0 {
			ends = append(ends, at+walFrame)
		}
	}
	if len(ends) != 25 {
		t.Fatal(len(ends), "transactions in the log")
	}
	check := func(name string, cut []byte, want int) {
		s, condition := fileSet{fileName: whole[fileName], fileName + "-wal": cut}.reopen(t)
		if condition != Intact || !maps.Equal(s, states[want]) {
			t.Errorf("%s: %v, not the first %d transactions", name, condition, want)
		}
	}
	for at := 0; at <= len(log); at += walFrame / 2 { // half of the header, mid-frame, and frame boundaries within 16 bytes
		for _, n := range []int{at, at + walHeader} {
			n = min(n, len(log))
			have, _ := slices.BinarySearch(ends, n+1)
			check(fmt.Sprint("cut at ", n), log[:n], have)
		}
	}
	// The writes of the last transaction reached the disk in another order: its last frame is there, another is not.
	last := bytes.Clone(log)
	clear(last[ends[23]+100 : ends[23]+1000])
	check("a hole", last, 24)
	// An older copy of all files is intact.
	check("old", log[:ends[7]], 8)
}

// Power is lost during a checkpoint: any page of the database may be old, new or torn.
func TestCheckpointTornAnywhere(t *testing.T) {
	t.Parallel()
	db, dir, states := filledDB(t, 25)
	before := readFiles(t, dir)
	if err := writePuts(db); err != nil { // the goroutine is idle now
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	after := readFiles(t, dir)
	if len(after) != 1 {
		t.Fatal("the log is still there after Close")
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
		if s, condition := (fileSet{fileName: mix, fileName + "-wal": before[fileName+"-wal"]}).reopen(t); condition != Intact || !maps.Equal(s, states[25]) {
			t.Errorf("seed %d: %v, %d of %d", seed, condition, len(s), len(states[25]))
		}
	}
}

// The file is truncated at a page, or a page is overwritten: the damage is detected, or nothing is missing.
func TestDamage(t *testing.T) {
	t.Parallel()
	db, dir, states := filledDB(t, 60)
	db.Close()
	file := readFiles(t, dir)[fileName]
	file = file[:int(binary.BigEndian.Uint32(file[28:]))*pageSize] // without the preallocated pages
	if s, condition := (fileSet{fileName: file}).reopen(t); condition != Intact || !maps.Equal(s, states[60]) {
		t.Fatal(condition)
	}
	damaged, tried := 0, 0
	check := func(name string, f fileSet) {
		tried++
		switch s, condition := f.reopen(t); {
		case condition == Damaged && len(s) == 0:
			damaged++
		case condition == Intact && maps.Equal(s, states[60]):
		case condition == Empty && len(f[fileName]) == 0:
		default:
			t.Errorf("%s: %v with %d rows", name, condition, len(s))
		}
	}
	rng := rand.New(rand.NewPCG(5, 5))
	for at := 0; at < len(file); at += pageSize {
		check(fmt.Sprint("cut at ", at), fileSet{fileName: file[:at]})
		for name, spoil := range map[string]func([]byte){
			"noise": func(page []byte) {
				for i := range page {
					page[i] = byte(rng.Uint32())
				}
			},
			"zeros":     func(page []byte) { clear(page) },
			"one byte":  func(page []byte) { page[100+rng.IntN(pageSize-100)] ^= 4 },
			"another's": func(page []byte) { copy(page, file[(at+pageSize)%len(file):]) },
		} {
			bad := bytes.Clone(file)
			spoil(bad[at : at+pageSize])
			check(fmt.Sprint(name, " at ", at), fileSet{fileName: bad})
		}
	}
	check("text", fileSet{fileName: []byte(strings.Repeat("no database ", 999))})
	check("a log alone", fileSet{fileName + "-wal": make([]byte, 9999)})
	if damaged < tried/2 {
		t.Errorf("%d of %d cases were detected as damage", damaged, tried)
	}
	// The damaged files are quarantined, one of each, and the new file is usable.
	dir = fileSet{fileName: file[:pageSize], fileName + "-wal": []byte("x")}.write(t)
	for range 2 {
		db := openDB(t, dir, Damaged)
		if err := writePuts(db, Put{Value: []byte("new")}); err != nil {
			t.Fatal(err)
		}
		db.Close()
		if b, err := os.ReadFile(filepath.Join(dir, fileName+damagedSuffix)); err != nil || len(b) == 0 {
			t.Error(err)
		}
		db = openDB(t, dir, Intact)
		if s := loadAll(t, db); len(s) != 1 {
			t.Error(s)
		}
		db.Close()
		os.Truncate(filepath.Join(dir, fileName), pageSize)
	}
}

// The size limit of the file is reached: only Writes without space are refused, and deletions free space.
func TestFull(t *testing.T) {
	t.Parallel()
	db, _, err := Open(Options{Dir: t.TempDir(), MaxBytes: 128 * pageSize})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	want := contents{}
	value := bytes.Repeat([]byte("x"), 700)
	rng := rand.New(rand.NewPCG(8, 8))
	key := func() []byte { return binary.BigEndian.AppendUint64(nil, rng.Uint64()) }
	var keys [][]byte
	for round := range 3 {
		for {
			p := Put{1, key(), value}
			if err := writePuts(db, p); err != nil {
				if !errors.Is(err, ErrFull) {
					t.Fatal(err)
				}
				break
			}
			keys = append(keys, p.Key)
			want = want.with([]Put{p})
		}
		if len(want) < 100 {
			t.Fatal("full, number of rows: ", len(want))
		}
		// Of this group, the first and the last Write have space, the two between have none.
		group := [][]Put{{{Table: 1, Key: keys[0]}}, {{1, key(), bytes.Repeat(value, 99)}}, {{2, key(), value}, {2, key(), bytes.Repeat(value, 99)}},
			{{Table: 1, Key: keys[1]}, {1, keys[2], []byte("short")}}}
		answers := make([]error, len(group))
		var commands []command
		for i, puts := range group {
			commands = append(commands, command{puts: puts, done: func(err error) { answers[i] = err }})
		}
		db.onGoroutine(func() { db.writeGroup(commands) })
		if answers[0] != nil || !errors.Is(answers[1], ErrFull) || !errors.Is(answers[2], ErrFull) || answers[3] != nil {
			t.Fatal(answers)
		}
		want = want.with(group[0]).with(group[3])
		if s := loadAll(t, db); !maps.Equal(s, want) {
			t.Fatalf("%d rows, not %d", len(s), len(want))
		}
		rng.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
		for _, k := range keys[round:] {
			if err := writePuts(db, Put{Table: 1, Key: k}); err != nil {
				t.Fatal(err)
			}
			want = want.with([]Put{{Table: 1, Key: k}})
		}
		keys = keys[:round]
	}
	if err := writePuts(db, Put{Value: make([]byte, MaxWrite+1)}); !errors.Is(err, ErrFull) {
		t.Error(err)
	}
}

// onGoroutine runs f on the DB's goroutine.
func (db *DB) onGoroutine(f func()) {
	db.Load(0, func(k, v []byte) error { return nil }) // wait for what is queued
	ended := make(chan struct{})
	db.send(command{each: nil, puts: nil, done: func(error) { f(); close(ended) }})
	<-ended
}

// A real disk is full: a file system of 3 MB that is filled by other files.
func TestDiskFull(t *testing.T) {
	dir := t.TempDir()
	if err := syscall.Mount("none", dir, "tmpfs", 0, "size=3m"); err != nil {
		t.Skip("no permission to mount: ", err)
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
	db := openDB(t, filepath.Join(dir, "a"), Empty)
	defer func() { db.Close() }()
	rng := rand.New(rand.NewPCG(9, 9))
	want, refused := contents{}, 0
	step := func() error {
		puts := randomPuts(rng)
		err := writePuts(db, puts...)
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
		if s := loadAll(t, db); !maps.Equal(s, want) {
			t.Fatalf("%s: %d rows, not %d", when, len(s), len(want))
		}
	}
	for range 30 {
		step()
	}
	fill()
	for range 600 { // the reserved space is used up or reused
		step()
	}
	if refused > 0 {
		t.Errorf("%d writes refused though there is space", refused)
	}
	for i := 0; refused == 0 && i < 1000; i++ { // until there is no space
		p := Put{2, fmt.Append(nil, "more", i), make([]byte, 9000)}
		if err := writePuts(db, p); err == nil {
			want = want.with([]Put{p})
		} else if refused++; !errors.Is(err, ErrFull) {
			t.Fatal(err)
		}
	}
	if refused == 0 {
		t.Error("never full")
	}
	for i := range 1000 { // with checkpoints in between
		p := Put{Table: 2, Key: fmt.Append(nil, "more", i)}
		if err := writePuts(db, p); err != nil {
			t.Fatal("not deleted while full:", err)
		}
		want = want.with([]Put{p})
	}
	same("while full")
	if s, condition := readFiles(t, filepath.Join(dir, "a")).reopen(t); condition != Intact || !maps.Equal(s, want) {
		t.Errorf("after a power loss while full: %v, %d rows, not %d", condition, len(s), len(want))
	}
	db.Close()
	db = openDB(t, filepath.Join(dir, "a"), Intact)
	same("opened while full")
	step()
	os.Remove(other)
	db.Close()
	db = openDB(t, filepath.Join(dir, "a"), Intact)
	refused = 0
	for range 50 {
		step()
	}
	same("after the disk was freed")
	if refused > 0 {
		t.Errorf("%d writes refused after the disk was freed", refused)
	}
}

var errSync = sqlite3.Error{Code: sqlite3.ErrIoErr, ExtendedCode: sqlite3.ErrIoErrFsync, SystemErrno: syscall.EIO}

// faultyEngine is an engine on a disk that fails.
type faultyEngine struct {
	engine
	t     testing.TB
	dir   string
	fails func(oneIn int) error // returns the error of the next call, or nil; failures may be drawn with probability 1/oneIn
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

// commit fails like one whose sync failed: the whole transaction is in the log.
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
		return err // the transaction stays open
	}
	return f.engine.rollback()
}

func (f *faultyEngine) checkpoint(move bool) (int, int, error) {
	if move { // counting frames doesn't access the disk
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

// openDB opens a DB on this engine, without its goroutine: the test runs the steps. reopened counts how often it was reopened.
func (f *faultyEngine) openDB(t *testing.T) (db *DB, reopened *int) {
	f.t, f.dir = t, t.TempDir()
	o := Options{Dir: f.dir, MaxBytes: defaultMaxBytes, Log: func(string) {}}
	inner, _, err := openFolder(&o)
	if err != nil {
		t.Fatal(err)
	}
	db, reopened = newDB(o, f), new(int)
	f.engine = inner
	reopen := db.reopen
	db.reopen = func() (engine, error) {
		if err := f.fails(2); err != nil {
			return nil, err
		}
		s, err := reopen()
		if err != nil {
			return nil, err
		}
		*reopened++
		f.engine = s
		return f, nil
	}
	return db, reopened
}

// All calls fail at random. Whenever the process stops, exactly the acknowledged writes are found.
func TestFailingDisk(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		rng := rand.New(rand.NewPCG(seed, 11))
		failing := false
		f := &faultyEngine{fails: func(oneIn int) error {
			if failing && rng.IntN(oneIn) == 0 {
				return errSync
			}
			return nil
		}}
		db, reopens := f.openDB(t)
		want := contents{}
		failed := 0
		// The steps of the DB's goroutine, one at a time.
		for i := range 60 {
			failing = i%20 < 15
			puts := randomPuts(rng)
			var answer error
			db.writeGroup([]command{{puts: puts, done: func(err error) { answer = err }}})
			db.checkpointIfDue()
			switch {
			case answer == nil:
				want = want.with(puts)
			case !failing && i%20 > 15:
				t.Errorf("seed %d, %d: a write fails on a working disk: %v", seed, i, answer)
			case !errors.Is(answer, ErrDisk):
				t.Error(answer)
			default:
				failed++
			}
			if i%4 == 0 || answer != nil {
				if s, condition := readFiles(t, f.dir).reopen(t); condition != Intact || !maps.Equal(s, want) {
					t.Fatalf("seed %d, %d: %v, %d rows, not %d", seed, i, condition, len(s), len(want))
				}
			}
		}
		if failed == 0 || *reopens == 0 {
			t.Errorf("seed %d: %d writes failed, reopened %d times", seed, failed, *reopens)
		}
		db.shutDown()
	}
}

// In each run a different call to the engine fails, during groups of writes. Each write of the group is answered with the error
// or with success; what is found on disk at that moment and at the end matches the answers; and nothing else fails.
func TestEachCallFailsOnce(t *testing.T) {
	t.Parallel()
	errNoRoom := sqlite3.Error{Code: sqlite3.ErrFull, SystemErrno: syscall.ENOSPC}
	for _, failure := range []error{errSync, errNoRoom} {
		reported := 0
		for turn := 1; ; turn++ {
			rng := rand.New(rand.NewPCG(7, 7)) // the same steps in each run
			calls := 0
			f := &faultyEngine{fails: func(int) error {
				if calls++; calls == turn {
					return failure
				}
				return nil
			}}
			db, _ := f.openDB(t)
			want, troubled := contents{}, 0
			for step := range 6 {
				before := calls
				var group []command
				var answers [4]error
				for i := range answers {
					group = append(group, command{puts: randomPuts(rng), done: func(err error) { answers[i] = err }})
				}
				db.checkpointAt = 20 // with checkpoints now and then
				db.writeGroup(slices.Clone(group))
				db.checkpointIfDue()
				for i, err := range answers {
					if err == nil {
						want = want.with(group[i].puts)
					} else if reported++; !errors.Is(err, wrap(failure)) && !errors.Is(err, ErrDisk) && !errors.Is(err, ErrFull) {
						t.Error(err)
					}
				}
				if hit := before < turn && turn <= calls; answers != [4]error{} && !hit {
					t.Errorf("call %d: step %d fails on a working disk: %v", turn, step, answers)
				} else if hit {
					troubled++
					if s, condition := readFiles(t, f.dir).reopen(t); condition != Intact || !maps.Equal(s, want) {
						t.Errorf("call %d, step %d, %v: %v, %d rows, not %d", turn, step, answers, condition, len(s), len(want))
					}
				}
				got := contents{}
				for table := range Table(3) {
					before = calls
					err := db.load(command{table: table, each: func(k, v []byte) error {
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
			db.shutDown()
			if s, condition := readFiles(t, f.dir).reopen(t); condition != Intact || !maps.Equal(s, want) {
				t.Errorf("call %d, at the end: %v, %d rows, not %d", turn, condition, len(s), len(want))
			}
			if calls < turn {
				if troubled > 0 || reported == 0 {
					t.Errorf("%v: %d calls, %d writes reported as failed", failure, turn, reported)
				}
				break
			}
		}
	}
}

// hangingEngine is an engine whose commits wait until they are released.
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

// The disk hangs: Write doesn't block, what queued meanwhile is committed with one sync, and Close gives up after its timeout.
func TestHangingDisk(t *testing.T) {
	t.Parallel()
	o := Options{Dir: t.TempDir(), MaxBytes: defaultMaxBytes, Log: func(string) {}}
	inner, _, err := openFolder(&o)
	if err != nil {
		t.Fatal(err)
	}
	s := &hangingEngine{engine: inner, entered: make(chan struct{}), released: make(chan struct{})}
	db := newDB(o, s)
	db.stallLimit = time.Hour
	go db.run()
	answers := make(chan error, 2*MaxQueue)
	put := func(n int) {
		for i := range n {
			db.Write([]Put{{Key: fmt.Append(nil, i), Value: []byte("v")}}, func(err error) { answers <- err })
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
	if db.Stalled() != 0 {
		t.Error("stalled with nothing to do")
	}
	put(1)
	<-s.entered
	put(200)
	if db.Stalled() <= 0 {
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
	db.stallLimit = 1
	put(1)
	all(1, ErrStalled)
	timeout := make(chan time.Time, 1)
	timeout <- time.Time{}
	if err := db.close(timeout); !errors.Is(err, ErrStalled) {
		t.Error(err)
	}
	db.stallLimit = time.Hour
	put(1)
	all(1, ErrDisk)
	s.released <- struct{}{}
	all(1, nil) // its commit was under way
	all(MaxQueue, ErrStalled)
	if err := db.Close(); err != nil {
		t.Error(err)
	}
	db = openDB(t, o.Dir, Intact)
	defer db.Close()
	if s := loadAll(t, db); len(s) != 200 {
		t.Error(len(s))
	}
}

// A file that can't be opened is left unchanged.
func TestRefused(t *testing.T) {
	if dir := os.Getenv("HOLD_OF_ANOTHER"); dir != "" {
		if _, _, err := Open(Options{Dir: dir}); !errors.Is(err, ErrDisk) || !strings.Contains(err.Error(), "locked") {
			t.Error("opened by another process:", err)
		}
		return
	}
	t.Parallel()
	dir := t.TempDir()
	db := openDB(t, dir, Empty)
	defer db.Close()
	other := exec.Command(os.Args[0], "-test.run=TestRefused")
	other.Env = append(os.Environ(), "HOLD_OF_ANOTHER="+dir)
	if out, err := other.CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
	if err := writePuts(db, Put{Value: []byte("undisturbed")}); err != nil {
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
	// An intact file of a later schema version.
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
	if _, condition, err := Open(Options{Dir: dir}); !errors.Is(err, ErrDisk) || condition == Damaged || !strings.Contains(err.Error(), "version 7") {
		t.Error(condition, err)
	}
	if !maps.EqualFunc(before, readFiles(t, dir), bytes.Equal) {
		t.Error("the file was changed")
	}
	// The creation of a file was interrupted.
	for n := range 2 {
		db := openDB(t, fileSet{fileName: nil}.write(t), Empty)
		if err := writePuts(db, Put{Value: []byte{byte(n)}}); err != nil {
			t.Error(err)
		}
		db.Close()
	}
}
