package standin

import (
	"bufio"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"saltmast/internal/grade"
	"saltmast/internal/scenario"
)

// ServerConfig is what an auth server is like. Durations of zero switch off what they stand for.
type ServerConfig struct {
	ID           string
	Protocol     string // HTTP (also ""), ThriftBinary or ThriftCompact
	Addr         string // where it listens; port 0 picks one, which it keeps through restarts
	Pod          *Pod   // those that know each other's keys; nil: it drops no repeats
	PodNumber    int
	Cores        int           // each works on one request at a time
	Speed        float64       // of a core, against a standard one
	Queue        int           // requests that may wait
	ColdFrom     float64       // share of its capacity after a cold start
	Ramp         time.Duration // until it is warm
	Handshake    time.Duration // work of a new connection, on a standard core
	Connections  int           // that it accepts; 0: no limit
	Idle         time.Duration // it closes a connection that has been idle for so long
	Probe        time.Duration // work of a probe, on a standard core
	ErrorRate    float64       // share of requests that end with 500
	DropsExpired bool          // turns away what is over when its turn comes
	FallMultiple float64       // sent more than this multiple of what it can do, for FallWindow, it falls over while cold
	FallWindow   time.Duration
	DripGap      time.Duration         // between two bytes of a dripped answer; 0 is 5 ms
	Fell         func(id, addr string) // called once when it has been pushed over; must not block
	World        World
	Record       *Record
}

// maxBody and maxHead bound what a server takes.
const (
	maxBody = 64 << 10
	maxHead = 16 << 10
)

// Server is one stand-in auth server. Its methods may be called at any time while it serves.
type Server struct {
	c      ServerConfig
	speech speech

	mu      sync.Mutex
	id      string
	addr    string
	life    *life            // nil: no process
	faults  map[string]Spoil // of the answers, by kind
	stats   Stats
	closed  bool
	fell    bool
	running sync.WaitGroup
}

// Stats count what a server has seen since it was made.
type Stats struct {
	Open       int // connections now
	MostOpen   int
	Handshakes int
	Probes     int
	Requests   int
}

// Spoil is a fault of the answers.
type Spoil struct {
	Part  float64 // share of the answers that it hits; 0 stands for all
	Times float64 // of slow
}

// life is one process of a server: what dies with it.
type life struct {
	listener *net.TCPListener
	started  time.Duration // of the record
	cold     bool
	done     chan struct{} // closed when it dies or falls silent for good
	conns    map[*net.TCPConn]bool
	silent   bool
	draining bool
	free     []time.Duration // when each core is done with what it has been given
	waiting  []time.Duration // when those that wait begin, in order
	pushes   []pushed        // within the window, while cold
	plugs    []net.Conn      // hold the accept queue full while it is silent
}

type pushed struct {
	at   time.Duration
	work time.Duration
}

// ErrFell is the error of starting a server that was pushed over: it stays down.
var ErrFell = errors.New("was pushed over and stays down")

// NewServer returns a server that does not run yet.
func NewServer(c ServerConfig) *Server {
	return &Server{c: c, speech: speechOf(c.Protocol), id: c.ID, addr: c.Addr, faults: map[string]Spoil{}}
}

// Start starts the process; cold says that it begins with a share of its capacity. It is an error if it runs, and
// if its address is taken.
func (s *Server) Start(cold bool) error { return s.start(cold, 0) }

