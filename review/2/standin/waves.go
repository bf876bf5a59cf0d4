package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

const noticeTime = 4500 * time.Millisecond

func init() {
	scenarios["waves"] = playWaves
}

// playWaves runs four tasks that last, of which one may be unavailable, on six machines, and
// maintains all machines twice. The trouble is that the second wave follows the first at once;
// otherwise it comes 25 seconds later.
func playWaves(rec *record, trouble bool) (int, error) {
	const prefix = "/lohu930/"
	cloud, err := newMachines(rec)
	if err != nil {
		return noPlay, err
	}
	cell, err := startCluster(rec, cloud.address)
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
	cloud.startLife = func(machine string, _ int) *runner {
		r, err := startRunner(rec, led, fmt.Sprintf("i-%08x", rand.Uint32()), machine, "zone-a", "r1-1", 16000, 65536, cell.controls())
		if err != nil {
			panic(err)
		}
		return r
	}
	var names []string
	for i := range 6 {
		names = append(names, fmt.Sprintf("m-%05x", 0xa3f1+i))
		cloud.add(names[i])
	}
	time.Sleep(4 * time.Second)
	callers := &client{rec: rec, frontends: cell.frontends()}
	lasting := &job{id: "5c0e7a21d94b3601", prefix: prefix, phases: []phase{{Count: 4, CPU: 9000, MemMB: 1024, LongRunning: true, MayMiss: 1}}}
	led.add(lasting)
	if !callers.submit(lasting) {
		return noPlay, errors.New("the job was not accepted")
	}
	time.Sleep(6 * time.Second)
	for wave := 1; wave <= 2; wave++ {
		cloud.announce(wave, names...)
		if !op.startWave(wave, 1, 60, names...) {
			return noPlay, errors.New("the wave was not acknowledged")
		}
		for began := time.Now(); !op.waveCompleted(wave); time.Sleep(500 * time.Millisecond) {
			if time.Since(began) > 40*time.Second {
				return noPlay, errors.New("the wave did not end")
			}
		}
		if wave == 1 && !trouble {
			time.Sleep(25 * time.Second)
		}
	}
	time.Sleep(3 * time.Second)
	return led.checkAway(lasting.id, 4, 1), nil
}

// checkAway checks each order that ended a task of a step at work: fewer others of the step than
// mayMiss may be away, ended by such an order or not at work for noticeTime.
func (l *ledger) checkAway(id string, count, mayMiss int) int {
	result := held
	tasks := make([][]runRecord, count)
	for i := range count {
		tasks[i] = l.runsOf(fmt.Sprintf("%s.0.0.%d", id, i))
	}
	for i, runs := range tasks {
		for _, r := range runs {
			if r.atWork.IsZero() || r.byOrder == "" {
				continue
			}
			away := 0
			for k, others := range tasks {
				if k != i && isAway(others, r.ended) {
					away++
				}
			}
			if away >= mayMiss {
				l.rec.logf("task %s was at work on %s and was ended by %s at %.3f, with %d others of its step away", r.task, r.runner, r.byOrder, r.ended.Sub(l.rec.start).Seconds(), away)
				result = broken
			}
		}
	}
	return result
}

// isAway reports whether a task is away at a time: it was ended by an order, or has not been at
// work for noticeTime.
func isAway(runs []runRecord, at time.Time) bool {
	var last *runRecord
	for _, r := range runs {
		if r.atWork.IsZero() || r.atWork.After(at) {
			continue
		}
		if r.ended.IsZero() || r.ended.After(at) {
			return false
		}
		if last == nil || r.ended.After(last.ended) {
			last = &r
		}
	}
	return last != nil && (last.byOrder != "" || at.Sub(last.ended) >= noticeTime)
}
