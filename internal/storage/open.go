package storage

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	sqlite3 "github.com/mattn/go-sqlite3"
)

const (
	fileName       = "hold.db"
	fallocKeepSize = 1          // FALLOC_FL_KEEP_SIZE
	damagedSuffix  = ".damaged" // appended to the names of damaged files; one of each is kept
)

var suffixes = []string{"", "-wal", "-journal"}

// openFolder opens the database in the folder. If it is damaged, it is quarantined and an empty one is created.
func openFolder(o *Options) (engine, Condition, error) {
	if err := makeDir(o.Dir); err != nil {
		return nil, Empty, wrap(err)
	}
	path := filepath.Join(o.Dir, fileName)
	e, condition, err := openFile(path, o)
	var damage *damageError
	if errors.As(err, &damage) {
		o.Log(fmt.Sprintf("%s is damaged and quarantined: %v", path, err))
		if err := quarantine(path, osFileOps); err != nil {
			return nil, Damaged, wrap(fmt.Errorf("quarantine: %w", err))
		}
		condition = Damaged
		e, _, err = openFile(path, o)
		if err = wrap(err); errors.Is(err, ErrFull) {
			o.Log("no space for a new file: the damaged files are removed")
			for _, s := range suffixes {
				os.Remove(path + damagedSuffix + s)
				os.Remove(path + s) // the incomplete new file
			}
			e, _, err = openFile(path, o)
		}
	}
	if err != nil {
		return nil, condition, wrap(err)
	}
	if err := o.syncNames(o.Dir); err != nil { // the file names must be durable before any write is acknowledged
		e.close()
		return nil, condition, wrap(err)
	}
	return e, condition, nil
}

// openFile opens the file and verifies all of it, or creates one. Damage is reported as a damageError.
func openFile(path string, o *Options) (e *sqliteEngine, condition Condition, err error) {
	condition, err = inspect(path)
	if err != nil {
		return nil, condition, err
	}
	defer func() {
		if err == nil {
			return
		}
		if e != nil {
			e.close()
			e = nil
		}
		var sqliteErr sqlite3.Error
		if errors.As(err, &sqliteErr) && (sqliteErr.Code == sqlite3.ErrCorrupt || sqliteErr.Code == sqlite3.ErrNotADB) {
			err = &damageError{sqliteErr.Error()}
		}
	}()
	if e, err = connect(path, max((o.MaxBytes+chunkPages*pageSize-1)/(chunkPages*pageSize), 1)*chunkPages, o.synchronousMode()); err != nil {
		return e, condition, err
	}
	version, err := e.queryRow("PRAGMA user_version")
	if err != nil {
		return e, condition, err
	}
	tables, err := e.queryRow("SELECT count(*), total(sql=" + "'" + schema + "') FROM sqlite_schema")
	if err != nil {
		return e, condition, err
	}
	switch v, n := version[0], tables[0]; {
	case v == int64(0) && n == int64(0): // new, or its creation was interrupted
		condition = Empty
		for _, q := range []string{"BEGIN IMMEDIATE", schema, fmt.Sprintf("PRAGMA user_version=%d", schemaVersion), "COMMIT"} {
			if _, err = e.conn.Exec(q, nil); err != nil {
				return e, condition, err
			}
		}
	case v != int64(schemaVersion):
		if found, err := e.queryRow("PRAGMA quick_check(1)"); err != nil {
			return e, condition, err
		} else if found[0] != "ok" {
			return e, condition, &damageError{fmt.Sprint("quick_check: ", found[0])}
		}
		return e, condition, fmt.Errorf("%s has schema version %v, this program knows %d", path, v, schemaVersion)
	case n != int64(1) || tables[1] != float64(1):
		return e, condition, &damageError{fmt.Sprintf("the schema is not that of version %d", schemaVersion)}
	default:
		if err = e.verify(); err != nil {
			return e, condition, err
		}
	}
	if err = e.prepare(); err != nil {
		return e, condition, err
	}
	// What an earlier process wrote may have been read from the page cache without being on disk. It must be durable before
	// anybody acts on it.
	if _, _, err := e.checkpoint(true); err != nil {
		o.Log(fmt.Sprintf("%s: checkpoint: %v", path, err))
		if err := syncFile(path + "-wal"); err != nil { // the disk may be full: the content can still be read
			return e, condition, err
		}
	}
	reserveLog(path + "-wal")
	return e, condition, nil
}

