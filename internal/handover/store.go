// Package handover lets the old and the new process of one agent stand side by side: the state that both follow, in the
// scratch folder, who is alive, and a listener that both share. It decides nothing about backends or requests. Start
// reading at Folder.
package handover

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/google/renameio/v2"

	"saltmast/internal/maintenance"
)

const (
	stateFile = "violetlatch.state"
	callsFile = "violetlatch.calls" // its lock orders the calls of both processes
	lifeMark  = "violetlatch.alive."

	lockWait = 400 * time.Millisecond // for the other process's call, within the second that an answer may take
	lockStep = 5 * time.Millisecond
)

// Folder is the scratch folder that the processes of one agent share.
type Folder struct {
	dir  string
	life *os.File // its lock dies with the process
}

// Open joins a folder. It must exist.
func Open(dir string) (*Folder, error) {
	for range 100 {
		life, err := os.CreateTemp(dir, lifeMark+"*")
		if err != nil {
			return nil, fmt.Errorf("scratch folder: %w", err)
		}
		if err := syscall.Flock(int(life.Fd()), syscall.LOCK_EX); err != nil {
			life.Close()
			return nil, fmt.Errorf("scratch folder: %w", err)
		}
		if _, err := os.Stat(life.Name()); err == nil {
			return &Folder{dir: dir, life: life}, nil
		}
		life.Close() // swept by another process before it was locked
	}
	return nil, errors.New("scratch folder: no file of its own lasts there")
}

// Close leaves the folder; others see it as after a death.
func (f *Folder) Close() error {
	os.Remove(f.life.Name())
	return f.life.Close()
}

// Usage is what a process holds of what all processes of its agent share.
type Usage struct {
	Leaving                     bool // it takes no more
	Clients, Backends, Requests int  // connections of clients, to backends, and requests without an answer
}

// Publish tells the others what this process holds.
func (f *Folder) Publish(u Usage) error {
	line := fmt.Sprintf("%-5t %9d %9d %9d\n", u.Leaving, u.Clients, u.Backends, u.Requests) // of one length: it is written over
	_, err := f.life.WriteAt([]byte(line), 0)
	return err
}

// usageOf reads what a process has published; nothing, or half a line: it has published nothing yet.
func usageOf(file *os.File) (u Usage) {
	var line [64]byte
	n, _ := file.ReadAt(line[:], 0)
	var got Usage
	if _, err := fmt.Sscan(string(line[:n]), &got.Leaving, &got.Clients, &got.Backends, &got.Requests); err == nil {
		u = got
	}
	return u
}

// Others counts the other processes of this agent that live, sums up what they hold, and sweeps what dead ones left. They are
// leaving if all of them are.
func (f *Folder) Others() (n int, held Usage) {
	held.Leaving = true
	entries, err := os.ReadDir(f.dir)
	if err != nil {
		return 0, held
	}
	for _, e := range entries {
		name := filepath.Join(f.dir, e.Name())
		if !strings.HasPrefix(e.Name(), lifeMark) || name == f.life.Name() {
			continue
		}
		other, err := os.Open(name)
		if err != nil {
			continue // it has just left
		}
		if syscall.Flock(int(other.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			os.Remove(name)
		} else {
			u := usageOf(other)
			n++
			held.Leaving = held.Leaving && u.Leaving
			held.Clients += u.Clients
			held.Backends += u.Backends
			held.Requests += u.Requests
		}
		other.Close()
	}
	return n, held
}

// Load reads the state. None is there: the zero state. An error: it can't be believed.
func (f *Folder) Load() (maintenance.State, error) {
	raw, err := os.ReadFile(filepath.Join(f.dir, stateFile))
	if errors.Is(err, fs.ErrNotExist) {
		return maintenance.State{}, nil
	}
	if err != nil {
		return maintenance.State{}, err
	}
	s, err := maintenance.Decode(raw)
	if err != nil {
		return maintenance.State{}, fmt.Errorf("%s: %w", stateFile, err)
	}
	return s, nil
}

// Update has change make a new state of the one in the folder, or of known if that one is older or can't be believed, and
// stores it whole. Processes take turns.
func (f *Folder) Update(known maintenance.State, change func(maintenance.State) (maintenance.State, error)) (maintenance.State, error) {
	lock, err := os.OpenFile(filepath.Join(f.dir, callsFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return known, err
	}
	defer lock.Close()
	for end := time.Now().Add(lockWait); ; time.Sleep(lockStep) { // held for the time of one write, unless its holder stands still
		err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			break
		}
		if time.Now().After(end) {
			return known, fmt.Errorf("%s: %w", callsFile, err)
		}
	}
	if s, err := f.Load(); err == nil && s.Generation > known.Generation {
		known = s
	}
	n, err := change(known)
	if err != nil || n.Generation == known.Generation {
		return n, err
	}
	if err := renameio.WriteFile(filepath.Join(f.dir, stateFile), n.Encode(), 0o600, renameio.WithTempDir(f.dir)); err != nil {
		return known, err
	}
	return n, nil
}
