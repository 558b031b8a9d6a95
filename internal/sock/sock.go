// Package sock looks at sockets without waiting. It owns no connection.
package sock

import (
	"net"
	"syscall"
)

// Look peeks at a socket without waiting. quiet: nothing has come and the other side has not closed it.
// bytes: something is there to be read.
func Look(c net.Conn) (quiet, bytes bool) {
	if l, ok := c.(looker); ok {
		return l.Quiet()
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	var n int
	var peeked error
	if err := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}); err != nil {
		return false, false
	}
	return peeked == syscall.EAGAIN, peeked == nil && n > 0
}

// looker is a connection that is no socket of the system and can tell by itself.
type looker interface {
	Quiet() (quiet, bytes bool)
}

// Closed reports whether the other side has closed its half, or broken the connection, and nothing that it sent before waits
// to be read.
func Closed(c net.Conn) bool {
	_, ok := c.(syscall.Conn)
	_, own := c.(looker)
	quiet, bytes := Look(c)
	return (ok || own) && !quiet && !bytes
}

// Pending reports whether bytes wait to be read.
func Pending(c net.Conn) bool {
	_, bytes := Look(c)
	return bytes
}
