// Command review3 runs one case of the review in review/REPORT-3.md: it starts a small deployment, causes the disruption of the case
// unless TROUBLE=0, and checks the rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// caseFunc runs a case. It reports whether the rule held.
type caseFunc func(f *fleet, isTrouble bool) (isKept bool, err error)

var cases = map[string]caseFunc{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE FOLDER")
		return 2
	}
	fail := func(err error) int {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return 2
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		return fail(err)
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return fail(err)
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs in", dir)
	}
	f, err := newFleet(rec, dir)
	if err != nil {
		return fail(err)
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		f.close()
		os.Exit(2)
	}()
	isKept, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if closeErr := rec.close(); err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		return fail(err)
	case !isKept:
		return 1
	}
	return 0
}
