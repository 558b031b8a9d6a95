package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"testing"
)

func TestSingleHop(t *testing.T) {
	for _, name := range []string{"Connection", "KEEP-ALIVE", "proxy-connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "te",
		"Trailer", "transfer-encoding", "Upgrade"} {
		if !SingleHop(name) {
			t.Errorf("%s goes on", name)
		}
	}
	for _, name := range []string{"", "Host", "Content-Length", "Connection ", "Trailers", "X-Upgrade"} {
		if SingleHop(name) {
			t.Errorf("%q does not go on", name)
		}
	}
}

// An error of a body stays, is told apart from an end of its connection, and what is malformed says so.
func TestBodyErrors(t *testing.T) {
	small := Limits{Head: 64, Body: 4}
	for _, tt := range []struct {
		name   string
		text   string
		length int64
		want   error
	}{
		{"whole", "abcd", 4, nil},
		{"none", "", 0, nil},
		{"chunks", "4\r\nabcd\r\n0\r\nA: b\r\n\r\n", Chunked, nil},
		{"short", "abc", 4, io.ErrUnexpectedEOF},
		{"half a chunk", "4\r\nab", Chunked, io.ErrUnexpectedEOF},
		{"no end of chunks", "4\r\nabcd\r\n", Chunked, io.ErrUnexpectedEOF},
		{"half a trailer", "0\r\nA: b\r\n", Chunked, io.ErrUnexpectedEOF},
		{"no size", "zz\r\n", Chunked, ErrBody},
		{"a malformed trailer", "0\r\nA b\r\n\r\n", Chunked, ErrBody},
		{"a long trailer", "0\r\nA: " + strings.Repeat("b", 64) + "\r\n\r\n", Chunked, ErrBody},
		{"too much", "5\r\nabcde\r\n0\r\n\r\n", Chunked, ErrTooLarge},
	} {
		b := NewBody(bufio.NewReader(strings.NewReader(tt.text+"next")), tt.length, small)
		if tt.want != nil {
			b = NewBody(bufio.NewReader(strings.NewReader(tt.text)), tt.length, small)
		}
		_, err := io.ReadAll(b)
		if !errors.Is(err, tt.want) || b.Whole() != (tt.want == nil) {
			t.Errorf("%s: %v, whole: %t", tt.name, err, b.Whole())
		}
		if again, more := b.Read(make([]byte, 9)); again != 0 || tt.want != nil && more != err || tt.want == nil && more != io.EOF {
			t.Errorf("%s: then %d bytes, %v", tt.name, again, more)
		}
		if rest, _ := io.ReadAll(b.in); tt.want == nil && string(rest) != "next" {
			t.Errorf("%s: %q is left", tt.name, rest)
		}
	}
}

// What AppendHead writes, ReadAnswer and AnswerLength read as it was meant.
func TestAnswersBothWays(t *testing.T) {
	for _, tt := range []struct {
		status int
		length int64
		last   bool
		raw    string
		want   string
		err    error
	}{
		{200, 4, false, "abcd", "abcd", nil},
		{500, 0, true, "", "", nil},
		{204, UntilClose, false, "", "", nil},
		{200, Chunked, false, "4\r\nabcd\r\n0\r\nA: b\r\n\r\n", "abcd", nil},
		{200, UntilClose, true, "abcd", "abcd", nil},
		{200, 5, false, "abcd", "abcd", io.ErrUnexpectedEOF},
		{200, Chunked, false, "4\r\nabcd\r\n", "abcd", io.ErrUnexpectedEOF},
		{200, Chunked, false, "4\r\nabcd\r\n0\r\nA: b\r\n", "abcd", io.ErrUnexpectedEOF},
	} {
		raw := string(AppendHead(nil, tt.status, "A: b\r\n", tt.length, tt.last)) + tt.raw
		in := bufio.NewReader(strings.NewReader(raw))
		status, header, last, err := ReadAnswer(in)
		if err != nil || status != tt.status || last != tt.last || header.Get("A") != "b" {
			t.Errorf("%q: %d %v %t %v", raw, status, header, last, err)
		}
		length, err := AnswerLength(status, header, 5)
		if want := tt.length; err != nil || length != want && status != http.StatusNoContent {
			t.Errorf("%q: length %d, %v", raw, length, err)
		}
		body := AnswerBody(in, length)
		if got, err := io.ReadAll(body); string(got) != tt.want || err != tt.err {
			t.Errorf("%q: %q, %v", raw, got, err)
		}
	}
	for head, want := range map[string]bool{"Connection: x, Close\r\n": true, "Connection: x\r\nConnection: close\r\n": true, "Connection: closed\r\n": false} {
		if _, _, last, err := ReadAnswer(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + head + "\r\n"))); err != nil || last != want {
			t.Errorf("%q: last %v, %v", head, last, err)
		}
	}
	for _, name := range []string{"Content-Length ", "Content Length", "A,B"} {
		if _, h, _, err := ReadAnswer(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n" + name + ": 5\r\n\r\n"))); err == nil {
			t.Errorf("a header named %q is taken: %v", name, h)
		}
	}
	if _, err := AnswerLength(200, textproto.MIMEHeader{"Content-Length": {"6"}}, 5); err == nil {
		t.Error("a length over the most is taken")
	}
}
