//go:build !linux

package rehearsal

import "syscall"

// ownGroup keeps a terminal's Ctrl-C from the agents, who are stopped by the kit.
func ownGroup() *syscall.SysProcAttr { return &syscall.SysProcAttr{Setpgid: true} }

// maxRSS is in bytes.
func maxRSS(u *syscall.Rusage) int64 { return u.Maxrss }

// host is the one loopback address that is there without set-up.
func host(run, block, i int) string { return "127.0.0.1" }
