package loadline

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"saltmast/internal/dataplane"
)

// hopAnswer is what the backend answers.
var hopAnswer = []byte(strings.Repeat("x", 400))

// hops measures what two proxies add to a call without a key: calls at a rate from the machine of the first real proxy to a
// backend beside the second, and the same calls to the backend itself before and after them.
func (x *run) hops() (Phase, error) {
	from, to := x.o.Agents, x.o.Agents+1
	if len(x.tugs) < 2 || x.o.Services < x.o.Agents+2 {
		return Phase{}, errors.New("two real proxies, and services that no hollow agent has, are wanted")
	}
	l, err := net.Listen("tcp4", x.l.Addr(to, app))
	if err != nil {
		return Phase{}, err
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(dataplane.HeaderAttemptID, r.Header.Get(dataplane.HeaderAttemptID))
		w.Header().Set(dataplane.HeaderServerSeal, fmt.Sprintf("i-%d", to))
		w.Write(hopAnswer)
	})}
	go s.Serve(l)
	defer s.Close()
	path := "/" + x.l.Service(to) + "/work"
	direct, through := newTimes(), newTimes()
	lost, conns := 0, 0
	play := func(addr string, into *hdrhistogram.Histogram) error {
		n, err := x.callsTo(addr, path, into)
		lost += n
		return err
	}
	// the first calls build connections
	if err := x.until("a call through two proxies", 10*time.Second, func() bool { return x.hop(x.client, x.l.Addr(from, outbound), path, 0) == nil }); err != nil {
		return Phase{}, err
	}
	if err := play(x.l.Addr(to, app), direct); err != nil {
		return Phase{}, err
	}
	p, err := x.stretch("hops", func() error {
		err := play(x.l.Addr(from, outbound), through)
		conns = x.tugs[0].files()
		return err
	})
	if err == nil {
		err = play(x.l.Addr(to, app), direct)
	}
	p.Times = map[string]Times{"direct": times(direct, 0), "through two proxies": times(through, lost)}
	added := func(q float64) float64 { return float64(through.ValueAtQuantile(q)-direct.ValueAtQuantile(q)) / 1000 }
	p.Figures = map[string]float64{"calls_s": float64(through.TotalCount()) / p.Seconds, "added_p50_ms": added(50), "added_p99_ms": added(99), "files": float64(conns)}
	return p, err
}

// callsTo sends calls to an address at the run's rate for as long as a stretch, each timed from its sending, and says how many failed.
func (x *run) callsTo(addr, path string, into *hdrhistogram.Histogram) (lost int, err error) {
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var wg sync.WaitGroup
	every := time.Second / time.Duration(x.o.Rate)
	begun := time.Now()
	for n := 1; time.Since(begun) < x.o.Quiet; n++ {
		if x.ctx.Err() != nil {
			break
		}
		time.Sleep(time.Duration(n)*every - time.Since(begun))
		wg.Go(func() {
			sent := time.Now()
			err := x.hop(client, addr, path, n)
			took := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lost++
				return
			}
			into.RecordValue(took.Microseconds())
		})
	}
	wg.Wait()
	return lost, x.ctx.Err()
}

func (x *run) hop(client *http.Client, addr, path string, n int) error {
	r, err := http.NewRequestWithContext(x.ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	r.Host = "scale.example"
	r.Header.Set(dataplane.HeaderAttemptID, fmt.Sprintf("scale-%d-%d", n, monotonic()))
	r.Header.Set(dataplane.HeaderDeadlineRemaining, "2000")
	a, err := client.Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	if n, err := io.Copy(io.Discard, a.Body); err != nil || a.StatusCode != 200 || int(n) != len(hopAnswer) {
		return fmt.Errorf("%d, %d bytes, %w", a.StatusCode, n, err)
	}
	return nil
}

// files is how many descriptors the process has open.
func (p *runningProgram) files() int {
	pid, _ := p.present()
	all, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return len(all)
}
