// Package storage keeps small values under small keys on disk, so that what was told to be written is there after the loss of
// power: one SQLite file, one goroutine that owns it, and one sync for all that queued meanwhile. A disk that is full, slow,
// hung or damaged is an answer to the caller. What the keys and values mean is the caller's affair. Start reading at Open.
package storage

import (
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"
)

// Table is one of the caller's small numbers: keys of different tables never meet.
type Table uint8

// Put sets the value of a key. A nil Value deletes the key, and one that isn't there is no error; an empty Value that is not
// nil is a value.
type Put struct {
	Table      Table
	Key, Value []byte
}

// Bounds of what waits. A Write of more than MaxWrite bytes (keys and values) is never taken.
const (
	MaxQueue      = 1024    // Writes
	MaxQueueBytes = 4 << 20 // bytes of keys and values of all that wait
	MaxWrite      = 1 << 20
)

const (
	defaultMax = 64 << 20
	groupPuts  = 512       // of one transaction, unless one Write has more
	groupBytes = 512 << 10 // the same in bytes
	hungAfter  = 2 * time.Second
	closeAfter = 5 * time.Second
	mendEvery  = time.Second
	moveFrames = 512            // frames of the log after which it is moved into the database: 2 MiB
	mostFrames = 4 * moveFrames // of the log while it can't be moved; behind it writes are refused
	putCost    = 64             // bytes that a Put costs beside its key and value
)

// Options are what a hold is opened with.
type Options struct {
	Dir      string       // of the files; made when missing
	MaxBytes int64        // of the file hold.db; rounded up to 256 KiB; 64 MiB if zero. The log beside it takes up to 3 MiB more, 9 MiB while hold.db can't be written
	Disk     func() error // stands in for a disk's time and refusals: called ahead of each commit, an error fails it; nothing is synced then; may be nil
	Log      func(string) // hears of damage, and of a disk that fails and is well again; called from the hold's goroutine, must not block; may be nil
}

// Start says how the disk was found.
type Start uint8

const (
	// Empty: there was no file, or one that nothing was ever written to.
	Empty Start = iota
	// Whole: all that was told to be written is there, as far as sums and structure can say. An older copy of all files is
	// whole as well.
	Whole
	// Damaged: the files were put aside as hold.db.damaged*, in the place of earlier ones, or removed for want of room, and an
	// empty one was begun. It is told once: the next Open finds an empty or a whole file.
	Damaged
)

func (s Start) String() string {
	switch s {
	case Empty:
		return "empty"
	case Whole:
		return "whole"
	case Damaged:
		return "damaged"
	}
	return fmt.Sprintf("start %d", uint8(s))
}

// The errors of a hold, a closed list; the cause is wrapped beside.
var (
	// ErrBusy: too much waits. Nothing was queued.
	ErrBusy = errors.New("the hold is busy")
	// ErrFull: there is no room, in the file's bound or on the disk. Deletions may still pass.
	ErrFull = errors.New("the hold is full")
	// ErrStalled: the disk has hung for 2 s or longer.
	ErrStalled = errors.New("the hold's disk hangs")
	// ErrDisk: the disk refuses, fails or holds damage, or the hold is closed. One that stays, with the disk well, is damage
	// that was found after the start: Close and Open put it aside.
	ErrDisk = errors.New("the hold's disk fails")
)

// Hold is an open hold. Its methods are safe for use by many.
type Hold struct {
	o    Options
	path string
	hung time.Duration

	epoch time.Time
	since atomic.Int64 // nanoseconds after epoch that the work under way began, plus one; 0: none
	bytes atomic.Int64 // that wait

	mu     sync.Mutex
	closed bool
	queue  chan command
	left   atomic.Bool // Close no longer waits: what queues is answered unwritten
	ended  chan struct{}

	// The rest is the hold's goroutine's alone.
	db      store // nil: to be opened again
	reopen  func() (store, error)
	sure    bool  // what the log held at the last opening is in the database for certain
	doubt   bool  // behind `good` the log may hold what was told to have failed
	good    int64 // bytes of the log that are in force, while in doubt; -1: not known
	frames  int   // of the log that are in force, at the last count
	counted bool  // that was behind the last commit
	moved   bool  // all of them are in the database
	moveAt  int   // frames at which they are moved next
	stuck   error // why they could not be moved the last time; nil: they were
	tried   time.Time
	ill     error // the last trouble that was logged
}

