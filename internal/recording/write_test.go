package recording

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "write the golden files anew")

// goldenFormats are the formats by the names of their files.
var goldenFormats = map[string]string{
	"common.log": "common", "combined.log": "combined", "envoy.log": "envoy", "alb.log": "alb", "haproxy.log": "haproxy", "lines.json": "json", "browser.har": "har",
	"nginx.log":  `$remote_addr [$time_iso8601] $msec "$request" $status $request_length $request_time "$http_user_agent" "$http_x_call_id" "$request_body"`,
	"apache.log": `%h %t \"%r\" %>s %D \"%{X-Call-Id}i\" \"%{User-Agent}i\"`,
}

// goldenEntries are what the golden files hold, as far as each format has a place for it.
func goldenEntries(stamp Stamp) []*Entry {
	at := func(s string) time.Time { return utc(s) }
	return []*Entry{
		{Time: at("2026-12-01T06:30:07.123Z"), Stamp: stamp, Resolution: time.Millisecond, Zoned: true, Duration: 31 * time.Millisecond, Method: "POST", Host: "auth.internal",
			Path: "/limit-hold", Proto: "HTTP/1.1", Status: 200, Sent: 118, Field: map[string]string{"user-agent": "gateway/3", "x-call-id": "4f1c22d0"}},
		{Time: at("2026-12-01T06:30:07.124Z"), Stamp: stamp, Resolution: time.Millisecond, Zoned: true, Duration: 0, Method: "GET", Host: "auth.internal",
			Path: "/look?card=7&x=%20y", Proto: "HTTP/1.1", Status: 503, Sent: 0, Field: map[string]string{"user-agent": `said "so" \ and ` + "\xff\x01"}},
		{Time: at("2026-12-01T12:00:08.5+05:30"), Stamp: stamp, Resolution: time.Millisecond, Zoned: true, Duration: Unknown, Method: "POST", Host: "auth.internal",
			Path: "/sale-settle/9", Proto: "HTTP/1.1", Sent: -1, Body: []byte(`{"account":"fleet-7"}`)},
	}
}

func writeAll(t *testing.T, format string, entries []*Entry) string {
	t.Helper()
	var b bytes.Buffer
	w, err := NewWriter(&b, format)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		if err := w.Write(e); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.String()
}

// Each golden file is what the project writes, is read as what was written, and written again it is the same bytes.
func TestGoldenFiles(t *testing.T) {
	for file, format := range goldenFormats {
		t.Run(file, func(t *testing.T) {
			stamp := AtStart
			if file == "nginx.log" { // its times are of the end
				stamp = AtEnd
			}
			entries := goldenEntries(stamp)
			if format == "json" { // the one that is no text can't be told in JSON
				entries[1].Field["user-agent"] = `said "so"`
			}
			if format == "har" || format == "json" {
				entries[1].Field["user-agent"] = `said "so" \ and é`
			}
			if format == "haproxy" { // its times name no zone
				entries[2].Time = utc("2026-12-01T06:30:08.5Z")
			}
			if format == "alb" { // its start is told in a field of its own, and its end only with a duration
				entries[2].Duration = 2 * time.Second
			}
			name := filepath.Join("testdata", "golden", file)
			text := writeAll(t, format, entries)
			if *update {
				if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
					t.Fatal(err)
				}
				if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			golden, err := os.ReadFile(name)
			if err != nil {
				t.Fatal(err)
			}
			if string(golden) != text {
				t.Errorf("written now:\n%s\nthe golden file:\n%s", text, golden)
			}
			got, bad, err := all(t, string(golden), Options{Format: format})
			if err != nil || len(bad) > 0 || len(got) != len(entries) {
				t.Fatalf("%d entries, %v, %v", len(got), bad, err)
			}
			if again := writeAll(t, format, got); again != string(golden) {
				t.Errorf("read and written again:\n%s\nwant\n%s", again, golden)
			}
			coarse := map[string]time.Duration{"common.log": time.Second, "combined.log": time.Second, "apache.log": time.Second}[file]
			for i, e := range got {
				want := entries[i]
				if e.Method != want.Method || e.Path != want.Path {
					t.Errorf("entry %d: %s %s, want %s %s", i, e.Method, e.Path, want.Method, want.Path)
				}
				if want.Status != 0 && e.Status != want.Status {
					t.Errorf("entry %d: status %d, want %d", i, e.Status, want.Status)
				}
				if off := want.Time.Sub(e.Time); off < 0 || off > max(coarse, time.Millisecond) {
					t.Errorf("entry %d: %v, want %v", i, e.Time, want.Time)
				}
				if ua := want.Field["user-agent"]; e.Field["user-agent"] != ua && ua != "" && file != "common.log" && file != "haproxy.log" && file != "alb.log" {
					t.Errorf("entry %d: user agent %q, want %q", i, e.Field["user-agent"], ua)
				}
				if file != "common.log" && file != "combined.log" && e.Duration != want.Duration {
					t.Errorf("entry %d: took %v, want %v", i, e.Duration, want.Duration)
				}
			}
		})
	}
}

