package measure

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"runtime"
	"sync"

	apache "github.com/apache/thrift/lib/go/thrift"

	"saltmast/internal/thrift"
)

// Peer runs a proxy of another make on one core, until the process ends: net/http/httputil.ReverseProxy, or one built on
// Apache's Thrift library, which decodes and encodes the call and the answer as generated code does. The third kind is no
// peer but the floor of any proxy in this language: it passes frames on unread, each caller to a server connection of its
// own, so it takes the reads and writes alone.
func Peer(kind, listen, server string) error {
	runtime.GOMAXPROCS(1)
	switch kind {
	case "http":
		p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: server})
		p.Transport = &http.Transport{MaxIdleConnsPerHost: 1024, DisableCompression: true}
		return http.ListenAndServe(listen, p)
	case "thrift":
		socket, err := apache.NewTServerSocket(listen)
		if err != nil {
			return err
		}
		f := apache.NewTBinaryProtocolFactoryConf(nil)
		p := &apacheProxy{server: server, factory: f}
		return apache.NewTSimpleServer4(p, socket, apache.NewTFramedTransportFactoryConf(apache.NewTTransportFactory(), nil), f).Serve()
	case "relay":
		l, err := net.Listen("tcp", listen)
		if err != nil {
			return err
		}
		for {
			c, err := l.Accept()
			if err != nil {
				return err
			}
			go relay(c, server)
		}
	}
	return ErrPeer
}

// relay passes frames on, one call at a time, until either end closes.
func relay(c net.Conn, server string) {
	defer c.Close()
	s, err := net.Dial("tcp", server)
	if err != nil {
		return
	}
	defer s.Close()
	fromCaller, fromServer := bufio.NewReader(c), bufio.NewReader(s)
	for {
		if pass(fromCaller, s) != nil || pass(fromServer, c) != nil {
			return
		}
	}
}

// pass passes one frame on in one write.
func pass(from *bufio.Reader, to net.Conn) error {
	head, err := from.Peek(4)
	if err != nil {
		return err
	}
	n, err := thrift.FrameLength([4]byte(head), thrift.Limits{})
	if err != nil {
		return err
	}
	frame := make([]byte, 4+n)
	if _, err := io.ReadFull(from, frame); err != nil {
		return err
	}
	_, err = to.Write(frame)
	return err
}

// apacheProxy passes calls on by Apache's own client.
type apacheProxy struct {
	server  string
	factory apache.TProtocolFactory

	mu   sync.Mutex
	idle []*apache.TStandardClient
}

func (p *apacheProxy) client() (*apache.TStandardClient, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		p.mu.Unlock()
		return c, nil
	}
	p.mu.Unlock()
	t := apache.NewTFramedTransportConf(apache.NewTSocketConf(p.server, nil), nil)
	if err := t.Open(); err != nil {
		return nil, err
	}
	return apache.NewTStandardClient(p.factory.GetProtocol(t), p.factory.GetProtocol(t)), nil
}

// Process implements apache.TProcessor.
func (p *apacheProxy) Process(ctx context.Context, in, out apache.TProtocol) (bool, apache.TException) {
	name, _, seq, err := in.ReadMessageBegin(ctx)
	if err != nil {
		return false, apache.WrapTException(err)
	}
	var a callArgs
	if err := a.Read(ctx, in); err != nil {
		return false, apache.WrapTException(err)
	}
	in.ReadMessageEnd(ctx)
	var r callResult
	c, err := p.client()
	if err == nil {
		_, err = c.Call(ctx, name, &a, &r)
	}
	if err != nil {
		out.WriteMessageBegin(ctx, name, apache.EXCEPTION, seq)
		apache.NewTApplicationException(apache.INTERNAL_ERROR, err.Error()).Write(ctx, out)
	} else {
		p.mu.Lock()
		p.idle = append(p.idle, c)
		p.mu.Unlock()
		out.WriteMessageBegin(ctx, name, apache.REPLY, seq)
		r.Write(ctx, out)
	}
	out.WriteMessageEnd(ctx)
	return true, apache.WrapTException(out.Flush(ctx))
}

