package agent

import (
	"context"
	"net"
	"runtime"
	"testing"
	"time"

	"saltmast/internal/config"
	"saltmast/internal/testsupport"
	"saltmast/internal/thrift"
)

// BenchmarkIdleThriftConnections tells what each of a thousand connections that have asked once and rest takes in
// memory, the test's own end of it included. Its time says nothing.
func BenchmarkIdleThriftConnections(b *testing.B) {
	const n = 1000
	p := testsupport.NewThriftPeer(b, func(c net.Conn, m *thrift.Message) bool { c.Write(testsupport.Answered(m, "x", nil)); return true })
	go func() { // what came is of no interest
		for range p.Got {
		}
	}()
	c, err := config.Parse(testsupport.Config("127.0.0.1:1", testsupport.Entry("t0", p.Addr(), "SERVING")))
	if err != nil {
		b.Fatal(err)
	}
	c.Sockets = 16 * n // beyond half of a listener's share connections close with their answer
	if c.Operator, err = config.ParseOperator("x.toml", []byte(operatorFile), c.Names.Classes, c.Settings.Classes); err != nil {
		b.Fatal(err)
	}
	a, err := New(c, testsupport.LogTo(&testsupport.Capture{}))
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	defer func() { stop(); <-ended }()
	<-a.loop.Ready()
	used := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapInuse + m.StackInuse
	}
	call := callFrame(thrift.Binary, 1, "look", "")
	before := used()
	conns := make([]net.Conn, n)
	for i := range conns {
		if conns[i], err = net.Dial("tcp", a.ThriftAddr().String()); err != nil {
			b.Fatal(err)
		}
		defer conns[i].Close()
		conns[i].SetDeadline(time.Now().Add(long))
		conns[i].Write(call)
		if _, err := testsupport.ReadThrift(conns[i]); err != nil {
			b.Fatal(i, err)
		}
	}
	b.ReportMetric(float64(used()-before)/n, "bytes/connection")
	b.ReportMetric(0, "ns/op")
}
