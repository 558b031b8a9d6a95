package standin

import (
	"os/exec"
	"sync"
	"testing"
	"time"
)

// A process that is being started has copies of all descriptors until it runs its own program. Guards against a server that is
// killed meanwhile and comes back: its old listener lived on there, and the address was "in use".
func TestRestartWhileProcessesStart(t *testing.T) {
	s := NewServer(ServerConfig{ID: "a", Addr: "127.0.0.1:0", Cores: 1, Speed: 1, World: &Jobs{}, Record: NewRecord(time.Now())})
	defer s.Close()
	if err := s.Start(false); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	var starting sync.WaitGroup
	for range 4 {
		starting.Add(1)
		go func() {
			defer starting.Done()
			for {
				select {
				case <-done:
					return
				default:
				}
				exec.Command("/bin/true").Run()
			}
		}()
	}
	for i := range 2000 {
		s.Kill()
		if _, err := s.Restart("a", false); err != nil {
			t.Errorf("restart %d: %v", i, err)
			break
		}
	}
	close(done)
	starting.Wait()
}
