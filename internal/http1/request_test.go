package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

var limits = Limits{Head: 12 << 10, Body: 32 << 20}

func read(text string) (*Request, *Bad) {
	return ReadRequest(bufio.NewReaderSize(strings.NewReader(text), 16), limits)
}

func TestHeads(t *testing.T) {
	const host = "Host: h\r\n"
	for _, tt := range []struct {
		text   string
		status int // 0: taken
	}{
		{"GET / HTTP/1.1\r\n" + host + "\r\n", 0},
		{"\r\n\r\nGET / HTTP/1.1\r\n" + host + "\r\n", 0},
		{"GET / HTTP/1.1\n" + "host:h\n\n", 0},
		{"GET http://h/a?b HTTP/1.1\r\n" + host + "\r\n", 0},
		{"GET HTTP://h HTTP/1.1\r\n" + host + "\r\n", 0},
		{"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: Chunked\r\n\r\n", 0},
		{"POST / HTTP/1.1\r\n" + host + "Content-Length: 33554432\r\n\r\n", 0},
		{"POST / HTTP/1.1\r\n" + host + "Content-Length: 33554433\r\n\r\n", 413},
		{strings.Repeat("\r\n", maxEmpty+1) + "GET / HTTP/1.1\r\n" + host + "\r\n", 400},
		{"GET / HTTP/1.0\r\n" + host + "\r\n", 505},
		{"GET / HTTP/2.0\r\n" + host + "\r\n", 505},
		{"GET / FTP/1.1\r\n" + host + "\r\n", 400},
		{"GET /\r\n" + host + "\r\n", 400},
		{"GET  / HTTP/1.1\r\n" + host + "\r\n", 400},
		{"GET / HTTP/1.1 \r\n" + host + "\r\n", 400},
		{"G(T / HTTP/1.1\r\n" + host + "\r\n", 400},
		{"GET * HTTP/1.1\r\n" + host + "\r\n", 400},
		{"GET https://h/ HTTP/1.1\r\n" + host + "\r\n", 400},
		{"GET http:///a HTTP/1.1\r\n" + host + "\r\n", 400},
		{"GET /%zz HTTP/1.1\r\n" + host + "\r\n", 400},
		{"GET /a#b HTTP/1.1\r\n" + host + "\r\n", 400},
		{"GET / HTTP/1.1\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\n" + host + host + "\r\n", 400},
		{"GET / HTTP/1.1\r\n" + host + "A b: c\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\n" + host + ": c\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\n" + host + "A: b\r\n c: d\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\n" + host + "A: b\x00c\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\n" + host + "A: b\rc: d\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\n" + host + "Content-Length: 1, 1\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\n" + host + "Content-Length: 0x1\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\n" + host + "Content-Length:\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\n" + host + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked, chunked\r\n\r\n", 501},
		{"POST / HTTP/1.1\r\n" + host + "Expect: x\r\n\r\n", 417},
		{"GET / HTTP/1.1\r\n" + host + strings.Repeat("A: b\r\n", limits.Head), 431},
	} {
		r, bad := read(tt.text)
		switch {
		case tt.status == 0 && bad != nil:
			t.Errorf("%.60q: %+v", tt.text, bad)
		case tt.status != 0 && (bad == nil || bad.Status != tt.status || r != nil):
			t.Errorf("%.60q: %+v, want %d", tt.text, bad, tt.status)
		}
	}
	if _, bad := read("GET / HTTP/1.1\r\nHost: h\r\n"); bad == nil || !bad.Gone {
		t.Errorf("half a head: %+v", bad)
	}
	if r, bad := read("GET http://Host.x/A%20b?c=/ HTTP/1.1\r\nHost: y\r\nconnection: x , CLOSE\r\n\r\n"); bad != nil || r.Host != "Host.x" || r.Target != "/A%20b?c=/" || r.Path != "/A b" || !r.Last {
		t.Errorf("%+v %+v", r, bad)
	}
}

// What one head is to us it is to net/http too: nothing is taken that another reader ends elsewhere.
func FuzzHead(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("POST http://h/a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: u\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		in := bufio.NewReaderSize(bytes.NewReader(raw), 16)
		r, bad := ReadRequest(in, limits)
		if bad != nil {
			return
		}
		other, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(bytes.TrimLeft(raw, "\r\n"))))
		if err != nil {
			return // it is stricter there
		}
		length := other.ContentLength
		if r.Length != length || r.Method != other.Method {
			t.Fatalf("%d bytes of %s here, %d of %s there", r.Length, r.Method, length, other.Method)
		}
		s := NewBody(in, r.Length, limits)
		got, err := io.ReadAll(io.LimitReader(s, limits.Body))
		want, otherErr := io.ReadAll(other.Body)
		if err == nil && otherErr == nil && !bytes.Equal(got, want) {
			t.Fatalf("%q here, %q there", got, want)
		}
		if err == nil && !s.Whole() {
			t.Fatal("an end that is none")
		}
	})
}
