package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the scripts by name. Each gets the folder of record.txt and returns the exit
// status: 1 if a rule was broken, 0 if all held, 2 if the case could not run.
var cases = map[string]func(dir string, trouble bool) int{
	"endless-heads": runEndlessHeads,
	"large-bodies":  runLargeBodies,
	"false-refusal": runFalseRefusals,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-harness CASE FOLDER")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	done := make(chan int)
	go func() { done <- cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0") }()
	select {
	case status := <-done:
		os.Exit(status)
	case <-signals:
		if started != nil {
			started.stop() // leaves no process behind
		}
		os.Exit(2)
	}
}
