// Package usage tells what this process has used, for the kit's reports.
package usage

import (
	"syscall"
	"time"
)

// CPU is the processor time of this process so far, in user and system mode; 0 where the system does not tell.
func CPU() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
