package afkeeper

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afassign"
	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// Guards against losing the record of an unserved model between refused requests, and against keeping it after an engine has
// loaded the model or requests have stopped.
func TestUnservedModels(t *testing.T) {
	now := time.Unix(100, 0)
	s := &Service{engines: map[string]*engineState{}}
	demand := []afassign.Demand{{Model: "a", WaitingRequests: 1}, {Model: "b", WaitingRequests: 1}, {Model: "c", RequestRate: 3}}
	s.recordUnservedModels(demand, now)
	s.recordUnservedModels(nil, now.Add(5*time.Second))
	s.recordUnservedModels(demand[:1], now.Add(15*time.Second))
	require.Equal(t, now, s.unservedModels["a"].firstRequestedAt)
	require.NotContains(t, s.unservedModels, "c", "no request waits for this model")
	s.recordUnservedModels(nil, now.Add(25*time.Second))
	require.NotContains(t, s.unservedModels, "b")
	s.engines["e"] = &engineState{isReportKnown: true, report: afengine.Report{Models: []afengine.LoadedModel{{Model: "a"}}}}
	s.recordUnservedModels(nil, now.Add(26*time.Second))
	require.Empty(t, s.unservedModels)
}
