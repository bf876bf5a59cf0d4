package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a scenario.
const (
	held   = 0
	broken = 1
	noPlay = 2
)

// maxTime bounds a scenario, the end of its processes included.
const maxTime = 115 * time.Second

// scenarios are the scenarios by name. A scenario returns held or broken, or an error if it
// could not be played. With trouble set it includes the disruption.
var scenarios = map[string]func(rec *record, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO RECORD")
		os.Exit(noPlay)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(noPlay)
	}
	os.Exit(play(os.Args[1], rec, os.Getenv("TROUBLE") != "0"))
}

// play plays a scenario and ends all processes that it has started.
func play(name string, rec *record, trouble bool) int {
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := scenarios[name](rec, trouble)
		done <- result{code, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	var res result
	select {
	case res = <-done:
	case s := <-stopped:
		res.err = fmt.Errorf("stopped by %v", s)
	case <-time.After(maxTime):
		res.err = fmt.Errorf("not done within %v", maxTime)
	}
	endProcesses()
	if res.err != nil {
		rec.logf("could not be played: %v", res.err)
		fmt.Fprintln(os.Stderr, res.err)
		return noPlay
	}
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken"}[res.code]
	rec.logf("result: %s", verdict)
	fmt.Println(verdict)
	return res.code
}
