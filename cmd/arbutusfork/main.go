// Command arbutusfork is the daemon that serves rarely used models, the gateway and the operators' client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"arbutusfork.example/arbutusfork/internal/afserve"
	"arbutusfork.example/arbutusfork/internal/afverb"
	"arbutusfork.example/arbutusfork/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	context.AfterFunc(ctx, stop) // A second signal has its default effect and ends the process.
	p := afverb.Program{Stdout: os.Stdout, Stderr: os.Stderr, Stdin: os.Stdin, RunServer: afserve.Run, RunGateway: platform.Run}
	code := p.Run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
