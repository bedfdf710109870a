package afverb

import (
	"context"
	"net/http"

	"github.com/alecthomas/kingpin/v2"
)

// addCentreVerbs adds the verbs about data centres. Only the gateway answers them, on its metrics address.
func (p *Program) addCentreVerbs(app *kingpin.Application) {
	cmd := app.Command("centre", "Data centres and their evacuation. --server names the metrics address of a VM that runs the gateway.")
	p.registerVerb(cmd.Command("list", "List the data centres with their endpoints, evacuations and requests in progress."), func(ctx context.Context) error {
		return p.printAnswer(ctx, request{method: http.MethodGet, path: "/centres"})
	})
}
