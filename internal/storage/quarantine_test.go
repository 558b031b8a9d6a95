package storage

import (
	"maps"
	"path/filepath"
	"testing"
)

// Power is lost while files are put aside: each change of a name since the folder was synced last is kept or lost by itself.
// Whatever comes of that, a database is never found without its log and taken for whole.
func TestPutAsideCutAnywhere(t *testing.T) {
	t.Parallel()
	_, dir, states := filledDB(t, 25)
	whole := readFiles(t, dir)
	if len(whole[fileName+"-wal"]) == 0 {
		t.Fatal("no log to lose")
	}
	type change struct{ from, to string }
	for stop := 0; ; stop++ { // power is lost behind so many changes and syncs
		var sure, open []change
		steps := 0
		step := func() bool { steps++; return steps <= stop }
		quarantine(filepath.Join(dir, fileName), fileOps{
			rename: func(from, to string) error {
				if _, ok := whole[filepath.Base(from)]; ok && step() {
					open = append(open, change{filepath.Base(from), filepath.Base(to)})
				}
				return nil
			},
			remove: func(string) error { t.Error("a file is removed that could be renamed"); return nil },
			sync: func(string) error {
				if step() {
					sure, open = append(sure, open...), nil
				}
				return nil
			},
		})
		for kept := range 1 << len(open) {
			f := fileSet{}
			for name, b := range whole {
				f[name] = b
			}
			for i, c := range append(sure[:len(sure):len(sure)], open...) {
				if i < len(sure) || kept&(1<<(i-len(sure))) != 0 {
					f[c.to] = f[c.from]
					delete(f, c.from)
				}
			}
			got, start := f.reopen(t)
			if start == Intact && !maps.Equal(got, states[len(states)-1]) {
				t.Errorf("after %d steps, %d of %d changes kept (%b): found whole with %d of %d rows", stop, len(sure), len(sure)+len(open), kept, len(got), len(states[len(states)-1]))
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
