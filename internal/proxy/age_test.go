package proxy

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/messages"
)

// News is as old as the way that it took, other than where the harbourmaster held the call: it may lie unread through a sleep.
func TestNewsAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			fresh, held uint32
			took        time.Duration
			want        uint32
		}{{100, 1000, 1010 * time.Millisecond, 110}, {100, 1000, 21 * time.Second, 20_100}, {0, 0, 0, 0}, {messages.Never, 0, time.Second, messages.Never}, {5, 900, 0, 5}} {
			sent := time.Now()
			time.Sleep(c.took)
			n := messages.PullReply{FreshMs: c.fresh, HeldMs: c.held}
			if age(&n, sent); n.FreshMs != c.want {
				t.Errorf("%+v: %d", c, n.FreshMs)
			}
		}
	})
}

// A harbourmaster that hears no majority, as one that has just begun behind a cut, takes no other off the list.
func TestListed(t *testing.T) {
	a, b, moved := messages.Registry{Name: "a", Addr: "1"}, messages.Registry{Name: "b", Addr: "2"}, messages.Registry{Name: "a", Addr: "3"}
	known, told := []messages.Registry{a, b}, []messages.Registry{moved}
	if got := listed(known, told, true); !slices.Equal(got, []messages.Registry{moved, b}) {
		t.Error("stale:", got)
	}
	if got := listed(known, told, false); !slices.Equal(got, told) {
		t.Error("fresh:", got)
	}
}
