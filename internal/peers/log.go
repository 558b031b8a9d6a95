package peers

import (
	"log"
	"log/slog"
	"strings"
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

// logger takes memberlist's lines: warnings and errors, each kind as rarely.
func (r *rarely) logger() *log.Logger { return log.New(lines{r}, "", 0) }

type lines struct{ r *rarely }

func (l lines) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p))
	if kind, ok := strings.CutPrefix(text, "[WARN] memberlist: "); ok {
		l.line(kind)
	} else if kind, ok := strings.CutPrefix(text, "[ERR] memberlist: "); ok {
		l.line(kind)
	}
	return len(p), nil
}

// line says a line whose first words tell its kind: names and addresses come after.
func (l lines) line(text string) {
	words := strings.Fields(text)
	if l.r.due(strings.Join(words[:min(3, len(words))], " ")) {
		l.r.log.Warn(strings.ReplaceAll(text, "\n", " | "))
	}
}

// firstLine is an error in one line.
func firstLine(err error) string {
	return strings.Join(strings.Fields(strings.ReplaceAll(err.Error(), "\n", " ")), " ")
}
