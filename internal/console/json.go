package console

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"saltmast/internal/configuration"
	"saltmast/internal/messages"
)

// The form of --json. Keys are stable: there may come more, and none changes its meaning.
type (
	jsonLook struct {
		At          time.Time     `json:"at"`
		Answered    int           `json:"answered"`
		Silent      int           `json:"silent"`
		Agents      []jsonAgent   `json:"agents"`
		Backends    []jsonBackend `json:"backends"`
		Items       []jsonItem    `json:"items"`
		Duties      []jsonDuty    `json:"duties"`
		Differences []jsonDiffer  `json:"differences"`
	}
	jsonBallot struct {
		N  uint64 `json:"n"`
		By uint32 `json:"by"`
	}
	jsonAgent struct {
		Program  string           `json:"program"`
		Node     string           `json:"node"`
		Zone     string           `json:"zone"`
		Address  string           `json:"address"`
		Answered bool             `json:"answered"`
		State    string           `json:"state"`
		Trouble  string           `json:"trouble,omitempty"`
		Since    *time.Time       `json:"silent_since,omitempty"`
		Version  string           `json:"version,omitempty"`
		Life     string           `json:"life,omitempty"` // in hex: it has more digits than JSON's readers keep
		UpMs     uint64           `json:"up_ms,omitempty"`
		Epoch    uint64           `json:"epoch"`
		Chosen   jsonBallot       `json:"chosen"`
		Voters   []string         `json:"voters,omitempty"`
		Items    int              `json:"items"`
		Berths   int              `json:"berths"`
		Counts   map[string]int64 `json:"counts,omitempty"`
		Tug      *jsonTug         `json:"tug,omitempty"`
		Harbour  *jsonHarbour     `json:"harbourmaster,omitempty"`
		Purser   *jsonPurser      `json:"purser,omitempty"`
	}
	jsonBook struct {
		AtWork  int `json:"at_work"`
		Done    int `json:"done"`
		Unknown int `json:"unknown"`
		Void    int `json:"void"`
		Bytes   int `json:"bytes"`
	}
	jsonTug struct {
		Ready    bool               `json:"ready"`
		Stopping bool               `json:"stopping"`
		From     string             `json:"pulls_from"`
		FromMs   *uint32            `json:"pulled_ms"`
		FreshMs  *uint32            `json:"fresh_ms"`
		Tokens   float64            `json:"tokens"`
		Rations  map[string]float64 `json:"ration_left"`
		Begun    jsonBook           `json:"keys_begun"`
		Ran      jsonBook           `json:"keys_ran"`
		Running  int                `json:"running"`
		Waiting  int                `json:"waiting"`
	}
	jsonHarbour struct {
		FreshMs *uint32   `json:"fresh_ms"`
		HeardMs []*uint32 `json:"heard_ms"`
		Masters []string  `json:"masters"`
		Pullers []string  `json:"pullers"`
		Left    int       `json:"pullers_left"`
		Teaches bool      `json:"teaches"`
	}
	jsonPurser struct {
		State    string     `json:"state"`
		StallMs  uint32     `json:"stall_ms"`
		Place    int        `json:"place"`
		Incs     []uint64   `json:"incarnations"`
		Promised jsonBallot `json:"promised"`
		Accepted jsonBallot `json:"accepted"`
		Keys     int        `json:"keys"`
	}
	jsonBackend struct {
		Node     string `json:"node"`
		Zone     string `json:"zone"`
		Service  string `json:"service"`
		Instance string `json:"instance"`
		State    string `json:"state"`
		Capacity int    `json:"capacity"`
		Running  *int   `json:"running"`
		Waiting  *int   `json:"waiting"`
		Sent     *int   `json:"sent"`
		Away     *int   `json:"away"`
		Version  uint64 `json:"version"`
		Address  string `json:"address"`
	}
	jsonItem struct {
		Item     string              `json:"item"`
		Differs  bool                `json:"differs"`
		Since    *time.Time          `json:"since,omitempty"`
		Versions map[string][]string `json:"versions"`
	}
	jsonDuty struct {
		Duty   string   `json:"duty"`
		Holder string   `json:"holder"`
		Holds  bool     `json:"holds"`
		LeftMs int64    `json:"left_ms"`
		By     []string `json:"granted_by"`
	}
	jsonDiffer struct {
		What  string     `json:"what"`
		Of    string     `json:"of"`
		Since time.Time  `json:"since"`
		Told  []jsonTold `json:"told"`
	}
	jsonTold struct {
		Value string   `json:"value"`
		By    []string `json:"by"`
	}
)

