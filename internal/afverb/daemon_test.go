package afverb_test

import (
	"bytes"
	"context"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afsettings"
	"arbutusfork.example/arbutusfork/internal/afverb"
)

// TestStopBeforeDaemon guards against a daemon that runs, or fails, after a SIGTERM that came before its settings were read.
func TestStopBeforeDaemon(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for _, verb := range []string{"serve", "gateway"} {
		var stderr bytes.Buffer
		isRun := false
		p := afverb.Program{
			Stderr:     &stderr,
			RunServer:  func(context.Context, afsettings.Settings, <-chan os.Signal) error { isRun = true; return nil },
			RunGateway: func(context.Context, <-chan os.Signal) error { isRun = true; return nil },
		}
		require.Equal(t, afverb.ExitOK, p.Run(ctx, []string{verb}), stderr.String())
		require.False(t, isRun)
		require.Equal(t, "arbutusfork: stopped by a signal before the daemon ran\n", stderr.String())
	}
}
