package store

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"saltmast/internal/simulation/network"
)

// Close waits for a disk that is being opened. Otherwise the opening could still write to the folder after it was removed, or
// while the next process uses it.
func TestCloseWhileDiskOpens(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "disk")
	synctest.Test(t, func(t *testing.T) {
		opening, resume := make(chan struct{}), make(chan struct{})
		p, err := Start(Options{Net: network.New(1).Machine("10.0.0.1", "east").Start(), Addr: "10.0.0.1:7000", Dir: dir, Window: time.Minute,
			Seeds: func() []string { return nil }, SimulatedDisk: func() error { return nil },
			Log: func(event, text string) {
				if event == "disk" && strings.HasPrefix(text, "found") {
					close(opening)
					<-resume
				}
			}})
		if err != nil {
			t.Fatal(err)
		}
		<-opening
		closed := make(chan error, 1)
		go func() { closed <- p.Close() }()
		synctest.Wait()
		select {
		case err := <-closed:
			t.Errorf("closed (%v) while the disk was being opened", err)
			close(resume)
		default:
			close(resume)
			if err := <-closed; err != nil {
				t.Error(err)
			}
		}
		if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
		synctest.Wait()
		if _, err := os.Stat(dir); !os.IsNotExist(err) {
			t.Errorf("the folder was created again: %v", err)
		}
	})
}
