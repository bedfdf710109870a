package afsettings

import (
	"io"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/stretchr/testify/require"
)

func parseArgs(t *testing.T, args ...string) (Settings, error) {
	t.Helper()
	app := kingpin.New("arbutusfork", "").Terminate(nil).Writer(io.Discard)
	flagValues := DefineFlags(app.Command("serve", ""))
	_, err := app.Parse(append([]string{"serve"}, args...))
	require.NoError(t, err)
	return flagValues.ParseSettings()
}

// TestParseSettings guards against a flag or environment variable that is not read, and against values in wrong units.
func TestParseSettings(t *testing.T) {
	t.Setenv("ARBUTUSFORK_OPERATOR_TOKEN", "a token of the tests")
	t.Setenv("ARBUTUSFORK_SEEDS", "127.0.1.2:8082, 127.0.1.3:8082")
	s, err := parseArgs(t, "--vm=entry-1", "--centre=c1", "--peers=127.0.1.1:8082", "--platform=http://127.0.0.1:9000/",
		"--body=64KiB", "--drain=90s")
	require.NoError(t, err)
	require.Equal(t, []string{"127.0.1.2:8082", "127.0.1.3:8082"}, s.SeedAddresses)
	require.Equal(t, "http://127.0.0.1:9000", s.PlatformURL)
	require.Equal(t, int64(64<<10), s.MaxBodyBytes)
	require.Equal(t, 90*time.Second, s.DrainTimeout)
	require.Equal(t, "0.0.0.0:8080", s.CallerAddress)
	require.True(t, s.LogsJSON)
	require.Len(t, s.OperatorTokenDigest, 64)
}

// TestParseSettingsReportsEveryFault guards against an error that reports only the first of several faults.
func TestParseSettingsReportsEveryFault(t *testing.T) {
	_, err := parseArgs(t, "--vm=Entry 1", "--peers=0.0.0.0:8082", "--operators=0.0.0.0:8080", "--body=9GB", "--drain=1s",
		"--waiting=0", "--log-level=loud", "--seeds=here", "--operator-digest=12", "--queue=9999999999999GiB")
	require.True(t, IsKind(err, InvalidSettings))
	require.Len(t, err.(*Error).Faults, 12, err)
}
