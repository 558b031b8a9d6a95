package recording

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// Writer writes entries in a format that New reads. What the format has no place for is left out; what it must have and the
// entry does not tell is written as not told. It refuses what would be read back as something else.
type Writer struct {
	out    *bufio.Writer
	layout *Layout // of lines; nil for har and json
	format string
	n      int
	buf    []byte
}

// NewWriter returns a writer of a format: one of Names, or a log_format. A HAR must be closed to be whole.
func NewWriter(w io.Writer, format string) (*Writer, error) {
	x := &Writer{out: bufio.NewWriterSize(w, 1<<16), format: format}
	if format == "har" || format == "json" {
		return x, nil
	}
	var err error
	x.layout, err = ParseLayout(format, nil)
	return x, err
}

// ErrUnwritable is the error of an entry that the format can't hold.
var ErrUnwritable = errors.New("can't be written in this format")

// Write writes one entry. After an error that wraps ErrUnwritable nothing of it has been written, and others may follow.
func (w *Writer) Write(e *Entry) error {
	w.buf = w.buf[:0]
	var err error
	for _, of := range []func() (time.Time, bool){e.Start, e.end, func() (time.Time, bool) { return e.Time, !e.Time.IsZero() }} {
		if t, ok := of(); ok && (t.Year() < 1971 || t.Year() > 9998) { // formats count from 1970 or have four digits
			return fmt.Errorf("%s:%d: a time in the year %d: %w", e.Source, e.Line, t.Year(), ErrUnwritable)
		}
	}
	switch w.format {
	case "har":
		w.buf, err = appendHAR(w.buf, e)
	case "json":
		w.buf, err = appendJSON(w.buf, e)
	default:
		w.buf, err = w.layout.Append(w.buf, e)
	}
	if err != nil {
		return fmt.Errorf("%s:%d: %w", e.Source, e.Line, err)
	}
	if w.format == "har" {
		head := ",\n"
		if w.n == 0 {
			head = harHead
		}
		w.out.WriteString(head)
	}
	w.n++
	w.out.Write(w.buf)
	if w.format != "har" {
		w.out.WriteByte('\n')
	}
	return nil
}

const (
	harHead = `{"log":{"version":"1.2","creator":{"name":"latchkit","version":"1"},"entries":[` + "\n"
	harTail = "\n]}}\n"
)

// Close writes what is still to be written; the writer under it stays open.
func (w *Writer) Close() error {
	if w.format == "har" {
		if w.n == 0 {
			w.out.WriteString(harHead)
		}
		w.out.WriteString(harTail)
	}
	return w.out.Flush()
}

// end is when an entry ended, if that is told.
func (e *Entry) end() (time.Time, bool) {
	switch {
	case e.Time.IsZero():
		return time.Time{}, false
	case e.Stamp == AtEnd:
		return e.Time, true
	case e.Stamp == AtStart && e.Duration != Unknown:
		return e.Time.Add(e.Duration), true
	}
	return time.Time{}, false
}

// stampOf is the moment that a value of a name is of. Formats that don't tell which get the entry's time as it is.
func stampOf(e *Entry, name string) (time.Time, bool) {
	if e.Stamp == AtEither {
		return e.Time, !e.Time.IsZero()
	}
	if strings.HasSuffix(name, "_end") {
		return e.end()
	}
	return e.Start()
}

// digits is how many stand behind the point of a time's seconds: as many as its clock had, and more where it was worked out from
// something finer.
func digits(t time.Time, resolution time.Duration) int {
	n, unit := 0, int(time.Second)
	for r := resolution; r < time.Second && n < 9; r *= 10 {
		n, unit = n+1, unit/10
	}
	for n < 9 && t.Nanosecond()%unit != 0 {
		n, unit = n+1, unit/10
	}
	return n
}

func isoOf(t time.Time, e *Entry) string {
	layout := "2006-01-02T15:04:05"
	if n := digits(t, e.Resolution); n > 0 {
		layout += "." + strings.Repeat("0", n)
	}
	if e.Zoned {
		layout += "Z07:00"
	}
	return t.Format(layout)
}

