package upstream

import (
	"testing"

	"saltmast/internal/testsupport"
)

// Short names for what the rig has.
const long = testsupport.Long

type (
	capture = testsupport.Capture
)

var (
	logTo      = testsupport.LogTo
	newPeer    = testsupport.NewPeer
	answerWith = testsupport.AnswerWith
	echo       = testsupport.Echo
	hang       = testsupport.Hang
	until      = testsupport.Until
)

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	return testsupport.Receive(t, c)
}
