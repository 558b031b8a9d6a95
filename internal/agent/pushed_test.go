package agent

import (
	"strings"
	"testing"

	"saltmast/internal/config"
	"saltmast/internal/testsupport"
)

// Guards against an agent that takes no notice of a list that is pushed to it: it would send to whoever has the
// address of a backend that is gone. Seen on the first day of another site, where half of the fleet was replaced.
func TestPushedList(t *testing.T) {
	t.Parallel()
	gone, next := newPeer(t, echo), newPeer(t, echo)
	lists := newLists(t)
	raw := strings.Replace(string(testsupport.Config(lists.Addr, entry("s0", gone.Addr(), "SERVING"))), `"subscribe"`, `"automatic"`, 1)
	c, err := config.Parse([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	a, _ := start(t, c, nil)
	if q := receive(t, lists.Watch); q != "follow=1&since=1" {
		t.Errorf("watched with %q", q)
	}
	lists.Say <- `{"version":2,"full":false,"servers":[` + entry("s0", gone.Addr(), "DELETED") + "," + entry("s1", next.Addr(), "SERVING") + `]}`
	until(t, "the change", func() bool { _, ok := a.table.Serving("s0"); return !ok })
	resp, body := ask(t, a, "POST", "/settle/a", "work", "X-Call-Id", id, "X-Budget-Ms", "7000")
	if resp.StatusCode != 200 || body != "did work" {
		t.Errorf("answer %d %q", resp.StatusCode, body)
	}
	if len(gone.Got) != 0 || len(next.Got) != 1 {
		t.Errorf("%d requests to the backend that is gone, %d to the new one", len(gone.Got), len(next.Got))
	}
	lists.Cut <- struct{}{}
	if q := receive(t, lists.Watch); q != "follow=1&since=2" {
		t.Errorf("watched again with %q", q)
	}
}