// ago is null for what never was.
func ago(ms uint32) *uint32 {
	if ms >= messages.Never {
		return nil
	}
	return &ms
}

func ballotJSON(b configuration.Ballot) jsonBallot { return jsonBallot{b.N, b.Proposer} }

func bookJSON(b messages.KeyCounts) jsonBook {
	return jsonBook{b.InProgress, b.Done, b.Unknown, b.Void, b.Bytes}
}

// WriteJSON writes a picture as one object.
func (p *Picture) WriteJSON(w io.Writer) error {
	l := p.Look
	out := jsonLook{At: l.At, Answered: l.Answered(), Silent: len(l.Agents) - l.Answered(), Agents: []jsonAgent{}, Backends: []jsonBackend{},
		Items: []jsonItem{}, Duties: []jsonDuty{}, Differences: []jsonDiffer{}}
	for _, a := range l.Agents {
		out.Agents = append(out.Agents, l.agentJSON(a))
	}
	for _, b := range l.Backends() {
		x := jsonBackend{Node: b.Node, Zone: b.Zone, Service: b.Service, Instance: b.Instance, State: b.State.String(), Capacity: b.Capacity,
			Version: b.Version, Address: b.Addr}
		if b.Known {
			x.Running, x.Waiting = &b.Running, &b.Waiting
		}
		if b.Seen {
			x.Sent, x.Away = &b.Sent, &b.Away
		}
		out.Backends = append(out.Backends, x)
	}
	since := map[string]time.Time{}
	for _, d := range p.Differences {
		x := jsonDiffer{What: d.What, Of: d.Name, Since: d.Since}
		for _, t := range d.Told {
			x.Told = append(x.Told, jsonTold(t))
		}
		out.Differences = append(out.Differences, x)
		if d.What == whatItem {
			since[d.Name] = d.Since
		}
	}
	items := l.items()
	for _, n := range items.names {
		x := jsonItem{Item: n, Versions: items.of[n]}
		if at, ok := since[n]; ok {
			x.Differs, x.Since = true, &at
		}
		out.Items = append(out.Items, x)
	}
	for _, d := range l.Duties() {
		out.Duties = append(out.Duties, jsonDuty{d.Duty, d.Holder, d.Holds, d.Left.Milliseconds(), d.By})
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(out)
}

func (l *Look) agentJSON(a *Agent) jsonAgent {
	state, _ := l.state(a)
	out := jsonAgent{Program: a.Program, Node: a.Node, Zone: a.Zone, Address: a.Addr, Answered: a.Told != nil, State: state, Trouble: a.Trouble}
	r := a.Told
	if r == nil {
		out.State, out.Since = "no answer", &a.Since
		return out
	}
	out.Version, out.Life, out.UpMs, out.Epoch, out.Chosen, out.Counts = r.Version, fmt.Sprintf("%016x", r.Incarnation), r.UpMs, r.Epoch, ballotJSON(r.Chosen), r.Counts
	out.Items, out.Berths = len(r.Items)+r.ItemsOmitted, r.BackendsTotal
	for _, v := range r.Voters {
		out.Voters = append(out.Voters, v.Addr)
	}
	if t := r.Proxy; t != nil {
		out.Tug = &jsonTug{Ready: t.Ready, Stopping: t.Stopping, From: t.RegistryAddr, FromMs: ago(t.RegistryMs), FreshMs: ago(t.FreshMs), Tokens: t.RetryTokens,
			Rations: t.RetryBudgets, Begun: bookJSON(t.OwnKeys), Ran: bookJSON(t.ExecutedKeys), Running: t.Running, Waiting: t.Waiting}
	}
	if h := r.Registry; h != nil {
		x := &jsonHarbour{FreshMs: ago(h.FreshMs), Pullers: h.Pullers, Left: h.Omitted, Teaches: h.HoldsTeachLease}
		for _, ms := range h.ServingMs {
			x.HeardMs = append(x.HeardMs, ago(ms))
		}
		for _, m := range h.Registries {
			x.Masters = append(x.Masters, m.Name)
		}
		out.Harbour = x
	}
	if u := r.Store; u != nil {
		out.Purser = &jsonPurser{State: u.State, StallMs: u.StallMs, Place: u.VoterIndex, Incs: u.Incarnations, Promised: ballotJSON(u.Promised),
			Accepted: ballotJSON(u.Accepted), Keys: u.Keys}
	}
	return out
}
