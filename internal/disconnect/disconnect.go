// Package disconnect detects clients that disconnect: it cancels the context of work done for the peer of a connection once the peer
// closes that connection. Start reading at Watcher.
package disconnect

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"saltmast/internal/sock"
)

// ErrPeerClosed is the cause of a context that was canceled because the peer closed its connection or the connection broke.
var ErrPeerClosed = errors.New("the peer has closed its connection")

// Interval is the usual interval of a Watcher. A close is detected within two intervals of the start of the work, and within one
// interval later on.
const Interval = 75 * time.Millisecond

// Watcher checks connections while work is done for their peers. It peeks at sockets and neither reads nor writes, so the owner of a
// connection may go on using it. Work that takes less than an interval is never checked, and costs no system call.
//
// A peer counts as disconnected when it has closed its sending half and nothing that it sent before is still unread: bytes of a next
// request hide the close until they are read. A Watcher has no timer while it watches nothing. It is safe for concurrent use.
type Watcher struct {
	interval time.Duration

	mu      sync.Mutex
	watched map[*watch]struct{}
	timer   *time.Timer
	ticking bool
}

// watch is the work for one peer.
type watch struct {
	conn   net.Conn
	since  time.Time
	cancel context.CancelCauseFunc
}

// New returns a Watcher that checks connections once per interval.
func New(interval time.Duration) *Watcher {
	return &Watcher{interval: interval, watched: map[*watch]struct{}{}}
}

// Context returns a context that is canceled with the cause ErrPeerClosed when the peer of conn closes the connection. The caller must
// call stop when the work is done, which cancels the context as well.
func (w *Watcher) Context(conn net.Conn) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(context.Background())
	watched := &watch{conn: conn, since: time.Now(), cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.watched[watched] = struct{}{}
	if !w.ticking {
		w.ticking = true
		w.schedule()
	}
	return ctx, func() { w.stop(watched) }
}

// stop ends a watch.
func (w *Watcher) stop(watched *watch) {
	w.mu.Lock()
	delete(w.watched, watched)
	if len(w.watched) == 0 && w.ticking && w.timer.Stop() {
		w.ticking = false
	}
	w.mu.Unlock()
	watched.cancel(nil)
}

// schedule arms the timer for the next check, an interval from now. The caller holds w.mu.
func (w *Watcher) schedule() {
	if w.timer == nil {
		w.timer = time.AfterFunc(w.interval, w.check)
		return
	}
	w.timer.Reset(w.interval)
}

// check checks each connection that has been watched for an interval or longer.
func (w *Watcher) check() {
	for _, watched := range w.due(time.Now()) {
		if sock.Closed(watched.conn) {
			watched.cancel(ErrPeerClosed)
			w.stop(watched)
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ticking = len(w.watched) > 0; w.ticking {
		w.schedule()
	}
}

// due returns what has been watched for an interval or longer.
func (w *Watcher) due(now time.Time) (due []*watch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for watched := range w.watched {
		if now.Sub(watched.since) >= w.interval {
			due = append(due, watched)
		}
	}
	return due
}

// PeerClosed reports whether ctx was canceled because a peer closed its connection.
func PeerClosed(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), ErrPeerClosed)
}