func (s *Server) start(cold bool, unix int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fell {
		return ErrFell
	}
	if s.closed || s.life != nil {
		return fmt.Errorf("server %s: runs already, or was closed", s.id)
	}
	l, err := net.Listen("tcp", s.addr)
	// A process that is being started has copies of all descriptors until it runs its own program: the listener of the life before
	// may go on there for a moment. Closing under syscall.ForkLock makes that rarer and no more: the lock is given back a little
	// before the kernel closes the copies.
	for n := 0; n < 200 && errors.Is(err, syscall.EADDRINUSE); n++ {
		time.Sleep(time.Millisecond)
		l, err = net.Listen("tcp", s.addr)
	}
	if err != nil {
		return fmt.Errorf("server %s: %w", s.id, err)
	}
	s.addr = l.Addr().String()
	n := &life{listener: l.(*net.TCPListener), cold: cold, done: make(chan struct{}), conns: map[*net.TCPConn]bool{},
		free: make([]time.Duration, s.c.Cores)}
	e := grade.Event{Kind: grade.Started, Server: s.id, Addr: s.addr, Pod: s.c.PodNumber,
		Capacity: float64(s.c.Cores) * s.c.Speed, ColdFrom: 1, Unix: unix}
	if cold {
		e.ColdFrom, e.Ramp = s.c.ColdFrom, s.c.Ramp
	}
	n.started = s.c.Record.Add(e)
	s.life = n
	s.running.Add(1)
	go s.accept(n)
	return nil
}

// Restart starts the process cold, as id, at the same address, or at another one if move is set. It returns the
// time of its start as Unix milliseconds, as the list tells it.
func (s *Server) Restart(id string, move bool) (unix int64, err error) {
	s.mu.Lock()
	s.id = id
	if move {
		host, _, _ := net.SplitHostPort(s.addr)
		s.addr = net.JoinHostPort(host, "0")
	}
	s.mu.Unlock()
	unix = time.Now().UnixMilli()
	return unix, s.start(true, unix)
}

// ID and Addr are what it goes by now.
func (s *Server) ID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// Addr is where it listens or last did.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Fallen reports whether it was pushed over.
func (s *Server) Fallen() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fell
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Kill ends the process: its connections are reset, new ones are refused, and what it had not done is undone.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kill()
}

func (s *Server) kill() {
	n := s.life
	if n == nil {
		return
	}
	s.life = nil
	close(n.done)
	n.listener.Close()
	for _, p := range n.plugs {
		p.Close()
	}
	for c := range n.conns {
		c.SetLinger(0)
		c.Close()
	}
}

// Silence cuts the machine off: open connections stay open and say nothing, new ones never come up, and what it
// had not done is undone. Kill and Restart bring it back.
func (s *Server) Silence() error {
	s.mu.Lock()
	n := s.life
	if n == nil || n.silent {
		s.mu.Unlock()
		return nil
	}
	n.silent = true
	addr := s.addr
	s.mu.Unlock()
	// The shortest accept queue, filled up: from then on the system drops what knocks, as a dead machine would.
	raw, err := n.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil {
		return err
	}
	if listenErr != nil {
		return listenErr
	}
	for range 64 {
		c, err := net.DialTimeout("tcp", addr, 30*time.Millisecond)
		if err != nil { // full, or the machine is busy
			if c, err = net.DialTimeout("tcp", addr, 70*time.Millisecond); err != nil {
				return nil
			}
		}
		s.mu.Lock()
		if s.life != n {
			s.mu.Unlock()
			c.Close()
			return nil
		}
		n.plugs = append(n.plugs, c)
		s.mu.Unlock()
	}
	return errors.New("the accept queue does not fill up")
}

// Drain has it finish what it has and turn away all that is new.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life != nil {
		s.life.draining = true
	}
}

// Spoil begins a fault of the answers, by a kind of package scenario; Mend ends it.
func (s *Server) Spoil(kind string, how Spoil) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[kind] = how
}

// Mend ends a fault of the answers. What it had swallowed stays unanswered.
func (s *Server) Mend(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.faults, kind)
}

// Close ends the process and waits for all that it ran.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	s.kill()
	s.mu.Unlock()
	s.running.Wait()
}

func (s *Server) accept(n *life) {
	defer s.running.Done()
	for {
		c, err := n.listener.AcceptTCP()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.life != n {
			s.mu.Unlock()
			c.SetLinger(0)
			c.Close()
			continue
		}
		if n.silent { // it came up before the queue was full: it stays, and is never read
			n.conns[c] = true
			s.mu.Unlock()
			return
		}
		n.conns[c] = true
		crowded := s.c.Connections > 0 && len(n.conns) > s.c.Connections
		s.stats.Open++
		s.stats.MostOpen = max(s.stats.MostOpen, s.stats.Open)
		s.stats.Handshakes++
		ready := s.c.Record.Now()
		if s.c.Handshake > 0 && !crowded {
			_, ready = s.schedule(n, ready, s.c.Handshake)
		}
		s.running.Add(1)
		s.mu.Unlock()
		go s.serve(n, c, crowded, ready)
	}
}

