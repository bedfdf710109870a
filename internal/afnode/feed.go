package afnode

import (
	"context"
	"time"

	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// massLapse is the number of entries that must be missing after an outage before they are held for a moment: the
// platform removes entries whose renewals it could not take.
const massLapse = 1

// lapseWindow is how long after an outage a removed entry may belong to an endpoint that lives.
const lapseWindow = 2500 * time.Millisecond

const (
	// aloneWait is how long one call waits for a change while no other VM tells about changes: a configuration must be in
	// force within 2 s although the platform may keep a call waiting in silence. coveredWait is for VMs that hear of
	// changes from the placement holder several times a second.
	aloneWait   = 900 * time.Millisecond
	coveredWait = 20 * time.Second
	// endpointPause and configPause are the times between two calls after a change. Endpoints change with each order, and
	// one that drains must get no requests after 2 s.
	// coverPeriod is how often the change between the two is looked for.
	coverPeriod   = 250 * time.Millisecond
	endpointPause = 400 * time.Millisecond
	configPause   = 50 * time.Millisecond
)

func (n *Node) feed(kind string) *affeed.Feed {
	f := &affeed.Feed{
		Kind: kind, List: n.client.List, PollChanges: n.client.WatchByLongPoll, Timer: n.timer, Log: n.log, Coordinator: &n.outage,
		PollDelay: func() time.Duration { return configPause },
		PollTimeout: func() time.Duration {
			if n.keeper.ReceivesPlacementViews() {
				return coveredWait
			}
			return aloneWait
		},
		// The history of the other kinds is gone too, and their watches may be silent.
		OnExpired: func() { n.restartFeeds(kind) },
	}
	n.feeds[kind] = f
	n.collectFeed(kind, f)
	return f
}

// restartFeeds begins the watches of all other kinds anew.
func (n *Node) restartFeeds(except string) {
	for kind, f := range n.feeds {
		if kind != except {
			f.RestartWatch()
		}
	}
}

// runCover begins the watches anew when no holder tells this VM about changes any more, since their calls wait for long.
func (n *Node) runCover(ctx context.Context) {
	covered := false
	sub := n.timer.CallEvery(coverPeriod, func(time.Time) {
		before := covered
		covered = n.keeper.ReceivesPlacementViews()
		if before && !covered {
			n.restartFeeds("")
		}
		n.expire()
	})
	defer sub.Stop()
	<-ctx.Done()
}

// expire removes endpoints whose entries did not come back after an outage, and passes that on.
func (n *Node) expire() {
	gone := n.roster.RemoveLapsedEntries()
	if len(gone) == 0 {
		return
	}
	n.log.Info("endpoints did not come back after an outage", "endpoints", gone)
	n.keeper.RelayEndpoints(nil, gone)
}

// marks returns how far the copies are.
func (n *Node) marks() map[string]affeed.Position {
	out := make(map[string]affeed.Position, len(n.feeds))
	for kind, f := range n.feeds {
		out[kind] = f.Position()
	}
	return out
}

// compare takes the marks of another VM.
func (n *Node) compare(other map[string]affeed.Position) {
	for kind, m := range other {
		if f := n.feeds[kind]; f != nil {
			f.ComparePosition(m)
		}
	}
}

// configFeed keeps the configuration. A version never gives way to an older one.
func (n *Node) configFeed() *affeed.Feed {
	f := n.feed(n.Platform.ConfigKind)
	f.OnList = func(objects []afobject.Object, _ time.Duration) {
		for _, o := range objects {
			n.setConfig(o)
		}
	}
	f.OnChange = func(e afobject.Event) {
		if e.Type != afobject.Deleted {
			n.setConfig(e.Object)
		}
	}
	return f
}

func (n *Node) setConfig(o afobject.Object) {
	if o.Name != n.Platform.ConfigName {
		return
	}
	t, err := n.Platform.ParseTable(o.Spec)
	if err != nil {
		n.log.Error("configuration refused; the old one stays in force", "object", o.Name, "object_version", o.Version, "error", err)
		return
	}
	old := n.table.Load()
	if old != nil && t.Version <= old.Version {
		if t.Version < old.Version {
			n.log.Warn("older configuration ignored", "version", t.Version, "in_force", old.Version)
		}
		return
	}
	n.table.Store(t)
	n.log.Info("configuration in force", "version", t.Version, "object_version", o.Version, "routes", t.RouteCount(),
		"services", len(t.Services()), "customers", len(t.Customers()))
	n.wake()
}

// endpointFeed keeps the endpoints' entries.
func (n *Node) endpointFeed() *affeed.Feed {
	f := n.feed(n.Platform.EndpointKind)
	f.PollDelay = func() time.Duration { return endpointPause }
	f.IsSuspended = n.keeper.ReceivesEndpoints
	known := make(map[string]bool)
	var back time.Time // back is when the platform was last reached again after an outage.
	f.OnList = func(objects []afobject.Object, outage time.Duration) {
		if outage > 0 {
			back = n.timer.Now()
		}
		seen := make(map[string]bool, len(objects))
		var fresh []afengine.EndpointEntry
		for _, o := range objects {
			e, listed, changed := n.setEndpoint(o)
			if listed {
				seen[o.Name] = true
			}
			if changed {
				fresh = append(fresh, e)
			}
		}
		// What other VMs passed on while this feed was suspended counts as known.
		for _, e := range n.roster.Entries() {
			known[e.ID] = true
		}
		var removed []string
		missing := 0
		for id := range known {
			if !seen[id] {
				missing++
			}
		}
		for id := range known {
			if !seen[id] {
				n.log.Info("endpoint no longer listed", "endpoint", id, "outage", outage, "missing", missing)
				held := outage > 0 && missing >= massLapse
				n.roster.RemoveEntry(id, held)
				if !held {
					removed = append(removed, id)
				}
			}
		}
		known = seen
		n.listedAll.Store(true)
		if len(fresh)+len(removed) > 0 {
			n.keeper.RelayEndpoints(fresh, removed)
		}
	}
	f.OnChange = func(e afobject.Event) {
		id := e.Object.Name
		var (
			entry           afengine.EndpointEntry
			listed, changed bool
		)
		if e.Type != afobject.Deleted {
			entry, listed, changed = n.setEndpoint(e.Object)
		}
		if !listed {
			if known[id] {
				held := !back.IsZero() && n.timer.Now().Sub(back) < lapseWindow
				n.log.Info("endpoint removed", "endpoint", id, "held", held, "source", "platform")
				n.roster.RemoveEntry(id, held)
				delete(known, id)
				n.keeper.RelayEndpoints(nil, []string{id})
			}
			return
		}
		known[id] = true
		if changed {
			n.keeper.RelayEndpoints([]afengine.EndpointEntry{entry}, nil)
		}
	}
	return f
}

// setEndpoint takes an entry and reports whether it names an endpoint, and whether that changed in more than its counters.
func (n *Node) setEndpoint(o afobject.Object) (e afengine.EndpointEntry, listed, changed bool) {
	e, err := n.Platform.ParseEntry(o.Name, o.Spec)
	if err != nil {
		n.log.Warn("entry ignored", "endpoint", o.Name, "error", err)
		return e, false, false
	}
	changed = n.roster.PutEntry(e)
	if changed {
		n.logEndpoint(e, "platform")
	}
	return e, true, changed
}

func (n *Node) logEndpoint(e afengine.EndpointEntry, source string) {
	n.log.Info("endpoint listed", "endpoint", e.ID, "service", e.Service, "address", e.Address, "centre", e.Centre,
		"state", e.State.String(), "born", e.StartUnixMs, "slots", e.Slots, "models", len(e.Models), "source", source)
}

// relist takes endpoints that the placement holder passed on.
func (n *Node) relist(entries []afengine.EndpointEntry, removed []string, whole bool) {
	for _, e := range n.roster.ApplyRelayedEntries(entries, removed, whole) {
		n.logEndpoint(e, "holder")
	}
	for _, id := range removed {
		n.log.Info("endpoint removed", "endpoint", id, "source", "holder")
	}
}
