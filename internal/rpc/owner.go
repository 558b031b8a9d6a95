package rpc

// Owner is the one goroutine that owns a table and works through a queue of commands on it, in order.
type Owner[T any] struct {
	table *T
	queue chan func(*T)
	ended chan struct{}
}

// StartOwner begins to own a table with a queue of so many commands.
func StartOwner[T any](table *T, depth int) *Owner[T] {
	o := &Owner[T]{table: table, queue: make(chan func(*T), depth), ended: make(chan struct{})}
	go func() {
		defer close(o.ended)
		for f := range o.queue {
			if f == nil {
				return
			}
			f(o.table)
		}
	}()
	return o
}

// Send queues a command. It waits while the queue is full, and does nothing once the owner has ended.
func (o *Owner[T]) Send(f func(*T)) {
	select {
	case o.queue <- f:
	case <-o.ended:
	}
}

// Do has a command done and waits for it. It reports whether it was done: not once the owner has ended.
func (o *Owner[T]) Do(f func(*T)) bool {
	done := make(chan struct{})
	o.Send(func(t *T) {
		f(t)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-o.ended:
		return false
	}
}

// Stop ends the owner after the commands that are queued. Not for use from within a command.
func (o *Owner[T]) Stop() {
	select {
	case o.queue <- nil:
	case <-o.ended:
	}
	<-o.ended
}
