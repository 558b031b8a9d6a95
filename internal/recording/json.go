package recording

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// What a field of JSON lines can be.
var jsonTargets = []string{"time", "end_time", "epoch", "end_epoch", "seconds", "millis", "micros", "method", "path", "host", "proto", "status", "request", "sent", "body"}

// The names that such fields usually have; a map of the operator's comes first.
var jsonNames = map[string]string{
	"time": "time", "start_time": "time", "start": "time", "@timestamp": "time", "timestamp": "time", "ts": "time",
	"time_iso8601": "end_time", "time_local": "clf_end", "msec": "end_epoch",
	"duration_ms": "millis", "duration": "millis", "request_time": "seconds", "response_time_ms": "millis",
	"method": "method", "request_method": "method", "path": "path", "request_uri": "path", "uri": "path", "url": "path",
	"host": "host", "authority": "host", ":authority": "host", "protocol": "proto", "server_protocol": "proto", "status": "status", "response_code": "status", "request": "request",
	"bytes_received": "sent", "request_length": "sent", "request_body": "body", "body": "body",
}

// setterNames turns a target into what a setter knows.
var setterNames = map[string]string{"time": "iso_start", "end_time": "iso_end", "epoch": "epoch_start", "end_epoch": "epoch_end"}

// jsonReader reads JSON lines.
type jsonReader struct {
	lines
	o     Options
	names map[string]string // dotted name of a field to what it is
}

func newJSON(name string, in *bufio.Reader, o Options) (*jsonReader, error) {
	names := jsonNames
	if len(o.Fields) > 0 {
		names = map[string]string{}
		for target, field := range o.Fields {
			if !slices.Contains(jsonTargets, target) {
				return nil, fmt.Errorf("field map: %q is none of %s", target, strings.Join(jsonTargets, ", "))
			}
			names[field] = target
		}
	}
	return &jsonReader{lines: lines{name: name, in: in, limit: o.Limit}, o: o, names: names}, nil
}

// Next implements Reader.
func (r *jsonReader) Next() (*Entry, error) {
	for {
		line, err := r.next()
		if err != nil {
			return nil, err
		}
		if strings.TrimSpace(line) == "" {
			continue
		}
		var object map[string]any
		d := json.NewDecoder(strings.NewReader(line))
		d.UseNumber()
		if err := d.Decode(&object); err != nil || d.More() {
			if r.cut {
				return nil, ErrTruncated
			}
			return nil, &LineError{r.name, r.n, "no JSON object"}
		}
		e := &Entry{Source: r.name, Line: r.n, Duration: Unknown, Sent: -1}
		if err := r.fill(e, object); err != nil {
			return nil, &LineError{r.name, r.n, err.Error()}
		}
		return e, nil
	}
}

func (r *jsonReader) fill(e *Entry, object map[string]any) error {
	s := setter{e: e, zone: r.o.Zone}
	flat := map[string]string{}
	flatten("", object, flat, 0)
	for _, name := range slices.Sorted(maps.Keys(flat)) {
		v, target := flat[name], r.names[name]
		if target == "" {
			e.Field = put(e.Field, strings.ToLower(name), v)
			continue
		}
		if target == "time" || target == "end_time" { // as text or as a number
			if _, _, err := parseEpoch(v); err == nil {
				target = strings.Replace(target, "time", "epoch", 1)
			}
		}
		if known, ok := setterNames[target]; ok {
			target = known
		}
		if err := s.value(target, v); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return s.done()
}

// flatten gives the leaves of an object by their dotted names.
func flatten(prefix string, v any, into map[string]string, depth int) {
	switch v := v.(type) {
	case map[string]any:
		if depth > 8 {
			return
		}
		for k, x := range v {
			if prefix != "" {
				k = prefix + "." + k
			}
			flatten(k, x, into, depth+1)
		}
	case string:
		into[prefix] = v
	case json.Number:
		into[prefix] = v.String()
	case bool:
		into[prefix] = fmt.Sprint(v)
	}
}
