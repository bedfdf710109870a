// Package afverb implements the command line: the verbs that run the daemon, and the operators' verbs, which send requests to the
// operator interface of any VM.
package afverb

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/afsettings"
	"arbutusfork.example/arbutusfork/pkg/afcheck"
	"arbutusfork.example/arbutusfork/pkg/afhead"
)

// The exit codes of the program.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2 // ExitUsage also means that a check could not run.
)

// callTimeout exceeds the server's own timeout for a change, in which the server waits for the platform and then for the
// confirmation of the witnesses.
const callTimeout = 20 * time.Second

// Program runs one command line. Set the exported fields before Run.
type Program struct {
	Stdout io.Writer
	Stderr io.Writer
	Stdin  io.Reader
	// RunServer runs the daemon until ctx ends. Nil makes the serve verb fail.
	RunServer func(ctx context.Context, s afsettings.Settings, hangups <-chan os.Signal) error
	// RunGateway runs the daemon with the settings file that the platform writes, until ctx ends, and reloads the file after
	// each of hangups. Nil makes the gateway verb fail.
	RunGateway func(ctx context.Context, hangups <-chan os.Signal) error
	// CheckConfiguration returns what is wrong with a configuration of the gateway, and DescribeConfiguration the form in which two
	// of them are compared. Nil makes the config verbs fail.
	CheckConfiguration    func(spec []byte) []afcheck.Finding
	DescribeConfiguration func(spec []byte) (afcheck.Description, error)
	// Hangups receives SIGHUP from before Run on.
	Hangups <-chan os.Signal
	// ReleaseHangups gives SIGHUP its default action. It is called before a verb that does not read Hangups. Nil does nothing.
	ReleaseHangups func()
	// SendRequest sends an HTTP request to the server. Nil means the Do method of an http.Client.
	SendRequest func(*http.Request) (*http.Response, error)
	// ReadFile returns the content of a file. Nil means os.ReadFile.
	ReadFile func(name string) ([]byte, error)

	serverAddress string
	token         string
	printsJSON    bool
	verbFuncs     map[string]func(ctx context.Context) error
	// hasDash means that one of the arguments is "-".
	hasDash bool
}

// maxFileBytes is the server's limit on the body of a request.
const maxFileBytes = 4 << 20

// exitCode is the panic value that ends Run from within kingpin, whose terminate function must not return.
type exitCode int

// Run parses args, runs the verb and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string) (code int) {
	defer func() {
		if r := recover(); r != nil {
			exitStatus, ok := r.(exitCode)
			if !ok {
				panic(r)
			}
			code = int(exitStatus)
		}
	}()
	p.hasDash = slices.Contains(args, "-")
	app := p.newApplication()
	verb, err := app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(p.Stderr, "arbutusfork: %v; see arbutusfork --help\n", err)
		return ExitUsage
	}
	return p.reportError(p.verbFuncs[verb](ctx))
}

// newApplication defines the flags and verbs.
func (p *Program) newApplication() *kingpin.Application {
	app := kingpin.New("arbutusfork", "Serves rarely used models: the daemon of an entry VM and the operators' client.")
	app.HelpFlag.Short('h')
	app.Terminate(func(status int) { panic(exitCode(status)) })
	app.UsageWriter(p.Stdout)
	app.ErrorWriter(p.Stderr)
	app.Flag("server", "Operators' address of any VM, as URL or address and port.").
		Envar("ARBUTUSFORK_SERVER").Default("127.0.0.1:8081").StringVar(&p.serverAddress)
	app.Flag("token", "Operator token. Prefer the environment variable, since process lists show flags.").
		Envar("ARBUTUSFORK_TOKEN").StringVar(&p.token)
	app.Flag("json", "Print JSON for scripts.").BoolVar(&p.printsJSON)
	p.verbFuncs = make(map[string]func(context.Context) error)
	p.addServeVerb(app)
	p.addGatewayVerb(app)
	p.addTraceVerb(app)
	for _, r := range resources {
		p.addResourceVerbs(app.Command(r.name, r.help), r)
	}
	p.addSheetVerbs(app)
	p.addApplyVerb(app)
	p.addSystemVerbs(app)
	p.addNoticeVerbs(app)
	p.addConfigVerbs(app)
	p.addCentreVerbs(app)
	return app
}

