package afsignal

import (
	"os"
	"os/exec"
	"runtime"
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

// TestRepeatedSIGTERM guards against a graceful shutdown that a second SIGTERM cuts off, and against a second interrupt without effect.
func TestRepeatedSIGTERM(t *testing.T) {
	if kind := os.Getenv("REPEATED_SIGNAL"); kind != "" {
		require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
		<-StopContext().Done()
		if kind == "interrupt" {
			require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGINT))
			select {}
		}
		for range 1000 {
			require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM)) // It does not return if the signal ends the process.
			runtime.Gosched()
		}
		return
	}
	run := func(kind string) syscall.WaitStatus {
		cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestRepeatedSIGTERM$", "-test.timeout=30s")
		cmd.Env = append(os.Environ(), "REPEATED_SIGNAL="+kind)
		_ = cmd.Run()
		return cmd.ProcessState.Sys().(syscall.WaitStatus)
	}
	status := run("terminate")
	require.True(t, status.Exited() && status.ExitStatus() == 0, "ended by %v", status.Signal())
	require.Equal(t, syscall.SIGINT, run("interrupt").Signal())
}
