package log

import "syscall"

// Sync is fdatasync: the segments have their size beforehand, so that there is no more to write than the data.
func (f file) Sync() error {
	for {
		if err := syscall.Fdatasync(int(f.Fd())); err != syscall.EINTR {
			return err
		}
	}
}
