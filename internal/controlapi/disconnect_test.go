package controlapi

import (
	"context"
	"fmt"
	"net"
	"testing"
)

// TestCallerDisconnects checks that the context of a change is canceled when its caller disconnects.
func TestCallerDisconnects(t *testing.T) {
	started, canceled := make(chan struct{}), make(chan struct{})
	s := NewServer(&Handler{ChangeConfiguration: func(ctx context.Context, _ []byte) error {
		close(started)
		<-ctx.Done()
		close(canceled)
		return ctx.Err()
	}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	defer s.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "PATCH /v1/configuration HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}")
	<-started
	c.Close()
	<-canceled
}
