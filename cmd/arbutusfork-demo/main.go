// Command arbutusfork-demo drives a running example and checks what its callers and operators see.
package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"arbutusfork.example/arbutusfork/internal/afdemo"
)

const demoTimeout = 50 * time.Second

func main() {
	app := kingpin.New("arbutusfork-demo", "Drives a running example and checks what its callers and operators see.")
	app.HelpFlag.Short('h')
	names := slices.Sorted(maps.Keys(afdemo.Deployments))
	name := app.Flag("deployment", "The example that runs.").Default("fuqaa").Enum(names...)
	net := app.Flag("net", "Second part of the example's addresses 127.NET.x.y.").Default("0").Envar("NET").Int()
	token := app.Flag("token", "Operator token.").Envar("ARBUTUSFORK_TOKEN").Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	demo := afdemo.Demo{OperatorToken: *token, Output: os.Stdout, HTTPClient: &http.Client{}}.WithDeployment(afdemo.Deployments[*name], *net)
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	if err := demo.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "the demo did not see everything that it expects")
		cancel()
		os.Exit(1)
	}
}
