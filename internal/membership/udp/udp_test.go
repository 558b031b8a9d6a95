package udp

import (
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/goleak"

	"saltmast/internal/membership"
)

// startRunner starts a Runner on loopback, and returns it with its address and a channel that receives its changes.
func startRunner(t *testing.T, i int, seeds []netip.AddrPort) (*Runner, netip.AddrPort, chan membership.Change) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	changes := make(chan membership.Change, 1000)
	c := Start(Options{
		Conn: conn,
		Membership: membership.Options{
			Self:   membership.Member{Name: fmt.Sprint("tug-", i), Life: uint64(i + 1), Addr: addr},
			Seeds:  seeds,
			Rand:   rand.New(rand.NewSource(int64(i))),
			Period: 50 * time.Millisecond,
		},
		OnChange: func(cs []membership.Change) {
			for _, ch := range cs {
				changes <- ch
			}
		},
	})
	t.Cleanup(func() { c.Close() })
	return c, addr, changes
}

// await reads changes until one says that the named member is in state s.
func await(t *testing.T, changes chan membership.Change, name string, s membership.State) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case c := <-changes:
			if c.After.Name == name && c.After.State == s {
				return
			}
		case <-timeout:
			t.Fatalf("%s does not become %v", name, s)
		}
	}
}

func TestThreeOnLoopback(t *testing.T) {
	defer goleak.VerifyNone(t)
	a, addr, changesA := startRunner(t, 0, nil)
	b, _, changesB := startRunner(t, 1, []netip.AddrPort{addr})
	c, _, _ := startRunner(t, 2, []netip.AddrPort{addr})
	await(t, changesA, "tug-1", membership.Alive)
	await(t, changesB, "tug-2", membership.Alive)
	if s := a.Snapshot(); len(s.Members) < 2 || s.Members[0].Name != "tug-0" {
		t.Errorf("the snapshot is %+v", s)
	}
	if err := b.SetMeta([]byte("berth 7")); err != nil {
		t.Error(err)
	}
	if err := b.SetMeta(make([]byte, membership.MetaBytes+1)); !errors.Is(err, membership.ErrMember) {
		t.Errorf("SetMeta with too much data: %v", err)
	}
	b.ConfirmAlive("tug-0")
	if err := b.Leave(); err != nil {
		t.Error(err)
	}
	await(t, changesA, "tug-1", membership.Left)
	c.Close()
	await(t, changesA, "tug-2", membership.Dead)
	for _, x := range []*Runner{a, b} {
		if err := x.Close(); err != nil {
			t.Error(err)
		}
		if err := x.SetSeeds(nil); !errors.Is(err, ErrClosed) {
			t.Errorf("SetSeeds after Close: %v", err)
		}
	}
}
