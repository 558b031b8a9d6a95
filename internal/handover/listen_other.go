//go:build !linux

package handover

import "net"

// Listen listens at an address; here no other process can share it.
func Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Steer does nothing here.
func Steer(net.Listener) error { return nil }

// Unsteer does nothing here.
func Unsteer(net.Listener) error { return nil }

// Empty reports whether no connection waits to be accepted; here nobody knows.
func Empty(net.Listener) bool { return true }
