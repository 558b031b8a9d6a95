package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	apache "github.com/apache/thrift/lib/go/thrift"

	"saltmast/internal/config"
	thriftfront "saltmast/internal/front/thrift"
	"saltmast/internal/testsupport"
	"saltmast/internal/thrift"
)

const operatorFile = `
[thrift]
listen = "127.0.0.1:0"
ids = "t*"
rejected = "rejected"
[[thrift.method]]
name = "look"
class = "look"
id = "1"
budget_ms = "3"
[[thrift.method]]
name = "limitHold"
class = "hold"
id = "1"
key = "2"
budget_ms = "3"
[[thrift.method]]
name = "saleSettle"
class = "settle"
id = "1"
budget_ms = "3"
[[thrift.method]]
name = "note"
class = "settle"
id = "1"
oneway = true
[[thrift.method]]
name = "Auth:saleSettle"
class = "settle"
`

// thriftAgent runs an agent whose Thrift servers are t0, t1 ...
func thriftAgent(t *testing.T, protocol string, addrs ...string) (*Agent, *capture) {
	t.Helper()
	var servers []string
	for i, addr := range addrs {
		servers = append(servers, entry(fmt.Sprint("t", i), addr, "SERVING"))
	}
	c := configOf(t, newLists(t).Addr, servers...)
	var err error
	text := strings.Replace(operatorFile, "[[thrift", "protocol = \""+protocol+"\"\n[[thrift", 1)
	if c.Operator, err = config.ParseOperator("x.toml", []byte(text), c.Names.Classes, c.Settings.Classes); err != nil {
		t.Fatal(err)
	}
	return start(t, c, nil)
}

// arg is a request's struct for Apache's library: 1 id, 2 key, 3 budget.
type arg struct {
	id, key string
	budget  int32
}

func (a *arg) Write(ctx context.Context, p apache.TProtocol) error {
	p.WriteStructBegin(ctx, "args")
	text := func(id int16, s string) {
		if s != "" {
			p.WriteFieldBegin(ctx, "f", apache.STRING, id)
			p.WriteString(ctx, s)
		}
	}
	text(1, a.id)
	text(2, a.key)
	if a.budget > 0 {
		p.WriteFieldBegin(ctx, "budget", apache.I32, 3)
		p.WriteI32(ctx, a.budget)
	}
	p.WriteFieldStop(ctx)
	return p.WriteStructEnd(ctx)
}

func (a *arg) Read(ctx context.Context, p apache.TProtocol) error { return readFields(ctx, p, a) }

// result is a result's struct: 0 the text, or 1 a declared exception with a text.
type result struct{ text, declared string }

func (r *result) Write(ctx context.Context, p apache.TProtocol) error {
	p.WriteStructBegin(ctx, "result")
	if r.declared != "" {
		p.WriteFieldBegin(ctx, "no", apache.STRUCT, 1)
		p.WriteStructBegin(ctx, "Declined")
		p.WriteFieldBegin(ctx, "why", apache.STRING, 1)
		p.WriteString(ctx, r.declared)
		p.WriteFieldStop(ctx)
		p.WriteStructEnd(ctx)
	} else {
		p.WriteFieldBegin(ctx, "success", apache.STRING, 0)
		p.WriteString(ctx, r.text)
	}
	p.WriteFieldStop(ctx)
	return p.WriteStructEnd(ctx)
}

func (r *result) Read(ctx context.Context, p apache.TProtocol) error { return readFields(ctx, p, r) }

func readFields(ctx context.Context, p apache.TProtocol, into any) error {
	p.ReadStructBegin(ctx)
	for {
		_, kind, id, err := p.ReadFieldBegin(ctx)
		if err != nil || kind == apache.STOP {
			return err
		}
		switch v := into.(type) {
		case *arg:
			switch id {
			case 1:
				v.id, err = p.ReadString(ctx)
			case 2:
				v.key, err = p.ReadString(ctx)
			default:
				err = p.Skip(ctx, kind)
			}
		case *result:
			if id == 0 {
				v.text, err = p.ReadString(ctx)
			} else {
				var inner result
				p.ReadStructBegin(ctx)
				p.ReadFieldBegin(ctx)
				inner.text, err = p.ReadString(ctx)
				p.ReadFieldBegin(ctx)
				v.declared = inner.text
			}
		}
		if err != nil {
			return err
		}
	}
}

