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

// TestReload guards against changed bounds that wait for a restart, against a faulty file that replaces good settings,
// and against a line for each look at a file that has not changed.
func TestReload(t *testing.T) {
	var logged bytes.Buffer
	var file Settings
	var fault error
	start := Settings{VM: "a", GracePeriod: 10 * time.Second, RetryBudgetRatio: 0.1, RetryBudgetWindow: time.Second}
	file = start
	n := &Node{Settings: start, Platform: Platform{ReadSettings: func() (Settings, error) { return file, fault }}}
	n.log = slog.New(slog.NewTextHandler(&logged, nil))
	n.gateway = &afgateway.Server{RetryBudget: start.repeats()}
	step := func(asked bool) string {
		logged.Reset()
		n.reload(asked)
		return logged.String()
	}
	require.Empty(t, step(false), "a file that has not changed")
	require.Contains(t, step(true), "changed=false")

	file.GracePeriod, file.RetryBudgetExtra = 4*time.Second, 7
	text := step(false)
	require.Contains(t, text, "changed=true grace=4s")
	require.Contains(t, text, "restart_needed=false")
	require.Equal(t, 4*time.Second, n.inForce().GracePeriod)
	require.InDelta(t, 7, n.gateway.RetryBudget.ExtraRetries, 0)
	require.Empty(t, step(false))

	fault, file.GracePeriod = errors.New("ip: missing"), time.Hour
	require.Contains(t, step(false), "settings refused")
	require.Empty(t, step(false), "the same fault once more")
	require.Contains(t, step(true), "settings refused", "after a signal")
	require.Equal(t, 4*time.Second, n.inForce().GracePeriod)

	fault, file.PeerAddress = nil, "10.0.0.1:1"
	require.Contains(t, step(false), "restart_needed=true")
	require.Equal(t, 1, strings.Count(logged.String(), "\n"))
}
