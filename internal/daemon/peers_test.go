package daemon

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"saltmast/internal/testsupport"
)

// sockets counts what a process has open: UDP sockets, and TCP sockets that listen.
func sockets(t *testing.T, pid int) (udp, listening int) {
	t.Helper()
	own := map[string]bool{}
	dir := fmt.Sprintf("/proc/%d", pid)
	fds, err := os.ReadDir(dir + "/fd")
	if err != nil {
		t.Skip("no /proc here")
	}
	for _, fd := range fds {
		if to, err := os.Readlink(filepath.Join(dir, "fd", fd.Name())); err == nil {
			if inode, ok := strings.CutPrefix(to, "socket:["); ok {
				own[strings.TrimSuffix(inode, "]")] = true
			}
		}
	}
	for _, name := range []string{"tcp", "tcp6", "udp", "udp6"} {
		file, err := os.Open(dir + "/net/" + name)
		if err != nil {
			continue
		}
		defer file.Close()
		for in := bufio.NewScanner(file); in.Scan(); {
			f := strings.Fields(in.Text())
			switch {
			case len(f) < 10 || !own[f[9]]:
			case name[0] == 'u':
				udp++
			case f[3] == "0A":
				listening++
			}
		}
	}
	return udp, listening
}

// Without [peers] nothing listens, nothing is sent, and the calls about it are unknown; with it there is one more listener,
// and one socket for datagrams.
func TestPeersAreOffWithoutTheirSection(t *testing.T) {
	d := testsupport.NewLists(t)
	peer := testsupport.NewPeer(t, testsupport.Echo)
	for _, on := range []bool{false, true} {
		s := &site{t: t, dir: t.TempDir(), discover: d.Addr, backend: peer.Addr(), listen: freeAddr(t), sockets: 512}
		want, udps, status := 2, 0, http.StatusNotFound
		if on {
			s.operator = filepath.Join(t.TempDir(), "own.toml")
			if err := os.WriteFile(s.operator, []byte("[peers]\nlisten = \"127.0.0.1:0\"\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			want, udps, status = 3, 1, http.StatusOK
		}
		p := s.start()
		s.ready(p)
		if udp, listening := sockets(t, p.Process.Pid); udp != udps || listening != want {
			t.Errorf("peers %v: %d sockets for datagrams and %d that listen, want %d and %d", on, udp, listening, udps, want)
		}
		for _, path := range []string{"/-/peers", "/-/shared"} {
			resp, err := http.Get("http://" + p.calls + path)
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != status {
				t.Errorf("peers %v: %s is %s", on, path, resp.Status)
			}
		}
		p.Process.Signal(os.Interrupt)
		if err := <-p.ended; err != nil {
			t.Errorf("%v: %s", err, p.log)
		}
	}
}