// command is a Write, or a Load.
type command struct {
	puts  []Put
	size  int64
	done  func(error)
	table Table
	each  func(key, value []byte) error
}

// Open opens the hold in a folder, or begins one, and looks at all that is there: some 10 ms of processor per MB. An error
// means that nothing can be opened now: the folder is refused, the disk full, the file held by another process or of another
// version of the schema. The caller may serve without and try again; Damaged beside an error is told this once all the same.
// A hold that is there opens on a full disk too, and can be loaded. One process opens a folder once at a time.
func Open(o Options) (*Hold, Start, error) {
	if o.MaxBytes == 0 {
		o.MaxBytes = defaultMax
	}
	if o.Log == nil {
		o.Log = func(string) {}
	}
	dir, err := filepath.Abs(o.Dir)
	if err != nil {
		return nil, Empty, wrap(err)
	}
	o.Dir = dir
	db, start, err := begin(&o)
	if err != nil {
		return nil, start, err
	}
	h := newHold(o, db)
	go h.run()
	return h, start, nil
}

func newHold(o Options, db store) *Hold {
	h := &Hold{o: o, path: filepath.Join(o.Dir, fileName), hung: hungAfter, epoch: time.Now(),
		queue: make(chan command, MaxQueue), ended: make(chan struct{}), db: db, moveAt: moveFrames}
	h.reopen = func() (store, error) {
		if start, err := look(h.path); err != nil {
			return nil, err
		} else if start != Whole { // gone while they were in use: the caller must hear it, from Open
			return nil, &damageError{"the files are gone"}
		}
		l, _, err := openFile(h.path, &h.o)
		if err != nil {
			return nil, err
		}
		return l, nil
	}
	return h
}

// Load hands over all rows of a table in the order of keys, as they are behind the Writes before it. The slices are the
// caller's to keep. `each` runs on the hold's goroutine while Load waits and must not call the hold; its error ends the
// Load and is returned as it is. Any other error is one of the list.
func (h *Hold) Load(t Table, each func(key, value []byte) error) error {
	answer := make(chan error, 1)
	if err := h.send(command{table: t, each: each, done: func(err error) { answer <- err }}); err != nil {
		return err
	}
	return <-answer
}

// Write queues puts that come into force together, in the order of Writes. It never blocks. `done` is called once: from the
// hold's goroutine when all of them are synced, or with an error and none of them is in force; or, when nothing was queued,
// from within Write, with ErrBusy (too much waits), ErrStalled (the disk hangs), ErrFull (more than MaxWrite) or ErrDisk
// (closed). It must not block and must not call Close or Load. The slices must not change before it.
//
// If the process ends between the failure of a sync and the log's repair right behind it, puts that were told to have failed
// may be found in force at the next Open, all of a Write or none; never once a later Write has succeeded.
func (h *Hold) Write(puts []Put, done func(error)) {
	var size int64
	for i := range puts {
		size += int64(len(puts[i].Key) + len(puts[i].Value))
	}
	err := error(nil)
	if size > MaxWrite {
		err = fmt.Errorf("%w: a write of %d bytes, %d at most", ErrFull, size, MaxWrite)
	} else {
		err = h.send(command{puts: puts, size: size + putCost*int64(len(puts)), done: done})
	}
	if err != nil {
		done(err)
	}
}

func (h *Hold) send(c command) error {
	if d := h.Stalled(); d >= h.hung {
		return fmt.Errorf("%w: for %v", ErrStalled, d)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return fmt.Errorf("%w: %w", ErrDisk, fs.ErrClosed)
	}
	if h.bytes.Load()+c.size > MaxQueueBytes {
		return fmt.Errorf("%w: %d bytes wait", ErrBusy, h.bytes.Load())
	}
	select {
	case h.queue <- c:
		h.bytes.Add(c.size)
		return nil
	default:
		return fmt.Errorf("%w: %d writes wait", ErrBusy, MaxQueue)
	}
}

var commits atomic.Int64

// Commits is how many transactions this process has committed, each with its sync.
func Commits() int64 { return commits.Load() }

// Stalled is how long the work under way has taken so far: a commit and its answers, moving the log, a Load; 0: there is
// none.
func (h *Hold) Stalled() time.Duration {
	since := h.since.Load()
	if since == 0 {
		return 0
	}
	return max(time.Since(h.epoch)-time.Duration(since-1), 1)
}

