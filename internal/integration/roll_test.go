package integration

import (
	"testing"
	"time"

	"saltmast/internal/messages"
	"saltmast/internal/rpc"
)

// TestRoll has a fourth core machine take the place of a voter that is gone with its disk, on the operator's word; then another
// voter goes as well. What was acknowledged before stays acknowledged, and keys and changes go on.
func TestRoll(t *testing.T) {
	t.Parallel()
	m := up(t)
	ops := &keyed{m: m, done: map[string]Answer{}, path: map[string]string{}}
	ops.run(t)
	d := m.Another()
	d.Purser.AwaitSaid(t, 0, "state", "apart")
	m.Cores[2].Kill()
	m.Cores[2].LoseDisk()
	c := rpc.NewClient(nil, m.Cores[0].Addr(free+messages.RegistryPort))
	defer c.Close()
	var told messages.ChangeVotersReply
	Await(t, "another roll", func() bool { // the new machine has to be heard of first
		told = messages.ChangeVotersReply{}
		err := c.Call(messages.ChangeVoters, messages.ChangeVotersCall{Replace: [][2]string{{m.Cores[2].IP, d.Name}}}, &told, 8*time.Second)
		return err == nil && told.Error == ""
	})
	t.Logf("epoch %d after %d ms", told.VoterSet.Epoch, told.TookMs)
	ops.run(t)
	d.Purser.AwaitSaid(t, 0, "state", "serving")
	m.Cores[1].Kill()
	ops.run(t)
	ops.check(t)
	if status, text := m.Operate(Change([]Item{Route("free-alpha", 2, "idempotent", "/free/alpha/", "beta")}, nil), 0); status != 200 {
		t.Errorf("a change: %d %s", status, text)
	}
}
