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

// A purser that ends while its disk is being opened ends behind that: whoever then takes the folder away or begins the next life in
// it is alone there.
func TestCloseWhileTheDiskIsOpened(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "disk")
	synctest.Test(t, func(t *testing.T) {
		opening, on := make(chan struct{}), make(chan struct{})
		p, err := Start(Options{Net: network.New(1).Machine("10.0.0.1", "east").Start(), Addr: "10.0.0.1:7000", Dir: dir, Window: time.Minute,
			Seeds: func() []string { return nil }, SimulatedDisk: func() error { return nil },
			Log: func(event, text string) {
				if event == "disk" && strings.HasPrefix(text, "found") {
					close(opening)
					<-on
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
			t.Errorf("closed (%v) with its disk being opened", err)
			close(on)
		default:
			close(on)
			if err := <-closed; err != nil {
				t.Error(err)
			}
		}
		if err := os.RemoveAll(dir); err != nil {
			t.Error(err)
		}
		synctest.Wait()
		if _, err := os.Stat(dir); !os.IsNotExist(err) {
			t.Errorf("the folder is there again: %v", err)
		}
	})
}
