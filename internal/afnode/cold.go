package afnode

import (
	"time"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afwarm"
)

// coldRule returns the rule for cold endpoints of a service by the configuration and the settings in force.
func (n *Node) coldRule(service string) afwarm.Rule {
	t := n.tables.Table()
	if t == nil || !t.HasColdEndpoints {
		return afwarm.Rule{}
	}
	s, _ := t.Service(service)
	settings := n.settingsInForce()
	return afwarm.Rule{PerSecond: s.ColdPerSecond, ColdTime: s.ColdTime, Over: settings.ColdOver, Slack: settings.ColdSlack}
}

// endpointPace returns the rate of an endpoint, whatever its start, if its service has a rule for cold endpoints, and whether it is cold.
func (n *Node) endpointPace(e afengine.EndpointStart) (perSecond float64, isPaced, isCold bool) {
	if t := n.tables.Table(); t == nil || !t.HasColdEndpoints {
		return 0, false, false
	}
	entry, _ := n.roster.Entry(e.Endpoint)
	rule := n.coldRule(entry.Service)
	if !rule.IsActive() {
		return 0, false, false
	}
	isCold, _ = n.roster.ColdState(e)
	return rule.Rate(isCold), true, isCold
}

// pacedEndpoints returns the IDs of the listed endpoints of services with a rule for cold endpoints.
func (n *Node) pacedEndpoints() (ids []string) {
	if t := n.tables.Table(); t == nil || !t.HasColdEndpoints {
		return nil
	}
	for _, e := range n.roster.Entries() {
		if n.coldRule(e.Service).IsActive() {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// fleetSize returns the number of VMs that may be alive, or 0 before they were listed.
func (n *Node) fleetSize() int {
	if !n.hasListedVMs.Load() {
		return 0
	}
	return n.countListedVMs()
}

// logColdChanges logs the endpoints that have become cold or warm. Waiting requests may use a warm one at once.
func (n *Node) logColdChanges(time.Time) {
	changes := n.roster.TakeColdChanges()
	for _, c := range changes {
		rate := n.coldRule(c.Service).Rate(c.IsCold)
		if c.IsCold {
			n.log.Info("endpoint turned cold", "endpoint", c.ID, "born", c.StartUnixMs, "centre", c.Centre, "left", c.Left, "named_left", c.ColdRemaining, "per_second", rate)
		} else {
			n.log.Info("endpoint turned warm", "endpoint", c.ID, "born", c.StartUnixMs, "centre", c.Centre, "per_second", rate)
		}
	}
	if len(changes) > 0 {
		n.requestRecheck()
	}
}
