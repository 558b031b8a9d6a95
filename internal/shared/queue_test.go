package shared

import (
	"testing"
	"time"
)

func TestQueueTellsEachOftenEnoughWithinItsBound(t *testing.T) {
	q := NewQueue(500)
	record := func(i int, n uint64) Record {
		return Record{Agent: Agent{Name: "n", Incarnation: uint64(i)}, Counts: map[string]Tally{"look": {n}}}
	}
	for i := range 100 {
		q.Put(record(i, 1), 2)
	}
	q.Put(record(3, 9), 2) // keeps its place, with what is newest
	told, bytes := map[uint64]int{}, 0
	for s := range 60 {
		raw := q.Take(time.Duration(s)*time.Second, 0, 1300)
		bytes += len(raw)
		if raw == nil {
			continue
		}
		m, err := Decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range m.(Delta).Records {
			told[r.Agent.Incarnation]++
			if r.Agent.Incarnation == 3 && r.Counts["look"][0] != 9 {
				t.Error("an old record was told")
			}
		}
	}
	if bytes > 1400+60*500 {
		t.Errorf("%d bytes in a minute at 500 a second", bytes)
	}
	for i := range uint64(100) {
		if told[i] != 2 {
			t.Fatalf("%d was told %d times", i, told[i])
		}
	}
	if len(q.line) != 0 || len(q.waits) != 0 {
		t.Errorf("%d are left", len(q.line))
	}
	for i := range 2 * mostWaiting {
		q.Put(record(i, 1), 1)
	}
	if len(q.line) != mostWaiting || len(q.waits) != mostWaiting {
		t.Errorf("%d wait", len(q.line))
	}
}

func TestOwnRecordsAreToldOnceUnlessTheyChange(t *testing.T) {
	q := NewQueue(1 << 20)
	r := Record{Agent: Agent{Name: "n"}, Window: 4, Counts: map[string]Tally{"look": {1}}}
	q.Own(r, 1)
	if q.Take(time.Second, 0, 1300) == nil {
		t.Fatal("nothing is told")
	}
	q.Own(r, 1)
	if q.Take(2*time.Second, 0, 1300) != nil {
		t.Error("told again, though the same")
	}
	r.Counts = map[string]Tally{"look": {2}}
	q.Own(r, 1)
	if q.Take(3*time.Second, 0, 1300) == nil {
		t.Error("a change is not told")
	}
}

// Evidence goes before counts, and the newest of each is told.
func TestEvidenceGoesFirst(t *testing.T) {
	q := NewQueue(1 << 20)
	q.Put(Record{Agent: Agent{Name: "n"}, Counts: map[string]Tally{"look": {1}}}, 1)
	q.Word(Evidence{Agent: Agent{Name: "n"}, Backend: "s1", Seen: Seen{Bad: 2}}, 2)
	q.Word(Evidence{Agent: Agent{Name: "n"}, Backend: "s1", Seen: Seen{Bad: 3}}, 2)
	for i := range 3 {
		raw := q.Take(time.Duration(i+1)*time.Second, 0, 1300)
		if i == 2 {
			if raw != nil {
				t.Error("told too often")
			}
			break
		}
		m, err := Decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		d := m.(Delta)
		if len(d.Evidence) != 1 || d.Evidence[0].Seen.Bad != 3 || len(d.Records) != 1-i {
			t.Errorf("message %d: %+v", i, d)
		}
	}
	if Copies(1) != 6 || Copies(12) != 9 || Copies(300) != 12 || Copies(10000) != 18 {
		t.Error("copies")
	}
}
