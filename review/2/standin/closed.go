package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenarios["closed"] = playClosed }

// playClosed hands in a service of four tasks that last, and 40 ordinary jobs. The trouble is
// that one more job can never be done: its tasks fail by their own fault.
func playClosed(rec *record, trouble bool) (int, error) {
	const (
		prefix = "/lohu930/"
		half   = 20
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
	submit := func(j *job) error {
		led.add(j)
		if !callers.submit(j) {
			return errors.New("a job was not accepted")
		}
		return nil
	}
	service := &job{id: "5c0e7a21d94b3600", prefix: prefix, phases: []phase{{Count: 4, CPU: 4000, MemMB: 1024, LongRunning: true, AntiAffinity: 1}}}
	if err := submit(service); err != nil {
		return noPlay, err
	}
	time.Sleep(2 * time.Second)
	var jobs []*job
	submitOrdinary := func(n int) error {
		for range n {
			j := &job{id: fmt.Sprintf("5c0e7a21d94b37%02x", len(jobs)), prefix: prefix, phases: []phase{{Count: 4, CPU: 2000, MemMB: 1024, EstimatedMs: 200, length: 200 * time.Millisecond}}}
			jobs = append(jobs, j)
			if err := submit(j); err != nil {
				return err
			}
			time.Sleep(150 * time.Millisecond)
		}
		return nil
	}
	if err := submitOrdinary(half); err != nil {
		return noPlay, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		hopeless := &job{id: "5c0e7a21d94b3601", prefix: prefix, phases: []phase{{Count: 24, CPU: 2000, MemMB: 1024, EstimatedMs: 200, length: 200 * time.Millisecond, fails: true}}}
		if err := submit(hopeless); err != nil {
			return noPlay, err
		}
	}
	time.Sleep(2 * time.Second)
	if err := submitOrdinary(half); err != nil {
		return noPlay, err
	}
	rec.logf("the traffic has ended")
	time.Sleep(finishTime + 10*time.Second)
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
	rec.logf("cores in use of the 64 that there are: %d, by %d tasks that last", 4*led.running(), led.running())
	return result, nil
}
