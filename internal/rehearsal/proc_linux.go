package rehearsal

import (
	"fmt"
	"syscall"
)

// ownGroup keeps a terminal's Ctrl-C from the agents, who are stopped by the kit, and ends them with it should it
// be killed outright.
func ownGroup() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}

// maxRSS is in bytes.
func maxRSS(u *syscall.Rusage) int64 { return u.Maxrss << 10 }

// host is a loopback address of its own for each of many: a listener there is never in the way of a connection's
// own port, which the system picks on 127.0.0.1. Each run has a network of its own: a server that is down would find its port
// taken by another run's when it comes back.
func host(run, block, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+run%250, block+i/250, 1+i%250)
}
