package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit statuses of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases holds the cases by name. Each returns its exit status.
var cases = map[string]func(f *fleet, isTroubled bool) (int, error){
	"crash": runCrash, "crash-restart": runCrashRestart, "quota": runQuota, "head": runHead, "status": runStatus, "parts": runParts,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: fleet CASE GATEWAY RECORD")
		return notRun
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	notes := bufio.NewWriterSize(file, 1<<20)
	defer func() {
		_ = notes.Flush()
		_ = file.Close()
	}()
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(directory) }()
	} else {
		fmt.Println(directory)
	}
	gateway, err := filepath.Abs(os.Args[2])
	if err != nil {
		return notRun
	}
	r := &record{file: notes, startAt: time.Now()}
	f, err := newFleet(r, gateway, directory)
	if err != nil {
		r.printf("not run: %v", err)
		return notRun
	}
	defer f.close()
	status, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.printf("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return notRun
	}
	return status
}

// verdict records the result of a case.
func (f *fleet) verdict(isBroken bool, format string, args ...any) int {
	text := "held: "
	status := held
	if isBroken {
		text, status = "BROKEN: ", broken
	}
	text += fmt.Sprintf(format, args...)
	f.record.printf("%s", text)
	fmt.Println(text)
	return status
}
