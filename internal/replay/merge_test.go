package replay

import (
	"errors"
	"io"
	"math"
	"testing"
	"time"

	"saltmast/internal/recording"
)

// feed is a source that a test writes: entries and errors.
type feed []any

func (f *feed) Next() (*recording.Entry, error) {
	if len(*f) == 0 {
		return nil, io.EOF
	}
	x := (*f)[0]
	*f = (*f)[1:]
	if err, ok := x.(error); ok {
		return nil, err
	}
	return x.(*recording.Entry), nil
}

// at is an entry that started so long after noon.
func at(source string, line int64, after time.Duration) *recording.Entry {
	return &recording.Entry{Source: source, Line: line, Time: noon.Add(after), Stamp: recording.AtStart, Resolution: time.Microsecond, Duration: recording.Unknown}
}

func drain(t *testing.T, m *Merger) (got []Timed) {
	t.Helper()
	for {
		e, err := m.Next()
		if err == io.EOF {
			return got
		}
		if err != nil {
			t.Fatal(err)
		}
		if len(got) > 0 && e.Start.Before(got[len(got)-1].Start) {
			t.Fatalf("%s:%d comes before the one ahead of it", e.Source, e.Line)
		}
		got = append(got, e)
	}
}

// Servers write a line when a request has ended: its start may lie before those of the lines ahead.
func TestMergedInTheOrderOfStarts(t *testing.T) {
	a := feed{at("a", 1, 3*time.Second), at("a", 2, time.Second), at("a", 3, 4*time.Second)}
	b := feed{at("b", 1, 2*time.Second), at("b", 2, 5*time.Second)}
	rotated := feed{at("c", 1, 90*time.Second), at("c", 2, 80*time.Second)}
	m := NewMerger(MergeOptions{}, &a, &b, &rotated)
	want := []time.Duration{1, 2, 3, 4, 5, 80, 90}
	for i, e := range drain(t, m) {
		if got := e.Start.Sub(noon); got != want[i]*time.Second {
			t.Errorf("%d: %v, want %v s", i, got, want[i])
		}
	}
	if m.Left() != (Left{}) {
		t.Errorf("%+v", m.Left())
	}
}

// What stands too late in its source is given all the same, at the moment of the one before, and counted.
func TestTooLateInItsSource(t *testing.T) {
	a := feed{at("a", 1, 0), at("a", 2, 10*time.Second), at("a", 3, time.Second), at("a", 4, 11*time.Second)}
	m := NewMerger(MergeOptions{Window: time.Second}, &a)
	got := drain(t, m)
	if len(got) != 4 || m.Left().Reordered != 0 { // 3 is read while 2 is held
		t.Errorf("%d entries, %+v", len(got), m.Left())
	}
	b := feed{at("a", 1, 0), at("a", 2, 10*time.Second), at("a", 3, 20*time.Second), at("a", 4, 30*time.Second), at("a", 5, time.Second)}
	m = NewMerger(MergeOptions{Window: time.Second}, &b)
	got = drain(t, m)
	if len(got) != 5 || m.Left().Reordered != 1 || got[4].Line != 5 && got[3].Line != 5 {
		t.Errorf("%d entries, %+v", len(got), m.Left())
	}
}

// A clock of whole seconds tells no moment within one: they are drawn, evenly, the same each time, and only there.
func TestSpreadWithinTheClocksUnit(t *testing.T) {
	read := func(seed uint64) (got []Timed, left Left) {
		var f feed
		for i := range int64(4000) {
			e := at("a", i+1, time.Duration(i/1000)*time.Second)
			e.Resolution = time.Second
			f = append(f, e)
		}
		m := NewMerger(MergeOptions{Seed: seed}, &f)
		return drain(t, m), m.Left()
	}
	one, left := read(1)
	if left.Spread != 4000 || len(one) != 4000 {
		t.Fatalf("%d entries, %+v", len(one), left)
	}
	var tenths [10]int
	for i, e := range one {
		if got, want := e.Start.Sub(noon)/time.Second, time.Duration(i/1000); got != want {
			t.Fatalf("entry %d is in second %d, want %d", i, got, want)
		}
		tenths[int(e.Start.Sub(noon)%time.Second/(100*time.Millisecond))]++
	}
	for i, n := range tenths {
		if math.Abs(float64(n)-400) > 80 {
			t.Errorf("%d of 4000 in tenth %d of a second, want about 400", n, i)
		}
	}
	again, _ := read(1)
	other, _ := read(2)
	same := 0
	for i := range one {
		if !one[i].Start.Equal(again[i].Start) {
			t.Fatal("one seed, two moments")
		}
		if one[i].Start.Equal(other[i].Start) {
			same++
		}
	}
	if same > 10 {
		t.Errorf("%d moments are the same with another seed", same)
	}
}

func TestWhatIsLeftOut(t *testing.T) {
	noStart := &recording.Entry{Source: "a", Stamp: recording.AtEnd, Time: noon, Duration: recording.Unknown}
	backwards := &recording.Entry{Source: "a", Stamp: recording.AtEnd, Time: noon, Duration: -time.Second}
	cached := at("a", 3, 0)
	cached.Cached = true
	a := feed{at("a", 1, 0), noStart, backwards, cached, &recording.LineError{Source: "a", Line: 4, Why: "x"}, at("a", 5, time.Second),
		at("a", 6, 2*time.Second), at("a", 7, 3*time.Second), recording.ErrTruncated, at("a", 8, 2*time.Second)}
	m := NewMerger(MergeOptions{From: noon.Add(time.Second), Until: noon.Add(3 * time.Second)}, &a)
	got := drain(t, m)
	if len(got) != 2 || got[0].Line != 5 || got[1].Line != 6 {
		t.Errorf("%d entries: %+v", len(got), got)
	}
	if want := (Left{Unreadable: 1, NoStart: 2, Cached: 1, Outside: 2, Truncated: 1}); m.Left() != want {
		t.Errorf("%+v, want %+v", m.Left(), want)
	}
	broken := feed{errors.New("disk")}
	if _, err := NewMerger(MergeOptions{}, &broken).Next(); err == nil || err.Error() != "disk" {
		t.Errorf("error %v", err)
	}
}

// endless gives entries that all start at once.
type endless struct{ n int64 }

func (e *endless) Next() (*recording.Entry, error) { e.n++; return at("a", e.n, 0), nil }

func TestMergerIsBounded(t *testing.T) {
	e := &endless{}
	m := NewMerger(MergeOptions{Most: 100}, e)
	for range 1000 {
		if _, err := m.Next(); err != nil {
			t.Fatal(err)
		}
	}
	if e.n > 1100 {
		t.Errorf("%d entries were read for 1000, 100 held at the most", e.n)
	}
}
