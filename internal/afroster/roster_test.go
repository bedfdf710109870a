package afroster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// Guards against an endpoint that stays in use forever although it ended while its entry was lost in an outage.
func TestLapsedEntryIsRemoved(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Roster{Now: func() time.Time { return now }}
	r.PutEntry(afengine.EndpointEntry{ID: "i-1", Service: "app"})
	r.PutEntry(afengine.EndpointEntry{ID: "i-2", Service: "app"})
	r.RemoveEntry("i-1", true)
	require.Len(t, r.UsableEndpoints("app"), 2, "an endpoint whose entry lapsed stays in use at first")
	require.Empty(t, r.RemoveLapsedEntries())
	now = now.Add(lapsedEntryTimeout + time.Millisecond)
	require.Len(t, r.UsableEndpoints("app"), 1)
	require.Equal(t, []string{"i-1"}, r.RemoveLapsedEntries())
	require.Len(t, r.Entries(), 1)
}

// Guards against the loss of an engine's models when a relayed entry, which contains no models, replaces its entry.
func TestRelayedEntryKeepsModels(t *testing.T) {
	now := time.Unix(0, 0)
	r := &Roster{Now: func() time.Time { return now }}
	r.PutEntry(afengine.EndpointEntry{ID: "i-1", Service: "llm", StartUnixMs: 5, Models: []afengine.LoadedModel{{Model: "m1"}}})
	fresh := r.ApplyRelayedEntries([]afengine.EndpointEntry{{ID: "i-1", Service: "llm", StartUnixMs: 5}, {ID: "i-2", Service: "llm"}}, nil, true)
	require.Len(t, fresh, 1)
	require.True(t, afengine.IsLoaded(r.UsableEndpoints("llm")[0].Models, "m1", ""))
	r.ApplyRelayedEntries([]afengine.EndpointEntry{{ID: "i-2", Service: "llm"}}, nil, true)
	require.Len(t, r.Entries(), 1, "a complete list removes endpoints that it does not contain")
}

// Guards against requests that go on waiting for an engine with many unread prompts after the engine has read one of them.
func TestReadPromptNotifiesChange(t *testing.T) {
	changes := 0
	r := &Roster{Now: func() time.Time { return time.Unix(0, 0) }, OnChange: func() { changes++ }}
	r.PutEntry(afengine.EndpointEntry{ID: "i-1", Service: "llm"})
	c := r.BeginRequest("i-1", "m1", "", 900, 1000)
	before := changes
	c.MarkPromptRead()
	require.Equal(t, before+1, changes)
	require.Equal(t, Load{Requests: 1, TotalTokens: 1000}, r.UsableEndpoints("llm")[0].OwnLoad)
	c.MarkPromptRead()
	require.Equal(t, before+1, changes, "a prompt is marked as read only once")
}