func epochOf(t time.Time, e *Entry) string {
	s := strconv.FormatInt(t.Unix(), 10)
	if n := digits(t, e.Resolution); n > 0 {
		s += fmt.Sprintf(".%09d", t.Nanosecond())[:n+1]
	}
	return s
}

// in is a duration in a unit, exact.
func in(d, unit time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(unit), 'f', -1, 64)
}

// request is the request line of an entry; "" where it had none.
func (e *Entry) request() string {
	if e.Method == "" {
		return e.Field["request"]
	}
	proto := e.Proto
	if proto == "" {
		proto = "HTTP/1.1"
	}
	path := e.Path
	if path == "" {
		path = "/"
	}
	return e.Method + " " + path + " " + proto
}

// value is what stands for a name; "" for nothing.
func value(e *Entry, name string) string {
	switch name {
	case "clf_start", "clf_end":
		if t, ok := stampOf(e, name); ok {
			return t.Format("02/Jan/2006:15:04:05 -0700")
		}
		return ""
	case "iso_start", "iso_end":
		if t, ok := stampOf(e, name); ok {
			return isoOf(t, e)
		}
		return ""
	case "epoch_start", "epoch_end":
		if t, ok := stampOf(e, name); ok {
			return epochOf(t, e)
		}
		return ""
	case "haproxy_date":
		if t, ok := stampOf(e, "_start"); ok {
			return t.Format("02/Jan/2006:15:04:05.000")
		}
		return ""
	case "haproxy_timers":
		if e.Duration >= 0 {
			return "0/0/0/0/" + strconv.FormatInt(e.Duration.Milliseconds(), 10)
		}
		return "-1/-1/-1/-1/-1"
	case "seconds", "millis", "micros":
		if e.Duration < 0 {
			return ""
		}
		return in(e.Duration, map[string]time.Duration{"seconds": time.Second, "millis": time.Millisecond, "micros": time.Microsecond}[name])
	case "status":
		if e.Status == 0 {
			return ""
		}
		return strconv.Itoa(e.Status)
	case "sent":
		if e.Sent < 0 {
			return ""
		}
		return strconv.FormatInt(e.Sent, 10)
	case "request":
		return e.request()
	case "method":
		return e.Method
	case "path":
		return e.Path
	case "path0":
		p, _, _ := strings.Cut(e.Path, "?")
		return p
	case "query":
		if i := strings.IndexByte(e.Path, '?'); i >= 0 {
			return e.Path[i:]
		}
		return ""
	case "proto":
		return e.Proto
	case "host":
		return e.Host
	case "body":
		return string(e.Body)
	}
	return e.Field[name]
}

// Append writes an entry as a line, without its end. It wraps ErrUnwritable where a value would be read back as another, or
// the line as none.
func (l *Layout) Append(dst []byte, e *Entry) ([]byte, error) {
	begin := len(dst)
	for i := range l.parts {
		p := &l.parts[i]
		dst = append(dst, p.literal...)
		if p.name == "" {
			break
		}
		v := value(e, p.name)
		if p.name == "clf_start" && !strings.HasSuffix(p.literal, "[") && v != "" {
			v = "[" + v + "]"
		}
		next := l.parts[i+1].literal
		if l.parts[i+1].rest && next == "" {
			next = " "
		}
		switch {
		case v == "":
			v = "-"
		case p.quoted:
			v = escape(v)
		case strings.ContainsAny(v, "\r\n") || next != "" && strings.Contains(v+next[:len(next)-1], next) && !(p.name == "clf_start" && v[0] == '['):
			return dst[:begin], fmt.Errorf("%s is %.40q: %w", p.name, v, ErrUnwritable)
		}
		dst = append(dst, v...)
	}
	if line := dst[begin:]; len(line) == 0 || line[0] == '#' || len(line) > maxLine {
		return dst[:begin], fmt.Errorf("a line of %d bytes: %w", len(line), ErrUnwritable)
	}
	return dst, nil
}

