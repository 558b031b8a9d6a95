// Package maintenance decides, without I/O, what operators have taken out of service: which backends, since when those that
// are back are back, and whether the agent is drained. Its State is a value: each call makes a new one with a higher
// generation, and of two the higher counts, so that processes which share a folder agree. Start reading at State.
package maintenance

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"slices"
)

// Version is that of the encoding. A decoder takes no other.
const Version = 1

const (
	// MaxBackends bounds how many backends may be out, and how many returns are remembered.
	MaxBackends = 10000
	maxID       = 256     // bytes of a backend's id
	maxEncoded  = 8 << 20 // bytes of an encoded state
)

// State is what is out of service. The zero value has nothing out. States are never changed, only replaced.
type State struct {
	Generation uint64           // of the last call that changed something
	Drained    bool             // the agent takes no clients
	Out        map[string]bool  // backends that get nothing new, by id
	Back       map[string]int64 // Unix time in ms at which a backend was put back; dropped once it is surely warm
}

// Disable takes a backend out. Out twice is out once. An error says why it can't be.
func (s State) Disable(id string) (State, error) {
	if s.Out[id] {
		return s, nil
	}
	if id == "" || len(id) > maxID {
		return s, fmt.Errorf("an id of 1 to %d bytes is wanted", maxID)
	}
	if len(s.Out) >= MaxBackends {
		return s, fmt.Errorf("%d backends are out already", len(s.Out))
	}
	n := s.next()
	n.Out[id] = true
	delete(n.Back, id)
	return n, nil
}

// Enable puts a backend back at a Unix time in ms; whatever came back over rampMs before is forgotten. One call undoes any
// number of calls out. A backend that is not out stays as it is.
func (s State) Enable(id string, now, rampMs int64) State {
	if !s.Out[id] {
		return s
	}
	n := s.next()
	delete(n.Out, id)
	maps.DeleteFunc(n.Back, func(_ string, at int64) bool { return now-at > rampMs })
	if len(n.Back) < MaxBackends {
		n.Back[id] = now
	}
	return n
}

// Drain has the agent take no clients, or take them again.
func (s State) Drain(drained bool) State {
	if s.Drained == drained {
		return s
	}
	n := s.next()
	n.Drained = drained
	return n
}

func (s State) next() State {
	n := State{Generation: s.Generation + 1, Drained: s.Drained, Out: maps.Clone(s.Out), Back: maps.Clone(s.Back)}
	if n.Out == nil {
		n.Out = map[string]bool{}
	}
	if n.Back == nil {
		n.Back = map[string]int64{}
	}
	return n
}

// Change is what another state brings for one backend.
type Change struct {
	ID  string
	Out bool
	At  int64 // of a backend that is back: Unix time in ms
}

// Changes lists, in the order of ids, what must be done to get from s to n.
func (s State) Changes(n State) []Change {
	var out []Change
	for id := range n.Out {
		if !s.Out[id] {
			out = append(out, Change{ID: id, Out: true})
		}
	}
	for id := range s.Out {
		if !n.Out[id] {
			out = append(out, Change{ID: id, At: n.Back[id]})
		}
	}
	for id, at := range n.Back {
		if !s.Out[id] && s.Back[id] != at { // out and back again between the two, or back before this process began
			out = append(out, Change{ID: id, At: at})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return bytes.Compare([]byte(a.ID), []byte(b.ID)) })
	return out
}

// encoded is the form on disk: a line with the sum of the line after it, which holds the state.
type encoded struct {
	Version    int              `json:"version"`
	Generation uint64           `json:"generation"`
	Drained    bool             `json:"drained"`
	Out        []string         `json:"out"`
	Back       map[string]int64 `json:"back"`
}

// Encode writes a state.
func (s State) Encode() []byte {
	e := encoded{Version: Version, Generation: s.Generation, Drained: s.Drained, Out: slices.Sorted(maps.Keys(s.Out)), Back: s.Back}
	if e.Out == nil {
		e.Out = []string{}
	}
	if e.Back == nil {
		e.Back = map[string]int64{}
	}
	body, err := json.Marshal(e)
	if err != nil {
		panic(err) // strings and numbers alone
	}
	return fmt.Appendf(nil, "violetlatch-state %08x\n%s\n", crc32.ChecksumIEEE(body), body)
}

// Decode reads a state strictly: what is damaged, cut short, of another version or holds more than was written is an error
// and no part of it is believed.
func Decode(raw []byte) (State, error) {
	if len(raw) > maxEncoded {
		return State{}, fmt.Errorf("over %d bytes", maxEncoded)
	}
	head, body, ok := bytes.Cut(raw, []byte("\n"))
	var sum uint32
	if n, err := fmt.Sscanf(string(head), "violetlatch-state %08x", &sum); !ok || n != 1 || err != nil ||
		string(head) != fmt.Sprintf("violetlatch-state %08x", sum) {
		return State{}, errors.New("no state file")
	}
	body, ok = bytes.CutSuffix(body, []byte("\n"))
	if !ok || crc32.ChecksumIEEE(body) != sum {
		return State{}, errors.New("damaged or cut short")
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	var e encoded
	if err := d.Decode(&e); err != nil {
		return State{}, err
	}
	if _, err := d.Token(); err != io.EOF {
		return State{}, errors.New("more than one value")
	}
	switch {
	case e.Version != Version:
		return State{}, fmt.Errorf("version %d, this program reads %d", e.Version, Version)
	case e.Out == nil || e.Back == nil:
		return State{}, errors.New("a key is missing")
	case len(e.Out) > MaxBackends || len(e.Back) > MaxBackends:
		return State{}, errors.New("too many backends")
	}
	s := State{Generation: e.Generation, Drained: e.Drained, Out: map[string]bool{}, Back: e.Back}
	for _, id := range e.Out {
		if id == "" || len(id) > maxID || s.Out[id] {
			return State{}, fmt.Errorf("id %.40q", id)
		}
		s.Out[id] = true
	}
	for id := range e.Back {
		if id == "" || len(id) > maxID || s.Out[id] {
			return State{}, fmt.Errorf("id %.40q", id)
		}
	}
	return s, nil
}
