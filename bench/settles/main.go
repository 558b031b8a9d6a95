// Command settles holds the journal of settles against other stores that could have kept it, in one run on one disk: each
// makes the same intent durable, waits for that, and writes the same outcome without waiting. It is a module of its own so
// that nothing else depends on those stores.
//
//	go run . -dir FOLDER
package main

import (
	"context"
	"database/sql"
	"encoding/binary"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/wal"
	"go.etcd.io/bbolt"
	_ "modernc.org/sqlite"

	"saltmast/internal/requestlog"
	settleslog "saltmast/internal/requestlog/log"
)

// store is one that is measured: Settle makes an intent durable and then writes its outcome, which need not be.
type store interface {
	Settle(i requestlog.Intent) error
	Close() error
}

// row is one measurement.
type row struct {
	Store    string        `json:"store"`
	InFlight int           `json:"in_flight"`
	P50      time.Duration `json:"p50_ns"`
	P99      time.Duration `json:"p99_ns"`
	PerS     float64       `json:"settles_per_s"`
	Bytes    float64       `json:"bytes_per_settle"`
}

func main() {
	dir := flag.String("dir", ".", "a folder on the disk that is to be measured")
	span := flag.Duration("for", 2*time.Second, "how long each is measured, at each number in flight")
	rounds := flag.Int("rounds", 3, "turns of each; the one with the best median counts")
	asJSON := flag.Bool("json", false, "print JSON")
	mib := flag.Int("read", 256, "MiB of journal to write for the time that reading it takes; 0: none")
	flag.Parse()
	if err := run(*dir, *span, *rounds, *mib, *asJSON); err != nil {
		fmt.Fprintln(os.Stderr, "settles:", err)
		os.Exit(1)
	}
}

func run(dir string, span time.Duration, rounds, mib int, asJSON bool) error {
	stores := []struct {
		name string
		open func(dir string) (store, error)
	}{{"bare write and fdatasync", openBare}, {"journal", openJournal}, {"bbolt", openBolt}, {"tidwall/wal", openWAL}, {"SQLite", openSQLite}}
	var rows []row
	for _, n := range []int{1, 16, 256} {
		best := map[string]row{}
		for range rounds {
			for _, s := range stores {
				r, err := measure(dir, s.name, s.open, n, span)
				if err != nil {
					return fmt.Errorf("%s: %w", s.name, err)
				}
				if b, ok := best[s.name]; !ok || r.P50 < b.P50 {
					best[s.name] = r
				}
			}
		}
		for _, s := range stores {
			rows = append(rows, best[s.name])
		}
	}
	perGiB := time.Duration(0)
	if mib > 0 {
		var err error
		if perGiB, err = reading(dir, mib); err != nil {
			return err
		}
	}
	if asJSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", " ")
		return e.Encode(map[string]any{"rows": rows, "read_per_gib_ns": perGiB})
	}
	fmt.Printf("%-26s %9s %10s %10s %12s %14s\n", "", "in flight", "p50", "p99", "settles/s", "bytes/settle")
	for _, r := range rows {
		fmt.Printf("%-26s %9d %10s %10s %12.0f %14.0f\n", r.Store, r.InFlight, r.P50.Round(time.Microsecond), r.P99.Round(time.Microsecond), r.PerS, r.Bytes)
	}
	if mib > 0 {
		fmt.Printf("reading the journal: %s per GiB\n", perGiB.Round(time.Millisecond))
	}
	return nil
}

