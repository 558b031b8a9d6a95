// Package log keeps a journal of settles on disk: segments of records, appended by one writer with one sync for all that
// came meanwhile, read by anyone beside it. What the records mean is package settles's affair. Start reading at Open and Read.
package log

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"saltmast/internal/requestlog"
)

// Options are what a journal is written with. Zero values stand for the defaults.
type Options struct {
	FS      FS
	Segment int64         // bytes of one segment; 4 MiB
	Most    int64         // bytes of all segments; 256 MiB. The oldest go first
	Age     time.Duration // segments that ended longer ago go; 0: none for its age
	Policy  requestlog.Policy
	Queue   int                       // records that may wait for the disk; 4096
	Flush   time.Duration             // an outcome is synced by then if no intent takes it along; 50 ms
	Now     func() time.Time          // wall clock
	Changed func(up bool, why string) // hears when the journal can no longer be written, and when it can again; must not block
	Trouble func(why string)          // hears of a segment that failed; must not block
}

const (
	defaultSegment = 4 << 20
	defaultMost    = 256 << 20
	defaultQueue   = 4096
	defaultFlush   = 50 * time.Millisecond
)

// Errors of Intent. With each of them nothing may go out.
var (
	ErrDown   = errors.New("the journal can't be written")
	ErrFull   = errors.New("the journal is behind: too much waits for the disk")
	ErrClosed = errors.New("the journal is closed")
)

// Ticket stands for an intent that is on disk; nil for one that goes out unrecorded.
type Ticket struct {
	seg *active
	seq uint64
}

// Writer is the one writer of a journal. It is safe for use by many.
type Writer struct {
	o     Options
	lock  io.Closer
	began uint64

	mu      sync.Mutex
	gate    requestlog.Gate
	intents []*waiting
	others  []outcome
	closing bool
	idle    bool          // the writing goroutine waits: it is to be woken
	wake    chan struct{} // holds one when there is work
	ended   chan struct{}

	// The rest is the writing goroutine's alone.
	cur    *active
	sealed []*active // ended, with outcomes still to come
	spare  chan made // the next segment, when it is being made; nil: it is not
	last   uint64    // number of the last segment that was made or begun
	prev   prior
	buf    []byte
	start  *requestlog.Start // for the first segment
}

// prior is what the next segment says of the one before.
type prior struct {
	number   uint64
	stable   uint32
	poisoned bool
	why      string
}

// active is a segment that is written to.
type active struct {
	number   uint64
	salt     uint64
	name     string
	f        File // nil: closed
	size     int64
	off      int64
	place    uint32    // of the next record
	stable   uint32    // records that are synced
	sure     int64     // bytes of them
	unsure   []outcome // that are written and not synced
	reserved int64     // bytes for outcomes to come
	open     int       // intents without an outcome
	dirty    bool
	poisoned bool
}

type made struct {
	seg *active
	err error
}

// waiting is an intent that is not on disk yet.
type waiting struct {
	intent *requestlog.Intent
	done   chan struct{} // closed once it is on disk, or can't be
	ticket *Ticket
	err    error
	left   bool // nobody waits any more: it was never sent. Guarded by Writer.mu
	told   bool // it is on disk, or can't be. Guarded by Writer.mu
}

type outcome struct {
	ticket *Ticket
	rec    requestlog.Outcome
}

