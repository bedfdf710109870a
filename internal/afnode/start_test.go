package afnode

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStopBeforeListen guards against a node that joins the others although it was stopped while it read its settings.
func TestStopBeforeListen(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var log bytes.Buffer
	s := Settings{VM: "a", ReadyAddress: "127.0.0.1:0", MetricsAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", CallerAddress: "127.0.0.1:0"}
	n := &Node{Settings: s, LogOutput: &log, Platform: Platform{
		ConfigKind: "config", EndpointKind: "endpoints", ReadSettings: func() (Settings, error) { return s, nil },
	}}
	require.NoError(t, n.Run(ctx))
	require.Contains(t, log.String(), "node stopped")
	require.NotContains(t, log.String(), "node started")
}
