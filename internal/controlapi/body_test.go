package controlapi

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// A body that does not come whole is no wrong one: whoever sent it may go on to another agent.
func TestBodyBreaksOff(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(&Handler{ChangeConfiguration: func(context.Context, []byte) error { t.Error("it was taken"); return nil }})
	s.ReadTimeout = 50 * time.Millisecond
	go s.Serve(l)
	defer s.Close()
	for name, after := range map[string]func(*net.TCPConn){"silence": func(*net.TCPConn) {}, "an end": func(c *net.TCPConn) { c.CloseWrite() }} {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, "PATCH /v1/configuration HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{\"upsert\"")
		after(c.(*net.TCPConn))
		got, _ := io.ReadAll(c)
		if c.Close(); !strings.HasPrefix(string(got), "HTTP/1.1 408 ") {
			t.Errorf("%s: %.60q", name, got)
		}
	}
}
