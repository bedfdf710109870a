package afroster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// Guards against an endpoint whose entry lapsed during an outage and that stays known for good although it is gone.
func TestLapsedEndpointExpires(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Roster{Now: func() time.Time { return now }}
	r.PutEntry(afengine.EndpointEntry{ID: "i-1", Service: "app"})
	r.PutEntry(afengine.EndpointEntry{ID: "i-2", Service: "app"})
	r.RemoveEntry("i-1", true)
	require.Len(t, r.UsableEndpoints("app"), 2, "it may live and be listed again soon")
	require.Empty(t, r.RemoveLapsedEntries())
	now = now.Add(lapseGrace + time.Millisecond)
	require.Len(t, r.UsableEndpoints("app"), 1)
	require.Equal(t, []string{"i-1"}, r.RemoveLapsedEntries())
	require.Len(t, r.Entries(), 1)
}

// Guards against losing what the holder said of an engine when its entry is passed on without models.
func TestRelistKeepsModels(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Roster{Now: func() time.Time { return now }}
	r.PutEntry(afengine.EndpointEntry{ID: "i-1", Service: "llm", StartUnixMs: 5, Models: []afengine.LoadedModel{{Model: "m1"}}})
	fresh := r.ApplyRelayedEntries([]afengine.EndpointEntry{{ID: "i-1", Service: "llm", StartUnixMs: 5}, {ID: "i-2", Service: "llm"}}, nil, true)
	require.Len(t, fresh, 1)
	require.True(t, afengine.IsLoaded(r.UsableEndpoints("llm")[0].Models, "m1", ""))
	r.ApplyRelayedEntries([]afengine.EndpointEntry{{ID: "i-2", Service: "llm"}}, nil, true)
	require.Len(t, r.Entries(), 1, "a whole list leaves no other endpoint")
}

// Guards against requests that wait for an engine with many unread prompts until a later event, although it has read one.
func TestReadPromptWakesWaitingRequests(t *testing.T) {
	changes := 0
	r := &Roster{Now: func() time.Time { return time.Unix(0, 0) }, OnChange: func() { changes++ }}
	r.PutEntry(afengine.EndpointEntry{ID: "i-1", Service: "llm"})
	c := r.BeginRequest("i-1", "m1", "", 900, 1000)
	before := changes
	c.MarkPromptRead()
	require.Equal(t, before+1, changes)
	require.Equal(t, Load{Requests: 1, TotalTokens: 1000}, r.UsableEndpoints("llm")[0].OwnLoad)
	c.MarkPromptRead()
	require.Equal(t, before+1, changes, "a prompt is read once")
}
