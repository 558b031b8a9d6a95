package log

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the folder of a journal. Tests have one of their own that fails and forgets.
type FS interface {
	List() ([]Info, error)
	Create(name string) (File, error) // must not exist
	Open(name string) (File, error)   // for writing, as it is
	ReadFile(name string) ([]byte, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir() error
	Lock() (io.Closer, error) // for one writer
}

// Info is one file of the folder.
type Info struct {
	Name string
	Size int64
}

// File is one that is written.
type File interface {
	io.WriterAt
	Sync() error // data, and what it takes to read them back
	Truncate(size int64) error
	Close() error
}

// lockName is the file that the writer holds.
const lockName = "lock"

// ErrHeld is the error of a folder that another daemon writes to.
var ErrHeld = errors.New("another daemon holds it")

// Dir is the folder of that path. It is made if need be, by Lock.
func Dir(path string) FS { return dir(path) }

type dir string

func (d dir) in(name string) string { return filepath.Join(string(d), name) }

func (d dir) List() ([]Info, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	var out []Info
	for _, e := range entries {
		if !e.Type().IsRegular() {
			continue
		}
		info, err := e.Info()
		if errors.Is(err, fs.ErrNotExist) { // retention took it
			continue
		}
		if err != nil {
			return nil, err
		}
		out = append(out, Info{e.Name(), info.Size()})
	}
	return out, nil
}

func (d dir) Create(name string) (File, error) {
	f, err := os.OpenFile(d.in(name), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, err
	}
	return file{f}, nil
}

func (d dir) Open(name string) (File, error) {
	f, err := os.OpenFile(d.in(name), os.O_WRONLY, 0)
	if err != nil {
		return nil, err
	}
	return file{f}, nil
}

func (d dir) ReadFile(name string) ([]byte, error) { return os.ReadFile(d.in(name)) }
func (d dir) Rename(from, to string) error         { return os.Rename(d.in(from), d.in(to)) }
func (d dir) Remove(name string) error             { return os.Remove(d.in(name)) }

func (d dir) SyncDir() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (d dir) Lock() (io.Closer, error) {
	if err := os.MkdirAll(string(d), 0o750); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(d.in(lockName), os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", string(d), ErrHeld)
		}
		return nil, fmt.Errorf("%s: lock: %w", string(d), err)
	}
	return f, nil
}

type file struct{ *os.File }
