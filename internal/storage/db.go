// Package storage implements a durable key-value store for small values: one SQLite file with a write-ahead log, owned by one
// goroutine, with one sync for all writes that queued meanwhile. Writes that were acknowledged survive a loss of power. A disk
// that is full, slow, hung or damaged is reported to the caller. Start reading at Open.
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

// Table is a key space. The caller chooses the numbers.
type Table uint8

// Put sets the value of a key. A nil Value deletes the key, which need not exist; an empty Value that is not nil is stored.
type Put struct {
	Table      Table
	Key, Value []byte
}

// Bounds of the queue. A Write of more than MaxWrite bytes (keys and values) is always refused.
const (
	MaxQueue      = 1024    // Writes
	MaxQueueBytes = 4 << 20 // bytes of the keys and values of all queued Writes
	MaxWrite      = 1 << 20
)

const (
	defaultMaxBytes   = 64 << 20
	maxGroupPuts      = 512       // per transaction, unless a single Write has more
	maxGroupBytes     = 512 << 10 // per transaction, likewise
	defaultStallLimit = 2 * time.Second
	closeTimeout      = 5 * time.Second
	repairInterval    = time.Second
	checkpointFrames  = 512                  // frames of the log after which it is checkpointed: 2 MiB
	maxFrames         = 4 * checkpointFrames // of the log while checkpoints fail; writes are refused beyond that
	putOverhead       = 64                   // bytes counted for a Put in addition to its key and value
)

// Options configure a DB.
type Options struct {
	Dir           string       // folder of the files; created if missing
	MaxBytes      int64        // bound of hold.db, rounded up to 256 KiB; 0: 64 MiB. The log takes up to 3 MiB more, or 9 MiB while hold.db can't be written
	SimulatedDisk func() error // if not nil, called before each commit to simulate a disk's delays and failures: an error fails the commit, and nothing is synced
	Log           func(string) // receives reports of damage, disk failures and recoveries; called on the DB's goroutine, must not block; may be nil
}

// Condition is what Open found on the disk.
type Condition uint8

const (
	// Empty: there was no file, or one that was never written to.
	Empty Condition = iota
	// Intact: everything that was acknowledged is there, as far as checksums and structure can tell. An older copy of all
	// files is intact, too.
	Intact
	// Damaged: the files were renamed to hold.db.damaged*, replacing earlier ones, or removed for lack of space, and an empty
	// file was created. This is reported once: the next Open finds an empty or an intact file.
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

// All errors of a DB are one of these; the cause is wrapped as well.
var (
	// ErrBusy: the queue is full. Nothing was queued.
	ErrBusy = errors.New("the storage queue is full")
	// ErrFull: the bound of the file or the disk is reached. Deletions may still succeed.
	ErrFull = errors.New("the storage is full")
	// ErrStalled: the disk has hung for at least 2 s.
	ErrStalled = errors.New("the disk hangs")
	// ErrDisk: the disk refuses or fails, its content is damaged, or the DB is closed. If it persists on a working disk, damage
	// was found after the start: Close and Open quarantine it.
	ErrDisk = errors.New("the disk fails")
)

// DB is an open store. Its methods are safe for concurrent use.
type DB struct {
	opts       Options
	path       string
	stallLimit time.Duration

	startedAt   time.Time
	workSince   atomic.Int64 // start of the work under way, in nanoseconds after startedAt plus one; 0: none
	queuedBytes atomic.Int64

	mu        sync.Mutex
	closed    bool
	queue     chan command
	abandoned atomic.Bool // Close has given up waiting: queued commands are answered without being run
	stopped   chan struct{}

	// The following fields belong to the DB's goroutine.
	engine          engine // nil: to be reopened
	reopen          func() (engine, error)
	logDurable      bool  // the log as found at the last opening is durably in the database
	logSuspect      bool  // beyond validBytes the log may hold frames of a failed commit
	validBytes      int64 // valid length of the log while logSuspect; -1: not known
	frames          int   // valid frames of the log when last counted
	framesKnown     bool  // frames was counted after the last commit
	checkpointed    bool  // all of the log is in the database
	checkpointAt    int   // number of frames at which the next checkpoint is made
	checkpointErr   error // result of the last checkpoint
	checkpointTried time.Time
	lastErr         error // last error that was logged; nil: recovered
}

// command is a Write or a Load.
type command struct {
	puts  []Put
	size  int64
	done  func(error)
	table Table
	each  func(key, value []byte) error
}

// Open opens or creates the database in a folder and verifies all of its content, which takes about 10 ms of CPU per MB. It
// fails if the folder is refused, the disk is full, or the file is in use by another process or has another schema version. The
// caller may retry; Damaged is reported once even when returned with an error. An existing database can be opened and loaded on
// a full disk. A process must not open a folder twice at the same time.
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
	engine, condition, err := openFolder(&o)
	if err != nil {
		return nil, condition, err
	}
	db := newDB(o, engine)
	go db.run()
	return db, condition, nil
}

