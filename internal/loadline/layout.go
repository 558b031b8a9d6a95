package loadline

import (
	"fmt"
	"net"
	"strconv"
)

// places of the ports on every machine, behind the first of the range.
const (
	outbound = iota
	inbound
	readiness
	control
	app
	free     // the first that are the mesh's own
	portsAll = free + 8
)

// Layout says where which agent is: names, addresses of loopback, zones and services by its number alone.
type Layout struct {
	Net      int // the second byte of all addresses
	First    int // port of the range
	Agents   int
	Zones    int
	Regions  int
	Services int
}

// IP is the address of agent i; those of core machines are below all of them.
func (l Layout) IP(i int) string { return fmt.Sprintf("127.%d.%d.%d", l.Net, 1+i/250, 1+i%250) }

// CoreIP is the address of core machine i.
func (l Layout) CoreIP(i int) string { return fmt.Sprintf("127.%d.0.%d", l.Net, 10+i) }

// Addr is the address of a place on the machine of agent i.
func (l Layout) Addr(i, place int) string { return l.at(l.IP(i), place) }

// CoreAddr is that of a place on core machine i.
func (l Layout) CoreAddr(i, place int) string { return l.at(l.CoreIP(i), place) }

func (l Layout) at(ip string, place int) string {
	return net.JoinHostPort(ip, strconv.Itoa(l.First+place))
}

// Node is the name of agent i's machine.
func (l Layout) Node(i int) string { return fmt.Sprintf("q-%05d", i) }

// Zone is that of agent or core machine i.
func (l Layout) Zone(i int) string { return fmt.Sprintf("zone-%02d", i%l.Zones) }

// Region is that of agent or core machine i.
func (l Layout) Region(i int) string { return fmt.Sprintf("region-%02d", i%l.Zones%l.Regions) }

// Service is what agent i's backend runs.
func (l Layout) Service(i int) string { return fmt.Sprintf("service-%04d", i%l.Services) }