// handler is a server's processor for Apache's library.
type handler struct {
	got    chan string // method and id of each call
	oneway chan string
}

func (h *handler) Process(ctx context.Context, in, out apache.TProtocol) (bool, apache.TException) {
	name, kind, seq, err := in.ReadMessageBegin(ctx)
	if err != nil {
		return false, apache.WrapTException(err)
	}
	var a arg
	if err := a.Read(ctx, in); err != nil {
		return false, apache.WrapTException(err)
	}
	in.ReadMessageEnd(ctx)
	if kind == apache.ONEWAY {
		h.oneway <- name + " " + a.id
		return true, nil
	}
	h.got <- name + " " + a.id
	switch {
	case strings.HasPrefix(a.id, "declined"):
		out.WriteMessageBegin(ctx, name, apache.REPLY, seq)
		(&result{declared: "no funds"}).Write(ctx, out)
	case strings.HasPrefix(a.id, "error"):
		out.WriteMessageBegin(ctx, name, apache.EXCEPTION, seq)
		apache.NewTApplicationException(apache.INTERNAL_ERROR, "boom").Write(ctx, out)
	default:
		out.WriteMessageBegin(ctx, name, apache.REPLY, seq)
		(&result{text: "did " + a.id}).Write(ctx, out)
	}
	out.WriteMessageEnd(ctx)
	out.Flush(ctx)
	return true, nil
}

func (h *handler) ProcessorMap() map[string]apache.TProcessorFunction  { return nil }
func (h *handler) AddToProcessorMap(string, apache.TProcessorFunction) {}

func factory(p thrift.Protocol) apache.TProtocolFactory {
	if p == thrift.Compact {
		return apache.NewTCompactProtocolFactoryConf(nil)
	}
	return apache.NewTBinaryProtocolFactoryConf(nil)
}

// apacheServer runs a server of Apache's library.
func apacheServer(t *testing.T, p thrift.Protocol) (*handler, string) {
	t.Helper()
	socket, err := apache.NewTServerSocket("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := socket.Listen(); err != nil {
		t.Fatal(err)
	}
	h := &handler{got: make(chan string, 100), oneway: make(chan string, 100)}
	s := apache.NewTSimpleServer4(h, socket, apache.NewTFramedTransportFactoryConf(apache.NewTTransportFactory(), nil), factory(p))
	done := make(chan struct{})
	go func() { s.Serve(); close(done) }()
	t.Cleanup(func() {
		apache.ServerStopTimeout = time.Millisecond // its connections are the agent's to close
		s.Stop()
		<-done
	})
	return h, socket.Addr().String()
}

// apacheClient is a client of Apache's library.
func apacheClient(t *testing.T, a *Agent, p thrift.Protocol) apache.TClient {
	t.Helper()
	trans := apache.NewTFramedTransportConf(apache.NewTSocketConf(a.ThriftAddr().String(), &apache.TConfiguration{SocketTimeout: long}), nil)
	if err := trans.Open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { trans.Close() })
	f := factory(p)
	return apache.NewTStandardClient(f.GetProtocol(trans), f.GetProtocol(trans))
}

func typeID(err error) int32 {
	var e apache.TApplicationException
	if errors.As(err, &e) {
		return e.TypeId()
	}
	return -1
}