// registerVerb sets the function that runs the verb.
func (p *Program) registerVerb(cmd *kingpin.CmdClause, run func(ctx context.Context) error) {
	p.verbFuncs[cmd.FullCommand()] = func(ctx context.Context) error {
		if p.ReleaseHangups != nil {
			p.ReleaseHangups()
		}
		return run(ctx)
	}
}

// registerDaemonVerb sets the function that runs a daemon. It is not called if ctx has ended before.
func (p *Program) registerDaemonVerb(cmd *kingpin.CmdClause, run func(ctx context.Context) error) {
	p.verbFuncs[cmd.FullCommand()] = func(ctx context.Context) error {
		if ctx.Err() != nil {
			p.printError("stopped by a signal before the daemon ran")
			return nil
		}
		return run(ctx)
	}
}

func (p *Program) addServeVerb(app *kingpin.Application) {
	cmd := app.Command("serve", "Run the daemon of this VM.")
	flagValues := afsettings.DefineFlags(cmd)
	p.registerDaemonVerb(cmd, func(ctx context.Context) error {
		s, err := flagValues.ParseSettings()
		if err != nil {
			return &Error{Op: "serve", Kind: UsageError, Err: err}
		}
		if p.RunServer == nil {
			return errors.New("serve: this program is built without the daemon")
		}
		return p.RunServer(ctx, s, p.Hangups)
	})
}

func (p *Program) addGatewayVerb(app *kingpin.Application) {
	cmd := app.Command("gateway", "Run the daemon of this VM on a platform that writes its settings file.")
	p.registerDaemonVerb(cmd, func(ctx context.Context) error {
		if p.RunGateway == nil {
			return errors.New("gateway: this program is built without the daemon")
		}
		return p.RunGateway(ctx, p.Hangups)
	})
}

// reportError prints the error, if any, and returns the exit code.
func (p *Program) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	e, ok := errors.Into[*Error](err)
	switch {
	case !ok:
		p.printError("%v", err)
	case e.Kind == UsageError:
		p.printError("%v", e.Err)
		return ExitUsage
	case e.Kind == CheckNotRun:
		p.printError("%v", e)
		return ExitUsage
	case e.Kind == InvalidSheet, e.Kind == ConfigFindings:
		// The verb has printed the faults.
	case e.refusal != nil:
		p.printRefusal(e)
	default:
		p.printError("%v", e)
	}
	return ExitFailure
}

// printError prints a line with the program's name to Stderr.
func (p *Program) printError(format string, args ...any) {
	_, _ = fmt.Fprintf(p.Stderr, "arbutusfork: "+format+"\n", args...)
}

// printLine prints a line to Stdout.
func (p *Program) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(p.Stdout, format+"\n", args...)
}

// readFile reads a file, or standard input for the name "-".
func (p *Program) readFile(name string) ([]byte, error) {
	read := os.ReadFile
	if p.ReadFile != nil {
		read = p.ReadFile
	}
	if name == "-" {
		read = func(string) ([]byte, error) { return io.ReadAll(io.LimitReader(p.Stdin, maxFileBytes+1)) }
	}
	b, err := read(name)
	if err == nil && len(b) > maxFileBytes {
		return nil, errors.Errorf("%s is above %d bytes", name, maxFileBytes)
	}
	return b, err
}

// fileName returns the name of a file that an argument holds. kingpin passes the argument "-" on as an empty text.
func (p *Program) fileName(arg string) string {
	if arg == "" && p.hasDash {
		return "-"
	}
	return arg
}

func (p *Program) newClient() client {
	baseURL := strings.TrimRight(p.serverAddress, "/")
	if !strings.Contains(baseURL, "://") {
		baseURL = "http://" + baseURL
	}
	sendRequest := p.SendRequest
	if sendRequest == nil {
		transport := http.DefaultTransport.(*http.Transport).Clone()
		transport.DialContext = afhead.DialConns(transport.DialContext)
		sendRequest = (&http.Client{Transport: &afhead.Transport{Base: transport}, Timeout: callTimeout}).Do
	}
	return client{baseURL: baseURL, token: p.token, sendRequest: sendRequest}
}
