package log

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"saltmast/internal/requestlog"
)

// closed is a journal of several segments that ended in order, and what is in it.
func closed(t *testing.T) (*memFS, *model) {
	t.Helper()
	fsys, m := newMemFS(), newModel()
	w, err := Open(options(fsys))
	if err != nil {
		t.Fatal(err)
	}
	work(w, m)
	work(w, m)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return fsys, m
}

// with is the folder with one file changed.
func with(fsys *memFS, name string, b []byte) *memFS {
	out := newMemFS()
	for n, f := range fsys.names {
		out.names[n] = &memFile{fs: out, data: f.data}
	}
	out.names[name] = &memFile{fs: out, data: b}
	return out
}

// holds checks that nothing false is claimed, whatever was damaged: what is not known for certain can't be told.
func (m *model) holds(t *testing.T, book *requestlog.Book, what string) {
	t.Helper()
	for id := range m.acked {
		f := book.Find(id, time.Time{}, time.Time{})
		result, told := m.claimed[id]
		proven := told && (result == requestlog.ConnectFailed || result == requestlog.NotSent)
		if f.Answer == requestlog.NeverHanded && !proven {
			t.Fatalf("%s: %s may have gone out, and is claimed never to have", what, id)
		}
		if f.Answer == requestlog.Answered && (!told || f.Attempt.Outcome.Result != result) {
			t.Fatalf("%s: %s is claimed to be answered with %v", what, id, f.Attempt.Outcome.Result)
		}
	}
}

// One byte is flipped, each in its turn: nothing false is claimed, the report names the place, and the rest is read.
func TestFlippedBytes(t *testing.T) {
	fsys, m := closed(t)
	names, _ := segments(fsys)
	whole := requestlog.NewBook(nil)
	if _, err := Read(fsys, whole); err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		b := fsys.names[n.Name].data
		s := readSegment(n.Name, b)
		for at := 0; at < len(b); at += 23 {
			bad := append([]byte(nil), b...)
			bad[at] ^= 1 << (at % 8)
			book := requestlog.NewBook(nil)
			rep, err := Read(with(fsys, n.Name, bad), book)
			if err != nil {
				t.Fatal(err)
			}
			what := fmt.Sprintf("%s byte %d", n.Name, at)
			m.holds(t, book, what)
			if at < headerLen {
				if rep.Certain {
					t.Fatalf("%s: not noticed", what)
				}
				continue
			}
			var hit raw // the record that it hits
			padding := false
			for _, r := range s.records {
				end := r.offset + recordLen + int64(len(r.payload)) + 1
				if int64(at) >= r.offset && int64(at) < r.offset+int64(sizeOf(len(r.payload))) {
					hit, padding = r, int64(at) >= end
				}
			}
			if padding {
				if !rep.Certain {
					t.Fatalf("%s: zeros behind a record are no part of it: %v", what, rep.Losses)
				}
				continue
			}
			if rep.Certain || rep.Losses[0].Offset != hit.offset {
				t.Fatalf("%s: the record at %d is damaged; told: %v", what, hit.offset, rep.Losses)
			}
			if got, want := book.Stat(), whole.Stat(); got.Intents+got.Outcomes < want.Intents+want.Outcomes-1 {
				t.Fatalf("%s: %d of %d records are left", what, got.Intents+got.Outcomes, want.Intents+want.Outcomes)
			}
		}
	}
}

// A segment that lost its end is noticed by what the next one says of it; one that is gone altogether by its number.
func TestCutSegments(t *testing.T) {
	fsys, m := closed(t)
	names, _ := segments(fsys)
	first := names[0].Name
	b := fsys.names[first].data
	next := readSegment(names[1].Name, fsys.names[names[1].Name].data)
	follows, _ := requestlog.Decode(next.records[0].payload)
	known := follows.(*requestlog.Follows).Stable // outcomes behind that weren't synced when it was written
	for cut := headerLen; cut < len(b); cut += 40 {
		book := requestlog.NewBook(nil)
		rep, err := Read(with(fsys, first, b[:cut]), book)
		if err != nil {
			t.Fatal(err)
		}
		if s := readSegment(first, b[:cut]); rep.Certain && s.count() < known {
			t.Fatalf("cut at %d of %d: not noticed", cut, len(b))
		}
		m.holds(t, book, fmt.Sprint("cut at ", cut))
	}
	gone := with(fsys, first, b)
	delete(gone.names, names[1].Name)
	book := requestlog.NewBook(nil)
	if rep, err := Read(gone, book); err != nil || rep.Certain || rep.Losses[0].Segment != 2 {
		t.Errorf("a segment is gone: %+v, %v", rep, err)
	}
	m.holds(t, book, "a segment is gone")
}

