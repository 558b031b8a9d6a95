package simulation

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"saltmast/internal/simulation/checker"
)

// innerMark is in the path of a call that a run makes. Its own run makes none.
const innerMark = "inner-"

// calls has a run make the call that its request asks for, if it does, through its own machine's proxy: a request like any other,
// with ids of its own and no key, that ends at its parent's deadline. Run again, it calls again. It gives the status that the run
// answers: 0 where nothing failed.
func (b *backend) calls(run *checker.Run, left string) (status int) {
	w := b.m.w
	draw := rand.New(rand.NewPCG(sum64([]byte(run.Path)), w.seed))
	if draw.Float64() >= w.inner || strings.Contains(run.Path, innerMark) {
		return 0
	}
	to := routes[[]int{0, 1, 4}[draw.IntN(3)]]
	ms, err := strconv.Atoi(left)
	wait := time.Duration(ms)*time.Millisecond - (w.now() - run.At)
	if err != nil || wait <= 0 {
		return 504
	}
	o := &operation{m: b.m, r: rand.New(rand.NewPCG(draw.Uint64(), sum64([]byte(b.id+run.ID+fmt.Sprint(run.At))))), pool: &connPool{m: b.m}, to: to, of: run, on: b.p,
		req: request{host: host, method: "GET", path: fmt.Sprintf("%s%s%s?of=%s", to.prefix, innerMark, run.ID, b.id)}}
	if to.kind == "mutating" {
		o.req.method, o.req.body = "POST", []byte("inner")
	}
	end := w.now() + wait
	switch t := o.sail(b.m, wait, false); {
	case t != nil && t.Status/100 == 2 && t.Complete:
		return 0
	case w.now() >= end-5*time.Millisecond:
		return 504
	}
	return 500
}
