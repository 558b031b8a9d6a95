package measure

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Subjects of Settles.
const (
	SettlePlain   = "settle, no journal"
	SettleJournal = "settle, journal"
	HoldPlain     = "hold beside settles, no journal"
	HoldJournal   = "hold beside settles, journal"
)

// beside is how many connections settle all the time while holds are measured.
const beside = 8

// Settles measures what the journal of settles costs those that are recorded, and what it costs the others. dir is a folder
// on the disk that the journal is to be measured on.
func Settles(ctx context.Context, o Options, dir string) ([]Row, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, err
	}
	dir, err = os.MkdirTemp(dir, "latchkit-measure-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	web, err := serve(serveHTTP)
	if err != nil {
		return nil, err
	}
	defer web.Close()
	list, err := serve(serveList(web.Addr().String(), web.Addr().String()))
	if err != nil {
		return nil, err
	}
	defer list.Close()
	var procs processes
	defer procs.end()
	var pids [2]int
	addrs := [2]string{free(), free()}
	for i, addr := range addrs {
		sub := filepath.Join(dir, fmt.Sprint("agent", i))
		if err := os.Mkdir(sub, 0o700); err != nil {
			return nil, err
		}
		config, operator, err := files(sub, addr, free(), list.Addr().String(), web.Addr().String(), web.Addr().String())
		if err != nil {
			return nil, err
		}
		argv := slices.Clone(o.Agent)
		if i == 1 {
			text := fmt.Sprintf("[settles]\ndir = %q\n", filepath.Join(sub, "settles"))
			if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
				return nil, err
			}
			argv = append(argv, "-operator", operator)
		}
		if pids[i], err = procs.start(ctx, addr, []string{"GW_CONFIG=" + config}, argv...); err != nil {
			return nil, err
		}
	}
	subjects := []*subject{{name: SettlePlain, addr: addrs[0], pid: pids[0]}, {name: SettleJournal, addr: addrs[1], pid: pids[1]},
		{name: HoldPlain, addr: addrs[0], pid: pids[0], ask: askHold}, {name: HoldJournal, addr: addrs[1], pid: pids[1], ask: askHold}}
	return turns(ctx, o, subjects, func(s *subject, n, round int) (Row, error) {
		s.name0 = 1000 * (round + 1) // ids of their own
		if s.ask == nil {
			return s.run(n, o.Requests)
		}
		quiet := settleOn(s.addr, s.name0+500)
		r, err := s.run(n, o.Requests)
		if e := quiet(); err == nil {
			err = e
		}
		return r, err
	})
}

// settleOn settles on a few connections, a thousand times a second together, until the function that it returns is called.
func settleOn(addr string, name0 int) (stop func() error) {
	done := make(chan struct{})
	errs := make([]error, beside)
	var running sync.WaitGroup
	for i := range beside {
		running.Add(1)
		go func() {
			defer running.Done()
			c, err := net.Dial("tcp", addr)
			if err != nil {
				errs[i] = err
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(2 * time.Minute))
			in := bufio.NewReader(c)
			t := time.NewTicker(beside * time.Millisecond)
			defer t.Stop()
			for k := 0; ; k++ {
				select {
				case <-done:
					return
				case <-t.C:
				}
				if errs[i] = askHTTP(c, in, name0+i, k); errs[i] != nil {
					return
				}
			}
		}()
	}
	return func() error {
		close(done)
		running.Wait()
		for _, err := range errs {
			if err != nil {
				return fmt.Errorf("settles beside it: %w", err)
			}
		}
		return nil
	}
}

func askHold(c net.Conn, in *bufio.Reader, conn, k int) error {
	if _, err := fmt.Fprintf(c, "POST /limit-hold HTTP/1.1\r\nHost: a\r\nX-Call-Id: %08x%08x\r\nX-Budget-Ms: 5000\r\nIdempotency-Key: %d-%d\r\nContent-Length: %d\r\n\r\n%s",
		conn, k, conn, k, len(body), body); err != nil {
		return err
	}
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("answered %s", resp.Status)
	}
	return nil
}
