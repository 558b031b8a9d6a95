package bodybuffer

import (
	"testing"

	"pgregory.net/rapid"
)

func TestWays(t *testing.T) {
	const limit = 8 << 20
	for _, tt := range []struct {
		length int64
		want   Mode
	}{{0, Buffered}, {SmallBody, Buffered}, {SmallBody + limit/part, Buffered}, {SmallBody + limit/part + 1, Streamed}, {MaxBody, Streamed}, {MaxBody + 1, TooLarge}, {-1, Buffered}} {
		if _, way := New(limit, 0).Reserve(tt.length); way != tt.want {
			t.Errorf("%d bytes: %d, want %d", tt.length, way, tt.want)
		}
	}
	if _, way := New(0, 0).Reserve(SmallBody); way != Buffered {
		t.Error("a small body is not kept where the account has nothing")
	}
	if _, way := New(0, 0).Reserve(SmallBody + 1); way != Streamed {
		t.Error("an account with nothing keeps")
	}
}

// Whatever comes and goes, the account never passes its bounds, each part is given back once, and at the end nothing is held.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := int64(rapid.IntRange(0, 4<<20).Draw(t, "limit"))
		passings := rapid.IntRange(0, 3).Draw(t, "passings")
		a := New(limit, passings)
		type body struct {
			h      *Reservation
			length int64
			passes bool
		}
		var open []*body
		model, passing := int64(0), 0
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				length := int64(rapid.IntRange(-1, MaxBody+2).Draw(t, "length"))
				if rapid.Bool().Draw(t, "short") {
					length %= 512 << 10
				}
				h, way := a.Reserve(length)
				b := &body{h: h}
				if way == Buffered && length > SmallBody {
					b.length = length - SmallBody
					model += b.length
				}
				open = append(open, b)
			case 1:
				if len(open) > 0 {
					b := open[rapid.IntRange(0, len(open)-1).Draw(t, "which")]
					to := SmallBody + b.length + int64(rapid.IntRange(0, GrowthStep).Draw(t, "more"))
					if b.h.Grow(to) == Buffered {
						model += to - SmallBody - b.length
						b.length = to - SmallBody
					}
				}
			case 2:
				if len(open) > 0 {
					b := open[rapid.IntRange(0, len(open)-1).Draw(t, "which")]
					if b.h.Stream() && !b.passes {
						b.passes = true
						passing++
					}
				}
			case 3:
				if len(open) > 0 {
					b := open[0]
					open = open[1:]
					for range rapid.IntRange(1, 2).Draw(t, "times") {
						b.h.Release()
					}
					model -= b.length
					if b.passes {
						passing--
					}
				}
			}
			held, n := a.Usage()
			if held != model || n != passing || held > limit || passings > 0 && n > passings {
				t.Fatalf("held %d of %d, by count %d; %d of %d pass, by count %d", held, limit, model, n, passings, passing)
			}
		}
		for _, b := range open {
			b.h.Release()
		}
		if held, n := a.Usage(); held != 0 || n != 0 {
			t.Fatalf("%d bytes and %d bodies are left", held, n)
		}
	})
}
