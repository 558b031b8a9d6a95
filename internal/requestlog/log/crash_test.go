package log

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"saltmast/internal/requestlog"
)

// model is what is known to whoever uses the journal.
type model struct {
	n       int
	acked   map[string]*Ticket           // their attempts may go out
	unsent  map[string]bool              // these did not
	claimed map[string]requestlog.Result // outcomes that were told
	lost    map[string]bool              // outcomes that a crash may have taken
	open    []string
}

func newModel() *model {
	return &model{acked: map[string]*Ticket{}, unsent: map[string]bool{}, claimed: map[string]requestlog.Result{}, lost: map[string]bool{}}
}

func intentOf(id string) requestlog.Intent {
	return requestlog.Intent{Request: id, Class: "sale-settle", Account: "fleet-" + strings.Repeat("7", 150), Server: "s0", Addr: "127.0.0.1:1", At: time.Unix(1e9, 0)}
}

// intent asks for one more and notes what came of it.
func (m *model) intent(w *Writer) {
	id := fmt.Sprintf("r%d", m.n)
	m.n++
	switch t, err := w.Intent(context.Background(), intentOf(id)); {
	case err != nil:
		m.unsent[id] = true
	case t != nil:
		m.acked[id] = t
		m.open = append(m.open, id)
	}
}

// outcome tells the outcome of the oldest that is open, or of the newest.
func (m *model) outcome(w *Writer, newest bool, r requestlog.Result) {
	if len(m.open) == 0 {
		return
	}
	i := 0
	if newest {
		i = len(m.open) - 1
	}
	id := m.open[i]
	m.open = append(m.open[:i], m.open[i+1:]...)
	m.claimed[id] = r
	w.Outcome(m.acked[id], r, 200)
}

// check reads what is there and holds it against the model. A crash alone, or a disk that fails, never makes the journal
// unsure: all that it lost was never acted on.
func (m *model) check(t interface {
	Helper()
	Errorf(string, ...any)
}, fsys FS, synced bool) {
	t.Helper()
	book := requestlog.NewBook(nil)
	rep, err := Read(fsys, book)
	if err != nil {
		t.Errorf("read: %v", err)
		return
	}
	if !rep.Certain {
		t.Errorf("damage where there is none: %v", rep.Losses)
	}
	for i := range m.n {
		id := fmt.Sprintf("r%d", i)
		f := book.Find(id, time.Time{}, time.Time{})
		if m.acked[id] == nil {
			if f.Answer == requestlog.Answered || m.unsent[id] && f.Answer == requestlog.CannotTell {
				t.Errorf("%s was never sent: %v", id, f.Answer)
			}
			continue
		}
		result, told := m.claimed[id]
		proven := told && (result == requestlog.ConnectFailed || result == requestlog.NotSent)
		switch {
		case f.Answer == requestlog.CannotTell, f.Answer == requestlog.NeverHanded && !proven:
			t.Errorf("%s may have gone out: %v", id, f.Answer)
		case f.Answer == requestlog.Answered && (!told || f.Attempt.Outcome.Result != result):
			t.Errorf("%s: answered with %v, told %v", id, f.Attempt.Outcome.Result, result)
		case synced && told && !m.lost[id] && f.Attempt.Outcome == nil:
			t.Errorf("%s: its outcome %v is not there", id, result)
		}
	}
	if f := book.Find("never asked", time.Time{}, time.Time{}); f.Answer != requestlog.NeverHanded {
		t.Errorf("one that never came: %v, %v", f.Answer, f.Doubts)
	}
}

func options(fsys FS) Options { return Options{FS: fsys, Segment: MinSegment, Flush: time.Hour} }

// work is a run that fills several segments.
func work(w *Writer, m *model) {
	results := []requestlog.Result{requestlog.Served, requestlog.NoAnswer, requestlog.ConnectFailed, requestlog.Errored, requestlog.TurnedAway}
	for i := range 70 {
		m.intent(w)
		if i%3 != 0 {
			m.outcome(w, i%2 == 0, results[i%len(results)])
		}
	}
}