// escape writes a quoted value as servers do.
func escape(s string) string {
	plain := true
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			plain = false
			break
		}
	}
	if plain {
		return s
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b.WriteByte('\\')
			b.WriteByte(c)
		case c < ' ' || c > '~':
			fmt.Fprintf(&b, `\x%02X`, c)
		default:
			b.WriteByte(c)
		}
	}
	return b.String()
}

// appendJSON writes an entry as a line of JSON with the names that the reader knows by itself.
func appendJSON(dst []byte, e *Entry) ([]byte, error) {
	m := map[string]any{}
	for k, v := range e.Field {
		if _, taken := jsonNames[k]; taken {
			return dst, fmt.Errorf("field %q has the name of another: %w", k, ErrUnwritable)
		}
		m[k] = v
	}
	if e.Body != nil && !utf8.Valid(e.Body) {
		return dst, fmt.Errorf("the body is no text: %w", ErrUnwritable)
	}
	for name, target := range map[string]string{"time": "iso_start", "time_iso8601": "iso_end"} {
		if (target == "iso_end") != (e.Stamp == AtEnd) || e.Time.IsZero() {
			continue
		}
		m[name] = isoOf(e.Time, e)
	}
	if e.Duration >= 0 {
		m["duration_ms"] = json.Number(in(e.Duration, time.Millisecond))
	}
	for name, v := range map[string]string{"method": e.Method, "path": e.Path, "host": e.Host, "protocol": e.Proto, "body": string(e.Body)} {
		if v != "" {
			m[name] = v
		}
	}
	if e.Status > 0 {
		m["status"] = e.Status
	}
	if e.Sent >= 0 {
		m["bytes_received"] = e.Sent
	}
	b, err := json.Marshal(m)
	return append(dst, b...), err
}

// appendHAR writes an entry of a HAR.
func appendHAR(dst []byte, e *Entry) ([]byte, error) {
	type pair struct {
		Name  string `json:"name"`
		Value string `json:"value"`
	}
	type postData struct {
		Type     string `json:"mimeType"`
		Text     string `json:"text"`
		Encoding string `json:"encoding,omitempty"`
	}
	type request struct {
		Method  string    `json:"method"`
		URL     string    `json:"url"`
		Proto   string    `json:"httpVersion"`
		Headers []pair    `json:"headers"`
		Size    int64     `json:"bodySize"`
		Post    *postData `json:"postData,omitempty"`
	}
	type response struct {
		Status int    `json:"status"`
		Error  string `json:"_error,omitempty"`
	}
	type entry struct {
		Started  string   `json:"startedDateTime,omitempty"`
		Time     any      `json:"time"`
		Page     string   `json:"pageref,omitempty"`
		Cache    string   `json:"_fromCache,omitempty"`
		Request  request  `json:"request"`
		Response response `json:"response"`
	}
	x := entry{Time: -1, Page: e.Field["har-page"], Response: response{Status: e.Status}}
	if t, ok := e.Start(); ok {
		x.Started = isoOf(t, e)
	} else if !e.Time.IsZero() {
		return dst, fmt.Errorf("its start is not told: %w", ErrUnwritable)
	}
	if e.Duration >= 0 {
		x.Time = json.Number(in(e.Duration, time.Millisecond))
	}
	if e.Cached {
		x.Cache = "memory"
	}
	if e.Failed {
		x.Response.Error = "aborted"
	}
	host := e.Host
	if host == "" {
		host = "unknown.invalid"
	}
	x.Request = request{Method: e.Method, URL: "http://" + host + e.Path, Proto: e.Proto, Headers: []pair{}, Size: e.Sent}
	for _, k := range slices.Sorted(maps.Keys(e.Field)) {
		if k != "har-page" {
			x.Request.Headers = append(x.Request.Headers, pair{k, e.Field[k]})
		}
	}
	if e.Body != nil {
		x.Request.Post = &postData{Text: string(e.Body)}
		if !utf8.Valid(e.Body) {
			x.Request.Post.Text, x.Request.Post.Encoding = base64.StdEncoding.EncodeToString(e.Body), "base64"
		}
	}
	b, err := json.Marshal(x)
	return append(dst, b...), err
}
