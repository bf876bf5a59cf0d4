package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a scenario.
const (
	held    = 0
	broken  = 1
	noPlay  = 2
	maxTime = 115 * time.Second
)

var scenarios = map[string]func(*record, bool) (int, error){}

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
	trouble := os.Getenv("TROUBLE") != "0"
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := scenarios[os.Args[1]](rec, trouble)
		done <- result{code, err}
	}()
	res := <-done
	if res.err != nil {
		rec.logf("could not run: %v", res.err)
		fmt.Fprintln(os.Stderr, res.err)
		os.Exit(noPlay)
	}
	rec.logf("result: %s", map[int]string{held: "the rule held", broken: "the rule was broken"}[res.code])
	fmt.Println(map[int]string{held: "the rule held", broken: "the rule was broken"}[res.code])
	os.Exit(res.code)
}
