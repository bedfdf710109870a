package afnode

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/internal/afmemory"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// minMissingToHold is the number of endpoints that must be missing after an outage for them to be held: they stay in use
// for a moment. The platform removes entries whose renewals it could not receive, although their endpoints are alive.
const minMissingToHold = 1

// recoveryWindow is how long after an outage a removed entry may still belong to a live endpoint.
const recoveryWindow = 2500 * time.Millisecond

// missedWriteTime is the length of an outage from which a running endpoint may not have written its entry, which it does about every
// 1.2 s. Lost answers to single calls are shorter.
const missedWriteTime = 1200 * time.Millisecond

const (
	// pollTimeoutWithoutHolder is how long the platform may hold one call to wait for a change while this VM receives nothing
	// from a placement holder. A configuration must be in force within 2 s even if the connection of a held call has died.
	pollTimeoutWithoutHolder = 900 * time.Millisecond
	// pollTimeoutWithHolder is the same for a VM that receives the holder's messages several times a second, which show
	// whether the copies of this VM are behind. It is below the platform's history of 20 s, since a watch from a version that
	// has expired needs a new list.
	pollTimeoutWithHolder = 15 * time.Second
	// holderCheckInterval is the time between two checks whether this VM still receives messages from a holder.
	holderCheckInterval = 250 * time.Millisecond
	// endpointPollDelay is the time between two calls after a change of the endpoints. Endpoints change with each order, and
	// a draining endpoint must get no requests after 2 s.
	endpointPollDelay = 400 * time.Millisecond
	// configPollDelay is the time between two calls after a change of another kind.
	configPollDelay = 50 * time.Millisecond
)

// errNoStart means that an entry does not name the start of an endpoint, although an earlier one with its ID did.
var errNoStart = errors.New("the start is missing, which an earlier entry named")

// newFeed creates the feed of a kind with its metrics.
func (n *Node) newFeed(kind string) *affeed.Feed {
	f := &affeed.Feed{
		Kind: kind, List: n.platformClient.List, PollChanges: n.platformClient.WatchByLongPoll, Timer: n.timer, Log: n.log, Coordinator: &n.retryCoordinator,
		Held:      n.memory.HoldKind(afmemory.Feed),
		PollDelay: func() time.Duration { return configPollDelay },
		PollTimeout: func() time.Duration {
			if n.keeper.ReceivesPlacementViews() {
				return pollTimeoutWithHolder
			}
			return pollTimeoutWithoutHolder
		},
		// The history of the other kinds has probably expired too, and their watches may have stalled.
		OnExpired: func() { n.restartWatches(kind) },
	}
	n.feeds[kind] = f
	n.registerFeedMetrics(kind, f)
	return f
}

// restartWatches restarts the watches of all kinds but one. An empty kind excepts none.
func (n *Node) restartWatches(except string) {
	for kind, f := range n.feeds {
		if kind != except {
			f.RestartWatch()
		}
	}
}

// runHolderChecks restarts all watches when this VM no longer receives messages from a placement holder, since their calls
// may be held for long. It also removes expired endpoints.
func (n *Node) runHolderChecks(ctx context.Context) {
	hasHolder := false
	sub := n.timer.CallEvery(holderCheckInterval, func(time.Time) {
		hadHolder := hasHolder
		hasHolder = n.keeper.ReceivesPlacementViews()
		if hadHolder && !hasHolder {
			n.restartWatches("")
		}
		n.removeExpiredEndpoints()
	})
	colds := n.timer.CallEvery(holderCheckInterval, n.logColdChanges)
	defer colds.Stop()
	defer sub.Stop()
	<-ctx.Done()
}

// removeExpiredEndpoints removes the endpoints whose entries were not written again after an outage and relays their
// removal to the other VMs.
func (n *Node) removeExpiredEndpoints() {
	n.recheckDoubtful()
	removed := n.roster.RemoveLapsedEntries()
	if len(removed) == 0 {
		return
	}
	n.log.Info("endpoints missing after an outage removed", "endpoints", removed)
	n.keeper.RelayEndpoints(nil, removed)
}

