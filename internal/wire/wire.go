// Package wire translates between the bench's JSON lines and saltmast's
// events and actions. It decides nothing.
package wire

import (
	"bufio"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"saltmast"
)

// Open tells that an instance starts with no state.
type Open struct {
	Seed     uint64
	Settings saltmast.Settings
}

// Event is one event of a batch, with the instance it belongs to. Exactly one
// of Open, Retire and Event is set.
type Event struct {
	Line   int // line number in the stream, from 1
	Agent  int
	Open   *Open
	Retire bool
	Event  saltmast.Event
}

// Batch holds what happened at one instant.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// Reader reads batches.
type Reader struct {
	in    *bufio.Reader
	line  int
	lists map[int][]saltmast.Backend
}

// NewReader returns a Reader on r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), lists: map[int][]saltmast.Backend{}}
}

type entry struct {
	Backend      string
	Availability string
	Rating       float64
	Block        int
	LaunchedMs   float64
	Sku          int
	Dc           int
}

// message holds the fields of every message; pointers mark those that some
// message must carry.
type message struct {
	Kind       string `json:"msg"`
	ClockMs    *float64
	Agent      *int
	RandomSeed *uint64
	Facts      json.RawMessage
	Sheet      *int
	Items      *[]entry
	How        *string
	Job        *string
	TierClass  *int
	Project    int
	Item       string
	GraceMs    *float64
	WorkHintMs float64
	StateBits  int
	Outcome    *string
	WaitTimeMs *float64
	Backend    *string
	SendNo     *int
	Ended      bool
	Usage      map[string]float64
	Cookie     *int64
	From       *int
	Text       *string `json:"Msg"`
}

const (
	bitHintValid = 1
	bitRepeat    = 2
	bitWrite     = 4
)

var results = map[string]saltmast.Result{
	"pass": saltmast.OK, "fault": saltmast.Errored, "no_room": saltmast.Full,
	"too_slow": saltmast.TimedOut, "no_route": saltmast.ConnectFailed, "cut": saltmast.Reset,
	"undone": saltmast.Cancelled, "stale_send": saltmast.NotSent,
}

var listKinds = map[string]saltmast.ListKind{
	"diff": saltmast.ListDelta, "snapshot": saltmast.ListFull,
	"disk": saltmast.ListCached, "error": saltmast.ListFailed,
}

var states = map[string]saltmast.BackendState{
	"on": saltmast.Up, "fading": saltmast.Draining, "off": saltmast.Gone,
}

// Next reads one batch. It returns io.EOF where the input ends between batches.
func (r *Reader) Next() (*Batch, error) {
	var b *Batch
	for {
		text, err := r.in.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(text) == 0 {
			if b != nil {
				return nil, fmt.Errorf("line %d: the input ends within a batch", r.line)
			}
			return nil, io.EOF
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("line %d: %w", r.line+1, err)
		}
		r.line++
		if blank(text) {
			continue
		}
		var m message
		if err := json.Unmarshal(text, &m); err != nil {
			return nil, fmt.Errorf("line %d: %w", r.line, err)
		}
		switch {
		case m.Kind == "Frame" && b == nil && m.ClockMs != nil:
			b = &Batch{Now: duration(*m.ClockMs)}
		case m.Kind == "Frame" && b == nil:
			return nil, fmt.Errorf("line %d: Frame: missing ClockMs", r.line)
		case m.Kind == "Frame":
			return nil, fmt.Errorf("line %d: Frame within a batch", r.line)
		case b == nil:
			return nil, fmt.Errorf("line %d: %q outside a batch", r.line, m.Kind)
		case m.Kind == "End":
			return b, nil
		default:
			if err := r.add(b, &m); err != nil {
				return nil, fmt.Errorf("line %d: %s: %w", r.line, m.Kind, err)
			}
		}
	}
}

func blank(text []byte) bool {
	for _, c := range text {
		if c != ' ' && c != '\t' && c != '\r' && c != '\n' {
			return false
		}
	}
	return true
}

