// Package console is the operators' console of the mesh: it asks each program what it knows, and shows that and what two of
// them tell differently. It changes nothing. Look asks; Draw makes tables of a look; View shows them. Start reading at Main.
package console

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"time"

	"saltmast/internal/dataplane"
	"saltmast/internal/errcode"
	"saltmast/internal/messages"
	"saltmast/internal/rpc"
	"saltmast/internal/sock"
)

// target is one program to be asked.
type target struct{ program, addr string }

// Agent is one program and what it told.
type Agent struct {
	Program string
	Node    string // "": not known
	Zone    string
	Addr    string
	Trouble string                // why there is no answer; "": there is one
	Since   time.Time             // no answer since then at the latest; zero where there is one
	Told    *messages.ReportReply // nil: nothing
}

// Name is how tables name it.
func (a *Agent) Name() string {
	if a.Node == "" {
		return a.Program + " " + a.Addr
	}
	return a.Program + " " + a.Node
}

// Look is what all agents told at one time, in the order of programs and names.
type Look struct {
	At     time.Time
	Agents []*Agent
}

// Answered is how many did.
func (l *Look) Answered() (n int) {
	for _, a := range l.Agents {
		if a.Told != nil {
			n++
		}
	}
	return n
}

const (
	askAtOnce = 256
	// fullUpTo is how many tugs are asked for their whole table of berths: with more of them their digests do.
	fullUpTo = 32
)

// Asker finds the mesh's programs from a harbourmaster or several, and asks them. It is for one goroutine.
type Asker struct {
	Net  sock.Net // nil: the system's
	At   []string // harbourmasters' calls, host:port
	Wait time.Duration

	known   map[target]bool
	clients map[string]*rpc.Client
	tugs    *dataplane.ReportClient
	brief   bool
}

// Look asks all that can be found. Each is waited for as long as Wait; what an answer names further is asked at once.
func (k *Asker) Look() *Look {
	if k.tugs == nil {
		k.tugs, k.clients = dataplane.NewReportClient(k.Net), map[string]*rpc.Client{}
	}
	l := &Look{At: time.Now()}
	named := map[target]bool{}
	answers, places := make(chan *Agent), make(chan struct{}, askAtOnce)
	asked, under := map[target]bool{}, 0
	ask := func(t target) {
		if asked[t] || t.addr == "" {
			return
		}
		asked[t] = true
		under++
		call := messages.ReportCall{Brief: k.brief && t.program == messages.ProgramProxy}
		var c *rpc.Client
		if t.program != messages.ProgramProxy {
			if c = k.clients[t.addr]; c == nil {
				c = rpc.NewClient(k.Net, t.addr)
				k.clients[t.addr] = c
			}
		}
		go func() {
			places <- struct{}{}
			a := k.ask(c, t, call)
			<-places
			answers <- a
		}()
	}
	for _, addr := range k.At {
		ask(target{messages.ProgramRegistry, addr})
	}
	for t := range k.known {
		ask(t)
	}
	harbours := 0
	for ; under > 0; under-- {
		a := <-answers
		l.Agents = append(l.Agents, a)
		if a.Told == nil {
			continue
		}
		if a.Told.Registry != nil {
			harbours++
			k.brief = a.Told.BackendsTotal > fullUpTo
		}
		for _, t := range names(a.Told) {
			named[t] = true
			ask(t)
		}
	}
	if harbours > 0 { // what nobody names any more is asked no more
		k.known = named
	}
	l.settle()
	return l
}

// Close ends its connections.
func (k *Asker) Close() {
	for _, c := range k.clients {
		c.Close()
	}
}

func (k *Asker) ask(c *rpc.Client, t target, call messages.ReportCall) *Agent {
	a := &Agent{Program: t.program, Addr: t.addr}
	var r messages.ReportReply
	var err error
	if c == nil {
		r, err = k.tugs.Report(t.addr, call, k.Wait)
	} else {
		err = c.Call(messages.Report, call, &r, k.Wait)
	}
	switch {
	case err != nil:
		a.Trouble = trouble(errcode.Of(err))
	case r.Program != t.program: // another program has its place, or one of another age
		a.Trouble = "answers as another program"
	default:
		a.Told, a.Node, a.Zone = &r, r.Node, r.Zone
	}
	return a
}

func trouble(k errcode.Kind) string {
	switch k {
	case errcode.Unreachable:
		return "can't be reached"
	case errcode.ConnectionLost:
		return "connection broke"
	}
	return k.String()
}

// names are the programs that a report speaks of.
func names(r *messages.ReportReply) (out []target) {
	if r.Registry != nil {
		for _, m := range r.Registry.Registries {
			out = append(out, target{messages.ProgramRegistry, m.Addr}, target{messages.ProgramStore, besideMaster(m.Addr)})
		}
		for _, b := range r.Backends {
			out = append(out, target{messages.ProgramProxy, b.Addr})
		}
	}
	for _, v := range r.Voters {
		out = append(out, target{messages.ProgramStore, v.Addr})
	}
	return out
}

// besideMaster is the purser's address on the machine of a harbourmaster; "" for an address that is none.
func besideMaster(addr string) string {
	_, port, err := net.SplitHostPort(addr)
	n, bad := strconv.Atoi(port)
	if err != nil || bad != nil {
		return ""
	}
	return messages.AddrOnHost(addr, n-messages.RegistryPort, messages.StorePort)
}

// settle names those that do not know their machine or told nothing, drops those that were asked at two addresses, and orders
// the rest.
func (l *Look) settle() {
	type place struct{ node, zone string }
	at := map[target]place{}
	for _, a := range l.Agents {
		if a.Told == nil {
			continue
		}
		if h := a.Told.Registry; h != nil {
			for _, m := range h.Registries {
				at[target{messages.ProgramRegistry, m.Addr}] = place{m.Name, m.Zone}
				at[target{messages.ProgramStore, besideMaster(m.Addr)}] = place{m.Name, m.Zone}
			}
		}
		for _, b := range a.Told.Backends {
			at[target{messages.ProgramProxy, b.Addr}] = place{b.Node, b.Zone}
		}
	}
	own := map[target]int{}
	for _, a := range l.Agents {
		if a.Told != nil && a.Told.Addr != "" {
			a.Addr = a.Told.Addr
		}
		if p, ok := at[target{a.Program, a.Addr}]; ok {
			a.Node, a.Zone = cmp.Or(a.Node, p.node), cmp.Or(a.Zone, p.zone)
		}
		own[target{a.Program, a.Addr}]++
	}
	l.Agents = slices.DeleteFunc(l.Agents, func(a *Agent) bool {
		t := target{a.Program, a.Addr}
		own[t]--
		return own[t] > 0
	})
	slices.SortFunc(l.Agents, func(a, b *Agent) int {
		return cmp.Or(cmp.Compare(a.Program, b.Program), cmp.Compare(a.Node, b.Node), cmp.Compare(a.Addr, b.Addr))
	})
}