// Clients and servers of Apache's own library, framed, in every pairing of the protocols.
func TestThriftWithApachesLibrary(t *testing.T) {
	for _, caller := range []thrift.Protocol{thrift.Binary, thrift.Compact} {
		for _, server := range []thrift.Protocol{thrift.Binary, thrift.Compact} {
			t.Run(fmt.Sprintf("%v to %v", caller, server), func(t *testing.T) {
				h, addr := apacheServer(t, server)
				a, _ := thriftAgent(t, server.String(), addr)
				c := apacheClient(t, a, caller)
				call := func(method string, in *arg) (result, error) {
					var out result
					_, err := c.Call(context.Background(), method, in, &out)
					return out, err
				}
				for _, m := range []string{"look", "limitHold", "saleSettle"} {
					out, err := call(m, &arg{id: m + "1", key: "k", budget: 5000})
					if err != nil || out.text != "did "+m+"1" {
						t.Errorf("%s: %+v, %v", m, out, err)
					}
					if got := receive(t, h.got); got != m+" "+m+"1" {
						t.Errorf("the server got %q", got)
					}
				}
				if out, err := call("saleSettle", &arg{id: "declined1"}); err != nil || out.declared != "no funds" {
					t.Errorf("a declared exception: %+v, %v", out, err)
				}
				receive(t, h.got)
				if _, err := call("saleSettle", &arg{id: "error1"}); typeID(err) != int32(thriftfront.Failed) {
					t.Errorf("an error: %v", err)
				}
				receive(t, h.got)
				if _, err := call("limitHold", &arg{id: "nokey"}); typeID(err) != apache.PROTOCOL_ERROR {
					t.Errorf("without its key: %v", err)
				}
				if _, err := call("nosuch", &arg{id: "x"}); typeID(err) != apache.UNKNOWN_METHOD {
					t.Errorf("an unknown method: %v", err)
				}
				// This library marks a oneway call as any other, and reads no answer: the file must tell.
				if _, err := c.Call(context.Background(), "note", &arg{id: "oneway1"}, nil); err != nil {
					t.Errorf("a oneway: %v", err)
				}
				if got := receive(t, h.oneway); got != "note oneway1" {
					t.Errorf("the server got %q", got)
				}
				if out, err := call("look", &arg{id: "after"}); err != nil || out.text != "did after" {
					t.Errorf("a call behind a oneway: %+v, %v", out, err)
				}
				receive(t, h.got)
				if len(h.got) != 0 {
					t.Errorf("the server got %d calls more", len(h.got))
				}
			})
		}
	}
}

// raw is a connection of a caller that says what the test says.
func rawThrift(t *testing.T, a *Agent) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", a.ThriftAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(long))
	return c
}

func callFrame(p thrift.Protocol, seq int32, name, id string) []byte {
	w := thrift.NewWriter(p)
	w.Text(1, []byte(id))
	w.Text(2, []byte("key"))
	w.Int(thrift.I32, 3, 7000)
	return thrift.AppendFrame(nil, &thrift.Message{Protocol: p, Type: thrift.Call, Seq: seq, Name: []byte(name), Body: w.Done()})
}

func closed(t *testing.T, c net.Conn) {
	t.Helper()
	if b, err := io.ReadAll(c); isTimeout(err) {
		t.Errorf("the connection is still open, after %q", b)
	}
}

// A frame that is cut off halfway goes nowhere, and its connection ends.
func TestThriftCallCutOff(t *testing.T) {
	t.Parallel()
	p := testsupport.NewThriftPeer(t, func(net.Conn, *thrift.Message) bool { return false })
	a, _ := thriftAgent(t, "binary", p.Addr())
	whole := callFrame(thrift.Binary, 1, "saleSettle", "a1")
	for _, n := range []int{1, 4, 5, len(whole) / 2, len(whole) - 1} {
		c := rawThrift(t, a)
		c.Write(whole[:n])
		c.(*net.TCPConn).CloseWrite()
		closed(t, c)
	}
	if len(p.Got) != 0 {
		t.Errorf("the server got %d calls", len(p.Got))
	}
}

