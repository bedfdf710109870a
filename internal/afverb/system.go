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

// addSystemVerbs adds the verbs that concern a VM as a whole, and the digest of operator tokens.
func (p *Program) addSystemVerbs(app *kingpin.Application) {
	p.registerVerb(app.Command("status", "Show the state of the VM."), func(ctx context.Context) error {
		return p.printAnswer(ctx, request{method: http.MethodGet, path: "/v1/status"})
	})

	explainCmd := app.Command("explain", "Show recent decisions of the VM on a request or a model.")
	requestID := explainCmd.Flag("request", "Request id.").String()
	model := explainCmd.Flag("model", "Model.").String()
	p.registerVerb(explainCmd, func(ctx context.Context) error {
		query := url.Values{}
		switch {
		case (*requestID == "") == (*model == ""):
			return &Error{Op: "explain", Kind: UsageError, Err: errors.New("explain: name either --request or --model")}
		case *requestID != "":
			query.Set("request", *requestID)
		default:
			query.Set("model", *model)
		}
		return p.printAnswer(ctx, request{method: http.MethodGet, path: "/v1/explain", query: query})
	})

	p.registerVerb(app.Command("drain", "Shut the VM down gracefully."), func(ctx context.Context) error {
		return p.printAnswer(ctx, request{method: http.MethodPost, path: "/v1/drain"})
	})

	tokenCmd := app.Command("token", "Operator tokens.")
	digestCmd := tokenCmd.Command("digest", "Print the digest of a token for --operator-digest.")
	plainText := digestCmd.Arg("token", "Token. Without it, the token is read from standard input.").String()
	p.registerVerb(digestCmd, func(context.Context) error {
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
		p.printLine("%s", arbutusfork.DigestSecret(*plainText))
		return nil
	})
}

// printAnswer sends a request and prints the answer, whatever its fields are.
func (p *Program) printAnswer(ctx context.Context, q request) error {
	var raw []byte
	if err := p.newClient().call(ctx, q, &raw); err != nil {
		return err
	}
	if p.printsJSON {
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
