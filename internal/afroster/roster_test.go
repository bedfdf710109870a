package afroster

import (
	"fmt"
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

// Guards against a hold that each list prolongs, so that an endpoint that is gone stays in use.
func TestHoldOfMissingEntryIsNotProlonged(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Roster{Now: func() time.Time { return now }}
	r.PutEntry(afengine.EndpointEntry{ID: "i-1", Service: "app"})
	for range 4 {
		r.RemoveEntry("i-1", true)
		now = now.Add(lapsedEntryTimeout / 3)
	}
	require.Equal(t, []string{"i-1"}, r.RemoveLapsedEntries())
}

// Guards against requests to a departed endpoint after the platform's store came back from a copy that shows it as ready.
func TestDepartedEndpointStaysOutWhenStoreGoesBack(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Roster{Now: func() time.Time { return now }}
	draining := afengine.EndpointEntry{ID: "i-1", Service: "app", StartUnixMs: 7, State: afengine.StateDraining}
	removed := afengine.EndpointEntry{ID: "i-2", Service: "app", StartUnixMs: 8}
	r.PutEntry(draining)
	r.PutEntry(removed)
	r.RemoveEntry("i-1", false)
	r.RemoveEntry("i-2", false)
	require.False(t, r.IsDoubtful(removed), "an entry that was removed by mistake may return")
	r.RecordStoreWentBack()

	ready := draining
	ready.State = afengine.StateReady
	require.True(t, r.IsDoubtful(removed))
	r.ApplyRelayedEntries([]afengine.EndpointEntry{ready, removed}, nil, false)
	require.Empty(t, r.UsableEndpoints("app"))
	restarted := ready
	restarted.StartUnixMs++
	require.False(t, r.IsDoubtful(restarted))
	r.PutEntry(restarted)
	require.Len(t, r.UsableEndpoints("app"), 1, "another process with the ID is another endpoint")

	now = now.Add(departureDoubtTime)
	require.False(t, r.IsDoubtful(removed))
	r.ApplyRelayedEntries([]afengine.EndpointEntry{removed}, nil, false)
	require.Len(t, r.UsableEndpoints("app"), 2)
}

// Guards against memory that grows with each endpoint that has ever departed.
func TestDeparturesAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Roster{Now: func() time.Time { now = now.Add(time.Millisecond); return now }}
	for i := range maxDepartures + 10 {
		id := fmt.Sprint(i)
		r.PutEntry(afengine.EndpointEntry{ID: id, StartUnixMs: 1})
		r.RemoveEntry(id, false)
	}
	require.Len(t, r.departures, maxDepartures)
	require.NotContains(t, r.departures, "9")
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

// Guards against candidates that differ from the usable endpoints that hold the model, and against ejected endpoints that are
// only counted among the candidates.
func TestCandidatesAreTheUsableEndpointsWithTheModel(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Roster{Now: func() time.Time { return now }}
	for i := range 40 {
		e := afengine.EndpointEntry{ID: fmt.Sprintf("i-%02d", i), Service: "llm", Models: []afengine.LoadedModel{{Model: fmt.Sprint("m", i%4)}}}
		if i%10 == 9 {
			e.State = afengine.StateDraining
		}
		r.PutEntry(e)
		if i < 12 {
			for range 3 {
				r.BeginRequest(e.ID, "", "", 0, 0).End(HealthFailure)
			}
		}
	}
	accepts := func(models []afengine.LoadedModel, _ []string) bool { return models[0].Model == "m1" }
	var want []Endpoint
	ejected := 0
	usable := r.UsableEndpoints("llm")
	for _, e := range usable {
		if accepts(e.Models, e.ClosingModels) {
			want = append(want, e)
		}
		if e.Health.IsEjected(now) {
			ejected++
		}
	}
	got := r.Candidates("llm", accepts)
	require.NotEmpty(t, want)
	require.Positive(t, ejected)
	require.Equal(t, Candidates{Endpoints: want, UsableCount: len(usable), EjectedCount: ejected}, got)
}

// BenchmarkCandidates measures one choice among 160 endpoints of which three hold the model, which each waiting request makes at
// each change of the load.
func BenchmarkCandidates(b *testing.B) {
	now := time.Unix(1000, 0)
	r := &Roster{Now: func() time.Time { return now }}
	for i := range 160 {
		r.PutEntry(afengine.EndpointEntry{ID: fmt.Sprintf("i-%03d", i), Service: "llm", Models: []afengine.LoadedModel{{Model: fmt.Sprint("m", i%53)}}})
	}
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			r.UsableEndpoints("llm")
		}
	})
	b.Run("model", func(b *testing.B) {
		for b.Loop() {
			r.Candidates("llm", func(models []afengine.LoadedModel, _ []string) bool { return models[0].Model == "m1" })
		}
	})
}
