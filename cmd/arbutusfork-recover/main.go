// Command arbutusfork-recover sends load and probes to a running example during failures and checks its recovery.
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
	app := kingpin.New("arbutusfork-recover", "Sends load and probes to a running example during failures and checks its recovery.")
	app.HelpFlag.Short('h')
	subnet := app.Flag("net", "Second part of the example's addresses 127.NET.x.y.").Default("0").Envar("NET").Int()
	operatorToken := app.Flag("token", "Operator token.").Envar("ARBUTUSFORK_TOKEN").Required().String()
	commands := make(map[string]func(ctx context.Context, f *afrecover.Deployment) (string, error))
	addCommands(app, commands)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	fleet := &afrecover.Deployment{
		BaseURLs: afdemo.Deployments["fuqaa"].BaseURLs(*subnet),
		JSONClient: afdemo.JSONClient{
			OperatorToken: *operatorToken,
			// Connections are not reused, since a replaced VM listens on the same address.
			HTTPClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	output, err := commands[command](ctx, fleet)
	stop()
	if output != "" {
		fmt.Println(output)
	}
	if err != nil {
		fmt.Println("FAILED", err)
		os.Exit(1)
	}
}

// addCommands adds the commands to app and their functions to commands, by name.
func addCommands(app *kingpin.Application, commands map[string]func(ctx context.Context, f *afrecover.Deployment) (string, error)) {
	load := app.Command("load", "Send the load for a time or until SIGTERM, and print the outcomes of the requests.")
	duration := load.Flag("for", "Duration of the load.").Default("20s").Duration()
	strict := load.Flag("strict", "Count each refusal other than for the rate and each cut stream as a violation.").Bool()
	commands[load.FullCommand()] = func(ctx context.Context, f *afrecover.Deployment) (string, error) {
		ctx, cancel := context.WithTimeout(ctx, *duration)
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
	commands[install.FullCommand()] = func(ctx context.Context, f *afrecover.Deployment) (string, error) {
		return "", f.CreateCustomers(ctx)
	}
	owner := app.Command("owner", "Print the number of the VM that owns the placement.")
	commands[owner.FullCommand()] = func(ctx context.Context, f *afrecover.Deployment) (string, error) {
		n, err := f.FindShardOwner(ctx, afrecover.EngineShard)
		return strconv.Itoa(n), err
	}
	holder := app.Command("holder", "Print the number of the VM that holds the largest share of a limit.")
	other := holder.Flag("except", "Number of a VM that is left out.").Int()
	commands[holder.FullCommand()] = func(ctx context.Context, f *afrecover.Deployment) (string, error) {
		n, err := f.FindShareHolder(ctx, afrecover.HalfRateCustomer, *other)
		return strconv.Itoa(n), err
	}
	cold := app.Command("cold", "Request a model that is not loaded and print when its load was ordered and the request was served.")
	model := cold.Arg("model", "The model.").Required().String()
	except := cold.Flag("except", "Number of a VM to which no request is sent.").Int()
	deadline := cold.Flag("deadline", "Deadline of the request.").Default("25s").Duration()
	refused := cold.Flag("refused", "Expect that the deadline cannot be met and that the request is refused.").Bool()
	commands[cold.FullCommand()] = func(ctx context.Context, f *afrecover.Deployment) (string, error) {
		ctx, cancel := context.WithTimeout(ctx, *deadline+10*time.Second)
		defer cancel()
		return f.CheckColdStart(ctx, *model, *except, *deadline, *refused)
	}
	withdraw := app.Command("withdraw", "Withdraw a key during streams and print when they ended.")
	commands[withdraw.FullCommand()] = func(ctx context.Context, f *afrecover.Deployment) (string, error) { return f.CheckKeyWithdrawal(ctx) }
	leave := app.Command("leave", "Make an endpoint leave and print how many requests it still gets.")
	config := leave.Flag("config", "Announce the departure in the configuration instead of at the endpoint.").Bool()
	commands[leave.FullCommand()] = func(ctx context.Context, f *afrecover.Deployment) (string, error) {
		return f.CheckEndpointLeave(ctx, *config)
	}
}