// What a newer program wrote is passed over and told; the rest is read, and nothing is claimed of what may stand there.
func TestNewerVersions(t *testing.T) {
	fsys, m := closed(t)
	names, _ := segments(fsys)
	name := names[0].Name
	s := readSegment(name, fsys.names[name].data)
	r := s.records[3]
	b := append([]byte(nil), fsys.names[name].data...)
	b[r.offset+recordLen+1] = requestlog.Version + 1
	head := b[r.offset : r.offset+recordLen+int64(len(r.payload))+1]
	binary.LittleEndian.PutUint32(head[4:], sum(s.head.salt, head))
	book := requestlog.NewBook(nil)
	rep, err := Read(with(fsys, name, b), book)
	if err != nil || rep.Newer != 1 || rep.Certain || !rep.Losses[0].Newer {
		t.Errorf("a newer record: %+v, %v", rep, err)
	}
	m.holds(t, book, "a newer record")
	b = append([]byte(nil), fsys.names[name].data...)
	binary.LittleEndian.PutUint16(b[8:], version+1)
	book = requestlog.NewBook(nil)
	rep, err = Read(with(fsys, name, b), book)
	if err != nil || rep.Certain || !strings.Contains(rep.Segments[0].Note, "newer") || book.Stat().Intents == 0 {
		t.Errorf("a newer segment: %+v, %v", rep, err)
	}
	m.holds(t, book, "a newer segment")
}

// Whoever reads beside the writer sees no damage, however often segments end meanwhile.
func TestReadBesideTheWriter(t *testing.T) {
	dir := t.TempDir()
	w, err := Open(options(Dir(dir)))
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 300 {
			ticket, err := w.Intent(context.Background(), intentOf(fmt.Sprint(i)))
			if err != nil {
				t.Error(err)
				return
			}
			w.Outcome(ticket, requestlog.Served, 200)
		}
	}()
	for reads := 0; ; reads++ {
		book := requestlog.NewBook(nil)
		rep, err := Read(Dir(dir), book)
		if err != nil || !rep.Certain {
			t.Fatalf("read %d: %v, %v", reads, rep, err)
		}
		select {
		case <-done:
			if n := book.Stat().Intents; n < 200 {
				t.Errorf("%d intents", n)
			}
			return
		default:
		}
	}
}

// A folder has one writer; retention keeps to its size and never takes what is still written to; what a crash left half
// made goes.
func TestFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a", "b")
	o := options(Dir(dir))
	o.Most = 3 * MinSegment
	w, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(options(Dir(dir))); !errors.Is(err, ErrHeld) || !strings.Contains(err.Error(), dir) {
		t.Errorf("a second writer: %v", err)
	}
	held, err := w.Intent(context.Background(), intentOf("held")) // its outcome is long in coming
	if err != nil {
		t.Fatal(err)
	}
	m := newModel()
	for range 5 {
		work(w, m)
	}
	names, _ := segments(Dir(dir))
	if n, _ := number(names[0].Name); n != 1 {
		t.Errorf("a segment that waits for an outcome was removed: the first is %d", n)
	}
	w.Outcome(held, requestlog.Served, 200)
	for range 5 {
		m.open = nil
		for range 100 {
			m.intent(w)
			m.outcome(w, true, requestlog.Served)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if names, _ = segments(Dir(dir)); len(names) == 0 {
		t.Fatal("nothing is left")
	}
	if err := os.WriteFile(filepath.Join(dir, segmentName(1<<20)+newSuffix), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	if w, err = Open(o); err != nil {
		t.Fatal(err)
	}
	w.Close()
	if _, err := os.Stat(filepath.Join(dir, segmentName(1<<20)+newSuffix)); !errors.Is(err, os.ErrNotExist) {
		t.Error("what a crash left half made is still there")
	}
	if _, err := Open(Options{FS: Dir(filepath.Join(dir, "lock", "under-a-file"))}); err == nil {
		t.Error("a folder that can't be made")
	}
}

// The wall clock steps back: the journal's order stays, and the step is told.
func TestClockStepsBack(t *testing.T) {
	fsys := newMemFS()
	now := time.Unix(1e9, 0)
	var mu sync.Mutex
	o := options(fsys)
	o.Now = func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
	w, err := Open(o)
	if err != nil {
		t.Fatal(err)
	}
	one, _ := w.Intent(context.Background(), requestlog.Intent{Request: "one", At: now})
	mu.Lock()
	now = now.Add(-time.Hour)
	mu.Unlock()
	w.Intent(context.Background(), requestlog.Intent{Request: "two", At: now})
	w.Outcome(one, requestlog.Served, 200)
	w.Close()
	book := requestlog.NewBook(nil)
	if _, err := Read(fsys, book); err != nil {
		t.Fatal(err)
	}
	if s := book.Stat(); s.ClockBack != 1 || s.Open != 1 {
		t.Errorf("%+v", s)
	}
	if f := book.Find("one", time.Time{}, time.Time{}); f.Answer != requestlog.Answered {
		t.Errorf("%v", f.Answer)
	}
}
