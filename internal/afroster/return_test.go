package afroster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afengine"
)

// Guards against an endpoint with a load below zero after it has left and come back while a request was in progress.
func TestRequestFromBeforeReturnFreesItsOwnPlace(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &Roster{Now: func() time.Time { return now }}
	put := func(start int64) { r.PutEntry(afengine.EndpointEntry{ID: "i-1", Service: "app", StartUnixMs: start}) }
	for name, prepare := range map[string]func() *RunningRequest{
		"begun before": func() *RunningRequest {
			request := r.BeginRequest("i-1", "m1", "", 100, 120)
			r.RemoveEntry("i-1", false)
			return request
		},
		"begun between": func() *RunningRequest {
			r.RemoveEntry("i-1", false)
			return r.BeginRequest("i-1", "m1", "", 100, 120)
		},
	} {
		t.Run(name, func(t *testing.T) {
			put(1)
			request := prepare()
			now = now.Add(time.Minute)
			put(2)
			request.MarkPromptRead()
			request.End(HealthSuccess)
			require.Equal(t, Load{}, r.UsableEndpoints("app")[0].OwnLoad)
			r.RemoveEntry("i-1", false)
		})
	}
}
