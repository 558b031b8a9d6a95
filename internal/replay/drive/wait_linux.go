package drive

import (
	"runtime"
	"syscall"
	"time"
)

// prSetTimerslack is PR_SET_TIMERSLACK of prctl(2).
const prSetTimerslack = 29

// exact has the calling goroutine keep its thread, and the kernel wake that thread without slack (50 us by default). The
// function that it returns undoes that.
func exact() (end func()) {
	runtime.LockOSThread()
	syscall.RawSyscall(syscall.SYS_PRCTL, prSetTimerslack, 1, 0) // an error leaves the slack as it was
	return func() {
		syscall.RawSyscall(syscall.SYS_PRCTL, prSetTimerslack, 0, 0) // 0: the default
		runtime.UnlockOSThread()
	}
}

// nap sleeps for a moment, by the kernel's own timer: the runtime's are as coarse as a millisecond while nothing else runs.
func nap(d time.Duration) {
	t := syscall.NsecToTimespec(int64(d))
	syscall.Nanosleep(&t, nil) // a signal may end it early: whoever waits looks at the clock
}
