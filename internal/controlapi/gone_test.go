package controlapi

import (
	"context"
	"fmt"
	"net"
	"testing"
)

// A change hears that its caller has gone.
func TestCallerHasGone(t *testing.T) {
	began, heard := make(chan struct{}), make(chan struct{})
	s := NewServer(&Handler{ChangeConfiguration: func(ctx context.Context, _ []byte) error {
		close(began)
		<-ctx.Done()
		close(heard)
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
	<-began
	c.Close()
	<-heard
}
