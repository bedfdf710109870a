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

var update = flag.Bool("update", false, "rewrite the expected output of the sessions")

// session is one script's server, store and last exit code.
type session struct {
	store   *store
	address string
	drained chan struct{}
	code    int
}

// TestMain also offers the program as a command, since kingpin prints completions to the process's own output.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"arbutusfork": func() {
		p := afverb.Program{Stdout: os.Stdout, Stderr: os.Stderr, Stdin: os.Stdin}
		os.Exit(p.Run(context.Background(), os.Args[1:]))
	}})
}

// TestSessions runs whole sessions of an operator against the real server over loopback. They guard against a change
// that is lost, answered wrongly or shown wrongly.
func TestSessions(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/session",
		UpdateScripts: *update,
		Setup:         setup,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"af":      runVerb,
			"code":    checkCode,
			"fault":   func(ts *testscript.TestScript, _ bool, args []string) { of(ts).store.fault(args[0]) },
			"rival":   runRival,
			"drained": func(ts *testscript.TestScript, _ bool, _ []string) { <-of(ts).drained },
		},
	})
}

func of(ts *testscript.TestScript) *session { return ts.Value(sessionKey{}).(*session) }

type sessionKey struct{}

func setup(env *testscript.Env) error {
	if err := os.CopyFS(filepath.Join(env.WorkDir, "examples"), os.DirFS(filepath.Join("..", "..", "examples"))); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &session{store: newStore(), address: ln.Addr().String(), drained: make(chan struct{})}
	issued := 0
	server := &afoperator.Server{
		Address: s.address, TokenDigest: arbutusfork.DigestSecret(token),
		Listen:   func(string, string) (net.Listener, error) { return ln, nil },
		Snapshot: s.store.current, GetObject: s.store.get, CreateObject: s.store.create, UpdateObject: s.store.update, DeleteObject: s.store.remove,
		ConfirmVersion:   s.store.confirm,
		CheckReady:       func() (bool, string) { return false, "configuration is stale" },
		ReportStatus:     func() any { return map[string]any{"vm": "entry-1", "ready": false, "shards": []string{"fuqaa-llm-0"}} },
		ExplainDecisions: explain,
		StartDrain:       func() { close(s.drained) },
		Gatherer:         prometheus.NewRegistry(),
		Log:              slog.New(slog.NewTextHandler(io.Discard, nil)),
		NewAPIKeySecret:  func() string { issued++; return "af-secret-" + strconv.Itoa(issued) },
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

func explain(request, _ string) (any, bool) {
	if request != "r-1" {
		return nil, false
	}
	return []any{map[string]any{"message": "routed", "model": "llama-8b-ar", "endpoint": "llm-3"}}, true
}

func runVerb(ts *testscript.TestScript, neg bool, args []string) {
	s := of(ts)
	var stderr bytes.Buffer
	p := afverb.Program{
		Stdout: ts.Stdout(), Stderr: io.MultiWriter(ts.Stderr(), &stderr), Stdin: strings.NewReader(ts.Getenv("STDIN")),
		ReadFile: func(name string) ([]byte, error) { return os.ReadFile(ts.MkAbs(name)) },
	}
	credential := token
	if t := ts.Getenv("TOKEN"); t != "" {
		credential = t
	}
	s.code = p.Run(context.Background(), append([]string{"--server", s.address, "--token", credential}, args...))
	if (s.code != afverb.ExitOK) != neg {
		ts.Fatalf("exit code %d: %s", s.code, stderr.String())
	}
}

func checkCode(ts *testscript.TestScript, _ bool, args []string) {
	if got := fmt.Sprint(of(ts).code); got != args[0] {
		ts.Fatalf("exit code %s, not %s", got, args[0])
	}
}

func runRival(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(of(ts).store.rival(args[0], args[1], args[2]))
}
