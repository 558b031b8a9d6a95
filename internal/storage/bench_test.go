package storage

import (
	"database/sql"
	"encoding/binary"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
)

func cpuNanos() float64 {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Nano() + u.Stime.Nano())
}

// writtenBytes returns how many bytes the process has caused to be written to disks, as counted by the kernel.
func writtenBytes() float64 {
	b, _ := os.ReadFile("/proc/self/io")
	for l := range strings.SplitSeq(string(b), "\n") {
		var n float64
		if _, err := fmt.Sscanf(l, "write_bytes: %f", &n); err == nil {
			return n
		}
	}
	return 0
}

func benchPuts(n, at int) []Put {
	puts := make([]Put, n)
	for i := range puts {
		key := binary.BigEndian.AppendUint64(make([]byte, 0, 16), uint64(at*n+i)*0x9e3779b97f4a7c15)
		puts[i] = Put{Table(1), binary.BigEndian.AppendUint64(key, uint64(at%500*n+i)), make([]byte, 100)}
	}
	return puts
}

// BenchmarkTransaction measures transactions of 20 puts and of one put, of 116 bytes under random keys, on the disk of the
// temporary folder. It compares this package with database/sql.
func BenchmarkTransaction(b *testing.B) {
	const n = 20
	report := func(b *testing.B, n int, cpuBefore, writtenBefore float64) {
		b.ReportMetric((cpuNanos()-cpuBefore)/float64(b.N*n)/1e3, "cpu-µs/put")
		b.ReportMetric((writtenBytes()-writtenBefore)/float64(b.N*n), "disk-B/put")
	}
	for _, n := range []int{n, 1} {
		b.Run(fmt.Sprint("hold-", n), func(b *testing.B) {
			db := openDB(b, b.TempDir(), Empty)
			defer db.Close()
			cpuBefore, writtenBefore := cpuNanos(), writtenBytes()
			for i := range b.N {
				if err := writePuts(db, benchPuts(n, i)...); err != nil {
					b.Fatal(err)
				}
			}
			report(b, n, cpuBefore, writtenBefore)
		})
	}
	b.Run("database-sql", func(b *testing.B) {
		db, err := sql.Open("sqlite3", "file:"+b.TempDir()+"/x?_busy_timeout=0&_mutex=no&_locking_mode=EXCLUSIVE&_synchronous=FULL")
		if err != nil {
			b.Fatal(err)
		}
		defer db.Close()
		db.SetMaxOpenConns(1)
		for _, q := range []string{"PRAGMA journal_mode=WAL", "PRAGMA wal_autocheckpoint=256", schema} {
			if _, err := db.Exec(q); err != nil {
				b.Fatal(err)
			}
		}
		put, err := db.Prepare("INSERT OR REPLACE INTO kv(t,k,v) VALUES(?,?,?)")
		if err != nil {
			b.Fatal(err)
		}
		cpuBefore, writtenBefore := cpuNanos(), writtenBytes()
		for i := range b.N {
			tx, err := db.Begin()
			if err != nil {
				b.Fatal(err)
			}
			s := tx.Stmt(put)
			for _, p := range benchPuts(n, i) {
				if _, err := s.Exec(int64(p.Table), p.Key, p.Value); err != nil {
					b.Fatal(err)
				}
			}
			if err := tx.Commit(); err != nil {
				b.Fatal(err)
			}
		}
		report(b, n, cpuBefore, writtenBefore)
	})
}

// BenchmarkOpen opens and verifies a database with 10,000 rows of 116 bytes, and loads them.
func BenchmarkOpen(b *testing.B) {
	dir := b.TempDir()
	db := openDB(b, dir, Empty)
	for i := range 500 {
		if err := writePuts(db, benchPuts(20, i)...); err != nil {
			b.Fatal(err)
		}
	}
	db.Close()
	cpuBefore := cpuNanos()
	b.ResetTimer()
	for range b.N {
		db := openDB(b, dir, Intact)
		db.Load(1, func(k, v []byte) error { return nil })
		db.Close()
	}
	b.ReportMetric((cpuNanos()-cpuBefore)/float64(b.N)/1e6, "cpu-ms/open")
	if info, err := os.Stat(dir + "/hold.db"); err == nil {
		b.ReportMetric(float64(info.Size()), "file-B")
	}
}