// platformReachedAt returns when the platform last answered this VM.
func (n *Node) platformReachedAt() time.Time {
	var reachedAt time.Time
	for _, f := range n.feeds {
		if at := f.ReachedAt(); at.After(reachedAt) {
			reachedAt = at
		}
	}
	return reachedAt
}

// feedPositions returns the positions of this VM's copies by kind.
func (n *Node) feedPositions() map[string]affeed.Position {
	out := make(map[string]affeed.Position, len(n.feeds))
	for kind, f := range n.feeds {
		out[kind] = f.Position()
	}
	return out
}

// comparePositions compares this VM's copies with the positions of another VM's copies.
func (n *Node) comparePositions(other map[string]affeed.Position) {
	for kind, position := range other {
		if f := n.feeds[kind]; f != nil {
			f.ComparePosition(position)
		}
	}
}

// newConfigFeed creates the feed of the configuration.
func (n *Node) newConfigFeed() *affeed.Feed {
	f := n.newFeed(n.Platform.ConfigKind)
	f.OnList = func(objects []afobject.Object, _ affeed.Gap) {
		for _, o := range objects {
			n.applyConfig(o)
		}
	}
	f.OnChange = func(e afobject.Event) {
		if e.Type != afobject.Deleted {
			n.applyConfig(e.Object)
		}
	}
	return f
}

// applyConfig puts the configuration of the object in force if it is the one that this VM serves and newer.
func (n *Node) applyConfig(o afobject.Object) {
	if o.Name == n.Platform.ConfigName {
		n.tables.Apply(o)
	}
}

// newEndpointFeed creates the feed of the endpoints' entries. It updates the roster and relays changes to the other VMs.
func (n *Node) newEndpointFeed() *affeed.Feed {
	f := n.newFeed(n.Platform.EndpointKind)
	f.PollDelay = func() time.Duration { return endpointPollDelay }
	f.IsSuspended = n.keeper.ReceivesEndpoints
	listedIDs, odd := make(map[string]bool), n.newOddObjects(n.Platform.EndpointKind)
	var recoveredAt time.Time // recoveredAt is when the platform was last reached again after an outage.
	f.OnList = func(objects []afobject.Object, gap affeed.Gap) {
		if gap.MayLackEntries() {
			recoveredAt = n.timer.Now()
		}
		if gap.Outage >= missedWriteTime {
			n.roster.RecordStoreReturned()
		}
		odd.keep(objects)
		seenIDs, outdatedIDs := make(map[string]bool, len(objects)), make(map[string]bool)
		var changedEntries []afengine.EndpointEntry
		for _, o := range objects {
			e, found, isChanged := n.putEndpoint(o, odd)
			switch found {
			case entryCounts:
				seenIDs[o.Name] = true
			case entryDoubtful:
				outdatedIDs[o.Name] = true
			}
			if isChanged {
				changedEntries = append(changedEntries, e)
			}
		}
		// Endpoints that other VMs relayed while this feed was suspended count as listed before, so that they are removed
		// if the platform does not list them.
		for _, e := range n.roster.Entries() {
			listedIDs[e.ID] = true
		}
		var removed []string
		missingCount := 0
		for id := range listedIDs {
			if !seenIDs[id] {
				missingCount++
			}
		}
		for id := range listedIDs {
			if !seenIDs[id] {
				n.log.Info("endpoint no longer listed", "endpoint", id, "outage", gap.Outage, "store_went_back", gap.WentBack, "missing", missingCount)
				// An entry that another writer replaced is not one that the platform lost.
				isHeld := gap.MayLackEntries() && missingCount >= minMissingToHold && !odd.contains(id) || outdatedIDs[id]
				n.roster.RemoveEntry(id, isHeld)
				if !isHeld {
					removed = append(removed, id)
				}
			}
		}
		listedIDs = seenIDs
		n.hasListedEndpoints.Store(true)
		n.roster.RecordFirstList()
		if len(changedEntries)+len(removed) > 0 {
			n.keeper.RelayEndpoints(changedEntries, removed)
		}
	}
	f.OnOutdatedChange = func(e afobject.Event) {
		if e.Type == afobject.Deleted {
			return
		}
		if entry, err := n.Platform.DecodeEndpointEntry(e.Object.Name, e.Object.Spec); err == nil && entry.State == afengine.StateDraining {
			n.roster.RecordDraining(entry)
		}
	}
	f.OnChange = func(e afobject.Event) {
		id := e.Object.Name
		var (
			entry     afengine.EndpointEntry
			found     entryResult
			isChanged bool
		)
		if e.Type == afobject.Deleted {
			odd.remove(id)
		} else {
			entry, found, isChanged = n.putEndpoint(e.Object, odd)
		}
		if found == entryDoubtful {
			n.roster.RemoveEntry(id, true) // A running endpoint writes the entry of its latest start again.
			return
		}
		if found == entryOdd {
			// Another VM may have relayed the endpoint.
			if _, isKnown := n.roster.Entry(id); isKnown || listedIDs[id] {
				isHeld := e.Type == afobject.Deleted && !recoveredAt.IsZero() && n.timer.Now().Sub(recoveredAt) < recoveryWindow
				n.log.Info("endpoint removed", "endpoint", id, "held", isHeld, "source", "platform")
				n.roster.RemoveEntry(id, isHeld)
				delete(listedIDs, id)
				n.keeper.RelayEndpoints(nil, []string{id})
			}
			return
		}
		listedIDs[id] = true
		if isChanged {
			n.keeper.RelayEndpoints([]afengine.EndpointEntry{entry}, nil)
		}
	}
	return f
}

