package loganalysis

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"
)

const day = 1_800_000_000_000 // ms, when the days here begin

func counters(name string, at float64, text string) string {
	return fmt.Sprintf(`  %.4f %s {"time":%d,"level":"info","event":"counters",%s}`, at, name, day+int64(1000*at), text)
}

func event(name string, at float64, event, text string) string {
	return fmt.Sprintf(`%s {"time":%d,"level":"info","event":%q,"message":%q}`, name, day+int64(1000*at), event, text)
}

func take(t *testing.T, b *Book, lines ...string) *Day {
	t.Helper()
	f := b.File("a.log")
	for _, l := range lines {
		if err := f.Take([]byte(l)); err != nil {
			t.Errorf("%s: %v", l, err)
		}
	}
	return b.Day()
}

// Totals since a start become what happened: over a start that is told, a start that only shows in a count that falls, and a
// log that begins amid a run.
func TestStartsBeginAnew(t *testing.T) {
	d := take(t, New(10*time.Second),
		"a bench's own words, with {braces}",
		event("quay-1", 0, "started", "tug 0.1.0 on quay-1"),
		counters("quay-1", 10, `"requests":12,"in_target_idempotent":10,"late_claim":1,"missed_idempotent":1,"roster_refused":7,"refused":9`),
		counters("quay-1", 20, `"requests":30,"in_target_idempotent":25,"late_claim":1,"failed_broken":2,"missed_idempotent":3`),
		event("quay-1", 24, "started", "tug 0.1.0 on quay-1"),
		counters("quay-1", 30, `"requests":40,"in_target_idempotent":35,"missed_idempotent":1,"refused_core_out":1`),
		counters("quay-1", 40, `"requests":4,"in_target_idempotent":4`), // killed and started again, and its line is lost
		event("quay-2/purser", 1, "started", "purser 0.1.0 on quay-2"),
		counters("quay-2/purser", 10, `"refused":100,"claims":4`),
		counters("quay-3", 10, `"requests":1000,"in_target_egress":1000`),
		counters("quay-3", 20, `"requests":1010,"in_target_egress":1007,"late_claim":3,"missed_egress":3`))
	want := Sum{InTarget: 10 + 15 + 35 + 4 + 7, Lost: 7, Rows: []Row{{"claim", 0, 0, 4}, {"broken", 0, 2, 0}, {"core_out", 1, 0, 0}}}
	if !reflect.DeepEqual(d.Sum, want) || d.Requests != 12+18+40+4+10 {
		t.Errorf("%+v of %d, want %+v", d.Sum, d.Requests, want)
	}
	if want := []Kind{{"egress", 7, 3}, {"idempotent", 64, 4}}; !reflect.DeepEqual(d.Kinds, want) {
		t.Errorf("%v, want %v", d.Kinds, want)
	}
	if len(d.Machines) != 2 || d.Machines[0].Starts != 3 || d.Machines[1].Name != "quay-3" || d.Headless() != 1 || d.Machines[1].InTarget != 7 {
		t.Errorf("%+v", d.Machines)
	}
	in := map[int]int64{} // by second
	for _, s := range d.Spans {
		in[int(s.From.UnixMilli()-day)/1000] = s.InTarget
	}
	if want := map[int]int64{0: 10, 10: 15 + 7, 20: 35, 30: 4}; !reflect.DeepEqual(in, want) {
		t.Errorf("by span %v, want %v", in, want)
	}
	if len(d.Changes) != 3 || d.Events["started"] != 3 || d.Changes[2].Name != "quay-1" || d.Changes[1].Name != "quay-2/purser" {
		t.Errorf("%+v", d.Changes)
	}
}

