package agent

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"saltmast/internal/config"
	"saltmast/internal/testsupport"
)

// retuned is the configuration of an agent with some text changed.
func retuned(t *testing.T, c *config.Config, discovery string, servers []string, change ...string) *config.Config {
	t.Helper()
	n, err := config.Parse([]byte(strings.NewReplacer(change...).Replace(string(testsupport.Config(discovery, servers...)))))
	if err != nil {
		t.Fatal(err)
	}
	n.Calls, n.Scratch = c.Calls, c.Scratch
	return n
}

// Classes come, go and change their meaning under load: a request keeps the rules that it came under, until it is over, and
// one that comes later has the new ones.
func TestRetuneUnderLoad(t *testing.T) {
	t.Parallel()
	gate := make(chan struct{})
	tries := make(chan string, 100)
	broken := newPeer(t, func(c net.Conn, r *http.Request, _ []byte) bool { // takes a request and breaks off
		tries <- r.Header.Get("X-Call-Id")
		<-gate
		return false
	})
	lists := newLists(t)
	servers := []string{entry("s0", broken.Addr(), "SERVING")}
	c := configOf(t, lists.Addr, servers...)
	a, logged := start(t, c, nil)
	send := func(method, path, id string, more ...string) chan int {
		out := make(chan int, 1)
		go func() {
			resp, _ := ask(t, a, method, path, "", append([]string{"X-Call-Id", id, "X-Budget-Ms", "6000"}, more...)...)
			out <- resp.StatusCode
		}()
		return out
	}
	keyed := send("POST", "/hold", idOf(1), "Idempotency-Key", "k")
	if got := receive(t, tries); got != idOf(1) {
		t.Fatal(got)
	}
	// hold may not run twice from now on, settle is dropped, and there is one attempt for each.
	a.Reload(retuned(t, c, lists.Addr, servers, `"Semantics":"by_key","Group":"cell","WindowMs":6000`, `"Semantics":"once"`,
		`"Name":"settle"`, `"Name":"sell"`, `"TryLimit":3`, `"TryLimit":1`))
	once := send("POST", "/hold", idOf(2))
	if got := receive(t, tries); got != idOf(2) {
		t.Fatal(got)
	}
	for _, tt := range []struct {
		method, path string
		head         []string
		want         int
	}{
		{"POST", "/settle", nil, 404},
		{"POST", "/hold", []string{"Idempotency-Key", "k"}, 400}, // is no longer keyed
	} {
		head := append([]string{"X-Call-Id", idOf(9), "X-Budget-Ms", "6000"}, tt.head...)
		if resp, _ := ask(t, a, tt.method, tt.path, "", head...); resp.StatusCode != tt.want {
			t.Errorf("%s after the reload: %d, want %d", tt.path, resp.StatusCode, tt.want)
		}
	}
	// Their class is dropped altogether while they are open: they go on by their own rules.
	a.Reload(retuned(t, c, lists.Addr, servers, `"Name":"hold"`, `"Name":"held"`, `"TryLimit":3`, `"TryLimit":1`))
	close(gate) // both attempts may have run
	if got := receive(t, once); got != 502 {
		t.Errorf("what must not run twice got %d", got)
	}
	if got := receive(t, keyed); got != 502 {
		t.Errorf("the keyed one got %d", got)
	}
	counts := map[string]int{idOf(1): 1, idOf(2): 1}
	for len(tries) > 0 {
		counts[<-tries]++
	}
	if counts[idOf(1)] < 2 || counts[idOf(2)] != 1 {
		t.Errorf("attempts: %v; under its old rules the first may have three, the second one", counts)
	}
	if logged.Has("bug") {
		t.Error(logged.String())
	}
}

// Zones that are numbered otherwise, limits, and discovery's address follow a reload.
func TestReloadTakesAllOver(t *testing.T) {
	t.Parallel()
	p, lists, other := newPeer(t, echo), newLists(t), newLists(t)
	servers := []string{entry("s0", p.Addr(), "SERVING")}
	c := configOf(t, lists.Addr, servers...)
	a, _ := start(t, c, nil)
	receive(t, lists.Watch)
	n := retuned(t, c, other.Addr, servers, `"Dcs":["dc"]`, `"Dcs":["other","dc"]`, `"sockets":1024`, `"sockets":512`)
	a.Reload(n)
	if q := receive(t, other.Watch); q != "follow=1" {
		t.Errorf("watched with %q", q)
	}
	if got := a.conns.Limit(); got != 256 {
		t.Errorf("%d connections of clients", got)
	}
	look(t, a, 1)
	for i := range 20 { // any number of reloads
		a.Reload(retuned(t, c, other.Addr, servers, `"look"`, fmt.Sprintf(`"look%d"`, i)))
	}
	a.Reload(c)
	look(t, a, 2)
}