func (h *Hold) working(yes bool) {
	if yes {
		h.since.Store(int64(time.Since(h.epoch)) + 1)
	} else {
		h.since.Store(0)
	}
}

// Close waits up to 5 s for what is queued, then for the files to be closed. ErrStalled means that the disk hangs: what still
// queues will be answered with it when the disk comes back, and the files closed then. Write answers ErrDisk from here on.
func (h *Hold) Close() error { return h.close(time.After(closeAfter)) }

func (h *Hold) close(late <-chan time.Time) error {
	h.mu.Lock()
	if !h.closed {
		h.closed = true
		close(h.queue)
	}
	h.mu.Unlock()
	select {
	case <-h.ended:
		return nil
	case <-late:
		h.left.Store(true)
		return fmt.Errorf("%w: it is left open", ErrStalled)
	}
}

// run is the hold's goroutine.
func (h *Hold) run() {
	defer close(h.ended)
	var group []command
	var next *command // taken from the queue, for after the group
	timer := time.NewTimer(mendEvery)
	defer timer.Stop()
	for {
		var c command
		if next != nil {
			c, next = *next, nil
		} else {
			var mend <-chan time.Time
			if h.db == nil || h.doubt {
				timer.Reset(mendEvery)
				mend = timer.C
			}
			var open bool
			select {
			case c, open = <-h.queue:
			case <-mend:
				h.working(true)
				h.note(h.ready())
				h.working(false)
				continue
			}
			if !open {
				h.end()
				return
			}
			h.bytes.Add(-c.size)
		}
		if h.left.Load() {
			c.done(fmt.Errorf("%w: closed meanwhile", ErrStalled))
			continue
		}
		h.working(true)
		if c.each != nil {
			err := h.load(c)
			h.working(false)
			c.done(err)
			continue
		}
		group = append(group[:0], c)
		puts, size := len(c.puts), c.size
	gather:
		for puts < groupPuts && size < groupBytes {
			select {
			case c, open := <-h.queue:
				if !open {
					break gather
				}
				h.bytes.Add(-c.size)
				if c.each != nil {
					next = &c
					break gather
				}
				group = append(group, c)
				puts, size = puts+len(c.puts), size+c.size
			default:
				break gather
			}
		}
		h.write(group)
		clear(group)
		h.tidy()
		h.working(false)
	}
}

func (h *Hold) end() {
	if h.db == nil {
		return
	}
	h.working(true)
	defer h.working(false)
	if h.doubt {
		h.mend()
	}
	if err := h.db.close(); err != nil {
		h.o.Log(fmt.Sprintf("%s: closing: %v", h.path, err))
	}
	h.db = nil
}

func (h *Hold) load(c command) error {
	if err := h.available(); err != nil {
		return err
	}
	var own error
	err := h.db.each(c.table, func(key, value []byte) error {
		own = c.each(key, value)
		return own
	})
	if own != nil {
		return own
	}
	return wrap(err)
}

// write brings a group into force with one sync and answers each. A Write for which there is no room is left out.
func (h *Hold) write(group []command) {
	again := true
	for len(group) > 0 {
		at, err := h.try(group)
		if again && at < 0 && errors.Is(err, ErrFull) && h.db != nil && !h.doubt && !h.moved && h.move() == nil {
			again = false // the log is written from its start again, where it has its room already
			continue
		}
		if err == nil {
			h.note(nil)
			answer(group, nil)
			return
		}
		if at < 0 || !errors.Is(err, ErrFull) {
			h.note(err)
			answer(group, err)
			return
		}
		if h.db != nil && h.db.grow() == nil {
			continue
		}
		// There was no room for one Write: those before it pass without it, and it is answered in its turn.
		h.write(group[:at])
		answer(group[at:at+1], err)
		group = group[at+1:]
	}
}

func answer(group []command, err error) {
	for i := range group {
		group[i].done(err)
	}
}

