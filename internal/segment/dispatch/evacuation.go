package dispatch

import (
	"net/netip"
	"slices"
	"time"
)

// SetEvacuated sets the evacuated data centres. Hosts there are offered no flows; the
// flows that they hold stay.
func (d *Dispatcher) SetEvacuated(dataCentres []string) {
	d.evacuated = slices.Clone(dataCentres)
	for _, a := range d.agentList {
		a.evacuated = a.statusKnown && slices.Contains(d.evacuated, a.status.DataCentre)
	}
}

// AgentsIn returns the addresses of the agents that are known to be in a data centre.
func (d *Dispatcher) AgentsIn(dataCentre string) (addresses []netip.Addr) {
	for _, a := range d.agentList {
		if a.statusKnown && a.status.DataCentre == dataCentre {
			addresses = append(addresses, a.address)
		}
	}
	return addresses
}

// isEvacuated reports whether all hosts of a service are in evacuated data centres.
func (d *Dispatcher) isEvacuated(now time.Time, tag uint32) bool {
	agents := d.serviceAgents(tag)
	if len(d.evacuated) == 0 || len(agents) == 0 || slices.ContainsFunc(agents, func(a *agent) bool { return !a.evacuated }) {
		return false
	}
	return !d.mayLackHosts(now)
}
