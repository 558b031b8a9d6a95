package integration

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"saltmast/internal/messages"
	"saltmast/internal/rpc"
)

// TestAsleep stops a harbourmaster as a machine that freezes does, and has it go on: an order that came meanwhile, whose sender has
// given it up and heard a refusal elsewhere, does not come into force, and what it tells at first it does not tell as new.
func TestAsleep(t *testing.T) {
	t.Parallel()
	m := up(t)
	asleep, awake := m.Cores[0], m.Cores[1:]
	operate := func(change string, want int) {
		t.Helper()
		n := 0
		Await(t, "a clear answer of one that is awake", func() bool {
			status, text, err := awake[n%2].Send(change)
			if n++; err == nil && status < 500 && status != want {
				t.Fatalf("%d %s", status, text)
			}
			return err == nil && status == want
		})
	}
	harbour := func(x *Machine) string { return x.Addr(free + messages.RegistryPort) }
	pull := func(c *rpc.Client) (n messages.PullReply, err error) {
		err = c.Call(messages.Pull, messages.PullCall{}, &n, Patience)
		return n, err
	}
	c := rpc.NewClient(nil, harbour(asleep))
	defer c.Close()
	if _, err := pull(c); err != nil { // the connection is there
		t.Fatal(err)
	}
	asleep.Harbour.Signal(syscall.SIGSTOP)
	Await(t, "each of its threads stands", func() bool { // a busy machine stops them late
		tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", asleep.Harbour.cmd.Process.Pid))
		if err != nil || len(tasks) == 0 {
			t.Fatal("no threads:", err)
		}
		return !slices.ContainsFunc(tasks, func(f string) bool {
			raw, err := os.ReadFile(f)
			return err == nil && !strings.Contains(string(raw), "State:\tT")
		})
	})
	late := Change([]Item{Route("late", 2, "idempotent", "/late/", "tide")}, nil)
	giveUp := func(change string) { // the caller's second of silence
		t.Helper()
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		req, err := http.NewRequest(http.MethodPatch, "http://"+asleep.Control()+"/v1/configuration", strings.NewReader(change))
		if err != nil {
			t.Fatal(err)
		}
		if resp, err := client.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			t.Fatal("one that sleeps has answered:", resp.Status)
		}
	}
	giveUp(late)
	operate(late, 400)
	operate(Change([]Item{Service("tide", 2)}, nil), 200)
	acked := time.Now()
	giveUp(Change([]Item{Service("tide", 2)}, nil))
	o := rpc.NewClient(nil, harbour(awake[0]))
	defer o.Close()
	newest, err := pull(o)
	if err != nil {
		t.Fatal(err)
	}
	woke, mark := time.Now(), asleep.Harbour.Mark()
	told := make(chan messages.PullReply, 1)
	go func() {
		n, err := pull(c)
		if err != nil {
			t.Error(err)
		}
		told <- n
	}()
	asleep.Harbour.Signal(syscall.SIGCONT)
	n := <-told
	for n.Chosen.Less(newest.Chosen) {
		if ms := woke.Sub(acked).Milliseconds(); int64(n.FreshMs) < ms {
			t.Errorf("ballot %d told as %d ms old; %d was acknowledged %d ms before it went on", n.Chosen.N, n.FreshMs, newest.Chosen.N, ms)
			break
		}
		if n, err = pull(c); err != nil {
			t.Fatal(err)
		}
	}
	Await(t, "both orders come to nothing", func() bool {
		asleep.Harbour.mu.Lock()
		defer asleep.Harbour.mu.Unlock()
		done := 0
		for _, l := range asleep.Harbour.lines[mark:] {
			if l.Event == "change" {
				done++
			}
		}
		return done == 2
	})
	for _, x := range m.Cores {
		var items map[string]string
		Await(t, x.Name+" tells what stands", func() (ok bool) {
			var err error
			items, err = x.Standing()
			return err == nil
		})
		for name := range items {
			if strings.Contains(name, "late") {
				t.Errorf("%s: %s was refused and is in force", x.Name, name)
			}
		}
	}
}
