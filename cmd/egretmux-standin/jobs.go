package main

import (
	"fmt"
	"strings"
	"time"

	"github.com/egretmux/egretmux/internal/standin/jobs"
)

// jobsCommand runs the runners, advice service, operator and clients of a cell
// that runs jobs of steps.
type jobsCommand struct {
	Controls string        `long:"controls" description:"control addresses of instances, separated by commas" required:"yes"`
	Callers  string        `long:"callers" description:"addresses for clients, separated by commas" required:"yes"`
	Advice   string        `long:"advice" description:"address to serve advice on; empty: queues without advice"`
	Runners  int           `long:"runners" default:"48"`
	Cores    int64         `long:"cores" description:"cores of each runner" default:"16"`
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
	for _, kind := range c.Kinds {
		traffic, err := jobs.ParseTraffic(kind)
		if err != nil {
			return err
		}
		cfg.Traffic = append(cfg.Traffic, traffic)
	}
	lines, err := jobs.Load(signalContext(), cfg)
	for _, line := range lines {
		fmt.Println(line)
	}
	return err
}