// try is one transaction. On an error nothing of it is in force, and `at` is the Write for which there was no room, or -1 if
// it wasn't a single one.
func (h *Hold) try(group []command) (at int, err error) {
	if err := h.ready(); err != nil {
		return -1, err
	}
	if err := h.db.begin(); err != nil {
		h.undo()
		return -1, wrap(err)
	}
	for i := range group {
		for k := range group[i].puts {
			if err := h.db.put(&group[i].puts[k]); err != nil {
				h.undo()
				return i, wrap(err)
			}
		}
	}
	if h.o.Disk != nil {
		if err := h.o.Disk(); err != nil {
			h.undo()
			return -1, wrap(err)
		}
	}
	if err := h.db.commit(); err != nil {
		// The disk may have all of it or a part. It must never come into force now that it is answered with an error.
		h.undo()
		h.mend()
		return -1, wrap(err)
	}
	commits.Add(1)
	h.moved = false
	frames, _, err := h.db.checkpoint(false)
	if h.counted = err == nil; h.counted {
		h.frames = frames
	}
	return -1, nil
}

// undo ends the transaction that failed. If that fails as well, the database is opened again before the next.
func (h *Hold) undo() {
	if h.db.open() {
		if err := h.db.rollback(); err != nil && h.db.open() {
			h.drop(err)
		}
	}
}

// drop closes the database after trouble that it can't get over by itself.
func (h *Hold) drop(err error) {
	h.note(err)
	h.setDoubt()
	h.db.close() // moves what is in force and removes the log, if the disk allows
	h.db = nil
}

// setDoubt notes how much of the log is in force, before it is counted anew by whoever opens it next.
func (h *Hold) setDoubt() {
	if h.doubt && h.good >= 0 {
		return
	}
	h.doubt, h.good = true, -1
	frames, _, err := h.db.checkpoint(false)
	switch {
	case err == nil:
	case h.moved:
		frames = 0 // all that the log had is in the database
	case h.counted:
		frames = h.frames
	default:
		return
	}
	if h.good = 0; frames > 0 {
		h.good = walHeader + int64(frames)*walFrame
	}
}

// mend cuts off the log what a failed commit has left behind what is in force: whoever opens the files next would find it.
func (h *Hold) mend() {
	if h.db != nil {
		h.setDoubt()
	}
	switch {
	case h.good >= 0:
		if err := cut(h.path+"-wal", h.good); err != nil {
			h.note(wrap(err))
			return
		}
	case h.db != nil:
		h.note(wrap(errors.New("the log can't be counted")))
		return
	default: // nothing can be told any more: what was told to be written goes first
	}
	reserve(h.path + "-wal")
	h.doubt = false
}

// available opens the database again if it was closed for trouble.
func (h *Hold) available() error {
	if h.doubt {
		if h.mend(); h.doubt {
			return wrap(h.ill)
		}
	}
	if h.db != nil {
		return nil
	}
	db, err := h.reopen()
	if err != nil {
		return wrap(err)
	}
	h.db, h.sure, h.moved, h.counted, h.frames = db, false, false, false, 0
	return nil
}

// ready makes the database fit to be written.
func (h *Hold) ready() error {
	if err := h.available(); err != nil {
		return err
	}
	// The log of an earlier process may not be on the disk, after a sync that failed: before anything is written behind it,
	// it must be in the database for certain.
	if !h.sure {
		if err := h.move(); err != nil {
			return err
		}
		h.sure = true
	}
	if h.frames >= mostFrames && time.Since(h.tried) >= mendEvery {
		h.note(h.move())
	}
	if h.frames >= mostFrames {
		return fmt.Errorf("%w: the log has %d frames and can't be moved", h.stuck, h.frames)
	}
	return nil
}

// tidy moves the log when it has grown.
func (h *Hold) tidy() {
	if h.db != nil && !h.moved && !h.doubt && h.frames >= h.moveAt {
		h.note(h.move())
	}
}

// move moves the log into the database. Its file keeps its room on the disk and is written from the start again.
func (h *Hold) move() error {
	frames, moved, err := h.db.checkpoint(true)
	if err == nil && moved < frames {
		err = fmt.Errorf("%d of %d frames were moved", moved, frames)
	}
	if err != nil {
		h.stuck, h.tried, h.moveAt = wrap(fmt.Errorf("moving the log: %w", err)), time.Now(), h.frames+moveFrames
		return h.stuck
	}
	h.stuck, h.frames, h.moveAt, h.moved = nil, 0, moveFrames, true
	return nil
}

// note logs trouble when it begins, and its end.
func (h *Hold) note(err error) {
	switch {
	case err != nil && (h.ill == nil || h.ill.Error() != err.Error()):
		h.o.Log(fmt.Sprintf("%s: %v", h.path, err))
	case err == nil && h.ill != nil:
		h.o.Log(fmt.Sprintf("%s: written again", h.path))
	}
	h.ill = err
}