// The machine stops before every write, sync, renaming and removal of a run, and again during what follows.
func TestCrashAtEveryBoundary(t *testing.T) {
	defer goleak.VerifyNone(t)
	total := 0
	{
		fsys, m := newMemFS(), newModel()
		w, err := Open(options(fsys))
		if err != nil {
			t.Fatal(err)
		}
		work(w, m)
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		m.check(t, fsys, true)
		total = fsys.ops
		if names, _ := segments(fsys); len(names) < 2 {
			t.Fatalf("%d segments: the run is too short to rotate", len(names))
		}
	}
	for at := 1; at <= total; at++ {
		rng := rand.New(rand.NewPCG(uint64(at), 7))
		fsys, m := newMemFS(), newModel()
		fsys.crashAt = at
		if w, err := Open(options(fsys)); err == nil {
			work(w, m)
			w.Close()
		}
		image := fsys.crash(rng)
		m.check(t, image, false)
		for again := 1; again <= 8; again++ { // it stops once more while it takes the journal up
			image.crashAt = image.ops + again
			w, err := Open(options(image))
			if err == nil {
				m.intent(w)
				w.Close()
			}
			image = image.crash(rng)
			m.check(t, image, false)
		}
		w, err := Open(options(image))
		if err != nil {
			t.Fatalf("crash at %d: the journal can't be taken up: %v", at, err)
		}
		m.intent(w)
		m.outcome(w, true, requestlog.Served)
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		m.check(t, image, false)
		if t.Failed() {
			t.Fatalf("crash at operation %d of %d: %s", at, total, strings.Join(fsys.trace[max(0, at-5):min(at, len(fsys.trace))], ", "))
		}
	}
	t.Logf("%d boundaries", total)
}

// Every operation of a run fails once: with a disk that is full, a write that fails, a sync that fails and then says that
// all is well. What was vouched for stays, and the journal goes on.
func TestEveryOperationFailsOnce(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, why := range []error{syscall.ENOSPC, syscall.EIO, syscall.EROFS} {
		for at := 20; ; at++ {
			fsys, m := newMemFS(), newModel()
			var mu sync.Mutex
			n, hit := 0, false
			fsys.fail = func(op, _ string) error {
				mu.Lock()
				defer mu.Unlock()
				if n++; n == at {
					hit = true
					return why
				}
				return nil
			}
			o := options(fsys)
			w, err := Open(o)
			if err != nil {
				t.Fatal(err)
			}
			work(w, m)
			if err := w.Close(); err != nil {
				t.Fatal(err)
			}
			m.check(t, fsys, true)
			m.check(t, fsys.crash(rand.New(rand.NewPCG(uint64(at), 8))), false)
			if t.Failed() {
				t.Fatalf("%v at operation %d: %s", why, at, strings.Join(fsys.trace[max(0, at-5):min(at, len(fsys.trace))], ", "))
			}
			if !hit {
				break
			}
		}
	}
}

// The journal against a model of it, with everything that can go wrong in any order.
func TestJournalAgainstItsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 9))
		fsys, m := newMemFS(), newModel()
		var mu sync.Mutex
		broken := false // the disk takes nothing
		failSync := false
		install := func() {
			fsys.fail = func(op, _ string) error {
				mu.Lock()
				defer mu.Unlock()
				if broken && (op == "write" || op == "create") {
					return syscall.ENOSPC
				}
				if failSync && op == "sync" {
					failSync = false
					return syscall.EIO
				}
				return nil
			}
		}
		install()
		w, err := Open(options(fsys))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { w.Close() }()
		set := func(to *bool, v bool) { mu.Lock(); *to = v; mu.Unlock() }
		reopen := func(image *memFS) {
			set(&broken, false)
			set(&failSync, false)
			fsys = image
			install()
			m.open = nil // whoever waited for them has gone too
			for id := range m.claimed {
				m.lost[id] = true
			}
			if w, err = Open(options(fsys)); err != nil {
				t.Fatal(err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"intent": func(*rapid.T) { m.intent(w) },
			"intents": func(*rapid.T) {
				for range 20 {
					m.intent(w)
				}
			},
			"outcome": func(t *rapid.T) {
				m.outcome(w, rapid.Bool().Draw(t, "newest"), requestlog.Result(rapid.IntRange(1, 8).Draw(t, "result")))
			},
			"the disk fills up":       func(*rapid.T) { set(&broken, true) },
			"the disk has room again": func(*rapid.T) { set(&broken, false) },
			"a sync fails":            func(*rapid.T) { set(&failSync, true) },
			"stop": func(t *rapid.T) {
				set(&broken, false)
				set(&failSync, false)
				w.Close()
				m.check(t, fsys, true)
				reopen(fsys)
			},
			"crash": func(t *rapid.T) {
				fsys.mu.Lock()
				fsys.crashAt = fsys.ops + 1
				fsys.mu.Unlock()
				image := fsys.crash(rng)
				w.Close()
				m.check(t, image, false)
				reopen(image)
			},
			"kill": func(t *rapid.T) { // the process alone: what it wrote is there
				fsys.mu.Lock()
				fsys.crashAt = fsys.ops + 1
				fsys.mu.Unlock()
				w.Close()
				fsys.crashAt = 0
				m.check(t, fsys, false)
				reopen(fsys)
			},
			"": func(t *rapid.T) { m.check(t, fsys, false) },
		})
	})
}