func newDB(o Options, e engine) *DB {
	db := &DB{opts: o, path: filepath.Join(o.Dir, fileName), stallLimit: defaultStallLimit, startedAt: time.Now(),
		queue: make(chan command, MaxQueue), stopped: make(chan struct{}), engine: e, checkpointAt: checkpointFrames}
	db.reopen = func() (engine, error) {
		if condition, err := inspect(db.path); err != nil {
			return nil, err
		} else if condition != Intact { // removed while in use: the caller must learn that from Open
			return nil, &damageError{"the files are gone"}
		}
		reopened, _, err := openFile(db.path, &db.opts)
		if err != nil {
			return nil, err
		}
		return reopened, nil
	}
	return db
}

// Load calls each for all rows of a table in the order of keys, including all Writes made before. The caller may keep the
// slices. each runs on the DB's goroutine while Load waits and must not call the DB; its error ends the Load and is returned
// unchanged. Any other error is one of those listed above.
func (db *DB) Load(t Table, each func(key, value []byte) error) error {
	answer := make(chan error, 1)
	if err := db.send(command{table: t, each: each, done: func(err error) { answer <- err }}); err != nil {
		return err
	}
	return <-answer
}

// Write queues puts that are applied together, in the order of Writes. It never blocks. done is called once, on the DB's
// goroutine: with nil when all puts are synced, or with an error when none is applied. If nothing was queued, done is called
// from within Write, with ErrBusy (queue full), ErrStalled (the disk hangs), ErrFull (more than MaxWrite) or ErrDisk (closed).
// done must not block and must not call Close or Load. The slices must not change before it is called.
//
// If the process ends after a failed sync, before the log is repaired right after it, puts that were reported as failed may
// be found applied at the next Open, all of a Write or none; never once a later Write has succeeded.
func (db *DB) Write(puts []Put, done func(error)) {
	var size int64
	for i := range puts {
		size += int64(len(puts[i].Key) + len(puts[i].Value))
	}
	err := error(nil)
	if size > MaxWrite {
		err = fmt.Errorf("%w: a write of %d bytes, at most %d are allowed", ErrFull, size, MaxWrite)
	} else {
		err = db.send(command{puts: puts, size: size + putOverhead*int64(len(puts)), done: done})
	}
	if err != nil {
		done(err)
	}
}

func (db *DB) send(c command) error {
	if d := db.Stalled(); d >= db.stallLimit {
		return fmt.Errorf("%w: for %v", ErrStalled, d)
	}
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.closed {
		return fmt.Errorf("%w: %w", ErrDisk, fs.ErrClosed)
	}
	if db.queuedBytes.Load()+c.size > MaxQueueBytes {
		return fmt.Errorf("%w: %d bytes are queued", ErrBusy, db.queuedBytes.Load())
	}
	select {
	case db.queue <- c:
		db.queuedBytes.Add(c.size)
		return nil
	default:
		return fmt.Errorf("%w: %d writes are queued", ErrBusy, MaxQueue)
	}
}

var commits atomic.Int64

// Commits returns how many transactions this process has committed, each with its sync.
func Commits() int64 { return commits.Load() }

// Stalled returns how long the work under way (a commit and its callbacks, a checkpoint, a Load) has taken so far, or 0 if there
// is none.
func (db *DB) Stalled() time.Duration {
	since := db.workSince.Load()
	if since == 0 {
		return 0
	}
	return max(time.Since(db.startedAt)-time.Duration(since-1), 1)
}

func (db *DB) setWorking(yes bool) {
	if yes {
		db.workSince.Store(int64(time.Since(db.startedAt)) + 1)
	} else {
		db.workSince.Store(0)
	}
}

// Close waits up to 5 s until queued commands are done and the files are closed. ErrStalled means that the disk hangs: when it
// responds again, what is still queued is answered with ErrStalled and the files are closed. From now on Write fails with ErrDisk.
func (db *DB) Close() error { return db.close(time.After(closeTimeout)) }

func (db *DB) close(timeout <-chan time.Time) error {
	db.mu.Lock()
	if !db.closed {
		db.closed = true
		close(db.queue)
	}
	db.mu.Unlock()
	select {
	case <-db.stopped:
		return nil
	case <-timeout:
		db.abandoned.Store(true)
		return fmt.Errorf("%w: the files are left open", ErrStalled)
	}
}