// capacity is what a core can do at a time, in standard cores. The caller holds s.mu.
func (s *Server) capacity(n *life, at time.Duration) float64 {
	speed := s.c.Speed
	if age := at - n.started; n.cold && age < s.c.Ramp {
		speed *= s.c.ColdFrom + (1-s.c.ColdFrom)*max(0, age.Seconds())/s.c.Ramp.Seconds()
	}
	return speed
}

// schedule gives work to the core that is free first. Cores take work in the order in which it came. The caller
// holds s.mu.
func (s *Server) schedule(n *life, now, work time.Duration) (begin, end time.Duration) {
	core := 0
	for i, f := range n.free {
		if f < n.free[core] {
			core = i
		}
	}
	begin = max(now, n.free[core])
	end = begin + time.Duration(float64(work)/s.capacity(n, begin))
	n.free[core] = end
	return begin, end
}

// verdict is what becomes of a request.
type verdict struct {
	swallow bool
	reject  bool
	repeat  *effect       // known by its key: this is the one that runs
	effect  *effect       // of a keyed one that runs here
	at      time.Duration // when it is answered
	status  int
}

// admit decides about a request that has come whole.
func (s *Server) admit(n *life, id, key, class string, work, budget, ready time.Duration, last bool) (v verdict) {
	now := s.c.Record.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Requests++
	if s.life != n || n.silent {
		return verdict{swallow: true}
	}
	if s.push(n, now, work) {
		return verdict{swallow: true} // it has just fallen over
	}
	if hit(s.faults, "swallow", id) {
		return verdict{swallow: true}
	}
	for len(n.waiting) > 0 && n.waiting[0] <= now {
		n.waiting = n.waiting[1:]
	}
	if n.draining || last || len(n.waiting) >= s.c.Queue && s.busy(n, now) {
		return verdict{reject: true, at: now}
	}
	if key != "" && s.c.Pod != nil {
		e, first := s.c.Pod.take(key, now)
		if !first {
			return verdict{repeat: e, at: now, status: http.StatusOK}
		}
		v.effect = e
	}
	if slow, ok := s.faults["slow"]; ok && hit(s.faults, "slow", id) {
		work = time.Duration(float64(work) * max(1, slow.Times))
	}
	begin := max(now, ready) // the first request on a connection waits for the handshake
	if s.c.DropsExpired && budget > 0 {
		if start := max(begin, earliest(n.free)); start > now+budget {
			if v.effect != nil {
				s.c.Pod.undo(key, v.effect)
			}
			return verdict{reject: true, at: start}
		}
	}
	start, end := s.schedule(n, begin, work)
	if start > now {
		n.waiting = append(n.waiting, start)
	}
	v.at, v.status = end, http.StatusOK
	if s.c.ErrorRate > 0 && scenario.Chance(id, "error-rate") < s.c.ErrorRate || hit(s.faults, "errors", id) {
		v.status = http.StatusInternalServerError
	}
	return v
}

func earliest(free []time.Duration) time.Duration {
	e := free[0]
	for _, f := range free {
		e = min(e, f)
	}
	return e
}

// busy reports whether no core is free. The caller holds s.mu.
func (s *Server) busy(n *life, now time.Duration) bool { return earliest(n.free) > now }

