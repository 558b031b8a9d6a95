package agent

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"saltmast"
	"saltmast/internal/config"
	thriftfront "saltmast/internal/front/thrift"
	"saltmast/internal/requestlog"
	settleslog "saltmast/internal/requestlog/log"
	"saltmast/internal/testsupport"
	"saltmast/internal/thrift"
)

// journalConfig is that of an agent with a journal, for HTTP servers s0, s1 ... and Thrift servers t0, t1 ...
func journalConfig(t *testing.T, dir, more string, web, rpc []string) *config.Config {
	t.Helper()
	var servers []string
	for i, addr := range web {
		servers = append(servers, entry(fmt.Sprint("s", i), addr, "SERVING"))
	}
	for i, addr := range rpc {
		servers = append(servers, entry(fmt.Sprint("t", i), addr, "SERVING"))
	}
	c := configOf(t, newLists(t).Addr, servers...)
	text := "[settles]\ndir = \"" + dir + "\"\nsegment_mb = 1\n" + more
	if len(rpc) > 0 {
		text += strings.Replace(operatorFile, "name = \"saleSettle\"\nclass = \"settle\"\nid = \"1\"", "name = \"saleSettle\"\nclass = \"settle\"\nid = \"1\"\naccount = \"2\"", 1)
	}
	var err error
	if c.Operator, err = config.ParseOperator("x.toml", []byte(text), c.Names.Classes, c.Settings.Classes); err != nil {
		t.Fatal(err)
	}
	return c
}

// told is what a folder's journal says of a request now.
func told(t *testing.T, dir, id string) requestlog.Finding {
	t.Helper()
	book := requestlog.NewBook(nil)
	rep, err := settleslog.Read(settleslog.Dir(dir), book)
	if err != nil || !rep.Certain {
		t.Fatalf("%+v, %v", rep, err)
	}
	return book.Find(id, time.Time{}, time.Time{})
}

// An intent is on disk before a server sees anything of the request, and its outcome follows. What may be repeated is not
// recorded.
func TestIntentBeforeTheFirstByte(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	seen := make(chan requestlog.Finding, 10)
	p := newPeer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		seen <- told(t, dir, r.Header.Get("X-Call-Id"))
		return echo(c, r, body)
	})
	q := testsupport.NewThriftPeer(t, func(c net.Conn, m *thrift.Message) bool {
		v, _ := thrift.Find(m, 1)
		seen <- told(t, dir, string(v.Bytes()))
		return thriftEcho(c, m)
	})
	a, _ := start(t, journalConfig(t, dir, "account_field = \"sale.account\"\n", []string{p.Addr()}, []string{q.Addr()}), nil)
	body := `{"sale":{"account":"fleet-77","litres":81.5}}`
	if resp, _ := ask(t, a, "POST", "/settle", body, "X-Call-Id", id, "X-Budget-Ms", "7000"); resp.StatusCode != 200 {
		t.Fatalf("status %d", resp.StatusCode)
	}
	f := receive(t, seen)
	if f.Answer != requestlog.Handed {
		t.Errorf("while its server has it: %v", f.Answer)
	} else if i := f.Attempt.Intent; i.Account != "fleet-77" || i.Class != "settle" || i.Server != "s0" || i.Addr != p.Addr() || i.Digest != sha256.Sum256([]byte(body)) {
		t.Errorf("%+v, digest %s", i, hex.EncodeToString(i.Digest[:]))
	}
	until(t, "its outcome", func() bool {
		f := told(t, dir, id)
		return f.Answer == requestlog.Answered && f.Attempt.Outcome.Result == requestlog.Served && f.Attempt.Outcome.Status == 200
	})
	for _, proto := range []thrift.Protocol{thrift.Binary, thrift.Compact} {
		call := "call-" + proto.String()
		w := thrift.NewWriter(proto)
		w.Text(1, []byte(call))
		w.Text(2, []byte("fleet-78"))
		askThrift(t, a, thrift.AppendFrame(nil, &thrift.Message{Protocol: proto, Type: thrift.Call, Seq: 1, Name: []byte("saleSettle"), Body: w.Done()}))
		if f := receive(t, seen); f.Answer != requestlog.Handed || f.Attempt.Intent.Account != "fleet-78" || f.Attempt.Intent.Server != "t0" {
			t.Errorf("%s while its server has it: %v", call, f.Answer)
		}
		until(t, "its outcome", func() bool { return told(t, dir, call).Answer == requestlog.Answered })
	}
	// A oneway call is served when it has left; nobody has answered it, and the journal does not say so.
	c := rawThrift(t, a)
	c.Write(callFrame(thrift.Binary, 1, "note", "one-way"))
	receive(t, seen)
	until(t, "the outcome of a oneway call", func() bool {
		f := told(t, dir, "one-way")
		return f.Answer == requestlog.Handed && f.Attempt.Outcome != nil && f.Attempt.Outcome.Result == requestlog.OneWay
	})
	other := id[:15] + "2"
	if resp, _ := ask(t, a, "GET", "/look", "", "X-Call-Id", other, "X-Budget-Ms", "7000"); resp.StatusCode != 200 {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if f := receive(t, seen); len(f.Attempts) != 0 {
		t.Error("what may be repeated was recorded")
	}
}

