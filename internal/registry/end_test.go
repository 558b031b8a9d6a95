package registry

import (
	"sync"
	"testing"
)

// What would begin to run while this one ends is waited for or does not begin.
func TestNothingBeginsBehindTheEnd(t *testing.T) {
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
			t.Fatal("something runs behind the end")
		}
		all.Wait()
	}
}