// push counts what reaches a cold server, turned away or not, and reports whether that was too much. Then it dies
// and stays down. The caller holds s.mu.
func (s *Server) push(n *life, now, work time.Duration) bool {
	if !n.cold || s.c.FallMultiple <= 0 || now-n.started >= s.c.Ramp {
		n.pushes = nil
		return false
	}
	n.pushes = append(n.pushes, pushed{now, work})
	for n.pushes[0].at <= now-s.c.FallWindow {
		n.pushes = n.pushes[1:]
	}
	var sum, heaviest time.Duration
	for _, p := range n.pushes {
		sum += p.work
		heaviest = max(heaviest, p.work)
	}
	limit := s.c.FallMultiple * (1 + grade.ColdSlack) * s.capacity(n, now) * float64(s.c.Cores) * s.c.FallWindow.Seconds()
	if (sum - heaviest).Seconds() <= limit {
		return false
	}
	s.c.Record.Add(grade.Event{Kind: grade.Fell, Server: s.id, Addr: s.addr, Work: sum})
	s.fell = true
	s.kill()
	if s.c.Fell != nil {
		s.c.Fell(s.id, s.addr)
	}
	return true
}

// serve reads one request after the other off a connection.
func (s *Server) serve(n *life, c *net.TCPConn, last bool, ready time.Duration) {
	defer s.running.Done()
	defer func() {
		s.mu.Lock()
		delete(n.conns, c)
		s.stats.Open--
		s.mu.Unlock()
		c.Close()
	}()
	limit := &io.LimitedReader{R: c}
	in := bufio.NewReaderSize(limit, 4096)
	for {
		limit.N = maxHead + maxBody
		if s.c.Idle > 0 {
			c.SetReadDeadline(time.Now().Add(s.c.Idle))
		}
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := s.c.Record.Now()
		c.SetReadDeadline(time.Now().Add(30 * time.Second))
		r, err := s.speech.read(in)
		if err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		if !s.request(n, c, r, first, ready, last) {
			return
		}
		ready = 0
	}
}

// request serves one that has come whole, and reports whether another may follow.
func (s *Server) request(n *life, c *net.TCPConn, r *incoming, first, ready time.Duration, last bool) bool {
	if r.probe {
		return s.probe(n, c, r)
	}
	id, key, budget := r.id, r.key, r.budget
	if id == "" {
		return s.say(c, r, http.StatusNotFound, "no id\n")
	}
	class, work, number, ok := s.c.World.Take(id)
	s.mu.Lock()
	name, addr, silent := s.id, s.addr, n.silent || s.life != n
	s.mu.Unlock()
	if !ok {
		s.c.Record.Add(grade.Event{Kind: grade.Stray, Request: id, Server: name})
		return s.say(c, r, http.StatusBadRequest, "unknown id\n")
	}
	e := grade.Event{Kind: grade.Attempt, Request: id, Class: class, Key: key, Server: name, Addr: addr, Pod: s.c.PodNumber,
		N: number, First: first, Work: work, Budget: budget}
	if silent {
		e.Note = "silent"
	}
	s.c.Record.Add(e)
	v := s.admit(n, id, key, class, work, budget, ready, last)
	say := func(kind grade.Kind, status int, digest uint64) {
		s.c.Record.Add(grade.Event{Kind: kind, Request: id, Class: class, Key: key, Server: name, N: number, Pod: s.c.PodNumber, Status: status, Digest: digest})
	}
	switch {
	case v.swallow:
		return s.lapse(c)
	case v.reject:
		if !s.wait(n, v.at) {
			return s.lapse(c)
		}
		say(grade.Reject, http.StatusServiceUnavailable, 0)
		return s.say(c, r, http.StatusServiceUnavailable, "") && !last
	case v.repeat != nil:
		select {
		case <-v.repeat.done:
		case <-n.done:
			return false
		}
		if !v.repeat.ran {
			return s.lapse(c) // its first died undone, and so does this one: who sent it must take it for unknown
		}
		say(grade.Repeat, v.status, 0)
	default:
		if !s.wait(n, v.at) {
			if v.effect != nil {
				s.c.Pod.undo(key, v.effect)
			}
			return s.lapse(c)
		}
		if v.status == http.StatusOK || scenario.Chance(id, "ran") < 0.5 { // an error may have run
			say(grade.Effect, 0, 0)
			if v.effect != nil {
				v.effect.finish(true)
			}
		} else if v.effect != nil {
			s.c.Pod.undo(key, v.effect)
		}
	}
	text := fmt.Sprintf(`{"id":%q,"server":%q,"n":%d,"read":%d,"sum":"%016x"}`+"\n", id, name, number, len(r.body), sum(r.body))
	digest := sum([]byte(text))
	return s.reply(c, r, v.status, text, func() { say(grade.Reply, v.status, digest) })
}

