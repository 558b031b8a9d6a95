//go:build !linux

package drive

import "time"

func exact() (end func()) { return func() {} }

func nap(d time.Duration) { time.Sleep(d) }
