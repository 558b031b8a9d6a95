package agent

import (
	"context"
	"slices"

	"saltmast"
	"saltmast/internal/config"
	"saltmast/internal/discovery"
	"saltmast/internal/front/http"
	thriftfront "saltmast/internal/front/thrift"
)

// httpTerms are what the HTTP front takes requests by, under a generation of the settings.
func httpTerms(c *config.Config, rules *saltmast.Settings) http.Terms {
	return http.Terms{Settings: rules, Classes: c.Names.Classes, Tenants: c.Names.Tenants, Record: recordOf(c.Operator, recorded(c))}
}

// thriftTerms are the same for the front of Thrift callers.
func thriftTerms(c *config.Config, rules *saltmast.Settings) thriftfront.Terms {
	record := recorded(c)
	methods := map[string]*thriftfront.Method{}
	for _, m := range c.Operator.Thrift.Methods {
		path := func(text string) []int16 { // checked when the file was read
			ids, _ := config.FieldPath(text)
			return ids
		}
		class := slices.Index(c.Names.Classes, m.Class)
		name := "" // under which it is recorded
		if class < len(record) && record[class] {
			name = m.Class
		}
		methods[m.Name] = &thriftfront.Method{Class: class, Record: name, Account: path(m.Account), ID: path(m.ID), Key: path(m.Key),
			Budget: path(m.Budget), Tenant: path(m.Tenant), Route: path(m.Route), Oneway: m.Oneway}
	}
	return thriftfront.Terms{Settings: rules, Tenants: c.Names.Tenants, Methods: methods}
}

// recorded tells by class whether its requests are recorded; nil: none are.
func recorded(c *config.Config) []bool {
	if c.Operator == nil || c.Operator.Settles == nil {
		return nil
	}
	return c.Operator.Settles.Records(c.Names.Classes, c.Settings.Classes)
}

// nameZones has lists read by a configuration's names of zones and kinds.
func (a *Agent) nameZones(c *config.Config) {
	lister := discovery.Lister(c.Names.Zones, c.Names.Kinds, a.clock.FromUnixMs)
	a.zones.Store(&lister)
	a.kinds.Store(&c.Names.Kinds)
}

// Reload takes over from a configuration that was read again, and checked against the one in force, what may change while
// the agent runs: discovery's address, the settings, the limits. Requests keep the settings under which they came. Names and
// addresses of its own, the seed and the list wait for the next start.
//
// The modules have the new settings before the fronts take requests by them. A request that was taken before and comes
// after is known by its generation.
func (a *Agent) Reload(c *config.Config) {
	a.tuning.Lock()
	defer a.tuning.Unlock()
	before := a.config
	a.generation++
	rules, from := c.Rules(a.generation), c.From(before)
	a.nameZones(c)
	if a.peers != nil {
		a.peers.Name(a.generation, c.Names.Classes)
	}
	for i, l := range a.loops {
		own := *rules
		if i > 0 { // of the servers that speak Thrift
			own.MayProbe = own.MayProbe && c.Operator.Thrift.Ping != ""
		}
		l.Retune(context.Background(), &own, from, c.OpenRequests()/len(a.loops))
	}
	a.front.Retune(httpTerms(c, rules))
	if a.thriftFront != nil {
		a.thriftFront.Retune(thriftTerms(c, rules))
	}
	for _, up := range a.ups {
		up.Retune(rules)
	}
	a.config, a.room = c, c.OpenRequests() // as the modules have it from the settings
	a.share()
	a.loop.Move(c.Discovery)
	if !slices.Equal(before.Names.Zones, c.Names.Zones) || !slices.Equal(before.Names.Kinds, c.Names.Kinds) {
		a.relist()
	}
	a.log.Info("configuration read again", "discovery", c.Discovery, "classes", c.Names.Classes, "generation", a.generation)
}

// relist tells the modules the list once more, under new numbers of its zones and kinds.
func (a *Agent) relist() { a.renumber((*a.zones.Load())(a.table.All(), saltmast.ListFull)) }
