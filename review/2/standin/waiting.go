package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { scenarios["waiting"] = playWaiting }

// playWaiting runs one task that lasts beside four long ordinary tasks. After some seconds the
// task that lasts fails by itself, as such tasks may. The trouble is a large job that came
// before: a gang that fits as soon as the long tasks are done, and waits until then.
func playWaiting(rec *record, trouble bool) (int, error) {
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
	var runners []*runner
	for i := range 4 {
		r, err := startRunner(rec, led, fmt.Sprintf("i-%08x", 0x7f3a9100+i), fmt.Sprintf("m-%d", i), "zone-a", "r1-1", 16000, 65536, cell.controls())
		if err != nil {
			return noPlay, err
		}
		defer r.crash("end of the scenario", "")
		runners = append(runners, r)
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
	long := &job{id: "5c0e7a21d94b3600", prefix: prefix, phases: []phase{{Count: 4, CPU: 5000, MemMB: 1024, EstimatedMs: 50000, AntiAffinity: 1, length: 50 * time.Second}}}
	if err := submit(long); err != nil {
		return noPlay, err
	}
	lasting := &job{id: "5c0e7a21d94b3601", prefix: prefix, phases: []phase{{Count: 1, CPU: 2000, MemMB: 1024, LongRunning: true}}}
	if err := submit(lasting); err != nil {
		return noPlay, err
	}
	time.Sleep(8 * time.Second)
	if trouble {
		gang := &job{id: "5c0e7a21d94b3602", prefix: prefix, phases: []phase{{Count: 16, CPU: 3500, MemMB: 1024, EstimatedMs: 5000, Gang: true, length: 5 * time.Second}}}
		if err := submit(gang); err != nil {
			return noPlay, err
		}
	}
	time.Sleep(2 * time.Second)
	failed := time.Now()
	for _, r := range runners {
		r.failLasting()
	}
	for time.Since(failed) < 25*time.Second {
		time.Sleep(250 * time.Millisecond)
		if led.idleTime(lasting.id, rec.start) == 0 {
			rec.logf("the task that lasts runs again after %.1f s", time.Since(failed).Seconds())
			if time.Since(failed) > 9*time.Second {
				return broken, nil
			}
			return held, nil
		}
	}
	rec.logf("the task that lasts has not run for %.1f s; cores in use: 20 of 64, its demand: 2", time.Since(failed).Seconds())
	callers.state(lasting)
	return broken, nil
}
