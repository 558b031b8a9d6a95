package simulation

import "testing"

// scratch is a folder for a day's disks.
func scratch(t testing.TB) string { return t.TempDir() }
