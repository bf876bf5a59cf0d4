package main

import (
	"errors"
	"fmt"
	"time"
)

// finishTime is the time after the end of the traffic at which jobs are asked for.
const finishTime = 14 * time.Second

func init() { scenarios["starved"] = playStarved }

// playStarved hands in 20 jobs within three seconds. The trouble is that one of them can never
// be done: a gang that needs more than all runners have.
func playStarved(rec *record, trouble bool) (int, error) {
	const (
		prefix       = "/lohu930/"
		ordinaryJobs = 19
	)
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
		r, err := startRunner(rec, led, fmt.Sprintf("i-%08x", 0x7f3a9100+i), fmt.Sprintf("m-%d", i), "zone-a", "r1-1", 16000, 65536, cell.controls())
		if err != nil {
			return noPlay, err
		}
		defer r.crash("end of the scenario", "")
	}
	time.Sleep(4 * time.Second)
	callers := &client{rec: rec, frontends: cell.frontends()}
	if trouble {
		gang := &job{id: "5c0e7a21d94b3600", prefix: prefix, phases: []phase{{Count: 20, CPU: 4000, MemMB: 1024, EstimatedMs: 1000, Gang: true, length: time.Second}}}
		led.add(gang)
		if !callers.submit(gang) {
			return noPlay, errors.New("the gang was not accepted")
		}
	}
	var jobs []*job
	for i := range ordinaryJobs {
		j := &job{id: fmt.Sprintf("5c0e7a21d94b37%02x", i), prefix: prefix, phases: []phase{{Count: 16, CPU: 4000, MemMB: 1024, EstimatedMs: 1000, length: time.Second}}}
		led.add(j)
		if !callers.submit(j) {
			return noPlay, errors.New("a job was not accepted")
		}
		jobs = append(jobs, j)
		time.Sleep(3 * time.Second / ordinaryJobs)
	}
	rec.logf("the traffic has ended")
	// The ordinary jobs are 19 s of work for the 64 cores.
	time.Sleep(19*time.Second + finishTime)
	result := held
	for _, j := range jobs {
		if callers.state(j) == "completed" {
			continue
		}
		if idle := led.idleTime(j.id, rec.start); idle > 3*time.Second {
			rec.logf("job %s: nothing of it has run for %.1f s", j.id, idle.Seconds())
			result = broken
		}
	}
	rec.logf("cores in use on the 64 that there are: %d", 4*led.running())
	return result, nil
}
