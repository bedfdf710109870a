package afverb_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rogpeppe/go-internal/testscript"

	"arbutusfork.example/arbutusfork"
	"arbutusfork.example/arbutusfork/internal/afoperator"
	"arbutusfork.example/arbutusfork/internal/afverb"
)

const token = "operators-token-of-the-tests"

var update = flag.Bool("update", false, "rewrite the expected output of the session scripts")

// sessionState is the state of one session script.
type sessionState struct {
	store    *fakeStore
	address  string        // address is the server's operator address.
	drained  chan struct{} // drained is closed when the server starts to drain.
	exitCode int           // exitCode is the exit code of the last verb.
}

// TestMain also makes the program available to the scripts as a process, since kingpin prints shell completions to the standard
// output of its process.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"arbutusfork": func() {
		p := afverb.Program{Stdout: os.Stdout, Stderr: os.Stderr, Stdin: os.Stdin}
		os.Exit(p.Run(context.Background(), os.Args[1:]))
	}})
}

// TestSessions runs session scripts of an operator against an afoperator.Server over loopback. It guards against a change that is
// lost, that the server answers wrongly, or whose answer is printed wrongly.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/session",
		UpdateScripts: *update,
		Setup:         startServer,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"af":      runVerb,
			"code":    checkExitCode,
			"fault":   func(ts *testscript.TestScript, _ bool, args []string) { sessionOf(ts).store.setFault(args[0]) },
			"rival":   writeAsOtherOperator,
			"drained": func(ts *testscript.TestScript, _ bool, _ []string) { <-sessionOf(ts).drained },
		},
	})
}

func sessionOf(ts *testscript.TestScript) *sessionState {
	return ts.Value(sessionKey{}).(*sessionState)
}

// sessionKey is the key of the sessionState in the values of a script's environment.
type sessionKey struct{}

// startServer copies the example files and starts a server for one script.
func startServer(env *testscript.Env) error {
	if err := os.CopyFS(filepath.Join(env.WorkDir, "examples"), os.DirFS(filepath.Join("..", "..", "examples"))); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &sessionState{store: newFakeStore(), address: ln.Addr().String(), drained: make(chan struct{})}
	issuedKeys := 0
	server := &afoperator.Server{
		Address: s.address, TokenDigest: arbutusfork.DigestSecret(token),
		Listen:   func(string, string) (net.Listener, error) { return ln, nil },
		Snapshot: s.store.currentSnapshot, GetObject: s.store.getObject, CreateObject: s.store.createObject, UpdateObject: s.store.updateObject, DeleteObject: s.store.deleteObject,
		ConfirmVersion:   s.store.confirmVersion,
		CheckReady:       func() (bool, string) { return false, "configuration is stale" },
		ReportStatus:     func() any { return map[string]any{"vm": "entry-1", "ready": false, "shards": []string{"fuqaa-llm-0"}} },
		ExplainDecisions: explainDecisions,
		StartDrain:       func() { close(s.drained) },
		Gatherer:         prometheus.NewRegistry(),
		Log:              slog.New(slog.NewTextHandler(io.Discard, nil)),
		NewAPIKeySecret:  func() string { issuedKeys++; return "af-secret-" + strconv.Itoa(issuedKeys) },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	env.Defer(func() {
		cancel()
		if err := <-done; err != nil {
			panic(err)
		}
	})
	env.Values[sessionKey{}] = s
	return nil
}

// explainDecisions returns a decision on the request r-1 and none on others.
func explainDecisions(request, _ string) (any, bool) {
	if request != "r-1" {
		return nil, false
	}
	return []any{map[string]any{"message": "routed", "model": "llama-8b-ar", "endpoint": "llm-3"}}, true
}

// runVerb runs a verb in this process and checks that it fails exactly if the command is negated.
func runVerb(ts *testscript.TestScript, neg bool, args []string) {
	s := sessionOf(ts)
	var stderr bytes.Buffer
	p := afverb.Program{
		Stdout: ts.Stdout(), Stderr: io.MultiWriter(ts.Stderr(), &stderr), Stdin: strings.NewReader(ts.Getenv("STDIN")),
		ReadFile: func(name string) ([]byte, error) { return os.ReadFile(ts.MkAbs(name)) },
	}
	credential := token
	if t := ts.Getenv("TOKEN"); t != "" {
		credential = t
	}
	s.exitCode = p.Run(context.Background(), append([]string{"--server", s.address, "--token", credential}, args...))
	if (s.exitCode != afverb.ExitOK) != neg {
		ts.Fatalf("exit code %d: %s", s.exitCode, stderr.String())
	}
}

func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	if got := fmt.Sprint(sessionOf(ts).exitCode); got != args[0] {
		ts.Fatalf("exit code %s, want %s", got, args[0])
	}
}

func writeAsOtherOperator(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(sessionOf(ts).store.writeAsOtherOperator(args[0], args[1], args[2]))
}
