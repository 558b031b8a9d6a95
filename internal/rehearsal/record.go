package rehearsal

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"saltmast/internal/grade"
	"saltmast/internal/scenario"
)

// RecordVersion is the version of a kept record's form: JSON lines, the first a head, then one event each.
const RecordVersion = 1

// maxLine bounds a line of a kept record.
const maxLine = 8 << 20

type recordHead struct {
	Version  int               `json:"record"`
	Scenario scenario.Scenario `json:"scenario"`
	Agent    string            `json:"agent"`
	Partial  bool              `json:"partial"`
	Wall     time.Duration     `json:"wall_ns"`
	Usage    Usage             `json:"usage"`
	Events   int               `json:"events"`
}

// WriteRecord writes the events of a run.
func (r *Result) WriteRecord(w io.Writer) error {
	b := bufio.NewWriterSize(w, 1<<16)
	e := json.NewEncoder(b)
	if err := e.Encode(recordHead{RecordVersion, r.Scenario, r.Agent, r.Partial, r.Wall, r.Usage, len(r.Events)}); err != nil {
		return err
	}
	for i := range r.Events {
		if err := e.Encode(&r.Events[i]); err != nil {
			return err
		}
	}
	return b.Flush()
}

// ReadRecord reads what WriteRecord wrote and grades it anew. An error names the line.
func ReadRecord(in io.Reader) (*Result, error) {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 1<<16), maxLine)
	var head recordHead
	if !lines.Scan() {
		return nil, errors.Join(errors.New("line 1: no record"), lines.Err())
	}
	if err := json.Unmarshal(lines.Bytes(), &head); err != nil {
		return nil, fmt.Errorf("line 1: no record: %w", err)
	}
	if head.Version != RecordVersion {
		return nil, fmt.Errorf("line 1: record of version %d, this build reads version %d", head.Version, RecordVersion)
	}
	if err := head.Scenario.Check(); err != nil {
		return nil, fmt.Errorf("line 1: %w", err)
	}
	var events []grade.Event
	for n := 2; lines.Scan(); n++ {
		var e grade.Event
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, fmt.Errorf("line %d: %w", n, err)
		}
		if e.Seq != len(events)+1 {
			return nil, fmt.Errorf("line %d: event %d, want %d", n, e.Seq, len(events)+1)
		}
		events = append(events, e)
	}
	if err := lines.Err(); err != nil {
		return nil, err
	}
	if len(events) != head.Events {
		return nil, fmt.Errorf("%d events, the head says %d: the file is cut off", len(events), head.Events)
	}
	res := &Result{Report: grade.Judge(rules(&head.Scenario), events), Scenario: head.Scenario, Agent: head.Agent, Wall: head.Wall,
		Usage: head.Usage, Events: events}
	res.Partial = head.Partial
	return res, nil
}
