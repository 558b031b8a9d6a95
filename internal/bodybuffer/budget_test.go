package bodybuffer

import (
	"testing"

	"pgregory.net/rapid"
)

func TestReserve(t *testing.T) {
	const limit = 8 << 20
	for _, tt := range []struct {
		length int64
		want   Mode
	}{{0, Buffered}, {SmallBody, Buffered}, {SmallBody + limit/maxShareDivisor, Buffered}, {SmallBody + limit/maxShareDivisor + 1, Streamed}, {MaxBody, Streamed}, {MaxBody + 1, TooLarge}, {-1, Buffered}} {
		if _, mode := New(limit, 0).Reserve(tt.length); mode != tt.want {
			t.Errorf("%d bytes: %d, want %d", tt.length, mode, tt.want)
		}
	}
	if _, mode := New(0, 0).Reserve(SmallBody); mode != Buffered {
		t.Error("a small body is not buffered with an empty budget")
	}
	if _, mode := New(0, 0).Reserve(SmallBody + 1); mode != Streamed {
		t.Error("an empty budget buffers a larger body")
	}
}

// In random sequences of reservations and releases the budget never exceeds its bounds, each reservation is returned once, and at the
// end nothing is reserved.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := int64(rapid.IntRange(0, 4<<20).Draw(t, "limit"))
		maxStreams := rapid.IntRange(0, 3).Draw(t, "maxStreams")
		budget := New(limit, maxStreams)
		type body struct {
			reservation *Reservation
			length      int64 // beyond SmallBody
			streamed    bool
		}
		var open []*body
		wantUsed, wantStreams := int64(0), 0
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				length := int64(rapid.IntRange(-1, MaxBody+2).Draw(t, "length"))
				if rapid.Bool().Draw(t, "short") {
					length %= 512 << 10
				}
				r, mode := budget.Reserve(length)
				b := &body{reservation: r}
				if mode == Buffered && length > SmallBody {
					b.length = length - SmallBody
					wantUsed += b.length
				}
				open = append(open, b)
			case 1:
				if len(open) > 0 {
					b := open[rapid.IntRange(0, len(open)-1).Draw(t, "which")]
					to := SmallBody + b.length + int64(rapid.IntRange(0, GrowthStep).Draw(t, "more"))
					if b.reservation.Grow(to) == Buffered {
						wantUsed += to - SmallBody - b.length
						b.length = to - SmallBody
					}
				}
			case 2:
				if len(open) > 0 {
					b := open[rapid.IntRange(0, len(open)-1).Draw(t, "which")]
					if b.reservation.Stream() && !b.streamed {
						b.streamed = true
						wantStreams++
					}
				}
			case 3:
				if len(open) > 0 {
					b := open[0]
					open = open[1:]
					for range rapid.IntRange(1, 2).Draw(t, "times") {
						b.reservation.Release()
					}
					wantUsed -= b.length
					if b.streamed {
						wantStreams--
					}
				}
			}
			used, n := budget.Usage()
			if used != wantUsed || n != wantStreams || used > limit || maxStreams > 0 && n > maxStreams {
				t.Fatalf("used %d of %d, want %d; %d of %d streams, want %d", used, limit, wantUsed, n, maxStreams, wantStreams)
			}
		}
		for _, b := range open {
			b.reservation.Release()
		}
		if used, n := budget.Usage(); used != 0 || n != 0 {
			t.Fatalf("%d bytes and %d streams are left", used, n)
		}
	})
}