// What came back, or did not, stands in the journal as it was.
func TestOutcomesAreRecorded(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	// An address of its own, which nobody else listens on: a port given back at 127.0.0.1 went to a test that runs beside this one.
	dead, err := net.Listen("tcp", "127.0.0.77:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	p := newPeer(t, func(c net.Conn, r *http.Request, body []byte) bool {
		switch body := string(body); body {
		case "reset":
			return false
		case "error":
			answerWith(c, 500, "", "")
		case "full":
			answerWith(c, 503, "X-Rejected: 1\r\n", "")
		case "hang":
			return hang(c, r, nil)
		}
		return true
	})
	// The time of an attempt counts from before its intent is synced to disk, which takes long where the disk is busy: a request
	// that is to be answered has all the time there is, and one that is not has enough of it to be handed over first.
	send := func(backend string, timeout time.Duration) script {
		return func(_ time.Duration, e saltmast.Event) []saltmast.Action {
			switch e := e.(type) {
			case saltmast.Request:
				return []saltmast.Action{saltmast.Send{Request: e.ID, Backend: backend, Timeout: timeout}}
			case saltmast.Outcome:
				return []saltmast.Action{saltmast.Fail{Request: e.Request}}
			}
			return nil
		}
	}
	for i, tt := range []struct {
		body, backend string
		timeout       time.Duration
		want          requestlog.Answer
		result        requestlog.Result
		status        int
	}{
		{"reset", "s0", 5 * time.Second, requestlog.Handed, requestlog.NoAnswer, 0},
		{"error", "s0", 5 * time.Second, requestlog.Answered, requestlog.Errored, 500},
		{"full", "s0", 5 * time.Second, requestlog.Answered, requestlog.TurnedAway, 503},
		{"hang", "s0", 2 * time.Second, requestlog.Handed, requestlog.TimedOut, 0},
		{"dead", "s1", 5 * time.Second, requestlog.NeverHanded, 0, 0}, // no connection came up: there was nothing to record
	} {
		dir := filepath.Join(dir, tt.body)
		a, _ := start(t, journalConfig(t, dir, "", []string{p.Addr(), dead.Addr().String()}, nil), send(tt.backend, tt.timeout))
		no := fmt.Sprintf("%016x", i+1)
		if resp, _ := ask(t, a, "POST", "/settle", tt.body, "X-Call-Id", no, "X-Budget-Ms", "7000"); resp.StatusCode != 502 {
			t.Errorf("%s: status %d", tt.body, resp.StatusCode)
		}
		f := told(t, dir, no)
		if f.Answer != tt.want || tt.result != 0 && (f.Attempt.Outcome == nil || f.Attempt.Outcome.Result != tt.result || f.Attempt.Outcome.Status != tt.status) {
			t.Errorf("%s: %v, %+v", tt.body, f.Answer, f.Attempt)
		}
	}
}

