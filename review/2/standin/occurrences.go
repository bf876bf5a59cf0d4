package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["occurrences"] = playOccurrences }

// playOccurrences hands in a job of three occurrences. In each of them a short task is followed
// by a wide step, which takes long, and by 40 tasks that end one after the other. The trouble is
// that the process that leads is killed.
func playOccurrences(rec *record, trouble bool) (int, error) {
	const prefix = "/lohu930/"
	cell, err := startCluster(rec, "")
	if err != nil {
		return noPlay, err
	}
	defer cell.stop()
	if err := cell.waitReady(20 * time.Second); err != nil {
		return noPlay, err
	}
	op := &operator{rec: rec, controls: cell.controls()}
	if !op.putConfig(1, route{prefix: prefix, targetLatencyMs: 1000, priority: 1, attempts: 3, slackFactor: 2.2}) {
		return noPlay, errors.New("no configuration")
	}
	isWide := func(task string) bool { return strings.Split(task, ".")[2] == "1" }
	led := newLedger(rec)
	for i := range 4 {
		r, err := startRunner(rec, led, fmt.Sprintf("i-%08x", 0x7f3a9100+i), fmt.Sprintf("m-%d", i), "zone-a", "r1-1", 16000, 65536, cell.controls())
		if err != nil {
			return noPlay, err
		}
		defer r.crash("end of the scenario", "")
		r.logAcks = func(task string) bool { return !isWide(task) }
	}
	time.Sleep(4 * time.Second)
	callers := &client{rec: rec, frontends: cell.frontends()}
	j := &job{
		id: "5c0e7a21d94b3600", prefix: prefix, repeats: 3, startAt: time.Now().Add(time.Second), intervalMs: 100,
		phases: []phase{
			{Count: 1, CPU: 1000, MemMB: 128, EstimatedMs: 1500, length: 1500 * time.Millisecond},
			{Count: 9960, CPU: 4000, MemMB: 128, EstimatedMs: 1000, DependsOn: []int{0}, length: time.Second},
			{Count: 40, CPU: 200, MemMB: 128, EstimatedMs: 12000, DependsOn: []int{0}, length: 3 * time.Second, spread: 250 * time.Millisecond},
		},
	}
	led.add(j)
	if !callers.submit(j) {
		return noPlay, errors.New("the job was not accepted")
	}
	time.Sleep(11 * time.Second)
	if trouble {
		if err := cell.restart(cell.leader(), 500*time.Millisecond); err != nil {
			return noPlay, err
		}
	}
	time.Sleep(25 * time.Second)
	callers.state(j)
	return led.checkTwice(j.id), nil
}

// checkTwice checks that no run of a task has begun after a run of it ended done whose end was
// taken note of.
func (l *ledger) checkTwice(id string) int {
	ended := make(map[string]runRecord)
	result := held
	for _, r := range l.runsOf(id) { // in the order in which they began
		if before, known := ended[r.task]; known && before.ended.Before(r.began) {
			l.rec.logf("%s #%d began at %.3f on %s after #%d had ended done at %.3f on %s, an end that was taken note of",
				r.task, r.run, r.began.Sub(l.rec.start).Seconds(), r.runner, before.run, before.ended.Sub(l.rec.start).Seconds(), before.runner)
			result = broken
		}
		if r.how == "done" && r.noted {
			ended[r.task] = r
		}
	}
	return result
}
