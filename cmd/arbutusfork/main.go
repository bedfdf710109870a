// Command arbutusfork is the daemon that serves rarely used models, the gateway and the operators' client.
package main

import (
	"os"

	"arbutusfork.example/arbutusfork/internal/afserve"
	"arbutusfork.example/arbutusfork/internal/afsignal"
	"arbutusfork.example/arbutusfork/internal/afverb"
	"arbutusfork.example/arbutusfork/platform"
)

func main() {
	p := afverb.Program{
		Stdout: os.Stdout, Stderr: os.Stderr, Stdin: os.Stdin, RunServer: afserve.Run, RunGateway: platform.Run,
		CheckConfiguration: platform.CheckConfiguration, DescribeConfiguration: platform.DescribeConfiguration,
		Hangups: afsignal.Hangups(), ReleaseHangups: afsignal.ReleaseHangups,
	}
	os.Exit(p.Run(afsignal.StopContext(), os.Args[1:]))
}
