package affact

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/pkg/afengine"
	"arbutusfork.example/arbutusfork/pkg/afnotice"
)

// Guards against a pause that another VM ends up to a millisecond early.
func TestRelayedPauseEndsNotEarlier(t *testing.T) {
	now := time.Unix(1000, 0)
	k := afnotice.Key{EndpointStart: afengine.EndpointStart{Endpoint: "i-1", StartUnixMs: 5}, Kind: afnotice.Pause, HeardBy: "a"}
	until := now.Add(3*time.Second - 500*time.Microsecond)
	sent := encodeNotices(map[afnotice.Key]afnotice.Notice{k: {HeardBy: "a", HeardAt: now, Until: until}}, now)
	received, ok := sent.decode(now)[k]
	require.True(t, ok)
	require.False(t, received.Until.Before(until), received.Until)
}
