package afverb

import (
	"bytes"
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork/internal/afexplain"
)

// addTraceVerb adds the verb that prints the timeline of a request. The verb reads log files and sends no request, so it also
// works after the VMs have stopped.
func (p *Program) addTraceVerb(app *kingpin.Application) {
	cmd := app.Command("trace", "Print the timeline of one request from the logs of several VMs.")
	requestID := cmd.Flag("request", "Request id, or the beginning of it.").Required().String()
	files := cmd.Arg("log", "Log files; - is standard input.").Required().Strings()
	p.registerVerb(cmd, func(context.Context) error {
		t := afexplain.RequestTrace{RequestID: *requestID}
		for _, name := range *files {
			name = p.fileName(name)
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

// readLog adds a log file, or standard input for the name "-". Unlike readFile, it does not bound the size.
func (p *Program) readLog(t *afexplain.RequestTrace, name string) error {
	if name == "-" {
		return t.ReadLog(p.Stdin)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // The file is only read, so an error loses no data.
	return t.ReadLog(f)
}
