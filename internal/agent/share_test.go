package agent

import (
	"testing"

	"saltmast/internal/bodybuffer"
	"saltmast/internal/config"
	"saltmast/internal/handover"
)

// While two processes live their connections together keep the agent's bound, and a newcomer has what the old one gave back.
// Guards against an upgrade in a crowd whose newcomer accepts no more than half, while the old process holds few: 75 requests
// of 1,650 found no place, and a third was refused for want of connections to backends.
func TestConnectionsOfTwoProcesses(t *testing.T) {
	c := &config.Config{Sockets: 384, Calls: "127.0.0.1:1"}
	whole := c.Connections(2)
	part := func(newcomer, leaving bool, clients, backends int) int {
		a := &Agent{config: c, bodies: bodybuffer.New(0, 0), others: 1, newcomer: newcomer,
			held: handover.Usage{Leaving: leaving, Clients: clients, Backends: backends}}
		return a.split()
	}
	if old, newcomer := part(false, false, 0, 0), part(true, false, 200, 90); old+newcomer > whole || newcomer < whole/8 {
		t.Errorf("%d and %d of %d", old, newcomer, whole)
	}
	for _, held := range []int{0, 50, 150, 250, 400} {
		got := part(true, true, held/2, held-held/2)
		if got+held > whole && got > 2 {
			t.Errorf("%d beside %d, of %d", got, held, whole)
		}
		if held <= whole && got < whole-held {
			t.Errorf("%d beside %d, of %d: some are nobody's", got, held, whole)
		}
	}
	if clients, backends := config.Divide(part(true, true, 40, 20)); clients < 128 || backends < 100 {
		t.Errorf("%d for clients, %d for backends, once the old one holds few", clients, backends)
	}
	for n := range 400 {
		if clients, backends := config.Divide(n); clients+backends > n {
			t.Errorf("%d is divided into %d and %d", n, clients, backends)
		}
	}
}
