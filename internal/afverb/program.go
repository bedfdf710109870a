// Package afverb is the command line: the daemon's start and the operators' verbs, which are clients of any VM's
// operator interface.
package afverb

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/afsettings"
)

// The exit codes.
const (
	ExitOK      = 0
	ExitFailure = 1
	ExitUsage   = 2
)

// A change waits for the platform and once for the witnesses, so the bound is above the server's own.
const callTimeout = 20 * time.Second

// Program runs one command line. Set the exported fields before Run.
type Program struct {
	Stdout io.Writer
	Stderr io.Writer
	Stdin  io.Reader
	// RunServer runs the daemon until ctx ends.
	RunServer func(ctx context.Context, s afsettings.Settings) error
	// RunGateway runs the forwarding daemon with the platform's settings until ctx ends.
	RunGateway func(ctx context.Context) error
	// SendRequest sends a request. Nil means an http.Client.
	SendRequest func(*http.Request) (*http.Response, error)
	// ReadFile returns the content of a file. Nil means os.ReadFile.
	ReadFile func(name string) ([]byte, error)

	server string
	token  string
	json   bool
	verbs  map[string]func(ctx context.Context) error
}

// The server refuses larger bodies.
const maxFileBytes = 4 << 20

// exit carries an exit code through kingpin, which expects that its terminate function does not return.
type exit int

// Run parses args, runs the verb and returns the exit code.
func (p *Program) Run(ctx context.Context, args []string) (code int) {
	defer func() {
		if r := recover(); r != nil {
			status, ok := r.(exit)
			if !ok {
				panic(r)
			}
			code = int(status)
		}
	}()
	app := p.application()
	verb, err := app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(p.Stderr, "arbutusfork: %v; see arbutusfork --help\n", err)
		return ExitUsage
	}
	return p.report(p.verbs[verb](ctx))
}

func (p *Program) application() *kingpin.Application {
	app := kingpin.New("arbutusfork", "Serves rarely used models: the daemon of an entry VM and the operators' client.")
	app.HelpFlag.Short('h')
	app.Terminate(func(status int) { panic(exit(status)) })
	app.UsageWriter(p.Stdout)
	app.ErrorWriter(p.Stderr)
	app.Flag("server", "Operators' address of any VM, as URL or address and port.").
		Envar("ARBUTUSFORK_SERVER").Default("127.0.0.1:8081").StringVar(&p.server)
	app.Flag("token", "Operator token. Prefer the environment variable, since process lists show flags.").
		Envar("ARBUTUSFORK_TOKEN").StringVar(&p.token)
	app.Flag("json", "Print JSON for scripts.").BoolVar(&p.json)
	p.verbs = make(map[string]func(context.Context) error)
	p.serveVerb(app)
	p.gatewayVerb(app)
	p.traceVerb(app)
	for _, r := range resources {
		p.resourceVerbs(app.Command(r.verb, r.help), r)
	}
	p.sheetVerbs(app)
	p.applyVerb(app)
	p.systemVerbs(app)
	return app
}

func (p *Program) verb(cmd *kingpin.CmdClause, run func(ctx context.Context) error) {
	p.verbs[cmd.FullCommand()] = run
}

func (p *Program) serveVerb(app *kingpin.Application) {
	cmd := app.Command("serve", "Run the daemon of this VM.")
	form := afsettings.DefineFlags(cmd)
	p.verb(cmd, func(ctx context.Context) error {
		s, err := form.ParseSettings()
		if err != nil {
			return &Error{Op: "serve", Kind: UsageError, Err: err}
		}
		if p.RunServer == nil {
			return errors.New("serve: this program is built without the daemon")
		}
		return p.RunServer(ctx, s)
	})
}

func (p *Program) gatewayVerb(app *kingpin.Application) {
	cmd := app.Command("gateway", "Run the daemon of this VM on a platform that writes its settings file.")
	p.verb(cmd, func(ctx context.Context) error {
		if p.RunGateway == nil {
			return errors.New("gateway: this program is built without the daemon")
		}
		return p.RunGateway(ctx)
	})
}

// report prints the error and returns the exit code.
func (p *Program) report(err error) int {
	if err == nil {
		return ExitOK
	}
	e, ok := errors.Into[*Error](err)
	switch {
	case !ok:
		p.complain("%v", err)
	case e.Kind == UsageError:
		p.complain("%v", e.Err)
		return ExitUsage
	case e.Kind == InvalidSheet:
		// The faults are printed already.
	case e.refusal != nil:
		p.printRefusal(e)
	default:
		p.complain("%v", e)
	}
	return ExitFailure
}

func (p *Program) complain(format string, args ...any) {
	_, _ = fmt.Fprintf(p.Stderr, "arbutusfork: "+format+"\n", args...)
}

func (p *Program) say(format string, args ...any) {
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

func (p *Program) client() client {
	base := strings.TrimRight(p.server, "/")
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	do := p.SendRequest
	if do == nil {
		do = (&http.Client{Timeout: callTimeout}).Do
	}
	return client{base: base, token: p.token, do: do}
}
