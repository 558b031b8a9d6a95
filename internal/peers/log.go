package peers

import (
	"log/slog"
	"sync"
	"time"
)

// rarely logs each thing once a minute at the most: what peers send decides how often there is something to say.
type rarely struct {
	log *slog.Logger
	mu  sync.Mutex
	at  map[string]time.Time
}

const (
	sayEvery = time.Minute
	// mostThings bounds what is told apart.
	mostThings = 64
)

func newRarely(l *slog.Logger) *rarely { return &rarely{log: l, at: map[string]time.Time{}} }

// say warns, unless it has said the same within a minute.
func (r *rarely) say(what string, args ...any) {
	if r.due(what) {
		r.log.Warn(what, args...)
	}
}

func (r *rarely) due(what string) bool {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if at, ok := r.at[what]; ok && now.Sub(at) < sayEvery {
		return false
	}
	if len(r.at) >= mostThings {
		clear(r.at)
	}
	r.at[what] = now
	return true
}