// A sync that hangs uses up the time of those that wait for it, whose attempts are never sent, and the journal says so.
func TestHungSync(t *testing.T) {
	defer goleak.VerifyNone(t)
	fsys := newMemFS()
	w, err := Open(options(fsys))
	if err != nil {
		t.Fatal(err)
	}
	for made := false; !made; { // the segment that is made ahead has its own syncs
		fsys.mu.Lock()
		made = fsys.disk[segmentName(2)] != nil
		fsys.mu.Unlock()
		runtime.Gosched()
	}
	hung, let := make(chan struct{}), make(chan struct{})
	var once sync.Once
	fsys.mu.Lock()
	fsys.hang = func(op string) {
		if op == "sync" {
			once.Do(func() { close(hung); <-let })
		}
	}
	fsys.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2)
	go func() { _, err := w.Intent(ctx, intentOf("first")); done <- err }()
	<-hung
	go func() { _, err := w.Intent(ctx, intentOf("second")); done <- err }()
	for waits := 0; waits < 1; { // the second waits behind the first
		w.mu.Lock()
		waits = len(w.intents)
		w.mu.Unlock()
		runtime.Gosched()
	}
	cancel()
	for range 2 {
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("%v", err)
		}
	}
	close(let)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	book := requestlog.NewBook(nil)
	if rep, err := Read(fsys, book); err != nil || !rep.Certain {
		t.Fatal(rep, err)
	}
	for _, id := range []string{"first", "second"} {
		f := book.Find(id, time.Time{}, time.Time{})
		if f.Answer != requestlog.NeverHanded || len(f.Attempts) != 1 || f.Attempts[0].Outcome == nil || f.Attempts[0].Outcome.Result != requestlog.NotSent {
			t.Errorf("%s: %v, %+v", id, f.Answer, f.Attempts)
		}
	}
}

// While the journal can't be written: refused at once, with when to come back; or served, and counted, and the count is
// recorded as soon as it can be.
func TestPoliciesWhileDown(t *testing.T) {
	for _, policy := range []requestlog.Policy{requestlog.Refuse, requestlog.ServeUnrecorded} {
		t.Run(fmt.Sprint(policy), func(t *testing.T) {
			defer goleak.VerifyNone(t)
			fsys := newMemFS()
			changed := make(chan bool, 10)
			var mu sync.Mutex
			broken := false
			fsys.fail = func(op, _ string) error {
				mu.Lock()
				defer mu.Unlock()
				if broken && op != "remove" {
					return syscall.ENOSPC
				}
				return nil
			}
			o := options(fsys)
			o.Policy = policy
			o.Changed = func(up bool, _ string) { changed <- up }
			w, err := Open(o)
			if err != nil {
				t.Fatal(err)
			}
			mu.Lock()
			broken = true
			mu.Unlock()
			w.Intent(context.Background(), intentOf("caught")) // its write fails
			for up := range changed {
				if !up {
					break
				}
			}
			ticket, err := w.Intent(context.Background(), intentOf("down"))
			verdict, after := w.Admit()
			switch policy {
			case requestlog.Refuse:
				if !errors.Is(err, ErrDown) || verdict != requestlog.TurnAway || after <= 0 {
					t.Errorf("%v, %v after %v", err, verdict, after)
				}
			case requestlog.ServeUnrecorded:
				if err != nil || ticket != nil || verdict != requestlog.Record {
					t.Errorf("%v, %v, %v", ticket, err, verdict)
				}
			}
			mu.Lock()
			broken = false
			mu.Unlock()
			if up := <-changed; !up {
				t.Error("it did not come up again")
			}
			if _, err := w.Intent(context.Background(), intentOf("up")); err != nil {
				t.Error(err)
			}
			w.Close()
			book := requestlog.NewBook(nil)
			if _, err := Read(fsys, book); err != nil {
				t.Fatal(err)
			}
			gaps := book.Stat().Gaps
			f := book.Find("down", time.Time{}, time.Time{})
			switch policy {
			case requestlog.Refuse:
				if len(gaps) != 0 || f.Answer != requestlog.NeverHanded {
					t.Errorf("%v, %v", gaps, f.Answer)
				}
			case requestlog.ServeUnrecorded:
				if len(gaps) != 1 || gaps[0].Count != 2 || f.Answer != requestlog.CannotTell {
					t.Errorf("%v, %v", gaps, f.Answer)
				}
			}
		})
	}
}
