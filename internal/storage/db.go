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
	defaultMaxBytes   = 64 << 20
	maxGroupPuts      = 512       // of one transaction, unless one Write has more
	maxGroupBytes     = 512 << 10 // the same in bytes
	defaultStallLimit = 2 * time.Second
	closeTimeout      = 5 * time.Second
	repairInterval    = time.Second
	checkpointFrames  = 512                  // frames of the log after which it is moved into the database: 2 MiB
	maxFrames         = 4 * checkpointFrames // of the log while it can't be moved; behind it writes are refused
	putOverhead       = 64                   // bytes that a Put costs beside its key and value
)

// Options are what a hold is opened with.
type Options struct {
	Dir           string       // of the files; made when missing
	MaxBytes      int64        // of the file hold.db; rounded up to 256 KiB; 64 MiB if zero. The log beside it takes up to 3 MiB more, 9 MiB while hold.db can't be written
	SimulatedDisk func() error // stands in for a disk's time and refusals: called ahead of each commit, an error fails it; nothing is synced then; may be nil
	Log           func(string) // hears of damage, and of a disk that fails and is well again; called from the hold's goroutine, must not block; may be nil
}

// Condition says how the disk was found.
type Condition uint8

const (
	// Empty: there was no file, or one that nothing was ever written to.
	Empty Condition = iota
	// Whole: all that was told to be written is there, as far as sums and structure can say. An older copy of all files is
	// whole as well.
	Intact
	// Damaged: the files were put aside as hold.db.damaged*, in the place of earlier ones, or removed for want of room, and an
	// empty one was begun. It is told once: the next Open finds an empty or a whole file.
	Damaged
)