// What is no Thrift ends its connection clearly, on either port, and is logged once.
func TestThriftForeignBytes(t *testing.T) {
	t.Parallel()
	p := testsupport.NewThriftPeer(t, func(net.Conn, *thrift.Message) bool { return false })
	a, logged := thriftAgent(t, "binary", p.Addr())
	bad := map[string]string{
		"HTTP":           "GET /look HTTP/1.1\r\nHost: x\r\n\r\n",
		"length 0":       "\x00\x00\x00\x00",
		"negative":       "\xff\xff\xff\xff",
		"2 GiB":          "\x7f\xff\xff\xff",
		"noise":          "\x00\x00\x00\x05abcde",
		"unframed":       "\x80\x01\x00\x01\x00\x00\x00\x04look",
		"a reply":        string(testsupport.Answered(&thrift.Message{Name: []byte("look")}, "x", nil)),
		"nesting bomb":   "\x00\x00\x00\x60\x82\x21\x01\x04look" + strings.Repeat("\x1c", 88),
		"a billion more": "\x00\x00\x00\x11\x82\x21\x01\x04look\x19\xf5\x80\x94\xeb\xdc\x03\x00\x00",
	}
	for name, text := range bad {
		c := rawThrift(t, a)
		io.WriteString(c, text)
		if b, err := io.ReadAll(c); isTimeout(err) || len(b) != 0 {
			t.Errorf("%s: %q, %v", name, b, err)
		}
	}
	if n := strings.Count(logged.String(), "no framed Thrift on its port"); n != 1 {
		t.Errorf("logged %d times", n)
	}
	c := dialRaw(t, a, string(callFrame(thrift.Binary, 1, "look", "a1")))
	if resp, err := io.ReadAll(c); isTimeout(err) || len(resp) > 0 && !strings.HasPrefix(string(resp), "HTTP/1.1 400") {
		t.Errorf("Thrift on the HTTP port: %q, %v", resp, err)
	}
	if len(p.Got) != 0 {
		t.Errorf("the server got %d calls", len(p.Got))
	}
}

// Calls that are pipelined on one connection run at once and are answered by sequence id; two under one id one after
// the other.
func TestThriftPipelining(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	p := testsupport.NewThriftPeer(t, func(c net.Conn, m *thrift.Message) bool {
		v, _ := thrift.Find(m, 1)
		if string(v.Bytes()) == "slow" {
			<-gate
		}
		c.Write(testsupport.Answered(m, string(v.Bytes()), nil))
		return true
	})
	a, _ := thriftAgent(t, "binary", p.Addr())
	c := rawThrift(t, a)
	var all []byte
	all = append(all, callFrame(thrift.Compact, 5, "saleSettle", "slow")...)
	all = append(all, callFrame(thrift.Binary, 6, "saleSettle", "quick")...)
	all = append(all, callFrame(thrift.Compact, -7, "look", "other")...)
	c.Write(all)
	seen := map[int32]string{}
	take := func() int32 {
		m, err := testsupport.ReadThrift(c)
		if err != nil {
			t.Fatal(err)
		}
		v, _ := thrift.Find(m, 0)
		seen[m.Seq] = string(v.Bytes()) + " " + m.Protocol.String()
		return m.Seq
	}
	take()
	take()
	if seen[6] != "quick binary" || seen[-7] != "other compact" {
		t.Errorf("%v", seen)
	}
	c.Write(callFrame(thrift.Binary, 5, "saleSettle", "again"))
	c.Write(callFrame(thrift.Binary, 8, "saleSettle", "behind"))
	close(gate)
	if seq := take(); seq != 5 || seen[5] != "slow compact" {
		t.Errorf("first %d: %v", seq, seen)
	}
	take()
	take()
	if seen[5] != "again binary" || seen[8] != "behind binary" {
		t.Errorf("%v", seen)
	}
}

