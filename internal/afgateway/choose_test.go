package afgateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afroster"
	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afhealth"
	"arbutusfork.example/arbutusfork/pkg/afroute"
)

// testTime is the current time of all tests in this file.
var testTime = time.Unix(1000, 0)

// newEngineEndpoint returns an endpoint that has loaded model m1 with adapter a1.
func newEngineEndpoint(id string, own, others afroster.Load) afroster.Endpoint {
	return afroster.Endpoint{
		EndpointEntry: afengine.EndpointEntry{ID: id, Slots: 4, Centre: "z1", Models: []afengine.LoadedModel{{Model: "m1", Adapters: []string{"a1"}}}},
		OwnLoad:       own, OtherVMsLoad: others,
	}
}

// newFailedTracker returns the tracker of an endpoint whose latest requests failed.
func newFailedTracker(failures int) afhealth.Tracker {
	var tracker afhealth.Tracker
	for range failures {
		tracker = tracker.WithResult(false, testTime)
	}
	return tracker
}

// candidatesOf returns the endpoints as all usable endpoints of a service.
func candidatesOf(endpoints ...afroster.Endpoint) afroster.Candidates {
	candidates := afroster.Candidates{Endpoints: endpoints, UsableCount: len(endpoints)}
	for _, e := range endpoints {
		if e.Health.IsEjected(testTime) {
			candidates.EjectedCount++
		}
	}
	return candidates
}

// Guards against an engine that gets so many unread prompts that the first events of all their requests are late.
func TestUnreadPromptsAreBounded(t *testing.T) {
	needs := requirements{model: "m1", promptTokens: 3000, totalTokens: 3200, centre: "z1", engine: &afroute.EngineSpec{Slots: 64, CacheTokens: 100000}, now: testTime}
	full := newEngineEndpoint("i-1", afroster.Load{Requests: 1, UnreadPromptTokens: 3000}, afroster.Load{Requests: 2, UnreadPromptTokens: 3000})
	_, ok := chooseEndpoint(candidatesOf(full), needs)
	require.False(t, ok)
	free := newEngineEndpoint("i-2", afroster.Load{Requests: 3}, afroster.Load{Requests: 9})
	e, ok := chooseEndpoint(candidatesOf(full, free), needs)
	require.True(t, ok)
	require.Equal(t, "i-2", e.ID)
	needs.promptTokens = 50000
	_, ok = chooseEndpoint(candidatesOf(free), needs)
	require.True(t, ok, "a prompt above the bound goes to an engine without unread prompts")
}

// Guards against the choice of an engine that has not loaded the model or adapter, or that is about to unload the
// model.
func TestOnlyEnginesWithModelAreChosen(t *testing.T) {
	e := newEngineEndpoint("i-1", afroster.Load{}, afroster.Load{})
	needs := requirements{model: "m1", adapter: "a1", centre: "z1", engine: &afroute.EngineSpec{Slots: 64}, now: testTime}
	_, ok := chooseEndpoint(candidatesOf(e), needs)
	require.True(t, ok)
	needs.adapter = "a2"
	_, ok = chooseEndpoint(candidatesOf(e), needs)
	require.False(t, ok)
	needs.adapter, e.ClosingModels = "", []string{"m1"}
	_, ok = chooseEndpoint(candidatesOf(e), needs)
	require.False(t, ok)
}

// Guards against requests to an endpoint whose latest requests failed, and against the ejection of all endpoints at
// once.
func TestFailingEndpointsAreAvoided(t *testing.T) {
	failing, working := newEngineEndpoint("i-1", afroster.Load{}, afroster.Load{}), newEngineEndpoint("i-2", afroster.Load{Requests: 5}, afroster.Load{})
	alsoWorking := newEngineEndpoint("i-3", afroster.Load{Requests: 6}, afroster.Load{})
	failing.Health = newFailedTracker(3)
	needs := requirements{centre: "z1", now: testTime}
	e, ok := chooseEndpoint(candidatesOf(failing, working, alsoWorking), needs)
	require.True(t, ok)
	require.Equal(t, "i-2", e.ID)
	working.Health, alsoWorking.Health = newFailedTracker(3), newFailedTracker(3)
	_, ok = chooseEndpoint(candidatesOf(failing, working, alsoWorking), needs)
	require.True(t, ok, "no endpoint is chosen although all of them fail")
}

// Guards against requests that are refused although an endpoint that was silent for a moment has room and works again.
func TestEjectedEndpointThatSpeaksIsBetterThanNone(t *testing.T) {
	silent, full, failing := newEngineEndpoint("i-1", afroster.Load{}, afroster.Load{}), newEngineEndpoint("i-2", afroster.Load{Requests: 12}, afroster.Load{}), newEngineEndpoint("i-3", afroster.Load{}, afroster.Load{})
	alsoFull := newEngineEndpoint("i-4", afroster.Load{Requests: 12}, afroster.Load{})
	failing.Centre = "z2"
	silent.Health, failing.Health = newFailedTracker(6), newFailedTracker(3)
	needs := requirements{centre: "z2", now: testTime}
	_, ok := chooseEndpoint(candidatesOf(silent, full, alsoFull), needs)
	require.False(t, ok, "an endpoint that has not spoken since it was ejected is chosen")
	silent.Health = silent.Health.WithSpeech()
	e, ok := chooseEndpoint(candidatesOf(silent, full, alsoFull), needs)
	require.True(t, ok)
	require.Equal(t, "i-1", e.ID)
	e, ok = chooseEndpoint(candidatesOf(failing, silent, full, alsoFull), needs)
	require.True(t, ok)
	require.Equal(t, "i-1", e.ID, "a closer endpoint that has not spoken is chosen")
	full.OwnLoad.Requests = 11
	e, ok = chooseEndpoint(candidatesOf(silent, full, alsoFull), needs)
	require.True(t, ok)
	require.Equal(t, "i-2", e.ID, "an ejected endpoint is chosen although another one has room")
	silent.Health = silent.Health.WithResult(false, testTime)
	_, ok = chooseEndpoint(candidatesOf(silent, alsoFull, alsoFull), needs)
	require.False(t, ok, "an endpoint that fails again is chosen")
}