// A disk that takes nothing: an unsafe request is refused at once, nothing of it goes out, and others go on; or, by the
// operator's choice, it is served, and the gap is recorded.
func TestJournalThatCanNotBeWritten(t *testing.T) {
	for _, policy := range []string{"refuse", "serve-unrecorded"} {
		t.Run(policy, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			p := newPeer(t, echo)
			q := testsupport.NewThriftPeer(t, thriftEcho)
			c := journalConfig(t, dir, "policy = \""+policy+"\"\n", []string{p.Addr()}, []string{q.Addr()})
			c.Settings.RetryAfter, c.Settings.MaxRetryAfter = true, time.Second
			disk := testsupport.NewDisk(dir)
			a, logged := startHooked(t, c, hooks{folder: func(string) settleslog.FS { return disk }}, func(*Agent) {})
			disk.Fail(syscall.ENOSPC)
			n := 0
			settle := func() *http.Response {
				n++
				resp, _ := ask(t, a, "POST", "/settle", "x", "X-Call-Id", fmt.Sprintf("%016x", n), "X-Budget-Ms", "7000")
				return resp
			}
			for range 3 { // the first finds it out
				resp := settle()
				switch policy {
				case "refuse":
					if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
						t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
					}
				default:
					if resp.StatusCode != 200 {
						t.Errorf("status %d", resp.StatusCode)
					}
				}
			}
			m := askThrift(t, a, callFrame(thrift.Binary, 1, "saleSettle", "call"))
			if kind, text := exceptionOf(m); policy == "refuse" && (kind != thriftfront.Refused || !strings.Contains(text, "retry after")) || policy != "refuse" && kind != -1 {
				t.Errorf("%d %q", kind, text)
			}
			if resp, _ := ask(t, a, "POST", "/hold", "x", "X-Call-Id", id, "X-Budget-Ms", "7000", "Idempotency-Key", "k"); resp.StatusCode != 200 {
				t.Errorf("another class: status %d", resp.StatusCode)
			}
			if policy == "refuse" && len(p.Got)+len(q.Got) != 1 {
				t.Errorf("%d requests went out, want the one that needs no record", len(p.Got)+len(q.Got))
			}
			if !logged.Has("can't be written") {
				t.Error("nothing was logged")
			}
			disk.Fail(nil)
			until(t, "the journal to come back", func() bool { return logged.Has("can be written again") })
			if resp := settle(); resp.StatusCode != 200 {
				t.Errorf("after it came back: status %d", resp.StatusCode)
			}
			if policy == "refuse" {
				if f := told(t, dir, fmt.Sprintf("%016x", 1)); f.Answer != requestlog.NeverHanded {
					t.Errorf("refused: %v", f.Answer)
				}
				return
			}
			until(t, "the gap", func() bool {
				book := requestlog.NewBook(nil)
				settleslog.Read(settleslog.Dir(dir), book)
				gaps := book.Stat().Gaps
				return len(gaps) > 0 && gaps[0].Count >= 4 && book.Find("1", time.Time{}, time.Time{}).Answer == requestlog.CannotTell
			})
		})
	}
}

// settleOnHungDisk has syncs hang, and a settle wait for one. Its status comes through the channel.
func settleOnHungDisk(t *testing.T, a *Agent, disk *testsupport.Disk, dir, budget string) (done <-chan int, release func()) {
	t.Helper()
	until(t, "the segment that is made ahead", func() bool { // whose own syncs are not meant
		_, err := os.Stat(filepath.Join(dir, "0000000000000002.seg"))
		return err == nil
	})
	hung, release := disk.Hang()
	status := make(chan int, 1)
	go func() {
		resp, _ := ask(t, a, "POST", "/settle", "x", "X-Call-Id", id, "X-Budget-Ms", budget)
		status <- resp.StatusCode
	}()
	receive(t, hung)
	return status, release
}

