package hold

import (
	"fmt"
	"os"
	"testing"
)

func mustOpen(t testing.TB, dir string, want Start) *Hold {
	t.Helper()
	h, start, err := Open(Options{Dir: dir, Log: func(s string) { t.Log(s) }})
	if err != nil || start != want {
		t.Fatal(start, err)
	}
	return h
}

// write writes and waits.
func write(h *Hold, puts ...Put) error {
	answer := make(chan error, 1)
	h.Write(puts, func(err error) { answer <- err })
	return <-answer
}

// load is all of a table.
func load(t testing.TB, h *Hold, table Table) map[string]string {
	t.Helper()
	all := map[string]string{}
	if err := h.Load(table, func(k, v []byte) error { all[string(k)] = string(v); return nil }); err != nil {
		t.Fatal(err)
	}
	return all
}

func TestSmoke(t *testing.T) {
	dir := t.TempDir() + "/a?b%20/c"
	h := mustOpen(t, dir, Empty)
	for i := range 1000 {
		if err := write(h, Put{1, []byte(fmt.Sprint(i)), []byte("v")}, Put{1, []byte("x"), nil}); err != nil {
			t.Fatal(err)
		}
	}
	es, _ := os.ReadDir(dir)
	for _, e := range es {
		i, _ := e.Info()
		t.Log(e.Name(), i.Size())
	}
	t.Log(h.Close())
	es, _ = os.ReadDir(dir)
	for _, e := range es {
		i, _ := e.Info()
		t.Log(e.Name(), i.Size())
	}
	h = mustOpen(t, dir, Whole)
	if n := len(load(t, h, 1)); n != 1000 {
		t.Fatal(n)
	}
	h.Close()
}