// wait waits until a time of the record; false: the process has died first.
func (s *Server) wait(n *life, at time.Duration) bool {
	t := time.NewTimer(at - s.c.Record.Now())
	defer t.Stop()
	select {
	case <-t.C:
	case <-n.done:
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.life == n && !n.silent
}

// lapse keeps a connection on which nothing more is said, until the other side gives up or the process dies.
func (s *Server) lapse(c *net.TCPConn) bool {
	io.Copy(io.Discard, c)
	return false
}

func (s *Server) probe(n *life, c *net.TCPConn, r *incoming) bool {
	s.mu.Lock()
	s.stats.Probes++
	if n.silent || s.life != n {
		s.mu.Unlock()
		return s.lapse(c)
	}
	status := http.StatusOK
	if n.draining {
		status = http.StatusServiceUnavailable
	}
	at := s.c.Record.Now()
	if s.c.Probe > 0 {
		_, at = s.schedule(n, at, s.c.Probe)
	}
	s.mu.Unlock()
	if !s.wait(n, at) {
		return s.lapse(c)
	}
	return s.say(c, r, status, "")
}

// say writes a whole answer.
func (s *Server) say(c net.Conn, r *incoming, status int, text string) bool {
	_, err := c.Write(s.speech.answer(r, status, text))
	return err == nil
}

// reply writes the answer to a request that has run, as the faults of the answers have it. noted is called before
// the first byte of an answer that can be read whole.
func (s *Server) reply(c *net.TCPConn, r *incoming, status int, text string, noted func()) bool {
	s.mu.Lock()
	kind := ""
	for _, k := range spoils {
		if hit(s.faults, k, r.id) {
			kind = k
			break
		}
	}
	s.mu.Unlock()
	whole := s.speech.answer(r, status, text)
	if len(whole) == 0 { // a oneway call has none
		return true
	}
	write := func(b []byte) bool {
		_, err := c.Write(b)
		return err == nil
	}
	if odd, good := s.speech.odd(r, kind, text); odd != nil && status == http.StatusOK {
		if good {
			noted()
		}
		return write(odd)
	}
	switch kind {
	case "reset-before":
		c.SetLinger(0)
		return false
	case "reset-amid":
		write(whole[:len(whole)-len(text)/2])
		c.SetLinger(0)
		return false
	case "half-close":
		c.CloseWrite()
		return s.lapse(c)
	case "wrong-length":
		write(s.speech.long(r, text))
		return s.lapse(c)
	case "garbage":
		write([]byte("\x00\x17GET / SPDY/9\r\n\r\n\xff\xfe{]"))
		return s.lapse(c)
	case "drip":
		noted()
		gap := s.c.DripGap
		if gap <= 0 {
			gap = 5 * time.Millisecond
		}
		for i := range whole {
			if !write(whole[i : i+1]) {
				return false
			}
			time.Sleep(gap)
		}
		return true
	case "second":
		noted()
		return write(append(whole, whole...))
	}
	noted()
	return write(whole)
}

// spoils are the faults of a whole answer, in the order in which the first that hits is taken.
var spoils = []string{"wrong-seq", "wrong-method", "other-protocol", "reset-before", "reset-amid", "half-close", "wrong-length", "garbage", "drip", "second"}

// hit reports whether a fault is on and hits a request: the same ones each time. The caller holds s.mu.
func hit(faults map[string]Spoil, kind, id string) bool {
	f, ok := faults[kind]
	return ok && (f.Part <= 0 || scenario.Chance(id, kind) < f.Part)
}

func sum(b []byte) uint64 {
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

// Sum is the digest of an answer's body as the record holds it (64-bit FNV-1a).
func Sum(b []byte) uint64 { return sum(b) }
