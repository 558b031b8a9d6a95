package log

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"saltmast/internal/requestlog"
)

func benchIntent(i, k int) requestlog.Intent {
	return requestlog.Intent{Request: fmt.Sprintf("%08x%08x", i, k), Class: "sale-settle", Account: "fleet-7731", Server: "auth-03.kol.1", Addr: "10.20.30.40:8443", At: time.Now()}
}

// BenchmarkSettle makes an intent durable and writes an outcome, so many at a time.
func BenchmarkSettle(b *testing.B) {
	for _, n := range []int{1, 16, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w, err := Open(Options{FS: Dir(b.TempDir())})
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			b.ResetTimer()
			var done sync.WaitGroup
			for i := range n {
				done.Add(1)
				go func() {
					defer done.Done()
					for k := range b.N/n + 1 {
						t, err := w.Intent(context.Background(), benchIntent(i, k))
						if err != nil {
							b.Error(err)
							return
						}
						w.Outcome(t, requestlog.Served, 200)
					}
				}()
			}
			done.Wait()
			b.StopTimer()
			w.Close()
		})
	}
}

// BenchmarkRead reads a journal for what stands open, as a start does.
func BenchmarkRead(b *testing.B) {
	dir := Dir(b.TempDir())
	w, err := Open(Options{FS: dir})
	if err != nil {
		b.Fatal(err)
	}
	var done sync.WaitGroup
	for i := range 64 {
		done.Add(1)
		go func() {
			defer done.Done()
			for k := range 1000 {
				if t, err := w.Intent(context.Background(), benchIntent(i, k)); err == nil {
					w.Outcome(t, requestlog.Served, 200)
				}
			}
		}()
	}
	done.Wait()
	w.Close()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		rep, err := Read(dir, requestlog.NewBook(func(*requestlog.Intent) bool { return false }))
		if err != nil || !rep.Certain {
			b.Fatal(rep, err)
		}
		b.SetBytes(rep.Bytes)
	}
}