// reserveLog allocates the space that the log needs until the next checkpoint, so that writes go on when others fill the disk.
// The file size doesn't change. Errors are ignored: the log then has no reserve.
func reserveLog(path string) {
	if f, err := os.OpenFile(path, os.O_WRONLY, 0); err == nil {
		syscall.Fallocate(int(f.Fd()), fallocKeepSize, 0, walHeader+checkpointFrames*walFrame+maxGroupBytes)
		f.Close()
	}
}

func syncFile(path string) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// inspect checks without SQLite whether the file exists, and whether its header can be that of a database of this package.
func inspect(path string) (Condition, error) {
	log, err := os.Stat(path + "-wal")
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Empty, err
	}
	hasLog := err == nil && log.Size() > walHeader
	f, err := os.Open(path)
	switch {
	case errors.Is(err, fs.ErrNotExist) && hasLog:
		return Damaged, &damageError{"a log without its database"}
	case errors.Is(err, fs.ErrNotExist):
		return Empty, nil
	case err != nil:
		return Empty, err
	}
	defer f.Close() // before SQLite opens it: closing a file drops all locks that the process has on it
	var head [100]byte
	switch n, err := io.ReadFull(f, head[:]); {
	case n == 0 && err == io.EOF && hasLog:
		return Damaged, &damageError{"a log with an empty database"}
	case n == 0 && err == io.EOF:
		return Empty, nil
	case err != nil && err != io.ErrUnexpectedEOF:
		return Empty, err
	case n < len(head), string(head[:16]) != "SQLite format 3\x00",
		int(head[16])<<8|int(head[17]) != pageSize, head[20] != 0, head[21] != 64, head[22] != 32, head[23] != 32:
		return Damaged, &damageError{"the header of the file is not valid"}
	}
	return Intact, nil
}

// fileOps renames and removes files in a folder. A change is durable once the folder is synced; before that, a loss of power may
// keep or undo each change independently.
type fileOps struct {
	rename func(from, to string) error
	remove func(path string) error
	sync   func(dir string) error
}

var osFileOps = fileOps{os.Rename, os.Remove, syncDir}

// quarantine renames the files, replacing those quarantined before. The database goes first, and durably so: a log without a
// database is recognized as damage, while a database without its log would be taken as intact.
func quarantine(path string, n fileOps) error {
	for _, s := range suffixes {
		if err := n.rename(path+s, path+damagedSuffix+s); err != nil && !errors.Is(err, fs.ErrNotExist) {
			if err := n.remove(path + s); err != nil {
				return err
			}
		}
		if err := n.sync(filepath.Dir(path)); err != nil {
			return err
		}
	}
	return nil
}

// makeDir creates the folder, durably.
func makeDir(dir string) error {
	if info, err := os.Stat(dir); err == nil {
		if !info.IsDir() {
			return &fs.PathError{Op: "open", Path: dir, Err: syscall.ENOTDIR}
		}
		return nil
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	return syncDir(filepath.Dir(dir))
}

// synchronousMode returns SQLite's setting for syncing commits.
func (o Options) synchronousMode() string {
	if o.SimulatedDisk != nil {
		return "OFF"
	}
	return "FULL"
}

// syncNames syncs a folder, unless the disk is simulated.
func (o Options) syncNames(dir string) error {
	if o.SimulatedDisk != nil {
		return nil
	}
	return syncDir(dir)
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// truncateFile durably shortens the log to size bytes, if it is longer. SQLite has no locks on the log that closing it would drop.
func truncateFile(path string, size int64) error {
	f, err := os.OpenFile(path, os.O_WRONLY, 0)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil || info.Size() <= size {
		return err
	}
	if err := f.Truncate(size); err != nil {
		return err
	}
	return f.Sync()
}

// wrap returns an error that is one of the exported errors of this package.
func wrap(err error) error {
	if err == nil {
		return nil
	}
	for _, known := range []error{ErrBusy, ErrFull, ErrStalled, ErrDisk} {
		if errors.Is(err, known) {
			return err
		}
	}
	var sqliteErr sqlite3.Error
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) ||
		errors.As(err, &sqliteErr) && (sqliteErr.Code == sqlite3.ErrFull || sqliteErr.SystemErrno == syscall.ENOSPC || sqliteErr.SystemErrno == syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return fmt.Errorf("%w: %w", ErrDisk, err)
}