// ProcessorMap implements apache.TProcessor.
func (p *apacheProxy) ProcessorMap() map[string]apache.TProcessorFunction { return nil }

// AddToProcessorMap implements apache.TProcessor.
func (p *apacheProxy) AddToProcessorMap(string, apache.TProcessorFunction) {}

// callArgs and callResult are the structs of the stand-ins' calls, read and written as generated code does.
type callArgs struct {
	id, key, route string
	budget         int32
	payload        []byte
}

type callResult struct{ text string }

func eachField(ctx context.Context, p apache.TProtocol, take func(id int16, t apache.TType) (bool, error)) error {
	if _, err := p.ReadStructBegin(ctx); err != nil {
		return err
	}
	for {
		_, t, id, err := p.ReadFieldBegin(ctx)
		if err != nil {
			return err
		}
		if t == apache.STOP {
			break
		}
		known, err := take(id, t)
		if err == nil && !known {
			err = p.Skip(ctx, t)
		}
		if err != nil {
			return err
		}
		if err := p.ReadFieldEnd(ctx); err != nil {
			return err
		}
	}
	return p.ReadStructEnd(ctx)
}

func (a *callArgs) Read(ctx context.Context, p apache.TProtocol) error {
	return eachField(ctx, p, func(id int16, t apache.TType) (bool, error) {
		if id != 1 || t != apache.STRUCT {
			return false, nil
		}
		return true, eachField(ctx, p, func(id int16, _ apache.TType) (ok bool, err error) {
			ok = true
			switch id {
			case 1:
				a.id, err = p.ReadString(ctx)
			case 2:
				a.key, err = p.ReadString(ctx)
			case 3:
				a.budget, err = p.ReadI32(ctx)
			case 4:
				a.route, err = p.ReadString(ctx)
			case 5:
				a.payload, err = p.ReadBinary(ctx)
			default:
				ok = false
			}
			return ok, err
		})
	})
}

func (a *callArgs) Write(ctx context.Context, p apache.TProtocol) error {
	p.WriteStructBegin(ctx, "args")
	p.WriteFieldBegin(ctx, "r", apache.STRUCT, 1)
	p.WriteStructBegin(ctx, "Request")
	text := func(name string, id int16, s string) {
		p.WriteFieldBegin(ctx, name, apache.STRING, id)
		p.WriteString(ctx, s)
		p.WriteFieldEnd(ctx)
	}
	text("id", 1, a.id)
	if a.key != "" {
		text("key", 2, a.key)
	}
	p.WriteFieldBegin(ctx, "budgetMs", apache.I32, 3)
	p.WriteI32(ctx, a.budget)
	p.WriteFieldEnd(ctx)
	text("route", 4, a.route)
	p.WriteFieldBegin(ctx, "payload", apache.STRING, 5)
	p.WriteBinary(ctx, a.payload)
	p.WriteFieldEnd(ctx)
	p.WriteFieldStop(ctx)
	p.WriteStructEnd(ctx)
	p.WriteFieldEnd(ctx)
	p.WriteFieldStop(ctx)
	return p.WriteStructEnd(ctx)
}

func (r *callResult) Read(ctx context.Context, p apache.TProtocol) error {
	return eachField(ctx, p, func(id int16, t apache.TType) (bool, error) {
		if id != 0 || t != apache.STRUCT {
			return false, nil
		}
		return true, eachField(ctx, p, func(id int16, _ apache.TType) (ok bool, err error) {
			if id == 1 {
				r.text, err = p.ReadString(ctx)
			}
			return id == 1, err
		})
	})
}

func (r *callResult) Write(ctx context.Context, p apache.TProtocol) error {
	p.WriteStructBegin(ctx, "result")
	p.WriteFieldBegin(ctx, "success", apache.STRUCT, 0)
	p.WriteStructBegin(ctx, "Answer")
	p.WriteFieldBegin(ctx, "text", apache.STRING, 1)
	p.WriteString(ctx, r.text)
	p.WriteFieldEnd(ctx)
	p.WriteFieldStop(ctx)
	p.WriteStructEnd(ctx)
	p.WriteFieldEnd(ctx)
	p.WriteFieldStop(ctx)
	return p.WriteStructEnd(ctx)
}
