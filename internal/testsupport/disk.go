package testsupport

import (
	"sync"

	settleslog "saltmast/internal/requestlog/log"
)

// Disk is a folder of a journal that fails and hangs as the test says.
type Disk struct {
	settleslog.FS
	mu   sync.Mutex
	err  error         // of every write and sync, and of every new file
	gate chan struct{} // a sync waits until it is closed; nil: none does
	hung chan struct{} // holds one for each sync that waits
}

// NewDisk is the folder of that path.
func NewDisk(path string) *Disk {
	return &Disk{FS: settleslog.Dir(path), hung: make(chan struct{}, 100)}
}

// Fail has all that is written fail from now on; nil ends that.
func (d *Disk) Fail(err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err = err
}

// Hang has syncs hang until the function that it returns is called. The channel holds one for each that does.
func (d *Disk) Hang() (hung <-chan struct{}, release func()) {
	gate := make(chan struct{})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gate = gate
	return d.hung, sync.OnceFunc(func() {
		d.mu.Lock()
		d.gate = nil
		d.mu.Unlock()
		close(gate)
	})
}

func (d *Disk) trouble() (gate chan struct{}, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate, d.err
}

// Create implements settleslog.FS.
func (d *Disk) Create(name string) (settleslog.File, error) {
	if _, err := d.trouble(); err != nil {
		return nil, err
	}
	f, err := d.FS.Create(name)
	if err != nil {
		return nil, err
	}
	return &diskFile{f, d}, nil
}

type diskFile struct {
	settleslog.File
	d *Disk
}

func (f *diskFile) WriteAt(p []byte, off int64) (int, error) {
	if _, err := f.d.trouble(); err != nil {
		return 0, err
	}
	return f.File.WriteAt(p, off)
}

func (f *diskFile) Sync() error {
	gate, err := f.d.trouble()
	if gate != nil {
		f.d.hung <- struct{}{}
		<-gate
	}
	if err != nil {
		return err
	}
	return f.File.Sync()
}
