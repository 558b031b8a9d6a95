package standin

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The sink's ledger: what ran, what was turned away, what came again, and what must not have.
func TestSinkLedger(t *testing.T) {
	var arrived []string
	k, err := NewSink(SinkConfig{Addr: "127.0.0.1:0", Operation: "X-Op", Most: 3, Unsafe: func(class string) bool { return class == "settle" },
		Arrived: func(_ time.Duration, class string, repeat bool) { arrived = append(arrived, fmt.Sprint(class, repeat)) }})
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	send := func(class, op string, again bool) int {
		r, _ := http.NewRequest("POST", "http://"+k.Addr()+"/"+class, strings.NewReader("x"))
		if op != "" {
			r.Header.Set("X-Op", op)
		}
		if again {
			r.Header.Set("X-Again", "1")
		}
		resp, err := c.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	for _, x := range []struct{ class, op string }{{"settle", "1"}, {"settle", "1"}, {"hold", "2"}, {"hold", "2"}, {"look", ""}, {"settle", "3"}, {"settle", "4"}} {
		if got := send(x.class, x.op, false); got != 200 {
			t.Errorf("%v: status %d", x, got)
		}
	}
	send("hold", "2", true)
	got := k.Stats()
	got.First = nil
	if want := (SinkStats{Requests: 8, Ran: 5, Repeats: 3, Twice: 1, Nameless: 1, Unknown: 1}); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	if len(arrived) != 8 || arrived[0] != "settlefalse" || arrived[7] != "holdtrue" {
		t.Errorf("arrived %v", arrived)
	}
	refusing, err := NewSink(SinkConfig{Addr: "127.0.0.1:0", Operation: "X-Op", Refuse: 0.25})
	if err != nil {
		t.Fatal(err)
	}
	defer refusing.Close()
	k = refusing
	refused := 0
	for i := range 400 {
		if send("settle", fmt.Sprint("op-", i), false) == 503 {
			refused++
			if got := send("settle", fmt.Sprint("op-", i), true); got != 200 {
				t.Errorf("the second try: status %d", got)
			}
		}
	}
	if s := k.Stats(); refused < 60 || refused > 140 || s.Refused != refused || s.Ran != 400 || s.Repeats != 0 {
		t.Errorf("%d of 400 were refused, want about 100; %+v", refused, s)
	}
}
