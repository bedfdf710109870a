package afverb

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/go-faster/errors"

	"arbutusfork.example/arbutusfork"
)

func (p *Program) systemVerbs(app *kingpin.Application) {
	p.verb(app.Command("status", "Show the state of the VM."), func(ctx context.Context) error {
		return p.show(ctx, request{method: http.MethodGet, path: "/v1/status"})
	})

	explain := app.Command("explain", "Show recent decisions of the VM on a request or a model.")
	id := explain.Flag("request", "Request id.").String()
	model := explain.Flag("model", "Model.").String()
	p.verb(explain, func(ctx context.Context) error {
		q := url.Values{}
		switch {
		case (*id == "") == (*model == ""):
			return &Error{Op: "explain", Kind: UsageError, Err: errors.New("explain: name either --request or --model")}
		case *id != "":
			q.Set("request", *id)
		default:
			q.Set("model", *model)
		}
		return p.show(ctx, request{method: http.MethodGet, path: "/v1/explain", query: q})
	})

	p.verb(app.Command("drain", "Shut the VM down gracefully."), func(ctx context.Context) error {
		return p.show(ctx, request{method: http.MethodPost, path: "/v1/drain"})
	})

	token := app.Command("token", "Operator tokens.")
	digest := token.Command("digest", "Print the digest of a token for --operator-digest.")
	plainText := digest.Arg("token", "Token. Without it, the token is read from standard input.").String()
	p.verb(digest, func(context.Context) error {
		if *plainText == "" {
			b, err := io.ReadAll(p.Stdin)
			if err != nil {
				return &Error{Op: "token digest", Kind: UsageError, Err: err}
			}
			*plainText = strings.TrimSpace(string(b))
		}
		if *plainText == "" {
			return &Error{Op: "token digest", Kind: UsageError, Err: errors.New("token digest: the token is empty")}
		}
		p.say("%s", arbutusfork.DigestSecret(*plainText))
		return nil
	})
}

// show prints an answer of free form.
func (p *Program) show(ctx context.Context, q request) error {
	var raw []byte
	if err := p.client().call(ctx, q, &raw); err != nil {
		return err
	}
	if p.json {
		_, _ = p.Stdout.Write(raw)
		return nil
	}
	var v any
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	if err := d.Decode(&v); err != nil {
		return &Error{Op: q.path, Kind: MalformedData, Err: err}
	}
	p.printTree("", v)
	return nil
}