func (s Condition) String() string {
	switch s {
	case Empty:
		return "empty"
	case Intact:
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

// DB is an open hold. Its methods are safe for use by many.
type DB struct {
	opts       Options
	path       string
	stallLimit time.Duration

	startedAt   time.Time
	workSince   atomic.Int64 // nanoseconds after epoch that the work under way began, plus one; 0: none
	queuedBytes atomic.Int64 // that wait

	mu        sync.Mutex
	closed    bool
	queue     chan command
	abandoned atomic.Bool // Close no longer waits: what queues is answered unwritten
	stopped   chan struct{}

	// The rest is the hold's goroutine's alone.
	engine          engine // nil: to be opened again
	reopen          func() (engine, error)
	logDurable      bool  // what the log held at the last opening is in the database for certain
	logSuspect      bool  // behind `good` the log may hold what was told to have failed
	validBytes      int64 // bytes of the log that are in force, while in doubt; -1: not known
	frames          int   // of the log that are in force, at the last count
	framesKnown     bool  // that was behind the last commit
	checkpointed    bool  // all of them are in the database
	checkpointAt    int   // frames at which they are moved next
	checkpointErr   error // why they could not be moved the last time; nil: they were
	checkpointTried time.Time
	lastErr         error // the last trouble that was logged
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
func Open(o Options) (*DB, Condition, error) {
	if o.MaxBytes == 0 {
		o.MaxBytes = defaultMaxBytes
	}
	if o.Log == nil {
		o.Log = func(string) {}
	}
	dir, err := filepath.Abs(o.Dir)
	if err != nil {
		return nil, Empty, wrap(err)
	}
	o.Dir = dir
	db, start, err := openFolder(&o)
	if err != nil {
		return nil, start, err
	}
	h := newDB(o, db)
	go h.run()
	return h, start, nil
}

func newDB(o Options, db engine) *DB {
	h := &DB{opts: o, path: filepath.Join(o.Dir, fileName), stallLimit: defaultStallLimit, startedAt: time.Now(),
		queue: make(chan command, MaxQueue), stopped: make(chan struct{}), engine: db, checkpointAt: checkpointFrames}
	h.reopen = func() (engine, error) {
		if start, err := inspect(h.path); err != nil {
			return nil, err
		} else if start != Intact { // gone while they were in use: the caller must hear it, from Open
			return nil, &damageError{"the files are gone"}
		}
		l, _, err := openFile(h.path, &h.opts)
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
func (h *DB) Load(t Table, each func(key, value []byte) error) error {
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
func (h *DB) Write(puts []Put, done func(error)) {
	var size int64
	for i := range puts {
		size += int64(len(puts[i].Key) + len(puts[i].Value))
	}
	err := error(nil)
	if size > MaxWrite {
		err = fmt.Errorf("%w: a write of %d bytes, %d at most", ErrFull, size, MaxWrite)
	} else {
		err = h.send(command{puts: puts, size: size + putOverhead*int64(len(puts)), done: done})
	}
	if err != nil {
		done(err)
	}
}

func (h *DB) send(c command) error {
	if d := h.Stalled(); d >= h.stallLimit {
		return fmt.Errorf("%w: for %v", ErrStalled, d)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return fmt.Errorf("%w: %w", ErrDisk, fs.ErrClosed)
	}
	if h.queuedBytes.Load()+c.size > MaxQueueBytes {
		return fmt.Errorf("%w: %d bytes wait", ErrBusy, h.queuedBytes.Load())
	}
	select {
	case h.queue <- c:
		h.queuedBytes.Add(c.size)
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
func (h *DB) Stalled() time.Duration {
	since := h.workSince.Load()
	if since == 0 {
		return 0
	}
	return max(time.Since(h.startedAt)-time.Duration(since-1), 1)
}

func (h *DB) setWorking(yes bool) {
	if yes {
		h.workSince.Store(int64(time.Since(h.startedAt)) + 1)
	} else {
		h.workSince.Store(0)
	}
}

// Close waits up to 5 s for what is queued, then for the files to be closed. ErrStalled means that the disk hangs: what still
// queues will be answered with it when the disk comes back, and the files closed then. Write answers ErrDisk from here on.
func (h *DB) Close() error { return h.close(time.After(closeTimeout)) }

func (h *DB) close(late <-chan time.Time) error {
	h.mu.Lock()
	if !h.closed {
		h.closed = true
		close(h.queue)
	}
	h.mu.Unlock()
	select {
	case <-h.stopped:
		return nil
	case <-late:
		h.abandoned.Store(true)
		return fmt.Errorf("%w: it is left open", ErrStalled)
	}
}

// run is the hold's goroutine.
func (h *DB) run() {
	defer close(h.stopped)
	var group []command
	var next *command // taken from the queue, for after the group
	timer := time.NewTimer(repairInterval)
	defer timer.Stop()
	for {
		var c command
		if next != nil {
			c, next = *next, nil
		} else {
			var mend <-chan time.Time
			if h.engine == nil || h.logSuspect {
				timer.Reset(repairInterval)
				mend = timer.C
			}
			var open bool
			select {
			case c, open = <-h.queue:
			case <-mend:
				h.setWorking(true)
				h.logTrouble(h.ensureWritable())
				h.setWorking(false)
				continue
			}
			if !open {
				h.shutDown()
				return
			}
			h.queuedBytes.Add(-c.size)
		}
		if h.abandoned.Load() {
			c.done(fmt.Errorf("%w: closed meanwhile", ErrStalled))
			continue
		}
		h.setWorking(true)
		if c.each != nil {
			err := h.load(c)
			h.setWorking(false)
			c.done(err)
			continue
		}
		group = append(group[:0], c)
		puts, size := len(c.puts), c.size
	gather:
		for puts < maxGroupPuts && size < maxGroupBytes {
			select {
			case c, open := <-h.queue:
				if !open {
					break gather
				}
				h.queuedBytes.Add(-c.size)
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
		h.writeGroup(group)
		clear(group)
		h.checkpointIfDue()
		h.setWorking(false)
	}
}

func (h *DB) shutDown() {
	if h.engine == nil {
		return
	}
	h.setWorking(true)
	defer h.setWorking(false)
	if h.logSuspect {
		h.truncateLog()
	}
	if err := h.engine.close(); err != nil {
		h.opts.Log(fmt.Sprintf("%s: closing: %v", h.path, err))
	}
	h.engine = nil
}

func (h *DB) load(c command) error {
	if err := h.ensureOpen(); err != nil {
		return err
	}
	var own error
	err := h.engine.each(c.table, func(key, value []byte) error {
		own = c.each(key, value)
		return own
	})
	if own != nil {
		return own
	}
	return wrap(err)
}

// writeGroup brings a group into force with one sync and answers each. A Write for which there is no room is left out.
func (h *DB) writeGroup(group []command) {
	again := true
	for len(group) > 0 {
		at, err := h.commitGroup(group)
		if again && at < 0 && errors.Is(err, ErrFull) && h.engine != nil && !h.logSuspect && !h.checkpointed && h.checkpoint() == nil {
			again = false // the log is written from its start again, where it has its room already
			continue
		}
		if err == nil {
			h.logTrouble(nil)
			answer(group, nil)
			return
		}
		if at < 0 || !errors.Is(err, ErrFull) {
			h.logTrouble(err)
			answer(group, err)
			return
		}
		if h.engine != nil && h.engine.grow() == nil {
			continue
		}
		// There was no room for one Write: those before it pass without it, and it is answered in its turn.
		h.writeGroup(group[:at])
		answer(group[at:at+1], err)
		group = group[at+1:]
	}
}

func answer(group []command, err error) {
	for i := range group {
		group[i].done(err)
	}
}

// commitGroup is one transaction. On an error nothing of it is in force, and `at` is the Write for which there was no room, or -1 if
// it wasn't a single one.
func (h *DB) commitGroup(group []command) (at int, err error) {
	if err := h.ensureWritable(); err != nil {
		return -1, err
	}
	if err := h.engine.begin(); err != nil {
		h.rollBack()
		return -1, wrap(err)
	}
	for i := range group {
		for k := range group[i].puts {
			if err := h.engine.put(&group[i].puts[k]); err != nil {
				h.rollBack()
				return i, wrap(err)
			}
		}
	}
	if h.opts.SimulatedDisk != nil {
		if err := h.opts.SimulatedDisk(); err != nil {
			h.rollBack()
			return -1, wrap(err)
		}
	}
	if err := h.engine.commit(); err != nil {
		// The disk may have all of it or a part. It must never come into force now that it is answered with an error.
		h.rollBack()
		h.truncateLog()
		return -1, wrap(err)
	}
	commits.Add(1)
	h.checkpointed = false
	frames, _, err := h.engine.checkpoint(false)
	if h.framesKnown = err == nil; h.framesKnown {
		h.frames = frames
	}
	return -1, nil
}

// rollBack ends the transaction that failed. If that fails as well, the database is opened again before the next.
func (h *DB) rollBack() {
	if h.engine.inTransaction() {
		if err := h.engine.rollback(); err != nil && h.engine.inTransaction() {
			h.closeEngine(err)
		}
	}
}

// closeEngine closes the database after trouble that it can't get over by itself.
func (h *DB) closeEngine(err error) {
	h.logTrouble(err)
	h.markSuspect()
	h.engine.close() // moves what is in force and removes the log, if the disk allows
	h.engine = nil
}

// markSuspect notes how much of the log is in force, before it is counted anew by whoever opens it next.
func (h *DB) markSuspect() {
	if h.logSuspect && h.validBytes >= 0 {
		return
	}
	h.logSuspect, h.validBytes = true, -1
	frames, _, err := h.engine.checkpoint(false)
	switch {
	case err == nil:
	case h.checkpointed:
		frames = 0 // all that the log had is in the database
	case h.framesKnown:
		frames = h.frames
	default:
		return
	}
	if h.validBytes = 0; frames > 0 {
		h.validBytes = walHeader + int64(frames)*walFrame
	}
}

// truncateLog cuts off the log what a failed commit has left behind what is in force: whoever opens the files next would find it.
func (h *DB) truncateLog() {
	if h.engine != nil {
		h.markSuspect()
	}
	switch {
	case h.validBytes >= 0:
		if err := truncateFile(h.path+"-wal", h.validBytes); err != nil {
			h.logTrouble(wrap(err))
			return
		}
	case h.engine != nil:
		h.logTrouble(wrap(errors.New("the log can't be counted")))
		return
	default: // nothing can be told any more: what was told to be written goes first
	}
	reserveLog(h.path + "-wal")
	h.logSuspect = false
}

// ensureOpen opens the database again if it was closed for trouble.
func (h *DB) ensureOpen() error {
	if h.logSuspect {
		if h.truncateLog(); h.logSuspect {
			return wrap(h.lastErr)
		}
	}
	if h.engine != nil {
		return nil
	}
	db, err := h.reopen()
	if err != nil {
		return wrap(err)
	}
	h.engine, h.logDurable, h.checkpointed, h.framesKnown, h.frames = db, false, false, false, 0
	return nil
}

// ensureWritable makes the database fit to be written.
func (h *DB) ensureWritable() error {
	if err := h.ensureOpen(); err != nil {
		return err
	}
	// The log of an earlier process may not be on the disk, after a sync that failed: before anything is written behind it,
	// it must be in the database for certain.
	if !h.logDurable {
		if err := h.checkpoint(); err != nil {
			return err
		}
		h.logDurable = true
	}
	if h.frames >= maxFrames && time.Since(h.checkpointTried) >= repairInterval {
		h.logTrouble(h.checkpoint())
	}
	if h.frames >= maxFrames {
		return fmt.Errorf("%w: the log has %d frames and can't be moved", h.checkpointErr, h.frames)
	}
	return nil
}

// checkpointIfDue moves the log when it has grown.
func (h *DB) checkpointIfDue() {
	if h.engine != nil && !h.checkpointed && !h.logSuspect && h.frames >= h.checkpointAt {
		h.logTrouble(h.checkpoint())
	}
}

// checkpoint moves the log into the database. Its file keeps its room on the disk and is written from the start again.
func (h *DB) checkpoint() error {
	frames, moved, err := h.engine.checkpoint(true)
	if err == nil && moved < frames {
		err = fmt.Errorf("%d of %d frames were moved", moved, frames)
	}
	if err != nil {
		h.checkpointErr, h.checkpointTried, h.checkpointAt = wrap(fmt.Errorf("moving the log: %w", err)), time.Now(), h.frames+checkpointFrames
		return h.checkpointErr
	}
	h.checkpointErr, h.frames, h.checkpointAt, h.checkpointed = nil, 0, checkpointFrames, true
	return nil
}

// logTrouble logs trouble when it begins, and its end.
func (h *DB) logTrouble(err error) {
	switch {
	case err != nil && (h.lastErr == nil || h.lastErr.Error() != err.Error()):
		h.opts.Log(fmt.Sprintf("%s: %v", h.path, err))
	case err == nil && h.lastErr != nil:
		h.opts.Log(fmt.Sprintf("%s: written again", h.path))
	}
	h.lastErr = err
}
