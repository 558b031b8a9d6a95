package controlapi

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestIncompleteBody checks that a request whose body is incomplete is answered with 408, not as malformed, so that its caller may
// try another agent.
func TestIncompleteBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(&Handler{ChangeConfiguration: func(context.Context, []byte) error { t.Error("the change was applied"); return nil }})
	s.ReadTimeout = 50 * time.Millisecond
	go s.Serve(l)
	defer s.Close()
	for name, after := range map[string]func(*net.TCPConn){"silence": func(*net.TCPConn) {}, "an end": func(conn *net.TCPConn) { conn.CloseWrite() }} {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(conn, "PATCH /v1/configuration HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"upsert\"")
		after(conn.(*net.TCPConn))
		got, _ := io.ReadAll(conn)
		if conn.Close(); !strings.HasPrefix(string(got), "HTTP/1.1 408 ") {
			t.Errorf("%s: %.60q", name, got)
		}
	}
}
