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

// engine is the database below a DB. Tests insert one that fails.
type engine interface {
	begin() error
	put(p *Put) error // takes effect with the commit
	commit() error
	rollback() error
	inTransaction() bool
	each(t Table, f func(key, value []byte) error) error
	// checkpoint moves the content of the log (the -wal file) into the database if move is set. It returns the number of valid
	// frames in the log, and how many of them are durably in the database.
	checkpoint(move bool) (frames, moved int, err error)
	// grow allocates disk space for more pages. Without it, puts that need them fail, so that a checkpoint never runs out of space.
	grow() error
	close() error // checkpoints the log first, if possible
}

// A row of kv is a key and a value that is preceded by a CRC-32C (little-endian) of table, key and value, since SQLite has
// checksums only in the log.
const (
	schemaVersion = 1
	schema        = "CREATE TABLE kv(t INTEGER, k BLOB, v BLOB, PRIMARY KEY(t,k)) WITHOUT ROWID"
	pageSize      = 4096
	walHeader     = 32
	walFrame      = 24 + pageSize
	checksumBytes = 4
	chunkPages    = 64 // by which hold.db grows: 256 KiB
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum returns the checksum that is stored with a row.
func checksum(t Table, key, value []byte) uint32 {
	head := [5]byte{byte(t)}
	binary.LittleEndian.PutUint32(head[1:], uint32(len(key)))
	c := crc32.Update(0, castagnoli, head[:])
	return crc32.Update(crc32.Update(c, castagnoli, key), castagnoli, value)
}

// damageError reports that the content of the files is not what was written.
type damageError struct{ why string }

func (e *damageError) Error() string { return e.why }

// sqliteEngine implements engine with a connection of the SQLite driver. It avoids database/sql, which costs a lock and a few
// allocations per call.
type sqliteEngine struct {
	conn                                                                                          *sqlite3.SQLiteConn
	beginStmt, commitStmt, rollbackStmt, putStmt, deleteStmt, eachStmt, checkpointStmt, countStmt *sqlite3.SQLiteStmt
	args                                                                                          [3]driver.NamedValue
	tableArgs                                                                                     [256]driver.Value // as driver values, to avoid allocations
	buf                                                                                           []byte
	path                                                                                          string
	maxPages, pageLimit                                                                           int64 // pages that the file may have now, and at most
}

var background = context.Background()

// connect opens or creates the file. It doesn't read the schema.
func connect(path string, maxPages int64, sync string) (*sqliteEngine, error) {
	// With EXCLUSIVE set before the first access, SQLite keeps the log's index on the heap: no -shm file, no memory mapping.
	u := url.URL{Scheme: "file", Path: path, RawQuery: "_busy_timeout=0&_mutex=no&_locking_mode=EXCLUSIVE&_synchronous=" + sync}
	conn, err := (&sqlite3.SQLiteDriver{}).Open(u.String())
	if err != nil {
		return nil, err
	}
	e := &sqliteEngine{conn: conn.(*sqlite3.SQLiteConn), path: path, maxPages: maxPages, pageLimit: maxPages}
	for _, q := range []string{
		fmt.Sprintf("PRAGMA page_size=%d", pageSize),
		"PRAGMA temp_store=MEMORY", "PRAGMA mmap_size=0", "PRAGMA cache_size=-1024", "PRAGMA cell_size_check=ON",
		"PRAGMA wal_autocheckpoint=0", fmt.Sprintf("PRAGMA max_page_count=%d", maxPages),
	} {
		if _, err := e.conn.Exec(q, nil); err != nil {
			e.close()
			return nil, err
		}
	}
	mode, err := e.queryRow("PRAGMA journal_mode=WAL")
	if err == nil {
		err = e.conn.SetFileControlInt("main", sqlite3.SQLITE_FCNTL_CHUNK_SIZE, chunkPages*pageSize)
	}
	if err == nil && mode[0] != "wal" {
		err = fmt.Errorf("the journal mode is %v, not wal", mode[0])
	}
	if err != nil {
		e.close()
		return nil, err
	}
	return e, nil
}

// prepare prepares the statements. The schema must exist.
func (e *sqliteEngine) prepare() error {
	for _, p := range []struct {
		to  **sqlite3.SQLiteStmt
		sql string
	}{
		{&e.beginStmt, "BEGIN IMMEDIATE"}, {&e.commitStmt, "COMMIT"}, {&e.rollbackStmt, "ROLLBACK"},
		{&e.putStmt, "INSERT OR REPLACE INTO kv(t,k,v) VALUES(?,?,?)"}, {&e.deleteStmt, "DELETE FROM kv WHERE t=? AND k=?"},
		{&e.eachStmt, "SELECT k,v FROM kv WHERE t=? ORDER BY k"},
		{&e.checkpointStmt, "PRAGMA wal_checkpoint(PASSIVE)"}, {&e.countStmt, "PRAGMA wal_checkpoint(NOOP)"},
	} {
		s, err := e.conn.Prepare(p.sql)
		if err != nil {
			return err
		}
		*p.to = s.(*sqlite3.SQLiteStmt)
	}
	for i := range e.tableArgs {
		e.tableArgs[i] = int64(i)
	}
	for i := range e.args {
		e.args[i].Ordinal = i + 1
	}
	return nil
}

func execStmt(s *sqlite3.SQLiteStmt, args []driver.NamedValue) error {
	_, err := s.ExecContext(background, args)
	return err
}

func (e *sqliteEngine) begin() error        { return execStmt(e.beginStmt, nil) }
func (e *sqliteEngine) commit() error       { return execStmt(e.commitStmt, nil) }
func (e *sqliteEngine) rollback() error     { return execStmt(e.rollbackStmt, nil) }
func (e *sqliteEngine) inTransaction() bool { return !e.conn.AutoCommit() }

var noKey = []byte{}

func (e *sqliteEngine) put(p *Put) error {
	key := p.Key
	if key == nil {
		key = noKey // nil would be stored as NULL
	}
	e.args[0].Value, e.args[1].Value = e.tableArgs[p.Table], key
	if p.Value == nil {
		return execStmt(e.deleteStmt, e.args[:2])
	}
	e.buf = binary.LittleEndian.AppendUint32(e.buf[:0], checksum(p.Table, key, p.Value))
	e.buf = append(e.buf, p.Value...)
	e.args[2].Value = e.buf
	return execStmt(e.putStmt, e.args[:])
}

func (e *sqliteEngine) each(t Table, f func(key, value []byte) error) error {
	e.args[0].Value = e.tableArgs[t]
	rows, err := e.eachStmt.QueryContext(background, e.args[:1])
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

// verifyRow checks a row's checksum and returns its key and value.
func verifyRow(t Table, k, v driver.Value) (key, value []byte, err error) {
	key, ok := k.([]byte)
	sealed, ok2 := v.([]byte)
	if !ok || !ok2 || len(sealed) < checksumBytes || binary.LittleEndian.Uint32(sealed) != checksum(t, key, sealed[checksumBytes:]) {
		return nil, nil, &damageError{fmt.Sprintf("table %d: wrong checksum of a row", t)}
	}
	return key, sealed[checksumBytes:len(sealed):len(sealed)], nil
}

// verify checks the structure of the file and the checksum of each row.
func (e *sqliteEngine) verify() error {
	found, err := e.queryRow("PRAGMA quick_check(1)")
	if err != nil {
		return err
	}
	if s, _ := found[0].(string); s != "ok" {
		return &damageError{fmt.Sprint("quick_check: ", found[0])}
	}
	rows, err := e.conn.Query("SELECT t,k,v FROM kv", nil)
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
			return &damageError{fmt.Sprintf("a row of the invalid table %v", row[0])}
		}
		if _, _, err := verifyRow(Table(t), row[1], row[2]); err != nil {
			return err
		}
	}
}

