package registry

import (
	"sync"
	"testing"
)

// TestNoTaskStartsAfterClose checks that a task spawned while the registry closes is either waited for or not started.
func TestNoTaskStartsAfterClose(t *testing.T) {
	for range 2000 {
		reg := &Registry{closed: make(chan struct{})}
		var all sync.WaitGroup
		ran := make(chan struct{}, 8)
		for range 4 {
			all.Go(func() {
				for reg.spawn(func() { ran <- struct{}{}; <-ran }) {
				}
			})
		}
		reg.mu.Lock()
		close(reg.closed)
		reg.mu.Unlock()
		reg.tasks.Wait()
		if len(ran) > 0 {
			t.Fatal("a task runs after the end")
		}
		all.Wait()
	}
}
