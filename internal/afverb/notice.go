package afverb

import (
	"context"
	"net/http"
	"net/url"

	"github.com/alecthomas/kingpin/v2"
)

// addNoticeVerbs adds the verbs about what endpoints said about themselves. Only the gateway answers them, on its metrics address.
func (p *Program) addNoticeVerbs(app *kingpin.Application) {
	cmd := app.Command("notice", "What endpoints said about themselves. --server names the metrics address of a VM that runs the gateway.")
	p.registerVerb(cmd.Command("list", "List what endpoints said and what the VM acts on."), func(ctx context.Context) error {
		return p.printAnswer(ctx, request{method: http.MethodGet, path: "/notices"})
	})
	liftCmd := cmd.Command("lift", "Make all VMs forget what an endpoint said until now. Run it on the VM that --server names.")
	endpoint := liftCmd.Arg("endpoint", "Endpoint.").Required().String()
	kind := liftCmd.Arg("kind", "Kind of the notice: leaving or pause.").Required().Enum("leaving", "pause")
	p.registerVerb(liftCmd, func(ctx context.Context) error {
		return p.printAnswer(ctx, request{method: http.MethodPost, path: "/notices/" + url.PathEscape(*endpoint) + "/" + *kind + "/lift"})
	})
}