// queryRow returns the first row of a query.
func (e *sqliteEngine) queryRow(query string) ([]driver.Value, error) {
	rows, err := e.conn.Query(query, nil)
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

func (e *sqliteEngine) checkpoint(move bool) (frames, moved int, err error) {
	s := e.countStmt
	if move {
		s = e.checkpointStmt
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
		if err := e.limitToAllocated(); err != nil {
			return 0, 0, err
		}
	}
	a, _ := row[1].(int64)
	b, _ := row[2].(int64)
	return int(max(a, 0)), int(max(b, 0)), nil
}

// limitToAllocated limits the file to the pages that are allocated on the disk, so that a checkpoint never needs more. SQLite
// truncates the file to a whole number of chunks in each checkpoint.
func (e *sqliteEngine) limitToAllocated() error {
	info, err := os.Stat(e.path)
	if err != nil {
		return err
	}
	return e.setMaxPages(min(info.Size()/pageSize, e.pageLimit))
}

func (e *sqliteEngine) setMaxPages(pages int64) error {
	if pages == e.maxPages {
		return nil
	}
	_, err := e.conn.Exec(fmt.Sprintf("PRAGMA max_page_count=%d", max(pages, 1)), nil)
	if err == nil {
		e.maxPages = pages
	}
	return err
}

func (e *sqliteEngine) grow() error {
	if e.maxPages >= e.pageLimit {
		return errors.New("the size limit of the file is reached")
	}
	// SQLite writes a byte to each block. The driver doesn't report its errors, so the resulting size is checked.
	before := e.maxPages
	if err := e.conn.SetFileControlInt64("main", sqlite3.SQLITE_FCNTL_SIZE_HINT, (e.maxPages+1)*pageSize); err != nil {
		return err
	}
	if err := e.limitToAllocated(); err != nil {
		return err
	}
	if e.maxPages <= before {
		return errors.New("no space left on the disk for more pages")
	}
	return nil
}

func (e *sqliteEngine) close() error {
	for _, s := range []*sqlite3.SQLiteStmt{e.beginStmt, e.commitStmt, e.rollbackStmt, e.putStmt, e.deleteStmt, e.eachStmt, e.checkpointStmt, e.countStmt} {
		if s != nil {
			s.Close()
		}
	}
	return e.conn.Close()
}
