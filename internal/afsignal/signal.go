// Package afsignal receives the signals of the program from its initialisation on, since before that the default action of a
// signal ends the process without a line. Go initialises packages in the order of their paths as soon as their imports are
// ready, so this one imports only packages that are ready early. The program must import it from its main package.
package afsignal

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

var (
	hangups     = newHangups()
	stopContext = newStopContext()
)

func newHangups() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

func newStopContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-c
		// A second interrupt from a terminal ends the process. A second SIGTERM does not, since supervisors may repeat it during
		// a graceful shutdown.
		signal.Reset(syscall.SIGINT)
		cancel()
	}()
	return ctx
}

// Hangups returns the channel that receives SIGHUP. It holds one signal until it is read and drops further ones.
func Hangups() <-chan os.Signal { return hangups }

// StopContext returns the context that ends with the first SIGINT or SIGTERM. Further SIGTERMs have no effect.
func StopContext() context.Context { return stopContext }

// ReleaseHangups gives SIGHUP back the action that it had at the start of the process, also for one that was received before.
func ReleaseHangups() {
	signal.Reset(syscall.SIGHUP)
	select {
	case <-hangups:
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP) // A process may signal itself.
	default:
	}
}