// run is the DB's goroutine.
func (db *DB) run() {
	defer close(db.stopped)
	var group []command
	var next *command // taken from the queue, to be run after the group
	timer := time.NewTimer(repairInterval)
	defer timer.Stop()
	for {
		var c command
		if next != nil {
			c, next = *next, nil
		} else {
			var retry <-chan time.Time
			if db.engine == nil || db.logSuspect {
				timer.Reset(repairInterval)
				retry = timer.C
			}
			var open bool
			select {
			case c, open = <-db.queue:
			case <-retry:
				db.setWorking(true)
				db.logTrouble(db.ensureWritable())
				db.setWorking(false)
				continue
			}
			if !open {
				db.shutDown()
				return
			}
			db.queuedBytes.Add(-c.size)
		}
		if db.abandoned.Load() {
			c.done(fmt.Errorf("%w: closed before the command was run", ErrStalled))
			continue
		}
		db.setWorking(true)
		if c.each != nil {
			err := db.load(c)
			db.setWorking(false)
			c.done(err)
			continue
		}
		group = append(group[:0], c)
		puts, size := len(c.puts), c.size
	gather:
		for puts < maxGroupPuts && size < maxGroupBytes {
			select {
			case c, open := <-db.queue:
				if !open {
					break gather
				}
				db.queuedBytes.Add(-c.size)
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
		db.writeGroup(group)
		clear(group)
		db.checkpointIfDue()
		db.setWorking(false)
	}
}

func (db *DB) shutDown() {
	if db.engine == nil {
		return
	}
	db.setWorking(true)
	defer db.setWorking(false)
	if db.logSuspect {
		db.truncateLog()
	}
	if err := db.engine.close(); err != nil {
		db.opts.Log(fmt.Sprintf("%s: closing: %v", db.path, err))
	}
	db.engine = nil
}

func (db *DB) load(c command) error {
	if err := db.ensureOpen(); err != nil {
		return err
	}
	var callbackErr error
	err := db.engine.each(c.table, func(key, value []byte) error {
		callbackErr = c.each(key, value)
		return callbackErr
	})
	if callbackErr != nil {
		return callbackErr
	}
	return wrap(err)
}

// writeGroup commits a group of Writes with one sync and answers each. Writes for which there is no space are left out.
func (db *DB) writeGroup(group []command) {
	mayCheckpoint := true
	for len(group) > 0 {
		at, err := db.commitGroup(group)
		if mayCheckpoint && at < 0 && errors.Is(err, ErrFull) && db.engine != nil && !db.logSuspect && !db.checkpointed && db.checkpoint() == nil {
			mayCheckpoint = false // retry: the log now starts over, in space that it already has
			continue
		}
		if err == nil {
			db.logTrouble(nil)
			answer(group, nil)
			return
		}
		if at < 0 || !errors.Is(err, ErrFull) {
			db.logTrouble(err)
			answer(group, err)
			return
		}
		if db.engine != nil && db.engine.grow() == nil {
			continue
		}
		// There was no space for one Write. Those before it are committed without it, and it is answered after them.
		db.writeGroup(group[:at])
		answer(group[at:at+1], err)
		group = group[at+1:]
	}
}

func answer(group []command, err error) {
	for i := range group {
		group[i].done(err)
	}
}

// commitGroup commits a group in one transaction. On an error nothing of it is applied, and at is the index of the Write that
// failed, or -1 if the error concerns the whole group.
func (db *DB) commitGroup(group []command) (at int, err error) {
	if err := db.ensureWritable(); err != nil {
		return -1, err
	}
	if err := db.engine.begin(); err != nil {
		db.rollBack()
		return -1, wrap(err)
	}
	for i := range group {
		for k := range group[i].puts {
			if err := db.engine.put(&group[i].puts[k]); err != nil {
				db.rollBack()
				return i, wrap(err)
			}
		}
	}
	if db.opts.SimulatedDisk != nil {
		if err := db.opts.SimulatedDisk(); err != nil {
			db.rollBack()
			return -1, wrap(err)
		}
	}
	if err := db.engine.commit(); err != nil {
		// The log may hold all or part of it. It must never take effect, since it is answered with an error.
		db.rollBack()
		db.truncateLog()
		return -1, wrap(err)
	}
	commits.Add(1)
	db.checkpointed = false
	frames, _, err := db.engine.checkpoint(false)
	if db.framesKnown = err == nil; db.framesKnown {
		db.frames = frames
	}
	return -1, nil
}

// rollBack ends a failed transaction. If that fails as well, the database is closed, to be reopened before the next one.
func (db *DB) rollBack() {
	if db.engine.inTransaction() {
		if err := db.engine.rollback(); err != nil && db.engine.inTransaction() {
			db.closeEngine(err)
		}
	}
}

// closeEngine closes the database after an error from which it can't recover.
func (db *DB) closeEngine(err error) {
	db.logTrouble(err)
	db.markSuspect()
	db.engine.close() // checkpoints and removes the log, if the disk allows
	db.engine = nil
}

// markSuspect records the valid length of the log, before a reopened database would count frames of a failed commit as valid.
func (db *DB) markSuspect() {
	if db.logSuspect && db.validBytes >= 0 {
		return
	}
	db.logSuspect, db.validBytes = true, -1
	frames, _, err := db.engine.checkpoint(false)
	switch {
	case err == nil:
	case db.checkpointed:
		frames = 0 // all of the log is in the database
	case db.framesKnown:
		frames = db.frames
	default:
		return
	}
	if db.validBytes = 0; frames > 0 {
		db.validBytes = walHeader + int64(frames)*walFrame
	}
}

// truncateLog removes what a failed commit has left at the end of the log: the next opening would find it.
func (db *DB) truncateLog() {
	if db.engine != nil {
		db.markSuspect()
	}
	switch {
	case db.validBytes >= 0:
		if err := truncateFile(db.path+"-wal", db.validBytes); err != nil {
			db.logTrouble(wrap(err))
			return
		}
	case db.engine != nil:
		db.logTrouble(wrap(errors.New("the valid length of the log is unknown")))
		return
	default: // the valid length is unknown: keep the log, so that no acknowledged write is lost
	}
	reserveLog(db.path + "-wal")
	db.logSuspect = false
}

// ensureOpen repairs a suspect log, and reopens the database if it was closed after an error.
func (db *DB) ensureOpen() error {
	if db.logSuspect {
		if db.truncateLog(); db.logSuspect {
			return wrap(db.lastErr)
		}
	}
	if db.engine != nil {
		return nil
	}
	reopened, err := db.reopen()
	if err != nil {
		return wrap(err)
	}
	db.engine, db.logDurable, db.checkpointed, db.framesKnown, db.frames = reopened, false, false, false, 0
	return nil
}

// ensureWritable opens the database if necessary and checks that it may be written.
func (db *DB) ensureWritable() error {
	if err := db.ensureOpen(); err != nil {
		return err
	}
	// After a failed sync, the log of an earlier process may be in memory only. Before anything is appended to it, it must be
	// durably in the database.
	if !db.logDurable {
		if err := db.checkpoint(); err != nil {
			return err
		}
		db.logDurable = true
	}
	if db.frames >= maxFrames && time.Since(db.checkpointTried) >= repairInterval {
		db.logTrouble(db.checkpoint())
	}
	if db.frames >= maxFrames {
		return fmt.Errorf("%w: the log has %d frames and can't be checkpointed", db.checkpointErr, db.frames)
	}
	return nil
}

// checkpointIfDue checkpoints the log if it has grown enough.
func (db *DB) checkpointIfDue() {
	if db.engine != nil && !db.checkpointed && !db.logSuspect && db.frames >= db.checkpointAt {
		db.logTrouble(db.checkpoint())
	}
}

// checkpoint moves the log into the database. The log file keeps its space on the disk and is then written from the start.
func (db *DB) checkpoint() error {
	frames, moved, err := db.engine.checkpoint(true)
	if err == nil && moved < frames {
		err = fmt.Errorf("only %d of %d frames were checkpointed", moved, frames)
	}
	if err != nil {
		db.checkpointErr, db.checkpointTried, db.checkpointAt = wrap(fmt.Errorf("checkpoint: %w", err)), time.Now(), db.frames+checkpointFrames
		return db.checkpointErr
	}
	db.checkpointErr, db.frames, db.checkpointAt, db.checkpointed = nil, 0, checkpointFrames, true
	return nil
}

// logTrouble logs an error when it first occurs, and the recovery from it. A nil error means success.
func (db *DB) logTrouble(err error) {
	switch {
	case err != nil && (db.lastErr == nil || db.lastErr.Error() != err.Error()):
		db.opts.Log(fmt.Sprintf("%s: %v", db.path, err))
	case err == nil && db.lastErr != nil:
		db.opts.Log(fmt.Sprintf("%s: written again", db.path))
	}
	db.lastErr = err
}
