package rpc

// Owner is a goroutine that owns a table and runs queued commands on it, in order.
type Owner[T any] struct {
	table *T
	queue chan func(*T)
	done  chan struct{}
}

// StartOwner starts the owner of a table, with a queue of depth commands.
func StartOwner[T any](table *T, depth int) *Owner[T] {
	o := &Owner[T]{table: table, queue: make(chan func(*T), depth), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		for command := range o.queue {
			if command == nil {
				return
			}
			command(o.table)
		}
	}()
	return o
}

// Send queues a command. It blocks while the queue is full, and does nothing once the owner has stopped.
func (o *Owner[T]) Send(command func(*T)) {
	select {
	case o.queue <- command:
	case <-o.done:
	}
}

// Do queues a command, waits until it has run, and reports whether it did: it does not run once the owner has stopped.
func (o *Owner[T]) Do(command func(*T)) bool {
	finished := make(chan struct{})
	o.Send(func(t *T) {
		command(t)
		close(finished)
	})
	select {
	case <-finished:
		return true
	case <-o.done:
		return false
	}
}

// Stop stops the owner after the queued commands and waits for it. It must not be called from within a command.
func (o *Owner[T]) Stop() {
	select {
	case o.queue <- nil:
	case <-o.done:
	}
	<-o.done
}
