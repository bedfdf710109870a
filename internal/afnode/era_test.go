package afnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// Guards against a VM that never uses a living endpoint whose entry was doubtful when the holder relayed it, since the holder
// relays it once.
func TestDoubtfulRelayedEndpointIsUsedLater(t *testing.T) {
	n, _ := newOddNode(t)
	now := time.Unix(1000, 0)
	n.timer.AdvanceTo(now)
	n.newEndpointFeed()
	e := afengine.EndpointEntry{ID: "i-1", Service: "app", Address: "x", StartUnixMs: 5}
	n.roster.PutEntry(e)
	n.roster.RemoveEntry(e.ID, false)
	n.handleEraChange(afobject.EraChange{Previous: 1, Current: 2})
	n.applyRelayedEndpoints([]afengine.EndpointEntry{e}, nil, false)
	require.Empty(t, n.roster.UsableEndpoints("app"))
	n.recheckDoubtful()
	require.NotEmpty(t, n.doubtful.entries, "nothing remembers that the entry was left out")
	n.timer.AdvanceTo(now.Add(time.Minute))
	n.recheckDoubtful()
	require.Empty(t, n.doubtful.entries, "the endpoints are listed again")
}