func (r *Reader) add(b *Batch, m *message) error {
	if m.Kind == "DefineList" {
		return r.defineList(m)
	}
	e := Event{Line: r.line}
	var err error
	switch m.Kind {
	case "OpenInstance":
		if m.RandomSeed == nil || m.Facts == nil {
			return errors.New("missing RandomSeed or Facts")
		}
		e.Open = &Open{Seed: *m.RandomSeed}
		e.Open.Settings, err = parseSettings(m.Facts)
	case "Retire":
		e.Retire = true
	case "View":
		e.Event, err = r.view(m)
	case "Submit":
		if m.Job == nil || m.TierClass == nil || m.GraceMs == nil {
			return errors.New("missing Job, TierClass or GraceMs")
		}
		q := saltmast.Request{ID: *m.Job, Class: *m.TierClass, TimeLeft: duration(*m.GraceMs),
			Repeat: m.StateBits&bitRepeat != 0, Write: m.StateBits&bitWrite != 0,
			Key: m.Item, Tenant: m.Project}
		if m.StateBits&bitHintValid != 0 {
			q.Work = duration(m.WorkHintMs)
		}
		e.Event = q
	case "Ended":
		if m.Job == nil || m.Outcome == nil || m.SendNo == nil || m.Backend == nil || m.WaitTimeMs == nil {
			return errors.New("missing Job, Outcome, SendNo, Backend or WaitTimeMs")
		}
		res, ok := results[*m.Outcome]
		if !ok {
			return fmt.Errorf("unknown Outcome %q", *m.Outcome)
		}
		e.Event = saltmast.Outcome{Request: *m.Job, Attempt: *m.SendNo, Backend: *m.Backend, Result: res,
			Latency: duration(*m.WaitTimeMs), Done: m.Ended, Load: load(m.Usage)}
	case "ProbeDone":
		if m.Backend == nil || m.Outcome == nil || m.WaitTimeMs == nil {
			return errors.New("missing Backend, Outcome or WaitTimeMs")
		}
		res, ok := results[*m.Outcome]
		if !ok {
			return fmt.Errorf("unknown Outcome %q", *m.Outcome)
		}
		e.Event = saltmast.ProbeResult{Backend: *m.Backend, Result: res,
			Latency: duration(*m.WaitTimeMs), Load: load(m.Usage)}
	case "Streaming":
		if m.Job == nil || m.SendNo == nil {
			return errors.New("missing Job or SendNo")
		}
		e.Event = saltmast.StreamStarted{Request: *m.Job, Attempt: *m.SendNo}
	case "Expired":
		if m.Job == nil {
			return errors.New("missing Job")
		}
		e.Event = saltmast.Abandoned{Request: *m.Job}
	case "Reminder":
		if m.Cookie == nil {
			return errors.New("missing Cookie")
		}
		e.Event = saltmast.TimerFired{Token: *m.Cookie}
	case "Peer":
		if m.From == nil || m.Text == nil {
			return errors.New("missing From or Msg")
		}
		data, err := hex.DecodeString(*m.Text)
		if err != nil {
			return fmt.Errorf("Msg: %w", err)
		}
		e.Event = saltmast.PeerMessage{From: *m.From, Data: data}
	default:
		return errors.New("unknown message")
	}
	if err != nil {
		return err
	}
	if m.Agent == nil {
		return errors.New("missing Agent")
	}
	e.Agent = *m.Agent
	b.Events = append(b.Events, e)
	return nil
}

func (r *Reader) defineList(m *message) error {
	if m.Sheet == nil || m.Items == nil {
		return errors.New("missing Sheet or Items")
	}
	list := make([]saltmast.Backend, 0, len(*m.Items))
	for _, it := range *m.Items {
		state, ok := states[it.Availability]
		if !ok {
			return fmt.Errorf("unknown Availability %q", it.Availability)
		}
		if it.Backend == "" {
			return errors.New("missing Backend")
		}
		list = append(list, saltmast.Backend{ID: it.Backend, State: state, Zone: it.Dc, Cell: it.Block,
			Kind: it.Sku, Weight: it.Rating, Started: duration(it.LaunchedMs)})
	}
	r.lists[*m.Sheet] = list
	return nil
}

func (r *Reader) view(m *message) (saltmast.Event, error) {
	if m.How == nil {
		return nil, errors.New("missing How")
	}
	kind, ok := listKinds[*m.How]
	if !ok {
		return nil, fmt.Errorf("unknown How %q", *m.How)
	}
	if kind == saltmast.ListFailed {
		return saltmast.List{Kind: kind}, nil
	}
	if m.Sheet == nil {
		return nil, errors.New("missing Sheet")
	}
	list, ok := r.lists[*m.Sheet]
	if !ok {
		return nil, fmt.Errorf("Sheet %d was never defined", *m.Sheet)
	}
	return saltmast.List{Kind: kind, Backends: list}, nil
}

func load(usage map[string]float64) saltmast.Load {
	value := func(name string) float64 {
		if v, ok := usage[name]; ok {
			return v
		}
		return -1
	}
	l := saltmast.Load{Valid: usage != nil, Service: -1, InFlight: value("outstanding"), Queue: value("backlog"),
		Utilization: value("utilization"), Throughput: value("throughput"), ErrorsPerSec: value("errors_per_s")}
	if v, ok := usage["recent_ms"]; ok {
		l.Service = duration(v)
	}
	return l
}

