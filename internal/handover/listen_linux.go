package handover

import (
	"context"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Listen listens at an address that the other process of this agent may listen at too.
func Listen(addr string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return control(raw, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
	c.SetMultipathTCP(false) // which Go's listeners are by default, and which takes no program
	return c.Listen(context.Background(), "tcp", addr)
}

// Steer has the system give all new connections at a shared address to the process that came second. The one that came
// first then empties its queue and closes without a loss: what is in the queue of a listener that closes is reset. Where
// there is no second one the system goes on as before.
//
// A classic filter program on the group of listeners does it, which needs no rights: it returns the listener's place in
// the group, which is the order in which they came. Of a place that nobody has the system takes no notice.
func Steer(l net.Listener) error {
	program := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	return onSocket(l, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]})
	})
}

// Unsteer takes the program out again, once the process that came first is gone: else the next newcomer would get all
// connections before it serves.
func Unsteer(l net.Listener) error {
	return onSocket(l, func(fd int) error {
		err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_REUSEPORT_BPF, 0)
		if err == unix.ENOENT { // there is none
			return nil
		}
		return err
	})
}

// Empty reports whether no connection waits to be accepted.
func Empty(l net.Listener) bool {
	empty := true
	err := onSocket(l, func(fd int) error {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(p, 0)
		empty = err != nil || n == 0
		return nil
	})
	return empty || err != nil
}

func onSocket(l net.Listener, do func(fd int) error) error {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return fmt.Errorf("%T has no socket", l)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return control(raw, do)
}

func control(raw syscall.RawConn, do func(fd int) error) error {
	var err error
	if e := raw.Control(func(fd uintptr) { err = do(int(fd)) }); e != nil {
		return e
	}
	return err
}
