package requestlog

import (
	"bytes"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRecordsComeBack(t *testing.T) {
	text := rapid.StringN(0, 40, MaxText)
	when := rapid.Custom(func(t *rapid.T) time.Time { return time.Unix(0, rapid.Int64Range(1, 1<<62).Draw(t, "ns")) })
	rapid.Check(t, func(t *rapid.T) {
		i := &Intent{Request: text.Draw(t, "request"), Attempt: rapid.IntRange(0, 1<<16-1).Draw(t, "attempt"), Class: text.Draw(t, "class"),
			Account: text.Draw(t, "account"), Key: text.Draw(t, "key"), Server: text.Draw(t, "server"), Addr: text.Draw(t, "addr"), At: when.Draw(t, "at")}
		copy(i.Digest[:], rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(t, "digest"))
		for _, r := range []any{i, &Outcome{Intent: rapid.Uint64().Draw(t, "seq"), Result: Result(rapid.Byte().Draw(t, "result")), Status: rapid.IntRange(0, 65535).Draw(t, "status"), At: when.Draw(t, "at")},
			&Start{At: when.Draw(t, "at"), Prev: 3, Found: 9, Unrecorded: true}, &Follows{At: when.Draw(t, "at"), Prev: 3, Stable: 7, Poisoned: true, Why: text.Draw(t, "why")},
			&Gap{From: when.Draw(t, "at"), To: when.Draw(t, "at"), Count: 12, Why: text.Draw(t, "why")}, &Stop{At: when.Draw(t, "at")}} {
			b := Append(nil, r)
			got, err := Decode(b)
			if err != nil || !reflect.DeepEqual(got, r) {
				t.Fatalf("%+v came back as %+v, %v", r, got, err)
			}
			for n := range b {
				if _, err := Decode(b[:n]); err == nil {
					t.Fatalf("%T cut at %d was read", r, n)
				}
			}
			if _, err := Decode(append(bytes.Clone(b), 0)); err == nil {
				t.Fatalf("%T with a byte more was read", r)
			}
			b[1]++
			if _, err := Decode(b); !errors.Is(err, ErrNewer) {
				t.Fatalf("a newer version: %v", err)
			}
		}
	})
	if n := len(Append(nil, &Outcome{})); n != OutcomeLen {
		t.Errorf("an outcome has %d bytes, want %d", n, OutcomeLen)
	}
}

func TestClip(t *testing.T) {
	a, b := strings.Repeat("a", 300), strings.Repeat("a", 299)+"b"
	if len(Clip(a)) > MaxText || Clip(a) == Clip(b) || Clip("short") != "short" {
		t.Errorf("%q, %q", Clip(a), Clip(b))
	}
}

func at(s int) time.Time { return time.Unix(int64(s), 0) }

// What a request's attempts add up to.
func TestAnswers(t *testing.T) {
	for _, tt := range []struct {
		name    string
		results []Result // of its attempts; 0: no outcome
		want    Answer
		by      int // the attempt that it rests on
	}{
		{"none", nil, NeverHanded, -1},
		{"one that is open", []Result{0}, Handed, 0},
		{"served", []Result{Served}, Answered, 0},
		{"turned away", []Result{TurnedAway}, Answered, 0},
		{"an error", []Result{Errored}, Answered, 0},
		{"no answer", []Result{NoAnswer}, Handed, 0},
		{"no answer in time", []Result{TimedOut}, Handed, 0},
		{"given up", []Result{GivenUp}, Handed, 0},
		{"no connection", []Result{ConnectFailed}, NeverHanded, 0},
		{"not sent", []Result{NotSent, NotSent}, NeverHanded, 1},
		{"turned away, then served", []Result{TurnedAway, Served}, Answered, 1},
		{"no connection, then open", []Result{ConnectFailed, 0}, Handed, 1},
		{"open, then turned away", []Result{0, TurnedAway}, Handed, 0},
		{"served, then no connection", []Result{Served, ConnectFailed}, Answered, 0},
		{"a oneway call", []Result{OneWay}, Handed, 0},
		{"a result that is not known", []Result{99}, Handed, 0},
	} {
		b := NewBook(nil)
		b.Put(1, &Start{At: at(1)})
		for i, r := range tt.results {
			b.Put(uint64(10+i), &Intent{Request: "x", Attempt: i, At: at(2 + i)})
			if r != 0 {
				b.Put(uint64(100+i), &Outcome{Intent: uint64(10 + i), Result: r, At: at(3 + i)})
			}
		}
		f := b.Find("x", time.Time{}, time.Time{})
		if f.Answer != tt.want || tt.by >= 0 && f.Attempt != f.Attempts[tt.by] || tt.by < 0 && f.Attempt != nil {
			t.Errorf("%s: %v by %+v", tt.name, f.Answer, f.Attempt)
		}
	}
}

// What is lost leaves an absence open; what is there stays as certain as it was; and a loss of another time says nothing.
func TestDoubts(t *testing.T) {
	for name, put := range map[string]func(*Book){
		"a loss": func(b *Book) { b.Lost(Loss{Segment: 1, Offset: 99, Records: 1, After: at(10), Before: at(20)}) },
		"a gap":  func(b *Book) { b.Put(9, &Gap{From: at(10), To: at(20), Count: 4, Why: "disk full"}) },
		"a crash of one that serves unrecorded": func(b *Book) {
			b.Put(8, &Start{At: at(10), Unrecorded: true})
			b.Put(9, &Start{At: at(20), Unrecorded: true})
		},
	} {
		b := NewBook(nil)
		b.Put(1, &Start{At: at(1)})
		b.Put(2, &Intent{Request: "served", At: at(2)})
		b.Put(3, &Outcome{Intent: 2, Result: Served, At: at(2)})
		b.Put(4, &Intent{Request: "unsent", At: at(3)})
		b.Put(5, &Outcome{Intent: 4, Result: NotSent, At: at(3)})
		put(b)
		for _, tt := range []struct {
			id       string
			from, to time.Time
			want     Answer
		}{
			{"served", time.Time{}, time.Time{}, Answered},
			{"unsent", time.Time{}, time.Time{}, CannotTell},
			{"absent", time.Time{}, time.Time{}, CannotTell},
			{"absent", at(12), at(13), CannotTell},
			{"absent", at(2), at(9), NeverHanded},
			{"absent", at(21), at(22), NeverHanded},
			{"absent", at(0), at(9), CannotTell}, // the journal begins later
		} {
			if f := b.Find(tt.id, tt.from, tt.to); f.Answer != tt.want {
				t.Errorf("%s: %s between %d and %d: %v, want %v (%v)", name, tt.id, tt.from.Unix(), tt.to.Unix(), f.Answer, tt.want, f.Doubts)
			}
		}
	}
}

// One id for two requests, and a client's own retry under a new id: each stays by itself.
func TestNothingIsMerged(t *testing.T) {
	b := NewBook(nil)
	b.Put(1, &Start{At: at(1)})
	b.Put(2, &Intent{Request: "x", Account: "a", At: at(2)})
	b.Put(3, &Outcome{Intent: 2, Result: Served, At: at(2)})
	b.Put(4, &Intent{Request: "x", Account: "b", At: at(3)})
	b.Put(5, &Intent{Request: "y", Account: "a", At: at(3)})
	if f := b.Find("x", time.Time{}, time.Time{}); len(f.Attempts) != 2 || f.Attempts[0].Intent.Account == f.Attempts[1].Intent.Account {
		t.Errorf("%+v", f.Attempts)
	}
	if f := b.Find("y", time.Time{}, time.Time{}); f.Answer != Handed || len(f.Attempts) != 1 {
		t.Errorf("%v", f.Answer)
	}
	if n := len(b.Open()); n != 2 {
		t.Errorf("%d open", n)
	}
}

func TestGate(t *testing.T) {
	g := Gate{}
	if v, _ := g.Admit(at(1)); v != Record {
		t.Error(v)
	}
	pause := time.Duration(0)
	for range 10 { // pauses grow, and stay bounded
		g.Fail(at(1), "full")
		v, after := g.Admit(at(1))
		if wait, due := g.Due(at(1)); v != TurnAway || due || wait < pause || wait > longPause || after < wait {
			t.Errorf("%v after %v, wait %v, %v", v, after, wait, due)
		} else {
			pause = wait
		}
	}
	if _, due := g.Due(at(1).Add(longPause)); !due {
		t.Error("never tried again")
	}
	g.Mend()
	if v, _ := g.Admit(at(2)); v != Record {
		t.Error(v)
	}
	g = Gate{Policy: ServeUnrecorded}
	g.Fail(at(3), "full")
	g.Admit(at(4))
	g.Admit(at(6))
	if _, ok := g.Pending(); ok {
		t.Error("a gap is to be written while nothing can be")
	}
	g.Mend()
	gap, ok := g.Pending()
	if !ok || gap.Count != 2 || gap.From != at(4) || gap.To != at(6) || gap.Why != "full" {
		t.Errorf("%+v", gap)
	}
	g.Missed(at(7), "again") // while the gap is being written
	g.Recorded(gap)
	if gap, ok = g.Pending(); !ok || gap.Count != 1 {
		t.Errorf("%+v", gap)
	}
	g.Recorded(gap)
	if _, ok = g.Pending(); ok {
		t.Error("recorded, and pending still")
	}
}