func measure(dir, name string, open func(string) (store, error), n int, span time.Duration) (row, error) {
	dir, err := os.MkdirTemp(dir, "settles-")
	if err != nil {
		return row{}, err
	}
	defer os.RemoveAll(dir)
	s, err := open(dir)
	if err != nil {
		return row{}, err
	}
	lat := make([][]time.Duration, n)
	errs := make([]error, n)
	var done sync.WaitGroup
	begun := time.Now()
	for i := range n {
		done.Add(1)
		go func() {
			defer done.Done()
			for k := 0; time.Since(begun) < span; k++ {
				in := intent(i, k)
				at := time.Now()
				if errs[i] = s.Settle(in); errs[i] != nil {
					return
				}
				lat[i] = append(lat[i], time.Since(at))
			}
		}()
	}
	done.Wait()
	took := time.Since(begun)
	if err := errors.Join(errs...); err != nil {
		return row{}, err
	}
	if err := s.Close(); err != nil {
		return row{}, err
	}
	all := slices.Concat(lat...)
	slices.Sort(all)
	return row{Store: name, InFlight: n, P50: all[len(all)/2], P99: all[len(all)*99/100], PerS: float64(len(all)) / took.Seconds(),
		Bytes: float64(size(dir)) / float64(len(all))}, nil
}

func size(dir string) (n int64) {
	filepath.Walk(dir, func(_ string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() {
			n += info.Size()
		}
		return nil
	})
	return n
}

func intent(i, k int) requestlog.Intent {
	return requestlog.Intent{Request: fmt.Sprintf("%08x%08x", i, k), Class: "sale-settle", Account: "fleet-7731", Server: "auth-03.kol.1", Addr: "10.20.30.40:8443", At: time.Now()}
}

// openJournal is the journal itself, with the sizes that it has by default but for what it keeps.
func openJournal(dir string) (store, error) {
	w, err := settleslog.Open(settleslog.Options{FS: settleslog.Dir(dir), Most: 1 << 40})
	return journal{w}, err
}

type journal struct{ w *settleslog.Writer }

func (j journal) Settle(i requestlog.Intent) error {
	t, err := j.w.Intent(context.Background(), i)
	if err == nil {
		j.w.Outcome(t, requestlog.Served, 200)
	}
	return err
}
func (j journal) Close() error { return j.w.Close() }

// openBare is what any store must do at the least for one settle at a time: one write and one fdatasync, in a file that has its
// size beforehand. At more than one in flight each waits for its own.
func openBare(dir string) (store, error) {
	f, err := os.Create(filepath.Join(dir, "bare"))
	if err != nil {
		return nil, err
	}
	if _, err := f.Write(make([]byte, 4<<20)); err != nil {
		return nil, err
	}
	return &bare{f: f}, f.Sync()
}

type bare struct {
	mu  sync.Mutex
	f   *os.File
	off int64
}

func (b *bare) Settle(i requestlog.Intent) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	raw := requestlog.Append(nil, &i)
	raw = requestlog.Append(raw, &requestlog.Outcome{})
	if b.off+int64(len(raw)) > 4<<20 {
		b.off = 0
	}
	if _, err := b.f.WriteAt(raw, b.off); err != nil {
		return err
	}
	b.off += int64(len(raw))
	return syscall.Fdatasync(int(b.f.Fd()))
}
func (b *bare) Close() error { return b.f.Close() }

// grouped gives a store the same group commit: all that came while the last one was on its way goes in one.
type grouped struct {
	commit func(batch [][2][]byte) error // keys and values
	close  func() error

	mu      sync.Mutex
	next    uint64
	pending [][2][]byte
	waiting []chan error
	wake    chan struct{}
	ended   chan struct{}
}