// What is read from any line of a known format and written again is read as the same.
func TestWrittenAgain(t *testing.T) {
	for format, line := range map[string]string{
		"combined": `10.0.0.7 - bob [01/Dec/2026:06:30:07 +0530] "GET /a HTTP/1.1" 304 - "-" "said \"so\" \xff` + "\xfe" + `"`,
		"alb":      `https 2026-12-01T06:30:07.500000Z app/x/50dc6c49 10.0.0.7:2817 10.1.1.1:80 0.001 0.048 0.000 200 200 118 57 "POST https://pay.example.com:443/sale-settle?q=1 HTTP/1.1" "curl/7.46.0" ECDHE TLSv1.2 arn:aws:x "Root=1-58" "pay.example.com" "arn:y" 0 2026-12-01T06:30:07.451000Z "forward" "-" "-"`,
		"haproxy":  `10.0.1.2:33317 [06/Feb/2026:12:14:14.655] http-in static/srv1 10/0/30/69/109 200 2750 - - ---- 1/1/1/1/0 0/0 "GET /index.html HTTP/1.1"`,
		"json":     `{"ts":1796106607.25,"request_time":0.25,"method":"POST","path":"/hold","host":"a","status":503,"request_length":7,"deep":{"x":1}}`,
		"common":   `10.0.0.7 - - [01/Dec/2026:06:30:07 +0000] "\x16\x03\x01" 400 0`,
	} {
		one, bad, err := all(t, line+"\n", Options{Format: format})
		if err != nil || len(bad) > 0 || len(one) != 1 {
			t.Fatalf("%s: %v, %v", format, bad, err)
		}
		text := writeAll(t, format, one)
		two, bad, err := all(t, text, Options{Format: format})
		if err != nil || len(bad) > 0 || len(two) != 1 {
			t.Fatalf("%s: %v, %v in %s", format, bad, err, text)
		}
		if !one[0].Time.Equal(two[0].Time) {
			t.Errorf("%s: %v, then %v", format, one[0].Time, two[0].Time)
		}
		one[0].Time, two[0].Time = time.Time{}, time.Time{}
		if !reflect.DeepEqual(one[0], two[0]) {
			t.Errorf("%s:\n%+v\nwritten as %s\nand read as\n%+v", format, one[0], text, two[0])
		}
	}
}

