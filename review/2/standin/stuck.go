package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenarios["stuck"] = playStuck }

// playStuck hands in a job of one task of 250 seconds, which needs one kind of runner, of which
// there is one. The trouble is that its estimate says 40 seconds. The runner lists the progress
// in whole percent: one more each 2.5 seconds.
func playStuck(rec *record, trouble bool) (int, error) {
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
	led := newLedger(rec)
	for i := range 4 {
		r, err := startRunnerOfKind(rec, led, fmt.Sprintf("i-%08x", 0x7f3a9100+i), fmt.Sprintf("m-%d", i), "zone-a", "r1-1", []string{"b", "a"}[min(i, 1)], 16000, 65536, cell.controls())
		if err != nil {
			return noPlay, err
		}
		defer r.crash("end of the scenario", "")
	}
	time.Sleep(4 * time.Second)
	callers := &client{rec: rec, frontends: cell.frontends()}
	long := &job{id: "5c0e7a21d94b3600", prefix: prefix, phases: []phase{{Count: 1, CPU: 4000, MemMB: 1024, EstimatedMs: 250000, RequiredLabel: "b", length: 250 * time.Second}}}
	if trouble {
		long.phases[0].EstimatedMs = 40000
	}
	led.add(long)
	if !callers.submit(long) {
		return noPlay, errors.New("the job was not accepted")
	}
	rec.logf("the traffic has ended")
	time.Sleep(finishTime)
	result := held
	longest := time.Duration(0)
	for until := time.Now().Add(60 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		longest = max(longest, led.idleTime(long.id, rec.start))
	}
	callers.state(long)
	runs := led.runsOf(long.id)
	rec.logf("%d runs, the last of which began %.1f s ago; longest time without one: %.1f s; cores in use besides: 0 of 64", len(runs), time.Since(runs[len(runs)-1].began).Seconds(), longest.Seconds())
	if longest > 3*time.Second {
		result = broken
	}
	return result, nil
}
