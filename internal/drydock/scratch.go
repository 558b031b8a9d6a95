package drydock

import (
	"os"
	"testing"
)

// scratch is a folder for a day's disks, in memory where the system has some: what a sync is for is tested in internal/hold.
func scratch(t testing.TB) string {
	if dir, err := os.MkdirTemp("/dev/shm", "drydock"); err == nil {
		t.Cleanup(func() { os.RemoveAll(dir) })
		return dir
	}
	return t.TempDir()
}
