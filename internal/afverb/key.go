package afverb

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"arbutusfork.example/arbutusfork/pkg/afobject"
)

type issueBody struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
}

func (p *Program) keyVerbs(parent *kingpin.CmdClause) {
	issue := parent.Command("issue", "Create a key and print its clear text, which is kept nowhere.")
	name := issue.Arg("name", "Name of the new key.").Required().String()
	customer := issue.Arg("customer", "Customer.").Required().String()
	p.verb(issue, func(ctx context.Context) error {
		b, err := json.Marshal(issueBody{Name: *name, Customer: *customer})
		if err != nil {
			return &Error{Op: "key issue", Kind: MalformedData, Err: err}
		}
		return p.sendChange(ctx, request{method: http.MethodPost, path: "/v1/" + afobject.KindKeys, body: b})
	})

	withdraw := parent.Command("withdraw", "Stop a key on every VM within seconds, open streams included.")
	old := withdraw.Arg("name", "Name of the key.").Required().String()
	p.verb(withdraw, func(ctx context.Context) error {
		return p.sendChange(ctx, request{method: http.MethodPost, path: objectPath(afobject.KindKeys, *old) + "/withdraw"})
	})
}

func (p *Program) sendChange(ctx context.Context, q request) error {
	var change changeBody
	if err := p.client().call(ctx, q, &change); err != nil {
		return err
	}
	return p.printChange(change)
}
