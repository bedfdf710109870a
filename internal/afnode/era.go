package afnode

import (
	"sync"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// handleEraChange handles that the platform's store came back from an older copy, or that the era in its answers is unsound.
func (n *Node) handleEraChange(c afobject.EraChange) {
	switch {
	case c.Problem != "":
		n.log.Warn("answers of the platform ignored", "era", c.Current, "cause", c.Problem)
	case c.Current > c.Previous:
		n.log.Warn("platform went back to an older copy", "era", c.Current, "previous", c.Previous)
		n.roster.RecordStoreWentBack()
		n.restartWatches("")
	default:
		n.log.Info("answers of the platform name a sound era again", "era", c.Current)
	}
}

// doubtfulEntries holds the endpoints whose entries are left out because they may be old copies.
type doubtfulEntries struct {
	mu      sync.Mutex
	entries map[string]afengine.EndpointEntry
}

// holdDoubtful leaves out an entry that may be an old copy, until recheckDoubtful finds it no longer doubtful.
func (n *Node) holdDoubtful(e afengine.EndpointEntry) {
	d := &n.doubtful
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries == nil {
		d.entries = make(map[string]afengine.EndpointEntry)
	}
	if _, ok := d.entries[e.ID]; !ok {
		n.log.Info("endpoint left out, its entry may be an old copy", "endpoint", e.ID, "born", e.StartUnixMs)
	}
	d.entries[e.ID] = e
}

// recheckDoubtful lists the endpoints again if an entry that was left out is no longer doubtful: it is used if it is still
// listed then.
func (n *Node) recheckDoubtful() {
	d := &n.doubtful
	d.mu.Lock()
	isDue := false
	for id, e := range d.entries {
		switch {
		case n.roster.IsOutdated(e):
			delete(d.entries, id)
		case !n.roster.IsDoubtful(e):
			delete(d.entries, id)
			isDue = true
		}
	}
	d.mu.Unlock()
	if isDue {
		n.keeper.ResyncEndpoints()
		n.feeds[n.Platform.EndpointKind].RequestList()
	}
}
