package afverb

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/alecthomas/kingpin/v2"

	"arbutusfork.example/arbutusfork/pkg/afobject"
)

// issueKeyBody is the request to issue a key.
type issueKeyBody struct {
	Name     string `json:"name"`
	Customer string `json:"customer"`
}

// addKeyVerbs adds the verbs that issue and withdraw keys.
func (p *Program) addKeyVerbs(parent *kingpin.CmdClause) {
	issueCmd := parent.Command("issue", "Create a key and print its clear text, which is not stored.")
	name := issueCmd.Arg("name", "Name of the new key.").Required().String()
	customer := issueCmd.Arg("customer", "Customer.").Required().String()
	p.registerVerb(issueCmd, func(ctx context.Context) error {
		b, err := json.Marshal(issueKeyBody{Name: *name, Customer: *customer})
		if err != nil {
			return &Error{Op: "key issue", Kind: MalformedData, Err: err}
		}
		return p.sendChange(ctx, request{method: http.MethodPost, path: "/v1/" + afobject.KindKeys, body: b})
	})

	withdrawCmd := parent.Command("withdraw", "Stop a key on every VM within seconds, open streams included.")
	keyName := withdrawCmd.Arg("name", "Name of the key.").Required().String()
	p.registerVerb(withdrawCmd, func(ctx context.Context) error {
		return p.sendChange(ctx, request{method: http.MethodPost, path: objectPath(afobject.KindKeys, *keyName) + "/withdraw"})
	})
}

// sendChange sends a request for a change and prints the change.
func (p *Program) sendChange(ctx context.Context, q request) error {
	var change changeBody
	if err := p.newClient().call(ctx, q, &change); err != nil {
		return err
	}
	return p.printChange(change)
}
