package agent

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"saltmast/internal/config"
	"saltmast/internal/core"
	"saltmast/internal/testsupport"
)

// Short names for what the rig has.
const long = testsupport.Long

type (
	capture = testsupport.Capture
	peer    = testsupport.Peer
	script  = testsupport.Script
)

var (
	logTo     = testsupport.LogTo
	newPeer   = testsupport.NewPeer
	newLists  = testsupport.NewLists
	echo      = testsupport.Echo
	hang      = testsupport.Hang
	entry     = testsupport.Entry
	until     = testsupport.Until
	isTimeout = testsupport.IsTimeout
)

func receive[T any](t *testing.T, c <-chan T) T {
	t.Helper()
	return testsupport.Receive(t, c)
}

func configOf(t *testing.T, discovery string, servers ...string) *config.Config {
	t.Helper()
	c, err := config.Parse(testsupport.Config(discovery, servers...))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// start runs an agent until the test ends; with decide in place of the module, if that is given.
func start(t *testing.T, c *config.Config, decide core.Decider) (*Agent, *capture) {
	t.Helper()
	return startHooked(t, c, hooks{decide: decide}, func(*Agent) {})
}

// startWith runs an agent that was prepared first.
func startWith(t *testing.T, c *config.Config, prepare func(*Agent)) (*Agent, *capture) {
	t.Helper()
	return startHooked(t, c, hooks{}, prepare)
}

func startHooked(t *testing.T, c *config.Config, h hooks, prepare func(*Agent)) (*Agent, *capture) {
	t.Helper()
	logged := &capture{}
	a, err := newAgent(c, logTo(logged), h)
	if err != nil {
		t.Fatal(err)
	}
	prepare(a)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error("Run:", err)
		}
	})
	receive(t, a.loop.Ready())
	return a, logged
}

// ask sends a request to an agent and returns the answer and its body.
func ask(t *testing.T, a *Agent, method, path, body string, head ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+a.Addr().String()+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(head); i += 2 {
		r.Header.Set(head[i], head[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: long}
	resp, err := client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(text)
}
