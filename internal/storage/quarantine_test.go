package storage

import (
	"maps"
	"path/filepath"
	"testing"
)

// Power is lost while files are quarantined: each rename since the last sync of the folder is kept or lost independently. In no
// case is a database found without its log and taken as intact.
func TestQuarantineInterruptedAnywhere(t *testing.T) {
	t.Parallel()
	_, dir, states := filledDB(t, 25)
	whole := readFiles(t, dir)
	if len(whole[fileName+"-wal"]) == 0 {
		t.Fatal("the log is empty")
	}
	type change struct{ from, to string }
	for stop := 0; ; stop++ { // power is lost after this many renames and syncs
		var synced, pending []change
		steps := 0
		step := func() bool { steps++; return steps <= stop }
		quarantine(filepath.Join(dir, fileName), fileOps{
			rename: func(from, to string) error {
				if _, ok := whole[filepath.Base(from)]; ok && step() {
					pending = append(pending, change{filepath.Base(from), filepath.Base(to)})
				}
				return nil
			},
			remove: func(string) error { t.Error("a file was removed though it could be renamed"); return nil },
			sync: func(string) error {
				if step() {
					synced, pending = append(synced, pending...), nil
				}
				return nil
			},
		})
		for kept := range 1 << len(pending) {
			f := fileSet{}
			for name, b := range whole {
				f[name] = b
			}
			for i, c := range append(synced[:len(synced):len(synced)], pending...) {
				if i < len(synced) || kept&(1<<(i-len(synced))) != 0 {
					f[c.to] = f[c.from]
					delete(f, c.from)
				}
			}
			got, condition := f.reopen(t)
			if condition == Intact && !maps.Equal(got, states[len(states)-1]) {
				t.Errorf("after %d steps, %d of %d renames synced (kept: %b): found intact with %d of %d rows", stop, len(synced), len(synced)+len(pending), kept, len(got), len(states[len(states)-1]))
			}
		}
		if stop >= steps {
			if steps < 4 {
				t.Errorf("%d steps", steps)
			}
			return
		}
	}
}
