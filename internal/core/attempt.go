package core

import (
	"context"
	"sync"
	"time"
)

// attempt is the context of one attempt. It is no child of the loop's: a standard one costs two entries in maps for
// each attempt, which together were a tenth of the agent's processor time. The loop ends those that are open when it ends.
type attempt struct {
	mu    sync.Mutex
	err   error
	done  chan struct{} // made when first asked for
	after []func()      // to run when it ends; nil where it was stopped
}

var _ context.Context = (*attempt)(nil)

// Deadline implements context.Context: the cut is told apart from it.
func (a *attempt) Deadline() (time.Time, bool) { return time.Time{}, false }

// Value implements context.Context: there are none.
func (a *attempt) Value(any) any { return nil }

// Err implements context.Context.
func (a *attempt) Err() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.err
}

// Done implements context.Context.
func (a *attempt) Done() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.done == nil {
		a.done = make(chan struct{})
		if a.err != nil {
			close(a.done)
		}
	}
	return a.done
}

// AfterFunc has f run on a goroutine of its own when the attempt is cancelled. stop reports whether it kept f from
// running, as that of context.AfterFunc does, which uses this method too.
func (a *attempt) AfterFunc(f func()) (stop func() bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err != nil {
		go f()
		return func() bool { return false }
	}
	i := len(a.after)
	a.after = append(a.after, f)
	return func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.err != nil || a.after[i] == nil {
			return false
		}
		a.after[i] = nil
		return true
	}
}

func (a *attempt) cancel() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.err != nil {
		return
	}
	a.err = context.Canceled
	if a.done != nil {
		close(a.done)
	}
	for _, f := range a.after {
		if f != nil {
			go f()
		}
	}
	a.after = nil
}
