// Package loganalysis reads the logs of the mesh's programs and sums up a day of theirs: what became of the requests by the tugs' own
// counters, and what changed when. It does no I/O, and its memory is bounded whatever it is given. Start reading at Book.
package loganalysis

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
)

// Line is one line of a program's log.
type Line struct {
	Name   string // of the program, as stands before its line; "" where nothing does
	At     int64  // ms since 1970
	Event  string
	Text   string
	Counts map[string]int64 // of a line of counters
}

const (
	mostBefore = 3       // words before the line itself; more are a text that has a brace in it
	mostAt     = 1 << 50 // ms: some 35,000 years
)

// Read reads one line: JSON, with a time and the program's name before it or without. ours: it is a program's. A line that is
// nobody's is none, without an error; one that begins as a program's and can't be read is one.
func Read(raw []byte) (l Line, ours bool, err error) {
	at := bytes.IndexByte(raw, '{')
	if at < 0 {
		return l, false, nil
	}
	before := strings.Fields(string(raw[:min(at, 256)]))
	if len(before) > mostBefore || at > 256 {
		return l, false, nil
	}
	for _, w := range before {
		w = strings.TrimRight(w, ":|")
		if _, err := strconv.ParseFloat(w, 64); err != nil && w != "" {
			l.Name = w
		}
	}
	raw = bytes.TrimSpace(raw[at:])
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil {
		if bytes.HasPrefix(raw, []byte(`{"time"`)) {
			return l, false, fmt.Errorf("not a line of a log: %w", err)
		}
		return l, false, nil
	}
	if fields["time"] == nil || fields["event"] == nil {
		return l, false, nil
	}
	if err := json.Unmarshal(fields["time"], &l.At); err != nil || l.At <= 0 || l.At > mostAt {
		return l, false, fmt.Errorf("time: milliseconds wanted, got %.40s", fields["time"])
	}
	if err := json.Unmarshal(fields["event"], &l.Event); err != nil {
		return l, false, fmt.Errorf("event: a text wanted, got %.40s", fields["event"])
	}
	if l.Event != "counters" {
		if m := fields["message"]; m != nil {
			err = json.Unmarshal(m, &l.Text)
		}
		return l, err == nil, err
	}
	l.Counts = map[string]int64{}
	for name, v := range fields {
		if name == "time" || name == "level" || name == "event" || name == "message" {
			continue
		}
		n, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil {
			return l, false, fmt.Errorf("%s: a whole number wanted, got %.40s", name, v)
		}
		l.Counts[name] = n
	}
	return l, true, nil
}
