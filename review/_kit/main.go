package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime bounds a run. A script may take 120 s.
const maxRunTime = 110 * time.Second

// cases are the cases by name.
var cases = map[string]func(rec *recorder, trouble bool) (code int, result string){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: kit CASE RECORD")
		os.Exit(exitNotRun)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNotRun)
	}
	rec := &recorder{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption %v", os.Args[1], trouble)
	go func() {
		stop := make(chan os.Signal, 1)
		signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
		select {
		case <-stop:
		case <-time.After(maxRunTime):
		}
		closeAll()
		fmt.Println("the run was stopped")
		os.Exit(exitNotRun)
	}()
	code, result := cases[os.Args[1]](rec, trouble)
	rec.line("result %d: %s", code, result)
	fmt.Printf("%s trouble=%v: %d %s\n", os.Args[1], trouble, code, result)
	_ = file.Close()
	os.Exit(code)
}
