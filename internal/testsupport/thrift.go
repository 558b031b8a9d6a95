package testsupport

import (
	"encoding/binary"
	"io"
	"net"
	"testing"

	"saltmast/internal/thrift"
)

// ThriftPeer is a server that hands each framed call that has come whole to the test, which answers on the connection
// and returns whether that stays open.
type ThriftPeer struct {
	net.Listener
	Got    chan *thrift.Message // what came
	Closed chan struct{}        // one for each connection whose other side has closed it
}

// NewThriftPeer starts a server until the test ends.
func NewThriftPeer(t testing.TB, do func(net.Conn, *thrift.Message) bool) *ThriftPeer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &ThriftPeer{Listener: l, Got: make(chan *thrift.Message, 100), Closed: make(chan struct{}, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for {
					m, err := ReadThrift(c)
					if err != nil {
						p.Closed <- struct{}{}
						return
					}
					p.Got <- m
					if !do(c, m) {
						return
					}
				}
			}()
		}
	}()
	return p
}

// Addr is where it listens.
func (p *ThriftPeer) Addr() string { return p.Listener.Addr().String() }

// ReadThrift reads one framed message.
func ReadThrift(c io.Reader) (*thrift.Message, error) {
	var head [4]byte
	if _, err := io.ReadFull(c, head[:]); err != nil {
		return nil, err
	}
	frame := make([]byte, binary.BigEndian.Uint32(head[:]))
	if _, err := io.ReadFull(c, frame); err != nil {
		return nil, err
	}
	m, err := thrift.Scan(frame, thrift.Limits{Frame: 1 << 24})
	return &m, err
}

// Answered is a framed reply to a call, with a text as the first field of its result, or its change.
func Answered(m *thrift.Message, text string, change func(*thrift.Message)) []byte {
	r := *m
	r.Type = thrift.Reply
	w := thrift.NewWriter(r.Protocol)
	w.Text(0, []byte(text))
	r.Body = w.Done()
	if change != nil {
		change(&r)
	}
	return thrift.AppendFrame(nil, &r)
}