func group(commit func([][2][]byte) error, close func() error) *grouped {
	g := &grouped{commit: commit, close: close, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	go g.run()
	return g
}

func (g *grouped) run() {
	defer close(g.ended)
	for range g.wake {
		g.mu.Lock()
		batch, waiting := g.pending, g.waiting
		g.pending, g.waiting = nil, nil
		g.mu.Unlock()
		if len(waiting) == 0 { // outcomes alone wait for the next intent
			g.mu.Lock()
			g.pending = append(batch, g.pending...)
			g.mu.Unlock()
			continue
		}
		err := g.commit(batch)
		for _, w := range waiting {
			w <- err
		}
	}
}

func (g *grouped) put(raw []byte, wait chan error) {
	g.mu.Lock()
	g.next++
	g.pending = append(g.pending, [2][]byte{binary.BigEndian.AppendUint64(nil, g.next), raw})
	if wait != nil {
		g.waiting = append(g.waiting, wait)
	}
	g.mu.Unlock()
	if wait != nil {
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
}

func (g *grouped) Settle(i requestlog.Intent) error {
	wait := make(chan error, 1)
	g.put(requestlog.Append(nil, &i), wait)
	if err := <-wait; err != nil {
		return err
	}
	g.put(requestlog.Append(nil, &requestlog.Outcome{Result: requestlog.Served, Status: 200, At: time.Now()}), nil)
	return nil
}

func (g *grouped) Close() error {
	close(g.wake)
	<-g.ended
	return g.close()
}

func openBolt(dir string) (store, error) {
	db, err := bbolt.Open(filepath.Join(dir, "bolt"), 0o600, &bbolt.Options{NoFreelistSync: true, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return nil, err
	}
	name := []byte("settles")
	if err := db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucket(name); return err }); err != nil {
		return nil, err
	}
	return group(func(batch [][2][]byte) error {
		return db.Update(func(tx *bbolt.Tx) error {
			b := tx.Bucket(name)
			b.FillPercent = 1 // keys come in order
			for _, kv := range batch {
				if err := b.Put(kv[0], kv[1]); err != nil {
					return err
				}
			}
			return nil
		})
	}, db.Close), nil
}

func openWAL(dir string) (store, error) {
	l, err := wal.Open(filepath.Join(dir, "wal"), nil)
	if err != nil {
		return nil, err
	}
	var b wal.Batch
	return group(func(batch [][2][]byte) error {
		b.Clear()
		for _, kv := range batch {
			b.Write(binary.BigEndian.Uint64(kv[0]), kv[1])
		}
		return l.WriteBatch(&b)
	}, l.Close), nil
}

func openSQLite(dir string) (store, error) {
	db, err := sql.Open("sqlite", "file:"+filepath.Join(dir, "sqlite")+"?_pragma=journal_mode(WAL)&_pragma=synchronous(FULL)")
	if err != nil {
		return nil, err
	}
	db.SetMaxOpenConns(1)
	if _, err := db.Exec("create table settles (k blob primary key, v blob) without rowid"); err != nil {
		return nil, err
	}
	put, err := db.Prepare("insert into settles values (?, ?)")
	if err != nil {
		return nil, err
	}
	return group(func(batch [][2][]byte) error {
		tx, err := db.Begin()
		if err != nil {
			return err
		}
		defer tx.Rollback()
		p := tx.Stmt(put)
		for _, kv := range batch {
			if _, err := p.Exec(kv[0], kv[1]); err != nil {
				return err
			}
		}
		return tx.Commit()
	}, db.Close), nil
}

// reading is how long it takes to read a journal, by the GiB, with what is needed of it at a start: what stands open.
func reading(dir string, mib int) (time.Duration, error) {
	dir, err := os.MkdirTemp(dir, "settles-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	w, err := settleslog.Open(settleslog.Options{FS: settleslog.Dir(dir), Most: 1 << 40})
	if err != nil {
		return 0, err
	}
	errs := make([]error, 256)
	var done sync.WaitGroup
	for i := range errs {
		done.Add(1)
		go func() {
			defer done.Done()
			for k := 0; k < mib<<20/256/256 && errs[i] == nil; k++ {
				errs[i] = journal{w}.Settle(intent(i, k))
			}
		}()
	}
	done.Wait()
	if err := errors.Join(append(errs, w.Close())...); err != nil {
		return 0, err
	}
	begun := time.Now()
	rep, err := settleslog.Read(settleslog.Dir(dir), requestlog.NewBook(func(*requestlog.Intent) bool { return false }))
	if err != nil {
		return 0, err
	}
	if !rep.Certain {
		return 0, fmt.Errorf("what was written can't be read: %v", rep.Losses)
	}
	return time.Duration(float64(time.Since(begun)) * float64(1<<30) / float64(rep.Bytes)), nil
}
