package agent

import (
	"fmt"
	"net"
	"testing"
	"time"

	"saltmast/internal/config"
	"saltmast/internal/testsupport"
	"saltmast/internal/thrift"
)

// thriftConfig is that of an agent whose Thrift servers are t0, t1 ...
func thriftConfig(t *testing.T, addrs ...string) *config.Config {
	t.Helper()
	var servers []string
	for i, addr := range addrs {
		servers = append(servers, entry(fmt.Sprint("t", i), addr, "SERVING"))
	}
	c := configOf(t, newLists(t).Addr, servers...)
	var err error
	if c.Operator, err = config.ParseOperator("x.toml", []byte(operatorFile), c.Names.Classes, c.Settings.Classes); err != nil {
		t.Fatal(err)
	}
	return c
}

func thriftEcho(c net.Conn, m *thrift.Message) bool {
	v, _ := thrift.Find(m, 1)
	c.Write(testsupport.Answered(m, "did "+string(v.Bytes()), nil))
	return true
}

// served makes a call that must be served, on a connection.
func servedThrift(t *testing.T, c net.Conn, id string) {
	t.Helper()
	c.Write(callFrame(thrift.Binary, 1, "saleSettle", id))
	m, err := testsupport.ReadThrift(c)
	if err != nil || m.Type != thrift.Reply {
		t.Fatalf("%s: %+v, %v", id, m, err)
	}
}

// Twins of the HTTP front's tests: callers that say nothing, or ask once and stay, leave room for others.
func TestThriftConnectionsThatStay(t *testing.T) {
	for _, asks := range []bool{false, true} {
		t.Run(fmt.Sprint("asks ", asks), func(t *testing.T) {
			t.Parallel()
			c := thriftConfig(t, testsupport.NewThriftPeer(t, thriftEcho).Addr())
			c.Sockets = 16 // 4 for Thrift callers
			a, _ := startWith(t, c, func(a *Agent) { a.thrift.RestFor, a.thrift.MuteFor = time.Millisecond, time.Millisecond })
			for i := range 12 {
				conn := rawThrift(t, a)
				if asks {
					servedThrift(t, conn, fmt.Sprint("c", i))
				}
			}
			servedThrift(t, rawThrift(t, a), "last")
		})
	}
}

func TestThriftRoomIsNotMadeOfRequests(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	p := testsupport.NewThriftPeer(t, func(c net.Conn, m *thrift.Message) bool { <-gate; return thriftEcho(c, m) })
	c := thriftConfig(t, p.Addr())
	c.Sockets = 4 // 1 for Thrift callers
	a, _ := startWith(t, c, func(a *Agent) { a.thrift.RestFor, a.thrift.MuteFor = time.Minute, time.Minute })
	first := rawThrift(t, a)
	first.Write(callFrame(thrift.Binary, 1, "saleSettle", "one"))
	receive(t, p.Got)
	second := rawThrift(t, a) // waits in the system's queue
	second.Write(callFrame(thrift.Binary, 1, "saleSettle", "two"))
	if wait, ok := a.thrift.Room(time.Now().Add(time.Hour)); ok {
		t.Errorf("room was made of an open call (%v)", wait)
	}
	close(gate)
	for _, c := range []net.Conn{first, second} {
		if m, err := testsupport.ReadThrift(c); err != nil || m.Type != thrift.Reply {
			t.Errorf("%+v, %v", m, err)
		}
		c.Close() // makes room for the next
	}
}

func TestThriftCrowdedConnectionsCloseWithTheAnswer(t *testing.T) {
	t.Parallel()
	c := thriftConfig(t, testsupport.NewThriftPeer(t, thriftEcho).Addr())
	c.Sockets = 16 // 4 for Thrift callers
	a, _ := startWith(t, c, func(a *Agent) { a.thrift.RestFor = time.Hour })
	for i := range 6 {
		servedThrift(t, rawThrift(t, a), fmt.Sprint("c", i))
	}
}

// A kept connection that its server has closed is noticed before anything is written to it.
func TestThriftKeptConnectionThatEnded(t *testing.T) {
	t.Parallel()
	p := testsupport.NewThriftPeer(t, func(c net.Conn, m *thrift.Message) bool { thriftEcho(c, m); return false })
	a, _ := startWith(t, thriftConfig(t, p.Addr()), func(*Agent) {})
	c := rawThrift(t, a)
	for i := range 5 {
		servedThrift(t, c, fmt.Sprint("c", i))
	}
}

// A sale goes on to another server where the first lets no connection come up: nothing can have run there.
func TestThriftUnsafeGoesOnAfterNoConnection(t *testing.T) {
	t.Parallel()
	dead, err := net.Listen("tcp", "127.0.0.77:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	p := testsupport.NewThriftPeer(t, thriftEcho)
	a, _ := startWith(t, thriftConfig(t, dead.Addr().String(), p.Addr()), func(*Agent) {})
	c := rawThrift(t, a)
	for i := range 8 {
		servedThrift(t, c, fmt.Sprint("c", i))
	}
}

// A caller that leaves takes its call along: nothing more goes out for it.
func TestThriftCallerLeaves(t *testing.T) {
	t.Parallel()
	p := testsupport.NewThriftPeer(t, func(net.Conn, *thrift.Message) bool { return true }) // never answers
	a, _ := startWith(t, thriftConfig(t, p.Addr()), func(*Agent) {})
	c := rawThrift(t, a)
	c.Write(callFrame(thrift.Binary, 1, "limitHold", "one"))
	receive(t, p.Got)
	c.Close()
	receive(t, p.Closed) // the attempt is given up
	if len(p.Got) != 0 {
		t.Error("it went out again")
	}
}