// A refusal and a failure are told apart; an unsafe call in doubt is failed and never sent again, one that was turned
// away is tried elsewhere; an id that is open already is not taken; a keyed one is tried again in its pod.
func TestThriftFinalAnswers(t *testing.T) {
	t.Parallel()
	var turned atomic.Bool
	hung := make(chan struct{})
	defer close(hung)
	p := testsupport.NewThriftPeer(t, func(c net.Conn, m *thrift.Message) bool {
		v, _ := thrift.Find(m, 1)
		id := string(v.Bytes())
		switch {
		case strings.HasPrefix(id, "full"):
			c.Write(thrift.AppendException(nil, m, thrift.InternalError, "rejected: full"))
			return true
		case strings.HasPrefix(id, "reset"), id == "hold" && !turned.Swap(true):
			return false
		case strings.HasPrefix(id, "hang"):
			<-hung
			return false
		}
		c.Write(testsupport.Answered(m, "did "+id, nil))
		return true
	})
	a, _ := thriftAgent(t, "binary", p.Addr())
	ask := func(name, id string) *thrift.Message {
		c := rawThrift(t, a)
		c.Write(callFrame(thrift.Binary, 3, name, id))
		m, err := testsupport.ReadThrift(c)
		if err != nil {
			t.Fatal(name, id, err)
		}
		return m
	}
	sent := func(id string) (n int) {
		for len(p.Got) > 0 {
			m := <-p.Got
			if v, _ := thrift.Find(m, 1); string(v.Bytes()) == id {
				n++
			}
		}
		return n
	}
	kind := func(m *thrift.Message) thrift.ApplicationException {
		if m.Type != thrift.Exception {
			return -1
		}
		k, _ := thrift.ReadException(m)
		return k
	}
	if got := kind(ask("saleSettle", "reset1")); got != thriftfront.Failed || sent("reset1") != 1 {
		t.Errorf("in doubt: %d", got)
	}
	if m := ask("limitHold", "hold"); kind(m) != -1 || sent("hold") != 2 {
		t.Errorf("a keyed call in doubt: %d", kind(m))
	}
	m := ask("saleSettle", "full1")
	_, text := thrift.ReadException(m)
	if kind(m) != thriftfront.Refused || !strings.HasPrefix(string(text), "refused") || sent("full1") < 1 {
		t.Errorf("turned away: %d %q", kind(m), text)
	}
	c := rawThrift(t, a)
	c.Write(callFrame(thrift.Binary, 3, "saleSettle", "hang1"))
	receive(t, p.Got)
	if got := kind(ask("saleSettle", "hang1")); got != thrift.ProtocolError {
		t.Errorf("an id that is open: %d", got)
	}
	if got := kind(ask("Auth:saleSettle", "x")); got != -1 {
		t.Errorf("by a multiplexing caller: %d", got)
	}
}

// A server that replies in compact to a binary call: the caller sees its own protocol, or nothing of it.
func TestThriftReplyInTheOtherProtocol(t *testing.T) {
	t.Parallel()
	p := testsupport.NewThriftPeer(t, func(c net.Conn, m *thrift.Message) bool {
		c.Write(testsupport.Answered(m, "done", func(r *thrift.Message) {
			r.Body, _ = thrift.Transcode(nil, r, thrift.Compact, 1000)
			r.Protocol = thrift.Compact
		}))
		return true
	})
	a, _ := thriftAgent(t, "binary", p.Addr())
	c := rawThrift(t, a)
	c.Write(callFrame(thrift.Binary, 9, "saleSettle", "a1"))
	m, err := testsupport.ReadThrift(c)
	if err != nil || m.Protocol != thrift.Binary || m.Type != thrift.Reply || m.Seq != 9 {
		t.Fatal(m, err)
	}
	if v, _ := thrift.Find(m, 0); string(v.Bytes()) != "done" {
		t.Errorf("%q", v.Bytes())
	}
}

