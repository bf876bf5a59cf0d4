package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/egretmux/egretmux/internal/standin/jobs"
)

// jobsCommand plays all that surrounds a cell that runs jobs of steps.
type jobsCommand struct {
	Controls string        `long:"controls" description:"control addresses of instances, separated by commas" required:"yes"`
	Callers  string        `long:"callers" description:"addresses for clients, separated by commas" required:"yes"`
	Advice   string        `long:"advice" description:"address to serve advice on; empty: queues without advice"`
	Runners  int           `long:"runners" default:"48"`
	Cores    int64         `long:"cores" description:"of each runner" default:"16"`
	Kinds    []string      `long:"kind" description:"NAME:RATE:TASKS:CPU:LENGTH, jobs a second, thousandths of a core; the first has the highest priority" required:"yes"`
	Length   time.Duration `long:"length" default:"20s"`
	Seed     uint64        `long:"seed" default:"1"`
}

// Execute implements flags.Commander.
func (c *jobsCommand) Execute([]string) error {
	cfg := jobs.LoadConfig{
		Controls: strings.Split(c.Controls, ","), Callers: strings.Split(c.Callers, ","), Host: "standin.example",
		AdviceAddress: c.Advice, Runners: c.Runners, RunnerCPU: c.Cores * 1000, Length: c.Length, Seed: c.Seed,
	}
	for _, k := range c.Kinds {
		t, err := jobs.ParseTraffic(k)
		if err != nil {
			return err
		}
		cfg.Traffic = append(cfg.Traffic, t)
	}
	lines, err := jobs.Load(untilSignal(), cfg)
	for _, line := range lines {
		fmt.Println(line)
	}
	return err
}
