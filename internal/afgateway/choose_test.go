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

var chosenAt = time.Unix(1000, 0)

func engineEndpoint(id string, own, others afroster.Load) afroster.Endpoint {
	return afroster.Endpoint{
		EndpointEntry: afengine.EndpointEntry{ID: id, Slots: 4, Centre: "z1", Models: []afengine.LoadedModel{{Model: "m1", Adapters: []string{"a1"}}}},
		OwnLoad:       own, OtherVMsLoad: others,
	}
}

func failing(n int) afhealth.Tracker {
	var h afhealth.Tracker
	for range n {
		h = h.WithResult(false, chosenAt)
	}
	return h
}

// Guards against engines that get so many unread prompts that the first events of all of them are late.
func TestUnreadPromptsAreBounded(t *testing.T) {
	w := want{model: "m1", prompt: 3000, tokens: 3200, centre: "z1", engine: &afroute.EngineSpec{Slots: 64, CacheTokens: 100000}, now: chosenAt}
	full := engineEndpoint("i-1", afroster.Load{Requests: 1, UnreadPromptTokens: 3000}, afroster.Load{Requests: 2, UnreadPromptTokens: 3000})
	_, ok := choose([]afroster.Endpoint{full}, w)
	require.False(t, ok)
	free := engineEndpoint("i-2", afroster.Load{Requests: 3}, afroster.Load{Requests: 9})
	e, ok := choose([]afroster.Endpoint{full, free}, w)
	require.True(t, ok)
	require.Equal(t, "i-2", e.ID)
	w.prompt = 50000
	_, ok = choose([]afroster.Endpoint{free}, w)
	require.True(t, ok, "a prompt above the bound goes to an engine that reads nothing else")
}

// Guards against requests for an adapter or model that the engine does not hold or is about to give up.
func TestOnlyHoldersAreChosen(t *testing.T) {
	e := engineEndpoint("i-1", afroster.Load{}, afroster.Load{})
	w := want{model: "m1", adapter: "a1", centre: "z1", engine: &afroute.EngineSpec{Slots: 64}, now: chosenAt}
	_, ok := choose([]afroster.Endpoint{e}, w)
	require.True(t, ok)
	w.adapter = "a2"
	_, ok = choose([]afroster.Endpoint{e}, w)
	require.False(t, ok)
	w.adapter, e.ClosingModels = "", []string{"m1"}
	_, ok = choose([]afroster.Endpoint{e}, w)
	require.False(t, ok)
}

// Guards against sending to an endpoint that failed its latest requests, and against taking all of them out at once.
func TestFailingEndpoints(t *testing.T) {
	bad, good := engineEndpoint("i-1", afroster.Load{}, afroster.Load{}), engineEndpoint("i-2", afroster.Load{Requests: 5}, afroster.Load{})
	third := engineEndpoint("i-3", afroster.Load{Requests: 6}, afroster.Load{})
	bad.Health = failing(3)
	w := want{centre: "z1", now: chosenAt}
	e, ok := choose([]afroster.Endpoint{bad, good, third}, w)
	require.True(t, ok)
	require.Equal(t, "i-2", e.ID)
	good.Health, third.Health = failing(3), failing(3)
	_, ok = choose([]afroster.Endpoint{bad, good, third}, w)
	require.True(t, ok, "when all fail, the cause is hardly theirs")
}
