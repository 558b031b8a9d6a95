package integration

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	"saltmast/internal/dataplane"
)

// TestClients is the hard cases of what clients send and backends answer, at outbound, once with the backend beside it and
// once over a hop.
func TestClients(t *testing.T) {
	t.Parallel()
	m := up(t)
	x := m.Sides[0]
	runs := func() int { return m.Sides[0].Backend.Runs() + m.Sides[1].Backend.Runs() }
	raw := func(t *testing.T, text string) Answer {
		t.Helper()
		c, err := Dial(x.Outbound())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		go c.Write([]byte(text)) // what is turned away early is not read to its end
		return c.Read("POST")
	}
	refused := func(status int, text func(path string) string) func(*testing.T, string) {
		return func(t *testing.T, service string) {
			was := runs()
			if got := raw(t, text("/free/"+service+"/x")); got.Err != nil || got.Status != status {
				t.Errorf("%v, want %d", got, status)
			}
			if n := runs() - was; n != 0 {
				t.Errorf("%d ran", n)
			}
		}
	}
	head := func(path, more string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: " + Host + "\r\n" + dataplane.HeaderAttemptID + ": " + NewID() + "\r\n" + dataplane.HeaderDeadlineRemaining + ": 5000\r\n" + more + "\r\n"
	}
	// fault asks with a fault of the backend: what comes must never pass for a success.
	fault := func(kind string, size int) func(*testing.T, string) {
		return func(t *testing.T, service string) {
			for _, route := range []string{"/free/", "/once/", "/keyed/"} {
				r := Request{Method: "POST", Path: route + service + "/" + kind, Header: []string{HeaderFault + ": " + kind, fmt.Sprintf("%s: %d", HeaderSize, size)}, Body: []byte("x"), Left: 2 * time.Second}
				if route == "/keyed/" {
					r.Key = fmt.Sprintf("fault-%s-%d-%s", kind, size, service)
				}
				got := m.asked(t, x, &r)
				if got.Err == nil && got.Status < 500 {
					t.Errorf("%s: %v", route, got)
				}
				if n := m.side(service).Backend.RunsOf(r.ID); n != 1 && route != "/free/" {
					t.Errorf("%s: %v, and it ran %d times", route, got, n)
				}
				if route == "/keyed/" { // it may have run: no repeat runs it again, even where it would go well
					again := r
					again.Header = nil
					if got := m.asked(t, m.Sides[1], &again); got.Good() || m.side(service).Backend.RunsOfKey(r.Key) != 1 {
						t.Errorf("the repeat of %s: %v, and it ran %d times in all", r.Key, got, m.side(service).Backend.RunsOfKey(r.Key))
					}
				}
			}
			// What was left of it on the connection is nobody's answer.
			for i := range 5 {
				path := fmt.Sprintf("/free/%s/after-%s-%d", service, kind, i)
				if got := m.served(t, x, Request{Path: path}); !strings.Contains(got.Body, path) {
					t.Errorf("%s: %v", path, got)
				}
			}
		}
	}
	// stray asks again and again where an answer to another comes beside the right one.
	stray := func(kind string) func(*testing.T, string) {
		return func(t *testing.T, service string) {
			for i := range 10 {
				path := fmt.Sprintf("/free/%s/%s-%d", service, kind, i)
				got := m.served(t, x, Request{Path: path, Header: []string{HeaderFault + ": " + kind}})
				if !strings.Contains(got.Body, path) {
					t.Errorf("%s: %v", path, got)
				}
			}
		}
	}
	// whole sends a body and holds what arrived against it.
	whole := func(size int, chunks bool) func(*testing.T, string) {
		return func(t *testing.T, service string) {
			body := bytes.Repeat([]byte("a body that is long. "), size/21+1)[:size]
			path := fmt.Sprintf("/free/%s/body-%d", service, size)
			got := m.served(t, x, Request{Method: "POST", Path: path, Body: body, Chunks: chunks})
			sum := sha256.Sum256(body)
			if want := fmt.Sprintf("%s POST %s %d %x ", service, path, size, sum[:8]); !strings.HasPrefix(got.Body, want) {
				t.Errorf("%v, want %s", got, want)
			}
		}
	}
	for _, tt := range []struct {
		name string
		do   func(t *testing.T, service string)
	}{
		{"length and chunks", refused(400, func(path string) string {
			return head(path, "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n"
		})},
		{"two lengths", refused(400, func(path string) string { return head(path, "Content-Length: 5\r\nContent-Length: 6\r\n") + "hello" })},
		{"no host", refused(400, func(path string) string { return "POST " + path + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n" })},
		{"a chunk that is none", refused(400, func(path string) string {
			return head(path, "Transfer-Encoding: chunked\r\n") + "zz\r\nhello\r\n0\r\n\r\n"
		})},
		{"a long header", refused(431, func(path string) string {
			return head(path, "X-Long: "+strings.Repeat("l", 9<<10)+"\r\nContent-Length: 0\r\n")
		})},
		{"many header lines", refused(431, func(path string) string {
			return head(path, strings.Repeat("X-Line: l\r\n", 1<<10)+"Content-Length: 0\r\n")
		})},
		{"a long body", refused(413, func(path string) string { return head(path, fmt.Sprintf("Content-Length: %d\r\n", 32<<20+1)) + "begin" })},
		{"a long body in chunks", refused(413, func(path string) string {
			return head(path, "Transfer-Encoding: chunked\r\n") + strings.Repeat("100000\r\n"+strings.Repeat("b", 1<<20)+"\r\n", 33) + "0\r\n\r\n"
		})},
		{"no time", refused(503, func(path string) string {
			return strings.Replace(head(path, "Content-Length: 0\r\n"), dataplane.HeaderDeadlineRemaining+": 5000", dataplane.HeaderDeadlineRemaining+": 0", 1)
		})},
		{"a key that is not there", refused(400, func(path string) string {
			return head(strings.Replace(path, "/free/", "/keyed/", 1), "Content-Length: 0\r\n")
		})},
		{"chunks", whole(3000, true)},
		{"long chunks", whole(300000, true)},
		{"a body at the limit", whole(32<<20, false)},
		{"a long keyed body", func(t *testing.T, service string) {
			body := bytes.Repeat([]byte("k"), 200000)
			r := Request{Method: "POST", Path: "/keyed/" + service + "/long", Key: "long-" + service, Body: body}
			one, two := m.served(t, x, r), m.served(t, m.Sides[1], r)
			if one.Body != two.Body || !strings.Contains(one.Body, " 200000 ") {
				t.Errorf("%v, then %v", one, two)
			}
		}},
		{"pipelined", func(t *testing.T, service string) {
			c, err := Dial(x.Outbound())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			var all []byte
			for i := range 10 {
				r := Request{Method: "POST", Path: fmt.Sprintf("/free/%s/line-%d", service, i), Body: bytes.Repeat([]byte("p"), i*100), Chunks: i%2 == 1, Header: []string{fmt.Sprintf("%s: %d", HeaderWork, 10-i)}}
				all = append(all, r.text()...)
			}
			if _, err := c.Write(all); err != nil {
				t.Fatal(err)
			}
			for i := range 10 {
				if got := c.Read("POST"); !got.Good() || !strings.Contains(got.Body, fmt.Sprintf("/line-%d %d ", i, i*100)) {
					t.Fatalf("answer %d: %v", i, got)
				}
			}
		}},
		{"a connection each time", func(t *testing.T, service string) {
			for i := range 50 {
				r := Request{Path: fmt.Sprintf("/free/%s/new-%d", service, i), Header: []string{"Connection: close"}}
				if got := Ask(x.Outbound(), r); !got.Good() || !got.Close || !strings.Contains(got.Body, r.Path) {
					t.Errorf("%v", got)
				}
			}
		}},
		{"one connection for many", func(t *testing.T, service string) {
			c, err := Dial(x.Outbound())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			for i := range 50 {
				r := Request{Path: fmt.Sprintf("/free/%s/kept-%d", service, i)}
				if got := c.Ask(r); !got.Good() || got.Close || !strings.Contains(got.Body, r.Path) || got.Header.Get(dataplane.HeaderAttemptID) != r.ID && r.ID != "" {
					t.Fatalf("%v", got)
				}
			}
		}},
		{"some MB in bounded memory", func(t *testing.T, service string) {
			was := m.Sides[0].Tug.Peak() + m.Sides[1].Tug.Peak()
			whole(30<<20, false)(t, service)
			whole(30<<20, true)(t, service)
			got := m.served(t, x, Request{Path: "/free/" + service + "/large", Header: []string{fmt.Sprintf("%s: %d", HeaderSize, 30<<20)}})
			if len(got.Body) != 30<<20 {
				t.Errorf("%d bytes came back", len(got.Body))
			}
			if grew := m.Sides[0].Tug.Peak() + m.Sides[1].Tug.Peak() - was; grew > 30<<20 {
				t.Errorf("both tugs took %d MB more", grew>>20)
			} else {
				t.Logf("both tugs took %d KB more", grew>>10)
			}
		}},
		{"an extra answer ahead", stray(FaultExtraBefore)},
		{"an extra answer behind", stray(FaultExtraAfter)},
		{"an extra answer late", stray(FaultExtraLate)},
		{"an answer to another", fault(FaultOtherID, 100)},
		{"an answer cut", fault(FaultCut, 100)},
		{"a long answer cut", fault(FaultCutLong, 200000)},
		{"an answer in chunks cut", fault(FaultCutChunks, 100)},
		{"a long answer in chunks cut", fault(FaultCutChunks, 200000)},
		{"an answer without a seal", fault(FaultUnsealed, 100)},
		{"an encoded answer", fault(FaultEncoded, 100)},
		{"noise", fault(FaultNoise, 100)},
	} {
		for _, y := range m.Sides {
			t.Run(tt.name+"/"+y.Name, func(t *testing.T) { tt.do(t, y.Service) })
		}
	}
}
