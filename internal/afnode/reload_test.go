package afnode

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"arbutusfork.example/arbutusfork/internal/afgateway"
)

// TestReload guards against changed bounds that take effect only after a restart, against a faulty file that replaces valid
// settings, and against a log line for each read of an unchanged file.
func TestReload(t *testing.T) {
	var logOutput bytes.Buffer
	var file Settings
	var fault error
	start := Settings{VM: "a", GracePeriod: 10 * time.Second, RetryBudgetRatio: 0.1, RetryBudgetWindow: time.Second}
	file = start
	n := &Node{Settings: start, Platform: Platform{ReadSettings: func() (Settings, error) { return file, fault }}}
	n.log = slog.New(slog.NewTextHandler(&logOutput, nil))
	n.gateway = &afgateway.Server{RetryBudget: start.retryBudget()}
	reload := func(isSignalled bool) string {
		logOutput.Reset()
		n.reloadSettings(isSignalled)
		return logOutput.String()
	}
	require.Empty(t, reload(false), "unchanged file without a signal")
	require.Contains(t, reload(true), "changed=false")

	file.GracePeriod, file.RetryBudgetExtra = 4*time.Second, 7
	text := reload(false)
	require.Contains(t, text, "changed=true grace=4s")
	require.Contains(t, text, "restart_needed=false")
	require.Equal(t, 4*time.Second, n.currentSettings().GracePeriod)
	require.InDelta(t, 7, n.gateway.RetryBudget.ExtraRetries, 0)
	require.Empty(t, reload(false))

	fault, file.GracePeriod = errors.New("ip: missing"), time.Hour
	require.Contains(t, reload(false), "settings refused")
	require.Empty(t, reload(false), "the same fault again")
	require.Contains(t, reload(true), "settings refused", "after a signal")
	require.Equal(t, 4*time.Second, n.currentSettings().GracePeriod)

	fault, file.PeerAddress = nil, "10.0.0.1:1"
	require.Contains(t, reload(false), "restart_needed=true")
	require.Equal(t, 1, strings.Count(logOutput.String(), "\n"))
}