// A sync that hangs takes the settle's own time, and nobody else's: it ends in its time, was never sent, and the journal
// says so.
func TestJournalThatHangs(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	p := newPeer(t, echo)
	disk := testsupport.NewDisk(dir)
	a, _ := startHooked(t, journalConfig(t, dir, "", []string{p.Addr()}, nil), hooks{folder: func(string) settleslog.FS { return disk }}, func(*Agent) {})
	done, release := settleOnHungDisk(t, a, disk, dir, "600")
	defer release()
	for i := range 5 {
		if resp, _ := ask(t, a, "POST", "/hold", "x", "X-Call-Id", fmt.Sprintf("%016x", i+1), "X-Budget-Ms", "7000", "Idempotency-Key", "k"); resp.StatusCode != 200 {
			t.Errorf("beside a hung sync: status %d", resp.StatusCode)
		}
	}
	if status := receive(t, done); status == 200 {
		t.Errorf("status %d", status)
	}
	for len(p.Got) > 0 {
		if r := <-p.Got; r.URL.Path == "/settle" {
			t.Error("it went out unrecorded")
		}
	}
	release()
	until(t, "the record that it was never sent", func() bool {
		f := told(t, dir, id)
		return f.Answer == requestlog.NeverHanded && len(f.Attempts) > 0 && f.Attempts[0].Outcome != nil
	})
}

// What changes while an intent is being written counts: nothing goes to a server that drains by then.
func TestDrainWhileTheIntentIsWritten(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	s0, s1 := newPeer(t, echo), newPeer(t, echo)
	disk := testsupport.NewDisk(dir)
	c := journalConfig(t, dir, "", []string{s0.Addr()}, nil)
	d := newLists(t)
	c.Discovery = d.Addr
	a, _ := startHooked(t, c, hooks{folder: func(string) settleslog.FS { return disk }}, func(*Agent) {})
	done, release := settleOnHungDisk(t, a, disk, dir, "7000")
	defer release()
	d.Say <- `{"version":2,"full":false,"servers":[` + entry("s0", s0.Addr(), "DRAINING") + "," + entry("s1", s1.Addr(), "SERVING") + `]}`
	until(t, "the list", func() bool { _, ok := a.table.Serving("s0"); return !ok })
	release()
	if status := receive(t, done); status != 200 {
		t.Errorf("status %d", status)
	}
	if len(s0.Got) != 0 || len(s1.Got) != 1 {
		t.Errorf("the draining server got %d, the other one %d", len(s0.Got), len(s1.Got))
	}
	until(t, "both attempts", func() bool {
		f := told(t, dir, id)
		return f.Answer == requestlog.Answered && len(f.Attempts) == 2 && f.Attempts[0].Answer() == requestlog.NeverHanded && f.Attempt.Intent.Server == "s1"
	})
}

// A run that ended without a word: the next one tells what stands open, by name, and goes on behind it.
func TestOpenSettlesAreTold(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	w, err := settleslog.Open(settleslog.Options{FS: settleslog.Dir(dir), Segment: settleslog.MinSegment})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Intent(t.Context(), requestlog.Intent{Request: "lost-1", Account: "fleet-9", Server: "s7", At: time.Now()}); err != nil {
		t.Fatal(err)
	}
	w.Close()
	p := newPeer(t, echo)
	a, logged := start(t, journalConfig(t, dir, "", []string{p.Addr()}, nil), nil)
	until(t, "what stands open", func() bool { return logged.Has("open=1") && logged.Has("lost-1") && logged.Has("fleet-9") })
	if resp, _ := ask(t, a, "POST", "/settle", "x", "X-Call-Id", id, "X-Budget-Ms", "7000"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	if f := told(t, dir, "lost-1"); f.Answer != requestlog.Handed {
		t.Errorf("%v", f.Answer)
	}
	// One folder, one daemon: the second one says so and does not start.
	if _, err := newAgent(journalConfig(t, dir, "", []string{p.Addr()}, nil), logTo(&capture{}), hooks{}); err == nil || !strings.Contains(err.Error(), "another daemon") {
		t.Errorf("%v", err)
	}
}

var answerWith = testsupport.AnswerWith