// entryResult is what an entry in the store is taken for.
type entryResult int

// The results of reading an entry.
const (
	// entryOdd means that the entry describes no endpoint, or that there is none.
	entryOdd entryResult = iota
	// entryDoubtful means that the entry may be an old copy. What is known about the endpoint stays.
	entryDoubtful
	// entryCounts means that the endpoint is as its entry says.
	entryCounts
)

// putEndpoint adds or updates the endpoint of an entry in the roster. It reports what the entry was taken for, and whether the
// endpoint changed in more than its counters.
func (n *Node) putEndpoint(o afobject.Object, odd *oddObjects) (e afengine.EndpointEntry, found entryResult, isChanged bool) {
	e, err := n.Platform.DecodeEndpointEntry(o.Name, o.Spec)
	if err == nil && e.StartUnixMs == 0 && (n.roster.HasNamedStart(o.Name) || odd.has(o)) {
		// An endpoint that names its start always does, so that another writer replaced the entry.
		err = errNoStart
	}
	if err != nil {
		if fault, isNew := odd.add(o, err); isNew {
			n.log.Warn("endpoint entry ignored", "endpoint", o.Name, "error", fault)
		}
		return e, entryOdd, false
	}
	odd.remove(o.Name)
	if !n.roster.Admit(e) {
		n.holdDoubtful(e)
		return e, entryDoubtful, false
	}
	e = n.roster.EffectiveEntry(e)
	isChanged = n.roster.PutEntry(e)
	if isChanged {
		n.logEndpoint(e, "platform")
	}
	return e, entryCounts, isChanged
}

// logEndpoint logs a new or changed endpoint. The source is "platform" or "holder".
func (n *Node) logEndpoint(e afengine.EndpointEntry, source string) {
	n.log.Info("endpoint listed", "endpoint", e.ID, "service", e.Service, "address", e.Address, "centre", e.Centre,
		"state", e.State.String(), "born", e.StartUnixMs, "slots", e.Slots, "models", len(e.Models), "source", source)
}

// applyRelayedEndpoints updates the roster with endpoints that the placement holder relayed: all endpoints if isFullList is
// set, and changes otherwise.
func (n *Node) applyRelayedEndpoints(entries []afengine.EndpointEntry, removed []string, isFullList bool) {
	for _, e := range n.roster.ApplyRelayedEntries(entries, removed, isFullList) {
		n.logEndpoint(e, "holder")
	}
	for _, id := range removed {
		n.log.Info("endpoint removed", "endpoint", id, "source", "holder")
	}
}