// LoadReport translates a load report, by the names of the wire or by the bench's own, which real
// backends use.
func LoadReport(usage map[string]float64) saltmast.Load {
	for own, name := range map[string]string{"inflight": "outstanding", "queue": "backlog", "util": "utilization",
		"latency_ms": "recent_ms", "qps": "throughput", "eps": "errors_per_s"} {
		if v, ok := usage[own]; ok {
			usage[name] = v
		}
	}
	return load(usage)
}

func duration(ms float64) time.Duration { return time.Duration(math.Round(ms * 1e6)) }

// Writer writes replies.
type Writer struct {
	out *bufio.Writer
	buf []byte
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriterSize(w, 1<<16)} }

// Actions writes the actions of one instance.
func (w *Writer) Actions(agent int, actions []saltmast.Action) error {
	for _, a := range actions {
		switch a := a.(type) {
		case saltmast.Send:
			w.begin("Try", agent).str("Job", a.Request).str("Backend", a.Backend)
			if a.Timeout > 0 {
				w.ms("PatienceMs", a.Timeout)
			}
		case saltmast.Cancel:
			w.begin("Cancel", agent).str("Job", a.Request).num("SendNo", int64(a.Attempt))
		case saltmast.Refuse:
			w.begin("SayNo", agent).str("Job", a.Request)
			if a.RetryAfter > 0 {
				w.ms("WaitMs", a.RetryAfter)
			}
		case saltmast.Fail:
			w.begin("DropRequest", agent).str("Job", a.Request)
		case saltmast.SetTimer:
			w.begin("SetTimer", agent).ms("SpanMs", a.After).num("Cookie", a.Token)
		case saltmast.Probe:
			w.begin("Test", agent).str("Backend", a.Backend)
		case saltmast.SendToPeers:
			w.begin("WritePeer", agent)
			if a.One {
				w.num("Whom", int64(a.To))
			} else {
				w.buf = append(w.buf, `,"Whom":null`...)
			}
			w.str("Msg", hex.EncodeToString(a.Data))
		case saltmast.Subscribe:
			w.begin("KeepInformed", agent)
			w.buf = append(w.buf, `,"Enable":true`...)
		case saltmast.Unsubscribe:
			w.begin("KeepInformed", agent)
			w.buf = append(w.buf, `,"Enable":false`...)
		case saltmast.FetchList:
			w.begin("ListAll", agent)
		case saltmast.CloseIdle:
			w.begin("CloseIdle", agent).str("Backend", a.Backend)
		case saltmast.Note:
			w.begin("Trace", agent).str("Msg", a.Text)
		default:
			return fmt.Errorf("no wire form for action %T", a)
		}
		w.buf = append(w.buf, "}\n"...)
		if _, err := w.out.Write(w.buf); err != nil {
			return err
		}
	}
	return nil
}

// Broken reports that the decision code of an instance has failed.
func (w *Writer) Broken(agent int, text string) error {
	w.begin("Broken", agent).str("Msg", text)
	w.buf = append(w.buf, "}\n"...)
	_, err := w.out.Write(w.buf)
	return err
}

// End closes a reply and flushes it.
func (w *Writer) End() error {
	if _, err := w.out.WriteString("{\"msg\":\"Eor\"}\n"); err != nil {
		return err
	}
	return w.out.Flush()
}

func (w *Writer) begin(msg string, agent int) *Writer {
	w.buf = append(w.buf[:0], `{"msg":"`...)
	w.buf = append(w.buf, msg...)
	w.buf = append(w.buf, '"')
	return w.num("Agent", int64(agent))
}

func (w *Writer) key(name string) {
	w.buf = append(w.buf, `,"`...)
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, `":`...)
}

func (w *Writer) num(name string, v int64) *Writer {
	w.key(name)
	w.buf = strconv.AppendInt(w.buf, v, 10)
	return w
}

func (w *Writer) ms(name string, d time.Duration) *Writer {
	w.key(name)
	w.buf = strconv.AppendFloat(w.buf, float64(d)/1e6, 'f', -1, 64)
	return w
}

func (w *Writer) str(name, v string) *Writer {
	w.key(name)
	for i := range len(v) {
		if c := v[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			quoted, _ := json.Marshal(v) // a string always marshals
			w.buf = append(w.buf, quoted...)
			return w
		}
	}
	w.buf = append(w.buf, '"')
	w.buf = append(w.buf, v...)
	w.buf = append(w.buf, '"')
	return w
}