// Each protocol has its own servers: no call of one reaches the other's.
func TestProtocolsKeepToTheirServers(t *testing.T) {
	t.Parallel()
	ofHTTP := newPeer(t, echo)
	ofThrift := testsupport.NewThriftPeer(t, func(c net.Conn, m *thrift.Message) bool { c.Write(testsupport.Answered(m, "x", nil)); return true })
	d := newLists(t)
	c := configOf(t, d.Addr, entry("s0", ofHTTP.Addr(), "SERVING"), entry("t0", ofThrift.Addr(), "SERVING"))
	var err error
	if c.Operator, err = config.ParseOperator("x.toml", []byte(operatorFile), c.Names.Classes, c.Settings.Classes); err != nil {
		t.Fatal(err)
	}
	a, _ := start(t, c, nil)
	if q := receive(t, d.Watch); q != "follow=1&since=1" {
		t.Errorf("watched with %q", q)
	}
	conn := rawThrift(t, a)
	for i := range 20 {
		if resp, _ := ask(t, a, "POST", "/settle", "", "X-Call-Id", fmt.Sprintf("%016x", i), "X-Budget-Ms", "7000"); resp.StatusCode != http.StatusOK {
			t.Fatal(resp.Status)
		}
		conn.Write(callFrame(thrift.Binary, int32(i), "saleSettle", fmt.Sprint("c", i)))
		if m, err := testsupport.ReadThrift(conn); err != nil || m.Type != thrift.Reply {
			t.Fatal(m, err)
		}
	}
	if len(ofHTTP.Got) != 20 || len(ofThrift.Got) != 20 {
		t.Errorf("%d and %d requests", len(ofHTTP.Got), len(ofThrift.Got))
	}
	if len(d.Watch) != 0 {
		t.Error("the list is watched twice")
	}
	// A drain that the one watch brings reaches the module whose server it is.
	d.Say <- `{"version":2,"full":false,"servers":[` + entry("t0", ofThrift.Addr(), "DRAINING") + `]}`
	until(t, "the drain", func() bool { _, ok := a.table.Serving("t0"); return !ok })
	conn.Write(callFrame(thrift.Binary, 99, "saleSettle", "late"))
	if m, err := testsupport.ReadThrift(conn); err != nil || m.Type != thrift.Exception {
		t.Errorf("a call with no server left: %+v, %v", m, err)
	} else if kind, text := thrift.ReadException(m); kind != thriftfront.Refused {
		t.Errorf("a call with no server left: exception %d %q, want a refusal: nothing has run", kind, text)
	}
}

// A stop ends what is under way by its answers, and connections that rest at once.
func TestThriftStop(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	p := testsupport.NewThriftPeer(t, func(c net.Conn, m *thrift.Message) bool {
		<-gate
		c.Write(testsupport.Answered(m, "x", nil))
		return true
	})
	c := configOf(t, newLists(t).Addr, entry("t0", p.Addr(), "SERVING"))
	var err error
	if c.Operator, err = config.ParseOperator("x.toml", []byte(operatorFile), c.Names.Classes, c.Settings.Classes); err != nil {
		t.Fatal(err)
	}
	a, err := New(c, logTo(&capture{}))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	busy, rests := rawThrift(t, a), rawThrift(t, a)
	busy.Write(callFrame(thrift.Binary, 1, "saleSettle", "a1"))
	receive(t, p.Got)
	stop()
	closed(t, rests)
	close(gate)
	if m, err := testsupport.ReadThrift(busy); err != nil || m.Type != thrift.Reply {
		t.Errorf("what was under way: %+v, %v", m, err)
	}
	closed(t, busy)
	if err := receive(t, ended); err != nil {
		t.Error(err)
	}
}

// A caller that leaves takes its calls along; a oneway that cannot be done is counted.
func TestThriftOnewayRefused(t *testing.T) {
	t.Parallel()
	a, logged := thriftAgent(t, "binary")
	c := rawThrift(t, a)
	w := thrift.NewWriter(thrift.Compact)
	w.Text(1, []byte("o1"))
	w.Int(thrift.I32, 3, 100)
	c.Write(thrift.AppendFrame(nil, &thrift.Message{Protocol: thrift.Compact, Type: thrift.Oneway, Name: []byte("saleSettle"), Body: w.Done()}))
	until(t, "the log", func() bool { return logged.Has("oneway call not done") })
	i := slices.IndexFunc(a.fronts, func(f front) bool { _, ok := f.(*thriftfront.Front); return ok })
	if n := a.fronts[i].(*thriftfront.Front).Refused(); n != 1 {
		t.Errorf("%d counted", n)
	}
}
