package afsignal

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestReleaseHangups guards against operators' verbs that outlive their terminal, also one that closes before they run.
func TestReleaseHangups(t *testing.T) {
	if os.Getenv("RELEASE_HANGUPS") != "" {
		hangups <- syscall.SIGHUP
		ReleaseHangups()
		select {}
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestReleaseHangups$", "-test.timeout=30s")
	cmd.Env = append(os.Environ(), "RELEASE_HANGUPS=1")
	_ = cmd.Run()
	require.Equal(t, syscall.SIGHUP, cmd.ProcessState.Sys().(syscall.WaitStatus).Signal())
}
