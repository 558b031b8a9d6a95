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
	damagedSuffix  = ".damaged" // behind the name of a file that was damaged; one of each is kept
)

var suffixes = []string{"", "-wal", "-journal"}

// openFolder opens what stands in the folder, and begins anew where it is damaged.
func openFolder(o *Options) (engine, Condition, error) {
	if err := makeDir(o.Dir); err != nil {
		return nil, Empty, wrap(err)
	}
	path := filepath.Join(o.Dir, fileName)
	l, start, err := openFile(path, o)
	var damage *damageError
	if errors.As(err, &damage) {
		o.Log(fmt.Sprintf("%s is damaged and put aside: %v", path, err))
		if err := quarantine(path, osFileOps); err != nil {
			return nil, Damaged, wrap(fmt.Errorf("put aside what is damaged: %w", err))
		}
		start = Damaged
		l, _, err = openFile(path, o)
		if err = wrap(err); errors.Is(err, ErrFull) {
			o.Log("no room for a new file: the damaged ones are removed")
			for _, s := range suffixes {
				os.Remove(path + damagedSuffix + s)
				os.Remove(path + s) // what was begun
			}
			l, _, err = openFile(path, o)
		}
	}
	if err != nil {
		return nil, start, wrap(err)
	}
	if err := o.syncNames(o.Dir); err != nil { // before anything is told to be written, its files must have their names for certain
		l.close()
		return nil, start, wrap(err)
	}
	return l, start, nil
}

// openFile opens the file and looks at all of it, or makes one. Damage is a damageError.
func openFile(path string, o *Options) (l *sqliteEngine, start Condition, err error) {
	start, err = inspect(path)
	if err != nil {
		return nil, start, err
	}
	defer func() {
		if err == nil {
			return
		}
		if l != nil {
			l.close()
			l = nil
		}
		var e sqlite3.Error
		if errors.As(err, &e) && (e.Code == sqlite3.ErrCorrupt || e.Code == sqlite3.ErrNotADB) {
			err = &damageError{e.Error()}
		}
	}()
	if l, err = connect(path, max((o.MaxBytes+chunkPages*pageSize-1)/(chunkPages*pageSize), 1)*chunkPages, o.synchronousMode()); err != nil {
		return l, start, err
	}
	version, err := l.queryRow("PRAGMA user_version")
	if err != nil {
		return l, start, err
	}
	tables, err := l.queryRow("SELECT count(*), total(sql=" + "'" + schema + "') FROM sqlite_schema")
	if err != nil {
		return l, start, err
	}
	switch v, n := version[0], tables[0]; {
	case v == int64(0) && n == int64(0): // new, or its making was cut short
		start = Empty
		for _, q := range []string{"BEGIN IMMEDIATE", schema, fmt.Sprintf("PRAGMA user_version=%d", schemaVersion), "COMMIT"} {
			if _, err = l.conn.Exec(q, nil); err != nil {
				return l, start, err
			}
		}
	case v != int64(schemaVersion):
		if found, err := l.queryRow("PRAGMA quick_check(1)"); err != nil {
			return l, start, err
		} else if found[0] != "ok" {
			return l, start, &damageError{fmt.Sprint("quick_check: ", found[0])}
		}
		return l, start, fmt.Errorf("%s has schema version %v, this program knows %d", path, v, schemaVersion)
	case n != int64(1) || tables[1] != float64(1):
		return l, start, &damageError{fmt.Sprintf("the schema is not that of version %d", schemaVersion)}
	default:
		if err = l.verify(); err != nil {
			return l, start, err
		}
	}
	if err = l.prepare(); err != nil {
		return l, start, err
	}
	// What an earlier process wrote may have been read from memory and not be on the disk. Nobody may act on it before.
	if _, _, err := l.checkpoint(true); err != nil {
		o.Log(fmt.Sprintf("%s: moving the log: %v", path, err))
		if err := syncFile(path + "-wal"); err != nil { // the disk is full, perhaps: what is there can be read
			return l, start, err
		}
	}
	reserveLog(path + "-wal")
	return l, start, nil
}

// reserveLog takes the room that the log needs until it is moved, so that a disk that others fill doesn't stop the hold. Its
// size stays as it is. Where that can't be had, the hold does without.
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

// inspect reads what can be told without SQLite: whether there is a file, and whether its first page can be one of a hold.
func inspect(path string) (Condition, error) {
	log, err := os.Stat(path + "-wal")
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return Empty, err
	}
	logged := err == nil && log.Size() > walHeader
	f, err := os.Open(path)
	switch {
	case errors.Is(err, fs.ErrNotExist) && logged:
		return Damaged, &damageError{"a log without its database"}
	case errors.Is(err, fs.ErrNotExist):
		return Empty, nil
	case err != nil:
		return Empty, err
	}
	defer f.Close() // before SQLite opens it: closing a file drops the locks that the process has on it
	var head [100]byte
	switch n, err := io.ReadFull(f, head[:]); {
	case n == 0 && err == io.EOF && logged:
		return Damaged, &damageError{"a log with an empty database"}
	case n == 0 && err == io.EOF:
		return Empty, nil
	case err != nil && err != io.ErrUnexpectedEOF:
		return Empty, err
	case n < len(head), string(head[:16]) != "SQLite format 3\x00",
		int(head[16])<<8|int(head[17]) != pageSize, head[20] != 0, head[21] != 64, head[22] != 32, head[23] != 32:
		return Damaged, &damageError{"the header of the file is not a hold's"}
	}
	return Intact, nil
}

// fileOps changes the names of files in a folder. A change lasts for certain once the folder is synced; before that each may
// be kept or lost by itself at a loss of power.
type fileOps struct {
	rename func(from, to string) error
	remove func(path string) error
	sync   func(dir string) error
}

var osFileOps = fileOps{os.Rename, os.Remove, syncDir}

// quarantine puts the files aside, in the place of those of the time before. The database goes first, and for certain: a log
// without one is known as damage, while a database without its log would be taken for whole.
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

// makeDir makes the folder, and its name certain.
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

// synchronousMode is SQLite's word for how surely a commit is on the disk.
func (o Options) synchronousMode() string {
	if o.SimulatedDisk != nil {
		return "OFF"
	}
	return "FULL"
}

// syncNames is syncDir for a disk that is one.
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

// truncateFile ends the log behind so many bytes, for certain. SQLite has no locks on it that would go with the file's closing.
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

// wrap puts an error into the closed list.
func wrap(err error) error {
	if err == nil {
		return nil
	}
	for _, known := range []error{ErrBusy, ErrFull, ErrStalled, ErrDisk} {
		if errors.Is(err, known) {
			return err
		}
	}
	var e sqlite3.Error
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) ||
		errors.As(err, &e) && (e.Code == sqlite3.ErrFull || e.SystemErrno == syscall.ENOSPC || e.SystemErrno == syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", ErrFull, err)
	}
	return fmt.Errorf("%w: %w", ErrDisk, err)
}
