package discovery

import (
	"testing"

	"saltmast/internal/testsupport"
)

// Short names for what the rig has.
const long = testsupport.Long

type (
	capture = testsupport.Capture
	lists   = testsupport.Lists
)

var (
	logTo    = testsupport.LogTo
	newLists = testsupport.NewLists
	entry    = testsupport.Entry
)

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	return testsupport.Receive(t, c)
}
