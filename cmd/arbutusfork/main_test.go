package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

// The program of TestHangupBeforeMain sends itself SIGHUP at the initialisation of this package.
var _ = os.Getenv("HANGUP_AT_INIT") == "" || syscall.Kill(os.Getpid(), syscall.SIGHUP) == nil

// ownIP is a loopback address that other processes of the tests do not use.
var ownIP = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()>>8&63, os.Getpid()&255)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"arbutusfork": main})
}

// TestHangupBeforeMain guards against a SIGHUP that ends the process before main.
func TestHangupBeforeMain(t *testing.T) {
	cmd := exec.CommandContext(t.Context(), "arbutusfork", "gateway")
	cmd.Env = append(os.Environ(), "HANGUP_AT_INIT=1", "ARBUTUSFORK_CONFIG=")
	out, _ := cmd.CombinedOutput()
	require.Equal(t, 1, cmd.ProcessState.ExitCode(), cmd.ProcessState.String())
	require.Contains(t, string(out), "ARBUTUSFORK_CONFIG does not name a file")
}

// TestHangupBeforeSettings guards against a SIGHUP that ends the gateway, or is lost, while the settings are read at the start.
func TestHangupBeforeSettings(t *testing.T) {
	settings := fmt.Appendf(nil, `{"node-name":"vm1","ip":%q,"internal-ports":[7101],"listen":{"front":"%[1]s:7103","ready":"%[1]s:7104"},"platform":{"address":"%[1]s:7105"}}`, ownIP)
	path := filepath.Join(t.TempDir(), "settings")
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, "arbutusfork", "gateway")
	cmd.Env = append(os.Environ(), "ARBUTUSFORK_CONFIG="+path)
	out, err := cmd.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	defer func() { cancel(); _ = cmd.Wait() }()

	var fifo *os.File
	require.Eventually(t, func() bool {
		fifo, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	}, 20*time.Second, time.Millisecond, "the daemon reads its settings")
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	require.NoError(t, os.WriteFile(path+".new", settings, 0o600))
	require.NoError(t, os.Rename(path+".new", path))
	_, err = fifo.Write(settings)
	require.NoError(t, err)
	require.NoError(t, fifo.Close())

	waitForLine(t, out, "settings reloaded")
}

// TestHangupServe guards against a SIGHUP that ends serve, whose requests would be cut.
func TestHangupServe(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, "arbutusfork", "serve", "--vm=vm1", "--centre=z1", "--callers="+ownIP+":7111", "--operators="+ownIP+":7112",
		"--peers="+ownIP+":7113", "--platform=http://"+ownIP+":7114", "--operator-token=0123456789abcdef0123456789abcdef")
	cmd.Env = append(os.Environ(), "HANGUP_AT_INIT=1")
	out, err := cmd.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, cmd.Start())
	defer func() { cancel(); _ = cmd.Wait() }()
	waitForLine(t, out, "SIGHUP ignored")
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	waitForLine(t, out, "SIGHUP ignored")
}

// waitForLine reads lines until one contains text.
func waitForLine(t *testing.T, out io.Reader, text string) {
	var lines []string
	for s := bufio.NewScanner(out); s.Scan(); {
		lines = append(lines, s.Text())
		if strings.Contains(s.Text(), text) {
			return
		}
	}
	require.Fail(t, "no line with "+text, lines)
}
