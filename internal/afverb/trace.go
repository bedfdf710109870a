package afverb

import (
	"bytes"
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/afexplain"
)

// traceVerb reads the logs of several VMs. It needs no VM that runs, since logs outlive the processes.
func (p *Program) traceVerb(app *kingpin.Application) {
	cmd := app.Command("trace", "Print the story of one request from the logs of several VMs.")
	id := cmd.Flag("request", "Request id, or the beginning of it.").Required().String()
	files := cmd.Arg("log", "Log files; - is standard input.").Required().Strings()
	p.verb(cmd, func(context.Context) error {
		t := afexplain.RequestTrace{RequestID: *id}
		for _, name := range *files {
			if err := p.readLog(&t, name); err != nil {
				return &Error{Op: "trace", Kind: UsageError, Err: errors.Wrapf(err, "trace: %s", name)}
			}
		}
		var out bytes.Buffer
		if err := t.WriteTimeline(&out); err != nil {
			return errors.Wrap(err, "trace")
		}
		_, err := p.Stdout.Write(out.Bytes())
		return err
	})
}

func (p *Program) readLog(t *afexplain.RequestTrace, name string) error {
	if name == "-" {
		return t.ReadLog(p.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // Nothing was written.
	return t.ReadLog(f)
}