// Memory is bounded: spans grow wide, causes become one, changes are counted alone; and nothing of the sums is lost.
func TestBounds(t *testing.T) {
	b := New(time.Second)
	f := b.File("a.log")
	const n = 5 * mostSpans / 2
	f.Take([]byte(event("q", 0, "started", "tug 0.1.0 on q")))
	for i := range n {
		text := fmt.Sprintf(`"requests":%d,"in_target_egress":%d`, 2*i, i)
		for c := range mostCauses + 9 {
			text += fmt.Sprintf(`,"late_c%d":%d`, c, i)
		}
		f.Take([]byte(counters("q", float64(i), text)))
		f.Take([]byte(event("q", float64(i), "backend", strings.Repeat("é", 200))))
	}
	d := b.Day()
	in, lost, changes := int64(0), int64(0), 0
	for _, s := range d.Spans {
		in, lost, changes = in+s.InTarget, lost+s.Lost, changes+s.Events["backend"]
	}
	if len(d.Spans) > mostSpans || d.Every != 4 || in != n-1 || d.InTarget != in || lost != (n-1)*(mostCauses+9) || d.Lost != lost || len(d.Rows) > mostCauses+1 {
		t.Errorf("%d spans of %v s, %d and %d of %d and %d, %d causes", len(d.Spans), d.Every, in, lost, d.InTarget, d.Lost, len(d.Rows))
	}
	if len(d.Changes) != mostChanges+1 || d.Unkept != n-mostChanges || changes != n || len(d.Changes[9].Text) > mostText {
		t.Errorf("%d changes, %d more, %d bytes of one", len(d.Changes), d.Unkept, len(d.Changes[9].Text))
	}
}

func TestRead(t *testing.T) {
	for raw, want := range map[string]string{
		`{"time":5,"event":"roll","message":"m"}`:         " 5 roll m",
		`  -7.96 core-1/purser {"time":5,"event":"roll"}`: "core-1/purser 5 roll ",
		`tug-1  | {"time":5,"event":"roll"}`:              "tug-1 5 roll ",
		`{"time":5,"event":"counters","a":-2}`:            " 5 counters map[a:-2]",
		`{"event":"roll"}`:                                "none",
		`what it said was {"time":5,"event":"roll"}`:      "none",
		`{braces}`:                                             "none",
		`{"time":5,"event":"roll"`:                             "not a line of a log",
		`{"time":0,"event":"roll"}`:                            "time: ",
		`{"time":"noon","event":"roll"}`:                       "time: ",
		`{"time":5,"event":7}`:                                 "event: ",
		`{"time":5,"event":"roll","message":[]}`:               "cannot unmarshal",
		`{"time":5,"event":"counters","a":1.5}`:                "a: a whole number wanted, got 1.5",
		`x {"time":5,"event":"counters","a":"` + "\x00" + `"}`: "not a line of a log",
	} {
		l, ours, err := Read([]byte(raw))
		got := fmt.Sprintf("%s %d %s %s", l.Name, l.At, l.Event, l.Text)
		switch {
		case err != nil:
			got = err.Error()
		case !ours:
			got = "none"
		case l.Counts != nil:
			got += fmt.Sprint(l.Counts)
		}
		if !strings.HasPrefix(got, want) && (err == nil || !strings.Contains(got, want)) {
			t.Errorf("%s: %s, want %s", raw, got, want)
		}
	}
	f := New(time.Second).File("x")
	f.Take([]byte(`{"time":5,"event":"started","message":"tug 0.1.0 on a"}`))
	if err := f.Take([]byte(`{"time":6,"event":"started","message":"tug 0.1.0 on b"}`)); err == nil || !strings.Contains(err.Error(), "b beside a") {
		t.Errorf("two programs without names: %v", err)
	}
}

func FuzzTake(f *testing.F) {
	f.Add([]byte(`1 q {"time":5,"event":"started","message":"tug 0.1.0 on q"}` + "\n" + `2 q {"time":9,"event":"counters","requests":3,"late_x":1,"in_target_egress":2}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b := New(time.Millisecond)
		file := b.File("f")
		for l := range bytes.SplitSeq(raw, []byte("\n")) {
			file.Take(l)
		}
		var out bytes.Buffer
		if err := Page(&out, b.Day()); err != nil {
			t.Fatal(err)
		}
	})
}
