package log

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"sync"
	"syscall"
)

// memFS is a folder in memory that keeps apart what was written and what was synced, and fails as told.
type memFS struct {
	mu      sync.Mutex
	names   map[string]*memFile // as the program sees them
	disk    map[string]*memFile // as they would be after a crash
	held    bool
	ops     int
	crashAt int                         // the operation before which the machine stops; 0: never
	fail    func(op, name string) error // asked before each operation
	hang    func(op string)             // called before each operation, without the lock
	trace   []string
}

var errCrashed = errors.New("the machine has stopped")

type memFile struct {
	fs      *memFS
	data    []byte  // as the program sees it
	disk    []byte  // as it was synced last
	pending []write // since then
}

type write struct {
	off  int64
	data []byte
}

func newMemFS() *memFS { return &memFS{names: map[string]*memFile{}, disk: map[string]*memFile{}} }

// step counts an operation and tells whether it fails. The caller holds the lock.
func (m *memFS) step(op, name string) error {
	m.ops++
	m.trace = append(m.trace, op+" "+name)
	if m.crashAt > 0 && m.ops >= m.crashAt {
		return errCrashed
	}
	if m.fail != nil {
		return m.fail(op, name)
	}
	return nil
}

func (m *memFS) begin(op string) {
	m.mu.Lock()
	hang := m.hang
	m.mu.Unlock()
	if hang != nil {
		hang(op)
	}
}

func (m *memFS) List() ([]Info, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Info
	for n, f := range m.names {
		out = append(out, Info{n, int64(len(f.data))})
	}
	return out, nil
}

func (m *memFS) Create(name string) (File, error) {
	m.begin("create")
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step("create", name); err != nil {
		return nil, err
	}
	if m.names[name] != nil {
		return nil, fs.ErrExist
	}
	f := &memFile{fs: m}
	m.names[name] = f
	return f, nil
}

func (m *memFS) Open(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.names[name]; f != nil {
		return f, nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if f := m.names[name]; f != nil {
		return append([]byte(nil), f.data...), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) Rename(from, to string) error {
	m.begin("rename")
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step("rename", to); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	m.begin("remove")
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step("remove", name); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

func (m *memFS) SyncDir() error {
	m.begin("syncdir")
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.step("syncdir", ""); err != nil {
		return err
	}
	m.disk = maps.Clone(m.names)
	return nil
}

type memLock struct{ m *memFS }

func (l memLock) Close() error {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	l.m.held = false
	return nil
}

func (m *memFS) Lock() (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held {
		return nil, ErrHeld
	}
	m.held = true
	return memLock{m}, nil
}

func (f *memFile) WriteAt(p []byte, off int64) (int, error) {
	f.fs.begin("write")
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.step("write", ""); err != nil {
		if errors.Is(err, syscall.ENOSPC) && len(p) > 1 { // half of it went
			f.put(p[:len(p)/2], off)
		}
		return 0, err
	}
	f.put(p, off)
	return len(p), nil
}

func (f *memFile) put(p []byte, off int64) {
	f.data = grow(f.data, off+int64(len(p)))
	copy(f.data[off:], p)
	f.pending = append(f.pending, write{off, append([]byte(nil), p...)})
}

func grow(b []byte, n int64) []byte {
	if int64(len(b)) < n {
		b = append(b, make([]byte, n-int64(len(b)))...)
	}
	return b
}

// Sync makes what was written last. One that fails leaves it unwritten for good, and the next one says that all is well.
func (f *memFile) Sync() error {
	f.fs.begin("sync")
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.step("sync", ""); err != nil {
		if err != errCrashed {
			f.pending = nil
		}
		return err
	}
	for _, w := range f.pending {
		f.disk = grow(f.disk, w.off+int64(len(w.data)))
		copy(f.disk[w.off:], w.data)
	}
	f.pending = nil
	if len(f.disk) > len(f.data) {
		f.disk = f.disk[:len(f.data)]
	}
	return nil
}

func (f *memFile) Truncate(n int64) error {
	f.fs.begin("truncate")
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.step("truncate", ""); err != nil {
		return err
	}
	f.data = f.data[:n]
	return nil
}

func (f *memFile) Close() error { return nil }

// crash is the folder after the machine has stopped: of what was not synced each sector is there or not.
func (m *memFS) crash(rng *rand.Rand) *memFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := newMemFS()
	keep := func(name string, f *memFile) {
		n := &memFile{fs: out, disk: append([]byte(nil), f.disk...)}
		drop := rng.IntN(4) == 0 // nothing of it came
		for _, w := range f.pending {
			for at := int64(0); at < int64(len(w.data)) && !drop; {
				end := min(int64(len(w.data)), (w.off+at)/sector*sector+sector-w.off)
				if rng.IntN(3) > 0 {
					n.disk = grow(n.disk, w.off+end)
					copy(n.disk[w.off+at:], w.data[at:end])
				}
				at = end
			}
		}
		n.data = append([]byte(nil), n.disk...)
		out.names[name], out.disk[name] = n, n
	}
	for name, f := range m.disk {
		if m.names[name] == f || rng.IntN(2) == 0 { // a removal or renaming may have come, or not
			keep(name, f)
		}
	}
	for name, f := range m.names {
		if m.disk[name] != f && rng.IntN(2) == 0 {
			keep(name, f)
		}
	}
	return out
}
