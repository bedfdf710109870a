// Command arbutusfork-recover drives a running example under failures and checks the conditions.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"arbutusfork.example/arbutusfork/internal/afdemo"
	"arbutusfork.example/arbutusfork/internal/afrecover"
)

func main() {
	app := kingpin.New("arbutusfork-recover", "Drives a running example under failures and checks the conditions.")
	app.HelpFlag.Short('h')
	net := app.Flag("net", "Second part of the example's addresses 127.NET.x.y.").Default("0").Envar("NET").Int()
	token := app.Flag("token", "Operator token.").Envar("ARBUTUSFORK_TOKEN").Required().String()
	verbs := make(map[string]func(ctx context.Context, f *afrecover.Deployment) (string, error))
	define(app, verbs)
	verb := kingpin.MustParse(app.Parse(os.Args[1:]))
	fleet := &afrecover.Deployment{
		BaseURLs: afdemo.Deployments["fuqaa"].BaseURLs(*net),
		JSONClient: afdemo.JSONClient{
			OperatorToken: *token,
			// A replaced VM listens on the same address, so connections are not kept.
			HTTPClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	text, err := verbs[verb](ctx, fleet)
	stop()
	if text != "" {
		fmt.Println(text)
	}
	if err != nil {
		fmt.Println("FAILED", err)
		os.Exit(1)
	}
}

func define(app *kingpin.Application, verbs map[string]func(ctx context.Context, f *afrecover.Deployment) (string, error)) {
	load := app.Command("load", "Send the load until the time is over or SIGTERM, and print what callers saw.")
	span := load.Flag("for", "How long.").Default("20s").Duration()
	strict := load.Flag("strict", "Take each refusal other than for the rate and each cut for a violation.").Bool()
	verbs[load.FullCommand()] = func(ctx context.Context, f *afrecover.Deployment) (string, error) {
		ctx, cancel := context.WithTimeout(ctx, *span)
		defer cancel()
		r, err := (&afrecover.LoadGenerator{Deployment: f, IsStrict: *strict}).Run(ctx)
		if err != nil {
			return "", err
		}
		r.Print(os.Stdout)
		if n := len(r.Violations); n > 0 {
			return "", fmt.Errorf("%d violations, the first is %s", n, r.Violations[0])
		}
		return "", nil
	}
	install := app.Command("install", "Create the customers of the load.")
	verbs[install.FullCommand()] = func(ctx context.Context, f *afrecover.Deployment) (string, error) {
		return "", f.CreateCustomers(ctx)
	}
	owner := app.Command("owner", "Print the number of the VM that owns the placement.")
	verbs[owner.FullCommand()] = func(ctx context.Context, f *afrecover.Deployment) (string, error) {
		n, err := f.FindShardOwner(ctx, afrecover.EngineShard)
		return strconv.Itoa(n), err
	}
	holder := app.Command("holder", "Print the number of the VM that holds the largest share of a limit.")
	other := holder.Flag("except", "Number of a VM that is not to be printed.").Int()
	verbs[holder.FullCommand()] = func(ctx context.Context, f *afrecover.Deployment) (string, error) {
		n, err := f.FindShareHolder(ctx, afrecover.HalfRateCustomer, *other)
		return strconv.Itoa(n), err
	}
	cold := app.Command("cold", "Request a model that is not loaded and print when it was ordered and served.")
	model := cold.Arg("model", "The model.").Required().String()
	except := cold.Flag("except", "Number of a VM that is not asked.").Int()
	deadline := cold.Flag("deadline", "Deadline of the request.").Default("25s").Duration()
	refused := cold.Flag("refused", "Expect that the deadline cannot be met and that the request is refused.").Bool()
	verbs[cold.FullCommand()] = func(ctx context.Context, f *afrecover.Deployment) (string, error) {
		ctx, cancel := context.WithTimeout(ctx, *deadline+10*time.Second)
		defer cancel()
		return f.CheckColdStart(ctx, *model, *except, *deadline, *refused)
	}
	withdraw := app.Command("withdraw", "Withdraw a key during streams and print when they ended.")
	verbs[withdraw.FullCommand()] = func(ctx context.Context, f *afrecover.Deployment) (string, error) { return f.CheckKeyWithdrawal(ctx) }
	leave := app.Command("leave", "Make an endpoint leave and print how many requests it still gets.")
	config := leave.Flag("config", "Let the operator say so instead of the endpoint.").Bool()
	verbs[leave.FullCommand()] = func(ctx context.Context, f *afrecover.Deployment) (string, error) {
		return f.CheckEndpointLeave(ctx, *config)
	}
}