// Open takes a folder's journal up: it takes the lock, makes a segment and writes that the run begins. An error means that
// the journal can't be written from the beginning: the folder is held by another, read-only, full.
func Open(o Options) (*Writer, error) {
	if o.Segment == 0 {
		o.Segment = defaultSegment
	}
	if o.Most == 0 {
		o.Most = defaultMost
	}
	if o.Queue == 0 {
		o.Queue = defaultQueue
	}
	if o.Flush == 0 {
		o.Flush = defaultFlush
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Segment < MinSegment || o.Segment > MaxSegment {
		return nil, fmt.Errorf("a segment of %d bytes: from %d to %d wanted", o.Segment, MinSegment, MaxSegment)
	}
	lock, err := o.FS.Lock()
	if err != nil {
		return nil, err
	}
	w := &Writer{o: o, lock: lock, gate: requestlog.Gate{Policy: o.Policy}, wake: make(chan struct{}, 1), ended: make(chan struct{})}
	if err := w.takeUp(); err != nil {
		lock.Close()
		return nil, err
	}
	go w.run()
	return w, nil
}

// takeUp finds the end of what is there and begins a segment behind it. Segments of runs before are never written to again.
func (w *Writer) takeUp() error {
	all, err := w.o.FS.List()
	if err != nil {
		return err
	}
	for _, f := range all { // what a crash left half made
		if len(f.Name) > len(newSuffix) && f.Name[len(f.Name)-len(newSuffix):] == newSuffix {
			if err := w.o.FS.Remove(f.Name); err != nil {
				return err
			}
		}
	}
	names, err := segments(w.o.FS)
	if err != nil {
		return err
	}
	w.start = &requestlog.Start{Unrecorded: w.o.Policy == requestlog.ServeUnrecorded}
	for len(names) > 0 {
		last := names[len(names)-1]
		b, err := w.o.FS.ReadFile(last.Name)
		if err != nil {
			return err
		}
		s := readSegment(last.Name, b)
		if len(s.records) == 0 && (s.err == nil && zero(b[headerLen:]) || blank(b)) { // made ahead and never used
			if err := w.o.FS.Remove(last.Name); err != nil {
				return err
			}
			names = names[:len(names)-1]
			continue
		}
		// What a killed process wrote may not be on disk yet. From here on its loss would be damage.
		f, err := w.o.FS.Open(last.Name)
		if err != nil {
			return err
		}
		err = f.Sync()
		f.Close()
		if err != nil {
			return err
		}
		w.last = s.number
		w.start.Prev, w.start.Found = s.number, s.count()
		break
	}
	m := w.make(w.last + 1)
	if m.err != nil {
		return m.err
	}
	w.last++
	w.began = w.last
	if err := w.begin(m.seg); err != nil {
		m.seg.f.Close()
		return err
	}
	w.retain()
	w.prepare()
	return nil
}

// make makes a segment of full size, so that what is to be written there has its room.
func (w *Writer) make(n uint64) made {
	var salt [8]byte
	rand.Read(salt[:])
	s := &active{number: n, name: segmentName(n), size: w.o.Segment, off: headerLen, salt: binary.LittleEndian.Uint64(salt[:])}
	tmp := s.name + newSuffix
	f, err := w.o.FS.Create(tmp)
	if err != nil {
		return made{err: err}
	}
	fail := func(err error) made {
		f.Close()
		w.o.FS.Remove(tmp)
		return made{err: err}
	}
	block := make([]byte, 256<<10)
	for at := int64(0); at < s.size; at += int64(len(block)) { // zeros, and not a hole: a hole takes room when it is filled
		if _, err := f.WriteAt(block[:min(int64(len(block)), s.size-at)], at); err != nil {
			return fail(err)
		}
	}
	if _, err := f.WriteAt(header{number: n, salt: s.salt, made: w.o.Now()}.bytes(), 0); err != nil {
		return fail(err)
	}
	if err := f.Sync(); err != nil {
		return fail(err)
	}
	if err := w.o.FS.Rename(tmp, s.name); err != nil {
		return fail(err)
	}
	if err := w.o.FS.SyncDir(); err != nil {
		f.Close()
		w.o.FS.Remove(s.name)
		return made{err: err}
	}
	s.f = f
	return made{seg: s}
}

// prepare has the next segment made while this one is written to.
func (w *Writer) prepare() {
	w.last++
	n, c := w.last, make(chan made, 1)
	w.spare = c
	go func() { c <- w.make(n) }()
}

// begin writes a segment's first record and makes it the one that is written to.
func (w *Writer) begin(s *active) error {
	var first any
	if w.start != nil {
		w.start.At = w.o.Now()
		first = w.start
	} else {
		first = &requestlog.Follows{At: w.o.Now(), Prev: w.prev.number, Stable: w.prev.stable, Poisoned: w.prev.poisoned, Why: w.prev.why}
	}
	b := appendRecord(nil, s.salt, 0, 0, first)
	if _, err := s.f.WriteAt(b, s.off); err != nil {
		return err
	}
	if err := s.f.Sync(); err != nil {
		return err
	}
	s.off += int64(len(b))
	s.place, s.stable, s.sure = 1, 1, s.off
	w.start, w.cur = nil, s
	return nil
}

// Admit says what becomes of a request that is to be recorded, before it is taken on: settles.TurnAway with when to come back while
// the journal can't be written, if that is the policy.
func (w *Writer) Admit() (requestlog.Verdict, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gate.Policy == requestlog.ServeUnrecorded {
		return requestlog.Record, 0 // it is seen when an attempt is about to go out
	}
	return w.gate.Admit(w.o.Now())
}

// Intent returns once an intent is on disk, or with an error: then nothing may go out. A nil ticket without an error means
// that the request goes out unrecorded, by the policy. ctx bounds the wait; one that ended it leaves a record that the
// attempt was never sent.
func (w *Writer) Intent(ctx context.Context, i requestlog.Intent) (*Ticket, error) {
	now := w.o.Now()
	p := &waiting{intent: &i, done: make(chan struct{})}
	w.mu.Lock()
	if w.closing {
		w.mu.Unlock()
		return nil, ErrClosed
	}
	switch v, _ := w.gate.Admit(now); v {
	case requestlog.TurnAway:
		w.mu.Unlock()
		return nil, ErrDown
	case requestlog.Unrecorded:
		w.mu.Unlock()
		return nil, nil
	}
	if len(w.intents) >= w.o.Queue {
		w.mu.Unlock()
		return nil, ErrFull
	}
	w.intents = append(w.intents, p)
	idle := w.idle
	w.mu.Unlock()
	if idle {
		w.poke()
	}
	select {
	case <-p.done:
	case <-ctx.Done():
		w.mu.Lock()
		told := p.told
		p.left = !told
		w.mu.Unlock()
		if !told {
			return nil, ctx.Err()
		}
		<-p.done // at the same moment
	}
	if errors.Is(p.err, ErrDown) { // it failed while this one waited
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.gate.Policy == requestlog.ServeUnrecorded {
			w.gate.Missed(w.o.Now(), p.err.Error())
			return nil, nil
		}
	}
	return p.ticket, p.err
}

// Outcome records how an attempt ended. It never blocks.
func (w *Writer) Outcome(t *Ticket, r requestlog.Result, status int) {
	if t == nil {
		return
	}
	o := outcome{t, requestlog.Outcome{Intent: t.seq, Result: r, Status: status, At: w.o.Now()}}
	w.mu.Lock()
	w.others = append(w.others, o)
	idle := w.idle
	w.mu.Unlock()
	if idle {
		w.poke()
	}
}

// FS is the folder. Began is the number of the run's first segment: what stands before is of other runs.
func (w *Writer) FS() FS { return w.o.FS }

// Began is the number of the run's first segment.
func (w *Writer) Began() uint64 { return w.began }

// Close writes what waits and that the run ended, and gives up the lock.
func (w *Writer) Close() error {
	w.mu.Lock()
	first := !w.closing
	w.closing = true
	w.mu.Unlock()
	w.poke()
	<-w.ended
	if first {
		return w.lock.Close()
	}
	return nil
}

func (w *Writer) poke() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run is the writing goroutine.
func (w *Writer) run() {
	defer close(w.ended)
	flush := time.NewTimer(time.Hour)
	defer flush.Stop()
	for {
		w.mu.Lock()
		w.idle = false
		intents, closing := w.intents, w.closing
		w.intents = nil
		var others []outcome
		if w.cur != nil { // else they wait
			others, w.others = w.others, nil
		}
		gap, missed := w.gate.Pending()
		w.mu.Unlock()
		if closing {
			w.finish(intents, others)
			return
		}
		if missed {
			w.gap(gap)
		}
		if len(intents)+len(others) > 0 {
			w.commit(intents, others)
		}
		wait := time.Hour
		w.mu.Lock()
		_, _, down := w.gate.Down()
		retry, due := w.gate.Due(w.o.Now())
		more := len(w.intents) > 0 || w.cur != nil && len(w.others) > 0 || w.closing
		w.idle = !more
		w.mu.Unlock()
		switch {
		case due:
			w.recover()
			continue
		case more: // has come meanwhile
			continue
		case down:
			wait = retry
		case w.dirty():
			wait = w.o.Flush
		}
		flush.Reset(wait)
		select {
		case <-w.wake:
		case <-flush.C:
			w.sync()
		}
	}
}

// dirty reports whether something is written that is not synced.
func (w *Writer) dirty() bool {
	for _, s := range w.sealed {
		if s.dirty {
			return true
		}
	}
	return w.cur != nil && w.cur.dirty
}

// commit writes records, syncs them if there are intents among them, and tells who waits.
func (w *Writer) commit(intents []*waiting, others []outcome) {
	for len(others) > 0 || len(intents) > 0 {
		if w.cur == nil {
			w.fail(intents, "")
			w.hold(others)
			return
		}
		s := w.cur
		w.buf = w.buf[:0]
		full := false
		// Outcomes first, so that one written with a later intent of the same request stands before it.
		var here, rest []outcome
		for _, o := range others {
			switch to := o.ticket.seg; {
			case to == s:
				s.release() // their room was set aside
			case !to.poisoned: // in the segment of its intent
				rest = append(rest, o)
				continue
			case !s.room(len(w.buf), int(outcomeSize)):
				full = true
				rest = append(rest, o)
				continue
			}
			here = append(here, o)
			w.buf = appendRecord(w.buf, s.salt, s.place, s.stable, &o.rec)
			s.place++
		}
		var written []*waiting
		for len(intents) > 0 {
			p := intents[0]
			n := len(w.buf)
			w.buf = appendRecord(w.buf, s.salt, s.place, s.stable, p.intent)
			if !s.room(n, len(w.buf)-n+int(outcomeSize)) {
				w.buf = w.buf[:n]
				full = true
				break
			}
			p.ticket = &Ticket{seg: s, seq: s.number<<32 | uint64(s.place)}
			s.place++
			s.reserved += outcomeSize
			s.open++
			written = append(written, p)
			intents = intents[1:]
		}
		err := w.write(s)
		if err == nil && len(written) > 0 {
			err = w.syncOne(s)
		}
		if err != nil {
			w.poison(s, err)
			w.fail(written, err.Error())
			others = append(here, rest...) // told again in the segment to come
			continue
		}
		if s.dirty {
			s.unsure = append(s.unsure, here...)
		}
		w.tell(written)
		others = w.elsewhere(rest)
		if full {
			w.rotate()
		}
	}
}

// room reports whether a segment has room for so many bytes more, behind those that are about to be written.
func (s *active) room(pending, n int) bool {
	return s.off+int64(pending)+s.reserved+int64(n) <= s.size
}

// syncOne syncs a segment: what is written to it is there to stay.
func (w *Writer) syncOne(s *active) error {
	if err := s.f.Sync(); err != nil {
		return err
	}
	s.stable, s.sure, s.dirty = s.place, s.off, false
	s.unsure = s.unsure[:0]
	return nil
}

// write writes what is in the buffer behind the segment's last record.
func (w *Writer) write(s *active) error {
	if len(w.buf) == 0 {
		return nil
	}
	if _, err := s.f.WriteAt(w.buf, s.off); err != nil {
		return err
	}
	s.off += int64(len(w.buf))
	s.dirty = true
	return nil
}

// release gives back the room of an outcome that is written.
func (s *active) release() {
	if s.open > 0 {
		s.open--
		s.reserved -= outcomeSize
	}
}

// elsewhere writes outcomes to the segments of their intents, which have ended and have kept the room. It gives back those
// that must go elsewhere after all.
func (w *Writer) elsewhere(others []outcome) (rest []outcome) {
	for _, o := range others {
		s := o.ticket.seg
		if s.poisoned {
			rest = append(rest, o)
			continue
		}
		w.buf = appendRecord(w.buf[:0], s.salt, s.place, s.stable, &o.rec)
		s.release()
		if err := w.write(s); err != nil {
			w.poison(s, err)
			rest = append(rest, o)
			continue
		}
		s.place++
		s.unsure = append(s.unsure, o)
	}
	w.settle()
	return rest
}

// hold puts outcomes back, until there is a segment again. They are bounded by the tickets that are out.
func (w *Writer) hold(others []outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.others = append(others, w.others...)
}

// tell wakes those whose intents are on disk. One whose request has ended meanwhile was never sent, and the journal says so.
func (w *Writer) tell(done []*waiting) {
	w.mu.Lock()
	for _, p := range done {
		if p.told = true; p.left {
			w.others = append(w.others, outcome{p.ticket, requestlog.Outcome{Intent: p.ticket.seq, Result: requestlog.NotSent, At: w.o.Now()}})
		}
	}
	w.mu.Unlock()
	for _, p := range done { // not under the lock, which they want first of all
		close(p.done)
	}
}

// fail wakes those whose intents can't be vouched for: they are never sent.
func (w *Writer) fail(intents []*waiting, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if why == "" {
		why, _, _ = w.gate.Down()
	}
	for _, p := range intents {
		p.ticket, p.err, p.told = nil, fmt.Errorf("%w: %s", ErrDown, why), true
		close(p.done)
	}
}

// rotate goes on in the segment that was made ahead.
func (w *Writer) rotate() {
	s := w.cur
	w.prev = prior{number: s.number, stable: s.stable}
	w.sealed = append(w.sealed, s)
	w.cur = nil
	w.next()
	w.settle()
	w.retain()
}

// next begins the segment that was made ahead, or fails.
func (w *Writer) next() {
	var m made
	if w.spare != nil {
		m = <-w.spare
		w.spare = nil
	} else {
		w.last++
		m = w.make(w.last)
	}
	if m.err != nil {
		w.last-- // its number is free again: a missing one is a loss
		w.down(m.err)
		return
	}
	if err := w.begin(m.seg); err != nil { // half a record may stand there: it is a segment like any that failed
		m.seg.f.Close()
		w.prev = prior{number: m.seg.number, poisoned: true, why: err.Error()}
		w.down(err)
		return
	}
	w.prepare()
}

// down has the journal count as one that can't be written.
func (w *Writer) down(err error) {
	w.mu.Lock()
	_, _, was := w.gate.Down()
	w.gate.Fail(w.o.Now(), err.Error())
	w.mu.Unlock()
	if !was && w.o.Changed != nil {
		w.o.Changed(false, err.Error())
	}
}

// recover tries to write again.
func (w *Writer) recover() {
	if w.cur == nil {
		w.next()
		if w.cur == nil {
			return
		}
	}
	w.mu.Lock()
	w.gate.Mend()
	w.mu.Unlock()
	if w.o.Changed != nil {
		w.o.Changed(true, "")
	}
}

// gap records requests that went out unrecorded.
func (w *Writer) gap(g requestlog.Gap) {
	s := w.cur
	if s == nil {
		return
	}
	w.buf = appendRecord(w.buf[:0], s.salt, s.place, s.stable, &g)
	if !s.room(0, len(w.buf)) {
		w.rotate()
		if s = w.cur; s == nil {
			return
		}
		w.buf = appendRecord(w.buf[:0], s.salt, s.place, s.stable, &g)
	}
	s.place++
	err := w.write(s)
	if err == nil {
		err = w.syncOne(s)
	}
	if err != nil {
		w.poison(s, err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gate.Recorded(g)
}

// poison ends the use of a segment: after a failed write or sync nobody knows what of it will be on disk, and asking
// again may be told that all is well. What is synced stays; what is not is in doubt, and never acted on.
func (w *Writer) poison(s *active, err error) {
	s.poisoned = true
	// What was not synced may still be seen, and be gone after a crash: it is cut off, and outcomes are told again.
	s.f.Truncate(s.sure)
	s.f.Close()
	s.f = nil
	w.hold(s.unsure)
	s.unsure = nil
	if w.o.Trouble != nil {
		w.o.Trouble(fmt.Sprintf("segment %d, from record %d on, is in doubt: %v", s.number, s.stable, err))
	}
	if s != w.cur {
		w.sealed = slices.DeleteFunc(w.sealed, func(x *active) bool { return x == s })
		return
	}
	w.cur = nil
	w.prev = prior{number: s.number, stable: s.stable, poisoned: true, why: err.Error()}
	w.next() // the disk may be well, but for this
}

// sync syncs what is written and not yet synced.
func (w *Writer) sync() {
	for _, s := range append([]*active{w.cur}, w.sealed...) {
		if s == nil || !s.dirty || s.poisoned {
			continue
		}
		if err := w.syncOne(s); err != nil {
			w.poison(s, err)
		}
	}
	w.settle()
}

// settle closes segments that have ended and wait for no outcome, and gives back the room that they did not need.
func (w *Writer) settle() {
	w.sealed = slices.DeleteFunc(w.sealed, func(s *active) bool {
		if s.open > 0 || s.dirty {
			return false
		}
		s.f.Truncate(s.off) // zeros alone; where it fails they stay
		s.f.Close()
		s.f = nil
		return true
	})
}

// retain removes the oldest segments, by age and size, but none that is still written to.
func (w *Writer) retain() {
	names, err := segments(w.o.FS)
	if err != nil {
		return // what can't be listed now can be next time
	}
	oldest := w.last
	if w.cur != nil {
		oldest = w.cur.number
	}
	for _, s := range w.sealed {
		oldest = min(oldest, s.number)
	}
	total := int64(0)
	for _, f := range names {
		total += f.Size
	}
	for i, f := range names {
		n, _ := number(f.Name)
		if n >= oldest {
			return
		}
		old := false
		if w.o.Age > 0 && i+1 < len(names) { // it ended when the next was begun
			old = w.madeBefore(names[i+1].Name, w.o.Now().Add(-w.o.Age))
		}
		if total <= w.o.Most && !old {
			return
		}
		if w.o.FS.Remove(f.Name) != nil {
			return
		}
		total -= f.Size
	}
}

// madeBefore reports whether a segment was made before a time.
func (w *Writer) madeBefore(name string, t time.Time) bool {
	b, err := w.o.FS.ReadFile(name)
	if err != nil {
		return false
	}
	h, err := parseHeader(b)
	return err == nil && h.made.Before(t)
}

// finish ends the run in order.
func (w *Writer) finish(intents []*waiting, others []outcome) {
	if w.cur == nil {
		w.recover()
		w.mu.Lock()
		others, w.others = append(others, w.others...), nil
		w.mu.Unlock()
	}
	w.commit(intents, others)
	w.mu.Lock()
	others, w.others = w.others, nil // of those that left
	gap, missed := w.gate.Pending()
	w.mu.Unlock()
	w.commit(nil, others)
	if missed {
		w.gap(gap)
	}
	for tries := 0; w.cur != nil && tries < 3; tries++ { // a sync that fails has it all told again elsewhere
		s := w.cur
		w.buf = appendRecord(w.buf[:0], s.salt, s.place, s.stable, &requestlog.Stop{At: w.o.Now()})
		if s.room(0, len(w.buf)) {
			s.place++
			if err := w.write(s); err != nil {
				w.poison(s, err)
			}
		}
		w.sync()
		w.mu.Lock()
		others, w.others = w.others, nil
		w.mu.Unlock()
		if len(others) == 0 && !s.poisoned {
			break
		}
		w.commit(nil, others)
	}
	for _, s := range append([]*active{w.cur}, w.sealed...) {
		if s == nil || s.poisoned {
			continue
		}
		if !s.dirty {
			s.f.Truncate(s.off)
		}
		s.f.Close()
	}
	if w.spare != nil {
		if m := <-w.spare; m.err == nil {
			m.seg.f.Close()
			w.o.FS.Remove(m.seg.name)
		}
	}
}
