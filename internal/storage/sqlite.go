package storage

import (
	"context"
	"database/sql/driver"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net/url"
	"os"

	sqlite3 "github.com/mattn/go-sqlite3"
)

// engine is what the hold asks of its database. Tests put one between that fails.
type engine interface {
	begin() error
	put(p *Put) error // in force with the commit
	commit() error
	rollback() error
	inTransaction() bool // a transaction is open
	each(t Table, f func(key, value []byte) error) error
	// checkpoint moves what the log (the -wal file) holds into the database, or only counts: frames of the log that are in
	// force, and those of them that the database has for certain.
	checkpoint(move bool) (frames, moved int, err error)
	// grow takes room on the disk for more pages. Until then puts that need them fail, as moving the log would.
	grow() error
	close() error // moves the log first, if it can
}

// A row of kv is a key with its value behind a CRC-32C (little-endian) of table, key and value: SQLite has no sums of its
// own outside the log.
const (
	schemaVersion = 1
	schema        = "CREATE TABLE kv(t INTEGER, k BLOB, v BLOB, PRIMARY KEY(t,k)) WITHOUT ROWID"
	pageSize      = 4096
	walHeader     = 32
	walFrame      = 24 + pageSize
	checksumBytes = 4
	chunkPages    = 64 // hold.db grows by so many: 256 KiB
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(t Table, key, value []byte) uint32 {
	head := [5]byte{byte(t)}
	binary.LittleEndian.PutUint32(head[1:], uint32(len(key)))
	c := crc32.Update(0, castagnoli, head[:])
	return crc32.Update(crc32.Update(c, castagnoli, key), castagnoli, value)
}

// damageError says that the content of the files is not what was written.
type damageError struct{ why string }

func (e *damageError) Error() string { return e.why }

// sqliteEngine is the store: a connection of the driver, without database/sql, which costs a lock and a few allocations per call.
type sqliteEngine struct {
	conn                                                                                          *sqlite3.SQLiteConn
	beginStmt, commitStmt, rollbackStmt, putStmt, deleteStmt, eachStmt, checkpointStmt, countStmt *sqlite3.SQLiteStmt
	args                                                                                          [3]driver.NamedValue
	tableArgs                                                                                     [256]driver.Value // boxed once
	buf                                                                                           []byte
	path                                                                                          string
	maxPages, maxPagesEver                                                                        int64 // that the file may have now, and ever
}

var background = context.Background()

// connect opens the file, or makes an empty one. Nothing of the schema is looked at.
func connect(path string, maxPages int64, sync string) (*sqliteEngine, error) {
	// EXCLUSIVE before the first access to the log keeps its index on the heap: no -shm file, nothing mapped.
	u := url.URL{Scheme: "file", Path: path, RawQuery: "_busy_timeout=0&_mutex=no&_locking_mode=EXCLUSIVE&_synchronous=" + sync}
	conn, err := (&sqlite3.SQLiteDriver{}).Open(u.String())
	if err != nil {
		return nil, err
	}
	l := &sqliteEngine{conn: conn.(*sqlite3.SQLiteConn), path: path, maxPages: maxPages, maxPagesEver: maxPages}
	for _, q := range []string{
		fmt.Sprintf("PRAGMA page_size=%d", pageSize),
		"PRAGMA temp_store=MEMORY", "PRAGMA mmap_size=0", "PRAGMA cache_size=-1024", "PRAGMA cell_size_check=ON",
		"PRAGMA wal_autocheckpoint=0", fmt.Sprintf("PRAGMA max_page_count=%d", maxPages),
	} {
		if _, err := l.conn.Exec(q, nil); err != nil {
			l.close()
			return nil, err
		}
	}
	mode, err := l.queryRow("PRAGMA journal_mode=WAL")
	if err == nil {
		err = l.conn.SetFileControlInt("main", sqlite3.SQLITE_FCNTL_CHUNK_SIZE, chunkPages*pageSize)
	}
	if err == nil && mode[0] != "wal" {
		err = fmt.Errorf("the journal's mode is %v, not wal", mode[0])
	}
	if err != nil {
		l.close()
		return nil, err
	}
	return l, nil
}

// prepare keeps the statements, once the schema is there.
func (l *sqliteEngine) prepare() error {
	for _, p := range []struct {
		to  **sqlite3.SQLiteStmt
		sql string
	}{
		{&l.beginStmt, "BEGIN IMMEDIATE"}, {&l.commitStmt, "COMMIT"}, {&l.rollbackStmt, "ROLLBACK"},
		{&l.putStmt, "INSERT OR REPLACE INTO kv(t,k,v) VALUES(?,?,?)"}, {&l.deleteStmt, "DELETE FROM kv WHERE t=? AND k=?"},
		{&l.eachStmt, "SELECT k,v FROM kv WHERE t=? ORDER BY k"},
		{&l.checkpointStmt, "PRAGMA wal_checkpoint(PASSIVE)"}, {&l.countStmt, "PRAGMA wal_checkpoint(NOOP)"},
	} {
		s, err := l.conn.Prepare(p.sql)
		if err != nil {
			return err
		}
		*p.to = s.(*sqlite3.SQLiteStmt)
	}
	for i := range l.tableArgs {
		l.tableArgs[i] = int64(i)
	}
	for i := range l.args {
		l.args[i].Ordinal = i + 1
	}
	return nil
}

func execStmt(s *sqlite3.SQLiteStmt, args []driver.NamedValue) error {
	_, err := s.ExecContext(background, args)
	return err
}

func (l *sqliteEngine) begin() error        { return execStmt(l.beginStmt, nil) }
func (l *sqliteEngine) commit() error       { return execStmt(l.commitStmt, nil) }
func (l *sqliteEngine) rollback() error     { return execStmt(l.rollbackStmt, nil) }
func (l *sqliteEngine) inTransaction() bool { return !l.conn.AutoCommit() }

var noKey = []byte{}

func (l *sqliteEngine) put(p *Put) error {
	key := p.Key
	if key == nil {
		key = noKey // nil would be NULL
	}
	l.args[0].Value, l.args[1].Value = l.tableArgs[p.Table], key
	if p.Value == nil {
		return execStmt(l.deleteStmt, l.args[:2])
	}
	l.buf = binary.LittleEndian.AppendUint32(l.buf[:0], checksum(p.Table, key, p.Value))
	l.buf = append(l.buf, p.Value...)
	l.args[2].Value = l.buf
	return execStmt(l.putStmt, l.args[:])
}

func (l *sqliteEngine) each(t Table, f func(key, value []byte) error) error {
	l.args[0].Value = l.tableArgs[t]
	rows, err := l.eachStmt.QueryContext(background, l.args[:1])
	if err != nil {
		return err
	}
	defer rows.Close()
	var row [2]driver.Value
	for {
		switch err := rows.Next(row[:]); {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		key, value, err := verifyRow(t, row[0], row[1])
		if err != nil {
			return err
		}
		if err := f(key, value); err != nil {
			return err
		}
	}
}

// verifyRow is a row's key and value as they were put.
func verifyRow(t Table, k, v driver.Value) (key, value []byte, err error) {
	key, ok := k.([]byte)
	sealed, ok2 := v.([]byte)
	if !ok || !ok2 || len(sealed) < checksumBytes || binary.LittleEndian.Uint32(sealed) != checksum(t, key, sealed[checksumBytes:]) {
		return nil, nil, &damageError{fmt.Sprintf("table %d: the sum of a row is wrong", t)}
	}
	return key, sealed[checksumBytes:len(sealed):len(sealed)], nil
}

// verify looks at the structure of the file and at the sum of each row.
func (l *sqliteEngine) verify() error {
	found, err := l.queryRow("PRAGMA quick_check(1)")
	if err != nil {
		return err
	}
	if s, _ := found[0].(string); s != "ok" {
		return &damageError{fmt.Sprint("quick_check: ", found[0])}
	}
	rows, err := l.conn.Query("SELECT t,k,v FROM kv", nil)
	if err != nil {
		return err
	}
	defer rows.Close()
	var row [3]driver.Value
	for {
		switch err := rows.Next(row[:]); {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		t, ok := row[0].(int64)
		if !ok || t < 0 || t > 255 {
			return &damageError{fmt.Sprintf("a row of table %v", row[0])}
		}
		if _, _, err := verifyRow(Table(t), row[1], row[2]); err != nil {
			return err
		}
	}
}

// queryRow is the first row of a query's answer.
func (l *sqliteEngine) queryRow(query string) ([]driver.Value, error) {
	rows, err := l.conn.Query(query, nil)
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	row := make([]driver.Value, len(rows.Columns()))
	if err := rows.Next(row); err != nil {
		return nil, err
	}
	return row, nil
}

func (l *sqliteEngine) checkpoint(move bool) (frames, moved int, err error) {
	s := l.countStmt
	if move {
		s = l.checkpointStmt
	}
	rows, err := s.QueryContext(background, nil)
	if err != nil {
		return 0, 0, err
	}
	defer rows.Close()
	var row [3]driver.Value
	if err := rows.Next(row[:]); err != nil {
		return 0, 0, err
	}
	rows.Close()
	if move {
		if err := l.limitToAllocated(); err != nil {
			return 0, 0, err
		}
	}
	a, _ := row[1].(int64)
	b, _ := row[2].(int64)
	return int(max(a, 0)), int(max(b, 0)), nil
}

// limitToAllocated lets the file have the pages that it has room for on the disk, so that moving the log never needs more. SQLite cuts
// it to a whole number of chunks with each moving.
func (l *sqliteEngine) limitToAllocated() error {
	info, err := os.Stat(l.path)
	if err != nil {
		return err
	}
	return l.setMaxPages(min(info.Size()/pageSize, l.maxPagesEver))
}

func (l *sqliteEngine) setMaxPages(pages int64) error {
	if pages == l.maxPages {
		return nil
	}
	_, err := l.conn.Exec(fmt.Sprintf("PRAGMA max_page_count=%d", max(pages, 1)), nil)
	if err == nil {
		l.maxPages = pages
	}
	return err
}

func (l *sqliteEngine) grow() error {
	if l.maxPages >= l.maxPagesEver {
		return errors.New("the file's bound is reached")
	}
	// SQLite writes a byte to each block. Its error doesn't reach the driver: what counts is how far it came.
	before := l.maxPages
	if err := l.conn.SetFileControlInt64("main", sqlite3.SQLITE_FCNTL_SIZE_HINT, (l.maxPages+1)*pageSize); err != nil {
		return err
	}
	if err := l.limitToAllocated(); err != nil {
		return err
	}
	if l.maxPages <= before {
		return errors.New("the disk has no room for more pages")
	}
	return nil
}

func (l *sqliteEngine) close() error {
	for _, s := range []*sqlite3.SQLiteStmt{l.beginStmt, l.commitStmt, l.rollbackStmt, l.putStmt, l.deleteStmt, l.eachStmt, l.checkpointStmt, l.countStmt} {
		if s != nil {
			s.Close()
		}
	}
	return l.conn.Close()
}
