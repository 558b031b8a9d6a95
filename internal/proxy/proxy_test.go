package proxy

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/messages"
)

// News ages by the time in transit, without the time that the registry held the call: a message may stay unread while a machine is
// suspended.
func TestAddTransitTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, tt := range []struct {
			fresh, held uint32
			took        time.Duration
			want        uint32
		}{{100, 1000, 1010 * time.Millisecond, 110}, {100, 1000, 21 * time.Second, 20_100}, {0, 0, 0, 0}, {messages.Never, 0, time.Second, messages.Never}, {5, 900, 0, 5}} {
			sent := time.Now()
			time.Sleep(tt.took)
			n := messages.PullReply{FreshMs: tt.fresh, HeldMs: tt.held}
			if addTransitTime(&n, sent); n.FreshMs != tt.want {
				t.Errorf("%+v: %d", tt, n.FreshMs)
			}
		}
	})
}

// A registry without contact with a majority, such as one that has just started behind a network partition, removes no other from the
// list.
func TestMergeRegistries(t *testing.T) {
	a, b, moved := messages.Registry{Name: "a", Addr: "1"}, messages.Registry{Name: "b", Addr: "2"}, messages.Registry{Name: "a", Addr: "3"}
	known, received := []messages.Registry{a, b}, []messages.Registry{moved}
	if got := mergeRegistries(known, received, true); !slices.Equal(got, []messages.Registry{moved, b}) {
		t.Error("stale:", got)
	}
	if got := mergeRegistries(known, received, false); !slices.Equal(got, received) {
		t.Error("fresh:", got)
	}
}
