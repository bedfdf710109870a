package afnode

import (
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/affeed"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// Guards against an endpoint that stays in use although the platform removed it, because only another VM had told of it before.
func TestRemovalOfRelayedEndpointCounts(t *testing.T) {
	n, _ := newOddNode(t)
	f := n.newEndpointFeed()
	f.OnList(nil, affeed.Gap{})
	n.applyRelayedEndpoints([]afengine.EndpointEntry{{ID: "i-1", Service: "app", Address: "1", StartUnixMs: 5}}, nil, false)
	require.Len(t, n.roster.UsableEndpoints("app"), 1)
	f.OnChange(afobject.Event{Type: afobject.Deleted, Object: afobject.Object{Name: "i-1", Version: 9}})
	require.Empty(t, n.roster.UsableEndpoints("app"))
}

// Guards against an endpoint that becomes ready again after the store went back, because the change by which it drained was read
// together with its removal.
func TestDrainingIsKnownFromOutdatedChange(t *testing.T) {
	n, _ := newOddNode(t)
	entry := afengine.EndpointEntry{ID: "i-1", Service: "app", Address: "1", StartUnixMs: 5}
	n.Platform.DecodeEndpointEntry = func(_ string, spec []byte) (afengine.EndpointEntry, error) {
		e := entry
		if string(spec) == "draining" {
			e.State = afengine.StateDraining
		}
		return e, nil
	}
	f := n.newEndpointFeed()
	f.OnList([]afobject.Object{object("i-1", 1, "ready")}, affeed.Gap{})
	f.OnOutdatedChange(afobject.Event{Type: afobject.Modified, Object: object("i-1", 2, "draining")})
	f.OnChange(afobject.Event{Type: afobject.Deleted, Object: object("i-1", 3, "")})
	f.OnList([]afobject.Object{object("i-1", 1, "ready")}, affeed.Gap{WentBack: true})
	require.Empty(t, n.roster.UsableEndpoints("app"))
}
