package agent

import (
	"context"
	"fmt"
	"time"

	"saltmast/internal/config"
	"saltmast/internal/front/http"
	"saltmast/internal/requestlog"
	settleslog "saltmast/internal/requestlog/log"
)

// openJournal takes the journal of settles up. From here on one that can't be written is told in the log, once each way.
func (a *Agent) openJournal(s *config.Settles, folder settleslog.FS) error {
	log := a.log.With("journal", s.Dir)
	o := settleslog.Options{FS: folder, Segment: int64(s.SegmentMB) << 20, Most: int64(s.TotalMB) << 20,
		Age: time.Duration(s.Days) * 24 * time.Hour,
		Changed: func(up bool, why string) {
			if up {
				log.Info("the journal of settles can be written again")
			} else {
				log.Error("the journal of settles can't be written", "why", why, "unrecorded", s.ServesUnrecorded())
			}
		},
		Trouble: func(why string) { log.Error("the journal of settles had to give up a segment", "why", why) }}
	if s.ServesUnrecorded() {
		o.Policy = requestlog.ServeUnrecorded
	}
	w, err := settleslog.Open(o)
	if err != nil {
		return fmt.Errorf("journal of settles: %w", err)
	}
	a.journal = w
	return nil
}

// admit is the core's question whether a request can be recorded.
func (a *Agent) admit() func() (time.Duration, bool) {
	if a.journal == nil {
		return nil
	}
	return func() (time.Duration, bool) {
		verdict, after := a.journal.Admit()
		return after, verdict != requestlog.TurnAway
	}
}

// recordOf is what the HTTP front records.
func recordOf(o *config.Operator, classes []bool) http.Record {
	if o == nil || o.Settles == nil {
		return http.Record{}
	}
	return http.Record{Classes: classes, Header: o.Settles.AccountHeader, Field: o.Settles.Path()}
}

// recall reads, beside what is being served, what the runs before left open, and tells it in the log.
func (a *Agent) recall(ctx context.Context) {
	if a.journal == nil {
		return
	}
	before := a.journal.Began()
	go func() {
		book := requestlog.NewBook(func(*requestlog.Intent) bool { return false })
		rep, err := settleslog.ReadBefore(ctx, a.journal.FS(), before, book)
		if err != nil {
			if ctx.Err() == nil {
				a.log.Error("the journal of settles can't be read", "err", err)
			}
			return
		}
		stat := book.Stat()
		a.log.Info("journal of settles", "open", stat.Open, "settles", stat.Intents, "runs", stat.Runs, "bytes", rep.Bytes)
		for i, x := range book.Open() {
			if i == maxOpenLogged {
				a.log.Warn("more settles stand open", "count", stat.Open-i)
				break
			}
			a.log.Warn("a settle stands open: handed over, no answer seen", "id", x.Intent.Request, "account", x.Intent.Account, "server", x.Intent.Server, "at", x.Intent.At)
		}
		for _, l := range rep.Losses {
			a.log.Error("the journal of settles is damaged", "where", l.String())
		}
	}()
}

// maxOpenLogged is how many open settles are logged by name at a start; latchkit settles open lists them all.
const maxOpenLogged = 20

// closeJournal ends the journal once each outcome is told. The loops have been told to end.
func (a *Agent) closeJournal() {
	if a.journal == nil {
		return
	}
	for _, l := range a.loops {
		<-l.Done()
	}
	for _, up := range a.ups {
		up.Settle()
	}
	if err := a.journal.Close(); err != nil {
		a.log.Error("the journal of settles did not close", "err", err)
	}
}
