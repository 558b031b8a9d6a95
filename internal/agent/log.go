package agent

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// linesPerSecond bounds the log: what clients and backends send decides how much there is to say.
const linesPerSecond = 20

// Sparing returns a handler that passes on so many lines a second at the most, and then says how many it
// left out.
func Sparing(h slog.Handler) slog.Handler {
	return sparing{Handler: h, budget: &logBudget{now: time.Now}}
}

type sparing struct {
	slog.Handler
	budget *logBudget
}

type logBudget struct {
	mu      sync.Mutex
	now     func() time.Time
	since   time.Time
	lines   int
	leftOut int
}

// spend reports whether a line may go out, and how many were left out before it.
func (b *logBudget) spend() (ok bool, leftOut int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := b.now(); now.Sub(b.since) >= time.Second {
		b.since, b.lines = now, 0
	}
	if b.lines++; b.lines > linesPerSecond {
		b.leftOut++
		return false, 0
	}
	leftOut, b.leftOut = b.leftOut, 0
	return true, leftOut
}

func (s sparing) Handle(ctx context.Context, r slog.Record) error {
	ok, leftOut := s.budget.spend()
	if !ok {
		return nil
	}
	if leftOut > 0 {
		r.AddAttrs(slog.Int("left_out_before", leftOut))
	}
	return s.Handler.Handle(ctx, r)
}

func (s sparing) WithAttrs(attrs []slog.Attr) slog.Handler {
	return sparing{s.Handler.WithAttrs(attrs), s.budget}
}

func (s sparing) WithGroup(name string) slog.Handler {
	return sparing{s.Handler.WithGroup(name), s.budget}
}
