// Command arbutusfork-demo sends requests of callers and operators to a running example and checks the answers.
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
	app := kingpin.New("arbutusfork-demo", "Sends requests of callers and operators to a running example and checks the answers.")
	app.HelpFlag.Short('h')
	deploymentNames := slices.Sorted(maps.Keys(afdemo.Deployments))
	deploymentName := app.Flag("deployment", "Name of the running example.").Default("fuqaa").Enum(deploymentNames...)
	subnet := app.Flag("net", "Second part of the example's addresses 127.NET.x.y.").Default("0").Envar("NET").Int()
	operatorToken := app.Flag("token", "Operator token.").Envar("ARBUTUSFORK_TOKEN").Required().String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	demo := afdemo.Demo{OperatorToken: *operatorToken, Output: os.Stdout, HTTPClient: &http.Client{}}.WithDeployment(afdemo.Deployments[*deploymentName], *subnet)
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	if err := demo.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo: a check failed")
		cancel()
		os.Exit(1)
	}
}