// A value that would be read back as something else is refused, and nothing of its entry is written.
func TestUnwritable(t *testing.T) {
	for name, tt := range map[string]struct {
		format string
		e      Entry
	}{
		"a space where spaces part":     {`$remote_addr $status`, Entry{Field: map[string]string{"remote_addr": "a b"}}},
		"a line's end":                  {`$remote_addr`, Entry{Field: map[string]string{"remote_addr": "a\nb"}}},
		"what looks like a remark":      {`$remote_addr $status`, Entry{Field: map[string]string{"remote_addr": "#a"}}},
		"a field that is another's":     {"json", Entry{Field: map[string]string{"path": "/x"}}},
		"bytes that are no text":        {"json", Entry{Body: []byte{0xff, 0xfe}}},
		"a start that is not told":      {"har", Entry{Time: utc("2026-12-01T06:30:07Z"), Stamp: AtEither, Method: "GET", Path: "/"}},
		"a line beyond what is read":    {`$remote_addr $status`, Entry{Field: map[string]string{"remote_addr": strings.Repeat("x", maxLine)}}},
		"the beginning of what follows": {`$remote_addr--$status`, Entry{Field: map[string]string{"remote_addr": "a-"}}},
	} {
		var b bytes.Buffer
		w, err := NewWriter(&b, tt.format)
		if err != nil {
			t.Fatal(err)
		}
		tt.e.Duration, tt.e.Sent = Unknown, -1
		if err := w.Write(&tt.e); !errors.Is(err, ErrUnwritable) {
			t.Errorf("%s: error %v", name, err)
		}
		good := Entry{Source: "x", Time: utc("2026-12-01T06:30:07Z"), Duration: Unknown, Sent: -1, Method: "GET", Path: "/", Field: map[string]string{"remote_addr": "a"}}
		if err := w.Write(&good); err != nil {
			t.Errorf("%s: and then: %v", name, err)
		}
		if w.Close(); tt.format != "har" && strings.Count(b.String(), "\n") != 1 {
			t.Errorf("%s: written %q", name, b.String())
		}
	}
	if _, err := NewWriter(io.Discard, "$a$b"); err == nil {
		t.Error("a format that can't be read was taken")
	}
}

// Whatever line is read and can be written is read again as the same.
func FuzzWrittenAgain(f *testing.F) {
	formats := []string{"common", "combined", "envoy", "alb", "haproxy", "json", goldenFormats["nginx.log"], goldenFormats["apache.log"]}
	for file := range goldenFormats {
		text, err := os.ReadFile(filepath.Join("testdata", "golden", file))
		if err != nil {
			f.Fatal(err)
		}
		for _, line := range strings.Split(string(text), "\n") {
			for i := range formats {
				f.Add(i, line)
			}
		}
	}
	f.Fuzz(func(t *testing.T, which int, line string) {
		format := formats[uint(which)%uint(len(formats))]
		read := func(text string) (*Entry, error) {
			s, err := New("x", strings.NewReader(text), Options{Format: format})
			if err != nil {
				return nil, err
			}
			defer s.Close()
			return s.Next()
		}
		one, err := read(line + "\n")
		if err != nil {
			return
		}
		one.Line = 1
		var b bytes.Buffer
		w, err := NewWriter(&b, format)
		if err != nil {
			t.Fatal(err)
		}
		if err := w.Write(one); err != nil {
			if !errors.Is(err, ErrUnwritable) {
				t.Fatal(err)
			}
			return
		}
		w.Close()
		two, err := read(b.String())
		if err != nil {
			t.Fatalf("%s: %q was written as %q, which is no line: %v", format, line, b.String(), err)
		}
		if one.Path == "" && two.Path == "/" { // no request line goes without one
			one.Path = "/"
		}
		if one.Method != two.Method || one.Path != two.Path || one.Status != two.Status || one.Duration >= 0 && two.Duration != one.Duration && format != "haproxy" {
			t.Fatalf("%s: %q gave %s, written as %q it is %s", format, line, brief(one), b.String(), brief(two))
		}
	})
}

func brief(e *Entry) string {
	return fmt.Sprintf("%q %q %d %v at %v", e.Method, e.Path, e.Status, e.Duration, e.Time)
}
