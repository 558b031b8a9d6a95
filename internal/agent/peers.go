package agent

import (
	"math/rand/v2"
	"time"

	"saltmast"
	"saltmast/internal/config"
	"saltmast/internal/core"
	"saltmast/internal/peers"
	"saltmast/internal/shared"
)

const (
	// turn is the length of a turn of the fleet's time, in which windows of counts are measured.
	turn = time.Second
	// incarnations are held for each member that may be: restarts within the windows that are kept.
	incarnations = 4
	// farewellFor is how long a stop waits for the farewell to others.
	farewellFor = 150 * time.Millisecond
)

// openPeers takes part in the fleet that the operator's file names.
func (a *Agent) openPeers(c *config.Config, wrong shared.Wrong) error {
	s := c.Operator.Peers
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	o := peers.Options{Name: c.Name, Incarnation: rand.Uint64(), Listen: s.Listen, Advertise: s.Advertise, Join: s.Addresses,
		Cluster: s.Cluster, Zone: s.Zone, Key: s.Key, Members: s.Members, BytesASec: s.Bytes, StateBytes: s.StateKB << 10,
		Probe: ms(s.ProbeMs), Exchange: ms(s.ExchangeMs), Rejoin: ms(s.RejoinMs), Log: a.log, Wrong: wrong,
		Terms: shared.Terms{Turn: turn, Window: s.WindowS, Windows: s.Windows, Agents: s.Members * incarnations}}
	if r := s.Retries; r != nil {
		o.Retries = &shared.Budget{Name: "retries", Rate: int64(r.Rate * 1000), Agents: r.Agents, Static: r.Static,
			Lease: ms(r.LeaseMs), Burst: ms(r.BurstMs)}
	}
	if j := s.Judge; j != nil {
		o.Terms.Fade = uint64(j.FadeS)
		o.Judge = &peers.Judge{Witnesses: j.Witnesses, Part: j.Part, Up: a.table.Up, Started: a.table.Started, Say: a.hearsay}
	}
	p, err := peers.New(o)
	if err != nil {
		return err
	}
	p.Name(0, c.Names.Classes)
	a.peers = p
	return nil
}

// fleet is what loops know of other agents; nil: nothing.
func (a *Agent) fleet() core.Fleet {
	if a.peers == nil {
		return nil
	}
	return a.peers
}

// hearsay tells the modules what others saw of a backend.
func (a *Agent) hearsay(backend string, bad bool, age, lasts time.Duration) {
	for _, l := range a.loops {
		l.Post(saltmast.PeerHealthReport{Backend: backend, Unhealthy: bad, Age: age, TTL: lasts})
	}
}

// closePeers waits a little for the farewell.
func (a *Agent) closePeers() {
	if a.peers == nil {
		return
	}
	select {
	case <-a.peers.Done():
	case <-time.After(farewellFor):
	}
}
